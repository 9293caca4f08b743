package bothy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cairn"
	"foxwood/internal/configcache"
	"foxwood/internal/election"
	"foxwood/internal/membership"
	"foxwood/internal/slowstart"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// A simulation of cold starts on a set clock: the real registries with their books, ballots and lists of
// workers, and gatekeepers made of the real caches and decision modules. Core machines and gatekeepers are
// cut off, frozen and restarted; workers come back cold. A checker counts what each cold worker gets from all
// gatekeepers together in any second.

const (
	simStep     = 5.0    // milliseconds
	simLength   = 20_000 // milliseconds
	simSeeds    = 8
	simGossip   = 300.0
	simPoll     = 400.0
	simListLag  = 800.0
	simSign     = 250.0
	simRequest  = 8.0    // milliseconds between two requests at one gatekeeper
	simService  = 60.0   // milliseconds that a worker takes
	simCold     = 3000.0 // milliseconds that a worker stays cold
	simBound    = 20     // requests that a cold worker may get in a second
	simBudget   = 15     // and that gatekeepers use of them
	simDraw     = 500.0
	simDialMost = 500.0 // milliseconds that a request may wait for a connection
)

// coldFault is something left out of the code under test, for runs that show what the checker notices.
type coldFault int

const (
	noColdFault    coldFault = iota
	divideByCrowd            // gatekeepers divide by the members that they were last told of
	countDecisions           // a send counts from its decision, not from when it leaves
)

type simWorker struct {
	id        string
	zone      string
	coldUntil float64
	downUntil float64
	arrivals  []float64 // while it was cold, or less than a second before
}

type simRegistry struct {
	*Bothy
	addr string
	cut  bool // off from the other core machines
	half int  // of the core, while that is cut in two
}

type simSend struct {
	gate    *simGatekeeper
	life    uint64
	request uint32
	worker  policy.Server
	attempt int
	due     float64
	left    bool
}

type coldWorld struct {
	t          *testing.T
	fault      coldFault
	random     *rand.Rand
	now        float64
	registries []*simRegistry
	gates      []*simGatekeeper
	workers    map[policy.Server]*simWorker
	listed     []listedAt
	sends      []*simSend
	broken     []string
	served     int // requests that cold workers got
	most       int // of them in a second at one
	serial     int
}

// listedAt is the platform's list as it was.
type listedAt struct {
	at   float64
	list []waymark.Worker
	cold map[string]float64
}

// simGatekeeper is one gatekeeper.
type simGatekeeper struct {
	w           *coldWorld
	station     string
	zone        string
	life        uint64
	turn        uint64
	reach       func() []*simRegistry // registries in touch, the preferred one first
	cut         bool                  // off from all registries
	frozen      float64               // until then
	configcache *configcache.Cache
	crowd       waymark.Crowd
	lease       slowstart.Lease
	gateway     *policy.Gateway
	requests    uint32
	turns       uint64
	attempts    map[uint32]int
	timers      []simTimer
}

type simTimer struct {
	at    float64
	token uint64
}

func newColdWorld(t *testing.T, seed uint64, fault coldFault) *coldWorld {
	w := &coldWorld{t: t, fault: fault, random: rand.New(rand.NewPCG(seed, 7)), now: 100, workers: map[policy.Server]*simWorker{}}
	var core []cairn.Ident
	var addrs []string
	for i := range 4 {
		addrs = append(addrs, fmt.Sprintf("10.%d.0.1:7460", i+1))
		core = append(core, cairn.Ident{Addr: fmt.Sprintf("10.%d.0.1:7461", i+1), Disk: "first"})
	}
	table, err := timetable.Parse([]byte(configuration))
	assert.NilError(t, err)
	for i := range 4 {
		set := &bootconfig.Settings{Station: fmt.Sprint("sorting-", i), IP: fmt.Sprintf("10.%d.0.1", i+1), InnerDocks: []int{7460, 7475},
			Zone: fmt.Sprint("z", i), Region: fmt.Sprint("r", i/2), FirstRun: true, FirstStations: []string{"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"},
			Bounds: bootconfig.Bounds{TTLMaxS: 5, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaSlack: 20}}
		b := New(set, zerolog.Nop())
		b.clock = func() float64 { return w.now }
		b.sessions = membership.New(addrs[i], uint64(i+1), w.now, sessionTimeoutMs)
		b.election = election.New(addrs[i], uint64(i+1), w.now, dutyLeaseMs, true, dutyEndpoints, dutyQuota)
		b.view = cairn.View{No: 1, Chain: core, Core: core, Epoch: 1, Seats: 4}
		b.configuration = table
		b.updateRegistries()
		w.registries = append(w.registries, &simRegistry{Bothy: b, addr: addrs[i]})
	}
	for i := range 8 {
		w.start(&simWorker{zone: fmt.Sprint("z", i%4)}, 0)
	}
	for i := range 9 {
		w.gates = append(w.gates, w.newGatekeeper(fmt.Sprint("counter-", i), i%4))
	}
	return w
}

