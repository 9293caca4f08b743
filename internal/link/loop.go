// Package link holds the connections of a gatekeeper: client links, server links,
// counter links and the discovery watch. They are objects with callbacks on one
// gnet event loop, which also owns the core; so nothing here needs a lock.
//
// The loop has no listener of gnet's: gnet ends its engine when accept fails, as
// it does where descriptors run out, and every request would be lost with it.
// One goroutine accepts, one short-lived goroutine opens each new connection,
// and both hand what they have to the loop.
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

// conn is what a link needs of its connection; gnet's has it.
type conn interface {
	Write([]byte) (int, error)
	OutboundBuffered() int
	Fd() int
}

// enrolled is a connection that gnet serves.
type gnetConn interface {
	conn
	Dup() (int, error)
	SetContext(any)
}

// endpoint is the object behind one connection. Its methods run on the loop.
type endpoint interface {
	opened(c conn)
	traffic(b []byte)
	closed(err error)
}

// Loop is the event loop that owns everything.
type Loop struct {
	gnet.BuiltinEventEngine
	client         *gnet.Client
	events         gnet.EventLoop
	alarm          *time.Timer
	onAlarm        func()
	stopped        atomic.Bool
	iterations     iterationTracker
	pendingFlushes []flusher // links with something to write
	batchesWrites  bool      // there are such links at all
	flushPosted    bool      // for the end of the turn
	eventDepth     int       // of events
	poller         *poller   // nil before the first flow
	Budget         *Budget
	Flowing        int // bytes that all flows may hold, 0 for no limit
}

// flusher is a link that writes what it has gathered in a turn of the loop at once.
type flusher interface{ flush() }

// NewLoop starts an event loop whose sockets stay within the budget.
func NewLoop(b *Budget) (*Loop, error) {
	l := &Loop{Budget: b}
	client, err := gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithWriteBufferCap(readBufferBytes), gnet.WithLogger(gnetLogger{}), gnet.WithLogLevel(logging.ErrorLevel))
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := client.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	l.client = client
	if err := l.registerAnchor(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	l.alarm = time.AfterFunc(time.Hour, func() { l.Post(func() { l.onAlarm() }) })
	return l, nil
}

const readBufferBytes = 64 << 10

// anchor enrols a connection that nothing ever comes on: gnet gives its event loop out
// with a connection only, and calls from other goroutines need it before the first.
func (l *Loop) registerAnchor() error {
	c, held, err := newSocketPair()
	if err != nil {
		slog.Info("loop: no Unix sockets here, a datagram socket holds its place", "error", err)
		if c, err = newDiscardSocket(); err != nil {
			return err
		}
	}
	g, err := l.client.EnrollContext(c, anchorEndpoint{held})
	if err != nil {
		return err
	}
	l.events = g.EventLoop()
	return nil
}

// quietPair is one end of a pair of Unix sockets, and the other.
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
	if c.RemoteAddr() == nil || c.LocalAddr() == nil { // gnet asks for both
		far.Close()
		c.Close()
		return nil, nil, errors.New("a pair of Unix sockets that tells no addresses")
	}
	return c, far, nil
}

// quietDatagrams is a socket that takes datagrams from one reserved port of this machine
// alone, and sends none.
func newDiscardSocket() (net.Conn, error) {
	const discard = 9
	return net.DialUDP("udp4", nil, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: discard})
}

type anchorEndpoint struct {
	peer io.Closer // for the life of the loop; nil for datagrams
}

func (a anchorEndpoint) opened(conn)    {}
func (a anchorEndpoint) traffic([]byte) {}
func (a anchorEndpoint) closed(error) {
	if a.peer != nil {
		_ = a.peer.Close()
	}
}

// Post runs do on the loop. Any goroutine may call it.
func (l *Loop) Post(fn func()) {
	runnable := gnet.RunnableFunc(func(context.Context) error {
		l.beginEvent()
		defer l.endEvent()
		fn()
		return nil
	})
	if err := l.events.Execute(context.Background(), runnable); err != nil && !l.stopped.Load() {
		slog.Error("loop: call not taken", "error", err)
	}
}

// flushSoon has a link written to when this event, or this turn of the loop, ends: see
// turns. Must be called on the loop.
func (l *Loop) flushSoon(f flusher, mark *writeMark) {
	l.batchesWrites = true
	if l.iterations.markDirty(mark) {
		l.pendingFlushes = append(l.pendingFlushes, f)
	}
}

