// Package stats keeps a gatekeeper's figures. The loop counts and publishes; any
// goroutine may read what was published last.
package stats

import (
	"strconv"
	"strings"
	"sync/atomic"

	"foxwood/gatekeeper"
)

// Gauges is what holds at the moment of a publication.
type Gauges struct {
	Pending     int // requests taken and not ended
	Members     int // workers in the list
	Unavailable int // of them, those that are avoided now
}

// Figures is the counts of one process, from 0. Its methods belong to the loop, but for
// Lines.
type Figures struct {
	places   []*class // by the number of a class in force
	all      []*class // in the order they were first named
	attempts uint64
	reloads  uint64
	refused  uint64 // files at SIGHUP
	lines    atomic.Pointer[[]byte]
}

// class is the counts of one class. It outlives its place in the table: requests that
// came with it may end after it was dropped.
type class struct {
	name string
	ends [3]uint64 // by gatekeeper.End
}

// Ended implements gatekeeper.Tally.
func (c *class) Ended(how gatekeeper.End) { c.ends[how]++ }

// New makes figures of 0 for classes by their names.
func New(names []string) *Figures {
	f := &Figures{}
	f.Name(names)
	f.Publish(Gauges{})
	return f
}

// Name says how the classes in force are called from now on. An empty name is none.
func (f *Figures) Name(names []string) {
	f.places = make([]*class, len(names))
	for i, name := range names {
		if name != "" {
			f.places[i] = f.named(clean(name))
		}
	}
}

func (f *Figures) named(name string) *class {
	for _, c := range f.all {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name}
	f.all = append(f.all, c)
	return c
}

// clean replaces what StatsD sets its fields apart by.
func clean(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ':' || r == '|' || r == '@' || r == '#' {
			return '_'
		}
		return r
	}, name)
}

// Class implements gatekeeper.Meter.
func (f *Figures) Class(i int) gatekeeper.Tally {
	if i < 0 || i >= len(f.places) || f.places[i] == nil {
		return nil
	}
	return f.places[i]
}

// Wrote implements gatekeeper.Meter.
func (f *Figures) Wrote() { f.attempts++ }

// Reloaded counts a file at SIGHUP.
func (f *Figures) Reloaded(taken bool) {
	if taken {
		f.reloads++
	} else {
		f.refused++
	}
}

// names of what a request ends as, by gatekeeper.End.
var ends = [3]string{"completed", "rejected", "failed"}

// Publish makes a copy of this moment for Lines.
func (f *Figures) Publish(g Gauges) {
	b := make([]byte, 0, 64*(3*len(f.all)+6))
	line := func(name, of string, v uint64, kind string) {
		b = append(append(b, "edge."...), name...)
		if of != "" {
			b = append(append(b, '.'), of...)
		}
		b = strconv.AppendUint(append(b, ':'), v, 10)
		b = append(append(append(b, '|'), kind...), '\n')
	}
	for _, c := range f.all {
		for how, name := range ends {
			line(name, c.name, c.ends[how], "c")
		}
	}
	line("upstream_requests", "", f.attempts, "c")
	line("config_reloads", "", f.reloads, "c")
	line("config_reload_errors", "", f.refused, "c")
	line("pending", "", uint64(max(g.Pending, 0)), "g")
	line("members", "", uint64(max(g.Members, 0)), "g")
	line("members_unavailable", "", uint64(max(g.Unavailable, 0)), "g")
	f.lines.Store(&b)
}

// Lines is what was published last, as StatsD lines. Any goroutine may call it; the text
// must not be changed.
func (f *Figures) Lines() []byte { return *f.lines.Load() }
