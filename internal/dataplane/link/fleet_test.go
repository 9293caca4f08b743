package link

import (
	"fmt"
	"slices"
	"testing"

	"golang.org/x/net/http2"
	"pgregory.net/rapid"

	"foxwood/gatekeeper"
	_ "foxwood/internal/fixedseed"
	"foxwood/policy"
)

// protocolRun is the state of a random test of one protocol.
type protocolRun struct {
	*world
	t          *rapid.T
	protocol   Protocol
	pending    []*gatekeeper.Execution
	executions []*gatekeeper.Execution
	abandoned  map[*gatekeeper.Execution]bool
	everOpened []*fakeConn // every connection that was ever open
}

// hasRun reports whether any worker received the whole request and did not refuse it.
func (d *protocolRun) hasRun(execution *gatekeeper.Execution) bool {
	return slices.ContainsFunc(d.everOpened, func(c *fakeConn) bool { return c.model != nil && c.model.hasRun(execution.Request.Name) })
}

// checkRules checks the outcomes reported so far.
func (d *protocolRun) checkRules() {
	d.pending = slices.DeleteFunc(d.pending, func(execution *gatekeeper.Execution) bool {
		ends := d.outcomes[execution]
		if len(ends) == 0 {
			return false
		}
		switch o := ends[0]; o.Status {
		case policy.OK:
			if got := string(o.Answer.Body); got != "ran "+execution.Request.Name {
				d.t.Fatalf("request %s got the response %q", execution.Request.Name, got)
			}
		case policy.ConnectFailed, policy.Full:
			if d.hasRun(execution) {
				d.t.Fatalf("request %s was reported as never run, but a worker has run it", execution.Request.Name)
			}
		}
		return true
	})
	for _, execution := range d.executions {
		switch n := len(d.outcomes[execution]); {
		case n > 1:
			d.t.Fatalf("request %s ended %d times", execution.Request.Name, n)
		case n == 1 && d.abandoned[execution]:
			d.t.Fatalf("request %s was abandoned and also ended", execution.Request.Name)
		}
	}
	for execution := range d.abandoned { // the peer must know, or the connection must be closed
		for _, c := range d.conns {
			if c.model.hasRun(execution.Request.Name) && slices.Contains(c.model.pendingIDs(), execution.Request.Name) && !c.model.cancelled(execution.Request.Name) {
				d.t.Fatalf("request %s was abandoned and is still in flight", execution.Request.Name)
			}
		}
	}
}

// drawConn draws an open connection that has not delivered random bytes. After such bytes, the
// start of the next message would be undefined.
func (d *protocolRun) drawConn() *fakeConn {
	var sane []int
	for i, c := range d.conns {
		if !c.sentNoise {
			sane = append(sane, i)
		}
	}
	if len(sane) == 0 {
		d.t.Skip("no connection")
	}
	return d.conns[rapid.SampledFrom(sane).Draw(d.t, "conn")]
}

// deliver delivers input on a connection in pieces, without other events in between.
func (d *protocolRun) deliver(c *fakeConn, b []byte) {
	for len(b) > 0 && !c.closed {
		n := rapid.IntRange(1, len(b)).Draw(d.t, "piece")
		c.endpoint.traffic(b[:n])
		b = b[n:]
	}
}

