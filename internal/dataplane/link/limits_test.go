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
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// testGateway is client connections with a core and worker connections, on a loop of their
// own.
type testGateway struct {
	*ClientConns
	loop *Loop
	addr string
}

// Handle implements RequestHandler.
func (d *testGateway) Handle(l *ClientConn, m *http1.Message) {
	if string(m.Target) == "/echo" {
		l.Respond(200, nil, m.Body)
		return
	}
	payload := &Payload{Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n", m.Length)}
	l.Submit(&gatekeeper.Request{TimeLeft: 5000, EstimatedUnits: 1, GatekeeperCount: 1, Payload: payload})
}

// Add implements gatekeeper.CounterClient.
func (d *testGateway) Add(*gatekeeper.CounterCall) {}

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
		workerConns := NewWorkerConns(loop, clock, modelReader{}, 250, 5000, Transport{})
		core := gatekeeper.New(gatekeeper.Config{Clock: clock, Workers: workerConns, Counter: gateway, Seed: 1,
			RequestWakeUp: func(at float64) { loop.SetAlarm(at - clock.Now()) },
			Settings: policy.Settings{GatewayCount: 1, ClockTick: 4000, MaxAttempts: 3, CanCancel: true,
				Classes: []policy.Class{{LatencyTarget: 4e6, Deadline: 5e6, Value: 1, Repeat: policy.RepeatUnsafe}}, Plans: []policy.Plan{{Price: 1}}}})
		loop.OnAlarm(core.RunDueTimers)
		workerConns.SetCore(core)
		gateway.ClientConns = NewClientConns(loop, clock, core, gateway)
		gateway.Limits = limits
		if worker != "" {
			workerConns.Place(1, worker, 0)
			core.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}})
		}
		loop.Every(20*time.Millisecond, gateway.Sweep)
		close(ready)
	})
	<-ready
	go listener.Accept(loop, gateway.NewConn)
	t.Cleanup(func() {
		_ = listener.Close()
		if err := loop.Stop(); err != nil {
			t.Error(err)
		}
	})
	return gateway
}

// exchange opens a connection, sends text and returns the response.
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
	limits := &ClientLimits{HTTP: &http1.Limits{HeadBytes: 300, BufferedBodyBytes: 100, StreamedBodyBytes: 1000}, HeadTimeoutMS: 150, IdleTimeoutMS: 300}
	gateway := newTestGateway(t, "", limits)
	const post = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: "
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"valid":         {post + "100\r\n\r\n" + strings.Repeat("x", 100), 200},
		"head too long": {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 300) + "\r\n\r\n", 431},
		"body too long": {post + "1001\r\n\r\n", 413},
		"head too slow": {"GET /echo HTTP/1.1\r\n", 408},
		"body stalls":   {post + "3\r\n\r\nx", 408},
	} {
		t.Run(name, func(t *testing.T) {
			if response, _ := gateway.exchange(t, tc.text); response.StatusCode != tc.want || (response.StatusCode != 200) != response.Close {
				t.Fatalf("status %d, Connection: close %v; want status %d", response.StatusCode, response.Close, tc.want)
			}
		})
	}
	done := make(chan bool)
	gateway.loop.Post(func() { limits.HTTP.HeadBytes = 1000; close(done) })
	<-done
	if response, _ := gateway.exchange(t, "GET /echo HTTP/1.1\r\nHost: a\r\nA: "+strings.Repeat("x", 300)+"\r\n\r\n"); response.StatusCode != 200 {
		t.Fatalf("status %d after the limit was raised, want 200", response.StatusCode)
	}
}

// TestSilentClientGetsIdleTimeout checks that a client that has sent nothing may stay for the
// idle timeout, and then still has the full head timeout.
func TestSilentClientGetsIdleTimeout(t *testing.T) {
	gateway := newTestGateway(t, "", &ClientLimits{HeadTimeoutMS: 200, IdleTimeoutMS: 2500, AnnounceKeepAlive: true})
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

// TestStalledBodyGets502OnceForwarded checks that a request that stalls after part of it went
// to a worker is not answered with 408, which promises that it has not run.
func TestStalledBodyGets502OnceForwarded(t *testing.T) {
	addr := listenTest(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	text := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 80000)
	gateway := newTestGateway(t, addr, &ClientLimits{IdleTimeoutMS: 200})
	if response, _ := gateway.exchange(t, text); response.StatusCode != http.StatusBadGateway || !response.Close {
		t.Fatalf("status %d, Connection: close %v; want 502, true", response.StatusCode, response.Close)
	}
}

// customVerdict is a FinalResponder with its own responses.
type customVerdict struct{}

func (customVerdict) Throttled(l *ClientConn, _ *gatekeeper.Request, _ float64) {
	l.Respond(503, []byte("Retry-After: 1\r\n"), []byte("busy"))
}
func (customVerdict) Failed(l *ClientConn, _ *gatekeeper.Request) {
	l.Respond(504, nil, []byte("no word"))
}

func TestCustomFinalAnswers(t *testing.T) {
	gateway := newTestGateway(t, "", nil)
	done := make(chan bool)
	gateway.loop.Post(func() { gateway.FinalResponder = customVerdict{}; close(done) })
	<-done
	response, _ := gateway.exchange(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if b, _ := io.ReadAll(response.Body); response.StatusCode != 503 || string(b) != "busy" || response.Header.Get("Retry-After") != "1" {
		t.Fatalf("status %d, body %q; want 503, busy", response.StatusCode, b)
	}
}
