package link

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// matchingReader is a ResponseMatcher that matches responses by X-Id.
type matchingReader struct{ modelReader }

func (matchingReader) Mine(x *gatekeeper.Execution, m *http1.Message, only bool) (mine, other bool) {
	id := m.Get("X-Id")
	return string(id) == x.Request.Name, id != nil
}

func newMatchingWorld() *world {
	w := newWorld(Transport{})
	w.workerConns = NewWorkerConns(w, w.clock, matchingReader{}, 250, 5000, Transport{})
	w.workerConns.SetCore(w)
	w.workerConns.Place(1, "a", 0)
	return w
}

// acceptDial completes the oldest pending dial.
func (w *world) acceptDial() *fakeConn {
	conn := w.dials[0]
	w.dials = w.dials[1:]
	conn.model, conn.acceptBytes = newModel(HTTP1), 1<<20
	w.conns = append(w.conns, conn)
	conn.endpoint.opened(conn)
	return conn
}

func matchedResponse(id, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestResponseGoesToItsOwnRequest sends a worker's late extra responses before the expected
// one, in pieces of several sizes. The expected response must still be waited for, and the
// connection must not be reused.
func TestResponseGoesToItsOwnRequest(t *testing.T) {
	for name, extra := range map[string][]byte{
		"one":                        matchedResponse("9", "another's"),
		"two":                        slices.Concat(matchedResponse("9", "another's"), matchedResponse("8", "a third's")),
		"a large one":                matchedResponse("9", strings.Repeat("x", http1.MaxBodyBytes+1)),
		"one in chunks":              []byte("HTTP/1.1 200 OK\r\nX-Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
		"one with Connection: close": []byte("HTTP/1.1 200 OK\r\nX-Id: 9\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"),
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in %d", name, piece), func(t *testing.T) {
				env := newMatchingWorld()
				execution := newExecution(3, 1, 0)
				env.workerConns.Execute(execution)
				conn := env.acceptDial()
				for b := slices.Concat(extra, matchedResponse("3", "its own")); len(b) > 0; b = b[min(piece, len(b)):] {
					conn.endpoint.traffic(b[:min(piece, len(b))])
				}
				if ends := env.outcomes[execution]; len(ends) != 1 || ends[0].Status != policy.OK || string(ends[0].Answer.Body) != "its own" {
					t.Fatalf("outcomes %v, want one OK with the request's own body", ends)
				}
				if !conn.closed {
					t.Error("the connection is still open")
				}
			})
		}
	}
}

// TestUnidentifiedResponseMeansMayHaveRun checks responses that can't be attributed to the
// request: it may have run.
func TestUnidentifiedResponseMeansMayHaveRun(t *testing.T) {
	for name, b := range map[string][]byte{
		"small":                   []byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
		"large":                   fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n%s", bytes.Repeat([]byte("x"), 66000)),
		"five for other requests": bytes.Repeat(matchedResponse("9", "x"), 5),
	} {
		t.Run(name, func(t *testing.T) {
			env := newMatchingWorld()
			execution := newExecution(3, 1, 0)
			env.workerConns.Execute(execution)
			conn := env.acceptDial()
			conn.endpoint.traffic(b)
			if ends := env.outcomes[execution]; len(ends) != 1 || ends[0].Status != policy.Reset || !conn.closed {
				t.Fatalf("outcomes %v, connection closed %v; want one Reset, true", ends, conn.closed)
			}
		})
	}
}

// TestPartialResponseTimeout checks that an incomplete response is not cut off before the
// timeout, and that the timeout starts again after a skipped response.
func TestPartialResponseTimeout(t *testing.T) {
	env := newMatchingWorld()
	env.workerConns.PartialTimeoutMS = 2000
	execution := newExecution(3, 1, 0)
	env.workerConns.Execute(execution)
	conn := env.acceptDial()
	extra, expected := matchedResponse("9", "another's"), matchedResponse("3", "its own")
	conn.endpoint.traffic(extra[:5])
	env.advance(1500)
	conn.endpoint.traffic(extra[5:])
	env.advance(2500) // no response has begun, so only the core's deadline applies
	conn.endpoint.traffic(expected[:5])
	env.advance(1900)
	if conn.closed {
		t.Fatal("connection closed before the timeout")
	}
	env.advance(200)
	env.advance(1900)
	if !conn.closed || len(env.outcomes[execution]) != 1 || env.outcomes[execution][0].Status != policy.Reset {
		t.Fatalf("connection not closed after the timeout, outcomes %v", env.outcomes[execution])
	}
}

