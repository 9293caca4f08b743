package proxy

import (
	"hash/fnv"
	"math"

	"foxwood/gatekeeper"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/dataplane/slowstart"
	"foxwood/policy"
)

// pool serves one destination: it holds the core with its decision module and the connections to the workers.
type pool struct {
	p            *Proxy
	name         string
	core         *gatekeeper.Gatekeeper // queues the requests and decides which worker gets which
	fleet        *link.WorkerConns      // the connections to the workers
	classes      []policy.Class
	classIndexes map[classTerms]int      // index in classes, by terms
	config       routeconfig.Destination // as configured
}

// classTerms are the terms that make a class. Routes with the same terms share a class, and so the statistics that
// the decision module keeps for it.
type classTerms struct {
	safe               bool
	deadline, target   float64
	priority, attempts int
}

// Constants of the decision modules and of the connections to workers.
const (
	tenantRanks            = 8      // tenants' priorities that are told apart
	routeRanks             = 16     // routes' priorities that are told apart within each of them
	connectTimeoutMs       = 600.0  // milliseconds for a connection to a worker to be established
	maxIdleMs              = 8000.0 // milliseconds that an idle connection is kept if the worker states no time
	holdFraction           = 0.22   // of a class's target latency: a request is held back at most this long before it is first sent
	tickMicros             = 20000  // microseconds between two housekeeping ticks of the decision module
	idleTickMicros         = 100000 // the same while no requests are open
	leasedBudgetFraction   = 0.45   // of the budget of a cold worker, for gatekeepers with a lease
	fallbackBudgetFraction = 0.55   // of the budget of a cold worker, for gatekeepers that are out of touch with the registries
	outOfTouchMs           = 1200.0 // milliseconds without newer state of the chain's tail after which a gatekeeper is out of touch
	safeRetryLatencies     = 8      // expected latencies without an answer after which a safe request is also sent to another worker
)

// answerLimits sets no limit to a worker's answer that is streamed: the configured limits are for what clients send.
var answerLimits = http1.Limits{StreamedBodyBytes: math.MaxInt}

// planOf returns the plan of a tenant's priority in the decision module. Plans differ in rank only, since tenants'
// buckets are checked before a request reaches a pool.
func planOf(priority int) int { return min(max(priority, 0), tenantRanks-1) }

// worthOf returns the worth of a route's priority. The module orders requests by worth times price, which makes it
// the order by the tenant's priority first and the route's priority second.
func worthOf(priority int) float64 { return math.Exp2(-float64(min(max(priority, 0), routeRanks-1))) }

// class returns the index of the class for a route in this pool, and adds the class if there is none.
func (s *pool) class(route *routeconfig.Route) int {
	terms := classTerms{route.Safe, route.DeadlineS, route.TargetS, route.Priority, route.MaxAttempts}
	if index, ok := s.classIndexes[terms]; ok {
		return index
	}
	repeat := policy.RepeatUnsafe
	if route.Safe {
		repeat = policy.RepeatSafe
	}
	s.classes = append(s.classes, policy.Class{
		LatencyTarget: policy.Micros(route.TargetS * 1e6), Deadline: policy.Micros(route.DeadlineS * 1e6), Value: worthOf(route.Priority), LateValue: 1,
		Repeat: repeat, MaxAttempts: route.MaxAttempts,
	})
	s.classIndexes[terms] = len(s.classes) - 1
	s.core.SetClasses(append([]policy.Class(nil), s.classes...))
	return len(s.classes) - 1
}

