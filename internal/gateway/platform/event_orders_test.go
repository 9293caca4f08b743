package platform_test

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"

	"foxwood/gatekeeper"
	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// These tests try every order of a few events with two real gatekeepers (core, policy and host group), two simulated
// workers and a simulated counter. The simulation records what crosses the interfaces of the core and checks it after
// each event against five rules. A violation starts with the number of its rule:
//
//  1. Each request gets exactly one final answer, in time.
//  2. A request has at most one attempt at a time, at most maxAttempts in all, and no repeated attempt that its class
//     forbids.
//  3. A draining worker gets no new requests.
//  4. A worker in slow start gets no more requests than it can take.
//  5. A customer does not exceed the ceiling of its plan.

const (
	timerSlackMS     = 50.0   // tolerance of every time limit
	drainMS          = 250.0  // from the announcement of a drain to the last new request
	slowStartMS      = 14000. // duration of the slow start
	slowStartShare   = 0.16   // of the capacity, at the beginning of the slow start
	overloadFactor   = 3.0    // a worker is overloaded by this multiple of its capacity
	overloadWindowMS = 1500.0
	workerCapacity   = 10.0 // requests per second of a worker past its slow start
	maxAttempts      = 3
	ceilingRate      = 40.0 // units per second
	ceilingBurst     = 48.0 // units
	ceilingCustomer  = 18   // a customer whose window on the counter is old enough at the start
	ceilingSlack     = 6.0  // one request of the maximum units
)

// deploymentSettings returns the settings that the simulation and its checks use. Gatekeepers have the same settings,
// except in TestRuleViolationsAreDetected.
func deploymentSettings() policy.Settings {
	return policy.Settings{GatewayCount: 2, ClockTick: 4000, MaxAttempts: maxAttempts, CanCancel: true, SendRetryAfter: true,
		HasCounter: true, CounterTimeout: 50e3, MaxUnits: 6, SettlesUnits: true, LoadReportFields: []string{"inflight"},
		ColdCapacity: slowStartShare, ColdDuration: slowStartMS * 1000, OverloadMultiple: overloadFactor, OverloadWindow: overloadWindowMS * 1000,
		Classes: []policy.Class{
			{LatencyTarget: 400e3, Deadline: 2e6, Value: 1, Repeat: policy.RepeatSafe},
			{LatencyTarget: 750e3, Deadline: 2e6, Value: 2, Repeat: policy.RepeatKeyed, RepeatWindow: 300e3},
			{LatencyTarget: 750e3, Deadline: 2e6, Value: 2, Repeat: policy.RepeatUnsafe},
			{LatencyTarget: 750e3, Deadline: 2e6, Value: 2, Repeat: policy.RepeatKeyed, RepeatWindow: 300e3, Dedup: policy.DedupZone},
		},
		Plans: []policy.Plan{
			{Rate: 500, Burst: 500, Price: 1},
			{Rate: 20, Burst: 20, Price: 2, OverrunCost: 1.2, CeilingRate: ceilingRate, CeilingBurst: ceilingBurst, CeilingTolerance: ceilingSlack},
		}}
}

// simulation is the environment of the two gatekeepers.
type simulation struct {
	clock          *gatekeeper.Clock
	settings       policy.Settings
	gatekeepers    [2]*simGatekeeper
	incarnations   uint64
	requests       []*simRequest
	workers        map[string]*simWorker
	listVersion    int
	counterTotals  map[uint64]float64
	counterMode    string // "" (answers in time), "late" or "silent"
	counterAnswers []counterAnswer
	ceilingTokens  float64 // tokens left under the ceiling of plan 1
	refilledAt     float64 // time at which ceilingTokens was computed
	violations     []string
	lastEnded      *attempt // the attempt that ended last

	// deliberate defects
	hideListChanges, duplicateRefusals, keepEndedAttempts, stopTimers bool
}

// simWorker is a worker on the list.
type simWorker struct {
	addr, state    string
	startedAt      float64
	recentRequests []float64 // times of the requests received during slow start
}

// counterAnswer is an answer of the counter that is due at a time.
type counterAnswer struct {
	at         float64
	gatekeeper *simGatekeeper
	call       *gatekeeper.CounterCall
	total      float64
}

