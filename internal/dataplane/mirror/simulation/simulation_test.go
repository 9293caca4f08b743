package simulation

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// smallPlan is a week with few enough flows for a test.
var smallPlan = Plan{Seed: 1, Gatekeepers: 4, Flows: 6000, PollIntervalS: 60}

// A small simulated week has no violations, and contains the events that are to be tested.
func TestSimulatedWeekHasNoViolations(t *testing.T) {
	sim := simulate(smallPlan)
	violations := sim.ledger.violations(days)
	assert.Equal(t, len(violations), 0, "%v", violations)
	verdict, totals := sim.ledger.verdict, sim.ledger.totals
	assert.Assert(t, verdict.Complete > 1000 && verdict.Copies > 5000 && verdict.Partial > 0 && totals.NotSelected > 0 && sim.ledger.abruptExits == 0, "%+v %+v", verdict, totals)
	for dayIndex := range days {
		assert.Assert(t, verdict.Delivered[dayIndex] > 20, "day %d: %v", dayIndex, verdict.Delivered)
	}
}

// Each check detects the faults for which it is made.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for fault, testCase := range map[string]struct {
		days int
		want string
	}{"choice": {1, "pairs"}, "loss": {2, "lack"}, "twice": {1, "double"}, "careless": {1, "calm"}, "ages": {1, "order"}, "forgetful": {1, "double"},
		"stances": {2, "lack"}, "handed": {2, "double"}, "half": {2, "lack"}, "death": {4, "lack"}, "retry": {4, "double"}, "resend": {4, "unsafe"},
		"cut": {6, "lack"}, "blind": {6, "live"}} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, plantedFaults[fault] != "")
			plan := smallPlan
			plan.Fault, plan.Days = fault, testCase.days
			if fault == "loss" || fault == "cut" || fault == "stances" { // these faults have an effect on few flows
				plan.Flows = 20_000
			}
			violations := simulate(plan).ledger.violations(testCase.days)
			assert.Assert(t, violations[testCase.want] != "", "%v", slices.Sorted(maps.Keys(violations)))
		})
	}
	assert.Equal(t, len(plantedFaults), 14)
}
