package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// If the only servers in a request's regions take nothing, the request is refused rather than sent to another
// region, also at a retry.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	g, host := startGateway(testSettings(), 0)
	entries := []Entry{{Server: 1, State: Ready, Region: 0}, {Server: 2, State: Ready, Region: 1},
		{Server: 3, State: Ready, Region: 63}}
	g.Servers(100e6, host, FullList, entries)
	home := map[uint64][]Server{1: {1}, 2: {2}, 1 << 63: {3}, 3: {1, 2}, 0: {1, 2, 3}}
	id := uint32(0)
	for homes, want := range home {
		for range 20 {
			id++
			g.Request(100e6, host, Request{ID: id, Customer: uint64(id), TimeLeft: 2e6, Units: 1, Regions: homes})
			for _, status := range []Status{Full, OK} {
				x := host.sent[len(host.sent)-1]
				if x.id != id {
					break
				}
				ok := false
				for _, s := range want {
					ok = ok || s == x.to
				}
				if !ok {
					t.Fatalf("regions %x: sent to server %d", homes, x.to)
				}
				g.Outcome(100e6, host, Outcome{ID: id, Attempt: countAttempts(host, id) - 1, Status: status,
					Server:  x.to,
					Latency: 1e3, Terminal: status == OK})
			}
			for _, s := range g.servers {
				s.fullUntil = 0
			}
		}
	}
	sent := len(host.sent)
	g.Request(100e6, host, Request{ID: 9999, Customer: 9999, TimeLeft: 2e6, Units: 1, Regions: 1 << 5})
	g.Timer(102e6, host, tokenGiveUp<<32|9999)
	if _, refused := host.refused[9999]; len(host.sent) != sent || !refused {
		t.Fatalf("%d sent, refused %v, without a server in the allowed region; want 0 and true",
			len(host.sent)-sent, refused)
	}
}

func countAttempts(host *recorder, id uint32) (n int) {
	for _, sent := range host.sent {
		if sent.id == id {
			n++
		}
	}
	return n
}

// coldOnly limits the sends to cold servers alone.
func coldOnly(limit func() int) func(Server, bool) int {
	return func(_ Server, cold bool) int {
		if !cold {
			return -1
		}
		return limit()
	}
}

// The limit on sends applies to a server that may be cold, even if the list does not say so.
func TestMaybeColdServerIsLimited(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 1
	settings.MaxColdSends = func(Server, bool) int { return 2 }
	g, host := startGateway(settings, 0)
	g.Servers(100e6, host, FullList, []Entry{{Server: 1, State: Ready}})
	for id := range uint32(5) {
		g.Request(100e6, host, Request{ID: id, Customer: uint64(id), TimeLeft: 9e6, Units: 1})
	}
	assert.Equal(t, len(host.sent), 2)
}

// The limit holds over any second, including the one just before a server became cold, and across changes of the
// server list.
func TestColdServerSendsAreLimitedPerSecond(t *testing.T) {
	const most = 3
	settings := testSettings()
	settings.MaxColdSends = coldOnly(func() int { return most })
	g, host := startGateway(settings, 0)
	now := Micros(100e6)
	cold := []Entry{{Server: 1, State: Ready, ColdUntil: 200e6}}
	g.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
	var sends []Micros
	for id := uint32(1); now < 110e6; id++ {
		g.Request(now, host, Request{ID: id, Customer: uint64(id), TimeLeft: 2e6, Units: 1})
		for ; len(sends) < len(host.sent); now += 100 {
			sent := host.sent[len(sends)]
			sends = append(sends, now)
			g.Outcome(now, host, Outcome{ID: sent.id, Status: OK, Server: 1, Latency: 1e3, Terminal: true})
		}
		switch id % 10 {
		case 3:
			g.Servers(now, host, FullList, cold)
		case 5:
			g.Servers(now, host, FullList, nil)
			g.Servers(now, host, FullList, cold)
		}
		now += 17e3
		g.Timer(now, host, tokenTick<<32)
	}
	if len(sends) < 9*most {
		t.Fatalf("only %d sends in ten seconds", len(sends))
	}
	for i := most; i < len(sends); i++ {
		if sends[i]-sends[i-most] <= second {
			t.Fatalf("sends %d and %d are %d us apart, want more than a second", i-most, i,
				sends[i]-sends[i-most])
		}
	}
}

