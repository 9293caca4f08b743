package registry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/election"
	"foxwood/internal/control/membership"
	"foxwood/internal/control/shedding"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// useTestClock makes a registry use a clock that the test controls, in milliseconds.
func useTestClock(r *testRegistry) (now *atomic.Int64) {
	now = &atomic.Int64{}
	now.Store(100)
	r.mu.Lock()
	r.clock = func() float64 { return float64(now.Load()) }
	r.mu.Unlock()
	return now
}

// serveList serves the platform's list as one page; duringAnswer is called in the middle of each
// answer.
func (r *testRegistry) serveList(duringAnswer func(), rows *string) (requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		text := `{"roster":{"columns":["id","destination","address","state"],"rows":[` + *rows + `]}}`
		_, _ = io.WriteString(w, text[:9])
		w.(http.Flusher).Flush()
		if duringAnswer != nil {
			duringAnswer()
		}
		_, _ = io.WriteString(w, text[9:])
	}))
	r.t.Cleanup(server.Close)
	r.settings.PlatformAPI.Address = strings.TrimPrefix(server.URL, "http://")
	return requests
}

// announceHolder delivers another registry's message that it holds duties.
func (r *testRegistry) announceHolder(from string, held ...election.Tenure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.election.Step(r.now(), election.Event{Kind: election.Received, Message: election.Message{Kind: election.Announce, From: from, HeldDuties: held}})
}

// stepElections steps the election for the given time.
func (r *testRegistry) stepElections(now *atomic.Int64, ms int64) {
	for end := now.Load() + ms; now.Load() < end; {
		now.Add(min(50, end-now.Load()))
		r.stepElection(r.t.Context())
	}
}

// withdrawnIDs returns the IDs of the withdrawn workers in an answer.
func withdrawnIDs(answer api.SessionResponse) (ids []string) {
	for _, withdrawal := range answer.Withdrawn {
		ids = append(ids, withdrawal.ID)
	}
	return ids
}

const (
	open1    = `["i-1","d","10.0.0.1:80","open_counter"]`
	closing1 = `["i-1","d","10.0.0.1:80","closing"]`
	open2    = `["i-2","d","10.0.0.2:80","open_counter"]`
	open3    = `["i-3","d","10.0.0.3:80","open_counter"]`
)

// TestWithdrawalsWithoutDutyHolder: without a majority nobody can hold the duty. A registry then
// reads the platform's list by itself, at its share of the rate, and announces only withdrawals;
// data of a later term takes precedence.
func TestWithdrawalsWithoutDutyHolder(t *testing.T) {
	const other = "127.0.0.2:7460"
	registry := newTestRegistry(t, "127.0.0.2:80", "127.0.0.3:80")
	now := useTestClock(registry)
	registry.settings.PlatformAPI.RatePerS = 3
	rows := open1 + "," + open2
	requests := registry.serveList(nil, &rows)
	registry.endpoints.applyPlatformList(registry.now(), 1, []api.Worker{worker("i-1"), worker("i-2")})
	version := registry.endpoints.version
	heartbeat := api.SessionRequest{EndpointsVersion: version}

	for range 100 { // another registry holds the duty
		registry.announceHolder(other, election.Tenure{Duty: dutyEndpoints, Term: 1})
		registry.stepElections(now, 100)
		registry.pollPlatform(t.Context())
	}
	assert.Equal(t, requests.Load(), int64(0))
	rows = closing1 + "," + open3
	registry.stepElections(now, dutyLeaseMs+vacantAfterMs-100)
	registry.pollPlatform(t.Context())
	assert.Equal(t, requests.Load(), int64(0), "the duty may still be won")
	registry.stepElections(now, 200)
	registry.pollPlatform(t.Context())
	assert.Equal(t, requests.Load(), int64(1))
	answer := registry.heartbeat(heartbeat)
	assert.DeepEqual(t, answer.Withdrawn, []api.WithdrawnWorker{{ID: "i-1", ListVersion: version}})
	assert.Assert(t, answer.EndpointChanges == nil && answer.Endpoints == nil, "only withdrawals are announced")
	heartbeat.WithdrawnChecksum = answer.WithdrawnChecksum
	assert.Assert(t, registry.heartbeat(heartbeat).Withdrawn == nil, "the gatekeeper holds that list already")

	const durationMs = 10_000
	for from := now.Load(); now.Load() < from+durationMs; {
		registry.stepElections(now, 400)
		registry.pollPlatform(t.Context())
	}
	// One page for each of three registries at half of the rate: every two seconds.
	assert.Assert(t, requests.Load() >= 4 && requests.Load() <= 6, "%d", requests.Load())
	answer = registry.heartbeat(heartbeat)
	assert.DeepEqual(t, withdrawnIDs(answer), []string{"i-1", "i-2"}) // missing twice means gone
	assert.Equal(t, registry.endpoints.version, version)

	// Withdrawals of another registry are merged, also of a worker that is unknown here.
	gossipAnswer, err := registry.handleGossip(t.Context(), api.Gossip{From: other, Withdrawn: []api.WithdrawnWorker{{ID: "i-9", ListVersion: version}, {ID: "i-1", ListVersion: version - 1}}})
	assert.NilError(t, err)
	assert.Equal(t, gossipAnswer.EndpointsVersion, version)
	heartbeat.WithdrawnChecksum = answer.WithdrawnChecksum
	assert.DeepEqual(t, withdrawnIDs(registry.heartbeat(heartbeat)), []string{"i-1", "i-2", "i-9"})

	// A newer version of the same term replaces the withdrawals of the workers it contains, the
	// next term all.
	holder := newEndpointList()
	holder.merge(0, registry.endpoints.since(registry.now(), 0))
	holder.applyPlatformList(registry.now(), 1, []api.Worker{worker("i-1", closing), worker("i-2")})
	peer := rpc.NewPeer(serveRPC(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, request api.EndpointListRequest) (api.EndpointList, error) {
			return *holder.since(0, request.HeldVersion), nil
		})
	}))
	t.Cleanup(peer.Close)
	fetchFromHolder := func() {
		for registry.endpoints.version < holder.version {
			registry.fetchEndpoints(t.Context(), peer, holder.version)
		}
	}
	fetchFromHolder()
	assert.DeepEqual(t, withdrawnIDs(registry.heartbeat(api.SessionRequest{})), []string{"i-2", "i-9"})
	holder.applyPlatformList(registry.now(), 2, []api.Worker{worker("i-1", closing), worker("i-2")})
	fetchFromHolder()
	assert.Assert(t, registry.heartbeat(api.SessionRequest{}).Withdrawn == nil)
	assert.Assert(t, !registry.withdrawals.merge(registry.endpoints, []api.WithdrawnWorker{{ID: "i-2", ListVersion: version}}), "a withdrawal of the previous term that arrives late")
}

