// Package platform implements the platform's protocol at a gatekeeper: the headers of requests, the
// outcomes in workers' answers, and the host group that discovery lists.
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

// Paths and header names of the platform's protocol.
const (
	pathAPI   = "/api"
	PathReady = "/health/ready" // readiness: 200 once the gatekeeper accepts clients
	PathLive  = "/health/live"  // liveness: 200 while the event loop runs

	headerTrace          = "X-Trace-Id"
	headerClass          = "X-Qos"
	headerPlan           = "X-Tier"
	headerAPIKey         = "X-Api-Key"
	HeadLeft             = "X-Expires-In-Ms" // how long the client waits for the answer, in milliseconds
	headerIdempotencyKey = "Idempotency-Key"
	headerCallTerms      = "X-Call-Terms"
	headerSecondTry      = "X-Second-Try"
	headerNeverRan       = "X-Never-Ran"
	headerCostUnits      = "X-Cost-Units"
	headerLoadMetrics    = "Endpoint-Load-Metrics"
)

// Front implements the platform's protocol with clients (link.Front) and workers (link.Reader).
type Front struct {
	settings policy.Settings
	names    settings.Names
	ready    func() bool
}

// NewFront returns a front. The function ready reports whether the gatekeeper accepts clients.
func NewFront(policySettings policy.Settings, names settings.Names, ready func() bool) *Front {
	if policySettings.Largest <= 0 { // the setting is optional
		policySettings.Largest = math.MaxInt32
	}
	return &Front{settings: policySettings, names: names, ready: ready}
}

// Replace replaces the table of classes, whose order must be that of the core's. Requests that were
// parsed before keep their terms.
func (f *Front) Replace(classes []policy.Class, names []string) {
	f.settings.Classes, f.names.Classes = classes, names
}

// Handle implements link.Front.
func (f *Front) Handle(client *link.Client, message *http1.Message) {
	path, _, _ := bytes.Cut(message.Target, []byte{'?'})
	switch string(path) {
	case pathAPI:
		request, err := f.parseRequest(message)
		if err != nil {
			client.Reject(400, err.Error()+"\n")
			return
		}
		client.Submit(request)
	case PathReady, PathLive:
		Health(client, message, f.ready())
	default:
		client.Reply(404, "", "no such path\n")
	}
}

// Health answers a request for PathReady or PathLive.
func Health(client *link.Client, message *http1.Message, ready bool) {
	path, _, _ := bytes.Cut(message.Target, []byte{'?'})
	switch {
	case string(message.Method) != "GET" && string(message.Method) != "HEAD":
		client.Reply(405, "Allow: GET, HEAD\r\n", "only GET\n")
	case string(path) == PathReady && !ready:
		client.Reply(503, "", "not ready\n")
	default:
		client.Reply(200, "", "ok\n")
	}
}

// singleHeaders are the headers that may occur only once: of a repeated one, the gatekeeper and the worker
// could use different values.
var singleHeaders = [...]string{headerTrace, headerClass, headerPlan, headerAPIKey, HeadLeft, headerIdempotencyKey, headerCallTerms, headerSecondTry}

// customerKeyLimit is greater than any customer's key.
const customerKeyLimit = 1 << 33

// parseRequest parses the headers of a request. It rejects a request that is ambiguous.
func (f *Front) parseRequest(message *http1.Message) (*gatekeeper.Request, error) {
	for _, name := range singleHeaders {
		if message.Count(name) > 1 {
			return nil, fmt.Errorf("%s stands twice", name)
		}
	}
	request := &gatekeeper.Request{Name: string(message.Get(headerTrace))}
	if request.Name == "" {
		return nil, fmt.Errorf("%s is missing", headerTrace)
	}
	name := string(message.Get(headerClass))
	if request.Class = slices.Index(f.names.Classes, name); request.Class < 0 || name == "" {
		return nil, fmt.Errorf("%s names no class", headerClass)
	}
	if request.Plan = slices.Index(f.names.Plans, string(message.Get(headerPlan))); request.Plan < 0 {
		return nil, fmt.Errorf("%s names no plan", headerPlan)
	}
	key, err := strconv.ParseUint(string(message.Get(headerAPIKey)), 16, 64)
	if err != nil || len(message.Get(headerAPIKey)) != 16 || key >= customerKeyLimit {
		return nil, fmt.Errorf("%s is not a customer's key in 16 hex digits", headerAPIKey)
	}
	request.Customer = key
	timeLeft, err := strconv.ParseUint(string(message.Get(HeadLeft)), 10, 31)
	if err != nil || timeLeft == 0 {
		return nil, fmt.Errorf("%s is not a number of milliseconds", HeadLeft)
	}
	class := f.settings.Classes[request.Class]
	request.Left = min(float64(timeLeft), float64(class.Deadline)/1000)
	switch isGet := string(message.Method) == "GET"; {
	case !isGet && string(message.Method) != "POST":
		return nil, fmt.Errorf("neither GET nor POST")
	case isGet && class.Repeat == policy.Keyed:
		return nil, fmt.Errorf("the class wants method POST")
	case !isGet && class.Repeat == policy.Safe:
		return nil, fmt.Errorf("the class wants method GET")
	}
	if class.Repeat == policy.Keyed && len(message.Get(headerIdempotencyKey)) == 0 {
		return nil, fmt.Errorf("%s is missing", headerIdempotencyKey)
	}
	if string(message.Method) == "GET" && (len(message.Body) > 0 || message.Large) {
		return nil, fmt.Errorf("GET has no body")
	}
	if err := f.parseTerms(request, message.Get(headerCallTerms)); err != nil {
		return nil, err
	}
	request.Again = string(message.Get(headerSecondTry)) == "1"
	request.Payload = workerPayload(message)
	return request, nil
}

