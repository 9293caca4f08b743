package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRoutes: the host matches regardless of case and port, and the longest prefix of whole path segments wins.
func TestRoutes(t *testing.T) {
	proxy := newTestProxy(t)
	proxy.receive(fullList(1, startWorker(t, "w-a", "a", replyWorkerID, nil), startWorker(t, "w-b", "b", replyWorkerID, nil), startWorker(t, "w-c", "c", replyWorkerID, nil)),
		newConfig(t, 1, []routeSpec{{prefix: "/p/", destination: "a"}, {prefix: "/p/q/", destination: "b"}, {prefix: "/", destination: "c", domain: "y.example"}}))
	for _, test := range []struct{ host, path, want string }{
		{"x.example", "/p/1", "w-a"},
		{"X.Example:8080", "/p/1?q=/p/q/", "w-a"},
		{"x.example", "/p/q/", "w-b"},
		{"x.example", "/p/q", "w-a"},
		{"y.example", "/p/q/1", "w-c"},
		{"x.example", "/pq/", ""},
		{"x.example", "/p", ""},
		{"x.example", "/?/p/", ""},
		{"z.example", "/p/", ""},
		{"x.example.", "/p/", ""},
	} {
		res, body := proxy.do("GET", test.path, "Host: "+test.host+"\r\n", "")
		if test.want == "" {
			assert.Equal(t, res.StatusCode, 404, "%v", test)
			continue
		}
		assert.Equal(t, res.StatusCode, 200, "%v", test)
		assert.Equal(t, body, test.want, "%v", test)
	}
}

// TestInvalidAttemptIsRejected: an attempt without a valid host, id or time left never reaches a worker.
func TestInvalidAttemptIsRejected(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 9)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	for name, text := range map[string]string{
		"no id":          "GET / HTTP/1.1\r\nHost: x.example\r\n\r\n",
		"two ids":        "GET / HTTP/1.1\r\nHost: x.example\r\n" + tryIDPrefix + "1\r\n" + tryIDPrefix + "2\r\n\r\n",
		"an empty id":    "GET / HTTP/1.1\r\nHost: x.example\r\n" + tryIDPrefix + "\r\n\r\n",
		"a long id":      "GET / HTTP/1.1\r\nHost: x.example\r\n" + tryIDPrefix + repeatedText(136) + "\r\n\r\n",
		"no host":        "GET / HTTP/1.1\r\n" + tryIDPrefix + "1\r\n\r\n",
		"two hosts":      "GET / HTTP/1.1\r\nHost: x.example\r\nHost: x.example\r\n" + tryIDPrefix + "1\r\n\r\n",
		"odd time left":  newRequest("GET", "/", "X-Foxwood-Time-Left: soon\r\n", ""),
		"no time left":   newRequest("GET", "/", "X-Foxwood-Time-Left: 0\r\n", ""),
		"endless time":   newRequest("GET", "/", "X-Foxwood-Time-Left: Inf\r\n", ""),
		"two times left": newRequest("GET", "/", "X-Foxwood-Time-Left: 5\r\nX-Foxwood-Time-Left: 5\r\n", ""),
	} {
		res, _ := proxy.dial().send(text).readResponse()
		assert.Equal(t, res.StatusCode, 400, name)
	}
	assert.Equal(t, len(received), 0)
}

// TestKeys: the tenant is determined by the key alone, and the key is not forwarded.
func TestKeys(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 1)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, received)), newConfig(t, 1,
		[]routeSpec{{prefix: "/", destination: "a"}, {prefix: "/open/", destination: "a", withoutKey: true}}, tenantSpec{name: "ana"}, tenantSpec{name: "luz"}))
	for _, test := range []struct {
		name, path, lines string
		sender            string // tenant that the worker sees; "401" if the request must be refused
	}{
		{"a key", "/", "Authorization: Bearer k-ana\r\n", "ana"},
		{"the scheme in another case", "/", "authorization: bearer k-luz\r\n", "luz"},
		{"a forged sender", "/", "X-Foxwood-Sender: luz\r\nAuthorization: Bearer k-ana\r\nx-foxwood-sender: luz\r\n", "ana"},
		{"no key", "/", "", "401"},
		{"a sender in place of a key", "/", "X-Foxwood-Sender: ana\r\n", "401"},
		{"an unknown key", "/", "Authorization: Bearer k-an\r\n", "401"},
		{"an empty key", "/", "Authorization: Bearer \r\n", "401"},
		{"another scheme", "/", "Authorization: Basic k-ana\r\n", "401"},
		{"no scheme", "/", "Authorization: k-ana\r\n", "401"},
		{"two keys", "/", "Authorization: Bearer k-ana\r\nAuthorization: Bearer k-luz\r\n", "401"},
		{"unsealed", "/open/", "", ""},
		{"unsealed, a forged sender", "/open/", "X-Foxwood-Sender: luz\r\n", ""},
		{"unsealed, an unknown key", "/open/", "Authorization: Bearer nobody\r\nX-Foxwood-Sender: luz\r\n", ""},
		{"unsealed, a key", "/open/", "Authorization: Bearer k-ana\r\n", "ana"},
	} {
		res, _ := proxy.do("GET", test.path, test.lines, "")
		if test.sender == "401" {
			assert.Equal(t, res.StatusCode, 401, test.name)
			continue
		}
		assert.Equal(t, res.StatusCode, 200, test.name)
		r := await(t, received)
		assert.DeepEqual(t, strings.Join(r.Header.Values(headerSender), ","), test.sender)
		assert.Equal(t, len(r.Header.Values(headerAuthorization)), 0, test.name)
	}
	assert.Equal(t, len(received), 0)
}

