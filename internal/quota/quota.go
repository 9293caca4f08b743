// Package quota allots tenants' quotas to gatekeepers under leases.
//
// One bothy, the one that has the duty, runs an Allotter; every other one keeps its own
// beside it fed with terms and members, so that who lapsed is known when the duty changes.
// The module has no clock: now is in milliseconds of a steady clock.
//
// For each tenant, what all gatekeepers may hold (unexpired grants, and everyone's floor,
// lapsed ones' too) adds up to no more than its rate and its store, at every moment. A
// window of W seconds then lets through rate x W + store at most, whoever is cut off,
// killed or lied to by a lost answer; and the kicks of those that start in it. What nobody holds fills a pool, from which those
// whose buckets are low are helped by whole tokens.
package quota

import (
	"math"
	"slices"
	"strings"
)

// TokensMs is how long after its asking an answer's tokens may still be added to a bucket.
const TokensMs = 400.0

// KickKeepMs is the time in which a kick must be used.
const KickKeepMs = 2000.0

const (
	slackUsed  = 0.45   // of the rule's excess and slack is for bursts: with less, small tenants are refused
	kickPart   = 0.5    // and so much for new lives' first tokens; the rest is for what we don't see
	floorPart  = 0.5    // of the even share is the floor
	keepLong   = 600e3  // floors of lapsed gatekeepers are kept so long where Bounds says nothing
	headroom   = 1.25   // times its demand is what a gatekeeper needs
	poolMost   = 0.5    // of a small tenant's rate goes through the pool
	poolLess   = 4.0    // requests a second and gatekeeper from which nothing need go through it
	wholeBelow = 4.0    // tokens a gatekeeper below which stores are dealt in whole ones
	poolStore  = 0.05   // of a large store stays with the pool
	poolThin   = 0.85   // of a rate goes through the pool where the store has no token for each,
	thinTokens = 6.0    // of a store for each gatekeeper, under which a quota is thin
	floorThin  = 0.1    // and so much of the even share is the floor
	wantsMost  = 3.0    // tokens are dealt to one such gatekeeper at a time
	demandOld  = 10e3   // a demand that is older is taken for none
	endedMost  = 16     // ended lives remembered of a station
	eps        = 1e-9   // under this, a difference is rounding
	gone       = -1e300 // long ago
)

// Terms is a tenant's quota. A Rate of 0 is no limit: nothing is allotted.
type Terms struct{ RatePerS, Surge float64 }

// Bounds is the rule that all gatekeepers together must keep, and how long the floor of
// one that has lapsed stays its own (0 for ten minutes). A gatekeeper must stop using its
// floor before that, or be known to have ended.
type Bounds struct{ WindowS, Excess, Slack, FloorKeepMs float64 }

// Demand is what was asked lately at a gatekeeper, admitted or refused, a second and tenant.
type Demand map[string]float64

// Slice is a gatekeeper's part of a quota. Rate and Burst hold for the lease, Floor and
// FloorBurst after it. Tokens is, in what a gatekeeper says that it holds, what its bucket
// has now; in an answer, what is to be added to it, once, if the answer came within
// TokensMs of its asking. Kick, in an answer or a Floor, is whole tokens beside the burst that a new
// life may use in its first two seconds, once, as its bucket starts empty. Wants, in what a gatekeeper says, is how many found no token there
// since its last asking, and Returned how many tokens it has given up since then: they are no longer in its bucket.
type Slice struct {
	Rate, Burst, Floor, FloorBurst, Tokens, Wants, Kick, Returned float64
}

// lent is a grant that may be in use until a time.
type lent struct{ rate, burst, until float64 }

// hold is what a gatekeeper may hold of a tenant's quota.
type hold struct {
	asked         bool // of this allotter; else it may hold a floor that another one granted
	was, is       lent // what it said it held at its last asking, and what it was answered
	floor, fburst float64
	demand, heard float64
}

type member struct {
	id, station string
	known       bool // in the list
	left        float64
	turn        uint64
	place       int
	used        bool
}

