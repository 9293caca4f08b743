package policy

import (
	"cmp"
	"math"
)

// Limits on sends in a system of many regions: allowed regions, servers that may be cold at any time, a retry
// budget, and the housekeeping tick. Where the settings and fields are not set, nothing here changes a
// decision.

// tickDelay is the time to the next housekeeping tick. Without a request there is little to do, and ticks are
// most of what an idle gateway costs.
func (g *Gateway) tickDelay() Micros {
	if busy := g.busyTickInterval(); len(g.requests) > 0 || g.settings.IdleTickInterval < busy {
		return busy
	}
	return g.settings.IdleTickInterval - g.now%g.settings.IdleTickInterval // at the same time as other gateways of the process
}

// busyTickInterval is the interval of the tick while there are requests.
func (g *Gateway) busyTickInterval() Micros { return cmp.Or(g.settings.TickInterval, tickInterval) }

// armTick requests the next tick. It voids an earlier request for a later time.
func (g *Gateway) armTick(after Micros) {
	g.tickDue = g.now + after
	g.host.Timer(tokenTick<<32, after)
}

// armBusyTick brings forward a tick that was requested while there was no request.
func (g *Gateway) armBusyTick() {
	if g.settings.IdleTickInterval > 0 && g.tickDue-g.now > g.busyTickInterval() {
		g.armTick(g.busyTickInterval())
	}
}

// tickTimer handles a tick timer, unless a later request for a tick has made it void.
func (g *Gateway) tickTimer() {
	if g.settings.IdleTickInterval > 0 && g.now < g.tickDue {
		return
	}
	g.tick()
	g.armTick(g.tickDelay())
}

// unsentDeadline is when a request that was never sent is refused at the latest: with half of its client's
// time left, or after it has been held for a part of its latency target. A later refusal would leave the
// client's next try too little time.
func (g *Gateway) unsentDeadline(try Request) Micros {
	deadline := g.now + try.TimeLeft/2 - 2*max(g.settings.ClockTick, milli)
	if g.settings.MaxHoldFraction > 0 {
		deadline = min(deadline, g.now+Micros(g.settings.MaxHoldFraction*float64(g.classes[try.Class].LatencyTarget)))
	}
	return deadline
}

// barred reports whether a server may not get a request now.
func (g *Gateway) barred(req *request, srv *server) bool {
	if req.regions != 0 && req.regions>>uint(srv.entry.Region)&1 == 0 {
		return true
	}
	return srv == req.avoidServer || g.excluded(req, srv) || !g.hasColdSendBudget(srv)
}

// hasColdSendBudget reports whether a server that is or may be cold may get another send of ours in the
// second that ends now. Each gateway has its part of what such a server bears, so that it is not overloaded.
// An attempt that waits for a connection counts too, as it may leave in any second to come.
func (g *Gateway) hasColdSendBudget(srv *server) bool {
	budget, limited := g.maxSends(srv)
	if !limited {
		return true
	}
	g.expireSends(srv)
	return len(srv.coldSends)+srv.unsent < budget
}

// maxSends is how many sends of ours a server may get per second, and whether that is limited.
func (g *Gateway) maxSends(srv *server) (sends int, limited bool) {
	cold := srv.entry.ColdUntil > g.now
	if g.settings.MaxColdSends == nil {
		return 0, cold
	}
	sends = g.settings.MaxColdSends(srv.id, cold)
	return sends, sends >= 0
}

// recordSend records a send that may count against a cold server's budget. A server may become cold at any
// time, and sends just before that count too.
func (g *Gateway) recordSend(srv *server) {
	srv.lastUsed = g.now
	switch {
	case g.settings.MaxColdSends != nil:
		srv.unsent++
	case g.isCold(srv):
		srv.coldSends = append(srv.coldSends, g.now)
	}
}

// AttemptSent records that an attempt has been sent to its server. Only a gateway with Settings.MaxColdSends needs it.
func (g *Gateway) AttemptSent(now Micros, id uint32, attempt int) {
	if att := g.findOpenAttempt(id, attempt); att != nil {
		g.now = now
		g.recordDeparture(att)
	}
}

// MaySend reports whether an attempt that has waited for a connection may be sent now: its server may have
// become cold since the decision, or our part of the server's budget may have shrunk.
func (g *Gateway) MaySend(now Micros, id uint32, attempt int) bool {
	att := g.findOpenAttempt(id, attempt)
	if att == nil {
		return true
	}
	g.now = now
	budget, limited := g.maxSends(att.server)
	if !limited {
		return true
	}
	g.expireSends(att.server)
	return len(att.server.coldSends) < budget
}

// findOpenAttempt returns an attempt that has not ended, or nil.
func (g *Gateway) findOpenAttempt(id uint32, attempt int) *attempt {
	req := g.requests[id]
	if req == nil || attempt < 0 || attempt >= len(req.attempts) || !req.attempts[attempt].open {
		return nil
	}
	return req.attempts[attempt]
}

// recordDeparture counts an attempt from now on among its server's sends of the last second.
func (g *Gateway) recordDeparture(att *attempt) {
	if att.departed || g.settings.MaxColdSends == nil {
		return
	}
	att.departed = true
	att.server.unsent--
	g.expireSends(att.server)
	att.server.coldSends = append(att.server.coldSends, g.now)
	if att.server.entry.ColdUntil > g.now {
		g.coldSendCount++
	}
}

