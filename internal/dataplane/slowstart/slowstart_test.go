package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSharesAddUpToBudget checks that the shares add up to the whole requests of the budget, that they differ by at
// most one, and that each slot gets requests for some worker.
func TestSharesAddUpToBudget(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 11, 13, 69, 300, 1000} {
		for _, budget := range []float64{0, 0.9, 5, 12.5, 15, 400} {
			used := map[int]bool{}
			for worker := range uint64(60) {
				sum, lowest, highest := 0, 1<<30, 0
				for index := range count {
					sends := Share{index, count}.sends(budget, worker)
					sum, lowest, highest = sum+sends, min(lowest, sends), max(highest, sends)
					if sends > 0 {
						used[index] = true
					}
				}
				assert.Equal(t, sum, int(budget))
				assert.Assert(t, highest-lowest <= 1)
			}
			if budget == 15 && count <= 69 {
				assert.Equal(t, len(used), count, "slots that get requests for some worker")
			}
		}
	}
	for _, none := range []Share{{}, {3, 3}, {-1, 3}, {0, 0}} {
		assert.Equal(t, none.sends(20, 1), 0)
	}
}

const (
	testLease  = 1300.0
	testBudget = 15.0
)

// TestNoShareBeforeEarlierLeasesExpire: a new coordinator does not know what an earlier one has granted, so it grants
// nothing while those leases may be valid.
func TestNoShareBeforeEarlierLeasesExpire(t *testing.T) {
	for _, c := range []struct {
		vacant, later, from float64 // later is the vacancy reported after Start, from the time of the first share after it; all in milliseconds
	}{
		{0, 0, testLease + WindowMs},
		{1000, 0, testLease + WindowMs - 1000},
		{1000, 2000, testLease + WindowMs - 2000},
		{1e9, 0, 0},
	} {
		coordinator := NewCoordinator(testLease)
		coordinator.Start(5000, c.vacant)
		coordinator.ReportVacancy(c.later)
		if c.from > 0 {
			assert.Equal(t, coordinator.Renew(5000+c.from-1, "a").RequestsPerSecond(testBudget, 1), 0)
		}
		assert.Equal(t, coordinator.Renew(5000+c.from, "a").RequestsPerSecond(testBudget, 1), int(testBudget))
	}
	assert.Equal(t, NewCoordinator(testLease).Renew(1e9, "a").RequestsPerSecond(testBudget, 1), 0, "a coordinator that was never started")
}

// TestLeaseExpires checks that a lease counts from the time at which it was requested.
func TestLeaseExpires(t *testing.T) {
	var l Lease
	assert.Equal(t, l.RequestsPerSecond(0, testBudget, 1), 0)
	l.Renew(Grant{Current: Share{0, 1}}, 100, testLease)
	assert.Equal(t, l.RequestsPerSecond(100+testLease-1, testBudget, 1), int(testBudget))
	assert.Equal(t, l.RequestsPerSecond(100+testLease, testBudget, 1), 0)
}

// TestChangeTakesTwoSteps: a gatekeeper that joins has no share before all larger shares have been given up for one
// window.
func TestChangeTakesTwoSteps(t *testing.T) {
	coordinator := NewCoordinator(testLease)
	coordinator.Start(0, 1e9)
	sends := func(now float64, id string) int { return coordinator.Renew(now, id).RequestsPerSecond(testBudget, 1) }
	assert.Equal(t, sends(0, "a"), 15)
	assert.Equal(t, sends(100, "b"), 0)
	assert.Equal(t, sends(200, "a"), coordinator.Renew(200, "a").Next.sends(testBudget, 1), "requests a second under the smaller of both shares")
	for now := 300.0; now < 100+testLease+WindowMs; now += 100 {
		assert.Equal(t, sends(now, "b"), 0)
		sends(now, "a")
	}
	assert.Equal(t, sends(100+testLease+WindowMs, "a")+sends(100+testLease+WindowMs, "b"), 15)
}

