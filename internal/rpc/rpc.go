// Package rpc carries calls between the system's own processes: CBOR frames over TCP,
// a pair of types for each call behind one generic handler, and one closed list of kinds of
// error. A call that is not answered in its time ends its connection: behind a cut nothing
// ever comes, and what hangs must not hang the next call too.
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

// Kind is why a call has failed. The list is closed: what answers outside callers has a table
// of all of them.
type Kind uint8

// The kinds.
const (
	Internal    Kind = iota // a fault of ours
	Unavailable             // nobody can do it now, and it was not done
	Unknown                 // it may have been done
	Invalid                 // the call can't be carried out as it stands
	NotFound                // what it names does not exist
	Busy                    // too much is under way
	Stale                   // who was asked is behind and says so
	Conflict                // another order has the number: it was not done and never will be
)

var kindNames = [...]string{"internal", "unavailable", "unknown", "invalid", "not found", "busy", "stale", "conflict"}

// String is the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[Internal]
}

// Error is an error of a kind.
type Error struct {
	Kind   Kind
	Reason string
}

func (e *Error) Error() string { return e.Kind.String() + ": " + e.Reason }

// Errorf makes an error of a kind.
func Errorf(k Kind, format string, a ...any) error {
	return &Error{Kind: k, Reason: fmt.Sprintf(format, a...)}
}

// KindOf is an error's kind; one that has none is Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

const (
	frameMost = 32 << 20
	// A machine that is coming up has not heard the first packet, and the second is sent a second
	// later: to open anew is sooner. Callers hear after dialMost that a peer is not reached; one that is
	// farther away than that comes up behind them, for the next.
	dialMost   = 250 * time.Millisecond
	dialFar    = 1500 * time.Millisecond
	writeMost  = 1500 * time.Millisecond
	silentMost = 2 * time.Second // for bytes that the other machine does not acknowledge
	pauseDial  = 20 * time.Millisecond
	queueMost  = 128 // frames that wait for a peer
	openMost   = 256 // calls under way on a connection
)

// frame is what goes over a connection. ID 0 wants no answer.
type frame struct {
	ID     uint64          `cbor:"1,keyasint,omitempty"`
	Name   string          `cbor:"2,keyasint,omitempty"` // of the question's type; empty in answers
	Kind   Kind            `cbor:"3,keyasint,omitempty"`
	Reason string          `cbor:"4,keyasint,omitempty"` // of a failure, not empty in one
	Body   cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// wire encodes figures as short as they can be told exactly.
var wire = func() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Named is a message whose name on the wire isn't its type's: one whose package was renamed keeps the name by which
// processes of the version before know it.
type Named interface{ CallName() string }

// NameOf is the name by which a message of a type is known on the wire.
func NameOf[T any]() string {
	var message T
	if named, ok := any(message).(Named); ok {
		return named.CallName()
	}
	return reflect.TypeFor[T]().String()
}

// sent counts frames and bytes by the name of their call.
var sent sync.Map

type tally struct{ frames, bytes atomic.Uint64 }

func count(name string, n int) {
	t, ok := sent.Load(name)
	if !ok {
		t, _ = sent.LoadOrStore(name, &tally{})
	}
	t.(*tally).frames.Add(1)
	t.(*tally).bytes.Add(uint64(n))
}

// Sent is how many frames and bytes this process has sent, by the name of their call. Answers
// stand under the call's name with an arrow before it.
func Sent() map[string][2]uint64 {
	out := map[string][2]uint64{}
	sent.Range(func(name, t any) bool {
		out[name.(string)] = [2]uint64{t.(*tally).frames.Load(), t.(*tally).bytes.Load()}
		return true
	})
	return out
}

// encode appends a frame with its length.
func encode(f frame) ([]byte, error) {
	body, err := wire.Marshal(f)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// Size is the bytes of a question's frame, or of its answer's where it has no name.
func Size(v any, question bool) int {
	body, err := wire.Marshal(v)
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

// decode reads a frame.
func decode(r *bufio.Reader) (f frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return f, fmt.Errorf("a frame of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	return f, cbor.Unmarshal(body, &f)
}

// tune has a connection end when its other side is gone without a word.
func tune(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2})
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentMost/time.Millisecond))
		})
	}
}

