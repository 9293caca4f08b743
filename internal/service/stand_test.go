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

	"foxwood/internal/config"
	"foxwood/internal/link"
)

// patience is how long a test waits for an event that must come.
const patience = 5 * time.Second

// listen serves a loopback address until the test ends. Each connection goes to
// serve.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// seen is a request as a stand-in got it.
type seen struct {
	*http.Request
	body string
	c    net.Conn
}

// worker is a stand-in for a worker. Its script answers each request, by writing
// to the connection or by closing it, and returns whether to go on.
func worker(t *testing.T, script func(n int, s *seen) bool) (addr string, got chan *seen) {
	t.Helper()
	got = make(chan *seen, 100)
	count := make(chan int, 1)
	count <- 0
	addr = listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			s := &seen{Request: req, body: string(body), c: c}
			n := <-count
			count <- n + 1
			got <- s
			if !script(n, s) {
				return
			}
		}
	})
	return addr, got
}

const served = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Cost-Units: 2\r\n\r\nhola\n"

// say answers every request with a text.
func say(text string) func(int, *seen) bool {
	return func(_ int, s *seen) bool {
		_, err := io.WriteString(s.c, text)
		return err == nil
	}
}

// hang answers nothing, and returns when the gatekeeper ends the connection.
func hang(_ int, s *seen) bool {
	_, _ = s.c.Read(make([]byte, 1))
	return false
}

const settingsText = `{"areas":["norte","sur"],"siblings":1,"self-index":0,"tick-us":4000,
	"classes":[{"name":"cuota","objective-us":400000,"deadline-us":2000000,"worth":1,"repeat":"idempotent"},
		{"name":"simulacion","objective-us":750000,"deadline-us":2000000,"worth":2,"repeat":"deduplicated","group":"all","window-us":1000000}],
	"limits":{"cancelling":true,"max-attempts":3,"retry-after":true,
		"conn-idle-us":30000000,"connect-timeout-us":250000},
	"obligations":{"fall-multiple":3,"fall-us":1500000,"start-capacity":0.16,"warm-after-us":14000000},
	"family-info":{"shared-counter":false,"settles":true,"largest":6},
	"tiers-of-service":[{"name":"basico","refill":0.5,"burst":4,"pays":1},{"name":"mayor","refill":500,"burst":500,"pays":1}]}`

// member is a line of the list for a stand-in.
func member(i int, addr string) string {
	return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"norte","cell":1,
		"lifecycle":"ready","weight":1,"startedAtMs":0}`, i, addr)
}

// gate is a gatekeeper under test.
type gate struct {
	*service
	addr string
	t    *testing.T
}

// open starts a gatekeeper before stand-in workers.
func open(t *testing.T, change func(*config.Config), workers ...string) *gate {
	t.Helper()
	c := config.Config{Name: "n0", Seed: "1f", Settings: json.RawMessage(settingsText)}
	c.Limits.Sockets = 1024
	var members []string
	for i, w := range workers {
		members = append(members, member(i, w))
	}
	known := `{"generation":7,"reset":true,"instances":[` + strings.Join(members, ",") + `]}`
	if err := json.Unmarshal([]byte(known), &c.Known); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&c)
	}
	s, err := start(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := link.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.loop.Post(func() { s.accepts, s.listener = true, ln; s.publish() })
	go ln.Accept(s.loop, s.clients.Make)
	t.Cleanup(func() {
		ln.Close()
		if s.xds != nil {
			s.xds.Stop()
		}
		if err := s.stop(); err != nil {
			t.Error(err)
		}
	})
	return &gate{service: s, addr: ln.Addr().String(), t: t}
}

// pass sets the clock forward, and stops it there.
func (g *gate) pass(ms float64) {
	g.t.Helper()
	done := make(chan bool, 1)
	g.loop.Post(func() { g.clock.Set(g.clock.Now() + ms); done <- true })
	next(g.t, done)
}

// holds waits until the list of a generation has been taken. That an agent has been asked,
// or has written its answer, does not say so yet.
func (g *gate) holds(generation int64) {
	g.t.Helper()
	held := make(chan int64, 1)
	for end := time.Now().Add(patience); ; {
		g.loop.Post(func() { held <- g.hosts.List().Generation })
		got := next(g.t, held)
		if got == generation {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("list %d is held, not %d", got, generation)
		}
	}
}

// client is one client connection.
type client struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func (g *gate) dial() *client {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{Conn: c, r: bufio.NewReader(c), t: g.t}
}

// get reads one answer.
func (c *client) get() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
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

// ask sends a request and reads its answer.
func (c *client) ask(text string) (*http.Response, string) {
	c.t.Helper()
	return c.send(text).get()
}

// ended waits until the gatekeeper has closed the connection.
func (c *client) ended() {
	c.t.Helper()
	if n, err := c.r.Read(make([]byte, 1)); err != io.EOF {
		c.t.Fatalf("the connection did not end: %d bytes, %v", n, err)
	}
}

// lastID makes every request of a test another one.
var lastID atomic.Int64

// cuota and simulacion are requests of the platform's classes.
func cuota(plan string, leftMS int) string {
	return fmt.Sprintf("GET /api?meses=12 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %016x\r\nX-Qos: cuota\r\n"+
		"X-Tier: %s\r\nX-Api-Key: 00000000b4d65521\r\nX-Expires-In-Ms: %d\r\nX-Call-Terms: units=2,spread=1,first=0\r\n\r\n",
		lastID.Add(1), plan, leftMS)
}

func simulacion(leftMS int, body string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: 7c2d\r\nX-Qos: simulacion\r\nX-Tier: mayor\r\n"+
		"X-Api-Key: 00000000b4d65521\r\nX-Expires-In-Ms: %d\r\nIdempotency-Key: 5c0f\r\nContent-Length: %d\r\n"+
		"X-Call-Terms: units=2,spread=1,first=0\r\n\r\n%s", leftMS, len(body), body)
}

// next waits for an event.
func next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatal("what was waited for did not come")
		panic("unreachable")
	}
}
