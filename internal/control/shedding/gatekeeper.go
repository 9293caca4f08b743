package shedding

import "foxwood/policy"

const (
	disconnectedAfterMs = 2000.0  // time without an answer until a gatekeeper also sheds by its own pressure
	levelRetentionMs    = 10000.0 // time for which a level applies without an answer
	ageOutMs            = 20000.0 // time over which it then ages out
	soleSheddingDelayMs = 1000.0  // time of a gatekeeper's pressure, while the others have none, until it sheds alone
	clusterCalmShare    = 0.8     // share of pressed below which the cluster has no pressure
)

// Follower is a gatekeeper's side: the level it has received and what it applies.
type Follower struct {
	// LocalOnly makes it shed by its own pressure only, for comparison in trials.
	LocalOnly bool
	// ServiceLoads are the services' loads, used to age their thresholds.
	ServiceLoads map[string]Load

	level             Level
	received          bool
	receivedAt        float64
	controller        Controller
	soleSince         float64 // since when it has been under pressure while the others are not; 0 if it isn't
	shedsAlone        bool
	wasDisconnected   bool // disconnected at the last Step
	standing          AppliedState
	serviceThresholds map[string]policy.ShedPosition // thresholds of services, as received or aged
}

// AppliedState is the threshold that a gatekeeper applies, and why.
type AppliedState struct {
	Threshold    policy.ShedPosition
	ShedsAlone   bool // it sheds more than the level demands, by its own pressure
	Disconnected bool // it hasn't received a level for disconnectedAfterMs
	Aging        bool // the level it received is aging out
}

// Level returns the newest level received.
func (p *Follower) Level() Level { return p.level }

// State returns the result of the last Step.
func (p *Follower) State() AppliedState {
	if p.standing.Threshold == 0 {
		return AppliedState{Threshold: policy.ShedNothing}
	}
	return p.standing
}

// ThresholdFor returns the threshold that applies to a service's requests.
func (p *Follower) ThresholdFor(service string) policy.ShedPosition {
	threshold := p.State().Threshold
	if serviceThreshold, ok := p.serviceThresholds[service]; ok {
		return min(threshold, serviceThreshold)
	}
	return threshold
}

// Open reports whether no request is refused.
func (p *Follower) Open() bool {
	return p.State().Threshold >= policy.ShedNothing && len(p.serviceThresholds) == 0
}

// Describe describes what is refused.
func (p *Follower) Describe() string { return DescribeAll(p.State().Threshold, p.serviceThresholds) }

// Receive handles an answer to a request sent at requestedAt. A level with a lower number is out of
// date and doesn't even show that there is a holder.
func (p *Follower) Receive(requestedAt float64, level Level) bool {
	if level.Number == 0 || p.received && level.Number < p.level.Number {
		return false
	}
	p.level, p.received, p.receivedAt = level, true, max(p.receivedAt, requestedAt)
	return true
}

// Step updates the threshold by the newest level and this gatekeeper's own pressure.
func (p *Follower) Step(now, ownPressure float64, load Load, served float64) AppliedState {
	standing := AppliedState{Threshold: policy.ShedNothing}
	ageMs := now - p.receivedAt
	standing.Disconnected = !p.received || ageMs > disconnectedAfterMs
	if p.received && !p.LocalOnly {
		standing.Threshold, p.serviceThresholds = p.level.Threshold, p.level.ServiceThresholds
		if agedShare := (ageMs - levelRetentionMs) / ageOutMs; agedShare > 0 {
			standing.Threshold, standing.Aging, p.serviceThresholds = AgedThreshold(standing.Threshold, load, agedShare), true, map[string]policy.ShedPosition{}
			for name, threshold := range p.level.ServiceThresholds {
				if threshold = AgedThreshold(threshold, p.ServiceLoads[name], agedShare); threshold < policy.ShedNothing {
					p.serviceThresholds[name] = threshold
				}
			}
		}
	}
	if p.LocalOnly {
		standing.Disconnected = false
	}
	if p.wasDisconnected && !standing.Disconnected { // connected again: the cluster's level applies until it sheds alone anew
		p.shedsAlone, p.soleSince = false, 0
	}
	p.wasDisconnected = standing.Disconnected
	switch {
	case p.LocalOnly, standing.Disconnected:
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
		p.controller = Controller{}
		p.standing = standing
		return standing
	}
	ownThreshold := p.controller.Step(now, ownPressure, load, served, standing.Threshold)
	if !standing.Disconnected && !p.LocalOnly && p.controller.Rate() == 0 && ownPressure < calm {
		p.shedsAlone, p.soleSince = false, 0
	}
	if ownThreshold < standing.Threshold {
		standing.Threshold, standing.ShedsAlone = ownThreshold, true
	}
	p.standing = standing
	return standing
}
