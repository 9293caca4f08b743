package cairn

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// world is a simulated set of core machines with their network and disks. Whatever breaks an
// invariant is kept in broken.
type world struct {
	rng    *rand.Rand
	now    float64
	queue  queue
	order  uint64
	nodes  []*node
	cut    map[[2]string]bool
	loss   float64
	coded  bool       // messages and records go through CBOR
	whims  *rand.Rand // of an operator who has machines forgotten; nil for none
	calmed bool       // no message is slow
	seeds  []string
	faults faults
	lives  uint64
	ids    uint64
	broken error
	tol    int

	views     map[uint64]string
	decided   map[uint64]View
	gone      map[string]bool // addresses that were taken away for good
	turnover  *rand.Rand      // of replacements, restarts in order; nil for none
	notices   int             // machines that are to end for good, and have not yet
	over      bool            // nothing is replaced or restarted any more
	sync      float64         // how long a machine that is back counts as lost
	added     int
	seats     int // that there are to be
	replaced  int
	committed map[uint64]Stamp
	acked     uint64 // the highest edition that was acknowledged
	edition   uint64
	calls     map[uint64]*call
	zone      zoneClient
	okPuts    int
	okAsks    int
	drops     [3]int // by outcome
	maxView   uint64
}

// zoneClient is one operator that empties a zone and takes it back, one after the other.
type zoneClient struct {
	busy    bool
	known   bool // the last change was acknowledged, so what must be read is known
	evacced bool
	n       uint64
}

type call struct {
	node    *node
	life    uint64
	put     uint64
	drop    string
	zone    bool
	evac    bool
	ask     bool
	floor   uint64
	zoneN   uint64
	began   float64
	outcome *Outcome
}

type node struct {
	addr    string
	m       *Machine
	disk    []Record
	up      bool
	life    uint64
	wiped   bool // and not yet whole again
	frozen  float64
	busy    bool
	seen    uint64
	syncs   uint64 // numbers the batches, also over lives
	pending Out
	inbox   []Event
	edition uint64
	offset  float64
	seeds   []string // its own, where it came later
	was     []string // names of disks that it has lost
	first   bool     // it starts as at the very first start
	back    float64  // when it was last back from being down, frozen or cut off
}

type item struct {
	at    float64
	order uint64
	do    func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

func newWorld(seed uint64, machines, seeds int, f faults) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, faults: f, views: map[uint64]string{},
		decided: map[uint64]View{}, gone: map[string]bool{}, seats: machines,
		committed: map[uint64]Stamp{}, calls: map[uint64]*call{}}
	w.tol = 0
	if machines >= 5 {
		w.tol = 2
	}
	if machines == 3 || machines == 4 {
		w.tol = 1
	}
	for i := range machines {
		n := &node{addr: fmt.Sprintf("10.0.0.%d:1", i+1), offset: w.rng.Float64() * 1e6}
		w.nodes = append(w.nodes, n)
		if i < seeds {
			w.seeds = append(w.seeds, n.addr)
		}
	}
	for _, n := range w.nodes {
		w.boot(n, true)
	}
	return w
}

func (w *world) fail(format string, a ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf("at %.0f ms: %s", w.now, fmt.Sprintf(format, a...))
	}
}

func (w *world) after(d float64, do func()) {
	w.order++
	heap.Push(&w.queue, item{w.now + d, w.order, do})
}

func (w *world) run(until float64) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.broken == nil {
		i := heap.Pop(&w.queue).(item)
		w.now = i.at
		i.do()
	}
	w.now = max(w.now, until)
}

