package chain

import "slices"

// The core changes only by agreement: each view names its core, and a majority of the previous core
// has voted for it. A seat is one member's slot in the core. The number of seats is fixed, and one
// view changes at most one of them, except under the first rule:
//
//   - A machine that takes part in the cluster's first start but is not among the configured seeds
//     adds a seat of its own, even if it lost its disk before it got the seat, as long as a member
//     remembers its address. One view may add several such seats, up to half of the core: added one
//     by one, a core of thirty took longer to grow than clients wait for the first start.
//   - A machine with an empty disk gets the seat of its own address.
//   - Any other joining machine gets a snapshot and waits. It takes a free seat; or else the seat of the
//     member that nobody has heard for the longest time, and for at least the configured time; or else the
//     seat of a member that is leaving.
//
// A seat is never vacated without a successor: a member that is away counts until another machine
// takes its place. Whichever members are gone for good, no view therefore tolerates fewer losses
// than the view before it. A machine that lost its seat while it was only partitioned, frozen or
// slow cannot decide anything with the old core; it learns of the new one and joins again.

// silentFor returns for how many milliseconds a machine has not been heard. After a start, every
// machine counts from the start.
func (m *Machine) silentFor(id MachineID) float64 {
	since := m.startedAt
	if sender := m.peers[id]; sender != nil {
		since = max(since, sender.heardAt)
	}
	return m.now - since
}

// isUnheard reports whether no reachable member of the core hears a machine.
func (m *Machine) isUnheard(id MachineID) bool {
	index := slices.Index(m.view.Core, id)
	for _, member := range m.view.Core {
		if member == m.self && m.hears(id) {
			return false
		}
		if report, ok := m.lastReport(member); member != id && ok && m.isReachable(member) && index < 64 && report.Hears>>index&1 == 1 {
			return false
		}
	}
	return true
}

// isLeaving reports whether a machine has announced that its process is about to end.
func (m *Machine) isLeaving(id MachineID) bool {
	report, _ := m.lastReport(id)
	return report.Leaving
}

// vacantSeat returns the member whose seat another machine may take: the one that has been silent for
// the longest time, and for at least the given one; or else one that is leaving. While another
// member has been silent for a shorter time, a leaving member keeps its seat: it may return soon,
// and the silent one may not.
func (m *Machine) vacantSeat(chain []MachineID, minSilence float64) (vacant *MachineID) {
	var leaving *MachineID
	recentlySilent := false
	for _, member := range m.view.Core {
		if slices.Contains(chain, member) || member == m.self && !m.leaving {
			continue
		}
		silent := member != m.self && !m.isReachable(member) && (m.isUnheard(member) || m.faults.takeHeardSeats)
		switch silence := m.silentFor(member); {
		case silent && silence >= minSilence:
			vacant, minSilence = &member, silence
		case m.isLeaving(member):
			leaving = &member
		case silent:
			recentlySilent = true
		}
	}
	if vacant == nil && !recentlySilent {
		return leaving
	}
	return vacant
}

// notePendingSeat remembers a machine that takes part in the first start and has no seat yet.
func (m *Machine) notePendingSeat(from MachineID, heartbeat Heartbeat) {
	sameAddr := func(member MachineID) bool { return member.Addr == from.Addr }
	if heartbeat.FirstStart && !slices.ContainsFunc(m.view.Core, sameAddr) {
		m.pendingSeats[from.Addr] = true
	}
}

// addsSeat reports whether a joining machine adds a seat of its own.
func (m *Machine) addsSeat(id MachineID, heartbeat Heartbeat) bool {
	return heartbeat.FirstStart || m.pendingSeats[id.Addr]
}

// mayGetSeat reports whether a joining machine may get a seat now or could get one soon.
func (m *Machine) mayGetSeat(id MachineID, heartbeat Heartbeat) bool {
	return len(m.view.Core) < m.view.Seats || m.addsSeat(id, heartbeat) || m.vacantSeat(nil, m.config.SuspectTimeout) != nil
}

