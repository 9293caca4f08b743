package policy

// The records that a gateway keeps, and helpers that keep them consistent. Nothing is decided here.

// request is a client's try from its arrival until its final answer and the end of its last attempt.
type request struct {
	id             uint32
	class          *classState
	plan           *planState
	customer       *customer
	units          float64 // estimated units of quota
	level          int     // index in Gateway.queue
	arrived        Micros  // time of its client's first try, as far as known
	deadline       Micros  // when its client gives up
	unsentDeadline Micros  // while it was never sent, it is refused by then
	attempts       []*attempt
	inFlight       int     // attempts in flight
	sent, done     bool    // a first attempt was made; the final answer is given
	bodyPending    bool    // the last byte of its body has not arrived yet
	held           bool    // it is in the queue
	heldAt         Micros  // when it was last put in the queue
	awaitsCounter  bool    // it awaits the counter
	admitted       bool    // its units are reserved
	mayHaveRun     bool    // an attempt may have run on a server
	ranOn          *server // server of that attempt
	ranAt          Micros  // send time of the first attempt that may have run
	tokensTaken    float64 // units taken from the customer's buckets
	leasedAt       Micros  // when its units of a ceiling were leased; 0 if they were not

	regions      uint64  // bit set of the regions it may go to; 0 for any
	arrivalClass int     // index of its class at its arrival
	retryGranted bool    // Settings.AllowRetry already allowed its next attempt
	avoidServer  *server // its attempt there was cancelled because the server was silent
}

// attempt is one send of a request to a server.
type attempt struct {
	request         *request
	server          *server
	index           int     // in request.attempts
	sent            Micros  // when it was decided on
	open            bool    // it has no outcome yet
	work            float64 // its expected latency relative to the mean
	bodyPending     bool    // counted as waiting for the request's body: the server cannot have started
	silenceObserved bool    // its server's silence was already observed with it
	departed        bool    // it has been sent to the server
	prev, next      *attempt
}

// server is what the gateway knows of one process of a listed server.
type server struct {
	id             Server
	entry          Entry // its line of the server list
	listed         bool
	order          float64      // position in our own order of the servers, ascending
	slowness       float64      // latency relative to the fleet's, decays towards 1
	slownessAt     Micros       // when slowness was last updated
	inFlight       int          // our attempts in flight
	work           float64      // sum of the work of our attempts in flight
	head, tail     *attempt     // our attempts in flight, oldest first
	lastAnswer     Micros       // time of the last answer of any kind
	failures       int          // failures in a row
	ejected        bool         // it gets no requests but probes
	ejection       Micros       // length of the latest ejection
	probeAt        Micros       // when it may be probed
	probing        bool         // a probe is in flight
	silent         bool         // ejected as silent, and not heard of since
	fullUntil      Micros       // it gets no requests before
	coldSends      []Micros     // sends that still count against its cold budget
	unsent         int          // attempts decided on that have not been sent yet
	verdict        Verdict      // verdict of the zone's gateways
	unreported     observations // observations for the next report
	reportedLoad   float64      // requests per slot in its last load report
	reportedAt     Micros       // time of that report
	lastUsed       Micros       // our last send, or a time drawn to spread the first sends
	lastConsidered Micros       // when it was last a candidate
}

// takesRequests reports whether the list lets a server take new requests.
func (s *server) takesRequests() bool { return s.listed && s.entry.State == Ready }

// classState is a class with its measurements.
type classState struct {
	Class
	meanUnits     float64 // mean units of its answered requests
	maxTimeLeft   Micros  // longest time left of a try, in µs
	fullTimeShare float64 // fraction of first tries that have nearly that much
	latency       float64 // mean latency of good answers from the fleet, in µs
	answers       int     // number of good answers
}

// planState is a plan with its measurements.
type planState struct {
	Plan
	index       int
	attemptTime float64 // mean time that its attempts are in flight, in µs
}

