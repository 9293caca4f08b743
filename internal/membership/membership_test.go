package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func guest(station string, life, turn uint64) Member {
	return Member{Station: station, Zone: "z1", Region: "r1", Life: life, Turn: turn, Counter: station + ":1", Ready: true}
}

func stations(r Roll) []string {
	names := []string{}
	for _, g := range r.Members {
		names = append(names, g.Station)
	}
	return names
}

func TestAGuestIsAMemberWhileItSigns(t *testing.T) {
	b := New("b1", 1, 0, 0)
	b.Sign(0, guest("b", 1, 1))
	b.Sign(0, guest("a", 1, 1))
	assert.DeepEqual(t, stations(b.Members(1500)), []string{"a", "b"})
	b.Sign(1500, guest("a", 1, 2))
	assert.DeepEqual(t, stations(b.Members(1501)), []string{"a"})
	assert.DeepEqual(t, b.Known(30_000), []string{"a", "b"})
	assert.DeepEqual(t, b.Known(30_001), []string{"a"})
	assert.Equal(t, len(b.Known(40_000)), 0)
}

func TestTheVersionRisesOnlyWithTheContent(t *testing.T) {
	b := New("b1", 1, 0, 0)
	g := guest("a", 1, 1)
	assert.Equal(t, b.Members(0).Version, uint64(1))
	b.Sign(0, g)
	assert.Equal(t, b.Members(0).Version, uint64(2))
	for i := range 10 {
		g.Turn, g.Load = uint64(i+2), float64(i)
		b.Sign(float64(i*500), g)
		assert.Equal(t, b.Members(float64(i*500)).Version, uint64(2))
	}
	assert.Equal(t, b.Members(4500).Members[0].Load, 9.0)
	g.Turn, g.Leaving = 20, true
	b.Sign(4600, g)
	assert.Equal(t, b.Members(4600).Version, uint64(3))
	assert.Equal(t, b.Members(9000).Version, uint64(4))
	assert.Equal(t, b.Members(9500).Version, uint64(4))
}

func TestAMoveCountsOnceAndTheNewerSignHolds(t *testing.T) {
	b1, b2 := New("b1", 1, 0, 0), New("b2", 2, 70_000, 0)
	b1.Sign(0, guest("a", 7, 1))
	page := b1.Tell(400)
	moved := guest("a", 7, 2)
	moved.Leaving = true
	b2.Sign(70_500, moved)
	b2.Hear(70_600, page) // its clock began at 70 s, and the page was late
	roll := b2.Members(70_600)
	assert.DeepEqual(t, stations(roll), []string{"a"})
	assert.Assert(t, roll.Members[0].Leaving)

	b1.Hear(700, b2.Tell(70_700))
	assert.Assert(t, b1.Members(700).Members[0].Leaving)
	assert.DeepEqual(t, stations(b1.Members(1900)), []string{"a"})
	assert.DeepEqual(t, stations(b1.Members(2100)), []string{})
}

func TestStalePagesAreIgnored(t *testing.T) {
	b1, b2 := New("b1", 1, 0, 0), New("b2", 2, 0, 0)
	b1.Sign(0, guest("a", 7, 1))
	first, second := b1.Tell(0), b1.Tell(1000)
	b2.Hear(1000, second)
	b2.Hear(1400, first)
	b2.Hear(1400, second)
	assert.DeepEqual(t, stations(b2.Members(1500)), []string{"a"})
	assert.DeepEqual(t, stations(b2.Members(1501)), []string{})
	assert.DeepEqual(t, b2.Heard(2500), []string{"b1"})
	assert.Equal(t, len(b2.Heard(2501)), 0)

	again := New("b1", 9, 5000, 0)
	again.Sign(5000, guest("a", 7, 2))
	b2.Hear(2600, again.Tell(5000))
	assert.DeepEqual(t, stations(b2.Members(2600)), []string{"a"})
	late := Page{From: "b1", Life: 1, Serial: 99, Sessions: []Session{{Member: guest("x", 1, 1)}}}
	b2.Hear(2700, late)
	assert.DeepEqual(t, stations(b2.Members(2700)), []string{"a"})
}

