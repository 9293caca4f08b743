// Package election settles which bothy has which duty. A duty is won by ballots among the bothies
// that the core's view names, and held under a lease that is asked for again and again.
//
// No two bothies ever hold a duty at the same real time, whatever is lost, delayed or doubled:
//
//   - A voter promises a duty to one candidate at a time, for a lease from when it answers. The
//     candidate counts its right from when it asked, so the right ends first. Clocks are
//     compared with nothing but themselves.
//   - Answers name the asking life, term and round, so that one that comes late can't
//     prolong a right that was asked for later, nor one of an earlier life.
//   - A voter that starts has forgotten its promises, and gives none for a lease.
//   - Majorities of two electorates need not have a voter in common. An electorate is therefore
//     trusted only for a time after it was last confirmed, and who stands under a new one also
//     needs the majorities of older ones that others may still trust.
package election

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"
)

// DefaultLeaseMs is the length of a voter's promise.
const DefaultLeaseMs = 1500

const (
	// rightPart of a lease is what a holder counts: the rest covers clocks that run unevenly.
	rightPart = 0.95
	// trustLeases is how many leases an electorate is trusted after it was confirmed. A change of
	// view may take 2 s, and the duties should outlast it.
	trustLeases = 2
	// roundPart of a lease is how long a candidate waits for votes before it frees them, where the
	// voters are near; else farParts of the time that a majority's votes take, up to roundMost of it.
	roundPart = 0.2
	farParts  = 1.5
	roundMost = 0.6
	// ageless is how long a duty has been vacant at the very first start.
	ageless = 1e9
	// spreadMs is how much later a bothy stands for each duty that it has or stands for.
	spreadMs = 120
	// shuffleMs bounds the chance part of waiting, which keeps candidates from splitting the votes; shuffleEach does so
	// where there are many: the first of them still comes as soon, and the next one no sooner behind it than among few.
	shuffleMs   = 150
	shuffleEach = 30
)

// Kind says what a message is.
type Kind uint8

const (
	// Announce says that its sender is there, and what it holds.
	Announce Kind = iota + 1
	// Ballot asks for a vote; a holder's renewals are ballots of the same term.
	Ballot
	// Vote answers a ballot.
	Vote
	// Free gives votes back that the sender no longer counts on.
	Free
)

// Message goes from one bothy to another. The assembly must not take From from the wire unless it
// knows that the caller is that bothy.
type Message struct {
	Kind     Kind     `cbor:"1,keyasint,omitempty"`
	From     string   `cbor:"2,keyasint,omitempty"`
	To       string   `cbor:"3,keyasint,omitempty"`
	Duty     string   `cbor:"4,keyasint,omitempty"`
	Term     uint64   `cbor:"5,keyasint,omitempty"`
	Life     uint64   `cbor:"6,keyasint,omitempty"` // of the candidate's process, which a Vote echoes
	Round    uint64   `cbor:"7,keyasint,omitempty"` // counts the candidate's asking, which a Vote echoes
	Yes      bool     `cbor:"8,keyasint,omitempty"`
	WaitMs   float64  `cbor:"9,keyasint,omitempty"`  // of a Vote that is no: how long the voter is bound
	Seen     uint64   `cbor:"10,keyasint,omitempty"` // of a Vote: the highest term the voter knows of
	VacantMs float64  `cbor:"11,keyasint,omitempty"` // of a Vote that is yes: how long the voter has surely not been bound to another
	IdleMs   float64  `cbor:"12,keyasint,omitempty"` // of a Vote: how long the voter itself has surely not held the duty
	Held     []Tenure `cbor:"13,keyasint,omitempty"` // of a Announce
	Terms    []Tenure `cbor:"14,keyasint,omitempty"` // of a Announce: the highest term heard of each duty, so that terms rise though voters change
}

// CallName implements rpc.Named: the package was called warden when the message got its name.
func (Message) CallName() string { return "warden.Message" }

// Tenure is a duty held in a term. VacantMs is, where it was won, for how long before that nobody
// else held it, and this bothy neither; it may have been vacant for longer.
type Tenure struct {
	Duty     string  `cbor:"1,keyasint,omitempty"`
	Term     uint64  `cbor:"2,keyasint,omitempty"`
	VacantMs float64 `cbor:"3,keyasint,omitempty"`
}

// EventKind says what happened.
type EventKind uint8

const (
	// Tick is time going by. It should come every 20 to 50 ms.
	Tick EventKind = iota + 1
	// Heard is a message from another bothy.
	Heard
	// Resign is this bothy's end (SIGTERM): it gives back its duties and stands no more.
	Resign
)