// parseTerms parses the units of a request and the customer's set of gatekeepers. Each term must occur exactly
// once, within the limits of the settings: a request of a thousand units would use up the quota of the
// customer that it names.
func (f *Front) parseTerms(request *gatekeeper.Request, terms []byte) error {
	seen := map[string]bool{}
	for pair := range bytes.SplitSeq(terms, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		if seen[string(name)] {
			return fmt.Errorf("%s states %s twice", headerCallTerms, name)
		}
		seen[string(name)] = true
		ok := true
		switch string(name) {
		case "units":
			request.Units, ok = parseDecimal(value, f.settings.Largest)
			ok = ok && request.Units > 0
		case "spread":
			request.Spread, ok = parseInteger(value, f.settings.Gateways)
			ok = ok && request.Spread > 0
		case "first":
			_, ok = parseInteger(value, f.settings.Gateways-1)
		}
		if !ok {
			return fmt.Errorf("%s states no possible %s", headerCallTerms, name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return fmt.Errorf("%s lacks a term", headerCallTerms)
	}
	return nil
}

// parseDecimal parses a decimal number from 0 to maximum. It accepts digits and a point only: no NaN, infinity,
// exponent or hexadecimal number.
func parseDecimal(text []byte, maximum float64) (float64, bool) {
	if len(text) == 0 || text[0] < '0' || text[0] > '9' {
		return 0, false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && v <= maximum
}

// parseInteger parses an integer from 0 to maximum.
func parseInteger(text []byte, maximum int) (int, bool) {
	v, err := strconv.ParseUint(string(text), 10, 31)
	return int(v), err == nil && int(v) <= maximum
}

// workerPayload returns the head and the body that are sent to a worker for a request.
func workerPayload(message *http1.Message) *link.Payload {
	buffer := make([]byte, 0, 256+len(message.Target)+len(message.Body))
	buffer = append(append(buffer, message.Method...), ' ')
	buffer = append(append(buffer, message.Target...), " HTTP/1.1\r\n"...)
	for _, name := range [...]string{"Host", headerTrace, headerIdempotencyKey, "Content-Type"} {
		if v := message.Get(name); v != nil {
			buffer = append(append(buffer, name...), ": "...)
			buffer = append(append(buffer, v...), "\r\n"...)
		}
	}
	switch {
	case message.Large && message.Length < 0:
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	case message.Large:
		buffer = append(buffer, "Content-Length: "...)
		buffer = append(strconv.AppendInt(buffer, int64(message.Length), 10), "\r\n"...)
	case string(message.Method) != "GET" || len(message.Body) > 0:
		buffer = append(buffer, "Content-Length: "...)
		buffer = append(strconv.AppendInt(buffer, int64(len(message.Body)), 10), "\r\n"...)
	}
	headLength := len(buffer)
	buffer = append(buffer, message.Body...)
	return &link.Payload{Head: buffer[:headLength], Body: buffer[headLength:]}
}

// Left implements link.Reader: it names the header with the time that is left for a request.
func (f *Front) Left() string { return HeadLeft }

// Outcome implements link.Reader: it parses a worker's answer. Only the header X-Never-Ran proves that a
// request was not executed.
func (f *Front) Outcome(message *http1.Message) gatekeeper.Outcome {
	outcome := gatekeeper.Outcome{Status: policy.Failed, Load: Load(message, f.settings.InlineLoad)}
	switch {
	case message.Status == 200:
		outcome.Status = policy.OK
		outcome.Answer.Body = message.Body
		outcome.Units = Units(message, f.settings.Largest)
	case NeverRan(message):
		outcome.Status = policy.Full
	}
	return outcome
}

// NeverRan reports whether an answer proves that the worker has not executed the request.
func NeverRan(message *http1.Message) bool {
	return (message.Status == 503 || message.Status == 504) && string(message.Get(headerNeverRan)) == "1"
}

// Units returns the actual cost of a request that a worker reports, or 0 if it reports none or more than
// largest, the most that a request can cost.
func Units(message *http1.Message, largest float64) float64 {
	if largest <= 0 { // as in NewFront
		largest = math.MaxInt32
	}
	text, _ := message.Single(headerCostUnits)
	v, ok := parseDecimal(text, largest)
	if !ok {
		return 0
	}
	return v
}

// maxLoad is greater than any load that a worker can have. A report above it is invalid.
const maxLoad = 1 << 20

// Load returns the values of the load report in an answer, in the order of fields, with NaN for fields that
// the report does not have. It returns nil if the report has none of the fields or is invalid, so that a worker
// with a damaged report does not count as idle.
func Load(message *http1.Message, fields []string) []float32 {
	text, _ := message.Single(headerLoadMetrics)
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
		v, ok := parseDecimal(value, maxLoad)
		if !ok || load[i] == load[i] { // invalid, or a repeated field
			return nil
		}
		load[i], found = float32(v), true
	}
	if !found {
		return nil
	}
	return load
}
