package service

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/internal/gateway/config"
	"foxwood/internal/gateway/xds"
)

// TestRequestAndResponsePassUnchanged sends two requests, the second over the same connections.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	addr, got := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, nil, addr)
	conn := gateway.dial()
	for range 2 {
		res, body := conn.ask(simulacionRequest(900, "monto=1"))
		if res.StatusCode != 200 || body != "hola\n" {
			t.Fatalf("got status %d %q, want 200 with the worker's body", res.StatusCode, body)
		}
		gateway.advanceClock(10) // the connection is idle, and may be used again
	}
	first, second := receive(t, got), receive(t, got)
	if first.conn != second.conn {
		t.Error("the second request opened another connection to the worker")
	}
	want := []string{"POST", "/api", "7c2d", "5c0f", "monto=1"}
	if diff := cmp.Diff(want, []string{first.Method, first.RequestURI, first.Header.Get("X-Trace-Id"),
		first.Header.Get("Idempotency-Key"), first.body}); diff != "" {
		t.Error(diff)
	}
	if left := first.Header.Get("X-Expires-In-Ms"); len(left) != 3 {
		t.Errorf("X-Expires-In-Ms is %q, want three digits: the rest of 900 ms", left)
	}
}

func TestChunkedResponseBody(t *testing.T) {
	addr, _ := startWorker(t, respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nho\r\n3\r\nla\n\r\n0\r\n\r\n"))
	if _, body := startGateway(t, nil, addr).dial().ask(cuotaRequest("mayor", 900)); body != "hola\n" {
		t.Fatalf("got body %q, want %q", body, "hola\n")
	}
}

func TestCustomerOverQuotaIsThrottled(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	conn := startGateway(t, nil, addr).dial()
	for range 2 { // two requests of 2 units are the burst of 4
		if res, _ := conn.ask(cuotaRequest("basico", 900)); res.StatusCode != 200 {
			t.Fatalf("within the quota: status %d, want 200", res.StatusCode)
		}
	}
	res, _ := conn.ask(cuotaRequest("basico", 900))
	if res.StatusCode != 429 || res.Header.Get("Retry-After") == "" {
		t.Fatalf("over the quota: status %d, Retry-After %q, want 429 with a Retry-After", res.StatusCode, res.Header.Get("Retry-After"))
	}
}

func TestSilentWorkerIsAnsweredAtDeadline(t *testing.T) {
	addr, got := startWorker(t, neverRespond)
	start := time.Now()
	res, _ := startGateway(t, nil, addr).dial().ask(simulacionRequest(300, ""))
	if took := time.Since(start); took < 250*time.Millisecond || took > time.Second {
		t.Errorf("answered after %v, want about 300 ms", took)
	}
	if res.StatusCode != 429 && res.StatusCode != 502 {
		t.Errorf("status %d, want 429 or 502", res.StatusCode)
	}
	if len(got) != 1 {
		t.Errorf("%d executions, want 1", len(got))
	}
}

// TestSurplusBytesAreNotTheNextResponse guards against reusing a worker connection on which a
// second copy of a response, garbage or its end has arrived but was not read yet.
func TestSurplusBytesAreNotTheNextResponse(t *testing.T) {
	for name, surplus := range map[string]func(net.Conn){
		"a second copy":  func(c net.Conn) { _, _ = io.WriteString(c, okResponse) },
		"noise":          func(c net.Conn) { _, _ = io.WriteString(c, "\x8a\x01") },
		"a close":        func(c net.Conn) { c.Close() },
		"a bad response": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := startWorker(t, func(n int, req *workerRequest) bool {
				if n == 0 {
					return respondWith(okResponse)(n, req)
				}
				return respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsuya")(n, req)
			})
			gateway := startGateway(t, nil, addr)
			conn := gateway.dial()
			if res, _ := conn.ask(simulacionRequest(900, "")); res.StatusCode != 200 {
				t.Fatalf("status %d, want 200", res.StatusCode)
			}
			first := receive(t, got)
			held, release := make(chan bool), make(chan bool)
			gateway.loop.Post(func() { gateway.clock.Set(gateway.clock.Now() + 10); held <- true; <-release })
			receive(t, held)
			conn.send(simulacionRequest(900, "")) // the event loop handles this first
			surplus(first.conn)
			release <- true
			if res, body := conn.readResponse(); res.StatusCode != 200 || body != "suya" {
				t.Errorf("got status %d %q, want 200 with the second response", res.StatusCode, body)
			}
			if n := len(got); n != 1 {
				t.Errorf("%d executions of the second request, want 1", n)
			}
		})
	}
}

