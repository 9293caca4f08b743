package link

import (
	"slices"

	"foxwood/gatekeeper"
	"foxwood/policy"
)

const (
	// waitingMost is how many executions may wait for room on a worker's links. What
	// comes beyond is told to be too much for the worker, and has not run.
	maxWaiting = 256
	// unsentMost is how many bytes a worker may leave unread before its link gets nothing
	// new.
	maxUnsentBytes = 1 << 20
)

// speech is what is spoken on a trunk: one state machine a transport. Its methods run on
// the loop. It reports the ends of executions to the core itself.
type muxProtocol interface {
	// hello begins the conversation.
	start()
	// room is how many executions may be sent now.
	room() int
	// send takes an execution, for which there is room.
	send(x *gatekeeper.Execution)
	// heard takes what has come. After an error the link ends, and farewell is the last
	// that is said on it.
	receive(b []byte) error
	finalBytes() []byte
	// written gives out what is to be sent by now. It holds until the next call.
	takeOutput() []byte
	// giveUp ends an execution before its answer, and tells whether the whole of it had
	// been sent. After an error the link ends: the peer could not be told.
	cancel(x *gatekeeper.Execution) (sent bool, err error)
	// sweep does what is due; after an error the link ends.
	sweep(now float64) error
	// leaving tells that the peer takes nothing new on this link.
	peerLeaving() bool
	// out is how many executions are out.
	inFlight() int
	// lost ends every execution that is out, by what the link's break proves of it: the
	// first gone bytes have left, whatever comes behind them never has.
	connLost(gone int64)
}

// trunk is one link of a shared carrier.
type muxConn struct {
	pool         *muxPool
	fleet        *Fleet
	addr         string
	dialedAt     float64 // when its opening began
	conn         conn
	protocol     muxProtocol
	writtenBytes int64 // bytes written to the connection
	writing      bool
	mark         writeMark
	isClosed     bool
	idleSince    float64 // at rest since
}

// shared is the carrier of transports that put several executions on a link.
type muxPool struct {
	worker    *workerRecord
	fleet     *Fleet
	conns     []*muxConn // that are up, in the order they came up
	queue     []*gatekeeper.Execution
	dialing   int
	connCount int
	// choose finds the link for an execution, or tells that another one is wanted.
	choose      func(x *gatekeeper.Execution) (to *muxConn, open bool)
	uniform     bool // where one finds no room, no other does
	newProtocol func(t *muxConn) muxProtocol
	assigning   bool
	assignAgain bool
}

func newMuxPool(w *workerRecord) *muxPool {
	s := &muxPool{worker: w, fleet: w.fleet}
	s.choose, s.uniform = s.mostRoom, true
	switch w.fleet.transport.Carrier {
	case Pipeline:
		s.newProtocol = newPipelineProtocol
		lines := &pipelineChooser{pool: s}
		s.choose, s.uniform = lines.choose, false
	case HTTP2:
		s.newProtocol = newHTTP2Protocol
	case Batch:
		s.newProtocol = newBatchProtocol
	}
	return s
}

// roomiest is the trunk with the most room, or whether one more is wanted.
func (s *muxPool) mostRoom(*gatekeeper.Execution) (best *muxConn, open bool) {
	bestRoom := 0
	for _, t := range s.conns {
		if n := t.room(); n > bestRoom {
			best, bestRoom = t, n
		}
	}
	depth := s.fleet.transport.Depth
	return best, best == nil && s.connCount < s.fleet.transport.Links && s.dialing*depth < len(s.queue)
}

func (s *muxPool) execute(execution *gatekeeper.Execution) {
	if len(s.queue) >= maxWaiting {
		s.fleet.endUnanswered(execution, policy.Full)
		return
	}
	execution.Slot = s
	s.queue = append(s.queue, execution)
	s.assign()
}

