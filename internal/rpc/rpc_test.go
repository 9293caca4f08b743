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
	server := NewServer()
	register(server)
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	peer := NewPeer(listener.Addr().String())
	t.Cleanup(func() {
		peer.Close()
		server.Close()
	})
	return server, peer
}

func TestCallReturnsAnswerOrError(t *testing.T) {
	notified := make(chan int, 1)
	_, peer := startServer(t, func(server *Server) {
		Handle(server, func(_ context.Context, q request) (response, error) {
			if q.N < 0 {
				return response{}, Errorf(Stale, "below %d", 0)
			}
			return response{q.N + 1}, nil
		})
		Handle(server, func(_ context.Context, q notification) (response, error) {
			notified <- q.N
			return response{}, nil
		})
	})
	ctx := t.Context()
	answer, err := Call[request, response](ctx, peer, request{41})
	assert.NilError(t, err)
	assert.Equal(t, answer.N, 42)

	_, err = Call[request, response](ctx, peer, request{-1})
	assert.Equal(t, KindOf(err), Stale)
	assert.ErrorContains(t, err, "below 0")

	_, err = Call[hangRequest, response](ctx, peer, hangRequest{})
	assert.Equal(t, KindOf(err), NotFound)

	assert.NilError(t, Notify(peer, notification{7}))
	assert.Equal(t, <-notified, 7)
}

// TestTimedOutCallClosesConnection: the call after a timed-out one must not wait on a connection on which
// nothing arrives any more.
func TestTimedOutCallClosesConnection(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, peer := startServer(t, func(server *Server) {
		Handle(server, func(ctx context.Context, _ hangRequest) (response, error) {
			<-release
			return response{}, nil
		})
		Handle(server, func(_ context.Context, q request) (response, error) { return response(q), nil })
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := Call[hangRequest, response](ctx, peer, hangRequest{})
	assert.Equal(t, KindOf(err), Unknown, "the call may have been executed")
	answer, err := Call[request, response](t.Context(), peer, request{3})
	assert.NilError(t, err)
	assert.Equal(t, answer.N, 3)
}

// TestUnreachablePeerIsUnavailable: a call that was never sent must not fail as one that may have been executed.
func TestUnreachablePeerIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close())
	peer := NewPeer(addr)
	defer peer.Close()
	_, err = Call[request, response](t.Context(), peer, request{})
	assert.Equal(t, KindOf(err), Unavailable)

	// No attempt is made until the delay is over; then one is made.
	dials := 0
	peer = NewPeer(addr)
	defer peer.Close()
	peer.dialBreaker = circuitbreaker.NewBuilder[any]().WithDelay(time.Hour).Build()
	peer.dial = func(string, string, time.Duration) (net.Conn, error) {
		dials++
		return nil, net.ErrClosed
	}
	for _, want := range []int{1, 1, 2, 2} {
		if want > dials {
			peer.dialBreaker.HalfOpen()
		}
		_, err = Call[request, response](t.Context(), peer, request{})
		assert.Equal(t, KindOf(err), Unavailable)
		assert.Equal(t, dials, want)
	}
}

// TestSlowConnectServesLaterCalls: a connection that takes longer than calls wait for must serve later calls.
func TestSlowConnectServesLaterCalls(t *testing.T) {
	_, peer := startServer(t, func(server *Server) {
		Handle(server, func(_ context.Context, q request) (response, error) { return response{q.N + 1}, nil })
	})
	proceed, dialed := make(chan struct{}), make(chan net.Conn, 8)
	const wait = time.Millisecond
	peer.connectWait = wait
	var dials atomic.Int64
	peer.dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		if dials.Add(1) > 2 || timeout <= wait {
			dialed <- nil
			return nil, os.ErrDeadlineExceeded
		}
		conn, err := net.DialTimeout(network, addr, timeout)
		<-proceed
		dialed <- conn
		return conn, err
	}
	for range 2 {
		_, err := Call[request, response](t.Context(), peer, request{1})
		assert.Equal(t, KindOf(err), Unavailable)
		peer.dialBreaker.Close()
	}
	close(proceed)
	assert.Assert(t, <-dialed != nil, "dialing was given up when the caller stopped waiting")
	<-dialed
	for connected := false; !connected; runtime.Gosched() {
		peer.mu.Lock()
		connected = peer.conn != nil
		peer.mu.Unlock()
	}
	answer, err := Call[request, response](t.Context(), peer, request{1})
	assert.NilError(t, err)
	assert.Equal(t, answer.N, 2)
}

