package policy

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// fleet is several gateways with one counter. Every attempt is answered at once.
type fleet struct {
	t             *testing.T
	settings      Settings
	gateways      []*Gateway
	hosts         []*recorder
	handled       []int // attempts handled so far, by gateway
	totals        map[uint64]float64
	now           Micros
	nextID        uint32
	attempts      int    // attempts of all gateways
	counterDown   bool   // the counter does not answer
	calls         int    // calls to the counter
	lostCalls     int    // calls without an answer
	maxCalls      int    // calls per second that the counter can take, 0 for no limit
	countedSecond Micros // the second that calls are counted in
	callsInSecond int    // calls in that second

	actualUnits float64 // true units of a request, if answers tell them
}

func newFleet(t *testing.T, settings Settings, gateways, servers int) *fleet {
	settings.GatewayCount, settings.HasCounter, settings.CounterTimeout = gateways, true, 30e3
	f := &fleet{t: t, settings: settings, totals: map[uint64]float64{}, now: 100e6}
	f.gateways, f.hosts = make([]*Gateway, gateways), make([]*recorder, gateways)
	f.handled = make([]int, gateways)
	for i := range gateways {
		f.restart(i, servers)
	}
	return f
}

func (f *fleet) restart(index, servers int) {
	settings := f.settings
	settings.Index = index
	f.gateways[index], f.hosts[index], f.handled[index] = New(settings, uint64(index)*2+1), newRecorder(), 0
	f.gateways[index].Start(f.now, f.hosts[index])
	var entries []Entry
	for i := range servers {
		entries = append(entries, Entry{Server: Server(i + 1), State: Ready, Weight: 1})
	}
	f.gateways[index].Servers(f.now, f.hosts[index], CachedList, entries)
}

// try sends a client's try through gateway i and reports whether it was sent on.
func (f *fleet) try(index, plan int, customer uint64, left Micros) bool {
	f.nextID++
	gateway, host := f.gateways[index], f.hosts[index]
	gateway.Request(f.now, host, Request{ID: f.nextID, Plan: plan, Customer: customer, TimeLeft: left, Units: 1,
		GatewayCount: len(f.gateways)})
	f.answerCounter(index)
	return f.answer(index, f.nextID)
}

// answer answers what gateway i has sent and reports whether the request was among it.
func (f *fleet) answer(index int, id uint32) (sentOn bool) {
	gateway, host := f.gateways[index], f.hosts[index]
	for ; f.handled[index] < len(host.sent); f.handled[index]++ {
		sent := host.sent[f.handled[index]]
		sentOn = sentOn || sent.id == id
		f.attempts++
		gateway.Outcome(f.now, host, Outcome{ID: sent.id, Status: OK, Terminal: true, Latency: 20e3,
			Server: sent.to, ActualUnits: f.actualUnits})
	}
	return sentOn
}

func (f *fleet) answerCounter(index int) {
	gateway, host := f.gateways[index], f.hosts[index]
	for len(host.counts) > 0 {
		call := host.counts[0]
		host.counts = host.counts[1:]
		if current := f.now / second; current != f.countedSecond {
			f.countedSecond, f.callsInSecond = current, 0
		}
		f.calls++
		f.callsInSecond++
		if f.counterDown || f.maxCalls > 0 && f.callsInSecond > f.maxCalls {
			f.lostCalls++
			gateway.CounterResult(f.now, host, call.name, 30e3, Timeout, 0)
			continue
		}
		f.totals[call.name] += call.amount
		gateway.CounterResult(f.now, host, call.name, 1e3, OK, f.totals[call.name])
	}
}

func (f *fleet) advance(duration Micros) {
	f.now += duration
	for i := range f.gateways {
		f.gateways[i].Timer(f.now, f.hosts[i], tokenTick<<32)
		f.answerCounter(i)
		f.answer(i, 0)
	}
}

