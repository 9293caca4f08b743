package switchback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/link"
	"foxwood/internal/waymark"
)

// readiness asks the platform's question at a door of its own.
func (s *stand) readiness(t *testing.T) func(path string) int {
	ln, err := link.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go ln.Accept(s.loop, func() *link.Client { return s.doors.Make() })
	t.Cleanup(func() { _ = ln.Close() })
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(path string) int {
		t.Helper()
		res, err := client.Get("http://" + ln.Addr().String() + path)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		if res.StatusCode == http.StatusServiceUnavailable {
			comesBack(t, res)
		}
		return res.StatusCode
	}
}

// TestReady: not before there are a configuration and workers, and where revocations are final not
// before the tail's word; not while it drains.
func TestReady(t *testing.T) {
	for _, final := range []bool{false, true} {
		s := open(t, map[bool]string{true: "revocationFinal=true", false: "revocationFinal=false"}[final])
		ask := s.readiness(t)
		assert.Equal(t, ask("/other"), 404)
		assert.Equal(t, ask("/ready"), 503)
		res, _ := s.ask("GET", "/", "", "")
		assert.Equal(t, res.StatusCode, 503, "404 would be for good, before the first configuration")
		comesBack(t, res)
		s.hear(waymark.Signed{Stale: true}, table(t, 1, []course{{prefix: "/", to: "a"}}))
		assert.Equal(t, ask("/ready"), 503)
		s.hear(stale(roll(1, employ(t, "w", "a", served, nil))), nil)
		assert.Equal(t, ask("/ready"), map[bool]int{true: 503, false: 200}[final])
		s.hear(waymark.Signed{Edition: 1}, nil)
		assert.Equal(t, ask("/ready?x=1"), 200)
		s.on(func() { assert.Check(t, s.question().Member.Ready) })
		s.on(func() { s.draining = true })
		assert.Equal(t, ask("/ready"), 503)
		s.on(func() {
			g := s.question().Member
			assert.Check(t, !g.Ready && g.Leaving)
		})
	}
}

// TestTheDoorIsOpenWhileClientsMayCome: for the two seconds that the directory's word holds, where the grace
// has room for that; never past half of it, which is for what is open.
func TestTheDoorIsOpenWhileClientsMayCome(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		gone, most time.Duration
		shut, idle bool
	}{
		{0, 20000 * ms, false, false},
		{drainLook, 20000 * ms, false, false},
		{1000 * ms, 20000 * ms, false, false},
		{1200 * ms, 20000 * ms, false, true},
		{2000 * ms, 20000 * ms, false, true},
		{2500 * ms, 20000 * ms, true, true},
		{900 * ms, 2000 * ms, false, false},
		{1050 * ms, 2000 * ms, true, false},
	} {
		shut, idle := drainAt(c.gone, c.most)
		assert.Check(t, shut == c.shut && idle == c.idle, "%v of %v: shut %v, idle %v", c.gone, c.most, shut, idle)
	}
}

// TestDrain: what was read is answered, and what comes before the door closes too; each answer
// ends its connection, and nothing waits in the door when it closes.
func TestDrain(t *testing.T) {
	t.Parallel()
	s := open(t)
	got, release, last := make(chan *seen, 3), make(chan bool), make(chan bool)
	var ran atomic.Int64
	slow := func(n int, r *seen) bool {
		if ran.Add(1); n < 3 {
			got <- r
			if r.body == "uno" {
				<-last
			} else {
				<-release
			}
		}
		return served(n, r)
	}
	s.hear(roll(1, employ(t, "w", "a", slow, nil)), table(t, 1, []course{{prefix: "/", to: "a", unsafe: true}}))
	idle := s.dial()
	before := s.dial().send(request("POST", "/", "", "uno"))
	next(t, got)
	ended := make(chan bool)
	began := time.Now()
	go func() {
		s.drain(s.ln)
		close(ended)
	}()
	for draining := false; !draining; {
		s.on(func() { draining = s.draining })
	}
	after := s.dial().send(request("POST", "/", "", "dos"))
	next(t, got)
	late := idle.send(request("POST", "/", "", "tres")) // on a connection that was open before
	next(t, got)
	release <- true
	release <- true
	whole := func(c *caller) {
		res, body := c.get()
		assert.Equal(t, res.StatusCode, 200)
		assert.Equal(t, body, "w")
		assert.Assert(t, res.Close, "an answer that does not end its connection")
	}
	whole(after)
	whole(late)
	// Clients come all the while. One is answered, or its request was never read: then it has not run.
	answered := int64(3)
	for {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			break
		}
		assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
		_, _ = io.WriteString(c, request("POST", "/", "", ""))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			assert.Equal(t, res.StatusCode, 200)
			answered++
		}
		_ = c.Close()
	}
	most := time.Duration(s.set.Bounds.GraceS*float64(time.Second)) - drainSpare
	assert.Assert(t, time.Since(began) > min(drainOpen, most/2), "the door is shut while the directory still names us")
	select {
	case <-ended:
		t.Error("it ends with a request open")
	case <-time.After(4 * drainLook): // what must not come does not
	}
	close(last)
	whole(before)
	next(t, ended)
	assert.Equal(t, ran.Load(), answered)
	s.on(func() { assert.Check(t, s.clients.Len() == 0) })
}
