package mirror

import "math"

// notSelected marks a flow that was copied for the previous rule only, although it began under the
// current one.
const notSelected Cause = causeCount

// reportKey identifies a hand-over report by its sender and the member list that it covers.
type reportKey struct {
	member      memberKey
	membersHash uint64
}

// receivedReport is another collector's report on the flows that it has handed over. Times are in
// ms of the local clock; they have the meaning of HandoverReport's.
type receivedReport struct {
	completeSince, unusedSince float64
	unreliable                 bool
}

// collectorUnder returns the flow's collector under a member list, and false if the list is not
// known.
func (s *Engine) collectorUnder(membersHash uint64, id FlowID) (collector memberKey, known bool) {
	list := s.knownLists[membersHash]
	if list == nil {
		return collector, false
	}
	region := ""
	if s.rule != nil {
		region = s.rule.CollectorRegion
	}
	member, ok := list.collector(region, id)
	return member.key(), ok
}

// checkCompleteness decides whether a finished flow with no known loss is complete. It checks the
// effective rules of all gatekeepers from one idle timeout before the flow to one after it.
func (s *Engine) checkCompleteness(flow *flowState) Cause {
	if s.rule == nil || s.rule.Stopped || s.rule.scopeHash != flow.scopeHash {
		return RuleChanged
	}
	margin := s.idleTimeoutMs() + clockSlackMs
	earliest, latest := flow.earliest-margin, flow.latest+margin
	coveredFrom, cause := s.coverageStart(flow, earliest, latest)
	if cause != NotBroken {
		return cause
	}
	for _, window := range s.lossWindows {
		if window.from <= latest && window.to > coveredFrom {
			return window.cause
		}
	}
	selected, unselected := false, false // by the share in effect when the flow began
	notMirrored := false                 // at least one gatekeeper did not copy the flow
	for i := range s.memberPeriods {
		period := &s.memberPeriods[i]
		if period.from > latest || period.to < earliest {
			continue
		}
		if !period.rule.mirrors(flow.scopeHash, flow.id) {
			notMirrored = true
		}
		if period.from <= flow.firstBefore+clockSlackMs && period.to >= flow.earliest-clockSlackMs {
			if period.rule.SelectsAll || flow.id.SelectionHash < period.rule.Threshold {
				selected = true
			} else {
				unselected = true
			}
		}
	}
	switch {
	case unselected && !selected && !s.rule.Selects(flow.id):
		return notSelected
	case notMirrored:
		return RuleChanged
	case orderUncertain(flow.pieces):
		return Unresponsive
	}
	switch {
	case s.rule.Selects(flow.id) && !unselected:
		return NotBroken
	case selected && unselected:
		return RuleChanged
	case unselected:
		return notSelected
	case !selected:
		return CollectorStarted
	}
	return NotBroken
}

// orderUncertain reports whether two pieces were fetched so late that their possible start times
// overlap and their order is unknown.
func orderUncertain(pieces []piece) bool {
	for i := range pieces {
		if pieces[i].latest-pieces[i].earliest <= maxOrderUncertaintyMs {
			continue
		}
		for other := range pieces {
			if other != i && pieces[other].earliest < pieces[i].latest && pieces[i].earliest < pieces[other].latest {
				return true
			}
		}
	}
	return false
}

// coverageStart returns the time since which this member has collected the flow itself, if another
// collector's report covers the time before.
func (s *Engine) coverageStart(flow *flowState, earliest, latest float64) (float64, Cause) {
	self := s.self.key()
	var lastForeign *memberPeriod // the last period in which another member collected the flow
	var foreignKey reportKey
	for i := range s.memberPeriods {
		period := &s.memberPeriods[i]
		if period.from > latest || period.to < earliest {
			continue
		}
		collector, known := s.collectorUnder(period.rule.MembersHash, flow.id)
		if known && collector == self {
			continue
		}
		if lastForeign == nil || period.to > lastForeign.to {
			lastForeign, foreignKey = period, reportKey{collector, period.rule.MembersHash}
		}
	}
	if lastForeign == nil {
		return earliest, NotBroken
	}
	report, ok := s.handoverReports[foreignKey]
	if !ok || report.unreliable || lastForeign.to > report.unusedSince+clockSlackMs {
		return 0, Reassigned
	}
	if flow.receivedFrom == nil || *flow.receivedFrom != foreignKey {
		if earliest < report.completeSince { // the flow may have begun before the other collector had complete data
			return 0, Reassigned
		}
	}
	ownSince := s.collectedSince(flow.id, lastForeign.to)
	if math.IsInf(ownSince, 1) {
		return 0, Reassigned
	}
	return max(earliest, min(ownSince, lastForeign.to)), NotBroken
}

// collectedSince returns the start of the periods ending after changedAt in which this member
// collected the flow, or +Inf if there are none.
func (s *Engine) collectedSince(id FlowID, changedAt float64) float64 {
	since := math.Inf(1)
	for i := range s.memberPeriods {
		if period := &s.memberPeriods[i]; period.to > changedAt {
			if collector, known := s.collectorUnder(period.rule.MembersHash, id); known && collector == s.self.key() {
				since = min(since, max(period.from, s.startedAt)) // no list contained this incarnation earlier
			}
		}
	}
	return since
}
