package cairn

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// change has changes made one after the other, up to a window at a time, at machines that are up, while
// each machine that is up is asked for what holds. A read that lacks what was acknowledged breaks
// the world.
func (w *world) change(n int) {
	var open []*call
	for i := 0; n > 0 && w.broken == nil; {
		for ; len(open) < 6 && n > 0; n-- {
			at := w.nodes[i%len(w.nodes)]
			if i++; !at.up {
				n++
				continue
			}
			open = append(open, w.put(at))
			if i%16 == 0 {
				for _, x := range w.nodes {
					if x.up {
						w.ask(x)
					}
				}
			}
		}
		w.run(w.now + 15)
		still := open[:0]
		for _, c := range open {
			if c.outcome == nil && c.node.up && c.node.life == c.life {
				still = append(still, c)
			}
		}
		open = still
	}
}

// caughtUp runs on, with changes, until a machine is a whole member of the chain that holds what
// was acknowledged when it was looked at, and says how long that took.
func (w *world) caughtUp(n *node, within float64) float64 {
	began := w.now
	for w.now < began+within && w.broken == nil {
		acked := w.acked
		if n.up && n.m.place() >= 0 && n.m.isWhole() && n.m.base.Edition >= acked && n.m.view.No == w.maxView {
			return w.now - began
		}
		w.change(2)
	}
	w.fail("%s has not caught up: %+v", n.addr, n.m.Status())
	return within
}

// TestAMemberThatWasDown for any number of changes catches up while changes go on, with its disk as it
// was left, torn, or empty; and it then bears the loss of the others that the tolerance allows.
func TestAMemberThatWasDown(t *testing.T) {
	for _, c := range []struct {
		changes, seeds int
	}{{0, 1}, {1, 1}, {7, 1}, {8, 1}, {9, 1}, {60, 1}, {500, 1}, {5000, 1}} {
		for _, wiped := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d changes, wiped %v", c.changes, wiped), func(t *testing.T) {
				t.Parallel()
				longest := 0.0
				for seed := range uint64(c.seeds) {
					w := newWorld(seed, 3, 3, faults{})
					w.run(1500)
					w.change(5)
					down := w.nodes[seed%3]
					if wiped {
						w.wipe(down)
					} else {
						w.kill(down)
					}
					w.run(w.now + 2500)
					w.change(c.changes)
					disk := 0
					for _, r := range w.nodes[(seed+1)%3].disk {
						disk += r.size()
					}
					assert.Assert(t, disk < 3*3000, "%d bytes of records: the disk is kept short", disk)
					w.boot(down, false)
					longest = max(longest, w.caughtUp(down, 8000))
					w.run(w.now + 3000)
					w.settled()
					w.kill(w.nodes[(seed+1)%3])
					w.run(w.now + 2500)
					w.progress("a loss of another")
					assert.NilError(t, w.broken, "seed %d", seed)
				}
				t.Logf("in %.0f ms at most", longest)
			})
		}
	}
}

// fillSent says whether a machine has sent another a fill since it was last asked.
func (w *world) fillSent(last map[uint64]float64) (from *node) {
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		at := n.m.fillAt
		for _, p := range n.m.peers {
			at = max(at, p.filled)
		}
		if old, ok := last[n.life]; at > -1e17 && (!ok || at > old) {
			last[n.life] = at
			from = n
		}
	}
	return from
}

// TestAFillThatIsCut: whatever strikes while a fill is on its way (its sender dies, the one it is for
// dies and hears it in its next life, another view comes, the line is cut again and again), the
// machine catches up, and nobody leads or answers with old state.
func TestAFillThatIsCut(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(w *world, from, to *node)
		times  int
	}{
		{"the sender dies", func(w *world, from, _ *node) {
			w.kill(from)
			w.after(3000, func() { w.boot(from, false) })
		}, 2},
		{"the sender loses its disk", func(w *world, from, _ *node) {
			w.wipe(from)
			w.after(3000, func() { w.boot(from, false) })
		}, 1},
		{"the joiner dies", func(w *world, _, to *node) {
			w.kill(to)
			w.boot(to, false) // and hears it in this life
		}, 4},
		{"the joiner dies, and is back later", func(w *world, _, to *node) {
			w.kill(to)
			w.after(1200, func() { w.boot(to, false) })
		}, 3},
		{"the joiner loses its disk again", func(w *world, _, to *node) {
			w.wipe(to)
			w.boot(to, false)
		}, 3},
		{"another view", func(w *world, from, to *node) {
			for _, n := range w.nodes {
				if n != from && n != to {
					w.kill(n)
					w.after(2500, func() { w.boot(n, false) })
				}
			}
		}, 1},
		{"cut", func(w *world, from, to *node) {
			w.cut[[2]string{from.addr, to.addr}], w.cut[[2]string{to.addr, from.addr}] = true, true
			w.after(700, func() { clear(w.cut) })
		}, 5},
		{"frozen", func(w *world, _, to *node) { w.freeze(to, 1500) }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			struck := 0
			for seed := range uint64(2) {
				w := newWorld(seed, 5, 5, faults{})
				w.run(1500)
				w.change(5)
				down := w.nodes[seed%5]
				w.wipe(down)
				w.run(w.now + 2500)
				w.change(20)
				w.boot(down, false)
				seen := map[uint64]float64{}
				w.fillSent(seen)
				left := c.times
				for end := w.now + 6000; w.now < end && w.broken == nil; {
					if w.rng.IntN(100) == 0 {
						for _, n := range w.nodes {
							if n.up {
								w.put(n)
								w.ask(n)
							}
						}
					}
					w.run(w.now + 2)
					if from := w.fillSent(seen); from != nil && left > 0 && down.up {
						left--
						struck++
						c.strike(w, from, down)
					}
				}
				clear(w.cut)
				w.calm(true)
				w.run(w.now + 4000)
				w.progress("a fill that was cut")
				w.run(w.now + 3000)
				w.settled()
				assert.NilError(t, w.broken, "seed %d", seed)
			}
			assert.Assert(t, struck >= 2, "%d", struck)
		})
	}
}

