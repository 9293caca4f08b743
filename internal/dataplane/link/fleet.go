package link

import (
	"syscall"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/pipelining"
	"foxwood/policy"
)

// Payload is a request in the form that workers receive, built once by the RequestHandler:
// whole header lines from the request line on, without the time left, and the body.
type Payload struct {
	Head, Body []byte
	Upload     *upload // replaces Body if the body is streamed

	carriedBy []*workerConn // connections that have carried the request
}

// ResponseReader interprets the responses of workers.
type ResponseReader interface {
	Outcome(m *http1.Message) gatekeeper.Outcome
	// TimeLeftHeader names the request header that tells a worker how long its response is
	// waited for.
	TimeLeftHeader() string
}

// ResponseMatcher is a ResponseReader that can tell from a response's head which request it
// belongs to. Only HTTP1 uses it.
type ResponseMatcher interface {
	// Mine reports whether m is the response to x, or carries the id of another request. If
	// neither is true, the response can't be attributed, and x may have run. only tells that
	// the connection has carried no other request, so that the response can't belong to one.
	Mine(x *gatekeeper.Execution, m *http1.Message, only bool) (mine, other bool)
}

// connPool carries executions to one worker over connections of one protocol. Every execution
// that it takes ends exactly once: with Core.ExecutionEnded, or abandoned through its
// executionHolder.
type connPool interface {
	// execute sends an execution, or queues it until a connection can take it.
	execute(x *gatekeeper.Execution)
	// addressChanged tells that the worker's address or process has changed. Existing
	// connections finish what they carry and take nothing new.
	addressChanged()
	// release tells that the worker takes nothing new. Unsent executions end as never run, and
	// idle connections are closed.
	release()
	// sweep does periodic work.
	sweep(now float64)
	// idleSince returns the start of the longest current idle period. ok is false if no
	// connection is idle.
	idleSince() (since float64, ok bool)
	// closeOldestIdle closes the connection that idleSince refers to.
	closeOldestIdle()
	// empty reports whether there is neither a connection nor an execution.
	empty() bool
}

// executionHolder is where an execution is: a queue or a connection. It is stored in the
// execution's TransportData.
type executionHolder interface {
	// abandon gives an execution up. When it returns, the execution is no longer in flight. It
	// reports how much of it had been sent.
	abandon(x *gatekeeper.Execution) gatekeeper.SendProgress
}

// WorkerConns holds the connections to all workers. It implements gatekeeper.WorkerTransport.
type WorkerConns struct {
	loop        eventLoop
	core        Core
	reader      ResponseReader
	clock       *gatekeeper.Clock
	transport   Transport
	estimator   *pipelining.Estimator
	workers     map[policy.Server]*workerRecord
	dialTimeout time.Duration // for opening a connection
	maxIdleMS   float64       // how long a connection may stay idle
	connCount   int           // connections that are open or being dialed
	dialing     int
	scratch     []byte
	matcher     ResponseMatcher // nil if reader does not implement it

	// The following fields may be set before the first execution. They apply to HTTP1 only.

	// PartialTimeoutMS is how many milliseconds an incomplete response may make no progress
	// before its connection is closed, 0 for no limit but the execution's timeout.
	PartialTimeoutMS float64
	// SettleMS is how many milliseconds a connection rests before it is reused.
	SettleMS float64
	// HonorKeepAlive closes idle connections before the timeout in the worker's Keep-Alive
	// header ends.
	HonorKeepAlive bool
	// MaxConnsPerWorker is the limit on connections to one worker, 0 for none. Further
	// executions wait for a connection.
	MaxConnsPerWorker int
	// ResponseLimits replaces the parser's default limits for responses; nil keeps the
	// defaults.
	ResponseLimits *http1.Limits
	// OnSent, if set, is called after an execution has been written to a worker.
	OnSent func(x *gatekeeper.Execution)
}

