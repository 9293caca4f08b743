package chain

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// configurationChange returns a change that sets a configuration.
func configurationChange(edition uint64, body string) Change {
	return Change{Kind: PutConfiguration, Edition: edition, Body: []byte(body)}
}

// namedOrder returns a change that sets a named order.
func namedOrder(no uint64, body string) Change {
	return Change{Kind: SetOrder, Name: "n", Number: no, Body: []byte(body)}
}

// stateAfter returns a state after some changes.
func stateAfter(state State, changes ...Change) State {
	for _, c := range changes {
		prev := state.Last
		state = state.apply(Entry{LogPosition: LogPosition{Seq: prev.Seq + 1, View: 1}, Prev: prev, Change: c})
	}
	return state
}

// TestClassifyOrders checks how an order is compared with the committed ones under its
// number.
func TestClassifyOrders(t *testing.T) {
	legacy := State{Edition: 7, Body: []byte("seven"), Orders: map[string]NamedOrder{"n": {Number: 3, Body: []byte("three")}}} // written before identities were stored
	state := stateAfter(State{}, configurationChange(7, "seven"), configurationChange(9, "nine"), configurationChange(4, "four"), namedOrder(3, "three"), namedOrder(5, "five"))
	full := State{}
	for e := range uint64(maxIdentities) {
		full = stateAfter(full, configurationChange(2*e+100, fmt.Sprint(e)))
	}
	for _, c := range []struct {
		name string
		held State
		c    Change
		want orderStatus
	}{
		{"a first one", State{}, configurationChange(1, "x"), orderNew},
		{"edition 0", State{}, configurationChange(0, "x"), orderNew},
		{"edition 0 again", stateAfter(State{}, configurationChange(0, "x")), configurationChange(0, "x"), orderRepeated},
		{"a newer one", state, configurationChange(10, "ten"), orderNew},
		{"the one in force", state, configurationChange(9, "nine"), orderRepeated},
		{"another under its number", state, configurationChange(9, "nein"), orderConflicting},
		{"an earlier one", state, configurationChange(7, "seven"), orderRepeated},
		{"another under the earlier number", state, configurationChange(7, "nine"), orderConflicting},
		{"the first of two that got into a log", stateAfter(state, configurationChange(9, "nein")), configurationChange(9, "nine"), orderRepeated},
		{"one that came late and never held", state, configurationChange(4, "four"), orderRepeated},
		{"another under that number", state, configurationChange(4, "for"), orderConflicting},
		{"below the one in force, never seen", state, configurationChange(8, "eight"), orderNew},
		{"the one in force, of a state without identities", legacy, configurationChange(7, "seven"), orderRepeated},
		{"another, of such a state", legacy, configurationChange(7, "x"), orderConflicting},
		{"and after the next one", stateAfter(legacy, configurationChange(8, "eight")), configurationChange(7, "x"), orderConflicting},
		{"the lowest of as many as are kept", full, configurationChange(100, "0"), orderRepeated},
		{"another under its number", full, configurationChange(100, "x"), orderConflicting},
		{"one that was dropped", stateAfter(full, configurationChange(9999, "x")), configurationChange(100, "x"), orderNew},
		{"the next", stateAfter(full, configurationChange(9999, "x")), configurationChange(102, "1"), orderRepeated},
		{"an order by name", state, namedOrder(5, "five"), orderRepeated},
		{"an earlier one by name", state, namedOrder(3, "three"), orderRepeated},
		{"another by name", state, namedOrder(5, "x"), orderConflicting},
		{"another under the earlier number by name", state, namedOrder(3, "x"), orderConflicting},
		{"one by name that was overtaken", state, namedOrder(4, "x"), orderConflicting},
		{"a newer one by name", state, namedOrder(6, "x"), orderNew},
		{"by name, of a state without identities", legacy, namedOrder(3, "three"), orderRepeated},
		{"by name, after the next one", stateAfter(legacy, namedOrder(4, "four")), namedOrder(3, "three"), orderRepeated},
		{"a zone", state, Change{Kind: Evacuate, Zone: "z"}, orderNew},
	} {
		assert.Equal(t, c.held.classify(c.c), c.want, c.name)
	}
	assert.Equal(t, len(full.Identities), maxIdentities)
	assert.Equal(t, len(stateAfter(full, configurationChange(9999, "x"), configurationChange(1, "y")).Identities), maxIdentities)
	assert.Assert(t, state.WasCommitted("n", 3, []byte("three")) && !state.WasCommitted("n", 4, []byte("four")))
	before := fmt.Sprint(state)
	stateAfter(state, configurationChange(8, "eight"), configurationChange(11, "x"), namedOrder(9, "x"), Change{Kind: RepeatedOrder, Edition: 9})
	assert.Equal(t, fmt.Sprint(state), before, "a state that was handed out was modified")
}