func (w *world) boot(n *node, first bool) {
	if n.up || w.gone[n.addr] {
		return
	}
	w.lives++
	n.up, n.life, n.busy, n.inbox, n.frozen, n.back = true, w.lives, false, nil, 0, w.now
	n.offset = w.rng.Float64() * 1e6
	seeds := w.seeds
	if n.seeds != nil {
		seeds = n.seeds
	}
	n.m = New(Config{Self: Ident{Addr: n.addr}, Seeds: seeds, FirstRun: first || n.first, Seed: w.rng.Uint64(), Bytes: 3000}, n.disk, w.now+n.offset)
	n.m.faults, n.first = w.faults, false
	if w.faults.forgetVotes {
		n.m.promised, n.m.accepted = Ballot{}, nil
	}
	n.edition = n.m.base.Edition
	w.tick(n, n.life)
}

func (w *world) tick(n *node, life uint64) {
	if !n.up || n.life != life {
		return
	}
	w.offer(n, Event{})
	w.after(45+w.rng.Float64()*10, func() { w.tick(n, life) })
}

func (w *world) offer(n *node, e Event) {
	if !n.up {
		return
	}
	if e == (Event{}) && (n.busy || n.frozen > w.now) {
		return
	}
	n.inbox = append(n.inbox, e)
	w.work(n)
}

func (w *world) work(n *node) {
	for n.up && !n.busy && len(n.inbox) > 0 && n.frozen <= w.now {
		e := n.inbox[0]
		n.inbox = n.inbox[1:]
		out := n.m.Step(w.now+n.offset, e)
		n.pending = out
		if len(out.Sync) == 0 {
			w.synced(n)
			continue
		}
		n.busy = true
		n.syncs++
		no := n.syncs
		w.after(1+w.rng.Float64()*6, func() { w.afterSync(n, no) })
	}
}

func (w *world) afterSync(n *node, no uint64) {
	if !n.busy || n.syncs != no {
		return
	}
	if n.frozen > w.now {
		w.after(min(20, n.frozen-w.now+0.001), func() { w.afterSync(n, no) })
		return
	}
	n.busy = false
	w.synced(n)
	w.work(n)
}

func (w *world) synced(n *node) {
	out := n.pending
	n.pending = Out{}
	for _, r := range out.Sync {
		if w.coded {
			r = coded(w, r)
		}
		n.disk = append(n.disk, r)
	}
	if out.Compact {
		n.disk = n.m.Snapshot()
	}
	w.check(n)
	for _, g := range out.Send {
		w.carry(g)
	}
	for _, r := range out.Done {
		w.done(n, r)
	}
}

func (w *world) carry(g Message) {
	if w.cut[[2]string{g.From.Addr, g.To.Addr}] || w.rng.Float64() < w.loss {
		return
	}
	d := 0.3 + w.rng.Float64()*4
	if !w.calmed && w.rng.Float64() < 0.02 {
		d += w.rng.Float64() * 300 // and so out of order
	}
	if w.loss > 0 && w.rng.Float64() < 0.01 {
		d += w.rng.Float64() * 4000
	}
	if w.coded {
		g = coded(w, g)
	}
	again := w.loss > 0 && w.rng.Float64() < 0.02
	for _, n := range w.nodes {
		if n.addr == g.To.Addr {
			to := n
			w.after(d, func() { w.offer(to, Event{Message: &g}) })
			if again {
				w.after(d+w.rng.Float64()*1000, func() { w.offer(to, Event{Message: &g}) })
			}
		}
	}
}

// coded is what comes out of the coding that messages and records have outside of tests.
func coded[T any](w *world, v T) (out T) {
	b, err := cbor.Marshal(v)
	if err == nil {
		err = cbor.Unmarshal(b, &out)
	}
	if err != nil {
		w.fail("coding: %v", err)
	}
	return out
}

