package proxy

import (
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
)

// This file keeps track of the small quotas that this gatekeeper owns, and returns what it holds when that changes.

// ownedQuotas are the small quotas that this gatekeeper owns, with what they were computed from.
type ownedQuotas struct {
	config      *routeconfig.Config
	memberCount int
	mark        uint64 // of ownersMark
	names       []string
}

// ownersMark changes with everything that determines the owners. The mark of a membership is odd, so the sum is never
// the mark of another one.
func (p *Proxy) ownersMark() uint64 {
	if p.draining {
		return p.membership.Checksum + 1
	}
	return p.membership.Checksum
}

// ownedNames returns the tenants whose small quota this gatekeeper owns. They are computed again if the configuration
// or the members have changed.
func (p *Proxy) ownedNames() []string {
	owned := &p.owned
	if mark := p.ownersMark(); owned.config != p.config || owned.memberCount != p.memberCount || owned.mark != mark {
		*owned = ownedQuotas{config: p.config, memberCount: p.memberCount, mark: mark}
		for name, terms := range quota.LimitedTenants(p.config) {
			if p.isSmallQuota(terms) && p.smallQuotaOf(name).owners[0] == p.settings.InnerAddress(0) {
				owned.names = append(owned.names, name)
			}
		}
	}
	return owned.names
}

// becameOwner tells whether this gatekeeper owns a small quota that it has not requested yet.
func (p *Proxy) becameOwner() bool {
	if p.config == nil {
		return false
	}
	for _, name := range p.ownedNames() {
		if _, known := p.ownedSince[name]; !known {
			return true
		}
	}
	return false
}

// updateOwned brings the owned quotas up to date. What is held of a quota that this gatekeeper no longer owns is
// returned to the allocator for the next owner: if it stayed here it would be lost, and the bucket of a small quota
// takes seconds to refill. It is returned after the other gatekeepers have had time to learn of the next owner, or at
// once if this process is about to end.
func (p *Proxy) updateOwned() {
	now := p.clock.Now()
	ownedSince := make(map[string]float64, len(p.ownedSince))
	for _, name := range p.ownedNames() {
		since, known := p.ownedSince[name]
		if !known {
			since = now
		}
		ownedSince[name] = since
		delete(p.formerlyOwned, name)
		delete(p.servedAsBackup, name)
	}
	for name := range p.ownedSince {
		if _, still := ownedSince[name]; !still {
			p.formerlyOwned[name] = now
		}
	}
	p.ownedSince = ownedSince
	for name, since := range p.formerlyOwned {
		if p.draining || now-since >= ownerHandOverMs {
			delete(p.formerlyOwned, name)
			p.surrender(name)
		}
	}
	for name := range p.servedAsBackup {
		if p.draining || p.tenants.Idle(p.micros(), name, backupIdleMs*1000) {
			delete(p.servedAsBackup, name)
			p.surrender(name)
		}
	}
}

// surrender returns what is held of a tenant's quota if the quota is small and another gatekeeper owns it.
func (p *Proxy) surrender(tenant string) {
	if terms, ok := p.termsOf(tenant); !ok || !p.isSmallQuota(terms) {
		return
	}
	if owner := p.smallQuotaOf(tenant).owners[0]; owner != "" && owner != p.settings.InnerAddress(0) {
		p.tenants.Surrender(p.micros(), tenant)
	}
}

// termsOf returns a tenant's quota in the configuration in force.
func (p *Proxy) termsOf(tenant string) (quota.Limit, bool) {
	for name, terms := range quota.LimitedTenants(p.config) {
		if name == tenant {
			return terms, true
		}
	}
	return quota.Limit{}, false
}

// ownersOf returns the first and the second owner of a tenant's small quota, chosen by rendezvous hashing among the
// members of the region.
func (p *Proxy) ownersOf(tenant string) (owners [2]string) {
	var bestScores [2]uint64
	consider := func(addr string) {
		score := hash64(tenant+"\x00"+addr) | 1
		switch {
		case score > bestScores[0]:
			bestScores[1], owners[1] = bestScores[0], owners[0]
			bestScores[0], owners[0] = score, addr
		case score > bestScores[1]:
			bestScores[1], owners[1] = score, addr
		}
	}
	if !p.draining {
		consider(p.settings.InnerAddress(0))
	}
	for _, addr := range p.membership.Peers {
		consider(addr)
	}
	return owners
}
