package gatekeeper

import "foxwood/policy"

// SetMembership informs the decision module how many gatekeepers there are, and which index
// this one has among them.
func (g *Gatekeeper) SetMembership(self, gatekeepers int) {
	if m, ok := g.module.(interface {
		SetGateways(now policy.Micros, host policy.Host, self, gateways int)
	}); ok {
		g.dispatch(func(now policy.Micros) { m.SetGateways(now, g, self, gatekeepers) })
	}
}

// SetZoneRank informs the decision module of this gatekeeper's rank among those of its zone.
func (g *Gatekeeper) SetZoneRank(ring policy.RingPlace) {
	if m, ok := g.module.(interface {
		SetRingPlace(now policy.Micros, host policy.Host, ring policy.RingPlace)
	}); ok {
		g.dispatch(func(now policy.Micros) { m.SetRingPlace(now, g, ring) })
	}
}
