package policy

import (
	"slices"
	"testing"
)

// cluster is two gateways and eight servers on a simulated clock. A server works through its requests in order; one
// that has just started is slower.
type cluster struct {
	now         Micros
	settings    Settings
	gateways    []*Gateway
	hosts       []*clusterHost
	servers     []*clusterServer
	events      []clusterEvent
	arrived     map[uint32]Micros
	served      int // answered within the latency target
	late        int // sends past the latency target
	maxColdLoad float64
}

type clusterEvent struct {
	at  Micros
	run func()
}

type clusterServer struct {
	up        bool
	startedAt Micros
	freeAt    Micros // when it has finished what it has
	inFlight  int
	byGateway [2]int // part of inFlight, by gateway: a restart breaks its connections
	arrivals  []Micros
}

type clusterHost struct {
	cluster *cluster
	index   int
}

const (
	serverWork    = 60e3 // work of a request on one of two cores
	serverCores   = 2
	clusterTarget = 400e3
)

func newCluster() *cluster {
	settings := Settings{GatewayCount: 2, ClockTick: 4000, MaxAttempts: 3, CanCancel: true, SendRetryAfter: true, MaxUnits: 1,
		Classes:      []Class{{LatencyTarget: clusterTarget, Deadline: 2e6, Value: 1, Repeat: RepeatSafe}},
		Plans:        []Plan{{Rate: 1e6, Burst: 1e6, Price: 1}},
		ColdCapacity: 0.16, ColdDuration: 14e6, OverloadMultiple: 3, OverloadWindow: 1500e3}
	c := &cluster{now: 100e6, settings: settings, arrived: map[uint32]Micros{}}
	for range 8 {
		c.servers = append(c.servers, &clusterServer{up: true})
	}
	c.gateways, c.hosts = make([]*Gateway, 2), make([]*clusterHost, 2)
	for i := range c.gateways {
		c.restart(i)
	}
	return c
}

func (c *cluster) restart(index int) {
	settings := c.settings
	settings.Index = index
	for _, srv := range c.servers {
		srv.inFlight -= srv.byGateway[index]
		srv.byGateway[index] = 0
	}
	c.gateways[index], c.hosts[index] = New(settings, uint64(c.now)+uint64(index)), &clusterHost{c, index}
	c.gateways[index].Start(c.now, c.hosts[index])
	c.sendList(index)
}

// sendList sends a gateway the list of the servers that are up.
func (c *cluster) sendList(index int) {
	var entries []Entry
	for i, srv := range c.servers {
		if srv.up {
			entries = append(entries, Entry{Server: Server(i + 1), State: Ready, ReadyAt: srv.startedAt})
		}
	}
	c.gateways[index].Servers(c.now, c.hosts[index], FullList, entries)
}

func (c *cluster) sendLists() {
	for i := range c.gateways {
		c.sendList(i)
	}
}

func (c *cluster) after(delay Micros, run func()) {
	c.events = append(c.events, clusterEvent{c.now + max(delay, 0), run})
}

// capacity is how many requests per second a server can do.
func (c *cluster) capacity(srv *clusterServer) float64 {
	warm := serverCores / serverWork * 1e6
	if srv.startedAt == 0 || c.now-srv.startedAt >= c.settings.ColdDuration {
		return warm
	}
	return warm * (0.16 + 0.84*float64(c.now-srv.startedAt)/float64(c.settings.ColdDuration))
}

func (h *clusterHost) Send(id uint32, to Server, _ Micros) {
	c := h.cluster
	gateway := c.gateways[h.index]
	srv, attempt, sent := c.servers[to-1], len(gateway.requests[id].attempts)-1, c.now
	if c.now > c.arrived[id]+clusterTarget {
		c.late++
	}
	end := func(after Micros, status Status) {
		c.after(after, func() {
			if c.hosts[h.index] != h { // its gateway has restarted
				return
			}
			if status == OK {
				srv.inFlight--
				srv.byGateway[h.index]--
				if c.now <= c.arrived[id]+clusterTarget {
					c.served++
				}
			}
			gateway.Outcome(c.now, h, Outcome{ID: id, Attempt: attempt, Status: status, Terminal: status == OK,
				Latency: c.now - sent, Server: to})
		})
	}
	if !srv.up {
		end(1e3, ConnectFailed)
		return
	}
	if srv.arrivals = append(srv.arrivals, c.now); srv.startedAt > 0 {
		for srv.arrivals[0] < c.now-c.settings.OverloadWindow {
			srv.arrivals = srv.arrivals[1:]
		}
		c.maxColdLoad = max(c.maxColdLoad,
			float64(len(srv.arrivals))/(c.settings.OverloadMultiple*c.capacity(srv)*float64(c.settings.OverloadWindow)/1e6))
	}
	if srv.inFlight >= 24 {
		end(1e3, Full)
		return
	}
	srv.inFlight++
	srv.byGateway[h.index]++
	srv.freeAt = max(srv.freeAt, c.now) + Micros(1e6/c.capacity(srv))
	end(max(srv.freeAt-c.now, serverWork), OK)
}
func (h *clusterHost) Refuse(uint32, Micros) {}
func (h *clusterHost) Fail(uint32)           {}
func (h *clusterHost) Cancel(uint32, int)    {}
func (h *clusterHost) Timer(token uint64, after Micros) {
	gateway := h.cluster.gateways[h.index]
	h.cluster.after(after, func() {
		if h.cluster.hosts[h.index] == h {
			gateway.Timer(h.cluster.now, h, token)
		}
	})
}
func (h *clusterHost) Count(uint64, float64, Micros) {}

