package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"foxwood/internal/control/membership"
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// runSession keeps a session with a registry until the context ends. Registries in the same zone are preferred. The
// session moves to another registry if a call fails or if the registry is out of touch with the tail of the chain.
func (p *Proxy) runSession(ctx context.Context) {
	for ctx.Err() == nil {
		p.heartbeat(ctx)
	}
	p.endSession()
}

// heartbeat sends one heartbeat and handles the answer.
func (p *Proxy) heartbeat(ctx context.Context) {
	select {
	case seeds := <-p.newSeeds:
		p.seedAddrs = seeds
		p.addRegistries(seedRegistries(seeds))
	default:
	}
	addr := p.chooseRegistry()
	peer := p.registryPeers[addr]
	if peer == nil {
		peer = rpc.NewPeer(addr)
		p.registryPeers[addr] = peer
	}
	var request api.SessionRequest
	var askedAt float64
	p.runOnLoop(func() {
		request = p.heartbeatRequest()
		askedAt = p.clock.Now()
		p.registry = peer
	})
	began := p.fanout.now()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	answer, err := rpc.Call[api.SessionRequest, api.SessionResponse](callCtx, peer, request)
	cancel()
	p.fanout.noteHeartbeat(began, err == nil && !answer.Stale)
	p.runOnLoop(func() {
		p.counts.Heartbeats++
		if err != nil {
			p.counts.HeartbeatsFailed++
		}
	})
	if err != nil {
		p.leaveRegistry(addr, err.Error())
		pause(ctx, p.retryDelay(failedRetryDelay))
		return
	}
	if len(answer.Registries) > 0 && !answer.Stale {
		p.dropReplaced(answer.Registries)
	}
	p.addRegistries(answer.Registries)
	if !p.received(ctx, &answer, askedAt) {
		defer pause(ctx, unreadableConfigDelay) // it comes with each answer
	}
	if !answer.Stale {
		p.badHeartbeats = 0
		return
	}
	p.leaveRegistry(addr, "out of touch with the tail of the chain")
	pause(ctx, p.retryDelay(staleRetryDelay))
}

// retryDelay returns the delay after a bad heartbeat. The first few retries go to other registries promptly, as one
// of them is likely to be in touch with the tail. If none is, the delay doubles each time: frequent retries of a
// whole fleet could keep the registries from recovering.
func (p *Proxy) retryDelay(first time.Duration) time.Duration {
	wait := first << max(p.badHeartbeats-promptRetries, 0)
	p.badHeartbeats = min(p.badHeartbeats+1, promptRetries+maxDelayDoublings)
	if wait = min(wait, maxRetryDelay); wait <= first {
		return wait
	}
	return wait/2 + rand.N(wait/2)
}

