// Package link holds the connections of a gatekeeper to its clients, to its workers, to the
// shared counter and to service discovery. Each is an object with callbacks on one gnet event
// loop. The gatekeeper core runs on the same loop, so nothing here needs a lock.
//
// The loop does not use gnet's listener: gnet stops its engine when accept fails, as it does
// when the process runs out of file descriptors, and every open request would be lost.
// Instead, one goroutine accepts connections, a short-lived goroutine dials each outgoing one,
// and both hand the connections to the loop.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"
)

// conn is what an endpoint needs of its connection. gnet.Conn implements it.
type conn interface {
	Write([]byte) (int, error)
	OutboundBuffered() int
	Fd() int
}

// gnetConn is a connection that gnet serves.
type gnetConn interface {
	conn
	Dup() (int, error)
	SetContext(any)
}

// endpoint handles the events of one connection. Its methods run on the loop.
type endpoint interface {
	opened(c conn)
	traffic(b []byte)
	closed(err error)
}

// Loop is the event loop that all connections and the gatekeeper core run on.
type Loop struct {
	gnet.BuiltinEventEngine
	client            *gnet.Client
	events            gnet.EventLoop
	alarm             *time.Timer
	onAlarm           func()
	stopped           atomic.Bool
	iterations        iterationTracker
	pendingFlushes    []flusher // connections with buffered output
	batchesWrites     bool      // flushSoon has been called at least once
	flushPosted       bool      // flushAll is posted for the end of the iteration
	eventDepth        int       // nesting of beginEvent
	poller            *poller   // nil before the first pausable connection
	Budget            *Budget
	StreamBufferBytes int // limit on the bytes buffered by all pausable connections, 0 for none
}

// flusher is a connection that buffers its output and writes it in one call.
type flusher interface{ flush() }

// NewLoop starts an event loop whose connections stay within the budget.
func NewLoop(b *Budget) (*Loop, error) {
	loop := &Loop{Budget: b}
	client, err := gnet.NewClient(loop, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithWriteBufferCap(readBufferBytes), gnet.WithLogger(gnetLogger{}), gnet.WithLogLevel(logging.ErrorLevel))
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	loop.client = client
	if err := loop.registerAnchor(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	loop.alarm = time.AfterFunc(time.Hour, func() { loop.Post(func() { loop.onAlarm() }) })
	return loop, nil
}

const readBufferBytes = 64 << 10

// registerAnchor registers a connection that never receives anything. gnet exposes its event
// loop only through a connection, and Post needs the loop before the first real connection
// exists.
func (l *Loop) registerAnchor() error {
	conn, held, err := newSocketPair()
	if err != nil {
		slog.Info("loop: Unix sockets not available, using a UDP socket to register the loop", "error", err)
		if conn, err = newDiscardSocket(); err != nil {
			return err
		}
	}
	g, err := l.client.EnrollContext(conn, anchorEndpoint{held})
	if err != nil {
		return err
	}
	l.events = g.EventLoop()
	return nil
}

// newSocketPair returns the two ends of a pair of Unix sockets.
var newSocketPair = func() (net.Conn, io.Closer, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	near, far := os.NewFile(uintptr(fds[0]), "anchor"), os.NewFile(uintptr(fds[1]), "anchor")
	defer near.Close()
	c, err := net.FileConn(near)
	if err != nil {
		far.Close()
		return nil, nil, err
	}
	if c.RemoteAddr() == nil || c.LocalAddr() == nil { // gnet requires both addresses
		far.Close()
		c.Close()
		return nil, nil, errors.New("socket pair has no local or remote address")
	}
	return c, far, nil
}

// newDiscardSocket returns a UDP socket that receives from the local discard port only, and
// sends nothing. It stands in where Unix sockets are not available.
func newDiscardSocket() (net.Conn, error) {
	const discard = 9
	return net.DialUDP("udp4", nil, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: discard})
}

type anchorEndpoint struct {
	peer io.Closer // kept open while the loop runs; nil for a UDP socket
}