func (d *protocolRun) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"execute": func(t *rapid.T) {
			body := rapid.SampledFrom([]int{0, 0, 0, 10, 3000}).Draw(t, "body")
			execution := newExecution(len(d.executions), rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "class"), body)
			d.executions, d.pending = append(d.executions, execution), append(d.pending, execution)
			d.workerConns.Execute(execution)
		},
		"execute in the same turn": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				execution := newExecution(len(d.executions), 0, 0)
				d.executions, d.pending = append(d.executions, execution), append(d.pending, execution)
				d.workerConns.Execute(execution)
			}
		},
		"give up": func(t *rapid.T) {
			if len(d.pending) == 0 {
				t.Skip("nothing in flight")
			}
			execution := rapid.SampledFrom(d.pending).Draw(t, "which")
			d.pending = slices.DeleteFunc(d.pending, func(o *gatekeeper.Execution) bool { return o == execution })
			d.abandoned[execution] = true
			d.workerConns.Abandon(execution)
		},
		"come up": func(t *rapid.T) {
			if len(d.dials) == 0 {
				t.Skip("nothing is being dialed")
			}
			conn := d.dials[0]
			d.dials = d.dials[1:]
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				conn.failed(fmt.Errorf("refused"))
				return
			}
			conn.model, conn.acceptBytes = newModel(d.protocol), rapid.SampledFrom([]int{0, 100, 1 << 20, 1 << 20}).Draw(t, "room")
			d.conns, d.everOpened = append(d.conns, conn), append(d.everOpened, conn)
			conn.endpoint.opened(conn)
			if s, ok := conn.model.(*http2Model); ok {
				conn.endpoint.traffic(s.frames(func(f *http2.Framer) { _ = f.WriteSettings() }))
			}
		},
		"take more": func(t *rapid.T) { d.drawConn().accept(rapid.IntRange(1, 4000).Draw(t, "bytes")) },
		"answer": func(t *rapid.T) {
			conn := d.drawConn()
			ids := conn.model.pendingIDs()
			if len(ids) == 0 {
				t.Skip("nothing to answer")
			}
			d.deliver(conn, conn.model.answer(rapid.SampledFrom(ids).Draw(t, "which")))
		},
		"answer and refuse": func(t *rapid.T) {
			conn := d.drawConn()
			ids := slices.Clone(conn.model.pendingIDs())
			if len(ids) < 2 {
				t.Skip("nothing to refuse")
			}
			if b := conn.model.refuse(ids[1]); b != nil {
				d.deliver(conn, append(b, conn.model.answer(ids[0])...))
			}
		},
		"leave": func(*rapid.T) {
			conn := d.drawConn()
			if b := conn.model.goAway(); b != nil {
				d.deliver(conn, b)
			}
		},
		"half an answer": func(t *rapid.T) {
			conn := d.drawConn()
			ids := conn.model.pendingIDs()
			if len(ids) == 0 {
				t.Skip("nothing to answer")
			}
			b := conn.model.answer(ids[0])
			conn.endpoint.traffic(b[:len(b)/2])
			if !conn.closed {
				conn.close()
			}
		},
		"twice the same answer": func(t *rapid.T) {
			conn := d.drawConn()
			ids := conn.model.pendingIDs()
			if len(ids) == 0 {
				t.Skip("nothing to answer")
			}
			b := conn.model.answer(ids[0])
			if d.protocol == HTTP2 { // a header block can't be decoded twice with the same result
				d.deliver(conn, b)
				return
			}
			d.deliver(conn, append(slices.Clone(b), b...))
		},
		"noise": func(t *rapid.T) {
			conn := d.drawConn()
			conn.sentNoise = true
			d.deliver(conn, rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "noise"))
		},
		"break": func(*rapid.T) { d.drawConn().close() },
		"pass": func(t *rapid.T) {
			d.advance(rapid.SampledFrom([]float64{1, 6, 250, 1100}).Draw(t, "ms"))
			d.workerConns.Sweep()
		},
		"move": func(t *rapid.T) {
			d.workerConns.Place(1, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to"), rapid.SampledFrom([]float64{0, 0, d.clock.Now() - 5}).Draw(t, "since"))
		},
		"release": func(*rapid.T) { d.workerConns.Release(1) },
		"":        func(*rapid.T) { d.endIteration(); d.checkRules() },
	}
}

// TestEachExecutionEndsOnce runs random sequences of input, connection losses, cancellations
// and time-outs with each protocol. It checks that each execution ends exactly once, that it
// never gets another request's response, that it is reported as never run only if no worker
// has run it, and that it is no longer in flight after it was abandoned.
func TestEachExecutionEndsOnce(t *testing.T) {
	for _, protocol := range []Protocol{HTTP1, Pipeline, HTTP2, Batch} {
		t.Run(protocol.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tr := Transport{Protocol: protocol}
				if protocol == Batch {
					tr.BatchDelayMS = rapid.SampledFrom([]float64{0, 2}).Draw(t, "gather")
				}
				run := &protocolRun{world: newWorld(tr), t: t, protocol: protocol, abandoned: map[*gatekeeper.Execution]bool{}}
				for range 10 { // lets short requests share a pipeline
					run.workerConns.estimator.Observe(0, 1)
				}
				run.workerConns.Place(1, "a", 0)
				t.Repeat(run.actions())
				for len(run.dials) > 0 || len(run.conns) > 0 {
					for len(run.dials) > 0 {
						c := run.dials[0]
						run.dials = run.dials[1:]
						c.failed(fmt.Errorf("refused"))
					}
					for len(run.conns) > 0 {
						run.conns[0].close()
					}
					run.endIteration()
				}
				run.workerConns.Release(1)
				run.checkRules()
				if len(run.pending) > 0 {
					t.Fatalf("%d executions never ended", len(run.pending))
				}
				if run.workerConns.connCount != 0 || run.workerConns.dialing != 0 {
					t.Fatalf("counted %d connections and %d dials, want 0 and 0", run.workerConns.connCount, run.workerConns.dialing)
				}
			})
		})
	}
}

