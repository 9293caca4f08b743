// Package emulator holds stand-ins for what a gatekeeper works with, for tests and
// experiments on one machine. A Worker is a G/G/c queue with a bound (Kendall's
// notation): requests wait in order for one of its cores, hold it for a time drawn for
// their class, and are turned away where the line is full.
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

	"foxwood/internal/batch"
)

// Service is how long requests of a class take: lognormal with a mean and a coefficient
// of variation, constant where that is 0.
type Service struct {
	Mean time.Duration
	CV   float64
}

// draw is a service time.
func (s Service) draw(r *rand.Rand) time.Duration {
	if s.CV <= 0 {
		return s.Mean
	}
	sigma2 := math.Log(1 + s.CV*s.CV)
	mu := math.Log(float64(s.Mean)) - sigma2/2
	return time.Duration(math.Exp(mu + math.Sqrt(sigma2)*r.NormFloat64()))
}

// Fault is what becomes of a request in place of an answer.
type Fault int

// The faults. Those after the run come where the request has held a core.
const (
	None         Fault = iota
	ResetBefore        // the connection is reset before it runs
	ResetAfter         // and after it ran
	Stall              // nothing comes, as long as the gatekeeper waits
	ErrorAfter         // 500 after it ran
	TurnAway           // 503 with X-Never-Ran
	NoiseAfter         // bytes that are no answer, on HTTP/1.1 only; the connection stays
	TwiceAfter         // its answer and a second copy of it, on HTTP/1.1 only
	CloseAfter         // its answer, with Connection: close
	VanishBefore       // the whole worker stops: its connections are reset, no new ones taken
)

// Arrival is a request as it came in.
type Arrival struct {
	N       int // the how many-th of this worker, from 0
	ID, Key string
	Class   string
}

// Config is what a Worker is made of.
type Config struct {
	Cores   int                // at least 1
	Queue   int                // requests that may wait for a core; 0 for no bound
	Classes map[string]Service // by the class in the query of the path
	Default Service            // of other classes
	// Window is how long repeats of a key are dropped.
	Window time.Duration
	// ColdFor is how long after its start a worker is slower, by ColdFactor at first and
	// less and less.
	ColdFor    time.Duration
	ColdFactor float64
	Echo       string // header copied into answers
	Reports    bool   // answers hold load reports
	MaxStreams int    // of HTTP/2; 0 for the library's own
	Seed       uint64
	Ledger     *Ledger // a new one where nil
	// Fault, where set, decides what becomes of a request.
	Fault func(Arrival) Fault
}

// Worker is a stand-in for a worker. It takes HTTP/1.1, pipelined too, HTTP/2 in
// cleartext, and batch links at /batch.
type Worker struct {
	Ledger *Ledger

	config  Config
	addr    string
	server  *http.Server
	cores   chan struct{}
	waiting atomic.Int64
	holding atomic.Int64
	count   atomic.Int64
	conns   atomic.Int64
	opened  atomic.Int64
	started time.Time

	mu     sync.Mutex // of random
	random *rand.Rand
	debt   atomic.Int64 // nanoseconds that naps took longer than they should
}

// Start has a worker serve at an address, "127.0.0.1:0" for any free port.
func Start(addr string, c Config) (*Worker, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	w := &Worker{Ledger: c.Ledger, config: c, addr: ln.Addr().String(), cores: make(chan struct{}, max(c.Cores, 1)),
		started: time.Now(), random: rand.New(rand.NewPCG(c.Seed, 1))}
	mux := http.NewServeMux()
	mux.Handle("/batch", &batch.Handler{Items: http.HandlerFunc(w.serve)})
	mux.HandleFunc("/", w.serve)
	var both http.Protocols
	both.SetHTTP1(true)
	both.SetUnencryptedHTTP2(true)
	w.server = &http.Server{Handler: mux, Protocols: &both, ConnContext: withConn, ConnState: w.watch,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: c.MaxStreams}}
	go func() { _ = w.server.Serve(ln) }()
	return w, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (w *Worker) watch(_ net.Conn, st http.ConnState) {
	switch st {
	case http.StateNew:
		w.conns.Add(1)
		w.opened.Add(1)
	case http.StateClosed, http.StateHijacked:
		w.conns.Add(-1)
	}
}

// Addr is where the worker listens.
func (w *Worker) Addr() string { return w.addr }

// Conns is how many connections are open, and how many ever were.
func (w *Worker) Conns() (open, ever int) { return int(w.conns.Load()), int(w.opened.Load()) }

// Holding is how many requests it has, running or waiting.
func (w *Worker) Holding() int { return int(w.holding.Load()) }

