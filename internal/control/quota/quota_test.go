package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"foxwood/policy"

	"gotest.tools/v3/assert"
)

var testBounds = Bounds{WindowS: 5, Excess: 0.1, Slack: 20}

// permittedRequests returns the number of requests that the rule permits in any window.
func permittedRequests(limit Limit) float64 {
	return (limit.RatePerS*testBounds.WindowS+limit.Burst)*(1+testBounds.Excess) + testBounds.Slack
}

const leaseMs = 1300.0 // milliseconds, as in internal/control/registry

// newStartedAllocator returns an allocator whose first lease is over, and the ids of its n
// gatekeepers; it has one tenant, "t".
func newStartedAllocator(n int, limit Limit) (*Allocator, []string) {
	allocator := New(leaseMs, testBounds)
	allocator.Begin(-leaseMs, 0)
	allocator.SetLimits(-leaseMs, map[string]Limit{"t": limit}, 1)
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("s%02d/a", i))
	}
	allocator.SetMembers(-leaseMs, ids)
	return allocator, ids
}

// TestAllocations checks the rates granted to three gatekeepers of a tenant with a rate of 90.
func TestAllocations(t *testing.T) {
	type request struct {
		at         float64
		gatekeeper int
		demand     float64
		minRate    float64
		maxRate    float64
	}
	for _, testCase := range []struct {
		name     string
		requests []request
	}{
		{"low demand is met and gets a part of the rest", []request{
			{0, 0, 30, 29, 61}, {0, 1, 10, 14, 60}, {0, 2, 10, 14, 60},
			{500, 0, 30, 37, 61}, {500, 1, 10, 14, 35}, {500, 2, 10, 14, 35},
			{1000, 0, 30, 37, 50}, {1000, 1, 10, 19, 25}, {1000, 2, 10, 19, 25},
		}},
		{"excess demand at one gatekeeper leaves the others what they need", []request{
			{0, 0, 1000, 29, 61}, {0, 1, 10, 14, 31}, {0, 2, 10, 14, 31},
			{500, 0, 1000, 29, 61}, {500, 1, 10, 14.9, 15.1}, {500, 2, 10, 14.9, 15.1},
			{1000, 0, 1000, 55, 60.1},
		}},
		{"excess demand at all gatekeepers is divided evenly", []request{
			{0, 0, 300, 15, 61}, {0, 1, 300, 14, 60}, {0, 2, 300, 14, 60},
			{500, 0, 300, 29, 31}, {500, 1, 300, 14, 31}, {500, 2, 300, 14, 31},
			{1000, 0, 300, 29.9, 30.1}, {1000, 1, 300, 29.9, 30.1}, {1000, 2, 300, 29.9, 30.1},
		}},
	} {
		allocator, ids := newStartedAllocator(3, Limit{90, 90})
		held := make([]map[string]Allocation, 3)
		for index, request := range testCase.requests {
			held[request.gatekeeper] = allocator.Allocate(request.at, ids[request.gatekeeper], uint64(index)+1, Demand{"t": request.demand}, held[request.gatekeeper], leaseMs-500)
			got := held[request.gatekeeper]["t"]
			assert.Assert(t, got.Rate >= request.minRate && got.Rate <= request.maxRate, "%s: request %d got %+v", testCase.name, index, got)
			assert.Assert(t, got.Minimum > 14.9 && got.Burst >= got.MinimumBurst, "%s: %+v", testCase.name, got)
		}
	}
}

// TestLostAnswerReleasesNothing checks that a gatekeeper whose grant was lowered, and which may not
// have received the answer, counts as holding the old grant until its next request or the end of its
// lease.
func TestLostAnswerReleasesNothing(t *testing.T) {
	allocator, ids := newStartedAllocator(2, Limit{100, 0})
	first := allocator.Allocate(0, ids[0], 1, Demand{"t": 500}, nil, 0)
	assert.Assert(t, first["t"].Rate > 74)
	second := allocator.Allocate(100, ids[1], 1, Demand{"t": 500}, nil, 0)
	allocator.Allocate(200, ids[0], 2, Demand{"t": 500}, first, leaseMs-200) // the answer is lost
	second = allocator.Allocate(300, ids[1], 2, Demand{"t": 500}, second, leaseMs-200)
	assert.Assert(t, first["t"].Rate+second["t"].Rate < 100+epsilon)
	assert.Assert(t, allocator.Allocate(350, ids[0], 2, nil, nil, 0) == nil, "a request with an old sequence number was answered")
	second = allocator.Allocate(200+leaseMs, ids[1], 3, Demand{"t": 500}, second, 100)
	assert.Assert(t, second["t"].Rate > 49, "%+v", second)
}

