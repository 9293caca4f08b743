package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/configcache"
	"foxwood/internal/control/election"
	"foxwood/internal/control/membership"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/slowstart"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// A simulation of cold starts on a controlled clock: real registries with their sessions, elections
// and endpoints, and gatekeepers built from the real caches and decision modules. Core machines and
// gatekeepers are partitioned, frozen and restarted, and workers come back cold. A checker counts
// the requests that each cold worker receives from all gatekeepers in any second.

const (
	simStepMs                  = 5.0
	simLengthMs                = 20_000
	simSeeds                   = 8
	simGossipMs                = 300.0
	simPollMs                  = 400.0
	simListLagMs               = 800.0
	simHeartbeatMs             = 250.0
	simRequestMs               = 8.0    // milliseconds between two requests at one gatekeeper
	simServiceMs               = 60.0   // milliseconds that a worker takes
	simColdMs                  = 3000.0 // milliseconds that a worker stays cold
	maxColdRequestsPerSecond   = 20     // limit for the requests that a cold worker gets
	coldRequestBudgetPerSecond = 15     // the part of it that gatekeepers use
	simAllocationMs            = 500.0
	maxDialMs                  = 500.0 // limit of a request's wait for a connection
)

// simFault is a deliberate fault in the code under test, to show that the checker notices it.
type simFault int

const (
	noFault            simFault = iota
	divideByMemberList          // gatekeepers compute their shares from the last member list that they received
	countAtDecision             // a request counts from the decision to send it, not from when it is sent
)

type simWorker struct {
	id        string
	zone      string
	coldUntil float64
	downUntil float64
	arrivals  []float64 // while it was cold, or less than a second before
}

type simRegistry struct {
	*Registry
	addr      string
	isolated  bool // cut off from the other core machines
	partition int  // its side while the core is partitioned
}

type simRequest struct {
	gatekeeper  *simGatekeeper
	incarnation uint64
	request     uint32
	worker      policy.Server
	attempt     int
	dueAt       float64
	sent        bool
}

type simWorld struct {
	t            *testing.T
	fault        simFault
	random       *rand.Rand
	now          float64
	registries   []*simRegistry
	gatekeepers  []*simGatekeeper
	workers      map[policy.Server]*simWorker
	lists        []listSnapshot
	requests     []*simRequest
	violations   []string
	coldServed   int // requests received by cold workers
	maxPerSecond int // most requests that one cold worker got in a second
	lastID       int
}

// listSnapshot is the platform's list at one time.
type listSnapshot struct {
	at        float64
	list      []api.Worker
	coldUntil map[string]float64
}

// simGatekeeper is one gatekeeper.
type simGatekeeper struct {
	world       *simWorld
	node        string
	zone        string
	incarnation uint64
	heartbeats  uint64
	reachable   func() []*simRegistry // registries that it can reach, the preferred one first
	isolated    bool                  // cut off from all registries
	frozenUntil float64
	cache       *configcache.Cache
	peers       api.MemberView
	lease       slowstart.Lease
	gateway     *policy.Gateway
	requests    uint32
	allocations uint64
	attempts    map[uint32]int
	timers      []simTimer
}

type simTimer struct {
	at    float64
	token uint64
}

