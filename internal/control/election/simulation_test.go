package election

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

var testDuties = []string{"probes", "roster", "slices"}

const stepMs = 10

// node is one node of the simulated cluster.
type node struct {
	id            string
	machine       *Machine
	clockOffsetMs float64 // offset of its steady clock, random in every incarnation
	down          bool
	frozen        bool
	partitioned   bool // from all nodes
	inbox         []Message
	storedVoters  []string // the stored electorate, to be remembered after a restart
}

type transit struct {
	dueAt   float64
	message Message
}

type viewAnswer struct {
	voters    []string
	queriedAt float64
	dueAt     float64
	edition   uint64
	to        *node
	machine   *Machine
}

// simulation runs nodes in real time, which none of them can see.
type simulation struct {
	t                 *testing.T
	rng               *rand.Rand
	now               float64
	nodes             []*node
	voters            []string
	edition           uint64
	messages          []transit
	viewAnswers       []viewAnswer
	faulty            bool
	extraDelayMs      float64         // additional delay of messages in milliseconds
	brokenLinks       map[string]bool // pairs that can't reach each other
	highestTerms      map[string]uint64
	termsMustIncrease bool // terms must increase, as no node was restarted
	holder            map[string]string
	holderChanges     int
	staleNodes        []*node            // nodes that learn of no view change
	lastHeldAt        map[string]float64 // when a duty was last held
	electorateGrows   bool               // electorates only grow, as those of the core do, and are remembered
	vacantMs          map[string]float64 // reported vacancy of duties that were won
	wonAt             map[string]float64
	previouslyHeldAt  map[string]float64 // when it was held before it was won
}

func newSimulation(t *testing.T, seed uint64, voterCount, spareCount int) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, uint64(voterCount))), edition: 1, brokenLinks: map[string]bool{}, highestTerms: map[string]uint64{},
		termsMustIncrease: true, holder: map[string]string{}, lastHeldAt: map[string]float64{}, vacantMs: map[string]float64{}, wonAt: map[string]float64{}, previouslyHeldAt: map[string]float64{}}
	for i := range voterCount + spareCount {
		member := &node{id: fmt.Sprint("w", i)}
		s.nodes = append(s.nodes, member)
		if i < voterCount {
			s.voters = append(s.voters, member.id)
		}
		s.start(member, true)
	}
	for _, member := range s.nodes {
		member.machine.SetElectorate(s.now+member.clockOffsetMs, s.now+member.clockOffsetMs, s.voters, 1, 0)
	}
	return s
}

func (s *simulation) start(target *node, first bool) {
	target.clockOffsetMs = s.rng.Float64() * 1e7
	target.machine = New(target.id, s.rng.Uint64(), s.now+target.clockOffsetMs, 0, first, testDuties...)
	target.down, target.frozen, target.inbox = false, false, nil
	if target.storedVoters != nil {
		target.machine.RestoreElectorate(target.storedVoters, 0)
	}
}

func (s *simulation) node(id string) *node {
	for _, x := range s.nodes {
		if x.id == id {
			return x
		}
	}
	return nil
}

func linkKey(a, b string) string { return min(a, b) + max(a, b) }

func (s *simulation) connected(a, b *node) bool {
	return !a.down && !b.down && !a.partitioned && !b.partitioned && !s.brokenLinks[linkKey(a.id, b.id)]
}

