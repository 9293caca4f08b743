package h2

import (
	"encoding/binary"
	"errors"
	"slices"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"foxwood/internal/http1"
)

const frameHead = 9 // bytes, RFC 9113, section 4.1

// Feed takes bytes as they come. After an error the connection must end, once what Out
// still gives has been written: it holds the GOAWAY that tells the peer why.
func (s *Session) Feed(b []byte) error {
	if s.failed != nil {
		return s.failed
	}
	held := len(s.in) > 0
	if held {
		s.in = append(s.in, b...)
		b = s.in
	}
	for {
		n, err := s.frame(b)
		if err != nil {
			return s.fail(err)
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	s.in = append(s.in[:0], b...) // the same bytes, moved to the front, where they were held
	if len(s.in) == 0 && cap(s.in) > frameMost {
		s.in = nil
	}
	return s.failed
}

// fail ends the session, and tells the peer why. What has not been given out is dropped:
// it would only have the peer begin what it can't answer any more.
func (s *Session) fail(err error) error {
	code := http2.ErrCodeProtocol
	var own *Error
	var theirs http2.ConnectionError
	switch {
	case errors.As(err, &own):
		code = own.Code
	case errors.As(err, &theirs):
		code = http2.ErrCode(theirs)
	case errors.Is(err, http2.ErrFrameTooLarge):
		code = http2.ErrCodeFrameSize
	}
	s.out.Reset()
	s.wrote(s.framer.WriteGoAway(0, code, nil))
	s.failed = err
	return err
}

// frame takes one whole frame, and returns how many bytes it had: 0 where it is not
// whole yet.
func (s *Session) frame(b []byte) (int, error) {
	if len(b) < frameHead {
		return 0, nil
	}
	length := int(b[0])<<16 | int(b[1])<<8 | int(b[2])
	if length > frameMost {
		return 0, fault(http2.ErrCodeFrameSize, "a frame of %d bytes", length)
	}
	kind, flags, id := http2.FrameType(b[3]), http2.Flags(b[4]), binary.BigEndian.Uint32(b[5:])&lastID
	if !s.settled && (kind != http2.FrameSettings || flags.Has(http2.FlagSettingsAck)) {
		return 0, fault(http2.ErrCodeProtocol, "the first frame is not SETTINGS") // RFC 9113, section 3.4
	}
	if len(b) < frameHead+length {
		return 0, nil
	}
	if s.heads != 0 && (kind != http2.FrameContinuation || id != s.heads) {
		return 0, fault(http2.ErrCodeProtocol, "a header block is interrupted")
	}
	s.source.Reset(b[:frameHead+length])
	f, err := s.framer.ReadFrame()
	var stream http2.StreamError
	switch {
	case errors.As(err, &stream) && kind == http2.FrameHeaders: // its block would be missing from the table
		return 0, fault(stream.Code, "a broken HEADERS frame")
	case errors.As(err, &stream):
		if st := s.streams[stream.StreamID]; st != nil {
			s.spoil(st, stream.Code)
		}
		return frameHead + length, s.chat()
	case err != nil:
		return 0, err
	}
	if err := s.take(f); err != nil {
		return 0, err
	}
	return frameHead + length, nil
}

// chat counts a frame that brings no answer on.
func (s *Session) chat() error {
	if s.chatter++; s.chatter > chatterMost {
		return fault(http2.ErrCodeEnhanceYourCalm, "%d frames that bring no answer", s.chatter)
	}
	return nil
}

// take acts on a frame.
func (s *Session) take(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.DataFrame:
		return s.data(f)
	case *http2.HeadersFrame:
		if err := s.begin(f.StreamID); err != nil {
			return err
		}
		s.ends = f.StreamEnded()
		return s.fragment(f.StreamID, f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.ContinuationFrame:
		if err := s.chat(); err != nil {
			return err
		}
		return s.fragment(f.StreamID, f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.PushPromiseFrame:
		return fault(http2.ErrCodeProtocol, "a push, which is switched off")
	case *http2.RSTStreamFrame:
		return s.resetBy(f)
	case *http2.SettingsFrame:
		return s.settings(f)
	case *http2.PingFrame:
		if f.IsAck() {
			s.ponged = max(s.ponged, binary.BigEndian.Uint64(f.Data[:]))
		} else {
			s.wrote(s.framer.WritePing(true, f.Data))
		}
	case *http2.GoAwayFrame:
		s.goneAway(f)
	case *http2.WindowUpdateFrame:
		return s.widen(f)
	}
	return s.chat() // other frames are passed over: RFC 9113, section 4.1
}

// known refuses a stream that was never opened: the peer opens none.
func (s *Session) known(id uint32) error {
	if id%2 == 0 || id >= s.next {
		return fault(http2.ErrCodeProtocol, "stream %d was not opened", id)
	}
	return nil
}

func (s *Session) begin(id uint32) error {
	if err := s.known(id); err != nil {
		return err
	}
	s.heads, s.size, s.toobig = id, 0, false
	s.fields, s.coming = s.fields[:0], s.coming[:0]
	return nil
}

// fragment takes a piece of a header block. It is decoded also for streams that have
// ended: the dynamic table is the connection's.
func (s *Session) fragment(id uint32, piece []byte, last bool) error {
	if len(s.coming)+len(piece) > blockMost {
		return fault(http2.ErrCodeEnhanceYourCalm, "a header block of more than %d bytes", blockMost)
	}
	s.coming = append(s.coming, piece...)
	if !last {
		return nil
	}
	s.heads = 0
	if _, err := s.dec.Write(s.coming); err != nil {
		return fault(http2.ErrCodeCompression, "header block: %v", err)
	}
	if err := s.dec.Close(); err != nil {
		return fault(http2.ErrCodeCompression, "header block: %v", err)
	}
	st := s.streams[id]
	if st == nil {
		return s.chat()
	}
	switch {
	case s.toobig:
		s.spoil(st, http2.ErrCodeEnhanceYourCalm)
	case st.headed && !s.ends: // trailers end a stream: RFC 9113, section 8.1
		s.spoil(st, http2.ErrCodeProtocol)
	case st.headed: // trailers are dropped
		s.finish(st)
	default:
		return s.head(st)
	}
	return nil
}

// field is given each field of a header block.
func (s *Session) field(f hpack.HeaderField) {
	if s.size += int(f.Size()); s.size > headMost || len(s.fields) >= http1.MaxFields {
		s.toobig = true
		return
	}
	s.fields = append(s.fields, f)
}

// head reads the header of an answer.
func (s *Session) head(st *Stream) error {
	status, ok := readHead(s.fields, &st.answer, &st.length)
	switch {
	case !ok || status == 101: // 101 is not of HTTP/2: RFC 9113, section 8.6
		s.spoil(st, http2.ErrCodeProtocol)
		return nil
	case status < 200:
		st.answer, st.length = http1.Message{}, -1
		if s.ends {
			s.spoil(st, http2.ErrCodeProtocol)
			return nil
		}
		return s.chat()
	case st.length > http1.MaxAnswer:
		s.spoil(st, http2.ErrCodeCancel)
		return nil
	}
	st.headed, st.answer.Status = true, status
	if s.ends {
		s.finish(st)
	}
	return nil
}

// readHead reads the fields of an answer as RFC 9113, section 8.2 and 8.3, has them: one
// pseudo-header, ":status", before all others; names in lower case; nothing that belongs
// to a connection.
func readHead(fields []hpack.HeaderField, m *http1.Message, length *int) (status int, ok bool) {
	for i, f := range fields {
		switch {
		case f.Name == ":status" && i == 0:
			n, err := strconv.ParseUint(f.Value, 10, 16)
			if err != nil || len(f.Value) != 3 || n < 100 {
				return 0, false
			}
			status = int(n)
			continue
		case i == 0, !lower(f.Name) || !plain(f.Value), slices.Contains(connectionFields, f.Name):
			return 0, false
		case f.Name == "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || *length >= 0 {
				return 0, false
			}
			*length = int(n)
		}
		m.Add([]byte(f.Name), []byte(f.Value))
	}
	return status, status > 0
}

var connectionFields = []string{"connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade"}

// lower tells whether a name is a token without capitals.
func lower(name string) bool {
	for _, c := range []byte(name) {
		if c <= ' ' || c >= 0x7f || c == ':' || c >= 'A' && c <= 'Z' {
			return false
		}
	}
	return name != ""
}

func plain(value string) bool {
	for _, c := range []byte(value) {
		if c == 0 || c == '\r' || c == '\n' {
			return false
		}
	}
	return true
}

// data takes a piece of an answer's body, and gives back the window it took.
func (s *Session) data(f *http2.DataFrame) error {
	if err := s.known(f.StreamID); err != nil {
		return err
	}
	n := int64(f.Header().Length) // padding counts: RFC 9113, section 6.1
	if s.credit -= n; s.credit < 0 {
		return fault(http2.ErrCodeFlowControl, "more data than the connection's window")
	}
	if s.spent += n; s.spent >= connWindow/2 {
		s.wrote(s.framer.WriteWindowUpdate(0, uint32(s.spent)))
		s.credit += s.spent
		s.spent = 0
	}
	st := s.streams[f.StreamID]
	if st == nil || len(f.Data()) == 0 && !f.StreamEnded() {
		return s.chat()
	}
	piece := f.Data()
	switch {
	case !st.headed:
		s.spoil(st, http2.ErrCodeProtocol)
		return nil
	case n > st.credit:
		s.spoil(st, http2.ErrCodeFlowControl)
		return nil
	case len(st.body)+len(piece) > http1.MaxAnswer:
		s.spoil(st, http2.ErrCodeCancel)
		return nil
	}
	st.body = append(st.body, piece...)
	if st.credit -= n; st.credit < streamWindow/2 && !f.StreamEnded() {
		s.wrote(s.framer.WriteWindowUpdate(st.ID, uint32(streamWindow-st.credit)))
		st.credit = streamWindow
	}
	if f.StreamEnded() {
		s.finish(st)
	}
	return nil
}

// finish gives an answer out. It guards against one whose stated length its body does
// not have (RFC 9113, section 8.1.1).
func (s *Session) finish(st *Stream) {
	bare := st.answer.Status == 204 || st.answer.Status == 304
	if st.length >= 0 && st.length != len(st.body) && !(bare && len(st.body) == 0) {
		s.spoil(st, http2.ErrCodeProtocol)
		return
	}
	s.chatter = 0
	if st.End == 0 { // the worker needed no more of the body: RFC 9113, section 8.1
		s.reset(st, http2.ErrCodeNo)
	} else {
		delete(s.streams, st.ID)
	}
	st.answer.Body = st.body
	s.handler.Answered(st, &st.answer)
}

func (s *Session) resetBy(f *http2.RSTStreamFrame) error {
	if err := s.known(f.StreamID); err != nil {
		return err
	}
	if st := s.streams[f.StreamID]; st != nil {
		delete(s.streams, st.ID)
		why := Spoilt
		if f.ErrCode == http2.ErrCodeRefusedStream {
			why = Refused
		}
		s.handler.Ended(st, why)
	}
	return s.chat()
}

func (s *Session) settings(f *http2.SettingsFrame) error {
	if err := s.chat(); err != nil || f.IsAck() {
		return err
	}
	s.settled = true
	for i := range f.NumSettings() {
		v := f.Setting(i)
		if err := v.Valid(); err != nil {
			return err
		}
		switch v.ID {
		case http2.SettingMaxConcurrentStreams:
			s.allowed = v.Val
		case http2.SettingInitialWindowSize: // RFC 9113, section 6.9.2
			by := int64(v.Val) - s.initial
			s.initial = int64(v.Val)
			for _, st := range s.streams {
				if st.window += by; st.window > windowMost {
					return fault(http2.ErrCodeFlowControl, "a window past its bound")
				}
			}
		case http2.SettingMaxFrameSize:
			s.maxFrame = int(min(v.Val, frameMost))
		case http2.SettingHeaderTableSize:
			s.enc.SetMaxDynamicTableSizeLimit(min(v.Val, tableMost))
		}
	}
	s.wrote(s.framer.WriteSettingsAck())
	s.pushAll()
	return nil
}

// goneAway ends the streams that the peer says it has not and will not act on.
func (s *Session) goneAway(f *http2.GoAwayFrame) {
	s.goaway = true
	var never []*Stream
	for id, st := range s.streams {
		if id > f.LastStreamID {
			never = append(never, st)
		}
	}
	slices.SortFunc(never, func(a, b *Stream) int { return int(a.ID) - int(b.ID) })
	for _, st := range never {
		delete(s.streams, st.ID)
	}
	for _, st := range never {
		s.handler.Ended(st, Unprocessed)
	}
}

func (s *Session) widen(f *http2.WindowUpdateFrame) error {
	if err := s.chat(); err != nil {
		return err
	}
	by := int64(f.Increment)
	if f.StreamID == 0 {
		if s.window += by; s.window > windowMost {
			return fault(http2.ErrCodeFlowControl, "the connection's window past its bound")
		}
		s.pushAll()
		return nil
	}
	if err := s.known(f.StreamID); err != nil {
		return err
	}
	if st := s.streams[f.StreamID]; st != nil {
		if st.window += by; st.window > windowMost {
			s.spoil(st, http2.ErrCodeFlowControl)
			return nil
		}
		s.pushAll()
	}
	return nil
}
