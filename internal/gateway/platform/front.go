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
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/settings"
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
	HeaderTimeLeft       = "X-Expires-In-Ms" // how long the client waits for the answer, in milliseconds
	headerIdempotencyKey = "Idempotency-Key"
	headerCallTerms      = "X-Call-Terms"
	headerSecondTry      = "X-Second-Try"
	headerNeverRan       = "X-Never-Ran"
	headerCostUnits      = "X-Cost-Units"
	headerLoadMetrics    = "Endpoint-Load-Metrics"
)

// Protocol implements the platform's protocol with clients (link.RequestHandler) and workers (link.ResponseReader).
type Protocol struct {
	settings policy.Settings
	names    settings.Names
	ready    func() bool
}

// NewProtocol returns the protocol's implementation. The function ready reports whether the gatekeeper accepts clients.
func NewProtocol(policySettings policy.Settings, names settings.Names, ready func() bool) *Protocol {
	if policySettings.MaxUnits <= 0 { // the setting is optional
		policySettings.MaxUnits = math.MaxInt32
	}
	return &Protocol{settings: policySettings, names: names, ready: ready}
}

// ReplaceClasses replaces the table of classes, whose order must be that of the core's. Requests that were
// parsed before keep their terms.
func (f *Protocol) ReplaceClasses(classes []policy.Class, names []string) {
	f.settings.Classes, f.names.Classes = classes, names
}

// Handle implements link.RequestHandler.
func (f *Protocol) Handle(client *link.ClientConn, message *http1.Message) {
	path, _, _ := bytes.Cut(message.Target, []byte{'?'})
	switch string(path) {
	case pathAPI:
		request, err := f.parseRequest(message)
		if err != nil {
			client.RespondTextAndClose(400, err.Error()+"\n")
			return
		}
		client.Submit(request)
	case PathReady, PathLive:
		AnswerHealth(client, message, f.ready())
	default:
		client.RespondText(404, "", "no such path\n")
	}
}

// AnswerHealth answers a request for PathReady or PathLive.
func AnswerHealth(client *link.ClientConn, message *http1.Message, ready bool) {
	path, _, _ := bytes.Cut(message.Target, []byte{'?'})
	switch {
	case string(message.Method) != "GET" && string(message.Method) != "HEAD":
		client.RespondText(405, "Allow: GET, HEAD\r\n", "only GET\n")
	case string(path) == PathReady && !ready:
		client.RespondText(503, "", "not ready\n")
	default:
		client.RespondText(200, "", "ok\n")
	}
}

// singleHeaders are the headers that may occur only once: of a repeated one, the gatekeeper and the worker
// could use different values.
var singleHeaders = [...]string{headerTrace, headerClass, headerPlan, headerAPIKey, HeaderTimeLeft, headerIdempotencyKey, headerCallTerms, headerSecondTry}

// customerKeyLimit is greater than any customer's key.
const customerKeyLimit = 1 << 33

// parseRequest parses the headers of a request. It rejects a request that is ambiguous.
func (f *Protocol) parseRequest(message *http1.Message) (*gatekeeper.Request, error) {
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
	timeLeft, err := strconv.ParseUint(string(message.Get(HeaderTimeLeft)), 10, 31)
	if err != nil || timeLeft == 0 {
		return nil, fmt.Errorf("%s is not a number of milliseconds", HeaderTimeLeft)
	}
	class := f.settings.Classes[request.Class]
	request.TimeLeft = min(float64(timeLeft), float64(class.Deadline)/1000)
	switch isGet := string(message.Method) == "GET"; {
	case !isGet && string(message.Method) != "POST":
		return nil, fmt.Errorf("neither GET nor POST")
	case isGet && class.Repeat == policy.RepeatKeyed:
		return nil, fmt.Errorf("the class wants method POST")
	case !isGet && class.Repeat == policy.RepeatSafe:
		return nil, fmt.Errorf("the class wants method GET")
	}
	if class.Repeat == policy.RepeatKeyed && len(message.Get(headerIdempotencyKey)) == 0 {
		return nil, fmt.Errorf("%s is missing", headerIdempotencyKey)
	}
	if string(message.Method) == "GET" && (len(message.Body) > 0 || message.Streamed) {
		return nil, fmt.Errorf("GET has no body")
	}
	if err := f.parseTerms(request, message.Get(headerCallTerms)); err != nil {
		return nil, err
	}
	request.IsRetry = string(message.Get(headerSecondTry)) == "1"
	request.Payload = workerPayload(message)
	return request, nil
}

// parseTerms parses the units of a request and the customer's set of gatekeepers. Each term must occur exactly
// once, within the limits of the settings: a request of a thousand units would use up the quota of the
// customer that it names.
func (f *Protocol) parseTerms(request *gatekeeper.Request, terms []byte) error {
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
			request.EstimatedUnits, ok = parseDecimal(value, f.settings.MaxUnits)
			ok = ok && request.EstimatedUnits > 0
		case "spread":
			request.GatekeeperCount, ok = parseInteger(value, f.settings.GatewayCount)
			ok = ok && request.GatekeeperCount > 0
		case "first":
			_, ok = parseInteger(value, f.settings.GatewayCount-1)
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
	case message.Streamed && message.Length < 0:
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	case message.Streamed:
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

// TimeLeftHeader implements link.ResponseReader: it names the header with the time that is left for a request.
func (f *Protocol) TimeLeftHeader() string { return HeaderTimeLeft }

// Outcome implements link.ResponseReader: it parses a worker's answer. Only the header X-Never-Ran proves that a
// request was not executed.
func (f *Protocol) Outcome(message *http1.Message) gatekeeper.Outcome {
	outcome := gatekeeper.Outcome{Status: policy.Failed, Load: ReportedLoad(message, f.settings.LoadReportFields)}
	switch {
	case message.Status == 200:
		outcome.Status = policy.OK
		outcome.Answer.Body = message.Body
		outcome.Units = ReportedUnits(message, f.settings.MaxUnits)
	case NeverRan(message):
		outcome.Status = policy.Full
	}
	return outcome
}

// NeverRan reports whether an answer proves that the worker has not executed the request.
func NeverRan(message *http1.Message) bool {
	return (message.Status == 503 || message.Status == 504) && string(message.Get(headerNeverRan)) == "1"
}

// ReportedUnits returns the actual cost of a request that a worker reports, or 0 if it reports none or more than
// largest, the most that a request can cost.
func ReportedUnits(message *http1.Message, largest float64) float64 {
	if largest <= 0 { // as in NewProtocol
		largest = math.MaxInt32
	}
	text, _ := message.Unique(headerCostUnits)
	v, ok := parseDecimal(text, largest)
	if !ok {
		return 0
	}
	return v
}

// maxLoad is greater than any load that a worker can have. A report above it is invalid.
const maxLoad = 1 << 20

// ReportedLoad returns the values of the load report in an answer, in the order of fields, with NaN for fields that
// the report does not have. It returns nil if the report has none of the fields or is invalid, so that a worker
// with a damaged report does not count as idle.
func ReportedLoad(message *http1.Message, fields []string) []float32 {
	text, _ := message.Unique(headerLoadMetrics)
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
