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
	settleFor  = 5.0
	settleWait = 2.0
)

// keepPart is the part of the time that a worker lets a link rest in which it is used:
// the worker's close takes its way too.
const keepPart = 0.8

// skipMost is how many answers to other requests a link may bring before the one that is
// due. More are a sign of a worker that is spoilt, not late.
const skipMost = 4

// partMost is how many milliseconds an answer that has begun may rest. Some come in
// pieces, so it is not for the whole of it.
const partMost = 200.0

// serial is the carrier of one execution at a time on a link, as the platform's
// protocol wants it.
type serial struct {
	w        *worker
	fleet    *Fleet
	idle     []*server // the one used last is taken first, so that the rest can age
	queue    []*gatekeeper.Execution
	openings int
	links    int
	settling bool // a link at rest is waited for
	opening  bool // open is under way
	again    bool // and was asked for again meanwhile
}

// server is a link of a serial carrier.
type server struct {
	fleet   *Fleet
	set     *serial
	addr    string
	born    float64 // when its opening began
	c       conn
	parser  *http1.Parser
	x       *gatekeeper.Execution
	part    *gatekeeper.Execution // whose answer has begun
	heard   float64               // last piece of it
	writing bool
	dead    bool
	since   float64 // idle since
	keep    float64 // for so long at most, by the worker's word
	kept    bool    // it gave one
	shed    bool    // the body of a failure was not held
	skipped int     // answers to other requests
	carried int     // executions

	up     *upload // that flows to the worker
	sent   int     // bytes of it
	filled bool    // all of it
	down   *Client // that the answer flows to
	serves *gatekeeper.Request
	headAt float64 // when the answer's head had come
	moved  float64 // when bytes of what flows last did
	told   float64 // when the core was last told so
	cut    bool    // the link is of no further use
}

func (s *serial) execute(x *gatekeeper.Execution) {
	if l := s.take(x, s.fleet.clock.Now()); l != nil {
		l.start(x)
		return
	}
	x.Slot = s
	s.queue = append(s.queue, x)
	s.open()
}

func (s *serial) moved() {
	for _, l := range slices.Clone(s.idle) {
		if !l.usable() {
			l.shut()
		}
	}
}

func (s *serial) release() {
	s.moved()
	for len(s.queue) > 0 { // a link that comes up by now would still be given them
		s.fleet.end(s.next(), policy.ConnectFailed)
	}
}

func (s *serial) empty() bool { return s.links == 0 && len(s.queue) == 0 }

func (s *serial) rested() (float64, bool) {
	if len(s.idle) == 0 {
		return 0, false
	}
	return s.idle[0].since, true
}

func (s *serial) retire() { s.idle[0].shut() }

func (s *serial) sweep(now float64) {
	for _, l := range slices.Clone(s.idle) {
		if l.stale(now) {
			l.shut()
		}
	}
	s.open()
}

// stale tells whether the worker may be closing the link by now, by its own word; or whether it has rested
// for longer than any may, as after a freeze of ours, before the sweep has seen it.
func (l *server) stale(now float64) bool {
	rest := now - l.since
	return !l.dead && (l.kept && rest >= l.keep || rest > l.fleet.idleMost)
}

// take is an idle link that can be used, the one used last of them. It guards against
// what a worker sends behind its answer: on a link used again at once that would be
// read as the answer to the next request. So a link rests a moment first, and one on
// which something has come by then, be it bytes or its end, is closed. A link that has
// carried the request before is left to others: a late second copy of the refusal that it
// had there states the same id, and would prove that it never runs while it does.
func (s *serial) take(x *gatekeeper.Execution, now float64) *server {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if i >= len(s.idle) { // to close one may have had others taken
			continue
		}
		l := s.idle[i]
		if now-l.since < s.fleet.Settle || l.knows(x) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if !l.stale(now) && l.usable() && unheard(l.c) {
			return l
		}
		l.shut()
	}
	return nil
}

// knows tells whether the link has carried an execution's request before.
func (l *server) knows(x *gatekeeper.Execution) bool {
	return slices.Contains(x.Request.Payload.(*Payload).on, l)
}

// next is the execution that has waited longest.
func (s *serial) next() *gatekeeper.Execution {
	x := s.queue[0]
	s.queue = slices.Delete(s.queue, 0, 1)
	return x
}

// open gives waiting executions the links at rest, and opens links until each of the
// others has one on its way, as far as the budget goes. It guards against itself: to
// close a link that is not quiet calls it again, and two such links at once had it take
// what the inner call had taken already.
func (s *serial) open() {
	if s.opening {
		s.again = true
		return
	}
	s.opening = true
	for s.again = true; s.again; {
		s.again = false
		s.serve()
	}
	s.opening = false
}

