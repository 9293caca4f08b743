package chain

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	a1 = MachineID{"a:1", "first"}
	b1 = MachineID{"b:1", "first"}
	c1 = MachineID{"c:1", "first"}
)

// newMachine creates a machine of a core of three at its first start and returns it with the
// records it wrote.
func newMachine(t *testing.T, self MachineID, f faults) (*Machine, []Record) {
	t.Helper()
	m := New(Config{Self: MachineID{Addr: self.Addr}, Seeds: []string{"b:1", "a:1", "c:1"}, FirstRun: true, Seed: 1}, nil, 1000)
	m.faults = f
	return m, m.Step(1000, Event{}).Persist
}

// received returns the event of receiving a message.
func received(sender, to MachineID, msg Message) Event {
	msg.From, msg.To = sender, to
	return Event{Message: &msg}
}

// sentParts returns one kind of part from all messages sent in a step.
func sentParts[T any](out Output, pick func(Message) *T) []T {
	var parts []T
	for _, msg := range out.Send {
		if part := pick(msg); part != nil {
			parts = append(parts, *part)
		}
	}
	return parts
}

// putChange returns a change that sets a configuration.
func putChange(edition uint64) Change {
	return Change{Kind: PutConfiguration, Edition: edition, Body: []byte("body")}
}

// TestFirstStart checks the view of a first start, a restart from its records, and a start with an
// empty disk later on, which must not pass for a first start.
func TestFirstStart(t *testing.T) {
	m, records := newMachine(t, b1, faults{})
	assert.DeepEqual(t, m.View(), View{Number: 1, Epoch: 1, Seats: 3, Chain: []MachineID{a1, b1, c1}, Core: []MachineID{a1, b1, c1}})
	assert.Equal(t, len(records), 1)
	again := New(Config{Self: MachineID{Addr: "b:1"}, Seeds: []string{"x:1"}, Seed: 2}, records, 5)
	assert.Equal(t, again.Self(), b1)
	assert.DeepEqual(t, again.View(), m.View())
	wiped := New(Config{Self: MachineID{Addr: "b:1"}, Seeds: []string{"a:1", "b:1", "c:1"}, Seed: 3}, nil, 5)
	assert.Assert(t, wiped.Self().Disk != "first")
	assert.Equal(t, wiped.View().Number, uint64(0))
}

// TestSingleMachineChain checks that a single machine commits and reads by itself and ignores older
// versions.
func TestSingleMachineChain(t *testing.T) {
	m := New(Config{Self: MachineID{Addr: "a:1"}, Seeds: []string{"a:1"}, FirstRun: true, Seed: 1}, nil, 0)
	m.Step(0, Event{})
	o := m.Step(10, Event{Submit: &Submit{ID: 7, Change: putChange(3)}})
	assert.DeepEqual(t, o.Results, []Result{{ID: 7, Outcome: OK}})
	assert.Assert(t, len(o.Persist) > 0 && o.StateChanged)
	o = m.Step(11, Event{Read: &Read{ID: 8}})
	assert.Equal(t, o.Results[0].State.Edition, uint64(3))
	m.Step(12, Event{Submit: &Submit{ID: 9, Change: putChange(2)}})
	assert.Equal(t, m.State().Edition, uint64(3))
}

// TestVoteSurvivesRestart checks that a vote survives a restart: an acceptor that forgot its vote
// could help to decide two views under one number.
func TestVoteSurvivesRestart(t *testing.T) {
	for _, f := range []faults{{}, {forgetVotes: true}} {
		m, disk := newMachine(t, b1, f)
		value := View{Number: 2, Chain: []MachineID{a1, b1}, Core: m.View().Core}
		disk = append(disk, m.Step(1010, received(a1, b1, Message{Accept: &Accept{Ballot: Ballot{5, a1}, Base: m.View(), Value: value}})).Persist...)
		m = New(Config{Self: MachineID{Addr: "b:1"}, Seed: 9}, disk, 0)
		if f.forgetVotes {
			m.promised, m.accepted = Ballot{}, nil
		}
		ask := func(r uint64) Promise {
			o := m.Step(2000, received(c1, b1, Message{Prepare: &Prepare{Ballot: Ballot{r, c1}, Base: m.View()}}))
			return sentParts(o, func(g Message) *Promise { return g.Promise })[0]
		}
		low, high := ask(4), ask(6)
		kept := !low.OK && high.OK && high.Accepted != nil && high.Accepted.Value.Number == 2
		assert.Equal(t, kept, !f.forgetVotes)
	}
}

