// Package timetable holds the operator's configuration: which course a request
// takes, which destinations serve it, and whose key it carries. Parse takes a whole
// document or refuses it with a named fault; what it returns is never changed, so
// any number of goroutines may read it.
package timetable

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Timetable is a configuration without faults. Equal lists may be shared between
// its parts: nothing in it may be written to.
type Timetable struct {
	Edition      uint64
	EditionText  string // as it was sent
	Raw          []byte // the document as it was given to Parse, not a copy
	Courses      []Course
	Destinations map[string]*Destination
	Limits       Limits
	Senders      []Sender
	HasSenders   bool // a key is asked for, even if there is no sender

	digest      uint64
	domains     map[string]domainRoutes // by domain in lower case
	sorted      []sortedRoute           // by domain, then by prefix as bytes
	senderByKey map[string]int32        // key to index of its sender
}

// Course is a route: a domain and a prefix of paths, and how their requests are served.
type Course struct {
	Name, Domain, Prefix string // the domain is in lower case; the name may be empty
	Safe                 bool   // may run more than once
	Deadline, Target     float64
	Priority             int     // 0 is the highest
	Split                []Share // of a plain destination one, with weight 1
	Tries                int     // workers to which one try may be sent, at least 1
	Unsealed             bool    // no key is asked for
	Homes                []string
	Index                int // in Courses
}

// Share is a destination's part of a course. Some weight of a course is above 0,
// though not each one is.
type Share struct {
	Destination string
	Weight      float64
}

// Destination is a service. A zero BerthCap or ColdPerS was left out.
type Destination struct {
	Name, HealthPath string
	BerthCap         int // connections that one worker takes from all callers together
	ColdS, ColdPerS  float64
	Protocol         string
	TLS              bool
}

// Limits bound what a client may send, and how long it may take or be idle.
type Limits struct {
	EnvelopeBytes, BodyBytes int
	EnvelopeS, IdleS         float64
}

// defaults holds where the document says nothing.
var defaultLimits = Limits{EnvelopeBytes: 16 << 10, BodyBytes: 64 << 20, EnvelopeS: 3, IdleS: 15}

// Sender is a tenant. A zero RatePerS means that it has no limit.
type Sender struct {
	Name            string
	Passes          []string
	Priority        int
	RatePerS, Surge float64
	Homes           []string
	Index           int // in Senders
}

// span is a domain's part of the places.
type domainRoutes struct {
	first, end int32
	// Where the places are many and all prefixes end with a slash, they are also found by themselves:
	// the look-up then goes with the path's depth, not with the number of routes.
	byPrefix   map[string]int32
	maxSlashes int // slashes of the deepest prefix
}

// exactFrom is how many places make a domain one with an exact table.
const minExactRoutes = 16

// place is a course in the order of the search, with the place of the longest
// other prefix that begins its own, or -1. Along these links a search needs one
// comparison for each prefix that contains the other.
type sortedRoute struct{ course, parent int32 }

// Course gives the course with the longest prefix that begins the path, or nil.
// The host counts without regard to case and to a port; the path has no query.
func (t *Timetable) Course(host, path []byte) *Course {
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
	for low < high { // the first place whose prefix is above the path
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
	// All that lies between a prefix of the path and the path begins with that
	// prefix, so every prefix of the path is on the way outwards from here.
	for i := low - 1; i >= 0; i = t.sorted[i].parent {
		if prefix := t.prefixAt(i); len(prefix) <= len(path) && prefix == string(path[:len(prefix)]) {
			return &t.Courses[t.sorted[i].course]
		}
	}
	return nil
}

// deepest finds the longest prefix by the path's own slashes, from the deepest that a prefix has.
func (t *Timetable) longestPrefix(routes domainRoutes, path []byte) *Course {
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
			return &t.Courses[course]
		}
	}
	return nil
}

// fold finds the domain of a host that is not written as the table has it, and
// changes the host's letters in place.
func (t *Timetable) findDomain(host []byte) (domainRoutes, bool) {
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
		return domainRoutes{}, false // no port, or a bare address of IPv6
	}
	routes, ok := t.domains[string(host[:colon])]
	return routes, ok
}

func (t *Timetable) prefixAt(at int32) string { return t.Courses[t.sorted[at].course].Prefix }

// Sender gives the sender that holds the key, or nil.
func (t *Timetable) Sender(key []byte) *Sender {
	if i, ok := t.senderByKey[string(key)]; ok {
		return &t.Senders[i]
	}
	return nil
}

// Digest is the xxh3 hash of the document as it was given.
func (t *Timetable) Digest() uint64 { return t.digest }

// index orders the courses for Course, once they are all known to be without faults.
func (t *Timetable) buildIndex() {
	t.Courses, t.Senders = slices.Clone(t.Courses), slices.Clone(t.Senders) // without room to grow
	t.sorted = make([]sortedRoute, len(t.Courses))
	for i := range t.sorted {
		t.sorted[i] = sortedRoute{int32(i), -1}
	}
	slices.SortFunc(t.sorted, func(a, b sortedRoute) int {
		x, y := &t.Courses[a.course], &t.Courses[b.course]
		if x.Domain != y.Domain {
			return strings.Compare(x.Domain, y.Domain)
		}
		return strings.Compare(x.Prefix, y.Prefix)
	})
	t.domains = make(map[string]domainRoutes)
	for i := range t.sorted {
		at := int32(i)
		course := &t.Courses[t.sorted[at].course]
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
			routes.byPrefix[prefix] = t.sorted[at].course
			routes.maxSlashes = max(routes.maxSlashes, strings.Count(prefix, "/"))
		}
		t.domains[name] = routes
	}
}

// ParseEdition reads an edition: eight hexadecimal digits, in either case.
func ParseEdition(text string) (uint64, bool) {
	if len(text) != 8 || strings.ContainsAny(text, "+-_") {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

// FormatEdition writes an edition as ParseEdition reads it.
func FormatEdition(edition uint64) string { return fmt.Sprintf("%08x", edition) }
