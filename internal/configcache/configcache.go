// Package configcache is what a gatekeeper holds and hands on: the configuration, the evacuations and
// the workers by destination. It says what is lacking of what was announced, whom to ask for it,
// and what a neighbour can be given. Nothing in it ever goes back: editions and versions only
// rise, whoever tells them.
//
// Times are milliseconds of the caller's steady clock.
package configcache

import (
	"maps"
	"slices"

	"foxwood/internal/membership"
	"foxwood/internal/waymark"
)

// Timetable is the name of the configuration among the services that have a home.
const Timetable = "timetable"

// awayMs is how long a home is left alone that failed, was late or had less than was announced:
// without it a dead one would delay each piece of news anew.
const awayMs = 1000

// Cache is what one gatekeeper holds. It isn't safe for use by several goroutines.
type Cache struct {
	edition uint64
	body    []byte
	told    uint64 // the highest edition that was announced
	bulk    int    // bytes of its body, 0 if not known
	tried   uint64 // the edition that a home was last asked for

	evac      uint64
	evacuated []string
	takenBack []string // zones whose evacuations were, not asked for yet

	shadow uint64 // number of the order for copies
	order  []byte

	struck     map[string]uint64 // workers to send nothing more to, with the version known then
	struckMark uint64            // of those heard of last

	heard    uint64 // version up to which all marks are known
	services map[string]*service
	away     map[string]float64 // homes that are left alone, until when
}

// service is the workers of one destination.
type service struct {
	have, want uint64 // the version held, and the lowest that will do
	tried      uint64 // the version that a home was last asked for
	turn       uint64 // rises when the workers change
	since      uint64 // from this version on all changes are known
	workers    map[string]kept
	gone       map[string]gone
}

type kept struct {
	waymark.Worker
	until   float64 // cold
	changed uint64
}

// gone is a worker that is listed no more.
type gone struct {
	at      float64
	changed uint64
}

// goneMs is how long a worker that has gone is told of. Who asks for changes from before is given
// all there is.
const goneMs = 30_000

// New makes an empty one.
func New() *Cache { return &Cache{services: map[string]*service{}, away: map[string]float64{}} }

func (l *Cache) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{workers: map[string]kept{}, gone: map[string]gone{}}
		l.services[name] = s
	}
	return s
}

// Question fills in what a sign says of what is held. What is lacking is wanted from the bothy:
// the homes have been asked by then.
func (l *Cache) Question(q *waymark.Sign) {
	q.Edition, q.Evac, q.Roster, q.Body, q.Want, q.Shadow = l.edition, l.evac, l.heard, l.told > l.edition, nil, l.shadow
	q.Struck = l.struckMark
	for name, s := range l.services {
		if s.have < s.want {
			if q.Want == nil {
				q.Want = map[string]uint64{}
			}
			q.Want[name] = s.have
		}
	}
}

// Hear takes a bothy's news, but for the configuration's body.
func (l *Cache) Hear(now float64, a *waymark.Signed) {
	if a.Edition > l.told {
		l.told, l.bulk = a.Edition, a.Bulk
	}
	if a.HasEvac {
		if a.Evac > l.evac {
			l.takenBack = append(l.takenBack, a.TakenBack...)
		}
		l.Evacuate(a.Evac, a.Evacuated)
	}
	l.Shadow(a.Shadow, a.Order)
	defer l.strike(a)
	m := a.Marks
	if m != nil {
		for name, behind := range m.Behind {
			s := l.service(name)
			s.want = max(s.want, m.Version-behind)
		}
		for name, s := range l.services {
			if _, named := m.Behind[name]; m.Whole && !named && s.have < m.Version {
				s.put(m.Version, nil, true, now)
			}
		}
		l.heard = max(l.heard, m.Version)
	}
	l.Stock(now, a.Parts)
	if m != nil { // what has not changed stands for the new version too
		for _, s := range l.services {
			if s.have >= s.want {
				s.have = max(s.have, m.Version)
			}
		}
	}
}

// Stock takes parts. Changes since a version that is not held are left: something would lack.
func (l *Cache) Stock(now float64, parts []waymark.Part) {
	for _, p := range parts {
		if s := l.service(p.Destination); p.Version > s.have && (p.Since == 0 || p.Since <= s.have) {
			s.put(p.Version, p.Workers, p.Since == 0, now)
		}
	}
}

func (s *service) put(version uint64, workers []waymark.Worker, whole bool, now float64) {
	if whole { // what changed on the way to it, and changed back, is not known
		clear(s.workers)
		clear(s.gone)
		s.since = version
	}
	for id, x := range s.gone {
		if now-x.at > goneMs {
			s.since = max(s.since, x.changed)
			delete(s.gone, id)
		}
	}
	for _, w := range workers {
		if w.Gone {
			delete(s.workers, w.ID)
			s.gone[w.ID] = gone{now, version}
			continue
		}
		delete(s.gone, w.ID)
		k := kept{Worker: w, changed: version}
		if w.Cold > 0 {
			k.until = now + w.Cold
		}
		k.Destination, k.Cold = "", 0
		s.workers[w.ID] = k
	}
	s.have, s.want = version, max(s.want, version)
	s.turn++
}

