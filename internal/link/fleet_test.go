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

// day is a random run of one carrier.
type protocolRun struct {
	*world
	t          *rapid.T
	protocol   Carrier
	pending    []*gatekeeper.Execution
	executions []*gatekeeper.Execution
	abandoned  map[*gatekeeper.Execution]bool
	everOpened []*fakeConn // every connection there ever was
}

// ran tells whether any worker got a request whole and did not refuse it.
func (d *protocolRun) hasRun(execution *gatekeeper.Execution) bool {
	return slices.ContainsFunc(d.everOpened, func(c *fakeConn) bool { return c.model != nil && c.model.hasRun(execution.Request.Name) })
}

// check holds what has ended against the rules.
func (d *protocolRun) checkRules() {
	d.pending = slices.DeleteFunc(d.pending, func(execution *gatekeeper.Execution) bool {
		ends := d.outcomes[execution]
		if len(ends) == 0 {
			return false
		}
		switch o := ends[0]; o.Status {
		case policy.OK:
			if got := string(o.Answer.Body); got != "ran "+execution.Request.Name {
				d.t.Fatalf("request %s was given %q", execution.Request.Name, got)
			}
		case policy.ConnectFailed, policy.Full:
			if d.hasRun(execution) {
				d.t.Fatalf("request %s is said to have never run, and its worker has it", execution.Request.Name)
			}
		}
		return true
	})
	for _, execution := range d.executions {
		switch n := len(d.outcomes[execution]); {
		case n > 1:
			d.t.Fatalf("request %s ended %d times", execution.Request.Name, n)
		case n == 1 && d.abandoned[execution]:
			d.t.Fatalf("request %s was given up and ended", execution.Request.Name)
		}
	}
	for execution := range d.abandoned { // the peer knows, or the link has ended
		for _, c := range d.conns {
			if c.model.hasRun(execution.Request.Name) && slices.Contains(c.model.pendingIDs(), execution.Request.Name) && !c.model.cancelled(execution.Request.Name) {
				d.t.Fatalf("request %s was given up and is still out", execution.Request.Name)
			}
		}
	}
}

// conn draws one of the open connections that have brought no noise: where what comes
// behind noise begins, nobody knows.
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

// say has a connection bring bytes, in pieces, with nothing else in between.
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
			d.fleet.Execute(execution)
		},
		"execute in the same turn": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				execution := newExecution(len(d.executions), 0, 0)
				d.executions, d.pending = append(d.executions, execution), append(d.pending, execution)
				d.fleet.Execute(execution)
			}
		},
		"give up": func(t *rapid.T) {
			if len(d.pending) == 0 {
				t.Skip("nothing is out")
			}
			execution := rapid.SampledFrom(d.pending).Draw(t, "which")
			d.pending = slices.DeleteFunc(d.pending, func(o *gatekeeper.Execution) bool { return o == execution })
			d.abandoned[execution] = true
			d.fleet.Abandon(execution)
		},
		"come up": func(t *rapid.T) {
			if len(d.dials) == 0 {
				t.Skip("nothing is opened")
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
			if d.protocol == HTTP2 { // a closed stream's frames would not decode alike twice
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
			d.fleet.Sweep()
		},
		"move": func(t *rapid.T) {
			d.fleet.Place(1, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to"), rapid.SampledFrom([]float64{0, 0, d.clock.Now() - 5}).Draw(t, "since"))
		},
		"release": func(*rapid.T) { d.fleet.Release(1) },
		"":        func(*rapid.T) { d.endIteration(); d.checkRules() },
	}
}

// TestEachExecutionEndsOnce plays random interleavings of bytes, breaks,
// cancels and time-outs on every carrier, and holds them against the rules: one end each;
// nobody is given another's answer; "never ran" only where no worker has it; what was
// given up is not out any more.
func TestEachExecutionEndsOnce(t *testing.T) {
	for _, protocol := range []Carrier{OneAtATime, Pipeline, HTTP2, Batch} {
		t.Run(protocol.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tr := Transport{Carrier: protocol}
				if protocol == Batch {
					tr.Gather = rapid.SampledFrom([]float64{0, 2}).Draw(t, "gather")
				}
				run := &protocolRun{world: newWorld(tr), t: t, protocol: protocol, abandoned: map[*gatekeeper.Execution]bool{}}
				for range 10 { // short ones may share a line
					run.fleet.estimator.Learn(0, 1)
				}
				run.fleet.Place(1, "a", 0)
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
				run.fleet.Release(1)
				run.checkRules()
				if len(run.pending) > 0 {
					t.Fatalf("%d executions never ended", len(run.pending))
				}
				if run.fleet.connCount != 0 || run.fleet.dialing != 0 {
					t.Fatalf("%d links and %d openings are counted", run.fleet.connCount, run.fleet.dialing)
				}
			})
		})
	}
}

