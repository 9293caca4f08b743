// Package outlier detects outliers among a destination's workers jointly for the gatekeepers of a
// zone. In a large cluster a single gatekeeper sends a worker too few requests to judge it. Each
// gatekeeper therefore reports what it observed to the zone's owner of the destination; the owner
// judges for the zone and tells all its gatekeepers what to do.
//
// The judgment is made in the zone of the callers, not in that of the worker: a worker may fail for
// some callers only, and a partitioned zone can still judge. The owner ejects workers up to a limit,
// and has a few gatekeepers that know an ejected worker send it trial requests before it is
// readmitted. Whatever is not renewed expires: without an owner each gatekeeper judges alone.
//
// Times are in milliseconds of the caller's steady clock. Only ages are sent between processes.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"foxwood/policy"
)

const (
	halfLifeMs            = 2000.0  // half-life of observations
	watchMs               = 450.0   // time for which a worker is watched before it is judged: successes are reported later than failures
	minFailures           = 2.5     // failures that eject a worker
	minReporters          = 2       // gatekeepers that must have observed them
	minFailureShare       = 0.25    // share of its answers that must have failed
	maxEjectedShare       = 0.3     // largest share of the workers that may be ejected
	readmitAllShare       = 0.5     // share of failing workers above which the cause is not theirs, and all are readmitted
	readmitAllPauseMs     = 3000.0  // time after a mass readmission until workers may be ejected again
	reporterRetentionMs   = 12000   // time for which the reporters of a worker are remembered
	minEjectionMs         = 1500.0  // length of the first ejection; doubled each time
	maxEjectionMs         = 12000.0 // length of the longest ejection
	ejectionResetMs       = 20000.0 // time without an ejection until the next one counts as the first again
	trierCount            = 3       // gatekeepers that send trial requests to a worker
	minTrialSuccesses     = 2.5     // successes that readmit a worker
	maxTrialFailures      = 0.9     // failures that eject it again
	trialTimeoutMs        = 4000.0  // time until other gatekeepers try it
	clearedMs             = 2500.0  // time for which a readmission is announced
	minAnnounceIntervalMs = 400.0   // time between two announcements at least
	renewIntervalMs       = 1000.0  // time between two announcements at most, while there is something to announce
	announcementExpiryMs  = 3000.0  // time until an announcement that is not renewed expires
	maxAnnouncedWorkers   = 32      // workers per announcement
)

// WorkerReport is what a gatekeeper observed of a worker since its last report: successes and failures, in
// tenths of an answer.
type WorkerReport struct {
	_         struct{} `cbor:",toarray"`
	Worker    uint32   // upper half of its hash
	Good, Bad uint16   // successes and failures, in tenths
}

// WorkerVerdict is the state of one worker. TrialSenders are the peer addresses of the gatekeepers that send it trial
// requests.
type WorkerVerdict struct {
	_            struct{} `cbor:",toarray"`
	Worker       uint32
	Belief       policy.Verdict
	TrialSenders []string
}

// Announcement is the announced state of all workers. Of two with the same incarnation the one with the
// higher number is current.
type Announcement struct {
	Incarnation uint64          `cbor:"1,keyasint,omitempty"` // incarnation of the owner
	Number      uint64          `cbor:"2,keyasint,omitempty"`
	Verdicts    []WorkerVerdict `cbor:"3,keyasint,omitempty"`
}

// EncodeReports encodes observations compactly.
func EncodeReports(observations []policy.Observation) (encoded []WorkerReport) {
	tenths := func(answers float64) uint16 { return uint16(min(math.Round(answers*10), math.MaxUint16)) }
	for _, observed := range observations {
		encoded = append(encoded, WorkerReport{Worker: WorkerID(observed.Server), Good: tenths(observed.Good), Bad: tenths(observed.Bad)})
	}
	return encoded
}

// WorkerID returns a worker's identifier in messages between processes.
func WorkerID(server policy.Server) uint32 { return uint32(server >> 32) }

// workerState is what the owner knows about a worker.
type workerState struct {
	group               int
	state               policy.Verdict
	since               float64
	successes, failures float64
	updatedAt           float64
	reporters           map[string]float64 // gatekeepers that reported it, and when
	failureReporters    map[string]float64 // gatekeepers that reported failures, and when
	ejectionMs          float64
	readmittedAt        float64
	trial               int // number of trials
}

// decay reduces the weight of older observations.
func (b *workerState) decay(now float64) {
	factor := math.Exp2(-(now - b.updatedAt) / halfLifeMs)
	b.successes, b.failures, b.updatedAt = b.successes*factor, b.failures*factor, now
}

// enter changes the state and discards the observations.
func (b *workerState) enter(now float64, belief policy.Verdict) {
	b.state, b.since = belief, now
	b.successes, b.failures = 0, 0
	clear(b.failureReporters)
}

// isOutlier reports whether the observations suffice to eject a worker.
func (b *workerState) isOutlier() bool {
	return b.failures >= minFailures && len(b.failureReporters) >= minReporters && b.failures >= minFailureShare*(b.successes+b.failures)
}

