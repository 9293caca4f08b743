package switchback

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/slowstart"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// in places a worker in a zone.
func in(zone string, w waymark.Worker) waymark.Worker {
	w.Zone = zone
	return w
}

// TestHomes: a request reaches a worker in a home of its course and of its tenant, or none.
func TestHomes(t *testing.T) {
	t.Parallel()
	s := open(t)
	s.hear(roll(1, in("a1", employ(t, "w-a1", "a", served, nil)), in("a2", employ(t, "w-a2", "a", served, nil)),
		in("b1", employ(t, "w-b1", "a", served, nil)), in("b1", employ(t, "w-only-b", "only-b", served, nil))),
		table(t, 1, []course{
			{prefix: "/any/", to: "a", target: 1},
			{prefix: "/a/", to: "a", target: 1, homes: []string{"a"}},
			{prefix: "/b/", to: "a", target: 1, homes: []string{"b"}},
			{prefix: "/ab/", to: "a", target: 1, homes: []string{"a", "b"}},
			{prefix: "/c/", to: "a", target: 1, homes: []string{"c"}},
			{prefix: "/far/", to: "only-b", target: 1, homes: []string{"a"}},
		}, sender{name: "free"}, sender{name: "a", homes: []string{"a"}}, sender{name: "b", homes: []string{"b"}}, sender{name: "bc", homes: []string{"b", "c"}}))
	for _, c := range []struct{ path, key, want string }{
		{"/any/", "free", "w-"},
		{"/a/", "free", "w-a"},
		{"/b/", "free", "w-b"},
		{"/any/", "a", "w-a"},
		{"/any/", "b", "w-b"},
		{"/ab/", "b", "w-b"},
		{"/ab/", "bc", "w-b"},
		{"/b/", "bc", "w-b"},
		{"/a/", "b", ""}, // disjoint
		{"/a/", "bc", ""},
		{"/c/", "a", ""},
		{"/c/", "free", ""}, // no worker there
		{"/far/", "free", ""},
		{"/far/", "a", ""},
	} {
		for range 6 {
			res, body := s.ask("GET", c.path, "Authorization: Bearer k-"+c.key+"\r\n", "")
			if c.want == "" {
				assert.Equal(t, res.StatusCode, 503, "%v", c)
				comesBack(t, res)
				break
			}
			assert.Equal(t, res.StatusCode, 200, "%v", c)
			assert.Assert(t, strings.HasPrefix(body, c.want), "%v ran on %s", c, body)
		}
	}
}

// TestWhoGetsNothingNew: the workers of an evacuated zone, those that close and those that are
// gone, from the moment that the news is in force; and again once it is taken back.
func TestWhoGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := open(t)
	one, two := employ(t, "w-a1", "a", served, nil), in("b1", employ(t, "w-b1", "a", served, nil))
	nearer, closing := one, two // the near one would else be chosen anyway
	nearer.Closing, closing.Closing = true, true
	gone := two
	gone.Gone = true
	all := func(want ...string) {
		t.Helper()
		for range 12 {
			res, body := s.ask("GET", "/", "", "")
			if want == nil {
				assert.Equal(t, res.StatusCode, 503)
				break
			}
			assert.Equal(t, res.StatusCode, 200)
			assert.Assert(t, strings.Contains(strings.Join(want, " "), body), body)
		}
	}
	s.hear(roll(1, one, two), table(t, 1, []course{{prefix: "/", to: "a", target: 1}}))
	s.hear(waymark.Signed{HasEvac: true, Evac: 5, Evacuated: []string{"a1"}}, nil)
	all("w-b1")
	s.hear(waymark.Signed{HasEvac: true, Evac: 6, Evacuated: []string{"a1", "b1"}}, nil)
	all()
	s.hear(waymark.Signed{HasEvac: true, Evac: 5, Evacuated: []string{"a1"}}, nil) // an older word, by another bothy
	all()
	s.hear(waymark.Signed{HasEvac: true, Evac: 7}, nil)
	all("w-a1", "w-b1")
	s.hear(changes(2, nearer), nil)
	all("w-b1")
	s.hear(roll(1, one, two), nil) // an older roster
	all("w-b1")
	s.hear(changes(3, one, closing), nil)
	all("w-a1")
	s.hear(changes(4, gone), nil)
	all("w-a1")
	s.hear(roll(5, two), nil)
	all("w-b1")
}

