package gatekeeper

import "foxwood/policy"

// Recorder receives, in order, every call into the decision module through the methods
// declared here, and every call that the module makes through the methods of policy.Host.
// Arguments are valid only during the call. A Recorder is called on the event loop and
// must not block.
type Recorder interface {
	policy.Host
	// Began records the module's start, with its settings and the seed of its random numbers.
	Began(now policy.Micros, s policy.Settings, seed uint64)
	// Named records the front end's name for a request, just before Requested. The module
	// itself does not get the name.
	Named(id uint32, name string)
	// Requested records a new request.
	Requested(now policy.Micros, r policy.Request)
	// Gone records that a request's client has disconnected.
	Gone(now policy.Micros, id uint32)
	// Ended records the outcome of an execution.
	Ended(now policy.Micros, o policy.Outcome)
	// Counted records the result of a counter call.
	Counted(now policy.Micros, name uint64, delay policy.Micros, status policy.Status, total float64)
	// Listed records a worker list, or changes to it.
	Listed(now policy.Micros, kind policy.ListKind, entries []policy.Entry)
	// Classes records a table of classes that replaces the previous one.
	Classes(now policy.Micros, classes []policy.Class)
	// Filled records that the last byte of a request has arrived.
	Filled(now policy.Micros, id uint32)
	// Progressed records that bytes of an open execution were sent to or received from a worker.
	Progressed(now policy.Micros, worker policy.Server)
	// Joined records that another process of this gatekeeper runs in parallel, and when that
	// process was started.
	Joined(now, born policy.Micros)
	// Beside records a quota draw of that process.
	Beside(now policy.Micros, d policy.Draw)
	// Rang records that a timer has expired.
	Rang(now policy.Micros, token uint64)
	// Recovered records that the module takes over the state of the previous process; exact
	// means that the state is complete.
	Recovered(now policy.Micros, state policy.Snapshot, exact bool)
	// Checkpoint offers the module's complete state before each recorded call except Start,
	// Recover and Joined. Calling take costs time on the event loop, so a Recorder should do
	// so only at intervals.
	Checkpoint(now policy.Micros, take func() policy.Snapshot)
}

// Module is the decision module as the core calls it. It is implemented by *policy.Gateway.
type Module interface {
	Start(now policy.Micros, host policy.Host)
	Request(now policy.Micros, host policy.Host, r policy.Request)
	ClientGone(now policy.Micros, host policy.Host, id uint32)
	Outcome(now policy.Micros, host policy.Host, o policy.Outcome)
	Counted(now policy.Micros, host policy.Host, name uint64, delay policy.Micros, status policy.Status, total float64)
	Servers(now policy.Micros, host policy.Host, kind policy.ListKind, entries []policy.Entry)
	SetClasses(now policy.Micros, host policy.Host, classes []policy.Class)
	Timer(now policy.Micros, host policy.Host, token uint64)
	Recover(now policy.Micros, host policy.Host, state policy.Snapshot, exact bool)
	Standings(now policy.Micros) ([]policy.Standing, float64)
	Snapshot() policy.Snapshot
	Joined(state policy.Snapshot)
	Beside(now policy.Micros, d policy.Draw)
	Filled(now policy.Micros, id uint32)
	Progress(now policy.Micros, worker policy.Server)
	// The calls below are not recorded: they matter only to the system as a whole, and
	// not to the replay of one module.
	Left(now policy.Micros, id uint32, attempt int)
	MayLeave(now policy.Micros, id uint32, attempt int) bool
	Load() policy.Load
	Sightings(now policy.Micros) []policy.Sighting
	Believe(now policy.Micros, host policy.Host, beliefs map[policy.Server]policy.Belief)
}

// recorded is a decision module that passes all calls of the module, and all calls that
// the module makes, to a recorder first.
type recorded struct {
	*policy.Gateway
	set  policy.Settings
	seed uint64
	rec  Recorder
	tee  tee
	// snapshot is the module's Snapshot method, stored so that offering it does not allocate.
	snapshot func() policy.Snapshot
}

