// Package gatekeeper implements the embeddable core of a gatekeeper, one load
// balancer instance. It accepts requests, asks the decision module (package
// policy) what to do with them, starts executions on workers and gives every
// request exactly one final answer. It is independent of any network protocol:
// front ends submit requests, and transports carry executions and counter calls,
// all through the interfaces below.
//
// A Gatekeeper belongs to one event loop. Its methods must not be called from two
// goroutines at once.
package gatekeeper

import (
	"maps"
	"slices"

	"foxwood/policy"
)

// Responder receives the final answer to a request. It gets exactly one, or none if
// Gatekeeper.ClientGone reported before that the client has disconnected.
type Responder interface {
	// Served delivers a worker's answer. The answer is valid only during the call.
	Served(r *Request, answer Answer)
	// Throttled reports a refusal. The request has not run, so the client may safely
	// retry it after the given number of milliseconds.
	Throttled(r *Request, retryAfter float64)
	// Failed reports a failure. The request may or may not have run.
	Failed(r *Request)
}

// Answer is a worker's response to an execution.
type Answer struct {
	Status      int    // status code of the protocol, 0 for the default success code
	HeaderLines []byte // complete header lines to pass on
	Body        []byte
}

// SendProgress tells how much of an execution has been sent to its worker.
type SendProgress int

// The degrees of progress. A worker may begin an execution, and even answer it, before it has all of it.
const (
	SentNothing SendProgress = iota // the worker can't have begun it
	SentPart
	SentAll
)

// WorkerTransport sends executions to the workers. It reports the end of each with
// Gatekeeper.ExecutionEnded, unless the gatekeeper has abandoned it.
type WorkerTransport interface {
	Execute(x *Execution)
	// Abandon stops an execution immediately, so that a later one cannot overlap it.
	// It reports how much of it had been sent to the worker.
	Abandon(x *Execution) SendProgress
	// Release closes idle connections to a worker that is no longer listed as ready.
	Release(id policy.Server)
}

// CounterClient sends calls to the shared counter, those of one name in order. It reports
// the end of each call with Gatekeeper.CounterCallEnded.
type CounterClient interface {
	Add(c *CounterCall)
}

// Request is a request of a client. The front end fills in the exported fields.
type Request struct {
	Name            string // the client's name for the request, if any; unique among open requests
	Class, Plan     int
	Customer        uint64
	TimeLeft        float64 // milliseconds that the client is still willing to wait
	EstimatedUnits  float64 // estimated cost, in the units that rate limits count
	GatekeeperCount int     // number of gatekeepers that the customer's requests are spread over
	IsRetry         bool    // marked by the client as a retry
	Responder       Responder
	Payload         any // what the transports send; the core does not inspect it
	// BodyPending is set while the end of the request's body has not arrived yet. The
	// deadlines of the request and of its executions count from the arrival of its last byte.
	BodyPending bool
	// NotReplayable is set once the request can't be sent again because part of its body is no
	// longer buffered.
	NotReplayable bool
	// Regions is a bit set of the regions whose workers may serve the request; 0 allows all.
	Regions uint64
	// LastError is the latest error response of a worker, for a caller that passes it on. It is
	// nil if there was none or if its body exceeded the size limit.
	LastError *Answer
	// MayHaveRun reports that an ended execution may have run on its worker.
	MayHaveRun bool

	id             uint32
	deadline       float64
	tally          ClassMetrics // of its class, nil if the class is not counted
	executions     []*Execution
	openExecutions int // number of executions whose outcome the decision module does not have yet
	closed         bool
}

// Execution is one attempt of a request on a worker.
type Execution struct {
	Request       *Request
	Worker        policy.Server
	Timeout       float64 // milliseconds
	TransportData any     // reserved for the WorkerTransport

	attempt int     // index of the attempt, from 0
	started float64 // clock time in milliseconds
	ended   bool
	written bool // completely written to the worker

	bodyPending bool // it was started before the request's last byte had arrived
}

// RequestResult is how a request ended for its client.
type RequestResult int

// The possible values of End.
const (
	Completed RequestResult = iota // a worker's answer was passed on
	Rejected                       // refused without having run
	Failed                         // failed, possibly after having run
)

// ClassMetrics counts how the requests of one class ended.
type ClassMetrics interface{ RequestEnded(end RequestResult) }

