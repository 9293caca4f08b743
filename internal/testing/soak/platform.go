package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	platformRate = 50.0
	platformLag  = 800 * time.Millisecond
	platformPage = 50 // rows
	closingFor   = 4 * time.Second
	workerIdle   = 8 * time.Second // that a worker keeps a connection without a request
	crashListed  = 3 * time.Second // that a crashed worker stays on the list
)

// workerSlots is how many requests a worker works on at a time, workerQueue how many more wait.
const (
	workerSlots = 2
	workerQueue = 6
)

// ledger is what the workers ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int // by the id of the try
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
}

func (l *ledger) of(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// worker serves one service at one address.
type worker struct {
	id, service, addr, zone string
	work                    time.Duration
	ledger                  *ledger
	slots                   chan struct{}
	server                  *http.Server

	mu      sync.Mutex
	waiting int
	running int
	closing bool
	slow    float64 // times the usual work, 0 for 1
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.slots = make(chan struct{}, workerSlots)
	w.server = &http.Server{Handler: w, IdleTimeout: workerIdle}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// enter takes a place in the queue, if there is one.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= workerQueue {
		return false
	}
	w.waiting++
	return true
}

// begin moves a request from the queue into a slot.
func (w *worker) begin() (work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	w.running++
	return time.Duration(float64(w.work) * max(w.slow, 1) * (0.5 + rand.Float64()))
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, workerSlots)
}

// ServeHTTP implements http.Handler as the platform's protocol asks it of workers.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get("X-Foxwood-Try-Id")
	h.Set("X-Foxwood-Try-Id", id)
	if e := r.Header.Get("X-Foxwood-Expect-Worker"); e != "" && e != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.enter() {
		w.turnAway(rw)
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		w.turnAway(rw)
		return
	}
	work := w.begin()
	w.ledger.ran(id)
	time.Sleep(work)
	w.mu.Lock()
	w.running--
	closing := w.closing
	w.mu.Unlock()
	<-w.slots
	h.Set("X-Foxwood-Postmark", w.id)
	h.Set("X-Foxwood-Worker-Load", w.load())
	if closing {
		h.Set("Connection", "close")
	}
	_, _ = rw.Write([]byte(bodyOf(id)))
}

func (w *worker) turnAway(rw http.ResponseWriter) {
	rw.Header().Set("X-Foxwood-Not-Delivered", "1")
	rw.Header().Set("X-Foxwood-Worker-Load", w.load())
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// bodyOf is the body of a worker's answer to a try.
func bodyOf(id string) string { return "done " + id }

// platform keeps the list of workers.
type platform struct {
	addr    string
	ledger  *ledger
	address func(n int) string // of the n-th worker
	server  *http.Server

	mu      sync.Mutex
	workers []*listed
	made    int
	history []snapshot
	calls   []time.Time
}

// listed is a worker with how the list has it.
type listed struct {
	*worker
	gone bool
}

// snapshot is the list as of a time: it is told with a lag.
type snapshot struct {
	at   time.Time
	rows [][]any
}

// add starts a worker and lists it.
func (p *platform) add(service, zone string, work time.Duration) error {
	p.mu.Lock()
	n := p.made
	p.made++
	p.mu.Unlock()
	w := &worker{id: fmt.Sprintf("w-%d", n), service: service, zone: zone, work: work, ledger: p.ledger, addr: p.address(n)}
	if err := w.start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.workers = append(p.workers, &listed{worker: w})
	p.mu.Unlock()
	p.changed()
	return nil
}

// changed notes the list as it is now.
func (p *platform) changed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := snapshot{at: time.Now(), rows: [][]any{}}
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		w.mu.Lock()
		state := "open_counter"
		if w.closing {
			state = "closing"
		}
		w.mu.Unlock()
		s.rows = append(s.rows, []any{w.service, w.addr, w.zone, "v1", workerSlots, state, 0, w.id})
	}
	p.history = append(p.history, s)
}

// current is the list that is told now.
func (p *platform) current() [][]any {
	shown := p.history[0].rows
	for _, s := range p.history {
		if time.Since(s.at) >= platformLag {
			shown = s.rows
		}
	}
	return shown
}

// serve answers calls until it is closed.
func (p *platform) serve() error {
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// over tells whether a call is one too many in its second.
func (p *platform) over(now time.Time) bool {
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > time.Second {
		p.calls = p.calls[1:]
	}
	if len(p.calls) >= platformRate {
		return true
	}
	p.calls = append(p.calls, now)
	return false
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	over, rows := p.over(time.Now()), p.current()
	p.mu.Unlock()
	if over {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	from = min(max(from, 0), len(rows))
	to := min(from+platformPage, len(rows))
	var next any
	if to < len(rows) {
		next = strconv.Itoa(to)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"nextToken": next, "roster": map[string]any{
		"columns": []string{"destination", "address", "zone", "edition", "berths", "state", "coldS_time", "id"}, "rows": rows[from:to]}})
}

// some is so many workers that are in service, by chance.
func (p *platform) some(r *rand.Rand, n int) (out []*listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range r.Perm(len(p.workers)) {
		w := p.workers[i]
		w.mu.Lock()
		in := !w.closing && !w.gone
		w.mu.Unlock()
		if in && len(out) < n {
			out = append(out, w)
		}
	}
	return out
}

// close takes a worker out of service in order and lists another one in its place.
func (p *platform) close(w *listed) error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	p.changed()
	if err := p.add(w.service, w.zone, w.work); err != nil {
		return err
	}
	time.Sleep(closingFor + time.Second)
	p.remove(w)
	return nil
}

// remove ends a worker and takes it off the list.
func (p *platform) remove(w *listed) {
	p.mu.Lock()
	w.gone = true
	p.mu.Unlock()
	p.changed()
	_ = w.server.Close()
}

// crash ends a worker at once; the list has it for a while.
func (p *platform) crash(w *listed, returnAfter time.Duration) error {
	_ = w.server.Close()
	time.Sleep(crashListed)
	p.remove(w)
	time.Sleep(max(returnAfter-crashListed, 0))
	return p.add(w.service, w.zone, w.work)
}

// stop ends all workers and the list.
func (p *platform) stop() {
	p.mu.Lock()
	workers := p.workers
	p.mu.Unlock()
	for _, w := range workers {
		_ = w.server.Close()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
}
