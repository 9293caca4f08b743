package bothy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
	"foxwood/internal/election"
	"foxwood/internal/membership"
	"foxwood/internal/quota"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// says has the cairn confirm a state.
func (s *stand) says(c waymark.Confirmed, err error) {
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) { return c, err }
	s.confirmWithTail(s.t.Context())
}

func state(seq, edition uint64, zones ...string) *cairn.State {
	st := &cairn.State{Last: cairn.Stamp{Seq: seq, View: 1}, Edition: edition, Body: []byte(configuration), Evacuated: map[string]uint64{}}
	for _, z := range zones {
		st.Evacuated[z] = seq
	}
	return st
}

// answer is what a gatekeeper with q hears at once.
func (s *stand) answer(q waymark.Sign) waymark.Signed {
	s.t.Helper()
	q.Member = membership.Member{Station: "p", Zone: "a1", Region: "a", Life: 1, Turn: uint64(s.now() * 1e3), Inner: "10.0.0.1:7460", Ready: true}
	a, err := s.handleHeartbeat(s.t.Context(), q)
	assert.NilError(s.t, err)
	return a
}

// TestHowOldTheTailsWordIs: it counts from when the tail was asked, not from its answer, and a
// failed asking does not make it newer. Keys' leases rest on that.
func TestHowOldTheTailsWordIs(t *testing.T) {
	s := open(t)
	a := s.answer(waymark.Sign{})
	assert.Assert(t, a.Stale, "before the tail's first word")

	const slow = 5000.0 // that the tail took to answer, and what goes by below: more than any machine stalls
	s.confirmed = func(waymark.Confirm) (waymark.Confirmed, error) {
		s.pass(slow)
		return waymark.Confirmed{Last: cairn.Stamp{Seq: 1}, State: state(1, 12)}, nil
	}
	s.confirmWithTail(t.Context())
	a = s.answer(waymark.Sign{})
	assert.Assert(t, a.AsOf <= -slow, "%v: it counts from the asking", a.AsOf)
	assert.Assert(t, a.Stale, "an answer that old")
	assert.Equal(t, a.Edition, uint64(12), "old news is news")

	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 1}}, nil)
	a = s.answer(waymark.Sign{})
	assert.Assert(t, a.AsOf <= 0 && a.AsOf > -slow, "%v", a.AsOf)
	s.pass(slow)
	s.says(waymark.Confirmed{}, rpc.Errorf(rpc.Unavailable, "no tail"))
	a = s.answer(waymark.Sign{})
	assert.Assert(t, a.Stale && a.AsOf <= -slow, "%v: a failed asking makes nothing newer", a.AsOf)
	assert.Equal(t, s.counters.ConfirmsFailed, uint64(1))

	// An answer that tells of something newer, without it, is no word that this bothy can pass on.
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 2}}, nil)
	assert.Assert(t, s.answer(waymark.Sign{}).Stale)

	// The tail was asked after the sign came in: the sum is above nothing.
	s.mu.Lock()
	s.tailConfirmedAt = s.now()
	a, _ = s.heartbeatAnswer(waymark.Sign{}, s.tailConfirmedAt-300)
	s.mu.Unlock()
	assert.Assert(t, a.AsOf > 299.9 && a.AsOf < 300.1, "%v", a.AsOf)
}

// TestRecalled: what the disk knows is passed on where there is nothing else, as stale.
func TestRecalled(t *testing.T) {
	s := open(t)
	s.says(waymark.Confirmed{Recalled: true}, nil) // the disk knows of nothing
	s.says(waymark.Confirmed{Recalled: true, State: state(5, 12, "a1")}, nil)
	a := s.answer(waymark.Sign{})
	assert.Assert(t, a.Stale)
	assert.Equal(t, a.Edition, uint64(12))
	assert.DeepEqual(t, a.Evacuated, []string{"a1"})
	s.says(waymark.Confirmed{Recalled: true, State: state(9, 13)}, nil)
	assert.Equal(t, s.answer(waymark.Sign{}).Edition, uint64(12), "it has something by now")
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 6}, State: state(6, 12)}, nil)
	a = s.answer(waymark.Sign{})
	assert.Equal(t, len(a.Evacuated), 0)
	assert.Equal(t, a.Evac, uint64(6))
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 5}, State: state(5, 12, "a1")}, nil)
	assert.Equal(t, s.answer(waymark.Sign{}).Evac, uint64(6), "nothing goes back")
}

