package switchback

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// homed is a stand that knows itself among the members of a region, with a tenant whose homes are the others.
func homed(t *testing.T, granting func() (waymark.Granted, error)) (s *stand, tenant string) {
	t.Helper()
	s = open(t)
	var peers []string
	for range 2 {
		peers = append(peers, open(t).inner(func(context.Context, waymark.Tokens) (waymark.Granted, error) { return granting() }))
	}
	here := s.inner(s.granting)
	crowd := &waymark.Crowd{Mark: 1, Count: 30, Peers: peers}
	s.on(func() {
		s.crowd = *crowd
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"} {
			if homes := s.homesOf(name); homes[0] != here && homes[1] != here {
				tenant = name
			}
		}
	})
	assert.Assert(t, tenant != "")
	s.hear(roll(1), table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: tenant, rate: 2}))
	s.hear(waymark.Signed{Crowd: crowd}, nil)
	return s, tenant
}

// TestHomesWithoutALeaseMakeNoDemand is about a fleet of 270 gatekeepers that refused nearly all requests as over their
// tenants' quotas, for good, behind a short time in which nobody allotted quotas.
//
// What happened: homes that had no lease turned the other gatekeepers' askings away, and these then drew on their own empty buckets, which
// counted as demand. So each gatekeeper asked the allotter for slices of all tenants that it had met, a hundred and more, and
// each of these was divided among all gatekeepers. An allotter that had just won the duty took 5 ms for an asking, lost the duty before it
// had answered 80 of the 270, and left the homes without a lease.
//
// The evidence: answers to askings of 3,000 bytes, where a gatekeeper is the home of one or two tenants; the duty lost 0.67 s behind each
// win, one lease without a renewal; with no demand from who is not a home the duty stayed with one registry.
func TestHomesWithoutALeaseMakeNoDemand(t *testing.T) {
	s, tenant := homed(t, func() (waymark.Granted, error) { return waymark.Granted{}, rpc.Errorf(rpc.Unavailable, "no lease") })
	s.on(func() { s.drawing() }) // demand counts from the asking before
	for range 5 {
		res, _ := s.ask("GET", "/", "Authorization: Bearer k-"+tenant+"\r\n", "")
		assert.Equal(t, res.StatusCode, 429)
		comesBack(t, res)
	}
	s.on(func() {
		q := s.drawing()
		_, asks := q.Demand[tenant]
		assert.Check(t, !asks, "%v is asked for", q.Demand)
		assert.Equal(t, s.counts.HomeUnreached, uint64(5))
	})
}

// TestAFormerHomeGivesItsTokensBack: what it holds goes to the next home once who does not know of that has had time to learn
// of it; a process that is about to end gives it back at once.
func TestAFormerHomeGivesItsTokensBack(t *testing.T) {
	s, _ := homed(t, func() (waymark.Granted, error) { return waymark.Granted{}, nil })
	s.on(func() {
		mine := ""
		for _, name := range []string{"n", "o", "p", "q", "r", "s", "t", "u", "v", "w", "x", "y", "z"} {
			if s.homesOf(name)[0] == s.set.Inner(0) {
				mine = name
			}
		}
		assert.Assert(t, mine != "")
		s.enforce(table(t, 2, []course{{prefix: "/", to: "a"}}, sender{name: mine, rate: 2}))
		s.drawing()
		_, known := s.homed[mine]
		assert.Assert(t, known)
		s.tenants.Slices(s.micros(), map[string]policy.TenantSlice{mine: {Rate: 1e-9, Burst: 4, Tokens: 3}}, s.micros()+1e9)
		s.draining = true
		q := s.drawing()
		assert.Equal(t, q.Returned[mine], float32(3))
		assert.Equal(t, len(q.Holding[mine]), 7)
		assert.Equal(t, q.Holding[mine], waymark.Slice{})
		assert.Equal(t, len(s.drawing().Returned), 0, "they are given back once")
		assert.Assert(t, !s.tenants.Spend(s.micros(), mine))
	})
}

// TestBadSignsAreNotHurried: the first few go on at once, then the waits grow to a bound; a good one begins anew.
func TestBadSignsAreNotHurried(t *testing.T) {
	s := open(t)
	const first = 30 * time.Millisecond
	for n := range 40 {
		wait := s.signWait(first)
		switch {
		case n <= signsAtOnce:
			assert.Equal(t, wait, first, "sign %d", n)
		case n > signsAtOnce+signDoublings:
			assert.Assert(t, wait >= signWaitMost/2 && wait <= signWaitMost, "sign %d waits %v", n, wait)
		default:
			assert.Assert(t, wait >= first && wait <= signWaitMost, "sign %d waits %v", n, wait)
		}
	}
	s.badSigns = 0
	assert.Equal(t, s.signWait(first), first)
}

// TestLateHomesGetMoreTime: behind answers that did not come in time, and no more of it once they do. A refusal is no lateness.
func TestLateHomesGetMoreTime(t *testing.T) {
	const usual = 90 * time.Millisecond
	s := &asker{}
	late, refused := rpc.Errorf(rpc.Unknown, "did not answer in time"), rpc.Errorf(rpc.Unavailable, "no lease")
	for _, step := range []struct {
		err  error
		wait time.Duration
	}{{nil, usual}, {refused, usual}, {late, 2 * usual}, {late, 4 * usual}, {late, 4 * usual}, {refused, 4 * usual}, {nil, 2 * usual}, {nil, usual}, {nil, usual}} {
		s.noteAnswer(step.err)
		assert.Equal(t, s.patience(usual), step.wait)
	}
}