// TestVoteWaitsForLeases checks that a machine votes for the next view only after the leases it
// granted have ended: while the old tail may still answer reads, no view may follow that it does
// not know.
func TestVoteWaitsForLeases(t *testing.T) {
	for _, c := range []struct {
		name    string
		at      float64
		restart bool
		release bool
		faults  faults
		votes   bool
	}{
		{name: "lease is held", at: 1400},
		{name: "lease is over", at: 1700, votes: true},
		{name: "lease was given back", at: 1400, release: true, votes: true},
		{name: "soon after a start", at: 1400, restart: true},
		{name: "long after a start", at: 2100, restart: true, votes: true},
		{name: "fault", at: 1400, faults: faults{voteDespiteLeases: true}, votes: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, disk := newMachine(t, b1, c.faults)
			o := m.Step(1010, received(c1, b1, Message{Heartbeat: &Heartbeat{View: 1, LeaseRequest: 4, Incarnation: 77}}))
			assert.Equal(t, len(sentParts(o, func(g Message) *LeaseGrant { return g.Grant })), 1)
			if c.restart {
				m = New(Config{Self: MachineID{Addr: "b:1"}, Seed: 9}, disk, 1300)
			}
			if c.release {
				m.Step(1020, received(c1, b1, Message{Release: &LeaseGrant{View: 1, Request: 4, Incarnation: 77}}))
			}
			v := m.View()
			value := View{Number: 2, Chain: []MachineID{a1, b1}, Core: v.Core}
			o = m.Step(c.at, received(a1, b1, Message{Accept: &Accept{Ballot: Ballot{5, a1}, Base: v, Value: value}}))
			assert.Equal(t, len(sentParts(o, func(g Message) *Accepted { return g.Accepted })) == 1, c.votes)
			o = m.Step(3000, Event{})
			assert.Equal(t, len(sentParts(o, func(g Message) *Accepted { return g.Accepted })) == 1, !c.votes)
			o = m.Step(3010, received(c1, b1, Message{Heartbeat: &Heartbeat{View: 1, LeaseRequest: 9, Incarnation: 77}}))
			assert.Equal(t, len(sentParts(o, func(g Message) *LeaseGrant { return g.Grant })), 0) // no lease is granted after the vote
		})
	}
}

// TestAppendOfOlderViewIsRefused checks that entries of an older view are refused. An entry of the
// old head that reaches one member of the new chain could be acknowledged there and be missing on
// the others.
func TestAppendOfOlderViewIsRefused(t *testing.T) {
	for _, f := range []faults{{}, {acceptOldViews: true}} {
		m, _ := newMachine(t, c1, f)
		e := Entry{LogPosition: LogPosition{1, 1}}
		m.Step(1010, received(b1, c1, Message{Append: &Append{View: 1, Entries: []Entry{e}}}))
		assert.Equal(t, m.State().Last, LogPosition{1, 1})
		m.Step(1020, received(b1, c1, Message{NewView: &View{Number: 2, Chain: []MachineID{b1, c1}, Core: m.View().Core}}))
		o := m.Step(1030, received(b1, c1, Message{Append: &Append{View: 1, Entries: []Entry{{LogPosition: LogPosition{2, 1}, Prev: e.LogPosition, Change: putChange(1)}}}}))
		assert.Equal(t, m.lastPosition() == LogPosition{1, 1}, !f.acceptOldViews)
		assert.Equal(t, len(sentParts(o, func(g Message) *View { return g.NewView })) == 1, !f.acceptOldViews)
	}
}

// TestLateSnapshotKeepsNewerEntries checks that a delayed snapshot does not remove entries that
// were acknowledged to the predecessor meanwhile.
func TestLateSnapshotKeepsNewerEntries(t *testing.T) {
	for _, f := range []faults{{}, {acceptLateSnapshot: true}} {
		m, _ := newMachine(t, b1, f)
		e := Entry{LogPosition: LogPosition{1, 1}}
		late := Message{Snapshot: &SnapshotTransfer{View: 1, Snapshot: LogSnapshot{Uncommitted: []Entry{e}}}}
		m.Step(1010, received(a1, b1, late))
		m.Step(1020, received(a1, b1, Message{Append: &Append{View: 1, Entries: []Entry{{LogPosition: LogPosition{2, 1}, Prev: e.LogPosition, Change: putChange(1)}}}}))
		assert.Equal(t, m.lastPosition(), LogPosition{2, 1})
		m.Step(1030, received(a1, b1, late))
		assert.Equal(t, m.lastPosition() == LogPosition{2, 1}, !f.acceptLateSnapshot)
	}
}