// Server answers calls.
type Server struct {
	handlers map[string]func(context.Context, cbor.RawMessage) (any, error)

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	ended bool
}

// NewServer makes a server without handlers.
func NewServer() *Server {
	return &Server{handlers: map[string]func(context.Context, cbor.RawMessage) (any, error){}, conns: map[net.Conn]bool{}}
}

// Handle has a server answer questions of a type. All handlers are set before Serve.
func Handle[Q, A any](s *Server, do func(context.Context, Q) (A, error)) {
	s.handlers[NameOf[Q]()] = func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return nil, Errorf(Invalid, "%v", err)
		}
		return do(ctx, q)
	}
}

// Listen opens a server's address. Who restarts may find the last life's connections there.
func Listen(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var inner error
		err := raw.Control(func(fd uintptr) {
			inner = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		})
		return errors.Join(err, inner)
	}}
	return c.Listen(context.Background(), "tcp", addr)
}

// Serve answers on a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			ended := s.ended
			s.mu.Unlock()
			if ended || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(5 * time.Millisecond) // descriptors may come free
			continue
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	tune(c)
	ctx, cancel := context.WithCancel(context.Background())
	var writing sync.Mutex
	open := make(chan struct{}, openMost)
	defer func() {
		cancel()
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 2<<10)
	for {
		f, err := decode(in)
		if err != nil {
			return
		}
		do := s.handlers[f.Name]
		answer := func(a any, err error) {
			if f.ID == 0 {
				return
			}
			back := frame{ID: f.ID}
			if err == nil {
				back.Body, err = wire.Marshal(a)
			}
			if err != nil {
				back.Kind, back.Reason, back.Body = KindOf(err), reasonOf(err), nil
			}
			out, err := encode(back)
			if err != nil {
				return
			}
			count("> "+f.Name, len(out))
			writing.Lock()
			defer writing.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(writeMost))
			if _, err := c.Write(out); err != nil {
				_ = c.Close()
			}
		}
		if do == nil {
			answer(nil, Errorf(NotFound, "no call %s", f.Name))
			continue
		}
		if f.ID == 0 { // in their order
			_, _ = do(ctx, f.Body)
			continue
		}
		select {
		case open <- struct{}{}:
			go func() {
				defer func() { <-open }()
				answer(do(ctx, f.Body))
			}()
		default:
			answer(nil, Errorf(Busy, "%d calls are under way", openMost))
		}
	}
}

func reasonOf(err error) string {
	var e *Error
	if errors.As(err, &e) && e.Reason != "" {
		return e.Reason
	}
	return err.Error()
}

// Peer is another process that is called. Its connection is opened when it is needed.
type Peer struct {
	addr string
	dial func(network, addr string, most time.Duration) (net.Conn, error)
	near time.Duration // that callers wait for an opening
	// redials leaves a peer alone for a moment that was not reached; one opening then tries.
	redials circuitbreaker.CircuitBreaker[any]

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan frame
	out     chan outgoing
	conn    net.Conn
	running bool
	closed  bool
}

type outgoing struct {
	id    uint64
	bytes []byte
}

// NewPeer makes a peer at an address.
func NewPeer(addr string) *Peer {
	return &Peer{addr: addr, dial: net.DialTimeout, near: dialMost, waiting: map[uint64]chan frame{}, out: make(chan outgoing, queueMost),
		redials: circuitbreaker.NewBuilder[any]().WithDelay(pauseDial).Build()}
}

// Addr is where the peer is called.
func (p *Peer) Addr() string { return p.addr }

// Close ends the peer.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.out)
		p.cut(nil)
	}
}

// Call asks a peer and waits for the answer.
func Call[Q, A any](ctx context.Context, p *Peer, q Q) (a A, err error) {
	body, err := wire.Marshal(q)
	if err != nil {
		return a, fmt.Errorf("call: %w", err)
	}
	got := make(chan frame, 1)
	id, err := p.put(NameOf[Q](), body, got)
	if err != nil {
		return a, err
	}
	select {
	case f := <-got:
		if f.Reason != "" {
			return a, &Error{Kind: f.Kind, Reason: f.Reason}
		}
		if err := cbor.Unmarshal(f.Body, &a); err != nil {
			return a, fmt.Errorf("answer: %w", err)
		}
		return a, nil
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		if _, still := p.waiting[id]; still {
			delete(p.waiting, id)
			p.cut(p.conn)
		}
		return a, Errorf(Unknown, "%s did not answer in time", p.addr)
	}
}

