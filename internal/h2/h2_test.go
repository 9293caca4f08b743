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
type peer struct {
	t interface {
		Helper()
		Fatal(...any)
	}
	s     *Session
	told  []string
	bytes bytes.Buffer // to be fed
	fr    *http2.Framer
	block bytes.Buffer
	enc   *hpack.Encoder
	in    bytes.Buffer // what the session wrote
	read  *http2.Framer
}

func newPeer(t interface {
	Helper()
	Fatal(...any)
}, depth int) *peer {
	p := &peer{t: t}
	p.s = New(p, depth)
	p.fr = http2.NewFramer(&p.bytes, nil)
	p.enc = hpack.NewEncoder(&p.block)
	p.in.Write(p.s.Out())
	if got := string(p.in.Next(len(http2.ClientPreface))); got != http2.ClientPreface {
		t.Fatal("the preface is", got)
	}
	p.read = http2.NewFramer(nil, &p.in)
	p.read.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	return p
}

func (p *peer) Answered(s *Stream, m *http1.Message) {
	p.told = append(p.told, fmt.Sprintf("%d: %d %q %s", s.ID, m.Status, m.Body, m.Get("x-units")))
}

func (p *peer) Ended(s *Stream, why Why) {
	p.told = append(p.told, fmt.Sprintf("%d: %s", s.ID, [...]string{"spoilt", "refused", "unprocessed"}[why]))
}

// feed gives the session what the peer has written.
func (p *peer) feed() error {
	b := bytes.Clone(p.bytes.Bytes())
	p.bytes.Reset()
	return p.s.Feed(b)
}

// settle feeds the peer's first SETTINGS.
func (p *peer) settle(set ...http2.Setting) *peer {
	p.t.Helper()
	_ = p.fr.WriteSettings(set...)
	if err := p.feed(); err != nil {
		p.t.Fatal(err)
	}
	return p
}

const head = "GET /api?meses=12 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: 7c2d\r\n"

func (p *peer) open(body string) *Stream {
	p.t.Helper()
	id := p.s.next
	if err := p.s.Open(nil, []byte(head), []byte("X-Expires-In-Ms: 900\r\n"), []byte(body)); err != nil {
		p.t.Fatal(err)
	}
	return p.s.streams[id]
}

// headers writes a header block, in pieces of so many bytes, 0 for one.
func (p *peer) headers(id uint32, ends bool, piece int, fields ...string) {
	p.block.Reset()
	for i := 0; i < len(fields); i += 2 {
		_ = p.enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	b := bytes.Clone(p.block.Bytes())
	if piece == 0 {
		piece = len(b)
	}
	first := b[:min(piece, len(b))]
	b = b[len(first):]
	_ = p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: first, EndStream: ends, EndHeaders: len(b) == 0})
	for len(b) > 0 {
		next := b[:min(piece, len(b))]
		b = b[len(next):]
		_ = p.fr.WriteContinuation(id, len(b) == 0, next)
	}
}

// wrote lists the frames that the session has written since.
func (p *peer) wrote() []string {
	p.in.Write(p.s.Out())
	var all []string
	for p.in.Len() > 0 {
		f, err := p.read.ReadFrame()
		if err != nil {
			p.t.Fatal(err)
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			var said []string
			for _, h := range f.Fields {
				said = append(said, h.Name+"="+h.Value)
			}
			all = append(all, fmt.Sprintf("HEADERS %d %s", f.StreamID, strings.Join(said, " ")))
		case *http2.DataFrame:
			all = append(all, fmt.Sprintf("DATA %d %d %v", f.StreamID, len(f.Data()), f.StreamEnded()))
		case *http2.RSTStreamFrame:
			all = append(all, fmt.Sprintf("RST %d %s", f.StreamID, f.ErrCode))
		case *http2.GoAwayFrame:
			all = append(all, fmt.Sprintf("GOAWAY %s", f.ErrCode))
		case *http2.PingFrame:
			all = append(all, fmt.Sprintf("PING %v", f.IsAck()))
		case *http2.WindowUpdateFrame:
			all = append(all, fmt.Sprintf("WINDOW %d %d", f.StreamID, f.Increment))
		case *http2.SettingsFrame:
			all = append(all, fmt.Sprintf("SETTINGS %v", f.IsAck()))
		}
	}
	return all
}

