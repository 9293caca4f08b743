// Package nginx imports an nginx configuration: workers and limits from an upstream block, and an
// OpenAPI description from location blocks. It guesses nothing, and reports what it can't convert.
package nginx

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tufanbarisyildirim/gonginx/config"
	"github.com/tufanbarisyildirim/gonginx/parser"

	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/platform"
)

// costCommentPrefix begins a comment with the terms of a location, in the form of the OpenAPI
// extension. nginx has no directive for the cost of a request.
const costCommentPrefix = "foxwood:"

// Result is the result of an import.
type Result struct {
	Workers     platform.WorkerList `json:"known"`
	Limits      map[string]any      `json:"limits"` // for the limits object of the settings
	Description map[string]any      `json:"-"`
	Notes       []string            `json:"-"` // what was not converted
}

// Import imports one upstream of a configuration and the locations that proxy to it.
func Import(text, upstream string) (*Result, error) {
	// The parser attaches a comment to the directive below it.
	parsed, err := parser.NewStringParser(text, parser.WithSkipValidDirectivesErr()).Parse()
	if err != nil {
		return nil, fmt.Errorf("nginx: %w", err)
	}
	result := &Result{Limits: map[string]any{}, Workers: platform.WorkerList{Generation: 1, Reset: true}}
	i := slices.IndexFunc(parsed.FindUpstreams(), func(u *config.Upstream) bool { return u.UpstreamName == upstream })
	if i < 0 {
		return nil, fmt.Errorf("nginx: expected an upstream %q, but there is none", upstream)
	}
	if err := result.addWorkers(parsed.FindUpstreams()[i]); err != nil {
		return nil, err
	}
	paths := map[string]any{}
	for _, directive := range parsed.FindDirectives("location") {
		location, ok := directive.(*config.Location)
		if !ok {
			return nil, fmt.Errorf("nginx: line %d: expected a path after location, got none", directive.GetLine())
		}
		if err := result.addLocation(location, upstream, paths); err != nil {
			return nil, err
		}
	}
	result.Description = map[string]any{"openapi": "3.0.3", "paths": paths,
		"info": map[string]any{"title": "imported from upstream " + upstream, "version": "1"}}
	return result, nil
}

func (r *Result) addNote(format string, a ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, a...))
}

// addWorkers adds the servers of an upstream, and its idle timeout.
func (r *Result) addWorkers(upstream *config.Upstream) error {
	for _, server := range upstream.UpstreamServers {
		addr := server.Address
		if strings.HasPrefix(addr, "unix:") {
			r.addNote("upstream %s: %s is not a TCP address and is left out", upstream.UpstreamName, addr)
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			addr = net.JoinHostPort(addr, "80")
		}
		if slices.Contains(server.Flags, "backup") {
			r.addNote("upstream %s: server %s: a backup, which the module does not know; left out", upstream.UpstreamName, addr)
			continue
		}
		worker := platform.Instance{ID: addr, Addr: addr, Lifecycle: "ready", Weight: 1}
		for _, flag := range server.Flags {
			switch flag {
			case "down":
				worker.Lifecycle = "draining"
			default:
				r.addNote("upstream %s: server %s: %q is not carried over", upstream.UpstreamName, addr, flag)
			}
		}
		names := make([]string, 0, len(server.Parameters))
		for name := range server.Parameters {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if name != "weight" {
				r.addNote("upstream %s: server %s: %s is not carried over, the module judges health itself", upstream.UpstreamName, addr, name)
				continue
			}
			n, err := strconv.Atoi(server.Parameters[name])
			if err != nil || n < 1 {
				return fmt.Errorf("nginx: upstream %s: server %s: expected a weight of at least 1, got %q", upstream.UpstreamName, addr, server.Parameters[name])
			}
			worker.Weight = float64(n)
		}
		r.Workers.Instances = append(r.Workers.Instances, worker)
	}
	for _, directive := range upstream.Directives {
		switch directive.GetName() {
		case "server", "keepalive":
		case "keepalive_timeout":
			ms, err := milliseconds(directive)
			if err != nil {
				return err
			}
			r.Limits["conn-idle-us"] = int64(ms * 1000)
		default:
			r.addNote("upstream %s: %s is not carried over, the module chooses servers", upstream.UpstreamName, directive.GetName())
		}
	}
	return nil
}

