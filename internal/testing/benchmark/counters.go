package benchmark

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/testing/emulator"
	"foxwood/policy"
)

// CounterFaults measures, in simulated time, how well several gateways enforce the customers' quotas while
// the counter that they share is slow, silent, partitioned or replaced: units sent on beyond quotas and
// ceilings, and units refused although the quota had them.
type CounterFaults struct {
	Runs     int    // runs of each scenario
	Seed     uint64 // of the first run; each further run adds 1
	Gateways int    // number of gateways; 0 means 4
}

const (
	beforeFaultMs         = 10000.0 // time before the fault
	faultMs               = 30000.0 // duration of the fault
	afterFaultMs          = 20000.0 // time after the fault
	meanServiceMs         = 40.0    // mean service time of a request
	preferredGatewayMs    = 7000.0  // time until a customer's preferred gateway changes
	preferredGatewayShare = 0.7     // share of a customer's requests that go to its preferred gateway
	counterCallMs         = 0.5     // duration of a counter call
	counterQueueMs        = 100.0   // longest queue of the counter; further calls are refused
)

// Indices of the plans in the settings.
const (
	planBasico = iota
	planMayor
)

// counterSettings returns the gateways' settings: the plan basico without a ceiling, and the plan mayor.
func counterSettings(gateways int, withCounter bool) policy.Settings {
	settings := simSettings()
	settings.GatewayCount, settings.HasCounter, settings.CounterTimeout = gateways, withCounter, 50e3
	mayor := settings.Plans[0]
	mayor.Price = 2
	settings.Plans = []policy.Plan{{Rate: 4, Burst: 12, Price: 1, OverrunCost: 1}, mayor}
	return settings
}

// customer holds the load of a customer and what was measured for it.
type customer struct {
	plan             int         // index of its plan
	quotaMultiple    float64     // units asked for, as a multiple of its quota
	quota, ceiling   tokenBucket // with everything that was sent on taken out
	worstOverQuota   float64     // units beyond the quota at the worst moment, over rate and burst
	worstOverCeiling float64     // the same for the ceiling
	askedUnits       float64     // units asked for in the measured period
	wronglyRefused   float64     // units refused in the measured period although the quota had them
}

// counterScenario is a fault of the counter, at fixed times.
type counterScenario struct {
	name      string
	events    []string // as emulator.ParseCounterEvent reads them
	restarts  bool     // 41% of the gateways are killed and restarted during the fault
	noCounter bool     // no counter at all: each gateway has an even part of every quota
}

// counterScenarios returns all scenarios: each fault of the counter, without and with restarts of gateways.
func counterScenarios() []counterScenario {
	all := []counterScenario{{name: "no trouble"}, {name: "even parts, no counter", noCounter: true}}
	for _, s := range []counterScenario{
		{name: "slow, 200 times", events: []string{"10s+30s:slow=200"}},
		{name: "answers 60 ms late", events: []string{"10s+30s:late=60ms"}},
		{name: "every third addition lost", events: []string{"10s+30s:lose=3"}},
		{name: "half of the calls unanswered", events: []string{"10s+30s:silent=0.5"}},
		{name: "down", events: []string{"10s+30s:down"}},
		{name: "down 2 s in 4", events: []string{"10s+2s:down", "14s+2s:down", "18s+2s:down", "22s+2s:down", "26s+2s:down", "30s+2s:down", "34s+2s:down", "38s+2s:down"}},
		{name: "split, both count after", events: []string{"10s+30s:split=sum"}},
		{name: "split, one counts after", events: []string{"10s+30s:split=keep"}},
		{name: "replaced every 5 s", events: []string{"10s:replace", "15s:replace", "20s:replace", "25s:replace", "30s:replace", "35s:replace"}},
		{name: "restored from 5 s ago, every 10 s", events: []string{"15s:restore=5s", "25s:restore=5s", "35s:restore=5s"}},
	} {
		all = append(all, s)
		s.name, s.restarts = s.name+", with deaths", true
		all = append(all, s)
	}
	return all
}

