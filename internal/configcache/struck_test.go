package configcache

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/waymark"
)

const term = 1 << waymark.TermShift

func part(version, since uint64, workers ...waymark.Worker) waymark.Part {
	return waymark.Part{Destination: "d", Version: version, Since: since, Workers: workers}
}

func news(version uint64, p waymark.Part) *waymark.Signed {
	return &waymark.Signed{Marks: &waymark.Marks{Version: version, Behind: map[string]uint64{"d": version - p.Version}}, Parts: []waymark.Part{p}}
}

func struck(mark uint64, list ...waymark.Struck) *waymark.Signed {
	return &waymark.Signed{Struck: list, StruckNow: mark}
}

// used is the workers that requests may be sent to.
func used(l *Cache) (ids []string) {
	for _, w := range l.Workers(0, "d") {
		if !w.Closing {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// TestWhatIsTakenAwayWithoutTheDuty is not used any more until a holder's later word has come, here.
func TestWhatIsTakenAwayWithoutTheDuty(t *testing.T) {
	a, b, c := waymark.Worker{ID: "a"}, waymark.Worker{ID: "b"}, waymark.Worker{ID: "c"}
	const v = 3*term | 7
	start := news(v, part(v, 0, a, b))
	gone := struck(1, waymark.Struck{ID: "a", At: v})
	for _, x := range []struct {
		name string
		told []*waymark.Signed
		want []string
	}{
		{"as it was", []*waymark.Signed{start}, []string{"a", "b"}},
		{"taken away", []*waymark.Signed{start, gone}, []string{"b"}},
		{"before the workers came", []*waymark.Signed{gone, start}, []string{"b"}},
		{"the same term tells of another", []*waymark.Signed{start, gone, news(v+1, part(v+1, v, c))}, []string{"b", "c"}},
		{"the same term tells of it", []*waymark.Signed{start, gone, news(v+1, part(v+1, v, a))}, []string{"a", "b"}},
		{"the same term tells of it, late comes the taking away", []*waymark.Signed{start, news(v+1, part(v+1, v, a)), gone}, []string{"a", "b"}},
		{"the next term is announced, its workers have not come", []*waymark.Signed{start, gone,
			{Marks: &waymark.Marks{Version: 4*term | 1, Behind: map[string]uint64{"d": 0}}}}, []string{"b"}},
		{"they have", []*waymark.Signed{start, gone, news(4*term|1, part(4*term|1, 0, a, b, c))}, []string{"a", "b", "c"}},
		{"what was taken away before the term comes late", []*waymark.Signed{start, news(4*term|1, part(4*term|1, 0, a, b, c)), gone}, []string{"a", "b", "c"}},
		{"twice, the newer holds", []*waymark.Signed{start, struck(2, waymark.Struck{ID: "a", At: v + 2}), gone, news(v+1, part(v+1, v, a))}, []string{"b"}},
	} {
		l := New()
		for _, s := range x.told {
			l.Hear(0, s)
		}
		assert.DeepEqual(t, used(l), x.want)
	}
	l := New()
	l.Hear(0, start)
	turn := l.Turns()["d"]
	l.Hear(0, gone)
	assert.Assert(t, l.Turns()["d"] > turn, "the pools hear of it")
	turn = l.Turns()["d"]
	l.Hear(0, gone)
	assert.Equal(t, l.Turns()["d"], turn)
	var q waymark.Sign
	l.Question(&q)
	assert.Equal(t, q.Struck, uint64(1))
	// Neighbours are given the holder's word as it came.
	given := l.Give(0, &waymark.Subscribe{Parts: map[string]uint64{"d": v}})
	assert.Assert(t, !given.Parts[0].Workers[0].Closing)
	l.Hear(0, news(4*term|1, part(4*term|1, 0, a, b)))
	assert.Equal(t, len(l.struck), 0)
}

// TestTakingAwayAddsUp: bothies that have no holder tell in any order, again and late; a worker that was taken away
// is not used before a later word of a holder, and in the next term all hold what its holder told.
func TestTakingAwayAddsUp(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		all := []waymark.Worker{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
		const v = term | 1
		l := New()
		l.Hear(0, news(v, part(v, 0, all...)))
		away := map[string]bool{}
		var late []*waymark.Signed
		for range 12 {
			var list []waymark.Struck
			for _, w := range all {
				if rng.IntN(4) == 0 {
					list = append(list, waymark.Struck{ID: w.ID, At: v + uint64(rng.IntN(3))})
				}
			}
			s := struck(rng.Uint64()|1, list...)
			if rng.IntN(3) == 0 {
				late = append(late, s)
				continue
			}
			l.Hear(0, s)
			for _, x := range list {
				away[x.ID] = true
			}
			for _, id := range used(l) {
				assert.Assert(t, !away[id], "seed %d: %s", seed, id)
			}
		}
		now := all[rng.IntN(len(all)):]
		l.Hear(0, news(2*term|1, part(2*term|1, 0, now...)))
		for _, s := range late {
			l.Hear(0, s)
		}
		var want []string
		for _, w := range now {
			want = append(want, w.ID)
		}
		slices.Sort(want)
		assert.DeepEqual(t, used(l), want)
	}
}