// TestClientDisconnectCancelsExecution checks that the worker connection is closed when the
// client disconnects.
func TestClientDisconnectCancelsExecution(t *testing.T) {
	ended := make(chan error, 1)
	addr, got := startWorker(t, func(_ int, req *workerRequest) bool {
		_, err := req.conn.Read(make([]byte, 1))
		ended <- err
		return false
	})
	conn := startGateway(t, nil, addr).dial().send(cuotaRequest("mayor", 1900))
	receive(t, got)
	conn.Close()
	if err := receive(t, ended); err != io.EOF {
		t.Fatalf("the worker connection ended with %v, want EOF", err)
	}
}

// TestFailedExecutionIsRetried checks that a request of a class that is safe to retry is sent
// again when an execution ends without a response.
func TestFailedExecutionIsRetried(t *testing.T) {
	drop := func(int, *workerRequest) bool { return false }
	for name, first := range map[string]func(int, *workerRequest) bool{
		"a closed connection":  drop,
		"an error":             respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"),
		"rejected by worker":   respondWith("HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"),
		"a truncated response": respondWith("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhol"),
		"no HTTP at all":       respondWith("SSH-2.0\r\n\r\n"),
		"a stalled response": func(n int, req *workerRequest) bool {
			return respondWith("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhol")(n, req) && neverRespond(n, req)
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := startWorker(t, func(n int, req *workerRequest) bool {
				if n == 0 {
					first(n, req)
					return false
				}
				return respondWith(okResponse)(n, req)
			})
			res, _ := startGateway(t, nil, addr).dial().ask(cuotaRequest("mayor", 1900))
			if res.StatusCode != 200 || len(got) != 2 {
				t.Fatalf("status %d after %d executions, want 200 after 2", res.StatusCode, len(got))
			}
		})
	}
}

// TestRefusedConnectionIsRetriedElsewhere checks that a request whose worker refuses the
// connection is sent to another one: it can't have run.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	addr, _ := startWorker(t, respondWith(okResponse))
	conn := startGateway(t, nil, ln.Addr().String(), addr).dial()
	for range 8 {
		if res, _ := conn.ask(simulacionRequest(900, "")); res.StatusCode != 200 {
			t.Fatalf("status %d, want 200", res.StatusCode)
		}
	}
}

// TestInvalidRequestsAreNotForwarded guards against forwarding requests that two HTTP parsers
// could read differently (request smuggling), and those that don't match the settings.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	addr, got := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, nil, addr)
	good := cuotaRequest("mayor", 900)
	for name, c := range map[string]struct {
		text string
		want int
		ends bool
	}{
		"noise":               {"\x16\x03\x01\x02\r\n\r\n", 400, true},
		"two lengths":         {"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400, true},
		"a long body":         {"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 33554433\r\n\r\n", 413, true},
		"a long head":         {"GET /api HTTP/1.1\r\nA: " + strings.Repeat("x", 20000), 431, true},
		"an unknown path":     {strings.Replace(good, "/api", "/nada", 1), 404, false},
		"an unknown class":    {strings.Replace(good, "cuota", "otra", 1), 400, true},
		"an unknown plan":     {strings.Replace(good, "mayor", "otro", 1), 400, true},
		"no deadline":         {strings.Replace(good, "X-Expires", "X-Expired", 1), 400, true},
		"a negative deadline": {strings.Replace(good, ": 900", ": -1", 1), 400, true},
		"a short key":         {strings.Replace(good, "00000000b4", "b4", 1), 400, true},
		"no id":               {strings.Replace(good, "X-Trace", "X-Trage", 1), 400, true},
		"no terms":            {strings.Replace(good, "units=2,", "", 1), 400, true},
		"units are NaN":       {strings.Replace(good, "units=2", "units=NaN", 1), 400, true},
		"hexadecimal units":   {strings.Replace(good, "units=2", "units=0x1p1", 1), 400, true},
		"no units":            {strings.Replace(good, "units=2", "units=0", 1), 400, true},
		"too many units":      {strings.Replace(good, "units=2", "units=6.5", 1), 400, true},
		"a term twice":        {strings.Replace(good, "units=2", "units=2,units=1", 1), 400, true},
		"a spread of 0":       {strings.Replace(good, "spread=1", "spread=0", 1), 400, true},
		"spread too large":    {strings.Replace(good, "spread=1", "spread=2", 1), 400, true},
		"a fractional first":  {strings.Replace(good, "first=0", "first=0.5", 1), 400, true},
		"first out of range":  {strings.Replace(good, "first=0", "first=1", 1), 400, true},
		"no time":             {strings.Replace(good, ": 900", ": 0", 1), 400, true},
		"a key too large":     {strings.Replace(good, "00000000b4", "00000002b4", 1), 400, true},
		"two plans":           {strings.Replace(good, "X-Tier", "X-Tier: basico\r\nX-Tier", 1), 400, true},
		"two ids":             {strings.Replace(good, "X-Trace", "X-Trace-Id: 1\r\nX-Trace", 1), 400, true},
		"the wrong method":    {strings.Replace(good, "GET", "POST", 1), 400, true},
		"no idempotency key":  {strings.Replace(simulacionRequest(900, ""), "Idempotency-Key", "Idempotency-No", 1), 400, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := gateway.dial()
			res, _ := conn.ask(c.text)
			if res.StatusCode != c.want {
				t.Errorf("status %d, want %d", res.StatusCode, c.want)
			}
			if c.ends {
				conn.waitClosed()
			}
		})
	}
	if len(got) != 0 {
		t.Fatalf("%d invalid requests were forwarded", len(got))
	}
}

