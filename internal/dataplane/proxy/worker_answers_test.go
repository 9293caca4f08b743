package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutReply writes the start of a success with its own framing headers, and then ends the connection.
func cutReply(lines, body string) workerScript {
	return func(n int, s *workerRequest) bool {
		return rawReply("HTTP/1.1 200 OK\r\n"+postmarkLine+tryIDPrefix+s.id+"\r\n"+lines+"\r\n"+body)(n, s) && false
	}
}

// badReplies are answers that are not a success, whatever their status says.
var badReplies = map[string]workerScript{
	"no postmark":   reply(200, "", "hola"),
	"two postmarks": reply(200, postmarkLine+postmarkLine, "hola"),
	"an encoding":   reply(200, postmarkLine+"Content-Encoding: gzip\r\n", "hola"),
	"cut short":     cutReply("Content-Length: 9\r\n", "hola"),
	"no answer":     rawReply("SSH-2.0\r\n\r\n"),
	"without an id": rawReply("HTTP/1.1 200 OK\r\n" + postmarkLine + "Content-Length: 4\r\n\r\nhola"),
	"another attempt's, then none": func(n int, s *workerRequest) bool {
		other := *s
		other.id += "0"
		return replyWorkerID(n, &other) && false
	},
	"its own 500":            reply(500, postmarkLine, "hola"),
	"its own 504":            reply(504, postmarkLine, "hola"),
	"its own 503":            reply(503, postmarkLine, "hola"),
	"its own 429":            reply(429, postmarkLine, "hola"),
	"its own 408":            reply(408, postmarkLine, "hola"),
	"closed":                 closeConn,
	"reset":                  resetConn,
	"closed inside the head": func(n int, s *workerRequest) bool { return rawReply("HTTP/1.1 200 OK\r\nContent-Le")(n, s) && false },
}

// TestUnsafeRequestIsSentOnce: whatever a worker does with an unsafe request, no other worker gets it, and its client
// gets neither a success nor a promise that it has not run.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	for name, script := range badReplies {
		t.Run(name, func(t *testing.T) {
			proxy := newTestProxy(t)
			received := make(chan *workerRequest, 9)
			proxy.receive(fullList(1, startWorker(t, "w-1", "a", script, received), startWorker(t, "w-2", "a", script, received)),
				newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
			res, body := proxy.do("POST", "/", "", "uno")
			await(t, received)
			switch res.StatusCode {
			case 500, 504:
				assert.Equal(t, body, "hola", "body of the worker's own failure")
			default:
				assert.Equal(t, res.StatusCode, 502)
			}
			assert.Equal(t, len(received), 0)
			// A second request shows that the first is not sent again later either.
			proxy.do("POST", "/", "", "dos")
			assert.Equal(t, await(t, received).body, "dos")
			assert.Equal(t, len(received), 0)
		})
	}
}

