package election

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkScale measures ten quiet seconds of an electorate: the messages, bytes and steps of all
// nodes, and how long it takes until every duty is first held.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{3, 5, 9, 15, 23, 44} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				cluster := newCountedCluster(n)
				for cluster.now < 10e3 && cluster.heldDuties() < len(testDuties) {
					cluster.step()
				}
				allHeldAt := cluster.now
				for cluster.now < allHeldAt+5e3 {
					cluster.step()
				}
				cluster.sentMessages, cluster.sentBytes = 0, 0
				b.StartTimer()
				for end := cluster.now + 10e3; cluster.now < end; {
					cluster.step()
				}
				b.ReportMetric(float64(cluster.sentMessages)/10/float64(n), "msg/s/core")
				b.ReportMetric(float64(cluster.sentBytes)/10/float64(n), "B/s/core")
				b.ReportMetric(allHeldAt, "ms-to-first")
			}
		})
	}
}

// countedCluster is a cluster whose messages take 40 ms and are counted.
type countedCluster struct {
	now                     float64
	ids                     []string
	machines                []*Machine
	machineByID             map[string]*Machine
	inTransit               []delivery
	sentMessages, sentBytes int
}

type delivery struct {
	dueAt   float64
	message Message
}

func newCountedCluster(n int) *countedCluster {
	c := &countedCluster{machineByID: map[string]*Machine{}}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("10.9.0.%d:7461", i+1))
	}
	for i, id := range c.ids {
		m := New(id, uint64(i+1), 0, 0, true, testDuties...)
		m.Electorate(0, 0, c.ids, 1, 0)
		c.machines, c.machineByID[id] = append(c.machines, m), m
	}
	return c
}

func (w *countedCluster) heldDuties() (count int) {
	for _, duty := range testDuties {
		for _, m := range w.machines {
			if _, ok := m.Holds(w.now, duty); ok {
				count++
			}
		}
	}
	return count
}

func (w *countedCluster) send(output Out) {
	for _, message := range output.Send {
		encoded, _ := cbor.Marshal(message)
		w.sentMessages, w.sentBytes = w.sentMessages+1, w.sentBytes+len(encoded)
		w.inTransit = append(w.inTransit, delivery{w.now + 40, message})
	}
}

func (w *countedCluster) step() {
	w.now += 20
	messages := w.inTransit
	w.inTransit = nil
	for _, item := range messages {
		if item.dueAt > w.now {
			w.inTransit = append(w.inTransit, item)
		} else {
			w.send(w.machineByID[item.message.To].Step(w.now, Event{Kind: Heard, Message: item.message}))
		}
	}
	for _, m := range w.machines {
		if int(w.now)%300 == 0 {
			m.Electorate(w.now, w.now, w.ids, 1, 0)
		}
		w.send(m.Step(w.now, Event{Kind: Tick}))
	}
}
