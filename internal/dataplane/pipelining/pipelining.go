// Package pipelining decides which requests may share a connection that carries several at once:
// which requests may be pipelined behind others, where responses come in order, and how long a
// request may wait for others to join its batch. It learns the response times of each class of
// requests. It does no I/O and has no clock: times are milliseconds given by the caller.
package pipelining

import "math"

// ClassTerms is the settings of a class of requests.
type ClassTerms struct {
	// TargetMS is the time in milliseconds within which a response is wanted.
	TargetMS float64
	// MayShare allows a request of the class to share its connection: if the connection breaks
	// because of another request, the rules on repeats allow it to be sent again.
	MayShare bool
}

const (
	// maxWaitFraction is the fraction of its class's target time that a request may be
	// expected to wait behind others. With a target of 400 ms that is 20 ms.
	maxWaitFraction = 0.05
	// batchDelayFraction is the fraction of its slack that a request may wait for others to
	// join its batch. The slack is the target time less the expected response time.
	batchDelayFraction = 0.01
	// minSamples is the number of responses after which the learned times are used. Until then
	// a request is expected to take as long as its target time, so that nothing is pipelined
	// behind it.
	minSamples = 8
	// deviationFactor is how many mean deviations above the mean a request is expected to
	// take.
	deviationFactor = 4.0
	// meanGain and deviationGain are the weights of a new sample, as in RFC 6298, section 2.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
)

// classTimes is the mean response time of a class and its mean deviation, estimated as RFC
// 6298 does for round-trip times.
type classTimes struct {
	mean, deviation float64
	samples         int
}

// Estimator holds the learned response times of every class.
type Estimator struct {
	terms   func(class int) ClassTerms
	classes []classTimes
}

// NewEstimator returns an estimator without samples. It calls terms whenever it needs the
// settings of a class, because they may be replaced while the process runs.
func NewEstimator(terms func(class int) ClassTerms) *Estimator { return &Estimator{terms: terms} }

// Observe records that a request of a class was answered ms milliseconds after it was first in
// its pipeline: after it was written, or after the previous response.
func (t *Estimator) Observe(class int, sampleMS float64) {
	if class < 0 || !(sampleMS >= 0) || math.IsInf(sampleMS, 0) {
		return
	}
	for len(t.classes) <= class {
		t.classes = append(t.classes, classTimes{})
	}
	learned := &t.classes[class]
	if learned.samples++; learned.samples == 1 {
		learned.mean, learned.deviation = sampleMS, sampleMS/2
		return
	}
	learned.deviation += deviationGain * (math.Abs(sampleMS-learned.mean) - learned.deviation)
	learned.mean += meanGain * (sampleMS - learned.mean)
}

// ExpectedMS returns the time in milliseconds within which a request of a class is expected to
// be answered.
func (t *Estimator) ExpectedMS(class int) float64 {
	if class < 0 || class >= len(t.classes) || t.classes[class].samples < minSamples {
		return t.terms(class).TargetMS
	}
	return t.classes[class].mean + deviationFactor*t.classes[class].deviation
}

// PendingRequest is a request in a pipeline.
type PendingRequest struct {
	Class     int
	StartedAt float64 // when it was written or became first in the pipeline, whichever is later
}

// Pipeline is the requests on one connection in the order of their responses, the next one
// first.
type Pipeline struct {
	Pending    []PendingRequest
	MaxPending int // limit on the length of Pending
}

// WaitMS returns the time in milliseconds until the pending requests are expected to be
// answered. A request that has taken longer than expected is expected to take as long again:
// with a heavy-tailed distribution, the remaining time grows with the time already taken.
func (t *Estimator) WaitMS(now float64, pending []PendingRequest) float64 {
	sum := 0.0
	for i, e := range pending {
		remaining := t.ExpectedMS(e.Class)
		if i == 0 {
			if elapsed := now - e.StartedAt; elapsed > remaining {
				remaining = elapsed
			} else {
				remaining -= elapsed
			}
		}
		sum += remaining
	}
	return sum
}

// Choice tells where a request goes.
type Choice int

// The choices besides a pipeline. A Choice of 0 or more is the index of a pipeline.
const (
	OpenNew    Choice = -1 - iota // open another connection for the request
	NoPipeline                    // no pipeline is suitable and none may be opened: the request waits
)

// Choose returns the pipeline for a request of a class: an empty one; else a new one if room
// allows it; else the one with the shortest wait, if that is acceptable for the class. A
// request that may not share, whether the new one or a pending one, has its connection to
// itself. If no pipeline is acceptable, overflow allows a new connection beyond the room,
// because saving connections must not cost latency in the tail.
func (t *Estimator) Choose(now float64, class int, pipelines []Pipeline, room, overflow bool) Choice {
	best, shortest := NoPipeline, math.Inf(1)
	terms := t.terms(class)
	maxWait := terms.TargetMS * maxWaitFraction
	for i := range pipelines {
		pipeline := &pipelines[i]
		if len(pipeline.Pending) == 0 && pipeline.MaxPending > 0 {
			return Choice(i)
		}
		if !terms.MayShare || len(pipeline.Pending) >= pipeline.MaxPending || !t.allMayShare(pipeline.Pending) {
			continue
		}
		if wait := t.WaitMS(now, pipeline.Pending); wait <= maxWait && wait < shortest {
			best, shortest = Choice(i), wait
		}
	}
	if room || best == NoPipeline && overflow {
		return OpenNew
	}
	return best
}

func (t *Estimator) allMayShare(pending []PendingRequest) bool {
	for _, e := range pending {
		if !t.terms(e.Class).MayShare {
			return false
		}
	}
	return true
}

// BatchDelayMS returns how many milliseconds a request of a class may wait for others to join
// its batch. The delay is a small fraction of the slack and at most maxMS. It is 0 if
// leftMS, the time that the client still waits, leaves no slack.
func (t *Estimator) BatchDelayMS(class int, maxMS, leftMS float64) float64 {
	aim := t.terms(class).TargetMS
	slack := min(aim, leftMS) - t.ExpectedMS(class)
	return max(min(maxMS, slack*batchDelayFraction), 0)
}
