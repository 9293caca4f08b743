// Package switchback is the proxy: today's links, core and decision module, with a pool for
// each destination, fed by a session with a control gatekeeper. One event loop owns all its
// state; the session runs beside it and hands over what it hears.
package switchback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxwood/gatekeeper"
	"foxwood/internal/bootconfig"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/slowstart"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

const (
	sweepEvery   = 250 * time.Millisecond
	figuresEvery = 10 * time.Second
	signWait     = 500.0
	drawEvery    = 500 * time.Millisecond
	drawSoon     = 120 * time.Millisecond
	callMost     = 1100 * time.Millisecond
	leaseMargin  = 300.0                   // milliseconds before its end at which a key's lease counts as over
	drainOpen    = 2200 * time.Millisecond // clients hold what the directory said for two seconds
	drainSpare   = 700 * time.Millisecond
	drainLook    = 50 * time.Millisecond
	clockStart   = 1e9
	floorFor     = policy.Micros(9 * 60e6) // the allotter keeps floors for ten minutes
	handlesKept  = 200                     // of the descriptors, for files outside the disk folder
	awayFor      = 3 * time.Second
	failWait     = 30 * time.Millisecond
	staleWait    = 70 * time.Millisecond
	unreadWait   = 400 * time.Millisecond
	signWaitMost = 400 * time.Millisecond // between two signs where no registry is any good

	signsAtOnce   = 5 // signs that were no good, one behind the other, before the waits grow
	signDoublings = 4
)

// worker is a listed one.
type worker struct {
	waymark.Worker
	coldUntil policy.Micros
	wrong     bool // another process has its address
}

// Proxy is one gatekeeper that carries traffic.
type Proxy struct {
	set   *bootconfig.Settings
	log   zerolog.Logger
	seed  uint64
	life  uint64
	clock *gatekeeper.Clock
	loop  *link.Loop
	front *front
	relay *relay

	// The loop's.
	clients   *link.Clients
	doors     *link.Clients
	limits    *http1.Limits
	pools     map[string]*pool
	order     []*pool
	wakeAt    float64
	table     *timetable.Timetable
	evac      uint64
	evacuated map[string]bool
	takenBack map[string]float64 // when a zone's evacuation was last taken back
	slowStart slowstart.Lease    // our part of what cold workers bear
	touched   float64            // as of when the tail's word was last heard
	roster    uint64
	workers   map[string]*worker
	turns     map[string]uint64 // of the destinations' workers that are in force
	crowd     waymark.Crowd
	quotas    quota.Bounds
	thins     map[string]*thinTenant
	owned     owned
	homed     map[string]float64 // thin tenants for which this gatekeeper last asked as their home, and since when it does
	formerly  map[string]float64 // thin tenants whose home it was, and since when it is not
	stoodIn   map[string]bool    // thin tenants that it served in the place of their home
	askers    map[string]*asker
	patience  time.Duration // with a home that is asked for tokens
	connect   float64       // milliseconds for a connection to a worker to come up
	coresMark uint64
	place     int
	members   int
	regions   map[string]int
	tenants   *policy.Tenants
	stays     []policy.Patience // of the clients of each course
	turn      uint64
	control   *rpc.Peer // the session's control gatekeeper
	tries     *policy.Tries
	keysTo    float64 // until when keys may be honoured, where revocations are final
	signed    bool    // a session has stood
	settled   bool    // the members were once known whole
	drawn     bool    // slices were once allotted
	kicked    bool    // the first tokens of this life were taken
	again     bool    // the last life's may count still
	draining  bool
	counts    counts
	callers   *callers
	shed      *shedder // nil where nothing is shed by a level
	shadow    *shadows // nil where nothing is copied
	herald    *herald  // nil where beliefs are not shared

	isReady atomic.Bool
	cores   []waymark.Core // beside the loop: the session's
	named   []string       // of them, by the settings
	away    map[string]time.Time
	peers   map[string]*rpc.Peer
	seeds   chan []string
	drawer  *rpc.Peer     // the drawing's
	drawNow chan struct{} // calls for an asking before its time
	drawMs  float64       // how long the last answer to a drawing took

	badSigns int // of the session, one behind the other
}

