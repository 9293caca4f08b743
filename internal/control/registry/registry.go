// Package registry implements the registry, the control server of the system. Gatekeepers keep their
// sessions here and receive the configuration, the endpoints and the other members with their
// heartbeats. Registries exchange sessions, elect the holder of each duty (reading the platform's
// worker list, allocating quotas, setting the shedding level) and serve the HTTP control API and
// the directory.
//
// One mutex protects all state. Each periodic loop brings one kind of outside information up to
// date: what the configuration store has committed, what the other registries know, what the
// platform lists, and which duties are vacant.
package registry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/election"
	"foxwood/internal/control/membership"
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/control/shedding"
	"foxwood/internal/dataplane/slowstart"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// Names of the duties.
const (
	dutyEndpoints = "roster" // reading the platform's worker list
	dutyQuota     = "slices" // allocating quotas
)

// Programs on a core machine, as indexes into its internal ports.
const (
	registryPort = 0
	storePort    = 1
)

const (
	sessionTimeoutMs     = 1500.0 // without a heartbeat
	dutyLeaseMs          = 700.0
	allocationLeaseMs    = 1300.0 // a gatekeeper asks every 500 ms; the lease covers one lost request
	staleAfterMs         = 1000.0 // since the last answer of the tail
	maxWaitMs            = 700.0
	startupRetryInterval = 25 * time.Millisecond
	startupRetryTimeout  = 2 * time.Second
	startupPollInterval  = 150 * time.Millisecond
	memberListDelayMs    = 300.0 // after the start: earlier, a registry may not know all members yet
	confirmInterval      = 200 * time.Millisecond
	gossipInterval       = 300 * time.Millisecond
	observerTimeoutMs    = 3000.0 // observers are registries outside the core
	fullReportIntervalMs = 3000.0 // between two full reports with the same content
	electionInterval     = 50 * time.Millisecond
	pollInterval         = 400 * time.Millisecond
	callTimeout          = 900 * time.Millisecond
	countersInterval     = 10 * time.Second
)

// Registry is one registry.
type Registry struct {
	settings *bootconfig.Settings
	log      zerolog.Logger
	start    time.Time
	clock    func() float64 // replaces the monotonic clock if set
	store    *rpc.Peer

	mu                  sync.Mutex
	updateSignal        chan struct{} // closed, and replaced, whenever there is something new for heartbeats
	sessions            *membership.Registry
	election            *election.Machine
	endpoints           *endpointList
	allocator           *quota.Allocator
	slowStart           *slowstart.Coordinator
	peers               map[string]*rpc.Peer // the other registries, by address
	peerZones           map[string]string    // zones of the other registries
	seeds               []string
	otherRegistries     []string           // the other registries that gatekeepers may use
	observers           map[string]float64 // when registries outside the core last sent a report
	zoneRegions         map[string]string  // zones of the settings, with their regions
	committed           chain.State
	packedConfiguration []byte // the committed configuration in compressed form
	configuration       *routeconfig.Config
	view                chain.View
	tailConfirmedAt     float64 // start of the last request that the tail answered
	tailUnreachable     bool    // the tail has not answered for staleAfterMs
	core                []string
	coreMachines        []api.Registry // all core machines known, and a hash of the list
	coreMachinesHash    uint64
	storedElectorate    []string // the electorate on the disk, and its epoch
	storedEpoch         uint64
	electorateWrites    electorateWrites
	startLog            startLog
	evacuationVersion   uint64
	evacuatedZones      []string
	memberListVersion   uint64
	peerLists           map[peerListKey]*api.MemberView // for the member list of version peerListsVersion
	peerListsVersion    uint64
	memberCount         int
	incarnation         uint64
	reported            map[string]fullReport // by address of the registry that received it
	reporting           map[string]bool       // registries that have not answered the last report yet
	gossipSoon          chan struct{}         // asks for a gossip round at once, for changes of workers
	counters            counters
	withdrawals         withdrawals
	polledAt            float64
	pollFailing         bool // the platform's list has not been read for long, and this was logged
	stopped             bool

	storeTimeout time.Duration    // for calls to this machine's configuration store
	shedding     *shedding.Holder // nil if load shedding is off

	probeRate, probeBudget float64 // probes per second, and how many may be sent now
}

// fullReport describes the last full report of sessions that another registry received.
type fullReport struct {
	incarnation uint64 // of the receiving process
	contentHash uint64
	sentAt      float64
}

