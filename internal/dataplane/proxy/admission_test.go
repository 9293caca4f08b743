package proxy

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/slowstart"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// inZone returns the worker, moved to a zone.
func inZone(zone string, w api.Worker) api.Worker {
	w.Zone = zone
	return w
}

// TestAllowedRegions: a request reaches only workers in a region that both its route and its tenant allow.
func TestAllowedRegions(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	proxy.receive(fullList(1, inZone("a1", startWorker(t, "w-a1", "a", replyWorkerID, nil)), inZone("a2", startWorker(t, "w-a2", "a", replyWorkerID, nil)),
		inZone("b1", startWorker(t, "w-b1", "a", replyWorkerID, nil)), inZone("b1", startWorker(t, "w-only-b", "only-b", replyWorkerID, nil))),
		newConfig(t, 1, []routeSpec{
			{prefix: "/any/", destination: "a", target: 1},
			{prefix: "/a/", destination: "a", target: 1, regions: []string{"a"}},
			{prefix: "/b/", destination: "a", target: 1, regions: []string{"b"}},
			{prefix: "/ab/", destination: "a", target: 1, regions: []string{"a", "b"}},
			{prefix: "/c/", destination: "a", target: 1, regions: []string{"c"}},
			{prefix: "/far/", destination: "only-b", target: 1, regions: []string{"a"}},
		}, tenantSpec{name: "free"}, tenantSpec{name: "a", regions: []string{"a"}}, tenantSpec{name: "b", regions: []string{"b"}}, tenantSpec{name: "bc", regions: []string{"b", "c"}}))
	for _, test := range []struct{ path, key, want string }{
		{"/any/", "free", "w-"},
		{"/a/", "free", "w-a"},
		{"/b/", "free", "w-b"},
		{"/any/", "a", "w-a"},
		{"/any/", "b", "w-b"},
		{"/ab/", "b", "w-b"},
		{"/ab/", "bc", "w-b"},
		{"/b/", "bc", "w-b"},
		{"/a/", "b", ""}, // disjoint
		{"/a/", "bc", ""},
		{"/c/", "a", ""},
		{"/c/", "free", ""}, // no worker in that region
		{"/far/", "free", ""},
		{"/far/", "a", ""},
	} {
		for range 6 {
			res, body := proxy.do("GET", test.path, "Authorization: Bearer k-"+test.key+"\r\n", "")
			if test.want == "" {
				assert.Equal(t, res.StatusCode, 503, "%v", test)
				checkRetryAfter(t, res)
				break
			}
			assert.Equal(t, res.StatusCode, 200, "%v", test)
			assert.Assert(t, strings.HasPrefix(body, test.want), "%v ran on %s", test, body)
		}
	}
}

// TestExcludedWorkersGetNoRequests: workers of an evacuated zone, closing workers and removed ones get no requests
// once that is in force, and get them again once it is revoked.
func TestExcludedWorkersGetNoRequests(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	near, far := startWorker(t, "w-a1", "a", replyWorkerID, nil), inZone("b1", startWorker(t, "w-b1", "a", replyWorkerID, nil))
	closingNear, closingFar := near, far // otherwise the near one would be preferred anyway
	closingNear.Draining, closingFar.Draining = true, true
	removedFar := far
	removedFar.Removed = true
	checkWorkers := func(want ...string) {
		t.Helper()
		for range 12 {
			res, body := proxy.do("GET", "/", "", "")
			if want == nil {
				assert.Equal(t, res.StatusCode, 503)
				break
			}
			assert.Equal(t, res.StatusCode, 200)
			assert.Assert(t, strings.Contains(strings.Join(want, " "), body), body)
		}
	}
	proxy.receive(fullList(1, near, far), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", target: 1}}))
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 5, Evacuated: []string{"a1"}}, nil)
	checkWorkers("w-b1")
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 6, Evacuated: []string{"a1", "b1"}}, nil)
	checkWorkers()
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 5, Evacuated: []string{"a1"}}, nil) // an older list, from another registry
	checkWorkers()
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 7}, nil)
	checkWorkers("w-a1", "w-b1")
	proxy.receive(listChanges(2, closingNear), nil)
	checkWorkers("w-b1")
	proxy.receive(fullList(1, near, far), nil) // an older list of workers
	checkWorkers("w-b1")
	proxy.receive(listChanges(3, near, closingFar), nil)
	checkWorkers("w-a1")
	proxy.receive(listChanges(4, removedFar), nil)
	checkWorkers("w-a1")
	proxy.receive(fullList(5, far), nil)
	checkWorkers("w-b1")
}

