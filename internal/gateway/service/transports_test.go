package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/config"
	"foxwood/internal/testing/emulator"
)

// echoHeader is the header in which emulated workers return the turn of a request on its
// connection.
const echoHeader = "X-Link-Turn"

// allCarriers is every transport to workers.
var allCarriers = []link.Protocol{link.HTTP1, link.Pipeline, link.HTTP2, link.Batch}

// eachCarrier runs a test for every transport, with a gatekeeper in front of emulated workers.
func eachCarrier(t *testing.T, workers int, base emulator.Config, test func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker)) {
	for _, carrier := range allCarriers {
		t.Run(carrier.String(), func(t *testing.T) {
			workerConfig := base
			workerConfig.Log, workerConfig.EchoHeader = emulator.NewRequestLog(), echoHeader
			var emulated []*emulator.Worker
			var addrs []string
			for range workers {
				w, err := emulator.StartWorker("127.0.0.1:0", workerConfig)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(w.Stop)
				emulated, addrs = append(emulated, w), append(addrs, w.Addr())
			}
			gateway := startGateway(t, func(base *config.Config) { base.Transport = link.Transport{Protocol: carrier} }, addrs...)
			test(t, gateway, emulated)
		})
	}
}

// clientResult is a request and its response.
type clientResult struct {
	id, key  string
	status   int
	body     string
	duration time.Duration
}

// classRequest returns a request of a class with a trace id.
func classRequest(class string, id, idempotencyKey string, timeoutMS int) string {
	if class == "cuota" {
		return fmt.Sprintf("GET /api?class=cuota HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: cuota\r\nX-Tier: mayor\r\n"+
			"X-Api-Key: 00000000b4d65521\r\nX-Expires-In-Ms: %d\r\nX-Call-Terms: units=2,spread=1,first=0\r\n\r\n", id, timeoutMS)
	}
	return fmt.Sprintf("POST /api?class=%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %[1]s\r\nX-Tier: mayor\r\n"+
		"X-Api-Key: 00000000b4d65521\r\nX-Expires-In-Ms: %[3]d\r\nIdempotency-Key: %[4]s\r\nContent-Length: 7\r\n"+
		"X-Call-Terms: units=2,spread=1,first=0\r\n\r\nmonto=1", class, id, timeoutMS, idempotencyKey)
}

// ask sends a request over a new connection and reads its response.
func (g *testGateway) ask(class string, n, leftMS int) clientResult {
	result := clientResult{id: fmt.Sprintf("%s-%d", class, n), key: fmt.Sprintf("key-%d", n)}
	conn := g.dial()
	defer conn.Close()
	started := time.Now()
	response, body := conn.ask(classRequest(class, result.id, result.key, leftMS))
	result.status, result.body, result.duration = response.StatusCode, body, time.Since(started)
	return result
}

// askConcurrently sends n requests at once.
func (g *testGateway) askConcurrently(class string, firstID, n, leftMS int) []clientResult {
	results := make([]clientResult, n)
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() { results[i] = g.ask(class, firstID+i, leftMS) })
	}
	clients.Wait()
	return results
}

// checkResponses checks that each request got its own response or an expected error status, and
// returns how many were served.
func checkResponses(t *testing.T, results []clientResult) (served int) {
	t.Helper()
	for _, result := range results {
		switch result.status {
		case http.StatusOK:
			served++
			if result.body != "ran "+result.id+"\n" {
				t.Errorf("%s got the response %q", result.id, result.body)
			}
		case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable:
		default:
			t.Errorf("%s: unexpected status %d", result.id, result.status)
		}
	}
	return served
}

// checkKeysRanOnce checks that no idempotency key was executed twice.
func checkKeysRanOnce(t *testing.T, ledger *emulator.RequestLog) {
	t.Helper()
	for key, n := range ledger.RunsByKey() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestEachRequestGetsItsOwnResponse sends concurrent requests of both classes: all must be
// served, each executed once.
func TestEachRequestGetsItsOwnResponse(t *testing.T) {
	eachCarrier(t, 2, emulator.Config{Cores: 4, Default: emulator.ServiceTime{Mean: 2 * time.Millisecond}},
		func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
			for round := range 4 {
				all := append(gateway.askConcurrently("cuota", round*100, 8, 1900), gateway.askConcurrently("simulacion", round*100+50, 4, 1900)...)
				if n := checkResponses(t, all); n < len(all) {
					t.Errorf("round %d: %d of %d served", round, n, len(all))
				}
			}
			checkKeysRanOnce(t, emulated[0].Log)
			for id, n := range emulated[0].Log.RunsByID() {
				if n != 1 {
					t.Errorf("%s ran %d times", id, n)
				}
			}
		})
}

