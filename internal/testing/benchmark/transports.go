package benchmark

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

	"foxwood/internal/testing/load"
)

// Fleet describes a group of emulated workers and the requests that they serve.
type Fleet struct {
	Name    string
	Workers int
	Cores   int // of each worker
	Classes []ServiceClass
}

// ServiceClass is a class of requests and the distribution of its service times.
type ServiceClass struct {
	Name            string
	Share           float64       // share of the requests, relative to the other classes
	MeanServiceTime time.Duration // mean service time
	ServiceTimeCV   float64       // coefficient of variation of the service time
	Keyed           bool          // unsafe requests, made repeatable by a key
	LatencyTarget   time.Duration // target latency
}

// DefaultFleets returns the two fleets with which transports are compared: one with service times of 1 to 5 ms, and one with
// the service times of the request classes cuota and simulacion at the production site.
func DefaultFleets() []Fleet {
	return []Fleet{
		{Name: "short", Workers: 4, Cores: 2, Classes: []ServiceClass{
			{Name: "cuota", Share: 0.8, MeanServiceTime: 2 * time.Millisecond, ServiceTimeCV: 0.4, LatencyTarget: 400 * time.Millisecond},
			{Name: "simulacion", Share: 0.2, MeanServiceTime: 4 * time.Millisecond, ServiceTimeCV: 0.4, Keyed: true, LatencyTarget: 750 * time.Millisecond}}},
		{Name: "site", Workers: 24, Cores: 2, Classes: []ServiceClass{
			{Name: "cuota", Share: 0.8, MeanServiceTime: 53 * time.Millisecond, ServiceTimeCV: 0.9, LatencyTarget: 400 * time.Millisecond},
			{Name: "simulacion", Share: 0.2, MeanServiceTime: 87 * time.Millisecond, ServiceTimeCV: 0.9, Keyed: true, LatencyTarget: 750 * time.Millisecond}}},
	}
}

// Capacity returns the number of requests per second that the fleet's cores can process.
func (f *Fleet) Capacity() float64 {
	mean, parts := 0.0, 0.0
	for _, c := range f.Classes {
		mean += c.Share * c.MeanServiceTime.Seconds()
		parts += c.Share
	}
	return float64(f.Workers*f.Cores) / (mean / parts)
}

// requestDeadline is the deadline of every request.
const requestDeadline = 2 * time.Second

// startWorkers starts the fleet's workers in one process and returns the process and the workers' addresses.
func (f *Fleet) startWorkers() (*Process, []string, error) {
	args := []string{"emulate", "worker", "--workers", fmt.Sprint(f.Workers), "--cores", fmt.Sprint(f.Cores), "--queue", "400",
		"--window", (2 * requestDeadline).String(), "--streams", "1000"}
	for _, c := range f.Classes {
		args = append(args, "--service", fmt.Sprintf("%s=%s/%g", c.Name, c.MeanServiceTime, c.ServiceTimeCV))
	}
	process, err := startSelf(nil, args...)
	if err != nil {
		return nil, nil, err
	}
	var addrs []string
	for range f.Workers {
		line, err := process.readLine()
		if err != nil {
			process.stop()
			return nil, nil, err
		}
		addrs = append(addrs, strings.TrimPrefix(line, "worker at "))
	}
	return process, addrs, nil
}

// gatewayConfig returns the HCL configuration of a gateway in front of the given workers.
func (f *Fleet) gatewayConfig(listen, transport string, workers []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"trial\"\nlisten = %q\nlimits {\n  memory_mb = 192\n  sockets = 4096\n}\n", listen)
	b.WriteString("plan \"mayor\" {\n  rate = 1000000\n  burst = 1000000\n  price = 1\n}\n")
	for _, c := range f.Classes {
		repeat := "repeat = \"safe\""
		if c.Keyed {
			repeat = fmt.Sprintf("repeat = \"keyed\"\n  window_ms = %d", (2 * requestDeadline).Milliseconds())
		}
		fmt.Fprintf(&b, "class %q {\n  aim_ms = %d\n  deadline_ms = %d\n  %s\n}\n", c.Name, c.LatencyTarget.Milliseconds(), requestDeadline.Milliseconds(), repeat)
	}
	kind, poolSettings := splitTransport(transport)
	fmt.Fprintf(&b, "pool \"fleet\" {\n  transport = %q\n  idle_ms = 1000\n%s", kind, poolSettings)
	for i, w := range workers {
		fmt.Fprintf(&b, "  worker \"w%d\" {\n    address = %q\n  }\n", i, w)
	}
	b.WriteString("}\n")
	return b.String()
}

