package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestTenantsBuckets goes through one bucket's life: empty at the start, filled at the slice,
// clamped by a smaller one, at the floor after the lease, and at nothing after the floor's end.
func TestTenantsBuckets(t *testing.T) {
	b := NewTenants()
	b.FloorFor = 10 * second
	ok, _ := b.Admit(0, "nobody's", false)
	assert.Assert(t, ok)
	b.Limits(0, []string{"t"})
	big := TenantSlice{Rate: 10, Burst: 8, Floor: 2, FloorBurst: 3}
	small := TenantSlice{Rate: 1, Burst: 1.5, Floor: 1, FloorBurst: 1}
	gift := big
	gift.Tokens = 2
	for _, c := range []struct {
		name  string
		at    Micros
		slice *TenantSlice // brought first, for a lease of 2.5 s
		ask   int
		on    int
	}{
		{"no slice", 0, nil, 3, 0},
		{"a slice is brought empty", 0, &big, 3, 0},
		{"half a second of ten", second / 2, nil, 9, 5},
		{"full", 2 * second, nil, 20, 8},
		{"two seconds and a half of ten, then a floor", 3 * second, nil, 20, 3},
		{"the floor", 4 * second, nil, 20, 2},
		{"the floor's end, empty", 20 * second, nil, 20, 0},
		{"tokens that were sent", 20 * second, &gift, 20, 2},
		{"full again", 22 * second, &big, 0, 0},
		{"clamped", 22 * second, &small, 20, 1},
	} {
		if c.slice != nil {
			b.Slices(c.at, map[string]TenantSlice{"t": *c.slice}, c.at+5*second/2)
		}
		on := 0
		for range c.ask {
			ok, wait := b.Admit(c.at, "t", false)
			if ok {
				on++
			} else {
				assert.Assert(t, wait >= 20*milli && wait <= 2*second)
			}
		}
		assert.Equal(t, on, c.on, c.name)
	}
}

// TestTenantsGiveBackAndDemand: what never ran is given back, up to the burst; what was
// asked counts whether it was let in or not; a flood is known within a second.
func TestTenantsGiveBackAndDemand(t *testing.T) {
	b := NewTenants()
	b.Limits(0, []string{"t", "u"})
	b.Slices(0, map[string]TenantSlice{"t": {Rate: 1, Burst: 1, Tokens: 1}}, 100*second)
	ok, _ := b.Admit(0, "t", false)
	assert.Assert(t, ok)
	b.GiveBack(0, "t")
	b.GiveBack(0, "t")
	b.GiveBack(0, "nobody")
	on := 0
	for range 3 {
		if ok, _ := b.Admit(0, "t", false); ok {
			on++
		}
	}
	assert.Equal(t, on, 1)
	assert.Assert(t, b.Low(0))
	for k := range 2 {
		for range 100 {
			b.Admit(Micros(k+1)*second/2, "t", false)
		}
		b.Demand(Micros(k+1) * second / 2)
	}
	d := b.Demand(second)
	assert.Assert(t, d["t"] > 100 && d["t"] < 210, "%v", d)
	b.Limits(second, []string{"u"})
	ok, _ = b.Admit(second, "t", false)
	assert.Assert(t, ok)
	held, left := b.Holding(second)
	assert.Assert(t, len(held) == 0 && left == 99*second)
}

// TestTheRefusedAreSpread: those refused in one moment aren't told to come in one moment.
func TestTheRefusedAreSpread(t *testing.T) {
	b := NewTenants()
	b.Limits(0, []string{"t"})
	b.Slices(0, map[string]TenantSlice{"t": {Rate: 2, Burst: 3}}, 100*second)
	waits := map[Micros]int{}
	for range 50 {
		_, w := b.Admit(0, "t", false)
		waits[w]++
	}
	assert.Assert(t, len(waits) > 40)
}