// Guards against first tries admitted by each of hundreds of shares. What all gateways let through stays near the
// quota when a customer floods them at their start and after a restart of all.
// It should also cover demand that suddenly moves to other gateways.
func TestAllGatewaysTogetherStayNearQuota(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		f := newFleet(t, testSettings(), n, 20)
		flood := func(seconds int) int {
			before := f.attempts
			for k := range seconds * 100 { // 100 tries per second at a quota of 10
				f.try(k*7%n, 0, 5, 2e6)
				f.advance(10e3)
			}
			return f.attempts - before
		}
		p := f.settings.Plans[0]
		if admitted, most := flood(10), int(1.25*(p.Burst+10*p.Rate)); admitted > most || admitted < int(8*p.Rate) {
			t.Errorf("%d gateways let %d through at their start, want %d to %d", n, admitted, int(8*p.Rate), most)
		}
		for i := range n {
			f.restart(i, 20)
		}
		if admitted, most := flood(10), int(1.25*(p.Burst+10*p.Rate)); admitted > most {
			t.Errorf("%d gateways let %d through after a restart, want at most %d", n, admitted, most)
		}
	}
}

// smallPlan returns settings with a plan whose burst, divided among many gateways, is less than a request each.
func smallPlan() Settings {
	settings := testSettings()
	settings.Plans = []Plan{{Rate: 4, Burst: 12, Price: 1, OverrunCost: 1}}
	settings.MaxUnits = 6
	return settings
}

// Guards against too many counter calls: with 80 gateways that each had little traffic, two calls per try, repeated
// while the counter rejected half of them, left half of all calls unanswered, and a third of the tries waited for
// nothing.
func TestCounterCallsStayWithinCapacity(t *testing.T) {
	for most, least := range map[int]float64{0: 0.99, 300: 0.6} { // half are decided without a call, by shares of one request
		f := newFleet(t, smallPlan(), 80, 60)
		f.maxCalls = most
		tries, admitted := 0, 0
		run := func(seconds int) {
			for range seconds * 100 { // six tries in 10 ms, 600 per second, of 300 customers
				for range 6 {
					tries++
					at := hash(uint64(tries), 3) // a customer seldom returns to the same gateway soon
					if f.try(int(at%80), 0, at>>32%300+1, 2e6) {
						admitted++
					}
				}
				f.advance(10e3)
			}
		}
		run(10)
		tries, admitted, f.calls, f.lostCalls = 0, 0, 0, 0
		run(10)
		a, b := float64(f.calls)/float64(tries), float64(f.lostCalls)/float64(f.calls)
		t.Logf("counter with %d calls per second: %.2f calls per try, %.2f of them lost, %.2f of the tries admitted", most, a, b, float64(admitted)/float64(tries))
		if a > 1.4 || b > 0.25 || float64(admitted) < least*float64(tries) {
			t.Errorf("counter with %d calls per second: %.2f calls per try, %.2f of them lost, %d of %d tries within their quotas admitted", most, a, b, admitted, tries)
		}
	}
}

// Guards against gateways that know only their own part of a bucket: a customer that came through another gateway
// each time was refused with half of its quota unused, and one at four times its quota was admitted beyond it.
func TestSmallBucketIsSharedByManyGateways(t *testing.T) {
	for _, c := range []struct {
		every, least, most int
		over               float64
	}{
		{30, 190, 200, 0.25}, // within the quota: a try every 300 ms
		{6, 200, 315, 1.2},   // four times the quota: 252 are right, and up to a quarter more is close enough
	} {
		set := smallPlan()
		set.Plans[0].OverrunCost = c.over
		f := newFleet(t, set, 300, 200)
		admitted := 0
		for k := range 6000 {
			if k%c.every == 0 && f.try(k/c.every*7%300, 0, 5, 2e6) {
				admitted++
			}
			f.now += 10e3
			for i := k % 50; i < 300; i += 50 { // every gateway ticks twice per second
				f.gateways[i].Timer(f.now, f.hosts[i], tokenTick<<32)
				f.answerCounter(i)
				f.answer(i, 0)
			}
		}
		t.Logf("a try every %d ms: %d admitted, %d calls", c.every*10, admitted, f.calls)
		if admitted < c.least || admitted > c.most {
			t.Errorf("a try every %d ms: %d admitted, want %d to %d", c.every*10, admitted, c.least, c.most)
		}
	}
}

