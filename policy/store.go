package policy

import "slices"

// Customers' stores: ours, and what a gateway knows of those that all gateways share
// through the counter. A number on it stands for a customer and a window of time; every
// gateway adds its use, and the total tells each what the others have used.

// shared tells whether a customer's store is kept on the counter, for all gateways.
func (g *Gateway) shared(c *customer) bool {
	return g.set.Counter && c.plan.Rate > 0 && c.plan.Open == 0 && !g.thin(c)
}

// flow brings what we know of a customer's shared store to the present: it fills at
// the plan's rate, less what the other gateways use by our measure.
func (g *Gateway) flow(c *customer) {
	dt := float64(g.now-c.levelAt) / 1e6
	c.levelAt = g.now
	c.level += (c.plan.Rate - c.othersRate) * dt
	g.limit(c)
}

// limit keeps what we believe of a store within what it can hold: what is sent on
// beyond a quota takes nothing from it, so it is never far below nothing.
func (g *Gateway) limit(c *customer) {
	c.level = max(min(c.level, c.plan.Burst), -storeLeast*g.set.Largest)
}

// phase is how far a customer's windows on the counter are shifted: they end at different
// moments.
func phase(c *customer, window Micros) Micros { return Micros(mix(c.key, 0) % uint64(window)) }

// call adds to a customer's number what the counter was not told yet; the total that
// comes back tells the use of the others. A request may wait for it: its units are added
// with the question where it is likely to be let in, so that one call does.
func (g *Gateway) call(c *customer, q *request) {
	if n := (g.now + phase(c, storeWindow)) / storeWindow; n != c.window {
		c.window, c.mine, c.others = n, 0, 0
	}
	d := drawn{q: q, c: c, n: c.window, units: c.untold}
	if q != nil && c.level >= q.units { // it will be let in: told at once
		d.booked = q.units
	}
	name := mix(c.key, uint64(c.window)|1<<62)
	g.draws[name] = append(g.draws[name], d)
	g.do.Count(name, d.units+d.booked, 2*storeWindow)
	c.untold = 0
}

// hear takes a total of a customer's window: what the others have added since the
// last one has left the store, beyond what flow took for it.
func (g *Gateway) hear(c *customer, total float64) {
	since := float64(g.now-max(c.heardAt, c.window*storeWindow-phase(c, storeWindow))) / 1e6
	used := total - c.mine - c.others // below nothing where requests were cheaper than guessed
	c.others = total - c.mine
	if used < -g.set.Largest { // the counter has lost what it held: our slice knows best
		used = c.othersRate * since
		c.level = min(c.level, max(c.tokens, 0)*c.spread)
	}
	c.level += c.othersRate*since - used
	g.limit(c)
	if since > 0 {
		rate := min(max(used/since, 0), c.plan.Rate)
		c.othersRate += (rate - c.othersRate) * since / (since + storeSmooth)
	}
	c.heardAt = g.now
	c.tokens = min(max(c.level, 0)*g.currentShare(c), g.store(c))
	if c.othersUse += max(used, 0); g.now-c.accAt >= counterPeriod && total >= c.mine*0.999 {
		g.learn(c, c.ownUse, c.ownUse+c.othersUse)
		c.ownUse, c.othersUse, c.accAt = 0, 0, g.now
	}
}

// note records use of our own. The counter is told once it has become much.
func (g *Gateway) note(c *customer, units float64) {
	if g.shared(c) {
		c.ownUse += units
		c.untold += units
		much := max(storeTell*max(c.level, 0)/c.spread, storeLeast*g.set.Largest)
		if c.untold > much && g.random() < g.calls {
			g.call(c, nil)
		}
	}
}

// learn moves the share to our part of what all gateways used.
func (g *Gateway) learn(c *customer, own, all float64) {
	c.ownMean += (own - c.ownMean) * shareGain
	c.allMean += (max(all, own) - c.allMean) * shareGain
	c.shareAt = g.now
	c.share = 1 / c.spread
	if c.allMean > 0 {
		c.share = min(max(c.ownMean/c.allMean, 1/c.spread), 1)
	}
}