type tenant struct {
	name        string
	salt        uint64
	terms       Terms
	rate, store float64 // that may be granted in all
	kick        float64 // for all gatekeepers, should they all be new
	kicks       []kicked
	pool        float64
	poolAt      float64
	holds       []hold // by the gatekeeper's slot
	goneAt      float64
}

// kicked is tokens that a new life was given.
type kicked struct{ at, tokens float64 }

// Allotter allots the quotas.
type Allotter struct {
	// Homes tells that gatekeepers ask homes for tokens of thin quotas: those without a demand
	// need nothing of them.
	Homes bool

	lease   float64
	bounds  Bounds
	began   float64
	known   float64 // from then on, no grant of an earlier allotter is left
	edition uint64
	tenants map[string]*tenant
	members []member // slots; those not used are free
	byID    map[string]int
	ended   map[string][]string // lives of a station that are over
	count   int                 // gatekeepers whose floors count
	needs   []float64
	looked  uint64
	told    bool // of members, at least once
}

// New makes an allotter that has not begun.
func New(leaseMs float64, b Bounds) *Allotter {
	if b.FloorKeepMs <= 0 {
		b.FloorKeepMs = keepLong
	}
	return &Allotter{lease: leaseMs, bounds: b, began: math.Inf(1), known: math.Inf(1), tenants: map[string]*tenant{}, byID: map[string]int{}, ended: map[string][]string{}}
}

// Begin tells that the duty was won, and that nobody had it in so many milliseconds before. What
// an earlier allotter granted is unknown until each gatekeeper has asked, or one lease is over
// since it can last have granted: until then nobody is given more than its floor and what
// it holds already.
func (a *Allotter) Begin(now, vacantMs float64) {
	a.began, a.known = now, now+a.lease
	a.Vacant(vacantMs)
	for _, t := range a.tenants {
		t.pool, t.poolAt = 0, now
		for i := range t.holds {
			t.holds[i].asked = false
		}
	}
}

// Vacant tells that the duty was vacant for longer before Begin than was known then.
func (a *Allotter) Vacant(ms float64) {
	a.known = min(a.known, a.began+max(a.lease-max(ms, 0), 0))
}

// Terms brings the tenants' quotas of a configuration; an older one than is held is not heeded.
// What was granted under other terms counts until its lease is over, floors until their
// holders have asked again.
func (a *Allotter) Terms(now float64, terms map[string]Terms, edition uint64) {
	if edition < a.edition {
		return
	}
	a.edition = edition
	for name, t := range a.tenants {
		if _, ok := terms[name]; ok {
			continue
		}
		a.fill(t, now)
		if t.goneAt == gone {
			t.goneAt = now
		}
		t.terms, t.rate, t.store, t.pool, t.kick = Terms{}, 0, 0, 0, 0
		if now > t.goneAt+a.bounds.FloorKeepMs {
			delete(a.tenants, name)
		}
	}
	for name, x := range terms {
		t := a.tenants[name]
		if t == nil {
			t = &tenant{name: name, salt: hash(name), holds: make([]hold, len(a.members)), poolAt: now}
			a.tenants[name] = t
		}
		a.fill(t, now)
		t.goneAt = gone
		t.quota(x, a.bounds)
		t.pool = min(t.pool, t.store)
	}
}

// station is an id without its life.
func station(id string) string {
	if i := strings.LastIndexByte(id, '/'); i >= 0 {
		return id[:i]
	}
	return id
}

// Members brings the gatekeepers that are known, by "station/life". One that is missing
// has lapsed; its floor stays its own until its station comes with another life.
func (a *Allotter) Members(now float64, ids []string) {
	a.told = true
	for i := range a.members {
		a.members[i].known = false
	}
	for _, id := range ids {
		a.meet(now, id)
	}
	a.forget(now)
}

