package link

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// gnet cannot stop reading from a connection. A connection that carries a large message is
// therefore taken from gnet and becomes a pausableConn. All of these share one epoll instance:
// one goroutine waits on it, and the events are handled on the loop.

const (
	readChunkBytes = 32 << 10 // bytes read at once
	maxWindowBytes = 64 << 10 // buffered bytes per side of a stream if memory allows,
	minWindowBytes = 8 << 10  // and if many streams share the memory
	maxPollEvents  = 64       // events handled per posted call
)

// pausableEndpoint is an endpoint whose connection can become a pausableConn.
type pausableEndpoint interface {
	endpoint
	// drained is called when the kernel has taken all output.
	drained()
}

type pausableConn struct {
	poller       *poller
	fd           int
	endpoint     pausableEndpoint
	out          []byte // output that the kernel has not taken yet
	paused       bool   // does not read
	events       uint32 // registered epoll events
	writtenBytes int    // total bytes that the kernel has taken
	closed       bool
}

// Fd implements conn.
func (f *pausableConn) Fd() int { return f.fd }

// OutboundBuffered implements conn.
func (f *pausableConn) OutboundBuffered() int { return len(f.out) }

// Write implements conn. A failed write closes the connection.
func (f *pausableConn) Write(b []byte) (int, error) {
	if f.closed {
		return 0, os.ErrClosed
	}
	n := len(b)
	if len(f.out) == 0 {
		sent, err := f.writeNow(b)
		if err != nil {
			f.close(err)
			return 0, err
		}
		b = b[sent:]
	}
	f.out = append(f.out, b...)
	f.updateEvents()
	return n, nil
}

// writeNow writes as much as the kernel takes.
func (f *pausableConn) writeNow(b []byte) (sent int, err error) {
	for sent < len(b) {
		n, err := unix.Write(f.fd, b[sent:])
		switch {
		case err == unix.EAGAIN:
			return sent, nil
		case err == unix.EINTR:
			continue
		case err != nil:
			return sent, os.NewSyscallError("write", err)
		}
		sent += n
		f.writtenBytes += n
	}
	return sent, nil
}

// setPaused stops or resumes reading.
func (f *pausableConn) setPaused(stop bool) {
	if f.paused != stop && !f.closed {
		f.paused = stop
		f.updateEvents()
	}
}

// updateEvents registers the epoll events that are needed now.
func (f *pausableConn) updateEvents() {
	var wants uint32
	if !f.paused {
		wants |= unix.EPOLLIN
	}
	if len(f.out) > 0 {
		wants |= unix.EPOLLOUT
	}
	if f.closed || wants == f.events {
		return
	}
	f.events = wants
	_ = unix.EpollCtl(f.poller.fd, unix.EPOLL_CTL_MOD, f.fd, &unix.EpollEvent{Events: wants, Fd: int32(f.fd)})
}

// handleEvents handles the epoll events of the connection.
func (f *pausableConn) handleEvents(events uint32, buffer []byte) {
	if events&unix.EPOLLOUT != 0 && len(f.out) > 0 {
		sent, err := f.writeNow(f.out)
		if err != nil {
			f.close(err)
			return
		}
		if f.out = f.out[:copy(f.out, f.out[sent:])]; len(f.out) == 0 {
			if cap(f.out) > 2*maxWindowBytes {
				f.out = nil
			}
			f.updateEvents()
			f.endpoint.drained()
		}
	}
	broken := events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 // reported even while paused
	if f.closed || !broken && (f.paused || events&unix.EPOLLIN == 0) {
		return
	}
	n, err := unix.Read(f.fd, buffer)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		if broken {
			f.close(os.NewSyscallError("poll", unix.ECONNRESET))
		}
	case err != nil:
		f.close(os.NewSyscallError("read", err))
	case n == 0:
		f.close(io.EOF)
	default:
		f.endpoint.traffic(buffer[:n])
	}
}

// close closes the connection and tells its endpoint. Output that the kernel has not taken is
// lost.
func (f *pausableConn) close(err error) {
	if f.closed {
		return
	}
	f.closed = true
	delete(f.poller.conns, f.fd)
	f.endpoint.closed(err)
	f.out = nil
	_ = unix.Close(f.fd)
}