// pool returns the pool of a destination, and creates it if there is none.
func (p *Proxy) pool(name string) *pool {
	if s := p.pools[name]; s != nil {
		return s
	}
	s := &pool{p: p, name: name, classIndexes: map[classTerms]int{}}
	s.fleet = link.NewWorkerConns(p.loop, p.clock, p.handler, p.connectTimeoutMs, maxIdleMs, link.Transport{})
	s.fleet.PartialTimeoutMS = 0 // a worker may be silent inside an answer up to the deadline
	s.fleet.HonorKeepAlive = true
	s.fleet.ResponseLimits = &answerLimits
	planList := make([]policy.Plan, tenantRanks)
	for i := range planList {
		planList[i].Price = math.Exp2(-float64(routeRanks * i))
	}
	settings := policy.Settings{
		// Each gatekeeper has a number of its own from the start, whatever its member index will be: gatekeepers with
		// the same number order the workers in the same way and would all use the same few.
		Index: int(hash64(p.settings.Node) >> 40), GatewayCount: max(p.memberCount, 1), Plans: planList, ClockTick: 1000, MaxAttempts: 1, CanCancel: true, SendRetryAfter: true,
		MaxUnits: 1, MaxHoldFraction: holdFraction, TickInterval: tickMicros, IdleTickInterval: idleTickMicros, MoveAfterSilence: safeRetryLatencies,
		Rotate: true, SlownessSeconds: 1.5, LimitTerms: policy.LimitTerms{GrowBelow: 0.8, CutAbove: 1, GrowKnee: 3, CutKnee: 5},
		MaxColdSends: s.coldSends, UseLoadReports: true, ZoneVerdicts: p.outliers != nil,
		AllowRetry: func(int) bool { return p.retryBudget.TryTake(p.micros(), name) },
	}
	// All pools share one alarm, which is set to the earliest time.
	s.core = gatekeeper.New(gatekeeper.Config{Settings: settings, Seed: p.seed ^ hash64(name), Clock: p.clock, Workers: s.fleet,
		Counter: noCounter{}, RequestWakeUp: func(at float64) { p.wake(at) }})
	s.fleet.SetCore(s.core)
	if p.mirror != nil {
		s.fleet.OnSent = p.mirror.noteForwarded
	}
	s.core.SetZoneRank(p.ring())
	p.pools[name] = s
	p.poolList = append(p.poolList, s)
	s.updateWorkers()
	return s
}

// coldSends returns how many requests a second this gatekeeper may send to a worker, so that all gatekeepers together
// stay within the budget of a cold one. A negative number means any number. Without a lease a cold worker gets
// nothing. A gatekeeper that has been out of touch with the registries for long would not learn that a worker has
// become cold, so it treats every worker as possibly cold.
func (s *pool) coldSends(worker policy.Server, cold bool) int {
	p, bounds := s.p, s.p.settings.Bounds
	budget := s.config.SlowStartPerS*bounds.SlowStartExcess + bounds.SlowStartSlack
	switch now := p.clock.Now(); {
	case cold:
		return p.slowStart.RequestsPerSecond(now, leasedBudgetFraction*budget, uint64(worker))
	case s.config.SlowStartPerS <= 0 || p.memberCount <= 1 || now-p.tailStateAt < outOfTouchMs:
		return -1
	}
	return p.slowStart.FallbackRequestsPerSecond(fallbackBudgetFraction*budget, uint64(worker), slowstart.Share{Index: p.memberIndex, Count: p.memberCount})
}

// coldUntil returns until when a worker is cold: according to the list, or because the evacuation of its zone was
// revoked. Workers of such a zone may have become cold before the list says so.
func (s *pool) coldUntil(w *worker) policy.Micros {
	revokedAt, ok := s.p.evacuationRevokedAt[w.Zone]
	if !ok || s.config.SlowStartPerS <= 0 {
		return w.coldUntil
	}
	return max(w.coldUntil, policy.Micros((revokedAt+s.config.SlowStartS*1000)*1000))
}

// updateWorkers passes the workers in force to the core, with those that must not get new requests marked as
// draining.
func (s *pool) updateWorkers() {
	p := s.p
	var entries []policy.Entry
	for _, w := range p.workers {
		if w.Destination != s.name {
			continue
		}
		entry := policy.Entry{Server: policy.Server(hash64(w.ID)), State: policy.Ready, Region: p.regionOf(w.Zone), CostFactor: p.zoneCost(w.Zone),
			ColdUntil: s.coldUntil(w)}
		if w.Draining || p.evacuated[w.Zone] || w.misdirected {
			entry.State = policy.Draining
		}
		if entry.State == policy.Ready {
			s.fleet.Place(entry.Server, w.Addr, 0)
			s.fleet.SetHeaderLines(entry.Server, []byte(headerExpectWorker+": "+w.ID+"\r\n"))
		}
		entries = append(entries, entry)
	}
	s.core.UpdateWorkers(policy.FullList, entries)
}

// hash64 returns the FNV-1a hash of a string.
func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// noCounter takes the place of the counter that the gatekeepers of other deployments share. Here quotas are checked
// before a request reaches a pool.
type noCounter struct{}

// Add implements the counter and does nothing.
func (noCounter) Add(*gatekeeper.CounterCall) {}
