package cairn

import (
	"cmp"
	"maps"
	"slices"
)

// ballots agrees on the next view: single-decree Paxos among the core of the view before.
type ballots struct {
	promised Ballot
	accepted *Acceptance

	round     uint64 // the highest seen
	mine      *attempt
	wantSince float64 // since when a new view has been wanted; 0 for not
	rank      int     // this machine's among those that may lead a ballot, for which its turn was set
	turn      float64 // when its turn comes
	tries     int
	looked    float64 // when it was last asked whether a new view is wanted
	nextTry   float64
	votedAt   float64 // when this machine last voted without hearing what came of it
}

// regainedBeats is how many beats a machine that hears a majority again waits for the others, before it would leave out
// those that it does not hear yet.
const regainedBeats = 1.5

// hangs is the rank of one that wants no view, but an end of its own vote.
const hangs = -2

// attempt is a ballot that this machine leads.
type attempt struct {
	ballot   Ballot
	value    View
	best     *Acceptance
	promises map[Ident]bool
	votes    map[Ident]bool
	voting   bool
	at       float64
}

func (m *Machine) clearBallots() {
	m.round, m.mine, m.wantSince, m.tries, m.nextTry = 0, nil, 0, 0, 0
	m.votedAt, m.looked = m.now, m.now-1e9
}

// votes says whether this machine is in the core, under the name of the disk it has now.
func (m *Machine) votes() bool { return slices.Contains(m.view.Core, m.self) }

// majority says whether so many are more than half of the core.
func (m *Machine) majority(n int) bool { return m.moreThanHalf(n, len(m.view.Core)) }

func (m *Machine) moreThanHalf(n, of int) bool {
	return 2*n > of || m.faults.halfDecides && 2*n == of
}

// hearsMajority says whether there is a path both ways with a majority of the core.
func (m *Machine) hearsMajority() bool {
	n := 0
	for _, x := range m.view.Core {
		if m.live(x) {
			n++
		}
	}
	return m.majority(n)
}

// isWhole says whether this machine holds all that was acknowledged in earlier views (and, as a
// member of the chain, in this one). Only such members may lead a later chain: a joiner in a chain
// that has never opened may lack what came after it was filled.
func (m *Machine) isWhole() bool {
	return m.whole || m.place() >= 0 && m.last().View == m.view.No
}

// beat tells the others about this machine.
func (m *Machine) beat() {
	b := Beat{View: m.view.No, Last: m.last(), Committed: m.base.Last, Whole: m.isWhole(), Filled: m.filled,
		Round: max(m.round, m.promised.Round), Ask: m.askLease(), Life: m.life, Leaving: m.leaving, First: m.extra}
	for i, x := range m.view.Core {
		if i < 64 && m.hearsAt(x) {
			b.Hears |= 1 << i
		}
	}
	addrs := map[string]bool{m.self.Addr: true}
	for _, x := range m.view.Core {
		if x != m.self {
			addrs[x.Addr] = true
			to := x
			if x.Addr == m.self.Addr {
				continue
			}
			if !m.hearsAt(x) {
				to.Disk = "" // whoever has the address now is told where the core is
			}
			m.send(to, Message{Beat: &b})
		}
	}
	if !m.votes() || m.alone > 0 { // the core may have moved on to machines that the seeds name
		for _, a := range m.c.Seeds {
			if !addrs[a] {
				addrs[a] = true
				m.send(Ident{Addr: a}, Message{Beat: &b})
			}
		}
	}
	for _, x := range m.known() {
		p := m.peers[x]
		if m.now-p.heard > 20*m.c.Suspect {
			delete(m.peers, x)
		} else if m.votes() && !slices.Contains(m.view.Core, x) && m.now-p.heard < m.c.Suspect {
			m.send(x, Message{Beat: &b}) // one that joins must learn who hears it
		}
	}
}

// known is all machines heard of, in a fixed order, so that a run can be repeated.
func (m *Machine) known() []Ident {
	return slices.SortedFunc(maps.Keys(m.peers), func(a, b Ident) int {
		return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(m.peers[b].heard, m.peers[a].heard), cmp.Compare(a.Disk, b.Disk))
	})
}

