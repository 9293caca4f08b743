package handover

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"foxwood/internal/gateway/platform"
	"foxwood/policy"
)

// testTimeout is how long a test waits for an event that must happen.
const testTimeout = 5 * time.Second

// recordedEvents records the events of a peer by name.
type recordedEvents struct{ names chan string }

func (h recordedEvents) PeerReady(*Peer)    { h.names <- "ready" }
func (h recordedEvents) PeerReleased(*Peer) { h.names <- "go" }
func (h recordedEvents) PeerDrew(_ *Peer, d policy.PeerDraw) {
	h.names <- "drew " + string(rune('0'+d.Plan))
}
func (h recordedEvents) PeerLost(*Peer, error) { h.names <- "lost" }

func (h recordedEvents) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-h.names:
			if got != w {
				t.Fatalf("got event %q, want event %q", got, w)
			}
		case <-time.After(testTimeout):
			t.Fatalf("no event %q within %v", w, testTimeout)
		}
	}
}

func listen(t *testing.T, control func(network, address string, c syscall.RawConn) error) *net.TCPListener {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// TestHandoverProtocol covers a whole handover: the offer with state, worker list and listener,
// and the quota draws of both sides in their order.
func TestHandoverProtocol(t *testing.T) {
	path := SocketPath(t.TempDir(), "127.0.0.1:8000")
	ln := listen(t, nil)
	offer := Offer{State: policy.Snapshot{Version: policy.SnapshotVersion, InFlightLimit: 7},
		Workers: platform.WorkerList{Generation: 9, Instances: []platform.Instance{{ID: "s-1", Addr: "127.0.0.1:1"}}}, ClassNames: []string{"a"}}
	oldEvents, newEvents := recordedEvents{make(chan string, 10)}, recordedEvents{make(chan string, 10)}
	peers := make(chan *Peer, 1)
	socket, err := Listen(path, func(m *Successor) {
		newPeer, err := m.SendOffer(offer, ln)
		if err != nil {
			t.Error(err)
			return
		}
		peers <- newPeer
		newPeer.Run(oldEvents)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	newPeer, got, received, err := Connect(path, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer received.Close()
	offer.Version = ProtocolVersion
	if diff := cmp.Diff(&offer, got); diff != "" {
		t.Fatalf("offer (-sent +got):\n%s", diff)
	}
	go newPeer.Run(newEvents)
	oldPeer := <-peers
	oldPeer.SendDraw(policy.PeerDraw{Plan: 1})
	newPeer.SendReady()
	newPeer.SendDraw(policy.PeerDraw{Plan: 2})
	oldEvents.expect(t, "ready", "drew 2")
	oldPeer.SendReleased()
	oldPeer.SendDraw(policy.PeerDraw{Plan: 3})
	newEvents.expect(t, "drew 1", "go", "drew 3")

	ln.Close() // the accept queue belongs to the new process now
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := received.Accept(); err != nil {
		t.Fatal(err)
	}
	newPeer.Close()
	oldEvents.expect(t, "lost")
}

// TestConnectFailsInTime checks that a stale socket, and a peer that is silent or sends an
// invalid offer, delay the start of a new process only briefly.
func TestConnectFailsInTime(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"nobody":       nil,
		"silence":      func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
		"noise":        func(c net.Conn) { _, _ = c.Write([]byte("\x00\x00\x00\x05noise")) },
		"a long claim": func(c net.Conn) { _, _ = c.Write([]byte("\xff\xff\xff\xff")) },
		"half a frame": func(c net.Conn) { _, _ = c.Write([]byte("\x00\x00\x01\x00{\"offer\"")) },
		"no listener":  func(c net.Conn) { _, _ = c.Write([]byte("\x00\x00\x00\x17{\"offer\":{\"Version\":1}}")) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s")
			ln, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			if serve == nil {
				ln.(*net.UnixListener).SetUnlinkOnClose(false)
				ln.Close() // leaves a stale socket
			} else {
				defer ln.Close()
				go func() {
					if c, err := ln.Accept(); err == nil {
						defer c.Close()
						serve(c)
					}
				}()
			}
			began := time.Now()
			if _, _, _, err := Connect(path, 200*time.Millisecond); err == nil {
				t.Fatal("the handover succeeded")
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("failed after %v, want at most 1 s", took)
			}
		})
	}
}

// TestSilentConnectionsDoNotBlockHandover checks that a new process gets its offer although
// other connections were closed without a hello or have another protocol version.
func TestSilentConnectionsDoNotBlockHandover(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	ln := listen(t, nil)
	socket, err := Listen(path, func(m *Successor) { _, _ = m.SendOffer(Offer{}, ln) })
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	for range 2 {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	other, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := writeFrame(other, message{Hello: ProtocolVersion + 1}, -1); err != nil {
		t.Fatal(err)
	}
	_, _, received, err := Connect(path, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	received.Close()
}

// TestSocketIsReplacedAtomically checks that a second socket at the same path replaces the first
// and leaves no other file.
func TestSocketIsReplacedAtomically(t *testing.T) {
	path := SocketPath(t.TempDir(), "a")
	connected := make(chan int, 2)
	for i := range 2 {
		s, err := Listen(path, func(m *Successor) { connected <- i; m.conn.Close() })
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
	}
	_, _, _, _ = Connect(path, testTimeout)
	if got := <-connected; got != 1 {
		t.Fatalf("socket %d got the connection, want the second", got)
	}
	if files, err := os.ReadDir(filepath.Dir(path)); err != nil || len(files) != 1 {
		t.Fatalf("want one file in the directory, got %v, %v", files, err)
	}
}

// TestSharedListenerLosesNoConnection is why the listener itself is handed over. It counts the
// connections waiting to be accepted that are lost when one of two listeners closes. With
// SO_REUSEPORT each process has its own queue, and those in the closed one are reset; with a
// shared queue none is lost.
func TestSharedListenerLosesNoConnection(t *testing.T) {
	const callers = 64
	reusePort := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}
	lost := func(second func(first *net.TCPListener) *net.TCPListener) (failures int) {
		first := listen(t, reusePort)
		other := second(first)
		defer other.Close()
		var conns []net.Conn
		for range callers {
			conn, err := net.Dial("tcp", first.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("x"))
			conns = append(conns, conn)
		}
		first.Close()
		go func() {
			for {
				conn, err := other.Accept()
				if err != nil {
					return
				}
				_, _ = io.Copy(conn, io.LimitReader(conn, 1))
				conn.Close()
			}
		}()
		for _, c := range conns {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				failures++
			}
		}
		return failures
	}
	separateQueues := lost(func(first *net.TCPListener) *net.TCPListener {
		ln, err := (&net.ListenConfig{Control: reusePort}).Listen(context.Background(), "tcp", first.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return ln.(*net.TCPListener)
	})
	oneQueue := lost(func(first *net.TCPListener) *net.TCPListener {
		file, err := first.File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		ln, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		return ln.(*net.TCPListener)
	})
	t.Logf("of %d waiting connections: %d are reset with SO_REUSEPORT, %d with a shared queue", callers, separateQueues, oneQueue)
	if oneQueue != 0 {
		t.Errorf("%d connections were lost from the shared queue", oneQueue)
	}
}