// counters counts events since the start. The tags are the names in the log.
type counters struct {
	Heartbeats           uint64 `json:"Signs"`
	Resolves             uint64
	ConfigurationsStored uint64 `json:"Puts"`
	InvalidRequests      uint64 `json:"Refused"`
	Conflicts            uint64
	UnavailableRequests  uint64 `json:"Failed"`
	PlatformReads        uint64 `json:"Polls"`
	PlatformReadsFailed  uint64 `json:"PollsFailed"`
	TailReads            uint64 `json:"Confirms"`
	TailReadsFailed      uint64 `json:"ConfirmsFailed"`
	AllocationRequests   uint64 `json:"Draws"`
	Probes               uint64
	DutiesWon            uint64
	DutiesLost           uint64
	AllocationNanos      uint64 `json:"AllotNanos"`
}

// New returns a registry. Besides its usual duties it also stands for the duties named.
func New(settings *bootconfig.Settings, log zerolog.Logger, duties ...string) *Registry {
	b := &Registry{settings: settings, log: log, start: time.Now(), store: rpc.NewPeer(settings.InnerAddress(storePort)),
		updateSignal: make(chan struct{}), endpoints: newEndpointList(), peers: map[string]*rpc.Peer{}, peerZones: map[string]string{}, reported: map[string]fullReport{}, reporting: map[string]bool{},
		gossipSoon: make(chan struct{}, 1), incarnation: rand.Uint64(),
		observers: map[string]float64{}}
	self := settings.InnerAddress(registryPort)
	b.sessions = membership.New(self, rand.Uint64(), b.now(), sessionTimeoutMs)
	electorate, epoch, firstStart := readElectorate(settings.DataDir)
	if firstStart = firstStart && settings.FirstRun; firstStart && settings.DataDir != "" {
		// The file must exist before the first vote is granted: after a restart this process must
		// be able to tell that it may have voted.
		firstStart = writeElectorate(settings.DataDir, nil, 0) == nil
	}
	b.storedElectorate, b.storedEpoch = electorate, epoch
	b.election = election.New(self, rand.Uint64(), b.now(), dutyLeaseMs, firstStart, append([]string{dutyEndpoints, dutyQuota}, duties...)...)
	b.election.RestoreElectorate(electorate, epoch)
	b.allocator = quota.New(allocationLeaseMs, quota.BoundsOf(&settings.Bounds))
	b.allocator.UseOwners = true
	b.slowStart = slowstart.NewCoordinator(allocationLeaseMs)
	b.storeTimeout = callTimeout
	b.electorateWrites.write = writeElectorate
	b.startLog = startLog{write: writeStartLog, stored: readStartLog(settings.DataDir)}
	b.sessions.RestoreStarts(b.now(), b.startLog.stored)
	b.setSeeds(settings)
	return b
}

// now returns the milliseconds of the monotonic clock since the start.
func (b *Registry) now() float64 {
	if b.clock != nil {
		return b.clock()
	}
	return float64(time.Since(b.start)) / 1e6
}

// Reload applies changed settings.
func (b *Registry) Reload(settings *bootconfig.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setSeeds(settings)
}

// setSeeds applies the parts of the settings that may change while the process runs.
func (b *Registry) setSeeds(settings *bootconfig.Settings) {
	b.seeds, b.zoneRegions = settings.SeedAddresses(registryPort), settings.Zones
	b.updateRegistries()
}

// updateRegistries derives the core, the registries that gatekeepers may use and the receivers of
// gossip from the current view and the seeds. A registry whose machine waits for a seat in the core
// receives sessions for as long as it sends reports, because outside callers may ask it for
// addresses.
func (b *Registry) updateRegistries() {
	self := b.settings.InnerAddress(registryPort)
	var core []string
	for _, id := range b.view.Core {
		if host, _, err := net.SplitHostPort(id.Addr); err == nil {
			core = append(core, b.settings.InnerAddressOf(host, registryPort))
		}
	}
	slices.Sort(core)
	core = slices.Compact(core)
	known := slices.Clone(core)
	if b.view.Number == 0 || b.tailUnreachable { // the core may be what the seeds name, or may have moved there
		known = append(known, b.seeds...)
	}
	slices.Sort(known)
	b.otherRegistries = slices.DeleteFunc(slices.Compact(known), func(addr string) bool { return addr == self })
	gossipPeers := slices.Clone(b.otherRegistries)
	for addr, at := range b.observers {
		if b.now()-at > observerTimeoutMs || slices.Contains(b.otherRegistries, addr) {
			delete(b.observers, addr)
		} else {
			gossipPeers = append(gossipPeers, addr)
		}
	}
	for _, addr := range gossipPeers {
		if b.peers[addr] == nil {
			b.peers[addr] = rpc.NewPeer(addr)
		}
	}
	for addr, p := range b.peers {
		if !slices.Contains(gossipPeers, addr) {
			p.Close()
			delete(b.peers, addr)
		}
	}
	b.core = core
	b.updateCoreMachines()
}

