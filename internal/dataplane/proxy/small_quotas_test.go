package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// newSmallQuotaTest returns a proxy that knows the members of its region, and a tenant whose small quota is owned by the
// other two.
func newSmallQuotaTest(t *testing.T, answer func() (api.TokenResponse, error)) (proxy *testProxy, tenant string) {
	t.Helper()
	proxy = newTestProxy(t)
	var owners []string
	for range 2 {
		owners = append(owners, newTestProxy(t).serveTokens(func(context.Context, api.TokenRequest) (api.TokenResponse, error) { return answer() }))
	}
	ownAddr := proxy.serveTokens(proxy.grantTokens)
	membership := &api.MemberView{Checksum: 1, MemberCount: 30, Peers: owners}
	proxy.runOnLoop(func() {
		proxy.membership = *membership
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"} {
			if found := proxy.ownersOf(name); found[0] != ownAddr && found[1] != ownAddr {
				tenant = name
			}
		}
	})
	assert.Assert(t, tenant != "")
	proxy.receive(fullList(1), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: tenant, rate: 2}))
	proxy.receive(api.SessionResponse{Members: membership}, nil)
	return proxy, tenant
}

// TestOwnersWithoutLeaseCauseNoDemand guards against a permanent overload of the allocator. In a fleet of 270
// gatekeepers nearly all requests were refused as over quota, for good, after a short time without an allocator.
//
// The owners of small quotas had no lease and refused the other gatekeepers, which then used their own empty buckets.
// That counted as demand, so each gatekeeper requested slices for the hundred and more tenants that it had seen, and
// each of these quotas was divided among all gatekeepers. A new allocator took 5 ms for a request, lost the duty
// before it had answered 80 of the 270, and left the owners without a lease.
//
// Measured then: answers of 3,000 bytes to gatekeepers that own one or two small quotas, and the duty lost 0.67 s
// after each win, one lease without a renewal. Without demand from gatekeepers that are not owners the duty stayed
// with one registry.
func TestOwnersWithoutLeaseCauseNoDemand(t *testing.T) {
	proxy, tenant := newSmallQuotaTest(t, func() (api.TokenResponse, error) {
		return api.TokenResponse{}, rpc.Errorf(rpc.Unavailable, "no lease")
	})
	proxy.runOnLoop(func() { proxy.allocationRequest() }) // demand counts from the previous request on
	for range 5 {
		res, _ := proxy.do("GET", "/", "Authorization: Bearer k-"+tenant+"\r\n", "")
		assert.Equal(t, res.StatusCode, 429)
		checkRetryAfter(t, res)
	}
	proxy.runOnLoop(func() {
		request := proxy.allocationRequest()
		_, demanded := request.Demand[tenant]
		assert.Check(t, !demanded, "demand for a small quota that another gatekeeper owns: %v", request.Demand)
		assert.Equal(t, proxy.counts.OwnerUnreached, uint64(5))
	})
}

// TestFormerOwnerReturnsTokens: what a former owner holds is returned for the next owner, once the other gatekeepers
// have had time to learn of it. A process that is about to end returns it at once.
func TestFormerOwnerReturnsTokens(t *testing.T) {
	proxy, _ := newSmallQuotaTest(t, func() (api.TokenResponse, error) { return api.TokenResponse{}, nil })
	proxy.runOnLoop(func() {
		owned := ""
		for _, name := range []string{"n", "o", "p", "q", "r", "s", "t", "u", "v", "w", "x", "y", "z"} {
			if proxy.ownersOf(name)[0] == proxy.settings.InnerAddress(0) {
				owned = name
			}
		}
		assert.Assert(t, owned != "")
		proxy.enforce(newConfig(t, 2, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: owned, rate: 2}))
		proxy.allocationRequest()
		_, known := proxy.ownedSince[owned]
		assert.Assert(t, known)
		proxy.tenants.SetAllotments(proxy.micros(), map[string]policy.TenantAllotment{owned: {Rate: 1e-9, Burst: 4, Tokens: 3}}, proxy.micros()+1e9)
		proxy.draining = true
		request := proxy.allocationRequest()
		assert.Equal(t, request.Returned[owned], float32(3))
		assert.Equal(t, len(request.Holding[owned]), 7)
		assert.Equal(t, request.Holding[owned], api.EncodedSlice{})
		assert.Equal(t, len(proxy.allocationRequest().Returned), 0, "tokens are returned only once")
		assert.Assert(t, !proxy.tenants.TryTake(proxy.micros(), owned))
	})
}

// TestHeartbeatRetryDelayGrows: the first few retries are prompt, then the delay grows up to a bound. A good
// heartbeat resets it.
func TestHeartbeatRetryDelayGrows(t *testing.T) {
	proxy := newTestProxy(t)
	const first = 30 * time.Millisecond
	for n := range 40 {
		wait := proxy.retryDelay(first)
		switch {
		case n <= promptRetries:
			assert.Equal(t, wait, first, "delay after bad heartbeat %d", n)
		case n > promptRetries+maxDelayDoublings:
			assert.Assert(t, wait >= maxRetryDelay/2 && wait <= maxRetryDelay, "delay after bad heartbeat %d: %v", n, wait)
		default:
			assert.Assert(t, wait >= first && wait <= maxRetryDelay, "delay after bad heartbeat %d: %v", n, wait)
		}
	}
	proxy.badHeartbeats = 0
	assert.Equal(t, proxy.retryDelay(first), first)
}

// TestLateOwnerGetsLongerTimeout: the timeout grows after late answers and shrinks again once they are in time. A
// refusal does not count as late.
func TestLateOwnerGetsLongerTimeout(t *testing.T) {
	const usual = 90 * time.Millisecond
	client := &tokenClient{}
	late, refused := rpc.Errorf(rpc.Unknown, "did not answer in time"), rpc.Errorf(rpc.Unavailable, "no lease")
	for _, step := range []struct {
		err  error
		wait time.Duration
	}{{nil, usual}, {refused, usual}, {late, 2 * usual}, {late, 4 * usual}, {late, 4 * usual}, {refused, 4 * usual}, {nil, 2 * usual}, {nil, usual}, {nil, usual}} {
		client.noteResult(step.err)
		assert.Equal(t, client.timeout(usual), step.wait)
	}
}
