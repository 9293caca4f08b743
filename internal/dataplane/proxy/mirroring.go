package proxy

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sys/unix"

	"foxwood/gatekeeper"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/dataplane/mirror"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// Traffic mirroring: requests that a mirroring rule selects are sent to mirror targets as well. Related requests form
// a flow, which is mirrored only if it is complete. Its requests may pass several gatekeepers, so one of them collects
// the parts from the others. The loop only queues a note after a request was written to its worker and another one after its client
// was answered, with the payload by reference. Everything else runs on other goroutines under the mirror's lock,
// which the loop never takes.

// Times and limits of traffic mirroring.
const (
	mirrorInterval = 100 * time.Millisecond // between two turns without other cause
	maxNotes       = 16384                  // notes that may be queued
	reservedNotes  = 384                    // of them, reserved for rules, members and addresses
	memoryDivisor  = 16                     // 1/16 of the memory allowed is for queued notes and for the engine
	minMirrorBytes = 2 << 20                // bytes that are allowed in any case
	mirrorCPUShare = 0.05                   // of one processor's time
	maxCPUBurst    = 100 * time.Millisecond // of that time that may accumulate while it is not used
	cpuPause       = 20 * time.Millisecond  // pause after a turn that has used up the time
	maxCPUDebt     = -50 * time.Millisecond // below this, other gatekeepers' requests are answered as busy

	collectTimeout       = time.Second // for another gatekeeper to answer
	mirrorPressureSpanMs = 300.0       // milliseconds over which pressure is smoothed
	minPressureBound     = 32.0        // requests: a smaller concurrency bound counts as this, as a few waiting requests are no overload
	resumePressure       = 0.7         // below this pressure mirroring may resume
	resumeDelayMs        = 2000.0      // milliseconds that pressure has to stay below it first
	maxHandOverTime      = time.Second // after the drain, for other gatekeepers to fetch what was recorded
)

// mirrored is a forwarded request on a route that the mirroring rule names.
type mirrored struct {
	route       *routeconfig.Route
	sender      *routeconfig.Tenant
	destination string
	payload     *link.Payload
	forwardedAt float64
	notSelected atomic.Bool   // the engine did not select it, so its answer is of no interest
	ticket      mirror.Ticket // of the engine
}

// note is what the loop passes to the engine: the begin of a request, its end, or a function to call.
type note struct {
	at          float64
	request     *mirrored
	isEnd       bool                // it is the end of the request, not its begin
	answer      mirror.LiveResponse // the answer that the client got
	cause       mirror.Cause        // other than Fine if the request can't be mirrored
	neverRan    bool
	queuedBytes int64                // bytes of the payload that were added to queuedBytes
	call        func(*mirror.Engine) // to be called; nil for the begin or end of a request
}

// requestMirror is this gatekeeper's part of traffic mirroring.
type requestMirror struct {
	p              *Proxy
	now            func() float64 // milliseconds of a monotonic clock, safe on any goroutine
	notes          chan note
	maxQueuedBytes int64                           // bytes of payloads that may be queued
	queuedBytes    atomic.Int64                    // bytes of payloads that are queued
	maxBodyBytes   atomic.Int64                    // bytes of the largest body that is mirrored
	liveAddresses  atomic.Pointer[map[string]bool] // addresses of live processes, which are never mirror targets

	// Owned by the loop.
	rule             *mirror.Rule           // nil before the first
	ruleNumber       uint64                 // of the newest rule
	selectedRoutes   []bool                 // by index of the route
	configVersion    uint64                 // version of the configuration that selectedRoutes goes by
	openRequests     int                    // requests whose end is to be noted still
	pendingCalls     []func(*mirror.Engine) // functions that do not fit into notes yet
	overloaded       bool                   // overloaded, so nothing is mirrored
	queuePressure    float64                // smoothed part of queued requests
	cpuShare         float64                // smoothed part of the processor time allowed
	cpuUsed          time.Duration
	lastTick         float64
	lastHighPressure float64 // when pressure was last too high to resume
	membersMark      uint64  // of members
	members          []mirror.Member
	closed           bool // the last request of this process has been forwarded
	unmirrored       bool // requests were forwarded while no rule was active, and the engine has not been told

	counts struct {
		noRoom, lost, refused, sent, hung, pressed atomic.Uint64
		work                                       atomic.Int64 // nanoseconds
	}
	notesLost atomic.Bool // notes were lost, so flows may be incomplete

	mu           sync.Mutex // guards what follows
	engine       *mirror.Engine
	cpuBudget    time.Duration        // processor time that may still be used
	cpuCountedAt time.Time            // when that was last computed
	peers        map[string]*rpc.Peer // by address
	deliveries   int                  // deliveries to mirror targets that are under way
	loggedStatus mirror.Status        // the status that was last logged

	wakeUp chan struct{} // starts the next turn at once
}

