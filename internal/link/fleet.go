package link

import (
	"syscall"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/lanes"
	"foxwood/policy"
)

// Payload is a request as workers get it, built once by its front: whole header
// lines from the request line on, without the time left, and the body.
type Payload struct {
	Head, Body []byte
	Up         *upload // in the place of the body, where that flows

	on []*server // links that have carried it
}

// Reader turns a worker's answer into an outcome.
type Reader interface {
	Outcome(m *http1.Message) gatekeeper.Outcome
	// Left names the header that tells a worker how long it is waited for.
	Left() string
}

// Matcher is a Reader that tells by an answer's head whose it is. Only the carrier of one
// execution at a time asks it.
type Matcher interface {
	// Mine tells whether m answers x, or states that it answers another request. Where
	// neither holds it is nobody's, and x is taken for one that may have run. only tells that
	// x is all that the link has ever carried: nothing else can have been answered there.
	Mine(x *gatekeeper.Execution, m *http1.Message, only bool) (mine, other bool)
}

// carrier carries executions to one worker, over links of one kind. Every execution
// that it takes ends once: with Gatekeeper.Done, or given up through its holder.
type carrier interface {
	// execute sends an execution, or keeps it until a link can take it.
	execute(x *gatekeeper.Execution)
	// moved tells that the worker listens elsewhere from now on, or is another process:
	// links to what it was finish what they hold and get nothing new.
	moved()
	// release tells that the worker takes nothing new: what has not been sent ends as
	// never run, and links at rest are closed.
	release()
	// sweep does what is due now and then.
	sweep(now float64)
	// rested is since when the link that has rested longest does; ok is false where
	// none rests.
	rested() (since float64, ok bool)
	// retire closes that link.
	retire()
	// empty tells that there is neither a link nor an execution.
	empty() bool
}

// holder is where an execution is: a queue or a link. It is the execution's Slot.
type holder interface {
	// abandon gives an execution up. When it returns the execution is no longer out. It
	// tells whether the whole of it was on its way to the worker.
	abandon(x *gatekeeper.Execution) (sent bool)
}

// Fleet holds the server links. It implements gatekeeper.Fleet.
type Fleet struct {
	loop      driver
	core      Core
	reader    Reader
	clock     *gatekeeper.Clock
	transport Transport
	table     *lanes.Table
	workers   map[policy.Server]*worker
	patience  time.Duration // for a connection to come up
	idleMost  float64       // milliseconds that a link may rest
	links     int           // open or being opened
	openings  int
	out       []byte
	matcher   Matcher // nil where the reader is none

	// What follows may be set before the first execution, and concerns the carrier of one
	// execution at a time. Times are in milliseconds.

	// PartMost is how long an answer that has begun may rest before it is cut off.
	PartMost float64
	// Settle is how long a link rests before it is used again.
	Settle float64
	// KeepAlive has links rest no longer than most of the time that the worker's Keep-Alive
	// gives them.
	KeepAlive bool
	// PerWorker is the most links to one worker at once, 0 for no such bound. Executions
	// beyond wait for one.
	PerWorker int
	// Limits is in the place of the parser's constants for answers; nil for those.
	Limits *http1.Limits
	// Sent, where set, is told of each execution that was written to a worker, after it was.
	Sent func(x *gatekeeper.Execution)
}

// worker is one server and what carries executions to it.
type worker struct {
	fleet *Fleet
	id    policy.Server
	addr  string
	since float64 // when its process started: an older link leads to one that has ended
	lines []byte  // whole header lines that its executions carry
	gone  bool
	carry carrier
}

// takes tells whether a link that was opened at a time may carry something new.
func (w *worker) takes(addr string, born float64) bool {
	return !w.gone && addr == w.addr && born >= w.since
}

// NewFleet makes a fleet without workers. Links are retired when they have rested
// for idleMost milliseconds.
func NewFleet(l driver, clock *gatekeeper.Clock, r Reader, connectMost, idleMost float64, t Transport) *Fleet {
	f := &Fleet{loop: l, clock: clock, reader: r, workers: map[policy.Server]*worker{}, transport: t.filled(),
		patience: time.Duration(connectMost * float64(time.Millisecond)), idleMost: idleMost,
		PartMost: partMost, Settle: settleFor}
	f.matcher, _ = r.(Matcher)
	f.table = lanes.NewTable(f.terms)
	return f
}

// Core is what a fleet needs of the gatekeeper's core.
type Core interface {
	// Done ends an execution.
	Done(x *gatekeeper.Execution, o gatekeeper.Outcome)
	// Wrote tells that the last byte of an execution has left.
	Wrote(x *gatekeeper.Execution)
	// MayLeave tells whether an execution that has waited for a link may still be written.
	MayLeave(x *gatekeeper.Execution) bool
	// Progress tells that bytes of an execution move.
	Progress(x *gatekeeper.Execution)
	// Begun tells that an answer has begun to flow to its caller, Finish how that ended,
	// and Gone that the caller left.
	Begun(x *gatekeeper.Execution, o gatekeeper.Outcome)
	Finish(r *gatekeeper.Request, how gatekeeper.End)
	Gone(r *gatekeeper.Request)
	// Class is the terms of a class.
	Class(class int) policy.Class
}

