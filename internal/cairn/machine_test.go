package cairn

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	a1 = Ident{"a:1", "first"}
	b1 = Ident{"b:1", "first"}
	c1 = Ident{"c:1", "first"}
)

// one makes a machine of a core of three at its first start, with what it wrote.
func one(t *testing.T, self Ident, f faults) (*Machine, []Record) {
	t.Helper()
	m := New(Config{Self: Ident{Addr: self.Addr}, Seeds: []string{"b:1", "a:1", "c:1"}, FirstRun: true, Seed: 1}, nil, 1000)
	m.faults = f
	return m, m.Step(1000, Event{}).Sync
}

func from(x, to Ident, g Message) Event {
	g.From, g.To = x, to
	return Event{Message: &g}
}

func sentTo[T any](o Out, pick func(Message) *T) []T {
	var ts []T
	for _, g := range o.Send {
		if p := pick(g); p != nil {
			ts = append(ts, *p)
		}
	}
	return ts
}

func put(edition uint64) Change {
	return Change{Kind: PutConfiguration, Edition: edition, Body: []byte("body")}
}

func TestFirstStart(t *testing.T) {
	m, rs := one(t, b1, faults{})
	assert.DeepEqual(t, m.View(), View{No: 1, Epoch: 1, Seats: 3, Chain: []Ident{a1, b1, c1}, Core: []Ident{a1, b1, c1}})
	assert.Equal(t, len(rs), 1)
	again := New(Config{Self: Ident{Addr: "b:1"}, Seeds: []string{"x:1"}, Seed: 2}, rs, 5)
	assert.Equal(t, again.Self(), b1)
	assert.DeepEqual(t, again.View(), m.View())
	wiped := New(Config{Self: Ident{Addr: "b:1"}, Seeds: []string{"a:1", "b:1", "c:1"}, Seed: 3}, nil, 5)
	assert.Assert(t, wiped.Self().Disk != "first")
	assert.Equal(t, wiped.View().No, uint64(0))
}

func TestChainOfOne(t *testing.T) {
	m := New(Config{Self: Ident{Addr: "a:1"}, Seeds: []string{"a:1"}, FirstRun: true, Seed: 1}, nil, 0)
	m.Step(0, Event{})
	o := m.Step(10, Event{Submit: &Submit{ID: 7, Change: put(3)}})
	assert.DeepEqual(t, o.Done, []Result{{ID: 7, Outcome: OK}})
	assert.Assert(t, len(o.Sync) > 0 && o.Changed)
	o = m.Step(11, Event{Ask: &Ask{ID: 8}})
	assert.Equal(t, o.Done[0].State.Edition, uint64(3))
	m.Step(12, Event{Submit: &Submit{ID: 9, Change: put(2)}})
	assert.Equal(t, m.State().Edition, uint64(3))
}

// TestVotesOutlastAStart: an acceptor that forgot could help decide two views under one number.
func TestVotesOutlastAStart(t *testing.T) {
	for _, f := range []faults{{}, {forgetVotes: true}} {
		m, disk := one(t, b1, f)
		value := View{No: 2, Chain: []Ident{a1, b1}, Core: m.View().Core}
		disk = append(disk, m.Step(1010, from(a1, b1, Message{Accept: &Accept{Ballot: Ballot{5, a1}, Base: m.View(), Value: value}})).Sync...)
		m = New(Config{Self: Ident{Addr: "b:1"}, Seed: 9}, disk, 0)
		if f.forgetVotes {
			m.promised, m.accepted = Ballot{}, nil
		}
		ask := func(r uint64) Promise {
			o := m.Step(2000, from(c1, b1, Message{Prepare: &Prepare{Ballot: Ballot{r, c1}, Base: m.View()}}))
			return sentTo(o, func(g Message) *Promise { return g.Promise })[0]
		}
		low, high := ask(4), ask(6)
		kept := !low.OK && high.OK && high.Accepted != nil && high.Accepted.Value.No == 2
		assert.Equal(t, kept, !f.forgetVotes)
	}
}