// run lets time pass with a rate of requests per second, and returns how many were answered in time.
func (c *cluster) run(duration Micros, rate int) int {
	before, end := c.served, c.now+duration
	every := second / Micros(rate)
	for ; c.now < end; c.now += milli {
		for i := 0; i < len(c.events); i++ {
			if event := c.events[i]; event.at <= c.now {
				c.events = slices.Delete(c.events, i, i+1)
				i--
				event.run()
			}
		}
		if c.now%every < milli {
			id := uint32(len(c.arrived) + 1)
			i := int(id) % 2
			c.arrived[id] = c.now
			c.gateways[i].Request(c.now, c.hosts[i], Request{ID: id, Customer: uint64(id % 50), TimeLeft: 2e6,
				Units: 1, GatewayCount: 2})
		}
	}
	return c.served - before
}

// Checks the queue, the limit and cold budgets over the five seconds after servers come back, at 45% of the warm
// fleet's capacity, or all of it.
func TestFirstSecondsAfterServersReturn(t *testing.T) {
	const usual = 120
	down := func(servers []*clusterServer) {
		for _, srv := range servers {
			srv.up = false
		}
	}
	back := func(sim *cluster, servers []*clusterServer, start Micros) {
		for _, srv := range servers {
			srv.up, srv.startedAt, srv.arrivals = true, start, nil
		}
	}
	// replaced stops all servers, removes them from the list after a while, and starts them cold.
	replaced := func(sim *cluster, untold, told Micros, rate int) {
		down(sim.servers)
		sim.run(untold, rate)
		sim.sendLists()
		sim.run(told, rate)
		back(sim, sim.servers, sim.now)
		sim.sendLists()
	}
	for name, c := range map[string]struct {
		rate    int
		trouble func(sim *cluster, rate int)
		least   [5]int // answered in time, by second
	}{
		"one returns cold": {usual, func(sim *cluster, rate int) {
			down(sim.servers[:1])
			sim.sendLists()
			sim.run(5e6, rate)
			back(sim, sim.servers[:1], sim.now)
			sim.sendLists()
		}, [5]int{110, 110, 110, 110, 110}},
		"all return cold": {usual, func(sim *cluster, rate int) {
			replaced(sim, 3e6, 2e6, rate)
		}, [5]int{0, 10, 25, 30, 60}},
		"all return cold to restarted gateways": {usual, func(sim *cluster, _ int) {
			back(sim, sim.servers, sim.now)
			sim.restart(0)
			sim.restart(1)
		}, [5]int{10, 10, 10, 10, 10}},
		"all return warm": {usual, func(sim *cluster, rate int) {
			down(sim.servers)
			sim.run(12e6, rate)
			back(sim, sim.servers, 0)
		}, [5]int{60, 110, 110, 110, 110}},
		// what was sent to stopped servers, three times each, is not counted as their capacity
		"all return cold under full load": {250, func(sim *cluster, rate int) {
			replaced(sim, 1e6, 4e6, rate)
			sim.run(300e3, rate)
			sim.restart(0)
		}, [5]int{0, 0, 20, 30, 40}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newCluster()
			if n := sim.run(10e6, c.rate); n < 9*usual {
				t.Fatalf("%d of %d were answered in time before the failure", n, 10*c.rate)
			}
			c.trouble(sim, c.rate)
			sim.late, sim.maxColdLoad = 0, 0
			var got [5]int
			var bounds []float64
			for i := range got {
				got[i] = sim.run(1e6, c.rate)
				bounds = append(bounds, sim.gateways[0].inFlightLimit)
			}
			t.Logf("answered in time by second %v, limit %.1f, cold budget used at most %.2f, sent too late %d",
				got, bounds, sim.maxColdLoad, sim.late)
			for i, n := range got {
				if n < c.least[i] {
					t.Errorf("second %d: %d answered in time, want at least %d", i+1, n, c.least[i])
				}
			}
			if sim.maxColdLoad > 0.75 { // half of the budget, and what rounding to whole requests adds
				t.Errorf("a cold server was sent %.2f of its budget, want at most 0.75", sim.maxColdLoad)
			}
			if sim.late > 0 {
				t.Errorf("%d requests were sent past the latency target, want 0", sim.late)
			}
			if g := sim.gateways[0]; g.inFlightLimit < g.fleetPart(minLimitPerServer) {
				t.Errorf("the limit stays at %.1f, below its minimum", g.inFlightLimit)
			}
		})
	}
}

