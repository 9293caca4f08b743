package gatekeeper

import (
	"time"

	"foxwood/policy"
)

// Clock tells the time in milliseconds since the Unix epoch. It is the only
// clock of a gatekeeper: all gatekeepers share the system's, since the windows
// of the shared counter are named by it. It never goes backwards: where the
// system's is set anew, it gains or loses a tenth until they agree.
type Clock struct {
	system func() (wall, running float64)
	ran    float64
	at     float64
	fixed  bool
}

// slew is the part of the time gone by that may be made up for.
const slew = 0.1

// NewClock makes a clock that follows the system's.
func NewClock() *Clock {
	start := time.Now()
	c := &Clock{system: func() (wall, running float64) {
		now := time.Now()
		return float64(now.UnixNano()) / 1e6, float64(now.Sub(start)) / 1e6
	}}
	c.at, c.ran = c.system()
	return c
}

// Now is the time in milliseconds.
func (c *Clock) Now() float64 {
	if c.fixed {
		return c.at
	}
	wall, ran := c.system()
	gone := ran - c.ran
	c.ran = ran
	c.at += gone
	c.at += min(max(wall-c.at, -slew*gone), slew*gone)
	return c.at
}

// Set stops the clock at a time, for tests.
func (c *Clock) Set(ms float64) { c.fixed, c.at = true, ms }

// micros turns milliseconds into the decision module's time; it and millis are
// the one boundary between the two.
func micros(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

func millis(us policy.Micros) float64 { return float64(us) / 1000 }
