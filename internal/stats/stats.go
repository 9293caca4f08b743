// Package stats keeps the statistics of a gatekeeper and formats them as StatsD lines. The event
// loop counts and publishes; any goroutine may read what was published last.
package stats

import (
	"strconv"
	"strings"
	"sync/atomic"

	"foxwood/gatekeeper"
)

// Gauges is the values at the time of a publication.
type Gauges struct {
	Pending     int // requests accepted and not ended
	Members     int // workers in the list
	Unavailable int // workers in the list that get no requests at present
}

// Counters is the counters of one process, which start at 0. Only the event loop may call its
// methods, except Lines.
type Counters struct {
	byIndex         []*class // by the index of an active class
	classes         []*class // all classes, in the order in which they were first named
	attempts        uint64
	reloads         uint64
	rejectedReloads uint64 // configuration files rejected at SIGHUP
	lines           atomic.Pointer[[]byte]
}

// class is the counters of one request class. It is kept when the class is removed from the
// table, because requests of the class may end after that.
type class struct {
	name   string
	counts [3]uint64 // by gatekeeper.RequestResult
}

// RequestEnded implements gatekeeper.ClassMetrics.
func (c *class) RequestEnded(how gatekeeper.RequestResult) { c.counts[how]++ }

// New returns counters of 0 for the named classes.
func New(names []string) *Counters {
	f := &Counters{}
	f.SetClassNames(names)
	f.Publish(Gauges{})
	return f
}

// SetClassNames sets the names of the active classes, by their index. An empty name means that there is
// no class with that index.
func (f *Counters) SetClassNames(names []string) {
	f.byIndex = make([]*class, len(names))
	for i, name := range names {
		if name != "" {
			f.byIndex[i] = f.classNamed(sanitizeName(name))
		}
	}
}

// classNamed returns the counters of a class, which it creates at the first call.
func (f *Counters) classNamed(name string) *class {
	for _, c := range f.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name}
	f.classes = append(f.classes, c)
	return c
}

// sanitizeName replaces the characters that separate fields in a StatsD line.
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ':' || r == '|' || r == '@' || r == '#' {
			return '_'
		}
		return r
	}, name)
}

// Class implements gatekeeper.Metrics.
func (f *Counters) Class(i int) gatekeeper.ClassMetrics {
	if i < 0 || i >= len(f.byIndex) || f.byIndex[i] == nil {
		return nil
	}
	return f.byIndex[i]
}

// AttemptSent implements gatekeeper.Metrics.
func (f *Counters) AttemptSent() { f.attempts++ }

// CountReload counts a configuration file that was applied or rejected at SIGHUP.
func (f *Counters) CountReload(accepted bool) {
	if accepted {
		f.reloads++
	} else {
		f.rejectedReloads++
	}
}

// endNames is the names of the ways in which a request ends, by gatekeeper.RequestResult.
var endNames = [3]string{"completed", "rejected", "failed"}

// Publish formats the present counters and gauges for Lines.
func (f *Counters) Publish(g Gauges) {
	text := make([]byte, 0, 64*(3*len(f.classes)+6))
	line := func(name, class string, value uint64, kind string) {
		text = append(append(text, "edge."...), name...)
		if class != "" {
			text = append(append(text, '.'), class...)
		}
		text = strconv.AppendUint(append(text, ':'), value, 10)
		text = append(append(append(text, '|'), kind...), '\n')
	}
	for _, c := range f.classes {
		for how, name := range endNames {
			line(name, c.name, c.counts[how], "c")
		}
	}
	line("upstream_requests", "", f.attempts, "c")
	line("config_reloads", "", f.reloads, "c")
	line("config_reload_errors", "", f.rejectedReloads, "c")
	line("pending", "", uint64(max(g.Pending, 0)), "g")
	line("members", "", uint64(max(g.Members, 0)), "g")
	line("members_unavailable", "", uint64(max(g.Unavailable, 0)), "g")
	f.lines.Store(&text)
}

// Lines returns what was published last, as StatsD lines. Any goroutine may call it. The
// caller must not change the text.
func (f *Counters) Lines() []byte { return *f.lines.Load() }
