package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"foxwood/internal/load"
)

// Fleet is emulated workers and what they do.
type Fleet struct {
	Name    string
	Workers int
	Cores   int
	Classes []ServiceClass
}

// ServiceClass is a class of requests and how long it takes.
type ServiceClass struct {
	Name  string
	Part  float64
	Mean  time.Duration
	CV    float64
	Keyed bool
	Aim   time.Duration
}

// Fleets are the two that transports are measured with: one of 1 to 5 ms, and one with
// service times as of the site's cuota and simulacion.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "short", Workers: 4, Cores: 2, Classes: []ServiceClass{
			{Name: "cuota", Part: 0.8, Mean: 2 * time.Millisecond, CV: 0.4, Aim: 400 * time.Millisecond},
			{Name: "simulacion", Part: 0.2, Mean: 4 * time.Millisecond, CV: 0.4, Keyed: true, Aim: 750 * time.Millisecond}}},
		{Name: "site", Workers: 24, Cores: 2, Classes: []ServiceClass{
			{Name: "cuota", Part: 0.8, Mean: 53 * time.Millisecond, CV: 0.9, Aim: 400 * time.Millisecond},
			{Name: "simulacion", Part: 0.2, Mean: 87 * time.Millisecond, CV: 0.9, Keyed: true, Aim: 750 * time.Millisecond}}},
	}
}

// Capacity is the requests a second that a fleet's cores can do.
func (f *Fleet) Capacity() float64 {
	mean, parts := 0.0, 0.0
	for _, c := range f.Classes {
		mean += c.Part * c.Mean.Seconds()
		parts += c.Part
	}
	return float64(f.Workers*f.Cores) / (mean / parts)
}

const deadline = 2 * time.Second

// start runs the fleet's workers in one process, and returns their addresses.
func (f *Fleet) start() (*Process, []string, error) {
	args := []string{"emulate", "worker", "--workers", fmt.Sprint(f.Workers), "--cores", fmt.Sprint(f.Cores), "--queue", "400",
		"--window", (2 * deadline).String(), "--streams", "1000"}
	for _, c := range f.Classes {
		args = append(args, "--service", fmt.Sprintf("%s=%s/%g", c.Name, c.Mean, c.CV))
	}
	p, err := start(nil, args...)
	if err != nil {
		return nil, nil, err
	}
	var addrs []string
	for range f.Workers {
		line, err := p.line()
		if err != nil {
			p.stop()
			return nil, nil, err
		}
		addrs = append(addrs, strings.TrimPrefix(line, "worker at "))
	}
	return p, addrs, nil
}

// configuration is the HCL file of a gatekeeper before some workers.
func (f *Fleet) configuration(listen, transport string, workers []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"trial\"\nlisten = %q\nlimits {\n  memory_mb = 192\n  sockets = 4096\n}\n", listen)
	b.WriteString("plan \"mayor\" {\n  rate = 1000000\n  burst = 1000000\n  price = 1\n}\n")
	for _, c := range f.Classes {
		repeat := "repeat = \"safe\""
		if c.Keyed {
			repeat = fmt.Sprintf("repeat = \"keyed\"\n  window_ms = %d", (2 * deadline).Milliseconds())
		}
		fmt.Fprintf(&b, "class %q {\n  aim_ms = %d\n  deadline_ms = %d\n  %s\n}\n", c.Name, c.Aim.Milliseconds(), deadline.Milliseconds(), repeat)
	}
	kind, more := variant(transport)
	fmt.Fprintf(&b, "pool \"fleet\" {\n  transport = %q\n  idle_ms = 1000\n%s", kind, more)
	for i, w := range workers {
		fmt.Fprintf(&b, "  worker \"w%d\" {\n    address = %q\n  }\n", i, w)
	}
	b.WriteString("}\n")
	return b.String()
}

// target is one thing that is measured.
type target struct {
	name string
	addr string
	*Process
}

// proxyName is the baseline: Go's net/http/httputil.ReverseProxy.
const proxyName = "ReverseProxy"

// targets starts a gatekeeper for each transport, and the baseline.
func (f *Fleet) targets(dir string, transports, workers []string) ([]target, error) {
	var all []target
	for _, name := range transports {
		addr, err := freeAddr()
		if err != nil {
			return all, err
		}
		args := []string{"measure", "proxy", "--listen", addr, "--workers", strings.Join(workers, ",")}
		env := []string{"GOMAXPROCS=2"} // as a gatekeeper has
		if name != proxyName {
			file := filepath.Join(dir, name+".hcl")
			text := f.configuration(addr, name, workers)
			if kept := filepath.Join(dir, captured); strings.HasSuffix(name, " "+captured) {
				text += fmt.Sprintf("capture {\n  folder = %q\n  kept_mb = 8192\n}\n", kept)
				if err := os.MkdirAll(kept, 0o700); err != nil {
					return all, fmt.Errorf("trial: %w", err)
				}
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				return all, fmt.Errorf("trial: %w", err)
			}
			args, env = []string{"run", "-c", file}, nil
		}
		p, err := start(env, args...)
		if err != nil {
			return all, err
		}
		all = append(all, target{name, addr, p})
		if err := ready(addr); err != nil {
			return all, err
		}
	}
	return all, nil
}

