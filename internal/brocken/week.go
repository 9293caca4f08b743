// Package brocken plays a week of journeys in the shadow on a set clock: many real spurs, the calls
// between them, clients, live workers and shadow services, and the troubles of a week. A ledger of
// all of these tells what must never be. Nothing in it waits, and one seed always gives one week.
package brocken

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"foxwood/internal/spur"
)

const (
	second = 1000.0
	hour   = 3600 * second
	day    = 24 * hour
	days   = 7
	endS   = 3 * 3600
	before = 5 * hour  // so that a journey's end is behind the start when the week begins
	after  = 14 * hour // played beyond the week, until all journeys are over
)

// Plan is the size of a week.
type Plan struct {
	Seed        uint64
	Gatekeepers int
	Journeys    int // about, in the week
	AskS        float64
	Days        int    // of the week, played from its beginning; 0 for all
	Fault       string // planted, one of faults
}

// faults are what tests plant, to see that the ledger notices.
var faults = map[string]string{
	"choice":    "one gatekeeper hashes with another key",
	"loss":      "words on lost pieces name other journeys",
	"cut":       "who is cut off is taken to have nothing to tell",
	"death":     "who died is taken to have said all",
	"stances":   "nobody tells by what it goes",
	"twice":     "a copy in a hundred goes out twice",
	"retry":     "copies that were not answered are sent again",
	"handed":    "a journey that is handed over has a piece twice",
	"blind":     "nobody is told of live workers",
	"resend":    "unsafe requests are sent again when a gatekeeper dies",
	"careless":  "three pieces in a hundred are dropped",
	"ages":      "pieces come without their ages",
	"half":      "journeys that are handed over lose a piece on the way",
	"forgetful": "an answer in fifty lacks its first item, and its numbers don't say so",
}

var (
	tenants = []string{"larch", "birch", "rowan", "alder", "aspen", "maple", "hazel", "cedar"}
	left    = "cedar" // the tenant that the orders leave out
	routes  = []struct {
		name, destination string
		safe, wanted      bool
	}{{"quote", "rates", true, true}, {"lookup", "numbers", true, true}, {"preapproval", "deals", false, true}, {"cutover", "numbers", false, true}, {"press", "news", true, false}}
)

// request is one that a client wants, of a journey.
type request struct {
	visit *visit
	id    int
	route int
	gate  *gate // through which it is to go, for once
}

// visit is a client's journey.
type visit struct {
	name   string
	tenant string
	left   int // requests
	slow   bool
	again  bool // it comes back much later
}

// gate is a station and its life.
type gate struct {
	n       int
	name    string
	region  string
	life    uint64
	spur    *spur.Spur
	up      bool // the process runs
	ready   bool
	cut     bool
	leaving bool
	bothy   int
	known   int // live workers that it was told of
	drift   float64
	shift   float64
	open    map[int]*running // by piece
	last    spur.Counts
}

// running is a real request that a live worker has.
type running struct {
	q      *request
	piece  int
	ticket spur.Ticket
}

// roll is the members from a moment on.
type roll struct {
	at    float64
	seats []spur.Seat
}

// week is all of it.
type week struct {
	plan   Plan
	rnd    *rand.Rand
	now    float64
	events events
	seq    uint64
	gates  []*gate
	rolls  []roll // the truth, and earlier ones
	named  []*gate
	lag    []float64 // of each bothy's view
	down   []float64 // until when each is away
	order  *spur.Order
	wrong  *spur.Order // of the planted fault
	live   map[string]bool
	liveAt map[string]float64 // from when a worker serves there
	hangs  map[string]bool
	lives  uint64
	lastRQ int
	book   *ledger
	notes  []note
	shadow map[string]string // address, by destination
}

// note is a trouble of the week.
type note struct {
	at   float64
	text string
}

// event is something that happens at a time.
type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n] = event{}
	*e = (*e)[:n]
	return x
}

func (w *week) in(ms float64, do func()) { w.at(w.now+ms, do) }

func (w *week) at(at float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{at, w.seq, do})
}

// clock is a gatekeeper's own steady time.
func (g *gate) clock(now float64) float64 { return g.shift + now*(1+g.drift) }

func (w *week) between(a, b float64) float64 { return a + w.rnd.Float64()*(b-a) }

