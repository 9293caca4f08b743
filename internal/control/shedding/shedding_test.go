package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"foxwood/policy"
)

const simulationStepMs = 100.0 // milliseconds of simulated time

// gatekeeper is a gatekeeper of the simulation.
type gatekeeper struct {
	follower     Follower
	load         Load
	served       float64
	pressure     float64
	sequence     uint64
	disconnected bool // disconnected from the core
	dead         bool
	ownPressure  float64 // additional pressure of this gatekeeper alone
	delayMs      float64 // additional delay of its messages in milliseconds
}

// message is a message in transit.
type message struct {
	arrivesAt float64
	deliver   func(now float64)
}

// simulation is a group of gatekeepers in front of workers of limited capacity, a holder of the duty,
// and messages that are delayed and lost. It has a single clock, and its random numbers are drawn from
// a seed.
type simulation struct {
	now            float64
	rng            *rand.Rand
	gatekeepers    []*gatekeeper
	holders        []*Holder
	holderIndex    int // index of the holder of the duty, -1 for none
	term           uint64
	inTransit      []message
	capacity       float64
	loadFactor     float64 // load as a multiple of the capacity
	backlog        float64
	lossShare      float64
	noise          float64
	binsPerTier    uint32                    // bins of a tier that have callers
	forcedPressure func(now float64) float64 // pressure, in place of that of the queue
	retries        bool                      // refused requests are retried once, and pressure is that of workers with a few slots each
	pendingRetries []Load                    // retries in transit, by step
	shed           Load                      // refused first tries since the start
	firstTries     Load
	// Observations.
	admitted   float64
	refused    float64 // refused because the queue is full
	changedAt  []float64
	thresholds []policy.ShedPosition
}

var tierShares = []float64{0.10, 0.15, 0.20, 0.25, 0.30}

func newSimulation(seed uint64, gatekeeperCount, holderCount int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), capacity: 1000, loadFactor: 0.8, noise: 0.05, binsPerTier: policy.BinsPerTier}
	for range gatekeeperCount {
		s.gatekeepers = append(s.gatekeepers, &gatekeeper{load: Load{}})
	}
	for range holderCount {
		s.holders = append(s.holders, s.newHolder())
	}
	s.elect(0)
	return s
}

// newHolder returns a new holder with one threshold for all services.
func (s *simulation) newHolder() *Holder {
	h := NewHolder(s.rng.Uint64())
	h.SingleThreshold = true
	return h
}

// elect gives the duty to a holder, or to none for -1.
func (s *simulation) elect(index int) {
	if s.holderIndex >= 0 && s.holderIndex < len(s.holders) {
		s.holders[s.holderIndex].End()
	}
	if s.holderIndex = index; index >= 0 {
		s.term++
		s.holders[index].Begin(s.now, s.term)
	}
}

// offeredLoad returns the arriving load by bins.
func (s *simulation) offeredLoad() Load {
	load := Load{}
	for tier, share := range tierShares {
		for bin := range s.binsPerTier {
			rate := s.loadFactor * s.capacity * share / float64(s.binsPerTier) * (1 + s.noise*(2*s.rng.Float64()-1))
			load[uint32(policy.Tier(tier, 0, 0))*policy.BinsPerTier+bin] = rate
		}
	}
	return load
}

// run advances the simulation by ms milliseconds.
func (s *simulation) run(ms float64) {
	for end := s.now + ms; s.now < end; s.now += simulationStepMs {
		s.step()
	}
}

