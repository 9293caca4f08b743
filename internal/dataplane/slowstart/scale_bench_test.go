package slowstart

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkScaleAsk measures one call of Renew in a fleet of gatekeepers that each ask twice a second, and the memory
// that the coordinator holds for each.
func BenchmarkScaleAsk(b *testing.B) {
	for _, n := range []int{100, 1000, 18_000} {
		b.Run(fmt.Sprint("gates=", n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprintf("counter-zone-%05d/1234567890abcdef", i)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			coordinator := NewCoordinator(1300)
			coordinator.Start(0, 1e9)
			now, i := 0.0, 0
			ask := func() {
				coordinator.Renew(now, ids[i])
				if i++; i == n {
					i = 0
				}
				now += 500 / float64(n)
			}
			for range 8 * n {
				ask()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				ask()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/gate")
			runtime.KeepAlive(coordinator)
		})
	}
}

// BenchmarkScaleSends measures what a gatekeeper computes for each cold worker that it considers.
func BenchmarkScaleSends(b *testing.B) {
	for _, n := range []int{9, 18_000} {
		b.Run(fmt.Sprint("gates=", n), func(b *testing.B) {
			var l Lease
			l.Renew(Grant{Current: Share{n / 2, n}}, 0, 1e12)
			for i := range b.N {
				l.RequestsPerSecond(0, 15, uint64(i))
			}
		})
	}
}
