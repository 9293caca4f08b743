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

	"foxwood/internal/testing/standin"
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

// slowTimes is how much longer a slow worker takes.
const slowTimes = 5.0

// slowed holds the workers that take longer for a while.
type slowed struct {
	mu      sync.Mutex
	workers map[*standin.Worker]bool
}

func (s *slowed) set(w *standin.Worker, slow bool) {
	s.mu.Lock()
	s.workers[w] = slow
	s.mu.Unlock()
}

func (s *slowed) times(w *standin.Worker) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers[w] {
		return slowTimes
	}
	return 1
}

// platform keeps the list of workers.
type platform struct {
	addr    string
	ledger  *standin.Ledger
	slowed  slowed
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
	*standin.Worker
	work time.Duration
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
	w := &standin.Worker{ID: fmt.Sprintf("w-%d", n), Service: service, Zone: zone, Ledger: p.ledger, Addr: p.address(n), Slots: workerSlots, Queue: workerQueue,
		Idle: workerIdle, Work: func(w *standin.Worker) time.Duration {
			return time.Duration(float64(work) * p.slowed.times(w) * (0.5 + rand.Float64()))
		}}
	if err := w.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.workers = append(p.workers, &listed{Worker: w, work: work})
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
		s.rows = append(s.rows, w.Row())
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
		"columns": standin.RowColumns(), "rows": rows[from:to]}})
}

// some is so many workers that are in service, by chance.
func (p *platform) some(r *rand.Rand, n int) (out []*listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range r.Perm(len(p.workers)) {
		w := p.workers[i]
		if !w.Closing() && !w.gone && len(out) < n {
			out = append(out, w)
		}
	}
	return out
}

// close takes a worker out of service in order and lists another one in its place.
func (p *platform) close(w *listed) error {
	w.Close()
	p.changed()
	if err := p.add(w.Service, w.Zone, w.work); err != nil {
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
	w.Stop()
}

// crash ends a worker at once; the list has it for a while.
func (p *platform) crash(w *listed, returnAfter time.Duration) error {
	w.Stop()
	time.Sleep(crashListed)
	p.remove(w)
	time.Sleep(max(returnAfter-crashListed, 0))
	return p.add(w.Service, w.Zone, w.work)
}

// stop ends all workers and the list.
func (p *platform) stop() {
	p.mu.Lock()
	workers := p.workers
	p.mu.Unlock()
	for _, w := range workers {
		w.Stop()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
}
