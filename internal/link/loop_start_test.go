package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// TestLoopStartsWithoutUnixSockets guards a start where the system refuses them: posted
// calls and connections have to reach the loop as anywhere else.
func TestLoopStartsWithoutUnixSockets(t *testing.T) {
	original := newSocketPair
	t.Cleanup(func() { newSocketPair = original })
	for _, refused := range []error{nil, syscall.EAFNOSUPPORT, syscall.ENOSYS} {
		newSocketPair = original
		if refused != nil {
			newSocketPair = func() (net.Conn, io.Closer, error) { return nil, nil, refused }
		}
		loop, err := NewLoop(NewBudget(200, 0))
		if err != nil {
			t.Fatalf("pair: %v: %v", refused, err)
		}
		posted, opened := make(chan bool), make(chan bool)
		loop.Post(func() { close(posted) })
		<-posted
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		loop.dial(listener.Addr().String(), watchDialTimeout, openedFunc(func() { close(opened) }), func(err error) { t.Error(err) })
		<-opened
		if err := errors.Join(listener.Close(), loop.Stop()); err != nil {
			t.Errorf("pair: %v: %v", refused, err)
		}
	}
}

// seen is an endpoint that only tells of its opening.
type openedFunc func()

func (s openedFunc) opened(conn)    { s() }
func (s openedFunc) traffic([]byte) {}
func (s openedFunc) closed(error)   {}
