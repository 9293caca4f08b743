package h2

import (
	"encoding/binary"
	"errors"
	"slices"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"foxwood/internal/dataplane/http1"
)

const frameHeaderBytes = 9 // RFC 9113, section 4.1

// Feed handles input. After an error the connection must be closed, once the output that
// TakeOutput still returns has been written: it contains the GOAWAY that states the reason.
func (s *Session) Feed(b []byte) error {
	if s.failed != nil {
		return s.failed
	}
	held := len(s.input) > 0
	if held {
		s.input = append(s.input, b...)
		b = s.input
	}
	for {
		n, err := s.readFrame(b)
		if err != nil {
			return s.fail(err)
		}
		if n == 0 {
			break
		}
		b = b[n:]
	}
	s.input = append(s.input[:0], b...) // copies within the same buffer if the bytes were buffered
	if len(s.input) == 0 && cap(s.input) > maxFrameBytes {
		s.input = nil
	}
	return s.failed
}

// fail ends the session and prepares the GOAWAY. Output that has not been taken is dropped,
// because it could only make the peer start requests whose responses can't be received.
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
	s.output.Reset()
	s.noteWriteError(s.framer.WriteGoAway(0, code, nil))
	s.failed = err
	return err
}

// readFrame handles one complete frame and returns its size in bytes, or 0 if the frame is
// incomplete.
func (s *Session) readFrame(b []byte) (int, error) {
	if len(b) < frameHeaderBytes {
		return 0, nil
	}
	length := int(b[0])<<16 | int(b[1])<<8 | int(b[2])
	if length > maxFrameBytes {
		return 0, connError(http2.ErrCodeFrameSize, "frame of %d bytes exceeds %d", length, maxFrameBytes)
	}
	kind, flags, streamID := http2.FrameType(b[3]), http2.Flags(b[4]), binary.BigEndian.Uint32(b[5:])&maxStreamID
	if !s.settingsReceived && (kind != http2.FrameSettings || flags.Has(http2.FlagSettingsAck)) {
		return 0, connError(http2.ErrCodeProtocol, "first frame is not SETTINGS") // RFC 9113, section 3.4
	}
	if len(b) < frameHeaderBytes+length {
		return 0, nil
	}
	if s.headerStream != 0 && (kind != http2.FrameContinuation || streamID != s.headerStream) {
		return 0, connError(http2.ErrCodeProtocol, "header block interrupted by another frame")
	}
	s.source.Reset(b[:frameHeaderBytes+length])
	frame, err := s.framer.ReadFrame()
	var streamErr http2.StreamError
	switch {
	// After a HEADERS frame, skipping its block would corrupt the dynamic table.
	case errors.As(err, &streamErr) && kind == http2.FrameHeaders:
		return 0, connError(streamErr.Code, "malformed HEADERS frame")
	case errors.As(err, &streamErr):
		if st := s.streams[streamErr.StreamID]; st != nil {
			s.failStream(st, streamErr.Code)
		}
		return frameHeaderBytes + length, s.countUnproductive()
	case err != nil:
		return 0, err
	}
	if err := s.handleFrame(frame); err != nil {
		return 0, err
	}
	return frameHeaderBytes + length, nil
}

// countUnproductive counts a frame that does not advance any response.
func (s *Session) countUnproductive() error {
	if s.unproductive++; s.unproductive > maxUnproductiveFrames {
		return connError(http2.ErrCodeEnhanceYourCalm, "%d frames without progress of a response", s.unproductive)
	}
	return nil
}

