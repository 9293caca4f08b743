package chain

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// untilServed returns the time in milliseconds until a change that is retried at each running
// machine is acknowledged there.
func (w *world) untilServed(limit float64) float64 {
	began := w.now
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		request := w.submit(n)
		for w.now < began+limit && w.violation == nil && (request.outcome == nil || *request.outcome != OK) {
			if request.outcome != nil {
				request = w.submit(n)
			}
			w.run(w.now + 5)
		}
	}
	return w.now - began
}

// TestServiceResumesWhenHalvesReconnect splits the core into equal halves, neither of which is a
// majority, so nothing is served. As soon as the halves are connected again, changes must be
// accepted, and no machine may be left out merely because it is heard a moment later.
func TestServiceResumesWhenHalvesReconnect(t *testing.T) {
	for _, machines := range []int{2, 4, 6} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			t.Parallel()
			var durations []float64
			views := uint64(0)
			for seed := range uint64(40) {
				w := newWorld(seed, machines, machines, faults{})
				w.noDelays = true
				w.run(1500)
				w.partition(w.nodes[:machines/2])
				w.run(w.now + 1200 + w.rng.Float64()*2500)
				before := w.maxView
				w.heal()
				durations = append(durations, w.untilServed(5000))
				w.run(w.now + 2000)
				views += w.maxView - before
				w.requireSettled()
				assert.NilError(t, w.violation, "seed %d", seed)
			}
			slices.Sort(durations)
			t.Logf("median %.0f ms, longest %.0f ms, %d views in %d runs", durations[len(durations)/2], durations[len(durations)-1], views, len(durations))
			assert.Assert(t, durations[len(durations)-1] < 450)
			assert.Equal(t, views, uint64(0), "all machines were back, so no view change was needed")
		})
	}
}

// TestSplitWithLosses splits the core into two parts, equal or not, while operators submit and
// read at both. During the split, processes of one part are killed or lose their disks, as many as
// tolerated, and return. Right after the split, processes of the other part may be killed. The
// simulation compares all reads, views and commits.
func TestSplitWithLosses(t *testing.T) {
	for _, machines := range []int{3, 4, 5, 6} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			t.Parallel()
			changes, reads := 0, 0
			for seed := range uint64(60) {
				w := runSplits(seed, machines, faults{})
				assert.NilError(t, w.violation, "seed %d", seed)
				changes, reads = changes+w.acknowledgedChanges, reads+w.answeredReads
			}
			t.Logf("%d changes, %d reads", changes, reads)
		})
	}
}

// runSplits runs three such splits in a row.
func runSplits(seed uint64, machines int, f faults) *world {
	w := newWorld(seed, machines, machines, f)
	w.run(1500)
	const ordersEnd = 1500 + 3*7500 // milliseconds; later than the last split can end
	w.submitLoad(ordersEnd)
	for range 3 {
		w.splitOnce()
		w.run(w.now + 2500)
	}
	w.endFailures(true)
	w.run(ordersEnd + 1000)
	w.requireProgress("the last split")
	w.run(w.now + 3000)
	w.requireSettled()
	return w
}

// splitOnce is one split with the losses during and after it.
func (w *world) splitOnce() {
	if w.violation != nil {
		return
	}
	shuffled := slices.Clone(w.nodes)
	w.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	size := len(shuffled) / 2
	if w.rng.IntN(3) == 0 {
		size = 1 + w.rng.IntN(len(shuffled)-1)
	}
	first, second := shuffled[:size], shuffled[size:]
	w.partition(first)
	w.run(w.now + w.rng.Float64()*1500)
	wiped := w.lostDisks()
	for _, n := range first {
		switch {
		case w.rng.IntN(3) > 0:
			continue
		case wiped < w.tolerance && w.rng.IntN(2) == 0:
			wiped++
			w.wipe(n)
		default:
			w.kill(n)
		}
		w.schedule(50+w.rng.Float64()*1000, func() { w.boot(n, false) })
	}
	w.run(w.now + w.rng.Float64()*3000)
	w.heal()
	if w.rng.IntN(2) == 0 { // kill the part that kept running before the others may have caught up
		w.run(w.now + w.rng.Float64()*20)
		for _, n := range second {
			w.kill(n)
			w.schedule(200+w.rng.Float64()*1000, func() { w.boot(n, false) })
		}
	}
}

// lostDisks returns the number of machines that are not complete again since they lost their disk.
func (w *world) lostDisks() (lost int) {
	for _, n := range w.nodes {
		if n.wiped {
			lost++
		}
	}
	return lost
}

// TestSplitChecksDetectFaults checks that these runs detect faults that let both parts go on or that
// revoke what was acknowledged.
func TestSplitChecksDetectFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults
	}{
		{"acknowledged before the tail synced", faults{ackEarly: true}},
		{"reads without leases", faults{ignoreLeases: true}},
		{"half of the core decides", faults{halfIsMajority: true}},
		{"delayed orders that undo newer ones", faults{acceptLateChanges: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if w := runSplits(seed, 3+int(seed%3), c.faults); w.violation != nil {
					t.Logf("seed %d: %.150s", seed, w.violation)
					return
				}
			}
			t.Error("no run detected the fault")
		})
	}
}
