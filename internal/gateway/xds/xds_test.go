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

	"foxwood/internal/gateway/openapi"
	"foxwood/policy"
)

// proxy is the client side of an aggregated discovery stream.
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

// ask subscribes to resources, or acknowledges the previous response.
func (p *proxy) ask(typeURL, name string, previous *discoveryv3.DiscoveryResponse) {
	p.t.Helper()
	r := &discoveryv3.DiscoveryRequest{TypeUrl: typeURL, Node: &corev3.Node{Id: "stand-in"},
		VersionInfo: previous.GetVersionInfo(), ResponseNonce: previous.GetNonce()}
	if name != "" { // without a name the subscription is for all resources
		r.ResourceNames = []string{name}
	}
	if err := p.stream.Send(r); err != nil {
		p.t.Fatal(err)
	}
}

// receive reads a response with one resource.
func (p *proxy) receive(into proto.Message) *discoveryv3.DiscoveryResponse {
	p.t.Helper()
	res, err := p.stream.Recv()
	if err != nil {
		p.t.Fatal(err)
	}
	if len(res.GetResources()) != 1 {
		p.t.Fatalf("got %d resources, want 1", len(res.GetResources()))
	}
	if err := res.GetResources()[0].UnmarshalTo(into); err != nil {
		p.t.Fatal(err)
	}
	return res
}

// testState returns a state with two healthy workers and an unhealthy one.
func testState() State {
	return State{
		Endpoints: []Endpoint{
			{Address: "127.0.0.1:9001", Zone: "norte", ServerStatus: policy.ServerStatus{Server: 1, State: policy.Ready, Weight: 1}},
			{Address: "127.0.0.1:9002", Zone: "norte", ServerStatus: policy.ServerStatus{Server: 2, State: policy.Ready, Weight: 0.5}},
			{Address: "127.0.0.1:9003", Zone: "sur", ServerStatus: policy.ServerStatus{Server: 3, State: policy.Ready, Unavailable: true, Weight: 0.01}},
		},
		MaxRequests: 24.3, ConnectTimeout: 250 * time.Millisecond, MaxAttempts: 3,
		Routes: []openapi.Route{
			{Method: "POST", Segments: []string{"simulacion"}, Class: policy.Class{Deadline: 2e6, RepeatWindow: 1e6, Repeat: policy.RepeatKeyed}},
			{Method: "POST", Segments: []string{"alta"}, Class: policy.Class{Deadline: 2e6, Repeat: policy.RepeatUnsafe}},
			{Method: "GET", Segments: []string{"cuota", ""}, Class: policy.Class{Deadline: 2e6, Repeat: policy.RepeatSafe}},
		},
	}
}

// endpointView is an endpoint as a proxy receives it.
type endpointView struct {
	Port   uint32
	Zone   string
	Health string
	Weight uint32
}

func endpoints(a *endpointv3.ClusterLoadAssignment) (list []endpointView) {
	for _, z := range a.GetEndpoints() {
		for _, e := range z.GetLbEndpoints() {
			list = append(list, endpointView{e.GetEndpoint().GetAddress().GetSocketAddress().GetPortValue(),
				z.GetLocality().GetZone(), e.GetHealthStatus().String(), e.GetLoadBalancingWeight().GetValue()})
		}
	}
	return list
}

func TestProxyReceivesStateAndChanges(t *testing.T) {
	server, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	state := testState()
	if err := server.Publish(state); err != nil {
		t.Fatal(err)
	}
	client := newProxy(t, server.Addr())
	var cluster clusterv3.Cluster
	client.ask(resource.ClusterType, "", nil)
	client.ask(resource.ClusterType, "", client.receive(&cluster))
	if most := cluster.GetCircuitBreakers().GetThresholds()[0].GetMaxRequests().GetValue(); cluster.GetName() != ClusterName || most != 25 {
		t.Errorf("got cluster %s with at most %d requests, want at most 25", cluster.GetName(), most)
	}
	var assignment endpointv3.ClusterLoadAssignment
	client.ask(resource.EndpointType, ClusterName, nil)
	first := client.receive(&assignment)
	want := []endpointView{{9001, "norte", "HEALTHY", 20}, {9002, "norte", "HEALTHY", 10}, {9003, "sur", "UNHEALTHY", 1}}
	if diff := cmp.Diff(want, endpoints(&assignment)); diff != "" {
		t.Error(diff)
	}
	client.ask(resource.EndpointType, ClusterName, first)

	if err := server.Publish(state); err != nil { // no change, so no update
		t.Fatal(err)
	}
	state.Endpoints[0].State = policy.Draining
	if err := server.Publish(state); err != nil {
		t.Fatal(err)
	}
	for { // the cluster may be sent again first, with the new version
		res, err := client.stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if res.GetTypeUrl() != resource.EndpointType {
			continue
		}
		if err := res.GetResources()[0].UnmarshalTo(&assignment); err != nil {
			t.Fatal(err)
		}
		if res.GetVersionInfo() != "2" || endpoints(&assignment)[0].Health != "DRAINING" {
			t.Errorf("want version 2 with the first endpoint draining, got version %s: %+v", res.GetVersionInfo(), endpoints(&assignment))
		}
		return
	}
}

// TestRoutesHaveTimeoutsAndRetryPolicies checks that a class which must not run twice is retried only
// if the request can't have run.
func TestRoutesHaveTimeoutsAndRetryPolicies(t *testing.T) {
	config := routeResource(testState()).(*routev3.RouteConfiguration)
	if err := config.ValidateAll(); err != nil {
		t.Fatal(err)
	}
	type rule struct{ Path, On, PerTry string }
	var got []rule
	for _, route := range config.GetVirtualHosts()[0].GetRoutes() {
		retry := route.GetRoute().GetRetryPolicy()
		path := route.GetMatch().GetPath() + route.GetMatch().GetSafeRegex().GetRegex()
		got = append(got, rule{path, retry.GetRetryOn(), retry.GetPerTryTimeout().AsDuration().String()})
	}
	const never, all = "connect-failure,refused-stream", "connect-failure,refused-stream,reset,gateway-error"
	want := []rule{{"/simulacion", all, "333.333333ms"}, {"/alta", never, "0s"}, {"/cuota/[^/]+", all, "0s"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
