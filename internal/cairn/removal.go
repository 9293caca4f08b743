package cairn

import "slices"

// A machine that is gone for good still counts towards the size of the core. An operator may order
// its removal: a view without it, agreed on like every view by a majority of the core that still
// includes it. Only a silent machine outside the chain is removed, and one at a time. If it returns
// after all, it joins like any machine outside the core.

const (
	removalTimeout       = 4000.0 // milliseconds after which an order is given up
	removalOrderLifetime = 2000.0 // milliseconds for which a member of the chain honors an order
)

// removalState is the state of operators' orders to remove machines.
type removalState struct {
	pendingRemovals  []*pendingRemoval // orders of local callers
	removalTarget    *Ident            // the machine to remove by the newest order received
	removalExpiresAt float64           // when that order expires
}

// pendingRemoval is a removal order of a local caller that is not answered yet.
type pendingRemoval struct {
	Drop
	deadline, sentAt float64
}

// resendRemovals sends pending removal orders to the chain until the core has no member at that
// address or the order times out.
func (m *Machine) resendRemovals() {
	m.pendingRemovals = slices.DeleteFunc(m.pendingRemovals, func(removal *pendingRemoval) bool {
		index := slices.IndexFunc(m.view.Core, func(member Ident) bool { return member.Addr == removal.Addr })
		finish := func(outcome Outcome) bool {
			m.output.Done = append(m.output.Done, Result{ID: removal.ID, Outcome: outcome})
			return true
		}
		switch {
		case m.view.No == 0:
			return finish(Unavailable)
		case index < 0:
			return finish(OK)
		case m.now >= removal.deadline:
			return finish(Unknown)
		case m.now-removal.sentAt >= m.config.Again:
			removal.sentAt = m.now
			msg := Forget{View: m.view.No, Who: m.view.Core[index]}
			if slices.Contains(m.view.Chain, msg.Who) && m.isReachable(msg.Who) {
				return finish(Unavailable) // the machine is running
			}
			for _, member := range m.view.Chain {
				m.send(member, Message{Forget: &msg})
			}
		}
		return false
	})
}

// handleRemoval notes an operator's order to remove a machine from the core of the current view.
func (m *Machine) handleRemoval(msg Forget) {
	if msg.View == m.view.No {
		m.removalTarget, m.removalExpiresAt = &msg.Who, m.now+removalOrderLifetime
	}
}

// machineToRemove returns the machine that the core of the next view should lack, or nil.
func (m *Machine) machineToRemove() *Ident {
	if m.removalTarget == nil || m.now >= m.removalExpiresAt {
		return nil
	}
	if target := *m.removalTarget; slices.Contains(m.view.Core, target) && !slices.Contains(m.view.Chain, target) && !m.isReachable(target) {
		return &target
	}
	return nil
}
