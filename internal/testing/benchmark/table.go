package benchmark

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"foxwood/internal/testing/load"
)

// cell identifies what was measured: a transport, with a fleet and a load.
type cell struct {
	fleet        string
	loadFraction float64 // load, as a fraction of the capacity
	transport    string
}

// measurement is the measurement of one run of one target.
type measurement struct {
	result      *load.Result
	cpu         time.Duration
	syscalls    int64 // read and write system calls
	connections int   // greatest number of connections to workers
	rssBytes    int64 // resident memory at the end
}

// requestCount returns the number of requests counted.
func (o *measurement) requestCount() int {
	count := 0
	for _, c := range o.result.Classes {
		for _, outcomeCount := range c.Outcomes {
			count += outcomeCount
		}
	}
	return count
}

// Table is the result of a comparison of transports.
type Table struct {
	Options Options
	order   []cell // in the order of the first measurement
	runs    map[cell][]measurement
}

// add adds the measurement of a run.
func (t *Table) add(at cell, run measurement) {
	if t.runs == nil {
		t.runs = map[cell][]measurement{}
	}
	if _, ok := t.runs[at]; !ok {
		t.order = append(t.order, at)
	}
	t.runs[at] = append(t.runs[at], run)
}

// medianAndSpread returns the median of a figure over the runs and the distance of its quartiles.
func medianAndSpread(runs []measurement, figure func(*measurement) float64) (median, spread float64) {
	values := make([]float64, len(runs))
	for i := range runs {
		values[i] = figure(&runs[i])
	}
	slices.Sort(values)
	quantileAt := func(q float64) float64 {
		position := q * float64(len(values)-1)
		i := int(position)
		if i+1 >= len(values) {
			return values[len(values)-1]
		}
		return values[i] + (position-float64(i))*(values[i+1]-values[i])
	}
	return quantileAt(0.5), quantileAt(0.75) - quantileAt(0.25)
}

// Write writes the table as Markdown.
func (t *Table) Write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Made by `foxwood measure transports`, %d interleaved runs of %v (the first %v not counted), seed %d, on a\n"+
		"machine of %d cores that also held the emulated workers and the load's sender. Latency is of served requests\n"+
		"from the intended send time, in ms.\n"+
		"Each figure is the median over the runs; behind ± is the distance of the quartiles. The worst run's p99.9 stands apart.\n",
		t.Options.Runs, t.Options.RunDuration, t.Options.WarmUp, t.Options.Seed, runtime.NumCPU())
	for _, fleet := range t.Options.Fleets {
		for _, loadFraction := range t.Options.LoadFractions {
			fmt.Fprintf(&b, "\n### %s service times, %.0f%% of capacity (%.0f requests a second)\n\n", fleet.Name, loadFraction*100, loadFraction*fleet.Capacity())
			b.WriteString("| transport | cuota p50 | p99 | p99.9 | worst | simulacion p99.9 | served % | links | CPU µs a request | calls a request | MB | sender p99.9 late, behind |\n")
			b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
			for _, name := range t.Options.Transports {
				t.writeRow(&b, name, t.runs[cell{fleet.Name, loadFraction, name}])
			}
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// writeRow writes the line of a transport.
func (t *Table) writeRow(b *strings.Builder, name string, runs []measurement) {
	if len(runs) == 0 {
		return
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	latency := func(class int, q float64) func(*measurement) float64 {
		return func(run *measurement) float64 { return ms(run.result.Classes[class].Latency.ValueAtQuantile(q)) }
	}
	p50, _ := medianAndSpread(runs, latency(0, 50))
	p99, _ := medianAndSpread(runs, latency(0, 99))
	p999, p999Spread := medianAndSpread(runs, latency(0, 99.9))
	otherP999, _ := medianAndSpread(runs, latency(1, 99.9))
	worst := 0.0
	for i := range runs {
		worst = max(worst, latency(0, 99.9)(&runs[i]))
	}
	served, _ := medianAndSpread(runs, func(run *measurement) float64 {
		servedCount := 0
		for _, c := range run.result.Classes {
			servedCount += c.Outcomes[load.Served]
		}
		return 100 * float64(servedCount) / float64(max(run.requestCount(), 1))
	})
	connections, _ := medianAndSpread(runs, func(run *measurement) float64 { return float64(run.connections) })
	cpu, cpuSpread := medianAndSpread(runs, func(run *measurement) float64 {
		return float64(run.cpu.Microseconds()) / float64(max(run.requestCount(), 1))
	})
	syscalls, _ := medianAndSpread(runs, func(run *measurement) float64 { return float64(run.syscalls) / float64(max(run.requestCount(), 1)) })
	rss, _ := medianAndSpread(runs, func(run *measurement) float64 { return float64(run.rssBytes) / (1 << 20) })
	behind := 0
	for _, r := range runs {
		if r.result.FellBehind {
			behind++
		}
	}
	senderLag, _ := medianAndSpread(runs, func(run *measurement) float64 { return ms(run.result.SendLag.ValueAtQuantile(99.9)) })
	fmt.Fprintf(b, "| %s | %.2f | %.2f | %.2f ± %.2f | %.2f | %.2f | %.2f | %.0f | %.0f ± %.0f | %.2f | %.0f | %.2f, %d of %d |\n", name,
		p50, p99, p999, p999Spread, worst, otherP999, served, connections, cpu, cpuSpread, syscalls, rss, senderLag, behind, len(runs))
}
