package switchback

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/waymark"
)

// TestAClientThatLeavesEndsItsWork: a worker that is at work on a request hears at once that its client has closed its
// connection, whatever the request may do, and nobody else gets the request.
func TestAClientThatLeavesEndsItsWork(t *testing.T) {
	t.Parallel()
	for _, unsafe := range []bool{false, true} {
		s := open(t)
		got, ended := make(chan *seen, 9), make(chan bool, 9)
		atWork := func(_ int, r *seen) bool {
			_, _ = r.c.Read(make([]byte, 1)) // until the other side ends it
			ended <- true
			return false
		}
		s.hear(roll(1, employ(t, "w-1", "a", atWork, got), employ(t, "w-2", "a", atWork, got)), table(t, 1, []course{{prefix: "/", to: "a", unsafe: unsafe}}))
		c := s.dial().send(request("POST", "/", "", "uno"))
		next(t, got)
		assert.NilError(t, c.c.Close())
		next(t, ended)
		assert.Equal(t, len(got), 0)
	}
}

// TestAClientThatLeavesTheQueue: a request that waits for a worker goes to none once its client has left.
func TestAClientThatLeavesTheQueue(t *testing.T) {
	t.Parallel()
	s := open(t)
	got := make(chan *seen, 9)
	s.hear(roll(1), table(t, 1, []course{{prefix: "/", to: "a"}}))
	gone := s.dial().send(request("GET", "/gone", "", ""))
	s.open(1)
	assert.NilError(t, gone.c.Close())
	s.open(0)
	s.hear(roll(2, employ(t, "w-1", "a", served, got)), nil)
	res, _ := s.ask("GET", "/next", "", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, next(t, got).URL.Path, "/next")
	assert.Equal(t, len(got), 0)
}

// open waits until so many requests are under way.
func (s *stand) open(n int) {
	for until := time.Now().Add(patience); ; {
		under := 0
		s.on(func() {
			for _, p := range s.order {
				under += p.core.Load().Queued + p.core.Load().InFlight
			}
		})
		if under == n {
			return
		}
		assert.Assert(s.t, time.Now().Before(until), "%d requests are under way", under)
	}
}

// TestALinkWithAnUnfinishedBodyIsNotUsedAgain: a worker answers before it has read a long body, keeps the connection and
// reads on. It gets the rest of that body or the connection's end, never another request's bytes.
func TestALinkWithAnUnfinishedBodyIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	const size = 5 << 20
	for _, answer := range []int{4, 2 << 20} {
		s := open(t)
		type rest struct {
			n   int64
			sum uint32
			err error
		}
		rests, others := make(chan rest, 1), make(chan string, 9)
		addr := workplace(t, func(r *http.Request, c net.Conn) bool {
			if r.Method != http.MethodPost {
				others <- r.URL.Path
				_, err := io.WriteString(c, answerHead(r, 0, false))
				return err == nil
			}
			h := crc32.NewIEEE()
			begun, _ := io.CopyN(h, r.Body, 1<<16)
			if _, err := io.WriteString(c, answerHead(r, answer, false)); err != nil {
				return false
			}
			_ = pour(c, answer, false)
			n, err := io.Copy(h, r.Body)
			rests <- rest{begun + n, h.Sum32(), err}
			return err == nil
		})
		s.hear(roll(1, waymark.Worker{ID: "w", Destination: "a", Addr: addr, Zone: "a1", Berths: 8}), table(t, 1, []course{{prefix: "/", to: "a", unsafe: true}}))
		c := s.patient().send(request("POST", "/long", framed(size, false), ""))
		_, err := io.CopyN(c.c, freight(size), 1<<20)
		assert.NilError(t, err)
		res, err := http.ReadResponse(c.r, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
		for i := range 3 {
			res, _ := s.ask("GET", fmt.Sprint("/", i), "", "")
			assert.Equal(t, res.StatusCode, 200)
			assert.Equal(t, next(t, others), fmt.Sprint("/", i))
		}
		_ = c.c.Close()
		got := next(t, rests)
		assert.Assert(t, got.err != nil || got.n == size && got.sum == sum(size), "%d bytes came as the body", got.n)
	}
}

// TestARouteEndsWhatLastsLonger: a request that lasts longer than its route's deadline is answered then, though its client
// would wait on; its worker is told no more time than that, and the next worker no more than is left.
func TestARouteEndsWhatLastsLonger(t *testing.T) {
	t.Parallel()
	s := open(t)
	got := make(chan *seen, 9)
	once := func(n int, r *seen) bool {
		if n > 0 {
			return silent(n, r)
		}
		return say(503, notRan, "")(n, r)
	}
	s.hear(roll(1, employ(t, "w-1", "a", once, got), employ(t, "w-2", "a", once, got)),
		table(t, 1, []course{{prefix: "/", to: "a", unsafe: true, deadline: 0.4, target: 0.3}}))
	began := time.Now()
	c := s.dial().send(request("POST", "/", "X-Foxwood-Time-Left: 60000\r\n", ""))
	res, _ := c.get()
	assert.Assert(t, res.StatusCode == 502 || res.StatusCode == 503, "%d", res.StatusCode)
	assert.Assert(t, time.Since(began) < patience/2, "it was held for as long as its client waits")
	before := 400
	for len(got) > 0 {
		left, err := strconv.Atoi(strings.TrimSpace((<-got).Header.Get(headLeft)))
		assert.NilError(t, err)
		assert.Assert(t, left > 0 && left <= before, "%d ms after %d", left, before)
		before = left
	}
}

// TestAReloadEndsNothing: settings that are read again leave requests under way, and connections between two, as they are.
func TestAReloadEndsNothing(t *testing.T) {
	t.Parallel()
	s := open(t)
	got, release := make(chan *seen, 9), make(chan bool)
	held := func(n int, r *seen) bool {
		if r.URL.Path == "/held" {
			<-release
		}
		return served(n, r)
	}
	s.hear(roll(1, employ(t, "w-1", "a", held, got)), table(t, 1, []course{{prefix: "/", to: "a", unsafe: true}}))
	c, kept := s.dial(), s.dial()
	res, _ := kept.send(request("POST", "/kept", "", "")).get()
	assert.Equal(t, res.StatusCode, 200)
	next(t, got)
	c.send(request("POST", "/held", "", ""))
	next(t, got)
	set := *s.set
	set.FirstStations = []string{"127.0.0.1:2"}
	s.Reload(&set)
	release <- true
	res, _ = c.get()
	assert.Equal(t, res.StatusCode, 200)
	assert.Assert(t, !res.Close)
	res, _ = kept.send(request("POST", "/kept", "", "")).get()
	assert.Equal(t, res.StatusCode, 200)
}

// TestARouteAddedLaterIsServed as the first ones are, whether its terms are new or those of a route that was there.
func TestARouteAddedLaterIsServed(t *testing.T) {
	t.Parallel()
	s := open(t)
	first := []course{{prefix: "/first/", to: "a"}}
	later := append(first, course{prefix: "/alike/", to: "a"}, course{prefix: "/other/", to: "a", unsafe: true, deadline: 30, target: 20, tries: 1})
	s.hear(roll(1, employ(t, "w-1", "a", served, nil)), table(t, 1, first))
	for range 3 {
		res, _ := s.ask("GET", "/first/", "", "")
		assert.Equal(t, res.StatusCode, 200)
	}
	s.hear(waymark.Signed{}, table(t, 2, later))
	for _, path := range []string{"/alike/", "/other/", "/first/"} {
		for range 5 {
			res, _ := s.ask("GET", path, "", "")
			assert.Equal(t, res.StatusCode, 200, path)
		}
	}
}
