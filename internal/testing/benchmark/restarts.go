package benchmark

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// Restarts measures, in simulated time, the first 10 s of a gateway that is restarted after a kill, cold or warm (from
// its capture): units sent beyond the ceiling and the quota, counted across the restart, and units
// refused although the quota had them.
type Restarts struct {
	Count      int     // number of simulated restarts
	Seed       uint64  // of the customers' requests
	DowntimeMs float64 // milliseconds between the kill and the restart
}

// restartResult is the result of one restart, in units of the quota.
type restartResult struct {
	overCeiling    float64 // greatest number beyond the ceiling at one moment
	overQuota      float64 // sent although the quota did not have them
	wronglyRefused float64 // refused although the quota had them
	askedUnits     float64 // asked for
}

const (
	measuredMs = 10000.0 // measured time after the restart
	simStepMs  = 1.0     // step of the simulated clock
	simStartMs = 1.7e12  // simulated Unix time at the start
)

// simSettings returns the settings of a single gateway with one plan that has a quota and a ceiling.
func simSettings() policy.Settings {
	return policy.Settings{GatewayCount: 1, ClockTick: 4000, MaxAttempts: 2, CanCancel: true, SendRetryAfter: true, MaxUnits: 3,
		Classes: []policy.Class{{LatencyTarget: 400e3, Deadline: 2e6, Value: 1}},
		Plans:   []policy.Plan{{Rate: 19, Burst: 28, Price: 1, OverrunCost: 1, CeilingRate: 35, CeilingBurst: 53, CeilingTolerance: 6}}}
}

// simWorkers returns three workers that are ready.
func simWorkers() []policy.Entry {
	return []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}, {Server: 3, State: policy.Ready}}
}

// noopEnvironment implements the gateway's fleet, counter and caller and ignores all calls.
type noopEnvironment struct{}

// Abandon agrees to abandon any execution.
func (noopEnvironment) Abandon(*gatekeeper.Execution) gatekeeper.SendProgress {
	return gatekeeper.SentAll
}

// Release does nothing.
func (noopEnvironment) Release(policy.Server) {}

// Add never answers a call of the counter.
func (noopEnvironment) Add(*gatekeeper.CounterCall) {}

// Served ignores an answer.
func (noopEnvironment) Served(*gatekeeper.Request, gatekeeper.Answer) {}

// Failed ignores a failure.
func (noopEnvironment) Failed(*gatekeeper.Request) {}

// Throttled ignores a refusal.
func (noopEnvironment) Throttled(*gatekeeper.Request, float64) {}

// askedRates holds the units per second that each customer asks for, against a quota of 19: one asks for 7.1 times
// its quota, the others stay within theirs.
var askedRates = [...]float64{7.1 * 19, 15, 15, 10, 5}

// tokenBucket is a token bucket with the true state of a quota or a ceiling. Units that a quota could have given are
// taken out whether the gateway sent them or refused them, so that each can be refused wrongly only once.
type tokenBucket struct{ rate, burst, tokens, updatedAt float64 }

// refill refills the bucket up to a time, given in milliseconds.
func (l *tokenBucket) refill(at float64) {
	l.tokens = min(l.tokens+l.rate*(at-l.updatedAt)/1000, l.burst)
	l.updatedAt = at
}

// take takes units out if the bucket holds them, and reports whether it did.
func (l *tokenBucket) take(at, units float64) bool {
	if l.refill(at); l.tokens < units {
		return false
	}
	l.tokens -= units
	return true
}

// restartSim simulates the environment of a gateway before and after its restart.
type restartSim struct {
	noopEnvironment
	gateway   *gatekeeper.Gatekeeper
	clock     *gatekeeper.Clock
	random    *rand.Rand
	quotas    [len(askedRates)]tokenBucket
	ceilings  [len(askedRates)]tokenBucket
	pending   []pendingExecution
	measuring bool // whether the measured time has begun
	result    restartResult
}

// pendingExecution is an execution without an answer yet.
type pendingExecution struct {
	execution *gatekeeper.Execution
	doneAtMs  float64
}

// Execute simulates a request sent to a worker, and measures what it takes from quota and ceiling.
func (w *restartSim) Execute(execution *gatekeeper.Execution) {
	customer := execution.Request.Customer
	ceiling := &w.ceilings[customer]
	if !w.quotas[customer].take(w.clock.Now(), execution.Request.EstimatedUnits) && w.measuring {
		w.result.overQuota += execution.Request.EstimatedUnits
	}
	ceiling.refill(w.clock.Now())
	if ceiling.tokens -= execution.Request.EstimatedUnits; ceiling.tokens < 0 && w.measuring {
		w.result.overCeiling = max(w.result.overCeiling, -ceiling.tokens)
	}
	w.pending = append(w.pending, pendingExecution{execution, w.clock.Now() + 20 + 20*w.random.ExpFloat64()})
}

// Throttled counts the units of a refused request if its quota had them.
func (w *restartSim) Throttled(refused *gatekeeper.Request, _ float64) {
	if w.quotas[refused.Customer].take(w.clock.Now(), refused.EstimatedUnits) && w.measuring {
		w.result.wronglyRefused += refused.EstimatedUnits
	}
}

// startGateway starts a gateway, from an earlier state if one is given.
func (w *restartSim) startGateway(recorder gatekeeper.Recorder, earlier *gatekeeper.PreviousProcess, seed uint64) {
	w.pending = nil
	w.gateway = gatekeeper.New(gatekeeper.Config{Settings: simSettings(), Seed: seed, Clock: w.clock, Workers: w, Counter: w,
		RequestWakeUp: func(float64) {}, Recorder: recorder, Previous: earlier})
	w.gateway.UpdateWorkers(policy.FullList, simWorkers())
}

