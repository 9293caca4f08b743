package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/dataplane/mirror"
	"foxwood/internal/rpc/api"
)

// testMirror is a proxy that mirrors traffic, with a clock that the test sets.
type testMirror struct {
	*testProxy
	tested     *requestMirror
	clockMs    atomic.Int64
	ruleNumber uint64 // number of the newest rule
}

// newTestMirror starts a proxy that mirrors traffic.
func newTestMirror(t *testing.T) *testMirror {
	t.Helper()
	c := &testMirror{testProxy: newTestProxy(t)}
	c.startMirror(func() float64 { return float64(1 + c.clockMs.Load()) })
	c.tested = c.mirror
	return c
}

// setRule passes a new rule with one target to the proxy, and then the members.
func (c *testMirror) setRule(to string, more string) {
	c.t.Helper()
	c.ruleNumber++
	c.receive(api.SessionResponse{MirrorOrderNumber: c.ruleNumber, MirrorOrder: fmt.Appendf(nil, `{"number":%d,"routes":["r0"],"share":1,"key":"0123456789","endS":10,`+
		`"journey":{"from":"cookie","name":"visit"},"headersOut":["X-Secret"],"shadows":[{"route":"r0","address":%q}]%s}`, c.ruleNumber, to, more)}, nil)
	c.setMembers()
}

// setMembers passes the members to the proxy, which is the only one.
func (c *testMirror) setMembers() {
	c.t.Helper()
	c.receive(api.SessionResponse{Settled: true, SeatsChecksum: 5, Seats: []mirror.Member{{Node: c.settings.Node, Incarnation: c.incarnation, Region: "a", InternalAddress: c.settings.InnerAddress(0)}}}, nil)
}

// advance lets time pass, with a turn of the mirror every 500 ms.
func (c *testMirror) advance(seconds int) {
	c.t.Helper()
	for range seconds * 2 {
		c.clockMs.Add(500)
		c.setMembers()
		c.tested.turn(c.t.Context(), true)
	}
}

// turnsUntil runs turns until a condition is true. Several are needed, since a turn is limited in processor time.
func (c *testMirror) turnsUntil(until func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !until(); {
		c.tested.turn(c.t.Context(), false)
		assert.Assert(c.t, time.Now().Before(end), "the condition did not become true within the test's time limit")
	}
}

// engineCounts returns the counters of the engine.
func (c *testMirror) engineCounts() (n mirror.Counts) {
	c.tested.withEngine(func() { n = c.tested.engine.Status(c.tested.now()).Counts })
	return n
}

// startTarget starts a mirror target.
func startTarget(t *testing.T, do http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: do}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// longTimeout makes the timeout of a target long enough for any machine.
const longTimeout = `,"timeoutS":60`

// visitHeaders are the headers of a request that belongs to the flow v1.
const visitHeaders = "Cookie: visit=v1; basket=7\r\nX-Secret: s\r\nX-Kept: k\r\n"

