package link

import (
	"bytes"
	"fmt"
	"log/slog"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
)

const (
	watchSilent  = 6000.0 // milliseconds: three of the lines that say nothing
	watchAgain   = 200 * time.Millisecond
	watchPatient = time.Second // for a connection to come up
	lineMost     = 4 << 20
)

// Watch keeps a watch on the host group open. After a break it asks anew, from
// the version that is held by then.
type Watch struct {
	loop  *Loop
	clock *gatekeeper.Clock
	addr  string
	path  func() string
	line  func([]byte) error
	open  *watchLink

	broken bool
	asking bool // a link is open, being opened or soon to be
}

type watchLink struct {
	w      *Watch
	addr   string
	c      conn
	parser *http1.Parser
	line   []byte
	last   float64
	err    error
	dead   bool
}

// NewWatch makes a watch. The path names what is asked for; every line that is
// not empty goes to line.
func NewWatch(l *Loop, clock *gatekeeper.Clock, addr string, path func() string, line func([]byte) error) *Watch {
	return &Watch{loop: l, clock: clock, addr: addr, path: path, line: line}
}

// Move watches at another address from now on, from the version that is held. It
// guards against staying with an agent that is shutting down and tells nothing more.
func (w *Watch) Move(addr string) {
	if w.addr == addr {
		return
	}
	w.addr = addr
	switch {
	case w.open != nil:
		w.loop.shut(w.open.c)
	case !w.asking:
		w.Start()
	}
}

// Start opens the watch.
func (w *Watch) Start() {
	w.asking = true
	l := &watchLink{w: w, addr: w.addr, parser: http1.Answers()}
	l.parser.Piece = l.piece
	w.loop.dial(w.addr, watchPatient, l, l.closed)
}

// Sweep breaks a watch that has fallen silent.
func (w *Watch) Sweep() {
	if l := w.open; l != nil && w.clock.Now()-l.last > watchSilent {
		w.loop.shut(l.c)
	}
}

func (l *watchLink) opened(c conn) {
	l.c, l.last, l.w.open = c, l.w.clock.Now(), l
	if l.addr != l.w.addr { // the watch moved meanwhile
		l.w.loop.shut(c)
		return
	}
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", l.w.path(), l.w.addr)
}

func (l *watchLink) traffic(b []byte) {
	l.last = l.w.clock.Now()
	_, done, err := l.parser.Feed(b)
	switch {
	case l.err == nil && err != nil:
		l.err = err
	case done && l.err == nil:
		l.err = fmt.Errorf("the watch ended with status %d", l.parser.Message().Status)
	}
	if l.err != nil && !l.dead {
		l.w.loop.shut(l.c)
	}
}

func (l *watchLink) piece(b []byte) {
	if l.err != nil {
		return
	}
	if st := l.parser.Message().Status; st != 200 {
		l.err = fmt.Errorf("the watch was answered with status %d", st)
		return
	}
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			if l.line = append(l.line, b...); len(l.line) > lineMost {
				l.err = fmt.Errorf("a line of the watch is longer than %d bytes", lineMost)
			}
			return
		}
		l.line = append(l.line, b[:i]...)
		b = b[i+1:]
		if line := bytes.TrimSpace(l.line); len(line) > 0 {
			if l.err = l.w.line(line); l.err != nil {
				return
			}
			l.w.broken = false
		}
		l.line = l.line[:0]
	}
}

func (l *watchLink) closed(err error) {
	l.dead = true
	if l.w.open == l {
		l.w.open = nil
	}
	if l.err != nil {
		err = l.err
	}
	if l.w.loop.stopped.Load() {
		return
	}
	if l.addr != l.w.addr {
		l.w.Start()
		return
	}
	if !l.w.broken { // told once, until it works again
		l.w.broken = true
		slog.Warn("discovery: watch broken, asking again", "error", err)
	}
	time.AfterFunc(watchAgain, func() { l.w.loop.Post(l.w.Start) })
}
