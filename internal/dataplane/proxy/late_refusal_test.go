package proxy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLateRefusalIsNotTakenForAnswer: a worker sends a second refusal late, where the answer to the next request is
// due, which it runs. If the refusal were taken for that answer, the request would be sent to another worker as well.
func TestLateRefusalIsNotTakenForAnswer(t *testing.T) {
	t.Parallel()
	refusal := func(id string) string {
		return "HTTP/1.1 503 T\r\n" + id + notDeliveredLine + "Content-Length: 0\r\n\r\n"
	}
	t.Run("without an id", func(t *testing.T) {
		proxy := newTestProxy(t)
		received := make(chan *workerRequest, 99)
		script := func(n int, r *workerRequest) bool { // the first request establishes the connection
			return (n == 0 || rawReply(refusal(""))(n, r)) && replyWorkerID(n, r)
		}
		routes := []routeSpec{{prefix: "/", destination: "a", unsafe: true}}
		worker := startWorker(t, "w-1", "a", script, received)
		proxy.receive(fullList(1, worker), newConfig(t, 1, routes))
		proxy.reuseAtOnce()
		res, _ := proxy.do("POST", "/", "", "uno")
		assert.Equal(t, res.StatusCode, 200)
		first := await(t, received)
		client := proxy.dial().send(newRequest("POST", "/", "", "dos"))
		second := await(t, received)
		assert.Equal(t, second.conn, first.conn, "the connection was not reused")
		proxy.receive(fullList(2, worker, startWorker(t, "w-2", "a", replyWorkerID, received)), nil)
		res, _ = client.readResponse()
		assert.Equal(t, res.StatusCode, 502, "status of a request that may have run")
		assert.Equal(t, len(received), 0, "requests sent after the refusal")
	})
	t.Run("with the id of the same attempt", func(t *testing.T) {
		proxy := newTestProxy(t)
		received := make(chan *workerRequest, 99)
		script := func(n int, r *workerRequest) bool { // requests are served, refused, run
			return (n != 1 && n != 2 || rawReply(refusal(tryIDPrefix+r.id+"\r\n"))(n, r)) && (n == 1 || replyWorkerID(n, r))
		}
		routes := []routeSpec{{prefix: "/", destination: "a", unsafe: true}}
		proxy.receive(fullList(1, startWorker(t, "w-1", "a", script, received)), newConfig(t, 1, routes))
		proxy.reuseAtOnce()
		res, _ := proxy.do("POST", "/", "", "uno")
		assert.Equal(t, res.StatusCode, 200)
		proxy.do("POST", "/", "", "dos")
		await(t, received)
		refused, ran := await(t, received), await(t, received)
		assert.Assert(t, refused.conn != ran.conn, "retried on the connection on which it was refused")
	})
}

// reuseAtOnce has connections to workers reused without a delay.
func (s *testProxy) reuseAtOnce() {
	s.runOnLoop(func() {
		for _, pool := range s.poolList {
			pool.fleet.SettleMS = 0
		}
	})
}
