package mirror

// ReportGap reports that requests were forwarded whose start events were lost. Their flows are unknown,
// so it skips an item number in every outbox: each collector then knows that any of its flows may
// lack a piece.
func (s *Engine) ReportGap(now float64) {
	s.updateEffectiveRule(now)
	s.rulePeriods[len(s.rulePeriods)-1].used = true
	if s.members != nil {
		for _, member := range s.members.members {
			s.outbox(member.key())
		}
	}
	for _, outbox := range s.outboxes {
		for i := range outbox.items {
			s.release(&outbox.items[i])
		}
		outbox.firstNumber += uint64(len(outbox.items)) + 1
		outbox.items = nil
	}
}

// DiscardTicket drops a ticket whose request never ran, as its client was told. The request is not part
// of its flow.
func (s *Engine) DiscardTicket(_ float64, id Ticket) { delete(s.tickets, id) }
