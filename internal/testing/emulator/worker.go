// Package emulator simulates the services that a gatekeeper depends on, for tests and
// experiments on a single machine: workers and the shared counter. A Worker is a G/G/c queue
// of bounded length (in Kendall's notation): requests wait in order for one of its cores,
// occupy it for a random time that depends on their class, and are rejected if the queue is
// full.
package emulator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxwood/internal/dataplane/batch"
)

// ServiceTime is the distribution of the service times of a class: lognormal with a mean and a
// coefficient of variation, or constant if the latter is 0.
type ServiceTime struct {
	Mean time.Duration
	CV   float64 // coefficient of variation
}

// draw returns a random service time.
func (s ServiceTime) draw(rng *rand.Rand) time.Duration {
	if s.CV <= 0 {
		return s.Mean
	}
	variance := math.Log(1 + s.CV*s.CV)
	logMean := math.Log(float64(s.Mean)) - variance/2
	return time.Duration(math.Exp(logMean + math.Sqrt(variance)*rng.NormFloat64()))
}

// Fault is a fault that is injected into the handling of a request.
type Fault int

// The faults. Those named After occur when the request has run.
const (
	None           Fault = iota
	ResetBefore          // the connection is reset before the request runs
	ResetAfter           // the connection is reset after the request ran
	Stall                // no response for as long as the gatekeeper waits
	ErrorAfter           // status 500
	Reject               // status 503 with X-Never-Ran; the request does not run
	GarbageAfter         // bytes that are not an HTTP response, on HTTP/1.1 only; the connection stays open
	DuplicateAfter       // the response is sent twice, on HTTP/1.1 only
	CloseAfter           // the response has the header Connection: close
	CrashBefore          // the whole worker stops: it closes its connections and accepts no new ones
)

// Arrival describes a received request.
type Arrival struct {
	Sequence int    // sequence number at this worker, from 0
	ID, Key  string // request ID and idempotency key
	Class    string
}

// Config configures a Worker.
type Config struct {
	Cores   int                    // requests that run concurrently, at least 1
	Queue   int                    // requests that may wait for a core; 0 for no limit
	Classes map[string]ServiceTime // service times by class, which is the query parameter "class"
	Default ServiceTime            // service times of other classes
	// RepeatWindow is how long after the first execution repeats of an idempotency key are dropped.
	RepeatWindow time.Duration
	// ColdDuration is how long the worker is slower after its start. The factor falls linearly
	// from ColdFactor to 1.
	ColdDuration time.Duration
	ColdFactor   float64
	EchoHeader   string // name of a request header that is copied into the response
	LoadReports  bool   // responses contain load reports
	MaxStreams   int    // concurrent streams per HTTP/2 connection; 0 for the default of net/http
	Seed         uint64
	Log          *RequestLog // if nil, the worker creates one
	// Fault, if set, returns the fault to inject into a request.
	Fault func(Arrival) Fault
}

// Worker is a simulated worker. It accepts HTTP/1.1, also with pipelining, HTTP/2 in
// cleartext, and batch links at /batch.
type Worker struct {
	Log *RequestLog

	config     Config
	addr       string
	server     *http.Server
	cores      chan struct{}
	waiting    atomic.Int64
	inSystem   atomic.Int64
	arrivals   atomic.Int64
	openConns  atomic.Int64
	totalConns atomic.Int64
	started    time.Time

	mu             sync.Mutex // guards rng
	rng            *rand.Rand
	sleepOvershoot atomic.Int64 // nanoseconds that sleeps took too long and that later ones have not made up for
}

// StartWorker starts a worker at an address; "127.0.0.1:0" selects a free port.
func StartWorker(addr string, config Config) (*Worker, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	if config.Log == nil {
		config.Log = NewRequestLog()
	}
	worker := &Worker{Log: config.Log, config: config, addr: listener.Addr().String(), cores: make(chan struct{}, max(config.Cores, 1)),
		started: time.Now(), rng: rand.New(rand.NewPCG(config.Seed, 1))}
	mux := http.NewServeMux()
	mux.Handle("/batch", &batch.Handler{ItemHandler: http.HandlerFunc(worker.serve)})
	mux.HandleFunc("/", worker.serve)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	worker.server = &http.Server{Handler: mux, Protocols: &protocols, ConnContext: contextWithConn, ConnState: worker.trackConn,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: config.MaxStreams}}
	go func() { _ = worker.server.Serve(listener) }()
	return worker, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// contextWithConn stores the connection in the context of its requests.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackConn counts connections.
func (w *Worker) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		w.openConns.Add(1)
		w.totalConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		w.openConns.Add(-1)
	}
}

// Addr returns the address at which the worker listens.
func (w *Worker) Addr() string { return w.addr }

// Conns returns how many connections are open, and how many have been opened in total.
func (w *Worker) Conns() (open, ever int) { return int(w.openConns.Load()), int(w.totalConns.Load()) }

