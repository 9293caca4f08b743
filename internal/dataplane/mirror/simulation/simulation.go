// Package simulation simulates a week of traffic mirroring on a virtual clock. It runs the real
// mirroring engines (package mirror) of many gatekeepers, with simulated clients, live workers, mirror
// targets, calls between gatekeepers, and incidents. A ledger records all events and checks that no
// guarantee of mirroring is violated. The result depends only on the plan and its seed.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"foxwood/internal/dataplane/mirror"
)

// Times are in ms, from the beginning of the week.
const (
	second       = 1000.0
	hour         = 3600 * second
	day          = 24 * hour
	days         = 7
	idleTimeoutS = 3 * 3600
	warmUp       = 5 * hour  // flows that began before the start have ended when the week begins
	coolDown     = 14 * hour // simulated beyond the week, until all flows have ended
)

// Plan holds the parameters of a simulation.
type Plan struct {
	Seed          uint64
	Gatekeepers   int
	Flows         int // approximate number of flows in the week
	PollIntervalS float64
	Days          int    // days to simulate, from the week's beginning; 0 means all
	Fault         string // name of a fault to plant; empty for none
}

// plantedFaults are the faults that can be planted, to test that the ledger detects them.
var plantedFaults = map[string]string{
	"choice":    "one gatekeeper hashes with another key",
	"loss":      "reports of lost pieces name other flows",
	"cut":       "an isolated gatekeeper is taken to have no items",
	"death":     "a dead gatekeeper is taken to have no items left",
	"stances":   "responses lack the effective rules",
	"twice":     "one copy in a hundred is sent twice",
	"retry":     "unanswered copies are sent again",
	"handed":    "a flow that is handed over has one piece twice",
	"blind":     "gatekeepers do not learn the live workers' addresses",
	"resend":    "unsafe requests are retried when a gatekeeper dies",
	"careless":  "three pieces in a hundred are dropped",
	"ages":      "pieces have random ages",
	"half":      "flows lose a piece during the hand-over",
	"forgetful": "one response in fifty lacks its first item without a gap in the numbers",
}

var (
	tenants        = []string{"larch", "birch", "rowan", "alder", "aspen", "maple", "hazel", "cedar"}
	excludedTenant = "cedar" // the tenant that the mirroring rules exclude
	routes         = []struct {
		name, destination string
		safe, wanted      bool
	}{{"quote", "rates", true, true}, {"lookup", "numbers", true, true}, {"preapproval", "deals", false, true}, {"cutover", "numbers", false, true}, {"press", "news", true, false}}
)

// clientRequest is a request that a client sends, with up to six attempts.
type clientRequest struct {
	flow       *clientFlow
	id         int
	route      int
	gatekeeper *gatekeeperNode // gatekeeper for the first attempt; nil for a random one
}

// clientFlow is a flow from the client's side.
type clientFlow struct {
	name      string
	tenant    string
	remaining int // requests still to send
	slow      bool
	returns   bool // the client starts another flow with the same name much later
}

// gatekeeperNode is a gatekeeper's node and its current incarnation.
type gatekeeperNode struct {
	index         int
	name          string
	region        string
	incarnation   uint64
	engine        *mirror.Engine
	running       bool // the process is running
	ready         bool
	isolated      bool
	leaving       bool
	controlServer int
	knownWorkers  int // number of live workers that it was last told
	clockDrift    float64
	clockOffset   float64
	openRequests  map[int]*liveRequest // by piece
	lastCounts    mirror.Counts
}

// liveRequest is a real request that a live worker is running.
type liveRequest struct {
	request *clientRequest
	piece   int
	ticket  mirror.Ticket
}

// memberSnapshot is the member list from a time on.
type memberSnapshot struct {
	at      float64
	members []mirror.Member
}

// simulation is the state of a simulated week.
type simulation struct {
	plan          Plan
	random        *rand.Rand
	now           float64
	events        eventQueue
	lastSequence  uint64
	gatekeepers   []*gatekeeperNode
	memberHistory []memberSnapshot  // actual member lists, the latest last
	published     []*gatekeeperNode // listed by the directory
	viewLag       []float64         // by control server: age of its member list
	downUntil     []float64         // by control server: time until which it does not answer
	rule          *mirror.Rule
	faultyRule    *mirror.Rule // rule with another key, for the planted fault "choice"
	liveAddresses map[string]bool
	liveSince     map[string]float64 // time from which a live worker serves at a mirror target's address
	hanging       map[string]bool    // addresses of mirror targets that do not answer
	incarnations  uint64
	lastID        int // of flows, requests and pieces
	ledger        *ledger
	incidents     []incident
	targets       map[string]string // mirror targets' addresses by destination
}