// expireSends drops sends that are older than any budget window.
func (g *Gateway) expireSends(srv *server) {
	for len(srv.coldSends) > 0 && g.now-srv.coldSends[0] > max(g.settings.OverloadWindow, second) {
		srv.coldSends = srv.coldSends[1:]
	}
}

// hasRecentSends reports whether a server that is no longer listed has sends that still count: it may be
// listed again within the same second.
func (g *Gateway) hasRecentSends(srv *server) bool {
	if g.settings.MaxColdSends == nil {
		return false
	}
	g.expireSends(srv)
	return len(srv.coldSends) > 0
}

// mayAttemptAgain reports whether a request may have another attempt, and takes it from the retry budget. It
// is asked when the previous attempt ends, so that a request without budget is not held.
func (g *Gateway) mayAttemptAgain(req *request) bool {
	if req.retryGranted {
		req.retryGranted = false
		return true
	}
	return g.settings.AllowRetry == nil || g.settings.AllowRetry(req.arrivalClass)
}

// mayMove reports whether a request may be taken from a silent server. With a retry budget it asks for a
// retry first, and only safe requests are moved: without a retry the cancellation would end the request.
func (g *Gateway) mayMove(req *request) bool {
	if g.settings.AllowRetry == nil {
		return true
	}
	req.retryGranted = req.retryGranted || req.class.Repeat == RepeatSafe && g.settings.AllowRetry(req.arrivalClass)
	return req.retryGranted
}

// moveFromSilent takes safe requests from servers that have been silent for long, once each, if another
// server can take them.
func (g *Gateway) moveFromSilent() {
	if g.settings.MoveAfterSilence <= 0 || !g.settings.CanCancel {
		return
	}
	for _, srv := range g.servers {
		for att := srv.head; att != nil; att = att.next {
			req := att.request
			if req.done || req.bodyPending || req.avoidServer != nil || req.inFlight != 1 ||
				req.class.Repeat != RepeatSafe {
				continue
			}
			expect := req.class.latency
			if req.class.answers > 0 { // without answers its units say nothing about its latency
				expect = req.class.expectedLatency(req.units)
			}
			maxSilence := max(g.settings.MoveAfterSilence*expect*g.currentSlowness(srv), float64(req.class.LatencyTarget)/2)
			if min(g.silence(srv), float64(g.now-att.sent)) < maxSilence || !g.mayRetry(req) {
				continue
			}
			if req.avoidServer = srv; g.pickServer(req) == nil || !g.mayMove(req) {
				req.avoidServer = nil
				continue
			}
			g.host.Cancel(req.id, att.index)
		}
	}
}

// slownessWeight is the weight of a server's newest answer in its slowness. If Settings.SlownessSeconds is set, an
// answer counts for the time since the last one: with many gateways a server seldom answers each of them, and
// an average over twenty answers would be out of date.
func (g *Gateway) slownessWeight(srv *server) float64 {
	if g.settings.SlownessSeconds <= 0 {
		return slownessGain
	}
	return min(max(1-math.Exp(-float64(g.now-srv.slownessAt)/1e6/g.settings.SlownessSeconds), slownessGain),
		maxSlownessWeight)
}

const maxSlownessWeight = 0.3 // upper bound of the weight of one answer in a server's slowness

// limitTerms returns where the limit on attempts moves: the settings, or the defaults.
func (g *Gateway) limitTerms() LimitTerms {
	set := g.settings.LimitTerms
	return LimitTerms{
		GrowBelow: cmp.Or(set.GrowBelow, growBelow),
		CutAbove:  cmp.Or(set.CutAbove, cutAbove),
		GrowKnee:  cmp.Or(set.GrowKnee, growKnee),
		CutKnee:   cmp.Or(set.CutKnee, cutKnee),
	}
}

// minRatioIfUnsettled is above any latency ratio while there are too few answers to know the least one.
func (g *Gateway) minRatioIfUnsettled() float64 {
	if g.ratioSamples < minRatioSamples {
		return math.Inf(1)
	}
	return 0
}

// retryHoldDeadline is how long a request that was sent before may be held for another attempt.
func (g *Gateway) retryHoldDeadline(req *request) Micros {
	if g.settings.MaxHoldFraction <= 0 || !req.held {
		return math.MaxInt64
	}
	return req.heldAt + Micros(g.settings.MaxHoldFraction*float64(req.class.LatencyTarget))
}

// keepsWaiting reports whether a held request goes on waiting for another attempt. Otherwise one that no
// server may take, for example after the only server refused it, would be held until its client's time is
// over instead of being answered.
func (g *Gateway) keepsWaiting(req *request) bool {
	return req.sent && !g.tooLate(req) && g.now < g.retryHoldDeadline(req)
}

// nextCheck is when a held request is checked again.
func (g *Gateway) nextCheck(req *request) Micros {
	return min(g.holdDeadline(req), g.retryHoldDeadline(req))
}

// aboveStart reports whether the limit on attempts has risen above its initial value.
func (g *Gateway) aboveStart() bool { return g.inFlightLimit > g.fleetPart(startLimitPerServer) }

// probeFrom is when an ejected server may be probed with a request. An unsafe request waits twice as long,
// which leaves the probe to safe ones; a service that gets only unsafe ones still probes its servers at some
// time.
func (g *Gateway) probeFrom(req *request, srv *server) Micros {
	if req.class.Repeat == RepeatUnsafe {
		return srv.probeAt + srv.ejection
	}
	return srv.probeAt
}