// TestTries goes through one gatekeeper's budget: ratio 0.2, slack 62, ten seconds.
func TestTries(t *testing.T) {
	rule := TriesRule{Window: 10 * second, Ratio: 0.2, Slack: 62}
	for _, c := range []struct {
		name     string
		at       Micros
		n, place int
		requests int
		on       int
	}{
		{"alone", 10 * second, 1, 0, 0, 43},
		{"alone, just born", 0, 1, 0, 0, 21},
		{"an even part and a place among the first", 10 * second, 11, 9, 0, 4},
		{"an even part", 10 * second, 11, 10, 0, 3},
		{"many gatekeepers, an early place", 10 * second, 69, 42, 0, 1},
		{"many gatekeepers, a late place", 10 * second, 69, 43, 0, 0},
		{"with requests", 10 * second, 69, 43, 100, 17},
	} {
		b := NewTries(0, rule)
		b.Members(0, c.n, c.place)
		for range c.requests {
			b.Request(c.at, "s")
		}
		take := func(at Micros) (on int) {
			for b.Take(at, "s") {
				on++
			}
			return on
		}
		assert.Equal(t, take(c.at), c.on, c.name)
		assert.Equal(t, take(c.at+rule.Window-1), 0, c.name)
	}
}

// TestAPartOfTheTriesGrowsLate: those that are missing have used theirs in the window, or go on with it.
func TestAPartOfTheTriesGrowsLate(t *testing.T) {
	rule := TriesRule{Window: 10 * second, Ratio: 0.2, Slack: 62}
	b := NewTries(-rule.Window, rule)
	assert.Equal(t, b.slack(0), 0, "nobody knows how many there are")
	b.Members(0, 1, 0)
	alone := b.slack(0)
	b.Members(0, 9, 8)
	ninth := b.slack(0)
	assert.Assert(t, ninth > 0 && 9*ninth <= alone, "%d of %d", ninth, alone)
	b.Members(second, 2, 0) // told by one that has lost sight of the others
	assert.Equal(t, b.slack(second), ninth)
	b.Members(3*second, 9, 8)
	assert.Equal(t, b.slack(12*second), ninth)
	b.Members(20*second, 3, 2)
	assert.Equal(t, b.slack(30*second-1), ninth)
	assert.Assert(t, b.slack(30*second) > 2*ninth)
	b.Members(31*second, 9, 8)
	assert.Equal(t, b.slack(31*second), ninth, "a smaller one holds at once")
}

// TestTriesKeepEveryWindow: over steady and uneven requests, no window has more.
func TestTriesKeepEveryWindow(t *testing.T) {
	rule := TriesRule{Window: 10 * second, Ratio: 0.2, Slack: 58}
	b := NewTries(0, rule)
	b.Members(0, 9, 3)
	var req, took []Micros
	for ms := Micros(0); ms < 60e3; ms += 7 {
		at := ms * milli
		if ms/5000%3 != 1 {
			b.Request(at, "s")
			req = append(req, at)
		}
		if b.Take(at, "s") {
			took = append(took, at)
		}
	}
	in := func(list []Micros, end Micros) (n int) {
		for _, x := range list {
			if x > end-rule.Window && x <= end {
				n++
			}
		}
		return n
	}
	for _, end := range took {
		assert.Assert(t, float64(in(took, end)) <= 0.2*float64(in(req, end))+58.0/9)
	}
	assert.Assert(t, len(took) > 300)
	b.Keep(func(string) bool { return false })
	assert.Equal(t, len(b.services), 0)
}

// TestTheKick: whole tokens beside the burst, taken after the bucket's, gone after two seconds,
// and not told as held.
func TestTheKick(t *testing.T) {
	for _, c := range []struct {
		name string
		at   Micros
		on   int
	}{{"at once", 0, 3}, {"beside what has come", second, 4}, {"late", 2 * second, 1}} {
		b := NewTenants()
		b.Limits(0, []string{"t"})
		b.Slices(0, map[string]TenantSlice{"t": {Floor: 1, FloorBurst: 1, Kick: 3}}, 0)
		on := 0
		for range 10 {
			if ok, _ := b.Admit(c.at, "t", false); ok {
				on++
			}
		}
		assert.Equal(t, on, c.on, c.name)
		held, _ := b.Holding(c.at)
		assert.Equal(t, held["t"].Kick, 0.0)
	}
	b := NewTenants()
	b.Limits(0, []string{"t"})
	b.Slices(0, map[string]TenantSlice{"t": {Kick: 1}}, 0)
	assert.Assert(t, b.Retry(0, "t") && !b.Retry(0, "t"))
}

