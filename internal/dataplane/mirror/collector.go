package mirror

import (
	"container/heap"
	"math"
	"slices"
)

// Collection: items fetched from gatekeepers are assembled into flows, and each flow is checked for
// completeness once it has ended. docs/design/shadow.md proves that the check is correct.

const (
	maxClockDriftRatio    = 2e-4 // relative difference in rate between two monotonic clocks
	maxOrderUncertaintyMs = 500  // largest uncertainty of a piece's start, in ms, at which overlapping pieces may be ordered
	clockSlackMs          = 1000 // error in ms of times converted between clocks, beyond the duration of the call
	membershipSettleMs    = 5000 // ms within which a member list reaches all, and a new member is listed before it serves
	maxLossWindows        = 256
	maxMemberPeriods      = 256
	flowCostBytes         = 240 // memory of a flow beside its pieces, in bytes
	pieceCostBytes        = 80  // memory of a piece beside its copy, in bytes
)

// peerState is an incarnation of a gatekeeper from which this member fetches items. Times are in
// ms of the local clock.
type peerState struct {
	member       Member
	listed       bool
	answered     bool
	startedAt    float64 // the incarnation started at this time at the latest
	coveredUntil float64 // all items of requests that began earlier are known
	lastItem     uint64  // number of the last item received
	rule         EffectiveRule
	ruleSince    float64 // the effective rule began at this time at the latest
	done         bool    // its last response said that nothing will follow
	lastGapAt    float64 // when a gap in its item numbers was last noticed
	fetching     bool
	fetchAt      float64
	nextFetchAt  float64
	lastAnswerAt float64
}

// memberPeriod is an effective rule and the time during which any gatekeeper used it.
type memberPeriod struct {
	rule     EffectiveRule
	from, to float64
}

// lossWindow is a time range in which pieces of unknown flows may have been lost.
type lossWindow struct {
	from, to float64
	cause    Cause
}

// flowState is a flow that is being collected. Requests with one name that are further apart than
// the idle timeout belong to different flows.
type flowState struct {
	id               FlowID
	scopeHash        uint64
	earliest, latest float64 // the first piece began at earliest or later, the last at latest or before
	firstBefore      float64 // the first piece began at this time or before
	pieces           []piece
	bytes            int
	cause            Cause
	receivedFrom     *reportKey // who handed it over, nil if nobody
	counted          bool       // already counted as broken; kept so that late pieces are not taken for a new flow
	closed           bool       // removed from the engine
	next             *flowState // another flow with the same ID
}

// piece is one copied request of a flow.
type piece struct {
	earliest, latest float64 // bounds of the time at which the real request was forwarded
	copy             RequestCopy
	response         LiveResponse
	target           string
}

// DueFetches returns the fetches to make now, each from FetchRequest.To.InternalAddress. This
// gatekeeper itself can be among them, and is fetched from without a socket:
// HandleResponse(now, request, s.ServeFetch(now, request)). At most one fetch per member is open at
// a time. DueFetches also runs all time-based processing, so it must be called about every 100 ms.
func (s *Engine) DueFetches(now float64) (requests []FetchRequest) {
	s.advance(now)
	for _, peer := range s.peers {
		if peer.done || peer.fetching || now < peer.nextFetchAt {
			continue
		}
		peer.fetching, peer.fetchAt = true, now
		historyMs := 0.0
		if peer.answered {
			historyMs = max(now-peer.coveredUntil, 1)
		}
		requests = append(requests, FetchRequest{To: peer.member, From: s.self, LastReceived: peer.lastItem, SentAt: now, HistoryMs: historyMs, MaxBytes: min(maxAnswerBytes, max((s.maxBytes-s.usedBytes)/4, 4096))})
	}
	slices.SortFunc(requests, func(a, b FetchRequest) int { return compareMembers(a.To, b.To) })
	return requests
}

// compareMembers orders members by node and incarnation.
func compareMembers(a, b Member) int {
	switch {
	case a.Node < b.Node, a.Node == b.Node && a.Incarnation < b.Incarnation:
		return -1
	case a.Node == b.Node && a.Incarnation == b.Incarnation:
		return 0
	}
	return 1
}

