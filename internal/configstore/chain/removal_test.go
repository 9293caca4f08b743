package chain

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRemoveLostMachines removes two of five machines that are lost for good, one by one, and then
// loses one more. Without the removals the last two would be no majority.
func TestRemoveLostMachines(t *testing.T) {
	for _, orders := range []bool{true, false} {
		w := newWorld(7, 5, 5, faults{})
		w.noDelays = true
		w.run(1000)
		w.wipe(w.nodes[3])
		w.wipe(w.nodes[4])
		w.run(4000)
		for _, gone := range w.nodes[3:] {
			if orders {
				w.remove(w.nodes[1], gone)
				w.run(w.now + 3000)
			}
		}
		v := w.nodes[0].machine.View()
		if orders {
			assert.DeepEqual(t, w.removals, [3]int{OK: 2})
			assert.Equal(t, len(v.Core), 3)
			assert.Equal(t, v.Removed, uint64(2))
		} else {
			assert.Equal(t, len(v.Core), 5)
		}
		assert.Equal(t, len(v.Chain), 3)
		w.kill(w.nodes[0])
		w.run(w.now + 3000)
		p := w.submit(w.nodes[1])
		w.run(w.now + 2000)
		assert.NilError(t, w.violation)
		assert.Equal(t, p.outcome != nil && *p.outcome == OK, orders)
		if !orders {
			continue
		}
		// A removed machine that returns after all joins again.
		w.boot(w.nodes[0], false)
		w.boot(w.nodes[3], false)
		w.run(w.now + 3000)
		assert.Equal(t, len(w.nodes[1].machine.View().Core), 4)
		assert.Equal(t, len(w.nodes[1].machine.View().Chain), 4)
	}
}

// TestRunningMachineIsNotRemoved checks that a running machine is not removed, whichever machine
// passes on the order.
func TestRunningMachineIsNotRemoved(t *testing.T) {
	w := newWorld(8, 3, 3, faults{})
	w.noDelays = true
	w.run(1000)
	w.remove(w.nodes[0], w.nodes[2])
	w.run(w.now + 3000)
	assert.DeepEqual(t, w.removals, [3]int{Unavailable: 1})
	assert.Equal(t, len(w.nodes[0].machine.View().Core), 3)
	m, _ := newMachine(t, a1, faults{})
	m.Step(1010, received(b1, a1, Message{Heartbeat: &Heartbeat{View: 1, Hears: 7}}))
	m.Step(1020, received(b1, a1, Message{Removal: &RemovalOrder{View: 1, Member: b1}}))
	assert.Assert(t, m.machineToRemove() == nil)
	m.Step(1030, received(b1, a1, Message{Removal: &RemovalOrder{View: 2, Member: c1}}))
	assert.Equal(t, *m.removalTarget, b1, "an order for another view was accepted")
}

// TestRemovalsAtRandomTimes removes machines at random times: no acknowledged change is lost,
// and all machines are back in the end.
func TestRemovalsAtRandomTimes(t *testing.T) {
	for _, machines := range []int{3, 5} {
		forgot := 0
		for seed := range uint64(60) {
			w, err := simulate(seed, machines, machines, faults{removeAtRandom: true})
			assert.NilError(t, err, "%d machines, seed %d", machines, seed)
			forgot += w.removals[OK]
		}
		assert.Assert(t, forgot > 0)
		t.Logf("%d machines: %d forgotten", machines, forgot)
	}
}
