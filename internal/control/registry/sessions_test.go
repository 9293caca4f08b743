package registry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/election"
	"foxwood/internal/control/membership"
	"foxwood/internal/control/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// confirmState makes the configuration store confirm a state, and the registry read it.
func (r *testRegistry) confirmState(c api.CommittedStateResponse, err error) {
	r.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) { return c, err }
	r.confirmWithTail(r.t.Context())
}

// committedState returns a state with the test configuration and the given evacuated zones.
func committedState(seq, edition uint64, zones ...string) *chain.State {
	state := &chain.State{Last: chain.LogPosition{Seq: seq, View: 1}, Edition: edition, Body: []byte(configuration), Evacuated: map[string]uint64{}}
	for _, zone := range zones {
		state.Evacuated[zone] = seq
	}
	return state
}

// heartbeat returns the immediate answer to a gatekeeper's heartbeat.
func (r *testRegistry) heartbeat(message api.SessionRequest) api.SessionResponse {
	r.t.Helper()
	message.Member = membership.Member{Node: "p", Zone: "a1", Region: "a", Incarnation: 1, Sequence: uint64(r.now() * 1e3), PeerAddr: "10.0.0.1:7460", Ready: true}
	answer, err := r.handleHeartbeat(r.t.Context(), message)
	assert.NilError(r.t, err)
	return answer
}

// TestAsOfCountsFromRequest: AsOf counts from when the tail was asked, not from its answer, and a
// failed request does not renew it. The leases of keys rely on that.
func TestAsOfCountsFromRequest(t *testing.T) {
	registry := newTestRegistry(t)
	answer := registry.heartbeat(api.SessionRequest{})
	assert.Assert(t, answer.Stale, "before the tail's first answer")

	const slowMs = 5000.0 // how long the tail takes to answer, and the clock's step below: longer than any stall of a test machine
	registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		registry.advance(slowMs)
		return api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}, State: committedState(1, 12)}, nil
	}
	registry.confirmWithTail(t.Context())
	answer = registry.heartbeat(api.SessionRequest{})
	assert.Assert(t, answer.AsOf <= -slowMs, "%v: AsOf must count from the request", answer.AsOf)
	assert.Assert(t, answer.Stale, "an answer that old is stale")
	assert.Equal(t, answer.ConfigVersion, uint64(12), "an old answer still brings new data")

	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}}, nil)
	answer = registry.heartbeat(api.SessionRequest{})
	assert.Assert(t, answer.AsOf <= 0 && answer.AsOf > -slowMs, "%v", answer.AsOf)
	registry.advance(slowMs)
	registry.confirmState(api.CommittedStateResponse{}, rpc.Errorf(rpc.Unavailable, "no tail"))
	answer = registry.heartbeat(api.SessionRequest{})
	assert.Assert(t, answer.Stale && answer.AsOf <= -slowMs, "%v: a failed request must not renew AsOf", answer.AsOf)
	assert.Equal(t, registry.counters.TailReadsFailed, uint64(1))

	// An answer that names a newer state without containing it confirms nothing that this registry
	// could pass on.
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 2}}, nil)
	assert.Assert(t, registry.heartbeat(api.SessionRequest{}).Stale)

	// The tail was asked after the heartbeat arrived: AsOf is positive.
	registry.mu.Lock()
	registry.tailConfirmedAt = registry.now()
	answer, _ = registry.heartbeatAnswer(api.SessionRequest{}, registry.tailConfirmedAt-300)
	registry.mu.Unlock()
	assert.Assert(t, answer.AsOf > 299.9 && answer.AsOf < 300.1, "%v", answer.AsOf)
}

// TestRecalledState: state recalled from the disk is passed on, as stale, only if nothing else is
// known.
func TestRecalledState(t *testing.T) {
	registry := newTestRegistry(t)
	registry.confirmState(api.CommittedStateResponse{Stale: true}, nil) // nothing is stored on the disk
	registry.confirmState(api.CommittedStateResponse{Stale: true, State: committedState(5, 12, "a1")}, nil)
	answer := registry.heartbeat(api.SessionRequest{})
	assert.Assert(t, answer.Stale)
	assert.Equal(t, answer.ConfigVersion, uint64(12))
	assert.DeepEqual(t, answer.Evacuated, []string{"a1"})
	registry.confirmState(api.CommittedStateResponse{Stale: true, State: committedState(9, 13)}, nil)
	assert.Equal(t, registry.heartbeat(api.SessionRequest{}).ConfigVersion, uint64(12), "recalled state is ignored once something is known")
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 6}, State: committedState(6, 12)}, nil)
	answer = registry.heartbeat(api.SessionRequest{})
	assert.Equal(t, len(answer.Evacuated), 0)
	assert.Equal(t, answer.EvacuationNumber, uint64(6))
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 5}, State: committedState(5, 12, "a1")}, nil)
	assert.Equal(t, registry.heartbeat(api.SessionRequest{}).EvacuationNumber, uint64(6), "older state is ignored")
}

