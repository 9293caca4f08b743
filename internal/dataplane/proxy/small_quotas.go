package proxy

import (
	"context"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// The quota of a tenant is small if each of the gatekeepers would hold less than the next request needs. Such a quota
// has an owner among the gatekeepers of each region, which holds its token bucket; the others ask the owner for
// tokens. The owner is chosen by a hash over the members of the region. The second gatekeeper in that order is asked
// if the first does not answer or has no lease.

// Times and limits of small quotas.
const (
	maxTokenWait       = 90 * time.Millisecond  // for an owner to answer
	maxTokenWaitFactor = 4                      // times maxTokenWait, at most, for an owner that was too late before
	maxTokenDoublings  = 2                      // doublings of that time, one for each late answer
	ownerPause         = 400 * time.Millisecond // during which an owner that did not answer is not asked
	maxEmptyMs         = 250.0                  // milliseconds for which an owner's answer that its bucket is empty is used
	maxSpareTokens     = 2                      // tokens of requests that never ran, kept for the next ones

	minOwnerDemand  = 0.02                 // requests a second that an owner requests at least
	ownerHandOverMs = 600                  // milliseconds during which the earlier owner goes on serving gatekeepers that do not know the new one
	noOwnerRetry    = policy.Micros(400e3) // after which a client may retry if no owner could be asked
	backupIdleMs    = 1000                 // milliseconds without a request after which a gatekeeper that served in place of an owner returns what it holds
)

// smallQuota is what is kept of a tenant whose quota is small.
type smallQuota struct {
	mark       uint64    // of ownersMark, for which the owners were computed
	owners     [2]string // the first and the second
	emptyUntil float64   // the owner's bucket was empty; not to be asked before then
	spare      int       // tokens of requests that never ran
}

// tokenClient asks one owner for tokens, with one call at a time. Requests that arrive meanwhile go into the next
// call.
type tokenClient struct {
	peer        *rpc.Peer
	lateAnswers int // consecutive late answers, up to maxTokenDoublings
	busy        bool
	pausedUntil float64 // not to be asked before then
	waiting     []*tokenRequest
}

// tokenRequest is a request that waits for its token.
type tokenRequest struct {
	client       *link.ClientConn
	attempt      *clientAttempt
	request      *gatekeeper.Request
	tenant       string
	owners       [2]string
	toSecond     bool    // it goes to the second owner
	waitingSince float64 // when it began to wait
}

// isSmall tells whether a tenant's quota is small.
func (p *Proxy) isSmall(sender *routeconfig.Tenant) bool {
	return p.isSmallQuota(quota.LimitOf(sender))
}

// isSmallQuota tells whether a quota is small for the current number of members.
func (p *Proxy) isSmallQuota(terms quota.Limit) bool {
	return p.memberCount > 1 && quota.IsSmall(terms, p.quotaBounds, p.memberCount)
}

// takeToken takes a token for a request from the tenant's bucket here or at the owner, and submits or refuses the
// request.
func (p *Proxy) takeToken(client *link.ClientConn, attempt *clientAttempt, request *gatekeeper.Request, sender *routeconfig.Tenant) {
	attempt.tenant = sender.Name
	if !p.isSmall(sender) {
		p.takeLocal(client, attempt, request)
		return
	}
	small := p.smallQuotaOf(sender.Name)
	now := p.clock.Now()
	switch {
	case small.owners[0] == "" || small.owners[0] == p.settings.InnerAddress(0):
		p.takeLocal(client, attempt, request)
	case small.spare > 0:
		small.spare--
		attempt.ownerTokenTaken = true
		p.submit(client, attempt, request)
	case p.tenants.TryTake(p.micros(), sender.Name): // a start burst, or the rest of a minimum
		attempt.tokenTaken = true
		p.submit(client, attempt, request)
	case now < small.emptyUntil:
		p.counts.OwnerEmpty++
		p.refuseOverQuota(client, policy.Micros((small.emptyUntil-now)*1000))
	default:
		p.askOwner(&tokenRequest{client: client, attempt: attempt, request: request, tenant: sender.Name, owners: small.owners, waitingSince: now})
	}
}

// smallQuotaOf returns what is kept of a tenant's small quota, with the owners among the current members.
func (p *Proxy) smallQuotaOf(name string) *smallQuota {
	small := p.smallQuotas[name]
	if small == nil {
		small = &smallQuota{}
		p.smallQuotas[name] = small
	}
	if mark := p.ownersMark(); small.mark != mark {
		small.mark, small.owners = mark, p.ownersOf(name)
	}
	return small
}

// takeLocal takes a token from the bucket here, and submits or refuses the request.
func (p *Proxy) takeLocal(client *link.ClientConn, attempt *clientAttempt, request *gatekeeper.Request) {
	now := p.micros()
	ok, wait := p.tenants.Admit(now, attempt.tenant, attempt.retried)
	if !ok {
		if p.tenants.LeaseLeft(now) > 0 {
			p.counts.BucketEmpty++
		} else {
			p.counts.NoQuotaLease++
		}
		p.refuseOverQuota(client, wait)
		return
	}
	attempt.tokenTaken = true
	p.submit(client, attempt, request)
}

// takeRemainder takes a token from what is left here of a small quota if neither owner has answered. It states no
// demand to the allocator: owners have no lease when the allocator is overloaded, and if all gatekeepers then
// requested all small quotas it would stay overloaded.
func (p *Proxy) takeRemainder(client *link.ClientConn, attempt *clientAttempt, request *gatekeeper.Request) {
	if !p.tenants.TryTake(p.micros(), attempt.tenant) {
		p.counts.NoQuotaLease++
		p.refuseOverQuota(client, noOwnerRetry)
		return
	}
	attempt.tokenTaken = true
	p.submit(client, attempt, request)
}

// refuseOverQuota answers that the tenant is over its quota and may retry after wait.
func (p *Proxy) refuseOverQuota(client *link.ClientConn, wait policy.Micros) {
	p.counts.OverQuota++
	p.refuse(client, 429, float64(wait)/1000, "over the quota\n")
}

// askOwner has a request wait for its token. Nothing else holds the request meanwhile.
func (p *Proxy) askOwner(waiting *tokenRequest) {
	now := p.clock.Now()
	for {
		addr := waiting.owners[0]
		if waiting.toSecond {
			addr = waiting.owners[1]
		}
		if addr == p.settings.InnerAddress(0) {
			p.resolve(waiting, false, 0, true)
			return
		}
		owner := p.tokenClients[addr]
		if owner == nil && addr != "" {
			owner = &tokenClient{peer: rpc.NewPeer(addr)}
			p.tokenClients[addr] = owner
		}
		if owner != nil && now >= owner.pausedUntil {
			owner.waiting = append(owner.waiting, waiting)
			p.flush(owner)
			return
		}
		if waiting.toSecond { // neither can be asked: use what is left here
			p.resolve(waiting, false, 0, true)
			return
		}
		waiting.toSecond = true
	}
}

// timeout returns how long to wait for an answer. It grows after answers that came too late: on overloaded machines
// all owners are late, and without more time all requests of their tenants would be refused.
func (s *tokenClient) timeout(usual time.Duration) time.Duration {
	return min(usual<<s.lateAnswers, maxTokenWaitFactor*usual)
}

// noteResult adjusts the timeout to the result of a call.
func (s *tokenClient) noteResult(err error) {
	switch {
	case err == nil:
		s.lateAnswers = max(s.lateAnswers-1, 0)
	case rpc.KindOf(err) == rpc.Unknown: // it may have been answered too late
		s.lateAnswers = min(s.lateAnswers+1, maxTokenDoublings)
	}
}

// flush sends the requests that wait for an owner.
func (p *Proxy) flush(owner *tokenClient) {
	if owner.busy || len(owner.waiting) == 0 {
		return
	}
	owner.busy = true
	batch := owner.waiting
	owner.waiting = nil
	request := api.TokenRequest{Wanted: map[string]int{}}
	for _, waiting := range batch {
		request.Wanted[waiting.tenant]++
	}
	p.counts.TokensAsked += uint64(len(batch))
	wait := owner.timeout(p.tokenTimeout)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		answer, err := rpc.Call[api.TokenRequest, api.TokenResponse](ctx, owner.peer, request)
		p.loop.Post(func() {
			owner.busy = false
			owner.noteResult(err)
			if err != nil {
				owner.pausedUntil = p.clock.Now() + float64(ownerPause)/1e6
				p.counts.TokensUnanswered += uint64(len(batch))
			}
			for _, waiting := range batch {
				switch {
				case err != nil && waiting.toSecond:
					p.resolve(waiting, false, 0, true)
				case err != nil:
					waiting.toSecond = true
					p.askOwner(waiting)
				case answer.Granted[waiting.tenant] > 0:
					answer.Granted[waiting.tenant]--
					p.resolve(waiting, true, 0, false)
				default:
					p.resolve(waiting, false, answer.WaitMS[waiting.tenant], false)
				}
			}
			p.flush(owner)
		})
	}()
}

