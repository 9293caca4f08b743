package bothy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
)

func TestFigures(t *testing.T) {
	s := open(t)
	s.ask("control", "PUT", "/timetable", strings.NewReader("{"))
	s.mu.Lock()
	s.view = cairn.View{No: 7, Core: []cairn.Ident{{Addr: "127.0.0.1:7461"}}}
	s.mu.Unlock()
	values := map[string]float64{}
	for _, f := range s.Figures(t.Context()) {
		name := f.Name
		for _, l := range f.Labels {
			name += " " + l.Value
		}
		values[name] = f.Value
	}
	assert.Equal(t, values["view"], 7.0)
	assert.Equal(t, values["refusals_total invalid"], 1.0)
	held, known := values["duty_held roster"]
	assert.Assert(t, known && held == 0)
	assert.Equal(t, values["members"], 0.0)
}
