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

// scriptedPeer starts a server that runs one script for each connection in turn, and returns a peer for it.
func scriptedPeer(t *testing.T, scripts ...func(conn net.Conn, in *bufio.Reader)) *Peer {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan bool)
	go func() {
		defer close(done)
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script(conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	peer := NewPeer(listener.Addr().String())
	peer.connectWait = time.Hour // a busy test machine must not count as a slow connection
	t.Cleanup(func() {
		peer.Close()
		_ = listener.Close()
		<-done
	})
	return peer
}

// readRequests reads count requests and returns the encoded answers to them, by the requests' N.
func readRequests(reader *bufio.Reader, count int) map[int][]byte {
	answers := map[int][]byte{}
	for range count {
		f, err := decode(reader)
		if err != nil {
			return answers
		}
		var received request
		if encoded, err := f.encodeAnswer(&received); err == nil {
			answers[received.N] = encoded
		}
	}
	return answers
}

// encodeAnswer decodes the request in a frame and returns the encoded frame that answers it with N + 1000.
func (f *frame) encodeAnswer(received *request) ([]byte, error) {
	if err := cbor.Unmarshal(f.Body, received); err != nil {
		return nil, err
	}
	body, err := encMode.Marshal(response{received.N + 1000})
	if err != nil {
		return nil, err
	}
	return encode(frame{ID: f.ID, Body: body})
}

// callTwice makes two concurrent calls and returns their errors. A call that succeeded must have its own answer.
func callTwice(t *testing.T, peer *Peer) (errs [2]error) {
	t.Helper()
	var responses [2]response
	done := make(chan int, 2)
	for i := range 2 {
		go func() {
			responses[i], errs[i] = Call[request, response](t.Context(), peer, request{i + 1})
			done <- i
		}()
	}
	<-done
	<-done
	for i := range 2 {
		if errs[i] == nil {
			assert.Equal(t, responses[i].N, 1001+i, "another call's answer")
		} else {
			assert.Equal(t, KindOf(errs[i]), Unknown, "the call may have been executed")
		}
	}
	return errs
}

// answerAll answers requests until the connection ends.
func answerAll(conn net.Conn, reader *bufio.Reader) {
	for {
		for _, encoded := range readRequests(reader, 1) {
			if _, err := conn.Write(encoded); err != nil {
				return
			}
		}
		if _, err := reader.Peek(1); err != nil {
			return
		}
	}
}

// TestAnswersTruncatedAtEachByte sends the answers to two concurrent calls in any order, duplicated, and
// truncated at each byte. Each call must get its own answer or fail as unknown, and the next call must use
// another connection.
func TestAnswersTruncatedAtEachByte(t *testing.T) {
	t.Parallel()
	orders := [][]int{{1, 2}, {2, 1}, {1, 1, 2}, {2, 1, 2, 1}}
	for _, order := range orders {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, reset %t", order, reset), func(t *testing.T) {
				t.Parallel()
				for cutAt, size := 0, 1; cutAt <= size; cutAt++ {
					var sentBytes []byte
					firstEnd := map[int]int{} // offset at which the first answer to each request ends
					sentSize := make(chan int, 1)
					peer := scriptedPeer(t, func(conn net.Conn, reader *bufio.Reader) {
						answers := readRequests(reader, 2)
						for _, n := range order {
							if sentBytes = append(sentBytes, answers[n]...); firstEnd[n] == 0 {
								firstEnd[n] = len(sentBytes)
							}
						}
						sentSize <- len(sentBytes)
						_, _ = conn.Write(sentBytes[:min(cutAt, len(sentBytes))])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					}, answerAll)
					errs := callTwice(t, peer)
					size = <-sentSize
					for i, err := range errs {
						complete := firstEnd[i+1] <= cutAt
						assert.Assert(t, err != nil || complete, "call succeeded, but its answer was truncated at byte %d of %d", cutAt, firstEnd[i+1])
						assert.Assert(t, err == nil || !complete || reset, "%v", err)
					}
					got, err := Call[request, response](t.Context(), peer, request{5})
					for KindOf(err) == Unknown && err != nil { // sent before the end of the connection was noticed
						got, err = Call[request, response](t.Context(), peer, request{5})
					}
					assert.NilError(t, err)
					assert.Equal(t, got.N, 1005)
					peer.Close()
				}
			})
		}
	}
}

