// Package membership keeps who is a member: gatekeepers sign with one bothy each, the bothies
// tell each other their sessions, and a gatekeeper is a member while it signs with any of them.
//
// Times are milliseconds of the caller's steady clock. Between bothies only ages travel, since
// their clocks have nothing in common.
package membership

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// DefaultLapseMs is how long a guest stays a member without a sign: three waits of its call.
	DefaultLapseMs = 1500
	// keepMs is how long a guest that lapsed is still known, and how long a dead life is remembered.
	keepMs = 30_000
	// partingMs is how long a page repeats that a guest left, for pages that get lost.
	partingMs = 5000
	// freshMs is how long another bothy counts as in touch without a page: two that were lost, and less than it takes
	// for sessions that it told of to lapse.
	freshMs = 700
	// driftPart is by how much of the time two clocks may run apart.
	driftPart = 0.001
)

// Member is what a gatekeeper says of itself when it signs.
type Member struct {
	Station string  `cbor:"1,keyasint,omitempty"`
	Zone    string  `cbor:"2,keyasint,omitempty"`
	Region  string  `cbor:"3,keyasint,omitempty"`
	Life    uint64  `cbor:"4,keyasint,omitempty"` // drawn at random by each process
	Turn    uint64  `cbor:"5,keyasint,omitempty"` // counts the signs of this life, so that a page that came late can't undo a newer sign
	Counter string  `cbor:"6,keyasint,omitempty"` // ip:port for clients
	Inner   string  `cbor:"7,keyasint,omitempty"` // ip:port for other gatekeepers
	Ready   bool    `cbor:"8,keyasint,omitempty"`
	Leaving bool    `cbor:"9,keyasint,omitempty"`
	Load    float64 `cbor:"10,keyasint,omitempty"`
	Alone   bool    `cbor:"11,keyasint,omitempty"` // overloaded while the others are not: clients better go to these
}

// Session is a guest that signs with the bothy that tells it.
type Session struct {
	Member Member  `cbor:"1,keyasint,omitempty"`
	AgeMs  float64 `cbor:"2,keyasint,omitempty"` // since its last sign
	Gone   bool    `cbor:"3,keyasint,omitempty"` // it has said goodbye
}

// Page is what one bothy tells the others.
type Page struct {
	From     string    `cbor:"1,keyasint,omitempty"`
	Life     uint64    `cbor:"2,keyasint,omitempty"` // of the bothy's process
	Serial   uint64    `cbor:"3,keyasint,omitempty"` // rises within that life
	Sessions []Session `cbor:"4,keyasint,omitempty"`
	Briefs   []Brief   `cbor:"5,keyasint,omitempty"` // of sessions whose guests were told before
	// At is when it was made, by the teller's clock and never 0 then. A page that lay in a process that stood
	// still says how old its sessions were then; against other pages' times that shows.
	At float64 `cbor:"6,keyasint,omitempty"`
}

// Brief is a session whose guest the hearer knows as it is.
type Brief struct {
	Life  uint64  `cbor:"1,keyasint,omitempty"`
	Turn  uint64  `cbor:"2,keyasint,omitempty"`
	AgeMs float64 `cbor:"3,keyasint,omitempty"`
}

// Roll is the members at one moment.
type Roll struct {
	Book    uint64   // life of the bothy; versions compare only within it
	Version uint64   // rises when a member comes, goes or changes; Load alone doesn't count
	Members []Member // sorted by Station
}

// Place is the station's place in the agreed order and how many have one; -1 if it has none.
func (r Roll) Place(station string) (place, n int) {
	i, ok := slices.BinarySearchFunc(r.Members, station, func(g Member, s string) int {
		if g.Station < s {
			return -1
		} else if g.Station > s {
			return 1
		}
		return 0
	})
	if !ok {
		return -1, len(r.Members)
	}
	return i, len(r.Members)
}

// entry is the freshest that is known of a station, whoever told it.
type entry struct {
	guest Member
	at    float64            // of its last sign
	gone  bool               // it said goodbye
	dead  map[uint64]float64 // lives that were replaced, and when
	came  float64            // when the life was first heard of
	last  float64            // the same of the life before, -Inf for none
}

