package link

import (
	"cmp"
	"net/http"
	"strconv"

	"golang.org/x/sys/unix"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// Messages that are longer than what is held: bodies of requests flow from a client link
// to a server link, answers the other way, each through a bounded window.

const (
	maxBufferingMS     = 50.0   // milliseconds that an answer of unknown length is held at most
	maxStreamStallMS   = 8000.0 // milliseconds in which nothing of a flow moves
	stallCheckMS       = 1000.0 // milliseconds between two looks at that
	progressIntervalMS = 50.0   // milliseconds between two words to the core that bytes move
)

// The chunks of a body (RFC 9112, section 7.1).
const (
	chunkEnd  = "\r\n"
	lastChunk = "0\r\n\r\n"
)

// appendChunk appends bytes as a chunk.
func appendChunk(out, b []byte) []byte {
	out = strconv.AppendInt(out, int64(len(b)), 16)
	return append(append(append(out, "\r\n"...), b...), chunkEnd...)
}

// upload is the body of a request that flows.
type upload struct {
	client         *Client
	request        *gatekeeper.Request // set by Submit
	held           []byte
	heldOffset     int  // place in the body of the first byte that is held
	declaredLength int  // as the head states it, -1 where only the end tells
	complete       bool // its last byte has come
	mayHaveSent    bool // some of the request may have left for a worker
	worker         *workerConn
}

// large begins a request whose body is longer than what is held. What has come is held,
// so that it can be sent again as long as no more has to be taken in.
func (l *Client) beginUpload(rest []byte) {
	pausable, ok := l.clients.loop.makePausable(l.conn, l)
	if !ok { // it has not read its last answer
		l.close()
		return
	}
	l.conn = pausable
	m := l.parser.Message()
	m.Large = true
	upload := &upload{client: l, declaredLength: m.Length, held: l.parser.Held()}
	l.upload, l.parser.Piece = upload, upload.appendPiece
	l.dispatch(m)
	switch {
	case l.isClosed:
	case l.upload == upload:
		l.feedBody(rest)
	case l.finished:
		l.discardInput(len(rest))
	}
}

// fill takes more of the body.
func (l *Client) feedBody(b []byte) {
	upload := l.upload
	n, done, err := l.parser.Feed(b)
	if l.upload != upload { // to pass it on has ended the request
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
			l.core.Filled(upload.request)
		}
	}
	if l.upload == upload {
		upload.forward()
	}
}

// giveUp ends a request whose body does not come to its end, and says why. Under an
// operator's limits a 408 promises that the request has never run: where a worker may have
// begun with it, a 502 is given, which promises nothing.
func (l *Client) abortUpload(err error) {
	if e, ok := err.(*http1.Error); ok && e.Status == http.StatusRequestTimeout &&
		l.clients.Limits != nil && l.upload != nil && l.upload.mayHaveSent {
		err = &http1.Error{Status: http.StatusBadGateway, Reason: e.Reason}
	}
	if r := l.request; r != nil {
		l.request = nil
		l.core.Gone(r)
		l.notifyEnded(r, Ending{Left: true})
	}
	if !l.isClosed && l.busy {
		l.reject(err)
	}
}

// take is given the pieces of the body.
func (u *upload) appendPiece(b []byte) { u.held = append(u.held, b...) }

// pass has the worker take what it can, lets go of what there is no room for, and has the
// client go on where there is some.
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
		if excess > 0 && len(u.held) > window+readChunkBytes { // a read's worth more, so that it is not done for every one
			u.heldOffset += excess
			u.held = u.held[:copy(u.held, u.held[excess:])]
			u.request.Spent = true
		}
		unsent = u.heldOffset + len(u.held) - u.worker.uploadSent
	}
	pausable.setPaused(!u.complete && unsent >= window)
}

// end detaches the body from its links when its request is over. It tells whether the
// client still has some of it to send.
func (u *upload) detach() (more bool) {
	u.worker = nil
	u.client.parser.Piece = func([]byte) {}
	if f, ok := u.client.conn.(*pausableConn); ok && !u.client.isClosed {
		f.setPaused(false)
	}
	return !u.complete
}