// TestMissingWorkerIsWithdrawnOnSecondList: a page may lack a worker because another one was
// removed during the reading.
func TestMissingWorkerIsWithdrawnOnSecondList(t *testing.T) {
	endpoints := newEndpointList()
	endpoints.applyPlatformList(0, 1, []api.Worker{worker("i-1"), worker("i-2")})
	var withdrawn withdrawals
	assert.Assert(t, !withdrawn.applyPlatformList(endpoints, []api.Worker{worker("i-1")}))
	assert.Assert(t, !withdrawn.applyPlatformList(endpoints, []api.Worker{worker("i-1"), worker("i-2")}))
	assert.Assert(t, !withdrawn.applyPlatformList(endpoints, []api.Worker{worker("i-1")}))
	withdrawn.observeHolder(10, "somebody")
	assert.Assert(t, !withdrawn.applyPlatformList(endpoints, []api.Worker{worker("i-1")}), "a holder of the duty may have read the list in between")
	assert.Assert(t, withdrawn.applyPlatformList(endpoints, []api.Worker{worker("i-1")}))
	all, hash := withdrawn.snapshot()
	assert.DeepEqual(t, all, []api.WithdrawnWorker{{ID: "i-2", ListVersion: endpoints.version}})
	assert.Assert(t, hash != 0)
	// Versions known to gatekeepers but not to this registry count too.
	withdrawn = withdrawals{newestVersion: endpoints.version + 3}
	withdrawn.applyPlatformList(endpoints, []api.Worker{worker("i-1", closing), worker("i-2")})
	all, _ = withdrawn.snapshot()
	assert.DeepEqual(t, all, []api.WithdrawnWorker{{ID: "i-1", ListVersion: endpoints.version + 3}})
}

