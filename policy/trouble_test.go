package policy

import (
	"slices"
	"testing"
)

// yard is two gateways before eight workers on a clock of its own. A worker does what it
// can, in turn; one that has just started can do less.
type yard struct {
	at      Micros
	set     Settings
	gws     []*Gateway
	hosts   []*yardHost
	workers []*yardWorker
	later   []due
	arrived map[uint32]Micros
	served  int // in time
	overdue int // sends past the aim
	flooded float64
}

type due struct {
	at Micros
	do func()
}

type yardWorker struct {
	up    bool
	start Micros
	free  Micros // when it is through with what it has
	out   int
	held  [2]int // of out, each gateway's: a dead one's links break
	got   []Micros
}

type yardHost struct {
	y *yard
	i int
}

const (
	yardWork  = 60e3 // of a request on one of two cores
	yardCores = 2
	yardAim   = 400e3
)

func newYard() *yard {
	s := Settings{Gateways: 2, Tick: 4000, MaxAttempts: 3, Cancel: true, RetryAfter: true, Largest: 1,
		Classes:   []Class{{Aim: yardAim, Deadline: 2e6, Worth: 1, Repeat: Safe}},
		Plans:     []Plan{{Rate: 1e6, Burst: 1e6, Price: 1}},
		ColdShare: 0.16, ColdFor: 14e6, FallMultiple: 3, FallWindow: 1500e3}
	y := &yard{at: 100e6, set: s, arrived: map[uint32]Micros{}}
	for range 8 {
		y.workers = append(y.workers, &yardWorker{up: true})
	}
	y.gws, y.hosts = make([]*Gateway, 2), make([]*yardHost, 2)
	for i := range y.gws {
		y.birth(i)
	}
	return y
}

func (y *yard) birth(i int) {
	set := y.set
	set.Self = i
	for _, w := range y.workers {
		w.out -= w.held[i]
		w.held[i] = 0
	}
	y.gws[i], y.hosts[i] = New(set, uint64(y.at)+uint64(i)), &yardHost{y, i}
	y.gws[i].Start(y.at, y.hosts[i])
	y.list(i)
}

// list tells a gateway of the workers as they are.
func (y *yard) list(i int) {
	var es []Entry
	for k, w := range y.workers {
		if w.up {
			es = append(es, Entry{Server: Server(k + 1), State: Ready, ReadyAt: w.start})
		}
	}
	y.gws[i].Servers(y.at, y.hosts[i], FullList, es)
}

func (y *yard) tell() {
	for i := range y.gws {
		y.list(i)
	}
}

func (y *yard) after(d Micros, do func()) { y.later = append(y.later, due{y.at + max(d, 0), do}) }

// can is how many requests a second a worker can do.
func (y *yard) can(w *yardWorker) float64 {
	full := yardCores / yardWork * 1e6
	if w.start == 0 || y.at-w.start >= y.set.ColdFor {
		return full
	}
	return full * (0.16 + 0.84*float64(y.at-w.start)/float64(y.set.ColdFor))
}

func (h *yardHost) Send(id uint32, to Server, _ Micros) {
	y := h.y
	g := y.gws[h.i]
	w, n, sent := y.workers[to-1], len(g.reqs[id].attempts)-1, y.at
	if y.at > y.arrived[id]+yardAim {
		y.overdue++
	}
	end := func(after Micros, st Status) {
		y.after(after, func() {
			if y.hosts[h.i] != h { // its gateway has died
				return
			}
			if st == OK {
				w.out--
				w.held[h.i]--
				if y.at <= y.arrived[id]+yardAim {
					y.served++
				}
			}
			g.Outcome(y.at, h, Outcome{ID: id, Attempt: n, Status: st, Terminal: st == OK, Latency: y.at - sent, Server: to})
		})
	}
	if !w.up {
		end(1e3, ConnectFailed)
		return
	}
	if w.got = append(w.got, y.at); w.start > 0 {
		for w.got[0] < y.at-y.set.FallWindow {
			w.got = w.got[1:]
		}
		y.flooded = max(y.flooded, float64(len(w.got))/(y.set.FallMultiple*y.can(w)*float64(y.set.FallWindow)/1e6))
	}
	if w.out >= 24 {
		end(1e3, Full)
		return
	}
	w.out++
	w.held[h.i]++
	w.free = max(w.free, y.at) + Micros(1e6/y.can(w))
	end(max(w.free-y.at, yardWork), OK)
}
func (h *yardHost) Refuse(uint32, Micros) {}
func (h *yardHost) Fail(uint32)           {}
func (h *yardHost) Cancel(uint32, int)    {}
func (h *yardHost) Timer(token uint64, after Micros) {
	g := h.y.gws[h.i]
	h.y.after(after, func() {
		if h.y.hosts[h.i] == h {
			g.Timer(h.y.at, h, token)
		}
	})
}
func (h *yardHost) Count(uint64, float64, Micros) {}

