package chain

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// submitMany submits n changes at the running machines in turn, up to a window at a time, and reads at
// all of them now and then. A read that lacks an acknowledged change breaks the world.
func (w *world) submitMany(count int) {
	var open []*call
	for next := 0; count > 0 && w.violation == nil; {
		for ; len(open) < 6 && count > 0; count-- {
			target := w.nodes[next%len(w.nodes)]
			if next++; !target.up {
				count++
				continue
			}
			open = append(open, w.submit(target))
			if next%16 == 0 {
				for _, other := range w.nodes {
					if other.up {
						w.read(other)
					}
				}
			}
		}
		w.run(w.now + 15)
		pending := open[:0]
		for _, request := range open {
			if request.outcome == nil && request.node.up && request.node.incarnation == request.incarnation {
				pending = append(pending, request)
			}
		}
		open = pending
	}
}

// waitCaughtUp runs with changes until a machine is a complete member of the chain and holds what was
// acknowledged when it was checked. It returns how long that took.
func (w *world) waitCaughtUp(n *node, within float64) float64 {
	began := w.now
	for w.now < began+within && w.violation == nil {
		acked := w.acknowledged
		if n.up && n.machine.chainIndex() >= 0 && n.machine.isComplete() && n.machine.committed.Edition >= acked && n.machine.view.Number == w.maxView {
			return w.now - began
		}
		w.submitMany(2)
	}
	w.fail("%s has not caught up: %+v", n.addr, n.machine.Status())
	return within
}

// TestMemberCatchesUpAfterDowntime checks that a member that was down for any number of changes
// catches up while changes continue, with its disk intact or empty, and that a tolerated loss of
// another machine is then survived.
func TestMemberCatchesUpAfterDowntime(t *testing.T) {
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
					w.submitMany(5)
					down := w.nodes[seed%3]
					if wiped {
						w.wipe(down)
					} else {
						w.kill(down)
					}
					w.run(w.now + 2500)
					w.submitMany(c.changes)
					disk := 0
					for _, record := range w.nodes[(seed+1)%3].disk {
						disk += record.size()
					}
					assert.Assert(t, disk < 3*3000, "%d bytes of records on disk, expected less than 9000", disk)
					w.boot(down, false)
					longest = max(longest, w.waitCaughtUp(down, 8000))
					w.run(w.now + 3000)
					w.requireSettled()
					w.kill(w.nodes[(seed+1)%3])
					w.run(w.now + 2500)
					w.requireProgress("the loss of another machine")
					assert.NilError(t, w.violation, "seed %d", seed)
				}
				t.Logf("in %.0f ms at most", longest)
			})
		}
	}
}

// snapshotSender returns a machine that has sent a snapshot since the last call, or nil.
func (w *world) snapshotSender(lastSent map[uint64]float64) (from *node) {
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		sentAt := n.machine.snapshotSentAt
		for _, p := range n.machine.peers {
			sentAt = max(sentAt, p.snapshotSentAt)
		}
		if previous, ok := lastSent[n.incarnation]; sentAt > -1e17 && (!ok || sentAt > previous) {
			lastSent[n.incarnation] = sentAt
			from = n
		}
	}
	return from
}

// TestInterruptedSnapshotTransfer interrupts a snapshot transfer: its sender is killed, its
// receiver is killed and receives it in its next incarnation, the view changes, or the connection
// is cut again and again. The machine must catch up, and no machine may lead or answer with an old
// state.
func TestInterruptedSnapshotTransfer(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(w *world, from, to *node)
		times  int
	}{
		{"the sender dies", func(w *world, from, _ *node) {
			w.kill(from)
			w.schedule(3000, func() { w.boot(from, false) })
		}, 2},
		{"the sender loses its disk", func(w *world, from, _ *node) {
			w.wipe(from)
			w.schedule(3000, func() { w.boot(from, false) })
		}, 1},
		{"the receiver dies", func(w *world, _, to *node) {
			w.kill(to)
			w.boot(to, false) // receives it in its next incarnation
		}, 4},
		{"the receiver dies and returns later", func(w *world, _, to *node) {
			w.kill(to)
			w.schedule(1200, func() { w.boot(to, false) })
		}, 3},
		{"the receiver loses its disk again", func(w *world, _, to *node) {
			w.wipe(to)
			w.boot(to, false)
		}, 3},
		{"another view", func(w *world, from, to *node) {
			for _, n := range w.nodes {
				if n != from && n != to {
					w.kill(n)
					w.schedule(2500, func() { w.boot(n, false) })
				}
			}
		}, 1},
		{"cut", func(w *world, from, to *node) {
			w.cut[[2]string{from.addr, to.addr}], w.cut[[2]string{to.addr, from.addr}] = true, true
			w.schedule(700, func() { clear(w.cut) })
		}, 5},
		{"frozen", func(w *world, _, to *node) { w.freeze(to, 1500) }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			interrupted := 0
			for seed := range uint64(2) {
				w := newWorld(seed, 5, 5, faults{})
				w.run(1500)
				w.submitMany(5)
				down := w.nodes[seed%5]
				w.wipe(down)
				w.run(w.now + 2500)
				w.submitMany(20)
				w.boot(down, false)
				lastSent := map[uint64]float64{}
				w.snapshotSender(lastSent)
				remaining := c.times
				for end := w.now + 6000; w.now < end && w.violation == nil; {
					if w.rng.IntN(100) == 0 {
						for _, n := range w.nodes {
							if n.up {
								w.submit(n)
								w.read(n)
							}
						}
					}
					w.run(w.now + 2)
					if from := w.snapshotSender(lastSent); from != nil && remaining > 0 && down.up {
						remaining--
						interrupted++
						c.strike(w, from, down)
					}
				}
				clear(w.cut)
				w.endFailures(true)
				w.run(w.now + 4000)
				w.requireProgress("an interrupted snapshot transfer")
				w.run(w.now + 3000)
				w.requireSettled()
				assert.NilError(t, w.violation, "seed %d", seed)
			}
			assert.Assert(t, interrupted >= 2, "%d transfers interrupted, expected at least 2", interrupted)
		})
	}
}

