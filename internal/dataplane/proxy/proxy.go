// Package proxy is the data plane of foxwood: the proxy process, which is called a gatekeeper. It accepts
// clients' requests and forwards them to workers.
//
// A gatekeeper has a pool of workers for each destination (service). It keeps a session with one of the registries,
// the processes of the control plane, and receives from it the configuration, the lists of workers and members, and
// its share of the quotas. One event loop owns nearly all state; functions that have to run on it say so. The session
// and other calls run on goroutines of their own and pass what they receive to the loop.
package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxwood/gatekeeper"
	"foxwood/internal/bootconfig"
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/dataplane/slowstart"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// Intervals, time limits and reserves of the proxy.
const (
	sweepInterval         = 250 * time.Millisecond  // between two checks for idle and overdue connections
	countersLogInterval   = 10 * time.Second        // between two log lines with the counters
	heartbeatWaitMs       = 500.0                   // milliseconds that a registry may hold a heartbeat back until it has news
	allocationInterval    = 500 * time.Millisecond  // between two requests for quota slices
	bucketCheckInterval   = 120 * time.Millisecond  // between two checks whether a bucket has run low
	heartbeatTimeout      = 1100 * time.Millisecond // for a heartbeat, including the time that the registry holds it back
	keyLeaseMarginMs      = 300.0                   // milliseconds before its end at which the lease on keys counts as expired
	drainAcceptTime       = 2200 * time.Millisecond // clients use an answer of the directory for two seconds
	drainReserve          = 700 * time.Millisecond  // of the grace period, for what remains to be done after the drain
	drainPollInterval     = 50 * time.Millisecond   // between two looks at what is still open
	clockStartMs          = 1e9                     // milliseconds at which the clock of a new process starts
	minimumValidity       = policy.Micros(9 * 60e6) // the allocator reserves minimums for ten minutes
	reservedDescriptors   = 200                     // file descriptors, for files outside the disk folder
	registryPause         = 3 * time.Second         // during which a registry that failed is avoided
	failedRetryDelay      = 30 * time.Millisecond   // after a heartbeat that failed
	staleRetryDelay       = 70 * time.Millisecond   // after a heartbeat that was answered by a registry out of touch with the tail of the chain
	unreadableConfigDelay = 400 * time.Millisecond  // after a configuration that can't be read, since it comes again with each answer
	maxRetryDelay         = 400 * time.Millisecond  // between two heartbeats while no registry gives good answers

	promptRetries     = 5 // consecutive bad heartbeats before the delays grow
	maxDelayDoublings = 4 // of the delay after a bad heartbeat, at most
)

// worker is a worker that is listed for a destination.
type worker struct {
	api.Worker
	coldUntil   policy.Micros
	misdirected bool // its address belongs to another process now
}

