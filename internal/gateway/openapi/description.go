// Package openapi derives routes, request classes, estimated units and retry classes from an
// OpenAPI description, in place of settings written by hand, and serves requests by them.
package openapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"foxwood/policy"
)

// Extension is the key of the OpenAPI extension with the OperationTerms of an operation. A document may
// have one too, with defaults for all its operations. Units and class have no default.
const Extension = "x-foxwood"

// OperationTerms is the value of Extension.
type OperationTerms struct {
	Units      float64 `json:"units"`       // what a request draws from its customer's quota; required
	Class      string  `json:"class"`       // class name, which operations may share; the operationId if absent
	Worth      float64 `json:"worth"`       // priority of a request; 1 if absent
	LateWorth  float64 `json:"late-worth"`  // the fraction of it that a response later than AimMS is worth
	AimMS      float64 `json:"aim-ms"`      // target response time
	DeadlineMS float64 `json:"deadline-ms"` // how long a client waits at most
	Repeat     string  `json:"repeat"`      // retry class: safe, keyed or unsafe; depends on the method if absent
	WindowMS   float64 `json:"window-ms"`   // keyed: how long workers deduplicate by the idempotency key
	Group      string  `json:"group"`       // keyed: which workers share these keys: all, zone or cell
}

// class is a named request class.
type class struct {
	name  string
	terms policy.Class
}

// route is the path and method of an operation.
type route struct {
	method   string
	segments []string // "" matches any one segment
	class    int      // index in Description.classes
	units    float64
}

// Description is a validated OpenAPI description.
type Description struct {
	classes []class
	routes  []route // those with the fewest parameters first
}

// keyHeader is the header with the key by which workers deduplicate a request.
const keyHeader = "Idempotency-Key"

// Parse reads a description. If an operation has no units or invalid terms, the whole description
// is rejected: guessed units would be charged to quotas.
func Parse(text []byte) (*Description, error) {
	loader := openapi3.NewLoader()
	doc, err := loader.LoadFromData(text)
	if err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	if err := doc.Validate(context.Background()); err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	defaults := OperationTerms{Worth: 1, Group: "all"}
	if err := decodeExtension(doc.Extensions, &defaults); err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	if defaults.Units != 0 || defaults.Class != "" {
		return nil, fmt.Errorf("description: %s of the document has units or a class; only operations may have them", Extension)
	}
	base, err := basePath(doc)
	if err != nil {
		return nil, err
	}
	description := &Description{}
	var faults []error
	for _, path := range doc.Paths.InMatchingOrder() {
		operations := doc.Paths.Value(path).Operations()
		methods := make([]string, 0, len(operations))
		for method := range operations {
			methods = append(methods, method)
		}
		slices.Sort(methods)
		for _, method := range methods {
			if err := description.addOperation(method, base+path, operations[method], defaults); err != nil {
				faults = append(faults, &OperationError{Line: operationLine(text, method, path), err: fmt.Errorf("%s %s: %w", method, path, err)})
			}
		}
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("description rejected: %w", err)
	}
	if len(description.routes) == 0 {
		return nil, errors.New("description rejected: expected at least one operation, got none")
	}
	return description, nil
}

// OperationCount returns the number of operations.
func (d *Description) OperationCount() int { return len(d.routes) }

