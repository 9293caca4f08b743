package switchback

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// session keeps a session with a control gatekeeper: near ones first, and another one where a
// call fails or who answers has lost sight of the tail.
func (p *Proxy) session(ctx context.Context) {
	for ctx.Err() == nil {
		p.sign(ctx)
	}
	p.farewell()
}

func (p *Proxy) sign(ctx context.Context) {
	select {
	case seeds := <-p.seeds:
		p.named = seeds
		p.learn(seedCores(seeds))
	default:
	}
	to := p.choose()
	peer := p.peers[to]
	if peer == nil {
		peer = rpc.NewPeer(to)
		p.peers[to] = peer
	}
	var q waymark.Sign
	var asked float64
	p.on(func() {
		q = p.question()
		asked = p.clock.Now()
		p.control = peer
	})
	began := p.relay.now()
	call, cancel := context.WithTimeout(ctx, callMost)
	a, err := rpc.Call[waymark.Sign, waymark.Signed](call, peer, q)
	cancel()
	p.relay.signed(began, err == nil && !a.Stale)
	p.on(func() {
		p.counts.Signs++
		if err != nil {
			p.counts.SignsFailed++
		}
	})
	if err != nil {
		p.leaveCore(to, err.Error())
		pause(ctx, p.signWait(failWait))
		return
	}
	if len(a.Cores) > 0 && !a.Stale {
		p.forget(a.Cores)
	}
	p.learn(a.Cores)
	if !p.heard(ctx, &a, asked) {
		defer pause(ctx, unreadWait) // it comes with each answer
	}
	if !a.Stale {
		p.badSigns = 0
		return
	}
	p.leaveCore(to, "has lost sight of the tail")
	pause(ctx, p.signWait(staleWait))
}

// signWait is how long to wait behind a sign that was no good. The first few go to other registries at once, as one of them
// is likely to be in touch. Where none is, the wait doubles: the haste of a whole fleet would keep a core that
// is about to come back from it.
func (p *Proxy) signWait(first time.Duration) time.Duration {
	wait := first << max(p.badSigns-signsAtOnce, 0)
	p.badSigns = min(p.badSigns+1, signsAtOnce+signDoublings)
	if wait = min(wait, signWaitMost); wait <= first {
		return wait
	}
	return wait/2 + rand.N(wait/2)
}

