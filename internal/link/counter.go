package link

import (
	"bytes"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/policy"
)

const (
	counterShards        = 4      // a lane is one connection; fewer than the budget has
	counterIdleMS        = 4000.0 // milliseconds: the counter closes at 10 s or earlier
	counterLogIntervalMS = 1000.0 // milliseconds between two log lines
	counterResponseMS    = 250.0  // milliseconds without the answer that is next in turn
	counterPartialMS     = 20.0   // milliseconds for an answer that has begun to end
)

// Counter holds the links to the shared counter. Calls for one name share a lane,
// so that their answers come in the order of the calls. It implements
// gatekeeper.Counter.
type Counter struct {
	loop        *Loop
	core        *gatekeeper.Gatekeeper
	clock       *gatekeeper.Clock
	addr        string
	path        string
	dialTimeout time.Duration
	shards      [counterShards]counterShard
	scratch     []byte
	loggedAt    float64 // when the log last said that it is not reached
}

type counterShard struct {
	conn     *counterConn
	dialing  *counterConn // being opened
	draining *counterConn // to an address that is left, while its calls are answered
	waiting  []*gatekeeper.Count
}

// counterLink is one connection to the counter with its calls in their order.
type counterConn struct {
	counter    *Counter
	shard      *counterShard
	addr       string
	conn       conn
	parser     *http1.Parser
	calls      []pendingCall // those that have timed out too: their answers still take their turn
	lastReadAt float64
	partial    bool // an answer has begun
	isClosed   bool
}

type pendingCall struct {
	count  *gatekeeper.Count
	sentAt float64
}

// NewCounter makes the links to the counter at an address.
func NewCounter(l *Loop, clock *gatekeeper.Clock, addr, path string, connectMost float64) *Counter {
	return &Counter{loop: l, clock: clock, addr: addr, path: path,
		dialTimeout: time.Duration(connectMost * float64(time.Millisecond))}
}

// Attach names the core that the counter reports to.
func (s *Counter) Attach(core *gatekeeper.Gatekeeper) { s.core = core }

// Move sends calls to another address from now on. What was called before is still
// answered at the old one, and what comes later waits for that, so that the order
// for each name stays.
func (s *Counter) Move(addr string) {
	if s.addr == addr {
		return
	}
	s.addr = addr
	for i := range s.shards {
		shard := &s.shards[i]
		if l := shard.conn; l != nil {
			shard.conn = nil
			if len(l.calls) > 0 && shard.draining == nil {
				shard.draining = l
			} else {
				s.loop.closeConn(l.conn)
			}
		}
		shard.dialing = nil // one that is being opened leads to the old address
		if len(shard.waiting) > 0 {
			s.dial(shard)
		}
	}
}

// Add implements gatekeeper.Counter.
func (s *Counter) Add(call *gatekeeper.Count) {
	shard := &s.shards[call.Name%counterShards]
	if shard.conn != nil && shard.conn.overdue() {
		s.loop.closeConn(shard.conn.conn)
	}
	if shard.conn != nil && shard.draining == nil {
		shard.conn.write(call)
		return
	}
	shard.waiting = append(shard.waiting, call)
	if shard.conn == nil && shard.dialing == nil {
		s.dial(shard)
	}
}

func (s *Counter) dial(ln *counterShard) {
	l := &counterConn{counter: s, shard: ln, addr: s.addr, parser: http1.Answers()}
	ln.dialing = l
	s.loop.dial(s.addr, s.dialTimeout, l, l.dialFailed)
}

// flush writes the calls that have waited for their lane.
func (ln *counterShard) flush() {
	if ln.conn == nil || ln.draining != nil {
		return
	}
	waiting := ln.waiting
	ln.waiting = nil
	l := ln.conn
	for i, call := range waiting {
		if l.isClosed {
			l.counter.fail(waiting[i:])
			return
		}
		if !call.Over() { // nobody waits for one that is: leave the counter in peace
			l.write(call)
		}
	}
}

// Sweep closes links that rest, before the counter does, and links that have
// fallen silent, so that calls do not line up behind an answer that never comes.
func (s *Counter) Sweep() {
	now := s.clock.Now()
	for i := range s.shards {
		if old := s.shards[i].draining; old != nil && !old.hasWaiters() {
			s.loop.closeConn(old.conn)
		}
		conn := s.shards[i].conn
		if conn == nil {
			continue
		}
		if len(conn.calls) == 0 && now-conn.lastReadAt > counterIdleMS || conn.overdue() {
			s.loop.closeConn(conn.conn)
		}
	}
}