// reserve takes a request's units from what else bounds its customer.
func (g *Gateway) reserve(q *request) {
	if q.plan.CeilingRate > 0 {
		q.cust.guard -= q.units
	}
	q.cust.pending += q.units
	q.admitted = true
}

// await lets a request wait for the counter.
func (g *Gateway) await(q *request) {
	q.drawing = true
	g.do.Timer(tokenGiveUp<<32|uint64(q.id), max(q.deadline-2*max(g.set.Tick, milli)-g.now, 0))
}

// refill brings our bucket and our part of the ceiling to the present.
func (g *Gateway) refill(c *customer) {
	dt := float64(g.now-c.at) / 1e6
	if dt <= 0 {
		return
	}
	c.at = g.now
	p := c.plan
	// What is admitted and still held has left our stores but not the shared
	// ones, which fill no further meanwhile; so neither do ours.
	c.tokens = min(c.tokens+g.rate(c)*g.currentShare(c)*dt, g.store(c)-c.pending)
	if p.CeilingRate > 0 {
		rate, burst := g.ceiling(c)
		c.guard = min(c.guard+rate*dt, burst-c.pending)
	}
}

// recordKey names the record of a customer under a plan. It guards a customer against
// requests that come in its name with another plan: its stores would be kept by that.
func recordKey(customer uint64, plan int) uint64 { return customer ^ uint64(plan)<<48 }

// customer is the record of a request's customer, made where there is none. Of the sets
// that requests claim, the widest counts: a single false one would hand us the whole of a
// quota or ceiling that others share.
func (g *Gateway) customer(r Request) *customer {
	key := recordKey(r.Customer, r.Plan)
	c, spread := g.customers[key], float64(min(max(r.Spread, 1), max(g.set.Gateways, 1)))
	if c == nil {
		c = &customer{key: key, plan: &g.plans[r.Plan], spread: spread, at: g.now}
		c.share = 1 / c.spread
		c.tokens = g.store(c)
		c.level, c.levelAt, c.accAt = c.plan.Burst, g.now, g.now
		p := c.plan
		if p.CeilingRate > 0 {
			// A gateway just born does not know what it spent in an earlier life:
			// its part of the ceiling fills from nothing since then.
			rate, burst := g.ceiling(c)
			c.guard = min(burst, rate*float64(g.now-g.born)/1e6)
		}
		g.customers[key] = c
		i := c.key * 0x9e3779b97f4a7c15 >> 32 % uint64(len(g.wheel))
		g.wheel[i] = append(g.wheel[i], c)
	}
	c.spread, c.touched = max(c.spread, spread), g.now
	return c
}

// keepFor is how long an idle customer is remembered: until its stores are surely
// full, as one met anew starts with what has filled since our birth (rule 5).
func (c *customer) keepFor() Micros {
	p := c.plan
	return max(idleAge, waitFor(p.Burst*c.spread, p.Rate), waitFor(p.CeilingBurst, p.CeilingRate))
}

// turn visits the customers whose second ends now.
func (g *Gateway) turn(slot int) {
	g.wheel[slot] = slices.DeleteFunc(g.wheel[slot], func(c *customer) bool {
		g.tellUse(c)
		idle := g.now-c.touched > c.keepFor() && c.open == 0 && c.pending <= 0
		if idle {
			delete(g.customers, c.key)
		}
		return idle
	})
}

// giveBack returns what a request took that was never sent.
func (g *Gateway) giveBack(q *request) {
	if q.sent {
		return
	}
	q.cust.tokens += q.tokensTaken
	q.cust.level += q.tokensTaken
	if q.admitted {
		q.cust.pending -= q.units
	}
	if q.admitted && q.plan.CeilingRate > 0 {
		q.cust.guard += q.units
	}
	q.tokensTaken, q.admitted = 0, false
}
