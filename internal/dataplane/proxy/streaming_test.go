package proxy

import (
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

const (
	hugeBody = 64 << 20  // bytes
	maxHeld  = 512 << 10 // bytes of memory for both directions of one exchange
)

// block is what large bodies consist of. Its length is not a multiple of any buffer size, so that shifted data is
// noticed.
var block = func() []byte {
	b := make([]byte, 1<<20-3)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(b)
	return b
}()

// bodyReader returns a body of n bytes that is never completely in memory.
func bodyReader(n int) io.Reader { return &repeatingReader{left: n} }

// repeatingReader reads left bytes of the repeated block.
type repeatingReader struct{ left, offset int }

// Read implements io.Reader.
func (s *repeatingReader) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), s.left)], block[s.offset:])
	s.left, s.offset = s.left-n, (s.offset+n)%len(block)
	return n, nil
}

const writeBytes = 48 << 10 // bytes for each write of a body

// bodySum returns the checksum of a body of n bytes.
func bodySum(n int) uint32 {
	h := crc32.NewIEEE()
	_, _ = io.Copy(h, bodyReader(n))
	return h.Sum32()
}

// writeBody writes a body of n bytes, either plainly or in chunks.
func writeBody(to io.Writer, n int, chunked bool) error {
	b, from := make([]byte, writeBytes), bodyReader(n)
	for {
		k, err := from.Read(b)
		if err == io.EOF {
			break
		}
		if chunked {
			_, _ = fmt.Fprintf(to, "%x;q=1\r\n", k)
		}
		if _, err := to.Write(b[:k]); err != nil {
			return err
		}
		if chunked {
			_, _ = io.WriteString(to, "\r\n")
		}
	}
	if chunked {
		_, err := io.WriteString(to, "0\r\n\r\n")
		return err
	}
	return nil
}

// bodyHeader returns the header that frames a body.
func bodyHeader(n int, chunked bool) string {
	if chunked {
		return "Transfer-Encoding: chunked\r\n"
	}
	return fmt.Sprintf("Content-Length: %d\r\n", n)
}

// startStreamWorker starts a worker whose function gets requests with their bodies unread.
func startStreamWorker(t *testing.T, id string, do func(r *http.Request, c net.Conn)) api.Worker {
	t.Helper()
	addr := listenWorker(t, func(r *http.Request, c net.Conn) bool {
		do(r, c)
		n, err := io.Copy(io.Discard, r.Body)
		return n == 0 && err == nil // otherwise the body was not read to its end
	})
	return api.Worker{ID: id, Destination: "a", Addr: addr, Zone: "a1", Slots: 8}
}

// dialLong is dial with a longer time limit, for much data on a busy machine.
func (s *testProxy) dialLong() *testClient {
	c := s.dial()
	assert.NilError(s.t, c.conn.SetDeadline(time.Now().Add(10*testTimeout)))
	return c
}

// trackHeld samples the bytes held by the loop, and returns a function for the maximum so far.
func (s *testProxy) trackHeld() func() int {
	highest := 0
	s.runOnLoop(func() { s.loop.Every(time.Millisecond, func() { highest = max(highest, s.loop.StreamMemoryBytes()) }) })
	return func() (peak int) {
		s.runOnLoop(func() { peak = highest })
		return peak
	}
}

// awaitHeld waits until a condition on the bytes held by the loop is true.
func (s *testProxy) awaitHeld(condition func(held int) bool) {
	held := make(chan bool)
	go func() {
		for ok := false; !ok; {
			s.runOnLoop(func() { ok = condition(s.loop.StreamMemoryBytes()) })
		}
		close(held)
	}()
	await(s.t, held)
}

// checkHeld checks for many turns of the loop, in which it could read more data, that the bytes held stay bounded.
func (s *testProxy) checkHeld() {
	s.t.Helper()
	for range 3000 {
		held := 0
		s.runOnLoop(func() { held = s.loop.StreamMemoryBytes() })
		assert.Assert(s.t, held < maxHeld, "%d bytes held by the loop", held)
	}
}

