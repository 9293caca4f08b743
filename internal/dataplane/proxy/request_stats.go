package proxy

import (
	"cmp"
	"slices"
	"strconv"

	"foxwood/internal/control/routeconfig"
	"foxwood/internal/metrics"
)

// Limits of the statistics by tenant.
const (
	statsWindowMs     = 10000.0 // length of a window, in milliseconds
	maxTenantsShown   = 8       // tenants that have a metric of their own
	minTenantRequests = 4       // requests in a window below which a tenant is not judged
	starvedRatio      = 0.75    // of a tenant's requests unserved, from which on it counts as starved
)

// outcomes counts the requests that were read, and those of them that ended without a worker's answer.
type outcomes struct{ read, unserved uint64 }

// unservedRatio returns the part of the requests that ended without a worker's answer.
func (t *outcomes) unservedRatio() float64 { return float64(t.unserved) / float64(t.read) }

// requestKind tells requests apart in metrics. There are few kinds, however many routes there are.
type requestKind struct {
	service  string
	safe     bool
	priority int
}

// kindOf returns the kind of a request to a service.
func kindOf(route *routeconfig.Route, service string) requestKind {
	return requestKind{service: service, safe: route.Safe, priority: route.Priority}
}

// labels returns the labels of the kind's metrics.
func (k requestKind) labels() []metrics.Label {
	kind := "unsafe"
	if k.safe {
		kind = "safe"
	}
	return []metrics.Label{{Name: "service", Value: k.service}, {Name: "kind", Value: kind}, {Name: "priority", Value: strconv.Itoa(k.priority)}}
}

// requestStats records how the requests of each tenant and of each kind end. Totals alone would not show a tenant
// that gets nothing.
type requestStats struct {
	kinds       map[requestKind]*outcomes // since the start
	window      map[string]*outcomes      // in the current window
	lastWindow  map[string]*outcomes      // in the window before
	windowStart float64                   // start of the current window, in milliseconds
}

// newRequestStats returns empty statistics.
func newRequestStats() *requestStats {
	return &requestStats{kinds: map[requestKind]*outcomes{}, window: map[string]*outcomes{}}
}

// rotate begins a new window if the current one is over.
func (c *requestStats) rotate(now float64) {
	if now-c.windowStart < statsWindowMs {
		return
	}
	c.lastWindow = c.window
	if now-c.windowStart >= 2*statsWindowMs {
		c.lastWindow = nil
	}
	c.window, c.windowStart = map[string]*outcomes{}, now
}

// countRead counts a request of a kind and of a tenant, which is empty for a request without a key.
func (c *requestStats) countRead(now float64, kind requestKind, tenant string) {
	outcomesOf(c.kinds, kind).read++
	if c.rotate(now); tenant != "" {
		outcomesOf(c.window, tenant).read++
	}
}

// countUnserved counts a request that ended without a worker's answer.
func (c *requestStats) countUnserved(now float64, kind requestKind, tenant string) {
	outcomesOf(c.kinds, kind).unserved++
	if c.rotate(now); tenant != "" {
		outcomesOf(c.window, tenant).unserved++
	}
}

// outcomesOf returns the outcomes for a key, and adds them if there are none.
func outcomesOf[K comparable](all map[K]*outcomes, key K) *outcomes {
	t := all[key]
	if t == nil {
		t = &outcomes{}
		all[key] = t
	}
	return t
}

// metrics returns the counters of all kinds, the number of starved tenants in the last complete window, and the
// tenants with the highest unserved ratios in it.
func (c *requestStats) metrics(now float64) (figures []metrics.Sample) {
	c.rotate(now)
	for kind, t := range c.kinds {
		figures = append(figures,
			metrics.Counter("kind_requests_total", "Requests read, by service, repeatability and priority.", t.read, kind.labels()...),
			metrics.Counter("kind_unserved_total", "Requests that ended without a worker's answer, by service, repeatability and priority.", t.unserved, kind.labels()...))
	}
	starved := 0
	var worst []string
	for name, t := range c.lastWindow {
		if t.read < minTenantRequests || t.unserved == 0 {
			continue
		}
		worst = append(worst, name)
		if t.unservedRatio() >= starvedRatio {
			starved++
		}
	}
	slices.SortFunc(worst, func(x, y string) int {
		return cmp.Or(cmp.Compare(c.lastWindow[y].unservedRatio(), c.lastWindow[x].unservedRatio()), cmp.Compare(x, y))
	})
	for _, name := range worst[:min(len(worst), maxTenantsShown)] {
		figures = append(figures, metrics.Gauge("tenant_unserved_ratio", "Part of a tenant's requests of the last ten seconds that ended without a worker's answer; the worst only.",
			c.lastWindow[name].unservedRatio(), metrics.Label{Name: "tenant", Value: name}))
	}
	return append(figures, metrics.Gauge("tenants_starved", "Tenants with at most a quarter of their requests served in the last ten seconds.", float64(starved)))
}
