package openapi

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/platform"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// Config is how an operator sets the front up.
type Config struct {
	// Description is a file, read again at SIGHUP.
	Description string `json:"description" hcl:"description"`
	// CustomerHead is the header that names the customer.
	CustomerHead string `json:"customer" hcl:"customer"`
	// Plans is the plan of each customer.
	Plans map[string]string `json:"plans" hcl:"plans,optional"`
	// DefaultPlan is that of other customers; they are refused if it is empty.
	DefaultPlan string `json:"default-plan" hcl:"default_plan,optional"`
	// DeadlineHead is the header with the milliseconds a client waits.
	DeadlineHead string `json:"deadline" hcl:"deadline,optional"`
}

// Core is what the front needs of the gatekeeper.
type Core interface {
	SetClasses(classes []policy.Class)
	Ready() bool
}

// Front serves the operations of a description.
type Front struct {
	config   Config
	plans    []string
	gateways int
	fields   []string
	largest  float64
	clock    *gatekeeper.Clock
	core     Core
	draining func() bool

	now    *Description
	places []int // class of the description -> place in the core's table
	table  []place
	keys   map[uint64]kept
	order  []expiry // of keys, by time
	head   []byte
}

// place is one line of the core's table of classes. Lines are kept until nothing
// that was taken under them can come back.
type place struct {
	class
	used  bool
	until float64 // when unused: not given to another class before
}

// kept is the terms that the first request with a key was taken under.
type kept struct {
	place int
	until float64
}

type expiry struct {
	key uint64
	at  float64
}

// NewFront makes a front from a description. The classes for the core's settings
// come from Classes.
func NewFront(c Config, d *Description, s policy.Settings, n settings.Names, clock *gatekeeper.Clock) (*Front, error) {
	if c.CustomerHead == "" {
		return nil, fmt.Errorf("openapi: no header names the customer")
	}
	f := &Front{config: c, plans: n.Plans, gateways: max(s.Gateways, 1), fields: s.InlineLoad, largest: s.Largest, clock: clock,
		keys: map[uint64]kept{}}
	for customer, plan := range c.Plans {
		if f.plan(plan) < 0 {
			return nil, fmt.Errorf("openapi: customer %q has plan %q, which the settings do not have", customer, plan)
		}
	}
	if c.DefaultPlan != "" && f.plan(c.DefaultPlan) < 0 {
		return nil, fmt.Errorf("openapi: the settings do not have plan %q", c.DefaultPlan)
	}
	f.adopt(d)
	return f, nil
}

// Attach names the core that requests go to; draining tells whether clients
// should go elsewhere.
func (f *Front) Attach(core Core, draining func() bool) { f.core, f.draining = core, draining }

// Classes is the core's table of classes.
func (f *Front) Classes() []policy.Class {
	classes := make([]policy.Class, len(f.table))
	for i := range f.table {
		classes[i] = f.table[i].terms
	}
	return classes
}

// Names is how the classes of that table are called, those too that are in force only for
// what was taken under them.
func (f *Front) Names() []string {
	names := make([]string, len(f.table))
	for i := range f.table {
		names[i] = f.table[i].name
	}
	return names
}

// Replace puts a new description in force. It has been parsed whole, so it takes
// effect whole.
func (f *Front) Replace(d *Description) {
	f.adopt(d)
	f.core.SetClasses(f.Classes())
}

// Rules lists the routes in force.
func (f *Front) Rules() []Rule { return f.now.Rules() }

// adopt gives each class of a description its place. A class whose terms change
// gets another place, so that what was taken before keeps its own.
func (f *Front) adopt(d *Description) {
	now := f.clock.Now()
	for i := range f.table {
		if p := &f.table[i]; p.used {
			p.used = false
			p.until = now + float64(p.terms.Deadline+p.terms.Window)/1000
		}
	}
	f.now, f.places = d, nil
	for _, c := range d.classes {
		f.places = append(f.places, f.placeFor(c, now))
	}
}

func (f *Front) placeFor(c class, now float64) int {
	free := -1
	for i := range f.table {
		p := &f.table[i]
		if p.class == c && !p.used {
			p.used = true
			return i
		}
		if !p.used && p.until < now && free < 0 {
			free = i
		}
	}
	if free < 0 {
		free = len(f.table)
		f.table = append(f.table, place{})
	}
	f.table[free] = place{class: c, used: true}
	return free
}

func (f *Front) plan(name string) int {
	for i, p := range f.plans {
		if p == name {
			return i
		}
	}
	return -1
}

// Handle implements link.Front.
func (f *Front) Handle(l *link.Client, m *http1.Message) {
	path, _, _ := strings.Cut(string(m.Target), "?")
	if path == platform.PathReady || path == platform.PathLive {
		platform.Health(l, m, f.core.Ready() && !f.draining())
		return
	}
	if m.Large { // operations' bodies are held whole
		l.Reject(413, "the body is too long\n")
		return
	}
	r, refusal := f.Request(m)
	if refusal != nil {
		l.Reply(refusal.Status, refusal.Head, refusal.Text+"\n")
		return
	}
	l.Submit(r)
}

