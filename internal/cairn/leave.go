package cairn

import "slices"

// A process that is asked to end says so with its beats. Whoever leads proposes a view whose chain does without
// it, if one can be formed, and it stays until it knows that this view has opened: the others then hold all
// that it held. A restart looks the same, and the machine comes back as any member that was away.

func (m *Machine) leave() {
	m.leaving, m.nextBeat = true, m.now
}

// Left says whether the process may end without taking anything with it that others lack.
func (m *Machine) Left() bool {
	if m.faults.hasty && m.leaving {
		return true
	}
	if !m.leaving || m.place() >= 0 {
		return false
	}
	opened := func(x Ident) bool {
		p := m.peers[x]
		return p != nil && p.beat.View == m.view.No && p.beat.Committed.View == m.view.No
	}
	// Who waits for a seat is to have this one first: until then one more loss might leave no majority.
	ready := m.votes() && slices.ContainsFunc(m.known(), func(x Ident) bool {
		return !slices.Contains(m.view.Core, x) && m.hearsAt(x) && !m.peers[x].beat.Leaving
	})
	return m.view.No == 0 || !ready && slices.ContainsFunc(m.view.Chain, opened)
}