// TestMinimumsOfLapsedGatekeepers checks that they stay reserved until the same node appears with a
// new incarnation.
func TestMinimumsOfLapsedGatekeepers(t *testing.T) {
	allocator, ids := newStartedAllocator(2, Limit{100, 0})
	allocator.Allocate(0, ids[0], 1, nil, nil, 0)
	var held map[string]Allocation
	for index, step := range []struct {
		at      float64
		members []string
		rate    float64
	}{
		{4000, ids[1:], 75},
		{60e3, ids[1:], 75},
		{61e3, []string{"s00/b", "s01/a"}, 75},
		{62e3, []string{"s00/b", "s01/a", "s00/a"}, 75}, // an old list that names the ended incarnation
		{700e3, ids[1:], 100},
	} {
		allocator.SetMembers(step.at, step.members)
		held = allocator.Allocate(step.at, ids[1], uint64(index)+1, Demand{"t": 500}, held, 0)
		assert.Assert(t, math.Abs(held["t"].Rate-step.rate) < 1, "at %v: %+v", step.at, held)
	}
	assert.Assert(t, allocator.Allocate(62e3, "s00/a", 9, nil, nil, 0) == nil, "a request of an ended incarnation was answered")
}

// TestNewAllocatorGrantsReportedHoldings checks that a new allocator grants, for one lease, only the
// minimums and what gatekeepers report that they hold.
func TestNewAllocatorGrantsReportedHoldings(t *testing.T) {
	allocator, ids := newStartedAllocator(3, Limit{90, 0})
	allocator.Begin(10e3, 0)
	got := allocator.Allocate(10100, ids[0], 1, Demand{"t": 90}, map[string]Allocation{"t": {Rate: 50, Burst: 5, Minimum: 15}}, 2000)
	assert.Assert(t, math.Abs(got["t"].Rate-50) < epsilon && got["t"].Tokens == 0, "%+v", got)
	got = allocator.Allocate(10200, ids[1], 1, Demand{"t": 90}, nil, 0)
	assert.Assert(t, math.Abs(got["t"].Rate-15) < epsilon, "%+v", got)
	got = allocator.Allocate(10e3+leaseMs, ids[1], 2, Demand{"t": 90}, got, 100)
	assert.Assert(t, got["t"].Rate > 20, "%+v", got)
}

// TestTenantWithoutLimit checks that a tenant without a rate gets no allocation, and that an older
// configuration version is ignored.
func TestTenantWithoutLimit(t *testing.T) {
	allocator, ids := newStartedAllocator(2, Limit{100, 0})
	allocator.SetLimits(0, map[string]Limit{"t": {}, "u": {RatePerS: 3}}, 2)
	allocator.SetLimits(0, map[string]Limit{"t": {100, 0}}, 1)
	got := allocator.Allocate(0, ids[0], 1, nil, nil, 0)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got["u"].Minimum > 0)
}

// TestLowerLimitHoldsAfterOneLease checks that, with all gatekeepers connected, grants under a higher
// limit are gone after one lease.
func TestLowerLimitHoldsAfterOneLease(t *testing.T) {
	allocator, ids := newStartedAllocator(4, Limit{100, 100})
	held, seq := make([]map[string]Allocation, 4), uint64(0)
	for round := range 12 {
		if round == 6 {
			allocator.SetLimits(3000, map[string]Limit{"t": {20, 0}}, 2)
		}
		rateSum, minimumSum := 0.0, 0.0
		for i, id := range ids {
			seq++
			held[i] = allocator.Allocate(float64(round)*500, id, seq, Demand{"t": 60}, held[i], leaseMs-500)
			rateSum, minimumSum = rateSum+held[i]["t"].Rate, minimumSum+held[i]["t"].Minimum
		}
		if round >= 8 {
			assert.Assert(t, rateSum < 20+epsilon && rateSum > 17 && minimumSum < 10+epsilon, "round %d: sum of rates %v, sum of minimums %v", round, rateSum, minimumSum)
		}
	}
}

