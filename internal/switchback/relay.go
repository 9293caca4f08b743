package switchback

import (
	"context"
	"sync"
	"time"

	"foxwood/internal/configcache"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// Bytes between zones are dear: bothies send bodies and workers only to the zone's homes, and the
// others ask these. A home that fails, is late or has less than was announced is not asked again
// for it: the next sign wants it from the bothy.

const (
	homeWait    = 110.0 // milliseconds that a home may take to get what was announced
	homeBulk    = 16384 // bytes of a body that are worth one more
	homeMore    = 90.0  // at most so many more
	homeSpare   = 40.0  // for the way
	subscribers = 500.0 // milliseconds that a neighbour waits here at most

	lostAfter   = 700.0 // milliseconds without a good sign, after which we lend
	lendEvery   = 2000.0
	lendLook    = 250 * time.Millisecond
	lendAsk     = 400 * time.Millisecond
	lendMost    = 1500 * time.Millisecond
	promiseMost = 600.0   // milliseconds that one lender is waited for before another may come
	knownFor    = 60000.0 // that a member which has gone is still lent to
)

// relay is what this gatekeeper holds, for its loop and for its neighbours. The loop takes from
// it what it lacks, so that news that overtake each other can't undo each other.
type relay struct {
	start time.Time

	mu          sync.Mutex
	news        chan struct{} // closed at news
	configcache *configcache.Cache
	table       *timetable.Timetable
	near        []string
	knew        map[string]neighbour
	count       int // of members
	peers       map[string]*rpc.Peer
	lost        float64 // since when no sign was good, 0 where the last one was
	lendAt      float64
	promised    float64 // until when a lender is waited for
}

// neighbour is one that was a ready member of the zone.
type neighbour struct {
	place int
	seen  float64
}

func newRelay() *relay {
	return &relay{start: time.Now(), news: make(chan struct{}), configcache: configcache.New(), knew: map[string]neighbour{},
		peers: map[string]*rpc.Peer{}}
}

// now is milliseconds since some time before the start, so that 0 is never now.
func (r *relay) now() float64 { return 1 + float64(time.Since(r.start))/1e6 }

// changed wakes those who wait here. The lock is held.
func (r *relay) changed() {
	close(r.news)
	r.news = make(chan struct{})
}

func (r *relay) do(what func(now float64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	what(r.now())
}

// signed notes how a sign that began then has ended.
func (r *relay) signed(began float64, good bool) {
	r.do(func(float64) {
		switch {
		case good:
			r.lost = 0
		case r.lost == 0:
			r.lost, r.lendAt = began, 0
		}
	})
}

// isLost tells that we have been out of touch for so long that others may know more. The lock is
// held.
func (r *relay) isLost(now float64) bool { return r.lost > 0 && now-r.lost > lostAfter }

// hear takes a bothy's news.
func (r *relay) hear(a *waymark.Signed) {
	r.do(func(now float64) {
		r.configcache.Hear(now, a)
		r.changed()
		if a.Crowd != nil {
			r.crowd(now, a.Crowd)
		}
		for _, at := range r.near { // who is with us is known as of now
			n := r.knew[at]
			n.seen = now
			r.knew[at] = n
		}
	})
}

// crowd takes the zone's members. The lock is held.
func (r *relay) crowd(now float64, c *waymark.Crowd) {
	r.count = c.Count
	r.near = c.Peers[:min(len(c.Near), len(c.Peers))]
	for i, at := range r.near {
		r.knew[at] = neighbour{place: c.Near[i], seen: now}
	}
	for at, n := range r.knew {
		if now-n.seen > knownFor {
			delete(r.knew, at)
			if p := r.peers[at]; p != nil {
				p.Close()
				delete(r.peers, at)
			}
		}
	}
}

// peer is a neighbour's. The lock is held.
func (r *relay) peer(at string) *rpc.Peer {
	p := r.peers[at]
	if p == nil {
		p = rpc.NewPeer(at)
		r.peers[at] = p
	}
	return p
}

// hold reads a configuration and takes it where it is newer. It is read beside the loop, which
// takes its time. It tells whether it could be read.
func (p *Proxy) hold(packed []byte) bool {
	if len(packed) == 0 {
		return true
	}
	body, err := waymark.Inflate(packed)
	var table *timetable.Timetable
	if err == nil {
		table, err = timetable.Parse(body)
	}
	if err != nil {
		p.log.Error().Err(err).Msg("a configuration that was handed over can't be read")
		return false
	}
	table.Raw = nil // what is handed on is held packed
	r := p.relay
	r.do(func(float64) {
		if r.configcache.Body(table.Edition, packed) {
			r.table = table
			r.changed()
		}
	})
	return true
}

// subscribe asks the zone's homes for what was announced and is lacking, all at once and each
// once. It tells whether it asked any.
func (p *Proxy) subscribe(ctx context.Context) bool {
	r := p.relay
	var asks map[string]waymark.Subscribe
	var limit float64
	peers := map[string]*rpc.Peer{}
	r.do(func(now float64) {
		var bulk int
		asks, bulk = r.configcache.Plan(now, configcache.Zone{Name: p.set.Zone, Self: p.set.Inner(0), Ready: p.isReady.Load(), Near: r.near})
		limit = homeWait + min(float64(bulk/homeBulk), homeMore)
		for at := range asks {
			peers[at] = r.peer(at)
		}
	})
	if len(asks) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration((limit+homeSpare)*float64(time.Millisecond)))
	defer cancel()
	var all sync.WaitGroup
	for at, q := range asks {
		all.Go(func() {
			q.Wait = limit
			got, err := rpc.Call[waymark.Subscribe, waymark.Subscribed](ctx, peers[at], q)
			r.do(func(now float64) { // cold times count from now, not from after the reading
				r.configcache.Stock(now, got.Parts)
				r.changed()
			})
			p.hold(got.Body)
			r.do(func(now float64) { r.configcache.Asked(now, at, &q, err) })
		})
	}
	all.Wait()
	return true
}

// subscribed answers a neighbour, as its home: once all is here that it asks for, or with what
// there is. Who is out of touch does not let it wait.
func (p *Proxy) subscribed(ctx context.Context, q waymark.Subscribe) (a waymark.Subscribed, err error) {
	r := p.relay
	wait := time.NewTimer(time.Duration(min(max(q.Wait, 0), subscribers) * float64(time.Millisecond)))
	defer wait.Stop()
	for over := false; ; {
		var news chan struct{}
		r.do(func(now float64) {
			news = r.news
			if over = over || q.Wait <= 0 || r.isLost(now) || r.configcache.Has(&q); over {
				a = r.configcache.Give(now, &q)
			}
		})
		if over {
			return a, nil
		}
		select {
		case <-news:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return a, rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
	}
}

// stocked brings the loop to what is held. On the loop. It tells whether workers are to be placed
// anew.
func (p *Proxy) stocked() (replace bool) {
	r := p.relay
	r.do(func(now float64) {
		if r.table != nil && (p.table == nil || r.table.Edition > p.table.Edition) {
			p.enforce(r.table)
		}
		if evac, zones := r.configcache.Evacuated(); evac > p.evac {
			p.evacuate(evac, zones, r.configcache.TakenBack())
			replace = true
		}
		p.roster = r.configcache.Heard()
		for name, turn := range r.configcache.Turns() {
			if turn > p.turns[name] {
				p.turns[name] = turn
				p.take(name, r.configcache.Workers(now, name))
				replace = true
			}
		}
	})
	return replace
}

// evacuate puts a list of evacuated zones in force, and notes which were taken back: those that were evacuated here, and
// those that were evacuated and taken back without our hearing of it in between.
func (p *Proxy) evacuate(number uint64, zones, takenBack []string) {
	before := p.evacuated
	p.evac, p.evacuated = number, map[string]bool{}
	for _, zone := range zones {
		p.evacuated[zone] = true
	}
	for zone := range before {
		if !p.evacuated[zone] {
			p.takenBack[zone] = p.clock.Now()
		}
	}
	for _, zone := range takenBack {
		p.takenBack[zone] = p.clock.Now()
	}
}

// take puts a destination's workers in force, in the place of those it had.
func (p *Proxy) take(name string, list []waymark.Worker) {
	now := p.clock.Now()
	before := map[string]*worker{}
	for id, w := range p.workers {
		if w.Destination == name {
			before[id] = w
			delete(p.workers, id)
		}
	}
	for _, w := range list {
		k := &worker{Worker: w}
		k.Destination = name
		if w.Cold > 0 {
			k.coldUntil = policy.Micros((now + w.Cold) * 1000)
		}
		if old := before[w.ID]; old != nil && old.Addr == w.Addr {
			k.wrong = old.wrong
		}
		p.workers[w.ID] = k
	}
}

// lends offers what is held to the zone's other members while the core is lost: one that starts
// then has nothing, and nobody else to get it from.
func (p *Proxy) lends(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, lendLook)
		p.lendRound(ctx)
	}
}

