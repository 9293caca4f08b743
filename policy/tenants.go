package policy

// Token buckets of one gateway for the tenants' quotas. An allocator gives each gateway its refill rates under
// a lease (internal/control/quota); nothing here communicates with it.

const (
	bucketIdle       = 60 * second // a bucket without an allotment that is unused for this long is dropped
	demandSeconds    = 2.0         // seconds over which demand is smoothed
	floodMinRate     = 4.0         // requests per second beyond twice the earlier demand that count as a flood,
	floodSeconds     = 0.5         // averaged over at least this many seconds
	minTenantWait    = 20 * milli  // shortest wait that a refused client is told
	maxTenantWait    = 2 * second  // longest wait that a refused client is told
	maxFirstWait     = 300 * milli // longest wait told before the first allotment, which has been asked for already
	startTokensLife  = 2 * second  // lifetime of a start burst; the allocator relies on this value
	waitSpread       = 0.3         // largest fraction added to a wait, so that clients return at different times
	firstTryTokens   = 2.0         // most tokens that retries leave for first tries,
	firstTryFraction = 0.5         // but at most this fraction of the burst beyond one token
)

// TenantAllotment is our part of a tenant's quota: Rate and Burst under the lease, Minimum and MinimumBurst after it.
// Rates are in tokens per second. Tokens are added once. StartBurst is a number of whole tokens on top of the burst
// for the start of a process; they expire after startTokensLife. Waiting, in Holdings, is the number of
// requests that found no token since the last Holdings. Returned, in Holdings, is the number of tokens given
// up since then.
type TenantAllotment struct {
	Rate, Burst, Minimum, MinimumBurst, Tokens, Waiting, StartBurst, Returned float64
}

// tenantBucket is the token bucket of one tenant.
type tenantBucket struct {
	allotment      TenantAllotment // without its Tokens and StartBurst, which were added
	allotted       bool            // an allotment has been received
	tokens         float64         // content of the bucket
	filledAt       Micros          // when the bucket was last refilled
	requests       float64         // requests since the last Demand
	demand         float64         // smoothed requests per second
	lastUsed       Micros          // time of the last request
	unserved       float64         // requests that found no token since the last Holdings
	returned       float64         // tokens given up since the last Holdings
	startTokens    float64         // tokens of the start burst left
	startTokensEnd Micros          // when they expire
}

// take takes a token, first from the bucket, which refills; the bucket must hold at least minTokens.
func (b *tenantBucket) take(now Micros, minTokens float64) bool {
	switch {
	case b.tokens >= minTokens:
		b.tokens--
	case b.startTokens >= 1 && now < b.startTokensEnd:
		b.startTokens--
	default:
		return false
	}
	return true
}

// TenantBuckets holds the tenants' buckets of one gateway. They start empty, since the process may have spent their
// content before a restart.
type TenantBuckets struct {
	// FloorDuration is how long the floors remain valid after the lease, 0 for ever. The allocator keeps them
	// reserved for a stated time, which must not end before.
	FloorDuration Micros

	buckets  map[string]*tenantBucket
	limited  map[string]bool // tenants that the configuration gives a limit
	leaseEnd Micros          // when the lease on the allotments ends
	demandAt Micros          // time of the last Demand
	waitTurn uint64          // number of waits told, spreads them
}

// NewTenantBuckets returns empty buckets for a gateway.
func NewTenantBuckets() *TenantBuckets {
	return &TenantBuckets{buckets: map[string]*tenantBucket{}, limited: map[string]bool{}}
}

// SetLimited sets the tenants that have a limit. A tenant with a limit and no allotment is refused; one without a
// limit always passes.
func (t *TenantBuckets) SetLimited(now Micros, names []string) {
	clear(t.limited)
	for _, name := range names {
		t.limited[name] = true
		t.bucket(now, name)
	}
	for name := range t.buckets {
		if !t.limited[name] {
			delete(t.buckets, name)
		}
	}
}

func (t *TenantBuckets) bucket(now Micros, name string) *tenantBucket {
	bucket := t.buckets[name]
	if bucket == nil {
		bucket = &tenantBucket{filledAt: now, lastUsed: now}
		t.buckets[name] = bucket
	}
	return bucket
}

