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
	maxFrameBytes       = 16 << 10  // bytes of a frame's payload, as SETTINGS_MAX_FRAME_SIZE is at first
	maxHeaderListBytes  = 16 << 10  // bytes of a header list, counted as RFC 9113, section 6.5.2, does
	maxHeaderBlockBytes = 24 << 10  // bytes of a header block before it is read
	streamWindowBytes   = 256 << 10 // bytes of an answer that may come unasked
	connWindowBytes     = 1 << 20   // bytes of all answers that may come unasked
	initialWindowBytes  = 65535     // RFC 9113, section 6.9.2
	maxWindowBytes      = 1<<31 - 1 // RFC 9113, section 6.9.1
	maxStreamID         = 1<<31 - 1 // RFC 9113, section 5.1.1
	maxTableBytes       = 4096      // bytes of the dynamic tables
	// chatterMost is how many frames that bring no answer on a peer may send before one
	// is: PING, SETTINGS, RST_STREAM, empty DATA, CONTINUATION, PRIORITY and the like.
	// It guards against the floods of CVE-2019-9512 to 9518 and CVE-2023-44487's kin.
	maxUnproductiveFrames = 1000
)

// Stream is one request and its answer.
type Stream struct {
	ID  uint32
	Tag any // the caller's own
	// Start and End are the places in all that the session has written at which the
	// request begins and ends; End is 0 until its last byte has been written.
	Start, End int64

	response       http1.Message
	headersDone    bool // the final header block has come
	body           []byte
	declaredLength int // that the answer states, -1 where it does not
	pending        []byte
	sendWindow     int64 // what may be sent
	receiveWindow  int64 // what may come
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
	handler        Handler
	out            bytes.Buffer
	written        int64 // bytes handed out and in out
	in             []byte
	framer         *http2.Framer
	source         bytes.Reader
	enc            *hpack.Encoder
	block          bytes.Buffer // being sent
	dec            *hpack.Decoder
	headerBlock    []byte // a header block that has not come whole: a request may go out meanwhile
	fields         []hpack.HeaderField
	fieldsSize     int  // of fields
	fieldsTooLarge bool // the header list is past its bound

	depth             int
	peerMaxStreams    uint32 // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
	peerInitialWindow int64  // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	maxFrame          int
	sendWindow        int64 // of the connection, for what is sent
	receiveWindow     int64 // of the connection, for what comes
	unacknowledged    int64 // of credit, not yet given back
	nextID            uint32
	streams           map[uint32]*Stream
	blocked           []*Stream // with a body that waits for a window, in their order
	headerStream      uint32    // the stream of a header block that is still coming, 0 for none
	headerEndsStream  bool      // that block's stream ends with it
	settingsReceived  bool      // the peer's first SETTINGS has come
	goAwayReceived    bool
	unproductive      int
	pingsSent         uint64
	pingsAnswered     uint64
	failed            error
}

// New makes a session that has its preface and settings to write. depth is the most
// streams it opens at once, below what the peer allows.
func New(h Handler, depth int) *Session {
	s := &Session{handler: h, depth: depth, peerMaxStreams: maxWindowBytes, peerInitialWindow: initialWindowBytes, maxFrame: maxFrameBytes,
		sendWindow: initialWindowBytes, receiveWindow: connWindowBytes, nextID: 1, streams: map[uint32]*Stream{}}
	s.framer = http2.NewFramer(&s.out, &s.source)
	s.framer.SetReuseFrames()
	s.framer.SetMaxReadFrameSize(maxFrameBytes)
	s.enc = hpack.NewEncoder(&s.block)
	s.dec = hpack.NewDecoder(maxTableBytes, s.collectField)
	s.dec.SetMaxStringLength(maxHeaderListBytes)
	s.out.WriteString(http2.ClientPreface)
	s.noteWriteError(s.framer.WriteSettings(
		http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindowBytes},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderListBytes}))
	s.noteWriteError(s.framer.WriteWindowUpdate(0, connWindowBytes-initialWindowBytes))
	return s
}

