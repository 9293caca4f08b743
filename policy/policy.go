package policy

// The decisions of one gateway; types.go has its settings, events and actions. Each customer has a token
// bucket over the gateway's share of the quota, which follows demand. Admitted requests wait for the limit on
// attempts in flight, in a strict priority queue ordered by class value times plan price.

import (
	"cmp"
	"math"
	"slices"
)

const (
	second = Micros(1e6)
	milli  = Micros(1e3)

	// Quotas.
	sharePeriod       = second      // period over which our share of a customer's use is measured
	shareGain         = 0.3         // weight of the newest period in the share
	shareStalePeriods = 4           // periods without a counter total after which a share is the even part
	minCustomerIdle   = 20 * second // idle time before which a customer's record is kept in any case

	// The shared bucket, kept on the counter.
	counterWindow   = 10 * second // span of a counter name, which stands for one customer and one window
	minUnaskedFill  = 0.2         // fraction of the burst that must remain to admit without a call
	reportFraction  = 0.4         // fraction of our even part of a bucket that is used before it is reported
	minAskInterval  = second / 10 // least time between two calls for an empty bucket
	othersSmoothing = 1.0         // seconds over which the other gateways' use rate is smoothed
	maxDebt         = 0.25        // largest estimated debt of a bucket, in units of the largest request

	// Calls to the counter.
	callCutFactor      = 0.9        // factor on the fraction of calls made, at each failed call
	callGrowth         = 0.3        // added to that fraction per second,
	maxCallGrowth      = 0.01       // but at most this per answer, so that about one call in ten fails,
	counterOutage      = 3 * second // unless no answer has come for this long
	counterDownWait    = second / 4 // advised to clients where the counter could not be asked
	attemptTimeGain    = 0.05       // weight of the newest attempt in a plan's mean attempt time
	minCallFraction    = 0.2        // fraction of calls that are still made to a failed counter
	capTargetFill      = 0.7        // mean fraction of a concurrency cap in flight when a window is used up
	totalTolerance     = 1.001      // totals come with seven digits
	drawWindowFraction = 0.8        // fraction of the burst's fill time; a window passes one burst
	unleasedFraction   = 0.5        // fraction of our even part of a small ceiling that needs no lease
	leaseWindows       = 3          // lease windows in the time in which a ceiling's bucket fills

	// The limit on attempts in flight.
	startLimitPerServer = 5.0         // initial limit for each server, all gateways together
	maxLimitPerServer   = 24.0        // the limit does not rise above this
	minLimitPerServer   = 3.0         // for all gateways; the limit is not cut below our part of it
	growBelow           = 0.25        // of the latency target: faster answers let the limit rise
	growStep            = 2.0         // divided by the limit is what a fast answer adds to it
	maxGrowth           = 0.05        // largest fraction of the limit that one answer adds
	cutAbove            = 0.4         // of the latency target: slower answers on average cut the limit
	minRatioWeight      = 0.03        // least weight of the newest answer in the latency ratio
	maxRatioWeight      = 0.1         // its weight after 0.1 s or more, so that infrequent answers count
	maxServiceFraction  = 0.4         // of the latency target, at most, is reserved for the answer itself
	minRatioSamples     = 50          // answers before the least latency ratio counts
	ratioDrift          = 60 * second // time in which the least ratio drifts to the current one
	growKnee            = 1.3         // times the least latency ratio seen: the limit stops rising
	cutKnee             = 1.8         // times the least latency ratio seen: the limit is cut
	cutFactor           = 0.7         // factor on the limit at a cut
	turnDistance        = 0.618       // distance between successive turns, as a fraction of the gateways

	// Retries.
	fullTimeGain     = 0.02 // weight of the newest try in the share that has the full client time
	minFullTimeShare = 0.8  // least such share for a shorter time to mark a late retry
	minLateValue     = 0.5  // least value past the latency target for a late retry to be admitted

	// Servers.
	slownessGain       = 0.05        // weight of the newest answer in a server's slowness
	failureSlowdown    = 2.0         // factor on the slowness at a failure
	maxSlowness        = 20.0        // upper bound of a slowness, in expected latencies
	tieBreakNoise      = 0.05        // random noise that breaks ties of cost
	minSubset          = 6           // least number of servers used, the first in our own order
	subsetSeconds      = 1.0         // or as many as get one request of ours in this many seconds each
	fewGateways        = 4.0         // up to this many see a server's load in their own attempts
	defaultExponent    = 0.5         // exponent of the random factor in the choice with very many gateways
	slownessHalfLife   = 6 * second  // half-life of the slowness of an unused server
	minWork            = 0.25        // least weight of an attempt in a server's load; 1 is the average
	maxWork            = 4.0         // greatest weight
	silenceFactor      = 4.0         // expected latencies of silence that eject a server,
	minSilenceTargets  = 1.5         // and at least this many halves of the shortest latency target
	failsToEject       = 3           // failures in a row
	slowConnect        = 100 * milli // a connection that fails later than this was not refused
	minEjection        = second / 2  // first ejection of a server; each further one is twice as long
	maxEjection        = 8 * second  // longest ejection
	probeCostFactor    = 100.0       // factor on the cost of a server that is being probed
	fullPause          = 50 * milli  // without requests for a server after a refusal as full
	coldBudgetFraction = 0.5         // of our part of a cold server's budget is used
	warmRateHalfLife   = 30.0        // half-life of the measured rate of warm servers, in seconds
	crossZoneFactor    = 10          // cost factor of a server in another zone, times the crossing price

	tickInterval = 10 * milli // interval of the housekeeping tick
)