// TestTenantsFirstTries: who comes again leaves the last tokens to first tries, never all of a
// burst, and is told to stay away for longer the more is asked.
func TestTenantsFirstTries(t *testing.T) {
	for _, c := range []struct {
		name         string
		slice        TenantSlice
		again, first int // how many of ten are let on, one kind after the other
	}{
		{"much", TenantSlice{Rate: 10, Burst: 8, Tokens: 8}, 6, 2},
		{"little", TenantSlice{Rate: 10, Burst: 3, Tokens: 3}, 2, 1},
		{"one", TenantSlice{Rate: 10, Burst: 1, Tokens: 1}, 1, 0},
		{"none", TenantSlice{Rate: 10, Burst: 8}, 0, 0},
		{"the start of a life", TenantSlice{Rate: 10, Burst: 8, Kick: 3}, 3, 0},
	} {
		b := NewTenants()
		b.Limits(0, []string{"t"})
		b.Slices(0, map[string]TenantSlice{"t": c.slice}, 100*second)
		on := func(again bool) (n int) {
			for range 10 {
				if ok, _ := b.Admit(0, "t", again); ok {
					n++
				}
			}
			return n
		}
		assert.Equal(t, on(true), c.again, c.name)
		assert.Equal(t, on(false), c.first, c.name)
	}

	wait := func(asked int) Micros {
		b := NewTenants()
		b.Limits(0, []string{"t"})
		b.Slices(0, map[string]TenantSlice{"t": {Rate: 10, Burst: 1}}, 100*second)
		for range asked {
			b.Admit(0, "t", false)
		}
		b.Demand(second)
		b.Slices(second, map[string]TenantSlice{"t": {Rate: 10, Burst: 0.5}}, 100*second)
		_, w := b.Admit(second, "t", false)
		return w
	}
	assert.Assert(t, wait(200) > 3*wait(5))
}

// TestPatience: a first try has all of its client's time, and one that comes again has lost some,
// whatever the time is; where all have less than before, that becomes the time in the end.
func TestPatience(t *testing.T) {
	var p Patience
	for _, c := range []struct {
		left  Micros
		again bool
	}{{2000 * milli, false}, {1994 * milli, false}, {1960 * milli, true}, {700 * milli, true}, {2000 * milli, false}, {3000 * milli, false},
		{2000 * milli, true}} {
		assert.Equal(t, p.Again(c.left), c.again, c.left)
	}
	for range 10000 {
		p.Again(1000 * milli)
	}
	assert.Assert(t, !p.Again(1000*milli))
}

// TestOneRequestIsNoFlood: what was asked between two askings that are close together is no higher rate for it. One
// request counted as four a second drew the quota to where it was asked, from where it was needed.
func TestOneRequestIsNoFlood(t *testing.T) {
	b := NewTenants()
	b.Limits(0, []string{"t"})
	b.Demand(0)
	for k := range 20 {
		now := Micros(k+1) * 120 * milli
		if k%8 == 0 { // one a second
			b.Admit(now-60*milli, "t", false)
		}
		if d := b.Demand(now)["t"]; d > 1.2 {
			t.Fatalf("%.2f requests a second are reported at %d ms, one is made", d, now/milli)
		}
	}
	for k := range 3 { // a flood is still believed within three askings
		now := Micros(k)*500*milli + 3*second
		for range 50 {
			b.Admit(now, "t", false)
		}
		b.Demand(now + 400*milli)
	}
	if d := b.Demand(5 * second)["t"]; d < 25 {
		t.Fatalf("%.2f a second of a hundred are reported", d)
	}
}

// TestWhatALowerBurstCutsIsGivenBack: the tokens above it are told once as returned, and those of a slice that is surrendered.
func TestWhatALowerBurstCutsIsGivenBack(t *testing.T) {
	b := NewTenants()
	b.Limits(0, []string{"t"})
	b.Slices(0, map[string]TenantSlice{"t": {Burst: 6, Tokens: 5}}, second)
	b.Slices(0, map[string]TenantSlice{"t": {Burst: 2}}, second)
	held, _ := b.Holding(0)
	if s := held["t"]; s.Returned != 3 || s.Tokens != 2 {
		t.Fatalf("%+v is held", s)
	}
	b.Surrender(0, "t")
	held, _ = b.Holding(0)
	if s := held["t"]; s != (TenantSlice{Returned: 2}) {
		t.Fatalf("%+v is held behind a surrender", s)
	}
	if held, _ = b.Holding(0); held["t"] != (TenantSlice{}) {
		t.Fatalf("%+v is told twice", held["t"])
	}
}
