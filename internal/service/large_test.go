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

	"foxwood/internal/config"
)

// pattern is a body in which no two places look alike for long.
func pattern(n int) []byte {
	b := make([]byte, n)
	x := uint32(2463534242)
	for i := range b {
		x ^= x << 13
		x ^= x >> 17
		x ^= x << 5
		b[i] = byte(x >> 24)
	}
	return b
}

// heavy is a keyed request with a body, in chunks of so many bytes or, with 0, of a length.
func heavy(name string, body []byte, chunk int) []byte {
	head := strings.Replace(simulacion(1900, ""), "7c2d", name, 1)
	if chunk == 0 {
		head = strings.Replace(head, "Content-Length: 0", fmt.Sprintf("Content-Length: %d", len(body)), 1)
		return append([]byte(head), body...)
	}
	out := []byte(strings.Replace(head, "Content-Length: 0", "Transfer-Encoding: chunked", 1))
	for len(body) > 0 {
		n := min(chunk, len(body))
		out = fmt.Appendf(out, "%x;x=y\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\nTrailer: t\r\n\r\n"...)
}

// TestLargeBodiesFlowBothWays in every form that HTTP/1.1 gives them.
func TestLargeBodiesFlowBothWays(t *testing.T) {
	body := pattern(3<<20 + 17)
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
		"to the end of the link": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			_, _ = c.Write(body)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := worker(t, func(_ int, s *seen) bool { answer(s.c); return true })
			g := open(t, nil, addr)
			c := g.dial()
			for i, chunk := range []int{0, 50000} {
				go func() { _, _ = c.Write(heavy(fmt.Sprintf("7c%d", i), body, chunk)) }()
				res, text := c.get()
				if res.StatusCode != 200 || text != string(body) {
					t.Fatalf("%d with %d bytes", res.StatusCode, len(text))
				}
				if s := next(t, got); s.body != string(body) {
					t.Fatalf("the worker got %d bytes", len(s.body))
				}
			}
		})
	}
}

// TestTheFirstBytesOfALargeAnswerArePassedAtOnce, while the worker holds back the rest.
func TestTheFirstBytesOfALargeAnswerArePassedAtOnce(t *testing.T) {
	for name, head := range map[string]string{
		"of a length": "Content-Length: 100000\r\n\r\nfirst",
		"in chunks":   "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan bool)
			addr, _ := worker(t, func(_ int, s *seen) bool {
				_, _ = io.WriteString(s.c, "HTTP/1.1 200 OK\r\n"+head)
				<-release
				return false // and breaks
			})
			g := open(t, withDoor, addr)
			c := g.dial().send(cuota("mayor", 900))
			res, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			first := make([]byte, 5)
			if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != "first" {
				t.Fatalf("%q %v", first, err)
			}
			if p := g.figures()["pending"]; p != "1|g" {
				t.Errorf("pending %q", p)
			}
			release <- true
			if _, err := io.ReadAll(res.Body); err == nil {
				t.Fatal("a broken answer looks whole")
			}
			if f := g.figures(); f["failed.cuota"] != "1|c" || f["upstream_requests"] != "1|c" {
				t.Errorf("figures %v", f)
			}
		})
	}
}