// TestOlderConfigurationIsIgnored checks that an older configuration is not put into force, whichever registry sends
// it.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	proxy := newTestProxy(t)
	a, b := startWorker(t, "w-a", "a", replyWorkerID, nil), startWorker(t, "w-b", "b", replyWorkerID, nil)
	proxy.receive(fullList(9, a, b), newConfig(t, 5, []routeSpec{{prefix: "/", destination: "a"}}))
	for _, edition := range []uint64{4, 5} {
		proxy.receive(api.SessionResponse{}, newConfig(t, edition, []routeSpec{{prefix: "/", destination: "b"}}))
		_, body := proxy.do("GET", "/", "", "")
		assert.Equal(t, body, "w-a")
	}
	proxy.receive(api.SessionResponse{}, newConfig(t, 6, []routeSpec{{prefix: "/", destination: "b"}}))
	_, body := proxy.do("GET", "/", "", "")
	assert.Equal(t, body, "w-b")
}

// TestKeyLease: if revocations are final, keys are accepted only under a lease, which counts from when the tail was
// asked. Without a lease the answer is 503, as 401 would tell the client not to retry.
func TestKeyLease(t *testing.T) {
	const maxLeaseMs = 60000 - keyLeaseMarginMs // milliseconds, from revokeS in the settings
	for _, test := range []struct {
		name     string
		final    bool
		askedAgo float64 // milliseconds since the request to the registry
		answer   api.SessionResponse
		leaseMs  float64 // end of the lease, in milliseconds from the request; 0 for no lease
	}{
		{"fresh", true, 0, api.SessionResponse{}, maxLeaseMs},
		{"the tail was asked before the request", true, 0, api.SessionResponse{AsOf: -20000}, maxLeaseMs - 20000},
		{"the tail was asked after the request", true, 10000, api.SessionResponse{AsOf: 400}, maxLeaseMs + 400},
		{"asked long ago", true, 61000, api.SessionResponse{}, maxLeaseMs},
		{"the tail was asked long ago", true, 0, api.SessionResponse{AsOf: -61000}, maxLeaseMs - 61000},
		{"stale", true, 0, api.SessionResponse{Stale: true}, 0},
		{"a configuration that is not here", true, 0, api.SessionResponse{ConfigVersion: 2}, 0},
		{"not final", false, 0, api.SessionResponse{Stale: true}, 0},
	} {
		proxy := newTestProxy(t, map[bool]string{true: "revocationFinal=true", false: "revocationFinal=false"}[test.final])
		proxy.receive(stale(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil))),
			newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}, {prefix: "/open/", destination: "a", withoutKey: true}}, tenantSpec{name: "ana"}))
		if test.answer.ConfigVersion == 0 {
			test.answer.ConfigVersion = 1
		}
		proxy.runOnLoop(func() {
			askedAt := proxy.clock.Now() - test.askedAgo
			proxy.apply(&test.answer, askedAt)
			if test.leaseMs == 0 {
				assert.Check(t, proxy.keysValidUntil == 0, test.name)
			} else {
				assert.Check(t, proxy.keysValidUntil == askedAt+test.leaseMs, test.name)
			}
		})
		accepted := !test.final || test.leaseMs-test.askedAgo > 0
		res, _ := proxy.do("GET", "/", "Authorization: Bearer k-ana\r\n", "")
		if accepted {
			assert.Equal(t, res.StatusCode, 200, test.name)
		} else {
			assert.Equal(t, res.StatusCode, 503, test.name)
			checkRetryAfter(t, res)
		}
		res, _ = proxy.do("GET", "/open/", "", "")
		assert.Equal(t, res.StatusCode, 200, "status of a request without a key on an open route")
	}
}

