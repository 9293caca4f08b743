package switchback

import (
	"hash/fnv"
	"math"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/slowstart"
	"foxwood/internal/timetable"
	"foxwood/policy"
)

// pool is what serves one destination: a core with its decision module, and the links to its
// workers.
type pool struct {
	p       *Proxy
	name    string
	core    *gatekeeper.Gatekeeper
	fleet   *link.Fleet
	classes []policy.Class
	known   map[terms]int
	dest    timetable.Destination
}

// terms are what makes a class: courses of the same terms share what is learned.
type terms struct {
	safe             bool
	deadline, target float64
	priority, tries  int
}

const (
	plans        = 8  // ranks of tenants
	rankBits     = 16 // ranks of routes within one
	connectMax   = 600.0
	idleMost     = 8000.0 // a link's rest, where the worker does not say
	holdPart     = 0.22   // of the aim is a request held at most before it was ever sent
	stepMicros   = 20000
	idleStep     = 100000
	leasedPart   = 0.45   // of what a cold worker bears goes to gatekeepers under leases,
	standingPart = 0.55   // and this to those that are out of touch with the core
	outOfTouch   = 1200.0 // milliseconds without the tail's word
	safeAfter    = 8      // expected latencies of silence after which a safe request is sent elsewhere
)

// answerLimits bound no worker's answer that flows: an operator's limits are for what clients send.
var answerLimits = http1.Limits{Large: math.MaxInt}

// plan is the module's plan of a tenant's priority: plans differ in rank only, the tenants'
// buckets lie before all pools.
func plan(priority int) int { return min(max(priority, 0), plans-1) }

// worth has the module's order by worth times price be the order by the tenant's priority
// first, the route's then.
func worth(priority int) float64 { return math.Exp2(-float64(min(max(priority, 0), rankBits-1))) }

// class is the module's number of a course's class here.
func (s *pool) class(c *timetable.Course) int {
	k := terms{c.Safe, c.Deadline, c.Target, c.Priority, c.Tries}
	if i, ok := s.known[k]; ok {
		return i
	}
	repeat := policy.Unsafe
	if c.Safe {
		repeat = policy.Safe
	}
	s.classes = append(s.classes, policy.Class{
		Aim: policy.Micros(c.Target * 1e6), Deadline: policy.Micros(c.Deadline * 1e6), Worth: worth(c.Priority), LateWorth: 1,
		Repeat: repeat, Attempts: c.Tries,
	})
	s.known[k] = len(s.classes) - 1
	s.core.SetClasses(append([]policy.Class(nil), s.classes...))
	return len(s.classes) - 1
}

// pool is the one of a destination, made where there is none.
func (p *Proxy) pool(name string) *pool {
	if s := p.pools[name]; s != nil {
		return s
	}
	s := &pool{p: p, name: name, known: map[terms]int{}}
	s.fleet = link.NewFleet(p.loop, p.clock, p.front, p.connect, idleMost, link.Transport{})
	s.fleet.PartMost, s.fleet.KeepAlive = 2000, true
	s.fleet.Limits = &answerLimits
	ladder := make([]policy.Plan, plans)
	for i := range ladder {
		ladder[i].Price = math.Exp2(-float64(rankBits * i))
	}
	set := policy.Settings{
		// A number of its own from the start, whatever its place is later: gatekeepers that share one
		// also share an order of the workers, and all use the same few.
		Self: int(hash(p.set.Station) >> 40), Gateways: max(p.members, 1), Plans: ladder, Tick: 1000, MaxAttempts: 1, Cancel: true, RetryAfter: true,
		Largest: 1, HoldPart: holdPart, Step: stepMicros, IdleStep: idleStep, SafeAfter: safeAfter,
		Turns: true, Learn: 1.5, Bound: policy.BoundTerms{Within: 0.8, Past: 1, Knee: 3, KneeCut: 5},
		ColdSends: s.coldSends, Reported: true, Beliefs: p.herald != nil,
		FurtherTry: func(int) bool { return p.tries.Take(p.micros(), name) },
	}
	// All pools ask for one alarm: the earliest counts.
	s.core = gatekeeper.New(gatekeeper.Config{Settings: set, Seed: p.seed ^ hash(name), Clock: p.clock, Fleet: s.fleet,
		Counter: noCounter{}, Wake: func(at float64) { p.wake(at) }})
	s.fleet.Attach(s.core)
	if p.shadow != nil {
		s.fleet.Sent = p.shadow.sent
	}
	s.core.Stand(p.ring())
	p.pools[name] = s
	p.order = append(p.order, s)
	s.place()
	return s
}

// coldSends is how many sends a second this gatekeeper may make to a worker, so that all of them together stay under what
// a cold one bears; below 0 for any number. Without a lease cold workers get nothing. Who has been out of touch with the
// core for long would not hear that a worker has become cold: for all it knows each is.
func (s *pool) coldSends(w policy.Server, cold bool) int {
	p, b := s.p, s.p.set.Bounds
	bears := s.dest.ColdPerS*b.ColdExcess + b.ColdSlack
	switch now := p.clock.Now(); {
	case cold:
		return p.slowStart.Sends(now, leasedPart*bears, uint64(w))
	case s.dest.ColdPerS <= 0 || p.members <= 1 || now-p.touched < outOfTouch:
		return -1
	}
	return p.slowStart.Standing(standingPart*bears, uint64(w), slowstart.Part{Index: p.place, Count: p.members})
}

// coldUntil is when a worker is no longer cold: by the list, or by the evacuation of its zone that was taken back, as
// its workers may have become cold and the list is late to tell.
func (s *pool) coldUntil(w *worker) policy.Micros {
	back, ok := s.p.takenBack[w.Zone]
	if !ok || s.dest.ColdPerS <= 0 {
		return w.coldUntil
	}
	return max(w.coldUntil, policy.Micros((back+s.dest.ColdS*1000)*1000))
}

// place brings the pool's workers to what the roster and the evacuations say.
func (s *pool) place() {
	p := s.p
	var entries []policy.Entry
	for _, w := range p.workers {
		if w.Destination != s.name {
			continue
		}
		e := policy.Entry{Server: policy.Server(hash(w.ID)), State: policy.Ready, Region: p.regionOf(w.Zone), Dear: p.dear(w.Zone),
			ColdUntil: s.coldUntil(w)}
		if w.Closing || p.evacuated[w.Zone] || w.wrong {
			e.State = policy.Draining
		}
		if e.State == policy.Ready {
			s.fleet.Place(e.Server, w.Addr, 0)
			s.fleet.Lines(e.Server, []byte(headExpect+": "+w.ID+"\r\n"))
		}
		entries = append(entries, e)
	}
	s.core.Workers(policy.FullList, entries)
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// noCounter stands where the deployment in service has its shared counter.
type noCounter struct{}

func (noCounter) Add(*gatekeeper.Count) {}