// TestAnOldClientGetsNoChunks: an answer of unknown length ends with its link, and one that
// breaks does not end like that.
func TestAnOldClientGetsNoChunks(t *testing.T) {
	for name, whole := range map[string]bool{"whole": true, "broken": false} {
		t.Run(name, func(t *testing.T) {
			body := pattern(300 << 10)
			addr, _ := worker(t, func(_ int, s *seen) bool {
				fmt.Fprintf(s.c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
				if whole {
					_, _ = io.WriteString(s.c, "0\r\n\r\n")
				}
				return whole
			})
			c := open(t, nil, addr).dial()
			c.send(strings.Replace(cuota("mayor", 900), "HTTP/1.1", "HTTP/1.0", 1))
			res, err := http.ReadResponse(c.r, nil)
			if err != nil || len(res.TransferEncoding) > 0 {
				t.Fatalf("%v %v", res, err)
			}
			got, err := io.ReadAll(res.Body)
			if whole != (err == nil) || whole && !bytes.Equal(got, body) {
				t.Fatalf("%d bytes, %v", len(got), err)
			}
		})
	}
}

// TestASlowReaderHoldsItsWorkerBack: of an answer far over the memory only a window is
// held, and all of it arrives.
func TestASlowReaderHoldsItsWorkerBack(t *testing.T) {
	const size, clients = 16 << 20, 12
	body := pattern(size)
	written := make(chan int, clients)
	addr, _ := worker(t, func(_ int, s *seen) bool {
		fmt.Fprintf(s.c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		n, _ := s.c.Write(body)
		written <- n
		return true
	})
	g := open(t, func(c *config.Config) { c.Limits.MemoryMB = 32 }, addr)
	g.pass(0) // time stands still: how fast this machine moves bytes is not what is tested
	var readers []*client
	for range clients {
		c := g.dial().send(cuota("mayor", 1900))
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		if _, err := c.r.Peek(100); err != nil {
			t.Fatal(err)
		}
		readers = append(readers, c)
	}
	held := make(chan int, 1)
	g.loop.Post(func() { held <- g.loop.Waiting() })
	if n, most := next(t, held), g.loop.Flowing+clients*(128<<10); n > most {
		t.Errorf("%d bytes are held, over %d", n, most)
	}
	if len(written) > 0 {
		t.Error("a worker's answer was taken whole before its client read it")
	}
	for _, c := range readers {
		res, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(res.Body)
		if err != nil || !bytes.Equal(text, body) {
			t.Fatalf("%d bytes, %v", len(text), err)
		}
	}
	runtime.KeepAlive(body)
}

// TestASlowWorkerHoldsItsClientBack: a body is read no faster than it is taken.
func TestASlowWorkerHoldsItsClientBack(t *testing.T) {
	const size = 30 << 20
	begin, got := make(chan bool), make(chan int64, 1)
	addr := listen(t, func(c net.Conn) {
		<-begin
		n, _ := io.CopyN(io.Discard, c, size)
		got <- n
		_, _ = io.WriteString(c, served)
	})
	g := open(t, func(c *config.Config) { c.Limits.MemoryMB = 32 }, addr)
	g.pass(0) // time stands still: how fast this machine moves bytes is not what is tested
	c := g.dial()
	sent := make(chan bool)
	go func() { _, _ = c.Write(heavy("7c2d", pattern(size), 0)); close(sent) }()
	select {
	case <-sent:
		t.Error("the body was taken whole before the worker read it")
	case <-time.After(300 * time.Millisecond):
	}
	held := make(chan int, 1)
	g.loop.Post(func() { held <- g.loop.Waiting() })
	if n := next(t, held); n > 1<<20 {
		t.Errorf("%d bytes are held", n)
	}
	close(begin)
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	if res, _ := c.get(); res.StatusCode != 200 {
		t.Fatalf("status %d", res.StatusCode)
	}
	if n := <-got; n != size {
		t.Fatalf("%d bytes", n)
	}
}

// TestASpentBodyIsNotSentAgain: once bytes have left that are not held any more, another
// attempt would be of a body with a hole. One that is held goes again.
func TestASpentBodyIsNotSentAgain(t *testing.T) {
	for name, c := range map[string]struct{ size, attempts, status int }{
		"held":  {70 << 10, 2, 200},
		"spent": {8 << 20, 1, 429},
	} {
		t.Run(name, func(t *testing.T) {
			whole := pattern(c.size)
			addr, got := worker(t, func(n int, s *seen) bool {
				if n == 0 {
					return false // it may have run
				}
				return s.body == string(whole) && say(served)(n, s)
			})
			g := open(t, nil, addr, addr)
			g.pass(0) // time stands still: how fast this machine moves bytes is not what is tested
			cl := g.dial()
			go func() { _, _ = cl.Write(heavy("7c2d", whole, 0)) }()
			res, _ := cl.get()
			if res.StatusCode != c.status {
				t.Errorf("status %d", res.StatusCode)
			}
			if n := len(got); n != c.attempts {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// TestABodyBeyondAllBoundsIsRefused at its head, or where its chunks outgrow them.
func TestABodyBeyondAllBoundsIsRefused(t *testing.T) {
	addr, _ := worker(t, say(served))
	g := open(t, nil, addr)
	g.pass(0) // time stands still: how fast this machine moves bytes is not what is tested
	c := g.dial().send(strings.Replace(simulacion(1900, ""), "Content-Length: 0", "Content-Length: 33554433", 1))
	if res, _ := c.get(); res.StatusCode != 413 {
		t.Errorf("status %d for its length", res.StatusCode)
	}
	c = g.dial()
	go func() { _, _ = c.Write(heavy("7c2d", make([]byte, 33<<20), 1<<20)) }()
	if res, _ := c.get(); res.StatusCode != 413 {
		t.Errorf("status %d for its chunks", res.StatusCode)
	}
}

// TestABodyThatStopsIsGivenUp, its attempt with it, and the client hears so.
func TestABodyThatStopsIsGivenUp(t *testing.T) {
	ended := make(chan int64, 1)
	addr := listen(t, func(c net.Conn) {
		n, _ := io.Copy(io.Discard, c)
		ended <- n
	})
	g := open(t, nil, addr)
	c := g.dial()
	_, _ = c.Write(heavy("7c2d", pattern(1<<20), 0)[:300<<10])
	if res, _ := c.get(); res.StatusCode != 408 {
		t.Errorf("status %d", res.StatusCode)
	}
	if n := next(t, ended); n < 200<<10 {
		t.Errorf("the worker got %d bytes", n)
	}
}

// TestAnAnswerToHeadHasNoBody.
func TestAnAnswerToHeadHasNoBody(t *testing.T) {
	g := open(t, nil)
	c := g.dial()
	for range 2 { // the second would be read out of the first's body
		c.send("HEAD /health/live HTTP/1.1\r\nHost: a\r\n\r\n")
		res, err := http.ReadResponse(c.r, &http.Request{Method: "HEAD"})
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%v %v", res, err)
		}
	}
}
