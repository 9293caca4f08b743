package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/control/configcache"
	"foxwood/internal/control/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// testZone is a zone of gatekeepers and a registry, over loopback addresses. Nothing runs by itself: the test decides
// who sends a heartbeat and who makes an offer.
type testZone struct {
	t    *testing.T
	port int

	mu       sync.Mutex
	answers  map[string]api.SessionResponse // answers of the registry, by node
	requests map[string][]api.SessionRequest
	registry *rpc.Server
}

// registryHost is the address of the registry.
const registryHost = "127.0.0.9"

// configBody returns a compressed configuration.
func configBody(edition int) []byte {
	return api.Deflate(fmt.Appendf(nil, `{"edition":"%08x","courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","destination"],`+
		`"rows":[["r","h.example","/","safe",2,0.3,1,"d"]]},"destinations":{"columns":["name","healthPath","berthCap"],"rows":[["d","/health",110]]},`+
		`"sizeLimits":{"envelopeBytes":16384,"bodyBytes":67108864,"envelopeS":3,"idleS":15}}`, edition))
}

// newTestZone starts the registry of a zone without gatekeepers.
func newTestZone(t *testing.T) *testZone {
	zone := &testZone{t: t, answers: map[string]api.SessionResponse{}, requests: map[string][]api.SessionRequest{}}
	listener, err := rpc.Listen(registryHost + ":0")
	assert.NilError(t, err)
	zone.port = listener.Addr().(*net.TCPAddr).Port
	zone.registry = rpc.NewServer()
	rpc.Handle(zone.registry, func(_ context.Context, request api.SessionRequest) (api.SessionResponse, error) {
		zone.mu.Lock()
		defer zone.mu.Unlock()
		zone.requests[request.Member.Node] = append(zone.requests[request.Member.Node], request)
		return zone.answers[request.Member.Node], nil
	})
	go func() { _ = zone.registry.Serve(listener) }()
	t.Cleanup(zone.registry.Close)
	return zone
}

// addr returns the inner address of the n-th gatekeeper.
func (v *testZone) addr(n int) string { return fmt.Sprintf("127.0.0.%d:%d", 10+n, v.port) }

// start starts the n-th gatekeeper, which holds nothing yet.
func (v *testZone) start(n int, final bool) (*Proxy, *rpc.Server) {
	v.t.Helper()
	settings := &bootconfig.Settings{Node: fmt.Sprint("g", n), Zone: "z", Region: "r", IP: fmt.Sprint("127.0.0.", 10+n),
		InnerPorts: []int{v.port, v.port + 1}, SeedNodes: []string{registryHost + ":1"},
		ResourceLimits: bootconfig.ResourceLimits{MaxOpenFiles: 1000}}
	settings.Bounds.RevocationFinal, settings.Bounds.RevokeS = final, 5
	p, err := New(settings, zerolog.Nop())
	assert.NilError(v.t, err)
	listener, err := rpc.Listen(settings.InnerAddress(0))
	assert.NilError(v.t, err)
	server := rpc.NewServer()
	rpc.Handle(server, p.handleSubscribe)
	rpc.Handle(server, p.handleOffer)
	go func() { _ = server.Serve(listener) }()
	v.t.Cleanup(server.Close)
	return p, server
}

// heartbeat has a gatekeeper send one heartbeat, which is answered as given, and returns the request.
func (v *testZone) heartbeat(p *Proxy, answer api.SessionResponse) api.SessionRequest {
	v.t.Helper()
	v.mu.Lock()
	v.answers[p.settings.Node] = answer
	v.mu.Unlock()
	p.heartbeat(v.t.Context())
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.requests[p.settings.Node]
	assert.Assert(v.t, len(all) > 0, "the registry received no heartbeat")
	return all[len(all)-1]
}

