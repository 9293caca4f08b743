package shedding

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foxwood/policy"
)

// BenchmarkScale measures one step of the holder by gatekeepers. Each gatekeeper reports a number of
// services in five tiers of sixteen bins, four of which are used.
func BenchmarkScale(b *testing.B) {
	for _, testCase := range []struct{ gates, services int }{{30, 3}, {100, 3}, {300, 3}, {1000, 3}, {3000, 3}, {300, 30}, {300, 100}} {
		b.Run(fmt.Sprintf("%d-gatekeepers/%d-services", testCase.gates, testCase.services), func(b *testing.B) {
			holder := NewHolder(1)
			holder.Begin(0, 1)
			size := 0
			for i := range testCase.gates {
				report := Report{Node: fmt.Sprintf("counter-%06d", i), Incarnation: uint64(i + 1), Sequence: 1, Level: holder.Level(), Pressure: 0.5, Services: map[string]ServiceReport{}}
				for s := range testCase.services {
					part := ServiceReport{Load: map[uint32]float32{}, Pressure: 0.5, AnswerRate: 10}
					for tier := range 5 {
						for bin := range uint32(4) {
							part.Load[uint32(policy.Tier(tier, 0, 0))*policy.BinsPerTier+bin*4] = 1.5
						}
					}
					report.Services[fmt.Sprint("service-", s)] = part
				}
				holder.Receive(0, report)
				encoded, _ := cbor.Marshal(report)
				size = len(encoded)
			}
			b.ResetTimer()
			for b.Loop() {
				holder.sumReports()
				holder.pressures(testCase.gates)
			}
			b.ReportMetric(float64(size), "B/report")
		})
	}
}