// TestStaleAnswerKeepsLease checks that a stale or older answer neither extends nor shortens the lease.
func TestStaleAnswerKeepsLease(t *testing.T) {
	proxy := newTestProxy(t, "revocationFinal=true")
	proxy.receive(api.SessionResponse{}, newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: "ana"}))
	proxy.runOnLoop(func() {
		held := proxy.keysValidUntil
		now := proxy.clock.Now()
		proxy.apply(&api.SessionResponse{Stale: true, ConfigVersion: 1}, now+5000)
		assert.Check(t, proxy.keysValidUntil == held)
		proxy.apply(&api.SessionResponse{ConfigVersion: 1, AsOf: -9000}, now)
		assert.Check(t, proxy.keysValidUntil == held, "an older answer must not shorten the lease")
		proxy.apply(&api.SessionResponse{ConfigVersion: 1}, now+5000)
		assert.Check(t, proxy.keysValidUntil > held)
	})
}

// setTokens gives the proxy tokens of a tenant's quota, valid for a minute.
func (s *testProxy) setTokens(name string, tokens float64) {
	s.runOnLoop(func() {
		now := s.micros()
		s.tenants.SetAllotments(now, map[string]policy.TenantAllotment{name: {Rate: 0.001, Burst: tokens, Minimum: 0.001, MinimumBurst: tokens, Tokens: tokens}}, now+60e6)
	})
}

// TestQuota: a tenant with a quota gets nothing before the first slices and then what its slice holds. Refusals tell
// when to retry.
func TestQuota(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 99)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: "ana", rate: 50}, tenantSpec{name: "luz"}))
	ask := func(key string) int {
		res, _ := proxy.do("GET", "/", "Authorization: Bearer k-"+key+"\r\n", "")
		if res.StatusCode != 200 {
			checkRetryAfter(t, res)
		}
		return res.StatusCode
	}
	assert.Equal(t, ask("ana"), 429)
	assert.Equal(t, ask("luz"), 200, "status for a tenant without a quota")
	proxy.setTokens("ana", 3)
	for i := range 6 {
		want := 200
		if i >= 3 {
			want = 429
		}
		assert.Equal(t, ask("ana"), want)
	}
	assert.Equal(t, len(received), 4)
}

