package policy

import "slices"

// Customers' token buckets: our own, and the estimate of those that all gateways share through the counter. A
// counter name stands for a customer and a time window. Every gateway adds its use; from the total each
// learns the use of the others.

// usesSharedBucket reports whether a customer's bucket is kept on the counter, for all gateways.
func (g *Gateway) usesSharedBucket(cust *customer) bool {
	return g.settings.HasCounter && cust.plan.Rate > 0 && cust.plan.MaxInFlight == 0 && !g.needsDraw(cust)
}

// advanceShared advances the estimate of the shared bucket: refill at the plan's rate less the others' use.
func (g *Gateway) advanceShared(cust *customer) {
	dt := float64(g.now-cust.sharedAt) / 1e6
	cust.sharedAt = g.now
	cust.sharedTokens += (cust.plan.Rate - cust.othersRate) * dt
	g.clampShared(cust)
}

// clampShared keeps that estimate within the burst, and its debt small: over quota, nothing is taken from it.
func (g *Gateway) clampShared(cust *customer) {
	cust.sharedTokens = max(min(cust.sharedTokens, cust.plan.Burst), -maxDebt*g.settings.MaxUnits)
}

// windowPhase shifts a customer's counter windows, so that customers' windows end at different times.
func windowPhase(cust *customer, window Micros) Micros {
	return Micros(hash(cust.key, 0) % uint64(window))
}

// callCounter adds unreported use to a customer's counter; the total returned shows the use of the others. A
// request may wait for the answer: its units are added in the same call if it is likely to be admitted.
func (g *Gateway) callCounter(cust *customer, req *request) {
	if window := (g.now + windowPhase(cust, counterWindow)) / counterWindow; window != cust.window {
		cust.window, cust.ownInWindow, cust.othersInWindow = window, 0, 0
	}
	call := counterCall{request: req, customer: cust, window: cust.window, units: cust.unreported}
	if req != nil && cust.sharedTokens >= req.units { // likely admitted: booked in the same call
		call.booked = req.units
	}
	name := hash(cust.key, uint64(cust.window)|1<<62)
	g.pendingCalls[name] = append(g.pendingCalls[name], call)
	g.host.Count(name, call.units+call.booked, 2*counterWindow)
	cust.unreported = 0
}

// applyTotal takes in a total of a customer's window: use that the others have added since the last one
// leaves the bucket, less what advanceShared already took for it.
func (g *Gateway) applyTotal(cust *customer, total float64) {
	windowStart := cust.window*counterWindow - windowPhase(cust, counterWindow)
	since := float64(g.now-max(cust.totalAt, windowStart)) / 1e6
	used := total - cust.ownInWindow - cust.othersInWindow // negative if requests cost less than estimated
	cust.othersInWindow = total - cust.ownInWindow
	if used < -g.settings.MaxUnits { // the counter lost its data: rely on our own share
		used = cust.othersRate * since
		cust.sharedTokens = min(cust.sharedTokens, max(cust.tokens, 0)*cust.gateways)
	}
	cust.sharedTokens += cust.othersRate*since - used
	g.clampShared(cust)
	if since > 0 {
		rate := min(max(used/since, 0), cust.plan.Rate)
		cust.othersRate += (rate - cust.othersRate) * since / (since + othersSmoothing)
	}
	cust.totalAt = g.now
	cust.tokens = min(max(cust.sharedTokens, 0)*g.currentShare(cust), g.bucketCapacity(cust))
	cust.othersUse += max(used, 0)
	if g.now-cust.usePeriodStart >= sharePeriod && total >= cust.ownInWindow*0.999 {
		g.updateShare(cust, cust.ownUse, cust.ownUse+cust.othersUse)
		cust.ownUse, cust.othersUse, cust.usePeriodStart = 0, 0, g.now
	}
}

// recordUse records our own use, and reports it to the counter once there is enough of it.
func (g *Gateway) recordUse(cust *customer, units float64) {
	if g.usesSharedBucket(cust) {
		cust.ownUse += units
		cust.unreported += units
		threshold := max(reportFraction*max(cust.sharedTokens, 0)/cust.gateways, maxDebt*g.settings.MaxUnits)
		if cust.unreported > threshold && g.random() < g.callFraction {
			g.callCounter(cust, nil)
		}
	}
}

// updateShare moves the share towards our part of the use of all gateways.
func (g *Gateway) updateShare(cust *customer, own, all float64) {
	cust.ownMean += (own - cust.ownMean) * shareGain
	cust.allMean += (max(all, own) - cust.allMean) * shareGain
	cust.shareAt = g.now
	cust.share = 1 / cust.gateways
	if cust.allMean > 0 {
		cust.share = min(max(cust.ownMean/cust.allMean, 1/cust.gateways), 1)
	}
}