// handleFrame handles a frame.
func (s *Session) handleFrame(frame http2.Frame) error {
	switch frame := frame.(type) {
	case *http2.DataFrame:
		return s.handleData(frame)
	case *http2.HeadersFrame:
		if err := s.beginHeaders(frame.StreamID); err != nil {
			return err
		}
		s.headerEndsStream = frame.StreamEnded()
		return s.handleFragment(frame.StreamID, frame.HeaderBlockFragment(), frame.HeadersEnded())
	case *http2.ContinuationFrame:
		if err := s.countUnproductive(); err != nil {
			return err
		}
		return s.handleFragment(frame.StreamID, frame.HeaderBlockFragment(), frame.HeadersEnded())
	case *http2.PushPromiseFrame:
		return connError(http2.ErrCodeProtocol, "PUSH_PROMISE although push is disabled")
	case *http2.RSTStreamFrame:
		return s.handleReset(frame)
	case *http2.SettingsFrame:
		return s.handleSettings(frame)
	case *http2.PingFrame:
		if frame.IsAck() {
			s.pingsAnswered = max(s.pingsAnswered, binary.BigEndian.Uint64(frame.Data[:]))
		} else {
			s.noteWriteError(s.framer.WritePing(true, frame.Data))
		}
	case *http2.GoAwayFrame:
		s.handleGoAway(frame)
	case *http2.WindowUpdateFrame:
		return s.handleWindowUpdate(frame)
	}
	return s.countUnproductive() // unknown frame types are ignored: RFC 9113, section 4.1
}

// checkOpened rejects a stream id that this side has not opened. The peer may not open
// streams.
func (s *Session) checkOpened(id uint32) error {
	if id%2 == 0 || id >= s.nextID {
		return connError(http2.ErrCodeProtocol, "stream %d was never opened", id)
	}
	return nil
}

func (s *Session) beginHeaders(id uint32) error {
	if err := s.checkOpened(id); err != nil {
		return err
	}
	s.headerStream, s.fieldsSize, s.fieldsTooLarge = id, 0, false
	s.fields, s.headerBlock = s.fields[:0], s.headerBlock[:0]
	return nil
}

// handleFragment handles a piece of a header block. It is decoded even if the stream has
// ended, because the dynamic table belongs to the connection.
func (s *Session) handleFragment(streamID uint32, piece []byte, last bool) error {
	if len(s.headerBlock)+len(piece) > maxHeaderBlockBytes {
		return connError(http2.ErrCodeEnhanceYourCalm, "header block exceeds %d bytes", maxHeaderBlockBytes)
	}
	s.headerBlock = append(s.headerBlock, piece...)
	if !last {
		return nil
	}
	s.headerStream = 0
	if _, err := s.decoder.Write(s.headerBlock); err != nil {
		return connError(http2.ErrCodeCompression, "decoding header block: %v", err)
	}
	if err := s.decoder.Close(); err != nil {
		return connError(http2.ErrCodeCompression, "decoding header block: %v", err)
	}
	stream := s.streams[streamID]
	if stream == nil {
		return s.countUnproductive()
	}
	switch {
	case s.fieldsTooLarge:
		s.failStream(stream, http2.ErrCodeEnhanceYourCalm)
	case stream.headersDone && !s.headerEndsStream: // trailers must end the stream: RFC 9113, section 8.1
		s.failStream(stream, http2.ErrCodeProtocol)
	case stream.headersDone: // trailers are ignored
		s.finishStream(stream)
	default:
		return s.handleHeaders(stream)
	}
	return nil
}

// collectField is called for each field of a header block.
func (s *Session) collectField(field hpack.HeaderField) {
	if s.fieldsSize += int(field.Size()); s.fieldsSize > maxHeaderListBytes || len(s.fields) >= http1.MaxFields {
		s.fieldsTooLarge = true
		return
	}
	s.fields = append(s.fields, field)
}

