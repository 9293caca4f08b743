// Package bothy is the registry: where gatekeepers sign in, workers are known, duties are
// shared out and outside callers are answered. Its state belongs to one lock; the loops
// around it each work out one difference: what the chain holds, what the other bothies know,
// what the platform lists, which duties are vacant.
package bothy

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cairn"
	"foxwood/internal/election"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/slowstart"
	"foxwood/internal/snowline"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// The duties.
const (
	dutyRoster = "roster" // polls the platform's list
	dutySlices = "slices" // allots quotas
)

// Programs on a core machine, by their places among the inner docks.
const (
	bothyDock = 0
	cairnDock = 1
)

const (
	lapse        = 1500.0 // milliseconds without a sign
	dutyLease    = 700.0
	sliceLease   = 1300.0 // a gatekeeper asks every 500 ms, and may lose one asking
	staleAfter   = 1000.0 // milliseconds without the tail
	waitMost     = 700.0
	hurryEvery   = 25 * time.Millisecond
	hurryMost    = 2 * time.Second
	pollApart    = 150 * time.Millisecond
	crowdAfter   = 300.0 // milliseconds after its start from which members are told of
	confirmEvery = 200 * time.Millisecond
	gossipEvery  = 300 * time.Millisecond
	guestKeep    = 3000.0 // milliseconds
	wholeEvery   = 3000.0 // milliseconds between two whole pages, whatever is the same
	wardenEvery  = 50 * time.Millisecond
	rosterEvery  = 400 * time.Millisecond
	callMost     = 900 * time.Millisecond
	figuresEvery = 10 * time.Second
)

// Bothy is one registry.
type Bothy struct {
	set   *bootconfig.Settings
	log   zerolog.Logger
	start time.Time
	clock func() float64 // in the place of the steady clock, where it is set
	cairn *rpc.Peer

	mu        sync.Mutex
	news      chan struct{} // closed at news
	book      *membership.Book
	election  *election.Machine
	roster    *roster
	allot     *quota.Allotter
	slowStart *slowstart.Coordinator
	peers     map[string]*rpc.Peer // the other bothies
	zones     map[string]string    // theirs
	seeds     []string
	known     []string           // other bothies that gatekeepers may sign with
	guests    map[string]float64 // when bothies outside the core last spoke
	places    map[string]string  // the settings' zones, with their regions
	state     cairn.State
	packed    []byte // the state's configuration, as it travels
	parsed    *timetable.Timetable
	view      cairn.View
	asked     float64 // when the tail was last asked with success
	blind     bool    // it was not, for long
	core      []string
	cores     []waymark.Core // all bothies known, and their mark
	coresMark uint64
	kept      []string // the electorate on the disk
	keptEpoch uint64
	keeping   keeping
	lives     recentLives
	evac      uint64
	evacs     []string
	roll      uint64
	crowds    map[viewer]*waymark.Crowd // of one roll
	crowdsOf  uint64
	members   int
	life      uint64
	told      map[string]toldWhole // by the address of who was told
	telling   map[string]bool      // who has not answered yet
	tellSoon  chan struct{}        // there is news of workers that should not wait for the next round
	counts    counts
	strikes   strikes
	polled    float64
	unread    bool // the platform's list has not been read for long, and that was told
	stopped   bool

	patience time.Duration    // with this machine's cairn
	level    *snowline.Holder // nil where nothing is shed

	probes, probeRoom float64 // a second, and how many may be made now
}

// toldWhole is what another bothy was last told whole.
type toldWhole struct {
	life uint64 // of its process
	mark uint64
	at   float64
}

// counts is what has happened since the start.
type counts struct {
	Signs, Resolves, Puts, Refused, Conflicts, Failed, Polls, PollsFailed, Confirms, ConfirmsFailed, Draws, Probes uint64
	DutiesWon, DutiesLost, AllotNanos                                                                              uint64
}