// TestWhichFillIsTaken: the epoch that fences a fill is the number of its view together with the
// stamp of its last entry.
func TestWhichFillIsTaken(t *testing.T) {
	d2 := Ident{"d:1", "two"}
	whole := func(view, last uint64, tail int) Fill {
		f := Fill{View: view, Whole: Whole{State: State{Last: Stamp{last, view}, Edition: last}}}
		for i := range tail {
			prev := Stamp{last + uint64(i), view}
			f.Whole.Tail = append(f.Whole.Tail, Entry{Stamp: Stamp{prev.Seq + 1, view}, Prev: prev, Change: put(prev.Seq + 1)})
		}
		return f
	}
	core := []Ident{a1, b1, c1}
	for _, c := range []struct {
		name   string
		self   Ident
		before []Fill // taken from the first of the chain
		from   Ident
		fill   Fill
		faults faults
		last   uint64 // that is held afterwards
		base   uint64
	}{
		{name: "a joiner's", self: d2, from: a1, fill: whole(3, 9, 1), last: 10, base: 9},
		{name: "of an older view", self: d2, from: a1, fill: whole(2, 9, 1)},
		{name: "of a view to come", self: d2, from: a1, fill: whole(4, 9, 1)},
		{name: "of one outside the chain", self: d2, from: Ident{"e:1", "x"}, fill: whole(3, 9, 1)},
		{name: "of one that has lost its disk", self: d2, from: Ident{"a:1", "other"}, fill: whole(3, 9, 1)},
		{name: "a second, older", self: d2, before: []Fill{whole(3, 9, 2)}, from: a1, fill: whole(3, 8, 1), last: 11, base: 9},
		{name: "a second, as new and known to be committed less far", self: d2, before: []Fill{whole(3, 9, 2)}, from: a1, fill: whole(3, 8, 3), last: 11, base: 9},
		{name: "a second, newer", self: d2, before: []Fill{whole(3, 9, 0)}, from: a1, fill: whole(3, 12, 0), last: 12, base: 12},
		{name: "a member's, from above", self: b1, from: a1, fill: whole(3, 9, 1), last: 10, base: 9},
		{name: "a member's, from below", self: b1, from: c1, fill: whole(3, 9, 1)},
		{name: "a member's, late: what was told upwards stays", self: b1, before: []Fill{whole(3, 9, 2)}, from: a1, fill: whole(3, 9, 1), last: 11, base: 9},
		{name: "fault", self: b1, before: []Fill{whole(3, 9, 2)}, from: a1, fill: whole(3, 9, 1), faults: faults{trustFill: true}, last: 10, base: 9},
		{name: "the head's", self: a1, from: b1, fill: whole(3, 9, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			disk := []Record{{Disk: c.self.Disk, View: &ViewRecord{View: View{No: 3, Chain: core, Core: core}}}}
			m := New(Config{Self: Ident{Addr: c.self.Addr}, Seed: 7}, disk, 1000)
			m.faults = c.faults
			for i, f := range c.before {
				m.Step(1010+float64(i), from(a1, c.self, Message{Fill: &f}))
			}
			o := m.Step(1100, from(c.from, c.self, Message{Fill: &c.fill}))
			assert.Equal(t, m.last().Seq, c.last)
			assert.Equal(t, m.base.Last.Seq, c.base)
			if c.self == d2 {
				assert.Assert(t, !m.isWhole(), "one outside the chain never leads")
				assert.Assert(t, len(sentTo(m.Step(1110, Event{Ask: &Ask{ID: 1}}), func(g Message) *ConfirmAnswer { return g.ConfirmAnswer })) == 0)
			}
			// What is taken is on the disk before anything is said of it.
			for _, r := range o.Sync {
				if r.Whole != nil {
					again := New(Config{Self: Ident{Addr: c.self.Addr}, Seed: 8}, append(disk, o.Sync...), 0)
					assert.Equal(t, again.last(), m.last())
				}
			}
		})
	}
}
