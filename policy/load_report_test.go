package policy

import "testing"

// A server that reports a queue past the latency target is full until enough of it is done. Reports are ignored if
// they are not switched on or cannot be read.
func TestServerWithLongQueueIsFull(t *testing.T) {
	for _, c := range []struct {
		name string
		off  bool
		load []float32
		full bool
	}{
		{name: "no report"},
		{name: "slots taken, none waiting", load: []float32{2, 0, 2}},
		{name: "one waiting", load: []float32{2, 1, 2}},
		{name: "queue past the latency target", load: []float32{2, 8, 2}, full: true},
		{name: "reports not used", off: true, load: []float32{2, 8, 2}},
		{name: "no slots", load: []float32{2, 8, 0}},
		{name: "too few values", load: []float32{8}},
	} {
		settings := testSettings()
		settings.UseLoadReports = !c.off
		g, host := startGateway(settings, 0)
		now := Micros(100e6)
		g.Servers(now, host, FullList, []Entry{{Server: 1, State: Ready}})
		aim := g.classes[0].LatencyTarget
		send := func(id uint32) bool {
			before := len(host.sent)
			g.Request(now, host, Request{ID: id, Customer: uint64(id), TimeLeft: 10 * aim, Units: 1})
			return len(host.sent) > before
		}
		if !send(1) {
			t.Fatalf("%s: the first request was not sent", c.name)
		}
		bound := g.inFlightLimit
		g.Outcome(now, host, Outcome{ID: 1, Status: OK, Server: 1, Latency: aim / 4, LoadReport: c.load, Terminal: true})
		if got := !send(2); got != c.full {
			t.Errorf("%s: server full %v, want %v", c.name, got, c.full)
		}
		if got := g.inFlightLimit < bound; got != c.full {
			t.Errorf("%s: limit cut %v, want %v", c.name, got, c.full)
		}
		now += aim / 2
		g.Timer(now, host, tokenTick<<32)
		if len(host.sent) != 2 {
			t.Errorf("%s: the second request was sent %d times within half the latency target, want 1", c.name,
				len(host.sent)-1)
		}
	}
}
