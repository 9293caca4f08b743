package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/metrics"
)

// metricValue returns the value of a metric, by its name and the value of its label.
func metricValue(t *testing.T, figures []metrics.Sample, name, label string) float64 {
	t.Helper()
	for _, f := range figures {
		if f.Name == name && (label == "" || len(f.Labels) == 1 && f.Labels[0].Value == label) {
			return f.Value
		}
	}
	t.Errorf("no metric %s %s", name, label)
	return 0
}

// TestMetrics checks some metrics of a proxy without workers.
func TestMetrics(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.receive(fullList(1), newConfig(t, 12, []routeSpec{{prefix: "/a/", destination: "a"}}))
	res, _ := proxy.do("GET", "/none/", "", "")
	assert.Equal(t, res.StatusCode, 404)
	figures := proxy.Figures(t.Context())
	assert.Equal(t, metricValue(t, figures, "configuration_version", ""), 12.0)
	assert.Equal(t, metricValue(t, figures, "requests_total", ""), 1.0)
	assert.Equal(t, metricValue(t, figures, "refusals_total", "no_route"), 1.0)
	assert.Equal(t, metricValue(t, figures, "refusals_total", "quota"), 0.0)
	assert.Equal(t, metricValue(t, figures, "workers_listed", "a"), 0.0)
	assert.Equal(t, metricValue(t, figures, "cold_sends_total", "a"), 0.0)
	assert.Equal(t, metricValue(t, figures, "ready", ""), 0.0)
}
