package cairn

import (
	"container/heap"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkScale is a calm core whose chain is all of it: messages and bytes of one machine, and how
// long a change takes from its submission to its acknowledgement, in simulated time, at so many milliseconds a
// message and 5 a sync.
func BenchmarkScale(b *testing.B) {
	for _, hop := range []float64{0.5, 40} {
		for _, n := range []int{3, 5, 9, 15, 23, 44} {
			b.Run(fmt.Sprintf("%d/%vms", n, hop), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					w := newTally(n, hop)
					for w.now < 120e3 && len(w.all[0].m.View().Chain) < n {
						w.run(200)
					}
					joined := w.now
					w.run(3e3)
					w.sent, w.bytes = 0, 0
					b.StartTimer()
					w.run(5e3)
					b.StopTimer()
					b.ReportMetric(float64(w.sent)/5/float64(n), "msg/s/core")
					b.ReportMetric(float64(w.bytes)/5/float64(n), "B/s/core")
					b.ReportMetric(joined, "ms-to-join")
					b.ReportMetric(float64(len(w.all[0].m.View().Chain)), "chain")
					sum, ok := 0.0, 0
					for i := range 10 {
						at := w.now
						w.done = nil
						w.step(w.all[1], Event{Submit: &Submit{ID: uint64(i + 1), Change: Change{Kind: PutConfiguration, Edition: uint64(i + 1), Body: []byte("body")}}})
						for len(w.done) == 0 && w.now < at+5e3 {
							w.run(1)
						}
						if len(w.done) > 0 && w.done[0].Outcome == OK {
							sum, ok = sum+w.now-at, ok+1
						}
					}
					b.ReportMetric(float64(ok), "acknowledged-of-10")
					if ok > 0 {
						b.ReportMetric(sum/float64(ok), "ms/change")
					}
					b.StartTimer()
				}
			})
		}
	}
}

// tally is core machines whose messages all take as long, and are counted.
type tally struct {
	now, hop    float64
	order       uint64
	all         []*tallied
	by          map[string]*tallied
	queue       queue
	sent, bytes int
	done        []Result
}

type tallied struct {
	m    *Machine
	busy float64 // its disk, until then
}

func newTally(n int, hop float64) *tally {
	w := &tally{hop: hop, by: map[string]*tallied{}}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("10.9.0.%d:7462", i+1))
	}
	for i := range n {
		addr := fmt.Sprintf("10.9.0.%d:7462", i+1)
		x := &tallied{m: New(Config{Self: Ident{Addr: addr}, Seeds: seeds, FirstRun: true, Seed: uint64(i + 1)}, nil, 0)}
		w.all, w.by[addr] = append(w.all, x), x
		w.tick(x, float64(i))
	}
	return w
}

func (w *tally) after(ms float64, do func()) {
	w.order++
	heap.Push(&w.queue, item{w.now + ms, w.order, do})
}

func (w *tally) tick(x *tallied, ms float64) {
	w.after(ms, func() {
		w.step(x, Event{})
		w.tick(x, 50)
	})
}

func (w *tally) run(ms float64) {
	until := w.now + ms
	for len(w.queue) > 0 && w.queue[0].at <= until {
		i := heap.Pop(&w.queue).(item)
		w.now = i.at
		i.do()
	}
	w.now = until
}

func (w *tally) step(x *tallied, e Event) {
	out := x.m.Step(w.now, e)
	if len(out.Sync) > 0 {
		x.busy = max(x.busy, w.now) + 5
	}
	late := max(x.busy-w.now, 0)
	for _, g := range out.Send {
		raw, _ := cbor.Marshal(g)
		w.sent, w.bytes = w.sent+1, w.bytes+len(raw)
		if to := w.by[g.To.Addr]; to != nil {
			w.after(late+w.hop, func() { w.step(to, Event{Message: &g}) })
		}
	}
	for _, r := range out.Done {
		w.after(late, func() { w.done = append(w.done, r) })
	}
}
