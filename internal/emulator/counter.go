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

// numbersPath is where a counter's numbers are.
const numbersPath = "/v2/numbers/"

const (
	nameMost   = 64
	amountMost = 1e9
)

// CounterServer serves a Counter over HTTP/1.1, at an address for each of its sides.
type CounterServer struct {
	mu      sync.Mutex // of counter
	counter *Counter
	began   time.Time
	servers []*http.Server
	addrs   []string
}

// ServeCounter has a counter serve at some addresses, "127.0.0.1:0" for any free port. The
// first is of the first side, the second of the second.
func ServeCounter(c *Counter, addrs ...string) (*CounterServer, error) {
	s := &CounterServer{counter: c, began: time.Now()}
	for side, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			s.Stop()
			return nil, fmt.Errorf("emulator: %w", err)
		}
		server := &http.Server{Handler: s.side(min(side, 1))}
		s.servers, s.addrs = append(s.servers, server), append(s.addrs, ln.Addr().String())
		go func() { _ = server.Serve(ln) }()
	}
	return s, nil
}

// Addrs is where it serves, in the order of the sides.
func (s *CounterServer) Addrs() []string { return s.addrs }

// Do changes the counter between two calls.
func (s *CounterServer) Do(change func(*Counter)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.counter)
}

// Stop ends serving.
func (s *CounterServer) Stop() {
	for _, x := range s.servers {
		_ = x.Close()
	}
}

func (s *CounterServer) now() float64 {
	return float64(time.Since(s.began)) / float64(time.Millisecond)
}

// side answers calls at one of the sides. Calls on one connection are answered in their
// order, as net/http does.
func (s *CounterServer) side(n int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := strings.CutPrefix(r.URL.EscapedPath(), numbersPath)
		q := r.URL.Query()
		amount, err := strconv.ParseFloat(q.Get("delta"), 64)
		life, bad := strconv.ParseFloat(q.Get("life_ms"), 64)
		switch {
		case r.Method != http.MethodPost || !ok || name == "" || len(name) > nameMost || strings.Contains(name, "/"):
			http.NotFound(w, r)
			return
		case err != nil || bad != nil || !(math.Abs(amount) <= amountMost) || !(life >= 1):
			http.Error(w, "delta and life_ms are numbers", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		a := s.counter.Call(s.now(), n, name, amount, life)
		s.mu.Unlock()
		if a.Heard == Nothing {
			<-r.Context().Done() // for as long as its caller waits
			panic(http.ErrAbortHandler)
		}
		if !sleep(r.Context(), a.At-s.now()) {
			panic(http.ErrAbortHandler)
		}
		switch a.Heard {
		case TurnedAway:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Noise:
			_, _ = io.WriteString(w, "--")
		default:
			_, _ = io.WriteString(w, strconv.FormatFloat(a.Total, 'g', 10, 64))
		}
	})
}

// sleep waits for some milliseconds, or until a caller has left.
func sleep(ctx context.Context, ms float64) bool {
	if ms <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
