package registry

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/configcache"
	"foxwood/internal/control/membership"
	"foxwood/internal/control/quota"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// These tests measure the cost of control traffic in simulated time: the state machines of
// registries and gatekeepers, and the encoded size of the calls between them, without sockets. Not
// included are the tokens of small quotas, which travel with requests; the election, the chain and
// its reads, which depend on the core only; the platform's list; and the overhead of TCP.

const (
	costZoneCount     = 6
	costRegistryCount = 5
	costTenantCount   = 77
	costRouteCount    = 200
)

// costGatekeeper is a gatekeeper: what it holds, and its traffic.
type costGatekeeper struct {
	member         membership.Member
	cache          *configcache.Cache
	peers          api.MemberView
	cores          uint64
	edition        uint64
	registry       int // index of its registry
	sequence       uint64
	allocations    map[string]quota.Allocation
	leaseEnd       float64
	heartbeatAt    float64
	allocationAt   float64
	received, sent int // bytes
	cpu            time.Duration
}

// costRun is a simulated fleet and its measurements.
type costRun struct {
	now            float64
	workers        map[string]api.Worker
	registries     []*Registry
	received, sent []int // bytes of each registry
	cpu            []time.Duration
	gatekeepers    []*costGatekeeper
	gatekeeperAt   map[string]*costGatekeeper // by internal address
	bytesByCall    map[string]int             // bytes by kind of call
	smallQuotas    map[string]bool
	fullLists      bool // zone homes send full lists of destinations instead of changes
}

// newCostRun returns a fleet of registries, gatekeepers and workers that do not know each other yet.
func newCostRun(gatekeepers, workers int) *costRun {
	c := &costRun{workers: map[string]api.Worker{}, gatekeeperAt: map[string]*costGatekeeper{}, bytesByCall: map[string]int{}, smallQuotas: map[string]bool{}}
	zones := ""
	for zone := range costZoneCount {
		zones += fmt.Sprintf("z%d = \"r%d\"\n", zone, zone%2)
	}
	for i := range costRegistryCount {
		settings, err := bootconfig.Parse(fmt.Appendf(nil, "station = \"sorting-%d\"\nip = \"10.9.0.%d\"\nzone = \"z%d\"\nregion = \"r%d\"\n"+
			"innerDocks = [7460, 7475]\nfirstStations = [\"10.9.0.1:1\"]\ntimeBounds = [\"quotaWindowS=5\", \"quotaExcess=0.1\", \"quotaSlack=20\"]\n[zones]\n%s",
			i, i+1, i%costZoneCount, i%2, zones))
		if err != nil {
			panic(err)
		}
		registry := New(settings, zerolog.Nop())
		registry.clock = func() float64 { return c.now }
		registry.sessions = membership.New(settings.InnerAddress(registryPort), uint64(i+1), 0, sessionTimeoutMs)
		registry.election.RestoreElectorate(nil, 0)
		c.registries = append(c.registries, registry)
	}
	for _, registry := range c.registries {
		for _, other := range c.registries {
			if other != registry {
				registry.peers[other.settings.InnerAddress(registryPort)] = rpc.NewPeer(other.settings.InnerAddress(registryPort))
				registry.peerZones[other.settings.InnerAddress(registryPort)] = other.settings.Zone
			}
		}
		registry.updateCoreMachines()
	}
	c.received, c.sent, c.cpu = make([]int, costRegistryCount), make([]int, costRegistryCount), make([]time.Duration, costRegistryCount)
	for i := range gatekeepers {
		zone := i % costZoneCount
		gatekeeper := &costGatekeeper{cache: configcache.New(), registry: i % costRegistryCount, allocations: map[string]quota.Allocation{}, heartbeatAt: float64(i%50) * 10,
			allocationAt: 3000 + float64(i*7%50)*10, member: membership.Member{Node: fmt.Sprintf("counter-z%d-%d", zone, i/costZoneCount), Zone: fmt.Sprint("z", zone),
				Region: fmt.Sprint("r", zone%2), Incarnation: uint64(i) + 1<<60, ClientAddr: fmt.Sprintf("10.%d.0.%d:8206", zone+1, i/costZoneCount+20),
				PeerAddr: fmt.Sprintf("10.%d.0.%d:7460", zone+1, i/costZoneCount+20), Ready: true}}
		c.gatekeepers = append(c.gatekeepers, gatekeeper)
		c.gatekeeperAt[gatekeeper.member.PeerAddr] = gatekeeper
	}
	for i := range workers {
		c.setWorker(i, false)
	}
	c.configure(1, gatekeepers)
	c.pollPlatform()
	return c
}