func (s *simulation) step() {
	alive := 0
	for _, g := range s.gatekeepers {
		if !g.dead {
			alive++
		}
	}
	offered, admitted, admittedByThreshold := s.offeredLoad(), 0.0, map[policy.ShedPosition]float64{}
	if s.retries {
		s.addRetries(offered)
	}
	for bin := range offered {
		offered[bin] /= float64(alive)
	}
	for _, g := range s.gatekeepers {
		if g.dead {
			continue
		}
		threshold := g.follower.State().Threshold
		if _, ok := admittedByThreshold[threshold]; !ok {
			admittedByThreshold[threshold] = offered.AdmittedBy(threshold)
		}
		admitted += admittedByThreshold[threshold]
		g.load.Blend(offered, 1-math.Exp(-simulationStepMs/600))
	}
	// The queue holds 0.15 s of work; when it is full, requests are refused.
	s.backlog += (admitted - s.capacity) * simulationStepMs / 1000
	s.admitted, s.refused = admitted, 0
	if maxBacklog := 0.15 * s.capacity; s.backlog > maxBacklog {
		s.refused = s.backlog - maxBacklog
		s.backlog = maxBacklog
	}
	s.backlog = max(s.backlog, 0)
	pressure := min(admitted/s.capacity, 1)*0.9 + s.backlog/(0.15*s.capacity)
	if s.retries {
		utilization := min(admitted/s.capacity, 1)
		pressure = (utilization+0.1*math.Pow(utilization, 6)/max(1-utilization, 0.05))/2 + s.backlog/(0.15*s.capacity)
	}
	if s.forcedPressure != nil {
		pressure = s.forcedPressure(s.now)
	}
	for _, g := range s.gatekeepers {
		if g.dead {
			continue
		}
		g.pressure += (1 - math.Exp(-simulationStepMs/300)) * (max(pressure, g.ownPressure) - g.pressure)
		g.served += (1 - math.Exp(-simulationStepMs/600)) * (min(admitted, s.capacity)/float64(alive) - g.served)
		if math.Mod(s.now, 100) == 0 {
			g.follower.Step(s.now, g.pressure, g.load, g.served)
		}
		if math.Mod(s.now, 200) == 0 && !g.disconnected {
			s.report(g)
		}
	}
	var undelivered []message
	due := s.inTransit
	s.inTransit = nil
	for _, pending := range due {
		if pending.arrivesAt <= s.now {
			pending.deliver(s.now)
		} else {
			undelivered = append(undelivered, pending)
		}
	}
	s.inTransit = append(undelivered, s.inTransit...)
	if s.holderIndex >= 0 {
		s.stepHolder(s.holders[s.holderIndex])
	}
}

func (s *simulation) stepHolder(h *Holder) {
	if h.Step(s.now, s.connectedCount()) {
		s.changedAt = append(s.changedAt, s.now)
		s.thresholds = append(s.thresholds, h.Level().Threshold)
	}
}

func (s *simulation) connectedCount() (count int) {
	for _, g := range s.gatekeepers {
		if !g.dead && !g.disconnected {
			count++
		}
	}
	return count
}

// report sends a gatekeeper's report and the answer to it.
func (s *simulation) report(g *gatekeeper) {
	g.sequence++
	report := Report{Node: fmt.Sprintf("%p", g), Incarnation: 1, Sequence: g.sequence, Pressure: g.pressure, Reason: "room", AnswerRate: g.served,
		Level: g.follower.Level(), Load: map[uint32]float32{}}
	for bin, rate := range g.load {
		report.Load[bin] = float32(rate)
	}
	requestedAt := s.now
	s.send(g, func(now float64) {
		if s.holderIndex < 0 {
			return
		}
		h := s.holders[s.holderIndex]
		h.Receive(now, report)
		s.stepHolder(h)
		level := h.Level()
		s.send(g, func(float64) {
			if !g.disconnected && !g.dead {
				g.follower.Receive(requestedAt, level)
			}
		})
	})
}

func (s *simulation) send(g *gatekeeper, deliver func(float64)) {
	if s.rng.Float64() < s.lossShare {
		return
	}
	s.inTransit = append(s.inTransit, message{s.now + 10 + 60*s.rng.Float64() + g.delayMs, deliver})
}

// addRetries retries refused requests once, 0.8 s later.
func (s *simulation) addRetries(fresh Load) {
	threshold, refused := s.gatekeepers[0].follower.State().Threshold, Load{}
	for bin, rate := range fresh {
		if s.firstTries[bin] += rate; policy.BinStart(bin) >= threshold {
			refused[bin] = rate
			s.shed[bin] += rate
		}
	}
	s.pendingRetries = append(s.pendingRetries, refused)
	if len(s.pendingRetries) > int(800/simulationStepMs) {
		for bin, rate := range s.pendingRetries[0] {
			if policy.BinStart(bin) < threshold { // a request that is refused again isn't retried
				fresh[bin] += rate
			}
		}
		s.pendingRetries = s.pendingRetries[1:]
	}
}

// allAgree reports whether all connected gatekeepers apply the same threshold by the same hash.
func (s *simulation) allAgree() bool {
	var first *gatekeeper
	for _, g := range s.gatekeepers {
		if standing := g.follower.State(); g.dead || g.disconnected || standing.ShedsAlone && !standing.Disconnected { // sheds alone, by its own pressure
			continue
		}
		if first == nil {
			first = g
		}
		if g.follower.State().Threshold != first.follower.State().Threshold || g.follower.Level().Terms() != first.follower.Level().Terms() {
			return false
		}
	}
	return true
}

// checkNoPressure fails the test if any gatekeeper is under pressure.
func (s *simulation) checkNoPressure(t *testing.T) {
	t.Helper()
	for i, g := range s.gatekeepers {
		assert.Assert(t, g.pressure < pressed, "gatekeeper %d is under pressure again at %v: %.2f", i, s.now, g.pressure)
	}
}