// Proxy is a gatekeeper: one proxy process.
type Proxy struct {
	settings    *bootconfig.Settings
	log         zerolog.Logger
	seed        uint64 // of the random choices of the pools
	incarnation uint64 // random identity of this process; a restarted gatekeeper has another one
	clock       *gatekeeper.Clock
	loop        *link.Loop
	handler     *handler
	fanout      *fanout

	// Owned by the loop.
	clients             *link.ClientConns
	readinessClients    *link.ClientConns // connections to the readiness address
	limits              *http1.Limits
	pools               map[string]*pool
	poolList            []*pool             // of pools, by creation
	wakeAt              float64             // when the loop's alarm is due, 0 if none is set
	config              *routeconfig.Config // the configuration in force
	evacuationVersion   uint64              // version of the list of evacuated zones in force
	evacuated           map[string]bool
	evacuationRevokedAt map[string]float64 // when the evacuation of a zone was last revoked
	slowStart           slowstart.Lease    // this gatekeeper's share of the budget of cold workers
	tailStateAt         float64            // time of the newest state of the chain's tail that was received
	rosterVersion       uint64             // version of all worker lists together that was announced last
	workers             map[string]*worker
	workerListVersions  map[string]uint64 // versions of the worker lists in force, by destination
	membership          api.MemberView
	quotaBounds         quota.Bounds
	smallQuotas         map[string]*smallQuota // by name of the tenant
	owned               ownedQuotas
	ownedSince          map[string]float64      // small quotas that this gatekeeper last requested as their owner, and since when
	formerlyOwned       map[string]float64      // small quotas that it owned earlier, and since when it no longer does
	servedAsBackup      map[string]bool         // small quotas that it served in place of their owner
	tokenClients        map[string]*tokenClient // by address of an owner
	tokenTimeout        time.Duration           // for an answer from the owner of a small quota
	connectTimeoutMs    float64                 // milliseconds for a connection to a worker to be established
	registriesMark      uint64                  // of the list of registries that was received last
	memberIndex         int                     // index of this gatekeeper among all members
	memberCount         int                     // number of gatekeepers that are members
	regionBits          map[string]int          // bit of each region in a mask
	tenants             *policy.TenantBuckets
	clientPatience      []policy.RetryDetector // by route: how long its clients go on retrying
	sequence            uint64                 // sequence number of the messages to registries
	registry            *rpc.Peer              // the registry that the session is with
	retryBudget         *policy.RetryBudget
	keysValidUntil      float64 // until when keys may be accepted, if revocations are final
	hasSession          bool    // a registry that was in touch with the tail has answered
	membersKnown        bool    // the members were completely known at some time
	hasSlices           bool    // an allocator has granted slices at some time
	startBurstTaken     bool    // this incarnation has taken its start burst
	earlierBurstCounts  bool    // the start burst of the previous incarnation may still count
	draining            bool
	counts              counts
	requestStats        *requestStats
	shedder             *loadShedder     // nil if load shedding is off
	mirror              *requestMirror   // nil if traffic mirroring is off
	outliers            *outlierReporter // nil if outlier reports are not shared

	isReady atomic.Bool // the readiness that was last logged and reported

	// Owned by the session's goroutine.
	registries       []api.Registry       // all known registries
	seedAddrs        []string             // addresses of registries in the settings
	registryFailedAt map[string]time.Time // when a registry last failed
	registryPeers    map[string]*rpc.Peer
	newSeeds         chan []string // addresses from a reloaded settings file
	badHeartbeats    int           // consecutive heartbeats of the session that failed or got a stale answer

	// Of the goroutine that requests quota slices.
	allocatorPeer    *rpc.Peer
	allocateNow      chan struct{} // has the next request for slices sent at once
	lastAllocationMs float64       // how long the last answered request for slices took, in milliseconds
}

// counts are the numbers of events since the start. The log shows them under the names in the tags.
type counts struct {
	Requests       uint64
	Refused        uint64
	Failed         uint64
	OverQuota      uint64
	NoQuotaLease   uint64
	BucketEmpty    uint64
	OwnerEmpty     uint64 `json:"HomeEmpty"`
	OwnerUnreached uint64 `json:"HomeUnreached"`
	NoCommonRegion uint64 `json:"NoHome"`
	NoRoute        uint64
	NoKey          uint64
	NoKeyLease     uint64 `json:"NoLease"`
	Malformed      uint64 `json:"Bad"`
	ForeignAnswers uint64 `json:"Foreign"` // answers to another attempt than the one that was sent
	NotDelivered   uint64
	Misdirected    uint64

	Heartbeats        uint64 `json:"Signs"`
	HeartbeatsFailed  uint64 `json:"SignsFailed"`
	Moves             uint64 // of the session to another registry
	Allocations       uint64 `json:"Draws"`
	AllocationsFailed uint64 `json:"DrawsFailed"`
	TokensAsked       uint64 `json:"Asked"`
	TokensUnanswered  uint64 `json:"AskedInVain"`
}

