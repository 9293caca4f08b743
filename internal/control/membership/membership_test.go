package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func newMember(node string, incarnation, sequence uint64) Member {
	return Member{Node: node, Zone: "z1", Region: "r1", Incarnation: incarnation, Sequence: sequence, ClientAddr: node + ":1", Ready: true}
}

func nodesOf(list MemberList) []string {
	nodes := []string{}
	for _, member := range list.Members {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

func TestMemberWhileHeartbeatsArrive(t *testing.T) {
	registry := New("b1", 1, 0, 0)
	registry.Heartbeat(0, newMember("b", 1, 1))
	registry.Heartbeat(0, newMember("a", 1, 1))
	assert.DeepEqual(t, nodesOf(registry.Members(1500)), []string{"a", "b"})
	registry.Heartbeat(1500, newMember("a", 1, 2))
	assert.DeepEqual(t, nodesOf(registry.Members(1501)), []string{"a"})
	assert.DeepEqual(t, registry.KnownNodes(30_000), []string{"a", "b"})
	assert.DeepEqual(t, registry.KnownNodes(30_001), []string{"a"})
	assert.Equal(t, len(registry.KnownNodes(40_000)), 0)
}

func TestVersionIncreasesOnlyWithContent(t *testing.T) {
	registry := New("b1", 1, 0, 0)
	member := newMember("a", 1, 1)
	assert.Equal(t, registry.Members(0).Version, uint64(1))
	registry.Heartbeat(0, member)
	assert.Equal(t, registry.Members(0).Version, uint64(2))
	for i := range 10 {
		member.Sequence, member.Load = uint64(i+2), float64(i)
		registry.Heartbeat(float64(i*500), member)
		assert.Equal(t, registry.Members(float64(i*500)).Version, uint64(2))
	}
	assert.Equal(t, registry.Members(4500).Members[0].Load, 9.0)
	member.Sequence, member.Leaving = 20, true
	registry.Heartbeat(4600, member)
	assert.Equal(t, registry.Members(4600).Version, uint64(3))
	assert.Equal(t, registry.Members(9000).Version, uint64(4))
	assert.Equal(t, registry.Members(9500).Version, uint64(4))
}

func TestMoveCountsOnceAndNewerHeartbeatWins(t *testing.T) {
	first, second := New("b1", 1, 0, 0), New("b2", 2, 70_000, 0)
	first.Heartbeat(0, newMember("a", 7, 1))
	delayed := first.FullReport(400)
	moved := newMember("a", 7, 2)
	moved.Leaving = true
	second.Heartbeat(70_500, moved)
	second.Receive(70_600, delayed) // the receiver's clock started at 70 s, and the report is delayed
	list := second.Members(70_600)
	assert.DeepEqual(t, nodesOf(list), []string{"a"})
	assert.Assert(t, list.Members[0].Leaving)

	first.Receive(700, second.FullReport(70_700))
	assert.Assert(t, first.Members(700).Members[0].Leaving)
	assert.DeepEqual(t, nodesOf(first.Members(1900)), []string{"a"})
	assert.DeepEqual(t, nodesOf(first.Members(2100)), []string{})
}

func TestStaleReportsAreIgnored(t *testing.T) {
	sender, receiver := New("b1", 1, 0, 0), New("b2", 2, 0, 0)
	sender.Heartbeat(0, newMember("a", 7, 1))
	older, newer := sender.FullReport(0), sender.FullReport(1000)
	receiver.Receive(1000, newer)
	receiver.Receive(1400, older)
	receiver.Receive(1400, newer)
	assert.DeepEqual(t, nodesOf(receiver.Members(1500)), []string{"a"})
	assert.DeepEqual(t, nodesOf(receiver.Members(1501)), []string{})
	assert.DeepEqual(t, receiver.ConnectedPeers(2500), []string{"b1"})
	assert.Equal(t, len(receiver.ConnectedPeers(2501)), 0)

	restarted := New("b1", 9, 5000, 0)
	restarted.Heartbeat(5000, newMember("a", 7, 2))
	receiver.Receive(2600, restarted.FullReport(5000))
	assert.DeepEqual(t, nodesOf(receiver.Members(2600)), []string{"a"})
	lateReport := Report{From: "b1", Incarnation: 1, Sequence: 99, Sessions: []Session{{Member: newMember("x", 1, 1)}}}
	receiver.Receive(2700, lateReport)
	assert.DeepEqual(t, nodesOf(receiver.Members(2700)), []string{"a"})
}

func TestReplacedIncarnationStaysEnded(t *testing.T) {
	registry := New("b1", 1, 0, 0)
	registry.Heartbeat(0, newMember("a", 7, 50))
	registry.Heartbeat(100, newMember("a", 8, 1))
	registry.Heartbeat(200, newMember("a", 7, 51))
	assert.Equal(t, registry.Members(200).Members[0].Incarnation, uint64(8))
	registry.Receive(300, Report{From: "b2", Incarnation: 1, Sequence: 1, Sessions: []Session{{Member: newMember("a", 7, 52)}}})
	assert.Equal(t, registry.Members(300).Members[0].Incarnation, uint64(8))

	// A very late report must not exclude the running incarnation for good.
	registry.Heartbeat(5000, newMember("a", 7, 60))
	assert.Equal(t, registry.Members(5000).Members[0].Incarnation, uint64(7))
}

// TestRestartedWithin checks that what an incarnation may use once counts from its first report,
// whoever sent it.
func TestRestartedWithin(t *testing.T) {
	registry := New("b1", 1, 0, 0)
	registry.Heartbeat(0, newMember("a", 7, 50))
	assert.Assert(t, !registry.RestartedWithin(10, "a", 7000), "a first incarnation")
	registry.Heartbeat(3000, newMember("a", 7, 80))
	registry.Receive(4000, Report{From: "b2", Incarnation: 1, Sequence: 1, Sessions: []Session{{Member: newMember("a", 8, 1)}}})
	assert.Assert(t, registry.RestartedWithin(6999, "a", 7000))
	assert.Assert(t, !registry.RestartedWithin(7000, "a", 7000))
	registry.Heartbeat(8000, newMember("a", 9, 1))
	assert.Assert(t, registry.RestartedWithin(10999, "a", 7000), "incarnation 8 was first reported at 4000")
	assert.Assert(t, !registry.RestartedWithin(11000, "a", 7000))
	assert.Assert(t, !registry.RestartedWithin(8000, "z", 7000), "an unknown node")
}

func TestUnknownIncarnationWithOlderHeartbeatIsEnded(t *testing.T) {
	registry := New("b1", 1, 0, 0)
	registry.Heartbeat(1000, newMember("a", 8, 1))
	registry.Receive(1100, Report{From: "b2", Incarnation: 1, Sequence: 1, Sessions: []Session{{Member: newMember("a", 7, 9), AgeMs: 500}}})
	registry.Receive(1200, Report{From: "b2", Incarnation: 1, Sequence: 2, Sessions: []Session{{Member: newMember("a", 7, 9), AgeMs: 10}}})
	assert.Equal(t, registry.Members(1200).Members[0].Incarnation, uint64(8))
}

func TestLeavingAppliesEverywhere(t *testing.T) {
	first, second := New("b1", 1, 0, 0), New("b2", 2, 0, 0)
	second.Heartbeat(0, newMember("a", 7, 1))
	staleReport := second.FullReport(0)
	first.Heartbeat(100, newMember("a", 7, 2))
	first.Leave(150, "a", 6)
	assert.DeepEqual(t, nodesOf(first.Members(150)), []string{"a"})
	first.Leave(200, "a", 7)
	first.Receive(210, staleReport)
	assert.DeepEqual(t, nodesOf(first.Members(210)), []string{})
	second.Receive(220, first.FullReport(220))
	second.Heartbeat(230, newMember("a", 7, 3))
	assert.DeepEqual(t, nodesOf(second.Members(230)), []string{})
	assert.DeepEqual(t, second.KnownNodes(230), []string{"a"})
	second.Heartbeat(240, newMember("a", 8, 1))
	assert.DeepEqual(t, nodesOf(second.Members(240)), []string{"a"})
}

func TestIsComplete(t *testing.T) {
	registry := New("b1", 1, 1000, 0)
	all := []string{"b1", "b2"}
	assert.Assert(t, !registry.IsComplete(1100, all))
	registry.Receive(1200, Report{From: "b2", Incarnation: 1, Sequence: 1})
	assert.Assert(t, registry.IsComplete(1200, all))
	assert.Assert(t, !registry.IsComplete(2500, []string{"b3"}), "the only other node has never sent a report")
	assert.Assert(t, registry.IsComplete(2500, []string{"b1"}), "there are no other nodes")
}

// TestPartitionedNodeIsNotSettled checks that the member list of a partitioned registry is not
// passed on. It lacks the members with sessions elsewhere, from the partition until a lapse time after
// the majority is connected again or until all are.
func TestPartitionedNodeIsNotSettled(t *testing.T) {
	all := []string{"b1", "b2", "b3", "b4"}
	registry := New("b1", 1, 0, 1500)
	serial := uint64(0)
	receive := func(now float64, from ...string) {
		serial++
		for _, name := range from {
			registry.Receive(now, Report{From: name, Incarnation: 1, Sequence: serial})
		}
	}
	for now := 0.0; now < 3000; now += 300 {
		receive(now, "b2", "b3", "b4")
	}
	assert.Assert(t, registry.IsComplete(2900, all))
	for now := 3000.0; now < 6000; now += 300 {
		receive(now, "b2", "b3") // one node is lost
		assert.Assert(t, registry.IsComplete(now, all), "%v", now)
	}
	receive(6000, "b2") // half of the nodes are not enough once the other half has timed out
	assert.Assert(t, !registry.IsComplete(5700+peerTimeoutMs+1, all))
	assert.Assert(t, !registry.IsComplete(20_000, all), "no node has sent a report for long")
	for now := 20_000.0; now < 21_500; now += 300 {
		receive(now, "b2", "b3")
		assert.Assert(t, !registry.IsComplete(now, all), "at %v: members with sessions at the fourth node may not have been reported", now)
	}
	receive(21_500, "b2", "b3")
	assert.Assert(t, registry.IsComplete(21_500, all))
	receive(40_000, "b2", "b3", "b4")
	assert.Assert(t, registry.IsComplete(40_000, all), "all nodes are connected")
}

func TestCompleteAsOf(t *testing.T) {
	registry := New("a", 1, 0, 1000)
	_, known := registry.CompleteAsOf(50, []string{"a", "b"})
	assert.Assert(t, !known, "a node that has never sent a report")
	registry.Receive(100, Report{From: "b", Incarnation: 1, Sequence: 1})
	registry.Receive(300, Report{From: "c", Incarnation: 1, Sequence: 1})
	at, known := registry.CompleteAsOf(900, []string{"a", "b", "c"})
	assert.Assert(t, known && at == 100)
	at, known = registry.CompleteAsOf(900, []string{"a"})
	assert.Assert(t, known && at == 900)
}

func TestMemberIndex(t *testing.T) {
	list := MemberList{Members: []Member{{Node: "a"}, {Node: "c"}}}
	memberIndex, count := list.MemberIndex("c")
	assert.Equal(t, memberIndex, 1)
	assert.Equal(t, count, 2)
	memberIndex, _ = list.MemberIndex("b")
	assert.Equal(t, memberIndex, -1)
}

// members returns a member list with a number of members per zone. The region is the first letter of
// the zone.
func members(countByZone map[string]int, modify func(*Member)) MemberList {
	var list MemberList
	for zone, n := range countByZone {
		for i := range n {
			member := Member{Node: fmt.Sprint(zone, "-", i), Zone: zone, Region: zone[:1], ClientAddr: fmt.Sprint(zone, "-", i), PeerAddr: fmt.Sprint(zone, "-", i), Ready: true}
			if modify != nil {
				modify(&member)
			}
			list.Members = append(list.Members, member)
		}
	}
	slices.SortFunc(list.Members, func(a, b Member) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return list
}

func TestResolve(t *testing.T) {
	for _, testCase := range []struct {
		name        string
		countByZone map[string]int
		modify      func(*Member)
		want        map[string]int
	}{
		{"the zone's own members", map[string]int{"a1": 3, "a2": 3, "b1": 3}, nil, map[string]int{"a1": 3}},
		{"a single member is joined by the region", map[string]int{"a1": 1, "a2": 2, "b1": 3}, nil, map[string]int{"a1": 1, "a2": 2}},
		{"none in the region, all others", map[string]int{"b1": 3, "c1": 1}, nil, map[string]int{"b1": 3, "c1": 1}},
		{"a zone that lost most of its members", map[string]int{"a1": 2, "a2": 9, "b1": 3}, nil, map[string]int{"a1": 2, "a2": 9}},
		{"a zone with half as many as another", map[string]int{"a1": 2, "a2": 4}, nil, map[string]int{"a1": 2}},
		{"leaving members don't count", map[string]int{"a1": 3, "a2": 1}, func(g *Member) { g.Leaving = g.Zone == "a1" }, map[string]int{"a2": 1}},
		{"none ready", map[string]int{"a1": 2, "a2": 2}, func(g *Member) { g.Ready = false }, map[string]int{"a1": 2}},
		{"all leaving", map[string]int{"b1": 2}, func(g *Member) { g.Leaving = true }, map[string]int{"b1": 2}},
		{"no members", nil, nil, map[string]int{}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			list := members(testCase.countByZone, testCase.modify)
			found := Resolve(5, list, "a", "a1", 64)
			got := map[string]int{}
			for _, a := range found {
				got[a[:2]]++
			}
			assert.DeepEqual(t, got, testCase.want)
			assert.DeepEqual(t, found, Resolve(5, list, "a", "a1", 64))
		})
	}
}

func TestResolveRotatesLargeGroups(t *testing.T) {
	list := members(map[string]int{"a1": 10}, nil)
	seen := map[string]int{}
	before := Resolve(0, list, "a", "a1", 4)
	for now := 0.0; now < 20_000; now += rotationMs {
		found := Resolve(now, list, "a", "a1", 4)
		assert.Equal(t, len(found), 4)
		kept := 0
		for _, a := range found {
			seen[a]++
			if slices.Contains(before, a) {
				kept++
			}
		}
		assert.Assert(t, kept >= 3)
		before = found
	}
	assert.Equal(t, len(seen), 10)
	for _, n := range seen {
		assert.Equal(t, n, 4)
	}
}

func TestOwnerChangesOnlyForLostMembers(t *testing.T) {
	list := members(map[string]int{"a1": 5, "a2": 2}, nil)
	fewer := MemberList{Members: slices.DeleteFunc(slices.Clone(list.Members), func(g Member) bool { return g.Node == "a1-2" })}
	countByOwner := map[string]int{}
	for i := range 500 {
		service := fmt.Sprint("s", i)
		before, after := Owner(list, "a1", service), Owner(fewer, "a1", service)
		countByOwner[before]++
		assert.Assert(t, before == after || before == "a1-2")
	}
	assert.Equal(t, len(countByOwner), 5)
	for _, n := range countByOwner {
		assert.Assert(t, n > 60)
	}
	assert.Equal(t, Owner(list, "zz", "s"), "")
}

// TestNodesAgree has gatekeepers send heartbeats, move to another registry and restart while
// reports get lost, delayed and duplicated. Soon afterwards, every running gatekeeper must be a member
// everywhere, and every ended incarnation nowhere.
func TestNodesAgree(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const registryCount, gatekeepers = 3, 8
		clockOffsetMs := [registryCount]float64{0, 1e6, 5e7}
		var registries [registryCount]*Registry
		for i := range registries {
			registries[i] = New(fmt.Sprint("b", i), rng.Uint64(), clockOffsetMs[i], 0)
		}
		type gatekeeper struct {
			incarnation, sequence uint64
			registryIndex         int
			down                  bool
		}
		gatekeeperStates := [gatekeepers]gatekeeper{}
		for i := range gatekeeperStates {
			gatekeeperStates[i] = gatekeeper{incarnation: rng.Uint64(), registryIndex: rng.IntN(registryCount)}
		}
		type message struct {
			dueAt float64
			to    int
			page  Report
		}
		var messages []message
		for now := 0.0; now < 20_000; now += 50 {
			faulty := now < 15_000
			for i := range gatekeeperStates {
				gatekeeper := &gatekeeperStates[i]
				if faulty && rng.IntN(60) == 0 {
					gatekeeper.down = !gatekeeper.down
					if !gatekeeper.down {
						gatekeeper.incarnation, gatekeeper.sequence = rng.Uint64(), 0
					}
				}
				if faulty && rng.IntN(40) == 0 {
					gatekeeper.registryIndex = rng.IntN(registryCount)
				}
				if !gatekeeper.down && (int(now)/50+i)%8 == 0 {
					gatekeeper.sequence++
					registries[gatekeeper.registryIndex].Heartbeat(now+clockOffsetMs[gatekeeper.registryIndex], newMember(fmt.Sprint("g", i), gatekeeper.incarnation, gatekeeper.sequence))
				}
			}
			if int(now)%250 == 0 {
				for i := range registries {
					report := registries[i].FullReport(now + clockOffsetMs[i])
					for to := range registries {
						for range 1 + rng.IntN(2) {
							if to != i && !(faulty && rng.IntN(4) == 0) {
								delayMs := 20 + rng.Float64()*80
								if faulty && rng.IntN(10) == 0 {
									delayMs += 1000
								}
								messages = append(messages, message{now + delayMs, to, report})
							}
						}
					}
				}
			}
			messages = slices.DeleteFunc(messages, func(pending message) bool {
				if pending.dueAt <= now {
					registries[pending.to].Receive(now+clockOffsetMs[pending.to], pending.page)
				}
				return pending.dueAt <= now
			})
		}
		for i := range registries {
			list := registries[i].Members(20_000 + clockOffsetMs[i])
			got := map[string]uint64{}
			for _, gatekeeper := range list.Members {
				got[gatekeeper.Node] = gatekeeper.Incarnation
			}
			want := map[string]uint64{}
			for k, gatekeeper := range gatekeeperStates {
				if !gatekeeper.down {
					want[fmt.Sprint("g", k)] = gatekeeper.incarnation
				}
			}
			assert.DeepEqual(t, got, want)
		}
	}
}

// TestBriefReportRenewsKnownSessions checks that unchanged sessions are renewed without being reported
// in full again.
func TestBriefReportRenewsKnownSessions(t *testing.T) {
	sender, receiver := New("a", 1, 0, 1500), New("b", 2, 0, 1500)
	sender.Heartbeat(0, newMember("g1", 11, 1))
	sender.Heartbeat(0, newMember("g2", 12, 1))
	mark := sender.ContentHash(0)
	receiver.Receive(0, sender.FullReport(0))
	sender.Heartbeat(1400, newMember("g1", 11, 5))
	assert.Equal(t, sender.ContentHash(1400), mark, "sequence numbers and ages are no change")
	receiver.Receive(1400, sender.BriefReport(1400))
	assert.DeepEqual(t, nodesOf(receiver.Members(1600)), []string{"g1"})
	assert.Equal(t, receiver.Members(1600).Members[0].Sequence, uint64(5))

	sender.Heartbeat(1700, newMember("g3", 13, 1))
	assert.Assert(t, sender.ContentHash(1700) != mark, "a new gatekeeper requires a full report")
	receiver.Receive(1700, sender.BriefReport(1700))
	assert.DeepEqual(t, nodesOf(receiver.Members(1700)), []string{"g1"}) // an unknown incarnation is not added
	receiver.Receive(1700, sender.FullReport(1700))
	assert.DeepEqual(t, nodesOf(receiver.Members(1700)), []string{"g1", "g3"})

	sender.Leave(1800, "g1", 11)
	assert.Assert(t, sender.ContentHash(1800) != mark)
	for _, s := range sender.BriefReport(1800).Renewals {
		assert.Assert(t, s.Incarnation != 11, "a gatekeeper that has left is not renewed")
	}
}

// TestMemberListIsNeverStale checks that the cached member list always equals a newly computed one,
// whatever happens between two requests.
func TestMemberListIsNeverStale(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		cached, uncached := New("a", 1, 0, 100), New("a", 1, 0, 100)
		now := 0.0
		for step := range 400 {
			now += float64(rng.IntN(40))
			member := Member{Node: string(rune('a' + rng.IntN(5))), Incarnation: uint64(1 + rng.IntN(2)), Sequence: uint64(step), Ready: rng.IntN(9) > 0}
			switch rng.IntN(8) {
			case 0:
				cached.Leave(now, member.Node, member.Incarnation)
				uncached.Leave(now, member.Node, member.Incarnation)
			case 1:
				page := Report{From: "b", Incarnation: 2, Sequence: uint64(step), Sessions: []Session{{Member: member, AgeMs: float64(rng.IntN(150)), Left: rng.IntN(6) == 0}}}
				cached.Receive(now, page)
				uncached.Receive(now, page)
			default:
				cached.Heartbeat(now, member)
				uncached.Heartbeat(now, member)
			}
			got := cached.Members(now).Members
			if rng.IntN(10) == 0 {
				uncached.membersValidUntil = 0
				want := uncached.Members(now).Members
				assert.Assert(t, slices.EqualFunc(got, want, equalExceptLoad), "seed %d step %d: %v and %v", seed, step, got, want)
			}
		}
	}
}

