package switchback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/waymark"
)

// What follows brings faults about at every byte of what goes over a connection, and has a ledger
// say what must hold wherever they strike.

// ledger is what workers have been sent and clients have been told, by the try's id.
type ledger struct {
	mu    sync.Mutex
	came  map[string]int  // whole, to workers that run it
	body  map[string]bool // it came as it was sent
	told  map[string]told
	wrong []string
	all   sync.WaitGroup // of the workers' connections
}

// told is what a client has got.
type told struct {
	unsafe bool
	status int
	whole  bool
	stamp  string
	body   string
}

func newLedger() *ledger {
	return &ledger{came: map[string]int{}, body: map[string]bool{}, told: map[string]told{}}
}

func (g *ledger) fault(format string, a ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrong = append(g.wrong, fmt.Sprintf(format, a...))
}

func (g *ledger) runs(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.came[id]++
}

func (g *ledger) tell(id string, a told) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told[id] = a
}

// shape is how a worker's answer stands on the wire.
type shape struct {
	name, method string
	size         int // of the body
	chunked      bool
	interim      bool
}

var shapes = []shape{
	{name: "by length", method: "POST", size: 8},
	{name: "in chunks", method: "POST", size: 8, chunked: true},
	{name: "to a HEAD", method: "HEAD", size: 8},
	{name: "behind a 103", method: "POST", size: 8, interim: true},
	{name: "long, by length", method: "POST", size: 70200},
	{name: "long, in chunks", method: "POST", size: 70200, chunked: true},
}

// bodyOf is what a try is answered with: nobody else's.
func (f shape) bodyOf(id string) string {
	return strings.Repeat(id+".", f.size/(len(id)+1)+1)[:f.size]
}

func (f shape) answer(id string) string {
	b, body := "", f.bodyOf(id)
	if f.interim {
		b = "HTTP/1.1 103 E\r\nLink: </x>\r\n\r\n"
	}
	b += "HTTP/1.1 200 OK\r\nX-Foxwood-Postmark: " + id + "\r\n" + tryID + id + "\r\n"
	switch {
	case f.method == http.MethodHead:
		return b + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case f.chunked:
		one, two := body[:len(body)/3], body[len(body)/3:]
		return b + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(one), one, len(two), two)
	}
	return b + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// places are the bytes behind which a fault strikes, from one on: each of a short answer; of a long
// one, whose head is like a short one's, some of the head's, those around its chunks, and the last.
func places(from int, text string) (at []int) {
	for i := range len(text) {
		if len(text) < 1000 || i < 160 && i%16 == 0 || i%30011 == 0 || i > 23390 && i < 23430 || i > len(text)-9 {
			at = append(at, from+i)
		}
	}
	return append(at, from+len(text))
}

// strike is what happens to a connection at a byte.
type strike string

const (
	cutOff  strike = "cut"     // it comes to its end there, while the other way stays open
	broken  strike = "reset"   // it is reset there
	stalled strike = "stall"   // nothing more comes
	split   strike = "split"   // nothing happens: the bytes come in two pieces
	doubled strike = "doubled" // so many bytes of it come once more, at once
)

// lineOf is a script of one connection, the first on which a case's worker is asked: its answers
// to one request after the other, and a fault. Other connections are sound.
type lineOf struct {
	g       *ledger
	shape   shape
	parts   []string // what is written for each request in turn
	how     strike
	at      int // byte of all parts together
	mu      sync.Mutex
	taken   bool
	begun   [2]bool     // requests that the faulty connection has brought
	settled []chan bool // what belongs to a request has been written
}

// first tells whether a connection is the one with the fault.
func (o *lineOf) first() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.taken
	o.taken = true
	return !was
}

// begin notes a request on the connection with the fault, reached tells whether it came there.
func (o *lineOf) begin(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun[n] = true
}

func (o *lineOf) reached(n int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.begun[n]
}