// An attempt that waits for a connection may leave in any second to come, so it counts until it has left and for a
// second after.
func TestColdServerSendsCountWhenTheyLeave(t *testing.T) {
	const most = 3
	settings := testSettings()
	settings.GatewayCount = 1
	share := most
	settings.MaxColdSends = coldOnly(func() int { return share })
	g, host := startGateway(settings, 0)
	g.Servers(100e6, host, FullList, []Entry{{Server: 1, State: Ready, ColdUntil: 200e6}})
	room := func(at Micros) bool {
		g.now = at
		return g.hasColdSendBudget(g.byID[1])
	}
	for id := range uint32(most) {
		g.Request(100e6, host, Request{ID: id, Customer: uint64(id), TimeLeft: 9e6, Units: 1})
	}
	assert.Equal(t, len(host.sent), most)
	assert.Assert(t, !room(101500e3), "three attempts wait for a connection")
	g.AttemptSent(101600e3, 0, 0)
	g.AttemptSent(101600e3, 0, 0) // reported twice
	g.Outcome(101600e3, host, Outcome{ID: 1, Status: Reset, Server: 1, Terminal: true})
	assert.Assert(t, !room(102e6), "one attempt left in this second, one may have, one waits")
	assert.Assert(t, g.MaySend(102e6, 2, 0))
	share = 2
	assert.Assert(t, !g.MaySend(102e6, 2, 0), "our part of the budget has shrunk")
	share = most
	assert.Assert(t, room(102700e3), "only the waiting attempt counts")
	g.Outcome(102700e3, host, Outcome{ID: 2, Status: NotSent, Server: 1, Terminal: true})
	assert.Equal(t, g.byID[1].unsent, 0)
	g.Outcome(102700e3, host, Outcome{ID: 0, Status: OK, Server: 1, Terminal: true})
	assert.Equal(t, len(g.byID[1].coldSends), 1, "an attempt that has left counts once")

	g.Request(104e6, host, Request{ID: 9, Customer: 9, TimeLeft: 9e6, Units: 1})
	share = 0
	assert.Assert(t, !g.MaySend(104e6, 9, 0))
	g.Servers(104e6, host, FullList, []Entry{{Server: 1, State: Ready}})
	assert.Assert(t, g.MaySend(104e6, 9, 0), "the server is warm")
}

// AllowRetry is asked once for each retry. Without budget a request is refused or, if it may have run and must not
// be repeated, failed.
func TestRetryBudgetIsAskedOncePerRetry(t *testing.T) {
	left, asked := 1, 0
	settings := testSettings()
	settings.AllowRetry = func(int) bool { asked++; left--; return left >= 0 }
	g, host := startGateway(settings, 4)
	fail := func(id uint32, status Status) {
		x := host.sent[len(host.sent)-1]
		g.Outcome(100e6, host, Outcome{ID: id, Attempt: countAttempts(host, id) - 1, Status: status, Server: x.to,
			Latency: 1e3})
	}
	g.Request(100e6, host, Request{ID: 1, Customer: 1, TimeLeft: 2e6, Units: 1})
	if asked != 0 {
		t.Fatal("the budget was asked for a first try")
	}
	fail(1, Full)
	if asked != 1 || len(host.sent) != 2 {
		t.Fatalf("asked %d times, %d sent; want 1 and 2", asked, len(host.sent))
	}
	fail(1, Reset)
	if _, refused := host.refused[1]; asked != 2 || len(host.sent) != 2 || !refused {
		t.Fatalf("asked %d times, %d sent, refused %v; want 2, 2 and true", asked, len(host.sent), refused)
	}
	g.Request(100e6, host, Request{ID: 2, Class: 2, Customer: 2, TimeLeft: 1500e3, Units: 1})
	fail(2, Reset)
	if _, refused := host.refused[2]; asked != 2 || refused || !host.failed[2] {
		t.Fatalf("asked %d times, refused %v, failed %v; want 2, false and true", asked, refused, host.failed[2])
	}
}