// TestSafeRequestIsRetriedOnAnotherWorker checks that a safe request is sent to as many workers as its route allows.
func TestSafeRequestIsRetriedOnAnotherWorker(t *testing.T) {
	t.Parallel()
	for name, script := range badReplies {
		t.Run(name, func(t *testing.T) {
			proxy := newTestProxy(t)
			received := make(chan *workerRequest, 9)
			proxy.receive(fullList(1, startWorker(t, "w-1", "a", script, received), startWorker(t, "w-2", "a", script, received), startWorker(t, "w-3", "a", script, received)),
				newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", attempts: 2}}))
			res, body := proxy.do("GET", "/", "", "")
			switch res.StatusCode {
			case 500, 504:
				assert.Assert(t, strings.HasPrefix(name, "its own"), name)
				assert.Equal(t, body, "hola", "body of the worker's own failure")
			default:
				assert.Equal(t, res.StatusCode, 503, "status of a failed safe request, which may be retried")
				checkRetryAfter(t, res)
			}
			first, second := await(t, received), await(t, received)
			assert.Assert(t, first.worker != second.worker)
			assert.Equal(t, first.id, second.id)
			for _, request := range []*workerRequest{first, second} {
				assert.DeepEqual(t, request.Header.Values(headerExpectWorker), []string{request.worker})
				assert.Equal(t, len(request.Header.Values(headerTimeLeft)), 1)
			}
			assert.Equal(t, len(received), 0)
		})
	}
}

// headReply is an answer to a HEAD request.
func headReply(status, lines string) workerScript {
	return func(n int, r *workerRequest) bool {
		return rawReply("HTTP/1.1 "+status+"\r\n"+lines+postmarkLine+tryIDPrefix+r.id+"\r\n\r\n")(n, r)
	}
}

// TestWorkerStatusIsPassedOn checks that a worker's status and body are passed on unchanged, for safe and unsafe
// requests, also for answers without a body.
func TestWorkerStatusIsPassedOn(t *testing.T) {
	t.Parallel()
	for _, unsafe := range []bool{false, true} {
		for _, test := range []struct {
			method string
			do     workerScript
			status int
			body   string
		}{
			{"GET", reply(404, postmarkLine, "none"), 404, "none"},
			{"GET", reply(302, postmarkLine+"Location: /x\r\n", ""), 302, ""},
			{"POST", reply(422, postmarkLine, "odd"), 422, "odd"},
			{"GET", reply(500, "", "bad"), 500, "bad"},
			{"GET", reply(201, postmarkLine, "made"), 201, "made"},
			{"DELETE", func(_ int, r *workerRequest) bool {
				return rawReply("HTTP/1.1 204 N\r\n"+postmarkLine+tryIDPrefix+r.id+"\r\n\r\n")(0, r)
			}, 204, ""},
			{"HEAD", headReply("200 OK", "Content-Length: 9\r\n"), 200, ""},
			{"HEAD", headReply("404 N", "Content-Length: 9\r\n"), 404, ""},
			{"HEAD", headReply("500 S", "Content-Length: 9\r\n"), 500, ""},
		} {
			proxy := newTestProxy(t)
			proxy.receive(fullList(1, startWorker(t, "w-1", "a", test.do, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: unsafe}}))
			client := proxy.dial().send(newRequest(test.method, "/", "", ""))
			res, err := http.ReadResponse(client.reader, &http.Request{Method: test.method})
			assert.NilError(t, err)
			body, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, test.status, "%s, unsafe %t", test.method, unsafe)
			assert.Equal(t, string(body), test.body)
			if test.method == "HEAD" {
				assert.DeepEqual(t, res.Header.Values("Content-Length"), []string{"9"})
			}
		}
	}
}

// TestHeadRequests checks that the answer to a HEAD request has the worker's Content-Length or none, and no body. An
// answer of the gatekeeper itself has its own length.
func TestHeadRequests(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	lines := []string{"Content-Length: 5000000\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 0\r\n", ""}
	answer := func(n int, r *workerRequest) bool {
		if r.Method == http.MethodGet {
			return replyWorkerID(n, r)
		}
		return headReply("200 OK", lines[n/2])(n, r)
	}
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", answer, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	client := proxy.dial()
	head := func(path string) *http.Response {
		t.Helper()
		res, err := http.ReadResponse(client.send(newRequest("HEAD", path, "", "")).reader, &http.Request{Method: "HEAD"})
		assert.NilError(t, err)
		return res
	}
	for _, want := range [][]string{{"5000000"}, nil, {"0"}, nil} {
		res := head("/")
		assert.Equal(t, res.StatusCode, 200)
		assert.DeepEqual(t, res.Header.Values("Content-Length"), want)
		assert.Equal(t, len(res.TransferEncoding), 0)
		res, body := client.send(newRequest("GET", "/", "", "")).readResponse() // on the same connection
		assert.Equal(t, res.StatusCode, 200)
		assert.Equal(t, body, "w-1")
		assert.Equal(t, res.ContentLength, int64(3))
	}
	client.send(newRequest("HEAD", "/", "Host: z.example\r\n", ""))
	res, err := http.ReadResponse(client.reader, &http.Request{Method: "HEAD"})
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, 404)
	assert.Equal(t, res.ContentLength, int64(len("no such route\n")))
}

