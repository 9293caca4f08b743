package emulator

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// numbersPath is the prefix of the path for additions; the name follows.
const numbersPath = "/v2/numbers/"

const (
	maxNameLength = 64
	maxAmount     = 1e9
)

// CounterServer serves a Counter over HTTP/1.1, with one address for each side.
type CounterServer struct {
	mu        sync.Mutex // guards counter
	counter   *Counter
	startedAt time.Time
	servers   []*http.Server
	addrs     []string
}

// ServeCounter serves a counter at the given addresses; "127.0.0.1:0" selects a free port. The
// first address belongs to the first side, all others to the second.
func ServeCounter(c *Counter, addrs ...string) (*CounterServer, error) {
	s := &CounterServer{counter: c, startedAt: time.Now()}
	for side, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			s.Stop()
			return nil, fmt.Errorf("emulator: %w", err)
		}
		server := &http.Server{Handler: s.handler(min(side, 1))}
		s.servers, s.addrs = append(s.servers, server), append(s.addrs, listener.Addr().String())
		go func() { _ = server.Serve(listener) }()
	}
	return s, nil
}

// Addrs returns the addresses at which the counter is served, in the order of ServeCounter.
func (s *CounterServer) Addrs() []string { return s.addrs }

// Update applies a change to the counter while no call is being processed.
func (s *CounterServer) Update(change func(*Counter)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.counter)
}

// Stop closes all listeners and connections.
func (s *CounterServer) Stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// nowMS returns the time since the start in milliseconds.
func (s *CounterServer) nowMS() float64 {
	return float64(time.Since(s.startedAt)) / float64(time.Millisecond)
}

// handler returns the handler for one side. net/http answers the calls on a connection in
// order.
func (s *CounterServer) handler(side int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := strings.CutPrefix(r.URL.EscapedPath(), numbersPath)
		query := r.URL.Query()
		amount, amountErr := strconv.ParseFloat(query.Get("delta"), 64)
		lifetime, lifetimeErr := strconv.ParseFloat(query.Get("life_ms"), 64)
		switch {
		case r.Method != http.MethodPost || !ok || name == "" || len(name) > maxNameLength || strings.Contains(name, "/"):
			http.NotFound(w, r)
			return
		case amountErr != nil || lifetimeErr != nil || !(math.Abs(amount) <= maxAmount) || !(lifetime >= 1):
			http.Error(w, "delta and life_ms are numbers", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		answer := s.counter.Call(s.nowMS(), side, name, amount, lifetime)
		s.mu.Unlock()
		if answer.Outcome == NoResponse {
			<-r.Context().Done() // no response for as long as the caller waits
			panic(http.ErrAbortHandler)
		}
		if !sleep(r.Context(), answer.AtMS-s.nowMS()) {
			panic(http.ErrAbortHandler)
		}
		switch answer.Outcome {
		case Refused:
			w.WriteHeader(http.StatusServiceUnavailable)
		case InvalidResponse:
			_, _ = io.WriteString(w, "--")
		default:
			_, _ = io.WriteString(w, strconv.FormatFloat(answer.Total, 'g', 10, 64))
		}
	})
}

// sleep waits for the duration or until the context ends, and reports whether the context is
// still active.
func sleep(ctx context.Context, durationMS float64) bool {
	if durationMS <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(durationMS * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