// Kinds of timer token, and of what is drawn from the counter.
const (
	tokenTick = iota
	tokenGiveUp

	drawUnits = 0 // units of a bucket, or places of a concurrency cap
	drawLease = 1 // units of a ceiling
)

// New returns a gateway with the given settings. The seed starts its random choices.
func New(settings Settings, seed uint64) *Gateway {
	g := &Gateway{settings: settings, rng: seed | 1, requests: map[uint32]*request{},
		customers: map[uint64]*customer{}, pendingCalls: map[uint64][]counterCall{}, callFraction: 1,
		byID: map[Server]*server{}}
	g.wheel = make([][]*customer, sharePeriod/tickInterval)
	for _, class := range settings.Classes {
		g.classes = append(g.classes, classState{Class: class, latency: float64(class.LatencyTarget) / 4})
	}
	g.capWindow = second
	for _, class := range settings.Classes {
		g.capWindow = min(g.capWindow, class.LatencyTarget/2)
	}
	g.capWindow = max(g.capWindow, milli)
	for i, plan := range settings.Plans {
		g.plans = append(g.plans, planState{Plan: plan, index: i, attemptTime: float64(g.capWindow)})
	}
	g.rankLevels()
	return g
}

// rankLevels gives each pair of class and plan its level in the strict order.
func (g *Gateway) rankLevels() {
	rank := func(i, j int) float64 { return -g.classes[i].Value * g.plans[j].Price }
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

// Start starts the gateway's clock and its housekeeping tick.
func (g *Gateway) Start(now Micros, host Host) {
	g.beginEvent(now, host)
	g.startedAt, g.ratesAt, g.wheelAt = now, now, now/tickInterval
	g.armTick(g.tickDelay())
}

// currentShare is our share of a customer's quota: by the last counter totals or, if they are stale, even.
func (g *Gateway) currentShare(cust *customer) float64 {
	if g.now-cust.shareAt > shareStalePeriods*sharePeriod {
		return 1 / cust.gateways
	}
	return cust.share
}

// bucketCapacity is the most that our bucket of a customer holds.
func (g *Gateway) bucketCapacity(cust *customer) float64 {
	return max(cust.plan.Burst*g.currentShare(cust), 1)
}

// refillRate is the plan's rate or, for a concurrency cap drawn from the counter, the rate that fills it.
func (g *Gateway) refillRate(cust *customer) float64 {
	if plan := cust.plan; plan.Rate <= 0 && g.needsDraw(cust) {
		return capTargetFill * float64(plan.MaxInFlight) / max(plan.attemptTime, 1) * 1e6
	}
	return cust.plan.Rate
}

// admit takes a request's units from its customer's bucket, or returns how long the client should wait.
func (g *Gateway) admit(req *request) (bool, Micros) {
	cust := req.customer
	g.refill(cust)
	if rate := g.refillRate(cust); rate > 0 {
		// A request larger than our part of the bucket passes a full one.
		if need := min(req.units, g.bucketCapacity(cust)); cust.tokens < need {
			return false, waitFor(need-cust.tokens, rate*g.currentShare(cust))
		}
		g.takeUnits(req)
	}
	return true, 0
}

// takeUnits takes a request's units from our bucket and from the estimate of the shared one.
func (g *Gateway) takeUnits(req *request) {
	req.customer.tokens -= req.units
	req.customer.sharedTokens -= req.units
	req.tokensTaken = req.units
}

// handleShared handles the answer to a call for a shared bucket.
func (g *Gateway) handleShared(call counterCall, status Status, total float64) {
	cust, req := call.customer, call.request
	g.advanceShared(cust)
	switch {
	case status == Full || status == ConnectFailed: // nothing was added
		cust.unreported += call.units
	case call.window == cust.window: // what may have been added counts as added
		cust.ownInWindow += call.units + call.booked
		cust.unreported -= call.booked // until it is sent
		if status == OK {
			g.applyTotal(cust, total)
		}
	}
	if req == nil {
		return
	}
	req.awaitsCounter = false
	switch {
	case req.done: // the client has left
	case g.refuseOverCeiling(req):
	case status != OK:
		g.checkBucket(req)
	case cust.sharedTokens >= req.units:
		g.admitShared(req)
	default:
		g.refuse(req, waitFor(req.units-cust.sharedTokens, req.plan.Rate))
		if call.booked > 0 {
			g.callCounter(cust, nil) // returns the booked units
		}
	}
}

// admitShared admits a request that the shared bucket has the units for.
func (g *Gateway) admitShared(req *request) {
	g.takeUnits(req)
	g.passCeiling(req)
}

// passCeiling queues a request within its quota if the ceiling has the units too: our own part, or a lease.
func (g *Gateway) passCeiling(req *request) {
	switch rate, _ := g.ownCeiling(req.customer); {
	case rate <= 0 || req.customer.ceilingTokens >= req.units:
		g.reserveUnits(req)
		g.enqueue(req)
	case !g.ceilingLeased(req.plan) || !g.draw(req, drawLease):
		g.refuse(req, waitFor(req.units-req.customer.ceilingTokens, rate))
	}
}

// ceilingLeased reports whether the even parts of a ceiling hold less than one of the largest requests, so
// that a part of it is leased from the counter. Over any time span, what the windows that touch it pass, with
// each lease held for one more window, stays within the ceiling's burst and refill, however often gateways
// restart and whatever each of them knows (docs/design/ceilings.md).
func (g *Gateway) ceilingLeased(plan *planState) bool {
	return g.settings.HasCounter && plan.CeilingRate > 0 && leasePool(plan) >= g.settings.MaxUnits &&
		plan.CeilingBurst < float64(g.settings.GatewayCount)*g.settings.MaxUnits
}

// leasePool is the number of units that one window leases of a ceiling.
func leasePool(plan *planState) float64 {
	return (1 - unleasedFraction) * plan.CeilingBurst / leaseWindows
}

// ownCeiling is the part of a customer's ceiling that we may use without a lease.
func (g *Gateway) ownCeiling(cust *customer) (rate, burst float64) {
	part := 1 / cust.gateways
	if g.ceilingLeased(cust.plan) {
		part *= unleasedFraction
	}
	return cust.plan.CeilingRate * part, cust.plan.CeilingBurst * part
}

// reportUse runs once a second for each customer and reports use that the counter does not have yet.
func (g *Gateway) reportUse(cust *customer) {
	threshold := max(reportFraction/4*cust.plan.Burst/cust.gateways, maxDebt*g.settings.MaxUnits)
	if math.Abs(cust.unreported) > threshold && g.random() < g.callFraction {
		g.callCounter(cust, nil)
	}
}

// checkShared decides on a try by the estimate of the shared bucket where that is clearly enough or too
// little, otherwise by a counter call that the try waits for.
func (g *Gateway) checkShared(req *request) {
	cust, plan := req.customer, req.plan
	g.advanceShared(cust)
	age := float64(g.now-cust.totalAt) / 1e6
	switch {
	case cust.totalAt == 0:
	case cust.sharedTokens < req.units &&
		(g.now-cust.totalAt < minAskInterval || cust.sharedTokens+cust.othersRate*age < req.units):
		g.refuse(req, waitFor(req.units-cust.sharedTokens, plan.Rate))
		return
	case cust.sharedTokens-req.units >= minUnaskedFill*plan.Burst+plan.Rate*age: // others may have used it
		g.admitShared(req)
		return
	}
	if !g.mayAwaitCounter(req) {
		g.checkBucket(req)
		return
	}
	g.awaitCounter(req)
	g.callCounter(cust, req)
}

// mayAwaitCounter reports whether a request may wait for the counter: its client must not leave before.
func (g *Gateway) mayAwaitCounter(req *request) bool {
	return g.random() < g.callFraction &&
		req.deadline-g.now >= g.settings.CounterTimeout+4*max(g.settings.ClockTick, milli)
}

// CounterResult handles the answer to a counter call.
func (g *Gateway) CounterResult(now Micros, host Host, name uint64, _ Micros, status Status, total float64) {
	g.beginEvent(now, host)
	if growth := callGrowth * float64(now-g.lastCounterAnswer) / 1e6; status == OK {
		if now-g.lastCounterAnswer < counterOutage { // the counter was not silent
			growth = min(growth, maxCallGrowth)
		}
		g.callFraction, g.lastCounterAnswer = min(g.callFraction+growth, 1), now
	} else if status != Reset { // a broken connection does not mean overload
		g.callFraction = max(g.callFraction*callCutFactor, minCallFraction)
	}
	calls := g.pendingCalls[name]
	if len(calls) == 0 {
		return
	}
	if g.pendingCalls[name] = calls[1:]; len(calls) == 1 {
		delete(g.pendingCalls, name)
	}
	if call := calls[0]; call.customer != nil {
		g.handleShared(call, status, total)
	} else {
		g.handleDraw(call, status, total)
	}
}

// Request handles a client's try.
func (g *Gateway) Request(now Micros, host Host, try Request) {
	g.beginEvent(now, host)
	if g.requests[try.ID] != nil {
		return
	}
	g.armBusyTick()
	if try.Class < 0 || try.Class >= len(g.classes) || try.Plan < 0 || try.Plan >= len(g.plans) {
		host.Refuse(try.ID, 0)
		return
	}
	req := &request{id: try.ID, class: &g.classes[try.Class], plan: &g.plans[try.Plan],
		customer: g.customerFor(try), units: try.Units, bodyPending: try.BodyPending,
		level: g.levels[try.Class][try.Plan], arrived: now, deadline: now + try.TimeLeft,
		unsentDeadline: g.unsentDeadline(try), regions: try.Regions, arrivalClass: try.Class}
	g.requests[try.ID] = req
	req.arrived -= g.priorWait(req.class, try.TimeLeft, try.IsRetry)
	if g.tooLate(req) {
		g.refuse(req, second)
		return
	}
	switch {
	case g.refuseOverCeiling(req):
	case g.usesSharedBucket(req.customer):
		g.checkShared(req)
	case g.needsDraw(req.customer):
		if !g.draw(req, drawUnits) {
			g.decideWithoutDraw(req)
		}
	default:
		g.checkBucket(req)
	}
}

// refuseOverCeiling refuses a try that the ceiling is known to have no units for.
func (g *Gateway) refuseOverCeiling(req *request) bool {
	g.refill(req.customer)
	if req.plan.CeilingRate <= 0 || req.customer.ceilingTokens >= req.units || g.ceilingLeased(req.plan) {
		return false
	}
	g.passCeiling(req) // refuses
	return true
}

// checkBucket admits a request that its customer's own bucket has units for.
func (g *Gateway) checkBucket(req *request) {
	if ok, wait := g.admit(req); ok {
		g.passCeiling(req)
	} else {
		g.refuse(req, wait)
	}
}

func (g *Gateway) enqueue(req *request) {
	if g.atLimit() {
		if wait := g.expectedWait(req.level); g.now+wait > g.holdDeadline(req) {
			g.refuse(req, wait)
			return
		}
	}
	g.enqueueHeld(req)
	g.dispatch()
	if req.held {
		g.host.Timer(tokenGiveUp<<32|uint64(req.id), max(g.holdDeadline(req)-g.now, 0))
	}
}

// drawTerms returns how a small bucket, cap or ceiling is drawn: the number and length of the counter window,
// and how much it passes. A window of a bucket passes a burst; one of a concurrency cap passes as many
// attempts, by their measured time, as keep few more than the cap in flight.
func (g *Gateway) drawTerms(cust *customer, kind int) (number, window Micros, pool float64) {
	plan := cust.plan
	switch {
	case kind == drawLease:
		window = Micros(plan.CeilingBurst / plan.CeilingRate / leaseWindows * 1e6)
		pool = leasePool(plan)
	case plan.MaxInFlight > 0:
		window = g.capWindow
		pool = max(capTargetFill*float64(plan.MaxInFlight)*float64(g.capWindow)/max(plan.attemptTime, 1), 1)
	default:
		window, pool = Micros(drawWindowFraction*plan.Burst/plan.Rate*1e6), plan.Burst
	}
	window = max(window, milli)
	return (g.now + windowPhase(cust, window)) / window, window, pool
}

// needsDraw reports whether our even part of a customer's bucket or cap holds less than one of the largest
// requests, and we see too little of its traffic to know the shared state between two totals.
func (g *Gateway) needsDraw(cust *customer) bool {
	if cust.plan.MaxInFlight > 0 {
		return g.settings.HasCounter && float64(cust.plan.MaxInFlight) < cust.gateways
	}
	return g.settings.HasCounter && cust.plan.Rate > 0 && cust.gateways > fewGateways &&
		cust.plan.Burst < cust.gateways*max(g.settings.MaxUnits, 1)
}

// draw asks the counter for a request's units, or refuses it at once if the window is known to be spent. It
// returns false if the counter cannot be asked.
func (g *Gateway) draw(req *request, kind int) bool {
	number, window, _ := g.drawTerms(req.customer, kind)
	if number == req.customer.spentWindow[kind] {
		g.refuse(req, window/2)
		return true
	}
	if !g.mayAwaitCounter(req) {
		return false
	}
	amount := req.units
	if kind == drawUnits && req.plan.MaxInFlight > 0 {
		amount = 1
	}
	g.awaitCounter(req)
	name := hash(req.customer.key, uint64(number)|uint64(2+kind)<<62)
	g.pendingCalls[name] = append(g.pendingCalls[name], counterCall{request: req, window: number, kind: kind})
	g.host.Count(name, amount, 2*window)
	return true
}

// decideWithoutDraw decides on a try that could not draw by our own bucket, which holds one request: most
// customers stay within their quotas, and one that returns to the same gateway mostly does not. A customer
// that was seen to spend this window or the last one is refused.
func (g *Gateway) decideWithoutDraw(req *request) {
	number, window, _ := g.drawTerms(req.customer, drawUnits)
	if number-req.customer.spentWindow[drawUnits] <= 1 {
		g.refuse(req, window/2)
	} else {
		g.checkBucket(req)
	}
}

// handleDraw handles the answer to a draw.
func (g *Gateway) handleDraw(call counterCall, status Status, total float64) {
	req := call.request
	req.awaitsCounter = false
	_, window, pool := g.drawTerms(req.customer, call.kind)
	switch {
	case req.done: // the client has left
	case status != OK && call.kind == drawLease:
		g.refuse(req, counterDownWait)
	case status != OK:
		g.decideWithoutDraw(req)
	case total > pool*totalTolerance:
		req.customer.spentWindow[call.kind] = call.window
		g.refuse(req, window/2)
	case call.kind == drawLease:
		req.leasedAt = g.now
		g.enqueue(req)
	default:
		g.passCeiling(req)
	}
}

// priorWait estimates how long a client has been trying before a marked retry: a first try has the longest
// time left that was seen, a retry less because the class's deadline cuts it. This avoids quota and capacity
// spent on answers past the latency target. It applies only while most first tries have the full time, so
// that short client time-outs are not misread.
func (g *Gateway) priorWait(class *classState, timeLeft Micros, isRetry bool) Micros {
	if timeLeft > class.maxTimeLeft {
		class.maxTimeLeft, class.fullTimeShare = timeLeft, 0.5
	}
	isShort := timeLeft < class.maxTimeLeft-class.maxTimeLeft/64
	switch {
	case isRetry && isShort && class.fullTimeShare >= minFullTimeShare:
		return max(class.Deadline-timeLeft, 0)
	case isRetry:
	case isShort:
		class.fullTimeShare -= class.fullTimeShare * fullTimeGain
	default:
		class.fullTimeShare += (1 - class.fullTimeShare) * fullTimeGain
	}
	return 0
}

// roundInTurns rounds our part of a shared amount. In each turn, by index, time and a common salt, as many
// gateways round up as make the sum right; otherwise hundreds with one send each would overload servers.
func (g *Gateway) roundInTurns(amount float64, turn Micros, salt uint64) float64 {
	offset := float64(uint64(g.now/turn)+salt>>44)*turnDistance +
		float64(g.settings.Index)/float64(max(g.settings.GatewayCount, 1))
	return math.Floor(amount + offset - math.Floor(offset))
}

func (g *Gateway) atLimit() bool {
	counted := g.inFlight - g.inFlightSilent - g.inFlightBodies
	return float64(counted) >= g.roundInTurns(g.inFlightLimit, g.capWindow/2, 0)
}

// expectedWait is how long a new request of a level is likely to be held.
func (g *Gateway) expectedWait(level int) Micros {
	ahead := 1
	for i := 0; i <= level; i++ {
		ahead += len(g.queue[i])
	}
	return Micros(float64(ahead) / max(g.answerRate, min(g.inFlightLimit, 1)/g.meanLatency()*1e6, 1) * 1e6)
}

// holdDeadline is when a held request can no longer meet its latency target. The answer time counts up to a
// fraction of it: else a class with a high remembered latency would never be admitted and measured again.
func (g *Gateway) holdDeadline(req *request) Micros {
	service := min(req.class.latency, maxServiceFraction*float64(req.class.LatencyTarget))
	latest := req.deadline - 2*max(g.settings.ClockTick, milli)
	if !req.sent { // a refusal costs the client less with half its time left
		latest = min(latest, req.unsentDeadline)
		if req.leasedAt > 0 { // the lease lapses
			_, window, _ := g.drawTerms(req.customer, drawLease)
			latest = min(latest, req.leasedAt+(leaseWindows-2)*window-g.settings.CounterTimeout)
		}
	}
	return min(req.arrived+req.class.LatencyTarget-Micros(service), latest)
}

// dispatch sends held requests, highest rank first, while the limit on attempts in flight allows.
func (g *Gateway) dispatch() {
	for level := 0; level < len(g.queue) && g.queued > 0; level++ {
		for i := 0; i < len(g.queue[level]); {
			if g.atLimit() {
				return
			}
			req := g.queue[level][i]
			// Our share of a cap is ours to use, and at least one place, which draws keep within bounds.
			capPart := max(1, int(float64(req.plan.MaxInFlight)*g.currentShare(req.customer)))
			if req.plan.MaxInFlight > 0 && !req.sent && req.customer.inFlight >= capPart {
				// places come free sooner at other gateways, so holding it does not help
				g.refuse(req, Micros(g.meanLatency()))
				continue
			}
			if !g.mayRetry(req) { // its retry window or its time may have passed while it was held
				g.endRequest(req, g.expectedWait(req.level))
				continue
			}
			srv := g.pickServer(req)
			if srv == nil {
				i++
				continue
			}
			g.queue[level] = append(g.queue[level][:i], g.queue[level][i+1:]...)
			g.queued--
			req.held = false
			g.send(req, srv)
		}
	}
}

// endRequest gives the final answer to a request: a refusal only where a retry is harmless.
func (g *Gateway) endRequest(req *request, wait Micros) {
	harmless := !req.mayHaveRun || req.class.Repeat == RepeatSafe ||
		req.class.Repeat == RepeatKeyed && req.class.Dedup == DedupFleet
	if harmless {
		g.refuse(req, wait)
	} else {
		g.fail(req)
	}
}

func (g *Gateway) send(req *request, srv *server) {
	timeLeft := req.deadline - g.now
	if !req.sent {
		req.sent = true
		if req.admitted {
			req.customer.pending -= req.units
		}
		g.recordUse(req.customer, req.units)
	}
	g.openAttempt(req, srv, min(max(req.class.expectedLatency(req.units)/g.meanLatency(), minWork), maxWork))
	g.sends++
	srv.probing = srv.ejected
	g.recordSend(srv)
	g.host.Send(req.id, srv.id, max(timeLeft, 1))
}

// Outcome ends an attempt.
func (g *Gateway) Outcome(now Micros, host Host, outcome Outcome) {
	g.beginEvent(now, host)
	req := g.requests[outcome.ID]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.attempts) ||
		!req.attempts[outcome.Attempt].open {
		return // unknown, late or reported twice
	}
	att := req.attempts[outcome.Attempt]
	g.closeAttempt(att)
	req.plan.attemptTime += (float64(now-att.sent) - req.plan.attemptTime) * attemptTimeGain
	g.observe(att, outcome)
	cust := req.customer
	if outcome.Status == OK && outcome.ActualUnits > 0 && g.settings.SettlesUnits &&
		!req.done && req.tokensTaken > 0 {
		cust.tokens -= outcome.ActualUnits - req.units
		cust.sharedTokens -= outcome.ActualUnits - req.units
		g.recordUse(cust, outcome.ActualUnits-req.units)
	}
	mayHaveRun := outcome.Status != Full && outcome.Status != ConnectFailed && outcome.Status != NotSent
	if mayHaveRun && !req.mayHaveRun {
		req.mayHaveRun, req.ranOn, req.ranAt = true, att.server, att.sent
	}
	switch {
	case req.done || outcome.Terminal || outcome.Status == OK:
		g.finish(req)
	case !outcome.BodyConsumed && g.mayRetry(req) && g.mayAttemptAgain(req):
		g.enqueueHeld(req)
		host.Timer(tokenGiveUp<<32|uint64(req.id), max(g.nextCheck(req)-now, 0))
	default:
		g.endRequest(req, Micros(g.meanLatency()))
	}
	g.dispatch()
}