// New returns a proxy that does not serve yet. The options EnableShedding, EnableOutlierReports and EnableMirroring are to be called before Serve.
func New(settings *bootconfig.Settings, log zerolog.Logger) (*Proxy, error) {
	p := &Proxy{settings: settings, log: log, seed: rand.Uint64(), incarnation: rand.Uint64(), clock: gatekeeper.NewMonotonicClock(clockStartMs),
		pools: map[string]*pool{}, evacuated: map[string]bool{}, evacuationRevokedAt: map[string]float64{}, workers: map[string]*worker{}, regionBits: map[string]int{},
		tenants: policy.NewTenantBuckets(), requestStats: newRequestStats(), smallQuotas: map[string]*smallQuota{}, ownedSince: map[string]float64{}, formerlyOwned: map[string]float64{}, servedAsBackup: map[string]bool{}, allocateNow: make(chan struct{}, 1), tokenClients: map[string]*tokenClient{}, registryFailedAt: map[string]time.Time{}, registryPeers: map[string]*rpc.Peer{},
		newSeeds: make(chan []string, 1), limits: &http1.Limits{}, tokenTimeout: maxTokenWait, connectTimeoutMs: connectTimeoutMs}
	bounds := settings.Bounds
	p.quotaBounds = quota.BoundsOf(&bounds)
	p.retryBudget = policy.NewRetryBudget(p.micros(), policy.RetryBudgetRule{Window: policy.Micros(bounds.RetryWindowS * 1e6), Ratio: bounds.RetryRatio, Allowance: bounds.RetrySlack})
	p.tenants.FloorDuration = minimumValidity
	p.handler = &handler{p: p}
	p.fanout, p.workerListVersions = newFanout(), map[string]uint64{}
	p.seedAddrs = settings.SeedAddresses(0)
	p.addRegistries(seedRegistries(p.seedAddrs))
	tune(settings.ResourceLimits.MemoryMB)
	budget := link.NewBudget(settings.ResourceLimits.MaxOpenFiles-reservedDescriptors, 32)
	loop, err := link.NewLoop(budget)
	if err != nil {
		return nil, err
	}
	p.loop = loop
	loop.StreamBufferBytes = settings.ResourceLimits.MemoryMB << 20 / 8
	loop.OnAlarm(p.advance)
	p.runOnLoop(func() {
		p.clients = link.NewClientConns(loop, p.clock, nil, p.handler)
		p.clients.Limits = &link.ClientLimits{HTTP: p.limits}
		p.clients.FinalResponder = p.handler
		p.readinessClients = link.NewClientConns(loop, p.clock, nil, readinessHandler{p})
		loop.Every(sweepInterval, func() {
			p.clients.Sweep()
			p.readinessClients.Sweep()
			for _, pool := range p.poolList {
				pool.fleet.Sweep()
			}
		})
		loop.Every(countersLogInterval, p.logCounters)
	})
	return p, nil
}

// tune limits the processors and the memory that the Go runtime uses.
func tune(memoryMB int) {
	runtime.GOMAXPROCS(2)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / 2)
	}
}

