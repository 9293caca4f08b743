package mirror

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// testCluster is a set of gatekeepers on a simulated clock. Calls take no time, and their responses
// are encoded in CBOR.
type testCluster struct {
	t           *testing.T
	now         float64
	rule        *Rule // the first rule
	members     []Member
	engines     map[string]*Engine
	unreachable map[string]bool // calls to and from these nodes fail
	deliveries  []*Delivery
	sent        map[FlowID][]int
}

// newRule returns a rule with a number, a share and further JSON fields.
func newRule(t *testing.T, number int, share float64, extraFields string) *Rule {
	t.Helper()
	rule, faults := ParseRule(fmt.Appendf(nil, `{"number":%d,"routes":["r"],"share":%g,"key":"a key of ours","journey":{"from":"header","name":"X-Visit"},
		"shadows":[{"route":"r","address":"10.0.0.9:80"}],"endS":60,"spanS":600,"patienceS":100%s}`, number, share, extraFields))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return rule
}

// newTestCluster starts a cluster and runs it until flows from before its start have ended.
func newTestCluster(t *testing.T, size int, rule *Rule) *testCluster {
	cluster := &testCluster{t: t, rule: rule, engines: map[string]*Engine{}, unreachable: map[string]bool{}, sent: map[FlowID][]int{}}
	for i := range size {
		cluster.members = append(cluster.members, Member{fmt.Sprintf("g%d", i), uint64(i + 1), "", ""})
	}
	for _, member := range cluster.members {
		cluster.startEngine(member, rule)
	}
	cluster.announceMembers()
	cluster.run(120) // flows that may have begun before the start have ended
	return cluster
}

// startEngine starts an incarnation of a gatekeeper.
func (c *testCluster) startEngine(member Member, rule *Rule) *Engine {
	engine := New(Config{Self: member, Now: c.now, MaxBytes: 1 << 20})
	engine.SetRule(c.now, rule)
	c.engines[member.Node] = engine
	return engine
}

// announceMembers tells all reachable gatekeepers the members.
func (c *testCluster) announceMembers() {
	for name, engine := range c.engines {
		if !c.unreachable[name] {
			engine.SetMembers(c.now, c.now, c.members)
		}
	}
}

// run advances the clock by some seconds, in steps of 250 ms, with all calls and deliveries.
func (c *testCluster) run(seconds int) {
	for range seconds * 4 {
		c.now += 250
		for _, name := range []string{"g0", "g1", "g2", "g3"} {
			engine := c.engines[name]
			if engine == nil {
				continue
			}
			if !c.unreachable[name] && engine.members != nil {
				engine.SetMembers(c.now, c.now, c.members)
			}
			for _, request := range engine.DueFetches(c.now) {
				peer := c.engines[request.To.Node]
				if peer == nil || (c.unreachable[name] || c.unreachable[request.To.Node]) && name != request.To.Node {
					engine.FetchFailed(c.now, request)
					continue
				}
				encoded, err := cbor.Marshal(peer.ServeFetch(c.now, request))
				assert.NilError(c.t, err)
				var response FetchResponse
				assert.NilError(c.t, cbor.Unmarshal(encoded, &response))
				engine.HandleResponse(c.now, request, response)
			}
			for delivery, ok := engine.NextDelivery(c.now); ok; delivery, ok = engine.NextDelivery(c.now) {
				c.deliveries = append(c.deliveries, delivery)
				engine.ReportDelivery(c.now, delivery.ID, true)
			}
		}
	}
}

// requestInfo returns the properties of a request of the flow with that name.
func requestInfo(name string) *RequestInfo {
	return &RequestInfo{Route: "r", Tenant: "t", Header: func(h string) ([]byte, bool) { return []byte(name), name != "" && h == "X-Visit" }}
}

// newRequest returns a request with a body.
func newRequest(body string) *Request {
	return &Request{Method: []byte("POST"), Target: []byte("/r/x"), Fields: []HeaderField{{[]byte("Host"), []byte("h")}}, Body: []byte(body)}
}

// send runs a request through a gatekeeper, from its start to its answer.
func (c *testCluster) send(node, name, body string) {
	engine := c.engines[node]
	if ticket := engine.StartRequest(c.now, requestInfo(name)); ticket != 0 {
		engine.FinishRequest(c.now, ticket, newRequest(body), LiveResponse{Status: 200})
	}
}

// collector returns the gatekeeper that collects the flow with that name.
func (c *testCluster) collector(name string) string {
	id, ok := c.rule.FlowOf(requestInfo(name))
	assert.Assert(c.t, ok)
	member, ok := newMemberList(c.members).collector("", id)
	assert.Assert(c.t, ok)
	return member.Node
}

// flowName returns the name of a flow that the gatekeeper collects and whose hash is in a range
// between 0 and 1.
func (c *testCluster) flowName(collector string, from, to float64) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("visit-%d", i)
		id, _ := c.rule.FlowOf(requestInfo(name))
		position := float64(id.SelectionHash) / (1 << 63) / 2
		if c.collector(name) == collector && position >= from && position < to {
			return name
		}
	}
}

// brokenByCause returns the number of broken flows of all gatekeepers.
func (c *testCluster) brokenByCause() map[Cause]int {
	counts := map[Cause]int{}
	for _, engine := range c.engines {
		for c, count := range engine.counts.BrokenByCause {
			if count > 0 {
				counts[Cause(c)] += int(count)
			}
		}
	}
	return counts
}

// deliveredBodies describes the delivered copies in order: body, position in the flow and cause.
func (c *testCluster) deliveredBodies() (bodies []string) {
	for _, delivery := range c.deliveries {
		bodies = append(bodies, string(delivery.copy.body)+" "+fmt.Sprint(delivery.Position, "/", delivery.FlowSize, " ", delivery.Cause))
	}
	return bodies
}
