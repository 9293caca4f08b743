package mirror

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	maxInFlightPerTarget = 8   // copies in flight to one mirror target
	maxBurstSeconds      = 1.0 // burst size of the rate limits, in seconds' worth of tokens
	maxMembersAgePolls   = 4   // maximum age of the member list for a delivery, in poll intervals
)

// targetQueue holds the flows whose next copy is for one mirror target.
type targetQueue struct {
	inFlight    int
	queuedBytes int // of the waiting flows
	queue       []*outgoingFlow
}

// outgoingFlow is a flow in delivery or queued for it.
type outgoingFlow struct {
	flow       *flowState
	nextPiece  int // index into the flow's pieces
	cause      Cause
	deliveryID uint64
	bytes      int
}

// Delivery is one copy to be sent once to its mirror target. The copies of one flow are issued in
// order, each after ReportDelivery has reported the result of the previous one.
type Delivery struct {
	ID                 uint64  // for ReportDelivery; unique in this incarnation
	Address            string  // of the mirror target
	TimeoutMs          float64 // limit for the target's answer, in ms
	Bytes              int
	Flow               FlowID
	Position, FlowSize int // the copy's position in the flow, from 1, and the flow's number of copies
	Cause              Cause
	copy               RequestCopy
	head               []byte
	sent               bool
}

// queueDelivery queues a finished flow for its mirror target, its pieces sorted by time.
func (s *Engine) queueDelivery(now float64, flow *flowState) {
	if flow.cause == NotBroken {
		s.counts.Complete++
	}
	if len(flow.pieces) == 0 {
		s.usedBytes -= flow.bytes
		return
	}
	slices.SortStableFunc(flow.pieces, func(a, b piece) int { return cmp.Compare(a.earliest+a.latest, b.earliest+b.latest) })
	for i := range flow.pieces[1:] {
		if flow.pieces[i+1].earliest < flow.pieces[i].latest {
			s.counts.UncertainOrder++
		}
	}
	outgoing := &outgoingFlow{flow: flow, cause: flow.cause, bytes: flow.bytes}
	target := s.target(flow.pieces[0].target)
	maxQueuedBytes := s.maxBytes / 2 / len(s.targets)
	if target.queuedBytes+outgoing.bytes > maxQueuedBytes {
		s.dropOverLimit(outgoing)
		return
	}
	s.waitingFlows++
	target.queuedBytes += outgoing.bytes
	target.queue = append(target.queue, outgoing)
}

// dropOverLimit drops a flow that does not fit into the queue of its mirror target.
func (s *Engine) dropOverLimit(outgoing *outgoingFlow) {
	if outgoing.cause == NotBroken {
		s.counts.Complete--
		s.counts.Broken++
		s.counts.BrokenByCause[TargetQueueFull]++
	}
	s.counts.Withheld++
	s.usedBytes -= outgoing.bytes
}

// target returns the queue of a mirror target and creates it if needed.
func (s *Engine) target(address string) *targetQueue {
	target := s.targets[address]
	if target == nil {
		target = &targetQueue{}
		s.targets[address] = target
		s.targetOrder = append(s.targetOrder, address)
	}
	return target
}

// dropQueued drops all flows that wait for delivery.
func (s *Engine) dropQueued() {
	for _, target := range s.targets {
		for _, outgoing := range target.queue {
			s.waitingFlows--
			s.usedBytes -= outgoing.bytes
			s.counts.CopiesUnsent += uint64(len(outgoing.flow.pieces) - outgoing.nextPiece)
		}
		target.queue, target.queuedBytes = nil, 0
	}
	maps.DeleteFunc(s.targets, func(_ string, target *targetQueue) bool { return target.inFlight == 0 })
	s.targetOrder = slices.Sorted(maps.Keys(s.targets))
}

// refillTokens refills this collector's equal part of the rule's rate limits, and reports whether
// each limit allows another copy now.
func (s *Engine) refillTokens(now float64) (requestAllowed, bytesAllowed bool) {
	collectors := 1
	if s.members != nil {
		collectors = 0
		for _, member := range s.members.members {
			if s.rule.CollectorRegion == "" || member.Region == s.rule.CollectorRegion {
				collectors++
			}
		}
		collectors = max(collectors, 1)
	}
	elapsedSeconds := (now - s.tokensRefilledAt) / 1000
	s.tokensRefilledAt = now
	for i, rate := range []float64{s.rule.MaxRequestsPerS, s.rule.MaxBytesPerS} {
		rate /= float64(collectors)
		s.tokens[i] = min(s.tokens[i]+rate*elapsedSeconds, max(rate*maxBurstSeconds, 1))
	}
	return s.rule.MaxRequestsPerS == 0 || s.tokens[0] >= 1, s.rule.MaxBytesPerS == 0 || s.tokens[1] > 0
}

