package cairn

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// faults are deliberate ones, by which the tests show that their checks bite.
type faults struct {
	ackEarly     bool // the head acknowledges once it has the entry itself
	forgetVotes  bool // promises and votes are not kept over a start
	ignoreLeases bool // the tail answers without leases
	noHold       bool // votes do not wait for granted leases
	noPrev       bool // entries are taken without looking at the one before
	anyHead      bool // members that are not whole count as old members of the chain
	noFence      bool // entries of an older view are taken
	trustFill    bool // a late fill may take entries away again
	lateOrders   bool // a change of a zone may come after newer ones
	whims        bool // no fault: operators have machines forgotten at any time
	turnover     bool // no fault: machines are replaced, and restarted in order
	ghosts       bool // a newcomer takes nobody's seat, and none is given up
	hasty        bool // a process that is asked to end does not wait for the others to hold what it held
	halfDecides  bool // half of the core counts as a majority
	grabs        bool // a newcomer may have the seat of a member that others hear, at once
}

// peer is what is known of another machine from its beats.
type peer struct {
	heard  float64
	beat   Beat
	filled float64 // when it was last sent a fill
	news   float64 // when it was last sent the view
}

// Machine is one core machine.
type Machine struct {
	c      Config
	self   Ident
	life   uint64
	rng    *rand.Rand
	now    float64
	start  float64
	out    Out
	local  []Message
	bytes  int
	first  []Record // written at the first step
	faults faults

	view      View
	viewSince float64
	whole     bool // as the view began
	filled    bool

	base   State // committed
	tail   []Entry
	marked uint64 // the commit that the disk knows of

	peers    map[Ident]*peer
	nextBeat float64
	leaving  bool
	extra    bool            // one of the machines of the very first start, that never had a seat
	awaited  map[string]bool // addresses of others that were there at the very first start, until they have had a seat
	alone    float64         // since when no majority of the core has been heard; 0 if one is
	regained float64         // when a majority was last heard again, after none had been

	ballots
	leases
	chain
	oblivion
}

// New makes a machine from what its disk holds, in the order in which it was written.
func New(c Config, stored []Record, now float64) *Machine {
	c.defaults()
	m := &Machine{c: c, self: Ident{Addr: c.Self.Addr}, now: now, start: now, viewSince: now,
		peers: map[Ident]*peer{}, awaited: map[string]bool{}, rng: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)), regained: now - 1e9}
	m.life = m.rng.Uint64() | 1
	for _, r := range stored {
		m.restore(r)
	}
	m.hold = now
	if len(stored) > 0 {
		m.hold = now + c.Lease + c.Slack // leases granted by an earlier life may still be held
	}
	if m.self.Disk == "" {
		var r Record
		if c.FirstRun && slices.Contains(c.Seeds, m.self.Addr) {
			m.self.Disk = "first"
			seeds := slices.Clone(c.Seeds)
			slices.Sort(seeds)
			v := View{No: 1, Epoch: 1}
			for _, a := range slices.Compact(seeds) {
				v.Core = append(v.Core, Ident{a, "first"})
			}
			v.Chain, v.Seats = slices.Clone(v.Core), len(v.Core)
			m.view, m.whole = v, true
			// One record holds both, so that no start finds a name without the view it stands for.
			r.View = &ViewRecord{View: v, Whole: true}
		} else {
			m.self.Disk = fmt.Sprintf("%016x", m.rng.Uint64())
			m.extra, r.First = c.FirstRun, c.FirstRun
		}
		r.Disk = m.self.Disk
		m.first = []Record{r}
	}
	m.clearVolatile()
	return m
}

// restore takes one record from the disk.
func (m *Machine) restore(r Record) {
	if r.Disk != "" {
		m.self.Disk, m.extra = r.Disk, r.First
	}
	if r.View != nil && r.View.View.No > m.view.No {
		m.view, m.whole = r.View.View, r.View.Whole
		m.extra = m.extra && !m.votes()
		m.promised, m.accepted = Ballot{}, nil
	}
	if !m.faults.forgetVotes {
		if p := r.Promise; p != nil && p.For == m.view.No+1 && m.promised.less(p.Ballot) {
			m.promised = p.Ballot
		}
		if a := r.Accept; a != nil && a.For == m.view.No+1 {
			m.accepted = a
			if m.promised.less(a.Ballot) {
				m.promised = a.Ballot
			}
		}
	}
	if w := r.Whole; w != nil {
		m.base, m.tail = w.State, slices.Clone(w.Tail)
	}
	if e := r.Entry; e != nil && e.Prev == m.last() {
		m.tail = append(m.tail, *e)
	}
	if r.Committed > 0 {
		m.applyUpTo(r.Committed)
	}
	m.marked = m.base.Last.Seq
}

// clearVolatile forgets what belongs to one view only.
func (m *Machine) clearVolatile() {
	m.clearBallots()
	m.clearLeases()
	m.clearChain()
}

// Step takes one event at a time of the steady clock.
func (m *Machine) Step(now float64, e Event) Out {
	m.now = max(m.now, now)
	m.out = Out{Sync: m.first}
	m.first = nil
	switch {
	case e.Message != nil:
		if to := e.Message.To; to.Addr == m.self.Addr && (to.Disk == "" || to.Disk == m.self.Disk) && e.Message.From != m.self {
			m.receive(*e.Message)
		}
	case e.Submit != nil:
		m.submit(*e.Submit)
	case e.Ask != nil:
		m.ask(*e.Ask)
	case e.Drop != nil:
		m.drops = append(m.drops, &dropped{Drop: *e.Drop, until: m.now + dropMost, at: -1e18})
	}
	if e.Leave {
		m.leave()
	}
	if e.Rebuild != nil {
		m.rebuild(*e.Rebuild)
	}
	m.openView()
	m.timers()
	for len(m.local) > 0 {
		l := m.local[0]
		m.local = m.local[1:]
		m.receive(l)
		m.openView()
	}
	for i := range m.out.Sync {
		m.bytes += m.out.Sync[i].size()
	}
	m.out.Compact = m.bytes > m.c.Bytes
	return m.out
}

