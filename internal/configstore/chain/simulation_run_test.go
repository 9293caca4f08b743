package chain

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSimulatedFailures runs a few simulations of each size. TestScan runs as many as requested.
func TestSimulatedFailures(t *testing.T) {
	for _, c := range []struct{ machines, seeds, runs int }{
		{1, 1, 20}, {2, 2, 20}, {3, 3, 40}, {4, 3, 40}, {4, 4, 40}, {5, 3, 40}, {5, 5, 40}, {6, 3, 25},
	} {
		t.Run(fmt.Sprintf("%d of %d", c.seeds, c.machines), func(t *testing.T) {
			t.Parallel()
			changes, reads, views := 0, 0, uint64(0)
			for i := range c.runs {
				seed := uint64(i)
				w, err := simulate(seed, c.machines, c.seeds, faults{})
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				changes, reads, views = changes+w.acknowledgedChanges, reads+w.answeredReads, views+w.maxView
			}
			t.Logf("%d changes, %d reads, %d views", changes, reads, views)
		})
	}
}

// TestSameSeedRepeatsRun checks that a seed always gives the same run, so that failures can be
// repeated.
func TestSameSeedRepeatsRun(t *testing.T) {
	for seed := range uint64(5) {
		a, _ := simulate(seed, 5, 3, faults{})
		b, _ := simulate(seed, 5, 3, faults{})
		assert.Equal(t, a.scheduled, b.scheduled)
		assert.DeepEqual(t, a.committed, b.committed)
	}
}

// TestSeedsOfPastFailures repeats runs that failed before. Seeds 115035 and 121218: machines whose
// turn to lead a ballot came later kept waiting for seconds after the machines before them were
// gone. Seed 120074: a member without entries was sent only the last entry, without end.
func TestSeedsOfPastFailures(t *testing.T) {
	for _, c := range []struct {
		seed            uint64
		machines, seeds int
	}{{115035, 5, 3}, {120074, 5, 3}, {121218, 5, 5}} {
		_, err := simulate(c.seed, c.machines, c.seeds, faults{})
		assert.NilError(t, err, "seed %d", c.seed)
	}
}
