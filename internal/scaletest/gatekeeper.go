package scaletest

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"foxwood/internal/larder"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/traverse"
	"foxwood/internal/waymark"
)

// The paces and bounds of switchback's own session.
const (
	signWait  = 500.0 // milliseconds that a sign waits for news
	signMost  = time.Second
	drawEvery = 500 * time.Millisecond
	homeWait  = 110.0 // milliseconds for a home to have what was announced
	homeSpare = 40.0  // for the way
	awayFor   = time.Second
	failWait  = 50 * time.Millisecond
)

// hollow is a gatekeeper's side of control: its session, what it holds and hands on, its slices. It has no clients,
// no workers' links and no decision module, and it does not read the configuration.
type hollow struct {
	guest    membership.Member
	controls []string // bothies, those to sign with first in front
	tenants  tenants
	tell     func(edition uint64, at time.Time)

	mu     sync.Mutex
	start  time.Time
	larder *larder.Larder
	news   chan struct{} // closed at news
	crowd  waymark.Crowd
	cores  uint64
	at     string // the bothy signed with
	away   map[string]time.Time
	held   map[string]quota.Slice
	heldTo time.Time
	rates  map[string]float64 // of the last answer

	figures figures
}

// figures are what a gatekeeper, or many, met. Spans are milliseconds.
type figures struct {
	Signs, SignsFailed, Draws, DrawsFailed, Asks, AsksFailed int
	DrawMs                                                   []float32
	Signed, Members                                          int   // have a configuration; know all members
	Known                                                    []int // how many members each knows
}

func (h *hollow) now() float64 { return 1 + float64(time.Since(h.start))/1e6 }

// serve answers neighbours and keeps the session until the context ends.
func (h *hollow) serve(ctx context.Context, ln net.Listener) {
	s := traverse.NewServer()
	traverse.Handle(s, h.subscribed)
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	var both sync.WaitGroup
	both.Go(func() { h.signs(ctx) })
	both.Go(func() { h.draws(ctx) })
	both.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// choose is the control process to sign with: the first that has not failed a moment ago.
func (h *hollow) choose() string {
	for _, at := range h.controls {
		if time.Since(h.away[at]) > awayFor {
			return at
		}
	}
	return slices.MinFunc(h.controls, func(a, b string) int { return h.away[a].Compare(h.away[b]) })
}

func (h *hollow) signs(ctx context.Context) {
	peers, neighbours := map[string]*traverse.Peer{}, map[string]*traverse.Peer{}
	defer func() {
		for _, p := range peers {
			p.Close()
		}
		for _, p := range neighbours {
			p.Close()
		}
	}()
	for turn := uint64(1); ctx.Err() == nil; turn++ {
		to := h.choose()
		if peers[to] == nil {
			peers[to] = traverse.NewPeer(to)
		}
		h.mu.Lock()
		h.at, h.guest.Turn, h.guest.Ready = to, turn, h.larder.Edition() > 0
		q := waymark.Sign{Member: h.guest, Crowd: h.crowd.Mark, Cores: h.cores, Wait: signWait}
		h.larder.Question(&q)
		h.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, signMost)
		a, err := traverse.Call[waymark.Sign, waymark.Signed](call, peers[to], q)
		cancel()
		h.mu.Lock()
		h.figures.Signs++
		if err != nil && ctx.Err() == nil {
			h.figures.SignsFailed++
		}
		h.mu.Unlock()
		if err != nil || a.Stale {
			h.away[to] = time.Now()
			pause(ctx, failWait)
		}
		if err == nil {
			h.hear(ctx, &a, neighbours)
		}
	}
}

// body takes a configuration as it travels. The lock is held.
func (h *hollow) body(edition uint64, packed []byte) {
	if len(packed) > 0 && h.larder.Body(edition, packed) {
		h.tell(edition, time.Now())
	}
}

// hear takes a control process's news, and asks the zone's homes for what it lacks.
func (h *hollow) hear(ctx context.Context, a *waymark.Signed, neighbours map[string]*traverse.Peer) {
	h.mu.Lock()
	h.larder.Hear(h.now(), a)
	h.body(a.Edition, a.Body)
	if a.CoresNow != 0 {
		h.cores = a.CoresNow
	}
	if a.Crowd != nil {
		h.crowd = *a.Crowd
	}
	close(h.news)
	h.news = make(chan struct{})
	near := h.crowd.Peers[:min(len(h.crowd.Near), len(h.crowd.Peers))]
	asks, _ := h.larder.Plan(h.now(), larder.Zone{Name: h.guest.Zone, Self: h.guest.Inner, Ready: h.guest.Ready, Near: near})
	h.mu.Unlock()
	if len(asks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration((homeWait+homeSpare)*float64(time.Millisecond)))
	defer cancel()
	var all sync.WaitGroup
	for at, q := range asks {
		if neighbours[at] == nil {
			neighbours[at] = traverse.NewPeer(at)
		}
		home := neighbours[at]
		all.Go(func() {
			q.Wait = homeWait
			got, err := traverse.Call[waymark.Subscribe, waymark.Subscribed](ctx, home, q)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.figures.Asks++
			if err != nil {
				h.figures.AsksFailed++
			}
			h.larder.Stock(h.now(), got.Parts)
			h.body(q.Edition, got.Body)
			h.larder.Asked(h.now(), at, &q, err)
		})
	}
	all.Wait()
}

