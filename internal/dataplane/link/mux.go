package link

import (
	"slices"

	"foxwood/gatekeeper"
	"foxwood/policy"
)

const (
	// maxWaiting is how many executions may wait for a connection to a worker. Further ones
	// end as refused by a full worker, and have not run.
	maxWaiting = 256
	// maxUnsentBytes is how much output a connection may have buffered before it gets no new
	// executions.
	maxUnsentBytes = 1 << 20
)

// muxProtocol is a protocol that carries several executions on a connection, as a state
// machine. Its methods run on the loop. It reports the outcome of executions to the core
// itself.
type muxProtocol interface {
	// start begins the conversation.
	start()
	// room returns how many executions may be sent now.
	room() int
	// send sends an execution. There must be room for it.
	send(execution *gatekeeper.Execution)
	// receive handles input. After an error the connection is closed, and finalBytes is the
	// last output on it.
	receive(b []byte) error
	finalBytes() []byte
	// takeOutput returns the output that is due. The slice is valid until the next call.
	takeOutput() []byte
	// cancel gives up an execution before its response, and reports how much of it had been sent.
	// After an error the connection must be closed, because the peer could not be told.
	cancel(execution *gatekeeper.Execution) (progress gatekeeper.SendProgress, err error)
	// sweep does periodic work. After an error the connection is closed.
	sweep(now float64) error
	// peerLeaving reports that the peer accepts no new executions on this connection.
	peerLeaving() bool
	// inFlight returns how many executions are in flight.
	inFlight() int
	// connLost ends every execution in flight when the connection has broken. The first
	// sentOffset bytes of output have been sent and nothing after them, which decides what is
	// known of each execution.
	connLost(sentOffset int64)
}

// muxConn is a connection of a muxPool.
type muxConn struct {
	pool         *muxPool
	workerConns  *WorkerConns
	addr         string
	dialedAt     float64 // when dialing began
	conn         conn
	protocol     muxProtocol
	writtenBytes int64 // bytes written to the connection
	mark         writeMark
	isClosed     bool
	idleSince    float64 // start of the idle period
}

// muxPool holds the connections to one worker for protocols that carry several executions on a
// connection.
type muxPool struct {
	worker      *workerRecord
	workerConns *WorkerConns
	conns       []*muxConn // open connections, in the order they opened
	queue       []*gatekeeper.Execution
	dialing     int
	connCount   int
	// choose returns the connection for an execution, or reports that another should be
	// opened.
	choose      func(execution *gatekeeper.Execution) (conn *muxConn, open bool)
	uniform     bool // if choose finds no connection for one execution, it finds none for any
	newProtocol func(conn *muxConn) muxProtocol
	assigning   bool
	assignAgain bool
}

func newMuxPool(worker *workerRecord) *muxPool {
	pool := &muxPool{worker: worker, workerConns: worker.workerConns}
	pool.choose, pool.uniform = pool.mostRoom, true
	switch worker.workerConns.transport.Protocol {
	case Pipeline:
		pool.newProtocol = newPipelineProtocol
		chooser := &pipelineChooser{pool: pool}
		pool.choose, pool.uniform = chooser.choose, false
	case HTTP2:
		pool.newProtocol = newHTTP2Protocol
	case Batch:
		pool.newProtocol = newBatchProtocol
	}
	return pool
}

// mostRoom returns the connection with the most room, or reports whether to open another.
func (s *muxPool) mostRoom(*gatekeeper.Execution) (best *muxConn, open bool) {
	bestRoom := 0
	for _, t := range s.conns {
		if n := t.room(); n > bestRoom {
			best, bestRoom = t, n
		}
	}
	depth := s.workerConns.transport.MaxInFlight
	return best, best == nil && s.connCount < s.workerConns.transport.MaxConns && s.dialing*depth < len(s.queue)
}

func (s *muxPool) execute(execution *gatekeeper.Execution) {
	if len(s.queue) >= maxWaiting {
		s.workerConns.endUnanswered(execution, policy.Full)
		return
	}
	execution.TransportData = s
	s.queue = append(s.queue, execution)
	s.assign()
}

// assign sends waiting executions where there is room, and opens connections where they are
// needed. An outcome that it causes may call it again; then it starts over.
func (s *muxPool) assign() {
	if s.assigning {
		s.assignAgain = true
		return
	}
	s.assigning = true
	for s.assignAgain = true; s.assignAgain; {
		s.assignAgain = false
		for i := 0; i < len(s.queue); {
			execution := s.queue[i]
			conn, open := s.choose(execution)
			if conn != nil {
				s.queue = slices.Delete(s.queue, i, i+1)
				conn.send(execution)
				continue
			}
			opened := open && s.workerConns.canDial()
			if opened {
				s.dial()
			}
			if s.uniform && !opened {
				break
			}
			i++
		}
	}
	s.assigning = false
}

func (s *muxPool) dial() {
	workerConns := s.workerConns
	s.dialing++
	workerConns.dialing++
	s.connCount++
	workerConns.connCount++
	conn := &muxConn{pool: s, workerConns: workerConns, addr: s.worker.addr, dialedAt: workerConns.clock.Now()}
	conn.protocol = s.newProtocol(conn)
	workerConns.loop.dial(s.worker.addr, workerConns.dialTimeout, conn, conn.dialFailed)
}

// addressChanged closes idle connections; the others are closed when their executions have
// ended.
func (s *muxPool) addressChanged() {
	for _, t := range slices.Clone(s.conns) {
		t.updateIdle()
	}
}

func (s *muxPool) release() {
	s.addressChanged()
	waiting := s.queue
	s.queue = nil
	for _, x := range waiting {
		s.workerConns.endUnanswered(x, policy.ConnectFailed)
	}
}

