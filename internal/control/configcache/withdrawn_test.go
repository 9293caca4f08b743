package configcache

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

const firstOfTerm = 1 << api.TermShift

func part(version, since uint64, workers ...api.Worker) api.DestinationEndpoints {
	return api.DestinationEndpoints{Destination: "d", Version: version, Since: since, Workers: workers}
}

func announcement(version uint64, p api.DestinationEndpoints) *api.SessionResponse {
	return &api.SessionResponse{EndpointChanges: &api.EndpointChanges{Version: version, VersionsBehind: map[string]uint64{"d": version - p.Version}}, Endpoints: []api.DestinationEndpoints{p}}
}

func withdrawals(mark uint64, list ...api.WithdrawnWorker) *api.SessionResponse {
	return &api.SessionResponse{Withdrawn: list, WithdrawnChecksum: mark}
}

// usableWorkers returns the workers that requests may be sent to.
func usableWorkers(cache *Cache) (ids []string) {
	for _, w := range cache.Workers(0, "d") {
		if !w.Draining {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// TestWithdrawnWorkerIsNotUsed: a worker that was withdrawn without a duty holder is not used until
// later data of a duty holder has been received here.
func TestWithdrawnWorkerIsNotUsed(t *testing.T) {
	a, b, c := api.Worker{ID: "a"}, api.Worker{ID: "b"}, api.Worker{ID: "c"}
	const version = 3*firstOfTerm | 7
	initial := announcement(version, part(version, 0, a, b))
	withdrawal := withdrawals(1, api.WithdrawnWorker{ID: "a", ListVersion: version})
	for _, c := range []struct {
		name    string
		answers []*api.SessionResponse
		want    []string
	}{
		{"no withdrawal", []*api.SessionResponse{initial}, []string{"a", "b"}},
		{"withdrawn", []*api.SessionResponse{initial, withdrawal}, []string{"b"}},
		{"withdrawn before the workers are received", []*api.SessionResponse{withdrawal, initial}, []string{"b"}},
		{"the same term announces another worker", []*api.SessionResponse{initial, withdrawal, announcement(version+1, part(version+1, version, c))}, []string{"b", "c"}},
		{"the same term announces the worker later", []*api.SessionResponse{initial, withdrawal, announcement(version+1, part(version+1, version, a))}, []string{"a", "b"}},
		{"the same term announces the worker later, the withdrawal arrives late", []*api.SessionResponse{initial, announcement(version+1, part(version+1, version, a)), withdrawal}, []string{"a", "b"}},
		{"the next term is announced, its workers are not received yet", []*api.SessionResponse{initial, withdrawal,
			{EndpointChanges: &api.EndpointChanges{Version: 4*firstOfTerm | 1, VersionsBehind: map[string]uint64{"d": 0}}}}, []string{"b"}},
		{"the next term's workers are received", []*api.SessionResponse{initial, withdrawal, announcement(4*firstOfTerm|1, part(4*firstOfTerm|1, 0, a, b, c))}, []string{"a", "b", "c"}},
		{"a withdrawal from before the term arrives late", []*api.SessionResponse{initial, announcement(4*firstOfTerm|1, part(4*firstOfTerm|1, 0, a, b, c)), withdrawal}, []string{"a", "b", "c"}},
		{"withdrawn twice, the newer version counts", []*api.SessionResponse{initial, withdrawals(2, api.WithdrawnWorker{ID: "a", ListVersion: version + 2}), withdrawal, announcement(version+1, part(version+1, version, a))}, []string{"b"}},
	} {
		cache := New()
		for _, answer := range c.answers {
			cache.ApplyAnswer(0, answer)
		}
		assert.DeepEqual(t, usableWorkers(cache), c.want)
	}
	cache := New()
	cache.ApplyAnswer(0, initial)
	revision := cache.Revisions()["d"]
	cache.ApplyAnswer(0, withdrawal)
	assert.Assert(t, cache.Revisions()["d"] > revision, "the revision rises, so that pools are updated")
	revision = cache.Revisions()["d"]
	cache.ApplyAnswer(0, withdrawal)
	assert.Equal(t, cache.Revisions()["d"], revision)
	var heartbeat api.SessionRequest
	cache.FillHeartbeat(&heartbeat)
	assert.Equal(t, heartbeat.WithdrawnChecksum, uint64(1))
	// Zone peers get the duty holder's data unchanged.
	given := cache.Answer(0, &api.SubscribeRequest{EndpointVersions: map[string]uint64{"d": version}})
	assert.Assert(t, !given.Endpoints[0].Workers[0].Draining)
	cache.ApplyAnswer(0, announcement(4*firstOfTerm|1, part(4*firstOfTerm|1, 0, a, b)))
	assert.Equal(t, len(cache.withdrawn), 0)
}

// TestWithdrawalsCommute: registries without a duty holder report withdrawals in any order,
// repeatedly and late. A withdrawn worker is not used before later data of a duty holder, and in
// the next term the cache holds exactly what that term's holder announced.
func TestWithdrawalsCommute(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		all := []api.Worker{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
		const version = firstOfTerm | 1
		cache := New()
		cache.ApplyAnswer(0, announcement(version, part(version, 0, all...)))
		withdrawn := map[string]bool{}
		var delayed []*api.SessionResponse
		for range 12 {
			var list []api.WithdrawnWorker
			for _, worker := range all {
				if rng.IntN(4) == 0 {
					list = append(list, api.WithdrawnWorker{ID: worker.ID, ListVersion: version + uint64(rng.IntN(3))})
				}
			}
			answer := withdrawals(rng.Uint64()|1, list...)
			if rng.IntN(3) == 0 {
				delayed = append(delayed, answer)
				continue
			}
			cache.ApplyAnswer(0, answer)
			for _, withdrawal := range list {
				withdrawn[withdrawal.ID] = true
			}
			for _, id := range usableWorkers(cache) {
				assert.Assert(t, !withdrawn[id], "seed %d: withdrawn worker %s is used", seed, id)
			}
		}
		listed := all[rng.IntN(len(all)):]
		cache.ApplyAnswer(0, announcement(2*firstOfTerm|1, part(2*firstOfTerm|1, 0, listed...)))
		for _, answer := range delayed {
			cache.ApplyAnswer(0, answer)
		}
		var want []string
		for _, worker := range listed {
			want = append(want, worker.ID)
		}
		slices.Sort(want)
		assert.DeepEqual(t, usableWorkers(cache), want)
	}
}
