package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Follows one bucket: empty at the start, filled at its allotted rate, limited by a smaller burst, at its floor
// after the lease, and empty after the end of the floor.
func TestTenantBucketLifecycle(t *testing.T) {
	b := NewTenantBuckets()
	b.FloorDuration = 10 * second
	ok, _ := b.Admit(0, "nobody's", false)
	assert.Assert(t, ok)
	b.SetLimited(0, []string{"t"})
	big := TenantAllotment{Rate: 10, Burst: 8, Minimum: 2, MinimumBurst: 3}
	small := TenantAllotment{Rate: 1, Burst: 1.5, Minimum: 1, MinimumBurst: 1}
	gift := big
	gift.Tokens = 2
	for _, c := range []struct {
		name  string
		at    Micros
		slice *TenantAllotment // received first, for a lease of 2.5 s
		ask   int
		on    int
	}{
		{"no allotment", 0, nil, 3, 0},
		{"an empty allotment", 0, &big, 3, 0},
		{"half a second of ten", second / 2, nil, 9, 5},
		{"full", 2 * second, nil, 20, 8},
		{"2.5 seconds of ten, then the floor", 3 * second, nil, 20, 3},
		{"the floor", 4 * second, nil, 20, 2},
		{"after the floor's end", 20 * second, nil, 20, 0},
		{"allotted tokens", 20 * second, &gift, 20, 2},
		{"full again", 22 * second, &big, 0, 0},
		{"lower burst", 22 * second, &small, 20, 1},
	} {
		if c.slice != nil {
			b.SetAllotments(c.at, map[string]TenantAllotment{"t": *c.slice}, c.at+5*second/2)
		}
		admitted := 0
		for range c.ask {
			ok, wait := b.Admit(c.at, "t", false)
			if ok {
				admitted++
			} else {
				assert.Assert(t, wait >= 20*milli && wait <= 2*second)
			}
		}
		assert.Equal(t, admitted, c.on, c.name)
	}
}

// The token of a request that never ran is returned, up to the burst. Demand counts all requests, admitted or not,
// and a flood shows within a second.
func TestTenantTokenReturnAndDemand(t *testing.T) {
	b := NewTenantBuckets()
	b.SetLimited(0, []string{"t", "u"})
	b.SetAllotments(0, map[string]TenantAllotment{"t": {Rate: 1, Burst: 1, Tokens: 1}}, 100*second)
	ok, _ := b.Admit(0, "t", false)
	assert.Assert(t, ok)
	b.ReturnToken(0, "t")
	b.ReturnToken(0, "t")
	b.ReturnToken(0, "nobody")
	admitted := 0
	for range 3 {
		if ok, _ := b.Admit(0, "t", false); ok {
			admitted++
		}
	}
	assert.Equal(t, admitted, 1)
	assert.Assert(t, b.RunningLow(0))
	for i := range 2 {
		for range 100 {
			b.Admit(Micros(i+1)*second/2, "t", false)
		}
		b.Demand(Micros(i+1) * second / 2)
	}
	d := b.Demand(second)
	assert.Assert(t, d["t"] > 100 && d["t"] < 210, "demand %v, want 100 to 210 per second", d)
	b.SetLimited(second, []string{"u"})
	ok, _ = b.Admit(second, "t", false)
	assert.Assert(t, ok)
	held, left := b.Holdings(second)
	assert.Assert(t, len(held) == 0 && left == 99*second)
}

// Clients refused at the same time are not told to return at the same time.
func TestTenantWaitsAreSpread(t *testing.T) {
	b := NewTenantBuckets()
	b.SetLimited(0, []string{"t"})
	b.SetAllotments(0, map[string]TenantAllotment{"t": {Rate: 2, Burst: 3}}, 100*second)
	waits := map[Micros]int{}
	for range 50 {
		_, wait := b.Admit(0, "t", false)
		waits[wait]++
	}
	assert.Assert(t, len(waits) > 40)
}

