package bothy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/configcache"
	"foxwood/internal/membership"
	"foxwood/internal/waymark"
)

// membersOfZone returns ready members of the zone z.
func membersOfZone(nodes ...string) (members membership.Roll) {
	for _, node := range nodes {
		members.Members = append(members.Members, membership.Member{Station: node, Zone: "z", Inner: node, Ready: true})
	}
	return members
}

// TestUpdatesGoToZoneHomes: configurations and workers are sent to zone homes, to a gatekeeper that
// holds nothing, and to one that requests them.
func TestUpdatesGoToZoneHomes(t *testing.T) {
	members := membersOfZone("g1", "g2", "g3")
	configurationOwner, workersOwner := membership.Home(members, "z", configcache.Timetable), membership.Home(members, "z", "d")
	other := ""
	for _, member := range members.Members {
		if member.Inner != configurationOwner && member.Inner != workersOwner {
			other = member.Inner
		}
	}
	registry := &Bothy{endpoints: newEndpointList()}
	registry.committed.Edition, registry.packedConfiguration = 7, waymark.Deflate([]byte("seven"))
	registry.endpoints.applyPlatformList(0, 1, []waymark.Worker{worker("a")})
	olderVersion := registry.endpoints.version
	registry.endpoints.applyPlatformList(0, 1, []waymark.Worker{worker("a", closing)})
	for _, c := range []struct {
		name       string
		members    membership.Roll
		heartbeat  waymark.Sign
		body, part bool
	}{
		{"zone home of the configuration", members, waymark.Sign{Member: membership.Member{Inner: configurationOwner}, Edition: 5, Roster: olderVersion}, true, configurationOwner == workersOwner},
		{"zone home of the workers", members, waymark.Sign{Member: membership.Member{Inner: workersOwner}, Edition: 5, Roster: olderVersion}, configurationOwner == workersOwner, true},
		{"another gatekeeper", members, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: olderVersion}, false, false},
		{"another that requests the configuration", members, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: olderVersion, Body: true}, true, false},
		{"another that requests the workers", members, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: registry.endpoints.version,
			Want: map[string]uint64{"d": olderVersion}}, false, true},
		{"another that holds nothing", members, waymark.Sign{Member: membership.Member{Inner: other}}, true, true},
		{"there is no zone home", membership.Roll{}, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: olderVersion}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.heartbeat.Member.Zone = "z"
			var answer waymark.Signed
			assert.Assert(t, registry.addConfigurationAndEndpoints(0, c.members, &c.heartbeat, &answer))
			assert.Equal(t, answer.Edition, uint64(7))
			assert.Equal(t, len(answer.Body) > 0, c.body)
			assert.Equal(t, len(answer.Parts) > 0, c.part)
			assert.Equal(t, answer.Marks != nil, c.heartbeat.Roster < registry.endpoints.version)
		})
	}
	var answer waymark.Signed
	heartbeat := waymark.Sign{Member: membership.Member{Inner: configurationOwner, Zone: "z"}, Edition: 7, Roster: registry.endpoints.version}
	assert.Assert(t, !registry.addConfigurationAndEndpoints(0, members, &heartbeat, &answer), "no updates")
}

// TestCachesConverge runs random changes of the list, new terms, late gossip, failing zone homes
// and differing member lists: one heartbeat after the requests to zone homes, each cache holds what
// its registry holds.
func TestCachesConverge(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 1))
		now, term := 0.0, uint64(1)
		registries := []*Bothy{{endpoints: newEndpointList()}, {endpoints: newEndpointList()}}
		names := []string{"g1", "g2", "g3", "g4"}
		caches := map[string]*configcache.Cache{}
		for _, name := range names {
			caches[name] = configcache.New()
		}
		list := map[string]waymark.Worker{}
		for range 120 {
			now += 400
			for range 1 + random.IntN(3) {
				id := fmt.Sprint("w", random.IntN(12))
				switch random.IntN(4) {
				case 0:
					delete(list, id)
				case 1:
					list[id] = worker(id, closing, func(w *waymark.Worker) { w.Destination = "d" + id[1:2] })
				default:
					list[id] = worker(id, func(w *waymark.Worker) { w.Destination = "d" + id[1:2] })
				}
			}
			if random.IntN(15) == 0 { // a new holder, which may lack the last changes
				term++
				registries[0], registries[1] = registries[1], registries[0]
			}
			if random.IntN(20) == 0 {
				now += 31_000 // removed workers are forgotten
			}
			var all []waymark.Worker
			for _, w := range list {
				all = append(all, w)
			}
			registries[0].endpoints.applyPlatformList(now, term, all)
			if random.IntN(3) > 0 {
				registries[1].endpoints.merge(now, registries[0].endpoints.since(now, registries[1].endpoints.version))
			}
			for _, name := range names {
				if random.IntN(40) == 0 {
					caches[name] = configcache.New()
				}
				cache, registry := caches[name], registries[random.IntN(2)]
				members := membersOfZone(names[random.IntN(2):]...)
				sendHeartbeat := func() {
					q := waymark.Sign{Member: membership.Member{Inner: name, Zone: "z"}}
					cache.Question(&q)
					var answer waymark.Signed
					registry.addConfigurationAndEndpoints(now, members, &q, &answer)
					cache.Hear(now, &answer)
				}
				sendHeartbeat()
				requests, _ := cache.Plan(now, configcache.Zone{Name: "z", Self: name, Ready: true, Near: names[random.IntN(3):]})
				for owner, q := range requests {
					err := fmt.Errorf("late")
					if random.IntN(4) > 0 && owner != name {
						err = nil
						cache.Stock(now, caches[owner].Give(now, &q).Parts)
					}
					cache.Asked(now, owner, &q, err)
				}
				sendHeartbeat()
				for destination := range registry.endpoints.destinationVersions {
					if max(cache.Heard(), cache.Held().Held[destination]) > registry.endpoints.version {
						continue // the cache knows of newer data than its registry
					}
					held := map[string]bool{}
					for _, w := range cache.Workers(now, destination) {
						held[w.ID] = w.Closing
					}
					want := map[string]bool{}
					for id, w := range registry.endpoints.workers {
						if w.Destination == destination && !w.Gone {
							want[id] = w.Closing
						}
					}
					assert.DeepEqual(t, held, want)
				}
			}
		}
	}
}