// setWorker puts a worker onto the platform's list.
func (c *costRun) setWorker(i int, closing bool) {
	worker := api.Worker{ID: fmt.Sprintf("i-%010x", i*7919), Destination: fmt.Sprint("huvo", i%3), Addr: fmt.Sprintf("10.128.%d.%d:8080", i/200, i%200),
		Zone: fmt.Sprint("z", i%costZoneCount), Version: "v1", Slots: 2, Draining: closing}
	c.workers[worker.ID] = worker
}

// configure gives all registries a configuration whose quotas are proportional to the fleet.
func (c *costRun) configure(edition uint64, gatekeepers int) {
	document := fmt.Sprintf(`{"edition":%q,"courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","tries","destination"],"rows":[`,
		routeconfig.FormatVersion(edition))
	for i := range costRouteCount {
		document += fmt.Sprintf(`%s["r-%d-%d","h%d.example","/p%d/","safe",2,0.3,1,2,"huvo%d"]`, []string{",", ""}[boolToInt(i == 0)], i, edition, i%7, i, i%3)
	}
	document += `]},"destinations":{"columns":["name","healthPath","berthCap"],"rows":[["huvo0","/health",110],["huvo1","/health",110],["huvo2","/health",110]]},"senders":{"columns":["name","passes","priority","ratePerS","surge"],"rows":[`
	for i := range costTenantCount {
		rate := float64(gatekeepers) * 45 * 0.2 / float64(i+1) // a few are large
		document += fmt.Sprintf(`%s["sese%d",["k%d"],1,%.1f,%.1f]`, []string{",", ""}[boolToInt(i == 0)], i, i, rate, rate)
	}
	document += `]}}`
	for _, registry := range c.registries {
		registry.applyState(chain.State{Edition: edition, Body: []byte(document), Last: chain.LogPosition{Seq: edition}})
	}
	for name, limit := range quota.LimitedTenants(c.registries[0].configuration) {
		c.smallQuotas[name] = quota.IsSmall(limit, quota.BoundsOf(&c.registries[0].settings.Bounds), gatekeepers)
	}
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// pollPlatform applies the platform's list in the first registry, and sends the changes to the
// others.
func (c *costRun) pollPlatform() {
	list := make([]api.Worker, 0, len(c.workers))
	for _, worker := range c.workers {
		list = append(list, worker)
	}
	first := c.registries[0]
	if !first.endpoints.applyPlatformList(c.now, 1, list) {
		return
	}
	for i, registry := range c.registries[1:] {
		request := api.EndpointListRequest{HeldVersion: registry.endpoints.version}
		changes, _ := first.handleEndpointsRequest(context.Background(), request)
		c.countRegistryCall(i+1, 0, request, changes)
		registry.endpoints.merge(c.now, &changes)
	}
	for _, gatekeeper := range c.gatekeepers { // waiting heartbeats are answered at once
		gatekeeper.heartbeatAt = c.now
	}
}

// countRegistryCall counts the bytes of a call between two registries.
func (c *costRun) countRegistryCall(from, to int, request, answer any) {
	requestBytes, answerBytes := rpc.FrameSize(request, true), rpc.FrameSize(answer, false)
	c.sent[from], c.received[to], c.sent[to], c.received[from] = c.sent[from]+requestBytes, c.received[to]+requestBytes, c.sent[to]+answerBytes, c.received[from]+answerBytes
	c.bytesByCall["core"] += requestBytes + answerBytes
}

// countCall counts the bytes of a gatekeeper's call to its registry.
func (c *costRun) countCall(gatekeeper *costGatekeeper, request, answer any, name string) {
	requestBytes, answerBytes := rpc.FrameSize(request, true), rpc.FrameSize(answer, false)
	gatekeeper.sent, c.received[gatekeeper.registry], c.sent[gatekeeper.registry], gatekeeper.received = gatekeeper.sent+requestBytes, c.received[gatekeeper.registry]+requestBytes, c.sent[gatekeeper.registry]+answerBytes, gatekeeper.received+answerBytes
	c.bytesByCall[name] += requestBytes + answerBytes
}

// measureCPU adds the thread's own processor time, which other load on the machine does not affect.
func (c *costRun) measureCPU(total *time.Duration, task func()) {
	before := threadCPUTime()
	task()
	*total += threadCPUTime() - before
}

func threadCPUTime() time.Duration {
	var spec unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spec) != nil {
		return 0
	}
	return time.Duration(spec.Nano())
}

