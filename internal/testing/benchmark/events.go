package benchmark

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// CaptureOverhead measures the cost of writing a capture to the gateway's event loop alone, in simulated time and without
// a network. On a shared machine the CPU time of whole processes varies more from run to run than a
// capture costs.
type CaptureOverhead struct {
	Runs          int    // runs with and runs without a capture, interleaved
	Requests      int    // requests of a run
	LargeRequests int    // requests in the large capture, from which some are explained
	Seed          uint64 // of the first run; each further run adds 1
}

const (
	requestsPerSecond = 500.0 // requests per simulated second
	answerMs          = 25.0  // simulated time until an answer
	customerCount     = 500
)

// loopBench is a gateway in front of simulated workers that answer each request after the same time.
type loopBench struct {
	noopEnvironment
	gateway   *gatekeeper.Gatekeeper
	clock     *gatekeeper.Clock
	callTimes *hdrhistogram.Histogram // duration of a call into the gateway, in nanoseconds
	pending   []pendingExecution      // executions without an answer yet, in the order of their answers
}

// Execute schedules the answer to a request.
func (b *loopBench) Execute(execution *gatekeeper.Execution) {
	b.pending = append(b.pending, pendingExecution{execution, b.clock.Now() + answerMs})
}

// timeCall runs a call into the gateway and records its duration.
func (b *loopBench) timeCall(call func()) {
	began := time.Now()
	call()
	_ = b.callTimes.RecordValue(time.Since(began).Nanoseconds())
}

// run sends n requests through the gateway and returns the CPU time that the process used for them.
func (b *loopBench) run(recorder gatekeeper.Recorder, n int, seed uint64) (time.Duration, error) {
	b.callTimes = hdrhistogram.New(1, int64(time.Second), 3)
	b.clock = gatekeeper.NewClock()
	random := rand.New(rand.NewPCG(seed, 1))
	b.clock.Set(simStartMs)
	settings := simSettings()
	settings.Plans[0].Rate, settings.Plans[0].Burst, settings.Plans[0].CeilingRate = requestsPerSecond, requestsPerSecond, 0
	before, err := processCPUTime()
	if err != nil {
		return 0, err
	}
	b.gateway = gatekeeper.New(gatekeeper.Config{Settings: settings, Seed: seed, Clock: b.clock, Workers: b, Counter: b,
		RequestWakeUp: func(float64) {}, Recorder: recorder})
	b.gateway.UpdateWorkers(policy.FullList, simWorkers())
	for atMs, i := simStartMs, 0; i < n; i++ {
		atMs += 1000 / requestsPerSecond * random.ExpFloat64()
		for len(b.pending) > 0 && b.pending[0].doneAtMs <= atMs {
			answered := b.pending[0]
			b.pending = b.pending[1:]
			b.clock.Set(answered.doneAtMs)
			b.timeCall(func() {
				b.gateway.RunDueTimers()
				b.gateway.ExecutionEnded(answered.execution, gatekeeper.Outcome{Status: policy.OK})
			})
		}
		b.clock.Set(atMs)
		request := &gatekeeper.Request{Name: requestName(i), Customer: random.Uint64N(customerCount), TimeLeft: 2000, EstimatedUnits: 1, GatekeeperCount: 1, Responder: b}
		b.timeCall(func() { b.gateway.RunDueTimers(); b.gateway.Submit(request) })
	}
	after, err := processCPUTime()
	return after - before, err
}

// requestName returns the name of the i-th request.
func requestName(i int) string { return fmt.Sprintf("%016x", i+1) }

