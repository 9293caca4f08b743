package gatekeeper

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxwood/policy"
)

// harness is a gatekeeper with fakes for its caller, fleet and counter, which record their calls.
type harness struct {
	*Gatekeeper
	clock         *Clock
	executions    []*Execution
	calls         []*CounterCall
	log           []string
	abandonResult SendProgress // the result of Abandon
}

func (r *harness) Execute(x *Execution) { r.executions = append(r.executions, x) }
func (r *harness) Abandon(x *Execution) SendProgress {
	r.record("abandon %d", x.attempt)
	return r.abandonResult
}
func (r *harness) Release(id policy.Server)    { r.record("release %d", id) }
func (r *harness) Add(c *CounterCall)          { r.calls = append(r.calls, c) }
func (r *harness) record(f string, a ...any)   { r.log = append(r.log, fmt.Sprintf(f, a...)) }
func (r *harness) Served(*Request, Answer)     { r.record("served") }
func (r *harness) Throttled(*Request, float64) { r.record("throttled") }
func (r *harness) Failed(*Request)             { r.record("failed") }

func newHarness(t *testing.T, change func(*policy.Settings)) *harness {
	t.Helper()
	s := policy.Settings{GatewayCount: 1, ClockTick: 4000, MaxAttempts: 3, CanCancel: true, SendRetryAfter: true,
		Classes: []policy.Class{
			{LatencyTarget: 400e3, Deadline: 2e6, Value: 1, Repeat: policy.RepeatSafe},
			{LatencyTarget: 400e3, Deadline: 2e6, Value: 1, Repeat: policy.RepeatUnsafe},
		},
		Plans: []policy.Plan{{Rate: 100, Burst: 100, Price: 1}}}
	if change != nil {
		change(&s)
	}
	r := &harness{clock: NewClock(), abandonResult: SentAll}
	r.clock.Set(1e6)
	r.Gatekeeper = New(Config{Settings: s, Seed: 1, Clock: r.clock, Workers: r, Counter: r, RequestWakeUp: func(float64) {}})
	r.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}})
	return r
}

func (r *harness) submit(class int) *Request {
	q := &Request{Class: class, TimeLeft: 1000, EstimatedUnits: 1, GatekeeperCount: 1, Responder: r}
	r.Submit(q)
	return q
}

func (r *harness) advance(ms float64) { r.clock.Set(r.clock.Now() + ms); r.RunDueTimers() }

func (r *harness) expect(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, r.log); diff != "" {
		t.Fatalf("calls of the fakes (-want +got):\n%s", diff)
	}
}

func TestEachRequestGetsOneFinalAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		act   func(r *harness, q *Request)
		want  []string
	}{
		"duplicate answer": {0, func(r *harness, _ *Request) {
			r.ExecutionEnded(r.executions[0], Outcome{Status: policy.OK})
			r.ExecutionEnded(r.executions[0], Outcome{Status: policy.OK})
		}, []string{"served"}},
		"answer after the timeout": {1, func(r *harness, _ *Request) {
			r.advance(1001)
			r.ExecutionEnded(r.executions[0], Outcome{Status: policy.OK})
		}, []string{"abandon 0", "failed"}},
		"error of a request that must not be repeated": {1, func(r *harness, _ *Request) {
			r.ExecutionEnded(r.executions[0], Outcome{Status: policy.Failed})
		}, []string{"failed"}},
		"refused by one worker, served by another": {1, func(r *harness, _ *Request) {
			r.ExecutionEnded(r.executions[0], Outcome{Status: policy.Full})
			r.ExecutionEnded(r.executions[1], Outcome{Status: policy.OK})
		}, []string{"served"}},
		"client disconnects": {0, func(r *harness, q *Request) {
			r.ClientGone(q)
			r.ClientGone(q)
			r.ExecutionEnded(r.executions[0], Outcome{Status: policy.OK})
			r.advance(2000)
		}, []string{"abandon 0"}},
		"errors of all three attempts": {0, func(r *harness, _ *Request) {
			for i := range 3 {
				r.ExecutionEnded(r.executions[i], Outcome{Status: policy.Failed})
			}
		}, []string{"throttled"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, nil)
			c.act(r, r.submit(c.class))
			r.expect(t, c.want...)
			if r.OpenRequests() != 0 || len(r.requests) != 0 {
				t.Fatalf("%d requests left in the table, %d open; want none", len(r.requests), r.OpenRequests())
			}
		})
	}
}