// TestTokenReturnedOnlyIfNotRun: a token is returned only if its request certainly never ran. A safe request that ran
// and failed has used its token; otherwise a tenant could exceed its quota.
func TestTokenReturnedOnlyIfNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		do       workerScript
		returned float64
	}{
		"refused": {reply(503, notDeliveredLine, ""), 1},
		"ran":     {reply(500, postmarkLine, ""), 0},
		"closed":  {closeConn, 0},
	} {
		proxy := newTestProxy(t)
		proxy.receive(fullList(1, startWorker(t, "w", "a", test.do, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", target: 1, attempts: 1}}, tenantSpec{name: "ana", rate: 50}))
		proxy.setTokens("ana", 1)
		res, _ := proxy.do("GET", "/", "Authorization: Bearer k-ana\r\n", "")
		assert.Assert(t, res.StatusCode >= 500, name)
		proxy.runOnLoop(func() {
			held, _ := proxy.tenants.Holdings(proxy.micros())
			left := held["ana"].Tokens
			assert.Check(t, left >= test.returned && left < test.returned+1, "%s: %v tokens left", name, left)
		})
	}
}

// TestDuplicateAttemptReturnsToken: an attempt whose id is already open is refused and never runs, so its token is
// returned, whichever bucket it came from.
func TestDuplicateAttemptReturnsToken(t *testing.T) {
	for _, test := range []struct {
		name         string
		local, spare float64 // tokens in the local bucket, and spare tokens of the owner
		granted      int     // tokens that the owner grants
	}{
		{"the local bucket", 2, 0, 0},
		{"the owner", 0, 0, 2},
		{"spare tokens of the owner", 0, 2, 0},
	} {
		proxy := newTestProxy(t)
		received, release := make(chan *workerRequest, 9), make(chan bool, 9)
		slow := func(count int, r *workerRequest) bool {
			received <- r
			<-release
			return replyWorkerID(count, r)
		}
		tokensLeft := make(chan int, 1)
		tokensLeft <- test.granted
		owner := newTestProxy(t).serveTokens(func(_ context.Context, q api.TokenRequest) (api.TokenResponse, error) {
			count := <-tokensLeft
			granted := min(count, q.Wanted["ana"])
			tokensLeft <- count - granted
			return api.TokenResponse{Granted: map[string]int{"ana": granted}, WaitMS: map[string]float64{"ana": 1}}, nil
		})
		proxy.receive(fullList(1, startWorker(t, "w", "a", slow, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: "ana", rate: 2}))
		if test.local == 0 {
			proxy.runOnLoop(func() {
				proxy.membership.Checksum, proxy.memberCount = 1, 3
				proxy.smallQuotas["ana"] = &smallQuota{mark: 1, owners: [2]string{owner, owner}, spare: int(test.spare)}
			})
		}
		proxy.setTokens("ana", test.local)
		const key = "Authorization: Bearer k-ana\r\n"
		text := newRequest("GET", "/", key, "")
		first := proxy.dial().send(text)
		await(t, received)
		for range 3 { // each takes the token that the one before returned
			res, _ := proxy.dial().send(text).readResponse()
			assert.Equal(t, res.StatusCode, 409, test.name)
			assert.Assert(t, res.Close)
		}
		second := proxy.dial().send(newRequest("GET", "/", key, ""))
		await(t, received)
		res, _ := proxy.do("GET", "/", key, "")
		assert.Equal(t, res.StatusCode, 429, "%s: status after all tokens are used", test.name)
		release <- true
		release <- true
		for _, k := range []*testClient{first, second} {
			res, _ := k.readResponse()
			assert.Equal(t, res.StatusCode, 200, test.name)
		}
		assert.Equal(t, len(received), 0, test.name)
	}
}

// serveTokens serves token requests to the proxy at an address of its own, which becomes the proxy's inner address.
func (s *testProxy) serveTokens(do func(context.Context, api.TokenRequest) (api.TokenResponse, error)) string {
	s.t.Helper()
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(s.t, err)
	server := rpc.NewServer()
	rpc.Handle(server, do)
	go func() { _ = server.Serve(ln) }()
	s.t.Cleanup(server.Close)
	port := ln.Addr().(*net.TCPAddr).Port
	s.settings.InnerPorts = []int{port, port + 1}
	return ln.Addr().String()
}

// TestSmallQuotaUsesOwners: a gatekeeper asks the first owner, the second if the first does not answer, and uses its
// own minimum if neither answers. A token that an owner grants is taken from the owner's bucket once.
func TestSmallQuotaUsesOwners(t *testing.T) {
	for _, test := range []struct {
		name         string
		first, other float64 // tokens at the owners; below 0 the owner has no lease
		silent       bool    // neither owner answers
		own          float64
		served       int // of three requests
	}{
		{"the owner has tokens", 2, 5, false, 0, 2},
		{"the first owner has no lease, the second has", -1, 2, false, 0, 2},
		{"local tokens are used first", 1, 5, false, 1, 2},
		{"local tokens are used first, then those of the second owner", -1, 1, false, 1, 2},
		{"no owner has a lease", -1, -1, false, 1, 1},
		{"there are no tokens", -1, -1, false, 0, 0},
		{"neither owner answers", 5, 5, true, 2, 2},
	} {
		proxy := newTestProxy(t)
		received := make(chan *workerRequest, 9)
		ownAddr := proxy.serveTokens(proxy.grantTokens)
		var peers []string
		byAddr := map[string]*testProxy{}
		for range 2 {
			owner := newTestProxy(t)
			answer := owner.grantTokens
			if test.silent {
				proxy.tokenTimeout = 50 * time.Millisecond
				answer = func(ctx context.Context, _ api.TokenRequest) (api.TokenResponse, error) {
					<-ctx.Done()
					return api.TokenResponse{}, ctx.Err()
				}
			}
			addr := owner.serveTokens(answer)
			peers = append(peers, addr)
			byAddr[addr] = owner
		}
		// Find a tenant both of whose owners are the other gatekeepers.
		membership := &api.MemberView{Checksum: 1, MemberIndex: 0, MemberCount: 3, Peers: peers}
		tenant := ""
		var owners [2]string
		proxy.runOnLoop(func() {
			proxy.membership = *membership
			for _, candidate := range strings.Split("a b c d e f g h i j k l m n o p q r s t u v w x y z aa bb cc dd ee ff gg hh", " ") {
				if owners = proxy.ownersOf(candidate); owners[0] != ownAddr && owners[1] != ownAddr {
					tenant = candidate
					break
				}
			}
		})
		assert.Assert(t, tenant != "")
		routes := []routeSpec{{prefix: "/", destination: "a"}}
		proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, received)), newConfig(t, 1, routes, tenantSpec{name: tenant, rate: 2}))
		proxy.receive(api.SessionResponse{Members: membership}, nil)
		proxy.setTokens(tenant, test.own)
		for i, tokens := range []float64{test.first, test.other} {
			owner := byAddr[owners[i]]
			owner.receive(api.SessionResponse{Members: membership}, newConfig(t, 1, routes, tenantSpec{name: tenant, rate: 2}))
			if tokens >= 0 {
				owner.setTokens(tenant, tokens)
			}
		}
		servedCount := 0
		for range 3 {
			res, _ := proxy.do("GET", "/", "Authorization: Bearer k-"+tenant+"\r\n", "")
			if res.StatusCode == 200 {
				servedCount++
				continue
			}
			assert.Equal(t, res.StatusCode, 429, test.name)
			checkRetryAfter(t, res)
		}
		assert.Equal(t, servedCount, test.served, test.name)
		assert.Equal(t, len(received), test.served, test.name)
	}
}