// workerRecord is the state of one worker and its connections.
type workerRecord struct {
	workerConns *WorkerConns
	id          policy.Server
	addr        string
	startedAt   float64 // start of the worker's process; older connections lead to a former process
	headerLines []byte  // added to each execution
	released    bool
	pool        connPool
}

// accepts reports whether a connection that was dialed at the given time may carry new
// executions.
func (w *workerRecord) accepts(addr string, dialedAt float64) bool {
	return !w.released && addr == w.addr && dialedAt >= w.startedAt
}

// NewWorkerConns returns a WorkerConns without workers. connectMS is the timeout for opening
// a connection, idleMS the time after which idle connections are closed; both are in
// milliseconds.
func NewWorkerConns(loop eventLoop, clock *gatekeeper.Clock, reader ResponseReader, connectMS, idleMS float64, t Transport) *WorkerConns {
	workerConns := &WorkerConns{loop: loop, clock: clock, reader: reader, workers: map[policy.Server]*workerRecord{}, transport: t.withDefaults(),
		dialTimeout: time.Duration(connectMS * float64(time.Millisecond)), maxIdleMS: idleMS,
		PartialTimeoutMS: maxPartialMS, SettleMS: settleMS}
	workerConns.matcher, _ = reader.(ResponseMatcher)
	workerConns.estimator = pipelining.NewEstimator(workerConns.terms)
	return workerConns
}

// Core is the part of the gatekeeper core that WorkerConns needs.
type Core interface {
	// ExecutionEnded ends an execution.
	ExecutionEnded(x *gatekeeper.Execution, o gatekeeper.Outcome)
	// ExecutionSent tells that the last byte of an execution has been sent.
	ExecutionSent(x *gatekeeper.Execution)
	// MaySend reports whether an execution that has waited for a connection may still be sent.
	MaySend(x *gatekeeper.Execution) bool
	// Progress tells that bytes of an execution are moving.
	Progress(x *gatekeeper.Execution)
	// ResponseStarted tells that a response is being streamed to its client. Later, either
	// ResponseEnded tells how that ended, or ClientGone that the client has disconnected.
	ResponseStarted(x *gatekeeper.Execution, o gatekeeper.Outcome)
	ResponseEnded(r *gatekeeper.Request, how gatekeeper.RequestResult)
	ClientGone(r *gatekeeper.Request)
	// Class returns the settings of a request class.
	Class(class int) policy.Class
}

// SetCore sets the core that outcomes are reported to.
func (f *WorkerConns) SetCore(core Core) { f.core = core }

// terms returns the rules by which requests of a class share a connection. Requests with an
// idempotency key may share one if every worker discards duplicates for as long as a repeat
// can arrive.
func (f *WorkerConns) terms(class int) pipelining.ClassTerms {
	c := f.core.Class(class)
	share := c.Repeat == policy.RepeatSafe || c.Repeat == policy.RepeatKeyed && c.Dedup == policy.DedupFleet && c.RepeatWindow >= c.Deadline
	return pipelining.ClassTerms{TargetMS: float64(c.LatencyTarget) / 1000, MayShare: share}
}

// Place sets the address of a worker that accepts executions, and the time when its process
// started.
func (f *WorkerConns) Place(id policy.Server, addr string, since float64) {
	worker := f.worker(id)
	worker.released = false
	since = min(since, f.clock.Now()) // a later start time would make new connections look old
	if worker.addr != addr || worker.startedAt != since {
		worker.addr, worker.startedAt = addr, since
		worker.pool.addressChanged()
	}
}

// SetHeaderLines sets whole header lines that are added to every execution for a worker,
// before the time left. They are forgotten together with the worker, so they must be set again
// for each Place after a Release. Only the HTTP/1.1 protocols use them.
func (f *WorkerConns) SetHeaderLines(id policy.Server, lines []byte) {
	f.worker(id).headerLines = lines
}

// worker returns the record of a worker. If there is none, it creates one that accepts
// nothing.
func (f *WorkerConns) worker(id policy.Server) *workerRecord {
	worker := f.workers[id]
	if worker == nil {
		worker = &workerRecord{workerConns: f, id: id, released: true}
		worker.pool = f.newPool(worker)
		f.workers[id] = worker
	}
	return worker
}

