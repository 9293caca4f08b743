package registry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"foxwood/internal/control/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// BenchmarkScaleControl extends the table of BenchmarkControl, for docs/CAPACITY.md.
//
//	go test ./internal/control/registry -run xxx -bench ScaleControl -benchtime 1x
func BenchmarkScaleControl(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		for _, mode := range []string{"calm", "changes"} {
			b.Run(fmt.Sprintf("%d/%s", n, mode), func(b *testing.B) {
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				for b.Loop() {
					result := startedFleet(n).measure(mode != "calm")
					b.ReportMetric(result.gatekeeperBytes, "B/s/gate")
					b.ReportMetric(result.registryBytesMax, "B/s/bothy")
					b.ReportMetric(result.gatekeeperMicros, "us/s/gate")
					b.ReportMetric(result.registryMicros/1000, "ms/s/bothy")
				}
			})
		}
	}
}

// BenchmarkScaleCrowd measures the peer list that a gatekeeper receives when one of all members
// joins or leaves, and the cost of computing it, by number of members in 23 regions and 81 zones.
func BenchmarkScaleCrowd(b *testing.B) {
	for _, n := range []int{300, 1000, 3000, 10_000, 18_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sessions := membership.New("a", 1, 0, 0)
			for i := range n {
				zone := i % 81
				sessions.Heartbeat(0, membership.Member{Node: fmt.Sprintf("counter-%06d", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%23), Incarnation: uint64(i) + 1<<60, Sequence: 1,
					ClientAddr: fmt.Sprintf("10.%d.%d.%d:8206", i>>16, i>>8&255, i&255), PeerAddr: fmt.Sprintf("10.%d.%d.%d:7460", i>>16, i>>8&255, i&255), Ready: true})
			}
			members := sessions.Members(0)
			var peers *api.MemberView
			for b.Loop() {
				peers = newPeerList(members, &members.Members[n/2])
			}
			b.ReportMetric(float64(rpc.FrameSize(api.SessionResponse{Members: peers}, false)), "B/crowd")
			b.ReportMetric(float64(len(peers.Peers)), "peers")
		})
	}
}

// BenchmarkScaleRoster measures a reading of the platform's list without changes, the cost of one
// change including the answers to another registry and to a gatekeeper, and the memory of a worker.
func BenchmarkScaleRoster(b *testing.B) {
	for _, n := range []int{250, 2500, 25_000, 200_000} {
		list := make([]api.Worker, n)
		for i := range list {
			list[i] = api.Worker{ID: fmt.Sprintf("i-%010x", i*7919), Destination: fmt.Sprint("service-", i%max(n/21, 1)), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
				Zone: fmt.Sprint("z", i%81), Version: "v1", Slots: 2}
		}
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		base := stats.HeapAlloc
		endpoints := newEndpointList()
		endpoints.applyPlatformList(0, 1, list)
		runtime.GC()
		runtime.ReadMemStats(&stats)
		held := float64(stats.HeapAlloc-base) / float64(n)
		b.Run(fmt.Sprintf("poll/%d", n), func(b *testing.B) {
			for now := 0.0; b.Loop(); now += 400 {
				endpoints.applyPlatformList(now, 1, list)
			}
			b.ReportMetric(held, "B/worker")
			b.ReportMetric(float64(rpc.FrameSize(*endpoints.since(0, 0), false)), "B/whole")
		})
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			for now := 0.0; b.Loop(); now += 400 {
				heldVersion := endpoints.version
				list[0].Draining = !list[0].Draining
				endpoints.applyPlatformList(now, 1, list)
				endpoints.since(now, heldVersion)
				endpoints.partSince(now, list[0].Destination, heldVersion)
			}
		})
	}
}

// BenchmarkScaleRelay measures the answer to a heartbeat after a change of one worker, for a
// gatekeeper that is not the zone home of its destination, by number of destinations.
func BenchmarkScaleRelay(b *testing.B) {
	for _, destinations := range []int{3, 100, 1000, 9400} {
		fleet := newCostRun(30, 3)
		registry := fleet.registries[0]
		for i := range destinations {
			registry.endpoints.apply(0, api.Worker{ID: fmt.Sprint("s", i), Destination: fmt.Sprint("service-", i), Addr: "10.1.1.1:1"}, 1<<termShift|2)
		}
		registry.endpoints.version = 1<<termShift | 3
		registry.endpoints.destinationVersions["service-1"] = registry.endpoints.version
		for _, gatekeeper := range fleet.gatekeepers {
			registry.sessions.Heartbeat(0, gatekeeper.member)
		}
		heartbeat := api.SessionRequest{Member: fleet.gatekeepers[0].member, EndpointsVersion: 1<<termShift | 2, ConfigVersion: 1}
		b.Run(fmt.Sprint(destinations), func(b *testing.B) {
			for b.Loop() {
				var answer api.SessionResponse
				registry.addConfigurationAndEndpoints(0, registry.sessions.Members(0), &heartbeat, &answer)
			}
		})
	}
}

// BenchmarkScalePage measures parsing one page with a thousand workers of the platform's list.
func BenchmarkScalePage(b *testing.B) {
	var rows []string
	for i := range 1000 {
		rows = append(rows, fmt.Sprintf(`["i-%010x","service-%d","10.%d.%d.%d:8080","z%d","v1",2,"open_counter",null]`, i*7919, i%47, i>>16, i>>8&255, i&255, i%81))
	}
	content := []byte(`{"roster":{"columns":["id","destination","address","zone","edition","berths","state","coldS_time"],"rows":[` + strings.Join(rows, ",") + `]},"nextToken":null}`)
	b.SetBytes(int64(len(content)))
	for b.Loop() {
		var page platformPage
		if err := json.Unmarshal(content, &page); err != nil {
			b.Fatal(err)
		}
		if list, err := page.parseWorkers(); err != nil || len(list) != 1000 {
			b.Fatal(err, len(list))
		}
	}
	b.ReportMetric(float64(len(content)), "B/page")
}