// A customer that comes through one gateway of hundreds is served up to its quota.
func TestQuotaIsUsableThroughOneGateway(t *testing.T) {
	for _, n := range []int{1, 3, 300} {
		f := newFleet(t, testSettings(), n, 20)
		for i := range 1000 { // nine tries per second at a quota of ten
			if i%11 == 0 {
				f.try(0, 0, 5, 2e6)
			}
			f.advance(10e3)
		}
		if f.attempts < 70 {
			t.Errorf("%d gateways: %d of 91 tries within the quota were sent, want at least 70", n, f.attempts)
		}
	}
}

// Guards against a request that nobody answered: no draw is made if the client would leave before the counter must
// answer, and a draw that is never answered ends in a refusal in time.
func TestDrawEndsBeforeClientTimeout(t *testing.T) {
	f := newFleet(t, testSettings(), 300, 20)
	f.try(3, 0, 5, 12e3)
	if n := len(f.hosts[3].refused) + len(f.hosts[3].sent); n != 1 || len(f.totals) != 0 {
		t.Fatalf("%d answers and sends, want 1; %d counter names, want 0, as the client leaves before the counter answers", n, len(f.totals))
	}
	g, host := f.gateways[4], f.hosts[4]
	g.Request(f.now, host, Request{ID: 9999, Customer: 5, TimeLeft: 2e6, Units: 1, GatewayCount: 300})
	if len(host.counts) != 1 {
		t.Fatal("the request made no draw")
	}
	g.Timer(f.now+2e6-8e3, host, tokenGiveUp<<32|9999)
	if _, refused := host.refused[9999]; !refused {
		t.Fatal("an unanswered draw holds its request past the client's time")
	}
	g.CounterResult(f.now+3e6, host, host.counts[0].name, 30e3, OK, 1)
	if len(host.sent) != 0 {
		t.Fatal("sent after its final answer")
	}
}

// While the counter is unreachable, customers that recently spent a window are refused, and others are admitted by
// shares of one request. Draws resume when the counter is back.
func TestDecisionsWithoutCounter(t *testing.T) {
	f := newFleet(t, testSettings(), 300, 20)
	for i := range 400 {
		f.try(i%30, 0, uint64(i/30%2), 2e6) // two customers flood
		f.advance(3e3)
	}
	f.counterDown = true
	count := func(tries int, customer uint64) int {
		before := f.attempts
		for i := range tries {
			f.try(i%30, 0, customer, 2e6)
		}
		for range 40 { // the limit lets them pass in turns
			f.advance(10e3)
		}
		return f.attempts - before
	}
	if admitted := count(30, 0); admitted > 0 {
		t.Errorf("%d of 30 tries of a flooding customer were admitted without the counter, want 0", admitted)
	}
	if admitted := count(60, 50); admitted != 30 {
		t.Errorf("%d of 60 tries were admitted, want 30, one for each gateway", admitted)
	}
	f.counterDown = false
	for range 200 {
		f.advance(100e3)
		f.try(7, 0, 77, 2e6)
	}
	if g := f.gateways[7]; g.callFraction < 0.9 {
		t.Errorf("%.2f of the draws are made 20 s after the counter is back, want at least 0.9", g.callFraction)
	}
}

// Guards against overload by hundreds of gateways with one attempt each on servers that bear fewer. Limits below
// one add up by turns, and each gateway gets its turn.
func TestLimitsBelowOneTakeTurns(t *testing.T) {
	f := newFleet(t, testSettings(), 300, 20)
	had := make([]bool, 300)
	for range 40 {
		f.now += 100e3
		open := 0
		for i, g := range f.gateways {
			g.now, g.inFlightLimit = f.now, 0.3
			if !g.atLimit() {
				open++
				had[i] = true
			}
		}
		if open < 80 || open > 100 {
			t.Fatalf("%d of 300 gateways may send, want 80 to 100 for limits of 0.3", open)
		}
	}
	for i, ok := range had {
		if !ok {
			t.Fatalf("gateway %d never had a turn", i)
		}
	}
}

