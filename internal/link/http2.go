package link

import (
	"slices"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/h2"
	"foxwood/internal/http1"
	"foxwood/policy"
)

const (
	// pingAfter is how many milliseconds a link with streams may be silent before it is
	// asked for a sign of life, and pingMost how many it has to give one.
	pingAfterMS   = 1000.0
	pingTimeoutMS = 1000.0
)

// streams speaks HTTP/2.
type http2Protocol struct {
	conn         *muxConn
	session      *h2.Session
	extraHeaders []byte
	lastReadAt   float64 // when something came
	pingSentAt   float64 // when a sign of life was asked for, 0 where none is awaited
}

// streamed is an execution on its stream, whose Tag it is.
type streamExecution struct {
	execution *gatekeeper.Execution
	sentAt    float64 // when it was sent
}

func newHTTP2Protocol(t *muxConn) muxProtocol {
	s := &http2Protocol{conn: t}
	s.session = h2.New(s, t.fleet.transport.Depth)
	return s
}

func (s *http2Protocol) start() { s.lastReadAt = s.conn.fleet.clock.Now() }

func (s *http2Protocol) finalBytes() []byte { return s.session.Out() }

func (s *http2Protocol) peerLeaving() bool { return s.session.Leaving() }

func (s *http2Protocol) inFlight() int { return s.session.Len() }

func (s *http2Protocol) room() int { return s.session.Room() }

func (s *http2Protocol) send(execution *gatekeeper.Execution) {
	fleet := s.conn.fleet
	payload := execution.Request.Payload.(*Payload)
	s.extraHeaders = append(append(s.extraHeaders[:0], fleet.reader.Left()...), ": "...)
	s.extraHeaders = append(strconv.AppendInt(s.extraHeaders, int64(max(execution.Timeout, 1)), 10), "\r\n"...)
	now := fleet.clock.Now()
	if s.inFlight() == 0 { // the silence before was nobody's
		s.lastReadAt = now
	}
	if err := s.session.Open(&streamExecution{execution, now}, payload.Head, s.extraHeaders, payload.Body); err != nil { // it was not built by a front
		fleet.endUnanswered(execution, policy.ConnectFailed)
	}
}

func (s *http2Protocol) takeOutput() []byte { return s.session.Out() }

func (s *http2Protocol) receive(b []byte) error {
	s.lastReadAt, s.pingSentAt = s.conn.fleet.clock.Now(), 0
	return s.session.Feed(b)
}

// Answered implements h2.Handler.
func (s *http2Protocol) Answered(stream *h2.Stream, message *http1.Message) {
	fleet, sent := s.conn.fleet, stream.Tag.(*streamExecution)
	fleet.estimator.Learn(sent.execution.Request.Class, s.lastReadAt-sent.sentAt)
	sent.execution.Slot = nil
	fleet.core.Done(sent.execution, fleet.reader.Outcome(message))
}

// Ended implements h2.Handler.
func (s *http2Protocol) Ended(stream *h2.Stream, why h2.Why) {
	status := policy.Reset
	switch why {
	case h2.Refused:
		status = policy.Full
	case h2.Unprocessed:
		status = policy.ConnectFailed
	}
	s.conn.fleet.endUnanswered(stream.Tag.(*streamExecution).execution, status)
}

// giveUp implements speech: RST_STREAM with CANCEL tells the peer, and the link goes on.
func (s *http2Protocol) cancel(execution *gatekeeper.Execution) (sent bool, err error) {
	s.session.Each(func(st *h2.Stream) {
		if st.Tag.(*streamExecution).execution == execution {
			sent = st.End > 0
			s.session.Cancel(st)
		}
	})
	return sent, nil
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

// lost implements speech. A stream of which no byte has left never ran. What a GOAWAY or
// REFUSED_STREAM proves has been told when it came; of all others the peer has at least
// the header, and may have begun (RFC 9113, section 8.1).
func (s *http2Protocol) connLost(sentOffset int64) {
	var open []*h2.Stream
	s.session.Each(func(stream *h2.Stream) { open = append(open, stream) })
	slices.SortFunc(open, func(a, b *h2.Stream) int { return int(a.ID) - int(b.ID) })
	s.session.Drop()
	for _, stream := range open {
		status := policy.Reset
		if stream.Start >= sentOffset {
			status = policy.ConnectFailed
		}
		s.conn.fleet.endUnanswered(stream.Tag.(*streamExecution).execution, status)
	}
}