// begin and end are around everything that runs on the loop; one may lie in another.
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
		l.Post(l.flushAll) // what is posted runs after the turn's events
	}
	l.iterations.endEvent(time.Now())
}

func (l *Loop) flushAll() {
	l.flushPosted = false
	for i := 0; i < len(l.pendingFlushes); i++ { // a flush may make others dirty
		l.pendingFlushes[i].flush()
	}
	clear(l.pendingFlushes)
	l.pendingFlushes = l.pendingFlushes[:0]
}

// OnAlarm names what Wake calls. It must be set before the first Wake.
func (l *Loop) OnAlarm(ring func()) { l.onAlarm = ring }

// Wake asks for a call of the alarm after so many milliseconds, instead of the
// one asked for before.
func (l *Loop) Wake(ms float64) {
	l.alarm.Reset(time.Duration(max(ms, 0) * float64(time.Millisecond)))
}

// after calls do on the loop once so many milliseconds are over.
func (l *Loop) afterMS(ms float64, fn func()) {
	time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() {
		if !l.stopped.Load() {
			l.Post(fn)
		}
	})
}

// After calls do on the loop once so much time is over.
func (l *Loop) After(wait time.Duration, fn func()) {
	l.afterMS(float64(wait)/float64(time.Millisecond), fn)
}

// Every calls do on the loop again and again.
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

// Stop ends the loop and closes what is still open.
func (l *Loop) Stop() error {
	l.stopped.Store(true)
	l.alarm.Stop()
	err := l.client.Stop()
	if l.poller != nil { // the loop has ended, so nobody else has it
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
	c.Context().(endpoint).closed(err)
	return gnet.None
}

func (l *Loop) closeConn(conn conn) {
	switch conn := conn.(type) {
	case *pausableConn:
		conn.close(nil)
	case gnet.Conn:
		_ = conn.EventLoop().Close(conn)
	}
}

// dial opens a connection and hands it to e, or calls failed. It belongs to a
// connection, which serves many requests, not to a request.
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
	acceptor interface{ Accept() (net.Conn, error) } // itself, but for tests
	closing  atomic.Bool

	mu     sync.Mutex
	paused chan struct{} // closed when it goes on; nil while it does
}

// Listen opens the one address that clients connect to. A new process may open it beside
// one that is in service (SO_REUSEPORT): so it can start where the other hands nothing over.
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
	return Inherited(ln.(*net.TCPListener)), nil
}

// Inherited is a listener that another process has opened.
func Inherited(ln *net.TCPListener) *Listener { return &Listener{TCPListener: ln, acceptor: ln} }

// Accept hands every client connection to the loop, until the listener closes.
// Running out of descriptors makes it wait, not end.
func (ln *Listener) Accept(loop *Loop, newClient func() *Client) {
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
			slog.Warn("client link not accepted", "error", err)
			time.Sleep(pause)
		}
	}
}

func (ln *Listener) pauseSignal() chan struct{} {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.paused
}

// Pause leaves what comes in to another process that has the listener too.
func (ln *Listener) Pause() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.paused == nil {
		ln.paused = make(chan struct{})
		_ = ln.SetDeadline(time.Unix(1, 0)) // Accept returns
	}
}

// Resume accepts again.
func (ln *Listener) Resume() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.paused != nil {
		_ = ln.SetDeadline(time.Time{})
		close(ln.paused)
		ln.paused = nil
	}
}

// Close stops accepting.
func (ln *Listener) Close() error {
	ln.closing.Store(true)
	err := ln.TCPListener.Close()
	ln.Resume() // that Accept sees it
	return err
}

// quiet passes on gnet's errors and drops the rest.
type gnetLogger struct{}

func (gnetLogger) Debugf(string, ...any)          {}
func (gnetLogger) Infof(string, ...any)           {}
func (gnetLogger) Warnf(string, ...any)           {}
func (gnetLogger) Errorf(format string, a ...any) { slog.Error("gnet: " + fmt.Sprintf(format, a...)) }
func (gnetLogger) Fatalf(format string, a ...any) { slog.Error("gnet: " + fmt.Sprintf(format, a...)) }