// TestListReadDuringFreezeIsIgnored: a process that is frozen while it reads the list has an old
// list when it resumes.
func TestListReadDuringFreezeIsIgnored(t *testing.T) {
	registry := newTestRegistry(t, "127.0.0.2:80", "127.0.0.3:80")
	now := useTestClock(registry)
	rows := closing1 + "," + open2
	frozenMs := int64(0)
	requests := registry.serveList(func() { now.Add(frozenMs) }, &rows)
	registry.endpoints.applyPlatformList(registry.now(), 1, []api.Worker{worker("i-1"), worker("i-2")})
	registry.stepElections(now, 2000)
	frozenMs = 20_000
	registry.pollPlatform(t.Context())
	assert.Equal(t, requests.Load(), int64(1))
	assert.Assert(t, registry.heartbeat(api.SessionRequest{}).Withdrawn == nil)
	registry.stepElections(now, 1000)
	registry.pollPlatform(t.Context())
	assert.Equal(t, requests.Load(), int64(1), "another registry may have won the duty meanwhile, in a message not yet read")
	frozenMs = 0
	registry.stepElections(now, 600)
	registry.pollPlatform(t.Context())
	assert.DeepEqual(t, withdrawnIDs(registry.heartbeat(api.SessionRequest{})), []string{"i-1"})
}

// winDuty makes a registry its own electorate, and steps until it holds the duty in a term above
// another.
func (r *testRegistry) winDuty(now *atomic.Int64, aboveTerm uint64) (term uint64) {
	self := r.settings.InnerAddress(registryPort)
	for end := now.Load() + 20_000; now.Load() < end; {
		r.mu.Lock()
		r.election.SetElectorate(r.now(), r.now(), []string{self}, 1, 0)
		r.mu.Unlock()
		now.Add(20)
		r.stepElection(r.t.Context())
		r.mu.Lock()
		term, ok := r.election.Holds(r.now(), dutyEndpoints)
		r.mu.Unlock()
		if ok && term > aboveTerm {
			return term
		}
	}
	r.t.Fatal("the duty was not won within 20 s of simulated time")
	return 0
}

// TestListOfEarlierTermIsIgnored: a list was requested in a term that ended, and the duty was won
// again before the list was complete. Another holder may have announced newer data in between, so a
// list counts only within its term.
func TestListOfEarlierTermIsIgnored(t *testing.T) {
	registry := newTestRegistry(t)
	now := useTestClock(registry)
	rows := open1
	var duringAnswer func()
	requests := registry.serveList(func() {
		if duringAnswer != nil {
			duringAnswer()
		}
	}, &rows)
	firstTerm := registry.winDuty(now, 0)
	registry.pollPlatform(t.Context())
	version := registry.endpoints.version
	assert.Equal(t, version>>termShift, firstTerm)
	rows = closing1
	duringAnswer = func() {
		now.Add(20_000)
		assert.Check(t, registry.winDuty(now, firstTerm) > firstTerm)
	}
	registry.pollPlatform(t.Context())
	assert.Equal(t, requests.Load(), int64(2))
	assert.Equal(t, registry.endpoints.version, version, "a list read in one term was applied in another")
	duringAnswer = nil
	registry.winDuty(now, firstTerm)
	registry.pollPlatform(t.Context())
	assert.Assert(t, registry.endpoints.version>>termShift > firstTerm)
	assert.Assert(t, registry.endpoints.workers["i-1"].Draining)

	duringAnswer = func() { now.Add(20_000) } // also if the duty is not won again
	rows = open1
	version = registry.endpoints.version
	registry.pollPlatform(t.Context())
	assert.Equal(t, registry.endpoints.version, version)
}

// TestUnreachableTailGives503: without the tail, every request that needs current state is answered
// with 503 and Retry-After, however the chain fails; never with 200, and never with 4xx for a valid
// order.
func TestUnreachableTailGives503(t *testing.T) {
	for name, storeError := range map[string]error{
		"the chain has no majority":      rpc.Errorf(rpc.Unavailable, "the chain takes nothing now"),
		"the tail does not answer":       rpc.Errorf(rpc.Unknown, "the chain did not answer in time"),
		"the store is overloaded":        rpc.Errorf(rpc.Busy, "the store has too much to do"),
		"no answer comes":                nil,
		"only state from the disk comes": nil,
	} {
		registry := newTestRegistry(t)
		hangs := name == "no answer comes"
		if hangs {
			registry.storeTimeout = time.Millisecond
		}
		registry.store.Close()
		ended := make(chan struct{})
		t.Cleanup(func() { close(ended) })
		registry.store = rpc.NewPeer(serveRPC(t, func(server *rpc.Server) {
			rpc.Handle(server, func(context.Context, api.CommitRequest) (api.CommitResponse, error) {
				if hangs {
					<-ended
				}
				if storeError == nil { // an order may be under way, its outcome is unknown
					return api.CommitResponse{}, rpc.Errorf(rpc.Unknown, "the chain did not answer in time")
				}
				return api.CommitResponse{}, storeError
			})
			rpc.Handle(server, func(context.Context, api.CommittedStateRequest) (api.CommittedStateResponse, error) {
				if hangs {
					<-ended
				}
				recalled := committedState(5, 12, "a1")
				recalled.Orders = map[string]chain.NamedOrder{OrderMirroring: {Number: 3, Body: []byte(mirrorOrderJSON(3, "10.0.0.9:80"))}}
				return api.CommittedStateResponse{Stale: true, State: recalled}, storeError
			})
		}))
		t.Cleanup(registry.store.Close)
		for _, c := range []struct{ method, path, body string }{
			{"PUT", "/timetable", configuration}, {"GET", "/timetable", ""}, {"POST", "/evacuate/a1", ""}, {"DELETE", "/evacuate/a1", ""},
			{"PUT", "/shadow", mirrorOrderJSON(3, "10.0.0.9:80")}, {"PUT", "/shadow", mirrorOrderJSON(4, "10.0.0.9:80")}, {"GET", "/shadow", ""}, {"DELETE", "/shadow", ""},
		} {
			response := registry.request("control", c.method, c.path, strings.NewReader(c.body))
			assert.Equal(t, response.Code, 503, "%s: %s %s: %s", name, c.method, c.path, response.Body)
			assert.Assert(t, response.Header().Get("Retry-After") != "", "%s: %s %s", name, c.method, c.path)
		}
	}
}

