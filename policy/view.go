package policy

import (
	"cmp"
	"slices"
)

// Read-only views of the state, which show why the gateway decides as it does.

// View is the gateway's state as far as it affects the requests of one customer.
type View struct {
	InFlightLimit  float64 // limit on attempts in flight
	InFlight       int     // attempts in flight
	InFlightSilent int     // attempts in flight at silent servers
	Queued         int     // requests waiting in the queue
	CallFraction   float64 // fraction of the counter calls that are made
	Known          bool    // there is a record of the customer
	Customer       CustomerView
	Servers        []ServerView // in this gateway's own order
}

// CustomerView is the record of a customer, advanced to the present. Amounts are in units of quota.
type CustomerView struct {
	Tokens        float64 // in its bucket here
	Capacity      float64 // capacity of that bucket
	Rate          float64 // refill rate of that bucket, in units per second
	Share         float64 // our share of the quota
	Shared        bool    // its bucket is shared through the counter
	SharedTokens  float64 // estimated content of the shared bucket
	OthersRate    float64 // units per second used by the other gateways
	TotalAge      Micros  // since the last counter total, -1 before the first
	HasCeiling    bool
	CeilingTokens float64 // in our part of the ceiling's bucket
	Pending       float64 // units admitted and not sent yet
	InFlight      int     // attempts in flight
	// Windows are the counter windows that units are drawn from where our own part is too small: of the
	// quota, and of the leased part of a ceiling.
	Windows []WindowView
}

// WindowView is what all gateways together may draw in one window of time.
type WindowView struct {
	Lease  bool // of a ceiling
	Units  float64
	Length Micros
	Spent  bool // the current window is known to be spent
}

// ServerView is the record of a server.
type ServerView struct {
	Server     Server
	State      State
	Listed     bool
	InFlight   int     // our attempts in flight
	Work       float64 // their work, relative to the mean
	Slowness   float64 // latency relative to the fleet's
	Cost       float64 // cost by which it is chosen, before the random or rotating factor
	EjectedFor Micros  // remaining time of its ejection, 0 for none
	FullFor    Micros  // remaining time for which it gets no requests because it was full
	Cold       bool
}

// View returns the state at a time, for a customer under a plan.
func (g *Gateway) View(now Micros, customer uint64, plan int) View {
	g.now = now
	view := View{InFlightLimit: g.inFlightLimit, InFlight: g.inFlight, InFlightSilent: g.inFlightSilent, Queued: g.queued,
		CallFraction: g.callFraction}
	for _, srv := range g.servers {
		row := ServerView{Server: srv.id, State: srv.entry.State, Listed: srv.listed, InFlight: srv.inFlight,
			Work:     srv.work,
			Slowness: g.currentSlowness(srv), Cost: g.serverCost(srv), FullFor: max(srv.fullUntil-now,
				0), Cold: g.isCold(srv)}
		if srv.ejected {
			row.EjectedFor = max(srv.probeAt-now, 0)
		}
		view.Servers = append(view.Servers, row)
	}
	known := g.customers[recordKey(customer, plan)]
	if known == nil {
		return view
	}
	cust := *known // advance a copy only
	g.refill(&cust)
	view.Known = true
	view.Customer = CustomerView{Tokens: cust.tokens, Capacity: g.bucketCapacity(&cust),
		Rate: g.refillRate(&cust) * g.currentShare(&cust), Share: g.currentShare(&cust),
		Shared: g.usesSharedBucket(&cust), TotalAge: -1, HasCeiling: cust.plan.CeilingRate > 0,
		CeilingTokens: cust.ceilingTokens, Pending: cust.pending, InFlight: cust.inFlight}
	if view.Customer.Shared {
		g.advanceShared(&cust)
		view.Customer.SharedTokens, view.Customer.OthersRate = cust.sharedTokens, cust.othersRate
		if cust.totalAt > 0 {
			view.Customer.TotalAge = now - cust.totalAt
		}
	}
	if g.needsDraw(&cust) {
		view.Customer.Windows = append(view.Customer.Windows, g.windowView(&cust, drawUnits))
	}
	if g.ceilingLeased(cust.plan) {
		view.Customer.Windows = append(view.Customer.Windows, g.windowView(&cust, drawLease))
	}
	return view
}

func (g *Gateway) windowView(cust *customer, kind int) WindowView {
	number, window, pool := g.drawTerms(cust, kind)
	return WindowView{Lease: kind == drawLease, Units: pool, Length: window,
		Spent: cust.spentWindow[kind] == number}
}

// ServerStatuses returns the state of the listed servers and the limit on attempts in flight. It changes nothing.
func (g *Gateway) ServerStatuses(now Micros) (list []ServerStatus, bound float64) {
	g.now = now
	for _, srv := range g.servers {
		if !srv.listed {
			continue
		}
		weight := 1 / (g.currentSlowness(srv) * g.costFactor(srv))
		if g.isCold(srv) {
			weight *= g.warmFraction(srv)
		}
		unavailable := srv.ejected && now < srv.probeAt || now < srv.fullUntil
		list = append(list, ServerStatus{Server: srv.id, State: srv.entry.State, Unavailable: unavailable, Weight: weight,
			Zone: srv.entry.Zone})
	}
	slices.SortFunc(list, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
	return list, g.inFlightLimit
}