// TestFirstGarbageCollectionIsEarly guards against a heap that grows for a minute before its
// first collection: it looks like a leak, and nearly exhausts a limit of 32 MB.
func TestFirstGarbageCollectionIsEarly(t *testing.T) {
	procs, limit, percent := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	})
	configureRuntime(32)
	runtime.GC()
	var m runtime.MemStats
	if runtime.ReadMemStats(&m); m.NextGC > max(3*m.HeapAlloc, 8<<20) {
		t.Errorf("%d MB are allocated, and the next collection comes only at %d MB", m.HeapAlloc>>20, m.NextGC>>20)
	}
}

// TestIdlestClientConnectionIsEvicted checks that beyond the budget the client connection that
// has been idle longest is closed, so that descriptors never run out.
func TestIdlestClientConnectionIsEvicted(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, func(c *config.Config) { c.Limits.Sockets = 100 }, addr)
	var conns []*client
	for range gateway.loop.Budget.MaxClients + 2 {
		conn := gateway.dial()
		if res, _ := conn.ask(cuotaRequest("mayor", 900)); res.StatusCode != 200 {
			t.Fatalf("status %d, want 200", res.StatusCode)
		}
		conns = append(conns, conn)
	}
	conns[0].waitClosed()
	if res, _ := conns[len(conns)-1].ask(cuotaRequest("mayor", 900)); res.StatusCode != 200 {
		t.Fatalf("the newest connection got status %d, want 200", res.StatusCode)
	}
}

// TestResponseReachesClientThatIsStillSending guards against closing a connection right after a
// rejection: that would reset it, and the client might never see the response.
func TestResponseReachesClientThatIsStillSending(t *testing.T) {
	gateway := startGateway(t, nil)
	conn := gateway.dial().send("POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n")
	for range 9 {
		conn.send(strings.Repeat("x", 100000))
	}
	if res, _ := conn.readResponse(); res.StatusCode != 400 { // the request has no class
		t.Fatalf("status %d, want 400", res.StatusCode)
	}
	conn.waitClosed()
}

// TestSilentAndSlowConnectionsTimeOut guards the connection budget against clients that send
// nothing, or one byte at a time: the time limit counts from the opening of the connection.
func TestSilentAndSlowConnectionsTimeOut(t *testing.T) {
	const live = "GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
	gateway := startGateway(t, nil)
	silent, emptyLine, slow, active := gateway.dial(), gateway.dial().send("\r\n"), gateway.dial().send("GET /api HTTP/1.1\r\n"), gateway.dial()
	advance := func(by float64) {
		if res, _ := active.ask(live); res.StatusCode != 200 { // connections are accepted in their order
			t.Fatalf("health check: status %d, want 200", res.StatusCode)
		}
		gateway.advanceClock(by)
	}
	advance(2000)
	slow.send("Host: a\r\n") // doesn't extend the time limit
	advance(600)
	silent.waitClosed()
	emptyLine.waitClosed()
	if res, _ := slow.readResponse(); res.StatusCode != 408 {
		t.Errorf("an incomplete request got status %d, want 408", res.StatusCode)
	}
	slow.waitClosed()
	advance(5100)
	active.waitClosed()
}

