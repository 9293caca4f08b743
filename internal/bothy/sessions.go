package bothy

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"foxwood/internal/election"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// handleHeartbeat renews a gatekeeper's session and answers with updates: at once if there are any,
// or else when the first one comes or the wait is over.
func (b *Bothy) handleHeartbeat(ctx context.Context, heartbeat waymark.Sign) (waymark.Signed, error) {
	b.mu.Lock()
	b.counters.Heartbeats++
	receivedAt := b.now()
	if heartbeat.Leaving {
		b.sessions.Leave(receivedAt, heartbeat.Member.Station, heartbeat.Member.Life)
	} else {
		b.sessions.Sign(receivedAt, heartbeat.Member)
	}
	b.election.Learn(dutyEndpoints, heartbeat.Roster>>termShift)
	b.withdrawals.newestVersion = max(b.withdrawals.newestVersion, heartbeat.Roster)
	b.updateMembers()
	stored := heartbeat.Leaving || b.isStartStored(heartbeat.Member.Station)
	b.mu.Unlock()
	if !stored {
		b.awaitStartStored(ctx, heartbeat.Member.Station)
	}
	timer := time.NewTimer(time.Duration(min(max(heartbeat.Wait, 0), maxWaitMs) * float64(time.Millisecond)))
	defer timer.Stop()
	for {
		b.mu.Lock()
		answer, updated := b.heartbeatAnswer(heartbeat, receivedAt)
		signal := b.updateSignal
		b.mu.Unlock()
		if updated || heartbeat.Wait <= 0 {
			return answer, nil
		}
		select {
		case <-signal:
		case <-timer.C:
			heartbeat.Wait = 0
		case <-ctx.Done():
			return answer, rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
	}
}

// heartbeatAnswer returns the answer to a heartbeat in the current state, and whether it contains
// updates. The lock is held.
func (b *Bothy) heartbeatAnswer(heartbeat waymark.Sign, receivedAt float64) (answer waymark.Signed, updated bool) {
	now := b.now()
	answer.AsOf = b.tailConfirmedAt - receivedAt
	answer.Stale = b.tailConfirmedAt == 0 || now-b.tailConfirmedAt > staleAfterMs || b.outsideCore()
	answer.Settled = b.membersComplete(now)
	answer.Again = b.sessions.Again(now, heartbeat.Member.Station, b.startBurstWindowMs()) || !b.isStartStored(heartbeat.Member.Station)
	members := b.sessions.Members(now)
	updated = b.addConfigurationAndEndpoints(now, members, &heartbeat, &answer)
	answer.Evac = b.evacuationVersion
	if b.evacuationVersion > heartbeat.Evac {
		answer.HasEvac, answer.Evacuated = true, b.evacuatedZones
		answer.TakenBack = b.endedEvacuations(heartbeat.Evac)
		updated = true
	}
	updated = b.addMirrorUpdates(now, receivedAt, members, &heartbeat, &answer) || updated
	if withdrawn, hash := b.withdrawals.snapshot(); hash != 0 && hash != heartbeat.Struck {
		answer.Struck, answer.StruckNow, updated = withdrawn, hash, true
	}
	// A registry that has just started may not know all members. With too few of them, gatekeepers
	// would claim too large shares of a cold worker's capacity and of quotas.
	if peers := b.peerList(members, &heartbeat.Member); answer.Settled && now >= memberListDelayMs && peers.Mark != heartbeat.Crowd {
		answer.Crowd, updated = peers, updated || heartbeat.Crowd == 0 // a gatekeeper that holds a list receives changes with its next answer
	}
	if b.coreMachinesHash != heartbeat.Cores {
		answer.Cores, answer.CoresNow = b.coreMachines, b.coreMachinesHash
	}
	return answer, updated || answer.Stale
}

// endedEvacuations returns the zones whose evacuation has ended since a change; none for a
// gatekeeper that has just started. The lock is held.
func (b *Bothy) endedEvacuations(since uint64) (zones []string) {
	if since == 0 {
		return nil
	}
	for zone, lastChange := range b.committed.Touched {
		if _, evacuated := b.committed.Evacuated[zone]; !evacuated && lastChange.Seq > since {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// membersComplete reports whether all members are known here. The lock is held.
func (b *Bothy) membersComplete(now float64) bool {
	if len(b.core) > 0 {
		return b.sessions.Settled(now, b.core)
	}
	return b.sessions.Settled(now, b.otherRegistries) // the registries named by the seeds: the core is not known yet
}

// peerListKey identifies a receiver of the peer list, whose content depends only on it and the
// member list.
type peerListKey struct{ node, zone, region string }

// peerList returns the other members as seen by a gatekeeper. It is computed once for each version
// of the member list.
func (b *Bothy) peerList(members membership.Roll, gatekeeper *membership.Member) *waymark.Crowd {
	if b.peerListsVersion != members.Version {
		b.peerLists, b.peerListsVersion = map[peerListKey]*waymark.Crowd{}, members.Version
	}
	key := peerListKey{gatekeeper.Station, gatekeeper.Zone, gatekeeper.Region}
	list := b.peerLists[key]
	if list == nil {
		list = newPeerList(members, gatekeeper)
		b.peerLists[key] = list
	}
	return list
}

// newPeerList returns the ready members of the gatekeeper's region, those of its own zone first.
func newPeerList(members membership.Roll, gatekeeper *membership.Member) *waymark.Crowd {
	list := &waymark.Crowd{}
	list.Place, list.Count = members.Place(gatekeeper.Station)
	hash := xxh3.New()
	_, _ = fmt.Fprint(hash, list.Place, list.Count)
	var otherZones []string
	for i := range members.Members {
		member := &members.Members[i]
		switch {
		case member.Region != gatekeeper.Region || member.Station == gatekeeper.Station || !member.Ready || member.Leaving:
		case member.Zone == gatekeeper.Zone:
			list.Peers, list.Near = append(list.Peers, member.Inner), append(list.Near, i)
		default:
			otherZones = append(otherZones, member.Inner)
		}
	}
	list.Peers = append(list.Peers, otherZones...)
	_, _ = fmt.Fprint(hash, list.Near, list.Peers)
	list.Mark = hash.Sum64() | 1
	return list
}

// outsideCore reports whether this machine has no seat in the core. Such a registry does not learn
// who holds a duty, so gatekeepers should use another. The lock is held.
func (b *Bothy) outsideCore() bool {
	return b.view.No > 0 && !slices.Contains(b.core, b.settings.Inner(registryPort))
}

// updateCoreMachines updates the list of known core machines and its hash. The lock is held.
func (b *Bothy) updateCoreMachines() {
	var machines []waymark.Core
	if !b.outsideCore() {
		machines = append(machines, waymark.Core{Addr: b.settings.Inner(registryPort), Zone: b.settings.Zone})
	}
	for _, addr := range b.otherRegistries {
		machines = append(machines, waymark.Core{Addr: addr, Zone: b.peerZones[addr]})
	}
	slices.SortFunc(machines, func(a, b waymark.Core) int { return strings.Compare(a.Addr, b.Addr) })
	b.coreMachines, b.coreMachinesHash = machines, xxh3.HashString(fmt.Sprint(machines))|1
}

// handleQuotaRequest answers a gatekeeper's allocation request here or forwards it to the holder of
// the duty.
func (b *Bothy) handleQuotaRequest(ctx context.Context, request waymark.Draw) (waymark.Drawn, error) {
	b.mu.Lock()
	holder := b.election.Holder(b.now(), dutyQuota)
	if holder == b.settings.Inner(registryPort) {
		defer b.mu.Unlock()
		return b.allocate(request)
	}
	peer := b.peers[holder]
	b.mu.Unlock()
	if peer == nil || request.Passed {
		return waymark.Drawn{}, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	request.Passed = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	return rpc.Call[waymark.Draw, waymark.Drawn](ctx, peer, request)
}

// allocate answers an allocation request as the holder of the duty. The lock is held.
func (b *Bothy) allocate(request waymark.Draw) (waymark.Drawn, error) {
	b.counters.AllocationRequests++
	now := b.now()
	if _, ok := b.election.Holds(now, dutyQuota); !ok || b.configuration == nil {
		return waymark.Drawn{}, rpc.Errorf(rpc.Unavailable, "the duty is lost")
	}
	demand := make(quota.Demand, len(request.Demand))
	for name, waiting := range request.Demand {
		demand[name] = float64(waiting)
	}
	id := memberID(request.Station, request.Life)
	b.updateMembers() // the allocator allocates nothing before it knows the members
	startedAt := time.Now()
	allocations := b.allocator.Ask(now, id, request.Turn, demand, request.Held(), request.LeaseLeft)
	b.counters.AllocationNanos += uint64(time.Since(startedAt))
	if allocations == nil {
		return waymark.Drawn{}, rpc.Errorf(rpc.Stale, "an asking that was overtaken")
	}
	if b.sessions.Again(now, request.Station, b.startBurstWindowMs()) { // an earlier holder of the duty may have granted the start burst already
		for name, allocation := range allocations {
			allocation.Kick = 0
			allocations[name] = allocation
		}
	}
	return waymark.Drawn{Slices: waymark.Pack(allocations), Lease: allocationLeaseMs, SlowStart: b.slowStart.Ask(now, id)}, nil
}

// updateQuotaLimits passes the tenants' quotas to the allocator. The lock is held.
func (b *Bothy) updateQuotaLimits() {
	if b.configuration == nil {
		return
	}
	b.allocator.Terms(b.now(), maps.Collect(quota.Limited(b.configuration)), b.configuration.Edition)
}

// memberID returns the allocator's name for one incarnation of a gatekeeper.
func memberID(node string, incarnation uint64) string { return fmt.Sprintf("%s/%x", node, incarnation) }

// stepElection advances the election and the periodic checks that depend on it.
func (b *Bothy) stepElection(context.Context) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	output := b.election.Step(b.now(), election.Event{Kind: election.Tick})
	b.applyDutyChanges(output)
	b.withdrawals.observeHolder(b.now(), b.election.Holder(b.now(), dutyEndpoints))
	b.checkStarts()
	electorate, epoch := b.election.Settled(b.now())
	mustStore := b.settings.ArchiveDir != "" && electorate != nil && (epoch != b.storedEpoch || !slices.Equal(electorate, b.storedElectorate)) && b.electorateWrites.tryBegin(b.now())
	b.mu.Unlock()
	b.sendElectionMessages(output)
	if mustStore {
		go b.storeElectorate(electorate, epoch) // in the background, so that a disk that hangs does not delay votes
	}
}

// applyDutyChanges starts the duties that were won and stops those that were lost. The lock is
// held.
func (b *Bothy) applyDutyChanges(output election.Out) {
	for _, duty := range output.Won {
		b.log.Info().Str("duty", duty.Duty).Uint64("term", duty.Term).Float64("vacantMs", duty.VacantMs).Msg("duty won")
		b.counters.DutiesWon++
		b.applySheddingDuty(duty.Duty, duty.Term, true)
		if duty.Duty == dutyQuota {
			b.allocator.Begin(b.now(), duty.VacantMs)
			b.slowStart.Begin(b.now(), duty.VacantMs)
		}
	}
	for _, duty := range output.Vacant {
		if duty.Duty == dutyQuota {
			b.allocator.Vacant(duty.VacantMs)
			b.slowStart.Vacant(duty.VacantMs)
		}
	}
	for _, duty := range output.Lost {
		b.counters.DutiesLost++
		b.applySheddingDuty(duty.Duty, duty.Term, false)
		b.log.Info().Str("duty", duty.Duty).Uint64("term", duty.Term).Msg("duty lost")
	}
}

// sendElectionMessages sends the messages of an election step. The lock is not held.
func (b *Bothy) sendElectionMessages(output election.Out) {
	for _, message := range output.Send {
		b.mu.Lock()
		peer := b.peers[message.To]
		b.mu.Unlock()
		if peer != nil {
			_ = rpc.Tell(peer, message)
		}
	}
}

// handleElectionMessage handles an election message of another registry.
func (b *Bothy) handleElectionMessage(_ context.Context, message election.Message) (waymark.AskStatus, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return waymark.AskStatus{}, nil
	}
	output := b.election.Step(b.now(), election.Event{Kind: election.Heard, Message: message})
	b.applyDutyChanges(output)
	b.mu.Unlock()
	b.sendElectionMessages(output)
	return waymark.AskStatus{}, nil
}

// handleStatus returns the lines that the command status prints.
func (b *Bothy) handleStatus(context.Context, waymark.AskStatus) (waymark.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var status waymark.Status
	addLine := func(format string, args ...any) { status.Lines = append(status.Lines, fmt.Sprintf(format, args...)) }
	addLine("station %s", b.settings.Station)
	addLine("view %d chain %v core %v", b.view.No, b.view.Chain, b.view.Core)
	addLine("edition %s change %d", timetable.FormatEdition(b.committed.Edition), b.committed.Last.Seq)
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
		addLine("member %s zone %s at %s ready %t leaving %t", member.Station, member.Zone, member.Counter, member.Ready, member.Leaving)
	}
	return status, nil
}

// resolve returns the gatekeepers' addresses for clients of a zone.
func (b *Bothy) resolve(region, zone string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.Resolves++
	return membership.Resolve(b.now(), b.sessions.Members(b.now()), region, zone, maxResolvedAddresses)
}
