package mirror

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// removeMember removes a gatekeeper from the member list, without telling the others.
func (c *testCluster) removeMember(node string) {
	var remaining []Member
	for _, member := range c.members {
		if member.Node != node {
			remaining = append(remaining, member)
		}
	}
	c.members = remaining
}

// A flow whose requests pass through three gatekeepers is delivered once, with all pieces in order.
func TestCompleteFlowIsDeliveredOnceInOrder(t *testing.T) {
	cluster := newTestCluster(t, 3, newRule(t, 1, 1, ""))
	for i, node := range []string{"g0", "g2", "g1", "g1"} {
		cluster.send(node, "v", fmt.Sprint(i))
		cluster.run(7)
	}
	assert.Equal(t, len(cluster.deliveries), 0) // the flow has not ended
	cluster.run(80)
	assert.DeepEqual(t, cluster.deliveredBodies(), []string{"0 1/4 fine", "1 2/4 fine", "2 3/4 fine", "3 4/4 fine"})
	assert.Equal(t, len(cluster.brokenByCause()), 0)
	cluster.send("g0", "v", "again") // a later request with the same name starts another flow
	cluster.run(80)
	assert.Equal(t, len(cluster.deliveries), 5)
	for _, engine := range cluster.engines {
		assert.Equal(t, engine.usedBytes, 0)
	}
}

// Every event that breaks a flow is counted under its own cause, and the flow is not delivered.
func TestBrokenFlowIsCountedByCause(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		fields    string // further JSON fields of the rule
		breakFlow func(cluster *testCluster, name string)
		want      Cause
	}{
		{"no memory at a gatekeeper", "", func(cluster *testCluster, name string) {
			engine := cluster.engines["g0"]
			ticket := engine.StartRequest(cluster.now, requestInfo(name))
			engine.usedBytes += engine.maxBytes
			engine.FinishRequest(cluster.now, ticket, newRequest("b"), LiveResponse{})
			engine.usedBytes -= engine.maxBytes
		}, GatekeeperFull},
		{"a gatekeeper is overloaded", "", func(cluster *testCluster, name string) {
			cluster.engines["g0"].SetOverloaded(cluster.now, true)
			cluster.send("g0", name, "b")
			cluster.engines["g0"].SetOverloaded(cluster.now, false)
		}, Overloaded},
		{"a body over the limit", `,"maxBody":3`, func(cluster *testCluster, name string) { cluster.send("g0", name, "long") }, BodyTooLarge},
		{"no complete answer", "", func(cluster *testCluster, name string) {
			engine := cluster.engines["g0"]
			engine.DropRequest(cluster.now, engine.StartRequest(cluster.now, requestInfo(name)), NoAnswer)
		}, NoAnswer},
		{"a request without an answer", "", func(cluster *testCluster, name string) {
			cluster.engines["g0"].StartRequest(cluster.now, requestInfo(name))
			cluster.run(maxRequestMs/1000 + 1)
		}, NoAnswer},
		{"outside the allowed regions", "", func(cluster *testCluster, name string) {
			info := requestInfo(name)
			info.AllowedRegions = []string{"elsewhere"}
			assert.Equal(cluster.t, cluster.engines["g0"].StartRequest(cluster.now, info), Ticket(0))
		}, OutsideRegion},
		{"a gatekeeper died", "", func(cluster *testCluster, name string) {
			cluster.send("g0", name, "b")
			cluster.removeMember("g0")
			delete(cluster.engines, "g0")
			cluster.run(3)
			member, others := Member{"g0", 77, "", ""}, cluster.members
			for cluster.members = append([]Member{member}, others...); cluster.collector(name) != "g1"; cluster.members[0] = member { // an incarnation that does not become the flow's collector
				member.Incarnation++
				cluster.members[0] = member
			}
			cluster.startEngine(member, cluster.engines["g1"].rule)
			cluster.run(1)
			cluster.announceMembers()
		}, MemberDied},
		{"a gatekeeper dropped its items", "", func(cluster *testCluster, name string) {
			engine := cluster.engines["g0"]
			engine.usedBytes += engine.maxBytes * 2
			engine.reportLost(cluster.now, cluster.collectorKey(name), FlowID{1, 2}, engine.rule, cluster.now, GatekeeperFull)
			engine.usedBytes -= engine.maxBytes * 2
		}, ItemsLost},
		{"a gatekeeper does not respond", "", func(cluster *testCluster, name string) { cluster.unreachable["g0"] = true; cluster.run(200) }, Unresponsive},
		{"the rule changed", "", func(cluster *testCluster, name string) { cluster.setRule(newRule(cluster.t, 2, 1, `,"region":"x"`)) }, RuleChanged},
		{"mirroring was stopped", "", func(cluster *testCluster, name string) {
			rule, _ := ParseRule([]byte(`{"number":2,"stopped":true}`))
			cluster.setRule(rule)
		}, RuleStopped},
		{"a mirror target became a live worker", "", func(cluster *testCluster, name string) {
			for _, engine := range cluster.engines {
				engine.SetLiveAddresses(cluster.now, map[string]bool{"[::ffff:10.0.0.9]:80": true})
			}
		}, TargetIsLive},
		{"no memory at the collector", "", func(cluster *testCluster, name string) {
			engine := cluster.engines["g1"]
			engine.usedBytes += engine.maxBytes - 200
			cluster.send("g2", name, "b")
			cluster.run(2)
			engine.usedBytes -= engine.maxBytes - 200
		}, CollectorFull},
		{"too long", "", func(cluster *testCluster, name string) {
			for range 21 {
				cluster.send("g2", name, "b")
				cluster.run(30)
			}
		}, TooLong},
		{"the queue of the mirror target is full", "", func(cluster *testCluster, name string) {
			cluster.engines["g1"].target("10.0.0.9:80").queuedBytes = 1 << 20
		}, TargetQueueFull},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			cluster := newTestCluster(t, 3, newRule(t, 1, 1, testCase.fields))
			name := cluster.flowName("g1", 0, 1)
			cluster.send("g2", name, "a")
			cluster.run(1)
			testCase.breakFlow(cluster, name)
			cluster.run(70)
			assert.Equal(t, len(cluster.deliveries), 0, "%v", cluster.deliveredBodies())
			assert.Assert(t, cluster.brokenByCause()[testCase.want] > 0, "%v", cluster.brokenByCause())
		})
	}
}