// sendHeartbeat simulates a heartbeat that waits until its time is over.
func (c *costRun) sendHeartbeat(gatekeeper *costGatekeeper) {
	registry := c.registries[gatekeeper.registry]
	gatekeeper.sequence++
	gatekeeper.member.Sequence = gatekeeper.sequence
	heartbeat := api.SessionRequest{Member: gatekeeper.member, MembersChecksum: gatekeeper.peers.Checksum, RegistriesChecksum: gatekeeper.cores, WaitMS: 500}
	var answer api.SessionResponse
	c.measureCPU(&gatekeeper.cpu, func() { gatekeeper.cache.FillHeartbeat(&heartbeat) })
	c.measureCPU(&c.cpu[gatekeeper.registry], func() {
		registry.sessions.Heartbeat(c.now, heartbeat.Member)
		registry.updateMembers()
		registry.tailConfirmedAt = c.now
		answer, _ = registry.heartbeatAnswer(heartbeat, c.now)
		answer, _ = registry.heartbeatAnswer(heartbeat, c.now) // computed again, as at the end of a real wait
	})
	c.countCall(gatekeeper, heartbeat, answer, "sign")
	c.measureCPU(&gatekeeper.cpu, func() { c.applyAnswer(gatekeeper, &answer) })
	gatekeeper.heartbeatAt = c.now + 500
}

// applyAnswer applies a heartbeat's answer, and requests missing data from zone homes.
func (c *costRun) applyAnswer(gatekeeper *costGatekeeper, answer *api.SessionResponse) {
	gatekeeper.cache.ApplyAnswer(c.now, answer)
	if len(answer.Config) > 0 && answer.ConfigVersion > gatekeeper.edition {
		gatekeeper.cache.SetConfiguration(answer.ConfigVersion, answer.Config)
	}
	if answer.RegistriesChecksum != 0 {
		gatekeeper.cores = answer.RegistriesChecksum
	}
	if answer.Members != nil {
		gatekeeper.peers = *answer.Members
	}
	requests, _ := gatekeeper.cache.PlanRequests(c.now, configcache.ZonePeers{Name: gatekeeper.member.Zone, Self: gatekeeper.member.PeerAddr, SelfReady: true, Peers: gatekeeper.peers.Peers[:len(gatekeeper.peers.ZonePeerIndexes)]})
	for address, request := range requests {
		owner := c.gatekeeperAt[address]
		if c.fullLists {
			request.HeldVersions = nil
		}
		var ownerAnswer api.SubscribeResponse
		if owner.cache.CanAnswer(&request) {
			ownerAnswer = owner.cache.Answer(c.now, &request)
		}
		requestBytes, answerBytes := rpc.FrameSize(request, true), rpc.FrameSize(ownerAnswer, false)
		gatekeeper.sent, owner.received, owner.sent, gatekeeper.received = gatekeeper.sent+requestBytes, owner.received+requestBytes, owner.sent+answerBytes, gatekeeper.received+answerBytes
		c.bytesByCall["homes"] += requestBytes + answerBytes
		gatekeeper.cache.AddParts(c.now, ownerAnswer.Endpoints)
		if len(ownerAnswer.Config) > 0 {
			gatekeeper.cache.SetConfiguration(answer.ConfigVersion, ownerAnswer.Config)
		}
		gatekeeper.cache.RecordAnswer(c.now, address, &request, nil)
	}
}

