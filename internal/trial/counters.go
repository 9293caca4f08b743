package trial

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/emulator"
	"foxwood/policy"
)

// Counters measures, in simulated time, what several gatekeepers hold banks to while their
// counter is slow, silent, split or replaced: units sent on beyond quotas and ceilings, and
// units refused that the quotas had.
type Counters struct {
	Runs  int
	Seed  uint64
	Gates int // gatekeepers; 4 where 0
}

const (
	tallyBefore  = 10000.0 // milliseconds before the trouble
	tallyTrouble = 30000.0
	tallyAfter   = 20000.0
	tallyServe   = 40.0 // milliseconds of a request, mean
	tallyTurn    = 7000.0
	tallyBusiest = 0.7 // of a bank's requests come to one gatekeeper, which changes every turn
	tallyEach    = 0.5 // milliseconds of a counter call
	tallyQueue   = 100.0
)

// The plans, by their place.
const (
	tallyBasico = iota
	tallyMayor
)

func tallySettings(gates int, counter bool) policy.Settings {
	s := simSettings()
	s.Gateways, s.Counter, s.CounterTimeout = gates, counter, 50e3
	mayor := s.Plans[0]
	mayor.Price = 2
	s.Plans = []policy.Plan{{Rate: 4, Burst: 12, Price: 1, OverCost: 1}, mayor}
	return s
}

// bank is a customer and what it asks for.
type bank struct {
	plan         int
	times        float64 // its quota
	quota, allow level
	quotaWorst   float64 // units beyond the quota at the worst moment, over rate and burst
	allowWorst   float64
	asked, wrong float64 // while counted
}

// tallyScenario is a trouble on the time line.
type tallyScenario struct {
	name    string
	events  []string
	deaths  bool // 41% of the gatekeepers die in it and come back
	without bool // no counter at all: each has an even part
}

func tallyScenarios() []tallyScenario {
	all := []tallyScenario{{name: "no trouble"}, {name: "even parts, no counter", without: true}}
	for _, s := range []tallyScenario{
		{name: "slow, 200 times", events: []string{"10s+30s:slow=200"}},
		{name: "answers 60 ms late", events: []string{"10s+30s:late=60ms"}},
		{name: "every third addition lost", events: []string{"10s+30s:lose=3"}},
		{name: "half of the calls unanswered", events: []string{"10s+30s:silent=0.5"}},
		{name: "down", events: []string{"10s+30s:down"}},
		{name: "down 2 s in 4", events: []string{"10s+2s:down", "14s+2s:down", "18s+2s:down", "22s+2s:down", "26s+2s:down", "30s+2s:down", "34s+2s:down", "38s+2s:down"}},
		{name: "split, both count after", events: []string{"10s+30s:split=sum"}},
		{name: "split, one counts after", events: []string{"10s+30s:split=keep"}},
		{name: "replaced every 5 s", events: []string{"10s:replace", "15s:replace", "20s:replace", "25s:replace", "30s:replace", "35s:replace"}},
		{name: "restored from 5 s ago, every 10 s", events: []string{"15s:restore=5s", "25s:restore=5s", "35s:restore=5s"}},
	} {
		all = append(all, s)
		s.name, s.deaths = s.name+", with deaths", true
		all = append(all, s)
	}
	return all
}

// tally is the world of one run.
type tally struct {
	set     policy.Settings
	clock   *gatekeeper.Clock
	random  *rand.Rand
	counter *emulator.Counter
	gates   []*tallyGate
	banks   []*bank
	later   agenda
	n       int
	calls   int
	sends   int
	seed    uint64
}

// tallyGate is a gatekeeper's life.
type tallyGate struct {
	quiet
	*gatekeeper.Gatekeeper
	w    *tally
	n    int
	dead bool
}

// agenda is what is due, by time and then by order.
type agenda []due

type due struct {
	at float64
	n  int
	do func()
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return cmp.Or(cmp.Compare(a[i].at, a[j].at), a[i].n-a[j].n) < 0 }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

func (w *tally) at(when float64, do func()) {
	w.n++
	heap.Push(&w.later, due{max(when, w.clock.Now()), w.n, do})
}

// run lets time pass until a moment.
func (w *tally) run(end float64) {
	for len(w.later) > 0 && w.later[0].at <= end {
		d := heap.Pop(&w.later).(due)
		w.clock.Set(d.at)
		d.do()
	}
	w.clock.Set(end)
}