// TestConflictingOrderWaitsForCommit checks that a second order under a number is neither accepted nor
// refused while the first is uncommitted, because it is not yet known which of them will be
// committed.
func TestConflictingOrderWaitsForCommit(t *testing.T) {
	for _, newChange := range []func(uint64, string) Change{configurationChange, namedOrder} {
		m, _ := newMachine(t, a1, faults{})
		forward := func(id uint64, c Change) []ChangeOutcome {
			return sentParts(m.Step(1020, received(c1, a1, Message{ForwardedChange: &ForwardedChange{ID: id, Incarnation: 5, Change: c}})), func(g Message) *ChangeOutcome { return g.ChangeOutcome })
		}
		assert.Equal(t, len(forward(1, newChange(4, "one"))), 0)
		held := m.lastPosition()
		assert.Equal(t, len(forward(2, newChange(4, "two"))), 0)
		assert.Equal(t, m.lastPosition(), held, "the conflicting order was written")
		assert.Equal(t, len(forward(3, newChange(4, "one"))), 0)
		o := m.Step(1030, received(b1, a1, Message{Appended: &Appended{View: 1, Last: held, Committed: held}}))
		got := sentParts(o, func(g Message) *ChangeOutcome { return g.ChangeOutcome })
		assert.DeepEqual(t, got, []ChangeOutcome{{ID: 1, Incarnation: 5}, {ID: 3, Incarnation: 5}})
		assert.DeepEqual(t, forward(2, newChange(4, "two")), []ChangeOutcome{{ID: 2, Incarnation: 5, Refused: true}})
		// The same order again passes through the chain without its body.
		assert.Equal(t, len(forward(4, newChange(4, "one"))), 0)
		repeated := m.uncommitted[len(m.uncommitted)-1]
		assert.Equal(t, repeated.Change.Kind, RepeatedOrder)
		assert.Equal(t, len(repeated.Change.Body), 0)
		assert.Equal(t, len(forward(5, newChange(4, "one"))), 0, "it must wait for the uncommitted entry")
		assert.Equal(t, m.lastPosition(), repeated.LogPosition)
		// A machine cannot forward a change of that kind itself.
		forward(6, Change{Kind: RepeatedOrder, Edition: 99})
		assert.Equal(t, m.lastPosition(), repeated.LogPosition)
	}
}

// TestPartitionedHeadConfirmsNoRepeat checks that a head that nobody hears does not confirm an
// order that was committed before: it may have been replaced, so it cannot know which orders hold.
func TestPartitionedHeadConfirmsNoRepeat(t *testing.T) {
	w := newWorld(3, 3, 3, faults{})
	w.noDelays = true
	w.run(1000)
	head := w.nodes[0]
	assert.Equal(t, head.machine.chainIndex(), 0)
	first := w.submit(head)
	w.run(w.now + 500)
	assert.Equal(t, *first.outcome, OK)
	for _, n := range w.nodes[1:] { // a one-way cut: the head hears the others but is not heard
		w.cut[[2]string{head.addr, n.addr}] = true
	}
	w.run(w.now + 1)
	repeated := &call{node: head, edition: first.edition}
	w.request(head, repeated, Event{Submit: &Submit{Change: configurationChange(first.edition, fmt.Sprint("body ", first.edition))}})
	w.run(w.now + 1500)
	assert.Equal(t, *repeated.outcome, Unknown)
	assert.NilError(t, w.violation)
}

// rival is an operator whose order has the same number as another operator's. It submits the order
// again at any reachable machine after each inconclusive answer and after a second of silence.
type rival struct {
	change                Change
	ids                   map[uint64]*call
	acknowledged, refused int
	sentAt                float64
}

// update processes the answers that have come, including late ones, and reports whether to submit
// again.
func (r *rival) update(w *world) bool {
	for id, request := range r.ids {
		if request.outcome == nil && w.calls[id] == request {
			continue
		}
		delete(r.ids, id)
		switch {
		case request.outcome == nil: // lost together with its machine
		case *request.outcome == OK:
			r.acknowledged++
		case *request.outcome == Refused:
			r.refused++
		}
	}
	return len(r.ids) == 0 || w.now-r.sentAt > 1000
}