// incident is an entry of the report's list of incidents.
type incident struct {
	at   float64
	text string
}

// event is an action at a time. Events at the same time run in the order of scheduling.
type event struct {
	at       float64
	sequence uint64
	action   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n] = event{}
	*e = (*e)[:n]
	return x
}

// scheduleIn schedules an action after a delay.
func (s *simulation) scheduleIn(delayMs float64, action func()) { s.schedule(s.now+delayMs, action) }

// schedule schedules an action at a time.
func (s *simulation) schedule(at float64, action func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at, s.lastSequence, action})
}

// clock returns the time of the gatekeeper's own monotonic clock.
func (g *gatekeeperNode) clock(now float64) float64 { return g.clockOffset + now*(1+g.clockDrift) }

// uniform returns a random number between two bounds.
func (s *simulation) uniform(a, b float64) float64 { return a + s.random.Float64()*(b-a) }

// simulate runs a whole simulation and evaluates it.
func simulate(plan Plan) *simulation {
	if plan.Days == 0 {
		plan.Days = days
	}
	sim := &simulation{plan: plan, now: -warmUp, random: rand.New(rand.NewPCG(plan.Seed, 77)), liveAddresses: map[string]bool{}, liveSince: map[string]float64{}, hanging: map[string]bool{}, ledger: newLedger(),
		targets: map[string]string{"rates": "10.9.0.1:8080", "deals": "10.9.0.2:8080", "numbers": "10.9.0.3:8080"}}
	for i := range 20 {
		sim.liveAddresses[fmt.Sprintf("10.1.0.%d:8080", i+1)] = true
	}
	for range 3 {
		sim.viewLag, sim.downUntil = append(sim.viewLag, sim.uniform(0, 2*second)), append(sim.downUntil, 0)
	}
	sim.memberHistory = []memberSnapshot{{at: math.Inf(-1)}}
	sim.setRule(1, 0.3, "key-of-the-first-days", "")
	for i := range plan.Gatekeepers {
		gatekeeper := &gatekeeperNode{index: i, name: fmt.Sprintf("gate-%02d", i), region: "north"}
		if i%4 == 3 {
			gatekeeper.region = "south"
		}
		sim.gatekeepers = append(sim.gatekeepers, gatekeeper)
		sim.startGatekeeper(gatekeeper)
	}
	sim.scheduleIncidents()
	sim.schedule(sim.now+20*60*second, sim.startClient)
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		if next.at > float64(plan.Days)*day+coolDown {
			break
		}
		sim.now = next.at
		next.action()
	}
	sim.ledger.evaluate(sim)
	return sim
}

// addIncident adds an entry to the report's list of incidents.
func (s *simulation) addIncident(format string, a ...any) {
	s.incidents = append(s.incidents, incident{s.now, fmt.Sprintf(format, a...)})
}

// setRule sets the mirroring rule, which reaches each gatekeeper after a random delay.
func (s *simulation) setRule(number int, share float64, key, extraFields string) {
	body := fmt.Sprintf(`{"number":%d,"routes":["quote","lookup","preapproval","cutover"],"share":%g,"key":%q,"journey":{"from":"header","name":"X-Visit"},
		"shadows":[{"destination":"rates","address":%q,"region":"north"},{"destination":"deals","address":%q,"region":"north"},{"destination":"numbers","address":%q,"region":"north"}],
		"tenantsOut":[%q],"region":"north","endS":%d,"spanS":86400,"patienceS":7200,"timeoutS":5%s}`,
		number, share, key, s.targets["rates"], s.targets["deals"], s.targets["numbers"], excludedTenant, idleTimeoutS, extraFields)
	rule, faults := mirror.ParseRule([]byte(body))
	if len(faults) > 0 {
		panic(faults[0].Error())
	}
	s.faultyRule = rule
	if s.plan.Fault == "choice" {
		plan := s.plan
		plan.Fault = ""
		faulty := &simulation{plan: plan, targets: s.targets, random: s.random, ledger: newLedger()}
		faulty.setRule(number, share, key+"'", extraFields)
		s.faultyRule = faulty.rule
	}
	s.rule = rule
	s.ledger.recordRule(s.now, rule)
	for _, gatekeeper := range s.gatekeepers {
		s.scheduleIn(s.uniform(0.1, 2.5)*second, func() { s.deliverRule(gatekeeper) })
	}
}

// deliverRule applies the current rule at a gatekeeper.
func (s *simulation) deliverRule(gatekeeper *gatekeeperNode) {
	if !gatekeeper.running || gatekeeper.isolated {
		return
	}
	rule := s.rule
	if s.plan.Fault == "choice" && gatekeeper.index == 2 {
		rule = s.faultyRule
	}
	gatekeeper.engine.SetRule(gatekeeper.clock(s.now), rule)
}

