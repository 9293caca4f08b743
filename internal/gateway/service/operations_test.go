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

	"foxwood/internal/gateway/config"
)

// adminGet sends a request to the admin server.
func (g *testGateway) adminGet(path string) (int, string) {
	g.t.Helper()
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + g.adminServer.Addr() + path)
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

func withAdminServer(c *config.Config) { c.AdminAddress = "127.0.0.1:0" }

// readStats publishes the statistics and reads /admin/stats. The keys have no "edge." prefix.
func (g *testGateway) readStats() map[string]string {
	g.t.Helper()
	g.runOnLoop(g.publishStats)
	_, text := g.adminGet("/admin/stats")
	got := map[string]string{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), ":")
		if !ok || !strings.HasPrefix(name, "edge.") || got[name] != "" {
			g.t.Errorf("/admin/stats: malformed or repeated line %q", line)
		}
		got[strings.TrimPrefix(name, "edge.")] = value
	}
	return got
}

// TestStatsCountScriptedTraffic compares the statistics with scripted traffic, each request of
// which ends in a known way.
func TestStatsCountScriptedTraffic(t *testing.T) {
	addr, got := startWorker(t, func(n int, req *workerRequest) bool {
		switch req.body {
		case "fail":
			return respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, req)
		case "hang":
			return neverRespond(n, req)
		}
		return respondWith(okResponse)(n, req)
	})
	gateway := startGateway(t, withAdminServer, addr)
	want := map[string]string{
		"completed.cuota": "0|c", "rejected.cuota": "0|c", "failed.cuota": "0|c",
		"completed.simulacion": "0|c", "rejected.simulacion": "0|c", "failed.simulacion": "0|c",
		"upstream_requests": "0|c", "config_reloads": "0|c", "config_reload_errors": "0|c",
		"pending": "0|g", "members": "1|g", "members_unavailable": "0|g",
	}
	if diff := cmp.Diff(want, gateway.readStats()); diff != "" {
		t.Fatalf("at the start (-want +got):\n%s", diff)
	}
	for range 3 {
		gateway.dial().ask(cuotaRequest("mayor", 900))
	}
	conn := gateway.dial()
	for range 3 { // the third exceeds the burst
		conn.ask(cuotaRequest("basico", 900))
	}
	gateway.dial().ask("noise\r\n\r\n") // not a request of any class
	for len(got) > 0 {
		<-got
	}
	gateway.dial().send(simulacionRequest(1900, "hang"))
	receive(t, got)
	want["completed.cuota"], want["rejected.cuota"] = "5|c", "1|c"
	want["upstream_requests"], want["pending"] = "6|c", "1|g"
	if diff := cmp.Diff(want, gateway.readStats()); diff != "" {
		t.Fatalf("after the traffic (-want +got):\n%s", diff)
	}
}