// customer is the record of one customer under one plan.
type customer struct {
	key           uint64 // see recordKey
	plan          *planState
	gateways      float64 // number of gateways that the customer comes through
	tokens        float64 // units in our own bucket
	refilledAt    Micros  // when tokens and ceilingTokens were last advanced
	share         float64 // our share of the quota, from 0 to 1
	shareAt       Micros  // when share was last updated
	ownMean       float64 // our use per period, smoothed
	allMean       float64 // use of all gateways per period, smoothed
	ceilingTokens float64 // units in our part of the ceiling's bucket
	pending       float64 // units admitted and not sent yet
	inFlight      int     // attempts in flight
	lastRequest   Micros  // time of the last request
	// Shared bucket, kept on the counter.
	sharedTokens   float64 // estimate of the units in the shared bucket
	sharedAt       Micros  // when sharedTokens was last advanced
	totalAt        Micros  // time of the last total; 0 before the first
	othersRate     float64 // units per second that the other gateways use
	unreported     float64 // our use that the counter does not have yet
	window         int64   // number of the current counter window
	ownInWindow    float64 // units that we added in the window
	othersInWindow float64 // units that the others added, by the last total
	ownUse         float64 // our use since usePeriodStart, and the others'
	othersUse      float64
	usePeriodStart Micros   // start of the current share period
	spentWindow    [2]int64 // windows known to be spent, by drawUnits and drawLease
}

// counterCall is a counter call in progress.
type counterCall struct {
	request  *request  // request that waits for it, or nil
	customer *customer // customer whose shared bucket it is for; nil for a draw
	window   int64     // number of the counter window

	kind int // drawUnits or drawLease; unused for a shared bucket

	units, booked float64 // earlier use, and units of the request that waits
}

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings    Settings
	rng         uint64 // state of the random numbers
	host        Host
	now         Micros // time of the current event
	startedAt   Micros
	classes     []classState
	plans       []planState
	levels      [][]int      // by class and plan, the index in queue
	queue       [][]*request // held requests, by level
	queued      int          // requests in queue
	requests    map[uint32]*request
	customers   map[uint64]*customer
	wheel       [][]*customer // timing wheel: customers by the tick of their visit each second
	wheelAt     int64         // last visited slot, in ticks
	tickDue     Micros        // when the latest requested tick is due
	servers     []*server     // in our own order
	byID        map[Server]*server
	listedCount int // number of listed servers
	ringPlace   RingPlace

	inFlight       int     // attempts in flight
	inFlightSilent int     // attempts at silent servers, part of inFlight
	inFlightBodies int     // attempts waiting for a request body, part of inFlight
	lastAnswer     Micros  // time of the last answer of any server
	inFlightLimit  float64 // limit on attempts in flight
	limitSet       bool    // the limit has its initial value
	limitCutAt     Micros  // time of the last cut
	minRatio       float64 // least latency ratio seen, drifts up to the current one
	minRatioAt     Micros  // when latencyRatio was last updated
	ratioSamples   int     // number of answers in latencyRatio
	latencyRatio   float64 // smoothed latency of answers over their latency target
	answerRate     float64 // good answers per second
	sendRate       float64 // sends per second
	warmRate       float64 // good answers per second that a warm server has given us
	ratesAt        Micros  // when the rates were last updated
	sends          int     // sends since ratesAt
	goodAnswers    int     // good answers since ratesAt
	coldSendCount  uint64  // attempts sent to cold servers

	pendingCalls      map[uint64][]counterCall // counter calls in progress by name, oldest first
	callFraction      float64                  // fraction of the counter calls that are made
	capWindow         Micros                   // counter window of concurrency caps
	lastCounterAnswer Micros                   // time of the last answer of the counter
}