// play plays a week.
func play(p Plan) *week {
	if p.Days == 0 {
		p.Days = days
	}
	w := &week{plan: p, now: -before, rnd: rand.New(rand.NewPCG(p.Seed, 77)), live: map[string]bool{}, liveAt: map[string]float64{}, hangs: map[string]bool{}, book: newLedger(),
		shadow: map[string]string{"rates": "10.9.0.1:8080", "deals": "10.9.0.2:8080", "numbers": "10.9.0.3:8080"}}
	for i := range 20 {
		w.live[fmt.Sprintf("10.1.0.%d:8080", i+1)] = true
	}
	for range 3 {
		w.lag, w.down = append(w.lag, w.between(0, 2*second)), append(w.down, 0)
	}
	w.rolls = []roll{{at: math.Inf(-1)}}
	w.put(1, 0.3, "key-of-the-first-days", "")
	for i := range p.Gatekeepers {
		g := &gate{n: i, name: fmt.Sprintf("gate-%02d", i), region: "north"}
		if i%4 == 3 {
			g.region = "south"
		}
		w.gates = append(w.gates, g)
		w.born(g)
	}
	w.trouble()
	w.at(w.now+20*60*second, w.arrive)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > float64(p.Days)*day+after {
			break
		}
		w.now = e.at
		e.do()
	}
	w.book.close(w)
	return w
}

func (w *week) note(format string, a ...any) {
	w.notes = append(w.notes, note{w.now, fmt.Sprintf(format, a...)})
}

// put brings an order to all gatekeepers, each in its time.
func (w *week) put(number int, share float64, key, more string) {
	body := fmt.Sprintf(`{"number":%d,"routes":["quote","lookup","preapproval","cutover"],"share":%g,"key":%q,"journey":{"from":"header","name":"X-Visit"},
		"shadows":[{"destination":"rates","address":%q,"region":"north"},{"destination":"deals","address":%q,"region":"north"},{"destination":"numbers","address":%q,"region":"north"}],
		"tenantsOut":[%q],"region":"north","endS":%d,"spanS":86400,"patienceS":7200,"timeoutS":5%s}`,
		number, share, key, w.shadow["rates"], w.shadow["deals"], w.shadow["numbers"], left, endS, more)
	o, bad := spur.ReadOrder([]byte(body))
	if len(bad) > 0 {
		panic(bad[0].Error())
	}
	w.wrong = o
	if w.plan.Fault == "choice" {
		p := w.plan
		p.Fault = ""
		v := &week{plan: p, shadow: w.shadow, rnd: w.rnd, book: newLedger()}
		v.put(number, share, key+"'", more)
		w.wrong = v.order
	}
	w.order = o
	w.book.put(w.now, o)
	for _, g := range w.gates {
		w.in(w.between(0.1, 2.5)*second, func() { w.hear(g) })
	}
}

// hear has a gatekeeper get the order in force.
func (w *week) hear(g *gate) {
	if !g.up || g.cut {
		return
	}
	o := w.order
	if w.plan.Fault == "choice" && g.n == 2 {
		o = w.wrong
	}
	g.spur.Put(g.clock(w.now), o)
}

// born starts a life at a station.
func (w *week) born(g *gate) {
	w.lives++
	g.life, g.up, g.ready, g.cut, g.leaving = w.lives<<20|uint64(w.rnd.IntN(1<<20)), true, false, false, false
	g.drift, g.shift = w.between(-50e-6, 50e-6), w.between(day, 2*day)
	g.open, g.last, g.bothy = map[int]*running{}, spur.Counts{}, w.rnd.IntN(3)
	room := 48 << 20
	g.spur = spur.New(spur.Config{Self: w.seat(g), Now: g.clock(w.now), Room: room, AskMs: w.plan.AskS * second})
	g.known = 0
	life := g.life
	w.in(w.between(0.5, 1.5)*second, func() {
		if g.life == life {
			w.enrol()
		}
	})
	w.in(w.between(0, w.plan.AskS)*second, func() { w.tick(g, life) })
}

func (w *week) seat(g *gate) spur.Seat {
	return spur.Seat{Station: g.name, Life: g.life, Region: g.region, Inner: g.name}
}

// enrol has the truth of the members be what it is now.
func (w *week) enrol() {
	var all []spur.Seat
	for _, g := range w.gates {
		if g.up && !g.cut && !g.leaving {
			all = append(all, w.seat(g))
		}
	}
	w.rolls = append(w.rolls, roll{w.now, all})
	if len(w.rolls) > 50 {
		w.rolls = slices.Delete(w.rolls, 0, 1)
	}
	w.direct()
}

// direct is the directory: it names who is ready.
func (w *week) direct() {
	w.in(w.between(0, 1)*second, func() {
		w.named = w.named[:0]
		for _, g := range w.gates {
			if g.up && g.ready && !g.cut && !g.leaving {
				w.named = append(w.named, g)
			}
		}
	})
}