func TestALifeThatWasReplacedStaysDead(t *testing.T) {
	b := New("b1", 1, 0, 0)
	b.Sign(0, guest("a", 7, 50))
	b.Sign(100, guest("a", 8, 1))
	b.Sign(200, guest("a", 7, 51))
	assert.Equal(t, b.Members(200).Members[0].Life, uint64(8))
	b.Hear(300, Page{From: "b2", Life: 1, Serial: 1, Sessions: []Session{{Member: guest("a", 7, 52)}}})
	assert.Equal(t, b.Members(300).Members[0].Life, uint64(8))

	// A page that came very late must not shut out the living for good.
	b.Sign(5000, guest("a", 7, 60))
	assert.Equal(t, b.Members(5000).Members[0].Life, uint64(7))
}

// TestAgain: what a life may take once counts from when it was first heard of, whoever told.
func TestAgain(t *testing.T) {
	b := New("b1", 1, 0, 0)
	b.Sign(0, guest("a", 7, 50))
	assert.Assert(t, !b.Again(10, "a", 7000), "a first life")
	b.Sign(3000, guest("a", 7, 80))
	b.Hear(4000, Page{From: "b2", Life: 1, Serial: 1, Sessions: []Session{{Member: guest("a", 8, 1)}}})
	assert.Assert(t, b.Again(6999, "a", 7000))
	assert.Assert(t, !b.Again(7000, "a", 7000))
	b.Sign(8000, guest("a", 9, 1))
	assert.Assert(t, b.Again(10999, "a", 7000), "life 8 came at 4000")
	assert.Assert(t, !b.Again(11000, "a", 7000))
	assert.Assert(t, !b.Again(8000, "z", 7000), "nobody")
}

func TestAnUnknownLifeWithAnOlderSignIsDead(t *testing.T) {
	b := New("b1", 1, 0, 0)
	b.Sign(1000, guest("a", 8, 1))
	b.Hear(1100, Page{From: "b2", Life: 1, Serial: 1, Sessions: []Session{{Member: guest("a", 7, 9), AgeMs: 500}}})
	b.Hear(1200, Page{From: "b2", Life: 1, Serial: 2, Sessions: []Session{{Member: guest("a", 7, 9), AgeMs: 10}}})
	assert.Equal(t, b.Members(1200).Members[0].Life, uint64(8))
}

func TestAGoodbyeHoldsEverywhere(t *testing.T) {
	b1, b2 := New("b1", 1, 0, 0), New("b2", 2, 0, 0)
	b2.Sign(0, guest("a", 7, 1))
	old := b2.Tell(0)
	b1.Sign(100, guest("a", 7, 2))
	b1.Leave(150, "a", 6)
	assert.DeepEqual(t, stations(b1.Members(150)), []string{"a"})
	b1.Leave(200, "a", 7)
	b1.Hear(210, old)
	assert.DeepEqual(t, stations(b1.Members(210)), []string{})
	b2.Hear(220, b1.Tell(220))
	b2.Sign(230, guest("a", 7, 3))
	assert.DeepEqual(t, stations(b2.Members(230)), []string{})
	assert.DeepEqual(t, b2.Known(230), []string{"a"})
	b2.Sign(240, guest("a", 8, 1))
	assert.DeepEqual(t, stations(b2.Members(240)), []string{"a"})
}

func TestSettled(t *testing.T) {
	b := New("b1", 1, 1000, 0)
	all := []string{"b1", "b2"}
	assert.Assert(t, !b.Settled(1100, all))
	b.Hear(1200, Page{From: "b2", Life: 1, Serial: 1})
	assert.Assert(t, b.Settled(1200, all))
	assert.Assert(t, !b.Settled(2500, []string{"b3"}), "one that was never heard is all the others there are")
	assert.Assert(t, b.Settled(2500, []string{"b1"}), "there are no others")
}

// TestABookThatIsCutOffIsNotSettled: its roll lacks those that sign elsewhere, from the cut until a lapse after the
// majority is in touch again or until all are.
func TestABookThatIsCutOffIsNotSettled(t *testing.T) {
	all := []string{"b1", "b2", "b3", "b4"}
	b := New("b1", 1, 0, 1500)
	serial := uint64(0)
	hear := func(now float64, from ...string) {
		serial++
		for _, name := range from {
			b.Hear(now, Page{From: name, Life: 1, Serial: serial})
		}
	}
	for now := 0.0; now < 3000; now += 300 {
		hear(now, "b2", "b3", "b4")
	}
	assert.Assert(t, b.Settled(2900, all))
	for now := 3000.0; now < 6000; now += 300 {
		hear(now, "b2", "b3") // one is lost
		assert.Assert(t, b.Settled(now, all), "%v", now)
	}
	hear(6000, "b2") // half of them are not enough, once the other is missed
	assert.Assert(t, !b.Settled(5700+freshMs+1, all))
	assert.Assert(t, !b.Settled(20_000, all), "nobody has been heard for long")
	for now := 20_000.0; now < 21_500; now += 300 {
		hear(now, "b2", "b3")
		assert.Assert(t, !b.Settled(now, all), "%v: those that sign with the fourth may not have been told of", now)
	}
	hear(21_500, "b2", "b3")
	assert.Assert(t, b.Settled(21_500, all))
	hear(40_000, "b2", "b3", "b4")
	assert.Assert(t, b.Settled(40_000, all), "all are in touch")
}

