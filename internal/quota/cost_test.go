package quota

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnAskingLooksAtItsOwnQuotas is about a fleet of 270 gatekeepers and 190 small tenants that refused nearly all
// requests as over their quotas, though each tenant asked for less than two thirds of its own.
//
// What happened: each gatekeeper asks the one registry that allots quotas twice a second, and one whose buckets
// are empty four times as often. Each answer looked at all members for all tenants, 51,300 holdings or 0.42 ms, though a small
// quota concerns two gatekeepers; the registry needed more processor than a core machine has. Answers came late,
// leases ended, buckets ran empty, and empty buckets made for more askings.
//
// The evidence: one registry at 0.35 of a core with 200 gatekeepers and the others at 0.03; 39,600 holdings looked at
// for each asking (foxwood_quota_holdings_looked_total by foxwood_quota_draws_total).
func TestAnAskingLooksAtItsOwnQuotas(t *testing.T) {
	const gatekeepers, tenants = 270, 190
	const homes = 2     // gatekeepers that a small quota concerns
	const passes = 20.0 // over all members that one own quota may cost
	a := New(lease, rule)
	a.Homes = true
	terms := map[string]Terms{}
	for k := range tenants {
		terms[fmt.Sprintf("t%03d", k)] = Terms{RatePerS: 3, Surge: 3}
	}
	var ids []string
	for i := range gatekeepers {
		ids = append(ids, fmt.Sprintf("s%03d/a", i))
	}
	a.Members(0, ids)
	a.Terms(0, terms, 1)
	a.Begin(0, 0)
	demand, holding := make([]Demand, gatekeepers), make([]map[string]Slice, gatekeepers)
	for i := range gatekeepers {
		demand[i] = Demand{}
	}
	for k := range tenants {
		for h := range homes {
			demand[(k*7+h*135)%gatekeepers][fmt.Sprintf("t%03d", k)] = 1
		}
	}
	round := func(turn uint64) (looked uint64) {
		before := a.Looked()
		for i := range gatekeepers {
			now := float64(turn)*500 + float64(i)
			holding[i] = a.Ask(now, ids[i], turn, demand[i], holding[i], lease-500)
		}
		return a.Looked() - before
	}
	for turn := range uint64(4) { // grants of an earlier allotter are over, all have asked
		round(turn + 1)
	}
	most := passes * gatekeepers * tenants * homes / gatekeepers // for each asking
	each := float64(round(5)) / gatekeepers
	t.Logf("%.0f holdings looked at for each asking", each)
	assert.Assert(t, each <= most, "%.0f holdings looked at for each asking, at most %.0f", each, most)
}
