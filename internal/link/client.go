package link

import (
	"cmp"
	"net/http"
	"strconv"
	"syscall"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
)

// Front understands what client links bring.
type Front interface {
	// Handle answers a request at once with Client.Reply, or hands it to the core
	// with the link as its caller.
	Handle(l *Client, m *http1.Message)
}

const (
	newConnGraceMS    = 100.0  // milliseconds
	maxLingerMS       = 1000.0 // for a client to close after its last answer
	maxSilentMS       = 2000.0 // from the opening to the first byte of a request
	maxReadMS         = 2500.0 // for a request to come in: the first counts from the opening
	maxIdleMS         = 5000.0 // between two requests
	maxPauseMS        = 1000.0 // between two pieces of a request where links are short
	maxStallMS        = 2400.0 // between two pieces of a request's body
	minBodyBytesPerMS = 16.0   // bytes a millisecond that a body is given time for

	maxRejectedBodyMS = 30000.0 // for a client to come to the end of a large body that was refused

	maxUnreadBytes  = 4 << 20 // bytes of answers that a client has not read
	maxDroppedBytes = 1 << 20 // bytes that come behind the last answer and are dropped
)

// backlogMost bounds what a client sends ahead of its answers.
func (l *Client) maxBacklog() int {
	head := http1.MaxHead
	if l.parser.Limits != nil {
		head = cmp.Or(l.parser.Limits.Head, head)
	}
	return head + l.parser.Holds()
}

// Client is a client link. It carries one request at a time.
type Client struct {
	clients        *Clients
	conn           conn
	parser         *http1.Parser
	upload         *upload     // of a body that flows, while its request is open
	responseFrom   *workerConn // whose answer flows here
	chunked        bool        // in chunks
	headRequest    bool        // the request was a HEAD: its answer has no body
	http10         bool        // it was of HTTP/1.0, which has no chunks
	closeDelimited bool        // the answer that flows here ends with the link
	lastReadAt     float64     // last bytes of a request
	continued      bool        // they were not its first
	bodyBytes      int         // of its body
	takenBytes     int         // bytes that the client was seen to have taken, and when
	takenAt        float64
	backlog        []byte
	request        *gatekeeper.Request
	core           *gatekeeper.Gatekeeper // that has it
	busy           bool
	lastResponse   bool // the answer that is owed is the last
	isClosed       bool
	inHandler      bool
	receivedAny    bool    // a request has come in whole
	finished       bool    // its last answer is given: what still comes is dropped
	host           string  // the client's address, once it was asked for
	droppedBytes   int     // bytes so far
	finishedAt     float64 // when it was given
	openedAt       float64 // when it was opened
	listedAt       float64 // when it came onto its list
	list           *clientList
	prev           *Client
	next           *Client

	// Value is the front's own, for as long as the link is open.
	Value any
}

// clientList is links of one state, the one longest in it first.
type clientList struct{ first, last *Client }

// Clients is all client links of a gatekeeper. One that is not busy with a request is
// on one of the lists.
type Clients struct {
	loop     *Loop
	clock    *gatekeeper.Clock
	front    Front
	core     *gatekeeper.Gatekeeper
	all      map[*Client]bool
	newConns clientList // nothing has come on them yet
	reading  clientList // a request is coming in
	idle     clientList // between two requests
	closing  clientList // their last answer is given
	draining bool
	scratch  []byte

	// Limits, where set, is in the place of the constants; it may be changed or replaced.
	Limits *ClientLimits
	// Verdict, where set, words the final answers that no worker gave.
	Verdict Verdict
	// Ended, where set, is told how a request ended that a core had taken, after its client was. The
	// body holds only during the call.
	Ended func(l *Client, r *gatekeeper.Request, e Ending)
}

// Ending is how a request ended.
type Ending struct {
	Status int
	Body   []byte
	Flowed bool // the answer was too large to be held
	Left   bool // the client did not wait for one, or sent no whole request
}

// ended tells how a request has ended.
func (l *Client) notifyEnded(r *gatekeeper.Request, e Ending) {
	if r != nil && l.clients.Ended != nil {
		l.clients.Ended(l, r, e)
	}
}

// NewClients makes the set of client links.
func NewClients(l *Loop, clock *gatekeeper.Clock, core *gatekeeper.Gatekeeper, f Front) *Clients {
	return &Clients{loop: l, clock: clock, core: core, front: f, all: map[*Client]bool{}}
}

// Make makes the object of a connection that was accepted.
func (s *Clients) Make() *Client {
	l := &Client{clients: s, parser: http1.Requests()}
	l.parser.Flows = true
	return l
}

// Drain tells clients to go elsewhere: from now on every answer ends its link.
func (s *Clients) Drain() { s.draining = true }

// Stay takes that back.
func (s *Clients) Stay() { s.draining = false }

// Draining tells whether the gatekeeper is going away.
func (s *Clients) Draining() bool { return s.draining }

// CloseIdle closes the links on which nothing has begun for a while. One that has
// just been opened is about to bring a request, perhaps one that was sent again.
func (s *Clients) CloseIdle() {
	s.closeOlderThan(&s.newConns, newConnGraceMS)
	s.closeOlderThan(&s.idle, newConnGraceMS)
}

