package policy

import "testing"

// What either of two processes draws leaves the other's bucket too, also for a customer that only one of them has
// met.
func TestTwoProcessesShareCeiling(t *testing.T) {
	for name, met := range map[string]int{"known to both": 6, "known to the old process only": 0} {
		t.Run(name, func(t *testing.T) {
			old, now, oldHost := running(t, met)
			s := old.Snapshot()
			s.PrepareHandover()
			fresh, host := New(ceilingSettings(), 2), &quietHost{}
			fresh.Start(now, host)
			fresh.Recover(now, host, s, true)
			fresh.InheritStart(s)
			fresh.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
			before := oldHost.sent
			sendRequests(old, oldHost, now, 10)
			for range oldHost.sent - before {
				fresh.RecordPeerDraw(now, PeerDraw{Customer: 5, GatewayCount: 1, Units: 1})
				fresh.RecordPeerDraw(now, PeerDraw{Customer: 5, GatewayCount: 1, Units: 3, Settlement: true}) // ceilings ignore settlements
			}
			sendRequests(fresh, host, now, 60)
			if all := oldHost.sent + host.sent; all != 30 {
				t.Fatalf("%d units were sent under a ceiling of 30, want 30", all)
			}
		})
	}
}

// Sends of the other process count against a cold server's budget.
func TestTwoProcessesShareColdBudget(t *testing.T) {
	room := func(others int) int {
		settings := ceilingSettings()
		settings.Plans[0].CeilingRate = 0
		settings.ColdCapacity, settings.OverloadMultiple, settings.ColdDuration, settings.OverloadWindow = 0.2, 3, 10*second, second
		g, h, now := New(settings, 1), &quietHost{}, Micros(1e12)
		g.Start(now, h)
		g.Servers(now, h, FullList, []Entry{{Server: 1, State: Ready, ReadyAt: now - second}})
		for range others {
			g.RecordPeerDraw(now, PeerDraw{Server: 1, GatewayCount: 1})
		}
		for id := range uint32(20) {
			g.Request(now, h, Request{ID: id, Customer: 5, TimeLeft: 2e6, Units: 1, GatewayCount: 1})
		}
		return h.sent
	}
	alone, beside := room(0), room(1)
	if alone == 0 || beside != alone-1 {
		t.Fatalf("%d sends alone, %d after one of another process; want one less", alone, beside)
	}
}

// Use that the old process has not reported to the counter is not handed over, since it would be reported twice.
func TestUnreportedUseIsNotHandedOver(t *testing.T) {
	g, _, _ := running(t, 3)
	for _, c := range g.customers {
		c.unreported = 2
	}
	s := g.Snapshot()
	s.PrepareHandover()
	for _, c := range s.Customers {
		if c.Unreported != 0 {
			t.Fatalf("%v unreported units are handed over, want 0", c.Unreported)
		}
	}
	for _, c := range g.customers {
		if c.unreported != 2 {
			t.Fatal("the old process lost its unreported units")
		}
	}
}

// The limit on attempts counts the servers' work, so requests whose body is still arriving do not count.
func TestUploadDoesNotCountBeforeLastByte(t *testing.T) {
	g, now, host := running(t, 0)
	upload := func(id uint32) {
		g.Request(now, host, Request{ID: id, Customer: uint64(id), TimeLeft: 2e6, Units: 1, GatewayCount: 1, BodyPending: true})
	}
	most := int(g.inFlightLimit)
	for id := range uint32(3 * most) {
		upload(id)
	}
	if host.sent != 3*most {
		t.Fatalf("%d of %d uploads were sent, want all", host.sent, 3*most)
	}
	for id := range uint32(most) { // as many as the limit allows become work
		g.BodyReceived(now, id)
		g.BodyReceived(now, id)
	}
	upload(1000)
	if host.sent != 3*most || g.inFlight-g.inFlightBodies != most {
		t.Fatalf("%d sent, %d of them count as work", host.sent, g.inFlight-g.inFlightBodies)
	}
	for id := range uint32(3 * most) {
		g.Outcome(now, host, Outcome{ID: id, Status: OK, Latency: 1000, Server: 1})
	}
	g.ClientGone(now, host, 1000)
	g.Outcome(now, host, Outcome{ID: 1000, Status: Cancelled, Server: 1})
	if g.inFlight != 0 || g.inFlightBodies != 0 || g.byID[1].work > 1e-9 {
		t.Fatalf("%d attempts in flight, %d uploading, work %g; want none", g.inFlight, g.inFlightBodies,
			g.byID[1].work)
	}
}

// A request whose body cannot be sent again is not sent again, whatever its class allows.
func TestRequestWithConsumedBodyIsNotRetried(t *testing.T) {
	for spent, want := range map[bool]int{false: 2, true: 1} {
		g, now, host := running(t, 0)
		g.Request(now, host, Request{ID: 1, Customer: 1, TimeLeft: 2e6, Units: 1, GatewayCount: 1})
		g.Outcome(now, host, Outcome{ID: 1, Status: ConnectFailed, BodyConsumed: spent, Server: 1})
		if host.sent != want || (host.refused == 1) != spent {
			t.Errorf("body consumed %v: %d attempts, %d refused", spent, host.sent, host.refused)
		}
	}
}

// A request keeps the number of attempts that its class had when it arrived.
func TestRequestKeepsMaxAttemptsOfArrival(t *testing.T) {
	g, now, host := running(t, 0)
	fewer := g.classes[0].Class
	fewer.MaxAttempts = 1
	g.Request(now, host, Request{ID: 1, Customer: 1, TimeLeft: 2e6, Units: 1, GatewayCount: 1})
	g.SetClasses(now, host, []Class{fewer})
	g.Request(now, host, Request{ID: 2, Customer: 1, TimeLeft: 2e6, Units: 1, GatewayCount: 1})
	for id := range uint32(2) {
		g.Outcome(now, host, Outcome{ID: id + 1, Status: Failed, Server: 1})
	}
	if host.sent != 3 {
		t.Fatalf("%d attempts, want 3: two of the first request and one of the second", host.sent)
	}
}

// A server that receives a long body is not silent.
func TestProgressEndsSilence(t *testing.T) {
	g, now, host := running(t, 0)
	g.Request(now, host, Request{ID: 1, Customer: 1, TimeLeft: 60e6, Units: 1, GatewayCount: 1})
	later := now + 5*second
	g.now = later
	silent := g.silence(g.byID[1])
	g.Progress(later, 1)
	if silent == 0 || g.silence(g.byID[1]) != 0 {
		t.Fatalf("silent for %v us before the progress and %v us after, want 0 after", silent,
			g.silence(g.byID[1]))
	}
}
