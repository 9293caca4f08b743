package chain

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOrdersDuringPowerLoss loses as many disks as tolerated and the power of all other machines at
// the same moment, 5 to 400 ms after an order was submitted, in the middle of writes, syncs and
// messages. The machines return within 1.5 s. An order that was acknowledged must then be held and
// read by all of them; one that was not may be in force or not, but all must agree.
func TestOrdersDuringPowerLoss(t *testing.T) {
	for _, machines := range []int{3, 4, 5, 6} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			t.Parallel()
			acknowledged, unacknowledged := 0, 0
			for seed := range uint64(160) {
				w, last := runPowerLoss(seed, machines, faults{})
				assert.NilError(t, w.violation, "seed %d", seed)
				if last.outcome != nil {
					acknowledged++
				} else {
					unacknowledged++
				}
			}
			t.Logf("%d orders were acknowledged before the loss, %d were not", acknowledged, unacknowledged)
			assert.Assert(t, acknowledged > 10 && unacknowledged > 10, "the loss must come before the answer in some runs and after it in others")
		})
	}
}

// runPowerLoss runs one such loss and returns the last order.
func runPowerLoss(seed uint64, machines int, f faults) (*world, *call) {
	w := newWorld(seed, machines, machines, f)
	w.encodeAll = seed%10 == 0
	w.run(1500)
	for range 3 {
		w.submit(w.randomNode())
		w.run(w.now + 100 + w.rng.Float64()*300)
	}
	last := w.submit(w.randomNode())
	// Processing an order takes a few milliseconds, so half of the losses come within a short time.
	gap := 5 + w.rng.Float64()*395
	if w.rng.IntN(2) == 0 {
		gap = w.rng.Float64() * 40
	}
	w.run(w.now + gap)
	for i, index := range w.rng.Perm(machines) {
		n := w.nodes[index]
		if i < w.tolerance {
			w.wipe(n)
		} else {
			w.kill(n)
		}
		w.schedule(500+w.rng.Float64()*1000, func() { w.boot(n, false) })
	}
	w.run(w.now + 4500)
	w.requireProgress("a power loss with lost disks")
	w.run(w.now + 2500)
	w.requireSettled()
	return w, last
}

// TestPowerLossChecksDetectFault checks that the runs detect an order acknowledged before all members
// hold it.
func TestPowerLossChecksDetectFault(t *testing.T) {
	for seed := range uint64(2000) {
		if w, _ := runPowerLoss(seed, 3, faults{ackEarly: true}); w.violation != nil {
			t.Logf("seed %d: %.150s", seed, w.violation)
			return
		}
	}
	t.Error("no run detected the fault")
}