// decodeExtension decodes the extension into terms. Fields that it doesn't have keep their
// values.
func decodeExtension(extensions map[string]any, terms *OperationTerms) error {
	value, ok := extensions[Extension]
	if !ok {
		return nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("%s: %w", Extension, err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields() // a misspelt field would otherwise be ignored
	if err := decoder.Decode(terms); err != nil {
		return fmt.Errorf("%s: %w", Extension, err)
	}
	return nil
}

// basePath returns the path of the first server, which precedes every route.
func basePath(doc *openapi3.T) (string, error) {
	if len(doc.Servers) == 0 {
		return "", nil
	}
	u, err := url.Parse(doc.Servers[0].URL)
	if err != nil {
		return "", fmt.Errorf("description: server: %w", err)
	}
	return strings.TrimRight(u.Path, "/"), nil
}

// addOperation validates an operation and adds its route and class.
func (d *Description) addOperation(method, path string, operation *openapi3.Operation, terms OperationTerms) error {
	terms.Class = operation.OperationID
	if err := decodeExtension(operation.Extensions, &terms); err != nil {
		return err
	}
	if !(terms.Units > 0) {
		return fmt.Errorf("operation %q states no cost: %s.units must be above 0", operation.OperationID, Extension)
	}
	if method == "HEAD" || method == "CONNECT" || method == "TRACE" {
		return fmt.Errorf("operation %q: method %s is not supported", operation.OperationID, method)
	}
	if terms.Class == "" {
		terms.Class = method + " " + path
	}
	policyClass, err := terms.policyClass(method, operation)
	if err != nil {
		return fmt.Errorf("operation %q: %w", operation.OperationID, err)
	}
	index := slices.IndexFunc(d.classes, func(x class) bool { return x.name == terms.Class })
	if index < 0 {
		index = len(d.classes)
		d.classes = append(d.classes, class{terms.Class, policyClass})
	} else if d.classes[index].terms != policyClass {
		return fmt.Errorf("operation %q: class %q has other terms elsewhere, expected the same for all its operations", operation.OperationID, terms.Class)
	}
	added := route{method: method, class: index, units: terms.Units}
	for _, segment := range pathSegments(path) {
		if strings.Contains(segment, "{") {
			if segment[0] != '{' || strings.IndexByte(segment, '}') != len(segment)-1 {
				return fmt.Errorf("operation %q: a parameter must fill its path segment", operation.OperationID)
			}
			segment = ""
		}
		added.segments = append(added.segments, segment)
	}
	d.routes = append(d.routes, added)
	return nil
}

// policyClass validates the terms and converts them to a class of the decision module.
func (t OperationTerms) policyClass(method string, operation *openapi3.Operation) (policy.Class, error) {
	micros := func(ms float64) policy.Micros { return policy.Micros(ms * 1000) }
	result := policy.Class{LatencyTarget: micros(t.AimMS), Deadline: micros(t.DeadlineMS), RepeatWindow: micros(t.WindowMS),
		Value: t.Worth, LateValue: t.LateWorth}
	if result.LatencyTarget <= 0 || result.Deadline < result.LatencyTarget {
		return result, errors.New("aim-ms must be above 0 and deadline-ms not below it")
	}
	if !(t.Worth > 0) || !(t.LateWorth >= 0 && t.LateWorth <= 1) {
		return result, errors.New("worth must be above 0 and late-worth from 0 to 1")
	}
	repeat := t.Repeat
	if repeat == "" {
		repeat = defaultRepeat(method, operation)
	}
	switch repeat {
	case "safe":
		result.Repeat = policy.RepeatSafe
	case "unsafe":
		result.Repeat = policy.RepeatUnsafe
	case "keyed":
		result.Repeat = policy.RepeatKeyed
		if result.RepeatWindow <= 0 {
			return result, errors.New("keyed without window-ms: how long repeats are dropped must be stated")
		}
	default:
		return result, fmt.Errorf("repeat %q is not safe, keyed or unsafe", repeat)
	}
	switch t.Group {
	case "all":
		result.Dedup = policy.DedupFleet
	case "zone":
		result.Dedup = policy.DedupZone
	case "cell":
		result.Dedup = policy.DedupCell
	default:
		return result, fmt.Errorf("group %q is not all, zone or cell", t.Group)
	}
	return result, nil
}

// defaultRepeat returns the retry class of an operation without one: safe for idempotent HTTP
// methods, keyed for others that require an idempotency key, and unsafe for the rest.
func defaultRepeat(method string, operation *openapi3.Operation) string {
	switch method {
	case "GET", "PUT", "DELETE", "OPTIONS":
		return "safe"
	}
	if p := operation.Parameters.GetByInAndName("header", keyHeader); p != nil && p.Required {
		return "keyed"
	}
	return "unsafe"
}

func pathSegments(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }

// find returns the route of a request, or nil. If the path only has other methods, allowed lists
// those.
func (d *Description) find(method, path string) (r *route, allowed []string) {
	for i := range d.routes {
		if !d.routes[i].matches(path) {
			continue
		}
		if d.routes[i].method == method {
			return &d.routes[i], nil
		}
		allowed = append(allowed, d.routes[i].method)
	}
	return nil, allowed
}

// matches reports whether a path matches the segments of the route.
func (r *route) matches(path string) bool {
	path = strings.Trim(path, "/")
	for i, want := range r.segments {
		got, rest, more := strings.Cut(path, "/")
		if got == "" && want == "" || want != "" && want != got || more != (i < len(r.segments)-1) {
			return false
		}
		path = rest
	}
	return true
}

// Route is a route with its class, for proxies that are configured over xDS.
type Route struct {
	Method   string
	Segments []string // of the path; an empty one is a parameter
	Class    policy.Class
}

// Routes lists the routes, those with the fewest parameters first.
func (d *Description) Routes() []Route {
	rules := make([]Route, len(d.routes))
	for i, r := range d.routes {
		rules[i] = Route{r.method, r.segments, d.classes[r.class].terms}
	}
	return rules
}