// TestStateExpiresDuringFreeze: after a freeze of 20 s no member, no duty and no answer of the tail
// counts as current.
func TestStateExpiresDuringFreeze(t *testing.T) {
	registry := newTestRegistry(t)
	now := useTestClock(registry)
	registry.EnableShedding(shedding.Options{})
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}, State: committedState(1, 12)}, nil)
	registry.winDuty(now, 0)
	registry.sessions.Heartbeat(registry.now(), membership.Member{Node: "p", Zone: "a1", Region: "a", Incarnation: 1, Sequence: 1, ClientAddr: "10.0.0.1:80", Ready: true})
	const path = "/resolve?name=x.example&region=a&zone=a1"
	assert.Equal(t, registry.request("directory", "GET", path, nil).Code, 200)
	assert.Assert(t, registry.heartbeat(api.SessionRequest{}).AsOf > -20_000)
	registry.mu.Lock()
	registry.sessions.Leave(registry.now(), "p", 1)
	registry.mu.Unlock()
	registry.sessions.Heartbeat(registry.now(), membership.Member{Node: "q", Zone: "a1", Region: "a", Incarnation: 2, Sequence: 1, ClientAddr: "10.0.0.2:80", Ready: true})
	now.Add(20_000)
	response := registry.request("directory", "GET", path, nil)
	assert.Equal(t, response.Code, 503, response.Body)
	assert.Assert(t, response.Header().Get("Retry-After") != "")
	for name, call := range map[string]func() error{
		"draw": func() error {
			_, err := registry.handleQuotaRequest(t.Context(), api.AllocationRequest{Node: "p", Incarnation: 1, Sequence: 1})
			return err
		},
		"level": func() error {
			_, err := registry.handleFixLevel(t.Context(), api.FixSheddingLevel{Cut: 1, DurationMS: 5})
			return err
		},
		"strain": func() error {
			_, err := registry.handleLoadReport(t.Context(), api.PressureReport{})
			return err
		},
	} {
		assert.Equal(t, rpc.KindOf(call()), rpc.Unavailable, name)
	}
	answer := registry.heartbeat(api.SessionRequest{})
	assert.Assert(t, answer.Stale)
	assert.Assert(t, answer.AsOf <= -20_000, "%v", answer.AsOf)
}

// TestOrderOfDisconnectedCallerIsDropped: an order waited in a socket during a partition or a
// freeze, followed by the end of its connection. Such an order without a number is dropped; one
// that is submitted is bound to the position that the tail confirmed.
func TestOrderOfDisconnectedCallerIsDropped(t *testing.T) {
	for _, c := range []struct{ method, path string }{{"POST", "/evacuate/a1"}, {"DELETE", "/evacuate/a1"}, {"DELETE", "/shadow"}} {
		for _, disconnects := range []bool{true, false} {
			registry := newTestRegistry(t)
			current := chain.NamedOrder{Number: 7, Body: []byte(mirrorOrderJSON(7, "10.0.0.9:80"))}
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
				if disconnects {
					disconnect()
				}
				return api.CommittedStateResponse{Last: chain.LogPosition{Seq: 9, View: 3}, State: &chain.State{Orders: map[string]chain.NamedOrder{OrderMirroring: current}}}, nil
			}
			response := httptest.NewRecorder()
			registry.handlers()["control"].ServeHTTP(response, httptest.NewRequestWithContext(ctx, c.method, c.path, nil))
			assert.Equal(t, len(registry.submitted) > 0, !disconnects, "%s %s", c.method, c.path)
			if disconnects {
				assert.Equal(t, response.Code, 503, "%s %s", c.method, c.path)
			}
		}
	}
}