// TestNews: a gatekeeper is told what it lacks, and nothing that it has.
func TestNews(t *testing.T) {
	s := open(t)
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 4}, State: state(4, 12, "a1")}, nil)
	s.endpoints.applyPlatformList(0, 1, []waymark.Worker{worker("i-1")})
	version := s.endpoints.version
	all := s.answer(waymark.Sign{})
	body, err := waymark.Inflate(all.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), configuration)
	for _, c := range []struct {
		name                string
		q                   waymark.Sign
		body, evac, workers bool
	}{
		{"all", waymark.Sign{}, true, true, true},
		{"an older configuration", waymark.Sign{Edition: 11, Evac: 4, Roster: version}, true, false, false},
		{"older evacuations", waymark.Sign{Edition: 12, Evac: 3, Roster: version}, false, true, false},
		{"an older roster", waymark.Sign{Edition: 12, Evac: 4, Roster: version - 1}, false, false, true},
		{"nothing", waymark.Sign{Edition: 12, Evac: 4, Roster: version}, false, false, false},
		{"who knows more", waymark.Sign{Edition: 13, Evac: 5, Roster: version + 1}, false, false, false},
	} {
		a := s.answer(c.q)
		assert.Equal(t, len(a.Body) > 0, c.body, c.name)
		assert.Equal(t, a.HasEvac, c.evac, c.name)
		assert.Equal(t, a.Marks != nil, c.workers, c.name)
		assert.Equal(t, len(a.Parts) > 0, c.workers, c.name)
		if c.workers {
			assert.Equal(t, a.Marks.Version, version, c.name)
			assert.DeepEqual(t, a.Marks.Behind, map[string]uint64{a.Parts[0].Destination: 0})
			assert.Equal(t, a.Parts[0].Version, version, c.name)
			assert.Equal(t, a.Parts[0].Workers[0].ID, "i-1", c.name)
		}
		assert.Equal(t, a.Edition, uint64(12), c.name)
	}
	assert.Assert(t, all.CoresNow != 0 && len(all.Cores) == 1)
	assert.Equal(t, all.Cores[0].Zone, "a1")
	assert.Assert(t, s.answer(waymark.Sign{Cores: all.CoresNow}).Cores == nil)
}

// TestASignWaitsForNews: what comes while it waits comes with its answer, or with that of the next.
func TestASignWaitsForNews(t *testing.T) {
	s := open(t)
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 4}, State: state(4, 12)}, nil)
	q := waymark.Sign{Edition: 12, Evac: 4, Wait: maxWaitMs, Member: membership.Member{Station: "p", Life: 1}}
	got := make(chan waymark.Signed, 1)
	go func() {
		defer close(got)
		for t.Context().Err() == nil {
			q.Member.Turn++
			if a, err := s.handleHeartbeat(t.Context(), q); err == nil && a.Edition == 13 {
				got <- a
				return
			}
		}
	}()
	for came := false; !came; {
		s.mu.Lock()
		came = s.counters.Signs > 0
		s.mu.Unlock()
	}
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 5}, State: state(5, 13)}, nil)
	a := <-got
	assert.Assert(t, len(a.Body) > 0 && a.HasEvac)
}