// random returns the next pseudo-random number in [0, 1), by xorshift.
func (g *Gateway) random() float64 {
	g.rng ^= g.rng << 13
	g.rng ^= g.rng >> 7
	g.rng ^= g.rng << 17
	return float64(g.rng>>11) / (1 << 53)
}

// hash mixes two numbers into a well distributed one.
func hash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ b*0xc2b2ae3d27d4eb4f
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// removeRequest removes a request from a list and reports whether it was there.
func removeRequest(list *[]*request, req *request) bool {
	for i, x := range *list {
		if x == req {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// unqueue removes a request from the queue if it is held.
func (g *Gateway) unqueue(req *request) {
	if !req.held {
		return
	}
	req.held = false
	if removeRequest(&g.queue[req.level], req) {
		g.queued--
	}
}

// closeAttempt removes an attempt from its request's, server's and customer's counts.
func (g *Gateway) closeAttempt(att *attempt) {
	srv := att.server
	g.recordDeparture(att) // if it was never reported as sent
	if att.prev != nil {
		att.prev.next = att.next
	} else {
		srv.head = att.next
	}
	if att.next != nil {
		att.next.prev = att.prev
	} else {
		srv.tail = att.prev
	}
	att.open = false
	srv.inFlight--
	if att.bodyPending {
		g.inFlightBodies--
	} else {
		srv.work -= att.work
	}
	att.request.inFlight--
	att.request.customer.inFlight--
	g.inFlight--
}

// cancelAll cancels a request's open attempts.
func (g *Gateway) cancelAll(req *request) {
	for i := range req.attempts {
		if req.attempts[i].open && g.settings.CanCancel {
			g.host.Cancel(req.id, i)
		}
	}
}

// openAttempt adds an attempt to its request's and its server's records.
func (g *Gateway) openAttempt(req *request, srv *server, load float64) {
	att := &attempt{request: req, server: srv, index: len(req.attempts), sent: g.now, open: true, work: load,
		bodyPending: req.bodyPending}
	req.attempts = append(req.attempts, att)
	srv.appendAttempt(att)
	if att.bodyPending {
		g.inFlightBodies++
	} else {
		srv.work += load
	}
	req.inFlight++
	req.customer.inFlight++
	g.inFlight++
}

// refuse ends a request with a refusal and returns its unused units.
func (g *Gateway) refuse(req *request, wait Micros) {
	g.returnUnits(req)
	g.unqueue(req)
	if !g.settings.SendRetryAfter {
		wait = 0
	}
	g.host.Refuse(req.id, wait)
	g.finish(req)
}

// fail ends a request with a failure.
func (g *Gateway) fail(req *request) {
	g.returnUnits(req)
	g.unqueue(req)
	g.host.Fail(req.id)
	g.finish(req)
}

// finish marks a request as answered and drops it once no attempt is open.
func (g *Gateway) finish(req *request) {
	req.done = true
	if req.inFlight == 0 {
		delete(g.requests, req.id)
	}
}

// beginEvent sets the time and the host for the actions of an event.
func (g *Gateway) beginEvent(now Micros, host Host) {
	g.now, g.host = now, host
}

// silence is how long a server with attempts of ours in flight has answered nothing, in µs.
func (g *Gateway) silence(srv *server) float64 {
	if srv.head == nil {
		return 0
	}
	return float64(g.now - max(srv.lastAnswer, srv.head.sent))
}

// meanLatency is the fleet's mean latency over all classes, in µs.
func (g *Gateway) meanLatency() float64 {
	sum, n := 0.0, 0.0
	for i := range g.classes {
		sum += g.classes[i].latency * float64(g.classes[i].answers+1)
		n += float64(g.classes[i].answers + 1)
	}
	return max(sum/max(n, 1), 1)
}

// waitFor is the time in which a rate per second yields the units, at most an hour.
func waitFor(units, rate float64) Micros {
	if rate <= 0 {
		return second
	}
	return Micros(min(units/rate*1e6, 3600e6)) + milli
}