// TestReportDelayedByFreeze checks that a registry that freezes between making and sending a
// report doesn't make gatekeepers look alive elsewhere that have ended since. Clock drift, and reports
// that are all equally slow, make no session look old.
func TestReportDelayedByFreeze(t *testing.T) {
	const clockOffsetMs, delayMs = 5_000_000, 55
	sender, receiver := New("b1", 1, clockOffsetMs, 0), New("b2", 2, 0, 0)
	deliver := func(madeAt, arrivesAt float64) {
		receiver.Receive(arrivesAt, sender.FullReport(madeAt+clockOffsetMs))
	}
	sender.Heartbeat(clockOffsetMs, newMember("a", 1, 1))
	deliver(0, delayMs)
	sender.Heartbeat(clockOffsetMs+500, newMember("a", 1, 2))
	deliver(600, 600+delayMs)
	assert.Equal(t, len(receiver.Members(700).Members), 1)
	sender.Heartbeat(clockOffsetMs+1000, newMember("a", 1, 3))
	for _, page := range []Report{sender.FullReport(clockOffsetMs + 1100), sender.BriefReport(clockOffsetMs + 1100)} { // sent 20 s after they were made
		receiver.Receive(21_100, page)
		assert.Equal(t, len(receiver.Members(21_100).Members), 0)
	}
	sender.Heartbeat(clockOffsetMs+21_200, newMember("a", 1, 4)) // it is running
	deliver(21_300, 21_300+delayMs)
	assert.Equal(t, len(receiver.Members(21_400).Members), 1)

	// The sender's clock loses half a millisecond per second: even over hours none of that may count as
	// age.
	sequence := uint64(5)
	for now := 22_000.0; now < 6*3600e3; now += 1000 {
		madeAt := now * 0.9995
		sequence++
		sender.Heartbeat(clockOffsetMs+madeAt, newMember("a", 1, sequence))
		deliver(madeAt, now+delayMs)
		assert.Equal(t, len(receiver.Members(now+delayMs+1000).Members), 1, "at %v", now)
	}
}

// TestRestoredStarts checks that what an earlier process recorded counts from this process's start
// until the window is over.
func TestRestoredStarts(t *testing.T) {
	registry := New("x:1", 1, 0, 0)
	registry.RestoreStarts(0, []string{"a", "b"})
	registry.Heartbeat(100, Member{Node: "a", Incarnation: 7, Sequence: 1})
	assert.Assert(t, registry.RestartedWithin(6999, "a", 7000) && !registry.RestartedWithin(7000, "a", 7000))
	assert.Assert(t, registry.StartedWithin(200, "a", 7000) && !registry.StartedWithin(200, "c", 7000))
	assert.DeepEqual(t, registry.RecentlyStarted(200, 7000), []string{"a", "b"})
	assert.DeepEqual(t, registry.RecentlyStarted(7050, 7000), []string{"a"})
	assert.Equal(t, len(registry.RecentlyStarted(7100, 7000)), 0)
}