// startGatekeeper starts an incarnation of a gatekeeper.
func (s *simulation) startGatekeeper(gatekeeper *gatekeeperNode) {
	s.incarnations++
	gatekeeper.incarnation, gatekeeper.running, gatekeeper.ready, gatekeeper.isolated, gatekeeper.leaving = s.incarnations<<20|uint64(s.random.IntN(1<<20)), true, false, false, false
	gatekeeper.clockDrift, gatekeeper.clockOffset = s.uniform(-50e-6, 50e-6), s.uniform(day, 2*day)
	gatekeeper.openRequests, gatekeeper.lastCounts, gatekeeper.controlServer = map[int]*liveRequest{}, mirror.Counts{}, s.random.IntN(3)
	maxBytes := 48 << 20
	gatekeeper.engine = mirror.New(mirror.Config{Self: s.member(gatekeeper), Now: gatekeeper.clock(s.now), MaxBytes: maxBytes, PollIntervalMs: s.plan.PollIntervalS * second})
	gatekeeper.knownWorkers = 0
	incarnation := gatekeeper.incarnation
	s.scheduleIn(s.uniform(0.5, 1.5)*second, func() {
		if gatekeeper.incarnation == incarnation {
			s.updateMembers()
		}
	})
	s.scheduleIn(s.uniform(0, s.plan.PollIntervalS)*second, func() { s.poll(gatekeeper, incarnation) })
}

// member returns the gatekeeper's current incarnation as a member.
func (s *simulation) member(gatekeeper *gatekeeperNode) mirror.Member {
	return mirror.Member{Node: gatekeeper.name, Incarnation: gatekeeper.incarnation, Region: gatekeeper.region, InternalAddress: gatekeeper.name}
}

// updateMembers records the gatekeepers that are members now.
func (s *simulation) updateMembers() {
	var members []mirror.Member
	for _, gatekeeper := range s.gatekeepers {
		if gatekeeper.running && !gatekeeper.isolated && !gatekeeper.leaving {
			members = append(members, s.member(gatekeeper))
		}
	}
	s.memberHistory = append(s.memberHistory, memberSnapshot{s.now, members})
	if len(s.memberHistory) > 50 {
		s.memberHistory = slices.Delete(s.memberHistory, 0, 1)
	}
	s.updateDirectory()
}

// updateDirectory has the directory list the ready gatekeepers after a delay.
func (s *simulation) updateDirectory() {
	s.scheduleIn(s.uniform(0, 1)*second, func() {
		s.published = s.published[:0]
		for _, gatekeeper := range s.gatekeepers {
			if gatekeeper.running && gatekeeper.ready && !gatekeeper.isolated && !gatekeeper.leaving {
				s.published = append(s.published, gatekeeper)
			}
		}
	})
}

// membersSeenBy returns the members as a control server sees them, and the time as of which.
func (s *simulation) membersSeenBy(controlServer int) (memberSnapshot, float64) {
	asOf := s.now - s.viewLag[controlServer]
	for i := len(s.memberHistory) - 1; i >= 0; i-- {
		if s.memberHistory[i].at <= asOf {
			return s.memberHistory[i], asOf
		}
	}
	return s.memberHistory[0], asOf
}

// reportedWorkers returns the live workers' addresses that gatekeepers are told.
func (s *simulation) reportedWorkers() map[string]bool {
	if s.plan.Fault == "blind" {
		return nil
	}
	return s.liveAddresses
}

// callControl is a gatekeeper's periodic call to its control server.
func (s *simulation) callControl(gatekeeper *gatekeeperNode) {
	if gatekeeper.isolated {
		return
	}
	if s.downUntil[gatekeeper.controlServer] > s.now {
		gatekeeper.controlServer = s.random.IntN(len(s.viewLag)) // the next call goes to another server
		return
	}
	snapshot, asOf := s.membersSeenBy(gatekeeper.controlServer)
	if len(snapshot.members) == 0 {
		return
	}
	now := gatekeeper.clock(s.now)
	listed := slices.ContainsFunc(snapshot.members, func(member mirror.Member) bool {
		return member.Node == gatekeeper.name && member.Incarnation == gatekeeper.incarnation
	})
	if !listed && !gatekeeper.ready {
		return // it is not a member yet
	}
	gatekeeper.engine.SetRule(now, s.ruleFor(gatekeeper))
	gatekeeper.engine.SetMembers(now, gatekeeper.clock(asOf), snapshot.members)
	if gatekeeper.knownWorkers != len(s.reportedWorkers()) {
		gatekeeper.knownWorkers = len(s.reportedWorkers())
		gatekeeper.engine.SetLiveAddresses(now, s.reportedWorkers())
	}
	if !gatekeeper.ready && listed {
		gatekeeper.ready = true
		s.updateDirectory()
	}
}