// session is a sign given to this bothy.
type session struct {
	guest Member
	at    float64
	gone  bool
}

// teller is another bothy.
type teller struct {
	life, serial uint64
	at           float64
	since        float64 // it has been in touch
	dead         map[uint64]float64
	ahead        float64 // how far our clock is ahead of its, by the page that was fastest here
	timed        bool
}

// late is how much longer than others a page was on its way.
func (t *teller) late(now, at float64) float64 {
	if at == 0 {
		return 0
	}
	if ahead := now - at; !t.timed {
		t.ahead, t.timed = ahead, true
	} else {
		t.ahead = min(ahead, t.ahead+driftPart*(now-t.at))
	}
	return now - at - t.ahead
}

// Book is one bothy's view of all sessions. It isn't safe for use by several goroutines.
type Book struct {
	self    string
	life    uint64
	lapse   float64
	born    float64
	serial  uint64
	own     map[string]session
	entries map[string]*entry
	tellers map[string]*teller
	roll    Roll
	rollTo  float64 // until when it holds if nothing changes, 0 for not at all
	// recalled is when this process learned of a life of a station that an earlier process had noted.
	recalled map[string]float64
}

// New opens an empty book. The life is drawn at random by the caller for each process: without
// it the pages of a bothy that was restarted would look older than those before.
func New(self string, life uint64, now, lapseMs float64) *Book {
	if lapseMs <= 0 {
		lapseMs = DefaultLapseMs
	}
	return &Book{self: self, life: life, lapse: lapseMs, born: now, own: map[string]session{}, entries: map[string]*entry{},
		tellers: map[string]*teller{}, roll: Roll{Book: life, Version: 1}}
}

// Sign takes a sign that was given to this bothy.
func (b *Book) Sign(now float64, g Member) {
	if b.note(now, now, g, false) {
		b.own[g.Station] = session{guest: g, at: now}
	}
}

// Leave takes a guest's goodbye: the process ends, and no page told before can bring it back. A
// session whose connection broke is no goodbye, since the guest may sign elsewhere.
func (b *Book) Leave(now float64, station string, life uint64) {
	e := b.entries[station]
	if e == nil || e.guest.Life != life {
		return
	}
	e.gone, e.at = true, now
	b.rollTo = 0
	b.own[station] = session{guest: e.guest, at: now, gone: true}
}

// Tell is the page for the other bothies. Lapsed sessions are in it as long as they are Known, so
// that a bothy that has just started keeps the same in reserve.
func (b *Book) Tell(now float64) Page {
	b.sweep(now)
	b.serial++
	p := Page{From: b.self, Life: b.life, Serial: b.serial, At: math.Round(now) + 1}
	for _, name := range slices.Sorted(maps.Keys(b.own)) {
		s := b.own[name]
		p.Sessions = append(p.Sessions, Session{Member: s.guest, AgeMs: max(0, now-s.at), Gone: s.gone})
	}
	return p
}

// Hear takes another bothy's page. One that was overtaken is dropped, for its ages would make old
// sessions look fresh. A bothy that falls silent needs no care: its sessions age.
func (b *Book) Hear(now float64, p Page) {
	if p.From == b.self {
		return
	}
	t := b.tellers[p.From]
	switch {
	case t == nil:
		t = &teller{life: p.Life, dead: map[uint64]float64{}}
		b.tellers[p.From] = t
	case t.life == p.Life:
		if p.Serial <= t.serial {
			return
		}
	default:
		if _, dead := t.dead[p.Life]; dead && now-t.at <= 2*b.lapse {
			return
		}
		delete(t.dead, p.Life)
		t.dead[t.life] = now
		t.life, t.timed = p.Life, false
	}
	late := t.late(now, p.At)
	if t.at == 0 || now-t.at > freshMs {
		t.since = now
	}
	t.serial, t.at = p.Serial, now
	for _, s := range p.Sessions {
		b.note(now, now-late-max(0, s.AgeMs), s.Member, s.Gone)
	}
	if len(p.Briefs) == 0 {
		return
	}
	lives := make(map[uint64]*entry, len(b.entries))
	for _, e := range b.entries {
		lives[e.guest.Life] = e
	}
	for _, s := range p.Briefs {
		if e := lives[s.Life]; e != nil { // else a whole page will tell
			g := e.guest
			g.Turn = s.Turn
			b.note(now, now-late-max(0, s.AgeMs), g, false)
		}
	}
}