// TestRetriesStayWithinBudget: once the budget is used up, a request is sent to one worker only. Both workers may be
// ejected by then, so some requests reach none.
func TestRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t, "retryRatio=0", "retrySlack=6", "retryWindowS=600") // the first window allows half of 0.7 x 6
	received := make(chan *workerRequest, 99)
	fails := reply(500, postmarkLine, "")
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", fails, received), startWorker(t, "w-2", "a", fails, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	const requests = 8
	for range requests {
		proxy.do("GET", "/", "", "")
	}
	retries, ids := 0, map[string]bool{}
	for len(received) > 0 {
		if id := await(t, received).id; ids[id] {
			retries++
		} else {
			ids[id] = true
		}
	}
	assert.Equal(t, retries, 2)
}

// TestUnsafeRequestTimesOut: an unsafe request that a worker does not answer ends at its deadline, without a promise
// that it has not run.
func TestUnsafeRequestTimesOut(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 9)
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", hang, received), startWorker(t, "w-2", "a", hang, received)),
		newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	client := proxy.dial().send(newRequest("POST", "/", "X-Foxwood-Time-Left: 3000\r\n", ""))
	await(t, received)
	res, _ := client.readResponse()
	assert.Equal(t, res.StatusCode, 502)
	assert.Equal(t, len(received), 0)
}

// TestUndeliveredRequestIsRetriedOrRefused: if a worker states that it did not run a request, safe or not, another
// worker gets it. If all workers state so, the client is told to retry, long before its deadline.
func TestUndeliveredRequestIsRetriedOrRefused(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		do   workerScript
	}{
		{"full", reply(503, notDeliveredLine, "")},
		{"full, whatever its status", reply(400, notDeliveredLine, "")},
		{"too many", reply(429, notDeliveredLine, "")},
		{"a success that says so", reply(200, postmarkLine+notDeliveredLine, "hola")},
		{"without an id", rawReply("HTTP/1.1 503 T\r\n" + notDeliveredLine + "Content-Length: 0\r\n\r\n")},
	} {
		for _, unsafe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unsafe %t", test.name, unsafe), func(t *testing.T) {
				proxy := newTestProxy(t)
				received := make(chan *workerRequest, 99)
				routes := []routeSpec{{prefix: "/", destination: "a", unsafe: unsafe, deadline: 600, target: 1}}
				proxy.receive(fullList(1, startWorker(t, "w-1", "a", test.do, received)), newConfig(t, 1, routes))
				res, _ := proxy.do("POST", "/", "", "uno")
				assert.Equal(t, res.StatusCode, 503)
				checkRetryAfter(t, res)
				await(t, received)
			})
			t.Run(fmt.Sprintf("%s, unsafe %t, another worker", test.name, unsafe), func(t *testing.T) {
				proxy := newTestProxy(t)
				received := make(chan *workerRequest, 99)
				refuseFirst := make(chan bool, 1)
				refuseFirst <- true
				script := func(n int, r *workerRequest) bool { // the worker that is asked first
					select {
					case <-refuseFirst:
						return test.do(n, r)
					default:
						return replyWorkerID(n, r)
					}
				}
				proxy.receive(fullList(1, startWorker(t, "w-1", "a", script, received), startWorker(t, "w-2", "a", script, received)),
					newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: unsafe}}))
				res, body := proxy.do("POST", "/", "", "uno")
				assert.Equal(t, res.StatusCode, 200)
				one, two := await(t, received), await(t, received)
				assert.Equal(t, body, two.worker)
				assert.Assert(t, one.worker != two.worker)
				assert.Equal(t, len(received), 0)
			})
		}
	}
}

// TestMisdirectedWorkerIsDropped: a worker that answers 421 is not the one that the list names, and gets no further
// request.
func TestMisdirectedWorkerIsDropped(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 99)
	wrong, right := startWorker(t, "w-1", "a", reply(421, "", ""), received), startWorker(t, "w-2", "a", replyWorkerID, nil)
	proxy.receive(fullList(1, wrong), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	res, _ := proxy.do("POST", "/", "X-Foxwood-Time-Left: 3000\r\n", "") // it is queued until another worker is listed
	assert.Equal(t, res.StatusCode, 503)
	checkRetryAfter(t, res)
	await(t, received)
	for version := uint64(2); version < 5; version++ { // also when a newer list names it again
		proxy.receive(fullList(version, wrong, right), nil)
		for range 10 {
			res, body := proxy.do("POST", "/", "", "")
			assert.Equal(t, res.StatusCode, 200)
			assert.Equal(t, body, "w-2")
		}
	}
	assert.Equal(t, len(received), 0)
}

