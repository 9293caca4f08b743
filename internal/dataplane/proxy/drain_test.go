package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/dataplane/link"
	"foxwood/internal/rpc/api"
)

// readiness returns a function that makes readiness checks at an address of its own.
func (s *testProxy) readiness(t *testing.T) func(path string) int {
	ln, err := link.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go ln.Accept(s.loop, func() *link.ClientConn { return s.readinessClients.NewConn() })
	t.Cleanup(func() { _ = ln.Close() })
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(path string) int {
		t.Helper()
		res, err := client.Get("http://" + ln.Addr().String() + path)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		if res.StatusCode == http.StatusServiceUnavailable {
			checkRetryAfter(t, res)
		}
		return res.StatusCode
	}
}

// TestReady: a gatekeeper is ready once it has a configuration and workers and, if revocations are final, has heard
// from a registry in touch with the tail. It is not ready while it drains.
func TestReady(t *testing.T) {
	for _, final := range []bool{false, true} {
		proxy := newTestProxy(t, map[bool]string{true: "revocationFinal=true", false: "revocationFinal=false"}[final])
		check := proxy.readiness(t)
		assert.Equal(t, check("/other"), 404)
		assert.Equal(t, check("/ready"), 503)
		res, _ := proxy.do("GET", "/", "", "")
		assert.Equal(t, res.StatusCode, 503, "status before the first configuration; 404 would tell clients not to retry")
		checkRetryAfter(t, res)
		proxy.receive(api.SessionResponse{Stale: true}, newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
		assert.Equal(t, check("/ready"), 503)
		proxy.receive(stale(fullList(1, startWorker(t, "w", "a", replyWorkerID, nil))), nil)
		assert.Equal(t, check("/ready"), map[bool]int{true: 503, false: 200}[final])
		proxy.receive(api.SessionResponse{ConfigVersion: 1}, nil)
		assert.Equal(t, check("/ready?x=1"), 200)
		proxy.runOnLoop(func() { assert.Check(t, proxy.heartbeatRequest().Member.Ready) })
		proxy.runOnLoop(func() { proxy.draining = true })
		assert.Equal(t, check("/ready"), 503)
		proxy.runOnLoop(func() {
			g := proxy.heartbeatRequest().Member
			assert.Check(t, !g.Ready && g.Leaving)
		})
	}
}

// TestListenerStaysOpenDuringDrain: the listener stays open for the two seconds for which clients use the directory's
// answer, if the grace period allows it, but not beyond half of that period: the rest is for open requests.
func TestListenerStaysOpenDuringDrain(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		elapsed, limit           time.Duration
		closeListener, closeIdle bool
	}{
		{0, 20000 * ms, false, false},
		{drainPollInterval, 20000 * ms, false, false},
		{1000 * ms, 20000 * ms, false, false},
		{1200 * ms, 20000 * ms, false, true},
		{2000 * ms, 20000 * ms, false, true},
		{2500 * ms, 20000 * ms, true, true},
		{900 * ms, 2000 * ms, false, false},
		{1050 * ms, 2000 * ms, true, false},
	} {
		closeListener, closeIdle := drainState(test.elapsed, test.limit)
		assert.Check(t, closeListener == test.closeListener && closeIdle == test.closeIdle, "%v of %v: close listener %v, close idle %v", test.elapsed, test.limit, closeListener, closeIdle)
	}
}

// TestDrain: requests that were read are answered, also those that arrive before the listener closes. Each answer
// closes its connection, and no connection is left waiting at the listener when it closes.
func TestDrain(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	received, release, last := make(chan *workerRequest, 3), make(chan bool), make(chan bool)
	var ran atomic.Int64
	slow := func(n int, r *workerRequest) bool {
		if ran.Add(1); n < 3 {
			received <- r
			if r.body == "uno" {
				<-last
			} else {
				<-release
			}
		}
		return replyWorkerID(n, r)
	}
	proxy.receive(fullList(1, startWorker(t, "w", "a", slow, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	idle := proxy.dial()
	before := proxy.dial().send(newRequest("POST", "/", "", "uno"))
	await(t, received)
	ended := make(chan bool)
	began := time.Now()
	go func() {
		proxy.drain(proxy.listener)
		close(ended)
	}()
	for draining := false; !draining; {
		proxy.runOnLoop(func() { draining = proxy.draining })
	}
	onNewConn := proxy.dial().send(newRequest("POST", "/", "", "dos"))
	await(t, received)
	onOldConn := idle.send(newRequest("POST", "/", "", "tres")) // on a connection that was open before
	await(t, received)
	release <- true
	release <- true
	checkAnswer := func(c *testClient) {
		res, body := c.readResponse()
		assert.Equal(t, res.StatusCode, 200)
		assert.Equal(t, body, "w")
		assert.Assert(t, res.Close, "answer without Connection: close")
	}
	checkAnswer(onNewConn)
	checkAnswer(onOldConn)
	// Clients keep connecting. Each is answered, or its request was never read and so has not run.
	answered := int64(3)
	for {
		c, err := net.Dial("tcp", proxy.addr)
		if err != nil {
			break
		}
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, _ = io.WriteString(c, newRequest("POST", "/", "", ""))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			assert.Equal(t, res.StatusCode, 200)
			answered++
		}
		_ = c.Close()
	}
	limit := time.Duration(proxy.settings.Bounds.GraceS*float64(time.Second)) - drainReserve
	assert.Assert(t, time.Since(began) > min(drainAcceptTime, limit/2), "the listener was closed while the directory still names this gatekeeper")
	select {
	case <-ended:
		t.Error("the drain ended with a request open")
	case <-time.After(4 * drainPollInterval): // long enough for several checks for open requests
	}
	close(last)
	checkAnswer(before)
	await(t, ended)
	assert.Equal(t, ran.Load(), answered)
	proxy.runOnLoop(func() { assert.Check(t, proxy.clients.OpenConns() == 0) })
}
