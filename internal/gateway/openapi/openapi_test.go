package openapi

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// descriptionWith returns a description with the operations cuota, maxima and simulacion. cuota and
// simulacion are the terms of these operations, which have none if the text is empty; more is
// added to the paths.
func descriptionWith(cuota, simulacion, more string) string {
	term := func(v string) string {
		if v == "" {
			return ""
		}
		return `"x-foxwood":` + v + `,`
	}
	const ok = `"responses":{"200":{"description":"ok"}}`
	const key = `"parameters":[{"name":"Idempotency-Key","in":"header","required":true,"schema":{"type":"string"}}],`
	return `{"openapi":"3.0.3","info":{"title":"calculadora","version":"1"},"servers":[{"url":"https://cuota.invalid/v1"}],
		"x-foxwood":{"deadline-ms":2000,"window-ms":1000},
		"paths":{
		"/cuota/{meses}":{"get":{"operationId":"cuota",` + term(cuota) + `
			"parameters":[{"name":"meses","in":"path","required":true,"schema":{"type":"integer"}}],` + ok + `}},
		"/cuota/maxima":{"get":{"operationId":"maxima","x-foxwood":{"units":1,"aim-ms":100},` + ok + `}},
		"/simulacion":{"post":{"operationId":"simulacion",` + key + term(simulacion) + ok + `}}` + more + `}}`
}

const (
	cuotaTerms      = `{"units":2,"aim-ms":400}`
	simulacionTerms = `{"units":3,"aim-ms":750,"worth":2}`
)

func parse(t *testing.T, text string) *Description {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestParseDescription checks the classes and routes of a description.
func TestParseDescription(t *testing.T) {
	description := parse(t, descriptionWith(cuotaTerms, simulacionTerms, ""))
	want := map[string]policy.Class{
		"cuota":      {LatencyTarget: 400e3, Deadline: 2e6, RepeatWindow: 1e6, Value: 1, Repeat: policy.RepeatSafe},
		"maxima":     {LatencyTarget: 100e3, Deadline: 2e6, RepeatWindow: 1e6, Value: 1, Repeat: policy.RepeatSafe},
		"simulacion": {LatencyTarget: 750e3, Deadline: 2e6, RepeatWindow: 1e6, Value: 2, Repeat: policy.RepeatKeyed},
	}
	got := map[string]policy.Class{}
	for _, c := range description.classes {
		got[c.name] = c.terms
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for request, want := range map[string]string{
		"GET /v1/cuota/12":      "cuota 2",
		"GET /v1/cuota/maxima":  "maxima 1",
		"POST /v1/simulacion":   "simulacion 3",
		"GET /v1/cuota":         "[]",
		"GET /v1/cuota/":        "[]",
		"GET /v1/cuota/12/x":    "[]",
		"GET /cuota/12":         "[]",
		"DELETE /v1/simulacion": "[POST]",
	} {
		method, path, _ := strings.Cut(request, " ")
		r, allowed := description.find(method, path)
		got := fmt.Sprint(allowed)
		if r != nil {
			got = fmt.Sprint(description.classes[r.class].name, " ", r.units)
		}
		if got != want {
			t.Errorf("%s: %s, want %s", request, got, want)
		}
	}
}

// TestParseRejectsIncompleteTerms checks that missing or invalid terms are errors, and that missing
// units are not guessed.
func TestParseRejectsIncompleteTerms(t *testing.T) {
	for name, c := range map[string]struct{ cuota, simulacion, more, says string }{
		"no cost":            {``, simulacionTerms, ``, `operation "cuota" states no cost`},
		"terms without cost": {cuotaTerms, `{"aim-ms":750}`, ``, `operation "simulacion" states no cost`},
		"a cost below 0":     {`{"units":-1,"aim-ms":400}`, simulacionTerms, ``, `operation "cuota" states no cost`},
		"a misspelt term":    {`{"units":1,"aim":400}`, simulacionTerms, ``, `unknown field "aim"`},
		"no aim":             {`{"units":1}`, simulacionTerms, ``, `aim-ms`},
		"no such repeat":     {`{"units":1,"aim-ms":400,"repeat":"often"}`, simulacionTerms, ``, `repeat "often"`},
		"no window":          {cuotaTerms, `{"units":1,"aim-ms":400,"window-ms":0}`, ``, `keyed without window-ms`},
		"a class with two terms": {cuotaTerms, `{"units":3,"aim-ms":750,"class":"cuota"}`, ``,
			`class "cuota" has other terms elsewhere`},
		"not a description": {cuotaTerms, simulacionTerms, `,"/x":{"get":{}}`, `responses`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(descriptionWith(c.cuota, c.simulacion, c.more)))
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Fatalf("error %v, want one that says %s", err, c.says)
			}
		})
	}
}

