// Package routeconfig implements the operator's routing configuration: the routes that match requests
// (courses in the document), the services that serve them (destinations), and the tenants that API keys
// belong to (senders). Parse accepts a complete document or rejects it with a fault. A parsed configuration
// is never modified, so any number of goroutines may read it.
package routeconfig

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Config is a valid configuration. It must not be modified: equal lists are shared between its parts.
type Config struct {
	Version      uint64 // version
	VersionText  string // the version as it is written in the document
	Raw          []byte // the document that was passed to Parse, not a copy
	Routes       []Route
	Destinations map[string]*Destination
	Limits       Limits
	Tenants      []Tenant
	RequiresKeys bool // an API key is required, even if there is no sender

	digest      uint64
	domains     map[string]domainRoutes // key is the domain in lower case
	sorted      []sortedRoute           // by domain, then bytewise by prefix
	senderByKey map[string]int32        // API key to index in Tenants
}

// Route defines a route: the domain and path prefix that it matches, and how matching requests are served.
type Route struct {
	Name, Domain, Prefix string   // the domain is in lower case; the name may be empty
	Safe                 bool     // requests may be executed more than once
	DeadlineS, TargetS   float64  // seconds
	Priority             int      // 0 is the highest
	Split                []Share  // for a single destination one share of weight 1
	MaxAttempts          int      // workers to which one request may be sent, at least 1
	NoKeyRequired        bool     // no API key is required
	HomeRegions          []string // regions
	Index                int      // in Routes
}

// Share is the share of a route's requests that goes to a destination. At least one weight of a route is
// positive; others may be 0.
type Share struct {
	Destination string
	Weight      float64
}

// Destination is a service. SlotsPerWorker and SlowStartPerS are 0 if the document does not set them.
type Destination struct {
	Name, HealthPath          string
	SlotsPerWorker            int     // concurrency slots: connections that one worker accepts from all gatekeepers together
	SlowStartS, SlowStartPerS float64 // slow start: seconds, and requests per second
	Protocol                  string
	TLS                       bool
}

// Limits are the limits on a client: bytes of a request's head and body, seconds to send a head and to stay idle.
type Limits struct {
	HeadBytes, BodyBytes int
	HeadS, IdleS         float64
}

// defaultLimits apply where the document does not set a limit.
var defaultLimits = Limits{HeadBytes: 16 << 10, BodyBytes: 64 << 20, HeadS: 3, IdleS: 15}

// Tenant is a sender of the document. It has no rate limit if RatePerS is 0.
type Tenant struct {
	Name            string
	APIKeys         []string
	Priority        int
	RatePerS, Burst float64
	HomeRegions     []string
	Index           int // in Tenants
}

// domainRoutes is the range of a domain in Config.sorted.
type domainRoutes struct {
	first, end int32
	// byPrefix holds the indices in Routes by prefix, if the domain has many routes and all prefixes end with a
	// slash. With it, the cost of a lookup depends on the depth of the path and not on the number of routes.
	byPrefix   map[string]int32
	maxSlashes int // number of slashes in the deepest prefix
}

// minExactRoutes is the minimum number of routes of a domain for which byPrefix is built.
const minExactRoutes = 16

// sortedRoute is an element of Config.sorted: the index of a route, and the index in Config.sorted of
// its parent, or -1. The parent is the route with the longest other prefix that is a prefix of its own. By
// following parents a lookup compares each enclosing prefix once.
type sortedRoute struct{ route, parent int32 }

