package mirror

import (
	"container/heap"
	"maps"
	"math"
	"slices"
)

// Engine is the mirroring engine of one gatekeeper. It copies requests, serves its copies to their
// collectors, and collects and delivers the flows that are assigned to itself.
type Engine struct {
	self           Member
	startedAt      float64
	maxBytes       int
	pollIntervalMs float64 // between two fetches from one gatekeeper

	rule              *Rule
	previousThreshold uint64 // threshold of the previous rule, kept until previousUntil
	previousUntil     float64
	targetIsLive      bool
	overloaded        bool
	liveAddresses     map[string]bool
	members           *memberList
	membersAsOf       float64
	knownLists        map[uint64]*memberList // by hash
	knownListOrder    []uint64               // their hashes, oldest first

	usedBytes   int // memory of all copies and flow records
	queuedBytes int // part of usedBytes: items not fetched yet
	counts      Counts

	// Copying and outboxes.
	tickets        map[Ticket]*ticket
	lastTicket     Ticket
	outboxes       map[memberKey]*outbox
	lastFetchAt    map[memberKey]float64 // by collector
	rulePeriods    []rulePeriod
	periodsDropped bool // the oldest rule periods were dropped
	closed         bool

	// Collecting flows.
	peers            map[memberKey]*peerState
	flows            map[FlowID]*flowState
	deadlines        flowDeadlines
	openFlows        int
	memberPeriods    []memberPeriod
	lossWindows      []lossWindow
	handoverReports  map[reportKey]receivedReport
	unreportedLists  []uint64 // earlier member lists with this member, whose flows are not handed over yet
	membersChangedAt float64
	handedOver       bool // no hand-over is pending

	// Delivery to mirror targets.
	targets          map[string]*targetQueue
	targetOrder      []string // addresses for round robin
	targetCursor     int
	inFlight         map[uint64]*outgoingFlow
	lastDeliveryID   uint64
	tokens           [2]float64 // of the request limit and of the byte limit
	tokensRefilledAt float64
	waitingFlows     int // flows in delivery or queued for it
}

// New returns an engine for a new incarnation of a gatekeeper.
func New(config Config) *Engine {
	engine := &Engine{self: config.Self, startedAt: config.Now, maxBytes: config.MaxBytes, pollIntervalMs: config.PollIntervalMs, tickets: map[Ticket]*ticket{}, outboxes: map[memberKey]*outbox{},
		lastFetchAt: map[memberKey]float64{}, knownLists: map[uint64]*memberList{}, peers: map[memberKey]*peerState{}, flows: map[FlowID]*flowState{},
		handoverReports: map[reportKey]receivedReport{}, targets: map[string]*targetQueue{}, inFlight: map[uint64]*outgoingFlow{}, handedOver: true, tokensRefilledAt: config.Now, membersAsOf: math.Inf(-1)}
	if engine.pollIntervalMs <= 0 {
		engine.pollIntervalMs = 500
	}
	engine.rulePeriods = []rulePeriod{{EffectiveRule{}, config.Now, math.Inf(1), false}}
	engine.lossWindows = []lossWindow{{math.Inf(-1), config.Now, CollectorStarted}}
	return engine
}

// SetRule applies a mirroring rule and reports whether it did. A rule whose number is not above that
// of the current one is ignored.
func (s *Engine) SetRule(now float64, rule *Rule) bool {
	previous := s.rule
	if previous != nil && rule.Number <= previous.Number {
		return false
	}
	s.rule = rule
	s.targetIsLive = false
	if previous == nil || previous.Stopped || rule.Stopped || previous.scopeHash != rule.scopeHash {
		s.previousThreshold, s.previousUntil = 0, 0
	} else {
		if now >= s.previousUntil {
			s.previousThreshold = 0
		}
		s.previousThreshold, s.previousUntil = max(s.previousThreshold, previous.threshold), now+rule.MaxDurationS*1000
	}
	s.blockLiveTargets(now)
	s.updateEffectiveRule(now)
	for _, flow := range s.allFlows() { // flows that can't become complete any more free their memory at once
		switch {
		case rule.Stopped:
			s.markBroken(flow, RuleStopped)
		case flow.scopeHash != rule.scopeHash:
			s.markBroken(flow, RuleChanged)
		}
	}
	if previous == nil || previous.scopeHash != rule.scopeHash { // its copies may be meant for other targets
		s.dropQueued()
	}
	return true
}

// SetMembers sets the members as of the time asOf, which is not after now. The list contains this
// member unless it is leaving. It must also be called when the list is confirmed without a change:
// no flow is found complete before the list is known to be valid beyond the flow's end.
func (s *Engine) SetMembers(now, asOf float64, members []Member) {
	list := newMemberList(members)
	notMemberUntil := max(s.membersAsOf, s.startedAt) // a new member was not one as of then, and served no request
	s.membersAsOf = max(s.membersAsOf, asOf)
	for _, member := range list.members {
		peer := s.peers[member.key()]
		if peer == nil {
			peer = &peerState{member: member, coveredUntil: notMemberUntil, lastAnswerAt: now}
			s.peers[member.key()] = peer
		}
		peer.member.InternalAddress = member.InternalAddress
	}
	for key, peer := range s.peers {
		peer.listed = list.contains(key)
	}
	if s.members != nil && list.hash == s.members.hash {
		return
	}
	s.rememberList(list)
	if s.members.contains(s.self.key()) {
		s.unreportedLists = append(s.unreportedLists, s.members.hash)
		s.membersChangedAt = now
		s.handedOver = false
	}
	s.members = list
	s.updateEffectiveRule(now)
}