// TestSlowRequestsDoNotDelayOthers guards against head-of-line blocking on every transport: while
// several long simulacion requests are in flight, cuota requests must not wait for them.
func TestSlowRequestsDoNotDelayOthers(t *testing.T) {
	const slow = 1200 * time.Millisecond
	workerConfig := emulator.Config{Cores: 16, RepeatWindow: 5 * time.Second, Classes: map[string]emulator.ServiceTime{
		"cuota": {Mean: 2 * time.Millisecond}, "simulacion": {Mean: slow}}}
	eachCarrier(t, 1, workerConfig, func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
		for i := range 30 { // so that the transport learns how long a cuota request takes
			gateway.ask("cuota", i, 1900)
		}
		done := make(chan []clientResult, 1)
		go func() { done <- gateway.askConcurrently("simulacion", 0, 3, 1900) }()
		waitForState(t, func() bool { return emulated[0].InFlight() == 3 })
		for round := range 8 {
			for _, a := range gateway.askConcurrently("cuota", 100+10*round, 4, 1900) {
				if a.status != http.StatusOK || a.duration > slow/3 {
					t.Errorf("%s: status %d after %v", a.id, a.status, a.duration)
				}
			}
		}
		checkResponses(t, receive(t, done))
	})
}

// TestWorkerFaultsGiveOneResponsePerRequest injects resets, stalls, errors, closed connections and
// invalid responses among requests of both classes. Each request must get one response, its own,
// and no idempotency key may run twice.
func TestWorkerFaultsGiveOneResponsePerRequest(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{
		"reset before it ran": emulator.ResetBefore, "reset after it ran": emulator.ResetAfter, "stall": emulator.Stall,
		"error": emulator.ErrorAfter, "turned away": emulator.Reject, "noise": emulator.GarbageAfter,
		"duplicate response": emulator.DuplicateAfter, "close": emulator.CloseAfter,
	} {
		workerConfig := emulator.Config{Cores: 8, RepeatWindow: 5 * time.Second, Default: emulator.ServiceTime{Mean: 2 * time.Millisecond, CV: 0.5},
			Fault: func(a emulator.Arrival) emulator.Fault {
				if a.Sequence > 20 && a.Sequence%7 == 0 {
					return fault
				}
				return emulator.None
			}}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachCarrier(t, 2, workerConfig, func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
				served, asked := 0, 0
				for round := range 8 {
					all := append(gateway.askConcurrently("cuota", 100*round, 8, 600), gateway.askConcurrently("simulacion", 100*round+50, 4, 600)...)
					served += checkResponses(t, all)
					asked += len(all)
				}
				if served < asked/2 {
					t.Errorf("%d of %d served, want at least half", served, asked)
				}
				checkKeysRanOnce(t, emulated[0].Log)
				if emulated[0].Log.Totals().Faults == 0 {
					t.Error("no fault was injected")
				}
			})
		})
	}
}

// TestVanishedWorkerLeavesNoRequestOpen has a worker stop responding for good while it has
// pipelined requests, a batch or streams in flight.
func TestVanishedWorkerLeavesNoRequestOpen(t *testing.T) {
	workerConfig := emulator.Config{Cores: 2, RepeatWindow: 5 * time.Second, Default: emulator.ServiceTime{Mean: 10 * time.Millisecond},
		Fault: func(a emulator.Arrival) emulator.Fault {
			if a.Sequence == 25 {
				return emulator.CrashBefore
			}
			return emulator.None
		}}
	eachCarrier(t, 2, workerConfig, func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
		for round := range 6 {
			all := append(gateway.askConcurrently("cuota", 100*round, 12, 1500), gateway.askConcurrently("simulacion", 100*round+50, 4, 1500)...)
			checkResponses(t, all)
		}
		checkKeysRanOnce(t, emulated[0].Log)
	})
}

// TestWorkerDrainLosesNoRequestInFlight marks a worker as draining while it has requests in flight
// on a shared connection. Those must be answered; later ones must go to the other worker.
func TestWorkerDrainLosesNoRequestInFlight(t *testing.T) {
	workerConfig := emulator.Config{Cores: 4, RepeatWindow: 5 * time.Second, Default: emulator.ServiceTime{Mean: 150 * time.Millisecond}}
	eachCarrier(t, 2, workerConfig, func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
		done := make(chan []clientResult, 1)
		go func() { done <- gateway.askConcurrently("cuota", 0, 12, 1900) }()
		waitForState(t, func() bool { return emulated[0].InFlight() > 0 && emulated[1].InFlight() > 0 })
		applied := make(chan error)
		gateway.loop.Post(func() {
			line := fmt.Sprintf(`{"generation":8,"reset":false,"instances":[%s]}`, drainingEntry(workerEntry(0, emulated[0].Addr())))
			applied <- gateway.hosts.ApplyLine([]byte(line))
		})
		if err := receive(t, applied); err != nil {
			t.Fatal(err)
		}
		all := receive(t, done)
		if n := checkResponses(t, all); n < len(all) {
			t.Errorf("%d of %d served", n, len(all))
		}
		later := gateway.askConcurrently("cuota", 100, 4, 1900)
		if n := checkResponses(t, later); n < len(later) {
			t.Errorf("%d of %d served after the drain began", n, len(later))
		}
		waitForState(t, func() bool { open, _ := emulated[0].Conns(); return open == 0 })
	})
}