// handleHeaders handles the header of a response.
func (s *Session) handleHeaders(stream *Stream) error {
	status, ok := readHead(s.fields, &stream.response, &stream.declaredLength)
	switch {
	case !ok || status == 101: // 101 does not exist in HTTP/2: RFC 9113, section 8.6
		s.failStream(stream, http2.ErrCodeProtocol)
		return nil
	case status < 200:
		stream.response, stream.declaredLength = http1.Message{}, -1
		if s.headerEndsStream {
			s.failStream(stream, http2.ErrCodeProtocol)
			return nil
		}
		return s.countUnproductive()
	case stream.declaredLength > http1.MaxResponseBytes:
		s.failStream(stream, http2.ErrCodeCancel)
		return nil
	}
	stream.headersDone, stream.response.Status = true, status
	if s.headerEndsStream {
		s.finishStream(stream)
	}
	return nil
}

// readHead checks and stores the header fields of a response by RFC 9113, sections 8.2 and
// 8.3: one pseudo-header, ":status", before all others; names in lower case; no
// connection-specific fields.
func readHead(fields []hpack.HeaderField, message *http1.Message, length *int) (status int, ok bool) {
	for i, field := range fields {
		switch {
		case field.Name == ":status" && i == 0:
			n, err := strconv.ParseUint(field.Value, 10, 16)
			if err != nil || len(field.Value) != 3 || n < 100 {
				return 0, false
			}
			status = int(n)
			continue
		case i == 0, !isLowerToken(field.Name) || !isPlainValue(field.Value), slices.Contains(connectionFields, field.Name):
			return 0, false
		case field.Name == "content-length":
			n, err := strconv.ParseUint(field.Value, 10, 31)
			if err != nil || *length >= 0 {
				return 0, false
			}
			*length = int(n)
		}
		message.Add([]byte(field.Name), []byte(field.Value))
	}
	return status, status > 0
}

var connectionFields = []string{"connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade"}

// isLowerToken reports whether a name is a token without upper-case letters.
func isLowerToken(name string) bool {
	for _, c := range []byte(name) {
		if c <= ' ' || c >= 0x7f || c == ':' || c >= 'A' && c <= 'Z' {
			return false
		}
	}
	return name != ""
}

func isPlainValue(value string) bool {
	for _, c := range []byte(value) {
		if c == 0 || c == '\r' || c == '\n' {
			return false
		}
	}
	return true
}

// handleData handles a piece of a response body, and replenishes the receive windows.
func (s *Session) handleData(frame *http2.DataFrame) error {
	if err := s.checkOpened(frame.StreamID); err != nil {
		return err
	}
	n := int64(frame.Header().Length) // padding counts too: RFC 9113, section 6.1
	if s.receiveWindow -= n; s.receiveWindow < 0 {
		return connError(http2.ErrCodeFlowControl, "DATA exceeds the connection window")
	}
	if s.unacknowledged += n; s.unacknowledged >= connWindowBytes/2 {
		s.noteWriteError(s.framer.WriteWindowUpdate(0, uint32(s.unacknowledged)))
		s.receiveWindow += s.unacknowledged
		s.unacknowledged = 0
	}
	stream := s.streams[frame.StreamID]
	if stream == nil || len(frame.Data()) == 0 && !frame.StreamEnded() {
		return s.countUnproductive()
	}
	piece := frame.Data()
	switch {
	case !stream.headersDone:
		s.failStream(stream, http2.ErrCodeProtocol)
		return nil
	case n > stream.receiveWindow:
		s.failStream(stream, http2.ErrCodeFlowControl)
		return nil
	case len(stream.body)+len(piece) > http1.MaxResponseBytes:
		s.failStream(stream, http2.ErrCodeCancel)
		return nil
	}
	stream.body = append(stream.body, piece...)
	if stream.receiveWindow -= n; stream.receiveWindow < streamWindowBytes/2 && !frame.StreamEnded() {
		s.noteWriteError(s.framer.WriteWindowUpdate(stream.ID, uint32(streamWindowBytes-stream.receiveWindow)))
		stream.receiveWindow = streamWindowBytes
	}
	if frame.StreamEnded() {
		s.finishStream(stream)
	}
	return nil
}

