package rpc

import (
	"context"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/failsafe-go/failsafe-go/circuitbreaker"
	"gotest.tools/v3/assert"
)

type request struct{ N int }
type response struct{ N int }
type hangRequest struct{}
type notification struct{ N int }

// startServer starts a server with registered handlers on a loopback address, and returns it with a peer for it.
func startServer(t *testing.T, register func(*Server)) (*Server, *Peer) {
	t.Helper()
	s := NewServer()
	register(s)
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	p := NewPeer(ln.Addr().String())
	t.Cleanup(func() {
		p.Close()
		s.Close()
	})
	return s, p
}

func TestCallReturnsAnswerOrError(t *testing.T) {
	notified := make(chan int, 1)
	_, p := startServer(t, func(s *Server) {
		Handle(s, func(_ context.Context, q request) (response, error) {
			if q.N < 0 {
				return response{}, Errorf(Stale, "below %d", 0)
			}
			return response{q.N + 1}, nil
		})
		Handle(s, func(_ context.Context, q notification) (response, error) {
			notified <- q.N
			return response{}, nil
		})
	})
	ctx := t.Context()
	a, err := Call[request, response](ctx, p, request{41})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 42)

	_, err = Call[request, response](ctx, p, request{-1})
	assert.Equal(t, KindOf(err), Stale)
	assert.ErrorContains(t, err, "below 0")

	_, err = Call[hangRequest, response](ctx, p, hangRequest{})
	assert.Equal(t, KindOf(err), NotFound)

	assert.NilError(t, Tell(p, notification{7}))
	assert.Equal(t, <-notified, 7)
}

// TestTimedOutCallClosesConnection: the call after a timed-out one must not wait on a connection on which
// nothing arrives any more.
func TestTimedOutCallClosesConnection(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, p := startServer(t, func(s *Server) {
		Handle(s, func(ctx context.Context, _ hangRequest) (response, error) {
			<-release
			return response{}, nil
		})
		Handle(s, func(_ context.Context, q request) (response, error) { return response(q), nil })
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := Call[hangRequest, response](ctx, p, hangRequest{})
	assert.Equal(t, KindOf(err), Unknown, "the call may have been executed")
	a, err := Call[request, response](t.Context(), p, request{3})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 3)
}

// TestUnreachablePeerIsUnavailable: a call that was never sent must not fail as one that may have been executed.
func TestUnreachablePeerIsUnavailable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	p := NewPeer(addr)
	defer p.Close()
	_, err = Call[request, response](t.Context(), p, request{})
	assert.Equal(t, KindOf(err), Unavailable)

	// No attempt is made until the delay is over; then one is made.
	dialled := 0
	p = NewPeer(addr)
	defer p.Close()
	p.dialBreaker = circuitbreaker.NewBuilder[any]().WithDelay(time.Hour).Build()
	p.dial = func(string, string, time.Duration) (net.Conn, error) {
		dialled++
		return nil, net.ErrClosed
	}
	for _, want := range []int{1, 1, 2, 2} {
		if want > dialled {
			p.dialBreaker.HalfOpen()
		}
		_, err = Call[request, response](t.Context(), p, request{})
		assert.Equal(t, KindOf(err), Unavailable)
		assert.Equal(t, dialled, want)
	}
}

// TestSlowConnectServesLaterCalls: a connection that takes longer than calls wait for must serve later calls.
func TestSlowConnectServesLaterCalls(t *testing.T) {
	_, p := startServer(t, func(s *Server) {
		Handle(s, func(_ context.Context, q request) (response, error) { return response{q.N + 1}, nil })
	})
	proceed, dialed := make(chan struct{}), make(chan net.Conn, 8)
	const wait = time.Millisecond
	p.connectWait = wait
	var dials atomic.Int64
	p.dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		if dials.Add(1) > 2 || timeout <= wait {
			dialed <- nil
			return nil, os.ErrDeadlineExceeded
		}
		c, err := net.DialTimeout(network, addr, timeout)
		<-proceed
		dialed <- c
		return c, err
	}
	for range 2 {
		_, err := Call[request, response](t.Context(), p, request{1})
		assert.Equal(t, KindOf(err), Unavailable)
		p.dialBreaker.Close()
	}
	close(proceed)
	assert.Assert(t, <-dialed != nil, "dialing was given up when the caller stopped waiting")
	<-dialed
	for connected := false; !connected; runtime.Gosched() {
		p.mu.Lock()
		connected = p.conn != nil
		p.mu.Unlock()
	}
	a, err := Call[request, response](t.Context(), p, request{1})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 2)
}

