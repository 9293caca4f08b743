// Package rpc implements calls between the system's own processes: CBOR frames over TCP, a pair of
// types (question and answer) for each call, and a closed list of error kinds. A call that times
// out closes its connection: after a network partition nothing arrives on it any more, and the next
// call must not hang on it too.
package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/failsafe-go/failsafe-go/circuitbreaker"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// Kind classifies the failure of a call. The list is closed: the code that answers external clients
// maps every kind to a status.
type Kind uint8

// The kinds of failure.
const (
	Internal    Kind = iota // a fault in the called process
	Unavailable             // it can't be executed now, and was not executed
	Unknown                 // it may have been executed
	Invalid                 // the call is malformed or not allowed
	NotFound                // the call, or an object that it names, does not exist
	Busy                    // too many calls are in progress
	Stale                   // the state of the called process is out of date
	Conflict                // another order has the same number: it was not executed and never will be
)

var kindNames = [...]string{"internal", "unavailable", "unknown", "invalid", "not found", "busy", "stale", "conflict"}

// String returns the name of the kind, that of Internal for an unknown kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[Internal]
}

// Error is a failed call.
type Error struct {
	Kind   Kind
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Reason }

// Errorf returns an *Error of a kind with a formatted reason, which is sent to the caller.
func Errorf(k Kind, format string, a ...any) error {
	return &Error{Kind: k, Reason: fmt.Sprintf(format, a...)}
}

// KindOf returns the kind of the *Error in err's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

const (
	maxFrameBytes = 32 << 20
	// A machine that is booting misses the first SYN, and TCP sends the second one only a second
	// later: a new connection attempt is faster. Callers are told after connectWait that the peer can't
	// be reached; an attempt that takes longer, to a distant peer, continues in the background until
	// dialTimeout, for later calls.
	connectWait     = 250 * time.Millisecond
	dialTimeout     = 1500 * time.Millisecond
	writeTimeout    = 1500 * time.Millisecond
	unackedTimeout  = 2 * time.Second // TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
	redialDelay     = 20 * time.Millisecond
	maxQueuedFrames = 128 // frames queued for a peer
	maxOpenCalls    = 256 // calls in progress on a connection
)

// frame is the unit of transmission on a connection. A question with ID 0 gets no answer.
type frame struct {
	ID     uint64          `cbor:"1,keyasint,omitempty"`
	Name   string          `cbor:"2,keyasint,omitempty"` // of the question's type, see NameOf; empty in answers
	Kind   Kind            `cbor:"3,keyasint,omitempty"`
	Reason string          `cbor:"4,keyasint,omitempty"` // of a failure; empty if the call succeeded
	Body   cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// encMode encodes each float in the shortest form that holds its exact value.
var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// CallNamer is implemented by messages whose name on the wire is not that of their type: a message whose type or package
// was renamed keeps the name by which processes of earlier versions know it.
type CallNamer interface{ CallName() string }

// NameOf returns the name of a message type on the wire.
func NameOf[T any]() string {
	var message T
	if named, ok := any(message).(CallNamer); ok {
		return named.CallName()
	}
	return reflect.TypeFor[T]().String()
}

// sentCounters holds a *sentCounter for each call name.
var sentCounters sync.Map

type sentCounter struct{ frames, bytes atomic.Uint64 }

// countSent adds a frame to the counters of a call name.
func countSent(name string, size int) {
	counter, ok := sentCounters.Load(name)
	if !ok {
		counter, _ = sentCounters.LoadOrStore(name, &sentCounter{})
	}
	counter.(*sentCounter).frames.Add(1)
	counter.(*sentCounter).bytes.Add(uint64(size))
}

// SentCounts returns the numbers of frames and of bytes that this process has sent, by call name. Answers
// are counted under the call's name prefixed with "> ".
func SentCounts() map[string][2]uint64 {
	out := map[string][2]uint64{}
	sentCounters.Range(func(name, t any) bool {
		out[name.(string)] = [2]uint64{t.(*sentCounter).frames.Load(), t.(*sentCounter).bytes.Load()}
		return true
	})
	return out
}

// encode returns a frame prefixed with its length.
func encode(f frame) ([]byte, error) {
	body, err := encMode.Marshal(f)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// FrameSize returns the length in bytes of the frame that carries v, as a question or as an answer.
func FrameSize(v any, question bool) int {
	body, err := encMode.Marshal(v)
	if err != nil {
		return 0
	}
	f := frame{ID: 1 << 20, Body: body}
	if question {
		f.Name = reflect.TypeOf(v).String()
	}
	out, _ := encode(f)
	return len(out)
}

// decode reads a frame and its length prefix.
func decode(r *bufio.Reader) (f frame, err error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return f, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return f, fmt.Errorf("frame of %d bytes is longer than %d", length, maxFrameBytes)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(body, &f)
}

// detectDeadPeer makes a connection fail if the other machine disappears without closing it.
func detectDeadPeer(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2})
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
		})
	}
}

