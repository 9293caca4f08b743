package policy

// Requests and answers whose bodies take long to transfer. A server starts with a request's last byte; until
// then an attempt is in flight and takes none of its capacity.

// BodyReceived records that the last byte of a request's body has arrived.
func (g *Gateway) BodyReceived(now Micros, id uint32) {
	req := g.requests[id]
	if req == nil || !req.bodyPending {
		return
	}
	req.bodyPending = false
	for _, att := range req.attempts {
		if att.open && att.bodyPending {
			att.bodyPending = false
			g.inFlightBodies--
			att.sent = now
			att.server.work += att.work
		}
	}
}

// Progress records that a server receives or sends bytes of an attempt in flight: a long body delays the
// answer, but the server is not silent.
func (g *Gateway) Progress(now Micros, id Server) {
	if srv := g.byID[id]; srv != nil {
		srv.lastAnswer = max(srv.lastAnswer, now)
	}
}
