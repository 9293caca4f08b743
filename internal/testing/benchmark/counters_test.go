package benchmark

import (
	"strings"
	"testing"
)

// TestCeilingHoldsDuringCounterFaults checks that no customer exceeds its hard ceiling by more than the configured
// slack, whatever fault the counter has and while gateways restart: with four gateways, which each hold a
// part of the ceiling, and with twenty-four, which lease half of the parts from the counter.
func TestCeilingHoldsDuringCounterFaults(t *testing.T) {
	for _, gateways := range []int{4, 24} {
		for _, scenario := range counterScenarios() {
			if !scenario.restarts || gateways > 4 && !strings.HasPrefix(scenario.name, "replaced") { // the other scenarios take long with 24 gateways and cover nothing more
				continue
			}
			counters := CounterFaults{Seed: 7, Gateways: gateways}
			got, err := counters.simulate(scenario, 0)
			if err != nil {
				t.Fatal(err)
			}
			slack := counterSettings(gateways, true).Plans[planMayor].CeilingTolerance
			if got.overCeiling > slack {
				t.Errorf("%d gateways, %s: %.1f units beyond the ceiling, slack %g", gateways, scenario.name, got.overCeiling, slack)
			}
			if got.callsPerExecution == 0 != scenario.noCounter {
				t.Errorf("%d gateways, %s: %.2f calls an attempt", gateways, scenario.name, got.callsPerExecution)
			}
		}
	}
}

// TestOverdrawRecordsGreatestDebt checks that overdrawing a bucket is measured. Without this, a result of zero would prove
// nothing.
func TestOverdrawRecordsGreatestDebt(t *testing.T) {
	var worst float64
	bucket := tokenBucket{rate: 10, burst: 20, tokens: 20}
	for at := 0.0; at < 1000; at += 10 {
		bucket.overdraw(at, 1, &worst)
	}
	if worst < 70 || worst > 71 { // 100 taken, 20 held at the start, 9.9 refilled
		t.Errorf("expected a debt of 70 to 71 units, got %.2f", worst)
	}
}