// answerHeader returns the status line and the headers of a success.
func answerHeader(r *http.Request, n int, chunked bool) string {
	return "HTTP/1.1 200 OK\r\n" + postmarkLine + tryIDPrefix + r.Header.Get(headerTryID) + "\r\n" + bodyHeader(n, chunked) + "\r\n"
}

// TestHugeBodiesAreStreamed sends 64 MiB in both directions, with a length and in chunks, and checks that they are
// never completely in memory.
func TestHugeBodiesAreStreamed(t *testing.T) {
	t.Parallel()
	want := bodySum(hugeBody)
	for _, chunked := range []bool{false, true} {
		proxy := newTestProxy(t)
		received := make(chan uint32, 1)
		proxy.receive(fullList(1, startStreamWorker(t, "w", func(r *http.Request, c net.Conn) {
			h := crc32.NewIEEE()
			_, _ = io.Copy(h, r.Body)
			received <- h.Sum32()
			_, _ = io.WriteString(c, answerHeader(r, hugeBody, chunked))
			_ = writeBody(c, hugeBody, chunked)
		})), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
		heldPeak := proxy.trackHeld()
		c := proxy.dialLong().send(newRequest("POST", "/", bodyHeader(hugeBody, chunked), ""))
		go func() { _ = writeBody(c.conn, hugeBody, chunked) }()
		res, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		h := crc32.NewIEEE()
		n, err := io.Copy(h, res.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(hugeBody))
		assert.Equal(t, h.Sum32(), want)
		assert.Equal(t, await(t, received), want)
		t.Logf("chunked %t: %d bytes held", chunked, heldPeak())
		assert.Assert(t, heldPeak() > 0 && heldPeak() < maxHeld, "%d bytes held by the loop", heldPeak())
	}
}

// TestSlowReaderHoldsWorkerBack: a client that does not read stops its worker from sending, and gets the whole answer
// in the end.
func TestSlowReaderHoldsWorkerBack(t *testing.T) {
	t.Parallel()
	for _, chunked := range []bool{false, true} {
		proxy := newTestProxy(t)
		poured := make(chan bool, 1)
		proxy.receive(fullList(1, startStreamWorker(t, "w", func(r *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, answerHeader(r, hugeBody, chunked))
			_ = writeBody(c, hugeBody, chunked)
			poured <- true
		})), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a"}}))
		heldPeak := proxy.trackHeld()
		c := proxy.dialLong().send(newRequest("GET", "/", "", ""))
		proxy.awaitHeld(func(held int) bool { return held >= 64<<10 && proxy.loop.StreamUnsentBytes() >= 64<<10 })
		proxy.checkHeld()
		assert.Equal(t, len(poured), 0, "the worker could send the whole answer")
		res, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		h := crc32.NewIEEE()
		n, err := io.Copy(h, res.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(hugeBody))
		assert.Equal(t, h.Sum32(), bodySum(hugeBody))
		assert.Assert(t, heldPeak() < maxHeld, "%d bytes held by the loop", heldPeak())
	}
}

// TestAnswerBeforeEndOfBody: if a worker answers before it has read the whole body, the client gets the answer
// although it is still sending. The request is not sent to another worker.
func TestAnswerBeforeEndOfBody(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, 5 << 20} {
		for _, chunked := range []bool{false, true} {
			proxy := newTestProxy(t)
			var workers []api.Worker
			asked := make(chan bool, 9)
			for _, id := range []string{"w-1", "w-2"} {
				workers = append(workers, startStreamWorker(t, id, func(r *http.Request, c net.Conn) {
					asked <- true
					_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
					_, _ = io.WriteString(c, answerHeader(r, size, chunked))
					_ = writeBody(c, size, chunked)
					// Keeps the connection until the other side closes it.
					_, _ = c.Read(make([]byte, 1))
					_, _ = io.Copy(io.Discard, c)
				}))
			}
			proxy.receive(fullList(1, workers...), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
			heldPeak := proxy.trackHeld()
			c := proxy.dialLong().send(newRequest("POST", "/", bodyHeader(hugeBody, chunked), ""))
			go func() { _ = writeBody(c.conn, hugeBody, chunked) }()
			res, err := http.ReadResponse(c.reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, 200)
			h := crc32.NewIEEE()
			n, err := io.Copy(h, res.Body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(size))
			assert.Equal(t, h.Sum32(), bodySum(size))
			proxy.awaitHeld(func(held int) bool { return held == 0 })
			assert.Assert(t, heldPeak() < maxHeld, "%d bytes held by the loop", heldPeak())
			assert.Equal(t, len(asked), 1)
		}
	}
}

// TestClientBreaksOffDuringBody: if a client closes its connection in the middle of its body or of the answer, the
// worker learns of it, no memory stays in use, and no other worker gets the request.
func TestClientBreaksOffDuringBody(t *testing.T) {
	t.Parallel()
	for _, unsafe := range []bool{false, true} {
		for _, sending := range []bool{true, false} {
			proxy := newTestProxy(t)
			asked, ended := make(chan bool, 9), make(chan error, 9)
			var workers []api.Worker
			for _, id := range []string{"w-1", "w-2"} {
				workers = append(workers, startStreamWorker(t, id, func(r *http.Request, c net.Conn) {
					asked <- true
					if sending {
						_, err := io.Copy(io.Discard, r.Body)
						ended <- err
						return
					}
					_, _ = io.WriteString(c, answerHeader(r, hugeBody, false))
					ended <- writeBody(c, hugeBody, false)
				}))
			}
			proxy.receive(fullList(1, workers...), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: unsafe}}))
			var c *testClient
			if sending {
				c = proxy.dialLong().send(newRequest("PUT", "/", bodyHeader(hugeBody, false), ""))
				_, err := io.CopyN(c.conn, bodyReader(hugeBody), 5<<20)
				assert.NilError(t, err)
			} else {
				c = proxy.dialLong().send(newRequest("GET", "/", "", ""))
				_, err := io.ReadFull(c.reader, make([]byte, 5<<20))
				assert.NilError(t, err)
			}
			await(t, asked)
			_ = c.conn.Close()
			assert.Assert(t, await(t, ended) != nil, "the worker did not notice that the client has gone")
			proxy.awaitHeld(func(held int) bool { return held == 0 })
			assert.Equal(t, len(asked), 0)
		}
	}
}

// TestSlowWorkerHoldsClientBack: only a bounded part of a body is read ahead of a worker that does not read it.
func TestSlowWorkerHoldsClientBack(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	resume, received := make(chan bool), make(chan uint32, 1)
	proxy.receive(fullList(1, startStreamWorker(t, "w", func(r *http.Request, c net.Conn) {
		<-resume
		h := crc32.NewIEEE()
		_, _ = io.Copy(h, r.Body)
		received <- h.Sum32()
		_, _ = io.WriteString(c, answerHeader(r, 0, false))
	})), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	heldPeak := proxy.trackHeld()
	c := proxy.dialLong().send(newRequest("POST", "/", bodyHeader(hugeBody, false), ""))
	poured := make(chan bool, 1)
	go func() {
		_ = writeBody(c.conn, hugeBody, false)
		poured <- true
	}()
	proxy.awaitHeld(func(int) bool { return proxy.loop.StreamUnsentBytes() >= 64<<10 })
	proxy.checkHeld()
	assert.Equal(t, len(poured), 0, "the client could send the whole body")
	close(resume)
	res, _ := c.readResponse()
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, await(t, received), bodySum(hugeBody))
	assert.Assert(t, heldPeak() < maxHeld, "%d bytes held by the loop", heldPeak())
}