func (m *Machine) timers() {
	if m.now >= m.nextBeat {
		m.nextBeat = m.now + m.c.Beat
		m.beat()
	}
	m.counted()
	m.releaseHeld()
	m.resend()
	m.redrop()
	m.consider()
	if m.marked < m.base.Last.Seq && len(m.out.Send) == 0 {
		// What was in force before a start is in force right after it, without waiting for the chain.
		m.mark()
	}
}

func (m *Machine) mark() {
	m.marked = m.base.Last.Seq
	m.sync(Record{Committed: m.marked})
}

func (m *Machine) sync(r Record) { m.out.Sync = append(m.out.Sync, r) }

func (m *Machine) send(to Ident, msg Message) {
	msg.From, msg.To = m.self, to
	if to == m.self {
		m.local = append(m.local, msg)
		return
	}
	m.out.Send = append(m.out.Send, msg)
}

func (m *Machine) receive(g Message) {
	if g.From != m.self {
		p := m.peers[g.From]
		if p == nil {
			p = &peer{filled: -1e18, news: -1e18}
			m.peers[g.From] = p
		}
		if g.Beat != nil {
			m.heard(g.From, p, *g.Beat)
		}
	}
	switch {
	case g.Grant != nil:
		m.granted(g.From, *g.Grant)
	case g.Release != nil:
		m.released(g.From, *g.Release)
	case g.Prepare != nil:
		m.prepare(g.From, *g.Prepare)
	case g.Promise != nil:
		m.promise(g.From, *g.Promise)
	case g.Accept != nil:
		m.accept(g.From, *g.Accept)
	case g.Accepted != nil:
		m.acceptedBy(g.From, *g.Accepted)
	case g.News != nil:
		m.adopt(*g.News)
	case g.Append != nil:
		m.appendFrom(g.From, *g.Append)
	case g.Appended != nil:
		m.appendedBy(g.From, *g.Appended)
	case g.Fill != nil:
		m.fill(g.From, *g.Fill)
	case g.Enter != nil:
		m.enter(g.From, *g.Enter)
	case g.Entered != nil:
		m.entered(*g.Entered)
	case g.Confirm != nil:
		m.confirm(g.From, *g.Confirm)
	case g.ConfirmAnswer != nil:
		m.confirmed(*g.ConfirmAnswer)
	case g.Forget != nil:
		m.forget(*g.Forget)
	}
}

// Self is who this machine is.
func (m *Machine) Self() Ident { return m.self }

// View is the newest view that this machine knows to be decided; number 0 is none.
func (m *Machine) View() View { return m.view }

// State is what is committed as far as this machine knows. It must not be changed.
func (m *Machine) State() *State {
	s := m.base
	return &s
}

// Snapshot is the fewest records that restore the machine as of the last step. The caller has
// synced that step; the records may then take the place of all earlier ones.
func (m *Machine) Snapshot() []Record {
	rs := []Record{{Disk: m.self.Disk, First: m.extra}}
	if m.view.No > 0 {
		rs[0].View = &ViewRecord{View: m.view, Whole: m.whole}
	}
	if m.promised != (Ballot{}) {
		rs = append(rs, Record{Promise: &Promised{For: m.view.No + 1, Ballot: m.promised}})
	}
	if m.accepted != nil {
		rs = append(rs, Record{Accept: m.accepted})
	}
	rs = append(rs, Record{Whole: &Whole{State: m.base, Tail: slices.Clone(m.tail)}})
	m.bytes = 0
	return rs
}

func (r Record) size() int {
	n := 64
	if r.Entry != nil {
		n += len(r.Entry.Change.Body)
	}
	if r.Whole != nil {
		n += len(r.Whole.State.Body)
		for _, e := range r.Whole.Tail {
			n += len(e.Change.Body)
		}
	}
	return n
}

// Status is what an operator wants to know.
type Status struct {
	Self      Ident
	View      View
	Role      string // head, tail, member, sole, core, joining
	Last      Stamp
	Committed Stamp
	Lag       int     // entries that are held but not known to be committed
	Leased    float64 // how long the tail's leases still hold, in milliseconds
	Hears     []Ident // whom it has a path with
	Whole     bool
	Lost      float64 // how long no majority of the core has been heard, in milliseconds; 0 if one is
}

// Status tells how things stand.
func (m *Machine) Status() Status {
	s := Status{Self: m.self, View: m.view, Last: m.last(), Committed: m.base.Last, Lag: len(m.tail),
		Leased: max(0, m.leasedUntil()-m.now), Whole: m.isWhole(), Lost: m.lostFor(), Role: "joining"}
	for _, x := range m.view.Core {
		if x != m.self && m.live(x) {
			s.Hears = append(s.Hears, x)
		}
	}
	at, n := m.place(), len(m.view.Chain)
	switch {
	case at == 0 && n == 1:
		s.Role = "sole"
	case at == 0:
		s.Role = "head"
	case at == n-1 && at > 0:
		s.Role = "tail"
	case at > 0:
		s.Role = "member"
	case slices.Contains(m.view.Core, m.self):
		s.Role = "core"
	}
	return s
}
