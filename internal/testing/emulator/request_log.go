package emulator

import (
	"maps"
	"sync"
	"time"
)

// RequestLog counts the requests that workers received and ran. Several workers may share one.
type RequestLog struct {
	mu           sync.Mutex
	arrivalsByID map[string]int       // received requests by request ID
	runsByID     map[string]int       // executions by request ID
	runsByKey    map[string]int       // executions by idempotency key
	firstRuns    map[string]time.Time // first execution of each key within the repeat window
	totals       RequestTotals
}

// RequestTotals are the sums of a request log.
type RequestTotals struct {
	Arrived   int `json:"arrived"`   // requests received
	Ran       int `json:"ran"`       // requests that began to run
	Dropped   int `json:"dropped"`   // repeats of an idempotency key, which were not run
	Rejected  int `json:"full"`      // requests rejected with X-Never-Ran, because the queue was full or by an injected fault
	Cancelled int `json:"withdrawn"` // requests that the gatekeeper cancelled before they ran
	Faults    int `json:"faults"`    // requests with an injected fault
}

// NewRequestLog returns an empty request log.
func NewRequestLog() *RequestLog {
	return &RequestLog{arrivalsByID: map[string]int{}, runsByID: map[string]int{}, runsByKey: map[string]int{}, firstRuns: map[string]time.Time{}}
}

// Totals returns the current sums.
func (l *RequestLog) Totals() RequestTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// RunsByID returns how often each request ran, by request ID.
func (l *RequestLog) RunsByID() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runsByID)
}

// RunsByKey returns how often a request with each idempotency key ran.
func (l *RequestLog) RunsByKey() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runsByKey)
}

// updateTotals changes the totals under the lock.
func (l *RequestLog) updateTotals(update func(*RequestTotals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.totals)
}

// recordArrival counts a received request.
func (l *RequestLog) recordArrival(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivalsByID[id]++
	l.totals.Arrived++
}

// recordRun counts an execution and returns true, unless a request with the same idempotency
// key has run within the window.
func (l *RequestLog) recordRun(id, key string, window time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		now := time.Now()
		if first, ok := l.firstRuns[key]; ok && now.Sub(first) < window {
			l.totals.Dropped++
			return false
		}
		l.firstRuns[key] = now
		l.runsByKey[key]++
	}
	l.runsByID[id]++
	l.totals.Ran++
	return true
}