// EnableMirroring has this gatekeeper mirror traffic where a mirroring rule says so. It is to be called before Serve.
func (p *Proxy) EnableMirroring() {
	start := time.Now()
	p.startMirror(func() float64 { return 1 + float64(time.Since(start))/1e6 })
}

// startMirror turns mirroring on, with a clock that never returns 0.
func (p *Proxy) startMirror(now func() float64) {
	s := &requestMirror{p: p, now: now, notes: make(chan note, maxNotes), cpuCountedAt: time.Now(), cpuBudget: maxCPUBurst,
		peers: map[string]*rpc.Peer{}, wakeUp: make(chan struct{}, 1)}
	s.maxQueuedBytes = max(int64(p.settings.ResourceLimits.MemoryMB)<<20/memoryDivisor, minMirrorBytes) / 2 // one half for queued notes, the other for the engine
	s.engine = mirror.New(mirror.Config{Self: mirror.Member{Node: p.settings.Node, Incarnation: p.incarnation, Region: p.settings.Region, InternalAddress: p.settings.InnerAddress(0)},
		Now: s.now(), MaxBytes: int(s.maxQueuedBytes)})
	s.maxBodyBytes.Store(math.MaxInt64)
	s.cpuUsed, s.lastTick = processorTime(), s.now()
	p.runOnLoop(func() {
		p.mirror = s
		p.clients.OnRequestEnded = s.noteEnded
		p.loop.Every(mirrorInterval, s.tick)
	})
}

// receive takes a new rule, members and workers from a registry's answer. It runs on the loop.
func (s *requestMirror) receive(answer *api.SessionResponse, askedAt float64, changed bool) {
	var number uint64
	var body []byte
	s.p.fanout.withLock(func(float64) { number, body = s.p.fanout.cache.MirrorOrder() })
	s.noteUnmirrored()
	if number > s.ruleNumber {
		s.ruleNumber = number
		rule, faults := mirror.ParseRule(body)
		if len(faults) > 0 || rule == nil { // the registry has checked it before
			s.p.log.Error().Uint64("number", number).Msg("received a mirroring rule that can't be read")
			rule = &mirror.Rule{Number: number, Stopped: true}
		}
		s.rule, s.configVersion, s.selectedRoutes, changed = rule, 0, nil, true
		s.p.log.Info().Uint64("number", rule.Number).Bool("stopped", rule.Stopped).Float64("share", rule.Share).Int("routes", len(rule.Routes)).Msg("mirroring rule received")
		at := s.now()
		s.tell(func(engine *mirror.Engine) { engine.SetRule(at, rule) })
	}
	if len(answer.Seats) > 0 {
		s.membersMark, s.members, changed = answer.SeatsChecksum, answer.Seats, true
	}
	if s.rule == nil {
		return
	}
	if changed {
		s.updateLive()
	}
	if !answer.Stale && answer.Settled && answer.SeatsChecksum != 0 && answer.SeatsChecksum == s.membersMark {
		at, members := s.now(), s.members
		asOf := at - (s.p.clock.Now() - askedAt) + answer.SeatsAsOf
		s.tell(func(engine *mirror.Engine) { engine.SetMembers(at, asOf, members) })
	}
}

// noteUnmirrored tells the engine that requests were forwarded while nothing was to be mirrored.
func (s *requestMirror) noteUnmirrored() {
	if s.unmirrored {
		s.unmirrored = false
		at := s.now()
		s.tell(func(engine *mirror.Engine) {
			engine.StartRequest(at, &mirror.RequestInfo{Header: func(string) ([]byte, bool) { return nil, false }})
		})
	}
}

// updateLive collects the addresses of live processes: workers, gatekeepers and registries. They must never be mirror
// targets.
func (s *requestMirror) updateLive() {
	p := s.p
	live := make(map[string]bool, len(p.workers)+len(s.members)+8)
	for _, w := range p.workers {
		live[w.Addr] = true
	}
	for i := range s.members {
		live[s.members[i].InternalAddress] = true
	}
	for dock := range 2 {
		for _, addr := range p.settings.SeedAddresses(dock) {
			live[addr] = true
		}
	}
	for _, addr := range []string{p.settings.Addresses.Clients, p.settings.Addresses.Readiness, p.settings.PlatformAPI.Address, p.settings.InnerAddress(0)} {
		live[addr] = true
	}
	if p.registry != nil {
		live[p.registry.Addr()] = true
	}
	delete(live, "")
	s.liveAddresses.Store(&live)
	at := s.now()
	s.tell(func(engine *mirror.Engine) { engine.SetLiveAddresses(at, live) })
}

