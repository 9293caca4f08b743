package outlier

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/policy"
)

// zone is a group of gatekeepers with one owner. Each gatekeeper sends every worker one request per
// second. Requests to a failing worker fail at the rate set for it.
type zone struct {
	detector        *Detector
	subscriber      Subscriber
	now             float64
	workers         []uint32
	members         []string
	failureShare    map[uint32]float64
	onlyObserver    string // the only gatekeeper that observes failures, "" for all
	pendingFailures map[uint32]float64
	maxEjected      int // largest number of ejected workers at any time
	requestsSent    map[uint32]int
}

func newZone(gatekeepers, workers int) *zone {
	created := &zone{detector: NewDetector(7), failureShare: map[uint32]float64{}, pendingFailures: map[uint32]float64{}, requestsSent: map[uint32]int{}}
	for worker := range workers {
		created.workers = append(created.workers, uint32(worker+1))
	}
	for index := range gatekeepers {
		created.members = append(created.members, fmt.Sprintf("10.0.0.%d:7460", index+1))
	}
	return created
}

// run advances by ms milliseconds, in steps of 300 ms. Announcements are withheld unless delivered is set.
func (z *zone) run(ms float64, delivered bool) {
	for end := z.now + ms; z.now < end; {
		z.now += 300
		for index, addr := range z.members {
			beliefs := z.subscriber.Verdicts(z.now, addr)
			var reports []WorkerReport
			for _, worker := range z.workers {
				if beliefs[worker] == policy.Unhealthy || (int(z.now/300)+index+int(worker))%3 != 0 {
					continue
				}
				z.requestsSent[worker]++
				report := WorkerReport{Worker: worker, Good: 10}
				if share := z.failureShare[worker]; share > 0 && (z.onlyObserver == "" || z.onlyObserver == addr) {
					if z.pendingFailures[worker] += share; z.pendingFailures[worker] >= 1 {
						z.pendingFailures[worker]--
						report.Good, report.Bad = 0, 10
					}
				}
				if report.Bad > 0 || beliefs[worker] != policy.NoVerdict {
					reports = append(reports, report)
				}
			}
			z.detector.Receive(z.now, addr, reports)
		}
		z.detector.Step(z.now, z.groups())
		if issue, due := z.detector.Announcement(z.now); due && delivered {
			z.subscriber.Receive(z.now, issue)
		}
		z.maxEjected = max(z.maxEjected, z.detector.ejectedCount(0))
	}
}

func (z *zone) groups() map[uint32]int {
	groupByWorker := map[uint32]int{}
	for _, worker := range z.workers {
		groupByWorker[worker] = 0
	}
	return groupByWorker
}

func (z *zone) setFailing(share float64, workers ...uint32) {
	clear(z.failureShare)
	for _, worker := range workers {
		z.failureShare[worker] = share
	}
}

func TestWhichWorkersAreEjected(t *testing.T) {
	firstWorkers := func(n int) (all []uint32) {
		for w := range n {
			all = append(all, uint32(w+1))
		}
		return all
	}
	for _, testCase := range []struct {
		name                string
		workers             int
		failureShare        float64
		failing             []uint32
		onlyObserver        string
		ejected, maxEjected int    // ejected after five seconds; at any time
		massReadmissions    uint64 // 1 if all were readmitted
	}{
		{name: "no failures", workers: 20, ejected: 0},
		{name: "one worker fails always", workers: 20, failureShare: 1, failing: []uint32{3}, ejected: 1, maxEjected: 1},
		{name: "one worker fails two in five requests", workers: 20, failureShare: 0.4, failing: []uint32{3}, ejected: 1, maxEjected: 1},
		{name: "three of twenty workers fail", workers: 20, failureShare: 0.4, failing: []uint32{3, 9, 15}, ejected: 3, maxEjected: 3},
		{name: "rare failures", workers: 20, failureShare: 0.04, failing: firstWorkers(20), ejected: 0},
		{name: "failures observed by one gatekeeper only", workers: 20, failureShare: 1, failing: firstWorkers(20), onlyObserver: "10.0.0.2:7460", ejected: 0},
		{name: "no more ejections than the limit allows", workers: 20, failureShare: 1, failing: firstWorkers(9), ejected: 6, maxEjected: 6},
		{name: "most workers fail, so all are readmitted", workers: 20, failureShare: 1, failing: firstWorkers(14), ejected: 0, maxEjected: 6, massReadmissions: 1},
		{name: "too few workers to eject one", workers: 3, failureShare: 1, failing: []uint32{1}, ejected: 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			sim := newZone(8, testCase.workers)
			sim.run(1000, true)
			sim.onlyObserver = testCase.onlyObserver
			sim.setFailing(testCase.failureShare, testCase.failing...)
			sim.run(5000, true)
			if testCase.massReadmissions == 0 {
				assert.Equal(t, sim.detector.ejectedCount(0), testCase.ejected)
				assert.Equal(t, sim.maxEjected, max(testCase.maxEjected, testCase.ejected))
			}
			assert.Assert(t, sim.maxEjected <= int(maxEjectedShare*float64(testCase.workers)))
			assert.Equal(t, min(sim.detector.MassReadmissions, 1), testCase.massReadmissions)
		})
	}
}