var names = settings.Names{Plans: []string{"basico", "mayor"}}

func someSettings(classes []policy.Class) policy.Settings {
	return policy.Settings{GatewayCount: 1, ClockTick: 4000, MaxAttempts: 3, CanCancel: true, SendRetryAfter: true, Classes: classes,
		Plans: []policy.Plan{{Rate: 3, Burst: 6, Price: 1}, {Rate: 300, Burst: 300, Price: 1.6}}}
}

func newTestFront(t *testing.T, description *Description, clock *gatekeeper.Clock) *Frontend {
	t.Helper()
	front, err := NewFrontend(Config{CustomerHeader: "X-Banco", Plans: map[string]string{"sur": "mayor"}, DefaultPlan: "basico",
		DeadlineHeader: "X-Deadline"}, description, someSettings(nil), names, clock)
	if err != nil {
		t.Fatal(err)
	}
	return front
}

// message parses a request like a client connection does.
func message(t *testing.T, method, target string, heads ...string) *http1.Message {
	t.Helper()
	p := http1.NewRequestParser()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\n%s\r\n", method, target, strings.Join(append(heads, ""), "\r\n"))
	if _, done, err := p.Feed([]byte(text)); !done || err != nil {
		t.Fatal(done, err)
	}
	return p.Message()
}

// decisionRecorder is a gatekeeper that records its decisions.
type decisionRecorder struct {
	*gatekeeper.Gatekeeper
	clock      *gatekeeper.Clock
	executions []*gatekeeper.Execution
	decisions  []string
	numbers    map[*gatekeeper.Request]int
}

func newDecisionRecorder(classes []policy.Class, clock *gatekeeper.Clock) *decisionRecorder {
	recorder := &decisionRecorder{clock: clock, numbers: map[*gatekeeper.Request]int{}}
	recorder.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: someSettings(classes), Seed: 5, Clock: clock, Workers: recorder,
		Counter: recorder, RequestWakeUp: func(float64) {}})
	recorder.UpdateWorkers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}})
	return recorder
}

func (r *decisionRecorder) record(request *gatekeeper.Request, format string, a ...any) {
	r.decisions = append(r.decisions, fmt.Sprintf("%.0f: request %d ", r.clock.Now(), r.numbers[request])+fmt.Sprintf(format, a...))
}
func (r *decisionRecorder) Execute(x *gatekeeper.Execution) {
	r.executions = append(r.executions, x)
	r.record(x.Request, "to %d for %.3f", x.Worker, x.Timeout)
}
func (r *decisionRecorder) Abandon(x *gatekeeper.Execution) gatekeeper.SendProgress {
	r.record(x.Request, "abandoned")
	return gatekeeper.SentAll
}
func (r *decisionRecorder) Release(policy.Server)                             {}
func (r *decisionRecorder) Add(*gatekeeper.CounterCall)                       {}
func (r *decisionRecorder) Served(q *gatekeeper.Request, _ gatekeeper.Answer) { r.record(q, "served") }
func (r *decisionRecorder) Throttled(q *gatekeeper.Request, after float64) {
	r.record(q, "throttled %.3f", after)
}
func (r *decisionRecorder) Failed(q *gatekeeper.Request) { r.record(q, "failed") }

func (r *decisionRecorder) submit(request *gatekeeper.Request, n int) {
	request.Responder, r.numbers[request] = r, n
	r.Submit(request)
}

