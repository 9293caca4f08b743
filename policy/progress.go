package policy

// Progress tells that a worker takes or gives bytes of an attempt that is still out. A long
// body keeps it from answering without its being silent. Nothing is decided here.
func (g *Gateway) Progress(now Micros, at Server) {
	if s := g.byID[at]; s != nil {
		s.answered = max(s.answered, now)
	}
}