func (s *serial) serve() {
	f := s.fleet
	for i := 0; i < len(s.queue) && len(s.idle) > 0; {
		x := s.queue[i]
		l := s.take(x, f.clock.Now())
		if l == nil {
			i++
			continue
		}
		s.queue = slices.DeleteFunc(s.queue, func(o *gatekeeper.Execution) bool { return o == x })
		if !f.mayLeave(x) {
			l.rest()
			continue
		}
		l.start(x)
	}
	soon, now := 0, f.clock.Now()
	settles := -1.0 // until the next link has rested
	for _, l := range s.idle {
		left := f.Settle - (now - l.since)
		if left <= settleWait && !slices.ContainsFunc(s.queue, l.knows) {
			soon++
		}
		if left > 0 && settles < 0 {
			settles = left
		}
	}
	if len(s.queue) > 0 && settles >= 0 && !s.settling {
		s.settling = true
		f.loop.after(settles, func() {
			s.settling = false
			s.open()
		})
	}
	if len(s.queue) > 0 && f.PerWorker > 0 && s.links >= f.PerWorker {
		if i := slices.IndexFunc(s.idle, func(l *server) bool { return l.knows(s.queue[0]) }); i >= 0 {
			s.idle[i].shut() // for one that may carry it
		}
	}
	for s.openings+soon < len(s.queue) && (f.PerWorker == 0 || s.links < f.PerWorker) && f.room() {
		s.openings++
		f.openings++
		s.links++
		f.links++
		l := &server{fleet: f, set: s, addr: s.w.addr, born: now, parser: http1.Answers()}
		l.parser.Flows, l.parser.Limits = true, f.Limits
		f.loop.dial(s.w.addr, f.patience, l, l.failed)
	}
}

// abandon implements holder for what waits for a link.
func (s *serial) abandon(x *gatekeeper.Execution) (sent bool) {
	if i := slices.Index(s.queue, x); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return false
}

// abandon implements holder. The link is closed, so the execution is no longer out when
// this returns.
func (l *server) abandon(x *gatekeeper.Execution) (sent bool) {
	if l.x == x {
		l.x = nil
		sent = l.whole()
		l.detach()
		l.shut()
	}
	return sent
}

func (l *server) opened(c conn) {
	l.c = c
	l.set.openings--
	l.fleet.openings--
	for l.usable() && len(l.set.queue) > 0 {
		if x := l.set.next(); l.fleet.mayLeave(x) {
			l.start(x)
			return
		}
	}
	l.rest()
}

// unheard tells whether nothing has come on a connection that has not been read yet.
func unheard(c conn) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// usable tells whether new executions may go out on the link.
func (l *server) usable() bool { return !l.dead && l.set.w.takes(l.addr, l.born) }

// failed reports a connection that did not come up.
func (l *server) failed(error) {
	f, s := l.fleet, l.set
	s.openings--
	f.openings--
	l.ended()
	if l.addr != s.w.addr { // that says nothing of where the worker listens now
		s.open()
		return
	}
	if len(s.queue) > s.openings {
		f.end(s.next(), policy.ConnectFailed)
	}
}

// ended takes a link out of the counts.
func (l *server) ended() {
	l.dead = true
	l.set.links--
	l.fleet.links--
	l.fleet.drop(l.set.w)
}

// rest keeps the link for a later execution, or ends it where there will be none.
func (l *server) rest() {
	if !l.usable() {
		l.shut()
		return
	}
	l.since = l.fleet.clock.Now()
	l.set.idle = append(l.set.idle, l)
	l.set.open()
}

// start writes an execution.
func (l *server) start(x *gatekeeper.Execution) {
	l.parser.Reset()
	l.x, x.Slot, l.headAt, l.up, l.shed = x, l, 0, nil, false
	p := x.Request.Payload.(*Payload)
	p.on = append(p.on, l)
	l.carried++
	l.parser.Bare = bytes.HasPrefix(p.Head, []byte("HEAD "))
	flows := p.Up != nil
	if flows {
		p.Up.given = true
		f, ok := l.fleet.loop.leave(l.c, l)
		if !ok {
			l.shut()
			return
		}
		l.c = f
	}
	out := l.fleet.message(l.fleet.out[:0], x, "", 0)
	l.fleet.out = out
	l.writing = true
	_, _ = send(l.c, out) // a failed write closes the link
	l.writing = false
	switch {
	case l.dead || l.x != x:
		return
	case flows:
		l.attach(p.Up)
	default:
		l.wrote()
	}
	if l.fleet.Sent != nil {
		l.fleet.Sent(x)
	}
}

// message appends an execution as an HTTP/1.1 request. A turn is stated in the header
// that echo names, unless that is empty.
func (f *Fleet) message(out []byte, x *gatekeeper.Execution, echo string, turn uint64) []byte {
	p := x.Request.Payload.(*Payload)
	out = append(out, p.Head...)
	if w := f.workers[x.Worker]; w != nil {
		out = append(out, w.lines...)
	}
	if echo != "" {
		out = append(append(out, echo...), ": "...)
		out = append(strconv.AppendUint(out, turn, 10), "\r\n"...)
	}
	out = append(append(out, f.reader.Left()...), ": "...)
	out = strconv.AppendInt(out, int64(max(x.Timeout, 1)), 10)
	return append(append(out, "\r\n\r\n"...), p.Body...)
}

