package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"foxwood/internal/testing/standin"
)

const (
	readyTimeout      = 60 * time.Second // until all gatekeepers are ready
	readyPollInterval = 200 * time.Millisecond
	trafficDelay      = 10 * time.Second // from the start of the processes to the first request, as in deployments
	usagePollInterval = 2 * time.Second
)

// Options say where and how a scenario is run.
type Options struct {
	ProgramDir     string    // directory of the built programs
	WorkDir        string    // existing directory for settings, disks and logs
	LoopbackPrefix string    // first two octets of the loopback addresses, such as 127.70
	Timeline       io.Writer // receives the timeline; nil discards it
	MaxMemoryBytes int64     // limit in bytes for all processes together, 0 for none; a run that exceeds it is stopped
}

// event is a line of the timeline.
type event struct {
	occurredAt time.Time
	text       string
}

// Run is the execution of a scenario with everything that was recorded about it.
type Run struct {
	scenario   *Scenario
	options    Options
	tenants    []tenant
	ledger     *standin.ExecutionLog
	platform   *platform
	fleet      *fleet
	operator   *operator
	clientPool *clientPool
	rng        *rand.Rand

	mu              sync.Mutex
	events          []event
	forcedExits     []string // processes that did not exit within their termination grace period
	usage           usage
	metrics         programMetrics // read when the traffic ended
	startedAt       time.Time
	endedAt         time.Time
	readBackEdition string   // edition of the configuration that was read back from a registry
	routeFailures   []string // gatekeepers that do not serve the newest route, with the reason
}

// RunScenario starts a deployment, runs the scenario and stops the deployment.
func RunScenario(ctx context.Context, scenario *Scenario, options Options) (*Run, error) {
	run := &Run{scenario: scenario, options: options, tenants: makeTenants(scenario.Size), ledger: standin.NewExecutionLog(), rng: rand.New(rand.NewPCG(scenario.Seed, 1))}
	address := func(octet, n int) string {
		return fmt.Sprintf("%s.%d.%d", options.LoopbackPrefix, octet+n/addressesPerOctet, 1+n%addressesPerOctet)
	}
	run.platform = &platform{addr: net.JoinHostPort(address(platformOctet, 0), fmt.Sprint(portClients)), ledger: run.ledger, slowWorkers: newWorkerSet(), breakers: newWorkerSet(), body: standin.ResponseBody,
		address: func(n int) string { return net.JoinHostPort(address(workersOctet, n), fmt.Sprint(portClients)) }}
	if scenario.VariedAnswers {
		run.platform.body, run.platform.answer = variedBody, drawAnswerForm
	}
	defer run.platform.stop()
	run.fleet = newFleet(options.WorkDir, options.ProgramDir, run.platform.addr, options.LoopbackPrefix, scenario.Size)
	if err := run.bringUp(ctx); err != nil {
		run.fleet.stop()
		return run, err
	}
	defer run.fleet.stop()
	run.play(ctx)
	return run, ctx.Err()
}

// logEvent adds a line to the timeline.
func (r *Run) logEvent(format string, a ...any) {
	entry := event{time.Now(), fmt.Sprintf(format, a...)}
	r.mu.Lock()
	r.events = append(r.events, entry)
	startedAt := r.startedAt
	r.mu.Unlock()
	if r.options.Timeline == nil {
		return
	}
	since := "   start"
	if !startedAt.IsZero() {
		since = fmt.Sprintf("%7.2f s", entry.occurredAt.Sub(startedAt).Seconds())
	}
	fmt.Fprintf(r.options.Timeline, "%s  %s\n", since, entry.text)
}