// tooLate reports that an answer would come past the latency target with little value, or not in time at all.
func (g *Gateway) tooLate(req *request) bool {
	return g.now >= g.holdDeadline(req) && req.class.LateValue < minLateValue ||
		req.deadline-g.now < 4*max(g.settings.ClockTick, milli)
}

// mayRetry reports whether a request may be sent again. One that may have run is repeated only as its class
// allows, and one that is too late must not take a server's place from one that is not.
func (g *Gateway) mayRetry(req *request) bool {
	if len(req.attempts) >= cmp.Or(req.class.MaxAttempts, g.settings.MaxAttempts, 1) || g.tooLate(req) {
		return false
	}
	if !req.mayHaveRun || req.class.Repeat == RepeatSafe {
		return true
	}
	return req.class.Repeat == RepeatKeyed && g.now-req.ranAt < req.class.RepeatWindow-4*g.settings.ClockTick
}

// ClientGone ends a request whose client has left.
func (g *Gateway) ClientGone(now Micros, host Host, id uint32) {
	g.beginEvent(now, host)
	if req := g.requests[id]; req != nil && !req.done {
		g.returnUnits(req)
		g.unqueue(req)
		g.finish(req)
		g.cancelAll(req)
	}
}

// Timer handles the token of an expired timer.
func (g *Gateway) Timer(now Micros, host Host, token uint64) {
	g.beginEvent(now, host)
	switch token >> 32 {
	case tokenTick:
		g.tickTimer()
	case tokenGiveUp:
		req := g.requests[uint32(token)]
		if req == nil || req.done || !req.held && !req.awaitsCounter {
			return
		}
		if g.keepsWaiting(req) {
			host.Timer(token, max(g.nextCheck(req)-now, tickInterval))
			return
		}
		g.endRequest(req, g.expectedWait(req.level))
	}
}

