package spur

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
	rule        *Order // the first rule
	members     []Seat
	engines     map[string]*Spur
	unreachable map[string]bool // calls to and from these nodes fail
	deliveries  []*Delivery
	sent        map[Journey][]int
}

// newRule returns a rule with a number, a share and further JSON fields.
func newRule(t *testing.T, number int, share float64, extraFields string) *Order {
	t.Helper()
	rule, faults := ReadOrder(fmt.Appendf(nil, `{"number":%d,"routes":["r"],"share":%g,"key":"a key of ours","journey":{"from":"header","name":"X-Visit"},
		"shadows":[{"route":"r","address":"10.0.0.9:80"}],"endS":60,"spanS":600,"patienceS":100%s}`, number, share, extraFields))
	assert.Equal(t, len(faults), 0, "%v", faults)
	return rule
}

// newTestCluster starts a cluster and runs it until flows from before its start have ended.
func newTestCluster(t *testing.T, size int, rule *Order) *testCluster {
	cluster := &testCluster{t: t, rule: rule, engines: map[string]*Spur{}, unreachable: map[string]bool{}, sent: map[Journey][]int{}}
	for i := range size {
		cluster.members = append(cluster.members, Seat{fmt.Sprintf("g%d", i), uint64(i + 1), "", ""})
	}
	for _, member := range cluster.members {
		cluster.startEngine(member, rule)
	}
	cluster.announceMembers()
	cluster.run(120) // flows that may have begun before the start have ended
	return cluster
}

// startEngine starts an incarnation of a gatekeeper.
func (c *testCluster) startEngine(member Seat, rule *Order) *Spur {
	engine := New(Config{Self: member, Now: c.now, Room: 1 << 20})
	engine.Put(c.now, rule)
	c.engines[member.Station] = engine
	return engine
}

// announceMembers tells all reachable gatekeepers the members.
func (c *testCluster) announceMembers() {
	for name, engine := range c.engines {
		if !c.unreachable[name] {
			engine.Members(c.now, c.now, c.members)
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
				engine.Members(c.now, c.now, c.members)
			}
			for _, request := range engine.Asks(c.now) {
				peer := c.engines[request.To.Station]
				if peer == nil || (c.unreachable[name] || c.unreachable[request.To.Station]) && name != request.To.Station {
					engine.Missed(c.now, request)
					continue
				}
				encoded, err := cbor.Marshal(peer.Answer(c.now, request))
				assert.NilError(c.t, err)
				var response Answer
				assert.NilError(c.t, cbor.Unmarshal(encoded, &response))
				engine.Heard(c.now, request, response)
			}
			for delivery, ok := engine.Next(c.now); ok; delivery, ok = engine.Next(c.now) {
				c.deliveries = append(c.deliveries, delivery)
				engine.Told(c.now, delivery.ID, true)
			}
		}
	}
}

// requestInfo returns the properties of a request of the flow with that name.
func requestInfo(name string) *Sight {
	return &Sight{Route: "r", Tenant: "t", Header: func(h string) ([]byte, bool) { return []byte(name), name != "" && h == "X-Visit" }}
}

// newRequest returns a request with a body.
func newRequest(body string) *Request {
	return &Request{Method: []byte("POST"), Target: []byte("/r/x"), Fields: []Field{{[]byte("Host"), []byte("h")}}, Body: []byte(body)}
}

// send runs a request through a gatekeeper, from its start to its answer.
func (c *testCluster) send(node, name, body string) {
	engine := c.engines[node]
	if ticket := engine.Begin(c.now, requestInfo(name)); ticket != 0 {
		engine.End(c.now, ticket, newRequest(body), Real{Status: 200})
	}
}

// collector returns the gatekeeper that collects the flow with that name.
func (c *testCluster) collector(name string) string {
	id, ok := c.rule.Name(requestInfo(name))
	assert.Assert(c.t, ok)
	member, ok := newMemberList(c.members).collector("", id)
	assert.Assert(c.t, ok)
	return member.Station
}

// flowName returns the name of a flow that the gatekeeper collects and whose hash is in a range
// between 0 and 1.
func (c *testCluster) flowName(collector string, from, to float64) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("visit-%d", i)
		id, _ := c.rule.Name(requestInfo(name))
		position := float64(id.Spot) / (1 << 63) / 2
		if c.collector(name) == collector && position >= from && position < to {
			return name
		}
	}
}

// brokenByCause returns the number of broken flows of all gatekeepers.
func (c *testCluster) brokenByCause() map[Cause]int {
	counts := map[Cause]int{}
	for _, engine := range c.engines {
		for c, count := range engine.counts.By {
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
		bodies = append(bodies, string(delivery.copy.body)+" "+fmt.Sprint(delivery.N, "/", delivery.Of, " ", delivery.Cause))
	}
	return bodies
}