// gatekeeper is a gatekeeper of the simulated cluster.
type gatekeeper struct {
	incarnation      int
	seq              uint64
	tenants          *policy.TenantBuckets
	nextRequestAt    float64
	partitionedUntil float64 // until then it is partitioned from every allocator
	clockOffsetMs    float64 // offset of its clock
	pending          []answer
	waitingSince     []float64 // arrival times of requests waiting for a token
	allocated        bool      // allocations arrived in this incarnation
	gotStartBurst    bool
}

// answer is an answer in transit.
type answer struct {
	arrivesAt, requestedAt float64
	seq                    uint64
	allocations            map[string]Allocation
}

// cluster is a simulated cluster of gatekeepers with an active and a standby allocator.
type cluster struct {
	rng          *rand.Rand
	limits       map[string]Limit
	gatekeepers  []*gatekeeper
	active       *Allocator
	standby      *Allocator // allocator of the next holder of the duty
	now          float64
	lossShare    float64 // share of the answers that are lost
	maxDelayMs   float64 // largest delay of an answer in milliseconds; 0 for 100
	returnShare  float64 // share of the requests before which a gatekeeper gives back all that it holds
	vacantUntil  float64 // until then nobody holds the duty
	vacantSince  float64 // when the duty became vacant
	beginPending bool    // the next allocator begins at vacantUntil
}

// changeHolder hands the duty to the standby allocator after it has been vacant for a time.
func (c *cluster) changeHolder(vacantMs float64) {
	c.active, c.standby = c.standby, c.active
	c.vacantSince, c.vacantUntil, c.beginPending = c.now, c.now+vacantMs, true
}

// useMinimums does what a gatekeeper does that reaches no allocator, as internal/dataplane/proxy does.
func (c *cluster) useMinimums(i int) {
	self := c.gatekeepers[i]
	if self.allocated {
		return
	}
	memberIndex := 0
	for k := range c.gatekeepers {
		if fmt.Sprint("m", k) < fmt.Sprint("m", i) {
			memberIndex++
		}
	}
	minimums := map[string]policy.TenantAllotment{}
	for _, name := range c.limitedTenants() {
		minimum := MinimumAllocation(name, c.limits[name], testBounds, memberIndex, len(c.gatekeepers))
		if self.gotStartBurst {
			minimum.StartBurst = 0
		}
		minimums[name] = policy.TenantAllotment(minimum)
	}
	self.gotStartBurst = true
	self.tenants.SetAllotments(self.localTime(c.now), minimums, 0)
}

func (c *cluster) limitedTenants() (names []string) {
	for name, limit := range c.limits {
		if limit.RatePerS > 0 {
			names = append(names, name)
		}
	}
	return names
}

func newCluster(seed uint64, count int, limits map[string]Limit) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), limits: limits, active: New(leaseMs, testBounds), standby: New(leaseMs, testBounds)}
	c.active.Begin(0, 0)
	for range count {
		c.gatekeepers = append(c.gatekeepers, &gatekeeper{})
	}
	for i := range count {
		c.startGatekeeper(i)
	}
	c.configure(1)
	return c
}

func (c *cluster) configure(version uint64) {
	c.active.SetLimits(c.now, c.limits, version)
	c.standby.SetLimits(c.now, c.limits, version)
	for _, g := range c.gatekeepers {
		g.tenants.SetLimited(g.localTime(c.now), c.limitedTenants())
	}
}

func (c *cluster) startGatekeeper(i int) {
	g := c.gatekeepers[i]
	*g = gatekeeper{incarnation: g.incarnation + 1, tenants: policy.NewTenantBuckets(), nextRequestAt: c.now + c.rng.Float64()*500, partitionedUntil: g.partitionedUntil, clockOffsetMs: c.rng.Float64() * 1e6}
	g.tenants.SetLimited(g.localTime(c.now), c.limitedTenants())
}

