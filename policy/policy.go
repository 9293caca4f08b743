package policy

// The decisions of one gateway. The interface (settings, events, actions) is in
// types.go. Every customer is policed by a token bucket over its
// demand-following slice of the quota; what passes is held behind a bound on
// attempts in flight, in a strict priority queue ranked by class worth times
// plan price.

import (
	"cmp"
	"math"
	"slices"
)

const (
	second = Micros(1e6)
	milli  = Micros(1e3)

	// Policing.
	counterPeriod = second // of the measure of our part of a customer's use
	shareGain     = 0.3    // weight of the newest period in the share
	stalePeriods  = 4      // periods without a total after which a share is back at the floor
	idleAge       = 20 * second

	// The shared store on the counter.
	storeWindow = 10 * second // a counter name stands for one customer and so long
	storeKeep   = 0.2         // of the burst must be left to let in without asking
	storeTell   = 0.4         // of our even part of a store is used before the counter is told
	storeAsk    = second / 10 // between two calls for a store that is spent
	storeSmooth = 1.0         // seconds over which the others' use is smoothed
	storeLeast  = 0.25        // of the largest request a store may be below nothing by our measure

	// Drawing on the counter.
	callCut     = 0.9        // of the draws stay when the counter fails one
	callGrow    = 0.3        // of all draws come back in a second,
	callBack    = 0.01       // and at an answer at most, so about one call in ten fails,
	callDown    = 3 * second // but for the first answer after so long without one
	unknownWait = second / 4 // advised where the counter could not be asked
	holdGain    = 0.05       // weight of the newest attempt in how long a plan's attempts are out
	callLeast   = 0.2        // of the draws look for a counter that is down
	capFill     = 0.7        // of a cap is out on average when a window is used up
	totalSlack  = 1.001      // totals come with seven digits
	drawWindow  = 0.8        // of the time in which a thin store fills: a window, which passes a burst
	leaseOwn    = 0.5        // of our even part of a thin ceiling is ours; the rest is leased by windows,
	leaseParts  = 3          // so many in the time in which a ceiling's store fills

	// The bound on attempts in flight.
	startPerServer = 5.0  // a server, for all gateways together: the start
	mostPerServer  = 24.0 // the bound does not rise past this
	leastPerServer = 3.0  // a server, for all gateways: the bound is not cut below its part
	growWithin     = 0.25 // of the aim: faster answers let the bound rise
	growStep       = 2.0  // over the bound is added to it by a quick answer
	growMost       = 0.05 // of the bound is added by an answer at most
	cutPast        = 0.4  // of the aim: slower answers on average cut it
	stretchGain    = 0.03 // weight of the newest answer in that average, at least,
	stretchMost    = 0.1  // and of one that comes after a tenth of a second, so that seldom ones count
	ownPart        = 0.4  // of the aim at most is set aside for the answer itself
	stretchSettles = 50
	idleForget     = 60 * second
	knee           = 1.3   // times the least latency seen: the bound rises no more
	kneeCut        = 1.8   // times it: the bound is cut
	cutFactor      = 0.7   // of the bound stays at a cut
	turnStep       = 0.618 // of the gateways is the distance between turns of a part below one

	// Repeats.
	fullGain   = 0.02 // weight of the newest try in the part that has the longest left
	fullMarked = 0.8  // of a class's first tries must have it
	lateLeast  = 0.5  // of the worth must remain past the aim for a late repeat to be let in

	// Servers.
	relGain      = 0.05       // weight of the newest answer in a server's slowness
	relFail      = 2.0        // slowness grows by this at a failure
	relWorst     = 20.0       // times the expected latency count at most
	costNoise    = 0.05       // chance breaks ties of cost
	subsetLeast  = 6          // servers are used at least, the first in our own order
	subsetEvery  = 1.0        // or so many that each gets a request of ours in so many seconds
	ownGateways  = 4.0        // so few still see a server's load in what they have out themselves
	spreadMost   = 0.5        // the power of chance in the choice where there are very many
	relForget    = 6 * second // an unused server's bad name halves in this time
	loadLeast    = 0.25       // an attempt counts as this much of an average one at least
	loadMost     = 4.0        // and as this much at most
	lostFactor   = 4.0        // expected latencies of silence that shut a server off,
	lostLeast    = 1.5        // and so many halves of the shortest aim at least
	failsToEject = 3
	connectSlow  = 100 * milli // a connection that failed later than this was not refused
	ejectFirst   = second / 2
	ejectMost    = 8 * second
	trialCost    = 100.0 // times as dear is a server while a trial of it is out
	fullPause    = 50 * milli
	coldSafety   = 0.5  // of our part of a cold server's budget is used
	warmForget   = 30.0 // seconds after which what servers were seen to bear counts half
	zoneFactor   = 10   // cost of a far server grows by this times the price of crossing

	step = 10 * milli // pace of the housekeeping tick
)

