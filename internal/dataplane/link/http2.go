package link

import (
	"math"
	"slices"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/h2"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

const (
	// pingAfterMS is how long a connection with open streams may be silent before it is
	// pinged, and pingTimeoutMS how long it may take to respond.
	pingAfterMS   = 1000.0
	pingTimeoutMS = 1000.0
)

// http2Protocol speaks HTTP/2.
type http2Protocol struct {
	conn         *muxConn
	session      *h2.Session
	extraHeaders []byte
	lastReadAt   float64 // time of the last input, in milliseconds
	pingSentAt   float64 // time of the unanswered ping, 0 if there is none
}

// streamExecution is an execution on a stream. It is the stream's Tag.
type streamExecution struct {
	execution *gatekeeper.Execution
	sentAt    float64 // time of sending, in milliseconds
}

func newHTTP2Protocol(conn *muxConn) muxProtocol {
	s := &http2Protocol{conn: conn}
	s.session = h2.NewSession(s, conn.workerConns.transport.MaxInFlight)
	return s
}

func (s *http2Protocol) start() { s.lastReadAt = s.conn.workerConns.clock.Now() }

func (s *http2Protocol) finalBytes() []byte { return s.session.TakeOutput() }

func (s *http2Protocol) peerLeaving() bool { return s.session.GoingAway() }

func (s *http2Protocol) inFlight() int { return s.session.OpenStreams() }

func (s *http2Protocol) room() int { return s.session.AvailableStreams() }

func (s *http2Protocol) send(execution *gatekeeper.Execution) {
	workerConns := s.conn.workerConns
	payload := execution.Request.Payload.(*Payload)
	s.extraHeaders = append(append(s.extraHeaders[:0], workerConns.reader.TimeLeftHeader()...), ": "...)
	s.extraHeaders = append(strconv.AppendInt(s.extraHeaders, int64(max(execution.Timeout, 1)), 10), "\r\n"...)
	now := workerConns.clock.Now()
	if s.inFlight() == 0 { // silence on an idle connection does not count
		s.lastReadAt = now
	}
	// OpenStream fails only for a malformed head, which no RequestHandler builds.
	if err := s.session.OpenStream(&streamExecution{execution, now}, payload.Head, s.extraHeaders, payload.Body); err != nil {
		workerConns.endUnanswered(execution, policy.ConnectFailed)
	}
}

func (s *http2Protocol) takeOutput() []byte { return s.session.TakeOutput() }

func (s *http2Protocol) receive(b []byte) error {
	s.lastReadAt, s.pingSentAt = s.conn.workerConns.clock.Now(), 0
	return s.session.Feed(b)
}

// ResponseReceived implements h2.Handler.
func (s *http2Protocol) ResponseReceived(stream *h2.Stream, message *http1.Message) {
	workerConns, sent := s.conn.workerConns, stream.Tag.(*streamExecution)
	workerConns.estimator.Observe(sent.execution.Request.Class, s.lastReadAt-sent.sentAt)
	sent.execution.TransportData = nil
	workerConns.core.ExecutionEnded(sent.execution, workerConns.reader.Outcome(message))
}

// StreamEnded implements h2.Handler.
func (s *http2Protocol) StreamEnded(stream *h2.Stream, why h2.EndReason) {
	status := policy.Reset
	switch why {
	case h2.StreamRefused:
		status = policy.Full
	case h2.StreamUnprocessed:
		status = policy.ConnectFailed
	}
	s.conn.workerConns.endUnanswered(stream.Tag.(*streamExecution).execution, status)
}

// cancel implements muxProtocol. RST_STREAM with CANCEL tells the peer, and the connection
// stays open. What is queued of the stream is sent before that frame, so it counts as sent.
func (s *http2Protocol) cancel(execution *gatekeeper.Execution) (progress gatekeeper.SendProgress, err error) {
	s.session.EachStream(func(st *h2.Stream) {
		if st.Tag.(*streamExecution).execution == execution {
			progress = gatekeeper.SentAll
			if st.EndOffset == 0 {
				progress = gatekeeper.SentPart
			}
			s.session.CancelStream(st)
		}
	})
	return progress, nil
}

// streamProgress returns how much of a stream's request has been sent.
func streamProgress(stream *h2.Stream, sentOffset int64) gatekeeper.SendProgress {
	endOffset := stream.EndOffset
	if endOffset == 0 { // its last byte has not been written
		endOffset = math.MaxInt64
	}
	return sendProgress(stream.StartOffset, endOffset, sentOffset)
}

func (s *http2Protocol) sweep(now float64) error {
	switch {
	case s.inFlight() == 0:
		s.pingSentAt = 0
	case s.pingSentAt > 0 && now-s.pingSentAt > pingTimeoutMS:
		return errPingTimeout
	case s.pingSentAt == 0 && now-s.lastReadAt > pingAfterMS:
		s.pingSentAt = now
		s.session.Ping()
		s.conn.scheduleFlush()
	}
	return nil
}

// connLost implements muxProtocol. A stream of which no byte was sent never ran. Proofs by
// GOAWAY or REFUSED_STREAM were reported when they arrived. For all other streams the peer has
// part of the header block at least, and may have begun (RFC 9113, section 8.1).
func (s *http2Protocol) connLost(sentOffset int64) {
	var open []*h2.Stream
	s.session.EachStream(func(stream *h2.Stream) { open = append(open, stream) })
	slices.SortFunc(open, func(a, b *h2.Stream) int { return int(a.ID) - int(b.ID) })
	s.session.DropStreams()
	for _, stream := range open {
		s.conn.workerConns.endBroken(stream.Tag.(*streamExecution).execution, streamProgress(stream, sentOffset))
	}
}