// addLocation adds the operations of a location to paths.
func (r *Result) addLocation(location *config.Location, upstream string, paths map[string]any) error {
	pass := location.FindDirectives("proxy_pass")
	if len(pass) == 0 || len(pass[0].GetParameters()) == 0 {
		return nil
	}
	target := pass[0].GetParameters()[0].GetValue()
	if target != "http://"+upstream {
		if strings.HasPrefix(target, "http://"+upstream+"/") {
			r.addNote("location %s: proxy_pass rewrites the path; not imported", location.Match)
		}
		return nil
	}
	switch location.Modifier {
	case "=":
	case "", "^~":
		r.addNote("location %s: a prefix; only the path itself is imported, add those below it", location.Match)
	default:
		r.addNote("location %s %s: a regular expression; not imported", location.Modifier, location.Match)
		return nil
	}
	terms, stated, err := statedTerms(location, pass[0])
	if err != nil {
		return fmt.Errorf("nginx: location %s: %w", location.Match, err)
	}
	if !stated {
		r.addNote("location %s: no cost is stated; the description will be refused until it is", location.Match)
	}
	if err := r.addProxySettings(location, terms); err != nil {
		return err
	}
	methods := []string{"get", "post"}
	if limit := location.FindDirectives("limit_except"); len(limit) > 0 {
		methods = nil
		for _, p := range limit[0].GetParameters() {
			methods = append(methods, strings.ToLower(p.GetValue()))
		}
	}
	item := map[string]any{}
	for _, method := range methods {
		item[method] = map[string]any{
			"operationId":     method + strings.ReplaceAll(location.Match, "/", "-"),
			openapi.Extension: terms,
			"responses":       map[string]any{"default": map[string]any{"description": "what the upstream answers"}},
		}
	}
	paths[location.Match] = item
	return nil
}

// addProxySettings converts the timeouts and retries of a location.
func (r *Result) addProxySettings(location *config.Location, terms map[string]any) error {
	for _, directive := range location.GetBlock().GetDirectives() {
		switch directive.GetName() {
		case "proxy_read_timeout":
			ms, err := milliseconds(directive)
			if err != nil {
				return err
			}
			if _, ok := terms["deadline-ms"]; !ok {
				terms["deadline-ms"] = ms
			}
		case "proxy_connect_timeout":
			ms, err := milliseconds(directive)
			if err != nil {
				return err
			}
			r.Limits["connect-timeout-us"] = int64(ms * 1000)
		case "proxy_next_upstream_tries":
			n, err := strconv.Atoi(firstParameter(directive))
			if err != nil {
				return fmt.Errorf("nginx: proxy_next_upstream_tries: %w", err)
			}
			r.Limits["max-attempts"] = n
		case "proxy_next_upstream":
			if firstParameter(directive) == "off" {
				r.Limits["max-attempts"] = 1
			}
		case "proxy_pass", "limit_except":
		default:
			r.addNote("location %s: %s is not carried over", location.Match, directive.GetName())
		}
	}
	return nil
}

// statedTerms reads the terms from a comment above the location or its proxy_pass. stated reports
// whether they have units.
func statedTerms(location *config.Location, pass config.IDirective) (terms map[string]any, stated bool, err error) {
	terms = map[string]any{}
	for _, line := range append(slices.Clone(location.GetComment()), pass.GetComment()...) {
		text, ok := strings.CutPrefix(strings.TrimLeft(line, "# \t"), costCommentPrefix)
		if !ok {
			continue
		}
		if err := json.Unmarshal([]byte(text), &terms); err != nil {
			return nil, false, fmt.Errorf("expected terms as JSON after %q: %w", costCommentPrefix, err)
		}
	}
	_, stated = terms["units"]
	return terms, stated, nil
}

// firstParameter returns the first parameter of a directive, or "".
func firstParameter(directive config.IDirective) string {
	if len(directive.GetParameters()) == 0 {
		return ""
	}
	return directive.GetParameters()[0].GetValue()
}

// milliseconds parses a time of nginx; a number without a unit is in seconds.
func milliseconds(directive config.IDirective) (ms float64, err error) {
	text := firstParameter(directive)
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n * 1000, nil
	}
	t, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("nginx: %s %q: %w", directive.GetName(), text, err)
	}
	return float64(t) / float64(time.Millisecond), nil
}
