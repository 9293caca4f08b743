// Package xds publishes the state of the decision module to other proxies as xDS resources: a
// cluster, its endpoints with health and weights, and the routes of an OpenAPI description with
// their timeouts and retry policies. Its gRPC server has goroutines of its own beside the event
// loop, and only runs if it is configured.
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

	"foxwood/internal/gateway/openapi"
	"foxwood/policy"
)

// ClusterName and RouteConfigName are the names of the cluster and of the route configuration.
const (
	ClusterName     = "foxwood-workers"
	RouteConfigName = "foxwood-routes"
)

// maxWeight is the largest weight of an endpoint; the smallest is 1. The range is coarse, so that
// small changes are not published.
const maxWeight = 20

// Endpoint is the published state of a worker.
type Endpoint struct {
	Address string
	Zone    string
	policy.ServerStatus
}

// State is everything that is published.
type State struct {
	Endpoints      []Endpoint
	MaxRequests    float64 // maximum of concurrent requests to all workers
	Routes         []openapi.Route
	ConnectTimeout time.Duration // timeout for new connections
	MaxAttempts    int           // maximum per request
}

// Server is an aggregated discovery service (ADS) for any proxy.
type Server struct {
	cache     cachev3.SnapshotCache
	grpc      *grpc.Server
	listener  net.Listener
	version   int
	published []proto.Message
}

// singleNode makes all proxies get the same snapshot.
type singleNode struct{}

func (singleNode) ID(*corev3.Node) string { return "all" }

// Listen starts a server at an address.
func Listen(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("xds: %w", err)
	}
	s := &Server{cache: cachev3.NewSnapshotCache(true, singleNode{}, nil), grpc: grpc.NewServer(), listener: ln}
	callbacks := serverv3.CallbackFuncs{StreamRequestFunc: func(_ int64, r *discoveryv3.DiscoveryRequest) error {
		if d := r.GetErrorDetail(); d != nil {
			slog.Warn("xds: update rejected by a proxy", "node", r.GetNode().GetId(), "type", r.GetTypeUrl(), "reason", d.GetMessage())
		}
		return nil
	}}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpc, serverv3.NewServer(context.Background(), s.cache, callbacks))
	go func() {
		if err := s.grpc.Serve(ln); err != nil {
			slog.Error("xds: server stopped", "error", err)
		}
	}()
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop stops the server and ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

// Publish publishes a state. Proxies get an update only if a resource has changed.
func (s *Server) Publish(state State) error {
	resources := []proto.Message{clusterResource(state), endpointResource(state), routeResource(state)}
	if slices.EqualFunc(resources, s.published, proto.Equal) {
		return nil
	}
	s.version++
	snapshot, err := cachev3.NewSnapshot(strconv.Itoa(s.version), map[resource.Type][]types.Resource{
		resource.ClusterType: {resources[0]}, resource.EndpointType: {resources[1]}, resource.RouteType: {resources[2]},
	})
	if err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	if err := s.cache.SetSnapshot(context.Background(), "all", snapshot); err != nil {
		return fmt.Errorf("xds: %w", err)
	}
	s.published = resources
	return nil
}

// clusterResource returns the cluster of all workers, with its circuit breaker.
func clusterResource(state State) proto.Message {
	ads := &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}
	limit := wrapperspb.UInt32(uint32(max(math.Ceil(state.MaxRequests), 1)))
	return &clusterv3.Cluster{
		Name:                 ClusterName,
		ConnectTimeout:       durationpb.New(state.ConnectTimeout),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: ads},
		LbPolicy:             clusterv3.Cluster_LEAST_REQUEST,
		CircuitBreakers: &clusterv3.CircuitBreakers{Thresholds: []*clusterv3.CircuitBreakers_Thresholds{
			{MaxRequests: limit, MaxConnections: limit},
		}},
	}
}