// TestReplacedDescriptionDecidesLikeSettings changes a description under load, and compares all
// decisions with those of a gatekeeper that has the same classes and units in its settings.
func TestReplacedDescriptionDecidesLikeSettings(t *testing.T) {
	clock := gatekeeper.NewClock()
	clock.Set(1e6)
	front := newTestFront(t, parse(t, descriptionWith(cuotaTerms, simulacionTerms, "")), clock)
	described := newDecisionRecorder(front.Classes(), clock)
	front.Attach(described, func() bool { return false })

	maxima := policy.Class{LatencyTarget: 100e3, Deadline: 2e6, RepeatWindow: 1e6, Value: 1, Repeat: policy.RepeatSafe}
	cuota := policy.Class{LatencyTarget: 400e3, Deadline: 2e6, RepeatWindow: 1e6, Value: 1, Repeat: policy.RepeatSafe}
	simulacion := policy.Class{LatencyTarget: 750e3, Deadline: 2e6, RepeatWindow: 1e6, Value: 2, Repeat: policy.RepeatKeyed}
	changed := policy.Class{LatencyTarget: 500e3, Deadline: 2e6, RepeatWindow: 3e6, Value: 5, Repeat: policy.RepeatKeyed}
	// The hand-written table has the same order, and the changed class is appended.
	table := []policy.Class{simulacion, maxima, cuota}
	if diff := cmp.Diff(table, front.Classes()); diff != "" {
		t.Fatal(diff)
	}
	reference := newDecisionRecorder(table, clock)
	classIndex := map[string]int{"simulacion": 0, "maxima": 1, "cuota": 2}
	units := map[string]float64{"maxima": 1, "simulacion": 3, "cuota": 2}
	targets := map[string]string{"maxima": "/v1/cuota/maxima", "simulacion": "/v1/simulacion", "cuota": "/v1/cuota/36"}

	operations, customers := []string{"cuota", "simulacion", "maxima", "simulacion"}, []string{"sur", "este", "oeste"}
	for n := range 600 {
		if n == 300 { // change simulacion while some of its requests are in flight or queued
			front.Replace(parse(t, descriptionWith(cuotaTerms, `{"units":4,"aim-ms":500,"worth":5,"window-ms":3000}`, "")))
			reference.SetClasses(append(table, changed))
			classIndex["simulacion"], units["simulacion"] = 3, 4
		}
		operation, customer := operations[n%4], customers[n%3]
		plan := 0
		if customer == "sur" {
			plan = 1
		}
		method := "GET"
		heads := []string{"X-Banco: " + customer, "X-Deadline: 1500"}
		if operation == "simulacion" {
			method = "POST"
			heads = append(heads, fmt.Sprintf("Idempotency-Key: %d", n))
		}
		request, refusal := front.Request(message(t, method, targets[operation], heads...))
		if refusal != nil {
			t.Fatal(refusal)
		}
		described.submit(request, n)
		reference.submit(&gatekeeper.Request{Class: classIndex[operation], Plan: plan, Customer: hash(customer), TimeLeft: 1500,
			EstimatedUnits: units[operation], GatekeeperCount: 1}, n)
		clock.Set(clock.Now() + 7)
		for _, recorder := range []*decisionRecorder{described, reference} {
			recorder.RunDueTimers()
			for n%8 == 0 && len(recorder.executions) > 4 { // workers respond in bursts, so that requests queue in between
				execution := recorder.executions[0]
				recorder.executions = recorder.executions[1:]
				status := policy.OK
				if recorder.numbers[execution.Request]%9 == 0 {
					status = policy.Reset
				}
				recorder.ExecutionEnded(execution, gatekeeper.Outcome{Status: status, Units: 2})
			}
		}
	}
	for range 300 {
		clock.Set(clock.Now() + 10)
		described.RunDueTimers()
		reference.RunDueTimers()
	}
	if diff := cmp.Diff(reference.decisions, described.decisions); diff != "" {
		t.Fatalf("decisions (-settings +description):\n%s", diff)
	}
	all := strings.Join(described.decisions, "\n")
	for _, kind := range []string{"served", "throttled", "abandoned"} {
		if !strings.Contains(all, kind) {
			t.Errorf("the load had no request that was %s", kind)
		}
	}
}