// counts is what has happened since the start.
type counts struct {
	Requests, Refused, Failed, OverQuota, NoQuotaLease, BucketEmpty, HomeEmpty, HomeUnreached, NoHome, NoRoute, NoKey, NoLease, Bad, Foreign, NotDelivered, Misdirected uint64
	Signs, SignsFailed, Moves, Draws, DrawsFailed, Asked, AskedInVain                                                                                                   uint64
}

// New makes a proxy.
func New(set *bootconfig.Settings, log zerolog.Logger) (*Proxy, error) {
	p := &Proxy{set: set, log: log, seed: rand.Uint64(), life: rand.Uint64(), clock: gatekeeper.NewSteadyClock(clockStart),
		pools: map[string]*pool{}, evacuated: map[string]bool{}, takenBack: map[string]float64{}, workers: map[string]*worker{}, regions: map[string]int{},
		tenants: policy.NewTenants(), callers: newCallers(), thins: map[string]*thinTenant{}, homed: map[string]float64{}, formerly: map[string]float64{}, stoodIn: map[string]bool{}, drawNow: make(chan struct{}, 1), askers: map[string]*asker{}, away: map[string]time.Time{}, peers: map[string]*rpc.Peer{},
		seeds: make(chan []string, 1), limits: &http1.Limits{}, patience: tokenMost, connect: connectMax}
	b := set.Bounds
	p.quotas = quota.BoundsOf(&b)
	p.tries = policy.NewTries(p.micros(), policy.TriesRule{Window: policy.Micros(b.RetryWindowS * 1e6), Ratio: b.RetryRatio, Slack: b.RetrySlack})
	p.tenants.FloorFor = floorFor
	p.front = &front{p: p}
	p.relay, p.turns = newRelay(), map[string]uint64{}
	p.named = set.Seeds(0)
	p.learn(seedCores(p.named))
	tune(set.SizeLimits.MemoryMB)
	budget := link.NewBudget(set.SizeLimits.Handles-handlesKept, 32)
	loop, err := link.NewLoop(budget)
	if err != nil {
		return nil, err
	}
	p.loop = loop
	loop.Flowing = set.SizeLimits.MemoryMB << 20 / 8
	loop.OnAlarm(p.advance)
	p.on(func() {
		p.clients = link.NewClients(loop, p.clock, nil, p.front)
		p.clients.Limits = &link.ClientLimits{HTTP: p.limits}
		p.clients.Verdict = p.front
		p.doors = link.NewClients(loop, p.clock, nil, door{p})
		loop.Every(sweepEvery, func() {
			p.clients.Sweep()
			p.doors.Sweep()
			for _, s := range p.order {
				s.fleet.Sweep()
			}
		})
		loop.Every(figuresEvery, p.figures)
	})
	return p, nil
}

// tune sets the runtime for one core and little memory.
func tune(memoryMB int) {
	runtime.GOMAXPROCS(2)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / 2)
	}
}

// on runs do on the loop and waits for it.
func (p *Proxy) on(do func()) {
	done := make(chan struct{})
	p.loop.Post(func() {
		do()
		close(done)
	})
	<-done
}

func (p *Proxy) micros() policy.Micros { return policy.Micros(p.clock.Now() * 1000) }

// wake asks for the earliest of what the pools ask for.
func (p *Proxy) wake(at float64) {
	if p.wakeAt == 0 || at < p.wakeAt {
		p.wakeAt = at
		p.loop.Wake(at - p.clock.Now())
	}
}

func (p *Proxy) advance() {
	p.wakeAt = 0
	for _, s := range p.order {
		s.core.Advance()
	}
}