// TestSnapshotAcceptance checks which snapshots are accepted: the view number and the position of the
// last entry decide.
func TestSnapshotAcceptance(t *testing.T) {
	d2 := MachineID{"d:1", "two"}
	snapshot := func(view, last uint64, tail int) SnapshotTransfer {
		f := SnapshotTransfer{View: view, Snapshot: LogSnapshot{State: State{Last: LogPosition{last, view}, Edition: last}}}
		for i := range tail {
			prev := LogPosition{last + uint64(i), view}
			f.Snapshot.Uncommitted = append(f.Snapshot.Uncommitted, Entry{LogPosition: LogPosition{prev.Seq + 1, view}, Prev: prev, Change: putChange(prev.Seq + 1)})
		}
		return f
	}
	core := []MachineID{a1, b1, c1}
	for _, c := range []struct {
		name   string
		self   MachineID
		before []SnapshotTransfer // accepted from the first member of the chain
		from   MachineID
		fill   SnapshotTransfer
		faults faults
		last   uint64 // newest entry held afterwards
		base   uint64
	}{
		{name: "to a joining machine", self: d2, from: a1, fill: snapshot(3, 9, 1), last: 10, base: 9},
		{name: "of an older view", self: d2, from: a1, fill: snapshot(2, 9, 1)},
		{name: "of a later view", self: d2, from: a1, fill: snapshot(4, 9, 1)},
		{name: "from a machine outside the chain", self: d2, from: MachineID{"e:1", "x"}, fill: snapshot(3, 9, 1)},
		{name: "from a machine that has lost its disk", self: d2, from: MachineID{"a:1", "other"}, fill: snapshot(3, 9, 1)},
		{name: "second, older", self: d2, before: []SnapshotTransfer{snapshot(3, 9, 2)}, from: a1, fill: snapshot(3, 8, 1), last: 11, base: 9},
		{name: "second, as new but with fewer commits", self: d2, before: []SnapshotTransfer{snapshot(3, 9, 2)}, from: a1, fill: snapshot(3, 8, 3), last: 11, base: 9},
		{name: "second, newer", self: d2, before: []SnapshotTransfer{snapshot(3, 9, 0)}, from: a1, fill: snapshot(3, 12, 0), last: 12, base: 12},
		{name: "to a member, from its predecessor", self: b1, from: a1, fill: snapshot(3, 9, 1), last: 10, base: 9},
		{name: "to a member, from its successor", self: b1, from: c1, fill: snapshot(3, 9, 1)},
		{name: "to a member, delayed: acknowledged entries stay", self: b1, before: []SnapshotTransfer{snapshot(3, 9, 2)}, from: a1, fill: snapshot(3, 9, 1), last: 11, base: 9},
		{name: "fault", self: b1, before: []SnapshotTransfer{snapshot(3, 9, 2)}, from: a1, fill: snapshot(3, 9, 1), faults: faults{acceptLateSnapshot: true}, last: 10, base: 9},
		{name: "to the head", self: a1, from: b1, fill: snapshot(3, 9, 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			disk := []Record{{Disk: c.self.Disk, View: &ViewRecord{View: View{Number: 3, Chain: core, Core: core}}}}
			m := New(Config{Self: MachineID{Addr: c.self.Addr}, Seed: 7}, disk, 1000)
			m.faults = c.faults
			for i, f := range c.before {
				m.Step(1010+float64(i), received(a1, c.self, Message{Snapshot: &f}))
			}
			o := m.Step(1100, received(c.from, c.self, Message{Snapshot: &c.fill}))
			assert.Equal(t, m.lastPosition().Seq, c.last)
			assert.Equal(t, m.committed.Last.Seq, c.base)
			if c.self == d2 {
				assert.Assert(t, !m.isComplete(), "a machine outside the chain must not count as complete")
				assert.Assert(t, len(sentParts(m.Step(1110, Event{Read: &Read{ID: 1}}), func(g Message) *ReadAnswer { return g.ReadAnswer })) == 0)
			}
			// What was accepted must be on disk before it is acknowledged.
			for _, r := range o.Persist {
				if r.Snapshot != nil {
					again := New(Config{Self: MachineID{Addr: c.self.Addr}, Seed: 8}, append(disk, o.Persist...), 0)
					assert.Equal(t, again.lastPosition(), m.lastPosition())
				}
			}
		})
	}
}