// Mark changes with what Tell says beside ages and turns: while it is the same, who has heard a
// whole page needs a brief one only.
func (b *Book) Mark(now float64) uint64 {
	b.sweep(now)
	h := xxh3.New()
	for _, name := range slices.Sorted(maps.Keys(b.own)) {
		s := b.own[name]
		s.guest.Turn, s.guest.Load = 0, 0
		_, _ = fmt.Fprint(h, s.guest, s.gone)
	}
	return h.Sum64()
}

// Brief is the page for who has heard a whole one under the same mark: sessions that stand.
func (b *Book) Brief(now float64) Page {
	b.serial++
	p := Page{From: b.self, Life: b.life, Serial: b.serial, At: math.Round(now) + 1}
	for _, name := range slices.Sorted(maps.Keys(b.own)) {
		if s := b.own[name]; !s.gone && now-s.at <= b.lapse {
			p.Briefs = append(p.Briefs, Brief{Life: s.guest.Life, Turn: s.guest.Turn, AgeMs: math.Round(max(0, now-s.at))})
		}
	}
	return p
}

// note takes one sign, given at the time `at`, and says whether it counts.
//
// Of two lives of a station the one with the fresher sign holds, and the other is dead: a late
// page of it counts for nothing. Only when the life that replaced it has been silent for two
// lapses does a dead one return; else a page that came very late could shut out a living
// gatekeeper until its next start.
func (b *Book) note(now, at float64, g Member, gone bool) bool {
	if now-at > keepMs {
		return false
	}
	e := b.entries[g.Station]
	if e == nil || gone || e.gone || now-e.at > b.lapse || !same(e.guest, g) {
		b.rollTo = 0
	}
	if e == nil {
		b.entries[g.Station] = &entry{guest: g, at: at, gone: gone, dead: map[uint64]float64{}, came: now, last: b.lastOf(g.Station)}
		return true
	}
	if e.guest.Life == g.Life {
		if e.gone {
			return false
		}
		if gone || g.Turn > e.guest.Turn || g.Turn == e.guest.Turn && at >= e.at {
			e.guest, e.gone = g, gone
		} else if g.Turn < e.guest.Turn {
			return false
		}
		e.at = max(e.at, at)
		return true
	}
	if _, dead := e.dead[g.Life]; dead && at-e.at <= 2*b.lapse {
		return false
	}
	if at <= e.at {
		e.dead[g.Life] = now
		return false
	}
	delete(e.dead, g.Life)
	e.dead[e.guest.Life] = now
	e.guest, e.at, e.gone = g, at, gone
	e.came, e.last = now, e.came
	return true
}

// Again tells whether an earlier life of the station was first heard of less than so long ago: what a
// life may take once in that time may have been taken. A bothy that has just started takes all lives
// for new ones.
func (b *Book) Again(now float64, station string, within float64) bool {
	e := b.entries[station]
	return e != nil && now-e.last < within
}

// Recall brings the stations of which an earlier process of this registry noted that a life had begun of late. It may
// have begun right before this process did.
func (b *Book) Recall(now float64, stations []string) {
	b.recalled = make(map[string]float64, len(stations))
	for _, s := range stations {
		b.recalled[s] = now
	}
}

// lastOf is when a life of a station that is new here was heard of before, by an earlier process; -Inf for never.
func (b *Book) lastOf(station string) float64 {
	at, ok := b.recalled[station]
	if !ok {
		return math.Inf(-1)
	}
	delete(b.recalled, station)
	return at
}