// TestNothingGoesBack: an older configuration, whoever tells it, is not put in force.
func TestNothingGoesBack(t *testing.T) {
	s := open(t)
	a, b := employ(t, "w-a", "a", served, nil), employ(t, "w-b", "b", served, nil)
	s.hear(roll(9, a, b), table(t, 5, []course{{prefix: "/", to: "a"}}))
	for _, edition := range []uint64{4, 5} {
		s.hear(waymark.Signed{}, table(t, edition, []course{{prefix: "/", to: "b"}}))
		_, body := s.ask("GET", "/", "", "")
		assert.Equal(t, body, "w-a")
	}
	s.hear(waymark.Signed{}, table(t, 6, []course{{prefix: "/", to: "b"}}))
	_, body := s.ask("GET", "/", "", "")
	assert.Equal(t, body, "w-b")
}

// TestKeysHold: where revocations are final keys count under the lease alone, which counts from
// when the tail was asked. Who has none says 503: 401 would be for good.
func TestKeysHold(t *testing.T) {
	const most = 60000 - leaseMargin // by revokeS of the settings
	for _, c := range []struct {
		name  string
		final bool
		ago   float64 // when the asking went out
		a     waymark.Signed
		keys  float64 // from the asking, 0 for no lease
	}{
		{"fresh", true, 0, waymark.Signed{}, most},
		{"the tail was asked before", true, 0, waymark.Signed{AsOf: -20000}, most - 20000},
		{"the tail was asked while we waited", true, 10000, waymark.Signed{AsOf: 400}, most + 400},
		{"asked long ago", true, 61000, waymark.Signed{}, most},
		{"asked of a tail long ago", true, 0, waymark.Signed{AsOf: -61000}, most - 61000},
		{"stale", true, 0, waymark.Signed{Stale: true}, 0},
		{"of a configuration that we lack", true, 0, waymark.Signed{Edition: 2}, 0},
		{"not final", false, 0, waymark.Signed{Stale: true}, 0},
	} {
		s := open(t, map[bool]string{true: "revocationFinal=true", false: "revocationFinal=false"}[c.final])
		s.hear(stale(roll(1, employ(t, "w", "a", served, nil))),
			table(t, 1, []course{{prefix: "/", to: "a"}, {prefix: "/open/", to: "a", unsealed: true}}, sender{name: "ana"}))
		if c.a.Edition == 0 {
			c.a.Edition = 1
		}
		s.on(func() {
			asked := s.clock.Now() - c.ago
			s.apply(&c.a, asked)
			if c.keys == 0 {
				assert.Check(t, s.keysTo == 0, c.name)
			} else {
				assert.Check(t, s.keysTo == asked+c.keys, c.name)
			}
		})
		holds := !c.final || c.keys-c.ago > 0
		res, _ := s.ask("GET", "/", "Authorization: Bearer k-ana\r\n", "")
		if holds {
			assert.Equal(t, res.StatusCode, 200, c.name)
		} else {
			assert.Equal(t, res.StatusCode, 503, c.name)
			comesBack(t, res)
		}
		res, _ = s.ask("GET", "/open/", "", "")
		assert.Equal(t, res.StatusCode, 200, "without a key there is nothing to judge")
	}
}

// TestAStaleAnswerLeavesTheLease, neither longer nor shorter.
func TestAStaleAnswerLeavesTheLease(t *testing.T) {
	s := open(t, "revocationFinal=true")
	s.hear(waymark.Signed{}, table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: "ana"}))
	s.on(func() {
		held := s.keysTo
		now := s.clock.Now()
		s.apply(&waymark.Signed{Stale: true, Edition: 1}, now+5000)
		assert.Check(t, s.keysTo == held)
		s.apply(&waymark.Signed{Edition: 1, AsOf: -9000}, now)
		assert.Check(t, s.keysTo == held, "an older word shortens nothing that was granted")
		s.apply(&waymark.Signed{Edition: 1}, now+5000)
		assert.Check(t, s.keysTo > held)
	})
}

// slices gives a proxy's buckets what they hold for a minute.
func (s *stand) slices(name string, tokens float64) {
	s.on(func() {
		now := s.micros()
		s.tenants.Slices(now, map[string]policy.TenantSlice{name: {Rate: 0.001, Burst: tokens, Floor: 0.001, FloorBurst: tokens, Tokens: tokens}}, now+60e6)
	})
}