// SetClasses replaces the classes while requests are in progress. These keep the terms they arrived with, and
// held ones the rank that those give. A class with unchanged times at the same index keeps its measurements.
func (g *Gateway) SetClasses(now Micros, host Host, classes []Class) {
	g.beginEvent(now, host)
	oldClasses, oldQueue := g.classes, g.queue
	g.classes = nil
	for i, class := range classes {
		state := classState{Class: class, latency: float64(class.LatencyTarget) / 4}
		if i < len(oldClasses) &&
			oldClasses[i].LatencyTarget == class.LatencyTarget && oldClasses[i].Deadline == class.Deadline {
			state, state.Class = oldClasses[i], class
		}
		g.classes = append(g.classes, state)
	}
	g.rankLevels()
	for _, req := range g.requests { // also those in flight or awaiting the counter, which may be held later
		for i := range min(len(oldClasses), len(g.classes)) {
			if req.class == &oldClasses[i] && oldClasses[i].Class == g.classes[i].Class {
				req.class = &g.classes[i]
				break
			}
		}
		req.level = g.levelFor(req)
	}
	for _, level := range oldQueue {
		for _, req := range level {
			g.queue[req.level] = append(g.queue[req.level], req)
		}
	}
	g.dispatch()
}

// levelFor is the first level that ranks no higher than the request's own terms.
func (g *Gateway) levelFor(req *request) int {
	level := len(g.queue) - 1
	for i := range g.classes {
		for j := range g.plans {
			if g.classes[i].Value*g.plans[j].Price <= req.class.Value*req.plan.Price {
				level = min(level, g.levels[i][j])
			}
		}
	}
	return level
}

