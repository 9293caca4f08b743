package chain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// world simulates a set of core machines with their network and disks. The first violation of an
// invariant is kept in broken. Times are in milliseconds.
type world struct {
	rng          *rand.Rand
	now          float64
	queue        queue
	scheduled    uint64
	nodes        []*node
	cut          map[[2]string]bool
	lossRate     float64
	encodeAll    bool       // messages and records are encoded as CBOR and decoded
	removalRNG   *rand.Rand // source of an operator's random removal orders; nil for none
	noDelays     bool       // no message is delayed
	seeds        []string
	faults       faults
	incarnations uint64
	lastID       uint64
	violation    error
	tolerance    int // number of machines that may be lost at once

	views               map[uint64]string
	decided             map[uint64]View
	removedAddrs        map[string]bool // addresses of machines that were removed for good
	replacementRNG      *rand.Rand      // source of replacements and graceful restarts; nil for none
	pendingNotices      int             // machines that will end for good but have not yet
	replacementsOver    bool            // no more replacements and restarts
	returnGrace         float64         // how long a machine that has returned counts as lost
	added               int
	seats               int // number of seats that the core should have
	replaced            int
	committed           map[uint64]LogPosition
	acknowledged        uint64 // highest version that was acknowledged
	edition             uint64
	calls               map[uint64]*call
	zone                zoneClient
	acknowledgedChanges int
	answeredReads       int
	removals            [3]int // number of removal orders by outcome
	maxView             uint64
}

// zoneClient is an operator that evacuates a zone and ends the evacuation, one change after the
// other.
type zoneClient struct {
	pending   bool
	known     bool // the last change was acknowledged, so the expected state is known
	evacuated bool
	changes   uint64
}

// call is a request of an operator to a machine.
type call struct {
	node        *node
	incarnation uint64
	edition     uint64
	removal     string
	zone        bool
	evacuate    bool
	read        bool
	minEdition  uint64
	zoneChange  uint64
	startedAt   float64
	outcome     *Outcome
}

// node is a machine with its disk.
type node struct {
	addr        string
	machine     *Machine
	disk        []Record
	up          bool
	incarnation uint64
	wiped       bool // its disk was lost and it is not complete again
	frozenUntil float64
	syncing     bool
	seenView    uint64
	syncs       uint64 // number of sync batches, over all incarnations
	unsynced    Output
	inbox       []Event
	edition     uint64
	clockOffset float64
	seeds       []string // its own seeds if it was added later
	lostDisks   []string // names of the disks it has lost
	firstStart  bool     // its next start is a first start
	returnedAt  float64  // when it last returned from being down, frozen or partitioned
}

// item is an action at a simulated time.
type item struct {
	at     float64
	order  uint64
	action func()
}

// queue is a heap of actions ordered by time.
type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newWorld creates a world whose machines are starting for the first time.
func newWorld(seed uint64, machines, seeds int, f faults) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, faults: f, views: map[uint64]string{},
		decided: map[uint64]View{}, removedAddrs: map[string]bool{}, seats: machines,
		committed: map[uint64]LogPosition{}, calls: map[uint64]*call{}}
	w.tolerance = 0
	if machines >= 5 {
		w.tolerance = 2
	}
	if machines == 3 || machines == 4 {
		w.tolerance = 1
	}
	for i := range machines {
		n := &node{addr: fmt.Sprintf("10.0.0.%d:1", i+1), clockOffset: w.rng.Float64() * 1e6}
		w.nodes = append(w.nodes, n)
		if i < seeds {
			w.seeds = append(w.seeds, n.addr)
		}
	}
	for _, n := range w.nodes {
		w.boot(n, true)
	}
	return w
}

// fail records the first violation of an invariant.
func (w *world) fail(format string, a ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("at %.0f ms: %s", w.now, fmt.Sprintf(format, a...))
	}
}

// schedule schedules an action.
func (w *world) schedule(delay float64, action func()) {
	w.scheduled++
	heap.Push(&w.queue, item{w.now + delay, w.scheduled, action})
}

// run advances the simulation to a time.
func (w *world) run(until float64) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violation == nil {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.action()
	}
	w.now = max(w.now, until)
}