// Serve answers clients until the context ends, and then until what was taken is answered.
func (p *Proxy) Serve(ctx context.Context) error {
	ln, err := link.Listen(p.set.Gates.Counter)
	if err != nil {
		return err
	}
	go ln.Accept(p.loop, func() *link.Client { return p.clients.Make() })
	if a := p.set.Gates.Readiness; a != "" && a != p.set.Gates.Counter {
		ready, err := link.Listen(a)
		if err != nil {
			return err
		}
		go ready.Accept(p.loop, func() *link.Client { return p.doors.Make() })
	}
	inner, err := rpc.Listen(p.set.Inner(0))
	if err != nil {
		return err
	}
	s := rpc.NewServer()
	rpc.Handle(s, p.status)
	rpc.Handle(s, p.granting)
	rpc.Handle(s, p.subscribed)
	rpc.Handle(s, p.lent)
	rpc.Handle(s, p.gathered)
	rpc.Handle(s, p.copies)
	rpc.Handle(s, p.saw)
	rpc.Handle(s, p.posted)
	go func() { _ = s.Serve(inner) }()
	session, end := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		p.session(session)
		close(gone)
	}()
	go p.draws(session)
	go p.sheds(session)
	go p.shadowing(session)
	go p.lends(session)
	p.log.Info().Str("counter", p.set.Gates.Counter).Msg("serving")
	<-ctx.Done()
	until := time.Now().Add(time.Duration(p.set.Bounds.GraceS*float64(time.Second)) - drainSpare/2)
	p.drain(ln)
	p.shadow.hand(min(handMost, time.Until(until)))
	end()
	<-gone
	return p.loop.Stop()
}

// drain answers what was taken and what still comes, while the directory and the platform
// learn that clients are to go elsewhere. It closes the door before it looks for the last time:
// a request that comes between the last look and the end would be lost.
func (p *Proxy) drain(ln *link.Listener) {
	began := time.Now()
	p.log.Info().Msg("draining")
	p.on(func() {
		p.draining = true
		p.isReady.Store(false)
		p.clients.Drain()
	})
	select { // the next homes need what is held here
	case p.drawNow <- struct{}{}:
	default:
	}
	go p.announce()
	most := time.Duration(p.set.Bounds.GraceS*float64(time.Second)) - drainSpare
	open := true
	for {
		time.Sleep(drainLook)
		gone := time.Since(began)
		shut, idle := drainAt(gone, most)
		if open && shut {
			open = false
			_ = ln.Close()
		}
		left := 0
		p.on(func() {
			if idle {
				p.clients.CloseIdle()
			}
			for _, s := range p.order {
				left += s.core.Open()
			}
			left += p.clients.Len()
		})
		if !open && left == 0 || gone > most {
			p.log.Info().Int("left", left).Dur("took", gone).Msg("drained")
			return
		}
	}
}

// drainAt tells what a drain has come to that may last so long at most: whether the door is shut, and
// whether connections without a request end.
func drainAt(gone, most time.Duration) (shut, idle bool) {
	return gone > min(drainOpen, most/2), gone > drainOpen/2
}

// ready tells whether clients may come: who has just started holds nothing of what was
// acknowledged before it has heard from the tail.
func (p *Proxy) ready() bool {
	return !p.draining && (p.signed || !p.set.Bounds.RevocationFinal) && p.table != nil && len(p.workers) > 0
}

// keysHold tells whether keys may be honoured: where revocations are final, only under a
// lease that began when the tail was asked. A gatekeeper that wakes from a freeze is out of it.
func (p *Proxy) keysHold() bool {
	return !p.set.Bounds.RevocationFinal || p.clock.Now() < p.keysTo
}

// giveBack returns what a request drew that never ran.
func (p *Proxy) giveBack(l *link.Client) {
	k, ok := l.Value.(*try)
	if !ok {
		return
	}
	if k.drawn {
		k.drawn = false
		p.tenants.GiveBack(p.micros(), k.tenant)
	}
	if t := p.thins[k.tenant]; k.home && t != nil {
		k.home = false
		t.spare = min(t.spare+1, spareMost)
	}
}