func TestAsOf(t *testing.T) {
	b := New("a", 1, 0, 1000)
	_, known := b.AsOf(50, []string{"a", "b"})
	assert.Assert(t, !known, "one that was never heard")
	b.Hear(100, Page{From: "b", Life: 1, Serial: 1})
	b.Hear(300, Page{From: "c", Life: 1, Serial: 1})
	at, known := b.AsOf(900, []string{"a", "b", "c"})
	assert.Assert(t, known && at == 100)
	at, known = b.AsOf(900, []string{"a"})
	assert.Assert(t, known && at == 900)
}

func TestPlace(t *testing.T) {
	r := Roll{Members: []Member{{Station: "a"}, {Station: "c"}}}
	place, n := r.Place("c")
	assert.Equal(t, place, 1)
	assert.Equal(t, n, 2)
	place, _ = r.Place("b")
	assert.Equal(t, place, -1)
}

// crowd is members written as "zone count" with the region the zone's first letter.
func crowd(per map[string]int, change func(*Member)) Roll {
	var r Roll
	for zone, n := range per {
		for i := range n {
			g := Member{Station: fmt.Sprint(zone, "-", i), Zone: zone, Region: zone[:1], Counter: fmt.Sprint(zone, "-", i), Inner: fmt.Sprint(zone, "-", i), Ready: true}
			if change != nil {
				change(&g)
			}
			r.Members = append(r.Members, g)
		}
	}
	slices.SortFunc(r.Members, func(a, b Member) int {
		if a.Station < b.Station {
			return -1
		}
		return 1
	})
	return r
}

func TestResolve(t *testing.T) {
	for _, c := range []struct {
		name   string
		per    map[string]int
		change func(*Member)
		want   map[string]int
	}{
		{"the zone's own", map[string]int{"a1": 3, "a2": 3, "b1": 3}, nil, map[string]int{"a1": 3}},
		{"one alone gets the region", map[string]int{"a1": 1, "a2": 2, "b1": 3}, nil, map[string]int{"a1": 1, "a2": 2}},
		{"none in the region", map[string]int{"b1": 3, "c1": 1}, nil, map[string]int{"b1": 3, "c1": 1}},
		{"a zone that lost most", map[string]int{"a1": 2, "a2": 9, "b1": 3}, nil, map[string]int{"a1": 2, "a2": 9}},
		{"a zone with half of the rest", map[string]int{"a1": 2, "a2": 4}, nil, map[string]int{"a1": 2}},
		{"those leaving don't count", map[string]int{"a1": 3, "a2": 1}, func(g *Member) { g.Leaving = g.Zone == "a1" }, map[string]int{"a2": 1}},
		{"nobody ready", map[string]int{"a1": 2, "a2": 2}, func(g *Member) { g.Ready = false }, map[string]int{"a1": 2}},
		{"all leaving", map[string]int{"b1": 2}, func(g *Member) { g.Leaving = true }, map[string]int{"b1": 2}},
		{"nobody", nil, nil, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			roll := crowd(c.per, c.change)
			found := Resolve(5, roll, "a", "a1", 64)
			got := map[string]int{}
			for _, a := range found {
				got[a[:2]]++
			}
			assert.DeepEqual(t, got, c.want)
			assert.DeepEqual(t, found, Resolve(5, roll, "a", "a1", 64))
		})
	}
}

func TestResolveOfMoreThanFitTurns(t *testing.T) {
	roll := crowd(map[string]int{"a1": 10}, nil)
	seen := map[string]int{}
	before := Resolve(0, roll, "a", "a1", 4)
	for now := 0.0; now < 20_000; now += turnMs {
		found := Resolve(now, roll, "a", "a1", 4)
		assert.Equal(t, len(found), 4)
		both := 0
		for _, a := range found {
			seen[a]++
			if slices.Contains(before, a) {
				both++
			}
		}
		assert.Assert(t, both >= 3)
		before = found
	}
	assert.Equal(t, len(seen), 10)
	for _, n := range seen {
		assert.Equal(t, n, 4)
	}
}