// requestAllocation simulates an allocation request; the first registry holds the duty.
func (c *costRun) requestAllocation(gatekeeper *costGatekeeper) {
	gatekeeper.sequence++
	request := api.AllocationRequest{Node: gatekeeper.member.Node, Incarnation: gatekeeper.member.Incarnation, Sequence: gatekeeper.sequence, Demand: map[string]float32{}, Holding: api.EncodeSlices(gatekeeper.allocations),
		LeaseLeft: max(gatekeeper.leaseEnd-c.now, 0)}
	for name := range c.smallQuotas {
		switch owner := membership.OwnerAmong(append(gatekeeper.peers.Peers[:len(gatekeeper.peers.Peers):len(gatekeeper.peers.Peers)], gatekeeper.member.PeerAddr), "", name); {
		case !c.smallQuotas[name]:
			request.Demand[name] = 3.7
		case owner == gatekeeper.member.PeerAddr:
			request.Demand[name] = 0.5
		}
	}
	holder := c.registries[0]
	var answer api.AllocationResponse
	c.measureCPU(&c.cpu[0], func() {
		demand := quota.Demand{}
		for name, waiting := range request.Demand {
			demand[name] = float64(waiting)
		}
		allocations := holder.allocator.Allocate(c.now, memberID(request.Node, request.Incarnation), request.Sequence, demand, api.DecodeSlices(request.Holding), request.LeaseLeft)
		answer = api.AllocationResponse{Slices: api.EncodeSlices(allocations), LeaseMS: allocationLeaseMs}
	})
	c.countCall(gatekeeper, request, answer, "draw")
	if gatekeeper.registry != 0 {
		request.Forwarded = true
		c.countRegistryCall(gatekeeper.registry, 0, request, answer)
	}
	for name, allocation := range api.DecodeSlices(answer.Slices) {
		if allocation != (quota.Allocation{}) {
			gatekeeper.allocations[name] = allocation
		}
	}
	gatekeeper.leaseEnd, gatekeeper.allocationAt = c.now+allocationLeaseMs, c.now+500
}

// gossip simulates one gossip round between all registries.
func (c *costRun) gossip() {
	for i, registry := range c.registries {
		var brief, full membership.Report
		var contentHash uint64
		c.measureCPU(&c.cpu[i], func() {
			contentHash = registry.sessions.ContentHash(c.now)
			brief, full = registry.sessions.BriefReport(c.now), registry.sessions.FullReport(c.now)
		})
		for j, receiver := range c.registries {
			if i == j {
				continue
			}
			message := api.Gossip{From: registry.settings.InnerAddress(registryPort), Zone: registry.settings.Zone, Page: full, EndpointsVersion: registry.endpoints.version}
			key := receiver.settings.InnerAddress(registryPort)
			if last := registry.reported[key]; last.contentHash == contentHash && c.now-last.sentAt < fullReportIntervalMs {
				message.Page = brief
			} else {
				registry.reported[key] = fullReport{contentHash: contentHash, sentAt: c.now}
			}
			c.measureCPU(&c.cpu[j], func() { receiver.receiveReport(message.From, message.Zone, message.Page) })
			c.countRegistryCall(i, j, message, api.GossipResponse{EndpointsVersion: receiver.endpoints.version, Incarnation: receiver.incarnation})
		}
	}
}

// run simulates the given number of milliseconds. With changes, a worker leaves or joins every 200
// ms.
func (c *costRun) run(ms float64, changes bool) {
	for end := c.now + ms; c.now < end; {
		c.now += 10
		step := int(c.now)
		if step%300 == 0 {
			c.gossip()
		}
		if changes && step%200 == 0 {
			c.setWorker(step/200%len(c.workers), step/200%2 == 0)
		}
		if changes && step%400 == 0 {
			c.pollPlatform()
		}
		for _, gatekeeper := range c.gatekeepers {
			if c.now >= gatekeeper.heartbeatAt {
				c.sendHeartbeat(gatekeeper)
			}
			if c.now >= gatekeeper.allocationAt {
				c.requestAllocation(gatekeeper)
			}
		}
	}
}

