package switchback

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/rpc"
	"foxwood/internal/snowline"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// ShedMode is how a gatekeeper sheds.
type ShedMode int

// ShedAlike applies the cluster's level. The others are what rehearsals compare it with: each
// gatekeeper by its own pressure, by the same order or by dice.
const (
	ShedAlike ShedMode = iota
	ShedSolitary
	ShedDice
)

const (
	shedTick      = 100 * time.Millisecond
	reportPressed = 200 * time.Millisecond
	reportCalm    = time.Second
	reportMost    = 400 * time.Millisecond

	loadSpan    = 600.0 // milliseconds over which what comes is smoothed
	strainSpan  = 300.0
	cpuSpan     = 1000.0
	heldFull    = 0.5  // of the bound waits behind it: pressed
	turnedFull  = 0.03 // of requests find no room: pressed
	workersFull = 3.0  // running and waiting for each slot: pressed; at 2 random arrivals press workers that are 0.8 busy
	cpuFull     = 0.9  // of the processor time allowed: pressed
	nearPressed = 0.7  // from which on reports come often
	loadGain    = 0.15 // of a worker's newest report
	loadFades   = 2000.0
	workUp      = 0.01 // a course's work follows its quick answers, since slow ones have waited
	workDown    = 0.2

	returnedLess = 150.0 // milliseconds less than its whole time are left to one that came before
	lineFull     = 0.8   // of the link: pressed

	// ShedText is the body of a refusal by the level.
	ShedText = "shed by the level\n"
)

// strained is how pressed one destination is.
type strained struct {
	came, sent, turned float64 // since the last tick
	rate, pressure     float64
	load               float64 // of its workers, by their reports
	answered           bool    // since the last tick

	seen       snowline.Load // since the last tick
	loads      snowline.Load
	served     float64 // since the last tick
	servedEach float64 // a second
}

// tierCount is what a tier's requests met.
type tierCount struct{ Passed, Shed uint64 }

// shedder is a gatekeeper's part of shedding. It belongs to the loop.
type shedder struct {
	p    *Proxy
	mode ShedMode
	post snowline.Post

	load     snowline.Load // of all services
	rate     float64       // served a second
	cpu      float64
	cpuUsed  time.Duration
	sent     uint64
	line     float64 // of the machine's link, a part
	shared   float64 // pressure by what services share
	ticked   float64
	pressure float64
	why      string
	pools    map[string]*strained
	work     map[int]float64 // milliseconds by course, of the edition
	edition  uint64

	tiers    []int // of courses, by index, without the tenant's
	tiersOf  uint64
	tiersBy  uint64 // number of the level whose work they go by
	counts   map[int]*tierCount
	standing snowline.Standing
	since    float64
	refused  string
	number   uint64
	turn     uint64 // of reports
	near     bool   // something is near to pressed
	hashTurn uint64 // of the hash, by which load stands
	failed   uint64
	salt     uint64
}

// Shed has this gatekeeper shed, before it serves.
func (p *Proxy) Shed(mode ShedMode) {
	s := &shedder{p: p, mode: mode, load: snowline.Load{}, pools: map[string]*strained{},
		work: map[int]float64{}, counts: map[int]*tierCount{}, standing: snowline.Standing{Cut: policy.MarkOpen}}
	s.post.Solitary, s.post.Loads = mode != ShedAlike, map[string]snowline.Load{}
	s.ticked, s.cpuUsed = p.clock.Now(), processorTime()
	s.since = s.ticked
	p.on(func() {
		p.shed = s
		p.loop.Every(shedTick, s.tick)
		p.loop.Every(figuresEvery, s.figures)
	})
}