// A refusal has a retry-after time, also if it ends a request that has used up its attempts.
func TestRefusalHasRetryAfter(t *testing.T) {
	b := newBench(testSettings(), 8)
	id := b.request(0, 0, 1)
	for n := range b.gateway.settings.MaxAttempts {
		b.gateway.Outcome(b.now, b.host, Outcome{ID: id, Attempt: n, Status: Reset, Server: b.host.sent[n].to,
			Latency: 10e3})
	}
	if after, refused := b.host.refused[id]; !refused || after <= 0 {
		t.Errorf("refused %v with a retry-after of %d us, want true and more than 0", refused, after)
	}
}

// Too late requests are not sent: neither one that a stalled event loop finds held past its latency target, nor a
// retry of one that failed past it.
func TestTooLateRequestsAreNotSent(t *testing.T) {
	b := newBench(testSettings(), 1)
	b.gateway.inFlightLimit, b.gateway.answerRate = 1, 1000
	first, held := b.request(0, 0, 1), b.request(0, 0, 2)
	b.now += 600e3 // past the target, and the timers have not fired yet
	b.gateway.Outcome(b.now, b.host, Outcome{ID: first, Status: Reset, Server: 1, Latency: 600e3})
	if _, refused := b.host.refused[first]; len(b.host.sent) != 1 || !refused {
		t.Errorf("retry past the latency target: %d sends, refused %v; want 1 and true", len(b.host.sent), refused)
	}
	if _, refused := b.host.refused[held]; !refused {
		t.Error("a request held past its latency target was not refused")
	}
}

// The limit of a gateway that started with a single server rises when the list grows to ten.
func TestLimitRisesWithFleet(t *testing.T) {
	b := newBench(testSettings(), 1)
	var entries []Entry
	for i := range 10 {
		entries = append(entries, Entry{Server: Server(i + 1), State: Ready})
	}
	b.gateway.Servers(b.now, b.host, FullList, entries)
	if least := b.gateway.fleetPart(minLimitPerServer); b.gateway.inFlightLimit < least {
		t.Errorf("the limit is %.1f for 10 servers, want at least %.1f", b.gateway.inFlightLimit, least)
	}
}

// A new process starts under the same id, or a server comes back, with attempts in flight at the old process. Their
// outcomes do not count against the new one; sends during a cold start still count.
func TestOutcomeOfReplacedProcessIsIgnored(t *testing.T) {
	for name, list := range map[string][]Entry{
		"a new process":            {{Server: 1, State: Ready, ReadyAt: 100e6 + 50e3}},
		"removed and listed again": {{Server: 1, State: Gone}, {Server: 1, State: Ready}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(testSettings(), 1)
			b.gateway.inFlightLimit = 10
			var out []uint32
			for i := range 4 {
				out = append(out, b.request(2, 0, uint64(i)))
			}
			old := b.gateway.byID[1]
			old.slowness, old.fullUntil, old.silent = 9, 200e6, true
			old.coldSends = []Micros{b.now}
			b.now += 60e3
			for _, e := range list {
				b.gateway.Servers(b.now, b.host, ListDelta, []Entry{e})
			}
			for _, id := range out { // the connections to the old process break
				b.gateway.Outcome(b.now, b.host, Outcome{ID: id, Status: Reset, Latency: 60e3, Server: 1})
			}
			s := b.gateway.byID[1]
			if s == nil || s == old {
				t.Fatal("the new process has the record of the old one")
			}
			if s.ejected || s.failures > 0 || s.slowness != 1 || s.fullUntil != 0 || s.silent ||
				s.inFlight != 0 || len(s.coldSends) != 1 {
				t.Errorf("the new record took over more than the cold sends: %+v", s)
			}
			b.gateway.Servers(b.now, b.host, ListDelta, nil)
			if n := len(b.gateway.servers); n != 1 {
				t.Errorf("%d servers are kept, want 1", n)
			}
			if restored, err := Restore(b.gateway.Snapshot()); err != nil || restored.byID[1].entry != s.entry {
				t.Errorf("a restored snapshot has another server: error %v", err)
			}
		})
	}
}

