package openapi

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// Config is the configuration of the frontend.
type Config struct {
	// Description is the file with the OpenAPI description. It is read again at SIGHUP.
	Description string `json:"description" hcl:"description"`
	// CustomerHeader is the name of the header that identifies the customer.
	CustomerHeader string `json:"customer" hcl:"customer"`
	// Plans maps customers to names of plans.
	Plans map[string]string `json:"plans" hcl:"plans,optional"`
	// DefaultPlan is the plan of other customers, who are rejected if it is empty.
	DefaultPlan string `json:"default-plan" hcl:"default_plan,optional"`
	// DeadlineHeader is the name of the header that says how many milliseconds the client waits.
	DeadlineHeader string `json:"deadline" hcl:"deadline,optional"`
}

// Gatekeeper is the part of the gatekeeper that the frontend uses.
type Gatekeeper interface {
	SetClasses(classes []policy.Class)
	Ready() bool
}

// Frontend is the frontend that serves the operations of a description. Only the event loop may
// call its methods after Attach.
type Frontend struct {
	config     Config
	plans      []string
	gateways   int
	loadFields []string
	maxUnits   float64
	clock      *gatekeeper.Clock
	core       Gatekeeper
	draining   func() bool

	description  *Description
	classIndex   []int // by class of the description: index in table
	table        []tableEntry
	keys         map[uint64]keyEntry
	expiries     []expiry // of the entries in keys, ordered by time
	headerBuffer []byte
}

// tableEntry is an entry of the core's table of classes. An unused entry is kept until no request
// that was accepted under it can be repeated.
type tableEntry struct {
	class
	inUse         bool
	reservedUntil float64 // if not in use: time in ms from which another class may use it
}

// keyEntry is the class under which the first request with an idempotency key was accepted.
type keyEntry struct {
	classIndex int
	expires    float64
}

// expiry is the time in ms at which an idempotency key expires.
type expiry struct {
	key uint64
	at  float64
}

// NewFrontend returns a frontend for a description. Use Classes for the settings of the core.
func NewFrontend(config Config, description *Description, policySettings policy.Settings, names settings.Names, clock *gatekeeper.Clock) (*Frontend, error) {
	if config.CustomerHeader == "" {
		return nil, fmt.Errorf("openapi: expected the name of the header that identifies the customer, got none")
	}
	f := &Frontend{config: config, plans: names.Plans, gateways: max(policySettings.GatewayCount, 1), loadFields: policySettings.LoadReportFields, maxUnits: policySettings.MaxUnits, clock: clock,
		keys: map[uint64]keyEntry{}}
	for customer, plan := range config.Plans {
		if f.planIndex(plan) < 0 {
			return nil, fmt.Errorf("openapi: customer %q has plan %q, which the settings do not have", customer, plan)
		}
	}
	if config.DefaultPlan != "" && f.planIndex(config.DefaultPlan) < 0 {
		return nil, fmt.Errorf("openapi: the settings do not have plan %q", config.DefaultPlan)
	}
	f.assignClasses(description)
	return f, nil
}

// Attach sets the core that requests are passed to. draining reports whether clients should use
// another gatekeeper; the health check fails then.
func (f *Frontend) Attach(core Gatekeeper, draining func() bool) { f.core, f.draining = core, draining }

// Classes returns the table of classes for the core.
func (f *Frontend) Classes() []policy.Class {
	classes := make([]policy.Class, len(f.table))
	for i := range f.table {
		classes[i] = f.table[i].terms
	}
	return classes
}

// ClassNames returns the names of the classes in that table, including classes that only apply to
// requests accepted earlier.
func (f *Frontend) ClassNames() []string {
	names := make([]string, len(f.table))
	for i := range f.table {
		names[i] = f.table[i].name
	}
	return names
}

// Replace applies a new description.
func (f *Frontend) Replace(d *Description) {
	f.assignClasses(d)
	f.core.SetClasses(f.Classes())
}