// Checks the budget of one gateway with ratio 0.2, allowance 62 and a window of 10 s.
func TestRetryBudget(t *testing.T) {
	rule := RetryBudgetRule{Window: 10 * second, Ratio: 0.2, Allowance: 62}
	for _, c := range []struct {
		name     string
		at       Micros
		n, place int
		requests int
		on       int
	}{
		{"alone", 10 * second, 1, 0, 0, 43},
		{"alone, just started", 0, 1, 0, 0, 21},
		{"an even part and a low index", 10 * second, 11, 9, 0, 4},
		{"an even part", 10 * second, 11, 10, 0, 3},
		{"many gateways, a low index", 10 * second, 69, 42, 0, 1},
		{"many gateways, a high index", 10 * second, 69, 43, 0, 0},
		{"with requests", 10 * second, 69, 43, 100, 17},
	} {
		b := NewRetryBudget(0, rule)
		b.SetMembers(0, c.n, c.place)
		for range c.requests {
			b.CountRequest(c.at, "s")
		}
		take := func(at Micros) (on int) {
			for b.TryTake(at, "s") {
				on++
			}
			return on
		}
		assert.Equal(t, take(c.at), c.on, c.name)
		assert.Equal(t, take(c.at+rule.Window-1), 0, c.name)
	}
}

// When gateways go missing, our part grows only after a window: they have used their part of it, or go on using it.
func TestRetryBudgetPartGrowsAfterWindow(t *testing.T) {
	rule := RetryBudgetRule{Window: 10 * second, Ratio: 0.2, Allowance: 62}
	b := NewRetryBudget(-rule.Window, rule)
	assert.Equal(t, b.allowance(0), 0, "the number of gateways is unknown")
	b.SetMembers(0, 1, 0)
	alone := b.allowance(0)
	b.SetMembers(0, 9, 8)
	ninth := b.allowance(0)
	assert.Assert(t, ninth > 0 && 9*ninth <= alone, "a ninth of the allowance is %d of %d", ninth, alone)
	b.SetMembers(second, 2, 0) // reported by a process that has lost contact with the others
	assert.Equal(t, b.allowance(second), ninth)
	b.SetMembers(3*second, 9, 8)
	assert.Equal(t, b.allowance(12*second), ninth)
	b.SetMembers(20*second, 3, 2)
	assert.Equal(t, b.allowance(30*second-1), ninth)
	assert.Assert(t, b.allowance(30*second) > 2*ninth)
	b.SetMembers(31*second, 9, 8)
	assert.Equal(t, b.allowance(31*second), ninth, "a smaller part applies at once")
}