// Guards against all gateways choosing the same best-looking server, and against a gateway that knows none of
// sixty: each uses few servers, and all together use all evenly.
func TestSubsetsAreSmallAndCoverServersEvenly(t *testing.T) {
	f := newFleet(t, testSettings(), 300, 60)
	all := map[Server]int{}
	for i := range f.gateways {
		own := map[Server]bool{}
		for k := range 30 {
			f.try(i, 0, uint64(1000+100*i+k), 2e6)
		}
		for _, sent := range f.hosts[i].sent {
			own[sent.to] = true
		}
		if len(own) > minSubset {
			t.Fatalf("gateway %d used %d servers, more than its subset", i, len(own))
		}
		for s := range own {
			all[s]++
		}
	}
	if len(all) < 50 {
		t.Errorf("all gateways together use %d of 60 servers, want at least 50", len(all))
	}
	for s := Server(1); s <= 60; s++ {
		if even := len(f.gateways) * minSubset / 60; all[s] > even*3/2 || all[s] < even/2 {
			t.Errorf("server %d is used by %d of 300 gateways, want about %d", s, all[s], even)
		}
	}
}

// A plan without a rate has no bucket. If its concurrency cap is small and the counter does not answer, our share
// of the cap limits it.
func TestSmallCapIsEnforcedWithoutCounter(t *testing.T) {
	settings := testSettings()
	settings.Plans[2].Rate, settings.Plans[2].Burst = 0, 0
	f := newFleet(t, settings, 300, 20)
	f.counterDown = true
	admitted := 0
	for range 200 { // one second of tries through one gateway
		f.advance(5e3)
		if f.try(3, 2, 5, 2e6) {
			admitted++
		}
	}
	if admitted > 3 {
		t.Fatalf("one of 300 gateways admitted %d of 200 tries under a cap of 4, want at most 3", admitted)
	}
}

// The same events and the same seed give the same actions.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func() []*recorder {
		f := newFleet(t, testSettings(), 7, 9)
		for k := range 3000 {
			f.try(k*5%7, k%3, uint64(k*k%41), 2e6)
			f.advance(3e3)
		}
		return f.hosts
	}
	a, b := run(), run()
	for i := range a {
		if !reflect.DeepEqual(a[i], b[i]) {
			t.Fatalf("gateway %d acted differently in two runs of the same events", i)
		}
	}
}

// Decisions get time and randomness from the host alone.
func TestPackageHasNoClockGoroutinesOrRandomness(t *testing.T) {
	for _, name := range []string{"policy.go", "state.go", "store.go", "types.go"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, word := range []string{`"time"`, `"math/rand`, `"sync`, "\tgo ", "\tgo func", "\nvar "} {
			if strings.Contains(string(text), word) {
				t.Errorf("%s contains %q", name, word)
			}
		}
	}
}

// Plans with a rate and no burst, or with an absurdly large burst, are unusual but valid.
func TestUnusualPlansDoNotPanic(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Burst = 0
	settings.Plans[1].Rate, settings.Plans[1].Burst = 1e-9, 100
	f := newFleet(t, settings, 300, 5)
	for i := range 50 {
		f.try(i, i%2, 5, 2e6)
		f.gateways[i].Request(f.now, f.hosts[i], Request{ID: 1e6, Customer: 1, TimeLeft: 1e6, Units: 1,
			GatewayCount: 1 << 19})
		f.advance(1e3)
	}
}

// What hundreds of gateways may send to a cold server in a window adds up to a part of its budget, not to one send
// each, and every gateway gets its turn.
func TestColdBudgetIsDividedAmongGateways(t *testing.T) {
	f := newFleet(t, testSettings(), 300, 20)
	cold := map[int]bool{}
	for w := range 60 {
		f.now += f.settings.OverloadWindow
		sends := 0
		for i, g := range f.gateways {
			s := &server{id: 99, entry: Entry{Server: 99, State: Ready, ReadyAt: f.now}}
			for g.now, g.warmRate = f.now, 5.0/6; g.hasColdBudget(s) && len(s.coldSends) < 10; sends++ {
				s.coldSends = append(s.coldSends, f.now)
				cold[i] = true
			}
		}
		// five answers per second over a subset of six, which all 300 gateways share
		budget := f.settings.OverloadMultiple * f.settings.ColdCapacity * 300 * 5 / 6
		if float64(sends) > budget || float64(sends) < budget/4 {
			t.Fatalf("window %d: %d sends to a cold server with a budget of %.0f, want a quarter of it to all of it", w, sends, budget)
		}
	}
	if len(cold) < 295 {
		t.Fatalf("only %d of 300 gateways ever had a turn, want at least 295", len(cold))
	}
}