// drainingEntry changes an entry of the worker list to a draining worker.
func drainingEntry(member string) string {
	return strings.Replace(member, `"lifecycle":"ready"`, `"lifecycle":"draining"`, 1)
}

// waitForState polls until an emulated worker, which reports no events, reaches a state.
func waitForState(t *testing.T, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !reached(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("the state was not reached within %v", testTimeout)
		}
	}
}

// TestConnectionResetDuringRequest has one of two workers reset its connections after a number of
// bytes: within the preface, the first header, a body, or after it. Each request must get one
// response, none may run twice, and some must be served by the healthy worker.
func TestConnectionResetDuringRequest(t *testing.T) {
	const bodyMost = 60000
	for _, resetAfter := range []int{1, 40, 150, 1000, 30000, 70000} {
		workerConfig := emulator.Config{Cores: 4, RepeatWindow: 5 * time.Second, Default: emulator.ServiceTime{Mean: time.Millisecond}}
		eachCarrier(t, 1, workerConfig, func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
			resetting := listen(t, func(c net.Conn) {
				_, _ = io.ReadFull(c, make([]byte, resetAfter))
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			applied := make(chan error)
			gateway.loop.Post(func() {
				line := fmt.Sprintf(`{"generation":8,"reset":true,"instances":[%s,%s]}`, workerEntry(0, emulated[0].Addr()), workerEntry(1, resetting))
				applied <- gateway.hosts.ApplyLine([]byte(line))
			})
			if err := receive(t, applied); err != nil {
				t.Fatal(err)
			}
			served := 0
			for n := range 12 {
				conn := gateway.dial()
				id := fmt.Sprintf("big-%d", n)
				body := strings.Repeat("m", bodyMost)
				text := strings.Replace(classRequest("simulacion", id, id, 1500), "Content-Length: 7", fmt.Sprintf("Content-Length: %d", bodyMost), 1)
				res, got := conn.ask(strings.TrimSuffix(text, "monto=1") + body)
				if res.StatusCode == http.StatusOK {
					if served++; got != "ran "+id+"\n" {
						t.Errorf("%s got the response %q", id, got)
					}
				}
				conn.Close()
			}
			if served == 0 {
				t.Error("no request was served")
			}
			checkKeysRanOnce(t, emulated[0].Log)
		})
	}
}

// TestRequestsWaitForHTTP2Streams checks a worker that allows few streams per connection: requests
// beyond that wait for a stream, on at most two connections, and none is rejected.
func TestRequestsWaitForHTTP2Streams(t *testing.T) {
	const streams = 3
	var maxStreams, current atomic.Int64
	workerConfig := emulator.Config{Cores: 16, MaxStreams: streams, RepeatWindow: 5 * time.Second, Default: emulator.ServiceTime{Mean: 20 * time.Millisecond},
		Fault: func(emulator.Arrival) emulator.Fault { // called when a request arrives
			n := current.Add(1)
			time.AfterFunc(15*time.Millisecond, func() { current.Add(-1) }) // earlier than its response
			for m := maxStreams.Load(); n > m && !maxStreams.CompareAndSwap(m, n); m = maxStreams.Load() {
			}
			return emulator.None
		}}
	w, err := emulator.StartWorker("127.0.0.1:0", workerConfig)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	gateway := startGateway(t, func(c *config.Config) { c.Transport = link.Transport{Protocol: link.HTTP2} }, w.Addr())
	for round := range 5 {
		all := gateway.askConcurrently("cuota", 100*round, 5, 1900)
		if n := checkResponses(t, all); n < len(all) {
			t.Errorf("round %d: %d of %d served", round, n, len(all))
		}
	}
	if _, opened := w.Conns(); opened > 2 {
		t.Errorf("%d connections were opened, want at most 2", opened)
	}
	if maxStreams.Load() > 2*streams {
		t.Errorf("%d requests at once over two connections of %d streams", maxStreams.Load(), streams)
	}
}

// TestDrainAnswersRequestsInFlight checks for every transport that a draining gatekeeper answers
// all requests in flight.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	workerConfig := emulator.Config{Cores: 16, RepeatWindow: 5 * time.Second, Default: emulator.ServiceTime{Mean: 200 * time.Millisecond}}
	eachCarrier(t, 1, workerConfig, func(t *testing.T, gateway *testGateway, emulated []*emulator.Worker) {
		t.Parallel()
		done := make(chan []clientResult, 1)
		go func() { done <- gateway.askConcurrently("cuota", 0, 4, 1900) }()
		waitForState(t, func() bool { return emulated[0].InFlight() == 4 })
		drained := make(chan bool, 1)
		go func() { gateway.drain(); drained <- true }()
		all := receive(t, done)
		if n := checkResponses(t, all); n < len(all) {
			t.Errorf("%d of %d served", n, len(all))
		}
		receive(t, drained)
	})
}