func (s *muxPool) empty() bool { return s.connCount == 0 && len(s.queue) == 0 }

func (s *muxPool) oldestIdle() *muxConn {
	var oldest *muxConn
	for _, t := range s.conns {
		if t.protocol.inFlight() == 0 && (oldest == nil || t.idleSince < oldest.idleSince) {
			oldest = t
		}
	}
	return oldest
}

func (s *muxPool) idleSince() (float64, bool) {
	if t := s.oldestIdle(); t != nil {
		return t.idleSince, true
	}
	return 0, false
}

func (s *muxPool) closeOldestIdle() { s.oldestIdle().close() }

func (s *muxPool) sweep(now float64) {
	for _, t := range slices.Clone(s.conns) {
		if !t.isClosed && t.protocol.sweep(now) != nil {
			t.close()
		}
	}
	s.assign()
}

// abandon implements executionHolder for a queued execution.
func (s *muxPool) abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	if i := slices.Index(s.queue, execution); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return gatekeeper.SentNothing
}

// usable reports whether the connection may carry new executions.
func (t *muxConn) usable() bool {
	return !t.isClosed && t.pool.worker.accepts(t.addr, t.dialedAt) && !t.protocol.peerLeaving()
}

func (t *muxConn) room() int {
	if !t.usable() || t.conn.OutboundBuffered() > maxUnsentBytes {
		return 0
	}
	return t.protocol.room()
}

func (t *muxConn) send(execution *gatekeeper.Execution) {
	execution.TransportData = t
	t.protocol.send(execution)
	t.scheduleFlush()
}

// scheduleFlush makes the output of the protocol be written at the end of this event or loop
// iteration.
func (t *muxConn) scheduleFlush() {
	if !t.isClosed {
		t.workerConns.loop.flushSoon(t, &t.mark)
	}
}

// flush writes the output that is due.
func (t *muxConn) flush() {
	t.mark.dirty = false
	if t.isClosed {
		return
	}
	b := t.protocol.takeOutput()
	if len(b) == 0 {
		return
	}
	_, _ = send(t.conn, b) // a failed write closes the connection
	t.writtenBytes += int64(len(b))
}

// sendProgress returns how much of a message has been sent that takes the output from one offset to another when
// the given number of bytes has been sent.
func sendProgress(startOffset, endOffset, sentOffset int64) gatekeeper.SendProgress {
	switch {
	case startOffset >= sentOffset:
		return gatekeeper.SentNothing
	case endOffset > sentOffset:
		return gatekeeper.SentPart
	}
	return gatekeeper.SentAll
}

// sentOffset returns how many bytes of the connection's output the kernel has taken.
func (t *muxConn) sentOffset() int64 { return t.writtenBytes - int64(t.conn.OutboundBuffered()) }

// abandon implements executionHolder. The message that tells the peer is written before this
// returns. If that is not possible, the connection is closed. Either way, the execution is no
// longer in flight.
func (t *muxConn) abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	progress, err := t.protocol.cancel(execution)
	if err == nil {
		t.flush()
		if t.isClosed || t.conn.OutboundBuffered() == 0 {
			t.updateIdle()
			t.pool.assign()
			return progress
		}
	}
	t.close()
	return progress
}

func (t *muxConn) opened(c conn) {
	t.conn = c
	t.pool.dialing--
	t.workerConns.dialing--
	t.pool.conns = append(t.pool.conns, t)
	t.protocol.start()
	t.scheduleFlush()
	t.updateIdle()
	t.pool.assign()
}

// dialFailed handles a failed dial. If no other connection is open or being dialed, the worker
// is unreachable for the waiting executions.
func (t *muxConn) dialFailed(error) {
	pool := t.pool
	pool.dialing--
	t.workerConns.dialing--
	t.uncount()
	if t.addr != pool.worker.addr { // the failure says nothing about the worker's present address
		pool.assign()
		return
	}
	if pool.dialing > 0 || slices.ContainsFunc(pool.conns, (*muxConn).usable) {
		return
	}
	waiting := pool.queue
	pool.queue = nil
	for _, execution := range waiting {
		t.workerConns.endUnanswered(execution, policy.ConnectFailed)
	}
}

// uncount removes a connection from the counts.
func (t *muxConn) uncount() {
	t.isClosed = true
	t.pool.connCount--
	t.workerConns.connCount--
	t.workerConns.forget(t.pool.worker)
}

// updateIdle records the start of an idle period, and closes a connection that can carry
// nothing more.
func (t *muxConn) updateIdle() {
	if t.isClosed || t.protocol.inFlight() > 0 {
		return
	}
	t.idleSince = t.workerConns.clock.Now()
	if !t.usable() {
		t.flush()
		t.close()
	}
}

func (t *muxConn) traffic(b []byte) {
	if err := t.protocol.receive(b); err != nil {
		if b := t.protocol.finalBytes(); len(b) > 0 && !t.isClosed {
			_, _ = send(t.conn, b)
		}
		t.close()
		return
	}
	if t.isClosed {
		return
	}
	t.scheduleFlush()
	t.updateIdle()
	t.pool.assign()
}

func (t *muxConn) close() {
	if !t.isClosed {
		t.workerConns.loop.closeConn(t.conn)
	}
}

func (t *muxConn) closed(error) {
	if i := slices.Index(t.pool.conns, t); i >= 0 {
		t.pool.conns = slices.Delete(t.pool.conns, i, i+1)
	}
	sentOffset := t.sentOffset()
	discardUnsent(t.conn)
	t.uncount()
	t.protocol.connLost(sentOffset)
	t.pool.assign()
}
