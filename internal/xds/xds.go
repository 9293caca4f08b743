// Package xds hands the decision module's standing to other proxies as xDS
// resources: one cluster, its endpoints with health and weights, and the routes of
// a description with their time limits and retries. It runs gRPC's goroutines
// beside the event loop, and only where it is configured.
package xds

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	cachev3 "github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	serverv3 "github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"foxwood/internal/openapi"
	"foxwood/policy"
)

// Names of the resources.
const (
	Cluster = "foxwood-workers"
	Routes  = "foxwood-routes"
)

// weights run from 1 to this; coarse, so that small moves are not told.
const weightSteps = 20

// Endpoint is one worker as it is handed off.
type Endpoint struct {
	Address string
	Zone    string
	policy.Standing
}

// State is all that is handed off.
type State struct {
	Endpoints []Endpoint
	Bound     float64 // executions out at once
	Rules     []openapi.Rule
	Connect   time.Duration // for a connection to come up
	Attempts  int           // of a request at most
}

// Server serves aggregated discovery to any proxy that asks.
type Server struct {
	cache   cachev3.SnapshotCache
	grpc    *grpc.Server
	listen  net.Listener
	version int
	last    []proto.Message
}

// anyNode gives all proxies the same.
type anyNode struct{}

func (anyNode) ID(*corev3.Node) string { return "all" }

// Listen starts to serve at an address.
func Listen(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("xds: %w", err)
	}
	s := &Server{cache: cachev3.NewSnapshotCache(true, anyNode{}, nil), grpc: grpc.NewServer(), listen: ln}
	seen := serverv3.CallbackFuncs{StreamRequestFunc: func(_ int64, r *discoveryv3.DiscoveryRequest) error {
		if d := r.GetErrorDetail(); d != nil {
			slog.Warn("xds: refused by a proxy", "node", r.GetNode().GetId(), "type", r.GetTypeUrl(), "reason", d.GetMessage())
		}
		return nil
	}}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpc, serverv3.NewServer(context.Background(), s.cache, seen))
	go func() {
		if err := s.grpc.Serve(ln); err != nil {
			slog.Error("xds: server ended", "error", err)
		}
	}()
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listen.Addr().String() }

// Stop ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

// Set hands a state off. Proxies are told only where something has changed.
func (s *Server) Set(st State) error {
	all := []proto.Message{cluster(st), assignment(st), routes(st)}
	if slices.EqualFunc(all, s.last, proto.Equal) {
		return nil
	}
	s.version++
	snapshot, err := cachev3.NewSnapshot(strconv.Itoa(s.version), map[resource.Type][]types.Resource{
		resource.ClusterType: {all[0]}, resource.EndpointType: {all[1]}, resource.RouteType: {all[2]},
	})
	if err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	if err := s.cache.SetSnapshot(context.Background(), "all", snapshot); err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	s.last = all
	return nil
}

func cluster(st State) proto.Message {
	ads := &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}
	bound := wrapperspb.UInt32(uint32(max(math.Ceil(st.Bound), 1)))
	return &clusterv3.Cluster{
		Name:                 Cluster,
		ConnectTimeout:       durationpb.New(st.Connect),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: ads},
		LbPolicy:             clusterv3.Cluster_LEAST_REQUEST,
		CircuitBreakers: &clusterv3.CircuitBreakers{Thresholds: []*clusterv3.CircuitBreakers_Thresholds{
			{MaxRequests: bound, MaxConnections: bound},
		}},
	}
}

// assignment states each worker's health and weight, by zone.
func assignment(st State) proto.Message {
	most := 0.0
	for _, e := range st.Endpoints {
		most = max(most, e.Part)
	}
	zones := map[string]*endpointv3.LocalityLbEndpoints{}
	a := &endpointv3.ClusterLoadAssignment{ClusterName: Cluster}
	for _, e := range st.Endpoints {
		host, port, err := net.SplitHostPort(e.Address)
		n, err2 := strconv.ParseUint(port, 10, 16)
		if err != nil || err2 != nil {
			continue // not placed yet
		}
		z := zones[e.Zone]
		if z == nil {
			z = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Zone}}
			zones[e.Zone] = z
			a.Endpoints = append(a.Endpoints, z)
		}
		weight := max(math.Round(e.Part/max(most, 1e-9)*weightSteps), 1)
		z.LbEndpoints = append(z.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:        health(e.Standing),
			LoadBalancingWeight: wrapperspb.UInt32(uint32(weight)),
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)},
				}}},
			}},
		})
	}
	for _, z := range a.Endpoints {
		z.LoadBalancingWeight = wrapperspb.UInt32(uint32(len(z.LbEndpoints)))
	}
	return a
}

func health(s policy.Standing) corev3.HealthStatus {
	switch {
	case s.State == policy.Draining:
		return corev3.HealthStatus_DRAINING
	case s.State != policy.Ready || s.Shut:
		return corev3.HealthStatus_UNHEALTHY
	}
	return corev3.HealthStatus_HEALTHY
}

func routes(st State) proto.Message {
	host := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, r := range st.Rules {
		host.Routes = append(host.Routes, &routev3.Route{
			Match: match(r),
			Action: &routev3.Route_Route{Route: &routev3.RouteAction{
				ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: Cluster},
				Timeout:          durationpb.New(time.Duration(r.Terms.Deadline) * time.Microsecond),
				RetryPolicy:      retries(r.Terms, st.Attempts),
			}},
		})
	}
	return &routev3.RouteConfiguration{Name: Routes, VirtualHosts: []*routev3.VirtualHost{host}}
}

func match(r openapi.Rule) *routev3.RouteMatch {
	m := &routev3.RouteMatch{Headers: []*routev3.HeaderMatcher{{
		Name: ":method",
		HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
			MatchPattern: &matcherv3.StringMatcher_Exact{Exact: r.Method}}},
	}}}
	if !slices.Contains(r.Segments, "") {
		m.PathSpecifier = &routev3.RouteMatch_Path{Path: "/" + strings.Join(r.Segments, "/")}
		return m
	}
	pattern := ""
	for _, s := range r.Segments {
		if s == "" {
			pattern += "/[^/]+"
		} else {
			pattern += "/" + regexp.QuoteMeta(s)
		}
	}
	m.PathSpecifier = &routev3.RouteMatch_SafeRegex{SafeRegex: &matcherv3.RegexMatcher{Regex: pattern}}
	return m
}

// retries states a retry class. A proxy sees neither groups of workers nor windows,
// so a keyed class is repeated only where every worker drops repeats, and only with
// a time-out of each try that leaves all of them inside the window.
func retries(c policy.Class, attempts int) *routev3.RetryPolicy {
	if attempts <= 1 {
		return nil
	}
	p := &routev3.RetryPolicy{RetryOn: "connect-failure,refused-stream", NumRetries: wrapperspb.UInt32(uint32(attempts - 1))}
	const all = "connect-failure,refused-stream,reset,gateway-error"
	switch {
	case c.Repeat == policy.Safe:
		p.RetryOn = all
	case c.Repeat == policy.Keyed && c.Group == policy.GroupAll:
		p.RetryOn = all
		p.PerTryTimeout = durationpb.New(time.Duration(c.Window) * time.Microsecond / time.Duration(attempts))
	}
	return p
}
