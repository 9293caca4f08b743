package link

import (
	"io"
	"net"
	"testing"
	"time"

	"foxwood/gatekeeper"
)

// TestNoBytesSentAfterConnectionCloses checks that an abandoned request whose last byte was
// not sent does not arrive in full, and that its worker may have begun it nevertheless. gnet
// writes what is still buffered after OnClose.
func TestNoBytesSentAfterConnectionCloses(t *testing.T) {
	const body = 8 << 20 // more than the kernel buffers
	for _, protocol := range []Protocol{HTTP1, Pipeline} {
		t.Run(protocol.String(), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			loop := newTestLoop(t)
			clock := gatekeeper.NewClock()
			recorder := newWorld(Transport{}) // only to record outcomes
			workerConns := NewWorkerConns(loop, clock, modelReader{}, 250, 5000, Transport{Protocol: protocol})
			workerConns.SetCore(recorder)
			execution := newExecution(1, 0, body)
			loop.Post(func() { workerConns.Place(1, listener.Addr().String(), 0); workerConns.Execute(execution) })
			workerSide, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer workerSide.Close()
			buffered := make(chan bool)
			look := func() {
				switch at := execution.TransportData.(type) {
				case *workerConn:
					buffered <- at.conn.OutboundBuffered() > 0
				case *muxConn:
					buffered <- at.conn.OutboundBuffered() > 0
				default:
					buffered <- false
				}
			}
			for loop.Post(look); !<-buffered; loop.Post(look) {
			}
			// The loop is blocked until the worker has made room in the kernel's buffers, and
			// then abandons the request.
			held, drained, progress := make(chan bool), make(chan bool), make(chan gatekeeper.SendProgress, 1)
			loop.Post(func() { held <- true; <-drained; progress <- workerConns.Abandon(execution) })
			<-held
			total := 0
			b := make([]byte, 1<<20)
			for {
				_ = workerSide.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				n, err := workerSide.Read(b)
				if total += n; err != nil {
					break
				}
			}
			drained <- true
			if got := <-progress; got != gatekeeper.SentPart {
				t.Fatalf("progress %v, want %v", got, gatekeeper.SentPart)
			}
			_ = workerSide.SetReadDeadline(time.Now().Add(5 * time.Second))
			rest, err := io.Copy(io.Discard, workerSide)
			if total += int(rest); err == nil && total >= body {
				t.Errorf("all %d bytes of the body arrived", total)
			}
		})
	}
}
