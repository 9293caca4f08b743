package chain

import (
	"math"
	"slices"
)

// leaseState is the state of the tail's leases. They keep an old tail from answering reads once a later
// view may have changed the state: a granter delays its vote for the next view until its grant has
// run out. The vote is what must wait, not the promise, because a view can be decided by votes of
// members that never promised. Times are in milliseconds of the local clock.
type leaseState struct {
	requestSentAt map[uint64]float64    // at the tail: when each lease request was sent
	lastRequest   uint64                // at the tail: number of the last request
	grantedUntil  map[MachineID]float64 // at the tail: until when each member's lease holds
	grants        map[MachineID]grant   // leases granted by this machine
	noVoteBefore  float64               // no vote before this time, because an earlier incarnation may have granted leases
	noGrantBefore float64               // no grants before this time, because a ballot is in progress
	heldFrom      MachineID
	heldVote      *Accept // a vote request that waits for granted leases to run out
}

// grant is a lease granted by this machine.
type grant struct {
	request, incarnation uint64
	expiresAt            float64
}

// resetLeases resets the lease state of a view.
func (m *Machine) resetLeases() {
	m.requestSentAt, m.grantedUntil, m.grants = map[uint64]float64{}, map[MachineID]float64{}, map[MachineID]grant{}
	m.heldVote, m.noGrantBefore = nil, 0
}

// nextLeaseRequest returns the number of a new lease request, or 0 if this machine must not request
// one. The number ties a grant to its request, so that the lease counts from the time of the
// request.
func (m *Machine) nextLeaseRequest() uint64 {
	if !m.isTail() || m.accepted != nil || m.now < m.noGrantBefore {
		return 0
	}
	m.lastRequest++
	m.requestSentAt[m.lastRequest] = m.now
	for number, sentAt := range m.requestSentAt {
		if sentAt+m.config.LeaseDuration < m.now {
			delete(m.requestSentAt, number)
		}
	}
	return m.lastRequest
}

// grantLease grants the tail a lease unless this machine has voted for a later view or is about to.
func (m *Machine) grantLease(from MachineID, heartbeat Heartbeat) {
	if heartbeat.LeaseRequest == 0 || heartbeat.View != m.view.Number || m.accepted != nil || m.now < m.noGrantBefore || !m.inCore() ||
		len(m.view.Chain) == 0 || from != m.view.Chain[len(m.view.Chain)-1] {
		return
	}
	m.grants[from] = grant{request: heartbeat.LeaseRequest, incarnation: heartbeat.Incarnation, expiresAt: m.now + m.config.LeaseDuration + m.config.LeaseSlack}
	m.send(from, Message{Grant: &LeaseGrant{View: heartbeat.View, Request: heartbeat.LeaseRequest, Incarnation: heartbeat.Incarnation}})
}

// handleGrant records a lease that this machine, as the tail, was granted.
func (m *Machine) handleGrant(from MachineID, msg LeaseGrant) {
	requestedAt, ok := m.requestSentAt[msg.Request]
	if !ok || msg.Incarnation != m.incarnation || msg.View != m.view.Number {
		return
	}
	m.grantedUntil[from] = max(m.grantedUntil[from], requestedAt+m.config.LeaseDuration)
}

// releaseLeases ends the tail's own leases, so that a view change need not wait for them to run out.
// Requests that are still unanswered are dropped with them.
func (m *Machine) releaseLeases() {
	if !m.isTail() || m.lastRequest == 0 || len(m.requestSentAt) == 0 && len(m.grantedUntil) == 0 {
		return
	}
	m.requestSentAt, m.grantedUntil = map[uint64]float64{}, map[MachineID]float64{}
	for _, member := range m.view.Core {
		if member != m.self {
			m.send(member, Message{Release: &LeaseGrant{View: m.view.Number, Request: m.lastRequest, Incarnation: m.incarnation}})
		}
	}
}

// handleRelease ends a grant that its holder no longer uses. The request number keeps a delayed release
// from ending a newer grant.
func (m *Machine) handleRelease(from MachineID, msg LeaseGrant) {
	if held, ok := m.grants[from]; ok && msg.View == m.view.Number && held.incarnation == msg.Incarnation && held.request <= msg.Request {
		delete(m.grants, from)
		m.castHeldVote()
	}
}

// mayVote reports whether all leases that this machine may have granted have ended.
func (m *Machine) mayVote() bool {
	if m.faults.voteDespiteLeases {
		return true
	}
	if m.now < m.noVoteBefore {
		return false
	}
	for _, g := range m.grants {
		if m.now < g.expiresAt {
			return false
		}
	}
	return true
}

// castHeldVote casts a held-back vote once it is allowed.
func (m *Machine) castHeldVote() {
	if m.heldVote != nil && m.mayVote() {
		vote, from := *m.heldVote, m.heldFrom
		m.heldVote = nil
		m.handleAccept(from, vote)
	}
}

// leasedUntil returns the time until which a majority of the core, including the tail itself, has
// granted leases.
func (m *Machine) leasedUntil() float64 {
	if !m.isTail() || !m.inCore() || m.accepted != nil {
		return math.Inf(-1)
	}
	var expiries []float64
	for _, member := range m.view.Core {
		if member == m.self {
			expiries = append(expiries, m.now+m.config.LeaseDuration) // the tail stops answering as soon as it votes itself
		} else if expiry, ok := m.grantedUntil[member]; ok {
			expiries = append(expiries, expiry)
		}
	}
	quorum := len(m.view.Core)/2 + 1
	if len(expiries) < quorum {
		return math.Inf(-1)
	}
	slices.Sort(expiries)
	return expiries[len(expiries)-quorum]
}