// Body takes a configuration that was read, and tells whether it is newer.
func (l *Cache) Body(edition uint64, body []byte) bool {
	if edition <= l.edition {
		return false
	}
	l.edition, l.body = edition, body
	l.told = max(l.told, edition)
	return true
}

// Evacuate takes a newer list of evacuated zones.
func (l *Cache) Evacuate(evac uint64, zones []string) {
	if evac > l.evac {
		l.evac, l.evacuated = evac, zones
	}
}

// Shadow takes a newer order for copies.
func (l *Cache) Shadow(number uint64, order []byte) {
	if number > l.shadow && len(order) > 0 {
		l.shadow, l.order = number, order
	}
}

// Order is the order for copies and its number, 0 where there never was one.
func (l *Cache) Order() (uint64, []byte) { return l.shadow, l.order }

// Edition is the configuration's that is held.
func (l *Cache) Edition() uint64 { return l.edition }

// Heard is the version of the workers that was last announced.
func (l *Cache) Heard() uint64 { return l.heard }

// Evacuated is the evacuated zones and their number.
func (l *Cache) Evacuated() (uint64, []string) { return l.evac, l.evacuated }

// TakenBack is the zones whose evacuations were taken back since it was last asked.
func (l *Cache) TakenBack() (zones []string) {
	zones, l.takenBack = l.takenBack, nil
	return zones
}

// Turns is how often each destination's workers have changed.
func (l *Cache) Turns() map[string]uint64 {
	turns := make(map[string]uint64, len(l.services))
	for name, s := range l.services {
		turns[name] = s.turn
	}
	return turns
}

// strike takes workers away that bothies have noted without the duty to. A later holder's word goes before them;
// until it has come here, what is held stays without them.
func (l *Cache) strike(a *waymark.Signed) {
	if a.StruckNow != 0 {
		l.struckMark = a.StruckNow
	}
	if l.struck == nil {
		l.struck = map[string]uint64{}
	}
	for _, x := range a.Struck {
		at, known := l.struck[x.ID]
		l.struck[x.ID] = max(at, x.At)
		for _, s := range l.services {
			if _, ok := s.workers[x.ID]; ok && !known {
				s.turn++
			}
		}
	}
	maps.DeleteFunc(l.struck, func(id string, at uint64) bool {
		x := waymark.Struck{At: at}
		for _, s := range l.services {
			if k, ok := s.workers[id]; ok {
				return x.Void(s.have, k.changed)
			}
		}
		return x.Void(l.heard, 0) // its destination may not have come yet
	})
}

// Workers is a destination's workers as they are to be used: one that was taken away without the duty is closing.
func (l *Cache) Workers(now float64, name string) []waymark.Worker {
	list := l.listed(now, name)
	for i := range list {
		if at, ok := l.struck[list[i].ID]; ok {
			s := l.services[name]
			list[i].Closing = list[i].Closing || !(waymark.Struck{At: at}).Void(s.have, s.workers[list[i].ID].changed)
		}
	}
	return list
}

// listed is a destination's workers, with what is left of their cold times: the time they lay
// here is taken off, so that nobody holds a worker for cold longer than its time.
func (l *Cache) listed(now float64, name string) []waymark.Worker {
	s := l.services[name]
	if s == nil {
		return nil
	}
	list := make([]waymark.Worker, 0, len(s.workers))
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		k := s.workers[id]
		k.Cold = max(k.until-now, 0)
		list = append(list, k.Worker)
	}
	return list
}

func (l *Cache) part(now float64, name string) waymark.Part {
	return waymark.Part{Destination: name, Version: l.services[name].have, Workers: l.listed(now, name)}
}

// changes is a destination's workers for who holds those of a version: what has changed since,
// where that is known.
func (l *Cache) changes(now float64, name string, have uint64) waymark.Part {
	s := l.services[name]
	if have == 0 || have < s.since {
		return l.part(now, name)
	}
	p := waymark.Part{Destination: name, Version: s.have, Since: have}
	for _, w := range l.listed(now, name) {
		if s.workers[w.ID].changed > have {
			p.Workers = append(p.Workers, w)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.gone)) {
		if s.gone[id].changed > have {
			p.Workers = append(p.Workers, waymark.Worker{ID: id, Gone: true})
		}
	}
	return p
}

// Zone is a gatekeeper's place among those that may be homes.
type Zone struct {
	Name  string
	Self  string
	Ready bool     // we may be a home ourselves
	Near  []string // the zone's other ready members
}

