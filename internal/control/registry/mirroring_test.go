package registry

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/zeebo/xxh3"
	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

func mirrorOrderJSON(number int, address string) string {
	return fmt.Sprintf(`{"number":%d,"routes":["r"],"share":0.5,"key":"0123456789","journey":{"from":"cookie","name":"visit"},`+
		`"shadows":[{"destination":"a","address":%q}]}`, number, address)
}

// keepOrders makes the scripted configuration store keep orders as the chain does.
func (r *testRegistry) keepOrders(held chain.NamedOrder) *chain.NamedOrder {
	r.store.Close()
	r.store = rpc.NewPeer(serveRPC(r.t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, request api.CommitRequest) (api.CommitResponse, error) {
			if r.refusal == nil && request.Change.Number > held.Number {
				held = chain.NamedOrder{Number: request.Change.Number, Body: request.Change.Body}
			}
			r.submitted <- request.Change
			return api.CommitResponse{}, r.refusal
		})
		rpc.Handle(server, func(context.Context, api.CommittedStateRequest) (api.CommittedStateResponse, error) {
			return api.CommittedStateResponse{State: &chain.State{Orders: map[string]chain.NamedOrder{OrderMirroring: held}}}, nil
		})
	}))
	r.t.Cleanup(r.store.Close)
	return &held
}

// TestMirrorOrder: an order is acknowledged only if the configuration store holds it, and an
// invalid one is refused with its fault.
func TestMirrorOrder(t *testing.T) {
	registry := newTestRegistry(t)
	registry.endpoints.applyPlatformList(0, 1, []api.Worker{{ID: "w", Destination: "a", Addr: "10.0.0.1:80"}})
	registry.sessions.Heartbeat(registry.now(), membership.Member{Node: "p", Incarnation: 1, Sequence: 1, ClientAddr: "10.0.0.2:80", PeerAddr: "10.0.0.2:7460"})
	held := registry.keepOrders(chain.NamedOrder{})
	put := func(body string) (int, string) {
		w := registry.request("control", "PUT", "/shadow", strings.NewReader(body))
		return w.Code, w.Body.String()
	}
	assert.Equal(t, registry.request("control", "GET", "/shadow", nil).Code, 404)
	assert.Equal(t, registry.request("control", "DELETE", "/shadow", nil).Code, 200, "no order is in force, so nothing has to be stopped")
	assert.Equal(t, len(registry.submitted), 0)
	for _, c := range []struct{ body, fault string }{
		{"", "unreadable"},
		{mirrorOrderJSON(0, "10.0.0.9:80"), "number"},
		{strings.Replace(mirrorOrderJSON(3, "10.0.0.9:80"), `"share":0.5`, `"share":1.5`, 1), "share"},
		{mirrorOrderJSON(3, "10.0.0.1:80"), "live_worker"},
		{mirrorOrderJSON(3, "10.0.0.2:80"), "live_worker"},   // a gatekeeper's address for clients
		{mirrorOrderJSON(3, "10.0.0.2:7460"), "live_worker"}, // a gatekeeper's address for peers
		{mirrorOrderJSON(3, registry.settings.InnerAddress(storePort)), "live_worker"},
	} {
		code, message := put(c.body)
		assert.Equal(t, code, 400, c.body)
		assert.Assert(t, strings.Contains(message, c.fault), "%s: %s", c.fault, message)
	}
	assert.Equal(t, len(registry.submitted), 0, "invalid orders are not submitted")

	order3 := mirrorOrderJSON(3, "10.0.0.9:80")
	for range 2 { // an operator who got no answer repeats the order
		code, message := put(order3)
		assert.Equal(t, code, 200, message)
	}
	assert.Equal(t, held.Number, uint64(3))
	response := registry.request("control", "GET", "/shadow", nil)
	assert.Equal(t, response.Body.String(), order3, "the order is returned unchanged")
	for _, stale := range []string{mirrorOrderJSON(2, "10.0.0.9:80"), mirrorOrderJSON(3, "10.0.0.8:80")} {
		code, message := put(stale)
		assert.Equal(t, code, 400, message)
		assert.Assert(t, strings.Contains(message, "low_number"), message)
	}
	assert.Equal(t, string(held.Body), order3)

	registry.refusal = rpc.Errorf(rpc.Unavailable, "no chain")
	code, _ := put(mirrorOrderJSON(4, "10.0.0.9:80"))
	assert.Equal(t, code, 503, "an order that was not committed is not acknowledged")
	assert.Equal(t, registry.request("control", "DELETE", "/shadow", nil).Code, 503)
	registry.refusal = nil
	assert.Equal(t, registry.request("control", "DELETE", "/shadow", nil).Code, 200)
	assert.Equal(t, held.Number, uint64(4))
	assert.Assert(t, strings.Contains(string(held.Body), "stopped"))
	assert.Equal(t, registry.request("control", "DELETE", "/shadow", nil).Code, 200, "repeated")
	assert.Equal(t, held.Number, uint64(4))
	assert.Equal(t, registry.request("directory", "PUT", "/shadow", strings.NewReader(mirrorOrderJSON(9, "10.0.0.9:80"))).Code, 404)
}

