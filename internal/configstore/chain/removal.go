package chain

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
	removalTarget    *MachineID        // the machine to remove by the newest order received
	removalExpiresAt float64           // when that order expires
}

// pendingRemoval is a removal order of a local caller that is not answered yet.
type pendingRemoval struct {
	Remove
	deadline, sentAt float64
}

// resendRemovals sends pending removal orders to the chain until the core has no member at that
// address or the order times out.
func (m *Machine) resendRemovals() {
	m.pendingRemovals = slices.DeleteFunc(m.pendingRemovals, func(removal *pendingRemoval) bool {
		index := slices.IndexFunc(m.view.Core, func(member MachineID) bool { return member.Addr == removal.Addr })
		finish := func(outcome Outcome) bool {
			m.output.Results = append(m.output.Results, Result{ID: removal.ID, Outcome: outcome})
			return true
		}
		switch {
		case m.view.Number == 0:
			return finish(Unavailable)
		case index < 0:
			return finish(OK)
		case m.now >= removal.deadline:
			return finish(Unknown)
		case m.now-removal.sentAt >= m.config.RetryDelay:
			removal.sentAt = m.now
			msg := RemovalOrder{View: m.view.Number, Member: m.view.Core[index]}
			if slices.Contains(m.view.Chain, msg.Member) && m.isReachable(msg.Member) {
				return finish(Unavailable) // the machine is running
			}
			for _, member := range m.view.Chain {
				m.send(member, Message{Removal: &msg})
			}
		}
		return false
	})
}

// handleRemoval notes an operator's order to remove a machine from the core of the current view.
func (m *Machine) handleRemoval(msg RemovalOrder) {
	if msg.View == m.view.Number {
		m.removalTarget, m.removalExpiresAt = &msg.Member, m.now+removalOrderLifetime
	}
}

// machineToRemove returns the machine that the core of the next view should lack, or nil.
func (m *Machine) machineToRemove() *MachineID {
	if m.removalTarget == nil || m.now >= m.removalExpiresAt {
		return nil
	}
	if target := *m.removalTarget; slices.Contains(m.view.Core, target) && !slices.Contains(m.view.Chain, target) && !m.isReachable(target) {
		return &target
	}
	return nil
}