// With steady and uneven requests, no window has more retries than the rule allows.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	rule := RetryBudgetRule{Window: 10 * second, Ratio: 0.2, Allowance: 58}
	b := NewRetryBudget(0, rule)
	b.SetMembers(0, 9, 3)
	var req, took []Micros
	for ms := Micros(0); ms < 60e3; ms += 7 {
		at := ms * milli
		if ms/5000%3 != 1 {
			b.CountRequest(at, "s")
			req = append(req, at)
		}
		if b.TryTake(at, "s") {
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
	b.KeepServices(func(string) bool { return false })
	assert.Equal(t, len(b.services), 0)
}

// Start-up tokens come on top of the burst, are taken after the bucket's own, expire after two seconds, and are not
// reported as held.
func TestTenantStartTokens(t *testing.T) {
	for _, c := range []struct {
		name string
		at   Micros
		on   int
	}{{"at the start", 0, 3}, {"with refilled tokens", second, 4}, {"expired", 2 * second, 1}} {
		b := NewTenantBuckets()
		b.SetLimited(0, []string{"t"})
		b.SetAllotments(0, map[string]TenantAllotment{"t": {Minimum: 1, MinimumBurst: 1, StartBurst: 3}}, 0)
		admitted := 0
		for range 10 {
			if ok, _ := b.Admit(c.at, "t", false); ok {
				admitted++
			}
		}
		assert.Equal(t, admitted, c.on, c.name)
		held, _ := b.Holdings(c.at)
		assert.Equal(t, held["t"].StartBurst, 0.0)
	}
	b := NewTenantBuckets()
	b.SetLimited(0, []string{"t"})
	b.SetAllotments(0, map[string]TenantAllotment{"t": {StartBurst: 1}}, 0)
	assert.Assert(t, b.Retry(0, "t") && !b.Retry(0, "t"))
}

// Retries leave the last tokens to first tries, but never the whole burst, and the wait told grows with the demand.
func TestTenantRetriesLeaveTokensToFirstTries(t *testing.T) {
	for _, c := range []struct {
		name         string
		slice        TenantAllotment
		again, first int // of ten requests each, how many are admitted, retries first
	}{
		{"many tokens", TenantAllotment{Rate: 10, Burst: 8, Tokens: 8}, 6, 2},
		{"few tokens", TenantAllotment{Rate: 10, Burst: 3, Tokens: 3}, 2, 1},
		{"one token", TenantAllotment{Rate: 10, Burst: 1, Tokens: 1}, 1, 0},
		{"no tokens", TenantAllotment{Rate: 10, Burst: 8}, 0, 0},
		{"start-up tokens", TenantAllotment{Rate: 10, Burst: 8, StartBurst: 3}, 3, 0},
	} {
		b := NewTenantBuckets()
		b.SetLimited(0, []string{"t"})
		b.SetAllotments(0, map[string]TenantAllotment{"t": c.slice}, 100*second)
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
		b := NewTenantBuckets()
		b.SetLimited(0, []string{"t"})
		b.SetAllotments(0, map[string]TenantAllotment{"t": {Rate: 10, Burst: 1}}, 100*second)
		for range asked {
			b.Admit(0, "t", false)
		}
		b.Demand(second)
		b.SetAllotments(second, map[string]TenantAllotment{"t": {Rate: 10, Burst: 0.5}}, 100*second)
		_, w := b.Admit(second, "t", false)
		return w
	}
	assert.Assert(t, wait(200) > 3*wait(5))
}

// A first try has all of its client's time and a retry has less, whatever the time is. If all clients have less
// than before, that becomes the full time eventually.
func TestRetryDetection(t *testing.T) {
	var p RetryDetector
	for _, c := range []struct {
		left  Micros
		again bool
	}{{2000 * milli, false}, {1994 * milli, false}, {1960 * milli, true}, {700 * milli, true}, {2000 * milli,
		false}, {3000 * milli, false},
		{2000 * milli, true}} {
		assert.Equal(t, p.IsRetry(c.left), c.again, c.left)
	}
	for range 10000 {
		p.IsRetry(1000 * milli)
	}
	assert.Assert(t, !p.IsRetry(1000*milli))
}

// One request between two calls of Demand that are close together does not raise the rate. It once counted as four
// per second, which drew the quota to this gateway from where it was needed.
func TestSingleRequestIsNotAFlood(t *testing.T) {
	b := NewTenantBuckets()
	b.SetLimited(0, []string{"t"})
	b.Demand(0)
	for i := range 20 {
		now := Micros(i+1) * 120 * milli
		if i%8 == 0 { // one per second
			b.Admit(now-60*milli, "t", false)
		}
		if d := b.Demand(now)["t"]; d > 1.2 {
			t.Fatalf("%.2f requests per second are reported at %d ms, want about 1", d, now/milli)
		}
	}
	for i := range 3 { // a flood is still believed within three calls
		now := Micros(i)*500*milli + 3*second
		for range 50 {
			b.Admit(now, "t", false)
		}
		b.Demand(now + 400*milli)
	}
	if d := b.Demand(5 * second)["t"]; d < 25 {
		t.Fatalf("%.2f of 100 requests per second are reported, want at least 25", d)
	}
}

// Tokens above a lowered burst are reported once as returned, and so are those of a surrendered allotment.
func TestTokensAboveLoweredBurstAreReturned(t *testing.T) {
	b := NewTenantBuckets()
	b.SetLimited(0, []string{"t"})
	b.SetAllotments(0, map[string]TenantAllotment{"t": {Burst: 6, Tokens: 5}}, second)
	b.SetAllotments(0, map[string]TenantAllotment{"t": {Burst: 2}}, second)
	held, _ := b.Holdings(0)
	if s := held["t"]; s.Returned != 3 || s.Tokens != 2 {
		t.Fatalf("%+v is held, want 2 tokens and 3 returned", s)
	}
	b.Surrender(0, "t")
	held, _ = b.Holdings(0)
	if s := held["t"]; s != (TenantAllotment{Returned: 2}) {
		t.Fatalf("%+v is held after a surrender, want 2 returned", s)
	}
	if held, _ = b.Holdings(0); held["t"] != (TenantAllotment{}) {
		t.Fatalf("%+v is reported twice", held["t"])
	}
}
