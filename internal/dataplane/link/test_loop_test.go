package link

import (
	"net"
	"testing"
)

// newTestLoop starts an event loop that stops with the test.
func newTestLoop(t *testing.T) *Loop {
	t.Helper()
	loop, err := NewLoop(NewBudget(1024, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := loop.Stop(); err != nil {
			t.Error(err)
		}
	})
	return loop
}

// listenTest accepts connections until the end of the test, passes each to serve on a goroutine of its own, and returns
// the address.
func listenTest(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}