// received handles the answer to a heartbeat, and fetches the parts that were only announced from the zone homes. It
// tells whether the configuration in it, if any, could be read.
func (p *Proxy) received(ctx context.Context, answer *api.SessionResponse, askedAt float64) (read bool) {
	p.fanout.receive(answer)
	read = p.storeConfig(answer.Config)
	p.runOnLoop(func() { p.apply(answer, askedAt) })
	if p.fetchFromHomes(ctx) {
		p.runOnLoop(func() {
			p.apply(&api.SessionResponse{AsOf: answer.AsOf, Stale: answer.Stale, ConfigVersion: answer.ConfigVersion, RestartedRecently: answer.RestartedRecently}, askedAt)
		})
	}
	return read
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// leaveRegistry has the session avoid a registry for a while.
func (p *Proxy) leaveRegistry(addr, reason string) {
	if time.Since(p.registryFailedAt[addr]) > registryPause {
		p.log.Info().Str("from", addr).Str("reason", reason).Msg("switching to another registry")
	}
	p.registryFailedAt[addr] = time.Now()
	p.runOnLoop(func() { p.counts.Moves++ })
}

// seedRegistries returns registries of which only the address is known.
func seedRegistries(seeds []string) (registries []api.Registry) {
	for _, s := range seeds {
		registries = append(registries, api.Registry{Addr: s})
	}
	return registries
}

// dropReplaced drops registries that appear neither in the settings nor in the list of a registry that is in touch
// with the tail: they have been replaced.
func (p *Proxy) dropReplaced(current []api.Registry) {
	p.registries = slices.DeleteFunc(p.registries, func(c api.Registry) bool {
		if slices.Contains(p.seedAddrs, c.Addr) || slices.ContainsFunc(current, func(k api.Registry) bool { return k.Addr == c.Addr }) {
			return false
		}
		if peer := p.registryPeers[c.Addr]; peer != nil {
			peer.Close()
		}
		delete(p.registryPeers, c.Addr)
		delete(p.registryFailedAt, c.Addr)
		return true
	})
}

// addRegistries adds registries to the known ones. One that is down now may be the only one that is up later, so none
// is removed here.
func (p *Proxy) addRegistries(registries []api.Registry) {
	for _, c := range registries {
		i := slices.IndexFunc(p.registries, func(k api.Registry) bool { return k.Addr == c.Addr })
		switch {
		case i < 0:
			p.registries = append(p.registries, c)
		case c.Zone != "":
			p.registries[i] = c
		}
	}
}

// chooseRegistry returns the address of the registry for the next heartbeat: one that has not failed recently, then
// the nearest, then by a hash that spreads the gatekeepers.
func (p *Proxy) chooseRegistry() string {
	type rank struct {
		failed   bool // recently
		distance int  // 0 in this zone, 1 in this region, 2 elsewhere
		hash     uint64
	}
	rankOf := func(c api.Registry) rank {
		r := rank{failed: time.Since(p.registryFailedAt[c.Addr]) < registryPause, hash: hash64(c.Addr + p.settings.Node)}
		switch {
		case c.Zone == p.settings.Zone:
		case c.Zone == "" || p.settings.RegionOf(c.Zone) == p.settings.Region:
			r.distance = 1
		default:
			r.distance = 2
		}
		return r
	}
	best := slices.MinFunc(p.registries, func(a, b api.Registry) int {
		x, y := rankOf(a), rankOf(b)
		switch {
		case x.failed != y.failed && y.failed:
			return -1
		case x.failed != y.failed:
			return 1
		case x.failed: // all have failed recently: take the one that failed longest ago
			return p.registryFailedAt[a.Addr].Compare(p.registryFailedAt[b.Addr])
		}
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.hash, y.hash))
	})
	return best.Addr
}

// heartbeatRequest returns the request for the next heartbeat. It runs on the loop.
func (p *Proxy) heartbeatRequest() api.SessionRequest {
	request := api.SessionRequest{Member: p.self(), MembersChecksum: p.membership.Checksum, RegistriesChecksum: p.registriesMark, WaitMS: heartbeatWaitMs}
	p.fanout.withLock(func(float64) { p.fanout.cache.FillHeartbeat(&request) })
	if p.mirror != nil {
		request.MirrorsTraffic, request.SeatsChecksum = request.MirrorOrderNumber > 0, p.mirror.membersMark
	}
	return request
}

// self describes this gatekeeper as a member.
func (p *Proxy) self() membership.Member {
	p.sequence++
	return membership.Member{Node: p.settings.Node, Zone: p.settings.Zone, Region: p.settings.Region, Incarnation: p.incarnation, Sequence: p.sequence,
		ClientAddr: p.settings.Addresses.Clients, PeerAddr: p.settings.InnerAddress(0), Ready: p.ready(), Leaving: p.draining, Overloaded: p.shedsAlone()}
}

// apply puts what was received into force. It runs on the loop. Configurations, lists of evacuated zones and worker
// lists are never replaced by older ones, whichever registry sends them.
func (p *Proxy) apply(answer *api.SessionResponse, askedAt float64) {
	changed := p.applyCached()
	p.membersKnown = p.membersKnown || answer.Settled
	p.earlierBurstCounts = answer.RestartedRecently
	if answer.RegistriesChecksum != 0 {
		p.registriesMark = answer.RegistriesChecksum
	}
	if answer.Members != nil {
		p.membership = *answer.Members
		if index, count := p.membership.MemberIndex, p.membership.MemberCount; count > 0 && index >= 0 {
			changed = p.setMemberIndex(index, count) || changed
			p.updateRing()
		}
	}
	if !answer.Stale {
		p.tailStateAt = max(p.tailStateAt, askedAt+answer.AsOf)
	}
	if !answer.Stale && (p.config != nil && p.config.Version >= answer.ConfigVersion) {
		p.hasSession = true
		p.keysValidUntil = max(p.keysValidUntil, askedAt+answer.AsOf+p.settings.Bounds.RevokeS*1000-keyLeaseMarginMs)
	}
	if p.mirror != nil {
		p.mirror.receive(answer, askedAt, changed)
	}
	p.updatePools(changed)
}

