package benchmark

import "testing"

// TestWarmRestartKeepsQuotas checks that a gateway restarted from its capture sends hardly more beyond the quotas, and
// refuses hardly more wrongly, than one that was not killed. A cold restart hands out every bucket again, and the
// test checks that the measurement shows it. A wrongly refused unit counts once: a bucket that stays a little
// fuller than the gateway believes is not counted anew with each request.
func TestWarmRestartKeepsQuotas(t *testing.T) {
	restarts := Restarts{Count: 1, Seed: 1, DowntimeMs: 300}
	var overQuota, refused [neverKilled + 1][]float64
	for seed := range uint64(9) {
		for mode := range neverKilled + 1 {
			result, err := restarts.simulate(seed, mode)
			if err != nil {
				t.Fatal(err)
			}
			if result.overCeiling > 0 {
				t.Errorf("%v, seed %d: %.2f units over the ceiling", mode, seed, result.overCeiling)
			}
			overQuota[mode] = append(overQuota[mode], 100*result.overQuota/result.askedUnits)
			refused[mode] = append(refused[mode], 100*result.wronglyRefused/result.askedUnits)
		}
	}
	median := func(percentages [neverKilled + 1][]float64, mode startMode) float64 {
		return quantile(percentages[mode], 0.5)
	}
	if got, most := median(overQuota, startWarm), median(overQuota, neverKilled)+0.5; got > most {
		t.Errorf("warm: %.2f%% beyond the quotas, more than %.2f%%", got, most)
	}
	if got, least := median(overQuota, startCold), median(overQuota, neverKilled)+1; got < least {
		t.Errorf("cold: %.2f%% beyond the quotas, less than %.2f%%: the measure does not see a bucket handed out twice", got, least)
	}
	if got, most := median(refused, startWarm), median(refused, neverKilled)+2.5; got > most {
		t.Errorf("warm: %.2f%% refused though the quota had them, more than %.2f%%", got, most)
	}
}
