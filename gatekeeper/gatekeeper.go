// Package gatekeeper is the core of a gatekeeper that can be embedded: it takes
// requests, has the decision module judge them, starts executions on workers and
// gives every request exactly one final answer. It knows no wire: fronts hand
// requests in and links carry executions and counter calls, all through the
// interfaces below.
//
// A Gatekeeper belongs to one loop. None of its methods may be called from two
// goroutines at once.
package gatekeeper

import (
	"maps"
	"slices"

	"foxwood/policy"
)

// Caller is owed the final answer to a request, and gets exactly one, unless it
// has told the gatekeeper that it left.
type Caller interface {
	// Served passes on a worker's answer. It holds only during the call.
	Served(r *Request, answer Answer)
	// Throttled refuses: trying again is harmless, after so many milliseconds.
	Throttled(r *Request, after float64)
	// Failed promises nothing about what the request has done.
	Failed(r *Request)
}

// Answer is what a worker said to an execution that served its request.
type Answer struct {
	Status int    // as the wire numbers them, 0 for the ordinary one
	Head   []byte // whole header lines to pass on
	Body   []byte
}

// Fleet carries executions to the workers. It reports the end of each with
// Gatekeeper.Done, unless the gatekeeper has abandoned it.
type Fleet interface {
	Execute(x *Execution)
	// Abandon gives an execution up at once, so that no other can overlap it.
	// It tells whether the whole of it was on its way to the worker.
	Abandon(x *Execution) (sent bool)
	// Release closes idle links to workers that the list no longer names.
	Release(id policy.Server)
}

// Counter carries calls to the shared counter, in order for each name. It reports
// the end of each with Gatekeeper.Counted.
type Counter interface {
	Add(c *Count)
}

// Request is a client's try. The front fills in the exported fields.
type Request struct {
	Name        string // the client's own for it, if any: no two open requests share one
	Class, Plan int
	Customer    uint64
	Left        float64 // milliseconds that the client still waits
	Units       float64
	Spread      int  // through how many gatekeepers the customer comes
	Again       bool // marked as a client's repeat
	Caller      Caller
	Payload     any // what the links send; the core does not look inside
	// Filling is set while the request's last byte is still to come: its time runs from
	// that on, and so does an execution's.
	Filling bool
	// Spent is set once it can't be sent again: bytes of it are no longer held.
	Spent bool
	// Homes is the regions whose workers it may go to, a bit for each; 0 for any.
	Homes uint64
	// Last is the last failure that a worker answered, kept here for a caller that passes it
	// on; nil where there was none, or its body was too long to be kept.
	Last *Answer
	// Ran tells that an execution that has ended may have run.
	Ran bool

	id       uint32
	deadline float64
	tally    Tally // of its class, nil where nobody counts
	execs    []*Execution
	open     int // executions without an outcome
	over     bool
}

// Execution is one attempt of a request on a worker.
type Execution struct {
	Request *Request
	Worker  policy.Server
	Timeout float64 // milliseconds that it may take
	Slot    any     // for the fleet's own use

	n     int
	began float64
	ended bool
	wrote bool // whole, to the worker

	filling bool // it was sent before the request's last byte had come
}

// End is how a request ended for its client.
type End int

// The ends.
const (
	Completed End = iota // served
	Rejected             // refused
	Failed
)

// Tally counts the ends of one class's requests.
type Tally interface{ Ended(how End) }

// Meter counts what a gatekeeper does.
type Meter interface {
	// Class is the tally of a class in force, nil where it is not counted.
	Class(class int) Tally
	// Wrote counts an attempt that was written whole to a worker.
	Wrote()
}

// Outcome is how an execution ended.
type Outcome struct {
	Status policy.Status
	Answer Answer    // where it served; or a failure to be kept as Request.Last, if it has a status
	Units  float64   // the true units, 0 where the worker told none
	Load   []float32 // in the order of the settings' report fields
}

// Count is one call to the shared counter.
type Count struct {
	Name   uint64
	Amount float64
	Life   float64 // of a new name, in milliseconds

	began  float64
	ended  bool
	status policy.Status
	total  float64
	took   policy.Micros
}

