package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRequestExaminesOnlyItsQuotas guards against allocation requests whose cost grows with the number
// of gatekeepers times the number of tenants. With 270 gatekeepers and 190 small tenants, each answer
// examined all 51,300 holdings, although a small quota concerns two gatekeepers (39,600 holdings per
// request by foxwood_quota_holdings_looked_total over foxwood_quota_draws_total; 66 requests took 0.5
// s on a core machine's share of the processor). A node that had just won the allocation duty received
// everyone's first request, needed longer than its lease to answer them and so could not renew it. It
// lost the duty 0.67 s after winning it, its successor started over, and none lasted the 1.3 s after
// which it may grant anything. Nearly all requests were then refused as over quota, although each
// tenant used less than two thirds of its own.
func TestRequestExaminesOnlyItsQuotas(t *testing.T) {
	const gatekeepers, tenants = 270, 190
	const owners = 2               // gatekeepers with a demand for a small quota
	const maxPassesPerQuota = 20.0 // over all members that a request may cost per quota it concerns
	allocator := New(leaseMs, testBounds)
	allocator.UseOwners = true
	limits := map[string]Limit{}
	for k := range tenants {
		limits[fmt.Sprintf("t%03d", k)] = Limit{RatePerS: 3, Burst: 3}
	}
	var ids []string
	for i := range gatekeepers {
		ids = append(ids, fmt.Sprintf("s%03d/a", i))
	}
	allocator.SetMembers(0, ids)
	allocator.SetLimits(0, limits, 1)
	allocator.Begin(0, 0)
	demand, holding := make([]Demand, gatekeepers), make([]map[string]Allocation, gatekeepers)
	for i := range gatekeepers {
		demand[i] = Demand{}
	}
	for k := range tenants {
		for h := range owners {
			demand[(k*7+h*135)%gatekeepers][fmt.Sprintf("t%03d", k)] = 1
		}
	}
	round := func(seq uint64) (examined uint64) {
		before := allocator.HoldingsExamined()
		for i := range gatekeepers {
			now := float64(seq)*500 + float64(i)
			holding[i] = allocator.Allocate(now, ids[i], seq, demand[i], holding[i], leaseMs-500)
		}
		return allocator.HoldingsExamined() - before
	}
	maxExamined := maxPassesPerQuota * gatekeepers * tenants * owners / gatekeepers // holdings examined per request
	for seq := range uint64(5) {                                                    // everyone's first requests, and those after the first grants
		examinedPerRequest := float64(round(seq+1)) / gatekeepers
		t.Logf("round %d: %.0f holdings examined per request", seq, examinedPerRequest)
		assert.Check(t, examinedPerRequest <= maxExamined, "round %d: %.0f holdings examined per request, want at most %.0f", seq, examinedPerRequest, maxExamined)
	}
}
