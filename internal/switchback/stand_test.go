package switchback

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/link"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// patience is how long anything is waited for: only what never comes takes that long.
const patience = 60 * time.Second

// stand is a proxy without a bothy, with clients and scripted workers on loopback.
type stand struct {
	*Proxy
	t    *testing.T
	ln   *link.Listener
	addr string
}

const boot = `
station = "counter-a-1"
ip = "127.0.0.1"
zone = "a1"
region = "a"
innerDocks = [7460, 7475]
firstStations = ["127.0.0.1:1"]
timeBounds = ["revokeS=60", "graceS=20", %s]
[zones]
a1 = "a"
a2 = "a"
b1 = "b"
[sizeLimits]
memoryMb = 4096
handles = 4000
`

func open(t *testing.T, bounds ...string) *stand {
	t.Helper()
	for i := range bounds {
		bounds[i] = `"` + bounds[i] + `"`
	}
	set, err := bootconfig.Parse(fmt.Appendf(nil, boot, strings.Join(bounds, ", ")))
	assert.NilError(t, err)
	p, err := New(set, zerolog.Nop())
	assert.NilError(t, err)
	p.patience, p.connect = patience, 6e4
	p.tries.Members(0, 1, 0) // else it has no part of the slack for further tries
	ln, err := link.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go ln.Accept(p.loop, func() *link.Client { return p.clients.Make() })
	t.Cleanup(func() {
		_ = ln.Close()
		assert.Check(t, p.loop.Stop())
	})
	return &stand{p, t, ln, ln.Addr().String()}
}

// course is a row of the timetable, with what most tests want.
type course struct {
	prefix, to string
	unsafe     bool
	deadline   float64 // 60
	target     float64 // 60
	tries      int     // 3
	unsealed   bool
	homes      []string
	domain     string // x.example
}

// sender is a tenant, whose key is k-NAME.
type sender struct {
	name  string
	rate  float64
	homes []string
}

// table is a configuration; no senders ask for no key.
func table(t *testing.T, edition uint64, courses []course, senders ...sender) *timetable.Timetable {
	t.Helper()
	or := func(v, other float64) float64 {
		if v == 0 {
			return other
		}
		return v
	}
	var rows, dests, tenants [][]any
	named := map[string]bool{}
	for i, c := range courses {
		kind, domain, homes := "safe", c.domain, c.homes
		if c.unsafe {
			kind = "unsafe"
		}
		if domain == "" {
			domain = "x.example"
		}
		if homes == nil {
			homes = []string{}
		}
		rows = append(rows, []any{fmt.Sprint("r", i), domain, c.prefix, kind, or(c.deadline, 60), or(c.target, 60), 0,
			int(or(float64(c.tries), 3)), c.unsealed, homes, c.to})
		if !named[c.to] {
			named[c.to] = true
			dests = append(dests, []any{c.to, "/health", 100, "h1", false})
		}
	}
	list := func(columns string, rows [][]any) map[string]any {
		return map[string]any{"columns": strings.Fields(columns), "rows": rows}
	}
	doc := map[string]any{"edition": timetable.FormatEdition(edition),
		"courses":      list("name domain streetPrefix kind deadlineS targetS priority tries unsealed homeRegions destination", rows),
		"destinations": list("name healthPath berthCap protocol tls", dests),
		"sizeLimits":   map[string]any{"envelopeBytes": 4096, "bodyBytes": 64 << 20, "envelopeS": 300, "idleS": 300}}
	for _, s := range senders {
		homes := s.homes
		if homes == nil {
			homes = []string{}
		}
		tenants = append(tenants, []any{s.name, []string{"k-" + s.name}, 1, s.rate, 1, homes})
	}
	if len(senders) > 0 {
		doc["senders"] = list("name passes priority ratePerS surge homeRegions", tenants)
	}
	raw, err := json.Marshal(doc)
	assert.NilError(t, err)
	tt, err := timetable.Parse(raw)
	assert.NilError(t, err)
	return tt
}

// hear has the proxy take news, as from a bothy.
func (s *stand) hear(a waymark.Signed, t *timetable.Timetable) {
	s.t.Helper()
	if t != nil {
		a.Edition, a.Body = t.Edition, waymark.Deflate(t.Raw)
	}
	var now float64
	s.on(func() { now = s.clock.Now() })
	assert.Assert(s.t, s.heard(s.t.Context(), &a, now), "the configuration can't be read")
	s.on(func() {
		for _, k := range s.order {
			k.fleet.PartMost = 6e4 // a machine that stands still is no worker that does
		}
	})
}

// roll is news of a whole list of workers.
func roll(version uint64, workers ...waymark.Worker) waymark.Signed {
	return lists(version, 0, workers)
}

