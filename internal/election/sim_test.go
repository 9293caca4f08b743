package election

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

var works = []string{"probes", "roster", "slices"}

const stepMs = 10

// node is one bothy of the simulated world.
type node struct {
	id     string
	m      *Machine
	skew   float64 // of its steady clock, which every life starts anywhere
	down   bool
	frozen bool
	cut    bool // from everybody
	inbox  []Message
	disk   []string // the electorate that it may remember
}

type post struct {
	due float64
	g   Message
}

type view struct {
	ids   []string
	asked float64
	due   float64
	n     uint64
	to    *node
	life  *Machine
}

// world plays wardens in real time, which none of them sees.
type world struct {
	t       *testing.T
	chance  *rand.Rand
	now     float64
	nodes   []*node
	ids     []string
	edition uint64
	posts   []post
	views   []view
	rough   bool
	away    float64         // milliseconds more that a message takes
	split   map[string]bool // pairs that can't reach each other
	highest map[string]uint64
	rising  bool // terms must rise, as nobody was restarted
	holder  map[string]string
	changes int
	old     []*node            // those that learn of no view
	last    map[string]float64 // when a duty was last held
	grows   bool               // electorates only grow, as the core's do, and are remembered
	vacant  map[string]float64 // what was told of those that were won
	won     map[string]float64
	before  map[string]float64 // when it was held before that
}

func newWorld(t *testing.T, seed uint64, n, spare int) *world {
	w := &world{t: t, chance: rand.New(rand.NewPCG(seed, uint64(n))), edition: 1, split: map[string]bool{}, highest: map[string]uint64{},
		rising: true, holder: map[string]string{}, last: map[string]float64{}, vacant: map[string]float64{}, won: map[string]float64{}, before: map[string]float64{}}
	for i := range n + spare {
		x := &node{id: fmt.Sprint("w", i)}
		w.nodes = append(w.nodes, x)
		if i < n {
			w.ids = append(w.ids, x.id)
		}
		w.start(x, true)
	}
	for _, x := range w.nodes {
		x.m.Electorate(w.now+x.skew, w.now+x.skew, w.ids, 1, 0)
	}
	return w
}

func (w *world) start(x *node, first bool) {
	x.skew = w.chance.Float64() * 1e7
	x.m = New(x.id, w.chance.Uint64(), w.now+x.skew, 0, first, works...)
	x.down, x.frozen, x.inbox = false, false, nil
	if x.disk != nil {
		x.m.Remember(x.disk, 0)
	}
}

func (w *world) node(id string) *node {
	for _, x := range w.nodes {
		if x.id == id {
			return x
		}
	}
	return nil
}

func pair(a, b string) string { return min(a, b) + max(a, b) }

func (w *world) reach(a, b *node) bool {
	return !a.down && !b.down && !a.cut && !b.cut && !w.split[pair(a.id, b.id)]
}

func (w *world) take(x *node, out Out) {
	for _, won := range out.Won {
		w.changes++
		if at, ok := w.last[won.Duty]; ok {
			assert.Assert(w.t, at <= w.now-won.VacantMs, "%s was held at %v, and told at %v to have been vacant for %v ms", won.Duty, at, w.now, won.VacantMs)
		}
		if w.rising {
			assert.Assert(w.t, won.Term > w.highest[won.Duty], "the term of %s fell at %v", won.Duty, w.now)
		}
		w.highest[won.Duty] = max(won.Term, w.highest[won.Duty])
	}
	for _, won := range out.Won {
		w.won[won.Duty], w.before[won.Duty] = w.now, w.last[won.Duty]
		w.vacant[won.Duty] = won.VacantMs
	}
	for _, v := range out.Vacant {
		if w.before[v.Duty] > 0 {
			assert.Assert(w.t, w.before[v.Duty] <= w.won[v.Duty]-v.VacantMs, "%s was held at %v, and learned to have been vacant for %v ms at %v", v.Duty, w.before[v.Duty], v.VacantMs, w.won[v.Duty])
		}
		w.vacant[v.Duty] = v.VacantMs
	}
	for _, g := range out.Send {
		times := 1
		if w.rough {
			switch w.chance.IntN(20) {
			case 0, 1:
				times = 0
			case 2:
				times = 2
			}
		}
		for range times {
			late := w.away + 5 + 40*w.chance.Float64()
			if w.rough && w.chance.IntN(20) == 0 {
				late = 4000 * w.chance.Float64()
			}
			w.posts = append(w.posts, post{w.now + late, g})
		}
	}
}

