package link

import "time"

// driver is what a fleet needs of the loop that drives it.
type eventLoop interface {
	// dial opens a connection and hands it to e, or calls failed.
	dial(addr string, patience time.Duration, e endpoint, failed func(error))
	// after calls do once so many milliseconds are over.
	afterMS(ms float64, do func())
	// flushSoon has a link written to at the end of this event or turn; g is the link's.
	flushSoon(f flusher, g *writeMark)
	// shut closes a connection, which calls closed on its endpoint.
	closeConn(c conn)
	// leave makes a connection one that can stop reading, if it can be.
	makePausable(c conn, e pausableEndpoint) (*pausableConn, bool)
	// servers is the most server links open at once.
	maxWorkerConns() int
	// openings is the most server links being opened at once.
	maxDialing() int
}

func (l *Loop) maxWorkerConns() int { return l.Budget.Servers }
func (l *Loop) maxDialing() int     { return l.Budget.Openings }