// Stop closes the listener and every connection.
func (w *Worker) Stop() {
	if err := w.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return
	}
}

// reset breaks a request's connection.
func reset(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}

// serve is one request.
func (w *Worker) serve(to http.ResponseWriter, r *http.Request) {
	a := Arrival{N: int(w.count.Add(1)) - 1, ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"),
		Class: r.URL.Query().Get("class")}
	w.Ledger.arrive(a.ID)
	w.holding.Add(1)
	defer w.holding.Add(-1)
	fault := None
	if w.config.Fault != nil {
		fault = w.config.Fault(a)
	}
	if fault != None {
		w.Ledger.count(func(t *Totals) { t.Faults++ })
	}
	switch fault {
	case ResetBefore:
		reset(r)
	case VanishBefore:
		go w.Stop()
		reset(r)
	case Stall:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case TurnAway:
		w.turnAway(to)
		return
	}
	if !w.take(r.Context(), to) {
		return
	}
	if w.Ledger.run(a.ID, a.Key, w.config.Window) {
		w.work(w.time(a.Class))
	}
	<-w.cores
	w.answer(to, r, a, fault)
}

// take waits for a core, in the order of coming as far as a channel has one.
func (w *Worker) take(ctx context.Context, to http.ResponseWriter) bool {
	select {
	case w.cores <- struct{}{}:
		return true
	default:
	}
	if n := w.waiting.Add(1); w.config.Queue > 0 && n > int64(w.config.Queue) {
		w.waiting.Add(-1)
		w.turnAway(to)
		return false
	}
	defer w.waiting.Add(-1)
	select {
	case w.cores <- struct{}{}:
		return true
	case <-ctx.Done():
		w.Ledger.count(func(t *Totals) { t.Withdrawn++ })
		return false
	}
}

// work holds a core for a time. Sleeps last longer than asked, and the more so the busier
// the machine; what one was late is taken off the next ones, so that on the whole requests
// take what they should and the worker has the capacity that it is said to have.
func (w *Worker) work(d time.Duration) {
	off := min(w.debt.Load(), int64(d))
	w.debt.Add(-off)
	began := time.Now()
	time.Sleep(d - time.Duration(off))
	w.debt.Add(int64(time.Since(began)) - (int64(d) - off))
}

func (w *Worker) turnAway(to http.ResponseWriter) {
	w.Ledger.count(func(t *Totals) { t.Full++ })
	to.Header().Set("X-Never-Ran", "1")
	to.WriteHeader(http.StatusServiceUnavailable)
}

func (w *Worker) time(class string) time.Duration {
	s, ok := w.config.Classes[class]
	if !ok {
		s = w.config.Default
	}
	w.mu.Lock()
	took := s.draw(w.random)
	w.mu.Unlock()
	if age := time.Since(w.started); age < w.config.ColdFor {
		left := 1 - float64(age)/float64(w.config.ColdFor)
		took = time.Duration(float64(took) * (1 + (w.config.ColdFactor-1)*left))
	}
	return took
}

// answer says what a request's outcome is. The body names the request, so that an answer
// given to another one is seen.
func (w *Worker) answer(to http.ResponseWriter, r *http.Request, a Arrival, fault Fault) {
	body := "ran " + a.ID + "\n"
	switch fault {
	case ResetAfter:
		reset(r)
	case ErrorAfter:
		to.WriteHeader(http.StatusInternalServerError)
		return
	case CloseAfter:
		to.Header().Set("Connection", "close")
	case NoiseAfter:
		if c := hijack(to); c != nil {
			_, _ = c.Write([]byte("\x16\x03\x01 no answer\r\n"))
			return
		}
	case TwiceAfter:
		if c := hijack(to); c != nil {
			one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", w.config.Echo,
				r.Header.Get(w.config.Echo), len(body), body)
			_, _ = c.Write([]byte(one + one))
			return
		}
	}
	if turn := r.Header.Get(w.config.Echo); w.config.Echo != "" && turn != "" {
		to.Header().Set(w.config.Echo, turn)
	}
	if w.config.Reports {
		to.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT inflight=%d, queue=%d", w.Holding(), w.waiting.Load()))
	}
	to.Header().Set("Content-Type", "text/plain")
	to.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = to.Write([]byte(body))
}

// hijack takes a connection of HTTP/1.1 over, nil on others.
func hijack(to http.ResponseWriter) net.Conn {
	h, ok := to.(http.Hijacker)
	if !ok {
		return nil
	}
	c, _, err := h.Hijack()
	if err != nil {
		return nil
	}
	return c
}