// Event is one step's cause.
type Event struct {
	Kind    EventKind
	Message Message
}

// Out is what a step asks for. Lost is to be obeyed before Send.
type Out struct {
	Send      []Message
	Won, Lost []Tenure
	Vacant    []Tenure // of duties held: what has become known of the time before they were won
}

// council is an electorate as it was told to this bothy.
type council struct {
	shrunk    uint64 // how often the core had lost an address
	edition   uint64
	ids       []string
	learned   float64
	confirmed float64
}

// duty is what a bothy knows about a duty, as a voter and as a candidate.
type duty struct {
	// The voter's side.
	to         string // who has the vote
	toLife     uint64
	given      uint64 // the term the vote was last given in
	until      float64
	others     float64 // when the last vote given to another than who has it now was over
	freed      bool
	ended      map[string]ended // by candidate
	bound      bool             // the vote wasn't to be given when last looked at
	seen       uint64           // the highest term heard of
	holder     string           // by its own word
	holderTerm uint64
	holderAt   float64

	// The candidate's side.
	standAt  float64
	weighed  int // duties that standAt was reckoned with
	standing bool
	held     bool
	term     uint64
	asked    float64
	right    float64 // when what is held ends
	rounds   map[uint64]*round
	lost     float64 // when this bothy last had the duty, or its process was not there yet
	won      float64
	vacant   float64 // how long it surely had been nobody's then
}

// ended is the last term that a candidate has given back. Its ballots may come after that, and
// would bind the vote for a lease to one that doesn't count it.
type ended struct {
	life, term uint64
}

// round is one asking.
type round struct {
	asked   float64
	yes, no map[string]bool
	vacant  map[string]float64 // by those that said yes
	idle    map[string]float64 // by all that answered
}

// Machine is one bothy's part. It isn't safe for use by several goroutines.
type Machine struct {
	self      string
	life      uint64
	lease     float64
	trust     float64
	silent    float64 // gives no vote before
	open      float64 // doesn't stand before
	alone     float64 // since when nobody trusts any other electorate than the newest
	first     bool
	stepped   bool
	earlier   []string // the electorate that an earlier life knew
	epoch     uint64   // and its number; 0 where that is not known
	resigned  bool     // stands no more
	chance    *rand.Rand
	names     []string // of duties, sorted
	duties    map[string]*duty
	councils  []council // oldest first
	heard     map[string]float64
	announced float64
	round     uint64
	asked     map[uint64]float64 // when rounds were opened, those given up among them
	takes     map[string]float64 // how long a voter's vote takes to come
}

// New makes the machine of one process. The seed must be drawn anew by each process, since it
// also gives the life. The flag first is for the very first start of the whole system alone:
// nobody has promised anything yet, so nothing has to be waited out.
func New(self string, seed uint64, now, leaseMs float64, first bool, duties ...string) *Machine {
	if leaseMs <= 0 {
		leaseMs = DefaultLeaseMs
	}
	m := &Machine{self: self, lease: leaseMs, trust: trustLeases * leaseMs, silent: now + leaseMs, first: first,
		chance: rand.New(rand.NewPCG(seed, xxh3.HashString(self))), duties: map[string]*duty{}, heard: map[string]float64{},
		announced: now - leaseMs, asked: map[uint64]float64{}, takes: map[string]float64{}}
	m.life = m.chance.Uint64()
	if first {
		m.silent = now
	}
	others := m.silent // an earlier life may have given a vote right before this one's start
	if first {
		others = now - ageless
	}
	m.names = slices.Compact(slices.Sorted(slices.Values(duties)))
	for _, name := range m.names {
		m.duties[name] = &duty{rounds: map[uint64]*round{}, ended: map[string]ended{}, others: others, until: others, lost: now}
		m.await(m.duties[name], now, 0)
	}
	return m
}

// Remember tells the electorate that an earlier life of this bothy got from Settled. Where no address
// was ever taken out of the core and the first electorate is the same, there was no other
// in between, and none that anybody still trusts; nor where its number is the same. It is to be called
// before the first Electorate.
func (m *Machine) Remember(ids []string, edition uint64) {
	m.epoch, m.earlier = edition, slices.Compact(slices.Sorted(slices.Values(ids)))
}

