// Package standin provides the simulated workers that tests of the whole system run against. They implement the
// protocol between gatekeepers and workers, and record in an execution log which requests they ran.
package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The headers of the protocol between gatekeepers and workers.
const (
	headerTryID          = "X-Foxwood-Try-Id"
	headerExpectedWorker = "X-Foxwood-Expect-Worker"
	headerPostmark       = "X-Foxwood-Postmark"
	headerNotDelivered   = "X-Foxwood-Not-Delivered"
	headerWorkerLoad     = "X-Foxwood-Worker-Load"
	headerShadow         = "X-Foxwood-Shadow"
)

// ExecutionLog records what workers ran. Its methods are safe for concurrent use.
type ExecutionLog struct {
	mu           sync.Mutex
	Runs         map[string]int  // number of executions of each attempt, by its ID
	Broken       map[string]bool // attempts whose answers a worker broke off, by ID
	ShadowCopies int             // copies for a shadow service that workers received
}

// NewExecutionLog returns an empty execution log.
func NewExecutionLog() *ExecutionLog {
	return &ExecutionLog{Runs: map[string]int{}, Broken: map[string]bool{}}
}

// WasBroken reports whether a worker broke off an answer to the attempt with an ID.
func (l *ExecutionLog) WasBroken(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Broken[id]
}

// BrokenCount returns how many attempts had an answer that a worker broke off.
func (l *ExecutionLog) BrokenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.Broken)
}

// recordBroken notes that an answer to an attempt is broken off.
func (l *ExecutionLog) recordBroken(id string) {
	l.mu.Lock()
	l.Broken[id] = true
	l.mu.Unlock()
}

// RunCount returns how often the attempt with an ID was executed.
func (l *ExecutionLog) RunCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Runs[id]
}

// ShadowCopyCount returns how many copies for a shadow service workers received.
func (l *ExecutionLog) ShadowCopyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ShadowCopies
}

// recordRun counts an execution of an attempt.
func (l *ExecutionLog) recordRun(id string) {
	l.mu.Lock()
	l.Runs[id]++
	l.mu.Unlock()
}

// recordCopy counts a copy for a shadow service.
func (l *ExecutionLog) recordCopy() {
	l.mu.Lock()
	l.ShadowCopies++
	l.mu.Unlock()
}

// Worker is a simulated worker. It handles a limited number of requests concurrently, has a bounded queue, and marks the
// requests that it rejects as not executed.
type Worker struct {
	ID, Service, Addr, Zone string
	Slots, Queue            int                         // requests that may run and wait at the same time
	IdleTimeout             time.Duration               // after which an idle connection is closed
	WorkTime                func(*Worker) time.Duration // returns the processing time of a request
	Answer                  func(*Worker) AnswerForm    // returns how an answer is sent; nil means the zero form for all
	Body                    func(id string) string      // returns the body for the attempt with an ID; nil means ResponseBody
	Log                     *ExecutionLog

	slots  chan struct{}
	server *http.Server

	mu      sync.Mutex
	waiting int
	running int
	closing bool
}

// Start listens at the worker's address and serves until Stop.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	w.slots = make(chan struct{}, w.Slots)
	w.server = &http.Server{Handler: w, IdleTimeout: w.IdleTimeout}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// Stop closes the listener and all connections at once.
func (w *Worker) Stop() {
	if w.server != nil {
		_ = w.server.Close()
	}
}

// BeginShutdown starts a graceful shutdown: from now on each response ends its connection.
func (w *Worker) BeginShutdown() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
}

// ShuttingDown reports whether BeginShutdown was called.
func (w *Worker) ShuttingDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// ListColumns returns the names of the columns that ListRow fills in the platform's list of workers.
func ListColumns() []string {
	return []string{"destination", "address", "zone", "edition", "berths", "state", "coldS_time", "id"}
}

// ListRow returns the worker's row in the platform's list of workers.
func (w *Worker) ListRow() []any {
	state := "open_counter"
	if w.ShuttingDown() {
		state = "closing"
	}
	return []any{w.Service, w.Addr, w.Zone, "v1", w.Slots, state, 0, w.ID}
}

// ResponseBody returns the response body for the attempt with an ID.
func ResponseBody(id string) string { return "done " + id }

// loadHeader returns the value of the load header: running, waiting and slots.
func (w *Worker) loadHeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots)
}

// enqueue takes a place in the queue and reports whether there was one.
func (w *Worker) enqueue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= w.Queue {
		return false
	}
	w.waiting++
	return true
}

// adjustCounts adds to the numbers of waiting and running requests.
func (w *Worker) adjustCounts(waiting, running int) {
	w.mu.Lock()
	w.waiting += waiting
	w.running += running
	w.mu.Unlock()
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	id := r.Header.Get(headerTryID)
	header.Set(headerTryID, id)
	if r.Header.Get(headerShadow) != "" {
		w.Log.recordCopy()
	}
	if expected := r.Header.Get(headerExpectedWorker); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.enqueue() {
		w.reject(rw)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.adjustCounts(-1, 1)
	case <-r.Context().Done():
		w.adjustCounts(-1, 0)
		w.reject(rw)
		return
	}
	w.Log.recordRun(id)
	time.Sleep(w.WorkTime(w))
	w.adjustCounts(0, -1)
	<-w.slots
	header.Set(headerPostmark, w.ID)
	header.Set(headerWorkerLoad, w.loadHeader())
	if w.ShuttingDown() {
		header.Set("Connection", "close")
	}
	body := ResponseBody(id)
	if w.Body != nil {
		body = w.Body(id)
	}
	form := AnswerForm{}
	if w.Answer != nil {
		form = w.Answer(w)
	}
	if form == (AnswerForm{}) {
		_, _ = rw.Write([]byte(body))
		return
	}
	if form.End != EndWhole {
		w.Log.recordBroken(id)
	}
	form.send(rw, body)
}

// reject answers that the request was not executed.
func (w *Worker) reject(rw http.ResponseWriter) {
	rw.Header().Set(headerNotDelivered, "1")
	rw.Header().Set(headerWorkerLoad, w.loadHeader())
	rw.WriteHeader(http.StatusServiceUnavailable)
}
