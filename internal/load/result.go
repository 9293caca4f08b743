package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest = int64(time.Minute / time.Microsecond)
	digits  = 3
	// lagMost is the scheduling lag at the 99.9th percentile past which a run's figures
	// are the generator's as much as the gatekeeper's.
	lagMost = time.Millisecond
)

// Result is what became of a plan's requests. Times are microseconds.
type Result struct {
	Classes []ClassResult
	Lag     *hdrhistogram.Histogram // of the sending against the intended time
	Took    time.Duration
	Cut     bool // the run was stopped before its plan was through
	Behind  bool // the generator fell behind its own plan

	mu     sync.Mutex
	settle time.Duration
}

// ClassResult is the part of one class.
type ClassResult struct {
	Name    string
	Ends    [ends]int
	Latency *hdrhistogram.Histogram // of served requests, from the intended send time
}

func newResult(p *Plan) *Result {
	r := &Result{Lag: hdrhistogram.New(1, longest, digits), settle: p.Settle}
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name, Latency: hdrhistogram.New(1, longest, digits)})
	}
	return r
}

func (r *Result) add(a arrival, lag, took time.Duration, end End) {
	if a.at < r.settle {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.Classes[a.class]
	c.Ends[end]++
	if end == Served {
		_ = c.Latency.RecordValue(clip(took)) // within its bounds
	}
	_ = r.Lag.RecordValue(clip(lag))
}

func clip(d time.Duration) int64 { return min(max(d.Microseconds(), 1), longest) }

func (r *Result) finish(took time.Duration) {
	r.Took = took
	r.Behind = time.Duration(r.Lag.ValueAtQuantile(99.9))*time.Microsecond > lagMost
}

// Write prints a result as a table.
func (r *Result) Write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tserved\trefused\tfailed\tunheard\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for _, c := range r.Classes {
		h := c.Latency
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", c.Name, c.Ends[Served], c.Ends[Refused], c.Ends[Failed],
			c.Ends[Unheard], ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.ValueAtQuantile(99.9)), ms(h.Max()))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(to, "scheduling lag: p99 %.2f ms, p99.9 %.2f ms, most %.2f ms\n", ms(r.Lag.ValueAtQuantile(99)),
		ms(r.Lag.ValueAtQuantile(99.9)), ms(r.Lag.Max()))
	if r.Behind && err == nil {
		_, err = fmt.Fprintln(to, "the generator fell behind its own plan: these figures are not the gatekeeper's alone")
	}
	if r.Cut && err == nil {
		_, err = fmt.Fprintln(to, "the run was cut short")
	}
	return err
}
