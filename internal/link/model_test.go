package link

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/encoding/protodelim"

	"foxwood/gatekeeper"
	"foxwood/internal/batch/batchpb"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// world drives a fleet without sockets: connections are objects that take as many bytes
// as the test lets them, and what is behind them is a model of a worker.
type world struct {
	fleet   *Fleet
	clock   *gatekeeper.Clock
	dials   []*fakeConn
	conns   []*fakeConn
	timers  []fakeTimer
	dirty   []flusher
	ends    map[*gatekeeper.Execution][]gatekeeper.Outcome
	classes []policy.Class
}

type fakeTimer struct {
	at float64
	do func()
}

func newWorld(t Transport) *world {
	w := &world{clock: gatekeeper.NewClock(), ends: map[*gatekeeper.Execution][]gatekeeper.Outcome{}}
	w.clock.Set(1e6)
	w.classes = []policy.Class{{Aim: 400e3, Deadline: 2e6, Repeat: policy.Safe}, {Aim: 400e3, Deadline: 2e6, Repeat: policy.Unsafe}}
	w.fleet = NewFleet(w, w.clock, modelReader{}, 250, 5000, t)
	w.fleet.Attach(w)
	return w
}

func (w *world) servers() int  { return 12 }
func (w *world) openings() int { return openingsMost }
func (w *world) flushSoon(f flusher, g *mark) {
	if !g.dirty {
		g.dirty = true
		w.dirty = append(w.dirty, f)
	}
}
func (w *world) Class(c int) policy.Class { return w.classes[c] }
func (w *world) after(ms float64, do func()) {
	w.timers = append(w.timers, fakeTimer{w.clock.Now() + ms, do})
}

func (w *world) dial(_ string, _ time.Duration, e endpoint, failed func(error)) {
	w.dials = append(w.dials, &fakeConn{world: w, end: e, failed: failed})
}

func (w *world) shut(c conn)                       { c.(*fakeConn).close() }
func (w *world) leave(conn, flowing) (*flow, bool) { return nil, false }

// Done implements Core.
func (w *world) Wrote(*gatekeeper.Execution)                     {}
func (w *world) MayLeave(*gatekeeper.Execution) bool             { return true }
func (w *world) Progress(*gatekeeper.Execution)                  {}
func (w *world) Begun(*gatekeeper.Execution, gatekeeper.Outcome) {}
func (w *world) Finish(*gatekeeper.Request, gatekeeper.End)      {}
func (w *world) Gone(*gatekeeper.Request)                        {}

func (w *world) Done(x *gatekeeper.Execution, o gatekeeper.Outcome) {
	o.Answer.Body = bytes.Clone(o.Answer.Body)
	w.ends[x] = append(w.ends[x], o)
}

// turn ends a turn of the loop.
func (w *world) turn() {
	for i := 0; i < len(w.dirty); i++ {
		w.dirty[i].flush()
	}
	w.dirty = w.dirty[:0]
}

// pass lets time go by, and timers ring.
func (w *world) pass(ms float64) {
	w.clock.Set(w.clock.Now() + ms)
	due := w.timers
	w.timers = nil
	for _, t := range due {
		if t.at <= w.clock.Now() {
			t.do()
		} else {
			w.timers = append(w.timers, t)
		}
	}
}

// fakeConn is a connection and the worker's side of it.
type fakeConn struct {
	gnet.Conn
	world  *world
	end    endpoint
	failed func(error)
	model  model
	held   []byte // written and not taken by the kernel yet
	room   int    // bytes that the kernel takes at once
	closed bool
	spoilt bool // it has brought noise
	fd     int  // of a socket that is looked at in its place, 0 for none
}

func (c *fakeConn) Write(b []byte) (int, error) {
	if c.closed {
		return 0, fmt.Errorf("closed")
	}
	c.held = append(c.held, b...)
	c.pass(c.room)
	return len(b), nil
}

func (c *fakeConn) OutboundBuffered() int { return len(c.held) }
func (c *fakeConn) Fd() int               { return cmp.Or(c.fd, -1) }

// pass lets the kernel take more of what is held.
func (c *fakeConn) pass(n int) {
	n = min(n, len(c.held))
	c.model.take(c.held[:n])
	c.held = slices.Delete(c.held, 0, n)
}

func (c *fakeConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.world.conns = slices.DeleteFunc(c.world.conns, func(o *fakeConn) bool { return o == c })
	c.end.closed(nil)
}