// Detector is the owner's side for one destination. It isn't safe for concurrent use.
type Detector struct {
	incarnation, number uint64
	workers             map[uint32]*workerState
	noEjectionUntil     map[int]float64 // by group
	announcedAt         float64
	lastNotes           []WorkerVerdict
	// Ejections and Readmissions count ejected and readmitted workers, MassReadmissions the times when all workers were
	// readmitted.
	Ejections, Readmissions, MassReadmissions uint64
}

// NewDetector returns a Detector. Each process draws the incarnation at random.
func NewDetector(incarnation uint64) *Detector {
	return &Detector{incarnation: incarnation, workers: map[uint32]*workerState{}, noEjectionUntil: map[int]float64{}, announcedAt: math.Inf(-1)}
}

// Receive handles a gatekeeper's report.
func (d *Detector) Receive(now float64, gatekeeper string, reports []WorkerReport) {
	for _, report := range reports {
		state := d.workers[report.Worker]
		if state == nil {
			if report.Bad == 0 { // without a failure there is nothing to judge
				continue
			}
			state = &workerState{state: policy.Suspect, since: now, updatedAt: now, reporters: map[string]float64{}, failureReporters: map[string]float64{}}
			d.workers[report.Worker] = state
		}
		state.decay(now)
		state.successes, state.failures = state.successes+float64(report.Good)/10, state.failures+float64(report.Bad)/10
		state.reporters[gatekeeper] = now
		if report.Bad > 0 {
			state.failureReporters[gatekeeper] = now
		}
	}
}

// Step judges the workers. listed contains the workers that accept requests, with their group, such as
// their region. Workers of one group can't take over the load of another, so the limit on ejections
// applies to each group.
func (d *Detector) Step(now float64, groupByWorker map[uint32]int) {
	for _, worker := range slices.Sorted(maps.Keys(d.workers)) {
		state := d.workers[worker]
		state.decay(now)
		maps.DeleteFunc(state.reporters, func(_ string, at float64) bool { return now-at > reporterRetentionMs })
		maps.DeleteFunc(state.failureReporters, func(_ string, at float64) bool { return now-at > 2*halfLifeMs })
		if group, ok := groupByWorker[worker]; ok {
			state.group = group
		} else {
			delete(d.workers, worker)
		}
	}
	sizes := map[int]int{}
	for _, group := range groupByWorker {
		sizes[group]++
	}
	for group, size := range sizes {
		d.readmitAll(now, group, size)
	}
	for _, worker := range d.worstFirst() {
		d.judge(now, d.workers[worker], sizes[d.workers[worker].group])
		if state := d.workers[worker]; state.state == policy.NoVerdict && now-state.readmittedAt > ejectionResetMs {
			delete(d.workers, worker)
		}
	}
}

// worstFirst returns the workers by decreasing failures.
func (d *Detector) worstFirst() []uint32 {
	return slices.SortedFunc(maps.Keys(d.workers), func(first, second uint32) int {
		return cmp.Or(cmp.Compare(d.workers[second].failures, d.workers[first].failures), cmp.Compare(first, second))
	})
}

// ejectedCount returns the number of ejected workers of a group, including those that only get trial
// requests.
func (d *Detector) ejectedCount(group int) (count int) {
	for _, state := range d.workers {
		if state.group == group && state.isEjected() {
			count++
		}
	}
	return count
}

// isEjected reports whether only trial requests may be sent to the worker.
func (b *workerState) isEjected() bool {
	return b.state == policy.Unhealthy || b.state == policy.OnProbe
}

// readmitAll readmits all workers of a group if so many fail that the cause is not theirs, but for
// example a network link or an overload.
func (d *Detector) readmitAll(now float64, group, groupSize int) {
	outliers := d.ejectedCount(group)
	for _, state := range d.workers {
		if state.group == group && state.state <= policy.Suspect && state.isOutlier() {
			outliers++
		}
	}
	if outliers <= 1 || float64(outliers) <= readmitAllShare*float64(groupSize) {
		return
	}
	d.MassReadmissions++
	d.noEjectionUntil[group] = now + readmitAllPauseMs
	for _, state := range d.workers {
		if state.group == group && state.isEjected() {
			state.enter(now, policy.Recovered)
			state.readmittedAt = now
		}
	}
}

