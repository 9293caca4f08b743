// Package slowstart divides the send budget of cold workers among all gatekeepers. A cold worker is one that has just
// started and can take only a limited number of requests a second.
//
// One registry, the one that allots quotas, runs a Coordinator. Every gatekeeper asks it periodically and is granted
// its share of the budget under a lease. A share is one slot of an assignment, which lists all gatekeepers that held
// a lease when it was made. Gatekeepers keep their slots from one assignment to the next, a restarted gatekeeper gets
// the slot of its earlier incarnation, and a vacated slot stays vacant for a while. So each change concerns few
// gatekeepers, even in a large fleet that changes all the time.
//
// Assignments are replaced in two steps. During a change every gatekeeper is granted both its old and its new share
// and uses the smaller. The new assignment applies alone only after every lease granted without it has expired and
// one more second has passed. So in any second all gatekeepers together send a cold worker no more than its budget,
// even if some of them are cut off, frozen, restarted or informed late. A gatekeeper without a lease sends nothing to
// cold workers.
//
// The package has no clock of its own: times are milliseconds of the caller's monotonic clock.
package slowstart

import (
	"math"
	"slices"
	"strings"
)

// WindowMs is the length of the sliding window, in milliseconds, in which requests to a cold worker are counted.
const WindowMs = 1000.0

// Share is one slot of an assignment with Count slots. A Count of 0 means no share.
type Share struct {
	Index int `cbor:"1,keyasint,omitempty"`
	Count int `cbor:"2,keyasint,omitempty"`
}

// Grant is what a gatekeeper is granted under a lease. During a change, when Changing is set, Next limits it too.
type Grant struct {
	Current  Share `cbor:"1,keyasint,omitempty"`
	Next     Share `cbor:"2,keyasint,omitempty"`
	Changing bool  `cbor:"3,keyasint,omitempty"`
}

// Remaining returns how long the lease remains valid, in milliseconds; it is negative once the lease has expired.
func (l *Lease) Remaining(now float64) float64 { return l.expiresAt - now }

// RequestsPerSecond returns how many requests a second the holder of the grant may send to a cold worker that takes budget
// requests a second from all gatekeepers together.
func (g Grant) RequestsPerSecond(budget float64, worker uint64) int {
	sends := g.Current.sends(budget, worker)
	if g.Changing {
		sends = min(sends, g.Next.sends(budget, worker))
	}
	return sends
}

// sends returns the whole requests a second of the share. The remainder of the division goes to shares that lie far
// apart in the assignment; which ones they are differs from worker to worker.
func (p Share) sends(budget float64, worker uint64) int {
	if p.Count <= 0 || p.Index < 0 || p.Index >= p.Count || budget <= 0 {
		return 0
	}
	total := int(budget)
	sends, remainder := total/p.Count, total%p.Count
	if p.permutedIndex(worker) < remainder {
		sends++
	}
	return sends
}

// permutedIndex returns the position of the share in a permutation of all shares that is specific to the worker.
func (p Share) permutedIndex(worker uint64) int {
	offset := int(mix(worker) % uint64(p.Count))
	return (p.Index*stride(p.Count) + offset) % p.Count
}

// stride returns a step that visits all slots of an assignment and keeps neighbouring slots apart.
func stride(count int) int {
	step := max(int(float64(count)*goldenRatio), 1)
	for gcd(step, count) > 1 {
		step++
	}
	return step
}

// goldenRatio is the conjugate of the golden ratio: steps of this fraction spread points evenly over a range.
const goldenRatio = 0.618

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// mix spreads the identity of a worker over all 64 bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Lease is the newest grant of a gatekeeper and the time at which it expires.
type Lease struct {
	grant     Grant
	expiresAt float64
}

// Renew replaces the grant by one that was requested at askedAt and is valid for leaseMs from then on.
func (l *Lease) Renew(grant Grant, askedAt, leaseMs float64) {
	l.grant, l.expiresAt = grant, askedAt+leaseMs
}

// RequestsPerSecond returns how many requests a second may be sent to a cold worker now. It is 0 without a valid lease.
func (l *Lease) RequestsPerSecond(now, budget float64, worker uint64) int {
	if now >= l.expiresAt {
		return 0
	}
	return l.grant.RequestsPerSecond(budget, worker)
}

// keepVacantMs is how long an assignment keeps vacant slots, in milliseconds.
const keepVacantMs = 10_000.0

// assignment lists the holder of each slot as "node/incarnation", or "" for a vacant slot.
type assignment []string

// leaseRecord is the newest lease of a gatekeeper.
type leaseRecord struct {
	firstAskedAt, expiresAt float64
}

// FallbackRequestsPerSecond returns the requests a second for a gatekeeper whose lease has expired. It applies to a separate part of
// the budget: what leases grant and what is reserved for expired ones must together stay within what a cold worker
// can take. A gatekeeper that never had a grant uses the given share.
func (l *Lease) FallbackRequestsPerSecond(budget float64, worker uint64, fallback Share) int {
	if l.grant.Current.Count > 0 {
		return l.grant.RequestsPerSecond(budget, worker)
	}
	return fallback.sends(budget, worker)
}

// Coordinator grants shares. It is not safe for concurrent use.
type Coordinator struct {
	leaseMs        float64
	startedAt      float64
	safeAt         float64 // from then on no request sent under a lease of an earlier coordinator is inside the window
	leases         map[string]leaseRecord
	nextCheckAt    float64 // no lease expires before then
	current        assignment
	next           assignment
	currentSlots   map[string]int // by holder, of current
	nextSlots      map[string]int // by holder, of next
	changing       bool
	activateNextAt float64 // when next replaces current
	vacantSince    float64 // since when current has vacant slots, +Inf if it has none
}