// check looks at the invariants that hold at each machine at every moment.
func (w *world) check(n *node) {
	v := n.m.view
	if v.No != n.seen {
		n.seen = v.No
		s := fmt.Sprint(v)
		if o, ok := w.views[v.No]; ok && o != s {
			w.fail("two views under one number: %s and %s", o, s)
		}
		w.views[v.No] = s
		w.maxView = max(w.maxView, v.No)
		if _, ok := w.decided[v.No]; !ok {
			w.decided[v.No] = v
			w.bears(v)
		}
	}
	st := n.m.base
	if st.Edition < n.edition {
		w.fail("%s goes back from edition %d to %d", n.addr, n.edition, st.Edition)
	}
	n.edition = st.Edition
	if st.Edition > 0 && string(st.Body) != fmt.Sprint("body ", st.Edition) {
		w.fail("%s has a wrong body for edition %d", n.addr, st.Edition)
	}
	if st.Last.Seq > 0 {
		if o, ok := w.committed[st.Last.Seq]; ok && o != st.Last {
			w.fail("%s commits %v where %v was committed", n.addr, st.Last, o)
		}
		w.committed[st.Last.Seq] = st.Last
	}
	if n.wiped && n.m.place() >= 0 && v.No == w.maxView && n.m.isWhole() {
		n.wiped = false
	}
}

func (w *world) done(n *node, r Result) {
	c := w.calls[r.ID]
	if c == nil || c.outcome != nil {
		w.fail("an answer to nothing")
		return
	}
	delete(w.calls, r.ID)
	c.outcome = &r.Outcome
	switch {
	case c.drop != "":
		w.drops[r.Outcome]++
	case c.ask:
		if r.Outcome != OK {
			return
		}
		w.okAsks++
		if r.State.Edition < c.floor {
			w.fail("%s reads edition %d after %d was acknowledged", n.addr, r.State.Edition, c.floor)
		}
		if _, ok := r.State.Evacuated["z"]; c.zoneN > 0 && c.zoneN == w.zone.n && ok != w.zone.evacced {
			w.fail("%s reads the zone as evacuated=%v, acknowledged was %v", n.addr, ok, w.zone.evacced)
		}
	case c.zone:
		w.zone.busy = false
		if r.Outcome == OK {
			w.zone.known, w.zone.evacced = true, c.evac
		}
	case r.Outcome == OK:
		w.okPuts++
		w.acked = max(w.acked, c.put)
	}
}

func (w *world) put(n *node) *call {
	w.edition++
	c := &call{node: n, put: w.edition, began: w.now}
	w.begin(n, c, Event{Submit: &Submit{Change: Change{Kind: PutConfiguration, Edition: w.edition, Body: []byte(fmt.Sprint("body ", w.edition))}}})
	return c
}

func (w *world) evac(n *node) {
	if w.zone.busy {
		return
	}
	w.zone.busy, w.zone.known = true, false
	w.zone.n++
	c := &call{node: n, zone: true, evac: w.rng.IntN(2) == 0, began: w.now}
	k := TakeBack
	if c.evac {
		k = Evacuate
	}
	w.begin(n, c, Event{Submit: &Submit{Change: Change{Kind: k, Zone: "z"}}})
}

func (w *world) ask(n *node) *call {
	c := &call{node: n, ask: true, floor: w.acked, began: w.now}
	if w.zone.known && !w.zone.busy {
		c.zoneN = w.zone.n
	}
	w.begin(n, c, Event{Ask: &Ask{}})
	return c
}

func (w *world) begin(n *node, c *call, e Event) {
	w.ids++
	c.life = n.life
	w.calls[w.ids] = c
	switch {
	case e.Submit != nil:
		e.Submit.ID = w.ids
	case e.Drop != nil:
		e.Drop.ID = w.ids
	default:
		e.Ask.ID = w.ids
	}
	w.offer(n, e)
}

// drop has a machine forgotten.
func (w *world) drop(at, gone *node) {
	w.begin(at, &call{node: at, drop: gone.addr, began: w.now}, Event{Drop: &Drop{Addr: gone.addr}})
}