func TestClosedPeerRejectsCalls(t *testing.T) {
	_, peer := startServer(t, func(*Server) {})
	peer.Close()
	_, err := Call[request, response](t.Context(), peer, request{})
	assert.Equal(t, KindOf(err), Unavailable)
}

// TestOpenCallsAreLimited: with maxOpenCalls calls in progress on a connection the next one is rejected at
// once; after one has ended it is accepted.
func TestOpenCallsAreLimited(t *testing.T) {
	started, release := make(chan struct{}, 2*maxOpenCalls), make(chan struct{})
	_, peer := startServer(t, func(server *Server) {
		Handle(server, func(context.Context, hangRequest) (response, error) {
			started <- struct{}{}
			<-release
			return response{}, nil
		})
		Handle(server, func(_ context.Context, q request) (response, error) { return response(q), nil })
	})
	errs := make(chan error, maxOpenCalls)
	for range maxOpenCalls {
		go func() {
			_, err := Call[hangRequest, response](t.Context(), peer, hangRequest{})
			errs <- err
		}()
		<-started
	}
	_, err := Call[request, response](t.Context(), peer, request{1})
	assert.Equal(t, KindOf(err), Busy)
	close(release)
	for range maxOpenCalls {
		assert.NilError(t, <-errs)
	}
	_, err = Call[request, response](t.Context(), peer, request{1})
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
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer()
	Handle(server, func(_ context.Context, q request) (response, error) { return response(q), nil })
	go func() { _ = server.Serve(&blackholeListener{Listener: listener}) }()
	peer := NewPeer(listener.Addr().String())
	t.Cleanup(func() {
		peer.Close()
		server.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Call[request, response](ctx, peer, request{1})
	assert.Equal(t, KindOf(err), Unknown)
	ctx, cancel = context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	answer, err := Call[request, response](ctx, peer, request{2})
	assert.NilError(t, err)
	assert.Equal(t, answer.N, 2)
}

// TestCancelledCallIsNotSent: a call that has already failed for its caller must not be sent. Executed late,
// it could undo the caller's next calls.
func TestCancelledCallIsNotSent(t *testing.T) {
	executed := make(chan int, 9)
	_, peer := startServer(t, func(server *Server) {
		Handle(server, func(_ context.Context, q request) (response, error) {
			executed <- q.N
			return response(q), nil
		})
	})
	dialled, proceed := make(chan bool, 9), make(chan bool)
	peer.connectWait = time.Hour
	peer.dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		dialled <- true
		<-proceed
		return net.DialTimeout(network, addr, timeout)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 2)
	go func() { _, err := Call[request, response](cancelled, peer, request{1}); errs <- err }()
	<-dialled // the first call waits for the connection, the second is queued
	go func() { _, err := Call[request, response](cancelled, peer, request{2}); errs <- err }()
	for pending := 0; pending < 2; runtime.Gosched() {
		peer.mu.Lock()
		pending = len(peer.pending)
		peer.mu.Unlock()
	}
	cancel()
	for range 2 {
		assert.Equal(t, KindOf(<-errs), Unknown)
	}
	close(proceed)
	answer, err := Call[request, response](t.Context(), peer, request{3})
	assert.NilError(t, err)
	assert.Equal(t, answer.N, 3)
	assert.Equal(t, <-executed, 3)
	assert.Equal(t, len(executed), 0)
}