func TestARequestGoesOutAndItsAnswerComesBack(t *testing.T) {
	p := newPeer(t, 10).settle()
	p.wrote()
	one, two := p.open(""), p.open("monto=1")
	want := []string{
		"HEADERS 1 :method=GET :scheme=http :path=/api?meses=12 :authority=service.internal x-trace-id=7c2d x-expires-in-ms=900",
		"HEADERS 3 :method=GET :scheme=http :path=/api?meses=12 :authority=service.internal x-trace-id=7c2d x-expires-in-ms=900",
		"DATA 3 7 true",
	}
	if diff := cmp.Diff(want, p.wrote()); diff != "" {
		t.Error(diff)
	}
	p.headers(two.ID, false, 3, ":status", "103", "link", "x")
	p.headers(two.ID, false, 5, ":status", "200", "x-units", "2", "content-length", "4")
	_ = p.fr.WriteData(two.ID, false, []byte("ho"))
	p.headers(one.ID, true, 0, ":status", "204")
	_ = p.fr.WriteDataPadded(two.ID, false, []byte("la"), make([]byte, 9))
	p.headers(two.ID, true, 0, "x-trailer", "dropped")
	if err := p.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`1: 204 "" `, `3: 200 "hola" 2`}, p.told); diff != "" || p.s.Len() != 0 {
		t.Errorf("%d open; %s", p.s.Len(), diff)
	}
}

// TestWhatTheProtocolProves: only REFUSED_STREAM and a GOAWAY's last stream prove that a
// request never ran.
func TestWhatTheProtocolProves(t *testing.T) {
	p := newPeer(t, 10).settle()
	for range 5 {
		p.open("")
	}
	_ = p.fr.WriteRSTStream(1, http2.ErrCodeRefusedStream)
	_ = p.fr.WriteRSTStream(3, http2.ErrCodeInternal)
	_ = p.fr.WriteGoAway(7, http2.ErrCodeNo, nil)
	p.headers(7, true, 0, ":status", "200")
	if err := p.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"1: refused", "3: spoilt", "9: unprocessed", `7: 200 "" `}, p.told); diff != "" {
		t.Error(diff)
	}
	if p.s.Room() != 0 || !p.s.Leaving() || p.s.Len() != 1 {
		t.Errorf("room %d, leaving %v, %d open", p.s.Room(), p.s.Leaving(), p.s.Len())
	}
}

func TestABodyWaitsForBothWindows(t *testing.T) {
	p := newPeer(t, 10).settle(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 40000})
	p.wrote()
	a, b := p.open(strings.Repeat("x", 60000)), p.open(strings.Repeat("y", 30000))
	if got := strings.Join(p.wrote(), "; "); strings.Count(got, "DATA 1") != 3 || !strings.Contains(got, "DATA 3 16384 false; DATA 3 9151 false") {
		t.Errorf("at first: %s", got)
	}
	if a.End != 0 || b.End != 0 {
		t.Error("said to be sent whole")
	}
	_ = p.fr.WriteWindowUpdate(0, 100000)
	_ = p.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 50000})
	_ = p.fr.WriteWindowUpdate(1, 10000)
	if err := p.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"DATA 3 4465 true", "SETTINGS true", "DATA 1 10000 false", "DATA 1 10000 true"}, p.wrote()); diff != "" {
		t.Error(diff)
	}
	if a.End == 0 || b.End == 0 {
		t.Error("not said to be sent whole")
	}
}

