// Package h2 is the client's side of one HTTP/2 connection as a state machine: bytes in,
// bytes out, no I/O, no clock, no goroutine. It speaks cleartext HTTP/2 with prior
// knowledge (RFC 9113, section 3.3) and carries requests that are whole when they begin
// to answers that are whole when they end. Frames are read and written by x/net/http2,
// header blocks by its hpack.
package h2

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"foxwood/internal/http1"
)

// The bounds of what a peer may make a session hold.
const (
	frameMost    = 16 << 10  // bytes of a frame's payload, as SETTINGS_MAX_FRAME_SIZE is at first
	headMost     = 16 << 10  // bytes of a header list, counted as RFC 9113, section 6.5.2, does
	blockMost    = 24 << 10  // bytes of a header block before it is read
	streamWindow = 256 << 10 // bytes of an answer that may come unasked
	connWindow   = 1 << 20   // bytes of all answers that may come unasked
	firstWindow  = 65535     // RFC 9113, section 6.9.2
	windowMost   = 1<<31 - 1 // RFC 9113, section 6.9.1
	lastID       = 1<<31 - 1 // RFC 9113, section 5.1.1
	tableMost    = 4096      // bytes of the dynamic tables
	// chatterMost is how many frames that bring no answer on a peer may send before one
	// is: PING, SETTINGS, RST_STREAM, empty DATA, CONTINUATION, PRIORITY and the like.
	// It guards against the floods of CVE-2019-9512 to 9518 and CVE-2023-44487's kin.
	chatterMost = 1000
)

// Stream is one request and its answer.
type Stream struct {
	ID  uint32
	Tag any // the caller's own
	// Start and End are the places in all that the session has written at which the
	// request begins and ends; End is 0 until its last byte has been written.
	Start, End int64

	answer  http1.Message
	headed  bool // the final header block has come
	body    []byte
	length  int // that the answer states, -1 where it does not
	pending []byte
	window  int64 // what may be sent
	credit  int64 // what may come
}

// Why tells how a stream ended without an answer, and what that proves.
type Why int

// The ends of a stream.
const (
	// Spoilt: the answer broke the protocol's or our bounds, or the peer reset the
	// stream: the request may have run.
	Spoilt Why = iota
	// Refused: RST_STREAM with REFUSED_STREAM (RFC 9113, section 8.7): it never ran.
	Refused
	// Unprocessed: above the last stream of a GOAWAY (RFC 9113, section 6.8): it never ran.
	Unprocessed
)

// Handler is told what becomes of streams. Calls come from inside Feed and Open; the
// stream is forgotten by then, and the message holds only during the call.
type Handler interface {
	Answered(s *Stream, m *http1.Message)
	Ended(s *Stream, why Why)
}

// Session is one connection.
type Session struct {
	handler Handler
	out     bytes.Buffer
	written int64 // bytes handed out and in out
	in      []byte
	framer  *http2.Framer
	source  bytes.Reader
	enc     *hpack.Encoder
	block   bytes.Buffer // being sent
	dec     *hpack.Decoder
	coming  []byte // a header block that has not come whole: a request may go out meanwhile
	fields  []hpack.HeaderField
	size    int  // of fields
	toobig  bool // the header list is past its bound

	depth    int
	allowed  uint32 // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
	initial  int64  // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	maxFrame int
	window   int64 // of the connection, for what is sent
	credit   int64 // of the connection, for what comes
	spent    int64 // of credit, not yet given back
	next     uint32
	streams  map[uint32]*Stream
	blocked  []*Stream // with a body that waits for a window, in their order
	heads    uint32    // the stream of a header block that is still coming, 0 for none
	ends     bool      // that block's stream ends with it
	settled  bool      // the peer's first SETTINGS has come
	goaway   bool
	chatter  int
	pings    uint64
	ponged   uint64
	failed   error
}

// New makes a session that has its preface and settings to write. depth is the most
// streams it opens at once, below what the peer allows.
func New(h Handler, depth int) *Session {
	s := &Session{handler: h, depth: depth, allowed: windowMost, initial: firstWindow, maxFrame: frameMost,
		window: firstWindow, credit: connWindow, next: 1, streams: map[uint32]*Stream{}}
	s.framer = http2.NewFramer(&s.out, &s.source)
	s.framer.SetReuseFrames()
	s.framer.SetMaxReadFrameSize(frameMost)
	s.enc = hpack.NewEncoder(&s.block)
	s.dec = hpack.NewDecoder(tableMost, s.field)
	s.dec.SetMaxStringLength(headMost)
	s.out.WriteString(http2.ClientPreface)
	s.wrote(s.framer.WriteSettings(
		http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: headMost}))
	s.wrote(s.framer.WriteWindowUpdate(0, connWindow-firstWindow))
	return s
}

