package link

import (
	"cmp"
	"net/http"
	"strconv"
	"syscall"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
)

// RequestHandler handles the requests that arrive on client connections.
type RequestHandler interface {
	// Handle either responds at once, with ClientConn.RespondText or ClientConn.Respond, or
	// submits the request to a core with the connection as its responder.
	Handle(l *ClientConn, m *http1.Message)
}

const (
	newConnGraceMS    = 100.0  // age up to which a silent connection is likely to bring a request
	maxLingerMS       = 1000.0 // for a client to close after its last response
	maxSilentMS       = 2000.0 // from accepting a connection to its first byte
	maxReadMS         = 2500.0 // for a request to arrive; the first one counts from accepting
	maxIdleMS         = 5000.0 // between two requests
	maxPauseMS        = 1000.0 // between two pieces of a request, when connections are scarce
	maxStallMS        = 2400.0 // between two pieces of a request body
	minBodyBytesPerMS = 16.0   // slowest rate at which a body may arrive

	maxRejectedBodyMS = 30000.0 // for the rest of a large body whose request was rejected

	maxUnreadBytes  = 4 << 20 // responses that a client has not read
	maxDroppedBytes = 1 << 20 // input after the last response that is discarded
)

// maxBacklog is the limit on bytes that a client may send before it has its response.
func (l *ClientConn) maxBacklog() int {
	head := http1.MaxHeadBytes
	if l.parser.Limits != nil {
		head = cmp.Or(l.parser.Limits.HeadBytes, head)
	}
	return head + l.parser.MaxBuffered()
}

// ClientConn is a client connection. It carries one request at a time.
type ClientConn struct {
	clients        *ClientConns
	conn           conn
	parser         *http1.Parser
	upload         *upload     // streamed body of the open request
	responseFrom   *workerConn // worker connection whose response is streamed to this client
	chunked        bool        // the streamed response is chunked
	headRequest    bool        // the request is a HEAD, so the response has no body
	http10         bool        // the request is HTTP/1.0, so the response can't be chunked
	closeDelimited bool        // the streamed response ends when the connection closes
	lastReadAt     float64     // time of the last input, in milliseconds
	continued      bool        // that input was not the first of its request
	bodyBytes      int         // received bytes of the request body
	// Bytes that the client had taken when last checked, and the time of the last change.
	takenBytes   int
	takenAt      float64
	backlog      []byte
	request      *gatekeeper.Request
	core         *gatekeeper.Gatekeeper // core that the request was submitted to
	busy         bool
	lastResponse bool // the connection closes after this response
	isClosed     bool
	inHandler    bool
	receivedAny  bool    // a complete request has been received
	finished     bool    // the last response is written; input is discarded
	host         string  // IP address of the client, cached by RemoteHost
	droppedBytes int     // discarded bytes
	finishedAt   float64 // when finished was set
	openedAt     float64 // when the connection was accepted
	listedAt     float64 // when the state of its list began
	list         *clientList
	prev         *ClientConn
	next         *ClientConn

	// UserData is for use by the RequestHandler while the connection is open.
	UserData any
}

// clientList is a list of connections in the same state, oldest entry first.
type clientList struct{ first, last *ClientConn }

// ClientConns holds all client connections of a gatekeeper. A connection without a request in
// progress is on one of the lists.
type ClientConns struct {
	loop     *Loop
	clock    *gatekeeper.Clock
	handler  RequestHandler
	core     *gatekeeper.Gatekeeper
	all      map[*ClientConn]bool
	newConns clientList // no input received yet
	reading  clientList // a request is being received
	idle     clientList // between two requests
	closing  clientList // the last response is written
	draining bool
	scratch  []byte

	// Limits replaces the default limits if it is set. It may be changed or replaced at any
	// time.
	Limits *ClientLimits
	// FinalResponder, if set, writes the final responses for requests that no worker answered.
	FinalResponder FinalResponder
	// OnRequestEnded, if set, is called when a submitted request has ended, after its client
	// got the response. e.Body is valid only during the call.
	OnRequestEnded func(l *ClientConn, r *gatekeeper.Request, e RequestEnding)
}