// TestSteadyOverload checks that requests are shed within a second after all gatekeepers are under
// pressure. From then on most of the capacity is used, the load doesn't exceed it, and the level
// hardly changes.
func TestSteadyOverload(t *testing.T) {
	t.Parallel()
	for i, load := range []float64{1.2, 1.5, 2, 2.5, 3, 1.2, 2, 3, 3, 4} {
		t.Run(fmt.Sprint(load, i), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(uint64(load*10)+uint64(i/8*100), 6, 1)
			if i >= 5 { // clients that retry, and workers that are under pressure before they are full
				sim.retries, sim.firstTries, sim.shed = true, Load{}, Load{}
			}
			sim.run(10e3)
			assert.Equal(t, sim.gatekeepers[0].follower.State().Threshold, policy.ShedNothing, "requests are shed at 0.8 of the capacity")
			sim.loadFactor = load
			pressedAt, sheddingAt := 0.0, 0.0
			for range 100 {
				sim.run(simulationStepMs)
				allPressed, allShedding := true, true
				for _, g := range sim.gatekeepers {
					allPressed = allPressed && g.pressure >= 1
					allShedding = allShedding && g.follower.State().Threshold < policy.ShedNothing
				}
				if allPressed && pressedAt == 0 {
					pressedAt = sim.now
				}
				if allShedding && sheddingAt == 0 {
					sheddingAt = sim.now
				}
			}
			assert.Assert(t, pressedAt > 0 && sheddingAt > 0 && sheddingAt-pressedAt <= 1000, "pressure everywhere at %v, requests shed everywhere at %v, want within 1000 ms", pressedAt, sheddingAt)
			sim.run(20e3)
			sim.changedAt = nil
			admittedSum, samples, crossings, wasOver := 0.0, 0.0, 0, false
			for range int(120e3 / simulationStepMs) {
				sim.run(simulationStepMs)
				admittedSum, samples = admittedSum+sim.admitted/sim.capacity, samples+1
				if over := sim.admitted > 1.05*sim.capacity; over != wasOver {
					wasOver = over
					crossings++
				}
			}
			assert.Assert(t, admittedSum/samples > 0.82 && admittedSum/samples <= 1.01, "admits %.2f of the capacity, want 0.82 to 1.01", admittedSum/samples)
			assert.Assert(t, crossings <= 8, "the load crossed the capacity %d times in two minutes, want at most 8", crossings)
			assert.Assert(t, len(sim.changedAt) <= 40, "%d changes of level in two minutes, want at most 40", len(sim.changedAt))
		})
	}
}

// TestRelease checks that all requests are admitted again after an overload, without a second wave of
// refusals.
func TestRelease(t *testing.T) {
	t.Parallel()
	sim := newSimulation(4, 6, 1)
	sim.run(5e3)
	sim.loadFactor = 2.5
	sim.run(40e3)
	sim.loadFactor = 0.8
	sim.run(2e3)
	for range int(60e3 / simulationStepMs) {
		sim.run(simulationStepMs)
		assert.Assert(t, sim.refused == 0, "requests refused again at %v", sim.now)
		sim.checkNoPressure(t)
	}
	for _, g := range sim.gatekeepers {
		assert.Equal(t, g.follower.State().Threshold, policy.ShedNothing)
	}
}

// TestReleaseWithRetries checks that the lowest tier is served again soon after an overload, although
// refused clients retry and so count twice, and workers with a few slots are under pressure before
// they are full. In a trial it took longer than twelve seconds.
func TestReleaseWithRetries(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{1.2, 2, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(uint64(load*10), 6, 1)
			sim.retries, sim.firstTries, sim.shed = true, Load{}, Load{}
			sim.run(5e3)
			sim.loadFactor = load
			sim.run(40e3)
			sim.loadFactor = 0.8
			sim.firstTries, sim.shed = Load{}, Load{}
			for i := range int(20e3 / simulationStepMs) {
				sim.run(simulationStepMs)
				assert.Assert(t, sim.refused == 0, "requests refused again %v ms after the end of the overload", float64(i)*simulationStepMs)
				if float64(i)*simulationStepMs >= 2e3 { // requests that waited at the end are gone
					sim.checkNoPressure(t)
				}
			}
			assert.Equal(t, sim.gatekeepers[0].follower.State().Threshold, policy.ShedNothing)
			shedShare := sim.shed.Sum() / sim.firstTries.Sum()
			assert.Assert(t, shedShare < 0.18, "%.2f of all requests shed in 20 s after the end, want less than 0.18", shedShare)
		})
	}
}

