package platform_test

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"testing"

	"foxwood/gatekeeper"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// This file tests a fleet: many real gatekeepers (core, policy and host group) on one manual clock, with simulated
// workers, a counter of limited call rate, and worker lists that arrive with a delay. The test sums up what all
// gatekeepers do: work for workers in slow start, connections opened and held, counter calls, units admitted, and requests
// served in time.

const (
	requestWorkMS     = 60.0 // of a request on one core of a worker
	workerCores       = 2
	latencyTargetMS   = 400.0
	maxWorkerRequests = 40    // queued and running; further requests are rejected
	maxListDelayMS    = 300.0 // from a change until all gatekeepers have the new list
	maxIdleConnMS     = 30e3  // an idle connection is closed after this
)

// fleet is the environment that all gatekeepers share.
type fleet struct {
	t                *testing.T
	settings         policy.Settings
	clock            *gatekeeper.Clock
	timers           timerHeap
	sequence         int // of timers, random numbers and seeds
	gatekeepers      []*fleetGatekeeper
	workers          []*fleetWorker
	listGeneration   int
	counterTotals    map[uint64]float64
	counterBusyUntil float64 // time at which the counter has answered all calls
	counterRate      float64 // calls per second that the counter can answer

	requests, servedInTime, refused, attempts int
	connsOpened, conns                        int
	counterCalls, counterRejected             int
	unitsOverQuota                            float64 // units admitted beyond quotas
	buckets                                   map[uint64]*bucket
	overloaded                                string // describes the first worker in slow start that got too many requests
}

// bucket is a customer's token bucket.
type bucket struct{ level, updatedAt float64 }

// timer is a function that runs at a time. Timers of the same time run in the order of their sequence.
type timer struct {
	at       float64
	sequence int
	run      func()
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// fleetWorker is a simulated worker with workerCores cores.
type fleetWorker struct {
	id, zone       string
	up             bool
	failing        bool    // fails every request at once
	startedAt      float64 // 0 for a worker past its slow start
	coreFreeAt     [workerCores]float64
	inFlight       int
	recentRequests []float64 // times of the requests received during slow start
	received       int       // number of requests received
	conns          int
}

// fleetGatekeeper is one incarnation of a gatekeeper.
type fleetGatekeeper struct {
	*gatekeeper.Gatekeeper
	fleet       *fleet
	index       int
	stopped     bool
	hostGroup   *platform.HostGroup
	workers     map[policy.Server]*fleetWorker
	idleSince   map[*fleetWorker][]float64 // idle connections by worker: when each became idle
	outstanding map[*gatekeeper.Execution]bool
}

// fleetRequest is a client's request and the caller that gets its result.
type fleetRequest struct {
	gatekeeper *fleetGatekeeper
	sentAt     float64
}

func newFleet(t *testing.T, gatekeepers, workers int, counterRate float64) *fleet {
	policySettings := deploymentSettings()
	policySettings.GatewayCount = gatekeepers
	policySettings.Classes = policySettings.Classes[:1]
	policySettings.Plans = []policy.Plan{{Rate: 4, Burst: 12, Price: 1, OverrunCost: 1.2}}
	f := &fleet{t: t, settings: policySettings, clock: gatekeeper.NewClock(), counterTotals: map[uint64]float64{}, counterRate: counterRate, buckets: map[uint64]*bucket{}}
	f.clock.Set(1e9)
	for i := range workers {
		f.workers = append(f.workers, &fleetWorker{id: fmt.Sprint("w", i), zone: []string{"norte", "sur"}[i%2], up: true})
	}
	f.gatekeepers = make([]*fleetGatekeeper, gatekeepers)
	for i := range gatekeepers {
		f.startGatekeeper(i)
	}
	return f
}

func (f *fleet) now() float64 { return f.clock.Now() }

// random returns a pseudo-random number from 0 to 1. The sequence is the same in each run.
func (f *fleet) random() float64 {
	f.sequence++
	x := uint64(f.sequence) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return float64((x^x>>27)*0x94d049bb133111eb>>11) / (1 << 53)
}

func (f *fleet) schedule(delayMS float64, run func()) {
	f.sequence++
	heap.Push(&f.timers, timer{f.now() + delayMS, f.sequence, run})
}

// runFor advances the clock and runs the timers that are due.
func (f *fleet) runFor(ms float64) {
	end := f.now() + ms
	for len(f.timers) > 0 && f.timers[0].at <= end {
		next := heap.Pop(&f.timers).(timer)
		f.clock.Set(max(next.at, f.now()))
		next.run()
	}
	f.clock.Set(end)
}

// startGatekeeper starts a gatekeeper, which knows nothing but the list of workers, in place of the previous one.
func (f *fleet) startGatekeeper(index int) {
	if old := f.gatekeepers[index]; old != nil {
		old.stop()
	}
	g := &fleetGatekeeper{fleet: f, index: index, workers: map[policy.Server]*fleetWorker{}, idleSince: map[*fleetWorker][]float64{}, outstanding: map[*gatekeeper.Execution]bool{}}
	f.gatekeepers[index] = g
	policySettings := f.settings
	policySettings.Index = index
	f.sequence++
	g.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: policySettings, Seed: uint64(f.sequence)*2 + 1, Clock: f.clock, Workers: g, Counter: g,
		RequestWakeUp: func(at float64) {
			f.schedule(at-f.now(), func() {
				if !g.stopped {
					g.RunDueTimers()
				}
			})
		}})
	g.hostGroup = &platform.HostGroup{Core: g.Gatekeeper, Fleet: g, Names: settings.Names{Zones: []string{"norte", "sur"}}}
	g.receiveList()
}

