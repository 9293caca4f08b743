// Package openapi takes routes, request classes, unit guesses and retry classes
// from an OpenAPI description, in place of settings written by hand, and is the
// front that serves them.
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

// Extension is the key under which an operation states its terms. A document may
// hold one too, with what holds for all its operations; units never come from
// there.
const Extension = "x-foxwood"

// Terms is the value of Extension.
type Terms struct {
	Units      float64 `json:"units"`       // what a request draws from its customer's quota
	Class      string  `json:"class"`       // operations may share one; the operationId if absent
	Worth      float64 `json:"worth"`       // of one request, 1 if absent
	LateWorth  float64 `json:"late-worth"`  // the part of it that an answer past the aim earns
	AimMS      float64 `json:"aim-ms"`      // wanted within
	DeadlineMS float64 `json:"deadline-ms"` // what a client waits at most
	Repeat     string  `json:"repeat"`      // safe, keyed or unsafe; by the method if absent
	WindowMS   float64 `json:"window-ms"`   // keyed: how long workers drop repeats
	Group      string  `json:"group"`       // keyed: which workers do: all, zone or cell
}

// class is a request class by name.
type class struct {
	name  string
	terms policy.Class
}

// route is one operation.
type route struct {
	method   string
	segments []string // "" matches any one segment
	class    int      // in the description's own order
	units    float64
}

// Description is a document that has been read and found complete.
type Description struct {
	classes []class
	routes  []route // the most literal first
}

// keyHeader carries the key of a request whose repeats workers drop.
const keyHeader = "Idempotency-Key"

// Parse reads a description. It is refused as a whole where one operation states
// no cost or terms that can't be kept: a guess would be spent on quotas.
func Parse(text []byte) (*Description, error) {
	loader := openapi3.NewLoader()
	doc, err := loader.LoadFromData(text)
	if err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	if err := doc.Validate(context.Background()); err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	common := Terms{Worth: 1, Group: "all"}
	if err := read(doc.Extensions, &common); err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	if common.Units != 0 || common.Class != "" {
		return nil, fmt.Errorf("description: %s of the document states units or a class; only operations may", Extension)
	}
	base, err := basePath(doc)
	if err != nil {
		return nil, err
	}
	d := &Description{}
	var faults []error
	for _, path := range doc.Paths.InMatchingOrder() {
		operations := doc.Paths.Value(path).Operations()
		methods := make([]string, 0, len(operations))
		for m := range operations {
			methods = append(methods, m)
		}
		slices.Sort(methods)
		for _, m := range methods {
			if err := d.add(m, base+path, operations[m], common); err != nil {
				faults = append(faults, &Fault{Line: lineOf(text, m, path), err: fmt.Errorf("%s %s: %w", m, path, err)})
			}
		}
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("description refused: %w", err)
	}
	if len(d.routes) == 0 {
		return nil, errors.New("description refused: it has no operation")
	}
	return d, nil
}

// Operations is the number of operations.
func (d *Description) Operations() int { return len(d.routes) }

// read decodes the extension over what t holds already.
func read(extensions map[string]any, t *Terms) error {
	v, ok := extensions[Extension]
	if !ok {
		return nil
	}
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("%s: %w", Extension, err)
	}
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields() // a misspelt term would silently not hold
	if err := dec.Decode(t); err != nil {
		return fmt.Errorf("%s: %w", Extension, err)
	}
	return nil
}

// basePath is the path of the first server, before every route.
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