// tell queues a function for the engine, after all notes that were queued before.
func (s *requestMirror) tell(call func(*mirror.Engine)) {
	s.pendingCalls = append(s.pendingCalls, call)
	s.flush()
}

// flush queues the functions for which there is room.
func (s *requestMirror) flush() {
	for len(s.pendingCalls) > 0 && len(s.notes)+s.openRequests < cap(s.notes) { // the rest follows at the next tick
		s.notes <- note{call: s.pendingCalls[0]}
		s.pendingCalls = s.pendingCalls[1:]
	}
}

// selects tells whether the rule names the route of a request.
func (s *requestMirror) selects(route *routeconfig.Route) bool {
	if s.rule == nil || s.rule.Stopped {
		s.unmirrored = true
		return false
	}
	if config := s.p.config; s.selectedRoutes == nil || s.configVersion != config.Version {
		named := map[string]bool{}
		for _, r := range s.rule.Routes {
			named[r] = true
		}
		s.configVersion, s.selectedRoutes = config.Version, make([]bool, len(config.Routes))
		for i := range config.Routes {
			s.selectedRoutes[i] = named[config.Routes[i].Name]
		}
	}
	return route.Index < len(s.selectedRoutes) && s.selectedRoutes[route.Index]
}

// noteForwarded notes that a request was written to a worker for the first time. It runs on the loop.
func (s *requestMirror) noteForwarded(execution *gatekeeper.Execution) {
	client, ok := execution.Request.Responder.(*link.ClientConn)
	if !ok {
		return
	}
	attempt, ok := client.UserData.(*clientAttempt)
	if !ok || s.closed || attempt.forwarded || attempt.id != execution.Request.Name {
		return
	}
	attempt.forwarded = true
	if attempt.route == nil || !s.selects(attempt.route) {
		return
	}
	if len(s.notes)+s.openRequests >= cap(s.notes)-reservedNotes { // each open request needs room for its end
		s.counts.lost.Add(1)
		s.notesLost.Store(true)
		return
	}
	payload, _ := execution.Request.Payload.(*link.Payload)
	attempt.mirrored = &mirrored{route: attempt.route, sender: attempt.sender, destination: attempt.pool.name, payload: payload, forwardedAt: s.now()}
	s.openRequests++
	s.notes <- note{at: attempt.mirrored.forwardedAt, request: attempt.mirrored}
	if len(s.notes) > cap(s.notes)/4 { // otherwise the next tick is soon enough
		s.wake()
	}
}

// wake starts the next turn at once.
func (s *requestMirror) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// noteEnded notes what a request's client was answered. It runs on the loop.
func (s *requestMirror) noteEnded(client *link.ClientConn, request *gatekeeper.Request, ending link.RequestEnding) {
	attempt, ok := client.UserData.(*clientAttempt)
	if !ok || attempt.mirrored == nil || attempt.id != request.Name {
		return
	}
	recorded := attempt.mirrored
	attempt.mirrored = nil
	s.openRequests--
	if recorded.notSelected.Load() {
		return
	}
	note := note{at: s.now(), request: recorded, isEnd: true}
	size := int64(len(recorded.payload.Head) + len(recorded.payload.Body))
	switch {
	case ending.ClientLeft:
		note.cause = mirror.NoAnswer
	case ending.Streamed || recorded.payload.Upload != nil || int64(len(recorded.payload.Body)) > s.maxBodyBytes.Load():
		note.cause = mirror.BodyTooLarge
	case promisesNotRun(ending.Status) && !request.MayHaveRun:
		note.neverRan = true
	case promisesNotRun(ending.Status), ending.Status == http.StatusBadGateway && (request.LastError == nil || request.LastError.Status != ending.Status):
		note.cause = mirror.NoAnswer
	case s.overloaded:
		note.cause = mirror.Overloaded
	case s.queuedBytes.Load()+size > s.maxQueuedBytes:
		note.cause = mirror.GatekeeperFull
		s.counts.noRoom.Add(1)
	default:
		note.answer = mirror.LiveResponse{Status: ending.Status, DurationMs: note.at - recorded.forwardedAt, BodyHash: xxh3.Hash(ending.Body)}
		note.queuedBytes = size
		s.queuedBytes.Add(size)
	}
	s.notes <- note
}

