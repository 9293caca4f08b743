// Package platform is the front for the platform's protocol: its headers, its
// outcomes and its host group.
package platform

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// The platform's names on sockets.
const (
	pathAPI   = "/api"
	PathReady = "/health/ready" // 200 once clients may come
	PathLive  = "/health/live"  // 200 while the loop turns

	headTrace  = "X-Trace-Id"
	headClass  = "X-Qos"
	headPlan   = "X-Tier"
	headKey    = "X-Api-Key"
	HeadLeft   = "X-Expires-In-Ms" // how long the sender waits for the answer
	headRepeat = "Idempotency-Key"
	headTerms  = "X-Call-Terms"
	headAgain  = "X-Second-Try"
	headNever  = "X-Never-Ran"
	headUnits  = "X-Cost-Units"
	headLoad   = "Endpoint-Load-Metrics"
)

// Front speaks the platform's protocol with clients and workers.
type Front struct {
	settings policy.Settings
	names    settings.Names
	ready    func() bool
}

// NewFront makes a front; ready tells whether clients may come.
func NewFront(s policy.Settings, n settings.Names, ready func() bool) *Front {
	if s.Largest <= 0 { // an operator's settings need not say
		s.Largest = math.MaxInt32
	}
	return &Front{settings: s, names: n, ready: ready}
}

// Replace puts another table of classes in force, in the places that the core's has them.
// Requests that were read before keep the terms they came with.
func (f *Front) Replace(classes []policy.Class, names []string) {
	f.settings.Classes, f.names.Classes = classes, names
}

// Handle implements link.Front.
func (f *Front) Handle(l *link.Client, m *http1.Message) {
	path, _, _ := bytes.Cut(m.Target, []byte{'?'})
	switch string(path) {
	case pathAPI:
		r, err := f.request(m)
		if err != nil {
			l.Reject(400, err.Error()+"\n")
			return
		}
		l.Submit(r)
	case PathReady, PathLive:
		Health(l, m, f.ready())
	default:
		l.Reply(404, "", "no such path\n")
	}
}

// Health answers a question for PathReady or PathLive.
func Health(l *link.Client, m *http1.Message, ready bool) {
	path, _, _ := bytes.Cut(m.Target, []byte{'?'})
	switch {
	case string(m.Method) != "GET" && string(m.Method) != "HEAD":
		l.Reply(405, "Allow: GET, HEAD\r\n", "only GET\n")
	case string(path) == PathReady && !ready:
		l.Reply(503, "", "not ready\n")
	default:
		l.Reply(200, "", "ok\n")
	}
}

// claims are the fields that a request is judged by. One that stands twice could mean
// one thing here and another at a worker.
var claims = [...]string{headTrace, headClass, headPlan, headKey, HeadLeft, headRepeat, headTerms, headAgain}

// keyMost is past the largest key of a customer.
const keyMost = 1 << 33

// request reads a request's headers, and refuses what it is not sure of.
func (f *Front) request(m *http1.Message) (*gatekeeper.Request, error) {
	for _, name := range claims {
		if m.Count(name) > 1 {
			return nil, fmt.Errorf("%s stands twice", name)
		}
	}
	r := &gatekeeper.Request{Name: string(m.Get(headTrace))}
	if r.Name == "" {
		return nil, fmt.Errorf("%s is missing", headTrace)
	}
	name := string(m.Get(headClass))
	if r.Class = slices.Index(f.names.Classes, name); r.Class < 0 || name == "" {
		return nil, fmt.Errorf("%s names no class", headClass)
	}
	if r.Plan = slices.Index(f.names.Plans, string(m.Get(headPlan))); r.Plan < 0 {
		return nil, fmt.Errorf("%s names no plan", headPlan)
	}
	key, err := strconv.ParseUint(string(m.Get(headKey)), 16, 64)
	if err != nil || len(m.Get(headKey)) != 16 || key >= keyMost {
		return nil, fmt.Errorf("%s is not a customer's key in 16 hex digits", headKey)
	}
	r.Customer = key
	left, err := strconv.ParseUint(string(m.Get(HeadLeft)), 10, 31)
	if err != nil || left == 0 {
		return nil, fmt.Errorf("%s is not a number of milliseconds", HeadLeft)
	}
	class := f.settings.Classes[r.Class]
	r.Left = min(float64(left), float64(class.Deadline)/1000)
	switch get := string(m.Method) == "GET"; {
	case !get && string(m.Method) != "POST":
		return nil, fmt.Errorf("neither GET nor POST")
	case get && class.Repeat == policy.Keyed:
		return nil, fmt.Errorf("the class wants method POST")
	case !get && class.Repeat == policy.Safe:
		return nil, fmt.Errorf("the class wants method GET")
	}
	if class.Repeat == policy.Keyed && len(m.Get(headRepeat)) == 0 {
		return nil, fmt.Errorf("%s is missing", headRepeat)
	}
	if string(m.Method) == "GET" && (len(m.Body) > 0 || m.Large) {
		return nil, fmt.Errorf("GET has no body")
	}
	if err := f.terms(r, m.Get(headTerms)); err != nil {
		return nil, err
	}
	r.Again = string(m.Get(headAgain)) == "1"
	r.Payload = payload(m)
	return r, nil
}

