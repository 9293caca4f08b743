package service

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"foxwood/internal/gateway/config"
)

// testBody returns pseudo-random bytes, so that lost or displaced parts are noticed.
func testBody(size int) []byte {
	body := make([]byte, size)
	state := uint32(2463534242)
	for i := range body {
		state ^= state << 13
		state ^= state >> 17
		state ^= state << 5
		body[i] = byte(state >> 24)
	}
	return body
}

// requestWithBody returns a request with an idempotency key and a body: in chunks of chunkSize
// bytes, or with a Content-Length if chunkSize is 0.
func requestWithBody(traceID string, body []byte, chunkSize int) []byte {
	head := strings.Replace(simulacionRequest(1900, ""), "7c2d", traceID, 1)
	if chunkSize == 0 {
		head = strings.Replace(head, "Content-Length: 0", fmt.Sprintf("Content-Length: %d", len(body)), 1)
		return append([]byte(head), body...)
	}
	request := []byte(strings.Replace(head, "Content-Length: 0", "Transfer-Encoding: chunked", 1))
	for len(body) > 0 {
		n := min(chunkSize, len(body))
		request = fmt.Appendf(request, "%x;x=y\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(request, "0\r\nTrailer: t\r\n\r\n"...)
}

// TestLargeBodiesPassInBothDirections covers every framing of a body in HTTP/1.1.
func TestLargeBodiesPassInBothDirections(t *testing.T) {
	body := testBody(3<<20 + 17)
	for name, answer := range map[string]func(c net.Conn){
		"of a length": func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			_, _ = c.Write(body)
		},
		"in chunks": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for b := body; len(b) > 0; {
				n := min(77777, len(b))
				fmt.Fprintf(c, "%x\r\n%s\r\n", n, b[:n])
				b = b[n:]
			}
			_, _ = io.WriteString(c, "0\r\nTrailer: t\r\n\r\n")
		},
		"until the connection closes": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			_, _ = c.Write(body)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := startWorker(t, func(_ int, req *workerRequest) bool { answer(req.conn); return true })
			gateway := startGateway(t, nil, addr)
			conn := gateway.dial()
			for i, chunk := range []int{0, 50000} {
				go func() { _, _ = conn.Write(requestWithBody(fmt.Sprintf("7c%d", i), body, chunk)) }()
				res, text := conn.readResponse()
				if res.StatusCode != 200 || text != string(body) {
					t.Fatalf("got status %d with %d bytes, want 200 with the %d bytes sent", res.StatusCode, len(text), len(body))
				}
				if req := receive(t, got); req.body != string(body) {
					t.Fatalf("the worker got %d bytes, want the %d bytes sent", len(req.body), len(body))
				}
			}
		})
	}
}

// TestLargeResponseIsStreamed checks that the first bytes of a large response reach the client
// while the worker holds back the rest, and that a broken response is not passed as complete.
func TestLargeResponseIsStreamed(t *testing.T) {
	for name, head := range map[string]string{
		"of a length": "Content-Length: 100000\r\n\r\nfirst",
		"in chunks":   "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan bool)
			addr, _ := startWorker(t, func(_ int, req *workerRequest) bool {
				_, _ = io.WriteString(req.conn, "HTTP/1.1 200 OK\r\n"+head)
				<-release
				return false // closes the connection within the response
			})
			gateway := startGateway(t, withAdminServer, addr)
			conn := gateway.dial().send(cuotaRequest("mayor", 900))
			res, err := http.ReadResponse(conn.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			first := make([]byte, 5)
			if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != "first" {
				t.Fatalf("got %q, %v, want the first bytes of the body", first, err)
			}
			if pending := gateway.readStats()["pending"]; pending != "1|g" {
				t.Errorf("pending is %q, want 1|g", pending)
			}
			release <- true
			if _, err := io.ReadAll(res.Body); err == nil {
				t.Fatal("a broken response was passed as a complete one")
			}
			if stats := gateway.readStats(); stats["failed.cuota"] != "1|c" || stats["upstream_requests"] != "1|c" {
				t.Errorf("want 1 failed request and 1 attempt, got %v", stats)
			}
		})
	}
}

