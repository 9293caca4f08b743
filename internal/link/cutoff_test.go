package link

import (
	"io"
	"net"
	"testing"
	"time"

	"foxwood/gatekeeper"
)

// TestNothingLeavesByALinkThatHasEnded guards against gnet's close, which writes what is
// still buffered after OnClose: a request that was given up with its last byte unsent, and
// so proved to have never run, would yet arrive whole.
func TestNothingLeavesByALinkThatHasEnded(t *testing.T) {
	const body = 8 << 20 // more than the kernel takes
	for _, carrier := range []Carrier{OneAtATime, Pipeline} {
		t.Run(carrier.String(), func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			loop, err := NewLoop(NewBudget(1024, 0))
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := loop.Stop(); err != nil {
					t.Error(err)
				}
			}()
			clock := gatekeeper.NewClock()
			w := newWorld(Transport{}) // only to be told of ends
			f := NewFleet(loop, clock, modelReader{}, 250, 5000, Transport{Carrier: carrier})
			f.Attach(w)
			x := execution(1, 0, body)
			loop.Post(func() { f.Place(1, ln.Addr().String(), 0); f.Execute(x) })
			c, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			buffered := make(chan bool)
			look := func() {
				switch at := x.Slot.(type) {
				case *server:
					buffered <- at.c.OutboundBuffered() > 0
				case *trunk:
					buffered <- at.c.OutboundBuffered() > 0
				default:
					buffered <- false
				}
			}
			for loop.Post(look); !<-buffered; loop.Post(look) {
			}
			// The loop is held while the worker makes room in the kernel, then gives up.
			held, drained, sent := make(chan bool), make(chan bool), make(chan bool, 1)
			loop.Post(func() { held <- true; <-drained; sent <- f.Abandon(x) })
			<-held
			total := 0
			b := make([]byte, 1<<20)
			for {
				_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				n, err := c.Read(b)
				if total += n; err != nil {
					break
				}
			}
			drained <- true
			if <-sent {
				t.Fatal("said to be sent whole")
			}
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			rest, err := io.Copy(io.Discard, c)
			if total += int(rest); err == nil && total >= body {
				t.Errorf("all of its %d bytes arrived", total)
			}
		})
	}
}