func newSimWorld(t *testing.T, seed uint64, fault simFault) *simWorld {
	w := &simWorld{t: t, fault: fault, random: rand.New(rand.NewPCG(seed, 7)), now: 100, workers: map[policy.Server]*simWorker{}}
	var machines []chain.MachineID
	var addrs []string
	for i := range 4 {
		addrs = append(addrs, fmt.Sprintf("10.%d.0.1:7460", i+1))
		machines = append(machines, chain.MachineID{Addr: fmt.Sprintf("10.%d.0.1:7461", i+1), Disk: "first"})
	}
	parsed, err := routeconfig.Parse([]byte(configuration))
	assert.NilError(t, err)
	for i := range 4 {
		settings := &bootconfig.Settings{Node: fmt.Sprint("sorting-", i), IP: fmt.Sprintf("10.%d.0.1", i+1), InnerPorts: []int{7460, 7475},
			Zone: fmt.Sprint("z", i), Region: fmt.Sprint("r", i/2), FirstRun: true, SeedNodes: []string{"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"},
			Bounds: bootconfig.Bounds{TTLMaxS: 5, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 20}}
		registry := New(settings, zerolog.Nop())
		registry.clock = func() float64 { return w.now }
		registry.sessions = membership.New(addrs[i], uint64(i+1), w.now, sessionTimeoutMs)
		registry.election = election.New(addrs[i], uint64(i+1), w.now, dutyLeaseMs, true, dutyEndpoints, dutyQuota)
		registry.view = chain.View{Number: 1, Chain: machines, Core: machines, Epoch: 1, Seats: 4}
		registry.configuration = parsed
		registry.updateRegistries()
		w.registries = append(w.registries, &simRegistry{Registry: registry, addr: addrs[i]})
	}
	for i := range 8 {
		w.restartWorker(&simWorker{zone: fmt.Sprint("z", i%4)}, 0)
	}
	for i := range 9 {
		w.gatekeepers = append(w.gatekeepers, w.newGatekeeper(fmt.Sprint("counter-", i), i%4))
	}
	return w
}

// restartWorker gives a worker a new ID, and makes it cold.
func (w *simWorld) restartWorker(worker *simWorker, coldMs float64) {
	maps.DeleteFunc(w.workers, func(_ policy.Server, other *simWorker) bool { return other == worker })
	w.lastID++
	worker.id, worker.coldUntil, worker.arrivals = fmt.Sprint("i-", w.lastID), w.now+coldMs, nil
	w.workers[serverOf(worker.id)] = worker
}

func serverOf(id string) policy.Server {
	var n uint64
	_, _ = fmt.Sscanf(id, "i-%d", &n)
	return policy.Server(n)
}

func (w *simWorld) newGatekeeper(node string, zone int) *simGatekeeper {
	gatekeeper := &simGatekeeper{world: w, node: node, zone: fmt.Sprint("z", zone)}
	gatekeeper.reachable = func() (list []*simRegistry) {
		for i := range w.registries {
			registry := w.registries[(zone+i)%len(w.registries)]
			if gatekeeper.isolated || registry.isolated && registry.Zone() != gatekeeper.zone {
				continue
			}
			list = append(list, registry)
		}
		return list
	}
	gatekeeper.restart()
	return gatekeeper
}

// Zone returns the registry's zone.
func (r *simRegistry) Zone() string { return r.settings.Zone }

// restart begins a new incarnation that knows nothing.
func (g *simGatekeeper) restart() {
	world := g.world
	world.lastID++
	g.incarnation, g.heartbeats, g.cache, g.peers = uint64(world.lastID), 0, configcache.New(), api.MemberView{}
	g.lease = slowstart.Lease{}
	g.attempts, g.timers = map[uint32]int{}, nil
	g.gateway = policy.New(policy.Settings{GatewayCount: 9, Index: int(g.incarnation), ClockTick: 1000, MaxAttempts: 1, CanCancel: true, SendRetryAfter: true, MaxUnits: 1, Rotate: true,
		Classes: []policy.Class{{LatencyTarget: 300e3, Deadline: 2e6, Value: 1, LateValue: 1, Repeat: policy.RepeatSafe}}, Plans: []policy.Plan{{Price: 1}},
		TickInterval: 20e3, LimitTerms: policy.LimitTerms{GrowBelow: 0.8, CutAbove: 1, GrowKnee: 3, CutKnee: 5}, MaxColdSends: g.coldLimit}, g.incarnation)
	g.gateway.Start(micros(world.now), g)
}

