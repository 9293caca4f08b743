// Package slowstart divides what a cold worker bears in a second among all gatekeepers.
//
// One registry, the one that allots quotas, runs a Coordinator. Every gatekeeper asks it again and again, and is
// granted its part for the length of a lease. A part is a slot of a division, which lists all gatekeepers that held a
// lease when it was made. Gatekeepers keep their slots from one division to the next, a restarted one has the slot of its
// earlier life, and a slot that falls vacant stays so for a while: so a change concerns few, also in a large fleet where
// changes never end. Divisions are replaced in two steps: while a change is under way everybody is
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
	"strings"
)

// WindowMs is the span in which requests to a cold worker are counted.
const WindowMs = 1000.0

// Part is a gatekeeper's slot in a division of so many. A Count of 0 is no part.
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

// Left is how long the lease still holds, in milliseconds; below 0 it is over.
func (l *Lease) Left(now float64) float64 { return l.until - now }

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

// keepVacantMs is how long a division keeps slots that nobody holds.
const keepVacantMs = 10_000.0

// division is who holds which slot, by "station/life"; "" for a slot that nobody holds.
type division []string

// holding is a gatekeeper's newest lease.
type holding struct {
	since, until float64
}

// Standing is the part of a budget of those whose leases are over: what is given to leases and what is kept for them may
// together be no more than what a cold worker bears. Who never had a part takes the one that is told here.
func (l *Lease) Standing(budget float64, worker uint64, otherwise Part) int {
	if l.grant.Current.Count > 0 {
		return l.grant.Sends(budget, worker)
	}
	return otherwise.sends(budget, worker)
}

// Coordinator grants the parts. It isn't safe for use by several goroutines.
type Coordinator struct {
	lease       float64
	began       float64
	safeAt      float64 // from then on no request under an earlier coordinator's lease counts any more
	leases      map[string]holding
	checkAt     float64 // before then no lease runs out
	current     division
	next        division
	slots       map[string]int // of current
	nextSlots   map[string]int
	changing    bool
	changeAt    float64 // when next holds alone
	vacantSince float64 // since when current has vacant slots, +Inf for none
}

// New makes a coordinator that has not begun.
func New(leaseMs float64) *Coordinator {
	return &Coordinator{lease: leaseMs, began: math.Inf(1), safeAt: math.Inf(1), leases: map[string]holding{}, vacantSince: math.Inf(1)}
}

// Begin tells that the duty was won, and that nobody had it in the vacantMs before. Leases of an earlier holder are
// unknown: until they have surely run out nobody has a part.
func (c *Coordinator) Begin(now, vacantMs float64) {
	lease := c.lease
	*c = *New(lease)
	c.began, c.safeAt = now, now+lease+WindowMs
	c.Vacant(vacantMs)
}

// Vacant tells that the duty was vacant for longer before Begin than was known then.
func (c *Coordinator) Vacant(vacantMs float64) {
	c.safeAt = min(c.safeAt, c.began+max(c.lease+WindowMs-max(vacantMs, 0), 0))
}

// Ask grants a gatekeeper its part for a lease from its asking.
func (c *Coordinator) Ask(now float64, id string) Grant {
	held, known := c.leases[id]
	if !known {
		c.checkAt, held.since = now, now
	}
	held.until = now + c.lease
	c.leases[id] = held
	c.advance(now)
	g := Grant{Current: partOf(c.current, c.slots, id)}
	if c.changing {
		g.Next, g.Changing = partOf(c.next, c.nextSlots, id), true
	}
	return g
}

// advance ends a change that is due, and begins one where gatekeepers have come or their leases have run out.
func (c *Coordinator) advance(now float64) {
	if c.changing && now >= c.changeAt {
		c.put(now, c.next)
		c.next, c.nextSlots, c.changing = nil, nil, false
		c.checkAt = now
	}
	if c.changing || now < c.checkAt {
		return
	}
	if len(c.current) == 0 && now < c.safeAt {
		return
	}
	holders := c.holders(now)
	if len(c.current) == 0 { // nobody holds anything yet
		c.put(now, holders)
		return
	}
	next := c.current.replaced(holders)
	if now-c.vacantSince >= keepVacantMs {
		next = next.compacted()
	}
	if !slices.Equal(next, c.current) {
		c.next, c.nextSlots, c.changing, c.changeAt = next, next.index(), true, now+c.lease+WindowMs
	}
}

// put has a division hold alone.
func (c *Coordinator) put(now float64, d division) {
	c.current, c.slots = d, d.index()
	switch {
	case !slices.Contains(d, ""):
		c.vacantSince = math.Inf(1)
	case math.IsInf(c.vacantSince, 1):
		c.vacantSince = now
	}
}

// holders is the gatekeepers whose leases have not run out, in order. Others are forgotten. Of two lives of a station
// the one that came last counts.
func (c *Coordinator) holders(now float64) division {
	newest := make(map[string]string, len(c.leases)) // by station
	c.checkAt = now + c.lease
	for id, held := range c.leases {
		if held.until <= now {
			delete(c.leases, id)
			continue
		}
		c.checkAt = min(c.checkAt, held.until)
		other, two := newest[station(id)]
		if !two || c.leases[other].since < held.since || c.leases[other].since == held.since && other < id {
			newest[station(id)] = id
		}
	}
	ids := make(division, 0, len(newest))
	for _, id := range newest {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// replaced is the division for other holders. Those that are in it keep their slots. A newcomer has the slot of its
// station's earlier life, else a vacant one, else a new one.
func (d division) replaced(holders division) division {
	lives := make(map[string]string, len(holders)) // by station
	for _, id := range holders {
		lives[station(id)] = id
	}
	next := make(division, len(d))
	var vacant []int
	for slot, id := range d {
		if life, ok := lives[station(id)]; ok && id != "" {
			next[slot] = life
			delete(lives, station(id))
		} else {
			vacant = append(vacant, slot)
		}
	}
	for _, id := range holders {
		if lives[station(id)] != id {
			continue // it has its slot
		}
		if len(vacant) == 0 {
			next = append(next, id)
			continue
		}
		next[vacant[0]] = id
		vacant = vacant[1:]
	}
	return next
}

// compacted is the division without its vacant slots.
func (d division) compacted() division {
	return slices.DeleteFunc(slices.Clone(d), func(id string) bool { return id == "" })
}

// index is each holder's slot.
func (d division) index() map[string]int {
	slots := make(map[string]int, len(d))
	for slot, id := range d {
		if id != "" {
			slots[id] = slot
		}
	}
	return slots
}

// station is an id without its life.
func station(id string) string {
	if i := strings.LastIndexByte(id, '/'); i >= 0 {
		return id[:i]
	}
	return id
}

func partOf(d division, slots map[string]int, id string) Part {
	slot, ok := slots[id]
	if !ok {
		return Part{}
	}
	return Part{Index: slot, Count: len(d)}
}