// boot starts a machine's process.
func (w *world) boot(n *node, first bool) {
	if n.up || w.removedAddrs[n.addr] {
		return
	}
	w.incarnations++
	n.up, n.incarnation, n.syncing, n.inbox, n.frozenUntil, n.returnedAt = true, w.incarnations, false, nil, 0, w.now
	n.clockOffset = w.rng.Float64() * 1e6
	seeds := w.seeds
	if n.seeds != nil {
		seeds = n.seeds
	}
	n.machine = New(Config{Self: MachineID{Addr: n.addr}, Seeds: seeds, FirstRun: first || n.firstStart, Seed: w.rng.Uint64(), CompactBytes: 3000}, n.disk, w.now+n.clockOffset)
	n.machine.faults, n.firstStart = w.faults, false
	if w.faults.forgetVotes {
		n.machine.promised, n.machine.accepted = Ballot{}, nil
	}
	n.edition = n.machine.committed.Edition
	w.tick(n, n.incarnation)
}

// tick gives a process its clock ticks.
func (w *world) tick(n *node, incarnation uint64) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	w.deliver(n, Event{})
	w.schedule(45+w.rng.Float64()*10, func() { w.tick(n, incarnation) })
}

// deliver queues an event at a machine.
func (w *world) deliver(n *node, e Event) {
	if !n.up {
		return
	}
	if e == (Event{}) && (n.syncing || n.frozenUntil > w.now) {
		return
	}
	n.inbox = append(n.inbox, e)
	w.process(n)
}

// process processes queued events until the machine waits for its disk.
func (w *world) process(n *node) {
	for n.up && !n.syncing && len(n.inbox) > 0 && n.frozenUntil <= w.now {
		event := n.inbox[0]
		n.inbox = n.inbox[1:]
		out := n.machine.Step(w.now+n.clockOffset, event)
		n.unsynced = out
		if len(out.Persist) == 0 {
			w.release(n)
			continue
		}
		n.syncing = true
		n.syncs++
		batch := n.syncs
		w.schedule(1+w.rng.Float64()*6, func() { w.finishSync(n, batch) })
	}
}

// finishSync releases the output of a step whose sync has ended.
func (w *world) finishSync(n *node, batch uint64) {
	if !n.syncing || n.syncs != batch {
		return
	}
	if n.frozenUntil > w.now {
		w.schedule(min(20, n.frozenUntil-w.now+0.001), func() { w.finishSync(n, batch) })
		return
	}
	n.syncing = false
	w.release(n)
	w.process(n)
}

// release stores the records of a step and releases its messages and answers.
func (w *world) release(n *node) {
	out := n.unsynced
	n.unsynced = Output{}
	for _, r := range out.Persist {
		if w.encodeAll {
			r = roundTrip(w, r)
		}
		n.disk = append(n.disk, r)
	}
	if out.Compact {
		n.disk = n.machine.Snapshot()
	}
	w.checkInvariants(n)
	for _, g := range out.Send {
		w.transmit(g)
	}
	for _, r := range out.Results {
		w.checkAnswer(n, r)
	}
}

// transmit delivers a message with delays, losses and duplicates.
func (w *world) transmit(msg Message) {
	if w.cut[[2]string{msg.From.Addr, msg.To.Addr}] || w.rng.Float64() < w.lossRate {
		return
	}
	delay := 0.3 + w.rng.Float64()*4
	if !w.noDelays && w.rng.Float64() < 0.02 {
		delay += w.rng.Float64() * 300 // which also reorders messages
	}
	if w.lossRate > 0 && w.rng.Float64() < 0.01 {
		delay += w.rng.Float64() * 4000
	}
	if w.encodeAll {
		msg = roundTrip(w, msg)
	}
	duplicate := w.lossRate > 0 && w.rng.Float64() < 0.02
	for _, n := range w.nodes {
		if n.addr == msg.To.Addr {
			to := n
			w.schedule(delay, func() { w.deliver(to, Event{Message: &msg}) })
			if duplicate {
				w.schedule(delay+w.rng.Float64()*1000, func() { w.deliver(to, Event{Message: &msg}) })
			}
		}
	}
}

// roundTrip encodes and decodes a value as messages and records are outside of tests.
func roundTrip[T any](w *world, value T) (out T) {
	encoded, err := cbor.Marshal(value)
	if err == nil {
		err = cbor.Unmarshal(encoded, &out)
	}
	if err != nil {
		w.fail("coding: %v", err)
	}
	return out
}

