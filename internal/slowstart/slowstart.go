// Package slowstart divides what a cold worker bears in a second among all gatekeepers.
//
// One registry, the one that allots quotas, runs a Coordinator. Every gatekeeper asks it again and again, and is
// granted its part for the length of a lease. A part is an index into a division, the list of all gatekeepers that
// held a lease when it was made. Divisions are replaced in two steps: while a change is under way everybody is
// granted the old part and the new one and uses the smaller, and the new one holds alone only after every lease
// that knew nothing of it has run out and a second more has gone by. So in any second all gatekeepers together send
// a cold worker no more than its budget, whoever is cut off, frozen, restarted, or told late. A gatekeeper without a
// lease sends cold workers nothing.
//
// The package has no clock: times are milliseconds of the caller's steady clock.
package slowstart

import (
	"math"
	"slices"
)

// WindowMs is the span in which requests to a cold worker are counted.
const WindowMs = 1000.0

// Part is a gatekeeper's index in a division. A Count of 0 is no part.
type Part struct {
	Index int `cbor:"1,keyasint,omitempty"`
	Count int `cbor:"2,keyasint,omitempty"`
}

// Grant is what a gatekeeper holds for a lease. While a change is under way Next counts too.
type Grant struct {
	Current  Part `cbor:"1,keyasint,omitempty"`
	Next     Part `cbor:"2,keyasint,omitempty"`
	Changing bool `cbor:"3,keyasint,omitempty"`
}

// Sends is the requests a second that the holder of a grant may send to a cold worker that bears budget requests
// from all gatekeepers together.
func (g Grant) Sends(budget float64, worker uint64) int {
	sends := g.Current.sends(budget, worker)
	if g.Changing {
		sends = min(sends, g.Next.sends(budget, worker))
	}
	return sends
}

// sends is the part's whole requests. What doesn't come out even goes to as many parts, which lie apart from each
// other in the division; each worker has its own.
func (p Part) sends(budget float64, worker uint64) int {
	if p.Count <= 0 || p.Index < 0 || p.Index >= p.Count || budget <= 0 {
		return 0
	}
	all := int(budget)
	sends, rest := all/p.Count, all%p.Count
	if p.order(worker) < rest {
		sends++
	}
	return sends
}

// order is the part's place in an order of the parts that the worker has: any two parts have different ones.
func (p Part) order(worker uint64) int {
	offset := int(mix(worker) % uint64(p.Count))
	return (p.Index*stride(p.Count) + offset) % p.Count
}

// stride is a step through a division that reaches all its parts and keeps neighbours apart.
func stride(count int) int {
	step := max(int(float64(count)*goldenRatio), 1)
	for gcd(step, count) > 1 {
		step++
	}
	return step
}

const goldenRatio = 0.618

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// mix spreads a worker's identity over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Lease is a gatekeeper's grant and when it ends.
type Lease struct {
	grant Grant
	until float64
}

// Take replaces the grant by one that was asked for at a time and holds for leaseMs from then.
func (l *Lease) Take(g Grant, asked, leaseMs float64) {
	l.grant, l.until = g, asked+leaseMs
}

// Sends is the requests a second that may be sent to a cold worker now.
func (l *Lease) Sends(now, budget float64, worker uint64) int {
	if now >= l.until {
		return 0
	}
	return l.grant.Sends(budget, worker)
}

// Coordinator grants the parts. It isn't safe for use by several goroutines.
type Coordinator struct {
	lease    float64
	began    float64
	safeAt   float64            // from then on no request under an earlier coordinator's lease counts any more
	leases   map[string]float64 // when each gatekeeper's newest lease ends
	checkAt  float64            // before then no lease runs out
	current  []string
	next     []string
	changing bool
	changeAt float64 // when next holds alone
}

// New makes a coordinator that has not begun.
func New(leaseMs float64) *Coordinator {
	return &Coordinator{lease: leaseMs, began: math.Inf(1), safeAt: math.Inf(1), leases: map[string]float64{}}
}

// Begin tells that the duty was won, and that nobody had it in the vacantMs before. Leases of an earlier holder are
// unknown: until they have surely run out nobody has a part.
func (c *Coordinator) Begin(now, vacantMs float64) {
	*c = Coordinator{lease: c.lease, began: now, safeAt: now + c.lease + WindowMs, leases: map[string]float64{}}
	c.Vacant(vacantMs)
}

// Vacant tells that the duty was vacant for longer before Begin than was known then.
func (c *Coordinator) Vacant(vacantMs float64) {
	c.safeAt = min(c.safeAt, c.began+max(c.lease+WindowMs-max(vacantMs, 0), 0))
}

// Ask grants a gatekeeper its part for a lease from its asking.
func (c *Coordinator) Ask(now float64, id string) Grant {
	if _, known := c.leases[id]; !known {
		c.checkAt = now
	}
	c.leases[id] = now + c.lease
	c.advance(now)
	g := Grant{Current: partOf(c.current, id)}
	if c.changing {
		g.Next, g.Changing = partOf(c.next, id), true
	}
	return g
}

// advance ends a change that is due, and begins one where gatekeepers have come or their leases have run out.
func (c *Coordinator) advance(now float64) {
	if c.changing && now >= c.changeAt {
		c.current, c.next, c.changing = c.next, nil, false
		c.checkAt = now
	}
	if c.changing || now < c.checkAt {
		return
	}
	if len(c.current) == 0 && now < c.safeAt {
		return
	}
	holders := c.holders(now)
	switch {
	case len(c.current) == 0: // nobody holds anything yet
		c.current = holders
	case !slices.Equal(holders, c.current):
		c.next, c.changing, c.changeAt = holders, true, now+c.lease+WindowMs
	}
}

// holders is the gatekeepers whose leases have not run out, in order. Others are forgotten.
func (c *Coordinator) holders(now float64) []string {
	ids := make([]string, 0, len(c.leases))
	c.checkAt = now + c.lease
	for id, until := range c.leases {
		if until <= now {
			delete(c.leases, id)
			continue
		}
		c.checkAt = min(c.checkAt, until)
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func partOf(division []string, id string) Part {
	i, ok := slices.BinarySearch(division, id)
	if !ok {
		return Part{}
	}
	return Part{Index: i, Count: len(division)}
}