// Settled is the electorate where nobody trusts any other one, and its number; nil else. What a later life
// is to Remember is this alone: one just learned says nothing of those before it.
func (m *Machine) Settled(now float64) (ids []string, edition uint64) {
	if m.forget(now); len(m.councils) != 1 || now < m.alone {
		return nil, 0
	}
	return slices.Clone(m.councils[0].ids), m.councils[0].edition
}

// Electorate tells who votes; editions number the electorates from 1 on, and 0 is one that was agreed before they
// were numbered. It is to be called whenever the view is confirmed, and `asked` is
// when the question was sent whose answer confirmed it: the view was in force at some moment
// since. Without that a bothy that is cut off could go on for ever under an old view, while
// others have moved two views ahead. Editions should be told one by one: after a gap, nothing
// is known of the ones between, and this bothy doesn't stand until nobody trusts them. shrunk is how
// often the core has lost an address so far.
func (m *Machine) Electorate(now, asked float64, ids []string, edition, shrunk uint64) {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	if n := len(m.councils); n > 0 {
		last := &m.councils[n-1]
		if edition < last.edition {
			return
		}
		if edition == last.edition {
			last.confirmed = max(last.confirmed, asked)
			return
		}
		if slices.Equal(ids, last.ids) && shrunk == last.shrunk {
			// The chain has changed, and who votes has not. Addresses were only added to the core
			// (internal/cairn), so that none was in between either.
			last.edition, last.confirmed = edition, max(last.confirmed, asked)
			return
		}
		m.alone = now + m.trust
		if edition > last.edition+1 {
			m.open = now + m.trust
		}
	} else if m.alone = now - ageless; !m.first && edition != 1 && (shrunk > 0 && edition != m.epoch || !slices.Equal(ids, m.earlier)) {
		// Those before it are unknown, and others may still trust them.
		m.open, m.alone = now+m.trust, now+m.trust
	}
	m.councils = append(m.councils, council{edition: edition, shrunk: shrunk, ids: ids, learned: now, confirmed: asked})
}

// Learn takes a term that somebody was told of by a holder. Bothies that were all restarted know
// no terms; what gatekeepers remember keeps them rising.
func (m *Machine) Learn(name string, term uint64) {
	if d := m.duties[name]; d != nil {
		d.seen = max(d.seen, term)
	}
}

// Holds tells whether this bothy has the duty at this moment, and in which term. It is to be asked
// with a fresh time right before anything is done under the duty.
func (m *Machine) Holds(now float64, name string) (term uint64, ok bool) {
	d := m.duties[name]
	if d == nil || !d.held || now >= d.right {
		return 0, false
	}
	return d.term, true
}

// Duties names the duties that this bothy stands for.
func (m *Machine) Duties() []string { return m.names }

// Holder is who last said that it has the duty; "" if nobody has within a lease.
func (m *Machine) Holder(now float64, name string) string {
	d := m.duties[name]
	if d == nil {
		return ""
	}
	if _, ok := m.Holds(now, name); ok {
		return m.self
	}
	if d.holder == m.self || now-d.holderAt > m.lease {
		return ""
	}
	return d.holder
}

// Step takes one event. The time must be read right before, and after the message was received: a
// process that was frozen in between must find its rights ended.
func (m *Machine) Step(now float64, e Event) Out {
	var out Out
	if !m.stepped { // from here on the address is this process's
		m.stepped = true
		for _, d := range m.duties {
			d.lost = now
			if m.first {
				d.lost -= ageless
			}
		}
	}
	m.forget(now)
	m.expire(now, &out)
	switch e.Kind {
	case Tick:
	case Heard:
		m.hear(now, e.Message, &out)
	case Resign:
		m.resign(now, &out)
	}
	if !m.resigned {
		m.act(now, &out)
	}
	return out
}

// forget drops the electorates that nobody can trust any more: the one after them was agreed
// before it was learned here, and none before it was confirmed since.
func (m *Machine) forget(now float64) {
	for len(m.councils) > 1 && now-m.councils[1].learned > m.trust {
		m.councils = m.councils[1:]
	}
}

// needed is the electorates whose majorities a candidate must have: the newest, and those that
// others may still trust and that could elect somebody without any of the newest's majority.
func (m *Machine) needed(now float64) []council {
	n := len(m.councils)
	var needed []council
	for i, c := range m.councils {
		if i == n-1 || now-m.councils[i+1].learned <= m.trust && !meet(c.ids, m.councils[n-1].ids) {
			needed = append(needed, c)
		}
	}
	return needed
}

