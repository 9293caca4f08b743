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
	holdAnswer = 50.0   // milliseconds that an answer of unknown length is held at most
	flowStall  = 8000.0 // milliseconds in which nothing of a flow moves
	flowLook   = 1000.0 // milliseconds between two looks at that
	tellMoving = 50.0   // milliseconds between two words to the core that bytes move
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
	client *Client
	r      *gatekeeper.Request // set by Submit
	held   []byte
	base   int  // place in the body of the first byte that is held
	length int  // as the head states it, -1 where only the end tells
	done   bool // its last byte has come
	given  bool // some of the request may have left for a worker
	to     *server
}

// large begins a request whose body is longer than what is held. What has come is held,
// so that it can be sent again as long as no more has to be taken in.
func (l *Client) large(rest []byte) {
	f, ok := l.set.loop.leave(l.c, l)
	if !ok { // it has not read its last answer
		l.shut()
		return
	}
	l.c = f
	m := l.parser.Message()
	m.Large = true
	u := &upload{client: l, length: m.Length, held: l.parser.Held()}
	l.up, l.parser.Piece = u, u.take
	l.hand(m)
	switch {
	case l.dead:
	case l.up == u:
		l.fill(rest)
	case l.deaf:
		l.drop(len(rest))
	}
}

// fill takes more of the body.
func (l *Client) fill(b []byte) {
	u := l.up
	n, done, err := l.parser.Feed(b)
	if l.up != u { // to pass it on has ended the request
		return
	}
	if err != nil {
		l.giveUp(err)
		return
	}
	if done {
		u.done = true
		l.backlog = append(l.backlog[:0], b[n:]...)
		if u.r != nil {
			l.core.Filled(u.r)
		}
	}
	if l.up == u {
		u.pass()
	}
}

// giveUp ends a request whose body does not come to its end, and says why. Under an
// operator's limits a 408 promises that the request has never run: where a worker may have
// begun with it, a 502 is given, which promises nothing.
func (l *Client) giveUp(err error) {
	if e, ok := err.(*http1.Error); ok && e.Status == http.StatusRequestTimeout &&
		l.set.Limits != nil && l.up != nil && l.up.given {
		err = &http1.Error{Status: http.StatusBadGateway, Reason: e.Reason}
	}
	if r := l.current; r != nil {
		l.current = nil
		l.core.Gone(r)
		l.ended(r, Ending{Left: true})
	}
	if !l.dead && l.busy {
		l.reject(err)
	}
}

// take is given the pieces of the body.
func (u *upload) take(b []byte) { u.held = append(u.held, b...) }

// pass has the worker take what it can, lets go of what there is no room for, and has the
// client go on where there is some.
func (u *upload) pass() {
	if u.to != nil {
		u.to.pull()
	}
	if u.client.up != u || u.client.dead {
		return
	}
	f := u.client.c.(*flow)
	most, unsent := f.pump.window(), len(u.held)
	if u.to != nil {
		over := min(len(u.held)-most, u.to.sent-u.base)
		if over > 0 && len(u.held) > most+flowRead { // a read's worth more, so that it is not done for every one
			u.base += over
			u.held = u.held[:copy(u.held, u.held[over:])]
			u.r.Spent = true
		}
		unsent = u.base + len(u.held) - u.to.sent
	}
	f.rest(!u.done && unsent >= most)
}

// end detaches the body from its links when its request is over. It tells whether the
// client still has some of it to send.
func (u *upload) end() (more bool) {
	u.to = nil
	u.client.parser.Piece = func([]byte) {}
	if f, ok := u.client.c.(*flow); ok && !u.client.dead {
		f.rest(false)
	}
	return !u.done
}

// drop takes what comes behind the last answer. The rest of a large body may come to its
// end: a client that is cut off in the middle of it might not see the answer.
func (l *Client) drop(n int) {
	s, most := l.set, dropMost
	if _, ok := l.c.(*flow); ok {
		most = l.parser.Carries()
		if now := s.clock.Now(); now-l.deafAt < sendMost {
			l.enter(&s.leaving, now)
		}
	}
	if l.dropped += n; l.dropped > most {
		l.shut()
	}
}

