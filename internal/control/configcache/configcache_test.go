package configcache

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/control/membership"
	"foxwood/internal/rpc/api"
)

func worker(id string, cold float64) api.Worker {
	return api.Worker{ID: id, Addr: id + ":80", SlowStartLeftMS: cold}
}

func marks(version uint64, whole bool, changedAt map[string]uint64) *api.EndpointChanges {
	m := &api.EndpointChanges{Version: version, Complete: whole, VersionsBehind: map[string]uint64{}}
	for name, v := range changedAt {
		m.VersionsBehind[name] = version - v
	}
	return m
}

// newFilledCache returns a cache that holds configuration version 5 and endpoint version 10 of the destinations d
// and e.
func newFilledCache() *Cache {
	cache := New()
	cache.SetConfiguration(5, []byte("five"))
	cache.ApplyAnswer(0, &api.SessionResponse{ConfigVersion: 5, EndpointChanges: marks(10, true, map[string]uint64{"d": 10, "e": 8}), Endpoints: []api.DestinationEndpoints{
		{Destination: "d", Version: 10, Workers: []api.Worker{worker("a", 0)}},
		{Destination: "e", Version: 10, Workers: []api.Worker{worker("b", 3000)}},
	}})
	return cache
}

func heartbeatOf(cache *Cache) (heartbeat api.SessionRequest) {
	cache.FillHeartbeat(&heartbeat)
	return heartbeat
}

