package h2

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"pgregory.net/rapid"

	_ "foxwood/internal/fixedseed"
	"foxwood/internal/http1"
)

// peer is a scripted server's side in memory: it reads what a session writes and makes
// the bytes that a session is fed.
type fakeServer struct {
	t interface {
		Helper()
		Fatal(...any)
	}
	session *Session
	events  []string
	output  bytes.Buffer // to be fed
	framer  *http2.Framer
	block   bytes.Buffer
	enc     *hpack.Encoder
	written bytes.Buffer // what the session wrote
	reader  *http2.Framer
}

func newFakeServer(t interface {
	Helper()
	Fatal(...any)
}, depth int) *fakeServer {
	server := &fakeServer{t: t}
	server.session = New(server, depth)
	server.framer = http2.NewFramer(&server.output, nil)
	server.enc = hpack.NewEncoder(&server.block)
	server.written.Write(server.session.Out())
	if got := string(server.written.Next(len(http2.ClientPreface))); got != http2.ClientPreface {
		t.Fatal("the preface is", got)
	}
	server.reader = http2.NewFramer(nil, &server.written)
	server.reader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	return server
}

func (p *fakeServer) Answered(s *Stream, m *http1.Message) {
	p.events = append(p.events, fmt.Sprintf("%d: %d %q %s", s.ID, m.Status, m.Body, m.Get("x-units")))
}

func (p *fakeServer) Ended(s *Stream, why Why) {
	p.events = append(p.events, fmt.Sprintf("%d: %s", s.ID, [...]string{"spoilt", "refused", "unprocessed"}[why]))
}

// feed gives the session what the peer has written.
func (p *fakeServer) feed() error {
	b := bytes.Clone(p.output.Bytes())
	p.output.Reset()
	return p.session.Feed(b)
}

// settle feeds the peer's first SETTINGS.
func (p *fakeServer) sendSettings(set ...http2.Setting) *fakeServer {
	p.t.Helper()
	_ = p.framer.WriteSettings(set...)
	if err := p.feed(); err != nil {
		p.t.Fatal(err)
	}
	return p
}

const requestHead = "GET /api?meses=12 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: 7c2d\r\n"

func (p *fakeServer) open(body string) *Stream {
	p.t.Helper()
	streamID := p.session.nextID
	if err := p.session.Open(nil, []byte(requestHead), []byte("X-Expires-In-Ms: 900\r\n"), []byte(body)); err != nil {
		p.t.Fatal(err)
	}
	return p.session.streams[streamID]
}

// headers writes a header block, in pieces of so many bytes, 0 for one.
func (p *fakeServer) headers(streamID uint32, endStream bool, pieceBytes int, fields ...string) {
	p.block.Reset()
	for i := 0; i < len(fields); i += 2 {
		_ = p.enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	b := bytes.Clone(p.block.Bytes())
	if pieceBytes == 0 {
		pieceBytes = len(b)
	}
	first := b[:min(pieceBytes, len(b))]
	b = b[len(first):]
	_ = p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID, BlockFragment: first, EndStream: endStream, EndHeaders: len(b) == 0})
	for len(b) > 0 {
		next := b[:min(pieceBytes, len(b))]
		b = b[len(next):]
		_ = p.framer.WriteContinuation(streamID, len(b) == 0, next)
	}
}

