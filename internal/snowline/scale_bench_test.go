package snowline

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foxwood/policy"
)

// BenchmarkScale is one step of the holder of the level by gatekeepers, each with a report of so many
// services in five tiers of sixteen bins, four of them in use.
func BenchmarkScale(b *testing.B) {
	for _, c := range []struct{ gates, services int }{{30, 3}, {100, 3}, {300, 3}, {1000, 3}, {3000, 3}, {300, 30}, {300, 100}} {
		b.Run(fmt.Sprintf("%d-gatekeepers/%d-services", c.gates, c.services), func(b *testing.B) {
			h := NewHolder(1)
			h.Begin(0, 1)
			size := 0
			for i := range c.gates {
				r := Report{Station: fmt.Sprintf("counter-%06d", i), Life: uint64(i + 1), Turn: 1, Holds: h.Level(), Pressure: 0.5, Services: map[string]Part{}}
				for s := range c.services {
					part := Part{Load: map[uint32]float32{}, Pressure: 0.5, Served: 10}
					for tier := range 5 {
						for bin := range uint32(4) {
							part.Load[uint32(policy.Tier(tier, 0, 0))*policy.MarkBins+bin*4] = 1.5
						}
					}
					r.Services[fmt.Sprint("service-", s)] = part
				}
				h.Hear(0, r)
				raw, _ := cbor.Marshal(r)
				size = len(raw)
			}
			b.ResetTimer()
			for b.Loop() {
				h.gather()
				h.pressures(c.gates)
			}
			b.ReportMetric(float64(size), "B/report")
		})
	}
}