// meet finds or makes the slot of a gatekeeper; -1 for a life that is over.
func (a *Allotter) meet(now float64, id string) int {
	st := station(id)
	if slices.Contains(a.ended[st], id) {
		return -1
	}
	if i, ok := a.byID[id]; ok {
		a.members[i].known, a.members[i].left = true, now
		return i
	}
	for i := range a.members {
		if m := &a.members[i]; m.used && m.station == st {
			a.settle(now)
			over := append(a.ended[st], m.id)
			a.ended[st] = over[max(0, len(over)-endedMost):]
			a.drop(i)
		}
	}
	a.settle(now)
	i := slices.IndexFunc(a.members, func(m member) bool { return !m.used })
	if i < 0 {
		i = len(a.members)
		a.members = append(a.members, member{})
		for _, t := range a.tenants {
			t.holds = append(t.holds, hold{})
		}
	}
	a.members[i] = member{id: id, station: st, known: true, left: now, used: true}
	a.byID[id] = i
	a.places()
	return i
}

func (a *Allotter) drop(i int) {
	delete(a.byID, a.members[i].id)
	a.members[i] = member{}
	for _, t := range a.tenants {
		t.holds[i] = hold{}
	}
}

// forget drops lapsed gatekeepers whose floors have been kept for long enough.
func (a *Allotter) forget(now float64) {
	any := false
	for i := range a.members {
		if m := &a.members[i]; m.used && !m.known && now > m.left+a.bounds.FloorKeepMs {
			a.settle(now)
			a.drop(i)
			any = true
		}
	}
	if any {
		a.places()
	}
}