// TestOwnerDelayCountsTowardsDeadline: the time left that a worker is told is reduced by the time that the owner took
// to answer.
func TestOwnerDelayCountsTowardsDeadline(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 1)
	took := make(chan time.Duration, 1)
	owner := newTestProxy(t).serveTokens(func(context.Context, api.TokenRequest) (api.TokenResponse, error) {
		began := time.Now()
		<-time.After(50 * time.Millisecond) // slow to answer
		took <- time.Since(began)
		return api.TokenResponse{Granted: map[string]int{"ana": 1}}, nil
	})
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: "ana", rate: 2}))
	proxy.runOnLoop(func() {
		proxy.membership.Checksum, proxy.memberCount = 1, 3
		proxy.smallQuotas["ana"] = &smallQuota{mark: 1, owners: [2]string{owner, owner}}
	})
	res, _ := proxy.do("GET", "/", "Authorization: Bearer k-ana\r\nX-Foxwood-Time-Left: 9000\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	timeLeft, err := strconv.Atoi(await(t, received).Header.Get(headerTimeLeft))
	assert.NilError(t, err)
	assert.Assert(t, timeLeft <= 9000-int((<-took).Milliseconds()), "the worker is told that %d ms are left", timeLeft)
}

// TestMinimumsNeedKnownMembers: after a failed allocation the minimums are used only if the members were completely
// known at some time; otherwise too many gatekeepers could use them. The start burst is given once per incarnation.
func TestMinimumsNeedKnownMembers(t *testing.T) {
	proxy := newTestProxy(t)
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	answers := make(chan error, 9)
	slices := map[string]quota.Allocation{"ana": {Rate: 1, Burst: 9, Minimum: 1, MinimumBurst: 9, Tokens: 9, StartBurst: 4}}
	rpc.Handle(server, func(context.Context, api.AllocationRequest) (api.AllocationResponse, error) {
		return api.AllocationResponse{Slices: api.EncodeSlices(slices), LeaseMS: 60000}, <-answers
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	config := newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: "ana", rate: 50})
	held := func() (slice policy.TenantAllotment) {
		proxy.runOnLoop(func() {
			holding, _ := proxy.tenants.Holdings(proxy.micros())
			slice = holding["ana"]
		})
		return slice
	}
	failed := rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	allocate := func(a error) {
		answers <- a
		proxy.allocate(context.Background())
	}
	proxy.receive(api.SessionResponse{}, config)
	proxy.allocate(context.Background()) // there is no registry to ask
	proxy.runOnLoop(func() { proxy.registry = rpc.NewPeer(listener.Addr().String()) })
	allocate(failed)
	assert.Equal(t, held().Minimum, 0.0, "minimum while the members are not known")
	proxy.receive(api.SessionResponse{Members: &api.MemberView{Checksum: 1, MemberIndex: 1, MemberCount: 3}}, nil)
	allocate(failed)
	assert.Equal(t, held().Minimum, 0.0, "minimum while the members are not known")
	proxy.runOnLoop(func() { assert.Check(t, !proxy.startBurstTaken) })
	proxy.receive(api.SessionResponse{Settled: true}, nil)
	allocate(failed)
	floor := held().Minimum
	assert.Assert(t, floor > 0 && floor <= 50.0/3+1, "%v", floor)
	proxy.runOnLoop(func() { assert.Check(t, proxy.startBurstTaken) })
	allocate(nil)
	assert.Assert(t, held().Rate == 1 && proxy.hasSlices)
	allocate(failed)
	assert.Equal(t, held().Rate, 1.0, "an allotted slice is not replaced by a minimum")
}

