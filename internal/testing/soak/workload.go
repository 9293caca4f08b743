package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// requestKind is a kind of request with its route and service.
type requestKind struct {
	name, service string
	safe          bool          // it may be repeated
	requestShare  float64       // of all requests
	workerShare   float64       // of all workers; 0 if another kind with the same service has them
	workTime      time.Duration // mean time that a worker takes
	targetLatency time.Duration
	deadline      time.Duration
	priority      int
}

// method returns the HTTP method of the requests.
func (k *requestKind) method() string {
	if k.safe {
		return http.MethodGet
	}
	return http.MethodPost
}

// domain is the host name that all requests are sent to.
const domain = "soak.example"

// requestKinds are the kinds of requests; two of them share a service.
var requestKinds = []requestKind{
	{"read", "lookup", true, 0.59, 0.6, 110 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 2},
	{"submit", "order", false, 0.19, 0.24, 140 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second, 1},
	{"switch", "cutover", false, 0.16, 0.16, 80 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 0},
	{"release", "cutover", false, 0.06, 0, 90 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 2},
}

// tenant is a customer with a key and a quota.
type tenant struct {
	name, key string
	share     float64 // of all requests
	ratePerS  float64 // quota
}

const (
	quotaOverUse        = 1.6 // ratio of the quota of a tenant to its mean request rate
	tenantShareFlatness = 3.0 // a larger value makes the shares of tenants more alike
	idleRouteCount      = 180 // additional routes without traffic
)

// makeTenants returns the tenants of a deployment, a few of them large and most small.
func makeTenants(size Size) (tenants []tenant) {
	sum := 0.0
	for rank := range size.Tenants {
		sum += 1 / (float64(rank) + tenantShareFlatness)
	}
	for rank := range size.Tenants {
		share := 1 / (float64(rank) + tenantShareFlatness) / sum
		name := fmt.Sprintf("tenant-%03d", rank)
		tenants = append(tenants, tenant{name: name, key: "key-of-" + name, share: share, ratePerS: max(share*size.RatePerS*quotaOverUse, 0.5)})
	}
	return tenants
}

// configuration is the configuration that the operator sends. Each edition has one more route than the one before and
// changes the quota of the first tenant.
type configuration struct {
	edition       uint32
	tenants       []tenant
	addedPrefixes []string // path prefixes of the routes that later editions added
}

// routePrefix returns the path prefix of the route of a kind of request.
func routePrefix(kind *requestKind) string { return "/" + kind.name + "/" }

// addedPrefix returns the path prefix of the route that an edition adds.
func addedPrefix(edition uint32) string { return fmt.Sprintf("/later-%08x/", edition) }

// formatEdition returns an edition in the form used in the configuration.
func formatEdition(edition uint32) string { return fmt.Sprintf("%08x", edition) }

// encode returns the configuration in the JSON form that registries accept.
func (c *configuration) encode() ([]byte, error) {
	var routeRows, serviceRows, tenantRows [][]any
	safetyName := map[bool]string{true: "safe", false: "unsafe"}
	route := func(name, prefix string, kind *requestKind) []any {
		return []any{name, domain, prefix, safetyName[kind.safe], kind.deadline.Seconds(), kind.targetLatency.Seconds(), kind.priority, kind.service, 2}
	}
	seen := map[string]bool{}
	for i := range requestKinds {
		kind := &requestKinds[i]
		routeRows = append(routeRows, route("route-"+kind.name, routePrefix(kind), kind))
		if !seen[kind.service] {
			seen[kind.service] = true
			serviceRows = append(serviceRows, []any{kind.service, "/health", 1700, 3.0, 10.0})
		}
	}
	for i := range idleRouteCount {
		routeRows = append(routeRows, route(fmt.Sprintf("idle-%d", i), fmt.Sprintf("/idle-%d/", i), &requestKinds[i%len(requestKinds)]))
	}
	for _, prefix := range c.addedPrefixes {
		routeRows = append(routeRows, route("route-"+prefix[1:len(prefix)-1], prefix, &requestKinds[0]))
	}
	for i, t := range c.tenants {
		rate := t.ratePerS
		if i == 0 {
			rate += float64(c.edition % 7)
		}
		tenantRows = append(tenantRows, []any{t.name, []string{t.key}, 1, rate, rate})
	}
	return json.Marshal(map[string]any{"edition": formatEdition(c.edition),
		"courses":      map[string]any{"columns": []string{"name", "domain", "streetPrefix", "kind", "deadlineS", "targetS", "priority", "destination", "tries"}, "rows": routeRows},
		"destinations": map[string]any{"columns": []string{"name", "healthPath", "berthCap", "coldS", "coldPerS"}, "rows": serviceRows},
		"senders":      map[string]any{"columns": []string{"name", "passes", "priority", "ratePerS", "surge"}, "rows": tenantRows},
		"sizeLimits":   map[string]any{"envelopeBytes": 16384, "bodyBytes": 1 << 20, "envelopeS": 3, "idleS": 15}})
}
