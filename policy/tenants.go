package policy

// The buckets of one gatekeeper for the tenants' quotas. What they fill at is allotted to
// it under a lease (internal/quota); the module never asks for anything itself.

const (
	tenantIdle   = 60 * second // an unused bucket without a slice is forgotten
	demandSpan   = 2.0         // seconds over which what was asked is smoothed
	floodLeast   = 4.0         // requests a second beyond twice what was asked before that are a flood,
	floodSpan    = 0.5         // over so many seconds at least
	tenantSoon   = 20 * milli  // the least and the longest wait that a refused one is told
	tenantLate   = 2 * second
	tenantAsked  = 300 * milli // the longest where no slice was brought yet: an asking is on its way
	kickSpan     = 2 * second  // the allotter goes by that
	tenantSpread = 0.3         // of the wait is added by turns, so that the refused don't return together
	tenantFirst  = 2.0         // tokens at most are left for first tries by those who come again,
	firstPart    = 0.5         // and so much of what a burst holds beyond one
)

// TenantSlice is our part of a tenant's quota: under the lease, and after it. Tokens are
// added once. Kick is whole tokens beside the burst, for the start of a life: they end after
// kickSpan. Wants, in a Holding, is how many found no token since the Holding before. Returned, in a
// Holding, is tokens that were given up since then.
type TenantSlice struct {
	Rate, Burst, Floor, FloorBurst, Tokens, Wants, Kick, Returned float64
}

// tenantBucket is the bucket of one tenant.
type tenantBucket struct {
	slice  TenantSlice
	held   bool // a slice was brought
	tokens float64
	at     Micros
	asked  float64 // since the last Demand
	demand float64
	used   Micros
	wants  float64 // found no token since the last Holding
	given  float64 // up, since the last Holding
	kick   float64
	kickTo Micros
}

// take takes a token, of the bucket first, as it fills again. That must hold least.
func (b *tenantBucket) take(now Micros, least float64) bool {
	switch {
	case b.tokens >= least:
		b.tokens--
	case b.kick >= 1 && now < b.kickTo:
		b.kick--
	default:
		return false
	}
	return true
}

// Tenants holds the buckets of one gatekeeper. They start empty: an earlier life of this
// process may have spent what they would hold.
type Tenants struct {
	// FloorFor is how long the floors hold once the lease is over, 0 for ever. The allotter
	// keeps them for us for a stated time; they must end before it does.
	FloorFor Micros

	buckets map[string]*tenantBucket
	limits  map[string]bool // tenants that have a limit, by the configuration
	until   Micros
	counted Micros // the last Demand
	turn    uint64
}

// NewTenants makes a gatekeeper's buckets, all empty.
func NewTenants() *Tenants {
	return &Tenants{buckets: map[string]*tenantBucket{}, limits: map[string]bool{}}
}

// Limits brings the tenants that have a limit. What has one and no slice is refused; a
// tenant that isn't named passes.
func (t *Tenants) Limits(now Micros, names []string) {
	clear(t.limits)
	for _, n := range names {
		t.limits[n] = true
		t.bucket(now, n)
	}
	for n := range t.buckets {
		if !t.limits[n] {
			delete(t.buckets, n)
		}
	}
}

func (t *Tenants) bucket(now Micros, name string) *tenantBucket {
	b := t.buckets[name]
	if b == nil {
		b = &tenantBucket{at: now, used: now}
		t.buckets[name] = b
	}
	return b
}

// Slices replaces what is held until a time; a bucket above its new burst gives up the rest.
// A tenant with a limit that isn't named keeps what it holds, without its lease: its floor.
func (t *Tenants) Slices(now Micros, slices map[string]TenantSlice, until Micros) {
	for name, b := range t.buckets {
		t.refill(b, now)
		if _, ok := slices[name]; !ok {
			b.slice.Rate, b.slice.Burst = b.slice.Floor, b.slice.FloorBurst
		}
	}
	for name, s := range slices {
		b := t.bucket(now, name)
		b.tokens += s.Tokens
		if over := b.tokens - s.Burst; over > 0 {
			b.tokens, b.given = s.Burst, b.given+over
		}
		if s.Kick > 0 {
			b.kick, b.kickTo = s.Kick, now+kickSpan
		}
		s.Tokens, s.Kick = 0, 0
		b.slice, b.held = s, true
	}
	t.until = until
}

// refill fills a bucket: at its slice until the lease is over, then at its floor.
func (t *Tenants) refill(b *tenantBucket, now Micros) {
	if now <= b.at {
		return
	}
	if lease := min(now, t.until) - b.at; lease > 0 {
		b.tokens = min(b.tokens+b.slice.Rate*float64(lease)/1e6, b.slice.Burst)
		b.at += lease
	}
	if now > b.at {
		end := now
		if t.FloorFor > 0 {
			end = min(now, t.until+t.FloorFor)
		}
		b.tokens = min(b.tokens+b.slice.Floor*float64(max(end-b.at, 0))/1e6, b.slice.FloorBurst)
		if end < now {
			b.tokens = 0
		}
		b.at = now
	}
}

