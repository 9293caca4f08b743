package policy

// What a module believes of an earlier life of its gatekeeper, where a capture has kept
// it. A request that was open then has lost its client with its connection, so of
// requests nothing is taken over.

const (
	// lostMost is the longest that a capture may lack of a life that was killed: a block's
	// age, and as long again for the disk.
	lostMost = second / 2
	// believeRoom is how old the bound and the workers' health may be: the fleet's load
	// changes faster than customers' stores.
	believeRoom = 10 * second
)

// Recover takes over what an earlier life knew at its end. exact tells that its end was a
// proper one, so that nothing is missing. What is believed:
//
//	customers' buckets     for as long as one met anew would hold less or as much
//	ceilings' stores       the same; empty at the end of a life that was killed, since it
//	                       may have sent on what they held
//	the shared stores      as they were known, with the age that they have
//	workers' health        for 10 s; their cold starts' sends, as long as they count
//	the bound              for 10 s
//	classes' latencies     where the class has the same terms
//	requests, attempts     not at all
func (g *Gateway) Recover(now Micros, do Host, s Snapshot, exact bool) {
	g.enter(now, do)
	if s.Version != SnapshotVersion || len(s.Plans) != len(g.plans) || s.Now > now {
		return
	}
	for i := range min(s.InForce, len(g.classes)) {
		if c := s.Classes[i]; g.classes[i].Class == c.Class {
			g.classes[i] = c.state()
		}
	}
	for i, p := range s.Plans {
		g.plans[i].holds = p.Holds
	}
	for _, at := range s.Listed {
		g.recoverCustomer(&s.Clients[at], s.Now, exact)
	}
	if now-s.Now > believeRoom {
		return
	}
	g.bound, g.boundSet = s.Bound, s.BoundSet
	for _, at := range s.Order { // the list that comes drops those that it does not name
		r := s.Servers[at]
		srv := restoreServer(&r)
		srv.listed, srv.load, srv.trial, srv.lost = false, 0, false, false
		g.byID[srv.id] = srv
		g.servers = append(g.servers, srv)
	}
}

func (g *Gateway) recoverCustomer(r *CustomerRecord, end Micros, exact bool) {
	if r.Plan < 0 || r.Plan >= len(g.plans) {
		return
	}
	c := g.restoreCustomer(r)
	if g.now-c.touched > c.keepFor() {
		return
	}
	c.open, c.pending = 0, 0
	if !exact {
		lost := float64(lostMost) / 1e6
		c.tokens = min(c.tokens, c.tokens-c.plan.Rate*c.share*lost)
		c.level -= c.plan.Rate * lost
		c.guard, c.at = min(c.guard, 0), end+lostMost
	}
	g.customers[c.key] = c
	i := c.key * 0x9e3779b97f4a7c15 >> 32 % uint64(len(g.wheel))
	g.wheel[i] = append(g.wheel[i], c)
}