// FetchFailed reports that a fetch failed or timed out.
func (s *Engine) FetchFailed(now float64, request FetchRequest) {
	if peer := s.peers[request.To.key()]; peer != nil && peer.fetching && peer.fetchAt == request.SentAt {
		peer.fetching, peer.nextFetchAt = false, now+2*s.pollIntervalMs
	}
}

// HandleResponse processes the response to a fetch.
func (s *Engine) HandleResponse(now float64, request FetchRequest, response FetchResponse) {
	peer := s.peers[request.To.key()]
	if peer == nil || !peer.fetching || peer.fetchAt != request.SentAt {
		return
	}
	if response.WrongIncarnation || response.From.key() != peer.member.key() {
		s.FetchFailed(now, request)
		return
	}
	peer.fetching, peer.nextFetchAt, peer.lastAnswerAt = false, request.SentAt+s.pollIntervalMs, now
	previousCover := peer.coveredUntil
	if !peer.answered {
		peer.answered, peer.startedAt = true, now-response.UptimeMs
		previousCover = request.SentAt - response.UptimeMs
		s.dropOldIncarnations(peer)
	}
	if response.FirstNumber > peer.lastItem+1 {
		s.addLossWindow(previousCover, now, ItemsLost)
		peer.lastGapAt = now
		for key := range s.handoverReports {
			if key.member == peer.member.key() {
				delete(s.handoverReports, key)
			}
		}
		peer.lastItem = response.FirstNumber - 1
	}
	if now-response.HistoryMs > previousCover+clockSlackMs && response.HistoryMs < response.UptimeMs {
		s.addLossWindow(previousCover, now-response.HistoryMs, ItemsLost)
	}
	for _, past := range response.PastRules {
		s.addMemberPeriod(past.Rule, request.SentAt-past.BeganMs, now-past.EndedMs)
	}
	if !response.Idle {
		s.addMemberPeriod(response.Rule, request.SentAt-response.RuleAgeMs, request.SentAt)
	}
	peer.rule, peer.ruleSince = response.Rule, now-response.RuleAgeMs
	for i := range response.Items {
		if number := response.FirstNumber + uint64(i); number > peer.lastItem {
			peer.lastItem = number
			s.addItem(now, request, peer, &response.Items[i])
		}
	}
	peer.coveredUntil = max(peer.coveredUntil, request.SentAt-response.LagMs)
	if response.Done {
		peer.done, peer.coveredUntil = true, math.Inf(1)
	}
}

// dropOldIncarnations removes the earlier incarnations of a node, once a later one has responded.
// Their items that were not fetched are lost, from the end of their coverage to the start of the
// new incarnation.
func (s *Engine) dropOldIncarnations(peer *peerState) {
	for key, oldPeer := range s.peers {
		if oldPeer.member.Node == peer.member.Node && oldPeer != peer && !oldPeer.listed {
			if !oldPeer.done {
				s.addLossWindow(oldPeer.coveredUntil, peer.startedAt, MemberDied)
			}
			delete(s.peers, key)
		}
	}
}

// addLossWindow records a time range in which any flow may have lost a piece.
func (s *Engine) addLossWindow(from, to float64, cause Cause) {
	if to < from {
		return
	}
	for i := range s.lossWindows {
		if existing := &s.lossWindows[i]; existing.cause == cause && existing.from <= to && from <= existing.to {
			existing.from, existing.to = min(existing.from, from), max(existing.to, to)
			return
		}
	}
	if s.lossWindows = append(s.lossWindows, lossWindow{from, to, cause}); len(s.lossWindows) > maxLossWindows {
		oldest, second := s.lossWindows[0], s.lossWindows[1]
		s.lossWindows[1] = lossWindow{min(oldest.from, second.from), max(oldest.to, second.to), second.cause}
		s.lossWindows = slices.Delete(s.lossWindows, 0, 1)
	}
}

