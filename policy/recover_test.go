package policy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// quietHost is a Host that counts sends and refusals.
type quietHost struct{ sent, refused int }

func (h *quietHost) Send(uint32, Server, Micros)   { h.sent++ }
func (h *quietHost) Refuse(uint32, Micros)         { h.refused++ }
func (h *quietHost) Fail(uint32)                   {}
func (h *quietHost) Cancel(uint32, int)            {}
func (h *quietHost) Timer(uint64, Micros)          {}
func (h *quietHost) Count(uint64, float64, Micros) {}

// ceilingSettings returns a plan whose ceiling is smaller than its quota.
func ceilingSettings() Settings {
	return Settings{GatewayCount: 1, ClockTick: 4000, MaxAttempts: 2, MaxUnits: 1, SendRetryAfter: true,
		Classes: []Class{{LatencyTarget: 400e3, Deadline: 2e6, Value: 1}},
		Plans:   []Plan{{Rate: 1000, Burst: 1000, Price: 1, CeilingRate: 10, CeilingBurst: 30}}}
}

// running starts a gateway that has run long enough for its part of the ceiling to be full, and sends n requests of
// one unit, each answered.
func running(t *testing.T, n int) (*Gateway, Micros, *quietHost) {
	t.Helper()
	gateway, host, now := New(ceilingSettings(), 1), &quietHost{}, Micros(1e12)
	gateway.Start(now, host)
	gateway.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
	now += 100 * second
	sendRequests(gateway, host, now, n)
	return gateway, now, host
}

func sendRequests(gateway *Gateway, host *quietHost, now Micros, n int) {
	for i := range n {
		sent := host.sent
		id := uint32(now/1000)%1e6*1000 + uint32(i) + 1
		gateway.Request(now, host, Request{ID: id, Customer: 5, TimeLeft: 2e6, Units: 1, GatewayCount: 1})
		if host.sent > sent {
			gateway.Outcome(now, host, Outcome{ID: id, Status: OK, Latency: 1000, Server: 1})
		}
	}
}

// restarted starts another process a second later, with a snapshot or without.
func restarted(snapshot *Snapshot, now Micros, exact bool) (*Gateway, *quietHost) {
	gateway, host := New(ceilingSettings(), 2), &quietHost{}
	gateway.Start(now, host)
	if snapshot != nil {
		gateway.Recover(now, host, *snapshot, exact)
	}
	gateway.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
	return gateway, host
}

// What an earlier run left of a ceiling is available at once after an orderly end, is not after a crash, and is
// never spent twice.
func TestRecoverCeiling(t *testing.T) {
	for name, c := range map[string]struct {
		spent       int
		warm, exact bool
		least, most int // sent on at once, a second after the end
	}{
		"orderly end, nothing spent": {0, true, true, 0, 30},
		"orderly end, some spent":    {10, true, true, 29, 30},
		"orderly end, all spent":     {40, true, true, 9, 10},
		"crash, some spent":          {10, true, false, 4, 5},
		"crash, all spent":           {40, true, false, 4, 5},
		"no snapshot":                {10, false, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, end, host := running(t, c.spent)
			if host.sent != min(c.spent, 30) {
				t.Fatalf("the first process sent %d", host.sent)
			}
			var s *Snapshot
			if c.warm {
				taken := g.Snapshot()
				s = &taken
			}
			g, host = restarted(s, end+second, c.exact)
			if sendRequests(g, host, end+second, 50); host.sent < c.least || host.sent > c.most {
				t.Errorf("sent %d, want %d to %d", host.sent, c.least, c.most)
			}
		})
	}
}

// The servers' health is recovered for 10 s, customers until their buckets are full in any case.
func TestRecoverIgnoresOldState(t *testing.T) {
	g, end, _ := running(t, 10)
	g.servers[0].slowness, g.servers[0].slownessAt = 5, end
	s := g.Snapshot()
	for _, c := range []struct {
		after   Micros
		rel     float64
		clients int
	}{{second, 5, 1}, {11 * second, 1, 1}, {200 * second, 1, 0}} {
		g, _ := restarted(&s, end+c.after, true)
		if diff := cmp.Diff([]float64{c.rel, float64(c.clients)},
			[]float64{g.servers[0].slowness, float64(len(g.customers))}); diff != "" {
			t.Errorf("after %d s, slowness and customers: %s", c.after/second, diff)
		}
	}
}

// A snapshot of another version is rejected, since a partial state would decide differently.
func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	g, _, _ := running(t, 3)
	s := g.Snapshot()
	s.Version++
	if _, err := Restore(s); err == nil {
		t.Error("a snapshot of another version was restored")
	}
	s.Version--
	s.KnownRequests = []int{99}
	if _, err := Restore(s); err == nil {
		t.Error("a snapshot with an invalid index was restored")
	}
}