// drop takes what comes behind the last answer. The rest of a large body may come to its
// end: a client that is cut off in the middle of it might not see the answer.
func (l *Client) discardInput(n int) {
	s, most := l.clients, maxDroppedBytes
	if _, ok := l.conn.(*pausableConn); ok {
		most = l.parser.Carries()
		if now := s.clock.Now(); now-l.finishedAt < maxRejectedBodyMS {
			l.moveTo(&s.closing, now)
		}
	}
	if l.droppedBytes += n; l.droppedBytes > most {
		l.close()
	}
}

// slow tells whether the client still reads what was written, at its own pace.
func (l *Client) stillReading(now float64) bool {
	pausable, ok := l.conn.(*pausableConn)
	if !ok || len(pausable.out) == 0 {
		return false
	}
	if pausable.writtenBytes != l.takenBytes {
		l.takenBytes, l.takenAt = pausable.writtenBytes, now
	}
	return now-l.takenAt < maxStreamStallMS
}

// drained implements flowing: the client has taken all that was written.
func (l *Client) drained() {
	if l.finished {
		l.halfClose()
		l.moveTo(&l.clients.closing, l.clients.clock.Now()) // now it is its client's turn
	}
	if s := l.responseFrom; s != nil {
		s.lastMovedAt = l.clients.clock.Now()
		s.pausable().setPaused(false)
	}
}

// flowFrom starts an answer of a length, -1 where it is not known, that flows from a server
// link. It can't where the client has not read its last answer.
func (l *Client) streamFrom(from *workerConn, answer gatekeeper.Answer, length int) bool {
	if l.isClosed || !l.busy {
		return false
	}
	pausable, ok := l.clients.loop.makePausable(l.conn, l)
	if !ok {
		return false
	}
	l.conn, l.responseFrom, l.chunked, l.closeDelimited = pausable, from, length < 0 && !l.http10, length < 0 && l.http10
	l.lastResponse = l.lastResponse || l.clients.draining || l.closeDelimited
	l.clients.scratch = l.responseHead(cmp.Or(answer.Status, http.StatusOK), length, l.lastResponse, answer.Head)
	l.write(l.clients.scratch)
	return !l.isClosed
}

// piece passes a piece of the answer on, and tells whether there is room for another.
func (l *Client) writePiece(b []byte) (room bool) {
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
	f := l.conn.(*pausableConn)
	return len(f.out) < f.poller.window()
}

// over ends the answer. One that is not whole ends the link, short of its stated end or
// without its last chunk, so that the client sees it.
func (l *Client) endStream(whole bool) {
	if l.isClosed || l.responseFrom == nil {
		return
	}
	r := l.request
	l.responseFrom, l.request = nil, nil
	l.notifyEnded(r, Ending{Flowed: true})
	if !whole {
		if l.closeDelimited { // a proper end would make it look whole
			_ = unix.SetsockoptLinger(l.conn.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		l.close()
		return
	}
	if l.chunked {
		l.write([]byte(lastChunk))
	}
	l.responseWritten(l.lastResponse)
}

// ---- the worker's side ----

// flow is the link's connection, once it carries something large.
func (l *workerConn) pausable() *pausableConn { return l.conn.(*pausableConn) }

// attach begins to send a body that flows.
func (l *workerConn) beginUpload(upload *upload) {
	l.upload, l.uploadSent, l.uploadDone = upload, upload.heldOffset, false
	upload.worker, upload.mayHaveSent = l, true
	l.lastMovedAt = l.fleet.clock.Now()
	l.checkStall(l.execution)
	upload.forward()
}

// detach leaves the body to another attempt, if there is one.
func (l *workerConn) detachUpload() {
	if l.upload != nil && l.upload.worker == l {
		l.upload.worker = nil
	}
}

// pull sends on what the worker has room for.
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
		l.writing = true
		if upload.declaredLength < 0 {
			l.fleet.scratch = appendChunk(l.fleet.scratch[:0], b)
			_, _ = send(pausable, l.fleet.scratch)
		} else {
			_, _ = send(pausable, b)
		}
		l.writing = false
	}
	if l.isClosed {
		return
	}
	if l.uploadSent > before {
		l.noteProgress()
	}
	if upload.complete && l.uploadSent == upload.heldOffset+len(upload.held) {
		l.uploadDone = true
		if upload.declaredLength < 0 {
			l.writing = true
			_, _ = send(pausable, []byte(lastChunk))
			l.writing = false
		}
	}
	l.reportSent()
}