func (g *gatekeeper) localTime(now float64) policy.Micros {
	return policy.Micros((now + g.clockOffsetMs) * 1e3)
}

func (c *cluster) id(i int) string { return fmt.Sprintf("m%d/%d", i, c.gatekeepers[i].incarnation) }

// step advances the time by ms milliseconds and delivers requests and answers.
func (c *cluster) step(ms float64) {
	c.now += ms
	if c.beginPending && c.now >= c.vacantUntil {
		c.beginPending = false
		c.active.Begin(c.now, c.now-c.vacantSince)
	}
	for i, gatekeeper := range c.gatekeepers {
		undelivered := gatekeeper.pending[:0]
		for _, pending := range gatekeeper.pending {
			switch {
			case pending.arrivesAt > c.now:
				undelivered = append(undelivered, pending)
			case pending.seq == gatekeeper.seq && c.now-pending.requestedAt < 1000 && c.now >= gatekeeper.partitionedUntil: // answers the newest request, in time
				allocations := map[string]policy.TenantAllotment{}
				for name, allocation := range pending.allocations {
					if c.now-pending.requestedAt > TokenValidityMs {
						allocation.Tokens = 0
					}
					if gatekeeper.gotStartBurst {
						allocation.StartBurst = 0
					}
					allocations[name] = policy.TenantAllotment(allocation)
				}
				gatekeeper.allocated, gatekeeper.gotStartBurst = true, true
				gatekeeper.tenants.SetAllotments(gatekeeper.localTime(c.now), allocations, gatekeeper.localTime(pending.requestedAt+leaseMs))
			}
		}
		gatekeeper.pending = undelivered
		untilRequestMs := gatekeeper.nextRequestAt - c.now
		if c.now < gatekeeper.partitionedUntil || untilRequestMs > 0 && (untilRequestMs > 400 || !gatekeeper.tenants.RunningLow(gatekeeper.localTime(c.now))) {
			continue
		}
		gatekeeper.nextRequestAt = c.now + 500
		gatekeeper.seq++
		if c.beginPending {
			c.useMinimums(i)
			continue
		}
		if c.returnShare > 0 && c.rng.Float64() < c.returnShare {
			for _, name := range c.limitedTenants() {
				gatekeeper.tenants.Surrender(gatekeeper.localTime(c.now), name)
			}
		}
		reported, leaseLeft := gatekeeper.tenants.Holdings(gatekeeper.localTime(c.now))
		holding := map[string]Allocation{}
		for name, allocation := range reported {
			holding[name] = Allocation(allocation)
		}
		got := c.active.Allocate(c.now, c.id(i), gatekeeper.seq, gatekeeper.tenants.Demand(gatekeeper.localTime(c.now)), holding, float64(leaseLeft)/1e3)
		if got != nil && c.rng.Float64() >= c.lossShare {
			gatekeeper.pending = append(gatekeeper.pending, answer{c.now + 10 + c.rng.Float64()*max(c.maxDelayMs, 100*(1+9*c.lossShare)), c.now, gatekeeper.seq, got})
		}
	}
}

// updateMembers gives both allocators the list of connected gatekeepers, from which the standby learns
// which have lapsed.
func (c *cluster) updateMembers() {
	var ids []string
	for i, g := range c.gatekeepers {
		if c.now >= g.partitionedUntil-(leaseMs-500) { // the session outlasts the start of a partition
			ids = append(ids, c.id(i))
		}
	}
	c.active.SetMembers(c.now, ids)
	c.standby.SetMembers(c.now, ids)
}

// window counts the requests admitted in the last window.
type window struct {
	times    []float64
	maxCount int
}

func (w *window) add(now float64) {
	for len(w.times) > 0 && w.times[0] <= now-testBounds.WindowS*1e3 {
		w.times = w.times[1:]
	}
	w.times = append(w.times, now)
	w.maxCount = max(w.maxCount, len(w.times))
}