// TestFlowIsMirrored: the requests of a flow are mirrored after they were forwarded and answered, in order, with the
// statuses of the answers and without the headers that must not leave.
func TestFlowIsMirrored(t *testing.T) {
	proxy := newTestMirror(t)
	copies := make(chan *http.Request, 9)
	bodies := make(chan string, 9)
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		copies <- r
		bodies <- string(b)
		_, _ = io.WriteString(w, strings.Repeat("thrown away", 1000))
	})
	proxy.receive(api.SessionResponse{}, newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}, {prefix: "/other/", destination: "a"}}, tenantSpec{name: "ann"}))
	proxy.setRule(target, longTimeout)
	proxy.advance(15) // flows that may have begun before the collector are not mirrored

	// A request that waits for a worker has not been forwarded, so nothing is noted.
	early := proxy.dial().send(newRequest("POST", "/one", visitHeaders+"Authorization: Bearer k-ann\r\n", "uno"))
	for waits := 0; waits == 0; {
		proxy.runOnLoop(func() { waits = proxy.pools["a"].core.OpenRequests() })
	}
	proxy.runOnLoop(func() {
		assert.Check(t, proxy.tested.openRequests == 0 && len(proxy.tested.notes) == 0, "the request was noted before it was forwarded")
	})
	live, release := make(chan *workerRequest, 9), make(chan bool)
	proxy.receive(fullList(1, startWorker(t, "w", "a", func(n int, s *workerRequest) bool {
		live <- s
		<-release
		return replyWorkerID(n, s)
	}, nil)), nil)
	liveRequest := await(t, live)
	assert.Equal(t, liveRequest.Header.Get("X-Foxwood-Shadow"), "")
	proxy.runOnLoop(func() {
		assert.Check(t, proxy.tested.openRequests == 1, "%d requests noted", proxy.tested.openRequests)
	})
	close(release)
	res, _ := early.readResponse()
	assert.Equal(t, res.StatusCode, 200)
	proxy.clockMs.Add(100)
	res, _ = proxy.do("POST", "/two", visitHeaders+"Authorization: Bearer k-ann\r\n", "dos")
	assert.Equal(t, res.StatusCode, 200)
	res, _ = proxy.do("GET", "/other/", visitHeaders+"Authorization: Bearer k-ann\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	proxy.runOnLoop(func() {
		assert.Check(t, proxy.tested.openRequests == 0)
		assert.Check(t, proxy.tested.queuedBytes.Load() >= 0)
	})
	proxy.advance(20)
	for i, want := range []struct{ path, body string }{{"/one", "uno"}, {"/two", "dos"}} {
		proxy.turnsUntil(func() bool { return len(copies) > 0 })
		r := await(t, copies)
		assert.Equal(t, r.URL.Path, want.path)
		assert.Equal(t, await(t, bodies), want.body)
		assert.Equal(t, r.Host, "x.example")
		mark := r.Header.Get("X-Foxwood-Shadow")
		assert.Assert(t, strings.HasPrefix(mark, "whole") && strings.Contains(mark, fmt.Sprintf("n=%d; of=2", i+1)) && strings.Contains(mark, "status=200"), mark)
		assert.Assert(t, r.Header.Get("X-Foxwood-Shadow-Id") != "")
		assert.Equal(t, r.Header.Get("X-Kept"), "k")
		for _, out := range []string{"Authorization", "Cookie", "X-Secret", headerTryID, headerSender, headerTimeLeft} {
			assert.Equal(t, r.Header.Get(out), "", out)
		}
		proxy.turnsUntil(func() bool { return proxy.engineCounts().CopiesAnswered > uint64(i) })
	}
	counts := proxy.engineCounts()
	assert.Equal(t, counts.Complete, uint64(1))
	assert.Equal(t, counts.CopiesIssued, uint64(2))
	assert.Equal(t, proxy.tested.queuedBytes.Load(), int64(0))
	assert.Equal(t, len(copies), 0, "requests that were mirrored twice, or on a route that the rule does not name")
}

// TestIncompleteFlowCauses checks what makes a flow incomplete: no room, overload, a client that gets no whole
// answer, or bodies that are too large. The clients' answers are not affected, and a request that never ran makes no
// flow incomplete.
func TestIncompleteFlowCauses(t *testing.T) {
	for _, test := range []struct {
		name    string
		cause   mirror.Cause
		prepare func(proxy *testMirror)
		do      workerScript
		body    string
		status  int
	}{
		{name: "no room", cause: mirror.GatekeeperFull, prepare: func(proxy *testMirror) {
			proxy.runOnLoop(func() { proxy.tested.maxQueuedBytes = 10 })
		}, do: replyWorkerID, status: 200},
		{name: "overload", cause: mirror.Overloaded, prepare: func(proxy *testMirror) {
			proxy.runOnLoop(func() { proxy.tested.overloaded, proxy.tested.lastHighPressure = true, proxy.tested.now() })
		}, do: replyWorkerID, status: 200},
		{name: "a body over the limit", cause: mirror.BodyTooLarge, do: replyWorkerID, body: repeatedText(5000), status: 200},
		{name: "a streamed body", cause: mirror.BodyTooLarge, do: replyWorkerID, body: repeatedText(200 << 10), status: 200},
		{name: "a streamed answer", cause: mirror.BodyTooLarge, do: reply(200, postmarkLine, repeatedText(200<<10)), status: 200},
		{name: "no complete answer", cause: mirror.NoAnswer, do: closeConn, status: 502},
		{name: "it never ran", cause: mirror.NotBroken, do: reply(503, notDeliveredLine, ""), status: 503},
		{name: "a failure of the worker", cause: mirror.NotBroken, do: reply(500, "", "no"), status: 500},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy := newTestMirror(t)
			proxy.receive(fullList(1, startWorker(t, "w", "a", test.do, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true, attempts: 1}}))
			proxy.setRule("127.0.0.1:9", `,"maxBody":4096`)
			proxy.advance(15)
			if test.prepare != nil {
				test.prepare(proxy)
			}
			res, _ := proxy.do("POST", "/", visitHeaders, test.body)
			assert.Equal(t, res.StatusCode, test.status)
			for open := 1; open > 0; {
				proxy.runOnLoop(func() { open = proxy.tested.openRequests })
			}
			proxy.tested.withEngine(func() {
				if test.cause != mirror.NotBroken {
					assert.Check(t, proxy.tested.engine.Status(proxy.tested.now()).Counts.Lost == 1)
				}
			})
			proxy.advance(20)
			counts := proxy.engineCounts()
			if test.cause != mirror.NotBroken {
				assert.Equal(t, counts.BrokenByCause[test.cause], uint64(1), "%v", counts)
				return
			}
			assert.Equal(t, counts.Broken, uint64(0), "%v", counts)
			assert.Equal(t, counts.Complete, map[bool]uint64{true: 0, false: 1}[test.status == 503])
		})
	}
}