// counterSim is the simulation of one run.
type counterSim struct {
	settings     policy.Settings
	clock        *gatekeeper.Clock
	random       *rand.Rand
	counter      *emulator.Counter
	gateways     []*simGateway
	customers    []*customer
	scheduled    eventQueue
	sequence     int // sequence number of the last event or gateway
	counterCalls int // calls of the counter
	executions   int // requests sent on to workers
	seed         uint64
}

// simGateway is a simulated gateway, from its start until it is killed.
type simGateway struct {
	noopEnvironment
	*gatekeeper.Gatekeeper
	sim   *counterSim
	index int
	dead  bool
}

// eventQueue is a heap of scheduled events, ordered by time and then by sequence number.
type eventQueue []scheduledEvent

// scheduledEvent is an event scheduled for a time.
type scheduledEvent struct {
	atMs     float64
	sequence int
	run      func()
}

// Len returns the number of events.
func (a eventQueue) Len() int { return len(a) }

// Less reports whether event i is due before event j.
func (a eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].atMs, a[j].atMs), a[i].sequence-a[j].sequence) < 0
}

// Swap swaps two events.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends an event, for package heap.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

// Pop removes the last event, for package heap.
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// schedule schedules a function for a time, or for now if the time has passed.
func (w *counterSim) schedule(atMs float64, run func()) {
	w.sequence++
	heap.Push(&w.scheduled, scheduledEvent{max(atMs, w.clock.Now()), w.sequence, run})
}

// runUntil runs the scheduled events up to the given time and sets the clock to it.
func (w *counterSim) runUntil(endMs float64) {
	for len(w.scheduled) > 0 && w.scheduled[0].atMs <= endMs {
		next := heap.Pop(&w.scheduled).(scheduledEvent)
		w.clock.Set(next.atMs)
		next.run()
	}
	w.clock.Set(endMs)
}

// startGateway starts a gateway without any state, in place of the one with the same index, which is killed.
func (w *counterSim) startGateway(index int) {
	if w.gateways[index] != nil {
		w.gateways[index].dead = true
	}
	gateway := &simGateway{sim: w, index: index}
	w.gateways[index] = gateway
	settings := w.settings
	settings.Index = index
	w.sequence++
	gateway.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: settings, Seed: w.seed<<20 + uint64(w.sequence)*2 + 1, Clock: w.clock, Workers: gateway, Counter: gateway,
		RequestWakeUp: func(atMs float64) {
			w.schedule(atMs, func() {
				if !gateway.dead {
					gateway.RunDueTimers()
				}
			})
		}})
	gateway.UpdateWorkers(policy.FullList, simWorkers())
}

// Execute simulates a request sent to a worker. From then on its units are spent.
func (g *simGateway) Execute(execution *gatekeeper.Execution) {
	sim, sender := g.sim, g.sim.customers[execution.Request.Customer]
	sim.executions++
	now, units := sim.clock.Now(), execution.Request.EstimatedUnits
	sender.quota.overdraw(now, units, &sender.worstOverQuota)
	sender.ceiling.overdraw(now, units, &sender.worstOverCeiling)
	sim.schedule(now+meanServiceMs*sim.random.ExpFloat64(), func() {
		if !g.dead {
			g.ExecutionEnded(execution, gatekeeper.Outcome{Status: policy.OK})
		}
	})
}

// overdraw takes units from a bucket even if it doesn't hold them, and records the greatest debt.
func (l *tokenBucket) overdraw(at, units float64, worst *float64) {
	l.refill(at)
	l.tokens -= units
	*worst = max(*worst, -l.tokens)
}

// Throttled counts the units of a refused request if its quota had them.
func (g *simGateway) Throttled(refused *gatekeeper.Request, _ float64) {
	sender := g.sim.customers[refused.Customer]
	if sender.quota.refill(g.sim.clock.Now()); sender.quota.tokens >= refused.EstimatedUnits {
		sender.wronglyRefused += refused.EstimatedUnits
	}
}

