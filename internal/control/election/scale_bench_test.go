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

func newCountedCluster(count int) *countedCluster {
	c := &countedCluster{machineByID: map[string]*Machine{}}
	for i := range count {
		c.ids = append(c.ids, fmt.Sprintf("10.9.0.%d:7461", i+1))
	}
	for i, id := range c.ids {
		m := New(id, uint64(i+1), 0, 0, true, testDuties...)
		m.SetElectorate(0, 0, c.ids, 1, 0)
		c.machines, c.machineByID[id] = append(c.machines, m), m
	}
	return c
}

func (c *countedCluster) heldDuties() (count int) {
	for _, duty := range testDuties {
		for _, m := range c.machines {
			if _, ok := m.Holds(c.now, duty); ok {
				count++
			}
		}
	}
	return count
}

func (c *countedCluster) send(output Output) {
	for _, message := range output.Send {
		encoded, _ := cbor.Marshal(message)
		c.sentMessages, c.sentBytes = c.sentMessages+1, c.sentBytes+len(encoded)
		c.inTransit = append(c.inTransit, delivery{c.now + 40, message})
	}
}

func (c *countedCluster) step() {
	c.now += 20
	messages := c.inTransit
	c.inTransit = nil
	for _, item := range messages {
		if item.dueAt > c.now {
			c.inTransit = append(c.inTransit, item)
		} else {
			c.send(c.machineByID[item.message.To].Step(c.now, Event{Kind: Received, Message: item.message}))
		}
	}
	for _, m := range c.machines {
		if int(c.now)%300 == 0 {
			m.SetElectorate(c.now, c.now, c.ids, 1, 0)
		}
		c.send(m.Step(c.now, Event{Kind: Tick}))
	}
}