// SetAllotments replaces the allotments, valid until a time. A bucket above its new burst gives up the rest. A
// tenant with a limit that is not named keeps its floor only.
func (t *TenantBuckets) SetAllotments(now Micros, allotments map[string]TenantAllotment, until Micros) {
	for name, bucket := range t.buckets {
		t.refill(bucket, now)
		if _, ok := allotments[name]; !ok {
			bucket.allotment.Rate, bucket.allotment.Burst = bucket.allotment.Minimum, bucket.allotment.MinimumBurst
		}
	}
	for name, allotment := range allotments {
		bucket := t.bucket(now, name)
		bucket.tokens += allotment.Tokens
		if excess := bucket.tokens - allotment.Burst; excess > 0 {
			bucket.tokens, bucket.returned = allotment.Burst, bucket.returned+excess
		}
		if allotment.StartBurst > 0 {
			bucket.startTokens, bucket.startTokensEnd = allotment.StartBurst, now+startTokensLife
		}
		allotment.Tokens, allotment.StartBurst = 0, 0
		bucket.allotment, bucket.allotted = allotment, true
	}
	t.leaseEnd = until
}

// refill fills a bucket: at its allotted rate until the lease ends, then at its floor.
func (t *TenantBuckets) refill(bucket *tenantBucket, now Micros) {
	if now <= bucket.filledAt {
		return
	}
	if lease := min(now, t.leaseEnd) - bucket.filledAt; lease > 0 {
		bucket.tokens = min(bucket.tokens+bucket.allotment.Rate*float64(lease)/1e6, bucket.allotment.Burst)
		bucket.filledAt += lease
	}
	if now > bucket.filledAt {
		end := now
		if t.FloorDuration > 0 {
			end = min(now, t.leaseEnd+t.FloorDuration)
		}
		bucket.tokens = min(bucket.tokens+bucket.allotment.Minimum*float64(max(end-bucket.filledAt, 0))/1e6,
			bucket.allotment.MinimumBurst)
		if end < now {
			bucket.tokens = 0
		}
		bucket.filledAt = now
	}
}

// fillRate returns the current refill rate of a bucket, in tokens per second.
func (t *TenantBuckets) fillRate(bucket *tenantBucket, now Micros) float64 {
	if now < t.leaseEnd {
		return bucket.allotment.Rate
	}
	return bucket.allotment.Minimum
}

// Admit takes a token for a request, or returns how long its client should wait. A retry leaves the last
// tokens to first tries: where demand exceeds the quota most requests are retries, and an answer to one is
// worth less after the time it has lost.
func (t *TenantBuckets) Admit(now Micros, name string, isRetry bool) (bool, Micros) {
	if !t.limited[name] {
		return true, 0
	}
	bucket := t.bucket(now, name)
	t.refill(bucket, now)
	bucket.requests++
	bucket.lastUsed = now
	minTokens := 1.0
	if isRetry {
		burst := bucket.allotment.Burst
		if now >= t.leaseEnd {
			burst = bucket.allotment.MinimumBurst
		}
		minTokens += min(firstTryTokens, max(burst-1, 0)*firstTryFraction)
	}
	if bucket.take(now, minTokens) {
		return true, 0
	}
	bucket.unserved++
	wait := float64(maxTenantWait) / (1 + waitSpread)
	if !bucket.allotted {
		wait = float64(maxFirstWait)
	}
	if rate := t.fillRate(bucket, now); rate > 0 {
		wait = min((minTokens-bucket.tokens)/rate*1e6*max(bucket.demand/rate, 1), wait)
	}
	t.waitTurn++
	wait *= 1 + waitSpread*float64(hash(t.waitTurn, 0x7e4a)%1024)/1024
	return false, max(minTenantWait, min(Micros(wait), maxTenantWait))
}

// Retry takes a token for a request that Admit refused and that is still held, after a new allotment. It does
// not count as demand.
func (t *TenantBuckets) Retry(now Micros, name string) bool {
	bucket := t.buckets[name]
	if bucket == nil || !t.limited[name] {
		return !t.limited[name]
	}
	t.refill(bucket, now)
	return bucket.take(now, 1)
}