// TestHeartbeatAnswerContainsMissingData: a gatekeeper is sent what it lacks, and nothing that it
// holds.
func TestHeartbeatAnswerContainsMissingData(t *testing.T) {
	registry := newTestRegistry(t)
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 4}, State: committedState(4, 12, "a1")}, nil)
	registry.endpoints.applyPlatformList(0, 1, []api.Worker{worker("i-1")})
	version := registry.endpoints.version
	full := registry.heartbeat(api.SessionRequest{})
	body, err := api.Inflate(full.Config)
	assert.NilError(t, err)
	assert.Equal(t, string(body), configuration)
	for _, c := range []struct {
		name                string
		heartbeat           api.SessionRequest
		body, evac, workers bool
	}{
		{"everything", api.SessionRequest{}, true, true, true},
		{"an older configuration", api.SessionRequest{ConfigVersion: 11, EvacuationNumber: 4, EndpointsVersion: version}, true, false, false},
		{"older evacuations", api.SessionRequest{ConfigVersion: 12, EvacuationNumber: 3, EndpointsVersion: version}, false, true, false},
		{"an older roster", api.SessionRequest{ConfigVersion: 12, EvacuationNumber: 4, EndpointsVersion: version - 1}, false, false, true},
		{"nothing", api.SessionRequest{ConfigVersion: 12, EvacuationNumber: 4, EndpointsVersion: version}, false, false, false},
		{"newer data than the registry's", api.SessionRequest{ConfigVersion: 13, EvacuationNumber: 5, EndpointsVersion: version + 1}, false, false, false},
	} {
		answer := registry.heartbeat(c.heartbeat)
		assert.Equal(t, len(answer.Config) > 0, c.body, c.name)
		assert.Equal(t, answer.HasEvacuated, c.evac, c.name)
		assert.Equal(t, answer.EndpointChanges != nil, c.workers, c.name)
		assert.Equal(t, len(answer.Endpoints) > 0, c.workers, c.name)
		if c.workers {
			assert.Equal(t, answer.EndpointChanges.Version, version, c.name)
			assert.DeepEqual(t, answer.EndpointChanges.VersionsBehind, map[string]uint64{answer.Endpoints[0].Destination: 0})
			assert.Equal(t, answer.Endpoints[0].Version, version, c.name)
			assert.Equal(t, answer.Endpoints[0].Workers[0].ID, "i-1", c.name)
		}
		assert.Equal(t, answer.ConfigVersion, uint64(12), c.name)
	}
	assert.Assert(t, full.RegistriesChecksum != 0 && len(full.Registries) == 1)
	assert.Equal(t, full.Registries[0].Zone, "a1")
	assert.Assert(t, registry.heartbeat(api.SessionRequest{RegistriesChecksum: full.RegistriesChecksum}).Registries == nil)
}

// TestHeartbeatWaitsForUpdate: an update that comes during the wait is in the answer, or in that to
// the next heartbeat.
func TestHeartbeatWaitsForUpdate(t *testing.T) {
	registry := newTestRegistry(t)
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 4}, State: committedState(4, 12)}, nil)
	heartbeat := api.SessionRequest{ConfigVersion: 12, EvacuationNumber: 4, WaitMS: maxWaitMs, Member: membership.Member{Node: "p", Incarnation: 1}}
	answers := make(chan api.SessionResponse, 1)
	go func() {
		defer close(answers)
		for t.Context().Err() == nil {
			heartbeat.Member.Sequence++
			if answer, err := registry.handleHeartbeat(t.Context(), heartbeat); err == nil && answer.ConfigVersion == 13 {
				answers <- answer
				return
			}
		}
	}()
	for received := false; !received; {
		registry.mu.Lock()
		received = registry.counters.Heartbeats > 0
		registry.mu.Unlock()
	}
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 5}, State: committedState(5, 13)}, nil)
	answer := <-answers
	assert.Assert(t, len(answer.Config) > 0 && answer.HasEvacuated)
}

