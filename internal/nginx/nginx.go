// Package nginx imports upstream and location blocks: workers and their limits
// from the former, an OpenAPI description from the latter. What it can't carry
// over it says; it never guesses.
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

	"foxwood/internal/openapi"
	"foxwood/internal/platform"
)

// costMark opens a comment that states a location's terms, as the description's
// extension does: nginx has no directive for what a request costs.
const costMark = "foxwood:"

// Imported is what a configuration gives.
type Imported struct {
	Known       platform.List  `json:"known"`
	Limits      map[string]any `json:"limits"` // of the settings
	Description map[string]any `json:"-"`
	Notes       []string       `json:"-"` // what was not carried over
}

// Read imports one upstream of a configuration and the locations that pass to it.
func Read(text, upstream string) (*Imported, error) {
	// a comment of ours goes with the directive below it
	conf, err := parser.NewStringParser(text, parser.WithSkipValidDirectivesErr()).Parse()
	if err != nil {
		return nil, fmt.Errorf("nginx: %w", err)
	}
	im := &Imported{Limits: map[string]any{}, Known: platform.List{Generation: 1, Reset: true}}
	i := slices.IndexFunc(conf.FindUpstreams(), func(u *config.Upstream) bool { return u.UpstreamName == upstream })
	if i < 0 {
		return nil, fmt.Errorf("nginx: there is no upstream %q", upstream)
	}
	if err := im.workers(conf.FindUpstreams()[i]); err != nil {
		return nil, err
	}
	paths := map[string]any{}
	for _, d := range conf.FindDirectives("location") {
		l, ok := d.(*config.Location)
		if !ok {
			return nil, fmt.Errorf("nginx: line %d: a location without a path", d.GetLine())
		}
		if err := im.location(l, upstream, paths); err != nil {
			return nil, err
		}
	}
	im.Description = map[string]any{"openapi": "3.0.3", "paths": paths,
		"info": map[string]any{"title": "imported from upstream " + upstream, "version": "1"}}
	return im, nil
}

func (im *Imported) note(format string, a ...any) {
	im.Notes = append(im.Notes, fmt.Sprintf(format, a...))
}

func (im *Imported) workers(u *config.Upstream) error {
	for _, s := range u.UpstreamServers {
		addr := s.Address
		if strings.HasPrefix(addr, "unix:") {
			im.note("upstream %s: %s is not a TCP address and is left out", u.UpstreamName, addr)
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			addr = net.JoinHostPort(addr, "80")
		}
		if slices.Contains(s.Flags, "backup") {
			im.note("upstream %s: server %s: a backup, which the module does not know; left out", u.UpstreamName, addr)
			continue
		}
		w := platform.Instance{ID: addr, Addr: addr, Lifecycle: "ready", Weight: 1}
		for _, flag := range s.Flags {
			switch flag {
			case "down":
				w.Lifecycle = "draining"
			default:
				im.note("upstream %s: server %s: %q is not carried over", u.UpstreamName, addr, flag)
			}
		}
		names := make([]string, 0, len(s.Parameters))
		for name := range s.Parameters {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if name != "weight" {
				im.note("upstream %s: server %s: %s is not carried over, the module judges health itself", u.UpstreamName, addr, name)
				continue
			}
			n, err := strconv.Atoi(s.Parameters[name])
			if err != nil || n < 1 {
				return fmt.Errorf("nginx: upstream %s: server %s: weight %q", u.UpstreamName, addr, s.Parameters[name])
			}
			w.Weight = float64(n)
		}
		im.Known.Instances = append(im.Known.Instances, w)
	}
	for _, d := range u.Directives {
		switch d.GetName() {
		case "server", "keepalive":
		case "keepalive_timeout":
			ms, err := span(d)
			if err != nil {
				return err
			}
			im.Limits["conn-idle-us"] = int64(ms * 1000)
		default:
			im.note("upstream %s: %s is not carried over, the module chooses servers", u.UpstreamName, d.GetName())
		}
	}
	return nil
}