// TestLateAnswerIsDiscarded sends the answer to a cancelled call on its closed connection and, under its old
// ID, on the next connection. The call in progress there must get its own answer.
func TestLateAnswerIsDiscarded(t *testing.T) {
	t.Parallel()
	received, lateAnswer := make(chan bool), make(chan []byte, 1)
	peer := scriptedPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		old := readRequests(reader, 1)[1]
		close(received)
		_, err := reader.ReadByte()
		assert.Check(t, err != nil, "the connection was not closed after a call that timed out")
		_, _ = conn.Write(old)
		lateAnswer <- old
	}, func(conn net.Conn, reader *bufio.Reader) {
		old := <-lateAnswer
		own := readRequests(reader, 1)[2]
		_, _ = conn.Write(slices.Concat(old, own, old, own))
		_, _ = reader.ReadByte()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-received; cancel() }()
	_, err := Call[request, response](ctx, peer, request{1})
	assert.Equal(t, KindOf(err), Unknown)
	answer, err := Call[request, response](t.Context(), peer, request{2})
	assert.NilError(t, err)
	assert.Equal(t, answer.N, 1002)
}

// TestRestartOfCallerAndServer: call IDs restart with each incarnation of a caller, so the answer to a call
// of the previous incarnation must not reach a call in progress with the same ID. A server that restarts at
// its address must answer new calls only.
func TestRestartOfCallerAndServer(t *testing.T) {
	t.Parallel()
	started, proceed, abandoned := make(chan bool), make(chan bool), make(chan bool)
	server, oldPeer := startServer(t, func(server *Server) {
		Handle(server, func(ctx context.Context, q request) (response, error) {
			if q.N == 1 { // from the previous incarnation
				close(started)
				<-ctx.Done()
				close(abandoned)
				return response{1}, nil
			}
			<-proceed
			return response(q), nil
		})
	})
	oldPeer.connectWait = time.Hour
	go func() { _, _ = Call[request, response](context.Background(), oldPeer, request{1}) }()
	<-started
	newPeer := NewPeer(oldPeer.Addr())
	newPeer.connectWait = time.Hour
	t.Cleanup(newPeer.Close)
	type result struct {
		a   response
		err error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := Call[request, response](t.Context(), newPeer, request{2})
		results <- result{answer, err}
	}()
	oldPeer.Close()
	<-abandoned
	close(proceed)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.a.N, 2)

	server.Close() // and restart at the same address
	_, err := Call[request, response](t.Context(), newPeer, request{3})
	assert.Assert(t, err != nil)
	restarted := NewServer()
	Handle(restarted, func(_ context.Context, q request) (response, error) { return response{q.N + 7}, nil })
	listener, err := Listen(newPeer.Addr())
	assert.NilError(t, err)
	t.Cleanup(restarted.Close)
	go func() { _ = restarted.Serve(listener) }()
	for range 3 {
		var answer response
		for err = io.EOF; err != nil; {
			if answer, err = Call[request, response](t.Context(), newPeer, request{4}); err != nil {
				assert.Assert(t, KindOf(err) == Unavailable || KindOf(err) == Unknown, "%v", err)
			}
		}
		assert.Equal(t, answer.N, 11)
	}
}

// TestTruncatedRequestIsNotExecuted truncates two requests at each byte. Exactly the complete ones must be
// executed.
func TestTruncatedRequestIsNotExecuted(t *testing.T) {
	t.Parallel()
	executed := make(chan int, 9)
	_, peer := startServer(t, func(server *Server) {
		Handle(server, func(_ context.Context, q request) (response, error) {
			executed <- q.N
			return response{}, nil
		})
	})
	var frames []byte
	frameEnds := map[int]int{}
	for n := 1; n <= 2; n++ {
		body, err := encMode.Marshal(request{n})
		assert.NilError(t, err)
		encoded, err := encode(frame{ID: uint64(n), Name: NameOf[request](), Body: body})
		assert.NilError(t, err)
		frames = append(frames, encoded...)
		frameEnds[n] = len(frames)
	}
	for cutAt := range len(frames) + 1 {
		conn, err := net.Dial("tcp", peer.Addr())
		assert.NilError(t, err)
		_, err = conn.Write(frames[:cutAt])
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		_, err = io.Copy(io.Discard, conn) // until the server closes it
		assert.NilError(t, err)
		_ = conn.Close()
		want := 0
		for _, end := range frameEnds {
			if end <= cutAt {
				want++
			}
		}
		for range want {
			<-executed
		}
		assert.Equal(t, len(executed), 0, "truncated at byte %d", cutAt)
	}
}
