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

	carriedBy []*workerConn // links that have carried it
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
type connPool interface {
	// execute sends an execution, or keeps it until a link can take it.
	execute(x *gatekeeper.Execution)
	// moved tells that the worker listens elsewhere from now on, or is another process:
	// links to what it was finish what they hold and get nothing new.
	addressChanged()
	// release tells that the worker takes nothing new: what has not been sent ends as
	// never run, and links at rest are closed.
	release()
	// sweep does what is due now and then.
	sweep(now float64)
	// rested is since when the link that has rested longest does; ok is false where
	// none rests.
	idleSince() (since float64, ok bool)
	// retire closes that link.
	closeOldestIdle()
	// empty tells that there is neither a link nor an execution.
	empty() bool
}

// holder is where an execution is: a queue or a link. It is the execution's Slot.
type executionHolder interface {
	// abandon gives an execution up. When it returns the execution is no longer out. It
	// tells whether the whole of it was on its way to the worker.
	abandon(x *gatekeeper.Execution) (sent bool)
}

// Fleet holds the server links. It implements gatekeeper.Fleet.
type Fleet struct {
	loop        eventLoop
	core        Core
	reader      Reader
	clock       *gatekeeper.Clock
	transport   Transport
	estimator   *lanes.Table
	workers     map[policy.Server]*workerRecord
	dialTimeout time.Duration // for a connection to come up
	maxIdleMS   float64       // milliseconds that a link may rest
	connCount   int           // open or being opened
	dialing     int
	scratch     []byte
	matcher     Matcher // nil where the reader is none

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
type workerRecord struct {
	fleet       *Fleet
	id          policy.Server
	addr        string
	startedAt   float64 // when its process started: an older link leads to one that has ended
	headerLines []byte  // whole header lines that its executions carry
	released    bool
	pool        connPool
}

// takes tells whether a link that was opened at a time may carry something new.
func (w *workerRecord) accepts(addr string, born float64) bool {
	return !w.released && addr == w.addr && born >= w.startedAt
}

// NewFleet makes a fleet without workers. Links are retired when they have rested
// for idleMost milliseconds.
func NewFleet(l eventLoop, clock *gatekeeper.Clock, r Reader, connectMost, idleMost float64, t Transport) *Fleet {
	f := &Fleet{loop: l, clock: clock, reader: r, workers: map[policy.Server]*workerRecord{}, transport: t.withDefaults(),
		dialTimeout: time.Duration(connectMost * float64(time.Millisecond)), maxIdleMS: idleMost,
		PartMost: maxPartialMS, Settle: settleMS}
	f.matcher, _ = r.(Matcher)
	f.estimator = lanes.NewTable(f.terms)
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
	worker := f.worker(id)
	worker.released = false
	since = min(since, f.clock.Now()) // or links would be old from the start
	if worker.addr != addr || worker.startedAt != since {
		worker.addr, worker.startedAt = addr, since
		worker.pool.addressChanged()
	}
}

// Lines names whole header lines that every execution to a worker carries, before the time
// left. They are forgotten with the worker, so each Place that follows a Release needs them
// again. Carriers that are not of HTTP/1.1 leave them out.
func (f *Fleet) Lines(id policy.Server, lines []byte) { f.worker(id).headerLines = lines }

// worker is the record of a worker, made as one that takes nothing where there is none.
func (f *Fleet) worker(id policy.Server) *workerRecord {
	worker := f.workers[id]
	if worker == nil {
		worker = &workerRecord{fleet: f, id: id, released: true}
		worker.pool = f.newPool(worker)
		f.workers[id] = worker
	}
	return worker
}

// mine tells whether an answer that a link brings is an execution's, or another request's.
func (f *Fleet) matches(conn *workerConn, execution *gatekeeper.Execution, message *http1.Message) (mine, other bool) {
	if f.matcher == nil {
		return true, false
	}
	mine, other = f.matcher.Mine(execution, message, conn.executions == 1)
	return mine, other && !mine
}

func (f *Fleet) newPool(w *workerRecord) connPool {
	if f.transport.Carrier == OneAtATime {
		return &serialPool{worker: w, fleet: f}
	}
	return newMuxPool(w)
}

// Release implements gatekeeper.Fleet.
func (f *Fleet) Release(id policy.Server) {
	if w := f.workers[id]; w != nil {
		w.released = true
		w.pool.release()
		f.forget(w)
	}
}

// drop forgets a worker that is gone, once nothing is left of it.
func (f *Fleet) forget(w *workerRecord) {
	if w.released && w.pool.empty() && f.workers[w.id] == w {
		delete(f.workers, w.id)
	}
}

// Execute implements gatekeeper.Fleet.
func (f *Fleet) Execute(execution *gatekeeper.Execution) {
	worker := f.workers[execution.Worker]
	if p, ok := execution.Request.Payload.(*Payload); ok && p.Up != nil && f.transport.Carrier != OneAtATime {
		f.endUnanswered(execution, policy.ConnectFailed) // fronts do not hand such to other transports
		return
	}
	if worker == nil {
		f.endUnanswered(execution, policy.ConnectFailed)
		return
	}
	worker.pool.execute(execution)
}

// Abandon implements gatekeeper.Fleet.
func (f *Fleet) Abandon(execution *gatekeeper.Execution) (sent bool) {
	if h, ok := execution.Slot.(executionHolder); ok {
		execution.Slot = nil
		return h.abandon(execution)
	}
	return false
}

// end reports an execution that got no answer.
func (f *Fleet) endUnanswered(execution *gatekeeper.Execution, status policy.Status) {
	execution.Slot = nil
	f.core.Done(execution, gatekeeper.Outcome{Status: status})
}

// mayLeave tells whether an execution that has waited may be written, and ends it as one that never ran if not.
func (f *Fleet) checkSend(execution *gatekeeper.Execution) bool {
	if f.core.MayLeave(execution) {
		return true
	}
	f.endUnanswered(execution, policy.Moot)
	return false
}

// room tells whether another link may be opened, and closes one at rest for it where
// that is what it takes.
func (f *Fleet) canDial() bool {
	return f.dialing < f.loop.maxDialing() && (f.connCount < f.loop.maxWorkerConns() || f.closeOldestIdle())
}

// spare closes an idle link to make room for another.
func (f *Fleet) closeOldestIdle() bool {
	var oldest connPool
	since := 0.0
	for _, w := range f.workers {
		if at, ok := w.pool.idleSince(); ok && (oldest == nil || at < since) {
			oldest, since = w.pool, at
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeOldestIdle()
	return true
}

// Sweep retires links that have rested long: a worker closes them soon after, and
// a request written then would be lost.
func (f *Fleet) Sweep() {
	now := f.clock.Now()
	for _, worker := range f.workers {
		for {
			at, ok := worker.pool.idleSince()
			if !ok || now-at <= f.maxIdleMS {
				break
			}
			worker.pool.closeOldestIdle()
		}
		worker.pool.sweep(now)
	}
}

// cutOff sees to it that nothing more leaves by a link that ends. It guards against
// gnet's close, which writes what is still buffered after OnClose: an execution that was
// reported as never sent whole would yet arrive whole.
func discardUnsent(c conn) {
	if c.OutboundBuffered() > 0 {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR)
	}
}
