package link

import (
	"net/http"
	"strconv"
	"syscall"

	"github.com/panjf2000/gnet/v2"

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
	justOpened = 100.0   // milliseconds
	lingerMost = 1000.0  // for a client to close after its last answer
	readMost   = 10000.0 // for a request to come in

	unreadMost = 4 << 20 // bytes of answers that a client has not read
)

// backlogMost bounds what a client sends ahead of its answers.
const backlogMost = http1.MaxHead + http1.MaxBody

// Client is a client link. It carries one request at a time.
type Client struct {
	set     *Clients
	c       gnet.Conn
	parser  *http1.Parser
	backlog []byte
	current *gatekeeper.Request
	busy    bool
	ending  bool // the answer that is owed is the last
	dead    bool
	handing bool
	prev    *Client // the links without a request, longest idle first
	next    *Client
	idle    bool
	deaf    bool    // its last answer is given: what still comes is dropped
	since   float64 // idle or deaf since, or busy with reading one request since
}

// Clients is all client links of a gatekeeper.
type Clients struct {
	loop     *Loop
	clock    *gatekeeper.Clock
	front    Front
	core     *gatekeeper.Gatekeeper
	all      map[*Client]bool
	first    *Client
	last     *Client
	draining bool
	out      []byte
}

// NewClients makes the set of client links.
func NewClients(l *Loop, clock *gatekeeper.Clock, core *gatekeeper.Gatekeeper, f Front) *Clients {
	return &Clients{loop: l, clock: clock, core: core, front: f, all: map[*Client]bool{}}
}

// Make makes the object of a connection that was accepted.
func (s *Clients) Make() *Client { return &Client{set: s, parser: http1.Requests()} }

// Drain tells clients to go elsewhere: from now on every answer ends its link.
func (s *Clients) Drain() { s.draining = true }

// Draining tells whether the gatekeeper is going away.
func (s *Clients) Draining() bool { return s.draining }

// CloseIdle closes the links on which nothing has begun for a while. One that has
// just been opened is about to bring a request, perhaps one that was sent again.
func (s *Clients) CloseIdle() {
	for l := s.first; l != nil; {
		after := l.next
		if s.clock.Now()-l.since > justOpened && l.c.OutboundBuffered() == 0 {
			l.shut()
		}
		l = after
	}
}

// Sweep ends links whose client does not bring its request to an end, so that they
// do not use the budget up, and those whose client did not close them either.
func (s *Clients) Sweep() {
	now := s.clock.Now()
	for l := range s.all {
		switch waited := now - l.since; {
		case l.deaf && waited > lingerMost, !l.deaf && !l.busy && !l.idle && waited > readMost:
			l.shut()
		case l.deaf:
			l.halfClose()
		}
	}
}

// Len is the number of open client links on which something may still be owed.
func (s *Clients) Len() int {
	n := 0
	for l := range s.all {
		if !l.deaf || l.c.OutboundBuffered() > 0 {
			n++
		}
	}
	return n
}

func (l *Client) opened(c gnet.Conn) {
	s := l.set
	l.c = c
	s.all[l] = true
	l.rest()
	if len(s.all) > s.loop.Budget.Clients {
		// room to accept is kept: the longest idle link goes, this one if none is
		s.first.shut()
	}
}

// rest puts the link behind the other idle ones.
func (l *Client) rest() {
	s := l.set
	l.idle, l.prev, l.next = true, s.last, nil
	l.since = s.clock.Now()
	if s.last != nil {
		s.last.next = l
	} else {
		s.first = l
	}
	s.last = l
}

func (l *Client) wakeUp() {
	if !l.idle {
		return
	}
	s := l.set
	if l.prev != nil {
		l.prev.next = l.next
	} else {
		s.first = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	} else {
		s.last = l.prev
	}
	l.idle, l.prev, l.next = false, nil, nil
	l.since = s.clock.Now()
}

func (l *Client) traffic(b []byte) {
	if l.deaf {
		return
	}
	if l.busy || len(l.backlog) > 0 {
		if len(l.backlog)+len(b) > backlogMost {
			l.shut()
			return
		}
		l.backlog = append(l.backlog, b...)
		return
	}
	l.read(b)
}

