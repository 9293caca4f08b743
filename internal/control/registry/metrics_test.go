package registry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
)

func TestMetrics(t *testing.T) {
	registry := newTestRegistry(t)
	registry.request("control", "PUT", "/timetable", strings.NewReader("{"))
	registry.mu.Lock()
	registry.view = chain.View{Number: 7, Core: []chain.MachineID{{Addr: "127.0.0.1:7461"}}}
	registry.mu.Unlock()
	values := map[string]float64{}
	for _, figure := range registry.Figures(t.Context()) {
		name := figure.Name
		for _, label := range figure.Labels {
			name += " " + label.Value
		}
		values[name] = figure.Value
	}
	assert.Equal(t, values["view"], 7.0)
	assert.Equal(t, values["refusals_total invalid"], 1.0)
	held, known := values["duty_held roster"]
	assert.Assert(t, known && held == 0)
	assert.Equal(t, values["members"], 0.0)
}
