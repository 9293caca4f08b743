// Package quota divides each tenant's rate limit among the gatekeepers and grants the parts under
// leases.
//
// The registry that holds the allocation duty runs the active Allocator. Every other registry
// keeps a standby Allocator supplied with the same limits and members, so that after a change of duty
// holder the new one knows which gatekeepers have lapsed. The package has no clock: every now is in
// milliseconds of a steady clock.
//
// At every moment, what all gatekeepers may hold of a tenant's quota (unexpired grants and every
// gatekeeper's minimum, including those of lapsed gatekeepers) adds up to no more than the tenant's
// rate and burst capacity. A window of W seconds therefore admits at most rate x W + burst requests,
// plus the start bursts of gatekeepers that start within it, even if gatekeepers are partitioned,
// killed or lose answers. The rate that nobody holds accumulates in a pool, from which whole tokens go
// to gatekeepers whose buckets are low.
package quota

import (
	"math"
	"slices"
	"strings"
)

// TokenValidityMs is the time in milliseconds after an allocation request within which the tokens of its
// answer may still be added to a bucket.
const TokenValidityMs = 400.0

// StartBurstValidityMs is the time in milliseconds within which a start burst must be used.
const StartBurstValidityMs = 2000.0

const (
	burstSlackShare           = 0.45   // share of the permitted excess and slack used for burst capacity; less than this refuses small tenants' requests
	startBurstShare           = 0.5    // share of the permitted excess and slack used for start bursts; the rest covers effects that are not modeled
	minimumShare              = 0.5    // minimum as a share of an even division
	defaultMinimumRetentionMs = 600e3  // milliseconds; retention of lapsed gatekeepers' minimums where Bounds sets none
	demandHeadroom            = 1.25   // a gatekeeper needs its demand times this factor
	maxPoolShare              = 0.5    // largest share of a small tenant's rate that goes through the pool
	poolFreeRatePerMember     = 4.0    // requests per second per gatekeeper from which no rate goes through the pool
	wholeTokensBelow          = 4.0    // tokens per gatekeeper below which burst capacity is granted in whole tokens
	pooledBurstShare          = 0.05   // share of a large burst capacity that stays with the pool
	scarcePoolShare           = 0.85   // share of the rate that goes through the pool where there is less than one token per gatekeeper
	smallQuotaTokensPerMember = 6.0    // tokens per gatekeeper below which a quota is small
	scarceMinimumShare        = 0.1    // minimum as a share of an even division where there is less than one token per gatekeeper
	maxTokensPerGrant         = 3.0    // tokens granted to one gatekeeper at a time
	demandExpiryMs            = 10e3   // milliseconds after which a reported demand counts as zero
	maxEndedIncarnations      = 16     // ended incarnations remembered per node
	epsilon                   = 1e-9   // smaller differences are rounding errors
	notRemoved                = -1e300 // removal time of a tenant that is configured
)

// Limit is a tenant's quota: a rate in requests per second and the burst allowed above it. A rate of 0
// means no limit, and nothing is allocated.
type Limit struct{ RatePerS, Burst float64 }

// Bounds is what all gatekeepers together may admit beyond a tenant's quota: a share Excess of it plus
// Slack requests in any window of WindowS seconds. MinimumRetentionMs is how long the minimum of a lapsed
// gatekeeper stays reserved for it, in milliseconds (0 for ten minutes). A gatekeeper must stop using
// its minimum before that, unless it is known to have ended.
type Bounds struct{ WindowS, Excess, Slack, MinimumRetentionMs float64 }

// Demand is the recent rate of requests at a gatekeeper, admitted or refused, in requests per second
// by tenant.
type Demand map[string]float64

