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
	pingAfter = 1000.0
	pingMost  = 1000.0
)

// streams speaks HTTP/2.
type streams struct {
	t       *trunk
	session *h2.Session
	extra   []byte
	last    float64 // when something came
	pinged  float64 // when a sign of life was asked for, 0 where none is awaited
}

// streamed is an execution on its stream, whose Tag it is.
type streamed struct {
	x  *gatekeeper.Execution
	at float64 // when it was sent
}

func newStreams(t *trunk) speech {
	s := &streams{t: t}
	s.session = h2.New(s, t.fleet.transport.Depth)
	return s
}

func (s *streams) hello() { s.last = s.t.fleet.clock.Now() }

func (s *streams) farewell() []byte { return s.session.Out() }

func (s *streams) leaving() bool { return s.session.Leaving() }

func (s *streams) out() int { return s.session.Len() }

func (s *streams) room() int { return s.session.Room() }

func (s *streams) send(x *gatekeeper.Execution) {
	f := s.t.fleet
	p := x.Request.Payload.(*Payload)
	s.extra = append(append(s.extra[:0], f.reader.Left()...), ": "...)
	s.extra = append(strconv.AppendInt(s.extra, int64(max(x.Timeout, 1)), 10), "\r\n"...)
	now := f.clock.Now()
	if s.out() == 0 { // the silence before was nobody's
		s.last = now
	}
	if err := s.session.Open(&streamed{x, now}, p.Head, s.extra, p.Body); err != nil { // it was not built by a front
		f.end(x, policy.ConnectFailed)
	}
}

func (s *streams) written() []byte { return s.session.Out() }

func (s *streams) heard(b []byte) error {
	s.last, s.pinged = s.t.fleet.clock.Now(), 0
	return s.session.Feed(b)
}

// Answered implements h2.Handler.
func (s *streams) Answered(st *h2.Stream, m *http1.Message) {
	f, sent := s.t.fleet, st.Tag.(*streamed)
	f.table.Learn(sent.x.Request.Class, s.last-sent.at)
	sent.x.Slot = nil
	f.core.Done(sent.x, f.reader.Outcome(m))
}

// Ended implements h2.Handler.
func (s *streams) Ended(st *h2.Stream, why h2.Why) {
	status := policy.Reset
	switch why {
	case h2.Refused:
		status = policy.Full
	case h2.Unprocessed:
		status = policy.ConnectFailed
	}
	s.t.fleet.end(st.Tag.(*streamed).x, status)
}

// giveUp implements speech: RST_STREAM with CANCEL tells the peer, and the link goes on.
func (s *streams) giveUp(x *gatekeeper.Execution) (sent bool, err error) {
	s.session.Each(func(st *h2.Stream) {
		if st.Tag.(*streamed).x == x {
			sent = st.End > 0
			s.session.Cancel(st)
		}
	})
	return sent, nil
}

func (s *streams) sweep(now float64) error {
	switch {
	case s.out() == 0:
		s.pinged = 0
	case s.pinged > 0 && now-s.pinged > pingMost:
		return errSilent
	case s.pinged == 0 && now-s.last > pingAfter:
		s.pinged = now
		s.session.Ping()
		s.t.touch()
	}
	return nil
}

// lost implements speech. A stream of which no byte has left never ran. What a GOAWAY or
// REFUSED_STREAM proves has been told when it came; of all others the peer has at least
// the header, and may have begun (RFC 9113, section 8.1).
func (s *streams) lost(gone int64) {
	var left []*h2.Stream
	s.session.Each(func(st *h2.Stream) { left = append(left, st) })
	slices.SortFunc(left, func(a, b *h2.Stream) int { return int(a.ID) - int(b.ID) })
	s.session.Drop()
	for _, st := range left {
		status := policy.Reset
		if st.Start >= gone {
			status = policy.ConnectFailed
		}
		s.t.fleet.end(st.Tag.(*streamed).x, status)
	}
}