// run lets time go by with so many requests a second, and tells how many were served in time.
func (y *yard) run(d Micros, rate int) int {
	before, end := y.served, y.at+d
	every := second / Micros(rate)
	for ; y.at < end; y.at += milli {
		for i := 0; i < len(y.later); i++ {
			if x := y.later[i]; x.at <= y.at {
				y.later = slices.Delete(y.later, i, i+1)
				i--
				x.do()
			}
		}
		if y.at%every < milli {
			id := uint32(len(y.arrived) + 1)
			i := int(id) % 2
			y.arrived[id] = y.at
			y.gws[i].Request(y.at, y.hosts[i], Request{ID: id, Customer: uint64(id % 50), Left: 2e6, Units: 1, Spread: 2})
		}
	}
	return y.served - before
}

// TestTheFirstSecondsAfterTrouble: what queue, bound and cold budgets do over the five
// seconds after workers come back, at 45% of what the warm fleet can do, or all of it.
func TestTheFirstSecondsAfterTrouble(t *testing.T) {
	const usual = 120
	down := func(ws []*yardWorker) {
		for _, w := range ws {
			w.up = false
		}
	}
	back := func(y *yard, ws []*yardWorker, start Micros) {
		for _, w := range ws {
			w.up, w.start, w.got = true, start, nil
		}
	}
	// replaced has all die, be told of as gone after a while, and return cold.
	replaced := func(y *yard, untold, told Micros, rate int) {
		down(y.workers)
		y.run(untold, rate)
		y.tell()
		y.run(told, rate)
		back(y, y.workers, y.at)
		y.tell()
	}
	for name, c := range map[string]struct {
		rate    int
		trouble func(y *yard, rate int)
		least   [5]int // served in time, by second
	}{
		"one returns cold": {usual, func(y *yard, rate int) {
			down(y.workers[:1])
			y.tell()
			y.run(5e6, rate)
			back(y, y.workers[:1], y.at)
			y.tell()
		}, [5]int{110, 110, 110, 110, 110}},
		"all return cold": {usual, func(y *yard, rate int) {
			replaced(y, 3e6, 2e6, rate)
		}, [5]int{0, 10, 25, 30, 60}},
		"all return cold to gateways just born": {usual, func(y *yard, _ int) {
			back(y, y.workers, y.at)
			y.birth(0)
			y.birth(1)
		}, [5]int{10, 10, 10, 10, 10}},
		"all return as they were": {usual, func(y *yard, rate int) {
			down(y.workers)
			y.run(12e6, rate)
			back(y, y.workers, 0)
		}, [5]int{60, 110, 110, 110, 110}},
		// what was sent to dead workers, three times each, is not what they bore
		"all return cold under full load": {250, func(y *yard, rate int) {
			replaced(y, 1e6, 4e6, rate)
			y.run(300e3, rate)
			y.birth(0)
		}, [5]int{0, 0, 20, 30, 40}},
	} {
		t.Run(name, func(t *testing.T) {
			y := newYard()
			if n := y.run(10e6, c.rate); n < 9*usual {
				t.Fatalf("%d of %d were served before", n, 10*c.rate)
			}
			c.trouble(y, c.rate)
			y.overdue, y.flooded = 0, 0
			var got [5]int
			var bounds []float64
			for k := range got {
				got[k] = y.run(1e6, c.rate)
				bounds = append(bounds, y.gws[0].bound)
			}
			t.Logf("served in time by second %v, bound %.1f, cold budget used at most %.2f, sent too late %d", got, bounds, y.flooded, y.overdue)
			for k, n := range got {
				if n < c.least[k] {
					t.Errorf("second %d: %d served in time, want %d", k+1, n, c.least[k])
				}
			}
			if y.flooded > 0.75 { // half of it, and what rounding to whole requests adds
				t.Errorf("a cold worker was sent %.2f of the most it may be", y.flooded)
			}
			if y.overdue > 0 {
				t.Errorf("%d were sent that were too late already", y.overdue)
			}
			if g := y.gws[0]; g.bound < g.perServer(leastPerServer) {
				t.Errorf("the bound stays at %.1f", g.bound)
			}
		})
	}
}