// TestNoWindowExceedsTheRule overloads tenants through gatekeepers that are partitioned, killed,
// started or lose answers, under allocators that take over from each other. In the later seeds
// gatekeepers also give back what they hold.
func TestNoWindowExceedsTheRule(t *testing.T) {
	for seed := range uint64(12) {
		limits := map[string]Limit{"big": {122, 122}, "small": {5, 5}, "free": {}}
		simulation := newCluster(seed, []int{3, 11, 24}[seed%3], limits)
		simulation.lossShare = 0.2
		if seed >= 6 {
			simulation.returnShare, simulation.active.UseOwners, simulation.standby.UseOwners = 0.15, seed%2 == 0, seed%2 == 0
		}
		windows := map[string]*window{"big": {}, "small": {}}
		version := uint64(1)
		for step := range 4000 {
			simulation.step(10)
			if step%20 == 0 {
				simulation.updateMembers()
			}
			if step%50 == 0 && step > 300 {
				victim := simulation.rng.IntN(len(simulation.gatekeepers))
				switch simulation.rng.IntN(5) {
				case 0:
					simulation.startGatekeeper(victim)
				case 1, 2:
					simulation.gatekeepers[victim].partitionedUntil = simulation.now + simulation.rng.Float64()*12e3
				case 3:
					if simulation.rng.IntN(4) == 0 {
						simulation.changeHolder(simulation.rng.Float64() * 2 * leaseMs)
					}
				case 4: // a tenant is added or removed, the others' limits stay
					version++
					if limits["late"] = (Limit{40, 0}); version%2 == 0 {
						delete(limits, "late")
					}
					simulation.configure(version)
				}
			}
			if step%1000 == 700 { // half of the cluster is partitioned
				for _, g := range simulation.gatekeepers[:len(simulation.gatekeepers)/2] {
					g.partitionedUntil = simulation.now + 6e3
				}
			}
			for _, name := range []string{"big", "small"} {
				w := windows[name]
				for range poisson(simulation.rng, limits[name].RatePerS*8*0.01) {
					g := simulation.gatekeepers[simulation.rng.IntN(len(simulation.gatekeepers))]
					if ok, _ := g.tenants.Admit(g.localTime(simulation.now), name, false); ok {
						w.add(simulation.now)
					}
				}
			}
		}
		for name, w := range windows {
			assert.Assert(t, float64(w.maxCount) <= permittedRequests(limits[name]), "seed %d: %s admitted %d in a window, more than the rule permits", seed, name, w.maxCount)
		}
	}
}

// TestRestartsKeepTheRule kills all gatekeepers or groups of them, and often their allocator too,
// right after overloaded tenants have spent full buckets. Every gatekeeper gets its start burst at its
// new start.
func TestRestartsKeepTheRule(t *testing.T) {
	usedShares := map[string]float64{}
	for seed := range uint64(18) {
		limits := map[string]Limit{"big": {122, 122}, "small": {5, 5}, "bare": {30, 0}}
		simulation := newCluster(seed, []int{3, 11, 24}[seed%3], limits)
		simulation.lossShare = 0.1
		windows := map[string]*window{"big": {}, "small": {}, "bare": {}}
		startBursts := 0
		for stepIndex := range 4500 {
			simulation.step(10)
			if stepIndex%20 == 0 {
				simulation.updateMembers()
			}
			phase := stepIndex % 900 // idle time fills the buckets, an overload spends them, and then gatekeepers are killed
			if phase == 720+int(seed)*3 && stepIndex > 900 {
				share := []float64{1, 0.5, 1, 0.8}[(stepIndex/900+int(seed))%4]
				for i := range simulation.gatekeepers {
					if simulation.rng.Float64() <= share {
						simulation.startGatekeeper(i)
						simulation.gatekeepers[i].nextRequestAt = simulation.now + simulation.rng.Float64()*100
					}
				}
				if (stepIndex/900+int(seed))%4 != 1 {
					simulation.changeHolder(simulation.rng.Float64() * 1500)
					if share == 1 {
						simulation.standby = New(leaseMs, testBounds)
						simulation.active = New(leaseMs, testBounds)
						simulation.configure(uint64(stepIndex))
						simulation.updateMembers()
					}
				}
			}
			for name, w := range windows {
				if phase < 290 || phase > 850 {
					continue
				}
				for range 1 + poisson(simulation.rng, limits[name].RatePerS*8*0.01) {
					g := simulation.gatekeepers[simulation.rng.IntN(len(simulation.gatekeepers))]
					if ok, _ := g.tenants.Admit(g.localTime(simulation.now), name, false); ok {
						w.add(simulation.now)
					}
				}
			}
		}
		for _, g := range simulation.gatekeepers {
			if g.gotStartBurst {
				startBursts++
			}
		}
		assert.Assert(t, startBursts > 0)
		for name, w := range windows {
			assert.Check(t, float64(w.maxCount) <= permittedRequests(limits[name]), "seed %d: %s admitted %d in a window, more than the rule permits", seed, name, w.maxCount)
			usedShares[name] = max(usedShares[name], float64(w.maxCount)/permittedRequests(limits[name]))
		}
	}
	t.Logf("largest share of the permitted requests by tenant: %v", usedShares)
}

