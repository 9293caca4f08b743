// Package lanes decides which requests may stand behind which on a link that carries
// several at once: behind which others on a line that is answered in order, and for how
// long one may wait for others to go with it. It learns how long requests of each class
// take from their answers. It does no I/O and knows no clock: times are milliseconds
// that the caller gives.
package lanes

import "math"

// Terms is what holds for a class of requests.
type Terms struct {
	// Aim is the milliseconds that an answer is wanted within.
	Aim float64
	// Share tells that a request of the class may have others on its link: if the link
	// breaks because of one of them, the rule on repeats lets it go out again.
	Share bool
}

const (
	// waitPart is the part of its class's aim that a request may be expected to wait
	// behind others. With an aim of 400 ms that is 20 ms.
	maxWaitFraction = 0.05
	// gatherPart is the part of its class's slack, what the aim leaves beyond the time it
	// takes, that a request may wait for others to go with it.
	batchDelayFraction = 0.01
	// enough is how many answers a class's times are believed after. Before, a request is
	// expected to take as long as its aim, so that nothing stands behind it.
	minSamples = 8
	// spreads is how many mean deviations above the mean a request is expected to take.
	deviationFactor = 4.0
	// gain and spreadGain are the weights of a new time, as in RFC 6298, section 2.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
)

// times is what is known of how long a class takes: mean and mean deviation as RFC 6298
// estimates round trips.
type classTimes struct {
	mean, deviation float64
	samples         int
}

// Table holds the learned times of every class.
type Table struct {
	terms   func(class int) Terms
	classes []classTimes
}

// NewTable makes a table of classes whose terms are asked for as they are needed: they
// may be replaced in service.
func NewTable(terms func(class int) Terms) *Table { return &Table{terms: terms} }

// Learn tells that a request of a class was answered so many milliseconds after the
// link had it to itself: after it was written, or after the answer before it.
func (t *Table) Learn(class int, ms float64) {
	if class < 0 || !(ms >= 0) || math.IsInf(ms, 0) {
		return
	}
	for len(t.classes) <= class {
		t.classes = append(t.classes, classTimes{})
	}
	learned := &t.classes[class]
	if learned.samples++; learned.samples == 1 {
		learned.mean, learned.deviation = ms, ms/2
		return
	}
	learned.deviation += deviationGain * (math.Abs(ms-learned.mean) - learned.deviation)
	learned.mean += meanGain * (ms - learned.mean)
}

// Expect is the milliseconds that a request of a class is expected to take at most.
func (t *Table) Expect(class int) float64 {
	if class < 0 || class >= len(t.classes) || t.classes[class].samples < minSamples {
		return t.terms(class).Aim
	}
	return t.classes[class].mean + deviationFactor*t.classes[class].deviation
}

// Entry is one request on a line.
type Entry struct {
	Class int
	Since float64 // when the link had it to itself, or was written: what is later
}

// Line is the requests on one link in the order of their answers, the first next.
type Line struct {
	Entries []Entry
	Most    int // entries that it takes
}

// Wait is the milliseconds until a line is expected to have answered all it holds. A
// request that has taken longer than expected is expected to take as long again: the
// longer one of a heavy tail has taken, the longer it will.
func (t *Table) Wait(now float64, pending []Entry) float64 {
	sum := 0.0
	for i, e := range pending {
		remaining := t.Expect(e.Class)
		if i == 0 {
			if elapsed := now - e.Since; elapsed > remaining {
				remaining = elapsed
			} else {
				remaining -= elapsed
			}
		}
		sum += remaining
	}
	return sum
}

// Choice is where a request goes.
type Choice int

// The choices. A Choice from 0 on is the number of a line.
const (
	Open   Choice = -1 - iota // a link of its own is wanted
	Nobody                    // there is no line, nor room for one: it waits
)

// Choose finds the line for a request of a class: an empty one; else a new one where
// there is room; else the one with the shortest wait that the class bears. What may not
// share, be it the request or one on the line, has its link to itself. A request that
// bears no line gets a link beyond the room as well, as its tail must not pay for
// connections saved: overflow tells that it may.
func (t *Table) Choose(now float64, class int, pipelines []Line, room, overflow bool) Choice {
	best, shortest := Nobody, math.Inf(1)
	terms := t.terms(class)
	maxWait := terms.Aim * maxWaitFraction
	for i := range pipelines {
		pipeline := &pipelines[i]
		if len(pipeline.Entries) == 0 && pipeline.Most > 0 {
			return Choice(i)
		}
		if !terms.Share || len(pipeline.Entries) >= pipeline.Most || !t.allMayShare(pipeline.Entries) {
			continue
		}
		if wait := t.Wait(now, pipeline.Entries); wait <= maxWait && wait < shortest {
			best, shortest = Choice(i), wait
		}
	}
	if room || best == Nobody && overflow {
		return Open
	}
	return best
}

func (t *Table) allMayShare(pending []Entry) bool {
	for _, e := range pending {
		if !t.terms(e.Class).Share {
			return false
		}
	}
	return true
}

// Gather is the milliseconds that a request of a class may wait for others to go with
// it: at most most, a small part of what its aim leaves beyond the time it takes, and
// none where its client's time is shorter than its aim.
func (t *Table) Gather(class int, most, left float64) float64 {
	aim := t.terms(class).Aim
	slack := min(aim, left) - t.Expect(class)
	return max(min(most, slack*batchDelayFraction), 0)
}