// TestQuota: nothing before the first slices, then what the slice holds, and a 429 that says when.
func TestQuota(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 99)
	s.hear(roll(1, employ(t, "w", "a", served, got)), table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: "ana", rate: 50}, sender{name: "luz"}))
	ask := func(key string) int {
		res, _ := s.ask("GET", "/", "Authorization: Bearer k-"+key+"\r\n", "")
		if res.StatusCode != 200 {
			comesBack(t, res)
		}
		return res.StatusCode
	}
	assert.Equal(t, ask("ana"), 429)
	assert.Equal(t, ask("luz"), 200, "who has no limit has no bucket")
	s.slices("ana", 3)
	for i := range 6 {
		want := 200
		if i >= 3 {
			want = 429
		}
		assert.Equal(t, ask("ana"), want)
	}
	assert.Equal(t, len(got), 4)
}

// TestTokensComeBack only for a request that surely never ran: a safe one that ran and failed has
// had its token's worth, or a tenant could pass its quota.
func TestTokensComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		do   hand
		back float64
	}{
		"turned away": {say(503, notRan, ""), 1},
		"ran":         {say(500, stamp, ""), 0},
		"broke off":   {drop, 0},
	} {
		s := open(t)
		s.hear(roll(1, employ(t, "w", "a", c.do, nil)), table(t, 1, []course{{prefix: "/", to: "a", target: 1, tries: 1}}, sender{name: "ana", rate: 50}))
		s.slices("ana", 1)
		res, _ := s.ask("GET", "/", "Authorization: Bearer k-ana\r\n", "")
		assert.Assert(t, res.StatusCode >= 500, name)
		s.on(func() {
			held, _ := s.tenants.Holding(s.micros())
			left := held["ana"].Tokens
			assert.Check(t, left >= c.back && left < c.back+1, "%s: %v tokens are left", name, left)
		})
	}
}

// TestADuplicateKeepsNoToken: a try whose id is open is refused and never runs, so that it costs
// its tenant nothing, wherever its token came from.
func TestADuplicateKeepsNoToken(t *testing.T) {
	for _, c := range []struct {
		name        string
		here, spare float64 // tokens of our own bucket, and of the home's that were kept
		home        int     // that the home grants, each once
	}{
		{"our own bucket", 2, 0, 0},
		{"the home", 0, 0, 2},
		{"what the home gave before", 0, 2, 0},
	} {
		s := open(t)
		got, release := make(chan *seen, 9), make(chan bool, 9)
		slow := func(n int, r *seen) bool {
			got <- r
			<-release
			return served(n, r)
		}
		left := make(chan int, 1)
		left <- c.home
		home := open(t).inner(func(_ context.Context, q waymark.Tokens) (waymark.Granted, error) {
			n := <-left
			some := min(n, q.Wanted["ana"])
			left <- n - some
			return waymark.Granted{Granted: map[string]int{"ana": some}, Wait: map[string]float64{"ana": 1}}, nil
		})
		s.hear(roll(1, employ(t, "w", "a", slow, nil)), table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: "ana", rate: 2}))
		if c.here == 0 {
			s.on(func() {
				s.crowd.Mark, s.members = 1, 3
				s.thins["ana"] = &thinTenant{mark: 1, homes: [2]string{home, home}, spare: int(c.spare)}
			})
		}
		s.slices("ana", c.here)
		const key = "Authorization: Bearer k-ana\r\n"
		text := request("GET", "/", key, "")
		first := s.dial().send(text)
		next(t, got)
		for range 3 { // each finds the token that the one before gave back
			res, _ := s.dial().send(text).get()
			assert.Equal(t, res.StatusCode, 409, c.name)
			assert.Assert(t, res.Close)
		}
		second := s.dial().send(request("GET", "/", key, ""))
		next(t, got)
		res, _ := s.ask("GET", "/", key, "")
		assert.Equal(t, res.StatusCode, 429, "%s: no more than there were", c.name)
		release <- true
		release <- true
		for _, k := range []*caller{first, second} {
			res, _ := k.get()
			assert.Equal(t, res.StatusCode, 200, c.name)
		}
		assert.Equal(t, len(got), 0, c.name)
	}
}

// inner serves a proxy's calls at an address of its own, which is then its inner one.
func (s *stand) inner(do func(context.Context, waymark.Tokens) (waymark.Granted, error)) string {
	s.t.Helper()
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(s.t, err)
	server := rpc.NewServer()
	rpc.Handle(server, do)
	go func() { _ = server.Serve(ln) }()
	s.t.Cleanup(server.Close)
	port := ln.Addr().(*net.TCPAddr).Port
	s.set.InnerDocks = []int{port, port + 1}
	return ln.Addr().String()
}