func (s *simulation) apply(sender *node, output Output) {
	for _, won := range output.Won {
		s.holderChanges++
		if at, ok := s.lastHeldAt[won.Duty]; ok {
			assert.Assert(s.t, at <= s.now-won.VacantMs, "%s was held at %v, but reported at %v as vacant for %v ms", won.Duty, at, s.now, won.VacantMs)
		}
		if s.termsMustIncrease {
			assert.Assert(s.t, won.Term > s.highestTerms[won.Duty], "the term of %s didn't increase at %v", won.Duty, s.now)
		}
		s.highestTerms[won.Duty] = max(won.Term, s.highestTerms[won.Duty])
	}
	for _, won := range output.Won {
		s.wonAt[won.Duty], s.previouslyHeldAt[won.Duty] = s.now, s.lastHeldAt[won.Duty]
		s.vacantMs[won.Duty] = won.VacantMs
	}
	for _, tenure := range output.Vacant {
		if s.previouslyHeldAt[tenure.Duty] > 0 {
			assert.Assert(s.t, s.previouslyHeldAt[tenure.Duty] <= s.wonAt[tenure.Duty]-tenure.VacantMs, "%s was held at %v, but reported as vacant for %v ms at %v", tenure.Duty, s.previouslyHeldAt[tenure.Duty], tenure.VacantMs, s.wonAt[tenure.Duty])
		}
		s.vacantMs[tenure.Duty] = tenure.VacantMs
	}
	for _, message := range output.Send {
		copies := 1
		if s.faulty {
			switch s.rng.IntN(20) {
			case 0, 1:
				copies = 0
			case 2:
				copies = 2
			}
		}
		for range copies {
			delayMs := s.extraDelayMs + 5 + 40*s.rng.Float64()
			if s.faulty && s.rng.IntN(20) == 0 {
				delayMs = 4000 * s.rng.Float64()
			}
			s.messages = append(s.messages, transit{s.now + delayMs, message})
		}
	}
}

// step advances real time by stepMs.
func (s *simulation) step() {
	s.now += stepMs
	s.messages = slices.DeleteFunc(s.messages, func(message transit) bool {
		if message.dueAt > s.now {
			return false
		}
		if to := s.node(message.message.To); to != nil && s.connected(s.node(message.message.From), to) {
			to.inbox = append(to.inbox, message.message)
		}
		return true
	})
	for i, member := range s.nodes {
		if member.down || member.frozen {
			continue
		}
		// A query for the view, answered with the one in force when it arrives.
		if (int(s.now)/stepMs+i*7)%30 == 0 && !member.partitioned && !slices.Contains(s.staleNodes, member) {
			s.viewAnswers = append(s.viewAnswers, viewAnswer{queriedAt: s.now + member.clockOffsetMs, dueAt: s.now + 60*s.rng.Float64(), to: member, machine: member.machine,
				voters: s.voters, edition: s.edition})
		}
	}
	s.viewAnswers = slices.DeleteFunc(s.viewAnswers, func(answer viewAnswer) bool {
		if answer.dueAt > s.now || answer.to.frozen {
			return false
		}
		if answer.to.machine == answer.machine && !answer.to.down && !answer.to.partitioned {
			answer.machine.SetElectorate(s.now+answer.to.clockOffsetMs, answer.queriedAt, answer.voters, answer.edition, 0)
		}
		return true
	})
	for _, member := range s.nodes {
		if member.down || member.frozen {
			continue
		}
		inbox := member.inbox
		member.inbox = nil
		for _, message := range inbox {
			s.apply(member, member.machine.Step(s.now+member.clockOffsetMs, Event{Kind: Received, Message: message}))
		}
		if int(s.now)%20 == 0 {
			s.apply(member, member.machine.Step(s.now+member.clockOffsetMs, Event{Kind: Tick}))
		}
	}
	for _, member := range s.nodes {
		if ids, _ := member.machine.SoleElectorate(s.now + member.clockOffsetMs); ids != nil && s.electorateGrows && !member.down && !member.frozen {
			member.storedVoters = ids
		}
	}
	clear(s.holder)
	for _, duty := range testDuties {
		for _, member := range s.nodes {
			if member.down {
				continue
			}
			// A frozen node counts too: it may continue at any moment.
			if _, ok := member.machine.Holds(s.now+member.clockOffsetMs, duty); ok {
				assert.Assert(s.t, s.holder[duty] == "", "%s and %s both hold %s at %v", s.holder[duty], member.id, duty, s.now)
				s.holder[duty], s.lastHeldAt[duty] = member.id, s.now
			}
		}
	}
}

func (s *simulation) run(ms float64) {
	for end := s.now + ms; s.now < end; {
		s.step()
	}
}