// TestJoinerOfUnopenedChainCannotLead checks that a machine that joined a chain which was never
// opened does not lead the next one: it lacks what was acknowledged after it got its snapshot, so
// with the old members gone it must wait for them.
func TestJoinerOfUnopenedChainCannotLead(t *testing.T) {
	for _, f := range []faults{{}, {allowAnyHead: true}} {
		j := New(Config{Self: MachineID{Addr: "d:1"}, Seeds: []string{"a:1"}, Seed: 1}, nil, 0)
		j.faults = f
		j.Step(0, Event{})
		d, e := j.Self(), MachineID{"e:1", "x"}
		v := View{Number: 2, Chain: []MachineID{a1, d, e}, Core: []MachineID{a1, d, e}}
		j.Step(1, received(a1, d, Message{NewView: &v}))
		for now := 10.0; now < 2000; now += 50 {
			j.Step(now, received(e, d, Message{Heartbeat: &Heartbeat{View: 2, Hears: 7}}))
		}
		assert.Equal(t, j.isComplete(), false)
		next, ok := j.wantedView()
		assert.Equal(t, ok, f.allowAnyHead)
		if ok {
			assert.DeepEqual(t, next.Chain, []MachineID{d, e})
		}
	}
}

// TestNoViewWithoutEnoughCopies checks that no view is proposed while a majority of the core is
// reachable but no chain of more than half of it can be formed.
func TestNoViewWithoutEnoughCopies(t *testing.T) {
	m, _ := newMachine(t, a1, faults{})
	d, e := MachineID{"d:1", "x"}, MachineID{"e:1", "x"}
	m.Step(1001, received(b1, a1, Message{NewView: &View{Number: 2, Chain: []MachineID{a1, b1, c1}, Core: []MachineID{a1, b1, c1, d, e}}}))
	hear := func(from1, to float64, filled bool) {
		for now := from1; now < to; now += 50 {
			for _, x := range []MachineID{d, e} {
				m.Step(now, received(x, a1, Message{Heartbeat: &Heartbeat{View: 2, Hears: 31, HasSnapshot: filled}}))
			}
		}
	}
	hear(1010, 3000, false)
	_, ok := m.wantedView()
	assert.Assert(t, !ok)
	hear(3000, 3100, true)
	next, ok := m.wantedView()
	assert.Assert(t, ok)
	assert.DeepEqual(t, next.Chain, []MachineID{a1, d, e})
}

// TestEmptySuccessorIsSentAllEntries checks that a successor without entries is sent all of them. If
// the first entry was lost before the successor's first report and a second one was written, the
// newest entry alone would make it report a gap again at once, without end.
func TestEmptySuccessorIsSentAllEntries(t *testing.T) {
	m, _ := newMachine(t, a1, faults{})
	m.Step(1010, received(c1, a1, Message{ForwardedChange: &ForwardedChange{ID: 1, Incarnation: 1, Change: putChange(3)}}))
	assert.Equal(t, m.lastPosition().Seq, uint64(2))
	o := m.Step(1020, received(b1, a1, Message{Appended: &Appended{View: 1, Gap: true}}))
	got := sentParts(o, func(g Message) *Append { return g.Append })
	assert.Equal(t, len(got), 1)
	assert.Equal(t, len(got[0].Entries), 2)
	assert.Equal(t, got[0].Entries[0].Prev, LogPosition{})
}

// TestLeaseCountsFromRequest checks that a lease counts from its request, so that a grant that
// was long on its way is worth less, and that the tail answers nobody without grants from a
// majority.
func TestLeaseCountsFromRequest(t *testing.T) {
	m, _ := newMachine(t, c1, faults{})
	o := m.Step(1010, received(b1, c1, Message{Append: &Append{View: 1, Entries: []Entry{{LogPosition: LogPosition{1, 1}}}}}))
	var request uint64
	for now := 1010.0; request == 0; now += 10 {
		for _, b := range sentParts(o, func(g Message) *Heartbeat { return g.Heartbeat }) {
			request = max(request, b.LeaseRequest)
		}
		if request == 0 {
			o = m.Step(now, Event{})
		}
	}
	requestedAt := m.now
	answers := func(now float64) bool {
		o := m.Step(now, received(b1, c1, Message{ReadRequest: &ReadRequest{ID: 1, Incarnation: 2}}))
		return len(sentParts(o, func(g Message) *ReadAnswer { return g.ReadAnswer })) > 0
	}
	assert.Assert(t, !answers(requestedAt+1), "the tail answers without a lease")
	m.Step(requestedAt+400, received(b1, c1, Message{Grant: &LeaseGrant{View: 1, Request: request, Incarnation: m.incarnation}}))
	assert.Assert(t, answers(requestedAt+590))
	assert.Assert(t, !answers(requestedAt+600), "the lease must count from its request")
}