func TestAStreamGivenUpIsNotHeardOfAgain(t *testing.T) {
	p := newPeer(t, 10).settle()
	st := p.open("")
	p.wrote()
	p.s.Cancel(st)
	if diff := cmp.Diff([]string{"RST 1 CANCEL"}, p.wrote()); diff != "" {
		t.Error(diff)
	}
	p.headers(1, false, 0, ":status", "200", "x-new", "in the table")
	_ = p.fr.WriteData(1, true, []byte("late"))
	next := p.open("")
	p.headers(next.ID, true, 0, ":status", "200", "x-new", "in the table") // the table has it
	if err := p.feed(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`3: 200 "" `}, p.told); diff != "" {
		t.Error(diff)
	}
}

// TestTheWindowsAreGivenBack guards against a connection that stops for good once as many
// bytes as its window have come.
func TestTheWindowsAreGivenBack(t *testing.T) {
	p := newPeer(t, 10).settle()
	for range 40 { // 40 x 64 KiB are more than the connection's window
		st := p.open("")
		p.headers(st.ID, false, 0, ":status", "200")
		for range 4 {
			_ = p.fr.WriteData(st.ID, false, make([]byte, 16<<10))
		}
		_ = p.fr.WriteData(st.ID, true, nil)
		if err := p.feed(); err != nil {
			t.Fatal(err)
		}
	}
	if len(p.told) != 40 {
		t.Errorf("%d answers", len(p.told))
	}
}