// hearsAt says whether a machine was heard lately. After a start everyone is given the time to speak.
func (m *Machine) hearsAt(x Ident) bool {
	return x == m.self || m.silence(x) < m.c.Suspect
}

// live says whether there is a path both ways: a machine that is heard but hears nobody would
// hold up the chain for ever.
func (m *Machine) live(x Ident) bool {
	if !m.hearsAt(x) {
		return false
	}
	i := slices.Index(m.view.Core, m.self)
	if p := m.peers[x]; x != m.self && p != nil && p.beat.View == m.view.No && i >= 0 && i < 64 {
		return p.beat.Hears>>i&1 == 1
	}
	return true
}

func (m *Machine) heard(from Ident, p *peer, b Beat) {
	if m.silence(from) >= m.c.Suspect {
		m.nextBeat = m.now // it is to learn at once that there is a path again
	}
	p.heard, p.beat = m.now, b
	m.noteFirst(from, b)
	if b.View < m.view.No && m.now-p.news > 40 {
		p.news = m.now
		m.news(from)
	}
	if b.View > m.view.No && m.now-p.news > 40 {
		p.news = m.now
		m.send(from, Message{Beat: &Beat{View: m.view.No, Last: m.last(), Committed: m.base.Last}}) // it will answer with the view
	}
	if b.View != m.view.No {
		return
	}
	m.round = max(m.round, b.Round)
	m.grantTo(from, b)
	at := m.place()
	if slices.Contains(m.view.Chain, from) {
		if at >= 0 && at+1 < len(m.view.Chain) && m.view.Chain[at+1] == from {
			m.belowHolds(b.Last, false)
		}
		m.commitAt(b.Committed)
		return
	}
	if at >= 0 && !b.Leaving && m.stale(from, b) && m.isWhole() && m.now-p.filled > 2*m.c.Again && m.live(from) && m.leading() == 0 {
		p.filled = m.now
		m.send(from, Message{Fill: &Fill{View: m.view.No, Whole: m.log()}})
	}
}

// leading is this machine's place among the live members of the chain, as it sees them; -1 outside.
func (m *Machine) leading() int {
	if m.place() < 0 {
		return -1
	}
	n := 0
	for _, x := range m.view.Chain[:m.place()] {
		if m.live(x) {
			n++
		}
	}
	return n
}

// wanted is the view that ought to come next, if there is one and it may be formed. Members that are about to
// leave are let go where a chain can do without them.
func (m *Machine) wanted() (View, bool) {
	if !m.hearsMajority() {
		return View{}, false
	}
	if slices.ContainsFunc(m.view.Chain, m.leaves) {
		if v, ok := m.next(true); ok {
			return v, true
		}
	}
	return m.next(false)
}

// report is what a machine last said, and whether that is of this view.
func (m *Machine) report(x Ident) (Beat, bool) {
	if x == m.self {
		return Beat{View: m.view.No, Whole: m.isWhole(), Leaving: m.leaving}, true
	}
	p := m.peers[x]
	if p == nil || p.heard == 0 && p.beat.View == 0 {
		return Beat{}, false
	}
	return p.beat, p.beat.View == m.view.No
}

