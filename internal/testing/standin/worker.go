// Package standin has the workers that tests of the whole system run against: they serve as the platform's protocol has it, and keep
// a ledger of what they ran.
package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The headers of the protocol with workers.
const (
	headTry      = "X-Foxwood-Try-Id"
	headExpect   = "X-Foxwood-Expect-Worker"
	headPostmark = "X-Foxwood-Postmark"
	headNever    = "X-Foxwood-Not-Delivered"
	headLoad     = "X-Foxwood-Worker-Load"
	headCopy     = "X-Foxwood-Shadow"
)

// Ledger is what workers ran.
type Ledger struct {
	mu     sync.Mutex
	Runs   map[string]int // how often each try began
	Copies int            // copies for a shadow service that came to a worker
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{Runs: map[string]int{}} }

// Of is how often a try began.
func (l *Ledger) Of(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Runs[id]
}

// CopyCount is how many copies came.
func (l *Ledger) CopyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Copies
}

func (l *Ledger) ran(id string) {
	l.mu.Lock()
	l.Runs[id]++
	l.mu.Unlock()
}

func (l *Ledger) copied() {
	l.mu.Lock()
	l.Copies++
	l.mu.Unlock()
}

// Worker works on so many requests at a time, has a short queue, and says that it did not run what it turns away.
type Worker struct {
	ID, Service, Addr, Zone string
	Slots, Queue            int
	Idle                    time.Duration               // that a connection may rest
	Work                    func(*Worker) time.Duration // of one request
	Ledger                  *Ledger

	slots  chan struct{}
	server *http.Server

	mu      sync.Mutex
	waiting int
	running int
	closing bool
}

// Start serves at the worker's address until Stop.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	w.slots = make(chan struct{}, w.Slots)
	w.server = &http.Server{Handler: w, IdleTimeout: w.Idle}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// Stop ends the worker at once.
func (w *Worker) Stop() {
	if w.server != nil {
		_ = w.server.Close()
	}
}

// Close has the worker end its connections from now on, each with an answer.
func (w *Worker) Close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
}

// Closing tells whether it does.
func (w *Worker) Closing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// RowColumns are the columns of the platform's list that Row fills.
func RowColumns() []string {
	return []string{"destination", "address", "zone", "edition", "berths", "state", "coldS_time", "id"}
}

// Row is the worker on the platform's list.
func (w *Worker) Row() []any {
	state := "open_counter"
	if w.Closing() {
		state = "closing"
	}
	return []any{w.Service, w.Addr, w.Zone, "v1", w.Slots, state, 0, w.ID}
}

// Body is the body of an answer to a try.
func Body(id string) string { return "done " + id }

func (w *Worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots)
}

// enter takes a place in the queue, if there is one.
func (w *Worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= w.Queue {
		return false
	}
	w.waiting++
	return true
}

// move counts requests that have left the queue, and those that have come into a slot or left it.
func (w *Worker) move(waiting, running int) {
	w.mu.Lock()
	w.waiting += waiting
	w.running += running
	w.mu.Unlock()
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get(headTry)
	h.Set(headTry, id)
	if r.Header.Get(headCopy) != "" {
		w.Ledger.copied()
	}
	if e := r.Header.Get(headExpect); e != "" && e != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.enter() {
		w.turnAway(rw)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.move(-1, 1)
	case <-r.Context().Done():
		w.move(-1, 0)
		w.turnAway(rw)
		return
	}
	w.Ledger.ran(id)
	time.Sleep(w.Work(w))
	w.move(0, -1)
	<-w.slots
	h.Set(headPostmark, w.ID)
	h.Set(headLoad, w.load())
	if w.Closing() {
		h.Set("Connection", "close")
	}
	_, _ = rw.Write([]byte(Body(id)))
}

func (w *Worker) turnAway(rw http.ResponseWriter) {
	rw.Header().Set(headNever, "1")
	rw.Header().Set(headLoad, w.load())
	rw.WriteHeader(http.StatusServiceUnavailable)
}
