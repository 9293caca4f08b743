package configcache

import (
	"fmt"
	"runtime"
	"testing"

	"foxwood/internal/waymark"
)

// BenchmarkScale is what a gatekeeper's store of workers holds and what its question and one change
// cost, by destinations with 21 workers each.
func BenchmarkScale(b *testing.B) {
	for _, d := range []int{10, 100, 1000, 9400} {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		base := m.HeapAlloc
		l := New()
		marks := &waymark.Marks{Version: 1, Whole: true, Behind: map[string]uint64{}}
		var parts []waymark.Part
		for i := range d {
			p := waymark.Part{Destination: fmt.Sprint("service-", i), Version: 1}
			for k := range 21 {
				p.Workers = append(p.Workers, waymark.Worker{ID: fmt.Sprintf("i-%010x", i*21+k), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>8, i&255, k), Zone: fmt.Sprint("z", k), Edition: "v1", Berths: 2})
			}
			parts = append(parts, p)
			marks.Behind[p.Destination] = 0
		}
		l.Hear(0, &waymark.Signed{Marks: marks, Parts: parts})
		parts, marks = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&m)
		held := float64(m.HeapAlloc-base) / float64(21*d)
		b.Run(fmt.Sprintf("question/%d", d), func(b *testing.B) {
			var q waymark.Sign
			for b.Loop() {
				l.Question(&q)
			}
			b.ReportMetric(held, "B/worker")
		})
		b.Run(fmt.Sprintf("change/%d", d), func(b *testing.B) {
			for v := uint64(2); b.Loop(); v++ {
				l.Hear(0, &waymark.Signed{Marks: &waymark.Marks{Version: v + l.heard, Behind: map[string]uint64{"service-1": 0}},
					Parts: []waymark.Part{{Destination: "service-1", Version: v + l.heard, Since: l.services["service-1"].have, Workers: []waymark.Worker{{ID: "i-x", Addr: "10.9.9.9:1"}}}}})
			}
		})
		runtime.KeepAlive(l)
	}
}
