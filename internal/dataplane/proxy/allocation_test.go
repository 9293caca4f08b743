package proxy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// TestFailedAllocationIsNotRepeatedSooner guards against prompt repetitions of a failed request for quota slices. An overloaded
// allocator leaves the buckets of all gatekeepers empty, and if an empty bucket called for a request at once it would
// stay overloaded.
func TestFailedAllocationIsNotRepeatedSooner(t *testing.T) {
	t.Parallel()
	const (
		tenant    = "empty"
		intervals = 4
		useEvery  = 20 * time.Millisecond
	)
	var requests atomic.Int64
	proxy := newTestProxy(t)
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	rpc.Handle(server, func(context.Context, api.AllocationRequest) (api.AllocationResponse, error) {
		requests.Add(1)
		return api.AllocationResponse{}, rpc.Errorf(rpc.Unavailable, "overloaded")
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	proxy.receive(fullList(1), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}, tenantSpec{name: tenant, rate: 1}))
	proxy.runOnLoop(func() {
		proxy.registry = rpc.NewPeer(listener.Addr().String())
		proxy.loop.Every(useEvery, func() { proxy.tenants.Admit(proxy.micros(), tenant, false) })
	})
	time.Sleep(2 * useEvery)
	ctx, cancel := context.WithTimeout(t.Context(), intervals*allocationInterval+allocationInterval/2)
	defer cancel()
	proxy.runAllocations(ctx)
	runningLow := false
	proxy.runOnLoop(func() { runningLow = proxy.tenants.RunningLow(proxy.micros()) })
	assert.Assert(t, runningLow, "the bucket must be empty and in use for this test to show anything")
	assert.Assert(t, requests.Load() > 0)
	assert.Assert(t, requests.Load() <= intervals+1, "%d requests in %d intervals", requests.Load(), intervals)
}
