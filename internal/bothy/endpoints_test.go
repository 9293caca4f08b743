package bothy

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/waymark"
)

func worker(id string, change ...func(*waymark.Worker)) waymark.Worker {
	w := waymark.Worker{ID: id, Destination: "d", Addr: id + ":80", Zone: "z", Berths: 2}
	for _, do := range change {
		do(&w)
	}
	return w
}

func ids(r *waymark.Roster) (out []string) {
	for _, w := range r.Workers {
		name := w.ID
		if w.Gone {
			name = "-" + name
		}
		out = append(out, name)
	}
	return out
}

func closing(w *waymark.Worker) { w.Closing = true }
func cold(ms float64) func(*waymark.Worker) {
	return func(w *waymark.Worker) { w.Cold = ms }
}

func TestChangesSinceAVersion(t *testing.T) {
	r := newEndpointList()
	assert.Assert(t, r.applyPlatformList(0, 1, []waymark.Worker{worker("a"), worker("b")}))
	first := r.version
	assert.Assert(t, !r.applyPlatformList(400, 1, []waymark.Worker{worker("a"), worker("b")}), "the same list is no news")
	assert.Assert(t, r.applyPlatformList(800, 1, []waymark.Worker{worker("a", closing), worker("c")}))
	whole := r.since(800, 0)
	assert.Assert(t, whole.Whole)
	assert.DeepEqual(t, ids(whole), []string{"a", "c"})
	part := r.since(800, first)
	assert.Assert(t, !part.Whole)
	assert.DeepEqual(t, ids(part), []string{"a", "-b", "c"})
	assert.Assert(t, r.since(800, r.version) == nil)
}

// TestAColdTimeThatRunsDownIsNoNews guards against telling every gatekeeper of every worker at
// every poll, as the list counts a cold time down.
func TestAColdTimeThatRunsDownIsNoNews(t *testing.T) {
	r := newEndpointList()
	r.applyPlatformList(0, 1, []waymark.Worker{worker("a", cold(3000))})
	assert.Assert(t, !r.applyPlatformList(400, 1, []waymark.Worker{worker("a", cold(2600))}))
	assert.Equal(t, r.since(1000, 0).Workers[0].Cold, 2000.0)
	assert.Assert(t, r.applyPlatformList(800, 1, []waymark.Worker{worker("a", cold(3000))}), "cold again")
	assert.Assert(t, !r.applyPlatformList(3900, 1, []waymark.Worker{worker("a")}), "over as was told")
}

// TestAnotherTermTellsAll guards against changes that the last holder made and the new one never
// saw: whoever holds them is told the whole list.
func TestAnotherTermTellsAll(t *testing.T) {
	old := newEndpointList()
	old.applyPlatformList(0, 1, []waymark.Worker{worker("a"), worker("b")})
	fresh := newEndpointList()
	assert.Assert(t, fresh.merge(0, old.since(0, 0)))
	old.applyPlatformList(400, 1, []waymark.Worker{worker("a")})
	assert.Assert(t, fresh.applyPlatformList(800, 2, []waymark.Worker{worker("a"), worker("b")}))
	assert.Assert(t, fresh.version > old.version)
	got := fresh.since(800, old.version)
	assert.Assert(t, got.Whole)
	assert.DeepEqual(t, ids(got), []string{"a", "b"})
	assert.Assert(t, old.merge(800, got))
	assert.Assert(t, !old.merge(800, &waymark.Roster{Version: 1<<termShift | 1, Whole: true}), "an older term's")
}

// TestOneThatCameBackUnseenIsTold guards against a gatekeeper that heard of a worker's going from
// one bothy, and then signs with another that has seen neither its going nor its return.
func TestOneThatCameBackUnseenIsTold(t *testing.T) {
	one, two := newEndpointList(), newEndpointList()
	one.applyPlatformList(0, 1, []waymark.Worker{worker("a"), worker("b")})
	assert.Assert(t, two.merge(0, one.since(0, 0)))
	one.applyPlatformList(400, 1, []waymark.Worker{worker("b")})
	told := one.version
	one.applyPlatformList(800, 1, []waymark.Worker{worker("a"), worker("b")})
	assert.Assert(t, two.merge(800, one.since(800, two.version)))
	assert.DeepEqual(t, ids(two.since(800, told)), []string{"a"})
	assert.Equal(t, two.partSince(800, "d", told).Workers[0].ID, "a")
}