func (g *Gateway) enqueueHeld(req *request) {
	req.held, req.heldAt = true, g.now
	g.queued++
	at := len(g.queue[req.level])
	if req.sent { // a retry goes first within its rank
		at = 0
	}
	g.queue[req.level] = slices.Insert(g.queue[req.level], at, req)
}

func (g *Gateway) recordOutcome(att *attempt, outcome Outcome) {
	srv, class := att.server, att.request.class
	latency := float64(outcome.Latency)
	wasProbing := srv.probing
	srv.probing = false
	g.applyLoadReport(srv, class, outcome.LoadReport)
	if outcome.Status == OK || outcome.Status == Full || outcome.Status == Failed {
		srv.lastAnswer, g.lastAnswer, srv.silent = g.now, g.now, false // our own time-out is no answer
	}
	switch outcome.Status {
	case OK:
		g.goodAnswers++
		srv.failures, srv.ejected, srv.probing, srv.ejection = 0, false, false, 0
		gain := max(0.02, 1/float64(class.answers+2))
		class.answers++
		ratio := latency / max(class.expectedLatency(att.request.units), 1)
		class.meanUnits += (att.request.units - class.meanUnits) * gain
		class.latency += (latency - class.latency) * gain
		srv.slowness = g.currentSlowness(srv) +
			(min(ratio, maxSlowness)-g.currentSlowness(srv))*g.slownessWeight(srv)
		srv.slownessAt = g.now
		weight := min(max(float64(g.now-g.minRatioAt)/1e6, minRatioWeight), maxRatioWeight)
		g.latencyRatio += (min(latency/float64(max(class.LatencyTarget, 1)), 3) - g.latencyRatio) * weight
		if g.ratioSamples++; g.ratioSamples == minRatioSamples || g.latencyRatio < g.minRatio {
			g.minRatio = g.latencyRatio
		}
		g.minRatio += (g.latencyRatio - g.minRatio) * min(float64(g.now-g.minRatioAt)/float64(ratioDrift), 1)
		g.minRatioAt = g.now
		if terms := g.limitTerms(); g.latencyRatio <= terms.GrowBelow &&
			g.latencyRatio <= terms.GrowKnee*max(g.minRatio, g.minRatioIfUnsettled()) {
			if float64(g.inFlight+1) >= g.inFlightLimit/2 {
				growth := min(growStep/g.inFlightLimit, maxGrowth*g.inFlightLimit)
				g.inFlightLimit = min(g.inFlightLimit+growth, g.fleetPart(maxLimitPerServer))
			}
		} else if g.latencyRatio > terms.CutAbove ||
			g.latencyRatio > terms.CutKnee*g.minRatio && g.aboveStart() {
			g.cutLimit(class.LatencyTarget / 2)
		}
	case Full:
		srv.fullUntil = g.now + fullPause
		g.cutLimit(class.LatencyTarget / 4)
	case Timeout, ConnectFailed, Reset, Failed:
		srv.failures++
		if srv.failures > 1 || outcome.Status == Timeout || outcome.Status == Failed { // one may be chance
			srv.slowness = min(max(g.currentSlowness(srv), 1)*failureSlowdown, maxSlowness)
			srv.slownessAt = g.now
		}
		unreachable := outcome.Status == ConnectFailed && (srv.failures > 1 || outcome.Latency > slowConnect)
		if srv.failures >= failsToEject || unreachable || wasProbing {
			g.eject(srv)
		}
	}
}