// Server answers calls with registered handlers.
type Server struct {
	handlers map[string]func(context.Context, cbor.RawMessage) (any, error)

	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[string]func(context.Context, cbor.RawMessage) (any, error){}, conns: map[net.Conn]bool{}}
}

// Handle registers the handler for questions of type Q. All handlers must be registered before Serve.
func Handle[Q, A any](s *Server, handler func(context.Context, Q) (A, error)) {
	s.handlers[NameOf[Q]()] = func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var question Q
		if err := cbor.Unmarshal(body, &question); err != nil {
			return nil, Errorf(Invalid, "%v", err)
		}
		return handler(ctx, question)
	}
}

// Listen opens a server's address. It sets SO_REUSEADDR, because connections of the process before a
// restart may still be closing there.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		})
		return errors.Join(err, sockoptErr)
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// Serve accepts connections from a listener and answers calls until Close.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(5 * time.Millisecond) // probably out of file descriptors, which may become free
			continue
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serveConn answers the calls of a connection: those that want no answer in order, the others
// concurrently.
func (s *Server) serveConn(conn net.Conn) {
	detectDeadPeer(conn)
	ctx, cancel := context.WithCancel(context.Background())
	var writeMu sync.Mutex
	slots := make(chan struct{}, maxOpenCalls)
	defer func() {
		cancel()
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 2<<10)
	for {
		f, err := decode(reader)
		if err != nil {
			return
		}
		handler := s.handlers[f.Name]
		respond := func(result any, err error) {
			if f.ID == 0 {
				return
			}
			response := frame{ID: f.ID}
			if err == nil {
				response.Body, err = encMode.Marshal(result)
			}
			if err != nil {
				response.Kind, response.Reason, response.Body = KindOf(err), reasonOf(err), nil
			}
			encoded, err := encode(response)
			if err != nil {
				return
			}
			countSent("> "+f.Name, len(encoded))
			writeMu.Lock()
			defer writeMu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(encoded); err != nil {
				_ = conn.Close()
			}
		}
		if handler == nil {
			respond(nil, Errorf(NotFound, "no call %s", f.Name))
			continue
		}
		if f.ID == 0 { // handled in order
			_, _ = handler(ctx, f.Body)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				respond(handler(ctx, f.Body))
			}()
		default:
			respond(nil, Errorf(Busy, "%d calls are under way", maxOpenCalls))
		}
	}
}

// reasonOf returns the reason of the *Error in err's chain, or else the text of err.
func reasonOf(err error) string {
	var e *Error
	if errors.As(err, &e) && e.Reason != "" {
		return e.Reason
	}
	return err.Error()
}

// Peer is a client for another process. It connects when there is a frame to send.
type Peer struct {
	addr        string
	dial        func(network, addr string, timeout time.Duration) (net.Conn, error)
	connectWait time.Duration // how long a call waits for a connection
	// dialBreaker suspends connection attempts for redialDelay after a failed one; then a single
	// attempt is made.
	dialBreaker circuitbreaker.CircuitBreaker[any]

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan frame
	queue   chan queuedFrame
	conn    net.Conn
	writing bool
	closed  bool
}

// queuedFrame is an encoded frame and the ID of its call, 0 if it wants no answer.
type queuedFrame struct {
	id    uint64
	bytes []byte
}

// NewPeer returns a client for the process at an address.
func NewPeer(addr string) *Peer {
	return &Peer{addr: addr, dial: net.DialTimeout, connectWait: connectWait, pending: map[uint64]chan frame{}, queue: make(chan queuedFrame, maxQueuedFrames),
		dialBreaker: circuitbreaker.NewBuilder[any]().WithDelay(redialDelay).Build()}
}

// Addr returns the address of the peer.
func (p *Peer) Addr() string { return p.addr }

// Close closes the connection and fails all pending and later calls.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.queue)
		p.disconnect(nil)
	}
}

// Call sends a question to a peer and waits for the answer. If the context ends first, it closes the
// connection and returns an error of kind Unknown.
func Call[Q, A any](ctx context.Context, p *Peer, question Q) (answer A, err error) {
	body, err := encMode.Marshal(question)
	if err != nil {
		return answer, fmt.Errorf("encoding a call to %s: %w", p.addr, err)
	}
	reply := make(chan frame, 1)
	id, err := p.send(NameOf[Q](), body, reply)
	if err != nil {
		return answer, err
	}
	select {
	case f := <-reply:
		if f.Reason != "" {
			return answer, &Error{Kind: f.Kind, Reason: f.Reason}
		}
		if err := cbor.Unmarshal(f.Body, &answer); err != nil {
			return answer, fmt.Errorf("decoding the answer of %s: %w", p.addr, err)
		}
		return answer, nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		if _, pending := p.pending[id]; pending {
			delete(p.pending, id)
			p.disconnect(p.conn)
		}
		return answer, Errorf(Unknown, "%s did not answer in time", p.addr)
	}
}