// refuses answers a request that the level refuses, before it draws on anything.
func (s *shedder) refuses(l *link.Client, m *http1.Message, c *timetable.Course, k *try, sender *timetable.Sender, left float64) bool {
	caller := ""
	switch name := s.post.Level().Caller; name {
	case "":
	case snowline.CallerAddress:
		caller = l.Host()
	default:
		if v, ok := m.Single(name); ok {
			caller = string(v)
		}
	}
	tier, spot := s.place(c, sender, caller)
	at := s.strainedOf(k.pool.name)
	at.came++
	k.course = c.Index + 1
	n := s.counts[tier]
	if n == nil {
		n = &tierCount{}
		s.counts[tier] = n
	}
	cut := s.post.CutOf(k.pool.name)
	shed := policy.Sheds(spot, cut)
	if s.mode == ShedDice {
		shed = cut < policy.MarkOpen && rand.Float64() > s.load.Below(cut)/max(s.load.Sum(), 1e-9)
	}
	if !shed || c.Deadline*1000-left < returnedLess {
		at.seen[policy.BinOf(spot)]++
	}
	if !shed {
		n.Passed++
		at.sent++
		return false
	}
	n.Shed++
	s.salt++
	s.p.refuse(l, http.StatusServiceUnavailable, float64(policy.ShedWait(spot, cut, s.salt))/1000, ShedText)
	return true
}

// place is a request's tier and its place on the line.
func (s *shedder) place(c *timetable.Course, sender *timetable.Sender, caller string) (tier int, spot policy.Mark) {
	rank, tenant := 0, ""
	if sender != nil {
		rank, tenant = sender.Priority, sender.Name
	}
	tier = policy.Tier(rank, 0, 0) | s.tierOf(c)
	return tier, s.post.Level().Terms().Spot(rank, tier, tenant, caller)
}

func (s *shedder) strainedOf(name string) *strained {
	x := s.pools[name]
	if x == nil {
		x = &strained{seen: snowline.Load{}, loads: snowline.Load{}}
		s.pools[name] = x
	}
	return x
}

// tierOf is the route's part of a request's tier.
func (s *shedder) tierOf(c *timetable.Course) int {
	t, level := s.p.table, s.post.Level()
	if s.tiers == nil || s.tiersOf != t.Edition || s.tiersBy != level.Number {
		figures := make([]policy.RouteFigures, len(t.Courses))
		for i := range t.Courses {
			x := &t.Courses[i]
			figures[i] = policy.RouteFigures{Rank: x.Priority, Aim: policy.Micros(x.Target * 1e6)}
			if level.Edition == t.Edition && i < len(level.Work) {
				figures[i].Work = int(level.Work[i])
			}
		}
		s.tiers = s.tiers[:0]
		for i, w := range policy.Waits(figures) {
			s.tiers = append(s.tiers, policy.Tier(0, t.Courses[i].Priority, w))
		}
		s.tiersOf, s.tiersBy = t.Edition, level.Number
	}
	return s.tiers[c.Index]
}

// turned notes that a request found no room.
func (s *shedder) turned(l *link.Client) {
	if k, ok := l.Value.(*try); ok && k.pool != nil {
		s.strainedOf(k.pool.name).turned++
	}
}

// answered learns from a worker's answer what a course's requests cost and how full the
// worker is.
func (s *shedder) answered(x *gatekeeper.Execution, m *http1.Message) {
	l, ok := x.Request.Caller.(*link.Client)
	if !ok {
		return
	}
	k, ok := l.Value.(*try)
	if !ok || k.pool == nil {
		return
	}
	if load := s.p.front.loadOf(m); load != nil {
		at := s.strainedOf(k.pool.name)
		at.load += loadGain * (float64(load[0]+load[1])/max(float64(load[2]), 1) - at.load)
		at.answered = true
	}
	if m.Status >= 300 {
		return
	}
	s.strainedOf(k.pool.name).served++
	if i := k.course - 1; i >= 0 && s.p.table != nil && s.edition == s.p.table.Edition {
		ms := k.pool.core.Elapsed(x)
		switch old := s.work[i]; {
		case old == 0:
			s.work[i] = ms
		case ms < old:
			s.work[i] += workDown * (ms - old)
		default:
			s.work[i] += workUp * (min(ms, 4*old) - old)
		}
	}
}