// work is a worker's connection.
func (o *lineOf) work(c net.Conn) {
	defer o.g.all.Done()
	defer c.Close()
	in, faulty, spoilt := bufio.NewReader(c), false, false
	for n, done := 0, 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(headTry)
		if spoilt {
			o.g.fault("%s went out on a connection behind its fault", id)
		}
		if want := "body of " + id; r.Method == http.MethodPost && string(body) != want || r.Header.Get(headExpect) == "" {
			o.g.fault("%s came as %q", id, body)
		}
		o.g.runs(id)
		if n == 0 {
			faulty = o.first()
		}
		if !faulty || n >= len(o.parts) {
			if _, err := io.WriteString(c, o.shape.answer(id)); err != nil {
				return
			}
			continue
		}
		o.begin(n)
		p := o.parts[n]
		struck := o.at >= done && o.at <= done+len(p)
		k := min(max(o.at-done, 0), len(p))
		done += len(p)
		switch {
		case o.how == doubled && n == 0:
			_, _ = io.WriteString(c, p+p[:o.at])
			spoilt = true
		case o.how == split:
			_, _ = io.WriteString(c, p[:k])
			_, _ = io.WriteString(c, p[k:])
		case !struck:
			_, _ = io.WriteString(c, p)
		default:
			_, _ = io.WriteString(c, p[:k])
			switch o.how {
			case cutOff:
				_ = c.(*net.TCPConn).CloseWrite()
				spoilt = true
			case broken:
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			case stalled:
				spoilt = k < len(p) // at its end nothing shows
			}
		}
		close(o.settled[n])
	}
}

// staff opens a worker's address.
func (o *lineOf) staff(t *testing.T, id, destination string) waymark.Worker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	o.g.all.Add(1)
	go func() {
		defer o.g.all.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			o.g.all.Add(1)
			go o.work(c)
		}
	}()
	return waymark.Worker{ID: id, Destination: destination, Addr: ln.Addr().String(), Zone: "a1", Berths: 8}
}

// judge looks at the ledger once nothing runs any more.
func (g *ledger) judge(t *testing.T) (served int) {
	g.all.Wait()
	for _, w := range g.wrong {
		t.Error(w)
	}
	for id, a := range g.told {
		switch {
		case a.unsafe && g.came[id] > 1:
			t.Errorf("%s ran %d times", id, g.came[id])
		case a.unsafe && promises(a.status) && g.came[id] > 0:
			t.Errorf("%s ran and was answered %d", id, a.status)
		case a.stamp != "" && a.stamp != id:
			t.Errorf("%s was given the answer of %s", id, a.stamp)
		case a.status == 200 && a.whole && (a.stamp != id || a.body != "whole"):
			t.Errorf("%s has an answer that is not its worker's: %.40q", id, a.body)
		}
		if a.status == 200 && a.whole {
			served++
		}
	}
	for id := range g.came {
		if _, asked := g.told[id]; !asked {
			t.Errorf("%s ran and was never asked", id)
		}
	}
	return served
}

// trial is one case: three requests of one client, the first two of which meet the fault.
type trial struct {
	shape  shape
	how    strike
	extra  bool // the first answer comes once more in the second's place
	second bool // there is another worker, which is sound
	both   bool // the second answer is struck too
	safe   bool
	at     int
}

func (k trial) ids(n int) []string {
	return []string{fmt.Sprintf("%d-a", n), fmt.Sprintf("%d-b", n), fmt.Sprintf("%d-c", n)}
}

func (k trial) parts(n int) []string {
	ids := k.ids(n)
	one, two := k.shape.answer(ids[0]), k.shape.answer(ids[1])
	if k.extra {
		two = one + two
	}
	return []string{one, two}
}

// busy bounds what is under way at once.
var busy = make(chan bool, 300)

// play has clients and workers go through trials, each with a destination of its own.
func play(t *testing.T, trials []trial) (served int) {
	t.Helper()
	g := newLedger()
	t.Run("played", func(t *testing.T) {
		s := open(t)
		rows, lines := make([]course, len(trials)), make([]*lineOf, len(trials))
		var workers []waymark.Worker
		for n, k := range trials {
			to := fmt.Sprint("d", n)
			rows[n] = course{prefix: fmt.Sprintf("/%d/", n), to: to, unsafe: !k.safe, target: 0.3}
			lines[n] = &lineOf{g: g, shape: k.shape, parts: k.parts(n), how: k.how, at: k.at, settled: []chan bool{make(chan bool), make(chan bool)}}
			workers = append(workers, lines[n].staff(t, fmt.Sprint("w-", n), to))
			if k.second {
				workers = append(workers, lines[n].staff(t, fmt.Sprint("v-", n), to))
			}
		}
		s.hear(roll(1, workers...), table(t, 1, rows))
		s.eager()
		var all sync.WaitGroup
		for n, k := range trials {
			busy <- true
			all.Go(func() {
				defer func() { <-busy }()
				s.asks(g, lines[n], k, n)
			})
		}
		all.Wait()
	})
	return g.judge(t)
}