// rate is what a bucket fills at now.
func (t *Tenants) rate(b *tenantBucket, now Micros) float64 {
	if now < t.until {
		return b.slice.Rate
	}
	return b.slice.Floor
}

// Admit takes a request's token, or tells how long its client should stay away. One that comes
// again leaves the last tokens to first tries: where a tenant asks for more than it has, most
// who come are returning, and what they are given is worth less by the time that they lost.
func (t *Tenants) Admit(now Micros, name string, again bool) (bool, Micros) {
	if !t.limits[name] {
		return true, 0
	}
	b := t.bucket(now, name)
	t.refill(b, now)
	b.asked++
	b.used = now
	least := 1.0
	if again {
		burst := b.slice.Burst
		if now >= t.until {
			burst = b.slice.FloorBurst
		}
		least += min(tenantFirst, max(burst-1, 0)*firstPart)
	}
	if b.take(now, least) {
		return true, 0
	}
	b.wants++
	wait := float64(tenantLate) / (1 + tenantSpread)
	if !b.held {
		wait = float64(tenantAsked)
	}
	if r := t.rate(b, now); r > 0 {
		wait = min((least-b.tokens)/r*1e6*max(b.demand/r, 1), wait)
	}
	t.turn++
	wait *= 1 + tenantSpread*float64(mix(t.turn, 0x7e4a)%1024)/1024
	return false, max(tenantSoon, min(Micros(wait), tenantLate))
}

// Retry takes a token for a request that Admit turned down and that is still held, for the
// answer to an asking. It is no new demand.
func (t *Tenants) Retry(now Micros, name string) bool {
	b := t.buckets[name]
	if b == nil || !t.limits[name] {
		return !t.limits[name]
	}
	t.refill(b, now)
	return b.take(now, 1)
}

// Spend takes a token if there is one, and counts no demand: for a request that another
// gatekeeper's bucket is asked about otherwise.
func (t *Tenants) Spend(now Micros, name string) bool {
	b := t.buckets[name]
	if b == nil || !t.limits[name] {
		return false
	}
	t.refill(b, now)
	return b.take(now, 1)
}

// GiveBack returns the token of a request that surely never went to a worker.
func (t *Tenants) GiveBack(now Micros, name string) {
	if b := t.buckets[name]; b != nil {
		t.refill(b, now)
		most := b.slice.Burst
		if now >= t.until {
			most = b.slice.FloorBurst
		}
		b.tokens = min(b.tokens+1, most)
	}
}

// Low tells that a bucket which had a use lately has no whole token, so that asking the allotter
// again soon is worth while.
func (t *Tenants) Low(now Micros) bool {
	for _, b := range t.buckets {
		t.refill(b, now)
		if b.tokens < 1 && now-b.used < second/2 {
			return true
		}
	}
	return false
}

// Demand is what was asked of each tenant a second, smoothed; it counts from its last call.
func (t *Tenants) Demand(now Micros) map[string]float64 {
	out := make(map[string]float64, len(t.buckets))
	span := float64(now-t.counted) / 1e6
	t.counted = now
	for name, b := range t.buckets {
		if span > 0 {
			part := min(span/(span+demandSpan), 1)
			// A sudden flood is believed sooner. One request is none, however soon it was asked after it: it would draw
			// to here what others need.
			if b.asked > (2*b.demand+floodLeast)*max(span, floodSpan) {
				part = max(part, 0.5)
			}
			b.demand += part * (b.asked/span - b.demand)
			b.asked = 0
		}
		if b.demand > 1e-3 {
			out[name] = b.demand
		}
		if !t.limits[name] && now-b.used > tenantIdle {
			delete(t.buckets, name)
		}
	}
	return out
}

// Holding is what is held now and for how much longer, for the next asking. Tokens is what
// each bucket has.
func (t *Tenants) Holding(now Micros) (map[string]TenantSlice, Micros) {
	out := make(map[string]TenantSlice, len(t.buckets))
	for name, b := range t.buckets {
		if b.held || b.wants > 0 || b.given > 0 {
			t.refill(b, now)
			s := b.slice
			s.Tokens, s.Wants, s.Returned = b.tokens, b.wants, b.given
			out[name] = s
			b.wants, b.given = 0, 0
		}
	}
	return out, max(t.until-now, 0)
}

// Lease is how much longer what is held lasts.
func (t *Tenants) Lease(now Micros) Micros { return max(t.until-now, 0) }

// Surrender gives up what is held of a tenant's quota, for others: its slice, its tokens and what was asked for. The
// next Holding tells how many tokens that were. If its telling is lost, nobody has them.
func (t *Tenants) Surrender(now Micros, name string) {
	b := t.buckets[name]
	if b == nil || !b.held {
		return
	}
	t.refill(b, now)
	*b = tenantBucket{at: now, used: b.used, given: b.given + b.tokens, kick: b.kick, kickTo: b.kickTo}
}

// Idle tells that nothing was asked of a tenant for a time.
func (t *Tenants) Idle(now Micros, name string, since Micros) bool {
	b := t.buckets[name]
	return b == nil || now-b.used > since
}

// Forget drops the bucket of a tenant that is gone.
func (t *Tenants) Forget(name string) {
	delete(t.buckets, name)
	delete(t.limits, name)
}