// Gatekeeper is one gatekeeper's requests, executions and timers.
type Gatekeeper struct {
	clock   *Clock
	decide  Module
	fleet   Fleet
	counter Counter
	wake    func(at float64)

	requests map[uint32]*Request
	names    map[string]bool // of the open requests that have one
	lastID   uint32
	counts   map[uint64][]*Count // that the module has not been told of, by name, in their order
	timers   timers
	wokenAt  float64
	patience float64 // of counter calls
	classes  []policy.Class
	recorder Recorder
	meter    Meter
	beside   func(policy.Draw) // what another process of this gatekeeper is told, nil for none
	booked   map[uint32]bool   // requests whose draw it knows from a snapshot
	deciding bool
	waiting  []func()               // events that came while a decision was being made
	known    map[policy.Server]bool // the listed workers, and whether they take work

	slowStart bool // cold workers' sends count from when they leave
}

// Config is what a Gatekeeper is made of.
type Config struct {
	Settings policy.Settings
	Seed     uint64
	Clock    *Clock
	Fleet    Fleet
	Counter  Counter
	Wake     func(at float64) // asks for a call of Advance at a time
	// Recorder, where set, is told all that enters and leaves the decision module.
	Recorder Recorder
	// Meter, where set, counts requests and attempts.
	Meter Meter
	// Earlier, where set, is what an earlier life of this gatekeeper knew at its end.
	Earlier *Earlier
}

// Earlier is the end of an earlier life.
type Earlier struct {
	State policy.Snapshot
	Exact bool // nothing of that life is missing
	Still bool // it goes on beside this one until it is told to end
}

// New makes a gatekeeper and starts its decision module.
func New(c Config) *Gatekeeper {
	g := &Gatekeeper{
		clock: c.Clock, decide: module(c), fleet: c.Fleet, counter: c.Counter, wake: c.Wake,
		requests: map[uint32]*Request{}, names: map[string]bool{}, known: map[policy.Server]bool{}, counts: map[uint64][]*Count{},
		patience: millis(c.Settings.CounterTimeout), classes: c.Settings.Classes, recorder: c.Recorder, meter: c.Meter,
		slowStart: c.Settings.ColdSends != nil,
	}
	if g.patience <= 0 {
		g.patience = 50
	}
	g.enter(func(now policy.Micros) { g.decide.Start(now, g) })
	if e := c.Earlier; e != nil {
		g.enter(func(now policy.Micros) {
			e.State.Now = min(e.State.Now, now) // the other process's clock may be a little ahead
			g.decide.Recover(now, g, e.State, e.Exact)
			if e.Still {
				g.decide.Joined(e.State)
			}
		})
	}
	return g
}

// module is the decision module, with the recorder around it where there is one.
func module(c Config) Module {
	if c.Recorder != nil {
		return newRecorded(c.Settings, c.Seed, c.Recorder)
	}
	return policy.New(c.Settings, c.Seed)
}

// enter runs one event on the decision module. An event that a link or front
// reports from inside a decision waits until that decision is made.
func (g *Gatekeeper) enter(event func(now policy.Micros)) {
	if g.deciding {
		g.waiting = append(g.waiting, func() { event(micros(g.clock.Now())) })
		return
	}
	g.deciding = true
	event(micros(g.clock.Now()))
	for len(g.waiting) > 0 {
		next := g.waiting
		g.waiting = nil
		for _, do := range next {
			do()
		}
	}
	g.deciding = false
	g.rewake()
}

// rewake asks to be woken for the earliest timer whose thing is not over. It guards
// against being woken once for every execution that ended long before its time was up.
func (g *Gatekeeper) rewake() {
	for len(g.timers.heap) > 0 && g.timers.heap[0].over() {
		g.timers.pop(g.timers.heap[0].at)
	}
	if len(g.timers.heap) > 0 && g.timers.heap[0].at != g.wokenAt {
		g.wokenAt = g.timers.heap[0].at
		g.wake(g.wokenAt)
	}
}

// Take takes a request on. Its caller will get one final answer. A request that has
// the name of an open one is not taken, and false returned: on workers the two would
// pass for one that is sent twice.
func (g *Gatekeeper) Take(r *Request) bool {
	if r.Name != "" {
		if g.names[r.Name] {
			return false
		}
		g.names[r.Name] = true
	}
	if g.meter != nil {
		r.tally = g.meter.Class(r.Class)
	}
	r.deadline = g.clock.Now() + r.Left
	g.lastID++
	for g.requests[g.lastID] != nil {
		g.lastID++
	}
	r.id = g.lastID
	g.requests[r.id] = r
	if g.recorder != nil && r.Name != "" {
		g.recorder.Named(r.id, r.Name)
	}
	g.enter(func(now policy.Micros) {
		if r.over { // the client left while the request waited
			return
		}
		left := micros(r.deadline - g.clock.Now())
		g.decide.Request(now, g, policy.Request{
			ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer, Left: left,
			Units: r.Units, Spread: r.Spread, Again: r.Again, Filling: r.Filling, Homes: r.Homes,
		})
	})
	return true
}

