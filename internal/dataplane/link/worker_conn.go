package link

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
	"syscall"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// keepAliveFraction is the part of the worker's Keep-Alive timeout during which a connection
// is reused. The rest allows for the time that the worker's close takes to arrive.
const keepAliveFraction = 0.8

// maxSkippedResponses is how many responses to other requests may precede the expected one on
// a connection. A worker that sends more is faulty rather than late.
const maxSkippedResponses = 4

// maxPartialMS is how long an incomplete response may make no progress. Some responses arrive
// in pieces, so it does not bound the whole response.
const maxPartialMS = 200.0

// workerConn is a connection of a serialPool.
type workerConn struct {
	workerConns  *WorkerConns
	pool         *serialPool
	addr         string
	dialedAt     float64 // when dialing began
	conn         conn
	parser       *http1.Parser
	execution    *gatekeeper.Execution
	partialOf    *gatekeeper.Execution // execution whose response is incomplete
	lastPartAt   float64               // when the last piece of that response arrived
	isClosed     bool
	idleSince    float64 // start of the idle period
	keepAliveMS  float64 // longest idle period, from the worker's Keep-Alive header
	hasKeepAlive bool    // the last response had such a header
	bodyDropped  bool    // the body of a failure response was not kept
	skipped      int     // responses to other requests
	executions   int     // number of executions carried

	writtenBytes int // given to the connection for the current request
	takenBefore  int // bytes that the kernel had taken before that request, if the connection is pausable

	upload      *upload     // streamed body of the current request
	uploadSent  int         // offset in the body up to which it has been sent
	uploadDone  bool        // the whole body has been sent
	client      *ClientConn // client that the response is streamed to
	request     *gatekeeper.Request
	headReadAt  float64 // when the head of the response was complete
	lastMovedAt float64 // time of the last progress of a stream
	progressAt  float64 // when progress was last reported to the core
	mustClose   bool    // the connection can't be reused
}

// stale reports whether the connection has been idle for too long to be reused: past the
// Keep-Alive timeout that the worker announced, or past the general limit. The latter happens
// after the process was suspended, before the next sweep.
func (l *workerConn) stale(now float64) bool {
	idleMS := now - l.idleSince
	return !l.isClosed && (l.hasKeepAlive && idleMS >= l.keepAliveMS || idleMS > l.workerConns.maxIdleMS)
}

// hasCarried reports whether the connection has carried the execution's request before.
func (l *workerConn) hasCarried(execution *gatekeeper.Execution) bool {
	return slices.Contains(execution.Request.Payload.(*Payload).carriedBy, l)
}

// abandon implements executionHolder. It closes the connection, so the execution is no longer
// in flight when it returns.
func (l *workerConn) abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	if l.execution != execution {
		return gatekeeper.SentNothing
	}
	l.execution = nil
	progress := l.sendProgress()
	l.detachUpload()
	l.close()
	return progress
}

func (l *workerConn) opened(c conn) {
	l.conn = c
	l.pool.dialing--
	l.workerConns.dialing--
	for l.usable() && len(l.pool.queue) > 0 {
		if x := l.pool.dequeue(); l.workerConns.checkSend(x) {
			l.start(x)
			return
		}
	}
	l.makeIdle()
}

// noUnreadInput reports whether a connection is open and has no unread input.
func noUnreadInput(c conn) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// usable reports whether the connection may carry new executions.
func (l *workerConn) usable() bool { return !l.isClosed && l.pool.worker.accepts(l.addr, l.dialedAt) }

// dialFailed handles a failed dial.
func (l *workerConn) dialFailed(error) {
	workerConns, pool := l.workerConns, l.pool
	pool.dialing--
	workerConns.dialing--
	l.uncount()
	if l.addr != pool.worker.addr { // the failure says nothing about the worker's present address
		pool.assignOrDial()
		return
	}
	if len(pool.queue) > pool.dialing {
		workerConns.endUnanswered(pool.dequeue(), policy.ConnectFailed)
	}
}

// uncount removes a connection from the counts.
func (l *workerConn) uncount() {
	l.isClosed = true
	l.pool.connCount--
	l.workerConns.connCount--
	l.workerConns.forget(l.pool.worker)
}

// makeIdle keeps the connection for a later execution, or closes it if the worker takes no
// more.
func (l *workerConn) makeIdle() {
	if !l.usable() {
		l.close()
		return
	}
	l.idleSince = l.workerConns.clock.Now()
	l.pool.idle = append(l.pool.idle, l)
	l.pool.assignOrDial()
}

// start sends an execution.
func (l *workerConn) start(execution *gatekeeper.Execution) {
	l.parser.Reset()
	l.execution, execution.TransportData, l.headReadAt, l.upload, l.bodyDropped = execution, l, 0, nil, false
	payload := execution.Request.Payload.(*Payload)
	payload.carriedBy = append(payload.carriedBy, l)
	l.executions++
	l.parser.HeadResponse = bytes.HasPrefix(payload.Head, []byte("HEAD "))
	streamed := payload.Upload != nil
	if streamed {
		payload.Upload.mayHaveSent = true
		pausable, ok := l.workerConns.loop.makePausable(l.conn, l)
		if !ok {
			l.close()
			return
		}
		l.conn = pausable
	}
	l.writtenBytes, l.takenBefore = 0, 0
	if pausable, ok := l.conn.(*pausableConn); ok {
		l.takenBefore = pausable.writtenBytes
	}
	out := l.workerConns.message(l.workerConns.scratch[:0], execution, "", 0)
	l.workerConns.scratch = out
	l.write(out)
	switch {
	case l.isClosed || l.execution != execution:
		return
	case streamed:
		l.beginUpload(payload.Upload)
	default:
		l.reportSent()
	}
	if l.workerConns.OnSent != nil {
		l.workerConns.OnSent(execution)
	}
}

