package xds

import (
	"context"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"foxwood/internal/openapi"
	"foxwood/policy"
)

// proxy is a stand-in for a proxy: one aggregated discovery stream, which takes
// what it is told.
type proxy struct {
	t      *testing.T
	stream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
}

func newProxy(t *testing.T, addr string) *proxy {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	c, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(c).StreamAggregatedResources(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return &proxy{t, stream}
}

// ask subscribes, or acknowledges the answer given before.
func (p *proxy) ask(kind, name string, before *discoveryv3.DiscoveryResponse) {
	p.t.Helper()
	r := &discoveryv3.DiscoveryRequest{TypeUrl: kind, Node: &corev3.Node{Id: "stand-in"},
		VersionInfo: before.GetVersionInfo(), ResponseNonce: before.GetNonce()}
	if name != "" { // without a name all are asked for
		r.ResourceNames = []string{name}
	}
	if err := p.stream.Send(r); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxy) get(into proto.Message) *discoveryv3.DiscoveryResponse {
	p.t.Helper()
	res, err := p.stream.Recv()
	if err != nil {
		p.t.Fatal(err)
	}
	if len(res.GetResources()) != 1 {
		p.t.Fatalf("%d resources", len(res.GetResources()))
	}
	if err := res.GetResources()[0].UnmarshalTo(into); err != nil {
		p.t.Fatal(err)
	}
	return res
}

func state() State {
	return State{
		Endpoints: []Endpoint{
			{Address: "127.0.0.1:9001", Zone: "norte", Standing: policy.Standing{Server: 1, State: policy.Ready, Part: 1}},
			{Address: "127.0.0.1:9002", Zone: "norte", Standing: policy.Standing{Server: 2, State: policy.Ready, Part: 0.5}},
			{Address: "127.0.0.1:9003", Zone: "sur", Standing: policy.Standing{Server: 3, State: policy.Ready, Shut: true, Part: 0.01}},
		},
		Bound: 24.3, Connect: 250 * time.Millisecond, Attempts: 3,
		Rules: []openapi.Rule{
			{Method: "POST", Segments: []string{"simulacion"}, Terms: policy.Class{Deadline: 2e6, Window: 1e6, Repeat: policy.Keyed}},
			{Method: "POST", Segments: []string{"alta"}, Terms: policy.Class{Deadline: 2e6, Repeat: policy.Unsafe}},
			{Method: "GET", Segments: []string{"cuota", ""}, Terms: policy.Class{Deadline: 2e6, Repeat: policy.Safe}},
		},
	}
}

// told is an endpoint as a proxy sees it.
type told struct {
	Port   uint32
	Zone   string
	Health string
	Weight uint32
}

func endpoints(a *endpointv3.ClusterLoadAssignment) (list []told) {
	for _, z := range a.GetEndpoints() {
		for _, e := range z.GetLbEndpoints() {
			list = append(list, told{e.GetEndpoint().GetAddress().GetSocketAddress().GetPortValue(),
				z.GetLocality().GetZone(), e.GetHealthStatus().String(), e.GetLoadBalancingWeight().GetValue()})
		}
	}
	return list
}

func TestAProxyIsToldOfTheModulesStandingAndOfItsChanges(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	st := state()
	if err := s.Set(st); err != nil {
		t.Fatal(err)
	}
	p := newProxy(t, s.Addr())
	var c clusterv3.Cluster
	p.ask(resource.ClusterType, "", nil)
	p.ask(resource.ClusterType, "", p.get(&c))
	if most := c.GetCircuitBreakers().GetThresholds()[0].GetMaxRequests().GetValue(); c.GetName() != Cluster || most != 25 {
		t.Errorf("cluster %s with at most %d requests", c.GetName(), most)
	}
	var a endpointv3.ClusterLoadAssignment
	p.ask(resource.EndpointType, Cluster, nil)
	first := p.get(&a)
	want := []told{{9001, "norte", "HEALTHY", 20}, {9002, "norte", "HEALTHY", 10}, {9003, "sur", "UNHEALTHY", 1}}
	if diff := cmp.Diff(want, endpoints(&a)); diff != "" {
		t.Error(diff)
	}
	p.ask(resource.EndpointType, Cluster, first)

	if err := s.Set(st); err != nil { // nothing new, so nothing is told
		t.Fatal(err)
	}
	st.Endpoints[0].State = policy.Draining
	if err := s.Set(st); err != nil {
		t.Fatal(err)
	}
	for { // the cluster may be told again first, under the new version
		res, err := p.stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if res.GetTypeUrl() != resource.EndpointType {
			continue
		}
		if err := res.GetResources()[0].UnmarshalTo(&a); err != nil {
			t.Fatal(err)
		}
		if res.GetVersionInfo() != "2" || endpoints(&a)[0].Health != "DRAINING" {
			t.Errorf("version %s: %+v", res.GetVersionInfo(), endpoints(&a))
		}
		return
	}
}

// TestRoutesCarryTimeLimitsAndRetryClasses: what may not run twice is repeated only
// where it surely has not run.
func TestRoutesCarryTimeLimitsAndRetryClasses(t *testing.T) {
	r := routes(state()).(*routev3.RouteConfiguration)
	if err := r.ValidateAll(); err != nil {
		t.Fatal(err)
	}
	type rule struct{ Path, On, PerTry string }
	var got []rule
	for _, x := range r.GetVirtualHosts()[0].GetRoutes() {
		p := x.GetRoute().GetRetryPolicy()
		path := x.GetMatch().GetPath() + x.GetMatch().GetSafeRegex().GetRegex()
		got = append(got, rule{path, p.GetRetryOn(), p.GetPerTryTimeout().AsDuration().String()})
	}
	const never, all = "connect-failure,refused-stream", "connect-failure,refused-stream,reset,gateway-error"
	want := []rule{{"/simulacion", all, "333.333333ms"}, {"/alta", never, "0s"}, {"/cuota/[^/]+", all, "0s"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