func (g *fleetGatekeeper) stop() {
	g.stopped = true
	for worker, idle := range g.idleSince {
		worker.conns -= len(idle)
		g.fleet.conns -= len(idle)
	}
}

// receiveList passes the current list of workers to the gatekeeper.
func (g *fleetGatekeeper) receiveList() {
	var lines []string
	for _, worker := range g.fleet.workers {
		if worker.up || worker.startedAt == 0 { // a lost worker that never restarted is still listed
			g.workers[platform.ServerID(worker.id)] = worker
			lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:9%s","zone":%q,"cell":1,"lifecycle":"ready","weight":1,"startedAtMs":%f}`,
				worker.id, worker.id[1:], worker.zone, worker.startedAt))
		}
	}
	g.fleet.listGeneration++
	if err := g.hostGroup.ApplyLine([]byte(fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, g.fleet.listGeneration, strings.Join(lines, ",")))); err != nil {
		g.fleet.t.Fatal(err)
	}
}

// announceList passes the list to all gatekeepers, each after a random delay.
func (f *fleet) announceList() {
	for _, g := range f.gatekeepers {
		f.schedule(f.random()*maxListDelayMS, func() {
			if !g.stopped {
				g.receiveList()
			}
		})
	}
}

// generateTraffic schedules requests, spread evenly over the gatekeepers. One in eight is from ten customers that
// request three times their quotas, the others are spread evenly over all customers.
func (f *fleet) generateTraffic(ms, perSecond float64, customers int) {
	for at := 0.0; at < ms; at -= math.Log(1-f.random()) * 1000 / perSecond {
		f.schedule(at, func() {
			g := f.gatekeepers[int(f.random()*float64(len(f.gatekeepers)))]
			f.requests++
			if g.stopped {
				return
			}
			customer := 100 + uint64(f.random()*float64(customers))
			if f.random() < 0.125 {
				customer = 1 + uint64(f.random()*10)
			}
			request := &gatekeeper.Request{Customer: customer, TimeLeft: 2000, EstimatedUnits: 1 + math.Floor(f.random()*2), GatekeeperCount: len(f.gatekeepers)}
			request.Responder = &fleetRequest{g, f.now()}
			g.Submit(request)
		})
	}
}

func (r *fleetRequest) Served(*gatekeeper.Request, gatekeeper.Answer) {
	if r.gatekeeper.fleet.now()-r.sentAt <= latencyTargetMS {
		r.gatekeeper.fleet.servedInTime++
	}
}
func (r *fleetRequest) Throttled(*gatekeeper.Request, float64) { r.gatekeeper.fleet.refused++ }
func (a *fleetRequest) Failed(*gatekeeper.Request)             {}

func (g *fleetGatekeeper) Place(policy.Server, string, float64) {}
func (g *fleetGatekeeper) Release(policy.Server)                {}

func (g *fleetGatekeeper) Abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	sent := g.outstanding[execution]
	delete(g.outstanding, execution)
	if sent {
		return gatekeeper.SentAll
	}
	return gatekeeper.SentNothing
}

// Execute uses an idle connection or opens one. A connection carries one request at a time.
func (g *fleetGatekeeper) Execute(execution *gatekeeper.Execution) {
	fleet, worker := g.fleet, g.workers[execution.Worker]
	fleet.attempts++
	g.outstanding[execution] = worker.up
	fleet.takeUnits(execution.Request)
	if !worker.up {
		fleet.schedule(1, func() { g.finish(execution, nil, policy.ConnectFailed) })
		return
	}
	idle := slices.DeleteFunc(g.idleSince[worker], func(since float64) bool {
		expired := fleet.now()-since > maxIdleConnMS
		if expired {
			worker.conns--
			fleet.conns--
		}
		return expired
	})
	if len(idle) > 0 {
		idle = idle[:len(idle)-1]
	} else {
		fleet.connsOpened++
		fleet.conns++
		worker.conns++
	}
	g.idleSince[worker] = idle
	fleet.schedule(1, func() { fleet.process(g, worker, execution) })
}

