package policy

import "testing"

// Requests that are held when the classes are replaced keep their rank; later ones get the new rank.
func TestHeldRequestsKeepRankOfReplacedClasses(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 1
	settings.Plans = settings.Plans[:1]
	g, host := startGateway(settings, 1)
	for id := range uint32(5) { // as many as the limit allows
		g.Request(100e6, host, Request{ID: id, Customer: uint64(id), TimeLeft: 2e6, Units: 1, GatewayCount: 1})
	}
	ask := func(id uint32, class int) {
		g.Request(100e6, host, Request{ID: id, Class: class, Customer: uint64(id), TimeLeft: 2e6, Units: 1, GatewayCount: 1})
	}
	ask(10, 0) // value 1
	ask(11, 1) // value 2
	dear := settings.Classes[0]
	dear.Value = 9
	g.SetClasses(100e6, host, []Class{dear, settings.Classes[1], settings.Classes[2]})
	ask(12, 0) // value 9
	if len(host.sent) != 5 {
		t.Fatalf("%d sent, want 5 and the rest held", len(host.sent))
	}
	for id := range uint32(3) {
		g.Outcome(100200e3, host, Outcome{ID: id, Status: OK, Terminal: true, Latency: 200e3, Server: 1})
	}
	var order []uint32
	for _, x := range host.sent[5:] {
		order = append(order, x.id)
	}
	if len(order) < 2 || order[0] != 12 || order[1] != 11 {
		t.Fatalf("held requests were sent in the order %v, want 12 and 11 first", order)
	}
}

// Requests in progress keep the terms of their class: a keyed request is repeated only within the window it was
// taken under.
func TestRequestsInProgressKeepTermsOfReplacedClasses(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 1
	settings.Classes[1].Dedup = DedupFleet
	g, host := startGateway(settings, 4)
	g.Request(100e6, host, Request{ID: 1, Class: 1, Customer: 1, TimeLeft: 2e6, Units: 1, GatewayCount: 1})
	longer := settings.Classes[1]
	longer.RepeatWindow, longer.Repeat = 60e6, RepeatSafe
	g.SetClasses(100e6, host, []Class{settings.Classes[0], longer, settings.Classes[2]})
	first := host.sent[0]
	g.Outcome(101100e3, host, Outcome{ID: 1, Status: Reset, Latency: 1100e3, Server: first.to})
	if _, refused := host.refused[1]; len(host.sent) != 1 || !refused {
		t.Fatalf("%d sends after the repeat window, refused %v; want 1 and true", len(host.sent), refused)
	}
}

// Guards against a crash: classes of equal value leave fewer ranks, and a request that was in flight or awaited the
// counter at the change was held at a rank that no longer existed.
func TestFewerRanksAfterReplacedClasses(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount, settings.HasCounter, settings.CounterTimeout = 1, true, 30e3
	settings.Plans = settings.Plans[:1]
	g, host := startGateway(settings, 4)
	ask := func(id uint32) {
		g.Request(100e6, host, Request{ID: id, Customer: uint64(id), TimeLeft: 2e6, Units: 1, GatewayCount: 1})
	}
	ask(1) // waits for the counter
	g.CounterResult(100e6, host, host.counts[0].name, 1e3, OK, 1)
	ask(2)
	if len(host.sent) != 1 || len(host.counts) != 2 {
		t.Fatalf("%d sent and %d counter calls, want 1 (the first request) and 2", len(host.sent), len(host.counts))
	}
	for i := range settings.Classes {
		settings.Classes[i].Value = 5
	}
	g.SetClasses(100e6, host, settings.Classes)
	g.Outcome(100e6, host, Outcome{ID: 1, Status: Full, Latency: 1e3, Server: host.sent[0].to})
	g.CounterResult(100e6, host, host.counts[1].name, 1e3, OK, 1)
	if len(host.sent) != 3 {
		t.Errorf("%d sends, want 3: a retry of the first request, and the second", len(host.sent))
	}
}