// model is the worker's side of a connection.
type model interface {
	take(b []byte)
	// whole lists the ids of requests that have come whole and have no answer yet.
	whole() []string
	// answer gives the bytes that answer one of them.
	answer(id string) []byte
	// refuse gives the bytes that say that it has not run, nil where there are none.
	refuse(id string) []byte
	// leave gives the bytes that say that nothing new is taken, nil where there are none.
	leave() []byte
	// told tells whether the gatekeeper has given an id up.
	told(id string) bool
	// has tells whether a request has ever come whole, and was not refused.
	has(id string) bool
}

// known is what every model keeps.
type known struct {
	open    []string
	came    map[string]bool
	givenUp map[string]bool
	names   map[string]uint64 // stream or item
}

func newKnown() known {
	return known{came: map[string]bool{}, givenUp: map[string]bool{}, names: map[string]uint64{}}
}

func (k *known) whole() []string     { return k.open }
func (k *known) told(id string) bool { return k.givenUp[id] }
func (k *known) has(id string) bool  { return k.came[id] }
func (k *known) arrive(id string, name uint64) {
	k.open = append(k.open, id)
	k.came[id] = true
	k.names[id] = name
}
func (k *known) over(id string) {
	k.open = slices.DeleteFunc(k.open, func(o string) bool { return o == id })
}
func (k *known) giveUp(name uint64) {
	for id, n := range k.names {
		if n == name {
			k.givenUp[id] = true
			k.over(id)
		}
	}
}

func newModel(c Carrier) model {
	switch c {
	case HTTP2:
		m := &streamModel{known: newKnown(), bodies: map[uint32]string{}, most: 1 << 31}
		m.read = http2.NewFramer(nil, &m.in)
		m.read.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		m.enc = hpack.NewEncoder(&m.block)
		return m
	case Batch:
		m := &itemModel{known: newKnown(), parser: http1.Requests(), most: 1 << 62}
		m.parser.Piece = func(b []byte) { m.in = append(m.in, b...) }
		return m
	}
	return &lineModel{known: newKnown(), parser: http1.Requests(), turns: map[string]string{}}
}

// lineModel is HTTP/1.1.
type lineModel struct {
	known
	parser *http1.Parser
	turns  map[string]string
}

func (m *lineModel) take(b []byte) {
	for len(b) > 0 {
		n, done, err := m.parser.Feed(b)
		if err != nil {
			panic(err)
		}
		b = b[n:]
		if done {
			id := string(m.parser.Message().Get("X-Id"))
			m.turns[id] = string(m.parser.Message().Get(defaultEcho))
			m.arrive(id, 0)
			m.parser.Reset()
		}
	}
}

func (m *lineModel) answer(string) []byte {
	id := m.open[0] // in their order
	m.over(id)
	return answerText(id, m.turns[id])
}
func (m *lineModel) refuse(string) []byte { return nil }
func (m *lineModel) leave() []byte        { return nil }

func answerText(id, turn string) []byte {
	body := "ran " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", defaultEcho, turn, len(body), body)
}

// streamModel is HTTP/2.
type streamModel struct {
	known
	in     bytes.Buffer
	read   *http2.Framer
	out    bytes.Buffer
	block  bytes.Buffer
	enc    *hpack.Encoder
	hello  bool
	bodies map[uint32]string // id of a request whose body is coming
	last   uint32
	most   uint32 // after a GOAWAY: what is above is passed over
}

func (m *streamModel) take(b []byte) {
	m.in.Write(b)
	if !m.hello {
		if m.in.Len() < len(http2.ClientPreface) {
			return
		}
		m.in.Next(len(http2.ClientPreface))
		m.hello = true
	}
	for m.in.Len() >= 9 {
		h := m.in.Bytes()
		if m.in.Len() < 9+int(h[0])<<16+int(h[1])<<8+int(h[2]) {
			return
		}
		f, err := m.read.ReadFrame()
		if err != nil {
			panic(err)
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			id := ""
			for _, h := range f.Fields {
				if h.Name == "x-id" {
					id = h.Value
				}
			}
			if f.StreamID > m.most {
				continue
			}
			m.last = f.StreamID
			m.bodies[f.StreamID] = id
			if f.StreamEnded() {
				m.arrive(id, uint64(f.StreamID))
			} else {
				m.names[id] = uint64(f.StreamID)
			}
		case *http2.DataFrame:
			if f.StreamEnded() && f.StreamID <= m.most {
				m.arrive(m.bodies[f.StreamID], uint64(f.StreamID))
			}
		case *http2.RSTStreamFrame:
			m.giveUp(uint64(f.StreamID))
		}
	}
}

