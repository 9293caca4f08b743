package service

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/config"
)

// testTimeout is how long a test waits for an event that must happen.
const testTimeout = 5 * time.Second

// listen accepts connections at a loopback address until the test ends, and calls serve for
// each.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// workerRequest is a request that a scripted worker received.
type workerRequest struct {
	*http.Request
	body string
	conn net.Conn
}

// startWorker starts a scripted worker. For each request it calls respond, which writes to the
// connection and returns whether to keep it open. n counts the requests from 0.
func startWorker(t *testing.T, respond func(n int, request *workerRequest) bool) (addr string, requests chan *workerRequest) {
	t.Helper()
	requests = make(chan *workerRequest, 100)
	count := make(chan int, 1)
	count <- 0
	addr = listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			request := &workerRequest{Request: req, body: string(body), conn: conn}
			n := <-count
			count <- n + 1
			requests <- request
			if !respond(n, request) {
				return
			}
		}
	})
	return addr, requests
}

// okResponse is the usual response of a scripted worker.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Cost-Units: 2\r\n\r\nhola\n"

// respondWith answers every request with the same text.
func respondWith(text string) func(int, *workerRequest) bool {
	return func(_ int, req *workerRequest) bool {
		_, err := io.WriteString(req.conn, text)
		return err == nil
	}
}

// neverRespond sends nothing, and returns when the gatekeeper closes the connection.
func neverRespond(_ int, request *workerRequest) bool {
	_, _ = request.conn.Read(make([]byte, 1))
	return false
}

// settingsText is the settings that most tests use.
const settingsText = `{"areas":["norte","sur"],"siblings":1,"self-index":0,"tick-us":4000,
	"classes":[{"name":"cuota","objective-us":400000,"deadline-us":2000000,"worth":1,"repeat":"idempotent"},
		{"name":"simulacion","objective-us":750000,"deadline-us":2000000,"worth":2,"repeat":"deduplicated","group":"all","window-us":1000000}],
	"limits":{"cancelling":true,"max-attempts":3,"retry-after":true,
		"conn-idle-us":30000000,"connect-timeout-us":250000},
	"obligations":{"fall-multiple":3,"fall-us":1500000,"start-capacity":0.16,"warm-after-us":14000000},
	"family-info":{"shared-counter":false,"settles":true,"largest":6},
	"tiers-of-service":[{"name":"basico","refill":0.5,"burst":4,"pays":1},{"name":"mayor","refill":500,"burst":500,"pays":1}]}`

// workerEntry returns the entry of worker i in the worker list.
func workerEntry(i int, addr string) string {
	return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"norte","cell":1,
		"lifecycle":"ready","weight":1,"startedAtMs":0}`, i, addr)
}

// testGateway is a gatekeeper under test, in the process of the test.
type testGateway struct {
	*service
	addr string
	t    *testing.T
}

// startGateway starts a gatekeeper in front of workers at the given addresses. change, if not
// nil, edits its configuration first.
func startGateway(t *testing.T, change func(*config.Config), workers ...string) *testGateway {
	t.Helper()
	cfg := config.Config{Name: "n0", Seed: "1f", Settings: json.RawMessage(settingsText)}
	cfg.Limits.Sockets = 1024
	var members []string
	for i, w := range workers {
		members = append(members, workerEntry(i, w))
	}
	knownWorkers := `{"generation":7,"reset":true,"instances":[` + strings.Join(members, ",") + `]}`
	if err := json.Unmarshal([]byte(knownWorkers), &cfg.KnownWorkers); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&cfg)
	}
	svc, err := start(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := link.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	svc.loop.Post(func() { svc.accepting, svc.listener = true, listener; svc.publishStats() })
	go listener.Accept(svc.loop, svc.clients.NewConn)
	t.Cleanup(func() {
		listener.Close()
		if svc.xds != nil {
			svc.xds.Stop()
		}
		if err := svc.stop(); err != nil {
			t.Error(err)
		}
	})
	return &testGateway{service: svc, addr: listener.Addr().String(), t: t}
}

// advanceClock sets the clock forward, and stops it there.
func (g *testGateway) advanceClock(ms float64) {
	g.t.Helper()
	done := make(chan bool, 1)
	g.loop.Post(func() { g.clock.Set(g.clock.Now() + ms); done <- true })
	receive(g.t, done)
}

// waitForGeneration waits until the gatekeeper has applied the worker list of a generation.
// A discovery server that has been asked, or has answered, is no proof of that.
func (g *testGateway) waitForGeneration(generation int64) {
	g.t.Helper()
	current := make(chan int64, 1)
	for end := time.Now().Add(testTimeout); ; {
		g.loop.Post(func() { current <- g.hosts.CurrentList().Generation })
		got := receive(g.t, current)
		if got == generation {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("worker list: got generation %d, want %d", got, generation)
		}
	}
}

// client is a client connection.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

func (g *testGateway) dial() *client {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{Conn: conn, reader: bufio.NewReader(conn), t: g.t}
}

// readResponse reads one response with its body.
func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return res, string(body)
}

func (c *client) send(text string) *client {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// ask sends a request and reads its response.
func (c *client) ask(text string) (*http.Response, string) {
	c.t.Helper()
	return c.send(text).readResponse()
}

// waitClosed waits until the gatekeeper has closed the connection.
func (c *client) waitClosed() {
	c.t.Helper()
	if n, err := c.reader.Read(make([]byte, 1)); err != io.EOF {
		c.t.Fatalf("the connection was not closed: read %d bytes, %v, want EOF", n, err)
	}
}

// lastID is the last trace id that cuotaRequest has used; every request gets its own.
var lastID atomic.Int64

// cuotaRequest returns a request of the class "cuota", which is safe to retry.
func cuotaRequest(plan string, timeoutMS int) string {
	return fmt.Sprintf("GET /api?meses=12 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %016x\r\nX-Qos: cuota\r\n"+
		"X-Tier: %s\r\nX-Api-Key: 00000000b4d65521\r\nX-Expires-In-Ms: %d\r\nX-Call-Terms: units=2,spread=1,first=0\r\n\r\n",
		lastID.Add(1), plan, timeoutMS)
}

// simulacionRequest returns a request of the class "simulacion", which is retried under an
// idempotency key.
func simulacionRequest(timeoutMS int, body string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: 7c2d\r\nX-Qos: simulacion\r\nX-Tier: mayor\r\n"+
		"X-Api-Key: 00000000b4d65521\r\nX-Expires-In-Ms: %d\r\nIdempotency-Key: 5c0f\r\nContent-Length: %d\r\n"+
		"X-Call-Terms: units=2,spread=1,first=0\r\n\r\n%s", timeoutMS, len(body), body)
}

// receive waits for a value from a channel.
func receive[T any](t *testing.T, events <-chan T) T {
	t.Helper()
	select {
	case v := <-events:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no event within %v", testTimeout)
		panic("unreachable")
	}
}
