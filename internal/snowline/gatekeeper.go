package snowline

import "foxwood/policy"

const (
	disconnectedAfterMs = 2000.0  // time without an answer until a gatekeeper also sheds by its own pressure
	levelRetentionMs    = 10000.0 // time for which a level applies without an answer
	ageOutMs            = 20000.0 // time over which it then ages out
	soleSheddingDelayMs = 1000.0  // time of a gatekeeper's pressure, while the others have none, until it sheds alone
	clusterCalmShare    = 0.8     // share of pressed below which the cluster has no pressure
)

// Post is a gatekeeper's side: the level it has received and what it applies.
type Post struct {
	// Solitary makes it shed by its own pressure only, for comparison in trials.
	Solitary bool
	// Loads are the services' loads, used to age their thresholds.
	Loads map[string]Load

	level             Level
	received          bool
	receivedAt        float64
	controller        Valve
	soleSince         float64 // since when it has been under pressure while the others are not; 0 if it isn't
	shedsAlone        bool
	wasDisconnected   bool // disconnected at the last Step
	standing          Standing
	serviceThresholds map[string]policy.Mark // thresholds of services, as received or aged
}

// Standing is the threshold that a gatekeeper applies, and why.
type Standing struct {
	Cut    policy.Mark
	Alone  bool // it sheds more than the level demands, by its own pressure
	CutOff bool // it hasn't received a level for disconnectedAfterMs
	Aging  bool // the level it received is aging out
}

// Level returns the newest level received.
func (p *Post) Level() Level { return p.level }

// Standing returns the result of the last Step.
func (p *Post) Standing() Standing {
	if p.standing.Cut == 0 {
		return Standing{Cut: policy.MarkOpen}
	}
	return p.standing
}

// CutOf returns the threshold that applies to a service's requests.
func (p *Post) CutOf(service string) policy.Mark {
	threshold := p.Standing().Cut
	if serviceThreshold, ok := p.serviceThresholds[service]; ok {
		return min(threshold, serviceThreshold)
	}
	return threshold
}

// Open reports whether no request is refused.
func (p *Post) Open() bool {
	return p.Standing().Cut >= policy.MarkOpen && len(p.serviceThresholds) == 0
}

// Describe describes what is refused.
func (p *Post) Describe() string { return DescribeAll(p.Standing().Cut, p.serviceThresholds) }

// Hear handles an answer to a request sent at requestedAt. A level with a lower number is out of
// date and doesn't even show that there is a holder.
func (p *Post) Hear(requestedAt float64, level Level) bool {
	if level.Number == 0 || p.received && level.Number < p.level.Number {
		return false
	}
	p.level, p.received, p.receivedAt = level, true, max(p.receivedAt, requestedAt)
	return true
}

// Step updates the threshold by the newest level and this gatekeeper's own pressure.
func (p *Post) Step(now, ownPressure float64, load Load, served float64) Standing {
	standing := Standing{Cut: policy.MarkOpen}
	ageMs := now - p.receivedAt
	standing.CutOff = !p.received || ageMs > disconnectedAfterMs
	if p.received && !p.Solitary {
		standing.Cut, p.serviceThresholds = p.level.Cut, p.level.Cuts
		if agedShare := (ageMs - levelRetentionMs) / ageOutMs; agedShare > 0 {
			standing.Cut, standing.Aging, p.serviceThresholds = Aged(standing.Cut, load, agedShare), true, map[string]policy.Mark{}
			for name, threshold := range p.level.Cuts {
				if threshold = Aged(threshold, p.Loads[name], agedShare); threshold < policy.MarkOpen {
					p.serviceThresholds[name] = threshold
				}
			}
		}
	}
	if p.Solitary {
		standing.CutOff = false
	}
	if p.wasDisconnected && !standing.CutOff { // connected again: the cluster's level applies until it sheds alone anew
		p.shedsAlone, p.soleSince = false, 0
	}
	p.wasDisconnected = standing.CutOff
	switch {
	case p.Solitary, standing.CutOff:
		p.shedsAlone, p.soleSince = true, 0
	case p.level.Pressure >= pressed: // the whole cluster is under pressure: its level applies
		p.shedsAlone, p.soleSince = false, 0
	case p.shedsAlone: // until its own controller admits everything
	case ownPressure >= pressed && p.level.Pressure < clusterCalmShare*pressed:
		if p.soleSince == 0 {
			p.soleSince = now
		}
		p.shedsAlone = now-p.soleSince >= soleSheddingDelayMs
	default:
		p.soleSince = 0
	}
	if !p.shedsAlone {
		p.controller = Valve{}
		p.standing = standing
		return standing
	}
	ownThreshold := p.controller.Step(now, ownPressure, load, served, standing.Cut)
	if !standing.CutOff && !p.Solitary && p.controller.Rate() == 0 && ownPressure < calm {
		p.shedsAlone, p.soleSince = false, 0
	}
	if ownThreshold < standing.Cut {
		standing.Cut, standing.Alone = ownThreshold, true
	}
	p.standing = standing
	return standing
}