// TestTheCrowdIsToldOnceItIsWhole: by too few members gatekeepers would divide what cold workers
// bear and what quotas leave them.
func TestTheCrowdIsToldOnceItIsWhole(t *testing.T) {
	const other = "127.0.0.2:7460"
	s := open(t, "127.0.0.2:80")
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 1}, State: state(1, 12), View: &cairn.View{No: 1, Core: []cairn.Ident{{Addr: "127.0.0.1:7461"}, {Addr: "127.0.0.2:7461"}}}}, nil)
	s.mu.Lock()
	s.tailConfirmedAt = s.now()
	q := waymark.Sign{Member: membership.Member{Station: "p", Zone: "a1", Region: "a", Life: 1, Turn: 1, Ready: true}}
	s.sessions.Sign(s.now(), q.Member)
	s.sessions.Sign(s.now(), membership.Member{Station: "q", Zone: "a2", Region: "a", Life: 2, Turn: 1, Inner: "10.0.0.2:7460", Ready: true})
	born := s.now()
	told := func(at float64) waymark.Signed { // by a clock of our own: s.now() is at born and goes on
		a, _ := s.heartbeatAnswer(q, at)
		return a
	}
	s.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < sessionTimeoutMs { // else this machine stood still for over a second
		a := told(born)
		assert.Assert(t, !a.Settled && a.Crowd == nil, "the other bothy was not heard")
	}
	s.sessions.Hear(s.now(), membership.Page{From: other, Life: 9, Serial: 1})
	if s.now() < memberListDelayMs {
		a := told(born)
		assert.Assert(t, a.Settled && a.Crowd == nil, "its sessions may not all be told yet")
	}
	s.start = s.start.Add(-memberListDelayMs * 1e6)
	a := told(born)
	assert.Assert(t, a.Settled && a.Crowd != nil)
	assert.Equal(t, a.Crowd.Place, 0)
	assert.Equal(t, a.Crowd.Count, 2)
	assert.DeepEqual(t, a.Crowd.Peers, []string{"10.0.0.2:7460"})
	q.Crowd = a.Crowd.Mark
	assert.Assert(t, told(born).Crowd == nil, "it has that one")
}

// TestADrawIsPassedOnOnce: two bothies that each take the other for the holder must not send it
// round and round.
func TestADrawIsPassedOnOnce(t *testing.T) {
	heard := make(chan waymark.Draw, 9)
	slices := map[string]quota.Slice{"ana": {Rate: 2, Burst: 4}}
	addr := serve(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, q waymark.Draw) (waymark.Drawn, error) {
			heard <- q
			return waymark.Drawn{Slices: waymark.Pack(slices), Lease: 1300}, nil
		})
	})
	s := open(t)
	q := waymark.Draw{Station: "p", Life: 1, Turn: 1}
	_, err := s.handleQuotaRequest(t.Context(), q)
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "nobody has the duty")

	// The other one says that it has the duty.
	holds := func(from string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.election.Step(s.now(), election.Event{Kind: election.Heard, Message: election.Message{Kind: election.Announce, From: from, Held: []election.Tenure{{Duty: dutyQuota, Term: 3}}}})
	}
	s.peers[addr] = rpc.NewPeer(addr)
	var got waymark.Drawn
	for until := time.Now().Add(patience); err != nil && time.Now().Before(until); { // a machine that stands still is late
		holds(addr)
		got, err = s.handleQuotaRequest(t.Context(), q)
	}
	assert.NilError(t, err)
	assert.Equal(t, waymark.Unpack(got.Slices)["ana"].Rate, 2.0)
	for range len(heard) {
		assert.Assert(t, (<-heard).Passed)
	}
	holds(addr)
	q.Passed = true
	_, err = s.handleQuotaRequest(t.Context(), q)
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable)
	assert.Equal(t, len(heard), 0)
	holds("10.9.9.9:1") // a holder that is not known
	q.Passed = false
	_, err = s.handleQuotaRequest(t.Context(), q)
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable)
}

