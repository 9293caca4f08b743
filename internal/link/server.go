package link

import (
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

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

// partMost is how many milliseconds an answer that has begun may rest. Some come in
// pieces, so it is not for the whole of it.
const partMost = 200.0

// Payload is a request as workers get it, built once by its front: whole header
// lines from the request line on, without the time left, and the body.
type Payload struct {
	Head, Body []byte
}

// Reader turns a worker's answer into an outcome.
type Reader interface {
	Outcome(m *http1.Message) gatekeeper.Outcome
	// Left names the header that tells a worker how long it is waited for.
	Left() string
}

// Fleet holds the server links. It implements gatekeeper.Fleet.
type Fleet struct {
	loop      *Loop
	core      *gatekeeper.Gatekeeper
	reader    Reader
	clock     *gatekeeper.Clock
	workers   map[policy.Server]*worker
	patience  time.Duration // for a connection to come up
	idleMost  float64       // milliseconds that a link may rest
	links     int           // open or being opened
	openings  int
	out       []byte
	transport Transport
}

// worker is one server and the links to it.
type worker struct {
	id       policy.Server
	addr     string
	gone     bool
	idle     []*server // the one used last is taken first, so that the rest can age
	queue    []*gatekeeper.Execution
	openings int
	links    int
	settling bool // a link at rest is waited for
}

// server is a server link. It carries one execution at a time.
type server struct {
	fleet   *Fleet
	w       *worker
	addr    string
	c       gnet.Conn
	parser  *http1.Parser
	x       *gatekeeper.Execution
	part    *gatekeeper.Execution // whose answer has begun
	heard   float64               // last piece of it
	writing bool
	dead    bool
	since   float64 // idle since
}

// NewFleet makes a fleet without workers. Links are retired when they have rested
// for idleMost milliseconds.
func NewFleet(l *Loop, clock *gatekeeper.Clock, r Reader, connectMost, idleMost float64, t Transport) *Fleet {
	return &Fleet{loop: l, clock: clock, reader: r, workers: map[policy.Server]*worker{}, transport: t.filled(),
		patience: time.Duration(connectMost * float64(time.Millisecond)), idleMost: idleMost}
}

// Attach names the core that the fleet reports to.
func (f *Fleet) Attach(core *gatekeeper.Gatekeeper) { f.core = core }

// Place tells where a worker listens.
func (f *Fleet) Place(id policy.Server, addr string) {
	w := f.workers[id]
	if w == nil {
		w = &worker{id: id}
		f.workers[id] = w
	}
	w.gone = false
	if w.addr != addr {
		w.addr = addr
		w.closeIdle()
	}
}

// Release implements gatekeeper.Fleet.
func (f *Fleet) Release(id policy.Server) {
	if w := f.workers[id]; w != nil {
		w.gone = true
		w.closeIdle()
		for len(w.queue) > 0 { // a link that comes up by now would still be given them
			x := w.next()
			x.Slot = nil
			f.core.Done(x, gatekeeper.Outcome{Status: policy.ConnectFailed})
		}
		f.drop(w)
	}
}

func (f *Fleet) drop(w *worker) {
	if w.gone && w.links == 0 && len(w.queue) == 0 && f.workers[w.id] == w {
		delete(f.workers, w.id)
	}
}

func (w *worker) closeIdle() {
	for len(w.idle) > 0 {
		w.idle[len(w.idle)-1].shut()
	}
}

// Execute implements gatekeeper.Fleet.
func (f *Fleet) Execute(x *gatekeeper.Execution) {
	w := f.workers[x.Worker]
	if w == nil {
		f.core.Done(x, gatekeeper.Outcome{Status: policy.ConnectFailed})
		return
	}
	if l := w.take(f.clock.Now()); l != nil {
		l.start(x)
		return
	}
	x.Slot = w
	w.queue = append(w.queue, x)
	f.open(w)
}

// take is an idle link that can be used, the one used last of them. It guards against
// what a worker sends behind its answer: on a link used again at once that would be
// read as the answer to the next request. So a link rests a moment first, and one on
// which something has come by then, be it bytes or its end, is closed.
func (w *worker) take(now float64) *server {
	for i := len(w.idle) - 1; i >= 0; i-- {
		l := w.idle[i]
		if now-l.since < settleFor {
			continue
		}
		w.idle = slices.Delete(w.idle, i, i+1)
		if l.quiet() {
			return l
		}
		l.shut()
	}
	return nil
}

// next is the execution that has waited longest.
func (w *worker) next() *gatekeeper.Execution {
	x := w.queue[0]
	w.queue = slices.Delete(w.queue, 0, 1)
	return x
}

// open gives waiting executions the links at rest, and opens links until each of the
// others has one on its way, as far as the budget goes.
func (f *Fleet) open(w *worker) {
	for len(w.queue) > 0 {
		l := w.take(f.clock.Now())
		if l == nil {
			break
		}
		l.start(w.next())
	}
	soon, now := 0, f.clock.Now()
	for _, l := range w.idle {
		if now-l.since >= settleFor-settleWait {
			soon++
		}
	}
	if len(w.queue) > 0 && len(w.idle) > 0 && !w.settling {
		w.settling = true
		f.loop.after(settleFor-(now-w.idle[0].since), func() {
			w.settling = false
			f.open(w)
		})
	}
	for w.openings+soon < len(w.queue) && f.openings < openingsMost {
		if f.links >= f.loop.Budget.Servers && !f.spare() {
			return
		}
		w.openings++
		f.openings++
		w.links++
		f.links++
		l := &server{fleet: f, w: w, addr: w.addr, parser: http1.Answers()}
		f.loop.dial(w.addr, f.patience, l, l.failed)
	}
}

// spare closes an idle link to make room for another.
func (f *Fleet) spare() bool {
	var oldest *server
	for _, w := range f.workers {
		if len(w.idle) > 0 && (oldest == nil || w.idle[0].since < oldest.since) {
			oldest = w.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.shut()
	return true
}

// Abandon implements gatekeeper.Fleet. The link is closed, so the execution is no
// longer out when this returns.
func (f *Fleet) Abandon(x *gatekeeper.Execution) (sent bool) {
	switch at := x.Slot.(type) {
	case *worker:
		if i := slices.Index(at.queue, x); i >= 0 {
			at.queue = slices.Delete(at.queue, i, i+1)
		}
	case *server:
		if at.x == x {
			at.x = nil
			sent = at.c.OutboundBuffered() == 0
			at.shut()
		}
	}
	x.Slot = nil
	return sent
}

// Sweep retires links that have rested long: a worker closes them soon after, and
// a request written then would be lost.
func (f *Fleet) Sweep() {
	now := f.clock.Now()
	for _, w := range f.workers {
		for len(w.idle) > 0 && now-w.idle[0].since > f.idleMost {
			w.idle[0].shut()
		}
		f.open(w)
	}
}

func (l *server) opened(c gnet.Conn) {
	l.c = c
	l.w.openings--
	l.fleet.openings--
	if l.usable() && len(l.w.queue) > 0 {
		l.start(l.w.next())
		return
	}
	l.rest()
}

// quiet tells whether nothing has come on the link that has not been read yet.
func (l *server) quiet() bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(l.c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// usable tells whether new executions may go out on the link.
func (l *server) usable() bool { return !l.dead && !l.w.gone && l.addr == l.w.addr }

// failed reports a connection that did not come up.
func (l *server) failed(error) {
	f, w := l.fleet, l.w
	w.openings--
	f.openings--
	l.ended()
	if len(w.queue) > w.openings {
		x := w.next()
		x.Slot = nil
		f.core.Done(x, gatekeeper.Outcome{Status: policy.ConnectFailed})
	}
}

// ended takes a link out of the counts.
func (l *server) ended() {
	l.dead = true
	l.w.links--
	l.fleet.links--
	l.fleet.drop(l.w)
}

// rest keeps the link for a later execution, or ends it where there will be none.
func (l *server) rest() {
	if !l.usable() {
		l.shut()
		return
	}
	l.since = l.fleet.clock.Now()
	l.w.idle = append(l.w.idle, l)
	l.fleet.open(l.w)
}

// start writes an execution.
func (l *server) start(x *gatekeeper.Execution) {
	l.parser.Reset()
	l.x, x.Slot = x, l
	p := x.Request.Payload.(*Payload)
	out := append(l.fleet.out[:0], p.Head...)
	out = append(append(out, l.fleet.reader.Left()...), ": "...)
	out = strconv.AppendInt(out, int64(max(x.Timeout, 1)), 10)
	out = append(append(out, "\r\n\r\n"...), p.Body...)
	l.fleet.out = out
	l.writing = true
	_, _ = l.c.Write(out) // a failed write closes the link
	l.writing = false
}

func (l *server) traffic(b []byte) {
	if l.x == nil { // nothing was asked
		l.shut()
		return
	}
	n, done, err := l.parser.Feed(b)
	switch {
	case err != nil:
		l.shut()
	case done:
		l.answered(n < len(b))
	case l.parser.Started():
		l.heard = l.fleet.clock.Now()
		if l.part != l.x {
			l.part = l.x
			l.hurry()
		}
	}
}

// hurry ends the link where an answer has begun and nothing more comes: a spoilt one
// may claim more bytes than it has, and would be waited for as long as the client waits.
func (l *server) hurry() {
	if l.dead || l.x == nil || l.part != l.x {
		return
	}
	left := l.heard + partMost - l.fleet.clock.Now()
	if left <= 0 {
		l.shut()
		return
	}
	l.fleet.loop.after(left, l.hurry)
}

func (l *server) answered(more bool) {
	x := l.x
	l.x, l.part, x.Slot = nil, nil, nil
	m := l.parser.Message()
	o := l.fleet.reader.Outcome(m)
	if m.Close || more {
		l.shut()
	} else { // The body holds until the next bytes come in.
		l.rest()
	}
	l.fleet.core.Done(x, o)
}

func (l *server) shut() {
	if !l.dead {
		l.fleet.loop.shut(l.c)
	}
}

func (l *server) closed(error) {
	w, x := l.w, l.x
	if i := slices.Index(w.idle, l); i >= 0 {
		w.idle = slices.Delete(w.idle, i, i+1)
	}
	l.ended()
	l.fleet.open(w)
	if x == nil {
		return
	}
	l.x, x.Slot = nil, nil
	st := policy.Reset
	if l.writing || l.c.OutboundBuffered() > 0 { // its last byte never left
		st = policy.ConnectFailed
	}
	l.fleet.core.Done(x, gatekeeper.Outcome{Status: st})
}