// collectorKey returns the key of the member that collects the flow with that name.
func (c *testCluster) collectorKey(name string) memberKey {
	for _, member := range c.members {
		if member.Node == c.collector(name) {
			return member.key()
		}
	}
	return memberKey{}
}

// setRule applies a rule at all gatekeepers.
func (c *testCluster) setRule(rule *Rule) {
	for _, engine := range c.engines {
		engine.SetRule(c.now, rule)
	}
}

// A broken flow is delivered, marked as broken, if the rule says so.
func TestBrokenFlowIsDeliveredIfRuleSaysSo(t *testing.T) {
	cluster := newTestCluster(t, 3, newRule(t, 1, 1, `,"broken":"deliver","maxBody":3`))
	cluster.send("g0", "v", "a")
	cluster.send("g1", "v", "long")
	cluster.run(70)
	assert.DeepEqual(t, cluster.deliveredBodies(), []string{"a 1/1 too_large"})
}

// A flow is not delivered while a gatekeeper can't be reached. The pieces that this gatekeeper has
// copied meanwhile still get their place in the flow.
func TestFlowWaitsForUnreachableGatekeeper(t *testing.T) {
	cluster := newTestCluster(t, 3, newRule(t, 1, 1, ""))
	name := cluster.flowName("g1", 0, 1)
	cluster.send("g2", name, "a")
	cluster.run(1)
	cluster.unreachable["g0"] = true
	cluster.send("g0", name, "b")
	cluster.run(1)
	cluster.send("g2", name, "c")
	cluster.run(80)
	assert.Equal(t, len(cluster.deliveries), 0)
	cluster.unreachable["g0"] = false
	cluster.run(3)
	assert.DeepEqual(t, cluster.deliveredBodies(), []string{"a 1/3 fine", "b 2/3 fine", "c 3/3 fine"})
}

