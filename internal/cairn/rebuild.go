package cairn

// Where so many machines are gone for good that no majority of the core can come back, an operator may have a
// new core begun from one whole copy. Nothing agrees on that: it is for the operator to know that the others
// never start again with their disks, and that no newer copy is left. The new view's number is far above any
// that the old core can have reached, so that whoever of it comes back after all follows, and joins.

// rebuildStep is how far the view number goes up: more than the old core could count meanwhile.
const rebuildStep = 1 << 20

// counted notes since when no majority of the core has been heard, and when one was heard again.
func (m *Machine) counted() {
	if m.view.No == 0 || m.hearsMajority() {
		if m.alone > 0 {
			m.regained = m.now
		}
		m.alone = 0
	} else if m.alone == 0 {
		m.alone = m.now
	}
}

// lostFor is how long no majority of the core has been heard.
func (m *Machine) lostFor() float64 {
	if m.alone == 0 {
		return 0
	}
	return m.now - m.alone
}

func (m *Machine) rebuild(r Rebuild) {
	newer := false
	for _, x := range m.known() {
		p := m.peers[x]
		newer = newer || m.hearsAt(x) && (p.beat.View > m.view.No || p.beat.Whole && m.last().less(p.beat.Last))
	}
	if m.lostFor() < m.c.Lost || !m.isWhole() || m.last() != r.Last || newer {
		m.out.Done = append(m.out.Done, Result{ID: r.ID, Outcome: Unavailable})
		return
	}
	only := []Ident{m.self}
	m.enterView(View{No: m.view.No + rebuildStep, Chain: only, Core: only, Removed: m.view.Removed + 1, Epoch: m.view.Epoch + rebuildStep,
		Seats: max(m.view.Seats, len(m.view.Core))}, true)
	m.out.Done = append(m.out.Done, Result{ID: r.ID, Outcome: OK})
}