// Gone tells that a request's client has left: it is owed nothing any more.
func (g *Gatekeeper) Gone(r *Request) {
	if r.over {
		return
	}
	g.finish(r)
	g.enter(func(now policy.Micros) { g.decide.ClientGone(now, g, r.id) })
}

// Open is how many requests are owed an answer.
func (g *Gatekeeper) Open() int {
	n := 0
	for _, r := range g.requests {
		if !r.over {
			n++
		}
	}
	return n
}

// Done ends an execution. What comes after its end is ignored.
func (g *Gatekeeper) Done(x *Execution, o Outcome) {
	if x.ended {
		return
	}
	x.ended = true
	if o.Status != policy.ConnectFailed && o.Status != policy.Cancelled && o.Status != policy.Moot {
		g.Wrote(x)
	}
	r := x.Request
	r.Ran = r.Ran || o.Status != policy.Full && o.Status != policy.ConnectFailed && o.Status != policy.Moot
	served := o.Status == policy.OK
	if o.Status == policy.Failed && o.Answer.Status != 0 {
		r.keep(o.Answer)
	}
	over := r.over || served
	if served && !r.over {
		g.settle(x, o)
		g.end(r, Completed)
		r.Caller.Served(r, o.Answer)
	}
	g.outcome(x, o, over)
}

// lastMost is the longest body of a failure that is kept.
const lastMost = 64 << 10

// keep copies a failure, which holds only during the call.
func (r *Request) keep(a Answer) {
	if r.Last = nil; len(a.Body) <= lastMost {
		r.Last = &Answer{Status: a.Status, Head: slices.Clone(a.Head), Body: slices.Clone(a.Body)}
	}
}

// Counted ends a counter call. A call that has timed out is over already. The module is
// told of a name's calls in their order, as it can't tell them apart: a call that fails at
// once waits for an earlier one that is still out.
func (g *Gatekeeper) Counted(c *Count, st policy.Status, total float64) {
	if c.ended {
		return
	}
	c.ended, c.status, c.total, c.took = true, st, total, micros(g.clock.Now()-c.began)
	for list := g.counts[c.Name]; len(list) > 0 && list[0].ended; list = g.counts[c.Name] {
		first := list[0]
		if g.counts[c.Name] = list[1:]; len(list) == 1 {
			delete(g.counts, c.Name)
		}
		g.enter(func(now policy.Micros) { g.decide.Counted(now, g, first.Name, first.took, first.status, first.total) })
	}
}

// Workers brings the host group, whole or as changes to it.
func (g *Gatekeeper) Workers(kind policy.ListKind, entries []policy.Entry) {
	before := maps.Clone(g.known)
	if kind != policy.Delta {
		g.known = map[policy.Server]bool{}
	}
	for _, e := range entries {
		if g.known[e.Server] = e.State == policy.Ready; e.State == policy.Gone {
			delete(g.known, e.Server)
		}
	}
	var released []policy.Server
	for id, was := range before {
		if was && !g.known[id] {
			released = append(released, id)
		}
	}
	for id, ready := range g.known {
		if _, was := before[id]; !ready && !was {
			released = append(released, id)
		}
	}
	slices.Sort(released) // their executions' ends reach the module in this order
	for _, id := range released {
		g.fleet.Release(id)
	}
	g.enter(func(now policy.Micros) { g.decide.Servers(now, g, kind, entries) })
}

// SetClasses replaces the table of request classes. Requests taken before keep the
// terms they came with.
func (g *Gatekeeper) SetClasses(classes []policy.Class) {
	g.classes = classes
	g.enter(func(now policy.Micros) { g.decide.SetClasses(now, g, classes) })
}

// Class is the terms of a class of requests; those of an unknown one are zero.
func (g *Gatekeeper) Class(class int) policy.Class {
	if class < 0 || class >= len(g.classes) {
		return policy.Class{}
	}
	return g.classes[class]
}

// Hand makes a snapshot for a process that goes on beside this one. From now on tell is
// told what is drawn.
func (g *Gatekeeper) Hand(tell func(policy.Draw)) policy.Snapshot {
	s := g.decide.Snapshot()
	g.booked = map[uint32]bool{}
	for _, id := range s.Handed() {
		g.booked[id] = true
	}
	g.beside = tell
	return s
}

