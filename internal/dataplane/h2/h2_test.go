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

	"foxwood/internal/dataplane/http1"
	_ "foxwood/internal/fixedseed"
)

// fakeServer is the server's side of a session in memory. It parses what the session writes
// and produces the frames that the session is fed.
type fakeServer struct {
	t interface {
		Helper()
		Fatal(...any)
	}
	session *Session
	events  []string
	output  bytes.Buffer // to be fed to the session
	framer  *http2.Framer
	block   bytes.Buffer
	encoder *hpack.Encoder
	written bytes.Buffer // by the session
	reader  *http2.Framer
}

func newFakeServer(t interface {
	Helper()
	Fatal(...any)
}, maxStreams int) *fakeServer {
	server := &fakeServer{t: t}
	server.session = NewSession(server, maxStreams)
	server.framer = http2.NewFramer(&server.output, nil)
	server.encoder = hpack.NewEncoder(&server.block)
	server.written.Write(server.session.TakeOutput())
	if got := string(server.written.Next(len(http2.ClientPreface))); got != http2.ClientPreface {
		t.Fatal("unexpected preface:", got)
	}
	server.reader = http2.NewFramer(nil, &server.written)
	server.reader.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	return server
}

func (p *fakeServer) ResponseReceived(s *Stream, m *http1.Message) {
	p.events = append(p.events, fmt.Sprintf("%d: %d %q %s", s.ID, m.Status, m.Body, m.Get("x-units")))
}

func (p *fakeServer) StreamEnded(s *Stream, why EndReason) {
	p.events = append(p.events, fmt.Sprintf("%d: %s", s.ID, [...]string{"failed", "refused", "unprocessed"}[why]))
}

// feed feeds the session what the server has written.
func (p *fakeServer) feed() error {
	b := bytes.Clone(p.output.Bytes())
	p.output.Reset()
	return p.session.Feed(b)
}

// sendSettings feeds the server's first SETTINGS.
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
	if err := p.session.OpenStream(nil, []byte(requestHead), []byte("X-Expires-In-Ms: 900\r\n"), []byte(body)); err != nil {
		p.t.Fatal(err)
	}
	return p.session.streams[streamID]
}

// headers writes a header block in pieces of pieceBytes, or in one piece if that is 0.
func (p *fakeServer) headers(streamID uint32, endStream bool, pieceBytes int, fields ...string) {
	p.block.Reset()
	for i := 0; i < len(fields); i += 2 {
		_ = p.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
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

// framesWritten lists the frames that the session has written since the last call.
func (p *fakeServer) framesWritten() []string {
	p.written.Write(p.session.TakeOutput())
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
	if diff := cmp.Diff([]string{`1: 204 "" `, `3: 200 "hola" 2`}, server.events); diff != "" || server.session.OpenStreams() != 0 {
		t.Errorf("%d streams open, want 0; events (-want +got): %s", server.session.OpenStreams(), diff)
	}
}

// TestOnlyRefusalsProveNotRun checks that only REFUSED_STREAM and the last stream id of a
// GOAWAY prove that a request never ran.
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
	if diff := cmp.Diff([]string{"1: refused", "3: failed", "9: unprocessed", `7: 200 "" `}, server.events); diff != "" {
		t.Error(diff)
	}
	if server.session.AvailableStreams() != 0 || !server.session.GoingAway() || server.session.OpenStreams() != 1 {
		t.Errorf("%d streams available, going away %v, %d open; want 0, true, 1", server.session.AvailableStreams(), server.session.GoingAway(), server.session.OpenStreams())
	}
}

func TestBodyWaitsForFlowControl(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 40000})
	server.framesWritten()
	first, second := server.open(strings.Repeat("x", 60000)), server.open(strings.Repeat("y", 30000))
	if got := strings.Join(server.framesWritten(), "; "); strings.Count(got, "DATA 1") != 3 || !strings.Contains(got, "DATA 3 16384 false; DATA 3 9151 false") {
		t.Errorf("frames before the windows are raised: %s", got)
	}
	if first.EndOffset != 0 || second.EndOffset != 0 {
		t.Error("reported as fully sent")
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
	if first.EndOffset == 0 || second.EndOffset == 0 {
		t.Error("not reported as fully sent")
	}
}

func TestCancelledStreamIsNotReported(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings()
	stream := server.open("")
	server.framesWritten()
	server.session.CancelStream(stream)
	if diff := cmp.Diff([]string{"RST 1 CANCEL"}, server.framesWritten()); diff != "" {
		t.Error(diff)
	}
	server.headers(1, false, 0, ":status", "200", "x-new", "in the table")
	_ = server.framer.WriteData(1, true, []byte("late"))
	next := server.open("")
	// Encoded as an index into the table.
	server.headers(next.ID, true, 0, ":status", "200", "x-new", "in the table")
	if err := server.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`3: 200 "" `}, server.events); diff != "" {
		t.Error(diff)
	}
}

