package simulation

import "foxwood/internal/dataplane/mirror"

// Planted faults in the calls between gatekeepers.

// forgeResponse returns a response in the name of a gatekeeper that gave none, if the planted fault
// does that.
func (s *simulation) forgeResponse(gatekeeper, peer *gatekeeperNode, request mirror.FetchRequest) (mirror.FetchResponse, bool) {
	alive := peer.running && peer.incarnation == request.To.Incarnation
	switch {
	case s.plan.Fault == "cut" && alive && peer.isolated && !gatekeeper.isolated, s.plan.Fault == "death" && !alive:
		response := s.ownResponse(gatekeeper)
		response.From, response.Items, response.FirstNumber, response.Done = request.To, nil, request.LastReceived+1, !alive
		return response, true
	}
	return mirror.FetchResponse{}, false
}

// ownResponse returns a response with the gatekeeper's own effective rules.
func (s *simulation) ownResponse(gatekeeper *gatekeeperNode) mirror.FetchResponse {
	now := gatekeeper.clock(s.now)
	return gatekeeper.engine.ServeFetch(now, mirror.FetchRequest{To: s.member(gatekeeper), From: mirror.Member{Node: "nobody"}, HistoryMs: 1})
}

// applyFault changes a response as the planted fault does.
func (s *simulation) applyFault(gatekeeper *gatekeeperNode, response mirror.FetchResponse) mirror.FetchResponse {
	switch s.plan.Fault {
	case "loss":
		for i := range response.Items {
			if item := &response.Items[i]; item.LostCause != mirror.NotBroken {
				item.Flow.CollectorHash++
			}
		}
	case "stances":
		if !response.Idle {
			response.Idle, response.PastRules = true, nil
		}
	case "handed":
		for i := range response.Items {
			if handedOver := response.Items[i].HandedOver; handedOver != nil && len(handedOver.Pieces) > 0 {
				handedOver.Pieces = append(handedOver.Pieces, handedOver.Pieces[0])
			}
		}
	case "half":
		for i := range response.Items {
			if handedOver := response.Items[i].HandedOver; handedOver != nil && len(handedOver.Pieces) > 1 {
				handedOver.Pieces = handedOver.Pieces[:len(handedOver.Pieces)-1]
			}
		}
	case "ages":
		for i := range response.Items {
			if item := &response.Items[i]; item.HandedOver == nil && item.Report == nil {
				item.AgeMs = s.random.Float64() * s.plan.PollIntervalS * second
			}
		}
	case "forgetful":
		if len(response.Items) > 0 && s.random.IntN(50) == 0 {
			response.Items = response.Items[1:]
		}
	}
	return response
}