// Notify sends a message that gets no answer. The message may be lost.
func Notify[Q any](p *Peer, message Q) error {
	body, err := encMode.Marshal(message)
	if err != nil {
		return fmt.Errorf("encoding a message to %s: %w", p.addr, err)
	}
	_, err = p.send(NameOf[Q](), body, nil)
	return err
}

// send queues a frame. If reply is not nil, it receives the frame that answers the call or reports its
// failure.
func (p *Peer) send(name string, body []byte, reply chan frame) (uint64, error) {
	if isolated.Load() {
		return 0, Errorf(Unavailable, "%s is cut off", p.addr)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, Errorf(Unavailable, "%s is left", p.addr)
	}
	var id uint64
	if reply != nil {
		p.lastID++
		id = p.lastID
	}
	encoded, err := encode(frame{ID: id, Name: name, Body: body})
	if err != nil {
		return 0, fmt.Errorf("encoding a call to %s: %w", p.addr, err)
	}
	if len(p.queue) == cap(p.queue) {
		return 0, Errorf(Busy, "%s takes nothing more", p.addr)
	}
	countSent(name, len(encoded))
	if reply != nil {
		p.pending[id] = reply
	}
	p.queue <- queuedFrame{id, encoded}
	if !p.writing {
		p.writing = true
		go p.writeLoop()
	}
	return id, nil
}

// writeLoop writes queued frames and connects if necessary. A call that has already been reported to
// its caller as failed is not written any more: it would be executed after the caller's next calls.
func (p *Peer) writeLoop() {
	for next := range p.queue {
		conn, done := p.connFor(next.id)
		if done {
			continue
		}
		if conn == nil {
			if !p.dialBreaker.TryAcquirePermit() {
				p.failUnsent(next.id, "was not reached a moment ago")
				continue
			}
			if conn = p.connect(); conn == nil {
				p.dialBreaker.RecordFailure()
				p.failUnsent(next.id, "is not reached")
				continue
			}
			p.dialBreaker.RecordSuccess()
			if _, done = p.connFor(next.id); done {
				continue
			}
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(next.bytes); err != nil {
			p.mu.Lock()
			p.disconnect(conn)
			p.mu.Unlock()
		}
	}
}

// connFor returns the current connection, nil if there is none, and whether the call has already ended.
// Messages that want no answer (ID 0) never count as ended.
func (p *Peer) connFor(id uint64) (conn net.Conn, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, id != 0 && p.pending[id] == nil
}

// connect starts a connection attempt and waits for it up to connectWait. The attempt goes on after
// that; if it succeeds, its connection serves later calls.
func (p *Peer) connect() net.Conn {
	connected := make(chan net.Conn, 1)
	go func() {
		conn, err := p.dial("tcp", p.addr, dialTimeout)
		if err != nil {
			connected <- nil
			return
		}
		detectDeadPeer(conn)
		p.mu.Lock()
		if p.conn != nil || p.closed { // another attempt succeeded first
			_ = conn.Close()
			conn = p.conn
		} else {
			p.conn = conn
			go p.readAnswers(conn)
		}
		p.mu.Unlock()
		connected <- conn
	}()
	timer := time.NewTimer(p.connectWait)
	defer timer.Stop()
	select {
	case conn := <-connected:
		if conn != nil {
			return conn
		}
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// failUnsent reports to its caller that a call was not sent.
func (p *Peer) failUnsent(id uint64, reason string) {
	if id == 0 {
		return
	}
	p.mu.Lock()
	reply := p.pending[id]
	delete(p.pending, id)
	p.mu.Unlock()
	if reply != nil {
		reply <- frame{Kind: Unavailable, Reason: p.addr + " " + reason}
	}
}

// disconnect closes the connection and fails all pending calls. It does nothing if conn is neither nil
// nor the current connection. The caller holds p.mu.
func (p *Peer) disconnect(conn net.Conn) {
	if conn != nil && p.conn != conn {
		return
	}
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
	for id, reply := range p.pending {
		delete(p.pending, id)
		reply <- frame{Kind: Unknown, Reason: "the connection to " + p.addr + " has ended"}
	}
}

// readAnswers passes the answers on a connection to their callers until it fails.
func (p *Peer) readAnswers(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 2<<10)
	for {
		f, err := decode(reader)
		if err != nil {
			p.mu.Lock()
			p.disconnect(conn)
			p.mu.Unlock()
			return
		}
		p.mu.Lock()
		reply := p.pending[f.ID]
		delete(p.pending, f.ID)
		p.mu.Unlock()
		if reply != nil {
			reply <- f
		}
	}
}