// read takes requests out of b until one is busy. What is left waits.
func (l *Client) read(b []byte) {
	for len(b) > 0 && !l.dead && !l.deaf {
		l.wakeUp()
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		if err != nil {
			l.reject(err)
			return
		}
		if !done {
			if m := l.parser.Message(); m.Continue && l.parser.HeadDone() {
				m.Continue = false
				l.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			continue
		}
		m := l.parser.Message()
		l.busy, l.ending = true, m.Close
		l.handing = true
		l.set.front.Handle(l, m)
		l.handing = false
		if l.busy {
			l.backlog = append(l.backlog[:0], b...)
			return
		}
	}
	l.settle()
}

// reject answers what can't be a request, and ends the link.
func (l *Client) reject(err error) {
	status, reason := 400, err.Error()
	if e, ok := err.(*http1.Error); ok {
		status, reason = e.Status, e.Reason
	}
	l.busy, l.ending = true, true
	l.Reply(status, "", reason+"\n")
}

// Submit hands a request to the core; this link is its caller.
func (l *Client) Submit(r *gatekeeper.Request) {
	r.Caller, l.current = l, r
	l.set.core.Take(r)
}

// Reply answers at once with a plain text. Extra is whole header lines.
func (l *Client) Reply(status int, extra, text string) {
	l.answer(status, []byte("Content-Type: text/plain\r\n"+extra), []byte(text))
}

// Reject answers at once and ends the link.
func (l *Client) Reject(status int, text string) {
	l.ending = true
	l.Reply(status, "", text)
}

// Served implements gatekeeper.Caller.
func (l *Client) Served(_ *gatekeeper.Request, a gatekeeper.Answer) {
	status := a.Status
	if status == 0 {
		status = 200
	}
	l.answer(status, a.Head, a.Body)
}

// Throttled implements gatekeeper.Caller.
func (l *Client) Throttled(_ *gatekeeper.Request, after float64) {
	extra := ""
	if after > 0 {
		extra = "Retry-After: " + strconv.FormatFloat(after/1000, 'f', 3, 64) + "\r\n"
	}
	l.Reply(429, extra, "throttled\n")
}

// Failed implements gatekeeper.Caller.
func (l *Client) Failed(*gatekeeper.Request) { l.Reply(502, "", "failed\n") }

func (l *Client) answer(status int, head, body []byte) {
	if l.dead || !l.busy {
		return
	}
	l.current = nil
	end := l.ending || l.set.draining
	out := append(l.set.out[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(append(out, ' '), http.StatusText(status)...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	if end {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(append(out, "\r\n"...), head...)
	out = append(append(out, "\r\n"...), body...)
	l.set.out = out
	l.write(out)
	l.busy = false
	if l.dead {
		return
	}
	if end || l.c.OutboundBuffered() > unreadMost {
		l.finish() // also for a client that asks on and reads nothing
		return
	}
	l.parser.Reset()
	if l.handing {
		return // read goes on by itself
	}
	if len(l.backlog) == 0 {
		l.rest()
		return
	}
	b := l.backlog
	l.backlog = nil
	l.read(b)
}

// finish ends a link behind its last answer. It only stops sending and drops what
// still comes: to close with bytes unread would reset the connection, and to close
// with bytes unsent would lose them; the client might see no answer either way.
func (l *Client) finish() {
	l.deaf, l.backlog = true, nil
	l.halfClose()
	l.rest() // the first to go where links are short
}

func (l *Client) halfClose() {
	if l.c.OutboundBuffered() == 0 {
		_ = syscall.Shutdown(l.c.Fd(), syscall.SHUT_WR)
	}
}

// settle marks the link idle where nothing has begun on it.
func (l *Client) settle() {
	if !l.dead && !l.deaf && !l.busy && !l.idle && !l.parser.Started() && len(l.backlog) == 0 {
		l.rest()
	}
}

func (l *Client) write(b []byte) {
	if !l.dead {
		_, _ = l.c.Write(b) // a failed write closes the link
	}
}

func (l *Client) shut() {
	if !l.dead {
		l.set.loop.shut(l.c)
	}
}

func (l *Client) closed(error) {
	l.dead = true
	l.wakeUp()
	delete(l.set.all, l)
	if r := l.current; r != nil {
		l.current = nil
		l.set.core.Gone(r)
	}
}