// A request that was never sent is refused after a fraction of its latency target, whether it is marked as a retry
// or not.
func TestUnsentRequestIsRefusedAfterHoldPart(t *testing.T) {
	settings := testSettings()
	settings.MaxHoldFraction = 0.25
	g, host := startGateway(settings, 0)
	for id, again := range []bool{false, true} {
		g.Request(100e6, host, Request{ID: uint32(id), Customer: 1, TimeLeft: 2e6, Units: 1, IsRetry: again})
		req := g.requests[uint32(id)]
		if req == nil {
			t.Fatal("refused at once")
		}
		if at := g.holdDeadline(req) - 100e6; at != 125e3 {
			t.Fatalf("held for %d us, want 125000, a quarter of the latency target", at)
		}
		g.Timer(100e6+125e3, host, tokenGiveUp<<32|uint64(id))
		if _, refused := host.refused[uint32(id)]; !refused {
			t.Fatal("still held after a quarter of its latency target")
		}
		g.now = 100e6
	}
}

// A safe request is moved from a silent server once if the retry budget allows; other requests are not moved.
func TestSafeRequestIsMovedFromSilentServerOnce(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		budget bool
		want   int
	}{
		"safe":            {0, true, 1},
		"safe, no budget": {0, false, 0},
		"unsafe":          {2, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			asked := 0
			settings := testSettings()
			settings.MoveAfterSilence, settings.AllowRetry = 1, func(int) bool { asked++; return c.budget }
			g, host := startGateway(settings, 2)
			g.Request(100e6, host, Request{ID: 1, Class: c.class, Customer: 1, TimeLeft: 1500e3, Units: 1})
			for now := Micros(100e6); now < 100e6+300e3; now += 10e3 {
				g.Timer(now, host, tokenTick<<32)
				if n := len(host.cancels); n > 0 && len(host.sent) == 1 {
					if now < 100e6+250e3 {
						t.Fatalf("moved after %d us, want at least half the latency target", now-100e6)
					}
					g.Outcome(now, host, Outcome{ID: 1, Status: Cancelled, Server: host.sent[0].to,
						Latency: now - 100e6})
				}
			}
			if len(host.cancels) != c.want || len(host.sent) != 1+c.want {
				t.Fatalf("%d cancels, %d sent", len(host.cancels), len(host.sent))
			}
			if c.want == 1 && (asked != 1 || host.sent[0].to == host.sent[1].to) {
				t.Fatalf("asked %d times, want 1; sent to %v, want two servers", asked, host.sent)
			}
		})
	}
}

// A server with a high cost, such as one far away, is not used while a cheaper one is as good.
func TestExpensiveServerIsTheLastChoice(t *testing.T) {
	g, host := startGateway(testSettings(), 0)
	g.Servers(100e6, host, FullList, []Entry{{Server: 1, State: Ready, CostFactor: 10}, {Server: 2, State: Ready}})
	for id := range uint32(5) {
		g.Request(100e6, host, Request{ID: id, Customer: uint64(id), TimeLeft: 2e6, Units: 1})
		if host.sent[id].to != 2 {
			t.Fatalf("sent to server %d, want 2", host.sent[id].to)
		}
		g.Outcome(100e6, host, Outcome{ID: id, Status: OK, Server: 2, Latency: 1e3, Terminal: true})
	}
}

