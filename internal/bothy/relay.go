package bothy

import (
	"maps"
	"slices"

	"foxwood/internal/configcache"
	"foxwood/internal/membership"
	"foxwood/internal/waymark"
)

// relayMost is the bytes of a configuration that a zone's home hands on.
const relayMost = 8 << 10

// relay puts what a gatekeeper is to hear of the configuration and the workers into its answer,
// and tells whether there is news. Bytes between zones are dear: only the zone's homes get bodies
// and parts, and who holds nothing yet, or has not got them from the homes. The lock is held.
func (b *Bothy) relay(now float64, roll membership.Roll, q *waymark.Sign, a *waymark.Signed) (some bool) {
	g := &q.Member
	own := func(service string) bool {
		home := membership.Home(roll, g.Zone, service)
		return home == "" || home == g.Inner
	}
	a.Edition = b.state.Edition
	if b.state.Edition > q.Edition {
		some = true
		// A large one goes to each: over a thin link its home would have it out for seconds, ahead of
		// its own clients' answers.
		if q.Edition == 0 || q.Body || own(configcache.Timetable) || len(b.packed) > relayMost {
			a.Body = b.packed
		} else {
			a.Bulk = len(b.packed)
		}
	}
	a.Marks = b.roster.news(q.Roster)
	for _, name := range slices.Sorted(maps.Keys(b.roster.marks)) {
		have, wanted := q.Want[name]
		if !wanted {
			have = q.Roster
			if b.roster.mark(name) <= have || have > 0 && !own(name) {
				continue
			}
		}
		if p := b.roster.part(now, name, have); p != nil {
			a.Parts = append(a.Parts, *p)
		}
	}
	return some || a.Marks != nil || len(a.Parts) > 0
}

// mark is when a destination was last changed.
func (r *roster) mark(name string) uint64 { return max(r.marks[name], r.begun) }

// news is which destinations have changed since a version, nil if none.
func (r *roster) news(have uint64) *waymark.Marks {
	if have >= r.version {
		return nil
	}
	m := &waymark.Marks{Version: r.version, Whole: have < r.begun || have == 0, Behind: map[string]uint64{}}
	for name := range r.marks {
		if at := r.mark(name); m.Whole || at > have {
			m.Behind[name] = r.version - at
		}
	}
	return m
}

// part is a destination's workers for who holds those of a version, nil if it holds them all.
func (r *roster) part(now float64, name string, have uint64) *waymark.Part {
	if r.mark(name) <= have || r.marks[name] == 0 {
		return nil
	}
	p := &waymark.Part{Destination: name, Version: r.version, Since: have}
	if have < max(r.begun, r.changes[name]) {
		p.Since = 0
	}
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		l := r.listed[id]
		if l.Destination != name || p.Since == 0 && l.Gone || p.Since > 0 && l.changed <= have {
			continue
		}
		w := l.Worker
		w.Destination, w.Cold = "", max(l.until-now, 0)
		p.Workers = append(p.Workers, w)
	}
	return p
}
