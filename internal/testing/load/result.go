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
	maxLatencyUS      = int64(time.Minute / time.Microsecond) // longest time that histograms hold
	significantDigits = 3                                     // decimal digits of precision of histograms
	// maxLag is the scheduling lag at the 99.9th percentile above which the generator itself
	// distorts the measured latencies.
	maxLag = time.Millisecond
)

// Result is the result of a run. Histograms are in microseconds.
type Result struct {
	Classes     []ClassResult
	SendLag     *hdrhistogram.Histogram // scheduling lag: actual send time minus intended send time
	Duration    time.Duration           // length of the run
	Interrupted bool                    // the run was stopped before the end of its plan
	FellBehind  bool                    // the scheduling lag exceeded maxLag

	mu     sync.Mutex
	warmUp time.Duration
}

// ClassResult is the result of a class.
type ClassResult struct {
	Name     string
	Outcomes [endCount]int           // number of requests by Outcome
	Latency  *hdrhistogram.Histogram // of served requests, from the intended send time
}

// newResult returns an empty result for a plan.
func newResult(p *Plan) *Result {
	result := &Result{SendLag: hdrhistogram.New(1, maxLatencyUS, significantDigits), warmUp: p.WarmUp}
	for _, c := range p.Classes {
		result.Classes = append(result.Classes, ClassResult{Name: c.Name, Latency: hdrhistogram.New(1, maxLatencyUS, significantDigits)})
	}
	return result
}

// record adds a request to the result, unless it was sent during the warm-up.
func (r *Result) record(arrival arrival, sendLag, latency time.Duration, end Outcome) {
	if arrival.offset < r.warmUp {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	class := &r.Classes[arrival.class]
	class.Outcomes[end]++
	if end == Served {
		_ = class.Latency.RecordValue(toMicroseconds(latency)) // cannot fail, as the value is within the bounds
	}
	_ = r.SendLag.RecordValue(toMicroseconds(sendLag))
}

// toMicroseconds converts a duration, limited to the bounds of the histograms.
func toMicroseconds(d time.Duration) int64 { return min(max(d.Microseconds(), 1), maxLatencyUS) }

// finish sets the fields that depend on the whole run.
func (r *Result) finish(took time.Duration) {
	r.Duration = took
	r.FellBehind = time.Duration(r.SendLag.ValueAtQuantile(99.9))*time.Microsecond > maxLag
}

// Write writes the result as a table with latency percentiles per class.
func (r *Result) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tserved\trefused\tfailed\tunheard\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	ms := func(us int64) float64 { return float64(us) / 1000 }
	for _, c := range r.Classes {
		latency := c.Latency
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", c.Name, c.Outcomes[Served], c.Outcomes[Refused], c.Outcomes[Failed],
			c.Outcomes[NoResponse], ms(latency.ValueAtQuantile(50)), ms(latency.ValueAtQuantile(99)), ms(latency.ValueAtQuantile(99.9)), ms(latency.Max()))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "scheduling lag: p99 %.2f ms, p99.9 %.2f ms, most %.2f ms\n", ms(r.SendLag.ValueAtQuantile(99)),
		ms(r.SendLag.ValueAtQuantile(99.9)), ms(r.SendLag.Max()))
	if r.FellBehind && err == nil {
		_, err = fmt.Fprintln(out, "the generator fell behind its own plan: these figures are not the gatekeeper's alone")
	}
	if r.Interrupted && err == nil {
		_, err = fmt.Fprintln(out, "the run was cut short")
	}
	return err
}
