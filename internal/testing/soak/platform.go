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
	platformRatePerS  = 50.0                   // calls per second, beyond which calls get status 429
	platformLag       = 800 * time.Millisecond // after which changes of the list become visible
	platformPageRows  = 50                     // rows per page of the list of workers
	closingTime       = 4 * time.Second        // drain time of a worker, which is removed one second after it
	workerIdleTimeout = 8 * time.Second        // after which a worker closes an idle connection
	crashListedTime   = 3 * time.Second        // time that a crashed worker stays on the list
)

// workerSlots is the number of requests that a worker handles concurrently, workerQueue the number that may wait.
const (
	workerSlots = 2
	workerQueue = 6
)

// slowFactor is the factor by which a slow worker takes longer.
const slowFactor = 5.0

// workerSet is the set of workers that are currently in a trouble.
type workerSet struct {
	mu      sync.Mutex
	workers map[*standin.Worker]bool
}

// newWorkerSet returns an empty set.
func newWorkerSet() *workerSet { return &workerSet{workers: map[*standin.Worker]bool{}} }

// set adds a worker or removes it.
func (s *workerSet) set(w *standin.Worker, member bool) {
	s.mu.Lock()
	s.workers[w] = member
	s.mu.Unlock()
}

// has reports whether a worker is in the set.
func (s *workerSet) has(w *standin.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[w]
}

// platform simulates the platform's API, which lists the workers. It shows changes with a delay and limits the rate of
// calls.
type platform struct {
	addr        string
	ledger      *standin.ExecutionLog
	slowWorkers *workerSet
	breakers    *workerSet                              // workers that break off answers
	body        func(id string) string                  // body of an answer
	answer      func(breaksOff bool) standin.AnswerForm // draws how an answer is sent; nil for ordinary answers
	address     func(n int) string                      // returns the address of the n-th worker
	server      *http.Server

	mu           sync.Mutex
	workers      []*listedWorker
	workersAdded int // number of workers ever added
	snapshots    []snapshot
	recentCalls  []time.Time // times of the accepted calls of the last second
}

// listedWorker is a worker with its state on the list.
type listedWorker struct {
	*standin.Worker
	workTime time.Duration
	removed  bool
}

// snapshot is the list at a time; callers see it after platformLag.
type snapshot struct {
	at   time.Time
	rows [][]any
}

// addWorker starts a worker and adds it to the list.
func (p *platform) addWorker(service, zone string, workTime time.Duration) error {
	p.mu.Lock()
	n := p.workersAdded
	p.workersAdded++
	p.mu.Unlock()
	w := &standin.Worker{ID: fmt.Sprintf("w-%d", n), Service: service, Zone: zone, Log: p.ledger, Addr: p.address(n), Slots: workerSlots, Queue: workerQueue,
		IdleTimeout: workerIdleTimeout, WorkTime: func(w *standin.Worker) time.Duration {
			factor := 0.5 + rand.Float64()
			if p.slowWorkers.has(w) {
				factor *= slowFactor
			}
			return time.Duration(float64(workTime) * factor)
		}, Body: p.body}
	if p.answer != nil {
		w.Answer = func(w *standin.Worker) standin.AnswerForm { return p.answer(p.breakers.has(w)) }
	}
	if err := w.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.workers = append(p.workers, &listedWorker{Worker: w, workTime: workTime})
	p.mu.Unlock()
	p.recordList()
	return nil
}

// recordList records a snapshot of the current list.
func (p *platform) recordList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := snapshot{at: time.Now(), rows: [][]any{}}
	for _, w := range p.workers {
		if w.removed {
			continue
		}
		s.rows = append(s.rows, w.ListRow())
	}
	p.snapshots = append(p.snapshots, s)
}

// listedRows returns the newest snapshot that is at least platformLag old, or the first one. The caller must hold p.mu.
func (p *platform) listedRows() [][]any {
	rows := p.snapshots[0].rows
	for _, s := range p.snapshots {
		if time.Since(s.at) >= platformLag {
			rows = s.rows
		}
	}
	return rows
}

// serve starts to answer calls at the address of the platform.
func (p *platform) serve() error {
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return nil
}

// overRate reports whether a call exceeds the rate limit. The caller must hold p.mu.
func (p *platform) overRate(now time.Time) bool {
	for len(p.recentCalls) > 0 && now.Sub(p.recentCalls[0]) > time.Second {
		p.recentCalls = p.recentCalls[1:]
	}
	if len(p.recentCalls) >= platformRatePerS {
		return true
	}
	p.recentCalls = append(p.recentCalls, now)
	return false
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	limited, rows := p.overRate(time.Now()), p.listedRows()
	p.mu.Unlock()
	if limited {
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	from = min(max(from, 0), len(rows))
	to := min(from+platformPageRows, len(rows))
	var next any
	if to < len(rows) {
		next = strconv.Itoa(to)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"nextToken": next, "roster": map[string]any{
		"columns": standin.ListColumns(), "rows": rows[from:to]}})
}

// pickWorkers returns up to count random workers that are in service.
func (p *platform) pickWorkers(rng *rand.Rand, count int) (picked []*listedWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range rng.Perm(len(p.workers)) {
		w := p.workers[i]
		if !w.ShuttingDown() && !w.removed && len(picked) < count {
			picked = append(picked, w)
		}
	}
	return picked
}

// replaceWorker takes a worker out of service gracefully and adds another one in its place.
func (p *platform) replaceWorker(w *listedWorker) error {
	w.BeginShutdown()
	p.recordList()
	if err := p.addWorker(w.Service, w.Zone, w.workTime); err != nil {
		return err
	}
	time.Sleep(closingTime + time.Second)
	p.removeWorker(w)
	return nil
}

// removeWorker stops a worker and removes it from the list.
func (p *platform) removeWorker(w *listedWorker) {
	p.mu.Lock()
	w.removed = true
	p.mu.Unlock()
	p.recordList()
	w.Stop()
}

// crashWorker stops a worker at once, removes it from the list after crashListedTime and then adds another one in its
// place.
func (p *platform) crashWorker(w *listedWorker, returnAfter time.Duration) error {
	w.Stop()
	time.Sleep(crashListedTime)
	p.removeWorker(w)
	time.Sleep(max(returnAfter-crashListedTime, 0))
	return p.addWorker(w.Service, w.Zone, w.workTime)
}

// stop stops all workers and the API.
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