// TestTwoIdleConnectionsWithUnreadInput guards against a crash: to close the one link at rest
// on which something had come, with executions waiting, gave them the other links at rest
// from inside the look for one, and the look went on behind the end of the list.
func TestTwoIdleConnectionsWithUnreadInput(t *testing.T) {
	env := newWorld(Transport{})
	env.fleet.Place(1, "a", 0)
	for n := range 3 {
		env.fleet.Execute(newExecution(n, 0, 0))
	}
	for _, conn := range env.dials[:2] {
		conn.model, conn.acceptBytes = newModel(OneAtATime), 1<<20
		env.conns = append(env.conns, conn)
		conn.endpoint.opened(conn)
	}
	for _, conn := range env.conns { // both come to rest; that a link is quiet can't be seen here
		conn.endpoint.traffic(conn.model.answer(""))
	}
	env.advance(settleMS + 1)
	if len(env.conns) != 0 {
		t.Errorf("%d links that are not quiet are kept", len(env.conns))
	}
}

// TestConnectionToFormerProcessIsNotUsed: where a worker's process is a new one, or listens
// elsewhere, links that are older lead to what is no more. Those that were opened since,
// before the list told of it, stay.
func TestConnectionToFormerProcessIsNotUsed(t *testing.T) {
	for _, protocol := range []Carrier{OneAtATime, Pipeline, HTTP2, Batch} {
		t.Run(protocol.String(), func(t *testing.T) {
			env := newWorld(Transport{Carrier: protocol})
			env.fleet.Place(1, "a", 0)
			open := func() {
				execution := newExecution(len(env.dials), 0, 0)
				env.fleet.Execute(execution)
				c := env.dials[len(env.dials)-1]
				c.model, c.acceptBytes = newModel(protocol), 1<<20
				env.conns = append(env.conns, c)
				env.fleet.Abandon(execution) // so that the link rests
				c.endpoint.opened(c)
				env.endIteration()
			}
			open()
			env.clock.Set(env.clock.Now() + 100)
			env.fleet.Place(1, "a", env.clock.Now()-50)
			if len(env.conns) != 0 {
				t.Error("a link to the old process is kept")
			}
			open()
			env.fleet.Place(1, "a", env.clock.Now()-10)
			if len(env.conns) != 1 {
				t.Error("a link to the new process is closed")
			}
			env.fleet.Place(1, "b", env.clock.Now()-10)
			if len(env.conns) != 0 {
				t.Error("a link to the old address is kept")
			}
		})
	}
}

// TestFailedDialToFormerAddressIsRetried: what waits is not told that the worker
// can't be reached, but has a link opened to where it listens now.
func TestFailedDialToFormerAddressIsRetried(t *testing.T) {
	for _, protocol := range []Carrier{OneAtATime, Pipeline, HTTP2, Batch} {
		t.Run(protocol.String(), func(t *testing.T) {
			env := newWorld(Transport{Carrier: protocol})
			env.fleet.Place(1, "a", 0)
			execution := newExecution(0, 0, 0)
			env.fleet.Execute(execution)
			env.fleet.Place(1, "b", 0)
			env.dials[0].failed(fmt.Errorf("refused"))
			if len(env.outcomes[execution]) != 0 || len(env.dials) != 2 {
				t.Errorf("ended with %v, %d dials", env.outcomes[execution], len(env.dials))
			}
		})
	}
}