// submitAt submits the order at a machine.
func (r *rival) submitAt(w *world, n *node) {
	request := &call{node: n, edition: r.change.Edition}
	w.request(n, request, Event{Submit: &Submit{Change: r.change}})
	r.ids[w.lastID] = request
	r.sentAt = w.now
}

// runIgnoringBodies runs a world in which the body under a number may be any rival's: the world's
// complaints about bodies are ignored.
func runIgnoringBodies(w *world, until float64) {
	for w.run(until); w.violation != nil && strings.Contains(w.violation.Error(), "wrong body"); w.run(until) {
		w.violation = nil
	}
}

// runRivals has two operators submit orders under one number during failures until both are answered.
// Each then submits once more at every machine.
func runRivals(t *testing.T, seed uint64, machines int, kind string) {
	w := newWorld(seed, machines, machines, faults{})
	w.encodeAll = seed%10 == 0
	rng := rand.New(rand.NewPCG(seed, 7))
	runIgnoringBodies(w, 600)
	var bodies [2]Change
	for i := range bodies {
		body := fmt.Sprint("of operator ", i)
		switch kind {
		case "in force":
			bodies[i] = configurationChange(1000, body)
		case "below":
			bodies[i] = configurationChange(5, body)
		case "by name":
			bodies[i] = namedOrder(5, body)
		}
	}
	w.edition = 10 // of the load below
	if kind == "below" {
		w.submit(w.nodes[0])
		runIgnoringBodies(w, 900)
	}
	rivals := []*rival{{change: bodies[0], ids: map[uint64]*call{}}, {change: bodies[1], ids: map[uint64]*call{}}}
	const end = 3500
	failuresEnded := false
	for w.now < end+4000 && w.violation == nil {
		answered := 0
		for _, r := range rivals {
			idle := r.update(w)
			if r.acknowledged+r.refused > 0 {
				answered++
				continue
			}
			if n := w.nodes[rng.IntN(len(w.nodes))]; n.up && idle {
				r.submitAt(w, n)
			}
		}
		if w.now < end && answered < 2 || !failuresEnded && w.now < end {
			switch rng.IntN(12) {
			case 0, 1:
				w.injectFailure()
			case 2:
				w.submit(w.nodes[rng.IntN(len(w.nodes))]) // an unrelated order; the machine may be down
			case 3:
				w.kill(w.nodes[rng.IntN(len(w.nodes))])
			}
		} else if !failuresEnded {
			failuresEnded = true
			w.endFailures(true)
		} else if answered == 2 {
			break
		}
		for _, n := range w.nodes {
			if !n.up && rng.IntN(8) == 0 {
				w.boot(n, false)
			}
		}
		runIgnoringBodies(w, w.now+40)
	}
	assert.NilError(t, w.violation, "seed %d", seed)
	runIgnoringBodies(w, w.now+5000) // delayed messages arrive
	for _, r := range rivals {
		r.update(w)
		assert.Assert(t, r.acknowledged == 0 || r.refused == 0, "seed %d: acknowledged %d times and refused %d times", seed, r.acknowledged, r.refused)
	}
	assert.Assert(t, (rivals[0].acknowledged > 0) != (rivals[1].acknowledged > 0), "seed %d: acknowledged %d and %d times, refused %d and %d", seed,
		rivals[0].acknowledged, rivals[1].acknowledged, rivals[0].refused, rivals[1].refused)
	for _, n := range w.nodes {
		for _, r := range rivals {
			ok := r.acknowledged > 0
			for try := 0; ; try++ { // a late failure may still cause a view change
				r.acknowledged, r.refused = 0, 0
				r.submitAt(w, n)
				runIgnoringBodies(w, w.now+1100)
				if r.update(w); r.acknowledged+r.refused > 0 || try == 4 {
					break
				}
			}
			assert.Assert(t, r.acknowledged > 0 == ok && r.refused > 0 == !ok, "seed %d at %s: %v", seed, n.addr, ok)
		}
	}
	assert.NilError(t, w.violation, "seed %d", seed)
}