// step lets stepMs of real time go by.
func (w *world) step() {
	w.now += stepMs
	w.posts = slices.DeleteFunc(w.posts, func(p post) bool {
		if p.due > w.now {
			return false
		}
		if to := w.node(p.g.To); to != nil && w.reach(w.node(p.g.From), to) {
			to.inbox = append(to.inbox, p.g)
		}
		return true
	})
	for i, x := range w.nodes {
		if x.down || x.frozen {
			continue
		}
		// A question about the view: answered with what is in force when it arrives.
		if (int(w.now)/stepMs+i*7)%30 == 0 && !x.cut && !slices.Contains(w.old, x) {
			w.views = append(w.views, view{asked: w.now + x.skew, due: w.now + 60*w.chance.Float64(), to: x, life: x.m,
				ids: w.ids, n: w.edition})
		}
	}
	w.views = slices.DeleteFunc(w.views, func(v view) bool {
		if v.due > w.now || v.to.frozen {
			return false
		}
		if v.to.m == v.life && !v.to.down && !v.to.cut {
			v.life.Electorate(w.now+v.to.skew, v.asked, v.ids, v.n, 0)
		}
		return true
	})
	for _, x := range w.nodes {
		if x.down || x.frozen {
			continue
		}
		inbox := x.inbox
		x.inbox = nil
		for _, g := range inbox {
			w.take(x, x.m.Step(w.now+x.skew, Event{Kind: Heard, Message: g}))
		}
		if int(w.now)%20 == 0 {
			w.take(x, x.m.Step(w.now+x.skew, Event{Kind: Tick}))
		}
	}
	for _, x := range w.nodes {
		if ids, _ := x.m.Settled(w.now + x.skew); ids != nil && w.grows && !x.down && !x.frozen {
			x.disk = ids
		}
	}
	clear(w.holder)
	for _, duty := range works {
		for _, x := range w.nodes {
			if x.down {
				continue
			}
			// One that is frozen counts too: it may go on at any moment.
			if _, ok := x.m.Holds(w.now+x.skew, duty); ok {
				assert.Assert(w.t, w.holder[duty] == "", "%s and %s both hold %s at %v", w.holder[duty], x.id, duty, w.now)
				w.holder[duty], w.last[duty] = x.id, w.now
			}
		}
	}
}

func (w *world) run(ms float64) {
	for end := w.now + ms; w.now < end; {
		w.step()
	}
}

// within runs until all duties are held, and fails if that takes longer.
func (w *world) within(ms float64) {
	start := w.now
	for len(w.holder) < len(works) {
		assert.Assert(w.t, w.now-start <= ms, "after %v ms of calm only %v are held", ms, w.holder)
		w.step()
	}
}

// mischief does one thing that may happen to machines.
func (w *world) mischief(restarts, views bool) {
	x := w.nodes[w.chance.IntN(len(w.nodes))]
	y := w.nodes[w.chance.IntN(len(w.nodes))]
	switch w.chance.IntN(8) {
	case 0:
		x.frozen = !x.frozen
	case 1:
		x.cut = !x.cut
	case 2, 3:
		if x != y {
			w.split[pair(x.id, y.id)] = !w.split[pair(x.id, y.id)]
		}
	case 4:
		clear(w.split)
	case 5:
		if restarts && !x.down {
			if !x.frozen && w.chance.IntN(2) == 0 {
				w.take(x, x.m.Step(w.now+x.skew, Event{Kind: Resign}))
			}
			x.down, w.rising = true, false
		} else if restarts {
			w.start(x, false)
		}
	case 6:
		if restarts && w.chance.IntN(3) == 0 {
			for _, x := range w.nodes {
				w.start(x, false)
			}
			w.rising = false
		}
	case 7:
		if !views {
			return
		}
		// The electorate changes by one, or one takes another's place.
		ids := slices.Clone(w.ids)
		if w.grows && slices.Contains(ids, x.id) {
			return
		}
		if i := slices.Index(ids, x.id); i >= 0 && len(ids) > 1 {
			ids = slices.Delete(ids, i, i+1)
			if !slices.Contains(ids, y.id) && y != x && w.chance.IntN(2) == 0 {
				ids = append(ids, y.id)
			}
		} else if i < 0 {
			ids = append(ids, x.id)
		}
		w.ids = ids
		w.edition++
		w.rising = false // the voters that are left may not have heard of the last term
	}
}