// Routes lists the active routes.
func (f *Frontend) Routes() []Route { return f.description.Routes() }

// assignClasses assigns each class of a description an entry in the table. A class whose terms
// have changed gets another entry, so that requests accepted earlier keep their terms.
func (f *Frontend) assignClasses(description *Description) {
	now := f.clock.Now()
	for i := range f.table {
		if entry := &f.table[i]; entry.inUse {
			entry.inUse = false
			entry.reservedUntil = now + float64(entry.terms.Deadline+entry.terms.RepeatWindow)/1000
		}
	}
	f.description, f.classIndex = description, nil
	for _, c := range description.classes {
		f.classIndex = append(f.classIndex, f.entryFor(c, now))
	}
}

// entryFor returns the index of the entry for a class: the one with the same terms, or else a free
// or new one.
func (f *Frontend) entryFor(c class, now float64) int {
	free := -1
	for i := range f.table {
		entry := &f.table[i]
		if entry.class == c && !entry.inUse {
			entry.inUse = true
			return i
		}
		if !entry.inUse && entry.reservedUntil < now && free < 0 {
			free = i
		}
	}
	if free < 0 {
		free = len(f.table)
		f.table = append(f.table, tableEntry{})
	}
	f.table[free] = tableEntry{class: c, inUse: true}
	return free
}

// planIndex returns the index of a plan, or -1.
func (f *Frontend) planIndex(name string) int {
	for i, p := range f.plans {
		if p == name {
			return i
		}
	}
	return -1
}

// Handle implements link.RequestHandler.
func (f *Frontend) Handle(client *link.ClientConn, message *http1.Message) {
	path, _, _ := strings.Cut(string(message.Target), "?")
	if path == platform.PathReady || path == platform.PathLive {
		platform.AnswerHealth(client, message, f.core.Ready() && !f.draining())
		return
	}
	if message.Streamed { // bodies of operations are buffered as a whole
		client.RespondTextAndClose(413, "the body is too long\n")
		return
	}
	request, refusal := f.Request(message)
	if refusal != nil {
		client.RespondText(refusal.Status, refusal.Headers, refusal.Body+"\n")
		return
	}
	client.Submit(request)
}

// Refusal is a response that the frontend gives without the core.
type Refusal struct {
	Status        int
	Headers, Body string
}

// Request finds the operation of a message and returns a request with its terms, or a refusal.
func (f *Frontend) Request(message *http1.Message) (*gatekeeper.Request, *Refusal) {
	path, _, _ := strings.Cut(string(message.Target), "?")
	operation, allowed := f.description.find(string(message.Method), path)
	switch {
	case operation == nil && allowed != nil:
		return nil, &Refusal{405, "Allow: " + strings.Join(allowed, ", ") + "\r\n", "the path has no such method"}
	case operation == nil:
		return nil, &Refusal{404, "", "the description has no such path"}
	}
	for _, name := range [...]string{f.config.CustomerHeader, f.config.DeadlineHeader, keyHeader} {
		if name != "" && message.Count(name) > 1 { // gatekeeper and worker could use different ones
			return nil, &Refusal{400, "", name + " stands twice"}
		}
	}
	customer := string(message.Get(f.config.CustomerHeader))
	if customer == "" {
		return nil, &Refusal{401, "", f.config.CustomerHeader + " is missing"}
	}
	name, ok := f.config.Plans[customer]
	if !ok {
		name = f.config.DefaultPlan
	}
	plan := f.planIndex(name)
	if plan < 0 {
		return nil, &Refusal{403, "", "the customer has no plan"}
	}
	classIndex := f.classIndex[operation.class]
	if f.table[classIndex].terms.Repeat == policy.RepeatKeyed {
		key := message.Get(keyHeader)
		if len(key) == 0 {
			return nil, &Refusal{400, "", keyHeader + " is missing"}
		}
		classIndex = f.classForKey(hash(customer, string(key)), classIndex)
	}
	terms := f.table[classIndex].terms
	timeoutMS := float64(terms.Deadline) / 1000
	if value := message.Get(f.config.DeadlineHeader); f.config.DeadlineHeader != "" && value != nil {
		ms, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil {
			return nil, &Refusal{400, "", f.config.DeadlineHeader + " is not a number of milliseconds"}
		}
		timeoutMS = min(timeoutMS, float64(ms))
	}
	return &gatekeeper.Request{Class: classIndex, Plan: plan, Customer: hash(customer), TimeLeft: timeoutMS, EstimatedUnits: operation.units,
		GatekeeperCount: f.gateways, Payload: f.payload(message)}, nil
}

