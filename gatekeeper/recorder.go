package gatekeeper

import "foxwood/policy"

// Recorder receives, in order, every call into the decision module through the methods
// declared here, and every call that the module makes through the methods of policy.Host.
// Arguments are valid only during the call. A Recorder is called on the event loop and
// must not block.
type Recorder interface {
	policy.Host
	// Started records the module's start, with its settings and the seed of its random numbers.
	Started(now policy.Micros, s policy.Settings, seed uint64)
	// RequestNamed records the front end's name for a request, just before RequestReceived. The module
	// itself does not get the name.
	RequestNamed(id uint32, name string)
	// RequestReceived records a new request.
	RequestReceived(now policy.Micros, r policy.Request)
	// ClientGone records that a request's client has disconnected.
	ClientGone(now policy.Micros, id uint32)
	// ExecutionEnded records the outcome of an execution.
	ExecutionEnded(now policy.Micros, o policy.Outcome)
	// CounterCallEnded records the result of a counter call.
	CounterCallEnded(now policy.Micros, name uint64, delay policy.Micros, status policy.Status, total float64)
	// WorkersUpdated records a worker list, or changes to it.
	WorkersUpdated(now policy.Micros, kind policy.ListKind, entries []policy.Entry)
	// ClassesReplaced records a table of classes that replaces the previous one.
	ClassesReplaced(now policy.Micros, classes []policy.Class)
	// BodyReceived records that the last byte of a request has arrived.
	BodyReceived(now policy.Micros, id uint32)
	// WorkerProgressed records that bytes of an open execution were sent to or received from a worker.
	WorkerProgressed(now policy.Micros, worker policy.Server)
	// PeerJoined records that another process of this gatekeeper runs in parallel, and when that
	// process was started.
	PeerJoined(now, born policy.Micros)
	// PeerDrew records a quota draw of that process.
	PeerDrew(now policy.Micros, d policy.PeerDraw)
	// TimerExpired records that a timer has expired.
	TimerExpired(now policy.Micros, token uint64)
	// StateRecovered records that the module takes over the state of the previous process; exact
	// means that the state is complete.
	StateRecovered(now policy.Micros, state policy.Snapshot, exact bool)
	// OfferCheckpoint offers the module's complete state before each recorded call except Start,
	// Recover and Joined. Calling take costs time on the event loop, so a Recorder should do
	// so only at intervals.
	OfferCheckpoint(now policy.Micros, take func() policy.Snapshot)
}

// Module is the decision module as the core calls it. It is implemented by *policy.Gateway.
type Module interface {
	Start(now policy.Micros, host policy.Host)
	Request(now policy.Micros, host policy.Host, r policy.Request)
	ClientGone(now policy.Micros, host policy.Host, id uint32)
	Outcome(now policy.Micros, host policy.Host, o policy.Outcome)
	CounterResult(now policy.Micros, host policy.Host, name uint64, delay policy.Micros, status policy.Status, total float64)
	Servers(now policy.Micros, host policy.Host, kind policy.ListKind, entries []policy.Entry)
	SetClasses(now policy.Micros, host policy.Host, classes []policy.Class)
	Timer(now policy.Micros, host policy.Host, token uint64)
	Recover(now policy.Micros, host policy.Host, state policy.Snapshot, exact bool)
	ServerStatuses(now policy.Micros) ([]policy.ServerStatus, float64)
	Snapshot() policy.Snapshot
	InheritStart(state policy.Snapshot)
	RecordPeerDraw(now policy.Micros, d policy.PeerDraw)
	BodyReceived(now policy.Micros, id uint32)
	Progress(now policy.Micros, worker policy.Server)
	// The calls below are not recorded: they matter only to the system as a whole, and
	// not to the replay of one module.
	AttemptSent(now policy.Micros, id uint32, attempt int)
	MaySend(now policy.Micros, id uint32, attempt int) bool
	Load() policy.Load
	TakeObservations(now policy.Micros) []policy.Observation
	SetVerdicts(now policy.Micros, host policy.Host, beliefs map[policy.Server]policy.Verdict)
}

// recordedModule is a decision module that passes all calls of the module, and all calls
// that the module makes, to a recorder first.
type recordedModule struct {
	*policy.Gateway
	settings policy.Settings
	seed     uint64
	recorder Recorder
	host     recordingHost
	// snapshot is the module's Snapshot method, stored so that offering it does not allocate.
	snapshot func() policy.Snapshot
}