// wrote tells the core once the last byte has left.
func (l *workerConn) reportSent() {
	if !l.isClosed && l.execution != nil && l.fullySent() {
		l.fleet.core.Wrote(l.execution)
	}
}

// whole tells whether all of the execution has left.
func (l *workerConn) fullySent() bool {
	return l.conn.OutboundBuffered() == 0 && (l.upload == nil || l.uploadDone)
}

// stir notes that bytes of the execution move.
func (l *workerConn) noteProgress() {
	now := l.fleet.clock.Now()
	l.lastMovedAt = now
	if l.execution != nil && now-l.progressAt > progressIntervalMS {
		l.progressAt = now
		l.fleet.core.Progress(l.execution)
	}
}

// drained implements flowing.
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

// look ends the link where nothing has moved on it for long: x is what it was for.
func (l *workerConn) checkStall(execution *gatekeeper.Execution) {
	l.fleet.loop.afterMS(stallCheckMS, func() {
		switch now := l.fleet.clock.Now(); {
		case l.isClosed || l.execution != execution && l.client == nil:
		case l.execution == execution && (l.upload == nil || l.uploadDone): // its deadline is the core's matter
		case l.upload != nil && l.execution == execution && !l.upload.complete && len(l.pausable().out) == 0 && now-l.upload.client.lastReadAt > l.upload.client.clients.maxStall():
			l.upload.client.abortUpload(&http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in"})
		case now-l.lastMovedAt > maxStreamStallMS:
			l.close()
		default:
			l.checkStall(execution)
		}
	})
}

// consider has an answer flow that is too long to be held, or whose length is not known
// and that takes its time.
func (l *workerConn) streamResponse() {
	if l.isClosed || l.execution == nil || l.client != nil || l.parser.Piece != nil || !l.parser.HeadDone() {
		return
	}
	message, now := l.parser.Message(), l.fleet.clock.Now()
	if l.headReadAt == 0 {
		l.headReadAt = now
		if message.Length < 0 {
			l.fleet.loop.afterMS(maxBufferingMS, l.streamResponse)
		}
	}
	if message.Length <= l.parser.Holds() && !l.parser.Full() && (message.Length >= 0 || now-l.headReadAt < maxBufferingMS) {
		return
	}
	switch mine, otherRequest := l.fleet.matches(l, l.execution, message); {
	case otherRequest: // it is skipped at its end
		l.parser.Piece = func([]byte) {}
		return
	case !mine:
		l.close()
		return
	}
	outcome := l.fleet.reader.Outcome(message)
	if outcome.Status != policy.OK {
		if message.Length <= l.parser.Holds() && !l.parser.Full() { // it may yet be passed on
			return
		}
		l.bodyDropped = true
		l.parser.Piece = func([]byte) {}
		return
	}
	execution := l.execution
	client, ok := execution.Request.Caller.(*Client)
	if ok {
		var pausable *pausableConn
		if pausable, ok = l.fleet.loop.makePausable(l.conn, l); ok {
			l.conn = pausable
			ok = client.streamFrom(l, outcome.Answer, message.Length)
		}
	}
	if !ok || l.isClosed {
		l.close()
		return
	}
	whole := l.fullySent()
	l.execution, l.partialOf, execution.Slot = nil, nil, nil
	l.client, l.request, l.lastMovedAt = client, execution.Request, now
	if l.upload != nil && !whole { // the worker answers what it has not read to the end
		l.mustClose = true
	}
	l.detachUpload()
	l.upload = nil
	l.parser.Piece = l.forwardPiece
	outcome.Answer = gatekeeper.Answer{}
	l.checkStall(execution)
	l.fleet.core.Begun(execution, outcome)
	l.forwardPiece(l.parser.Held())
}

// pass gives a piece of the answer to the client.
func (l *workerConn) forwardPiece(b []byte) {
	if l.client == nil || l.isClosed {
		return
	}
	l.lastMovedAt = l.fleet.clock.Now()
	if !l.client.writePiece(b) && l.client != nil {
		l.pausable().setPaused(true)
	}
}

// passed ends an answer that has flowed, whole or not.
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
	l.fleet.core.Finish(request, result)
	client.endStream(whole)
}

// unread ends the link because the client has left in the middle of its answer.
func (l *workerConn) clientGone() {
	r := l.request
	l.client, l.request = nil, nil
	l.fleet.core.Gone(r)
	l.close()
}