// TestSilentConnectionsAreEvictedFirst checks that hundreds of connections that send nothing
// don't displace one that has sent requests.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, func(c *config.Config) { c.Limits.Sockets = 100 }, addr)
	regular := gateway.dial()
	if res, _ := regular.ask(cuotaRequest("mayor", 900)); res.StatusCode != 200 {
		t.Fatalf("status %d, want 200", res.StatusCode)
	}
	silent := gateway.dial()
	if res, _ := gateway.dial().ask(cuotaRequest("mayor", 900)); res.StatusCode != 200 { // connections are accepted in their order
		t.Fatalf("status %d, want 200", res.StatusCode)
	}
	gateway.advanceClock(200)
	for range gateway.loop.Budget.MaxClients - 2 {
		gateway.dial()
	}
	silent.waitClosed()
	if res, _ := regular.ask(cuotaRequest("mayor", 900)); res.StatusCode != 200 {
		t.Fatalf("status %d, want 200", res.StatusCode)
	}
}

// TestLastResponseIsSentWholeBeforeClose guards against losing the part of the last response that
// the socket didn't accept at once.
func TestLastResponseIsSentWholeBeforeClose(t *testing.T) {
	const requests = 100 // more than the buffers between gatekeeper and client hold
	responseBody := strings.Repeat("x", 64<<10)
	addr, got := startWorker(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n"+responseBody))
	conn := startGateway(t, nil, addr).dial()
	for range requests - 1 {
		conn.send(cuotaRequest("mayor", 1900))
	}
	conn.send(strings.Replace(cuotaRequest("mayor", 1900), "Host", "Connection: close\r\nHost", 1))
	for range requests {
		receive(t, got)
	}
	for n := range requests {
		if _, body := conn.readResponse(); body != responseBody {
			t.Fatalf("answer %d has %d bytes of %d", n, len(body), len(responseBody))
		}
	}
	conn.waitClosed()
}

// TestDiscoveryResumesFromHeldGeneration guards against losing changes that are made while the
// discovery connection is down.
func TestDiscoveryResumesFromHeldGeneration(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	asked := make(chan string, 10)
	discovery := listen(t, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		index := req.URL.Query().Get("index")
		asked <- index
		line := fmt.Sprintf(`{"generation":9,"reset":false,"instances":[%s]}`, strings.ReplaceAll(workerEntry(0, addr), "\n", ""))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		if index == "9" {
			_, _ = c.Read(make([]byte, 1))
		}
	})
	gateway := startGateway(t, func(c *config.Config) { c.Discovery = discovery })
	if first, again := receive(t, asked), receive(t, asked); first != "7" || again != "9" {
		t.Fatalf("asked from generation %s, then from %s, want 7 and 9", first, again)
	}
	if res, _ := gateway.dial().ask(cuotaRequest("mayor", 900)); res.StatusCode != 200 {
		t.Fatalf("status %d with a worker from discovery, want 200", res.StatusCode)
	}
}

// writeConfigFile writes a configuration file and sets EDGE_CONFIG to its path.
func writeConfigFile(t *testing.T, text string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", file)
}

// withSettings adds settingsText to the text of a configuration.
func withSettings(text string) string {
	return strings.Replace(text, "{", `{"settings":`+settingsText+`,`, 1)
}