// destination is the pool that a request of a course goes to; a split goes by chance.
func (p *Proxy) destination(c *timetable.Course) *pool {
	i := 0
	if len(c.Split) > 1 {
		sum := 0.0
		for _, s := range c.Split {
			sum += s.Weight
		}
		at := rand.Float64() * sum
		for i = 0; i < len(c.Split)-1 && (at >= c.Split[i].Weight || c.Split[i].Weight == 0); i++ {
			at -= c.Split[i].Weight
		}
	}
	return p.pools[c.Split[i].Destination]
}

// homes is the regions that may serve a request, as bits; 0 is any.
func (p *Proxy) homes(c *timetable.Course, s *timetable.Sender) uint64 {
	mask := p.bits(c.Homes)
	if s == nil || len(s.Homes) == 0 {
		return mask
	}
	if own := p.bits(s.Homes); mask == 0 {
		return own
	} else if mask&own != 0 {
		return mask & own
	}
	return nowhere
}

// nowhere is the bit of a region that there is not.
const nowhere = 1 << 63

func (p *Proxy) bits(regions []string) (mask uint64) {
	for _, r := range regions {
		mask |= 1 << p.region(r)
	}
	return mask
}

func (p *Proxy) region(name string) int {
	i, ok := p.regions[name]
	if !ok {
		i = min(len(p.regions), 62)
		p.regions[name] = i
	}
	return i
}

func (p *Proxy) regionOf(zone string) int { return p.region(p.set.RegionOf(zone)) }

// What a worker's place costs, against one in our zone.
const (
	dearZone   = 1.4
	dearRegion = 40.0
)

func (p *Proxy) dear(zone string) float64 {
	switch {
	case zone == p.set.Zone:
		return 1
	case p.set.RegionOf(zone) == p.set.Region:
		return dearZone
	}
	return dearRegion
}

// misdirected learns from a 421 that a worker has gone and its address has been given away.
func (p *Proxy) misdirected(x *gatekeeper.Execution) {
	p.counts.Misdirected++
	for _, w := range p.workers {
		if policy.Server(hash(w.ID)) == x.Worker && !w.wrong {
			w.wrong = true
			name := w.Destination
			p.loop.Post(func() {
				if s := p.pools[name]; s != nil {
					s.place()
				}
			})
		}
	}
}

func (p *Proxy) figures() {
	open := 0
	for _, s := range p.order {
		open += s.core.Open()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.log.Info().Interface("counts", p.counts).Interface("sent", rpc.Sent()).Int("open", open).Int("members", p.members).Int("workers", len(p.workers)).
		Uint64("heapKB", m.HeapAlloc>>10).Uint64("sysKB", m.Sys>>10).Msg("figures")
}

func (p *Proxy) status(context.Context, waymark.AskStatus) (waymark.Status, error) {
	var s waymark.Status
	p.on(func() {
		say := func(format string, a ...any) { s.Lines = append(s.Lines, fmt.Sprintf(format, a...)) }
		say("station %s zone %s ready %t draining %t", p.set.Station, p.set.Zone, p.ready(), p.draining)
		if p.table != nil {
			say("edition %s routes %d tenants %d", timetable.FormatEdition(p.table.Edition), len(p.table.Courses), len(p.table.Senders))
		}
		say("place %d of %d members, roster version %d", p.place, p.members, p.roster)
		for _, x := range p.order {
			ready, listed := x.core.Size()
			say("destination %s open %d workers %d of %d", x.name, x.core.Open(), ready, listed)
		}
		held, left := p.tenants.Holding(p.micros())
		if p.shed != nil {
			s.Lines = append(s.Lines, p.shed.lines()...)
		}
		if p.herald != nil {
			s.Lines = append(s.Lines, p.herald.lines()...)
		}
		say("slices' lease %d ms", left/1000)
		for name, x := range held {
			say("slice %s rate %.2f burst %.2f floor %.2f", name, x.Rate, x.Burst, x.Floor)
		}
	})
	if p.shadow != nil {
		s.Lines = append(s.Lines, p.shadow.lines()...)
	}
	return s, nil
}

// Reload takes a settings file that has changed.
func (p *Proxy) Reload(set *bootconfig.Settings) {
	select {
	case p.seeds <- set.Seeds(0):
	default:
	}
}