// waitUntilAllHeld runs until all duties are held, and fails if that takes longer than ms.
func (s *simulation) waitUntilAllHeld(ms float64) {
	start := s.now
	for len(s.holder) < len(testDuties) {
		assert.Assert(s.t, s.now-start <= ms, "after %v ms without faults only %v are held", ms, s.holder)
		s.step()
	}
}

// injectFault causes one random fault.
func (s *simulation) injectFault(restarts, views bool) {
	victim := s.nodes[s.rng.IntN(len(s.nodes))]
	other := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(8) {
	case 0:
		victim.frozen = !victim.frozen
	case 1:
		victim.partitioned = !victim.partitioned
	case 2, 3:
		if victim != other {
			s.brokenLinks[linkKey(victim.id, other.id)] = !s.brokenLinks[linkKey(victim.id, other.id)]
		}
	case 4:
		clear(s.brokenLinks)
	case 5:
		if restarts && !victim.down {
			if !victim.frozen && s.rng.IntN(2) == 0 {
				s.apply(victim, victim.machine.Step(s.now+victim.clockOffsetMs, Event{Kind: Shutdown}))
			}
			victim.down, s.termsMustIncrease = true, false
		} else if restarts {
			s.start(victim, false)
		}
	case 6:
		if restarts && s.rng.IntN(3) == 0 {
			for _, victim := range s.nodes {
				s.start(victim, false)
			}
			s.termsMustIncrease = false
		}
	case 7:
		if !views {
			return
		}
		// A voter is added, removed or replaced.
		voters := slices.Clone(s.voters)
		if s.electorateGrows && slices.Contains(voters, victim.id) {
			return
		}
		if i := slices.Index(voters, victim.id); i >= 0 && len(voters) > 1 {
			voters = slices.Delete(voters, i, i+1)
			if !slices.Contains(voters, other.id) && other != victim && s.rng.IntN(2) == 0 {
				voters = append(voters, other.id)
			}
		} else if i < 0 {
			voters = append(voters, victim.id)
		}
		s.voters = voters
		s.edition++
		s.termsMustIncrease = false // the remaining voters may not know of the last term
	}
}

func (s *simulation) endFaults() {
	s.faulty = false
	s.messages = slices.DeleteFunc(s.messages, func(pending transit) bool { return pending.dueAt > s.now+50 })
	clear(s.brokenLinks)
	for _, member := range s.nodes {
		member.partitioned = false
		member.frozen = false
		if member.down {
			s.start(member, false)
		}
	}
}

func TestAtMostOneHolderAndSoonOne(t *testing.T) {
	for _, voterCount := range []int{1, 3, 4, 5, 6} {
		for _, scenario := range []struct {
			name            string
			restarts, views bool
		}{{"partitions and freezes", false, false}, {"restarts", true, false}, {"views", false, true}, {"all", true, true}, {"growing electorate", true, true}} {
			t.Run(fmt.Sprint(voterCount, " ", scenario.name), func(t *testing.T) {
				t.Parallel()
				holderChanges := 0
				for seed := range uint64(6) {
					spareNodes := 0
					if scenario.views {
						spareNodes = 2
					}
					sim := newSimulation(t, seed, voterCount, spareNodes)
					sim.electorateGrows = scenario.name == "growing electorate" || !scenario.views
					sim.waitUntilAllHeld(2500)
					sim.faulty = true
					for range 80 {
						sim.run(stepMs * float64(1+sim.rng.IntN(60)))
						sim.injectFault(scenario.restarts, scenario.views)
					}
					sim.endFaults()
					wait := 2500.0
					if scenario.views {
						wait += 3000 // missed editions are waited out
					}
					sim.waitUntilAllHeld(wait)
					sim.run(4000)
					before := sim.holderChanges
					sim.run(3000)
					assert.Equal(t, sim.holderChanges, before, "the holder of a duty changed without a fault")
					assert.Equal(t, len(sim.holder), len(testDuties))
					holderChanges += sim.holderChanges
				}
				assert.Assert(t, holderChanges > 6*4, "too few changes of holder for a meaningful test")
			})
		}
	}
}

