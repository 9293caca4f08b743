package bothy

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// BenchmarkScaleControl goes on with the table of BenchmarkControl, for docs/CAPACITY.md.
//
//	go test ./internal/bothy -run xxx -bench ScaleControl -benchtime 1x
func BenchmarkScaleControl(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		for _, how := range []string{"calm", "changes"} {
			b.Run(fmt.Sprintf("%d/%s", n, how), func(b *testing.B) {
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				for b.Loop() {
					k := started(n).measure(how != "calm")
					b.ReportMetric(k.gate, "B/s/gate")
					b.ReportMetric(k.bothyMost, "B/s/bothy")
					b.ReportMetric(k.gateUs, "us/s/gate")
					b.ReportMetric(k.bothyUs/1000, "ms/s/bothy")
				}
			})
		}
	}
}

// BenchmarkScaleCrowd is what a gatekeeper is told when one member of all comes or goes, by members in
// 23 regions and 81 zones, and what it takes a bothy to tell it.
func BenchmarkScaleCrowd(b *testing.B) {
	for _, n := range []int{300, 1000, 3000, 10_000, 18_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := membership.New("a", 1, 0, 0)
			for i := range n {
				zone := i % 81
				book.Sign(0, membership.Member{Station: fmt.Sprintf("counter-%06d", i), Zone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone%23), Life: uint64(i) + 1<<60, Turn: 1,
					Counter: fmt.Sprintf("10.%d.%d.%d:8206", i>>16, i>>8&255, i&255), Inner: fmt.Sprintf("10.%d.%d.%d:7460", i>>16, i>>8&255, i&255), Ready: true})
			}
			roll := book.Members(0)
			var c *waymark.Crowd
			for b.Loop() {
				c = newPeerList(roll, &roll.Members[n/2])
			}
			b.ReportMetric(float64(rpc.Size(waymark.Signed{Crowd: c}, false)), "B/crowd")
			b.ReportMetric(float64(len(c.Peers)), "peers")
		})
	}
}

// BenchmarkScaleRoster is a reading of the platform's list without news, what one change costs the
// reader's answer to another bothy, and what a worker takes.
func BenchmarkScaleRoster(b *testing.B) {
	for _, n := range []int{250, 2500, 25_000, 200_000} {
		list := make([]waymark.Worker, n)
		for i := range list {
			list[i] = waymark.Worker{ID: fmt.Sprintf("i-%010x", i*7919), Destination: fmt.Sprint("service-", i%max(n/21, 1)), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
				Zone: fmt.Sprint("z", i%81), Edition: "v1", Berths: 2}
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		base := m.HeapAlloc
		r := newEndpointList()
		r.applyPlatformList(0, 1, list)
		runtime.GC()
		runtime.ReadMemStats(&m)
		held := float64(m.HeapAlloc-base) / float64(n)
		b.Run(fmt.Sprintf("poll/%d", n), func(b *testing.B) {
			for now := 0.0; b.Loop(); now += 400 {
				r.applyPlatformList(now, 1, list)
			}
			b.ReportMetric(held, "B/worker")
			b.ReportMetric(float64(rpc.Size(*r.since(0, 0), false)), "B/whole")
		})
		b.Run(fmt.Sprintf("change/%d", n), func(b *testing.B) {
			for now := 0.0; b.Loop(); now += 400 {
				have := r.version
				list[0].Closing = !list[0].Closing
				r.applyPlatformList(now, 1, list)
				r.since(now, have)
				r.partSince(now, list[0].Destination, have)
			}
		})
	}
}

// BenchmarkScaleRelay is a bothy's answer to a sign when one worker of one destination has changed, for a
// gatekeeper that is not its home, by destinations.
func BenchmarkScaleRelay(b *testing.B) {
	for _, d := range []int{3, 100, 1000, 9400} {
		c := newCostRun(30, 3)
		x := c.bothies[0]
		for i := range d {
			x.endpoints.apply(0, waymark.Worker{ID: fmt.Sprint("s", i), Destination: fmt.Sprint("service-", i), Addr: "10.1.1.1:1"}, 1<<termShift|2)
		}
		x.endpoints.version = 1<<termShift | 3
		x.endpoints.destinationVersions["service-1"] = x.endpoints.version
		for _, g := range c.gates {
			x.sessions.Sign(0, g.guest)
		}
		q := waymark.Sign{Member: c.gates[0].guest, Roster: 1<<termShift | 2, Edition: 1}
		b.Run(fmt.Sprint(d), func(b *testing.B) {
			for b.Loop() {
				var a waymark.Signed
				x.addConfigurationAndEndpoints(0, x.sessions.Members(0), &q, &a)
			}
		})
	}
}

// BenchmarkScalePage is the reading of one page of a thousand workers from the platform's list.
func BenchmarkScalePage(b *testing.B) {
	var rows []string
	for i := range 1000 {
		rows = append(rows, fmt.Sprintf(`["i-%010x","service-%d","10.%d.%d.%d:8080","z%d","v1",2,"open_counter",null]`, i*7919, i%47, i>>16, i>>8&255, i&255, i%81))
	}
	raw := []byte(`{"roster":{"columns":["id","destination","address","zone","edition","berths","state","coldS_time"],"rows":[` + strings.Join(rows, ",") + `]},"nextToken":null}`)
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		var p platformPage
		if err := json.Unmarshal(raw, &p); err != nil {
			b.Fatal(err)
		}
		if list, err := p.parseWorkers(); err != nil || len(list) != 1000 {
			b.Fatal(err, len(list))
		}
	}
	b.ReportMetric(float64(len(raw)), "B/page")
}