// processCPUTime returns the CPU time that this process has used so far.
func processCPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Write measures the cost of a capture, and then the use of a large capture, and writes the results as Markdown.
func (o *CaptureOverhead) Write(out io.Writer) error {
	dir, err := os.MkdirTemp("", "foxwood-trial")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	records := uint64(0)
	runCaptured := func(folder string, n int, seed uint64) (*loopBench, time.Duration, error) {
		writer, err := capture.NewWriter(capture.WriterOptions{WaitForDisk: true, Folder: folder, Name: "n", RunID: seed + 1, MaxTotalBytes: 8 << 30})
		if err != nil {
			return nil, 0, err
		}
		var benchWith loopBench
		cpuTime, err := benchWith.run(writer, n, seed)
		writer.Close()
		records = writer.Stats.Records.Load()
		return &benchWith, cpuTime, err
	}
	var withoutNs, withNs, withoutCallNs, withCallNs []float64
	for i := range o.Runs {
		seed := o.Seed + uint64(i)
		var benchWithout loopBench
		cpuTime, err := benchWithout.run(nil, o.Requests, seed)
		if err != nil {
			return err
		}
		withoutNs, withoutCallNs = append(withoutNs, float64(cpuTime.Nanoseconds())), append(withoutCallNs, float64(benchWithout.callTimes.ValueAtQuantile(99.9)))
		folder := filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
		benchWith, cpuTime, err := runCaptured(folder, o.Requests, seed)
		if err != nil {
			return err
		}
		withNs, withCallNs = append(withNs, float64(cpuTime.Nanoseconds())), append(withCallNs, float64(benchWith.callTimes.ValueAtQuantile(99.9)))
	}
	requestCount, recordCount := float64(o.Requests), float64(records)
	medianWithoutNs, medianWithNs := quantile(withoutNs, 0.5), quantile(withNs, 0.5)
	fmt.Fprintf(out, `
### The core alone, with and without a capture

%d interleaved runs each of %d requests at %.0f a second of simulated time, of %d customers; medians, ± the distance of the
quartiles. The capture's compressing and writing are counted.

| figure | without | with |
| --- | ---: | ---: |
| CPU µs a request | %.2f ± %.2f | %.2f ± %.2f |
| p99.9 of a turn of the loop, µs | %.1f | %.1f |
| CPU ns an event captured | | %.0f |
`, o.Runs, o.Requests, requestsPerSecond, customerCount, medianWithoutNs/requestCount/1e3, (quantile(withoutNs, 0.75)-quantile(withoutNs, 0.25))/requestCount/1e3,
		medianWithNs/requestCount/1e3, (quantile(withNs, 0.75)-quantile(withNs, 0.25))/requestCount/1e3, quantile(withoutCallNs, 0.5)/1e3, quantile(withCallNs, 0.5)/1e3, (medianWithNs-medianWithoutNs)/recordCount)
	return o.measureLargeCapture(out, dir, runCaptured)
}

// measureLargeCapture writes a large capture and measures how long it takes to explain single requests from it, found
// by index and checkpoint, and to replay all of it.
func (o *CaptureOverhead) measureLargeCapture(out io.Writer, dir string, runCaptured func(string, int, uint64) (*loopBench, time.Duration, error)) error {
	folder := filepath.Join(dir, "large")
	if err := os.Mkdir(folder, 0o700); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	if _, _, err := runCaptured(folder, o.LargeRequests, o.Seed); err != nil {
		return err
	}
	segments, err := capture.FindSegments(folder)
	if err != nil {
		return err
	}
	key := capture.Key{}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	var explainSeconds []float64
	for range 9 {
		name := requestName(random.IntN(o.LargeRequests))
		began := time.Now()
		explainSet := capture.NewMultiReader(segments, &key)
		if p, ok := capture.LocateRequest(segments, name); ok {
			explainSet.StartAt(p)
		}
		err := replay.Explain(io.Discard, explainSet, &key, name)
		explainSet.Close()
		if err != nil {
			return err
		}
		explainSeconds = append(explainSeconds, time.Since(began).Seconds())
	}
	replaySet := capture.NewMultiReader(segments, &key)
	defer replaySet.Close()
	began := time.Now()
	report, err := replay.Run(replaySet, &key, replay.Options{})
	if err != nil {
		return err
	}
	replaySeconds := time.Since(began).Seconds()
	_, err = fmt.Fprintf(out, `
### A capture of %.1f million events

| figure | value |
| --- | ---: |
| size, MB in segments | %.0f in %d |
| explaining a request, s: median, longest of %d | %.2f, %.2f |
| replayed: events a second, times real time | %.0f, %.0f |
| differences | %d |
`, float64(replaySet.Records())/1e6, float64(totalSize(segments))/1e6, len(segments), len(explainSeconds), quantile(explainSeconds, 0.5), slices.Max(explainSeconds),
		float64(replaySet.Records())/replaySeconds, float64(report.Last-report.First)/1e6/replaySeconds, len(report.Differences))
	return err
}
