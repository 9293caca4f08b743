package routeconfig

import (
	"fmt"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// BenchmarkCourse measures the lookup of a request's route, whose cost must not grow with the number of routes.
func BenchmarkCourse(b *testing.B) {
	for _, routes := range []int{10, 1000, 50000} {
		table, err := Parse(largeDocument(routes, 77))
		assert.NilError(b, err)
		type lookup struct{ host, path []byte }
		lookups := make([]lookup, 1024)
		for i := range lookups {
			c := &table.Routes[i*7919%routes]
			lookups[i] = lookup{[]byte(c.Domain), []byte(c.Prefix + "2f/some/where")}
			if got := table.Route(lookups[i].host, lookups[i].path); got != c {
				b.Fatalf("%s%s: %v", c.Domain, lookups[i].path, got)
			}
		}
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				next := &lookups[i&1023]
				table.Route(next.host, next.path)
				i++
			}
		})
	}
}

// BenchmarkReplace measures the memory that a gatekeeper needs to replace its configuration. heldMB is the heap for the
// old configuration, peakMB the maximum heap in use while the new document and both configurations are in memory,
// bodyMB the size of the document, and maxrssMB the maximum resident set of the process so far.
func BenchmarkReplace(b *testing.B) {
	for _, routes := range []int{1000, 10000, 50000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			heapMB := func() float64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc) / (1 << 20)
			}
			for b.Loop() {
				base := heapMB()
				old, err := Parse(largeDocument(routes, 77))
				assert.NilError(b, err)
				old.Raw = nil
				held := heapMB() - base
				raw := largeDocument(routes, 77)
				replacement, err := Parse(raw)
				assert.NilError(b, err)
				peak := heapMB() - base
				runtime.KeepAlive(raw)
				runtime.KeepAlive(old)
				runtime.KeepAlive(replacement)
				b.ReportMetric(held, "heldMB")
				b.ReportMetric(peak, "peakMB")
				b.ReportMetric(float64(len(raw))/(1<<20), "bodyMB")
				var u unix.Rusage
				_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
				b.ReportMetric(float64(u.Maxrss)/(1<<10), "maxrssMB")
			}
		})
	}
}