// TestExecutionsOfARequestDoNotOverlap guards the rule that a request never has two
// open executions at the same time.
func TestExecutionsOfARequestDoNotOverlap(t *testing.T) {
	r := newHarness(t, nil)
	r.submit(0)
	r.advance(250) // less than the class's latency target of 400 ms
	if len(r.executions) != 1 {
		t.Fatalf("%d executions while the first is open, want 1", len(r.executions))
	}
	r.ExecutionEnded(r.executions[0], Outcome{Status: policy.Reset})
	if len(r.executions) != 2 {
		t.Fatalf("%d executions of a repeatable request after a connection reset, want 2", len(r.executions))
	}
}

// TestTimeoutBeforeSendingIsARefusal checks that a timeout while the connection was still
// being set up gives a refusal, even for a request that must not be repeated: the request
// can't have run, so the answer must not be a failure.
func TestTimeoutBeforeSendingIsARefusal(t *testing.T) {
	r := newHarness(t, nil)
	r.abandonResult = SentNothing
	r.submit(1)
	r.advance(1001)
	r.expect(t, "abandon 0", "throttled")
}

// TestEventsDuringADecisionAreQueued guards against reentrant calls of the decision
// module, as when a transport fails immediately or a client disconnects while it is answered.
func TestEventsDuringADecisionAreQueued(t *testing.T) {
	r := newHarness(t, nil)
	eager := &fullFleet{harness: r}
	r.fleet = eager
	r.submit(1)
	r.advance(60) // both workers get no requests for a while after reporting that they are full
	r.expect(t, "throttled")
	if eager.attempts != 3 {
		t.Fatalf("%d attempts, want 3", eager.attempts)
	}
}

// fullFleet reports every worker as full from inside Execute.
type fullFleet struct {
	*harness
	attempts int
}

func (e *fullFleet) Execute(x *Execution) {
	e.attempts++
	e.ExecutionEnded(x, Outcome{Status: policy.Full})
}

// TestLateCounterResultIsIgnored checks that the decision module does not get the result
// of a counter call whose timeout it was told of before.
func TestLateCounterResultIsIgnored(t *testing.T) {
	r := newHarness(t, func(s *policy.Settings) {
		s.HasCounter, s.CounterTimeout, s.MaxUnits = true, 50e3, 6
		s.Plans[0] = policy.Plan{Rate: 5, Burst: 5, Price: 1, OverrunCost: 1}
	})
	r.submit(0)
	if len(r.calls) != 1 {
		t.Fatalf("%d counter calls for a plan with too low a rate to decide locally, want 1", len(r.calls))
	}
	r.advance(51)
	if !r.calls[0].IsOver() {
		t.Fatal("the call has not timed out after 51 ms, with a timeout of 50 ms")
	}
	before := len(r.log)
	r.CounterCallEnded(r.calls[0], policy.OK, 1)
	if len(r.log) != before {
		t.Fatalf("the late result caused calls: %q", r.log[before:])
	}
}

// TestNoWakeUpForEndedExecutions guards against a wake-up at the timeout of every
// execution, most of which were answered seconds before.
func TestNoWakeUpForEndedExecutions(t *testing.T) {
	r := newHarness(t, nil)
	var woken []float64
	r.Submit(&Request{TimeLeft: 998.5, EstimatedUnits: 1, GatekeeperCount: 1, Responder: r}) // a deadline that is not at a tick of 4 ms
	r.ExecutionEnded(r.executions[0], Outcome{Status: policy.OK})
	r.requestWakeUp = func(at float64) { woken = append(woken, at) }
	for len(r.timers.heap) > 0 && r.clock.Now() < 1e6+3000 {
		r.advance(r.timers.heap[0].due - r.clock.Now())
	}
	for _, at := range woken {
		if at == 1e6+998.5 {
			t.Error("wake-up at the deadline of an answered request")
		}
	}
}

func TestRemovedWorkerIsReleased(t *testing.T) {
	r := newHarness(t, nil)
	r.UpdateWorkers(policy.ListDelta, []policy.Entry{{Server: 1, State: policy.Draining}})
	r.expect(t, "release 1")
	if !r.Ready() {
		t.Fatal("not ready with one ready worker")
	}
	r.UpdateWorkers(policy.ListDelta, []policy.Entry{{Server: 2, State: policy.Gone}})
	r.expect(t, "release 1", "release 2")
	if r.Ready() {
		t.Fatal("ready without workers")
	}
}

