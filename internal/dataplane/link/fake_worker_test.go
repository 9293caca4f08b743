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
	"foxwood/internal/dataplane/batch/batchpb"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// world tests WorkerConns without sockets. Connections are objects that accept as many bytes
// as the test allows, with a model of a worker behind them.
type world struct {
	workerConns    *WorkerConns
	clock          *gatekeeper.Clock
	dials          []*fakeConn
	conns          []*fakeConn
	timers         []fakeTimer
	pendingFlushes []flusher
	outcomes       map[*gatekeeper.Execution][]gatekeeper.Outcome
	classes        []policy.Class
}

type fakeTimer struct {
	at float64
	fn func()
}

func newWorld(transport Transport) *world {
	w := &world{clock: gatekeeper.NewClock(), outcomes: map[*gatekeeper.Execution][]gatekeeper.Outcome{}}
	w.clock.Set(1e6)
	w.classes = []policy.Class{{LatencyTarget: 400e3, Deadline: 2e6, Repeat: policy.RepeatSafe}, {LatencyTarget: 400e3, Deadline: 2e6, Repeat: policy.RepeatUnsafe}}
	w.workerConns = NewWorkerConns(w, w.clock, modelReader{}, 250, 5000, transport)
	w.workerConns.SetCore(w)
	return w
}

func (w *world) maxWorkerConns() int { return 12 }
func (w *world) maxDialing() int     { return maxDialingConns }
func (w *world) flushSoon(f flusher, mark *writeMark) {
	if !mark.dirty {
		mark.dirty = true
		w.pendingFlushes = append(w.pendingFlushes, f)
	}
}
func (w *world) Class(c int) policy.Class { return w.classes[c] }
func (w *world) afterMS(ms float64, fn func()) {
	w.timers = append(w.timers, fakeTimer{w.clock.Now() + ms, fn})
}

func (w *world) dial(_ string, _ time.Duration, e endpoint, failed func(error)) {
	w.dials = append(w.dials, &fakeConn{world: w, endpoint: e, failed: failed})
}

func (w *world) closeConn(c conn)                                          { c.(*fakeConn).close() }
func (w *world) makePausable(conn, pausableEndpoint) (*pausableConn, bool) { return nil, false }

// The methods up to ExecutionEnded implement Core.
func (w *world) ExecutionSent(*gatekeeper.Execution)                         {}
func (w *world) MaySend(*gatekeeper.Execution) bool                          { return true }
func (w *world) Progress(*gatekeeper.Execution)                              {}
func (w *world) ResponseStarted(*gatekeeper.Execution, gatekeeper.Outcome)   {}
func (w *world) ResponseEnded(*gatekeeper.Request, gatekeeper.RequestResult) {}
func (w *world) ClientGone(*gatekeeper.Request)                              {}

func (w *world) ExecutionEnded(execution *gatekeeper.Execution, o gatekeeper.Outcome) {
	o.Answer.Body = bytes.Clone(o.Answer.Body)
	w.outcomes[execution] = append(w.outcomes[execution], o)
}

// endIteration ends an iteration of the loop.
func (w *world) endIteration() {
	for i := 0; i < len(w.pendingFlushes); i++ {
		w.pendingFlushes[i].flush()
	}
	w.pendingFlushes = w.pendingFlushes[:0]
}

// advance advances the clock and runs the timers that are due.
func (w *world) advance(ms float64) {
	w.clock.Set(w.clock.Now() + ms)
	due := w.timers
	w.timers = nil
	for _, t := range due {
		if t.at <= w.clock.Now() {
			t.fn()
		} else {
			w.timers = append(w.timers, t)
		}
	}
}

// fakeConn is a connection together with the worker's side of it.
type fakeConn struct {
	gnet.Conn
	world       *world
	endpoint    endpoint
	failed      func(error)
	model       model
	unsent      []byte // written, but not taken by the kernel yet
	acceptBytes int    // bytes that the kernel takes at once
	closed      bool
	sentNoise   bool // it has delivered random bytes
	fd          int  // socket to peek at instead, 0 for none
}

func (c *fakeConn) Write(b []byte) (int, error) {
	if c.closed {
		return 0, fmt.Errorf("closed")
	}
	c.unsent = append(c.unsent, b...)
	c.accept(c.acceptBytes)
	return len(b), nil
}

func (c *fakeConn) OutboundBuffered() int { return len(c.unsent) }
func (c *fakeConn) Fd() int               { return cmp.Or(c.fd, -1) }

// accept lets the kernel take n more bytes.
func (c *fakeConn) accept(n int) {
	n = min(n, len(c.unsent))
	c.model.receive(c.unsent[:n])
	c.unsent = slices.Delete(c.unsent, 0, n)
}

func (c *fakeConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.world.conns = slices.DeleteFunc(c.world.conns, func(o *fakeConn) bool { return o == c })
	c.endpoint.closed(nil)
}