// TestPeerListWaitsForAllMembers: with too few members, gatekeepers would claim too large shares of
// a cold worker's capacity and of quotas.
func TestPeerListWaitsForAllMembers(t *testing.T) {
	const other = "127.0.0.2:7460"
	registry := newTestRegistry(t, "127.0.0.2:80")
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}, State: committedState(1, 12), View: &chain.View{Number: 1, Core: []chain.MachineID{{Addr: "127.0.0.1:7461"}, {Addr: "127.0.0.2:7461"}}}}, nil)
	registry.mu.Lock()
	registry.tailConfirmedAt = registry.now()
	heartbeat := api.SessionRequest{Member: membership.Member{Node: "p", Zone: "a1", Region: "a", Incarnation: 1, Sequence: 1, Ready: true}}
	registry.sessions.Heartbeat(registry.now(), heartbeat.Member)
	registry.sessions.Heartbeat(registry.now(), membership.Member{Node: "q", Zone: "a2", Region: "a", Incarnation: 2, Sequence: 1, PeerAddr: "10.0.0.2:7460", Ready: true})
	startedAt := registry.now()
	answerAt := func(receivedAt float64) api.SessionResponse { // by the test's own clock: registry.now() is at startedAt and goes on
		answer, _ := registry.heartbeatAnswer(heartbeat, receivedAt)
		return answer
	}
	registry.mu.Unlock()
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.now() < sessionTimeoutMs { // otherwise this machine stalled for over a second
		answer := answerAt(startedAt)
		assert.Assert(t, !answer.Settled && answer.Members == nil, "the other registry has not reported yet")
	}
	registry.sessions.Receive(registry.now(), membership.Report{From: other, Incarnation: 9, Sequence: 1})
	if registry.now() < memberListDelayMs {
		answer := answerAt(startedAt)
		assert.Assert(t, answer.Settled && answer.Members == nil, "the other registry may not know all members yet")
	}
	registry.start = registry.start.Add(-memberListDelayMs * 1e6)
	answer := answerAt(startedAt)
	assert.Assert(t, answer.Settled && answer.Members != nil)
	assert.Equal(t, answer.Members.MemberIndex, 0)
	assert.Equal(t, answer.Members.MemberCount, 2)
	assert.DeepEqual(t, answer.Members.Peers, []string{"10.0.0.2:7460"})
	heartbeat.MembersChecksum = answer.Members.Checksum
	assert.Assert(t, answerAt(startedAt).Members == nil, "the gatekeeper holds that list")
}

// TestAllocationRequestIsForwardedOnce: two registries that each take the other for the holder must
// not forward a request back and forth.
func TestAllocationRequestIsForwardedOnce(t *testing.T) {
	requests := make(chan api.AllocationRequest, 9)
	allocations := map[string]quota.Allocation{"ana": {Rate: 2, Burst: 4}}
	addr := serveRPC(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, request api.AllocationRequest) (api.AllocationResponse, error) {
			requests <- request
			return api.AllocationResponse{Slices: api.EncodeSlices(allocations), LeaseMS: 1300}, nil
		})
	})
	registry := newTestRegistry(t)
	request := api.AllocationRequest{Node: "p", Incarnation: 1, Sequence: 1}
	_, err := registry.handleQuotaRequest(t.Context(), request)
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "nobody has the duty")

	// The other registry announces that it holds the duty.
	announceHolder := func(from string) {
		registry.mu.Lock()
		defer registry.mu.Unlock()
		registry.election.Step(registry.now(), election.Event{Kind: election.Received, Message: election.Message{Kind: election.Announce, From: from, HeldDuties: []election.Tenure{{Duty: dutyQuota, Term: 3}}}})
	}
	registry.peers[addr] = rpc.NewPeer(addr)
	var answer api.AllocationResponse
	for deadline := time.Now().Add(testTimeout); err != nil && time.Now().Before(deadline); { // repeated, as the announcement expires if the machine stalls
		announceHolder(addr)
		answer, err = registry.handleQuotaRequest(t.Context(), request)
	}
	assert.NilError(t, err)
	assert.Equal(t, api.DecodeSlices(answer.Slices)["ana"].Rate, 2.0)
	for range len(requests) {
		assert.Assert(t, (<-requests).Forwarded)
	}
	announceHolder(addr)
	request.Forwarded = true
	_, err = registry.handleQuotaRequest(t.Context(), request)
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable)
	assert.Equal(t, len(requests), 0)
	announceHolder("10.9.9.9:1") // a holder that is not a known peer
	request.Forwarded = false
	_, err = registry.handleQuotaRequest(t.Context(), request)
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable)
}

