package policy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// quietHost lets everything pass and keeps what was sent and refused.
type quietHost struct{ sent, refused int }

func (h *quietHost) Send(uint32, Server, Micros)   { h.sent++ }
func (h *quietHost) Refuse(uint32, Micros)         { h.refused++ }
func (h *quietHost) Fail(uint32)                   {}
func (h *quietHost) Cancel(uint32, int)            {}
func (h *quietHost) Timer(uint64, Micros)          {}
func (h *quietHost) Count(uint64, float64, Micros) {}

// ceilinged is a plan whose ceiling, not its quota, is what binds.
func ceilinged() Settings {
	return Settings{Gateways: 1, Tick: 4000, MaxAttempts: 2, Largest: 1, RetryAfter: true,
		Classes: []Class{{Aim: 400e3, Deadline: 2e6, Worth: 1}},
		Plans:   []Plan{{Rate: 1000, Burst: 1000, Price: 1, CeilingRate: 10, CeilingBurst: 30}}}
}

// live begins a module a long time ago, so that its part of the ceiling is full, and
// sends n requests of one unit, each answered.
func live(t *testing.T, n int) (*Gateway, Micros, *quietHost) {
	t.Helper()
	g, h, now := New(ceilinged(), 1), &quietHost{}, Micros(1e12)
	g.Start(now, h)
	g.Servers(now, h, FullList, []Entry{{Server: 1, State: Ready}})
	now += 100 * second
	ask(g, h, now, n)
	return g, now, h
}

func ask(g *Gateway, h *quietHost, now Micros, n int) {
	for i := range n {
		sent := h.sent
		id := uint32(now/1000)%1e6*1000 + uint32(i) + 1
		g.Request(now, h, Request{ID: id, Customer: 5, Left: 2e6, Units: 1, Spread: 1})
		if h.sent > sent {
			g.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, Server: 1})
		}
	}
}

// reborn begins another life a second later, warm where there is a snapshot.
func reborn(s *Snapshot, now Micros, exact bool) (*Gateway, *quietHost) {
	g, h := New(ceilinged(), 2), &quietHost{}
	g.Start(now, h)
	if s != nil {
		g.Recover(now, h, *s, exact)
	}
	g.Servers(now, h, FullList, []Entry{{Server: 1, State: Ready}})
	return g, h
}

// TestALifeGoesOnWhereTheLastOneEnded: what an earlier life left of a ceiling is there at
// once where its end is known, is not where it was killed, and is never handed out twice.
func TestALifeGoesOnWhereTheLastOneEnded(t *testing.T) {
	for name, c := range map[string]struct {
		spent       int
		warm, exact bool
		least, most int // sent on at once, a second after the end
	}{
		"a proper end, nothing spent": {0, true, true, 0, 30},
		"a proper end, some spent":    {10, true, true, 29, 30},
		"a proper end, all spent":     {40, true, true, 9, 10},
		"killed, some spent":          {10, true, false, 4, 5},
		"killed, all spent":           {40, true, false, 4, 5},
		"cold":                        {10, false, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, end, h := live(t, c.spent)
			if h.sent != min(c.spent, 30) {
				t.Fatalf("the first life sent %d", h.sent)
			}
			var s *Snapshot
			if c.warm {
				taken := g.Snapshot()
				s = &taken
			}
			g, h = reborn(s, end+second, c.exact)
			if ask(g, h, end+second, 50); h.sent < c.least || h.sent > c.most {
				t.Errorf("sent on %d, want %d to %d", h.sent, c.least, c.most)
			}
		})
	}
}

// TestAnOldLifeIsNotBelieved: of the workers' health after 10 s, of customers once their
// stores are full in any case.
func TestAnOldLifeIsNotBelieved(t *testing.T) {
	g, end, _ := live(t, 10)
	g.servers[0].rel, g.servers[0].relAt = 5, end
	s := g.Snapshot()
	for _, c := range []struct {
		after   Micros
		rel     float64
		clients int
	}{{second, 5, 1}, {11 * second, 1, 1}, {200 * second, 1, 0}} {
		g, _ := reborn(&s, end+c.after, true)
		if diff := cmp.Diff([]float64{c.rel, float64(c.clients)}, []float64{g.servers[0].rel, float64(len(g.customers))}); diff != "" {
			t.Errorf("after %d s: %s", c.after/second, diff)
		}
	}
}

// TestASnapshotOfAnotherVersionIsNotTaken: half a state would decide otherwise.
func TestASnapshotOfAnotherVersionIsNotTaken(t *testing.T) {
	g, _, _ := live(t, 3)
	s := g.Snapshot()
	s.Version++
	if _, err := Restore(s); err == nil {
		t.Error("taken")
	}
	s.Version--
	s.Known = []int{99}
	if _, err := Restore(s); err == nil {
		t.Error("one that points nowhere is taken")
	}
}