// TestSingleOverloadedGatekeeper checks that a gatekeeper that alone is overloaded sheds by itself,
// while the others continue to serve.
func TestSingleOverloadedGatekeeper(t *testing.T) {
	t.Parallel()
	sim := newSimulation(5, 6, 1)
	sim.run(5e3)
	sim.gatekeepers[2].ownPressure = 1.5
	sim.run(4e3)
	for i, g := range sim.gatekeepers {
		standing := g.follower.State()
		assert.Equal(t, standing.ShedsAlone, i == 2, "gatekeeper %d: %+v", i, standing)
		assert.Equal(t, standing.Threshold < policy.ShedNothing, i == 2, "gatekeeper %d: %+v", i, standing)
	}
	sim.gatekeepers[2].ownPressure = 0
	sim.run(60e3)
	assert.Equal(t, sim.gatekeepers[2].follower.State(), AppliedState{Threshold: policy.ShedNothing})
}

// TestMajorityUnderPressure checks that the cluster sheds only if more than half of the gatekeepers
// are under pressure: both of two, and one of one.
func TestMajorityUnderPressure(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		gatekeepers, pressedCount int
		sheds                     bool
	}{{1, 1, true}, {2, 1, false}, {2, 2, true}, {3, 1, false}, {3, 2, true}, {6, 3, false}, {6, 4, true}} {
		sim := newSimulation(6, testCase.gatekeepers, 1)
		sim.run(5e3)
		for i := range testCase.pressedCount {
			sim.gatekeepers[i].ownPressure = 1.5
		}
		sim.run(2e3)
		assert.Equal(t, sim.holders[0].Level().Threshold < policy.ShedNothing, testCase.sheds, "%d of %d under pressure", testCase.pressedCount, testCase.gatekeepers)
	}
}

// TestDisconnectedGatekeeper checks that a gatekeeper that receives no level keeps the last one, adds
// its own pressure to it, and finally lets it age out.
func TestDisconnectedGatekeeper(t *testing.T) {
	t.Parallel()
	sim := newSimulation(7, 6, 1)
	sim.run(5e3)
	sim.loadFactor = 2
	sim.run(20e3)
	disconnected := sim.gatekeepers[0]
	lastThreshold := disconnected.follower.Level().Threshold
	assert.Assert(t, lastThreshold < policy.ShedNothing)
	disconnected.disconnected = true
	sim.run(5e3)
	standing := disconnected.follower.State()
	assert.Assert(t, standing.Disconnected && !standing.Aging && standing.Threshold <= lastThreshold, "%+v, last %d", standing, lastThreshold)
	disconnected.ownPressure = 1.6 // its own pressure: stricter than the level it received
	sim.run(3e3)
	assert.Assert(t, disconnected.follower.State().Threshold < lastThreshold, "%+v", disconnected.follower.State())
	disconnected.ownPressure, sim.loadFactor = 0, 0.7
	previousThreshold := disconnected.follower.State().Threshold
	sim.run(3e3)
	assert.Assert(t, disconnected.follower.State().Threshold < policy.ShedNothing, "stopped shedding at once, from %d", previousThreshold)
	sim.run(60e3)
	assert.Equal(t, disconnected.follower.State().Threshold, policy.ShedNothing, "the level did not age out")
	sim.loadFactor = 2
	sim.run(20e3)
	disconnected.disconnected = false
	sim.run(1000)
	sim.run(1000)
	assert.Equal(t, disconnected.follower.State().Threshold, sim.gatekeepers[1].follower.State().Threshold, "the cluster's level doesn't apply after reconnecting")
}