// TestStartBursts checks that a new incarnation gets its part once, from the allocator or together
// with its minimums, in whole tokens that add up to no more than the total. A gatekeeper that restarts
// repeatedly gets no more.
func TestStartBursts(t *testing.T) {
	for _, count := range []int{1, 3, 11, 69} {
		for _, limit := range []Limit{{122, 122}, {5, 5}, {5, 0}} {
			expectedSum, grantedSum := 0.0, 0.0
			allocator, ids := newStartedAllocator(count, limit)
			for i, id := range ids {
				minimum := MinimumAllocation("t", limit, testBounds, i, count)
				assert.Assert(t, minimum.StartBurst == math.Floor(minimum.StartBurst))
				got := allocator.Allocate(0, id, 1, nil, nil, 0)["t"]
				assert.Equal(t, got.StartBurst, minimum.StartBurst)
				expectedSum, grantedSum = expectedSum+minimum.StartBurst, grantedSum+got.StartBurst
				assert.Equal(t, allocator.Allocate(500, id, 2, nil, nil, 0)["t"].StartBurst, 0.0, "an incarnation got two start bursts")
				assert.Equal(t, allocator.Allocate(500, id, 3, nil, map[string]Allocation{"t": got}, 0)["t"].StartBurst, 0.0)
			}
			maxSum := startBurstShare * (testBounds.Excess*(limit.RatePerS*testBounds.WindowS+limit.Burst) + testBounds.Slack)
			assert.Assert(t, expectedSum <= maxSum && expectedSum > maxSum-1, "%d gatekeepers: start bursts add up to %v of %v", count, expectedSum, maxSum)
			for restart := range 50 {
				grantedSum += allocator.Allocate(1000+float64(restart), fmt.Sprintf("s00/%d", restart), 1, nil, nil, 0)["t"].StartBurst
			}
			assert.Assert(t, grantedSum <= maxSum, "granted start bursts add up to %v of %v", grantedSum, maxSum)
			standby, _ := newStartedAllocator(count, limit)
			held := map[string]Allocation{"t": MinimumAllocation("t", limit, testBounds, 0, count)}
			assert.Equal(t, standby.Allocate(0, ids[0], 1, nil, held, 0)["t"].StartBurst, 0.0, "it got its start burst with its minimums")
		}
	}
}

// TestVacancyShortensTheWait checks that the grants of an earlier allocator count as expired one lease
// after its end, so that the time for which the duty was vacant is not waited for again.
func TestVacancyShortensTheWait(t *testing.T) {
	for _, testCase := range []struct{ vacantMs, learnedVacantMs, waitMs float64 }{
		{0, 0, leaseMs}, {1000, 0, leaseMs - 1000}, {9000, 0, 0}, {0, 2000, leaseMs - 2000}, {1000, 500, leaseMs - 1000}, {-5, 0, leaseMs},
	} {
		allocator, ids := newStartedAllocator(3, Limit{90, 0})
		allocator.Begin(10e3, testCase.vacantMs)
		allocator.ExtendVacancy(testCase.learnedVacantMs)
		var held map[string]Allocation
		for round := range 60 {
			elapsedMs := 50 * float64(round)
			held = allocator.Allocate(10e3+elapsedMs, ids[0], uint64(round)+1, Demand{"t": 90}, held, leaseMs-50)
			assert.Equal(t, held["t"].Rate > 15.1, elapsedMs >= testCase.waitMs, "%+v at %v: %+v", testCase, elapsedMs, held)
		}
	}
}

