package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

// TestLostAnswerOfLongRequest guards against repeating an unsafe request, or refusing it, after a worker has begun it before
// all of its body was in and then lost the answer: the request ran twice, or ran though its client got 503.
func TestLostAnswerOfLongRequest(t *testing.T) {
	t.Parallel()
	const begunBytes = 16 << 10 // what a worker reads before it begins
	for _, size := range []struct{ sent, all int }{{72 << 10, 90 << 10}, {200 << 10, 300 << 10}} {
		proxy := newTestProxy(t)
		began := make(chan bool, 9)
		var workers []api.Worker
		for _, id := range []string{"w-1", "w-2"} {
			workers = append(workers, startStreamWorker(t, id, func(r *http.Request, c net.Conn) {
				_, _ = io.CopyN(io.Discard, r.Body, begunBytes)
				began <- true
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}))
		}
		proxy.receive(fullList(1, workers...), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true, attempts: 2}}))
		client := proxy.dial().send(newRequest("POST", "/", bodyHeader(size.all, false), ""))
		_, err := io.CopyN(client.conn, bodyReader(size.all), int64(size.sent))
		assert.NilError(t, err)
		response, _ := client.readResponse()
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		assert.Equal(t, len(began), 1, "workers that began the request")
	}
}