// tick computes whether this gatekeeper is overloaded. If so, mirroring stops before anything else does. It runs on
// the loop.
func (s *requestMirror) tick() {
	s.noteUnmirrored()
	s.flush()
	now := s.now()
	span := now - s.lastTick
	if span < 1 || s.rule == nil {
		return
	}
	s.lastTick = now
	bound, held := 0.0, 0
	for _, pool := range s.p.poolList {
		poolBound, _, poolHeld := pool.core.Concurrency()
		bound, held = bound+poolBound, held+poolHeld
	}
	s.queuePressure += (1 - math.Exp(-span/mirrorPressureSpanMs)) * (float64(held)/max(bound, minPressureBound)/overloadQueueRatio - s.queuePressure)
	pressure := s.queuePressure
	if share := s.p.settings.ResourceLimits.CPUCores; share > 0 {
		cpuUsed := processorTime()
		s.cpuShare += (1 - math.Exp(-span/mirrorPressureSpanMs)) * (float64(cpuUsed-s.cpuUsed)/1e6/span/share - s.cpuShare)
		s.cpuUsed = cpuUsed
		pressure = max(pressure, s.cpuShare/overloadCPUShare)
	}
	if s.p.shedder != nil {
		pressure = max(pressure, s.p.shedder.pressure)
	}
	pressure = max(pressure, 2*float64(len(s.notes))/float64(cap(s.notes)), float64(s.queuedBytes.Load())/float64(s.maxQueuedBytes))
	if pressure >= resumePressure {
		s.lastHighPressure = now
	}
	before := s.overloaded
	if s.overloaded = pressure >= 1 || before && now-s.lastHighPressure < resumeDelayMs; s.overloaded == before {
		return
	}
	if s.overloaded {
		s.counts.pressed.Add(1)
	}
	s.p.log.Info().Bool("pressed", s.overloaded).Float64("pressure", pressure).Msg("mirroring paused or resumed")
	overloaded := s.overloaded
	s.tell(func(engine *mirror.Engine) { engine.SetOverloaded(now, overloaded) })
}

// runMirror processes notes, collects flows and delivers them until the context ends.
func (p *Proxy) runMirror(ctx context.Context) {
	m := p.mirror
	if m == nil {
		return
	}
	tick := time.NewTicker(mirrorInterval)
	defer tick.Stop()
	for loggedAt := time.Now(); ctx.Err() == nil; {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-m.wakeUp:
		case <-tick.C:
			due = true
		}
		rest := m.turn(ctx, due)
		if time.Since(loggedAt) >= countersLogInterval {
			loggedAt = time.Now()
			m.withEngine(m.logCounters)
		}
		if rest {
			pause(ctx, cpuPause)
		}
	}
}

// turn starts the deliveries that are due and, if due is set, asks the other gatekeepers for their parts of the flows
// that are collected here. It tells whether it has used up its processor time.
func (s *requestMirror) turn(ctx context.Context, due bool) (rest bool) {
	var requests []mirror.FetchRequest
	s.withEngine(func() {
		if due {
			now := s.now()
			for _, request := range s.engine.DueFetches(now) {
				if request.To.InternalAddress == s.p.settings.InnerAddress(0) && request.To.Incarnation == s.p.incarnation {
					s.engine.HandleResponse(now, request, s.engine.ServeFetch(now, request))
				} else {
					requests = append(requests, request)
				}
			}
			s.logStatus()
		}
		s.deliver(ctx)
		rest = s.cpuBudget < 0
	})
	for i := range requests {
		go s.collect(ctx, requests[i])
	}
	return rest
}

// withEngine calls f with the engine, after all notes that were queued before, and accounts for the processor time.
// Notes are taken nowhere else: if the end of a request came before its begin, the ticket would stay open and no flow
// would ever be complete.
func (s *requestMirror) withEngine(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Only the thread's own processor time counts, not time during which other threads had the processor.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began, now := threadTime(), time.Now()
	s.cpuBudget = min(s.cpuBudget+time.Duration(float64(now.Sub(s.cpuCountedAt))*mirrorCPUShare), maxCPUBurst)
	s.cpuCountedAt = now
	for n := len(s.notes); n > 0; n-- {
		select {
		case next := <-s.notes:
			s.process(&next)
		default: // another goroutine has taken them
			n = 1
		}
	}
	if s.notesLost.Swap(false) {
		s.engine.ReportGap(s.now())
	}
	f()
	spent := threadTime() - began
	s.cpuBudget = max(s.cpuBudget-spent, 2*maxCPUDebt)
	s.counts.work.Add(int64(spent))
}

