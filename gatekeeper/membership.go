package gatekeeper

import "foxwood/policy"

// Among informs the decision module how many gatekeepers there are, and which index
// this one has among them.
func (g *Gatekeeper) Among(self, gatekeepers int) {
	if m, ok := g.module.(interface {
		Among(now policy.Micros, host policy.Host, self, gateways int)
	}); ok {
		g.dispatch(func(now policy.Micros) { m.Among(now, g, self, gatekeepers) })
	}
}

// Stand informs the decision module of this gatekeeper's rank among those of its zone.
func (g *Gatekeeper) Stand(ring policy.Ring) {
	if m, ok := g.module.(interface {
		Stand(now policy.Micros, host policy.Host, ring policy.Ring)
	}); ok {
		g.dispatch(func(now policy.Micros) { m.Stand(now, g, ring) })
	}
}