func micros(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

func (g *simGatekeeper) coldLimit(server policy.Server, cold bool) int {
	if !cold {
		return -1
	}
	if g.world.fault == divideByMemberList {
		share := slowstart.Share{Index: g.peers.MemberIndex, Count: g.peers.MemberCount}
		return slowstart.Grant{Current: share}.RequestsPerSecond(coldRequestBudgetPerSecond, uint64(server))
	}
	return g.lease.RequestsPerSecond(g.world.now, coldRequestBudgetPerSecond, uint64(server))
}

// Send implements policy.Host. One request in five waits for a connection.
func (g *simGatekeeper) Send(id uint32, to policy.Server, _ policy.Micros) {
	world := g.world
	delayMs := 0.0
	if world.random.IntN(5) == 0 {
		delayMs = world.random.Float64() * maxDialMs
	}
	world.requests = append(world.requests, &simRequest{gatekeeper: g, incarnation: g.incarnation, request: id, worker: to, attempt: g.attempts[id], dueAt: world.now + delayMs})
	g.attempts[id]++
	if world.fault == countAtDecision {
		g.gateway.AttemptSent(micros(world.now), id, g.attempts[id]-1)
	}
}

// Refuse implements policy.Host, as do the methods below.
func (g *simGatekeeper) Refuse(id uint32, _ policy.Micros) { delete(g.attempts, id) }

func (g *simGatekeeper) Fail(id uint32) { delete(g.attempts, id) }

func (g *simGatekeeper) Cancel(uint32, int) {}

func (g *simGatekeeper) Timer(token uint64, after policy.Micros) {
	g.timers = append(g.timers, simTimer{g.world.now + float64(after)/1000, token})
}

func (g *simGatekeeper) Count(uint64, float64, policy.Micros) {}

func (g *simGatekeeper) running() bool { return g.world.now >= g.frozenUntil }

// sendHeartbeat sends a heartbeat, and applies the answer.
func (g *simGatekeeper) sendHeartbeat() {
	registries := g.reachable()
	if len(registries) == 0 {
		return
	}
	g.heartbeats++
	heartbeat := api.SessionRequest{Member: membership.Member{Node: g.node, Zone: g.zone, Region: "r0", Incarnation: g.incarnation, Sequence: g.heartbeats, PeerAddr: g.node + ":1", Ready: true},
		MembersChecksum: g.peers.Checksum}
	g.cache.FillHeartbeat(&heartbeat)
	answer, err := registries[0].handleHeartbeat(g.world.t.Context(), heartbeat)
	assert.NilError(g.world.t, err)
	if answer.Stale && len(registries) > 1 {
		g.heartbeats++
		heartbeat.Member.Sequence = g.heartbeats
		_, _ = registries[1].handleHeartbeat(g.world.t.Context(), heartbeat) // it uses another registry for a while, and comes back here later
	}
	g.cache.ApplyAnswer(g.world.now, &answer)
	g.cache.AddParts(g.world.now, answer.Endpoints)
	if answer.Members != nil && answer.Members.MemberIndex >= 0 {
		g.peers = *answer.Members
	}
	g.updateServers()
}

// requestAllocation requests a share of the requests to cold workers, through the registry in
// reach.
func (g *simGatekeeper) requestAllocation() {
	registries := g.reachable()
	if len(registries) == 0 {
		return
	}
	holder := registries[0].election.Holder(g.world.now, dutyQuota)
	i := slices.IndexFunc(g.world.registries, func(registry *simRegistry) bool { return registry.addr == holder })
	if i < 0 || g.world.registries[i] != registries[0] && !g.world.connected(registries[0], g.world.registries[i]) {
		return
	}
	g.allocations++
	answer, err := g.world.registries[i].allocate(api.AllocationRequest{Node: g.node, Incarnation: g.incarnation, Sequence: g.allocations})
	if err == nil {
		g.lease.Renew(answer.SlowStart, g.world.now, answer.LeaseMS)
	}
}

// updateServers passes the workers in the cache to the decision module.
func (g *simGatekeeper) updateServers() {
	var entries []policy.Entry
	for _, worker := range g.cache.Workers(g.world.now, "a") {
		entry := policy.Entry{Server: serverOf(worker.ID), State: policy.Ready}
		if worker.SlowStartLeftMS > 0 {
			entry.ColdUntil = micros(g.world.now + worker.SlowStartLeftMS)
		}
		entries = append(entries, entry)
	}
	g.gateway.Servers(micros(g.world.now), g, policy.FullList, entries)
}

// platformList returns the platform's list with its delay, but with the current cold periods.
func (w *simWorld) platformList() []api.Worker {
	i := len(w.lists) - 1
	for i > 0 && w.lists[i].at > w.now-simListLagMs {
		i--
	}
	var list []api.Worker
	for _, worker := range w.lists[i].list {
		worker.SlowStartLeftMS = max(w.lists[i].coldUntil[worker.ID]-w.now, 0)
		list = append(list, worker)
	}
	return list
}

// recordList records the platform's current list.
func (w *simWorld) recordList() {
	list := listSnapshot{at: w.now, coldUntil: map[string]float64{}}
	for _, worker := range slices.SortedFunc(maps.Values(w.workers), func(a, b *simWorker) int { return int(serverOf(a.id)) - int(serverOf(b.id)) }) {
		if w.now < worker.downUntil {
			continue
		}
		list.list = append(list.list, api.Worker{ID: worker.id, Destination: "a", Addr: worker.id + ":80", Zone: worker.zone, Slots: 2})
		list.coldUntil[worker.id] = worker.coldUntil
	}
	w.lists = append(w.lists, list)
}

// connected reports whether two registries reach each other.
func (w *simWorld) connected(a, b *simRegistry) bool {
	return a != b && !a.isolated && !b.isolated && a.partition == b.partition
}

func (w *simWorld) registryAt(addr string) *simRegistry {
	i := slices.IndexFunc(w.registries, func(registry *simRegistry) bool { return registry.addr == addr })
	return w.registries[i]
}

// stepElection steps a registry's election, and delivers its messages.
func (w *simWorld) stepElection(registry *simRegistry, event election.Event) {
	output := registry.election.Step(w.now, event)
	registry.applyDutyChanges(output)
	for _, message := range output.Send {
		if receiver := w.registryAt(message.To); w.connected(registry, receiver) {
			w.stepElection(receiver, election.Event{Kind: election.Received, Message: message})
		}
	}
}

// isDue reports whether a periodic task is due in the current step.
func isDue(now, period, phase float64) bool {
	return int((now+phase)/period) != int((now+phase-simStepMs)/period)
}

// runRegistries does the work of the registries' periodic loops.
func (w *simWorld) runRegistries() {
	for i, registry := range w.registries {
		phase := float64(i) * 37
		reachable := 1
		for _, other := range w.registries {
			if w.connected(registry, other) {
				reachable++
			}
		}
		if reachable > 2 {
			registry.tailConfirmedAt = w.now // the tail has answered
			registry.election.SetElectorate(w.now, w.now, registry.core, 1, 0)
		}
		if isDue(w.now, 50, phase) {
			w.stepElection(registry, election.Event{Kind: election.Tick})
		}
		if isDue(w.now, simGossipMs, phase) {
			for _, receiver := range w.registries {
				if !w.connected(registry, receiver) {
					continue
				}
				receiver.receiveReport(registry.addr, registry.settings.Zone, registry.sessions.FullReport(w.now))
				if changes := receiver.endpoints.since(w.now, registry.endpoints.version); changes != nil && receiver.endpoints.version > registry.endpoints.version {
					registry.endpoints.merge(w.now, changes)
				}
			}
			registry.updateMembers()
		}
		if term, ok := registry.election.Holds(w.now, dutyEndpoints); ok && isDue(w.now, simPollMs, phase) {
			registry.endpoints.applyPlatformList(w.now, term, w.platformList())
		}
	}
}

// advanceRequests sends requests that have a connection, and answers those that were served.
func (w *simWorld) advanceRequests() {
	requests := w.requests
	w.requests = nil // an answer may cause the next request
	for _, request := range requests {
		switch {
		case request.incarnation != request.gatekeeper.incarnation:
		case !request.gatekeeper.running() || w.now < request.dueAt:
			w.requests = append(w.requests, request)
		case !request.sent && w.fault != countAtDecision && !request.gatekeeper.gateway.MaySend(micros(w.now), request.request, request.attempt):
			request.gatekeeper.gateway.Outcome(micros(w.now), request.gatekeeper, policy.Outcome{ID: request.request, Attempt: request.attempt, Status: policy.NotSent, Server: request.worker})
		case !request.sent:
			request.sent, request.dueAt = true, w.now+simServiceMs
			request.gatekeeper.gateway.AttemptSent(micros(w.now), request.request, request.attempt)
			w.countArrival(request.worker)
			w.requests = append(w.requests, request)
		default:
			delete(request.gatekeeper.attempts, request.request)
			request.gatekeeper.gateway.Outcome(micros(w.now), request.gatekeeper, policy.Outcome{ID: request.request, Attempt: request.attempt, Status: policy.OK, Terminal: true,
				Server: request.worker, Latency: micros(simServiceMs)})
		}
	}
}

// countArrival counts a request at a worker. A worker with a new ID rejects requests for the old
// one.
func (w *simWorld) countArrival(server policy.Server) {
	worker := w.workers[server]
	if worker == nil || w.now < worker.downUntil || w.now >= worker.coldUntil {
		return
	}
	worker.arrivals = append(worker.arrivals, w.now)
	first, _ := slices.BinarySearch(worker.arrivals, w.now-1000)
	n := len(worker.arrivals) - first
	w.coldServed, w.maxPerSecond = w.coldServed+1, max(w.maxPerSecond, n)
	if n > maxColdRequestsPerSecond {
		w.violations = append(w.violations, fmt.Sprintf("FAILBACK at %.0f ms: %s got %d requests in a second", w.now, worker.id, n))
	}
}

// runGatekeepers does the work of the gatekeepers.
func (w *simWorld) runGatekeepers() {
	for i, gatekeeper := range w.gatekeepers {
		if !gatekeeper.running() {
			continue
		}
		phase := float64(i) * 29
		if isDue(w.now, simHeartbeatMs, phase) {
			gatekeeper.sendHeartbeat()
		}
		if isDue(w.now, simAllocationMs, phase) {
			gatekeeper.requestAllocation()
		}
		due := slices.Clone(gatekeeper.timers)
		gatekeeper.timers = slices.DeleteFunc(gatekeeper.timers, func(timer simTimer) bool { return timer.at <= w.now })
		for _, timer := range due {
			if timer.at <= w.now {
				gatekeeper.gateway.Timer(micros(w.now), gatekeeper, timer.token)
			}
		}
		if isDue(w.now, simRequestMs, phase) {
			gatekeeper.requests++
			gatekeeper.attempts[gatekeeper.requests] = 0
			gatekeeper.gateway.Request(micros(w.now), gatekeeper, policy.Request{ID: gatekeeper.requests, Customer: 1, TimeLeft: 2e6, Units: 1})
		}
	}
}

// simEvent is an action at a time.
type simEvent struct {
	at     float64
	action func()
}

// randomFaults returns the random events of a run.
func (w *simWorld) randomFaults() (events []simEvent) {
	schedule := func(ms float64, action func()) { events = append(events, simEvent{w.now + ms, action}) }
	for i := range 4 {
		beginMs := 4000 + float64(i)*4000 + w.random.Float64()*1000
		zone := fmt.Sprint("z", w.random.IntN(4))
		downMs := 500 + w.random.Float64()*2000
		for _, worker := range slices.SortedFunc(maps.Values(w.workers), func(a, b *simWorker) int { return int(serverOf(a.id)) - int(serverOf(b.id)) }) {
			if worker.zone == zone {
				schedule(beginMs, func() { worker.downUntil = w.now + downMs })
				schedule(beginMs+downMs, func() { w.restartWorker(worker, simColdMs) })
			}
		}
		registry := w.registries[w.random.IntN(4)]
		isolatedMs := beginMs + downMs - 2500 + w.random.Float64()*3000
		schedule(isolatedMs, func() { registry.isolated = true })
		schedule(isolatedMs+1000+w.random.Float64()*3000, func() { registry.isolated = false })
		gatekeeper := w.gatekeepers[w.random.IntN(len(w.gatekeepers))]
		faultMs := beginMs + w.random.Float64()*3000
		lengthMs := 200 + w.random.Float64()*2500
		switch w.random.IntN(4) {
		case 0:
			schedule(faultMs, func() { gatekeeper.frozenUntil = w.now + lengthMs })
		case 1:
			schedule(faultMs, func() { gatekeeper.restart() })
		case 2:
			for _, a := range w.gatekeepers { // all gatekeepers of its zone
				if a.zone == gatekeeper.zone {
					schedule(faultMs, func() { a.isolated = true })
					schedule(faultMs+lengthMs, func() { a.isolated = false })
				}
			}
		}
	}
	slices.SortStableFunc(events, func(a, b simEvent) int { return int(a.at - b.at) })
	return events
}

// corePartitions returns the events of a run in which the core is split in two four times, with
// cold workers and restarts during and right after the partitions. Gatekeepers reach both sides.
func (w *simWorld) corePartitions() (events []simEvent) {
	schedule := func(ms float64, action func()) { events = append(events, simEvent{w.now + ms, action}) }
	for i := range 4 {
		beginMs := 3000 + float64(i)*4500 + w.random.Float64()*500
		lengthMs := 700 + w.random.Float64()*2800
		order := w.random.Perm(len(w.registries))
		size := 1 + w.random.IntN(2)
		schedule(beginMs, func() {
			for _, i := range order[:size] {
				w.registries[i].partition = 1
			}
		})
		schedule(beginMs+lengthMs, func() {
			for _, registry := range w.registries {
				registry.partition = 0
			}
		})
		returnMs := beginMs + w.random.Float64()*(lengthMs+600)
		zone := fmt.Sprint("z", w.random.IntN(4))
		for _, worker := range slices.SortedFunc(maps.Values(w.workers), func(a, b *simWorker) int { return int(serverOf(a.id)) - int(serverOf(b.id)) }) {
			if worker.zone == zone {
				schedule(returnMs-400, func() { worker.downUntil = w.now + 400 })
				schedule(returnMs, func() { w.restartWorker(worker, simColdMs) })
			}
		}
		gatekeeper := w.gatekeepers[w.random.IntN(len(w.gatekeepers))]
		schedule(beginMs+w.random.Float64()*lengthMs, func() { gatekeeper.restart() })
	}
	slices.SortStableFunc(events, func(a, b simEvent) int { return int(a.at - b.at) })
	return events
}

// run simulates one seed, and returns the violations found.
func (w *simWorld) run(events []simEvent) []string {
	for end := w.now + simLengthMs; w.now < end; w.now += simStepMs {
		for len(events) > 0 && events[0].at <= w.now {
			events[0].action()
			events = events[1:]
		}
		w.recordList()
		w.runRegistries()
		w.runGatekeepers()
		w.advanceRequests()
	}
	return w.violations
}

// runWithoutViolations runs a few seeds, and returns how many requests cold workers got. In no
// second may a cold worker get more requests than the gatekeepers' budget.
func runWithoutViolations(t *testing.T, faults func(*simWorld) []simEvent) (coldServed int) {
	t.Helper()
	for seed := range uint64(simSeeds) {
		world := newSimWorld(t, seed, noFault)
		violations := world.run(faults(world))
		assert.Assert(t, len(violations) == 0, "seed %d: %v", seed, violations)
		assert.Assert(t, world.maxPerSecond <= coldRequestBudgetPerSecond, "seed %d: a cold worker got %d requests in a second", seed, world.maxPerSecond)
		coldServed += world.coldServed
	}
	return coldServed
}

// TestColdWorkersAreNotOverloaded runs random faults; cold workers still get their share of
// requests.
func TestColdWorkersAreNotOverloaded(t *testing.T) {
	coldServed := runWithoutViolations(t, (*simWorld).randomFaults)
	assert.Assert(t, coldServed > simSeeds*80, "%d requests", coldServed)
}

// TestColdWorkersDuringCorePartition: the limit for a cold worker also holds while gatekeepers get
// allocations from both sides of a partitioned core.
func TestColdWorkersDuringCorePartition(t *testing.T) {
	coldServed := runWithoutViolations(t, (*simWorld).corePartitions)
	assert.Assert(t, coldServed > simSeeds*80, "%d requests", coldServed)
}

// TestSimulationDetectsFaults: each deliberate fault is noticed with one of a few seeds.
func TestSimulationDetectsFaults(t *testing.T) {
	for _, fault := range []simFault{divideByMemberList, countAtDecision} {
		found := false
		for seed := uint64(0); seed < 40 && !found; seed++ {
			world := newSimWorld(t, seed, fault)
			world.run(world.randomFaults())
			found = world.maxPerSecond > coldRequestBudgetPerSecond
		}
		assert.Assert(t, found, "fault %d is not noticed", fault)
	}
}
