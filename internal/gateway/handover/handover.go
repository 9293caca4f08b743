// Package handover replaces a running gatekeeper process by a new one without interruption.
// The new process connects to a Unix socket of the old one, which sends its listener and its
// state. Until the old process has ended, each reports its quota draws to the other.
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

	"foxwood/internal/gateway/platform"
	"foxwood/policy"
)

// ProtocolVersion is the version of the handover protocol. Processes with different versions don't
// hand over.
const ProtocolVersion = 1

const (
	maxFrameBytes      = 32 << 20
	maxQueuedMessages  = 4096        // messages waiting to be written; beyond them the connection is closed
	maxSocketPathBytes = 104         // limit of the operating system for the address of a Unix socket
	helloTimeout       = time.Second // from a connection until its hello has been read
	writeTimeout       = time.Second // for one message; an offer has twice as long
	socketMode         = 0o600
)

// Offer is what the old process hands over together with its listener.
type Offer struct {
	Version    int                 // of the protocol
	State      policy.Snapshot     // state of the decision module
	Workers    platform.WorkerList `json:"List"`    // workers
	ClassNames []string            `json:"Classes"` // names of the active request classes, by their index
}

// message is the content of a frame, which has four bytes of length and the message as JSON.
// Exactly one field is set.
type message struct {
	Hello    int              `json:"hello,omitempty"` // protocol version of the new process
	Offer    *Offer           `json:"offer,omitempty"` // the descriptor of the listener comes with it
	Ready    bool             `json:"ready,omitempty"` // the new process can serve
	Released bool             `json:"go,omitempty"`    // the old process has stopped accepting
	Draw     *policy.PeerDraw `json:"draw,omitempty"`  // a quota draw of the sender
}

// EventHandler handles the messages of the other process. Its methods are called one at a time, by
// Peer.Run.
type EventHandler interface {
	// PeerReady is called in the old process when the new one can serve.
	PeerReady(p *Peer)
	// PeerReleased is called in the new process when the old one has stopped accepting.
	PeerReleased(p *Peer)
	// PeerDrew is called with each quota draw of the other process.
	PeerDrew(p *Peer, d policy.PeerDraw)
	// PeerLost is called once, when the connection has ended or an invalid message has arrived.
	PeerLost(p *Peer, err error)
}

// Peer is a connection to the other process.
type Peer struct {
	conn  *net.UnixConn
	queue chan message
	close sync.Once
	done  chan struct{}
}

// SocketPath returns the path of the handover socket in a directory, for processes that serve the
// same listen address.
func SocketPath(dir, listenAddr string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '/' || r == 0 {
			return '_'
		}
		return r
	}, listenAddr)
	return filepath.Join(dir, "foxwood-"+clean+".sock")
}

var errProtocol = errors.New("handover: protocol error")

// Connect connects to the running process and receives its offer. It fails if there is no such
// process, or if its offer is invalid, incomplete or late. The caller then starts without a
// handover.
func Connect(path string, timeout time.Duration) (peer *Peer, offer *Offer, listener *net.TCPListener, err error) {
	deadline := time.Now().Add(timeout)
	dialer := net.Dialer{Deadline: deadline}
	c, err := dialer.Dial("unix", path)
	if err != nil {
		return nil, nil, nil, err
	}
	conn := c.(*net.UnixConn)
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	if err := checkPeerUser(conn); err != nil {
		return nil, nil, nil, err
	}
	_ = conn.SetDeadline(deadline)
	if err := writeFrame(conn, message{Hello: ProtocolVersion}, -1); err != nil {
		return nil, nil, nil, err
	}
	msg, fd, err := readFrame(conn)
	if err == nil && (msg.Offer == nil || msg.Offer.Version != ProtocolVersion || fd < 0) {
		err = fmt.Errorf("%w: expected an offer of version %d with a listener, got another message", errProtocol, ProtocolVersion)
	}
	if err != nil {
		if fd >= 0 {
			_ = syscall.Close(fd)
		}
		return nil, nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	inherited, err := net.FileListener(file)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("handover: listener: %w", err)
	}
	listener, ok := inherited.(*net.TCPListener)
	if !ok {
		inherited.Close()
		return nil, nil, nil, fmt.Errorf("%w: expected a TCP listener, got %T", errProtocol, inherited)
	}
	_ = conn.SetDeadline(time.Time{})
	return newPeer(conn), msg.Offer, listener, nil
}