// TestReloadChangesDiscoveryAddress guards against staying with a discovery server that is
// shutting down: workers that it no longer lists would keep getting requests. An invalid file
// changes nothing, and EDGE_DISCOVERY from the start doesn't apply to a reload.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	asked, ended := make(chan string, 10), make(chan string, 10)
	agent := func(name string) string {
		return listen(t, func(c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			asked <- name + " from " + req.URL.Query().Get("index")
			line := `{"generation":9,"reset":false,"instances":[]}` + "\n"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
			_, _ = c.Read(make([]byte, 1))
			ended <- name
		})
	}
	first, second := agent("first"), agent("second")
	t.Setenv("EDGE_DISCOVERY", first)
	gateway := startGateway(t, func(c *config.Config) { applyEnvironment(c) })
	if got := receive(t, asked); got != "first from 7" {
		t.Fatalf("discovery was asked for %q, want %q", got, "first from 7")
	}
	gateway.waitForGeneration(9)
	writeConfigFile(t, withSettings(`{"discovery":"`+second+`"}`))
	for name, text := range map[string]string{
		"cut short":              `{"discovery":"` + second + `"`,
		"address without port":   `{"discovery":"127.0.0.1"}`,
		"counter without a port": `{"discovery":"` + second + `","counter":"127.0.0.1"}`,
	} {
		writeConfigFile(t, withSettings(text))
		if gateway.reload(os.Getenv("EDGE_CONFIG")) == nil {
			t.Errorf("%s: the invalid file was accepted", name)
		}
	}
	if len(asked) > 0 || len(ended) > 0 {
		t.Fatal("an invalid file changed the discovery address")
	}
	writeConfigFile(t, withSettings(`{"discovery":"`+second+`"}`))
	if err := gateway.reload(os.Getenv("EDGE_CONFIG")); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, ended); got != "first" {
		t.Fatalf("the watch of the %s server ended, want that of the first", got)
	}
	if got := receive(t, asked); got != "second from 9" {
		t.Fatalf("discovery was asked for %q, want %q", got, "second from 9")
	}
}

// TestReloadChangesCounterAddress checks that a call at the old address is still answered there,
// and that calls for the same counter go to the new address only after that. The old server
// reports its response before it writes it, so these events have an order. The end of its
// connection has none relative to them: two goroutines read from the two connections.
func TestReloadChangesCounterAddress(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	calls, closed, release := make(chan string, 10), make(chan string, 10), make(chan bool)
	counter := func(name string) string {
		return listen(t, func(c net.Conn) {
			r := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					closed <- name
					return
				}
				calls <- name
				if name == "first" {
					<-release
					calls <- "first answers"
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0")
			}
		})
	}
	first, second := counter("first"), counter("second")
	gateway := startGateway(t, func(c *config.Config) { c.Counter = first; c.Settings = settingsWithCounter("1500000") }, addr)
	firstClient, secondClient := gateway.dial().send(cuotaRequest("basico", 2000)), gateway.dial()
	if got := receive(t, calls); got != "first" {
		t.Fatalf("the %s counter was called, want the first", got)
	}
	writeConfigFile(t, withSettings(`{"counter":"`+second+`"}`))
	if err := gateway.reload(os.Getenv("EDGE_CONFIG")); err != nil {
		t.Fatal(err)
	}
	secondClient.send(cuotaRequest("basico", 2000))
	release <- true
	for _, want := range []string{"first answers", "second"} {
		if got := receive(t, calls); got != want {
			t.Fatalf("got event %q, want %q", got, want)
		}
	}
	if got := receive(t, closed); got != "first" {
		t.Fatalf("the connection to the %s counter was closed, want that to the first", got)
	}
	for _, c := range []*client{firstClient, secondClient} {
		if res, _ := c.readResponse(); res.StatusCode != 200 {
			t.Fatalf("status %d, want 200", res.StatusCode)
		}
	}
}

// settingsWithCounter returns settings in which small quotas draw on the shared counter.
func settingsWithCounter(limitUS string) json.RawMessage {
	text := strings.Replace(settingsText, `"shared-counter":false`, `"shared-counter":true,"count-limit-us":`+limitUS, 1)
	return json.RawMessage(strings.Replace(text, `"refill":0.5,"burst":4`, `"refill":2,"burst":4,"overrun-cost":0.2`, 1))
}

// TestLateCounterResponseBelongsToItsCall guards against matching a late response with the next
// call.
func TestLateCounterResponseBelongsToItsCall(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	release := make(chan bool)
	calls := make(chan string, 10)
	counter := listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			calls <- req.RequestURI
			total := "999" // far over any limit: the second request is refused if this goes to its call
			if n == 0 {
				<-release
			} else {
				total = "0"
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(total), total)
		}
	})
	gateway := startGateway(t, func(c *config.Config) {
		c.Counter, c.Settings = counter, settingsWithCounter("50000")
	})
	gateway.setOnlyWorker(addr)
	conn := gateway.dial()
	if res, _ := conn.ask(cuotaRequest("basico", 900)); res.StatusCode != 200 {
		t.Fatalf("without a response the local share of the quota decides: status %d, want 200", res.StatusCode)
	}
	if call := receive(t, calls); !strings.HasPrefix(call, "/v2/numbers/") || !strings.Contains(call, "?delta=2&life_ms=") {
		t.Fatalf("got call %s, want a draw of 2 units", call)
	}
	release <- true
	if res, _ := conn.ask(cuotaRequest("basico", 900)); res.StatusCode != 200 {
		t.Fatalf("the second call got the response of the first: status %d, want 200", res.StatusCode)
	}
}