// frames gives out what do writes with a framer.
func (m *streamModel) frames(do func(f *http2.Framer)) []byte {
	m.out.Reset()
	do(http2.NewFramer(&m.out, nil))
	return bytes.Clone(m.out.Bytes())
}

func (m *streamModel) answer(id string) []byte {
	m.over(id)
	m.block.Reset()
	_ = m.enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
	return m.frames(func(f *http2.Framer) {
		stream := uint32(m.names[id])
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: m.block.Bytes(), EndHeaders: true})
		_ = f.WriteData(stream, true, []byte("ran "+id))
	})
}

func (m *streamModel) refuse(id string) []byte {
	m.over(id)
	m.came[id] = false
	return m.frames(func(f *http2.Framer) { _ = f.WriteRSTStream(uint32(m.names[id]), http2.ErrCodeRefusedStream) })
}

func (m *streamModel) leave() []byte {
	last := m.last
	if len(m.open) > 1 { // the newest is turned away with it
		id := m.open[len(m.open)-1]
		last = uint32(m.names[m.open[0]])
		for _, o := range m.open {
			last = max(last, min(uint32(m.names[o]), uint32(m.names[id])-2))
		}
		for _, o := range slices.Clone(m.open) {
			if uint32(m.names[o]) > last {
				m.over(o)
				m.came[o] = false
			}
		}
	}
	m.most = last
	return m.frames(func(f *http2.Framer) { _ = f.WriteGoAway(last, http2.ErrCodeNo, nil) })
}

// itemModel is the batch protocol.
type itemModel struct {
	known
	parser *http1.Parser
	in     []byte
	last   uint64
	most   uint64 // after leaving: what is above is passed over
	hello  bool
}

func (m *itemModel) take(b []byte) {
	if _, _, err := m.parser.Feed(b); err != nil {
		panic(err)
	}
	for {
		r := bytes.NewReader(m.in)
		var up batchpb.Up
		if protodelim.UnmarshalFrom(r, &up) != nil {
			return
		}
		m.in = m.in[len(m.in)-r.Len():]
		for _, it := range up.GetItems() {
			p := http1.Requests()
			if _, done, err := p.Feed(it.GetRequest()); !done {
				panic(err)
			}
			if it.GetId() > m.most {
				continue
			}
			m.last = it.GetId()
			m.arrive(string(p.Message().Get("X-Id")), it.GetId())
		}
		for _, id := range up.GetGiveUp() {
			m.giveUp(id)
		}
	}
}

func (m *itemModel) say(d *batchpb.Down) []byte {
	var b bytes.Buffer
	if !m.hello {
		m.hello = true
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	}
	var text bytes.Buffer
	_, _ = protodelim.MarshalTo(&text, d)
	fmt.Fprintf(&b, "%x\r\n%s\r\n", text.Len(), text.Bytes())
	return b.Bytes()
}

func (m *itemModel) answer(id string) []byte {
	m.over(id)
	return m.say(&batchpb.Down{Done: []*batchpb.Done{{Id: m.names[id], Answer: answerText(id, "")}}})
}

func (m *itemModel) refuse(id string) []byte {
	m.over(id)
	m.came[id] = false
	return m.say(&batchpb.Down{Done: []*batchpb.Done{{Id: m.names[id], NeverRan: true}}})
}

func (m *itemModel) leave() []byte {
	last := m.last
	if n := len(m.open); n > 1 {
		last = m.names[m.open[n-1]] - 1
		m.came[m.open[n-1]] = false
		m.over(m.open[n-1])
	}
	m.most = last
	return m.say(&batchpb.Down{Leaving: true, Last: last})
}

// modelReader reads the models' answers.
type modelReader struct{}

func (modelReader) Left() string { return "X-Left" }
func (modelReader) Outcome(m *http1.Message) gatekeeper.Outcome {
	return gatekeeper.Outcome{Status: policy.OK, Answer: gatekeeper.Answer{Body: m.Body}}
}

// execution makes an execution whose request is named in its head.
func execution(n, class, body int) *gatekeeper.Execution {
	id := strconv.Itoa(n)
	p := &Payload{Head: []byte("GET /api HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\n")}
	if body > 0 {
		p.Head = append([]byte("POST"), p.Head[3:]...)
		p.Head = fmt.Appendf(p.Head, "Content-Length: %d\r\n", body)
		p.Body = bytes.Repeat([]byte("b"), body)
	}
	return &gatekeeper.Execution{Request: &gatekeeper.Request{Name: id, Class: class, Payload: p}, Worker: 1, Timeout: 1000}
}