// model is the worker's side of a connection.
type model interface {
	receive(b []byte)
	// pendingIDs lists the ids of complete requests without a response.
	pendingIDs() []string
	// answer returns the bytes of the response to a request.
	answer(id string) []byte
	// refuse returns the bytes that state that a request has not run, nil if the protocol has
	// none.
	refuse(id string) []byte
	// goAway returns the bytes that state that nothing new is accepted, nil if the protocol
	// has none.
	goAway() []byte
	// cancelled reports whether the gatekeeper has cancelled a request.
	cancelled(id string) bool
	// hasRun reports whether a complete request has arrived and was not refused.
	hasRun(id string) bool
}

// modelState is the state that all models share.
type modelState struct {
	pending      []string
	ran          map[string]bool
	cancelledIDs map[string]bool
	wireIDs      map[string]uint64 // id of the stream or item
}

func newModelState() modelState {
	return modelState{ran: map[string]bool{}, cancelledIDs: map[string]bool{}, wireIDs: map[string]uint64{}}
}

func (k *modelState) pendingIDs() []string     { return k.pending }
func (k *modelState) cancelled(id string) bool { return k.cancelledIDs[id] }
func (k *modelState) hasRun(id string) bool    { return k.ran[id] }
func (k *modelState) addRequest(id string, name uint64) {
	k.pending = append(k.pending, id)
	k.ran[id] = true
	k.wireIDs[id] = name
}
func (k *modelState) endRequest(id string) {
	k.pending = slices.DeleteFunc(k.pending, func(o string) bool { return o == id })
}
func (k *modelState) cancelWireID(name uint64) {
	for id, n := range k.wireIDs {
		if n == name {
			k.cancelledIDs[id] = true
			k.endRequest(id)
		}
	}
}

func newModel(protocol Protocol) model {
	switch protocol {
	case HTTP2:
		m := &http2Model{modelState: newModelState(), bodies: map[uint32]string{}, maxID: 1 << 31}
		m.framer = http2.NewFramer(nil, &m.in)
		m.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		m.enc = hpack.NewEncoder(&m.block)
		return m
	case Batch:
		m := &batchModel{modelState: newModelState(), parser: http1.NewRequestParser(), maxID: 1 << 62}
		m.parser.OnBody = func(b []byte) { m.input = append(m.input, b...) }
		return m
	}
	return &http1Model{modelState: newModelState(), parser: http1.NewRequestParser(), sequences: map[string]string{}}
}

// http1Model is a worker that speaks HTTP/1.1.
type http1Model struct {
	modelState
	parser    *http1.Parser
	sequences map[string]string
}

func (m *http1Model) receive(b []byte) {
	for len(b) > 0 {
		n, done, err := m.parser.Feed(b)
		if err != nil {
			panic(err)
		}
		b = b[n:]
		if done {
			id := string(m.parser.Message().Get("X-Id"))
			m.sequences[id] = string(m.parser.Message().Get(defaultEcho))
			m.addRequest(id, 0)
			m.parser.Reset()
		}
	}
}

func (m *http1Model) answer(string) []byte {
	id := m.pending[0] // in order of arrival
	m.endRequest(id)
	return echoedResponse(id, m.sequences[id])
}
func (m *http1Model) refuse(string) []byte { return nil }
func (m *http1Model) goAway() []byte       { return nil }

func echoedResponse(id, turn string) []byte {
	body := "ran " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", defaultEcho, turn, len(body), body)
}

// http2Model is a worker that speaks HTTP/2.
type http2Model struct {
	modelState
	in          bytes.Buffer
	framer      *http2.Framer
	out         bytes.Buffer
	block       bytes.Buffer
	enc         *hpack.Encoder
	prefaceRead bool
	bodies      map[uint32]string // request ids of incomplete bodies, by stream
	lastID      uint32
	maxID       uint32 // after a GOAWAY, later streams are ignored
}

func (m *http2Model) receive(b []byte) {
	m.in.Write(b)
	if !m.prefaceRead {
		if m.in.Len() < len(http2.ClientPreface) {
			return
		}
		m.in.Next(len(http2.ClientPreface))
		m.prefaceRead = true
	}
	for m.in.Len() >= 9 {
		header := m.in.Bytes()
		if m.in.Len() < 9+int(header[0])<<16+int(header[1])<<8+int(header[2]) {
			return
		}
		frame, err := m.framer.ReadFrame()
		if err != nil {
			panic(err)
		}
		switch frame := frame.(type) {
		case *http2.MetaHeadersFrame:
			requestID := ""
			for _, header := range frame.Fields {
				if header.Name == "x-id" {
					requestID = header.Value
				}
			}
			if frame.StreamID > m.maxID {
				continue
			}
			m.lastID = frame.StreamID
			m.bodies[frame.StreamID] = requestID
			if frame.StreamEnded() {
				m.addRequest(requestID, uint64(frame.StreamID))
			} else {
				m.wireIDs[requestID] = uint64(frame.StreamID)
			}
		case *http2.DataFrame:
			if frame.StreamEnded() && frame.StreamID <= m.maxID {
				m.addRequest(m.bodies[frame.StreamID], uint64(frame.StreamID))
			}
		case *http2.RSTStreamFrame:
			m.cancelWireID(uint64(frame.StreamID))
		}
	}
}