// view is the members as a bothy sees them, and as of when.
func (w *week) view(bothy int) (roll, float64) {
	asOf := w.now - w.lag[bothy]
	for i := len(w.rolls) - 1; i >= 0; i-- {
		if w.rolls[i].at <= asOf {
			return w.rolls[i], asOf
		}
	}
	return w.rolls[0], asOf
}

// workers is the live workers' addresses, as they are told.
func (w *week) workers() map[string]bool {
	if w.plan.Fault == "blind" {
		return nil
	}
	return w.live
}

// sign is a gatekeeper's call to its bothy.
func (w *week) sign(g *gate) {
	if g.cut {
		return
	}
	if w.down[g.bothy] > w.now {
		g.bothy = w.rnd.IntN(len(w.lag)) // the next time elsewhere
		return
	}
	r, asOf := w.view(g.bothy)
	if len(r.seats) == 0 {
		return
	}
	now := g.clock(w.now)
	listed := slices.ContainsFunc(r.seats, func(k spur.Seat) bool { return k.Station == g.name && k.Life == g.life })
	if !listed && !g.ready {
		return // not a member yet
	}
	g.spur.Put(now, w.orderOf(g))
	g.spur.Members(now, g.clock(asOf), r.seats)
	if g.known != len(w.workers()) {
		g.known = len(w.workers())
		g.spur.Live(now, w.workers())
	}
	if !g.ready && listed {
		g.ready = true
		w.direct()
	}
}

func (w *week) orderOf(g *gate) *spur.Order {
	if w.plan.Fault == "choice" && g.n == 2 {
		return w.wrong
	}
	return w.order
}

// tick is a gatekeeper's time passing.
func (w *week) tick(g *gate, life uint64) {
	if !g.up || g.life != life {
		return
	}
	w.sign(g)
	w.book.tick(w, g)
	for _, a := range g.spur.Asks(g.clock(w.now)) {
		w.call(g, a)
	}
	w.pump(g)
	w.in(w.plan.AskS*second*w.between(0.9, 1.1), func() { w.tick(g, life) })
}

// call carries an ask over, and its answer back.
func (w *week) call(g *gate, a spur.Ask) {
	to := w.gates[slices.IndexFunc(w.gates, func(k *gate) bool { return k.name == a.To.Inner })]
	life := g.life
	missed := func() {
		if !g.up || g.life != life {
			return
		}
		if got, ok := w.lie(g, to, a); ok {
			g.spur.Heard(g.clock(w.now), a, got)
			return
		}
		g.spur.Missed(g.clock(w.now), a)
	}
	if to == g {
		g.spur.Heard(g.clock(w.now), a, w.tamper(g, g.spur.Answer(g.clock(w.now), a)))
		return
	}
	if !to.up || to.cut || g.cut || w.rnd.IntN(2000) == 0 {
		w.in(second, missed)
		return
	}
	w.in(w.between(1, 60), func() {
		if !to.up || to.cut || g.cut {
			w.in(second, missed)
			return
		}
		got := w.tamper(g, to.spur.Answer(to.clock(w.now), a))
		if w.rnd.IntN(2000) == 0 { // the answer is lost: it is asked again
			w.in(second, missed)
			return
		}
		if len(got.Items) > 0 && w.rnd.IntN(50) == 0 { // the form on the wire
			b, err := cbor.Marshal(got)
			if err != nil {
				panic(err)
			}
			got = spur.Answer{}
			if err := cbor.Unmarshal(b, &got); err != nil {
				panic(err)
			}
		}
		w.in(w.between(1, 60), func() {
			if g.up && g.life == life && !g.cut {
				g.spur.Heard(g.clock(w.now), a, got)
			} else if g.up && g.life == life {
				missed()
			}
		})
	})
}

// pump sends what is to go to shadows.
func (w *week) pump(g *gate) {
	for {
		d, ok := g.spur.Next(g.clock(w.now))
		if !ok {
			return
		}
		door := &door{addr: d.Address}
		if err := d.Send(door); err != nil {
			panic(err)
		}
		times := 1
		if w.plan.Fault == "twice" && w.rnd.IntN(100) == 0 {
			times = 2
		}
		if w.plan.Fault == "retry" && w.hangs[d.Address] {
			times = 2
		}
		for range times {
			w.book.copied(w, g, d, door.Bytes())
		}
		life, takes, answered := g.life, w.between(5, 200), true
		if w.hangs[d.Address] {
			takes, answered = d.Timeout, false
		}
		w.in(takes, func() {
			if g.up && g.life == life {
				g.spur.Told(g.clock(w.now), d.ID, answered)
				w.pump(g)
			}
		})
	}
}
