package link

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// matching is a reader that tells whose an answer is by its X-Id.
type matchingReader struct{ modelReader }

func (matchingReader) Mine(x *gatekeeper.Execution, m *http1.Message, only bool) (mine, other bool) {
	id := m.Get("X-Id")
	return string(id) == x.Request.Name, id != nil
}

func newMatchingWorld() *world {
	w := newWorld(Transport{})
	w.fleet = NewFleet(w, w.clock, matchingReader{}, 250, 5000, Transport{})
	w.fleet.Attach(w)
	w.fleet.Place(1, "a", 0)
	return w
}

// up has the oldest connection that is being opened come up.
func (w *world) acceptDial() *fakeConn {
	c := w.dials[0]
	w.dials = w.dials[1:]
	c.model, c.acceptBytes = newModel(OneAtATime), 1<<20
	w.conns = append(w.conns, c)
	c.endpoint.opened(c)
	return c
}

func matchedResponse(id, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestResponseGoesToItsOwnRequest: a worker's late extra answer comes in the place of
// the one due, which is waited for, whatever pieces both come in; and the link is not used
// again.
func TestResponseGoesToItsOwnRequest(t *testing.T) {
	for name, extra := range map[string][]byte{
		"one":             matchedResponse("9", "another's"),
		"two":             slices.Concat(matchedResponse("9", "another's"), matchedResponse("8", "a third's")),
		"a large one":     matchedResponse("9", strings.Repeat("x", http1.MaxBody+1)),
		"one in chunks":   []byte("HTTP/1.1 200 OK\r\nX-Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
		"one that closes": []byte("HTTP/1.1 200 OK\r\nX-Id: 9\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"),
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in %d", name, piece), func(t *testing.T) {
				env := newMatchingWorld()
				execution := newExecution(3, 1, 0)
				env.fleet.Execute(execution)
				conn := env.acceptDial()
				for b := slices.Concat(extra, matchedResponse("3", "its own")); len(b) > 0; b = b[min(piece, len(b)):] {
					conn.endpoint.traffic(b[:min(piece, len(b))])
				}
				if ends := env.outcomes[execution]; len(ends) != 1 || ends[0].Status != policy.OK || string(ends[0].Answer.Body) != "its own" {
					t.Fatalf("ended with %v", ends)
				}
				if !conn.closed {
					t.Error("the link is kept")
				}
			})
		}
	}
}

// TestUnidentifiedResponseMeansMayHaveRun: it may be anyone's, and the request may have run.
func TestUnidentifiedResponseMeansMayHaveRun(t *testing.T) {
	for name, b := range map[string][]byte{
		"small":        []byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
		"large":        fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n%s", bytes.Repeat([]byte("x"), 66000)),
		"five others'": bytes.Repeat(matchedResponse("9", "x"), 5),
	} {
		t.Run(name, func(t *testing.T) {
			env := newMatchingWorld()
			execution := newExecution(3, 1, 0)
			env.fleet.Execute(execution)
			conn := env.acceptDial()
			conn.endpoint.traffic(b)
			if ends := env.outcomes[execution]; len(ends) != 1 || ends[0].Status != policy.Reset || !conn.closed {
				t.Fatalf("ended with %v, link closed: %v", ends, conn.closed)
			}
		})
	}
}

// TestPartialResponseTimeout: an answer is not cut off before, and the
// time begins anew behind a skipped one.
func TestPartialResponseTimeout(t *testing.T) {
	env := newMatchingWorld()
	env.fleet.PartMost = 2000
	execution := newExecution(3, 1, 0)
	env.fleet.Execute(execution)
	conn := env.acceptDial()
	extra, own := matchedResponse("9", "another's"), matchedResponse("3", "its own")
	conn.endpoint.traffic(extra[:5])
	env.advance(1500)
	conn.endpoint.traffic(extra[5:])
	env.advance(2500) // nothing has begun: the deadline is the core's matter
	conn.endpoint.traffic(own[:5])
	env.advance(1900)
	if conn.closed {
		t.Fatal("cut off before its time")
	}
	env.advance(200)
	env.advance(1900)
	if !conn.closed || len(env.outcomes[execution]) != 1 || env.outcomes[execution][0].Status != policy.Reset {
		t.Fatalf("not cut off: %v", env.outcomes[execution])
	}
}

