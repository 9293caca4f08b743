package chain

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartitionedMachineAnswersNothingCurrent partitions each machine of the chain in turn for 20
// s: it hears nobody, is heard by nobody, both, or is frozen, while operators submit and read at
// all machines. One lease duration after the cut it must no longer answer anything that has to be
// current. The other machines go on, and after the cut all agree. The simulation itself checks that
// no read is older than what was acknowledged before it was requested.
func TestPartitionedMachineAnswersNothingCurrent(t *testing.T) {
	const length, every = 20_000.0, 500.0
	for _, machines := range []int{3, 4} {
		for at := range machines {
			for _, direction := range []string{"hears nobody", "is heard by nobody", "neither", "frozen"} {
				if machines == 4 && (direction == "neither" || direction == "frozen") {
					continue // same as with three machines
				}
				t.Run(fmt.Sprintf("%d of %d, %s", at+1, machines, direction), func(t *testing.T) {
					t.Parallel()
					w := newWorld(uint64(at+1), machines, machines, faults{})
					w.noDelays = true
					w.run(1500)
					partitioned := w.nodes[at]
					for _, n := range w.nodes {
						if n != partitioned && direction != "is heard by nobody" {
							w.cut[[2]string{n.addr, partitioned.addr}] = true
						}
						if n != partitioned && direction != "hears nobody" {
							w.cut[[2]string{partitioned.addr, n.addr}] = true
						}
					}
					if direction == "frozen" { // messages on their way are delivered when it wakes up
						clear(w.cut)
						w.freeze(partitioned, length)
					}
					cutAt := w.now
					late := cutAt + 650 // a lease and the messages that were on their way
					var partitionedRequests, others []*call
					for w.now < cutAt+length && w.violation == nil {
						for _, n := range w.nodes {
							requests := []*call{w.submit(n), w.read(n)}
							switch {
							case n == partitioned && w.now > late:
								partitionedRequests = append(partitionedRequests, requests...)
							case n != partitioned && w.now > cutAt+3500:
								others = append(others, requests...)
							}
						}
						w.run(w.now + every)
					}
					ok := 0
					for _, c := range partitionedRequests {
						if c.outcome != nil && *c.outcome == OK && c.startedAt < cutAt+length-1000 {
							ok++
						}
					}
					if direction != "frozen" { // a machine that wakes up may find its requests just answered
						assert.Equal(t, ok, 0, "successes of %d requests", len(partitionedRequests))
					}
					w.run(w.now + 1000)
					for _, c := range others {
						assert.Assert(t, c.outcome != nil && *c.outcome == OK, "requested %.0f ms after the cut (a read: %v)", c.startedAt-cutAt, c.read)
					}
					clear(w.cut)
					w.run(w.now + 4000)
					w.requireProgress("the end of a partition")
					w.run(w.now + 1000)
					w.requireSettled()
					assert.NilError(t, w.violation)
				})
			}
		}
	}
}

// TestFrozenTailDoesNotUseOldLease checks a tail that was frozen: it must not answer requests that
// came meanwhile with a lease from before, and requests that came before only with what was true
// then.
func TestFrozenTailDoesNotUseOldLease(t *testing.T) {
	w := newWorld(2, 3, 3, faults{})
	w.noDelays = true
	w.run(1500)
	tail := w.nodes[2]
	assert.Assert(t, tail.machine.isTail())
	asked := w.read(tail)
	w.freeze(tail, 20_000) // while it is answering
	w.run(w.now + 3500)
	change := w.submit(w.nodes[0])
	w.run(w.now + 900)
	assert.Equal(t, *change.outcome, OK)
	during := w.read(tail)
	w.run(w.now + 15_500)
	assert.Equal(t, tail.machine.View().Number, uint64(1), "it must not have heard anything yet")
	w.run(w.now + 300)
	assert.Assert(t, asked.outcome != nil && during.outcome != nil)
	assert.NilError(t, w.violation) // the simulation compares each read with what was acknowledged before it
	// The same with leases ignored: the simulation must detect it.
	w = newWorld(2, 3, 3, faults{ignoreLeases: true})
	w.noDelays = true
	w.run(1500)
	tail = w.nodes[2]
	for _, n := range w.nodes[:2] {
		w.cut[[2]string{n.addr, tail.addr}], w.cut[[2]string{tail.addr, n.addr}] = true, true
	}
	w.run(w.now + 3500)
	w.submit(w.nodes[0])
	w.run(w.now + 900)
	w.read(tail)
	w.run(w.now + 500)
	assert.ErrorContains(t, w.violation, "after 1 was acknowledged")
}