// wrote lists the frames that the session has written since.
func (p *fakeServer) framesWritten() []string {
	p.written.Write(p.session.Out())
	var all []string
	for p.written.Len() > 0 {
		frame, err := p.reader.ReadFrame()
		if err != nil {
			p.t.Fatal(err)
		}
		switch frame := frame.(type) {
		case *http2.MetaHeadersFrame:
			var said []string
			for _, h := range frame.Fields {
				said = append(said, h.Name+"="+h.Value)
			}
			all = append(all, fmt.Sprintf("HEADERS %d %s", frame.StreamID, strings.Join(said, " ")))
		case *http2.DataFrame:
			all = append(all, fmt.Sprintf("DATA %d %d %v", frame.StreamID, len(frame.Data()), frame.StreamEnded()))
		case *http2.RSTStreamFrame:
			all = append(all, fmt.Sprintf("RST %d %s", frame.StreamID, frame.ErrCode))
		case *http2.GoAwayFrame:
			all = append(all, fmt.Sprintf("GOAWAY %s", frame.ErrCode))
		case *http2.PingFrame:
			all = append(all, fmt.Sprintf("PING %v", frame.IsAck()))
		case *http2.WindowUpdateFrame:
			all = append(all, fmt.Sprintf("WINDOW %d %d", frame.StreamID, frame.Increment))
		case *http2.SettingsFrame:
			all = append(all, fmt.Sprintf("SETTINGS %v", frame.IsAck()))
		}
	}
	return all
}

func TestRequestAndResponse(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings()
	server.framesWritten()
	one, two := server.open(""), server.open("monto=1")
	want := []string{
		"HEADERS 1 :method=GET :scheme=http :path=/api?meses=12 :authority=service.internal x-trace-id=7c2d x-expires-in-ms=900",
		"HEADERS 3 :method=GET :scheme=http :path=/api?meses=12 :authority=service.internal x-trace-id=7c2d x-expires-in-ms=900",
		"DATA 3 7 true",
	}
	if diff := cmp.Diff(want, server.framesWritten()); diff != "" {
		t.Error(diff)
	}
	server.headers(two.ID, false, 3, ":status", "103", "link", "x")
	server.headers(two.ID, false, 5, ":status", "200", "x-units", "2", "content-length", "4")
	_ = server.framer.WriteData(two.ID, false, []byte("ho"))
	server.headers(one.ID, true, 0, ":status", "204")
	_ = server.framer.WriteDataPadded(two.ID, false, []byte("la"), make([]byte, 9))
	server.headers(two.ID, true, 0, "x-trailer", "dropped")
	if err := server.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`1: 204 "" `, `3: 200 "hola" 2`}, server.events); diff != "" || server.session.Len() != 0 {
		t.Errorf("%d open; %s", server.session.Len(), diff)
	}
}

// TestOnlyRefusalsProveNotRun: only REFUSED_STREAM and a GOAWAY's last stream prove that a
// request never ran.
func TestOnlyRefusalsProveNotRun(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings()
	for range 5 {
		server.open("")
	}
	_ = server.framer.WriteRSTStream(1, http2.ErrCodeRefusedStream)
	_ = server.framer.WriteRSTStream(3, http2.ErrCodeInternal)
	_ = server.framer.WriteGoAway(7, http2.ErrCodeNo, nil)
	server.headers(7, true, 0, ":status", "200")
	if err := server.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"1: refused", "3: spoilt", "9: unprocessed", `7: 200 "" `}, server.events); diff != "" {
		t.Error(diff)
	}
	if server.session.Room() != 0 || !server.session.Leaving() || server.session.Len() != 1 {
		t.Errorf("room %d, leaving %v, %d open", server.session.Room(), server.session.Leaving(), server.session.Len())
	}
}

func TestBodyWaitsForFlowControl(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 40000})
	server.framesWritten()
	first, second := server.open(strings.Repeat("x", 60000)), server.open(strings.Repeat("y", 30000))
	if got := strings.Join(server.framesWritten(), "; "); strings.Count(got, "DATA 1") != 3 || !strings.Contains(got, "DATA 3 16384 false; DATA 3 9151 false") {
		t.Errorf("at first: %s", got)
	}
	if first.End != 0 || second.End != 0 {
		t.Error("said to be sent whole")
	}
	_ = server.framer.WriteWindowUpdate(0, 100000)
	_ = server.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 50000})
	_ = server.framer.WriteWindowUpdate(1, 10000)
	if err := server.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"DATA 3 4465 true", "SETTINGS true", "DATA 1 10000 false", "DATA 1 10000 true"}, server.framesWritten()); diff != "" {
		t.Error(diff)
	}
	if first.End == 0 || second.End == 0 {
		t.Error("not said to be sent whole")
	}
}