// New makes a bothy. It also stands for the duties named.
func New(set *bootconfig.Settings, log zerolog.Logger, duties ...string) *Bothy {
	b := &Bothy{set: set, log: log, start: time.Now(), cairn: rpc.NewPeer(set.Inner(cairnDock)),
		news: make(chan struct{}), roster: newRoster(), peers: map[string]*rpc.Peer{}, zones: map[string]string{}, told: map[string]toldWhole{}, telling: map[string]bool{},
		tellSoon: make(chan struct{}, 1), life: rand.Uint64(),
		guests: map[string]float64{}}
	self := set.Inner(bothyDock)
	b.book = membership.New(self, rand.Uint64(), b.now(), lapse)
	kept, epoch, first := recall(set.ArchiveDir)
	if first = first && set.FirstRun; first && set.ArchiveDir != "" {
		// It must be there before the first voice is given: the next life may have to wait that out.
		first = keep(set.ArchiveDir, nil, 0) == nil
	}
	b.kept, b.keptEpoch = kept, epoch
	b.election = election.New(self, rand.Uint64(), b.now(), dutyLease, first, append([]string{dutyRoster, dutySlices}, duties...)...)
	b.election.Remember(kept, epoch)
	b.allot = quota.New(sliceLease, quota.BoundsOf(&set.Bounds))
	b.allot.Homes = true
	b.slowStart = slowstart.New(sliceLease)
	b.patience = callMost
	b.keeping.write = keep
	b.lives = recentLives{write: writeLives, kept: readLives(set.ArchiveDir)}
	b.book.Recall(b.now(), b.lives.kept)
	b.setSeeds(set)
	return b
}

// now is milliseconds of the steady clock since the start.
func (b *Bothy) now() float64 {
	if b.clock != nil {
		return b.clock()
	}
	return float64(time.Since(b.start)) / 1e6
}

// Reload takes a settings file that has changed.
func (b *Bothy) Reload(set *bootconfig.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setSeeds(set)
}

func (b *Bothy) setSeeds(set *bootconfig.Settings) {
	b.seeds, b.places = set.Seeds(bothyDock), set.Zones
	b.electorate()
}

// electorate brings who votes and who is told to what the view and the seeds say. A bothy whose machine waits
// for a seat in the core is told of sessions as long as it speaks: outside callers may ask it.
func (b *Bothy) electorate() {
	self := b.set.Inner(bothyDock)
	var core []string
	for _, id := range b.view.Core {
		if host, _, err := net.SplitHostPort(id.Addr); err == nil {
			core = append(core, b.set.At(host, bothyDock))
		}
	}
	slices.Sort(core)
	core = slices.Compact(core)
	known := slices.Clone(core)
	if b.view.No == 0 || b.blind { // the core may be, or have moved on to, what the seeds name
		known = append(known, b.seeds...)
	}
	slices.Sort(known)
	b.known = slices.DeleteFunc(slices.Compact(known), func(addr string) bool { return addr == self })
	told := slices.Clone(b.known)
	for addr, at := range b.guests {
		if b.now()-at > guestKeep || slices.Contains(b.known, addr) {
			delete(b.guests, addr)
		} else {
			told = append(told, addr)
		}
	}
	for _, addr := range told {
		if b.peers[addr] == nil {
			b.peers[addr] = rpc.NewPeer(addr)
		}
	}
	for addr, p := range b.peers {
		if !slices.Contains(told, addr) {
			p.Close()
			delete(b.peers, addr)
		}
	}
	b.core = core
	b.count()
}

// changed wakes those who wait for news. The lock is held.
func (b *Bothy) changed() {
	close(b.news)
	b.news = make(chan struct{})
}

// Serve answers until the context ends.
func (b *Bothy) Serve(ctx context.Context) error {
	inner, err := rpc.Listen(b.set.Inner(bothyDock))
	if err != nil {
		return err
	}
	s := rpc.NewServer()
	rpc.Handle(s, b.sign)
	rpc.Handle(s, b.gossiped)
	rpc.Handle(s, b.askedRoster)
	rpc.Handle(s, b.draw)
	rpc.Handle(s, b.balloted)
	rpc.Handle(s, b.status)
	b.serveLevel(ctx, s)
	if b.probes > 0 {
		go loop(ctx, probeEvery, nil, b.probe)
	}
	go func() { _ = s.Serve(inner) }()
	doors, err := b.open()
	if err != nil {
		return err
	}
	for every, do := range map[time.Duration]func(context.Context){
		confirmEvery: b.confirm, wardenEvery: b.ward, rosterEvery: b.poll, figuresEvery: b.figures,
	} {
		go loop(ctx, every, nil, do)
	}
	go loop(ctx, gossipEvery, b.tellSoon, b.gossip)
	go b.hurry(ctx)
	b.log.Info().Str("inner", b.set.Inner(bothyDock)).Bool("first", b.set.FirstRun).Msg("serving")
	<-ctx.Done()
	b.leave()
	for _, d := range doors {
		stop, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = d.Shutdown(stop)
		cancel()
	}
	s.Close()
	return nil
}

