package trial

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"foxwood/internal/load"
)

// key is one cell of the measurement.
type key struct {
	fleet string
	part  float64
	name  string
}

// one is one run of one target.
type one struct {
	result *load.Result
	cpu    time.Duration
	calls  int64
	links  int
	rss    int64
}

// requests is how many were counted.
func (o *one) requests() int {
	n := 0
	for _, c := range o.result.Classes {
		for _, e := range c.Ends {
			n += e
		}
	}
	return n
}

// Table is what was measured.
type Table struct {
	Options Options
	order   []key
	runs    map[key][]one
}

func (t *Table) add(k key, o one) {
	if t.runs == nil {
		t.runs = map[key][]one{}
	}
	if _, ok := t.runs[k]; !ok {
		t.order = append(t.order, k)
	}
	t.runs[k] = append(t.runs[k], o)
}

// median and spread of a figure over the runs: the quartiles' distance.
func summary(runs []one, figure func(*one) float64) (median, quartiles float64) {
	all := make([]float64, len(runs))
	for i := range runs {
		all[i] = figure(&runs[i])
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		x := q * float64(len(all)-1)
		i := int(x)
		if i+1 >= len(all) {
			return all[len(all)-1]
		}
		return all[i] + (x-float64(i))*(all[i+1]-all[i])
	}
	return at(0.5), at(0.75) - at(0.25)
}

// Write prints the table as Markdown.
func (t *Table) Write(to io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Made by `foxwood measure transports`, %d interleaved runs of %v (the first %v not counted), seed %d, on a\n"+
		"machine of %d cores that also held the emulated workers and the load's sender. Latency is of served requests\n"+
		"from the intended send time, in ms.\n"+
		"Each figure is the median over the runs; behind ± is the distance of the quartiles. The worst run's p99.9 stands apart.\n",
		t.Options.Runs, t.Options.For, t.Options.Settle, t.Options.Seed, runtime.NumCPU())
	for _, f := range t.Options.Fleets {
		for _, part := range t.Options.Loads {
			fmt.Fprintf(&b, "\n### %s service times, %.0f%% of capacity (%.0f requests a second)\n\n", f.Name, part*100, part*f.Capacity())
			b.WriteString("| transport | cuota p50 | p99 | p99.9 | worst | simulacion p99.9 | served % | links | CPU µs a request | calls a request | MB | sender p99.9 late, behind |\n")
			b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
			for _, name := range t.Options.Transports {
				t.row(&b, name, t.runs[key{f.Name, part, name}])
			}
		}
	}
	_, err := io.WriteString(to, b.String())
	return err
}

func (t *Table) row(b *strings.Builder, name string, runs []one) {
	if len(runs) == 0 {
		return
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	at := func(class int, q float64) func(*one) float64 {
		return func(o *one) float64 { return ms(o.result.Classes[class].Latency.ValueAtQuantile(q)) }
	}
	p50, _ := summary(runs, at(0, 50))
	p99, _ := summary(runs, at(0, 99))
	tail, tails := summary(runs, at(0, 99.9))
	other, _ := summary(runs, at(1, 99.9))
	worst := 0.0
	for i := range runs {
		worst = max(worst, at(0, 99.9)(&runs[i]))
	}
	served, _ := summary(runs, func(o *one) float64 {
		n := 0
		for _, c := range o.result.Classes {
			n += c.Ends[load.Served]
		}
		return 100 * float64(n) / float64(max(o.requests(), 1))
	})
	links, _ := summary(runs, func(o *one) float64 { return float64(o.links) })
	cpu, cpus := summary(runs, func(o *one) float64 { return float64(o.cpu.Microseconds()) / float64(max(o.requests(), 1)) })
	calls, _ := summary(runs, func(o *one) float64 { return float64(o.calls) / float64(max(o.requests(), 1)) })
	rss, _ := summary(runs, func(o *one) float64 { return float64(o.rss) / (1 << 20) })
	behind := 0
	for _, r := range runs {
		if r.result.Behind {
			behind++
		}
	}
	lag, _ := summary(runs, func(o *one) float64 { return ms(o.result.Lag.ValueAtQuantile(99.9)) })
	fmt.Fprintf(b, "| %s | %.2f | %.2f | %.2f ± %.2f | %.2f | %.2f | %.2f | %.0f | %.0f ± %.0f | %.2f | %.0f | %.2f, %d of %d |\n", name,
		p50, p99, tail, tails, worst, other, served, links, cpu, cpus, calls, rss, lag, behind, len(runs))
}
