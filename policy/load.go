package policy

// Load is what a gateway has to do now, for those who watch it.
type Load struct {
	Queued    int    // requests that wait to be sent
	InFlight  int    // attempts without an outcome
	ColdSends uint64 // attempts that have left for servers that were cold, since the start
}

// Load tells what there is to do now.
func (g *Gateway) Load() Load {
	return Load{Queued: g.queued, InFlight: g.inFlight, ColdSends: g.toCold}
}