// TestServices checks that each service is limited by its own capacity, that all gatekeepers apply the
// same thresholds, and that pressure on shared resources limits all services. A full service with few
// requests takes nothing from the others.
func TestServices(t *testing.T) {
	t.Parallel()
	const gatekeeperCount = 4
	holder := NewHolder(1)
	holder.Begin(0, 1)
	followers, full, shared := make([]Follower, gatekeeperCount), map[string]bool{}, 0.0
	sequence, now := uint64(0), 0.0
	run := func(ms float64) {
		for end := now + ms; now < end; now += 100 {
			sequence++
			for i := range followers {
				report := Report{Node: fmt.Sprint(i), Incarnation: 1, Sequence: sequence, Level: followers[i].Level(), SharedPressure: shared, Pressure: shared, Services: map[string]ServiceReport{}}
				for _, name := range []string{"a", "b"} {
					load := Load{}
					part := ServiceReport{Load: map[uint32]float32{}, Pressure: 0.3}
					for bin := uint32(0); bin < 64; bin += 4 {
						load[bin], part.Load[bin] = 10, 10
					}
					if admitted := load.AdmittedBy(followers[i].ThresholdFor(name)); full[name] {
						part.Pressure, part.AnswerRate = admitted/80, min(admitted, 75)
					} else {
						part.AnswerRate = admitted
					}
					report.Services[name] = part
				}
				assert.Assert(t, holder.Receive(now, report))
			}
			holder.Step(now, gatekeeperCount)
			for i := range followers {
				followers[i].Receive(now, holder.Level())
				followers[i].Step(now, 0, Load{}, 0)
			}
		}
	}
	run(4e3)
	assert.Assert(t, holder.Level().Open())
	full["b"] = true
	run(5e3)
	first := holder.Level()
	for i := range followers {
		assert.Equal(t, followers[i].ThresholdFor("a"), policy.ShedNothing)
		assert.Assert(t, followers[i].ThresholdFor("b") < policy.ShedNothing && followers[i].ThresholdFor("b") == followers[0].ThresholdFor("b"))
		assert.Assert(t, !followers[i].Open())
	}
	assert.Equal(t, holder.Level().Threshold, policy.ShedNothing)

	next := NewHolder(2) // knows no level, and must not stop shedding
	holder.End()
	holder = next
	holder.Begin(now, 2)
	for range 30 {
		run(100)
		assert.Assert(t, followers[0].ThresholdFor("b") < policy.ShedNothing)
	}
	assert.Assert(t, followers[0].Level().Number > first.Number)

	shared = 1.5
	run(3e3)
	assert.Assert(t, followers[0].ThresholdFor("a") < policy.ShedNothing, "pressure on shared resources must limit all services")
	assert.Equal(t, followers[0].ThresholdFor("a"), holder.Level().Threshold)
	shared = 0
	clear(full)
	run(60e3)
	assert.Assert(t, holder.Level().Open(), "%+v", holder.Level())

	// A disconnected gatekeeper ages the services' thresholds out too.
	full["b"] = true
	run(5e3)
	load := Load{}
	for bin := uint32(0); bin < 64; bin += 4 {
		load[bin] = 10
	}
	follower := &followers[0]
	follower.ServiceLoads = map[string]Load{"b": load}
	previousThreshold := follower.ThresholdFor("b")
	follower.Step(now+9e3, 0, load, 0)
	assert.Equal(t, follower.ThresholdFor("b"), previousThreshold)
	follower.Step(now+20e3, 0, load, 0)
	assert.Assert(t, follower.ThresholdFor("b") > previousThreshold && follower.ThresholdFor("b") < policy.ShedNothing)
	follower.Step(now+40e3, 0, load, 0)
	assert.Equal(t, follower.ThresholdFor("b"), policy.ShedNothing)
}

func TestBandwidthShare(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		sent       uint64
		span, mbps float64
		want       float64
	}{{12.5e6, 100, 1000, 1}, {6.25e6, 100, 1000, 0.5}, {1e6, 100, 0, 0}, {1e6, 0, 1000, 0}} {
		assert.Equal(t, BandwidthShare(testCase.sent, testCase.span, testCase.mbps), testCase.want)
	}
}

// TestNewHolder checks that a change of holder doesn't stop the shedding, whether or not the new one
// has received the level, and that the number increases.
func TestNewHolder(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		name       string
		knowsLevel bool
		termFactor uint64 // factor on the term, from which the new one's is counted
	}{{"knows the level", true, 1}, {"knows no level", false, 1}, {"all terms lost", false, 0}} {
		t.Run(testCase.name, func(t *testing.T) {
			sim := newSimulation(8, 6, 2)
			sim.term = 3 * testCase.termFactor
			sim.run(5e3)
			sim.loadFactor = 2
			sim.run(30e3)
			before := sim.gatekeepers[0].follower.Level()
			assert.Assert(t, before.Threshold < policy.ShedNothing)
			if testCase.knowsLevel {
				sim.holders[1].Observe(before)
			}
			sim.elect(-1)
			sim.run(1500)
			sim.term *= testCase.termFactor
			sim.elect(1)
			for range int(20e3 / simulationStepMs) {
				sim.run(simulationStepMs)
				for _, g := range sim.gatekeepers {
					standing := g.follower.State()
					assert.Assert(t, sim.gatekeepers[0].load.AdmittedBy(standing.Threshold) < 1.2*sim.gatekeepers[0].load.AdmittedBy(before.Threshold), "threshold raised to %d from %d at %v", standing.Threshold, before.Threshold, sim.now)
					assert.Assert(t, sim.gatekeepers[0].load.AdmittedBy(standing.Threshold) > 0.7*sim.gatekeepers[0].load.AdmittedBy(before.Threshold), "threshold lowered to %d from %d at %v", standing.Threshold, before.Threshold, sim.now)
				}
			}
			after := sim.gatekeepers[0].follower.Level()
			assert.Assert(t, after.Number > before.Number, "number %x after %x", after.Number, before.Number)
			assert.Equal(t, after.Key, before.Key, "a new key moves every caller")
			assert.Assert(t, sim.allAgree())
		})
	}
}