// kill ends a process; of what it was about to sync, a part may be on the disk.
func (w *world) kill(n *node) {
	if !n.up {
		return
	}
	n.up = false
	if n.busy {
		k := w.rng.IntN(len(n.pending.Sync) + 1)
		n.disk = append(n.disk, n.pending.Sync[:k]...)
	}
	n.pending, n.inbox, n.busy = Out{}, nil, false
	for id, c := range w.calls {
		if c.node == n {
			delete(w.calls, id)
			if c.zone {
				w.zone.busy = false
			}
		}
	}
}

func (w *world) wipe(n *node) {
	w.kill(n)
	if n.m != nil {
		n.first = n.m.extra // it never had a seat: its settings are still those of the very first start
		n.was = append(n.was, n.m.Self().Disk)
	}
	n.disk, n.wiped = nil, true
}

// lost counts the machines that count as lost: down, frozen, or not whole members of the newest chain.
func (w *world) lost() map[*node]bool {
	l := map[*node]bool{}
	for _, n := range w.nodes {
		if w.turnover != nil && (w.isCut(n) || w.now-n.back < w.sync) {
			l[n] = true
			continue
		}
		if n.up && n.frozen <= w.now && w.ready(n) {
			continue
		}
		if !n.up || n.wiped || n.frozen > w.now || n.m.View().No != w.maxView || n.m.place() < 0 || !n.m.isWhole() {
			l[n] = true
		}
	}
	return l
}

func (w *world) pick() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

// trouble does one harmful or healing thing.
func (w *world) trouble() {
	n := w.pick()
	if w.whims != nil {
		if at, gone := w.nodes[w.whims.IntN(len(w.nodes))], w.nodes[w.whims.IntN(len(w.nodes))]; at.up {
			w.drop(at, gone)
		}
	}
	back := func(n *node, within float64) {
		w.after(50+w.rng.Float64()*within, func() { w.boot(n, false) })
	}
	if w.turnover != nil && w.turnover.IntN(2) == 0 {
		w.turn(w.nodes[w.turnover.IntN(len(w.nodes))])
		return
	}
	switch w.rng.IntN(13) {
	case 0, 1:
		w.kill(n)
		back(n, 3000)
	case 2:
		for _, n := range w.nodes {
			w.kill(n)
			back(n, 1000)
		}
	case 3, 4, 5: // up to as many disks as the tolerance allows, perhaps while the others lose power
		l := w.lost()
		for range 2 {
			if x := w.pick(); len(l) < w.tol || l[x] && x.wiped && (w.turnover == nil || len(l) <= w.tol) {
				l[x] = true
				w.wipe(x)
				back(x, 2000)
			}
		}
		if w.rng.IntN(2) == 0 {
			for _, n := range w.nodes {
				w.kill(n)
				back(n, 1500)
			}
		}
	case 6:
		o := w.pick()
		w.cut[[2]string{n.addr, o.addr}] = true
	case 7:
		o := w.pick()
		w.cut[[2]string{n.addr, o.addr}], w.cut[[2]string{o.addr, n.addr}] = true, true
	case 8: // a machine alone, or a split
		apart := []*node{n}
		if w.rng.IntN(2) == 0 {
			apart = slices.DeleteFunc(slices.Clone(w.nodes), func(*node) bool { return w.rng.IntN(2) != 0 })
		}
		w.partition(apart)
	case 9, 10:
		w.heal()
	case 11:
		w.freeze(n, 100+w.rng.Float64()*3000)
	case 12:
		w.loss = []float64{0, 0, 0.05, 0.2}[w.rng.IntN(4)]
	}
}

// partition cuts all paths between some machines and the others.
func (w *world) partition(apart []*node) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if slices.Contains(apart, a) != slices.Contains(apart, b) {
				w.cut[[2]string{a.addr, b.addr}] = true
			}
		}
	}
}

// heal joins what was cut.
func (w *world) heal() {
	for _, n := range w.nodes {
		if w.isCut(n) {
			n.back = w.now
		}
	}
	clear(w.cut)
}

func (w *world) freeze(n *node, d float64) {
	n.frozen, n.back = w.now+d, w.now+d
	w.after(d+0.001, func() { w.work(n) })
}

