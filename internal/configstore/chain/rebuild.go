package chain

// If so many machines are gone for good that no majority of the core can return, an operator may have a
// new core started from one complete copy. This step is not agreed on by a quorum: the operator must
// know that the others never start again with their disks and that no newer copy is left. The number
// of the new view is far above any that the old core can have reached, so that an old member that
// returns anyway adopts the new view and joins.

// rebuildViewStep is added to the view number by a rebuild. It exceeds the number of views that the old
// core could have decided meanwhile.
const rebuildViewStep = 1 << 20

// trackMajority records since when no majority of the core has been heard, and when one was heard
// again.
func (m *Machine) trackMajority() {
	if m.view.Number == 0 || m.hearsMajority() {
		if m.majorityLostAt > 0 {
			m.majorityRegainedAt = m.now
		}
		m.majorityLostAt = 0
	} else if m.majorityLostAt == 0 {
		m.majorityLostAt = m.now
	}
}

// majorityLostFor returns for how many milliseconds no majority of the core has been heard; 0 while
// one is.
func (m *Machine) majorityLostFor() float64 {
	if m.majorityLostAt == 0 {
		return 0
	}
	return m.now - m.majorityLostAt
}

// rebuildCore starts a new core of this machine alone. It is refused while a majority was heard
// recently, while this copy is incomplete or not the one named in the order, and while a newer copy
// is known.
func (m *Machine) rebuildCore(request Rebuild) {
	newerCopyKnown := false
	for _, id := range m.knownPeers() {
		sender := m.peers[id]
		newerCopyKnown = newerCopyKnown || m.hears(id) && (sender.heartbeat.View > m.view.Number || sender.heartbeat.Complete && m.lastPosition().less(sender.heartbeat.Last))
	}
	if m.majorityLostFor() < m.config.RebuildDelay || !m.isComplete() || m.lastPosition() != request.Last || newerCopyKnown {
		m.output.Results = append(m.output.Results, Result{ID: request.ID, Outcome: Unavailable})
		return
	}
	self := []MachineID{m.self}
	m.enterView(View{Number: m.view.Number + rebuildViewStep, Chain: self, Core: self, Removed: m.view.Removed + 1, Epoch: m.view.Epoch + rebuildViewStep,
		Seats: max(m.view.Seats, len(m.view.Core))}, true)
	m.output.Results = append(m.output.Results, Result{ID: request.ID, Outcome: OK})
}