// stateOf returns what the gatekeeper's loop has in force.
func stateOf(p *Proxy) (version uint64, workers []string, ready, keys bool, members int) {
	p.runOnLoop(func() {
		if p.config != nil {
			version = p.config.Version
		}
		for _, w := range p.workers {
			workers = append(workers, w.Destination+"/"+w.ID)
		}
		ready, keys, members = p.ready(), p.keysValid(), p.memberCount
	})
	return
}

// workerList returns the announcement and the content of a worker list.
func workerList(version, since uint64, workers ...string) (*api.EndpointChanges, []api.DestinationEndpoints) {
	p := api.DestinationEndpoints{Destination: "d", Version: version, Since: since}
	for _, w := range workers {
		p.Workers = append(p.Workers, api.Worker{ID: w, Addr: "127.0.0.1:9", Zone: "z"})
	}
	return &api.EndpointChanges{Version: version, Complete: since == 0, VersionsBehind: map[string]uint64{"d": 0}}, []api.DestinationEndpoints{p}
}

// startTwo starts two gatekeepers that hold configuration 1 and one worker, and know each other. It returns the zone
// home of the workers first.
func (v *testZone) startTwo(final bool) (home, other *Proxy, homeServer *rpc.Server) {
	first, firstServer := v.start(0, final)
	second, secondServer := v.start(1, final)
	marks, parts := workerList(1, 0, "w1")
	v.heartbeat(first, api.SessionResponse{ConfigVersion: 1, Config: configBody(1), EndpointChanges: marks, Endpoints: parts, Settled: true,
		Members: &api.MemberView{Checksum: 1, MemberIndex: 0, MemberCount: 2, Peers: []string{v.addr(1)}, ZonePeerIndexes: []int{1}}})
	v.heartbeat(second, api.SessionResponse{ConfigVersion: 1, Config: configBody(1), EndpointChanges: marks, Endpoints: parts, Settled: true,
		Members: &api.MemberView{Checksum: 2, MemberIndex: 1, MemberCount: 2, Peers: []string{v.addr(0)}, ZonePeerIndexes: []int{0}}})
	if membership.OwnerAmong([]string{v.addr(0), v.addr(1)}, "z", "d") == v.addr(0) {
		return first, second, firstServer
	}
	return second, first, secondServer
}

// TestUpdatesComeFromZoneHome: a gatekeeper that only gets an announcement of workers fetches them from the zone home
// with one call, and does not request them from the registry.
func TestUpdatesComeFromZoneHome(t *testing.T) {
	zone := newTestZone(t)
	home, other, _ := zone.startTwo(true)
	marks, parts := workerList(2, 1, "w2")
	zone.heartbeat(home, api.SessionResponse{ConfigVersion: 1, EndpointChanges: marks, Endpoints: parts})
	zone.heartbeat(other, api.SessionResponse{ConfigVersion: 1, EndpointChanges: marks})
	_, workers, ready, keys, _ := stateOf(other)
	assert.Equal(t, len(workers), 2)
	assert.Assert(t, ready && keys)
	request := zone.heartbeat(other, api.SessionResponse{ConfigVersion: 1})
	assert.Assert(t, request.WantEndpoints == nil)
	assert.Equal(t, request.EndpointsVersion, uint64(2))
}

// TestRegistryReplacesFailedZoneHome: the registry sends what the zone home does not have, because the home is dead,
// out of touch or behind.
func TestRegistryReplacesFailedZoneHome(t *testing.T) {
	for name, disable := range map[string]func(*Proxy, *rpc.Server){
		"dead": func(_ *Proxy, s *rpc.Server) { s.Close() },
		"out of touch with the registries": func(p *Proxy, _ *rpc.Server) {
			p.fanout.start = p.fanout.start.Add(-time.Second)
			p.fanout.noteHeartbeat(1, false)
		},
		"behind": func(*Proxy, *rpc.Server) {},
	} {
		t.Run(name, func(t *testing.T) {
			zone := newTestZone(t)
			home, other, homeServer := zone.startTwo(false)
			disable(home, homeServer)
			marks, parts := workerList(2, 1, "w2")
			zone.heartbeat(other, api.SessionResponse{ConfigVersion: 1, EndpointChanges: marks})
			request := zone.heartbeat(other, api.SessionResponse{ConfigVersion: 1, Endpoints: parts})
			assert.DeepEqual(t, request.WantEndpoints, map[string]uint64{"d": 1})
			_, workers, _, _, _ := stateOf(other)
			assert.Equal(t, len(workers), 2)
			assert.Assert(t, zone.heartbeat(other, api.SessionResponse{ConfigVersion: 1}).WantEndpoints == nil)
		})
	}
}