// TestARefusalSaysWhenToComeBack: also the one that ends a request whose attempts are used
// up. Seen by the orderings: it bore no advice.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	b := newBench(settings(), 8)
	id := b.request(0, 0, 1)
	for n := range b.g.set.MaxAttempts {
		b.g.Outcome(b.at, b.r, Outcome{ID: id, Attempt: n, Status: Reset, Server: b.r.sent[n].to, Latency: 10e3})
	}
	if after, no := b.r.refused[id]; !no || after <= 0 {
		t.Errorf("refused %v, to come back after %d us", no, after)
	}
}

// TestWhatIsTooLateIsNotSent: neither what a stalled loop finds held past its aim, nor a
// repeat of what failed past it.
func TestWhatIsTooLateIsNotSent(t *testing.T) {
	b := newBench(settings(), 1)
	b.g.bound, b.g.doneRate = 1, 1000
	first, held := b.request(0, 0, 1), b.request(0, 0, 2)
	b.at += 600e3 // past the aim, and the timers have not rung yet
	b.g.Outcome(b.at, b.r, Outcome{ID: first, Status: Reset, Server: 1, Latency: 600e3})
	if _, no := b.r.refused[first]; len(b.r.sent) != 1 || !no {
		t.Errorf("a repeat past its aim: %d sends, refused %v", len(b.r.sent), no)
	}
	if _, no := b.r.refused[held]; !no {
		t.Error("what was held past its aim is not refused")
	}
}

// TestTheBoundFollowsAFleetThatGrows: one that began with a single worker does not hold ten
// to the bound of one.
func TestTheBoundFollowsAFleetThatGrows(t *testing.T) {
	b := newBench(settings(), 1)
	var es []Entry
	for i := range 10 {
		es = append(es, Entry{Server: Server(i + 1), State: Ready})
	}
	b.g.Servers(b.at, b.r, FullList, es)
	if least := b.g.perServer(leastPerServer); b.g.bound < least {
		t.Errorf("the bound is %.1f for 10 workers, %.1f is the least", b.g.bound, least)
	}
}

// TestALateAnswerOfAnOldProcessSaysNothingOfTheNew: under one id a new process starts, or
// another comes back, with attempts out at the old one. Their ends are not the new one's;
// what was sent to a cold start still counts.
func TestALateAnswerOfAnOldProcessSaysNothingOfTheNew(t *testing.T) {
	for name, list := range map[string][]Entry{
		"a new process": {{Server: 1, State: Ready, ReadyAt: 100e6 + 50e3}},
		"gone and back": {{Server: 1, State: Gone}, {Server: 1, State: Ready}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(settings(), 1)
			b.g.bound = 10
			var out []uint32
			for i := range 4 {
				out = append(out, b.request(2, 0, uint64(i)))
			}
			old := b.g.byID[1]
			old.rel, old.fullUntil, old.lost = 9, 200e6, true
			old.coldSends = []Micros{b.at}
			b.at += 60e3
			for _, e := range list {
				b.g.Servers(b.at, b.r, Delta, []Entry{e})
			}
			for _, id := range out { // the links to the old process break
				b.g.Outcome(b.at, b.r, Outcome{ID: id, Status: Reset, Latency: 60e3, Server: 1})
			}
			s := b.g.byID[1]
			if s == nil || s == old {
				t.Fatal("the new process is taken for the old one")
			}
			if s.ejected || s.fails > 0 || s.rel != 1 || s.fullUntil != 0 || s.lost || s.open != 0 || len(s.coldSends) != 1 {
				t.Errorf("of the old one the new one has %+v", s)
			}
			b.g.Servers(b.at, b.r, Delta, nil)
			if n := len(b.g.servers); n != 1 {
				t.Errorf("%d servers are kept", n)
			}
			if restored, err := Restore(b.g.Snapshot()); err != nil || restored.byID[1].e != s.e {
				t.Errorf("a snapshot goes on with another: %v", err)
			}
		})
	}
}