// newRecordedModule creates a decision module whose calls a recorder receives.
func newRecordedModule(s policy.Settings, seed uint64, recorder Recorder) *recordedModule {
	g := policy.New(s, seed)
	return &recordedModule{Gateway: g, settings: s, seed: seed, recorder: recorder, host: recordingHost{recorder: recorder}, snapshot: g.Snapshot}
}

// wrap returns the host wrapped so that the recorder gets its calls first.
func (m *recordedModule) wrap(host policy.Host) policy.Host {
	m.host.Host = host
	return &m.host
}

func (m *recordedModule) Start(now policy.Micros, host policy.Host) {
	m.recorder.Started(now, m.settings, m.seed)
	m.Gateway.Start(now, m.wrap(host))
}

func (m *recordedModule) Request(now policy.Micros, host policy.Host, r policy.Request) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.RequestReceived(now, r)
	m.Gateway.Request(now, m.wrap(host), r)
}

func (m *recordedModule) ClientGone(now policy.Micros, host policy.Host, id uint32) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.ClientGone(now, id)
	m.Gateway.ClientGone(now, m.wrap(host), id)
}

func (m *recordedModule) Outcome(now policy.Micros, host policy.Host, o policy.Outcome) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.ExecutionEnded(now, o)
	m.Gateway.Outcome(now, m.wrap(host), o)
}

func (m *recordedModule) CounterResult(now policy.Micros, host policy.Host, name uint64, delay policy.Micros, status policy.Status, total float64) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.CounterCallEnded(now, name, delay, status, total)
	m.Gateway.CounterResult(now, m.wrap(host), name, delay, status, total)
}

func (m *recordedModule) Servers(now policy.Micros, host policy.Host, kind policy.ListKind, entries []policy.Entry) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.WorkersUpdated(now, kind, entries)
	m.Gateway.Servers(now, m.wrap(host), kind, entries)
}

func (m *recordedModule) SetClasses(now policy.Micros, host policy.Host, classes []policy.Class) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.ClassesReplaced(now, classes)
	m.Gateway.SetClasses(now, m.wrap(host), classes)
}

func (m *recordedModule) Timer(now policy.Micros, host policy.Host, token uint64) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.TimerExpired(now, token)
	m.Gateway.Timer(now, m.wrap(host), token)
}

func (m *recordedModule) Recover(now policy.Micros, host policy.Host, state policy.Snapshot, exact bool) {
	m.recorder.StateRecovered(now, state, exact)
	m.Gateway.Recover(now, m.wrap(host), state, exact)
}

func (m *recordedModule) BodyReceived(now policy.Micros, id uint32) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.BodyReceived(now, id)
	m.Gateway.BodyReceived(now, id)
}

func (m *recordedModule) Progress(now policy.Micros, worker policy.Server) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.WorkerProgressed(now, worker)
	m.Gateway.Progress(now, worker)
}

func (m *recordedModule) InheritStart(state policy.Snapshot) {
	m.recorder.PeerJoined(state.Now, state.StartedAt)
	m.Gateway.InheritStart(state)
}

func (m *recordedModule) RecordPeerDraw(now policy.Micros, d policy.PeerDraw) {
	m.recorder.OfferCheckpoint(now, m.snapshot)
	m.recorder.PeerDrew(now, d)
	m.Gateway.RecordPeerDraw(now, d)
}

// recordingHost is a host that passes each call to a recorder before the actual host.
type recordingHost struct {
	policy.Host
	recorder Recorder
}

func (t *recordingHost) Send(id uint32, worker policy.Server, timeout policy.Micros) {
	t.recorder.Send(id, worker, timeout)
	t.Host.Send(id, worker, timeout)
}

func (t *recordingHost) Refuse(id uint32, retryAfter policy.Micros) {
	t.recorder.Refuse(id, retryAfter)
	t.Host.Refuse(id, retryAfter)
}

func (t *recordingHost) Fail(id uint32) {
	t.recorder.Fail(id)
	t.Host.Fail(id)
}

func (t *recordingHost) Cancel(id uint32, attempt int) {
	t.recorder.Cancel(id, attempt)
	t.Host.Cancel(id, attempt)
}

func (t *recordingHost) Timer(token uint64, delay policy.Micros) {
	t.recorder.Timer(token, delay)
	t.Host.Timer(token, delay)
}

func (t *recordingHost) Count(name uint64, amount float64, ttl policy.Micros) {
	t.recorder.Count(name, amount, ttl)
	t.Host.Count(name, amount, ttl)
}
