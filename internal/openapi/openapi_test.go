package openapi

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// describeWith is a description of the two calculators. Operations are given as
// their terms; an empty one leaves an operation without any.
func describeWith(cuota, simulacion, more string) string {
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

func TestADescriptionGivesRoutesClassesUnitsAndRetryClass(t *testing.T) {
	d := parse(t, describeWith(cuotaTerms, simulacionTerms, ""))
	want := map[string]policy.Class{
		"cuota":      {Aim: 400e3, Deadline: 2e6, Window: 1e6, Worth: 1, Repeat: policy.Safe},
		"maxima":     {Aim: 100e3, Deadline: 2e6, Window: 1e6, Worth: 1, Repeat: policy.Safe},
		"simulacion": {Aim: 750e3, Deadline: 2e6, Window: 1e6, Worth: 2, Repeat: policy.Keyed},
	}
	got := map[string]policy.Class{}
	for _, c := range d.classes {
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
		r, allowed := d.find(method, path)
		got := fmt.Sprint(allowed)
		if r != nil {
			got = fmt.Sprint(d.classes[r.class].name, " ", r.units)
		}
		if got != want {
			t.Errorf("%s: %s, want %s", request, got, want)
		}
	}
}

// TestWhatCannotBeKeptIsRefusedAtLoad: a cost that is not stated is not guessed.
func TestWhatCannotBeKeptIsRefusedAtLoad(t *testing.T) {
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
			_, err := Parse([]byte(describeWith(c.cuota, c.simulacion, c.more)))
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Fatalf("error %v, want one that says %s", err, c.says)
			}
		})
	}
}

var names = settings.Names{Plans: []string{"basico", "mayor"}}

func someSettings(classes []policy.Class) policy.Settings {
	return policy.Settings{Gateways: 1, Tick: 4000, MaxAttempts: 3, Cancel: true, RetryAfter: true, Classes: classes,
		Plans: []policy.Plan{{Rate: 3, Burst: 6, Price: 1}, {Rate: 300, Burst: 300, Price: 1.6}}}
}

func newFront(t *testing.T, d *Description, clock *gatekeeper.Clock) *Front {
	t.Helper()
	f, err := NewFront(Config{CustomerHead: "X-Banco", Plans: map[string]string{"sur": "mayor"}, DefaultPlan: "basico",
		DeadlineHead: "X-Deadline"}, d, someSettings(nil), names, clock)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// message reads a request as a client link does.
func message(t *testing.T, method, target string, heads ...string) *http1.Message {
	t.Helper()
	p := http1.Requests()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\n%s\r\n", method, target, strings.Join(append(heads, ""), "\r\n"))
	if _, done, err := p.Feed([]byte(text)); !done || err != nil {
		t.Fatal(done, err)
	}
	return p.Message()
}

// record is a gatekeeper that writes down every decision.
type record struct {
	*gatekeeper.Gatekeeper
	clock *gatekeeper.Clock
	out   []*gatekeeper.Execution
	did   []string
	names map[*gatekeeper.Request]int
}

func newRecord(classes []policy.Class, clock *gatekeeper.Clock) *record {
	r := &record{clock: clock, names: map[*gatekeeper.Request]int{}}
	r.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: someSettings(classes), Seed: 5, Clock: clock, Fleet: r,
		Counter: r, Wake: func(float64) {}})
	r.Workers(policy.FullList, []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}})
	return r
}

func (r *record) note(q *gatekeeper.Request, f string, a ...any) {
	r.did = append(r.did, fmt.Sprintf("%.0f: request %d ", r.clock.Now(), r.names[q])+fmt.Sprintf(f, a...))
}
func (r *record) Execute(x *gatekeeper.Execution) {
	r.out = append(r.out, x)
	r.note(x.Request, "to %d for %.3f", x.Worker, x.Timeout)
}
func (r *record) Abandon(x *gatekeeper.Execution) bool              { r.note(x.Request, "abandoned"); return true }
func (r *record) Release(policy.Server)                             {}
func (r *record) Add(*gatekeeper.Count)                             {}
func (r *record) Served(q *gatekeeper.Request, _ gatekeeper.Answer) { r.note(q, "served") }
func (r *record) Throttled(q *gatekeeper.Request, after float64)    { r.note(q, "throttled %.3f", after) }
func (r *record) Failed(q *gatekeeper.Request)                      { r.note(q, "failed") }

func (r *record) take(q *gatekeeper.Request, n int) {
	q.Caller, r.names[q] = r, n
	r.Take(q)
}

