package configcache

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/membership"
	"foxwood/internal/waymark"
)

func worker(id string, cold float64) waymark.Worker {
	return waymark.Worker{ID: id, Addr: id + ":80", Cold: cold}
}

func marks(version uint64, whole bool, at map[string]uint64) *waymark.Marks {
	m := &waymark.Marks{Version: version, Whole: whole, Behind: map[string]uint64{}}
	for name, v := range at {
		m.Behind[name] = version - v
	}
	return m
}

// stocked holds edition 5 and version 10 of d and e.
func stocked() *Cache {
	l := New()
	l.Body(5, []byte("five"))
	l.Hear(0, &waymark.Signed{Edition: 5, Marks: marks(10, true, map[string]uint64{"d": 10, "e": 8}), Parts: []waymark.Part{
		{Destination: "d", Version: 10, Workers: []waymark.Worker{worker("a", 0)}},
		{Destination: "e", Version: 10, Workers: []waymark.Worker{worker("b", 3000)}},
	}})
	return l
}

func question(l *Cache) (q waymark.Sign) {
	l.Question(&q)
	return q
}

// TestWhomToAsk is the decision about each piece of news: a home once, the bothy after that.
func TestWhomToAsk(t *testing.T) {
	const zone = "z"
	near := []string{"g1", "g2", "g3"}
	home := func(service string) string { return membership.HomeAmong(near, zone, service) }
	news := &waymark.Signed{Edition: 7, Bulk: 900, Marks: marks(12, false, map[string]uint64{"d": 12})}
	for _, c := range []struct {
		name  string
		prior func(*Cache)
		zone  Zone
		asks  map[string]waymark.Subscribe // merged by the cases below
		none  bool
	}{
		{name: "homes", zone: Zone{Name: zone, Self: "me", Near: near}},
		{name: "alone", zone: Zone{Name: zone, Self: "me", Ready: true}, none: true},
		{name: "nobody is known", zone: Zone{Name: zone, Self: "me"}, none: true},
		{name: "the home has just failed", zone: Zone{Name: zone, Self: "me", Near: near}, none: true, prior: func(l *Cache) {
			for _, at := range near {
				l.Asked(-awayMs/2, at, &waymark.Subscribe{}, errors.New("late"))
			}
		}},
		{name: "it failed long ago", zone: Zone{Name: zone, Self: "me", Near: near}, prior: func(l *Cache) {
			for _, at := range near {
				l.Asked(-awayMs, at, &waymark.Subscribe{}, errors.New("late"))
			}
		}},
		{name: "the home had less than was announced", zone: Zone{Name: zone, Self: "me", Near: near}, none: true, prior: func(l *Cache) {
			for _, at := range near {
				l.Asked(0, at, &waymark.Subscribe{Parts: map[string]uint64{"d": 11}}, nil)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := stocked()
			if c.prior != nil {
				c.prior(l)
			}
			l.Hear(0, news)
			asks, bulk := l.Plan(0, c.zone)
			if c.none {
				assert.Equal(t, len(asks), 0)
			} else {
				want := map[string]waymark.Subscribe{home(Timetable): {Edition: 7}}
				q := want[home("d")]
				q.Parts, q.Have = map[string]uint64{"d": 12}, map[string]uint64{"d": 10}
				want[home("d")] = q
				assert.DeepEqual(t, asks, want)
				assert.Equal(t, bulk, 900)
			}
			again, _ := l.Plan(0, c.zone)
			assert.Equal(t, len(again), 0, "each piece of news is asked of a home once")
			q := question(l)
			assert.Assert(t, q.Body, "what is lacking is wanted from the bothy")
			assert.DeepEqual(t, q.Want, map[string]uint64{"d": 10})
		})
	}
}

// TestAskingIsOverWhereAllCame guards against asking the bothy too for what a home has given.
func TestAskingIsOverWhereAllCame(t *testing.T) {
	l := stocked()
	l.Hear(0, &waymark.Signed{Edition: 7, Marks: marks(12, false, map[string]uint64{"d": 12})})
	l.Stock(0, []waymark.Part{{Destination: "d", Version: 13, Workers: []waymark.Worker{worker("c", 0)}}})
	l.Body(7, nil)
	q := question(l)
	assert.Assert(t, !q.Body && q.Want == nil)
	assert.Equal(t, q.Roster, uint64(12))
}

// TestNothingGoesBack lets those that are wrong or behind tell what they hold.
func TestNothingGoesBack(t *testing.T) {
	l := stocked()
	turns := l.Turns()
	assert.Assert(t, !l.Body(4, []byte("four")))
	l.Stock(0, []waymark.Part{{Destination: "d", Version: 9}, {Destination: "e", Version: 12, Since: 11}})
	l.Hear(0, &waymark.Signed{Edition: 3, Marks: marks(9, true, nil)})
	l.Borrow(0, &waymark.Lend{Edition: 2, Parts: []waymark.Part{{Destination: "d", Version: 10}}, Heard: 10})
	l.Evacuate(3, []string{"x"})
	l.Evacuate(2, nil)
	assert.DeepEqual(t, l.Turns(), turns)
	assert.Equal(t, l.Edition(), uint64(5))
	assert.Equal(t, l.Heard(), uint64(10))
	_, zones := l.Evacuated()
	assert.DeepEqual(t, zones, []string{"x"})
}

// TestChangesOfWhatIsHeld: a change is taken where what it is one of is held; a new term's list
// empties what it no longer names.
func TestChangesOfWhatIsHeld(t *testing.T) {
	l := stocked()
	gone := worker("a", 0)
	gone.Gone = true
	l.Hear(0, &waymark.Signed{Marks: marks(11, false, map[string]uint64{"d": 11}), Parts: []waymark.Part{
		{Destination: "d", Version: 11, Since: 10, Workers: []waymark.Worker{gone, worker("c", 0)}}}})
	assert.DeepEqual(t, l.Workers(0, "d"), []waymark.Worker{worker("c", 0)})
	assert.Assert(t, l.Has(&waymark.Subscribe{Parts: map[string]uint64{"d": 11, "e": 11}}), "what has not changed stands for it too")
	l.Hear(0, &waymark.Signed{Marks: marks(20, true, map[string]uint64{"d": 20})})
	assert.Equal(t, len(l.Workers(0, "e")), 0)
	assert.Equal(t, len(l.Workers(0, "d")), 1, "kept until the new one has come")
	assert.DeepEqual(t, question(l).Want, map[string]uint64{"d": 11})
}

// TestAHomeTellsChanges to who holds something, where it knows them all; else it tells everything.
func TestAHomeTellsChanges(t *testing.T) {
	away := worker("a", 0)
	away.Gone = true
	home := New()
	home.Hear(0, &waymark.Signed{Marks: marks(10, true, map[string]uint64{"d": 10}), Parts: []waymark.Part{
		{Destination: "d", Version: 10, Workers: []waymark.Worker{worker("a", 0), worker("b", 0)}}}})
	home.Stock(0, []waymark.Part{{Destination: "d", Version: 11, Since: 10, Workers: []waymark.Worker{worker("c", 0)}}})
	home.Stock(0, []waymark.Part{{Destination: "d", Version: 12, Since: 11, Workers: []waymark.Worker{away}}})
	for _, c := range []struct {
		name    string
		have    uint64
		later   float64
		since   uint64
		workers []waymark.Worker
	}{
		{name: "nothing is held", workers: []waymark.Worker{worker("b", 0), worker("c", 0)}},
		{name: "all that is known", have: 10, since: 10, workers: []waymark.Worker{worker("c", 0), {ID: "a", Gone: true}}},
		{name: "the last", have: 11, since: 11, workers: []waymark.Worker{{ID: "a", Gone: true}}},
		{name: "none", have: 12, since: 12},
		{name: "from before the home's list", have: 9, workers: []waymark.Worker{worker("b", 0), worker("c", 0)}},
		{name: "from before who has gone is forgotten", have: 11, later: goneMs + 1, workers: []waymark.Worker{worker("b", 0), worker("c", 0), worker("e", 0)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			version := uint64(12)
			if c.later > 0 {
				version = 13
				home.Stock(c.later, []waymark.Part{{Destination: "d", Version: 13, Since: 12, Workers: []waymark.Worker{worker("e", 0)}}})
			}
			a := home.Give(c.later, &waymark.Subscribe{Parts: map[string]uint64{"d": version}, Have: map[string]uint64{"d": c.have}})
			assert.DeepEqual(t, a.Parts, []waymark.Part{{Destination: "d", Version: version, Since: c.since, Workers: c.workers}})
		})
	}
}

// TestColdTimesRunDownInAHome guards against a worker that is cold for longer with each hand
// that its time goes through.
func TestColdTimesRunDownInAHome(t *testing.T) {
	l := stocked()
	a := l.Give(1000, &waymark.Subscribe{Parts: map[string]uint64{"d": 11, "e": 10}})
	assert.Equal(t, len(a.Parts), 1, "what is older than asked for is left out")
	assert.DeepEqual(t, a.Parts[0].Workers, []waymark.Worker{worker("b", 2000)})
	m := New()
	m.Stock(70_000, a.Parts)
	assert.DeepEqual(t, m.Workers(72_500, "e"), []waymark.Worker{worker("b", 0)})
}

// TestLending hands to one that holds nothing, to one that holds a part, and to one that holds
// as much.
func TestLending(t *testing.T) {
	lender := stocked()
	lender.Evacuate(6, []string{"x"})
	half := New()
	half.Body(5, []byte("five"))
	half.Stock(0, []waymark.Part{{Destination: "d", Version: 11}})
	for _, c := range []struct {
		name  string
		to    *Cache
		body  bool
		parts int
		heard uint64
	}{
		{"nothing", New(), true, 2, 10},
		{"a part", half, false, 1, 10},
		{"as much", stocked(), false, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			offer := lender.Offer()
			assert.Assert(t, c.to.Exceeds(&offer))
			h := c.to.Held()
			give, some := lender.Lend(0, &h)
			assert.Assert(t, some && (give.Body != nil) == c.body)
			assert.Equal(t, len(give.Parts), c.parts)
			c.to.Borrow(0, &give)
			c.to.Body(give.Edition, give.Body)
			assert.Equal(t, c.to.Heard(), c.heard)
			assert.Assert(t, !c.to.Exceeds(&offer))
			h = c.to.Held()
			_, some = lender.Lend(0, &h)
			assert.Assert(t, !some)
		})
	}
	// The order for copies is lent, and never goes back.
	lender.Hear(0, &waymark.Signed{Shadow: 7, Order: []byte("seven")})
	lender.Hear(0, &waymark.Signed{Shadow: 6, Order: []byte("six")})
	for _, late := range []*Cache{New(), stocked()} {
		offer, h := lender.Offer(), late.Held()
		assert.Assert(t, late.Exceeds(&offer))
		give, some := lender.Lend(0, &h)
		assert.Assert(t, some)
		late.Borrow(0, &give)
		no, order := late.Order()
		assert.Assert(t, no == 7 && string(order) == "seven" && question(late).Shadow == 7)
		h = late.Held()
		give, _ = lender.Lend(0, &h)
		assert.Assert(t, give.Order == nil)
	}
	// Who lacks something of what was announced does not stand for all of it.
	lender.Hear(0, &waymark.Signed{Marks: marks(12, false, map[string]uint64{"d": 12})})
	h := New().Held()
	give, _ := lender.Lend(0, &h)
	to := New()
	to.Borrow(0, &give)
	assert.Equal(t, to.Heard(), uint64(0))
}