// bringUp starts the workers, the platform and the fleet, and waits until all gatekeepers are ready.
func (r *Run) bringUp(ctx context.Context) error {
	size := r.scenario.Size
	n := 0
	for i := range requestKinds {
		kind := &requestKinds[i]
		for range int(float64(size.Workers)*kind.workerShare + 0.5) {
			if err := r.platform.addWorker(kind.service, r.fleet.zones[n%len(r.fleet.zones)].name, kind.workTime); err != nil {
				return err
			}
			n++
		}
	}
	if err := r.platform.serve(); err != nil {
		return err
	}
	startedAt := time.Now()
	if err := r.fleet.start(); err != nil {
		return err
	}
	r.logEvent("%d processes started in %.1f s", len(r.fleet.processes()), time.Since(startedAt).Seconds())
	r.operator = newOperator(r.fleet, r.tenants)
	r.clientPool = newClientPool(r.fleet, size, r.tenants)
	r.clientPool.body, r.clientPool.someHTTP10 = r.platform.body, r.scenario.VariedAnswers
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if first := r.operator.changeConfiguration(ctx); first.acknowledgedAt.IsZero() {
		return fmt.Errorf("the first configuration was not acknowledged: %s", first.lastResponse)
	}
	r.logEvent("the first configuration was acknowledged %.1f s behind the start", time.Since(startedAt).Seconds())
	for {
		ready := r.countReady()
		if ready == len(r.fleet.gatekeepers) {
			r.logEvent("all gatekeepers were ready %.1f s behind the start", time.Since(startedAt).Seconds())
			sleep(ctx, trafficDelay-time.Since(startedAt))
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%d of %d gatekeepers were ready within %v", ready, len(r.fleet.gatekeepers), readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
}

// readinessClient asks gatekeepers whether they are ready.
var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// countReady returns how many gatekeepers report that they are ready for clients.
func (r *Run) countReady() (count int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, gatekeeper := range r.fleet.gatekeepers {
		group.Go(func() {
			response, err := readinessClient.Get("http://" + gatekeeper.at(portReadiness) + "/ready")
			if err != nil {
				return
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				mu.Lock()
				count++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return count
}

// play sends traffic and runs the steps, each at its time.
func (r *Run) play(ctx context.Context) {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.mu.Unlock()
	clientCtx, stopClients := context.WithTimeout(ctx, r.scenario.Length())
	defer stopClients()
	var group sync.WaitGroup
	group.Go(func() { r.clientPool.run(clientCtx, r.scenario.Size.RatePerS) })
	group.Go(func() { r.watchUsage(clientCtx, stopClients) })
	for i, step := range r.scenario.Steps {
		rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(i)+2))
		group.Go(func() {
			if sleep(clientCtx, time.Until(r.startedAt.Add(step.Start))) {
				r.runStep(clientCtx, step, rng)
			}
		})
	}
	group.Wait()
	r.mu.Lock()
	r.endedAt = time.Now()
	r.mu.Unlock()
	r.metrics = r.fleet.scrapeMetrics()
	r.clientPool.closeConnections()
	r.verifyConfiguration(ctx)
}

// sleep waits for the duration or until the context ends, and reports whether the duration has passed.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// watchUsage samples the resource usage of the fleet and stops a run that uses more memory than allowed.
func (r *Run) watchUsage(ctx context.Context, endRun func()) {
	for {
		r.usage.sample(r.fleet)
		if r.options.MaxMemoryBytes > 0 && r.usage.memory > r.options.MaxMemoryBytes {
			r.logEvent("the processes hold %d MB, more than they may", r.usage.memory>>20)
			endRun()
		}
		if !sleep(ctx, usagePollInterval) {
			return
		}
	}
}

// pickMachines returns up to count machines in random order.
func pickMachines(rng *rand.Rand, machines []*machine, count int) (picked []*machine) {
	for _, i := range rng.Perm(len(machines))[:min(count, len(machines))] {
		picked = append(picked, machines[i])
	}
	return picked
}

// forEachMachine starts the action on one machine after the other, with a gap in between, and waits until all have
// finished.
func forEachMachine(ctx context.Context, machines []*machine, gap time.Duration, action func(*machine)) {
	var group sync.WaitGroup
	for i, m := range machines {
		if i > 0 && !sleep(ctx, gap) {
			break
		}
		group.Go(func() { action(m) })
	}
	group.Wait()
}

// runStep runs one step.
func (r *Run) runStep(ctx context.Context, step Step, rng *rand.Rand) {
	r.logEvent("%s: %d", step.Action, step.Count)
	defer r.logEvent("%s: over", step.Action)
	gatekeepers, cores := pickMachines(rng, r.fleet.gatekeepers, step.Count), pickMachines(rng, r.fleet.cores, step.Count)
	switch step.Action {
	case RestartGatekeepers:
		forEachMachine(ctx, gatekeepers, step.Interval, r.restartMachine)
	case RestartCores:
		forEachMachine(ctx, cores, step.Interval, r.restartMachine)
	case ReloadGatekeepers:
		forEachMachine(ctx, gatekeepers, step.Interval, func(m *machine) { signalMachine(m, syscall.SIGHUP) })
	case KillGatekeepers:
		forEachMachine(ctx, gatekeepers, step.Interval, killMachine)
	case KillCores:
		forEachMachine(ctx, cores, step.Interval, killMachine)
	case KillAllCores:
		forEachMachine(ctx, r.fleet.cores, 0, killMachine)
	case KillAll:
		forEachMachine(ctx, append(append([]*machine{}, r.fleet.cores...), r.fleet.gatekeepers...), 0, killMachine)
	case FreezeGatekeepers:
		forEachMachine(ctx, gatekeepers, step.Interval, func(m *machine) { freezeMachine(ctx, m, step.Duration) })
	case FreezeCores:
		forEachMachine(ctx, cores, step.Interval, func(m *machine) { freezeMachine(ctx, m, step.Duration) })
	case ChangeConfiguration:
		for range step.Count {
			r.logOperation(r.operator.changeConfiguration(ctx))
			sleep(ctx, step.Interval)
		}
	case EvacuateZone:
		zone := r.fleet.zones[rng.IntN(len(r.fleet.zones))].name
		r.logOperation(r.operator.evacuate(ctx, zone, false))
		sleep(ctx, step.Duration)
		r.logOperation(r.operator.evacuate(context.WithoutCancel(ctx), zone, true))
	default:
		r.runWorkerStep(ctx, step, rng)
	}
}

// runWorkerStep runs a step that affects workers.
func (r *Run) runWorkerStep(ctx context.Context, step Step, rng *rand.Rand) {
	var group sync.WaitGroup
	for _, worker := range r.platform.pickWorkers(rng, step.Count) {
		group.Go(func() {
			var err error
			switch step.Action {
			case CloseWorkers:
				err = r.platform.replaceWorker(worker)
			case CrashWorkers:
				err = r.platform.crashWorker(worker, step.Duration)
			case SlowWorkers:
				r.platform.slowWorkers.set(worker.Worker, true)
				sleep(ctx, step.Duration)
				r.platform.slowWorkers.set(worker.Worker, false)
			case BreakAnswers:
				r.platform.breakers.set(worker.Worker, true)
				sleep(ctx, step.Duration)
				r.platform.breakers.set(worker.Worker, false)
			}
			if err != nil {
				r.logEvent("a worker: %v", err)
			}
		})
		sleep(ctx, step.Interval)
	}
	group.Wait()
}

// signalMachine sends a signal to all processes of a machine.
func signalMachine(m *machine, sig syscall.Signal) {
	for _, p := range m.processes {
		p.signal(sig)
	}
}

// killMachine kills all processes of a machine.
func killMachine(m *machine) { signalMachine(m, syscall.SIGKILL) }

// freezeMachine stops all processes of a machine and lets them continue after the duration.
func freezeMachine(ctx context.Context, m *machine, duration time.Duration) {
	signalMachine(m, syscall.SIGSTOP)
	sleep(ctx, duration)
	signalMachine(m, syscall.SIGCONT)
}

// restartMachine terminates all processes of a machine gracefully; each is started again after it has exited.
func (r *Run) restartMachine(m *machine) {
	var group sync.WaitGroup
	for _, p := range m.processes {
		group.Go(func() {
			if p.terminate() {
				r.mu.Lock()
				r.forcedExits = append(r.forcedExits, fmt.Sprintf("%s of %s", p.program, m.name))
				r.mu.Unlock()
			}
		})
	}
	group.Wait()
}

// logOperation adds the result of an operation to the timeline.
func (r *Run) logOperation(op *operation) {
	if op.acknowledgedAt.IsZero() {
		r.logEvent("%s: not acknowledged after %d calls: %s", op.description, op.calls, op.lastResponse)
		return
	}
	r.logEvent("%s: acknowledged after %.2f s and %d calls", op.description, op.acknowledgedAt.Sub(op.sentAt).Seconds(), op.calls)
}

// verifyConfiguration reads the newest configuration back and checks that each gatekeeper serves its newest route.
func (r *Run) verifyConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	edition, err := r.operator.readEdition(ctx)
	if err != nil {
		edition = "none: " + err.Error()
	}
	r.readBackEdition = edition
	var group sync.WaitGroup
	for _, gatekeeper := range r.fleet.gatekeepers {
		group.Go(func() { r.checkNewestRoute(ctx, gatekeeper) })
	}
	group.Wait()
}

// checkNewestRoute sends a request for the most recently acknowledged route to a gatekeeper.
func (r *Run) checkNewestRoute(ctx context.Context, gatekeeper *machine) {
	addFailure := func(text string) {
		r.mu.Lock()
		r.routeFailures = append(r.routeFailures, gatekeeper.name+": "+text)
		r.mu.Unlock()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gatekeeper.at(portClients)+addedPrefix(r.operator.acknowledgedEdition)+"x", nil)
	if err != nil {
		addFailure(err.Error())
		return
	}
	request.Host = domain
	request.Header.Set("X-Foxwood-Try-Id", "newest-"+gatekeeper.name)
	request.Header.Set("Authorization", "Bearer "+r.tenants[0].key)
	response, err := routeClient.Do(request)
	if err != nil {
		addFailure(err.Error())
		return
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		addFailure("404")
	}
}

// routeClient requests the newest route; its timeout is longer than the deadline of that route.
var routeClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// KeepLogs copies the logs of the processes to a directory, which it creates if necessary.
func (r *Run) KeepLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	logs, err := filepath.Glob(filepath.Join(r.options.WorkDir, "*.log"))
	if err != nil {
		return err
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(path)), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
