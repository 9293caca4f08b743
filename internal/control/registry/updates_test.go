package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/control/configcache"
	"foxwood/internal/control/membership"
	"foxwood/internal/rpc/api"
)

// membersOfZone returns ready members of the zone z.
func membersOfZone(nodes ...string) (members membership.MemberList) {
	for _, node := range nodes {
		members.Members = append(members.Members, membership.Member{Node: node, Zone: "z", PeerAddr: node, Ready: true})
	}
	return members
}

// TestUpdatesGoToZoneHomes: configurations and workers are sent to zone homes, to a gatekeeper that
// holds nothing, and to one that requests them.
func TestUpdatesGoToZoneHomes(t *testing.T) {
	members := membersOfZone("g1", "g2", "g3")
	configurationOwner, workersOwner := membership.Owner(members, "z", configcache.ConfigurationKey), membership.Owner(members, "z", "d")
	other := ""
	for _, member := range members.Members {
		if member.PeerAddr != configurationOwner && member.PeerAddr != workersOwner {
			other = member.PeerAddr
		}
	}
	registry := &Registry{endpoints: newEndpointList()}
	registry.committed.Edition, registry.packedConfiguration = 7, api.Deflate([]byte("seven"))
	registry.endpoints.applyPlatformList(0, 1, []api.Worker{worker("a")})
	olderVersion := registry.endpoints.version
	registry.endpoints.applyPlatformList(0, 1, []api.Worker{worker("a", closing)})
	for _, c := range []struct {
		name       string
		members    membership.MemberList
		heartbeat  api.SessionRequest
		body, part bool
	}{
		{"zone home of the configuration", members, api.SessionRequest{Member: membership.Member{PeerAddr: configurationOwner}, ConfigVersion: 5, EndpointsVersion: olderVersion}, true, configurationOwner == workersOwner},
		{"zone home of the workers", members, api.SessionRequest{Member: membership.Member{PeerAddr: workersOwner}, ConfigVersion: 5, EndpointsVersion: olderVersion}, configurationOwner == workersOwner, true},
		{"another gatekeeper", members, api.SessionRequest{Member: membership.Member{PeerAddr: other}, ConfigVersion: 5, EndpointsVersion: olderVersion}, false, false},
		{"another that requests the configuration", members, api.SessionRequest{Member: membership.Member{PeerAddr: other}, ConfigVersion: 5, EndpointsVersion: olderVersion, WantConfig: true}, true, false},
		{"another that requests the workers", members, api.SessionRequest{Member: membership.Member{PeerAddr: other}, ConfigVersion: 5, EndpointsVersion: registry.endpoints.version,
			WantEndpoints: map[string]uint64{"d": olderVersion}}, false, true},
		{"another that holds nothing", members, api.SessionRequest{Member: membership.Member{PeerAddr: other}}, true, true},
		{"there is no zone home", membership.MemberList{}, api.SessionRequest{Member: membership.Member{PeerAddr: other}, ConfigVersion: 5, EndpointsVersion: olderVersion}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.heartbeat.Member.Zone = "z"
			var answer api.SessionResponse
			assert.Assert(t, registry.addConfigurationAndEndpoints(0, c.members, &c.heartbeat, &answer))
			assert.Equal(t, answer.ConfigVersion, uint64(7))
			assert.Equal(t, len(answer.Config) > 0, c.body)
			assert.Equal(t, len(answer.Endpoints) > 0, c.part)
			assert.Equal(t, answer.EndpointChanges != nil, c.heartbeat.EndpointsVersion < registry.endpoints.version)
		})
	}
	var answer api.SessionResponse
	heartbeat := api.SessionRequest{Member: membership.Member{PeerAddr: configurationOwner, Zone: "z"}, ConfigVersion: 7, EndpointsVersion: registry.endpoints.version}
	assert.Assert(t, !registry.addConfigurationAndEndpoints(0, members, &heartbeat, &answer), "no updates")
}

// TestCachesConverge runs random changes of the list, new terms, late gossip, failing zone homes
// and differing member lists: one heartbeat after the requests to zone homes, each cache holds what
// its registry holds.
func TestCachesConverge(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 1))
		now, term := 0.0, uint64(1)
		registries := []*Registry{{endpoints: newEndpointList()}, {endpoints: newEndpointList()}}
		names := []string{"g1", "g2", "g3", "g4"}
		caches := map[string]*configcache.Cache{}
		for _, name := range names {
			caches[name] = configcache.New()
		}
		list := map[string]api.Worker{}
		for range 120 {
			now += 400
			for range 1 + random.IntN(3) {
				id := fmt.Sprint("w", random.IntN(12))
				switch random.IntN(4) {
				case 0:
					delete(list, id)
				case 1:
					list[id] = worker(id, closing, func(w *api.Worker) { w.Destination = "d" + id[1:2] })
				default:
					list[id] = worker(id, func(w *api.Worker) { w.Destination = "d" + id[1:2] })
				}
			}
			if random.IntN(15) == 0 { // a new holder, which may lack the last changes
				term++
				registries[0], registries[1] = registries[1], registries[0]
			}
			if random.IntN(20) == 0 {
				now += 31_000 // removed workers are forgotten
			}
			var all []api.Worker
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
					q := api.SessionRequest{Member: membership.Member{PeerAddr: name, Zone: "z"}}
					cache.FillHeartbeat(&q)
					var answer api.SessionResponse
					registry.addConfigurationAndEndpoints(now, members, &q, &answer)
					cache.ApplyAnswer(now, &answer)
				}
				sendHeartbeat()
				requests, _ := cache.PlanRequests(now, configcache.ZonePeers{Name: "z", Self: name, SelfReady: true, Peers: names[random.IntN(3):]})
				for owner, q := range requests {
					err := fmt.Errorf("late")
					if random.IntN(4) > 0 && owner != name {
						err = nil
						cache.AddParts(now, caches[owner].Answer(now, &q).Endpoints)
					}
					cache.RecordAnswer(now, owner, &q, err)
				}
				sendHeartbeat()
				for destination := range registry.endpoints.destinationVersions {
					if max(cache.AnnouncedVersion(), cache.HeldVersions().EndpointVersions[destination]) > registry.endpoints.version {
						continue // the cache knows of newer data than its registry
					}
					held := map[string]bool{}
					for _, w := range cache.Workers(now, destination) {
						held[w.ID] = w.Draining
					}
					want := map[string]bool{}
					for id, w := range registry.endpoints.workers {
						if w.Destination == destination && !w.Removed {
							want[id] = w.Draining
						}
					}
					assert.DeepEqual(t, held, want)
				}
			}
		}
	}
}
