package simulation

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	"foxwood/internal/dataplane/mirror"
)

// targetConnection records what is sent to a mirror target.
type targetConnection struct {
	bytes.Buffer
	address string
}

// ShadowAddress implements mirror.TargetConnection.
func (c *targetConnection) ShadowAddress() string { return c.address }

// loadFactor returns the load at a time of day relative to the mean.
func loadFactor(now float64) float64 { return 1 + 0.85*math.Sin(2*math.Pi*(now/day-0.375)) }

// startClient starts a flow of a new client, and schedules the next client.
func (s *simulation) startClient() {
	if s.now > float64(s.plan.Days)*day {
		return
	}
	ratePerMs := float64(s.plan.Flows) / (days * day) * loadFactor(s.now)
	s.scheduleIn(s.random.ExpFloat64()/ratePerMs, s.startClient)
	s.startFlow(nil)
}

// startFlow starts a flow. If a gatekeeper is given, the first request goes through it.
func (s *simulation) startFlow(gatekeeper *gatekeeperNode) {
	s.lastID++
	flow := &clientFlow{name: fmt.Sprintf("visit-%d", s.lastID), tenant: tenants[s.random.IntN(len(tenants))], remaining: 2 + s.random.IntN(8), slow: s.random.IntN(10) == 0, returns: s.random.IntN(50) == 0}
	s.nextRequest(flow, gatekeeper)
}

// nextRequest sends a flow's next request, and schedules the one after it.
func (s *simulation) nextRequest(flow *clientFlow, gatekeeper *gatekeeperNode) {
	flow.remaining--
	s.lastID++
	routeIndex := s.random.IntN(len(routes))
	s.send(&clientRequest{flow: flow, id: s.lastID, route: routeIndex, gatekeeper: gatekeeper}, 0)
	var delay float64
	switch {
	case flow.remaining > 0 && flow.slow && s.random.IntN(3) == 0:
		delay = s.uniform(0.5, 2.5) * hour
	case flow.remaining > 0:
		delay = min(s.random.ExpFloat64()*40, 900)*second + 500
	case flow.returns:
		flow.returns = false
		flow.remaining = 3
		delay = (idleTimeoutS + s.uniform(600, 7200)) * second
	default:
		return
	}
	s.scheduleIn(delay, func() { s.nextRequest(flow, nil) })
}

// send sends a request to a random gatekeeper, sometimes to one that the directory no longer lists.
func (s *simulation) send(request *clientRequest, attempts int) {
	if attempts > 5 || len(s.published) == 0 {
		return
	}
	gatekeeper := s.published[s.random.IntN(len(s.published))]
	if s.random.IntN(6) == 0 {
		gatekeeper = s.gatekeepers[s.random.IntN(len(s.gatekeepers))]
	}
	if request.gatekeeper != nil {
		gatekeeper, request.gatekeeper = request.gatekeeper, nil
	}
	if !gatekeeper.running || !gatekeeper.ready {
		s.scheduleIn(s.uniform(100, 800), func() { s.send(request, attempts+1) }) // connection refused
		return
	}
	if gatekeeper.leaving { // it accepts no new requests
		s.scheduleIn(20, func() { s.send(request, attempts+1) })
		return
	}
	route := routes[request.route]
	s.lastID++
	live := &liveRequest{request: request, piece: s.lastID}
	now := gatekeeper.clock(s.now)
	info := &mirror.RequestInfo{Route: route.name, Destination: route.destination, Tenant: request.flow.tenant, Header: func(h string) ([]byte, bool) { return []byte(request.flow.name), h == "X-Visit" }}
	id, selected := gatekeeper.engine.SelectedFlow(info)
	if id != (mirror.FlowID{}) {
		s.ledger.recordSelection(request.flow.name, gatekeeper.engine.Rule().Number, selected)
	}
	s.ledger.recordRun(s, request, live.piece, selected)
	live.ticket = gatekeeper.engine.StartRequest(now, info)
	gatekeeper.openRequests[live.piece] = live
	tookMs := 20 + s.random.ExpFloat64()*150
	if s.random.IntN(3000) == 0 {
		tookMs = s.uniform(5, 40) * second
	}
	incarnation := gatekeeper.incarnation
	s.scheduleIn(tookMs, func() {
		if gatekeeper.running && gatekeeper.incarnation == incarnation {
			s.finishRequest(gatekeeper, live, tookMs)
		}
	})
}

// finishRequest processes the live worker's answer.
func (s *simulation) finishRequest(gatekeeper *gatekeeperNode, live *liveRequest, tookMs float64) {
	delete(gatekeeper.openRequests, live.piece)
	if live.ticket == 0 {
		return
	}
	now, chance := gatekeeper.clock(s.now), s.random.IntN(10_000)
	switch {
	case chance < 3:
		gatekeeper.engine.DropRequest(now, live.ticket, mirror.BodyTooLarge)
	case chance < 6, s.plan.Fault == "careless" && chance < 300:
		gatekeeper.engine.DropRequest(now, live.ticket, mirror.NoAnswer)
	default:
		gatekeeper.engine.FinishRequest(now, live.ticket, &mirror.Request{Method: []byte("POST"), Target: []byte("/" + routes[live.request.route].name), Body: fmt.Appendf(nil, "%d", live.piece),
			Fields: []mirror.HeaderField{{Name: []byte("Host"), Value: []byte("hut.example")}, {Name: []byte("Authorization"), Value: []byte("Bearer secret")}}}, mirror.LiveResponse{Status: 200, DurationMs: tookMs})
	}
}

