package policy

import "math"

// Health of servers as judged by all gateways of a zone together. With hundreds of servers one gateway meets
// each too seldom to judge it. So the gateways report their observations to one process, which judges for all
// and returns verdicts. Unless Settings.ZoneVerdicts is set, nothing here changes a decision.

// Verdict is the zone's verdict on the health of a server.
type Verdict uint8

// The verdicts. A server without one is used by local observation alone.
const (
	NoVerdict Verdict = iota
	Suspect           // some requests failed: good answers are reported too
	Unhealthy         // no gateway may send to it
	OnProbe           // only this gateway sends to it, one attempt at a time
	Recovered         // it is healthy again after suspicion or a probe
)

// Observation is what a gateway observed of a server since its last report.
type Observation struct {
	Server    Server
	Good, Bad float64 // weighted number of answers, decaying with time
}

const (
	observationHalfLife  = 2 * second // half-life of observations not reported yet
	resetWeight          = 0.3        // weight of a reset as a failure: it may be an idle connection's end
	minObservation       = 0.25       // observations that weigh less are not reported
	maxPatienceSlowness  = 2.0        // upper bound, in mean fleet latencies, of the patience with a slow server
	maxRecoveredSlowness = 1.5        // upper bound of the slowness of a server that is probed or healthy again
)

// observations are the answers of a server that were not reported yet.
type observations struct {
	good, bad float64
	decayedAt Micros
}

// add counts answers.
func (s *observations) add(now Micros, good, bad float64) {
	s.decay(now)
	s.good, s.bad = s.good+good, s.bad+bad
}

// decay reduces the counts by the time since the last call.
func (s *observations) decay(now Micros) {
	if s.good+s.bad > 0 {
		kept := math.Exp2(-float64(now-s.decayedAt) / float64(observationHalfLife))
		s.good, s.bad = s.good*kept, s.bad*kept
	}
	s.decayedAt = now
}

// observe handles the end of an attempt and counts it for the next report.
func (g *Gateway) observe(att *attempt, outcome Outcome) {
	g.recordOutcome(att, outcome)
	if srv := att.server; g.settings.ZoneVerdicts && !att.silenceObserved && srv.entry.ColdUntil <= g.now {
		switch outcome.Status {
		case OK:
			srv.unreported.add(g.now, 1, 0)
		case Failed, Timeout, ConnectFailed:
			srv.unreported.add(g.now, 0, 1)
		case Reset:
			srv.unreported.add(g.now, 0, resetWeight)
		}
	}
}

// observeSilence counts a failure, once, for each attempt at a server that has been silent for long while
// others answer: its end may be far away.
func (g *Gateway) observeSilence(srv *server) {
	if srv.head == nil || srv.entry.ColdUntil > g.now {
		return
	}
	maxSilence := max(silenceFactor*g.meanLatency()*min(g.currentSlowness(srv), maxPatienceSlowness),
		minSilenceTargets*float64(g.capWindow))
	if g.silence(srv) < maxSilence || float64(g.now-g.lastAnswer) > maxSilence {
		return
	}
	for att := srv.head; att != nil; att = att.next {
		if !att.silenceObserved && !att.bodyPending && float64(g.now-att.sent) > maxSilence {
			att.silenceObserved = true
			srv.unreported.add(g.now, 0, 1)
		}
	}
}

// TakeObservations returns what there is to report: observations of servers that failed, and of those with a
// verdict. What is returned is not returned again.
func (g *Gateway) TakeObservations(now Micros) (list []Observation) {
	g.now = now
	for _, srv := range g.servers {
		g.observeSilence(srv)
		srv.unreported.decay(now)
		isReport := srv.unreported.bad >= minObservation || srv.verdict >= Suspect &&
			srv.unreported.good+srv.unreported.bad >= minObservation
		if srv.listed && isReport {
			list = append(list, Observation{Server: srv.id, Good: srv.unreported.good, Bad: srv.unreported.bad})
			srv.unreported = observations{decayedAt: now}
		}
	}
	return list
}

// SetVerdicts sets the zone's verdicts; a server that is not in the map has none.
func (g *Gateway) SetVerdicts(now Micros, host Host, verdicts map[Server]Verdict) {
	g.beginEvent(now, host)
	for _, srv := range g.servers {
		before := srv.verdict
		if srv.verdict = verdicts[srv.id]; srv.verdict == before {
			continue
		}
		switch srv.verdict {
		case OnProbe: // one failure ejects it locally again
			srv.ejected, srv.probing, srv.failures = false, false, failsToEject-1
			srv.slowness, srv.slownessAt = min(g.currentSlowness(srv), maxRecoveredSlowness), now
		case Recovered:
			srv.ejected, srv.probing, srv.silent, srv.failures, srv.ejection = false, false, false, 0, 0
			srv.slowness, srv.slownessAt = min(g.currentSlowness(srv), maxRecoveredSlowness), now
		}
	}
	g.dispatch()
}

// excluded reports whether a request must not go to a server because of the zone's verdict. Unsafe requests
// are not used as probes where there are safe ones: a failed probe would lose them.
func (g *Gateway) excluded(req *request, srv *server) bool {
	switch srv.verdict {
	case Unhealthy:
		return true
	case OnProbe:
		return srv.inFlight > 0 || req.class.Repeat == RepeatUnsafe && g.hasSafeClass()
	}
	return false
}

// hasSafeClass reports whether safe requests have been answered.
func (g *Gateway) hasSafeClass() bool {
	for i := range g.classes {
		if g.classes[i].Repeat == RepeatSafe && g.classes[i].answers > 0 {
			return true
		}
	}
	return false
}