// takeUnits takes a request's units from the customer's token bucket, which all gatekeepers share.
func (f *fleet) takeUnits(request *gatekeeper.Request) {
	b, plan := f.buckets[request.Customer], f.settings.Plans[0]
	if b == nil {
		b = &bucket{plan.Burst, f.now()}
		f.buckets[request.Customer] = b
	}
	b.level = min(b.level+(f.now()-b.updatedAt)/1000*plan.Rate, plan.Burst)
	if b.updatedAt = f.now(); b.level >= request.EstimatedUnits {
		b.level -= request.EstimatedUnits
	} else {
		f.unitsOverQuota += request.EstimatedUnits
	}
}

// process simulates a worker: up to maxWorkerRequests requests run on or wait for one of its cores.
func (f *fleet) process(g *fleetGatekeeper, worker *fleetWorker, execution *gatekeeper.Execution) {
	now, share := f.now(), 1.0
	worker.received++
	if age := now - worker.startedAt; worker.startedAt > 0 && age < slowStartMS {
		share = slowStartShare + (1-slowStartShare)*age/slowStartMS
		worker.recentRequests = append(worker.recentRequests, now)
		for worker.recentRequests[0] < now-overloadWindowMS {
			worker.recentRequests = worker.recentRequests[1:]
		}
		if maximum := overloadFactor * share * workerCores / requestWorkMS * overloadWindowMS; float64(len(worker.recentRequests)) > maximum && f.overloaded == "" {
			f.overloaded = fmt.Sprintf("%s, %.0f ms after its start, got %d requests in %.0f ms, at most %.0f are allowed", worker.id, age, len(worker.recentRequests), overloadWindowMS, maximum)
		}
	}
	switch {
	case worker.failing:
		f.schedule(2, func() { g.finish(execution, worker, policy.Failed) })
	case worker.inFlight >= maxWorkerRequests:
		f.schedule(1, func() { g.finish(execution, worker, policy.Full) })
	default:
		core := 0
		if worker.coreFreeAt[1] < worker.coreFreeAt[0] {
			core = 1
		}
		worker.coreFreeAt[core] = max(worker.coreFreeAt[core], now) + requestWorkMS/share*(0.5+f.random())
		worker.inFlight++
		started := worker.startedAt
		f.schedule(worker.coreFreeAt[core]-now+1, func() {
			if worker.startedAt != started || !worker.up {
				g.finish(execution, worker, policy.Reset)
				return
			}
			worker.inFlight--
			g.finish(execution, worker, policy.OK)
		})
	}
}

// finish ends an execution. Its connection becomes idle.
func (g *fleetGatekeeper) finish(execution *gatekeeper.Execution, worker *fleetWorker, status policy.Status) {
	if worker != nil && !g.stopped {
		g.idleSince[worker] = append(g.idleSince[worker], g.fleet.now())
	}
	if _, outstanding := g.outstanding[execution]; !outstanding || g.stopped {
		return
	}
	delete(g.outstanding, execution)
	g.ExecutionEnded(execution, gatekeeper.Outcome{Status: status, Units: execution.Request.EstimatedUnits})
}

// Add simulates the counter, which answers calls in order and rejects a call that would wait longer than 20 ms.
func (g *fleetGatekeeper) Add(call *gatekeeper.CounterCall) {
	fleet := g.fleet
	fleet.counterCalls++
	fleet.counterBusyUntil = max(fleet.counterBusyUntil, fleet.now()) + 1000/fleet.counterRate
	wait := fleet.counterBusyUntil - fleet.now() + 1
	if wait > 20 {
		fleet.counterBusyUntil -= 1000 / fleet.counterRate
		fleet.counterRejected++
		fleet.schedule(1, func() { g.counterAnswered(call, policy.Full, 0) })
		return
	}
	fleet.schedule(wait, func() {
		fleet.counterTotals[call.Name] += call.Amount
		g.counterAnswered(call, policy.OK, fleet.counterTotals[call.Name])
	})
}

func (g *fleetGatekeeper) counterAnswered(call *gatekeeper.CounterCall, status policy.Status, total float64) {
	if !g.stopped {
		g.CounterCallEnded(call, status, total)
	}
}

// restartWorker restarts a worker's process, which begins its slow start.
func (f *fleet) restartWorker(worker *fleetWorker) {
	worker.up, worker.startedAt, worker.inFlight, worker.recentRequests, worker.coreFreeAt = true, f.now(), 0, nil, [workerCores]float64{}
}