func TestDutyOfFailedNodeIsWonSoon(t *testing.T) {
	for _, voterCount := range []int{3, 4, 5, 6} {
		maxMs := 0.0
		for seed := range uint64(40) {
			sim := newSimulation(t, seed, voterCount, 0)
			sim.waitUntilAllHeld(2500)
			sim.run(3000)
			sim.node(sim.holder["roster"]).down = true
			sim.step()
			start := sim.now
			sim.waitUntilAllHeld(2500)
			maxMs = max(maxMs, sim.now-start)
		}
		t.Logf("%d nodes: held again after at most %v ms", voterCount, maxMs)
	}
}

// TestDistantVoters checks that votes are learned from although they arrive after the initial round
// timeout. A round trip of a third of a lease occurs between distant regions.
func TestDistantVoters(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 4, 0)
		sim.extraDelayMs = 230 // of a lease of 1,500 ms
		sim.waitUntilAllHeld(6000)
		for range 400 {
			sim.run(10)
			assert.Assert(t, len(sim.holder) == len(testDuties), "at %[2]v only %[1]v are held", sim.holder, sim.now)
		}
		sim.node(sim.holder["roster"]).down = true
		sim.step()
		sim.waitUntilAllHeld(6000)
	}
}

func TestReleasedDutyIsWonAtOnce(t *testing.T) {
	for _, voterCount := range []int{3, 4, 5, 6} {
		for seed := range uint64(40) {
			sim := newSimulation(t, seed, voterCount, 0)
			sim.waitUntilAllHeld(1200)
			sim.run(3000)
			holder := sim.node(sim.holder["slices"])
			out := holder.machine.Step(sim.now+holder.clockOffsetMs, Event{Kind: Shutdown})
			assert.Assert(t, len(out.Lost) > 0)
			sim.apply(holder, out)
			sim.run(3 * stepMs)
			sim.waitUntilAllHeld(1200)
			assert.Assert(t, sim.holder["slices"] != holder.id)
		}
	}
}

func TestDutiesSpread(t *testing.T) {
	spreadRuns := 0
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, 0)
		sim.waitUntilAllHeld(2500)
		holders := map[string]bool{}
		for _, id := range sim.holder {
			holders[id] = true
		}
		if len(holders) == 3 {
			spreadRuns++
		}
		sim.run(1000)
		for _, member := range sim.nodes {
			for _, duty := range testDuties {
				assert.Equal(t, member.machine.Holder(sim.now+member.clockOffsetMs, duty), sim.holder[duty])
			}
		}
	}
	t.Logf("in %d of 40 runs each of the three nodes held a duty", spreadRuns)
	assert.Assert(t, spreadRuns >= 20)
}

func TestAllKilledAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		sim := newSimulation(t, seed, 3, 0)
		sim.waitUntilAllHeld(2500)
		sim.run(2000)
		sim.termsMustIncrease = false
		for _, member := range sim.nodes {
			sim.start(member, false)
		}
		sim.step()
		sim.waitUntilAllHeld(2500)
	}
}

// TestAllKilledAndRestarted checks that nodes with a stored electorate only wait out one lease, and
// know that the duty was vacant since the start. Without a stored electorate they wait for the trust
// to expire.
func TestAllKilledAndRestarted(t *testing.T) {
	for _, voterCount := range []int{1, 3, 5} {
		for _, stored := range []bool{true, false} {
			maxMs, sumMs, known, wins := 0.0, 0.0, 0, 0
			for seed := range uint64(40) {
				sim := newSimulation(t, seed, voterCount, 0)
				sim.edition, sim.electorateGrows = 4, stored
				sim.waitUntilAllHeld(2500)
				sim.run(4000)
				for _, member := range sim.nodes {
					member.down = true
				}
				sim.termsMustIncrease = false
				sim.run(200)
				start := sim.now
				clear(sim.vacantMs)
				for _, member := range sim.nodes {
					sim.run(stepMs * float64(sim.rng.IntN(4)))
					sim.start(member, false)
				}
				sim.step()
				sim.waitUntilAllHeld(5000)
				maxMs, sumMs = max(maxMs, sim.now-start), sumMs+sim.now-start
				sim.run(200)
				for _, ms := range sim.vacantMs {
					if wins++; ms > 0.8*DefaultLeaseMs {
						known++
					}
				}
			}
			t.Logf("%d nodes, stored electorate %t: all held after %.0f ms on average, %v at most; %d of %d known to be long vacant", voterCount, stored, sumMs/40, maxMs, known, wins)
			assert.Equal(t, maxMs < 2.0*DefaultLeaseMs, stored)
			if stored {
				assert.Assert(t, known*10 > wins*8, "%d of %d duties known to be long vacant", known, wins)
			}
		}
	}
}