// lendRound offers to all, where that is due.
func (p *Proxy) lendRound(ctx context.Context) {
	r := p.relay
	to := map[*rpc.Peer]neighbour{}
	r.do(func(now float64) {
		if !r.isLost(now) || now < r.lendAt || r.configcache.Edition() == 0 {
			return
		}
		r.lendAt = now + lendEvery
		for at, n := range r.knew {
			to[r.peer(at)] = n
		}
	})
	var all sync.WaitGroup
	for peer, n := range to {
		all.Go(func() { p.lend(ctx, peer, n) })
	}
	all.Wait()
}

// lend asks a neighbour what it holds, and hands over what it lacks.
func (p *Proxy) lend(ctx context.Context, to *rpc.Peer, n neighbour) {
	r := p.relay
	var offer waymark.Lend
	r.do(func(float64) {
		offer = r.configcache.Offer()
		offer.Place, offer.Count = n.place, r.count
	})
	ask, cancel := context.WithTimeout(ctx, lendAsk)
	h, err := rpc.Call[waymark.Lend, waymark.Lent](ask, to, offer)
	cancel()
	if err != nil || h.Later {
		return
	}
	var give waymark.Lend
	var some bool
	r.do(func(now float64) {
		give, some = r.configcache.Lend(now, &h)
		give.Place, give.Count = n.place, r.count
	})
	if !some && (h.Placed || give.Count == 0) {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, lendMost)
	defer cancel()
	if _, err = rpc.Call[waymark.Lend, waymark.Lent](ctx, to, give); err == nil {
		p.log.Info().Str("to", to.Addr()).Msg("has lent what it holds")
	}
}

// lent takes what a neighbour offers where that is more than is held. It is no session: who has
// only borrowed honours no key where revocations are final.
func (p *Proxy) lent(_ context.Context, o waymark.Lend) (h waymark.Lent, err error) {
	r := p.relay
	if o.Given {
		newer := false
		r.do(func(now float64) {
			r.configcache.Borrow(now, &o)
			newer = o.Edition > r.configcache.Edition()
			r.changed()
		})
		if newer {
			p.hold(o.Body)
		}
		r.do(func(float64) { r.promised = 0 })
	}
	placed := false
	p.on(func() {
		if o.Given {
			replace := p.stocked()
			if o.Count > 0 && p.members == 0 {
				// Floors are kept for our place. The first tokens may have gone to our last life.
				p.settled, p.kicked = true, true
				replace = p.among(o.Place, o.Count) || replace
			}
			p.placed(replace)
		}
		placed = p.members > 0
	})
	r.do(func(now float64) {
		h = r.configcache.Held()
		h.Placed = placed
		if !o.Given && r.configcache.Exceeds(&o) { // the zone's others offer the same at the same time
			if h.Later = now < r.promised; !h.Later {
				r.promised = now + promiseMost
			}
		}
	})
	return h, nil
}