// TestHTTP10ClientGetsNoChunks checks that an HTTP/1.0 client gets a response of unknown length
// up to the end of the connection, and that a broken response doesn't end like a complete one.
func TestHTTP10ClientGetsNoChunks(t *testing.T) {
	for name, complete := range map[string]bool{"whole": true, "broken": false} {
		t.Run(name, func(t *testing.T) {
			body := testBody(300 << 10)
			addr, _ := startWorker(t, func(_ int, req *workerRequest) bool {
				fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
				if complete {
					_, _ = io.WriteString(req.conn, "0\r\n\r\n")
				}
				return complete
			})
			conn := startGateway(t, nil, addr).dial()
			conn.send(strings.Replace(cuotaRequest("mayor", 900), "HTTP/1.1", "HTTP/1.0", 1))
			res, err := http.ReadResponse(conn.reader, nil)
			if err != nil || len(res.TransferEncoding) > 0 {
				t.Fatalf("got %v, %v, want a response that is not chunked", res, err)
			}
			got, err := io.ReadAll(res.Body)
			if complete != (err == nil) || complete && !bytes.Equal(got, body) {
				t.Fatalf("complete=%v: got %d of %d bytes, %v", complete, len(got), len(body), err)
			}
		})
	}
}

// TestSlowClientAppliesBackpressure checks that of responses much larger than the memory limit
// only a window is buffered, and that all of each arrives.
func TestSlowClientAppliesBackpressure(t *testing.T) {
	const size, clients = 16 << 20, 12
	body := testBody(size)
	written := make(chan int, clients)
	addr, _ := startWorker(t, func(_ int, req *workerRequest) bool {
		fmt.Fprintf(req.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		n, _ := req.conn.Write(body)
		written <- n
		return true
	})
	gateway := startGateway(t, func(c *config.Config) { c.Limits.MemoryMB = 32 }, addr)
	gateway.advanceClock(0) // stops the clock: the throughput of the machine is not under test
	var readers []*client
	for range clients {
		conn := gateway.dial().send(cuotaRequest("mayor", 1900))
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		if _, err := conn.reader.Peek(100); err != nil {
			t.Fatal(err)
		}
		readers = append(readers, conn)
	}
	buffered := make(chan int, 1)
	gateway.loop.Post(func() { buffered <- gateway.loop.StreamUnsentBytes() })
	if n, maxBuffered := receive(t, buffered), gateway.loop.StreamBufferBytes+clients*(128<<10); n > maxBuffered {
		t.Errorf("%d bytes are buffered, want at most %d", n, maxBuffered)
	}
	if len(written) > 0 {
		t.Error("a whole response was read from the worker before its client read any of it")
	}
	for _, c := range readers {
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || !bytes.Equal(text, body) {
			t.Fatalf("got %d of %d bytes, %v", len(text), len(body), err)
		}
	}
	runtime.KeepAlive(body)
}

// TestSlowWorkerAppliesBackpressure checks that a request body is read from the client no
// faster than the worker reads it.
func TestSlowWorkerAppliesBackpressure(t *testing.T) {
	const size = 30 << 20
	begin, got := make(chan bool), make(chan int64, 1)
	addr := listen(t, func(c net.Conn) {
		<-begin
		n, _ := io.CopyN(io.Discard, c, size)
		got <- n
		_, _ = io.WriteString(c, okResponse)
	})
	gateway := startGateway(t, func(c *config.Config) { c.Limits.MemoryMB = 32 }, addr)
	gateway.advanceClock(0) // stops the clock: the throughput of the machine is not under test
	conn := gateway.dial()
	sent := make(chan bool)
	go func() { _, _ = conn.Write(requestWithBody("7c2d", testBody(size), 0)); close(sent) }()
	select {
	case <-sent:
		t.Error("the whole body was read from the client before the worker read any of it")
	case <-time.After(300 * time.Millisecond):
	}
	buffered := make(chan int, 1)
	gateway.loop.Post(func() { buffered <- gateway.loop.StreamUnsentBytes() })
	if n := receive(t, buffered); n > 1<<20 {
		t.Errorf("%d bytes are buffered, want at most %d", n, 1<<20)
	}
	close(begin)
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if res, _ := conn.readResponse(); res.StatusCode != 200 {
		t.Fatalf("status %d, want 200", res.StatusCode)
	}
	if n := <-got; n != size {
		t.Fatalf("the worker got %d bytes, want %d", n, size)
	}
}

// TestRetryNeedsWholeBufferedBody checks that a request is not retried once sent bytes of its
// body are no longer buffered: the second attempt would miss a part. A body that is still
// buffered as a whole is sent again.
func TestRetryNeedsWholeBufferedBody(t *testing.T) {
	for name, test := range map[string]struct{ size, attempts, status int }{
		"held":  {70 << 10, 2, 200},
		"spent": {8 << 20, 1, 429},
	} {
		t.Run(name, func(t *testing.T) {
			whole := testBody(test.size)
			addr, got := startWorker(t, func(n int, req *workerRequest) bool {
				if n == 0 {
					return false // the request may have run
				}
				return req.body == string(whole) && respondWith(okResponse)(n, req)
			})
			gateway := startGateway(t, nil, addr, addr)
			gateway.advanceClock(0) // stops the clock: the throughput of the machine is not under test
			conn := gateway.dial()
			go func() { _, _ = conn.Write(requestWithBody("7c2d", whole, 0)) }()
			res, _ := conn.readResponse()
			if res.StatusCode != test.status {
				t.Errorf("status %d, want %d", res.StatusCode, test.status)
			}
			if n := len(got); n != test.attempts {
				t.Errorf("%d attempts, want %d", n, test.attempts)
			}
		})
	}
}

// TestOversizedBodyIsRejected checks both a Content-Length over the limit and chunks that add
// up to more.
func TestOversizedBodyIsRejected(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, nil, addr)
	gateway.advanceClock(0) // stops the clock: the throughput of the machine is not under test
	conn := gateway.dial().send(strings.Replace(simulacionRequest(1900, ""), "Content-Length: 0", "Content-Length: 33554433", 1))
	if res, _ := conn.readResponse(); res.StatusCode != 413 {
		t.Errorf("by Content-Length: status %d, want 413", res.StatusCode)
	}
	conn = gateway.dial()
	go func() { _, _ = conn.Write(requestWithBody("7c2d", make([]byte, 33<<20), 1<<20)) }()
	if res, _ := conn.readResponse(); res.StatusCode != 413 {
		t.Errorf("by chunks: status %d, want 413", res.StatusCode)
	}
}

