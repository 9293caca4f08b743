package cairn

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWhatACutOffMachineSays: for 20 s each machine of the chain in turn hears nobody, is heard by nobody, or both, while
// operators order and read at all machines, then wakes or is joined again. A lease's length after the cut it says
// nothing any more that must be current; the others go on; and after the end all say the same. That no read is
// older than what was acknowledged before it was asked for, the world looks at by itself.
func TestWhatACutOffMachineSays(t *testing.T) {
	const length, every = 20_000.0, 500.0
	for _, machines := range []int{3, 4} {
		for at := range machines {
			for _, how := range []string{"hears nobody", "is heard by nobody", "neither", "frozen"} {
				if machines == 4 && (how == "neither" || how == "frozen") {
					continue // as with three
				}
				t.Run(fmt.Sprintf("%d of %d, %s", at+1, machines, how), func(t *testing.T) {
					t.Parallel()
					w := newWorld(uint64(at+1), machines, machines, faults{})
					w.calmed = true
					w.run(1500)
					off := w.nodes[at]
					for _, n := range w.nodes {
						if n != off && how != "is heard by nobody" {
							w.cut[[2]string{n.addr, off.addr}] = true
						}
						if n != off && how != "hears nobody" {
							w.cut[[2]string{off.addr, n.addr}] = true
						}
					}
					if how == "frozen" { // what was under way to it lies there until it wakes
						clear(w.cut)
						w.freeze(off, length)
					}
					began := w.now
					late := began + 650 // a lease and what was on its way
					var said, others []*call
					for w.now < began+length && w.broken == nil {
						for _, n := range w.nodes {
							cs := []*call{w.put(n), w.ask(n)}
							switch {
							case n == off && w.now > late:
								said = append(said, cs...)
							case n != off && w.now > began+3500:
								others = append(others, cs...)
							}
						}
						w.run(w.now + every)
					}
					ok := 0
					for _, c := range said {
						if c.outcome != nil && *c.outcome == OK && c.began < began+length-1000 {
							ok++
						}
					}
					if how != "frozen" { // one that wakes may find its questions just answered
						assert.Equal(t, ok, 0, "of %d", len(said))
					}
					w.run(w.now + 1000)
					for _, c := range others {
						assert.Assert(t, c.outcome != nil && *c.outcome == OK, "asked %.0f ms after the cut (a read: %v)", c.began-began, c.ask)
					}
					clear(w.cut)
					w.run(w.now + 4000)
					w.progress("the end of a cut")
					w.run(w.now + 1000)
					w.settled()
					assert.NilError(t, w.broken)
				})
			}
		}
	}
}

// TestATailThatWakes answers no question that came while it was frozen, nor with a lease from before; and one
// that came before with nothing that was not true then.
func TestATailThatWakes(t *testing.T) {
	w := newWorld(2, 3, 3, faults{})
	w.calmed = true
	w.run(1500)
	tail := w.nodes[2]
	assert.Assert(t, tail.m.isTail())
	asked := w.ask(tail)
	w.freeze(tail, 20_000) // in the middle of its answer
	w.run(w.now + 3500)
	p := w.put(w.nodes[0])
	w.run(w.now + 900)
	assert.Equal(t, *p.outcome, OK)
	during := w.ask(tail)
	w.run(w.now + 15_500)
	assert.Equal(t, tail.m.View().No, uint64(1), "it has heard nothing yet")
	w.run(w.now + 300)
	assert.Assert(t, asked.outcome != nil && during.outcome != nil)
	assert.NilError(t, w.broken) // it compares what is read with what was acknowledged before the asking
	// The same with the lease passed over: the world sees it.
	w = newWorld(2, 3, 3, faults{ignoreLeases: true})
	w.calmed = true
	w.run(1500)
	tail = w.nodes[2]
	for _, n := range w.nodes[:2] {
		w.cut[[2]string{n.addr, tail.addr}], w.cut[[2]string{tail.addr, n.addr}] = true, true
	}
	w.run(w.now + 3500)
	w.put(w.nodes[0])
	w.run(w.now + 900)
	w.ask(tail)
	w.run(w.now + 500)
	assert.ErrorContains(t, w.broken, "after 1 was acknowledged")
}
