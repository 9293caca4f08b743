package replay

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/gatekeeper"
	"foxwood/policy"
)

// decision is the first decision on a request.
type decision int

// The possible values of decision.
const (
	undecided decision = iota // the capture ends before a decision
	sent                      // sent to a worker
	refused
	failed
)

// requestKind is a group of requests, by class and plan.
type requestKind struct{ class, plan int }

// Comparison compares the decisions of another module with the recorded ones, on the same
// inputs. After the first difference the other module gets the outcomes of attempts that it
// did not make, so the figures become less meaningful the later they are.
type Comparison struct {
	First     *Difference
	Counts    map[requestKind]*[4][4]int // requests by recorded and other decision
	PerSecond map[int64][4][4]int        // the same, by the Unix second in which requests arrived
	kinds     []requestKind
}

// Compare replays a capture with the modules that other creates, and counts the first
// decision on each request. If observe is not nil, it is called for each record.
func Compare(from Source, key *capture.Key, other func(s policy.Settings, seed uint64) gatekeeper.Module, observe func()) (*Comparison, error) {
	comparison := &Comparison{Counts: map[requestKind]*[4][4]int{}, PerSecond: map[int64][4][4]int{}}
	type trackedRequest struct {
		kind            requestKind
		second          int64
		recorded, other decision
	}
	open := map[uint32]*trackedRequest{}
	count := func(o *trackedRequest) {
		c := comparison.Counts[o.kind]
		if c == nil {
			c = &[4][4]int{}
			comparison.Counts[o.kind] = c
			comparison.kinds = append(comparison.kinds, o.kind)
		}
		c[o.recorded][o.other]++
		inSecond := comparison.PerSecond[o.second]
		inSecond[o.recorded][o.other]++
		comparison.PerSecond[o.second] = inSecond
	}
	noteDecision := func(to *decision, kind capturepb.Kind) {
		if *to == undecided {
			switch kind {
			case capturepb.Kind_SEND:
				*to = sent
			case capturepb.Kind_REFUSE:
				*to = refused
			case capturepb.Kind_FAIL:
				*to = failed
			}
		}
	}
	observed := &observedSource{Source: from, observe: func(r *capturepb.Record, at policy.Micros) {
		switch r.GetKind() {
		case capturepb.Kind_BEGAN:
			for _, o := range open {
				count(o)
			}
			clear(open)
		case capturepb.Kind_REQUESTED:
			open[r.GetId()] = &trackedRequest{kind: requestKind{int(r.GetClass()), int(r.GetPlan())}, second: at / 1e6}
		case capturepb.Kind_SEND, capturepb.Kind_REFUSE, capturepb.Kind_FAIL:
			if o := open[r.GetId()]; o != nil {
				noteDecision(&o.recorded, r.GetKind())
			}
		}
	}}
	report, err := Run(observed, key, Options{NewModule: other, MaxDifferences: 1 << 30, Stop: neverStop(observe), OnDecision: func(c Call, _ policy.Micros) {
		if o := open[c.RequestID]; o != nil {
			noteDecision(&o.other, c.Kind)
		}
	}})
	if err != nil {
		return nil, err
	}
	for _, o := range open {
		count(o)
	}
	slices.SortFunc(comparison.kinds, func(a, b requestKind) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.plan, b.plan))
	})
	if len(report.Differences) > 0 {
		comparison.First = &report.Differences[0]
	}
	return comparison, nil
}

// neverStop returns an Options.Stop function that calls observe and never stops the replay.
func neverStop(observe func()) func() bool {
	if observe == nil {
		return nil
	}
	return func() bool { observe(); return false }
}

// observedSource is a Source that passes each record to a function before it is replayed.
type observedSource struct {
	Source
	observe func(*capturepb.Record, policy.Micros)
}

// Next implements Source.
func (n *observedSource) Next() (*capturepb.Record, policy.Micros, error) {
	r, at, err := n.Source.Next()
	if err == nil {
		n.observe(r, at)
	}
	return r, at, err
}

// Write prints the comparison as a table by class and plan, and the first difference.
func (a *Comparison) Write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tplan\trequests\tsent: recorded\tother\trefused: recorded\tother\tdecided otherwise\t")
	for _, k := range a.kinds {
		c := a.Counts[k]
		var recorded, other [4]int
		sum, differ := 0, 0
		for i := range c {
			for j, n := range c[i] {
				recorded[i] += n
				other[j] += n
				sum += n
				if i != j {
					differ += n
				}
			}
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", k.class, k.plan, sum, recorded[sent], other[sent], recorded[refused], other[refused], differ)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if a.First == nil {
		_, err := fmt.Fprintln(to, "no decision differs")
		return err
	}
	_, err := fmt.Fprintf(to, "the first that differs: at %d us, %s\n  recorded: %q\n  other:    %q\n", a.First.At, a.First.Call, a.First.Want, a.First.Got)
	return err
}
