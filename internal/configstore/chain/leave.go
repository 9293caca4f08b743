package chain

import "slices"

// A process that is asked to end announces it in its heartbeats. The leader of the next ballot
// proposes a view whose chain does without it, if one can be formed. The process stays until it
// knows that this view has been opened, since the others then hold everything it held. A restart
// looks the same to the others, and the machine returns like any member that was away.

// startLeaving announces that the process is about to end.
func (m *Machine) startLeaving() {
	m.leaving, m.nextHeartbeat = true, m.now
}

// MayEnd reports whether the process may end without taking data with it that the others lack.
func (m *Machine) MayEnd() bool {
	if m.faults.leaveAtOnce && m.leaving {
		return true
	}
	if !m.leaving || m.chainIndex() >= 0 {
		return false
	}
	opened := func(id MachineID) bool {
		p := m.peers[id]
		return p != nil && p.heartbeat.View == m.view.Number && p.heartbeat.Committed.View == m.view.Number
	}
	// A machine that waits for a seat must get this one first: until then, one more loss could leave
	// the core without a majority.
	othersWait := m.inCore() && slices.ContainsFunc(m.knownPeers(), func(id MachineID) bool {
		return !slices.Contains(m.view.Core, id) && m.hears(id) && !m.peers[id].heartbeat.Leaving
	})
	return m.view.Number == 0 || !othersWait && slices.ContainsFunc(m.view.Chain, opened)
}