// TestVoteWaitsForLeases: while the tail may still answer, no view may follow that it does not know.
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
		{name: "fault", at: 1400, faults: faults{noHold: true}, votes: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, disk := one(t, b1, c.faults)
			o := m.Step(1010, from(c1, b1, Message{Beat: &Beat{View: 1, Ask: 4, Life: 77}}))
			assert.Equal(t, len(sentTo(o, func(g Message) *Grant { return g.Grant })), 1)
			if c.restart {
				m = New(Config{Self: Ident{Addr: "b:1"}, Seed: 9}, disk, 1300)
			}
			if c.release {
				m.Step(1020, from(c1, b1, Message{Release: &Grant{View: 1, Ask: 4, Life: 77}}))
			}
			v := m.View()
			value := View{No: 2, Chain: []Ident{a1, b1}, Core: v.Core}
			o = m.Step(c.at, from(a1, b1, Message{Accept: &Accept{Ballot: Ballot{5, a1}, Base: v, Value: value}}))
			assert.Equal(t, len(sentTo(o, func(g Message) *Accepted { return g.Accepted })) == 1, c.votes)
			o = m.Step(3000, Event{})
			assert.Equal(t, len(sentTo(o, func(g Message) *Accepted { return g.Accepted })) == 1, !c.votes)
			o = m.Step(3010, from(c1, b1, Message{Beat: &Beat{View: 1, Ask: 9, Life: 77}}))
			assert.Equal(t, len(sentTo(o, func(g Message) *Grant { return g.Grant })), 0) // it has voted
		})
	}
}

// TestOlderViewIsFenced: what a member of the new chain took from the old head could be acknowledged
// there and be missing here.
func TestOlderViewIsFenced(t *testing.T) {
	for _, f := range []faults{{}, {noFence: true}} {
		m, _ := one(t, c1, f)
		e := Entry{Stamp: Stamp{1, 1}}
		m.Step(1010, from(b1, c1, Message{Append: &Append{View: 1, Entries: []Entry{e}}}))
		assert.Equal(t, m.State().Last, Stamp{1, 1})
		m.Step(1020, from(b1, c1, Message{News: &View{No: 2, Chain: []Ident{b1, c1}, Core: m.View().Core}}))
		o := m.Step(1030, from(b1, c1, Message{Append: &Append{View: 1, Entries: []Entry{{Stamp: Stamp{2, 1}, Prev: e.Stamp, Change: put(1)}}}}))
		assert.Equal(t, m.last() == Stamp{1, 1}, !f.noFence)
		assert.Equal(t, len(sentTo(o, func(g Message) *View { return g.News })) == 1, !f.noFence)
	}
}

// TestLateFill: a fill that was held up must not take away entries that were told upwards since.
func TestLateFill(t *testing.T) {
	for _, f := range []faults{{}, {trustFill: true}} {
		m, _ := one(t, b1, f)
		e := Entry{Stamp: Stamp{1, 1}}
		late := Message{Fill: &Fill{View: 1, Whole: Whole{Tail: []Entry{e}}}}
		m.Step(1010, from(a1, b1, late))
		m.Step(1020, from(a1, b1, Message{Append: &Append{View: 1, Entries: []Entry{{Stamp: Stamp{2, 1}, Prev: e.Stamp, Change: put(1)}}}}))
		assert.Equal(t, m.last(), Stamp{2, 1})
		m.Step(1030, from(a1, b1, late))
		assert.Equal(t, m.last() == Stamp{2, 1}, !f.trustFill)
	}
}

