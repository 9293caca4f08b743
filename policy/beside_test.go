package policy

import "testing"

// TestTwoProcessesHoldACeilingAsOne: what either draws has left the other's store, also of a
// customer that only one of them has met.
func TestTwoProcessesHoldACeilingAsOne(t *testing.T) {
	for name, met := range map[string]int{"met before": 6, "met by the old one only": 0} {
		t.Run(name, func(t *testing.T) {
			old, now, oldHost := live(t, met)
			s := old.Snapshot()
			s.Handed()
			fresh, host := New(ceilinged(), 2), &quietHost{}
			fresh.Start(now, host)
			fresh.Recover(now, host, s, true)
			fresh.Joined(s)
			fresh.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
			before := oldHost.sent
			ask(old, oldHost, now, 10)
			for range oldHost.sent - before {
				fresh.Beside(now, Draw{Customer: 5, Spread: 1, Units: 1})
				fresh.Beside(now, Draw{Customer: 5, Spread: 1, Units: 3, Settles: true}) // no matter of a ceiling
			}
			ask(fresh, host, now, 60)
			if all := oldHost.sent + host.sent; all != 30 {
				t.Fatalf("%d units were sent on of a ceiling's 30", all)
			}
		})
	}
}

// TestTwoProcessesHoldAColdBudgetAsOne: sends of the other one count.
func TestTwoProcessesHoldAColdBudgetAsOne(t *testing.T) {
	room := func(others int) int {
		s := ceilinged()
		s.Plans[0].CeilingRate = 0
		s.ColdShare, s.FallMultiple, s.ColdFor, s.FallWindow = 0.2, 3, 10*second, second
		g, h, now := New(s, 1), &quietHost{}, Micros(1e12)
		g.Start(now, h)
		g.Servers(now, h, FullList, []Entry{{Server: 1, State: Ready, ReadyAt: now - second}})
		for range others {
			g.Beside(now, Draw{Server: 1, Spread: 1})
		}
		for id := range uint32(20) {
			g.Request(now, h, Request{ID: id, Customer: 5, Left: 2e6, Units: 1, Spread: 1})
		}
		return h.sent
	}
	alone, beside := room(0), room(1)
	if alone == 0 || beside != alone-1 {
		t.Fatalf("%d sends alone, %d beside one of another process", alone, beside)
	}
}

// TestWhatIsNotToldStaysTheOldOnes: the counter must not be told twice.
func TestWhatIsNotToldStaysTheOldOnes(t *testing.T) {
	g, _, _ := live(t, 3)
	for _, c := range g.customers {
		c.untold = 2
	}
	s := g.Snapshot()
	s.Handed()
	for _, c := range s.Clients {
		if c.Untold != 0 {
			t.Fatalf("%v units are handed over", c.Untold)
		}
	}
	for _, c := range g.customers {
		if c.untold != 2 {
			t.Fatal("the old one has forgotten them")
		}
	}
}

// TestAnUploadIsNoWorkBeforeItsLastByte: the bound is for what workers do.
func TestAnUploadIsNoWorkBeforeItsLastByte(t *testing.T) {
	g, now, h := live(t, 0)
	upload := func(id uint32) {
		g.Request(now, h, Request{ID: id, Customer: uint64(id), Left: 2e6, Units: 1, Spread: 1, Filling: true})
	}
	most := int(g.bound)
	for id := range uint32(3 * most) {
		upload(id)
	}
	if h.sent != 3*most {
		t.Fatalf("%d of %d uploads were sent", h.sent, 3*most)
	}
	for id := range uint32(most) { // as many as the bound lets out become work
		g.Filled(now, id)
		g.Filled(now, id)
	}
	upload(1000)
	if h.sent != 3*most || g.inFlight-g.filling != most {
		t.Fatalf("%d sent, %d of them work", h.sent, g.inFlight-g.filling)
	}
	for id := range uint32(3 * most) {
		g.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, Server: 1})
	}
	g.ClientGone(now, h, 1000)
	g.Outcome(now, h, Outcome{ID: 1000, Status: Cancelled, Server: 1})
	if g.inFlight != 0 || g.filling != 0 || g.byID[1].load > 1e-9 {
		t.Fatalf("%d out, %d filling, load %g", g.inFlight, g.filling, g.byID[1].load)
	}
}

// TestASpentRequestIsNotSentAgain, whatever its class allows.
func TestASpentRequestIsNotSentAgain(t *testing.T) {
	for spent, want := range map[bool]int{false: 2, true: 1} {
		g, now, h := live(t, 0)
		g.Request(now, h, Request{ID: 1, Customer: 1, Left: 2e6, Units: 1, Spread: 1})
		g.Outcome(now, h, Outcome{ID: 1, Status: ConnectFailed, Spent: spent, Server: 1})
		if h.sent != want || (h.refused == 1) != spent {
			t.Errorf("spent %v: %d attempts, %d refused", spent, h.sent, h.refused)
		}
	}
}

// TestARequestKeepsTheAttemptsItCameWith, also where its class has others by now.
func TestARequestKeepsTheAttemptsItCameWith(t *testing.T) {
	g, now, h := live(t, 0)
	fewer := g.classes[0].Class
	fewer.Attempts = 1
	g.Request(now, h, Request{ID: 1, Customer: 1, Left: 2e6, Units: 1, Spread: 1})
	g.SetClasses(now, h, []Class{fewer})
	g.Request(now, h, Request{ID: 2, Customer: 1, Left: 2e6, Units: 1, Spread: 1})
	for id := range uint32(2) {
		g.Outcome(now, h, Outcome{ID: id + 1, Status: Failed, Server: 1})
	}
	if h.sent != 3 {
		t.Fatalf("%d attempts, want two and one", h.sent)
	}
}

// TestProgressIsASignOfLife: a worker that takes a long body is not silent.
func TestProgressIsASignOfLife(t *testing.T) {
	g, now, h := live(t, 0)
	g.Request(now, h, Request{ID: 1, Customer: 1, Left: 60e6, Units: 1, Spread: 1})
	later := now + 5*second
	g.now = later
	silent := g.silence(g.byID[1])
	g.Progress(later, 1)
	if silent == 0 || g.silence(g.byID[1]) != 0 {
		t.Fatalf("silent for %v before and %v after", silent, g.silence(g.byID[1]))
	}
}
