package switchback

import (
	"context"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/link"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// A tenant whose quota is thin over so many gatekeepers has a home among those of each region:
// the others ask it for tokens, so that one bucket serves where each would hold less than the
// next request needs. Which gatekeeper that is goes by a hash over the region's members; the
// second in that order is asked where the first does not answer or has no lease.

const (
	tokenMost = 90 * time.Millisecond  // for a home to answer,
	tokenBusy = 4                      // times that at most for one that was too late the times before:
	tokenLate = 2                      // doubled for each of so many
	homeAway  = 400 * time.Millisecond // that a home which did not is left alone
	emptyMost = 250.0                  // milliseconds that an empty home is believed
	spareMost = 2

	homeDemand = 0.02                 // requests a second that a home asks for at least
	homeLinger = 600                  // milliseconds that a home still serves who does not know of the next one yet
	restWait   = policy.Micros(400e3) // until a client may find a home again
	standsIn   = 1000                 // milliseconds without a request after which one that stood in for a home gives back what it holds
)

// thinTenant is what is kept of a tenant whose quota is thin.
type thinTenant struct {
	mark       uint64 // of the crowd for which the homes were found
	homes      [2]string
	emptyUntil float64
	spare      int // tokens of requests that never ran
}

// asker asks one home, one call at a time: what comes meanwhile goes with the next.
type asker struct {
	peer  *rpc.Peer
	late  int // times in a row, up to tokenLate
	busy  bool
	away  float64 // left alone until then
	queue []*asking
}

// asking is a request that waits for its token.
type asking struct {
	l      *link.Client
	k      *try
	r      *gatekeeper.Request
	tenant string
	homes  [2]string
	second bool
	since  float64
}

// thin tells whether a tenant's quota is.
func (p *Proxy) thin(s *timetable.Sender) bool {
	return p.isThin(quota.TermsOf(s))
}

func (p *Proxy) isThin(t quota.Terms) bool {
	return p.members > 1 && quota.Thin(t, p.quotas, p.members)
}

// drawOn draws on a tenant's bucket for a request, here or at the tenant's home, and hands the
// request on or refuses it.
func (p *Proxy) drawOn(l *link.Client, k *try, r *gatekeeper.Request, s *timetable.Sender) {
	k.tenant = s.Name
	if !p.thin(s) {
		p.takeHere(l, k, r)
		return
	}
	t := p.thinOf(s.Name)
	now := p.clock.Now()
	switch {
	case t.homes[0] == "" || t.homes[0] == p.set.Inner(0):
		p.takeHere(l, k, r)
	case t.spare > 0:
		t.spare--
		k.home = true
		p.submit(l, k, r)
	case p.tenants.Spend(p.micros(), s.Name): // first tokens of a life, or what is left of a floor
		k.drawn = true
		p.submit(l, k, r)
	case now < t.emptyUntil:
		p.counts.HomeEmpty++
		p.overQuota(l, policy.Micros((t.emptyUntil-now)*1000))
	default:
		p.ask(&asking{l: l, k: k, r: r, tenant: s.Name, homes: t.homes, since: now})
	}
}

// thinOf is what is kept of a thin tenant, with its homes as the members are now.
func (p *Proxy) thinOf(name string) *thinTenant {
	t := p.thins[name]
	if t == nil {
		t = &thinTenant{}
		p.thins[name] = t
	}
	if mark := p.homesMark(); t.mark != mark {
		t.mark, t.homes = mark, p.homesOf(name)
	}
	return t
}

func (p *Proxy) takeHere(l *link.Client, k *try, r *gatekeeper.Request) {
	now := p.micros()
	ok, wait := p.tenants.Admit(now, k.tenant, k.again)
	if !ok {
		if p.tenants.Lease(now) > 0 {
			p.counts.BucketEmpty++
		} else {
			p.counts.NoQuotaLease++
		}
		p.overQuota(l, wait)
		return
	}
	k.drawn = true
	p.submit(l, k, r)
}

// takeRest draws on what is left here of a tenant's quota whose homes have both not answered. It is no demand on
// the allotter: homes without a lease are what an allotter that can't keep up makes, and were all gatekeepers to ask it
// for all tenants then, it could not keep up with that.
func (p *Proxy) takeRest(l *link.Client, k *try, r *gatekeeper.Request) {
	if !p.tenants.Spend(p.micros(), k.tenant) {
		p.counts.NoQuotaLease++
		p.overQuota(l, restWait)
		return
	}
	k.drawn = true
	p.submit(l, k, r)
}

func (p *Proxy) overQuota(l *link.Client, wait policy.Micros) {
	p.counts.OverQuota++
	p.refuse(l, 429, float64(wait)/1000, "over the quota\n")
}

// ask has a request wait for its token. It belongs to nobody else meanwhile.
func (p *Proxy) ask(a *asking) {
	now := p.clock.Now()
	for {
		addr := a.homes[0]
		if a.second {
			addr = a.homes[1]
		}
		if addr == p.set.Inner(0) {
			p.granted(a, false, 0, true)
			return
		}
		s := p.askers[addr]
		if s == nil && addr != "" {
			s = &asker{peer: rpc.NewPeer(addr)}
			p.askers[addr] = s
		}
		if s != nil && now >= s.away {
			s.queue = append(s.queue, a)
			p.flush(s)
			return
		}
		if a.second { // neither can be asked: our own floor
			p.granted(a, false, 0, true)
			return
		}
		a.second = true
	}
}

// patience is how long to wait for an answer: longer behind answers that did not come in time, as on machines that are full
// all homes are late, and whose tenants would all be refused then.
func (s *asker) patience(usual time.Duration) time.Duration {
	return min(usual<<s.late, tokenBusy*usual)
}

// noteAnswer learns from how an asking ended.
func (s *asker) noteAnswer(err error) {
	switch {
	case err == nil:
		s.late = max(s.late-1, 0)
	case rpc.KindOf(err) == rpc.Unknown: // it may have been answered too late
		s.late = min(s.late+1, tokenLate)
	}
}

// flush sends what waits for a home.
func (p *Proxy) flush(s *asker) {
	if s.busy || len(s.queue) == 0 {
		return
	}
	s.busy = true
	batch := s.queue
	s.queue = nil
	q := waymark.Tokens{Wanted: map[string]int{}}
	for _, a := range batch {
		q.Wanted[a.tenant]++
	}
	p.counts.Asked += uint64(len(batch))
	wait := s.patience(p.patience)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		got, err := rpc.Call[waymark.Tokens, waymark.Granted](ctx, s.peer, q)
		p.loop.Post(func() {
			s.busy = false
			s.noteAnswer(err)
			if err != nil {
				s.away = p.clock.Now() + float64(homeAway)/1e6
				p.counts.AskedInVain += uint64(len(batch))
			}
			for _, a := range batch {
				switch {
				case err != nil && a.second:
					p.granted(a, false, 0, true)
				case err != nil:
					a.second = true
					p.ask(a)
				case got.Granted[a.tenant] > 0:
					got.Granted[a.tenant]--
					p.granted(a, true, 0, false)
				default:
					p.granted(a, false, got.Wait[a.tenant], false)
				}
			}
			p.flush(s)
		})
	}()
}

