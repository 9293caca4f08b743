package emulator

import (
	"maps"
	"sync"
	"time"
)

// Ledger counts what workers ran. Several workers may share one.
type Ledger struct {
	mu      sync.Mutex
	arrived map[string]int       // by request id
	ran     map[string]int       // by request id
	keys    map[string]int       // runs by key
	seen    map[string]time.Time // first run of each key within the window
	totals  Totals
}

// Totals is the sums of a ledger.
type Totals struct {
	Arrived   int `json:"arrived"`   // requests whose last byte came
	Ran       int `json:"ran"`       // that began to run
	Dropped   int `json:"dropped"`   // repeats of a key that did not run
	Full      int `json:"full"`      // turned away for lack of room
	Withdrawn int `json:"withdrawn"` // given up by the gatekeeper before they ran
	Faults    int `json:"faults"`    // that met an injected fault
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{arrived: map[string]int{}, ran: map[string]int{}, keys: map[string]int{}, seen: map[string]time.Time{}}
}

// Totals is the sums up to now.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Ran is how often each request ran, by its id.
func (l *Ledger) Ran() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.ran)
}

// KeysRun is how often each key ran.
func (l *Ledger) KeysRun() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.keys)
}

func (l *Ledger) count(do func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(&l.totals)
}

func (l *Ledger) arrive(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[id]++
	l.totals.Arrived++
}

// run enters a run, unless the key has run within the window.
func (l *Ledger) run(id, key string, window time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		now := time.Now()
		if first, ok := l.seen[key]; ok && now.Sub(first) < window {
			l.totals.Dropped++
			return false
		}
		l.seen[key] = now
		l.keys[key]++
	}
	l.ran[id]++
	l.totals.Ran++
	return true
}