// frames returns the frames that write writes.
func (m *http2Model) frames(write func(f *http2.Framer)) []byte {
	m.out.Reset()
	write(http2.NewFramer(&m.out, nil))
	return bytes.Clone(m.out.Bytes())
}

func (m *http2Model) answer(id string) []byte {
	m.endRequest(id)
	m.block.Reset()
	_ = m.enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
	return m.frames(func(f *http2.Framer) {
		stream := uint32(m.wireIDs[id])
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: m.block.Bytes(), EndHeaders: true})
		_ = f.WriteData(stream, true, []byte("ran "+id))
	})
}

func (m *http2Model) refuse(id string) []byte {
	m.endRequest(id)
	m.ran[id] = false
	return m.frames(func(f *http2.Framer) { _ = f.WriteRSTStream(uint32(m.wireIDs[id]), http2.ErrCodeRefusedStream) })
}

func (m *http2Model) goAway() []byte {
	last := m.lastID
	if len(m.pending) > 1 { // refuse the newest one too
		id := m.pending[len(m.pending)-1]
		last = uint32(m.wireIDs[m.pending[0]])
		for _, o := range m.pending {
			last = max(last, min(uint32(m.wireIDs[o]), uint32(m.wireIDs[id])-2))
		}
		for _, o := range slices.Clone(m.pending) {
			if uint32(m.wireIDs[o]) > last {
				m.endRequest(o)
				m.ran[o] = false
			}
		}
	}
	m.maxID = last
	return m.frames(func(f *http2.Framer) { _ = f.WriteGoAway(last, http2.ErrCodeNo, nil) })
}

// batchModel is a worker that speaks the batch protocol.
type batchModel struct {
	modelState
	parser   *http1.Parser
	input    []byte
	lastID   uint64
	maxID    uint64 // after leaving, later items are ignored
	headSent bool
}

func (m *batchModel) receive(b []byte) {
	if _, _, err := m.parser.Feed(b); err != nil {
		panic(err)
	}
	for {
		r := bytes.NewReader(m.input)
		var message batchpb.Up
		if protodelim.UnmarshalFrom(r, &message) != nil {
			return
		}
		m.input = m.input[len(m.input)-r.Len():]
		for _, item := range message.GetItems() {
			parser := http1.NewRequestParser()
			if _, done, err := parser.Feed(item.GetRequest()); !done {
				panic(err)
			}
			if item.GetId() > m.maxID {
				continue
			}
			m.lastID = item.GetId()
			m.addRequest(string(parser.Message().Get("X-Id")), item.GetId())
		}
		for _, id := range message.GetGiveUp() {
			m.cancelWireID(id)
		}
	}
}

func (m *batchModel) downMessage(message *batchpb.Down) []byte {
	var b bytes.Buffer
	if !m.headSent {
		m.headSent = true
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	}
	var text bytes.Buffer
	_, _ = protodelim.MarshalTo(&text, message)
	fmt.Fprintf(&b, "%x\r\n%s\r\n", text.Len(), text.Bytes())
	return b.Bytes()
}

func (m *batchModel) answer(id string) []byte {
	m.endRequest(id)
	return m.downMessage(&batchpb.Down{Done: []*batchpb.Done{{Id: m.wireIDs[id], Answer: echoedResponse(id, "")}}})
}

func (m *batchModel) refuse(id string) []byte {
	m.endRequest(id)
	m.ran[id] = false
	return m.downMessage(&batchpb.Down{Done: []*batchpb.Done{{Id: m.wireIDs[id], NeverRan: true}}})
}

func (m *batchModel) goAway() []byte {
	last := m.lastID
	if n := len(m.pending); n > 1 {
		last = m.wireIDs[m.pending[n-1]] - 1
		m.ran[m.pending[n-1]] = false
		m.endRequest(m.pending[n-1])
	}
	m.maxID = last
	return m.downMessage(&batchpb.Down{Leaving: true, Last: last})
}

// modelReader interprets the responses of the models.
type modelReader struct{}

func (modelReader) TimeLeftHeader() string { return "X-Left" }
func (modelReader) Outcome(m *http1.Message) gatekeeper.Outcome {
	return gatekeeper.Outcome{Status: policy.OK, Answer: gatekeeper.Answer{Body: m.Body}}
}

// newExecution returns an execution whose request carries its number as X-Id.
func newExecution(n, class, body int) *gatekeeper.Execution {
	id := strconv.Itoa(n)
	payload := &Payload{Head: []byte("GET /api HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\n")}
	if body > 0 {
		payload.Head = append([]byte("POST"), payload.Head[3:]...)
		payload.Head = fmt.Appendf(payload.Head, "Content-Length: %d\r\n", body)
		payload.Body = bytes.Repeat([]byte("b"), body)
	}
	return &gatekeeper.Execution{Request: &gatekeeper.Request{Name: id, Class: class, Payload: payload}, Worker: 1, Timeout: 1000}
}
