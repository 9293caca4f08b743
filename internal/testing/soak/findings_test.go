package soak

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/testing/standin"
)

// newTestRun returns a run with one gatekeeper, without starting any process.
func newTestRun(startedAt time.Time, runs ...*processRun) (*Run, *machine) {
	f := &fleet{network: "127.70"}
	gatekeeper := &machine{name: "gatekeeper-0", ip: "127.70.10.1"}
	gatekeeper.processes = []*process{{fleet: f, machine: gatekeeper, program: Proxy, runs: runs}}
	f.gatekeepers = []*machine{gatekeeper}
	scenario := &Scenario{Size: Size{Tenants: 2, RatePerS: 10}}
	run := &Run{scenario: scenario, fleet: f, tenants: makeTenants(scenario.Size), ledger: standin.NewExecutionLog(),
		operator: &operator{}, clientPool: &clientPool{}, startedAt: startedAt, endedAt: startedAt.Add(time.Minute), readBackEdition: formatEdition(0)}
	return run, gatekeeper
}

// addRequest adds a request with one attempt that ended with the given outcome and ran the given number of times.
func (r *Run) addRequest(gatekeeper *machine, kind int, result outcome, offset, duration time.Duration, runs int) {
	try := attempt{id: fmt.Sprint(len(r.clientPool.requests)), gatekeeper: gatekeeper.at(portClients), outcome: result, sentAt: r.startedAt.Add(offset), endedAt: r.startedAt.Add(offset + duration)}
	r.ledger.Runs[try.id] = runs
	r.clientPool.requests = append(r.clientPool.requests, &request{startedAt: try.sentAt, kind: kind, attempts: []attempt{try}})
}

// brokenRules returns the rules of the findings of a run, sorted and without duplicates.
func brokenRules(r *Run) (broken []Rule) {
	for _, f := range r.Findings() {
		broken = append(broken, f.Rule)
	}
	slices.Sort(broken)
	return slices.Compact(broken)
}

// TestFindings checks that violations of rules are found, and that a request cut by the kill of its gatekeeper is not one.
func TestFindings(t *testing.T) {
	startedAt := time.Now()
	const read, submit = 0, 1
	running := func() *processRun { return &processRun{startedAt: startedAt} }
	for _, c := range []struct {
		name        string
		runs        []*processRun
		addRequests func(*Run, *machine)
		want        []Rule
	}{
		{"all requests served", []*processRun{running()}, func(r *Run, m *machine) { r.addRequest(m, read, outcomeServed, 0, time.Second, 1) }, nil},
		{"unsafe request ran twice", []*processRun{running()}, func(r *Run, m *machine) { r.addRequest(m, submit, outcomeServed, 0, time.Second, 2) }, []Rule{RuleRanTwice}},
		{"safe request ran twice", []*processRun{running()}, func(r *Run, m *machine) { r.addRequest(m, read, outcomeServed, 0, time.Second, 2) }, nil},
		{"refused request ran", []*processRun{running()}, func(r *Run, m *machine) {
			r.addRequest(m, submit, outcomeRefused, 0, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
		}, []Rule{RuleRanAfterRefusal}},
		{"request cut during graceful shutdown", []*processRun{{startedAt: startedAt, signal: syscall.SIGTERM, signalAt: startedAt, endedAt: startedAt.Add(5 * time.Second)}}, func(r *Run, m *machine) {
			r.addRequest(m, submit, outcomeClosed, time.Second, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
		}, []Rule{RuleRequestCut}},
		{"request cut by SIGKILL", []*processRun{{startedAt: startedAt, signal: syscall.SIGKILL, signalAt: startedAt.Add(2 * time.Second), endedAt: startedAt.Add(2 * time.Second)}}, func(r *Run, m *machine) {
			r.addRequest(m, submit, outcomeClosed, time.Second, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
		}, nil},
		{"answer broken off by its worker", []*processRun{running()}, func(r *Run, m *machine) {
			for range allowedCuts + 2 {
				r.ledger.Broken[fmt.Sprint(len(r.clientPool.requests))] = true
				r.addRequest(m, submit, outcomeClosed, 0, time.Second, 1)
			}
			for range 10 * allowedCuts {
				r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
			}
		}, nil},
		{"broken answer taken for a whole one", []*processRun{running()}, func(r *Run, m *machine) {
			r.ledger.Broken[fmt.Sprint(len(r.clientPool.requests))] = true
			r.addRequest(m, submit, outcomeMismatched, 0, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
			r.addRequest(m, submit, outcomeServed, 0, time.Second, 1)
		}, []Rule{RuleWrongResponse}},
		{"process exited by itself", []*processRun{{startedAt: startedAt, endedAt: startedAt.Add(time.Second), exitStatus: "exit status 2"}}, func(r *Run, m *machine) { r.addRequest(m, read, outcomeServed, 0, time.Second, 1) }, []Rule{RuleUnexpectedExit}},
		{"kind of request hardly served", []*processRun{running()}, func(r *Run, m *machine) {
			for k := range 100 {
				r.addRequest(m, read, outcomeServed, time.Duration(k)*time.Second, time.Second, 1)
			}
			for range 14 {
				r.addRequest(m, submit, outcomeFailed, 0, time.Second, 1)
			}
		}, []Rule{RuleStarvation}},
		{"too few requests served", []*processRun{running()}, func(r *Run, m *machine) {
			r.addRequest(m, read, outcomeFailed, 0, time.Second, 1)
		}, []Rule{RuleTooFewServed}},
	} {
		r, m := newTestRun(startedAt, c.runs...)
		r.scenario.WarmUp = 30 * time.Second
		c.addRequests(r, m)
		assert.DeepEqual(t, brokenRules(r), c.want)
	}
}

// TestSameSeedGivesSameScenario checks that scenarios are reproducible, and that a step that kills core machines leaves a
// majority of them.
func TestSameSeedGivesSameScenario(t *testing.T) {
	size := Size{Zones: 4, Gatekeepers: 20, Cores: 5, Workers: 40, Tenants: 10, RatePerS: 10}
	for seed := range uint64(200) {
		scenario := RandomScenario(seed, size, 6)
		assert.Equal(t, scenario.String(), RandomScenario(seed, size, 6).String())
		assert.Equal(t, RandomScenario(seed, size, 6).WithBrokenAnswers().String(), RandomScenario(seed, size, 6).WithBrokenAnswers().String())
		for _, step := range scenario.Steps {
			assert.Assert(t, step.Count > 0 && step.endsAt() <= scenario.troubleEnd())
			if step.Action == KillCores {
				assert.Assert(t, 2*step.Count < size.Cores+1, step.String())
			}
		}
	}
}