// Metrics counts requests and execution attempts.
type Metrics interface {
	// Class returns the tally of a class, or nil if the class is not counted.
	Class(class int) ClassMetrics
	// AttemptSent counts an attempt that was completely written to a worker.
	AttemptSent()
}

// Outcome is how an execution ended.
type Outcome struct {
	Status policy.Status
	// PartlySent is set if the execution ended before all of it had been sent.
	PartlySent bool
	Answer     Answer    // the worker's answer; an error with a status code is kept as Request.LastError
	Units      float64   // actual cost in units, 0 if the worker did not report it
	Load       []float32 // load report, in the order of the settings' report fields
}

// CounterCall is one call to the shared counter, which adds Amount to the counter Name.
type CounterCall struct {
	Name   uint64
	Amount float64
	TTL    float64 // time to live of a counter that the call creates, in milliseconds

	started float64 // clock time in milliseconds
	ended   bool
	status  policy.Status
	total   float64
	latency policy.Micros
}

// Gatekeeper holds the requests, executions and timers of one load balancer instance.
type Gatekeeper struct {
	clock         *Clock
	module        Module
	fleet         WorkerTransport
	counter       CounterClient
	requestWakeUp func(at float64)

	requests        map[uint32]*Request
	openNames       map[string]bool // names of the open requests that have one
	lastID          uint32
	pendingCalls    map[uint64][]*CounterCall // calls not yet reported to the module, by counter name, in the order of their start
	timers          timers
	wakeUpAt        float64 // time of the latest wake-up that was requested, 0 for none
	counterTimeout  float64 // timeout of counter calls in milliseconds
	classes         []policy.Class
	recorder        Recorder
	meter           Metrics
	reportDraw      func(policy.PeerDraw)  // reports quota draws to another process of this gatekeeper; nil if there is none
	drawnInSnapshot map[uint32]bool        // requests whose draws the other process knows from the handover snapshot
	deciding        bool                   // an event is being passed to the module
	queuedEvents    []func()               // events that arrived during a decision
	workers         map[policy.Server]bool // the listed workers, and whether each is ready

	slowStart bool // sends to cold workers are counted from when they are written
}

// Config holds the settings and collaborators of a Gatekeeper.
type Config struct {
	Settings      policy.Settings
	Seed          uint64
	Clock         *Clock
	Workers       WorkerTransport
	Counter       CounterClient
	RequestWakeUp func(at float64) // requests a call of RunDueTimers at a clock time in milliseconds
	// Recorder, if set, receives all calls into and out of the decision module.
	Recorder Recorder
	// Metrics, if set, counts requests and attempts.
	Metrics Metrics
	// Previous, if set, is the last known state of the previous process of this gatekeeper.
	Previous *PreviousProcess
}

// PreviousProcess is the last known state of the previous process of a gatekeeper.
type PreviousProcess struct {
	State        policy.Snapshot
	Complete     bool // State is complete: nothing that the process decided is missing
	StillRunning bool // the process keeps running in parallel until it is told to stop
}

// New creates a gatekeeper and starts its decision module.
func New(c Config) *Gatekeeper {
	g := &Gatekeeper{
		clock: c.Clock, module: newModule(c), fleet: c.Workers, counter: c.Counter, requestWakeUp: c.RequestWakeUp,
		requests: map[uint32]*Request{}, openNames: map[string]bool{}, workers: map[policy.Server]bool{}, pendingCalls: map[uint64][]*CounterCall{},
		counterTimeout: millis(c.Settings.CounterTimeout), classes: c.Settings.Classes, recorder: c.Recorder, meter: c.Metrics,
		slowStart: c.Settings.MaxColdSends != nil,
	}
	if g.counterTimeout <= 0 {
		g.counterTimeout = 50 // milliseconds, for settings without a timeout
	}
	g.dispatch(func(now policy.Micros) { g.module.Start(now, g) })
	if e := c.Previous; e != nil {
		g.dispatch(func(now policy.Micros) {
			e.State.Now = min(e.State.Now, now) // the other process's clock may be slightly ahead
			g.module.Recover(now, g, e.State, e.Complete)
			if e.StillRunning {
				g.module.InheritStart(e.State)
			}
		})
	}
	return g
}

// newModule creates the decision module, wrapped in the recorder if there is one.
func newModule(c Config) Module {
	if c.Recorder != nil {
		return newRecordedModule(c.Settings, c.Seed, c.Recorder)
	}
	return policy.New(c.Settings, c.Seed)
}