// A flow that was broken since a gatekeeper did not respond is remembered. Otherwise the piece that
// this gatekeeper returns later would be taken for a complete flow.
func TestLatePieceOfBrokenFlowIsNotDelivered(t *testing.T) {
	cluster := newTestCluster(t, 3, newRule(t, 1, 1, ""))
	name := cluster.flowName("g1", 0, 1)
	cluster.unreachable["g0"] = true
	cluster.send("g0", name, "a")
	cluster.run(10)
	cluster.send("g2", name, "b")
	cluster.run(200)
	assert.Equal(t, cluster.brokenByCause()[Unresponsive], 1)
	cluster.unreachable["g0"] = false
	cluster.run(100)
	assert.Equal(t, len(cluster.deliveries), 0, "%v", cluster.deliveredBodies())
	assert.Equal(t, cluster.brokenByCause()[Unresponsive], 1)
	for _, engine := range cluster.engines {
		assert.Equal(t, engine.usedBytes, 0)
		assert.Equal(t, engine.openFlows, 0)
	}
}

// A change of the share reaches the gatekeepers at different times, and may come before or during a
// flow. The flow is delivered only if all its pieces were surely copied.
func TestShareChangeDuringFlow(t *testing.T) {
	for _, testCase := range []struct {
		name     string
		from, to float64 // range of the flow's hash, as a part of 1
		before   float64
		after    float64
		early    bool // there is a piece before the change
		late     int  // seconds from the change to the next piece
		want     string
	}{
		{"selected by both", 0, 0.3, 0.3, 0.6, true, 5, "complete"},
		{"selected by both, smaller share", 0, 0.3, 0.6, 0.3, true, 5, "complete"},
		{"newly selected, begun before the change", 0.3, 0.6, 0.3, 0.6, true, 5, "broken"},
		{"newly selected, perhaps begun before the change", 0.3, 0.6, 0.3, 0.6, false, 5, "broken"},
		{"newly selected, surely begun after the change", 0.3, 0.6, 0.3, 0.6, false, 65, "complete"},
		{"no longer selected, begun before the change", 0.3, 0.6, 0.6, 0.3, true, 5, "complete"},
		{"no longer selected, begun after the change", 0.3, 0.6, 0.6, 0.3, false, 5, "not selected"},
		{"selected by neither", 0.6, 1, 0.6, 0.3, true, 5, ""},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			cluster := newTestCluster(t, 3, newRule(t, 1, testCase.before, ""))
			name := cluster.flowName("g1", testCase.from, testCase.to)
			if testCase.early {
				cluster.send("g0", name, "a")
				cluster.run(3)
			}
			next := newRule(t, 2, testCase.after, "")
			for _, engine := range cluster.engines { // at different times
				engine.SetRule(cluster.now, next)
				cluster.run(1)
			}
			cluster.run(testCase.late)
			cluster.send("g2", name, "b")
			cluster.run(75)
			got := ""
			switch causes := cluster.brokenByCause(); {
			case causes[RuleChanged] == 1:
				got = "broken"
			case len(cluster.deliveries) > 0 && cluster.deliveries[len(cluster.deliveries)-1].Position == cluster.deliveries[0].FlowSize:
				got = "complete"
			case cluster.engines["g1"].counts.NotSelected == 1:
				got = "not selected"
			}
			assert.Equal(t, got, testCase.want, "%v %v", cluster.deliveredBodies(), cluster.brokenByCause())
			if testCase.want == "complete" && testCase.early {
				assert.Equal(t, len(cluster.deliveries), 2)
			}
		})
	}
}