// TestInvalidCounterResponseClosesConnection checks that later calls use a new connection: what
// follows on the old one can't be trusted.
func TestInvalidCounterResponseClosesConnection(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	for name, invalid := range map[string]string{
		"noise for a number":   "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nx1y",
		"not a number":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN",
		"an infinite number":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n-Inf",
		"an unexpected status": "HTTP/1.1 299 OK\r\nContent-Length: 1\r\n\r\n1",
		"nothing":              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no HTTP":              "\x16\x03\x01",
		"no end":               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			connections := make(chan int, 10)
			var opened atomic.Int32
			counter := listen(t, func(c net.Conn) {
				n := int(opened.Add(1))
				connections <- n
				r := bufio.NewReader(c)
				for i := 0; ; i++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					text := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0"
					if n == 1 {
						text = invalid
					}
					fmt.Fprint(c, text)
				}
			})
			conn := startGateway(t, func(c *config.Config) { c.Counter, c.Settings = counter, settingsWithCounter("1500000") }, addr).dial()
			started := time.Now()
			for want := 1; want <= 2; want++ {
				if res, _ := conn.ask(cuotaRequest("basico", 2000)); res.StatusCode != 200 {
					t.Fatalf("status %d, want 200", res.StatusCode)
				}
				if time.Since(started) > time.Second { // the time limit of counter calls is 1.5 s
					t.Fatal("the call waited for its time limit")
				}
				if got := receive(t, connections); got != want {
					t.Fatalf("connection %d was used, want %d", got, want)
				}
			}
		})
	}
}

// TestSilentCounterConnectionIsReplaced guards against calls that queue behind a response that
// is long overdue.
func TestSilentCounterConnectionIsReplaced(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	connections := make(chan int, 10)
	var opened atomic.Int32
	counter := listen(t, func(c net.Conn) {
		number := int(opened.Add(1))
		connections <- number
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if number > 1 {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0")
			}
		}
	})
	gateway := startGateway(t, func(c *config.Config) { c.Counter, c.Settings = counter, settingsWithCounter("50000") }, addr)
	conn := gateway.dial()
	for want := 1; want <= 2; want++ {
		if res, _ := conn.ask(cuotaRequest("basico", 2000)); res.StatusCode != 200 {
			t.Fatalf("status %d, want 200", res.StatusCode)
		}
		if got := receive(t, connections); got != want {
			t.Fatalf("connection %d was used, want %d", got, want)
		}
		gateway.advanceClock(300)
	}
}

// setOnlyWorker replaces the worker list by one worker.
func (g *testGateway) setOnlyWorker(addr string) {
	g.t.Helper()
	done := make(chan error)
	g.loop.Post(func() {
		line := fmt.Sprintf(`{"generation":8,"reset":true,"instances":[%s]}`, workerEntry(0, addr))
		done <- g.hosts.ApplyLine([]byte(line))
	})
	if err := receive(g.t, done); err != nil {
		g.t.Fatal(err)
	}
}

// TestDrainAnswersAcceptedRequests checks that requests in flight and those that still arrive are
// answered, that client connections are closed, and that only then the drain ends.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	release := make(chan bool)
	addr, got := startWorker(t, func(n int, req *workerRequest) bool {
		if n == 0 {
			<-release
		}
		return respondWith(okResponse)(n, req)
	})
	gateway := startGateway(t, nil, addr)
	idle, busy := gateway.dial(), gateway.dial()
	if res, _ := idle.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"); res.StatusCode != 200 {
		t.Fatalf("readiness check: status %d, want 200", res.StatusCode)
	}
	busy.send(cuotaRequest("mayor", 1900))
	receive(t, got)
	drained := make(chan bool)
	go func() { gateway.drain(); close(drained) }()
	idle.waitClosed()
	late := gateway.dial()
	if res, _ := late.ask(cuotaRequest("mayor", 1900)); res.StatusCode != 200 || !res.Close {
		t.Fatalf("a late request got status %d, close %v, want 200 and a close", res.StatusCode, res.Close)
	}
	select {
	case <-drained:
		t.Fatal("the drain ended before an accepted request was answered")
	default:
	}
	release <- true
	if res, _ := busy.readResponse(); res.StatusCode != 200 || !res.Close {
		t.Fatalf("the request in flight got status %d, close %v, want 200 and a close", res.StatusCode, res.Close)
	}
	receive(t, drained)
}

