package link

import "time"

// turns decides when links with something to write are written to: at the end of each
// event, or at the end of a turn of the loop, so that all that its events made a link
// write goes out in one system call. To ask for the end of a turn costs a system call
// itself, so that is done only where it saves more: where the events of a turn often have
// one link write again.
//
// gnet says neither where a turn begins nor where it ends; but events of one turn follow
// each other at once, while between two turns lies a system call at the least.
type iterationTracker struct {
	lastEventEnd time.Time // end of the last event
	iteration    uint64
	event        uint64
	repeats      float64 // writes of this turn to links that it had written to before
	meanRepeats  float64 // of again, over the last turns
}

// mark is what turns keeps of one link.
type writeMark struct {
	dirty            bool
	iteration, event uint64 // of the last call of touch
}

const (
	sameIterationGap  = 3 * time.Microsecond
	meanGain          = 1.0 / 64
	maxRepeatedWrites = 1.5 // writes that a turn may repeat before they are gathered
)

// began notes the beginning of an event.
func (t *iterationTracker) beginEvent(now time.Time) {
	t.event++
	if now.Sub(t.lastEventEnd) >= sameIterationGap {
		t.iteration++
		t.meanRepeats += meanGain * (t.repeats - t.meanRepeats)
		t.repeats = 0
	}
}

// ended notes the end of an event.
func (t *iterationTracker) endEvent(now time.Time) { t.lastEventEnd = now }

// touch notes that a link has something to write, and tells whether that is news.
func (t *iterationTracker) markDirty(mark *writeMark) bool {
	if mark.iteration == t.iteration && mark.event != t.event {
		t.repeats++
	}
	mark.iteration, mark.event = t.iteration, t.event
	first := !mark.dirty
	mark.dirty = true
	return first
}

// crowded tells whether it is worth while to ask for the end of the turn.
func (t *iterationTracker) worthBatching() bool { return t.meanRepeats > maxRepeatedWrites }