// TestStatsCountAttemptsSeparately checks upstream_requests, which counts attempts that were
// written completely: two for a request that is retried, none if the worker can't be reached or
// closes the connection in the middle of the body. A request whose client disconnects counts as
// an attempt only.
func TestStatsCountAttemptsSeparately(t *testing.T) {
	broken := listen(t, func(conn net.Conn) { _, _ = io.CopyN(io.Discard, conn, 100<<10) })
	for name, test := range map[string]struct {
		worker string
		answer func(n int, req *workerRequest) bool
		text   []byte
		leaves bool
		want   map[string]string
	}{
		"retried": {answer: func(n int, req *workerRequest) bool {
			if n == 0 {
				return respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, req)
			}
			return respondWith(okResponse)(n, req)
		}, text: []byte(cuotaRequest("mayor", 1900)), want: map[string]string{"completed.cuota": "1|c", "upstream_requests": "2|c"}},
		"not reached": {worker: unusedAddress(t), text: []byte(cuotaRequest("mayor", 1900)),
			want: map[string]string{"rejected.cuota": "1|c", "upstream_requests": "0|c"}},
		"a broken write": {worker: broken, text: requestWithBody("7c2d", testBody(20<<20), 0),
			want: map[string]string{"rejected.simulacion": "1|c", "upstream_requests": "0|c"}},
		"client disconnects": {answer: neverRespond, text: []byte(cuotaRequest("mayor", 1900)), leaves: true,
			want: map[string]string{"completed.cuota": "0|c", "rejected.cuota": "0|c", "failed.cuota": "0|c", "upstream_requests": "1|c", "pending": "0|g"}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := test.worker, make(chan *workerRequest)
			if addr == "" {
				addr, got = startWorker(t, test.answer)
			}
			gateway := startGateway(t, withAdminServer, addr)
			conn := gateway.dial()
			go func() { _, _ = conn.Write(test.text) }()
			if test.leaves {
				receive(t, got)
				conn.Close()
				for open, until := 1, time.Now().Add(testTimeout); open > 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
					gateway.runOnLoop(func() { open = gateway.core.OpenRequests() })
				}
			} else {
				conn.readResponse()
			}
			stats := gateway.readStats()
			for metric, want := range test.want {
				if stats[metric] != want {
					t.Errorf("%s is %s, want %s", metric, stats[metric], want)
				}
			}
		})
	}
}

// TestStatsCountFailedRequest checks that a failed request of a class without retries counts as
// failed, not as rejected: it may have run.
func TestStatsCountFailedRequest(t *testing.T) {
	addr, _ := startWorker(t, respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))
	gateway := startGateway(t, func(c *config.Config) {
		withAdminServer(c)
		c.Settings = []byte(strings.Replace(settingsText, `"idempotent"`, `"at_most_once"`, 1))
	}, addr)
	if res, _ := gateway.dial().ask(cuotaRequest("mayor", 900)); res.StatusCode != 502 {
		t.Fatalf("status %d, want 502", res.StatusCode)
	}
	got := gateway.readStats()
	if got["failed.cuota"] != "1|c" || got["upstream_requests"] != "1|c" {
		t.Fatalf("want 1 failed request and 1 attempt, got %v", got)
	}
}