func (l *counterConn) opened(c conn) {
	l.conn, l.lastReadAt = c, l.counter.clock.Now()
	if l.shard.dialing != l { // the counter moved meanwhile
		l.counter.loop.closeConn(c)
		return
	}
	l.shard.dialing, l.shard.conn = nil, l
	l.shard.flush()
}

func (l *counterConn) dialFailed(err error) {
	if l.shard.dialing != l {
		return
	}
	l.shard.dialing = nil
	if s := l.counter; s.clock.Now()-s.loggedAt > counterLogIntervalMS {
		s.loggedAt = s.clock.Now()
		slog.Warn("counter: not reached, the slices decide alone", "error", err)
	}
	waiting := l.shard.waiting
	l.shard.waiting = nil
	l.counter.fail(waiting)
}

// silent tells whether the answer next in turn is long overdue. The counter turns calls
// away where its line is longer than a few of its callers' patience, so an answer that
// late does not come any more, and all calls behind it would time out.
func (l *counterConn) overdue() bool {
	return len(l.calls) > 0 && l.counter.clock.Now()-max(l.calls[0].sentAt, l.lastReadAt) > counterResponseMS
}

// awaited tells whether the answer to a call is still waited for.
func (l *counterConn) hasWaiters() bool {
	return slices.ContainsFunc(l.calls, func(c pendingCall) bool { return !c.count.Over() })
}

func (s *Counter) fail(calls []*gatekeeper.Count) {
	for _, c := range calls {
		s.core.Counted(c, policy.ConnectFailed, 0)
	}
}

func (l *counterConn) write(call *gatekeeper.Count) {
	s := l.counter
	out := append(append(s.scratch[:0], "POST "...), s.path...)
	out = strconv.AppendUint(append(out, '/'), call.Name, 16)
	out = strconv.AppendFloat(append(out, "?delta="...), call.Amount, 'f', -1, 64)
	out = strconv.AppendInt(append(out, "&life_ms="...), int64(max(math.Ceil(call.Life), 1)), 10)
	out = append(append(out, " HTTP/1.1\r\nHost: "...), l.addr...)
	out = append(out, "\r\nContent-Length: 0\r\n\r\n"...)
	s.scratch = out
	l.calls = append(l.calls, pendingCall{call, s.clock.Now()})
	_, _ = send(l.conn, out) // a failed write closes the link
}

func (l *counterConn) traffic(b []byte) {
	for len(b) > 0 && !l.isClosed {
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		if err != nil || len(l.calls) == 0 {
			l.counter.loop.closeConn(l.conn)
			return
		}
		if !done {
			l.checkPartial()
			return
		}
		l.partial = false
		call := l.calls[0].count
		l.calls = slices.Delete(l.calls, 0, 1)
		l.lastReadAt = l.counter.clock.Now()
		status, total := parseCounterResponse(l.parser.Message())
		end := l.parser.Message().Close || status == policy.Reset
		if end && l.shard.conn == l { // what is called from now on needs another link
			l.shard.conn = nil
		}
		l.parser.Reset()
		l.counter.core.Counted(call, status, total)
		if !l.isClosed && (end || l.shard.draining == l && !l.hasWaiters()) {
			l.counter.loop.closeConn(l.conn)
		}
	}
}

// part sees to it that an answer that has begun ends soon. It guards against one that
// never does, behind which all calls of the lane would time out.
func (l *counterConn) checkPartial() {
	if l.partial || !l.parser.Started() {
		return
	}
	l.partial = true
	c := l.calls[0].count
	l.counter.loop.afterMS(counterPartialMS, func() {
		if !l.isClosed && l.partial && len(l.calls) > 0 && l.calls[0].count == c {
			l.counter.loop.closeConn(l.conn)
		}
	})
}

// counted reads an answer. A spoilt one, Reset, says that the call was added, but
// neither to what nor where the next answer begins.
func parseCounterResponse(m *http1.Message) (policy.Status, float64) {
	switch m.Status {
	case 200:
		total, err := strconv.ParseFloat(string(bytes.TrimSpace(m.Body)), 64)
		if err != nil || !(math.Abs(total) <= math.MaxFloat64) { // what is given back may come before what it was
			return policy.Reset, 0
		}
		return policy.OK, total
	case 503:
		return policy.Full, 0
	case 400, 404:
		return policy.ConnectFailed, 0
	}
	return policy.Reset, 0
}

func (l *counterConn) closed(error) {
	l.isClosed = true
	if l.shard.conn == l {
		l.shard.conn = nil
	}
	calls := l.calls
	l.calls = nil
	for _, c := range calls {
		l.counter.core.Counted(c.count, policy.Reset, 0) // it may have been added
	}
	if l.shard.draining == l {
		l.shard.draining = nil
		l.shard.flush()
	}
}