// resetCounts resets all counts to 0.
func (f *fleet) resetCounts() {
	f.requests, f.servedInTime, f.refused, f.attempts, f.connsOpened, f.counterCalls, f.counterRejected, f.unitsOverQuota = 0, 0, 0, 0, 0, 0, 0, 0
	for _, worker := range f.workers {
		worker.received = 0
	}
}

// TestFleetUnderDisturbances sends the same load to the same workers through 4, 80 and 300 gatekeepers:
// undisturbed, with a worker that fails every request, with a counter that can answer half of its calls, while most
// gatekeepers restart, while a zone is lost and returns in slow start, and while six in ten workers are replaced.
func TestFleetUnderDisturbances(t *testing.T) {
	before := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(before)
	const workers, rate, customers = 30, 900.0, 600 // the workers can process 1,000 requests per second
	disturbances := []struct {
		name      string
		start     func(f *fleet)
		minInTime float64 // part of the requests of the next 4 s that must be served in time
	}{
		{"undisturbed", func(*fleet) {}, 0.75},
		{"a worker fails", func(f *fleet) { f.workers[3].failing = true }, 0.75},
		{"the counter is slow", func(f *fleet) { f.counterRate = 450 }, 0.6},
		{"most gatekeepers restart", func(f *fleet) {
			for i := range f.gatekeepers {
				if i%10 < 7 {
					f.startGatekeeper(i)
				}
			}
		}, 0.33},
		{"a zone returns in slow start", func(f *fleet) {
			for _, worker := range f.workers {
				if worker.zone == "sur" {
					worker.up = false
					f.schedule(1500, func() {
						f.restartWorker(worker)
						f.announceList()
					})
				}
			}
		}, 0.33},
		{"six in ten workers are replaced", func(f *fleet) {
			for i, worker := range f.workers[:18] {
				f.schedule(float64(i)*100, func() {
					f.restartWorker(worker)
					f.announceList()
				})
			}
		}, 0.33},
	}
	for _, disturbance := range disturbances {
		for _, gatekeepers := range []int{4, 80, 300} {
			f := newFleet(t, gatekeepers, workers, 1350)
			f.generateTraffic(7000, rate, customers)
			f.runFor(3000)
			f.resetCounts()
			disturbance.start(f)
			f.runFor(4000)
			maxConns := 0
			for _, worker := range f.workers {
				maxConns = max(maxConns, worker.conns)
			}
			requests := float64(f.requests)
			t.Logf("%s, %d gatekeepers: %.2f in time, %.2f refused, %.2f counter calls per request (%.2f rejected), %.2f connections opened, at most %d to a worker, %.3f units over quota",
				disturbance.name, gatekeepers, float64(f.servedInTime)/requests, float64(f.refused)/requests, float64(f.counterCalls)/requests, float64(f.counterRejected)/float64(max(f.counterCalls, 1)),
				float64(f.connsOpened)/requests, maxConns, f.unitsOverQuota/requests)
			if f.overloaded != "" {
				t.Errorf("%s, %d gatekeepers: %s", disturbance.name, gatekeepers, f.overloaded)
			}
			if float64(f.servedInTime) < disturbance.minInTime*requests {
				t.Errorf("%s, %d gatekeepers: %d of %d served in time", disturbance.name, gatekeepers, f.servedInTime, f.requests)
			}
			maxRejected := 0.2
			if f.counterRate < 1000 { // each gatekeeper adapts by itself, from two calls per second
				maxRejected = 0.5
			}
			if float64(f.counterCalls) > 1.3*requests || float64(f.counterRejected) > maxRejected*float64(f.counterCalls) {
				t.Errorf("%s, %d gatekeepers: %d counter calls for %d requests, %d rejected", disturbance.name, gatekeepers, f.counterCalls, f.requests, f.counterRejected)
			}
			if float64(f.connsOpened) > 0.6*requests || maxConns > 2*f.attempts/workers {
				t.Errorf("%s, %d gatekeepers: %d connections opened for %d requests, %d to one worker", disturbance.name, gatekeepers, f.connsOpened, f.requests, maxConns)
			}
			if f.unitsOverQuota > 0.1*requests {
				t.Errorf("%s, %d gatekeepers: %.0f units beyond quotas in %d requests", disturbance.name, gatekeepers, f.unitsOverQuota, f.requests)
			}
			if f.workers[3].failing && float64(f.workers[3].received) > 2*requests/workers {
				t.Errorf("%d gatekeepers: the failing worker got %d requests, an even share is %.0f", gatekeepers, f.workers[3].received, requests/workers)
			}
		}
	}
}
