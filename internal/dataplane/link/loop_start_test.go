package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// TestLoopStartsWithoutUnixSockets checks that posted calls and connections reach the loop on
// a system that refuses Unix sockets.
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
			t.Fatalf("socket pair error %v: %v", refused, err)
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
			t.Errorf("socket pair error %v: %v", refused, err)
		}
	}
}

// openedFunc is an endpoint that is called when its connection opens.
type openedFunc func()

func (s openedFunc) opened(conn)    { s() }
func (s openedFunc) traffic([]byte) {}
func (s openedFunc) closed(error)   {}