// TestReadmissionAfterTrials checks that an ejected worker gets a few trial requests from few
// gatekeepers, is ejected for longer each time they fail, and is used by all again when they succeed.
func TestReadmissionAfterTrials(t *testing.T) {
	sim := newZone(8, 20)
	sim.setFailing(1, 5)
	sim.run(3000, true)
	assert.Equal(t, sim.detector.workers[5].state, policy.Unhealthy)
	requestsBefore, ejectionsBefore := sim.requestsSent[5], sim.detector.Ejections
	sim.run(12000, true)
	trials := int(sim.detector.Ejections - ejectionsBefore)
	assert.Assert(t, trials >= 2 && trials <= 4, "%d trials, want 2 to 4, as each ejection lasts longer", trials)
	assert.Assert(t, sim.requestsSent[5]-requestsBefore <= trials*2*trierCount, "%d requests sent, want at most %d", sim.requestsSent[5]-requestsBefore, trials*2*trierCount)
	sim.setFailing(0)
	sim.run(maxEjectionMs+5000, true)
	assert.Equal(t, sim.detector.ejectedCount(0), 0)
	assert.Equal(t, sim.detector.Readmissions, uint64(1))
	lastRequests := sim.requestsSent[5]
	sim.run(3000, true)
	assert.Assert(t, sim.requestsSent[5]-lastRequests > 15, "not all gatekeepers send requests to it again")
	// A worker that fails again soon afterwards is ejected for longer than the first time.
	sim.setFailing(1, 5)
	sim.run(3000, true)
	assert.Assert(t, sim.detector.workers[5].ejectionMs > 2*minEjectionMs)
}

// TestLossOfOwner checks that announcements that are not renewed expire, and that another owner starts
// over.
func TestLossOfOwner(t *testing.T) {
	sim := newZone(8, 20)
	sim.setFailing(1, 5)
	sim.run(3000, true)
	assert.Equal(t, sim.subscriber.Verdicts(sim.now, "any")[5], policy.Unhealthy)
	sim.run(announcementExpiryMs+300, false)
	assert.Equal(t, len(sim.subscriber.Verdicts(sim.now, "any")), 0)
	nextDetector := NewDetector(8)
	nextDetector.Receive(sim.now, sim.members[0], []WorkerReport{{Worker: 5, Bad: 10}})
	nextDetector.Step(sim.now, sim.groups())
	issue, due := nextDetector.Announcement(sim.now)
	assert.Assert(t, due && sim.subscriber.Receive(sim.now, issue), "the first announcement of another incarnation was not accepted")
	assert.Equal(t, sim.subscriber.Verdicts(sim.now, "any")[5], policy.Suspect)
	assert.Assert(t, !sim.subscriber.Receive(sim.now, issue), "an announcement was accepted twice")
}

// TestEjectionLimitPerRegion checks that the many workers of another region don't raise the limit on
// ejections.
func TestEjectionLimitPerRegion(t *testing.T) {
	detector := NewDetector(1)
	groups := map[uint32]int{}
	for worker := range uint32(40) {
		groups[worker+1] = int(worker / 30) // ten workers in the second group
	}
	for now := 0.0; now < 3000; now += 300 {
		for worker := uint32(31); worker <= 35; worker++ {
			detector.Receive(now, "a", []WorkerReport{{Worker: worker, Bad: 10}})
			detector.Receive(now, "b", []WorkerReport{{Worker: worker, Bad: 10}})
		}
		detector.Step(now, groups)
		assert.Assert(t, detector.ejectedCount(1) <= 3 && detector.ejectedCount(0) == 0)
	}
	assert.Equal(t, detector.ejectedCount(1), 3)
}

// TestWatchedWorkerIsCleared checks that a worker that only one gatekeeper ejected is cleared when the
// others report successes.
func TestWatchedWorkerIsCleared(t *testing.T) {
	sim := newZone(8, 20)
	sim.detector.Receive(0, sim.members[0], []WorkerReport{{Worker: 2, Bad: 10}})
	cleared := false
	for range 30 {
		sim.run(300, true)
		cleared = cleared || sim.subscriber.Verdicts(sim.now, "any")[2] == policy.Recovered
	}
	assert.Assert(t, cleared)
	assert.Equal(t, len(sim.subscriber.Verdicts(sim.now, "any")), 0)
	_, due := sim.detector.Announcement(sim.now + 1e6)
	assert.Assert(t, !due, "an announcement is due although there is nothing to announce")
}

// TestMessagesStaySmall checks the size of an announcement and the encoding of a gatekeeper's
// observations.
func TestMessagesStaySmall(t *testing.T) {
	sim := newZone(12, 200)
	sim.setFailing(0.1, sim.workers...)
	sim.run(4000, true)
	issue, _ := sim.detector.Announcement(sim.now + 1e4)
	assert.Assert(t, len(issue.Verdicts) <= maxAnnouncedWorkers)
	observations := EncodeReports([]policy.Observation{{Server: 0xfeed_beef_0000_0001, Good: 1e9, Bad: 0.26}})
	assert.DeepEqual(t, observations, []WorkerReport{{Worker: 0xfeedbeef, Good: math.MaxUint16, Bad: 3}})
}