// dispatch passes one event to the decision module. An event that a transport or front
// end reports during a decision is queued until that decision is complete, since the
// module is not reentrant.
func (g *Gatekeeper) dispatch(event func(now policy.Micros)) {
	if g.deciding {
		g.queuedEvents = append(g.queuedEvents, func() { event(micros(g.clock.Now())) })
		return
	}
	g.deciding = true
	event(micros(g.clock.Now()))
	for len(g.queuedEvents) > 0 {
		events := g.queuedEvents
		g.queuedEvents = nil
		for _, event := range events {
			event()
		}
	}
	g.deciding = false
	g.scheduleWakeUp()
}

// scheduleWakeUp requests a wake-up for the earliest timer that is still needed. Dropping
// the others avoids a wake-up for every execution that ended long before its timeout.
func (g *Gatekeeper) scheduleWakeUp() {
	for len(g.timers.heap) > 0 && g.timers.heap[0].ended() {
		g.timers.pop(g.timers.heap[0].due)
	}
	if len(g.timers.heap) > 0 && g.timers.heap[0].due != g.wakeUpAt {
		g.wakeUpAt = g.timers.heap[0].due
		g.requestWakeUp(g.wakeUpAt)
	}
}

// Submit accepts a request, whose caller will get one final answer. It returns false,
// and does not accept the request, if an open request has the same name: workers would
// mistake the two for one request that is sent twice.
func (g *Gatekeeper) Submit(r *Request) bool {
	if r.Name != "" {
		if g.openNames[r.Name] {
			return false
		}
		g.openNames[r.Name] = true
	}
	if g.meter != nil {
		r.tally = g.meter.Class(r.Class)
	}
	r.deadline = g.clock.Now() + r.TimeLeft
	g.lastID++
	for g.requests[g.lastID] != nil {
		g.lastID++
	}
	r.id = g.lastID
	g.requests[r.id] = r
	if g.recorder != nil && r.Name != "" {
		g.recorder.RequestNamed(r.id, r.Name)
	}
	g.dispatch(func(now policy.Micros) {
		if r.closed { // the client disconnected while the event was queued
			return
		}
		left := micros(r.deadline - g.clock.Now())
		g.module.Request(now, g, policy.Request{
			ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer, TimeLeft: left,
			Units: r.EstimatedUnits, GatewayCount: r.GatekeeperCount, IsRetry: r.IsRetry, BodyPending: r.BodyPending, Regions: r.Regions,
		})
	})
	return true
}

// ClientGone reports that a request's client has disconnected. The request gets no answer.
func (g *Gatekeeper) ClientGone(r *Request) {
	if r.closed {
		return
	}
	g.closeRequest(r)
	g.dispatch(func(now policy.Micros) { g.module.ClientGone(now, g, r.id) })
}

// OpenRequests returns the number of requests without a final answer.
func (g *Gatekeeper) OpenRequests() int {
	n := 0
	for _, r := range g.requests {
		if !r.closed {
			n++
		}
	}
	return n
}

// ExecutionEnded reports the outcome of an execution. Further outcomes of it are ignored.
func (g *Gatekeeper) ExecutionEnded(x *Execution, o Outcome) {
	if x.ended {
		return
	}
	x.ended = true
	if !o.PartlySent && o.Status != policy.ConnectFailed && o.Status != policy.Cancelled && o.Status != policy.NotSent {
		g.ExecutionSent(x)
	}
	r := x.Request
	r.MayHaveRun = r.MayHaveRun || o.Status != policy.Full && o.Status != policy.ConnectFailed && o.Status != policy.NotSent
	served := o.Status == policy.OK
	if o.Status == policy.Failed && o.Answer.Status != 0 {
		r.keepError(o.Answer)
	}
	over := r.closed || served
	if served && !r.closed {
		g.reportSettlement(x, o)
		g.complete(r, Completed)
		r.Responder.Served(r, o.Answer)
	}
	g.reportOutcome(x, o, over)
}

// maxErrorBody is the longest body, in bytes, of an error response that Request.LastError keeps.
const maxErrorBody = 64 << 10

// keepError stores a copy of an error response, which is valid only during the call.
func (r *Request) keepError(a Answer) {
	if r.LastError = nil; len(a.Body) <= maxErrorBody {
		r.LastError = &Answer{Status: a.Status, HeaderLines: slices.Clone(a.HeaderLines), Body: slices.Clone(a.Body)}
	}
}