// TestDuplicateIDOfOpenRequestIsRejected guards against two open requests with one id: workers
// would take the second for a repetition of the first.
func TestDuplicateIDOfOpenRequestIsRejected(t *testing.T) {
	release := make(chan bool)
	addr, got := startWorker(t, func(n int, req *workerRequest) bool {
		<-release
		return respondWith(okResponse)(n, req)
	})
	gateway := startGateway(t, nil, addr)
	text := cuotaRequest("mayor", 1900)
	first := gateway.dial().send(text)
	receive(t, got)
	if res, _ := gateway.dial().ask(text); res.StatusCode != 409 {
		t.Errorf("a second request with the id got status %d, want 409", res.StatusCode)
	}
	close(release)
	if res, _ := first.readResponse(); res.StatusCode != 200 {
		t.Errorf("the first request got status %d, want 200", res.StatusCode)
	}
	if res, _ := first.ask(text); res.StatusCode != 200 || len(got) != 1 {
		t.Errorf("after the first request ended the id got status %d, want 200", res.StatusCode)
	}
}

// TestPipelinedClientRequestsAreServedInTurn checks that a client connection has one request in
// flight at a time.
func TestPipelinedClientRequestsAreServedInTurn(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	conn := startGateway(t, nil, addr).dial().send(strings.Repeat(cuotaRequest("mayor", 900), 3))
	for range 3 {
		if res, _ := conn.readResponse(); res.StatusCode != 200 {
			t.Fatalf("status %d, want 200", res.StatusCode)
		}
	}
}

