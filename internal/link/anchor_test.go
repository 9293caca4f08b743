package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// TestTheLoopStartsWithoutUnixSockets guards a start where the system refuses them: posted
// calls and connections have to reach the loop as anywhere else.
func TestTheLoopStartsWithoutUnixSockets(t *testing.T) {
	before := quietPair
	t.Cleanup(func() { quietPair = before })
	for _, refused := range []error{nil, syscall.EAFNOSUPPORT, syscall.ENOSYS} {
		quietPair = before
		if refused != nil {
			quietPair = func() (net.Conn, io.Closer, error) { return nil, nil, refused }
		}
		loop, err := NewLoop(NewBudget(200, 0))
		if err != nil {
			t.Fatalf("pair: %v: %v", refused, err)
		}
		posted, opened := make(chan bool), make(chan bool)
		loop.Post(func() { close(posted) })
		<-posted
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		loop.dial(ln.Addr().String(), watchPatient, seen(func() { close(opened) }), func(err error) { t.Error(err) })
		<-opened
		if err := errors.Join(ln.Close(), loop.Stop()); err != nil {
			t.Errorf("pair: %v: %v", refused, err)
		}
	}
}

// seen is an endpoint that only tells of its opening.
type seen func()

func (s seen) opened(conn)    { s() }
func (s seen) traffic([]byte) {}
func (s seen) closed(error)   {}
