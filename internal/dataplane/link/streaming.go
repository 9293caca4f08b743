package link

import (
	"cmp"
	"log/slog"
	"net/http"
	"strconv"

	"golang.org/x/sys/unix"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// This file streams messages that are too large to buffer: request bodies from a client
// connection to a worker connection, and responses the other way. Each passes through a
// bounded window.

const (
	maxBufferingMS     = 50.0   // time that a response of unknown length is buffered
	maxStreamStallMS   = 8000.0 // time after which a stream without progress is closed
	stallCheckMS       = 1000.0 // interval between checks for a stalled stream
	progressIntervalMS = 50.0   // interval between progress reports to the core
)

// Delimiters of the chunked encoding (RFC 9112, section 7.1).
const (
	chunkEnd  = "\r\n"
	lastChunk = "0\r\n\r\n"
)

// appendChunk appends b as one chunk.
func appendChunk(out, b []byte) []byte {
	out = strconv.AppendInt(out, int64(len(b)), 16)
	return append(append(append(out, "\r\n"...), b...), chunkEnd...)
}

// upload is a streamed request body.
type upload struct {
	client         *ClientConn
	request        *gatekeeper.Request // set by SubmitTo
	held           []byte
	heldOffset     int  // offset in the body of the first byte of held
	declaredLength int  // from Content-Length, or -1 for a chunked body
	complete       bool // the last byte has been received
	mayHaveSent    bool // part of the request may have been sent to a worker
	worker         *workerConn
}

// beginUpload starts a request whose body is too large to buffer. The received bytes stay in
// memory, so that the request can be sent again as long as they fit in the window.
func (l *ClientConn) beginUpload(rest []byte) {
	pausable, ok := l.clients.loop.makePausable(l.conn, l)
	if !ok { // an earlier response is not fully sent
		l.close()
		return
	}
	l.conn = pausable
	m := l.parser.Message()
	m.Streamed = true
	upload := &upload{client: l, declaredLength: m.Length, held: l.parser.TakeBody()}
	l.upload, l.parser.OnBody = upload, upload.appendPiece
	l.dispatch(m)
	switch {
	case l.isClosed:
	case l.upload == upload:
		l.feedBody(rest)
	case l.finished:
		l.discardInput(len(rest))
	}
}

// feedBody parses more of the body.
func (l *ClientConn) feedBody(b []byte) {
	upload := l.upload
	n, done, err := l.parser.Feed(b)
	if l.upload != upload { // forwarding a piece has ended the request
		return
	}
	if err != nil {
		l.abortUpload(err)
		return
	}
	if done {
		upload.complete = true
		l.backlog = append(l.backlog[:0], b[n:]...)
		if upload.request != nil {
			l.core.BodyReceived(upload.request)
		}
	}
	if l.upload == upload {
		upload.forward()
	}
}

// abortUpload ends a request whose body does not become complete, and responds with the
// reason. With configured limits, a 408 promises that the request has not run. If a worker may
// have begun it, the response is a 502, which promises nothing.
func (l *ClientConn) abortUpload(err error) {
	if e, ok := err.(*http1.Error); ok && e.Status == http.StatusRequestTimeout &&
		l.clients.Limits != nil && l.upload != nil && l.upload.mayHaveSent {
		err = &http1.Error{Status: http.StatusBadGateway, Reason: e.Reason}
	}
	if r := l.request; r != nil {
		l.request = nil
		l.core.ClientGone(r)
		l.notifyEnded(r, RequestEnding{ClientLeft: true})
	}
	if !l.isClosed && l.busy {
		l.reject(err)
	}
}

// appendPiece is the parser's callback for pieces of the body.
func (u *upload) appendPiece(b []byte) { u.held = append(u.held, b...) }

// forward lets the worker connection send what it can, drops sent bytes that exceed the
// window, and pauses or resumes reading from the client.
func (u *upload) forward() {
	if u.worker != nil {
		u.worker.sendUpload()
	}
	if u.client.upload != u || u.client.isClosed {
		return
	}
	pausable := u.client.conn.(*pausableConn)
	window, unsent := pausable.poller.window(), len(u.held)
	if u.worker != nil {
		excess := min(len(u.held)-window, u.worker.uploadSent-u.heldOffset)
		// The excess must be larger than one read, so that held is not copied on each call.
		if excess > 0 && len(u.held) > window+readChunkBytes {
			u.heldOffset += excess
			u.held = u.held[:copy(u.held, u.held[excess:])]
			u.request.NotReplayable = true
		}
		unsent = u.heldOffset + len(u.held) - u.worker.uploadSent
	}
	pausable.setPaused(!u.complete && unsent >= window)
}

// detach separates the body from its connections when the request has ended. It reports
// whether the client has not sent all of it.
func (u *upload) detach() (more bool) {
	u.worker = nil
	u.client.parser.OnBody = func([]byte) {}
	if pausable, ok := u.client.conn.(*pausableConn); ok && !u.client.isClosed {
		pausable.setPaused(false)
	}
	return !u.complete
}

// discardInput discards input after the last response. The rest of a large body may still
// arrive: a client that is cut off in the middle of sending might not see the response.
func (l *ClientConn) discardInput(n int) {
	s, limit := l.clients, maxDroppedBytes
	if _, ok := l.conn.(*pausableConn); ok {
		limit = l.parser.MaxStreamed()
		if now := s.clock.Now(); now-l.finishedAt < maxRejectedBodyMS {
			l.moveTo(&s.closing, now)
		}
	}
	if l.droppedBytes += n; l.droppedBytes > limit {
		l.close()
	}
}

// stillReading reports whether the client is still reading its response, however slowly.
func (l *ClientConn) stillReading(now float64) bool {
	pausable, ok := l.conn.(*pausableConn)
	if !ok || len(pausable.out) == 0 {
		return false
	}
	if pausable.writtenBytes != l.takenBytes {
		l.takenBytes, l.takenAt = pausable.writtenBytes, now
	}
	return now-l.takenAt < maxStreamStallMS
}

// drained implements pausableEndpoint: all output has been sent.
func (l *ClientConn) drained() {
	if l.finished {
		l.halfClose()
		// From here on the time limit is for the client to close.
		l.moveTo(&l.clients.closing, l.clients.clock.Now())
	}
	if worker := l.responseFrom; worker != nil {
		worker.lastMovedAt = l.clients.clock.Now()
		worker.pausable().setPaused(false)
	}
}

// streamFrom starts a response that is streamed from a worker connection; a length of -1 means
// that it is unknown. It fails if an earlier response is not fully sent.
func (l *ClientConn) streamFrom(from *workerConn, answer gatekeeper.Answer, length int) bool {
	if l.isClosed || !l.busy {
		return false
	}
	pausable, ok := l.clients.loop.makePausable(l.conn, l)
	if !ok {
		return false
	}
	l.conn, l.responseFrom, l.chunked, l.closeDelimited = pausable, from, length < 0 && !l.http10, length < 0 && l.http10
	l.lastResponse = l.lastResponse || l.clients.draining || l.closeDelimited
	if l.closeDelimited {
		l.resetOnClose(true)
	}
	l.clients.scratch = l.responseHead(cmp.Or(answer.Status, http.StatusOK), length, l.lastResponse, answer.HeaderLines)
	l.write(l.clients.scratch)
	return !l.isClosed
}

// resetOnClose sets whether closing the connection resets it. While part of a response that ends with its connection
// is still to be sent, any other close would make it look complete, the kernel's at the end of the process too.
func (l *ClientConn) resetOnClose(reset bool) {
	var linger unix.Linger // with a time of 0 a close discards unsent bytes and resets the connection
	if reset {
		linger.Onoff = 1
	}
	if err := unix.SetsockoptLinger(l.conn.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &linger); err != nil {
		slog.Warn("setting SO_LINGER of a client connection failed", "error", err)
	}
}

// writePiece writes a piece of the response and reports whether there is room for more.
func (l *ClientConn) writePiece(b []byte) (room bool) {
	if l.isClosed || len(b) == 0 {
		return true
	}
	if l.chunked {
		l.clients.scratch = appendChunk(l.clients.scratch[:0], b)
		l.write(l.clients.scratch)
	} else {
		l.write(b)
	}
	if l.isClosed {
		return true
	}
	pausable := l.conn.(*pausableConn)
	return len(pausable.out) < pausable.poller.window()
}

// endStream ends a streamed response. If the response is incomplete, the connection is closed
// before the stated length is reached or without the last chunk, so that the client can tell.
func (l *ClientConn) endStream(whole bool) {
	if l.isClosed || l.responseFrom == nil {
		return
	}
	request := l.request
	l.responseFrom, l.request = nil, nil
	l.notifyEnded(request, RequestEnding{Streamed: true})
	if !whole {
		l.close()
		return
	}
	if l.chunked {
		l.write([]byte(lastChunk))
	}
	l.responseWritten(l.lastResponse)
}

// The worker's side of a stream.

// pausable returns the connection once it has been made pausable.
func (l *workerConn) pausable() *pausableConn { return l.conn.(*pausableConn) }

// beginUpload starts sending a streamed request body.
func (l *workerConn) beginUpload(upload *upload) {
	l.upload, l.uploadSent, l.uploadDone = upload, upload.heldOffset, false
	upload.worker, upload.mayHaveSent = l, true
	l.lastMovedAt = l.workerConns.clock.Now()
	l.checkStall(l.execution)
	upload.forward()
}

// detachUpload releases the body, so that another attempt can send it.
func (l *workerConn) detachUpload() {
	if l.upload != nil && l.upload.worker == l {
		l.upload.worker = nil
	}
}

// sendUpload sends as much of the body as fits in the window.
func (l *workerConn) sendUpload() {
	upload := l.upload
	if upload == nil || l.isClosed || l.uploadDone {
		return
	}
	pausable, before := l.pausable(), l.uploadSent
	for !l.isClosed && len(pausable.out) < pausable.poller.window() && l.uploadSent < upload.heldOffset+len(upload.held) {
		b := upload.held[l.uploadSent-upload.heldOffset:]
		b = b[:min(len(b), readChunkBytes)]
		l.uploadSent += len(b)
		if upload.declaredLength < 0 {
			l.workerConns.scratch = appendChunk(l.workerConns.scratch[:0], b)
			b = l.workerConns.scratch
		}
		l.write(b)
	}
	if l.isClosed {
		return
	}
	if l.uploadSent > before {
		l.noteProgress()
	}
	if upload.complete && l.uploadSent == upload.heldOffset+len(upload.held) {
		if upload.declaredLength < 0 {
			l.write([]byte(lastChunk))
		}
		if l.isClosed {
			return
		}
		l.uploadDone = true
	}
	l.reportSent()
}

// reportSent tells the core when the last byte of the execution has been sent.
func (l *workerConn) reportSent() {
	if !l.isClosed && l.execution != nil && l.fullySent() {
		l.workerConns.core.ExecutionSent(l.execution)
	}
}

// fullySent reports whether all of the execution has been sent.
func (l *workerConn) fullySent() bool {
	return l.conn.OutboundBuffered() == 0 && (l.upload == nil || l.uploadDone)
}

// noteProgress records that bytes of the execution are moving, and tells the core at
// intervals.
func (l *workerConn) noteProgress() {
	now := l.workerConns.clock.Now()
	l.lastMovedAt = now
	if l.execution != nil && now-l.progressAt > progressIntervalMS {
		l.progressAt = now
		l.workerConns.core.Progress(l.execution)
	}
}

// drained implements pausableEndpoint.
func (l *workerConn) drained() {
	if u := l.upload; u != nil {
		l.noteProgress()
		l.sendUpload()
		if l.upload == u && u.client.upload == u {
			u.forward()
		}
		return
	}
	l.reportSent()
}

// checkStall closes the connection if the stream for the given execution makes no progress.
func (l *workerConn) checkStall(execution *gatekeeper.Execution) {
	l.workerConns.loop.afterMS(stallCheckMS, func() {
		switch now := l.workerConns.clock.Now(); {
		case l.isClosed || l.execution != execution && l.client == nil:
		case l.execution == execution && (l.upload == nil || l.uploadDone): // the core enforces the deadline from here on
		case l.upload != nil && l.execution == execution && !l.upload.complete && len(l.pausable().out) == 0 && now-l.upload.client.lastReadAt > l.upload.client.clients.maxStall():
			l.upload.client.abortUpload(&http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in"})
		case now-l.lastMovedAt > maxStreamStallMS:
			l.close()
		default:
			l.checkStall(execution)
		}
	})
}

// streamResponse starts streaming the response if it is too large to buffer, or if its length
// is unknown and it takes longer than maxBufferingMS.
func (l *workerConn) streamResponse() {
	if l.isClosed || l.execution == nil || l.client != nil || l.parser.OnBody != nil || !l.parser.HeadDone() {
		return
	}
	message, now := l.parser.Message(), l.workerConns.clock.Now()
	if l.headReadAt == 0 {
		l.headReadAt = now
		if message.Length < 0 {
			l.workerConns.loop.afterMS(maxBufferingMS, l.streamResponse)
		}
	}
	if message.Length <= l.parser.MaxBuffered() && !l.parser.MustStream() && (message.Length >= 0 || now-l.headReadAt < maxBufferingMS) {
		return
	}
	switch mine, otherRequest := l.workerConns.matches(l, l.execution, message); {
	case otherRequest: // skipped once it is complete
		l.parser.OnBody = func([]byte) {}
		return
	case !mine:
		l.close()
		return
	}
	outcome := l.workerConns.reader.Outcome(message)
	if outcome.Status != policy.OK {
		if message.Length <= l.parser.MaxBuffered() && !l.parser.MustStream() { // small enough to buffer and pass on later
			return
		}
		l.bodyDropped = true
		l.parser.OnBody = func([]byte) {}
		return
	}
	execution := l.execution
	client, ok := execution.Request.Responder.(*ClientConn)
	if ok {
		var pausable *pausableConn
		if pausable, ok = l.workerConns.loop.makePausable(l.conn, l); ok {
			l.conn = pausable
			ok = client.streamFrom(l, outcome.Answer, message.Length)
		}
	}
	if !ok || l.isClosed {
		l.close()
		return
	}
	whole := l.fullySent()
	l.execution, l.partialOf, execution.TransportData = nil, nil, nil
	l.client, l.request, l.lastMovedAt = client, execution.Request, now
	if l.upload != nil && !whole { // the worker responded without reading the whole request
		l.mustClose = true
	}
	l.detachUpload()
	l.upload = nil
	l.parser.OnBody = l.forwardPiece
	outcome.Answer = gatekeeper.Answer{}
	l.checkStall(execution)
	l.workerConns.core.ResponseStarted(execution, outcome)
	l.forwardPiece(l.parser.TakeBody())
}

// forwardPiece passes a piece of the response to the client.
func (l *workerConn) forwardPiece(b []byte) {
	if l.client == nil || l.isClosed {
		return
	}
	l.lastMovedAt = l.workerConns.clock.Now()
	if !l.client.writePiece(b) && l.client != nil {
		l.pausable().setPaused(true)
	}
}

// endResponse ends a streamed response; whole tells whether it is complete.
func (l *workerConn) endResponse(whole bool) {
	client, request := l.client, l.request
	l.client, l.request = nil, nil
	if !l.isClosed {
		l.pausable().setPaused(false)
	}
	result := gatekeeper.Failed
	if whole {
		result = gatekeeper.Completed
	}
	l.workerConns.core.ResponseEnded(request, result)
	client.endStream(whole)
}

// clientGone closes the connection because the client has disconnected during its response.
func (l *workerConn) clientGone() {
	request := l.request
	l.client, l.request = nil, nil
	l.workerConns.core.ClientGone(request)
	l.close()
}