// TestStalledBodyTimesOut checks that a request whose body stops arriving gets status 408, and
// that its attempt at the worker ends.
func TestStalledBodyTimesOut(t *testing.T) {
	received := make(chan int64, 1)
	addr := listen(t, func(conn net.Conn) {
		n, _ := io.Copy(io.Discard, conn)
		received <- n
	})
	gateway := startGateway(t, nil, addr)
	conn := gateway.dial()
	_, _ = conn.Write(requestWithBody("7c2d", testBody(1<<20), 0)[:300<<10])
	if res, _ := conn.readResponse(); res.StatusCode != 408 {
		t.Errorf("status %d, want 408", res.StatusCode)
	}
	if n := receive(t, received); n < 200<<10 {
		t.Errorf("the worker got %d bytes, want at least %d", n, 200<<10)
	}
}

// TestHeadResponseHasNoBody guards against a body after the response to HEAD, which the client
// would read as the start of the next response.
func TestHeadResponseHasNoBody(t *testing.T) {
	gateway := startGateway(t, nil)
	conn := gateway.dial()
	for range 2 { // the second response would be read from the first one's body
		conn.send("HEAD /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		res, err := http.ReadResponse(conn.reader, &http.Request{Method: "HEAD"})
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("got %v, %v, want status 200", res, err)
		}
	}
}