// rememberList keeps a member list by its hash, and drops the oldest ones.
func (s *Engine) rememberList(list *memberList) {
	if s.knownLists[list.hash] != nil {
		return
	}
	s.knownLists[list.hash] = list
	if s.knownListOrder = append(s.knownListOrder, list.hash); len(s.knownListOrder) > 2*maxRulePeriods {
		delete(s.knownLists, s.knownListOrder[0])
		s.knownListOrder = slices.Delete(s.knownListOrder, 0, 1)
	}
}

// SetLiveAddresses sets the addresses of all live workers of all destinations. A rule with a mirror target
// among them is disabled at once and permanently: only a new rule starts copying again.
func (s *Engine) SetLiveAddresses(now float64, addresses map[string]bool) {
	s.liveAddresses = addresses
	s.blockLiveTargets(now)
}

// blockLiveTargets disables the current rule if one of its mirror targets is a live worker.
func (s *Engine) blockLiveTargets(now float64) {
	if s.rule == nil || s.rule.Stopped || s.targetIsLive || len(s.rule.LiveTargetFaults(s.liveAddresses)) == 0 {
		return
	}
	s.targetIsLive = true
	s.updateEffectiveRule(now)
	for _, flow := range s.allFlows() {
		s.markBroken(flow, TargetIsLive)
	}
	s.dropQueued()
}

// SetOverloaded stops copying while the gatekeeper is overloaded, and resumes it afterwards.
func (s *Engine) SetOverloaded(now float64, overloaded bool) { s.overloaded = overloaded }

// Rule returns the current mirroring rule, or nil.
func (s *Engine) Rule() *Rule { return s.rule }

// WaitingFlows returns the number of flows in delivery or queued for it.
func (s *Engine) WaitingFlows() int { return s.waitingFlows }

// Status returns the current state.
func (s *Engine) Status(now float64) Status {
	status := Status{Active: s.rule != nil && !s.rule.Stopped && !s.targetIsLive && !s.overloaded, OpenFlows: s.openFlows, WaitingFlows: s.waitingFlows, UsedBytes: s.usedBytes, MaxBytes: s.maxBytes, Counts: s.counts}
	if s.rule != nil {
		status.RuleNumber = s.rule.Number
	}
	switch {
	case s.targetIsLive:
		status.InactiveCause = TargetIsLive
	case s.overloaded:
		status.InactiveCause = Overloaded
	}
	for _, outbox := range s.outboxes {
		status.QueuedItems += len(outbox.items)
	}
	if s.members != nil {
		status.Members = len(s.members.members)
	}
	ownRule := s.rulePeriods[len(s.rulePeriods)-1].rule
	for _, peer := range s.peers {
		if !peer.done && now-peer.lastAnswerAt > 5*s.pollIntervalMs {
			status.UnresponsiveNodes = append(status.UnresponsiveNodes, peer.member.Node)
		}
		if peer.listed && (peer.rule.MembersHash != ownRule.MembersHash || peer.rule.RuleNumber != ownRule.RuleNumber) {
			status.Settling = true
		}
	}
	if len(s.peers) > 0 && !math.IsInf(s.membersAsOf, 0) {
		if coveredUntil := s.coveredUntil(); !math.IsInf(coveredUntil, 0) {
			status.CoverageAgeMs = now - coveredUntil
		}
		status.MembersAgeMs = now - s.membersAsOf
	}
	slices.Sort(status.UnresponsiveNodes)
	return status
}

// allFlows returns the flows that are being collected.
func (s *Engine) allFlows() (flows []*flowState) {
	for flow := range maps.Values(s.flows) {
		for ; flow != nil; flow = flow.next {
			flows = append(flows, flow)
		}
	}
	return flows
}

// flowDeadlines is a heap of flows by the time of their next check, in ms.
type flowDeadlines []flowDeadline

// flowDeadline is the time of a flow's next check, in ms.
type flowDeadline struct {
	at   float64
	flow *flowState
}

func (d flowDeadlines) Len() int           { return len(d) }
func (d flowDeadlines) Less(i, j int) bool { return d[i].at < d[j].at }
func (d flowDeadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *flowDeadlines) Push(x any)        { *d = append(*d, x.(flowDeadline)) }
func (d *flowDeadlines) Pop() any {
	n := len(*d) - 1
	x := (*d)[n]
	(*d)[n] = flowDeadline{}
	*d = (*d)[:n]
	return x
}

// scheduleCheck has advance check the flow at a time.
func (s *Engine) scheduleCheck(flow *flowState, at float64) {
	heap.Push(&s.deadlines, flowDeadline{at, flow})
}
