package link

import (
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// settleMS is how long a connection rests after a response before it is reused. When a worker
// closes the connection right after a response, the close takes as long to arrive as the
// response did, and a request written in the meantime is lost. A waiting execution waits for a
// connection that has at most settleWaitMS left to rest; otherwise another is dialed.
const (
	settleMS     = 5.0
	settleWaitMS = 2.0
)

// serialPool carries one execution at a time on a connection, as the platform's specification
// requires.
type serialPool struct {
	worker      *workerRecord
	workerConns *WorkerConns
	idle        []*workerConn // in order of use; the last is reused first, so that the others can expire
	queue       []*gatekeeper.Execution
	dialing     int
	connCount   int
	settling    bool // a timer waits for an idle connection to settle
	assigning   bool // assignOrDial is running
	assignAgain bool // and was called again meanwhile
}

func (s *serialPool) execute(execution *gatekeeper.Execution) {
	if l := s.takeIdle(execution, s.workerConns.clock.Now()); l != nil {
		l.start(execution)
		return
	}
	execution.TransportData = s
	s.queue = append(s.queue, execution)
	s.assignOrDial()
}

func (s *serialPool) addressChanged() {
	for _, l := range slices.Clone(s.idle) {
		if !l.usable() {
			l.close()
		}
	}
}

func (s *serialPool) release() {
	s.addressChanged()
	for len(s.queue) > 0 { // a connection that opens now would still take them
		s.workerConns.endUnanswered(s.dequeue(), policy.ConnectFailed)
	}
}

func (s *serialPool) empty() bool { return s.connCount == 0 && len(s.queue) == 0 }

func (s *serialPool) idleSince() (float64, bool) {
	if len(s.idle) == 0 {
		return 0, false
	}
	return s.idle[0].idleSince, true
}

func (s *serialPool) closeOldestIdle() { s.idle[0].close() }

func (s *serialPool) sweep(now float64) {
	for _, l := range slices.Clone(s.idle) {
		if l.stale(now) {
			l.close()
		}
	}
	s.assignOrDial()
}

// takeIdle takes the most recently used idle connection that can be reused, or returns nil.
//
// Input that a worker sends after its response would be read as the response to the next
// request. So a connection rests first, and it is closed if data or the worker's close arrives
// in that time. A connection that has carried the same request before is not used: a late
// duplicate of the refusal that the request got there carries the same id, and would prove
// that the request never ran while it is running.
func (s *serialPool) takeIdle(execution *gatekeeper.Execution, now float64) *workerConn {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if i >= len(s.idle) { // closing a connection may have removed others
			continue
		}
		conn := s.idle[i]
		if now-conn.idleSince < s.workerConns.SettleMS || conn.hasCarried(execution) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if !conn.stale(now) && conn.usable() && noUnreadInput(conn.conn) {
			return conn
		}
		conn.close()
	}
	return nil
}

// dequeue removes the execution that has waited longest.
func (s *serialPool) dequeue() *gatekeeper.Execution {
	x := s.queue[0]
	s.queue = slices.Delete(s.queue, 0, 1)
	return x
}

// assignOrDial assigns idle connections to waiting executions, and dials until there is one
// for each of the others, as far as the budget allows.
//
// It must not run recursively: closing a connection with unread input calls it again, and with
// two such connections at once the outer call once used connections that the inner call had
// already taken.
func (s *serialPool) assignOrDial() {
	if s.assigning {
		s.assignAgain = true
		return
	}
	s.assigning = true
	for s.assignAgain = true; s.assignAgain; {
		s.assignAgain = false
		s.assignOnce()
	}
	s.assigning = false
}

func (s *serialPool) assignOnce() {
	workerConns := s.workerConns
	for i := 0; i < len(s.queue) && len(s.idle) > 0; {
		execution := s.queue[i]
		conn := s.takeIdle(execution, workerConns.clock.Now())
		if conn == nil {
			i++
			continue
		}
		s.queue = slices.DeleteFunc(s.queue, func(o *gatekeeper.Execution) bool { return o == execution })
		if !workerConns.checkSend(execution) {
			conn.makeIdle()
			continue
		}
		conn.start(execution)
	}
	idleSoon, now := 0, workerConns.clock.Now()
	nextSettleMS := -1.0 // time until the next idle connection has settled
	for _, conn := range s.idle {
		remainingMS := workerConns.SettleMS - (now - conn.idleSince)
		if remainingMS <= settleWaitMS && !slices.ContainsFunc(s.queue, conn.hasCarried) {
			idleSoon++
		}
		if remainingMS > 0 && nextSettleMS < 0 {
			nextSettleMS = remainingMS
		}
	}
	if len(s.queue) > 0 && nextSettleMS >= 0 && !s.settling {
		s.settling = true
		workerConns.loop.afterMS(nextSettleMS, func() {
			s.settling = false
			s.assignOrDial()
		})
	}
	if len(s.queue) > 0 && workerConns.MaxConnsPerWorker > 0 && s.connCount >= workerConns.MaxConnsPerWorker {
		if i := slices.IndexFunc(s.idle, func(conn *workerConn) bool { return conn.hasCarried(s.queue[0]) }); i >= 0 {
			s.idle[i].close() // makes room for a connection that may carry the request
		}
	}
	for s.dialing+idleSoon < len(s.queue) && (workerConns.MaxConnsPerWorker == 0 || s.connCount < workerConns.MaxConnsPerWorker) && workerConns.canDial() {
		s.dialing++
		workerConns.dialing++
		s.connCount++
		workerConns.connCount++
		conn := &workerConn{workerConns: workerConns, pool: s, addr: s.worker.addr, dialedAt: now, parser: http1.NewResponseParser()}
		conn.parser.StreamBody, conn.parser.Limits = true, workerConns.ResponseLimits
		workerConns.loop.dial(s.worker.addr, workerConns.dialTimeout, conn, conn.dialFailed)
	}
}

// abandon implements executionHolder for a queued execution.
func (s *serialPool) abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	if i := slices.Index(s.queue, execution); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return gatekeeper.SentNothing
}