func (g *Gateway) cutLimit(pause Micros) {
	if g.now-g.limitCutAt < pause {
		return
	}
	g.limitCutAt = g.now
	g.inFlightLimit = max(g.inFlightLimit*cutFactor, g.fleetPart(minLimitPerServer))
}

// fleetPart is our part of an amount per server over the fleet.
func (g *Gateway) fleetPart(n float64) float64 {
	return n * float64(max(g.listedCount, 1)) / float64(max(g.settings.GatewayCount, 1))
}

// expectedLatency is the latency to expect of a request: half of the class's average scales with its units.
func (cl *classState) expectedLatency(units float64) float64 {
	return cl.latency * (1 + units/max(cl.meanUnits, 1e-6)) / 2
}

func (g *Gateway) currentSlowness(srv *server) float64 {
	if srv.slowness <= 1 {
		return srv.slowness
	}
	return 1 + (srv.slowness-1)*math.Exp2(-float64(g.now-srv.slownessAt)/float64(slownessHalfLife))
}

// checkSilence ejects servers that have gone silent while others answer, and stops counting their attempts
// against the limit; otherwise each request sent to an unreachable part of the fleet would keep a place until
// its client gives up. A request that was a probe of a silent server is moved to another one. Requests from
// before are not moved: a slow request looks the same at first, and sending such ones twice costs more.
func (g *Gateway) checkSilence() {
	g.inFlightSilent = 0
	for _, srv := range g.servers {
		maxSilence := max(silenceFactor*g.meanLatency()*g.currentSlowness(srv),
			minSilenceTargets*float64(g.capWindow))
		if g.silence(srv) < maxSilence || float64(g.now-g.lastAnswer) > maxSilence {
			continue
		}
		g.inFlightSilent += srv.inFlight
		if srv.ejected && g.now < srv.probeAt {
			continue
		}
		for att := srv.head; att != nil && g.settings.CanCancel && srv.silent; att = att.next { // a probe
			if req := att.request; !req.done && g.mayRetry(req) && g.mayMove(req) {
				g.host.Cancel(req.id, att.index)
			}
		}
		g.eject(srv)
		srv.silent = true
	}
}