// TestTwoOperatorsWithOneNumber checks that one of two orders under a number is acknowledged and the
// other refused despite failures, and that each operator gets the same answer at every machine
// afterwards.
func TestTwoOperatorsWithOneNumber(t *testing.T) {
	runs := uint64(4)
	if n, err := strconv.ParseUint(os.Getenv("CAIRN_RIVALS"), 10, 64); err == nil { // number of runs requested
		runs = n
	}
	for _, kind := range []string{"in force", "below", "by name"} {
		for _, machines := range []int{3, 4, 5} {
			t.Run(fmt.Sprintf("%s, %d machines", kind, machines), func(t *testing.T) {
				t.Parallel()
				for seed := range runs {
					runRivals(t, seed, machines, kind)
				}
			})
		}
	}
}

// TestRepeatedOrderIsAcknowledged submits committed orders again after their answers were lost and
// others have come, at any machine, before and after view changes, restarts, snapshots and the
// recovery of a member.
func TestRepeatedOrderIsAcknowledged(t *testing.T) {
	w := newWorld(11, 3, 3, faults{})
	w.noDelays, w.encodeAll = true, true
	w.run(1000)
	const orders = 40
	for range orders {
		for c := w.submit(w.nodes[w.edition%3]); c.outcome == nil; {
			w.run(w.now + 10)
		}
	}
	assert.Equal(t, w.acknowledgedChanges, orders)
	assert.Assert(t, len(w.nodes[0].disk) < 2*orders, "snapshots were taken")
	resubmit := func(when string) {
		for _, n := range w.nodes {
			for e := uint64(1); e <= orders; e += 3 {
				same, other := &call{node: n}, &call{node: n}
				w.request(n, other, Event{Submit: &Submit{Change: configurationChange(e, fmt.Sprint("bodies ", e))}})
				w.run(w.now + 950)
				assert.Assert(t, other.outcome != nil && *other.outcome == Refused, "%s: another edition %d at %s", when, e, n.addr)
				w.request(n, same, Event{Submit: &Submit{Change: configurationChange(e, fmt.Sprint("body ", e))}})
				w.run(w.now + 950)
				assert.Assert(t, same.outcome != nil && *same.outcome == OK, "%s: edition %d at %s", when, e, n.addr)
			}
			assert.Equal(t, n.machine.committed.Edition, uint64(orders))
		}
	}
	resubmit("at first")
	w.kill(w.nodes[0]) // the head
	w.run(w.now + 3000)
	w.boot(w.nodes[0], false)
	w.run(w.now + 3000)
	resubmit("after a change of view")
	for _, n := range w.nodes {
		w.kill(n)
	}
	for _, n := range w.nodes {
		w.boot(n, false)
	}
	w.run(w.now + 3000)
	resubmit("after a restart of all")
	for _, n := range w.nodes { // each disk in turn is lost and restored from a snapshot
		w.wipe(n)
		w.run(w.now + 3000)
		w.boot(n, false)
		w.run(w.now + 3000)
	}
	resubmit("from fills alone")
	assert.NilError(t, w.violation)
}

// TestManyOrdersAtOnce checks that twice as many orders as the window, with as many conflicting and
// repeated ones, are all answered within the time limit of one call.
func TestManyOrdersAtOnce(t *testing.T) {
	for _, machines := range []int{3, 4, 5} {
		w := newWorld(5, machines, machines, faults{})
		w.noDelays = true
		w.run(1000)
		w.submit(w.nodes[0])
		w.run(w.now + 500)
		var newOrders, repeatedOrders, conflictingOrders []*call
		add := func(to *[]*call, i int, c Change) {
			request := &call{node: w.nodes[i%machines]}
			*to = append(*to, request)
			w.request(request.node, request, Event{Submit: &Submit{Change: c}})
		}
		for i := range 16 {
			w.edition++
			add(&newOrders, i, configurationChange(w.edition, fmt.Sprint("body ", w.edition)))
			add(&repeatedOrders, i, configurationChange(1, "body 1"))
			add(&conflictingOrders, i, configurationChange(1, "another"))
		}
		w.run(w.now + 950)
		for _, c := range []struct {
			of   []*call
			want Outcome
		}{{newOrders, OK}, {repeatedOrders, OK}, {conflictingOrders, Refused}} {
			for i, request := range c.of {
				assert.Assert(t, request.outcome != nil && *request.outcome == c.want, "%d machines, order %d of those that end as %v", machines, i, c.want)
			}
		}
		assert.NilError(t, w.violation)
	}
}