// location adds the operations of one location.
func (im *Imported) location(l *config.Location, upstream string, paths map[string]any) error {
	pass := l.FindDirectives("proxy_pass")
	if len(pass) == 0 || len(pass[0].GetParameters()) == 0 {
		return nil
	}
	target := pass[0].GetParameters()[0].GetValue()
	if target != "http://"+upstream {
		if strings.HasPrefix(target, "http://"+upstream+"/") {
			im.note("location %s: proxy_pass rewrites the path; not imported", l.Match)
		}
		return nil
	}
	switch l.Modifier {
	case "=":
	case "", "^~":
		im.note("location %s: a prefix; only the path itself is imported, add those below it", l.Match)
	default:
		im.note("location %s %s: a regular expression; not imported", l.Modifier, l.Match)
		return nil
	}
	terms, stated, err := cost(l, pass[0])
	if err != nil {
		return fmt.Errorf("nginx: location %s: %w", l.Match, err)
	}
	if !stated {
		im.note("location %s: no cost is stated; the description will be refused until it is", l.Match)
	}
	if err := im.proxying(l, terms); err != nil {
		return err
	}
	methods := []string{"get", "post"}
	if limit := l.FindDirectives("limit_except"); len(limit) > 0 {
		methods = nil
		for _, p := range limit[0].GetParameters() {
			methods = append(methods, strings.ToLower(p.GetValue()))
		}
	}
	item := map[string]any{}
	for _, m := range methods {
		item[m] = map[string]any{
			"operationId":     m + strings.ReplaceAll(l.Match, "/", "-"),
			openapi.Extension: terms,
			"responses":       map[string]any{"default": map[string]any{"description": "what the upstream answers"}},
		}
	}
	paths[l.Match] = item
	return nil
}

// proxying carries the time limits and repeats of a location over.
func (im *Imported) proxying(l *config.Location, terms map[string]any) error {
	for _, d := range l.GetBlock().GetDirectives() {
		switch d.GetName() {
		case "proxy_read_timeout":
			ms, err := span(d)
			if err != nil {
				return err
			}
			if _, ok := terms["deadline-ms"]; !ok {
				terms["deadline-ms"] = ms
			}
		case "proxy_connect_timeout":
			ms, err := span(d)
			if err != nil {
				return err
			}
			im.Limits["connect-timeout-us"] = int64(ms * 1000)
		case "proxy_next_upstream_tries":
			n, err := strconv.Atoi(first(d))
			if err != nil {
				return fmt.Errorf("nginx: proxy_next_upstream_tries: %w", err)
			}
			im.Limits["max-attempts"] = n
		case "proxy_next_upstream":
			if first(d) == "off" {
				im.Limits["max-attempts"] = 1
			}
		case "proxy_pass", "limit_except":
		default:
			im.note("location %s: %s is not carried over", l.Match, d.GetName())
		}
	}
	return nil
}

// cost finds the terms in a comment above the location or its proxy_pass.
func cost(l *config.Location, pass config.IDirective) (terms map[string]any, stated bool, err error) {
	terms = map[string]any{}
	for _, line := range append(slices.Clone(l.GetComment()), pass.GetComment()...) {
		text, ok := strings.CutPrefix(strings.TrimLeft(line, "# \t"), costMark)
		if !ok {
			continue
		}
		if err := json.Unmarshal([]byte(text), &terms); err != nil {
			return nil, false, fmt.Errorf("its terms: %w", err)
		}
	}
	_, stated = terms["units"]
	return terms, stated, nil
}

func first(d config.IDirective) string {
	if len(d.GetParameters()) == 0 {
		return ""
	}
	return d.GetParameters()[0].GetValue()
}

// span reads a time as nginx writes them: a bare number is in seconds.
func span(d config.IDirective) (ms float64, err error) {
	text := first(d)
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n * 1000, nil
	}
	t, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("nginx: %s %q: %w", d.GetName(), text, err)
	}
	return float64(t) / float64(time.Millisecond), nil
}