// eject ejects a server, longer each time. If no other server is left, the fault is unlikely to be this
// server's, and recovery must be quick.
func (g *Gateway) eject(srv *server) {
	if srv.ejected && g.now < srv.probeAt {
		return
	}
	srv.ejection = min(max(2*srv.ejection, minEjection), maxEjection)
	if !slices.ContainsFunc(g.servers, func(other *server) bool {
		return other != srv && other.takesRequests() && !other.ejected
	}) {
		srv.ejection = minEjection
	}
	srv.ejected, srv.probing = true, false
	srv.probeAt = g.now + srv.ejection
}

// hasColdBudget reports whether our sends to a cold server within the window are under our part of its
// budget, judged by the measured rate of warm servers. Where none is warm, the remembered rate counts, and at
// least one request at a time per server: otherwise an all-cold fleet would get nothing, unmeasured.
func (g *Gateway) hasColdBudget(srv *server) bool {
	for len(srv.coldSends) > 0 && g.now-srv.coldSends[0] > g.settings.OverloadWindow {
		srv.coldSends = srv.coldSends[1:]
	}
	rate := max(g.warmRate, 1e6/g.meanLatency()/float64(max(g.settings.GatewayCount, 1)))
	budget := coldBudgetFraction * g.settings.OverloadMultiple * g.warmFraction(srv) *
		rate * float64(g.settings.OverloadWindow) / 1e6
	turn := max(g.settings.OverloadWindow, tickInterval)
	return float64(len(srv.coldSends)) < g.roundInTurns(budget, turn, hash(uint64(srv.id), 0))
}

// subsetSize is how many servers of our own order we use.
func (g *Gateway) subsetSize() int {
	minimum, seconds := g.subsetTerms()
	return max(min(max(minimum, int(g.sendRate*seconds)), len(g.servers)), 1)
}