// Plan is which home to ask for what, and how large a body may come with it. Each piece of news is
// asked of one home once. What is still lacking after that the bothy is to give: where we are the
// home ourselves, where nobody is, where the home has just failed.
func (l *Cache) Plan(now float64, z Zone) (asks map[string]waymark.Subscribe, bulk int) {
	ready := z.Near
	if z.Ready {
		ready = append(slices.Clone(ready), z.Self)
	}
	asks = map[string]waymark.Subscribe{}
	home := func(service string) string {
		at := membership.HomeAmong(ready, z.Name, service)
		if at == z.Self || now < l.away[at] {
			return ""
		}
		return at
	}
	if l.told > max(l.edition, l.tried) && l.edition > 0 {
		l.tried = l.told
		if at := home(Timetable); at != "" {
			asks[at] = waymark.Subscribe{Edition: l.told}
			bulk = l.bulk
		}
	}
	for name, s := range l.services {
		if s.have >= s.want || s.tried >= s.want {
			continue
		}
		s.tried = s.want
		if at := home(name); at != "" {
			q := asks[at]
			if q.Parts == nil {
				q.Parts, q.Have = map[string]uint64{}, map[string]uint64{}
			}
			q.Parts[name], q.Have[name] = s.want, s.have
			asks[at] = q
		}
	}
	return asks, bulk
}

// Asked notes how a home has answered: err where it has not.
func (l *Cache) Asked(now float64, home string, q *waymark.Subscribe, err error) {
	maps.DeleteFunc(l.away, func(_ string, until float64) bool { return until <= now })
	if err != nil || !l.Has(q) {
		l.away[home] = now + awayMs
	}
}

// Has tells whether all that a neighbour asks for is here.
func (l *Cache) Has(q *waymark.Subscribe) bool {
	for name, version := range q.Parts {
		if s := l.services[name]; s == nil || s.have < version {
			return false
		}
	}
	return l.edition >= q.Edition
}

// Give is what is here of what a neighbour asks for. What is older than that is left out.
func (l *Cache) Give(now float64, q *waymark.Subscribe) (a waymark.Subscribed) {
	if q.Edition > 0 && l.edition >= q.Edition {
		a.Body = l.body
	}
	for _, name := range slices.Sorted(maps.Keys(q.Parts)) {
		if s := l.services[name]; s != nil && s.have >= q.Parts[name] {
			a.Parts = append(a.Parts, l.changes(now, name, q.Have[name]))
		}
	}
	return a
}

// Held is what is held, for a neighbour that offers more.
func (l *Cache) Held() waymark.Lent {
	h := waymark.Lent{Edition: l.edition, Evac: l.evac, Held: map[string]uint64{}, Shadow: l.shadow}
	for name, s := range l.services {
		h.Held[name] = s.have
	}
	return h
}

// Offer tells what could be lent.
func (l *Cache) Offer() waymark.Lend {
	h := l.Held()
	o := waymark.Lend{Edition: h.Edition, Evac: h.Evac, Held: h.Held, Heard: l.heard, Shadow: h.Shadow}
	for _, s := range l.services {
		if s.have < l.heard { // then the parts don't stand for it
			o.Heard = 0
		}
	}
	return o
}

// Exceeds tells whether an offer has what is lacking here.
func (l *Cache) Exceeds(o *waymark.Lend) bool {
	for name, version := range o.Held {
		if s := l.services[name]; s == nil || s.have < version {
			return true
		}
	}
	return o.Edition > l.edition || o.Evac > l.evac || o.Shadow > l.shadow
}

// Lend is what a neighbour lacks of what is here, and whether that is anything.
func (l *Cache) Lend(now float64, h *waymark.Lent) (o waymark.Lend, some bool) {
	o = l.Offer()
	o.Given = true
	if o.Edition > h.Edition {
		o.Body, some = l.body, true
	}
	if o.Evac > h.Evac {
		o.Evacuated, some = l.evacuated, true
	}
	if o.Shadow > h.Shadow {
		o.Order, some = l.order, true
	}
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		if v, ok := h.Held[name]; !ok || l.services[name].have > v {
			o.Parts, some = append(o.Parts, l.part(now, name)), true
		}
	}
	return o, some
}

// Borrow takes what a neighbour lends, but for the body. Who had heard nothing yet also takes
// over up to where the lender has heard: bothies then tell only what is newer, and learn from it
// which terms there were.
func (l *Cache) Borrow(now float64, o *waymark.Lend) {
	l.Evacuate(o.Evac, o.Evacuated)
	l.Shadow(o.Shadow, o.Order)
	l.Stock(now, o.Parts)
	if l.heard > 0 {
		return
	}
	for name, version := range o.Held {
		if s := l.services[name]; s == nil || s.have < version || version < o.Heard {
			return
		}
	}
	l.heard = o.Heard
}