// TestNoChainOfHalfTheCore checks that two of four machines form neither a majority nor a chain.
func TestNoChainOfHalfTheCore(t *testing.T) {
	d1 := MachineID{"d:1", "first"}
	m := New(Config{Self: MachineID{Addr: "a:1"}, Seeds: []string{"a:1", "b:1", "c:1", "d:1"}, FirstRun: true, Seed: 1}, nil, 1000)
	hear := func(until float64, who ...MachineID) {
		for now := m.now; now < until; now += 50 {
			for _, x := range who {
				m.Step(now, received(x, a1, Message{Heartbeat: &Heartbeat{View: m.view.Number, Hears: 15, Complete: x != d1}}))
			}
		}
	}
	hear(3000, b1)
	_, ok := m.wantedView()
	assert.Assert(t, !ok, "two of four must not form a majority")
	// Three of four can vote, but one of them is outside the chain and holds nothing, so only two could
	// form a chain.
	m.Step(3010, received(b1, a1, Message{NewView: &View{Number: 2, Chain: []MachineID{a1, b1, c1}, Core: []MachineID{a1, b1, c1, d1}}}))
	hear(6000, b1, d1)
	_, ok = m.wantedView()
	assert.Assert(t, !ok, "two of four must not form a chain")
}

// TestPromiseSurvivesRestart checks that a promise survives a restart: a machine that forgot it
// would vote for an older ballot.
func TestPromiseSurvivesRestart(t *testing.T) {
	m, disk := newMachine(t, b1, faults{})
	disk = append(disk, m.Step(1010, received(c1, b1, Message{Prepare: &Prepare{Ballot: Ballot{9, c1}, Base: m.View()}})).Persist...)
	m = New(Config{Self: MachineID{Addr: "b:1"}, Seed: 9}, disk, 0)
	o := m.Step(5000, received(a1, b1, Message{Accept: &Accept{Ballot: Ballot{5, a1}, Base: m.View(), Value: View{Number: 2, Chain: []MachineID{a1, b1}, Core: m.View().Core}}}))
	votes := sentParts(o, func(g Message) *Accepted { return g.Accepted })
	assert.Equal(t, len(votes), 1)
	assert.Assert(t, !votes[0].OK, "it voted for ballot 5 after promising ballot 9")
}

// TestHalfTheCoreDecidesNothing checks that neither the promises nor the votes of half the core
// suffice.
func TestHalfTheCoreDecidesNothing(t *testing.T) {
	m := New(Config{Self: MachineID{Addr: "a:1"}, Seeds: []string{"a:1", "b:1", "c:1", "d:1"}, FirstRun: true, Seed: 1}, nil, 1000)
	var ballot Ballot
	var value View
	observe := func(o Output) {
		for _, p := range sentParts(o, func(g Message) *Prepare { return g.Prepare }) {
			ballot = p.Ballot
		}
		for _, a := range sentParts(o, func(g Message) *Accept { return g.Accept }) {
			value = a.Value
		}
	}
	for now := 1000.0; ballot == (Ballot{}) && now < 9000; now += 50 { // the fourth is silent
		for _, x := range []MachineID{b1, c1} {
			observe(m.Step(now, received(x, a1, Message{Heartbeat: &Heartbeat{View: 1, Hears: 15, Complete: true}})))
		}
	}
	assert.Assert(t, ballot != Ballot{})
	promised := Message{Promise: &Promise{ForView: 2, Ballot: ballot, OK: true}}
	observe(m.Step(m.now, received(b1, a1, promised)))
	assert.Equal(t, value.Number, uint64(0), "votes were requested after two of four promises")
	observe(m.Step(m.now, received(c1, a1, promised)))
	assert.Equal(t, value.Number, uint64(2))
	vote := Message{Accepted: &Accepted{ForView: 2, Ballot: ballot, OK: true}}
	m.Step(m.now, received(b1, a1, vote))
	assert.Equal(t, m.View().Number, uint64(1), "the view changed after two of four votes")
	m.Step(m.now, received(c1, a1, vote))
	assert.Equal(t, m.View().Number, uint64(2))
}
