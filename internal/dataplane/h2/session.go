// Package h2 implements the client side of an HTTP/2 connection as a state machine without
// I/O, clock or goroutines: the caller feeds input and takes output. It speaks cleartext
// HTTP/2 with prior knowledge (RFC 9113, section 3.3). Requests must be complete when they are
// sent, and responses are delivered when they are complete. Frames are read and written by
// golang.org/x/net/http2, header blocks by its hpack package.
package h2

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"foxwood/internal/dataplane/http1"
)

// Limits on what a peer may make a session store, in bytes unless stated otherwise.
const (
	maxFrameBytes       = 16 << 10  // payload of a frame, the initial SETTINGS_MAX_FRAME_SIZE
	maxHeaderListBytes  = 16 << 10  // header list, counted as in RFC 9113, section 6.5.2
	maxHeaderBlockBytes = 24 << 10  // header block before it is decoded
	streamWindowBytes   = 256 << 10 // receive window of a stream
	connWindowBytes     = 1 << 20   // receive window of the connection
	initialWindowBytes  = 65535     // RFC 9113, section 6.9.2
	maxWindowBytes      = 1<<31 - 1 // RFC 9113, section 6.9.1
	maxStreamID         = 1<<31 - 1 // RFC 9113, section 5.1.1
	maxTableBytes       = 4096      // size of the dynamic tables
	// maxUnproductiveFrames is how many frames a peer may send between two responses without
	// advancing one: PING, SETTINGS, RST_STREAM, empty DATA, CONTINUATION, PRIORITY and
	// similar. It guards against the floods of CVE-2019-9512 to CVE-2019-9518 and attacks
	// similar to CVE-2023-44487.
	maxUnproductiveFrames = 1000
)

// Stream is a request and its response.
type Stream struct {
	ID  uint32
	Tag any // for use by the caller
	// StartOffset and EndOffset are the positions of the request in the output of the session.
	// EndOffset is 0 until the request's last byte has been written.
	StartOffset, EndOffset int64

	response       http1.Message
	headersDone    bool // the final header block has arrived
	body           []byte
	declaredLength int // from the response's content-length, or -1
	pending        []byte
	sendWindow     int64 // bytes that may be sent
	receiveWindow  int64 // bytes that may arrive
}

// EndReason tells how a stream ended without a response, and whether the request may have run.
type EndReason int

// The reasons for the end of a stream.
const (
	// StreamFailed means that the response broke the protocol or exceeded a limit, or that the
	// peer reset the stream. The request may have run.
	StreamFailed EndReason = iota
	// StreamRefused means RST_STREAM with REFUSED_STREAM (RFC 9113, section 8.7). The request
	// never ran.
	StreamRefused
	// StreamUnprocessed means that the id is above the last stream id of a GOAWAY (RFC 9113,
	// section 6.8). The request never ran.
	StreamUnprocessed
)

// Handler is notified when streams end. It is called from within Feed and OpenStream. The
// stream is no longer open at that time, and the message is valid only during the call.
type Handler interface {
	ResponseReceived(s *Stream, m *http1.Message)
	StreamEnded(s *Stream, why EndReason)
}

// Session is the client side of one connection.
type Session struct {
	handler        Handler
	output         bytes.Buffer
	written        int64 // bytes of output already taken
	input          []byte
	framer         *http2.Framer
	source         bytes.Reader
	encoder        *hpack.Encoder
	block          bytes.Buffer // header block to be sent
	decoder        *hpack.Decoder
	headerBlock    []byte // incomplete header block; requests may be sent in the meantime
	fields         []hpack.HeaderField
	fieldsSize     int  // size of fields, counted as in RFC 9113, section 6.5.2
	fieldsTooLarge bool // the header list exceeds a limit

	maxStreams        int
	peerMaxStreams    uint32 // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
	peerInitialWindow int64  // the peer's SETTINGS_INITIAL_WINDOW_SIZE
	maxFrame          int
	sendWindow        int64 // of the connection, for sending
	receiveWindow     int64 // of the connection, for receiving
	unacknowledged    int64 // received bytes not yet returned by WINDOW_UPDATE
	nextID            uint32
	streams           map[uint32]*Stream
	blocked           []*Stream // streams whose body waits for a window, in order
	headerStream      uint32    // stream of an incomplete header block, 0 if there is none
	headerEndsStream  bool      // the incomplete header block ends its stream
	settingsReceived  bool      // the peer's first SETTINGS has arrived
	goAwayReceived    bool
	unproductive      int
	pingsSent         uint64
	pingsAnswered     uint64
	failed            error
}