// TestOpenAPIFrontendEndToEnd covers the OpenAPI frontend with the configuration in deploy:
// responses, refusals, errors, deadlines, and a new description while a request is in flight.
func TestOpenAPIFrontendEndToEnd(t *testing.T) {
	release := make(chan bool)
	addr, got := startWorker(t, func(_ int, req *workerRequest) bool {
		switch req.URL.Query().Get("monto") {
		case "slow":
			<-release
		case "never":
			return neverRespond(0, req)
		case "wrong":
			return respondWith("HTTP/1.1 422 U\r\nX-Why: monto\r\nContent-Length: 3\r\n\r\nno\n")(0, req)
		case "broken":
			return respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(0, req)
		}
		return respondWith("HTTP/1.1 201 C\r\nLocation: /s/1\r\nX-Cost-Units: 1\r\nContent-Length: 3\r\n\r\nsi\n")(0, req)
	})
	text, err := os.ReadFile("../../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "calculadora.yaml")
	description, err := os.ReadFile("../../../deploy/calculadora.yaml")
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(description))
	// Without the rate ceiling: its bucket is empty in a gatekeeper that has just started.
	configText := strings.Replace(string(text), `"ceiling-rate": 35, `, "", 1)
	writeConfigFile(t, strings.Replace(configText, "deploy/calculadora.yaml", file, 1))
	folder := t.TempDir()
	t.Cleanup(func() { // after the gatekeeper has stopped: the replay covers the new description too
		if report, kinds := replayCapture(t, folder, capture.Key{}); !report.Complete || kinds[capturepb.Kind_CLASSES] != 1 {
			t.Errorf("replay: want a complete run with 1 CLASSES record, got %+v, %v", report, kinds)
		}
	})
	gateway := startGateway(t, func(c *config.Config) {
		if err := json.Unmarshal([]byte(configText), c); err != nil {
			t.Fatal(err)
		}
		c.KnownWorkers.Instances = c.KnownWorkers.Instances[:1]
		c.KnownWorkers.Instances[0].Addr = addr
		c.OpenAPI.Description = file
		c.Capture = &config.Capture{Dir: folder}
	})
	ask := func(target, bank string, ms int) *http.Response {
		t.Helper()
		res, _ := gateway.dial().ask(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX-Api-Key: %s\r\nX-Expires-In-Ms: %d\r\nX-Mine: 1\r\n\r\n",
			target, bank, ms))
		return res
	}
	if res := ask("/v1/cuota?monto=1", "banco-sur", 2000); res.StatusCode != 201 || res.Header.Get("Location") != "/s/1" {
		t.Errorf("got status %d, %v, want 201 with the worker's Location", res.StatusCode, res.Header)
	}
	if req := receive(t, got); req.Header.Get("X-Mine") != "1" || req.RequestURI != "/v1/cuota?monto=1" {
		t.Errorf("the worker got %s with %v", req.RequestURI, req.Header)
	}
	for target, want := range map[string]int{"/v1/cuota?monto=wrong": 422, "/v1/nada": 404, "/v1/simulacion": 405} {
		if res := ask(target, "banco-sur", 2000); res.StatusCode != want {
			t.Errorf("%s: status %d, want %d", target, res.StatusCode, want)
		}
	}
	if res := ask("/v1/cuota?monto=broken", "banco-sur", 2000); res.StatusCode != 429 && res.StatusCode != 502 {
		t.Errorf("three failed attempts: status %d, want 429 or 502", res.StatusCode)
	}
	begun := time.Now()
	if res := ask("/v1/cuota?monto=never", "banco-sur", 2000); res.StatusCode == 201 || time.Since(begun) > 2500*time.Millisecond {
		t.Errorf("beyond the deadline: status %d after %v, want an error within 2.5 s", res.StatusCode, time.Since(begun))
	}
	for len(got) > 0 {
		<-got
	}
	slow := gateway.dial().send("GET /v1/cuota?monto=slow HTTP/1.1\r\nHost: a\r\nX-Api-Key: banco-sur\r\n\r\n")
	receive(t, got)
	write(strings.Replace(string(description), "units: 2,", "", 1))
	if err := gateway.reload(os.Getenv("EDGE_CONFIG")); err == nil || !strings.Contains(err.Error(), `operation "cuota" states no cost`) {
		t.Errorf("a description without a cost: got error %v", err)
	}
	write(strings.Replace(string(description), "/cuota:", "/nueva:", 1))
	if err := gateway.reload(os.Getenv("EDGE_CONFIG")); err != nil {
		t.Error(err)
	}
	if former, renamed := ask("/v1/cuota?monto=1", "banco-sur", 2000), ask("/v1/nueva?monto=1", "banco-sur", 2000); former.StatusCode != 404 || renamed.StatusCode != 201 {
		t.Errorf("after the reload the old path gives status %d, the new one %d, want 404 and 201", former.StatusCode, renamed.StatusCode)
	}
	release <- true
	if res, _ := slow.readResponse(); res.StatusCode != 201 {
		t.Errorf("the request in flight got status %d, want 201", res.StatusCode)
	}
	throttled := false
	for range 20 {
		res := ask("/v1/nueva?monto=1", "otro", 2000)
		throttled = throttled || res.StatusCode == 429 && res.Header.Get("Retry-After") != ""
	}
	if !throttled {
		t.Error("a small customer is never throttled")
	}
}

// TestXDSReportsDrainingWorker checks over xDS that a proxy learns of a worker that drains.
func TestXDSReportsDrainingWorker(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, func(c *config.Config) { c.XDS = "127.0.0.1:0" }, addr)
	conn, err := grpc.NewClient(gateway.xds.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		t.Fatal(err)
	}
	request := &discoveryv3.DiscoveryRequest{TypeUrl: resource.EndpointType, ResourceNames: []string{xds.ClusterName}}
	for _, want := range []corev3.HealthStatus{corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING} {
		if err := stream.Send(request); err != nil {
			t.Fatal(err)
		}
		res, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		var assignment endpointv3.ClusterLoadAssignment
		if err := res.GetResources()[0].UnmarshalTo(&assignment); err != nil {
			t.Fatal(err)
		}
		if got := assignment.GetEndpoints()[0].GetLbEndpoints()[0].GetHealthStatus(); got != want {
			t.Fatalf("got health status %v, want %v", got, want)
		}
		request.VersionInfo, request.ResponseNonce = res.GetVersionInfo(), res.GetNonce()
		gateway.loop.Post(func() {
			line := strings.Replace(workerEntry(0, addr), `"ready"`, `"draining"`, 1)
			if err := gateway.hosts.ApplyLine([]byte(`{"generation":8,"instances":[` + line + `]}`)); err != nil {
				t.Error(err)
			}
		})
	}
}