// descriptionDocument returns an OpenAPI description with the classes of deploymentSettings, from which the gatekeepers
// read theirs. The terms of class c1 are a parameter.
func descriptionDocument(c1 string) []byte {
	operation := func(path, method, terms string) string {
		return fmt.Sprintf(`"/%s":{%q:{"operationId":%[1]q,"parameters":[{"name":"Idempotency-Key","in":"header","required":true,`+
			`"schema":{"type":"string"}}],"x-foxwood":{%[3]s},"responses":{"200":{"description":"ok"}}}}`, path, method, terms)
	}
	return []byte(`{"openapi":"3.0.3","info":{"title":"t","version":"1"},"x-foxwood":{"deadline-ms":2000},"paths":{` + strings.Join([]string{
		operation("c0", "get", `"units":1,"aim-ms":400`), operation("c1", "post", c1),
		operation("c2", "post", `"units":1,"aim-ms":750,"worth":2,"repeat":"unsafe"`),
		operation("c3", "post", `"units":1,"aim-ms":750,"worth":2,"repeat":"keyed","window-ms":300,"group":"zone"`)}, ",") + `}}`)
}

const c1Terms = `"units":1,"aim-ms":750,"worth":2,"repeat":"keyed","window-ms":300`

// descriptions holds the description in force and one in which requests of a keyed class may be repeated freely.
var descriptions = sync.OnceValue(func() (d [2]*openapi.Description) {
	for i, terms := range []string{c1Terms, `"units":1,"aim-ms":750,"worth":2,"repeat":"safe"`} {
		var err error
		if d[i], err = openapi.Parse(descriptionDocument(terms)); err != nil {
			panic(err)
		}
	}
	return d
})

// descriptionWithoutCost parses an invalid description, and returns nil if it is rejected as it must be.
var descriptionWithoutCost = sync.OnceValue(func() *openapi.Description {
	d, err := openapi.Parse(descriptionDocument(`"aim-ms":750,"repeat":"safe"`))
	if err != nil {
		return nil
	}
	return d
})

// simGatekeeper is one incarnation of a gatekeeper, with the simulated interfaces of its core.
type simGatekeeper struct {
	*gatekeeper.Gatekeeper
	sim         *simulation
	index       int
	hostGroup   *platform.HostGroup
	wakeAt      float64
	outstanding []*attempt
	drainedAt   map[policy.Server]float64 // when it received that a worker drains
	workerIDs   map[policy.Server]string
	placements  int
	api         *openapi.Frontend // source of the classes; nil if the gatekeeper has wrong classes
}

// simRequest is a client's request and what happened to it.
type simRequest struct {
	gatekeeper   *simGatekeeper
	request      *gatekeeper.Request
	class        policy.Class // terms at its arrival
	deadline     float64
	finalAnswers int
	abandoned    bool // its client disconnected, or its gatekeeper stopped
	mayHaveRun   bool // a worker may have executed it
	mayHaveRunAt float64
	attempts     []*attempt
}

// attempt is one sending of a request to a worker.
type attempt struct {
	request   *simRequest
	execution *gatekeeper.Execution
	sentAt    float64
	ended     bool
}

func newSimulation(policySettings policy.Settings) *simulation {
	s := &simulation{clock: gatekeeper.NewClock(), settings: policySettings, counterTotals: map[uint64]float64{}, ceilingTokens: ceilingBurst,
		workers: map[string]*simWorker{"a": {addr: "127.0.0.1:9001", state: "ready"}, "b": {addr: "127.0.0.1:9002", state: "ready"}}}
	s.clock.Set(1e9)
	s.refilledAt = 1e9
	for i := range s.gatekeepers {
		s.startGatekeeper(i)
	}
	return s
}

func (s *simulation) violation(format string, a ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, a...))
}

func (s *simulation) now() float64 { return s.clock.Now() }