// start gives a worker a new life.
func (w *coldWorld) start(s *simWorker, cold float64) {
	maps.DeleteFunc(w.workers, func(_ policy.Server, x *simWorker) bool { return x == s })
	w.serial++
	s.id, s.coldUntil, s.arrivals = fmt.Sprint("i-", w.serial), w.now+cold, nil
	w.workers[serverOf(s.id)] = s
}

func serverOf(id string) policy.Server {
	var n uint64
	_, _ = fmt.Sscanf(id, "i-%d", &n)
	return policy.Server(n)
}

func (w *coldWorld) newGatekeeper(station string, zone int) *simGatekeeper {
	g := &simGatekeeper{w: w, station: station, zone: fmt.Sprint("z", zone)}
	g.reach = func() (list []*simRegistry) {
		for i := range w.registries {
			r := w.registries[(zone+i)%len(w.registries)]
			if g.cut || r.cut && r.Zone() != g.zone {
				continue
			}
			list = append(list, r)
		}
		return list
	}
	g.restart()
	return g
}

// Zone is where the registry stands.
func (r *simRegistry) Zone() string { return r.settings.Zone }

// restart begins a new life with nothing known.
func (g *simGatekeeper) restart() {
	w := g.w
	w.serial++
	g.life, g.turn, g.configcache, g.crowd = uint64(w.serial), 0, configcache.New(), waymark.Crowd{}
	g.lease = slowstart.Lease{}
	g.attempts, g.timers = map[uint32]int{}, nil
	g.gateway = policy.New(policy.Settings{Gateways: 9, Self: int(g.life), Tick: 1000, MaxAttempts: 1, Cancel: true, RetryAfter: true, Largest: 1, Turns: true,
		Classes: []policy.Class{{Aim: 300e3, Deadline: 2e6, Worth: 1, LateWorth: 1, Repeat: policy.Safe}}, Plans: []policy.Plan{{Price: 1}},
		Step: 20e3, Bound: policy.BoundTerms{Within: 0.8, Past: 1, Knee: 3, KneeCut: 5}, ColdSends: g.coldSends}, g.life)
	g.gateway.Start(micros(w.now), g)
}