// Allocation is a gatekeeper's part of a quota. Rate and Burst are valid during the lease, Minimum (the
// minimum rate) and MinimumBurst (the minimum burst) after it.
//
// Tokens is, in a gatekeeper's report, the current content of its bucket; in an answer, the tokens to
// be added to it, once, if the answer arrives within TokenValidityMs of its request. StartBurst, in an answer or
// from MinimumAllocation, is the start burst: whole tokens above Burst that a new incarnation may use once in its
// first two seconds, since its bucket starts empty. Waiting, in a report, is the number of requests that
// found no token since the last allocation request. Returned, in a report, is the number of tokens
// given back since then, which are no longer in the bucket.
type Allocation struct {
	Rate, Burst, Minimum, MinimumBurst, Tokens, Waiting, StartBurst, Returned float64
}

// grantRecord is a grant that may be in use until it expires.
type grantRecord struct{ rate, burst, expiresAt float64 }

// holdingRecord is what a gatekeeper may hold of a tenant's quota.
type holdingRecord struct {
	reported           bool        // has sent this allocator a request; until then it may hold a minimum granted by another one
	claimed, granted   grantRecord // as reported by its last allocation request, and as granted in the answer
	minRate, minBurst  float64
	demand, reportedAt float64
}

// member is a known or lapsed gatekeeper.
type member struct {
	id, node     string
	listed       bool // in the last member list
	lastListedAt float64
	lastSeq      uint64 // of its last allocation request
	memberIndex  int
	inUse        bool // the slot is not free
}

// tenantQuota is a tenant's limit and what is granted of it.
type tenantQuota struct {
	name          string
	salt          uint64 // spreads whole tokens over different gatekeepers for each tenant
	limit         Limit
	rate, burst   float64 // total that may be granted
	startBurst    float64 // total of start bursts if all gatekeepers start at once
	startBursts   []startBurstRecord
	pool          float64 // tokens that no gatekeeper holds
	poolUpdatedAt float64
	holdings      []holdingRecord // by member slot
	removedAt     float64
}

// startBurstRecord records a start burst given to a new incarnation.
type startBurstRecord struct{ grantedAt, tokens float64 }

// Allocator allocates the tenants' quotas. It isn't safe for concurrent use.
type Allocator struct {
	// UseOwners tells whether gatekeepers take the tokens of small quotas from the quota's owners. Gatekeepers
	// without a demand are then allocated nothing of them.
	UseOwners bool

	leaseMs               float64
	bounds                Bounds
	beganAt               float64
	earlierGrantsExpireAt float64 // from then on, every grant of an earlier allocator has expired
	version               uint64
	tenants               map[string]*tenantQuota
	members               []member // slots, of which some are free
	byID                  map[string]int
	endedIncarnations     map[string][]string // ended incarnations by node
	memberCount           int                 // gatekeepers whose minimums are reserved
	needsBuffer           []float64
	holdingsExamined      uint64
	membersReceived       bool // a member list was received
}

// New returns an Allocator that does not grant anything before Begin.
func New(leaseMs float64, bounds Bounds) *Allocator {
	if bounds.MinimumRetentionMs <= 0 {
		bounds.MinimumRetentionMs = defaultMinimumRetentionMs
	}
	return &Allocator{leaseMs: leaseMs, bounds: bounds, beganAt: math.Inf(1), earlierGrantsExpireAt: math.Inf(1), tenants: map[string]*tenantQuota{}, byID: map[string]int{}, endedIncarnations: map[string][]string{}}
}

// Begin starts granting when this node has won the allocation duty, after the duty had no holder for
// vacantMs milliseconds. The grants of an earlier allocator are unknown until each gatekeeper has sent
// a request, or until one lease has passed since that allocator's last possible grant. Until then a
// gatekeeper is granted no more than its minimum and what it already holds.
func (a *Allocator) Begin(now, vacantMs float64) {
	a.beganAt, a.earlierGrantsExpireAt = now, now+a.leaseMs
	a.ExtendVacancy(vacantMs)
	for _, tenant := range a.tenants {
		tenant.pool, tenant.poolUpdatedAt = 0, now
		for i := range tenant.holdings {
			tenant.holdings[i].reported = false
		}
	}
}