// startGatekeeper starts a gatekeeper, which knows nothing but the current list, in place of the previous one.
func (s *simulation) startGatekeeper(index int) {
	if old := s.gatekeepers[index]; old != nil {
		for _, attempt := range old.outstanding {
			attempt.ended = true
		}
		for _, request := range s.requests {
			request.abandoned = request.abandoned || request.gatekeeper == old
		}
		s.counterAnswers = slices.DeleteFunc(s.counterAnswers, func(a counterAnswer) bool { return a.gatekeeper == old })
	}
	s.incarnations++
	g := &simGatekeeper{sim: s, index: index, wakeAt: math.Inf(1), drainedAt: map[policy.Server]float64{}, workerIDs: map[policy.Server]string{}}
	policySettings := s.settings
	policySettings.Index = index
	if slices.Equal(policySettings.Classes, deploymentSettings().Classes) {
		var err error
		if g.api, err = openapi.NewFrontend(openapi.Config{CustomerHeader: "X-Bank"}, descriptions()[0], policySettings, settings.Names{}, s.clock); err != nil {
			s.violation("description: %v", err)
		}
		policySettings.Classes = g.api.Classes()
	}
	g.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: policySettings, Seed: s.incarnations, Clock: s.clock, Workers: g, Counter: g,
		RequestWakeUp: func(at float64) { g.wakeAt = at }})
	g.hostGroup = &platform.HostGroup{Core: g.Gatekeeper, Fleet: g, Names: settings.Names{Zones: []string{"norte"}}}
	if g.api != nil {
		g.api.Attach(g.Gatekeeper, func() bool { return false })
	}
	s.gatekeepers[index] = g
	g.receiveList(policy.CachedList, "a", "b")
}

