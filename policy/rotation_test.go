package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

// simulation is many gateways and few servers on a simulated clock, so that each gateway gets few answers from a
// server. A server has two slots and a queue of eight, and refuses the rest.
type simulation struct {
	now      Micros
	events   eventHeap
	sequence int
	random   *rand.Rand
	gateways []*Gateway
	hosts    []*simHost
	servers  map[Server]*simServer
	sends    map[Server]int
	arrivals map[uint32]Micros
	ended    map[uint32]bool
	class    Class
	work     float64
	inTime   int
	total    int
}

type simServer struct {
	running int
	waiting []func()
}

type simEvent struct {
	at       Micros
	sequence int
	run      func()
}

type eventHeap []simEvent

func (d eventHeap) Len() int { return len(d) }
func (d eventHeap) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].sequence < d[j].sequence
}
func (d eventHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventHeap) Push(x any)   { *d = append(*d, x.(simEvent)) }
func (d *eventHeap) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (c *simulation) after(delay Micros, run func()) {
	c.sequence++
	heap.Push(&c.events, simEvent{c.now + max(delay, 0), c.sequence, run})
}

func (c *simulation) run(duration Micros) {
	until := c.now + duration
	for len(c.events) > 0 && c.events[0].at <= until {
		event := heap.Pop(&c.events).(simEvent)
		c.now = event.at
		event.run()
	}
	c.now = until
}

type simHost struct {
	simulation *simulation
	index      int
	attempts   map[uint32]int
}

func (h *simHost) Send(id uint32, to Server, _ Micros) {
	sim, srv, attempt, sentAt := h.simulation, h.simulation.servers[to], h.attempts[id], h.simulation.now
	h.attempts[id]++
	sim.sends[to]++
	answer := func(status Status) {
		load := []float32{float32(srv.running), float32(len(srv.waiting)), 2}
		sim.after(800, func() {
			if status == OK {
				sim.end(id, true)
			}
			sim.gateways[h.index].Outcome(sim.now, h, Outcome{ID: id, Status: status, Latency: sim.now - sentAt,
				Attempt: attempt, Server: to, LoadReport: load})
		})
	}
	sim.after(800, func() {
		work := min(sim.work*math.Exp(0.5*sim.random.NormFloat64()-0.125), 6*sim.work)
		start := func() {
			srv.running++
			sim.after(Micros(work), func() {
				srv.running--
				if len(srv.waiting) > 0 {
					next := srv.waiting[0]
					srv.waiting = srv.waiting[1:]
					next()
				}
				answer(OK)
			})
		}
		switch {
		case srv.running < 2:
			start()
		case len(srv.waiting) < 8:
			srv.waiting = append(srv.waiting, start)
		default:
			answer(Full)
		}
	})
}

// end counts the end of a request, once.
func (c *simulation) end(id uint32, ok bool) {
	if c.ended[id] {
		return
	}
	c.ended[id] = true
	c.total++
	if ok && c.now-c.arrivals[id] <= c.class.LatencyTarget {
		c.inTime++
	}
}

func (h *simHost) Refuse(id uint32, _ Micros)    { h.simulation.end(id, false) }
func (h *simHost) Fail(id uint32)                { h.simulation.end(id, false) }
func (h *simHost) Cancel(uint32, int)            {}
func (h *simHost) Count(uint64, float64, Micros) {}
func (h *simHost) Timer(token uint64, after Micros) {
	h.simulation.after(after, func() { h.simulation.gateways[h.index].Timer(h.simulation.now, h, token) })
}

func newSimulation(turns bool, gateways, zones, workers int, class Class) *simulation {
	sim := &simulation{now: 100e6, random: rand.New(rand.NewPCG(7, 1)), servers: map[Server]*simServer{},
		sends: map[Server]int{}, arrivals: map[uint32]Micros{},
		ended: map[uint32]bool{}, class: class}
	var list []Entry
	for i := range workers {
		id := Server(hash(uint64(i), 11))
		sim.servers[id] = &simServer{}
		list = append(list, Entry{Server: id, State: Ready})
	}
	for i := range gateways {
		settings := Settings{Index: int(hash(uint64(i), 99) >> 40), GatewayCount: gateways,
			Plans: []Plan{{Price: 1}}, Classes: []Class{class}, ClockTick: 1000,
			MaxAttempts: 1, CanCancel: true, SendRetryAfter: true, MaxUnits: 1, MaxHoldFraction: 0.22, TickInterval: 20000, ChoiceExponent: 1,
			SlownessSeconds: 1.5, Rotate: turns,
			LimitTerms: LimitTerms{GrowBelow: 0.8, CutAbove: 1, GrowKnee: 3, CutKnee: 5}}
		gateway, host := New(settings, uint64(i)*7+1), &simHost{simulation: sim, index: i,
			attempts: map[uint32]int{}}
		sim.gateways, sim.hosts = append(sim.gateways, gateway), append(sim.hosts, host)
		gateway.Start(sim.now, host)
		gateway.SetRingPlace(sim.now, host, RingPlace{Zone: hash(uint64(i%zones), 3), Index: i / zones,
			Count: (gateways + zones - 1 - i%zones) / zones})
		gateway.Servers(sim.now, host, FullList, list)
	}
	return sim
}

