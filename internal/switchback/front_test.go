package switchback

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRoutes: the host counts without case and port, the longest prefix of whole parts wins.
func TestRoutes(t *testing.T) {
	s := open(t)
	s.hear(roll(1, employ(t, "w-a", "a", served, nil), employ(t, "w-b", "b", served, nil), employ(t, "w-c", "c", served, nil)),
		table(t, 1, []course{{prefix: "/p/", to: "a"}, {prefix: "/p/q/", to: "b"}, {prefix: "/", to: "c", domain: "y.example"}}))
	for _, c := range []struct{ host, path, want string }{
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
		res, body := s.ask("GET", c.path, "Host: "+c.host+"\r\n", "")
		if c.want == "" {
			assert.Equal(t, res.StatusCode, 404, "%v", c)
			continue
		}
		assert.Equal(t, res.StatusCode, 200, "%v", c)
		assert.Equal(t, body, c.want, "%v", c)
	}
}

// TestWhatIsNoTry: what lacks a host or an id never reaches a worker.
func TestWhatIsNoTry(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 9)
	s.hear(roll(1, employ(t, "w", "a", served, got)), table(t, 1, []course{{prefix: "/", to: "a"}}))
	for name, text := range map[string]string{
		"no id":          "GET / HTTP/1.1\r\nHost: x.example\r\n\r\n",
		"two ids":        "GET / HTTP/1.1\r\nHost: x.example\r\n" + tryID + "1\r\n" + tryID + "2\r\n\r\n",
		"an empty id":    "GET / HTTP/1.1\r\nHost: x.example\r\n" + tryID + "\r\n\r\n",
		"a long id":      "GET / HTTP/1.1\r\nHost: x.example\r\n" + tryID + large(136) + "\r\n\r\n",
		"no host":        "GET / HTTP/1.1\r\n" + tryID + "1\r\n\r\n",
		"two hosts":      "GET / HTTP/1.1\r\nHost: x.example\r\nHost: x.example\r\n" + tryID + "1\r\n\r\n",
		"odd time left":  request("GET", "/", "X-Foxwood-Time-Left: soon\r\n", ""),
		"no time left":   request("GET", "/", "X-Foxwood-Time-Left: 0\r\n", ""),
		"endless time":   request("GET", "/", "X-Foxwood-Time-Left: Inf\r\n", ""),
		"two times left": request("GET", "/", "X-Foxwood-Time-Left: 5\r\nX-Foxwood-Time-Left: 5\r\n", ""),
	} {
		res, _ := s.dial().send(text).get()
		assert.Equal(t, res.StatusCode, 400, name)
	}
	assert.Equal(t, len(got), 0)
}

// TestKeys: who the sender is goes by the key alone, and the key goes no further.
func TestKeys(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 1)
	s.hear(roll(1, employ(t, "w", "a", served, got)), table(t, 1,
		[]course{{prefix: "/", to: "a"}, {prefix: "/open/", to: "a", unsealed: true}}, sender{name: "ana"}, sender{name: "luz"}))
	for _, c := range []struct {
		name, path, lines string
		sender            string // of what reaches the worker; "401" where nothing may
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
		res, _ := s.ask("GET", c.path, c.lines, "")
		if c.sender == "401" {
			assert.Equal(t, res.StatusCode, 401, c.name)
			continue
		}
		assert.Equal(t, res.StatusCode, 200, c.name)
		r := next(t, got)
		assert.DeepEqual(t, strings.Join(r.Header.Values(headSender), ","), c.sender)
		assert.Equal(t, len(r.Header.Values(headKey)), 0, c.name)
	}
	assert.Equal(t, len(got), 0)
}

