package config

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"foxwood/internal/link"
	"foxwood/internal/openapi"
	"foxwood/internal/platform"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// file is an operator's HCL file. Times are in milliseconds, rates in units a second.
type file struct {
	Name      string          `hcl:"name"`
	Listen    string          `hcl:"listen"`
	Seed      string          `hcl:"seed,optional"`
	Discovery string          `hcl:"discovery,optional"`
	Counter   *counterBlock   `hcl:"counter,block"`
	XDS       string          `hcl:"xds,optional"`
	Control   string          `hcl:"control,optional"` // the operators' door
	Zone      string          `hcl:"zone,optional"`    // the gatekeeper's own
	Limits    *Limits         `hcl:"limits,block"`
	OpenAPI   *openapi.Config `hcl:"openapi,block"`
	Siblings  *siblingsBlock  `hcl:"gatekeepers,block"`
	Attempts  *attemptsBlock  `hcl:"attempts,block"`
	Cold      *coldBlock      `hcl:"cold,block"`
	Reports   []string        `hcl:"load_reports,optional"` // fields of workers' load reports
	Settles   bool            `hcl:"settles,optional"`      // answers tell the true units
	Largest   float64         `hcl:"largest,optional"`      // most units of a request
	Tick      float64         `hcl:"tick_ms,optional"`
	Plans     []planBlock     `hcl:"plan,block"`
	Classes   []classBlock    `hcl:"class,block"`
	Pools     []poolBlock     `hcl:"pool,block"`
	Capture   *Capture        `hcl:"capture,block"`
}

type counterBlock struct {
	Address string  `hcl:"address"`
	Timeout float64 `hcl:"timeout_ms"`
}

type siblingsBlock struct {
	Count int `hcl:"count"`
	Self  int `hcl:"self"`
}

type attemptsBlock struct {
	Most int `hcl:"most"`
}

type coldBlock struct {
	Share    float64 `hcl:"share"`
	For      float64 `hcl:"for_ms"`
	Multiple float64 `hcl:"fall_multiple,optional"`
	Window   float64 `hcl:"fall_ms,optional"`
}

type planBlock struct {
	Name         string  `hcl:"name,label"`
	Rate         float64 `hcl:"rate"`
	Burst        float64 `hcl:"burst"`
	Open         int     `hcl:"open,optional"`
	Price        float64 `hcl:"price"`
	OverCost     float64 `hcl:"over_cost,optional"`
	CeilingRate  float64 `hcl:"ceiling_rate,optional"`
	CeilingBurst float64 `hcl:"ceiling_burst,optional"`
	CeilingSlack float64 `hcl:"ceiling_slack,optional"`

	Range hcl.Range `hcl:",def_range"`
}

type classBlock struct {
	Name      string  `hcl:"name,label"`
	Aim       float64 `hcl:"aim_ms"`
	Deadline  float64 `hcl:"deadline_ms"`
	Worth     float64 `hcl:"worth,optional"`
	LateWorth float64 `hcl:"late_worth,optional"`
	Repeat    string  `hcl:"repeat"`
	Window    float64 `hcl:"window_ms,optional"`
	Group     string  `hcl:"group,optional"`

	Range hcl.Range `hcl:",def_range"`
}

type poolBlock struct {
	Name      string        `hcl:"name,label"`
	Transport string        `hcl:"transport,optional"`
	Depth     int           `hcl:"depth,optional"`
	Links     int           `hcl:"links,optional"`
	Gather    float64       `hcl:"gather_ms,optional"`
	Echo      string        `hcl:"echo,optional"`
	Path      string        `hcl:"path,optional"`
	Connect   float64       `hcl:"connect_ms,optional"`
	Idle      float64       `hcl:"idle_ms,optional"`
	Workers   []workerBlock `hcl:"worker,block"`

	Range hcl.Range `hcl:",def_range"`
}

type workerBlock struct {
	ID      string  `hcl:"id,label"`
	Address string  `hcl:"address"`
	Zone    string  `hcl:"zone,optional"`
	Cell    int     `hcl:"cell,optional"`
	Weight  float64 `hcl:"weight,optional"`

	Range hcl.Range `hcl:",def_range"`
}

// faults gathers what is wrong with a file.
type faults struct{ list []error }

func (f *faults) at(r hcl.Range, format string, a ...any) {
	f.list = append(f.list, fmt.Errorf("%s:%d: %s", r.Filename, r.Start.Line, fmt.Sprintf(format, a...)))
}

// parseHCL reads an operator's HCL file. Keys that it does not know are faults.
func parseHCL(name string, text []byte) (Config, error) {
	var f file
	var bad faults
	body, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if !diags.HasErrors() {
		diags = append(diags, gohcl.DecodeBody(body.Body, nil, &f)...)
	}
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			r := hcl.Range{Filename: name}
			if d.Subject != nil {
				r = *d.Subject
			}
			bad.at(r, "%s: %s", d.Summary, d.Detail)
		}
	}
	if len(bad.list) > 0 {
		return Config{}, errors.Join(bad.list...)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Seed: f.Seed, Discovery: f.Discovery, XDS: f.XDS, Control: f.Control, OpenAPI: f.OpenAPI, Capture: f.Capture}
	if f.Limits != nil {
		c.Limits = *f.Limits
	}
	if f.Counter != nil {
		c.Counter = f.Counter.Address
	}
	c.terms = f.terms(&bad)
	f.pool(&c, &bad)
	if err := errors.Join(bad.list...); err != nil {
		return Config{}, err
	}
	return c, nil
}

