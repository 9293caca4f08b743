package link

import (
	"errors"
	"fmt"
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/batch"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// items speaks the batch protocol (docs/batch-protocol.md): one POST that lasts as long
// as the link, with messages of several requests in its body's chunks, and their answers,
// each as it is done, in the chunks of the answer's.
type items struct {
	t       *trunk
	head    *http1.Parser // of the POST's own answer
	in      batch.Reader
	answer  *http1.Parser // of an item's
	fault   error         // of a message, met inside the parser
	next    uint64
	sent    []item                  // that are out, by number
	waiting []*gatekeeper.Execution // that are gathered for the next message
	due     float64                 // when that message goes out
	armed   float64                 // when the timer for it rings, 0 where none is set
	giveUps []uint64                // to be told with the next message
	text    []byte                  // that is to be written
	begun   int64                   // place of text's first byte in all that was written
	message []byte                  // scratch
	request []byte                  // scratch
	last    float64                 // when something came
	pinged  float64                 // when a sign of life was asked for, 0 where none is awaited
	pings   uint64
	begunAt float64 // when a message began that has not come whole, 0 where none has
	gone    bool    // the worker takes nothing new
	refused bool    // the worker does not speak this
}

type item struct {
	id  uint64
	x   *gatekeeper.Execution
	end int64 // place of its message's last byte
	at  float64
}

func newItems(t *trunk) speech {
	s := &items{t: t, head: http1.Answers(), answer: http1.Answers()}
	s.head.Piece = s.piece
	return s
}

func (s *items) hello() {
	s.last = s.t.fleet.clock.Now()
	s.text = fmt.Appendf(s.text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nAccept: %[3]s\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", s.t.fleet.transport.Path, s.t.addr, batch.ContentType)
}

func (s *items) farewell() []byte { return nil }

func (s *items) leaving() bool { return s.gone }

func (s *items) out() int { return len(s.sent) + len(s.waiting) }

func (s *items) room() int {
	if s.gone {
		return 0
	}
	return max(s.t.fleet.transport.Depth-s.out(), 0)
}

func (s *items) send(x *gatekeeper.Execution) {
	f := s.t.fleet
	now := f.clock.Now()
	if s.out() == 0 { // the silence before was nobody's
		s.last = now
	}
	due := now + f.table.Gather(x.Request.Class, f.transport.Gather, x.Timeout)
	if len(s.waiting) == 0 || due < s.due {
		s.due = due
	}
	s.waiting = append(s.waiting, x)
}

// written implements speech: it makes a message of what has been gathered, once that is
// due or something else has to be said.
func (s *items) written() []byte {
	if now := s.t.fleet.clock.Now(); len(s.waiting) > 0 && now < s.due && len(s.giveUps) == 0 {
		s.arm(now)
	} else if len(s.waiting)+len(s.giveUps) > 0 {
		s.gather()
	}
	b := s.text
	s.begun += int64(len(b))
	s.text = s.text[:0]
	return b
}

// arm sets a timer for the next message, unless one rings before.
func (s *items) arm(now float64) {
	if s.armed > 0 && s.armed <= s.due {
		return
	}
	at := s.due
	s.armed = at
	s.t.fleet.loop.after(at-now, func() {
		if s.armed == at {
			s.armed = 0
			s.t.flush()
		}
	})
}

// gather writes a message of all that has been gathered.
func (s *items) gather() {
	f := s.t.fleet
	m, now := s.message[:0], f.clock.Now()
	first := len(s.sent)
	for _, x := range s.waiting {
		s.next++
		s.request = f.message(s.request[:0], x, "", 0)
		m = batch.AppendItem(m, s.next, s.request)
		s.sent = append(s.sent, item{id: s.next, x: x, at: now})
	}
	clear(s.waiting)
	s.waiting = s.waiting[:0]
	for _, id := range s.giveUps {
		m = batch.AppendGiveUp(m, id)
	}
	s.giveUps = s.giveUps[:0]
	s.message = m
	s.chunk(m)
	// A worker has the message whole before the end of the chunk's line has come.
	for i := first; i < len(s.sent); i++ {
		s.sent[i].end = s.begun + int64(len(s.text)-len(chunkEnd))
	}
}

// chunk appends a message as a chunk of the POST's body.
func (s *items) chunk(m []byte) {
	s.request = batch.AppendMessage(s.request[:0], m)
	s.text = appendChunk(s.text, s.request)
}

var errEnded = errors.New("the worker ended the batch")

func (s *items) heard(b []byte) error {
	s.last, s.pinged = s.t.fleet.clock.Now(), 0
	_, done, err := s.head.Feed(b)
	if s.head.HeadDone() && s.head.Message().Status != 200 {
		s.refused = true
		return errEnded
	}
	switch {
	case s.fault != nil:
		return s.fault
	case err != nil:
		return err
	case done:
		return errEnded
	}
	if !s.in.Started() {
		s.begunAt = 0
	} else if s.begunAt == 0 {
		s.begunAt = s.last
	}
	return nil
}

// piece is given what comes of the answer's body.
func (s *items) piece(b []byte) {
	if s.fault == nil && s.head.Message().Status == 200 {
		s.fault = s.in.Feed(b, s.down)
	}
}

// down takes a message of the worker.
func (s *items) down(d *batch.Down) error {
	for _, done := range d.Done {
		if done.ID > s.next {
			return errUnasked
		}
		// one that was given up may still be answered
		if i := slices.IndexFunc(s.sent, func(it item) bool { return it.id == done.ID }); i >= 0 {
			s.ended(i, done)
		}
		if s.t.dead {
			return errEnded
		}
	}
	if d.Leaving {
		s.gone = true
		var never []*gatekeeper.Execution
		s.sent = slices.DeleteFunc(s.sent, func(it item) bool {
			if it.id > d.Last {
				never = append(never, it.x)
			}
			return it.id > d.Last
		})
		never = append(never, s.waiting...)
		s.waiting = nil
		for _, x := range never {
			s.t.fleet.end(x, policy.ConnectFailed)
		}
	}
	return nil
}

// ended gives an item its answer. A spoilt one is its own harm only: where the next
// begins is known from the message around it.
func (s *items) ended(i int, done batch.Done) {
	f, x, took := s.t.fleet, s.sent[i].x, s.last-s.sent[i].at
	s.sent = slices.Delete(s.sent, i, i+1)
	if done.NeverRan {
		f.end(x, policy.Full)
		return
	}
	s.answer.Reset()
	n, whole, err := s.answer.Feed(done.Answer)
	if err != nil || !whole || n < len(done.Answer) {
		f.end(x, policy.Reset)
		return
	}
	x.Slot = nil
	f.table.Learn(x.Request.Class, took)
	f.core.Done(x, f.reader.Outcome(s.answer.Message()))
}

// giveUp implements speech: a message tells the worker, and the link goes on.
func (s *items) giveUp(x *gatekeeper.Execution) (sent bool, err error) {
	if i := slices.Index(s.waiting, x); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false, nil
	}
	if i := slices.IndexFunc(s.sent, func(it item) bool { return it.x == x }); i >= 0 {
		s.giveUps = append(s.giveUps, s.sent[i].id)
		s.sent = slices.Delete(s.sent, i, i+1)
		return true, nil
	}
	return false, nil
}

func (s *items) sweep(now float64) error {
	switch {
	case s.begunAt > 0 && now-s.last > partMost:
		return errOverdue
	case len(s.sent) == 0:
		s.pinged = 0
	case s.pinged > 0 && now-s.pinged > pingMost:
		return errSilent
	case s.pinged == 0 && now-s.last > pingAfter:
		s.pinged = now
		s.pings++
		s.message = batch.AppendPing(s.message[:0], s.pings)
		s.chunk(s.message)
		s.t.touch()
	}
	return nil
}

// lost implements speech. An item never ran whose message did not leave whole, since a
// worker acts on whole messages only, and neither did any where the POST was refused.
func (s *items) lost(gone int64) {
	sent, waiting := s.sent, s.waiting
	s.sent, s.waiting = nil, nil
	for _, it := range sent {
		st := policy.Reset
		if it.end > gone || s.refused {
			st = policy.ConnectFailed
		}
		s.t.fleet.end(it.x, st)
	}
	for _, x := range waiting {
		s.t.fleet.end(x, policy.ConnectFailed)
	}
}