// TestStartBurstOncePerIncarnation checks the start bursts that an allocator gives and those that go with minimums.
// There is none with the minimums if that of the previous incarnation may still count.
func TestStartBurstOncePerIncarnation(t *testing.T) {
	proxy := newTestProxy(t)
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	var slices map[string]quota.Allocation
	rpc.Handle(server, func(context.Context, api.AllocationRequest) (api.AllocationResponse, error) {
		if slices == nil {
			return api.AllocationResponse{}, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
		}
		return api.AllocationResponse{Slices: api.EncodeSlices(slices), LeaseMS: 60000}, nil
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	proxy.receive(api.SessionResponse{Settled: true, RestartedRecently: true, Members: &api.MemberView{Checksum: 1, MemberCount: 3}},
		newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: "ana", rate: 50}))
	proxy.runOnLoop(func() {
		proxy.registry = rpc.NewPeer(listener.Addr().String())
		assert.Check(t, proxy.earlierBurstCounts)
	})
	// spendable requests an allocation and returns how many tokens can be spent beyond those that the minimum has
	// accrued.
	spendable := func() (n int) {
		proxy.runOnLoop(func() { proxy.clock.Set(proxy.clock.Now()) })
		proxy.allocate(context.Background())
		proxy.runOnLoop(func() {
			held, _ := proxy.tenants.Holdings(proxy.micros())
			for proxy.tenants.TryTake(proxy.micros(), "ana") {
				n++
			}
			n -= int(held["ana"].Tokens)
		})
		return n
	}
	assert.Equal(t, spendable(), 0, "tokens while the start burst of the previous incarnation may count")
	proxy.runOnLoop(func() { proxy.earlierBurstCounts, proxy.startBurstTaken = false, false })
	assert.Assert(t, spendable() > 0)
	assert.Equal(t, spendable(), 0)
	slices = map[string]quota.Allocation{"ana": {StartBurst: 4}}
	assert.Equal(t, spendable(), 0, "tokens after the start burst of the minimums was taken")
	proxy.runOnLoop(func() { proxy.startBurstTaken = false })
	assert.Equal(t, spendable(), 4)
	assert.Equal(t, spendable(), 0)
}

// TestSplitFollowsWeights checks that requests are split by weight, and that a weight of 0 gets none.
func TestSplitFollowsWeights(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.receive(api.SessionResponse{}, newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}, {prefix: "/b/", destination: "b"}, {prefix: "/c/", destination: "c"}}))
	route := &routeconfig.Route{Split: []routeconfig.Share{{Destination: "c"}, {Destination: "a", Weight: 3}, {Destination: "b", Weight: 1}}}
	const total = 8000
	requests := map[string]int{}
	proxy.runOnLoop(func() {
		for range total {
			requests[proxy.destination(route).name]++
		}
	})
	assert.Equal(t, requests["c"], 0)
	// Ten standard deviations: sqrt(8000 * 3/4 * 1/4) is 39.
	assert.Assert(t, requests["b"] > total/4-390 && requests["b"] < total/4+390, "%v", requests)
}

