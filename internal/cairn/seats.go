package cairn

import "slices"

// The core changes by agreement alone: each view names the next core, and a majority of the core before has
// voted for it. It has a fixed number of seats, and one view changes one of them, but for the first rule:
//
//   - The machines of the very first start that the settings of none named add a seat each, also one that lost its
//     disk before it had it, as long as a member knows its address from then. One view may add several, up to half of the core:
//     one by one, a core of thirty took longer to grow than clients wait for the first start.
//   - A machine with an empty disk gets the seat of its own address.
//   - Any other newcomer is filled and waits at the ready. It gets a seat that is free, else that of the member
//     that nobody has heard for longest, and for Vacant at least, else that of a member that is leaving.
//
// A seat is never given up to nobody: a member that is away counts until another one is there in its place. So
// whichever members are gone for good, no view leaves fewer losses to bear than the one before it. Who lost a
// seat and was only cut off, frozen or slow can decide nothing with the old core, hears of the new one, and is
// a newcomer from then on.

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

// vacant is the member whose seat another may have: the one that has been silent for longest, and for that long at
// least; else one that is leaving. While one has fallen silent a moment ago a leaver keeps its seat: it may be back soon,
// and the silent one may not.
func (m *Machine) vacant(chain []Ident, after float64) (gone *Ident) {
	var leaver *Ident
	doubt := false
	for _, x := range m.view.Core {
		if slices.Contains(chain, x) || x == m.self && !m.leaving {
			continue
		}
		silent := x != m.self && !m.live(x) && (m.unheard(x) || m.faults.grabs)
		switch s := m.silence(x); {
		case silent && s >= after:
			gone, after = &x, s
		case m.leaves(x):
			leaver = &x
		case silent:
			doubt = true
		}
	}
	if gone == nil && !doubt {
		return leaver
	}
	return gone
}

// noteFirst remembers who said that it was there at the very first start and has no seat yet.
func (m *Machine) noteFirst(from Ident, b Beat) {
	seat := func(x Ident) bool { return x.Addr == from.Addr }
	if b.First && !slices.ContainsFunc(m.view.Core, seat) {
		m.awaited[from.Addr] = true
	}
}

// bringsSeat says whether a newcomer brings a seat of its own.
func (m *Machine) bringsSeat(x Ident, b Beat) bool { return b.First || m.awaited[x.Addr] }

// open says whether a newcomer may have a seat, or could have one soon.
func (m *Machine) open(x Ident, b Beat) bool {
	return len(m.view.Core) < m.view.Seats || m.bringsSeat(x, b) || m.vacant(nil, m.c.Suspect) != nil
}

// stale says whether a machine outside the chain must be given the whole state to go on: it has not got it in
// this view, or it is at the ready, may soon have a seat, and has missed what is committed since, for longer
// than a busy operator takes to make any copy old.
func (m *Machine) stale(x Ident, b Beat) bool {
	if !b.Filled {
		return true
	}
	seat := func(y Ident) bool { return y.Addr == x.Addr }
	_, holds := m.holds(b.Last)
	return !holds && m.now-m.peers[x].filled > m.c.Vacant && !slices.ContainsFunc(m.view.Core, seat) && m.open(x, b)
}

// newcomers are the machines outside the core that are filled and have a path with all members of the chain.
func (m *Machine) newcomers() (ready []Ident) {
	for _, x := range m.known() {
		b, ok := m.report(x)
		if !ok || !b.Filled || b.Leaving || slices.Contains(m.view.Core, x) || !m.live(x) {
			continue
		}
		near := true
		for i, y := range m.view.Core {
			near = near && (y == m.self || i >= 64 || b.Hears>>i&1 == 1 || !slices.Contains(m.view.Chain, y) || !m.live(y))
		}
		if near && !m.stale(x, b) {
			ready = append(ready, x)
		}
	}
	return ready
}

// withSeats are those of the newcomers behind the first that come with seats of their own, as many as may join in the same
// view: the members of before must stay the larger part.
func (m *Machine) withSeats(newcomers []Ident) (more []Ident) {
	most := len(m.view.Core)/2 - 1
	for _, x := range newcomers[1:] {
		b, _ := m.report(x)
		seat := func(y Ident) bool { return y.Addr == x.Addr }
		if len(more) < most && m.bringsSeat(x, b) && !slices.ContainsFunc(m.view.Core, seat) && !slices.ContainsFunc(more, seat) && x.Addr != newcomers[0].Addr {
			more = append(more, x)
		}
	}
	return more
}

// seated is the next view with a chain, and with at most one seat changed or some seats added.
func (m *Machine) seated(chain []Ident) View {
	v := View{No: m.view.No + 1, Chain: chain, Core: slices.Clone(m.view.Core), Epoch: m.view.Epoch, Removed: m.view.Removed,
		Seats: max(m.view.Seats, len(m.view.Core))}
	ready := m.newcomers()
	if len(ready) == 0 {
		if gone := m.forgotten(); gone != nil {
			v.remove(*gone)
			v.Epoch++
		}
		return v
	}
	join := ready[0]
	b, _ := m.report(join)
	if i := slices.IndexFunc(v.Core, func(x Ident) bool { return x.Addr == join.Addr }); i >= 0 {
		v.Core[i] = join
		v.Chain = append(slices.DeleteFunc(v.Chain, func(x Ident) bool { return x.Addr == join.Addr }), join)
		return v
	}
	gone := m.vacant(chain, m.c.Vacant)
	switch {
	case m.bringsSeat(join, b) || m.faults.ghosts:
		more := m.withSeats(ready)
		v.Chain, v.Core = append(v.Chain, more...), append(v.Core, more...)
		gone, v.Seats = nil, v.Seats+1+len(more)
	case len(v.Core) < v.Seats:
		gone = nil
	case gone == nil:
		return v // all are there
	}
	v.Chain, v.Core = append(v.Chain, join), append(v.Core, join)
	if gone != nil {
		v.remove(*gone)
	}
	v.Epoch++
	return v
}

// remove takes a member out of the core.
func (v *View) remove(gone Ident) {
	v.Core = slices.DeleteFunc(v.Core, func(x Ident) bool { return x == gone })
	v.Removed++
}