// TestPartialResponseWithoutTimeout checks that without a limit an incomplete response is waited for until the core gives
// the execution up.
func TestPartialResponseWithoutTimeout(t *testing.T) {
	env := newMatchingWorld()
	env.workerConns.PartialTimeoutMS = 0
	execution := newExecution(3, 1, 0)
	env.workerConns.Execute(execution)
	conn := env.acceptDial()
	response := matchedResponse("3", "its own")
	conn.endpoint.traffic(response[:len(response)-2])
	env.advance(60e3)
	if conn.closed {
		t.Fatal("connection closed before the rest of the response")
	}
	conn.endpoint.traffic(response[len(response)-2:])
	if ends := env.outcomes[execution]; len(ends) != 1 || ends[0].Status != policy.OK {
		t.Fatalf("outcomes %v, want one OK", ends)
	}
}

// TestPerWorkerConnectionLimit checks that further executions wait for a connection.
func TestPerWorkerConnectionLimit(t *testing.T) {
	env := newMatchingWorld()
	env.workerConns.MaxConnsPerWorker = 2
	for n := range 5 {
		env.workerConns.Execute(newExecution(n, 0, 0))
	}
	if len(env.dials) != 2 {
		t.Fatalf("%d connections dialed, want 2", len(env.dials))
	}
	conn := env.acceptDial()
	conn.close()
	if len(env.dials) != 2 {
		t.Fatalf("%d connections dialed in place of one that broke, want 1", len(env.dials)-1)
	}
}

// TestExecutionsCarryWorkerHeaderLines checks that a worker's lines, and no others, come
// before the time left.
func TestExecutionsCarryWorkerHeaderLines(t *testing.T) {
	env := newMatchingWorld()
	env.workerConns.SetHeaderLines(1, []byte("X-Expect: one\r\n"))
	env.workerConns.SetHeaderLines(2, []byte("X-Expect: two\r\n"))
	env.workerConns.Place(2, "b", 0)
	execution := newExecution(3, 0, 0)
	if got := string(env.workerConns.message(nil, execution, "", 0)); !strings.HasSuffix(got, "X-Id: 3\r\nX-Expect: one\r\nX-Left: 1000\r\n\r\n") {
		t.Fatalf("%q", got)
	}
	execution.Worker = 2
	if got := string(env.workerConns.message(nil, execution, "", 0)); !strings.Contains(got, "two") {
		t.Fatalf("%q", got)
	}
}

// TestKeepAliveTimeoutIsHonored checks that a connection is closed before the worker's
// Keep-Alive timeout. A request on a connection that the worker is closing would be lost.
func TestKeepAliveTimeoutIsHonored(t *testing.T) {
	for _, honored := range []bool{false, true} {
		env := newMatchingWorld()
		env.workerConns.HonorKeepAlive = honored
		env.workerConns.Execute(newExecution(3, 0, 0))
		conn := env.acceptDial()
		conn.endpoint.traffic([]byte("HTTP/1.1 200 OK\r\nX-Id: 3\r\nKeep-Alive: max=9, timeout=2\r\nContent-Length: 0\r\n\r\n"))
		env.advance(1500)
		env.workerConns.Sweep()
		if conn.closed {
			t.Fatal("connection closed before the Keep-Alive timeout")
		}
		env.advance(200)
		env.workerConns.Sweep()
		if conn.closed != honored {
			t.Fatalf("connection closed: %v, want %v", conn.closed, honored)
		}
	}
}

// TestIdleConnectionIsCheckedBeforeReuse covers a process that was suspended: requests arrive
// before the sweep and before the loop has read its input. A connection that has been idle too
// long, or that has unread data or a close, must not carry them.
func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		rest float64
		come func(worker int) error
		used bool
	}{
		"idle for a while":  {rest: 4000, used: true},
		"idle for too long": {rest: 20000},
		"bytes have come": {rest: 4000, come: func(worker int) error {
			_, err := syscall.Write(worker, []byte("H"))
			return err
		}},
		"the close has come": {rest: 4000, come: func(worker int) error { return syscall.Shutdown(worker, syscall.SHUT_WR) }},
	} {
		t.Run(name, func(t *testing.T) {
			pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer syscall.Close(pair[0])
			defer syscall.Close(pair[1])
			env := newMatchingWorld()
			env.workerConns.Execute(newExecution(3, 1, 0))
			first := env.acceptDial()
			first.fd = pair[0]
			first.endpoint.traffic(matchedResponse("3", "x"))
			env.clock.Set(env.clock.Now() + tc.rest)
			if tc.come != nil {
				if err := tc.come(pair[1]); err != nil {
					t.Fatal(err)
				}
			}
			env.workerConns.Execute(newExecution(4, 1, 0))
			if used := len(env.dials) == 0; used != tc.used || first.closed == tc.used {
				t.Errorf("connection used %t, closed %t; want used %t", used, first.closed, tc.used)
			}
		})
	}
}