// classForKey returns the class index of a request with an idempotency key: that of the first
// request with this key, for as long as workers may still deduplicate it. Otherwise a request
// repeated after a change of the description could run again under other terms.
func (f *Frontend) classForKey(key uint64, index int) int {
	now := f.clock.Now()
	for len(f.expiries) > 0 && f.expiries[0].at <= now {
		if entry := f.keys[f.expiries[0].key]; entry.expires <= now {
			delete(f.keys, f.expiries[0].key)
		}
		f.expiries = f.expiries[1:]
	}
	if entry, ok := f.keys[key]; ok {
		return entry.classIndex
	}
	terms := f.table[index].terms
	until := now + float64(terms.Deadline+terms.RepeatWindow)/1000
	f.keys[key] = keyEntry{index, until}
	f.expiries = append(f.expiries, expiry{key, until})
	return index
}

// hash returns a 64-bit FNV-1a hash of the parts.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// hopByHopHeaders are the header fields that are not passed on: they apply to one connection
// only, or the connections write them.
var hopByHopHeaders = [...]string{"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
	"upgrade", "content-length", "expect"}

// appendEndToEnd appends the header fields that a proxy passes on.
func (f *Frontend) appendEndToEnd(b []byte, message *http1.Message) []byte {
	message.EachField(func(name, value []byte) {
		for _, h := range hopByHopHeaders {
			if strings.EqualFold(string(name), h) {
				return
			}
		}
		if strings.EqualFold(string(name), f.TimeLeftHeader()) {
			return
		}
		b = append(append(b, name...), ": "...)
		b = append(append(b, value...), "\r\n"...)
	})
	return b
}

// payload returns the message to send to a worker.
func (f *Frontend) payload(message *http1.Message) *link.Payload {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", message.Method, message.Target)
	b = f.appendEndToEnd(b, message)
	if len(message.Body) > 0 || string(message.Method) == "POST" || string(message.Method) == "PUT" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(message.Body))
	}
	return &link.Payload{Head: b, Body: bytes.Clone(message.Body)}
}

// TimeLeftHeader implements link.ResponseReader: it returns the header for the time left to the deadline.
func (f *Frontend) TimeLeftHeader() string {
	if f.config.DeadlineHeader != "" {
		return f.config.DeadlineHeader
	}
	return platform.HeaderTimeLeft
}

// Outcome implements link.ResponseReader. Responses with a status below 500 are passed to the client.
func (f *Frontend) Outcome(message *http1.Message) gatekeeper.Outcome {
	outcome := gatekeeper.Outcome{Status: policy.Failed, Load: platform.ReportedLoad(message, f.loadFields)}
	switch {
	case message.Status < 500:
		f.headerBuffer = f.appendEndToEnd(f.headerBuffer[:0], message)
		outcome.Status, outcome.Units = policy.OK, platform.ReportedUnits(message, f.maxUnits)
		outcome.Answer = gatekeeper.Answer{Status: message.Status, HeaderLines: f.headerBuffer, Body: message.Body}
	case platform.NeverRan(message):
		outcome.Status = policy.Full
	}
	return outcome
}