// NewCoordinator returns a coordinator that has not been started and grants nothing yet. Leases are valid for leaseMs.
func NewCoordinator(leaseMs float64) *Coordinator {
	return &Coordinator{leaseMs: leaseMs, startedAt: math.Inf(1), safeAt: math.Inf(1), leases: map[string]leaseRecord{}, vacantSince: math.Inf(1)}
}

// Start starts the coordinator after this registry has won the duty, which nobody held in the vacantMs before. Leases
// granted by an earlier holder are unknown, so no share is granted until all of them must have expired.
func (c *Coordinator) Start(now, vacantMs float64) {
	leaseMs := c.leaseMs
	*c = *NewCoordinator(leaseMs)
	c.startedAt, c.safeAt = now, now+leaseMs+WindowMs
	c.ReportVacancy(vacantMs)
}

// ReportVacancy reports that nobody held the duty for vacantMs before Begin, where that is longer than was known then.
func (c *Coordinator) ReportVacancy(vacantMs float64) {
	c.safeAt = min(c.safeAt, c.startedAt+max(c.leaseMs+WindowMs-max(vacantMs, 0), 0))
}

// Renew grants a gatekeeper its share under a lease that begins now. The id is "node/incarnation".
func (c *Coordinator) Renew(now float64, id string) Grant {
	record, known := c.leases[id]
	if !known {
		c.nextCheckAt, record.firstAskedAt = now, now
	}
	record.expiresAt = now + c.leaseMs
	c.leases[id] = record
	c.advance(now)
	grant := Grant{Current: shareOf(c.current, c.currentSlots, id)}
	if c.changing {
		grant.Next, grant.Changing = shareOf(c.next, c.nextSlots, id), true
	}
	return grant
}

// advance completes a change that is due, and begins one if gatekeepers have joined or their leases have expired.
func (c *Coordinator) advance(now float64) {
	if c.changing && now >= c.activateNextAt {
		c.activate(now, c.next)
		c.next, c.nextSlots, c.changing = nil, nil, false
		c.nextCheckAt = now
	}
	if c.changing || now < c.nextCheckAt {
		return
	}
	if len(c.current) == 0 && now < c.safeAt {
		return
	}
	holders := c.holders(now)
	if len(c.current) == 0 { // no assignment yet, so nobody can hold a larger share
		c.activate(now, holders)
		return
	}
	next := c.current.withHolders(holders)
	if now-c.vacantSince >= keepVacantMs {
		next = next.compacted()
	}
	if !slices.Equal(next, c.current) {
		c.next, c.nextSlots, c.changing, c.activateNextAt = next, next.slotsByHolder(), true, now+c.leaseMs+WindowMs
	}
}

// activate makes an assignment the only one in force.
func (c *Coordinator) activate(now float64, slots assignment) {
	c.current, c.currentSlots = slots, slots.slotsByHolder()
	switch {
	case !slices.Contains(slots, ""):
		c.vacantSince = math.Inf(1)
	case math.IsInf(c.vacantSince, 1):
		c.vacantSince = now
	}
}

// holders returns the gatekeepers with a valid lease, sorted, and deletes the expired leases. Of two incarnations of
// a node only the one that joined last is returned.
func (c *Coordinator) holders(now float64) assignment {
	newest := make(map[string]string, len(c.leases)) // id by node
	c.nextCheckAt = now + c.leaseMs
	for id, record := range c.leases {
		if record.expiresAt <= now {
			delete(c.leases, id)
			continue
		}
		c.nextCheckAt = min(c.nextCheckAt, record.expiresAt)
		otherID, found := newest[nodeOf(id)]
		if !found || c.leases[otherID].firstAskedAt < record.firstAskedAt || c.leases[otherID].firstAskedAt == record.firstAskedAt && otherID < id {
			newest[nodeOf(id)] = id
		}
	}
	ids := make(assignment, 0, len(newest))
	for _, id := range newest {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// withHolders returns the assignment for other holders. Gatekeepers that already have a slot keep it. A new one gets
// the slot of an earlier incarnation of its node, else a vacant slot, else an additional slot.
func (d assignment) withHolders(holders assignment) assignment {
	byNode := make(map[string]string, len(holders)) // id by node
	for _, id := range holders {
		byNode[nodeOf(id)] = id
	}
	next := make(assignment, len(d))
	var vacant []int
	for slot, id := range d {
		if newID, ok := byNode[nodeOf(id)]; ok && id != "" {
			next[slot] = newID
			delete(byNode, nodeOf(id))
		} else {
			vacant = append(vacant, slot)
		}
	}
	for _, id := range holders {
		if byNode[nodeOf(id)] != id {
			continue // already has its slot
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

// compacted returns the assignment without its vacant slots.
func (d assignment) compacted() assignment {
	return slices.DeleteFunc(slices.Clone(d), func(id string) bool { return id == "" })
}

// slotsByHolder returns the slot of each holder.
func (d assignment) slotsByHolder() map[string]int {
	slots := make(map[string]int, len(d))
	for slot, id := range d {
		if id != "" {
			slots[id] = slot
		}
	}
	return slots
}

// nodeOf returns the node of an id "node/incarnation".
func nodeOf(id string) string {
	if i := strings.LastIndexByte(id, '/'); i >= 0 {
		return id[:i]
	}
	return id
}

// shareOf returns the share of a holder, or no share if it has no slot.
func shareOf(slots assignment, slotsByHolder map[string]int, id string) Share {
	slot, ok := slotsByHolder[id]
	if !ok {
		return Share{}
	}
	return Share{Index: slot, Count: len(slots)}
}