// NewSession returns a session whose output begins with the preface and SETTINGS. maxStreams
// is the limit on open streams; the peer may allow fewer.
func NewSession(handler Handler, maxStreams int) *Session {
	session := &Session{handler: handler, maxStreams: maxStreams, peerMaxStreams: maxWindowBytes, peerInitialWindow: initialWindowBytes, maxFrame: maxFrameBytes,
		sendWindow: initialWindowBytes, receiveWindow: connWindowBytes, nextID: 1, streams: map[uint32]*Stream{}}
	session.framer = http2.NewFramer(&session.output, &session.source)
	session.framer.SetReuseFrames()
	session.framer.SetMaxReadFrameSize(maxFrameBytes)
	session.encoder = hpack.NewEncoder(&session.block)
	session.decoder = hpack.NewDecoder(maxTableBytes, session.collectField)
	session.decoder.SetMaxStringLength(maxHeaderListBytes)
	session.output.WriteString(http2.ClientPreface)
	session.noteWriteError(session.framer.WriteSettings(
		http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindowBytes},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: maxHeaderListBytes}))
	session.noteWriteError(session.framer.WriteWindowUpdate(0, connWindowBytes-initialWindowBytes))
	return session
}

// noteWriteError keeps an error of the framer. Writing to a buffer can fail only for invalid
// frames, which this package does not write.
func (s *Session) noteWriteError(err error) {
	if err != nil && s.failed == nil {
		s.failed = err
	}
}

// TakeOutput returns the output to be written to the connection and removes it from the
// session. The slice is valid until the next call of the session.
func (s *Session) TakeOutput() []byte {
	b := s.output.Bytes()
	s.written += int64(len(b))
	s.output.Reset()
	return b
}

// outputOffset returns the number of bytes that the session has written so far.
func (s *Session) outputOffset() int64 { return s.written + int64(s.output.Len()) }

// HasOutput reports whether there is output.
func (s *Session) HasOutput() bool { return s.output.Len() > 0 }

// AvailableStreams returns how many more streams may be opened now.
func (s *Session) AvailableStreams() int {
	if s.goAwayReceived || s.failed != nil || s.nextID > maxStreamID {
		return 0
	}
	return max(min(s.maxStreams, int(min(s.peerMaxStreams, maxWindowBytes)))-len(s.streams), 0)
}

// GoingAway reports whether no new streams can be opened any more.
func (s *Session) GoingAway() bool { return s.goAwayReceived || s.nextID > maxStreamID }

// OpenStreams returns the number of open streams.
func (s *Session) OpenStreams() int { return len(s.streams) }

// EachStream calls fn for every open stream, in no particular order. fn may cancel the stream.
func (s *Session) EachStream(fn func(*Stream)) {
	for _, st := range s.streams {
		fn(st)
	}
}

// DropStreams forgets every stream after the connection has ended.
func (s *Session) DropStreams() { clear(s.streams) }

// OpenStream sends a request on a new stream. AvailableStreams must not be 0. head is the
// request line and the header fields of an HTTP/1.1 request, each line with its line end;
// extra is further header lines. head and body must not change until the stream has ended.
func (s *Session) OpenStream(tag any, head, extra, body []byte) error {
	s.block.Reset()
	if err := s.encodeHeaders(head, extra); err != nil {
		return err
	}
	stream := &Stream{ID: s.nextID, Tag: tag, StartOffset: s.outputOffset(), declaredLength: -1, sendWindow: s.peerInitialWindow, receiveWindow: streamWindowBytes}
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
		stream.EndOffset = s.outputOffset()
	} else if stream.pending = body; !s.sendBody(stream) {
		s.blocked = append(s.blocked, stream)
	}
	return nil
}

// sendBody sends as much of a stream's body as the windows allow, and reports whether that was
// all.
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
	stream.EndOffset = s.outputOffset()
	return true
}

// sendBlocked sends as much as the windows allow of every blocked body.
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

// CancelStream resets a stream with CANCEL (RFC 9113, section 5.4.2). The connection stays
// open.
func (s *Session) CancelStream(stream *Stream) {
	if s.streams[stream.ID] == stream {
		s.resetStream(stream, http2.ErrCodeCancel)
	}
}

func (s *Session) resetStream(stream *Stream, code http2.ErrCode) {
	delete(s.streams, stream.ID)
	s.noteWriteError(s.framer.WriteRSTStream(stream.ID, code))
}

// failStream resets a stream after invalid input on it.
func (s *Session) failStream(stream *Stream, code http2.ErrCode) {
	s.resetStream(stream, code)
	s.handler.StreamEnded(stream, StreamFailed)
}

// Ping sends a PING (RFC 9113, section 6.7).
func (s *Session) Ping() {
	s.pingsSent++
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], s.pingsSent)
	s.noteWriteError(s.framer.WritePing(false, data))
}

// PingAnswered reports whether the last Ping has been answered.
func (s *Session) PingAnswered() bool { return s.pingsSent == s.pingsAnswered }

// Error is the reason why a connection must be closed.
type Error struct {
	Code   http2.ErrCode
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("h2: %s (%s)", e.Reason, e.Code) }

func connError(code http2.ErrCode, format string, a ...any) error {
	return &Error{code, fmt.Sprintf(format, a...)}
}