func (d *Description) add(method, path string, op *openapi3.Operation, t Terms) error {
	t.Class = op.OperationID
	if err := read(op.Extensions, &t); err != nil {
		return err
	}
	if !(t.Units > 0) {
		return fmt.Errorf("operation %q states no cost: %s.units must be above 0", op.OperationID, Extension)
	}
	if method == "HEAD" || method == "CONNECT" || method == "TRACE" {
		return fmt.Errorf("operation %q: method %s is not served", op.OperationID, method)
	}
	if t.Class == "" {
		t.Class = method + " " + path
	}
	c, err := t.class(method, op)
	if err != nil {
		return fmt.Errorf("operation %q: %w", op.OperationID, err)
	}
	i := slices.IndexFunc(d.classes, func(x class) bool { return x.name == t.Class })
	if i < 0 {
		i = len(d.classes)
		d.classes = append(d.classes, class{t.Class, c})
	} else if d.classes[i].terms != c {
		return fmt.Errorf("operation %q: class %q has other terms elsewhere", op.OperationID, t.Class)
	}
	r := route{method: method, class: i, units: t.Units}
	for _, s := range split(path) {
		if strings.Contains(s, "{") {
			if s[0] != '{' || strings.IndexByte(s, '}') != len(s)-1 {
				return fmt.Errorf("operation %q: a parameter must fill its path segment", op.OperationID)
			}
			s = ""
		}
		r.segments = append(r.segments, s)
	}
	d.routes = append(d.routes, r)
	return nil
}

func (t Terms) class(method string, op *openapi3.Operation) (policy.Class, error) {
	micros := func(ms float64) policy.Micros { return policy.Micros(ms * 1000) }
	c := policy.Class{Aim: micros(t.AimMS), Deadline: micros(t.DeadlineMS), Window: micros(t.WindowMS),
		Worth: t.Worth, LateWorth: t.LateWorth}
	if c.Aim <= 0 || c.Deadline < c.Aim {
		return c, errors.New("aim-ms must be above 0 and deadline-ms not below it")
	}
	if !(t.Worth > 0) || !(t.LateWorth >= 0 && t.LateWorth <= 1) {
		return c, errors.New("worth must be above 0 and late-worth from 0 to 1")
	}
	repeat := t.Repeat
	if repeat == "" {
		repeat = byMethod(method, op)
	}
	switch repeat {
	case "safe":
		c.Repeat = policy.Safe
	case "unsafe":
		c.Repeat = policy.Unsafe
	case "keyed":
		c.Repeat = policy.Keyed
		if c.Window <= 0 {
			return c, errors.New("keyed without window-ms: how long repeats are dropped must be stated")
		}
	default:
		return c, fmt.Errorf("repeat %q is not safe, keyed or unsafe", repeat)
	}
	switch t.Group {
	case "all":
		c.Group = policy.GroupAll
	case "zone":
		c.Group = policy.GroupZone
	case "cell":
		c.Group = policy.GroupCell
	default:
		return c, fmt.Errorf("group %q is not all, zone or cell", t.Group)
	}
	return c, nil
}

// byMethod is the retry class of an operation that names none: HTTP's idempotent
// methods are safe; others are unsafe, or keyed where they require a key.
func byMethod(method string, op *openapi3.Operation) string {
	switch method {
	case "GET", "PUT", "DELETE", "OPTIONS":
		return "safe"
	}
	if p := op.Parameters.GetByInAndName("header", keyHeader); p != nil && p.Required {
		return "keyed"
	}
	return "unsafe"
}

func split(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }

// find looks a request up. Where the path is known under other methods, allowed
// names those.
func (d *Description) find(method, path string) (r *route, allowed []string) {
	for i := range d.routes {
		if !d.routes[i].fits(path) {
			continue
		}
		if d.routes[i].method == method {
			return &d.routes[i], nil
		}
		allowed = append(allowed, d.routes[i].method)
	}
	return nil, allowed
}

func (r *route) fits(path string) bool {
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

// Rule is how a route is to be served by a proxy that has no module of its own.
type Rule struct {
	Method   string
	Segments []string // of the path; an empty one is a parameter
	Terms    policy.Class
}

// Rules lists the routes, the most literal first.
func (d *Description) Rules() []Rule {
	rules := make([]Rule, len(d.routes))
	for i, r := range d.routes {
		rules[i] = Rule{r.method, r.segments, d.classes[r.class].terms}
	}
	return rules
}