// Add calls the counter. The lower half of the gateways reach one side of it, the upper half the other,
// which matters while it is partitioned.
func (g *simGateway) Add(call *gatekeeper.CounterCall) {
	sim := g.sim
	sim.counterCalls++
	answer := sim.counter.Call(sim.clock.Now(), g.index*2/len(sim.gateways), strconv.FormatUint(call.Name, 16), call.Amount, call.TTL)
	if answer.Outcome == emulator.NoResponse {
		return // the gateway times the call out by itself
	}
	sim.schedule(answer.AtMS, func() {
		switch {
		case g.dead:
		case answer.Outcome == emulator.Added:
			g.CounterCallEnded(call, policy.OK, answer.Total)
		case answer.Outcome == emulator.Refused:
			g.CounterCallEnded(call, policy.Full, 0)
		default:
			g.CounterCallEnded(call, policy.Reset, 0)
		}
	})
}

// scheduleRequests schedules the requests of a customer until the given time. Most go to its preferred gateway, which
// changes every preferredGatewayMs.
func (w *counterSim) scheduleRequests(index int, endMs float64) {
	sender := w.customers[index]
	plan := &w.settings.Plans[sender.plan]
	const meanUnits = 1.5 // mean number of units of a request
	nextMs := w.clock.Now() + 1000*meanUnits/(sender.quotaMultiple*plan.Rate)*w.random.ExpFloat64()
	if nextMs > endMs {
		return
	}
	w.schedule(nextMs, func() {
		units := 1 + w.random.Float64()*(2*meanUnits-2)
		receiver := (int(w.clock.Now()/preferredGatewayMs) + index) % len(w.gateways)
		if w.random.Float64() > preferredGatewayShare {
			receiver = w.random.IntN(len(w.gateways))
		}
		sender.askedUnits += units
		gateway := w.gateways[receiver]
		gateway.Submit(&gatekeeper.Request{Customer: uint64(index), Plan: sender.plan, TimeLeft: 2000, EstimatedUnits: units, GatekeeperCount: len(w.gateways), Responder: gateway})
		w.scheduleRequests(index, endMs)
	})
}

// counterResult is the result of one run.
type counterResult struct {
	overQuota   [2]float64 // greatest number of units beyond a quota, by plan
	overCeiling float64    // greatest number of units beyond a ceiling

	// Percentage of the units asked for by customers within their quotas that were refused
	// wrongly: during the fault, and afterwards.
	refusedDuring, refusedAfter float64

	callsPerExecution float64 // counter calls per request sent on, during the fault
}

// gatewayCount returns the number of gateways.
func (o *CounterFaults) gatewayCount() int { return cmp.Or(o.Gateways, 4) }

