package switchback

import (
	"cmp"
	"slices"
	"strconv"

	"foxwood/internal/metrics"
	"foxwood/internal/timetable"
)

const (
	callersWindow = 10000.0 // milliseconds
	worstShown    = 8       // tenants that are told by name
	worstLeast    = 4       // requests in a window, below which a tenant is not judged
	starvedShare  = 0.75    // of a tenant's requests unserved, from which it counts as starved
)

// tally is how many requests were read, and how many of them ended without a worker's answer.
type tally struct{ read, unserved uint64 }

// share is the part that ended without an answer.
func (t *tally) share() float64 { return float64(t.unserved) / float64(t.read) }

// requestKind is what tells kinds of requests apart in figures: few, however many routes there are.
type requestKind struct {
	service  string
	safe     bool
	priority int
}

func kindOf(c *timetable.Course, service string) requestKind {
	return requestKind{service: service, safe: c.Safe, priority: c.Priority}
}

func (k requestKind) labels() []metrics.Label {
	repeat := "unsafe"
	if k.safe {
		repeat = "safe"
	}
	return []metrics.Label{{Name: "service", Value: k.service}, {Name: "kind", Value: repeat}, {Name: "priority", Value: strconv.Itoa(k.priority)}}
}

// callers follows how the requests of each tenant and of each kind end. In totals, a caller that gets
// nothing can't be seen.
type callers struct {
	kinds   map[requestKind]*tally // since the start
	tenants map[string]*tally      // in this window
	last    map[string]*tally      // in the window before
	opened  float64                // when this window was
}

func newCallers() *callers {
	return &callers{kinds: map[requestKind]*tally{}, tenants: map[string]*tally{}}
}

// turn opens a new window where the last one is over.
func (c *callers) turn(now float64) {
	if now-c.opened < callersWindow {
		return
	}
	c.last = c.tenants
	if now-c.opened >= 2*callersWindow {
		c.last = nil
	}
	c.tenants, c.opened = map[string]*tally{}, now
}

// read notes a request of a kind and of a tenant, empty where no key was asked for.
func (c *callers) read(now float64, kind requestKind, tenant string) {
	tallyOf(c.kinds, kind).read++
	if c.turn(now); tenant != "" {
		tallyOf(c.tenants, tenant).read++
	}
}

// unserved notes that such a request ended without a worker's answer.
func (c *callers) unserved(now float64, kind requestKind, tenant string) {
	tallyOf(c.kinds, kind).unserved++
	if c.turn(now); tenant != "" {
		tallyOf(c.tenants, tenant).unserved++
	}
}

func tallyOf[K comparable](all map[K]*tally, key K) *tally {
	t := all[key]
	if t == nil {
		t = &tally{}
		all[key] = t
	}
	return t
}

// figures tells the kinds, and of the tenants of the last whole window how many are starved and which are
// served least.
func (c *callers) figures(now float64) (figures []metrics.Figure) {
	c.turn(now)
	for kind, t := range c.kinds {
		figures = append(figures,
			metrics.Count("kind_requests_total", "Requests read, by service, repeatability and priority.", t.read, kind.labels()...),
			metrics.Count("kind_unserved_total", "Those that ended without a worker's answer.", t.unserved, kind.labels()...))
	}
	starved := 0
	var worst []string
	for name, t := range c.last {
		if t.read < worstLeast || t.unserved == 0 {
			continue
		}
		worst = append(worst, name)
		if t.share() >= starvedShare {
			starved++
		}
	}
	slices.SortFunc(worst, func(x, y string) int {
		return cmp.Or(cmp.Compare(c.last[y].share(), c.last[x].share()), cmp.Compare(x, y))
	})
	for _, name := range worst[:min(len(worst), worstShown)] {
		figures = append(figures, metrics.Gauge("tenant_unserved_ratio", "Part of a tenant's requests of the last ten seconds that ended without a worker's answer; the worst only.",
			c.last[name].share(), metrics.Label{Name: "tenant", Value: name}))
	}
	return append(figures, metrics.Gauge("tenants_starved", "Tenants of which at most a quarter was served in the last ten seconds.", float64(starved)))
}
