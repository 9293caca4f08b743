package proxy

import (
	"context"
	"sync"
	"time"

	"foxwood/internal/control/configcache"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// Traffic between zones is expensive. So for the configuration and for each destination's workers one gatekeeper of
// the zone is the zone home, which holds the zone's subscription. The registries send updates only to the zone home
// and announce them to the other gatekeepers of the zone, which fetch them from it. A home that fails, is late or has
// less than was announced is not asked for the same update again: the next heartbeat requests it from the registry.

// Times and limits of the fan-out in a zone.
const (
	homeWaitMs         = 110.0 // milliseconds that a home may take to receive what was announced
	homeBytesPerMs     = 16384 // bytes of a body for which it may take one more millisecond
	maxExtraHomeWaitMs = 90.0  // at most so many more milliseconds
	networkReserveMs   = 40.0  // milliseconds for the network
	maxSubscribeWaitMs = 500.0 // milliseconds that a zone peer's request is held back here at most

	offerAfterMs       = 700.0                   // milliseconds without a good heartbeat after which a gatekeeper offers what it holds to its zone peers
	offerIntervalMs    = 2000.0                  // milliseconds between two offers
	offerCheckInterval = 250 * time.Millisecond  // between two checks whether an offer is due
	offerTimeout       = 400 * time.Millisecond  // for an offer to be answered
	handOverTimeout    = 1500 * time.Millisecond // for a hand-over to be answered
	maxHandOverWaitMs  = 600.0                   // milliseconds during which other offers are put off after one was accepted
	formerPeerMs       = 60000.0                 // milliseconds during which offers still go to a member that was last seen then
)

// fanout is what this gatekeeper holds for its own loop and for its zone peers. The loop takes what it lacks from
// here, so that answers which overtake each other can't undo each other.
type fanout struct {
	start time.Time

	mu            sync.Mutex
	updated       chan struct{} // closed and replaced at each change
	cache         *configcache.Cache
	config        *routeconfig.Config // the newest configuration
	zonePeers     []string            // addresses of the other ready members of the zone
	knownPeers    map[string]zonePeer // members of the zone by address, also some that have left
	memberCount   int                 // of all members
	peers         map[string]*rpc.Peer
	badSince      float64 // when the first of the consecutive bad heartbeats began, 0 if the last one was good
	nextOfferAt   float64 // when the next offers are due
	handOverUntil float64 // until when a hand-over by a zone peer is expected
}

// zonePeer is a gatekeeper that was a ready member of the zone.
type zonePeer struct {
	index  int     // index among all members
	seenAt float64 // when it was last known to be a member
}

// newFanout returns a fanout that holds nothing yet.
func newFanout() *fanout {
	return &fanout{start: time.Now(), updated: make(chan struct{}), cache: configcache.New(), knownPeers: map[string]zonePeer{},
		peers: map[string]*rpc.Peer{}}
}

// now returns milliseconds since a moment before the start, so that it is never 0.
func (r *fanout) now() float64 { return 1 + float64(time.Since(r.start))/1e6 }

// notify wakes the requests that are held back here. The lock is held.
func (r *fanout) notify() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// withLock runs f with the lock held, and passes the current time.
func (r *fanout) withLock(f func(now float64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.now())
}

// noteHeartbeat records the result of a heartbeat that began at the given time.
func (r *fanout) noteHeartbeat(began float64, good bool) {
	r.withLock(func(float64) {
		switch {
		case good:
			r.badSince = 0
		case r.badSince == 0:
			r.badSince, r.nextOfferAt = began, 0
		}
	})
}

// outOfTouch tells whether heartbeats have been bad for so long that other gatekeepers may have newer state. The lock
// is held.
func (r *fanout) outOfTouch(now float64) bool { return r.badSince > 0 && now-r.badSince > offerAfterMs }

// receive stores what a registry has sent.
func (r *fanout) receive(answer *api.SessionResponse) {
	r.withLock(func(now float64) {
		r.cache.ApplyAnswer(now, answer)
		r.notify()
		if answer.Members != nil {
			r.setMembers(now, answer.Members)
		}
		for _, addr := range r.zonePeers { // they are known to be members as of now
			peer := r.knownPeers[addr]
			peer.seenAt = now
			r.knownPeers[addr] = peer
		}
	})
}

// setMembers replaces the members of the zone. The lock is held.
func (r *fanout) setMembers(now float64, members *api.MemberView) {
	r.memberCount = members.MemberCount
	r.zonePeers = members.Peers[:min(len(members.ZonePeerIndexes), len(members.Peers))]
	for i, addr := range r.zonePeers {
		r.knownPeers[addr] = zonePeer{index: members.ZonePeerIndexes[i], seenAt: now}
	}
	for addr, known := range r.knownPeers {
		if now-known.seenAt > formerPeerMs {
			delete(r.knownPeers, addr)
			if conn := r.peers[addr]; conn != nil {
				conn.Close()
				delete(r.peers, addr)
			}
		}
	}
}

// peer returns the connection to a zone peer. The lock is held.
func (r *fanout) peer(addr string) *rpc.Peer {
	p := r.peers[addr]
	if p == nil {
		p = rpc.NewPeer(addr)
		r.peers[addr] = p
	}
	return p
}

// storeConfig parses a configuration, and keeps it if it is newer. It does not run on the loop, since parsing takes
// long. It tells whether the configuration could be parsed.
func (p *Proxy) storeConfig(compressed []byte) bool {
	if len(compressed) == 0 {
		return true
	}
	body, err := api.Inflate(compressed)
	var config *routeconfig.Config
	if err == nil {
		config, err = routeconfig.Parse(body)
	}
	if err != nil {
		p.log.Error().Err(err).Msg("received a configuration that can't be parsed")
		return false
	}
	config.Raw = nil // the cache holds the compressed body to pass on
	r := p.fanout
	r.withLock(func(float64) {
		if r.cache.SetConfiguration(config.Version, compressed) {
			r.config = config
			r.notify()
		}
	})
	return true
}

// fetchFromHomes asks the zone homes for what was announced and is missing, all of them at the same time and each
// only once. It tells whether it has asked any.
func (p *Proxy) fetchFromHomes(ctx context.Context) bool {
	r := p.fanout
	var requests map[string]api.SubscribeRequest
	var limit float64
	peers := map[string]*rpc.Peer{}
	r.withLock(func(now float64) {
		var bulk int
		requests, bulk = r.cache.PlanRequests(now, configcache.ZonePeers{Name: p.settings.Zone, Self: p.settings.InnerAddress(0), SelfReady: p.isReady.Load(), Peers: r.zonePeers})
		limit = homeWaitMs + min(float64(bulk/homeBytesPerMs), maxExtraHomeWaitMs)
		for addr := range requests {
			peers[addr] = r.peer(addr)
		}
	})
	if len(requests) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration((limit+networkReserveMs)*float64(time.Millisecond)))
	defer cancel()
	var all sync.WaitGroup
	for addr, request := range requests {
		all.Go(func() {
			request.WaitMS = limit
			answer, err := rpc.Call[api.SubscribeRequest, api.SubscribeResponse](ctx, peers[addr], request)
			r.withLock(func(now float64) { // the times for which workers are cold count from the receipt, not from after parsing
				r.cache.AddParts(now, answer.Endpoints)
				r.notify()
			})
			p.storeConfig(answer.Config)
			r.withLock(func(now float64) { r.cache.RecordAnswer(now, addr, &request, err) })
		})
	}
	all.Wait()
	return true
}