// TestAnswerToAnotherAttemptIsIgnored checks that such an answer is skipped and the right one behind it is passed on.
func TestAnswerToAnotherAttemptIsIgnored(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	script := func(n int, r *workerRequest) bool {
		other := *r
		other.id += "0"
		return reply(200, postmarkLine, "stranger")(n, &other) && replyWorkerID(n, r)
	}
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", script, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	for range 5 {
		res, body := proxy.do("POST", "/", "", "")
		assert.Equal(t, res.StatusCode, 200)
		assert.Equal(t, body, "w-1")
	}
}

// TestTruncatedAnswerIsNotComplete: if the start of a truncated answer was passed on already, it must not look
// complete to the client.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	part := repeatedText(400 << 10)
	for name, script := range map[string]workerScript{
		"by length":           cutReply("Content-Length: 900000\r\n", part),
		"in chunks, a little": cutReply("Transfer-Encoding: chunked\r\n", "4\r\nhola\r\n"), // streamed after a short wait
		"in chunks":           cutReply("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part)),
	} {
		proxy := newTestProxy(t)
		proxy.receive(fullList(1, startWorker(t, "w-1", "a", script, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
		assert.Assert(t, !proxy.dial().send(newRequest("GET", "/", "", "")).complete(), name)
	}
	// Without a postmark, or with a content encoding, streaming must not begin at all.
	for name, lines := range map[string]string{"no postmark": "", "an encoding": postmarkLine + "Content-Encoding: br\r\n"} {
		proxy := newTestProxy(t)
		proxy.receive(fullList(1, startWorker(t, "w-1", "a", reply(200, lines, part), nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
		res, _ := proxy.do("GET", "/", "", "")
		assert.Equal(t, res.StatusCode, 502, name)
	}
}

// TestWorkerPausesInsideAnswer guards against ending an answer with a failure because its worker is silent in its middle, though
// the deadline is far.
func TestWorkerPausesInsideAnswer(t *testing.T) {
	t.Parallel()
	const pause = 2300 * time.Millisecond
	for _, unsafe := range []bool{false, true} {
		proxy := newTestProxy(t)
		proxy.receive(fullList(1, startWorker(t, "w-1", "a", func(n int, r *workerRequest) bool {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n%s%s%s\r\n\r\nabcdefgh", postmarkLine, tryIDPrefix, r.id)
			if !rawReply(text)(n, r) {
				return false
			}
			time.Sleep(pause)
			return rawReply("abcdefgh")(n, r)
		}, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: unsafe}}))
		response, body := proxy.do("GET", "/", "", "")
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, repeatedText(16))
	}
}

// TestAnswerWithoutLength: an answer without a length ends with its connection. It is complete if the connection is
// closed and incomplete if it is reset, whether the answer was buffered or streamed.
func TestAnswerWithoutLength(t *testing.T) {
	t.Parallel()
	for _, size := range []int{8, 2 << 20} {
		for name, end := range map[string]workerScript{"ended": closeConn, "reset": resetConn} {
			proxy := newTestProxy(t)
			unframed := func(n int, r *workerRequest) bool {
				text := "HTTP/1.1 200 OK\r\nConnection: close\r\n" + postmarkLine + tryIDPrefix + r.id + "\r\n\r\n" + repeatedText(size)
				return rawReply(text)(n, r) && end(n, r)
			}
			proxy.receive(fullList(1, startWorker(t, "w-1", "a", unframed, nil)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
			assert.Equal(t, proxy.dial().send(newRequest("GET", "/", "", "")).complete(), name == "ended", "%s behind %d bytes", name, size)
		}
	}
}
