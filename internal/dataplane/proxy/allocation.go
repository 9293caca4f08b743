package proxy

import (
	"context"
	"time"

	"foxwood/internal/control/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// This file requests quota slices from the registry that runs the allocator.

// runAllocations requests quota slices periodically, and sooner if a bucket has run low or this gatekeeper has become
// the owner of a small quota. After a failed request it does not ask sooner: an overloaded registry leaves the
// buckets of all gatekeepers empty, and prompt retries would keep it overloaded.
func (p *Proxy) runAllocations(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		answered := p.allocate(ctx)
		for ctx.Err() == nil {
			left := allocationInterval - time.Since(began) // requests are that far apart, however late their answers
			if left <= 0 || p.awaitAllocation(ctx, min(left, bucketCheckInterval)) {
				break
			}
			early := false
			p.runOnLoop(func() { early = p.tenants.RunningLow(p.micros()) || p.becameOwner() })
			if answered && early {
				break
			}
		}
	}
}

// awaitAllocation waits for a duration, and tells whether an early request was called for meanwhile.
func (p *Proxy) awaitAllocation(ctx context.Context, wait time.Duration) (called bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.allocateNow:
		return true
	}
	return false
}

// allocate sends one request for slices, and tells whether it was answered.
func (p *Proxy) allocate(ctx context.Context) (answered bool) {
	var request api.AllocationRequest
	var askedAt float64
	var peer *rpc.Peer
	p.runOnLoop(func() {
		peer = p.registry
		if p.config == nil || peer == nil {
			peer = nil
			return
		}
		askedAt = p.clock.Now()
		request = p.allocationRequest()
	})
	if peer == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, allocationInterval) // if it is lost, the next one is sent while the lease lasts
	defer cancel()
	// Uses a connection of its own, since a request that hangs here must not end the session's connection.
	if p.allocatorPeer == nil || p.allocatorPeer.Addr() != peer.Addr() {
		if p.allocatorPeer != nil {
			p.allocatorPeer.Close()
		}
		p.allocatorPeer = rpc.NewPeer(peer.Addr())
	}
	answer, err := rpc.Call[api.AllocationRequest, api.AllocationResponse](callCtx, p.allocatorPeer, request)
	p.runOnLoop(func() {
		p.counts.Allocations++
		if err != nil {
			p.counts.AllocationsFailed++
			p.useMinimums()
			return
		}
		answered = true
		p.hasSlices = true
		p.lastAllocationMs = p.clock.Now() - askedAt
		p.slowStart.Renew(answer.SlowStart, askedAt, answer.LeaseMS)
		fresh := p.clock.Now()-askedAt <= quota.TokenValidityMs
		slices := make(map[string]policy.TenantAllotment, len(answer.Slices))
		for name, s := range api.DecodeSlices(answer.Slices) {
			if !fresh { // too old: the allocator has given the tokens up by now
				s.Tokens = 0
			}
			if p.startBurstTaken {
				s.StartBurst = 0
			}
			slices[name] = policy.TenantAllotment(s)
		}
		p.startBurstTaken = true
		p.tenants.SetAllotments(p.micros(), slices, policy.Micros((askedAt+answer.LeaseMS)*1000))
	})
	return answered
}

// allocationRequest returns the next request for slices. It runs on the loop.
func (p *Proxy) allocationRequest() api.AllocationRequest {
	p.sequence++
	p.updateOwned()
	slices, leaseLeft := p.tenants.Holdings(p.micros())
	held := make(map[string]quota.Allocation, len(slices))
	for name, s := range slices {
		if s != (policy.TenantAllotment{}) { // this gatekeeper holds nothing of most small quotas
			held[name] = quota.Allocation(s)
		}
	}
	request := api.AllocationRequest{Node: p.settings.Node, Incarnation: p.incarnation, Sequence: p.sequence, Demand: map[string]float32{}, LeaseLeft: float64(leaseLeft) / 1000}
	request.SetHeldSlices(held)
	for name, demand := range p.tenants.Demand(p.micros()) {
		request.Demand[name] = float32(demand)
	}
	for name := range p.ownedSince { // demand for owned quotas is stated before the first request arrives, which would be refused otherwise
		request.Demand[name] = max(request.Demand[name], minOwnerDemand)
	}
	return request
}

// useMinimums puts the minimums that are reserved for this node into force if no allocator has answered yet in this
// incarnation. After a loss of all registries none can for some seconds. Once per incarnation it also takes the start
// burst that goes with the minimums, unless the allocator has given it.
func (p *Proxy) useMinimums() {
	if p.hasSlices || !p.membersKnown || p.memberCount == 0 {
		return
	}
	slices := map[string]policy.TenantAllotment{}
	for name, terms := range quota.LimitedTenants(p.config) {
		slice := quota.MinimumAllocation(name, terms, p.quotaBounds, p.memberIndex, p.memberCount)
		if p.startBurstTaken || p.earlierBurstCounts {
			slice.StartBurst = 0
		}
		if !p.startBurstTaken { // the minimum has accrued since the process began
			slice.Tokens = slice.Minimum * (p.clock.Now() - clockStartMs) / 1000
		}
		slices[name] = policy.TenantAllotment(slice)
	}
	p.startBurstTaken = true
	p.tenants.SetAllotments(p.micros(), slices, 0)
}
