package policy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Positions go by the tenant's rank, then the route's, then the order within the rank, then the hash.
func TestShedOrder(t *testing.T) {
	terms := ShedTerms{Key: 7}
	of := func(tenant, route, waits int) ShedPosition {
		return terms.Position(tenant, Tier(tenant, route, waits), "t", "c")
	}
	for _, c := range []struct{ low, high ShedPosition }{
		{of(0, 9, 9), of(1, 0, 0)},
		{of(1, 2, 9), of(1, 3, 0)},
		{of(1, 2, 0), of(1, 2, 1)},
		{of(15, 15, 15), ShedNothing},
	} {
		assert.Assert(t, c.low < c.high, "position %#x is not below %#x", c.low, c.high)
	}
	assert.Equal(t, of(99, 99, 99), of(15, 15, 15), "ranks above the highest count as the highest")
	assert.Equal(t, TierOf(of(3, 2, 1)), Tier(3, 2, 1))
}

// The latency target decides first, then the work. Equal properties get equal numbers, and names play no part.
func TestRouteOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes []RouteProperties
		want   []int
	}{
		{"longer target", []RouteProperties{{0, 800, 1}, {0, 500, 9}}, []int{1, 0}},
		{"more work", []RouteProperties{{0, 500, 3}, {0, 500, 7}}, []int{0, 1}},
		{"equal properties", []RouteProperties{{0, 500, 3}, {0, 500, 3}, {0, 600, 3}}, []int{0, 0, 1}},
		{"other ranks", []RouteProperties{{0, 900, 0}, {1, 100, 0}, {1, 200, 0}}, []int{0, 0, 1}},
		{"none", nil, []int{}},
	} {
		got := RouteOrder(c.routes)
		assert.DeepEqual(t, got, c.want)
	}
}

// All requests of a caller get the same answer, and a cut is fair to two tenants of one rank.
func TestShedDecisionIsTheSameForACaller(t *testing.T) {
	terms := ShedTerms{Key: 0xabcdef}
	tier := Tier(2, 0, 0)
	cut := ShedPosition(tier)<<offsetBits | 1<<(offsetBits-1)
	below := map[string]int{}
	const callers = 2000
	for _, tenant := range []string{"one", "two"} {
		for i := range callers {
			name := fmt.Sprint(i)
			spot := terms.Position(2, tier, tenant, name)
			assert.Equal(t, spot, terms.Position(2, tier, tenant, name))
			if spot < cut {
				below[tenant]++
			}
		}
	}
	for tenant, n := range below {
		assert.Assert(t, n > callers*45/100 && n < callers*55/100,
			"%s: %d of %d callers pass a cut at half a tier", tenant, n, callers)
	}
	assert.Assert(t, CallerHash(1, "ab", "c") != CallerHash(1, "a", "bc"),
		"tenant and caller are not separated")
	assert.Assert(t, CallerHash(1, "a", "b") != CallerHash(2, "a", "b"), "the key has no effect")
}

// Each turn moves a caller across a cut at most once, and over sixteen turns all callers are treated alike.
func TestShedTurns(t *testing.T) {
	tier := Tier(1, 0, 0)
	for _, eighths := range []ShedPosition{1, 4, 7} {
		cut := ShedPosition(tier)<<offsetBits | eighths<<(offsetBits-3)
		for i := range 200 {
			passed := 0
			for turn := range uint64(16) {
				if (ShedTerms{Key: 3, Turn: turn}).Position(1, tier, "t", fmt.Sprint(i)) < cut {
					passed++
				}
			}
			assert.Equal(t, passed, int(eighths)*2, "caller %d passes %d of 16 turns with a cut at %d eighths",
				i,
				passed, eighths)
		}
	}
}

// Tenants and the part of a tier that are never shed.
func TestNeverShed(t *testing.T) {
	terms := ShedTerms{Key: 5, NeverBelowRank: 1, KeptFraction: 0.25}
	assert.Equal(t, terms.Position(0, Tier(0, 5, 0), "t", "c"), ShedPosition(0))
	kept := 0
	for i := range 2000 {
		if terms.Position(4, Tier(4, 0, 0), "t", fmt.Sprint(i)) == 0 {
			kept++
		}
	}
	assert.Assert(t, kept > 440 && kept < 560, "%d of 2000 callers are never shed, want a quarter", kept)
}

// The waits are spread over callers, are longer for lower tiers, and are never zero.
func TestShedWait(t *testing.T) {
	terms := ShedTerms{Key: 5}
	cut := ShedPosition(Tier(1, 0, 0)) << offsetBits
	last := Micros(0)
	for rank := 1; rank < 4; rank++ {
		least, most := Micros(1<<62), Micros(0)
		for i := range 400 {
			w := ShedWait(terms.Position(rank, Tier(rank, 0, 0), "t", fmt.Sprint(i)), cut, uint64(i))
			least, most = min(least, w), max(most, w)
		}
		assert.Assert(t, least >= shedBaseWait/2 && most <= maxShedWait && most > least*3/2,
			"rank %d: waits from %d to %d us", rank, least, most)
		assert.Assert(t, least >= last, "rank %d waits less than the rank before it", rank)
		last = least
	}
}