// TestStaleLevels checks that a level with a lower number is ignored, and that a late answer doesn't
// make a level look recent.
func TestStaleLevels(t *testing.T) {
	t.Parallel()
	var follower Follower
	assert.Assert(t, !follower.Receive(0, Level{}), "a holder that knows no level yet")
	assert.Assert(t, follower.Receive(1000, Level{Number: 5, Threshold: 100}))
	assert.Assert(t, !follower.Receive(1500, Level{Number: 4, Threshold: 200}))
	assert.Assert(t, follower.Receive(500, Level{Number: 6, Threshold: 300}), "a newer level, though requested earlier")
	assert.Equal(t, follower.Level().Threshold, policy.ShedPosition(300))
	assert.Assert(t, follower.Step(2900, 0, Load{}, 0).Threshold == 300 && !follower.State().Disconnected)
	assert.Assert(t, follower.Step(3100, 0, Load{}, 0).Disconnected, "the last answered request was sent at 1000")

	holder := NewHolder(1)
	holder.Begin(0, 1)
	assert.Assert(t, holder.Receive(0, Report{Node: "a", Incarnation: 1, Sequence: 2}))
	assert.Assert(t, !holder.Receive(1, Report{Node: "a", Incarnation: 1, Sequence: 2}), "a duplicate")
	assert.Assert(t, !holder.Receive(1, Report{Node: "a", Incarnation: 1, Sequence: 1}), "out of date")
	assert.Assert(t, holder.Receive(1, Report{Node: "a", Incarnation: 2, Sequence: 1}), "a new incarnation")
	assert.Assert(t, !holder.Receive(2, Report{Node: "b", Incarnation: 1, Sequence: 1, Pressure: math.NaN()}))
	assert.Assert(t, !holder.Receive(2, Report{Node: "b", Incarnation: 1, Sequence: 1, Load: map[uint32]float32{1 << 31: 1}}))
}

// TestFlappingPressure checks that pressure that comes and goes every second doesn't have callers
// admitted and refused in turn.
func TestFlappingPressure(t *testing.T) {
	t.Parallel()
	sim := newSimulation(9, 6, 1)
	sim.run(5e3)
	sim.loadFactor = 1.3
	sim.run(10e3)
	directionChanges := 0
	sim.forcedPressure = func(now float64) float64 {
		if math.Mod(now, 2000) < 1000 {
			return 1.3
		}
		return 0.4
	}
	lastThreshold, raised := sim.holders[0].Level().Threshold, false
	for range int(60e3 / simulationStepMs) {
		sim.run(simulationStepMs)
		if threshold := sim.holders[0].Level().Threshold; threshold != lastThreshold {
			if now := threshold > lastThreshold; now != raised {
				raised = now
				directionChanges++
			}
			lastThreshold = threshold
		}
	}
	assert.Assert(t, directionChanges <= 12, "%d changes of direction in 30 periods, want at most 12", directionChanges)
}

// TestStall guards against a low admitted rate after a stall. Gatekeepers that stall count hardly any
// load and are under pressure; the capacity must not be derived from that for long. This occurred in a
// trial on a machine used by others.
func TestStall(t *testing.T) {
	t.Parallel()
	sim := newSimulation(12, 6, 1)
	sim.run(5e3)
	sim.loadFactor = 2
	sim.run(15e3)
	sim.loadFactor = 0.1
	sim.forcedPressure = func(float64) float64 { return 1.4 }
	sim.run(4e3)
	sim.loadFactor, sim.forcedPressure = 2, nil
	sim.run(20e3)
	admittedSum, samples := 0.0, 0.0
	for range int(10e3 / simulationStepMs) {
		sim.run(simulationStepMs)
		admittedSum, samples = admittedSum+sim.admitted/sim.capacity, samples+1
	}
	assert.Assert(t, admittedSum/samples > 0.8, "admits %.2f of the capacity 20 s after a stall, want more than 0.8", admittedSum/samples)
}

// TestRecoveryFromNearlyFullShedding checks that the admitted rate recovers after long pressure that
// no shedding relieved, when hardly any request is admitted. This occurred in a trial on a machine
// without spare CPU.
func TestRecoveryFromNearlyFullShedding(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.8, 2} {
		sim := newSimulation(13, 6, 1)
		sim.retries, sim.firstTries, sim.shed = true, Load{}, Load{}
		sim.run(5e3)
		sim.loadFactor = load
		sim.forcedPressure = func(float64) float64 { return 1.6 }
		sim.run(30e3)
		assert.Assert(t, sim.admitted < 0.3*sim.capacity, "admits %v of a capacity of %v", sim.admitted, sim.capacity)
		sim.forcedPressure = nil
		sim.run(15e3)
		admittedSum, samples := 0.0, 0.0
		for range int(5e3 / simulationStepMs) {
			sim.run(simulationStepMs)
			admittedSum, samples = admittedSum+sim.admitted/sim.capacity, samples+1
		}
		assert.Assert(t, admittedSum/samples > 0.7, "admits %.2f of the capacity at a load of %v, 15 s after the pressure, want more than 0.7", admittedSum/samples, load)
	}
}

