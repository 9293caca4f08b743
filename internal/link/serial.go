package link

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
	"syscall"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// A link rests so many milliseconds after an answer before it is used again: the end of
// a connection closed right behind its answer takes as long to come as the answer did,
// and a request written meanwhile is lost. A waiting execution waits for a link that
// has rested nearly so long, and has another opened else.
const (
	settleMS     = 5.0
	settleWaitMS = 2.0
)

// keepPart is the part of the time that a worker lets a link rest in which it is used:
// the worker's close takes its way too.
const keepAliveFraction = 0.8

// skipMost is how many answers to other requests a link may bring before the one that is
// due. More are a sign of a worker that is spoilt, not late.
const maxSkippedResponses = 4

// partMost is how many milliseconds an answer that has begun may rest. Some come in
// pieces, so it is not for the whole of it.
const maxPartialMS = 200.0

// serial is the carrier of one execution at a time on a link, as the platform's
// protocol wants it.
type serialPool struct {
	worker      *workerRecord
	fleet       *Fleet
	idle        []*workerConn // the one used last is taken first, so that the rest can age
	queue       []*gatekeeper.Execution
	dialing     int
	connCount   int
	settling    bool // a link at rest is waited for
	assigning   bool // open is under way
	assignAgain bool // and was asked for again meanwhile
}

// server is a link of a serial carrier.
type workerConn struct {
	fleet        *Fleet
	pool         *serialPool
	addr         string
	dialedAt     float64 // when its opening began
	conn         conn
	parser       *http1.Parser
	execution    *gatekeeper.Execution
	partialOf    *gatekeeper.Execution // whose answer has begun
	lastPartAt   float64               // last piece of it
	writing      bool
	isClosed     bool
	idleSince    float64 // idle since
	keepAliveMS  float64 // for so long at most, by the worker's word
	hasKeepAlive bool    // it gave one
	bodyDropped  bool    // the body of a failure was not held
	skipped      int     // answers to other requests
	executions   int     // executions

	upload      *upload // that flows to the worker
	uploadSent  int     // bytes of it
	uploadDone  bool    // all of it
	client      *Client // that the answer flows to
	request     *gatekeeper.Request
	headReadAt  float64 // when the answer's head had come
	lastMovedAt float64 // when bytes of what flows last did
	progressAt  float64 // when the core was last told so
	mustClose   bool    // the link is of no further use
}

