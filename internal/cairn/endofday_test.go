package cairn

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOrdersAtTheEndOfADay: 5 to 400 ms after an order was sent as many machines lose their disks as the tolerance
// allows, and all others lose power at the same moment, each in the middle of what it writes, syncs or passes on. They are
// back within 1.5 s. What was acknowledged in between is held and read at all of them; what was not may be in
// force or not, and all agree on that.
func TestOrdersAtTheEndOfADay(t *testing.T) {
	for _, machines := range []int{3, 4, 5, 6} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			t.Parallel()
			told, untold := 0, 0
			for seed := range uint64(160) {
				w, last := endOfDay(seed, machines, faults{})
				assert.NilError(t, w.broken, "seed %d", seed)
				if last.outcome != nil {
					told++
				} else {
					untold++
				}
			}
			t.Logf("%d orders were acknowledged before the loss, %d were not", told, untold)
			assert.Assert(t, told > 10 && untold > 10, "the loss comes before the answer and after it")
		})
	}
}

// endOfDay plays one such end and gives back the last order.
func endOfDay(seed uint64, machines int, f faults) (*world, *call) {
	w := newWorld(seed, machines, machines, f)
	w.coded = seed%10 == 0
	w.run(1500)
	for range 3 {
		w.put(w.pick())
		w.run(w.now + 100 + w.rng.Float64()*300)
	}
	last := w.put(w.pick())
	// Most of an order's way takes a few milliseconds: half of the losses come within it.
	gap := 5 + w.rng.Float64()*395
	if w.rng.IntN(2) == 0 {
		gap = w.rng.Float64() * 40
	}
	w.run(w.now + gap)
	for i, at := range w.rng.Perm(machines) {
		n := w.nodes[at]
		if i < w.tol {
			w.wipe(n)
		} else {
			w.kill(n)
		}
		w.after(500+w.rng.Float64()*1000, func() { w.boot(n, false) })
	}
	w.run(w.now + 4500)
	w.progress("a loss of all power and of disks")
	w.run(w.now + 2500)
	w.settled()
	return w, last
}

// TestTheEndOfADayIsWatched: an order that is acknowledged before all hold it is missed.
func TestTheEndOfADayIsWatched(t *testing.T) {
	for seed := range uint64(2000) {
		if w, _ := endOfDay(seed, 3, faults{ackEarly: true}); w.broken != nil {
			t.Logf("seed %d: %.150s", seed, w.broken)
			return
		}
	}
	t.Error("not noticed")
}
