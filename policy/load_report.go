package policy

// Load reports of servers: requests running, requests waiting, slots.

// applyLoadReport keeps a server's load report and derives the Full status that servers do not send. If the
// server's queue would keep another request of a class past its latency target, the server gets none until
// enough of it is done, and the limit is cut as for a refusal: requests queued at the server wait in order of
// arrival, those queued here by rank.
func (g *Gateway) applyLoadReport(srv *server, class *classState, load []float32) {
	if len(load) < 3 || load[2] <= 0 {
		return
	}
	srv.reportedLoad, srv.reportedAt = float64(load[0]+load[1])/float64(load[2]), g.now
	work := g.meanLatency() * g.currentSlowness(srv)
	excess := Micros(float64(load[1]/load[2])*work + work - float64(class.LatencyTarget))
	if !g.settings.UseLoadReports || load[1] < 1 || excess <= 0 {
		return
	}
	srv.fullUntil = max(srv.fullUntil, g.now+min(excess, class.LatencyTarget/2))
	g.cutLimit(class.LatencyTarget / 4)
}