// Tell sends what wants no answer. It may be lost.
func Tell[Q any](p *Peer, q Q) error {
	body, err := wire.Marshal(q)
	if err != nil {
		return fmt.Errorf("tell: %w", err)
	}
	_, err = p.put(NameOf[Q](), body, nil)
	return err
}

func (p *Peer) put(name string, body []byte, got chan frame) (uint64, error) {
	if isolated.Load() {
		return 0, Errorf(Unavailable, "%s is cut off", p.addr)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, Errorf(Unavailable, "%s is left", p.addr)
	}
	var id uint64
	if got != nil {
		p.lastID++
		id = p.lastID
	}
	b, err := encode(frame{ID: id, Name: name, Body: body})
	if err != nil {
		return 0, fmt.Errorf("call: %w", err)
	}
	if len(p.out) == cap(p.out) {
		return 0, Errorf(Busy, "%s takes nothing more", p.addr)
	}
	count(name, len(b))
	if got != nil {
		p.waiting[id] = got
	}
	p.out <- outgoing{id, b}
	if !p.running {
		p.running = true
		go p.run()
	}
	return id, nil
}

// run writes what waits, and opens the connection for it. A call whose caller has been told how it
// ended is not written any more: it would be carried out behind what its caller did next.
func (p *Peer) run() {
	for o := range p.out {
		c, over := p.toward(o.id)
		if over {
			continue
		}
		if c == nil {
			if !p.redials.TryAcquirePermit() {
				p.fail(o.id, "was not reached a moment ago")
				continue
			}
			if c = p.open(); c == nil {
				p.redials.RecordFailure()
				p.fail(o.id, "is not reached")
				continue
			}
			p.redials.RecordSuccess()
			if _, over = p.toward(o.id); over {
				continue
			}
		}
		_ = c.SetWriteDeadline(time.Now().Add(writeMost))
		if _, err := c.Write(o.bytes); err != nil {
			p.mu.Lock()
			p.cut(c)
			p.mu.Unlock()
		}
	}
}

// toward is the connection that a call would go by, nil for none, and whether it is over already.
// What wants no answer never is.
func (p *Peer) toward(id uint64) (c net.Conn, over bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, id != 0 && p.waiting[id] == nil
}

// open opens a connection and waits for it, though not for one that is far away.
func (p *Peer) open() net.Conn {
	came := make(chan net.Conn, 1)
	go func() {
		c, err := p.dial("tcp", p.addr, dialFar)
		if err != nil {
			came <- nil
			return
		}
		tune(c)
		p.mu.Lock()
		if p.conn != nil || p.closed { // another opening was first
			_ = c.Close()
			c = p.conn
		} else {
			p.conn = c
			go p.read(c)
		}
		p.mu.Unlock()
		came <- c
	}()
	late := time.NewTimer(p.near)
	defer late.Stop()
	select {
	case c := <-came:
		if c != nil {
			return c
		}
	case <-late.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// fail ends a call that never left.
func (p *Peer) fail(id uint64, why string) {
	if id == 0 {
		return
	}
	p.mu.Lock()
	got := p.waiting[id]
	delete(p.waiting, id)
	p.mu.Unlock()
	if got != nil {
		got <- frame{Kind: Unavailable, Reason: p.addr + " " + why}
	}
}

// cut ends a connection and what waits on it. The lock is held.
func (p *Peer) cut(c net.Conn) {
	if c != nil && p.conn != c {
		return
	}
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
	for id, got := range p.waiting {
		delete(p.waiting, id)
		got <- frame{Kind: Unknown, Reason: "the connection to " + p.addr + " has ended"}
	}
}

func (p *Peer) read(c net.Conn) {
	in := bufio.NewReaderSize(c, 2<<10)
	for {
		f, err := decode(in)
		if err != nil {
			p.mu.Lock()
			p.cut(c)
			p.mu.Unlock()
			return
		}
		p.mu.Lock()
		got := p.waiting[f.ID]
		delete(p.waiting, f.ID)
		p.mu.Unlock()
		if got != nil {
			got <- f
		}
	}
}