// TestSubscribeWaitsForUpdate: the zone home answers once it holds what is asked for.
func TestSubscribeWaitsForUpdate(t *testing.T) {
	zone := newTestZone(t)
	home, _, _ := zone.startTwo(false)
	answers := make(chan api.SubscribeResponse)
	go func() {
		answer, _ := home.handleSubscribe(t.Context(), api.SubscribeRequest{ConfigVersion: 2, WaitMS: maxSubscribeWaitMs})
		answers <- answer
	}()
	home.storeConfig(configBody(2))
	assert.DeepEqual(t, (<-answers).Config, configBody(2))
}

// TestRestartDuringRegistryLoss: a gatekeeper that starts while all registries are down serves with what a zone peer
// hands over, under the member index of its previous incarnation. If revocations are final it accepts no keys.
func TestRestartDuringRegistryLoss(t *testing.T) {
	for _, final := range []bool{false, true} {
		t.Run(fmt.Sprint("final ", final), func(t *testing.T) {
			zone := newTestZone(t)
			home, other, homeServer := zone.startTwo(final)
			zone.registry.Close()
			homeServer.Close() // the process of the home ends, and another one starts without any state
			number := 0
			if home.settings.Node == "g1" {
				number = 1
			}
			restarted, _ := zone.start(number, final)
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			restarted.heartbeat(ended)
			other.heartbeat(ended)
			other.offerAll(t.Context())
			_, workers, _, _, _ := stateOf(restarted)
			assert.Equal(t, len(workers), 0, "workers before the offer is due, as the registries may return at once")

			other.fanout.start = other.fanout.start.Add(-offerAfterMs * time.Millisecond)
			other.offerAll(t.Context())
			version, workers, ready, keys, members := stateOf(restarted)
			assert.Equal(t, version, uint64(1))
			assert.DeepEqual(t, workers, []string{"d/w1"})
			assert.Equal(t, ready, !final)
			assert.Equal(t, keys, !final)
			assert.Equal(t, members, 2)
			restarted.runOnLoop(func() {
				assert.Check(t, !restarted.hasSession, "a hand-over is not a session")
				assert.Check(t, restarted.memberIndex == number)
				assert.Check(t, restarted.heartbeatRequest().EndpointsVersion == 1, "version in the next heartbeat")
			})
		})
	}
}

// TestOneHandOverAtATime guards against all members of a zone sending a large body to the same gatekeeper.
func TestOneHandOverAtATime(t *testing.T) {
	zone := newTestZone(t)
	p, _ := zone.start(0, false)
	offer := api.PeerSyncRequest{ConfigVersion: 3}
	held, err := p.handleOffer(t.Context(), offer)
	assert.NilError(t, err)
	assert.Assert(t, !held.TransferPending)
	held, _ = p.handleOffer(t.Context(), offer)
	assert.Assert(t, held.TransferPending)
	offer.HasState, offer.Config = true, configBody(3)
	held, _ = p.handleOffer(t.Context(), offer)
	assert.Equal(t, held.ConfigVersion, uint64(3))
	held, _ = p.handleOffer(t.Context(), api.PeerSyncRequest{ConfigVersion: 3})
	assert.Assert(t, !held.TransferPending, "an offer of what is already held must not be put off")
	assert.Assert(t, configcache.New().LacksAnyOf(&offer))
}