// receiveList passes the state of workers to the host group as a line of the watch.
func (g *simGatekeeper) receiveList(kind policy.ListKind, ids ...string) {
	var lines []string
	for _, id := range ids {
		worker := g.sim.workers[id]
		server := platform.ServerID(id)
		g.workerIDs[server] = id
		if worker.state == "ready" {
			delete(g.drainedAt, server)
		} else if _, ok := g.drainedAt[server]; !ok {
			g.drainedAt[server] = g.sim.now()
		}
		state, started := worker.state, worker.startedAt
		if g.sim.hideListChanges && kind == policy.ListDelta {
			state, started = "ready", 0
		}
		lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"norte","cell":1,`+
			`"lifecycle":%q,"weight":1,"startedAtMs":%f}`, id, worker.addr, state, started))
	}
	g.sim.listVersion++
	err := g.hostGroup.ApplyLine([]byte(fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, g.sim.listVersion, kind != policy.ListDelta, strings.Join(lines, ","))))
	if err != nil {
		g.sim.violation("list: %v", err)
	}
}

// changeWorker changes a worker and announces it to both gatekeepers.
func (s *simulation) changeWorker(id string, change func(worker *simWorker)) {
	change(s.workers[id])
	for _, g := range s.gatekeepers {
		g.receiveList(policy.ListDelta, id)
	}
}

// Place counts the calls of the host group that set a worker's address.
func (g *simGatekeeper) Place(policy.Server, string, float64) { g.placements++ }

func (g *simGatekeeper) Release(policy.Server) {}

func (g *simGatekeeper) Execute(execution *gatekeeper.Execution) {
	sim, request := g.sim, execution.Request.Payload.(*simRequest)
	now := sim.now()
	if request.finalAnswers > 0 || request.abandoned {
		sim.violation("1: an attempt was sent after the end of its request")
	}
	for _, a := range request.attempts {
		if !a.ended {
			sim.violation("2: two concurrent attempts")
		}
	}
	if len(request.attempts) >= maxAttempts {
		sim.violation("2: attempt %d", len(request.attempts)+1)
	}
	if request.mayHaveRun && (request.class.Repeat == policy.RepeatUnsafe || request.class.Repeat == policy.RepeatKeyed && now-request.mayHaveRunAt > float64(request.class.RepeatWindow)/1000+timerSlackMS) {
		sim.violation("2: repeated %.0f ms after it may have run", now-request.mayHaveRunAt)
	}
	if now > request.deadline {
		sim.violation("an attempt was sent after the deadline")
	}
	if drained, ok := g.drainedAt[execution.Worker]; ok && now > drained+drainMS+timerSlackMS {
		sim.violation("3: new request %.0f ms after the drain was announced", now-drained)
	}
	worker := sim.workers[g.workerIDs[execution.Worker]]
	if age := now - worker.startedAt; worker.startedAt > 0 && age < slowStartMS {
		worker.recentRequests = append(worker.recentRequests, now)
		for worker.recentRequests[0] < now-overloadWindowMS {
			worker.recentRequests = worker.recentRequests[1:]
		}
		if budget := overloadFactor * workerCapacity * (slowStartShare + (1-slowStartShare)*age/slowStartMS) * overloadWindowMS / 1000; float64(len(worker.recentRequests)) > budget {
			sim.violation("4: %d requests to a worker %.0f ms after its start, at most %.1f are allowed", len(worker.recentRequests), age, budget)
		}
	}
	if request.request.Plan == 1 && len(request.attempts) == 0 {
		sim.ceilingTokens = min(sim.ceilingTokens+(now-sim.refilledAt)/1000*ceilingRate, ceilingBurst) - request.request.EstimatedUnits
		sim.refilledAt = now
		if sim.ceilingTokens < -ceilingSlack {
			sim.violation("5: %.1f tokens are left under the ceiling", sim.ceilingTokens)
		}
	}
	a := &attempt{request: request, execution: execution, sentAt: now}
	request.attempts = append(request.attempts, a)
	g.outstanding = append(g.outstanding, a)
}

func (g *simGatekeeper) Abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	for i, a := range g.outstanding {
		if a.execution == execution {
			g.outstanding = append(g.outstanding[:i:i], g.outstanding[i+1:]...)
			g.sim.endAttempt(a, policy.Timeout)
			return gatekeeper.SentAll
		}
	}
	return gatekeeper.SentNothing
}

// endAttempt records the end of an attempt.
func (s *simulation) endAttempt(a *attempt, status policy.Status) {
	a.ended, s.lastEnded = true, a
	if status != policy.Full && !a.request.mayHaveRun {
		a.request.mayHaveRun, a.request.mayHaveRunAt = true, a.sentAt
	}
}

// answerOldest ends the oldest outstanding attempt with a status. It returns false if there is none.
func (s *simulation) answerOldest(status policy.Status) bool {
	var g *simGatekeeper
	for _, candidate := range s.gatekeepers {
		if len(candidate.outstanding) > 0 && (g == nil || candidate.outstanding[0].sentAt < g.outstanding[0].sentAt) {
			g = candidate
		}
	}
	if g == nil {
		return false
	}
	a := g.outstanding[0]
	if !s.keepEndedAttempts {
		g.outstanding = g.outstanding[1:]
		s.endAttempt(a, status)
	}
	outcome := gatekeeper.Outcome{Status: status, Load: []float32{1}}
	if status == policy.OK {
		outcome.Units, outcome.Answer.Body = 1, []byte(a.request.request.Name) // less than the estimate, if that was 6
	}
	g.ExecutionEnded(a.execution, outcome)
	return true
}

// answerAgain answers the attempt that ended last once more. It returns false if its gatekeeper has stopped.
func (s *simulation) answerAgain() bool {
	if s.lastEnded == nil || s.lastEnded.request.gatekeeper != s.gatekeepers[s.lastEnded.request.gatekeeper.index] {
		return false
	}
	s.lastEnded.request.gatekeeper.ExecutionEnded(s.lastEnded.execution, gatekeeper.Outcome{Status: policy.OK, Answer: gatekeeper.Answer{Body: []byte("late")}})
	return true
}

func (g *simGatekeeper) Add(call *gatekeeper.CounterCall) {
	sim := g.sim
	if sim.counterMode == "silent" {
		return
	}
	sim.counterTotals[call.Name] += call.Amount
	at := sim.now() + 1
	if sim.counterMode == "late" {
		at += 80
	}
	sim.counterAnswers = append(sim.counterAnswers, counterAnswer{at, g, call, sim.counterTotals[call.Name]})
}

// advance advances the clock and runs all that becomes due.
func (s *simulation) advance(ms float64) bool {
	for end := s.now() + ms; ; {
		next := end
		for _, a := range s.counterAnswers {
			next = min(next, a.at)
		}
		for _, g := range s.gatekeepers {
			next = min(next, g.wakeAt)
		}
		s.clock.Set(max(next, s.now()))
		for i := 0; i < len(s.counterAnswers); i++ {
			if a := s.counterAnswers[i]; a.at <= next {
				s.counterAnswers = append(s.counterAnswers[:i:i], s.counterAnswers[i+1:]...)
				i--
				a.gatekeeper.CounterCallEnded(a.call, policy.OK, a.total)
			}
		}
		for _, g := range s.gatekeepers {
			if g.wakeAt <= next {
				g.wakeAt = math.Inf(1)
				if !s.stopTimers {
					g.RunDueTimers()
				}
			}
		}
		if next >= end {
			return true
		}
	}
}

func (s *simulation) submit(index, class, plan int, units float64) bool {
	g := s.gatekeepers[index]
	terms := deploymentSettings().Classes[class]
	left := float64(terms.Deadline) / 1000
	request := &simRequest{gatekeeper: g, class: terms, deadline: s.now() + left}
	classIndex := class
	if g.api != nil {
		classIndex = slices.Index(g.api.Classes(), request.class)
	}
	request.request = &gatekeeper.Request{Name: fmt.Sprint(len(s.requests)), Class: classIndex, Plan: plan, Customer: uint64(ceilingCustomer*plan + class), TimeLeft: left, EstimatedUnits: units,
		GatekeeperCount: 2, Responder: request, Payload: request}
	s.requests = append(s.requests, request)
	g.Submit(request.request)
	return s.advance(2) // so that the counter can answer
}

func (r *simRequest) recordFinal(outcome string) {
	sim := r.gatekeeper.sim
	if r.finalAnswers++; r.finalAnswers > 1 || r.abandoned {
		sim.violation("1: second final answer: %s", outcome)
	}
	if sim.now() > r.deadline+timerSlackMS {
		sim.violation("1: %s %.0f ms after the deadline", outcome, sim.now()-r.deadline)
	}
}

func (r *simRequest) Served(_ *gatekeeper.Request, answer gatekeeper.Answer) {
	if string(answer.Body) != r.request.Name {
		r.gatekeeper.sim.violation("1: served with the answer %q", answer.Body)
	}
	r.recordFinal("served")
}

func (r *simRequest) Throttled(_ *gatekeeper.Request, retryAfterMS float64) {
	if r.mayHaveRun && r.class.Repeat != policy.RepeatSafe && (r.class.Repeat != policy.RepeatKeyed || r.class.Dedup != policy.DedupFleet) {
		r.gatekeeper.sim.violation("2: refused although it may have been executed")
	}
	if retryAfterMS <= 0 {
		r.gatekeeper.sim.violation("a refusal has no retry delay")
	}
	r.recordFinal("refused")
	if r.gatekeeper.sim.duplicateRefusals {
		r.recordFinal("refused again")
	}
}

func (r *simRequest) Failed(*gatekeeper.Request) { r.recordFinal("failed") }

// disconnectClient disconnects the client of the oldest open request. It returns false if there is none.
func (s *simulation) disconnectClient() bool {
	for _, request := range s.requests {
		if request.finalAnswers == 0 && !request.abandoned {
			request.abandoned = true
			request.gatekeeper.ClientGone(request.request)
			return true
		}
	}
	return false
}

// checkUnanswered checks that no request is unanswered after its deadline.
func (s *simulation) checkUnanswered() {
	for _, request := range s.requests {
		if request.finalAnswers == 0 && !request.abandoned && s.now() > request.deadline+timerSlackMS {
			s.violation("1: no final answer")
			request.abandoned = true
		}
	}
}

// event is a possible event. Its function returns false if the event can't happen in the current state.
type event struct {
	name string
	run  func(s *simulation) bool
}

func arrival(name string, gatekeeper, class, plan int, units float64) event {
	return event{name, func(s *simulation) bool { return s.submit(gatekeeper, class, plan, units) }}
}

func attemptEnds(name string, status policy.Status) event {
	return event{name, func(s *simulation) bool { return s.answerOldest(status) }}
}

func timePasses(ms float64) event {
	return event{fmt.Sprintf("%.0f ms", ms), func(s *simulation) bool { return s.advance(ms) }}
}

func listChange(name, id string, change func(s *simulation, worker *simWorker)) event {
	return event{name, func(s *simulation) bool {
		s.changeWorker(id, func(worker *simWorker) { change(s, worker) })
		return true
	}}
}

func counterChange(mode string) event {
	return event{"counter " + mode, func(s *simulation) bool {
		if s.counterMode == mode {
			return false
		}
		s.counterMode = mode
		return true
	}}
}

// ceilingRequests is the arrival of two requests of plan 1, which has a ceiling. Each is estimated at the maximum units and
// costs one.
func ceilingRequests(index int) event {
	return event{fmt.Sprintf("two requests with a ceiling at %d", index), func(s *simulation) bool {
		first := s.submit(index, 0, 1, 6)
		return first && s.submit(index, 0, 1, 6)
	}}
}

// approachCeiling brings the customer near the ceiling of its plan, by requests that cost less than estimated and
// return the rest of their quota.
func approachCeiling(counter string) func(s *simulation) {
	return func(s *simulation) {
		s.advance(3000)
		s.counterMode = counter
		for range 4 {
			for i := range s.gatekeepers {
				s.submit(i, 0, 1, 6)
				s.submit(i, 0, 1, 6)
				s.advance(55)
				serveAll.run(s)
			}
		}
	}
}

// useWorkers lets both gatekeepers observe the capacity of the workers.
func useWorkers(s *simulation) {
	for range 20 {
		s.submit(0, 0, 0, 1)
		s.submit(1, 0, 0, 1)
		s.advance(100)
		serveAll.run(s)
	}
}

func burst(index int) event {
	return event{fmt.Sprintf("burst at %d", index), func(s *simulation) bool {
		for range 16 {
			s.submit(index, 0, 0, 1)
		}
		return true
	}}
}

var (
	safe             = arrival("safe", 0, 0, 0, 1)
	keyed            = arrival("keyed", 0, 1, 0, 1)
	unsafe           = arrival("unsafe", 0, 2, 0, 1)
	zonal            = arrival("keyed in a zone", 0, 3, 0, 1)
	ceilingRequests0 = ceilingRequests(0)
	ceilingRequests1 = ceilingRequests(1)
	served           = attemptEnds("answer", policy.OK)
	rejected         = attemptEnds("full", policy.Full)
	reset            = attemptEnds("reset", policy.Reset)
	leaves           = event{"leaves", (*simulation).disconnectClient}
	lateAnswer       = event{"late answer", (*simulation).answerAgain}
	restart          = event{"restart 0", func(s *simulation) bool { s.startGatekeeper(0); return true }}
	drainA           = listChange("a drains", "a", func(_ *simulation, worker *simWorker) { worker.state = "draining" })
	removeA          = listChange("a is removed", "a", func(_ *simulation, worker *simWorker) { worker.state = "gone" })
	restartA         = listChange("a restarts", "a", func(s *simulation, worker *simWorker) {
		worker.state, worker.startedAt, worker.recentRequests = "ready", s.now(), nil
	})
	restartB = listChange("b restarts", "b", func(s *simulation, worker *simWorker) { worker.startedAt, worker.recentRequests = s.now(), nil })
	moveA    = listChange("a moves", "a", func(_ *simulation, worker *simWorker) { worker.addr = worker.addr[:len(worker.addr)-1] + "9" })
	serveAll = event{"all answered", func(s *simulation) bool {
		any := false
		for s.answerOldest(policy.OK) {
			any = true
		}
		return any
	}}
	truncatedList = event{"truncated list", func(s *simulation) bool {
		for _, g := range s.gatekeepers {
			if g.hostGroup.ApplyLine([]byte(`{"generation":9,"instances":[{"instanceId":"a","lifecycle":"gone"}`)) == nil {
				s.violation("a truncated list was accepted")
			}
		}
		return true
	}}
	// As after SIGHUP: an invalid description changes nothing, a valid one takes effect as a whole, and open
	// requests keep their terms.
	invalidDescription = event{"SIGHUP with an invalid description", func(s *simulation) bool {
		for _, g := range s.gatekeepers {
			if d := descriptionWithoutCost(); d != nil {
				s.violation("a description without a cost was accepted")
				g.api.Replace(d)
			}
		}
		return true
	}}
	changedDescription = event{"SIGHUP with other terms, and back", func(s *simulation) bool {
		for _, g := range s.gatekeepers {
			if g.api == nil {
				return false
			}
			g.api.Replace(descriptions()[1])
			g.api.Replace(descriptions()[0])
		}
		return true
	}}
)

// scenario is a set of events of which every order up to a depth is tried, after a common preparation.
type scenario struct {
	name       string
	prepare    func(s *simulation)
	events     []event
	depth      int
	wantOrders int // expected number of orders, so that a lost one is noticed
}

var scenarios = []scenario{
	{"ends of an attempt", nil, []event{safe, unsafe, served, rejected, reset, leaves, lateAnswer, timePasses(300), timePasses(2000)}, 5, 8037},
	{"keyed repeats", nil, []event{keyed, zonal, served, reset, lateAnswer, invalidDescription, changedDescription, timePasses(400)}, 5, 8841},
	{"workers drain and are removed", nil, []event{keyed, served, reset, drainA, removeA, truncatedList, timePasses(300)}, 5, 5729},
	{"workers are replaced", nil, []event{keyed, served, reset, lateAnswer, drainA, restartA, moveA, timePasses(300)}, 5, 6345},
	{"ceiling", approachCeiling(""), []event{ceilingRequests0, ceilingRequests1, serveAll, counterChange("late"), counterChange(""), restart, timePasses(200)}, 5, 3435},
	{"ceiling without the counter", approachCeiling("silent"), []event{ceilingRequests0, ceilingRequests1, serveAll, counterChange(""), restart, timePasses(200)}, 5, 3387},
	{"worker in slow start", useWorkers, []event{burst(0), burst(1), restartA, serveAll, rejected, timePasses(700)}, 5, 3304},
	{"all workers in slow start", useWorkers, []event{burst(0), burst(1), restartA, restartB, serveAll, restart, timePasses(700)}, 4, 1626},
}

// play runs a sequence of events in a new simulation. It returns false if one of them can't happen.
func (sc *scenario) play(s *simulation, sequence []int) bool {
	if sc.prepare != nil {
		sc.prepare(s)
	}
	for _, e := range sequence {
		if !sc.events[e].run(s) {
			return false
		}
		s.checkUnanswered()
	}
	return true
}

// finish advances the clock past the deadlines of all open requests.
func (s *simulation) finish() {
	if s.gatekeepers[0].OpenRequests()+s.gatekeepers[1].OpenRequests() == 0 {
		return
	}
	s.advance(2000 + timerSlackMS + 1)
	s.checkUnanswered()
	if n := s.gatekeepers[0].OpenRequests() + s.gatekeepers[1].OpenRequests(); n > 0 {
		s.violation("1: no final answer to %d", n)
	}
}

// explore tries every order of events, depth first, each in a new simulation. It stops at the first violation that
// starts with rule. It returns the number of complete orders, and the events with the violation.
func (sc *scenario) explore(newSim func() *simulation, rule string) (orders int, found string) {
	var visit func(prefix []int) bool
	visit = func(prefix []int) bool {
		for e := range sc.events {
			sequence := append(prefix[:len(prefix):len(prefix)], e)
			s := newSim()
			if !sc.play(s, sequence) {
				continue
			}
			last := len(sequence) == sc.depth
			if last {
				orders++
				s.finish()
			}
			for _, violation := range s.violations {
				if strings.HasPrefix(violation, rule) {
					var names []string
					for _, e := range sequence {
						names = append(names, sc.events[e].name)
					}
					found = strings.Join(names, ", ") + ": " + violation
					return false
				}
			}
			if !last && !visit(sequence) {
				return false
			}
		}
		return true
	}
	visit(nil)
	return orders, found
}

func TestRulesHoldInEveryEventOrder(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			orders, violation := sc.explore(func() *simulation { return newSimulation(deploymentSettings()) }, "")
			if violation != "" {
				t.Fatal(violation)
			}
			if orders != sc.wantOrders {
				t.Errorf("%d event orders were tried, expected %d", orders, sc.wantOrders)
			}
		})
	}
}

// TestRuleViolationsAreDetected breaks one rule at a time, by wrong settings of the gatekeepers or by a defect of the
// simulation, and expects the check of that rule to report it.
func TestRuleViolationsAreDetected(t *testing.T) {
	allSafe := func(s *policy.Settings) {
		s.Classes = []policy.Class{s.Classes[0], s.Classes[0], s.Classes[0], s.Classes[0]}
	}
	for _, test := range []struct {
		name, want string
		scenario   int
		configure  func(s *policy.Settings)
		breakSim   func(s *simulation)
	}{
		{"timers never fire", "1: no final answer", 0, nil, func(s *simulation) { s.stopTimers = true }},
		{"duplicate final answer", "1: second final answer", 0, nil, func(s *simulation) { s.duplicateRefusals = true }},
		{"a connection reports the end of a running attempt", "2: two concurrent attempts", 0, nil, func(s *simulation) { s.keepEndedAttempts = true }},
		{"unsafe class configured as safe", "2: repeated", 0, allSafe, nil},
		{"deduplication in a zone configured as global", "2: refused although it may have been executed", 1,
			func(s *policy.Settings) { s.Classes[3].Dedup = policy.DedupFleet }, nil},
		{"repeat window configured too long", "2: repeated", 1, func(s *policy.Settings) { s.Classes[1].RepeatWindow = 9e6 }, nil},
		{"too many attempts configured", "2: attempt 4", 0, func(s *policy.Settings) { s.MaxAttempts = 9 }, nil},
		{"drains are not announced", "3: new request", 2, nil, func(s *simulation) { s.hideListChanges = true }},
		{"restarts are not announced", "4:", 6, nil, func(s *simulation) { s.hideListChanges = true }},
		{"ceiling not configured", "5:", 4, func(s *policy.Settings) { s.Plans[1].CeilingRate = 0 }, nil},
		{"refusals without retry delay", "a refusal has no retry delay", 0, func(s *policy.Settings) { s.SendRetryAfter = false }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			policySettings := deploymentSettings()
			if test.configure != nil {
				test.configure(&policySettings)
			}
			_, violation := scenarios[test.scenario].explore(func() *simulation {
				s := newSimulation(policySettings)
				if test.breakSim != nil {
					test.breakSim(s)
				}
				return s
			}, test.want)
			if violation == "" {
				t.Errorf("no event order was found with a violation %q", test.want)
			}
		})
	}
}

// TestDrainingWorkerIsNotPlaced: a repeated announcement that a worker drains must not set its address again.
// Otherwise its connections would be used again, and kept forever after the worker is gone.
func TestDrainingWorkerIsNotPlaced(t *testing.T) {
	s := newSimulation(deploymentSettings())
	g := s.gatekeepers[0]
	before := g.placements
	for range 2 {
		drainA.run(s)
	}
	if g.placements != before {
		t.Errorf("a draining worker was placed %d times", g.placements-before)
	}
}

// TestFailuresAtOldAddressDoNotBlockWorker: failures of attempts at a worker's old address must not count against
// the process at its new address.
func TestFailuresAtOldAddressDoNotBlockWorker(t *testing.T) {
	sim := newSimulation(deploymentSettings())
	g := sim.gatekeepers[0]
	for range 8 {
		unsafe.run(sim)
	}
	moveA.run(sim)
	for _, s := range slices.Clone(g.outstanding) {
		if g.workerIDs[s.execution.Worker] == "a" {
			g.ExecutionEnded(s.execution, gatekeeper.Outcome{Status: policy.Reset})
		}
	}
	standings, _ := g.Standings()
	for _, s := range standings {
		if s.Unavailable {
			t.Errorf("worker %q is blocked", g.workerIDs[s.Server])
		}
	}
}