// meet tells whether any majority of a has somebody in common with any of b.
func meet(a, b []string) bool {
	all := len(b)
	for _, id := range a {
		if !slices.Contains(b, id) {
			all++
		}
	}
	return len(a)/2+1+len(b)/2+1 > all
}

// peers is everybody who is asked.
func (m *Machine) peers() []string {
	all := map[string]bool{}
	for _, c := range m.councils {
		for _, id := range c.ids {
			all[id] = true
		}
	}
	delete(all, m.self)
	return slices.Sorted(maps.Keys(all))
}

// majority tells whether those that `has` holds for are a majority of every electorate needed.
func (m *Machine) majority(now float64, has func(id string) bool) bool {
	for _, c := range m.needed(now) {
		n := 0
		for _, id := range c.ids {
			if has(id) {
				n++
			}
		}
		if 2*n <= len(c.ids) {
			return false
		}
	}
	return len(m.councils) > 0
}

// may tells whether this bothy may ask for votes now.
func (m *Machine) may(now float64) bool {
	if len(m.councils) == 0 || now < m.open {
		return false
	}
	last := m.councils[len(m.councils)-1]
	if now >= last.confirmed+m.trust || !slices.Contains(last.ids, m.self) {
		return false
	}
	return m.majority(now, func(id string) bool { return m.sees(now, id) })
}

// sees tells whether a bothy was heard within a lease.
func (m *Machine) sees(now float64, id string) bool {
	at, ok := m.heard[id]
	return id == m.self || ok && now-at <= m.lease
}

func (m *Machine) expire(now float64, out *Out) {
	for _, name := range m.names {
		if d := m.duties[name]; d.held && now >= d.right {
			m.drop(now, name, out)
		}
	}
}

// drop ends what is held or stood for, and gives the votes back: from here on none of them is
// counted, so they are free at once.
func (m *Machine) drop(now float64, name string, out *Out) {
	d := m.duties[name]
	if d.held {
		d.lost = now
		out.Lost = append(out.Lost, Tenure{Duty: name, Term: d.term})
	}
	d.held, d.standing = false, false
	clear(d.rounds)
	free := Message{Kind: Free, From: m.self, Duty: name, Term: d.term, Life: m.life}
	m.free(now, free)
	for _, id := range m.peers() {
		free.To = id
		out.Send = append(out.Send, free)
	}
	m.await(d, now, 0)
}

// await sets when to stand next: later the more this bothy has, so that duties spread.
func (m *Machine) await(d *duty, now, least float64) {
	d.weighed = m.busy()
	d.standAt = now + max(0, least) + spreadMs*float64(d.weighed) + m.shuffle()*m.chance.Float64()
}

// shuffle is how far apart candidates draw their times to stand, at most.
func (m *Machine) shuffle() float64 {
	voters := 0
	if n := len(m.councils); n > 0 {
		voters = len(m.councils[n-1].ids)
	}
	return max(shuffleMs, shuffleEach*float64(voters))
}

// busy counts what this bothy has or stands for.
func (m *Machine) busy() int {
	n := 0
	for _, d := range m.duties {
		if d.held || d.standing {
			n++
		}
	}
	return n
}

func (m *Machine) resign(now float64, out *Out) {
	m.resigned = true
	for _, name := range m.names {
		if d := m.duties[name]; d.held || d.standing {
			m.drop(now, name, out)
		}
	}
	for _, id := range m.peers() {
		out.Send = append(out.Send, Message{Kind: Announce, From: m.self, To: id})
	}
}

func (m *Machine) hear(now float64, g Message, out *Out) {
	if g.From == m.self || g.From == "" {
		return
	}
	m.heard[g.From] = now
	if g.Kind == Announce {
		m.announce(now, g)
		return
	}
	d := m.duties[g.Duty]
	if d == nil {
		return
	}
	switch g.Kind {
	case Ballot:
		m.yield(now, d, g, out)
		out.Send = append(out.Send, m.vote(now, d, g))
	case Vote:
		m.count(now, d, g, out)
	case Free:
		m.free(now, g)
		if !d.held && !d.standing && now >= d.until {
			// Whatever this bothy was told to wait for may be over.
			m.await(d, now, 0)
		}
	}
}

func (m *Machine) announce(now float64, g Message) {
	for _, d := range m.duties {
		if d.holder == g.From {
			d.holder = ""
		}
	}
	for _, t := range g.Held {
		d := m.duties[t.Duty]
		if d == nil {
			continue
		}
		d.holder, d.holderTerm, d.holderAt = g.From, t.Term, now
	}
	for _, t := range g.Terms {
		m.Learn(t.Duty, t.Term)
	}
}

