package config

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// hclFile is an operator's HCL file. Times are in milliseconds, rates in units per second.
type hclFile struct {
	Name      string          `hcl:"name"`
	Listen    string          `hcl:"listen"`
	Seed      string          `hcl:"seed,optional"`
	Discovery string          `hcl:"discovery,optional"`
	Counter   *counterBlock   `hcl:"counter,block"`
	XDS       string          `hcl:"xds,optional"`
	Control   string          `hcl:"control,optional"` // address of the admin server
	Zone      string          `hcl:"zone,optional"`    // the zone of the gatekeeper
	Limits    *Limits         `hcl:"limits,block"`
	OpenAPI   *openapi.Config `hcl:"openapi,block"`
	Siblings  *siblingsBlock  `hcl:"gatekeepers,block"`
	Attempts  *attemptsBlock  `hcl:"attempts,block"`
	Cold      *coldBlock      `hcl:"cold,block"`
	Reports   []string        `hcl:"load_reports,optional"` // fields of the workers' load reports
	Settles   bool            `hcl:"settles,optional"`      // responses carry the actual units
	Largest   float64         `hcl:"largest,optional"`      // maximum units of a request
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

// errorList collects the errors of a file.
type errorList struct{ errs []error }

func (f *errorList) add(r hcl.Range, format string, a ...any) {
	f.errs = append(f.errs, fmt.Errorf("%s:%d: %s", r.Filename, r.Start.Line, fmt.Sprintf(format, a...)))
}

// parseHCL parses an operator's HCL file. Unknown keys are errors.
func parseHCL(name string, text []byte) (Config, error) {
	var parsed hclFile
	var errs errorList
	body, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if !diags.HasErrors() {
		diags = append(diags, gohcl.DecodeBody(body.Body, nil, &parsed)...)
	}
	for _, diag := range diags {
		if diag.Severity == hcl.DiagError {
			position := hcl.Range{Filename: name}
			if diag.Subject != nil {
				position = *diag.Subject
			}
			errs.add(position, "%s: %s", diag.Summary, diag.Detail)
		}
	}
	if len(errs.errs) > 0 {
		return Config{}, errors.Join(errs.errs...)
	}
	cfg := Config{Name: parsed.Name, Listen: parsed.Listen, Seed: parsed.Seed, Discovery: parsed.Discovery, XDS: parsed.XDS, AdminAddress: parsed.Control, OpenAPI: parsed.OpenAPI, Capture: parsed.Capture}
	if parsed.Limits != nil {
		cfg.Limits = *parsed.Limits
	}
	if parsed.Counter != nil {
		cfg.Counter = parsed.Counter.Address
	}
	cfg.hclTerms = parsed.policyTerms(&errs)
	parsed.addPool(&cfg, &errs)
	if err := errors.Join(errs.errs...); err != nil {
		return Config{}, err
	}
	return cfg, nil
}

// microseconds converts milliseconds to the time unit of the decision module.
func microseconds(ms float64) policy.Micros { return policy.Micros(ms * 1000) }

const (
	defaultTickMS      = 10.0
	defaultConnectMS   = 250.0
	defaultIdleMS      = 10000.0
	defaultMaxAttempts = 3
)

// policyTerms converts the blocks of the file to settings. The pool is added by addPool.
func (f *hclFile) policyTerms(errs *errorList) *policyTerms {
	settings := policy.Settings{GatewayCount: 1, ClockTick: microseconds(orDefault(f.Tick, defaultTickMS)), CanCancel: true, MaxAttempts: defaultMaxAttempts,
		SendRetryAfter: true, LoadReportFields: f.Reports, SettlesUnits: f.Settles, MaxUnits: f.Largest}
	if g := f.Siblings; g != nil {
		settings.GatewayCount, settings.Index = g.Count, g.Self
	}
	if a := f.Attempts; a != nil {
		settings.MaxAttempts = a.Most
	}
	if c := f.Cold; c != nil {
		settings.ColdCapacity, settings.ColdDuration, settings.OverloadMultiple, settings.OverloadWindow = c.Share, microseconds(c.For), c.Multiple, microseconds(c.Window)
	}
	if c := f.Counter; c != nil {
		settings.HasCounter, settings.CounterTimeout = true, microseconds(c.Timeout)
	}
	terms := &policyTerms{settings: settings}
	for _, plan := range f.Plans {
		if slices.Contains(terms.names.Plans, plan.Name) {
			errs.add(plan.Range, "plan %q is defined twice", plan.Name)
		}
		if plan.Rate < 0 || plan.Burst < 0 || plan.Price < 0 {
			errs.add(plan.Range, "plan %q: rate, burst and price must not be below 0", plan.Name)
		}
		terms.names.Plans = append(terms.names.Plans, plan.Name)
		terms.settings.Plans = append(terms.settings.Plans, policy.Plan{Rate: plan.Rate, Burst: plan.Burst, MaxInFlight: plan.Open, Price: plan.Price,
			OverrunCost: plan.OverCost, CeilingRate: plan.CeilingRate, CeilingBurst: plan.CeilingBurst, CeilingTolerance: plan.CeilingSlack})
	}
	for _, c := range f.Classes {
		f.addClass(terms, c, errs)
	}
	if len(f.Plans) == 0 {
		errs.add(hcl.Range{Filename: "configuration"}, "no plan: expected at least one plan block")
	}
	return terms
}

// repeatByName maps the values of a class's repeat key to retry classes.
var repeatByName = map[string]policy.Repeatability{"safe": policy.RepeatSafe, "keyed": policy.RepeatKeyed, "unsafe": policy.RepeatUnsafe}

// addClass validates a class block and adds it to the settings.
func (f *hclFile) addClass(terms *policyTerms, block classBlock, errs *errorList) {
	repeat, ok := repeatByName[block.Repeat]
	if !ok {
		errs.add(block.Range, "class %q: repeat %q is not safe, keyed or unsafe", block.Name, block.Repeat)
	}
	group, ok := settings.Groups[block.Group]
	if !ok {
		errs.add(block.Range, "class %q: group %q is not all, zone or cell", block.Name, block.Group)
	}
	if repeat == policy.RepeatKeyed && block.Window <= 0 {
		errs.add(block.Range, "class %q is keyed and states no window_ms", block.Name)
	}
	if block.Aim <= 0 || block.Deadline < block.Aim {
		errs.add(block.Range, "class %q: aim_ms must be above 0 and at most deadline_ms", block.Name)
	}
	if slices.Contains(terms.names.Classes, block.Name) {
		errs.add(block.Range, "class %q is defined twice", block.Name)
	}
	terms.names.Classes = append(terms.names.Classes, block.Name)
	terms.settings.Classes = append(terms.settings.Classes, policy.Class{LatencyTarget: microseconds(block.Aim), Deadline: microseconds(block.Deadline),
		RepeatWindow: microseconds(block.Window), Value: orDefault(block.Worth, 1), LateValue: block.LateWorth, Repeat: repeat, Dedup: group})
}

// addPool applies the pool block: the workers and the transport to them. So far a gatekeeper
// has exactly one pool.
func (f *hclFile) addPool(cfg *Config, errs *errorList) {
	if len(f.Pools) == 0 {
		errs.add(hcl.Range{Filename: "configuration"}, "no pool of workers: expected one pool block")
		return
	}
	for _, pool := range f.Pools[1:] {
		errs.add(pool.Range, "pool %q: a gatekeeper has one pool", pool.Name)
	}
	pool := f.Pools[0]
	names := &cfg.hclTerms.names
	names.ConnectTimeout, names.IdleTimeout = microseconds(orDefault(pool.Connect, defaultConnectMS)), microseconds(orDefault(pool.Idle, defaultIdleMS))
	carrier, ok := link.ParseProtocol(pool.Transport)
	if !ok {
		errs.add(pool.Range, "pool %q: transport %q is not one of %s", pool.Name, pool.Transport, link.ProtocolNames())
	}
	cfg.Transport = link.Transport{Protocol: carrier, MaxInFlight: pool.Depth, MaxConns: pool.Links, BatchDelayMS: pool.Gather, EchoHeader: pool.Echo, Path: pool.Path}
	if err := cfg.Transport.Validate(); err != nil {
		errs.add(pool.Range, "pool %q: %v", pool.Name, err)
	}
	if len(pool.Workers) == 0 && f.Discovery == "" {
		errs.add(pool.Range, "pool %q: expected a worker block or a discovery address", pool.Name)
	}
	cfg.KnownWorkers.Generation, cfg.KnownWorkers.Reset = 1, true
	seen := map[string]bool{}
	for _, worker := range pool.Workers {
		if _, err := net.ResolveTCPAddr("tcp", worker.Address); err != nil {
			errs.add(worker.Range, "worker %q: %v", worker.ID, err)
		}
		if seen[worker.ID] {
			errs.add(worker.Range, "worker %q is defined twice", worker.ID)
		}
		seen[worker.ID] = true
		names.Zones = appendUnique(names.Zones, worker.Zone)
		cfg.hclTerms.settings.UseWeights = cfg.hclTerms.settings.UseWeights || worker.Weight != 0
		cfg.KnownWorkers.Instances = append(cfg.KnownWorkers.Instances, worker.instance())
	}
	cfg.hclTerms.settings.Zone = max(slices.Index(names.Zones, f.Zone), 0)
}

// appendUnique appends a value unless the list has it.
func appendUnique(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}

// orDefault returns the fallback if value is 0.
func orDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

func (w *workerBlock) instance() platform.Instance {
	return platform.Instance{ID: w.ID, Addr: w.Address, Zone: w.Zone, Cell: w.Cell,
		Lifecycle: "ready", Weight: orDefault(w.Weight, 1)}
}