func newRecorded(s policy.Settings, seed uint64, rec Recorder) *recorded {
	g := policy.New(s, seed)
	return &recorded{Gateway: g, set: s, seed: seed, rec: rec, tee: tee{rec: rec}, snapshot: g.Snapshot}
}

// to returns the host wrapped so that the recorder gets its calls first.
func (m *recorded) to(host policy.Host) policy.Host {
	m.tee.Host = host
	return &m.tee
}

func (m *recorded) Start(now policy.Micros, host policy.Host) {
	m.rec.Began(now, m.set, m.seed)
	m.Gateway.Start(now, m.to(host))
}

func (m *recorded) Request(now policy.Micros, host policy.Host, r policy.Request) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Requested(now, r)
	m.Gateway.Request(now, m.to(host), r)
}

func (m *recorded) ClientGone(now policy.Micros, host policy.Host, id uint32) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Gone(now, id)
	m.Gateway.ClientGone(now, m.to(host), id)
}

func (m *recorded) Outcome(now policy.Micros, host policy.Host, o policy.Outcome) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Ended(now, o)
	m.Gateway.Outcome(now, m.to(host), o)
}

func (m *recorded) Counted(now policy.Micros, host policy.Host, name uint64, delay policy.Micros, status policy.Status, total float64) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Counted(now, name, delay, status, total)
	m.Gateway.Counted(now, m.to(host), name, delay, status, total)
}

func (m *recorded) Servers(now policy.Micros, host policy.Host, kind policy.ListKind, entries []policy.Entry) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Listed(now, kind, entries)
	m.Gateway.Servers(now, m.to(host), kind, entries)
}

func (m *recorded) SetClasses(now policy.Micros, host policy.Host, classes []policy.Class) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Classes(now, classes)
	m.Gateway.SetClasses(now, m.to(host), classes)
}

func (m *recorded) Timer(now policy.Micros, host policy.Host, token uint64) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Rang(now, token)
	m.Gateway.Timer(now, m.to(host), token)
}

func (m *recorded) Recover(now policy.Micros, host policy.Host, state policy.Snapshot, exact bool) {
	m.rec.Recovered(now, state, exact)
	m.Gateway.Recover(now, m.to(host), state, exact)
}

func (m *recorded) Filled(now policy.Micros, id uint32) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Filled(now, id)
	m.Gateway.Filled(now, id)
}

func (m *recorded) Progress(now policy.Micros, worker policy.Server) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Progressed(now, worker)
	m.Gateway.Progress(now, worker)
}

func (m *recorded) Joined(state policy.Snapshot) {
	m.rec.Joined(state.Now, state.Born)
	m.Gateway.Joined(state)
}

func (m *recorded) Beside(now policy.Micros, d policy.Draw) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Beside(now, d)
	m.Gateway.Beside(now, d)
}

// tee is a host that passes each call to a recorder before the actual host.
type tee struct {
	policy.Host
	rec Recorder
}

func (t *tee) Send(id uint32, worker policy.Server, timeout policy.Micros) {
	t.rec.Send(id, worker, timeout)
	t.Host.Send(id, worker, timeout)
}

func (t *tee) Refuse(id uint32, retryAfter policy.Micros) {
	t.rec.Refuse(id, retryAfter)
	t.Host.Refuse(id, retryAfter)
}

func (t *tee) Fail(id uint32) {
	t.rec.Fail(id)
	t.Host.Fail(id)
}

func (t *tee) Cancel(id uint32, attempt int) {
	t.rec.Cancel(id, attempt)
	t.Host.Cancel(id, attempt)
}

func (t *tee) Timer(token uint64, delay policy.Micros) {
	t.rec.Timer(token, delay)
	t.Host.Timer(token, delay)
}

func (t *tee) Count(name uint64, amount float64, ttl policy.Micros) {
	t.rec.Count(name, amount, ttl)
	t.Host.Count(name, amount, ttl)
}