func TestCancelledStreamIsNotReported(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings()
	stream := server.open("")
	server.framesWritten()
	server.session.Cancel(stream)
	if diff := cmp.Diff([]string{"RST 1 CANCEL"}, server.framesWritten()); diff != "" {
		t.Error(diff)
	}
	server.headers(1, false, 0, ":status", "200", "x-new", "in the table")
	_ = server.framer.WriteData(1, true, []byte("late"))
	next := server.open("")
	server.headers(next.ID, true, 0, ":status", "200", "x-new", "in the table") // the table has it
	if err := server.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`3: 200 "" `}, server.events); diff != "" {
		t.Error(diff)
	}
}

// TestWindowsAreReplenished guards against a connection that stops for good once as many
// bytes as its window have come.
func TestWindowsAreReplenished(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings()
	for range 40 { // 40 x 64 KiB are more than the connection's window
		stream := server.open("")
		server.headers(stream.ID, false, 0, ":status", "200")
		for range 4 {
			_ = server.framer.WriteData(stream.ID, false, make([]byte, 16<<10))
		}
		_ = server.framer.WriteData(stream.ID, true, nil)
		if err := server.feed(); err != nil {
			t.Fatal(err)
		}
	}
	if len(server.events) != 40 {
		t.Errorf("%d answers", len(server.events))
	}
}