// next is the view that would follow, with or without those that are about to leave.
func (m *Machine) next(letGo bool) (View, bool) {
	var old, rest, back []Ident
	lost := false
	for _, x := range m.view.Chain {
		if !m.live(x) && m.now-m.regained < regainedBeats*m.c.Beat {
			return View{}, false // it was cut off with this machine or from it, and may be heard in a moment
		}
		if !m.live(x) || letGo && m.leaves(x) {
			lost = true
			continue
		}
		b, ok := m.report(x)
		if !ok && m.now-m.viewSince < m.c.Suspect {
			return View{}, false // it is about to learn of this view
		}
		if ok && (b.Whole || m.faults.anyHead) {
			old = append(old, x)
		} else {
			rest = append(rest, x)
		}
	}
	if len(old) == 0 {
		return View{}, false
	}
	for _, x := range m.view.Core {
		if b, ok := m.report(x); ok && b.Filled && !slices.Contains(m.view.Chain, x) && m.live(x) && m.heardByAll(x) {
			back = append(back, x)
		}
	}
	next := slices.Concat(old, rest, back)
	v := m.seated(next)
	if !lost && len(back) == 0 && v.Epoch == m.view.Epoch && slices.Equal(v.Core, m.view.Core) {
		return View{}, false
	}
	if !m.moreThanHalf(len(v.Chain), len(v.Core)) || !slices.Contains(old, v.Chain[0]) {
		return View{}, false
	}
	return v, true
}

// heardByAll says whether all live members of the chain hear a machine of the core; one that only
// some hear would be taken in and left out in turn.
func (m *Machine) heardByAll(x Ident) bool {
	i := slices.Index(m.view.Core, x)
	for _, y := range m.view.Chain {
		if p := m.peers[y]; y != m.self && i < 64 && m.live(y) && p != nil && p.beat.View == m.view.No && p.beat.Hears>>i&1 == 0 {
			return false
		}
	}
	return true
}

// consider leads a ballot when a new view is wanted and it is this machine's turn, or when its own
// vote has been left hanging, since a vote keeps it from granting leases.
func (m *Machine) consider() {
	if !m.votes() || m.now < m.looked+m.c.Beat/4 {
		return
	}
	m.looked = m.now
	hanging := m.accepted != nil && m.now-m.votedAt > m.c.Ballot
	next, ok := m.wanted()
	if m.place() < 0 {
		ok = false
	}
	if !ok && !hanging {
		m.wantSince = 0
		if m.mine != nil && !m.mine.voting {
			m.mine = nil
		}
		return
	}
	rank := m.leading()
	if !ok {
		rank = hangs
	}
	if fresh := m.wantSince == 0; fresh || rank != m.rank {
		if fresh {
			m.wantSince = m.now
		}
		// The turn is this wish's and this rank's: a long one must not outlast those that went first.
		m.rank, m.turn = rank, m.wantSince
		switch {
		case !ok:
			m.turn += m.rng.Float64() * m.c.Suspect / 2
		case rank > 0:
			m.turn += float64(rank) * (m.c.Ballot + m.c.Lease) * (1 + m.rng.Float64()/2)
		}
	}
	if m.now < max(m.nextTry, m.turn) {
		return
	}
	m.tries++
	back := 1 + m.rng.Float64()*float64(min(m.tries-1, 4))
	m.nextTry = m.now + m.c.Ballot*back
	m.round = max(m.round, m.promised.Round) + 1
	m.mine = &attempt{ballot: Ballot{m.round, m.self}, promises: map[Ident]bool{}, votes: map[Ident]bool{}, at: m.now}
	if ok {
		m.mine.value = next
	}
	for _, x := range m.view.Core {
		m.send(x, Message{Prepare: &Prepare{Ballot: m.mine.ballot, Base: m.view}})
	}
}

// current brings both sides of a ballot to the same view; ballots of older ones are answered with news.
func (m *Machine) current(from Ident, base View) bool {
	m.adopt(base)
	if base.No < m.view.No {
		if from != m.self {
			m.news(from)
		}
		return false
	}
	return m.votes()
}

func (m *Machine) prepare(from Ident, p Prepare) {
	if !m.current(from, p.Base) {
		return
	}
	m.round = max(m.round, p.Ballot.Round)
	a := &Promise{For: m.view.No + 1, Ballot: p.Ballot, Seen: m.promised}
	if !p.Ballot.less(m.promised) {
		if m.promised != p.Ballot {
			m.promised = p.Ballot
			m.sync(Record{Promise: &Promised{For: a.For, Ballot: p.Ballot}})
		}
		a.OK, a.Accepted = true, m.accepted
		m.quiet = m.now + m.c.Ballot
		m.giveBack()
	}
	m.send(from, Message{Promise: a})
}