// TestWindowsAreReplenished guards against a connection that stalls for good after as many
// bytes as its window.
func TestWindowsAreReplenished(t *testing.T) {
	server := newFakeServer(t, 10).sendSettings()
	for range 40 { // 40 x 64 KiB exceed the connection's window
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
		t.Errorf("%d responses, want 40", len(server.events))
	}
}

// TestProtocolViolations checks that floods, violations and malformed input end the connection
// or only the stream, as appropriate.
func TestProtocolViolations(t *testing.T) {
	raw := func(b ...byte) func(*fakeServer) { return func(server *fakeServer) { server.output.Write(b) } }
	repeat := func(n int, action func(*fakeServer)) func(*fakeServer) {
		return func(server *fakeServer) {
			for range n {
				action(server)
			}
		}
	}
	for name, tc := range map[string]struct {
		send       func(*fakeServer)
		wantCode   http2.ErrCode // error that ends the connection, 0 if it stays open
		wantEvents []string      // events of stream 1 if the connection stays open
	}{
		"no SETTINGS first": {raw(0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8), http2.ErrCodeProtocol, nil},
		"HTTP/1.1":          {raw([]byte("HTTP/1.1 400 Bad Request\r\n")...), http2.ErrCodeFrameSize, nil},
		"frame too long":    {raw(0x01, 0, 0, 0, 0, 0, 0, 0, 1), http2.ErrCodeFrameSize, nil},
		"PUSH_PROMISE": {func(server *fakeServer) {
			_ = server.framer.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		}, http2.ErrCodeProtocol, nil},
		"response on an unopened stream": {func(server *fakeServer) { server.headers(5, true, 0, ":status", "200") }, http2.ErrCodeProtocol, nil},
		"server-initiated stream":        {func(server *fakeServer) { server.headers(2, true, 0, ":status", "200") }, http2.ErrCodeProtocol, nil},
		"DATA on an unopened stream":     {func(server *fakeServer) { _ = server.framer.WriteData(5, true, nil) }, http2.ErrCodeProtocol, nil},
		"interrupted header block": {func(server *fakeServer) {
			_ = server.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			_ = server.framer.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol, nil},
		"header block too long": {func(server *fakeServer) {
			_ = server.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 9 {
				_ = server.framer.WriteContinuation(1, false, make([]byte, 9000))
			}
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"flood of empty CONTINUATION": {func(server *fakeServer) {
			_ = server.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 1100 {
				_ = server.framer.WriteContinuation(1, false, nil)
			}
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"undecodable header block": {func(server *fakeServer) {
			_ = server.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
		}, http2.ErrCodeCompression, nil},
		"flood of PING":       {repeat(1100, func(server *fakeServer) { _ = server.framer.WritePing(false, [8]byte{}) }), http2.ErrCodeEnhanceYourCalm, nil},
		"flood of SETTINGS":   {repeat(1100, func(server *fakeServer) { _ = server.framer.WriteSettings() }), http2.ErrCodeEnhanceYourCalm, nil},
		"flood of RST_STREAM": {repeat(1100, func(server *fakeServer) { _ = server.framer.WriteRSTStream(1, http2.ErrCodeCancel) }), http2.ErrCodeEnhanceYourCalm, nil},
		"flood of empty DATA": {func(server *fakeServer) {
			server.headers(1, false, 0, ":status", "200")
			repeat(1100, func(server *fakeServer) { _ = server.framer.WriteData(1, false, nil) })(server)
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"flood of 1xx":               {repeat(1100, func(server *fakeServer) { server.headers(1, false, 0, ":status", "103") }), http2.ErrCodeEnhanceYourCalm, nil},
		"connection window overflow": {repeat(2, func(server *fakeServer) { _ = server.framer.WriteWindowUpdate(0, 1<<31-1) }), http2.ErrCodeFlowControl, nil},
		"stream window overflow":     {func(server *fakeServer) { _ = server.framer.WriteWindowUpdate(1, 1<<31-1) }, 0, []string{"1: failed"}},
		"WINDOW_UPDATE of 0": {func(server *fakeServer) {
			_ = server.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4))
		}, 0, []string{"1: failed"}},
		"header list too large": {func(server *fakeServer) {
			server.headers(1, true, 0, ":status", "200", "x-a", strings.Repeat("a", 9000), "x-b", strings.Repeat("b", 9000))
		}, 0, []string{"1: failed"}},
		"too many fields": {func(server *fakeServer) {
			f := []string{":status", "200"}
			for i := range 200 {
				f = append(f, fmt.Sprint("x-", i), "")
			}
			server.headers(1, true, 0, f...)
		}, 0, []string{"1: failed"}},
		"upper-case header name":           {func(server *fakeServer) { server.headers(1, true, 0, ":status", "200", "X-Up", "1") }, 0, []string{"1: failed"}},
		"connection-specific field":        {func(server *fakeServer) { server.headers(1, true, 0, ":status", "200", "connection", "close") }, 0, []string{"1: failed"}},
		"two statuses":                     {func(server *fakeServer) { server.headers(1, true, 0, ":status", "200", ":status", "500") }, 0, []string{"1: failed"}},
		"no status":                        {func(server *fakeServer) { server.headers(1, true, 0, "x-a", "1") }, 0, []string{"1: failed"}},
		"101":                              {func(server *fakeServer) { server.headers(1, true, 0, ":status", "101") }, 0, []string{"1: failed"}},
		"interim response ends the stream": {func(server *fakeServer) { server.headers(1, true, 0, ":status", "103") }, 0, []string{"1: failed"}},
		"DATA before HEADERS":              {func(server *fakeServer) { _ = server.framer.WriteData(1, true, []byte("x")) }, 0, []string{"1: failed"}},
		"body shorter than content-length": {func(server *fakeServer) {
			server.headers(1, false, 0, ":status", "200", "content-length", "5")
			_ = server.framer.WriteData(1, true, []byte("x"))
		}, 0, []string{"1: failed"}},
		"body longer than content-length": {func(server *fakeServer) {
			server.headers(1, false, 0, ":status", "200", "content-length", "1")
			_ = server.framer.WriteData(1, true, []byte("xyz"))
		}, 0, []string{"1: failed"}},
		"content-length over the limit": {func(server *fakeServer) {
			server.headers(1, false, 0, ":status", "200", "content-length", "2000000000")
		}, 0, []string{"1: failed"}},
		"trailers without an end": {func(server *fakeServer) {
			server.headers(1, false, 0, ":status", "200")
			server.headers(1, false, 0, "x", "y")
		}, 0, []string{"1: failed"}},
		"unknown frame type": {func(server *fakeServer) {
			_ = server.framer.WriteRawFrame(0xbe, 7, 1, []byte("x"))
			server.headers(1, true, 0, ":status", "200")
		}, 0, []string{`1: 200 "" `}},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, 10)
			if name != "no SETTINGS first" && name != "HTTP/1.1" {
				server.sendSettings()
			}
			server.open("")
			server.framesWritten()
			tc.send(server)
			err := server.feed()
			if tc.wantCode == 0 {
				if diff := cmp.Diff(tc.wantEvents, server.events); err != nil || diff != "" {
					t.Fatalf("%v %s", err, diff)
				}
				return
			}
			if err == nil {
				t.Fatal("the connection stays open")
			}
			if got := server.framesWritten(); len(got) != 1 || got[0] != "GOAWAY "+tc.wantCode.String() {
				t.Errorf("%v: wrote %v, want a GOAWAY with %v", err, got, tc.wantCode)
			}
			if again := server.session.Feed([]byte("x")); !errors.Is(again, err) || server.session.AvailableStreams() != 0 {
				t.Errorf("after the end: error %v, %d streams available; want the same error and 0", again, server.session.AvailableStreams())
			}
		})
	}
}

// TestResultIsIndependentOfPieceSize checks that the same frames in any pieces, with streams
// cancelled in between, end every stream exactly once and with the same result.
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
				server.session.CancelStream(stream)
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
		if diff := cmp.Diff(want, got); diff != "" || server.session.OpenStreams() != 0 {
			t.Fatalf("%d streams open, want 0; events (-want +got): %s", server.session.OpenStreams(), diff)
		}
	})
}

