package policy

import (
	"cmp"
	"math"
)

// What bounds the sends of a gateway in a system of many regions: homes, servers that are
// cold at any time, and a budget of further tries. Where its settings and fields are not
// set, nothing here changes a decision.

// pace is that of the housekeeping tick. Without a request there is little to keep house for, and the ticks are most
// of what an idle gateway costs.
func (g *Gateway) pace() Micros {
	if busy := g.busyPace(); len(g.reqs) > 0 || g.set.IdleStep < busy {
		return busy
	}
	return g.set.IdleStep - g.now%g.set.IdleStep // at the same time as other gateways of the process
}

func (g *Gateway) busyPace() Micros { return cmp.Or(g.set.Step, step) }

// armTick asks for the next tick. An earlier asking whose time is later is void then.
func (g *Gateway) armTick(after Micros) {
	g.tickDue = g.now + after
	g.do.Timer(tokenTick<<32, after)
}

// busyTick brings a tick forward that was asked for while there was no request.
func (g *Gateway) busyTick() {
	if g.set.IdleStep > 0 && g.tickDue-g.now > g.busyPace() {
		g.armTick(g.busyPace())
	}
}

// tickDone ticks, where the timer that came is the one that was last asked for.
func (g *Gateway) tickDone() {
	if g.set.IdleStep > 0 && g.now < g.tickDue {
		return
	}
	g.tick()
	g.armTick(g.pace())
}

// halfway is when a request that was not sent is refused at the latest: with half of its
// client's time left, or once it has been held for a part of its aim. It guards against
// refusals that come too late for the client's next try to be worth anything.
func (g *Gateway) halfway(r Request) Micros {
	at := g.now + r.Left/2 - 2*max(g.set.Tick, milli)
	if g.set.HoldPart > 0 {
		at = min(at, g.now+Micros(g.set.HoldPart*float64(g.classes[r.Class].Aim)))
	}
	return at
}

// barred tells that a server may not have a request, or not now.
func (g *Gateway) barred(q *request, s *server) bool {
	if q.homes != 0 && q.homes>>uint(s.e.Region)&1 == 0 {
		return true
	}
	return s == q.avoid || g.shuns(q, s) || !g.coldSendRoom(s)
}

// coldSendRoom tells whether a server that is cold, or may be, may get another send of ours in the
// second that ends now. It guards against servers that fall over: each gateway has its part of what
// such a one bears. An attempt that waits for a connection may leave in any second to come.
func (g *Gateway) coldSendRoom(s *server) bool {
	most, bound := g.sendsMost(s)
	if !bound {
		return true
	}
	g.forgetSends(s)
	return len(s.coldSends)+s.unsent < most
}

// sendsMost is how many sends of ours a server may get in a second, if that is bound.
func (g *Gateway) sendsMost(s *server) (most int, bound bool) {
	cold := s.e.ColdUntil > g.now
	if g.set.ColdSends == nil {
		return 0, cold
	}
	most = g.set.ColdSends(s.id, cold)
	return most, most >= 0
}

// noteSend keeps a send that may count against a cold server's budget. A server may become
// cold at any moment, and what it was sent just before counts too.
func (g *Gateway) noteSend(s *server) {
	s.usedAt = g.now
	switch {
	case g.set.ColdSends != nil:
		s.unsent++
	case g.cold(s):
		s.coldSends = append(s.coldSends, g.now)
	}
}

// Left tells that an attempt has left for its server. Only a gateway with Settings.ColdSends needs to know.
func (g *Gateway) Left(now Micros, id uint32, attempt int) {
	if a := g.openAttemptOf(id, attempt); a != nil {
		g.now = now
		g.leave(a)
	}
}

// MayLeave tells whether an attempt that has waited for a connection may leave now: its server may have become cold
// since it was decided on, or our part of what the server bears may have shrunk.
func (g *Gateway) MayLeave(now Micros, id uint32, attempt int) bool {
	a := g.openAttemptOf(id, attempt)
	if a == nil {
		return true
	}
	g.now = now
	most, bound := g.sendsMost(a.srv)
	if !bound {
		return true
	}
	g.forgetSends(a.srv)
	return len(a.srv.coldSends) < most
}

// openAttemptOf is an attempt that has not ended, nil if there is none.
func (g *Gateway) openAttemptOf(id uint32, attempt int) *attempt {
	q := g.reqs[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) || !q.attempts[attempt].open {
		return nil
	}
	return q.attempts[attempt]
}

// leave counts an attempt from now on among its server's sends of the last second.
func (g *Gateway) leave(a *attempt) {
	if a.left || g.set.ColdSends == nil {
		return
	}
	a.left = true
	a.srv.unsent--
	g.forgetSends(a.srv)
	a.srv.coldSends = append(a.srv.coldSends, g.now)
	if a.srv.e.ColdUntil > g.now {
		g.toCold++
	}
}