// CounterCallEnded reports the result of a counter call. The result of a call that has timed out
// is ignored. Results are passed to the module in the order in which the calls of a
// counter name were started, since it can't tell these calls apart: the result of a call
// that fails immediately is held back until all earlier calls have ended.
func (g *Gatekeeper) CounterCallEnded(c *CounterCall, status policy.Status, total float64) {
	if c.ended {
		return
	}
	c.ended, c.status, c.total, c.latency = true, status, total, micros(g.clock.Now()-c.started)
	for calls := g.pendingCalls[c.Name]; len(calls) > 0 && calls[0].ended; calls = g.pendingCalls[c.Name] {
		first := calls[0]
		if g.pendingCalls[c.Name] = calls[1:]; len(calls) == 1 {
			delete(g.pendingCalls, c.Name)
		}
		g.dispatch(func(now policy.Micros) {
			g.module.CounterResult(now, g, first.Name, first.latency, first.status, first.total)
		})
	}
}

// UpdateWorkers updates the worker list, with a full list or with changes to it.
func (g *Gatekeeper) UpdateWorkers(kind policy.ListKind, entries []policy.Entry) {
	before := maps.Clone(g.workers)
	if kind != policy.ListDelta {
		g.workers = map[policy.Server]bool{}
	}
	for _, e := range entries {
		if g.workers[e.Server] = e.State == policy.Ready; e.State == policy.Gone {
			delete(g.workers, e.Server)
		}
	}
	var released []policy.Server
	for id, wasReady := range before {
		if wasReady && !g.workers[id] {
			released = append(released, id)
		}
	}
	for id, ready := range g.workers {
		if _, wasListed := before[id]; !ready && !wasListed {
			released = append(released, id)
		}
	}
	slices.Sort(released) // the module gets the outcomes of their executions in this order, which must be deterministic
	for _, id := range released {
		g.fleet.Release(id)
	}
	g.dispatch(func(now policy.Micros) { g.module.Servers(now, g, kind, entries) })
}

// SetClasses replaces the table of request classes. Requests accepted before keep the
// terms that applied when they were accepted.
func (g *Gatekeeper) SetClasses(classes []policy.Class) {
	g.classes = classes
	g.dispatch(func(now policy.Micros) { g.module.SetClasses(now, g, classes) })
}

// Class returns the terms of a request class, or the zero value for an unknown class.
func (g *Gatekeeper) Class(class int) policy.Class {
	if class < 0 || class >= len(g.classes) {
		return policy.Class{}
	}
	return g.classes[class]
}

// StartHandover makes a snapshot for another process of this gatekeeper that will run in
// parallel with this one, and passes all further quota draws to report.
func (g *Gatekeeper) StartHandover(report func(policy.PeerDraw)) policy.Snapshot {
	s := g.module.Snapshot()
	g.drawnInSnapshot = map[uint32]bool{}
	for _, id := range s.PrepareHandover() {
		g.drawnInSnapshot[id] = true
	}
	g.reportDraw = report
	return s
}

// ReportDraws passes all further quota draws to report. If report is nil, it stops doing so.
func (g *Gatekeeper) ReportDraws(report func(policy.PeerDraw)) {
	if g.reportDraw = report; report == nil {
		g.drawnInSnapshot = nil
	}
}

// RecordPeerDraw records a quota draw of another process of this gatekeeper.
func (g *Gatekeeper) RecordPeerDraw(d policy.PeerDraw) {
	g.dispatch(func(now policy.Micros) { g.module.RecordPeerDraw(now, d) })
}

// reportExecutionDraw reports an execution that starts to the other process of this
// gatekeeper. Only the first execution of a request draws units.
func (g *Gatekeeper) reportExecutionDraw(r *Request, x *Execution) {
	d := policy.PeerDraw{Customer: r.Customer, Plan: r.Plan, GatewayCount: r.GatekeeperCount, Server: x.Worker}
	if x.attempt == 0 && !g.drawnInSnapshot[r.id] {
		d.Units = r.EstimatedUnits
	}
	g.reportDraw(d)
}

// Standings returns the decision module's view of each worker, and how many
// executions it allows at the same time.
func (g *Gatekeeper) Standings() ([]policy.ServerStatus, float64) {
	return g.module.ServerStatuses(micros(g.clock.Now()))
}

// Sightings returns what the decision module has observed of workers since the last call.
func (g *Gatekeeper) Sightings() []policy.Observation {
	return g.module.TakeObservations(micros(g.clock.Now()))
}

