package registry

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

// worker returns a warm, open worker of the destination d, with changes applied.
func worker(id string, change ...func(*api.Worker)) api.Worker {
	worker := api.Worker{ID: id, Destination: "d", Addr: id + ":80", Zone: "z", Slots: 2}
	for _, apply := range change {
		apply(&worker)
	}
	return worker
}

// workerIDs returns the IDs of a list's workers, with a minus sign before removed ones.
func workerIDs(list *api.EndpointList) (names []string) {
	for _, w := range list.Workers {
		name := w.ID
		if w.Removed {
			name = "-" + name
		}
		names = append(names, name)
	}
	return names
}

func closing(w *api.Worker) { w.Draining = true }
func coldFor(ms float64) func(*api.Worker) {
	return func(w *api.Worker) { w.SlowStartLeftMS = ms }
}

func TestChangesSinceAVersion(t *testing.T) {
	endpoints := newEndpointList()
	assert.Assert(t, endpoints.applyPlatformList(0, 1, []api.Worker{worker("a"), worker("b")}))
	first := endpoints.version
	assert.Assert(t, !endpoints.applyPlatformList(400, 1, []api.Worker{worker("a"), worker("b")}), "the same list changes nothing")
	assert.Assert(t, endpoints.applyPlatformList(800, 1, []api.Worker{worker("a", closing), worker("c")}))
	full := endpoints.since(800, 0)
	assert.Assert(t, full.Complete)
	assert.DeepEqual(t, workerIDs(full), []string{"a", "c"})
	changes := endpoints.since(800, first)
	assert.Assert(t, !changes.Complete)
	assert.DeepEqual(t, workerIDs(changes), []string{"a", "-b", "c"})
	assert.Assert(t, endpoints.since(800, endpoints.version) == nil)
}

// TestRunningDownColdPeriodIsNoChange guards against announcing every cold worker after every poll,
// because its remaining cold period is shorter in each list.
func TestRunningDownColdPeriodIsNoChange(t *testing.T) {
	endpoints := newEndpointList()
	endpoints.applyPlatformList(0, 1, []api.Worker{worker("a", coldFor(3000))})
	assert.Assert(t, !endpoints.applyPlatformList(400, 1, []api.Worker{worker("a", coldFor(2600))}))
	assert.Equal(t, endpoints.since(1000, 0).Workers[0].SlowStartLeftMS, 2000.0)
	assert.Assert(t, endpoints.applyPlatformList(800, 1, []api.Worker{worker("a", coldFor(3000))}), "cold again")
	assert.Assert(t, !endpoints.applyPlatformList(3900, 1, []api.Worker{worker("a")}), "the cold period ends as announced")
}

// TestNewTermSendsFullList guards against changes made by the previous holder that the new one
// never received: a gatekeeper that holds them is sent the full list.
func TestNewTermSendsFullList(t *testing.T) {
	previous := newEndpointList()
	previous.applyPlatformList(0, 1, []api.Worker{worker("a"), worker("b")})
	next := newEndpointList()
	assert.Assert(t, next.merge(0, previous.since(0, 0)))
	previous.applyPlatformList(400, 1, []api.Worker{worker("a")})
	assert.Assert(t, next.applyPlatformList(800, 2, []api.Worker{worker("a"), worker("b")}))
	assert.Assert(t, next.version > previous.version)
	update := next.since(800, previous.version)
	assert.Assert(t, update.Complete)
	assert.DeepEqual(t, workerIDs(update), []string{"a", "b"})
	assert.Assert(t, previous.merge(800, update))
	assert.Assert(t, !previous.merge(800, &api.EndpointList{Version: 1<<termShift | 1, Complete: true}), "a list of an older term is ignored")
}

// TestReturnedWorkerIsAnnounced guards against a gatekeeper that learned of a worker's removal from
// one registry and then uses another, which has seen neither the removal nor the return.
func TestReturnedWorkerIsAnnounced(t *testing.T) {
	first, second := newEndpointList(), newEndpointList()
	first.applyPlatformList(0, 1, []api.Worker{worker("a"), worker("b")})
	assert.Assert(t, second.merge(0, first.since(0, 0)))
	first.applyPlatformList(400, 1, []api.Worker{worker("b")})
	knownVersion := first.version
	first.applyPlatformList(800, 1, []api.Worker{worker("a"), worker("b")})
	assert.Assert(t, second.merge(800, first.since(800, second.version)))
	assert.DeepEqual(t, workerIDs(second.since(800, knownVersion)), []string{"a"})
	assert.Equal(t, second.partSince(800, "d", knownVersion).Workers[0].ID, "a")
}