// A request in a customer's name that claims another plan, or that the customer comes through one gateway only,
// neither locks the customer out nor gives this gateway the whole ceiling.
func TestFalseClaimsDoNotAffectOtherRequests(t *testing.T) {
	for name, false1 := range map[string]Request{
		"another plan":     {ID: 1, Plan: 0, Customer: 5, TimeLeft: 2e6, Units: 1, GatewayCount: 2},
		"no other gateway": {ID: 1, Plan: 1, Customer: 5, TimeLeft: 2e6, Units: 1, GatewayCount: 1},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Plans[1].Rate, settings.Plans[1].Burst = 1000, 1000
			b := newBench(settings, 4)
			b.now += 100e6 // our part of every ceiling is full
			b.gateway.Timer(b.now, b.host, tokenTick<<32)
			b.gateway.Request(b.now, b.host, false1)
			b.answer(10e3, OK)
			b.now += 1e6
			before := len(b.host.sent)
			for range 60 {
				b.request(0, 1, 5)
				b.answer(10e3, OK)
			}
			if n := len(b.host.sent) - before; n < 15 || n > 20 {
				t.Errorf("%d were admitted, want 15 to 20 for a part of 20 in the ceiling", n)
			}
		})
	}
}

// A request that would wait too long, by the servers' measured rate, is refused at once with a retry-after time,
// not at the end of the wait.
func TestTooLongWaitIsRefusedAtOnce(t *testing.T) {
	b := newBench(testSettings(), 4)
	b.gateway.inFlightLimit, b.gateway.answerRate = 1, 4
	b.gateway.classes[0].latency, b.gateway.classes[1].latency, b.gateway.classes[2].latency = 250e3, 250e3, 250e3
	for i := range 2 { // one is in flight, one is held for a quarter of a second
		if _, refused := b.host.refused[b.request(0, 0, uint64(i))]; refused {
			t.Fatalf("request %d was refused though it can be served in time", i)
		}
	}
	if after, refused := b.host.refused[b.request(0, 0, 9)]; !refused || after <= 0 {
		t.Errorf("refused %v with a retry-after of %d us, want true and more than 0", refused, after)
	}
}

// A server that refuses connections gets only an occasional probe, though it looks idle beside the others.
func TestFailingServerIsEjected(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Rate, settings.Plans[0].Burst = 1e6, 1e6
	b := newBench(settings, 4)
	b.gateway.inFlightLimit = 40
	refused := 0
	var out []sentAttempt
	for step := range 1200 { // 12 s
		b.now += 10e3
		b.request(0, 0, uint64(step))
		for ; b.handled < len(b.host.sent); b.handled++ {
			sent := b.host.sent[b.handled]
			if sent.to != 1 {
				out = append(out, sent)
				continue
			}
			refused++
			b.gateway.Outcome(b.now, b.host, Outcome{ID: sent.id,
				Attempt: len(b.gateway.requests[sent.id].attempts) - 1,
				Status:  ConnectFailed, Latency: 1e3, Server: 1})
		}
		if len(out) > 15 { // the others have five each
			sent := out[0]
			out = out[1:]
			b.gateway.Outcome(b.now, b.host, Outcome{ID: sent.id,
				Attempt: len(b.gateway.requests[sent.id].attempts) - 1,
				Status:  OK, Terminal: true, Latency: 150e3, Server: sent.to})
		}
	}
	if refused > 8 {
		t.Errorf("%d attempts in 12 s at a server that refuses connections, want at most 8", refused)
	}
}

// While attempts are in flight at replaced processes, the limit counts the new processes only.
func TestReplacedProcessesDoNotRaiseLimit(t *testing.T) {
	b := newBench(testSettings(), 8)
	b.gateway.inFlightLimit = 20
	for i := range 16 {
		b.request(0, 0, uint64(i))
	}
	var entries []Entry
	for i := range 8 {
		entries = append(entries, Entry{Server: Server(i + 1), State: Ready, ReadyAt: b.now})
	}
	b.gateway.inFlightLimit = 1
	b.gateway.Servers(b.now, b.host, FullList, entries)
	if b.gateway.inFlightLimit != minLimitPerServer*8/2 {
		t.Errorf("the minimum limit of 8 servers is %.1f", b.gateway.inFlightLimit)
	}
}

// If the only server that takes requests is ejected, a draining one does not count as an alternative, so the
// ejection stays short.
func TestDrainingServerIsNoAlternative(t *testing.T) {
	b := newBench(testSettings(), 2)
	b.gateway.Servers(b.now, b.host, ListDelta, []Entry{{Server: 1, State: Draining}})
	s := b.gateway.byID[2]
	for range 6 {
		b.now += maxEjection
		b.gateway.now = b.now
		b.gateway.eject(s)
	}
	if s.ejection != minEjection {
		t.Errorf("the last server is ejected for %d ms, want the shortest ejection", s.ejection/milli)
	}
}
