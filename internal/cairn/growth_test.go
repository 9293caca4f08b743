package cairn

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestALargeCoreGrowsFast: thirty machines of a first start, in two regions 12 ms apart, are one core before clients come. One
// machine a view took 13 s in service, and the registries' duties changed hands with each view.
func TestALargeCoreGrowsFast(t *testing.T) {
	const machines, most = 30, 5e3
	w := newTally(machines, 12)
	for w.now < most && len(w.all[0].m.View().Chain) < machines {
		w.run(100)
	}
	v := w.all[0].m.View()
	t.Logf("%d of %d in the chain after %.0f ms, view %d", len(v.Chain), machines, w.now, v.No)
	assert.Equal(t, len(v.Chain), machines)
	assert.Equal(t, v.Seats, machines)
	assert.Assert(t, v.No <= 10, "it took %d views", v.No)
}
