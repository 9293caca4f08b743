package chain

import "testing"

// TestChecksDetectFaults switches on one fault at a time; the simulation must detect each of them. The
// first seed that detects it is near the one given. Faults that need rarer sequences of events are
// tested in machine_test.go, where their rule is tested.
func TestChecksDetectFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   faults
		machines int
		seed     uint64
	}{
		{"acknowledged before the tail synced", faults{ackEarly: true}, 3, 0},
		{"reads without leases", faults{ignoreLeases: true}, 3, 45},
		{"entries appended without their predecessor", faults{skipPrevCheck: true}, 5, 0},
		{"delayed orders that undo newer ones", faults{acceptLateChanges: true}, 3, 590},
		{"joining machines that add seats", faults{replaceMachines: true, alwaysAddSeats: true}, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.seed; seed < c.seed+1500; seed++ {
				if _, err := simulate(seed, c.machines, c.machines, c.faults); err != nil {
					t.Logf("seed %d: %.200s", seed, err)
					return
				}
			}
			t.Error("no run detected the fault")
		})
	}
}
