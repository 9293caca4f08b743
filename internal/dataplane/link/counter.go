package link

import (
	"bytes"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

const (
	counterShards        = 4      // one connection each; fewer than the budget allows
	counterIdleMS        = 4000.0 // milliseconds; the counter closes idle connections after 10 s or less
	counterLogIntervalMS = 1000.0 // milliseconds between log messages
	counterResponseMS    = 250.0  // milliseconds without the next response
	counterPartialMS     = 20.0   // milliseconds for a partial response to become complete
)

// CounterConns holds the connections to the shared counter. Calls for the same name use the
// same connection, so that their responses arrive in the order of the calls. It implements
// gatekeeper.CounterClient.
type CounterConns struct {
	loop        *Loop
	core        *gatekeeper.Gatekeeper
	clock       *gatekeeper.Clock
	addr        string
	path        string
	dialTimeout time.Duration
	shards      [counterShards]counterShard
	scratch     []byte
	loggedAt    float64 // when the last failed dial was logged
}

type counterShard struct {
	conn     *counterConn
	dialing  *counterConn // being dialed
	draining *counterConn // to the former address, until its calls are answered
	waiting  []*gatekeeper.CounterCall
}

// counterConn is a connection to the counter, with its calls in their order.
type counterConn struct {
	counter    *CounterConns
	shard      *counterShard
	addr       string
	conn       conn
	parser     *http1.Parser
	calls      []pendingCall // includes calls that have timed out, because their responses still arrive
	lastReadAt float64
	partial    bool // a response is incomplete
	isClosed   bool
}

type pendingCall struct {
	count  *gatekeeper.CounterCall
	sentAt float64
}

// NewCounterConns returns the connections to the counter at an address. connectMS is the
// dial timeout in milliseconds.
func NewCounterConns(loop *Loop, clock *gatekeeper.Clock, addr, path string, connectMS float64) *CounterConns {
	return &CounterConns{loop: loop, clock: clock, addr: addr, path: path,
		dialTimeout: time.Duration(connectMS * float64(time.Millisecond))}
}

// SetCore sets the core that results are reported to.
func (s *CounterConns) SetCore(core *gatekeeper.Gatekeeper) { s.core = core }

// SetAddress sends calls to another address from now on. Earlier calls are still answered at
// the former address, and later calls wait for that, so that the order for each name is kept.
func (s *CounterConns) SetAddress(addr string) {
	if s.addr == addr {
		return
	}
	s.addr = addr
	for i := range s.shards {
		shard := &s.shards[i]
		if conn := shard.conn; conn != nil {
			shard.conn = nil
			if len(conn.calls) > 0 && shard.draining == nil {
				shard.draining = conn
			} else {
				s.loop.closeConn(conn.conn)
			}
		}
		shard.dialing = nil // a connection that is being dialed leads to the former address
		if len(shard.waiting) > 0 {
			s.dial(shard)
		}
	}
}

// Add implements gatekeeper.CounterClient.
func (s *CounterConns) Add(call *gatekeeper.CounterCall) {
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

func (s *CounterConns) dial(shard *counterShard) {
	conn := &counterConn{counter: s, shard: shard, addr: s.addr, parser: http1.NewResponseParser()}
	shard.dialing = conn
	s.loop.dial(s.addr, s.dialTimeout, conn, conn.dialFailed)
}

// flush sends the calls that have waited for the connection.
func (s *counterShard) flush() {
	if s.conn == nil || s.draining != nil {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	conn := s.conn
	for i, call := range waiting {
		if conn.isClosed {
			conn.counter.fail(waiting[i:])
			return
		}
		if !call.IsOver() { // no need to load the counter with calls that nobody waits for
			conn.write(call)
		}
	}
}

// Sweep closes idle connections before the counter does, and connections whose next response
// is overdue, so that calls do not queue behind a response that never arrives.
func (s *CounterConns) Sweep() {
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
	if l.shard.dialing != l { // SetAddress was called meanwhile
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
	if counter := l.counter; counter.clock.Now()-counter.loggedAt > counterLogIntervalMS {
		counter.loggedAt = counter.clock.Now()
		slog.Warn("counter: connection failed, local quota shares decide alone", "error", err)
	}
	waiting := l.shard.waiting
	l.shard.waiting = nil
	l.counter.fail(waiting)
}

// overdue reports whether the next response is long overdue. The counter rejects calls when
// its queue is longer than a few times its callers' timeout. So a response this late will not
// arrive, and all calls behind it would time out.
func (l *counterConn) overdue() bool {
	return len(l.calls) > 0 && l.counter.clock.Now()-max(l.calls[0].sentAt, l.lastReadAt) > counterResponseMS
}

// hasWaiters reports whether any call on the connection is still waited for.
func (l *counterConn) hasWaiters() bool {
	return slices.ContainsFunc(l.calls, func(c pendingCall) bool { return !c.count.IsOver() })
}

func (s *CounterConns) fail(calls []*gatekeeper.CounterCall) {
	for _, c := range calls {
		s.core.CounterCallEnded(c, policy.ConnectFailed, 0)
	}
}

func (l *counterConn) write(call *gatekeeper.CounterCall) {
	counter := l.counter
	out := append(append(counter.scratch[:0], "POST "...), counter.path...)
	out = strconv.AppendUint(append(out, '/'), call.Name, 16)
	out = strconv.AppendFloat(append(out, "?delta="...), call.Amount, 'f', -1, 64)
	out = strconv.AppendInt(append(out, "&life_ms="...), int64(max(math.Ceil(call.TTL), 1)), 10)
	out = append(append(out, " HTTP/1.1\r\nHost: "...), l.addr...)
	out = append(out, "\r\nContent-Length: 0\r\n\r\n"...)
	counter.scratch = out
	l.calls = append(l.calls, pendingCall{call, counter.clock.Now()})
	_, _ = send(l.conn, out) // a failed write closes the connection
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
		if end && l.shard.conn == l { // further calls need another connection
			l.shard.conn = nil
		}
		l.parser.Reset()
		l.counter.core.CounterCallEnded(call, status, total)
		if !l.isClosed && (end || l.shard.draining == l && !l.hasWaiters()) {
			l.counter.loop.closeConn(l.conn)
		}
	}
}

// checkPartial closes the connection if a partial response does not become complete soon.
// Otherwise all calls on the connection would time out behind it.
func (l *counterConn) checkPartial() {
	if l.partial || !l.parser.Started() {
		return
	}
	l.partial = true
	call := l.calls[0].count
	l.counter.loop.afterMS(counterPartialMS, func() {
		if !l.isClosed && l.partial && len(l.calls) > 0 && l.calls[0].count == call {
			l.counter.loop.closeConn(l.conn)
		}
	})
}

// parseCounterResponse interprets a response. For a malformed one it returns Reset: the amount
// may have been added, but the total and the start of the next response are unknown.
func parseCounterResponse(m *http1.Message) (policy.Status, float64) {
	switch m.Status {
	case 200:
		total, err := strconv.ParseFloat(string(bytes.TrimSpace(m.Body)), 64)
		// A total may be negative, because a refund can arrive before the amount it refunds.
		if err != nil || !(math.Abs(total) <= math.MaxFloat64) {
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
		l.counter.core.CounterCallEnded(c.count, policy.Reset, 0) // the amount may have been added
	}
	if l.shard.draining == l {
		l.shard.draining = nil
		l.shard.flush()
	}
}