// ruleFor returns the rule that a gatekeeper gets.
func (s *simulation) ruleFor(gatekeeper *gatekeeperNode) *mirror.Rule {
	if s.plan.Fault == "choice" && gatekeeper.index == 2 {
		return s.faultyRule
	}
	return s.rule
}

// poll runs a gatekeeper's periodic work, and schedules the next run.
func (s *simulation) poll(gatekeeper *gatekeeperNode, incarnation uint64) {
	if !gatekeeper.running || gatekeeper.incarnation != incarnation {
		return
	}
	s.callControl(gatekeeper)
	s.ledger.recordCounters(s, gatekeeper)
	for _, request := range gatekeeper.engine.DueFetches(gatekeeper.clock(s.now)) {
		s.fetch(gatekeeper, request)
	}
	s.sendCopies(gatekeeper)
	s.scheduleIn(s.plan.PollIntervalS*second*s.uniform(0.9, 1.1), func() { s.poll(gatekeeper, incarnation) })
}

// fetch carries a fetch to its gatekeeper and the response back, with delays and losses.
func (s *simulation) fetch(gatekeeper *gatekeeperNode, request mirror.FetchRequest) {
	peer := s.gatekeepers[slices.IndexFunc(s.gatekeepers, func(k *gatekeeperNode) bool { return k.name == request.To.InternalAddress })]
	incarnation := gatekeeper.incarnation
	onFailure := func() {
		if !gatekeeper.running || gatekeeper.incarnation != incarnation {
			return
		}
		if response, ok := s.forgeResponse(gatekeeper, peer, request); ok {
			gatekeeper.engine.HandleResponse(gatekeeper.clock(s.now), request, response)
			return
		}
		gatekeeper.engine.FetchFailed(gatekeeper.clock(s.now), request)
	}
	if peer == gatekeeper {
		gatekeeper.engine.HandleResponse(gatekeeper.clock(s.now), request, s.applyFault(gatekeeper, gatekeeper.engine.ServeFetch(gatekeeper.clock(s.now), request)))
		return
	}
	if !peer.running || peer.isolated || gatekeeper.isolated || s.random.IntN(2000) == 0 {
		s.scheduleIn(second, onFailure)
		return
	}
	s.scheduleIn(s.uniform(1, 60), func() {
		if !peer.running || peer.isolated || gatekeeper.isolated {
			s.scheduleIn(second, onFailure)
			return
		}
		response := s.applyFault(gatekeeper, peer.engine.ServeFetch(peer.clock(s.now), request))
		if s.random.IntN(2000) == 0 { // the response is lost, and the items are fetched again
			s.scheduleIn(second, onFailure)
			return
		}
		if len(response.Items) > 0 && s.random.IntN(50) == 0 { // encoded and decoded as on the wire
			encoded, err := cbor.Marshal(response)
			if err != nil {
				panic(err)
			}
			response = mirror.FetchResponse{}
			if err := cbor.Unmarshal(encoded, &response); err != nil {
				panic(err)
			}
		}
		s.scheduleIn(s.uniform(1, 60), func() {
			if gatekeeper.running && gatekeeper.incarnation == incarnation && !gatekeeper.isolated {
				gatekeeper.engine.HandleResponse(gatekeeper.clock(s.now), request, response)
			} else if gatekeeper.running && gatekeeper.incarnation == incarnation {
				onFailure()
			}
		})
	})
}

// sendCopies sends the copies that are due to the mirror targets.
func (s *simulation) sendCopies(gatekeeper *gatekeeperNode) {
	for {
		delivery, ok := gatekeeper.engine.NextDelivery(gatekeeper.clock(s.now))
		if !ok {
			return
		}
		connection := &targetConnection{address: delivery.Address}
		if err := delivery.Send(connection); err != nil {
			panic(err)
		}
		sends := 1
		if s.plan.Fault == "twice" && s.random.IntN(100) == 0 {
			sends = 2
		}
		if s.plan.Fault == "retry" && s.hanging[delivery.Address] {
			sends = 2
		}
		for range sends {
			s.ledger.recordCopy(s, gatekeeper, delivery, connection.Bytes())
		}
		incarnation, tookMs, answered := gatekeeper.incarnation, s.uniform(5, 200), true
		if s.hanging[delivery.Address] {
			tookMs, answered = delivery.TimeoutMs, false
		}
		s.scheduleIn(tookMs, func() {
			if gatekeeper.running && gatekeeper.incarnation == incarnation {
				gatekeeper.engine.ReportDelivery(gatekeeper.clock(s.now), delivery.ID, answered)
				s.sendCopies(gatekeeper)
			}
		})
	}
}