// TestAThinTenantAsksItsHome: the second where the first does not answer, and its own floor where
// neither does. What a home grants comes from the home's bucket, and once.
func TestAThinTenantAsksItsHome(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, other float64 // tokens at the homes; below 0 the home has no lease
		silent       bool    // neither answers at all
		own          float64
		served       int // of three
	}{
		{"the home has", 2, 5, false, 0, 2},
		{"the home has no lease, the second has", -1, 2, false, 0, 2},
		{"what is our own goes first", 1, 5, false, 1, 2},
		{"what is our own goes first, then the second's", -1, 1, false, 1, 2},
		{"no home has a lease", -1, -1, false, 1, 1},
		{"nobody has", -1, -1, false, 0, 0},
		{"both are silent", 5, 5, true, 2, 2},
	} {
		s := open(t)
		got := make(chan *seen, 9)
		here := s.inner(s.granting)
		var peers []string
		of := map[string]*stand{}
		for range 2 {
			o := open(t)
			answer := o.granting
			if c.silent {
				s.patience = 50 * time.Millisecond
				answer = func(ctx context.Context, _ waymark.Tokens) (waymark.Granted, error) {
					<-ctx.Done()
					return waymark.Granted{}, ctx.Err()
				}
			}
			addr := o.inner(answer)
			peers = append(peers, addr)
			of[addr] = o
		}
		// A tenant both of whose homes are the others.
		crowd := &waymark.Crowd{Mark: 1, Place: 0, Count: 3, Peers: peers}
		name := ""
		var homes [2]string
		s.on(func() {
			s.crowd = *crowd
			for _, x := range strings.Split("a b c d e f g h i j k l m n o p q r s t u v w x y z aa bb cc dd ee ff gg hh", " ") {
				if homes = s.homesOf(x); homes[0] != here && homes[1] != here {
					name = x
					break
				}
			}
		})
		assert.Assert(t, name != "")
		rows := []course{{prefix: "/", to: "a"}}
		s.hear(roll(1, employ(t, "w", "a", served, got)), table(t, 1, rows, sender{name: name, rate: 2}))
		s.hear(waymark.Signed{Crowd: crowd}, nil)
		s.slices(name, c.own)
		for i, tokens := range []float64{c.first, c.other} {
			o := of[homes[i]]
			o.hear(waymark.Signed{Crowd: crowd}, table(t, 1, rows, sender{name: name, rate: 2}))
			if tokens >= 0 {
				o.slices(name, tokens)
			}
		}
		served := 0
		for range 3 {
			res, _ := s.ask("GET", "/", "Authorization: Bearer k-"+name+"\r\n", "")
			if res.StatusCode == 200 {
				served++
				continue
			}
			assert.Equal(t, res.StatusCode, 429, c.name)
			comesBack(t, res)
		}
		assert.Equal(t, served, c.served, c.name)
		assert.Equal(t, len(got), c.served, c.name)
	}
}

// TestTheTimeWithAHomeCounts: a worker is told what its client will still wait, less what the home
// took to answer.
func TestTheTimeWithAHomeCounts(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 1)
	took := make(chan time.Duration, 1)
	home := open(t).inner(func(context.Context, waymark.Tokens) (waymark.Granted, error) {
		began := time.Now()
		<-time.After(50 * time.Millisecond) // it is slow
		took <- time.Since(began)
		return waymark.Granted{Granted: map[string]int{"ana": 1}}, nil
	})
	s.hear(roll(1, employ(t, "w", "a", served, got)), table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: "ana", rate: 2}))
	s.on(func() {
		s.crowd.Mark, s.members = 1, 3
		s.thins["ana"] = &thinTenant{mark: 1, homes: [2]string{home, home}}
	})
	res, _ := s.ask("GET", "/", "Authorization: Bearer k-ana\r\nX-Foxwood-Time-Left: 9000\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	left, err := strconv.Atoi(next(t, got).Header.Get(headLeft))
	assert.NilError(t, err)
	assert.Assert(t, left <= 9000-int((<-took).Milliseconds()), "%d ms are told to be left", left)
}