// addMemberPeriod records that a gatekeeper used an effective rule, joining adjacent periods.
func (s *Engine) addMemberPeriod(rule EffectiveRule, from, to float64) {
	if to < from {
		to = from
	}
	for i := range s.memberPeriods {
		if period := &s.memberPeriods[i]; period.rule == rule && period.from <= to+clockSlackMs && from <= period.to+3*s.pollIntervalMs+clockSlackMs {
			period.from, period.to = min(period.from, from), max(period.to, to)
			return
		}
	}
	if s.memberPeriods = append(s.memberPeriods, memberPeriod{rule, from, to}); len(s.memberPeriods) > maxMemberPeriods {
		s.addLossWindow(s.memberPeriods[0].from, s.memberPeriods[0].to, ItemsLost)
		s.memberPeriods = slices.Delete(s.memberPeriods, 0, 1)
	}
}

// idleTimeoutMs returns the time without a request after which a flow ends; 60 s without a rule.
func (s *Engine) idleTimeoutMs() float64 {
	if s.rule == nil || s.rule.Stopped {
		return 60_000
	}
	return s.rule.IdleTimeoutS * 1000
}

// findOrCreateFlow returns the flow to which a piece of that time belongs. It merges flows that the
// piece connects, and creates a flow if there is none; without memory for one it returns nil.
func (s *Engine) findOrCreateFlow(id FlowID, scopeHash uint64, earliest, latest float64) (flow *flowState) {
	idleTimeout := s.idleTimeoutMs()
	var previous *flowState
	for candidate := s.flows[id]; candidate != nil; {
		next := candidate.next
		if candidate.scopeHash == scopeHash && earliest <= candidate.latest+idleTimeout && latest >= candidate.earliest-idleTimeout {
			if flow == nil {
				flow = candidate
			} else { // the piece connects two flows
				previous.next = next
				s.mergeFlows(flow, candidate)
				candidate = next
				continue
			}
		}
		previous, candidate = candidate, next
	}
	if flow == nil {
		if s.usedBytes+flowCostBytes > s.maxBytes {
			s.addLossWindow(earliest, latest, CollectorFull)
			return nil
		}
		flow = &flowState{id: id, scopeHash: scopeHash, earliest: earliest, latest: latest, firstBefore: latest, bytes: flowCostBytes, next: s.flows[id]}
		s.flows[id] = flow
		s.openFlows++
		s.usedBytes += flowCostBytes
		s.scheduleCheck(flow, latest+idleTimeout+clockSlackMs)
	}
	flow.earliest, flow.latest, flow.firstBefore = min(flow.earliest, earliest), max(flow.latest, latest), min(flow.firstBefore, latest)
	return flow
}

// mergeFlows adds another flow to a flow.
func (s *Engine) mergeFlows(flow, other *flowState) {
	flow.earliest, flow.latest, flow.firstBefore = min(flow.earliest, other.earliest), max(flow.latest, other.latest), min(flow.firstBefore, other.firstBefore)
	flow.pieces = append(flow.pieces, other.pieces...)
	flow.bytes += other.bytes - flowCostBytes
	s.usedBytes -= flowCostBytes
	if flow.receivedFrom == nil {
		flow.receivedFrom = other.receivedFrom
	}
	if other.cause != NotBroken {
		s.markBroken(flow, other.cause)
	} else if flow.cause != NotBroken {
		s.markBroken(flow, flow.cause)
	}
	flow.counted = flow.counted || other.counted
	other.closed = true
	s.openFlows--
}

// markBroken marks a flow as broken, and drops its pieces unless broken flows are delivered.
func (s *Engine) markBroken(flow *flowState, cause Cause) {
	if flow.closed {
		return
	}
	if flow.cause == NotBroken {
		flow.cause = cause
	}
	if s.rule == nil || !s.rule.DeliverBroken || cause == CollectorFull || cause == RuleStopped || cause == TargetIsLive {
		s.usedBytes -= flow.bytes - flowCostBytes
		flow.bytes, flow.pieces = flowCostBytes, nil
	}
}