// load keeps operators busy.
func (w *world) load(until float64) {
	n := w.pick()
	if n.up {
		switch w.rng.IntN(5) {
		case 0, 1:
			w.put(n)
		case 2:
			w.evac(n)
		default:
			w.ask(n)
		}
	}
	if w.now < until {
		w.after(10+w.rng.Float64()*150, func() { w.load(until) })
	}
}

func (w *world) calm(all bool) {
	clear(w.cut)
	w.loss, w.calmed, w.over = 0, true, true
	down := 0
	for _, n := range w.nodes {
		n.frozen = min(n.frozen, w.now)
		if n.up && n.m.leaving {
			w.kill(n) // and it starts again
		}
		w.work(n)
		if n.up {
			continue
		}
		if down++; all || down > w.tol || n.disk != nil {
			w.boot(n, false)
		}
	}
}

// sound plays one run and gives back what was broken.
func sound(seed uint64, machines, seeds int, f faults) (*world, error) {
	w := newWorld(seed, machines, seeds, f)
	w.coded = seed%20 == 0
	if f.whims {
		w.whims = rand.New(rand.NewPCG(seed, 2))
	}
	if f.turnover {
		w.turnover, w.sync = rand.New(rand.NewPCG(seed, 3)), syncMost
	}
	end := 6000.0
	if f.turnover {
		end = 12000
	}
	w.after(500, func() { w.load(end) })
	var trouble func()
	trouble = func() {
		if w.now < end {
			w.trouble()
			w.after(20+w.rng.ExpFloat64()*500, trouble)
		}
	}
	w.after(300+w.rng.Float64()*1200, trouble)
	w.run(end)
	w.calm(true)
	w.run(w.now + 2500)
	w.progress("2.5 s of calm")
	w.run(w.now + 3000)
	w.settled()
	if w.broken != nil {
		return w, w.broken
	}
	// A last loss, and progress without the lost.
	k := 0
	for _, n := range w.nodes {
		if k < w.tol && w.rng.IntN(2) == 0 {
			k++
			w.kill(n)
		}
	}
	w.run(w.now + 2500)
	w.progress("2.5 s of a loss that is tolerated")
	return w, w.broken
}

// progress demands that every running machine has a change and a read done.
func (w *world) progress(when string) {
	if w.broken != nil {
		return
	}
	var cs []*call
	for _, n := range w.nodes {
		if n.up {
			cs = append(cs, w.put(n), w.ask(n))
		}
	}
	w.run(w.now + 950)
	for _, c := range cs {
		if c.outcome == nil || *c.outcome != OK {
			o := "no answer"
			if c.outcome != nil {
				o = fmt.Sprint(*c.outcome)
			}
			var s string
			for _, n := range w.nodes {
				if n.up {
					s += fmt.Sprintf("\n  %+v mine=%+v acc=%+v", n.m.Status(), n.m.mine, n.m.accepted)
				}
			}
			w.fail("%s: no progress at %s (ask %v): %v%s", when, c.node.addr, c.ask, o, s)
		}
	}
}

// settled demands that all machines are in the chain and hold the same.
func (w *world) settled() {
	if w.broken != nil {
		return
	}
	var last *node
	for _, n := range w.nodes {
		v := n.m.View()
		if w.turnover != nil && w.ready(n) {
			continue
		}
		if len(v.Chain) != w.seats || len(v.Core) != w.seats || v.Seats != w.seats || !slices.Contains(v.Chain, n.m.Self()) {
			w.fail("%s is not back in a whole chain: %+v", n.addr, n.m.Status())
			return
		}
		if last == nil {
			last = n
		}
		if n.m.base.Last != last.m.base.Last || n.m.base.Edition < w.acked {
			w.fail("%s holds %v, %s holds %v; edition %d was acknowledged", n.addr, n.m.base.Last, last.addr, last.m.base.Last, w.acked)
		}
	}
}
