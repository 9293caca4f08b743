package overloadtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/testing/standin"
)

// TestJudgeFindsViolations checks that each kind of violation is found, and that none is reported for a
// correct run, within the settling time, or between an isolated proxy and the others.
func TestJudgeFindsViolations(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(second float64) time.Time { return start.Add(time.Duration(second * float64(time.Second))) }
	newAttempt := func(id string, second float64, proxy, tier, route, outcome int) *attempt {
		return &attempt{id: id, proxy: proxy, caller: "c", tenantTier: tier, route: route, sent: at(second), ended: at(second + 0.01), outcome: outcome}
	}
	changes := []levelChange{{at(5), -1}, {at(5.6), -1}}
	for _, tc := range []struct {
		name     string
		attempts []*attempt
		runs     map[string]int
		isolated []isolation
		want     verdict
	}{
		{"no violation", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeOK), newAttempt("b", 1.1, 1, 1, 1, outcomeShed)}, map[string]int{"a": 1}, nil, verdict{attempts: 2, settledPairs: 1, allPairs: 1}},
		{"unsafe request ran twice", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeOK)}, map[string]int{"a": 2}, nil, verdict{attempts: 1, unsafeRanTwice: 1}},
		{"safe request ran twice", []*attempt{newAttempt("a", 1, 0, 0, 0, outcomeOK)}, map[string]int{"a": 2}, nil, verdict{attempts: 1}},
		{"accepted but not run", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeOK)}, nil, nil, verdict{attempts: 1, acceptedNotRun: 1}},
		{"refused but run", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeShed)}, map[string]int{"a": 1}, nil, verdict{attempts: 1, refusedRan: 1}},
		{"higher tier shed while a lower passed", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeShed), newAttempt("b", 3, 0, 1, 1, outcomeOK)}, map[string]int{"b": 1}, nil, verdict{attempts: 2, outOfOrder: 1}},
		{"within the settling time", []*attempt{newAttempt("a", 5.2, 0, 0, 1, outcomeShed), newAttempt("b", 5.5, 0, 1, 1, outcomeOK)}, map[string]int{"b": 1}, nil, verdict{attempts: 2}},
		{"within the settling time of a second change", []*attempt{newAttempt("a", 6.2, 0, 0, 1, outcomeShed), newAttempt("b", 6.4, 0, 1, 1, outcomeOK)}, map[string]int{"b": 1}, nil, verdict{attempts: 2}},
		{"before and after a change", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeShed), newAttempt("b", 7, 0, 1, 1, outcomeOK)}, map[string]int{"b": 1}, nil, verdict{attempts: 2}},
		{"isolated proxy against the others", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeShed), newAttempt("b", 3, 1, 1, 1, outcomeOK)}, map[string]int{"b": 1},
			[]isolation{{0, at(0.5), at(4)}}, verdict{attempts: 2}},
		{"isolated proxy by itself", []*attempt{newAttempt("a", 1, 0, 0, 1, outcomeShed), newAttempt("b", 3, 0, 1, 1, outcomeOK)}, map[string]int{"b": 1},
			[]isolation{{0, at(0.5), at(4)}}, verdict{attempts: 2, outOfOrder: 1}},
	} {
		ledger := standin.NewExecutionLog()
		for id, n := range tc.runs {
			ledger.Runs[id] = n
		}
		for _, oneOrder := range []bool{true, false} {
			got := judge(tc.attempts, ledger, changes, tc.isolated, start, at(10), oneOrder)
			got.outOfOrderExample, got.settledTime = "", 0
			assert.Equal(t, got, tc.want, tc.name)
		}
	}
}

// TestJudgeOrderPerService checks that the order of tiers is judged for each service separately, and
// across all services if one cut holds for all.
func TestJudgeOrderPerService(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(second float64) time.Time { return start.Add(time.Duration(second * float64(time.Second))) }
	attempts := []*attempt{{id: "a", caller: "a", tenantTier: 1, route: 1, sent: at(1), ended: at(1), outcome: outcomeShed},
		{id: "b", caller: "b", tenantTier: 2, route: 2, sent: at(2), ended: at(2), outcome: outcomeOK}}
	ledger := &standin.ExecutionLog{Runs: map[string]int{"b": 1}}
	assert.Equal(t, judge(attempts, ledger, nil, nil, start, at(10), false).outOfOrder, 0)
	assert.Equal(t, judge(attempts, ledger, nil, nil, start, at(10), true).outOfOrder, 1)
	attempts[1].route = 1
	assert.Equal(t, judge(attempts, ledger, nil, nil, start, at(10), false).outOfOrder, 1)
}
