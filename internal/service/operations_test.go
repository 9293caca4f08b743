package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxwood/internal/config"
)

// door is a call at the operators' door.
func (g *gate) call(path string) (int, string) {
	g.t.Helper()
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + g.door.Addr() + path)
	if err != nil {
		g.t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		g.t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

func withDoor(c *config.Config) { c.Control = "127.0.0.1:0" }

// figures publishes, and reads what the door tells, without the gauges' names in want.
func (g *gate) figures() map[string]string {
	g.t.Helper()
	g.on(g.publish)
	_, text := g.call("/admin/stats")
	got := map[string]string{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), ":")
		if !ok || !strings.HasPrefix(name, "edge.") || got[name] != "" {
			g.t.Errorf("line %q", line)
		}
		got[strings.TrimPrefix(name, "edge.")] = value
	}
	return got
}

// TestTheFiguresAreALedger holds the figures against scripted traffic, each of whose
// requests ends in a known way.
func TestTheFiguresAreALedger(t *testing.T) {
	addr, got := worker(t, func(n int, s *seen) bool {
		switch s.body {
		case "fail":
			return say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, s)
		case "hang":
			return hang(n, s)
		}
		return say(served)(n, s)
	})
	g := open(t, withDoor, addr)
	want := map[string]string{
		"completed.cuota": "0|c", "rejected.cuota": "0|c", "failed.cuota": "0|c",
		"completed.simulacion": "0|c", "rejected.simulacion": "0|c", "failed.simulacion": "0|c",
		"upstream_requests": "0|c", "config_reloads": "0|c", "config_reload_errors": "0|c",
		"pending": "0|g", "members": "1|g", "members_unavailable": "0|g",
	}
	if diff := cmp.Diff(want, g.figures()); diff != "" {
		t.Fatalf("at the start (-want +got):\n%s", diff)
	}
	for range 3 {
		g.dial().ask(cuota("mayor", 900))
	}
	c := g.dial()
	for range 3 { // the third is beyond the burst
		c.ask(cuota("basico", 900))
	}
	g.dial().ask("noise\r\n\r\n") // no request of any class
	for len(got) > 0 {
		<-got
	}
	g.dial().send(simulacion(1900, "hang"))
	next(t, got)
	want["completed.cuota"], want["rejected.cuota"] = "5|c", "1|c"
	want["upstream_requests"], want["pending"] = "6|c", "1|g"
	if diff := cmp.Diff(want, g.figures()); diff != "" {
		t.Fatalf("after the traffic (-want +got):\n%s", diff)
	}
}

// TestTheFiguresTellAttemptsFromRequests: one that is retried has two attempts, one whose
// worker can't be reached has none that was written whole, and so has a body that the worker
// breaks off in the middle; a client that leaves stands under nothing but its attempt.
func TestTheFiguresTellAttemptsFromRequests(t *testing.T) {
	broken := listen(t, func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, 100<<10) })
	for name, c := range map[string]struct {
		worker string
		answer func(n int, s *seen) bool
		text   []byte
		leaves bool
		want   map[string]string
	}{
		"retried": {answer: func(n int, s *seen) bool {
			if n == 0 {
				return say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, s)
			}
			return say(served)(n, s)
		}, text: []byte(cuota("mayor", 1900)), want: map[string]string{"completed.cuota": "1|c", "upstream_requests": "2|c"}},
		"not reached": {worker: free(t), text: []byte(cuota("mayor", 1900)),
			want: map[string]string{"rejected.cuota": "1|c", "upstream_requests": "0|c"}},
		"a broken write": {worker: broken, text: heavy("7c2d", pattern(20<<20), 0),
			want: map[string]string{"rejected.simulacion": "1|c", "upstream_requests": "0|c"}},
		"left": {answer: hang, text: []byte(cuota("mayor", 1900)), leaves: true,
			want: map[string]string{"completed.cuota": "0|c", "rejected.cuota": "0|c", "failed.cuota": "0|c", "upstream_requests": "1|c", "pending": "0|g"}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := c.worker, make(chan *seen)
			if addr == "" {
				addr, got = worker(t, c.answer)
			}
			g := open(t, withDoor, addr)
			cl := g.dial()
			go func() { _, _ = cl.Write(c.text) }()
			if c.leaves {
				next(t, got)
				cl.Close()
				for open, until := 1, time.Now().Add(patience); open > 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
					g.on(func() { open = g.core.Open() })
				}
			} else {
				cl.get()
			}
			figures := g.figures()
			for figure, want := range c.want {
				if figures[figure] != want {
					t.Errorf("%s is %s, want %s", figure, figures[figure], want)
				}
			}
		})
	}
}