// FuzzFeed checks that arbitrary input does not make a session panic, use unbounded memory, or
// end a stream twice.
func FuzzFeed(f *testing.F) {
	server := newFakeServer(f, 10)
	_ = server.framer.WriteSettings()
	server.headers(1, false, 4, ":status", "200", "content-length", "2")
	_ = server.framer.WriteData(1, true, []byte("ok"))
	_ = server.framer.WriteGoAway(1, http2.ErrCodeNo, nil)
	f.Add(bytes.Clone(server.output.Bytes()), uint8(7))
	_ = server.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
	_ = server.framer.WriteWindowUpdate(3, 1000)
	_ = server.framer.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	f.Add(bytes.Clone(server.output.Bytes()), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		server := newFakeServer(t, 10)
		for range 4 {
			server.open(strings.Repeat("b", 70000/4))
		}
		for len(text) > 0 {
			size := min(int(cut)+1, len(text))
			if server.session.Feed(text[:size]) != nil {
				break
			}
			text = text[size:]
			if len(server.session.input) > maxFrameBytes+frameHeaderBytes || len(server.session.headerBlock) > maxHeaderBlockBytes {
				t.Fatalf("buffered %d bytes of frames and %d of a header block", len(server.session.input), len(server.session.headerBlock))
			}
		}
		if server.session.OpenStreams()+len(server.events) != 4 {
			t.Fatalf("%d streams open, events %v; want 4 in total", server.session.OpenStreams(), server.events)
		}
	})
}
