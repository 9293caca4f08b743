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

type ask struct{ N int }
type answer struct{ N int }
type hang struct{}
type told struct{ N int }

// serve starts a server on a loopback address.
func serve(t *testing.T, prepare func(*Server)) (*Server, *Peer) {
	t.Helper()
	s := NewServer()
	prepare(s)
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

func TestCalls(t *testing.T) {
	heard := make(chan int, 1)
	_, p := serve(t, func(s *Server) {
		Handle(s, func(_ context.Context, q ask) (answer, error) {
			if q.N < 0 {
				return answer{}, Errorf(Stale, "below %d", 0)
			}
			return answer{q.N + 1}, nil
		})
		Handle(s, func(_ context.Context, q told) (answer, error) {
			heard <- q.N
			return answer{}, nil
		})
	})
	ctx := t.Context()
	a, err := Call[ask, answer](ctx, p, ask{41})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 42)

	_, err = Call[ask, answer](ctx, p, ask{-1})
	assert.Equal(t, KindOf(err), Stale)
	assert.ErrorContains(t, err, "below 0")

	_, err = Call[hang, answer](ctx, p, hang{})
	assert.Equal(t, KindOf(err), NotFound)

	assert.NilError(t, Tell(p, told{7}))
	assert.Equal(t, <-heard, 7)
}

// TestACallThatHangsEndsItsConnection guards the next call against one behind a cut: it must
// not wait on a connection on which nothing comes any more.
func TestACallThatHangsEndsItsConnection(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	_, p := serve(t, func(s *Server) {
		Handle(s, func(ctx context.Context, _ hang) (answer, error) {
			<-held
			return answer{}, nil
		})
		Handle(s, func(_ context.Context, q ask) (answer, error) { return answer(q), nil })
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := Call[hang, answer](ctx, p, hang{})
	assert.Equal(t, KindOf(err), Unknown, "it may have been done")
	a, err := Call[ask, answer](t.Context(), p, ask{3})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 3)
}

// TestNobodyThere tells what never left from what may have been done.
func TestNobodyThere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	p := NewPeer(addr)
	defer p.Close()
	_, err = Call[ask, answer](t.Context(), p, ask{})
	assert.Equal(t, KindOf(err), Unavailable)

	// It is left alone until the pause is over, and then tried again.
	dialled := 0
	p = NewPeer(addr)
	defer p.Close()
	p.redials = circuitbreaker.NewBuilder[any]().WithDelay(time.Hour).Build()
	p.dial = func(string, string, time.Duration) (net.Conn, error) {
		dialled++
		return nil, net.ErrClosed
	}
	for _, want := range []int{1, 1, 2, 2} {
		if want > dialled {
			p.redials.HalfOpen()
		}
		_, err = Call[ask, answer](t.Context(), p, ask{})
		assert.Equal(t, KindOf(err), Unavailable)
		assert.Equal(t, dialled, want)
	}
}

// A peer that is farther away than callers wait for is there for the calls after that.
func TestAPeerThatIsFarAway(t *testing.T) {
	_, p := serve(t, func(s *Server) {
		Handle(s, func(_ context.Context, q ask) (answer, error) { return answer{q.N + 1}, nil })
	})
	arrive, came := make(chan struct{}), make(chan net.Conn, 8)
	const near = time.Millisecond
	p.near = near
	var dialled atomic.Int64
	p.dial = func(network, addr string, most time.Duration) (net.Conn, error) {
		if dialled.Add(1) > 2 || most <= near {
			came <- nil
			return nil, os.ErrDeadlineExceeded
		}
		c, err := net.DialTimeout(network, addr, most)
		<-arrive
		came <- c
		return c, err
	}
	for range 2 {
		_, err := Call[ask, answer](t.Context(), p, ask{1})
		assert.Equal(t, KindOf(err), Unavailable)
		p.redials.Close()
	}
	close(arrive)
	assert.Assert(t, <-came != nil, "it is dialled no longer than its caller waits")
	<-came
	for reached := false; !reached; runtime.Gosched() {
		p.mu.Lock()
		reached = p.conn != nil
		p.mu.Unlock()
	}
	a, err := Call[ask, answer](t.Context(), p, ask{1})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 2)
}

