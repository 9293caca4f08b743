package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"foxwood/internal/control/election"
	"foxwood/internal/control/membership"
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// handleHeartbeat renews a gatekeeper's session and answers with updates: at once if there are any,
// or else when the first one comes or the wait is over.
func (b *Registry) handleHeartbeat(ctx context.Context, heartbeat api.SessionRequest) (api.SessionResponse, error) {
	b.mu.Lock()
	b.counters.Heartbeats++
	receivedAt := b.now()
	if heartbeat.Leaving {
		b.sessions.Leave(receivedAt, heartbeat.Member.Node, heartbeat.Member.Incarnation)
	} else {
		b.sessions.Heartbeat(receivedAt, heartbeat.Member)
	}
	b.election.ObserveTerm(dutyEndpoints, heartbeat.EndpointsVersion>>termShift)
	b.withdrawals.newestVersion = max(b.withdrawals.newestVersion, heartbeat.EndpointsVersion)
	b.updateMembers()
	stored := heartbeat.Leaving || b.isStartStored(heartbeat.Member.Node)
	b.mu.Unlock()
	if !stored {
		b.awaitStartStored(ctx, heartbeat.Member.Node)
	}
	timer := time.NewTimer(time.Duration(min(max(heartbeat.WaitMS, 0), maxWaitMs) * float64(time.Millisecond)))
	defer timer.Stop()
	for {
		b.mu.Lock()
		answer, updated := b.heartbeatAnswer(heartbeat, receivedAt)
		signal := b.updateSignal
		b.mu.Unlock()
		if updated || heartbeat.WaitMS <= 0 {
			return answer, nil
		}
		select {
		case <-signal:
		case <-timer.C:
			heartbeat.WaitMS = 0
		case <-ctx.Done():
			return answer, rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
	}
}

// heartbeatAnswer returns the answer to a heartbeat in the current state, and whether it contains
// updates. The lock is held.
func (b *Registry) heartbeatAnswer(heartbeat api.SessionRequest, receivedAt float64) (answer api.SessionResponse, updated bool) {
	now := b.now()
	answer.AsOf = b.tailConfirmedAt - receivedAt
	answer.Stale = b.tailConfirmedAt == 0 || now-b.tailConfirmedAt > staleAfterMs || b.outsideCore()
	answer.Settled = b.membersComplete(now)
	answer.RestartedRecently = b.sessions.RestartedWithin(now, heartbeat.Member.Node, b.startBurstWindowMs()) || !b.isStartStored(heartbeat.Member.Node)
	members := b.sessions.Members(now)
	updated = b.addConfigurationAndEndpoints(now, members, &heartbeat, &answer)
	answer.EvacuationNumber = b.evacuationVersion
	if b.evacuationVersion > heartbeat.EvacuationNumber {
		answer.HasEvacuated, answer.Evacuated = true, b.evacuatedZones
		answer.RevokedEvacuations = b.endedEvacuations(heartbeat.EvacuationNumber)
		updated = true
	}
	updated = b.addMirrorUpdates(now, receivedAt, members, &heartbeat, &answer) || updated
	if withdrawn, hash := b.withdrawals.snapshot(); hash != 0 && hash != heartbeat.WithdrawnChecksum {
		answer.Withdrawn, answer.WithdrawnChecksum, updated = withdrawn, hash, true
	}
	// A registry that has just started may not know all members. With too few of them, gatekeepers
	// would claim too large shares of a cold worker's capacity and of quotas.
	if peers := b.peerList(members, &heartbeat.Member); answer.Settled && now >= memberListDelayMs && peers.Checksum != heartbeat.MembersChecksum {
		answer.Members, updated = peers, updated || heartbeat.MembersChecksum == 0 // a gatekeeper that holds a list receives changes with its next answer
	}
	if b.coreMachinesHash != heartbeat.RegistriesChecksum {
		answer.Registries, answer.RegistriesChecksum = b.coreMachines, b.coreMachinesHash
	}
	return answer, updated || answer.Stale
}

// endedEvacuations returns the zones whose evacuation has ended since a change; none for a
// gatekeeper that has just started. The lock is held.
func (b *Registry) endedEvacuations(since uint64) (zones []string) {
	if since == 0 {
		return nil
	}
	for zone, lastChange := range b.committed.LastZoneChange {
		if _, evacuated := b.committed.Evacuated[zone]; !evacuated && lastChange.Seq > since {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// membersComplete reports whether all members are known here. The lock is held.
func (b *Registry) membersComplete(now float64) bool {
	if len(b.core) > 0 {
		return b.sessions.IsComplete(now, b.core)
	}
	return b.sessions.IsComplete(now, b.otherRegistries) // the registries named by the seeds: the core is not known yet
}

// peerListKey identifies a receiver of the peer list, whose content depends only on it and the
// member list.
type peerListKey struct{ node, zone, region string }

// peerList returns the other members as seen by a gatekeeper. It is computed once for each version
// of the member list.
func (b *Registry) peerList(members membership.MemberList, gatekeeper *membership.Member) *api.MemberView {
	if b.peerListsVersion != members.Version {
		b.peerLists, b.peerListsVersion = map[peerListKey]*api.MemberView{}, members.Version
	}
	key := peerListKey{gatekeeper.Node, gatekeeper.Zone, gatekeeper.Region}
	list := b.peerLists[key]
	if list == nil {
		list = newPeerList(members, gatekeeper)
		b.peerLists[key] = list
	}
	return list
}

// newPeerList returns the ready members of the gatekeeper's region, those of its own zone first.
func newPeerList(members membership.MemberList, gatekeeper *membership.Member) *api.MemberView {
	list := &api.MemberView{}
	list.MemberIndex, list.MemberCount = members.MemberIndex(gatekeeper.Node)
	hash := xxh3.New()
	_, _ = fmt.Fprint(hash, list.MemberIndex, list.MemberCount)
	var otherZones []string
	for i := range members.Members {
		member := &members.Members[i]
		switch {
		case member.Region != gatekeeper.Region || member.Node == gatekeeper.Node || !member.Ready || member.Leaving:
		case member.Zone == gatekeeper.Zone:
			list.Peers, list.ZonePeerIndexes = append(list.Peers, member.PeerAddr), append(list.ZonePeerIndexes, i)
		default:
			otherZones = append(otherZones, member.PeerAddr)
		}
	}
	list.Peers = append(list.Peers, otherZones...)
	_, _ = fmt.Fprint(hash, list.ZonePeerIndexes, list.Peers)
	list.Checksum = hash.Sum64() | 1
	return list
}

// outsideCore reports whether this machine has no seat in the core. Such a registry does not learn
// who holds a duty, so gatekeepers should use another. The lock is held.
func (b *Registry) outsideCore() bool {
	return b.view.Number > 0 && !slices.Contains(b.core, b.settings.InnerAddress(registryPort))
}

// updateCoreMachines updates the list of known core machines and its hash. The lock is held.
func (b *Registry) updateCoreMachines() {
	var machines []api.Registry
	if !b.outsideCore() {
		machines = append(machines, api.Registry{Addr: b.settings.InnerAddress(registryPort), Zone: b.settings.Zone})
	}
	for _, addr := range b.otherRegistries {
		machines = append(machines, api.Registry{Addr: addr, Zone: b.peerZones[addr]})
	}
	slices.SortFunc(machines, func(a, b api.Registry) int { return strings.Compare(a.Addr, b.Addr) })
	b.coreMachines, b.coreMachinesHash = machines, xxh3.HashString(fmt.Sprint(machines))|1
}

// handleQuotaRequest answers a gatekeeper's allocation request here or forwards it to the holder of
// the duty.
func (b *Registry) handleQuotaRequest(ctx context.Context, request api.AllocationRequest) (api.AllocationResponse, error) {
	b.mu.Lock()
	holder := b.election.Holder(b.now(), dutyQuota)
	if holder == b.settings.InnerAddress(registryPort) {
		defer b.mu.Unlock()
		return b.allocate(request)
	}
	peer := b.peers[holder]
	b.mu.Unlock()
	if peer == nil || request.Forwarded {
		return api.AllocationResponse{}, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	request.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	return rpc.Call[api.AllocationRequest, api.AllocationResponse](ctx, peer, request)
}

// allocate answers an allocation request as the holder of the duty. The lock is held.
func (b *Registry) allocate(request api.AllocationRequest) (api.AllocationResponse, error) {
	b.counters.AllocationRequests++
	now := b.now()
	if _, ok := b.election.Holds(now, dutyQuota); !ok || b.configuration == nil {
		return api.AllocationResponse{}, rpc.Errorf(rpc.Unavailable, "the duty is lost")
	}
	demand := make(quota.Demand, len(request.Demand))
	for name, waiting := range request.Demand {
		demand[name] = float64(waiting)
	}
	id := memberID(request.Node, request.Incarnation)
	b.updateMembers() // the allocator allocates nothing before it knows the members
	startedAt := time.Now()
	allocations := b.allocator.Allocate(now, id, request.Sequence, demand, request.HeldSlices(), request.LeaseLeft)
	b.counters.AllocationNanos += uint64(time.Since(startedAt))
	if allocations == nil {
		return api.AllocationResponse{}, rpc.Errorf(rpc.Stale, "an asking that was overtaken")
	}
	if b.sessions.RestartedWithin(now, request.Node, b.startBurstWindowMs()) { // an earlier holder of the duty may have granted the start burst already
		for name, allocation := range allocations {
			allocation.StartBurst = 0
			allocations[name] = allocation
		}
	}
	return api.AllocationResponse{Slices: api.EncodeSlices(allocations), LeaseMS: allocationLeaseMs, SlowStart: b.slowStart.Renew(now, id)}, nil
}

// updateQuotaLimits passes the tenants' quotas to the allocator. The lock is held.
func (b *Registry) updateQuotaLimits() {
	if b.configuration == nil {
		return
	}
	b.allocator.SetLimits(b.now(), maps.Collect(quota.LimitedTenants(b.configuration)), b.configuration.Version)
}

// memberID returns the allocator's name for one incarnation of a gatekeeper.
func memberID(node string, incarnation uint64) string { return fmt.Sprintf("%s/%x", node, incarnation) }

// stepElection advances the election and the periodic checks that depend on it.
func (b *Registry) stepElection(context.Context) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	output := b.election.Step(b.now(), election.Event{Kind: election.Tick})
	b.applyDutyChanges(output)
	b.withdrawals.observeHolder(b.now(), b.election.Holder(b.now(), dutyEndpoints))
	b.checkStarts()
	electorate, epoch := b.election.SoleElectorate(b.now())
	mustStore := b.settings.DataDir != "" && electorate != nil && (epoch != b.storedEpoch || !slices.Equal(electorate, b.storedElectorate)) && b.electorateWrites.tryBegin(b.now())
	b.mu.Unlock()
	b.sendElectionMessages(output)
	if mustStore {
		go b.storeElectorate(electorate, epoch) // in the background, so that a disk that hangs does not delay votes
	}
}

// applyDutyChanges starts the duties that were won and stops those that were lost. The lock is
// held.
func (b *Registry) applyDutyChanges(output election.Output) {
	for _, duty := range output.Won {
		b.log.Info().Str("duty", duty.Duty).Uint64("term", duty.Term).Float64("vacantMs", duty.VacantMs).Msg("duty won")
		b.counters.DutiesWon++
		b.applySheddingDuty(duty.Duty, duty.Term, true)
		if duty.Duty == dutyQuota {
			b.allocator.Begin(b.now(), duty.VacantMs)
			b.slowStart.Start(b.now(), duty.VacantMs)
		}
	}
	for _, duty := range output.Vacant {
		if duty.Duty == dutyQuota {
			b.allocator.ExtendVacancy(duty.VacantMs)
			b.slowStart.ReportVacancy(duty.VacantMs)
		}
	}
	for _, duty := range output.Lost {
		b.counters.DutiesLost++
		b.applySheddingDuty(duty.Duty, duty.Term, false)
		b.log.Info().Str("duty", duty.Duty).Uint64("term", duty.Term).Msg("duty lost")
	}
}

// sendElectionMessages sends the messages of an election step. The lock is not held.
func (b *Registry) sendElectionMessages(output election.Output) {
	for _, message := range output.Send {
		b.mu.Lock()
		peer := b.peers[message.To]
		b.mu.Unlock()
		if peer != nil {
			_ = rpc.Notify(peer, message)
		}
	}
}

// handleElectionMessage handles an election message of another registry.
func (b *Registry) handleElectionMessage(_ context.Context, message election.Message) (api.StatusRequest, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return api.StatusRequest{}, nil
	}
	output := b.election.Step(b.now(), election.Event{Kind: election.Received, Message: message})
	b.applyDutyChanges(output)
	b.mu.Unlock()
	b.sendElectionMessages(output)
	return api.StatusRequest{}, nil
}

// handleStatus returns the lines that the command status prints.
func (b *Registry) handleStatus(context.Context, api.StatusRequest) (api.StatusResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var status api.StatusResponse
	addLine := func(format string, args ...any) { status.Lines = append(status.Lines, fmt.Sprintf(format, args...)) }
	addLine("station %s", b.settings.Node)
	addLine("view %d chain %v core %v", b.view.Number, b.view.Chain, b.view.Core)
	addLine("edition %s change %d", routeconfig.FormatVersion(b.committed.Edition), b.committed.Last.Seq)
	addLine("tail asked %.0f ms ago", now-b.tailConfirmedAt)
	addLine("evacuated %v", b.evacuatedZones)
	for _, duty := range []string{dutyEndpoints, dutyQuota} {
		addLine("duty %s held by %s", duty, b.election.Holder(now, duty))
	}
	status.Lines = append(status.Lines, b.sheddingStatusLines()...)
	addLine("roster version %d, %d workers, polled %.0f ms ago, %d taken away without the duty", b.endpoints.version, len(b.endpoints.workers), now-b.polledAt,
		len(b.withdrawals.versions))
	members := b.sessions.Members(now)
	for i := range members.Members {
		member := &members.Members[i]
		addLine("member %s zone %s at %s ready %t leaving %t", member.Node, member.Zone, member.ClientAddr, member.Ready, member.Leaving)
	}
	return status, nil
}

// resolve returns the gatekeepers' addresses for clients of a zone.
func (b *Registry) resolve(region, zone string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.Resolves++
	return membership.Resolve(b.now(), b.sessions.Members(b.now()), region, zone, maxResolvedAddresses)
}