// checkInvariants tests the invariants that must hold on each machine at all times.
func (w *world) checkInvariants(n *node) {
	view := n.machine.view
	if view.Number != n.seenView {
		n.seenView = view.Number
		text := fmt.Sprint(view)
		if other, ok := w.views[view.Number]; ok && other != text {
			w.fail("two views under one number: %s and %s", other, text)
		}
		w.views[view.Number] = text
		w.maxView = max(w.maxView, view.Number)
		if _, ok := w.decided[view.Number]; !ok {
			w.decided[view.Number] = view
			w.checkTolerance(view)
		}
	}
	state := n.machine.committed
	if state.Edition < n.edition {
		w.fail("%s goes back from edition %d to %d", n.addr, n.edition, state.Edition)
	}
	n.edition = state.Edition
	if state.Edition > 0 && string(state.Body) != fmt.Sprint("body ", state.Edition) {
		w.fail("%s has a wrong body for edition %d", n.addr, state.Edition)
	}
	if state.Last.Seq > 0 {
		if other, ok := w.committed[state.Last.Seq]; ok && other != state.Last {
			w.fail("%s commits %v where %v was committed", n.addr, state.Last, other)
		}
		w.committed[state.Last.Seq] = state.Last
	}
	if n.wiped && n.machine.chainIndex() >= 0 && view.Number == w.maxView && n.machine.isComplete() {
		n.wiped = false
	}
}

// checkAnswer checks the answer to a request.
func (w *world) checkAnswer(n *node, result Result) {
	request := w.calls[result.ID]
	if request == nil || request.outcome != nil {
		w.fail("answer to an unknown request")
		return
	}
	delete(w.calls, result.ID)
	request.outcome = &result.Outcome
	switch {
	case request.removal != "":
		w.removals[result.Outcome]++
	case request.read:
		if result.Outcome != OK {
			return
		}
		w.answeredReads++
		if result.State.Edition < request.minEdition {
			w.fail("%s reads edition %d after %d was acknowledged", n.addr, result.State.Edition, request.minEdition)
		}
		if _, ok := result.State.Evacuated["z"]; request.zoneChange > 0 && request.zoneChange == w.zone.changes && ok != w.zone.evacuated {
			w.fail("%s reads the zone as evacuated=%v, acknowledged was %v", n.addr, ok, w.zone.evacuated)
		}
	case request.zone:
		w.zone.pending = false
		if result.Outcome == OK {
			w.zone.known, w.zone.evacuated = true, request.evacuate
		}
	case result.Outcome == OK:
		w.acknowledgedChanges++
		w.acknowledged = max(w.acknowledged, request.edition)
	}
}

// submit submits the next configuration at a machine.
func (w *world) submit(n *node) *call {
	w.edition++
	request := &call{node: n, edition: w.edition, startedAt: w.now}
	w.request(n, request, Event{Submit: &Submit{Change: Change{Kind: PutConfiguration, Edition: w.edition, Body: []byte(fmt.Sprint("body ", w.edition))}}})
	return request
}

// submitZoneChange submits a zone change at a machine unless one is pending.
func (w *world) submitZoneChange(n *node) {
	if w.zone.pending {
		return
	}
	w.zone.pending, w.zone.known = true, false
	w.zone.changes++
	request := &call{node: n, zone: true, evacuate: w.rng.IntN(2) == 0, startedAt: w.now}
	kind := EndEvacuation
	if request.evacuate {
		kind = Evacuate
	}
	w.request(n, request, Event{Submit: &Submit{Change: Change{Kind: kind, Zone: "z"}}})
}

// read requests a read at a machine.
func (w *world) read(n *node) *call {
	request := &call{node: n, read: true, minEdition: w.acknowledged, startedAt: w.now}
	if w.zone.known && !w.zone.pending {
		request.zoneChange = w.zone.changes
	}
	w.request(n, request, Event{Read: &Read{}})
	return request
}

// request gives a request an ID and passes it to its machine.
func (w *world) request(n *node, pending *call, event Event) {
	w.lastID++
	pending.incarnation = n.incarnation
	w.calls[w.lastID] = pending
	switch {
	case event.Submit != nil:
		event.Submit.ID = w.lastID
	case event.Remove != nil:
		event.Remove.ID = w.lastID
	default:
		event.Read.ID = w.lastID
	}
	w.deliver(n, event)
}

// remove orders the removal of a machine.
func (w *world) remove(operator, target *node) {
	w.request(operator, &call{node: operator, removal: target.addr, startedAt: w.now}, Event{Remove: &Remove{Addr: target.addr}})
}

