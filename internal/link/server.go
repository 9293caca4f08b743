package link

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

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
	loop     *Loop
	core     *gatekeeper.Gatekeeper
	reader   Reader
	clock    *gatekeeper.Clock
	workers  map[policy.Server]*worker
	patience time.Duration // for a connection to come up
	idleMost float64       // milliseconds that a link may rest
	links    int           // open or being opened
	openings int
	out      []byte
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
}

// server is a server link. It carries one execution at a time.
type server struct {
	fleet   *Fleet
	w       *worker
	addr    string
	c       gnet.Conn
	parser  *http1.Parser
	x       *gatekeeper.Execution
	writing bool
	dead    bool
	since   float64 // idle since
}

// NewFleet makes a fleet without workers. Links are retired when they have rested
// for idleMost milliseconds.
func NewFleet(l *Loop, clock *gatekeeper.Clock, r Reader, connectMost, idleMost float64) *Fleet {
	return &Fleet{loop: l, clock: clock, reader: r, workers: map[policy.Server]*worker{},
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
	if n := len(w.idle); n > 0 {
		l := w.idle[n-1]
		w.idle = w.idle[:n-1]
		l.start(x)
		return
	}
	x.Slot = w
	w.queue = append(w.queue, x)
	f.open(w)
}

// open opens links until each waiting execution has one on its way, as far as the
// budget goes.
func (f *Fleet) open(w *worker) {
	for w.openings < len(w.queue) && f.openings < openingsMost {
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
	l.free()
}

// failed reports a connection that did not come up.
func (l *server) failed(error) {
	f, w := l.fleet, l.w
	w.openings--
	f.openings--
	l.ended()
	if len(w.queue) > w.openings {
		x := w.queue[0]
		w.queue = slices.Delete(w.queue, 0, 1)
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

// free gives the link to the next execution that waits, or lets it rest.
func (l *server) free() {
	w := l.w
	switch {
	case len(w.queue) > 0:
		x := w.queue[0]
		w.queue = slices.Delete(w.queue, 0, 1)
		l.start(x)
	case w.gone || l.addr != w.addr:
		l.shut()
	default:
		l.since = l.fleet.clock.Now()
		w.idle = append(w.idle, l)
	}
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
	}
}

func (l *server) answered(more bool) {
	x := l.x
	l.x, x.Slot = nil, nil
	m := l.parser.Message()
	o := l.fleet.reader.Outcome(m)
	if m.Close || more {
		l.shut()
	} else {
		// before the core decides anew: it may want this very link. The body holds
		// until the next bytes come in.
		l.free()
	}
	l.fleet.core.Done(x, o)
}

func (l *server) shut() {
	if !l.dead {
		l.fleet.loop.shut(l.c)
	}
}

func (l *server) closed(err error) {
	w, x := l.w, l.x
	if x != nil && errors.Is(err, io.EOF) && l.parser.End() {
		l.dead = true
		l.answered(false)
		x = nil
	}
	if i := slices.Index(w.idle, l); i >= 0 {
		w.idle = slices.Delete(w.idle, i, i+1)
	}
	l.ended()
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