// wrote keeps a framer's error: with a buffer to write to there is none but for frames
// that are not as they may be, which this package does not write.
func (s *Session) noteWriteError(err error) {
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
func (s *Session) outputOffset() int64 { return s.written + int64(s.out.Len()) }

// Waiting tells whether there is something to write.
func (s *Session) Waiting() bool { return s.out.Len() > 0 }

// Room is how many more streams may be opened now.
func (s *Session) Room() int {
	if s.goAwayReceived || s.failed != nil || s.nextID > maxStreamID {
		return 0
	}
	return max(min(s.depth, int(min(s.peerMaxStreams, maxWindowBytes)))-len(s.streams), 0)
}

// Leaving tells whether the peer takes no new streams any more.
func (s *Session) Leaving() bool { return s.goAwayReceived || s.nextID > maxStreamID }

// Len is how many streams are open.
func (s *Session) Len() int { return len(s.streams) }

// Each calls do for every open stream, in no order. do may cancel it.
func (s *Session) Each(fn func(*Stream)) {
	for _, st := range s.streams {
		fn(st)
	}
}

// Drop forgets every stream: the connection has ended.
func (s *Session) Drop() { clear(s.streams) }

// Open sends a request on a new stream. There must be Room. head is the request line
// and the header fields of an HTTP/1.1 request, each line with its end; both slices
// must stay as they are until the stream has ended.
func (s *Session) Open(tag any, head, extra, body []byte) error {
	s.block.Reset()
	if err := s.encodeHeaders(head, extra); err != nil {
		return err
	}
	stream := &Stream{ID: s.nextID, Tag: tag, Start: s.outputOffset(), declaredLength: -1, sendWindow: s.peerInitialWindow, receiveWindow: streamWindowBytes}
	s.nextID += 2
	s.streams[stream.ID] = stream
	block := s.block.Bytes()
	first := block[:min(len(block), s.maxFrame)]
	block = block[len(first):]
	s.noteWriteError(s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream.ID, BlockFragment: first,
		EndStream: len(body) == 0, EndHeaders: len(block) == 0}))
	for len(block) > 0 {
		piece := block[:min(len(block), s.maxFrame)]
		block = block[len(piece):]
		s.noteWriteError(s.framer.WriteContinuation(stream.ID, len(block) == 0, piece))
	}
	if len(body) == 0 {
		stream.End = s.outputOffset()
	} else if stream.pending = body; !s.sendBody(stream) {
		s.blocked = append(s.blocked, stream)
	}
	return nil
}

// push sends what the windows allow of a stream's body, and tells whether that was all.
func (s *Session) sendBody(stream *Stream) bool {
	for len(stream.pending) > 0 {
		n := min(int64(len(stream.pending)), stream.sendWindow, s.sendWindow, int64(s.maxFrame))
		if n <= 0 {
			return false
		}
		piece := stream.pending[:n]
		stream.pending = stream.pending[n:]
		stream.sendWindow -= n
		s.sendWindow -= n
		s.noteWriteError(s.framer.WriteData(stream.ID, len(stream.pending) == 0, piece))
	}
	stream.End = s.outputOffset()
	return true
}

// pushAll sends what the windows allow of every body that waits.
func (s *Session) sendBlocked() {
	blocked := s.blocked[:0]
	for _, stream := range s.blocked {
		if s.streams[stream.ID] == stream && !s.sendBody(stream) {
			blocked = append(blocked, stream)
		}
	}
	clear(s.blocked[len(blocked):])
	s.blocked = blocked
}

// Cancel gives a stream up (RFC 9113, section 5.4.2, with CANCEL): the peer is told, and
// the connection goes on.
func (s *Session) Cancel(stream *Stream) {
	if s.streams[stream.ID] == stream {
		s.resetStream(stream, http2.ErrCodeCancel)
	}
}

func (s *Session) resetStream(stream *Stream, code http2.ErrCode) {
	delete(s.streams, stream.ID)
	s.noteWriteError(s.framer.WriteRSTStream(stream.ID, code))
}

// spoil resets a stream of which something came that may not.
func (s *Session) failStream(stream *Stream, code http2.ErrCode) {
	s.resetStream(stream, code)
	s.handler.Ended(stream, Spoilt)
}

// Ping asks the peer for a sign of life (RFC 9113, section 6.7).
func (s *Session) Ping() {
	s.pingsSent++
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], s.pingsSent)
	s.noteWriteError(s.framer.WritePing(false, data))
}

// Ponged tells whether the last Ping has been answered.
func (s *Session) Ponged() bool { return s.pingsSent == s.pingsAnswered }

// Error is why a connection must end.
type Error struct {
	Code   http2.ErrCode
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("h2: %s (%s)", e.Reason, e.Code) }

func connError(code http2.ErrCode, format string, a ...any) error {
	return &Error{code, fmt.Sprintf(format, a...)}
}
