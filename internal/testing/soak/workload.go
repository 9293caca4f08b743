package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// kind is a kind of request with its route and service.
type kind struct {
	name, service string
	safe          bool
	share         float64 // of the requests
	workers       float64 // share of all workers
	work          time.Duration
	aim           time.Duration
	deadline      time.Duration
	priority      int
}

func (k *kind) method() string {
	if k.safe {
		return http.MethodGet
	}
	return http.MethodPost
}

const domain = "soak.example"

// kinds are the kinds of requests; two of them share a service.
var kinds = []kind{
	{"read", "lookup", true, 0.59, 0.6, 110 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second, 2},
	{"submit", "order", false, 0.19, 0.24, 140 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second, 1},
	{"switch", "cutover", false, 0.16, 0.16, 80 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 0},
	{"release", "cutover", false, 0.06, 0, 90 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 2},
}

// tenant is one that calls with a key under a quota.
type tenant struct {
	name, key string
	share     float64 // of the requests
	ratePerS  float64
}

const (
	quotaOverUse = 1.6 // a quota is so many times what its tenant asks for
	tenantFlat   = 3.0 // larger: tenants are more alike
	idleRoutes   = 180
)

// tenantsOf makes tenants, a few of them large.
func tenantsOf(size Size) (all []tenant) {
	sum := 0.0
	for i := range size.Tenants {
		sum += 1 / (float64(i) + tenantFlat)
	}
	for i := range size.Tenants {
		share := 1 / (float64(i) + tenantFlat) / sum
		name := fmt.Sprintf("tenant-%03d", i)
		all = append(all, tenant{name: name, key: "key-of-" + name, share: share, ratePerS: max(share*size.RatePerS*quotaOverUse, 0.5)})
	}
	return all
}

// configuration is what the operator sends. Each version has one more route than the one before, and another
// quota of its first tenant.
type configuration struct {
	edition uint32
	tenants []tenant
	later   []string // prefixes of routes that were added
}

func prefixOf(k *kind) string { return "/" + k.name + "/" }

func laterPrefix(edition uint32) string { return fmt.Sprintf("/later-%08x/", edition) }

func formatEdition(edition uint32) string { return fmt.Sprintf("%08x", edition) }

// body is the configuration as it is sent.
func (c *configuration) body() ([]byte, error) {
	var courses, destinations, senders [][]any
	kindOf := map[bool]string{true: "safe", false: "unsafe"}
	route := func(name, prefix string, k *kind) []any {
		return []any{name, domain, prefix, kindOf[k.safe], k.deadline.Seconds(), k.aim.Seconds(), k.priority, k.service, 2}
	}
	seen := map[string]bool{}
	for i := range kinds {
		k := &kinds[i]
		courses = append(courses, route("route-"+k.name, prefixOf(k), k))
		if !seen[k.service] {
			seen[k.service] = true
			destinations = append(destinations, []any{k.service, "/health", 1700, 3.0, 10.0})
		}
	}
	for i := range idleRoutes {
		courses = append(courses, route(fmt.Sprintf("idle-%d", i), fmt.Sprintf("/idle-%d/", i), &kinds[i%len(kinds)]))
	}
	for _, prefix := range c.later {
		courses = append(courses, route("route-"+prefix[1:len(prefix)-1], prefix, &kinds[0]))
	}
	for i, t := range c.tenants {
		rate := t.ratePerS
		if i == 0 {
			rate += float64(c.edition % 7)
		}
		senders = append(senders, []any{t.name, []string{t.key}, 1, rate, rate})
	}
	return json.Marshal(map[string]any{"edition": formatEdition(c.edition),
		"courses":      map[string]any{"columns": []string{"name", "domain", "streetPrefix", "kind", "deadlineS", "targetS", "priority", "destination", "tries"}, "rows": courses},
		"destinations": map[string]any{"columns": []string{"name", "healthPath", "berthCap", "coldS", "coldPerS"}, "rows": destinations},
		"senders":      map[string]any{"columns": []string{"name", "passes", "priority", "ratePerS", "surge"}, "rows": senders},
		"sizeLimits":   map[string]any{"envelopeBytes": 16384, "bodyBytes": 1 << 20, "envelopeS": 3, "idleS": 15}})
}
