// Package handover lets a new process of a gatekeeper take the place of the one in
// service. The two meet at a Unix socket: the old one hands over its listener and what it
// knows, and until it has ended each tells the other what it draws.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxwood/internal/platform"
	"foxwood/policy"
)

// Version is of the words that are spoken here. Processes of different ones do not hand
// over.
const Version = 1

const (
	frameMost  = 32 << 20
	drawsMost  = 4096 // that wait to be written; a peer that far behind is lost
	pathMost   = 104  // bytes that a Unix socket's address has room for
	helloMost  = time.Second
	writeMost  = time.Second
	socketMode = 0o600
)

// Offer is what the old process hands over beside its listener.
type Offer struct {
	Version int
	State   policy.Snapshot
	List    platform.List
	Classes []string // names of the classes in force, by their places
}

// message is one frame: four bytes of length and JSON. Exactly one field is set.
type message struct {
	Hello int          `json:"hello,omitempty"` // the new process's version
	Offer *Offer       `json:"offer,omitempty"` // the listener comes with it
	Ready bool         `json:"ready,omitempty"` // the new process can serve
	Go    bool         `json:"go,omitempty"`    // the old one accepts no more
	Draw  *policy.Draw `json:"draw,omitempty"`
}

// Events is what a process does on what its peer says. They come one after the other, on
// a goroutine of the peer's.
type Events interface {
	// Ready tells the old process that the new one can serve.
	Ready(p *Peer)
	// Go tells the new process that it alone accepts.
	Go(p *Peer)
	// Drew tells what the other process has drawn.
	Drew(p *Peer, d policy.Draw)
	// Lost tells that the other process has gone, or makes no sense.
	Lost(p *Peer, err error)
}

// Peer is the other process.
type Peer struct {
	conn  *net.UnixConn
	out   chan message
	close sync.Once
	over  chan struct{}
}

// Path is where the processes for a clients' address meet, under a folder.
func Path(dir, listen string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 {
			return '_'
		}
		return r
	}, listen)
	return filepath.Join(dir, "foxwood-"+clean+".sock")
}

var errPeer = errors.New("handover: the peer does not speak as it should")

// Meet calls the process in service and takes what it offers. It fails where nobody is
// there, or does not answer whole and in time; then the start is an ordinary one.
func Meet(path string, patience time.Duration) (p *Peer, o *Offer, ln *net.TCPListener, err error) {
	until := time.Now().Add(patience)
	d := net.Dialer{Deadline: until}
	c, err := d.Dial("unix", path)
	if err != nil {
		return nil, nil, nil, err
	}
	conn := c.(*net.UnixConn)
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	if err := trusted(conn); err != nil {
		return nil, nil, nil, err
	}
	_ = conn.SetDeadline(until)
	if err := write(conn, message{Hello: Version}, -1); err != nil {
		return nil, nil, nil, err
	}
	m, fd, err := read(conn)
	if err == nil && (m.Offer == nil || m.Offer.Version != Version || fd < 0) {
		err = errPeer
	}
	if err != nil {
		if fd >= 0 {
			_ = syscall.Close(fd)
		}
		return nil, nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("handover: listener: %w", err)
	}
	ln, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, nil, nil, errPeer
	}
	_ = conn.SetDeadline(time.Time{})
	return newPeer(conn), m.Offer, ln, nil
}

