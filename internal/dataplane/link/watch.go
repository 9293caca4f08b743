package link

import (
	"bytes"
	"fmt"
	"log/slog"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
)

const (
	watchSilenceMS    = 6000.0 // milliseconds: the time in which three empty keep-alive lines are due
	watchRetryDelay   = 200 * time.Millisecond
	watchDialTimeout  = time.Second // timeout for opening the connection
	maxWatchLineBytes = 4 << 20
)

// Watch keeps a watch on the host group open. When the connection breaks, it watches again
// from the version that is then known.
type Watch struct {
	loop  *Loop
	clock *gatekeeper.Clock
	addr  string
	path  func() string
	line  func([]byte) error
	conn  *watchConn

	broken bool
	active bool // a connection is open, being dialed or about to be dialed
}

type watchConn struct {
	watch      *Watch
	addr       string
	conn       conn
	parser     *http1.Parser
	line       []byte
	lastReadAt float64
	err        error
	isClosed   bool
}

// NewWatch returns a watch that has not been started. path returns the path to request; each
// line that is not empty is passed to line.
func NewWatch(loop *Loop, clock *gatekeeper.Clock, addr string, path func() string, line func([]byte) error) *Watch {
	return &Watch{loop: loop, clock: clock, addr: addr, path: path, line: line}
}

// SetAddress moves the watch to another address, continuing from the known version. This
// avoids staying connected to an agent that is shutting down and sends no more updates.
func (w *Watch) SetAddress(addr string) {
	if w.addr == addr {
		return
	}
	w.addr = addr
	switch {
	case w.conn != nil:
		w.loop.closeConn(w.conn.conn)
	case !w.active:
		w.Start()
	}
}

// Start opens the watch.
func (w *Watch) Start() {
	w.active = true
	conn := &watchConn{watch: w, addr: w.addr, parser: http1.NewResponseParser()}
	conn.parser.OnBody = conn.bodyPiece
	w.loop.dial(w.addr, watchDialTimeout, conn, conn.closed)
}

// Sweep closes the connection if nothing has arrived on it for watchSilenceMS.
func (w *Watch) Sweep() {
	if conn := w.conn; conn != nil && w.clock.Now()-conn.lastReadAt > watchSilenceMS {
		w.loop.closeConn(conn.conn)
	}
}

func (l *watchConn) opened(c conn) {
	l.conn, l.lastReadAt, l.watch.conn = c, l.watch.clock.Now(), l
	if l.addr != l.watch.addr { // SetAddress was called meanwhile
		l.watch.loop.closeConn(c)
		return
	}
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", l.watch.path(), l.watch.addr)
}

func (l *watchConn) traffic(b []byte) {
	l.lastReadAt = l.watch.clock.Now()
	_, done, err := l.parser.Feed(b)
	switch {
	case l.err == nil && err != nil:
		l.err = err
	case done && l.err == nil:
		l.err = fmt.Errorf("watch response ended, status %d", l.parser.Message().Status)
	}
	if l.err != nil && !l.isClosed {
		l.watch.loop.closeConn(l.conn)
	}
}

func (l *watchConn) bodyPiece(b []byte) {
	if l.err != nil {
		return
	}
	if st := l.parser.Message().Status; st != 200 {
		l.err = fmt.Errorf("watch response has status %d, want 200", st)
		return
	}
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			if l.line = append(l.line, b...); len(l.line) > maxWatchLineBytes {
				l.err = fmt.Errorf("line of the watch exceeds %d bytes", maxWatchLineBytes)
			}
			return
		}
		l.line = append(l.line, b[:i]...)
		b = b[i+1:]
		if line := bytes.TrimSpace(l.line); len(line) > 0 {
			if l.err = l.watch.line(line); l.err != nil {
				return
			}
			l.watch.broken = false
		}
		l.line = l.line[:0]
	}
}

func (l *watchConn) closed(err error) {
	l.isClosed = true
	if l.watch.conn == l {
		l.watch.conn = nil
	}
	if l.err != nil {
		err = l.err
	}
	if l.watch.loop.stopped.Load() {
		return
	}
	if l.addr != l.watch.addr {
		l.watch.Start()
		return
	}
	if !l.watch.broken { // log once per interruption
		l.watch.broken = true
		slog.Warn("discovery: watch interrupted, reconnecting", "error", err)
	}
	time.AfterFunc(watchRetryDelay, func() { l.watch.loop.Post(l.watch.Start) })
}