// TestSumNeverExceedsTheRate checks what gatekeepers hold at each moment, and not only what they
// admit.
func TestSumNeverExceedsTheRate(t *testing.T) {
	limits := map[string]Limit{"t": {60, 30}}
	maxHeld := Limit{60, 30 + burstSlackShare*(testBounds.Excess*330+testBounds.Slack)}
	for seed := range uint64(40) { // with seed 26 the first requests arrive before the allocator has a member list
		simulation := newCluster(seed+50, 9, limits)
		simulation.lossShare = 0.3
		for step := range 3000 {
			simulation.step(10)
			if step%20 == 0 {
				simulation.updateMembers()
			}
			switch victim := simulation.rng.IntN(len(simulation.gatekeepers)); simulation.rng.IntN(200) {
			case 0:
				simulation.startGatekeeper(victim)
			case 1:
				simulation.gatekeepers[victim].partitionedUntil = simulation.now + simulation.rng.Float64()*8e3
			case 2:
				simulation.changeHolder(simulation.rng.Float64() * 2 * leaseMs)
			}
			var rateSum, burstSum float64
			for _, g := range simulation.gatekeepers {
				for range simulation.rng.IntN(2) * 5 {
					g.tenants.Admit(g.localTime(simulation.now), "t", false)
				}
				held, left := g.tenants.Holdings(g.localTime(simulation.now))
				if s := held["t"]; left > 0 {
					rateSum, burstSum = rateSum+s.Rate, burstSum+s.Burst
				} else {
					rateSum, burstSum = rateSum+s.Minimum, burstSum+s.MinimumBurst
				}
				assert.Assert(t, held["t"].Tokens <= held["t"].Burst+epsilon)
			}
			assert.Assert(t, rateSum <= maxHeld.RatePerS+1e-6 && burstSum <= maxHeld.Burst+1e-6, "seed %d at %v: a rate of %v and a burst of %v are held", seed, simulation.now, rateSum, burstSum)
		}
	}
}

// TestReturnedTokensAreGrantedAgain checks that the tokens that an owner gives back are granted to the
// next one at its first request.
func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	allocator, ids := newStartedAllocator(30, Limit{0.5, 0.5})
	allocator.UseOwners = true
	demand := Demand{"t": 0.3}
	held := allocator.Allocate(0, ids[0], 1, demand, nil, 0)
	full := held["t"]
	full.Tokens = 4
	allocator.Allocate(500, ids[0], 2, demand, map[string]Allocation{"t": full}, leaseMs-500)
	allocator.Allocate(1000, ids[0], 3, nil, map[string]Allocation{"t": {Returned: 4}}, leaseMs-500)
	next := allocator.Allocate(1010, ids[1], 1, Demand{"t": 0.02}, nil, 0)["t"]
	assert.Assert(t, next.Tokens >= 3.5, "granted %+v of the 4 returned tokens", next)
	again := allocator.Allocate(1020, ids[2], 1, Demand{"t": 0.02}, nil, 0)["t"]
	assert.Assert(t, next.Tokens+again.Tokens <= 4.1, "granted %v and %v of 4 tokens", next.Tokens, again.Tokens)
}

// poisson draws a Poisson-distributed number of events.
func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

const seedsPerCase = 8 // a single seed is not significant for tenants with some fifty requests

