package rpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// callee is a process that is called, with a script for each connection in turn.
func callee(t *testing.T, scripts ...func(c net.Conn, in *bufio.Reader)) *Peer {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	over := make(chan bool)
	go func() {
		defer close(over)
		for _, do := range scripts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			do(c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	p := NewPeer(ln.Addr().String())
	p.near = time.Hour // a machine that stands still is no far peer
	t.Cleanup(func() {
		p.Close()
		_ = ln.Close()
		<-over
	})
	return p
}

// asked reads so many questions, and gives the answers to them by what they ask.
func asked(in *bufio.Reader, n int) map[int][]byte {
	out := map[int][]byte{}
	for range n {
		f, err := decode(in)
		if err != nil {
			return out
		}
		var q ask
		if b, err := f.question(&q); err == nil {
			out[q.N] = b
		}
	}
	return out
}

// question reads what a frame asks, and gives the frame that answers it: a thousand more.
func (f *frame) question(q *ask) ([]byte, error) {
	if err := cbor.Unmarshal(f.Body, q); err != nil {
		return nil, err
	}
	body, err := wire.Marshal(answer{q.N + 1000})
	if err != nil {
		return nil, err
	}
	return encode(frame{ID: f.ID, Body: body})
}

// both asks two questions at once and gives how they ended.
func both(t *testing.T, p *Peer) (ends [2]error) {
	t.Helper()
	var got [2]answer
	done := make(chan int, 2)
	for i := range 2 {
		go func() {
			got[i], ends[i] = Call[ask, answer](t.Context(), p, ask{i + 1})
			done <- i
		}()
	}
	<-done
	<-done
	for i := range 2 {
		if ends[i] == nil {
			assert.Equal(t, got[i].N, 1001+i, "another call's answer")
		} else {
			assert.Equal(t, KindOf(ends[i]), Unknown, "it may have been done")
		}
	}
	return ends
}

// sound answers what is asked until the connection ends.
func sound(c net.Conn, in *bufio.Reader) {
	for {
		for _, b := range asked(in, 1) {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
	}
}

// TestAFaultAtEachByteOfTheFrames: two calls are under way on a connection whose answers come in any
// order and end at each byte, or come twice. Each call has its own answer or nobody knows how it
// ended, and the next call goes on another connection.
func TestAFaultAtEachByteOfTheFrames(t *testing.T) {
	t.Parallel()
	orders := [][]int{{1, 2}, {2, 1}, {1, 1, 2}, {2, 1, 2, 1}}
	for _, order := range orders {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, reset %t", order, reset), func(t *testing.T) {
				t.Parallel()
				for at, size := 0, 1; at <= size; at++ {
					var text []byte
					first := map[int]int{} // where the first answer to each ends
					ready := make(chan int, 1)
					p := callee(t, func(c net.Conn, in *bufio.Reader) {
						answers := asked(in, 2)
						for _, n := range order {
							if text = append(text, answers[n]...); first[n] == 0 {
								first[n] = len(text)
							}
						}
						ready <- len(text)
						_, _ = c.Write(text[:min(at, len(text))])
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
					}, sound)
					ends := both(t, p)
					size = <-ready
					for i, err := range ends {
						whole := first[i+1] <= at
						assert.Assert(t, err != nil || whole, "an answer that was cut at %d of %d", at, first[i+1])
						assert.Assert(t, err == nil || !whole || reset, "%v", err)
					}
					got, err := Call[ask, answer](t.Context(), p, ask{5})
					for KindOf(err) == Unknown && err != nil { // written before the end was seen
						got, err = Call[ask, answer](t.Context(), p, ask{5})
					}
					assert.NilError(t, err)
					assert.Equal(t, got.N, 1005)
					p.Close()
				}
			})
		}
	}
}