// heard takes a bothy's news, and has the zone's homes give what is lacking of them. It tells
// whether the configuration could be read, if one came.
func (p *Proxy) heard(ctx context.Context, a *waymark.Signed, asked float64) (read bool) {
	p.relay.hear(a)
	read = p.hold(a.Body)
	p.on(func() { p.apply(a, asked) })
	if p.subscribe(ctx) {
		p.on(func() {
			p.apply(&waymark.Signed{AsOf: a.AsOf, Stale: a.Stale, Edition: a.Edition, Again: a.Again}, asked)
		})
	}
	return read
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// leaveCore has the next calls go to others for a while.
func (p *Proxy) leaveCore(addr, why string) {
	if time.Since(p.away[addr]) > awayFor {
		p.log.Info().Str("from", addr).Str("reason", why).Msg("signs elsewhere")
	}
	p.away[addr] = time.Now()
	p.on(func() { p.counts.Moves++ })
}

func seedCores(seeds []string) (cores []waymark.Core) {
	for _, s := range seeds {
		cores = append(cores, waymark.Core{Addr: s})
	}
	return cores
}

// forget drops core machines that neither who has the tail's word nor the settings name: they have been
// replaced.
func (p *Proxy) forget(told []waymark.Core) {
	p.cores = slices.DeleteFunc(p.cores, func(c waymark.Core) bool {
		if slices.Contains(p.named, c.Addr) || slices.ContainsFunc(told, func(k waymark.Core) bool { return k.Addr == c.Addr }) {
			return false
		}
		if peer := p.peers[c.Addr]; peer != nil {
			peer.Close()
		}
		delete(p.peers, c.Addr)
		delete(p.away, c.Addr)
		return true
	})
}

// learn takes core machines that it is told of. One that is down may be the only one that is up later.
func (p *Proxy) learn(cores []waymark.Core) {
	for _, c := range cores {
		i := slices.IndexFunc(p.cores, func(k waymark.Core) bool { return k.Addr == c.Addr })
		switch {
		case i < 0:
			p.cores = append(p.cores, c)
		case c.Zone != "":
			p.cores[i] = c
		}
	}
}

// choose is the core machine to sign with: one that has not failed a moment ago, near ones
// first, and of the same distance by a hash, so that gatekeepers spread.
func (p *Proxy) choose() string {
	type rank struct {
		away bool
		far  int
		at   uint64
	}
	of := func(c waymark.Core) rank {
		r := rank{away: time.Since(p.away[c.Addr]) < awayFor, at: hash(c.Addr + p.set.Station)}
		switch {
		case c.Zone == p.set.Zone:
		case c.Zone == "" || p.set.RegionOf(c.Zone) == p.set.Region:
			r.far = 1
		default:
			r.far = 2
		}
		return r
	}
	best := slices.MinFunc(p.cores, func(a, b waymark.Core) int {
		x, y := of(a), of(b)
		switch {
		case x.away != y.away && y.away:
			return -1
		case x.away != y.away:
			return 1
		case x.away: // all have failed: the one that failed longest ago
			return p.away[a.Addr].Compare(p.away[b.Addr])
		}
		return cmp.Or(cmp.Compare(x.far, y.far), cmp.Compare(x.at, y.at))
	})
	return best.Addr
}

// question is what a sign says. On the loop.
func (p *Proxy) question() waymark.Sign {
	q := waymark.Sign{Member: p.guest(), Crowd: p.crowd.Mark, Cores: p.coresMark, Wait: signWait}
	p.relay.do(func(float64) { p.relay.configcache.Question(&q) })
	if p.shadow != nil {
		q.Copies, q.Seats = q.Shadow > 0, p.shadow.seatMark
	}
	return q
}

func (p *Proxy) guest() membership.Member {
	p.turn++
	return membership.Member{Station: p.set.Station, Zone: p.set.Zone, Region: p.set.Region, Life: p.life, Turn: p.turn,
		Counter: p.set.Gates.Counter, Inner: p.set.Inner(0), Ready: p.ready(), Leaving: p.draining, Alone: p.shedsAlone()}
}

// apply puts the news in force. On the loop. Nothing ever goes back: editions, evacuations and
// rosters only rise, whoever tells them.
func (p *Proxy) apply(a *waymark.Signed, asked float64) {
	replace := p.stocked()
	p.settled = p.settled || a.Settled
	p.again = a.Again
	if a.CoresNow != 0 {
		p.coresMark = a.CoresNow
	}
	if a.Crowd != nil {
		p.crowd = *a.Crowd
		if place, n := p.crowd.Place, p.crowd.Count; n > 0 && place >= 0 {
			replace = p.among(place, n) || replace
			p.stand()
		}
	}
	if !a.Stale {
		p.touched = max(p.touched, asked+a.AsOf)
	}
	if !a.Stale && (p.table != nil && p.table.Edition >= a.Edition) {
		p.signed = true
		p.keysTo = max(p.keysTo, asked+a.AsOf+p.set.Bounds.RevokeS*1000-leaseMargin)
	}
	if p.shadow != nil {
		p.shadow.learn(a, asked, replace)
	}
	p.placed(replace)
}

// among takes our place among all members, and tells whether it is another one.
func (p *Proxy) among(place, n int) bool {
	changed := place != p.place || n != p.members
	p.place, p.members = place, n
	p.tries.Members(p.micros(), n, place)
	for _, s := range p.order {
		s.core.Among(place, n)
	}
	return changed
}

// ring is where this gatekeeper stands among those of its zone: nowhere while it does not know its
// place among all members. Else all that start would use the same few workers until they know.
func (p *Proxy) ring() policy.Ring {
	if p.crowd.Count == 0 || p.crowd.Place < 0 {
		return policy.Ring{}
	}
	r := policy.Ring{Zone: hash(p.set.Zone), Of: len(p.crowd.Near) + 1}
	for _, at := range p.crowd.Near {
		if at < p.crowd.Place {
			r.Rank++
		}
	}
	return r
}

func (p *Proxy) stand() {
	r := p.ring()
	for _, s := range p.order {
		s.core.Stand(r)
	}
}

// placed places workers anew where they have changed, and tells of a change of readiness.
func (p *Proxy) placed(replace bool) {
	if replace {
		for _, s := range p.order {
			s.place()
		}
	}
	if r := p.ready(); r != p.isReady.Load() {
		p.isReady.Store(r)
		p.log.Info().Bool("ready", r).Msg("readiness")
	}
}

// enforce puts a configuration in force, whole.
func (p *Proxy) enforce(t *timetable.Timetable) {
	p.table, p.stays = t, make([]policy.Patience, len(t.Courses))
	var limited []string
	for name := range quota.Limited(t) {
		limited = append(limited, name)
	}
	p.tenants.Limits(p.micros(), limited)
	p.tries.Keep(func(service string) bool { return t.Destinations[service] != nil })
	p.limits.Head, p.limits.Body, p.limits.Large = t.Limits.EnvelopeBytes, 0, t.Limits.BodyBytes
	p.clients.Limits.ReadMost, p.clients.Limits.RestMost = t.Limits.EnvelopeS*1000, t.Limits.IdleS*1000
	for name, d := range t.Destinations {
		s := p.pool(name)
		if s.dest = *d; d.BerthCap > 0 {
			s.fleet.PerWorker = max(d.BerthCap/(2*max(p.members, 1)), 2)
		}
	}
	p.log.Info().Str("edition", timetable.FormatEdition(t.Edition)).Int("routes", len(t.Courses)).Msg("configuration")
}

// announce tells at once that this gatekeeper is leaving: the session's own call may wait for half
// a second yet, and the directory would go on naming it.
func (p *Proxy) announce() {
	var q waymark.Sign
	var to *rpc.Peer
	p.on(func() { q, to = p.question(), p.control })
	if to == nil {
		return
	}
	q.Wait = 0
	peer := rpc.NewPeer(to.Addr())
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callMost)
	defer cancel()
	_, _ = rpc.Call[waymark.Sign, waymark.Signed](ctx, peer, q)
}

// farewell tells the control gatekeeper that the session is over.
func (p *Proxy) farewell() {
	var q waymark.Sign
	p.on(func() { q = p.question() })
	q.Leaving, q.Wait = true, 0
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if peer := p.peers[p.choose()]; peer != nil {
		_, _ = rpc.Call[waymark.Sign, waymark.Signed](ctx, peer, q)
	}
}