// tick works out how pressed this gatekeeper is, and what it applies.
func (s *shedder) tick() {
	now := s.p.clock.Now()
	span := now - s.ticked
	if span < 1 {
		return
	}
	s.ticked = now
	turns := s.post.Level().Turn - s.hashTurn
	s.hashTurn += turns
	clear(s.load)
	clear(s.post.Loads)
	s.rate = 0
	for name, x := range s.pools {
		x.blend(span, turns)
		for bin, v := range x.loads {
			s.load[bin] += v
		}
		s.rate += x.servedEach
		s.post.Loads[name] = x.loads
	}
	if t := s.p.table; t != nil && t.Edition != s.edition {
		s.edition = t.Edition
		clear(s.work)
	}
	s.strain(span)
	got := s.post.Step(now, s.pressure, s.load, s.rate)
	level := s.post.Level()
	if got != s.standing || level.Number != s.number {
		refused := s.post.Describe()
		if refused != s.refused || got.Alone != s.standing.Alone || got.CutOff != s.standing.CutOff {
			s.p.log.Info().Uint64("number", level.Number).Uint32("cut", got.Cut).Str("refused", refused).
				Bool("alone", got.Alone).Bool("cutOff", got.CutOff).Bool("aging", got.Aging).Str("why", level.Why).
				Float64("own", s.pressure).Str("ownWhy", s.why).Float64("lastHeldMs", now-s.since).Msg("shedding level")
			s.since = now
		}
		s.standing, s.number, s.refused = got, level.Number, refused
	}
}

// blend smooths what came to a service and what it answered.
func (x *strained) blend(span float64, turns uint64) {
	part := 1 - math.Exp(-span/loadSpan)
	for bin := range x.seen {
		x.seen[bin] *= 1000 / span
	}
	x.loads.Blend(x.seen, part)
	clear(x.seen)
	x.loads.Turn(turns)
	x.servedEach += part * (x.served*1000/span - x.servedEach)
	x.served = 0
}

// strain is the pressure: that of the processor, or that which most requests meet at their
// services. One slow service presses only who needs it.
func (s *shedder) strain(span float64) {
	part := 1 - math.Exp(-span/strainSpan)
	var all []snowline.Service
	s.near = s.pressure >= nearPressed
	for name, x := range s.pools {
		pool := s.p.pools[name]
		if pool == nil {
			delete(s.pools, name)
			continue
		}
		bound, _, held := pool.core.Room()
		now := float64(held) / max(bound, 1) / heldFull
		if x.sent > 0 || x.turned > 0 {
			now = max(now, min(x.turned/max(x.sent, 1)/turnedFull, 2))
		}
		now = max(now, x.load/workersFull)
		x.pressure += part * (min(now, 3) - x.pressure)
		x.rate += (1 - math.Exp(-span/loadSpan)) * (x.came*1000/span - x.rate)
		x.came, x.sent, x.turned = 0, 0, 0
		if x.answered {
			x.answered = false
		} else { // nobody is let in to say how full the workers are, and their queues empty
			x.load *= math.Exp(-span / loadFades)
		}
		s.near = s.near || x.pressure >= nearPressed
		if x.rate > 0.1 {
			all = append(all, snowline.Service{Pressure: x.pressure, Rate: x.rate})
		}
	}
	s.shared, s.why = 0, "processor"
	if share := s.p.set.SizeLimits.CPUShare; share > 0 {
		used := processorTime()
		busy := float64(used-s.cpuUsed) / 1e6 / span / share
		s.cpuUsed = used
		s.cpu += (1 - math.Exp(-span/cpuSpan)) * (busy - s.cpu)
		s.shared = s.cpu / cpuFull
	}
	sent := link.Sent()
	s.line += (1 - math.Exp(-span/cpuSpan)) * (snowline.LinePart(sent-s.sent, span, s.p.set.SizeLimits.LineMbps) - s.line)
	s.sent = sent
	if c := s.line / lineFull; c > s.shared {
		s.shared, s.why = c, "link"
	}
	s.pressure = s.shared
	if room := snowline.MostMeet(all); room >= s.pressure {
		s.pressure, s.why = room, "room"
	}
}