// TestColdWorkerBudgetIsShared checks that the budget of a cold worker is divided among all gatekeepers.
func TestColdWorkerBudgetIsShared(t *testing.T) {
	proxy := newTestProxy(t, "coldExcess=1.5", "coldSlack=5")
	proxy.receive(api.SessionResponse{}, newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.runOnLoop(func() {
		pool := proxy.pools["a"]
		pool.config.SlowStartPerS = 10
		assert.Check(t, pool.coldSends(7, true) == 0, "no share was granted")
		proxy.memberIndex, proxy.memberCount = 0, 1
		assert.Check(t, pool.coldSends(7, true) == 0, "the member list alone must not grant a share")
		now, sum := proxy.clock.Now(), 0
		for index := range 6 {
			proxy.slowStart.Renew(slowstart.Grant{Current: slowstart.Share{Index: index, Count: 6}}, now, 60_000)
			sum += pool.coldSends(7, true)
		}
		assert.Check(t, sum > 0 && sum <= 20, "%d requests a second, of at most 20", sum)
		proxy.slowStart.Renew(slowstart.Grant{Current: slowstart.Share{Count: 1}}, now-60_000, 60_000)
		assert.Check(t, pool.coldSends(7, true) == 0, "the lease has expired")
	})
}

// TestOutOfTouchGatekeeperLimitsRequests: gatekeepers that are out of touch stay, together with those that hold
// leases, within the budget of a cold worker.
func TestOutOfTouchGatekeeperLimitsRequests(t *testing.T) {
	proxy := newTestProxy(t, "coldExcess=1.5", "coldSlack=5")
	proxy.receive(api.SessionResponse{}, newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.runOnLoop(func() {
		pool := proxy.pools["a"]
		pool.config.SlowStartPerS = 10
		now := proxy.clock.Now()
		proxy.memberIndex, proxy.memberCount = 0, 6
		proxy.tailStateAt = now
		assert.Check(t, pool.coldSends(7, false) < 0, "no limit is expected while in touch")
		proxy.tailStateAt = now - outOfTouchMs - 60_000
		sum := 0
		for index := range 6 {
			proxy.slowStart.Renew(slowstart.Grant{Current: slowstart.Share{Index: index, Count: 6}}, now-60_000, 1000)
			sum += pool.coldSends(7, false)
			assert.Check(t, pool.coldSends(7, true) == 0)
		}
		leased := 0
		for index := range 6 {
			proxy.slowStart.Renew(slowstart.Grant{Current: slowstart.Share{Index: index, Count: 6}}, now, 60_000)
			leased += pool.coldSends(7, true)
		}
		assert.Check(t, sum > 0 && leased > 0 && sum+leased <= 20, "%d and %d requests a second, of at most 20 together", sum, leased)
		proxy.slowStart = slowstart.Lease{}
		assert.Check(t, pool.coldSends(7, false) > 0, "a share from the member list is expected")
		proxy.memberCount = 1
		assert.Check(t, pool.coldSends(7, false) < 0, "no limit is expected for a single gatekeeper")
	})
}

// TestWorkersAreColdAfterEvacuationEnds: workers of a zone whose evacuation was revoked are treated as cold, since
// the list may not say yet that they are.
func TestWorkersAreColdAfterEvacuationEnds(t *testing.T) {
	proxy := newTestProxy(t, "coldExcess=1.5", "coldSlack=5")
	zoned := func(id, zone string) api.Worker {
		return api.Worker{ID: id, Destination: "a", Addr: id + ":80", Zone: zone, Slots: 2}
	}
	proxy.receive(fullList(1, zoned("i-1", "a1"), zoned("i-2", "a2")), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	cold := func(id string) (ms float64) {
		proxy.runOnLoop(func() {
			pool := proxy.pools["a"]
			pool.config.SlowStartPerS, pool.config.SlowStartS = 10, 3
			ms = float64(pool.coldUntil(proxy.workers[id]))/1000 - proxy.clock.Now()
		})
		return ms
	}
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 5, Evacuated: []string{"a1"}}, nil)
	assert.Assert(t, cold("i-1") <= 0)
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 6}, nil)
	assert.Assert(t, cold("i-1") > 0 && cold("i-1") <= 3000, "%v ms", cold("i-1"))
	assert.Assert(t, cold("i-2") <= 0, "its zone was never evacuated")
	proxy.receive(listChanges(2, zoned("i-1", "a1")), nil)
	assert.Assert(t, cold("i-1") > 0, "a list without cold times must not end it")
	proxy.runOnLoop(func() { proxy.evacuationRevokedAt["a1"] -= 3000 })
	assert.Assert(t, cold("i-1") <= 0, "the cold time has passed")
	proxy.receive(api.SessionResponse{HasEvacuated: true, EvacuationNumber: 9, RevokedEvacuations: []string{"a2"}}, nil)
	assert.Assert(t, cold("i-2") > 0, "evacuated and revoked without this gatekeeper having heard of it")
}
