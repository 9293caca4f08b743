package policy

// Load is a gateway's current work, for monitoring.
type Load struct {
	Queued    int    // requests waiting to be sent
	InFlight  int    // attempts without an outcome
	ColdSends uint64 // attempts sent to cold servers since the start
}

// Load returns the gateway's current work.
func (g *Gateway) Load() Load {
	return Load{Queued: g.queued, InFlight: g.inFlight, ColdSends: g.coldSendCount}
}
