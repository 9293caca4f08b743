package election

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkScale is ten calm seconds of an electorate: messages, bytes and steps of all of them,
// and how long the first duties take to be held.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{3, 5, 9, 15, 23, 44} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				w := newTally(n)
				for w.now < 10e3 && w.held() < len(works) {
					w.step()
				}
				first := w.now
				for w.now < first+5e3 {
					w.step()
				}
				w.sent, w.bytes = 0, 0
				b.StartTimer()
				for end := w.now + 10e3; w.now < end; {
					w.step()
				}
				b.ReportMetric(float64(w.sent)/10/float64(n), "msg/s/core")
				b.ReportMetric(float64(w.bytes)/10/float64(n), "B/s/core")
				b.ReportMetric(first, "ms-to-first")
			}
		})
	}
}

// tally is wardens whose messages take 40 ms and are counted.
type tally struct {
	now         float64
	ids         []string
	all         []*Machine
	by          map[string]*Machine
	way         []tallied
	sent, bytes int
}

type tallied struct {
	due float64
	g   Message
}

func newTally(n int) *tally {
	w := &tally{by: map[string]*Machine{}}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("10.9.0.%d:7461", i+1))
	}
	for i, id := range w.ids {
		m := New(id, uint64(i+1), 0, 0, true, works...)
		m.Electorate(0, 0, w.ids, 1, 0)
		w.all, w.by[id] = append(w.all, m), m
	}
	return w
}

func (w *tally) held() (n int) {
	for _, duty := range works {
		for _, m := range w.all {
			if _, ok := m.Holds(w.now, duty); ok {
				n++
			}
		}
	}
	return n
}

func (w *tally) take(o Out) {
	for _, g := range o.Send {
		raw, _ := cbor.Marshal(g)
		w.sent, w.bytes = w.sent+1, w.bytes+len(raw)
		w.way = append(w.way, tallied{w.now + 40, g})
	}
}

func (w *tally) step() {
	w.now += 20
	due := w.way
	w.way = nil
	for _, x := range due {
		if x.due > w.now {
			w.way = append(w.way, x)
		} else {
			w.take(w.by[x.g.To].Step(w.now, Event{Kind: Heard, Message: x.g}))
		}
	}
	for _, m := range w.all {
		if int(w.now)%300 == 0 {
			m.Electorate(w.now, w.now, w.ids, 1, 0)
		}
		w.take(m.Step(w.now, Event{Kind: Tick}))
	}
}