func TestHomeMovesOnlyWhatItMust(t *testing.T) {
	roll := crowd(map[string]int{"a1": 5, "a2": 2}, nil)
	less := Roll{Members: slices.DeleteFunc(slices.Clone(roll.Members), func(g Member) bool { return g.Station == "a1-2" })}
	homes := map[string]int{}
	for i := range 500 {
		service := fmt.Sprint("s", i)
		was, is := Home(roll, "a1", service), Home(less, "a1", service)
		homes[was]++
		assert.Assert(t, was == is || was == "a1-2")
	}
	assert.Equal(t, len(homes), 5)
	for _, n := range homes {
		assert.Assert(t, n > 60)
	}
	assert.Equal(t, Home(roll, "zz", "s"), "")
}

// TestBooksAgree lets gatekeepers sign, move and start again while pages get lost, late and doubled:
// who is alive and signs is a member everywhere soon after, and who ended is one nowhere.
func TestBooksAgree(t *testing.T) {
	for seed := range uint64(30) {
		chance := rand.New(rand.NewPCG(seed, 1))
		const n, gates = 3, 8
		skew := [n]float64{0, 1e6, 5e7}
		var books [n]*Book
		for i := range books {
			books[i] = New(fmt.Sprint("b", i), chance.Uint64(), skew[i], 0)
		}
		type gate struct {
			life, turn uint64
			at         int
			down       bool
		}
		all := [gates]gate{}
		for i := range all {
			all[i] = gate{life: chance.Uint64(), at: chance.IntN(n)}
		}
		type post struct {
			due float64
			to  int
			p   Page
		}
		var posts []post
		for now := 0.0; now < 20_000; now += 50 {
			rough := now < 15_000
			for i := range all {
				g := &all[i]
				if rough && chance.IntN(60) == 0 {
					g.down = !g.down
					if !g.down {
						g.life, g.turn = chance.Uint64(), 0
					}
				}
				if rough && chance.IntN(40) == 0 {
					g.at = chance.IntN(n)
				}
				if !g.down && (int(now)/50+i)%8 == 0 {
					g.turn++
					books[g.at].Sign(now+skew[g.at], guest(fmt.Sprint("g", i), g.life, g.turn))
				}
			}
			if int(now)%250 == 0 {
				for i := range books {
					p := books[i].Tell(now + skew[i])
					for to := range books {
						for range 1 + chance.IntN(2) {
							if to != i && !(rough && chance.IntN(4) == 0) {
								late := 20 + chance.Float64()*80
								if rough && chance.IntN(10) == 0 {
									late += 1000
								}
								posts = append(posts, post{now + late, to, p})
							}
						}
					}
				}
			}
			posts = slices.DeleteFunc(posts, func(p post) bool {
				if p.due <= now {
					books[p.to].Hear(now+skew[p.to], p.p)
				}
				return p.due <= now
			})
		}
		for i := range books {
			roll := books[i].Members(20_000 + skew[i])
			got := map[string]uint64{}
			for _, g := range roll.Members {
				got[g.Station] = g.Life
			}
			want := map[string]uint64{}
			for k, g := range all {
				if !g.down {
					want[fmt.Sprint("g", k)] = g.life
				}
			}
			assert.DeepEqual(t, got, want)
		}
	}
}

// TestABriefPageKeepsKnownGuests: what has not changed is not told again, only that it stands.
func TestABriefPageKeepsKnownGuests(t *testing.T) {
	a, b := New("a", 1, 0, 1500), New("b", 2, 0, 1500)
	a.Sign(0, guest("g1", 11, 1))
	a.Sign(0, guest("g2", 12, 1))
	mark := a.Mark(0)
	b.Hear(0, a.Tell(0))
	a.Sign(1400, guest("g1", 11, 5))
	assert.Equal(t, a.Mark(1400), mark, "turns and ages are no change")
	b.Hear(1400, a.Brief(1400))
	assert.DeepEqual(t, stations(b.Members(1600)), []string{"g1"})
	assert.Equal(t, b.Members(1600).Members[0].Turn, uint64(5))

	a.Sign(1700, guest("g3", 13, 1))
	assert.Assert(t, a.Mark(1700) != mark, "a guest that is new wants a whole page")
	b.Hear(1700, a.Brief(1700))
	assert.DeepEqual(t, stations(b.Members(1700)), []string{"g1"}) // who is not known is not made up
	b.Hear(1700, a.Tell(1700))
	assert.DeepEqual(t, stations(b.Members(1700)), []string{"g1", "g3"})

	a.Leave(1800, "g1", 11)
	assert.Assert(t, a.Mark(1800) != mark)
	for _, s := range a.Brief(1800).Briefs {
		assert.Assert(t, s.Life != 11, "who has left does not stand")
	}
}

