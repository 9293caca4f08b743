package mirror

import (
	"cmp"
	"math"
	"slices"
)

// Hand-over: after a change of members, a collector hands the flows that are no longer its own to
// their new collectors, once all gatekeepers use the new list and have no items left for the old.

// pendingReport is this member's report on the flows that it has handed over, before its times are
// converted to ages.
type pendingReport struct {
	list                       *memberList
	completeSince, unusedSince float64
	unlisted                   []Member
	periods                    []memberPeriod
	unreliable                 bool
}

// toWire converts the report with its times as ages.
func (r *pendingReport) toWire(now float64) *HandoverReport {
	report := &HandoverReport{MembersHash: r.list.hash, Members: r.list.members, CompleteSinceMs: now - r.completeSince, UnusedSinceMs: now - r.unusedSince, Unlisted: r.unlisted, Unreliable: r.unreliable}
	for _, period := range r.periods {
		report.PastRules = append(report.PastRules, PastRule{period.rule, now - period.from, now - period.to})
	}
	return report
}

// toWire converts the flow with its times as ages.
func (f *flowState) toWire(now float64) *HandedOverFlow {
	handedOver := &HandedOverFlow{FirstAgeMs: now - f.earliest, LastAgeMs: now - f.latest, Cause: f.cause, Counted: f.counted}
	if f.receivedFrom != nil {
		handedOver.MembersHash = f.receivedFrom.membersHash
	}
	for _, piece := range f.pieces {
		handedOver.Pieces = append(handedOver.Pieces, Piece{now - piece.latest, now - piece.earliest, piece.copy, piece.response, piece.target})
	}
	return handedOver
}

const maxHandoverPolls = 20 // poll intervals that a hand-over waits until all use the new list

// handOverFlows hands over the flows that other members collect under the current list.
func (s *Engine) handOverFlows(now float64) {
	if s.handedOver || s.members == nil || len(s.unreportedLists) == 0 {
		return
	}
	switchedAt, allSwitched := math.Inf(-1), true // time at which the last gatekeeper switched to the new list
	for _, peer := range s.peers {
		switch {
		case peer.done:
		case !peer.answered || peer.rule.MembersHash != s.members.hash || peer.coveredUntil < peer.ruleSince:
			allSwitched = false
		default:
			switchedAt = max(switchedAt, peer.ruleSince)
		}
	}
	if !allSwitched && now-s.membersChangedAt < maxHandoverPolls*s.pollIntervalMs {
		return
	}
	if math.IsInf(switchedAt, -1) {
		switchedAt = now
	}
	region := ""
	if s.rule != nil {
		region = s.rule.CollectorRegion
	}
	previousHash := s.unreportedLists[len(s.unreportedLists)-1]
	flows := s.allFlows()
	slices.SortFunc(flows, func(a, b *flowState) int {
		return cmp.Or(cmp.Compare(a.id.SelectionHash, b.id.SelectionHash), cmp.Compare(a.id.CollectorHash, b.id.CollectorHash), cmp.Compare(a.earliest, b.earliest))
	})
	for _, flow := range flows {
		collector, ok := s.members.collector(region, flow.id)
		if ok && collector.key() == s.self.key() {
			continue
		}
		if !ok {
			s.markBroken(flow, Reassigned)
			continue
		}
		switch {
		case !allSwitched:
			s.markBroken(flow, Reassigned)
		case flow.cause == NotBroken:
			if cause := s.checkBeforeHandover(flow, now); cause != NotBroken {
				s.markBroken(flow, cause)
			}
		}
		s.removeFlow(flow)
		s.usedBytes -= flow.bytes
		flow.receivedFrom = &reportKey{s.self.key(), previousHash}
		s.pushItem(collector.key(), entry{item: Item{Flow: flow.id, ScopeHash: flow.scopeHash}, startedAt: now, bytes: flow.bytes + itemCostBytes, flow: flow})
	}
	var unlisted []Member // on no list, but may still serve requests
	for _, peer := range s.peers {
		if !peer.listed && !peer.done && peer.member.key() != s.self.key() {
			unlisted = append(unlisted, peer.member)
		}
	}
	completeSince := s.completeSince()
	stillMember := s.members.contains(s.self.key())
	for _, membersHash := range s.unreportedLists {
		report := &pendingReport{list: s.knownLists[membersHash], completeSince: completeSince, unusedSince: switchedAt, unlisted: unlisted, periods: slices.Clone(s.memberPeriods), unreliable: !allSwitched || membersHash != previousHash || s.knownLists[membersHash] == nil}
		if report.list == nil {
			continue
		}
		for _, member := range s.members.members {
			if member.key() != s.self.key() && !(stillMember && report.list.contains(member.key())) {
				s.pushItem(member.key(), entry{item: Item{}, startedAt: now, bytes: itemCostBytes + 32*len(report.list.members), report: report})
			}
		}
	}
	s.unreportedLists = nil
	s.handedOver = true
}

// checkBeforeHandover checks an unfinished flow for completeness up to now, ignoring the periods of
// the new list.
func (s *Engine) checkBeforeHandover(flow *flowState, now float64) Cause {
	partial := *flow
	partial.latest = min(flow.latest, now)
	saved := s.memberPeriods
	s.memberPeriods = nil
	for _, period := range saved {
		if period.rule.MembersHash != s.members.hash {
			s.memberPeriods = append(s.memberPeriods, period)
		}
	}
	cause := s.checkCompleteness(&partial)
	s.memberPeriods = saved
	if cause == notSelected {
		return RuleChanged
	}
	return cause
}

