package configstore

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMetrics checks the metrics of a machine that forms a chain by itself.
func TestMetrics(t *testing.T) {
	s := open(t, settings(t), noFault)
	end := run(t, s)
	enter(t, s, configuration(3))
	values := map[string]float64{}
	for _, f := range s.Figures(t.Context()) {
		values[f.Name] = f.Value
		if f.Name == "chain_role" {
			assert.Equal(t, f.Labels[0].Value, "sole")
		}
	}
	assert.Equal(t, values["view"], 1.0)
	assert.Equal(t, values["whole"], 1.0)
	assert.Equal(t, values["majority_lost_seconds"], 0.0)
	assert.Equal(t, values["disk_down"], 0.0)
	assert.Equal(t, values["configuration_version"], 3.0)
	assert.NilError(t, end())
}