func TestTimersExpireInOrder(t *testing.T) {
	var h timers
	for _, at := range []float64{5, 1, 4, 1, 3, 9, 2} {
		h.push(timer{due: at, token: uint64(at * 10)})
	}
	var order []float64
	for {
		x, ok := h.pop(5)
		if !ok {
			break
		}
		order = append(order, x.due)
	}
	if diff := cmp.Diff([]float64{1, 1, 2, 3, 4, 5}, order); diff != "" {
		t.Fatal(diff)
	}
}

// TestClockFollowsSystemClockWithoutGoingBack guards the counter's windows, on whose
// names all gatekeepers must agree, and the timers, which must not be delayed by a system
// clock that was set back.
func TestClockFollowsSystemClockWithoutGoingBack(t *testing.T) {
	wall, running := 5000.0, 0.0
	c := &Clock{readSystem: func() (float64, float64) { return wall, running }}
	c.now, c.lastRunning = c.readSystem()
	readAfter100ms := func(adjustment float64) float64 { wall += 100 + adjustment; running += 100; return c.Now() }
	got := []float64{readAfter100ms(0), readAfter100ms(-50), readAfter100ms(0), readAfter100ms(15), readAfter100ms(0)}
	if diff := cmp.Diff([]float64{5100, 5190, 5280, 5370, 5465}, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestCounterResultsOfANameKeepTheirOrder checks that results reach the decision module in
// the order of the calls, since it can't tell the calls of one counter name apart. They
// came out of order when a counter moved: a call that was held until the old server had
// answered then failed to connect to the new one, and ended before the call ahead of it.
func TestCounterResultsOfANameKeepTheirOrder(t *testing.T) {
	r := newHarness(t, func(s *policy.Settings) {
		s.HasCounter, s.CounterTimeout, s.MaxUnits = true, 50e3, 6
		s.Plans[0] = policy.Plan{Rate: 5, Burst: 5, Price: 1, OverrunCost: 1}
	})
	r.submit(0)
	r.submit(0)
	if len(r.calls) != 2 || r.calls[0].Name != r.calls[1].Name {
		t.Fatalf("%d counter calls for two requests of one customer, want 2 of the same name", len(r.calls))
	}
	r.CounterCallEnded(r.calls[1], policy.ConnectFailed, 0)
	if len(r.executions) != 0 {
		t.Fatal("the result of the second call was used for the first")
	}
	r.CounterCallEnded(r.calls[0], policy.OK, 0)
	if len(r.executions) != 2 {
		t.Fatalf("%d of 2 requests were sent to a worker", len(r.executions))
	}
}

// TestLastErrorResponseIsKept checks that Request.LastError holds a copy of a worker's error
// response, but neither a refusal nor a response above the size limit.
func TestLastErrorResponseIsKept(t *testing.T) {
	r := newHarness(t, nil)
	q := r.submit(0)
	body := []byte("broken")
	r.ExecutionEnded(r.executions[0], Outcome{Status: policy.Full, Answer: Answer{Status: 503}})
	if q.LastError != nil {
		t.Fatal("a refusal was kept")
	}
	r.ExecutionEnded(r.executions[1], Outcome{Status: policy.Failed, Answer: Answer{Status: 500, HeaderLines: []byte("A: b\r\n"), Body: body}})
	copy(body, "xxxxxx")
	if q.LastError == nil || q.LastError.Status != 500 || string(q.LastError.HeaderLines) != "A: b\r\n" || string(q.LastError.Body) != "broken" {
		t.Fatalf("kept %v, want the error response with status 500", q.LastError)
	}
	q.keepError(Answer{Status: 500, Body: make([]byte, maxErrorBody+1)})
	if q.LastError != nil {
		t.Fatalf("a body of %d bytes was kept", maxErrorBody+1)
	}
}

// TestRequestIsNotSentOutsideItsRegions checks that the decision module gets the regions
// of a request: one whose only allowed region has no worker waits and is then refused.
func TestRequestIsNotSentOutsideItsRegions(t *testing.T) {
	r := newHarness(t, nil)
	r.Submit(&Request{TimeLeft: 1000, EstimatedUnits: 1, GatekeeperCount: 1, Responder: r, Regions: 1 << 4})
	r.advance(1000)
	if len(r.executions) != 0 {
		t.Fatal("the request was sent to a worker of another region")
	}
	r.expect(t, "throttled")
}