// completeSince returns the time since which this member has complete data of the flows that it
// collected under the previous list, including those without any piece. For each earlier list it
// needs the reports of the members whose flows were reassigned to this one; these reports already
// cover the lists before.
func (s *Engine) completeSince() float64 {
	self := s.self.key()
	since, ownSince := math.Inf(-1), math.Inf(-1)
	if s.rule == nil || s.rule.Stopped {
		return math.Inf(1)
	}
	previous := s.knownLists[s.unreportedLists[len(s.unreportedLists)-1]]
	var periods []memberPeriod // one for each list, sorted by end
	for _, period := range s.memberPeriods {
		if period.rule.MembersHash == s.members.hash {
			continue
		}
		if i := slices.IndexFunc(periods, func(other memberPeriod) bool { return other.rule.MembersHash == period.rule.MembersHash }); i >= 0 {
			periods[i].from, periods[i].to = min(periods[i].from, period.from), max(periods[i].to, period.to)
		} else {
			periods = append(periods, period)
		}
	}
	slices.SortFunc(periods, func(a, b memberPeriod) int { return cmp.Compare(a.to, b.to) })
	for i, period := range periods {
		list, next := s.knownLists[period.rule.MembersHash], previous
		if list == previous {
			continue
		}
		if i+1 < len(periods) {
			next = s.knownLists[periods[i+1].rule.MembersHash]
		}
		nextPredates := i+1 < len(periods) && s.predatesIncarnation(periods[i+1])
		if (list != nil && !list.contains(self) || s.predatesIncarnation(period)) && (next != nil && !next.contains(self) || nextPredates) {
			continue // the reports on the next list cover this one
		}
		if list == nil || next == nil {
			since = max(since, period.to)
			continue
		}
		complete := true
		for _, member := range list.members {
			if member.key() == self || list.contains(self) && next.contains(member.key()) {
				continue // its flows were not reassigned to this member by the next list
			}
			if w, ok := s.handoverReports[reportKey{member.key(), list.hash}]; ok && !w.unreliable && period.to <= w.unusedSince+clockSlackMs {
				since = max(since, w.completeSince)
			} else {
				since, complete = max(since, period.to), false
			}
		}
		if complete && !list.contains(self) && i+1 < len(periods) {
			ownSince = max(s.startedAt, periods[i+1].from)
		}
	}
	for _, w := range s.lossWindows {
		if w.to > ownSince {
			since = max(since, w.to)
		}
	}
	return since
}

// predatesIncarnation reports whether a list was in use before this incarnation started, and so
// can't contain it.
func (s *Engine) predatesIncarnation(period memberPeriod) bool {
	return period.from+clockSlackMs < s.startedAt
}

// addHandoverReport processes another collector's hand-over report.
func (s *Engine) addHandoverReport(now float64, request FetchRequest, peer *peerState, report *HandoverReport) {
	list := newMemberList(report.Members)
	if list.hash != report.MembersHash {
		return
	}
	s.rememberList(list)
	if peer.lastGapAt > 0 && now-peer.lastGapAt < 2*maxHandoverPolls*s.pollIntervalMs { // the lost items may have included handed-over flows
		return
	}
	for _, past := range report.PastRules {
		s.addMemberPeriod(past.Rule, request.SentAt-past.BeganMs, now-past.EndedMs)
	}
	for _, member := range report.Unlisted {
		if s.peers[member.key()] == nil {
			s.peers[member.key()] = &peerState{member: member, coveredUntil: request.SentAt - report.UnusedSinceMs, lastAnswerAt: now}
		}
	}
	key := reportKey{peer.member.key(), report.MembersHash}
	received := receivedReport{now - report.CompleteSinceMs, request.SentAt - report.UnusedSinceMs, report.Unreliable}
	if earlier, ok := s.handoverReports[key]; ok { // the same list may have been in use twice
		received.completeSince, received.unreliable = max(received.completeSince, earlier.completeSince), received.unreliable || earlier.unreliable
	}
	s.handoverReports[key] = received
}

// addHandedOverFlow processes a flow that another collector hands over.
func (s *Engine) addHandedOverFlow(now float64, request FetchRequest, peer *peerState, item *Item) {
	handedOver := item.HandedOver
	earliest, latest := request.SentAt-handedOver.FirstAgeMs, now-handedOver.LastAgeMs
	flow := s.findOrCreateFlow(item.Flow, item.ScopeHash, earliest, latest)
	if flow == nil {
		return
	}
	flow.firstBefore = min(flow.firstBefore, now-handedOver.FirstAgeMs)
	flow.receivedFrom = &reportKey{peer.member.key(), handedOver.MembersHash}
	if s.rule == nil || s.rule.scopeHash != item.ScopeHash {
		s.markBroken(flow, RuleChanged)
	}
	if handedOver.Cause != NotBroken && handedOver.Cause < causeCount {
		s.markBroken(flow, handedOver.Cause)
	}
	flow.counted = flow.counted || handedOver.Counted
	// An earlier part of the flow may have been finished here and removed already.
	if ownSince := s.collectedSince(item.Flow, latest); now > ownSince+s.idleTimeoutMs() {
		s.markBroken(flow, Reassigned)
	}
	for _, wirePiece := range handedOver.Pieces {
		s.addPiece(flow, piece{request.SentAt - wirePiece.MaxAgeMs, now - wirePiece.MinAgeMs, wirePiece.Copy, wirePiece.Response, wirePiece.Target})
	}
}