// TestFloors: after a failed drawing the floors hold only where the members were once known whole,
// or too many would take a floor; and their first tokens come once in a life.
func TestFloors(t *testing.T) {
	s := open(t)
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	answers := make(chan error, 9)
	slices := map[string]quota.Slice{"ana": {Rate: 1, Burst: 9, Floor: 1, FloorBurst: 9, Tokens: 9, Kick: 4}}
	rpc.Handle(server, func(context.Context, waymark.Draw) (waymark.Drawn, error) {
		return waymark.Drawn{Slices: waymark.Pack(slices), Lease: 60000}, <-answers
	})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Close)
	tt := table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: "ana", rate: 50})
	held := func() (of policy.TenantSlice) {
		s.on(func() {
			all, _ := s.tenants.Holding(s.micros())
			of = all["ana"]
		})
		return of
	}
	failed := rpc.Errorf(rpc.Unavailable, "nobody has the duty")
	draw := func(a error) {
		answers <- a
		s.draw(context.Background())
	}
	s.hear(waymark.Signed{}, tt)
	s.draw(context.Background()) // without anybody to ask
	s.on(func() { s.control = rpc.NewPeer(ln.Addr().String()) })
	draw(failed)
	assert.Equal(t, held().Floor, 0.0, "not settled")
	s.hear(waymark.Signed{Crowd: &waymark.Crowd{Mark: 1, Place: 1, Count: 3}}, nil)
	draw(failed)
	assert.Equal(t, held().Floor, 0.0, "not settled")
	s.on(func() { assert.Check(t, !s.kicked) })
	s.hear(waymark.Signed{Settled: true}, nil)
	draw(failed)
	floor := held().Floor
	assert.Assert(t, floor > 0 && floor <= 50.0/3+1, "%v", floor)
	s.on(func() { assert.Check(t, s.kicked) })
	draw(nil)
	assert.Assert(t, held().Rate == 1 && s.drawn)
	draw(failed)
	assert.Equal(t, held().Rate, 1.0, "what was allotted is not given up for a floor")
}

// TestFirstTokensOnceALife: those that an allotter gives, and those of the floors; none of the floors'
// where the last life's may count still.
func TestFirstTokensOnceALife(t *testing.T) {
	s := open(t)
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	var slices map[string]quota.Slice
	rpc.Handle(server, func(context.Context, waymark.Draw) (waymark.Drawn, error) {
		if slices == nil {
			return waymark.Drawn{}, rpc.Errorf(rpc.Unavailable, "nobody has the duty")
		}
		return waymark.Drawn{Slices: waymark.Pack(slices), Lease: 60000}, nil
	})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Close)
	s.hear(waymark.Signed{Settled: true, Again: true, Crowd: &waymark.Crowd{Mark: 1, Count: 3}},
		table(t, 1, []course{{prefix: "/", to: "a"}}, sender{name: "ana", rate: 50}))
	s.on(func() {
		s.control = rpc.NewPeer(ln.Addr().String())
		assert.Check(t, s.again)
	})
	// spent draws, and counts what there is beyond what the floor has filled.
	spent := func() (n int) {
		s.on(func() { s.clock.Set(s.clock.Now()) })
		s.draw(context.Background())
		s.on(func() {
			held, _ := s.tenants.Holding(s.micros())
			for s.tenants.Spend(s.micros(), "ana") {
				n++
			}
			n -= int(held["ana"].Tokens)
		})
		return n
	}
	assert.Equal(t, spent(), 0, "the last life's may count still")
	s.on(func() { s.again, s.kicked = false, false })
	assert.Assert(t, spent() > 0)
	assert.Equal(t, spent(), 0)
	slices = map[string]quota.Slice{"ana": {Kick: 4}}
	assert.Equal(t, spent(), 0, "the floors' were taken")
	s.on(func() { s.kicked = false })
	assert.Equal(t, spent(), 4)
	assert.Equal(t, spent(), 0)
}

// TestASplitKeepsItsShares, and a share of nothing gets nothing.
func TestASplitKeepsItsShares(t *testing.T) {
	s := open(t)
	s.hear(waymark.Signed{}, table(t, 1, []course{{prefix: "/", to: "a"}, {prefix: "/b/", to: "b"}, {prefix: "/c/", to: "c"}}))
	c := &timetable.Course{Split: []timetable.Share{{Destination: "c"}, {Destination: "a", Weight: 3}, {Destination: "b", Weight: 1}}}
	const all = 8000
	got := map[string]int{}
	s.on(func() {
		for range all {
			got[s.destination(c).name]++
		}
	})
	assert.Equal(t, got["c"], 0)
	// Ten deviations: sqrt(8000 * 3/4 * 1/4) is 39.
	assert.Assert(t, got["b"] > all/4-390 && got["b"] < all/4+390, "%v", got)
}