func (m *Machine) promise(from Ident, p Promise) {
	t := m.mine
	if t == nil || p.For != m.view.No+1 || p.Ballot != t.ballot || t.voting || !slices.Contains(m.view.Core, from) {
		return
	}
	if !p.OK {
		m.outbid(p.Seen)
		return
	}
	if t.best == nil && p.Accepted == nil && t.value.No > 0 && !slices.Contains(t.value.Core, from) && !m.leaves(from) && !m.faults.grabs {
		m.mine = nil // it is there after all: it keeps its seat, and gives no voice to losing it
		return
	}
	t.promises[from] = true
	if a := p.Accepted; a != nil && (t.best == nil || t.best.Ballot.less(a.Ballot)) {
		t.best = a
	}
	if !m.majority(len(t.promises)) {
		return
	}
	if t.best != nil {
		t.value = t.best.Value
	}
	if t.value.No == 0 {
		m.mine = nil
		return
	}
	t.voting = true
	for _, x := range m.view.Core {
		m.send(x, Message{Accept: &Accept{Ballot: t.ballot, Base: m.view, Value: t.value}})
	}
}

func (m *Machine) outbid(seen Ballot) {
	m.round = max(m.round, seen.Round)
	m.mine = nil
	m.nextTry = max(m.nextTry, m.now+m.c.Ballot*(0.15+m.rng.Float64()*0.2*float64(min(m.tries, 5))))
}

func (m *Machine) accept(from Ident, a Accept) {
	if !m.current(from, a.Base) {
		return
	}
	m.round = max(m.round, a.Ballot.Round)
	r := &Accepted{For: m.view.No + 1, Ballot: a.Ballot, Seen: m.promised}
	if !a.Ballot.less(m.promised) {
		if !m.mayVote() {
			m.quiet = max(m.quiet, m.now+m.c.Ballot)
			m.held, m.heldFrom = &a, from
			return
		}
		m.promised = a.Ballot
		m.accepted = &Acceptance{For: r.For, Ballot: a.Ballot, Value: a.Value}
		m.votedAt = m.now
		m.sync(Record{Accept: m.accepted})
		r.OK = true
	}
	m.send(from, Message{Accepted: r})
}

func (m *Machine) acceptedBy(from Ident, a Accepted) {
	t := m.mine
	if t == nil || a.For != m.view.No+1 || a.Ballot != t.ballot || !t.voting || !slices.Contains(m.view.Core, from) {
		return
	}
	if !a.OK {
		m.outbid(a.Seen)
		return
	}
	t.votes[from] = true
	if !m.majority(len(t.votes)) {
		return
	}
	old, v := m.view, t.value
	m.adopt(v)
	for _, x := range union(old.Core, v.Core) {
		if x != m.self {
			m.send(x, Message{News: &v})
		}
	}
}

func (m *Machine) news(to Ident) {
	v := m.view
	m.send(to, Message{News: &v})
}

func union(a, b []Ident) []Ident {
	u := slices.Clone(a)
	for _, x := range b {
		if !slices.Contains(u, x) {
			u = append(u, x)
		}
	}
	return u
}

// adopt takes up a decided view. From then on entries of older views are refused. Whoever skips a
// view may have missed changes in it and is not whole until the new one's opening entry reaches it.
func (m *Machine) adopt(v View) {
	if v.No <= m.view.No {
		return
	}
	m.enterView(v, v.No == m.view.No+1 && m.place() >= 0 && m.isWhole())
}

func (m *Machine) enterView(v View, whole bool) {
	m.view, m.whole, m.filled, m.viewSince = v, whole, false, m.now
	m.extra = m.extra && !m.votes()
	for _, x := range v.Core {
		delete(m.awaited, x.Addr)
	}
	m.promised, m.accepted = Ballot{}, nil
	m.clearVolatile()
	m.sync(Record{View: &ViewRecord{View: v, Whole: whole}})
	m.nextBeat = m.now
}
