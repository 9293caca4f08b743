package mirror

import "math"

// Copying of requests and the outboxes from which collectors fetch the copies.

const (
	itemCostBytes  = 160     // memory of an item beside its copy, in bytes
	maxTickets     = 1 << 16 // requests being copied at the same time
	maxRequestMs   = 120_000 // age in ms at which a request without an answer is dropped
	maxRulePeriods = 256     // effective rules kept
	maxAnswerBytes = 1 << 20 // size limit of a response, in bytes
)

// Ticket identifies a request that is being copied. 0 means none.
type Ticket uint64

// ticket is a request that is being copied.
type ticket struct {
	flow      FlowID
	startedAt float64
	collector memberKey
	rule      *Rule
	target    string
}

// entry is an item that waits to be fetched. For a hand-over, flow or report is set and encoded
// when the item is fetched.
type entry struct {
	item      Item
	startedAt float64
	bytes     int
	flow      *flowState
	report    *pendingReport
}

// outbox holds the items for one collector. Items are numbered consecutively; if some are dropped,
// the collector sees that by the number of the first item.
type outbox struct {
	firstNumber uint64 // number of the first item
	items       []entry
	openTickets []Ticket // by start time; may contain tickets that are no longer open
	finished    bool     // the collector was told that nothing will follow
}

// rulePeriod is an effective rule and the time during which this member used it, in ms.
type rulePeriod struct {
	rule     EffectiveRule
	from, to float64
	used     bool // a request was forwarded during it
}

// idle reports whether no request was forwarded in a period without members or rule. Such a period
// does not affect any flow.
func (p *rulePeriod) idle() bool {
	return !p.used && (p.rule.MembersHash == 0 || p.rule.ScopeHash == 0)
}

// outbox returns the collector's outbox and creates it if needed.
func (s *Engine) outbox(collector memberKey) *outbox {
	box := s.outboxes[collector]
	if box == nil {
		box = &outbox{firstNumber: 1}
		s.outboxes[collector] = box
	}
	return box
}

// updateEffectiveRule returns the current effective rule, and starts a new rule period if it has
// changed.
func (s *Engine) updateEffectiveRule(now float64) EffectiveRule {
	var current EffectiveRule
	if rule := s.rule; rule != nil {
		current.RuleNumber = rule.Number
		if !rule.Stopped && !s.targetIsLive {
			current.ScopeHash, current.Threshold, current.SelectsAll = rule.scopeHash, rule.threshold, rule.selectsAll
			if now < s.previousUntil {
				current.PreviousThreshold = s.previousThreshold
			}
		}
	}
	if s.members != nil {
		current.MembersHash = s.members.hash
	}
	latest := &s.rulePeriods[len(s.rulePeriods)-1]
	if latest.rule != current {
		latest.to = now
		if s.rulePeriods = append(s.rulePeriods, rulePeriod{current, now, math.Inf(1), false}); len(s.rulePeriods) > maxRulePeriods {
			s.rulePeriods = append(s.rulePeriods[:0], s.rulePeriods[1:]...)
			s.periodsDropped = true
		}
	}
	return current
}

// StartRequest is called once for every request, after it was first forwarded to a live worker; not for
// retries. If the request is to be copied, it returns a ticket for which FinishRequest or
// DropRequest must be called once; otherwise it returns 0.
func (s *Engine) StartRequest(now float64, request *RequestInfo) Ticket {
	rule := s.rule
	if rule != nil && !rule.Stopped && !rule.matches(request) {
		return 0
	}
	effective := s.updateEffectiveRule(now)
	s.rulePeriods[len(s.rulePeriods)-1].used = true
	if rule == nil || rule.Stopped || s.targetIsLive {
		return 0
	}
	s.counts.Matched++
	id, ok := rule.flowID(request)
	if !ok {
		s.counts.Unnamed++
		return 0
	}
	if rule.Selects(id) {
		s.counts.Selected++
	}
	if !effective.mirrors(rule.scopeHash, id) || s.members == nil {
		return 0
	}
	collector, ok := s.members.collector(rule.CollectorRegion, id)
	if !ok {
		return 0
	}
	target := rule.target(request.Route, request.Destination)
	collectorKey := collector.key()
	switch {
	case !allowedIn(request.AllowedRegions, collector.Region) || !allowedIn(request.AllowedRegions, firstNonEmpty(target.Region, rule.CollectorRegion)):
		s.reportLost(now, collectorKey, id, rule, now, OutsideRegion)
		return 0
	case s.overloaded:
		s.reportLost(now, collectorKey, id, rule, now, Overloaded)
		return 0
	case len(s.tickets) >= maxTickets:
		s.reportLost(now, collectorKey, id, rule, now, GatekeeperFull)
		return 0
	}
	s.lastTicket++
	s.tickets[s.lastTicket] = &ticket{id, now, collectorKey, rule, target.Address}
	outbox := s.outbox(collectorKey)
	outbox.openTickets = append(outbox.openTickets, s.lastTicket)
	return s.lastTicket
}