// TestAnAlteredDescriptionDecidesAsHandWrittenSettings loads one description,
// alters it under load, and compares every decision with those of a gatekeeper
// whose classes and units are written by hand.
func TestAnAlteredDescriptionDecidesAsHandWrittenSettings(t *testing.T) {
	clock := gatekeeper.NewClock()
	clock.Set(1e6)
	f := newFront(t, parse(t, describeWith(cuotaTerms, simulacionTerms, "")), clock)
	described := newRecord(f.Classes(), clock)
	f.Attach(described, func() bool { return false })

	maxima := policy.Class{Aim: 100e3, Deadline: 2e6, Window: 1e6, Worth: 1, Repeat: policy.Safe}
	cuota := policy.Class{Aim: 400e3, Deadline: 2e6, Window: 1e6, Worth: 1, Repeat: policy.Safe}
	simulacion := policy.Class{Aim: 750e3, Deadline: 2e6, Window: 1e6, Worth: 2, Repeat: policy.Keyed}
	dearer := policy.Class{Aim: 500e3, Deadline: 2e6, Window: 3e6, Worth: 5, Repeat: policy.Keyed}
	// a hand-written table has the same order, and the changed class stands behind
	table := []policy.Class{simulacion, maxima, cuota}
	if diff := cmp.Diff(table, f.Classes()); diff != "" {
		t.Fatal(diff)
	}
	written := newRecord(table, clock)
	places := map[string]int{"simulacion": 0, "maxima": 1, "cuota": 2}
	units := map[string]float64{"maxima": 1, "simulacion": 3, "cuota": 2}
	targets := map[string]string{"maxima": "/v1/cuota/maxima", "simulacion": "/v1/simulacion", "cuota": "/v1/cuota/36"}

	ops, customers := []string{"cuota", "simulacion", "maxima", "simulacion"}, []string{"sur", "este", "oeste"}
	for n := range 600 {
		if n == 300 { // simulacion is altered while some are under way and held
			f.Replace(parse(t, describeWith(cuotaTerms, `{"units":4,"aim-ms":500,"worth":5,"window-ms":3000}`, "")))
			written.SetClasses(append(table, dearer))
			places["simulacion"], units["simulacion"] = 3, 4
		}
		op, customer := ops[n%4], customers[n%3]
		plan := 0
		if customer == "sur" {
			plan = 1
		}
		method := "GET"
		heads := []string{"X-Banco: " + customer, "X-Deadline: 1500"}
		if op == "simulacion" {
			method = "POST"
			heads = append(heads, fmt.Sprintf("Idempotency-Key: %d", n))
		}
		q, refusal := f.Request(message(t, method, targets[op], heads...))
		if refusal != nil {
			t.Fatal(refusal)
		}
		described.take(q, n)
		written.take(&gatekeeper.Request{Class: places[op], Plan: plan, Customer: hash(customer), Left: 1500,
			Units: units[op], Spread: 1}, n)
		clock.Set(clock.Now() + 7)
		for _, r := range []*record{described, written} {
			r.Advance()
			for n%8 == 0 && len(r.out) > 4 { // workers answer in spells, so that requests are held between
				x := r.out[0]
				r.out = r.out[1:]
				st := policy.OK
				if r.names[x.Request]%9 == 0 {
					st = policy.Reset
				}
				r.Done(x, gatekeeper.Outcome{Status: st, Units: 2})
			}
		}
	}
	for range 300 {
		clock.Set(clock.Now() + 10)
		described.Advance()
		written.Advance()
	}
	if diff := cmp.Diff(written.did, described.did); diff != "" {
		t.Fatalf("(-by hand +described):\n%s", diff)
	}
	all := strings.Join(described.did, "\n")
	for _, kind := range []string{"served", "throttled", "abandoned"} {
		if !strings.Contains(all, kind) {
			t.Errorf("the load shows nothing %s", kind)
		}
	}
}

// TestAReplacementLeavesAKeyItsTerms guards against a new description reopening
// the repeats of a keyed request: they go by the terms the first was taken under.
func TestAReplacementLeavesAKeyItsTerms(t *testing.T) {
	clock := gatekeeper.NewClock()
	clock.Set(1e6)
	f := newFront(t, parse(t, describeWith(cuotaTerms, simulacionTerms, "")), clock)
	core := newRecord(f.Classes(), clock)
	f.Attach(core, func() bool { return false })
	ask := func(key string) policy.Class {
		q, refusal := f.Request(message(t, "POST", "/v1/simulacion", "X-Banco: sur", "Idempotency-Key: "+key))
		if refusal != nil {
			t.Fatal(refusal)
		}
		return f.table[q.Class].terms
	}
	first := ask("k")
	f.Replace(parse(t, describeWith(cuotaTerms, `{"units":3,"aim-ms":750,"worth":2,"window-ms":60000}`, "")))
	if again := ask("k"); again != first {
		t.Errorf("the repeat got %+v", again)
	}
	if other := ask("other"); other.Window != 60e6 {
		t.Errorf("a new request got %+v", other)
	}
	clock.Set(clock.Now() + 3001) // the deadline and the window are over
	if later := ask("k"); later.Window != 60e6 {
		t.Errorf("when its time is over the key got %+v", later)
	}
	if len(f.keys) != 2 {
		t.Errorf("%d keys are kept", len(f.keys))
	}
}

// TestPlacesAreKeptAndTakenAgain guards against a table that grows with every
// replacement.
func TestPlacesAreKeptAndTakenAgain(t *testing.T) {
	clock := gatekeeper.NewClock()
	clock.Set(1e6)
	d := describeWith(cuotaTerms, simulacionTerms, "")
	f := newFront(t, parse(t, d), clock)
	f.Attach(newRecord(f.Classes(), clock), func() bool { return false })
	other := describeWith(`{"units":2,"aim-ms":300}`, simulacionTerms, "")
	for range 5 {
		f.Replace(parse(t, other))
		f.Replace(parse(t, d))
	}
	if n := len(f.Classes()); n != 4 {
		t.Fatalf("%d places for 4 sets of terms", n)
	}
	f.Replace(parse(t, other))
	clock.Set(clock.Now() + 5000)
	f.Replace(parse(t, describeWith(`{"units":2,"aim-ms":200}`, simulacionTerms, "")))
	if n := len(f.Classes()); n != 4 {
		t.Fatalf("%d places, though one had come free", n)
	}
}

func TestRequestsThatTheDescriptionDoesNotCover(t *testing.T) {
	clock := gatekeeper.NewClock()
	f := newFront(t, parse(t, describeWith(cuotaTerms, simulacionTerms, "")), clock)
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
		if _, refusal := f.Request(message(t, c.method, c.target, c.heads...)); refusal == nil || refusal.Status != c.want {
			t.Errorf("%s: %+v, want %d", name, refusal, c.want)
		}
	}
}