// changes is news of what has changed since the version before.
func changes(version uint64, workers ...waymark.Worker) waymark.Signed {
	return lists(version, version-1, workers)
}

func lists(version, since uint64, workers []waymark.Worker) waymark.Signed {
	a := waymark.Signed{Marks: &waymark.Marks{Version: version, Whole: since == 0, Behind: map[string]uint64{}}}
	for _, w := range workers {
		i := slices.IndexFunc(a.Parts, func(p waymark.Part) bool { return p.Destination == w.Destination })
		if i < 0 {
			i = len(a.Parts)
			a.Marks.Behind[w.Destination] = 0
			a.Parts = append(a.Parts, waymark.Part{Destination: w.Destination, Version: version, Since: since})
		}
		w.Destination = ""
		a.Parts[i].Workers = append(a.Parts[i].Workers, w)
	}
	return a
}

// stale is news that a bothy gives which has lost sight of the tail.
func stale(a waymark.Signed) waymark.Signed {
	a.Stale = true
	return a
}

// seen is a request that a worker got.
type seen struct {
	*http.Request
	worker, id, body string
	c                net.Conn
}

// hand is a worker's script: what it does with its n-th request. Where it gives false the connection ends.
type hand func(n int, s *seen) bool

const (
	stamp  = "X-Foxwood-Postmark: 3e1b.07\r\n"
	notRan = "X-Foxwood-Not-Delivered: 1\r\n"
	tryID  = "X-Foxwood-Try-Id: "
)

// say answers with a status, header lines and a body; the try's id is added.
func say(status int, lines, body string) hand {
	return func(_ int, s *seen) bool {
		return raw(fmt.Sprintf("HTTP/1.1 %d T\r\nContent-Length: %d\r\n%s%s%s\r\n\r\n%s", status, len(body), lines, tryID, s.id, body))(0, s)
	}
}

func raw(text string) hand {
	return func(_ int, s *seen) bool {
		_, err := io.WriteString(s.c, text)
		return err == nil
	}
}

// served says which worker it was.
func served(n int, s *seen) bool { return say(200, stamp, s.worker)(n, s) }

// drop ends the connection without a word; silent holds it until the other side ends it.
func drop(int, *seen) bool { return false }

func silent(_ int, s *seen) bool {
	_, _ = s.c.Read(make([]byte, 1))
	return false
}

func reset(_ int, s *seen) bool {
	_ = s.c.(*net.TCPConn).SetLinger(0)
	return false
}

// employ starts a worker. What it gets goes to got too, if there is one.
func employ(t *testing.T, id, destination string, do hand, got chan<- *seen) waymark.Worker {
	t.Helper()
	count := make(chan int, 1)
	count <- 0
	addr := workplace(t, func(r *http.Request, c net.Conn) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		n := <-count
		count <- n + 1
		s := &seen{r, id, r.Header.Get(headTry), string(body), c}
		if got != nil {
			got <- s
		}
		return do(n, s)
	})
	return waymark.Worker{ID: id, Destination: destination, Addr: addr, Zone: "a1", Berths: 8}
}

// workplace opens a worker's address. A connection ends when do says so.
func workplace(t *testing.T, do func(r *http.Request, c net.Conn) bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil || !do(r, c) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func next[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		t.Fatal("what was waited for did not come")
	}
	return v
}

// caller is a client's connection.
type caller struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (s *stand) dial() *caller {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(patience)))
	return &caller{s.t, c, bufio.NewReader(c)}
}

var tries = func() chan int { c := make(chan int, 1); c <- 0; return c }()

// request is one with an id of its own.
func request(method, path, lines, body string) string {
	n := <-tries
	tries <- n + 1
	if !strings.Contains(lines, "Host:") {
		lines += "Host: x.example\r\n"
	}
	if body != "" && !strings.Contains(lines, "chunked") {
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s%st%d\r\n\r\n%s", method, path, lines, tryID, n, body)
}

func (c *caller) send(text string) *caller {
	c.t.Helper()
	_, err := io.WriteString(c.c, text)
	assert.NilError(c.t, err)
	return c
}

func (c *caller) get() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return res, string(body)
}

// ask sends a request on a connection of its own.
func (s *stand) ask(method, path, lines, body string) (*http.Response, string) {
	s.t.Helper()
	return s.dial().send(request(method, path, lines, body)).get()
}

// comesBack checks that a refusal says when to come again.
func comesBack(t *testing.T, res *http.Response) {
	t.Helper()
	assert.Assert(t, res.Header.Get("Retry-After") != "", "no Retry-After")
}

func large(n int) string { return string(bytes.Repeat([]byte("abcdefgh"), n/8)) }

// whole tells whether a success comes whole.
func (c *caller) whole() bool {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	_, err = io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}