// endpointResource returns the health and weight of each worker, by zone.
func endpointResource(state State) proto.Message {
	maxShare := 0.0
	for _, endpoint := range state.Endpoints {
		maxShare = max(maxShare, endpoint.Weight)
	}
	zones := map[string]*endpointv3.LocalityLbEndpoints{}
	result := &endpointv3.ClusterLoadAssignment{ClusterName: ClusterName}
	for _, endpoint := range state.Endpoints {
		host, port, err := net.SplitHostPort(endpoint.Address)
		n, err2 := strconv.ParseUint(port, 10, 16)
		if err != nil || err2 != nil {
			continue // the worker has no address yet
		}
		zone := zones[endpoint.Zone]
		if zone == nil {
			zone = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: endpoint.Zone}}
			zones[endpoint.Zone] = zone
			result.Endpoints = append(result.Endpoints, zone)
		}
		weight := max(math.Round(endpoint.Weight/max(maxShare, 1e-9)*maxWeight), 1)
		zone.LbEndpoints = append(zone.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:        healthStatus(endpoint.ServerStatus),
			LoadBalancingWeight: wrapperspb.UInt32(uint32(weight)),
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)},
				}}},
			}},
		})
	}
	for _, zone := range result.Endpoints {
		zone.LoadBalancingWeight = wrapperspb.UInt32(uint32(len(zone.LbEndpoints)))
	}
	return result
}

func healthStatus(s policy.ServerStatus) corev3.HealthStatus {
	switch {
	case s.State == policy.Draining:
		return corev3.HealthStatus_DRAINING
	case s.State != policy.Ready || s.Unavailable:
		return corev3.HealthStatus_UNHEALTHY
	}
	return corev3.HealthStatus_HEALTHY
}

// routeResource returns the routes of the OpenAPI description.
func routeResource(state State) proto.Message {
	host := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, r := range state.Routes {
		host.Routes = append(host.Routes, &routev3.Route{
			Match: routeMatch(r),
			Action: &routev3.Route_Route{Route: &routev3.RouteAction{
				ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: ClusterName},
				Timeout:          durationpb.New(time.Duration(r.Class.Deadline) * time.Microsecond),
				RetryPolicy:      retryPolicy(r.Class, state.MaxAttempts),
			}},
		})
	}
	return &routev3.RouteConfiguration{Name: RouteConfigName, VirtualHosts: []*routev3.VirtualHost{host}}
}

func routeMatch(rule openapi.Route) *routev3.RouteMatch {
	result := &routev3.RouteMatch{Headers: []*routev3.HeaderMatcher{{
		Name: ":method",
		HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
			MatchPattern: &matcherv3.StringMatcher_Exact{Exact: rule.Method}}},
	}}}
	if !slices.Contains(rule.Segments, "") {
		result.PathSpecifier = &routev3.RouteMatch_Path{Path: "/" + strings.Join(rule.Segments, "/")}
		return result
	}
	pattern := ""
	for _, s := range rule.Segments {
		if s == "" {
			pattern += "/[^/]+"
		} else {
			pattern += "/" + regexp.QuoteMeta(s)
		}
	}
	result.PathSpecifier = &routev3.RouteMatch_SafeRegex{SafeRegex: &matcherv3.RegexMatcher{Regex: pattern}}
	return result
}

// retryPolicy returns the retry policy for a class. A proxy knows neither the groups of workers nor
// the deduplication window. So a keyed class is retried only if all workers share its keys, and with
// a timeout per try that keeps all tries within the window.
func retryPolicy(class policy.Class, attempts int) *routev3.RetryPolicy {
	if attempts <= 1 {
		return nil
	}
	result := &routev3.RetryPolicy{RetryOn: "connect-failure,refused-stream", NumRetries: wrapperspb.UInt32(uint32(attempts - 1))}
	const all = "connect-failure,refused-stream,reset,gateway-error"
	switch {
	case class.Repeat == policy.RepeatSafe:
		result.RetryOn = all
	case class.Repeat == policy.RepeatKeyed && class.Dedup == policy.DedupFleet:
		result.RetryOn = all
		result.PerTryTimeout = durationpb.New(time.Duration(class.RepeatWindow) * time.Microsecond / time.Duration(attempts))
	}
	return result
}
