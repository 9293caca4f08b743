package spur

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
	unlisted                   []Seat
	periods                    []memberPeriod
	unreliable                 bool
}

// toWire converts the report with its times as ages.
func (r *pendingReport) toWire(now float64) *Word {
	report := &Word{List: r.list.hash, Seats: r.list.members, VouchMs: now - r.completeSince, UntilMs: now - r.unusedSince, Others: r.unlisted, Nothing: r.unreliable}
	for _, period := range r.periods {
		report.Stances = append(report.Stances, Before{period.rule, now - period.from, now - period.to})
	}
	return report
}

// toWire converts the flow with its times as ages.
func (f *flowState) toWire(now float64) *Given {
	handedOver := &Given{FirstMs: now - f.earliest, LastMs: now - f.latest, Cause: f.cause, Counted: f.counted}
	if f.receivedFrom != nil {
		handedOver.List = f.receivedFrom.membersHash
	}
	for _, piece := range f.pieces {
		handedOver.Pieces = append(handedOver.Pieces, Piece{now - piece.latest, now - piece.earliest, piece.copy, piece.response, piece.target})
	}
	return handedOver
}

const maxHandoverPolls = 20 // poll intervals that a hand-over waits until all use the new list

// handOverFlows hands over the flows that other members collect under the current list.
func (s *Spur) handOverFlows(now float64) {
	if s.handedOver || s.members == nil || len(s.unreportedLists) == 0 {
		return
	}
	switchedAt, allSwitched := math.Inf(-1), true // time at which the last gatekeeper switched to the new list
	for _, peer := range s.peers {
		switch {
		case peer.done:
		case !peer.answered || peer.rule.List != s.members.hash || peer.coveredUntil < peer.ruleSince:
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
		region = s.rule.Region
	}
	previousHash := s.unreportedLists[len(s.unreportedLists)-1]
	flows := s.allFlows()
	slices.SortFunc(flows, func(a, b *flowState) int {
		return cmp.Or(cmp.Compare(a.id.Spot, b.id.Spot), cmp.Compare(a.id.Rest, b.id.Rest), cmp.Compare(a.earliest, b.earliest))
	})
	for _, flow := range flows {
		collector, ok := s.members.collector(region, flow.id)
		if ok && collector.key() == s.self.key() {
			continue
		}
		if !ok {
			s.markBroken(flow, Moved)
			continue
		}
		switch {
		case !allSwitched:
			s.markBroken(flow, Moved)
		case flow.cause == Fine:
			if cause := s.checkBeforeHandover(flow, now); cause != Fine {
				s.markBroken(flow, cause)
			}
		}
		s.removeFlow(flow)
		s.usedBytes -= flow.bytes
		flow.receivedFrom = &reportKey{s.self.key(), previousHash}
		s.pushItem(collector.key(), entry{item: Item{Journey: flow.id, Trail: flow.scopeHash}, startedAt: now, bytes: flow.bytes + itemCostBytes, flow: flow})
	}
	var unlisted []Seat // on no list, but may still serve requests
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
func (s *Spur) checkBeforeHandover(flow *flowState, now float64) Cause {
	partial := *flow
	partial.latest = min(flow.latest, now)
	saved := s.memberPeriods
	s.memberPeriods = nil
	for _, period := range saved {
		if period.rule.List != s.members.hash {
			s.memberPeriods = append(s.memberPeriods, period)
		}
	}
	cause := s.checkCompleteness(&partial)
	s.memberPeriods = saved
	if cause == notSelected {
		return Changed
	}
	return cause
}

// completeSince returns the time since which this member has complete data of the flows that it
// collected under the previous list, including those without any piece. For each earlier list it
// needs the reports of the members whose flows were reassigned to this one; these reports already
// cover the lists before.
func (s *Spur) completeSince() float64 {
	self := s.self.key()
	since, ownSince := math.Inf(-1), math.Inf(-1)
	if s.rule == nil || s.rule.Stopped {
		return math.Inf(1)
	}
	previous := s.knownLists[s.unreportedLists[len(s.unreportedLists)-1]]
	var periods []memberPeriod // one for each list, sorted by end
	for _, period := range s.memberPeriods {
		if period.rule.List == s.members.hash {
			continue
		}
		if i := slices.IndexFunc(periods, func(other memberPeriod) bool { return other.rule.List == period.rule.List }); i >= 0 {
			periods[i].from, periods[i].to = min(periods[i].from, period.from), max(periods[i].to, period.to)
		} else {
			periods = append(periods, period)
		}
	}
	slices.SortFunc(periods, func(a, b memberPeriod) int { return cmp.Compare(a.to, b.to) })
	for i, period := range periods {
		list, next := s.knownLists[period.rule.List], previous
		if list == previous {
			continue
		}
		if i+1 < len(periods) {
			next = s.knownLists[periods[i+1].rule.List]
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
func (s *Spur) predatesIncarnation(period memberPeriod) bool {
	return period.from+clockSlackMs < s.startedAt
}

// addHandoverReport processes another collector's hand-over report.
func (s *Spur) addHandoverReport(now float64, request Ask, peer *peerState, report *Word) {
	list := newMemberList(report.Seats)
	if list.hash != report.List {
		return
	}
	s.rememberList(list)
	if peer.lastGapAt > 0 && now-peer.lastGapAt < 2*maxHandoverPolls*s.pollIntervalMs { // the lost items may have included handed-over flows
		return
	}
	for _, past := range report.Stances {
		s.addMemberPeriod(past.Stance, request.At-past.BeganMs, now-past.EndedMs)
	}
	for _, member := range report.Others {
		if s.peers[member.key()] == nil {
			s.peers[member.key()] = &peerState{member: member, coveredUntil: request.At - report.UntilMs, lastAnswerAt: now}
		}
	}
	key := reportKey{peer.member.key(), report.List}
	received := receivedReport{now - report.VouchMs, request.At - report.UntilMs, report.Nothing}
	if earlier, ok := s.handoverReports[key]; ok { // the same list may have been in use twice
		received.completeSince, received.unreliable = max(received.completeSince, earlier.completeSince), received.unreliable || earlier.unreliable
	}
	s.handoverReports[key] = received
}

// addHandedOverFlow processes a flow that another collector hands over.
func (s *Spur) addHandedOverFlow(now float64, request Ask, peer *peerState, item *Item) {
	handedOver := item.Given
	earliest, latest := request.At-handedOver.FirstMs, now-handedOver.LastMs
	flow := s.findOrCreateFlow(item.Journey, item.Trail, earliest, latest)
	if flow == nil {
		return
	}
	flow.firstBefore = min(flow.firstBefore, now-handedOver.FirstMs)
	flow.receivedFrom = &reportKey{peer.member.key(), handedOver.List}
	if s.rule == nil || s.rule.scopeHash != item.Trail {
		s.markBroken(flow, Changed)
	}
	if handedOver.Cause != Fine && handedOver.Cause < causeCount {
		s.markBroken(flow, handedOver.Cause)
	}
	flow.counted = flow.counted || handedOver.Counted
	// An earlier part of the flow may have been finished here and removed already.
	if ownSince := s.collectedSince(item.Journey, latest); now > ownSince+s.idleTimeoutMs() {
		s.markBroken(flow, Moved)
	}
	for _, wirePiece := range handedOver.Pieces {
		s.addPiece(flow, piece{request.At - wirePiece.HighMs, now - wirePiece.LowMs, wirePiece.Copy, wirePiece.Real, wirePiece.Shadow})
	}
}