// Tell has what is drawn told from now on, or no longer where tell is nil.
func (g *Gatekeeper) Tell(tell func(policy.Draw)) {
	if g.beside = tell; tell == nil {
		g.booked = nil
	}
}

// Beside books what another process of this gatekeeper has drawn.
func (g *Gatekeeper) Beside(d policy.Draw) {
	g.enter(func(now policy.Micros) { g.decide.Beside(now, d) })
}

// draw tells the other process of an execution that starts: its first one draws the units.
func (g *Gatekeeper) draw(r *Request, x *Execution) {
	d := policy.Draw{Customer: r.Customer, Plan: r.Plan, Spread: r.Spread, Server: x.Worker}
	if x.n == 0 && !g.booked[r.id] {
		d.Units = r.Units
	}
	g.beside(d)
}

// Standings is what the decision module thinks of the workers, and how many
// executions it would have out at once.
func (g *Gatekeeper) Standings() ([]policy.Standing, float64) {
	return g.decide.Standings(micros(g.clock.Now()))
}

// Sightings is what the decision module has to tell of workers since it was last asked.
func (g *Gatekeeper) Sightings() []policy.Sighting {
	return g.decide.Sightings(micros(g.clock.Now()))
}

// Believe brings it what the zone's gatekeepers believe of workers.
func (g *Gatekeeper) Believe(of map[policy.Server]policy.Belief) {
	g.enter(func(now policy.Micros) { g.decide.Believe(now, g, of) })
}

// Ready tells whether there is a worker to serve with.
func (g *Gatekeeper) Ready() bool {
	ready, _ := g.Size()
	return ready > 0
}

// Load is what the decision module has to do now.
func (g *Gatekeeper) Load() policy.Load { return g.decide.Load() }

// Size is how many workers are listed, and how many of them take work.
func (g *Gatekeeper) Size() (ready, listed int) {
	for _, r := range g.known {
		if r {
			ready++
		}
	}
	return ready, len(g.known)
}

// Advance does what has come due.
func (g *Gatekeeper) Advance() {
	g.wokenAt = 0
	now := g.clock.Now()
	for {
		t, ok := g.timers.pop(now)
		if !ok {
			break
		}
		switch {
		case t.exec != nil:
			g.timeOut(t.exec)
		case t.count != nil:
			g.Counted(t.count, policy.Timeout, 0)
		default:
			g.enter(func(now policy.Micros) { g.decide.Timer(now, g, t.token) })
		}
	}
	g.rewake()
}

// timeOut ends an execution whose time is up. One that never got on its way has
// met a worker that could not be reached.
func (g *Gatekeeper) timeOut(x *Execution) {
	if x.ended {
		return
	}
	st := policy.ConnectFailed
	if g.fleet.Abandon(x) {
		st = policy.Timeout
	}
	g.Done(x, Outcome{Status: st})
}

// Wrote tells that the last byte of an execution has left for its worker. Links that can't
// see that need not call it: an outcome tells so too.
func (g *Gatekeeper) Wrote(x *Execution) {
	if x.wrote {
		return
	}
	x.wrote = true
	if x.filling { // a worker begins with the last byte
		x.began = g.clock.Now()
	}
	if g.meter != nil {
		g.meter.Wrote()
	}
	if g.slowStart {
		g.enter(func(now policy.Micros) { g.decide.Left(now, x.Request.id, x.n) })
	}
}

// MayLeave tells whether an execution that has waited for a link may still be written to its worker.
func (g *Gatekeeper) MayLeave(x *Execution) bool {
	return !g.slowStart || g.decide.MayLeave(micros(g.clock.Now()), x.Request.id, x.n)
}

// Filled tells that a request's last byte has come, after the request was taken.
func (g *Gatekeeper) Filled(r *Request) {
	if r.over || !r.Filling {
		return
	}
	r.Filling = false
	r.deadline = g.clock.Now() + r.Left
	for _, x := range r.execs {
		if !x.ended {
			g.timers.push(timer{at: r.deadline, exec: x})
		}
	}
	g.enter(func(now policy.Micros) { g.decide.Filled(now, r.id) })
}

// Progress tells that bytes of an execution move.
func (g *Gatekeeper) Progress(x *Execution) {
	if !x.ended {
		g.enter(func(now policy.Micros) { g.decide.Progress(now, x.Worker) })
	}
}