// trusted refuses a peer of another user: whoever has the socket gets the clients.
func trusted(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var inner error
	if err := raw.Control(func(fd uintptr) {
		cred, inner = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if inner != nil {
		return inner
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: the peer is of user %d", cred.Uid)
	}
	return nil
}

func newPeer(c *net.UnixConn) *Peer {
	p := &Peer{conn: c, out: make(chan message, drawsMost), over: make(chan struct{})}
	go p.write()
	return p
}

// write sends what is told, in its order.
func (p *Peer) write() {
	for {
		select {
		case <-p.over:
			return
		case m := <-p.out:
			_ = p.conn.SetWriteDeadline(time.Now().Add(writeMost))
			if write(p.conn, m, -1) != nil {
				p.Close()
				return
			}
		}
	}
}

// Run hears the peer until it is lost.
func (p *Peer) Run(e Events) {
	for {
		m, fd, err := read(p.conn)
		if fd >= 0 {
			_ = syscall.Close(fd)
		}
		switch {
		case err != nil:
			p.Close()
			e.Lost(p, err)
			return
		case m.Ready:
			e.Ready(p)
		case m.Go:
			e.Go(p)
		case m.Draw != nil:
			e.Drew(p, *m.Draw)
		default:
			p.Close()
			e.Lost(p, errPeer)
			return
		}
	}
}

// tell never blocks. A peer that takes nothing more is lost.
func (p *Peer) tell(m message) {
	select {
	case p.out <- m:
	case <-p.over:
	default:
		p.Close()
	}
}

// Ready, Go and Draw tell the peer so. Any goroutine may call them.
func (p *Peer) Ready()             { p.tell(message{Ready: true}) }
func (p *Peer) Go()                { p.tell(message{Go: true}) }
func (p *Peer) Draw(d policy.Draw) { p.tell(message{Draw: &d}) }

// Close ends the meeting.
func (p *Peer) Close() {
	p.close.Do(func() { close(p.over); p.conn.Close() })
}

// Socket is where the process in service waits for a new one.
type Socket struct {
	ln   *net.UnixListener
	path string
}

// Wait opens the socket, in the place of one that is stale or another process's. Each new
// process that says hello is given to meet, on a goroutine of its own.
func Wait(path string, meet func(*Meeting)) (*Socket, error) {
	if len(path) > pathMost {
		return nil, fmt.Errorf("handover: %s is longer than a socket's address may be", path)
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid()) // put in place whole
	_ = os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then it may be another's
	if err := errors.Join(os.Chmod(fresh, socketMode), os.Rename(fresh, path)); err != nil {
		ln.Close()
		_ = os.Remove(fresh)
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Socket{ln: ln, path: path}
	go s.accept(meet)
	return s, nil
}

// accept hears one caller at a time, so that silent ones cost one descriptor.
func (s *Socket) accept(meet func(*Meeting)) {
	for {
		c, err := s.ln.AcceptUnix()
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(helloMost))
		m, fd, err := read(c)
		if fd >= 0 {
			_ = syscall.Close(fd)
		}
		if err != nil || m.Hello != Version || trusted(c) != nil {
			c.Close()
			continue
		}
		meet(&Meeting{conn: c})
	}
}

// Close stops waiting. The socket's name stays: a new process may have put its own there.
func (s *Socket) Close() { s.ln.Close() }

// Meeting is a new process that waits for an offer.
type Meeting struct{ conn *net.UnixConn }

// Offer hands over the listener, which stays open here, and what is known.
func (m *Meeting) Offer(o Offer, ln *net.TCPListener) (*Peer, error) {
	o.Version = Version
	raw, err := ln.SyscallConn()
	if err != nil {
		m.conn.Close()
		return nil, err
	}
	_ = m.conn.SetDeadline(time.Now().Add(2 * writeMost))
	var inner error
	err = raw.Control(func(fd uintptr) { inner = write(m.conn, message{Offer: &o}, int(fd)) })
	if err = errors.Join(err, inner); err != nil {
		m.conn.Close()
		return nil, err
	}
	_ = m.conn.SetDeadline(time.Time{})
	return newPeer(m.conn), nil
}

// write sends a frame, with a descriptor unless that is below 0.
func write(c *net.UnixConn, m message, fd int) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(text) > frameMost {
		return fmt.Errorf("handover: a message of %d bytes", len(text))
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	var rights []byte
	if fd >= 0 {
		rights = syscall.UnixRights(fd)
	}
	if n, _, err := c.WriteMsgUnix(head, rights, nil); err != nil || n < len(head) {
		return errors.Join(io.ErrShortWrite, err)
	}
	_, err = c.Write(text)
	return err
}

// read takes a frame, and the descriptor that came with it, or -1.
func read(c *net.UnixConn) (m message, fd int, err error) {
	fd = -1
	var head [4]byte
	rights := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := c.ReadMsgUnix(head[:], rights)
	if oobn > 0 {
		if parts, perr := syscall.ParseSocketControlMessage(rights[:oobn]); perr == nil {
			for _, part := range parts {
				if fds, ferr := syscall.ParseUnixRights(&part); ferr == nil {
					for _, one := range fds {
						if fd >= 0 {
							_ = syscall.Close(one)
							continue
						}
						fd = one
						syscall.CloseOnExec(fd)
					}
				}
			}
		}
	}
	if err != nil {
		return m, fd, err
	}
	if n == 0 {
		return m, fd, io.EOF
	}
	if _, err := io.ReadFull(c, head[n:]); err != nil {
		return m, fd, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > frameMost {
		return m, fd, errPeer
	}
	text, err := io.ReadAll(io.LimitReader(c, int64(size))) // grows with what comes, not with what is claimed
	if err != nil {
		return m, fd, err
	}
	if len(text) < int(size) {
		return m, fd, io.ErrUnexpectedEOF
	}
	err = json.Unmarshal(text, &m)
	return m, fd, err
}
