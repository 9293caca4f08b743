package policy

// Recovery of state from an earlier run of the gateway, where a capture has kept it. Open requests lost their
// clients with the connection, so no requests are recovered.

const (
	// maxLostTail is the longest tail of state that a capture may lack after a crash: the age of a block, and
	// as long again for the disk.
	maxLostTail = second / 2
	// maxFleetStateAge is how old the limit on attempts and the servers' health may be: the fleet's load
	// changes faster than customers' buckets.
	maxFleetStateAge = 10 * second
)

// Recover takes over the state that an earlier run had at its end. exact reports that it ended in an orderly
// way, so that nothing is missing. What is taken over, and for how long:
//
//	customers' buckets   until a new record would hold at least as much
//	ceilings' buckets    likewise; empty after a crash, since the units may have been spent
//	the shared buckets   as last known, with their age
//	servers' health      for 10 s; sends that count against a cold budget, as long as they count
//	limit on attempts    for 10 s
//	classes' latencies   if the class has the same terms
//	requests, attempts   not at all
func (g *Gateway) Recover(now Micros, host Host, snapshot Snapshot, exact bool) {
	g.beginEvent(now, host)
	if snapshot.Version != SnapshotVersion || len(snapshot.Plans) != len(g.plans) || snapshot.Now > now {
		return
	}
	for i := range min(snapshot.InForce, len(g.classes)) {
		if rec := snapshot.Classes[i]; g.classes[i].Class == rec.Class {
			g.classes[i] = rec.state()
		}
	}
	for i, rec := range snapshot.Plans {
		g.plans[i].attemptTime = rec.AttemptTime
	}
	for _, index := range snapshot.KnownCustomers {
		g.recoverCustomer(&snapshot.Customers[index], snapshot.Now, exact)
	}
	if now-snapshot.Now > maxFleetStateAge {
		return
	}
	g.inFlightLimit, g.limitSet = snapshot.InFlightLimit, snapshot.LimitSet
	for _, index := range snapshot.Order { // the next server list drops those that it does not name
		rec := snapshot.Servers[index]
		srv := restoreServer(&rec)
		srv.listed, srv.work, srv.probing, srv.silent = false, 0, false, false
		g.byID[srv.id] = srv
		g.servers = append(g.servers, srv)
	}
}

func (g *Gateway) recoverCustomer(rec *CustomerRecord, end Micros, exact bool) {
	if rec.Plan < 0 || rec.Plan >= len(g.plans) {
		return
	}
	cust := g.restoreCustomer(rec)
	if g.now-cust.lastRequest > cust.idleTimeout() {
		return
	}
	cust.inFlight, cust.pending = 0, 0
	if !exact {
		lost := float64(maxLostTail) / 1e6
		cust.tokens = min(cust.tokens, cust.tokens-cust.plan.Rate*cust.share*lost)
		cust.sharedTokens -= cust.plan.Rate * lost
		cust.ceilingTokens, cust.refilledAt = min(cust.ceilingTokens, 0), end+maxLostTail
	}
	g.customers[cust.key] = cust
	slot := cust.key * 0x9e3779b97f4a7c15 >> 32 % uint64(len(g.wheel))
	g.wheel[slot] = append(g.wheel[slot], cust)
}