func (a anchorEndpoint) opened(conn)    {}
func (a anchorEndpoint) traffic([]byte) {}
func (a anchorEndpoint) closed(error) {
	if a.peer != nil {
		_ = a.peer.Close()
	}
}

// Post runs fn on the loop. Any goroutine may call it.
func (l *Loop) Post(fn func()) {
	runnable := gnet.RunnableFunc(func(context.Context) error {
		l.beginEvent()
		defer l.endEvent()
		fn()
		return nil
	})
	if err := l.events.Execute(context.Background(), runnable); err != nil && !l.stopped.Load() {
		slog.Error("loop: posted call rejected", "error", err)
	}
}

// flushSoon calls f.flush at the end of this event or of this loop iteration, as
// iterationTracker decides. It must be called on the loop.
func (l *Loop) flushSoon(f flusher, mark *writeMark) {
	l.batchesWrites = true
	if l.iterations.markDirty(mark) {
		l.pendingFlushes = append(l.pendingFlushes, f)
	}
}

// beginEvent and endEvent surround everything that runs on the loop. Calls may be nested.
func (l *Loop) beginEvent() {
	if l.eventDepth++; l.eventDepth == 1 && l.batchesWrites {
		l.iterations.beginEvent(time.Now())
	}
}

func (l *Loop) endEvent() {
	if l.eventDepth--; l.eventDepth > 0 || !l.batchesWrites {
		return
	}
	switch {
	case len(l.pendingFlushes) == 0:
	case !l.iterations.worthBatching():
		l.flushAll()
	case !l.flushPosted:
		l.flushPosted = true
		l.Post(l.flushAll) // posted functions run after the events of this iteration
	}
	l.iterations.endEvent(time.Now())
}

func (l *Loop) flushAll() {
	l.flushPosted = false
	for i := 0; i < len(l.pendingFlushes); i++ { // a flush may add to the list
		l.pendingFlushes[i].flush()
	}
	clear(l.pendingFlushes)
	l.pendingFlushes = l.pendingFlushes[:0]
}

// OnAlarm sets the function that is called at the time given to SetAlarm. It must be called
// before SetAlarm.
func (l *Loop) OnAlarm(fn func()) { l.onAlarm = fn }

// SetAlarm schedules a call of the alarm function in ms milliseconds. It replaces the previous
// schedule.
func (l *Loop) SetAlarm(ms float64) {
	l.alarm.Reset(time.Duration(max(ms, 0) * float64(time.Millisecond)))
}

// afterMS calls fn on the loop after ms milliseconds.
func (l *Loop) afterMS(ms float64, fn func()) {
	time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() {
		if !l.stopped.Load() {
			l.Post(fn)
		}
	})
}

// After calls fn on the loop after the given time.
func (l *Loop) After(wait time.Duration, fn func()) {
	l.afterMS(float64(wait)/float64(time.Millisecond), fn)
}

// Every calls fn on the loop repeatedly. The interval is from the end of one call to the start
// of the next.
func (l *Loop) Every(interval time.Duration, fn func()) {
	time.AfterFunc(interval, func() {
		if l.stopped.Load() {
			return
		}
		l.Post(func() {
			fn()
			l.Every(interval, fn)
		})
	})
}