// TestAnAnswerPastItsTime: it comes on the connection of its call, which has ended, or on the next
// one, under its old number: the call that is under way there has its own.
func TestAnAnswerPastItsTime(t *testing.T) {
	t.Parallel()
	came, late := make(chan bool), make(chan []byte, 1)
	p := callee(t, func(c net.Conn, in *bufio.Reader) {
		b := asked(in, 1)[1]
		close(came)
		_, err := in.ReadByte()
		assert.Check(t, err != nil, "the connection goes on behind a call that hung")
		_, _ = c.Write(b)
		late <- b
	}, func(c net.Conn, in *bufio.Reader) {
		b := <-late
		own := asked(in, 1)[2]
		_, _ = c.Write(slices.Concat(b, own, b, own))
		_, _ = in.ReadByte()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-came; cancel() }()
	_, err := Call[ask, answer](ctx, p, ask{1})
	assert.Equal(t, KindOf(err), Unknown)
	a, err := Call[ask, answer](t.Context(), p, ask{2})
	assert.NilError(t, err)
	assert.Equal(t, a.N, 1002)
}

// TestLives: numbers begin anew with each life of a caller. What an earlier one asked is answered to
// nobody, though a call of the same number is under way; and a callee that starts again at its
// address knows nothing of what its last life was asked.
func TestLives(t *testing.T) {
	t.Parallel()
	entered, goOn, gone := make(chan bool), make(chan bool), make(chan bool)
	s, before := serve(t, func(s *Server) {
		Handle(s, func(ctx context.Context, q ask) (answer, error) {
			if q.N == 1 { // asked by the last life
				close(entered)
				<-ctx.Done()
				close(gone)
				return answer{1}, nil
			}
			<-goOn
			return answer(q), nil
		})
	})
	before.near = time.Hour
	go func() { _, _ = Call[ask, answer](context.Background(), before, ask{1}) }()
	<-entered
	now := NewPeer(before.Addr())
	now.near = time.Hour
	t.Cleanup(now.Close)
	type end struct {
		a   answer
		err error
	}
	ends := make(chan end, 1)
	go func() {
		a, err := Call[ask, answer](t.Context(), now, ask{2})
		ends <- end{a, err}
	}()
	before.Close()
	<-gone
	close(goOn)
	e := <-ends
	assert.NilError(t, e.err)
	assert.Equal(t, e.a.N, 2)

	s.Close() // and starts again at its address
	_, err := Call[ask, answer](t.Context(), now, ask{3})
	assert.Assert(t, err != nil)
	again := NewServer()
	Handle(again, func(_ context.Context, q ask) (answer, error) { return answer{q.N + 7}, nil })
	ln, err := Listen(now.Addr())
	assert.NilError(t, err)
	t.Cleanup(again.Close)
	go func() { _ = again.Serve(ln) }()
	for range 3 {
		var a answer
		for err = io.EOF; err != nil; {
			if a, err = Call[ask, answer](t.Context(), now, ask{4}); err != nil {
				assert.Assert(t, KindOf(err) == Unavailable || KindOf(err) == Unknown, "%v", err)
			}
		}
		assert.Equal(t, a.N, 11)
	}
}

// TestAQuestionThatIsCut is not carried out: at each byte of two, those that came whole are.
func TestAQuestionThatIsCut(t *testing.T) {
	t.Parallel()
	did := make(chan int, 9)
	_, p := serve(t, func(s *Server) {
		Handle(s, func(_ context.Context, q ask) (answer, error) {
			did <- q.N
			return answer{}, nil
		})
	})
	var text []byte
	ends := map[int]int{}
	for n := 1; n <= 2; n++ {
		body, err := wire.Marshal(ask{n})
		assert.NilError(t, err)
		b, err := encode(frame{ID: uint64(n), Name: NameOf[ask](), Body: body})
		assert.NilError(t, err)
		text = append(text, b...)
		ends[n] = len(text)
	}
	for at := range len(text) + 1 {
		c, err := net.Dial("tcp", p.Addr())
		assert.NilError(t, err)
		_, err = c.Write(text[:at])
		assert.NilError(t, err)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		_, err = io.Copy(io.Discard, c) // until the server ends it
		assert.NilError(t, err)
		_ = c.Close()
		want := 0
		for _, end := range ends {
			if end <= at {
				want++
			}
		}
		for range want {
			<-did
		}
		assert.Equal(t, len(did), 0, "cut at %d", at)
	}
}