// subscribed answers a neighbour, as its home.
func (h *hollow) subscribed(ctx context.Context, q waymark.Subscribe) (waymark.Subscribed, error) {
	wait := time.NewTimer(time.Duration(q.Wait * float64(time.Millisecond)))
	defer wait.Stop()
	for over := false; ; {
		h.mu.Lock()
		news := h.news
		if over || h.larder.Has(&q) {
			a := h.larder.Give(h.now(), &q)
			h.mu.Unlock()
			return a, nil
		}
		h.mu.Unlock()
		select {
		case <-news:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return waymark.Subscribed{}, traverse.Errorf(traverse.Unavailable, "the caller has left")
		}
	}
}

// draws asks for slices of the quotas, on a connection of its own.
func (h *hollow) draws(ctx context.Context) {
	var peer *traverse.Peer
	pause(ctx, time.Duration(h.guest.Life%500)*time.Millisecond)
	for turn := uint64(1); ctx.Err() == nil; turn++ {
		began := time.Now()
		h.mu.Lock()
		at, known := h.at, h.larder.Edition() > 0 && h.crowd.Count > 0
		q := waymark.Draw{Station: h.guest.Station, Life: h.guest.Life, Turn: turn, Demand: h.demand(), Holding: waymark.Pack(h.held),
			LeaseLeft: max(float64(time.Until(h.heldTo))/1e6, 0)}
		h.mu.Unlock()
		if known {
			if peer == nil || peer.Addr() != at {
				if peer != nil {
					peer.Close()
				}
				peer = traverse.NewPeer(at)
			}
			call, cancel := context.WithTimeout(ctx, drawEvery)
			a, err := traverse.Call[waymark.Draw, waymark.Drawn](call, peer, q)
			cancel()
			h.mu.Lock()
			h.figures.Draws++
			if err == nil {
				h.figures.DrawMs = append(h.figures.DrawMs, float32(time.Since(began))/1e6)
				h.take(a, began)
			} else if ctx.Err() == nil {
				h.figures.DrawsFailed++
			}
			h.mu.Unlock()
		}
		pause(ctx, drawEvery-time.Since(began))
	}
	if peer != nil {
		peer.Close()
	}
}

// take notes what was allotted. The lock is held.
func (h *hollow) take(a waymark.Drawn, asked time.Time) {
	h.held, h.rates = map[string]quota.Slice{}, map[string]float64{}
	for name, s := range waymark.Unpack(a.Slices) {
		if s != (quota.Slice{}) {
			h.held[name], h.rates[name] = s, s.Rate
		}
	}
	h.heldTo = asked.Add(time.Duration(a.Lease * float64(time.Millisecond)))
}

// demand is what is asked here of each quota: wide ones by everybody, thin ones by their homes. The
// lock is held.
func (h *hollow) demand() map[string]float32 {
	out := map[string]float32{}
	if h.crowd.Count == 0 {
		return out
	}
	everyone := append(slices.Clone(h.crowd.Peers), h.guest.Inner)
	for name, terms := range h.tenants {
		if !quota.Thin(terms, quotaBounds, h.crowd.Count) {
			out[name] = 3.7
		} else if membership.HomeAmong(everyone, "", name) == h.guest.Inner {
			out[name] = 0.5
		}
	}
	return out
}

// fleet is the hollow gatekeepers of one process.
type fleet struct {
	all []*hollow

	mu    sync.Mutex
	taken map[uint64][]time.Time // when each edition was taken, by whom first
}

// run starts gatekeepers with the numbers from to to-1 and serves until the context ends.
func (f *fleet) run(ctx context.Context, o *Options, from, to int) error {
	f.taken = map[uint64][]time.Time{}
	var all sync.WaitGroup
	defer all.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tenants := o.tenants()
	for i := from; i < to; i++ {
		zone := i % o.Zones
		ip := o.ip(gatePart+i/200, i%200)
		h := &hollow{tenants: tenants, start: time.Now(), larder: larder.New(), news: make(chan struct{}), away: map[string]time.Time{},
			guest: membership.Member{Station: fmt.Sprintf("counter-%06d", i), Zone: zoneName(zone), Region: o.region(zone), Life: uint64(i) + 1<<60,
				Counter: net.JoinHostPort(ip, "8080"), Inner: net.JoinHostPort(ip, fmt.Sprint(dock))}}
		h.controls = o.controls(i)
		h.tell = func(edition uint64, at time.Time) {
			f.mu.Lock()
			f.taken[edition] = append(f.taken[edition], at)
			f.mu.Unlock()
		}
		ln, err := traverse.Listen(h.guest.Inner)
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.all = append(f.all, h)
		f.mu.Unlock()
		all.Go(func() { h.serve(ctx, ln) })
	}
	<-ctx.Done()
	return nil
}

// sum is what all of them met, and what is allotted of each quota. What is counted begins anew.
func (f *fleet) sum(members int) (all figures, rates map[string]float64) {
	rates = map[string]float64{}
	f.mu.Lock()
	gatekeepers := slices.Clone(f.all)
	f.mu.Unlock()
	for _, h := range gatekeepers { // whose locks come before the fleet's
		h.mu.Lock()
		x := h.figures
		h.figures = figures{}
		all.Signs, all.SignsFailed = all.Signs+x.Signs, all.SignsFailed+x.SignsFailed
		all.Draws, all.DrawsFailed = all.Draws+x.Draws, all.DrawsFailed+x.DrawsFailed
		all.Asks, all.AsksFailed = all.Asks+x.Asks, all.AsksFailed+x.AsksFailed
		all.DrawMs = append(all.DrawMs, x.DrawMs...)
		if h.larder.Edition() > 0 {
			all.Signed++
		}
		all.Known = append(all.Known, h.crowd.Count)
		if h.crowd.Count == members {
			all.Members++
		}
		if time.Now().Before(h.heldTo) {
			for name, r := range h.rates {
				rates[name] += r
			}
		}
		h.mu.Unlock()
	}
	return all, rates
}
