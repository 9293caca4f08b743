package proxy

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

// TestDisconnectCancelsRunningRequest: a worker that runs a request learns at once that the client has closed its
// connection, for safe and unsafe requests, and no other worker gets the request.
func TestDisconnectCancelsRunningRequest(t *testing.T) {
	t.Parallel()
	for _, unsafe := range []bool{false, true} {
		proxy := newTestProxy(t)
		received, ended := make(chan *workerRequest, 9), make(chan bool, 9)
		atWork := func(_ int, r *workerRequest) bool {
			_, _ = r.conn.Read(make([]byte, 1)) // until the other side closes it
			ended <- true
			return false
		}
		proxy.receive(fullList(1, startWorker(t, "w-1", "a", atWork, received), startWorker(t, "w-2", "a", atWork, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: unsafe}}))
		c := proxy.dial().send(newRequest("POST", "/", "", "uno"))
		await(t, received)
		assert.NilError(t, c.conn.Close())
		await(t, ended)
		assert.Equal(t, len(received), 0)
	}
}

// TestDisconnectCancelsQueuedRequest: a request that waits for a worker is sent to none once its client has
// disconnected.
func TestDisconnectCancelsQueuedRequest(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 9)
	proxy.receive(fullList(1), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	gone := proxy.dial().send(newRequest("GET", "/gone", "", ""))
	proxy.awaitOpen(1)
	assert.NilError(t, gone.conn.Close())
	proxy.awaitOpen(0)
	proxy.receive(fullList(2, startWorker(t, "w-1", "a", replyWorkerID, received)), nil)
	res, _ := proxy.do("GET", "/next", "", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, await(t, received).URL.Path, "/next")
	assert.Equal(t, len(received), 0)
}

// awaitOpen waits until n requests are queued or running.
func (s *testProxy) awaitOpen(n int) {
	for deadline := time.Now().Add(testTimeout); ; {
		open := 0
		s.runOnLoop(func() {
			for _, pool := range s.poolList {
				open += pool.core.Load().Queued + pool.core.Load().InFlight
			}
		})
		if open == n {
			return
		}
		assert.Assert(s.t, time.Now().Before(deadline), "%d requests are queued or running", open)
	}
}

// TestConnectionWithUnfinishedBodyIsNotReused: a worker answers before it has read a long body, keeps the connection
// and reads on. It must get the rest of that body or the end of the connection, never the bytes of another request.
func TestConnectionWithUnfinishedBodyIsNotReused(t *testing.T) {
	t.Parallel()
	const size = 5 << 20
	for _, answer := range []int{4, 2 << 20} {
		proxy := newTestProxy(t)
		type rest struct {
			n   int64
			sum uint32
			err error
		}
		rests, others := make(chan rest, 1), make(chan string, 9)
		addr := listenWorker(t, func(r *http.Request, c net.Conn) bool {
			if r.Method != http.MethodPost {
				others <- r.URL.Path
				_, err := io.WriteString(c, answerHeader(r, 0, false))
				return err == nil
			}
			h := crc32.NewIEEE()
			begun, _ := io.CopyN(h, r.Body, 1<<16)
			if _, err := io.WriteString(c, answerHeader(r, answer, false)); err != nil {
				return false
			}
			_ = writeBody(c, answer, false)
			n, err := io.Copy(h, r.Body)
			rests <- rest{begun + n, h.Sum32(), err}
			return err == nil
		})
		proxy.receive(fullList(1, api.Worker{ID: "w", Destination: "a", Addr: addr, Zone: "a1", Slots: 8}), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
		c := proxy.dialLong().send(newRequest("POST", "/long", bodyHeader(size, false), ""))
		_, err := io.CopyN(c.conn, bodyReader(size), 1<<20)
		assert.NilError(t, err)
		res, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
		for i := range 3 {
			res, _ := proxy.do("GET", fmt.Sprint("/", i), "", "")
			assert.Equal(t, res.StatusCode, 200)
			assert.Equal(t, await(t, others), fmt.Sprint("/", i))
		}
		_ = c.conn.Close()
		got := await(t, rests)
		assert.Assert(t, got.err != nil || got.n == size && got.sum == bodySum(size), "the worker received %d bytes that are not the body", got.n)
	}
}

// TestRouteDeadlineEndsRequest: a request that takes longer than its route's deadline is answered then, even if its
// client would wait longer. The worker is told at most that time, and the next worker at most what is left of it.
func TestRouteDeadlineEndsRequest(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 9)
	once := func(n int, r *workerRequest) bool {
		if n > 0 {
			return hang(n, r)
		}
		return reply(503, notDeliveredLine, "")(n, r)
	}
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", once, received), startWorker(t, "w-2", "a", once, received)),
		newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true, deadline: 0.4, target: 0.3}}))
	began := time.Now()
	c := proxy.dial().send(newRequest("POST", "/", "X-Foxwood-Time-Left: 60000\r\n", ""))
	res, _ := c.readResponse()
	assert.Assert(t, res.StatusCode == 502 || res.StatusCode == 503, "%d", res.StatusCode)
	assert.Assert(t, time.Since(began) < testTimeout/2, "the answer came after the client's deadline instead of the route's")
	before := 400
	for len(received) > 0 {
		left, err := strconv.Atoi(strings.TrimSpace((<-received).Header.Get(headerTimeLeft)))
		assert.NilError(t, err)
		assert.Assert(t, left > 0 && left <= before, "%d ms left for a worker, %d ms for the one before", left, before)
		before = left
	}
}

// TestReloadKeepsConnections: reloading the settings affects neither open requests nor idle connections.
func TestReloadKeepsConnections(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	received, release := make(chan *workerRequest, 9), make(chan bool)
	held := func(n int, r *workerRequest) bool {
		if r.URL.Path == "/held" {
			<-release
		}
		return replyWorkerID(n, r)
	}
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", held, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	c, kept := proxy.dial(), proxy.dial()
	res, _ := kept.send(newRequest("POST", "/kept", "", "")).readResponse()
	assert.Equal(t, res.StatusCode, 200)
	await(t, received)
	c.send(newRequest("POST", "/held", "", ""))
	await(t, received)
	set := *proxy.settings
	set.SeedNodes = []string{"127.0.0.1:2"}
	proxy.Reload(&set)
	release <- true
	res, _ = c.readResponse()
	assert.Equal(t, res.StatusCode, 200)
	assert.Assert(t, !res.Close)
	res, _ = kept.send(newRequest("POST", "/kept", "", "")).readResponse()
	assert.Equal(t, res.StatusCode, 200)
}

// TestAddedRouteIsServed checks routes that are added later, both with new terms and with those of an existing route.
func TestAddedRouteIsServed(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	first := []routeSpec{{prefix: "/first/", destination: "a"}}
	later := append(first, routeSpec{prefix: "/alike/", destination: "a"}, routeSpec{prefix: "/other/", destination: "a", unsafe: true, deadline: 30, target: 20, attempts: 1})
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", replyWorkerID, nil)), newConfig(t, 1, first))
	for range 3 {
		res, _ := proxy.do("GET", "/first/", "", "")
		assert.Equal(t, res.StatusCode, 200)
	}
	proxy.receive(api.SessionResponse{}, newConfig(t, 2, later))
	for _, path := range []string{"/alike/", "/other/", "/first/"} {
		for range 5 {
			res, _ := proxy.do("GET", path, "", "")
			assert.Equal(t, res.StatusCode, 200, path)
		}
	}
}