// arrive makes requests arrive at a rate per second, each at a random gateway.
func (c *simulation) arrive(rate float64, duration Micros) {
	until, id := c.now+duration, uint32(len(c.arrivals))
	var next func()
	next = func() {
		if c.now > until {
			return
		}
		id++
		index := c.random.IntN(len(c.gateways))
		c.arrivals[id] = c.now
		c.gateways[index].Request(c.now, c.hosts[index], Request{ID: id, Customer: 1, TimeLeft: c.class.Deadline,
			Units: 1, GatewayCount: 1})
		c.after(Micros(c.random.ExpFloat64()/rate*1e6), next)
	}
	next()
	c.run(duration)
}

// Guards against late unsafe requests at 0.83 of the servers' capacity. With random subsets and random choices,
// each of 63 gateways used six of 27 servers, some servers were used by twice as many gateways as others, and a
// quarter of the requests was late.
func TestRotationKeepsUnsafeRequestsInTime(t *testing.T) {
	class := Class{LatencyTarget: 500e3, Deadline: 3000e3, Value: 1, LateValue: 1, Repeat: RepeatUnsafe, MaxAttempts: 2}
	share := func(turns bool) float64 {
		c := newSimulation(turns, 63, 6, 27, class)
		c.work = 120e3
		c.arrive(374, 6*second)
		c.inTime, c.total = 0, 0
		c.arrive(374, 10*second)
		return float64(c.inTime) / float64(c.total)
	}
	chance, turns := share(false), share(true)
	t.Logf("within the latency target: at random %.3f, in rotation %.3f", chance, turns)
	if turns < 0.93 || turns < chance+0.04 {
		t.Errorf("within the latency target: in rotation %.3f, want at least 0.93; at random %.3f", turns,
			chance)
	}
}

// The gateways of a zone cover a region's servers evenly, for any number of gateways.
func TestRingCoversServersEvenly(t *testing.T) {
	for _, i := range []struct{ gws, servers int }{{12, 27}, {10, 23}, {3, 60}, {1, 4}, {11, 137}} {
		uses := func(n int) []map[Server]bool {
			c := newSimulation(true, n, 1, i.servers, Class{LatencyTarget: second, Deadline: 2 * second})
			var all []map[Server]bool
			for _, g := range c.gateways {
				own := map[Server]bool{}
				for _, s := range g.servers[:g.subsetSize()] {
					own[s.id] = true
				}
				all = append(all, own)
			}
			return all
		}
		count := map[Server]int{}
		own := uses(i.gws)
		for _, set := range own {
			for s := range set {
				count[s]++
			}
		}
		even := float64(i.gws*minRotation) / float64(i.servers)
		for s, n := range count {
			if math.Abs(float64(n)-even) > 1 {
				t.Errorf("%+v: server %d is used by %d gateways, want %.1f plus or minus 1", i, s, n, even)
			}
		}
		if even >= 1 && len(count) < i.servers {
			t.Errorf("%+v: only %d servers are used", i, len(count))
		}
	}
}

// Guards against a rush on a server that many gateways start to use at the same time, for the first time or after a
// while. They must not all treat it as the one that has waited longest.
func TestNewServerIsNotRushed(t *testing.T) {
	c := newSimulation(true, 60, 6, 4, Class{LatencyTarget: second, Deadline: 2 * second, Repeat: RepeatUnsafe})
	c.work = 20e3
	c.arrive(600, 4*second)
	fresh := Server(hash(77, 11))
	c.servers[fresh] = &simServer{}
	for round := range 2 {
		for i, g := range c.gateways {
			g.Servers(c.now, c.hosts[i], ListDelta, []Entry{{Server: fresh, State: Ready}})
		}
		before := c.sends[fresh]
		c.arrive(600, 100e3) // 60 requests to five servers: 12 are even
		if n := c.sends[fresh] - before; n > 20 {
			t.Errorf("round %d: %d of 60 requests went to the new server, want at most 20", round, n)
		}
		for i, g := range c.gateways { // it drains for a while
			g.Servers(c.now, c.hosts[i], ListDelta, []Entry{{Server: fresh, State: Draining}})
		}
		c.arrive(600, 2*second)
	}
}