// TestFullNoteQueueDelaysNoRequest: while no notes are processed all requests are answered, and flows that may have
// lost notes are not reported as complete.
func TestFullNoteQueueDelaysNoRequest(t *testing.T) {
	proxy := newTestMirror(t)
	proxy.tested.notes = make(chan note, reservedNotes+4)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.setRule("127.0.0.1:9", "")
	client := proxy.dial()
	for range 50 {
		res, _ := client.send(newRequest("GET", "/", visitHeaders, "")).readResponse()
		assert.Equal(t, res.StatusCode, 200)
	}
	assert.Assert(t, len(proxy.tested.notes) <= reservedNotes+4)
	assert.Assert(t, proxy.tested.counts.lost.Load() > 0 && proxy.tested.notesLost.Load())
	proxy.advance(1)
	assert.Assert(t, !proxy.tested.notesLost.Load())
	proxy.advance(30)
	counts := proxy.engineCounts()
	assert.Equal(t, counts.Complete, uint64(0), "complete flows, although notes were lost")
}

// TestTargetThatBecomesLiveStopsMirroring: once the address of a mirror target belongs to a live worker, mirroring
// stops, and nothing more is sent to it.
func TestTargetThatBecomesLiveStopsMirroring(t *testing.T) {
	proxy := newTestMirror(t)
	var received atomic.Int64
	target := startTarget(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
	live := startWorker(t, "w", "a", replyWorkerID, nil)
	proxy.receive(fullList(1, live), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.setRule(target, "")
	proxy.advance(15)
	res, _ := proxy.do("GET", "/", visitHeaders, "")
	assert.Equal(t, res.StatusCode, 200)
	proxy.advance(1)
	proxy.receive(fullList(2, live, api.Worker{ID: "new", Destination: "b", Addr: target, Zone: "b1"}), nil)
	proxy.tested.withEngine(func() {
		status := proxy.tested.engine.Status(proxy.tested.now())
		assert.Check(t, !status.Active && status.InactiveCause == mirror.TargetIsLive)
	})
	delivery := &mirror.Delivery{ID: 1, Address: target, TimeoutMs: 1000}
	assert.Assert(t, !proxy.tested.send(t.Context(), delivery))
	assert.Equal(t, proxy.tested.counts.refused.Load(), uint64(1))
	proxy.advance(20)
	assert.Equal(t, received.Load(), int64(0))
	counts := proxy.engineCounts()
	assert.Assert(t, counts.BrokenByCause[mirror.TargetIsLive] == 1 && counts.CopiesIssued == 0, "%v", counts)
	proxy.receive(fullList(3, live), nil)
	proxy.tested.withEngine(func() {
		assert.Check(t, !proxy.tested.engine.Status(proxy.tested.now()).Active, "mirroring must not resume before a new rule")
	})
	for _, inner := range []string{proxy.settings.InnerAddress(0), proxy.settings.SeedAddresses(0)[0]} {
		assert.Assert(t, (*proxy.tested.liveAddresses.Load())[inner], inner)
	}
}

// TestBadTargetDelaysNoRequest: a mirror target that hangs or sends endless answers delays only its own requests, and
// each is sent once.
func TestBadTargetDelaysNoRequest(t *testing.T) {
	for name, flood := range map[string]bool{"hangs": false, "floods": true} {
		t.Run(name, func(t *testing.T) {
			proxy := newTestMirror(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var calls atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					calls.Add(1)
					t.Cleanup(func() { _ = conn.Close() })
					go func() {
						if flood {
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
							for err := error(nil); err == nil; {
								_, err = conn.Write(make([]byte, 64<<10))
							}
						}
					}()
				}
			}()
			t.Cleanup(func() { _ = listener.Close() })
			proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
			proxy.setRule(listener.Addr().String(), map[bool]string{true: longTimeout, false: `,"timeoutS":0.5`}[flood])
			proxy.advance(15)
			for i := range 4 {
				res, _ := proxy.do("GET", "/", fmt.Sprintf("Cookie: visit=v%d\r\n", i), "")
				assert.Equal(t, res.StatusCode, 200)
			}
			proxy.advance(20)
			for finished := uint64(0); finished < 4; {
				proxy.tested.turn(t.Context(), false)
				res, _ := proxy.do("GET", "/other", "", "") // live requests are still served
				assert.Equal(t, res.StatusCode, 200)
				counts := proxy.engineCounts()
				finished = counts.CopiesAnswered + counts.CopiesFailed
				if flood {
					assert.Equal(t, counts.CopiesFailed, uint64(0))
				} else {
					assert.Equal(t, counts.CopiesAnswered, uint64(0))
				}
			}
			assert.Equal(t, calls.Load(), int64(4))
		})
	}
}

// TestDrainDuringMirroring: a drain takes no longer because of mirroring. Only the end of the process waits for it,
// for a limited time.
func TestDrainDuringMirroring(t *testing.T) {
	proxy := newTestMirror(t)
	target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.setRule(target, "")
	proxy.advance(15)
	res, _ := proxy.do("GET", "/", visitHeaders, "")
	assert.Equal(t, res.StatusCode, 200)
	proxy.advance(20)
	proxy.turnsUntil(func() (out bool) {
		proxy.tested.withEngine(func() { out = proxy.tested.deliveries == 1 })
		return out
	})
	proxy.tested.mu.Lock() // the drain must not need the mirror's lock
	ended := make(chan bool)
	go func() {
		proxy.drain(proxy.listener)
		close(ended)
	}()
	await(t, ended)
	proxy.tested.mu.Unlock()
	began := time.Now()
	proxy.tested.handOver(0)
	assert.Assert(t, time.Since(began) < testTimeout)
	proxy.tested.withEngine(func() { assert.Check(t, !proxy.tested.engine.IsDrained(proxy.tested.now())) })
	idle := newTestMirror(t)
	began = time.Now()
	idle.tested.handOver(time.Hour) // nothing was ever mirrored
	assert.Assert(t, time.Since(began) < testTimeout)
	var none *requestMirror  // mirroring is off
	none.handOver(time.Hour) // there is nothing to wait for
}

// TestMirroringOff: without mirroring nothing is noted, and no members are requested.
func TestMirroringOff(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.receive(api.SessionResponse{MirrorOrderNumber: 3, MirrorOrder: []byte(`{"number":3,"stopped":true}`)}, nil)
	res, _ := proxy.do("GET", "/", visitHeaders, "")
	assert.Equal(t, res.StatusCode, 200)
	proxy.runOnLoop(func() {
		assert.Check(t, proxy.clients.OnRequestEnded == nil && proxy.pools["a"].fleet.OnSent == nil)
		request := proxy.heartbeatRequest()
		assert.Check(t, !request.MirrorsTraffic && request.MirrorOrderNumber == 3, "the rule has to be held for zone peers")
	})
	_, err := proxy.handleCollect(context.Background(), api.CollectRequest{})
	assert.ErrorContains(t, err, "copies nothing")
	answer, err := proxy.mirrorStatus(context.Background(), api.MirrorStatusRequest{})
	assert.Assert(t, err == nil && answer.Disabled)
}

// TestNotesAreProcessedInOrder: while several goroutines use the engine, no request's end is processed before its
// begin.
func TestNotesAreProcessedInOrder(t *testing.T) {
	proxy := newTestMirror(t)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	proxy.setRule("127.0.0.1:9", "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go proxy.runMirror(ctx)
	for range 4 {
		go func() {
			for ctx.Err() == nil {
				proxy.engineCounts()
			}
		}()
	}
	client := proxy.dial()
	for range 500 {
		res, _ := client.send(newRequest("GET", "/", visitHeaders, "")).readResponse()
		assert.Equal(t, res.StatusCode, 200)
	}
	counts := proxy.engineCounts()
	assert.Equal(t, counts.Copied+counts.Lost, uint64(500), "%v", counts)
}

// TestBrokenAnswerOfTarget guards against counting a copy as answered whose target broke its answer off.
func TestBrokenAnswerOfTarget(t *testing.T) {
	proxy := newTestMirror(t)
	target := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "less") // and the server closes the connection
	})
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}, tenantSpec{name: "ann"}))
	proxy.setRule(target, longTimeout)
	proxy.advance(15) // flows that may have begun before the collector are not mirrored
	res, _ := proxy.do("POST", "/one", visitHeaders+"Authorization: Bearer k-ann\r\n", "uno")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	proxy.advance(20)
	var counts mirror.Counts
	proxy.turnsUntil(func() bool {
		counts = proxy.engineCounts()
		return counts.CopiesAnswered+counts.CopiesFailed > 0
	})
	assert.Equal(t, counts.CopiesFailed, uint64(1))
	assert.Equal(t, counts.CopiesAnswered, uint64(0))
}
