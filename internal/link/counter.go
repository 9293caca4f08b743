package link

import (
	"log"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

const (
	counterLanes  = 4      // a lane is one connection; fewer than the budget has
	counterIdle   = 4000.0 // milliseconds: the counter closes at 10 s or earlier
	counterTell   = 1000.0 // milliseconds between two log lines
	counterSilent = 1500.0 // milliseconds without the answer that is next in turn
)

// Counter holds the links to the shared counter. Calls for one name share a lane,
// so that their answers come in the order of the calls. It implements
// gatekeeper.Counter.
type Counter struct {
	loop     *Loop
	core     *gatekeeper.Gatekeeper
	clock    *gatekeeper.Clock
	addr     string
	path     string
	patience time.Duration
	lanes    [counterLanes]lane
	out      []byte
	toldAt   float64 // when the log last said that it is not reached
}

type lane struct {
	open    *counterLink
	opening bool
	waiting []*gatekeeper.Count
}

// counterLink is one connection to the counter with its calls in their order.
type counterLink struct {
	set    *Counter
	lane   *lane
	c      gnet.Conn
	parser *http1.Parser
	calls  []call // those that have timed out too: their answers still take their turn
	last   float64
	dead   bool
}

type call struct {
	count *gatekeeper.Count
	at    float64
}

// NewCounter makes the links to the counter at an address.
func NewCounter(l *Loop, clock *gatekeeper.Clock, addr, path string, connectMost float64) *Counter {
	return &Counter{loop: l, clock: clock, addr: addr, path: path,
		patience: time.Duration(connectMost * float64(time.Millisecond))}
}

// Attach names the core that the counter reports to.
func (s *Counter) Attach(core *gatekeeper.Gatekeeper) { s.core = core }

// Add implements gatekeeper.Counter.
func (s *Counter) Add(c *gatekeeper.Count) {
	ln := &s.lanes[c.Name%counterLanes]
	if ln.open != nil {
		ln.open.write(c)
		return
	}
	ln.waiting = append(ln.waiting, c)
	if !ln.opening {
		ln.opening = true
		l := &counterLink{set: s, lane: ln, parser: http1.Answers()}
		s.loop.dial(s.addr, s.patience, l, l.failed)
	}
}

// Sweep closes links that rest, before the counter does, and links that have
// fallen silent, so that calls do not line up behind an answer that never comes.
func (s *Counter) Sweep() {
	now := s.clock.Now()
	for i := range s.lanes {
		l := s.lanes[i].open
		if l == nil {
			continue
		}
		idle := len(l.calls) == 0 && now-l.last > counterIdle
		if idle || len(l.calls) > 0 && now-max(l.calls[0].at, l.last) > counterSilent {
			s.loop.shut(l.c)
		}
	}
}

func (l *counterLink) opened(c gnet.Conn) {
	l.c, l.last = c, l.set.clock.Now()
	l.lane.opening, l.lane.open = false, l
	waiting := l.lane.waiting
	l.lane.waiting = nil
	for i, c := range waiting {
		if l.dead {
			l.set.fail(waiting[i:])
			return
		}
		if !c.Over() { // nobody waits for one that is: leave the counter in peace
			l.write(c)
		}
	}
}

func (l *counterLink) failed(err error) {
	l.lane.opening = false
	if s := l.set; s.clock.Now()-s.toldAt > counterTell {
		s.toldAt = s.clock.Now()
		log.Printf("counter: not reached, the slices decide alone: %v", err)
	}
	waiting := l.lane.waiting
	l.lane.waiting = nil
	l.set.fail(waiting)
}

func (s *Counter) fail(calls []*gatekeeper.Count) {
	for _, c := range calls {
		s.core.Counted(c, policy.ConnectFailed, 0)
	}
}

func (l *counterLink) write(c *gatekeeper.Count) {
	s := l.set
	out := append(append(s.out[:0], "POST "...), s.path...)
	out = strconv.AppendUint(append(out, '/'), c.Name, 16)
	out = strconv.AppendFloat(append(out, "?delta="...), c.Amount, 'f', -1, 64)
	out = strconv.AppendInt(append(out, "&life_ms="...), int64(max(math.Ceil(c.Life), 1)), 10)
	out = append(append(out, " HTTP/1.1\r\nHost: "...), s.addr...)
	out = append(out, "\r\nContent-Length: 0\r\n\r\n"...)
	s.out = out
	l.calls = append(l.calls, call{c, s.clock.Now()})
	_, _ = l.c.Write(out) // a failed write closes the link
}

func (l *counterLink) traffic(b []byte) {
	for len(b) > 0 && !l.dead {
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		if err != nil || done && len(l.calls) == 0 {
			l.set.loop.shut(l.c)
			return
		}
		if !done {
			return
		}
		c := l.calls[0].count
		l.calls = slices.Delete(l.calls, 0, 1)
		l.last = l.set.clock.Now()
		st, total := counted(l.parser.Message())
		end := l.parser.Message().Close
		l.parser.Reset()
		l.set.core.Counted(c, st, total)
		if end && !l.dead {
			l.set.loop.shut(l.c)
		}
	}
}

func counted(m *http1.Message) (policy.Status, float64) {
	switch m.Status {
	case 200:
		total, err := strconv.ParseFloat(string(m.Body), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return policy.Timeout, 0 // added, but to what is not known
		}
		return policy.OK, total
	case 503:
		return policy.Full, 0
	}
	return policy.ConnectFailed, 0
}

func (l *counterLink) closed(error) {
	l.dead = true
	if l.lane.open == l {
		l.lane.open = nil
	}
	calls := l.calls
	l.calls = nil
	for _, c := range calls {
		l.set.core.Counted(c.count, policy.Timeout, 0) // it may have been added
	}
}