// TestPerWorkerConnectionLimit: the rest wait for a link.
func TestPerWorkerConnectionLimit(t *testing.T) {
	env := newMatchingWorld()
	env.fleet.PerWorker = 2
	for n := range 5 {
		env.fleet.Execute(newExecution(n, 0, 0))
	}
	if len(env.dials) != 2 {
		t.Fatalf("%d links are opened, 2 are borne", len(env.dials))
	}
	conn := env.acceptDial()
	conn.close()
	if len(env.dials) != 2 {
		t.Fatalf("%d links are opened in the place of one that broke", len(env.dials)-1)
	}
}

// TestExecutionsCarryWorkerHeaderLines: before the time left, and only its own.
func TestExecutionsCarryWorkerHeaderLines(t *testing.T) {
	env := newMatchingWorld()
	env.fleet.Lines(1, []byte("X-Expect: one\r\n"))
	env.fleet.Lines(2, []byte("X-Expect: two\r\n"))
	env.fleet.Place(2, "b", 0)
	execution := newExecution(3, 0, 0)
	if got := string(env.fleet.message(nil, execution, "", 0)); !strings.HasSuffix(got, "X-Id: 3\r\nX-Expect: one\r\nX-Left: 1000\r\n\r\n") {
		t.Fatalf("%q", got)
	}
	execution.Worker = 2
	if got := string(env.fleet.message(nil, execution, "", 0)); !strings.Contains(got, "two") {
		t.Fatalf("%q", got)
	}
}

// TestKeepAliveTimeoutIsHonored: a request on a link that the worker is closing
// would be lost.
func TestKeepAliveTimeoutIsHonored(t *testing.T) {
	for _, honored := range []bool{false, true} {
		env := newMatchingWorld()
		env.fleet.KeepAlive = honored
		env.fleet.Execute(newExecution(3, 0, 0))
		conn := env.acceptDial()
		conn.endpoint.traffic([]byte("HTTP/1.1 200 OK\r\nX-Id: 3\r\nKeep-Alive: max=9, timeout=2\r\nContent-Length: 0\r\n\r\n"))
		env.advance(1500)
		env.fleet.Sweep()
		if conn.closed {
			t.Fatal("closed before its time")
		}
		env.advance(200)
		env.fleet.Sweep()
		if conn.closed != honored {
			t.Fatalf("closed: %v, want %v", conn.closed, honored)
		}
	}
}

// TestIdleConnectionIsCheckedBeforeReuse: who wakes from a freeze has requests before its sweep and
// before it has read what came: a link that rested for all of it, and one on which something has come, be
// it bytes or its end, carries none of them.
func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		rest float64
		come func(worker int) error
		used bool
	}{
		"rested for a while":            {rest: 4000, used: true},
		"rested for longer than it may": {rest: 20000},
		"bytes have come": {rest: 4000, come: func(worker int) error {
			_, err := syscall.Write(worker, []byte("H"))
			return err
		}},
		"its end has come": {rest: 4000, come: func(worker int) error { return syscall.Shutdown(worker, syscall.SHUT_WR) }},
	} {
		t.Run(name, func(t *testing.T) {
			pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer syscall.Close(pair[0])
			defer syscall.Close(pair[1])
			env := newMatchingWorld()
			env.fleet.Execute(newExecution(3, 1, 0))
			first := env.acceptDial()
			first.fd = pair[0]
			first.endpoint.traffic(matchedResponse("3", "x"))
			env.clock.Set(env.clock.Now() + tc.rest)
			if tc.come != nil {
				if err := tc.come(pair[1]); err != nil {
					t.Fatal(err)
				}
			}
			env.fleet.Execute(newExecution(4, 1, 0))
			if used := len(env.dials) == 0; used != tc.used || first.closed == tc.used {
				t.Errorf("used %t, closed %t", used, first.closed)
			}
		})
	}
}