// TestSilentAdminConnectionsDoNotBlockOthers opens more silent connections than the admin server
// keeps. A request must be answered within its second, although the event loop is blocked.
func TestSilentAdminConnectionsDoNotBlockOthers(t *testing.T) {
	gateway := startGateway(t, withAdminServer, "127.0.0.1:1")
	held, release := make(chan bool), make(chan bool)
	gateway.loop.Post(func() { held <- true; <-release })
	receive(t, held)
	defer close(release)
	for range 40 {
		conn, err := net.Dial("tcp", gateway.adminServer.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /admin")
	}
	if status, text := gateway.adminGet("/admin/stats"); status != 200 || !strings.Contains(text, "edge.pending:0|g\n") {
		t.Errorf("stats: status %d %q, want 200 with edge.pending:0|g", status, text)
	}
	if status, _ := gateway.adminGet("/admin/health"); status != 200 {
		t.Errorf("health: status %d, want 200", status)
	}
}

// TestAdminRejectsInvalidRequests checks the HTTP status of unready, unknown, forbidden and
// malformed requests.
func TestAdminRejectsInvalidRequests(t *testing.T) {
	gateway := startGateway(t, withAdminServer)
	for text, want := range map[string]int{
		"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n":                      503, // no worker
		"GET /admin/else HTTP/1.1\r\nHost: a\r\n\r\n":                        404,
		"POST /admin/stats HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n": 405,
		"\x16\x03\x01\r\n\r\n":                                               400,
	} {
		conn, err := net.Dial("tcp", gateway.adminServer.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(conn, text)
		answer, _ := io.ReadAll(conn) // the server closes the connection after one request
		if !strings.HasPrefix(string(answer), fmt.Sprintf("HTTP/1.1 %d ", want)) {
			t.Errorf("%q: got %q, want status %d", text, answer, want)
		}
	}
}

// TestNoAdminServerWithoutControlAddress checks that there are then no metrics either.
func TestNoAdminServerWithoutControlAddress(t *testing.T) {
	if gateway := startGateway(t, nil); gateway.adminServer != nil || gateway.service.metrics != nil {
		t.Fatal("there is an admin server or metrics without a control address")
	}
}

// TestReloadIsAtomic reloads a file that adds a class, changes another and removes a third while
// a request of the removed class is open. Invalid files must change nothing.
func TestReloadIsAtomic(t *testing.T) {
	addr, got := startWorker(t, func(n int, req *workerRequest) bool {
		if req.body == "hang" {
			_, _ = io.ReadFull(req.conn, make([]byte, 1)) // until the connection is closed
			return false
		}
		return respondWith("HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")(n, req)
	})
	gateway := startGateway(t, withAdminServer, addr)
	countAttempts := func(text string) int {
		t.Helper()
		gateway.dial().ask(text)
		n := len(got)
		for range n {
			<-got
		}
		return n
	}
	if n := countAttempts(cuotaRequest("mayor", 900)); n != 3 {
		t.Fatalf("%d attempts before the reload, want 3", n)
	}
	reloadWith := func(set string) error {
		t.Helper()
		writeConfigFile(t, `{"name":"n0","control":"","settings":`+set+`}`)
		return gateway.reload(os.Getenv("EDGE_CONFIG"))
	}
	oneAttempt := func(set string) string { return strings.Replace(set, `"max-attempts":3`, `"max-attempts":1`, 1) }
	for name, set := range map[string]string{
		"no deadline":          strings.Replace(oneAttempt(settingsText), `"deadline-us":2000000,`, ``, 1),
		"a deadline of 0":      strings.Replace(oneAttempt(settingsText), `"deadline-us":2000000`, `"deadline-us":0`, 1),
		"attempts below 0":     strings.Replace(settingsText, `"max-attempts":3`, `"max-attempts":-1`, 1),
		"no attempts":          strings.Replace(settingsText, `"max-attempts":3,`, ``, 1),
		"a class twice":        strings.Replace(oneAttempt(settingsText), `"simulacion"`, `"cuota"`, 1),
		"a class without name": strings.Replace(oneAttempt(settingsText), `"simulacion"`, `""`, 1),
		"no classes":           `{"limits":{"max-attempts":1}}`,
		"an unknown repeat":    strings.Replace(oneAttempt(settingsText), `"idempotent"`, `"sometimes"`, 1),
		"truncated":            settingsText[:200],
	} {
		if reloadWith(set) == nil {
			t.Errorf("%s: the invalid file was accepted", name)
		}
	}
	if n := countAttempts(cuotaRequest("mayor", 900)); n != 3 {
		t.Fatalf("%d attempts after invalid files, want 3", n)
	}

	openRequest := gateway.dial().send(simulacionRequest(400, "hang")) // keeps its class across the reload
	receive(t, got)
	second := strings.NewReplacer(`"max-attempts":3`, `"max-attempts":1`, `"name":"simulacion"`, `"name":"simulacion-2"`).Replace(settingsText)
	if err := reloadWith(second); err != nil {
		t.Fatal(err)
	}
	if n := countAttempts(cuotaRequest("mayor", 900)); n != 1 {
		t.Errorf("%d attempts after the reload, want 1", n)
	}
	if n := countAttempts(strings.NewReplacer("X-Qos: simulacion", "X-Qos: simulacion-2", "7c2d", "7c2e").Replace(simulacionRequest(900, ""))); n != 1 {
		t.Errorf("%d attempts of the new class, want 1", n)
	}
	if res, _ := openRequest.readResponse(); res.StatusCode != 429 { // workers deduplicate its retries, so it may be refused safely
		t.Errorf("the open request got status %d, want 429", res.StatusCode)
	}
	stats := gateway.readStats()
	for _, name := range []string{"rejected.simulacion", "rejected.simulacion-2"} {
		if stats[name] != "1|c" {
			t.Errorf("%s is %q, want 1|c", name, stats[name])
		}
	}
	// The removed class is accepted and counted until its clients must have learned of it.
	if res, _ := gateway.dial().ask(simulacionRequest(900, "")); res.StatusCode == 400 {
		t.Error("a class that was just removed is refused")
	}
	if n := gateway.readStats()["rejected.simulacion"]; n != "2|c" {
		t.Errorf("rejected.simulacion is %q after a late request, want 2|c", n)
	}
	gateway.loop.Post(func() { gateway.platform.ReplaceClasses(gateway.policySettings.Classes, gateway.names.Classes) }) // as at the end of the grace period
	if res, _ := gateway.dial().ask(simulacionRequest(900, "")); res.StatusCode != 400 {
		t.Errorf("after the grace period a removed class got status %d, want 400", res.StatusCode)
	}
}

// TestIdleConnectionsAreEvictedBeforeSlowClient checks that beyond the budget silent connections,
// and those that have stopped in the middle of a request, are closed before one that is still
// sending its request slowly.
func TestIdleConnectionsAreEvictedBeforeSlowClient(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, func(c *config.Config) { c.Limits.Sockets = 160 }, addr)
	slow := gateway.dial()
	head := cuotaRequest("mayor", 1900)
	const pieces = 5
	for i := range pieces { // 2 s in all
		slow.send(head[i*len(head)/pieces : (i+1)*len(head)/pieces])
		if i == pieces-1 {
			break
		}
		// A later request has been answered, so the piece was read before the clock advances.
		later := gateway.dial()
		later.ask("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		later.Close()
		gateway.advanceClock(450)
		if i == 0 { // so far it can't be told from those that never continue
			continue
		}
		for n := range gateway.loop.Budget.MaxClients {
			conn := gateway.dial()
			if n%2 == 0 {
				_, _ = io.WriteString(conn, "GET /api HTTP/1.1\r\nHost") // it may have been evicted already
			}
			if n%3 == 0 { // sends one request and stays open
				conn = gateway.dial()
				if res, _ := conn.ask("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"); res.StatusCode != 200 {
					t.Fatalf("health check: status %d, want 200", res.StatusCode)
				}
			}
		}
	}
	if res, _ := slow.readResponse(); res.StatusCode != 200 {
		t.Fatalf("the slow client got status %d, want 200", res.StatusCode)
	}
}

// TestDrainWithFullConnectionTable checks that a drain answers every accepted request although
// all client connections of the budget are in use.
func TestDrainWithFullConnectionTable(t *testing.T) {
	release := make(chan bool)
	addr, got := startWorker(t, func(n int, req *workerRequest) bool { <-release; return respondWith(okResponse)(n, req) })
	gateway := startGateway(t, func(c *config.Config) { c.Limits.Sockets = 160 }, addr)
	var asked []*client
	for range 3 { // within the concurrency limit
		asked = append(asked, gateway.dial().send(cuotaRequest("mayor", 1900)))
	}
	for range asked {
		receive(t, got)
	}
	for range 2 * gateway.loop.Budget.MaxClients {
		gateway.dial()
	}
	drained := make(chan bool)
	go func() { gateway.drain(); close(drained) }()
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var draining bool
		gateway.runOnLoop(func() { draining = gateway.clients.Draining() })
		if draining {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the drain did not start")
		}
	}
	late := gateway.dial().send(cuotaRequest("mayor", 1900)) // arrives after SIGTERM
	receive(t, got)
	close(release)
	for _, c := range append(asked, late) {
		if res, _ := c.readResponse(); res.StatusCode != 200 || !res.Close {
			t.Errorf("status %d, close %v, want 200 and a close", res.StatusCode, res.Close)
		}
	}
	receive(t, drained)
}