// Begun tells that the worker's answer has begun to flow to the caller, and what its head
// said. The execution is over for the decision module: it serves its request, or nobody
// does. Finish must follow.
func (g *Gatekeeper) Begun(x *Execution, o Outcome) {
	if x.ended || x.Request.over {
		return
	}
	g.settle(x, o)
	x.ended = true
	g.Wrote(x)
	g.outcome(x, o, true)
}

// Finish ends a request whose answer has flowed, whole or not.
func (g *Gatekeeper) Finish(r *Request, how End) {
	if !r.over {
		g.end(r, how)
	}
}

// settle tells another process of what a served request really drew.
func (g *Gatekeeper) settle(x *Execution, o Outcome) {
	if r := x.Request; g.beside != nil && o.Units > 0 {
		g.beside(policy.Draw{Customer: r.Customer, Plan: r.Plan, Spread: r.Spread, Units: o.Units - r.Units, Settles: true})
	}
}

// outcome tells the decision module how an execution ended.
func (g *Gatekeeper) outcome(x *Execution, o Outcome, over bool) {
	r, latency := x.Request, micros(g.clock.Now()-x.began)
	g.enter(func(now policy.Micros) {
		g.decide.Outcome(now, g, policy.Outcome{
			ID: r.id, Latency: latency, Terminal: over || r.over, Spent: r.Spent, Status: o.Status, Settled: o.Units,
			Attempt: x.n, Server: x.Worker, Load: o.Load,
		})
		r.open--
		g.forget(r)
	})
}

// end is the one place where a request gets its final answer.
func (g *Gatekeeper) end(r *Request, how End) {
	if r.tally != nil {
		r.tally.Ended(how)
	}
	g.finish(r)
}

func (g *Gatekeeper) finish(r *Request) {
	r.over = true
	delete(g.names, r.Name)
	g.forget(r)
}

// forget drops a request that is over from the table, once no execution of it is
// out: the decision module may still cancel those.
func (g *Gatekeeper) forget(r *Request) {
	if r.over && r.open == 0 {
		delete(g.requests, r.id)
	}
}

// Send implements policy.Host.
func (g *Gatekeeper) Send(id uint32, to policy.Server, timeout policy.Micros) {
	r := g.requests[id]
	if r == nil {
		return
	}
	x := &Execution{Request: r, Worker: to, Timeout: millis(timeout), n: len(r.execs), began: g.clock.Now()}
	if timeout == 0 {
		x.Timeout = r.deadline - x.began
	}
	r.execs = append(r.execs, x)
	r.open++
	if x.filling = r.Filling; !x.filling { // else Filled sees to it
		g.timers.push(timer{at: x.began + x.Timeout, exec: x})
	}
	if g.beside != nil {
		g.draw(r, x)
	}
	g.fleet.Execute(x)
}

// Refuse implements policy.Host.
func (g *Gatekeeper) Refuse(id uint32, retryAfter policy.Micros) {
	if r := g.requests[id]; r != nil && !r.over {
		g.end(r, Rejected)
		r.Caller.Throttled(r, millis(retryAfter))
	}
}

// Fail implements policy.Host.
func (g *Gatekeeper) Fail(id uint32) {
	if r := g.requests[id]; r != nil && !r.over {
		g.end(r, Failed)
		r.Caller.Failed(r)
	}
}

// Cancel implements policy.Host.
func (g *Gatekeeper) Cancel(id uint32, attempt int) {
	r := g.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.execs) || r.execs[attempt].ended {
		return
	}
	x := r.execs[attempt]
	if g.fleet.Abandon(x) {
		g.Wrote(x)
	}
	g.Done(x, Outcome{Status: policy.Cancelled})
}

// Timer implements policy.Host.
func (g *Gatekeeper) Timer(token uint64, after policy.Micros) {
	g.timers.push(timer{at: g.clock.Now() + millis(after), token: token})
}

// Count implements policy.Host.
func (g *Gatekeeper) Count(name uint64, amount float64, life policy.Micros) {
	c := &Count{Name: name, Amount: amount, Life: millis(life), began: g.clock.Now()}
	g.counts[name] = append(g.counts[name], c)
	g.timers.push(timer{at: c.began + g.patience, count: c})
	g.counter.Add(c)
}

// Over tells whether a call has ended, so that no answer to it is waited for.
func (c *Count) Over() bool { return c.ended }