// TestOneRequestsClaimsDoNotDecideForOthers: a request in a customer's name that claims
// another plan, or to come through one gateway alone, neither shuts the customer out nor
// hands this gateway the whole of its ceiling.
func TestOneRequestsClaimsDoNotDecideForOthers(t *testing.T) {
	for name, false1 := range map[string]Request{
		"another plan":     {ID: 1, Plan: 0, Customer: 5, Left: 2e6, Units: 1, Spread: 2},
		"no other gateway": {ID: 1, Plan: 1, Customer: 5, Left: 2e6, Units: 1, Spread: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.Plans[1].Rate, s.Plans[1].Burst = 1000, 1000
			b := newBench(s, 4)
			b.at += 100e6 // our part of every ceiling is full
			b.g.Timer(b.at, b.r, tokenTick<<32)
			b.g.Request(b.at, b.r, false1)
			b.answer(10e3, OK)
			b.at += 1e6
			before := len(b.r.sent)
			for range 60 {
				b.request(0, 1, 5)
				b.answer(10e3, OK)
			}
			if n := len(b.r.sent) - before; n < 15 || n > 20 {
				t.Errorf("%d were let in, of a part of 20 in the ceiling", n)
			}
		})
	}
}

// TestWhatWouldWaitTooLongIsRefusedAtOnce: by what the workers get done, not at the end of
// the wait; and it is told when to come back.
func TestWhatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	b := newBench(settings(), 4)
	b.g.bound, b.g.doneRate = 1, 4
	b.g.classes[0].lat, b.g.classes[1].lat, b.g.classes[2].lat = 250e3, 250e3, 250e3
	for i := range 2 { // one is out, one is held for a quarter of a second
		if _, no := b.r.refused[b.request(0, 0, uint64(i))]; no {
			t.Fatalf("request %d was refused though it can be served", i)
		}
	}
	if after, no := b.r.refused[b.request(0, 0, 9)]; !no || after <= 0 {
		t.Errorf("refused %v, to come back after %d us", no, after)
	}
}

// TestAServerThatFailsIsShutOff: where its connections are refused, nothing but a trial now
// and then goes there, though it looks idle beside the others.
func TestAServerThatFailsIsShutOff(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1e6, 1e6
	b := newBench(s, 4)
	b.g.bound = 40
	refused := 0
	var out []sentTo
	for step := range 1200 { // 12 s
		b.at += 10e3
		b.request(0, 0, uint64(step))
		for ; b.seen < len(b.r.sent); b.seen++ {
			x := b.r.sent[b.seen]
			if x.to != 1 {
				out = append(out, x)
				continue
			}
			refused++
			b.g.Outcome(b.at, b.r, Outcome{ID: x.id, Attempt: len(b.g.reqs[x.id].attempts) - 1, Status: ConnectFailed, Latency: 1e3, Server: 1})
		}
		if len(out) > 15 { // the others have five each
			x := out[0]
			out = out[1:]
			b.g.Outcome(b.at, b.r, Outcome{ID: x.id, Attempt: len(b.g.reqs[x.id].attempts) - 1, Status: OK, Terminal: true, Latency: 150e3, Server: x.to})
		}
	}
	if refused > 8 {
		t.Errorf("%d attempts in 12 s went to a server that refuses them", refused)
	}
}

// TestOldLivesMakeTheFleetNoLarger: while attempts are out at the processes that were, the
// bound is for those that are.
func TestOldLivesMakeTheFleetNoLarger(t *testing.T) {
	b := newBench(settings(), 8)
	b.g.bound = 20
	for i := range 16 {
		b.request(0, 0, uint64(i))
	}
	var es []Entry
	for i := range 8 {
		es = append(es, Entry{Server: Server(i + 1), State: Ready, ReadyAt: b.at})
	}
	b.g.bound = 1
	b.g.Servers(b.at, b.r, FullList, es)
	if b.g.bound != leastPerServer*8/2 {
		t.Errorf("the bound of 8 workers is %.1f at the least", b.g.bound)
	}
}

// TestADrainingWorkerIsNoneToFallBackOn: where the only one that takes work is shut off, the
// one that drains does not make its trouble its own.
func TestADrainingWorkerIsNoneToFallBackOn(t *testing.T) {
	b := newBench(settings(), 2)
	b.g.Servers(b.at, b.r, Delta, []Entry{{Server: 1, State: Draining}})
	s := b.g.byID[2]
	for range 6 {
		b.at += ejectMost
		b.g.now = b.at
		b.g.eject(s)
	}
	if s.ejectedFor != ejectFirst {
		t.Errorf("the last worker is shut off for %d ms", s.ejectedFor/milli)
	}
}
