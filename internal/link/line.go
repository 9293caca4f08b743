package link

import (
	"errors"
	"slices"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/lanes"
	"foxwood/policy"
)

// line speaks HTTP/1.1 with several requests in a line (RFC 9112, section 9.3.2). Answers
// have nothing but their order to tell whose they are, so each request states a number
// that the worker copies into its answer. Until a link's first answer has shown that the
// worker does, it carries one request at a time; where the worker does not, it stays so,
// and rests between them as a serial link does.
type line struct {
	t       *trunk
	parser  *http1.Parser
	text    []byte
	begun   int64 // place of text's first byte in all that was written
	turn    uint64
	items   []lineItem
	entries []lanes.Entry // of items
	proved  bool          // the worker copies the number
	plain   bool          // it does not
	ends    bool          // the last answer said that it closes the link
	part    uint64        // the turn whose answer has begun
	last    float64       // when something came
}

type lineItem struct {
	x          *gatekeeper.Execution
	turn       uint64
	start, end int64 // places of its bytes
}

func newLine(t *trunk) speech { return &line{t: t, parser: http1.Answers()} }

func (l *line) hello() {}

func (l *line) farewell() []byte { return nil }

func (l *line) leaving() bool { return l.ends }

func (l *line) out() int { return len(l.items) }

// depth is how many requests the line takes.
func (l *line) depth() int {
	if l.proved {
		return l.t.fleet.transport.Depth
	}
	return 1
}

func (l *line) room() int {
	if l.plain && (len(l.items) > 0 || !l.settled()) {
		return 0
	}
	return max(l.depth()-len(l.items), 0)
}

// settled tells whether a plain link has rested and nothing has come meanwhile: see
// serial.take.
func (l *line) settled() bool {
	return l.t.fleet.clock.Now()-l.last >= settleFor && unheard(l.t.c)
}

func (l *line) send(x *gatekeeper.Execution) {
	f := l.t.fleet
	l.turn++
	item := lineItem{x: x, turn: l.turn, start: l.begun + int64(len(l.text))}
	l.text = f.message(l.text, x, f.transport.Echo, l.turn)
	item.end = l.begun + int64(len(l.text))
	l.items = append(l.items, item)
	l.entries = append(l.entries, lanes.Entry{Class: x.Request.Class, Since: f.clock.Now()})
}

func (l *line) written() []byte {
	b := l.text
	l.begun += int64(len(b))
	l.text = l.text[:0]
	return b
}

var (
	errUnasked  = errors.New("an answer that nothing was asked for")
	errNotMine  = errors.New("an answer to another request")
	errOverdue  = errors.New("an answer has begun and does not end")
	errCantTell = errors.New("the peer can't be told to give one request up")
	errSilent   = errors.New("the peer gives no sign of life")
)

func (l *line) heard(b []byte) error {
	for len(b) > 0 && !l.t.dead {
		if len(l.items) == 0 {
			return errUnasked
		}
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		if err != nil {
			return err
		}
		l.last = l.t.fleet.clock.Now()
		if !done {
			if l.parser.Started() && l.part != l.items[0].turn {
				l.part = l.items[0].turn
				l.hurry()
			}
			return nil
		}
		if err := l.answered(); err != nil {
			return err
		}
	}
	return nil
}

// hurry ends the link where an answer has begun and nothing more comes: see server.hurry.
func (l *line) hurry() {
	if l.t.dead || len(l.items) == 0 || l.items[0].turn != l.part {
		return
	}
	left := l.last + partMost - l.t.fleet.clock.Now()
	if left <= 0 {
		l.t.shut()
		return
	}
	l.t.fleet.loop.after(left, l.hurry)
}

// answered gives the first in line its answer. It guards against a second copy, noise or
// a spoilt answer in the middle of a line, which would be read as the answer of the next:
// one that does not state its request's number ends the link.
func (l *line) answered() error {
	m, it, f := l.parser.Message(), l.items[0], l.t.fleet
	said, once := m.Single(f.transport.Echo)
	switch {
	case once && string(said) == strconv.FormatUint(it.turn, 10):
		l.proved, l.plain = true, false
	case m.Count(f.transport.Echo) > 0 || l.proved || len(l.items) > 1:
		return errNotMine
	default:
		l.plain = true
		f.loop.after(settleFor, l.t.set.pump)
	}
	now := l.last
	f.table.Learn(it.x.Request.Class, now-l.entries[0].Since)
	l.items = slices.Delete(l.items, 0, 1)
	l.entries = slices.Delete(l.entries, 0, 1)
	if len(l.entries) > 0 {
		l.entries[0].Since = now
	}
	l.ends = m.Close
	o := f.reader.Outcome(m)
	it.x.Slot = nil
	f.core.Done(it.x, o)
	if l.ends {
		return errUnasked // nothing behind this answer will be given one
	}
	l.parser.Reset()
	return nil
}

// giveUp implements speech. HTTP/1.1 has no way to tell the peer, so the link must end,
// unless the request is the last in line and nothing of it has been written.
func (l *line) giveUp(x *gatekeeper.Execution) (sent bool, err error) {
	i := slices.IndexFunc(l.items, func(it lineItem) bool { return it.x == x })
	if i < 0 {
		return false, nil
	}
	it := l.items[i]
	l.items = slices.Delete(l.items, i, i+1)
	l.entries = slices.Delete(l.entries, i, i+1)
	if i == len(l.items) && it.start >= l.begun {
		l.text = l.text[:it.start-l.begun]
		return false, nil
	}
	return it.end <= l.begun-int64(l.t.c.OutboundBuffered()), errCantTell
}

func (l *line) sweep(float64) error { return nil }

// lost implements speech.
//
//	what is known of the request when the link breaks       what it proves
//	its answer came whole                                   served, or what the answer says
//	its answer had begun                                    ran
//	its last byte had been written                          may have run
//	it was not written to its last byte                     never ran: a server does not act on
//	                                                        a part (RFC 9112, section 8)
//	it stood behind an answer with "Connection: close"      never ran: a server must not process
//	                                                        what comes after it (RFC 9112, section
//	                                                        9.6); one that works on several at once
//	                                                        does so only with safe requests (section
//	                                                        9.3.2), which may run again anyway
//	it stood behind a spoilt answer                         may have run
func (l *line) lost(gone int64) {
	items := l.items
	l.items, l.entries = nil, nil
	for _, it := range items {
		st := policy.Reset
		if it.end > gone || l.ends {
			st = policy.ConnectFailed
		}
		l.t.fleet.end(it.x, st)
	}
}

// lineChooser asks the lanes which line a request may stand in.
type lineChooser struct {
	set    *shared
	lines  []lanes.Line
	trunks []*trunk
}

func (c *lineChooser) choose(x *gatekeeper.Execution) (to *trunk, open bool) {
	s := c.set
	c.lines, c.trunks = c.lines[:0], c.trunks[:0]
	for _, t := range s.trunks {
		l := t.speech.(*line)
		if t.room() > 0 {
			c.lines = append(c.lines, lanes.Line{Entries: l.entries, Most: l.depth()})
			c.trunks = append(c.trunks, t)
		}
	}
	f := s.fleet
	coming := s.openings >= len(s.queue)
	at := f.table.Choose(f.clock.Now(), x.Request.Class, c.lines, s.links < f.transport.Links && !coming, !coming)
	if at >= 0 {
		return c.trunks[at], false
	}
	return nil, at == lanes.Open
}