// Refusal is an answer given without the core.
type Refusal struct {
	Status     int
	Head, Text string
}

// Request finds a request's operation and gives it its terms.
func (f *Front) Request(m *http1.Message) (*gatekeeper.Request, *Refusal) {
	path, _, _ := strings.Cut(string(m.Target), "?")
	op, allowed := f.now.find(string(m.Method), path)
	switch {
	case op == nil && allowed != nil:
		return nil, &Refusal{405, "Allow: " + strings.Join(allowed, ", ") + "\r\n", "the path has no such method"}
	case op == nil:
		return nil, &Refusal{404, "", "the description has no such path"}
	}
	for _, name := range [...]string{f.config.CustomerHead, f.config.DeadlineHead, keyHeader} {
		if name != "" && m.Count(name) > 1 { // it could mean one thing here and another at a worker
			return nil, &Refusal{400, "", name + " stands twice"}
		}
	}
	customer := string(m.Get(f.config.CustomerHead))
	if customer == "" {
		return nil, &Refusal{401, "", f.config.CustomerHead + " is missing"}
	}
	name, ok := f.config.Plans[customer]
	if !ok {
		name = f.config.DefaultPlan
	}
	plan := f.plan(name)
	if plan < 0 {
		return nil, &Refusal{403, "", "the customer has no plan"}
	}
	at := f.places[op.class]
	if f.table[at].terms.Repeat == policy.Keyed {
		key := m.Get(keyHeader)
		if len(key) == 0 {
			return nil, &Refusal{400, "", keyHeader + " is missing"}
		}
		at = f.keep(hash(customer, string(key)), at)
	}
	terms := f.table[at].terms
	left := float64(terms.Deadline) / 1000
	if v := m.Get(f.config.DeadlineHead); f.config.DeadlineHead != "" && v != nil {
		ms, err := strconv.ParseUint(string(v), 10, 31)
		if err != nil {
			return nil, &Refusal{400, "", f.config.DeadlineHead + " is not a number of milliseconds"}
		}
		left = min(left, float64(ms))
	}
	return &gatekeeper.Request{Class: at, Plan: plan, Customer: hash(customer), Left: left, Units: op.units,
		Spread: f.gateways, Payload: f.payload(m)}, nil
}

// keep is the place of a keyed request: that of the first with its key for as long
// as workers may still drop repeats of it. It guards against a replaced
// description that would let a repeat run again on terms the first did not have.
func (f *Front) keep(key uint64, at int) int {
	now := f.clock.Now()
	for len(f.order) > 0 && f.order[0].at <= now {
		if k := f.keys[f.order[0].key]; k.until <= now {
			delete(f.keys, f.order[0].key)
		}
		f.order = f.order[1:]
	}
	if k, ok := f.keys[key]; ok {
		return k.place
	}
	terms := f.table[at].terms
	until := now + float64(terms.Deadline+terms.Window)/1000
	f.keys[key] = kept{at, until}
	f.order = append(f.order, expiry{key, until})
	return at
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// hops are the header fields that end at the next connection, or that the links
// write themselves.
var hops = [...]string{"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
	"upgrade", "content-length", "expect"}

// endToEnd appends the header fields that pass a proxy.
func (f *Front) endToEnd(b []byte, m *http1.Message) []byte {
	m.Each(func(name, value []byte) {
		for _, h := range hops {
			if strings.EqualFold(string(name), h) {
				return
			}
		}
		if strings.EqualFold(string(name), f.Left()) {
			return
		}
		b = append(append(b, name...), ": "...)
		b = append(append(b, value...), "\r\n"...)
	})
	return b
}

func (f *Front) payload(m *http1.Message) *link.Payload {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", m.Method, m.Target)
	b = f.endToEnd(b, m)
	if len(m.Body) > 0 || string(m.Method) == "POST" || string(m.Method) == "PUT" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(m.Body))
	}
	return &link.Payload{Head: b, Body: bytes.Clone(m.Body)}
}

// Left implements link.Reader.
func (f *Front) Left() string {
	if f.config.DeadlineHead != "" {
		return f.config.DeadlineHead
	}
	return platform.HeadLeft
}

// Outcome implements link.Reader. Whatever a worker answers below 500 is its own
// word on the request and passes to the client.
func (f *Front) Outcome(m *http1.Message) gatekeeper.Outcome {
	o := gatekeeper.Outcome{Status: policy.Failed, Load: platform.Load(m, f.fields)}
	switch {
	case m.Status < 500:
		f.head = f.endToEnd(f.head[:0], m)
		o.Status, o.Units = policy.OK, platform.Units(m, f.largest)
		o.Answer = gatekeeper.Answer{Status: m.Status, Head: f.head, Body: m.Body}
	case platform.NeverRan(m):
		o.Status = policy.Full
	}
	return o
}