// TestUnchangedGatekeepersKeepTheirSlots lets gatekeepers join, leave and restart. A change that moved all slots
// would leave little of the budget in use in a large fleet, since each gatekeeper uses the smaller of its old and its
// new share.
func TestUnchangedGatekeepersKeepTheirSlots(t *testing.T) {
	const count = 63
	coordinator := NewCoordinator(testLease)
	coordinator.Start(0, 1e9)
	incarnations := map[string]string{} // incarnation by node
	for i := range count {
		incarnations[fmt.Sprintf("g%02d", i)] = "1"
	}
	askAll := func(now float64) (sends int) {
		for name, incarnation := range incarnations {
			sends += coordinator.Renew(now, name+"/"+incarnation).RequestsPerSecond(testBudget, 7)
		}
		return sends
	}
	askAll(0)
	now := 500.0
	for ; now < 8000; now += 500 {
		askAll(now)
	}
	assert.Equal(t, askAll(now), int(testBudget))
	for i := range 40 { // one restarts every second
		name := fmt.Sprintf("g%02d", i%count)
		incarnations[name] = fmt.Sprint(2 + i)
		for range 2 {
			now += 500
			sends := askAll(now)
			assert.Assert(t, sends >= int(testBudget)-4, "%d requests in a second at %v ms", sends, now)
		}
	}
	for _, name := range []string{"g05", "g33"} { // these leave, and return after their leases have expired
		delete(incarnations, name)
		for range 16 {
			now += 500
			sends := askAll(now)
			assert.Assert(t, sends >= int(testBudget)-4, "%d requests in a second at %v ms", sends, now)
		}
		incarnations[name] = "99"
	}
	for i := range 20 { // these leave for good
		delete(incarnations, fmt.Sprintf("g%02d", i))
	}
	for end := now + keepVacantMs + 5*(testLease+WindowMs); now < end; now += 500 {
		askAll(now)
	}
	assert.Equal(t, len(coordinator.current), count-20)
	assert.Equal(t, askAll(now), int(testBudget))
}

// greedyGatekeeper is a simulated gatekeeper that sends a cold worker as much as its lease allows.
type greedyGatekeeper struct {
	node        int
	lease       Lease
	incarnation int
	askAt       float64
	cutOff      bool
	frozenUntil float64
	pending     *Grant // an answer that has not arrived yet
	askedAt     float64
	arrivesAt   float64
	sentAt      []float64
}

// TestBudgetHoldsInEverySecond cuts off, freezes and restarts gatekeepers, delays answers and moves the duty to new
// coordinators.
func TestBudgetHoldsInEverySecond(t *testing.T) {
	for seed := range uint64(40) {
		highest := simulateGreedy(seed)
		assert.Assert(t, highest <= int(testBudget), "seed %d: %d requests in a second", seed, highest)
		assert.Assert(t, highest >= int(testBudget)-3, "seed %d: at most %d requests in a second, much of the budget is unused", seed, highest)
	}
}

// simulateGreedy runs gatekeepers for 30 s and returns the highest number of requests in a window.
func simulateGreedy(seed uint64) (highest int) {
	random := rand.New(rand.NewPCG(seed, 1))
	coordinator := NewCoordinator(testLease)
	coordinator.Start(0, 1e9)
	gatekeepers := make([]greedyGatekeeper, 1+random.IntN(12))
	for i := range gatekeepers {
		gatekeepers[i].node = i
	}
	var sentAt []float64
	vacantFrom, vacantTo := 0.0, 0.0
	incarnations := 0
	for now := 0.0; now < 30_000; now += 10 {
		switch random.IntN(400) {
		case 0:
			vacantFrom, vacantTo = now, now+random.Float64()*3000
		case 1:
			g := &gatekeepers[random.IntN(len(gatekeepers))]
			incarnations++
			*g = greedyGatekeeper{node: g.node, incarnation: incarnations, askAt: now}
		case 2:
			g := &gatekeepers[random.IntN(len(gatekeepers))]
			g.frozenUntil = now + random.Float64()*4000
		case 5:
			if len(gatekeepers) < 16 { // a second incarnation beside the first, which goes on
				incarnations++
				gatekeepers = append(gatekeepers, greedyGatekeeper{node: gatekeepers[random.IntN(len(gatekeepers))].node, incarnation: incarnations, askAt: now})
			}
		case 3, 4:
			from, to := random.IntN(len(gatekeepers)), random.IntN(len(gatekeepers)+1)
			for i := range gatekeepers {
				gatekeepers[i].cutOff = i >= from && i < to
			}
		}
		if vacantTo > 0 && now >= vacantTo {
			coordinator = NewCoordinator(testLease)
			coordinator.Start(now, now-vacantFrom)
			vacantTo = 0
		}
		for i := range gatekeepers {
			g := &gatekeepers[i]
			if now < g.frozenUntil {
				continue
			}
			if g.pending != nil && now >= g.arrivesAt {
				g.lease.Renew(*g.pending, g.askedAt, testLease)
				g.pending = nil
			}
			if now >= g.askAt && g.pending == nil && !g.cutOff && vacantTo == 0 {
				answer := coordinator.Renew(now+1, fmt.Sprint(g.node, "/", g.incarnation))
				g.pending, g.askedAt, g.arrivesAt, g.askAt = &answer, now, now+random.Float64()*400, now+500
			}
			recent := 0
			for j := len(g.sentAt) - 1; j >= 0 && g.sentAt[j] >= now-WindowMs; j-- {
				recent++
			}
			for range g.lease.RequestsPerSecond(now, testBudget, seed) - recent {
				g.sentAt = append(g.sentAt, now)
				sentAt = append(sentAt, now)
			}
		}
		first, _ := slices.BinarySearch(sentAt, now-WindowMs)
		highest = max(highest, len(sentAt)-first)
	}
	return highest
}