// RequestEnding describes how a request ended.
type RequestEnding struct {
	Status     int
	Body       []byte
	Streamed   bool // the response was streamed, so Body is empty
	ClientLeft bool // the client disconnected, or did not send the whole request
}

// notifyEnded calls OnRequestEnded for a submitted request.
func (l *ClientConn) notifyEnded(r *gatekeeper.Request, e RequestEnding) {
	if r != nil && l.clients.OnRequestEnded != nil {
		l.clients.OnRequestEnded(l, r, e)
	}
}

// NewClientConns returns an empty set of client connections.
func NewClientConns(loop *Loop, clock *gatekeeper.Clock, core *gatekeeper.Gatekeeper, handler RequestHandler) *ClientConns {
	return &ClientConns{loop: loop, clock: clock, core: core, handler: handler, all: map[*ClientConn]bool{}}
}

// NewConn returns the endpoint for an accepted connection.
func (s *ClientConns) NewConn() *ClientConn {
	l := &ClientConn{clients: s, parser: http1.NewRequestParser()}
	l.parser.StreamBody = true
	return l
}

// Drain makes every response close its connection from now on, so that clients connect
// elsewhere.
func (s *ClientConns) Drain() { s.draining = true }

// CancelDrain ends the effect of Drain.
func (s *ClientConns) CancelDrain() { s.draining = false }

// Draining reports whether Drain is in effect.
func (s *ClientConns) Draining() bool { return s.draining }

// CloseIdle closes the connections that have been idle for a moment. A connection that was
// just accepted is kept: it is about to bring a request, possibly a retried one.
func (s *ClientConns) CloseIdle() {
	s.closeOlderThan(&s.newConns, newConnGraceMS)
	s.closeOlderThan(&s.idle, newConnGraceMS)
}

// closeOlderThan closes the connections that have been on a list for more than maxAgeMS
// milliseconds.
func (s *ClientConns) closeOlderThan(list *clientList, maxAgeMS float64) {
	now := s.clock.Now()
	for l := list.first; l != nil && now-l.listedAt > maxAgeMS; {
		next := l.next
		if l.conn.OutboundBuffered() == 0 || list == &s.closing && !l.stillReading(now) {
			l.close()
		}
		l = next
	}
}