// finishStream delivers a response. A body that differs from its stated length fails the
// stream (RFC 9113, section 8.1.1).
func (s *Session) finishStream(stream *Stream) {
	noBody := stream.response.Status == 204 || stream.response.Status == 304
	if stream.declaredLength >= 0 && stream.declaredLength != len(stream.body) && !(noBody && len(stream.body) == 0) {
		s.failStream(stream, http2.ErrCodeProtocol)
		return
	}
	s.unproductive = 0
	if stream.EndOffset == 0 { // the worker did not need the rest of the body: RFC 9113, section 8.1
		s.resetStream(stream, http2.ErrCodeNo)
	} else {
		delete(s.streams, stream.ID)
	}
	stream.response.Body = stream.body
	s.handler.ResponseReceived(stream, &stream.response)
}

func (s *Session) handleReset(frame *http2.RSTStreamFrame) error {
	if err := s.checkOpened(frame.StreamID); err != nil {
		return err
	}
	if stream := s.streams[frame.StreamID]; stream != nil {
		delete(s.streams, stream.ID)
		why := StreamFailed
		if frame.ErrCode == http2.ErrCodeRefusedStream {
			why = StreamRefused
		}
		s.handler.StreamEnded(stream, why)
	}
	return s.countUnproductive()
}

func (s *Session) handleSettings(frame *http2.SettingsFrame) error {
	if err := s.countUnproductive(); err != nil || frame.IsAck() {
		return err
	}
	s.settingsReceived = true
	for i := range frame.NumSettings() {
		setting := frame.Setting(i)
		if err := setting.Valid(); err != nil {
			return err
		}
		switch setting.ID {
		case http2.SettingMaxConcurrentStreams:
			s.peerMaxStreams = setting.Val
		case http2.SettingInitialWindowSize: // RFC 9113, section 6.9.2
			delta := int64(setting.Val) - s.peerInitialWindow
			s.peerInitialWindow = int64(setting.Val)
			for _, st := range s.streams {
				if st.sendWindow += delta; st.sendWindow > maxWindowBytes {
					return connError(http2.ErrCodeFlowControl, "stream window overflow")
				}
			}
		case http2.SettingMaxFrameSize:
			s.maxFrame = int(min(setting.Val, maxFrameBytes))
		case http2.SettingHeaderTableSize:
			s.encoder.SetMaxDynamicTableSizeLimit(min(setting.Val, maxTableBytes))
		}
	}
	s.noteWriteError(s.framer.WriteSettingsAck())
	s.sendBlocked()
	return nil
}

// handleGoAway ends the streams that the peer states it has not processed and will not
// process.
func (s *Session) handleGoAway(frame *http2.GoAwayFrame) {
	s.goAwayReceived = true
	var unprocessed []*Stream
	for id, stream := range s.streams {
		if id > frame.LastStreamID {
			unprocessed = append(unprocessed, stream)
		}
	}
	slices.SortFunc(unprocessed, func(a, b *Stream) int { return int(a.ID) - int(b.ID) })
	for _, stream := range unprocessed {
		delete(s.streams, stream.ID)
	}
	for _, stream := range unprocessed {
		s.handler.StreamEnded(stream, StreamUnprocessed)
	}
}

func (s *Session) handleWindowUpdate(frame *http2.WindowUpdateFrame) error {
	if err := s.countUnproductive(); err != nil {
		return err
	}
	increment := int64(frame.Increment)
	if frame.StreamID == 0 {
		if s.sendWindow += increment; s.sendWindow > maxWindowBytes {
			return connError(http2.ErrCodeFlowControl, "connection window overflow")
		}
		s.sendBlocked()
		return nil
	}
	if err := s.checkOpened(frame.StreamID); err != nil {
		return err
	}
	if stream := s.streams[frame.StreamID]; stream != nil {
		if stream.sendWindow += increment; stream.sendWindow > maxWindowBytes {
			s.failStream(stream, http2.ErrCodeFlowControl)
			return nil
		}
		s.sendBlocked()
	}
	return nil
}