// notifyWaiters wakes the heartbeats that wait for updates. The lock is held.
func (b *Registry) notifyWaiters() {
	close(b.updateSignal)
	b.updateSignal = make(chan struct{})
}

// Serve runs the registry until the context ends.
func (b *Registry) Serve(ctx context.Context) error {
	listener, err := rpc.Listen(b.settings.InnerAddress(registryPort))
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	rpc.Handle(server, b.handleHeartbeat)
	rpc.Handle(server, b.handleGossip)
	rpc.Handle(server, b.handleEndpointsRequest)
	rpc.Handle(server, b.handleQuotaRequest)
	rpc.Handle(server, b.handleElectionMessage)
	rpc.Handle(server, b.handleStatus)
	b.serveSheddingLevel(ctx, server)
	if b.probeRate > 0 {
		go runPeriodically(ctx, probeInterval, nil, b.probeWorkers)
	}
	go func() { _ = server.Serve(listener) }()
	servers, err := b.listen()
	if err != nil {
		return err
	}
	for interval, task := range map[time.Duration]func(context.Context){
		confirmInterval: b.confirmWithTail, electionInterval: b.stepElection, pollInterval: b.pollPlatform, countersInterval: b.logCounters,
	} {
		go runPeriodically(ctx, interval, nil, task)
	}
	go runPeriodically(ctx, gossipInterval, b.gossipSoon, b.gossip)
	go b.fetchAtStartup(ctx)
	b.log.Info().Str("inner", b.settings.InnerAddress(registryPort)).Bool("first", b.settings.FirstRun).Msg("serving")
	<-ctx.Done()
	b.shutDown()
	for _, server := range servers {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = server.Shutdown(shutdownCtx)
		cancel()
	}
	server.Close()
	return nil
}

// fetchAtStartup fetches the committed state and the endpoints as soon as they are available. The
// periodic loops alone would delay a start, because the store on this machine is starting too.
func (b *Registry) fetchAtStartup(ctx context.Context) {
	lastPoll := time.Time{}
	for startedAt := time.Now(); time.Since(startedAt) < startupRetryTimeout && ctx.Err() == nil; time.Sleep(startupRetryInterval) {
		b.mu.Lock()
		hasState, hasEndpoints := b.committed.Last.Seq > 0, b.endpoints.version > 0
		b.mu.Unlock()
		if !hasState {
			b.confirmWithTail(ctx)
		}
		if !hasEndpoints && b.now() > startupPollDelayMs && time.Since(lastPoll) > startupPollInterval {
			lastPoll = time.Now()
			b.pollPlatform(ctx)
		}
		if hasState && hasEndpoints {
			return
		}
	}
}

// runPeriodically runs a task immediately, then at each interval and whenever wake receives.
func runPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, task func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		task(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

// confirmWithTail asks the tail, through the configuration store on this machine, for the committed
// state.
func (b *Registry) confirmWithTail(ctx context.Context) {
	b.mu.Lock()
	have, view, askedAt := b.committed.Last, b.view.Number, b.now()
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, b.storeTimeout)
	defer cancel()
	answer, err := rpc.Call[api.CommittedStateRequest, api.CommittedStateResponse](ctx, b.store, api.CommittedStateRequest{LastKnown: have, HeldView: view, AllowStale: have.Seq == 0})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.TailReads++
	if unreachable := err != nil && b.now()-b.tailConfirmedAt > staleAfterMs; unreachable != b.tailUnreachable {
		b.tailUnreachable = unreachable
		b.updateRegistries()
	}
	if err != nil {
		b.counters.TailReadsFailed++
		return
	}
	if answer.Stale { // read from the disk and not confirmed by the tail: used only if nothing else is known
		if b.committed.Last.Seq == 0 && answer.State != nil && len(answer.State.Body) > 0 {
			b.log.Info().Msg("using the state recalled from this machine's disk until the chain answers")
			b.applyState(*answer.State)
		}
		return
	}
	if answer.View != nil && answer.View.Number > b.view.Number {
		b.view = *answer.View
		b.log.Info().Uint64("view", b.view.Number).Int("chain", len(b.view.Chain)).Int("core", len(b.view.Core)).Msg("view changed")
		b.updateRegistries()
	}
	if answer.State != nil && isNewer(answer.State.Last, b.committed.Last) {
		b.applyState(*answer.State)
	}
	if !isNewer(answer.Last, b.committed.Last) {
		b.tailConfirmedAt = max(b.tailConfirmedAt, askedAt)
	}
	if (answer.View == nil && view == b.view.Number || answer.View != nil && answer.View.Number == b.view.Number) && len(b.core) > 0 {
		b.election.SetElectorate(b.now(), askedAt, b.core, b.view.Epoch, b.view.Removed)
	}
}