// TestJoinerLeadsNothing: a joiner in a chain that never opened lacks what was acknowledged after it
// was filled; with the old members gone, it must wait for them.
func TestJoinerLeadsNothing(t *testing.T) {
	for _, f := range []faults{{}, {anyHead: true}} {
		j := New(Config{Self: Ident{Addr: "d:1"}, Seeds: []string{"a:1"}, Seed: 1}, nil, 0)
		j.faults = f
		j.Step(0, Event{})
		d, e := j.Self(), Ident{"e:1", "x"}
		v := View{No: 2, Chain: []Ident{a1, d, e}, Core: []Ident{a1, d, e}}
		j.Step(1, from(a1, d, Message{News: &v}))
		for now := 10.0; now < 2000; now += 50 {
			j.Step(now, from(e, d, Message{Beat: &Beat{View: 2, Hears: 7}}))
		}
		assert.Equal(t, j.isWhole(), false)
		next, ok := j.wanted()
		assert.Equal(t, ok, f.anyHead)
		if ok {
			assert.DeepEqual(t, next.Chain, []Ident{d, e})
		}
	}
}

// TestTooFewWait: a majority of the core is there, but no chain of more than half can be formed.
func TestTooFewWait(t *testing.T) {
	m, _ := one(t, a1, faults{})
	d, e := Ident{"d:1", "x"}, Ident{"e:1", "x"}
	m.Step(1001, from(b1, a1, Message{News: &View{No: 2, Chain: []Ident{a1, b1, c1}, Core: []Ident{a1, b1, c1, d, e}}}))
	hear := func(from1, to float64, filled bool) {
		for now := from1; now < to; now += 50 {
			for _, x := range []Ident{d, e} {
				m.Step(now, from(x, a1, Message{Beat: &Beat{View: 2, Hears: 31, Filled: filled}}))
			}
		}
	}
	hear(1010, 3000, false)
	_, ok := m.wanted()
	assert.Assert(t, !ok)
	hear(3000, 3100, true)
	next, ok := m.wanted()
	assert.Assert(t, ok)
	assert.DeepEqual(t, next.Chain, []Ident{a1, d, e})
}

// TestWhoHoldsNothingGetsEverything: the first entry was lost before the next member had said
// anything, and a second one was written. The newest one alone would have it tell of a gap again,
// at once and for ever.
func TestWhoHoldsNothingGetsEverything(t *testing.T) {
	m, _ := one(t, a1, faults{})
	m.Step(1010, from(c1, a1, Message{Enter: &Enter{ID: 1, Life: 1, Change: put(3)}}))
	assert.Equal(t, m.last().Seq, uint64(2))
	o := m.Step(1020, from(b1, a1, Message{Appended: &Appended{View: 1, Gap: true}}))
	got := sentTo(o, func(g Message) *Append { return g.Append })
	assert.Equal(t, len(got), 1)
	assert.Equal(t, len(got[0].Entries), 2)
	assert.Equal(t, got[0].Entries[0].Prev, Stamp{})
}

// TestALeaseCountsFromTheAsking: a grant that was long on its way is worth less, and without a
// majority's the tail answers nobody.
func TestALeaseCountsFromTheAsking(t *testing.T) {
	m, _ := one(t, c1, faults{})
	o := m.Step(1010, from(b1, c1, Message{Append: &Append{View: 1, Entries: []Entry{{Stamp: Stamp{1, 1}}}}}))
	var ask uint64
	for now := 1010.0; ask == 0; now += 10 {
		for _, b := range sentTo(o, func(g Message) *Beat { return g.Beat }) {
			ask = max(ask, b.Ask)
		}
		if ask == 0 {
			o = m.Step(now, Event{})
		}
	}
	asked := m.now
	answers := func(now float64) bool {
		o := m.Step(now, from(b1, c1, Message{Confirm: &Confirm{ID: 1, Life: 2}}))
		return len(sentTo(o, func(g Message) *ConfirmAnswer { return g.ConfirmAnswer })) > 0
	}
	assert.Assert(t, !answers(asked+1), "nothing is granted")
	m.Step(asked+400, from(b1, c1, Message{Grant: &Grant{View: 1, Ask: ask, Life: m.life}}))
	assert.Assert(t, answers(asked+590))
	assert.Assert(t, !answers(asked+600), "the lease counts from the asking")
}