func TestAClosedPeerTakesNothing(t *testing.T) {
	_, p := serve(t, func(*Server) {})
	p.Close()
	_, err := Call[ask, answer](t.Context(), p, ask{})
	assert.Equal(t, KindOf(err), Unavailable)
}

// TestCallsUnderWayAreBounded: past so many on a connection the next is refused at once, and one that
// ends makes room.
func TestCallsUnderWayAreBounded(t *testing.T) {
	came, held := make(chan struct{}, 2*openMost), make(chan struct{})
	_, p := serve(t, func(s *Server) {
		Handle(s, func(context.Context, hang) (answer, error) {
			came <- struct{}{}
			<-held
			return answer{}, nil
		})
		Handle(s, func(_ context.Context, q ask) (answer, error) { return answer(q), nil })
	})
	over := make(chan error, openMost)
	for range openMost {
		go func() {
			_, err := Call[hang, answer](t.Context(), p, hang{})
			over <- err
		}()
		<-came
	}
	_, err := Call[ask, answer](t.Context(), p, ask{1})
	assert.Equal(t, KindOf(err), Busy)
	close(held)
	for range openMost {
		assert.NilError(t, <-over)
	}
	_, err = Call[ask, answer](t.Context(), p, ask{1})
	assert.NilError(t, err)
}

// cutOff is a listener whose first connection goes nowhere: nothing that is sent on it is read.
type cutOff struct {
	net.Listener
	first net.Conn
}

func (l *cutOff) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.first == nil {
		l.first = c
		return l.Listener.Accept()
	}
	return c, err
}

// TestNothingWaitsBehindACut: the call after one that hung goes on a connection of its own.
func TestNothingWaitsBehindACut(t *testing.T) {
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer()
	Handle(s, func(_ context.Context, q ask) (answer, error) { return answer(q), nil })
	go func() { _ = s.Serve(&cutOff{Listener: ln}) }()
	p := NewPeer(ln.Addr().String())
	t.Cleanup(func() {
		p.Close()
		s.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Call[ask, answer](ctx, p, ask{1})
	assert.Equal(t, KindOf(err), Unknown)
	ctx, cancel = context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a, err := Call[ask, answer](ctx, p, ask{2})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 2)
}

// TestACallThatIsOverIsNotSent: its caller was told that nobody knows, and has gone on. Sent behind
// that, it would undo what came after it.
func TestACallThatIsOverIsNotSent(t *testing.T) {
	came := make(chan int, 9)
	_, p := serve(t, func(s *Server) {
		Handle(s, func(_ context.Context, q ask) (answer, error) {
			came <- q.N
			return answer(q), nil
		})
	})
	dialled, goOn := make(chan bool, 9), make(chan bool)
	p.near = time.Hour
	p.dial = func(network, addr string, most time.Duration) (net.Conn, error) {
		dialled <- true
		<-goOn
		return net.DialTimeout(network, addr, most)
	}
	over, cancel := context.WithCancel(t.Context())
	ends := make(chan error, 2)
	go func() { _, err := Call[ask, answer](over, p, ask{1}); ends <- err }()
	<-dialled // the first waits for its connection, the second behind it
	go func() { _, err := Call[ask, answer](over, p, ask{2}); ends <- err }()
	for waits := 0; waits < 2; runtime.Gosched() {
		p.mu.Lock()
		waits = len(p.waiting)
		p.mu.Unlock()
	}
	cancel()
	for range 2 {
		assert.Equal(t, KindOf(<-ends), Unknown)
	}
	close(goOn)
	a, err := Call[ask, answer](t.Context(), p, ask{3})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 3)
	assert.Equal(t, <-came, 3)
	assert.Equal(t, len(came), 0)
}
