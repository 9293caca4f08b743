package cairn

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// small is a world without lost or slow messages, in which all machines have come up.
func small(t *testing.T, seed uint64, machines int, f faults) *world {
	t.Helper()
	w := newWorld(seed, machines, 3, f)
	w.turnover = rand.New(rand.NewPCG(seed, 3))
	w.calmed, w.loss = true, 0
	w.run(1500)
	assert.Equal(t, len(w.decided[w.maxView].Chain), machines)
	return w
}

// isolate cuts a machine off from all others, both ways, for a while.
func (w *world) isolate(n *node, d float64) {
	for _, o := range w.nodes {
		if o != n {
			w.cut[[2]string{n.addr, o.addr}], w.cut[[2]string{o.addr, n.addr}] = true, true
		}
	}
	w.after(d, func() {
		for pair := range w.cut {
			if pair[0] == n.addr || pair[1] == n.addr {
				delete(w.cut, pair)
			}
		}
	})
}

// swap replaces the machine at a place, when nothing is lost: at once, or with its successor first.
func (w *world) swap(at int, planned bool) {
	n := w.nodes[at%len(w.nodes)]
	if !planned {
		w.replace(n, 300)
		return
	}
	w.withNotice(n, 1200)
}

// TestTwoReplacementsAndACut plays all of them: two machines are replaced one after the other, each with or
// without notice, one machine is cut off for longer than seats are kept, before, between or after them, and two
// changes come meanwhile. In the end all seats are taken by who is there, nothing that was acknowledged is
// lost, and one more loss is borne.
func TestTwoReplacementsAndACut(t *testing.T) {
	for _, machines := range []int{3, 4} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			t.Parallel()
			runs := 0
			for first := range machines {
				for second := range machines {
					for notice := range 4 {
						for cut := range machines + 1 {
							for when := range 3 {
								name := fmt.Sprintf("replaced %d and %d, notice %d, cut %d at %d", first, second, notice, cut, when)
								w := small(t, uint64(runs), machines, faults{})
								step := func(i int) {
									if when == i {
										w.isolate(w.nodes[cut%len(w.nodes)], 2600)
									}
								}
								step(0)
								w.put(w.nodes[1])
								w.calmly(200)
								w.swap(first, notice&1 != 0)
								w.run(w.now + 350)
								step(1)
								w.settle(t, name)
								w.put(w.nodes[0])
								w.swap(second, notice&2 != 0)
								w.run(w.now + 350)
								step(2)
								w.settle(t, name)
								w.run(w.now + 400)
								w.settled()
								assert.NilError(t, w.broken, name)
								assert.Equal(t, w.spare(w.decided[w.maxView]), w.tol, name)
								w.kill(w.nodes[runs%len(w.nodes)])
								w.run(w.now + 2500)
								w.progress(name)
								assert.NilError(t, w.broken, name)
								runs++
							}
						}
					}
				}
			}
			t.Logf("%d runs", runs)
		})
	}
}

// calmly lets time go by, and what was cut off heal.
func (w *world) calmly(d float64) { w.run(w.now + d) }

// settle waits until nothing is cut, all seats are taken and nothing counts as lost.
func (w *world) settle(t *testing.T, name string) {
	t.Helper()
	for until := w.now + 9000; w.broken == nil; w.run(w.now + 50) {
		v := w.decided[w.maxView]
		if len(w.cut) == 0 && len(v.Chain) == w.seats && len(w.lost()) == 0 && w.notices == 0 {
			return
		}
		if w.now > until {
			t.Fatalf("%s: not settled: %+v", name, v)
		}
	}
	assert.NilError(t, w.broken, name)
}
