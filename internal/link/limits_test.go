package link

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// door is client links with a core and a fleet behind them, on a loop of their own.
type testGateway struct {
	*Clients
	loop *Loop
	addr string
}

// Handle implements Front.
func (d *testGateway) Handle(l *Client, m *http1.Message) {
	if string(m.Target) == "/echo" {
		l.Answer(200, nil, m.Body)
		return
	}
	p := &Payload{Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n", m.Length)}
	l.Submit(&gatekeeper.Request{Left: 5000, Units: 1, Spread: 1, Payload: p})
}

// Add implements gatekeeper.Counter.
func (d *testGateway) Add(*gatekeeper.Count) {}

func newTestGateway(t *testing.T, worker string, limits *ClientLimits) *testGateway {
	t.Helper()
	loop, err := NewLoop(NewBudget(1024, 0))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{loop: loop, addr: listener.Addr().String()}
	ready := make(chan bool)
	loop.Post(func() {
		clock := gatekeeper.NewClock()
		fleet := NewFleet(loop, clock, modelReader{}, 250, 5000, Transport{})
		core := gatekeeper.New(gatekeeper.Config{Clock: clock, Fleet: fleet, Counter: gateway, Seed: 1,
			Wake: func(at float64) { loop.Wake(at - clock.Now()) },
			Settings: policy.Settings{Gateways: 1, Tick: 4000, MaxAttempts: 3, Cancel: true,
				Classes: []policy.Class{{Aim: 4e6, Deadline: 5e6, Worth: 1, Repeat: policy.Unsafe}}, Plans: []policy.Plan{{Price: 1}}}})
		loop.OnAlarm(core.Advance)
		fleet.Attach(core)
		gateway.Clients = NewClients(loop, clock, core, gateway)
		gateway.Limits = limits
		if worker != "" {
			fleet.Place(1, worker, 0)
			core.Workers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}})
		}
		loop.Every(20*time.Millisecond, gateway.Sweep)
		close(ready)
	})
	<-ready
	go listener.Accept(loop, gateway.Make)
	t.Cleanup(func() {
		_ = listener.Close()
		if err := loop.Stop(); err != nil {
			t.Error(err)
		}
	})
	return gateway
}

// say opens a link, brings text, and gives the answer.
func (d *testGateway) exchange(t *testing.T, text string) (*http.Response, net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response, conn
}

func TestConfiguredClientLimits(t *testing.T) {
	limits := &ClientLimits{HTTP: &http1.Limits{Head: 300, Body: 100, Large: 1000}, ReadMost: 150, RestMost: 300}
	gateway := newTestGateway(t, "", limits)
	const post = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: "
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"in order":           {post + "100\r\n\r\n" + strings.Repeat("x", 100), 200},
		"too long a head":    {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 300) + "\r\n\r\n", 431},
		"too long a body":    {post + "1001\r\n\r\n", 413},
		"too slow a head":    {"GET /echo HTTP/1.1\r\n", 408},
		"a body that stalls": {post + "3\r\n\r\nx", 408},
	} {
		t.Run(name, func(t *testing.T) {
			if response, _ := gateway.exchange(t, tc.text); response.StatusCode != tc.want || (response.StatusCode != 200) != response.Close {
				t.Fatalf("%d, closing %v; want %d", response.StatusCode, response.Close, tc.want)
			}
		})
	}
	done := make(chan bool)
	gateway.loop.Post(func() { limits.HTTP.Head = 1000; close(done) })
	<-done
	if response, _ := gateway.exchange(t, "GET /echo HTTP/1.1\r\nHost: a\r\nA: "+strings.Repeat("x", 300)+"\r\n\r\n"); response.StatusCode != 200 {
		t.Fatalf("%d under a limit that was raised", response.StatusCode)
	}
}

// TestSilentClientGetsIdleTimeout: it has begun nothing, and then has the whole
// time of a head.
func TestSilentClientGetsIdleTimeout(t *testing.T) {
	gateway := newTestGateway(t, "", &ClientLimits{ReadMost: 200, RestMost: 2500, KeepAlive: true})
	conn, err := net.Dial("tcp", gateway.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(400 * time.Millisecond)
	_, _ = io.WriteString(conn, "GET /echo HTTP/1.1\r\n")
	time.Sleep(60 * time.Millisecond)
	_, _ = io.WriteString(conn, "Host: a\r\n\r\n")
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != 200 || response.Header.Get("Keep-Alive") != "timeout=1" {
		t.Fatal(response, err)
	}
}

// TestStalledBodyGets502OnceForwarded: a 408 says that it never ran.
func TestStalledBodyGets502OnceForwarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	text := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 80000)
	gateway := newTestGateway(t, listener.Addr().String(), &ClientLimits{RestMost: 200})
	if response, _ := gateway.exchange(t, text); response.StatusCode != http.StatusBadGateway || !response.Close {
		t.Fatalf("%d, closing %v", response.StatusCode, response.Close)
	}
}

// wording is a verdict of its own.
type customVerdict struct{}

func (customVerdict) Throttled(l *Client, _ *gatekeeper.Request, _ float64) {
	l.Answer(503, []byte("Retry-After: 1\r\n"), []byte("busy"))
}
func (customVerdict) Failed(l *Client, _ *gatekeeper.Request) { l.Answer(504, nil, []byte("no word")) }

func TestCustomFinalAnswers(t *testing.T) {
	gateway := newTestGateway(t, "", nil)
	done := make(chan bool)
	gateway.loop.Post(func() { gateway.Verdict = customVerdict{}; close(done) })
	<-done
	response, _ := gateway.exchange(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if b, _ := io.ReadAll(response.Body); response.StatusCode != 503 || string(b) != "busy" || response.Header.Get("Retry-After") != "1" {
		t.Fatalf("%d %q", response.StatusCode, b)
	}
}