// asks is a client with its three requests, on one connection where that lasts.
func (s *stand) asks(g *ledger, line *lineOf, k trial, n int) {
	left := "30000"
	if k.how == stalled {
		left = "300"
	}
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for i, id := range k.ids(n) {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", s.addr); err != nil {
				g.fault("%v", err)
				return
			}
			in = bufio.NewReader(c)
		}
		text := fmt.Sprintf("%s /%d/ HTTP/1.1\r\nHost: x.example\r\n%s: %s\r\n%s%s\r\n", k.shape.method, n, headLeft, left, tryID, id)
		if k.shape.method == http.MethodPost {
			body := "body of " + id
			text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		} else {
			text += "\r\n"
		}
		_, _ = io.WriteString(c, text)
		a := told{unsafe: !k.safe}
		res, err := http.ReadResponse(in, &http.Request{Method: k.shape.method})
		if err == nil {
			a.status, a.stamp = res.StatusCode, res.Header.Get(headPostmark)
			var body []byte
			body, err = io.ReadAll(res.Body)
			if a.body = string(body); a.body == k.shape.bodyOf(id) || k.shape.method == http.MethodHead {
				a.body = "whole"
			}
		}
		a.whole = err == nil
		g.tell(id, a)
		if err != nil || res.Close {
			_ = c.Close()
			c = nil
		}
		if i < 2 && line.reached(i) {
			<-line.settled[i]
		}
	}
}

// everywhere is trials of a kind at each byte of its answers: of the first, of the second and what
// comes before it, or of both.
func everywhere(k trial) (all []trial) {
	parts := k.parts(0)
	var at []int
	if !k.extra {
		at = places(0, parts[0])
	}
	if k.extra || k.both {
		at = append(at, places(len(parts[0]), parts[1])...)
	}
	for _, k.at = range at {
		if k.at > 0 || k.how != doubled {
			all = append(all, k)
		}
	}
	return all
}

// TestAFaultAtEachByteOfAnAnswer: wherever what a worker sends is cut, reset, stalled or sent twice,
// no answer ends at another caller or looks whole where it is not, nothing unsafe runs twice, what
// promises that it has not run has not, and no connection is used behind its fault.
func TestAFaultAtEachByteOfAnAnswer(t *testing.T) {
	t.Parallel()
	byLength, inChunks, toHead, interim, long, longChunks := shapes[0], shapes[1], shapes[2], shapes[3], shapes[4], shapes[5]
	for _, k := range []trial{
		{shape: inChunks, how: split, both: true},
		{shape: byLength, how: split, extra: true},
		{shape: longChunks, how: split, extra: true},
		{shape: byLength, how: cutOff, both: true},
		{shape: inChunks, how: cutOff, both: true},
		{shape: toHead, how: cutOff},
		{shape: interim, how: cutOff},
		{shape: long, how: cutOff},
		{shape: longChunks, how: cutOff},
		{shape: inChunks, how: cutOff, extra: true},
		{shape: byLength, how: cutOff, second: true},
		{shape: byLength, how: cutOff, second: true, safe: true},
		{shape: inChunks, how: broken, second: true},
		{shape: long, how: broken, second: true},
		{shape: byLength, how: broken},
		{shape: byLength, how: stalled},
		{shape: byLength, how: doubled},
		{shape: toHead, how: doubled},
		{shape: long, how: doubled},
	} {
		t.Run(fmt.Sprintf("%s, %s, extra %t, second %t, safe %t", k.shape.name, k.how, k.extra, k.second, k.safe), func(t *testing.T) {
			t.Parallel()
			trials := everywhere(k)
			served := play(t, trials)
			switch {
			case k.how == split:
				assert.Equal(t, served, 3*len(trials))
			case k.safe:
				assert.Assert(t, served >= 2*len(trials), "%d of %d", served, 3*len(trials))
			default:
				assert.Assert(t, served >= len(trials)/2, "%d of %d", served, 3*len(trials))
			}
		})
	}
}