// TestMirrorOrderInHeartbeatAnswer: the order is sent to a gatekeeper with an older one, and the
// seats to one that mirrors.
func TestMirrorOrderInHeartbeatAnswer(t *testing.T) {
	registry := newTestRegistry(t)
	registry.start = registry.start.Add(-60e9) // all members are known
	answerWithoutOrder := registry.heartbeat(api.SessionRequest{MirrorsTraffic: true})
	assert.Equal(t, answerWithoutOrder.MirrorOrderNumber, uint64(0))
	committed := committedState(4, 12)
	committed.Orders = map[string]chain.NamedOrder{OrderMirroring: {Number: 7, Body: []byte(mirrorOrderJSON(7, "10.0.0.9:80"))}}
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 4}, State: committed}, nil)
	heartbeat := api.SessionRequest{ConfigVersion: 12, EvacuationNumber: 4}
	answer := registry.heartbeat(heartbeat) // like a gatekeeper that has just started
	assert.Equal(t, answer.MirrorOrderNumber, uint64(7))
	assert.Equal(t, string(answer.MirrorOrder), mirrorOrderJSON(7, "10.0.0.9:80"))
	heartbeat.MirrorOrderNumber = 6
	assert.Equal(t, registry.heartbeat(heartbeat).MirrorOrderNumber, uint64(7))
	for _, number := range []uint64{7, 8} {
		heartbeat.MirrorOrderNumber = number
		answer = registry.heartbeat(heartbeat)
		assert.Assert(t, answer.MirrorOrderNumber == 0 && answer.MirrorOrder == nil && answer.SeatsChecksum == 0)
	}
	heartbeat.MirrorsTraffic = true
	assert.Assert(t, registry.heartbeat(heartbeat).SeatsChecksum == 0, "a member without an address for clients has no seat")
	registry.sessions.Heartbeat(registry.now(), membership.Member{Node: "q", Incarnation: 5, Sequence: 1, Region: "b", ClientAddr: "10.0.0.2:80", PeerAddr: "10.0.0.2:7460"})
	answer = registry.heartbeat(heartbeat)
	assert.Assert(t, answer.Settled, "the registry knows all members")
	assert.Equal(t, len(answer.Seats), 1)
	assert.Equal(t, answer.Seats[0].Node, "q")
	assert.Equal(t, answer.Seats[0].Region, "b")
	heartbeat.SeatsChecksum = answer.SeatsChecksum
	answer = registry.heartbeat(heartbeat)
	assert.Assert(t, answer.Seats == nil && answer.SeatsChecksum == heartbeat.SeatsChecksum, "the hash is repeated, the list is not")
}

// TestRepeatedMirrorOrderIsAcknowledged: an order whose answer was lost is acknowledged when it is
// repeated, although a newer order has replaced it before the repetition or while it was under way.
func TestRepeatedMirrorOrderIsAcknowledged(t *testing.T) {
	registry := newTestRegistry(t)
	order3, order4 := mirrorOrderJSON(3, "10.0.0.9:80"), mirrorOrderJSON(4, "10.0.0.9:80")
	identity := func(number uint64, body string) chain.Identity {
		return chain.Identity{Number: number, Digest: xxh3.Hash128([]byte(body)).Bytes()}
	}
	held := registry.keepOrders(chain.NamedOrder{Number: 4, Body: []byte(order4), Identities: []chain.Identity{identity(3, order3), identity(4, order4)}})
	put := func(body string) int {
		return registry.request("control", "PUT", "/shadow", strings.NewReader(body)).Code
	}
	assert.Equal(t, put(order3), 200)
	assert.Equal(t, put(mirrorOrderJSON(3, "10.0.0.8:80")), 400, "another order with that number")
	assert.Equal(t, put(mirrorOrderJSON(2, "10.0.0.8:80")), 400, "an order that was never in force")
	assert.Equal(t, len(registry.submitted), 0)
	registry.refusal = rpc.Errorf(rpc.Conflict, "another was first")
	assert.Equal(t, put(mirrorOrderJSON(5, "10.0.0.8:80")), 409)
	assert.Equal(t, held.Number, uint64(4))
}
