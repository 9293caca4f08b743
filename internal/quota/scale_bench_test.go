package quota

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkScale is what a gatekeeper's asking costs the allotter, by gatekeepers and tenants, and what
// it holds. Quotas are as large as the fleet, so none is thin.
//
//	go test ./internal/quota -run xxx -bench Scale -benchtime 200x
func BenchmarkScale(b *testing.B) {
	for _, c := range []struct{ gates, tenants int }{{30, 77}, {100, 77}, {300, 77}, {1000, 77}, {3000, 77}, {10_000, 10}, {300, 10}, {300, 1000}} {
		b.Run(fmt.Sprintf("%d-gatekeepers/%d-tenants", c.gates, c.tenants), func(b *testing.B) {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			base := m.HeapAlloc
			a := New(1300, Bounds{WindowS: 5, Excess: 0.1, Slack: 20})
			a.Homes = true
			terms, demand := map[string]Terms{}, Demand{}
			for i := range c.tenants {
				name, rate := fmt.Sprint("sese", i), 40*float64(c.gates)
				terms[name], demand[name] = Terms{RatePerS: rate, Surge: rate}, 30
			}
			ids := make([]string, c.gates)
			for i := range ids {
				ids[i] = fmt.Sprintf("counter-%d/%x", i, i)
			}
			a.Begin(0, 1e6)
			a.Terms(0, terms, 1)
			a.Members(0, ids)
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc-base)/float64(c.gates*c.tenants), "B/quota/gate")
			held := make([]map[string]Slice, c.gates)
			now, turn := 0.0, uint64(0)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				at := i % c.gates
				if at == 0 {
					turn++
				}
				now += 500 / float64(c.gates) // each asks twice a second
				held[at] = a.Ask(now, ids[at], turn, demand, held[at], 800)
			}
		})
	}
}