// slow tells whether the client still reads what was written, at its own pace.
func (l *Client) slow(now float64) bool {
	f, ok := l.c.(*flow)
	if !ok || len(f.out) == 0 {
		return false
	}
	if f.pushed != l.pushed {
		l.pushed, l.pushedAt = f.pushed, now
	}
	return now-l.pushedAt < flowStall
}

// drained implements flowing: the client has taken all that was written.
func (l *Client) drained() {
	if l.deaf {
		l.halfClose()
		l.enter(&l.set.leaving, l.set.clock.Now()) // now it is its client's turn
	}
	if s := l.down; s != nil {
		s.moved = l.set.clock.Now()
		s.flow().rest(false)
	}
}

// flowFrom starts an answer of a length, -1 where it is not known, that flows from a server
// link. It can't where the client has not read its last answer.
func (l *Client) flowFrom(from *server, a gatekeeper.Answer, length int) bool {
	if l.dead || !l.busy {
		return false
	}
	f, ok := l.set.loop.leave(l.c, l)
	if !ok {
		return false
	}
	l.c, l.down, l.chunked, l.endless = f, from, length < 0 && !l.old, length < 0 && l.old
	l.ending = l.ending || l.set.draining || l.endless
	l.set.out = l.head(cmp.Or(a.Status, http.StatusOK), length, l.ending, a.Head)
	l.write(l.set.out)
	return !l.dead
}

// piece passes a piece of the answer on, and tells whether there is room for another.
func (l *Client) piece(b []byte) (room bool) {
	if l.dead || len(b) == 0 {
		return true
	}
	if l.chunked {
		l.set.out = appendChunk(l.set.out[:0], b)
		l.write(l.set.out)
	} else {
		l.write(b)
	}
	if l.dead {
		return true
	}
	f := l.c.(*flow)
	return len(f.out) < f.pump.window()
}