// hurry learns what there is as soon as it can be had: who has just started would else wait for
// the loops' turns while its store is coming up.
func (b *Bothy) hurry(ctx context.Context) {
	polled := time.Time{}
	for began := time.Now(); time.Since(began) < hurryMost && ctx.Err() == nil; time.Sleep(hurryEvery) {
		b.mu.Lock()
		state, roster := b.state.Last.Seq > 0, b.roster.version > 0
		b.mu.Unlock()
		if !state {
			b.confirm(ctx)
		}
		if !roster && b.now() > pollAlone && time.Since(polled) > pollApart {
			polled = time.Now()
			b.poll(ctx)
		}
		if state && roster {
			return
		}
	}
}

// loop does something again and again, and sooner when told so.
func loop(ctx context.Context, every time.Duration, soon <-chan struct{}, do func(context.Context)) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-soon:
		}
	}
}

// confirm asks the tail, through this machine's cairn, for what is committed.
func (b *Bothy) confirm(ctx context.Context) {
	b.mu.Lock()
	have, view, asked := b.state.Last, b.view.No, b.now()
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, b.patience)
	defer cancel()
	got, err := rpc.Call[waymark.Confirm, waymark.Confirmed](ctx, b.cairn, waymark.Confirm{Have: have, View: view, Recall: have.Seq == 0})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Confirms++
	if blind := err != nil && b.now()-b.asked > staleAfter; blind != b.blind {
		b.blind = blind
		b.electorate()
	}
	if err != nil {
		b.counts.ConfirmsFailed++
		return
	}
	if got.Recalled { // not the tail's word: better than nothing where there is nothing
		if b.state.Last.Seq == 0 && got.State != nil && len(got.State.Body) > 0 {
			b.log.Info().Msg("goes on from this machine's disk, the chain has not answered yet")
			b.take(*got.State)
		}
		return
	}
	if got.View != nil && got.View.No > b.view.No {
		b.view = *got.View
		b.log.Info().Uint64("view", b.view.No).Int("chain", len(b.view.Chain)).Int("core", len(b.view.Core)).Msg("view")
		b.electorate()
	}
	if got.State != nil && newer(got.State.Last, b.state.Last) {
		b.take(*got.State)
	}
	if !newer(got.Last, b.state.Last) {
		b.asked = max(b.asked, asked)
	}
	if (got.View == nil && view == b.view.No || got.View != nil && got.View.No == b.view.No) && len(b.core) > 0 {
		b.election.Electorate(b.now(), asked, b.core, b.view.Epoch, b.view.Removed)
	}
}

func newer(a, than cairn.Stamp) bool { return a.Seq > than.Seq }

// take puts a newer committed state in force. The lock is held.
func (b *Bothy) take(s cairn.State) {
	before, order := b.state.Edition, b.state.Orders[OrderShadow]
	b.state = s
	b.shadowTaken(order)
	if s.Edition != before && len(s.Body) > 0 {
		b.packed = waymark.Deflate(s.Body)
		t, err := timetable.Parse(s.Body)
		if err != nil { // it was checked before it came into the chain
			b.log.Error().Err(err).Uint64("edition", s.Edition).Msg("a committed configuration can't be read")
		} else {
			b.parsed = t
			b.log.Info().Str("edition", timetable.FormatEdition(s.Edition)).Int("routes", len(t.Courses)).Msg("configuration")
		}
	}
	var zones []string
	for z := range s.Evacuated {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	b.terms()
	if !slices.Equal(zones, b.evacs) || b.evac == 0 {
		b.evacs = zones
		b.log.Info().Strs("zones", zones).Msg("evacuated")
	}
	b.evac = s.Last.Seq
	b.changed()
}

// gossip exchanges sessions with the other bothies. One that does not answer holds up nobody else: it is told again
// once it has, or its call has failed.
func (b *Bothy) gossip(ctx context.Context) {
	b.mu.Lock()
	now := b.now()
	mark := b.book.Mark(now)
	brief, whole := sync.OnceValue(func() membership.Page { return b.book.Brief(now) }), sync.OnceValue(func() membership.Page { return b.book.Tell(now) })
	type telling struct {
		to   *rpc.Peer
		last toldWhole
		page membership.Page
	}
	var tellings []telling
	for addr, p := range b.peers {
		if b.telling[addr] {
			continue
		}
		b.telling[addr] = true
		t := telling{to: p, last: b.told[addr]}
		if t.last.mark == mark && now-t.last.at < wholeEvery {
			t.page = brief()
		} else {
			t.page = whole()
		}
		tellings = append(tellings, t)
	}
	g := waymark.Gossip{From: b.set.Inner(bothyDock), Zone: b.set.Zone, Roster: b.roster.version}
	g.Struck, _ = b.strikes.list()
	b.mu.Unlock()
	var all sync.WaitGroup
	for _, x := range tellings {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callMost)
			defer cancel()
			g, p, t := g, x.to, x.last
			g.Page = x.page
			h, err := rpc.Call[waymark.Gossip, waymark.Heard](ctx, p, g)
			b.mu.Lock()
			delete(b.telling, p.Addr())
			switch {
			case err != nil || h.Life != t.life: // who it was heard nothing, or has forgotten it
				b.told[p.Addr()] = toldWhole{life: h.Life}
			case g.Page.Briefs == nil:
				b.told[p.Addr()] = toldWhole{life: h.Life, mark: mark, at: now}
			}
			b.mu.Unlock()
			if err != nil {
				return
			}
			b.fetch(ctx, p, h.Roster)
		})
	}
	waitAtMost(&all, gossipEvery)
	b.mu.Lock()
	b.rolled()
	if len(b.guests) > 0 {
		b.electorate()
	}
	b.mu.Unlock()
}