func (l *server) traffic(b []byte) {
	for !l.dead {
		if l.x == nil && l.down == nil { // nothing was asked
			l.shut()
			return
		}
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		switch {
		case l.dead:
		case err != nil:
			l.shut()
		case done && l.skips():
		case done:
			l.answered(len(b) > 0)
			return
		case l.x != nil && l.parser.Started():
			l.heard = l.fleet.clock.Now()
			if l.part != l.x {
				l.part = l.x
				l.hurry()
			}
			l.consider()
		}
		if len(b) == 0 {
			return
		}
	}
}

// hurry ends the link where an answer has begun and nothing more comes: a spoilt one
// may claim more bytes than it has, and would be waited for as long as the client waits.
func (l *server) hurry() {
	if l.dead || l.x == nil || l.part != l.x {
		return
	}
	left := l.heard + l.fleet.PartMost - l.fleet.clock.Now()
	if left <= 0 {
		l.shut()
		return
	}
	l.fleet.loop.after(left, l.hurry)
}

// skips passes over a whole answer that is not the one due: it states another request's id,
// so the one due is still to come, and the link ends behind that. An answer that states
// none at all may be anyone's, and ends the link at once. It guards against a worker's
// late extra answer going to the client of another request.
func (l *server) skips() bool {
	if l.x == nil {
		return false
	}
	mine, other := l.fleet.mine(l, l.x, l.parser.Message())
	if mine {
		return false
	}
	if l.skipped++; !other || l.skipped > skipMost {
		l.shut()
		return true
	}
	l.parser.Reset()
	l.cut, l.part, l.headAt = true, nil, 0
	return true
}

func (l *server) answered(more bool) {
	if l.down != nil {
		more = more || l.cut || l.parser.Message().Close
		l.keeps(l.parser.Message())
		l.passed(true)
		if l.dead {
			return
		}
		if more {
			l.shut()
		} else {
			l.rest()
		}
		return
	}
	x := l.x
	more = more || l.cut || !l.whole()
	l.detach()
	l.up = nil
	l.x, l.part, x.Slot = nil, nil, nil
	m := l.parser.Message()
	o := l.outcome(m)
	l.keeps(m)
	if m.Close || more {
		l.shut()
	} else { // The body holds until the next bytes come in.
		l.rest()
	}
	l.fleet.core.Done(x, o)
}

// ending takes an answer that is whole because its connection has properly ended.
func (l *server) ending(m *http1.Message) {
	x := l.x
	l.x = nil
	l.ended()
	mine := true
	if x != nil {
		mine, _ = l.fleet.mine(l, x, m)
	}
	switch {
	case x == nil:
		l.passed(true)
	case !mine:
		l.fleet.end(x, policy.Reset)
	default:
		x.Slot = nil
		l.fleet.core.Done(x, l.outcome(m))
	}
	l.set.open()
}

// outcome reads an answer. A failure whose body is not there is not one to be passed on.
func (l *server) outcome(m *http1.Message) gatekeeper.Outcome {
	o := l.fleet.reader.Outcome(m)
	if l.shed {
		o.Answer = gatekeeper.Answer{}
	}
	return o
}

// keeps takes note of how long the worker lets the link rest, in whole seconds.
func (l *server) keeps(m *http1.Message) {
	if l.kept = false; !l.fleet.KeepAlive {
		return
	}
	for v := range bytes.SplitSeq(m.Get("Keep-Alive"), []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(v), []byte{'='})
		n, err := strconv.ParseUint(string(value), 10, 20)
		if err == nil && bytes.EqualFold(name, []byte("timeout")) {
			l.kept, l.keep = true, float64(n)*1000*keepPart
		}
	}
}

func (l *server) shut() {
	if !l.dead {
		l.fleet.loop.shut(l.c)
	}
}

func (l *server) closed(err error) {
	if (l.x != nil || l.down != nil) && errors.Is(err, io.EOF) && l.parser.End() {
		l.ending(l.parser.Message())
		return
	}
	x := l.x
	if i := slices.Index(l.set.idle, l); i >= 0 {
		l.set.idle = slices.Delete(l.set.idle, i, i+1)
	}
	left := l.writing || !l.whole() // its last byte never left
	l.detach()
	cutOff(l.c)
	l.ended()
	if l.down != nil {
		l.passed(false)
	}
	l.set.open()
	if x == nil {
		return
	}
	l.x = nil
	st := policy.Reset
	if left {
		st = policy.ConnectFailed
	}
	l.fleet.end(x, st)
}