// controlCosts holds bytes and microseconds per second.
type controlCosts struct {
	gatekeeperBytes, gatekeeperBytesMax, registryBytesMax float64 // sent and received
	gatekeeperMicros, registryMicros                      float64 // processor time, average of the gatekeepers and maximum of the registries
	bytesByCall                                           map[string]float64
}

// measure counts the costs of five seconds.
func (c *costRun) measure(changes bool) (result controlCosts) {
	const seconds = 5.0
	for _, gatekeeper := range c.gatekeepers {
		gatekeeper.received, gatekeeper.sent, gatekeeper.cpu = 0, 0, 0
	}
	clear(c.received)
	clear(c.sent)
	clear(c.cpu)
	clear(c.bytesByCall)
	c.run(seconds*1000, changes)
	n := float64(len(c.gatekeepers))
	for _, gatekeeper := range c.gatekeepers {
		result.gatekeeperBytes += float64(gatekeeper.received+gatekeeper.sent) / seconds / n
		result.gatekeeperBytesMax = max(result.gatekeeperBytesMax, float64(gatekeeper.received+gatekeeper.sent)/seconds)
		result.gatekeeperMicros += float64(gatekeeper.cpu.Microseconds()) / seconds / n
	}
	for i := range c.registries {
		result.registryBytesMax = max(result.registryBytesMax, float64(c.received[i]+c.sent[i])/seconds)
		result.registryMicros = max(result.registryMicros, float64(c.cpu[i].Microseconds())/seconds)
	}
	result.bytesByCall = map[string]float64{}
	for name, bytes := range c.bytesByCall {
		result.bytesByCall[name] = float64(bytes) / seconds / n
	}
	return result
}

// startedFleet returns a fleet whose members all know each other.
func startedFleet(gatekeepers int) *costRun {
	fleet := newCostRun(gatekeepers, gatekeepers*7/2)
	fleet.registries[0].allocator.Begin(0, 1e6)
	fleet.run(8000, false)
	return fleet
}

// TestControlCostIsFlat: the control traffic of a gatekeeper hardly depends on the size of the
// fleet, without changes and while workers come and go.
func TestControlCostIsFlat(t *testing.T) {
	small, large := startedFleet(10), startedFleet(40)
	for _, changes := range []bool{false, true} {
		smallCosts, largeCosts := small.measure(changes), large.measure(changes)
		t.Logf("changes %t: 10: %.0f B/s, 40: %.0f B/s; %v %v", changes, smallCosts.gatekeeperBytes, largeCosts.gatekeeperBytes, smallCosts.bytesByCall, largeCosts.bytesByCall)
		assert.Assert(t, largeCosts.gatekeeperBytes < 1.6*smallCosts.gatekeeperBytes, "%.0f and %.0f bytes a second", smallCosts.gatekeeperBytes, largeCosts.gatekeeperBytes)
	}
	for _, gatekeeper := range large.gatekeepers {
		assert.Equal(t, len(gatekeeper.cache.Workers(large.now, "huvo0")), 47)
		assert.Equal(t, gatekeeper.peers.MemberCount, 40)
		assert.Equal(t, gatekeeper.cache.Edition(), uint64(1))
	}
}

// BenchmarkControl prints the table of docs/measurements/control-cost.md:
//
//	go test ./internal/control/registry -run xxx -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{10, 70, 300} {
		for _, mode := range []string{"calm", "changes", "changes, whole lists"} {
			b.Run(fmt.Sprintf("%d/%s", n, mode), func(b *testing.B) {
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				for b.Loop() {
					fleet := startedFleet(n)
					fleet.fullLists = mode == "changes, whole lists"
					result := fleet.measure(mode != "calm")
					b.ReportMetric(result.gatekeeperBytes, "B/s/gate")
					b.ReportMetric(result.gatekeeperBytesMax, "B/s/home")
					b.ReportMetric(result.registryBytesMax, "B/s/bothy")
					b.ReportMetric(result.gatekeeperMicros, "us/s/gate")
					b.ReportMetric(result.registryMicros, "us/s/bothy")
					for name, v := range result.bytesByCall {
						b.ReportMetric(v, "B/s/gate-"+name)
					}
				}
			})
		}
	}
}
