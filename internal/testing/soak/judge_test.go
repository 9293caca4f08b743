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

// run is a run of one gatekeeper that was not played.
func run(at time.Time, lives ...*life) (*Run, *machine) {
	f := &fleet{net: "127.70"}
	m := &machine{name: "gatekeeper-0", ip: "127.70.10.1"}
	m.processes = []*process{{fleet: f, machine: m, program: Proxy, lives: lives}}
	f.gatekeepers = []*machine{m}
	scenario := &Scenario{Size: Size{Tenants: 2, RatePerS: 10}}
	r := &Run{scenario: scenario, fleet: f, tenants: tenantsOf(scenario.Size), ledger: standin.NewLedger(),
		operator: &operator{}, crowd: &crowd{}, began: at, ended: at.Add(time.Minute), newest: formatEdition(0)}
	return r, m
}

// asked adds a request with one try.
func (r *Run) asked(m *machine, kind int, o outcome, after, took time.Duration, runs int) {
	a := attempt{id: fmt.Sprint(len(r.crowd.requests)), gatekeeper: m.at(portClients), outcome: o, sent: r.began.Add(after), ended: r.began.Add(after + took)}
	r.ledger.Runs[a.id] = runs
	r.crowd.requests = append(r.crowd.requests, &request{at: a.sent, kind: kind, attempts: []attempt{a}})
}

func rules(r *Run) (out []Rule) {
	for _, f := range r.Findings() {
		out = append(out, f.Rule)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestWhatIsFound: each rule is found where it is broken, and not where a machine's own trouble explains it.
func TestWhatIsFound(t *testing.T) {
	at := time.Now()
	const read, submit = 0, 1
	running := func() *life { return &life{from: at} }
	for _, c := range []struct {
		name  string
		lives []*life
		ask   func(*Run, *machine)
		found []Rule
	}{
		{"all served", []*life{running()}, func(r *Run, m *machine) { r.asked(m, read, served, 0, time.Second, 1) }, nil},
		{"an unsafe one ran twice", []*life{running()}, func(r *Run, m *machine) { r.asked(m, submit, served, 0, time.Second, 2) }, []Rule{Twice}},
		{"a safe one may", []*life{running()}, func(r *Run, m *machine) { r.asked(m, read, served, 0, time.Second, 2) }, nil},
		{"a promise was broken", []*life{running()}, func(r *Run, m *machine) {
			r.asked(m, submit, refused, 0, time.Second, 1)
			r.asked(m, submit, served, 0, time.Second, 1)
			r.asked(m, submit, served, 0, time.Second, 1)
		}, []Rule{Promise}},
		{"cut in a drain", []*life{{from: at, signal: syscall.SIGTERM, signalAt: at, to: at.Add(5 * time.Second)}}, func(r *Run, m *machine) {
			r.asked(m, submit, closed, time.Second, time.Second, 1)
			r.asked(m, submit, served, 0, time.Second, 1)
			r.asked(m, submit, served, 0, time.Second, 1)
		}, []Rule{Lost}},
		{"cut by a kill", []*life{{from: at, signal: syscall.SIGKILL, signalAt: at.Add(2 * time.Second), to: at.Add(2 * time.Second)}}, func(r *Run, m *machine) {
			r.asked(m, submit, closed, time.Second, time.Second, 1)
			r.asked(m, submit, served, 0, time.Second, 1)
			r.asked(m, submit, served, 0, time.Second, 1)
		}, nil},
		{"ended by itself", []*life{{from: at, to: at.Add(time.Second), exit: "exit status 2"}}, func(r *Run, m *machine) { r.asked(m, read, served, 0, time.Second, 1) }, []Rule{Ends}},
		{"a kind that is hardly served", []*life{running()}, func(r *Run, m *machine) {
			for k := range 100 {
				r.asked(m, read, served, time.Duration(k)*time.Second, time.Second, 1)
			}
			for range 14 {
				r.asked(m, submit, failed, 0, time.Second, 1)
			}
		}, []Rule{Starved}},
		{"too little", []*life{running()}, func(r *Run, m *machine) {
			r.asked(m, read, failed, 0, time.Second, 1)
		}, []Rule{Short}},
	} {
		r, m := run(at, c.lives...)
		r.scenario.Warm = 30 * time.Second
		c.ask(r, m)
		assert.DeepEqual(t, rules(r), c.found)
	}
}

// TestOneSeedOneScenario, and series of core machines leave a majority in place.
func TestOneSeedOneScenario(t *testing.T) {
	size := Size{Zones: 4, Gatekeepers: 20, Cores: 5, Workers: 40, Tenants: 10, RatePerS: 10}
	for seed := range uint64(200) {
		s := Draw(seed, size, 6)
		assert.Equal(t, s.String(), Draw(seed, size, 6).String())
		for _, step := range s.Steps {
			assert.Assert(t, step.Count > 0 && step.ends() <= s.troubled())
			if step.Action == KillCores {
				assert.Assert(t, 2*step.Count < size.Cores+1, step.String())
			}
		}
	}
}
