package switchback

import (
	"context"
	"time"

	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// What this gatekeeper asks the registry for that allots quotas, and when.

// draws asks for slices of the quotas again and again, sooner where a bucket has run low or this gatekeeper has
// become a home. Behind an asking that failed none comes sooner: empty buckets are what a registry that can't keep up
// makes of all gatekeepers, and their haste would keep it there.
func (p *Proxy) draws(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		answered := p.draw(ctx)
		for ctx.Err() == nil {
			left := drawEvery - time.Since(began) // askings are that far apart, however late their answers
			if left <= 0 || p.drawWait(ctx, min(left, drawSoon)) {
				break
			}
			soon := false
			p.on(func() { soon = p.tenants.Low(p.micros()) || p.becameHome() })
			if answered && soon {
				break
			}
		}
	}
}

// drawWait waits, and tells whether an asking was called for meanwhile.
func (p *Proxy) drawWait(ctx context.Context, d time.Duration) (called bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-p.drawNow:
		return true
	}
	return false
}

// draw asks once for slices, and tells whether that was answered.
func (p *Proxy) draw(ctx context.Context) (answered bool) {
	var q waymark.Draw
	var asked float64
	var peer *rpc.Peer
	p.on(func() {
		peer = p.control
		if p.table == nil || peer == nil {
			peer = nil
			return
		}
		asked = p.clock.Now()
		q = p.drawing()
	})
	if peer == nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, drawEvery) // a lost one is asked anew within the lease
	defer cancel()
	// On a connection of its own: one that hangs must not end the session's.
	if p.drawer == nil || p.drawer.Addr() != peer.Addr() {
		if p.drawer != nil {
			p.drawer.Close()
		}
		p.drawer = rpc.NewPeer(peer.Addr())
	}
	a, err := rpc.Call[waymark.Draw, waymark.Drawn](call, p.drawer, q)
	p.on(func() {
		p.counts.Draws++
		if err != nil {
			p.counts.DrawsFailed++
			p.floors()
			return
		}
		answered = true
		p.drawn = true
		p.drawMs = p.clock.Now() - asked
		p.slowStart.Take(a.SlowStart, asked, a.Lease)
		fresh := p.clock.Now()-asked <= quota.TokensMs
		of := make(map[string]policy.TenantSlice, len(a.Slices))
		for name, s := range waymark.Unpack(a.Slices) {
			if !fresh { // what it may add has been given up
				s.Tokens = 0
			}
			if p.kicked {
				s.Kick = 0
			}
			of[name] = policy.TenantSlice(s)
		}
		p.kicked = true
		p.tenants.Slices(p.micros(), of, policy.Micros((asked+a.Lease)*1000))
	})
	return answered
}

// drawing is what an asking for slices says. On the loop.
func (p *Proxy) drawing() waymark.Draw {
	p.turn++
	p.moveHomes()
	holding, left := p.tenants.Holding(p.micros())
	held := make(map[string]quota.Slice, len(holding))
	for name, s := range holding {
		if s != (policy.TenantSlice{}) { // of most thin quotas nothing is held here
			held[name] = quota.Slice(s)
		}
	}
	q := waymark.Draw{Station: p.set.Station, Life: p.life, Turn: p.turn, Demand: map[string]float32{}, LeaseLeft: float64(left) / 1000}
	q.Hold(held)
	for name, d := range p.tenants.Demand(p.micros()) {
		q.Demand[name] = float32(d)
	}
	for name := range p.homed { // before the first is asked for, or the first would be refused
		q.Demand[name] = max(q.Demand[name], homeDemand)
	}
	return q
}

// floors takes up the floors that were kept for this station, where nobody has allotted anything
// yet in this life: after a loss of the whole core nobody can for some seconds. Once in a life it
// also takes the kick that goes with them, if the allotter has not given it.
func (p *Proxy) floors() {
	if p.drawn || !p.settled || p.members == 0 {
		return
	}
	of := map[string]policy.TenantSlice{}
	for name, terms := range quota.Limited(p.table) {
		f := quota.Floor(name, terms, p.quotas, p.place, p.members)
		if p.kicked || p.again {
			f.Kick = 0
		}
		if !p.kicked { // the floor was this station's own since the process began
			f.Tokens = f.Floor * (p.clock.Now() - clockStart) / 1000
		}
		of[name] = policy.TenantSlice(f)
	}
	p.kicked = true
	p.tenants.Slices(p.micros(), of, 0)
}