// isNewer reports whether position a is after the other one in the chain's log.
func isNewer(a, other chain.LogPosition) bool { return a.Seq > other.Seq }

// applyState puts a newer committed state into force. The lock is held.
func (b *Registry) applyState(state chain.State) {
	previousEdition, previousOrder := b.committed.Edition, b.committed.Orders[OrderMirroring]
	b.committed = state
	b.logMirrorOrder(previousOrder)
	if state.Edition != previousEdition && len(state.Body) > 0 {
		b.packedConfiguration = api.Deflate(state.Body)
		configuration, err := routeconfig.Parse(state.Body)
		if err != nil { // it was validated before it was committed
			b.log.Error().Err(err).Uint64("edition", state.Edition).Msg("committed configuration cannot be parsed")
		} else {
			b.configuration = configuration
			b.log.Info().Str("edition", routeconfig.FormatVersion(state.Edition)).Int("routes", len(configuration.Routes)).Msg("configuration in force")
		}
	}
	var zones []string
	for zone := range state.Evacuated {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	b.updateQuotaLimits()
	if !slices.Equal(zones, b.evacuatedZones) || b.evacuationVersion == 0 {
		b.evacuatedZones = zones
		b.log.Info().Strs("zones", zones).Msg("evacuated zones changed")
	}
	b.evacuationVersion = state.Last.Seq
	b.notifyWaiters()
}

// gossip exchanges sessions with the other registries. A registry that does not answer delays no
// other: it gets no new report until it has answered or its call has failed.
func (b *Registry) gossip(ctx context.Context) {
	b.mu.Lock()
	now := b.now()
	contentHash := b.sessions.ContentHash(now)
	brief, full := sync.OnceValue(func() membership.Report { return b.sessions.BriefReport(now) }), sync.OnceValue(func() membership.Report { return b.sessions.FullReport(now) })
	type outgoing struct {
		to   *rpc.Peer
		last fullReport
		page membership.Report
	}
	var reports []outgoing
	for addr, p := range b.peers {
		if b.reporting[addr] {
			continue
		}
		b.reporting[addr] = true
		report := outgoing{to: p, last: b.reported[addr]}
		if report.last.contentHash == contentHash && now-report.last.sentAt < fullReportIntervalMs {
			report.page = brief()
		} else {
			report.page = full()
		}
		reports = append(reports, report)
	}
	message := api.Gossip{From: b.settings.InnerAddress(registryPort), Zone: b.settings.Zone, EndpointsVersion: b.endpoints.version}
	message.Withdrawn, _ = b.withdrawals.snapshot()
	b.mu.Unlock()
	var calls sync.WaitGroup
	for _, report := range reports {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			message, peer, previous := message, report.to, report.last
			message.Page = report.page
			answer, err := rpc.Call[api.Gossip, api.GossipResponse](ctx, peer, message)
			b.mu.Lock()
			delete(b.reporting, peer.Addr())
			switch {
			case err != nil || answer.Incarnation != previous.incarnation: // it did not receive the report, or has restarted since
				b.reported[peer.Addr()] = fullReport{incarnation: answer.Incarnation}
			case message.Page.Renewals == nil:
				b.reported[peer.Addr()] = fullReport{incarnation: answer.Incarnation, contentHash: contentHash, sentAt: now}
			}
			b.mu.Unlock()
			if err != nil {
				return
			}
			b.fetchEndpoints(ctx, peer, answer.EndpointsVersion)
		})
	}
	waitWithTimeout(&calls, gossipInterval)
	b.mu.Lock()
	b.updateMembers()
	if len(b.observers) > 0 {
		b.updateRegistries()
	}
	b.mu.Unlock()
}