func (w *world) calm() {
	w.rough = false
	w.posts = slices.DeleteFunc(w.posts, func(p post) bool { return p.due > w.now+50 })
	clear(w.split)
	for _, x := range w.nodes {
		x.cut = false
		x.frozen = false
		if x.down {
			w.start(x, false)
		}
	}
}

func TestNeverTwoHoldersAndNoneForLong(t *testing.T) {
	for _, n := range []int{1, 3, 4, 5, 6} {
		for _, kind := range []struct {
			name            string
			restarts, views bool
		}{{"cuts and freezes", false, false}, {"restarts", true, false}, {"views", false, true}, {"all", true, true}, {"grows", true, true}} {
			t.Run(fmt.Sprint(n, " ", kind.name), func(t *testing.T) {
				t.Parallel()
				changes := 0
				for seed := range uint64(6) {
					spare := 0
					if kind.views {
						spare = 2
					}
					w := newWorld(t, seed, n, spare)
					w.grows = kind.name == "grows" || !kind.views
					w.within(2500)
					w.rough = true
					for range 80 {
						w.run(stepMs * float64(1+w.chance.IntN(60)))
						w.mischief(kind.restarts, kind.views)
					}
					w.calm()
					wait := 2500.0
					if kind.views {
						wait += 3000 // editions that were missed are waited out
					}
					w.within(wait)
					w.run(4000)
					before := w.changes
					w.run(3000)
					assert.Equal(t, w.changes, before, "a duty changed hands in calm times")
					assert.Equal(t, len(w.holder), len(works))
					changes += w.changes
				}
				assert.Assert(t, changes > 6*4, "the world is too quiet to show anything")
			})
		}
	}
}

func TestADutyOfOneThatDiedIsWonSoon(t *testing.T) {
	for _, n := range []int{3, 4, 5, 6} {
		worst := 0.0
		for seed := range uint64(40) {
			w := newWorld(t, seed, n, 0)
			w.within(2500)
			w.run(3000)
			w.node(w.holder["roster"]).down = true
			w.step()
			start := w.now
			w.within(2500)
			worst = max(worst, w.now-start)
		}
		t.Logf("%d wardens: at most %v ms", n, worst)
	}
}

// Votes that take longer than a round is waited for at first are learned from though they come
// late: a third of a lease there and back is a third of the world.
func TestVotersThatAreFarAway(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed, 4, 0)
		w.away = 230 // of a lease of 1,500
		w.within(6000)
		for range 400 {
			w.run(10)
			assert.Assert(t, len(w.holder) == len(works), "%v are held at %v", w.holder, w.now)
		}
		w.node(w.holder["roster"]).down = true
		w.step()
		w.within(6000)
	}
}

func TestADutyGivenBackIsWonAtOnce(t *testing.T) {
	for _, n := range []int{3, 4, 5, 6} {
		for seed := range uint64(40) {
			w := newWorld(t, seed, n, 0)
			w.within(1200)
			w.run(3000)
			x := w.node(w.holder["slices"])
			out := x.m.Step(w.now+x.skew, Event{Kind: Resign})
			assert.Assert(t, len(out.Lost) > 0)
			w.take(x, out)
			w.run(3 * stepMs)
			w.within(1200)
			assert.Assert(t, w.holder["slices"] != x.id)
		}
	}
}

func TestDutiesSpread(t *testing.T) {
	spread := 0
	for seed := range uint64(40) {
		w := newWorld(t, seed, 3, 0)
		w.within(2500)
		has := map[string]bool{}
		for _, id := range w.holder {
			has[id] = true
		}
		if len(has) == 3 {
			spread++
		}
		w.run(1000)
		for _, x := range w.nodes {
			for _, duty := range works {
				assert.Equal(t, x.m.Holder(w.now+x.skew, duty), w.holder[duty])
			}
		}
	}
	t.Logf("%d of 40 spread over all three", spread)
	assert.Assert(t, spread >= 20)
}

func TestAllKilledAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(t, seed, 3, 0)
		w.within(2500)
		w.run(2000)
		w.rising = false
		for _, x := range w.nodes {
			w.start(x, false)
		}
		w.step()
		w.within(2500)
	}
}

