package trial

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

// Events measures what keeping a capture costs the core itself, in simulated time and
// without any network: a process's CPU on a machine that is shared differs more from run to
// run than a capture costs.
type Events struct {
	Runs     int // of each, interleaved
	Requests int // of a run
	Large    int // requests of the capture that one is explained from
	Seed     uint64
}

const (
	busyRate      = 500.0 // requests a second, simulated
	busyTakes     = 25.0  // milliseconds until an answer
	busyCustomers = 500
)

// busy is a core before workers that answer everything after the same time.
type busy struct {
	quiet
	core   *gatekeeper.Gatekeeper
	clock  *gatekeeper.Clock
	turns  *hdrhistogram.Histogram // nanoseconds of a call of the core
	answer []leg                   // in the order of their answers
}

func (b *busy) Execute(x *gatekeeper.Execution) {
	b.answer = append(b.answer, leg{x, b.clock.Now() + busyTakes})
}

func (b *busy) turn(call func()) {
	began := time.Now()
	call()
	_ = b.turns.RecordValue(time.Since(began).Nanoseconds())
}

// play takes n requests and returns the CPU that the process has spent on them.
func (b *busy) play(rec gatekeeper.Recorder, n int, seed uint64) (time.Duration, error) {
	b.turns = hdrhistogram.New(1, int64(time.Second), 3)
	b.clock = gatekeeper.NewClock()
	random := rand.New(rand.NewPCG(seed, 1))
	b.clock.Set(simStart)
	set := simSettings()
	set.Plans[0].Rate, set.Plans[0].Burst, set.Plans[0].CeilingRate = busyRate, busyRate, 0
	before, err := cpu()
	if err != nil {
		return 0, err
	}
	b.core = gatekeeper.New(gatekeeper.Config{Settings: set, Seed: seed, Clock: b.clock, Fleet: b, Counter: b,
		Wake: func(float64) {}, Recorder: rec})
	b.core.Workers(policy.FullList, simWorkers())
	for at, i := simStart, 0; i < n; i++ {
		at += 1000 / busyRate * random.ExpFloat64()
		for len(b.answer) > 0 && b.answer[0].at <= at {
			x := b.answer[0]
			b.answer = b.answer[1:]
			b.clock.Set(x.at)
			b.turn(func() { b.core.Advance(); b.core.Done(x.x, gatekeeper.Outcome{Status: policy.OK}) })
		}
		b.clock.Set(at)
		q := &gatekeeper.Request{Name: eventName(i), Customer: random.Uint64N(busyCustomers), Left: 2000, Units: 1, Spread: 1, Caller: b}
		b.turn(func() { b.core.Advance(); b.core.Take(q) })
	}
	after, err := cpu()
	return after - before, err
}

func eventName(i int) string { return fmt.Sprintf("%016x", i+1) }

// cpu is what this process has used.
func cpu() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("trial: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// Write measures and prints the table.
func (o *Events) Write(to io.Writer) error {
	dir, err := os.MkdirTemp("", "foxwood-trial")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	records := uint64(0)
	captured := func(folder string, n int, seed uint64) (*busy, time.Duration, error) {
		w, err := capture.NewWriter(capture.Options{Patient: true, Folder: folder, Name: "n", Life: seed + 1, KeptMost: 8 << 30})
		if err != nil {
			return nil, 0, err
		}
		var b busy
		spent, err := b.play(w, n, seed)
		w.Close()
		records = w.Stats.Records.Load()
		return &b, spent, err
	}
	var off, on, offTurn, onTurn []float64
	for i := range o.Runs {
		seed := o.Seed + uint64(i)
		var plain busy
		spent, err := plain.play(nil, o.Requests, seed)
		if err != nil {
			return err
		}
		off, offTurn = append(off, float64(spent.Nanoseconds())), append(offTurn, float64(plain.turns.ValueAtQuantile(99.9)))
		folder := filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
		b, spent, err := captured(folder, o.Requests, seed)
		if err != nil {
			return err
		}
		on, onTurn = append(on, float64(spent.Nanoseconds())), append(onTurn, float64(b.turns.ValueAtQuantile(99.9)))
	}
	n, each := float64(o.Requests), float64(records)
	without, with := quantile(off, 0.5), quantile(on, 0.5)
	fmt.Fprintf(to, `
### The core alone, with and without a capture

%d interleaved runs each of %d requests at %.0f a second of simulated time, of %d customers; medians, ± the distance of the
quartiles. The capture's compressing and writing are counted.

| figure | without | with |
| --- | ---: | ---: |
| CPU µs a request | %.2f ± %.2f | %.2f ± %.2f |
| p99.9 of a turn of the loop, µs | %.1f | %.1f |
| CPU ns an event captured | | %.0f |
`, o.Runs, o.Requests, busyRate, busyCustomers, without/n/1e3, (quantile(off, 0.75)-quantile(off, 0.25))/n/1e3,
		with/n/1e3, (quantile(on, 0.75)-quantile(on, 0.25))/n/1e3, quantile(offTurn, 0.5)/1e3, quantile(onTurn, 0.5)/1e3, (with-without)/each)
	return o.explain(to, dir, captured)
}

// explain makes a large capture and has requests of it explained, by index and checkpoint.
func (o *Events) explain(to io.Writer, dir string, captured func(string, int, uint64) (*busy, time.Duration, error)) error {
	folder := filepath.Join(dir, "large")
	if err := os.Mkdir(folder, 0o700); err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	if _, _, err := captured(folder, o.Large, o.Seed); err != nil {
		return err
	}
	segments, err := capture.Find(folder)
	if err != nil {
		return err
	}
	key := capture.Key{}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	var took []float64
	for range 9 {
		name := eventName(random.IntN(o.Large))
		began := time.Now()
		set := capture.NewSet(segments, &key)
		if p, ok := capture.Locate(segments, name); ok {
			set.Skip(p)
		}
		err := replay.Explain(io.Discard, set, &key, name)
		set.Close()
		if err != nil {
			return err
		}
		took = append(took, time.Since(began).Seconds())
	}
	whole := capture.NewSet(segments, &key)
	defer whole.Close()
	began := time.Now()
	report, err := replay.Run(whole, &key, replay.Options{})
	if err != nil {
		return err
	}
	span := time.Since(began).Seconds()
	_, err = fmt.Fprintf(to, `
### A capture of %.1f million events

| figure | value |
| --- | ---: |
| size, MB in segments | %.0f in %d |
| explaining a request, s: median, longest of %d | %.2f, %.2f |
| replayed: events a second, times real time | %.0f, %.0f |
| differences | %d |
`, float64(whole.Records())/1e6, float64(bytesOf(segments))/1e6, len(segments), len(took), quantile(took, 0.5), slices.Max(took),
		float64(whole.Records())/span, float64(report.Last-report.First)/1e6/span, len(report.Differences))
	return err
}