func micros(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

func (g *simGatekeeper) coldSends(s policy.Server, cold bool) int {
	if !cold {
		return -1
	}
	if g.w.fault == divideByCrowd {
		part := slowstart.Part{Index: g.crowd.Place, Count: g.crowd.Count}
		return slowstart.Grant{Current: part}.Sends(simBudget, uint64(s))
	}
	return g.lease.Sends(g.w.now, simBudget, uint64(s))
}

// Send implements policy.Host. One request in five waits for a connection.
func (g *simGatekeeper) Send(id uint32, to policy.Server, _ policy.Micros) {
	w := g.w
	wait := 0.0
	if w.random.IntN(5) == 0 {
		wait = w.random.Float64() * simDialMost
	}
	w.sends = append(w.sends, &simSend{gate: g, life: g.life, request: id, worker: to, attempt: g.attempts[id], due: w.now + wait})
	g.attempts[id]++
	if w.fault == countDecisions {
		g.gateway.Left(micros(w.now), id, g.attempts[id]-1)
	}
}

// Refuse implements policy.Host, as do the others.
func (g *simGatekeeper) Refuse(id uint32, _ policy.Micros) { delete(g.attempts, id) }

func (g *simGatekeeper) Fail(id uint32) { delete(g.attempts, id) }

func (g *simGatekeeper) Cancel(uint32, int) {}

func (g *simGatekeeper) Timer(token uint64, after policy.Micros) {
	g.timers = append(g.timers, simTimer{g.w.now + float64(after)/1000, token})
}

func (g *simGatekeeper) Count(uint64, float64, policy.Micros) {}

func (g *simGatekeeper) runs() bool { return g.w.now >= g.frozen }

// sign has the session's call answered, and takes its news.
func (g *simGatekeeper) sign() {
	near := g.reach()
	if len(near) == 0 {
		return
	}
	g.turn++
	q := waymark.Sign{Member: membership.Member{Station: g.station, Zone: g.zone, Region: "r0", Life: g.life, Turn: g.turn, Inner: g.station + ":1", Ready: true},
		Crowd: g.crowd.Mark}
	g.configcache.Question(&q)
	a, err := near[0].handleHeartbeat(g.w.t.Context(), q)
	assert.NilError(g.w.t, err)
	if a.Stale && len(near) > 1 {
		g.turn++
		q.Member.Turn = g.turn
		_, _ = near[1].handleHeartbeat(g.w.t.Context(), q) // it signs elsewhere from now on, and comes back here later
	}
	g.configcache.Hear(g.w.now, &a)
	g.configcache.Stock(g.w.now, a.Parts)
	if a.Crowd != nil && a.Crowd.Place >= 0 {
		g.crowd = *a.Crowd
	}
	g.place()
}

// draw asks for a part of what cold workers bear, by way of the registry in touch.
func (g *simGatekeeper) draw() {
	near := g.reach()
	if len(near) == 0 {
		return
	}
	holder := near[0].election.Holder(g.w.now, dutyQuota)
	i := slices.IndexFunc(g.w.registries, func(r *simRegistry) bool { return r.addr == holder })
	if i < 0 || g.w.registries[i] != near[0] && !g.w.linked(near[0], g.w.registries[i]) {
		return
	}
	g.turns++
	a, err := g.w.registries[i].allocate(waymark.Draw{Station: g.station, Life: g.life, Turn: g.turns})
	if err == nil {
		g.lease.Take(a.SlowStart, g.w.now, a.Lease)
	}
}

// place brings the decision module the workers that the cache has.
func (g *simGatekeeper) place() {
	var entries []policy.Entry
	for _, x := range g.configcache.Workers(g.w.now, "a") {
		e := policy.Entry{Server: serverOf(x.ID), State: policy.Ready}
		if x.Cold > 0 {
			e.ColdUntil = micros(g.w.now + x.Cold)
		}
		entries = append(entries, e)
	}
	g.gateway.Servers(micros(g.w.now), g, policy.FullList, entries)
}

// list is the platform's list as it was when the lag began, with the cold times of now.
func (w *coldWorld) list() []waymark.Worker {
	i := len(w.listed) - 1
	for i > 0 && w.listed[i].at > w.now-simListLag {
		i--
	}
	var list []waymark.Worker
	for _, x := range w.listed[i].list {
		x.Cold = max(w.listed[i].cold[x.ID]-w.now, 0)
		list = append(list, x)
	}
	return list
}

func (w *coldWorld) note() {
	l := listedAt{at: w.now, cold: map[string]float64{}}
	for _, s := range slices.SortedFunc(maps.Values(w.workers), func(x, y *simWorker) int { return int(serverOf(x.id)) - int(serverOf(y.id)) }) {
		if w.now < s.downUntil {
			continue
		}
		l.list = append(l.list, waymark.Worker{ID: s.id, Destination: "a", Addr: s.id + ":80", Zone: s.zone, Berths: 2})
		l.cold[s.id] = s.coldUntil
	}
	w.listed = append(w.listed, l)
}

// linked tells whether two registries reach each other.
func (w *coldWorld) linked(x, y *simRegistry) bool {
	return x != y && !x.cut && !y.cut && x.half == y.half
}

func (w *coldWorld) find(addr string) *simRegistry {
	i := slices.IndexFunc(w.registries, func(r *simRegistry) bool { return r.addr == addr })
	return w.registries[i]
}

// ballots steps a registry's elections, and brings what they send.
func (w *coldWorld) ballots(r *simRegistry, e election.Event) {
	out := r.election.Step(w.now, e)
	r.applyDutyChanges(out)
	for _, m := range out.Send {
		if to := w.find(m.To); w.linked(r, to) {
			w.ballots(to, election.Event{Kind: election.Heard, Message: m})
		}
	}
}

func every(now, period, phase float64) bool {
	return int((now+phase)/period) != int((now+phase-simStep)/period)
}

// control has the registries do what their loops do.
func (w *coldWorld) control() {
	for i, r := range w.registries {
		phase := float64(i) * 37
		heard := 1
		for _, o := range w.registries {
			if w.linked(r, o) {
				heard++
			}
		}
		if heard > 2 {
			r.tailConfirmedAt = w.now // the tail has answered
			r.election.Electorate(w.now, w.now, r.core, 1, 0)
		}
		if every(w.now, 50, phase) {
			w.ballots(r, election.Event{Kind: election.Tick})
		}
		if every(w.now, simGossip, phase) {
			for _, to := range w.registries {
				if !w.linked(r, to) {
					continue
				}
				to.receiveReport(r.addr, r.settings.Zone, r.sessions.Tell(w.now))
				if x := to.endpoints.since(w.now, r.endpoints.version); x != nil && to.endpoints.version > r.endpoints.version {
					r.endpoints.merge(w.now, x)
				}
			}
			r.updateMembers()
		}
		if term, ok := r.election.Holds(w.now, dutyEndpoints); ok && every(w.now, simPoll, phase) {
			r.endpoints.applyPlatformList(w.now, term, w.list())
		}
	}
}

// leave lets requests go that have a connection, and answers those that were served.
func (w *coldWorld) leave() {
	sends := w.sends
	w.sends = nil // an answer has the next request sent
	for _, s := range sends {
		switch {
		case s.life != s.gate.life:
		case !s.gate.runs() || w.now < s.due:
			w.sends = append(w.sends, s)
		case !s.left && w.fault != countDecisions && !s.gate.gateway.MayLeave(micros(w.now), s.request, s.attempt):
			s.gate.gateway.Outcome(micros(w.now), s.gate, policy.Outcome{ID: s.request, Attempt: s.attempt, Status: policy.Moot, Server: s.worker})
		case !s.left:
			s.left, s.due = true, w.now+simService
			s.gate.gateway.Left(micros(w.now), s.request, s.attempt)
			w.arrive(s.worker)
			w.sends = append(w.sends, s)
		default:
			delete(s.gate.attempts, s.request)
			s.gate.gateway.Outcome(micros(w.now), s.gate, policy.Outcome{ID: s.request, Attempt: s.attempt, Status: policy.OK, Terminal: true,
				Server: s.worker, Latency: micros(simService)})
		}
	}
}

// arrive counts a request at a worker. Another life at its address turns it away.
func (w *coldWorld) arrive(to policy.Server) {
	s := w.workers[to]
	if s == nil || w.now < s.downUntil || w.now >= s.coldUntil {
		return
	}
	s.arrivals = append(s.arrivals, w.now)
	first, _ := slices.BinarySearch(s.arrivals, w.now-1000)
	n := len(s.arrivals) - first
	w.served, w.most = w.served+1, max(w.most, n)
	if n > simBound {
		w.broken = append(w.broken, fmt.Sprintf("FAILBACK at %.0f ms: %s got %d requests in a second", w.now, s.id, n))
	}
}

// carry has the gatekeepers do their work.
func (w *coldWorld) carry() {
	for i, g := range w.gates {
		if !g.runs() {
			continue
		}
		phase := float64(i) * 29
		if every(w.now, simSign, phase) {
			g.sign()
		}
		if every(w.now, simDraw, phase) {
			g.draw()
		}
		due := slices.Clone(g.timers)
		g.timers = slices.DeleteFunc(g.timers, func(x simTimer) bool { return x.at <= w.now })
		for _, x := range due {
			if x.at <= w.now {
				g.gateway.Timer(micros(w.now), g, x.token)
			}
		}
		if every(w.now, simRequest, phase) {
			g.requests++
			g.attempts[g.requests] = 0
			g.gateway.Request(micros(w.now), g, policy.Request{ID: g.requests, Customer: 1, Left: 2e6, Units: 1})
		}
	}
}

// simEvent happens at a time.
type simEvent struct {
	at float64
	do func()
}

// trouble draws a run's events.
func (w *coldWorld) trouble() (events []simEvent) {
	at := func(ms float64, do func()) { events = append(events, simEvent{w.now + ms, do}) }
	for k := range 4 {
		begin := 4000 + float64(k)*4000 + w.random.Float64()*1000
		zone := fmt.Sprint("z", w.random.IntN(4))
		down := 500 + w.random.Float64()*2000
		for _, s := range slices.SortedFunc(maps.Values(w.workers), func(x, y *simWorker) int { return int(serverOf(x.id)) - int(serverOf(y.id)) }) {
			if s.zone == zone {
				at(begin, func() { s.downUntil = w.now + down })
				at(begin+down, func() { w.start(s, simCold) })
			}
		}
		r := w.registries[w.random.IntN(4)]
		from := begin + down - 2500 + w.random.Float64()*3000
		at(from, func() { r.cut = true })
		at(from+1000+w.random.Float64()*3000, func() { r.cut = false })
		g := w.gates[w.random.IntN(len(w.gates))]
		strike := begin + w.random.Float64()*3000
		length := 200 + w.random.Float64()*2500
		switch w.random.IntN(4) {
		case 0:
			at(strike, func() { g.frozen = w.now + length })
		case 1:
			at(strike, func() { g.restart() })
		case 2:
			for _, x := range w.gates { // a zone's
				if x.zone == g.zone {
					at(strike, func() { x.cut = true })
					at(strike+length, func() { x.cut = false })
				}
			}
		}
	}
	slices.SortStableFunc(events, func(x, y simEvent) int { return int(x.at - y.at) })
	return events
}

// halved draws a run in which the core is cut into halves four times, with cold returns and restarts within the cut and
// right behind it. Gatekeepers reach both halves.
func (w *coldWorld) halved() (events []simEvent) {
	at := func(ms float64, do func()) { events = append(events, simEvent{w.now + ms, do}) }
	for k := range 4 {
		begin := 3000 + float64(k)*4500 + w.random.Float64()*500
		length := 700 + w.random.Float64()*2800
		order := w.random.Perm(len(w.registries))
		size := 1 + w.random.IntN(2)
		at(begin, func() {
			for _, i := range order[:size] {
				w.registries[i].half = 1
			}
		})
		at(begin+length, func() {
			for _, r := range w.registries {
				r.half = 0
			}
		})
		back := begin + w.random.Float64()*(length+600)
		zone := fmt.Sprint("z", w.random.IntN(4))
		for _, s := range slices.SortedFunc(maps.Values(w.workers), func(x, y *simWorker) int { return int(serverOf(x.id)) - int(serverOf(y.id)) }) {
			if s.zone == zone {
				at(back-400, func() { s.downUntil = w.now + 400 })
				at(back, func() { w.start(s, simCold) })
			}
		}
		g := w.gates[w.random.IntN(len(w.gates))]
		at(begin+w.random.Float64()*length, func() { g.restart() })
	}
	slices.SortStableFunc(events, func(x, y simEvent) int { return int(x.at - y.at) })
	return events
}

// play runs one seed, and tells what was broken.
func (w *coldWorld) play(events []simEvent) []string {
	for end := w.now + simLength; w.now < end; w.now += simStep {
		for len(events) > 0 && events[0].at <= w.now {
			events[0].do()
			events = events[1:]
		}
		w.note()
		w.control()
		w.carry()
		w.leave()
	}
	return w.broken
}

// playsSound plays a few seeds of drawn troubles, and gives how many requests cold workers got. No second may hold more than
// what gatekeepers are to use of the rule's bound.
func playsSound(t *testing.T, draw func(*coldWorld) []simEvent) (served int) {
	t.Helper()
	for seed := range uint64(simSeeds) {
		w := newColdWorld(t, seed, noColdFault)
		broken := w.play(draw(w))
		assert.Assert(t, len(broken) == 0, "seed %d: %v", seed, broken)
		assert.Assert(t, w.most <= simBudget, "seed %d: %d in a second", seed, w.most)
		served += w.served
	}
	return served
}

// TestColdWorkersAreNotFlooded plays drawn troubles; cold workers get their part all the same.
func TestColdWorkersAreNotFlooded(t *testing.T) {
	served := playsSound(t, (*coldWorld).trouble)
	assert.Assert(t, served > simSeeds*80, "%d requests", served)
}

// TestColdWorkersWhileTheCoreIsHalved: the sum of what gatekeepers send a cold worker holds also where they ask both
// halves of a core that is cut in two.
func TestColdWorkersWhileTheCoreIsHalved(t *testing.T) {
	served := playsSound(t, (*coldWorld).halved)
	assert.Assert(t, served > simSeeds*80, "%d requests", served)
}

// TestTheFloodCheckBites: each fault is noticed in one of a few seeds.
func TestTheFloodCheckBites(t *testing.T) {
	for _, fault := range []coldFault{divideByCrowd, countDecisions} {
		found := false
		for seed := uint64(0); seed < 40 && !found; seed++ {
			w := newColdWorld(t, seed, fault)
			w.play(w.trouble())
			found = w.most > simBudget
		}
		assert.Assert(t, found, "fault %d is not noticed", fault)
	}
}