// TestAllKilledAndBack: with what their disks tell, one silence is all that is waited out, and the time
// since the start is known to have been vacant. Without the disk the trust is waited for.
func TestAllKilledAndBack(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		for _, disk := range []bool{true, false} {
			worst, sum, known, wins := 0.0, 0.0, 0, 0
			for seed := range uint64(40) {
				w := newWorld(t, seed, n, 0)
				w.edition, w.grows = 4, disk
				w.within(2500)
				w.run(4000)
				for _, x := range w.nodes {
					x.down = true
				}
				w.rising = false
				w.run(200)
				start := w.now
				clear(w.vacant)
				for _, x := range w.nodes {
					w.run(stepMs * float64(w.chance.IntN(4)))
					w.start(x, false)
				}
				w.step()
				w.within(5000)
				worst, sum = max(worst, w.now-start), sum+w.now-start
				w.run(200)
				for _, ms := range w.vacant {
					if wins++; ms > 0.8*DefaultLeaseMs {
						known++
					}
				}
			}
			t.Logf("%d wardens, disk %t: all held after %.0f ms on average, %v at most; %d of %d known to be long vacant", n, disk, sum/40, worst, known, wins)
			assert.Equal(t, worst < 2.0*DefaultLeaseMs, disk)
			if disk {
				assert.Assert(t, known*10 > wins*8, "%d of %d", known, wins)
			}
		}
	}
}

// TestViewsThatShareNobody leaves the holder of an old view cut off with its voters, while views
// move on to bothies that have never heard of it.
func TestViewsThatShareNobody(t *testing.T) {
	for _, mode := range []string{"by one", "at once", "restarted"} {
		for seed := range uint64(20) {
			w := newWorld(t, seed, 3, 3)
			w.within(2500)
			w.run(1000 * w.chance.Float64())
			for _, x := range w.nodes[:3] {
				for _, y := range w.nodes[3:] {
					w.split[pair(x.id, y.id)] = true
				}
			}
			w.rising = false
			w.views, w.old = nil, w.nodes[:3] // nothing confirms their view any more
			switch mode {
			case "by one":
				for i, ids := range [][]string{{"w0", "w1", "w2", "w3"}, {"w1", "w2", "w3", "w4"}, {"w2", "w3", "w4", "w5"}} {
					w.ids, w.edition = ids, uint64(i+2)
					w.run(400)
				}
			case "restarted":
				for _, x := range w.nodes[3:] {
					w.start(x, false)
				}
			}
			w.ids, w.edition = []string{"w3", "w4", "w5"}, w.edition+1
			w.run(8000)
			for _, id := range w.holder {
				assert.Assert(t, id >= "w3")
			}
			assert.Equal(t, len(w.holder), len(works))
		}
	}
}

// TestVotersThatRestartVouchForNothing: the holder lives on while those who gave it their votes are
// started anew, right after they did and at the same moment.
func TestVotersThatRestartVouchForNothing(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed, 3, 0)
		w.grows = true
		w.within(2500)
		w.run(3000 + 1000*w.chance.Float64())
		w.rising = false
		holder := w.node(w.holder["slices"])
		for _, x := range w.nodes {
			if x != holder {
				w.split[pair(x.id, holder.id)] = true
				w.start(x, false)
			}
		}
		w.run(4000)
		assert.Assert(t, len(w.holder) == len(works) && w.holder["slices"] != holder.id)
	}
}

// TestADutyWhileTheElectorateIsHalved: of equal halves neither has a holder, of unequal ones only the larger; where some are
// restarted meanwhile too. The duties are held again within a second of the halves' meeting.
func TestADutyWhileTheElectorateIsHalved(t *testing.T) {
	for _, n := range []int{3, 4, 5, 6} {
		for seed := range uint64(30) {
			w := newWorld(t, seed, n, 0)
			w.grows = true
			w.within(2500)
			w.run(1000 * w.chance.Float64())
			size := n / 2
			for _, x := range w.nodes[:size] {
				for _, y := range w.nodes[size:] {
					w.split[pair(x.id, y.id)] = true
				}
			}
			if seed%3 == 0 {
				w.rising = false
				w.start(w.nodes[w.chance.IntN(n)], false)
			}
			w.run(3500)
			for name, id := range w.holder {
				assert.Assert(t, 2*size < n && slices.IndexFunc(w.nodes, func(x *node) bool { return x.id == id }) >= size,
					"%s is held by %s of %d halved", name, id, n)
			}
			clear(w.split)
			w.within(1000)
		}
	}
}
