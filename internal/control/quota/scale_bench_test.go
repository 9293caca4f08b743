package quota

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkScale measures the allocator's time per allocation request and its memory, by gatekeepers
// and tenants. Bursts are as large as the cluster, so no quota is small.
func BenchmarkScale(b *testing.B) {
	for _, testCase := range []struct{ gates, tenants int }{{30, 77}, {100, 77}, {300, 77}, {1000, 77}, {3000, 77}, {10_000, 10}, {300, 10}, {300, 1000}} {
		b.Run(fmt.Sprintf("%d-gatekeepers/%d-tenants", testCase.gates, testCase.tenants), func(b *testing.B) {
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			heapBefore := memory.HeapAlloc
			allocator := New(1300, Bounds{WindowS: 5, Excess: 0.1, Slack: 20})
			allocator.UseOwners = true
			limits, demand := map[string]Limit{}, Demand{}
			for i := range testCase.tenants {
				name, rate := fmt.Sprint("sese", i), 40*float64(testCase.gates)
				limits[name], demand[name] = Limit{RatePerS: rate, Burst: rate}, 30
			}
			ids := make([]string, testCase.gates)
			for i := range ids {
				ids[i] = fmt.Sprintf("counter-%d/%x", i, i)
			}
			allocator.Begin(0, 1e6)
			allocator.SetLimits(0, limits, 1)
			allocator.SetMembers(0, ids)
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc-heapBefore)/float64(testCase.gates*testCase.tenants), "B/quota/gate")
			held := make([]map[string]Allocation, testCase.gates)
			now, seq := 0.0, uint64(0)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				index := i % testCase.gates
				if index == 0 {
					seq++
				}
				now += 500 / float64(testCase.gates) // each sends two requests per second
				held[index] = allocator.Allocate(now, ids[index], seq, demand, held[index], 800)
			}
		})
	}
}