// resolve continues with a request whose token has arrived or was denied. If useOwn is set, no owner could be asked,
// and the request uses what is left here.
func (p *Proxy) resolve(waiting *tokenRequest, granted bool, waitMs float64, useOwn bool) {
	small := p.smallQuotas[waiting.tenant]
	connected := waiting.client.AwaitsResponse() && waiting.client.UserData == any(waiting.attempt)
	waiting.request.TimeLeft = max(waiting.request.TimeLeft-(p.clock.Now()-waiting.waitingSince), 1) // the client has waited too
	switch {
	case !connected: // the client has disconnected
		if granted && small != nil {
			small.spare = min(small.spare+1, maxSpareTokens)
		}
	case useOwn:
		p.counts.OwnerUnreached++
		p.takeRemainder(waiting.client, waiting.attempt, waiting.request)
	case granted:
		waiting.attempt.ownerTokenTaken = true
		p.submit(waiting.client, waiting.attempt, waiting.request)
	default:
		if small != nil {
			small.emptyUntil = p.clock.Now() + min(waitMs, maxEmptyMs)
		}
		p.counts.OwnerEmpty++
		p.refuseOverQuota(waiting.client, policy.Micros(waitMs*1000))
	}
}

// grantTokens answers another gatekeeper, as the owner of the tenants' quotas.
func (p *Proxy) grantTokens(_ context.Context, request api.TokenRequest) (answer api.TokenResponse, err error) {
	answer = api.TokenResponse{Granted: map[string]int{}, WaitMS: map[string]float64{}}
	p.runOnLoop(func() {
		now := p.micros()
		if p.tenants.LeaseLeft(now) <= 0 || p.draining {
			err = rpc.Errorf(rpc.Unavailable, "no lease")
			return
		}
		for tenant, count := range request.Wanted {
			if p.smallQuotaOf(tenant).owners[0] != p.settings.InnerAddress(0) {
				p.servedAsBackup[tenant] = true
			}
			for range count {
				ok, wait := p.tenants.Admit(now, tenant, false)
				if !ok {
					answer.WaitMS[tenant] = float64(wait) / 1000
					continue // and not break, since each request counts as demand
				}
				answer.Granted[tenant]++
			}
		}
	})
	return answer, err
}
