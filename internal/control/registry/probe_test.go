package registry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

// TestTakeDueProbes: new and cold workers are probed, neither old nor closing ones.
func TestTakeDueProbes(t *testing.T) {
	endpoints := newEndpointList()
	endpoints.applyPlatformList(100, 1, []api.Worker{worker("old"), worker("cold", coldFor(3000)), worker("away", coldFor(3000), closing)})
	endpoints.applyPlatformList(500, 1, []api.Worker{worker("old"), worker("cold", coldFor(2600)), worker("away", coldFor(2600), closing), worker("new")})
	assert.DeepEqual(t, endpoints.takeDueProbes(600, 1), []string{"cold"})
	assert.DeepEqual(t, endpoints.takeDueProbes(600, 9), []string{"new"}) // each one once in two seconds
	assert.Equal(t, len(endpoints.takeDueProbes(1000, 9)), 0)
	assert.DeepEqual(t, endpoints.takeDueProbes(2700, 9), []string{"cold", "new"})
	assert.Equal(t, len(endpoints.takeDueProbes(9000, 9)), 0, "the workers are neither new nor cold any more")
}

// TestProbeOverridesList: a worker's own answer overrides the list, which is older, for a while.
// Otherwise a worker that has just become cold would be announced as warm again by the next poll.
func TestProbeOverridesList(t *testing.T) {
	endpoints := newEndpointList()
	endpoints.applyPlatformList(100, 1, []api.Worker{worker("a")})
	before := endpoints.version
	assert.Assert(t, !endpoints.applyProbe(200, 1, "a", 0), "the probe agrees with the list")
	assert.Assert(t, endpoints.applyProbe(200, 1, "a", 4000))
	assert.Assert(t, endpoints.version > before)
	assert.Equal(t, endpoints.since(300, before).Workers[0].SlowStartLeftMS, 3900.0)
	assert.Assert(t, !endpoints.applyPlatformList(600, 1, []api.Worker{worker("a")}), "the probe overrides the list")
	assert.Assert(t, endpoints.applyPlatformList(2600, 1, []api.Worker{worker("a")}), "the probe's answer has expired")
	assert.Assert(t, !endpoints.applyProbe(2700, 1, "b", 4000), "an unknown worker")
}

// TestProbeWorker: only a valid answer of the expected worker counts.
func TestProbeWorker(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		id     string
		cold   string
		want   float64
		ok     bool
	}{
		{"warm", 200, "w", "", 0, true},
		{"cold", 200, "w", "1250", 1250, true},
		{"another worker at its address", 200, "x", "1250", 0, false},
		{"draining", 503, "w", "", 0, false},
		{"not a number", 200, "w", "soon", 0, false},
		{"negative", 200, "w", "-5", -5, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(workerIDHeader, c.id)
			if c.cold != "" {
				w.Header().Set(coldHeader, c.cold)
			}
			w.WriteHeader(c.status)
		}))
		coldMs, ok := probeWorker(t.Context(), server.URL+"/health", "w")
		server.Close()
		assert.Equal(t, ok, c.ok, c.name)
		if ok {
			assert.Equal(t, coldMs, c.want, c.name)
		}
	}
}