// addItem processes one item of a response.
func (s *Engine) addItem(now float64, request FetchRequest, peer *peerState, item *Item) {
	if item.Report != nil {
		s.addHandoverReport(now, request, peer, item.Report)
		return
	}
	if item.HandedOver != nil {
		s.addHandedOverFlow(now, request, peer, item)
		return
	}
	earliest, latest := request.SentAt-item.AgeMs*(1+maxClockDriftRatio), now-item.AgeMs*(1-maxClockDriftRatio)
	flow := s.findOrCreateFlow(item.Flow, item.ScopeHash, earliest, latest)
	if flow == nil {
		return
	}
	if s.rule == nil || s.rule.Stopped || item.ScopeHash != s.rule.scopeHash {
		if s.rule != nil && item.ScopeHash != s.rule.scopeHash {
			s.markBroken(flow, RuleChanged) // of an older rule, or of a newer one that is not known here yet
		}
		if s.rule == nil {
			s.markBroken(flow, CollectorStarted)
		}
	}
	if now-earliest > s.retentionMs()-s.idleTimeoutMs()-clockSlackMs { // other pieces of the flow may have been removed already
		s.markBroken(flow, Unresponsive)
	}
	if item.LostCause != NotBroken {
		s.markBroken(flow, item.LostCause)
		return
	}
	s.addPiece(flow, piece{earliest, latest, item.Copy, item.Response, item.Target})
}

// addPiece adds a piece to a flow, unless the flow's pieces are not kept or memory is short.
func (s *Engine) addPiece(flow *flowState, added piece) {
	if flow.cause != NotBroken && (s.rule == nil || !s.rule.DeliverBroken) || flow.cause == CollectorFull || flow.counted {
		return
	}
	cost := added.copy.Bytes() + pieceCostBytes
	if s.usedBytes+cost > s.maxBytes*7/8 {
		s.markBroken(flow, CollectorFull)
		return
	}
	flow.pieces = append(flow.pieces, added)
	flow.bytes += cost
	s.usedBytes += cost
	if flow.latest-flow.earliest > s.maxDurationMs() {
		s.markBroken(flow, TooLong)
	}
}

// maxDurationMs returns the time after which a flow is too long.
func (s *Engine) maxDurationMs() float64 {
	if s.rule == nil || s.rule.Stopped {
		return math.Inf(1)
	}
	return s.rule.MaxDurationS * 1000
}

// advance does all time-based work: hand-over, checks of finished flows and clean-up.
func (s *Engine) advance(now float64) {
	s.updateEffectiveRule(now)
	s.dropUnreachable(now)
	s.handOverFlows(now)
	coveredUntil := s.coveredUntil()
	idleTimeout := s.idleTimeoutMs()
	for len(s.deadlines) > 0 && s.deadlines[0].at <= now {
		flow := heap.Pop(&s.deadlines).(flowDeadline).flow
		if flow.closed {
			continue
		}
		closesAt := flow.latest + idleTimeout + clockSlackMs
		if now < closesAt {
			s.scheduleCheck(flow, closesAt)
			continue
		}
		cause := flow.cause
		if cause == NotBroken {
			if coveredUntil < closesAt || s.membersAsOf < closesAt+membershipSettleMs {
				if s.rule != nil && !s.rule.Stopped && now < closesAt+membershipSettleMs+s.rule.ResponseTimeoutS*1000 {
					s.scheduleCheck(flow, now+s.pollIntervalMs)
					continue
				}
				cause = Unresponsive
			} else {
				cause = s.checkCompleteness(flow)
			}
		}
		if cause != NotBroken && cause != notSelected && coveredUntil < closesAt && now < flow.latest+s.retentionMs() {
			s.countBroken(now, flow, cause) // a late piece must not be taken for a complete flow
			s.scheduleCheck(flow, now+10*s.pollIntervalMs)
			continue
		}
		s.finish(now, flow, cause)
	}
	for key, fetchedAt := range s.lastFetchAt { // drop the items of collectors that are gone
		if now-fetchedAt > 120*s.pollIntervalMs && !s.members.contains(key) {
			if outbox := s.outboxes[key]; outbox != nil && len(outbox.items) > 0 {
				for i := range outbox.items {
					s.release(&outbox.items[i])
				}
				outbox.firstNumber += uint64(len(outbox.items))
				outbox.items = nil
			}
		}
	}
	s.prune(now)
}

