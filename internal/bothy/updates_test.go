package bothy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/configcache"
	"foxwood/internal/membership"
	"foxwood/internal/waymark"
)

func zoned(stations ...string) (roll membership.Roll) {
	for _, s := range stations {
		roll.Members = append(roll.Members, membership.Member{Station: s, Zone: "z", Inner: s, Ready: true})
	}
	return roll
}

// TestWhoIsSentWhat: bodies and parts go to homes, to who holds nothing, and to who wants them.
func TestWhoIsSentWhat(t *testing.T) {
	roll := zoned("g1", "g2", "g3")
	body, part := membership.Home(roll, "z", configcache.Timetable), membership.Home(roll, "z", "d")
	other := ""
	for _, g := range roll.Members {
		if g.Inner != body && g.Inner != part {
			other = g.Inner
		}
	}
	b := &Bothy{endpoints: newEndpointList()}
	b.committed.Edition, b.packedConfiguration = 7, waymark.Deflate([]byte("seven"))
	b.endpoints.applyPlatformList(0, 1, []waymark.Worker{worker("a")})
	old := b.endpoints.version
	b.endpoints.applyPlatformList(0, 1, []waymark.Worker{worker("a", closing)})
	for _, c := range []struct {
		name       string
		roll       membership.Roll
		q          waymark.Sign
		body, part bool
	}{
		{"home of the configuration", roll, waymark.Sign{Member: membership.Member{Inner: body}, Edition: 5, Roster: old}, true, body == part},
		{"home of the workers", roll, waymark.Sign{Member: membership.Member{Inner: part}, Edition: 5, Roster: old}, body == part, true},
		{"another", roll, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: old}, false, false},
		{"another that wants the body", roll, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: old, Body: true}, true, false},
		{"another that wants the workers", roll, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: b.endpoints.version,
			Want: map[string]uint64{"d": old}}, false, true},
		{"another that holds nothing", roll, waymark.Sign{Member: membership.Member{Inner: other}}, true, true},
		{"nobody is a home", membership.Roll{}, waymark.Sign{Member: membership.Member{Inner: other}, Edition: 5, Roster: old}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.q.Member.Zone = "z"
			var a waymark.Signed
			assert.Assert(t, b.addConfigurationAndEndpoints(0, c.roll, &c.q, &a))
			assert.Equal(t, a.Edition, uint64(7))
			assert.Equal(t, len(a.Body) > 0, c.body)
			assert.Equal(t, len(a.Parts) > 0, c.part)
			assert.Equal(t, a.Marks != nil, c.q.Roster < b.endpoints.version)
		})
	}
	var a waymark.Signed
	q := waymark.Sign{Member: membership.Member{Inner: body, Zone: "z"}, Edition: 7, Roster: b.endpoints.version}
	assert.Assert(t, !b.addConfigurationAndEndpoints(0, roll, &q, &a), "no news")
}

// TestGatekeepersHoldTheList lets lists change, terms begin, bothies hear of each other late, homes
// fail and members' lists differ: one question after a home was asked, everyone holds what its
// bothy holds.
func TestGatekeepersHoldTheList(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 1))
		now, term := 0.0, uint64(1)
		bothies := []*Bothy{{endpoints: newEndpointList()}, {endpoints: newEndpointList()}}
		names := []string{"g1", "g2", "g3", "g4"}
		caches := map[string]*configcache.Cache{}
		for _, n := range names {
			caches[n] = configcache.New()
		}
		list := map[string]waymark.Worker{}
		for range 120 {
			now += 400
			for range 1 + r.IntN(3) {
				id := fmt.Sprint("w", r.IntN(12))
				switch r.IntN(4) {
				case 0:
					delete(list, id)
				case 1:
					list[id] = worker(id, closing, func(w *waymark.Worker) { w.Destination = "d" + id[1:2] })
				default:
					list[id] = worker(id, func(w *waymark.Worker) { w.Destination = "d" + id[1:2] })
				}
			}
			if r.IntN(15) == 0 { // a new holder, which may not have heard the last
				term++
				bothies[0], bothies[1] = bothies[1], bothies[0]
			}
			if r.IntN(20) == 0 {
				now += 31_000 // those that have gone are forgotten
			}
			var all []waymark.Worker
			for _, w := range list {
				all = append(all, w)
			}
			bothies[0].endpoints.applyPlatformList(now, term, all)
			if r.IntN(3) > 0 {
				bothies[1].endpoints.merge(now, bothies[0].endpoints.since(now, bothies[1].endpoints.version))
			}
			for _, n := range names {
				if r.IntN(40) == 0 {
					caches[n] = configcache.New()
				}
				l, b := caches[n], bothies[r.IntN(2)]
				roll := zoned(names[r.IntN(2):]...)
				sign := func() {
					q := waymark.Sign{Member: membership.Member{Inner: n, Zone: "z"}}
					l.Question(&q)
					var a waymark.Signed
					b.addConfigurationAndEndpoints(now, roll, &q, &a)
					l.Hear(now, &a)
				}
				sign()
				asks, _ := l.Plan(now, configcache.Zone{Name: "z", Self: n, Ready: true, Near: names[r.IntN(3):]})
				for at, q := range asks {
					err := fmt.Errorf("late")
					if r.IntN(4) > 0 && at != n {
						err = nil
						l.Stock(now, caches[at].Give(now, &q).Parts)
					}
					l.Asked(now, at, &q, err)
				}
				sign()
				for d := range b.endpoints.destinationVersions {
					if max(l.Heard(), l.Held().Held[d]) > b.endpoints.version {
						continue // it has heard of more than its bothy
					}
					held := map[string]bool{}
					for _, w := range l.Workers(now, d) {
						held[w.ID] = w.Closing
					}
					want := map[string]bool{}
					for id, w := range b.endpoints.workers {
						if w.Destination == d && !w.Gone {
							want[id] = w.Closing
						}
					}
					assert.DeepEqual(t, held, want)
				}
			}
		}
	}
}