// Attach names the core that the fleet reports to.
func (f *Fleet) Attach(core Core) { f.core = core }

// terms is what a class's requests bear on a link that they share. A keyed request
// bears it where every worker drops its repeats for as long as a repeat could come.
func (f *Fleet) terms(class int) lanes.Terms {
	c := f.core.Class(class)
	share := c.Repeat == policy.Safe || c.Repeat == policy.Keyed && c.Group == policy.GroupAll && c.Window >= c.Deadline
	return lanes.Terms{Aim: float64(c.Aim) / 1000, Share: share}
}

// Place tells where a worker that takes work listens, and when its process started.
func (f *Fleet) Place(id policy.Server, addr string, since float64) {
	w := f.worker(id)
	w.gone = false
	since = min(since, f.clock.Now()) // or links would be old from the start
	if w.addr != addr || w.since != since {
		w.addr, w.since = addr, since
		w.carry.moved()
	}
}

// Lines names whole header lines that every execution to a worker carries, before the time
// left. They are forgotten with the worker, so each Place that follows a Release needs them
// again. Carriers that are not of HTTP/1.1 leave them out.
func (f *Fleet) Lines(id policy.Server, lines []byte) { f.worker(id).lines = lines }

// worker is the record of a worker, made as one that takes nothing where there is none.
func (f *Fleet) worker(id policy.Server) *worker {
	w := f.workers[id]
	if w == nil {
		w = &worker{fleet: f, id: id, gone: true}
		w.carry = f.carrier(w)
		f.workers[id] = w
	}
	return w
}

// mine tells whether an answer that a link brings is an execution's, or another request's.
func (f *Fleet) mine(l *server, x *gatekeeper.Execution, m *http1.Message) (mine, other bool) {
	if f.matcher == nil {
		return true, false
	}
	mine, other = f.matcher.Mine(x, m, l.carried == 1)
	return mine, other && !mine
}

func (f *Fleet) carrier(w *worker) carrier {
	if f.transport.Carrier == OneAtATime {
		return &serial{w: w, fleet: f}
	}
	return newShared(w)
}

// Release implements gatekeeper.Fleet.
func (f *Fleet) Release(id policy.Server) {
	if w := f.workers[id]; w != nil {
		w.gone = true
		w.carry.release()
		f.drop(w)
	}
}

// drop forgets a worker that is gone, once nothing is left of it.
func (f *Fleet) drop(w *worker) {
	if w.gone && w.carry.empty() && f.workers[w.id] == w {
		delete(f.workers, w.id)
	}
}

// Execute implements gatekeeper.Fleet.
func (f *Fleet) Execute(x *gatekeeper.Execution) {
	w := f.workers[x.Worker]
	if p, ok := x.Request.Payload.(*Payload); ok && p.Up != nil && f.transport.Carrier != OneAtATime {
		f.end(x, policy.ConnectFailed) // fronts do not hand such to other transports
		return
	}
	if w == nil {
		f.end(x, policy.ConnectFailed)
		return
	}
	w.carry.execute(x)
}

// Abandon implements gatekeeper.Fleet.
func (f *Fleet) Abandon(x *gatekeeper.Execution) (sent bool) {
	if h, ok := x.Slot.(holder); ok {
		x.Slot = nil
		return h.abandon(x)
	}
	return false
}

// end reports an execution that got no answer.
func (f *Fleet) end(x *gatekeeper.Execution, st policy.Status) {
	x.Slot = nil
	f.core.Done(x, gatekeeper.Outcome{Status: st})
}

// mayLeave tells whether an execution that has waited may be written, and ends it as one that never ran if not.
func (f *Fleet) mayLeave(x *gatekeeper.Execution) bool {
	if f.core.MayLeave(x) {
		return true
	}
	f.end(x, policy.Moot)
	return false
}

// room tells whether another link may be opened, and closes one at rest for it where
// that is what it takes.
func (f *Fleet) room() bool {
	return f.openings < f.loop.openings() && (f.links < f.loop.servers() || f.spare())
}

// spare closes an idle link to make room for another.
func (f *Fleet) spare() bool {
	var oldest carrier
	since := 0.0
	for _, w := range f.workers {
		if at, ok := w.carry.rested(); ok && (oldest == nil || at < since) {
			oldest, since = w.carry, at
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retire()
	return true
}

// Sweep retires links that have rested long: a worker closes them soon after, and
// a request written then would be lost.
func (f *Fleet) Sweep() {
	now := f.clock.Now()
	for _, w := range f.workers {
		for {
			at, ok := w.carry.rested()
			if !ok || now-at <= f.idleMost {
				break
			}
			w.carry.retire()
		}
		w.carry.sweep(now)
	}
}

// cutOff sees to it that nothing more leaves by a link that ends. It guards against
// gnet's close, which writes what is still buffered after OnClose: an execution that was
// reported as never sent whole would yet arrive whole.
func cutOff(c conn) {
	if c.OutboundBuffered() > 0 {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR)
	}
}