// TestRetryKeepsTermsOfFirstRequest guards against a new description that lets a keyed request run
// again: a repetition must use the terms under which the first was accepted.
func TestRetryKeepsTermsOfFirstRequest(t *testing.T) {
	clock := gatekeeper.NewClock()
	clock.Set(1e6)
	front := newTestFront(t, parse(t, descriptionWith(cuotaTerms, simulacionTerms, "")), clock)
	core := newDecisionRecorder(front.Classes(), clock)
	front.Attach(core, func() bool { return false })
	ask := func(key string) policy.Class {
		q, refusal := front.Request(message(t, "POST", "/v1/simulacion", "X-Banco: sur", "Idempotency-Key: "+key))
		if refusal != nil {
			t.Fatal(refusal)
		}
		return front.table[q.Class].terms
	}
	first := ask("k")
	front.Replace(parse(t, descriptionWith(cuotaTerms, `{"units":3,"aim-ms":750,"worth":2,"window-ms":60000}`, "")))
	if again := ask("k"); again != first {
		t.Errorf("the repetition got %+v, want %+v", again, first)
	}
	if other := ask("other"); other.RepeatWindow != 60e6 {
		t.Errorf("a new key got %+v, want the new window", other)
	}
	clock.Set(clock.Now() + 3001) // the deadline and the window have passed
	if later := ask("k"); later.RepeatWindow != 60e6 {
		t.Errorf("the expired key got %+v, want the new window", later)
	}
	if len(front.keys) != 2 {
		t.Errorf("%d keys are kept, want 2", len(front.keys))
	}
}

// TestClassTableEntriesAreReused guards against a table that grows with every new description.
func TestClassTableEntriesAreReused(t *testing.T) {
	clock := gatekeeper.NewClock()
	clock.Set(1e6)
	description := descriptionWith(cuotaTerms, simulacionTerms, "")
	front := newTestFront(t, parse(t, description), clock)
	front.Attach(newDecisionRecorder(front.Classes(), clock), func() bool { return false })
	other := descriptionWith(`{"units":2,"aim-ms":300}`, simulacionTerms, "")
	for range 5 {
		front.Replace(parse(t, other))
		front.Replace(parse(t, description))
	}
	if n := len(front.Classes()); n != 4 {
		t.Fatalf("%d entries for 4 different classes, want 4", n)
	}
	front.Replace(parse(t, other))
	clock.Set(clock.Now() + 5000)
	front.Replace(parse(t, descriptionWith(`{"units":2,"aim-ms":200}`, simulacionTerms, "")))
	if n := len(front.Classes()); n != 4 {
		t.Fatalf("%d entries although one was free, want 4", n)
	}
}

func TestUnmatchedRequestsAreRejected(t *testing.T) {
	clock := gatekeeper.NewClock()
	front := newTestFront(t, parse(t, descriptionWith(cuotaTerms, simulacionTerms, "")), clock)
	for name, c := range map[string]struct {
		method, target string
		heads          []string
		want           int
	}{
		"no path":       {"GET", "/v1/nada", []string{"X-Banco: sur"}, 404},
		"no method":     {"PUT", "/v1/cuota/1", []string{"X-Banco: sur"}, 405},
		"no customer":   {"GET", "/v1/cuota/1", nil, 401},
		"no key":        {"POST", "/v1/simulacion", []string{"X-Banco: sur"}, 400},
		"two customers": {"GET", "/v1/cuota/1", []string{"X-Banco: sur", "X-Banco: norte"}, 400},
		"two keys":      {"POST", "/v1/simulacion", []string{"X-Banco: sur", "Idempotency-Key: a", "Idempotency-Key: b"}, 400},
		"two deadlines": {"GET", "/v1/cuota/1", []string{"X-Banco: sur", "X-Deadline: 5", "X-Deadline: 9"}, 400},
		"no deadline":   {"GET", "/v1/cuota/1", []string{"X-Banco: sur", "X-Deadline: soon"}, 400},
	} {
		if _, refusal := front.Request(message(t, c.method, c.target, c.heads...)); refusal == nil || refusal.Status != c.want {
			t.Errorf("%s: got %+v, want status %d", name, refusal, c.want)
		}
	}
}