// forgetSends drops the sends that no window holds any more.
func (g *Gateway) forgetSends(s *server) {
	for len(s.coldSends) > 0 && g.now-s.coldSends[0] > max(g.set.FallWindow, second) {
		s.coldSends = s.coldSends[1:]
	}
}

// minded tells that a server which is no longer listed has sends that still count: it may
// be listed again in the same second.
func (g *Gateway) minded(s *server) bool {
	if g.set.ColdSends == nil {
		return false
	}
	g.forgetSends(s)
	return len(s.coldSends) > 0
}

// further tells whether a request may have another attempt, and takes it from the budget.
// It is asked when the attempt before is over, so that a request which may not is not held.
func (g *Gateway) further(q *request) bool {
	if q.granted {
		q.granted = false
		return true
	}
	return g.set.FurtherTry == nil || g.set.FurtherTry(q.kind)
}

// again tells whether a request may be taken from a silent server. Under a budget that is
// asked for first, and only safe ones are: else to take it away would be its end.
func (g *Gateway) again(q *request) bool {
	if g.set.FurtherTry == nil {
		return true
	}
	q.granted = q.granted || q.class.Repeat == Safe && g.set.FurtherTry(q.kind)
	return q.granted
}

// hasten takes safe requests from servers that have been silent for long, once each, where
// another server may have them.
func (g *Gateway) hasten() {
	if g.set.SafeAfter <= 0 || !g.set.Cancel {
		return
	}
	for _, s := range g.servers {
		for a := s.head; a != nil; a = a.next {
			q := a.req
			if q.done || q.filling || q.avoid != nil || q.open != 1 || q.class.Repeat != Safe {
				continue
			}
			expect := q.class.lat
			if q.class.n > 0 { // else its units tell nothing yet
				expect = q.class.expect(q.units)
			}
			most := max(g.set.SafeAfter*expect*g.relOf(s), float64(q.class.Aim)/2)
			if min(g.silence(s), float64(g.now-a.sent)) < most || !g.mayRetry(q) {
				continue
			}
			if q.avoid = s; g.pick(q) == nil || !g.again(q) {
				q.avoid = nil
				continue
			}
			g.do.Cancel(q.id, a.n)
		}
	}
}

// gainOf is the weight of a server's newest answer in its slowness. Where a time is set for it
// an answer counts for the time since the last: with many gateways a server's answers to one of
// them are seldom, and twenty of them would be old news.
func (g *Gateway) gainOf(s *server) float64 {
	if g.set.Learn <= 0 {
		return relGain
	}
	return min(max(1-math.Exp(-float64(g.now-s.relAt)/1e6/g.set.Learn), relGain), learnMost)
}

const learnMost = 0.3 // of a server's slowness is told by one answer at most

// boundTerms is where the bound moves.
func (g *Gateway) boundTerms() BoundTerms {
	b := g.set.Bound
	return BoundTerms{Within: cmp.Or(b.Within, growWithin), Past: cmp.Or(b.Past, cutPast), Knee: cmp.Or(b.Knee, knee),
		KneeCut: cmp.Or(b.KneeCut, kneeCut)}
}

// unsettled is past any stretch while too few answers have come to know the least.
func (g *Gateway) unsettled() float64 {
	if g.answers < stretchSettles {
		return math.Inf(1)
	}
	return 0
}

// heldUntil is how long a request that was sent before may be held for another attempt.
func (g *Gateway) heldUntil(q *request) Micros {
	if g.set.HoldPart <= 0 || !q.held {
		return math.MaxInt64
	}
	return q.heldAt + Micros(g.set.HoldPart*float64(q.class.Aim))
}

// patient tells whether a held request goes on waiting for another attempt. It guards against
// one that no server may have, such as behind a refusal by the only one, being held until its
// client's time is over: what is given up is answered at once.
func (g *Gateway) patient(q *request) bool {
	return q.sent && !g.late(q) && g.now < g.heldUntil(q)
}

// nextLook is when a held request is looked at again.
func (g *Gateway) nextLook(q *request) Micros { return min(g.giveUp(q), g.heldUntil(q)) }

// aboveStart tells whether the bound has risen past its start.
func (g *Gateway) aboveStart() bool { return g.bound > g.perServer(startPerServer) }

// triedFrom is when a server that was shut off may be tried with a request again. One that may run only
// once is left to those that may run again for as long as the server was shut off: at a service that gets
// no others it would else stay lost to us for good.
func (g *Gateway) triedFrom(q *request, s *server) Micros {
	if q.class.Repeat == Unsafe {
		return s.retryAt + s.ejectedFor
	}
	return s.retryAt
}
