package policy

// The records a gateway keeps and the plumbing around them. Nothing is decided
// here.

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
	filling     bool // its last byte is still to come
	held        bool
	heldAt      Micros // since when it is
	drawing     bool   // the counter is asked for its units
	admitted    bool
	uncertain   bool // an attempt may have run
	ranOn       *server
	ranAt       Micros // send of the first attempt that may have run
	tokensTaken float64
	leasedAt    Micros // when its units of a ceiling were

	homes   uint64  // regions that it may go to
	kind    int     // the class that it came with
	granted bool    // its next attempt was asked for already
	avoid   *server // was silent with it
}

type attempt struct {
	req        *request
	srv        *server
	n          int
	sent       Micros
	open       bool
	load       float64 // its work against the average
	filling    bool    // the worker can't have begun
	muted      bool    // its silence was told
	left       bool    // it is on its way to the server
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
	fails      int
	ejected    bool
	ejectedFor Micros
	retryAt    Micros
	trial      bool // a trial is out
	lost       bool // shut off as silent, and not heard of since
	fullUntil  Micros
	coldSends  []Micros // of the last second
	unsent     int      // attempts that have not left yet
	belief     Belief   // of the zone's gateways
	seen       seen
	told       float64 // requests for each slot that it had, by its last report
	toldAt     Micros
	usedAt     Micros // our last send, or where it stands among the turns
	weighedAt  Micros // when it was last among those to choose from
}

// takes tells whether the list has a server take new work.
func (s *server) takes() bool { return s.listed && s.e.State == Ready }

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
	index int
	holds float64 // how long its attempts are out
}

type customer struct {
	key     uint64
	plan    *planState
	spread  float64
	tokens  float64
	at      Micros
	share   float64
	shareAt Micros
	ownMean float64 // smoothed own use by periods
	allMean float64 // smoothed use by all gateways in them
	guard   float64 // our part of the ceiling's store
	pending float64 // units admitted and not sent yet
	open    int
	touched Micros
	// counter
	level      float64 // what is in the shared store by what we know
	levelAt    Micros
	heardAt    Micros  // last total
	othersRate float64 // units a second that the others use
	untold     float64 // own use that the counter has not been told
	window     int64   // the name's
	mine       float64 // added by us in the window
	others     float64 // added by the others, by the last total
	ownUse     float64 // since accAt, and the others'
	othersUse  float64
	accAt      Micros
	spent      [2]int64 // the windows that are, by what is drawn
}

// drawn is a counter call that is out.
type drawn struct {
	q *request  // waits for it, if any
	c *customer // where it is for the shared store
	n int64     // the window

	kind int // of draw, where it is none for the shared store

	units, booked float64 // used before, and by the request that waits
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
	tickDue   Micros // when the tick that was last asked for is due
	servers   []*server
	byID      map[Server]*server
	listed    int // servers
	ringed    Ring

	inFlight int
	stuck    int    // of them, on servers that are silent
	filling  int    // of them, with a last byte still to come
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
	warmLoad float64 // good answers a second that a server has given us
	lastRate Micros
	sends    int
	dones    int
	toCold   uint64 // sends that have left for servers that were cold

	draws     map[uint64][]drawn
	calls     float64 // part of the draws that are made
	capWindow Micros
	callAt    Micros
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

func drop(list *[]*request, q *request) bool {
	for i, x := range *list {
		if x == q {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
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

func (g *Gateway) closeAttempt(a *attempt) {
	s := a.srv
	g.leave(a) // whatever became of it
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
	if a.filling {
		g.filling--
	} else {
		s.load -= a.load
	}
	a.req.open--
	a.req.cust.open--
	g.inFlight--
}

func (g *Gateway) cancelAll(q *request) {
	for i := range q.attempts {
		if q.attempts[i].open && g.set.Cancel {
			g.do.Cancel(q.id, i)
		}
	}
}

// openAttempt adds an attempt to its request's and its server's lists.
func (g *Gateway) openAttempt(q *request, s *server, load float64) {
	a := &attempt{req: q, srv: s, n: len(q.attempts), sent: g.now, open: true, load: load, filling: q.filling}
	q.attempts = append(q.attempts, a)
	s.link(a)
	if a.filling {
		g.filling++
	} else {
		s.load += load
	}
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

func (g *Gateway) enter(now Micros, do Host) {
	g.now, g.do = now, do
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

func waitFor(units, rate float64) Micros {
	if rate <= 0 {
		return second
	}
	return Micros(min(units/rate*1e6, 3600e6)) + milli
}