// Requests stay within a ceiling under a flood, with a counter that fails now and then, gateways that restart, and
// requests that cost less than estimated. Counter totals from before a restart must not be used for the ceiling:
// they lack unreported use and count true units, whereas a ceiling counts estimates.
func TestCeilingHoldsWithRestartsAndSilentCounter(t *testing.T) {
	settings := testSettings()
	settings.SettlesUnits = true
	p := &settings.Plans[1]
	p.Rate, p.Burst = 18, 38
	for _, silent := range []int{0, 2, 3} {
		f := newFleet(t, settings, 2, 20)
		f.actualUnits = 0.25
		store := p.CeilingBurst
		for step := range 8000 {
			f.advance(5e3)
			f.counterDown = silent > 0 && step/500%silent == 1
			store = min(store+p.CeilingRate*0.005, p.CeilingBurst)
			if step%333 == 0 {
				f.restart(step/333%2, 20)
			}
			if f.try(step%2, 1, 5, 2e6) {
				store--
			}
			if store < -p.CeilingTolerance {
				t.Fatalf("step %d: the ceiling's bucket is at %.1f, below its tolerance", step, store)
			}
		}
	}
}

// Guards the lease of a ceiling that is too small to divide. A customer comes through seven of 80 gateways, mostly
// through one, which leases the others' parts. Wherever the tries arrive, and even if gateways restart and calls
// are lost, all gateways together stay within the ceiling.
func TestSmallCeilingIsLeased(t *testing.T) {
	settings := testSettings()
	settings.MaxUnits = 6
	settings.Plans = settings.Plans[1:2]
	settings.Plans[0] = Plan{Rate: 20, Burst: 44, Price: 2, OverrunCost: 1, CeilingRate: 40, CeilingBurst: 88,
		CeilingTolerance: 8}
	p := settings.Plans[0]
	for _, c := range []struct {
		name        string
		every       int // milliseconds between tries of three units
		few, silent bool
		quota       float64 // multiple of the plan's quota
		least       float64 // units per second
	}{
		{"within the quota, through one gateway", 200, true, false, 1, 13},
		{"a flood through one gateway", 10, true, false, 1, 15},
		{"a flood through all", 10, false, false, 1, 18},
		{"a flood through all, with lost calls and restarts", 10, false, true, 1, 0},
		{"a flood through one, with a quota above the ceiling", 10, true, false, 20, 18},
		{"quota above the ceiling, all gateways, lost calls and restarts", 10, false, true, 20, 0},
	} {
		settings.Plans[0].Rate, settings.Plans[0].Burst = p.Rate*c.quota, p.Burst*c.quota
		f := newFleet(t, settings, 80, 60)
		store, units := p.CeilingBurst, 0.0
		for ms := range 20000 {
			f.now += 1e3
			store = min(store+p.CeilingRate/1e3, p.CeilingBurst)
			f.counterDown = c.silent && ms/700%3 == 1
			if c.silent && ms%500 == 0 {
				f.restart(ms/500%7, 60)
			}
			if ms%10 == 0 {
				for i := range 7 {
					f.gateways[i].Timer(f.now, f.hosts[i], tokenTick<<32)
					f.answerCounter(i)
				}
			}
			if ms%c.every == 0 {
				f.nextID++
				i := 0
				if !c.few {
					i = int(hash(uint64(ms), 5) % 7)
				}
				f.gateways[i].Request(f.now, f.hosts[i], Request{ID: f.nextID, Customer: 5, TimeLeft: 2e6, Units: 3,
					GatewayCount: 7})
				f.answerCounter(i)
			}
			for i := range 7 {
				before := f.attempts
				f.answer(i, 0)
				store -= 3 * float64(f.attempts-before)
				units += 3 * float64(f.attempts-before)
			}
			if store < -p.CeilingTolerance {
				t.Fatalf("%s: the ceiling's bucket is at %.1f after %d ms, below its tolerance", c.name, store,
					ms)
			}
		}
		t.Logf("%s: %.1f units per second", c.name, units/20)
		if units/20 < c.least {
			t.Errorf("%s: %.1f units per second sent, want at least %.0f", c.name, units/20, c.least)
		}
	}
}

