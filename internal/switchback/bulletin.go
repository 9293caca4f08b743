package switchback

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"foxwood/internal/bulletin"
	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// bulletinEvery is the pace at which a gatekeeper tells what it saw, where there is anything, and
// at which a home judges.
const bulletinEvery = 300 * time.Millisecond

// herald is a gatekeeper's part of shared beliefs. It belongs to the loop.
type herald struct {
	p      *Proxy
	desks  map[string]*bulletin.Desk  // of the destinations whose home we are
	boards map[string]*bulletin.Board // by destination
	stood  map[string]bool            // destinations of which something is believed
	counts struct{ Told, Heard, Issued, Posted uint64 }
}

// Bulletin has this gatekeeper share what it believes of workers, before it serves.
func (p *Proxy) Bulletin() {
	h := &herald{p: p, desks: map[string]*bulletin.Desk{}, boards: map[string]*bulletin.Board{}, stood: map[string]bool{}}
	p.on(func() {
		p.herald = h
		p.loop.Every(bulletinEvery, h.round)
		p.loop.Every(figuresEvery, h.figures)
	})
}

// round tells what was seen, judges where we are a home, and lets beliefs lapse.
func (h *herald) round() {
	p := h.p
	var near []string
	peers := map[string]*rpc.Peer{}
	p.relay.do(func(float64) {
		near = slices.Clone(p.relay.near)
		for _, at := range near {
			peers[at] = p.relay.peer(at)
		}
	})
	self := p.set.Inner(0)
	ready := near
	if p.isReady.Load() {
		ready = append(slices.Clone(near), self)
	}
	now := p.clock.Now()
	var calls []func()
	for _, s := range p.order {
		home := membership.HomeAmong(ready, p.set.Zone, s.name)
		if seen := s.core.Sightings(); len(seen) > 0 {
			h.counts.Told++
			q := waymark.Seen{From: self, Destination: s.name, Sights: bulletin.Sights(seen)}
			if home == self {
				h.desk(s.name).Hear(now, self, q.Sights)
			} else if to := peers[home]; to != nil {
				calls = append(calls, func() { _ = rpc.Tell(to, q) })
			}
		}
		if home != self {
			delete(h.desks, s.name)
		} else if d := h.desks[s.name]; d != nil {
			d.Step(now, s.usable())
			if issue, due := d.Issue(now); due {
				h.counts.Issued++
				h.post(waymark.Posted{Destination: s.name, Issue: issue})
				for _, to := range peers {
					calls = append(calls, func() { _ = rpc.Tell(to, waymark.Posted{Destination: s.name, Issue: issue}) })
				}
			}
		}
		if h.stood[s.name] { // what nobody renews lapses
			h.believe(s)
		}
	}
	if len(calls) > 0 { // a neighbour that does not read must not hold the loop up
		go func() {
			for _, call := range calls {
				call()
			}
		}()
	}
}

func (h *herald) desk(name string) *bulletin.Desk {
	d := h.desks[name]
	if d == nil {
		d = bulletin.NewDesk(h.p.life)
		h.desks[name] = d
	}
	return d
}

// usable is the workers that take work, by region.
func (s *pool) usable() map[uint32]int {
	p, of := s.p, map[uint32]int{}
	for _, w := range p.workers {
		if w.Destination == s.name && !w.Closing && !w.wrong && !p.evacuated[w.Zone] {
			of[bulletin.Key(policy.Server(hash(w.ID)))] = p.regionOf(w.Zone)
		}
	}
	return of
}

// post takes an issue. On the loop.
func (h *herald) post(q waymark.Posted) {
	s := h.p.pools[q.Destination]
	if s == nil {
		return
	}
	b := h.boards[q.Destination]
	if b == nil {
		b = &bulletin.Board{}
		h.boards[q.Destination] = b
	}
	if b.Post(h.p.clock.Now(), q.Issue) {
		h.counts.Posted++
		h.believe(s)
	}
}

// believe brings a pool's decisions what is believed now.
func (h *herald) believe(s *pool) {
	keys := h.boards[s.name].Beliefs(h.p.clock.Now(), h.p.set.Inner(0))
	of := make(map[policy.Server]policy.Belief, len(keys))
	for _, w := range h.p.workers {
		id := policy.Server(hash(w.ID))
		if b, ok := keys[bulletin.Key(id)]; ok && w.Destination == s.name {
			of[id] = b
		}
	}
	h.stood[s.name] = len(of) > 0
	s.core.Believe(of)
}

// saw takes what a neighbour saw, as its home. Who does not take us for one asks in vain.
func (p *Proxy) saw(_ context.Context, q waymark.Seen) (a waymark.Noted, err error) {
	p.loop.Post(func() {
		if h := p.herald; h != nil && p.pools[q.Destination] != nil {
			h.counts.Heard++
			h.desk(q.Destination).Hear(p.clock.Now(), q.From, q.Sights)
		}
	})
	return a, nil
}

// posted takes what a home has us believe.
func (p *Proxy) posted(_ context.Context, q waymark.Posted) (a waymark.Noted, err error) {
	p.loop.Post(func() {
		if p.herald != nil {
			p.herald.post(q)
		}
	})
	return a, nil
}

func (h *herald) figures() {
	if h.counts.Told+h.counts.Posted > 0 {
		e := h.p.log.Info().Interface("counts", h.counts)
		for name, d := range h.desks {
			e = e.Uints64(name, []uint64{d.Outs, d.Backs, d.Calms})
		}
		e.Msg("bulletin figures")
	}
}

// lines is its part of the status. On the loop.
func (h *herald) lines() (lines []string) {
	now := h.p.clock.Now()
	for _, name := range slices.Sorted(maps.Keys(h.boards)) {
		out := 0
		of := h.boards[name].Beliefs(now, h.p.set.Inner(0))
		for _, b := range of {
			if b == policy.Shunned || b == policy.OnTrial {
				out++
			}
		}
		lines = append(lines, fmt.Sprintf("bulletin of %s: %d workers named, %d out", name, len(of), out))
	}
	return lines
}
