package cairn

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestForget: two of five that are gone for good are forgotten one by one; after that one more may
// be lost. Without the orders the last two would be no majority.
func TestForget(t *testing.T) {
	for _, orders := range []bool{true, false} {
		w := newWorld(7, 5, 5, faults{})
		w.calmed = true
		w.run(1000)
		w.wipe(w.nodes[3])
		w.wipe(w.nodes[4])
		w.run(4000)
		for _, gone := range w.nodes[3:] {
			if orders {
				w.drop(w.nodes[1], gone)
				w.run(w.now + 3000)
			}
		}
		v := w.nodes[0].m.View()
		if orders {
			assert.DeepEqual(t, w.drops, [3]int{OK: 2})
			assert.Equal(t, len(v.Core), 3)
			assert.Equal(t, v.Removed, uint64(2))
		} else {
			assert.Equal(t, len(v.Core), 5)
		}
		assert.Equal(t, len(v.Chain), 3)
		w.kill(w.nodes[0])
		w.run(w.now + 3000)
		p := w.put(w.nodes[1])
		w.run(w.now + 2000)
		assert.NilError(t, w.broken)
		assert.Equal(t, p.outcome != nil && *p.outcome == OK, orders)
		if !orders {
			continue
		}
		// One that is forgotten and comes back after all joins again.
		w.boot(w.nodes[0], false)
		w.boot(w.nodes[3], false)
		w.run(w.now + 3000)
		assert.Equal(t, len(w.nodes[1].m.View().Core), 4)
		assert.Equal(t, len(w.nodes[1].m.View().Chain), 4)
	}
}

// TestWhoIsThereIsNotForgotten, whoever says so.
func TestWhoIsThereIsNotForgotten(t *testing.T) {
	w := newWorld(8, 3, 3, faults{})
	w.calmed = true
	w.run(1000)
	w.drop(w.nodes[0], w.nodes[2])
	w.run(w.now + 3000)
	assert.DeepEqual(t, w.drops, [3]int{Unavailable: 1})
	assert.Equal(t, len(w.nodes[0].m.View().Core), 3)
	m, _ := one(t, a1, faults{})
	m.Step(1010, from(b1, a1, Message{Beat: &Beat{View: 1, Hears: 7}}))
	m.Step(1020, from(b1, a1, Message{Forget: &Forget{View: 1, Who: b1}}))
	assert.Assert(t, m.forgotten() == nil)
	m.Step(1030, from(b1, a1, Message{Forget: &Forget{View: 2, Who: c1}}))
	assert.Equal(t, *m.wish, b1, "an order for another view")
}

// TestOperatorsForgetAtAnyTime: nothing that is acknowledged is lost by it, and all are back in the end.
func TestOperatorsForgetAtAnyTime(t *testing.T) {
	for _, machines := range []int{3, 5} {
		forgot := 0
		for seed := range uint64(60) {
			w, err := sound(seed, machines, machines, faults{whims: true})
			assert.NilError(t, err, "%d machines, seed %d", machines, seed)
			forgot += w.drops[OK]
		}
		assert.Assert(t, forgot > 0)
		t.Logf("%d machines: %d forgotten", machines, forgot)
	}
}
