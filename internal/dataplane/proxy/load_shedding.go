package proxy

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"foxwood/gatekeeper"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/control/shedding"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// ShedMode is how a gatekeeper decides which requests to shed.
type ShedMode int

// ShedByCluster applies the level of the whole cluster. The other modes are for comparison in rehearsals: each gatekeeper
// goes by its own pressure, and sheds by the same priority order (ShedByGatekeeper) or at random (ShedAtRandom).
const (
	ShedByCluster ShedMode = iota
	ShedByGatekeeper
	ShedAtRandom
)

// Times, thresholds and weights of load shedding.
const (
	pressureInterval     = 100 * time.Millisecond // between two computations of the pressure
	urgentReportInterval = 200 * time.Millisecond // between two reports while this gatekeeper is near overload or something is shed
	calmReportInterval   = time.Second            // between two reports otherwise
	reportTimeout        = 400 * time.Millisecond // for a report to be answered

	loadSpanMs           = 600.0  // milliseconds over which the incoming load is smoothed
	pressureSpanMs       = 300.0  // milliseconds over which the pressure of a destination is smoothed
	resourceSpanMs       = 1000.0 // milliseconds over which the use of processor and link is smoothed
	overloadQueueRatio   = 0.5    // fraction of the concurrency bound that waits in addition at pressure 1
	overloadRefusalRatio = 0.03   // fraction of requests that find no room at pressure 1
	overloadWorkerLoad   = 3.0    // requests running and waiting for each slot of the workers at pressure 1; with 2, random arrivals would overload workers that are 80 % busy
	overloadCPUShare     = 0.9    // fraction of the allowed processor time at pressure 1
	urgentPressure       = 0.7    // pressure from which on reports are frequent
	workerLoadGain       = 0.15   // weight of a worker's newest report in the smoothed load
	workerLoadDecayMs    = 2000.0 // milliseconds over which the load of workers without reports decays
	workGainUp           = 0.01   // weight of a longer time in a route's smoothed work; small, since slow answers include time spent waiting
	workGainDown         = 0.2    // weight of a shorter time

	minRetryLossMs    = 150.0 // milliseconds by which a retried request has less than the route's whole time left
	overloadLinkShare = 0.8   // fraction of the link at pressure 1

	// ShedBody is the body of the answer to a request that is shed.
	ShedBody = "shed by the level\n"
)

// destinationLoad is the load of one destination.
type destinationLoad struct {
	received, forwarded, noRoom float64 // requests received, passed on and refused for want of room, since the last tick
	requestRate, pressure       float64 // smoothed requests a second, and smoothed pressure
	workerLoad                  float64 // smoothed load of the workers, from their reports
	workersReported             bool    // a worker has reported since the last tick

	newLoad      shedding.Load // requests by bin of the priority order, since the last tick
	smoothedLoad shedding.Load // the same a second, smoothed
	served       float64       // since the last tick
	servedRate   float64       // a second, smoothed
}

// tierCount counts what happened to the requests of a tier.
type tierCount struct{ Passed, Shed uint64 }

// loadShedder is this gatekeeper's part of load shedding. Its methods run on the loop.
type loadShedder struct {
	p          *Proxy
	mode       ShedMode
	localLevel shedding.Follower // the level that was received, and what is applied here

	load           shedding.Load // of all destinations
	servedRate     float64       // requests served a second
	cpuShare       float64       // smoothed part of the processor time allowed
	cpuUsed        time.Duration
	linkSent       uint64  // bytes sent over the link, at the last tick
	linkShare      float64 // smoothed part of the machine's link
	sharedPressure float64 // pressure of what all destinations share: processor and link
	lastTick       float64
	pressure       float64 // of this gatekeeper; 1 is overload
	cause          string  // what causes the pressure
	destinations   map[string]*destinationLoad
	routeWork      map[int]float64 // milliseconds by route index, of the configuration version below
	configVersion  uint64

	routeTiers     []int  // by route index, without the tenant's priority
	tiersVersion   uint64 // configuration version that routeTiers goes by
	tiersLevel     uint64 // number of the level whose work routeTiers goes by
	counts         map[int]*tierCount
	state          shedding.AppliedState
	loggedAt       float64 // when what is refused was last logged
	loggedRefusals string  // description of what is refused
	loggedNumber   uint64  // of the level that was last logged
	sequence       uint64  // sequence number of reports
	nearOverload   bool    // something is near overload
	hashTurns      uint64  // turns of the hash that the loads go by
	reportsFailed  uint64  // reports that were not answered
	retrySalt      uint64  // varies the retry times of refused requests
}

