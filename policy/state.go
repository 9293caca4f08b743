package policy

import (
	"cmp"
	"slices"
)

// The records a gateway keeps and the plumbing around them. Nothing is decided
// here; the decisions are in policy.go.

type request struct {
	id          uint32
	class       *classState
	plan        *planState
	cust        *customer
	units       float64
	level       int
	arrived     Micros
	deadline    Micros
	halfway     Micros // of its client's time
	attempts    []*attempt
	open        int  // attempts outstanding
	sent, done  bool // a first attempt was made; the final answer is given
	held        bool
	drawing     bool // the counter is asked for its units
	asked       bool // again
	admitted    bool
	uncertain   bool // an attempt may have run
	ranOn       *server
	ranAt       Micros // send of the first attempt that may have run
	tokensTaken float64
}

type attempt struct {
	req        *request
	srv        *server
	n          int
	sent       Micros
	open       bool
	load       float64 // its work against the average
	prev, next *attempt
}

type server struct {
	id         Server
	e          Entry
	listed     bool
	place      float64 // in our own order of the servers
	rel        float64 // latency relative to the fleet's
	relAt      Micros
	open       int
	load       float64  // work of own attempts outstanding
	head, tail *attempt // own attempts outstanding, oldest first
	answered   Micros   // last answer of any kind
	others     float64  // reported requests that are not ours
	othersAt   Micros
	fails      int
	ejected    bool
	ejectedFor Micros
	retryAt    Micros
	trial      bool // a probe or trial is out
	lost       bool // shut off as silent, and not heard of since
	fullUntil  Micros
	coldSends  []Micros
}

type classState struct {
	Class
	units   float64 // average units of its answered requests
	longest Micros  // longest time left of a try
	full    float64 // part of the tries that have it
	lat     float64 // fleet latency of good answers, slow average
	n       int
}

type planState struct {
	Plan
	index   int
	holds   float64 // how long its attempts are out
	granted float64 // part of the draws that are granted
}

type customer struct {
	key     uint64
	plan    *planState
	spread  float64
	tokens  float64
	at      Micros
	share   float64
	shareAt Micros
	ownMean float64 // smoothed own use of metered periods
	allMean float64 // smoothed use by all gateways in them
	guard   float64 // our part of the ceiling's store
	pending float64 // units admitted and not sent yet
	open    int
	ring    [ringParts * ringPeriods]float64
	slot    int64
	touched Micros
	// counter
	level      float64 // what is in the shared store by what we know
	levelAt    Micros
	heardAt    Micros  // last total
	othersRate float64 // units a second that the others use
	untold     float64 // own use that the counter has not been told
	toldAt     Micros
	window     int64   // the name's
	mine       float64 // added by us in the window
	others     float64 // added by the others, by the last total
	ownUse     float64 // since accAt, and the others'
	othersUse  float64
	accAt      Micros
	spent      int64 // the window whose store is spent
	seenPub    Micros
}

// drawn is a counter call that is out.
type drawn struct {
	q     *request  // waits for it, if any
	c     *customer // where it is for the shared store
	n     int64     // the window
	units float64
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	rng       uint64
	do        Host
	now       Micros
	born      Micros
	classes   []classState
	plans     []planState
	levels    [][]int // class, plan -> place in queue
	queue     [][]*request
	queued    int
	reqs      map[uint32]*request
	customers map[uint64]*customer
	wheel     [][]*customer
	wheelAt   int64
	servers   []*server
	byID      map[Server]*server

	inFlight int
	stuck    int    // of them, on servers that are silent
	answered Micros // last answer of any server
	bound    float64
	boundSet bool
	cutAt    Micros
	idle     float64 // least smoothed stretch seen, forgotten slowly
	idleAt   Micros
	answers  int
	stretch  float64 // answers' latency over their aim, smoothed
	doneRate float64 // answers a second
	sendRate float64
	lastRate Micros
	sends    int
	dones    int

	draws     map[uint64][]drawn
	calls     float64 // part of the draws that are made
	capWindow Micros
	callAt    Micros

	period Micros
	pubAt  Micros // newest publication of the meter seen
}

func (g *Gateway) random() float64 {
	g.rng ^= g.rng << 13
	g.rng ^= g.rng >> 7
	g.rng ^= g.rng << 17
	return float64(g.rng>>11) / (1 << 53)
}

func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

func (c *customer) roll(slot int64) {
	if slot-c.slot > int64(len(c.ring)) {
		c.slot = slot - int64(len(c.ring))
	}
	for c.slot < slot {
		c.slot++
		c.ring[c.slot%int64(len(c.ring))] = 0
	}
}