// checkPeerUser rejects a peer of another user, since the peer gets or gives the listener for
// clients.
func checkPeerUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *syscall.Ucred
	var sockoptErr error
	if err := raw.Control(func(fd uintptr) {
		credentials, sockoptErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if sockoptErr != nil {
		return sockoptErr
	}
	if int(credentials.Uid) != os.Getuid() {
		return fmt.Errorf("handover: the peer runs as user %d, expected user %d", credentials.Uid, os.Getuid())
	}
	return nil
}

func newPeer(conn *net.UnixConn) *Peer {
	p := &Peer{conn: conn, queue: make(chan message, maxQueuedMessages), done: make(chan struct{})}
	go p.writeLoop()
	return p
}

// writeLoop writes the queued messages in their order.
func (p *Peer) writeLoop() {
	for {
		select {
		case <-p.done:
			return
		case msg := <-p.queue:
			_ = p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if writeFrame(p.conn, msg, -1) != nil {
				p.Close()
				return
			}
		}
	}
}

// Run reads messages and passes them to events until the connection ends.
func (p *Peer) Run(events EventHandler) {
	for {
		msg, fd, err := readFrame(p.conn)
		if fd >= 0 {
			_ = syscall.Close(fd)
		}
		switch {
		case err != nil:
			p.Close()
			events.PeerLost(p, err)
			return
		case msg.Ready:
			events.PeerReady(p)
		case msg.Released:
			events.PeerReleased(p)
		case msg.Draw != nil:
			events.PeerDrew(p, *msg.Draw)
		default:
			p.Close()
			events.PeerLost(p, fmt.Errorf("%w: expected ready, go or draw, got another message", errProtocol))
			return
		}
	}
}

// send queues a message and never blocks. If the queue is full the connection is closed.
func (p *Peer) send(msg message) {
	select {
	case p.queue <- msg:
	case <-p.done:
	default:
		p.Close()
	}
}

// SendReady tells the old process that this one can serve. Any goroutine may call it.
func (p *Peer) SendReady() { p.send(message{Ready: true}) }

// SendReleased tells the new process that this one has stopped accepting. Any goroutine may call it.
func (p *Peer) SendReleased() { p.send(message{Released: true}) }

// SendDraw reports a quota draw to the other process. Any goroutine may call it.
func (p *Peer) SendDraw(d policy.PeerDraw) { p.send(message{Draw: &d}) }

// Close closes the connection. It may be called more than once.
func (p *Peer) Close() {
	p.close.Do(func() { close(p.done); p.conn.Close() })
}

// Listener is the handover socket, at which a running process waits for a new one.
type Listener struct {
	listener *net.UnixListener
	path     string
}

// Listen opens the handover socket. It replaces a socket that is stale or belongs to another
// process. onConnect is called for each new process that has sent a valid hello, one at a
// time.
func Listen(path string, onConnect func(*Successor)) (*Listener, error) {
	if len(path) > maxSocketPathBytes {
		return nil, fmt.Errorf("handover: socket path %s has %d bytes, expected at most %d", path, len(path), maxSocketPathBytes)
	}
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid()) // renamed below, so that the path never leads to a half-made socket
	_ = os.Remove(tempPath)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener.SetUnlinkOnClose(false) // at that time the path may belong to another process
	if err := errors.Join(os.Chmod(tempPath, socketMode), os.Rename(tempPath, path)); err != nil {
		listener.Close()
		_ = os.Remove(tempPath)
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Listener{listener: listener, path: path}
	go s.accept(onConnect)
	return s, nil
}

// accept handles one connection at a time, so that silent ones take up one descriptor at most.
func (s *Listener) accept(onConnect func(*Successor)) {
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(helloTimeout))
		msg, fd, err := readFrame(conn)
		if fd >= 0 {
			_ = syscall.Close(fd)
		}
		if err != nil || msg.Hello != ProtocolVersion || checkPeerUser(conn) != nil {
			conn.Close()
			continue
		}
		onConnect(&Successor{conn: conn})
	}
}

// Close stops listening. The socket file stays: it may be the one of a newer process already.
func (s *Listener) Close() { s.listener.Close() }

// Successor is a connection from a new process that waits for an offer.
type Successor struct{ conn *net.UnixConn }

// SendOffer sends the state and the listener, which also stays open in this process.
func (m *Successor) SendOffer(offer Offer, listener *net.TCPListener) (*Peer, error) {
	offer.Version = ProtocolVersion
	raw, err := listener.SyscallConn()
	if err != nil {
		m.conn.Close()
		return nil, err
	}
	_ = m.conn.SetDeadline(time.Now().Add(2 * writeTimeout))
	var writeErr error
	err = raw.Control(func(fd uintptr) { writeErr = writeFrame(m.conn, message{Offer: &offer}, int(fd)) })
	if err = errors.Join(err, writeErr); err != nil {
		m.conn.Close()
		return nil, err
	}
	_ = m.conn.SetDeadline(time.Time{})
	return newPeer(m.conn), nil
}

// writeFrame writes a message, with a file descriptor unless fd is negative.
func writeFrame(conn *net.UnixConn, msg message, fd int) error {
	body, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return fmt.Errorf("handover: the message has %d bytes, expected at most %d", len(body), maxFrameBytes)
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	var rights []byte
	if fd >= 0 {
		rights = syscall.UnixRights(fd)
	}
	if n, _, err := conn.WriteMsgUnix(header, rights, nil); err != nil || n < len(header) {
		return errors.Join(io.ErrShortWrite, err)
	}
	_, err = conn.Write(body)
	return err
}

// readFrame reads a message, and the file descriptor that came with it, or -1. The caller
// owns the descriptor, also if there is an error.
func readFrame(conn *net.UnixConn) (msg message, fd int, err error) {
	fd = -1
	var header [4]byte
	rights := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(header[:], rights)
	if oobn > 0 {
		if controls, parseErr := syscall.ParseSocketControlMessage(rights[:oobn]); parseErr == nil {
			for _, control := range controls {
				if fds, rightsErr := syscall.ParseUnixRights(&control); rightsErr == nil {
					for _, received := range fds {
						if fd >= 0 {
							_ = syscall.Close(received)
							continue
						}
						fd = received
						syscall.CloseOnExec(fd)
					}
				}
			}
		}
	}
	if err != nil {
		return msg, fd, err
	}
	if n == 0 {
		return msg, fd, io.EOF
	}
	if _, err := io.ReadFull(conn, header[n:]); err != nil {
		return msg, fd, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return msg, fd, fmt.Errorf("%w: expected a frame of at most %d bytes, got %d", errProtocol, maxFrameBytes, size)
	}
	body, err := io.ReadAll(io.LimitReader(conn, int64(size))) // allocates for the bytes received, not for the claimed size
	if err != nil {
		return msg, fd, err
	}
	if len(body) < int(size) {
		return msg, fd, io.ErrUnexpectedEOF
	}
	err = json.Unmarshal(body, &msg)
	return msg, fd, err
}