// places numbers the gatekeepers in an order that any allotter finds.
func (a *Allotter) places() {
	var order []int
	for i := range a.members {
		if a.members[i].used {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int { return strings.Compare(a.members[x].station, a.members[y].station) })
	for p, i := range order {
		a.members[i].place = p
	}
	a.count = len(order)
}

// thin tells that the store has no whole token for each gatekeeper: then it stays with the
// pool, and tokens are dealt to those that ask for one.
func (t *tenant) thin(n int) bool { return t.store < float64(n) }

// pooled is the part of a very small rate that goes through the pool.
func (t *tenant) pooled(n int) float64 {
	if t.thin(n) {
		return poolThin
	}
	return poolMost
}

// floorOf is the floor of a gatekeeper where all of it is free.
func (a *Allotter) floorOf(t *tenant, i int) (rate, burst float64) {
	return t.floor(a.members[i].place, a.count)
}

// floor is the floor of the gatekeeper at a place of so many.
func (t *tenant) floor(place, count int) (rate, burst float64) {
	n := float64(count)
	part := floorPart
	if t.thin(count) {
		part = floorThin
	}
	rate, burst = part*t.rate/n, part*t.store/n
	if burst < 1 { // whole tokens for some, by turns over the tenants
		burst = 0
		if (place+int(t.salt%uint64(count)))%count < int(part*t.store) {
			burst = 1
		}
	}
	return rate, burst
}

// kickOf is the part of the kicks of the gatekeeper at a place of so many, in whole tokens.
func (t *tenant) kickOf(place, count int) float64 {
	all := int(t.kick)
	part := all / count
	if (place+int(t.salt%uint64(count)))%count < all%count {
		part++
	}
	return float64(part)
}

// kickNow is what a new life is given, as far as the kicks of a window allow it: gatekeepers
// that start again and again get no more than all of them would that start once.
func (a *Allotter) kickNow(t *tenant, i int, now float64) float64 {
	t.kicks = slices.DeleteFunc(t.kicks, func(k kicked) bool { return now > k.at+a.bounds.WindowS*1e3+KickKeepMs })
	left := math.Floor(t.kick)
	for _, k := range t.kicks {
		left -= k.tokens
	}
	s := min(t.kickOf(a.members[i].place, a.count), max(left, 0))
	if s > 0 {
		t.kicks = append(t.kicks, kicked{now, s})
	}
	return s
}

// Floor is the floor of the gatekeeper at a place of so many, for one that has just started and
// finds no allotter: that of its last life was kept for its station, and that life has ended. The
// kick is to be used at most once in a life, and not where the allotter has given one.
func Floor(name string, x Terms, b Bounds, place, count int) Slice {
	t := &tenant{name: name, salt: hash(name)}
	t.quota(x, b)
	if t.rate <= 0 || count <= 0 {
		return Slice{}
	}
	var s Slice
	s.Floor, s.FloorBurst = t.floor(place, count)
	s.Kick = t.kickOf(place, count)
	s.Rate, s.Burst = s.Floor, s.FloorBurst
	return s
}

// Thin tells that a quota's store holds few tokens for each of so many gatekeepers. They are
// better kept together: gatekeepers ask a home for them, and only homes have a demand.
func Thin(x Terms, b Bounds, count int) bool {
	var t tenant
	t.quota(x, b)
	return t.rate > 0 && t.store < thinTokens*float64(count)
}

// quota is what may be granted of a tenant's quota in all.
func (t *tenant) quota(x Terms, b Bounds) {
	t.terms, t.rate, t.store = x, 0, 0
	t.kick = 0
	if x.RatePerS > 0 {
		extra := b.Excess*(x.RatePerS*b.WindowS+x.Surge) + b.Slack
		t.rate, t.store = x.RatePerS, x.Surge+slackUsed*extra
		t.kick = kickPart * extra
	}
}

// Looked is how often the holding of one gatekeeper of one quota was looked at: the allotter's work.
func (a *Allotter) Looked() uint64 { return a.looked }

// bound is what a gatekeeper may hold at most at a time.
func (a *Allotter) bound(t *tenant, i int, now float64) (rate, burst float64) {
	a.looked++
	h := &t.holds[i]
	rate, burst = h.floor, h.fburst
	if !h.asked {
		r, b := a.floorOf(t, i)
		rate, burst = max(rate, r), max(burst, b)
	}
	for _, l := range [...]*lent{&h.was, &h.is} {
		if now < l.until {
			rate, burst = max(rate, l.rate), max(burst, l.burst)
		}
	}
	return rate, burst
}

// free is what nobody but one gatekeeper (-1 for nobody) may hold.
func (a *Allotter) free(t *tenant, but int, now float64) (rate, burst float64) {
	rate, burst = t.rate, t.store
	for i := range a.members {
		if a.members[i].used && i != but {
			r, b := a.bound(t, i, now)
			rate, burst = rate-r, burst-b
		}
	}
	return rate, burst
}

// settle brings all pools up to now, before what is held changes.
func (a *Allotter) settle(now float64) {
	for _, t := range a.tenants {
		a.fill(t, now)
	}
}

// fill lets a tenant's pool have what nobody holds since it was last looked at. Bounds only
// shrink between two events, so that what is free at the start of a span is free throughout.
func (a *Allotter) fill(t *tenant, now float64) {
	from := t.poolAt
	t.poolAt = now
	if t.rate <= 0 || now <= from || now <= a.known && t.pool == 0 {
		return
	}
	rate, store := a.free(t, -1, from)
	if span := now - max(from, a.known); span > 0 {
		t.pool += max(rate, 0) * span / 1e3
	}
	t.pool = min(t.pool, max(store, 0))
}

// Ask is a gatekeeper's asking, with the number of it (each above the last), what was
// asked of it, and what it holds for how much longer. The answer is what it holds for
// a lease, from its asking; nil where the asking is an old one. A lowered grant frees its
// difference at the next asking, which shows that the answer came, or when it runs out.
func (a *Allotter) Ask(now float64, id string, turn uint64, demand Demand, holding map[string]Slice, leaseLeftMs float64) map[string]Slice {
	i := a.meet(now, id)
	// Floors are reckoned by all members: by those alone that happen to have asked they would come out too large, and be
	// kept beside those that others take up by themselves.
	if i < 0 || !a.told || now < a.began || turn <= a.members[i].turn {
		return nil
	}
	fresh := a.members[i].turn == 0 && !holds(holding)
	a.members[i].turn = turn
	out := make(map[string]Slice, len(a.tenants))
	for name, t := range a.tenants {
		has, held := holding[name]
		_, asks := demand[name]
		h := &t.holds[i]
		if a.kept(t) && !asks && !held {
			a.leave(t, h, now)
			continue
		}
		a.fill(t, now)
		h.asked, h.demand, h.heard = true, demand[name], now
		h.was, h.is = lent{has.Rate, has.Burst, now + min(leaseLeftMs, a.lease)}, lent{}
		h.floor, h.fburst = has.Floor, has.FloorBurst
		if has.Returned > 0 { // what they took up of the store is free again, so the pool has room for them
			_, store := a.free(t, -1, now)
			t.pool = min(t.pool+has.Returned, max(store, 0))
		}
		if t.rate > 0 {
			s := a.grant(t, i, now, has)
			if fresh {
				s.Kick = a.kickNow(t, i, now)
			}
			out[name] = s
		}
	}
	return out
}

// kept tells that a quota is thin over so many gatekeepers, and kept by homes that the others ask.
func (a *Allotter) kept(t *tenant) bool { return a.Homes && t.store < thinTokens*float64(a.count) }

// leave notes that a gatekeeper holds nothing of a quota and wants nothing. That is so for most quotas at most
// gatekeepers, so it must not look at the quota's other holders: it would make each asking, and above all the first
// askings of a new allotter, cost as much as the fleet is large, and an allotter that does not get through
// these within its lease is replaced by one that begins them anew.
func (a *Allotter) leave(t *tenant, h *hold, now float64) {
	switch {
	case h.idle(): // nothing changes
	case !h.asked: // until now it might have held its floor: what the pool got since it was last looked at is given up
		t.poolAt = max(t.poolAt, now)
	default:
		a.fill(t, now)
	}
	*h = hold{asked: true, heard: now}
}

// idle tells that a gatekeeper has asked this allotter, and neither holds nor wants anything.
func (h *hold) idle() bool {
	return h.asked && h.demand == 0 && h.was == lent{} && h.is == lent{} && h.floor == 0 && h.fburst == 0
}

// holds tells whether a gatekeeper was allotted anything, or took up its floors, in this life.
func holds(holding map[string]Slice) bool {
	for _, s := range holding {
		if s.Rate > 0 || s.Burst > 0 || s.Floor > 0 || s.FloorBurst > 0 {
			return true
		}
	}
	return false
}

func (a *Allotter) grant(t *tenant, i int, now float64, has Slice) Slice {
	h := &t.holds[i]
	freeRate, freeBurst := a.free(t, i, now)
	freeRate, freeBurst = max(freeRate, 0), max(freeBurst, 0)
	floor, fburst := a.floorOf(t, i)
	if a.kept(t) && h.demand <= eps {
		floor, fburst = 0, 0 // its home has the use of it
	}
	s := Slice{Floor: min(floor, freeRate), FloorBurst: min(fburst, freeBurst)}
	rate, burst := a.aim(t, i, now, has.Wants)
	if now < a.known {
		rate, burst = 0, 0
		if now < h.was.until {
			rate, burst = h.was.rate, h.was.burst
		}
	}
	s.Rate = max(s.Floor, min(rate, freeRate))
	s.Burst = max(s.FloorBurst, min(burst, freeBurst))
	h.is = lent{s.Rate, s.Burst, now + a.lease}
	h.floor, h.fburst = max(h.floor, s.Floor), max(h.fburst, s.FloorBurst)
	_, store := a.free(t, -1, now)
	store = max(store, 0)
	// With what fills it until the answer is there, the bucket must not pass its burst.
	room, avail := s.Burst-has.Tokens-TokensMs/1e3*max(s.Rate, has.Rate), t.pool
	if has.Tokens >= 1 { // others may need it more
		avail -= store / 2
	}
	if s.Tokens = min(room, avail); s.Tokens < eps {
		s.Tokens = 0
	}
	// What goes into the bucket lies within its burst, so only what stays must fit beside that.
	t.pool = min(t.pool-s.Tokens, store)
	return s
}

// aim is the slice that a gatekeeper would have were nothing lent: DESIGN's local over
// metered use, as far as the sum fits. Small needs are met; the rest is divided by demand.
func (a *Allotter) aim(t *tenant, me int, now, wants float64) (rate, burst float64) {
	total, store, n := t.rate, t.store, 0.0
	for i := range a.members {
		switch m := &a.members[i]; {
		case m.used && m.known:
			n++
		case m.used: // lapsed
			r, b := a.bound(t, i, now)
			total, store = total-r, store-b
		}
	}
	total, store = max(total, 0), max(store, 0)
	pooled := t.pooled(a.count) * max(0, 1-total/n/poolLess)
	if a.kept(t) { // those count that have a demand: the homes
		if a.demandOf(t, me, now) <= eps { // what it still holds is wanted elsewhere
			return 0, 0
		}
		n, pooled = a.takers(t, me, now), 0
	}
	rate = a.aimRate(t, me, now, total*(1-pooled), n)
	switch per := store / n; {
	case per >= wholeBelow:
		surge := min(t.terms.Surge, store)
		burst = (1 - poolStore) * ((store-surge)/n + surge*rate/max(total, eps))
	case per >= 1:
		burst = math.Floor(per)
		if per >= 2 {
			burst += a.slot(t, me, now, int((1-poolStore)*store-n*burst))
		} else if wants > 0 && t.pool >= 1 && a.calm(t, now) {
			burst++
		}
	case wants > 0 && t.pool >= 1: // dealt to those that need one, and taken back at their next asking
		burst = min(wants, wantsMost, math.Floor(t.pool)) + rate*TokensMs/1e3
	}
	return rate, burst
}

// takers is how many gatekeepers have a demand, this one among them in any case.
func (a *Allotter) takers(t *tenant, me int, now float64) float64 {
	n := 0.0
	for i := range a.members {
		if m := &a.members[i]; m.used && m.known && (i == me || a.demandOf(t, i, now) > eps) {
			n++
		}
	}
	return n
}

func (a *Allotter) aimRate(t *tenant, me int, now, total, n float64) float64 {
	floor, _ := a.floorOf(t, me)
	a.needs = a.needs[:0]
	sum, asked, mine := 0.0, 0.0, 0
	for i := range a.members {
		if m := &a.members[i]; m.used && m.known {
			if i == me {
				mine = len(a.needs)
			}
			d := a.demandOf(t, i, now)
			need := max(headroom*d, floor)
			if d <= eps && i != me && a.kept(t) {
				need = 0
			}
			a.needs = append(a.needs, need)
			sum, asked = sum+need, asked+d
		}
	}
	even, need := total/n, a.needs[mine]
	if sum <= total { // half of what is over goes evenly, half by demand
		spare, part := total-sum, 1/n
		if asked > eps {
			part = (part + a.demandOf(t, me, now)/asked) / 2
		}
		return need + spare*part
	}
	if need <= even {
		return need
	}
	left, above := total, 0.0
	for _, x := range a.needs {
		left -= min(x, even)
		above += max(x-even, 0)
	}
	return even + max(left, 0)*(need-even)/above
}

// calm tells that less is asked than the rate.
func (a *Allotter) calm(t *tenant, now float64) bool {
	sum := 0.0
	for i := range a.members {
		if a.members[i].used {
			sum += a.demandOf(t, i, now)
		}
	}
	return sum < t.rate
}

// demandOf is what was lately asked at a gatekeeper.
func (a *Allotter) demandOf(t *tenant, i int, now float64) float64 {
	if h := &t.holds[i]; h.asked && now < h.heard+demandOld {
		return h.demand
	}
	return 0
}

// slot is a token more for so many gatekeepers, those first that were lately asked most.
func (a *Allotter) slot(t *tenant, me int, now float64, slots int) float64 {
	mine, own := a.demandOf(t, me, now), hash(a.members[me].station)^t.salt
	for i := range a.members {
		if m := &a.members[i]; m.used && m.known && i != me {
			if d := a.demandOf(t, i, now); d > mine || d == mine && hash(m.station)^t.salt < own {
				slots--
			}
		}
	}
	return min(1, float64(max(slots, 0)))
}

// hash is FNV-1a, mixed so that its low bits are even too.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