// TestZoneChangeIsRetriedAfterConflict: if the zone was changed in between, the order is submitted
// again after the new position.
func TestZoneChangeIsRetriedAfterConflict(t *testing.T) {
	registry := newTestRegistry(t)
	var positions []chain.LogPosition
	registry.store.Close()
	registry.store = rpc.NewPeer(serveRPC(t, func(server *rpc.Server) {
		rpc.Handle(server, func(_ context.Context, request api.CommitRequest) (api.CommitResponse, error) {
			if positions = append(positions, request.LastKnown); len(positions) == 1 {
				return api.CommitResponse{}, rpc.Errorf(rpc.Stale, "the zone was changed meanwhile")
			}
			return api.CommitResponse{}, nil
		})
		rpc.Handle(server, func(context.Context, api.CommittedStateRequest) (api.CommittedStateResponse, error) {
			return api.CommittedStateResponse{Last: chain.LogPosition{Seq: 5 + uint64(len(positions)), View: 1}}, nil
		})
	}))
	t.Cleanup(registry.store.Close)
	assert.Equal(t, registry.request("control", "POST", "/evacuate/a1", nil).Code, 200)
	assert.DeepEqual(t, positions, []chain.LogPosition{{Seq: 5, View: 1}, {Seq: 6, View: 1}})
}

// TestDisconnectIsNoticedWhileReadingTail: a request and the end of its connection are in the
// socket together, as after a freeze. The end is noticed while the tail is read.
func TestDisconnectIsNoticedWhileReadingTail(t *testing.T) {
	registry := newTestRegistry(t)
	requestContext := make(chan context.Context, 1)
	control := registry.handlers()["control"]
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		requestContext <- r.Context()
		control.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		<-(<-requestContext).Done()
		return api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}}, nil
	}
	connection, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	_, err = io.WriteString(connection, "POST /evacuate/a1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, connection.Close())
	<-done
	assert.Equal(t, len(registry.submitted), 0)
}

// TestReloadAddsZones: a zone that is new in the settings can be evacuated without a restart.
func TestReloadAddsZones(t *testing.T) {
	registry := newTestRegistry(t)
	assert.Equal(t, registry.request("control", "POST", "/evacuate/c1", nil).Code, 404)
	settings := *registry.settings
	settings.Zones = map[string]string{"a1": "a", "c1": "c"}
	registry.Reload(&settings)
	assert.Equal(t, registry.request("control", "POST", "/evacuate/c1", nil).Code, 200)
	assert.Equal(t, registry.request("control", "POST", "/evacuate/b%201", nil).Code, 404)
}

// TestFixLevelNeedsTail: an operator's order for the shedding level is neither applied nor
// forwarded if the tail is not reached or the caller has disconnected.
func TestFixLevelNeedsTail(t *testing.T) {
	registry := newTestRegistry(t)
	now := useTestClock(registry)
	registry.EnableShedding(shedding.Options{})
	registry.confirmState(api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}, State: committedState(1, 12)}, nil)
	registry.mu.Lock()
	registry.election = election.New(registry.settings.InnerAddress(registryPort), 1, registry.now(), dutyLeaseMs, true, dutyEndpoints, DutyShedding)
	registry.mu.Unlock()
	fixLevel := func(ctx context.Context) error {
		registry.winDuty(now, 0)
		for held := false; !held; {
			now.Add(20)
			registry.stepElection(t.Context())
			_, held = registry.election.Holds(registry.now(), DutyShedding)
		}
		_, err := registry.handleFixLevel(ctx, api.FixSheddingLevel{Cut: 5, DurationMS: 1000})
		return err
	}
	assert.NilError(t, fixLevel(t.Context()))
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		disconnect()
		return api.CommittedStateResponse{Last: chain.LogPosition{Seq: 1}}, nil
	}
	assert.Assert(t, fixLevel(ctx) != nil)
	registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		return api.CommittedStateResponse{Stale: true}, nil
	}
	assert.Equal(t, rpc.KindOf(fixLevel(t.Context())), rpc.Stale)
	registry.confirm = func(api.CommittedStateRequest) (api.CommittedStateResponse, error) {
		return api.CommittedStateResponse{}, rpc.Errorf(rpc.Unavailable, "no tail")
	}
	assert.Equal(t, rpc.KindOf(fixLevel(t.Context())), rpc.Unavailable)
}
