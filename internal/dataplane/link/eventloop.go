package link

import "time"

// eventLoop is the part of Loop that WorkerConns needs.
type eventLoop interface {
	// dial opens a connection and passes it to e, or calls failed.
	dial(addr string, timeout time.Duration, e endpoint, failed func(error))
	// afterMS calls fn after the given number of milliseconds.
	afterMS(ms float64, fn func())
	// flushSoon calls f.flush at the end of this event or of this loop iteration. The mark
	// belongs to the connection that f writes to.
	flushSoon(f flusher, mark *writeMark)
	// closeConn closes a connection, which calls closed on its endpoint.
	closeConn(c conn)
	// makePausable turns a connection into one that can stop reading. It returns false if that
	// is not possible.
	makePausable(c conn, e pausableEndpoint) (*pausableConn, bool)
	// maxWorkerConns is the limit on open worker connections.
	maxWorkerConns() int
	// maxDialing is the limit on worker connections that are being dialed.
	maxDialing() int
}

func (l *Loop) maxWorkerConns() int { return l.Budget.MaxWorkers }
func (l *Loop) maxDialing() int     { return l.Budget.MaxDialing }
