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

	"foxwood/internal/platform"
	"foxwood/policy"
)

const patience = 5 * time.Second

// heard notes what a peer says.
type heard struct{ said chan string }

func (h heard) Ready(*Peer)                 { h.said <- "ready" }
func (h heard) Go(*Peer)                    { h.said <- "go" }
func (h heard) Drew(_ *Peer, d policy.Draw) { h.said <- "drew " + string(rune('0'+d.Plan)) }
func (h heard) Lost(*Peer, error)           { h.said <- "lost" }

func (h heard) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-h.said:
			if got != w {
				t.Fatalf("heard %q in place of %q", got, w)
			}
		case <-time.After(patience):
			t.Fatalf("%q was not heard", w)
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

// TestAMeetingGoesFromHelloToGo, with the state, the list and the listener, and draws of
// both sides in their order.
func TestAMeetingGoesFromHelloToGo(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:8000")
	ln := listen(t, nil)
	sent := Offer{State: policy.Snapshot{Version: policy.SnapshotVersion, Bound: 7},
		List: platform.List{Generation: 9, Instances: []platform.Instance{{ID: "s-1", Addr: "127.0.0.1:1"}}}, Classes: []string{"a"}}
	old, fresh := heard{make(chan string, 10)}, heard{make(chan string, 10)}
	peers := make(chan *Peer, 1)
	socket, err := Wait(path, func(m *Meeting) {
		p, err := m.Offer(sent, ln)
		if err != nil {
			t.Error(err)
			return
		}
		peers <- p
		p.Run(old)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	p, got, theirs, err := Meet(path, patience)
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	sent.Version = Version
	if diff := cmp.Diff(&sent, got); diff != "" {
		t.Fatalf("offer (-sent +got):\n%s", diff)
	}
	go p.Run(fresh)
	before := <-peers
	before.Draw(policy.Draw{Plan: 1})
	p.Ready()
	p.Draw(policy.Draw{Plan: 2})
	old.expect(t, "ready", "drew 2")
	before.Go()
	before.Draw(policy.Draw{Plan: 3})
	fresh.expect(t, "drew 1", "go", "drew 3")

	ln.Close() // the queue is the other's now
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := theirs.Accept(); err != nil {
		t.Fatal(err)
	}
	p.Close()
	old.expect(t, "lost")
}

// TestMeetFailsInTime where nobody is there, or nobody who answers as they should.
func TestMeetFailsInTime(t *testing.T) {
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
				ln.Close() // the socket is stale
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
			if _, _, _, err := Meet(path, 200*time.Millisecond); err == nil {
				t.Fatal("met")
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("after %v", took)
			}
		})
	}
}

// TestSilentCallersKeepNobodyOut, nor do those that speak another version.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	path := Path(t.TempDir(), "a")
	ln := listen(t, nil)
	socket, err := Wait(path, func(m *Meeting) { _, _ = m.Offer(Offer{}, ln) })
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	for range 2 {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	other, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := write(other, message{Hello: Version + 1}, -1); err != nil {
		t.Fatal(err)
	}
	_, _, theirs, err := Meet(path, patience)
	if err != nil {
		t.Fatal(err)
	}
	theirs.Close()
}

// TestASocketIsTakenOverWhole: the name always leads to one that is waited at.
func TestASocketIsTakenOverWhole(t *testing.T) {
	path := Path(t.TempDir(), "a")
	met := make(chan int, 2)
	for i := range 2 {
		s, err := Wait(path, func(m *Meeting) { met <- i; m.conn.Close() })
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
	}
	_, _, _, _ = Meet(path, patience)
	if got := <-met; got != 1 {
		t.Fatal("the first was met")
	}
	if left, err := os.ReadDir(filepath.Dir(path)); err != nil || len(left) != 1 {
		t.Fatalf("%v %v", left, err)
	}
}

// TestOneQueueLosesNothing measures what a closing listener does to connections that wait
// to be accepted: with a queue of each process's own (SO_REUSEPORT) its own are reset, with
// one that both have none is.
func TestOneQueueLosesNothing(t *testing.T) {
	const callers = 64
	shared := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}
	lost := func(second func(first *net.TCPListener) *net.TCPListener) (n int) {
		first := listen(t, shared)
		other := second(first)
		defer other.Close()
		var all []net.Conn
		for range callers {
			c, err := net.Dial("tcp", first.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = c.Write([]byte("x"))
			all = append(all, c)
		}
		first.Close()
		go func() {
			for {
				c, err := other.Accept()
				if err != nil {
					return
				}
				_, _ = io.Copy(c, io.LimitReader(c, 1))
				c.Close()
			}
		}()
		for _, c := range all {
			_ = c.SetDeadline(time.Now().Add(patience))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				n++
			}
		}
		return n
	}
	own := lost(func(first *net.TCPListener) *net.TCPListener {
		ln, err := (&net.ListenConfig{Control: shared}).Listen(context.Background(), "tcp", first.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return ln.(*net.TCPListener)
	})
	one := lost(func(first *net.TCPListener) *net.TCPListener {
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
	t.Logf("of %d connections that wait: %d are reset with SO_REUSEPORT, %d with one queue", callers, own, one)
	if one != 0 {
		t.Errorf("%d were lost from one queue", one)
	}
}
