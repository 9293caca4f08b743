package trial

import "testing"

// TestAWarmStartKeepsToTheQuotas: behind a kill, a warm start sends on no more beyond the
// quotas than a life that goes on, where a cold one hands every bucket out anew; and it
// refuses hardly more than one of what the quotas hold. A refused unit counts once: a store
// that stays a little fuller than the module believes is not refused anew with each request.
func TestAWarmStartKeepsToTheQuotas(t *testing.T) {
	o := Restarts{Lives: 1, Seed: 1, Down: 300}
	var beyond, wrong [alive + 1][]float64
	for seed := range uint64(9) {
		for how := range alive + 1 {
			f, err := o.play(seed, how)
			if err != nil {
				t.Fatal(err)
			}
			if f.over > 0 {
				t.Errorf("%v, seed %d: %.2f units over the ceiling", how, seed, f.over)
			}
			beyond[how] = append(beyond[how], 100*f.beyond/f.asked)
			wrong[how] = append(wrong[how], 100*f.wrong/f.asked)
		}
	}
	at := func(of [alive + 1][]float64, how birth) float64 { return quantile(of[how], 0.5) }
	if got, most := at(beyond, warm), at(beyond, alive)+0.5; got > most {
		t.Errorf("warm: %.2f%% beyond the quotas, more than %.2f%%", got, most)
	}
	if got, least := at(beyond, cold), at(beyond, alive)+1; got < least {
		t.Errorf("cold: %.2f%% beyond the quotas, less than %.2f%%: the measure does not see a bucket handed out twice", got, least)
	}
	if got, most := at(wrong, warm), at(wrong, alive)+2.5; got > most {
		t.Errorf("warm: %.2f%% refused though the quota had them, more than %.2f%%", got, most)
	}
}