// threadTime returns the processor time that this thread has used.
func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// process passes a note to the engine. The lock is held.
func (s *requestMirror) process(note *note) {
	switch {
	case note.call != nil:
		note.call(s.engine)
		s.maxBodyBytes.Store(int64(s.engine.MaxBodyBytes()))
		s.logStatus()
	case !note.isEnd:
		request := note.request
		if request.ticket = s.engine.StartRequest(note.at, request.attributes()); request.ticket == 0 {
			request.notSelected.Store(true)
		}
	case note.request.ticket == 0:
	case note.neverRan:
		s.engine.DiscardTicket(note.at, note.request.ticket)
	case note.cause != mirror.NotBroken:
		s.engine.DropRequest(note.at, note.request.ticket, note.cause)
	default:
		s.engine.FinishRequest(note.at, note.request.ticket, note.request.request(), note.answer)
	}
	if note.queuedBytes > 0 {
		s.queuedBytes.Add(-note.queuedBytes)
	}
}

// attributes returns what the engine selects requests by.
func (c *mirrored) attributes() *mirror.RequestInfo {
	sight := &mirror.RequestInfo{Route: c.route.Name, Destination: c.destination, AllowedRegions: c.route.HomeRegions, Header: c.header}
	if c.sender != nil {
		sight.Tenant = c.sender.Name
		if sight.AllowedRegions = commonRegions(c.route.HomeRegions, c.sender.HomeRegions); sight.AllowedRegions == nil && len(c.route.HomeRegions)+len(c.sender.HomeRegions) > 0 {
			sight.AllowedRegions = []string{"\x00"} // no region, and so the request was not forwarded either
		}
	}
	return sight
}

// commonRegions returns the regions that both lists allow. An empty list allows all.
func commonRegions(a, b []string) (common []string) {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	for _, x := range a {
		for _, y := range b {
			if x == y {
				common = append(common, x)
			}
		}
	}
	return common
}

// eachHeader calls f for each header of the payload, and returns the request line.
func (c *mirrored) eachHeader(f func(name, value []byte)) (first []byte) {
	first, rest, _ := bytes.Cut(c.payload.Head, []byte("\r\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			f(name, value)
		}
	}
	return first
}

// header returns the value of a header that the request has exactly once.
func (c *mirrored) header(name string) (value []byte, ok bool) {
	count := 0
	c.eachHeader(func(field, fieldValue []byte) {
		if http1.EqualFold(field, name) {
			value = fieldValue
			count++
		}
	})
	return value, count == 1
}

// request returns the request, by reference to the payload.
func (c *mirrored) request() *mirror.Request {
	request := &mirror.Request{Body: c.payload.Body}
	first := c.eachHeader(func(name, value []byte) {
		request.Fields = append(request.Fields, mirror.HeaderField{Name: name, Value: value})
	})
	var rest []byte
	request.Method, rest, _ = bytes.Cut(first, []byte{' '})
	request.Target, _, _ = bytes.Cut(rest, []byte{' '})
	return request
}

// logStatus logs the status if it has changed. The lock is held.
func (s *requestMirror) logStatus() {
	status := s.engine.Status(s.now())
	if status.RuleNumber != s.loggedStatus.RuleNumber || status.Active != s.loggedStatus.Active || status.InactiveCause != s.loggedStatus.InactiveCause {
		s.p.log.Info().Uint64("order", status.RuleNumber).Bool("on", status.Active).Str("why", status.InactiveCause.String()).Msg("mirroring")
	}
	s.loggedStatus = status
}