// Guards systems whose latency targets are only a few times the work: with the default terms, answers at half of
// the target cut the limit, and requests that could be served in time were refused.
func TestLimitUsesConfiguredTerms(t *testing.T) {
	for _, c := range []struct {
		name  string
		bound LimitTerms
		lat   Micros
		cut   bool
	}{
		{"default terms, half of the target", LimitTerms{}, 150 * milli, true},
		{"terms near the target, half of it", LimitTerms{GrowBelow: 0.8, CutAbove: 1, GrowKnee: 3, CutKnee: 5}, 150 * milli, false},
		{"terms near the target, above it", LimitTerms{GrowBelow: 0.8, CutAbove: 1, GrowKnee: 3, CutKnee: 5}, 450 * milli,
			true},
	} {
		g := New(Settings{GatewayCount: 1, Classes: []Class{{LatencyTarget: 300 * milli, Deadline: 2 * second, Value: 1}},
			Plans:       []Plan{{Price: 1}},
			MaxAttempts: 1, LimitTerms: c.bound}, 1)
		g.now, g.inFlightLimit, g.listedCount = second, 20, 4
		for range 200 {
			g.now += 20 * milli
			g.recordOutcome(&attempt{request: &request{class: &g.classes[0], units: 1},
				server: &server{slowness: 1}}, Outcome{Status: OK, Latency: c.lat})
		}
		if got := g.inFlightLimit < 20; got != c.cut {
			t.Errorf("%s: the limit went from 20 to %.1f", c.name, g.inFlightLimit)
		}
	}
}

// With few answers per second from a server, an average over twenty answers would be ten seconds old, so each
// answer must weigh more.
func TestInfrequentAnswerWeighsMore(t *testing.T) {
	g := New(Settings{GatewayCount: 9, SlownessSeconds: 1.5, Classes: []Class{{LatencyTarget: second}}, Plans: []Plan{{Price: 1}}}, 1)
	g.now = 10 * second
	s := &server{slownessAt: 9 * second}
	if got := g.slownessWeight(s); got < 0.29 {
		t.Errorf("an answer after a second weighs %.2f, want at least 0.29", got)
	}
	s.slownessAt = g.now - milli
	if got := g.slownessWeight(s); got != slownessGain {
		t.Errorf("an answer after a millisecond weighs %.2f, want the least weight", got)
	}
	g.settings.SlownessSeconds = 0
	s.slownessAt = 0
	if got := g.slownessWeight(s); got != slownessGain {
		t.Errorf("an answer weighs %.2f without the setting, want the least weight", got)
	}
}

// A request that its only server refused is answered after it has been held for a fraction of its latency target,
// not when its client's time is over.
func TestRequestWithoutServerIsAnsweredEarly(t *testing.T) {
	for _, c := range []struct {
		name string
		part float64
		by   Micros
	}{
		{"held for a fraction of the target", 0.25, 200 * milli},
		{"without such a fraction", 0, 2 * second},
	} {
		host := &timerHost{}
		g := New(Settings{GatewayCount: 1, ClockTick: milli, MaxAttempts: 3, SendRetryAfter: true, MaxHoldFraction: c.part,
			Classes: []Class{{LatencyTarget: 500 * milli, Deadline: 2 * second, Value: 1, LateValue: 1,
				Repeat: RepeatUnsafe}}, Plans: []Plan{{Price: 1}}}, 1)
		now := second
		host.now = &now
		g.Start(now, host)
		g.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
		g.Request(now, host, Request{ID: 7, TimeLeft: 2 * second, Units: 1, GatewayCount: 1})
		if host.sends != 1 {
			t.Fatalf("%s: %d sends, want 1", c.name, host.sends)
		}
		g.Servers(now, host, FullList, []Entry{{Server: 1, State: Draining}})
		g.Outcome(now, host, Outcome{ID: 7, Status: Full, Server: 1, Latency: milli})
		for host.refused == 0 && now < 4*second {
			now += milli
			host.fireTimers(g)
		}
		if got := host.refused - second; host.refused == 0 || got > c.by {
			t.Errorf("%s: refused after %d ms", c.name, got/milli)
		}
	}
}