// TestABadPeerEndsTheLinkOrItsStream: floods, breaches and what can't be read end the
// link or the stream, and are told apart.
func TestABadPeerEndsTheLinkOrItsStream(t *testing.T) {
	raw := func(b ...byte) func(*peer) { return func(p *peer) { p.bytes.Write(b) } }
	many := func(n int, do func(*peer)) func(*peer) {
		return func(p *peer) {
			for range n {
				do(p)
			}
		}
	}
	for name, c := range map[string]struct {
		send func(*peer)
		link http2.ErrCode // that the link ends with
		told []string      // of stream 1, where it goes on
	}{
		"no SETTINGS first": {raw(0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8), http2.ErrCodeProtocol, nil},
		"HTTP/1.1":          {raw([]byte("HTTP/1.1 400 Bad Request\r\n")...), http2.ErrCodeFrameSize, nil},
		"a frame too long":  {raw(0x01, 0, 0, 0, 0, 0, 0, 0, 1), http2.ErrCodeFrameSize, nil},
		"a push": {func(p *peer) {
			_ = p.fr.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		}, http2.ErrCodeProtocol, nil},
		"an answer nobody asked": {func(p *peer) { p.headers(5, true, 0, ":status", "200") }, http2.ErrCodeProtocol, nil},
		"a stream of the server": {func(p *peer) { p.headers(2, true, 0, ":status", "200") }, http2.ErrCodeProtocol, nil},
		"data nobody asked":      {func(p *peer) { _ = p.fr.WriteData(5, true, nil) }, http2.ErrCodeProtocol, nil},
		"a block interrupted": {func(p *peer) {
			_ = p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			_ = p.fr.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol, nil},
		"a block never ended": {func(p *peer) {
			_ = p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 9 {
				_ = p.fr.WriteContinuation(1, false, make([]byte, 9000))
			}
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"empty CONTINUATIONs": {func(p *peer) {
			_ = p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 1100 {
				_ = p.fr.WriteContinuation(1, false, nil)
			}
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"a block that can't be": {func(p *peer) {
			_ = p.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
		}, http2.ErrCodeCompression, nil},
		"a flood of PING":       {many(1100, func(p *peer) { _ = p.fr.WritePing(false, [8]byte{}) }), http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of SETTINGS":   {many(1100, func(p *peer) { _ = p.fr.WriteSettings() }), http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of RST_STREAM": {many(1100, func(p *peer) { _ = p.fr.WriteRSTStream(1, http2.ErrCodeCancel) }), http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of nothing": {func(p *peer) {
			p.headers(1, false, 0, ":status", "200")
			many(1100, func(p *peer) { _ = p.fr.WriteData(1, false, nil) })(p)
		}, http2.ErrCodeEnhanceYourCalm, nil},
		"a flood of 1xx":         {many(1100, func(p *peer) { p.headers(1, false, 0, ":status", "103") }), http2.ErrCodeEnhanceYourCalm, nil},
		"the link's window past": {many(2, func(p *peer) { _ = p.fr.WriteWindowUpdate(0, 1<<31-1) }), http2.ErrCodeFlowControl, nil},
		"a stream's window past": {func(p *peer) { _ = p.fr.WriteWindowUpdate(1, 1<<31-1) }, 0, []string{"1: spoilt"}},
		"no window at all":       {func(p *peer) { _ = p.fr.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4)) }, 0, []string{"1: spoilt"}},
		"a list past its bound": {func(p *peer) {
			p.headers(1, true, 0, ":status", "200", "x-a", strings.Repeat("a", 9000), "x-b", strings.Repeat("b", 9000))
		}, 0, []string{"1: spoilt"}},
		"too many fields": {func(p *peer) {
			f := []string{":status", "200"}
			for i := range 200 {
				f = append(f, fmt.Sprint("x-", i), "")
			}
			p.headers(1, true, 0, f...)
		}, 0, []string{"1: spoilt"}},
		"a name with capitals":   {func(p *peer) { p.headers(1, true, 0, ":status", "200", "X-Up", "1") }, 0, []string{"1: spoilt"}},
		"a connection's field":   {func(p *peer) { p.headers(1, true, 0, ":status", "200", "connection", "close") }, 0, []string{"1: spoilt"}},
		"two statuses":           {func(p *peer) { p.headers(1, true, 0, ":status", "200", ":status", "500") }, 0, []string{"1: spoilt"}},
		"no status":              {func(p *peer) { p.headers(1, true, 0, "x-a", "1") }, 0, []string{"1: spoilt"}},
		"101":                    {func(p *peer) { p.headers(1, true, 0, ":status", "101") }, 0, []string{"1: spoilt"}},
		"an interim end":         {func(p *peer) { p.headers(1, true, 0, ":status", "103") }, 0, []string{"1: spoilt"}},
		"data before the header": {func(p *peer) { _ = p.fr.WriteData(1, true, []byte("x")) }, 0, []string{"1: spoilt"}},
		"a body shorter than told": {func(p *peer) {
			p.headers(1, false, 0, ":status", "200", "content-length", "5")
			_ = p.fr.WriteData(1, true, []byte("x"))
		}, 0, []string{"1: spoilt"}},
		"a body longer than told": {func(p *peer) {
			p.headers(1, false, 0, ":status", "200", "content-length", "1")
			_ = p.fr.WriteData(1, true, []byte("xyz"))
		}, 0, []string{"1: spoilt"}},
		"3 GB to come":            {func(p *peer) { p.headers(1, false, 0, ":status", "200", "content-length", "2000000000") }, 0, []string{"1: spoilt"}},
		"trailers without an end": {func(p *peer) { p.headers(1, false, 0, ":status", "200"); p.headers(1, false, 0, "x", "y") }, 0, []string{"1: spoilt"}},
		"a frame of no known kind": {func(p *peer) {
			_ = p.fr.WriteRawFrame(0xbe, 7, 1, []byte("x"))
			p.headers(1, true, 0, ":status", "200")
		}, 0, []string{`1: 200 "" `}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, 10)
			if name != "no SETTINGS first" && name != "HTTP/1.1" {
				p.settle()
			}
			p.open("")
			p.wrote()
			c.send(p)
			err := p.feed()
			if c.link == 0 {
				if diff := cmp.Diff(c.told, p.told); err != nil || diff != "" {
					t.Fatalf("%v %s", err, diff)
				}
				return
			}
			if err == nil {
				t.Fatal("the link goes on")
			}
			if got := p.wrote(); len(got) != 1 || got[0] != "GOAWAY "+c.link.String() {
				t.Errorf("%v: said %v, want %v", err, got, c.link)
			}
			if again := p.s.Feed([]byte("x")); !errors.Is(again, err) || p.s.Room() != 0 {
				t.Errorf("goes on after its end: %v, room %d", again, p.s.Room())
			}
		})
	}
}

// TestHowTheBytesAreCutDoesNotMatter: the same frames in any pieces, with streams opened
// and given up in between, end every stream once, and the same way.
func TestHowTheBytesAreCutDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeer(t, 64).settle()
		n := rapid.IntRange(1, 12).Draw(t, "streams")
		want := map[string]int{}
		var open []*Stream
		for range n {
			open = append(open, p.open(strings.Repeat("b", rapid.IntRange(0, 9000).Draw(t, "body"))))
		}
		for _, i := range rapid.Permutation(open).Draw(t, "order") {
			body := strings.Repeat("a", rapid.IntRange(0, 400).Draw(t, "answer"))
			switch rapid.IntRange(0, 4).Draw(t, "end") {
			case 0:
				_ = p.fr.WriteRSTStream(i.ID, http2.ErrCodeRefusedStream)
				want[fmt.Sprintf("%d: refused", i.ID)]++
			case 1:
				p.s.Cancel(i)
				p.headers(i.ID, true, 0, ":status", "200", "x-units", fmt.Sprint(i.ID))
			default:
				p.headers(i.ID, body == "", rapid.IntRange(0, 9).Draw(t, "piece"), ":status", "200", "x-units", fmt.Sprint(i.ID))
				if body != "" {
					_ = p.fr.WriteData(i.ID, true, []byte(body))
				}
				want[fmt.Sprintf("%d: 200 %q %d", i.ID, body, i.ID)]++
			}
		}
		text := bytes.Clone(p.bytes.Bytes())
		for len(text) > 0 {
			k := rapid.IntRange(1, len(text)).Draw(t, "cut")
			if err := p.s.Feed(text[:k]); err != nil {
				t.Fatal(err)
			}
			text = text[k:]
		}
		got := map[string]int{}
		for _, s := range p.told {
			got[s]++
		}
		if diff := cmp.Diff(want, got); diff != "" || p.s.Len() != 0 {
			t.Fatalf("%d open; %s", p.s.Len(), diff)
		}
	})
}