// collect asks another gatekeeper for its parts of the flows that are collected here.
func (s *requestMirror) collect(ctx context.Context, request mirror.FetchRequest) {
	s.mu.Lock()
	peer := s.peers[request.To.InternalAddress]
	if peer == nil {
		peer = rpc.NewPeer(request.To.InternalAddress)
		s.peers[request.To.InternalAddress] = peer
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	answer, err := rpc.Call[api.CollectRequest, api.CollectResponse](ctx, peer, api.CollectRequest{Request: request})
	s.withEngine(func() {
		if err != nil {
			peer.Close() // the next request uses another connection
			if s.peers[request.To.InternalAddress] == peer {
				delete(s.peers, request.To.InternalAddress)
			}
			s.engine.FetchFailed(s.now(), request)
			return
		}
		s.engine.HandleResponse(s.now(), request, answer.Answer)
	})
	s.wake()
}

// handleCollect answers a gatekeeper that collects flows. It answers later if mirroring has used more than its
// processor time.
func (p *Proxy) handleCollect(_ context.Context, request api.CollectRequest) (answer api.CollectResponse, err error) {
	m := p.mirror
	if m == nil {
		return answer, rpc.Errorf(rpc.Unavailable, "it copies nothing")
	}
	m.withEngine(func() {
		if m.cpuBudget < maxCPUDebt {
			err = rpc.Errorf(rpc.Busy, "it has worked on copies for long enough")
			return
		}
		answer.Answer = m.engine.ServeFetch(m.now(), request.Request)
	})
	return answer, err
}

// mirrorStatus answers with the state of mirroring.
func (p *Proxy) mirrorStatus(context.Context, api.MirrorStatusRequest) (answer api.MirrorStatusResponse, err error) {
	m := p.mirror
	if m == nil {
		return api.MirrorStatusResponse{Disabled: true}, nil
	}
	m.withEngine(func() {
		answer = api.MirrorStatusResponse{Status: m.engine.Status(m.now()), Counters: m.counters()}
	})
	return answer, nil
}

// counters returns this gatekeeper's own counters.
func (s *requestMirror) counters() api.MirrorCounters {
	counts := &s.counts
	return api.MirrorCounters{QueueFull: counts.noRoom.Load(), DroppedUnrecorded: counts.lost.Load(), Refused: counts.refused.Load(), Sent: counts.sent.Load(), TimedOut: counts.hung.Load(),
		Suspended: counts.pressed.Load(), WorkMS: uint64(counts.work.Load() / 1e6)}
}

// logCounters writes the counters to the log. The lock is held.
func (s *requestMirror) logCounters() {
	status := s.engine.Status(s.now())
	if status.RuleNumber == 0 {
		return
	}
	byCause := map[string]uint64{}
	for cause, count := range status.Counts.BrokenByCause {
		if count > 0 {
			byCause[mirror.Cause(cause).String()] = count
		}
	}
	counts := status.Counts
	s.p.log.Info().Uint64("order", status.RuleNumber).Bool("on", status.Active).Uint64("chosen", counts.Selected).Uint64("whole", counts.Complete).Uint64("broken", counts.Broken).
		Interface("by", byCause).Uint64("delivered", counts.Delivered).Uint64("held", counts.Withheld).Int("open", status.OpenFlows).Int("bytes", status.UsedBytes).
		Interface("own", s.counters()).Msg("mirroring counters")
}

// statusLines returns its lines of the status command.
func (s *requestMirror) statusLines() (lines []string) {
	add := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	var status mirror.Status
	s.withEngine(func() { status = s.engine.Status(s.now()) })
	counters, counts := s.counters(), status.Counts
	add("copies order %d on %t why %s, %d journeys open, %d pieces not fetched, %d of %d bytes, settling %t, all told up to %.0f ms ago, members as of %.0f ms ago",
		status.RuleNumber, status.Active, status.InactiveCause, status.OpenFlows, status.QueuedItems, status.UsedBytes, status.MaxBytes, status.Settling, status.CoverageAgeMs, status.MembersAgeMs)
	add("copies chosen %d whole %d broken %d delivered %d held %d; sent %d hung %d refused %d, no room %d lost %d, worked %d ms", counts.Selected, counts.Complete,
		counts.Broken, counts.Delivered, counts.Withheld, counters.Sent, counters.TimedOut, counters.Refused, counters.QueueFull, counters.DroppedUnrecorded, counters.WorkMS)
	for cause, count := range counts.BrokenByCause {
		if count > 0 {
			add("copies broken by %s %d", mirror.Cause(cause), count)
		}
	}
	return lines
}

// handOver lets other gatekeepers fetch what was recorded, once all clients were answered. Only the end of the
// process waits for it.
func (s *requestMirror) handOver(limit time.Duration) {
	if s == nil {
		return
	}
	s.p.runOnLoop(func() { s.closed = true })
	began := time.Now()
	s.withEngine(func() { s.engine.Close(s.now()) })
	for emptied := false; !emptied && time.Since(began) < limit; time.Sleep(drainPollInterval) {
		s.withEngine(func() { emptied = s.engine.IsDrained(s.now()) })
		if emptied {
			break
		}
	}
}