// TestHeaders: what concerns one connection ends there, both ways; the rest goes on as it is.
func TestHeaders(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 1)
	answer := say(200, stamp+"Connection: x-hop, keep-alive\r\nKeep-Alive: timeout=9\r\nX-Hop: 1\r\nX-Kept: a\r\nX-Kept: b\r\n"+
		"Proxy-Authenticate: x\r\nRetry-After: 7\r\n", "hola")
	s.hear(roll(1, employ(t, "w-1", "a", answer, got)), table(t, 1, []course{{prefix: "/", to: "a"}}))
	res, body := s.ask("GET", "/", "Connection: keep-alive, X-Own\r\nX-Own: 1\r\nKeep-Alive: 5\r\nProxy-Connection: x\r\nTE: gzip\r\n"+
		"Upgrade: x\r\nProxy-Authorization: x\r\nX-Stays: 1\r\nX-Stays: 2\r\nAccept: */*\r\n"+
		"X-Foxwood-Expect-Worker: other\r\nX-Foxwood-Time-Left: 9000\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, "hola")
	r := next(t, got)
	for _, h := range []string{"Connection", "X-Own", "Keep-Alive", "Proxy-Connection", "Te", "Upgrade", "Proxy-Authorization"} {
		assert.Equal(t, len(r.Header.Values(h)), 0, h)
	}
	assert.DeepEqual(t, r.Header.Values("X-Stays"), []string{"1", "2"})
	assert.DeepEqual(t, r.Header.Values("Accept"), []string{"*/*"})
	assert.DeepEqual(t, r.Header.Values(headExpect), []string{"w-1"})
	assert.Equal(t, r.Host, "x.example")
	left := r.Header.Values(headLeft)
	assert.Equal(t, len(left), 1)
	ms, err := strconv.Atoi(left[0])
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 9000, "%d ms left", ms)

	for _, h := range []string{"X-Hop", "Keep-Alive", "Proxy-Authenticate"} {
		assert.Equal(t, len(res.Header.Values(h)), 0, h)
	}
	assert.DeepEqual(t, res.Header.Values("X-Kept"), []string{"a", "b"})
	assert.Equal(t, res.Header.Get("Retry-After"), "7")
	assert.Equal(t, res.Header.Get(headPostmark), "3e1b.07")
	assert.Equal(t, res.Header.Get(headTry), r.id)
}

// TestBodies: method, path, query and body arrive as they were sent, and the answer's body too,
// whatever frames it and also where it flows.
func TestBodies(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 1)
	echo := func(n int, r *seen) bool {
		if r.Header.Get("X-Chunked") == "" {
			return say(200, stamp, r.body)(n, r)
		}
		return raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s%s%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", stamp, tryID, r.id, len(r.body), r.body))(n, r)
	}
	s.hear(roll(1, employ(t, "w", "a", echo, got)), table(t, 1, []course{{prefix: "/", to: "a"}}))
	for _, size := range []int{8, 1 << 10, 200 << 10, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			body, lines := large(size), "X-One: 1\r\n"
			sent := body
			if chunked {
				lines = "Transfer-Encoding: chunked\r\nX-Chunked: 1\r\n"
				half := size / 2
				sent = fmt.Sprintf("%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\n\r\n", half, body[:half], size-half, body[half:])
			}
			c := s.dial()
			go c.send(request("PATCH", "/%41/b//c?d=%20&e=/../", lines, sent))
			res, back := c.get()
			assert.Equal(t, res.StatusCode, 200, "%d bytes, chunked %t", size, chunked)
			r := next(t, got)
			assert.Equal(t, r.Method+" "+r.RequestURI, "PATCH /%41/b//c?d=%20&e=/../")
			assert.Assert(t, r.body == body, "%d bytes came of %d, chunked %t", len(r.body), size, chunked)
			assert.Assert(t, back == body, "%d bytes came back of %d, chunked %t", len(back), size, chunked)
		}
	}
	res, _ := s.ask("DELETE", "/", "Content-Length: 0\r\n", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, next(t, got).Header.Get("Content-Length"), "0")
}

// TestLimits: what is past the operator's limits is answered by its own status.
func TestLimits(t *testing.T) {
	s := open(t)
	got := make(chan *seen, 9)
	s.hear(roll(1, employ(t, "w", "a", served, got)), table(t, 1, []course{{prefix: "/", to: "a"}}))
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"a head too long", request("GET", "/", "X-Long: "+large(5000)+"\r\n", ""), 431},
		{"a body too long, by its word", request("PUT", "/", "Content-Length: 67108865\r\n", ""), 413},
		{"a head that ends", request("GET", "/", "X-Long: "+large(3000)+"\r\n", ""), 200},
	} {
		res, _ := s.dial().send(c.text).get()
		assert.Equal(t, res.StatusCode, c.status, c.name)
	}
	next(t, got)
	assert.Equal(t, len(got), 0)

	// Time goes by for the sweep alone, so that a busy machine gives the same verdict.
	c := s.dial().send("GET / HTTP/1.1\r\nHost: x.exam")
	s.on(func() { s.clients.Limits.ReadMost = 1e-6 })
	res, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(got), 0)
}

// TestWithoutAConfiguration: who knows no configuration yet can't tell what it allows. It says when to come back, not 404.
func TestWithoutAConfiguration(t *testing.T) {
	t.Parallel()
	res, _ := open(t).ask("GET", "/", "", "")
	assert.Equal(t, res.StatusCode, 503)
	comesBack(t, res)
}