// Kinds of timer token, and what is drawn from the counter.
const (
	tokenTick = iota
	tokenGiveUp

	drawUnits = 0 // of a store, or places of a cap
	drawLease = 1 // units of a ceiling
)

// New makes a gateway from its settings. The seed makes its choices its own.
func New(s Settings, seed uint64) *Gateway {
	g := &Gateway{set: s, rng: seed | 1, reqs: map[uint32]*request{}, customers: map[uint64]*customer{},
		draws: map[uint64][]drawn{}, calls: 1, byID: map[Server]*server{}}
	g.wheel = make([][]*customer, counterPeriod/step)
	for _, c := range s.Classes {
		g.classes = append(g.classes, classState{Class: c, lat: float64(c.Aim) / 4})
	}
	g.capWindow = second
	for _, c := range s.Classes {
		g.capWindow = min(g.capWindow, c.Aim/2)
	}
	g.capWindow = max(g.capWindow, milli)
	for i, p := range s.Plans {
		g.plans = append(g.plans, planState{Plan: p, index: i, holds: float64(g.capWindow)})
	}
	g.rankLevels()
	return g
}

// rankLevels gives each class and plan its place in the strict order.
func (g *Gateway) rankLevels() {
	rank := func(i, j int) float64 { return -g.classes[i].Worth * g.plans[j].Price }
	var ranks []float64
	for i := range g.classes {
		for j := range g.plans {
			ranks = append(ranks, rank(i, j))
		}
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	g.queue = make([][]*request, len(ranks))
	g.levels = make([][]int, len(g.classes))
	for i := range g.classes {
		for j := range g.plans {
			g.levels[i] = append(g.levels[i], slices.Index(ranks, rank(i, j)))
		}
	}
}

// Start begins the gateway's life.
func (g *Gateway) Start(now Micros, do Host) {
	g.enter(now, do)
	g.born, g.lastRate, g.wheelAt = now, now, now/step
	g.armTick(g.pace())
}

// ---- policing ----

// currentShare is the part of the quota that is ours: by what the counter said last,
// or the even part where it is silent.
func (g *Gateway) currentShare(c *customer) float64 {
	if g.now-c.shareAt > stalePeriods*counterPeriod {
		return 1 / c.spread
	}
	return c.share
}

// store is what our bucket of a customer holds at most.
func (g *Gateway) store(c *customer) float64 {
	return max(c.plan.Burst*g.currentShare(c), 1)
}

// rate is what a customer's bucket fills at: its plan's, or, where a cap is thin, the
// starts that keep the cap filled.
func (g *Gateway) rate(c *customer) float64 {
	if p := c.plan; p.Rate <= 0 && g.thin(c) {
		return capFill * float64(p.Open) / max(p.holds, 1) * 1e6
	}
	return c.plan.Rate
}

// admit takes a request's units from its customer's bucket, or tells how long
// the client should stay away.
func (g *Gateway) admit(q *request) (bool, Micros) {
	c := q.cust
	g.refill(c)
	if rate := g.rate(c); rate > 0 {
		// A request larger than our part of the store passes a full bucket.
		if need := min(q.units, g.store(c)); c.tokens < need {
			return false, waitFor(need-c.tokens, rate*g.currentShare(c))
		}
		g.take(q)
	}
	return true, 0
}

// take takes a request's units from our bucket and from what we know of the shared
// store.
func (g *Gateway) take(q *request) {
	q.cust.tokens -= q.units
	q.cust.level -= q.units
	q.tokensTaken = q.units
}

// told brings the answer to a call.
func (g *Gateway) told(d drawn, st Status, total float64) {
	c, q := d.c, d.q
	g.flow(c)
	switch {
	case st == Full || st == ConnectFailed: // nothing was added
		c.untold += d.units
	case d.n == c.window: // what may have been added is taken for added
		c.mine += d.units + d.booked
		c.untold -= d.booked // until it is sent
		if st == OK {
			g.hear(c, total)
		}
	}
	if q == nil {
		return
	}
	q.drawing = false
	switch {
	case q.done: // the client left meanwhile
	case g.beyond(q):
	case st != OK:
		g.police(q)
	case c.level >= q.units:
		g.grant(q)
	default:
		g.refuse(q, waitFor(q.units-c.level, q.plan.Rate))
		if d.booked > 0 {
			g.call(c, nil) // gives it back
		}
	}
}

// grant lets on what the shared store has the units for.
func (g *Gateway) grant(q *request) {
	g.take(q)
	g.let(q)
}

// let lets on what its quota has the units for, if the ceiling has them: our own part of it,
// or what the counter leases of the rest.
func (g *Gateway) let(q *request) {
	switch rate, _ := g.ceiling(q.cust); {
	case rate <= 0 || q.cust.guard >= q.units:
		g.reserve(q)
		g.enqueue(q)
	case !g.leased(q.plan) || !g.draw(q, drawLease):
		g.refuse(q, waitFor(q.units-q.cust.guard, rate))
	}
}

// leased tells that a ceiling's even parts hold less than one of the largest requests, so
// that a part of it is leased from the counter. What the windows pass that a time touches,
// held for one window more, is no more than the ceiling's store holds and gets in it, however
// often gateways are born and whatever each of them knows (docs/design/ceilings.md).
func (g *Gateway) leased(p *planState) bool {
	return g.set.Counter && p.CeilingRate > 0 && leasePool(p) >= g.set.Largest &&
		p.CeilingBurst < float64(g.set.Gateways)*g.set.Largest
}

// leasePool is what a window passes of a ceiling.
func leasePool(p *planState) float64 { return (1 - leaseOwn) * p.CeilingBurst / leaseParts }

// ceiling is the part of a customer's ceiling that is ours without a lease.
func (g *Gateway) ceiling(c *customer) (rate, burst float64) {
	part := 1 / c.spread
	if g.leased(c.plan) {
		part *= leaseOwn
	}
	return c.plan.CeilingRate * part, c.plan.CeilingBurst * part
}

// tellUse runs once a second for each customer: the counter learns of what is untold.
func (g *Gateway) tellUse(c *customer) {
	much := math.Abs(c.untold) > max(storeTell/4*c.plan.Burst/c.spread, storeLeast*g.set.Largest)
	if much && g.random() < g.calls {
		g.call(c, nil)
	}
}

// ask judges a try by the shared store: by what we know of it where that is plenty or
// surely too little, else by a call that the try waits for.
func (g *Gateway) ask(q *request) {
	c, p := q.cust, q.plan
	g.flow(c)
	age := float64(g.now-c.heardAt) / 1e6
	switch {
	case c.heardAt == 0:
	case c.level < q.units && (g.now-c.heardAt < storeAsk || c.level+c.othersRate*age < q.units):
		g.refuse(q, waitFor(q.units-c.level, p.Rate))
		return
	case c.level-q.units >= storeKeep*p.Burst+p.Rate*age: // others may have used what came in
		g.grant(q)
		return
	}
	if !g.mayCall(q) {
		g.police(q)
		return
	}
	g.await(q)
	g.call(c, q)
}

// mayCall tells whether a request may wait for the counter: rule 1, the answer may
// come later than its client waits.
func (g *Gateway) mayCall(q *request) bool {
	return g.random() < g.calls && q.deadline-g.now >= g.set.CounterTimeout+4*max(g.set.Tick, milli)
}

// Counted brings the answer to a counter call.
func (g *Gateway) Counted(now Micros, do Host, name uint64, _ Micros, st Status, total float64) {
	g.enter(now, do)
	if back := callGrow * float64(now-g.callAt) / 1e6; st == OK {
		if now-g.callAt < callDown { // it was not silent
			back = min(back, callBack)
		}
		g.calls, g.callAt = min(g.calls+back, 1), now
	} else if st != Reset { // a broken link says nothing of crowding
		g.calls = max(g.calls*callCut, callLeast)
	}
	list := g.draws[name]
	if len(list) == 0 {
		return
	}
	if g.draws[name] = list[1:]; len(list) == 1 {
		delete(g.draws, name)
	}
	if d := list[0]; d.c != nil {
		g.told(d, st, total)
	} else {
		g.drew(d, st, total)
	}
}

// ---- requests ----

// Request takes a client's try.
func (g *Gateway) Request(now Micros, do Host, r Request) {
	g.enter(now, do)
	if g.reqs[r.ID] != nil {
		return
	}
	g.busyTick()
	if r.Class < 0 || r.Class >= len(g.classes) || r.Plan < 0 || r.Plan >= len(g.plans) {
		do.Refuse(r.ID, 0)
		return
	}
	q := &request{id: r.ID, class: &g.classes[r.Class], plan: &g.plans[r.Plan], cust: g.customer(r),
		units: r.Units, filling: r.Filling, level: g.levels[r.Class][r.Plan], arrived: now,
		deadline: now + r.Left, halfway: g.halfway(r), homes: r.Homes, kind: r.Class}
	g.reqs[r.ID] = q
	q.arrived -= g.waited(q.class, r.Left, r.Again)
	if g.late(q) {
		g.refuse(q, second)
		return
	}
	switch {
	case g.beyond(q):
	case g.shared(q.cust):
		g.ask(q)
	case g.thin(q.cust):
		if !g.draw(q, drawUnits) {
			g.guess(q)
		}
	default:
		g.police(q)
	}
}

// beyond refuses a try that the ceiling has no room for by what we know.
func (g *Gateway) beyond(q *request) bool {
	g.refill(q.cust)
	if q.plan.CeilingRate <= 0 || q.cust.guard >= q.units || g.leased(q.plan) {
		return false
	}
	g.let(q) // refuses
	return true
}

// police lets a request on that its customer's bucket has units for.
func (g *Gateway) police(q *request) {
	if ok, wait := g.admit(q); ok {
		g.let(q)
	} else {
		g.refuse(q, wait)
	}
}

func (g *Gateway) enqueue(q *request) {
	if g.pressed() {
		if wait := g.waitOf(q.level); g.now+wait > g.giveUp(q) {
			g.refuse(q, wait)
			return
		}
	}
	g.hold(q)
	g.dispatch()
	if q.held {
		g.do.Timer(tokenGiveUp<<32|uint64(q.id), max(g.giveUp(q)-g.now, 0))
	}
}

// terms are how a thin store, cap or ceiling is drawn on: a name on the counter stands for a
// customer and a window of time. Of a store a window passes a burst; of a cap so many attempts
// that few more are out at once, as long as they last by our measure.
func (g *Gateway) terms(c *customer, kind int) (n, window Micros, pool float64) {
	p := c.plan
	switch {
	case kind == drawLease:
		window = Micros(p.CeilingBurst / p.CeilingRate / leaseParts * 1e6)
		pool = leasePool(p)
	case p.Open > 0:
		window, pool = g.capWindow, max(capFill*float64(p.Open)*float64(g.capWindow)/max(p.holds, 1), 1)
	default:
		window, pool = Micros(drawWindow*p.Burst/p.Rate*1e6), p.Burst
	}
	window = max(window, milli)
	return (g.now + phase(c, window)) / window, window, pool
}

// thin tells that our even part of a customer's store or cap holds less than one of the
// largest requests, and that we see too little of it to know the store between two totals.
func (g *Gateway) thin(c *customer) bool {
	if c.plan.Open > 0 {
		return g.set.Counter && float64(c.plan.Open) < c.spread
	}
	return g.set.Counter && c.plan.Rate > 0 && c.spread > ownGateways &&
		c.plan.Burst < c.spread*max(g.set.Largest, 1)
}

// draw asks the counter for what a request draws, or refuses it at once where that is known
// to be spent; false tells that the counter can't be asked.
func (g *Gateway) draw(q *request, kind int) bool {
	n, window, _ := g.terms(q.cust, kind)
	if n == q.cust.spent[kind] {
		g.refuse(q, window/2)
		return true
	}
	if !g.mayCall(q) {
		return false
	}
	amount := q.units
	if kind == drawUnits && q.plan.Open > 0 {
		amount = 1
	}
	g.await(q)
	name := mix(q.cust.key, uint64(n)|uint64(2+kind)<<62)
	g.draws[name] = append(g.draws[name], drawn{q: q, n: n, kind: kind})
	g.do.Count(name, amount, 2*window)
	return true
}

// guess judges a try that could not draw: by our slice, which holds one request, as most are
// inside their quotas, and who comes again to the same gateway mostly is not. Who was seen to
// spend this window or the last is refused.
func (g *Gateway) guess(q *request) {
	if n, window, _ := g.terms(q.cust, drawUnits); n-q.cust.spent[drawUnits] <= 1 {
		g.refuse(q, window/2)
	} else {
		g.police(q)
	}
}

func (g *Gateway) drew(d drawn, st Status, total float64) {
	q := d.q
	q.drawing = false
	_, window, pool := g.terms(q.cust, d.kind)
	switch {
	case q.done: // the client left meanwhile
	case st != OK && d.kind == drawLease:
		g.refuse(q, unknownWait)
	case st != OK:
		g.guess(q)
	case total > pool*totalSlack:
		q.cust.spent[d.kind] = d.n
		g.refuse(q, window/2)
	case d.kind == drawLease:
		q.leasedAt = g.now
		g.enqueue(q)
	default:
		g.let(q)
	}
}

// waited is how long a client has been at it before this try, where it is marked as a
// repeat and left tells: first tries have the longest left seen, and a repeat less than that
// where the class's deadline cuts it short. It guards against quota and room spent on
// answers that come past the aim anyway. It acts only while most first tries have the
// longest left, so that odd patience of single clients is not misread.
func (g *Gateway) waited(cl *classState, left Micros, again bool) Micros {
	if left > cl.longest {
		cl.longest, cl.full = left, 0.5
	}
	short := left < cl.longest-cl.longest/64
	switch {
	case again && short && cl.full >= fullMarked:
		return max(cl.Deadline-left, 0)
	case again:
	case short:
		cl.full -= cl.full * fullGain
	default:
		cl.full += (1 - cl.full) * fullGain
	}
	return 0
}

// byTurns rounds a part of something shared: in each turn so many of all gateways round
// it up that the parts add up, told by our number, the time and what is shared alone.
// It guards against hundreds of gateways with one send each on servers that bear fewer.
func (g *Gateway) byTurns(part float64, turn Micros, of uint64) float64 {
	at := float64(uint64(g.now/turn)+of>>44)*turnStep + float64(g.set.Self)/float64(max(g.set.Gateways, 1))
	return math.Floor(part + at - math.Floor(at))
}

func (g *Gateway) pressed() bool {
	return float64(g.inFlight-g.stuck-g.filling) >= g.byTurns(g.bound, g.capWindow/2, 0)
}

// waitOf is how long a new request of a level is likely to be held.
func (g *Gateway) waitOf(level int) Micros {
	n := 1
	for i := 0; i <= level; i++ {
		n += len(g.queue[i])
	}
	return Micros(float64(n) / max(g.doneRate, min(g.bound, 1)/g.typical()*1e6, 1) * 1e6)
}

// giveUp is when a held request can no longer meet its aim. The time an answer
// takes counts up to a part of the aim: a class is never shut out by what is
// remembered of it, as it would then never be measured again.
func (g *Gateway) giveUp(q *request) Micros {
	own := min(q.class.lat, ownPart*float64(q.class.Aim))
	last := q.deadline - 2*max(g.set.Tick, milli)
	if !q.sent { // a refusal costs the client less while it has half of its time left
		last = min(last, q.halfway)
		if q.leasedAt > 0 { // its units lapse
			_, window, _ := g.terms(q.cust, drawLease)
			last = min(last, q.leasedAt+(leaseParts-2)*window-g.set.CounterTimeout)
		}
	}
	return min(q.arrived+q.class.Aim-Micros(own), last)
}

// dispatch lets held requests go, highest rank first, while the bound allows.
func (g *Gateway) dispatch() {
	for level := 0; level < len(g.queue) && g.queued > 0; level++ {
		for i := 0; i < len(g.queue[level]); {
			if g.pressed() {
				return
			}
			q := g.queue[level][i]
			// Of a cap, what follows our share is ours, and one place, which draws keep in bounds.
			most := max(1, int(float64(q.plan.Open)*g.currentShare(q.cust)))
			if q.plan.Open > 0 && !q.sent && q.cust.open >= most {
				// places come free sooner elsewhere than here: no use to hold it
				g.refuse(q, Micros(g.typical()))
				continue
			}
			if !g.mayRetry(q) { // its window or its time may have passed while it was held
				g.end(q, g.waitOf(q.level))
				continue
			}
			s := g.pick(q)
			if s == nil {
				i++
				continue
			}
			g.queue[level] = append(g.queue[level][:i], g.queue[level][i+1:]...)
			g.queued--
			q.held = false
			g.send(q, s)
		}
	}
}

// end gives the final answer to a request that goes no further: a refusal only
// where trying again is harmless.
func (g *Gateway) end(q *request, wait Micros) {
	harmless := !q.uncertain || q.class.Repeat == Safe ||
		q.class.Repeat == Keyed && q.class.Group == GroupAll
	if harmless {
		g.refuse(q, wait)
	} else {
		g.fail(q)
	}
}

func (g *Gateway) send(q *request, s *server) {
	left := q.deadline - g.now
	if !q.sent {
		q.sent = true
		if q.admitted {
			q.cust.pending -= q.units
		}
		g.note(q.cust, q.units)
	}
	g.openAttempt(q, s, min(max(q.class.expect(q.units)/g.typical(), loadLeast), loadMost))
	g.sends++
	s.trial = s.ejected
	g.noteSend(s)
	g.do.Send(q.id, s.id, max(left, 1))
}

// Outcome ends an attempt.
func (g *Gateway) Outcome(now Micros, do Host, o Outcome) {
	g.enter(now, do)
	q := g.reqs[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].open {
		return // odd, late or told twice
	}
	a := q.attempts[o.Attempt]
	g.closeAttempt(a)
	q.plan.holds += (float64(now-a.sent) - q.plan.holds) * holdGain
	g.sight(a, o)
	c := q.cust
	if o.Status == OK && o.Settled > 0 && g.set.Settles && !q.done && q.tokensTaken > 0 {
		c.tokens -= o.Settled - q.units
		c.level -= o.Settled - q.units
		g.note(c, o.Settled-q.units)
	}
	ran := o.Status != Full && o.Status != ConnectFailed && o.Status != Moot
	if ran && !q.uncertain {
		q.uncertain, q.ranOn, q.ranAt = true, a.srv, a.sent
	}
	switch {
	case q.done || o.Terminal || o.Status == OK:
		g.finish(q)
	case !o.Spent && g.mayRetry(q) && g.further(q):
		g.hold(q)
		do.Timer(tokenGiveUp<<32|uint64(q.id), max(g.nextLook(q)-now, 0))
	default:
		g.end(q, Micros(g.typical()))
	}
	g.dispatch()
}

// late tells that an answer would come past the aim, and that little worth is left then,
// or that no time is.
func (g *Gateway) late(q *request) bool {
	return g.now >= g.giveUp(q) && q.class.LateWorth < lateLeast ||
		q.deadline-g.now < 4*max(g.set.Tick, milli)
}

// mayRetry guards rule 2: what may have run goes out again only as its class allows. And
// it guards workers against what is too late: it would take the place of what is not.
func (g *Gateway) mayRetry(q *request) bool {
	if len(q.attempts) >= cmp.Or(q.class.Attempts, g.set.MaxAttempts, 1) || g.late(q) {
		return false
	}
	if !q.uncertain || q.class.Repeat == Safe {
		return true
	}
	return q.class.Repeat == Keyed && g.now-q.ranAt < q.class.Window-4*g.set.Tick
}

// ClientGone ends a request whose client has left.
func (g *Gateway) ClientGone(now Micros, do Host, id uint32) {
	g.enter(now, do)
	if q := g.reqs[id]; q != nil && !q.done {
		g.giveBack(q)
		g.unhold(q)
		g.finish(q)
		g.cancelAll(q)
	}
}

// Timer brings back a token.
func (g *Gateway) Timer(now Micros, do Host, token uint64) {
	g.enter(now, do)
	switch token >> 32 {
	case tokenTick:
		g.tickDone()
	case tokenGiveUp:
		q := g.reqs[uint32(token)]
		if q == nil || q.done || !q.held && !q.drawing {
			return
		}
		if g.patient(q) {
			do.Timer(token, max(g.nextLook(q)-now, step))
			return
		}
		g.end(q, g.waitOf(q.level))
	}
}

// SetClasses replaces the table of classes while requests are under way. They keep
// the terms they came with, and held ones the place that those give them. A class
// with the same times in its place keeps what was learned of it.
func (g *Gateway) SetClasses(now Micros, do Host, classes []Class) {
	g.enter(now, do)
	old, held := g.classes, g.queue
	g.classes = nil
	for i, c := range classes {
		st := classState{Class: c, lat: float64(c.Aim) / 4}
		if i < len(old) && old[i].Aim == c.Aim && old[i].Deadline == c.Deadline {
			st, st.Class = old[i], c
		}
		g.classes = append(g.classes, st)
	}
	g.rankLevels()
	for _, q := range g.reqs { // those too that are out or wait for the counter: they may be held yet
		for i := range min(len(old), len(g.classes)) {
			if q.class == &old[i] && old[i].Class == g.classes[i].Class {
				q.class = &g.classes[i]
				break
			}
		}
		q.level = g.levelOf(q)
	}
	for _, level := range held {
		for _, q := range level {
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

func (g *Gateway) hold(q *request) {
	q.held, q.heldAt = true, g.now
	g.queued++
	at := len(g.queue[q.level])
	if q.sent { // what was sent before goes first in its rank
		at = 0
	}
	g.queue[q.level] = slices.Insert(g.queue[q.level], at, q)
}

// ---- the bound ----

func (g *Gateway) judge(a *attempt, o Outcome) {
	s, cl := a.srv, a.req.class
	lat := float64(o.Latency)
	trial := s.trial
	s.trial = false
	g.report(s, cl, o.Load)
	if o.Status == OK || o.Status == Full || o.Status == Failed {
		s.answered, g.answered, s.lost = g.now, g.now, false // the end of our own patience is no answer
	}
	switch o.Status {
	case OK:
		g.dones++
		s.fails, s.ejected, s.trial, s.ejectedFor = 0, false, false, 0
		gain := max(0.02, 1/float64(cl.n+2))
		cl.n++
		r := lat / max(cl.expect(a.req.units), 1)
		cl.units += (a.req.units - cl.units) * gain
		cl.lat += (lat - cl.lat) * gain
		s.rel = g.relOf(s) + (min(r, relWorst)-g.relOf(s))*g.gainOf(s)
		s.relAt = g.now
		weight := min(max(float64(g.now-g.idleAt)/1e6, stretchGain), stretchMost)
		g.stretch += (min(lat/float64(max(cl.Aim, 1)), 3) - g.stretch) * weight
		if g.answers++; g.answers == stretchSettles || g.stretch < g.idle {
			g.idle = g.stretch
		}
		g.idle += (g.stretch - g.idle) * min(float64(g.now-g.idleAt)/float64(idleForget), 1)
		g.idleAt = g.now
		if t := g.boundTerms(); g.stretch <= t.Within && g.stretch <= t.Knee*max(g.idle, g.unsettled()) {
			if float64(g.inFlight+1) >= g.bound/2 {
				g.bound = min(g.bound+min(growStep/g.bound, growMost*g.bound), g.perServer(mostPerServer))
			}
		} else if g.stretch > t.Past || g.stretch > t.KneeCut*g.idle && g.aboveStart() {
			g.cut(cl.Aim / 2)
		}
	case Full:
		s.fullUntil = g.now + fullPause
		g.cut(cl.Aim / 4)
	case Timeout, ConnectFailed, Reset, Failed:
		s.fails++
		if s.fails > 1 || o.Status == Timeout || o.Status == Failed { // a single break is chance
			s.rel = min(max(g.relOf(s), 1)*relFail, relWorst)
			s.relAt = g.now
		}
		gone := o.Status == ConnectFailed && (s.fails > 1 || o.Latency > connectSlow)
		if s.fails >= failsToEject || gone || trial {
			g.eject(s)
		}
	}
}

func (g *Gateway) cut(pause Micros) {
	if g.now-g.cutAt < pause {
		return
	}
	g.cutAt = g.now
	g.bound = max(g.bound*cutFactor, g.perServer(leastPerServer))
}

// perServer is a number for each server, as our part of the fleet.
func (g *Gateway) perServer(n float64) float64 {
	return n * float64(max(g.listed, 1)) / float64(max(g.set.Gateways, 1))
}

// ---- servers ----

// expect is the latency to expect of a request: units tell of its work, and half
// of the class's average goes by them.
func (cl *classState) expect(units float64) float64 {
	return cl.lat * (1 + units/max(cl.units, 1e-6)) / 2
}

func (g *Gateway) relOf(s *server) float64 {
	if s.rel <= 1 {
		return s.rel
	}
	return 1 + (s.rel-1)*math.Exp2(-float64(g.now-s.relAt)/float64(relForget))
}

// watch looks for a server that has gone silent while others answer. It is shut off,
// and what it holds no longer counts against the bound. Where a trial finds it still
// silent, that request goes elsewhere; at first a heavy request looks the same, and
// sending such ones twice would cost more. It guards against a part of the servers
// being cut off: each request sent there waits, and takes a place, until its client
// gives up.
func (g *Gateway) watch() {
	g.stuck = 0
	for _, s := range g.servers {
		most := max(lostFactor*g.typical()*g.relOf(s), lostLeast*float64(g.capWindow))
		if g.silence(s) < most || float64(g.now-g.answered) > most {
			continue
		}
		g.stuck += s.open
		if s.ejected && g.now < s.retryAt {
			continue
		}
		for a := s.head; a != nil && g.set.Cancel && s.lost; a = a.next { // it was a trial
			if q := a.req; !q.done && g.mayRetry(q) && g.again(q) {
				g.do.Cancel(q.id, a.n)
			}
		}
		g.eject(s)
		s.lost = true
	}
}

// eject shuts a server off, longer each time; but where all are shut off the trouble is
// not this one's, and to find them back must not take long.
func (g *Gateway) eject(s *server) {
	if s.ejected && g.now < s.retryAt {
		return
	}
	s.ejectedFor = min(max(2*s.ejectedFor, ejectFirst), ejectMost)
	if !slices.ContainsFunc(g.servers, func(o *server) bool { return o != s && o.takes() && !o.ejected }) {
		s.ejectedFor = ejectFirst
	}
	s.ejected, s.trial = true, false
	s.retryAt = g.now + s.ejectedFor
}

// coldRoom guards rule 4: our sends to a cold server in any window stay under our
// part of its budget, judged by what warm servers bear. Where none is warm what they bore
// before counts, and at the least that each does one request at a time: else a fleet that
// is all cold would get nothing, and so would never be seen to bear anything.
func (g *Gateway) coldRoom(s *server) bool {
	for len(s.coldSends) > 0 && g.now-s.coldSends[0] > g.set.FallWindow {
		s.coldSends = s.coldSends[1:]
	}
	bears := max(g.warmLoad, 1e6/g.typical()/float64(max(g.set.Gateways, 1)))
	allow := coldSafety * g.set.FallMultiple * g.warmth(s) * bears * float64(g.set.FallWindow) / 1e6
	return float64(len(s.coldSends)) < g.byTurns(allow, max(g.set.FallWindow, step), mix(uint64(s.id), 0))
}

// subset is how many servers of our own order we use.
func (g *Gateway) subset() int {
	least, every := g.subsetTerms()
	return max(min(max(least, int(g.sendRate*every)), len(g.servers)), 1)
}

// pick chooses the server with the least expected wait among those allowed. The more
// gateways there are, the less of a server's load do we see, and the more is left to chance:
// else each would have its favourites, and some servers the favour of many.
func (g *Gateway) pick(q *request) *server {
	var best *server
	bestCost := math.Inf(1)
	k := g.subset()
	for n := 0; n < len(g.servers) && k > 0; n++ {
		s := g.servers[n]
		if !s.takes() || g.now < s.fullUntil || g.barred(q, s) {
			continue
		}
		if s.ejected && g.now < g.triedFrom(q, s) {
			continue
		}
		if q.uncertain && q.class.Repeat == Keyed && !sameGroup(q.class.Group, q.ranOn, s) {
			continue
		}
		cost := g.cost(s)
		if g.cold(s) {
			if !g.coldRoom(s) {
				continue
			}
			cost /= g.warmth(s)
		}
		k--
		if s.trial { // one that has not proved itself is the last choice
			cost *= trialCost
		}
		for i := range q.attempts {
			if q.attempts[i].srv == s {
				cost *= 4
			}
		}
		cost *= g.luck(s)
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (g *Gateway) cost(s *server) float64 {
	return g.relOf(s) * (s.load + 1) * g.dear(s)
}

// dear is what the list says of a server's cost: its size and its zone.
func (g *Gateway) dear(s *server) float64 {
	dear := cmp.Or(s.e.Dear, 1)
	if g.set.Weights && s.e.Weight > 0 {
		dear /= s.e.Weight
	}
	if s.e.Zone != g.set.Zone {
		dear *= 1 + zoneFactor*g.set.CrossZonePrice
	}
	return dear
}

// Servers brings the server list or changes to it.
func (g *Gateway) Servers(now Micros, do Host, kind ListKind, entries []Entry) {
	g.enter(now, do)
	if kind != ListFailed {
		g.mergeList(kind, entries)
	}
	g.listed = 0
	for _, s := range g.servers { // rendezvous hashing: each gateway has an order of its own
		if s.listed { // what is out at one that is gone makes the fleet no larger
			g.listed++
		}
		h := mix(uint64(s.id), uint64(g.set.Self)+1)
		s.place = -math.Log(float64(h>>11+1)/(1<<53)) * g.dear(s)
	}
	g.ring()
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.place, b.place) })
	if !g.boundSet && len(g.servers) > 0 {
		g.boundSet, g.bound = true, g.perServer(startPerServer)
	}
	g.bound = max(g.bound, g.perServer(leastPerServer)) // of a fleet that has grown
	g.dispatch()
}

// mergeList brings the list up to date and drops what is neither listed nor in use. A
// server that has started anew, or was gone, is met anew: what is out stays with its old
// life, whose late answers and breaks say nothing of the new one. Only what counts against
// a cold start's budget is taken over.
func (g *Gateway) mergeList(kind ListKind, entries []Entry) {
	if kind != Delta {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, e := range entries {
		s := g.byID[e.Server]
		if s == nil || e.State != Gone && (e.ReadyAt != s.e.ReadyAt || s.e.State == Gone) {
			fresh := &server{id: e.Server, rel: 1}
			if s != nil {
				s.listed, fresh.coldSends = false, s.coldSends
			}
			s = fresh
			g.byID[e.Server] = s
			g.servers = append(g.servers, s)
		}
		s.e, s.listed = e, e.State != Gone
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		unused := !s.listed && s.open == 0 && !g.minded(s)
		if unused && g.byID[s.id] == s {
			delete(g.byID, s.id)
		}
		return unused
	})
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

func sameGroup(gr Group, a, b *server) bool {
	switch gr {
	case GroupZone:
		return a.e.Zone == b.e.Zone
	case GroupCell:
		return a.e.Zone == b.e.Zone && a.e.Cell == b.e.Cell
	}
	return true
}

// ---- housekeeping ----

func (g *Gateway) tick() {
	at := g.now / step
	for g.wheelAt < at {
		g.wheelAt++
		g.turn(int(g.wheelAt % int64(len(g.wheel))))
	}
	if dt := g.now - g.lastRate; dt >= second/4 {
		secs := float64(dt) / 1e6
		g.doneRate += (float64(g.dones)/secs - g.doneRate) * 0.3
		g.sendRate += (float64(g.sends)/secs - g.sendRate) * 0.2
		g.dones, g.sends, g.lastRate = 0, 0, g.now
		g.warmLoad = max(g.doneRate/float64(g.subset()), g.warmLoad*math.Exp2(-secs/warmForget))
	}
	g.watch()
	g.hasten()
	g.dispatch()
}