// granted goes on with a request whose token has come, or has not. here has it draw on our own
// bucket.
func (p *Proxy) granted(a *asking, ok bool, waitMs float64, here bool) {
	t := p.thins[a.tenant]
	waits := a.l.Waits() && a.l.Value == any(a.k)
	a.r.Left = max(a.r.Left-(p.clock.Now()-a.since), 1) // its client has waited too
	switch {
	case !waits: // the client has left
		if ok && t != nil {
			t.spare = min(t.spare+1, spareMost)
		}
	case here:
		p.counts.HomeUnreached++
		p.takeRest(a.l, a.k, a.r)
	case ok:
		a.k.home = true
		p.submit(a.l, a.k, a.r)
	default:
		if t != nil {
			t.emptyUntil = p.clock.Now() + min(waitMs, emptyMost)
		}
		p.counts.HomeEmpty++
		p.overQuota(a.l, policy.Micros(waitMs*1000))
	}
}

// granting answers another gatekeeper's asking, as the home of its tenants.
func (p *Proxy) granting(_ context.Context, q waymark.Tokens) (g waymark.Granted, err error) {
	g = waymark.Granted{Granted: map[string]int{}, Wait: map[string]float64{}}
	p.on(func() {
		now := p.micros()
		if p.tenants.Lease(now) <= 0 || p.draining {
			err = rpc.Errorf(rpc.Unavailable, "no lease")
			return
		}
		for tenant, n := range q.Wanted {
			if p.thinOf(tenant).homes[0] != p.set.Inner(0) {
				p.stoodIn[tenant] = true
			}
			for range n {
				ok, wait := p.tenants.Admit(now, tenant, false)
				if !ok {
					g.Wait[tenant] = float64(wait) / 1000
					continue // each is counted as asked
				}
				g.Granted[tenant]++
			}
		}
	})
	return g, err
}