// TestTheHolderAllots, and refuses an asking that another has overtaken.
func TestTheHolderAllots(t *testing.T) {
	s := open(t)
	self := s.settings.Inner(registryPort)
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 1}, State: state(1, 12), View: &cairn.View{No: 1, Core: []cairn.Ident{{Addr: "127.0.0.1:7461"}}}}, nil)
	for holder := ""; holder != self; { // one that votes alone wins at a step of its own
		s.mu.Lock()
		s.election.Electorate(s.now(), s.now(), []string{self}, 1, 0)
		s.mu.Unlock()
		s.stepElection(t.Context())
		s.mu.Lock()
		holder = s.election.Holder(s.now(), dutyQuota)
		s.mu.Unlock()
		s.pass(20)
	}
	draw := func(turn uint64, passed bool) (waymark.Drawn, error) {
		s.mu.Lock()
		s.election.Electorate(s.now(), s.now(), []string{self}, 1, 0)
		s.mu.Unlock()
		s.stepElection(t.Context()) // the duty is renewed right before
		return s.handleQuotaRequest(t.Context(), waymark.Draw{Station: "p", Life: 1, Turn: turn, Passed: passed})
	}
	once := draw
	draw = func(turn uint64, passed bool) (a waymark.Drawn, err error) {
		for until := time.Now().Add(patience); time.Now().Before(until); { // a machine that stands still loses its duty
			if a, err = once(turn, passed); rpc.KindOf(err) != rpc.Unavailable {
				break
			}
		}
		return a, err
	}
	a, err := draw(2, true)
	assert.NilError(t, err)
	assert.Equal(t, a.Lease, allocationLeaseMs)
	_, err = draw(2, false)
	assert.Equal(t, rpc.KindOf(err), rpc.Stale)
	_, err = draw(1, false)
	assert.Equal(t, rpc.KindOf(err), rpc.Stale)
	_, err = draw(3, false)
	assert.NilError(t, err)
	s.shutDown()
	_, err = s.handleQuotaRequest(t.Context(), waymark.Draw{Station: "p", Life: 1, Turn: 4})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "who leaves has given its duty up")
}

// TestASilentPeerHoldsUpNobodyElse: while one does not answer, the others are told in each round, and it is not told
// twice at a time.
func TestASilentPeerHoldsUpNobodyElse(t *testing.T) {
	told := make(chan string, 16)
	end := make(chan struct{})
	peer := func(name string, answers bool) string {
		return serve(t, func(server *rpc.Server) {
			rpc.Handle(server, func(ctx context.Context, _ waymark.Gossip) (waymark.Heard, error) {
				told <- name
				if !answers {
					<-end
				}
				return waymark.Heard{}, nil
			})
		})
	}
	s := open(t)
	for _, p := range []*rpc.Peer{rpc.NewPeer(peer("silent", false)), rpc.NewPeer(peer("other", true))} {
		t.Cleanup(p.Close)
		s.peers[p.Addr()] = p
	}
	t.Cleanup(func() { close(end) })
	for range 3 {
		s.gossip(t.Context())
	}
	count := map[string]int{}
	for len(told) > 0 {
		count[<-told]++
	}
	assert.Equal(t, count["silent"], 1)
	assert.Equal(t, count["other"], 3)
}

// TestZonesThatWereTakenBackAreNamed: also to who never heard that they were evacuated, once, and not to who has just
// started.
func TestZonesThatWereTakenBackAreNamed(t *testing.T) {
	s := open(t)
	st := state(8, 12, "a1")
	st.Touched = map[string]cairn.Stamp{"a1": {Seq: 8, View: 1}, "a2": {Seq: 7, View: 1}, "a3": {Seq: 4, View: 1}}
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 8}, State: st}, nil)
	for have, want := range map[uint64][]string{0: nil, 3: {"a2", "a3"}, 5: {"a2"}, 7: nil} {
		a := s.answer(waymark.Sign{Evac: have})
		assert.Assert(t, a.HasEvac)
		assert.DeepEqual(t, a.TakenBack, want)
		assert.DeepEqual(t, a.Evacuated, []string{"a1"})
	}
}