// matches reports whether a response on a connection belongs to the execution, or to another
// request.
func (f *WorkerConns) matches(conn *workerConn, execution *gatekeeper.Execution, message *http1.Message) (mine, other bool) {
	if f.matcher == nil {
		return true, false
	}
	mine, other = f.matcher.Mine(execution, message, conn.executions == 1)
	return mine, other && !mine
}

func (f *WorkerConns) newPool(worker *workerRecord) connPool {
	if f.transport.Protocol == HTTP1 {
		return &serialPool{worker: worker, workerConns: f}
	}
	return newMuxPool(worker)
}

// Release implements gatekeeper.WorkerTransport.
func (f *WorkerConns) Release(id policy.Server) {
	if w := f.workers[id]; w != nil {
		w.released = true
		w.pool.release()
		f.forget(w)
	}
}

// forget removes a released worker that has no connections and executions left.
func (f *WorkerConns) forget(w *workerRecord) {
	if w.released && w.pool.empty() && f.workers[w.id] == w {
		delete(f.workers, w.id)
	}
}

// Execute implements gatekeeper.WorkerTransport.
func (f *WorkerConns) Execute(execution *gatekeeper.Execution) {
	worker := f.workers[execution.Worker]
	if p, ok := execution.Request.Payload.(*Payload); ok && p.Upload != nil && f.transport.Protocol != HTTP1 {
		f.endUnanswered(execution, policy.ConnectFailed) // request handlers do not stream over other protocols
		return
	}
	if worker == nil {
		f.endUnanswered(execution, policy.ConnectFailed)
		return
	}
	worker.pool.execute(execution)
}

// Abandon implements gatekeeper.WorkerTransport.
func (f *WorkerConns) Abandon(execution *gatekeeper.Execution) gatekeeper.SendProgress {
	if h, ok := execution.TransportData.(executionHolder); ok {
		execution.TransportData = nil
		return h.abandon(execution)
	}
	return gatekeeper.SentNothing
}

// endUnanswered reports an execution that got no response.
func (f *WorkerConns) endUnanswered(execution *gatekeeper.Execution, status policy.Status) {
	execution.TransportData = nil
	f.core.ExecutionEnded(execution, gatekeeper.Outcome{Status: status})
}

// endBroken reports an execution whose connection was lost before a response.
func (f *WorkerConns) endBroken(execution *gatekeeper.Execution, progress gatekeeper.SendProgress) {
	outcome := gatekeeper.Outcome{Status: policy.Reset, PartlySent: progress == gatekeeper.SentPart}
	if progress == gatekeeper.SentNothing {
		outcome.Status = policy.ConnectFailed
	}
	execution.TransportData = nil
	f.core.ExecutionEnded(execution, outcome)
}

// checkSend reports whether an execution that has waited may still be sent. If not, it ends
// the execution as never run.
func (f *WorkerConns) checkSend(execution *gatekeeper.Execution) bool {
	if f.core.MaySend(execution) {
		return true
	}
	f.endUnanswered(execution, policy.NotSent)
	return false
}

// canDial reports whether another connection may be opened. If the budget requires it, it
// closes an idle connection first.
func (f *WorkerConns) canDial() bool {
	return f.dialing < f.loop.maxDialing() && (f.connCount < f.loop.maxWorkerConns() || f.closeOldestIdle())
}

// closeOldestIdle closes the connection that has been idle longest, over all workers.
func (f *WorkerConns) closeOldestIdle() bool {
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

// Sweep closes connections that have been idle for long. A worker would close them soon after,
// and a request written at that time would be lost.
func (f *WorkerConns) Sweep() {
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

// discardUnsent prevents that buffered output is sent on a connection that ends. gnet writes
// what is still buffered after OnClose, so an execution that was reported as not fully sent
// would still arrive.
func discardUnsent(c conn) {
	if c.OutboundBuffered() > 0 {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR)
	}
}