// simulate simulates one run of a scenario.
func (o *CounterFaults) simulate(scenario counterScenario, run int) (counterResult, error) {
	seed, gatewayCount := o.Seed+uint64(run), o.gatewayCount()
	sim := &counterSim{settings: counterSettings(gatewayCount, !scenario.noCounter), clock: gatekeeper.NewClock(), random: rand.New(rand.NewPCG(seed, 3)), seed: seed,
		counter: emulator.NewCounter(emulator.CounterConfig{ServiceTimeMS: counterCallMs, MaxQueueMS: counterQueueMs, Seed: seed}), gateways: make([]*simGateway, gatewayCount)}
	sim.clock.Set(simStartMs)
	for _, group := range []struct {
		size, plan    int
		quotaMultiple float64
	}{{1, planMayor, 7.1}, {2, planMayor, 0.7}, {2, planBasico, 4}, {10, planBasico, 0.6}} {
		for range group.size {
			plan := &sim.settings.Plans[group.plan]
			added := &customer{plan: group.plan, quotaMultiple: group.quotaMultiple, quota: tokenBucket{plan.Rate, plan.Burst, plan.Burst, simStartMs}, ceiling: tokenBucket{1e15, 1e15, 1e15, simStartMs}}
			if plan.CeilingRate > 0 {
				added.ceiling = tokenBucket{plan.CeilingRate, plan.CeilingBurst, plan.CeilingBurst, simStartMs}
			}
			sim.customers = append(sim.customers, added)
		}
	}
	var events []emulator.CounterEvent
	for _, text := range scenario.events {
		parsed, err := emulator.ParseCounterEvent(text)
		if err != nil {
			return counterResult{}, err
		}
		events = append(events, parsed)
	}
	for _, moment := range emulator.CounterChanges(events) {
		sim.schedule(simStartMs+moment.AtMS, func() { moment.Apply(sim.counter) })
	}
	for index := range gatewayCount {
		sim.startGateway(index)
	}
	const endMs = simStartMs + beforeFaultMs + faultMs + afterFaultMs
	for i := range sim.customers {
		sim.scheduleRequests(i, endMs)
	}
	if scenario.restarts { // restart 41% of the gateways, one after the other, twice
		restarted := max(gatewayCount*41/100, 1)
		for i := range 2 * restarted {
			delayMs := faultMs / 6 * float64(1+i/restarted*3+i%restarted*2/restarted)
			sim.schedule(simStartMs+beforeFaultMs+delayMs, func() { sim.startGateway((int(seed) + i) % gatewayCount) })
		}
	}
	measureRefused := func(ms float64) (percentage float64) {
		for _, c := range sim.customers {
			c.askedUnits, c.wronglyRefused = 0, 0
		}
		sim.runUntil(sim.clock.Now() + ms)
		asked, refused := 0.0, 0.0
		for _, c := range sim.customers {
			if c.quotaMultiple < 1 {
				asked, refused = asked+c.askedUnits, refused+c.wronglyRefused
			}
		}
		return 100 * refused / max(asked, 1)
	}
	sim.runUntil(simStartMs + beforeFaultMs)
	callsBefore, executionsBefore := sim.counterCalls, sim.executions
	var result counterResult
	result.refusedDuring = measureRefused(faultMs)
	result.callsPerExecution = float64(sim.counterCalls-callsBefore) / float64(max(sim.executions-executionsBefore, 1))
	result.refusedAfter = measureRefused(afterFaultMs)
	for _, c := range sim.customers {
		result.overQuota[c.plan] = max(result.overQuota[c.plan], c.worstOverQuota)
		result.overCeiling = max(result.overCeiling, c.worstOverCeiling)
	}
	return result, nil
}

// Write simulates all scenarios and writes the results as a Markdown table.
func (o *CounterFaults) Write(out io.Writer) error {
	slack := counterSettings(o.gatewayCount(), true).Plans[planMayor].CeilingTolerance
	fmt.Fprintf(out, `%d runs of %.0f s of simulated time each, of %d gatekeepers; the trouble lasts from 10 s to 40 s. One mayor bank asks for
7.1 times its quota, two of basico for 4 times, twelve stay inside theirs; %.0f%% of a bank's requests come to one gatekeeper,
another every %.0f s. Units beyond quota and ceiling are at the worst moment, over rate and burst; the ceiling's slack is %g.

| counter | beyond the ceiling: p99 | worst | beyond the quota, mayor: p99 | worst | basico: p99 | worst | refused wrongly meanwhile, %%: median | p99 | behind it: median | calls an attempt |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
`, o.Runs, (beforeFaultMs+faultMs+afterFaultMs)/1000, o.gatewayCount(), 100*preferredGatewayShare, preferredGatewayMs/1000, slack)
	for _, scenario := range counterScenarios() {
		var ceiling, mayor, basico, during, after, calls []float64
		for run := range o.Runs {
			result, err := o.simulate(scenario, run)
			if err != nil {
				return err
			}
			ceiling, mayor, basico = append(ceiling, result.overCeiling), append(mayor, result.overQuota[planMayor]), append(basico, result.overQuota[planBasico])
			during, after, calls = append(during, result.refusedDuring), append(after, result.refusedAfter), append(calls, result.callsPerExecution)
		}
		if _, err := fmt.Fprintf(out, "| %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f |\n", scenario.name,
			quantile(ceiling, 0.99), quantile(ceiling, 1), quantile(mayor, 0.99), quantile(mayor, 1), quantile(basico, 0.99), quantile(basico, 1),
			quantile(during, 0.5), quantile(during, 0.99), quantile(after, 0.5), quantile(calls, 0.5)); err != nil {
			return err
		}
	}
	return nil
}