// EnableShedding turns load shedding on. It is to be called before Serve.
func (p *Proxy) EnableShedding(mode ShedMode) {
	s := &loadShedder{p: p, mode: mode, load: shedding.Load{}, destinations: map[string]*destinationLoad{},
		routeWork: map[int]float64{}, counts: map[int]*tierCount{}, state: shedding.AppliedState{Threshold: policy.ShedNothing}}
	s.localLevel.LocalOnly, s.localLevel.ServiceLoads = mode != ShedByCluster, map[string]shedding.Load{}
	s.lastTick, s.cpuUsed = p.clock.Now(), processorTime()
	s.loggedAt = s.lastTick
	p.runOnLoop(func() {
		p.shedder = s
		p.loop.Every(pressureInterval, s.tick)
		p.loop.Every(countersLogInterval, s.logCounters)
	})
}

// refuses answers a request that the level refuses, before it takes any token, and tells whether it did.
func (s *loadShedder) refuses(client *link.ClientConn, msg *http1.Message, route *routeconfig.Route, attempt *clientAttempt, sender *routeconfig.Tenant, timeLeft float64) bool {
	caller := ""
	switch name := s.localLevel.Level().CallerHeader; name {
	case "":
	case shedding.CallerAddress:
		caller = client.RemoteHost()
	default:
		if value, ok := msg.Unique(name); ok {
			caller = string(value)
		}
	}
	tier, mark := s.rank(route, sender, caller)
	load := s.loadOf(attempt.pool.name)
	load.received++
	attempt.routeNumber = route.Index + 1
	count := s.counts[tier]
	if count == nil {
		count = &tierCount{}
		s.counts[tier] = count
	}
	cut := s.localLevel.ThresholdFor(attempt.pool.name)
	shed := policy.Sheds(mark, cut)
	if s.mode == ShedAtRandom {
		shed = cut < policy.ShedNothing && rand.Float64() > s.load.AdmittedBy(cut)/max(s.load.Sum(), 1e-9)
	}
	if !shed || route.DeadlineS*1000-timeLeft < minRetryLossMs {
		load.newLoad[policy.BinOf(mark)]++
	}
	if !shed {
		count.Passed++
		load.forwarded++
		return false
	}
	count.Shed++
	s.retrySalt++
	s.p.refuse(client, http.StatusServiceUnavailable, float64(policy.ShedWait(mark, cut, s.retrySalt))/1000, ShedBody)
	return true
}

// rank returns a request's tier and its mark in the priority order.
func (s *loadShedder) rank(route *routeconfig.Route, sender *routeconfig.Tenant, caller string) (tier int, mark policy.ShedPosition) {
	priority, tenant := 0, ""
	if sender != nil {
		priority, tenant = sender.Priority, sender.Name
	}
	tier = policy.Tier(priority, 0, 0) | s.tierOf(route)
	return tier, s.localLevel.Level().Terms().Position(priority, tier, tenant, caller)
}

// loadOf returns the load of a destination.
func (s *loadShedder) loadOf(name string) *destinationLoad {
	load := s.destinations[name]
	if load == nil {
		load = &destinationLoad{newLoad: shedding.Load{}, smoothedLoad: shedding.Load{}}
		s.destinations[name] = load
	}
	return load
}