// TestHalfAChainIsNone: two of four hear each other; neither a majority nor a chain of more than half.
func TestHalfAChainIsNone(t *testing.T) {
	d1 := Ident{"d:1", "first"}
	m := New(Config{Self: Ident{Addr: "a:1"}, Seeds: []string{"a:1", "b:1", "c:1", "d:1"}, FirstRun: true, Seed: 1}, nil, 1000)
	hear := func(until float64, who ...Ident) {
		for now := m.now; now < until; now += 50 {
			for _, x := range who {
				m.Step(now, from(x, a1, Message{Beat: &Beat{View: m.view.No, Hears: 15, Whole: x != d1}}))
			}
		}
	}
	hear(3000, b1)
	_, ok := m.wanted()
	assert.Assert(t, !ok, "two of four are no majority")
	// Three of four vote, but one of these is in no chain and holds nothing: two would be the chain.
	m.Step(3010, from(b1, a1, Message{News: &View{No: 2, Chain: []Ident{a1, b1, c1}, Core: []Ident{a1, b1, c1, d1}}}))
	hear(6000, b1, d1)
	_, ok = m.wanted()
	assert.Assert(t, !ok, "a chain of two of four")
}

// TestPromisesOutlastAStart: one that forgot its promise would vote for an older ballot.
func TestPromisesOutlastAStart(t *testing.T) {
	m, disk := one(t, b1, faults{})
	disk = append(disk, m.Step(1010, from(c1, b1, Message{Prepare: &Prepare{Ballot: Ballot{9, c1}, Base: m.View()}})).Sync...)
	m = New(Config{Self: Ident{Addr: "b:1"}, Seed: 9}, disk, 0)
	o := m.Step(5000, from(a1, b1, Message{Accept: &Accept{Ballot: Ballot{5, a1}, Base: m.View(), Value: View{No: 2, Chain: []Ident{a1, b1}, Core: m.View().Core}}}))
	votes := sentTo(o, func(g Message) *Accepted { return g.Accepted })
	assert.Equal(t, len(votes), 1)
	assert.Assert(t, !votes[0].OK, "it has promised ballot 9")
}

// TestTwoOfFourDecideNothing: half of the core's promises, and half of its votes.
func TestTwoOfFourDecideNothing(t *testing.T) {
	m := New(Config{Self: Ident{Addr: "a:1"}, Seeds: []string{"a:1", "b:1", "c:1", "d:1"}, FirstRun: true, Seed: 1}, nil, 1000)
	var ballot Ballot
	var value View
	note := func(o Out) {
		for _, p := range sentTo(o, func(g Message) *Prepare { return g.Prepare }) {
			ballot = p.Ballot
		}
		for _, a := range sentTo(o, func(g Message) *Accept { return g.Accept }) {
			value = a.Value
		}
	}
	for now := 1000.0; ballot == (Ballot{}) && now < 9000; now += 50 { // the fourth is silent
		for _, x := range []Ident{b1, c1} {
			note(m.Step(now, from(x, a1, Message{Beat: &Beat{View: 1, Hears: 15, Whole: true}})))
		}
	}
	assert.Assert(t, ballot != Ballot{})
	promise := Message{Promise: &Promise{For: 2, Ballot: ballot, OK: true}}
	note(m.Step(m.now, from(b1, a1, promise)))
	assert.Equal(t, value.No, uint64(0), "two of four have promised")
	note(m.Step(m.now, from(c1, a1, promise)))
	assert.Equal(t, value.No, uint64(2))
	vote := Message{Accepted: &Accepted{For: 2, Ballot: ballot, OK: true}}
	m.Step(m.now, from(b1, a1, vote))
	assert.Equal(t, m.View().No, uint64(1), "two of four have voted")
	m.Step(m.now, from(c1, a1, vote))
	assert.Equal(t, m.View().No, uint64(2))
}