// timerHost is a Host that keeps timers and records when it was asked to refuse.
type timerHost struct {
	now     *Micros
	sends   int
	refused Micros
	timers  map[uint64]Micros
}

func (h *timerHost) Send(uint32, Server, Micros)   { h.sends++ }
func (h *timerHost) Refuse(uint32, Micros)         { h.refused = *h.now }
func (h *timerHost) Fail(uint32)                   { h.refused = *h.now }
func (h *timerHost) Cancel(uint32, int)            {}
func (h *timerHost) Count(uint64, float64, Micros) {}
func (h *timerHost) Timer(token uint64, after Micros) {
	if h.timers == nil {
		h.timers = map[uint64]Micros{}
	}
	h.timers[token] = *h.now + after
}

func (h *timerHost) fireTimers(g *Gateway) {
	for token, at := range h.timers {
		if at <= *h.now {
			delete(h.timers, token)
			g.Timer(*h.now, h, token)
		}
	}
}

// In a service that gets only unsafe requests, an ejected server is probed by them too: later than by safe ones,
// one at a time, and only a good answer ends the ejection.
func TestEjectedServerIsProbedByUnsafeRequests(t *testing.T) {
	g, host := startGateway(testSettings(), 0)
	now := Micros(100e6)
	g.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}, {Server: 2, State: Ready}})
	s := g.byID[1]
	g.eject(s)
	g.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
	id, early, tried := uint32(0), 0, 0
	for end := now + 10*second; now < end && tried < 3; now += 600 * milli / 7 {
		id++
		g.Timer(now, host, tokenTick<<32)
		before := len(host.sent)
		g.Request(now, host, Request{ID: id, Class: 2, Customer: uint64(id), TimeLeft: 1e6, Units: 1})
		if len(host.sent) == before {
			g.ClientGone(now, host, id)
			continue
		}
		sent := host.sent[before]
		o := Outcome{ID: sent.id, Status: OK, Server: sent.to, Latency: milli, Terminal: true}
		if sent.to == 1 {
			if tried++; now < s.probeAt+s.ejection {
				early++
			}
			if tried == 1 {
				o.Status = Timeout
			}
		}
		g.Outcome(now, host, o)
	}
	if early > 0 || tried < 3 || s.ejected {
		t.Fatalf("%d probes, want 3; %d of them early, want 0; still ejected %v", tried, early, s.ejected)
	}
}

// An idle gateway ticks seldom, and at the usual interval as soon as there is a request. A timer that was requested
// before must not start a second series of ticks.
func TestIdleGatewayTicksSeldom(t *testing.T) {
	settings := testSettings()
	settings.TickInterval, settings.IdleTickInterval = 20*milli, 100*milli
	g, host := startGateway(settings, 0)
	now := Micros(100e6)
	g.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
	g.tickDue = now
	g.Timer(now, host, tokenTick<<32)
	assert.Equal(t, g.tickDue, now+100*milli)
	idle := g.tickDue
	now += 30 * milli
	g.Request(now, host, Request{ID: 1, Customer: 1, TimeLeft: 2e6, Units: 1})
	assert.Equal(t, g.tickDue, now+20*milli)
	assert.Equal(t, g.settings.IdleTickInterval-now%g.settings.IdleTickInterval, 70*milli,
		"idle ticks of several gateways coincide")
	now += 20 * milli
	g.Timer(now, host, tokenTick<<32)
	assert.Equal(t, g.tickDue, now+20*milli)
	for now += 20 * milli; now < idle; now += 20 * milli {
		g.Timer(now, host, tokenTick<<32)
	}
	due := g.tickDue
	g.Timer(idle, host, tokenTick<<32) // the one that the request voided
	assert.Equal(t, g.tickDue, due)
}
