package routeconfig

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// deflatedSize returns the length in bytes of a document as it is sent between processes.
func deflatedSize(b *testing.B, raw []byte) float64 {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, 5)
	assert.NilError(b, err)
	_, _ = w.Write(raw)
	assert.NilError(b, w.Close())
	return float64(out.Len())
}

// BenchmarkScale measures the size of configurations with various numbers of routes and tenants, for docs/CAPACITY.md:
// heldB is the heap in use without the document, bodyB the document, and packedB the document deflated.
//
//	go test ./internal/control/routeconfig -run xxx -bench Scale -benchtime 1x
func BenchmarkScale(b *testing.B) {
	heapBytes := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, size := range []struct{ routes, tenants int }{
		{1000, 77}, {10_000, 77}, {50_000, 77}, {100_000, 77}, {320_000, 77},
		{100, 1000}, {100, 10_000}, {100, 100_000}, {100, 300_000}, {100, 1_000_000},
	} {
		b.Run(fmt.Sprintf("%d-routes/%d-tenants", size.routes, size.tenants), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				base := heapBytes()
				raw := largeDocument(size.routes, size.tenants)
				b.StartTimer()
				table, err := Parse(raw)
				b.StopTimer()
				assert.NilError(b, err)
				b.ReportMetric(float64(len(raw)), "bodyB")
				b.ReportMetric(deflatedSize(b, raw), "packedB")
				table.Raw, raw = nil, nil
				held := heapBytes() - base
				runtime.KeepAlive(table)
				b.ReportMetric(held, "heldB")
				b.StartTimer()
			}
		})
	}
}
