package policy

import (
	"cmp"
	"slices"
)

// What the module thinks at a moment, for people who ask why it decided as it did.
// Nothing is decided here, and nothing is changed.

// View is the module's state as far as it bears on a request of one customer.
type View struct {
	Bound    float64 // on attempts out
	InFlight int     // attempts out
	Stuck    int     // of them, on servers that are silent
	Held     int     // requests that wait for room
	Calls    float64 // part of the counter calls that are made
	Known    bool    // whether there is a record of the customer
	Customer CustomerView
	Servers  []ServerView // in this gateway's own order
}

// CustomerView is the record of a customer, brought to the present. Units are of quota.
type CustomerView struct {
	Tokens     float64 // in its bucket here
	Store      float64 // that the bucket holds at most
	Rate       float64 // units a second that it fills by
	Share      float64 // our part of the quota
	Shared     bool    // whether its store is kept on the counter
	Level      float64 // in the shared store, by what is known
	OthersRate float64 // units a second that the other gateways use
	HeardAge   Micros  // since the last total, -1 before the first
	Ceiling    bool
	Guard      float64 // in our part of the ceiling's store
	Pending    float64 // units admitted and not sent
	Open       int     // attempts out
	// Windows are what is drawn on the counter by windows of time, where our own part is too
	// thin: the quota's, and a leased part of the ceiling's.
	Windows []WindowView
}

// WindowView is what all gateways may draw together in one window of time.
type WindowView struct {
	Lease bool // of the ceiling
	Pool  float64
	Lasts Micros
	Spent bool // the present one is known to be
}

// ServerView is the record of a server.
type ServerView struct {
	Server   Server
	State    State
	Listed   bool
	Open     int     // own attempts out
	Load     float64 // their work, in average ones
	Slowness float64 // against the fleet's latency
	Cost     float64 // by which it is chosen, before chance
	Shut     Micros  // for which it is shut off, 0 where it is not
	Full     Micros  // for which it is left alone as full
	Cold     bool
}

// View is the module's state at a time, for a customer under a plan.
func (g *Gateway) View(now Micros, customer uint64, plan int) View {
	g.now = now
	v := View{Bound: g.bound, InFlight: g.inFlight, Stuck: g.stuck, Held: g.queued, Calls: g.calls}
	for _, s := range g.servers {
		sv := ServerView{Server: s.id, State: s.e.State, Listed: s.listed, Open: s.open, Load: s.load,
			Slowness: g.relOf(s), Cost: g.cost(s), Full: max(s.fullUntil-now, 0), Cold: g.cold(s)}
		if s.ejected {
			sv.Shut = max(s.retryAt-now, 0)
		}
		v.Servers = append(v.Servers, sv)
	}
	known := g.customers[recordKey(customer, plan)]
	if known == nil {
		return v
	}
	c := *known // the present of a copy
	g.refill(&c)
	v.Known = true
	v.Customer = CustomerView{Tokens: c.tokens, Store: g.store(&c), Rate: g.rate(&c) * g.currentShare(&c), Share: g.currentShare(&c),
		Shared: g.shared(&c), HeardAge: -1, Ceiling: c.plan.CeilingRate > 0, Guard: c.guard, Pending: c.pending, Open: c.open}
	if v.Customer.Shared {
		g.flow(&c)
		v.Customer.Level, v.Customer.OthersRate = c.level, c.othersRate
		if c.heardAt > 0 {
			v.Customer.HeardAge = now - c.heardAt
		}
	}
	if g.thin(&c) {
		v.Customer.Windows = append(v.Customer.Windows, g.windowView(&c, drawUnits))
	}
	if g.leased(c.plan) {
		v.Customer.Windows = append(v.Customer.Windows, g.windowView(&c, drawLease))
	}
	return v
}

func (g *Gateway) windowView(c *customer, kind int) WindowView {
	n, window, pool := g.terms(c, kind)
	return WindowView{Lease: kind == drawLease, Pool: pool, Lasts: window, Spent: c.spent[kind] == n}
}

// Standings tells what the module thinks of its servers, and how many attempts it
// would have out at once. It changes nothing.
func (g *Gateway) Standings(now Micros) (list []Standing, bound float64) {
	g.now = now
	for _, s := range g.servers {
		if !s.listed {
			continue
		}
		part := 1 / (g.relOf(s) * g.dear(s))
		if g.cold(s) {
			part *= g.warmth(s)
		}
		shut := s.ejected && now < s.retryAt || now < s.fullUntil
		list = append(list, Standing{Server: s.id, State: s.e.State, Shut: shut, Part: part, Zone: s.e.Zone})
	}
	slices.SortFunc(list, func(a, b Standing) int { return cmp.Compare(a.Server, b.Server) })
	return list, g.bound
}
