// Package platform is the front for the platform's protocol: its headers, its
// outcomes and its host group.
package platform

import (
	"bytes"
	"fmt"
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
	return &Front{settings: s, names: n, ready: ready}
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
	case string(m.Method) != "GET":
		l.Reply(405, "Allow: GET\r\n", "only GET\n")
	case string(path) == PathReady && !ready:
		l.Reply(503, "", "not ready\n")
	default:
		l.Reply(200, "", "ok\n")
	}
}

// request reads a request's headers, and refuses what it is not sure of.
func (f *Front) request(m *http1.Message) (*gatekeeper.Request, error) {
	r := &gatekeeper.Request{}
	if r.Class = slices.Index(f.names.Classes, string(m.Get(headClass))); r.Class < 0 {
		return nil, fmt.Errorf("%s names no class", headClass)
	}
	if r.Plan = slices.Index(f.names.Plans, string(m.Get(headPlan))); r.Plan < 0 {
		return nil, fmt.Errorf("%s names no plan", headPlan)
	}
	key, err := strconv.ParseUint(string(m.Get(headKey)), 16, 64)
	if err != nil || len(m.Get(headKey)) != 16 {
		return nil, fmt.Errorf("%s is not 16 hex digits", headKey)
	}
	r.Customer = key
	left, err := strconv.ParseUint(string(m.Get(HeadLeft)), 10, 31)
	if err != nil {
		return nil, fmt.Errorf("%s is not a number of milliseconds", HeadLeft)
	}
	r.Left = float64(left)
	if len(m.Get(headTrace)) == 0 {
		return nil, fmt.Errorf("%s is missing", headTrace)
	}
	keyed, method := f.settings.Classes[r.Class].Repeat != policy.Safe, "GET"
	if keyed {
		method = "POST"
	}
	if string(m.Method) != method {
		return nil, fmt.Errorf("the class wants method %s", method)
	}
	if keyed && len(m.Get(headRepeat)) == 0 {
		return nil, fmt.Errorf("%s is missing", headRepeat)
	}
	if !keyed && len(m.Body) > 0 {
		return nil, fmt.Errorf("the class has no body")
	}
	if err := f.terms(r, m.Get(headTerms)); err != nil {
		return nil, err
	}
	r.Payload = payload(m)
	return r, nil
}

// terms reads the units and the customer's set of gatekeepers.
func (f *Front) terms(r *gatekeeper.Request, terms []byte) error {
	spread, first := -1.0, -1.0
	r.Units = -1
	for pair := range bytes.SplitSeq(terms, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(v >= 0 && v < 1<<20) {
			return fmt.Errorf("%s is malformed", headTerms)
		}
		switch string(name) {
		case "units":
			r.Units = v
		case "spread":
			spread = v
		case "first":
			first = v
		}
	}
	if r.Units < 0 || spread < 0 || first < 0 {
		return fmt.Errorf("%s lacks a term", headTerms)
	}
	r.Spread, r.First = int(spread), int(first)
	return nil
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
	if string(m.Method) != "GET" || len(m.Body) > 0 {
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
		o.Units = Units(m)
	case NeverRan(m):
		o.Status = policy.Full
	}
	return o
}

// NeverRan tells whether a worker proves that it has not run a request.
func NeverRan(m *http1.Message) bool {
	return (m.Status == 503 || m.Status == 504) && string(m.Get(headNever)) == "1"
}

// Units is what a worker says that a request really cost, 0 where it does not.
func Units(m *http1.Message) float64 {
	v, err := strconv.ParseFloat(string(m.Get(headUnits)), 64)
	if err != nil || !(v > 0 && v < 1<<20) {
		return 0
	}
	return v
}

// Load is the load report in an answer: the values named by fields.
func Load(m *http1.Message, fields []string) []float32 {
	report, ok := bytes.CutPrefix(m.Get(headLoad), []byte("TEXT "))
	if !ok || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	found := false
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		i := slices.Index(fields, string(name))
		if i < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(string(value), 32); err == nil {
			load[i], found = float32(v), true
		}
	}
	if !found {
		return nil
	}
	return load
}