func drop(list *[]*request, q *request) bool {
	for i, x := range *list {
		if x == q {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// usedIn is our own use in the period that ended at a time.
func (g *Gateway) usedIn(c *customer, end Micros) float64 {
	w := g.period / ringParts
	c.roll(g.now / w)
	first := (end - g.period + w/2) / w
	sum := 0.0
	for s := first; s < first+ringParts; s++ {
		if s <= c.slot && s > c.slot-int64(len(c.ring)) && s >= 0 {
			sum += c.ring[s%int64(len(c.ring))]
		}
	}
	return sum
}

func (g *Gateway) unhold(q *request) {
	if !q.held {
		return
	}
	q.held = false
	if drop(&g.queue[q.level], q) {
		g.queued--
	}
}

func (g *Gateway) hold(q *request) {
	q.held = true
	g.queued++
	at := len(g.queue[q.level])
	if q.sent { // what was sent before goes first in its rank
		at = 0
	}
	g.queue[q.level] = slices.Insert(g.queue[q.level], at, q)
}

func (g *Gateway) closeAttempt(a *attempt) {
	s := a.srv
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		s.head = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		s.tail = a.prev
	}
	a.open = false
	s.open--
	s.load -= a.load
	a.req.open--
	a.req.cust.open--
	g.inFlight--
}

func sameGroup(gr Group, a, b *server) bool {
	switch gr {
	case GroupZone:
		return a.e.Zone == b.e.Zone
	case GroupCell:
		return a.e.Zone == b.e.Zone && a.e.Cell == b.e.Cell
	}
	return true
}

func (g *Gateway) cancelAll(q *request) {
	for i := range q.attempts {
		if q.attempts[i].open && g.set.Cancel {
			g.do.Cancel(q.id, i)
		}
	}
}

// silence is how long a server with work of ours has answered nothing.
func (g *Gateway) silence(s *server) float64 {
	if s.head == nil {
		return 0
	}
	return float64(g.now - max(s.answered, s.head.sent))
}

// typical is the fleet's latency over all classes.
func (g *Gateway) typical() float64 {
	sum, n := 0.0, 0.0
	for i := range g.classes {
		sum += g.classes[i].lat * float64(g.classes[i].n+1)
		n += float64(g.classes[i].n + 1)
	}
	return max(sum/max(n, 1), 1)
}

// openAttempt adds an attempt to its request's and its server's lists.
func (g *Gateway) openAttempt(q *request, s *server, load float64) {
	a := &attempt{req: q, srv: s, n: len(q.attempts), sent: g.now, open: true, load: load}
	q.attempts = append(q.attempts, a)
	s.link(a)
	s.load += load
	q.open++
	q.cust.open++
	g.inFlight++
}

func (g *Gateway) refuse(q *request, wait Micros) {
	g.giveBack(q)
	g.unhold(q)
	if !g.set.RetryAfter {
		wait = 0
	}
	g.do.Refuse(q.id, wait)
	g.finish(q)
}

func (g *Gateway) fail(q *request) {
	g.giveBack(q)
	g.unhold(q)
	g.do.Fail(q.id)
	g.finish(q)
}

func (g *Gateway) finish(q *request) {
	q.done = true
	if q.open == 0 {
		delete(g.reqs, q.id)
	}
}

// Streaming tells that an answer has begun. Its attempt is never taken back, so
// there is nothing to do.
func (g *Gateway) Streaming(now Micros, do Host, id uint32, n int) {
	g.enter(now, do)
}

func waitFor(units, rate float64) Micros {
	if rate <= 0 {
		return second
	}
	return Micros(min(units/rate*1e6, 3600e6)) + milli
}

// giveBack returns what a request took that was never sent.
func (g *Gateway) giveBack(q *request) {
	if q.sent {
		return
	}
	q.cust.tokens += q.tokensTaken
	q.cust.level += q.tokensTaken
	if q.admitted {
		q.cust.pending -= q.units
	}
	if q.admitted && q.plan.CeilingRate > 0 {
		q.cust.guard += q.units
	}
	q.tokensTaken, q.admitted = 0, false
}

// mergeList brings the list up to date and drops what is neither listed nor in use.
func (g *Gateway) mergeList(kind ListKind, entries []Entry) {
	if kind != Delta {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, e := range entries {
		s := g.byID[e.Server]
		if s == nil {
			s = &server{id: e.Server, rel: 1}
			g.byID[e.Server] = s
			g.servers = append(g.servers, s)
		}
		if e.ReadyAt != s.e.ReadyAt { // a new life
			s.rel, s.fails, s.ejected, s.ejectedFor, s.trial = 1, 0, false, 0, false
		}
		s.e, s.listed = e, e.State != Gone
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		unused := !s.listed && s.open == 0
		if unused {
			delete(g.byID, s.id)
		}
		return unused
	})
}

// Standings tells what the module thinks of its servers, and how many attempts it
// would have out at once. It changes nothing.
func (g *Gateway) Standings(now Micros) (list []Standing, bound float64) {
	g.now = now
	for _, s := range g.servers {
		if !s.listed {
			continue
		}
		part := 1 / (g.relOf(s) * g.dear(s))
		if g.cold(s) {
			part *= g.warmth(s)
		}
		shut := s.ejected && now < s.retryAt || now < s.fullUntil
		list = append(list, Standing{Server: s.id, State: s.e.State, Shut: shut, Part: part, Zone: s.e.Zone})
	}
	slices.SortFunc(list, func(a, b Standing) int { return cmp.Compare(a.Server, b.Server) })
	return list, g.bound
}

// SetClasses replaces the table of classes while requests are under way. They keep
// the terms they came with, and held ones the place that those give them. A class
// that stays as it is in its place keeps what was learned of it.
func (g *Gateway) SetClasses(now Micros, do Host, classes []Class) {
	g.enter(now, do)
	old, held := g.classes, g.queue
	g.classes = nil
	for i, c := range classes {
		st := classState{Class: c, lat: float64(c.Aim) / 4}
		if i < len(old) && old[i].Class == c {
			st = old[i]
		}
		g.classes = append(g.classes, st)
	}
	for _, q := range g.reqs {
		for i := range min(len(old), len(g.classes)) {
			if q.class == &old[i] && old[i].Class == g.classes[i].Class {
				q.class = &g.classes[i]
				break
			}
		}
	}
	g.rankLevels()
	for _, level := range held {
		for _, q := range level {
			q.level = g.levelOf(q)
			g.queue[q.level] = append(g.queue[q.level], q)
		}
	}
	g.dispatch()
}

// levelOf is the first level that ranks no higher than a request's own terms.
func (g *Gateway) levelOf(q *request) int {
	level := len(g.queue) - 1
	for i := range g.classes {
		for j := range g.plans {
			if g.classes[i].Worth*g.plans[j].Price <= q.class.Worth*q.plan.Price {
				level = min(level, g.levels[i][j])
			}
		}
	}
	return level
}

func (g *Gateway) enter(now Micros, do Host) {
	g.now, g.do = now, do
}

// keepFor is how long an idle customer is remembered: until its stores are surely
// full, as one met anew starts with what has filled since our birth (rule 5).
func (c *customer) keepFor() Micros {
	p := c.plan
	return max(idleAge, waitFor(p.Burst*c.spread, p.Rate), waitFor(p.CeilingBurst, p.CeilingRate))
}

// turn visits the customers whose second ends now.
func (g *Gateway) turn(slot int) {
	g.wheel[slot] = slices.DeleteFunc(g.wheel[slot], func(c *customer) bool {
		g.tellUse(c)
		idle := g.now-c.touched > c.keepFor() && c.open == 0 && c.pending <= 0
		if idle {
			delete(g.customers, c.key)
		}
		return idle
	})
}

// customer is the record of a request's customer, made where there is none.
func (g *Gateway) customer(r Request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		spread := min(max(r.Spread, 1), max(g.set.Gateways, 1))
		c = &customer{key: r.Customer, plan: &g.plans[r.Plan], spread: float64(spread), at: g.now}
		c.seenPub = g.pubAt
		c.share = 1 / c.spread
		c.tokens = g.store(c)
		c.level, c.levelAt, c.accAt = c.plan.Burst, g.now, g.now
		p := c.plan
		if p.CeilingRate > 0 {
			// A gateway just born does not know what it spent in an earlier life:
			// its part of the ceiling fills from nothing since then.
			sinceBirth := float64(g.now-g.born) / 1e6
			c.guard = min(p.CeilingBurst, p.CeilingRate*sinceBirth) / c.spread
		}
		g.customers[r.Customer] = c
		i := c.key * 0x9e3779b97f4a7c15 >> 32 % uint64(len(g.wheel))
		g.wheel[i] = append(g.wheel[i], c)
	}
	c.touched = g.now
	return c
}

// cold tells whether a server has just started.
func (g *Gateway) cold(s *server) bool {
	return s.e.ReadyAt > 0 && g.now-s.e.ReadyAt < g.set.ColdFor
}

// warmth is the part of its capacity that a cold server has at least.
func (g *Gateway) warmth(s *server) float64 {
	age := float64(g.now-s.e.ReadyAt) / float64(max(g.set.ColdFor, 1))
	return g.set.ColdShare + (1-g.set.ColdShare)*min(max(age, 0), 1)
}