// TestHeaders: headers that concern one connection are not forwarded in either direction; all others are forwarded
// unchanged.
func TestHeaders(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 1)
	answer := reply(200, postmarkLine+"Connection: x-hop, keep-alive\r\nKeep-Alive: timeout=9\r\nX-Hop: 1\r\nX-Kept: a\r\nX-Kept: b\r\n"+
		"Proxy-Authenticate: x\r\nRetry-After: 7\r\n", "hola")
	proxy.receive(fullList(1, startWorker(t, "w-1", "a", answer, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	res, body := proxy.do("GET", "/", "Connection: keep-alive, X-Own\r\nX-Own: 1\r\nKeep-Alive: 5\r\nProxy-Connection: x\r\nTE: gzip\r\n"+
		"Upgrade: x\r\nProxy-Authorization: x\r\nX-Stays: 1\r\nX-Stays: 2\r\nAccept: */*\r\n"+
		"X-Foxwood-Expect-Worker: other\r\nX-Foxwood-Time-Left: 9000\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, "hola")
	r := await(t, received)
	for _, h := range []string{"Connection", "X-Own", "Keep-Alive", "Proxy-Connection", "Te", "Upgrade", "Proxy-Authorization"} {
		assert.Equal(t, len(r.Header.Values(h)), 0, h)
	}
	assert.DeepEqual(t, r.Header.Values("X-Stays"), []string{"1", "2"})
	assert.DeepEqual(t, r.Header.Values("Accept"), []string{"*/*"})
	assert.DeepEqual(t, r.Header.Values(headerExpectWorker), []string{"w-1"})
	assert.Equal(t, r.Host, "x.example")
	left := r.Header.Values(headerTimeLeft)
	assert.Equal(t, len(left), 1)
	ms, err := strconv.Atoi(left[0])
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 9000, "%d ms left", ms)

	for _, h := range []string{"X-Hop", "Keep-Alive", "Proxy-Authenticate"} {
		assert.Equal(t, len(res.Header.Values(h)), 0, h)
	}
	assert.DeepEqual(t, res.Header.Values("X-Kept"), []string{"a", "b"})
	assert.Equal(t, res.Header.Get("Retry-After"), "7")
	assert.Equal(t, res.Header.Get(headerPostmark), "3e1b.07")
	assert.Equal(t, res.Header.Get(headerTryID), r.id)
}

// TestBodies: method, path, query and body arrive unchanged, and so does the body of the answer, with a length or in
// chunks, buffered or streamed.
func TestBodies(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 1)
	echo := func(n int, r *workerRequest) bool {
		if r.Header.Get("X-Chunked") == "" {
			return reply(200, postmarkLine, r.body)(n, r)
		}
		return rawReply(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s%s%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", postmarkLine, tryIDPrefix, r.id, len(r.body), r.body))(n, r)
	}
	proxy.receive(fullList(1, startWorker(t, "w", "a", echo, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	for _, size := range []int{8, 1 << 10, 200 << 10, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			body, lines := repeatedText(size), "X-One: 1\r\n"
			sent := body
			if chunked {
				lines = "Transfer-Encoding: chunked\r\nX-Chunked: 1\r\n"
				half := size / 2
				sent = fmt.Sprintf("%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\n\r\n", half, body[:half], size-half, body[half:])
			}
			c := proxy.dial()
			go c.send(newRequest("PATCH", "/%41/b//c?d=%20&e=/../", lines, sent))
			res, back := c.readResponse()
			assert.Equal(t, res.StatusCode, 200, "%d bytes, chunked %t", size, chunked)
			r := await(t, received)
			assert.Equal(t, r.Method+" "+r.RequestURI, "PATCH /%41/b//c?d=%20&e=/../")
			assert.Assert(t, r.body == body, "the worker received %d bytes of %d, chunked %t", len(r.body), size, chunked)
			assert.Assert(t, back == body, "the client received %d bytes of %d, chunked %t", len(back), size, chunked)
		}
	}
	res, _ := proxy.do("DELETE", "/", "Content-Length: 0\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, await(t, received).Header.Get("Content-Length"), "0")
}

// TestLimits: each kind of request over a limit is answered with its own status.
func TestLimits(t *testing.T) {
	proxy := newTestProxy(t)
	received := make(chan *workerRequest, 9)
	proxy.receive(fullList(1, startWorker(t, "w", "a", replyWorkerID, received)), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"a head too long", newRequest("GET", "/", "X-Long: "+repeatedText(5000)+"\r\n", ""), 431},
		{"a body too long, by its word", newRequest("PUT", "/", "Content-Length: 67108865\r\n", ""), 413},
		{"a head that ends", newRequest("GET", "/", "X-Long: "+repeatedText(3000)+"\r\n", ""), 200},
	} {
		res, _ := proxy.dial().send(test.text).readResponse()
		assert.Equal(t, res.StatusCode, test.status, test.name)
	}
	await(t, received)
	assert.Equal(t, len(received), 0)

	// The time limit is changed instead of waiting, so that the result does not depend on the machine's load.
	test := proxy.dial().send("GET / HTTP/1.1\r\nHost: x.exam")
	proxy.runOnLoop(func() { proxy.clients.Limits.HeadTimeoutMS = 1e-6 })
	res, err := http.ReadResponse(test.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(received), 0)
}

// TestRefusedWithoutConfiguration: a gatekeeper without a configuration can't tell which routes there are. It tells
// the client when to retry, instead of answering 404.
func TestRefusedWithoutConfiguration(t *testing.T) {
	t.Parallel()
	res, _ := newTestProxy(t).do("GET", "/", "", "")
	assert.Equal(t, res.StatusCode, 503)
	checkRetryAfter(t, res)
}
