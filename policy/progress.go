package policy

// What is told of requests and answers that take long to pass. A worker begins with a
// request's last byte; until then an attempt is out and holds none of its capacity. Nothing
// is decided here.

// Filled tells that a request's last byte has come.
func (g *Gateway) Filled(now Micros, id uint32) {
	q := g.reqs[id]
	if q == nil || !q.filling {
		return
	}
	q.filling = false
	for _, a := range q.attempts {
		if a.open && a.filling {
			a.filling = false
			g.filling--
			a.sent = now
			a.srv.load += a.load
		}
	}
}

// Progress tells that a worker takes or gives bytes of an attempt that is still out: a long
// body keeps it from answering without its being silent.
func (g *Gateway) Progress(now Micros, at Server) {
	if s := g.byID[at]; s != nil {
		s.answered = max(s.answered, now)
	}
}