// TestAFailedRequestStandsUnderFailed: an unsafe class's execution may have run.
func TestAFailedRequestStandsUnderFailed(t *testing.T) {
	addr, _ := worker(t, say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))
	g := open(t, func(c *config.Config) {
		withDoor(c)
		c.Settings = []byte(strings.Replace(settingsText, `"idempotent"`, `"at_most_once"`, 1))
	}, addr)
	if res, _ := g.dial().ask(cuota("mayor", 900)); res.StatusCode != 502 {
		t.Fatalf("status %d", res.StatusCode)
	}
	got := g.figures()
	if got["failed.cuota"] != "1|c" || got["upstream_requests"] != "1|c" {
		t.Fatalf("figures %v", got)
	}
}

// TestSilentCallersDoNotShutTheDoor: more of them than the door holds, and a caller is
// answered within its second, though the loop does nothing at all meanwhile.
func TestSilentCallersDoNotShutTheDoor(t *testing.T) {
	g := open(t, withDoor, "127.0.0.1:1")
	held, release := make(chan bool), make(chan bool)
	g.loop.Post(func() { held <- true; <-release })
	next(t, held)
	defer close(release)
	for range 40 {
		c, err := net.Dial("tcp", g.door.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /admin")
	}
	if status, text := g.call("/admin/stats"); status != 200 || !strings.Contains(text, "edge.pending:0|g\n") {
		t.Errorf("stats: %d %q", status, text)
	}
	if status, _ := g.call("/admin/health"); status != 200 {
		t.Errorf("health: %d", status)
	}
}

// TestTheDoorAnswersWhatItDoesNotTake as users of HTTP expect.
func TestTheDoorAnswersWhatItDoesNotTake(t *testing.T) {
	g := open(t, withDoor)
	for text, want := range map[string]int{
		"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n":                      503, // no worker
		"GET /admin/else HTTP/1.1\r\nHost: a\r\n\r\n":                        404,
		"POST /admin/stats HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n": 405,
		"\x16\x03\x01\r\n\r\n":                                               400,
	} {
		c, err := net.Dial("tcp", g.door.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(patience))
		_, _ = io.WriteString(c, text)
		answer, _ := io.ReadAll(c) // one call a connection
		if !strings.HasPrefix(string(answer), fmt.Sprintf("HTTP/1.1 %d ", want)) {
			t.Errorf("%q: %q", text, answer)
		}
	}
}

// TestWithoutControlThereIsNoDoor, and nobody counts.
func TestWithoutControlThereIsNoDoor(t *testing.T) {
	if g := open(t, nil); g.door != nil || g.service.figures != nil {
		t.Fatal("there is a door")
	}
}

// TestSettingsChangeWholeOrNotAtAll: a class is added, another's terms change and a third
// is dropped, while a request with the old terms is open; faulty files change nothing.
func TestSettingsChangeWholeOrNotAtAll(t *testing.T) {
	addr, got := worker(t, func(n int, s *seen) bool {
		if s.body == "hang" {
			_, _ = io.ReadFull(s.c, make([]byte, 1)) // until the link ends
			return false
		}
		return say("HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")(n, s)
	})
	g := open(t, withDoor, addr)
	tries := func(text string) int {
		t.Helper()
		g.dial().ask(text)
		n := len(got)
		for range n {
			<-got
		}
		return n
	}
	if n := tries(cuota("mayor", 900)); n != 3 {
		t.Fatalf("%d attempts before", n)
	}
	file := func(set string) error {
		t.Helper()
		configured(t, `{"name":"n0","control":"","settings":`+set+`}`)
		return g.reload(os.Getenv("EDGE_CONFIG"))
	}
	inForce := func(set string) string { return strings.Replace(set, `"max-attempts":3`, `"max-attempts":1`, 1) }
	for name, set := range map[string]string{
		"no deadline":       strings.Replace(inForce(settingsText), `"deadline-us":2000000,`, ``, 1),
		"a deadline of 0":   strings.Replace(inForce(settingsText), `"deadline-us":2000000`, `"deadline-us":0`, 1),
		"attempts below 0":  strings.Replace(settingsText, `"max-attempts":3`, `"max-attempts":-1`, 1),
		"no attempts":       strings.Replace(settingsText, `"max-attempts":3,`, ``, 1),
		"a class twice":     strings.Replace(inForce(settingsText), `"simulacion"`, `"cuota"`, 1),
		"a class no name":   strings.Replace(inForce(settingsText), `"simulacion"`, `""`, 1),
		"no classes":        `{"limits":{"max-attempts":1}}`,
		"an unknown effect": strings.Replace(inForce(settingsText), `"idempotent"`, `"sometimes"`, 1),
		"cut off":           settingsText[:200],
	} {
		if file(set) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if n := tries(cuota("mayor", 900)); n != 3 {
		t.Fatalf("%d attempts after faulty files", n)
	}

	open := g.dial().send(simulacion(400, "hang")) // keeps its class
	next(t, got)
	second := strings.NewReplacer(`"max-attempts":3`, `"max-attempts":1`, `"name":"simulacion"`, `"name":"simulacion-2"`).Replace(settingsText)
	if err := file(second); err != nil {
		t.Fatal(err)
	}
	if n := tries(cuota("mayor", 900)); n != 1 {
		t.Errorf("%d attempts after the change", n)
	}
	if n := tries(strings.NewReplacer("X-Qos: simulacion", "X-Qos: simulacion-2", "7c2d", "7c2e").Replace(simulacion(900, ""))); n != 1 {
		t.Errorf("%d attempts of the new class", n)
	}
	if res, _ := open.get(); res.StatusCode != 429 { // its repeats are dropped everywhere: a refusal is harmless
		t.Errorf("the open request got %d", res.StatusCode)
	}
	figures := g.figures()
	for _, name := range []string{"rejected.simulacion", "rejected.simulacion-2"} {
		if figures[name] != "1|c" {
			t.Errorf("%s is %q", name, figures[name])
		}
	}
	// The dropped class is taken, and counted, until its clients must have heard.
	if res, _ := g.dial().ask(simulacion(900, "")); res.StatusCode == 400 {
		t.Error("a class that was just dropped is refused")
	}
	if n := g.figures()["rejected.simulacion"]; n != "2|c" {
		t.Errorf("rejected.simulacion is %q with one that came late", n)
	}
	g.loop.Post(func() { g.platform.Replace(g.set.Classes, g.names.Classes) }) // what the loop does then
	if res, _ := g.dial().ask(simulacion(900, "")); res.StatusCode != 400 {
		t.Errorf("a class that is long dropped got %d", res.StatusCode)
	}
}

// TestASlowClientOutlastsTheSilent: past the budget, links that say nothing go, and those
// that have stopped in the middle of a request, before one that goes on bringing its own.
func TestASlowClientOutlastsTheSilent(t *testing.T) {
	addr, _ := worker(t, say(served))
	g := open(t, func(c *config.Config) { c.Limits.Sockets = 160 }, addr)
	slow := g.dial()
	head := cuota("mayor", 1900)
	const pieces = 5
	for i := range pieces { // 2 s in all
		slow.send(head[i*len(head)/pieces : (i+1)*len(head)/pieces])
		if i == pieces-1 {
			break
		}
		// What came later has been answered, so the piece has been read before time goes on.
		later := g.dial()
		later.ask("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		later.Close()
		g.pass(450)
		if i == 0 { // so far it looks like those that never go on
			continue
		}
		for n := range g.loop.Budget.Clients {
			c := g.dial()
			if n%2 == 0 {
				_, _ = io.WriteString(c, "GET /api HTTP/1.1\r\nHost") // it may have had to go already
			}
			if n%3 == 0 { // asks once and stays
				c = g.dial()
				if res, _ := c.ask("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"); res.StatusCode != 200 {
					t.Fatalf("status %d", res.StatusCode)
				}
			}
		}
	}
	if res, _ := slow.get(); res.StatusCode != 200 {
		t.Fatalf("status %d", res.StatusCode)
	}
}

// TestADrainUnderAFullTableAnswersAllThatWasTaken, however crowded it is.
func TestADrainUnderAFullTableAnswersAllThatWasTaken(t *testing.T) {
	release := make(chan bool)
	addr, got := worker(t, func(n int, s *seen) bool { <-release; return say(served)(n, s) })
	g := open(t, func(c *config.Config) { c.Limits.Sockets = 160 }, addr)
	var asked []*client
	for range 3 { // within the bound
		asked = append(asked, g.dial().send(cuota("mayor", 1900)))
	}
	for range asked {
		next(t, got)
	}
	for range 2 * g.loop.Budget.Clients {
		g.dial()
	}
	drained := make(chan bool)
	go func() { g.drain(); close(drained) }()
	for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		var draining bool
		g.on(func() { draining = g.clients.Draining() })
		if draining {
			break
		}
		if time.Now().After(until) {
			t.Fatal("no drain")
		}
	}
	late := g.dial().send(cuota("mayor", 1900)) // taken after SIGTERM
	next(t, got)
	close(release)
	for _, c := range append(asked, late) {
		if res, _ := c.get(); res.StatusCode != 200 || !res.Close {
			t.Errorf("status %d, close %v", res.StatusCode, res.Close)
		}
	}
	next(t, drained)
}