// Believe passes the decision module what the zone's gatekeepers assume about workers.
func (g *Gatekeeper) Believe(beliefs map[policy.Server]policy.Verdict) {
	g.dispatch(func(now policy.Micros) { g.module.SetVerdicts(now, g, beliefs) })
}

// Ready reports whether at least one worker is ready.
func (g *Gatekeeper) Ready() bool {
	ready, _ := g.WorkerCounts()
	return ready > 0
}

// Load returns the decision module's current amount of work.
func (g *Gatekeeper) Load() policy.Load { return g.module.Load() }

// WorkerCounts returns how many workers are ready and how many are listed.
func (g *Gatekeeper) WorkerCounts() (ready, listed int) {
	for _, r := range g.workers {
		if r {
			ready++
		}
	}
	return ready, len(g.workers)
}

// RunDueTimers processes all timers that are due.
func (g *Gatekeeper) RunDueTimers() {
	g.wakeUpAt = 0
	now := g.clock.Now()
	for {
		t, ok := g.timers.pop(now)
		if !ok {
			break
		}
		switch {
		case t.execution != nil:
			g.expire(t.execution)
		case t.counterCall != nil:
			g.CounterCallEnded(t.counterCall, policy.Timeout, 0)
		default:
			g.dispatch(func(now policy.Micros) { g.module.Timer(now, g, t.token) })
		}
	}
	g.scheduleWakeUp()
}

// expire ends an execution whose timeout has expired. If no part of it had been sent, the
// worker counts as unreachable.
func (g *Gatekeeper) expire(x *Execution) {
	if x.ended {
		return
	}
	progress := g.fleet.Abandon(x)
	outcome := Outcome{Status: policy.Timeout, PartlySent: progress == SentPart}
	if progress == SentNothing {
		outcome.Status = policy.ConnectFailed
	}
	g.ExecutionEnded(x, outcome)
}

// ExecutionSent reports that the last byte of an execution has been written to its worker.
// Transports that can't observe this need not call it, since an outcome implies it.
func (g *Gatekeeper) ExecutionSent(x *Execution) {
	if x.written {
		return
	}
	x.written = true
	if x.bodyPending { // a worker starts its work when it has the last byte
		x.started = g.clock.Now()
	}
	if g.meter != nil {
		g.meter.AttemptSent()
	}
	if g.slowStart {
		g.dispatch(func(now policy.Micros) { g.module.AttemptSent(now, x.Request.id, x.attempt) })
	}
}

// MaySend reports whether an execution that waited for a connection may still be
// written to its worker.
func (g *Gatekeeper) MaySend(x *Execution) bool {
	return !g.slowStart || g.module.MaySend(micros(g.clock.Now()), x.Request.id, x.attempt)
}

// BodyReceived reports that the last byte of a request has arrived, after the request was accepted.
func (g *Gatekeeper) BodyReceived(r *Request) {
	if r.closed || !r.BodyPending {
		return
	}
	r.BodyPending = false
	r.deadline = g.clock.Now() + r.TimeLeft
	for _, x := range r.executions {
		if !x.ended {
			g.timers.push(timer{due: r.deadline, execution: x})
		}
	}
	g.dispatch(func(now policy.Micros) { g.module.BodyReceived(now, r.id) })
}

// Progress reports that bytes of an execution were sent or received.
func (g *Gatekeeper) Progress(x *Execution) {
	if !x.ended {
		g.dispatch(func(now policy.Micros) { g.module.Progress(now, x.Worker) })
	}
}

// ResponseStarted reports that a worker's answer, of which o holds the head, is being streamed to
// the caller. From now on no other execution can serve the request, so the decision
// module gets the outcome of this one as final. ResponseEnded must follow.
func (g *Gatekeeper) ResponseStarted(x *Execution, o Outcome) {
	if x.ended || x.Request.closed {
		return
	}
	g.reportSettlement(x, o)
	x.ended = true
	g.ExecutionSent(x)
	g.reportOutcome(x, o, true)
}

// ResponseEnded ends a request whose answer was streamed, completely or not.
func (g *Gatekeeper) ResponseEnded(r *Request, end RequestResult) {
	if !r.closed {
		g.complete(r, end)
	}
}