// ExtendVacancy reports that the duty had been vacant for vacantMs milliseconds before Begin, where that is
// longer than was known at Begin.
func (a *Allocator) ExtendVacancy(vacantMs float64) {
	a.earlierGrantsExpireAt = min(a.earlierGrantsExpireAt, a.beganAt+max(a.leaseMs-max(vacantMs, 0), 0))
}

// SetLimits installs the tenants' quotas of a configuration version and ignores a version older than the
// current one. What was granted under other limits counts until its lease ends; minimums count until
// their holders have sent another request.
func (a *Allocator) SetLimits(now float64, terms map[string]Limit, version uint64) {
	if version < a.version {
		return
	}
	a.version = version
	for name, tenant := range a.tenants {
		if _, ok := terms[name]; ok {
			continue
		}
		a.updatePool(tenant, now)
		if tenant.removedAt == notRemoved {
			tenant.removedAt = now
		}
		tenant.limit, tenant.rate, tenant.burst, tenant.pool, tenant.startBurst = Limit{}, 0, 0, 0, 0
		if now > tenant.removedAt+a.bounds.MinimumRetentionMs {
			delete(a.tenants, name)
		}
	}
	for name, limit := range terms {
		tenant := a.tenants[name]
		if tenant == nil {
			tenant = &tenantQuota{name: name, salt: hash(name), holdings: make([]holdingRecord, len(a.members)), poolUpdatedAt: now}
			a.tenants[name] = tenant
		}
		a.updatePool(tenant, now)
		tenant.removedAt = notRemoved
		tenant.setLimit(limit, a.bounds)
		tenant.pool = min(tenant.pool, tenant.burst)
	}
}

// nodeOf returns the node part of a "node/incarnation" id.
func nodeOf(id string) string {
	if separator := strings.LastIndexByte(id, '/'); separator >= 0 {
		return id[:separator]
	}
	return id
}

// SetMembers installs the list of known gatekeepers, as "node/incarnation" ids. A missing gatekeeper has
// lapsed; its minimum stays reserved until the same node appears with another incarnation or the
// retention time is over.
func (a *Allocator) SetMembers(now float64, ids []string) {
	a.membersReceived = true
	for i := range a.members {
		a.members[i].listed = false
	}
	for _, id := range ids {
		a.memberSlot(now, id)
	}
	a.removeExpired(now)
}

// memberSlot returns the slot of a gatekeeper and creates one if necessary. It returns -1 for an
// incarnation that has ended.
func (a *Allocator) memberSlot(now float64, id string) int {
	node := nodeOf(id)
	if slices.Contains(a.endedIncarnations[node], id) {
		return -1
	}
	if slot, ok := a.byID[id]; ok {
		a.members[slot].listed, a.members[slot].lastListedAt = true, now
		return slot
	}
	for slot := range a.members {
		if m := &a.members[slot]; m.inUse && m.node == node {
			a.updatePools(now)
			ended := append(a.endedIncarnations[node], m.id)
			a.endedIncarnations[node] = ended[max(0, len(ended)-maxEndedIncarnations):]
			a.removeSlot(slot)
		}
	}
	a.updatePools(now)
	slot := slices.IndexFunc(a.members, func(m member) bool { return !m.inUse })
	if slot < 0 {
		slot = len(a.members)
		a.members = append(a.members, member{})
		for _, t := range a.tenants {
			t.holdings = append(t.holdings, holdingRecord{})
		}
	}
	a.members[slot] = member{id: id, node: node, listed: true, lastListedAt: now, inUse: true}
	a.byID[id] = slot
	a.assignMemberIndexes()
	return slot
}

// removeSlot frees the slot of a gatekeeper and all that it held.
func (a *Allocator) removeSlot(slot int) {
	delete(a.byID, a.members[slot].id)
	a.members[slot] = member{}
	for _, tenant := range a.tenants {
		tenant.holdings[slot] = holdingRecord{}
	}
}