// Began tells whether a station's life was first heard of less than so long ago.
func (b *Book) Began(now float64, station string, within float64) bool {
	e := b.entries[station]
	return e != nil && now-e.came < within
}

// Recent is the stations of which a life was first heard of less than so long ago, here or by an earlier process, in order.
func (b *Book) Recent(now, within float64) (stations []string) {
	for name, e := range b.entries {
		if now-max(e.came, e.last) < within {
			stations = append(stations, name)
		}
	}
	for name, at := range b.recalled {
		if now-at < within {
			stations = append(stations, name)
		}
	}
	slices.Sort(stations)
	return stations
}

// Members is the roll of now. Members must not be changed by the caller; their Turn and Load may be
// those of a second ago. It is asked for at every sign, so it is made anew only where a member has
// come, gone or changed, or may have lapsed.
func (b *Book) Members(now float64) Roll {
	if now < b.rollTo {
		return b.roll
	}
	b.sweep(now)
	b.rollTo = now + b.lapse
	var guests []Member
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[name]; !e.gone && now-e.at <= b.lapse {
			guests = append(guests, e.guest)
			b.rollTo = min(b.rollTo, e.at+b.lapse)
		}
	}
	if !slices.EqualFunc(guests, b.roll.Members, same) {
		b.roll.Version++
	}
	b.roll.Members = guests
	return b.roll
}

// same leaves out what changes with every sign: it would make a new version of each.
func same(x, y Member) bool {
	x.Turn, x.Load = y.Turn, y.Load
	return x == y
}

// Known is the members and those that lapsed or left within the last 30 s, for whom something is
// still kept in reserve.
func (b *Book) Known(now float64) []string {
	b.sweep(now)
	return slices.Sorted(maps.Keys(b.entries))
}

// Heard is the bothies whose pages came within a lapse.
func (b *Book) Heard(now float64) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(b.tellers)) {
		if now-b.tellers[name].at <= b.lapse {
			names = append(names, name)
		}
	}
	return names
}

// Settled tells whether the roll may be passed on: all the other bothies are in touch, or a majority of them all has
// been for a lapse. A roll told otherwise may lack most members, as those that sign elsewhere have lapsed here or
// were not heard of yet, and gatekeepers would divide what they share by too few.
func (b *Book) Settled(now float64, bothies []string) bool {
	others, inTouch := 0, make([]float64, 0, len(bothies))
	for _, name := range bothies {
		if name == b.self {
			continue
		}
		others++
		if t := b.tellers[name]; t != nil && now-t.at <= freshMs {
			inTouch = append(inTouch, t.since)
		}
	}
	if len(inTouch) == others {
		return true
	}
	needed := (others + 1) / 2 // with this one they are more than half
	if len(inTouch) < needed {
		return false
	}
	slices.Sort(inTouch)
	return now-inTouch[needed-1] >= b.lapse
}

// AsOf is a time as of which the roll has all members: when the one of the other bothies was
// heard that has been silent longest. It is not known where one was never heard.
func (b *Book) AsOf(now float64, bothies []string) (at float64, known bool) {
	at = now
	for _, name := range bothies {
		if name == b.self {
			continue
		}
		t := b.tellers[name]
		if t == nil {
			return 0, false
		}
		at = min(at, t.at)
	}
	return at, true
}

// sweep forgets what can't matter any more.
func (b *Book) sweep(now float64) {
	for name, s := range b.own {
		if now-s.at > keepMs || s.gone && now-s.at > partingMs {
			delete(b.own, name)
		}
	}
	for name, e := range b.entries {
		if now-e.at > keepMs {
			delete(b.entries, name)
			continue
		}
		forget(e.dead, now)
	}
	for name, t := range b.tellers {
		if now-t.at > keepMs {
			delete(b.tellers, name)
			continue
		}
		forget(t.dead, now)
	}
}

func forget(dead map[uint64]float64, now float64) {
	maps.DeleteFunc(dead, func(_ uint64, at float64) bool { return now-at > keepMs })
}
