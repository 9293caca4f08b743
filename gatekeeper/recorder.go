package gatekeeper

import "foxwood/policy"

// Recorder is told everything that enters the decision module, by the methods named
// here, and everything that leaves it, by those of policy.Host, in order. What is given
// to it holds only during the call. It runs on the loop, and must not wait.
type Recorder interface {
	policy.Host
	// Began is the module's start, with its settings and the seed of its random draws.
	Began(now policy.Micros, s policy.Settings, seed uint64)
	// Named is the front's name for a request that is about to come in. The module is not
	// told it.
	Named(id uint32, name string)
	// Requested is a request that has come in.
	Requested(now policy.Micros, r policy.Request)
	// Gone is a request's client that has left.
	Gone(now policy.Micros, id uint32)
	// Ended is an execution's end.
	Ended(now policy.Micros, o policy.Outcome)
	// Counted is the end of a counter call.
	Counted(now policy.Micros, name uint64, delay policy.Micros, st policy.Status, total float64)
	// Listed is the worker list, or changes to it.
	Listed(now policy.Micros, kind policy.ListKind, entries []policy.Entry)
	// Classes is a table of classes in the place of the one before.
	Classes(now policy.Micros, classes []policy.Class)
	// Filled is a request's last byte that has come.
	Filled(now policy.Micros, id uint32)
	// Progressed is a worker that takes or gives bytes of an execution that is out.
	Progressed(now policy.Micros, at policy.Server)
	// Joined is another process of this gatekeeper that is there, with its beginning.
	Joined(now, born policy.Micros)
	// Beside is what that process has drawn.
	Beside(now policy.Micros, d policy.Draw)
	// Rang is a timer that has come due.
	Rang(now policy.Micros, token uint64)
	// Recovered is the state of an earlier life that is taken over; exact tells that
	// nothing of that life is missing.
	Recovered(now policy.Micros, s policy.Snapshot, exact bool)
	// Checkpoint offers the module's whole state, before each call but the first. To take
	// it costs the loop time, so a recorder takes it now and then.
	Checkpoint(now policy.Micros, take func() policy.Snapshot)
}

// Module is the decision module as the core calls it. *policy.Gateway is one.
type Module interface {
	Start(now policy.Micros, do policy.Host)
	Request(now policy.Micros, do policy.Host, r policy.Request)
	ClientGone(now policy.Micros, do policy.Host, id uint32)
	Outcome(now policy.Micros, do policy.Host, o policy.Outcome)
	Counted(now policy.Micros, do policy.Host, name uint64, delay policy.Micros, st policy.Status, total float64)
	Servers(now policy.Micros, do policy.Host, kind policy.ListKind, entries []policy.Entry)
	SetClasses(now policy.Micros, do policy.Host, classes []policy.Class)
	Timer(now policy.Micros, do policy.Host, token uint64)
	Recover(now policy.Micros, do policy.Host, s policy.Snapshot, exact bool)
	Standings(now policy.Micros) ([]policy.Standing, float64)
	Snapshot() policy.Snapshot
	Joined(s policy.Snapshot)
	Beside(now policy.Micros, d policy.Draw)
	Filled(now policy.Micros, id uint32)
	Progress(now policy.Micros, at policy.Server)
	// Recorders are not told of these: they matter to the whole system only.
	Left(now policy.Micros, id uint32, attempt int)
	MayLeave(now policy.Micros, id uint32, attempt int) bool
	Load() policy.Load
	Sightings(now policy.Micros) []policy.Sighting
	Believe(now policy.Micros, do policy.Host, of map[policy.Server]policy.Belief)
}

// recorded is a module whose calls, and whose calls of its host, a recorder is told.
type recorded struct {
	*policy.Gateway
	set  policy.Settings
	seed uint64
	rec  Recorder
	tee  tee
	// snapshot is the module's, made once so that to offer it allocates nothing.
	snapshot func() policy.Snapshot
}

func newRecorded(s policy.Settings, seed uint64, rec Recorder) *recorded {
	g := policy.New(s, seed)
	return &recorded{Gateway: g, set: s, seed: seed, rec: rec, tee: tee{rec: rec}, snapshot: g.Snapshot}
}

// to is the host with the recorder before it.
func (m *recorded) to(do policy.Host) policy.Host {
	m.tee.Host = do
	return &m.tee
}

func (m *recorded) Start(now policy.Micros, do policy.Host) {
	m.rec.Began(now, m.set, m.seed)
	m.Gateway.Start(now, m.to(do))
}

func (m *recorded) Request(now policy.Micros, do policy.Host, r policy.Request) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Requested(now, r)
	m.Gateway.Request(now, m.to(do), r)
}

func (m *recorded) ClientGone(now policy.Micros, do policy.Host, id uint32) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Gone(now, id)
	m.Gateway.ClientGone(now, m.to(do), id)
}

func (m *recorded) Outcome(now policy.Micros, do policy.Host, o policy.Outcome) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Ended(now, o)
	m.Gateway.Outcome(now, m.to(do), o)
}

func (m *recorded) Counted(now policy.Micros, do policy.Host, name uint64, delay policy.Micros, st policy.Status, total float64) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Counted(now, name, delay, st, total)
	m.Gateway.Counted(now, m.to(do), name, delay, st, total)
}

func (m *recorded) Servers(now policy.Micros, do policy.Host, kind policy.ListKind, entries []policy.Entry) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Listed(now, kind, entries)
	m.Gateway.Servers(now, m.to(do), kind, entries)
}

func (m *recorded) SetClasses(now policy.Micros, do policy.Host, classes []policy.Class) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Classes(now, classes)
	m.Gateway.SetClasses(now, m.to(do), classes)
}

func (m *recorded) Timer(now policy.Micros, do policy.Host, token uint64) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Rang(now, token)
	m.Gateway.Timer(now, m.to(do), token)
}

func (m *recorded) Recover(now policy.Micros, do policy.Host, s policy.Snapshot, exact bool) {
	m.rec.Recovered(now, s, exact)
	m.Gateway.Recover(now, m.to(do), s, exact)
}

func (m *recorded) Filled(now policy.Micros, id uint32) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Filled(now, id)
	m.Gateway.Filled(now, id)
}

func (m *recorded) Progress(now policy.Micros, at policy.Server) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Progressed(now, at)
	m.Gateway.Progress(now, at)
}

func (m *recorded) Joined(s policy.Snapshot) {
	m.rec.Joined(s.Now, s.Born)
	m.Gateway.Joined(s)
}

func (m *recorded) Beside(now policy.Micros, d policy.Draw) {
	m.rec.Checkpoint(now, m.snapshot)
	m.rec.Beside(now, d)
	m.Gateway.Beside(now, d)
}

// tee is a host whose calls a recorder is told first.
type tee struct {
	policy.Host
	rec Recorder
}

func (t *tee) Send(id uint32, to policy.Server, timeout policy.Micros) {
	t.rec.Send(id, to, timeout)
	t.Host.Send(id, to, timeout)
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

func (t *tee) Timer(token uint64, after policy.Micros) {
	t.rec.Timer(token, after)
	t.Host.Timer(token, after)
}

func (t *tee) Count(name uint64, amount float64, ttl policy.Micros) {
	t.rec.Count(name, amount, ttl)
	t.Host.Count(name, amount, ttl)
}