// reserveUnits takes a request's units from its ceiling and counts them as pending.
func (g *Gateway) reserveUnits(req *request) {
	if req.plan.CeilingRate > 0 {
		req.customer.ceilingTokens -= req.units
	}
	req.customer.pending += req.units
	req.admitted = true
}

// awaitCounter lets a request wait for the counter, until shortly before its client gives up.
func (g *Gateway) awaitCounter(req *request) {
	req.awaitsCounter = true
	latest := req.deadline - 2*max(g.settings.ClockTick, milli)
	g.host.Timer(tokenGiveUp<<32|uint64(req.id), max(latest-g.now, 0))
}

// refill advances our bucket and our part of the ceiling to the present.
func (g *Gateway) refill(cust *customer) {
	dt := float64(g.now-cust.refilledAt) / 1e6
	if dt <= 0 {
		return
	}
	cust.refilledAt = g.now
	plan := cust.plan
	// Units admitted and still held have left our buckets but not the shared ones, which do not fill further
	// meanwhile; so ours do not either.
	refill := g.refillRate(cust) * g.currentShare(cust) * dt
	cust.tokens = min(cust.tokens+refill, g.bucketCapacity(cust)-cust.pending)
	if plan.CeilingRate > 0 {
		rate, burst := g.ownCeiling(cust)
		cust.ceilingTokens = min(cust.ceilingTokens+rate*dt, burst-cust.pending)
	}
}

// recordKey is the key of a customer's record under a plan. A request that claims another plan in a
// customer's name must not change the buckets of the real one.
func recordKey(customer uint64, plan int) uint64 { return customer ^ uint64(plan)<<48 }

// customerFor returns the record of a request's customer, a new one if necessary. It uses the largest gateway
// count that requests claim: a single false claim of one gateway would give us the whole quota or ceiling.
func (g *Gateway) customerFor(try Request) *customer {
	key := recordKey(try.Customer, try.Plan)
	cust, spread := g.customers[key], float64(min(max(try.GatewayCount, 1), max(g.settings.GatewayCount, 1)))
	if cust == nil {
		cust = &customer{key: key, plan: &g.plans[try.Plan], gateways: spread, refilledAt: g.now}
		cust.share = 1 / cust.gateways
		cust.tokens = g.bucketCapacity(cust)
		cust.sharedTokens, cust.sharedAt, cust.usePeriodStart = cust.plan.Burst, g.now, g.now
		plan := cust.plan
		if plan.CeilingRate > 0 {
			// A new gateway does not know what it spent before a restart, so its part of the ceiling fills
			// from zero since its start.
			rate, burst := g.ownCeiling(cust)
			cust.ceilingTokens = min(burst, rate*float64(g.now-g.startedAt)/1e6)
		}
		g.customers[key] = cust
		slot := cust.key * 0x9e3779b97f4a7c15 >> 32 % uint64(len(g.wheel))
		g.wheel[slot] = append(g.wheel[slot], cust)
	}
	cust.gateways, cust.lastRequest = max(cust.gateways, spread), g.now
	return cust
}

// idleTimeout is how long an idle customer is kept: until its buckets are surely full, since a new record
// starts with what has filled since our start.
func (c *customer) idleTimeout() Micros {
	plan := c.plan
	return max(minCustomerIdle, waitFor(plan.Burst*c.gateways, plan.Rate),
		waitFor(plan.CeilingBurst, plan.CeilingRate))
}

// visitSlot visits the customers whose second ends now.
func (g *Gateway) visitSlot(slot int) {
	g.wheel[slot] = slices.DeleteFunc(g.wheel[slot], func(cust *customer) bool {
		g.reportUse(cust)
		idle := g.now-cust.lastRequest > cust.idleTimeout() && cust.inFlight == 0 && cust.pending <= 0
		if idle {
			delete(g.customers, cust.key)
		}
		return idle
	})
}

// returnUnits returns what a request took that was never sent.
func (g *Gateway) returnUnits(req *request) {
	if req.sent {
		return
	}
	req.customer.tokens += req.tokensTaken
	req.customer.sharedTokens += req.tokensTaken
	if req.admitted {
		req.customer.pending -= req.units
	}
	if req.admitted && req.plan.CeilingRate > 0 {
		req.customer.ceilingTokens += req.units
	}
	req.tokensTaken, req.admitted = 0, false
}