// A leaving member hands its flows over and a joining one receives its own. No flow is delivered
// twice, or as complete when pieces are missing.
func TestHandOver(t *testing.T) {
	leave := func(cluster *testCluster, node string) {
		cluster.removeMember(node)
		cluster.announceMembers()
		engine := cluster.engines[node]
		engine.Close(cluster.now)
		for range 20 {
			if cluster.run(1); engine.IsDrained(cluster.now) {
				delete(cluster.engines, node)
				return
			}
		}
		t.Fatalf("%s still holds flows or items after 20 s: %+v", node, engine.Status(cluster.now))
	}
	join := func(cluster *testCluster, node string, incarnation uint64) {
		member := Member{node, incarnation, "", ""}
		cluster.members = append(cluster.members, member)
		cluster.startEngine(member, cluster.engines["g0"].rule)
		cluster.announceMembers()
		cluster.run(5)
	}
	t.Run("a member leaves", func(t *testing.T) {
		cluster := newTestCluster(t, 3, newRule(t, 1, 1, ""))
		name := cluster.flowName("g1", 0, 1)
		cluster.send("g2", name, "a")
		cluster.run(3)
		leave(cluster, "g1")
		cluster.send("g0", name, "b")
		cluster.run(20)
		cluster.send("g0", cluster.flowName("g2", 0, 1), "new")
		cluster.run(90)
		assert.DeepEqual(t, cluster.deliveredBodies(), []string{"a 1/2 fine", "b 2/2 fine", "new 1/1 fine"})
	})
	t.Run("rolling restart", func(t *testing.T) {
		cluster := newTestCluster(t, 3, newRule(t, 1, 1, ""))
		names, rounds := []string{}, 0
		for i := range 30 {
			names = append(names, fmt.Sprint("release-", i))
		}
		sendAll := func(at string) {
			for _, name := range names {
				cluster.send(at, name, fmt.Sprint(name, " ", rounds))
			}
			rounds++
		}
		sendAll("g0")
		cluster.run(3)
		for i, node := range []string{"g1", "g2"} {
			leave(cluster, node)
			sendAll("g0")
			join(cluster, node, uint64(100+i))
			sendAll(node)
			cluster.run(10)
		}
		cluster.run(90)
		assert.Equal(t, len(cluster.brokenByCause()), 0, "%v", cluster.brokenByCause())
		assert.Equal(t, len(cluster.deliveries), 30*rounds)
		for _, delivery := range cluster.deliveries {
			assert.Equal(t, delivery.FlowSize, rounds)
		}
	})
	t.Run("a member dies", func(t *testing.T) {
		cluster := newTestCluster(t, 3, newRule(t, 1, 1, ""))
		name := cluster.flowName("g1", 0, 1)
		cluster.send("g2", name, "a")
		cluster.run(3)
		cluster.removeMember("g1")
		delete(cluster.engines, "g1")
		cluster.run(3)
		join(cluster, "g1", 99)
		cluster.send("g0", name, "b")
		cluster.run(90)
		assert.Equal(t, len(cluster.deliveries), 0, "%v", cluster.deliveredBodies())
	})
	t.Run("a member uses an older list", func(t *testing.T) {
		cluster := newTestCluster(t, 4, newRule(t, 1, 1, ""))
		name := cluster.flowName("g3", 0, 1)
		cluster.send("g0", name, "a")
		cluster.run(3)
		old := cluster.members
		cluster.unreachable["g2"] = true // still a member, but unreachable: it does not learn of the new list
		cluster.removeMember("g3")
		cluster.announceMembers()
		cluster.engines["g3"].Close(cluster.now)
		cluster.send("g2", name, "b") // for g3, by the old list
		cluster.send("g1", name, "c") // for the new collector
		cluster.run(25)
		cluster.unreachable["g2"] = false
		cluster.run(90)
		assert.Equal(t, len(old), 4)
		for _, delivery := range cluster.deliveries {
			assert.Assert(t, delivery.Cause != NotBroken, "%v", cluster.deliveredBodies())
		}
	})
}

// Memory stays within its limit under any load, and flows that did not fit are broken.
func TestMemoryStaysWithinLimit(t *testing.T) {
	cluster := newTestCluster(t, 2, newRule(t, 1, 1, `,"maxBody":100000`))
	for i := range 3000 {
		cluster.send([]string{"g0", "g1"}[i%2], fmt.Sprint("v", i/2), string(make([]byte, 2000)))
		for _, engine := range cluster.engines {
			assert.Assert(t, engine.usedBytes <= engine.maxBytes+engine.maxBytes/8, "%d", engine.usedBytes)
		}
		if i%100 == 0 {
			cluster.run(1)
		}
	}
	cluster.run(300)
	finished := 0
	for _, engine := range cluster.engines {
		assert.Equal(t, engine.usedBytes, 0)
		finished += int(engine.counts.Complete + engine.counts.Broken)
	}
	assert.Assert(t, finished >= 1000, "%d %v", finished, cluster.brokenByCause())
	assert.Assert(t, cluster.brokenByCause()[CollectorFull]+cluster.brokenByCause()[GatekeeperFull] > 100, "%v", cluster.brokenByCause())
	for i := 0; i+1 < len(cluster.deliveries); i++ {
		assert.Equal(t, cluster.deliveries[i].FlowSize, 2)
	}
}
