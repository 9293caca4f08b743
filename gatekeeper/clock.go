package gatekeeper

import (
	"time"

	"foxwood/policy"
)

// Clock tells the time in milliseconds. A clock of NewClock counts since the Unix
// epoch, as the windows of the shared counter are named by time and all gatekeepers
// have to agree on them. It never goes backwards: when the system clock is adjusted,
// it runs up to a tenth faster or slower until the two agree.
type Clock struct {
	readSystem  func() (wall, running float64)
	lastRunning float64
	now         float64
	fixed       bool
}

// slew is the largest correction towards the system clock, as a fraction of the
// elapsed time.
const slew = 0.1

// NewClock creates a clock that follows the system's wall clock.
func NewClock() *Clock {
	start := time.Now()
	c := &Clock{readSystem: func() (wall, running float64) {
		now := time.Now()
		return float64(now.UnixNano()) / 1e6, float64(now.Sub(start)) / 1e6
	}}
	c.now, c.lastRunning = c.readSystem()
	return c
}

// NewMonotonicClock creates a clock that starts at the given time in milliseconds and
// follows only the system's monotonic clock. It suits callers that need no common time
// of day and must not be affected by adjustments of the wall clock.
func NewMonotonicClock(at float64) *Clock {
	start := time.Now()
	c := &Clock{readSystem: func() (wall, _ float64) {
		running := float64(time.Since(start)) / 1e6
		return at + running, running
	}}
	c.now, c.lastRunning = c.readSystem()
	return c
}

// Now returns the time in milliseconds.
func (c *Clock) Now() float64 {
	if c.fixed {
		return c.now
	}
	wall, running := c.readSystem()
	elapsed := running - c.lastRunning
	c.lastRunning = running
	c.now += elapsed
	c.now += min(max(wall-c.now, -slew*elapsed), slew*elapsed)
	return c.now
}

// Set stops the clock at a time in milliseconds, for tests and simulations.
func (c *Clock) Set(ms float64) { c.fixed, c.now = true, ms }

// micros converts milliseconds to the decision module's microseconds. This package
// calculates in milliseconds, and only micros and millis convert between the two.
func micros(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

// millis converts the decision module's microseconds to milliseconds.
func millis(us policy.Micros) float64 { return float64(us) / 1000 }
