package bothy

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"foxwood/internal/election"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// sign keeps a gatekeeper's session and answers with the news, at once where there is some.
func (b *Bothy) sign(ctx context.Context, q waymark.Sign) (waymark.Signed, error) {
	b.mu.Lock()
	b.counts.Signs++
	came := b.now()
	if q.Leaving {
		b.book.Leave(came, q.Member.Station, q.Member.Life)
	} else {
		b.book.Sign(came, q.Member)
	}
	b.election.Learn(dutyRoster, q.Roster>>termShift)
	b.strikes.newest = max(b.strikes.newest, q.Roster)
	b.rolled()
	kept := q.Leaving || b.lifeKept(q.Member.Station)
	b.mu.Unlock()
	if !kept {
		b.awaitLife(ctx, q.Member.Station)
	}
	wait := time.NewTimer(time.Duration(min(max(q.Wait, 0), waitMost) * float64(time.Millisecond)))
	defer wait.Stop()
	for {
		b.mu.Lock()
		a, some := b.signed(q, came)
		news := b.news
		b.mu.Unlock()
		if some || q.Wait <= 0 {
			return a, nil
		}
		select {
		case <-news:
		case <-wait.C:
			q.Wait = 0
		case <-ctx.Done():
			return a, rpc.Errorf(rpc.Unavailable, "the caller has left")
		}
	}
}

// signed is the answer as things stand, and whether it holds news. The lock is held.
func (b *Bothy) signed(q waymark.Sign, came float64) (a waymark.Signed, some bool) {
	now := b.now()
	a.AsOf = b.asked - came
	a.Stale = b.asked == 0 || now-b.asked > staleAfter || b.waits()
	a.Settled = b.settled(now)
	a.Again = b.book.Again(now, q.Member.Station, b.firstTokensWindow()) || !b.lifeKept(q.Member.Station)
	roll := b.book.Members(now)
	some = b.relay(now, roll, &q, &a)
	a.Evac = b.evac
	if b.evac > q.Evac {
		a.HasEvac, a.Evacuated = true, b.evacs
		a.TakenBack = b.takenBack(q.Evac)
		some = true
	}
	some = b.shadowNews(now, came, roll, &q, &a) || some
	if struck, mark := b.strikes.list(); mark != 0 && mark != q.Struck {
		a.Struck, a.StruckNow, some = struck, mark, true
	}
	// Who has just started does not know all members yet: by too few of them gatekeepers would
	// divide what cold workers bear and what quotas leave them.
	if c := b.crowd(roll, &q.Member); a.Settled && now >= crowdAfter && c.Mark != q.Crowd {
		a.Crowd, some = c, some || q.Crowd == 0 // who has one hears of changes with its next answer
	}
	if b.coresMark != q.Cores {
		a.Cores, a.CoresNow = b.cores, b.coresMark
	}
	return a, some || a.Stale
}

