package gatekeeper

import (
	"time"

	"foxwood/policy"
)

// Clock tells the time in milliseconds since the Unix epoch. It is the only
// clock of a gatekeeper: all gatekeepers share the system's, since the windows
// of the shared counter are named by it. It never goes backwards.
type Clock struct {
	base  time.Time // read once; its monotonic part carries on from there
	first float64
	fixed bool
	at    float64
}

// NewClock makes a clock that follows the system's.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{base: now, first: float64(now.UnixNano()) / 1e6}
}

// Now is the time in milliseconds.
func (c *Clock) Now() float64 {
	if c.fixed {
		return c.at
	}
	return c.first + float64(time.Since(c.base))/1e6
}

// Set stops the clock at a time, for tests.
func (c *Clock) Set(ms float64) { c.fixed, c.at = true, ms }

// micros turns milliseconds into the decision module's time; it and millis are
// the one boundary between the two.
func micros(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

func millis(us policy.Micros) float64 { return float64(us) / 1000 }