// needsSnapshot reports whether a machine outside the chain needs a snapshot: it has received none
// in this view; or it waits for a seat that it may soon get, and lacks committed entries, and its
// last snapshot is older than the silence that makes a seat vacant. The age limit matters because
// frequent changes make any copy outdated.
func (m *Machine) needsSnapshot(id MachineID, heartbeat Heartbeat) bool {
	if !heartbeat.HasSnapshot {
		return true
	}
	sameAddr := func(member MachineID) bool { return member.Addr == id.Addr }
	_, knownEntry := m.findEntry(heartbeat.Last)
	return !knownEntry && m.now-m.peers[id].snapshotSentAt > m.config.VacantTimeout && !slices.ContainsFunc(m.view.Core, sameAddr) && m.mayGetSeat(id, heartbeat)
}

// readyJoiners returns the machines outside the core that hold a snapshot and are connected in both
// directions with all members of the chain.
func (m *Machine) readyJoiners() (ready []MachineID) {
	for _, id := range m.knownPeers() {
		report, ok := m.lastReport(id)
		if !ok || !report.HasSnapshot || report.Leaving || slices.Contains(m.view.Core, id) || !m.isReachable(id) {
			continue
		}
		connected := true
		for index, member := range m.view.Core {
			connected = connected && (member == m.self || index >= 64 || report.Hears>>index&1 == 1 || !slices.Contains(m.view.Chain, member) || !m.isReachable(member))
		}
		if connected && !m.needsSnapshot(id, report) {
			ready = append(ready, id)
		}
	}
	return ready
}

// additionalSeats returns the joining machines after the first that add seats of their own, as many as
// one view may add: the previous members must remain the larger part.
func (m *Machine) additionalSeats(joiners []MachineID) (added []MachineID) {
	maxAdded := len(m.view.Core)/2 - 1
	for _, id := range joiners[1:] {
		report, _ := m.lastReport(id)
		sameAddr := func(member MachineID) bool { return member.Addr == id.Addr }
		if len(added) < maxAdded && m.addsSeat(id, report) && !slices.ContainsFunc(m.view.Core, sameAddr) && !slices.ContainsFunc(added, sameAddr) && id.Addr != joiners[0].Addr {
			added = append(added, id)
		}
	}
	return added
}

// assignSeats returns the next view with the given chain, with at most one seat changed or some seats
// added.
func (m *Machine) assignSeats(chain []MachineID) View {
	next := View{Number: m.view.Number + 1, Chain: chain, Core: slices.Clone(m.view.Core), Epoch: m.view.Epoch, Removed: m.view.Removed,
		Seats: max(m.view.Seats, len(m.view.Core))}
	joiners := m.readyJoiners()
	if len(joiners) == 0 {
		if vacant := m.machineToRemove(); vacant != nil {
			next.removeMember(*vacant)
			next.Epoch++
		}
		return next
	}
	joiner := joiners[0]
	report, _ := m.lastReport(joiner)
	if index := slices.IndexFunc(next.Core, func(member MachineID) bool { return member.Addr == joiner.Addr }); index >= 0 {
		next.Core[index] = joiner
		next.Chain = append(slices.DeleteFunc(next.Chain, func(member MachineID) bool { return member.Addr == joiner.Addr }), joiner)
		return next
	}
	vacant := m.vacantSeat(chain, m.config.VacantTimeout)
	switch {
	case m.addsSeat(joiner, report) || m.faults.alwaysAddSeats:
		added := m.additionalSeats(joiners)
		next.Chain, next.Core = append(next.Chain, added...), append(next.Core, added...)
		vacant, next.Seats = nil, next.Seats+1+len(added)
	case len(next.Core) < next.Seats:
		vacant = nil
	case vacant == nil:
		return next // every seat is taken by a running member
	}
	next.Chain, next.Core = append(next.Chain, joiner), append(next.Core, joiner)
	if vacant != nil {
		next.removeMember(*vacant)
	}
	next.Epoch++
	return next
}

// removeMember removes a member from the core.
func (v *View) removeMember(gone MachineID) {
	v.Core = slices.DeleteFunc(v.Core, func(member MachineID) bool { return member == gone })
	v.Removed++
}