// NextDelivery returns a copy to send now, if there is one. The engine drops its own reference to the copy,
// so that it can't be sent again.
func (s *Engine) NextDelivery(now float64) (*Delivery, bool) {
	if s.rule == nil || s.rule.Stopped || s.targetIsLive || s.waitingFlows == 0 || now-s.membersAsOf > maxMembersAgePolls*s.pollIntervalMs {
		return nil, false // the list of live workers may be outdated
	}
	if requestAllowed, bytesAllowed := s.refillTokens(now); !requestAllowed || !bytesAllowed {
		return nil, false
	}
	for range s.targetOrder {
		s.targetCursor = (s.targetCursor + 1) % len(s.targetOrder)
		address := s.targetOrder[s.targetCursor]
		target := s.targets[address]
		if target.inFlight >= maxInFlightPerTarget || len(target.queue) == 0 {
			continue
		}
		outgoing := target.queue[0]
		target.queue[0] = nil
		target.queue = target.queue[1:]
		target.queuedBytes -= outgoing.bytes
		target.inFlight++
		s.lastDeliveryID++
		outgoing.deliveryID = s.lastDeliveryID
		s.inFlight[outgoing.deliveryID] = outgoing
		return s.newDelivery(outgoing, address), true
	}
	return nil, false
}

// newDelivery takes the flow's next copy and consumes tokens for it.
func (s *Engine) newDelivery(outgoing *outgoingFlow, address string) *Delivery {
	piece := &outgoing.flow.pieces[outgoing.nextPiece]
	delivery := &Delivery{ID: outgoing.deliveryID, Address: address, TimeoutMs: s.rule.TargetTimeoutS * 1000, Bytes: piece.copy.Bytes(), Flow: outgoing.flow.id, Position: outgoing.nextPiece + 1, FlowSize: len(outgoing.flow.pieces),
		Cause: outgoing.cause, copy: piece.copy}
	outgoing.nextPiece++
	s.tokens[0]--
	s.tokens[1] -= float64(delivery.Bytes)
	s.counts.CopiesIssued++
	state := "whole"
	if outgoing.cause != NotBroken {
		state = "broken; cause=" + outgoing.cause.String()
	}
	delivery.head = fmt.Appendf(nil, "X-Foxwood-Shadow: %s; journey=%016x%016x; n=%d; of=%d; at=%.0f; status=%d; took=%.1f; digest=%016x; order=%d\r\n"+
		"X-Foxwood-Shadow-Id: %016x-%d\r\nX-Foxwood-Expect-Worker: shadow\r\n", state, delivery.Flow.SelectionHash, delivery.Flow.CollectorHash, delivery.Position, delivery.FlowSize, max((piece.earliest+piece.latest)/2-outgoing.flow.earliest, 0), piece.response.Status, piece.response.DurationMs,
		piece.response.BodyHash, s.rule.Number, s.self.Incarnation, delivery.ID)
	piece.copy = RequestCopy{}
	return delivery
}

// ReportDelivery reports whether the mirror target answered a delivery. If it did not, the flow's later
// copies are not sent. The answer itself is discarded.
func (s *Engine) ReportDelivery(now float64, id uint64, answered bool) {
	outgoing := s.inFlight[id]
	if outgoing == nil {
		return
	}
	delete(s.inFlight, id)
	s.target(outgoing.flow.pieces[outgoing.nextPiece-1].target).inFlight--
	if answered {
		s.counts.CopiesAnswered++
	} else {
		s.counts.CopiesFailed++
	}
	remaining := len(outgoing.flow.pieces) - outgoing.nextPiece
	if remaining > 0 && answered && s.rule != nil && !s.rule.Stopped && !s.targetIsLive {
		target := s.target(outgoing.flow.pieces[outgoing.nextPiece].target)
		target.queuedBytes += outgoing.bytes
		target.queue = slices.Insert(target.queue, 0, outgoing) // flows whose delivery has started go first
		return
	}
	s.waitingFlows--
	s.usedBytes -= outgoing.bytes
	s.counts.CopiesUnsent += uint64(remaining)
	if remaining == 0 && answered {
		s.counts.Delivered++
	}
}