// TestProtocolViolations: floods, breaches and what can't be read end the
// link or the stream, and are told apart.
func TestProtocolViolations(t *testing.T) {
	raw := func(b ...byte) func(*fakeServer) { return func(p *fakeServer) { p.output.Write(b) } }
	many := func(n int, do func(*fakeServer)) func(*fakeServer) {
		return func(p *fakeServer) {
			for range n {
				do(p)
			}
		}
	}
	for name, c := range map[string]struct {
		send func(*fakeServer)
		link http2.ErrCode // that the link ends with
		told []string      // of stream 1, where it goes on
	}{
		"no SETTINGS first": {raw(0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8), http2.ErrCodeProtocol, nil},
		"HTTP/1.1":          {raw([]byte("HTTP/1.1 400 Bad Request\r\n")...), http2.ErrCodeFrameSize, nil},
		"a frame too long":  {raw(0x01, 0, 0, 0, 0, 0, 0, 0, 1), http2.ErrCodeFrameSize, nil},
		"a push": {func(p *fakeServer) {
			_ = p.framer.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		}, http2.ErrCodeProtocol, nil},
		"an answer nobody asked": {func(p *fakeServer) { p.headers(5, true, 0, ":status", "200") }, http2.ErrCodeProtocol, nil},
		"a stream of the server": {func(p *fakeServer) { p.headers(2, true, 0, ":status", "200") }, http2.ErrCodeProtocol, nil},
		"data nobody asked":      {func(p *fakeServer) { _ = p.framer.WriteData(5, true, nil) }, http2.ErrCodeProtocol, nil},
		"a block interrupted": {func(p *fakeServer) {
			_ = p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			_ = p.framer.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol, nil},
		"a block never ended": {func(p *fakeServer) {
			_ = p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 9 {
				_ = p.framer.WriteContinuation(1, false, make([]byte, 9000))
			}
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"empty CONTINUATIONs": {func(p *fakeServer) {
			_ = p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 1100 {
				_ = p.framer.WriteContinuation(1, false, nil)
			}
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"a block that can't be": {func(p *fakeServer) {
			_ = p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
		}, http2.ErrCodeCompression, nil},
		"a flood of PING":       {many(1100, func(p *fakeServer) { _ = p.framer.WritePing(false, [8]byte{}) }), http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of SETTINGS":   {many(1100, func(p *fakeServer) { _ = p.framer.WriteSettings() }), http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of RST_STREAM": {many(1100, func(p *fakeServer) { _ = p.framer.WriteRSTStream(1, http2.ErrCodeCancel) }), http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of nothing": {func(p *fakeServer) {
			p.headers(1, false, 0, ":status", "200")
			many(1100, func(p *fakeServer) { _ = p.framer.WriteData(1, false, nil) })(p)
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of 1xx":         {many(1100, func(p *fakeServer) { p.headers(1, false, 0, ":status", "103") }), http2.ErrCodeEnhanceYourCalm, nil},
		"the link's window past": {many(2, func(p *fakeServer) { _ = p.framer.WriteWindowUpdate(0, 1<<31-1) }), http2.ErrCodeFlowControl, nil},
		"a stream's window past": {func(p *fakeServer) { _ = p.framer.WriteWindowUpdate(1, 1<<31-1) }, 0, []string{"1: spoilt"}},
		"no window at all":       {func(p *fakeServer) { _ = p.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4)) }, 0, []string{"1: spoilt"}},
		"a list past its bound": {func(p *fakeServer) {
			p.headers(1, true, 0, ":status", "200", "x-a", strings.Repeat("a", 9000), "x-b", strings.Repeat("b", 9000))
		}, 0, []string{"1: spoilt"}},
		"too many fields": {func(p *fakeServer) {
			f := []string{":status", "200"}
			for i := range 200 {
				f = append(f, fmt.Sprint("x-", i), "")
			}
			p.headers(1, true, 0, f...)
		}, 0, []string{"1: spoilt"}},
		"a name with capitals":   {func(p *fakeServer) { p.headers(1, true, 0, ":status", "200", "X-Up", "1") }, 0, []string{"1: spoilt"}},
		"a connection's field":   {func(p *fakeServer) { p.headers(1, true, 0, ":status", "200", "connection", "close") }, 0, []string{"1: spoilt"}},
		"two statuses":           {func(p *fakeServer) { p.headers(1, true, 0, ":status", "200", ":status", "500") }, 0, []string{"1: spoilt"}},
		"no status":              {func(p *fakeServer) { p.headers(1, true, 0, "x-a", "1") }, 0, []string{"1: spoilt"}},
		"101":                    {func(p *fakeServer) { p.headers(1, true, 0, ":status", "101") }, 0, []string{"1: spoilt"}},
		"an interim end":         {func(p *fakeServer) { p.headers(1, true, 0, ":status", "103") }, 0, []string{"1: spoilt"}},
		"data before the header": {func(p *fakeServer) { _ = p.framer.WriteData(1, true, []byte("x")) }, 0, []string{"1: spoilt"}},
		"a body shorter than told": {func(p *fakeServer) {
			p.headers(1, false, 0, ":status", "200", "content-length", "5")
			_ = p.framer.WriteData(1, true, []byte("x"))
		}, 0, []string{"1: spoilt"}},
		"a body longer than told": {func(p *fakeServer) {
			p.headers(1, false, 0, ":status", "200", "content-length", "1")
			_ = p.framer.WriteData(1, true, []byte("xyz"))
		}, 0, []string{"1: spoilt"}},
		"3 GB to come":            {func(p *fakeServer) { p.headers(1, false, 0, ":status", "200", "content-length", "2000000000") }, 0, []string{"1: spoilt"}},
		"trailers without an end": {func(p *fakeServer) { p.headers(1, false, 0, ":status", "200"); p.headers(1, false, 0, "x", "y") }, 0, []string{"1: spoilt"}},
		"a frame of no known kind": {func(p *fakeServer) {
			_ = p.framer.WriteRawFrame(0xbe, 7, 1, []byte("x"))
			p.headers(1, true, 0, ":status", "200")
		}, 0, []string{`1: 200 "" `}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFakeServer(t, 10)
			if name != "no SETTINGS first" && name != "HTTP/1.1" {
				p.sendSettings()
			}
			p.open("")
			p.framesWritten()
			c.send(p)
			err := p.feed()
			if c.link == 0 {
				if diff := cmp.Diff(c.told, p.events); err != nil || diff != "" {
					t.Fatalf("%v %s", err, diff)
				}
				return
			}
			if err == nil {
				t.Fatal("the link goes on")
			}
			if got := p.framesWritten(); len(got) != 1 || got[0] != "GOAWAY "+c.link.String() {
				t.Errorf("%v: said %v, want %v", err, got, c.link)
			}
			if again := p.session.Feed([]byte("x")); !errors.Is(again, err) || p.session.Room() != 0 {
				t.Errorf("goes on after its end: %v, room %d", again, p.session.Room())
			}
		})
	}
}

// TestResultIsIndependentOfPieceSize: the same frames in any pieces, with streams opened
// and given up in between, end every stream once, and the same way.
func TestResultIsIndependentOfPieceSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := newFakeServer(t, 64).sendSettings()
		n := rapid.IntRange(1, 12).Draw(t, "streams")
		want := map[string]int{}
		var open []*Stream
		for range n {
			open = append(open, server.open(strings.Repeat("b", rapid.IntRange(0, 9000).Draw(t, "body"))))
		}
		for _, stream := range rapid.Permutation(open).Draw(t, "order") {
			body := strings.Repeat("a", rapid.IntRange(0, 400).Draw(t, "answer"))
			switch rapid.IntRange(0, 4).Draw(t, "end") {
			case 0:
				_ = server.framer.WriteRSTStream(stream.ID, http2.ErrCodeRefusedStream)
				want[fmt.Sprintf("%d: refused", stream.ID)]++
			case 1:
				server.session.Cancel(stream)
				server.headers(stream.ID, true, 0, ":status", "200", "x-units", fmt.Sprint(stream.ID))
			default:
				server.headers(stream.ID, body == "", rapid.IntRange(0, 9).Draw(t, "piece"), ":status", "200", "x-units", fmt.Sprint(stream.ID))
				if body != "" {
					_ = server.framer.WriteData(stream.ID, true, []byte(body))
				}
				want[fmt.Sprintf("%d: 200 %q %d", stream.ID, body, stream.ID)]++
			}
		}
		text := bytes.Clone(server.output.Bytes())
		for len(text) > 0 {
			size := rapid.IntRange(1, len(text)).Draw(t, "cut")
			if err := server.session.Feed(text[:size]); err != nil {
				t.Fatal(err)
			}
			text = text[size:]
		}
		got := map[string]int{}
		for _, s := range server.events {
			got[s]++
		}
		if diff := cmp.Diff(want, got); diff != "" || server.session.Len() != 0 {
			t.Fatalf("%d open; %s", server.session.Len(), diff)
		}
	})
}

// FuzzFeed feeds a session anything: it must not panic, hold without bound, or end a
// stream twice.
func FuzzFeed(f *testing.F) {
	p := newFakeServer(f, 10)
	_ = p.framer.WriteSettings()
	p.headers(1, false, 4, ":status", "200", "content-length", "2")
	_ = p.framer.WriteData(1, true, []byte("ok"))
	_ = p.framer.WriteGoAway(1, http2.ErrCodeNo, nil)
	f.Add(bytes.Clone(p.output.Bytes()), uint8(7))
	_ = p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
	_ = p.framer.WriteWindowUpdate(3, 1000)
	_ = p.framer.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	f.Add(bytes.Clone(p.output.Bytes()), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		p := newFakeServer(t, 10)
		for range 4 {
			p.open(strings.Repeat("b", 70000/4))
		}
		for len(text) > 0 {
			size := min(int(cut)+1, len(text))
			if p.session.Feed(text[:size]) != nil {
				break
			}
			text = text[size:]
			if len(p.session.in) > maxFrameBytes+frameHeaderBytes || len(p.session.headerBlock) > maxHeaderBlockBytes {
				t.Fatalf("holds %d and %d bytes", len(p.session.in), len(p.session.headerBlock))
			}
		}
		if p.session.Len()+len(p.events) != 4 {
			t.Fatalf("%d open, ended %v", p.session.Len(), p.events)
		}
	})
}
