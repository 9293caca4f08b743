package cairn

import "slices"

// The core changes by agreement alone: each view names the next core, and a majority of the core before has
// voted for it. One view changes one seat:
//
//   - A newcomer that has been filled gets the seat of a member that is leaving, or else of the one that nobody
//     has heard for longest, for Vacant at least. Where all are heard the core grows. While one has fallen
//     silent a newcomer waits: it is about to be heard again, or its seat falls vacant.
//   - A machine with an empty disk gets the seat of its own address.
//   - A core of an even number does without a member that is leaving, or has not been heard for Rest: any
//     majority of the even core holds a majority of the odd one that is left, so nothing that could be decided
//     before can't be now. In a core of an odd number a seat waits for a newcomer.
//
// So whichever members are gone for good, no view leaves fewer losses to bear than the one before it. Who lost
// a seat and was only cut off, frozen or slow can decide nothing with the old core, hears of the new one, is
// filled and joins as a newcomer.

// silence is how long a machine has not been heard. After a start everyone is given the time to speak.
func (m *Machine) silence(x Ident) float64 {
	at := m.start
	if p := m.peers[x]; p != nil {
		at = max(at, p.heard)
	}
	return m.now - at
}

// unheard says whether no member of the core that is there hears another one.
func (m *Machine) unheard(x Ident) bool {
	i := slices.Index(m.view.Core, x)
	for _, y := range m.view.Core {
		if y == m.self && m.hearsAt(x) {
			return false
		}
		if b, ok := m.report(y); y != x && ok && m.live(y) && i < 64 && b.Hears>>i&1 == 1 {
			return false
		}
	}
	return true
}

// leaves says whether a machine has said that its process is about to end.
func (m *Machine) leaves(x Ident) bool {
	b, _ := m.report(x)
	return b.Leaving
}

// newcomer is a machine outside the core that is filled and has a path with all members of the chain.
func (m *Machine) newcomer() *Ident {
	for _, x := range m.known() {
		b, ok := m.report(x)
		if !ok || !b.Filled || b.Leaving || slices.Contains(m.view.Core, x) || !m.live(x) {
			continue
		}
		all := true
		for i, y := range m.view.Core {
			all = all && (y == m.self || i >= 64 || b.Hears>>i&1 == 1 || !slices.Contains(m.view.Chain, y) || !m.live(y))
		}
		if all {
			return &x
		}
	}
	return nil
}

// seats is the core that a chain is to have, who joins it, its epoch, and how many seats have been removed.
func (m *Machine) seats(chain []Ident) (core []Ident, join *Ident, epoch, removed uint64) {
	core, join, epoch, removed = slices.Clone(m.view.Core), m.newcomer(), m.view.Epoch, m.view.Removed
	var gone *Ident
	if join != nil {
		if i := slices.IndexFunc(core, func(x Ident) bool { return x.Addr == join.Addr }); i >= 0 {
			core[i] = *join
			return core, join, epoch, removed
		}
		vacant, wait := m.vacant(chain, m.c.Vacant)
		if wait {
			return core, nil, epoch, removed
		}
		gone, core = vacant, append(core, *join)
	} else if gone = m.forgotten(); gone == nil && len(core)%2 == 0 {
		gone, _ = m.vacant(chain, m.c.Rest)
	}
	if gone != nil {
		core = slices.DeleteFunc(core, func(x Ident) bool { return x == *gone })
		removed++
	}
	if gone != nil || join != nil {
		epoch++
	}
	return core, join, epoch, removed
}

// vacant is the member of the core whose seat another may have: one that is leaving, or the one that has been
// silent for longest. Where some are silent for less than that, wait is set.
func (m *Machine) vacant(chain []Ident, after float64) (gone *Ident, wait bool) {
	most := 0.0
	for _, x := range m.view.Core {
		if x == m.self && !m.leaving || slices.Contains(chain, x) {
			continue
		}
		if m.leaves(x) {
			return &x, false
		}
		if m.live(x) || !m.unheard(x) {
			continue
		}
		if s := m.silence(x); s < after {
			wait = true
		} else if s > most {
			gone, most = &x, s
		}
	}
	return gone, wait && gone == nil
}
