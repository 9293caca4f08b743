package switchback

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/metrics"
)

// figure is the value under a name and the value of its label.
func figure(t *testing.T, figures []metrics.Figure, name, label string) float64 {
	t.Helper()
	for _, f := range figures {
		if f.Name == name && (label == "" || len(f.Labels) == 1 && f.Labels[0].Value == label) {
			return f.Value
		}
	}
	t.Errorf("no figure %s %s", name, label)
	return 0
}

func TestFigures(t *testing.T) {
	s := open(t)
	s.hear(roll(1), table(t, 12, []course{{prefix: "/a/", to: "a"}}))
	res, _ := s.ask("GET", "/none/", "", "")
	assert.Equal(t, res.StatusCode, 404)
	f := s.Figures(t.Context())
	assert.Equal(t, figure(t, f, "configuration_version", ""), 12.0)
	assert.Equal(t, figure(t, f, "requests_total", ""), 1.0)
	assert.Equal(t, figure(t, f, "refusals_total", "no_route"), 1.0)
	assert.Equal(t, figure(t, f, "refusals_total", "quota"), 0.0)
	assert.Equal(t, figure(t, f, "workers_listed", "a"), 0.0)
	assert.Equal(t, figure(t, f, "cold_sends_total", "a"), 0.0)
	assert.Equal(t, figure(t, f, "ready", ""), 0.0)
}