// Under a flood of 100 tries per second at a quota of 10, the shares bound the use while the counter is down. When
// it is back, calls resume within seconds, and no more than the quota is let through, whether the counter kept its
// numbers or comes back empty.
func TestCounterRecovery(t *testing.T) {
	for _, empty := range []bool{false, true} {
		f := newFleet(t, testSettings(), 2, 20)
		second := func() int {
			before := f.attempts
			for i := range 100 {
				f.try(i%3/2, 0, 5, 2e6)
				f.advance(10e3)
			}
			return f.attempts - before
		}
		for range 10 {
			second()
		}
		f.counterDown = true
		silent := 0
		for range 10 {
			silent += second()
		}
		if f.counterDown = false; empty {
			clear(f.totals)
		}
		var back []int
		sum := 0
		for range 5 {
			back = append(back, second())
			sum += back[len(back)-1]
		}
		t.Logf("empty %v: %d sent in ten seconds without the counter, then %v; fractions of calls made %.2f and %.2f", empty, silent, back, f.gateways[0].callFraction, f.gateways[1].callFraction)
		if silent > 115 || sum > 65 || sum < 35 {
			t.Errorf("empty %v: %d sent without the counter, want at most 115; %v per second when it was back, want about 10", empty, silent, back)
		}
		if f.gateways[0].callFraction < 0.9 || f.gateways[1].callFraction < 0.9 {
			t.Errorf("empty %v: after five seconds the fractions of calls made are %.2f and %.2f, want at least 0.9", empty, f.gateways[0].callFraction, f.gateways[1].callFraction)
		}
	}
}

// Guards against a server that fails half of its requests fast. Each failure frees it sooner than other servers'
// answers free them; gateways that met it seldom ignored single failures and sent it twice as much as a healthy
// one.
func TestFastFailingServerDoesNotAttractRequests(t *testing.T) {
	const bad = Server(3)
	got, all := 0, 0
	for self := range 20 {
		settings := smallPlan()
		settings.GatewayCount, settings.Index = 80, self
		b := newBench(settings, 6)
		for i := range 60 { // a request every 150 ms, each in flight for 100 ms
			b.request(0, 0, uint64(i))
			b.now += 100e3
			for ; b.handled < len(b.host.sent); b.handled++ {
				sent := b.host.sent[b.handled]
				o := Outcome{ID: sent.id, Status: OK, Terminal: true, Latency: 100e3, Server: sent.to}
				if all++; sent.to == bad {
					if got++; got%2 == 0 {
						o.Status, o.Terminal, o.Latency = Failed, false, 5e3
					}
				}
				b.gateway.Outcome(b.now, b.host, o)
			}
			b.now += 50e3
			b.gateway.Timer(b.now, b.host, tokenTick<<32)
		}
	}
	if even := all / 6; got > even*2/3 {
		t.Errorf("the failing server got %d of %d requests, an even part is %d", got, all, even)
	}
}

// Guards against a limit that reacts too late to slow servers: with hundreds of gateways each gets an answer every
// 0.1 s, so an average over 33 answers took seconds to adapt.
func TestInfrequentAnswersMoveLimit(t *testing.T) {
	g, host := startGateway(testSettings(), 20)
	bound := g.inFlightLimit
	for i := range uint32(6) {
		at := 100e6 + Micros(i)*100e3
		g.Request(at, host, Request{ID: i, Customer: uint64(i), TimeLeft: 2e6, Units: 1, GatewayCount: 2})
		g.Outcome(at, host, Outcome{ID: i, Status: OK, Terminal: true, Latency: 750e3, Server: host.sent[i].to})
	}
	if g.inFlightLimit >= bound {
		t.Errorf("the limit is %.1f after six answers of 1.5 times the latency target, want less than %.1f",
			g.inFlightLimit, bound)
	}
}

// A try that was drawn from the counter took nothing from our own share. If its answer tells more units than
// estimated, the share must stay whole for an outage of the counter.
func TestSettlementOfDrawnTryLeavesOwnBucket(t *testing.T) {
	settings := smallPlan()
	settings.SettlesUnits = true
	f := newFleet(t, settings, 80, 20)
	f.actualUnits = 6
	if !f.try(3, 0, 5, 2e6) {
		t.Fatal("the first try was not sent")
	}
	f.counterDown = true
	if !f.try(3, 0, 5, 2e6) {
		t.Error("the settlement of another try used up our own bucket")
	}
}