// handleSubscribe answers a zone peer, as its zone home. The answer is held back until all that the peer asks for is
// here, or until the peer's time limit; a home that is out of touch answers at once.
func (p *Proxy) handleSubscribe(ctx context.Context, request api.SubscribeRequest) (answer api.SubscribeResponse, err error) {
	r := p.fanout
	wait := time.NewTimer(time.Duration(min(max(request.WaitMS, 0), maxSubscribeWaitMs) * float64(time.Millisecond)))
	defer wait.Stop()
	for over := false; ; {
		var updated chan struct{}
		r.withLock(func(now float64) {
			updated = r.updated
			if over = over || request.WaitMS <= 0 || r.outOfTouch(now) || r.cache.CanAnswer(&request); over {
				answer = r.cache.Answer(now, &request)
			}
		})
		if over {
			return answer, nil
		}
		select {
		case <-updated:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return answer, rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
	}
}

// applyCached brings the loop up to date with what is held. It runs on the loop and tells whether the pools have to
// update their workers.
func (p *Proxy) applyCached() (changed bool) {
	r := p.fanout
	r.withLock(func(now float64) {
		if r.config != nil && (p.config == nil || r.config.Version > p.config.Version) {
			p.enforce(r.config)
		}
		if version, zones := r.cache.EvacuatedZones(); version > p.evacuationVersion {
			p.setEvacuated(version, zones, r.cache.TakeEndedEvacuations())
			changed = true
		}
		p.rosterVersion = r.cache.AnnouncedVersion()
		for name, version := range r.cache.Revisions() {
			if version > p.workerListVersions[name] {
				p.workerListVersions[name] = version
				p.setWorkers(name, r.cache.Workers(now, name))
				changed = true
			}
		}
	})
	return changed
}

// setEvacuated puts a list of evacuated zones into force and records whose evacuation was revoked: zones that were
// evacuated here, and zones that were evacuated and released again without this gatekeeper having heard of it.
func (p *Proxy) setEvacuated(version uint64, zones, revoked []string) {
	before := p.evacuated
	p.evacuationVersion, p.evacuated = version, map[string]bool{}
	for _, zone := range zones {
		p.evacuated[zone] = true
	}
	for zone := range before {
		if !p.evacuated[zone] {
			p.evacuationRevokedAt[zone] = p.clock.Now()
		}
	}
	for _, zone := range revoked {
		p.evacuationRevokedAt[zone] = p.clock.Now()
	}
}

// setWorkers replaces the workers of a destination.
func (p *Proxy) setWorkers(destination string, list []api.Worker) {
	now := p.clock.Now()
	before := map[string]*worker{}
	for id, entry := range p.workers {
		if entry.Destination == destination {
			before[id] = entry
			delete(p.workers, id)
		}
	}
	for _, entry := range list {
		listed := &worker{Worker: entry}
		listed.Destination = destination
		if entry.SlowStartLeftMS > 0 {
			listed.coldUntil = policy.Micros((now + entry.SlowStartLeftMS) * 1000)
		}
		if earlier := before[entry.ID]; earlier != nil && earlier.Addr == entry.Addr {
			listed.misdirected = earlier.misdirected
		}
		p.workers[entry.ID] = listed
	}
}

// runOffers offers what is held to the zone peers while no registry gives good answers. A gatekeeper that starts then
// has nothing and can't get it from anybody else.
func (p *Proxy) runOffers(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, offerCheckInterval)
		p.offerAll(ctx)
	}
}

