package link

import "time"

// iterationTracker decides when buffered output is written: at the end of each event, or at
// the end of a loop iteration, so that the output of several events to one connection goes out
// in one system call. Posting a function to the end of an iteration costs a system call
// itself. So it is done only where it saves more, which is where the events of an iteration
// often write to the same connection repeatedly.
//
// gnet does not tell where an iteration begins or ends. Events of one iteration follow each
// other immediately, while there is at least one system call between two iterations.
type iterationTracker struct {
	lastEventEnd time.Time // when the last event ended
	iteration    uint64
	event        uint64
	repeats      float64 // writes of this iteration to connections that it had already written to
	meanRepeats  float64 // moving average of repeats over the last iterations
}

// writeMark is the state that iterationTracker keeps for one connection.
type writeMark struct {
	dirty            bool
	iteration, event uint64 // of the last call of markDirty
}

const (
	sameIterationGap  = 3 * time.Microsecond
	meanGain          = 1.0 / 64
	maxRepeatedWrites = 1.5 // average repeated writes above which batching saves system calls
)

// beginEvent notes the beginning of an event.
func (t *iterationTracker) beginEvent(now time.Time) {
	t.event++
	if now.Sub(t.lastEventEnd) >= sameIterationGap {
		t.iteration++
		t.meanRepeats += meanGain * (t.repeats - t.meanRepeats)
		t.repeats = 0
	}
}

// endEvent notes the end of an event.
func (t *iterationTracker) endEvent(now time.Time) { t.lastEventEnd = now }

// markDirty notes that a connection has output, and reports whether it had none before.
func (t *iterationTracker) markDirty(mark *writeMark) bool {
	if mark.iteration == t.iteration && mark.event != t.event {
		t.repeats++
	}
	mark.iteration, mark.event = t.iteration, t.event
	first := !mark.dirty
	mark.dirty = true
	return first
}

// worthBatching reports whether writes should wait for the end of the iteration.
func (t *iterationTracker) worthBatching() bool { return t.meanRepeats > maxRepeatedWrites }