// freeAddr is a loopback address that nobody listens at.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// ready waits until a target answers.
func ready(addr string) error {
	const tries, pause = 200, 20 * time.Millisecond
	var last error
	for range tries {
		res, err := http.Get("http://" + addr + "/health/ready")
		if last = err; err == nil {
			_ = res.Body.Close()
			return nil
		}
		time.Sleep(pause)
	}
	return fmt.Errorf("trial: %s is not ready: %w", addr, last)
}

// Options is how long and how often transports are measured.
type Options struct {
	Fleets     []Fleet
	Transports []string
	Loads      []float64 // parts of the capacity
	Runs       int
	For        time.Duration
	Settle     time.Duration
	Seed       uint64
	Progress   io.Writer
	Dir        string // for configurations and what targets write; a temporary one where empty
}

// Transports measures transports on the same arrivals, interleaved: every run plays each
// transport once, in turn, at each load.
func Transports(ctx context.Context, o Options) (*Table, error) {
	table := &Table{Options: o}
	for _, f := range o.Fleets {
		if err := f.measure(ctx, o, table); err != nil {
			return table, err
		}
	}
	return table, nil
}

func (f *Fleet) measure(ctx context.Context, o Options, table *Table) error {
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "foxwood-trial"); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
		defer os.RemoveAll(dir)
	}
	fleet, workers, err := f.start()
	if err != nil {
		return err
	}
	defer fleet.stop()
	targets, err := f.targets(dir, o.Transports, workers)
	defer func() {
		for _, t := range targets {
			t.stop()
		}
	}()
	if err != nil {
		return err
	}
	ports := map[string]bool{}
	for _, w := range workers {
		port, err := hexPort(w)
		if err != nil {
			return err
		}
		ports[port] = true
	}
	capacity := f.Capacity()
	warm := o
	warm.For, warm.Settle = time.Second, time.Second/2
	for i := range targets { // what a process does first it does slowly
		if _, err := targets[i].play(ctx, f.plan(warm, capacity/2, o.Seed), ports); err != nil {
			return err
		}
	}
	for run := range o.Runs {
		for _, part := range o.Loads {
			plan := f.plan(o, part*capacity, o.Seed+uint64(run))
			for i := range targets {
				t := &targets[(i+run)%len(targets)] // each goes first in its turn
				if ctx.Err() != nil {
					return ctx.Err()
				}
				one, err := t.play(ctx, plan, ports)
				if err != nil {
					return err
				}
				table.add(key{f.Name, part, t.name}, one)
				fmt.Fprintf(o.Progress, "%s, run %d of %d, %.0f%%: %s p99.9 %.2f ms\n", f.Name, run+1, o.Runs, part*100, t.name,
					float64(one.result.Classes[0].Latency.ValueAtQuantile(99.9))/1000)
			}
		}
	}
	return nil
}

func (f *Fleet) plan(o Options, rate float64, seed uint64) load.Plan {
	p := load.Plan{Rate: rate, Poisson: true, For: o.For, Settle: o.Settle, Customers: 20, PlanName: "mayor", Seed: seed, Body: 64}
	for _, c := range f.Classes {
		k := load.Class{Name: c.Name, Part: c.Part, Method: "GET", Deadline: deadline, Units: 1}
		if c.Keyed {
			k.Method = "POST"
		}
		p.Classes = append(p.Classes, k)
	}
	return p
}

// rest is how long a target's links have to be retired before the next one's turn.
const rest = 800 * time.Millisecond

// play sends a plan to a target, and watches what it uses meanwhile.
func (t *target) play(ctx context.Context, p load.Plan, ports map[string]bool) (one, error) {
	time.Sleep(rest)
	p.Targets = []string{t.addr}
	type window struct {
		first spent
		links int
		err   error
	}
	watched := make(chan window, 1)
	stop := make(chan struct{})
	go func() {
		var w window
		defer func() { watched <- w }()
		time.Sleep(p.Settle)
		if w.first, w.err = t.spent(); w.err != nil {
			return
		}
		every := time.NewTicker(100 * time.Millisecond)
		defer every.Stop()
		for {
			select {
			case <-stop:
				return
			case <-every.C:
				n, err := established(ports)
				if err != nil {
					w.err = err
					return
				}
				w.links = max(w.links, n)
			}
		}
	}()
	r, err := load.Run(ctx, p)
	close(stop)
	w := <-watched
	if err != nil {
		return one{}, err
	}
	if w.err != nil {
		return one{}, w.err
	}
	last, err := t.spent()
	if err != nil {
		return one{}, err
	}
	return one{result: r, cpu: last.cpu - w.first.cpu, calls: last.calls - w.first.calls, links: w.links, rss: last.rss}, nil
}

// variant splits the name of a transport with settings, as "batch gather_ms=1 links=1",
// into the transport and lines for its pool.
func variant(name string) (kind, more string) {
	words := strings.Fields(name)
	for _, w := range words[1:] {
		if w == captured { // not of the pool
			continue
		}
		more += "  " + strings.Replace(w, "=", " = ", 1) + "\n"
	}
	return words[0], more
}