// TryTake takes a token if there is one, without counting demand: for a request that otherwise asks another
// gateway's bucket.
func (t *TenantBuckets) TryTake(now Micros, name string) bool {
	bucket := t.buckets[name]
	if bucket == nil || !t.limited[name] {
		return false
	}
	t.refill(bucket, now)
	return bucket.take(now, 1)
}

// ReturnToken returns the token of a request that never reached a server.
func (t *TenantBuckets) ReturnToken(now Micros, name string) {
	if bucket := t.buckets[name]; bucket != nil {
		t.refill(bucket, now)
		capacity := bucket.allotment.Burst
		if now >= t.leaseEnd {
			capacity = bucket.allotment.MinimumBurst
		}
		bucket.tokens = min(bucket.tokens+1, capacity)
	}
}

// RunningLow reports whether a bucket that was used recently has no whole token, so that asking the allocator again
// soon is worthwhile.
func (t *TenantBuckets) RunningLow(now Micros) bool {
	for _, bucket := range t.buckets {
		t.refill(bucket, now)
		if bucket.tokens < 1 && now-bucket.lastUsed < second/2 {
			return true
		}
	}
	return false
}

// Demand returns the smoothed demand on each tenant, in requests per second. It measures from its previous
// call.
func (t *TenantBuckets) Demand(now Micros) map[string]float64 {
	demand := make(map[string]float64, len(t.buckets))
	span := float64(now-t.demandAt) / 1e6
	t.demandAt = now
	for name, bucket := range t.buckets {
		if span > 0 {
			weight := min(span/(span+demandSeconds), 1)
			// A sudden flood is believed sooner. A single request is not a flood, however short the measured
			// time is: it would draw the quota here from where it is needed.
			if bucket.requests > (2*bucket.demand+floodMinRate)*max(span, floodSeconds) {
				weight = max(weight, 0.5)
			}
			bucket.demand += weight * (bucket.requests/span - bucket.demand)
			bucket.requests = 0
		}
		if bucket.demand > 1e-3 {
			demand[name] = bucket.demand
		}
		if !t.limited[name] && now-bucket.lastUsed > bucketIdle {
			delete(t.buckets, name)
		}
	}
	return demand
}

// Holdings returns what is held and how much longer the lease lasts, for the next call to the allocator. Tokens
// is the content of each bucket.
func (t *TenantBuckets) Holdings(now Micros) (map[string]TenantAllotment, Micros) {
	held := make(map[string]TenantAllotment, len(t.buckets))
	for name, bucket := range t.buckets {
		if bucket.allotted || bucket.unserved > 0 || bucket.returned > 0 {
			t.refill(bucket, now)
			allotment := bucket.allotment
			allotment.Tokens, allotment.Waiting, allotment.Returned = bucket.tokens, bucket.unserved, bucket.returned
			held[name] = allotment
			bucket.unserved, bucket.returned = 0, 0
		}
	}
	return held, max(t.leaseEnd-now, 0)
}

// LeaseLeft returns how much longer the lease lasts.
func (t *TenantBuckets) LeaseLeft(now Micros) Micros { return max(t.leaseEnd-now, 0) }

// Surrender gives up our part of a tenant's quota for others: its allotment, its tokens and its measured
// demand. The next Holdings reports the number of tokens. If that report is lost, nobody gets them.
func (t *TenantBuckets) Surrender(now Micros, name string) {
	bucket := t.buckets[name]
	if bucket == nil || !bucket.allotted {
		return
	}
	t.refill(bucket, now)
	*bucket = tenantBucket{filledAt: now, lastUsed: bucket.lastUsed, returned: bucket.returned + bucket.tokens,
		startTokens: bucket.startTokens, startTokensEnd: bucket.startTokensEnd}
}

// Idle reports whether a tenant has had no request for the given time.
func (t *TenantBuckets) Idle(now Micros, name string, since Micros) bool {
	bucket := t.buckets[name]
	return bucket == nil || now-bucket.lastUsed > since
}

// Forget drops the bucket of a removed tenant.
func (t *TenantBuckets) Forget(name string) {
	delete(t.buckets, name)
	delete(t.limited, name)
}