// over ends the answer. One that is not whole ends the link, short of its stated end or
// without its last chunk, so that the client sees it.
func (l *Client) over(whole bool) {
	if l.dead || l.down == nil {
		return
	}
	r := l.current
	l.down, l.current = nil, nil
	l.ended(r, Ending{Flowed: true})
	if !whole {
		if l.endless { // a proper end would make it look whole
			_ = unix.SetsockoptLinger(l.c.Fd(), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		l.shut()
		return
	}
	if l.chunked {
		l.write([]byte(lastChunk))
	}
	l.answered(l.ending)
}

// ---- the worker's side ----

// flow is the link's connection, once it carries something large.
func (l *server) flow() *flow { return l.c.(*flow) }

// attach begins to send a body that flows.
func (l *server) attach(u *upload) {
	l.up, l.sent, l.filled = u, u.base, false
	u.to, u.given = l, true
	l.moved = l.fleet.clock.Now()
	l.look(l.x)
	u.pass()
}

// detach leaves the body to another attempt, if there is one.
func (l *server) detach() {
	if l.up != nil && l.up.to == l {
		l.up.to = nil
	}
}

// pull sends on what the worker has room for.
func (l *server) pull() {
	u := l.up
	if u == nil || l.dead || l.filled {
		return
	}
	f, before := l.flow(), l.sent
	for !l.dead && len(f.out) < f.pump.window() && l.sent < u.base+len(u.held) {
		b := u.held[l.sent-u.base:]
		b = b[:min(len(b), flowRead)]
		l.sent += len(b)
		l.writing = true
		if u.length < 0 {
			l.fleet.out = appendChunk(l.fleet.out[:0], b)
			_, _ = send(f, l.fleet.out)
		} else {
			_, _ = send(f, b)
		}
		l.writing = false
	}
	if l.dead {
		return
	}
	if l.sent > before {
		l.stir()
	}
	if u.done && l.sent == u.base+len(u.held) {
		l.filled = true
		if u.length < 0 {
			l.writing = true
			_, _ = send(f, []byte(lastChunk))
			l.writing = false
		}
	}
	l.wrote()
}

// wrote tells the core once the last byte has left.
func (l *server) wrote() {
	if !l.dead && l.x != nil && l.whole() {
		l.fleet.core.Wrote(l.x)
	}
}

// whole tells whether all of the execution has left.
func (l *server) whole() bool {
	return l.c.OutboundBuffered() == 0 && (l.up == nil || l.filled)
}

// stir notes that bytes of the execution move.
func (l *server) stir() {
	now := l.fleet.clock.Now()
	l.moved = now
	if l.x != nil && now-l.told > tellMoving {
		l.told = now
		l.fleet.core.Progress(l.x)
	}
}

// drained implements flowing.
func (l *server) drained() {
	if u := l.up; u != nil {
		l.stir()
		l.pull()
		if l.up == u && u.client.up == u {
			u.pass()
		}
		return
	}
	l.wrote()
}

// look ends the link where nothing has moved on it for long: x is what it was for.
func (l *server) look(x *gatekeeper.Execution) {
	l.fleet.loop.after(flowLook, func() {
		switch now := l.fleet.clock.Now(); {
		case l.dead || l.x != x && l.down == nil:
		case l.x == x && (l.up == nil || l.filled): // its deadline is the core's matter
		case l.up != nil && l.x == x && !l.up.done && len(l.flow().out) == 0 && now-l.up.client.heardAt > l.up.client.set.stallMost():
			l.up.client.giveUp(&http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in"})
		case now-l.moved > flowStall:
			l.shut()
		default:
			l.look(x)
		}
	})
}

// consider has an answer flow that is too long to be held, or whose length is not known
// and that takes its time.
func (l *server) consider() {
	if l.dead || l.x == nil || l.down != nil || l.parser.Piece != nil || !l.parser.HeadDone() {
		return
	}
	m, now := l.parser.Message(), l.fleet.clock.Now()
	if l.headAt == 0 {
		l.headAt = now
		if m.Length < 0 {
			l.fleet.loop.after(holdAnswer, l.consider)
		}
	}
	if m.Length <= l.parser.Holds() && !l.parser.Full() && (m.Length >= 0 || now-l.headAt < holdAnswer) {
		return
	}
	switch mine, other := l.fleet.mine(l, l.x, m); {
	case other: // it is skipped at its end
		l.parser.Piece = func([]byte) {}
		return
	case !mine:
		l.shut()
		return
	}
	o := l.fleet.reader.Outcome(m)
	if o.Status != policy.OK {
		if m.Length <= l.parser.Holds() && !l.parser.Full() { // it may yet be passed on
			return
		}
		l.shed = true
		l.parser.Piece = func([]byte) {}
		return
	}
	x := l.x
	client, ok := x.Request.Caller.(*Client)
	if ok {
		var f *flow
		if f, ok = l.fleet.loop.leave(l.c, l); ok {
			l.c = f
			ok = client.flowFrom(l, o.Answer, m.Length)
		}
	}
	if !ok || l.dead {
		l.shut()
		return
	}
	whole := l.whole()
	l.x, l.part, x.Slot = nil, nil, nil
	l.down, l.serves, l.moved = client, x.Request, now
	if l.up != nil && !whole { // the worker answers what it has not read to the end
		l.cut = true
	}
	l.detach()
	l.up = nil
	l.parser.Piece = l.pass
	o.Answer = gatekeeper.Answer{}
	l.look(x)
	l.fleet.core.Begun(x, o)
	l.pass(l.parser.Held())
}

// pass gives a piece of the answer to the client.
func (l *server) pass(b []byte) {
	if l.down == nil || l.dead {
		return
	}
	l.moved = l.fleet.clock.Now()
	if !l.down.piece(b) && l.down != nil {
		l.flow().rest(true)
	}
}

// passed ends an answer that has flowed, whole or not.
func (l *server) passed(whole bool) {
	client, r := l.down, l.serves
	l.down, l.serves = nil, nil
	if !l.dead {
		l.flow().rest(false)
	}
	how := gatekeeper.Failed
	if whole {
		how = gatekeeper.Completed
	}
	l.fleet.core.Finish(r, how)
	client.over(whole)
}

// unread ends the link because the client has left in the middle of its answer.
func (l *server) unread() {
	r := l.serves
	l.down, l.serves = nil, nil
	l.fleet.core.Gone(r)
	l.shut()
}
