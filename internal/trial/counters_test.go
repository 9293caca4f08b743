package trial

import (
	"strings"
	"testing"
)

// TestNoCounterLiftsACeiling: whatever becomes of the counter, and of the gatekeepers
// meanwhile, no bank gets beyond its hard ceiling, within the slack that it is given; with
// its parts held by four gatekeepers, and half of them leased by twenty-four.
func TestNoCounterLiftsACeiling(t *testing.T) {
	for _, gates := range []int{4, 24} {
		for _, s := range tallyScenarios() {
			if !s.deaths || gates > 4 && !strings.HasPrefix(s.name, "replaced") { // the others take long and show no more
				continue
			}
			o := Counters{Seed: 7, Gates: gates}
			got, err := o.play(s, 0)
			if err != nil {
				t.Fatal(err)
			}
			slack := tallySettings(gates, true).Plans[tallyMayor].CeilingSlack
			if got.ceiling > slack {
				t.Errorf("%d gatekeepers, %s: %.1f units beyond the ceiling, slack %g", gates, s.name, got.ceiling, slack)
			}
			if got.calls == 0 != s.without {
				t.Errorf("%d gatekeepers, %s: %.2f calls an attempt", gates, s.name, got.calls)
			}
		}
	}
}

// TestTheMeasureSeesWhatPasses, so that a row of zeros says something.
func TestTheMeasureSeesWhatPasses(t *testing.T) {
	var worst float64
	l := level{rate: 10, burst: 20, now: 20}
	for at := 0.0; at < 1000; at += 10 {
		l.spend(at, 1, &worst)
	}
	if worst < 70 || worst > 71 { // 100 sent, 20 held, 9.9 filled
		t.Errorf("%.2f beyond", worst)
	}
}