// closeOld closes the links that have been on a list for longer than so many
// milliseconds.
func (s *Clients) closeOlderThan(list *clientList, maxAgeMS float64) {
	now := s.clock.Now()
	for l := list.first; l != nil && now-l.listedAt > maxAgeMS; {
		next := l.next
		if l.conn.OutboundBuffered() == 0 || list == &s.closing && !l.stillReading(now) {
			l.close()
		}
		l = next
	}
}

// Sweep ends links whose client does not bring a request, or does not bring it to an
// end however slowly it goes on sending, so that they do not use the budget up; and
// those whose client did not close them either.
func (s *Clients) Sweep() {
	now := s.clock.Now()
	s.closeOlderThan(&s.newConns, s.maxSilent())
	s.closeOlderThan(&s.idle, s.maxIdle())
	s.closeOlderThan(&s.closing, maxLingerMS)
	for l := s.closing.first; l != nil; l = l.next {
		l.halfClose()
	}
	for l := s.reading.first; l != nil; { // not in order: first requests count from the opening
		next := l.next
		if l.overdue(now) {
			l.reject(&http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in"})
		}
		l = next
	}
}

// overdue tells whether a request that is coming in has taken too long: its head as a
// whole, its body from piece to piece, and by its size.
func (l *Client) overdue(now float64) bool {
	s := l.clients
	switch {
	case !l.parser.HeadDone():
		return now-l.listedAt > s.maxRead()
	case s.Limits != nil: // an operator's limits bound a body's pauses alone
		return now-l.lastReadAt > s.maxStall()
	}
	return now-l.lastReadAt > maxStallMS || now-l.listedAt > maxReadMS+float64(l.bodyBytes)/minBodyBytesPerMS
}

// makeRoom closes the link that is missed least: one whose last answer is given, one that
// says nothing, one whose request has stopped coming in; then one between two requests, and
// only then one that was just opened or a request that is still on its way. It guards slow
// clients, who bring theirs in pieces, against a crowd of silent ones.
func (s *Clients) evictOne(newest *Client) {
	now := s.clock.Now()
	closeIfOlder := func(l *Client, minAgeMS float64) bool {
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

// longestPause is the link on which a request is coming in that has been silent longest, of
// those first that have never gone on after their first piece.
func (s *Clients) longestSilent() *Client {
	longest := s.reading.first
	for l := longest; l != nil; l = l.next {
		if l.continued != longest.continued && longest.continued || l.continued == longest.continued && l.lastReadAt < longest.lastReadAt {
			longest = l
		}
	}
	return longest
}

// Len is the number of open client links on which something may still be owed.
func (s *Clients) Len() int {
	n := 0
	for l := range s.all {
		if !l.finished || l.conn.OutboundBuffered() > 0 {
			n++
		}
	}
	return n
}

func (l *Client) opened(c conn) {
	s := l.clients
	l.conn, l.openedAt = c, s.clock.Now()
	s.all[l] = true
	l.moveTo(&s.newConns, l.openedAt)
	if len(s.all) > s.loop.Budget.Clients {
		s.evictOne(l) // room to accept is kept
	}
}

// enter puts the link last on a list, on which it counts from a time.
func (l *Client) moveTo(list *clientList, since float64) {
	l.unlist()
	l.list, l.prev, l.listedAt = list, list.last, since
	if list.last != nil {
		list.last.next = l
	} else {
		list.first = l
	}
	list.last = l
}

// leave takes the link off its list.
func (l *Client) unlist() {
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

// begin marks that a request is coming in. The first has the time since the link was
// opened, whatever came in between.
func (l *Client) beginReading() {
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

func (l *Client) traffic(b []byte) {
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

// read takes requests out of b until one is busy. What is left waits.
func (l *Client) parse(b []byte) {
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
		if l.parser.Full() {
			l.beginUpload(b)
			return
		}
		if !done {
			if m := l.parser.Message(); m.Continue && l.parser.HeadDone() {
				m.Continue = false
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

// hand gives a request to the front.
func (l *Client) dispatch(message *http1.Message) {
	l.unlist()
	l.busy, l.receivedAny, l.lastResponse, l.bodyBytes = true, true, message.Close, 0
	l.headRequest, l.http10 = string(message.Method) == http.MethodHead, message.Old
	l.inHandler = true
	l.clients.front.Handle(l, message)
	l.inHandler = false
}

// reject answers what can't be a request, and ends the link.
func (l *Client) reject(err error) {
	status, reason := 400, err.Error()
	if e, ok := err.(*http1.Error); ok {
		status, reason = e.Status, e.Reason
	}
	l.unlist()
	l.busy, l.lastResponse = true, true
	l.Reply(status, "", reason+"\n")
}

// Submit hands a request to the core; this link is its caller.
func (l *Client) Submit(r *gatekeeper.Request) { l.SubmitTo(l.clients.core, r) }

// SubmitTo hands a request to one of several cores. It tells whether the core has taken it: one
// whose name is open already is refused here, and never runs.
func (l *Client) SubmitTo(core *gatekeeper.Gatekeeper, request *gatekeeper.Request) (taken bool) {
	l.core = core
	request.Caller, l.request = l, request
	if l.upload != nil {
		request.Filling, l.upload.request = !l.upload.complete, request // it may have come whole while its front waited
		request.Payload.(*Payload).Up = l.upload
	}
	if core.Take(request) {
		return true
	}
	l.request = nil
	l.Reject(http.StatusConflict, "another request of this name is open\n")
	return false
}

// Reply answers at once with a plain text. Extra is whole header lines.
func (l *Client) Reply(status int, extra, text string) {
	l.respond(status, len(text), []byte("Content-Type: text/plain\r\n"+extra), []byte(text))
}

// Reject answers at once and ends the link.
func (l *Client) Reject(status int, text string) {
	l.lastResponse = true
	l.Reply(status, "", text)
}

// Served implements gatekeeper.Caller.
func (l *Client) Served(_ *gatekeeper.Request, a gatekeeper.Answer) {
	l.Answer(cmp.Or(a.Status, http.StatusOK), a.Head, a.Body)
}

// Throttled implements gatekeeper.Caller.
func (l *Client) Throttled(r *gatekeeper.Request, retryAfter float64) {
	if v := l.clients.Verdict; v != nil {
		v.Throttled(l, r, retryAfter)
		return
	}
	extra := ""
	if retryAfter > 0 {
		extra = "Retry-After: " + strconv.FormatFloat(retryAfter/1000, 'f', 3, 64) + "\r\n"
	}
	l.Reply(429, extra, "throttled\n")
}

// Failed implements gatekeeper.Caller.
func (l *Client) Failed(r *gatekeeper.Request) {
	if v := l.clients.Verdict; v != nil {
		v.Failed(l, r)
		return
	}
	l.Reply(502, "", "failed\n")
}

// Waits tells whether the link is open and owes an answer to a request that it has read.
func (l *Client) Waits() bool { return !l.isClosed && l.busy && l.request == nil }

// Answer answers at once with whole header lines and a body, such as a worker's failure
// that is passed on. It does nothing where the answer has been given. The length of an answer
// to a HEAD is the lines' own.
func (l *Client) Answer(status int, head, body []byte) {
	length := len(body)
	if l.headRequest {
		length = lengthOmitted
	}
	l.respond(status, length, head, body)
}

func (l *Client) respond(status, length int, head, body []byte) {
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
	l.notifyEnded(request, Ending{Status: status, Body: body})
	l.responseWritten(end)
}

// unstated is the length of an answer that ends with its head, for which nothing says it here.
const lengthOmitted = -2

// head begins an answer of a length, or with -1 one in chunks or, for an old client, one
// that ends with the link.
func (l *Client) responseHead(status, length int, end bool, fields []byte) []byte {
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

// answered goes on behind the last byte of an answer.
func (l *Client) responseWritten(end bool) {
	l.busy = false
	if l.upload != nil {
		end = l.upload.detach() || end
		l.upload = nil
	}
	if l.isClosed {
		return
	}
	if end || l.conn.OutboundBuffered() > maxUnreadBytes {
		l.finish() // also for a client that asks on and reads nothing
		return
	}
	l.parser.Reset()
	if l.inHandler {
		return // read goes on by itself
	}
	b := l.backlog
	l.backlog = nil
	l.parse(b)
}

// finish ends a link behind its last answer. It only stops sending and drops what
// still comes: to close with bytes unread would reset the connection, and to close
// with bytes unsent would lose them; the client might see no answer either way.
func (l *Client) finish() {
	l.finished, l.finishedAt, l.backlog = true, l.clients.clock.Now(), nil
	l.halfClose()
	l.moveTo(&l.clients.closing, l.clients.clock.Now())
}

func (l *Client) halfClose() {
	if l.conn.OutboundBuffered() == 0 {
		_ = syscall.Shutdown(l.conn.Fd(), syscall.SHUT_WR)
	}
}

// settle puts a link that waits for its client on the list that it belongs to.
func (l *Client) updateList() {
	s := l.clients
	switch {
	case l.isClosed || l.finished || l.busy:
	case l.parser.Started():
		l.beginReading()
	case l.receivedAny:
		l.moveTo(&s.idle, s.clock.Now())
	}
}

func (l *Client) write(b []byte) {
	if !l.isClosed {
		_, _ = send(l.conn, b) // a failed write closes the link
	}
}

func (l *Client) close() {
	if !l.isClosed {
		l.clients.loop.closeConn(l.conn)
	}
}

func (l *Client) closed(error) {
	l.isClosed = true
	l.unlist()
	delete(l.clients.all, l)
	if l.upload != nil {
		l.upload.complete = true
	}
	if s := l.responseFrom; s != nil {
		l.responseFrom = nil
		s.clientGone()
	}
	if r := l.request; r != nil {
		l.request = nil
		l.core.Gone(r)
		l.notifyEnded(r, Ending{Left: true})
	}
}