// pickServer chooses the allowed server with the least expected wait. The more gateways there are, the less
// each sees of a server's load, and the more is left to chance, so that they do not all choose the same one.
func (g *Gateway) pickServer(req *request) *server {
	var best *server
	bestCost := math.Inf(1)
	candidates := g.subsetSize()
	for i := 0; i < len(g.servers) && candidates > 0; i++ {
		srv := g.servers[i]
		if !srv.takesRequests() || g.now < srv.fullUntil || g.barred(req, srv) {
			continue
		}
		if srv.ejected && g.now < g.probeFrom(req, srv) {
			continue
		}
		if req.mayHaveRun && req.class.Repeat == RepeatKeyed && !sameGroup(req.class.Dedup, req.ranOn, srv) {
			continue
		}
		cost := g.serverCost(srv)
		if g.isCold(srv) {
			if !g.hasColdBudget(srv) {
				continue
			}
			cost /= g.warmFraction(srv)
		}
		candidates--
		if srv.probing { // a server under probe is the last choice
			cost *= probeCostFactor
		}
		for i := range req.attempts {
			if req.attempts[i].server == srv {
				cost *= 4
			}
		}
		cost *= g.choiceFactor(srv)
		if cost < bestCost {
			best, bestCost = srv, cost
		}
	}
	return best
}

func (g *Gateway) serverCost(srv *server) float64 {
	return g.currentSlowness(srv) * (srv.work + 1) * g.costFactor(srv)
}

// costFactor is the cost of a server by the list: its weight and its zone.
func (g *Gateway) costFactor(srv *server) float64 {
	factor := cmp.Or(srv.entry.CostFactor, 1)
	if g.settings.UseWeights && srv.entry.Weight > 0 {
		factor /= srv.entry.Weight
	}
	if srv.entry.Zone != g.settings.Zone {
		factor *= 1 + crossZoneFactor*g.settings.CrossZonePrice
	}
	return factor
}

// Servers takes in a server list or changes to it.
func (g *Gateway) Servers(now Micros, host Host, kind ListKind, entries []Entry) {
	g.beginEvent(now, host)
	if kind != ListFailed {
		g.mergeList(kind, entries)
	}
	g.listedCount = 0
	for _, srv := range g.servers { // rendezvous hashing: each gateway has its own order
		if srv.listed { // attempts at a removed server do not enlarge the fleet
			g.listedCount++
		}
		h := hash(uint64(srv.id), uint64(g.settings.Index)+1)
		srv.order = -math.Log(float64(h>>11+1)/(1<<53)) * g.costFactor(srv)
	}
	g.orderByRing()
	slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
	if !g.limitSet && len(g.servers) > 0 {
		g.limitSet, g.inFlightLimit = true, g.fleetPart(startLimitPerServer)
	}
	g.inFlightLimit = max(g.inFlightLimit, g.fleetPart(minLimitPerServer)) // the fleet may have grown
	g.dispatch()
}

// mergeList updates the servers and drops those that are neither listed nor in use. A server that has
// restarted or was gone gets a new record: open attempts stay with the old one, since their results say
// nothing of the new process. Only sends that count against the cold budget carry over.
func (g *Gateway) mergeList(kind ListKind, entries []Entry) {
	if kind != ListDelta {
		for _, srv := range g.servers {
			srv.listed = false
		}
	}
	for _, entry := range entries {
		srv := g.byID[entry.Server]
		if srv == nil ||
			entry.State != Gone && (entry.ReadyAt != srv.entry.ReadyAt || srv.entry.State == Gone) {
			fresh := &server{id: entry.Server, slowness: 1}
			if srv != nil {
				srv.listed, fresh.coldSends = false, srv.coldSends
			}
			srv = fresh
			g.byID[entry.Server] = srv
			g.servers = append(g.servers, srv)
		}
		srv.entry, srv.listed = entry, entry.State != Gone
	}
	g.servers = slices.DeleteFunc(g.servers, func(srv *server) bool {
		unused := !srv.listed && srv.inFlight == 0 && !g.hasRecentSends(srv)
		if unused && g.byID[srv.id] == srv {
			delete(g.byID, srv.id)
		}
		return unused
	})
}

// isCold reports whether a server has started recently.
func (g *Gateway) isCold(srv *server) bool {
	return srv.entry.ReadyAt > 0 && g.now-srv.entry.ReadyAt < g.settings.ColdDuration
}

// warmFraction is the least fraction of its capacity that a cold server has.
func (g *Gateway) warmFraction(srv *server) float64 {
	age := float64(g.now-srv.entry.ReadyAt) / float64(max(g.settings.ColdDuration, 1))
	return g.settings.ColdCapacity + (1-g.settings.ColdCapacity)*min(max(age, 0), 1)
}

func sameGroup(group DedupScope, a, b *server) bool {
	switch group {
	case DedupZone:
		return a.entry.Zone == b.entry.Zone
	case DedupCell:
		return a.entry.Zone == b.entry.Zone && a.entry.Cell == b.entry.Cell
	}
	return true
}

func (g *Gateway) tick() {
	slot := g.now / tickInterval
	for g.wheelAt < slot {
		g.wheelAt++
		g.visitSlot(int(g.wheelAt % int64(len(g.wheel))))
	}
	if dt := g.now - g.ratesAt; dt >= second/4 {
		secs := float64(dt) / 1e6
		g.answerRate += (float64(g.goodAnswers)/secs - g.answerRate) * 0.3
		g.sendRate += (float64(g.sends)/secs - g.sendRate) * 0.2
		g.goodAnswers, g.sends, g.ratesAt = 0, 0, g.now
		g.warmRate = max(g.answerRate/float64(g.subsetSize()), g.warmRate*math.Exp2(-secs/warmRateHalfLife))
	}
	g.checkSilence()
	g.moveFromSilent()
	g.dispatch()
}