// TestDisjointElectorates partitions the holder under an old view together with its voters, while
// views move on to nodes that have never heard of it.
func TestDisjointElectorates(t *testing.T) {
	for _, mode := range []string{"by one", "at once", "restarted"} {
		for seed := range uint64(20) {
			sim := newSimulation(t, seed, 3, 3)
			sim.waitUntilAllHeld(2500)
			sim.run(1000 * sim.rng.Float64())
			for _, oldVoter := range sim.nodes[:3] {
				for _, newVoter := range sim.nodes[3:] {
					sim.brokenLinks[linkKey(oldVoter.id, newVoter.id)] = true
				}
			}
			sim.termsMustIncrease = false
			sim.viewAnswers, sim.staleNodes = nil, sim.nodes[:3] // their view is no longer confirmed
			switch mode {
			case "by one":
				for i, ids := range [][]string{{"w0", "w1", "w2", "w3"}, {"w1", "w2", "w3", "w4"}, {"w2", "w3", "w4", "w5"}} {
					sim.voters, sim.edition = ids, uint64(i+2)
					sim.run(400)
				}
			case "restarted":
				for _, oldVoter := range sim.nodes[3:] {
					sim.start(oldVoter, false)
				}
			}
			sim.voters, sim.edition = []string{"w3", "w4", "w5"}, sim.edition+1
			sim.run(8000)
			for _, id := range sim.holder {
				assert.Assert(t, id >= "w3")
			}
			assert.Equal(t, len(sim.holder), len(testDuties))
		}
	}
}

// TestRestartedVotersReportNoVacancy checks that voters that restart at the same moment, right after
// giving their votes, report no vacancy of the duty while its holder goes on running.
func TestRestartedVotersReportNoVacancy(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, 0)
		sim.electorateGrows = true
		sim.waitUntilAllHeld(2500)
		sim.run(3000 + 1000*sim.rng.Float64())
		sim.termsMustIncrease = false
		holder := sim.node(sim.holder["slices"])
		for _, member := range sim.nodes {
			if member != holder {
				sim.brokenLinks[linkKey(member.id, holder.id)] = true
				sim.start(member, false)
			}
		}
		sim.run(4000)
		assert.Assert(t, len(sim.holder) == len(testDuties) && sim.holder["slices"] != holder.id)
	}
}

// TestPartitionedElectorate checks that of two equal halves neither has a holder, and of unequal ones
// only the larger, also if a node restarts meanwhile. All duties are held again within a second after
// the partition ends.
func TestPartitionedElectorate(t *testing.T) {
	for _, voterCount := range []int{3, 4, 5, 6} {
		for seed := range uint64(30) {
			sim := newSimulation(t, seed, voterCount, 0)
			sim.electorateGrows = true
			sim.waitUntilAllHeld(2500)
			sim.run(1000 * sim.rng.Float64())
			size := voterCount / 2
			for _, x := range sim.nodes[:size] {
				for _, y := range sim.nodes[size:] {
					sim.brokenLinks[linkKey(x.id, y.id)] = true
				}
			}
			if seed%3 == 0 {
				sim.termsMustIncrease = false
				sim.start(sim.nodes[sim.rng.IntN(voterCount)], false)
			}
			sim.run(3500)
			for name, id := range sim.holder {
				assert.Assert(t, 2*size < voterCount && slices.IndexFunc(sim.nodes, func(x *node) bool { return x.id == id }) >= size,
					"%s is held by %s in the smaller part of %d nodes", name, id, voterCount)
			}
			clear(sim.brokenLinks)
			sim.waitUntilAllHeld(1000)
		}
	}
}