// tierOf returns the route's part of a request's tier.
func (s *loadShedder) tierOf(route *routeconfig.Route) int {
	config, level := s.p.config, s.localLevel.Level()
	if s.routeTiers == nil || s.tiersVersion != config.Version || s.tiersLevel != level.Number {
		figures := make([]policy.RouteProperties, len(config.Routes))
		for i := range config.Routes {
			row := &config.Routes[i]
			figures[i] = policy.RouteProperties{Rank: row.Priority, LatencyTarget: policy.Micros(row.TargetS * 1e6)}
			if level.Version == config.Version && i < len(level.RouteCosts) {
				figures[i].WorkLog2 = int(level.RouteCosts[i])
			}
		}
		s.routeTiers = s.routeTiers[:0]
		for i, wait := range policy.RouteOrder(figures) {
			s.routeTiers = append(s.routeTiers, policy.Tier(0, config.Routes[i].Priority, wait))
		}
		s.tiersVersion, s.tiersLevel = config.Version, level.Number
	}
	return s.routeTiers[route.Index]
}

// noRoom counts a request that found no room.
func (s *loadShedder) noRoom(client *link.ClientConn) {
	if attempt, ok := client.UserData.(*clientAttempt); ok && attempt.pool != nil {
		s.loadOf(attempt.pool.name).noRoom++
	}
}

// answered updates the work of a route and the load of its workers from a worker's answer.
func (s *loadShedder) answered(execution *gatekeeper.Execution, msg *http1.Message) {
	client, ok := execution.Request.Responder.(*link.ClientConn)
	if !ok {
		return
	}
	attempt, ok := client.UserData.(*clientAttempt)
	if !ok || attempt.pool == nil {
		return
	}
	if load := s.p.handler.loadOf(msg); load != nil {
		destination := s.loadOf(attempt.pool.name)
		destination.workerLoad += workerLoadGain * (float64(load[0]+load[1])/max(float64(load[2]), 1) - destination.workerLoad)
		destination.workersReported = true
	}
	if msg.Status >= 300 {
		return
	}
	s.loadOf(attempt.pool.name).served++
	if i := attempt.routeNumber - 1; i >= 0 && s.p.config != nil && s.configVersion == s.p.config.Version {
		ms := attempt.pool.core.Elapsed(execution)
		switch known := s.routeWork[i]; {
		case known == 0:
			s.routeWork[i] = ms
		case ms < known:
			s.routeWork[i] += workGainDown * (ms - known)
		default:
			s.routeWork[i] += workGainUp * (min(ms, 4*known) - known)
		}
	}
}

// tick computes the pressure of this gatekeeper and what it sheds.
func (s *loadShedder) tick() {
	now := s.p.clock.Now()
	span := now - s.lastTick
	if span < 1 {
		return
	}
	s.lastTick = now
	hashTurns := s.localLevel.Level().Rotation - s.hashTurns
	s.hashTurns += hashTurns
	clear(s.load)
	clear(s.localLevel.ServiceLoads)
	s.servedRate = 0
	for name, load := range s.destinations {
		load.smooth(span, hashTurns)
		for bin, rate := range load.smoothedLoad {
			s.load[bin] += rate
		}
		s.servedRate += load.servedRate
		s.localLevel.ServiceLoads[name] = load.smoothedLoad
	}
	if config := s.p.config; config != nil && config.Version != s.configVersion {
		s.configVersion = config.Version
		clear(s.routeWork)
	}
	s.updatePressure(span)
	state := s.localLevel.Step(now, s.pressure, s.load, s.servedRate)
	level := s.localLevel.Level()
	if state != s.state || level.Number != s.loggedNumber {
		refused := s.localLevel.Describe()
		if refused != s.loggedRefusals || state.ShedsAlone != s.state.ShedsAlone || state.Disconnected != s.state.Disconnected {
			s.p.log.Info().Uint64("number", level.Number).Uint32("cut", state.Threshold).Str("refused", refused).
				Bool("alone", state.ShedsAlone).Bool("cutOff", state.Disconnected).Bool("aging", state.Aging).Str("why", level.Reason).
				Float64("own", s.pressure).Str("ownWhy", s.cause).Float64("lastHeldMs", now-s.loggedAt).Msg("shedding level")
			s.loggedAt = now
		}
		s.state, s.loggedNumber, s.loggedRefusals = state, level.Number, refused
	}
}