// TestOneLargeCaller checks that a caller that makes up a third of the load, right at the threshold,
// isn't admitted and refused in turn.
func TestOneLargeCaller(t *testing.T) {
	t.Parallel()
	load := Load{0: 50, 20: 50, 40: 100, 60: 20}
	var controller Controller
	now, changes, lastThreshold := 0.0, 0, policy.ShedNothing
	for range int(300e3 / 100) {
		now += 100
		admitted := load.AdmittedBy(controller.Threshold())
		threshold := controller.Step(now, admitted/150*0.95, load, min(admitted, 150), policy.ShedNothing)
		if threshold != lastThreshold {
			lastThreshold = threshold
			changes++
		}
	}
	assert.Assert(t, changes <= 22, "%d changes in five minutes, want at most 22", changes)
}

// TestRotationsAreApart checks that no two rotations occur within rotationMs, even if the holder changes.
func TestRotationsAreApart(t *testing.T) {
	t.Parallel()
	sim := newSimulation(10, 3, 2)
	lastRotation, rotatedAt := uint64(0), 0.0
	for i := range int(400e3 / simulationStepMs) {
		if i%850 == 849 { // a new holder each 85 s
			sim.elect(1 - sim.holderIndex)
		}
		sim.run(simulationStepMs)
		if rotation := sim.holders[sim.holderIndex].Level().Rotation; rotation > lastRotation {
			if lastRotation > 0 {
				assert.Assert(t, sim.now-rotatedAt >= rotationMs && rotation == lastRotation+1, "rotation %d came %v ms after the last", rotation, sim.now-rotatedAt)
			}
			lastRotation, rotatedAt = rotation, sim.now
		}
	}
	assert.Assert(t, lastRotation >= 2, "%d rotations, want at least 2", lastRotation)
}

// TestRotationMovesLoad checks that a rotation moves the smoothed load too. Otherwise the threshold
// would be wrong until that load has decayed.
func TestRotationMovesLoad(t *testing.T) {
	t.Parallel()
	load := Load{0: 1, 16: 2, 31: 3, 33: 4}
	load.Rotate(1)
	assert.DeepEqual(t, load, Load{0: 1, 17: 2, 16: 3, 34: 4})
	load.Rotate(policy.BinsPerTier)
	assert.DeepEqual(t, load, Load{0: 1, 17: 2, 16: 3, 34: 4})
}

// TestCosts checks that the costs of routes are updated with hysteresis, and left unchanged while
// requests are refused.
func TestCosts(t *testing.T) {
	t.Parallel()
	holder := NewHolder(1)
	holder.Begin(0, 1)
	sequence, now := uint64(0), 0.0
	for _, testCase := range []struct {
		ms        float32
		threshold policy.ShedPosition
		want      byte
	}{{60, policy.ShedNothing, 6}, {66, policy.ShedNothing, 6}, {90, policy.ShedNothing, 7}, {60, policy.ShedNothing, 7}, {20, 5, 7}, {20, policy.ShedNothing, 5}} {
		sequence, now = sequence+1, now+2000
		holder.Receive(now, Report{Node: "a", Incarnation: 1, Sequence: sequence, Version: 1, RouteCostsMs: map[int]float32{0: testCase.ms}})
		holder.level.Threshold = testCase.threshold
		holder.updateCosts()
		assert.Equal(t, holder.level.RouteCosts[0], testCase.want, "%v ms", testCase.ms)
	}
}

// TestOperatorOverride checks that an operator's threshold applies for its time, and no longer.
func TestOperatorOverride(t *testing.T) {
	t.Parallel()
	sim := newSimulation(11, 3, 1)
	sim.run(5e3)
	sim.holders[0].Override(sim.now, 5000, 3000)
	sim.run(1000)
	assert.Equal(t, sim.gatekeepers[1].follower.State().Threshold, policy.ShedPosition(5000))
	sim.run(4000)
	assert.Equal(t, sim.gatekeepers[1].follower.State().Threshold, policy.ShedNothing)
}

// TestOneSlowService checks that one slow service doesn't count as pressure on the cluster.
func TestOneSlowService(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		services []Service
		want     float64
	}{
		{nil, 0},
		{[]Service{{2, 10}}, 2},
		{[]Service{{2, 60}, {0.3, 20}, {0.4, 20}}, 0.4},
		{[]Service{{2, 90}, {0.3, 5}, {0.4, 5}}, 0.4},
		{[]Service{{0.4, 20}, {2, 60}, {1.5, 20}}, 1.5},
		{[]Service{{1.2, 33}, {1.1, 33}, {0.2, 33}}, 1.1},
	} {
		assert.Equal(t, MajorityPressure(testCase.services), testCase.want, "%v", testCase.services)
	}
}