// write writes part of the current request. A failed write closes the connection.
func (l *workerConn) write(b []byte) {
	if _, err := send(l.conn, b); err == nil {
		l.writtenBytes += len(b)
	}
}

// sendProgress returns how much of the current request the kernel has taken.
func (l *workerConn) sendProgress() gatekeeper.SendProgress {
	pausable, ok := l.conn.(*pausableConn)
	begun := l.conn.OutboundBuffered() < l.writtenBytes || ok && pausable.writtenBytes > l.takenBefore
	switch {
	case !begun:
		return gatekeeper.SentNothing
	case l.writtenBytes == 0 || !l.fullySent():
		return gatekeeper.SentPart
	}
	return gatekeeper.SentAll
}

// message appends an execution as an HTTP/1.1 request. If echo is not empty, it names the
// header that carries the sequence number.
func (f *WorkerConns) message(out []byte, execution *gatekeeper.Execution, echo string, sequence uint64) []byte {
	payload := execution.Request.Payload.(*Payload)
	out = append(out, payload.Head...)
	if w := f.workers[execution.Worker]; w != nil {
		out = append(out, w.headerLines...)
	}
	if echo != "" {
		out = append(append(out, echo...), ": "...)
		out = append(strconv.AppendUint(out, sequence, 10), "\r\n"...)
	}
	out = append(append(out, f.reader.TimeLeftHeader()...), ": "...)
	out = strconv.AppendInt(out, int64(max(execution.Timeout, 1)), 10)
	return append(append(out, "\r\n\r\n"...), payload.Body...)
}

func (l *workerConn) traffic(b []byte) {
	for !l.isClosed {
		if l.execution == nil && l.client == nil { // input without a request
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
			l.lastPartAt = l.workerConns.clock.Now()
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

// checkPartial closes the connection if a response has begun and no more of it arrives. A
// malformed response may announce more bytes than it has, and would otherwise be waited for
// until the client's deadline.
func (l *workerConn) checkPartial() {
	if l.isClosed || l.execution == nil || l.partialOf != l.execution || l.workerConns.PartialTimeoutMS <= 0 {
		return
	}
	remainingMS := l.lastPartAt + l.workerConns.PartialTimeoutMS - l.workerConns.clock.Now()
	if remainingMS <= 0 {
		l.close()
		return
	}
	l.workerConns.loop.afterMS(remainingMS, l.checkPartial)
}

// skipResponse skips a complete response that belongs to another request. If the response
// carries another request's id, the expected one is still to come, and the connection is
// closed after it. If the response carries no id, it may belong to any request, and the
// connection is closed at once. This keeps a worker's late extra response from going to the
// client of another request.
func (l *workerConn) skipResponse() bool {
	if l.execution == nil {
		return false
	}
	mine, other := l.workerConns.matches(l, l.execution, l.parser.Message())
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
	l.execution, l.partialOf, execution.TransportData = nil, nil, nil
	m := l.parser.Message()
	outcome := l.outcome(m)
	l.readKeepAlive(m)
	if m.Close || mustClose {
		l.close()
	} else { // The body is valid until the next input.
		l.makeIdle()
	}
	l.workerConns.core.ExecutionEnded(execution, outcome)
}

// endByClose completes a response that ends with the orderly close of its connection.
func (l *workerConn) endByClose(message *http1.Message) {
	execution := l.execution
	l.execution = nil
	l.uncount()
	mine := true
	if execution != nil {
		mine, _ = l.workerConns.matches(l, execution, message)
	}
	switch {
	case execution == nil:
		l.endResponse(true)
	case !mine:
		l.workerConns.endUnanswered(execution, policy.Reset)
	default:
		execution.TransportData = nil
		l.workerConns.core.ExecutionEnded(execution, l.outcome(message))
	}
	l.pool.assignOrDial()
}

// outcome interprets a response. A failure without its body can't be passed on.
func (l *workerConn) outcome(m *http1.Message) gatekeeper.Outcome {
	o := l.workerConns.reader.Outcome(m)
	if l.bodyDropped {
		o.Answer = gatekeeper.Answer{}
	}
	return o
}

// readKeepAlive records the Keep-Alive timeout in the response, in whole seconds.
func (l *workerConn) readKeepAlive(m *http1.Message) {
	if l.hasKeepAlive = false; !l.workerConns.HonorKeepAlive {
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
		l.workerConns.loop.closeConn(l.conn)
	}
}

func (l *workerConn) closed(err error) {
	if (l.execution != nil || l.client != nil) && errors.Is(err, io.EOF) && l.parser.ConnectionEnded() {
		l.endByClose(l.parser.Message())
		return
	}
	execution := l.execution
	if i := slices.Index(l.pool.idle, l); i >= 0 {
		l.pool.idle = slices.Delete(l.pool.idle, i, i+1)
	}
	progress := l.sendProgress()
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
	l.workerConns.endBroken(execution, progress)
}
