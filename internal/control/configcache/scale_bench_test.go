package configcache

import (
	"fmt"
	"runtime"
	"testing"

	"foxwood/internal/rpc/api"
)

// BenchmarkScale measures the memory of a gatekeeper's cached workers and the cost of one heartbeat
// and one change, by number of destinations with 21 workers each.
func BenchmarkScale(b *testing.B) {
	for _, destinations := range []int{10, 100, 1000, 9400} {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		base := stats.HeapAlloc
		cache := New()
		marks := &api.EndpointChanges{Version: 1, Complete: true, VersionsBehind: map[string]uint64{}}
		var parts []api.DestinationEndpoints
		for i := range destinations {
			part := api.DestinationEndpoints{Destination: fmt.Sprint("service-", i), Version: 1}
			for worker := range 21 {
				part.Workers = append(part.Workers, api.Worker{ID: fmt.Sprintf("i-%010x", i*21+worker), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>8, i&255, worker), Zone: fmt.Sprint("z", worker), Version: "v1", Slots: 2})
			}
			parts = append(parts, part)
			marks.VersionsBehind[part.Destination] = 0
		}
		cache.ApplyAnswer(0, &api.SessionResponse{EndpointChanges: marks, Endpoints: parts})
		parts, marks = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&stats)
		held := float64(stats.HeapAlloc-base) / float64(21*destinations)
		b.Run(fmt.Sprintf("question/%d", destinations), func(b *testing.B) {
			var heartbeat api.SessionRequest
			for b.Loop() {
				cache.FillHeartbeat(&heartbeat)
			}
			b.ReportMetric(held, "B/worker")
		})
		b.Run(fmt.Sprintf("change/%d", destinations), func(b *testing.B) {
			for version := uint64(2); b.Loop(); version++ {
				cache.ApplyAnswer(0, &api.SessionResponse{EndpointChanges: &api.EndpointChanges{Version: version + cache.announcedVersion, VersionsBehind: map[string]uint64{"service-1": 0}},
					Endpoints: []api.DestinationEndpoints{{Destination: "service-1", Version: version + cache.announcedVersion, Since: cache.destinations["service-1"].version, Workers: []api.Worker{{ID: "i-x", Addr: "10.9.9.9:1"}}}}})
			}
		})
		runtime.KeepAlive(cache)
	}
}