// smooth updates the smoothed values of a destination.
func (x *destinationLoad) smooth(span float64, hashTurns uint64) {
	weight := 1 - math.Exp(-span/loadSpanMs)
	for bin := range x.newLoad {
		x.newLoad[bin] *= 1000 / span
	}
	x.smoothedLoad.Blend(x.newLoad, weight)
	clear(x.newLoad)
	x.smoothedLoad.Rotate(hashTurns)
	x.servedRate += weight * (x.served*1000/span - x.servedRate)
	x.served = 0
}

// updatePressure computes the pressure: that of the processor or the link, or the pressure that most requests meet at
// their destinations, whichever is higher. One slow destination affects only the clients that use it.
func (s *loadShedder) updatePressure(span float64) {
	weight := 1 - math.Exp(-span/pressureSpanMs)
	var services []shedding.Service
	s.nearOverload = s.pressure >= urgentPressure
	for name, load := range s.destinations {
		pool := s.p.pools[name]
		if pool == nil {
			delete(s.destinations, name)
			continue
		}
		bound, _, held := pool.core.Concurrency()
		pressure := float64(held) / max(bound, 1) / overloadQueueRatio
		if load.forwarded > 0 || load.noRoom > 0 {
			pressure = max(pressure, min(load.noRoom/max(load.forwarded, 1)/overloadRefusalRatio, 2))
		}
		pressure = max(pressure, load.workerLoad/overloadWorkerLoad)
		load.pressure += weight * (min(pressure, 3) - load.pressure)
		load.requestRate += (1 - math.Exp(-span/loadSpanMs)) * (load.received*1000/span - load.requestRate)
		load.received, load.forwarded, load.noRoom = 0, 0, 0
		if load.workersReported {
			load.workersReported = false
		} else { // no request is let in that would bring a new report, and the workers' queues drain
			load.workerLoad *= math.Exp(-span / workerLoadDecayMs)
		}
		s.nearOverload = s.nearOverload || load.pressure >= urgentPressure
		if load.requestRate > 0.1 {
			services = append(services, shedding.Service{Pressure: load.pressure, Rate: load.requestRate})
		}
	}
	s.sharedPressure, s.cause = 0, "processor"
	if share := s.p.settings.ResourceLimits.CPUCores; share > 0 {
		used := processorTime()
		busy := float64(used-s.cpuUsed) / 1e6 / span / share
		s.cpuUsed = used
		s.cpuShare += (1 - math.Exp(-span/resourceSpanMs)) * (busy - s.cpuShare)
		s.sharedPressure = s.cpuShare / overloadCPUShare
	}
	sent := link.SentBytes()
	s.linkShare += (1 - math.Exp(-span/resourceSpanMs)) * (shedding.BandwidthShare(sent-s.linkSent, span, s.p.settings.ResourceLimits.NetworkMbps) - s.linkShare)
	s.linkSent = sent
	if share := s.linkShare / overloadLinkShare; share > s.sharedPressure {
		s.sharedPressure, s.cause = share, "link"
	}
	s.pressure = s.sharedPressure
	if met := shedding.MajorityPressure(services); met >= s.pressure {
		s.pressure, s.cause = met, "room"
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// report returns the next report to the registry. It runs on the loop.
func (s *loadShedder) report() shedding.Report {
	s.sequence++
	report := shedding.Report{Node: s.p.settings.Node, Incarnation: s.p.incarnation, Sequence: s.sequence, Pressure: s.pressure, Reason: s.cause, AnswerRate: s.servedRate,
		Level: s.localLevel.Level(), Version: s.configVersion, RouteCostsMs: make(map[int]float32, len(s.routeWork)), SharedPressure: s.sharedPressure, Services: map[string]shedding.ServiceReport{}}
	for name, load := range s.destinations {
		part := shedding.ServiceReport{Pressure: load.pressure, AnswerRate: load.servedRate, Load: make(map[uint32]float32, len(load.smoothedLoad))}
		for bin, rate := range load.smoothedLoad {
			part.Load[bin] = float32(rate)
		}
		if len(part.Load) > 0 {
			report.Services[name] = part
		}
	}
	for i, ms := range s.routeWork {
		report.RouteCostsMs[i] = float32(ms)
	}
	return report
}

// runReports reports the pressure to the registry: often while something is shed or nearly is, otherwise once a
// second.
func (p *Proxy) runReports(ctx context.Context) {
	if p.shedder == nil || p.shedder.mode != ShedByCluster {
		return
	}
	s := p.shedder
	var peer *rpc.Peer
	for ctx.Err() == nil {
		began := time.Now()
		var registry *rpc.Peer
		var request api.PressureReport
		var askedAt float64
		p.runOnLoop(func() {
			if registry = p.registry; registry != nil {
				askedAt, request = p.clock.Now(), api.PressureReport{Report: s.report()}
			}
		})
		if registry != nil {
			if peer == nil || peer.Addr() != registry.Addr() { // a connection of its own, see allocate
				if peer != nil {
					peer.Close()
				}
				peer = rpc.NewPeer(registry.Addr())
			}
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			answer, err := rpc.Call[api.PressureReport, api.SheddingLevel](callCtx, peer, request)
			cancel()
			p.runOnLoop(func() {
				if err != nil {
					s.reportsFailed++
					return
				}
				s.localLevel.Receive(askedAt, answer.Level)
			})
		}
		for ctx.Err() == nil {
			interval := calmReportInterval
			p.runOnLoop(func() {
				if s.nearOverload || s.state != (shedding.AppliedState{Threshold: policy.ShedNothing}) || !s.localLevel.Open() || s.localLevel.Level().Number == 0 {
					interval = urgentReportInterval
				}
			})
			left := interval - time.Since(began)
			if left <= 0 {
				break
			}
			pause(ctx, min(left, urgentReportInterval/2))
		}
	}
}

// shedsAlone tells whether only this gatekeeper is overloaded. The directory then names others.
func (p *Proxy) shedsAlone() bool {
	return p.shedder != nil && p.shedder.state.ShedsAlone && !p.shedder.state.Disconnected
}

// logCounters writes the counters to the log.
func (s *loadShedder) logCounters() {
	if len(s.counts) == 0 {
		return
	}
	byTier := map[string]tierCount{}
	for tier, count := range s.counts {
		byTier[tierName(tier)] = *count
	}
	s.p.log.Info().Interface("tiers", byTier).Float64("pressure", s.pressure).Str("by", s.cause).Uint64("reportsFailed", s.reportsFailed).Msg("shedding counters")
}

// tierName returns the three parts of a tier.
func tierName(tier int) string { return fmt.Sprintf("%d.%d.%d", tier>>8, tier>>4&15, tier&15) }

// statusLines returns its lines of the status command. It runs on the loop.
func (s *loadShedder) statusLines() (lines []string) {
	add := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	now, level, state := s.p.clock.Now(), s.localLevel.Level(), s.state
	add("shedding level %d turn %d refuses %s since %.0f ms: %s", level.Number, level.Rotation, s.localLevel.Describe(), now-s.loggedAt, level.Reason)
	add("shedding alone %t cut off %t aging %t, own pressure %.2f (%s), cluster's %.2f", state.ShedsAlone, state.Disconnected, state.Aging, s.pressure, s.cause, level.Pressure)
	for _, tier := range slices.Sorted(maps.Keys(s.counts)) {
		add("tier %s passed %d shed %d", tierName(tier), s.counts[tier].Passed, s.counts[tier].Shed)
	}
	return lines
}