// target is a process that is measured: a gateway with one transport, or the baseline.
type target struct {
	name string
	addr string
	*Process
}

// reverseProxyName is the name of the baseline, Go's net/http/httputil.ReverseProxy, in a list of transports.
const reverseProxyName = "ReverseProxy"

// startTargets starts a process for each of the given transports. It returns the started processes also with an error.
func (f *Fleet) startTargets(dir string, transports, workers []string) ([]target, error) {
	var started []target
	for _, name := range transports {
		addr, err := freeAddr()
		if err != nil {
			return started, err
		}
		args := []string{"measure", "proxy", "--listen", addr, "--workers", strings.Join(workers, ",")}
		env := []string{"GOMAXPROCS=2"} // the same as a gateway
		if name != reverseProxyName {
			configFile := filepath.Join(dir, name+".hcl")
			config := f.gatewayConfig(addr, name, workers)
			if captureDir := filepath.Join(dir, captureSuffix); strings.HasSuffix(name, " "+captureSuffix) {
				config += fmt.Sprintf("capture {\n  folder = %q\n  kept_mb = 8192\n}\n", captureDir)
				if err := os.MkdirAll(captureDir, 0o700); err != nil {
					return started, fmt.Errorf("trial: %w", err)
				}
			}
			if err := os.WriteFile(configFile, []byte(config), 0o600); err != nil {
				return started, fmt.Errorf("trial: %w", err)
			}
			args, env = []string{"run", "-c", configFile}, nil
		}
		process, err := startSelf(env, args...)
		if err != nil {
			return started, err
		}
		started = append(started, target{name, addr, process})
		if err := waitReady(addr); err != nil {
			return started, err
		}
	}
	return started, nil
}

// freeAddr returns a loopback address with a port that is not in use.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// waitReady waits until a target answers, for at most 200 tries, 20 ms apart.
func waitReady(addr string) error {
	const tries, pause = 200, 20 * time.Millisecond
	var lastErr error
	for range tries {
		res, err := http.Get("http://" + addr + "/health/ready")
		if lastErr = err; err == nil {
			_ = res.Body.Close()
			return nil
		}
		time.Sleep(pause)
	}
	return fmt.Errorf("trial: %s does not answer GET /health/ready: %w", addr, lastErr)
}

// Options sets what a comparison of transports measures, and for how long.
type Options struct {
	Fleets        []Fleet
	Transports    []string
	LoadFractions []float64     // fractions of the capacity
	Runs          int           // runs of each transport at each load
	RunDuration   time.Duration // length of a run
	WarmUp        time.Duration // part of a run at its start that is not counted
	Seed          uint64        // of the first run's arrivals; each further run adds 1
	Progress      io.Writer     // receives a line for each run
	WorkDir       string        // folder for configurations and files of the targets; empty means a temporary one
}

// CompareTransports compares transports on the same arrivals. The runs are interleaved: each run measures every transport
// once at each load, in turn.
func CompareTransports(ctx context.Context, options Options) (*Table, error) {
	table := &Table{Options: options}
	for _, fleet := range options.Fleets {
		if err := fleet.measure(ctx, options, table); err != nil {
			return table, err
		}
	}
	return table, nil
}