// Sweep ends connections that exceed a time limit, so that they do not use up the budget:
// those on which no request arrives, or no request becomes complete however slowly the client
// keeps sending, and those that the client does not close after its last response.
func (s *ClientConns) Sweep() {
	now := s.clock.Now()
	s.closeOlderThan(&s.newConns, s.maxSilent())
	s.closeOlderThan(&s.idle, s.maxIdle())
	s.closeOlderThan(&s.closing, maxLingerMS)
	for l := s.closing.first; l != nil; l = l.next {
		l.halfClose()
	}
	for l := s.reading.first; l != nil; { // not sorted by listedAt: a first request counts from accepting
		next := l.next
		if l.overdue(now) {
			l.reject(&http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in"})
		}
		l = next
	}
}

// overdue reports whether a request takes too long to arrive. The limit is on the whole head,
// on the pauses within the body, and on the whole body by its size.
func (l *ClientConn) overdue(now float64) bool {
	s := l.clients
	switch {
	case !l.parser.HeadDone():
		return now-l.listedAt > s.maxRead()
	case s.Limits != nil: // configured limits bound only the pauses within a body
		return now-l.lastReadAt > s.maxStall()
	}
	return now-l.lastReadAt > maxStallMS || now-l.listedAt > maxReadMS+float64(l.bodyBytes)/minBodyBytesPerMS
}

// evictOne closes one connection to make room for the newest. It prefers a connection whose
// last response is written, then a silent one, then one whose request has stopped arriving,
// then one between two requests. Only then does it close one that was just accepted or whose
// request is still arriving. This protects slow clients, which send requests in pieces, from a
// large number of silent ones.
func (s *ClientConns) evictOne(newest *ClientConn) {
	now := s.clock.Now()
	closeIfOlder := func(l *ClientConn, minAgeMS float64) bool {
		if l == nil || l == newest || now-max(l.listedAt, l.lastReadAt) < minAgeMS {
			return false
		}
		l.close()
		return true
	}
	if closeIfOlder(s.closing.first, 0) || closeIfOlder(s.newConns.first, newConnGraceMS) {
		return
	}
	longestSilent := s.longestSilent()
	_ = closeIfOlder(longestSilent, maxPauseMS) || closeIfOlder(s.idle.first, 0) || closeIfOlder(s.newConns.first, 0) || closeIfOlder(longestSilent, 0)
}

// longestSilent returns the connection with an incomplete request whose last input is oldest.
// Requests of which only the first piece has arrived come first.
func (s *ClientConns) longestSilent() *ClientConn {
	longest := s.reading.first
	for l := longest; l != nil; l = l.next {
		if l.continued != longest.continued && longest.continued || l.continued == longest.continued && l.lastReadAt < longest.lastReadAt {
			longest = l
		}
	}
	return longest
}

// OpenConns returns the number of connections that may still be owed a response or have unsent
// output.
func (s *ClientConns) OpenConns() int {
	n := 0
	for l := range s.all {
		if !l.finished || l.conn.OutboundBuffered() > 0 {
			n++
		}
	}
	return n
}

func (l *ClientConn) opened(c conn) {
	s := l.clients
	l.conn, l.openedAt = c, s.clock.Now()
	s.all[l] = true
	l.moveTo(&s.newConns, l.openedAt)
	if len(s.all) > s.loop.Budget.MaxClients {
		s.evictOne(l) // keep room to accept the next one
	}
}

// moveTo appends the connection to a list. Its age there counts from since.
func (l *ClientConn) moveTo(list *clientList, since float64) {
	l.unlist()
	l.list, l.prev, l.listedAt = list, list.last, since
	if list.last != nil {
		list.last.next = l
	} else {
		list.first = l
	}
	list.last = l
}

// unlist removes the connection from its list.
func (l *ClientConn) unlist() {
	list := l.list
	if list == nil {
		return
	}
	if l.prev != nil {
		l.prev.next = l.next
	} else {
		list.first = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	} else {
		list.last = l.prev
	}
	l.list, l.prev, l.next = nil, nil, nil
}

// beginReading notes that a request is arriving. The time of the first request counts from
// accepting the connection, whatever arrived in between.
func (l *ClientConn) beginReading() {
	s := l.clients
	if l.list == &s.reading {
		return
	}
	since := s.clock.Now()
	if !l.receivedAny && s.Limits == nil {
		since = l.openedAt
	}
	l.moveTo(&s.reading, since)
}

func (l *ClientConn) traffic(b []byte) {
	if l.finished {
		l.discardInput(len(b))
		return
	}
	if s := l.clients; s.Limits != nil {
		l.parser.Limits = s.Limits.HTTP
	}
	now := l.clients.clock.Now()
	l.continued = l.list == &l.clients.reading && now-l.lastReadAt > 1
	l.lastReadAt = now
	if l.upload != nil && !l.upload.complete {
		l.feedBody(b)
		return
	}
	if l.busy || len(l.backlog) > 0 {
		if len(l.backlog)+len(b) > l.maxBacklog() {
			l.close()
			return
		}
		l.backlog = append(l.backlog, b...)
		return
	}
	l.parse(b)
}

// parse reads requests from b until one is in progress. The rest is kept as backlog.
func (l *ClientConn) parse(b []byte) {
	for len(b) > 0 && !l.isClosed && !l.finished {
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		if err != nil {
			l.reject(err)
			return
		}
		if l.parser.HeadDone() {
			l.bodyBytes += n
		}
		if l.parser.MustStream() {
			l.beginUpload(b)
			return
		}
		if !done {
			if m := l.parser.Message(); m.ExpectContinue && l.parser.HeadDone() {
				m.ExpectContinue = false
				l.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			continue
		}
		l.dispatch(l.parser.Message())
		if l.busy {
			l.backlog = append(l.backlog[:0], b...)
			return
		}
	}
	l.updateList()
}

// dispatch passes a request to the RequestHandler.
func (l *ClientConn) dispatch(message *http1.Message) {
	l.unlist()
	l.busy, l.receivedAny, l.lastResponse, l.bodyBytes = true, true, message.Close, 0
	l.headRequest, l.http10 = string(message.Method) == http.MethodHead, message.HTTP10
	l.inHandler = true
	l.clients.handler.Handle(l, message)
	l.inHandler = false
}

// reject responds to invalid input and closes the connection.
func (l *ClientConn) reject(err error) {
	status, reason := 400, err.Error()
	if e, ok := err.(*http1.Error); ok {
		status, reason = e.Status, e.Reason
	}
	l.unlist()
	l.busy, l.lastResponse = true, true
	l.RespondText(status, "", reason+"\n")
}

// Submit submits a request to the default core, with this connection as its responder.
func (l *ClientConn) Submit(r *gatekeeper.Request) { l.SubmitTo(l.clients.core, r) }

// SubmitTo submits a request to the given core and reports whether the core accepted it. A
// request whose name is already in use is rejected here and never runs.
func (l *ClientConn) SubmitTo(core *gatekeeper.Gatekeeper, request *gatekeeper.Request) (taken bool) {
	l.core = core
	request.Responder, l.request = l, request
	if l.upload != nil {
		// The body may have become complete while the handler was waiting.
		request.BodyPending, l.upload.request = !l.upload.complete, request
		request.Payload.(*Payload).Upload = l.upload
	}
	if core.Submit(request) {
		return true
	}
	l.request = nil
	l.RespondTextAndClose(http.StatusConflict, "another request of this name is open\n")
	return false
}

// RespondText responds with plain text. extra consists of whole header lines.
func (l *ClientConn) RespondText(status int, extra, text string) {
	l.respond(status, len(text), []byte("Content-Type: text/plain\r\n"+extra), []byte(text))
}

// RespondTextAndClose responds with plain text and closes the connection.
func (l *ClientConn) RespondTextAndClose(status int, text string) {
	l.lastResponse = true
	l.RespondText(status, "", text)
}

// Served implements gatekeeper.Responder.
func (l *ClientConn) Served(_ *gatekeeper.Request, a gatekeeper.Answer) {
	l.Respond(cmp.Or(a.Status, http.StatusOK), a.HeaderLines, a.Body)
}

// Throttled implements gatekeeper.Responder.
func (l *ClientConn) Throttled(r *gatekeeper.Request, retryAfter float64) {
	if v := l.clients.FinalResponder; v != nil {
		v.Throttled(l, r, retryAfter)
		return
	}
	extra := ""
	if retryAfter > 0 {
		extra = "Retry-After: " + strconv.FormatFloat(retryAfter/1000, 'f', 3, 64) + "\r\n"
	}
	l.RespondText(429, extra, "throttled\n")
}

// Failed implements gatekeeper.Responder.
func (l *ClientConn) Failed(r *gatekeeper.Request) {
	if v := l.clients.FinalResponder; v != nil {
		v.Failed(l, r)
		return
	}
	l.RespondText(502, "", "failed\n")
}

// AwaitsResponse reports whether the connection is open and has a request that was neither
// answered nor submitted.
func (l *ClientConn) AwaitsResponse() bool { return !l.isClosed && l.busy && l.request == nil }

// Respond writes a response with whole header lines and a body, for example a worker's failure
// that is passed on. It does nothing if the response has already been written. In a response
// to a HEAD request, any Content-Length is part of the header lines.
func (l *ClientConn) Respond(status int, head, body []byte) {
	length := len(body)
	if l.headRequest {
		length = lengthOmitted
	}
	l.respond(status, length, head, body)
}

func (l *ClientConn) respond(status, length int, head, body []byte) {
	if l.isClosed || !l.busy {
		return
	}
	request := l.request
	l.request = nil
	end := l.lastResponse || l.clients.draining
	out := l.responseHead(status, length, end, head)
	if !l.headRequest {
		out = append(out, body...)
	}
	l.clients.scratch = out
	l.write(out)
	l.notifyEnded(request, RequestEnding{Status: status, Body: body})
	l.responseWritten(end)
}

// lengthOmitted makes responseHead write neither Content-Length nor Transfer-Encoding. It is
// for responses to HEAD, where the given header lines state the length.
const lengthOmitted = -2

// responseHead appends the status line and the header. A length of -1 means a chunked response
// or, for an HTTP/1.0 client, one that ends when the connection closes.
func (l *ClientConn) responseHead(status, length int, end bool, fields []byte) []byte {
	out := append(l.clients.scratch[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(append(out, ' '), http.StatusText(status)...)
	switch {
	case length >= 0:
		out = append(out, "\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(length), 10)
	case length != lengthOmitted && !l.http10:
		out = append(out, "\r\nTransfer-Encoding: chunked"...)
	}
	if end {
		out = append(out, "\r\nConnection: close"...)
	} else if keep := l.clients.keepAliveSeconds(); keep > 0 {
		out = append(out, "\r\nKeep-Alive: timeout="...)
		out = strconv.AppendInt(out, keep, 10)
	}
	out = append(append(out, "\r\n"...), fields...)
	return append(out, "\r\n"...)
}

// responseWritten continues with the next request after the last byte of a response.
func (l *ClientConn) responseWritten(end bool) {
	l.busy = false
	if l.upload != nil {
		end = l.upload.detach() || end
		l.upload = nil
	}
	if l.isClosed {
		return
	}
	if end || l.conn.OutboundBuffered() > maxUnreadBytes {
		l.finish() // also for a client that keeps sending requests and reads nothing
		return
	}
	l.parser.Reset()
	if l.inHandler {
		return // the loop in parse continues
	}
	b := l.backlog
	l.backlog = nil
	l.parse(b)
}

// finish shuts a connection down after its last response. It only stops sending and discards
// further input. Closing with unread input would reset the connection, and closing with unsent
// output would lose it; either way the client might not see the response.
func (l *ClientConn) finish() {
	l.finished, l.finishedAt, l.backlog = true, l.clients.clock.Now(), nil
	l.halfClose()
	l.moveTo(&l.clients.closing, l.clients.clock.Now())
}

func (l *ClientConn) halfClose() {
	if l.conn.OutboundBuffered() > 0 {
		return
	}
	if l.closeDelimited { // the kernel has all of the response
		l.resetOnClose(false)
	}
	_ = syscall.Shutdown(l.conn.Fd(), syscall.SHUT_WR)
}

// updateList puts a connection without a request in progress on the list for its state.
func (l *ClientConn) updateList() {
	s := l.clients
	switch {
	case l.isClosed || l.finished || l.busy:
	case l.parser.Started():
		l.beginReading()
	case l.receivedAny:
		l.moveTo(&s.idle, s.clock.Now())
	}
}

func (l *ClientConn) write(b []byte) {
	if !l.isClosed {
		_, _ = send(l.conn, b) // a failed write closes the connection
	}
}

func (l *ClientConn) close() {
	if !l.isClosed {
		l.clients.loop.closeConn(l.conn)
	}
}

func (l *ClientConn) closed(error) {
	l.isClosed = true
	l.unlist()
	delete(l.clients.all, l)
	if l.upload != nil {
		l.upload.complete = true
	}
	if worker := l.responseFrom; worker != nil {
		l.responseFrom = nil
		worker.clientGone()
	}
	if r := l.request; r != nil {
		l.request = nil
		l.core.ClientGone(r)
		l.notifyEnded(r, RequestEnding{ClientLeft: true})
	}
}