func TestDescribe(t *testing.T) {
	t.Parallel()
	threshold := policy.ShedPosition(policy.Tier(2, 1, 0)) << 12
	for _, testCase := range []struct {
		threshold policy.ShedPosition
		want      string
	}{
		{policy.ShedNothing, "nothing"},
		{threshold, "from tenants of priority 2, routes of priority 1 on, all"},
		{threshold + 4<<8, "of tenants of priority 2, routes of priority 1 12 of 16 callers' parts, and all below"},
	} {
		assert.Equal(t, Describe(testCase.threshold), testCase.want)
	}
}

func TestOptions(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		options Options
		valid   bool
	}{
		{Options{}, true}, {Options{On: true, NeverShedBelow: 2, MinServedShare: 0.1, CallerHeader: "X-Branch"}, true},
		{Options{On: true, NeverShedBelow: -1}, false}, {Options{On: true, MinServedShare: 0.6}, false}, {Options{On: true, MinServedShare: math.NaN()}, false},
		{Options{On: true, CallerHeader: CallerAddress, SingleThreshold: true}, true}, {Options{SingleThreshold: true}, false}, {Options{On: true, CallerHeader: "X Branch"}, false}, {Options{NeverShedBelow: 1}, false},
	} {
		assert.Equal(t, testCase.options.Check() == nil, testCase.valid, "%+v: %v", testCase.options, testCase.options.Check())
	}
}

// TestAnyOrderOfMessages checks, whatever messages are lost or late and whichever nodes are
// disconnected or restarted, that gatekeepers with the same level number apply the same threshold and
// that numbers never decrease. Once there are no faults for the settling time, all connected
// gatekeepers agree, so that no lower tier is admitted where a higher one is refused.
func TestAnyOrderOfMessages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "gates"), 3)
		sim.binsPerTier = 4
		sim.run(3e3)
		levelByNumber := map[uint64]Level{}
		numbers := make([]uint64, len(sim.gatekeepers))
		checkLevels := func() {
			for i, affected := range sim.gatekeepers {
				level := affected.follower.Level()
				assert.Assert(t, level.Number >= numbers[i], "the number of gatekeeper %d decreased", i)
				numbers[i] = level.Number
				if level.Number == 0 {
					continue
				}
				if other, ok := levelByNumber[level.Number]; ok {
					assert.Assert(t, other.Threshold == level.Threshold && other.Terms() == level.Terms(), "two levels with number %x", level.Number)
				}
				levelByNumber[level.Number] = level
			}
		}
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			affected := sim.gatekeepers[rapid.IntRange(0, len(sim.gatekeepers)-1).Draw(t, "gate")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				sim.loadFactor = rapid.Float64Range(0.3, 3).Draw(t, "load")
			case 1:
				affected.disconnected = !affected.disconnected
			case 2:
				sim.elect(-1)
			case 3:
				sim.elect(rapid.IntRange(0, 2).Draw(t, "holder"))
			case 4:
				sim.lossShare = rapid.Float64Range(0, 0.6).Draw(t, "loss")
			case 5: // a gatekeeper restarts and knows no level
				affected.follower, affected.load, affected.sequence = Follower{}, Load{}, affected.sequence+1000
				for i := range sim.gatekeepers {
					if sim.gatekeepers[i] == affected {
						numbers[i] = 0
					}
				}
			case 6:
				affected.delayMs = rapid.Float64Range(0, 1500).Draw(t, "late")
			case 7: // the whole core loses its state
				for i := range sim.holders {
					sim.holders[i] = sim.newHolder()
				}
				sim.term = 0
				sim.elect(0)
			}
			for range rapid.IntRange(2, 60).Draw(t, "steps") {
				sim.run(simulationStepMs)
				checkLevels()
			}
		}
		// No faults: all gatekeepers are connected, no message is lost, and the load is below the known
		// capacity.
		sim.lossShare = 0
		for _, affected := range sim.gatekeepers {
			affected.disconnected, affected.delayMs = false, 0
		}
		if sim.holderIndex < 0 {
			sim.elect(1)
		}
		sim.run(initialGatherMs + 1000)
		for range int(8e3 / simulationStepMs) {
			sim.run(simulationStepMs)
			checkLevels()
			last := 0.0
			if n := len(sim.changedAt); n > 0 {
				last = sim.changedAt[n-1]
			}
			if sim.now-last > 1000 {
				assert.Assert(t, sim.allAgree(), "gatekeepers differ %v ms after the last change", sim.now-last)
			}
		}
	})
}