// waitAtMost waits until all are done, but not longer than a time.
func waitAtMost(all *sync.WaitGroup, most time.Duration) {
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	limit := time.NewTimer(most)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	}
}

// rolled tells of members that came or went. The lock is held.
func (b *Bothy) rolled() {
	now := b.now()
	roll := b.book.Members(now)
	if roll.Version != b.roll {
		b.roll = roll.Version
		ids := make([]string, 0, len(roll.Members))
		for i := range roll.Members {
			ids = append(ids, memberID(roll.Members[i].Station, roll.Members[i].Life))
		}
		b.allot.Members(now, ids)
		if n := len(roll.Members); n != b.members {
			b.members = n
			b.log.Info().Int("members", n).Msg("members")
		}
		b.changed()
	}
}

func (b *Bothy) hear(from, zone string, p membership.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.zones[from] != zone {
		b.zones[from] = zone
		b.count()
	}
	b.book.Hear(b.now(), p)
	b.rolled()
}

// fetch asks for a roster that is newer than ours.
func (b *Bothy) fetch(ctx context.Context, p *rpc.Peer, version uint64) {
	b.mu.Lock()
	have := b.roster.version
	b.mu.Unlock()
	if version <= have {
		return
	}
	r, err := rpc.Call[waymark.AskRoster, waymark.Roster](ctx, p, waymark.AskRoster{Have: have})
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.roster.hear(b.now(), &r) {
		b.strikes.settle(b.roster)
		b.changed()
	}
}

func (b *Bothy) gossiped(ctx context.Context, g waymark.Gossip) (waymark.Heard, error) {
	b.hear(g.From, g.Zone, g.Page)
	b.mu.Lock()
	if self := b.set.Inner(bothyDock); g.From != self && !slices.Contains(b.known, g.From) {
		_, was := b.guests[g.From]
		if b.guests[g.From] = b.now(); !was {
			b.electorate()
		}
	}
	p := b.peers[g.From]
	h := waymark.Heard{Roster: b.roster.version, Life: b.life}
	b.strikes.newest = max(b.strikes.newest, g.Roster)
	if b.strikes.hear(b.roster, g.Struck) {
		b.changed()
	}
	b.mu.Unlock()
	if p != nil && g.Roster > h.Roster {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callMost) // a peer that is frozen holds its callers
			defer cancel()
			b.fetch(ctx, p, g.Roster)
		}()
	}
	return h, nil
}

func (b *Bothy) askedRoster(_ context.Context, q waymark.AskRoster) (waymark.Roster, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.roster.since(b.now(), q.Have)
	if r == nil {
		return waymark.Roster{}, nil
	}
	return *r, nil
}

// leave gives duties up and tells the others, before the process ends.
func (b *Bothy) leave() {
	b.mu.Lock()
	b.stopped = true
	out := b.election.Step(b.now(), election.Event{Kind: election.Resign})
	b.mu.Unlock()
	b.send(out)
}

func (b *Bothy) figures(context.Context) {
	b.mu.Lock()
	c, members, workers, asked := b.counts, len(b.book.Members(b.now()).Members), len(b.roster.listed), b.now()-b.asked
	b.mu.Unlock()
	b.log.Info().Interface("counts", c).Interface("sent", rpc.Sent()).Int("members", members).Int("workers", workers).
		Float64("tailAskedMs", asked).Msg("figures")
}