// TestTwoIdleConnectionsWithUnreadInput guards against an index out of range. With executions
// waiting, closing an idle connection that had unread input assigned the other idle
// connections from within the loop over them, which then went on past the end of the list.
func TestTwoIdleConnectionsWithUnreadInput(t *testing.T) {
	env := newWorld(Transport{})
	env.workerConns.Place(1, "a", 0)
	for n := range 3 {
		env.workerConns.Execute(newExecution(n, 0, 0))
	}
	for _, conn := range env.dials[:2] {
		conn.model, conn.acceptBytes = newModel(HTTP1), 1<<20
		env.conns = append(env.conns, conn)
		conn.endpoint.opened(conn)
	}
	// Both connections become idle. Without a socket, a fakeConn counts as having unread input.
	for _, conn := range env.conns {
		conn.endpoint.traffic(conn.model.answer(""))
	}
	env.advance(settleMS + 1)
	if len(env.conns) != 0 {
		t.Errorf("%d connections with unread input are still open, want 0", len(env.conns))
	}
}

// TestConnectionToFormerProcessIsNotUsed checks that connections are closed when they lead to
// a former address, or were opened before the worker's present process started. Connections
// that were opened after the start, but before it was reported, stay open.
func TestConnectionToFormerProcessIsNotUsed(t *testing.T) {
	for _, protocol := range []Protocol{HTTP1, Pipeline, HTTP2, Batch} {
		t.Run(protocol.String(), func(t *testing.T) {
			env := newWorld(Transport{Protocol: protocol})
			env.workerConns.Place(1, "a", 0)
			open := func() {
				execution := newExecution(len(env.dials), 0, 0)
				env.workerConns.Execute(execution)
				c := env.dials[len(env.dials)-1]
				c.model, c.acceptBytes = newModel(protocol), 1<<20
				env.conns = append(env.conns, c)
				env.workerConns.Abandon(execution) // so that the connection is idle once open
				c.endpoint.opened(c)
				env.endIteration()
			}
			open()
			env.clock.Set(env.clock.Now() + 100)
			env.workerConns.Place(1, "a", env.clock.Now()-50)
			if len(env.conns) != 0 {
				t.Error("connection to the former process is still open")
			}
			open()
			env.workerConns.Place(1, "a", env.clock.Now()-10)
			if len(env.conns) != 1 {
				t.Error("connection to the present process is closed")
			}
			env.workerConns.Place(1, "b", env.clock.Now()-10)
			if len(env.conns) != 0 {
				t.Error("connection to the former address is still open")
			}
		})
	}
}

// TestFailedDialToFormerAddressIsRetried checks that a failed dial to a former address does
// not fail the waiting execution, but leads to a dial to the present address.
func TestFailedDialToFormerAddressIsRetried(t *testing.T) {
	for _, protocol := range []Protocol{HTTP1, Pipeline, HTTP2, Batch} {
		t.Run(protocol.String(), func(t *testing.T) {
			env := newWorld(Transport{Protocol: protocol})
			env.workerConns.Place(1, "a", 0)
			execution := newExecution(0, 0, 0)
			env.workerConns.Execute(execution)
			env.workerConns.Place(1, "b", 0)
			env.dials[0].failed(fmt.Errorf("refused"))
			if len(env.outcomes[execution]) != 0 || len(env.dials) != 2 {
				t.Errorf("outcomes %v, %d dials; want none and 2", env.outcomes[execution], len(env.dials))
			}
		})
	}
}