// setMemberIndex sets the index of this gatekeeper among all members, and tells whether the index or the number of
// members has changed.
func (p *Proxy) setMemberIndex(index, count int) bool {
	changed := index != p.memberIndex || count != p.memberCount
	p.memberIndex, p.memberCount = index, count
	p.retryBudget.SetMembers(p.micros(), count, index)
	for _, pool := range p.poolList {
		pool.core.SetMembership(index, count)
	}
	return changed
}

// ring returns the rank of this gatekeeper among those of its zone. It is empty while the gatekeeper does not know
// its index among all members: otherwise all gatekeepers that start would use the same few workers until they know
// it.
func (p *Proxy) ring() policy.RingPlace {
	if p.membership.MemberCount == 0 || p.membership.MemberIndex < 0 {
		return policy.RingPlace{}
	}
	r := policy.RingPlace{Zone: hash64(p.settings.Zone), Count: len(p.membership.ZonePeerIndexes) + 1}
	for _, index := range p.membership.ZonePeerIndexes {
		if index < p.membership.MemberIndex {
			r.Index++
		}
	}
	return r
}

// updateRing passes the rank of this gatekeeper to all pools.
func (p *Proxy) updateRing() {
	r := p.ring()
	for _, pool := range p.poolList {
		pool.core.SetZoneRank(r)
	}
}

// updatePools passes the workers to all pools if they have changed, and logs a change of readiness.
func (p *Proxy) updatePools(workersChanged bool) {
	if workersChanged {
		for _, pool := range p.poolList {
			pool.updateWorkers()
		}
	}
	if ready := p.ready(); ready != p.isReady.Load() {
		p.isReady.Store(ready)
		p.log.Info().Bool("ready", ready).Msg("readiness changed")
	}
}

// enforce puts a whole configuration into force.
func (p *Proxy) enforce(config *routeconfig.Config) {
	p.config, p.clientPatience = config, make([]policy.RetryDetector, len(config.Routes))
	var limited []string
	for name := range quota.LimitedTenants(config) {
		limited = append(limited, name)
	}
	p.tenants.SetLimited(p.micros(), limited)
	p.retryBudget.KeepServices(func(service string) bool { return config.Destinations[service] != nil })
	p.limits.HeadBytes, p.limits.BufferedBodyBytes, p.limits.StreamedBodyBytes = config.Limits.HeadBytes, 0, config.Limits.BodyBytes
	p.clients.Limits.HeadTimeoutMS, p.clients.Limits.IdleTimeoutMS = config.Limits.HeadS*1000, config.Limits.IdleS*1000
	for name, destination := range config.Destinations {
		pool := p.pool(name)
		if pool.config = *destination; destination.SlotsPerWorker > 0 {
			pool.fleet.MaxConnsPerWorker = max(destination.SlotsPerWorker/(2*max(p.memberCount, 1)), 2)
		}
	}
	p.log.Info().Str("edition", routeconfig.FormatVersion(config.Version)).Int("routes", len(config.Routes)).Msg("configuration in force")
}

// announce tells the registry at once that this gatekeeper is leaving. The heartbeat of the session may be held back
// for another half second, during which the directory would go on naming this gatekeeper.
func (p *Proxy) announce() {
	var request api.SessionRequest
	var registry *rpc.Peer
	p.runOnLoop(func() { request, registry = p.heartbeatRequest(), p.registry })
	if registry == nil {
		return
	}
	request.WaitMS = 0
	peer := rpc.NewPeer(registry.Addr())
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_, _ = rpc.Call[api.SessionRequest, api.SessionResponse](ctx, peer, request)
}

// endSession tells the registry that the session is over.
func (p *Proxy) endSession() {
	var request api.SessionRequest
	p.runOnLoop(func() { request = p.heartbeatRequest() })
	request.Leaving, request.WaitMS = true, 0
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if peer := p.registryPeers[p.chooseRegistry()]; peer != nil {
		_, _ = rpc.Call[api.SessionRequest, api.SessionResponse](ctx, peer, request)
	}
}