// TestAColdWorkersSendsAreShared: what one bears in a second is divided over all gatekeepers.
func TestAColdWorkersSendsAreShared(t *testing.T) {
	s := open(t, "coldExcess=1.5", "coldSlack=5")
	s.hear(waymark.Signed{}, table(t, 1, []course{{prefix: "/", to: "a"}}))
	s.on(func() {
		x := s.pools["a"]
		x.dest.ColdPerS = 10
		assert.Check(t, x.coldSends(7, true) == 0, "nobody has given it a part")
		s.place, s.members = 0, 1
		assert.Check(t, x.coldSends(7, true) == 0, "what it was told of the members gives it none")
		now, sum := s.clock.Now(), 0
		for index := range 6 {
			s.slowStart.Take(slowstart.Grant{Current: slowstart.Part{Index: index, Count: 6}}, now, 60_000)
			sum += x.coldSends(7, true)
		}
		assert.Check(t, sum > 0 && sum <= 20, "%d sends a second", sum)
		s.slowStart.Take(slowstart.Grant{Current: slowstart.Part{Count: 1}}, now-60_000, 60_000)
		assert.Check(t, x.coldSends(7, true) == 0, "its lease is over")
	})
}

// TestWhoIsOutOfTouchBoundsItsSends: all that are so stay, beside those with leases, under what a cold worker bears.
func TestWhoIsOutOfTouchBoundsItsSends(t *testing.T) {
	s := open(t, "coldExcess=1.5", "coldSlack=5")
	s.hear(waymark.Signed{}, table(t, 1, []course{{prefix: "/", to: "a"}}))
	s.on(func() {
		x := s.pools["a"]
		x.dest.ColdPerS = 10
		now := s.clock.Now()
		s.place, s.members = 0, 6
		s.touched = now
		assert.Check(t, x.coldSends(7, false) < 0, "it is in touch")
		s.touched = now - outOfTouch - 60_000
		sum := 0
		for index := range 6 {
			s.slowStart.Take(slowstart.Grant{Current: slowstart.Part{Index: index, Count: 6}}, now-60_000, 1000)
			sum += x.coldSends(7, false)
			assert.Check(t, x.coldSends(7, true) == 0)
		}
		leased := 0
		for index := range 6 {
			s.slowStart.Take(slowstart.Grant{Current: slowstart.Part{Index: index, Count: 6}}, now, 60_000)
			leased += x.coldSends(7, true)
		}
		assert.Check(t, sum > 0 && leased > 0 && sum+leased <= 20, "%d and %d sends a second", sum, leased)
		s.slowStart = slowstart.Lease{}
		assert.Check(t, x.coldSends(7, false) > 0, "by what it was told of the members")
		s.members = 1
		assert.Check(t, x.coldSends(7, false) < 0, "there are no others")
	})
}

// TestAZoneThatIsTakenBackIsCold: the list is late to tell that its workers have become so.
func TestAZoneThatIsTakenBackIsCold(t *testing.T) {
	s := open(t, "coldExcess=1.5", "coldSlack=5")
	zoned := func(id, zone string) waymark.Worker {
		return waymark.Worker{ID: id, Destination: "a", Addr: id + ":80", Zone: zone, Berths: 2}
	}
	s.hear(roll(1, zoned("i-1", "a1"), zoned("i-2", "a2")), table(t, 1, []course{{prefix: "/", to: "a"}}))
	cold := func(id string) (ms float64) {
		s.on(func() {
			x := s.pools["a"]
			x.dest.ColdPerS, x.dest.ColdS = 10, 3
			ms = float64(x.coldUntil(s.workers[id]))/1000 - s.clock.Now()
		})
		return ms
	}
	s.hear(waymark.Signed{HasEvac: true, Evac: 5, Evacuated: []string{"a1"}}, nil)
	assert.Assert(t, cold("i-1") <= 0)
	s.hear(waymark.Signed{HasEvac: true, Evac: 6}, nil)
	assert.Assert(t, cold("i-1") > 0 && cold("i-1") <= 3000, "%v ms", cold("i-1"))
	assert.Assert(t, cold("i-2") <= 0, "its zone was never evacuated")
	s.hear(changes(2, zoned("i-1", "a1")), nil)
	assert.Assert(t, cold("i-1") > 0, "an old list ends it")
	s.on(func() { s.takenBack["a1"] -= 3000 })
	assert.Assert(t, cold("i-1") <= 0, "it is over")
	s.hear(waymark.Signed{HasEvac: true, Evac: 9, TakenBack: []string{"a2"}}, nil)
	assert.Assert(t, cold("i-2") > 0, "it was evacuated and taken back while nothing was heard")
}