// measure measures all transports with this fleet and adds the results to the table.
func (f *Fleet) measure(ctx context.Context, options Options, table *Table) error {
	dir := options.WorkDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "foxwood-trial"); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
		defer os.RemoveAll(dir)
	}
	workerProcess, workers, err := f.startWorkers()
	if err != nil {
		return err
	}
	defer workerProcess.stop()
	targets, err := f.startTargets(dir, options.Transports, workers)
	defer func() {
		for _, current := range targets {
			current.stop()
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
	warmUp := options
	warmUp.RunDuration, warmUp.WarmUp = time.Second, time.Second/2
	for i := range targets { // warm each process up: first requests are slow
		if _, err := targets[i].measure(ctx, f.loadPlan(warmUp, capacity/2, options.Seed), ports); err != nil {
			return err
		}
	}
	for run := range options.Runs {
		for _, loadFraction := range options.LoadFractions {
			plan := f.loadPlan(options, loadFraction*capacity, options.Seed+uint64(run))
			for i := range targets {
				current := &targets[(i+run)%len(targets)] // rotate, so that each target goes first in some runs
				if ctx.Err() != nil {
					return ctx.Err()
				}
				measured, err := current.measure(ctx, plan, ports)
				if err != nil {
					return err
				}
				table.add(cell{f.Name, loadFraction, current.name}, measured)
				fmt.Fprintf(options.Progress, "%s, run %d of %d, %.0f%%: %s p99.9 %.2f ms\n", f.Name, run+1, options.Runs, loadFraction*100, current.name,
					float64(measured.result.Classes[0].Latency.ValueAtQuantile(99.9))/1000)
			}
		}
	}
	return nil
}

// loadPlan returns the load plan of a run.
func (f *Fleet) loadPlan(options Options, rate float64, seed uint64) load.Plan {
	plan := load.Plan{RatePerSecond: rate, Poisson: true, Duration: options.RunDuration, WarmUp: options.WarmUp, Customers: 20, TariffPlan: "mayor", Seed: seed, BodyBytes: 64}
	for _, c := range f.Classes {
		class := load.Class{Name: c.Name, Weight: c.Share, Method: "GET", Deadline: requestDeadline, Units: 1}
		if c.Keyed {
			class.Method = "POST"
		}
		plan.Classes = append(plan.Classes, class)
	}
	return plan
}

// connectionDrainPause is the pause before each measurement, in which the target before closes its idle connections.
const connectionDrainPause = 800 * time.Millisecond

// measure sends the load of a plan to the target and measures the target's use of resources meanwhile.
func (t *target) measure(ctx context.Context, plan load.Plan, ports map[string]bool) (measurement, error) {
	time.Sleep(connectionDrainPause)
	plan.Targets = []string{t.addr}
	type window struct {
		first       usage
		connections int
		err         error
	}
	observations := make(chan window, 1)
	stop := make(chan struct{})
	go func() {
		var observed window
		defer func() { observations <- observed }()
		time.Sleep(plan.WarmUp)
		if observed.first, observed.err = t.resourceUsage(); observed.err != nil {
			return
		}
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				count, err := countConnections(ports)
				if err != nil {
					observed.err = err
					return
				}
				observed.connections = max(observed.connections, count)
			}
		}
	}()
	result, err := load.Run(ctx, plan)
	close(stop)
	observed := <-observations
	if err != nil {
		return measurement{}, err
	}
	if observed.err != nil {
		return measurement{}, observed.err
	}
	lastUsage, err := t.resourceUsage()
	if err != nil {
		return measurement{}, err
	}
	return measurement{result: result, cpu: lastUsage.cpu - observed.first.cpu, syscalls: lastUsage.syscalls - observed.first.syscalls, connections: observed.connections, rssBytes: lastUsage.rssBytes}, nil
}

// splitTransport splits the name of a transport with settings, for example "batch gather_ms=1 links=1", into the
// transport and lines for the pool's configuration.
func splitTransport(name string) (kind, poolSettings string) {
	words := strings.Fields(name)
	for _, word := range words[1:] {
		if word == captureSuffix { // not a setting of the pool
			continue
		}
		poolSettings += "  " + strings.Replace(word, "=", " = ", 1) + "\n"
	}
	return words[0], poolSettings
}