// takenBack is the zones whose evacuation was taken back since a change. Who has just started is told of none. The
// lock is held.
func (b *Bothy) takenBack(since uint64) (zones []string) {
	if since == 0 {
		return nil
	}
	for zone, last := range b.state.Touched {
		if _, evacuated := b.state.Evacuated[zone]; !evacuated && last.Seq > since {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// settled tells whether the members are whole here. The lock is held.
func (b *Bothy) settled(now float64) bool {
	if len(b.core) > 0 {
		return b.book.Settled(now, b.core)
	}
	return b.book.Settled(now, b.known) // what the seeds name: the core is not known yet
}

// viewer is who is told of the others: what they are told goes by it and the roll alone.
type viewer struct{ station, zone, region string }

// crowd is what a gatekeeper is told of the others. It is found once for each roll.
func (b *Bothy) crowd(roll membership.Roll, g *membership.Member) *waymark.Crowd {
	if b.crowdsOf != roll.Version {
		b.crowds, b.crowdsOf = map[viewer]*waymark.Crowd{}, roll.Version
	}
	as := viewer{g.Station, g.Zone, g.Region}
	c := b.crowds[as]
	if c == nil {
		c = crowdOf(roll, g)
		b.crowds[as] = c
	}
	return c
}

func crowdOf(roll membership.Roll, g *membership.Member) *waymark.Crowd {
	c := &waymark.Crowd{}
	c.Place, c.Count = roll.Place(g.Station)
	h := xxh3.New()
	_, _ = fmt.Fprint(h, c.Place, c.Count)
	var far []string
	for i := range roll.Members {
		o := &roll.Members[i]
		switch {
		case o.Region != g.Region || o.Station == g.Station || !o.Ready || o.Leaving:
		case o.Zone == g.Zone:
			c.Peers, c.Near = append(c.Peers, o.Inner), append(c.Near, i)
		default:
			far = append(far, o.Inner)
		}
	}
	c.Peers = append(c.Peers, far...)
	_, _ = fmt.Fprint(h, c.Near, c.Peers)
	c.Mark = h.Sum64() | 1
	return c
}

// waits tells whether this machine has no seat in the core: it hears of no duty's holder, so gatekeepers are
// better off elsewhere. The lock is held.
func (b *Bothy) waits() bool {
	return b.view.No > 0 && !slices.Contains(b.core, b.set.Inner(bothyDock))
}

// count notes the core machines that are known, with a mark that changes with them. The lock is held.
func (b *Bothy) count() {
	var cores []waymark.Core
	if !b.waits() {
		cores = append(cores, waymark.Core{Addr: b.set.Inner(bothyDock), Zone: b.set.Zone})
	}
	for _, addr := range b.known {
		cores = append(cores, waymark.Core{Addr: addr, Zone: b.zones[addr]})
	}
	slices.SortFunc(cores, func(x, y waymark.Core) int { return strings.Compare(x.Addr, y.Addr) })
	b.cores, b.coresMark = cores, xxh3.HashString(fmt.Sprint(cores))|1
}

// draw answers a gatekeeper's asking for its slices, here or at the bothy that has the duty.
func (b *Bothy) draw(ctx context.Context, q waymark.Draw) (waymark.Drawn, error) {
	b.mu.Lock()
	holder := b.election.Holder(b.now(), dutySlices)
	if holder == b.set.Inner(bothyDock) {
		defer b.mu.Unlock()
		return b.drawn(q)
	}
	p := b.peers[holder]
	b.mu.Unlock()
	if p == nil || q.Passed {
		return waymark.Drawn{}, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	}
	q.Passed = true
	ctx, cancel := context.WithTimeout(ctx, callMost/2)
	defer cancel()
	return rpc.Call[waymark.Draw, waymark.Drawn](ctx, p, q)
}

// drawn allots as the holder of the duty. The lock is held.
func (b *Bothy) drawn(q waymark.Draw) (waymark.Drawn, error) {
	b.counts.Draws++
	now := b.now()
	if _, ok := b.election.Holds(now, dutySlices); !ok || b.parsed == nil {
		return waymark.Drawn{}, rpc.Errorf(rpc.Unavailable, "the duty is lost")
	}
	demand := make(quota.Demand, len(q.Demand))
	for name, d := range q.Demand {
		demand[name] = float64(d)
	}
	id := memberID(q.Station, q.Life)
	b.rolled() // the allotter allots nothing before it knows of members
	began := time.Now()
	got := b.allot.Ask(now, id, q.Turn, demand, q.Held(), q.LeaseLeft)
	b.counts.AllotNanos += uint64(time.Since(began))
	if got == nil {
		return waymark.Drawn{}, rpc.Errorf(rpc.Stale, "an asking that was overtaken")
	}
	if b.book.Again(now, q.Station, b.firstTokensWindow()) { // an allotter before this one may have given them
		for name, s := range got {
			s.Kick = 0
			got[name] = s
		}
	}
	return waymark.Drawn{Slices: waymark.Pack(got), Lease: sliceLease, SlowStart: b.slowStart.Ask(now, id)}, nil
}

// terms brings the allotter the tenants' quotas. The lock is held.
func (b *Bothy) terms() {
	if b.parsed == nil {
		return
	}
	b.allot.Terms(b.now(), maps.Collect(quota.Limited(b.parsed)), b.parsed.Edition)
}

func memberID(station string, life uint64) string { return fmt.Sprintf("%s/%x", station, life) }

// ward steps the ballots on.
func (b *Bothy) ward(context.Context) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	out := b.election.Step(b.now(), election.Event{Kind: election.Tick})
	b.duties(out)
	b.strikes.watch(b.now(), b.election.Holder(b.now(), dutyRoster))
	b.watchLives()
	settled, epoch := b.election.Settled(b.now())
	again := b.set.ArchiveDir != "" && settled != nil && (epoch != b.keptEpoch || !slices.Equal(settled, b.kept)) && b.keeping.begin(b.now())
	b.mu.Unlock()
	b.send(out)
	if again {
		go b.keepNow(settled, epoch) // a disk that hangs must not hold up the ballots
	}
}

// duties takes duties up and lays them down. The lock is held.
func (b *Bothy) duties(out election.Out) {
	for _, d := range out.Won {
		b.log.Info().Str("duty", d.Duty).Uint64("term", d.Term).Float64("vacantMs", d.VacantMs).Msg("won")
		b.counts.DutiesWon++
		b.levelDuty(d.Duty, d.Term, true)
		if d.Duty == dutySlices {
			b.allot.Begin(b.now(), d.VacantMs)
			b.slowStart.Begin(b.now(), d.VacantMs)
		}
	}
	for _, d := range out.Vacant {
		if d.Duty == dutySlices {
			b.allot.Vacant(d.VacantMs)
			b.slowStart.Vacant(d.VacantMs)
		}
	}
	for _, d := range out.Lost {
		b.counts.DutiesLost++
		b.levelDuty(d.Duty, d.Term, false)
		b.log.Info().Str("duty", d.Duty).Uint64("term", d.Term).Msg("lost")
	}
}

func (b *Bothy) send(out election.Out) {
	for _, m := range out.Send {
		b.mu.Lock()
		p := b.peers[m.To]
		b.mu.Unlock()
		if p != nil {
			_ = rpc.Tell(p, m)
		}
	}
}

// balloted takes a message of another bothy's election.
func (b *Bothy) balloted(_ context.Context, m election.Message) (waymark.AskStatus, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return waymark.AskStatus{}, nil
	}
	out := b.election.Step(b.now(), election.Event{Kind: election.Heard, Message: m})
	b.duties(out)
	b.mu.Unlock()
	b.send(out)
	return waymark.AskStatus{}, nil
}

func (b *Bothy) status(context.Context, waymark.AskStatus) (waymark.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var s waymark.Status
	say := func(format string, a ...any) { s.Lines = append(s.Lines, fmt.Sprintf(format, a...)) }
	say("station %s", b.set.Station)
	say("view %d chain %v core %v", b.view.No, b.view.Chain, b.view.Core)
	say("edition %s change %d", timetable.FormatEdition(b.state.Edition), b.state.Last.Seq)
	say("tail asked %.0f ms ago", now-b.asked)
	say("evacuated %v", b.evacs)
	for _, d := range []string{dutyRoster, dutySlices} {
		say("duty %s held by %s", d, b.election.Holder(now, d))
	}
	s.Lines = append(s.Lines, b.levelLines()...)
	say("roster version %d, %d workers, polled %.0f ms ago, %d taken away without the duty", b.roster.version, len(b.roster.listed), now-b.polled,
		len(b.strikes.at))
	roll := b.book.Members(now)
	for i := range roll.Members {
		g := &roll.Members[i]
		say("member %s zone %s at %s ready %t leaving %t", g.Station, g.Zone, g.Counter, g.Ready, g.Leaving)
	}
	return s, nil
}

// resolve is the addresses for clients of a zone.
func (b *Bothy) resolve(region, zone string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Resolves++
	return membership.Resolve(b.now(), b.book.Members(b.now()), region, zone, resolveMost)
}