// FuzzFeed feeds a session anything: it must not panic, hold without bound, or end a
// stream twice.
func FuzzFeed(f *testing.F) {
	p := newPeer(f, 10)
	_ = p.fr.WriteSettings()
	p.headers(1, false, 4, ":status", "200", "content-length", "2")
	_ = p.fr.WriteData(1, true, []byte("ok"))
	_ = p.fr.WriteGoAway(1, http2.ErrCodeNo, nil)
	f.Add(bytes.Clone(p.bytes.Bytes()), uint8(7))
	_ = p.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
	_ = p.fr.WriteWindowUpdate(3, 1000)
	_ = p.fr.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	f.Add(bytes.Clone(p.bytes.Bytes()), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		p := newPeer(t, 10)
		for range 4 {
			p.open(strings.Repeat("b", 70000/4))
		}
		for len(text) > 0 {
			k := min(int(cut)+1, len(text))
			if p.s.Feed(text[:k]) != nil {
				break
			}
			text = text[k:]
			if len(p.s.in) > frameMost+frameHead || len(p.s.coming) > blockMost {
				t.Fatalf("holds %d and %d bytes", len(p.s.in), len(p.s.coming))
			}
		}
		if p.s.Len()+len(p.told) != 4 {
			t.Fatalf("%d open, ended %v", p.s.Len(), p.told)
		}
	})
}