// yield ends this bothy's own standing before a rival's that goes first, or two that split the
// votes would both wait out their rounds. Its term was never held, so the rival may have it.
func (m *Machine) yield(now float64, d *duty, g Message, out *Out) {
	if !d.standing || g.Term < d.term || g.Term == d.term && rank(g, g.From) < rank(g, m.self) {
		return
	}
	m.drop(now, g.Duty, out)
	d.given = min(d.given, g.Term-1)
}

// rank orders rivals anew in each term, so that one that can't win isn't always yielded to.
func rank(g Message, id string) uint64 {
	return xxh3.HashStringSeed(g.Duty+"\x00"+id, g.Term)
}

// vote answers a ballot.
func (m *Machine) vote(now float64, d *duty, g Message) Message {
	d.seen = max(d.seen, g.Term)
	answer := Message{Kind: Vote, From: m.self, To: g.From, Duty: g.Duty, Term: g.Term, Life: g.Life, Round: g.Round}
	mine := d.to == g.From && d.toLife == g.Life
	last := d.ended[g.From]
	switch {
	case last.life == g.Life && g.Term <= last.term:
	case now < m.silent:
		answer.WaitMs = m.silent - now
	case !mine && now < d.until:
		answer.WaitMs = d.until - now
	case g.Term > d.given, g.Term == d.given && mine && !d.freed:
		if !mine {
			d.others = max(d.others, d.until)
		}
		answer.VacantMs = max(now-d.others, 0)
		d.to, d.toLife, d.given, d.freed = g.From, g.Life, g.Term, false
		d.until = now + m.lease
		answer.Yes = true
	}
	answer.Seen = d.seen
	if !d.held {
		answer.IdleMs = max(now-d.lost, 0)
	}
	return answer
}

// free gives a vote back. The term stays used: a ballot of it that comes later gets no vote.
func (m *Machine) free(now float64, g Message) {
	d := m.duties[g.Duty]
	if d.holder == g.From && d.holderTerm <= g.Term {
		d.holder = ""
	}
	if last := d.ended[g.From]; last.life != g.Life || last.term < g.Term {
		d.ended[g.From] = ended{life: g.Life, term: g.Term}
	}
	if d.to != g.From || d.toLife != g.Life || d.given > g.Term || d.freed {
		return
	}
	d.freed = true
	d.until = min(d.until, now)
}

// time notes how long a vote took, also where nobody waits for it any more: a voter that is far
// away would else never be waited for.
func (m *Machine) time(now float64, g Message) {
	at, ok := m.asked[g.Round]
	if !ok || g.Life != m.life {
		return
	}
	took := now - at
	if before, ok := m.takes[g.From]; ok {
		took = (before + took) / 2
	}
	m.takes[g.From] = took
}

// patience is how long to wait for the votes of a round.
func (m *Machine) patience() float64 {
	var takes []float64
	ids := m.councils[len(m.councils)-1].ids
	for _, id := range ids {
		if t, ok := m.takes[id]; ok {
			takes = append(takes, t)
		}
	}
	slices.Sort(takes)
	wait := roundPart * m.lease
	if n := min(len(ids)/2, len(takes)); n > 0 {
		wait = max(wait, farParts*takes[n-1])
	}
	return min(wait, roundMost*m.lease)
}

// count takes a vote.
func (m *Machine) count(now float64, d *duty, g Message, out *Out) {
	m.time(now, g)
	d.seen = max(d.seen, g.Seen)
	r := d.rounds[g.Round]
	if g.Life != m.life || g.Term != d.term || r == nil {
		return
	}
	r.idle[g.From] = g.IdleMs
	if !g.Yes {
		r.no[g.From] = true
		lost := !m.majority(now, func(id string) bool { return !r.no[id] && m.sees(now, id) })
		if d.standing && lost {
			m.drop(now, g.Duty, out)
			m.await(d, now, min(g.WaitMs, m.lease/3))
		}
		m.learn(now, g.Duty, d, r, out)
		return
	}
	r.yes[g.From], r.vacant[g.From] = true, g.VacantMs
	m.weigh(now, g.Duty, d, r, out)
	m.learn(now, g.Duty, d, r, out)
}