// pump sends what waits where there is room, and opens links where they are wanted. An
// end that it brings about may call it again: then it goes round once more.
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
			opened := open && s.fleet.canDial()
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
	fleet := s.fleet
	s.dialing++
	fleet.dialing++
	s.connCount++
	fleet.connCount++
	conn := &muxConn{pool: s, fleet: fleet, addr: s.worker.addr, dialedAt: fleet.clock.Now()}
	conn.protocol = s.newProtocol(conn)
	fleet.loop.dial(s.worker.addr, fleet.dialTimeout, conn, conn.dialFailed)
}

// moved closes the links at rest; the others do when they are through.
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
		s.fleet.endUnanswered(x, policy.ConnectFailed)
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

// abandon implements holder for what waits for a link.
func (s *muxPool) abandon(execution *gatekeeper.Execution) (sent bool) {
	if i := slices.Index(s.queue, execution); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return false
}

// usable tells whether new executions may go out on the link.
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
	execution.Slot = t
	t.protocol.send(execution)
	t.scheduleFlush()
}

// touch sees to it that what the speech has to say is written when this turn ends.
func (t *muxConn) scheduleFlush() {
	if !t.isClosed {
		t.fleet.loop.flushSoon(t, &t.mark)
	}
}

// flush writes what the speech has to say by now.
func (t *muxConn) flush() {
	t.mark.dirty = false
	if t.isClosed {
		return
	}
	b := t.protocol.takeOutput()
	if len(b) == 0 {
		return
	}
	t.writing = true
	_, _ = send(t.conn, b) // a failed write closes the link
	t.writing = false
	t.writtenBytes += int64(len(b))
}

// abandon implements holder. What tells the peer is written before this returns; where
// it can't be, the link ends: either way the execution is no longer out.
func (t *muxConn) abandon(execution *gatekeeper.Execution) (sent bool) {
	sent, err := t.protocol.cancel(execution)
	if err == nil {
		t.flush()
		if t.isClosed || t.conn.OutboundBuffered() == 0 {
			t.updateIdle()
			t.pool.assign()
			return sent
		}
	}
	t.close()
	return sent
}

func (t *muxConn) opened(c conn) {
	t.conn = c
	t.pool.dialing--
	t.fleet.dialing--
	t.pool.conns = append(t.pool.conns, t)
	t.protocol.start()
	t.scheduleFlush()
	t.updateIdle()
	t.pool.assign()
}

// failed reports a connection that did not come up. Where no other is up or coming, what
// waits has met a worker that could not be reached.
func (t *muxConn) dialFailed(error) {
	pool := t.pool
	pool.dialing--
	t.fleet.dialing--
	t.uncount()
	if t.addr != pool.worker.addr { // that says nothing of where the worker listens now
		pool.assign()
		return
	}
	if pool.dialing > 0 || slices.ContainsFunc(pool.conns, (*muxConn).usable) {
		return
	}
	waiting := pool.queue
	pool.queue = nil
	for _, execution := range waiting {
		t.fleet.endUnanswered(execution, policy.ConnectFailed)
	}
}

// ended takes a link out of the counts.
func (t *muxConn) uncount() {
	t.isClosed = true
	t.pool.connCount--
	t.fleet.connCount--
	t.fleet.forget(t.pool.worker)
}

// settle notes since when the link rests, and ends one that will carry nothing more.
func (t *muxConn) updateIdle() {
	if t.isClosed || t.protocol.inFlight() > 0 {
		return
	}
	t.idleSince = t.fleet.clock.Now()
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
		t.fleet.loop.closeConn(t.conn)
	}
}

func (t *muxConn) closed(error) {
	if i := slices.Index(t.pool.conns, t); i >= 0 {
		t.pool.conns = slices.Delete(t.pool.conns, i, i+1)
	}
	sentOffset := t.writtenBytes - int64(t.conn.OutboundBuffered())
	discardUnsent(t.conn)
	t.uncount()
	t.protocol.connLost(sentOffset)
	t.pool.assign()
}