// runFor simulates the given number of milliseconds.
func (w *restartSim) runFor(ms float64) {
	for end := w.clock.Now() + ms; w.clock.Now() < end; {
		w.clock.Set(w.clock.Now() + simStepMs)
		w.gateway.RunDueTimers()
		slices.SortStableFunc(w.pending, func(a, b pendingExecution) int { return cmp.Compare(a.doneAtMs, b.doneAtMs) })
		for len(w.pending) > 0 && w.pending[0].doneAtMs <= w.clock.Now() {
			execution := w.pending[0].execution
			w.pending = w.pending[1:]
			w.gateway.ExecutionEnded(execution, gatekeeper.Outcome{Status: policy.OK})
		}
		for i, rate := range askedRates {
			units := 1 + 2*w.random.Float64()
			if w.random.Float64() < rate/2*simStepMs/1000 {
				if w.measuring {
					w.result.askedUnits += units
				}
				w.gateway.Submit(&gatekeeper.Request{Customer: uint64(i), TimeLeft: 2000, EstimatedUnits: units, GatekeeperCount: 1, Responder: w})
			}
		}
	}
}

// startMode tells how the measured time begins.
type startMode int

const (
	startCold   startMode = iota // restart without any state
	startWarm                    // restart with the state from the capture of the killed gateway
	neverKilled                  // no kill; the reference, because even a gateway with full knowledge errs sometimes
)

// String returns the name used in the table.
func (b startMode) String() string { return [...]string{"cold", "warm", "not killed"}[b] }

// simulate simulates a gateway, its kill, and the first seconds after its restart.
func (o *Restarts) simulate(seed uint64, mode startMode) (restartResult, error) {
	folder, err := os.MkdirTemp("", "foxwood-trial")
	if err != nil {
		return restartResult{}, fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(folder)
	sim := &restartSim{clock: gatekeeper.NewClock(), random: rand.New(rand.NewPCG(seed, o.Seed))}
	sim.clock.Set(simStartMs)
	for i := range askedRates {
		sim.quotas[i] = tokenBucket{19, 28, 28, simStartMs}
		sim.ceilings[i] = tokenBucket{35, 53, 53, simStartMs}
	}
	recorder, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n", RunID: seed + 1, CheckpointEvery: 2 * time.Second})
	if err != nil {
		return restartResult{}, err
	}
	sim.startGateway(recorder, nil, seed)
	sim.runFor(4000 + 8000*sim.random.Float64())
	if mode == neverKilled {
		sim.measuring = true
		sim.runFor(measuredMs)
		recorder.Close()
		return sim.result, nil
	}
	recorder.Close()
	var earlier *gatekeeper.PreviousProcess
	if mode == startWarm {
		if earlier, err = restoreAfterKill(folder); err != nil {
			return restartResult{}, err
		}
	}
	sim.clock.Set(sim.clock.Now() + o.DowntimeMs)
	sim.measuring = true
	sim.startGateway(nil, earlier, seed+1)
	sim.runFor(measuredMs)
	return sim.result, nil
}

// restoreAfterKill cuts off the last block of a capture, as a kill does, and returns the state restored from the rest.
func restoreAfterKill(folder string) (*gatekeeper.PreviousProcess, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.fcap"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("trial: expected capture files (*.fcap), found none: %w", err)
	}
	last := files[len(files)-1]
	index, err := capture.ReadIndex(last)
	if err != nil {
		return nil, err
	}
	offsets := index.Offsets()
	if err := os.Truncate(last, offsets[len(offsets)-1]+1); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	segments, err := capture.FindSegments(folder)
	if err != nil {
		return nil, err
	}
	key := capture.Key{}
	records := capture.NewMultiReader(segments, &key)
	defer records.Close()
	report, err := replay.Run(records, &key, replay.Options{})
	if err != nil {
		return nil, err
	}
	gateway, ok := report.Module.(*policy.Gateway)
	if !ok || report.Complete {
		return nil, fmt.Errorf("trial: expected the replay of a gateway whose capture was cut off, got %T, capture complete %v: %v", report.Module, report.Complete, report.Notes)
	}
	return &gatekeeper.PreviousProcess{State: gateway.Snapshot()}, nil
}

// Write simulates all restarts and writes the results as a Markdown table.
func (o *Restarts) Write(out io.Writer) error {
	fmt.Fprintf(out, `
### The first 10 s after a kill

%d simulated restarts, %.0f ms after the kill, one customer asking for 7.1 times its quota of 19 units a second and four
within theirs; a ceiling of 35 a second over 53 units, with a slack of 6. The capture's last block is lost, as a kill has it.

| start | over the ceiling, units: median | worst | sent beyond the quota, %% of what was asked: median | p99 | refused though the quota had them, %%: median | p99 |
| --- | ---: | ---: | ---: | ---: | ---: | ---: |
`, o.Count, o.DowntimeMs)
	for _, mode := range []startMode{startCold, startWarm, neverKilled} {
		var overCeiling, overQuota, refused []float64
		for i := range o.Count {
			result, err := o.simulate(uint64(i), mode)
			if err != nil {
				return err
			}
			onePercent := max(result.askedUnits, 1) / 100
			overCeiling, overQuota, refused = append(overCeiling, result.overCeiling), append(overQuota, result.overQuota/onePercent), append(refused, result.wronglyRefused/onePercent)
		}
		if _, err := fmt.Fprintf(out, "| %v | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", mode, quantile(overCeiling, 0.5), quantile(overCeiling, 1),
			quantile(overQuota, 0.5), quantile(overQuota, 0.99), quantile(refused, 0.5), quantile(refused, 0.99)); err != nil {
			return err
		}
	}
	return nil
}

// quantile sorts the values and returns the q-quantile.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