// offerAll offers to all zone peers if that is due.
func (p *Proxy) offerAll(ctx context.Context) {
	r := p.fanout
	recipients := map[*rpc.Peer]zonePeer{}
	r.withLock(func(now float64) {
		if !r.outOfTouch(now) || now < r.nextOfferAt || r.cache.Edition() == 0 {
			return
		}
		r.nextOfferAt = now + offerIntervalMs
		for addr, known := range r.knownPeers {
			recipients[r.peer(addr)] = known
		}
	})
	var all sync.WaitGroup
	for peer, known := range recipients {
		all.Go(func() { p.offer(ctx, peer, known) })
	}
	all.Wait()
}

// offer asks a zone peer what it holds, and hands over what it lacks.
func (p *Proxy) offer(ctx context.Context, to *rpc.Peer, known zonePeer) {
	r := p.fanout
	var offer api.PeerSyncRequest
	r.withLock(func(float64) {
		offer = r.cache.Offer()
		offer.MemberIndex, offer.MemberCount = known.index, r.memberCount
	})
	offerCtx, cancel := context.WithTimeout(ctx, offerTimeout)
	held, err := rpc.Call[api.PeerSyncRequest, api.PeerSyncResponse](offerCtx, to, offer)
	cancel()
	if err != nil || held.TransferPending {
		return
	}
	var handOver api.PeerSyncRequest
	var lacking bool
	r.withLock(func(now float64) {
		handOver, lacking = r.cache.HandOver(now, &held)
		handOver.MemberIndex, handOver.MemberCount = known.index, r.memberCount
	})
	if !lacking && (held.KnowsMemberIndex || handOver.MemberCount == 0) {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if _, err = rpc.Call[api.PeerSyncRequest, api.PeerSyncResponse](ctx, to, handOver); err == nil {
		p.log.Info().Str("to", to.Addr()).Msg("handed state over to a zone peer")
	}
}

// handleOffer accepts what a zone peer offers if it is more than what is held. This does not replace a session: a
// gatekeeper that has received its state only this way accepts no keys if revocations are final.
func (p *Proxy) handleOffer(_ context.Context, offer api.PeerSyncRequest) (held api.PeerSyncResponse, err error) {
	r := p.fanout
	if offer.HasState {
		newer := false
		r.withLock(func(now float64) {
			r.cache.AcceptHandover(now, &offer)
			newer = offer.ConfigVersion > r.cache.Edition()
			r.notify()
		})
		if newer {
			p.storeConfig(offer.Config)
		}
		r.withLock(func(float64) { r.handOverUntil = 0 })
	}
	indexKnown := false
	p.runOnLoop(func() {
		if offer.HasState {
			changed := p.applyCached()
			if offer.MemberCount > 0 && p.memberCount == 0 {
				// Minimums are reserved for this member index. The previous incarnation may have taken the start
				// burst.
				p.membersKnown, p.startBurstTaken = true, true
				changed = p.setMemberIndex(offer.MemberIndex, offer.MemberCount) || changed
			}
			p.updatePools(changed)
		}
		indexKnown = p.memberCount > 0
	})
	r.withLock(func(now float64) {
		held = r.cache.HeldVersions()
		held.KnowsMemberIndex = indexKnown
		if !offer.HasState && r.cache.LacksAnyOf(&offer) { // other zone peers offer the same at the same time
			if held.TransferPending = now < r.handOverUntil; !held.TransferPending {
				r.handOverUntil = now + maxHandOverWaitMs
			}
		}
	})
	return held, nil
}