// removeExpired removes lapsed gatekeepers whose minimums have been reserved for the retention time.
func (a *Allocator) removeExpired(now float64) {
	removed := false
	for i := range a.members {
		if m := &a.members[i]; m.inUse && !m.listed && now > m.lastListedAt+a.bounds.MinimumRetentionMs {
			a.updatePools(now)
			a.removeSlot(i)
			removed = true
		}
	}
	if removed {
		a.assignMemberIndexes()
	}
}

// assignMemberIndexes numbers the gatekeepers in an order that is the same at every allocator.
func (a *Allocator) assignMemberIndexes() {
	var order []int
	for i := range a.members {
		if a.members[i].inUse {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int { return strings.Compare(a.members[x].node, a.members[y].node) })
	for index, i := range order {
		a.members[i].memberIndex = index
	}
	a.memberCount = len(order)
}

// scarce reports whether the burst capacity is less than one token per gatekeeper. It then stays with
// the pool, and tokens are granted on request.
func (t *tenantQuota) scarce(memberCount int) bool { return t.burst < float64(memberCount) }

// poolShare returns the share of a very small rate that goes through the pool.
func (t *tenantQuota) poolShare(memberCount int) float64 {
	if t.scarce(memberCount) {
		return scarcePoolShare
	}
	return maxPoolShare
}

// minimumOf returns the minimum of the gatekeeper in slot i, before checking whether all of it is
// unallocated.
func (a *Allocator) minimumOf(tenant *tenantQuota, slot int) (rate, burst float64) {
	return tenant.minimum(a.members[slot].memberIndex, a.memberCount)
}

// minimum returns the minimum of the gatekeeper at a member index.
func (t *tenantQuota) minimum(memberIndex, memberCount int) (rate, burst float64) {
	n := float64(memberCount)
	share := minimumShare
	if t.scarce(memberCount) {
		share = scarceMinimumShare
	}
	rate, burst = share*t.rate/n, share*t.burst/n
	if burst < 1 { // whole tokens for some gatekeepers, which differ between tenants
		burst = 0
		if (memberIndex+int(t.salt%uint64(memberCount)))%memberCount < int(share*t.burst) {
			burst = 1
		}
	}
	return rate, burst
}

// startBurstOf returns the start burst, in whole tokens, of the gatekeeper at a member index.
func (t *tenantQuota) startBurstOf(memberIndex, memberCount int) float64 {
	total := int(t.startBurst)
	part := total / memberCount
	if (memberIndex+int(t.salt%uint64(memberCount)))%memberCount < total%memberCount {
		part++
	}
	return float64(part)
}

// takeStartBurst returns the start burst for a new incarnation and records it. Within one window all start
// bursts add up to no more than if every gatekeeper started once, so that gatekeepers that restart
// repeatedly gain nothing.
func (a *Allocator) takeStartBurst(tenant *tenantQuota, slot int, now float64) float64 {
	tenant.startBursts = slices.DeleteFunc(tenant.startBursts, func(k startBurstRecord) bool { return now > k.grantedAt+a.bounds.WindowS*1e3+StartBurstValidityMs })
	remaining := math.Floor(tenant.startBurst)
	for _, k := range tenant.startBursts {
		remaining -= k.tokens
	}
	startBurst := min(tenant.startBurstOf(a.members[slot].memberIndex, a.memberCount), max(remaining, 0))
	if startBurst > 0 {
		tenant.startBursts = append(tenant.startBursts, startBurstRecord{now, startBurst})
	}
	return startBurst
}

// MinimumAllocation returns the minimum of the gatekeeper at a member index, for a gatekeeper that has just
// started and reaches no allocator. The minimum of its previous incarnation was reserved for its node,
// and that incarnation has ended. The start burst may be used at most once per incarnation, and not if
// the allocator has granted one.
func MinimumAllocation(tenantName string, limit Limit, bounds Bounds, memberIndex, memberCount int) Allocation {
	t := &tenantQuota{name: tenantName, salt: hash(tenantName)}
	t.setLimit(limit, bounds)
	if t.rate <= 0 || memberCount <= 0 {
		return Allocation{}
	}
	var minimum Allocation
	minimum.Minimum, minimum.MinimumBurst = t.minimum(memberIndex, memberCount)
	minimum.StartBurst = t.startBurstOf(memberIndex, memberCount)
	minimum.Rate, minimum.Burst = minimum.Minimum, minimum.MinimumBurst
	return minimum
}

// IsSmall reports whether a quota's burst capacity gives each of memberCount gatekeepers only a few
// tokens. Such a quota is better kept in one place: gatekeepers request tokens from its owners, and
// only owners report a demand.
func IsSmall(limit Limit, bounds Bounds, memberCount int) bool {
	var t tenantQuota
	t.setLimit(limit, bounds)
	return t.rate > 0 && t.burst < smallQuotaTokensPerMember*float64(memberCount)
}

// setLimit sets the limit of a tenant and the totals that may be granted of it.
func (t *tenantQuota) setLimit(limit Limit, bounds Bounds) {
	t.limit, t.rate, t.burst = limit, 0, 0
	t.startBurst = 0
	if limit.RatePerS > 0 {
		permittedExcess := bounds.Excess*(limit.RatePerS*bounds.WindowS+limit.Burst) + bounds.Slack
		t.rate, t.burst = limit.RatePerS, limit.Burst+burstSlackShare*permittedExcess
		t.startBurst = startBurstShare * permittedExcess
	}
}

// HoldingsExamined returns how often the holding of one gatekeeper of one quota was examined, as a measure of
// the allocator's work.
func (a *Allocator) HoldingsExamined() uint64 { return a.holdingsExamined }

// upperBound returns the most that a gatekeeper may hold at a time.
func (a *Allocator) upperBound(tenant *tenantQuota, slot int, now float64) (rate, burst float64) {
	a.holdingsExamined++
	record := &tenant.holdings[slot]
	rate, burst = record.minRate, record.minBurst
	if !record.reported {
		r, b := a.minimumOf(tenant, slot)
		rate, burst = max(rate, r), max(burst, b)
	}
	for _, grant := range [...]*grantRecord{&record.claimed, &record.granted} {
		if now < grant.expiresAt {
			rate, burst = max(rate, grant.rate), max(burst, grant.burst)
		}
	}
	return rate, burst
}

// unallocated returns what no gatekeeper other than the excepted one (-1 for none) may hold.
func (a *Allocator) unallocated(tenant *tenantQuota, except int, now float64) (rate, burst float64) {
	rate, burst = tenant.rate, tenant.burst
	for i := range a.members {
		if a.members[i].inUse && i != except {
			r, b := a.upperBound(tenant, i, now)
			rate, burst = rate-r, burst-b
		}
	}
	return rate, burst
}

// updatePools updates all pools to now; it must run before any holding changes.
func (a *Allocator) updatePools(now float64) {
	for _, tenant := range a.tenants {
		a.updatePool(tenant, now)
	}
}

// updatePool adds to a tenant's pool the rate that was not held since the last update. Holdings only shrink
// between two events, so what is unallocated at the start of the interval is unallocated throughout.
func (a *Allocator) updatePool(tenant *tenantQuota, now float64) {
	since := tenant.poolUpdatedAt
	tenant.poolUpdatedAt = now
	if tenant.rate <= 0 || now <= since || now <= a.earlierGrantsExpireAt && tenant.pool == 0 {
		return
	}
	rate, burst := a.unallocated(tenant, -1, since)
	if elapsedMs := now - max(since, a.earlierGrantsExpireAt); elapsedMs > 0 {
		tenant.pool += max(rate, 0) * elapsedMs / 1e3
	}
	tenant.pool = min(tenant.pool, max(burst, 0))
}

// Allocate handles a gatekeeper's allocation request. It carries a sequence number (higher in each
// request), the demand, and what the gatekeeper holds for how much longer. The answer is what the
// gatekeeper holds for one lease from the request, or nil for a request that is out of date. If a
// grant is lowered, the difference becomes available with the next request, which shows that the
// answer arrived, or when the old grant expires.
func (a *Allocator) Allocate(now float64, id string, seq uint64, demand Demand, holding map[string]Allocation, leaseLeftMs float64) map[string]Allocation {
	slot := a.memberSlot(now, id)
	// Minimums are computed from the full member list. Computed only from the members that happen to have
	// sent a request, they would be too large, and would be reserved beside those that other gatekeepers
	// use on their own.
	if slot < 0 || !a.membersReceived || now < a.beganAt || seq <= a.members[slot].lastSeq {
		return nil
	}
	newIncarnation := a.members[slot].lastSeq == 0 && !hasAllocation(holding)
	a.members[slot].lastSeq = seq
	answer := make(map[string]Allocation, len(a.tenants))
	for name, tenant := range a.tenants {
		report, reported := holding[name]
		_, hasDemand := demand[name]
		record := &tenant.holdings[slot]
		if a.usesOwners(tenant) && !hasDemand && !reported {
			a.recordNoInterest(tenant, record, now)
			continue
		}
		a.updatePool(tenant, now)
		record.reported, record.demand, record.reportedAt = true, demand[name], now
		record.claimed, record.granted = grantRecord{report.Rate, report.Burst, now + min(leaseLeftMs, a.leaseMs)}, grantRecord{}
		record.minRate, record.minBurst = report.Minimum, report.MinimumBurst
		if report.Returned > 0 { // the burst capacity they occupied is unallocated again, so the pool has room for them
			_, unallocatedBurst := a.unallocated(tenant, -1, now)
			tenant.pool = min(tenant.pool+report.Returned, max(unallocatedBurst, 0))
		}
		if tenant.rate > 0 {
			granted := a.grant(tenant, slot, now, report)
			if newIncarnation {
				granted.StartBurst = a.takeStartBurst(tenant, slot, now)
			}
			answer[name] = granted
		}
	}
	return answer
}

// usesOwners reports whether a quota is small for the number of gatekeepers and served by owners.
func (a *Allocator) usesOwners(tenant *tenantQuota) bool {
	return a.UseOwners && tenant.burst < smallQuotaTokensPerMember*float64(a.memberCount)
}

// recordNoInterest records that a gatekeeper neither holds nor requests any of a quota. That is the
// case for most quotas at most gatekeepers, so it must not examine the other holders: the cost of each
// request would grow with the number of gatekeepers. A new allocator that can't answer everyone's
// first request within its lease loses the duty, and its successor has to start over.
func (a *Allocator) recordNoInterest(tenant *tenantQuota, record *holdingRecord, now float64) {
	switch {
	case record.idle(): // nothing changes
	case !record.reported: // it might have held its minimum until now, so the pool doesn't get the rate since its last update
		tenant.poolUpdatedAt = max(tenant.poolUpdatedAt, now)
	default:
		a.updatePool(tenant, now)
	}
	*record = holdingRecord{reported: true, reportedAt: now}
}

// idle reports whether a gatekeeper has sent this allocator a request and neither holds nor wants
// anything.
func (h *holdingRecord) idle() bool {
	return h.reported && h.demand == 0 && h.claimed == grantRecord{} && h.granted == grantRecord{} && h.minRate == 0 && h.minBurst == 0
}

// hasAllocation reports whether a gatekeeper was allocated anything, or used its minimums, in this
// incarnation.
func hasAllocation(holding map[string]Allocation) bool {
	for _, s := range holding {
		if s.Rate > 0 || s.Burst > 0 || s.Minimum > 0 || s.MinimumBurst > 0 {
			return true
		}
	}
	return false
}

// grant computes and records what a gatekeeper is granted of a quota.
func (a *Allocator) grant(tenant *tenantQuota, slot int, now float64, report Allocation) Allocation {
	record := &tenant.holdings[slot]
	freeRate, freeBurst := a.unallocated(tenant, slot, now)
	freeRate, freeBurst = max(freeRate, 0), max(freeBurst, 0)
	minRate, minBurst := a.minimumOf(tenant, slot)
	if a.usesOwners(tenant) && record.demand <= epsilon {
		minRate, minBurst = 0, 0 // the quota's owner may use it
	}
	granted := Allocation{Minimum: min(minRate, freeRate), MinimumBurst: min(minBurst, freeBurst)}
	rate, burst := a.targetAllocation(tenant, slot, now, report.Waiting)
	if now < a.earlierGrantsExpireAt {
		rate, burst = 0, 0
		if now < record.claimed.expiresAt {
			rate, burst = record.claimed.rate, record.claimed.burst
		}
	}
	granted.Rate = max(granted.Minimum, min(rate, freeRate))
	granted.Burst = max(granted.MinimumBurst, min(burst, freeBurst))
	record.granted = grantRecord{granted.Rate, granted.Burst, now + a.leaseMs}
	record.minRate, record.minBurst = max(record.minRate, granted.Minimum), max(record.minBurst, granted.MinimumBurst)
	_, unallocatedBurst := a.unallocated(tenant, -1, now)
	unallocatedBurst = max(unallocatedBurst, 0)
	// Together with the tokens that accumulate until the answer arrives, the bucket must not exceed its
	// burst.
	bucketRoom, available := granted.Burst-report.Tokens-TokenValidityMs/1e3*max(granted.Rate, report.Rate), tenant.pool
	if report.Tokens >= 1 { // leave half of the pool to gatekeepers without a token
		available -= unallocatedBurst / 2
	}
	if granted.Tokens = min(bucketRoom, available); granted.Tokens < epsilon {
		granted.Tokens = 0
	}
	// Tokens that go into the bucket lie within its burst, so only the rest of the pool must fit beside
	// it.
	tenant.pool = min(tenant.pool-granted.Tokens, unallocatedBurst)
	return granted
}

// targetAllocation returns the allocation that a gatekeeper would have if nothing were granted yet.
// Small needs are met in full as far as the sum fits; the rest is divided by demand.
func (a *Allocator) targetAllocation(tenant *tenantQuota, slot int, now, waiting float64) (rate, burst float64) {
	totalRate, totalBurst, sharers := tenant.rate, tenant.burst, 0.0
	for i := range a.members {
		switch m := &a.members[i]; {
		case m.inUse && m.listed:
			sharers++
		case m.inUse: // lapsed, but its minimum is reserved
			r, b := a.upperBound(tenant, i, now)
			totalRate, totalBurst = totalRate-r, totalBurst-b
		}
	}
	totalRate, totalBurst = max(totalRate, 0), max(totalBurst, 0)
	poolShare := tenant.poolShare(a.memberCount) * max(0, 1-totalRate/sharers/poolFreeRatePerMember)
	if a.usesOwners(tenant) { // only the owners, which have a demand, count
		if a.recentDemand(tenant, slot, now) <= epsilon { // what it still holds is needed elsewhere
			return 0, 0
		}
		sharers, poolShare = a.demandingMembers(tenant, slot, now), 0
	}
	rate = a.targetRate(tenant, slot, now, totalRate*(1-poolShare), sharers)
	switch tokensEach := totalBurst / sharers; {
	case tokensEach >= wholeTokensBelow:
		limitBurst := min(tenant.limit.Burst, totalBurst)
		burst = (1 - pooledBurstShare) * ((totalBurst-limitBurst)/sharers + limitBurst*rate/max(totalRate, epsilon))
	case tokensEach >= 1:
		burst = math.Floor(tokensEach)
		if tokensEach >= 2 {
			burst += a.extraToken(tenant, slot, now, int((1-pooledBurstShare)*totalBurst-sharers*burst))
		} else if waiting > 0 && tenant.pool >= 1 && a.withinRate(tenant, now) {
			burst++
		}
	case waiting > 0 && tenant.pool >= 1: // granted on request, and taken back with the next allocation request
		burst = min(waiting, maxTokensPerGrant, math.Floor(tenant.pool)) + rate*TokenValidityMs/1e3
	}
	return rate, burst
}

// demandingMembers returns the number of gatekeepers with a demand, always including the requesting one.
func (a *Allocator) demandingMembers(tenant *tenantQuota, slot int, now float64) float64 {
	count := 0.0
	for i := range a.members {
		if m := &a.members[i]; m.inUse && m.listed && (i == slot || a.recentDemand(tenant, i, now) > epsilon) {
			count++
		}
	}
	return count
}

// targetRate returns a gatekeeper's part of a total rate that is divided among the sharers by demand.
func (a *Allocator) targetRate(tenant *tenantQuota, slot int, now, totalRate, sharers float64) float64 {
	minRate, _ := a.minimumOf(tenant, slot)
	a.needsBuffer = a.needsBuffer[:0]
	needSum, demandSum, ownIndex := 0.0, 0.0, 0
	for i := range a.members {
		if m := &a.members[i]; m.inUse && m.listed {
			if i == slot {
				ownIndex = len(a.needsBuffer)
			}
			demand := a.recentDemand(tenant, i, now)
			need := max(demandHeadroom*demand, minRate)
			if demand <= epsilon && i != slot && a.usesOwners(tenant) {
				need = 0
			}
			a.needsBuffer = append(a.needsBuffer, need)
			needSum, demandSum = needSum+need, demandSum+demand
		}
	}
	evenShare, need := totalRate/sharers, a.needsBuffer[ownIndex]
	if needSum <= totalRate { // half of the rest is divided evenly, half by demand
		spare, share := totalRate-needSum, 1/sharers
		if demandSum > epsilon {
			share = (share + a.recentDemand(tenant, slot, now)/demandSum) / 2
		}
		return need + spare*share
	}
	if need <= evenShare {
		return need
	}
	remaining, excessSum := totalRate, 0.0
	for _, x := range a.needsBuffer {
		remaining -= min(x, evenShare)
		excessSum += max(x-evenShare, 0)
	}
	return evenShare + max(remaining, 0)*(need-evenShare)/excessSum
}

// withinRate reports whether the demand is less than the rate.
func (a *Allocator) withinRate(tenant *tenantQuota, now float64) bool {
	demandSum := 0.0
	for i := range a.members {
		if a.members[i].inUse {
			demandSum += a.recentDemand(tenant, i, now)
		}
	}
	return demandSum < tenant.rate
}

// recentDemand returns the recent demand at a gatekeeper.
func (a *Allocator) recentDemand(tenant *tenantQuota, slot int, now float64) float64 {
	if h := &tenant.holdings[slot]; h.reported && now < h.reportedAt+demandExpiryMs {
		return h.demand
	}
	return 0
}

// extraToken returns one more token if the gatekeeper is among the given number with the highest recent
// demand.
func (a *Allocator) extraToken(tenant *tenantQuota, slot int, now float64, remaining int) float64 {
	ownDemand, ownRank := a.recentDemand(tenant, slot, now), hash(a.members[slot].node)^tenant.salt
	for i := range a.members {
		if m := &a.members[i]; m.inUse && m.listed && i != slot {
			if d := a.recentDemand(tenant, i, now); d > ownDemand || d == ownDemand && hash(m.node)^tenant.salt < ownRank {
				remaining--
			}
		}
	}
	return min(1, float64(max(remaining, 0)))
}

// hash returns the 64-bit FNV-1a hash of s, mixed so that its low bits are evenly distributed too.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