// wrote keeps a framer's error: with a buffer to write to there is none but for frames
// that are not as they may be, which this package does not write.
func (s *Session) wrote(err error) {
	if err != nil && s.failed == nil {
		s.failed = err
	}
}

// Out is what is to be written to the connection. It holds until the next call of the
// session, and is not given out again.
func (s *Session) Out() []byte {
	b := s.out.Bytes()
	s.written += int64(len(b))
	s.out.Reset()
	return b
}

// at is the place in all that the session has written.
func (s *Session) at() int64 { return s.written + int64(s.out.Len()) }

// Waiting tells whether there is something to write.
func (s *Session) Waiting() bool { return s.out.Len() > 0 }

// Room is how many more streams may be opened now.
func (s *Session) Room() int {
	if s.goaway || s.failed != nil || s.next > lastID {
		return 0
	}
	return max(min(s.depth, int(min(s.allowed, windowMost)))-len(s.streams), 0)
}

// Leaving tells whether the peer takes no new streams any more.
func (s *Session) Leaving() bool { return s.goaway || s.next > lastID }

// Len is how many streams are open.
func (s *Session) Len() int { return len(s.streams) }

// Each calls do for every open stream, in no order. do may cancel it.
func (s *Session) Each(do func(*Stream)) {
	for _, st := range s.streams {
		do(st)
	}
}

// Drop forgets every stream: the connection has ended.
func (s *Session) Drop() { clear(s.streams) }

// Open sends a request on a new stream. There must be Room. head is the request line
// and the header fields of an HTTP/1.1 request, each line with its end; both slices
// must stay as they are until the stream has ended.
func (s *Session) Open(tag any, head, extra, body []byte) error {
	s.block.Reset()
	if err := s.encode(head, extra); err != nil {
		return err
	}
	st := &Stream{ID: s.next, Tag: tag, Start: s.at(), length: -1, window: s.initial, credit: streamWindow}
	s.next += 2
	s.streams[st.ID] = st
	block := s.block.Bytes()
	first := block[:min(len(block), s.maxFrame)]
	block = block[len(first):]
	s.wrote(s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: st.ID, BlockFragment: first,
		EndStream: len(body) == 0, EndHeaders: len(block) == 0}))
	for len(block) > 0 {
		piece := block[:min(len(block), s.maxFrame)]
		block = block[len(piece):]
		s.wrote(s.framer.WriteContinuation(st.ID, len(block) == 0, piece))
	}
	if len(body) == 0 {
		st.End = s.at()
	} else if st.pending = body; !s.push(st) {
		s.blocked = append(s.blocked, st)
	}
	return nil
}

// push sends what the windows allow of a stream's body, and tells whether that was all.
func (s *Session) push(st *Stream) bool {
	for len(st.pending) > 0 {
		n := min(int64(len(st.pending)), st.window, s.window, int64(s.maxFrame))
		if n <= 0 {
			return false
		}
		piece := st.pending[:n]
		st.pending = st.pending[n:]
		st.window -= n
		s.window -= n
		s.wrote(s.framer.WriteData(st.ID, len(st.pending) == 0, piece))
	}
	st.End = s.at()
	return true
}

// pushAll sends what the windows allow of every body that waits.
func (s *Session) pushAll() {
	still := s.blocked[:0]
	for _, st := range s.blocked {
		if s.streams[st.ID] == st && !s.push(st) {
			still = append(still, st)
		}
	}
	clear(s.blocked[len(still):])
	s.blocked = still
}

// Cancel gives a stream up (RFC 9113, section 5.4.2, with CANCEL): the peer is told, and
// the connection goes on.
func (s *Session) Cancel(st *Stream) {
	if s.streams[st.ID] == st {
		s.reset(st, http2.ErrCodeCancel)
	}
}

func (s *Session) reset(st *Stream, code http2.ErrCode) {
	delete(s.streams, st.ID)
	s.wrote(s.framer.WriteRSTStream(st.ID, code))
}

// spoil resets a stream of which something came that may not.
func (s *Session) spoil(st *Stream, code http2.ErrCode) {
	s.reset(st, code)
	s.handler.Ended(st, Spoilt)
}

// Ping asks the peer for a sign of life (RFC 9113, section 6.7).
func (s *Session) Ping() {
	s.pings++
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], s.pings)
	s.wrote(s.framer.WritePing(false, data))
}

// Ponged tells whether the last Ping has been answered.
func (s *Session) Ponged() bool { return s.pings == s.ponged }

// Error is why a connection must end.
type Error struct {
	Code   http2.ErrCode
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("h2: %s (%s)", e.Reason, e.Code) }

func fault(code http2.ErrCode, format string, a ...any) error {
	return &Error{code, fmt.Sprintf(format, a...)}
}