// kill ends a process. Part of what it was syncing may be on its disk.
func (w *world) kill(n *node) {
	if !n.up {
		return
	}
	n.up = false
	if n.syncing {
		kept := w.rng.IntN(len(n.unsynced.Persist) + 1)
		n.disk = append(n.disk, n.unsynced.Persist[:kept]...)
	}
	n.unsynced, n.inbox, n.syncing = Output{}, nil, false
	for id, request := range w.calls {
		if request.node == n {
			delete(w.calls, id)
			if request.zone {
				w.zone.pending = false
			}
		}
	}
}

// wipe ends a process and loses its disk.
func (w *world) wipe(n *node) {
	w.kill(n)
	if n.machine != nil {
		n.firstStart = n.machine.seatPending // it never had a seat, so its settings are still those of the first start
		n.lostDisks = append(n.lostDisks, n.machine.Self().Disk)
	}
	n.disk, n.wiped = nil, true
}

// lostMachines returns the machines that count as lost: down, frozen, or not complete members of
// the newest chain.
func (w *world) lostMachines() map[*node]bool {
	lost := map[*node]bool{}
	for _, n := range w.nodes {
		if w.replacementRNG != nil && (w.isPartitioned(n) || w.now-n.returnedAt < w.returnGrace) {
			lost[n] = true
			continue
		}
		if n.up && n.frozenUntil <= w.now && w.waitsForSeat(n) {
			continue
		}
		if !n.up || n.wiped || n.frozenUntil > w.now || n.machine.View().Number != w.maxView || n.machine.chainIndex() < 0 || !n.machine.isComplete() {
			lost[n] = true
		}
	}
	return lost
}

// randomNode returns a random machine.
func (w *world) randomNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

// injectFailure causes a random failure or repair.
func (w *world) injectFailure() {
	n := w.randomNode()
	if w.removalRNG != nil {
		if operator, target := w.nodes[w.removalRNG.IntN(len(w.nodes))], w.nodes[w.removalRNG.IntN(len(w.nodes))]; operator.up {
			w.remove(operator, target)
		}
	}
	restartLater := func(n *node, within float64) {
		w.schedule(50+w.rng.Float64()*within, func() { w.boot(n, false) })
	}
	if w.replacementRNG != nil && w.replacementRNG.IntN(2) == 0 {
		w.replaceOrRestart(w.nodes[w.replacementRNG.IntN(len(w.nodes))])
		return
	}
	switch w.rng.IntN(13) {
	case 0, 1:
		w.kill(n)
		restartLater(n, 3000)
	case 2:
		for _, n := range w.nodes {
			w.kill(n)
			restartLater(n, 1000)
		}
	case 3, 4, 5: // lose up to as many disks as tolerated, possibly while all others lose power
		lost := w.lostMachines()
		for range 2 {
			if victim := w.randomNode(); len(lost) < w.tolerance || lost[victim] && victim.wiped && (w.replacementRNG == nil || len(lost) <= w.tolerance) {
				lost[victim] = true
				w.wipe(victim)
				restartLater(victim, 2000)
			}
		}
		if w.rng.IntN(2) == 0 {
			for _, n := range w.nodes {
				w.kill(n)
				restartLater(n, 1500)
			}
		}
	case 6:
		other := w.randomNode()
		w.cut[[2]string{n.addr, other.addr}] = true
	case 7:
		other := w.randomNode()
		w.cut[[2]string{n.addr, other.addr}], w.cut[[2]string{other.addr, n.addr}] = true, true
	case 8: // isolate a machine or split the network
		apart := []*node{n}
		if w.rng.IntN(2) == 0 {
			apart = slices.DeleteFunc(slices.Clone(w.nodes), func(*node) bool { return w.rng.IntN(2) != 0 })
		}
		w.partition(apart)
	case 9, 10:
		w.heal()
	case 11:
		w.freeze(n, 100+w.rng.Float64()*3000)
	case 12:
		w.lossRate = []float64{0, 0, 0.05, 0.2}[w.rng.IntN(4)]
	}
}

// partition cuts all connections between some machines and the others.
func (w *world) partition(apart []*node) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if slices.Contains(apart, a) != slices.Contains(apart, b) {
				w.cut[[2]string{a.addr, b.addr}] = true
			}
		}
	}
}

// heal restores all connections.
func (w *world) heal() {
	for _, n := range w.nodes {
		if w.isPartitioned(n) {
			n.returnedAt = w.now
		}
	}
	clear(w.cut)
}

// freeze stops a machine for a while.
func (w *world) freeze(n *node, duration float64) {
	n.frozenUntil, n.returnedAt = w.now+duration, w.now+duration
	w.schedule(duration+0.001, func() { w.process(n) })
}