// processorTime is what this process has used of the processor.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// report tells how pressed this gatekeeper is. On the loop.
func (s *shedder) report() snowline.Report {
	s.turn++
	r := snowline.Report{Station: s.p.set.Station, Life: s.p.life, Turn: s.turn, Pressure: s.pressure, Why: s.why, Served: s.rate,
		Holds: s.post.Level(), Edition: s.edition, Work: make(map[int]float32, len(s.work)), Shared: s.shared, Services: map[string]snowline.Part{}}
	for name, x := range s.pools {
		part := snowline.Part{Pressure: x.pressure, Served: x.servedEach, Load: make(map[uint32]float32, len(x.loads))}
		for bin, v := range x.loads {
			part.Load[bin] = float32(v)
		}
		if len(part.Load) > 0 {
			r.Services[name] = part
		}
	}
	for i, ms := range s.work {
		r.Work[i] = float32(ms)
	}
	return r
}

// sheds reports again and again: often while there is something to shed, else once a second.
func (p *Proxy) sheds(ctx context.Context) {
	if p.shed == nil || p.shed.mode != ShedAlike {
		return
	}
	s := p.shed
	var peer *rpc.Peer
	for ctx.Err() == nil {
		began := time.Now()
		var to *rpc.Peer
		var q waymark.Strain
		var asked float64
		p.on(func() {
			if to = p.control; to != nil {
				asked, q = p.clock.Now(), waymark.Strain{Report: s.report()}
			}
		})
		if to != nil {
			if peer == nil || peer.Addr() != to.Addr() { // a connection of its own: see draw
				if peer != nil {
					peer.Close()
				}
				peer = rpc.NewPeer(to.Addr())
			}
			call, cancel := context.WithTimeout(ctx, reportMost)
			a, err := rpc.Call[waymark.Strain, waymark.Eased](call, peer, q)
			cancel()
			p.on(func() {
				if err != nil {
					s.failed++
					return
				}
				s.post.Hear(asked, a.Level)
			})
		}
		for ctx.Err() == nil {
			most := reportCalm
			p.on(func() {
				if s.near || s.standing != (snowline.Standing{Cut: policy.MarkOpen}) || !s.post.Open() || s.post.Level().Number == 0 {
					most = reportPressed
				}
			})
			left := most - time.Since(began)
			if left <= 0 {
				break
			}
			pause(ctx, min(left, reportPressed/2))
		}
	}
}

// shedsAlone has the directory name others while this gatekeeper alone is overloaded.
func (p *Proxy) shedsAlone() bool {
	return p.shed != nil && p.shed.standing.Alone && !p.shed.standing.CutOff
}

func (s *shedder) figures() {
	if len(s.counts) == 0 {
		return
	}
	by := map[string]tierCount{}
	for tier, n := range s.counts {
		by[tierName(tier)] = *n
	}
	s.p.log.Info().Interface("tiers", by).Float64("pressure", s.pressure).Str("by", s.why).Uint64("reportsFailed", s.failed).Msg("shedding figures")
}

func tierName(tier int) string { return fmt.Sprintf("%d.%d.%d", tier>>8, tier>>4&15, tier&15) }

// lines is shedding's part of the status. On the loop.
func (s *shedder) lines() (lines []string) {
	say := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	now, level, st := s.p.clock.Now(), s.post.Level(), s.standing
	say("shedding level %d turn %d refuses %s since %.0f ms: %s", level.Number, level.Turn, s.post.Describe(), now-s.since, level.Why)
	say("shedding alone %t cut off %t aging %t, own pressure %.2f (%s), cluster's %.2f", st.Alone, st.CutOff, st.Aging, s.pressure, s.why, level.Pressure)
	for _, tier := range slices.Sorted(maps.Keys(s.counts)) {
		say("tier %s passed %d shed %d", tierName(tier), s.counts[tier].Passed, s.counts[tier].Shed)
	}
	return lines
}