// weigh turns a majority into a right, which is reckoned from the asking.
func (m *Machine) weigh(now float64, name string, d *duty, r *round, out *Out) {
	if !m.majority(now, func(id string) bool { return r.yes[id] }) || now < m.open {
		return
	}
	last := m.councils[len(m.councils)-1]
	right := min(r.asked+rightPart*m.lease, last.confirmed+m.trust)
	if now >= right {
		return
	}
	if !d.held {
		vacant := m.vacant(now, d, r)
		d.held, d.standing, d.right = true, false, right
		d.won, d.vacant = now, vacant
		out.Won = append(out.Won, Tenure{Duty: name, Term: d.term, VacantMs: vacant})
		m.announced = now - m.lease
	}
	d.right = max(d.right, right)
}

// vacant is for how long the duty that is being won has surely been nobody's. Who held it had
// votes of a majority, and one of those voters is in ours: so the least that ours tell is safe.
func (m *Machine) vacant(now float64, d *duty, r *round) float64 {
	vacant := min(now-d.lost, now-m.alone)
	for _, ms := range r.vacant {
		vacant = min(vacant, ms)
	}
	return max(rightPart*vacant, 0) // clocks may run unevenly
}

// learn finds out more of the time before a duty was won. After a restart of all, voters vouch for
// little, as their silence covers what they may have forgotten. But nobody else has held it since
// it was won, so where all were asked after that and answered, each one's own word covers the time before.
func (m *Machine) learn(now float64, name string, d *duty, r *round, out *Out) {
	if !d.held || r.asked < d.won {
		return
	}
	vacant := min(d.won-d.lost, d.won-m.alone)
	for _, id := range m.councils[len(m.councils)-1].ids {
		if id != m.self {
			vacant = min(vacant, r.idle[id]-(now-d.won))
		}
	}
	if vacant -= (1 - rightPart) * (vacant + now - d.won); vacant > d.vacant {
		d.vacant = vacant
		out.Vacant = append(out.Vacant, Tenure{Duty: name, Term: d.term, VacantMs: vacant})
	}
}

func (m *Machine) act(now float64, out *Out) {
	may := m.may(now)
	for _, name := range m.names {
		d := m.duties[name]
		switch {
		case d.held:
			if (now-d.asked >= m.lease/3 || d.asked < d.won && d.vacant < m.trust) && may {
				m.ask(now, name, d, out)
			}
		case d.standing:
			if now-d.asked >= m.patience() {
				m.drop(now, name, out)
			}
		case now < d.until, now < m.silent, !may:
			// Somebody has this bothy's own vote, or it has none to give yet, or sees no majority. All
			// that wait for the same end draw anew then, or they would stand at the same moment.
			d.bound = true
		case d.bound:
			d.bound = false
			m.await(d, now, 0)
		case now < d.standAt:
		case m.busy() > d.weighed:
			m.await(d, now, 0)
		default:
			d.standing, d.term = true, max(d.seen, d.given, d.term)+1
			m.ask(now, name, d, out)
		}
	}
	if now-m.announced >= m.lease/3 {
		m.announced = now
		announce := Message{Kind: Announce, From: m.self}
		for _, name := range m.names {
			if seen := m.duties[name].seen; seen > 0 {
				announce.Terms = append(announce.Terms, Tenure{Duty: name, Term: seen})
			}
			if term, ok := m.Holds(now, name); ok {
				announce.Held = append(announce.Held, Tenure{Duty: name, Term: term})
			}
		}
		for _, id := range m.peers() {
			announce.To = id
			out.Send = append(out.Send, announce)
		}
	}
}

// ask opens a round, with this bothy's own vote first.
func (m *Machine) ask(now float64, name string, d *duty, out *Out) {
	m.round++
	d.asked, m.asked[m.round] = now, now
	maps.DeleteFunc(m.asked, func(_ uint64, at float64) bool { return now-at > m.lease })
	maps.DeleteFunc(d.rounds, func(_ uint64, r *round) bool { return now-r.asked > m.lease })
	r := &round{asked: now, yes: map[string]bool{}, no: map[string]bool{}, vacant: map[string]float64{}, idle: map[string]float64{}}
	d.rounds[m.round] = r
	g := Message{Kind: Ballot, From: m.self, Duty: name, Term: d.term, Life: m.life, Round: m.round}
	for _, id := range m.peers() {
		g.To = id
		out.Send = append(out.Send, g)
	}
	if mine := m.vote(now, d, g); mine.Yes {
		r.yes[m.self], r.vacant[m.self] = true, mine.VacantMs
		m.weigh(now, name, d, r, out)
		m.learn(now, name, d, r, out)
	} else {
		r.no[m.self] = true
	}
}