func (s *serialPool) execute(execution *gatekeeper.Execution) {
	if l := s.takeIdle(execution, s.fleet.clock.Now()); l != nil {
		l.start(execution)
		return
	}
	execution.Slot = s
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
	for len(s.queue) > 0 { // a link that comes up by now would still be given them
		s.fleet.endUnanswered(s.dequeue(), policy.ConnectFailed)
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

// stale tells whether the worker may be closing the link by now, by its own word; or whether it has rested
// for longer than any may, as after a freeze of ours, before the sweep has seen it.
func (l *workerConn) stale(now float64) bool {
	rest := now - l.idleSince
	return !l.isClosed && (l.hasKeepAlive && rest >= l.keepAliveMS || rest > l.fleet.maxIdleMS)
}

// take is an idle link that can be used, the one used last of them. It guards against
// what a worker sends behind its answer: on a link used again at once that would be
// read as the answer to the next request. So a link rests a moment first, and one on
// which something has come by then, be it bytes or its end, is closed. A link that has
// carried the request before is left to others: a late second copy of the refusal that it
// had there states the same id, and would prove that it never runs while it does.
func (s *serialPool) takeIdle(execution *gatekeeper.Execution, now float64) *workerConn {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if i >= len(s.idle) { // to close one may have had others taken
			continue
		}
		conn := s.idle[i]
		if now-conn.idleSince < s.fleet.Settle || conn.hasCarried(execution) {
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

// knows tells whether the link has carried an execution's request before.
func (l *workerConn) hasCarried(execution *gatekeeper.Execution) bool {
	return slices.Contains(execution.Request.Payload.(*Payload).carriedBy, l)
}

// next is the execution that has waited longest.
func (s *serialPool) dequeue() *gatekeeper.Execution {
	x := s.queue[0]
	s.queue = slices.Delete(s.queue, 0, 1)
	return x
}

// open gives waiting executions the links at rest, and opens links until each of the
// others has one on its way, as far as the budget goes. It guards against itself: to
// close a link that is not quiet calls it again, and two such links at once had it take
// what the inner call had taken already.
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
	fleet := s.fleet
	for i := 0; i < len(s.queue) && len(s.idle) > 0; {
		execution := s.queue[i]
		conn := s.takeIdle(execution, fleet.clock.Now())
		if conn == nil {
			i++
			continue
		}
		s.queue = slices.DeleteFunc(s.queue, func(o *gatekeeper.Execution) bool { return o == execution })
		if !fleet.checkSend(execution) {
			conn.makeIdle()
			continue
		}
		conn.start(execution)
	}
	idleSoon, now := 0, fleet.clock.Now()
	nextSettleMS := -1.0 // until the next link has rested
	for _, conn := range s.idle {
		left := fleet.Settle - (now - conn.idleSince)
		if left <= settleWaitMS && !slices.ContainsFunc(s.queue, conn.hasCarried) {
			idleSoon++
		}
		if left > 0 && nextSettleMS < 0 {
			nextSettleMS = left
		}
	}
	if len(s.queue) > 0 && nextSettleMS >= 0 && !s.settling {
		s.settling = true
		fleet.loop.afterMS(nextSettleMS, func() {
			s.settling = false
			s.assignOrDial()
		})
	}
	if len(s.queue) > 0 && fleet.PerWorker > 0 && s.connCount >= fleet.PerWorker {
		if i := slices.IndexFunc(s.idle, func(conn *workerConn) bool { return conn.hasCarried(s.queue[0]) }); i >= 0 {
			s.idle[i].close() // for one that may carry it
		}
	}
	for s.dialing+idleSoon < len(s.queue) && (fleet.PerWorker == 0 || s.connCount < fleet.PerWorker) && fleet.canDial() {
		s.dialing++
		fleet.dialing++
		s.connCount++
		fleet.connCount++
		conn := &workerConn{fleet: fleet, pool: s, addr: s.worker.addr, dialedAt: now, parser: http1.Answers()}
		conn.parser.Flows, conn.parser.Limits = true, fleet.Limits
		fleet.loop.dial(s.worker.addr, fleet.dialTimeout, conn, conn.dialFailed)
	}
}

// abandon implements holder for what waits for a link.
func (s *serialPool) abandon(execution *gatekeeper.Execution) (sent bool) {
	if i := slices.Index(s.queue, execution); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return false
}

// abandon implements holder. The link is closed, so the execution is no longer out when
// this returns.
func (l *workerConn) abandon(execution *gatekeeper.Execution) (sent bool) {
	if l.execution == execution {
		l.execution = nil
		sent = l.fullySent()
		l.detachUpload()
		l.close()
	}
	return sent
}

func (l *workerConn) opened(c conn) {
	l.conn = c
	l.pool.dialing--
	l.fleet.dialing--
	for l.usable() && len(l.pool.queue) > 0 {
		if x := l.pool.dequeue(); l.fleet.checkSend(x) {
			l.start(x)
			return
		}
	}
	l.makeIdle()
}

// unheard tells whether nothing has come on a connection that has not been read yet.
func noUnreadInput(c conn) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// usable tells whether new executions may go out on the link.
func (l *workerConn) usable() bool { return !l.isClosed && l.pool.worker.accepts(l.addr, l.dialedAt) }

// failed reports a connection that did not come up.
func (l *workerConn) dialFailed(error) {
	fleet, pool := l.fleet, l.pool
	pool.dialing--
	fleet.dialing--
	l.uncount()
	if l.addr != pool.worker.addr { // that says nothing of where the worker listens now
		pool.assignOrDial()
		return
	}
	if len(pool.queue) > pool.dialing {
		fleet.endUnanswered(pool.dequeue(), policy.ConnectFailed)
	}
}

// ended takes a link out of the counts.
func (l *workerConn) uncount() {
	l.isClosed = true
	l.pool.connCount--
	l.fleet.connCount--
	l.fleet.forget(l.pool.worker)
}

// rest keeps the link for a later execution, or ends it where there will be none.
func (l *workerConn) makeIdle() {
	if !l.usable() {
		l.close()
		return
	}
	l.idleSince = l.fleet.clock.Now()
	l.pool.idle = append(l.pool.idle, l)
	l.pool.assignOrDial()
}

// start writes an execution.
func (l *workerConn) start(execution *gatekeeper.Execution) {
	l.parser.Reset()
	l.execution, execution.Slot, l.headReadAt, l.upload, l.bodyDropped = execution, l, 0, nil, false
	payload := execution.Request.Payload.(*Payload)
	payload.carriedBy = append(payload.carriedBy, l)
	l.executions++
	l.parser.Bare = bytes.HasPrefix(payload.Head, []byte("HEAD "))
	streamed := payload.Up != nil
	if streamed {
		payload.Up.mayHaveSent = true
		f, ok := l.fleet.loop.makePausable(l.conn, l)
		if !ok {
			l.close()
			return
		}
		l.conn = f
	}
	out := l.fleet.message(l.fleet.scratch[:0], execution, "", 0)
	l.fleet.scratch = out
	l.writing = true
	_, _ = send(l.conn, out) // a failed write closes the link
	l.writing = false
	switch {
	case l.isClosed || l.execution != execution:
		return
	case streamed:
		l.beginUpload(payload.Up)
	default:
		l.reportSent()
	}
	if l.fleet.Sent != nil {
		l.fleet.Sent(execution)
	}
}

// message appends an execution as an HTTP/1.1 request. A turn is stated in the header
// that echo names, unless that is empty.
func (f *Fleet) message(out []byte, execution *gatekeeper.Execution, echo string, sequence uint64) []byte {
	payload := execution.Request.Payload.(*Payload)
	out = append(out, payload.Head...)
	if w := f.workers[execution.Worker]; w != nil {
		out = append(out, w.headerLines...)
	}
	if echo != "" {
		out = append(append(out, echo...), ": "...)
		out = append(strconv.AppendUint(out, sequence, 10), "\r\n"...)
	}
	out = append(append(out, f.reader.Left()...), ": "...)
	out = strconv.AppendInt(out, int64(max(execution.Timeout, 1)), 10)
	return append(append(out, "\r\n\r\n"...), payload.Body...)
}

func (l *workerConn) traffic(b []byte) {
	for !l.isClosed {
		if l.execution == nil && l.client == nil { // nothing was asked
			l.close()
			return
		}
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		switch {
		case l.isClosed:
		case err != nil:
			l.close()
		case done && l.skipResponse():
		case done:
			l.responseRead(len(b) > 0)
			return
		case l.execution != nil && l.parser.Started():
			l.lastPartAt = l.fleet.clock.Now()
			if l.partialOf != l.execution {
				l.partialOf = l.execution
				l.checkPartial()
			}
			l.streamResponse()
		}
		if len(b) == 0 {
			return
		}
	}
}

// hurry ends the link where an answer has begun and nothing more comes: a spoilt one
// may claim more bytes than it has, and would be waited for as long as the client waits.
func (l *workerConn) checkPartial() {
	if l.isClosed || l.execution == nil || l.partialOf != l.execution {
		return
	}
	left := l.lastPartAt + l.fleet.PartMost - l.fleet.clock.Now()
	if left <= 0 {
		l.close()
		return
	}
	l.fleet.loop.afterMS(left, l.checkPartial)
}

// skips passes over a whole answer that is not the one due: it states another request's id,
// so the one due is still to come, and the link ends behind that. An answer that states
// none at all may be anyone's, and ends the link at once. It guards against a worker's
// late extra answer going to the client of another request.
func (l *workerConn) skipResponse() bool {
	if l.execution == nil {
		return false
	}
	mine, other := l.fleet.matches(l, l.execution, l.parser.Message())
	if mine {
		return false
	}
	if l.skipped++; !other || l.skipped > maxSkippedResponses {
		l.close()
		return true
	}
	l.parser.Reset()
	l.mustClose, l.partialOf, l.headReadAt = true, nil, 0
	return true
}

func (l *workerConn) responseRead(mustClose bool) {
	if l.client != nil {
		mustClose = mustClose || l.mustClose || l.parser.Message().Close
		l.readKeepAlive(l.parser.Message())
		l.endResponse(true)
		if l.isClosed {
			return
		}
		if mustClose {
			l.close()
		} else {
			l.makeIdle()
		}
		return
	}
	execution := l.execution
	mustClose = mustClose || l.mustClose || !l.fullySent()
	l.detachUpload()
	l.upload = nil
	l.execution, l.partialOf, execution.Slot = nil, nil, nil
	m := l.parser.Message()
	outcome := l.outcome(m)
	l.readKeepAlive(m)
	if m.Close || mustClose {
		l.close()
	} else { // The body holds until the next bytes come in.
		l.makeIdle()
	}
	l.fleet.core.Done(execution, outcome)
}

// ending takes an answer that is whole because its connection has properly ended.
func (l *workerConn) endByClose(message *http1.Message) {
	execution := l.execution
	l.execution = nil
	l.uncount()
	mine := true
	if execution != nil {
		mine, _ = l.fleet.matches(l, execution, message)
	}
	switch {
	case execution == nil:
		l.endResponse(true)
	case !mine:
		l.fleet.endUnanswered(execution, policy.Reset)
	default:
		execution.Slot = nil
		l.fleet.core.Done(execution, l.outcome(message))
	}
	l.pool.assignOrDial()
}

// outcome reads an answer. A failure whose body is not there is not one to be passed on.
func (l *workerConn) outcome(m *http1.Message) gatekeeper.Outcome {
	o := l.fleet.reader.Outcome(m)
	if l.bodyDropped {
		o.Answer = gatekeeper.Answer{}
	}
	return o
}

// keeps takes note of how long the worker lets the link rest, in whole seconds.
func (l *workerConn) readKeepAlive(m *http1.Message) {
	if l.hasKeepAlive = false; !l.fleet.KeepAlive {
		return
	}
	for v := range bytes.SplitSeq(m.Get("Keep-Alive"), []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(v), []byte{'='})
		n, err := strconv.ParseUint(string(value), 10, 20)
		if err == nil && bytes.EqualFold(name, []byte("timeout")) {
			l.hasKeepAlive, l.keepAliveMS = true, float64(n)*1000*keepAliveFraction
		}
	}
}

func (l *workerConn) close() {
	if !l.isClosed {
		l.fleet.loop.closeConn(l.conn)
	}
}

func (l *workerConn) closed(err error) {
	if (l.execution != nil || l.client != nil) && errors.Is(err, io.EOF) && l.parser.End() {
		l.endByClose(l.parser.Message())
		return
	}
	execution := l.execution
	if i := slices.Index(l.pool.idle, l); i >= 0 {
		l.pool.idle = slices.Delete(l.pool.idle, i, i+1)
	}
	unsent := l.writing || !l.fullySent()
	l.detachUpload()
	discardUnsent(l.conn)
	l.uncount()
	if l.client != nil {
		l.endResponse(false)
	}
	l.pool.assignOrDial()
	if execution == nil {
		return
	}
	l.execution = nil
	status := policy.Reset
	if unsent {
		status = policy.ConnectFailed
	}
	l.fleet.endUnanswered(execution, status)
}