// SelectedFlow returns the request's flow and whether the current rule selects it, regardless of
// whether it is copied.
func (s *Engine) SelectedFlow(request *RequestInfo) (id FlowID, chosen bool) {
	if s.rule == nil {
		return id, false
	}
	id, ok := s.rule.FlowOf(request)
	return id, ok && s.rule.Selects(id)
}

// allowedIn reports whether a region is among the allowed ones; an empty list allows all. An
// unknown region (an empty name) is not allowed by a non-empty list.
func allowedIn(regions []string, region string) bool {
	if len(regions) == 0 {
		return true
	}
	for _, allowed := range regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// MaxBodyBytes returns the largest body that FinishRequest accepts, in bytes. For larger ones the caller can
// call DropRequest at once.
func (s *Engine) MaxBodyBytes() int {
	if s.rule == nil {
		return 0
	}
	return s.rule.MaxBodyBytes
}

// FinishRequest queues the copy of a ticket's request for its collector, once the real answer is known.
func (s *Engine) FinishRequest(now float64, id Ticket, request *Request, response LiveResponse) {
	ticket := s.tickets[id]
	if ticket == nil {
		return
	}
	delete(s.tickets, id)
	if len(request.Body) > ticket.rule.MaxBodyBytes {
		s.reportLost(now, ticket.collector, ticket.flow, ticket.rule, ticket.startedAt, BodyTooLarge)
		return
	}
	copied := ticket.rule.newCopy(request)
	cost := copied.Bytes() + itemCostBytes
	if s.queuedBytes+cost > s.maxBytes/4 || s.usedBytes+cost > s.maxBytes {
		s.reportLost(now, ticket.collector, ticket.flow, ticket.rule, ticket.startedAt, GatekeeperFull)
		return
	}
	s.counts.Copied++
	s.pushItem(ticket.collector, entry{item: Item{Flow: ticket.flow, Copy: copied, Response: response, ScopeHash: ticket.rule.scopeHash, Target: ticket.target}, startedAt: ticket.startedAt, bytes: cost})
}

// DropRequest ends a ticket without a copy, which breaks its flow.
func (s *Engine) DropRequest(now float64, id Ticket, cause Cause) {
	if ticket := s.tickets[id]; ticket != nil {
		delete(s.tickets, id)
		s.reportLost(now, ticket.collector, ticket.flow, ticket.rule, ticket.startedAt, cause)
	}
}

// reportLost queues an item that tells the collector that the flow lacks a piece.
func (s *Engine) reportLost(now float64, collector memberKey, id FlowID, rule *Rule, startedAt float64, cause Cause) {
	s.counts.Lost++
	s.pushItem(collector, entry{item: Item{Flow: id, LostCause: cause, ScopeHash: rule.scopeHash}, startedAt: startedAt, bytes: itemCostBytes})
}

// pushItem queues an item. If there is not even memory for a report of a loss, it drops all items
// of the outbox; the collector notices the gap in the numbers.
func (s *Engine) pushItem(collector memberKey, added entry) {
	outbox := s.outbox(collector)
	if s.usedBytes+added.bytes > s.maxBytes+s.maxBytes/8 {
		outbox.firstNumber += uint64(len(outbox.items)) + 1
		for _, old := range outbox.items {
			s.release(&old)
		}
		outbox.items = nil
		return
	}
	s.usedBytes += added.bytes
	s.queuedBytes += added.bytes
	outbox.items = append(outbox.items, added)
}

// release subtracts a dropped item from the memory in use.
func (s *Engine) release(dropped *entry) {
	s.usedBytes -= dropped.bytes
	s.queuedBytes -= dropped.bytes
}

// ServeFetch serves a fetch of a collector, which may be this gatekeeper itself.
func (s *Engine) ServeFetch(now float64, request FetchRequest) FetchResponse {
	if request.To.key() != s.self.key() {
		return FetchResponse{From: s.self, WrongIncarnation: true}
	}
	outbox := s.outbox(request.From.key())
	s.lastFetchAt[request.From.key()] = now
	for len(outbox.items) > 0 && outbox.firstNumber <= request.LastReceived {
		s.release(&outbox.items[0])
		outbox.items[0] = entry{}
		outbox.items = outbox.items[1:]
		outbox.firstNumber++
	}
	for len(outbox.openTickets) > 0 { // remove tickets that are closed, and drop those that are too old
		ticket := s.tickets[outbox.openTickets[0]]
		if ticket != nil && now-ticket.startedAt < maxRequestMs {
			break
		}
		if ticket != nil {
			s.DropRequest(now, outbox.openTickets[0], NoAnswer)
		}
		outbox.openTickets = outbox.openTickets[1:]
	}
	response := FetchResponse{From: s.self, UptimeMs: now - s.startedAt, FirstNumber: outbox.firstNumber, Rule: s.updateEffectiveRule(now)}
	budget := request.MaxBytes
	if budget <= 0 || budget > maxAnswerBytes {
		budget = maxAnswerBytes
	}
	lagMs, sent := 0.0, 0
	for ; sent < len(outbox.items) && (budget > 0 || sent == 0); sent++ {
		queued := &outbox.items[sent]
		budget -= queued.bytes
		item := queued.item
		item.AgeMs = now - queued.startedAt
		if queued.flow != nil {
			item.HandedOver = queued.flow.toWire(now)
		}
		if queued.report != nil {
			item.Report = queued.report.toWire(now)
		}
		response.Items = append(response.Items, item)
	}
	for i := sent; i < len(outbox.items); i++ {
		lagMs = max(lagMs, now-outbox.items[i].startedAt)
	}
	if len(outbox.openTickets) > 0 {
		lagMs = max(lagMs, now-s.tickets[outbox.openTickets[0]].startedAt)
	}
	response.LagMs = lagMs
	response.HistoryMs = response.UptimeMs
	if s.periodsDropped {
		response.HistoryMs = now - s.rulePeriods[0].from
	}
	for i := range s.rulePeriods[:len(s.rulePeriods)-1] {
		if period := &s.rulePeriods[i]; !period.idle() && (request.HistoryMs == 0 || now-period.to <= request.HistoryMs+clockSlackMs) {
			response.PastRules = append(response.PastRules, PastRule{period.rule, now - period.from, now - period.to})
		}
	}
	response.Idle = s.rulePeriods[len(s.rulePeriods)-1].idle()
	response.RuleAgeMs = now - s.rulePeriods[len(s.rulePeriods)-1].from
	if s.closed && s.handedOver && !s.members.contains(s.self.key()) && len(outbox.items) == 0 && len(outbox.openTickets) == 0 {
		response.Done, outbox.finished = true, true
	}
	return response
}

// Close marks the end of copying, after the last request of this incarnation. Fetches are still
// served until IsDrained returns true.
func (s *Engine) Close(now float64) { s.closed = true }

// IsDrained reports whether all items have been fetched, all flows handed over and all deliveries
// finished, so that the process may exit without a loss.
func (s *Engine) IsDrained(now float64) bool {
	if !s.closed || !s.handedOver || s.members.contains(s.self.key()) || len(s.tickets) > 0 || s.waitingFlows > 0 {
		return false
	}
	if s.members == nil {
		return true
	}
	for _, member := range s.members.members {
		if outbox := s.outboxes[member.key()]; member.key() != s.self.key() && (outbox == nil || !outbox.finished) {
			return false
		}
	}
	return true
}