// Stop ends the loop and closes all open connections.
func (l *Loop) Stop() error {
	l.stopped.Store(true)
	l.alarm.Stop()
	err := l.client.Stop()
	if l.poller != nil { // the loop has ended, so nothing else uses the poller
		l.poller.stop()
	}
	return err
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.beginEvent()
	defer l.endEvent()
	c.Context().(endpoint).opened(c)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.beginEvent()
	defer l.endEvent()
	b, err := c.Next(-1)
	if err == nil && len(b) > 0 {
		c.Context().(endpoint).traffic(b)
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	l.beginEvent()
	defer l.endEvent()
	if errors.Is(err, io.EOF) {
		err = endOfInput(c.Fd())
	}
	c.Context().(endpoint).closed(err)
	return gnet.None
}

// endOfInput returns io.EOF if the peer has closed a connection in an orderly way and all its input has been read.
// Otherwise it returns how the connection ended. gnet's io.EOF does not tell: gnet passes it for every event of an
// error or a hang-up without readable input, and epoll may report a reset in this way.
func endOfInput(fd int) error {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err != nil:
		return os.NewSyscallError("recvfrom", err)
	case n > 0:
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

func (l *Loop) closeConn(conn conn) {
	switch conn := conn.(type) {
	case *pausableConn:
		conn.close(nil)
	case gnet.Conn:
		_ = conn.EventLoop().Close(conn)
	}
}

// dial opens a connection and passes it to e, or calls failed. A dial is not cancelled with a
// request, because the connection serves many requests.
func (l *Loop) dial(addr string, timeout time.Duration, e endpoint, failed func(error)) {
	go func() {
		c, err := net.DialTimeout("tcp", addr, timeout)
		if err == nil {
			_, err = l.client.EnrollContext(c, e)
		}
		if err != nil {
			l.Post(func() { failed(err) })
		}
	}()
}

// Listener accepts client connections.
type Listener struct {
	*net.TCPListener
	acceptor interface{ Accept() (net.Conn, error) } // the listener itself, except in tests
	closing  atomic.Bool

	mu     sync.Mutex
	paused chan struct{} // non-nil while paused; closed on resume
}

// Listen opens the address that clients connect to. It sets SO_REUSEPORT, so that a new
// process can start beside the running one without receiving its listener.
func Listen(addr string) (*Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var inner error
		err := raw.Control(func(fd uintptr) {
			inner = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, inner)
	}}
	ln, err := shared.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return NewListener(ln.(*net.TCPListener)), nil
}

// NewListener wraps a listener that was opened by another process.
func NewListener(ln *net.TCPListener) *Listener { return &Listener{TCPListener: ln, acceptor: ln} }

// Accept hands each accepted connection to the loop, until the listener is closed. If file
// descriptors run out, it waits and tries again.
func (ln *Listener) Accept(loop *Loop, newClient func() *ClientConn) {
	const pause = 5 * time.Millisecond
	for {
		if wait := ln.pauseSignal(); wait != nil {
			<-wait
		}
		c, err := ln.acceptor.Accept()
		if err == nil {
			_, err = loop.client.EnrollContext(c, newClient())
		}
		if ln.closing.Load() {
			return
		}
		if err != nil && ln.pauseSignal() == nil {
			slog.Warn("accepting client connection failed", "error", err)
			time.Sleep(pause)
		}
	}
}

func (ln *Listener) pauseSignal() chan struct{} {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.paused
}

// Pause stops accepting, so that another process that shares the listener takes new
// connections.
func (ln *Listener) Pause() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.paused == nil {
		ln.paused = make(chan struct{})
		_ = ln.SetDeadline(time.Unix(1, 0)) // makes Accept return
	}
}

// Resume starts accepting again after Pause.
func (ln *Listener) Resume() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.paused != nil {
		_ = ln.SetDeadline(time.Time{})
		close(ln.paused)
		ln.paused = nil
	}
}

// Close stops accepting and closes the listener.
func (ln *Listener) Close() error {
	ln.closing.Store(true)
	err := ln.TCPListener.Close()
	ln.Resume() // lets a paused Accept see that the listener is closed
	return err
}

// gnetLogger forwards gnet's errors to slog and drops the rest.
type gnetLogger struct{}

func (gnetLogger) Debugf(string, ...any)          {}
func (gnetLogger) Infof(string, ...any)           {}
func (gnetLogger) Warnf(string, ...any)           {}
func (gnetLogger) Errorf(format string, a ...any) { slog.Error("gnet: " + fmt.Sprintf(format, a...)) }
func (gnetLogger) Fatalf(format string, a ...any) { slog.Error("gnet: " + fmt.Sprintf(format, a...)) }