// Route returns the route of the host with the longest prefix of the path, or nil if none matches. The case
// and the port of the host are ignored. The path must not include a query.
func (t *Config) Route(host, path []byte) *Route {
	routes, ok := t.domains[string(host)]
	if !ok {
		var buffer [256]byte
		if routes, ok = t.findDomain(append(buffer[:0], host...)); !ok {
			return nil
		}
	}
	if routes.byPrefix != nil {
		return t.longestPrefix(routes, path)
	}
	low, high := routes.first, routes.end
	for low < high { // find the first route whose prefix is greater than the path
		mid := (low + high) / 2
		if t.prefixAt(mid) > string(path) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	if low == routes.first {
		return nil
	}
	// Every string between a prefix of the path and the path itself starts with that prefix. So all
	// prefixes of the path are among the parents from here on.
	for i := low - 1; i >= 0; i = t.sorted[i].parent {
		if prefix := t.prefixAt(i); len(prefix) <= len(path) && prefix == string(path[:len(prefix)]) {
			return &t.Routes[t.sorted[i].route]
		}
	}
	return nil
}

// longestPrefix returns the route with the longest prefix of the path, or nil. It looks up byPrefix the parts of the
// path that end with a slash, from the longest to the shortest.
func (t *Config) longestPrefix(routes domainRoutes, path []byte) *Route {
	ends := make([]int, 0, 32)
	for i, c := range path {
		if c != '/' {
			continue
		}
		if ends = append(ends, i+1); len(ends) == routes.maxSlashes {
			break
		}
	}
	for _, end := range slices.Backward(ends) {
		if course, ok := routes.byPrefix[string(path[:end])]; ok {
			return &t.Routes[course]
		}
	}
	return nil
}

// findDomain finds the domain of a host that has upper case letters or a port. It lowers the letters in place.
func (t *Config) findDomain(host []byte) (domainRoutes, bool) {
	for i, c := range host {
		if 'A' <= c && c <= 'Z' {
			host[i] = c + 'a' - 'A'
		}
	}
	if routes, ok := t.domains[string(host)]; ok {
		return routes, true
	}
	colon := bytes.LastIndexByte(host, ':')
	if colon <= 0 || host[colon-1] != ']' && bytes.IndexByte(host, ':') != colon {
		return domainRoutes{}, false // no port, or an IPv6 address without brackets
	}
	routes, ok := t.domains[string(host[:colon])]
	return routes, ok
}

// prefixAt returns the prefix of an element of Config.sorted.
func (t *Config) prefixAt(at int32) string { return t.Routes[t.sorted[at].route].Prefix }

// TenantByKey returns the tenant that has the API key, or nil.
func (t *Config) TenantByKey(key []byte) *Tenant {
	if i, ok := t.senderByKey[string(key)]; ok {
		return &t.Tenants[i]
	}
	return nil
}

// Digest returns the xxh3 hash of the document.
func (t *Config) Digest() uint64 { return t.digest }

// buildIndex builds the lookup tables of Route. The configuration must have no faults.
func (t *Config) buildIndex() {
	t.Routes, t.Tenants = slices.Clone(t.Routes), slices.Clone(t.Tenants) // without unused capacity
	t.sorted = make([]sortedRoute, len(t.Routes))
	for i := range t.sorted {
		t.sorted[i] = sortedRoute{int32(i), -1}
	}
	slices.SortFunc(t.sorted, func(a, b sortedRoute) int {
		x, y := &t.Routes[a.route], &t.Routes[b.route]
		if x.Domain != y.Domain {
			return strings.Compare(x.Domain, y.Domain)
		}
		return strings.Compare(x.Prefix, y.Prefix)
	})
	t.domains = make(map[string]domainRoutes)
	for i := range t.sorted {
		at := int32(i)
		course := &t.Routes[t.sorted[at].route]
		routes, ok := t.domains[course.Domain]
		if !ok {
			routes.first = at
		}
		routes.end = at + 1
		t.domains[course.Domain] = routes
		if at == routes.first {
			continue
		}
		parent := at - 1
		for parent >= 0 && !strings.HasPrefix(course.Prefix, t.prefixAt(parent)) {
			parent = t.sorted[parent].parent
		}
		t.sorted[at].parent = parent
	}
	for name, routes := range t.domains {
		if routes.end-routes.first < minExactRoutes {
			continue
		}
		routes.byPrefix = make(map[string]int32, routes.end-routes.first)
		for at := routes.first; at < routes.end; at++ {
			prefix := t.prefixAt(at)
			if !strings.HasSuffix(prefix, "/") {
				routes.byPrefix = nil
				break
			}
			routes.byPrefix[prefix] = t.sorted[at].route
			routes.maxSlashes = max(routes.maxSlashes, strings.Count(prefix, "/"))
		}
		t.domains[name] = routes
	}
}

// ParseVersion parses a version (the platform's edition): eight hexadecimal digits in upper or lower case.
func ParseVersion(text string) (uint64, bool) {
	if len(text) != 8 || strings.ContainsAny(text, "+-_") {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

// FormatVersion formats a version in the form that ParseVersion accepts, in lower case.
func FormatVersion(edition uint64) string { return fmt.Sprintf("%08x", edition) }
