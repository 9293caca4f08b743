package chain

import (
	"container/heap"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkScale measures an idle core whose chain contains all members: messages and bytes per
// machine, and the simulated time from the submission of a change to its acknowledgement, with the
// given delay in milliseconds per message and 5 ms per sync.
func BenchmarkScale(b *testing.B) {
	for _, hop := range []float64{0.5, 40} {
		for _, n := range []int{3, 5, 9, 15, 23, 44} {
			b.Run(fmt.Sprintf("%d/%vms", n, hop), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					network := newCountingNetwork(n, hop)
					for network.now < 120e3 && len(network.machines[0].machine.View().Chain) < n {
						network.run(200)
					}
					joined := network.now
					network.run(3e3)
					network.sent, network.bytes = 0, 0
					b.StartTimer()
					network.run(5e3)
					b.StopTimer()
					b.ReportMetric(float64(network.sent)/5/float64(n), "msg/s/core")
					b.ReportMetric(float64(network.bytes)/5/float64(n), "B/s/core")
					b.ReportMetric(joined, "ms-to-join")
					b.ReportMetric(float64(len(network.machines[0].machine.View().Chain)), "chain")
					sum, ok := 0.0, 0
					for i := range 10 {
						at := network.now
						network.results = nil
						network.step(network.machines[1], Event{Submit: &Submit{ID: uint64(i + 1), Change: Change{Kind: PutConfiguration, Edition: uint64(i + 1), Body: []byte("body")}}})
						for len(network.results) == 0 && network.now < at+5e3 {
							network.run(1)
						}
						if len(network.results) > 0 && network.results[0].Outcome == OK {
							sum, ok = sum+network.now-at, ok+1
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

// countingNetwork simulates core machines with a fixed message delay and counts their messages.
type countingNetwork struct {
	now, delay  float64
	scheduled   uint64
	machines    []*countedMachine
	byAddr      map[string]*countedMachine
	queue       queue
	sent, bytes int
	results     []Result
}

// countedMachine is a machine of a tally.
type countedMachine struct {
	machine       *Machine
	diskBusyUntil float64 // time until which its disk is busy
}

// newCountingNetwork creates n machines at their first start. The first three are the seeds.
func newCountingNetwork(n int, hop float64) *countingNetwork {
	w := &countingNetwork{delay: hop, byAddr: map[string]*countedMachine{}}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("10.9.0.%d:7462", i+1))
	}
	for i := range n {
		addr := fmt.Sprintf("10.9.0.%d:7462", i+1)
		node := &countedMachine{machine: New(Config{Self: MachineID{Addr: addr}, Seeds: seeds, FirstRun: true, Seed: uint64(i + 1)}, nil, 0)}
		w.machines, w.byAddr[addr] = append(w.machines, node), node
		w.tick(node, float64(i))
	}
	return w
}

// schedule schedules an action.
func (w *countingNetwork) schedule(ms float64, do func()) {
	w.scheduled++
	heap.Push(&w.queue, item{w.now + ms, w.scheduled, do})
}

// tick gives a machine its clock ticks.
func (w *countingNetwork) tick(node *countedMachine, ms float64) {
	w.schedule(ms, func() {
		w.step(node, Event{})
		w.tick(node, 50)
	})
}

// run advances the simulation by some milliseconds.
func (w *countingNetwork) run(ms float64) {
	until := w.now + ms
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.action()
	}
	w.now = until
}

// step processes an event at a machine and sends the messages of its output.
func (w *countingNetwork) step(node *countedMachine, event Event) {
	out := node.machine.Step(w.now, event)
	if len(out.Persist) > 0 {
		node.diskBusyUntil = max(node.diskBusyUntil, w.now) + 5
	}
	late := max(node.diskBusyUntil-w.now, 0)
	for _, msg := range out.Send {
		raw, _ := cbor.Marshal(msg)
		w.sent, w.bytes = w.sent+1, w.bytes+len(raw)
		if to := w.byAddr[msg.To.Addr]; to != nil {
			w.schedule(late+w.delay, func() { w.step(to, Event{Message: &msg}) })
		}
	}
	for _, result := range out.Results {
		w.schedule(late, func() { w.results = append(w.results, result) })
	}
}
