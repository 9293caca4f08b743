package chain

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLargeCoreGrowsFast checks that thirty machines of a first start, in two regions 12 ms apart,
// form one core before clients arrive. Added one machine per view, this took 13 s in service, and
// registry duties moved to other machines with each view.
func TestLargeCoreGrowsFast(t *testing.T) {
	const machines, limitMillis = 30, 5e3
	network := newCountingNetwork(machines, 12)
	for network.now < limitMillis && len(network.machines[0].machine.View().Chain) < machines {
		network.run(100)
	}
	v := network.machines[0].machine.View()
	t.Logf("%d of %d in the chain after %.0f ms, view %d", len(v.Chain), machines, network.now, v.Number)
	assert.Equal(t, len(v.Chain), machines)
	assert.Equal(t, v.Seats, machines)
	assert.Assert(t, v.Number <= 10, "it took %d views", v.Number)
}