// poller waits for events of all pausable connections.
type poller struct {
	loop    *Loop
	fd      int
	conns   map[int]*pausableConn
	buffer  []byte
	stopped chan struct{}
}

func newPoller(l *Loop) (*poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	p := &poller{loop: l, fd: fd, conns: map[int]*pausableConn{}, buffer: make([]byte, readChunkBytes),
		stopped: make(chan struct{})}
	go p.run()
	return p, nil
}

// run waits for events, posts their handling to the loop and waits until that is done.
func (p *poller) run() {
	const stopCheckMS = 500 // milliseconds between checks whether the loop has stopped
	defer unix.Close(p.fd)
	events := make([]unix.EpollEvent, maxPollEvents)
	for {
		n, err := unix.EpollWait(p.fd, events, stopCheckMS)
		if p.loop.stopped.Load() || err != nil && err != unix.EINTR {
			return
		}
		if n <= 0 {
			continue
		}
		served := make(chan struct{})
		p.loop.Post(func() {
			for _, e := range events[:n] {
				if f := p.conns[int(e.Fd)]; f != nil && !f.closed {
					f.handleEvents(e.Events, p.buffer)
				}
			}
			close(served)
		})
		select {
		case <-served:
		case <-p.stopped:
			return
		}
	}
}

// stop ends the poller after the loop has stopped.
func (p *poller) stop() {
	close(p.stopped)
	for _, f := range p.conns {
		_ = unix.Close(f.fd)
	}
}

// window returns how many bytes may be buffered on one side of a stream.
func (p *poller) window() int {
	if p.loop.StreamBufferBytes <= 0 {
		return maxWindowBytes
	}
	return max(min(p.loop.StreamBufferBytes/(2*max(len(p.conns), 1)), maxWindowBytes), minWindowBytes)
}

// makePausable takes a connection from gnet and turns it into a pausableConn with the same
// endpoint. It fails if gnet still has output to write.
func (l *Loop) makePausable(c conn, endpoint pausableEndpoint) (*pausableConn, bool) {
	if pausable, ok := c.(*pausableConn); ok {
		return pausable, true
	}
	conn, ok := c.(gnetConn)
	if !ok || conn.OutboundBuffered() > 0 {
		return nil, false
	}
	if l.poller == nil {
		p, err := newPoller(l)
		if err != nil {
			return nil, false
		}
		l.poller = p
	}
	fd, err := conn.Dup()
	if err != nil {
		return nil, false
	}
	pausable := &pausableConn{poller: l.poller, fd: fd, endpoint: endpoint, events: unix.EPOLLIN}
	if unix.SetNonblock(fd, true) != nil ||
		unix.EpollCtl(l.poller.fd, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: pausable.events, Fd: int32(fd)}) != nil {
		_ = unix.Close(fd)
		return nil, false
	}
	l.poller.conns[fd] = pausable
	conn.SetContext(detachedEndpoint{})
	l.closeConn(conn)
	return pausable, true
}

// detachedEndpoint replaces the endpoint of a gnet connection that became a pausableConn.
type detachedEndpoint struct{}

func (detachedEndpoint) opened(conn)    {}
func (detachedEndpoint) traffic([]byte) {}
func (detachedEndpoint) closed(error)   {}

// StreamUnsentBytes returns how many bytes of output pausable connections have buffered.
func (l *Loop) StreamUnsentBytes() (n int) {
	if l.poller != nil {
		for _, f := range l.poller.conns {
			n += len(f.out)
		}
	}
	return n
}

// StreamMemoryBytes returns the memory that pausable connections use for buffered output and
// for request bodies.
func (l *Loop) StreamMemoryBytes() (n int) {
	if l.poller != nil {
		for _, f := range l.poller.conns {
			n += cap(f.out)
			if c, ok := f.endpoint.(*ClientConn); ok && c.upload != nil {
				n += cap(c.upload.held)
			}
		}
	}
	return n
}
