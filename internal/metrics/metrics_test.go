package metrics

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fixedSource is a source of fixed values.
type fixedSource []Sample

func (f fixedSource) Figures(context.Context) []Sample { return f }

func TestExposition(t *testing.T) {
	recorder := httptest.NewRecorder()
	Handler(fixedSource{
		Gauge("members", "Members.", 3),
		Counter("refusals_total", "Refusals.", 7, Label{"reason", "quota"}),
		Counter("refusals_total", "Refusals.", 2, Label{"reason", "no_route"}),
		BoolGauge("duty_held", "Duties.", true, Label{"duty", "roster"}),
	}).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(recorder.Header().Get("Content-Type"), "text/plain; version=0.0.4"))
	for _, line := range []string{
		"# TYPE foxwood_members gauge", "foxwood_members 3", "# TYPE foxwood_refusals_total counter",
		`foxwood_refusals_total{reason="quota"} 7`, `foxwood_refusals_total{reason="no_route"} 2`, `foxwood_duty_held{duty="roster"} 1`,
	} {
		assert.Assert(t, strings.Contains(recorder.Body.String(), line+"\n"), "%s is not in\n%s", line, recorder.Body)
	}
}

func TestParseEndpoint(t *testing.T) {
	endpoint, err := ParseEndpoint("9464/metrics")
	assert.NilError(t, err)
	assert.Equal(t, endpoint, Endpoint{Port: 9464, Path: "/metrics"})
	for _, text := range []string{"", "9464", "/metrics", "x/metrics", "0/metrics", "70000/metrics"} {
		_, err := ParseEndpoint(text)
		assert.ErrorContains(t, err, "not PORT/PATH", "%q", text)
	}
}