// runOnLoop runs f on the loop and waits until it has returned.
func (p *Proxy) runOnLoop(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// micros returns the time of the proxy's clock.
func (p *Proxy) micros() policy.Micros { return policy.Micros(p.clock.Now() * 1000) }

// wake sets the alarm of the loop to the earliest time that any pool has asked for.
func (p *Proxy) wake(at float64) {
	if p.wakeAt == 0 || at < p.wakeAt {
		p.wakeAt = at
		p.loop.SetAlarm(at - p.clock.Now())
	}
}

// advance is called when the alarm goes off.
func (p *Proxy) advance() {
	p.wakeAt = 0
	for _, pool := range p.poolList {
		pool.core.RunDueTimers()
	}
}

// Serve answers clients until the context ends, and then drains: it returns once all accepted requests are answered
// or the grace period is over.
func (p *Proxy) Serve(ctx context.Context) error {
	listener, err := link.Listen(p.settings.Addresses.Clients)
	if err != nil {
		return err
	}
	go listener.Accept(p.loop, func() *link.ClientConn { return p.clients.NewConn() })
	if readinessAddr := p.settings.Addresses.Readiness; readinessAddr != "" && readinessAddr != p.settings.Addresses.Clients {
		readinessListener, err := link.Listen(readinessAddr)
		if err != nil {
			return err
		}
		go readinessListener.Accept(p.loop, func() *link.ClientConn { return p.readinessClients.NewConn() })
	}
	rpcListener, err := rpc.Listen(p.settings.InnerAddress(0))
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	rpc.Handle(server, p.status)
	rpc.Handle(server, p.grantTokens)
	rpc.Handle(server, p.handleSubscribe)
	rpc.Handle(server, p.handleOffer)
	rpc.Handle(server, p.handleCollect)
	rpc.Handle(server, p.mirrorStatus)
	rpc.Handle(server, p.handleReport)
	rpc.Handle(server, p.handleVerdicts)
	go func() { _ = server.Serve(rpcListener) }()
	sessionCtx, endSession := context.WithCancel(context.Background())
	sessionEnded := make(chan struct{})
	go func() {
		p.runSession(sessionCtx)
		close(sessionEnded)
	}()
	go p.runAllocations(sessionCtx)
	go p.runReports(sessionCtx)
	go p.runMirror(sessionCtx)
	go p.runOffers(sessionCtx)
	p.log.Info().Str("counter", p.settings.Addresses.Clients).Msg("serving")
	<-ctx.Done()
	deadline := time.Now().Add(time.Duration(p.settings.Bounds.GraceS*float64(time.Second)) - drainReserve/2)
	p.drain(listener)
	p.mirror.handOver(min(maxHandOverTime, time.Until(deadline)))
	endSession()
	<-sessionEnded
	return p.loop.Stop()
}

// drain answers the requests that were accepted and those that still arrive while the directory and the platform
// learn to send clients elsewhere. The listener is closed before the last check for open requests: a request that
// arrived between the check and the end of the process would be lost.
func (p *Proxy) drain(listener *link.Listener) {
	began := time.Now()
	p.log.Info().Msg("draining")
	p.runOnLoop(func() {
		p.draining = true
		p.isReady.Store(false)
		p.clients.Drain()
	})
	select { // the next owners of small quotas need the tokens held here
	case p.allocateNow <- struct{}{}:
	default:
	}
	go p.announce()
	limit := time.Duration(p.settings.Bounds.GraceS*float64(time.Second)) - drainReserve
	listening := true
	for {
		time.Sleep(drainPollInterval)
		elapsed := time.Since(began)
		closeListener, closeIdle := drainState(elapsed, limit)
		if listening && closeListener {
			listening = false
			_ = listener.Close()
		}
		openCount := 0
		p.runOnLoop(func() {
			if closeIdle {
				p.clients.CloseIdle()
			}
			for _, pool := range p.poolList {
				openCount += pool.core.OpenRequests()
			}
			openCount += p.clients.OpenConns()
		})
		if !listening && openCount == 0 || elapsed > limit {
			p.log.Info().Int("left", openCount).Dur("took", elapsed).Msg("drained")
			return
		}
	}
}

// drainState tells for a drain that began elapsed ago and may take limit whether to close the listener and whether to
// close idle connections.
func drainState(elapsed, limit time.Duration) (closeListener, closeIdle bool) {
	return elapsed > min(drainAcceptTime, limit/2), elapsed > drainAcceptTime/2
}

// ready tells whether clients may be sent here. A gatekeeper that has just started knows no revocations or other
// changes before it has received the state of the chain's tail.
func (p *Proxy) ready() bool {
	return !p.draining && (p.hasSession || !p.settings.Bounds.RevocationFinal) && p.config != nil && len(p.workers) > 0
}

// keysValid tells whether keys may be accepted. If revocations are final, this needs a lease that counts from the
// time of the request to the registry. So a gatekeeper that was frozen for long accepts none.
func (p *Proxy) keysValid() bool {
	return !p.settings.Bounds.RevocationFinal || p.clock.Now() < p.keysValidUntil
}

// giveBack returns the token of a request that never ran.
func (p *Proxy) giveBack(client *link.ClientConn) {
	attempt, ok := client.UserData.(*clientAttempt)
	if !ok {
		return
	}
	if attempt.tokenTaken {
		attempt.tokenTaken = false
		p.tenants.ReturnToken(p.micros(), attempt.tenant)
	}
	if small := p.smallQuotas[attempt.tenant]; attempt.ownerTokenTaken && small != nil {
		attempt.ownerTokenTaken = false
		small.spare = min(small.spare+1, maxSpareTokens)
	}
}

// destination returns the pool for a request of a route. If the route is split over several services, one is drawn at
// random by weight.
func (p *Proxy) destination(route *routeconfig.Route) *pool {
	i := 0
	if len(route.Split) > 1 {
		sum := 0.0
		for _, s := range route.Split {
			sum += s.Weight
		}
		point := rand.Float64() * sum
		for i = 0; i < len(route.Split)-1 && (point >= route.Split[i].Weight || route.Split[i].Weight == 0); i++ {
			point -= route.Split[i].Weight
		}
	}
	return p.pools[route.Split[i].Destination]
}

// allowedRegions returns a mask of the regions that may serve a request, or 0 for any region.
func (p *Proxy) allowedRegions(route *routeconfig.Route, sender *routeconfig.Tenant) uint64 {
	mask := p.regionMask(route.HomeRegions)
	if sender == nil || len(sender.HomeRegions) == 0 {
		return mask
	}
	if ownMask := p.regionMask(sender.HomeRegions); mask == 0 {
		return ownMask
	} else if mask&ownMask != 0 {
		return mask & ownMask
	}
	return noRegion
}

// noRegion is a bit that no region has.
const noRegion = 1 << 63

// regionMask returns the regions as bits.
func (p *Proxy) regionMask(regions []string) (mask uint64) {
	for _, r := range regions {
		mask |= 1 << p.region(r)
	}
	return mask
}

// region returns the bit of a region. Regions beyond the 63rd share the last bit.
func (p *Proxy) region(name string) int {
	i, ok := p.regionBits[name]
	if !ok {
		i = min(len(p.regionBits), 62)
		p.regionBits[name] = i
	}
	return i
}

// regionOf returns the bit of a zone's region.
func (p *Proxy) regionOf(zone string) int { return p.region(p.settings.RegionOf(zone)) }

// Costs of a worker in another zone of the region and in another region, relative to one in the gatekeeper's own
// zone.
const (
	otherZoneCost   = 1.4
	otherRegionCost = 40.0
)

// zoneCost returns the relative cost of a worker in a zone.
func (p *Proxy) zoneCost(zone string) float64 {
	switch {
	case zone == p.settings.Zone:
		return 1
	case p.settings.RegionOf(zone) == p.settings.Region:
		return otherZoneCost
	}
	return otherRegionCost
}

// misdirected handles an answer 421: the worker is gone and its address belongs to another process now.
func (p *Proxy) misdirected(execution *gatekeeper.Execution) {
	p.counts.Misdirected++
	for _, w := range p.workers {
		if policy.Server(hash64(w.ID)) == execution.Worker && !w.misdirected {
			w.misdirected = true
			destination := w.Destination
			p.loop.Post(func() {
				if pool := p.pools[destination]; pool != nil {
					pool.updateWorkers()
				}
			})
		}
	}
}

// logCounters writes the counters to the log.
func (p *Proxy) logCounters() {
	open := 0
	for _, pool := range p.poolList {
		open += pool.core.OpenRequests()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.log.Info().Interface("counts", p.counts).Interface("sent", rpc.SentCounts()).Int("open", open).Int("members", p.memberCount).Int("workers", len(p.workers)).
		Uint64("heapKB", m.HeapAlloc>>10).Uint64("sysKB", m.Sys>>10).Msg("counters since start")
}

// status answers with the lines that the operator's status command prints.
func (p *Proxy) status(context.Context, api.StatusRequest) (api.StatusResponse, error) {
	var status api.StatusResponse
	p.runOnLoop(func() {
		add := func(format string, a ...any) { status.Lines = append(status.Lines, fmt.Sprintf(format, a...)) }
		add("station %s zone %s ready %t draining %t", p.settings.Node, p.settings.Zone, p.ready(), p.draining)
		if p.config != nil {
			add("edition %s routes %d tenants %d", routeconfig.FormatVersion(p.config.Version), len(p.config.Routes), len(p.config.Tenants))
		}
		add("place %d of %d members, roster version %d", p.memberIndex, p.memberCount, p.rosterVersion)
		for _, x := range p.poolList {
			ready, listed := x.core.WorkerCounts()
			add("destination %s open %d workers %d of %d", x.name, x.core.OpenRequests(), ready, listed)
		}
		slices, leaseLeft := p.tenants.Holdings(p.micros())
		if p.shedder != nil {
			status.Lines = append(status.Lines, p.shedder.statusLines()...)
		}
		if p.outliers != nil {
			status.Lines = append(status.Lines, p.outliers.statusLines()...)
		}
		add("slices' lease %d ms", leaseLeft/1000)
		for name, x := range slices {
			add("slice %s rate %.2f burst %.2f floor %.2f", name, x.Rate, x.Burst, x.Minimum)
		}
	})
	if p.mirror != nil {
		status.Lines = append(status.Lines, p.mirror.statusLines()...)
	}
	return status, nil
}

// Reload takes the registries' addresses from changed settings. Everything else takes effect at the next start.
func (p *Proxy) Reload(settings *bootconfig.Settings) {
	select {
	case p.newSeeds <- settings.SeedAddresses(0):
	default:
	}
}
