package link

import "time"

// driver is what a fleet needs of the loop that drives it.
type driver interface {
	// dial opens a connection and hands it to e, or calls failed.
	dial(addr string, patience time.Duration, e endpoint, failed func(error))
	// after calls do once so many milliseconds are over.
	after(ms float64, do func())
	// flushSoon has a link written to at the end of this event or turn; g is the link's.
	flushSoon(f flusher, g *mark)
	// shut closes a connection, which calls closed on its endpoint.
	shut(c conn)
	// leave makes a connection one that can stop reading, if it can be.
	leave(c conn, e flowing) (*flow, bool)
	// servers is the most server links open at once.
	servers() int
	// openings is the most server links being opened at once.
	openings() int
}

func (l *Loop) servers() int  { return l.Budget.Servers }
func (l *Loop) openings() int { return l.Budget.Openings }