// terms reads the units and the customer's set of gatekeepers. Each stands once and
// is within what the settings allow: a request of a thousand units would empty the
// quota of the customer it names.
func (f *Front) terms(r *gatekeeper.Request, terms []byte) error {
	seen := map[string]bool{}
	for pair := range bytes.SplitSeq(terms, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		if seen[string(name)] {
			return fmt.Errorf("%s states %s twice", headTerms, name)
		}
		seen[string(name)] = true
		ok := true
		switch string(name) {
		case "units":
			r.Units, ok = number(value, f.settings.Largest)
			ok = ok && r.Units > 0
		case "spread":
			r.Spread, ok = whole(value, f.settings.Gateways)
			ok = ok && r.Spread > 0
		case "first":
			_, ok = whole(value, f.settings.Gateways-1)
		}
		if !ok {
			return fmt.Errorf("%s states no possible %s", headTerms, name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return fmt.Errorf("%s lacks a term", headTerms)
	}
	return nil
}

// number reads a decimal number from 0 to most, written as people write them: no
// NaN, no infinity, no hexadecimals.
func number(text []byte, most float64) (float64, bool) {
	if len(text) == 0 || text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && v <= most
}

// whole reads a whole number from 0 to most.
func whole(text []byte, most int) (int, bool) {
	v, err := strconv.ParseUint(string(text), 10, 31)
	return int(v), err == nil && int(v) <= most
}

// payload is what workers get to see of a request.
func payload(m *http1.Message) *link.Payload {
	b := make([]byte, 0, 256+len(m.Target)+len(m.Body))
	b = append(append(b, m.Method...), ' ')
	b = append(append(b, m.Target...), " HTTP/1.1\r\n"...)
	for _, name := range [...]string{"Host", headTrace, headRepeat, "Content-Type"} {
		if v := m.Get(name); v != nil {
			b = append(append(b, name...), ": "...)
			b = append(append(b, v...), "\r\n"...)
		}
	}
	switch {
	case m.Large && m.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case m.Large:
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(m.Length), 10), "\r\n"...)
	case string(m.Method) != "GET" || len(m.Body) > 0:
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(m.Body)), 10), "\r\n"...)
	}
	head := len(b)
	b = append(b, m.Body...)
	return &link.Payload{Head: b[:head], Body: b[head:]}
}

// Left implements link.Reader.
func (f *Front) Left() string { return HeadLeft }

// Outcome implements link.Reader: it reads a worker's answer. Only the header
// that says so proves that a request never ran.
func (f *Front) Outcome(m *http1.Message) gatekeeper.Outcome {
	o := gatekeeper.Outcome{Status: policy.Failed, Load: Load(m, f.settings.InlineLoad)}
	switch {
	case m.Status == 200:
		o.Status = policy.OK
		o.Answer.Body = m.Body
		o.Units = Units(m, f.settings.Largest)
	case NeverRan(m):
		o.Status = policy.Full
	}
	return o
}

// NeverRan tells whether a worker proves that it has not run a request.
func NeverRan(m *http1.Message) bool {
	return (m.Status == 503 || m.Status == 504) && string(m.Get(headNever)) == "1"
}

// Units is what a worker says that a request really cost, 0 where it does not or
// where no request can cost that much.
func Units(m *http1.Message, largest float64) float64 {
	if largest <= 0 { // as in NewFront
		largest = math.MaxInt32
	}
	text, _ := m.Single(headUnits)
	v, ok := number(text, largest)
	if !ok {
		return 0
	}
	return v
}

// loadMost is past any load that a worker can have; what reports more is broken.
const loadMost = 1 << 20

// Load is the load report in an answer: the values named by fields, NaN for those
// that it does not tell or that can't be read. It guards against taking a worker for
// idle whose report is spoilt.
func Load(m *http1.Message, fields []string) []float32 {
	text, _ := m.Single(headLoad)
	report, ok := bytes.CutPrefix(text, []byte("TEXT "))
	if !ok || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	found := false
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		i := slices.Index(fields, string(name))
		if i < 0 {
			continue
		}
		v, ok := number(value, loadMost)
		if !ok || load[i] == load[i] { // unreadable, or told twice
			return nil
		}
		load[i], found = float32(v), true
	}
	if !found {
		return nil
	}
	return load
}