// countBroken counts a flow as broken and keeps it without its pieces.
func (s *Engine) countBroken(now float64, flow *flowState, cause Cause) {
	if flow.counted {
		return
	}
	flow.cause, flow.counted = cause, true
	s.finishBroken(now, &flowState{id: flow.id, scopeHash: flow.scopeHash, earliest: flow.earliest, latest: flow.latest, pieces: flow.pieces, bytes: flow.bytes - flowCostBytes, cause: cause})
	flow.pieces, flow.bytes = nil, flowCostBytes
}

// finishBroken counts a broken flow and delivers or withholds it.
func (s *Engine) finishBroken(now float64, flow *flowState) {
	s.counts.Broken++
	s.counts.BrokenByCause[flow.cause]++
	if s.rule != nil && s.rule.DeliverBroken && len(flow.pieces) > 0 {
		s.queueDelivery(now, flow)
		return
	}
	s.counts.Withheld++
	s.usedBytes -= flow.bytes
}

// retentionMs returns how long flows, periods and loss windows are kept; older flows are not
// checked any more.
func (s *Engine) retentionMs() float64 {
	if s.rule == nil || s.rule.Stopped {
		return 3600_000
	}
	return (s.rule.MaxDurationS+2*s.rule.IdleTimeoutS+s.rule.ResponseTimeoutS)*1000 + membershipSettleMs
}

// coveredUntil returns the time up to which the items of all gatekeepers are known.
func (s *Engine) coveredUntil() float64 {
	earliest := math.Inf(1)
	for _, peer := range s.peers {
		earliest = min(earliest, peer.coveredUntil)
	}
	return earliest
}

// dropUnreachable removes unlisted gatekeepers that have not responded for the time after which
// the operator's rule declares them gone.
func (s *Engine) dropUnreachable(now float64) {
	if s.rule == nil || s.rule.GoneAfterS <= 0 {
		return
	}
	for key, peer := range s.peers {
		if deadline := peer.lastAnswerAt + s.rule.GoneAfterS*1000; !peer.listed && !peer.done && now > deadline {
			s.addLossWindow(peer.coveredUntil, deadline, MemberDied)
			delete(s.peers, key)
		}
	}
}

// prune removes the data that no current or future flow needs for its check.
func (s *Engine) prune(now float64) {
	if s.rule == nil || s.rule.Stopped {
		return
	}
	cutoff := now - s.retentionMs()
	s.memberPeriods = slices.DeleteFunc(s.memberPeriods, func(u memberPeriod) bool { return u.to < cutoff })
	s.lossWindows = slices.DeleteFunc(s.lossWindows, func(w lossWindow) bool { return w.to < cutoff })
	for k, w := range s.handoverReports {
		if w.unusedSince < cutoff {
			delete(s.handoverReports, k)
		}
	}
	for key, peer := range s.peers {
		if peer.done && !peer.listed && now-peer.lastAnswerAt > now-cutoff {
			delete(s.peers, key)
		}
	}
}

// finish ends the collection of a flow and delivers or drops it.
func (s *Engine) finish(now float64, flow *flowState, cause Cause) {
	s.removeFlow(flow)
	switch {
	case cause == NotBroken:
		s.queueDelivery(now, flow)
	case cause == notSelected:
		s.counts.NotSelected++
		s.usedBytes -= flow.bytes
	case flow.counted:
		s.usedBytes -= flow.bytes
	default:
		flow.cause = cause
		s.finishBroken(now, flow)
	}
}

// removeFlow removes a flow from those being collected. Its bytes stay counted.
func (s *Engine) removeFlow(flow *flowState) {
	flow.closed = true
	s.openFlows--
	if current := s.flows[flow.id]; current == flow {
		if flow.next == nil {
			delete(s.flows, flow.id)
		} else {
			s.flows[flow.id] = flow.next
		}
	} else {
		for ; current != nil; current = current.next {
			if current.next == flow {
				current.next = flow.next
				break
			}
		}
	}
	flow.next = nil
}