// waitWithTimeout waits until the group is done, but no longer than the timeout.
func waitWithTimeout(group *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// updateMembers notifies all parts of the registry of members that joined or left. The lock is
// held.
func (b *Registry) updateMembers() {
	now := b.now()
	list := b.sessions.Members(now)
	if list.Version != b.memberListVersion {
		b.memberListVersion = list.Version
		ids := make([]string, 0, len(list.Members))
		for i := range list.Members {
			ids = append(ids, memberID(list.Members[i].Node, list.Members[i].Incarnation))
		}
		b.allocator.SetMembers(now, ids)
		if n := len(list.Members); n != b.memberCount {
			b.memberCount = n
			b.log.Info().Int("members", n).Msg("member count changed")
		}
		b.notifyWaiters()
	}
}

// receiveReport merges another registry's report of sessions.
func (b *Registry) receiveReport(from, zone string, report membership.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peerZones[from] != zone {
		b.peerZones[from] = zone
		b.updateCoreMachines()
	}
	b.sessions.Receive(b.now(), report)
	b.updateMembers()
}

// fetchEndpoints requests an endpoint list that is newer than the one held.
func (b *Registry) fetchEndpoints(ctx context.Context, peer *rpc.Peer, version uint64) {
	b.mu.Lock()
	heldVersion := b.endpoints.version
	b.mu.Unlock()
	if version <= heldVersion {
		return
	}
	newer, err := rpc.Call[api.EndpointListRequest, api.EndpointList](ctx, peer, api.EndpointListRequest{HeldVersion: heldVersion})
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoints.merge(b.now(), &newer) {
		b.withdrawals.dropSuperseded(b.endpoints)
		b.notifyWaiters()
	}
}

// handleGossip handles another registry's report. Registries outside the core become observers.
func (b *Registry) handleGossip(ctx context.Context, message api.Gossip) (api.GossipResponse, error) {
	b.receiveReport(message.From, message.Zone, message.Page)
	b.mu.Lock()
	if self := b.settings.InnerAddress(registryPort); message.From != self && !slices.Contains(b.otherRegistries, message.From) {
		_, known := b.observers[message.From]
		if b.observers[message.From] = b.now(); !known {
			b.updateRegistries()
		}
	}
	peer := b.peers[message.From]
	answer := api.GossipResponse{EndpointsVersion: b.endpoints.version, Incarnation: b.incarnation}
	b.withdrawals.newestVersion = max(b.withdrawals.newestVersion, message.EndpointsVersion)
	if b.withdrawals.merge(b.endpoints, message.Withdrawn) {
		b.notifyWaiters()
	}
	b.mu.Unlock()
	if peer != nil && message.EndpointsVersion > answer.EndpointsVersion {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout) // a frozen peer would block its callers
			defer cancel()
			b.fetchEndpoints(ctx, peer, message.EndpointsVersion)
		}()
	}
	return answer, nil
}

// handleEndpointsRequest returns the changes of the endpoints since the version that the caller
// holds.
func (b *Registry) handleEndpointsRequest(_ context.Context, request api.EndpointListRequest) (api.EndpointList, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes := b.endpoints.since(b.now(), request.HeldVersion)
	if changes == nil {
		return api.EndpointList{}, nil
	}
	return *changes, nil
}

// shutDown releases the duties and tells the other registries, before the process ends.
func (b *Registry) shutDown() {
	b.mu.Lock()
	b.stopped = true
	output := b.election.Step(b.now(), election.Event{Kind: election.Shutdown})
	b.mu.Unlock()
	b.sendElectionMessages(output)
}

// logCounters logs the counters and the current sizes.
func (b *Registry) logCounters(context.Context) {
	b.mu.Lock()
	counters, members, workers, tailAge := b.counters, len(b.sessions.Members(b.now()).Members), len(b.endpoints.workers), b.now()-b.tailConfirmedAt
	b.mu.Unlock()
	b.log.Info().Interface("counts", counters).Interface("sent", rpc.SentCounts()).Int("members", members).Int("workers", workers).
		Float64("tailAskedMs", tailAge).Msg("counters")
}