// InFlight returns how many requests are running or waiting.
func (w *Worker) InFlight() int { return int(w.inSystem.Load()) }

// Stop closes the listener and every connection.
func (w *Worker) Stop() {
	if err := w.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return
	}
}

// resetConn resets the connection of a request and aborts its handler.
func resetConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}

// serve handles a request.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	arrival := Arrival{Sequence: int(w.arrivals.Add(1)) - 1, ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"),
		Class: r.URL.Query().Get("class")}
	w.Log.recordArrival(arrival.ID)
	w.inSystem.Add(1)
	defer w.inSystem.Add(-1)
	fault := None
	if w.config.Fault != nil {
		fault = w.config.Fault(arrival)
	}
	if fault != None {
		w.Log.updateTotals(func(t *RequestTotals) { t.Faults++ })
	}
	switch fault {
	case ResetBefore:
		resetConn(r)
	case CrashBefore:
		go w.Stop()
		resetConn(r)
	case Stall:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Reject:
		w.reject(rw)
		return
	}
	if !w.acquireCore(r.Context(), rw) {
		return
	}
	if w.Log.recordRun(arrival.ID, arrival.Key, w.config.RepeatWindow) {
		w.holdCore(w.serviceTime(arrival.Class))
	}
	<-w.cores
	w.respond(rw, r, arrival, fault)
}

// acquireCore waits for a core and reports whether it got one. Requests get cores in order of
// arrival as far as the channel preserves it.
func (w *Worker) acquireCore(ctx context.Context, rw http.ResponseWriter) bool {
	select {
	case w.cores <- struct{}{}:
		return true
	default:
	}
	if waiting := w.waiting.Add(1); w.config.Queue > 0 && waiting > int64(w.config.Queue) {
		w.waiting.Add(-1)
		w.reject(rw)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.cores <- struct{}{}:
		return true
	case <-ctx.Done():
		w.Log.updateTotals(func(t *RequestTotals) { t.Cancelled++ })
		return false
	}
}

// holdCore sleeps for a service time. Sleeps take longer than requested, especially on a busy
// machine. The excess is subtracted from later sleeps, so that requests take the configured
// time on average and the worker has the configured capacity.
func (w *Worker) holdCore(duration time.Duration) {
	shortened := min(w.sleepOvershoot.Load(), int64(duration))
	w.sleepOvershoot.Add(-shortened)
	startedAt := time.Now()
	time.Sleep(duration - time.Duration(shortened))
	w.sleepOvershoot.Add(int64(time.Since(startedAt)) - (int64(duration) - shortened))
}

// reject answers that the request was not run.
func (w *Worker) reject(rw http.ResponseWriter) {
	w.Log.updateTotals(func(t *RequestTotals) { t.Rejected++ })
	rw.Header().Set("X-Never-Ran", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// serviceTime draws the service time of a request, including the slowdown after the start.
func (w *Worker) serviceTime(class string) time.Duration {
	service, ok := w.config.Classes[class]
	if !ok {
		service = w.config.Default
	}
	w.mu.Lock()
	duration := service.draw(w.rng)
	w.mu.Unlock()
	if age := time.Since(w.started); age < w.config.ColdDuration {
		remaining := 1 - float64(age)/float64(w.config.ColdDuration)
		duration = time.Duration(float64(duration) * (1 + (w.config.ColdFactor-1)*remaining))
	}
	return duration
}

// respond writes the response or injects the fault. The body contains the request ID, so that
// tests detect a response that was given to a different request.
func (w *Worker) respond(rw http.ResponseWriter, r *http.Request, arrival Arrival, fault Fault) {
	body := "ran " + arrival.ID + "\n"
	switch fault {
	case ResetAfter:
		resetConn(r)
	case ErrorAfter:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case CloseAfter:
		rw.Header().Set("Connection", "close")
	case GarbageAfter:
		if c := hijack(rw); c != nil {
			_, _ = c.Write([]byte("\x16\x03\x01 no answer\r\n"))
			return
		}
	case DuplicateAfter:
		if c := hijack(rw); c != nil {
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", w.config.EchoHeader,
				r.Header.Get(w.config.EchoHeader), len(body), body)
			_, _ = c.Write([]byte(response + response))
			return
		}
	}
	if echoed := r.Header.Get(w.config.EchoHeader); w.config.EchoHeader != "" && echoed != "" {
		rw.Header().Set(w.config.EchoHeader, echoed)
	}
	if w.config.LoadReports {
		rw.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT inflight=%d, queue=%d", w.InFlight(), w.waiting.Load()))
	}
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write([]byte(body))
}

// hijack takes over an HTTP/1.1 connection, and returns nil for other protocols.
func hijack(rw http.ResponseWriter) net.Conn {
	hijacker, ok := rw.(http.Hijacker)
	if !ok {
		return nil
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	return c
}