// TestHolderAllocates: the holder of the duty allocates, and refuses a request that a later one has
// overtaken.
func TestHolderAllocates(t *testing.T) {
	registry := newTestRegistry(t)
	self := registry.settings.InnerAddress(registryPort)
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}, State: committedState(1, 12), View: &chain.View{Number: 1, Core: []chain.MachineID{{Addr: "127.0.0.1:7461"}}}}, nil)
	for holder := ""; holder != self; { // a sole voter wins in one of its own election steps
		registry.mu.Lock()
		registry.election.SetElectorate(registry.now(), registry.now(), []string{self}, 1, 0)
		registry.mu.Unlock()
		registry.stepElection(t.Context())
		registry.mu.Lock()
		holder = registry.election.Holder(registry.now(), dutyQuota)
		registry.mu.Unlock()
		registry.advance(20)
	}
	request := func(sequence uint64, forwarded bool) (api.AllocationResponse, error) {
		registry.mu.Lock()
		registry.election.SetElectorate(registry.now(), registry.now(), []string{self}, 1, 0)
		registry.mu.Unlock()
		registry.stepElection(t.Context()) // renews the duty just before the request
		return registry.handleQuotaRequest(t.Context(), api.AllocationRequest{Node: "p", Incarnation: 1, Sequence: sequence, Forwarded: forwarded})
	}
	requestOnce := request
	request = func(sequence uint64, forwarded bool) (answer api.AllocationResponse, err error) {
		for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); { // repeated, as the duty is lost if the machine stalls
			if answer, err = requestOnce(sequence, forwarded); rpc.KindOf(err) != rpc.Unavailable {
				break
			}
		}
		return answer, err
	}
	answer, err := request(2, true)
	assert.NilError(t, err)
	assert.Equal(t, answer.LeaseMS, allocationLeaseMs)
	_, err = request(2, false)
	assert.Equal(t, rpc.KindOf(err), rpc.Stale)
	_, err = request(1, false)
	assert.Equal(t, rpc.KindOf(err), rpc.Stale)
	_, err = request(3, false)
	assert.NilError(t, err)
	registry.shutDown()
	_, err = registry.handleQuotaRequest(t.Context(), api.AllocationRequest{Node: "p", Incarnation: 1, Sequence: 4})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "a registry that has shut down holds no duty")
}

// TestSilentPeerDelaysNoOther: while one peer does not answer, the others get a report in each
// round, and the silent one gets no second report.
func TestSilentPeerDelaysNoOther(t *testing.T) {
	received := make(chan string, 16)
	end := make(chan struct{})
	peer := func(name string, answers bool) string {
		return serveRPC(t, func(server *rpc.Server) {
			rpc.Handle(server, func(ctx context.Context, _ api.Gossip) (api.GossipResponse, error) {
				received <- name
				if !answers {
					<-end
				}
				return api.GossipResponse{}, nil
			})
		})
	}
	registry := newTestRegistry(t)
	for _, peer := range []*rpc.Peer{rpc.NewPeer(peer("silent", false)), rpc.NewPeer(peer("other", true))} {
		t.Cleanup(peer.Close)
		registry.peers[peer.Addr()] = peer
	}
	t.Cleanup(func() { close(end) })
	for range 3 {
		registry.gossip(t.Context())
	}
	counts := map[string]int{}
	for len(received) > 0 {
		counts[<-received]++
	}
	assert.Equal(t, counts["silent"], 1)
	assert.Equal(t, counts["other"], 3)
}

// TestEndedEvacuationsAreNamed: zones whose evacuation has ended are named once, also to a
// gatekeeper that never heard of the evacuation, but not to one that has just started.
func TestEndedEvacuationsAreNamed(t *testing.T) {
	registry := newTestRegistry(t)
	state := committedState(8, 12, "a1")
	state.LastZoneChange = map[string]chain.LogPosition{"a1": {Seq: 8, View: 1}, "a2": {Seq: 7, View: 1}, "a3": {Seq: 4, View: 1}}
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 8}, State: state}, nil)
	for heldVersion, want := range map[uint64][]string{0: nil, 3: {"a2", "a3"}, 5: {"a2"}, 7: nil} {
		answer := registry.heartbeat(api.SessionRequest{EvacuationNumber: heldVersion})
		assert.Assert(t, answer.HasEvacuated)
		assert.DeepEqual(t, answer.RevokedEvacuations, want)
		assert.DeepEqual(t, answer.Evacuated, []string{"a1"})
	}
}