// TestPlanRequestsEachUpdateOnce checks where each update is requested: once from its zone home,
// and from the registry after that.
func TestPlanRequestsEachUpdateOnce(t *testing.T) {
	const zone = "z"
	peers := []string{"g1", "g2", "g3"}
	owner := func(service string) string { return membership.OwnerAmong(peers, zone, service) }
	update := &api.SessionResponse{ConfigVersion: 7, ConfigBytes: 900, EndpointChanges: marks(12, false, map[string]uint64{"d": 12})}
	for _, c := range []struct {
		name  string
		prior func(*Cache)
		zone  ZonePeers
		asks  map[string]api.SubscribeRequest // not set by any case
		none  bool
	}{
		{name: "owners are known", zone: ZonePeers{Name: zone, Self: "me", Peers: peers}},
		{name: "this gatekeeper is the only owner", zone: ZonePeers{Name: zone, Self: "me", SelfReady: true}, none: true},
		{name: "no owner is known", zone: ZonePeers{Name: zone, Self: "me"}, none: true},
		{name: "the owner has just failed", zone: ZonePeers{Name: zone, Self: "me", Peers: peers}, none: true, prior: func(cache *Cache) {
			for _, owner := range peers {
				cache.RecordAnswer(-ownerRetryDelayMs/2, owner, &api.SubscribeRequest{}, errors.New("late"))
			}
		}},
		{name: "the owner failed longer ago than the delay", zone: ZonePeers{Name: zone, Self: "me", Peers: peers}, prior: func(cache *Cache) {
			for _, owner := range peers {
				cache.RecordAnswer(-ownerRetryDelayMs, owner, &api.SubscribeRequest{}, errors.New("late"))
			}
		}},
		{name: "the owner held less than was announced", zone: ZonePeers{Name: zone, Self: "me", Peers: peers}, none: true, prior: func(cache *Cache) {
			for _, owner := range peers {
				cache.RecordAnswer(0, owner, &api.SubscribeRequest{EndpointVersions: map[string]uint64{"d": 11}}, nil)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := newFilledCache()
			if c.prior != nil {
				c.prior(cache)
			}
			cache.ApplyAnswer(0, update)
			requests, size := cache.PlanRequests(0, c.zone)
			if c.none {
				assert.Equal(t, len(requests), 0)
			} else {
				want := map[string]api.SubscribeRequest{owner(ConfigurationKey): {ConfigVersion: 7}}
				request := want[owner("d")]
				request.EndpointVersions, request.HeldVersions = map[string]uint64{"d": 12}, map[string]uint64{"d": 10}
				want[owner("d")] = request
				assert.DeepEqual(t, requests, want)
				assert.Equal(t, size, 900)
			}
			repeated, _ := cache.PlanRequests(0, c.zone)
			assert.Equal(t, len(repeated), 0, "each update is requested from an owner once")
			request := heartbeatOf(cache)
			assert.Assert(t, request.WantConfig, "missing data is requested from the registry")
			assert.DeepEqual(t, request.WantEndpoints, map[string]uint64{"d": 10})
		})
	}
}

// TestReceivedDataIsNotRequestedAgain guards against requesting from the registry what a zone home
// has already supplied.
func TestReceivedDataIsNotRequestedAgain(t *testing.T) {
	cache := newFilledCache()
	cache.ApplyAnswer(0, &api.SessionResponse{ConfigVersion: 7, EndpointChanges: marks(12, false, map[string]uint64{"d": 12})})
	cache.AddParts(0, []api.DestinationEndpoints{{Destination: "d", Version: 13, Workers: []api.Worker{worker("c", 0)}}})
	cache.SetConfiguration(7, nil)
	heartbeat := heartbeatOf(cache)
	assert.Assert(t, !heartbeat.WantConfig && heartbeat.WantEndpoints == nil)
	assert.Equal(t, heartbeat.EndpointsVersion, uint64(12))
}

// TestOlderDataIsIgnored sends data from senders that are wrong or behind.
func TestOlderDataIsIgnored(t *testing.T) {
	cache := newFilledCache()
	revisions := cache.Revisions()
	assert.Assert(t, !cache.SetConfiguration(4, []byte("four")))
	cache.AddParts(0, []api.DestinationEndpoints{{Destination: "d", Version: 9}, {Destination: "e", Version: 12, Since: 11}})
	cache.ApplyAnswer(0, &api.SessionResponse{ConfigVersion: 3, EndpointChanges: marks(9, true, nil)})
	cache.AcceptHandover(0, &api.PeerSyncRequest{ConfigVersion: 2, Endpoints: []api.DestinationEndpoints{{Destination: "d", Version: 10}}, EndpointsVersion: 10})
	cache.SetEvacuatedZones(3, []string{"x"})
	cache.SetEvacuatedZones(2, nil)
	assert.DeepEqual(t, cache.Revisions(), revisions)
	assert.Equal(t, cache.Edition(), uint64(5))
	assert.Equal(t, cache.AnnouncedVersion(), uint64(10))
	_, zones := cache.EvacuatedZones()
	assert.DeepEqual(t, zones, []string{"x"})
}

// TestChangesNeedTheirBaseVersion: changes are applied only on top of the version they refer to;
// the list of a new term removes the destinations that it does not name.
func TestChangesNeedTheirBaseVersion(t *testing.T) {
	cache := newFilledCache()
	removed := worker("a", 0)
	removed.Removed = true
	cache.ApplyAnswer(0, &api.SessionResponse{EndpointChanges: marks(11, false, map[string]uint64{"d": 11}), Endpoints: []api.DestinationEndpoints{
		{Destination: "d", Version: 11, Since: 10, Workers: []api.Worker{removed, worker("c", 0)}}}})
	assert.DeepEqual(t, cache.Workers(0, "d"), []api.Worker{worker("c", 0)})
	assert.Assert(t, cache.CanAnswer(&api.SubscribeRequest{EndpointVersions: map[string]uint64{"d": 11, "e": 11}}), "unchanged destinations are valid for the new version too")
	cache.ApplyAnswer(0, &api.SessionResponse{EndpointChanges: marks(20, true, map[string]uint64{"d": 20})})
	assert.Equal(t, len(cache.Workers(0, "e")), 0)
	assert.Equal(t, len(cache.Workers(0, "d")), 1, "kept until the new list is received")
	assert.DeepEqual(t, heartbeatOf(cache).WantEndpoints, map[string]uint64{"d": 11})
}

// TestGiveSendsChangesWhereKnown: a peer that holds a version gets the changes since then if all
// are known, or else the full list.
func TestGiveSendsChangesWhereKnown(t *testing.T) {
	removed := worker("a", 0)
	removed.Removed = true
	owner := New()
	owner.ApplyAnswer(0, &api.SessionResponse{EndpointChanges: marks(10, true, map[string]uint64{"d": 10}), Endpoints: []api.DestinationEndpoints{
		{Destination: "d", Version: 10, Workers: []api.Worker{worker("a", 0), worker("b", 0)}}}})
	owner.AddParts(0, []api.DestinationEndpoints{{Destination: "d", Version: 11, Since: 10, Workers: []api.Worker{worker("c", 0)}}})
	owner.AddParts(0, []api.DestinationEndpoints{{Destination: "d", Version: 12, Since: 11, Workers: []api.Worker{removed}}})
	for _, c := range []struct {
		name    string
		have    uint64
		later   float64
		since   uint64
		workers []api.Worker
	}{
		{name: "the peer holds nothing", workers: []api.Worker{worker("b", 0), worker("c", 0)}},
		{name: "all known changes", have: 10, since: 10, workers: []api.Worker{worker("c", 0), {ID: "a", Removed: true}}},
		{name: "the last change", have: 11, since: 11, workers: []api.Worker{{ID: "a", Removed: true}}},
		{name: "no change", have: 12, since: 12},
		{name: "since before the owner's list", have: 9, workers: []api.Worker{worker("b", 0), worker("c", 0)}},
		{name: "since before a removal that is forgotten", have: 11, later: removedRetentionMs + 1, workers: []api.Worker{worker("b", 0), worker("c", 0), worker("e", 0)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			version := uint64(12)
			if c.later > 0 {
				version = 13
				owner.AddParts(c.later, []api.DestinationEndpoints{{Destination: "d", Version: 13, Since: 12, Workers: []api.Worker{worker("e", 0)}}})
			}
			answer := owner.Answer(c.later, &api.SubscribeRequest{EndpointVersions: map[string]uint64{"d": version}, HeldVersions: map[string]uint64{"d": c.have}})
			assert.DeepEqual(t, answer.Endpoints, []api.DestinationEndpoints{{Destination: "d", Version: version, Since: c.since, Workers: c.workers}})
		})
	}
}

// TestColdPeriodRunsDownInCache guards against a cold period that grows longer with each cache the
// worker passes through.
func TestColdPeriodRunsDownInCache(t *testing.T) {
	owner := newFilledCache()
	answer := owner.Answer(1000, &api.SubscribeRequest{EndpointVersions: map[string]uint64{"d": 11, "e": 10}})
	assert.Equal(t, len(answer.Endpoints), 1, "data older than requested is left out")
	assert.DeepEqual(t, answer.Endpoints[0].Workers, []api.Worker{worker("b", 2000)})
	receiver := New()
	receiver.AddParts(70_000, answer.Endpoints)
	assert.DeepEqual(t, receiver.Workers(72_500, "e"), []api.Worker{worker("b", 0)})
}

// TestHandover hands data over to a cache that holds nothing, to one that holds a part and to one
// that holds as much.
func TestHandover(t *testing.T) {
	sender := newFilledCache()
	sender.SetEvacuatedZones(6, []string{"x"})
	partial := New()
	partial.SetConfiguration(5, []byte("five"))
	partial.AddParts(0, []api.DestinationEndpoints{{Destination: "d", Version: 11}})
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
			assert.Assert(t, c.to.LacksAnyOf(&offer))
			held := c.to.HeldVersions()
			handover, nonEmpty := sender.HandOver(0, &held)
			assert.Assert(t, nonEmpty && (handover.Config != nil) == c.body)
			assert.Equal(t, len(handover.Endpoints), c.parts)
			c.to.AcceptHandover(0, &handover)
			c.to.SetConfiguration(handover.ConfigVersion, handover.Config)
			assert.Equal(t, c.to.AnnouncedVersion(), c.heard)
			assert.Assert(t, !c.to.LacksAnyOf(&offer))
			held = c.to.HeldVersions()
			_, nonEmpty = sender.HandOver(0, &held)
			assert.Assert(t, !nonEmpty)
		})
	}
	// The traffic-mirroring order is handed over too, and never replaced by an older one.
	sender.ApplyAnswer(0, &api.SessionResponse{MirrorOrderNumber: 7, MirrorOrder: []byte("seven")})
	sender.ApplyAnswer(0, &api.SessionResponse{MirrorOrderNumber: 6, MirrorOrder: []byte("six")})
	for _, late := range []*Cache{New(), newFilledCache()} {
		offer, held := sender.Offer(), late.HeldVersions()
		assert.Assert(t, late.LacksAnyOf(&offer))
		handover, nonEmpty := sender.HandOver(0, &held)
		assert.Assert(t, nonEmpty)
		late.AcceptHandover(0, &handover)
		number, order := late.MirrorOrder()
		assert.Assert(t, number == 7 && string(order) == "seven" && heartbeatOf(late).MirrorOrderNumber == 7)
		held = late.HeldVersions()
		handover, _ = sender.HandOver(0, &held)
		assert.Assert(t, handover.MirrorOrder == nil)
	}
	// A cache that lacks some of the announced data does not hand on the announced version.
	sender.ApplyAnswer(0, &api.SessionResponse{EndpointChanges: marks(12, false, map[string]uint64{"d": 12})})
	held := New().HeldVersions()
	handover, _ := sender.HandOver(0, &held)
	to := New()
	to.AcceptHandover(0, &handover)
	assert.Equal(t, to.AnnouncedVersion(), uint64(0))
}
