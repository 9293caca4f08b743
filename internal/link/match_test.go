package link

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// matching is a reader that tells whose an answer is by its X-Id.
type matching struct{ modelReader }

func (matching) Mine(x *gatekeeper.Execution, m *http1.Message, only bool) (mine, other bool) {
	id := m.Get("X-Id")
	return string(id) == x.Request.Name, id != nil
}

func newMatching() *world {
	w := newWorld(Transport{})
	w.fleet = NewFleet(w, w.clock, matching{}, 250, 5000, Transport{})
	w.fleet.Attach(w)
	w.fleet.Place(1, "a", 0)
	return w
}

// up has the oldest connection that is being opened come up.
func (w *world) up() *fakeConn {
	c := w.dials[0]
	w.dials = w.dials[1:]
	c.model, c.room = newModel(OneAtATime), 1<<20
	w.conns = append(w.conns, c)
	c.end.opened(c)
	return c
}

func answerOf(id, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestAnAnswerGoesToItsOwnRequestOnly: a worker's late extra answer comes in the place of
// the one due, which is waited for, whatever pieces both come in; and the link is not used
// again.
func TestAnAnswerGoesToItsOwnRequestOnly(t *testing.T) {
	for name, extra := range map[string][]byte{
		"one":             answerOf("9", "another's"),
		"two":             slices.Concat(answerOf("9", "another's"), answerOf("8", "a third's")),
		"a large one":     answerOf("9", strings.Repeat("x", http1.MaxBody+1)),
		"one in chunks":   []byte("HTTP/1.1 200 OK\r\nX-Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
		"one that closes": []byte("HTTP/1.1 200 OK\r\nX-Id: 9\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"),
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in %d", name, piece), func(t *testing.T) {
				w := newMatching()
				x := execution(3, 1, 0)
				w.fleet.Execute(x)
				c := w.up()
				for b := slices.Concat(extra, answerOf("3", "its own")); len(b) > 0; b = b[min(piece, len(b)):] {
					c.end.traffic(b[:min(piece, len(b))])
				}
				if ends := w.ends[x]; len(ends) != 1 || ends[0].Status != policy.OK || string(ends[0].Answer.Body) != "its own" {
					t.Fatalf("ended with %v", ends)
				}
				if !c.closed {
					t.Error("the link is kept")
				}
			})
		}
	}
}

// TestAnAnswerOfNobodyPromisesNothing: it may be anyone's, and the request may have run.
func TestAnAnswerOfNobodyPromisesNothing(t *testing.T) {
	for name, b := range map[string][]byte{
		"small":        []byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
		"large":        fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n%s", bytes.Repeat([]byte("x"), 66000)),
		"five others'": bytes.Repeat(answerOf("9", "x"), 5),
	} {
		t.Run(name, func(t *testing.T) {
			w := newMatching()
			x := execution(3, 1, 0)
			w.fleet.Execute(x)
			c := w.up()
			c.end.traffic(b)
			if ends := w.ends[x]; len(ends) != 1 || ends[0].Status != policy.Reset || !c.closed {
				t.Fatalf("ended with %v, link closed: %v", ends, c.closed)
			}
		})
	}
}

// TestTheRestOfAnAnswerIsWaitedForAsLongAsSaid: an answer is not cut off before, and the
// time begins anew behind a skipped one.
func TestTheRestOfAnAnswerIsWaitedForAsLongAsSaid(t *testing.T) {
	w := newMatching()
	w.fleet.PartMost = 2000
	x := execution(3, 1, 0)
	w.fleet.Execute(x)
	c := w.up()
	extra, own := answerOf("9", "another's"), answerOf("3", "its own")
	c.end.traffic(extra[:5])
	w.pass(1500)
	c.end.traffic(extra[5:])
	w.pass(2500) // nothing has begun: the deadline is the core's matter
	c.end.traffic(own[:5])
	w.pass(1900)
	if c.closed {
		t.Fatal("cut off before its time")
	}
	w.pass(200)
	w.pass(1900)
	if !c.closed || len(w.ends[x]) != 1 || w.ends[x][0].Status != policy.Reset {
		t.Fatalf("not cut off: %v", w.ends[x])
	}
}

// TestAWorkerGetsNoMoreLinksThanItBears: the rest wait for a link.
func TestAWorkerGetsNoMoreLinksThanItBears(t *testing.T) {
	w := newMatching()
	w.fleet.PerWorker = 2
	for n := range 5 {
		w.fleet.Execute(execution(n, 0, 0))
	}
	if len(w.dials) != 2 {
		t.Fatalf("%d links are opened, 2 are borne", len(w.dials))
	}
	c := w.up()
	c.close()
	if len(w.dials) != 2 {
		t.Fatalf("%d links are opened in the place of one that broke", len(w.dials)-1)
	}
}

// TestExecutionsCarryTheirWorkersLines: before the time left, and only its own.
func TestExecutionsCarryTheirWorkersLines(t *testing.T) {
	w := newMatching()
	w.fleet.Lines(1, []byte("X-Expect: one\r\n"))
	w.fleet.Lines(2, []byte("X-Expect: two\r\n"))
	w.fleet.Place(2, "b", 0)
	x := execution(3, 0, 0)
	if got := string(w.fleet.message(nil, x, "", 0)); !strings.HasSuffix(got, "X-Id: 3\r\nX-Expect: one\r\nX-Left: 1000\r\n\r\n") {
		t.Fatalf("%q", got)
	}
	x.Worker = 2
	if got := string(w.fleet.message(nil, x, "", 0)); !strings.Contains(got, "two") {
		t.Fatalf("%q", got)
	}
}

// TestALinkRestsNoLongerThanItsWorkerLetsIt: a request on a link that the worker is closing
// would be lost.
func TestALinkRestsNoLongerThanItsWorkerLetsIt(t *testing.T) {
	for _, on := range []bool{false, true} {
		w := newMatching()
		w.fleet.KeepAlive = on
		w.fleet.Execute(execution(3, 0, 0))
		c := w.up()
		c.end.traffic([]byte("HTTP/1.1 200 OK\r\nX-Id: 3\r\nKeep-Alive: max=9, timeout=2\r\nContent-Length: 0\r\n\r\n"))
		w.pass(1500)
		w.fleet.Sweep()
		if c.closed {
			t.Fatal("closed before its time")
		}
		w.pass(200)
		w.fleet.Sweep()
		if c.closed != on {
			t.Fatalf("closed: %v, want %v", c.closed, on)
		}
	}
}