// birth starts a gatekeeper that knows nothing, in the place of the one before it.
func (w *tally) birth(n int) {
	if w.gates[n] != nil {
		w.gates[n].dead = true
	}
	g := &tallyGate{w: w, n: n}
	w.gates[n] = g
	set := w.set
	set.Self = n
	w.n++
	g.Gatekeeper = gatekeeper.New(gatekeeper.Config{Settings: set, Seed: w.seed<<20 + uint64(w.n)*2 + 1, Clock: w.clock, Fleet: g, Counter: g,
		Wake: func(at float64) {
			w.at(at, func() {
				if !g.dead {
					g.Advance()
				}
			})
		}})
	g.Workers(policy.FullList, simWorkers())
}

// Execute sends a request on: from then on its units are spent.
func (g *tallyGate) Execute(x *gatekeeper.Execution) {
	w, b := g.w, g.w.banks[x.Request.Customer]
	w.sends++
	now, units := w.clock.Now(), x.Request.Units
	b.quota.spend(now, units, &b.quotaWorst)
	b.allow.spend(now, units, &b.allowWorst)
	w.at(now+tallyServe*w.random.ExpFloat64(), func() {
		if !g.dead {
			g.Done(x, gatekeeper.Outcome{Status: policy.OK})
		}
	})
}

// spend takes units from a store though it does not hold them, and notes the worst debt.
func (l *level) spend(at, units float64, worst *float64) {
	l.flow(at)
	l.now -= units
	*worst = max(*worst, -l.now)
}

func (g *tallyGate) Throttled(r *gatekeeper.Request, _ float64) {
	b := g.w.banks[r.Customer]
	if b.quota.flow(g.w.clock.Now()); b.quota.now >= r.Units {
		b.wrong += r.Units
	}
}

// Add calls the counter, at the side of this gatekeeper's pair.
func (g *tallyGate) Add(call *gatekeeper.Count) {
	w := g.w
	w.calls++
	a := w.counter.Call(w.clock.Now(), g.n*2/len(w.gates), strconv.FormatUint(call.Name, 16), call.Amount, call.Life)
	if a.Heard == emulator.Nothing {
		return // the core gives the call up by itself
	}
	w.at(a.At, func() {
		switch {
		case g.dead:
		case a.Heard == emulator.Added:
			g.Counted(call, policy.OK, a.Total)
		case a.Heard == emulator.TurnedAway:
			g.Counted(call, policy.Full, 0)
		default:
			g.Counted(call, policy.Reset, 0)
		}
	})
}

// ask has a bank send requests for good, most of them to the busiest gatekeeper of the turn.
func (w *tally) ask(customer int, until float64) {
	b := w.banks[customer]
	plan := &w.set.Plans[b.plan]
	const mean = 1.5
	next := w.clock.Now() + 1000*mean/(b.times*plan.Rate)*w.random.ExpFloat64()
	if next > until {
		return
	}
	w.at(next, func() {
		units := 1 + w.random.Float64()*(2*mean-2)
		to := (int(w.clock.Now()/tallyTurn) + customer) % len(w.gates)
		if w.random.Float64() > tallyBusiest {
			to = w.random.IntN(len(w.gates))
		}
		b.asked += units
		g := w.gates[to]
		g.Take(&gatekeeper.Request{Customer: uint64(customer), Plan: b.plan, Left: 2000, Units: units, Spread: len(w.gates), Caller: g})
		w.ask(customer, until)
	})
}

// tallied is what one run showed. Parts are of what banks inside their quotas asked for.
type tallied struct {
	quota              [2]float64 // most beyond it, units, by plan
	ceiling            float64
	wrong, wrongBehind float64 // while the trouble lasts, and afterwards
	calls              float64 // a request
}

func (o *Counters) gates() int { return cmp.Or(o.Gates, 4) }