// kill ends a gatekeeper without notice. Its open requests may or may not have run; clients retry
// those that are safe to repeat.
func (s *simulation) kill(gatekeeper *gatekeeperNode) {
	s.addIncident("%s is killed", gatekeeper.name)
	gatekeeper.running, gatekeeper.ready = false, false
	var pieces []int
	for piece := range gatekeeper.openRequests {
		pieces = append(pieces, piece)
	}
	slices.Sort(pieces)
	for _, piece := range pieces {
		if request := gatekeeper.openRequests[piece].request; routes[request.route].safe || s.plan.Fault == "resend" {
			s.scheduleIn(s.uniform(100, 2000), func() { s.send(request, 0) })
		}
	}
	s.scheduleIn(2*second, s.updateMembers)
}

// release restarts a gatekeeper for a new release: it leaves, hands over its flows and joins again.
func (s *simulation) release(gatekeeper *gatekeeperNode, onDone func()) {
	gatekeeper.leaving = true
	s.updateMembers()
	incarnation := gatekeeper.incarnation
	closed := false
	startedAt := s.now
	var check func()
	check = func() {
		if !gatekeeper.running || gatekeeper.incarnation != incarnation {
			return
		}
		now := gatekeeper.clock(s.now)
		if !closed && len(gatekeeper.openRequests) == 0 {
			closed = true
			gatekeeper.engine.Close(now)
		}
		if closed && gatekeeper.engine.IsDrained(now) || s.now-startedAt > 40*s.plan.PollIntervalS*second {
			if !closed || !gatekeeper.engine.IsDrained(now) {
				s.ledger.abruptExits++
			}
			s.ledger.recordCounters(s, gatekeeper)
			gatekeeper.running, gatekeeper.ready = false, false
			s.scheduleIn(30*second, func() {
				s.startGatekeeper(gatekeeper)
				s.scheduleIn(5*s.plan.PollIntervalS*second, onDone)
			})
			return
		}
		s.scheduleIn(5*second, check)
	}
	s.scheduleIn(3*second, check)
}

// releaseAll restarts the gatekeepers one after another, from an index on.
func (s *simulation) releaseAll(index int) {
	if index == len(s.gatekeepers) {
		s.addIncident("the release is over")
		return
	}
	s.release(s.gatekeepers[index], func() { s.releaseAll(index + 1) })
}

// isolate cuts a gatekeeper off from the control servers and the other gatekeepers. Clients still
// reach it.
func (s *simulation) isolate(gatekeeper *gatekeeperNode, durationMs float64) {
	s.addIncident("%s is cut off for %.0f min", gatekeeper.name, durationMs/60/second)
	gatekeeper.isolated = true
	s.scheduleIn(2*second, s.updateMembers)
	s.scheduleIn(durationMs, func() {
		gatekeeper.isolated = false
		s.scheduleIn(second, s.updateMembers)
	})
}

// scheduleIncidents schedules the incidents of the week. Days 0, 2, 4 and 6 have none.
func (s *simulation) scheduleIncidents() {
	gatekeeper := func(i int) *gatekeeperNode { return s.gatekeepers[i%len(s.gatekeepers)] }
	s.schedule(1*day+10*hour, func() { s.addIncident("share up to 0.5"); s.setRule(2, 0.5, "key-of-the-first-days", "") })
	s.schedule(1*day+13*hour, func() { s.addIncident("a release"); s.releaseAll(0) })
	s.schedule(1*day+18*hour, func() { s.addIncident("share down to 0.3"); s.setRule(3, 0.3, "key-of-the-first-days", "") })
	s.schedule(3*day+9*hour-20, func() { s.burst(gatekeeper(1)) })
	s.schedule(3*day+9*hour, func() { s.kill(gatekeeper(1)) })
	s.schedule(3*day+9*hour+600*second, func() { s.startGatekeeper(gatekeeper(1)) })
	s.schedule(3*day+22*hour, func() { s.addIncident("a shadow hangs for two hours"); s.hanging[s.targets["numbers"]] = true })
	s.schedule(4*day, func() { s.hanging[s.targets["numbers"]] = false })
	s.schedule(3*day+15*hour, func() { s.kill(gatekeeper(4)) })
	s.schedule(3*day+15*hour+60*second, func() { s.startGatekeeper(gatekeeper(4)) })
	s.schedule(5*day+8*hour, func() { // the platform lists the worker before it serves
		address := s.targets["deals"]
		s.addIncident("a worker gets a shadow's address")
		liveAddresses := map[string]bool{address: true}
		for k := range s.liveAddresses {
			liveAddresses[k] = true
		}
		s.liveAddresses = liveAddresses
		s.scheduleIn(8*s.plan.PollIntervalS*second, func() { s.liveSince[address] = s.now })
	})
	s.schedule(5*day+9.5*hour, func() {
		s.addIncident("an order with another shadow")
		s.targets["deals"] = "10.9.0.4:8080"
		s.setRule(4, 0.3, "key-of-the-first-days", "")
	})
	s.schedule(5*day+13*hour, func() { s.isolate(gatekeeper(2), 25*60*second) })
	s.schedule(5*day+14*hour, func() { s.isolate(gatekeeper(5), 5*hour) })
	for i := range 3 { // each core machine is replaced
		s.schedule(5*day+13.5*hour+float64(i)*1200*second, func() {
			s.addIncident("core machine %d is replaced", i)
			s.downUntil[i] = s.now + 90*second
			s.viewLag[i] = s.uniform(0, 3*second)
		})
	}
	s.schedule(5*day+20.5*hour, func() { s.addIncident("another key"); s.setRule(5, 0.4, "key-of-the-later-days", "") })
}

// burst starts 100 flows at one gatekeeper at once, just before an incident there.
func (s *simulation) burst(gatekeeper *gatekeeperNode) {
	for range 100 {
		s.startFlow(gatekeeper)
	}
}