// micros turns a file's milliseconds into the module's time.
func micros(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

const (
	defaultTick    = 10.0
	defaultConnect = 250.0
	defaultIdle    = 10000.0
	defaultTries   = 3
)

func (f *file) terms(bad *faults) *terms {
	s := policy.Settings{Gateways: 1, Tick: micros(or(f.Tick, defaultTick)), Cancel: true, MaxAttempts: defaultTries,
		RetryAfter: true, InlineLoad: f.Reports, Settles: f.Settles, Largest: f.Largest}
	if g := f.Siblings; g != nil {
		s.Gateways, s.Self = g.Count, g.Self
	}
	if a := f.Attempts; a != nil {
		s.MaxAttempts = a.Most
	}
	if c := f.Cold; c != nil {
		s.ColdShare, s.ColdFor, s.FallMultiple, s.FallWindow = c.Share, micros(c.For), c.Multiple, micros(c.Window)
	}
	if c := f.Counter; c != nil {
		s.Counter, s.CounterTimeout = true, micros(c.Timeout)
	}
	t := &terms{set: s}
	for _, p := range f.Plans {
		if slices.Contains(t.names.Plans, p.Name) {
			bad.at(p.Range, "plan %q stands twice", p.Name)
		}
		if p.Rate < 0 || p.Burst < 0 || p.Price < 0 {
			bad.at(p.Range, "plan %q: a rate, burst or price below 0", p.Name)
		}
		t.names.Plans = append(t.names.Plans, p.Name)
		t.set.Plans = append(t.set.Plans, policy.Plan{Rate: p.Rate, Burst: p.Burst, Open: p.Open, Price: p.Price,
			OverCost: p.OverCost, CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack})
	}
	for _, c := range f.Classes {
		f.class(t, c, bad)
	}
	if len(f.Plans) == 0 {
		bad.at(hcl.Range{Filename: "configuration"}, "no plan is stated")
	}
	return t
}

// repeats is the words of a class for the module's terms.
var (
	repeats = map[string]policy.Repeat{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}
)

func (f *file) class(t *terms, c classBlock, bad *faults) {
	repeat, ok := repeats[c.Repeat]
	if !ok {
		bad.at(c.Range, "class %q: repeat %q is not safe, keyed or unsafe", c.Name, c.Repeat)
	}
	group, ok := settings.Groups[c.Group]
	if !ok {
		bad.at(c.Range, "class %q: group %q is not all, zone or cell", c.Name, c.Group)
	}
	if repeat == policy.Keyed && c.Window <= 0 {
		bad.at(c.Range, "class %q is keyed and states no window_ms", c.Name)
	}
	if c.Aim <= 0 || c.Deadline < c.Aim {
		bad.at(c.Range, "class %q: aim_ms must be above 0 and at most deadline_ms", c.Name)
	}
	if slices.Contains(t.names.Classes, c.Name) {
		bad.at(c.Range, "class %q stands twice", c.Name)
	}
	t.names.Classes = append(t.names.Classes, c.Name)
	t.set.Classes = append(t.set.Classes, policy.Class{Aim: micros(c.Aim), Deadline: micros(c.Deadline),
		Window: micros(c.Window), Worth: or(c.Worth, 1), LateWorth: c.LateWorth, Repeat: repeat, Group: group})
}

// pool takes the one pool that a gatekeeper has so far: its workers, and how they are
// spoken to.
func (f *file) pool(c *Config, bad *faults) {
	if len(f.Pools) == 0 {
		bad.at(hcl.Range{Filename: "configuration"}, "no pool of workers is stated")
		return
	}
	for _, p := range f.Pools[1:] {
		bad.at(p.Range, "pool %q: a gatekeeper has one pool", p.Name)
	}
	p := f.Pools[0]
	names := &c.terms.names
	names.ConnectMost, names.ConnIdle = micros(or(p.Connect, defaultConnect)), micros(or(p.Idle, defaultIdle))
	kind, ok := link.CarrierOf(p.Transport)
	if !ok {
		bad.at(p.Range, "pool %q: transport %q is not one of %s", p.Name, p.Transport, link.CarrierNames())
	}
	c.Transport = link.Transport{Carrier: kind, Depth: p.Depth, Links: p.Links, Gather: p.Gather, Echo: p.Echo, Path: p.Path}
	if err := c.Transport.Check(); err != nil {
		bad.at(p.Range, "pool %q: %v", p.Name, err)
	}
	if len(p.Workers) == 0 && f.Discovery == "" {
		bad.at(p.Range, "pool %q: neither a worker nor a discovery is stated", p.Name)
	}
	c.Known.Generation, c.Known.Reset = 1, true
	seen := map[string]bool{}
	for _, w := range p.Workers {
		if _, err := net.ResolveTCPAddr("tcp", w.Address); err != nil {
			bad.at(w.Range, "worker %q: %v", w.ID, err)
		}
		if seen[w.ID] {
			bad.at(w.Range, "worker %q stands twice", w.ID)
		}
		seen[w.ID] = true
		names.Zones = with(names.Zones, w.Zone)
		c.terms.set.Weights = c.terms.set.Weights || w.Weight != 0
		c.Known.Instances = append(c.Known.Instances, w.instance())
	}
	c.terms.set.Zone = max(slices.Index(names.Zones, f.Zone), 0)
}

func with(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

func or(v, instead float64) float64 {
	if v == 0 {
		return instead
	}
	return v
}

func (w *workerBlock) instance() platform.Instance {
	return platform.Instance{ID: w.ID, Addr: w.Address, Zone: w.Zone, Cell: w.Cell,
		Lifecycle: "ready", Weight: or(w.Weight, 1)}
}
