package bothy

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/zeebo/xxh3"
	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
	"foxwood/internal/membership"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

func copies(number int, at string) string {
	return fmt.Sprintf(`{"number":%d,"routes":["r"],"share":0.5,"key":"0123456789","journey":{"from":"cookie","name":"visit"},`+
		`"shadows":[{"destination":"a","address":%q}]}`, number, at)
}

// chained has the scripted cairn keep orders as the chain does.
func (s *stand) chained(held cairn.Order) *cairn.Order {
	s.store.Close()
	s.store = rpc.NewPeer(serve(s.t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, q waymark.Enter) (waymark.Entered, error) {
			if s.refuses == nil && q.Change.No > held.No {
				held = cairn.Order{No: q.Change.No, Body: q.Change.Body}
			}
			s.entered <- q.Change
			return waymark.Entered{}, s.refuses
		})
		rpc.Handle(server, func(context.Context, waymark.Confirm) (waymark.Confirmed, error) {
			return waymark.Confirmed{State: &cairn.State{Orders: map[string]cairn.Order{OrderShadow: held}}}, nil
		})
	}))
	s.t.Cleanup(s.store.Close)
	return &held
}

// TestAnOrderForCopies: acknowledged only where the chain holds it, and refused with its fault.
func TestAnOrderForCopies(t *testing.T) {
	s := open(t)
	s.endpoints.applyPlatformList(0, 1, []waymark.Worker{{ID: "w", Destination: "a", Addr: "10.0.0.1:80"}})
	s.sessions.Sign(s.now(), membership.Member{Station: "p", Life: 1, Turn: 1, Counter: "10.0.0.2:80", Inner: "10.0.0.2:7460"})
	held := s.chained(cairn.Order{})
	put := func(body string) (int, string) {
		w := s.ask("control", "PUT", "/shadow", strings.NewReader(body))
		return w.Code, w.Body.String()
	}
	assert.Equal(t, s.ask("control", "GET", "/shadow", nil).Code, 404)
	assert.Equal(t, s.ask("control", "DELETE", "/shadow", nil).Code, 200, "nothing is copied as it is")
	assert.Equal(t, len(s.entered), 0)
	for _, c := range []struct{ body, fault string }{
		{"", "unreadable"},
		{copies(0, "10.0.0.9:80"), "number"},
		{strings.Replace(copies(3, "10.0.0.9:80"), `"share":0.5`, `"share":1.5`, 1), "share"},
		{copies(3, "10.0.0.1:80"), "live_worker"},
		{copies(3, "10.0.0.2:80"), "live_worker"},   // a gate
		{copies(3, "10.0.0.2:7460"), "live_worker"}, // an inner door
		{copies(3, s.settings.Inner(storePort)), "live_worker"},
	} {
		code, said := put(c.body)
		assert.Equal(t, code, 400, c.body)
		assert.Assert(t, strings.Contains(said, c.fault), "%s: %s", c.fault, said)
	}
	assert.Equal(t, len(s.entered), 0, "what is invalid never reaches the chain")

	three := copies(3, "10.0.0.9:80")
	for range 2 { // an operator that got no answer asks again
		code, said := put(three)
		assert.Equal(t, code, 200, said)
	}
	assert.Equal(t, held.No, uint64(3))
	got := s.ask("control", "GET", "/shadow", nil)
	assert.Equal(t, got.Body.String(), three, "as it came")
	for _, stale := range []string{copies(2, "10.0.0.9:80"), copies(3, "10.0.0.8:80")} {
		code, said := put(stale)
		assert.Equal(t, code, 400, said)
		assert.Assert(t, strings.Contains(said, "low_number"), said)
	}
	assert.Equal(t, string(held.Body), three)

	s.refuses = rpc.Errorf(rpc.Unavailable, "no chain")
	code, _ := put(copies(4, "10.0.0.9:80"))
	assert.Equal(t, code, 503, "not on the disks, not acknowledged")
	assert.Equal(t, s.ask("control", "DELETE", "/shadow", nil).Code, 503)
	s.refuses = nil
	assert.Equal(t, s.ask("control", "DELETE", "/shadow", nil).Code, 200)
	assert.Equal(t, held.No, uint64(4))
	assert.Assert(t, strings.Contains(string(held.Body), "stopped"))
	assert.Equal(t, s.ask("control", "DELETE", "/shadow", nil).Code, 200, "again")
	assert.Equal(t, held.No, uint64(4))
	assert.Equal(t, s.ask("directory", "PUT", "/shadow", strings.NewReader(copies(9, "10.0.0.9:80"))).Code, 404)
}