// judge moves a worker to its next state if that is due.
func (d *Detector) judge(now float64, state *workerState, groupSize int) {
	ageMs := now - state.since
	switch state.state {
	case policy.NoVerdict, policy.Recovered:
		if state.failures > 0.2 {
			successes, failures, failureReporters := state.successes, state.failures, maps.Clone(state.failureReporters)
			state.enter(now, policy.Suspect)
			state.successes, state.failures, state.failureReporters = successes, failures, failureReporters
		} else if state.state == policy.Recovered && ageMs > clearedMs {
			state.enter(now, policy.NoVerdict)
		}
	case policy.Suspect:
		switch {
		case ageMs < watchMs:
		case state.isOutlier():
			if now >= d.noEjectionUntil[state.group] && d.ejectedCount(state.group) < int(maxEjectedShare*float64(groupSize)) {
				d.eject(now, state)
			}
		case state.failures > 0.2:
		case state.successes >= minTrialSuccesses: // gatekeepers that ejected it on their own may readmit it
			state.enter(now, policy.Recovered)
		case ageMs > 4*halfLifeMs:
			state.enter(now, policy.NoVerdict)
		}
	case policy.Unhealthy:
		if ageMs > state.ejectionMs {
			state.enter(now, policy.OnProbe)
			state.trial++
		}
	case policy.OnProbe:
		switch {
		case state.failures >= maxTrialFailures:
			d.eject(now, state)
		case state.successes >= minTrialSuccesses:
			d.Readmissions++
			state.enter(now, policy.Recovered)
			state.readmittedAt = now
		case ageMs > trialTimeoutMs: // the selected gatekeepers had no request for it
			state.since = now
			state.trial++
		}
	}
}

// eject ejects a worker, for longer if it was ejected recently.
func (d *Detector) eject(now float64, state *workerState) {
	d.Ejections++
	if state.ejectionMs = min(2*state.ejectionMs, maxEjectionMs); state.ejectionMs == 0 || state.state == policy.Suspect && now-state.readmittedAt > ejectionResetMs {
		state.ejectionMs = minEjectionMs
	}
	state.enter(now, policy.Unhealthy)
}

// notes returns the states to announce, most important first.
func (d *Detector) notes() (notes []WorkerVerdict) {
	for _, worker := range d.worstFirst() {
		if state := d.workers[worker]; state.state != policy.NoVerdict {
			note := WorkerVerdict{Worker: worker, Belief: state.state}
			if state.state == policy.OnProbe {
				note.TrialSenders = state.selectTriers()
			}
			notes = append(notes, note)
		}
	}
	slices.SortStableFunc(notes, func(x, y WorkerVerdict) int {
		return cmp.Compare(announcementOrder(x.Belief), announcementOrder(y.Belief))
	})
	return notes[:min(len(notes), maxAnnouncedWorkers)]
}

// announcementOrder puts ejected workers first: an announcement that omitted them would readmit them.
func announcementOrder(belief policy.Verdict) int {
	return slices.Index([]policy.Verdict{policy.Unhealthy, policy.OnProbe, policy.Recovered, policy.Suspect}, belief)
}

// selectTriers returns some of the gatekeepers that have reported the worker, since others may never
// send requests to it. Each trial has different ones.
func (b *workerState) selectTriers() []string {
	reporters := slices.Sorted(maps.Keys(b.reporters))
	if len(reporters) <= trierCount {
		return reporters
	}
	selected := make([]string, 0, trierCount)
	for i := range trierCount {
		selected = append(selected, reporters[(b.trial*trierCount+i)%len(reporters)])
	}
	slices.Sort(selected)
	return selected
}

// Announcement returns what is to be announced to the zone now, if anything: each change, and repetitions of
// what still applies.
func (d *Detector) Announcement(now float64) (issue Announcement, due bool) {
	notes := d.notes()
	unchanged := slices.EqualFunc(notes, d.lastNotes, func(first, second WorkerVerdict) bool {
		return first.Worker == second.Worker && first.Belief == second.Belief && slices.Equal(first.TrialSenders, second.TrialSenders)
	})
	if now-d.announcedAt < minAnnounceIntervalMs || unchanged && (len(notes) == 0 || now-d.announcedAt < renewIntervalMs) {
		return Announcement{}, false
	}
	d.announcedAt, d.lastNotes = now, notes
	d.number++
	return Announcement{Incarnation: d.incarnation, Number: d.number, Verdicts: notes}, true
}

// Subscriber is a gatekeeper's side for one destination: the last announcement it received.
type Subscriber struct {
	issue      Announcement
	receivedAt float64
}

// Receive handles an announcement and returns whether it was accepted.
func (b *Subscriber) Receive(now float64, issue Announcement) bool {
	if issue.Incarnation == b.issue.Incarnation && issue.Number <= b.issue.Number {
		return false
	}
	b.issue, b.receivedAt = issue, now
	return true
}

// Verdicts returns the current state of the workers, for the gatekeeper with the peer address self.
func (b *Subscriber) Verdicts(now float64, self string) map[uint32]policy.Verdict {
	if now-b.receivedAt > announcementExpiryMs {
		b.issue.Verdicts = nil
	}
	beliefs := make(map[uint32]policy.Verdict, len(b.issue.Verdicts))
	for _, note := range b.issue.Verdicts {
		if beliefs[note.Worker] = note.Belief; note.Belief == policy.OnProbe && !slices.Contains(note.TrialSenders, self) {
			beliefs[note.Worker] = policy.Unhealthy
		}
	}
	return beliefs
}
