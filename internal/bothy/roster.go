package bothy

import (
	"maps"
	"math"
	"slices"

	"foxwood/internal/waymark"
)

// roster is the workers that the platform lists, with the versions at which they changed, so
// that a gatekeeper is told only of what it lacks. A version is the term of the duty that
// polled it, and a number: only the holder makes new ones, and a later term's are higher.
type roster struct {
	version uint64
	whole   uint64 // changes are known since this version
	listed  map[string]*listed

	// What gatekeepers are told by destination: since when nothing from before is known to hold,
	// when each was last changed, and since when its changes are known.
	begun   uint64
	marks   map[string]uint64
	changes map[string]uint64
}

type listed struct {
	waymark.Worker
	changed uint64
	until   float64 // cold, by our clock
	goneAt  float64
	came    float64 // when it was first listed behind the first list, 0 for with it
	probed  float64 // last
	word    float64 // when it last told itself how long it stays cold
}

const (
	termShift = waymark.TermShift
	coldSlack = 300.0   // milliseconds by which two tellings of one cold time may differ
	keepGone  = 30000.0 // milliseconds that a worker that has gone is told of
)

func newRoster() *roster {
	return &roster{listed: map[string]*listed{}, marks: map[string]uint64{}, changes: map[string]uint64{}}
}

// next is the version of a change that a term makes.
func (r *roster) next(term uint64) uint64 {
	if r.version>>termShift < term {
		return term<<termShift | 1
	}
	return r.version + 1
}

// poll takes the platform's whole list. It tells whether anything has changed.
func (r *roster) poll(now float64, term uint64, list []waymark.Worker) bool {
	version := r.next(term)
	if r.version>>termShift < term { // what another term's holder changed last may be unknown here
		r.whole, r.begun = version, version
	}
	seen := make(map[string]bool, len(list))
	changed := false
	for _, w := range list {
		seen[w.ID] = true
		if r.put(now, w, version) {
			changed = true
		}
	}
	for id, l := range r.listed {
		switch {
		case seen[id]:
		case !l.Gone:
			l.Gone, l.changed, l.goneAt, changed = true, version, now, true
			r.marks[l.Destination] = version
		case now-l.goneAt > keepGone:
			delete(r.listed, id)
			r.whole = max(r.whole, l.changed)
			r.changes[l.Destination] = max(r.changes[l.Destination], l.changed)
		}
	}
	if changed || r.version>>termShift < term {
		r.version = version
		return true
	}
	return false
}

// put notes one worker, and tells whether that is news.
func (r *roster) put(now float64, w waymark.Worker, version uint64) bool {
	until := 0.0 // not seen cold
	if w.Cold > 0 {
		until = now + w.Cold
	}
	l := r.listed[w.ID]
	if l == nil {
		r.listed[w.ID] = &listed{Worker: w, changed: version, until: until}
		if r.version > 0 {
			r.listed[w.ID].came = now
		}
		r.marks[w.Destination] = version
		return true
	}
	if l.word > 0 && now-l.word < probeHolds { // its own word is newer than the list
		until = max(until, l.until)
	}
	same := l.Worker
	same.Cold = w.Cold
	cold := until > now && math.Abs(until-l.until) > coldSlack || until <= now && l.until > now+coldSlack
	if same == w && !cold {
		return false
	}
	if l.Destination != w.Destination { // who holds it there is not told that it is gone
		r.marks[l.Destination], r.changes[l.Destination] = version, version
	}
	r.marks[w.Destination] = version
	l.Worker, l.changed, l.until, l.goneAt = w, version, until, now
	return true
}

// since is what has changed since a version, nil if nothing has.
func (r *roster) since(now float64, have uint64) *waymark.Roster {
	if have == r.version || r.version == 0 || have > r.version {
		return nil
	}
	out := &waymark.Roster{Version: r.version, Whole: have < r.whole || have == 0}
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		l := r.listed[id]
		if out.Whole && l.Gone || !out.Whole && l.changed <= have {
			continue
		}
		w := l.Worker
		w.Cold = max(l.until-now, 0)
		out.Workers = append(out.Workers, w)
	}
	return out
}

// hear takes what another bothy's roster has that ours lacks.
func (r *roster) hear(now float64, n *waymark.Roster) bool {
	if n == nil || n.Version <= r.version {
		return false
	}
	if n.Whole {
		r.whole, r.begun = n.Version, n.Version
		named := map[string]bool{}
		for _, w := range n.Workers {
			named[w.ID] = true
		}
		for id, l := range r.listed {
			if !named[id] && !l.Gone {
				l.Gone, l.changed, l.goneAt = true, n.Version, now
				r.marks[l.Destination] = n.Version
			}
		}
	}
	for _, w := range n.Workers {
		// One that went and came back meanwhile looks as before here, but not to a gatekeeper that
		// another bothy has told of its going.
		if !r.put(now, w, n.Version) && !n.Whole {
			r.listed[w.ID].changed, r.marks[w.Destination] = n.Version, n.Version
		}
	}
	r.version = n.Version
	return true
}