// TestTheOrderTravelsWithTheSign: it is news to who has an older one, and seats to who copies.
func TestTheOrderTravelsWithTheSign(t *testing.T) {
	s := open(t)
	s.start = s.start.Add(-60e9) // settled
	none := s.answer(waymark.Sign{Copies: true})
	assert.Equal(t, none.Shadow, uint64(0))
	st := state(4, 12)
	st.Orders = map[string]cairn.Order{OrderShadow: {No: 7, Body: []byte(copies(7, "10.0.0.9:80"))}}
	s.says(waymark.Confirmed{Last: cairn.Stamp{Seq: 4}, State: st}, nil)
	all := waymark.Sign{Edition: 12, Evac: 4}
	a := s.answer(all) // as a gatekeeper that has just started
	assert.Equal(t, a.Shadow, uint64(7))
	assert.Equal(t, string(a.Order), copies(7, "10.0.0.9:80"))
	all.Shadow = 6
	assert.Equal(t, s.answer(all).Shadow, uint64(7))
	for _, no := range []uint64{7, 8} {
		all.Shadow = no
		a = s.answer(all)
		assert.Assert(t, a.Shadow == 0 && a.Order == nil && a.SeatsNow == 0)
	}
	all.Copies = true
	assert.Assert(t, s.answer(all).SeatsNow == 0, "a member without a counter takes no requests")
	s.sessions.Sign(s.now(), membership.Member{Station: "q", Life: 5, Turn: 1, Region: "b", Counter: "10.0.0.2:80", Inner: "10.0.0.2:7460"})
	a = s.answer(all)
	assert.Assert(t, a.Settled, "the test's bothy has heard all that there are")
	assert.Equal(t, len(a.Seats), 1)
	assert.Equal(t, a.Seats[0].Station, "q")
	assert.Equal(t, a.Seats[0].Region, "b")
	all.Seats = a.SeatsNow
	a = s.answer(all)
	assert.Assert(t, a.Seats == nil && a.SeatsNow == all.Seats, "the mark comes again, the list does not")
}

// TestAnOvertakenOrderIsAcknowledgedAgain: its answer was lost, and a newer one has come in between, before it
// or while it was on its way.
func TestAnOvertakenOrderIsAcknowledgedAgain(t *testing.T) {
	s := open(t)
	three, four := copies(3, "10.0.0.9:80"), copies(4, "10.0.0.9:80")
	id := func(no uint64, body string) cairn.Identity {
		return cairn.Identity{No: no, Digest: xxh3.Hash128([]byte(body)).Bytes()}
	}
	held := s.chained(cairn.Order{No: 4, Body: []byte(four), Past: []cairn.Identity{id(3, three), id(4, four)}})
	put := func(body string) int {
		return s.ask("control", "PUT", "/shadow", strings.NewReader(body)).Code
	}
	assert.Equal(t, put(three), 200)
	assert.Equal(t, put(copies(3, "10.0.0.8:80")), 400, "another under that number")
	assert.Equal(t, put(copies(2, "10.0.0.8:80")), 400, "one that never held")
	assert.Equal(t, len(s.entered), 0)
	s.refuses = rpc.Errorf(rpc.Conflict, "another was first")
	assert.Equal(t, put(copies(5, "10.0.0.8:80")), 409)
	assert.Equal(t, held.No, uint64(4))
}