// reportSettlement reports the difference between the actual and the estimated units of a
// served request to the other process of this gatekeeper.
func (g *Gatekeeper) reportSettlement(x *Execution, o Outcome) {
	if r := x.Request; g.reportDraw != nil && o.Units > 0 {
		g.reportDraw(policy.PeerDraw{Customer: r.Customer, Plan: r.Plan, GatewayCount: r.GatekeeperCount, Units: o.Units - r.EstimatedUnits, Settlement: true})
	}
}

// reportOutcome reports to the decision module how an execution ended.
func (g *Gatekeeper) reportOutcome(x *Execution, o Outcome, over bool) {
	r, latency := x.Request, micros(g.clock.Now()-x.started)
	g.dispatch(func(now policy.Micros) {
		g.module.Outcome(now, g, policy.Outcome{
			ID: r.id, Latency: latency, Terminal: over || r.closed, BodyConsumed: r.NotReplayable, Status: o.Status, ActualUnits: o.Units,
			Attempt: x.attempt, Server: x.Worker, LoadReport: o.Load,
		})
		r.openExecutions--
		g.removeIfUnused(r)
	})
}

// complete counts how a request ended and closes it. Every request that gets a final answer
// passes through here.
func (g *Gatekeeper) complete(r *Request, end RequestResult) {
	if r.tally != nil {
		r.tally.RequestEnded(end)
	}
	g.closeRequest(r)
}

// closeRequest closes a request, with or without an answer.
func (g *Gatekeeper) closeRequest(r *Request) {
	r.closed = true
	delete(g.openNames, r.Name)
	g.removeIfUnused(r)
}

// removeIfUnused removes a closed request from the table once it has no open executions.
// The decision module may still cancel these, and needs the request for that.
func (g *Gatekeeper) removeIfUnused(r *Request) {
	if r.closed && r.openExecutions == 0 {
		delete(g.requests, r.id)
	}
}

// Send implements policy.Host. It starts an execution of a request on a worker.
func (g *Gatekeeper) Send(id uint32, worker policy.Server, timeout policy.Micros) {
	r := g.requests[id]
	if r == nil {
		return
	}
	x := &Execution{Request: r, Worker: worker, Timeout: millis(timeout), attempt: len(r.executions), started: g.clock.Now()}
	if timeout == 0 {
		x.Timeout = r.deadline - x.started
	}
	r.executions = append(r.executions, x)
	r.openExecutions++
	if x.bodyPending = r.BodyPending; !x.bodyPending { // otherwise BodyReceived sets the timer
		g.timers.push(timer{due: x.started + x.Timeout, execution: x})
	}
	if g.reportDraw != nil {
		g.reportExecutionDraw(r, x)
	}
	g.fleet.Execute(x)
}

// Refuse implements policy.Host. It answers a request with a refusal.
func (g *Gatekeeper) Refuse(id uint32, retryAfter policy.Micros) {
	if r := g.requests[id]; r != nil && !r.closed {
		g.complete(r, Rejected)
		r.Responder.Throttled(r, millis(retryAfter))
	}
}

// Fail implements policy.Host. It answers a request with a failure.
func (g *Gatekeeper) Fail(id uint32) {
	if r := g.requests[id]; r != nil && !r.closed {
		g.complete(r, Failed)
		r.Responder.Failed(r)
	}
}

// Cancel implements policy.Host. It stops an execution.
func (g *Gatekeeper) Cancel(id uint32, attempt int) {
	r := g.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.executions) || r.executions[attempt].ended {
		return
	}
	x := r.executions[attempt]
	if g.fleet.Abandon(x) == SentAll {
		g.ExecutionSent(x)
	}
	g.ExecutionEnded(x, Outcome{Status: policy.Cancelled})
}

// Timer implements policy.Host. It sets a timer of the decision module.
func (g *Gatekeeper) Timer(token uint64, delay policy.Micros) {
	g.timers.push(timer{due: g.clock.Now() + millis(delay), token: token})
}

// Count implements policy.Host. It starts a call to the shared counter.
func (g *Gatekeeper) Count(name uint64, amount float64, ttl policy.Micros) {
	c := &CounterCall{Name: name, Amount: amount, TTL: millis(ttl), started: g.clock.Now()}
	g.pendingCalls[name] = append(g.pendingCalls[name], c)
	g.timers.push(timer{due: c.started + g.counterTimeout, counterCall: c})
	g.counter.Add(c)
}

// IsOver reports whether the call has ended, by its result or by its timeout.
func (c *CounterCall) IsOver() bool { return c.ended }
