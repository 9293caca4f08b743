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

func marks(version uint64, whole bool, changedAt map[string]uint64) *waymark.Marks {
	m := &waymark.Marks{Version: version, Whole: whole, Behind: map[string]uint64{}}
	for name, v := range changedAt {
		m.Behind[name] = version - v
	}
	return m
}

// newFilledCache returns a cache that holds edition 5 and endpoint version 10 of the destinations d
// and e.
func newFilledCache() *Cache {
	cache := New()
	cache.Body(5, []byte("five"))
	cache.Hear(0, &waymark.Signed{Edition: 5, Marks: marks(10, true, map[string]uint64{"d": 10, "e": 8}), Parts: []waymark.Part{
		{Destination: "d", Version: 10, Workers: []waymark.Worker{worker("a", 0)}},
		{Destination: "e", Version: 10, Workers: []waymark.Worker{worker("b", 3000)}},
	}})
	return cache
}

func heartbeatOf(cache *Cache) (heartbeat waymark.Sign) {
	cache.Question(&heartbeat)
	return heartbeat
}

// TestPlanRequestsEachUpdateOnce checks where each update is requested: once from its zone home,
// and from the registry after that.
func TestPlanRequestsEachUpdateOnce(t *testing.T) {
	const zone = "z"
	peers := []string{"g1", "g2", "g3"}
	owner := func(service string) string { return membership.HomeAmong(peers, zone, service) }
	update := &waymark.Signed{Edition: 7, Bulk: 900, Marks: marks(12, false, map[string]uint64{"d": 12})}
	for _, c := range []struct {
		name  string
		prior func(*Cache)
		zone  Zone
		asks  map[string]waymark.Subscribe // not set by any case
		none  bool
	}{
		{name: "owners are known", zone: Zone{Name: zone, Self: "me", Near: peers}},
		{name: "this gatekeeper is the only owner", zone: Zone{Name: zone, Self: "me", Ready: true}, none: true},
		{name: "no owner is known", zone: Zone{Name: zone, Self: "me"}, none: true},
		{name: "the owner has just failed", zone: Zone{Name: zone, Self: "me", Near: peers}, none: true, prior: func(cache *Cache) {
			for _, owner := range peers {
				cache.Asked(-ownerRetryDelayMs/2, owner, &waymark.Subscribe{}, errors.New("late"))
			}
		}},
		{name: "the owner failed longer ago than the delay", zone: Zone{Name: zone, Self: "me", Near: peers}, prior: func(cache *Cache) {
			for _, owner := range peers {
				cache.Asked(-ownerRetryDelayMs, owner, &waymark.Subscribe{}, errors.New("late"))
			}
		}},
		{name: "the owner held less than was announced", zone: Zone{Name: zone, Self: "me", Near: peers}, none: true, prior: func(cache *Cache) {
			for _, owner := range peers {
				cache.Asked(0, owner, &waymark.Subscribe{Parts: map[string]uint64{"d": 11}}, nil)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := newFilledCache()
			if c.prior != nil {
				c.prior(cache)
			}
			cache.Hear(0, update)
			requests, size := cache.Plan(0, c.zone)
			if c.none {
				assert.Equal(t, len(requests), 0)
			} else {
				want := map[string]waymark.Subscribe{owner(Timetable): {Edition: 7}}
				request := want[owner("d")]
				request.Parts, request.Have = map[string]uint64{"d": 12}, map[string]uint64{"d": 10}
				want[owner("d")] = request
				assert.DeepEqual(t, requests, want)
				assert.Equal(t, size, 900)
			}
			repeated, _ := cache.Plan(0, c.zone)
			assert.Equal(t, len(repeated), 0, "each update is requested from an owner once")
			request := heartbeatOf(cache)
			assert.Assert(t, request.Body, "missing data is requested from the registry")
			assert.DeepEqual(t, request.Want, map[string]uint64{"d": 10})
		})
	}
}

// TestReceivedDataIsNotRequestedAgain guards against requesting from the registry what a zone home
// has already supplied.
func TestReceivedDataIsNotRequestedAgain(t *testing.T) {
	cache := newFilledCache()
	cache.Hear(0, &waymark.Signed{Edition: 7, Marks: marks(12, false, map[string]uint64{"d": 12})})
	cache.Stock(0, []waymark.Part{{Destination: "d", Version: 13, Workers: []waymark.Worker{worker("c", 0)}}})
	cache.Body(7, nil)
	heartbeat := heartbeatOf(cache)
	assert.Assert(t, !heartbeat.Body && heartbeat.Want == nil)
	assert.Equal(t, heartbeat.Roster, uint64(12))
}

// TestOlderDataIsIgnored sends data from senders that are wrong or behind.
func TestOlderDataIsIgnored(t *testing.T) {
	cache := newFilledCache()
	revisions := cache.Turns()
	assert.Assert(t, !cache.Body(4, []byte("four")))
	cache.Stock(0, []waymark.Part{{Destination: "d", Version: 9}, {Destination: "e", Version: 12, Since: 11}})
	cache.Hear(0, &waymark.Signed{Edition: 3, Marks: marks(9, true, nil)})
	cache.Borrow(0, &waymark.Lend{Edition: 2, Parts: []waymark.Part{{Destination: "d", Version: 10}}, Heard: 10})
	cache.Evacuate(3, []string{"x"})
	cache.Evacuate(2, nil)
	assert.DeepEqual(t, cache.Turns(), revisions)
	assert.Equal(t, cache.Edition(), uint64(5))
	assert.Equal(t, cache.Heard(), uint64(10))
	_, zones := cache.Evacuated()
	assert.DeepEqual(t, zones, []string{"x"})
}

// TestChangesNeedTheirBaseVersion: changes are applied only on top of the version they refer to;
// the list of a new term removes the destinations that it does not name.
func TestChangesNeedTheirBaseVersion(t *testing.T) {
	cache := newFilledCache()
	removed := worker("a", 0)
	removed.Gone = true
	cache.Hear(0, &waymark.Signed{Marks: marks(11, false, map[string]uint64{"d": 11}), Parts: []waymark.Part{
		{Destination: "d", Version: 11, Since: 10, Workers: []waymark.Worker{removed, worker("c", 0)}}}})
	assert.DeepEqual(t, cache.Workers(0, "d"), []waymark.Worker{worker("c", 0)})
	assert.Assert(t, cache.Has(&waymark.Subscribe{Parts: map[string]uint64{"d": 11, "e": 11}}), "unchanged destinations are valid for the new version too")
	cache.Hear(0, &waymark.Signed{Marks: marks(20, true, map[string]uint64{"d": 20})})
	assert.Equal(t, len(cache.Workers(0, "e")), 0)
	assert.Equal(t, len(cache.Workers(0, "d")), 1, "kept until the new list is received")
	assert.DeepEqual(t, heartbeatOf(cache).Want, map[string]uint64{"d": 11})
}

// TestGiveSendsChangesWhereKnown: a peer that holds a version gets the changes since then if all
// are known, or else the full list.
func TestGiveSendsChangesWhereKnown(t *testing.T) {
	removed := worker("a", 0)
	removed.Gone = true
	owner := New()
	owner.Hear(0, &waymark.Signed{Marks: marks(10, true, map[string]uint64{"d": 10}), Parts: []waymark.Part{
		{Destination: "d", Version: 10, Workers: []waymark.Worker{worker("a", 0), worker("b", 0)}}}})
	owner.Stock(0, []waymark.Part{{Destination: "d", Version: 11, Since: 10, Workers: []waymark.Worker{worker("c", 0)}}})
	owner.Stock(0, []waymark.Part{{Destination: "d", Version: 12, Since: 11, Workers: []waymark.Worker{removed}}})
	for _, c := range []struct {
		name    string
		have    uint64
		later   float64
		since   uint64
		workers []waymark.Worker
	}{
		{name: "the peer holds nothing", workers: []waymark.Worker{worker("b", 0), worker("c", 0)}},
		{name: "all known changes", have: 10, since: 10, workers: []waymark.Worker{worker("c", 0), {ID: "a", Gone: true}}},
		{name: "the last change", have: 11, since: 11, workers: []waymark.Worker{{ID: "a", Gone: true}}},
		{name: "no change", have: 12, since: 12},
		{name: "since before the owner's list", have: 9, workers: []waymark.Worker{worker("b", 0), worker("c", 0)}},
		{name: "since before a removal that is forgotten", have: 11, later: removedRetentionMs + 1, workers: []waymark.Worker{worker("b", 0), worker("c", 0), worker("e", 0)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			version := uint64(12)
			if c.later > 0 {
				version = 13
				owner.Stock(c.later, []waymark.Part{{Destination: "d", Version: 13, Since: 12, Workers: []waymark.Worker{worker("e", 0)}}})
			}
			answer := owner.Give(c.later, &waymark.Subscribe{Parts: map[string]uint64{"d": version}, Have: map[string]uint64{"d": c.have}})
			assert.DeepEqual(t, answer.Parts, []waymark.Part{{Destination: "d", Version: version, Since: c.since, Workers: c.workers}})
		})
	}
}

// TestColdPeriodRunsDownInCache guards against a cold period that grows longer with each cache the
// worker passes through.
func TestColdPeriodRunsDownInCache(t *testing.T) {
	owner := newFilledCache()
	answer := owner.Give(1000, &waymark.Subscribe{Parts: map[string]uint64{"d": 11, "e": 10}})
	assert.Equal(t, len(answer.Parts), 1, "data older than requested is left out")
	assert.DeepEqual(t, answer.Parts[0].Workers, []waymark.Worker{worker("b", 2000)})
	receiver := New()
	receiver.Stock(70_000, answer.Parts)
	assert.DeepEqual(t, receiver.Workers(72_500, "e"), []waymark.Worker{worker("b", 0)})
}

// TestHandover hands data over to a cache that holds nothing, to one that holds a part and to one
// that holds as much.
func TestHandover(t *testing.T) {
	sender := newFilledCache()
	sender.Evacuate(6, []string{"x"})
	partial := New()
	partial.Body(5, []byte("five"))
	partial.Stock(0, []waymark.Part{{Destination: "d", Version: 11}})
	for _, c := range []struct {
		name  string
		to    *Cache
		body  bool
		parts int
		heard uint64
	}{
		{"nothing", New(), true, 2, 10},
		{"part of the data", partial, false, 1, 10},
		{"the same data", newFilledCache(), false, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			offer := sender.Offer()
			assert.Assert(t, c.to.Exceeds(&offer))
			held := c.to.Held()
			handover, nonEmpty := sender.Lend(0, &held)
			assert.Assert(t, nonEmpty && (handover.Body != nil) == c.body)
			assert.Equal(t, len(handover.Parts), c.parts)
			c.to.Borrow(0, &handover)
			c.to.Body(handover.Edition, handover.Body)
			assert.Equal(t, c.to.Heard(), c.heard)
			assert.Assert(t, !c.to.Exceeds(&offer))
			held = c.to.Held()
			_, nonEmpty = sender.Lend(0, &held)
			assert.Assert(t, !nonEmpty)
		})
	}
	// The traffic-mirroring order is handed over too, and never replaced by an older one.
	sender.Hear(0, &waymark.Signed{Shadow: 7, Order: []byte("seven")})
	sender.Hear(0, &waymark.Signed{Shadow: 6, Order: []byte("six")})
	for _, late := range []*Cache{New(), newFilledCache()} {
		offer, held := sender.Offer(), late.Held()
		assert.Assert(t, late.Exceeds(&offer))
		handover, nonEmpty := sender.Lend(0, &held)
		assert.Assert(t, nonEmpty)
		late.Borrow(0, &handover)
		number, order := late.Order()
		assert.Assert(t, number == 7 && string(order) == "seven" && heartbeatOf(late).Shadow == 7)
		held = late.Held()
		handover, _ = sender.Lend(0, &held)
		assert.Assert(t, handover.Order == nil)
	}
	// A cache that lacks some of the announced data does not hand on the announced version.
	sender.Hear(0, &waymark.Signed{Marks: marks(12, false, map[string]uint64{"d": 12})})
	held := New().Held()
	handover, _ := sender.Lend(0, &held)
	to := New()
	to.Borrow(0, &handover)
	assert.Equal(t, to.Heard(), uint64(0))
}