func (o *Counters) play(s tallyScenario, run int) (tallied, error) {
	seed, gates := o.Seed+uint64(run), o.gates()
	w := &tally{set: tallySettings(gates, !s.without), clock: gatekeeper.NewClock(), random: rand.New(rand.NewPCG(seed, 3)), seed: seed,
		counter: emulator.NewCounter(emulator.CounterConfig{Each: tallyEach, Queue: tallyQueue, Seed: seed}), gates: make([]*tallyGate, gates)}
	w.clock.Set(simStart)
	for _, b := range []struct {
		n, plan int
		times   float64
	}{{1, tallyMayor, 7.1}, {2, tallyMayor, 0.7}, {2, tallyBasico, 4}, {10, tallyBasico, 0.6}} {
		for range b.n {
			p := &w.set.Plans[b.plan]
			one := &bank{plan: b.plan, times: b.times, quota: level{p.Rate, p.Burst, p.Burst, simStart}, allow: level{1e15, 1e15, 1e15, simStart}}
			if p.CeilingRate > 0 {
				one.allow = level{p.CeilingRate, p.CeilingBurst, p.CeilingBurst, simStart}
			}
			w.banks = append(w.banks, one)
		}
	}
	var events []emulator.CounterEvent
	for _, text := range s.events {
		e, err := emulator.ParseCounterEvent(text)
		if err != nil {
			return tallied{}, err
		}
		events = append(events, e)
	}
	for _, m := range emulator.Moments(events) {
		w.at(simStart+m.At, func() { m.Do(w.counter) })
	}
	for n := range gates {
		w.birth(n)
	}
	const end = simStart + tallyBefore + tallyTrouble + tallyAfter
	for i := range w.banks {
		w.ask(i, end)
	}
	if s.deaths { // 41% of them, one after the other, twice
		dead := max(gates*41/100, 1)
		for i := range 2 * dead {
			at := tallyTrouble / 6 * float64(1+i/dead*3+i%dead*2/dead)
			w.at(simStart+tallyBefore+at, func() { w.birth((int(seed) + i) % gates) })
		}
	}
	count := func(ms float64) (part float64) {
		for _, b := range w.banks {
			b.asked, b.wrong = 0, 0
		}
		w.run(w.clock.Now() + ms)
		asked, wrong := 0.0, 0.0
		for _, b := range w.banks {
			if b.times < 1 {
				asked, wrong = asked+b.asked, wrong+b.wrong
			}
		}
		return 100 * wrong / max(asked, 1)
	}
	w.run(simStart + tallyBefore)
	calls, sends := w.calls, w.sends
	var t tallied
	t.wrong = count(tallyTrouble)
	t.calls = float64(w.calls-calls) / float64(max(w.sends-sends, 1))
	t.wrongBehind = count(tallyAfter)
	for _, b := range w.banks {
		t.quota[b.plan] = max(t.quota[b.plan], b.quotaWorst)
		t.ceiling = max(t.ceiling, b.allowWorst)
	}
	return t, nil
}

// Write plays all scenarios and prints the table.
func (o *Counters) Write(to io.Writer) error {
	slack := tallySettings(o.gates(), true).Plans[tallyMayor].CeilingSlack
	fmt.Fprintf(to, `%d runs of %.0f s of simulated time each, of %d gatekeepers; the trouble lasts from 10 s to 40 s. One mayor bank asks for
7.1 times its quota, two of basico for 4 times, twelve stay inside theirs; %.0f%% of a bank's requests come to one gatekeeper,
another every %.0f s. Units beyond quota and ceiling are at the worst moment, over rate and burst; the ceiling's slack is %g.

| counter | beyond the ceiling: p99 | worst | beyond the quota, mayor: p99 | worst | basico: p99 | worst | refused wrongly meanwhile, %%: median | p99 | behind it: median | calls an attempt |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
`, o.Runs, (tallyBefore+tallyTrouble+tallyAfter)/1000, o.gates(), 100*tallyBusiest, tallyTurn/1000, slack)
	for _, s := range tallyScenarios() {
		var ceiling, mayor, basico, wrong, behind, calls []float64
		for run := range o.Runs {
			t, err := o.play(s, run)
			if err != nil {
				return err
			}
			ceiling, mayor, basico = append(ceiling, t.ceiling), append(mayor, t.quota[tallyMayor]), append(basico, t.quota[tallyBasico])
			wrong, behind, calls = append(wrong, t.wrong), append(behind, t.wrongBehind), append(calls, t.calls)
		}
		if _, err := fmt.Fprintf(to, "| %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f |\n", s.name,
			quantile(ceiling, 0.99), quantile(ceiling, 1), quantile(mayor, 0.99), quantile(mayor, 1), quantile(basico, 0.99), quantile(basico, 1),
			quantile(wrong, 0.5), quantile(wrong, 0.99), quantile(behind, 0.5), quantile(calls, 0.5)); err != nil {
			return err
		}
	}
	return nil
}
