package link

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"foxwood/gatekeeper"
)

// failingListener fails its first calls of Accept as if out of file descriptors.
type failingListener struct {
	net.Listener
	failures int
	attempts chan int
}

func (s *failingListener) Accept() (net.Conn, error) {
	if s.failures > 0 {
		s.failures--
		s.attempts <- s.failures
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// TestAcceptSurvivesDescriptorExhaustion guards against using gnet's listener, which stops the
// engine, and with it every request, when accept fails.
func TestAcceptSurvivesDescriptorExhaustion(t *testing.T) {
	loop, err := NewLoop(NewBudget(200, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = loop.Stop() })
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tried := make(chan int, 3)
	listener.acceptor = &failingListener{Listener: listener.TCPListener, failures: 3, attempts: tried}
	accepted := make(chan bool, 1)
	acceptEnded := make(chan bool)
	clients := NewClientConns(loop, gatekeeper.NewClock(), nil, nil)
	go func() {
		listener.Accept(loop, func() *ClientConn { accepted <- true; return clients.NewConn() })
		close(acceptEnded)
	}()
	for range 3 {
		<-tried
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-accepted
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	<-acceptEnded
}

func TestBudgetFitsDescriptorLimit(t *testing.T) {
	for _, limit := range []int{64, 128, 192, 256, 1024, 20000} {
		b := NewBudget(limit, 0)
		if b.MaxClients < 1 || b.MaxWorkers < 1 {
			t.Errorf("limit %d: %+v, want at least 1 client and 1 worker connection", limit, b)
		}
		if most := b.MaxClients + b.MaxWorkers + 2*b.MaxDialing + b.MaxCounters + minReservedFDs; limit >= 128 && most > limit {
			t.Errorf("limit %d is exceeded by %d", limit, most-limit)
		}
	}
}