// TestTheRollIsNeverOld: whatever happens between two askings, the roll is what it would be had
// nothing been asked before.
func TestTheRollIsNeverOld(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 9))
		asked, other := New("a", 1, 0, 100), New("a", 1, 0, 100)
		now := 0.0
		for step := range 400 {
			now += float64(r.IntN(40))
			g := Member{Station: string(rune('a' + r.IntN(5))), Life: uint64(1 + r.IntN(2)), Turn: uint64(step), Ready: r.IntN(9) > 0}
			switch r.IntN(8) {
			case 0:
				asked.Leave(now, g.Station, g.Life)
				other.Leave(now, g.Station, g.Life)
			case 1:
				p := Page{From: "b", Life: 2, Serial: uint64(step), Sessions: []Session{{Member: g, AgeMs: float64(r.IntN(150)), Gone: r.IntN(6) == 0}}}
				asked.Hear(now, p)
				other.Hear(now, p)
			default:
				asked.Sign(now, g)
				other.Sign(now, g)
			}
			got := asked.Members(now).Members
			if r.IntN(10) == 0 {
				other.rollTo = 0
				want := other.Members(now).Members
				assert.Assert(t, slices.EqualFunc(got, want, same), "seed %d step %d: %v and %v", seed, step, got, want)
			}
		}
	}
}

// TestAPageThatStoodStill: a bothy that freezes between making a page and sending it must not have
// guests that have died since look alive elsewhere. Clocks that run apart, and pages that are all as
// slow, make no guest old.
func TestAPageThatStoodStill(t *testing.T) {
	const skew, slow = 5_000_000, 55
	teller, hearer := New("b1", 1, skew, 0), New("b2", 2, 0, 0)
	hear := func(made, at float64) {
		hearer.Hear(at, teller.Tell(made+skew))
	}
	teller.Sign(skew, guest("a", 1, 1))
	hear(0, slow)
	teller.Sign(skew+500, guest("a", 1, 2))
	hear(600, 600+slow)
	assert.Equal(t, len(hearer.Members(700).Members), 1)
	teller.Sign(skew+1000, guest("a", 1, 3))
	for _, page := range []Page{teller.Tell(skew + 1100), teller.Brief(skew + 1100)} { // made, and sent after 20 s
		hearer.Hear(21_100, page)
		assert.Equal(t, len(hearer.Members(21_100).Members), 0)
	}
	teller.Sign(skew+21_200, guest("a", 1, 4)) // it lives
	hear(21_300, 21_300+slow)
	assert.Equal(t, len(hearer.Members(21_400).Members), 1)

	// The teller's clock loses half a millisecond a second: over hours nothing of that is taken for age.
	turn := uint64(5)
	for now := 22_000.0; now < 6*3600e3; now += 1000 {
		made := now * 0.9995
		turn++
		teller.Sign(skew+made, guest("a", 1, turn))
		hear(made, now+slow)
		assert.Equal(t, len(hearer.Members(now+slow+1000).Members), 1, "at %v", now)
	}
}

// TestRecall: what an earlier process noted counts from this one's start, until the window is over.
func TestRecall(t *testing.T) {
	b := New("x:1", 1, 0, 0)
	b.Recall(0, []string{"a", "b"})
	b.Sign(100, Member{Station: "a", Life: 7, Turn: 1})
	assert.Assert(t, b.Again(6999, "a", 7000) && !b.Again(7000, "a", 7000))
	assert.Assert(t, b.Began(200, "a", 7000) && !b.Began(200, "c", 7000))
	assert.DeepEqual(t, b.Recent(200, 7000), []string{"a", "b"})
	assert.DeepEqual(t, b.Recent(7050, 7000), []string{"a"})
	assert.Equal(t, len(b.Recent(7100, 7000)), 0)
}