// TestDelayedZoneChangeIsSuperseded delays a zone change in a frozen machine while another machine
// evacuates the zone and ends the evacuation. A delayed change that carries the state its caller
// knew of is no longer applied; without that it is applied as if it were new.
func TestDelayedZoneChangeIsSuperseded(t *testing.T) {
	for _, withKnownPosition := range []bool{true, false} {
		w := newWorld(4, 3, 3, faults{})
		w.noDelays = true
		w.run(1500)
		submitChange := func(n *node, kind ChangeKind, after LogPosition) *call {
			c := &call{node: n, zone: true}
			w.request(n, c, Event{Submit: &Submit{Change: Change{Kind: kind, Zone: "z"}, KnownPosition: after}})
			return c
		}
		frozen, healthy := w.nodes[1], w.nodes[2]
		first := frozen.machine.State().Last
		w.freeze(frozen, 20_000)
		var late *call
		if withKnownPosition {
			late = submitChange(frozen, Evacuate, first)
		} else {
			late = submitChange(frozen, Evacuate, LogPosition{})
		}
		w.run(w.now + 4000)
		for _, kind := range []ChangeKind{Evacuate, EndEvacuation} {
			c := submitChange(healthy, kind, healthy.machine.State().Last)
			w.run(w.now + 900)
			assert.Equal(t, *c.outcome, OK)
		}
		w.run(w.now + 20_000)
		_, emptied := w.nodes[0].machine.State().Evacuated["z"]
		assert.Equal(t, emptied, !withKnownPosition)
		if withKnownPosition {
			assert.Equal(t, *late.outcome, Superseded)
		}
		// A change that knows of the newer ones is accepted.
		c := submitChange(frozen, Evacuate, frozen.machine.State().Last)
		w.run(w.now + 900)
		assert.Equal(t, *c.outcome, OK)
		assert.NilError(t, w.violation)
	}
}

// TestKnownPositionOfChangeStays checks that the known position given by a caller does not advance
// while the change waits and its machine learns more, because the caller knew no more.
func TestKnownPositionOfChangeStays(t *testing.T) {
	for _, known := range []LogPosition{{}, {Seq: 1, View: 1}} {
		m, _ := newMachine(t, b1, faults{})
		forwardedPosition := func(o Output) LogPosition {
			got := sentParts(o, func(g Message) *ForwardedChange { return g.ForwardedChange })
			assert.Equal(t, len(got), 1)
			return got[0].KnownPosition
		}
		entry := Entry{LogPosition: LogPosition{1, 1}}
		m.Step(1005, received(a1, b1, Message{Snapshot: &SnapshotTransfer{View: 1, Snapshot: LogSnapshot{State: State{Last: entry.LogPosition}}}}))
		first := forwardedPosition(m.Step(1010, Event{Submit: &Submit{ID: 1, Change: Change{Kind: Evacuate, Zone: "z"}, KnownPosition: known}}))
		assert.Equal(t, first, LogPosition{1, 1})
		m.Step(1020, received(a1, b1, Message{Snapshot: &SnapshotTransfer{View: 1, Snapshot: LogSnapshot{State: State{Last: LogPosition{4, 1}}}}}))
		assert.Equal(t, m.State().Last, LogPosition{4, 1})
		again := forwardedPosition(m.Step(1300, Event{}))
		assert.Equal(t, again == first, known != LogPosition{}, "%v", again)
	}
}