func TestClosedPeerRejectsCalls(t *testing.T) {
	_, p := startServer(t, func(*Server) {})
	p.Close()
	_, err := Call[request, response](t.Context(), p, request{})
	assert.Equal(t, KindOf(err), Unavailable)
}

// TestOpenCallsAreLimited: with maxOpenCalls calls in progress on a connection the next one is rejected at
// once; after one has ended it is accepted.
func TestOpenCallsAreLimited(t *testing.T) {
	started, release := make(chan struct{}, 2*maxOpenCalls), make(chan struct{})
	_, p := startServer(t, func(s *Server) {
		Handle(s, func(context.Context, hangRequest) (response, error) {
			started <- struct{}{}
			<-release
			return response{}, nil
		})
		Handle(s, func(_ context.Context, q request) (response, error) { return response(q), nil })
	})
	errs := make(chan error, maxOpenCalls)
	for range maxOpenCalls {
		go func() {
			_, err := Call[hangRequest, response](t.Context(), p, hangRequest{})
			errs <- err
		}()
		<-started
	}
	_, err := Call[request, response](t.Context(), p, request{1})
	assert.Equal(t, KindOf(err), Busy)
	close(release)
	for range maxOpenCalls {
		assert.NilError(t, <-errs)
	}
	_, err = Call[request, response](t.Context(), p, request{1})
	assert.NilError(t, err)
}

// blackholeListener is a listener whose first connection is never read.
type blackholeListener struct {
	net.Listener
	blackholed net.Conn
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.blackholed == nil {
		l.blackholed = c
		return l.Listener.Accept()
	}
	return c, err
}

// TestCallAfterTimeoutUsesNewConnection: the call after a timed-out one must go on a new connection.
func TestCallAfterTimeoutUsesNewConnection(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer()
	Handle(s, func(_ context.Context, q request) (response, error) { return response(q), nil })
	go func() { _ = s.Serve(&blackholeListener{Listener: ln}) }()
	p := NewPeer(ln.Addr().String())
	t.Cleanup(func() {
		p.Close()
		s.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Call[request, response](ctx, p, request{1})
	assert.Equal(t, KindOf(err), Unknown)
	ctx, cancel = context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a, err := Call[request, response](ctx, p, request{2})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 2)
}

// TestCancelledCallIsNotSent: a call that has already failed for its caller must not be sent. Executed late,
// it could undo the caller's next calls.
func TestCancelledCallIsNotSent(t *testing.T) {
	executed := make(chan int, 9)
	_, p := startServer(t, func(s *Server) {
		Handle(s, func(_ context.Context, q request) (response, error) {
			executed <- q.N
			return response(q), nil
		})
	})
	dialled, proceed := make(chan bool, 9), make(chan bool)
	p.connectWait = time.Hour
	p.dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		dialled <- true
		<-proceed
		return net.DialTimeout(network, addr, timeout)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 2)
	go func() { _, err := Call[request, response](cancelled, p, request{1}); errs <- err }()
	<-dialled // the first call waits for the connection, the second is queued
	go func() { _, err := Call[request, response](cancelled, p, request{2}); errs <- err }()
	for pending := 0; pending < 2; runtime.Gosched() {
		p.mu.Lock()
		pending = len(p.pending)
		p.mu.Unlock()
	}
	cancel()
	for range 2 {
		assert.Equal(t, KindOf(<-errs), Unknown)
	}
	close(proceed)
	a, err := Call[request, response](t.Context(), p, request{3})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 3)
	assert.Equal(t, <-executed, 3)
	assert.Equal(t, len(executed), 0)
}