// TestTenantsWithinTheirLimitAreServed checks that requests arriving at 1/1.6 of the limit are hardly
// ever refused, and that an overloaded tenant is served at its rate. Small quotas are kept at two
// owners.
func TestTenantsWithinTheirLimitAreServed(t *testing.T) {
	for _, testCase := range []struct {
		name            string
		gatekeeperCount int
		limit           Limit
		load            float64 // demand as a multiple of the rate
		maxRefused      float64 // largest share of the requests within the limit that may be refused
		maxWaitMs       float64 // milliseconds that a request waits for a token
		owners          int     // gatekeepers that own the quota, 0 for none
	}{
		{"tiny, 69 gatekeepers", 69, Limit{5, 5}, 1 / 1.6, 0.02, 0, 2},
		{"tiny and overloaded, 69 gatekeepers", 69, Limit{5, 5}, 8, 0.05, 0, 2},
		{"small, 69 gatekeepers", 69, Limit{40, 40}, 1 / 1.6, 0.01, 0, 2},
		{"large, 69 gatekeepers", 69, Limit{122, 122}, 1 / 1.6, 0.01, 0, 2},
		{"overloaded, 69 gatekeepers", 69, Limit{122, 122}, 8, 0.05, 0, 2},
		{"medium", 11, Limit{30, 30}, 1 / 1.6, 0.01, 0, 2},
		{"tiny", 11, Limit{5, 5}, 1 / 1.6, 0.02, 0, 2},
		{"tiny without a burst", 11, Limit{5, 0}, 1 / 1.6, 0.05, 0, 2},
		{"tiny and overloaded", 11, Limit{5, 5}, 8, 0.05, 0, 2},
		{"large", 11, Limit{122, 122}, 1 / 1.6, 0.01, 0, 0},
		{"overloaded", 11, Limit{122, 122}, 8, 0.05, 0, 0},
		{"large, without owners", 69, Limit{900, 900}, 1 / 1.6, 0.02, 0, 0},
	} {
		arrived, served := 0.0, 0.0
		for seed := range uint64(seedsPerCase) {
			simulation := newCluster(seed+100, testCase.gatekeeperCount, map[string]Limit{"t": testCase.limit})
			simulation.active.UseOwners = testCase.owners > 0
			for step := range 3000 {
				simulation.step(10)
				if step%20 == 0 {
					simulation.updateMembers()
				}
				for range poisson(simulation.rng, testCase.limit.RatePerS*testCase.load*0.01) {
					g := simulation.gatekeepers[simulation.rng.IntN(len(simulation.gatekeepers))]
					if testCase.owners > 0 {
						g = simulation.gatekeepers[simulation.rng.IntN(testCase.owners)]
					}
					if step >= 800 {
						arrived++
					}
					if ok, _ := g.tenants.Admit(g.localTime(simulation.now), "t", false); !ok {
						g.waitingSince = append(g.waitingSince, simulation.now)
					} else if step >= 800 {
						served++
					}
				}
				for _, g := range simulation.gatekeepers {
					for len(g.waitingSince) > 0 && simulation.now > g.waitingSince[0]+testCase.maxWaitMs {
						g.waitingSince = g.waitingSince[1:]
					}
					for len(g.waitingSince) > 0 && g.tenants.Retry(g.localTime(simulation.now), "t") {
						if g.waitingSince = g.waitingSince[1:]; step >= 800 {
							served++
						}
					}
				}
			}
		}
		withinLimit := min(arrived, testCase.limit.RatePerS*22*seedsPerCase)
		t.Logf("%s: %.0f of %.0f requests within the limit served, %.2f%% refused", testCase.name, served, withinLimit, 100*(1-served/withinLimit))
		assert.Check(t, 1-served/withinLimit <= testCase.maxRefused, "%s: %.4f of the requests within the limit refused, want at most %v", testCase.name, 1-served/withinLimit, testCase.maxRefused)
	}
}

// TestLostRequestIsBridged checks that with requests every 500 ms and answers up to 250 ms late, a
// single lost request leaves no gatekeeper on its minimum.
func TestLostRequestIsBridged(t *testing.T) {
	simulation := newCluster(3, 11, map[string]Limit{"t": {122, 122}})
	simulation.maxDelayMs = 240
	for _, g := range simulation.gatekeepers {
		g.nextRequestAt = simulation.now
	}
	dropped := make([]uint64, len(simulation.gatekeepers))
	lost := 0
	for step := range 3000 {
		simulation.step(10)
		if step%20 == 0 {
			simulation.updateMembers()
		}
		for i, g := range simulation.gatekeepers {
			if n := len(g.pending); n > 0 && g.seq > dropped[i]+1 && g.seq > 2 && simulation.rng.IntN(2) == 0 {
				dropped[i], g.pending = g.seq, g.pending[:n-1]
				lost++
			}
			if _, left := g.tenants.Holdings(g.localTime(simulation.now)); step > 200 {
				assert.Assert(t, left > 0, "on its minimum at %v", simulation.now)
			}
		}
	}
	assert.Assert(t, lost > 100, "only %d requests were lost", lost)
}