// submitLoad submits random requests until a time.
func (w *world) submitLoad(until float64) {
	n := w.randomNode()
	if n.up {
		switch w.rng.IntN(5) {
		case 0, 1:
			w.submit(n)
		case 2:
			w.submitZoneChange(n)
		default:
			w.read(n)
		}
	}
	if w.now < until {
		w.schedule(10+w.rng.Float64()*150, func() { w.submitLoad(until) })
	}
}

// endFailures ends all failures and restarts the machines that are down. Without all, up to the
// tolerated number of machines that lost their disks stay down.
func (w *world) endFailures(all bool) {
	clear(w.cut)
	w.lossRate, w.noDelays, w.replacementsOver = 0, true, true
	down := 0
	for _, n := range w.nodes {
		n.frozenUntil = min(n.frozenUntil, w.now)
		if n.up && n.machine.leaving {
			w.kill(n) // it is started again below
		}
		w.process(n)
		if n.up {
			continue
		}
		if down++; all || down > w.tolerance || n.disk != nil {
			w.boot(n, false)
		}
	}
}

// simulate runs a world with random failures and returns the first violated invariant.
func simulate(seed uint64, machines, seeds int, f faults) (*world, error) {
	w := newWorld(seed, machines, seeds, f)
	w.encodeAll = seed%20 == 0
	if f.removeAtRandom {
		w.removalRNG = rand.New(rand.NewPCG(seed, 2))
	}
	if f.replaceMachines {
		w.replacementRNG, w.returnGrace = rand.New(rand.NewPCG(seed, 3)), returnGraceMillis
	}
	end := 6000.0
	if f.replaceMachines {
		end = 12000
	}
	w.schedule(500, func() { w.submitLoad(end) })
	var nextFailure func()
	nextFailure = func() {
		if w.now < end {
			w.injectFailure()
			w.schedule(20+w.rng.ExpFloat64()*500, nextFailure)
		}
	}
	w.schedule(300+w.rng.Float64()*1200, nextFailure)
	w.run(end)
	w.endFailures(true)
	w.run(w.now + 2500)
	w.requireProgress("2.5 s without failures")
	w.run(w.now + 3000)
	w.requireSettled()
	if w.violation != nil {
		return w, w.violation
	}
	// Lose up to as many machines as tolerated and require progress without them.
	killed := 0
	for _, n := range w.nodes {
		if killed < w.tolerance && w.rng.IntN(2) == 0 {
			killed++
			w.kill(n)
		}
	}
	w.run(w.now + 2500)
	w.requireProgress("2.5 s of a tolerated loss")
	return w, w.violation
}

// requireProgress requires that a change and a read succeed at every running machine.
func (w *world) requireProgress(when string) {
	if w.violation != nil {
		return
	}
	var requests []*call
	for _, n := range w.nodes {
		if n.up {
			requests = append(requests, w.submit(n), w.read(n))
		}
	}
	w.run(w.now + 950)
	for _, request := range requests {
		if request.outcome == nil || *request.outcome != OK {
			outcome := "no answer"
			if request.outcome != nil {
				outcome = fmt.Sprint(*request.outcome)
			}
			var statuses string
			for _, n := range w.nodes {
				if n.up {
					statuses += fmt.Sprintf("\n  %+v attempt=%+v accepted=%+v", n.machine.Status(), n.machine.ownAttempt, n.machine.accepted)
				}
			}
			w.fail("%s: no progress at %s (read: %v): %v%s", when, request.node.addr, request.read, outcome, statuses)
		}
	}
}

// requireSettled requires that all machines are in the chain and hold the same state.
func (w *world) requireSettled() {
	if w.violation != nil {
		return
	}
	var reference *node
	for _, n := range w.nodes {
		view := n.machine.View()
		if w.replacementRNG != nil && w.waitsForSeat(n) {
			continue
		}
		if len(view.Chain) != w.seats || len(view.Core) != w.seats || view.Seats != w.seats || !slices.Contains(view.Chain, n.machine.Self()) {
			w.fail("%s is not back in a complete chain: %+v", n.addr, n.machine.Status())
			return
		}
		if reference == nil {
			reference = n
		}
		if n.machine.committed.Last != reference.machine.committed.Last || n.machine.committed.Edition < w.acknowledged {
			w.fail("%s holds %v, %s holds %v; edition %d was acknowledged", n.addr, n.machine.committed.Last, reference.addr, reference.machine.committed.Last, w.acknowledged)
		}
	}
}
