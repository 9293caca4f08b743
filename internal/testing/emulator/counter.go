package emulator

import (
	"maps"
	"math/rand/v2"
)

// CounterTotals holds the totals of a counter by name. Each total expires after its lifetime.
// All times are in milliseconds of the caller's clock.
type CounterTotals struct{ byName map[string]expiringTotal }

// expiringTotal is a total with the time in milliseconds at which it expires.
type expiringTotal struct{ total, expiresAt float64 }

// maxLifetimeMS is the longest lifetime of a total.
const maxLifetimeMS = 60000.0

// NewCounterTotals returns an empty CounterTotals.
func NewCounterTotals() *CounterTotals { return &CounterTotals{byName: map[string]expiringTotal{}} }

// Add adds an amount to the total of a name and returns the new total. If the name is new
// or its total has expired, the total starts at 0 and its lifetime starts now.
func (n *CounterTotals) Add(now float64, name string, amount, lifetime float64) float64 {
	entry, ok := n.byName[name]
	if !ok || entry.expiresAt <= now {
		n.deleteExpired(now)
		entry = expiringTotal{expiresAt: now + min(max(lifetime, 1), maxLifetimeMS)}
	}
	entry.total += amount
	n.byName[name] = entry
	return entry.total
}

// deleteExpired deletes expired totals. To keep calls cheap, it does so only when the number
// of names is a power of two of at least 1024.
func (n *CounterTotals) deleteExpired(now float64) {
	if size := len(n.byName); size < 1024 || size&(size-1) != 0 {
		return
	}
	maps.DeleteFunc(n.byName, func(_ string, entry expiringTotal) bool { return entry.expiresAt <= now })
}

// Copy returns a copy with the same totals.
func (n *CounterTotals) Copy() *CounterTotals { return &CounterTotals{byName: maps.Clone(n.byName)} }

// merge adds what was added to other since n and other were both copied from base.
func (n *CounterTotals) merge(other, base *CounterTotals) {
	for name, entry := range other.byName {
		merged := n.byName[name]
		initial := base.byName[name]
		if initial.expiresAt != entry.expiresAt { // it expired and started again since the copy
			initial.total = 0
		}
		merged.total += entry.total - initial.total
		merged.expiresAt = max(merged.expiresAt, entry.expiresAt)
		n.byName[name] = merged
	}
}

// CounterFaults is the set of faults that are currently injected into a counter. The zero
// value injects none.
type CounterFaults struct {
	SlowFactor         float64 // factor by which calls take longer, if above 1
	ResponseDelayMS    float64 // delay in milliseconds between the addition and its response
	LoseEvery          int     // every LoseEvery-th addition is acknowledged but not made; 0 for none
	NoResponseFraction float64 // fraction of the calls that are made but never answered
	InvalidFraction    float64 // fraction of the responses that contain no number
	Down               bool    // calls are neither made nor answered
}

// CounterConfig configures a Counter.
type CounterConfig struct {
	ServiceTimeMS float64 // service time of a call in milliseconds; calls are served one after the other
	MaxQueueMS    float64 // longest wait in the queue in milliseconds, after which calls are refused; 0 for no limit
	Seed          uint64
}

// Counter simulates the shared counter without doing any I/O: the caller passes the current
// time and waits until the time given in the CounterResult. Callers reach the counter from one of
// two sides, which a simulated network partition separates.
type Counter struct {
	Faults CounterFaults
	// Additions is the number of additions that were made, Calls the number of calls received.
	Additions, Calls int

	config    CounterConfig
	rng       *rand.Rand
	sides     [2]*CounterTotals // the same CounterTotals on both sides, except during a partition
	splitBase *CounterTotals    // copy of the totals at the beginning of the partition
	freeAt    [2]float64        // time at which each side has served its queue; without a partition only the first is used
}

// NewCounter returns an empty counter.
func NewCounter(config CounterConfig) *Counter {
	numbers := NewCounterTotals()
	return &Counter{config: config, rng: rand.New(rand.NewPCG(config.Seed, 2)), sides: [2]*CounterTotals{numbers, numbers}}
}

// CounterOutcome is the response that a caller receives.
type CounterOutcome int

// The responses.
const (
	Added           CounterOutcome = iota // the total after the addition
	Refused                               // refused; nothing was added
	NoResponse                            // no response; the amount may have been added
	InvalidResponse                       // the amount was added, but the response is not a number
)

// CounterResult is the result of a call.
type CounterResult struct {
	Outcome CounterOutcome
	AtMS    float64 // time of the response in milliseconds
	Total   float64 // if Outcome is Added
}

// Call adds an amount to the total of a name for a caller on side 0 or 1.
func (c *Counter) Call(now float64, side int, name string, amount, lifetime float64) CounterResult {
	c.Calls++
	trouble := &c.Faults
	if trouble.Down {
		return CounterResult{Outcome: NoResponse}
	}
	queue := side
	if !c.Partitioned() {
		queue = 0
	}
	start := max(c.freeAt[queue], now)
	if c.config.MaxQueueMS > 0 && start-now > c.config.MaxQueueMS {
		return CounterResult{Outcome: Refused, AtMS: now}
	}
	c.freeAt[queue] = start + c.config.ServiceTimeMS*max(trouble.SlowFactor, 1)
	answer := CounterResult{AtMS: c.freeAt[queue] + trouble.ResponseDelayMS}
	if trouble.LoseEvery > 0 && c.Calls%trouble.LoseEvery == 0 {
		answer.Total = c.sides[side].Add(now, name, 0, lifetime) + amount
		return answer
	}
	c.Additions++
	answer.Total = c.sides[side].Add(now, name, amount, lifetime)
	switch draw := c.rng.Float64(); {
	case draw < trouble.NoResponseFraction:
		answer.Outcome = NoResponse
	case draw < trouble.NoResponseFraction+trouble.InvalidFraction:
		answer.Outcome = InvalidResponse
	}
	return answer
}

// Partitioned reports whether the sides are partitioned.
func (c *Counter) Partitioned() bool { return c.sides[0] != c.sides[1] }

// Partition partitions the sides: from now on each has its own totals.
func (c *Counter) Partition() {
	if !c.Partitioned() {
		c.splitBase = c.sides[0].Copy()
		c.sides[1] = c.sides[0].Copy()
		c.freeAt[1] = c.freeAt[0]
	}
}

// Rejoin ends the partition. If sum is set, the additions of both sides are kept; otherwise
// those that the second side received during the partition are lost.
func (c *Counter) Rejoin(sum bool) {
	if !c.Partitioned() {
		return
	}
	if sum {
		c.sides[0].merge(c.sides[1], c.splitBase)
	}
	c.sides[1], c.freeAt[0] = c.sides[0], max(c.freeAt[0], c.freeAt[1])
}

// Snapshot returns a copy of the first side's totals, to be passed to Replace later.
func (c *Counter) Snapshot() *CounterTotals { return c.sides[0].Copy() }

// Replace replaces the totals by those of a snapshot, or by none if it is nil.
func (c *Counter) Replace(snapshot *CounterTotals) {
	if snapshot == nil {
		snapshot = NewCounterTotals()
	}
	numbers := snapshot.Copy()
	c.sides = [2]*CounterTotals{numbers, numbers}
}
