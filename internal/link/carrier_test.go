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
type day struct {
	*world
	t         *rapid.T
	carrier   Carrier
	live      []*gatekeeper.Execution
	all       []*gatekeeper.Execution
	abandoned map[*gatekeeper.Execution]bool
	models    []*fakeConn // every connection there ever was
}

// ran tells whether any worker got a request whole and did not refuse it.
func (d *day) ran(x *gatekeeper.Execution) bool {
	return slices.ContainsFunc(d.models, func(c *fakeConn) bool { return c.model != nil && c.model.has(x.Request.Name) })
}

// check holds what has ended against the rules.
func (d *day) check() {
	d.live = slices.DeleteFunc(d.live, func(x *gatekeeper.Execution) bool {
		ends := d.ends[x]
		if len(ends) == 0 {
			return false
		}
		switch o := ends[0]; o.Status {
		case policy.OK:
			if got := string(o.Answer.Body); got != "ran "+x.Request.Name {
				d.t.Fatalf("request %s was given %q", x.Request.Name, got)
			}
		case policy.ConnectFailed, policy.Full:
			if d.ran(x) {
				d.t.Fatalf("request %s is said to have never run, and its worker has it", x.Request.Name)
			}
		}
		return true
	})
	for _, x := range d.all {
		switch n := len(d.ends[x]); {
		case n > 1:
			d.t.Fatalf("request %s ended %d times", x.Request.Name, n)
		case n == 1 && d.abandoned[x]:
			d.t.Fatalf("request %s was given up and ended", x.Request.Name)
		}
	}
	for x := range d.abandoned { // the peer knows, or the link has ended
		for _, c := range d.conns {
			if c.model.has(x.Request.Name) && slices.Contains(c.model.whole(), x.Request.Name) && !c.model.told(x.Request.Name) {
				d.t.Fatalf("request %s was given up and is still out", x.Request.Name)
			}
		}
	}
}

// conn draws one of the open connections that have brought no noise: where what comes
// behind noise begins, nobody knows.
func (d *day) conn() *fakeConn {
	var sane []int
	for i, c := range d.conns {
		if !c.spoilt {
			sane = append(sane, i)
		}
	}
	if len(sane) == 0 {
		d.t.Skip("no connection")
	}
	return d.conns[rapid.SampledFrom(sane).Draw(d.t, "conn")]
}

// say has a connection bring bytes, in pieces, with nothing else in between.
func (d *day) say(c *fakeConn, b []byte) {
	for len(b) > 0 && !c.closed {
		n := rapid.IntRange(1, len(b)).Draw(d.t, "piece")
		c.end.traffic(b[:n])
		b = b[n:]
	}
}

func (d *day) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"execute": func(t *rapid.T) {
			body := rapid.SampledFrom([]int{0, 0, 0, 10, 3000}).Draw(t, "body")
			x := execution(len(d.all), rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "class"), body)
			d.all, d.live = append(d.all, x), append(d.live, x)
			d.fleet.Execute(x)
		},
		"execute in the same turn": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				x := execution(len(d.all), 0, 0)
				d.all, d.live = append(d.all, x), append(d.live, x)
				d.fleet.Execute(x)
			}
		},
		"give up": func(t *rapid.T) {
			if len(d.live) == 0 {
				t.Skip("nothing is out")
			}
			x := rapid.SampledFrom(d.live).Draw(t, "which")
			d.live = slices.DeleteFunc(d.live, func(o *gatekeeper.Execution) bool { return o == x })
			d.abandoned[x] = true
			d.fleet.Abandon(x)
		},
		"come up": func(t *rapid.T) {
			if len(d.dials) == 0 {
				t.Skip("nothing is opened")
			}
			c := d.dials[0]
			d.dials = d.dials[1:]
			if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
				c.failed(fmt.Errorf("refused"))
				return
			}
			c.model, c.room = newModel(d.carrier), rapid.SampledFrom([]int{0, 100, 1 << 20, 1 << 20}).Draw(t, "room")
			d.conns, d.models = append(d.conns, c), append(d.models, c)
			c.end.opened(c)
			if s, ok := c.model.(*streamModel); ok {
				c.end.traffic(s.frames(func(f *http2.Framer) { _ = f.WriteSettings() }))
			}
		},
		"take more": func(t *rapid.T) { d.conn().pass(rapid.IntRange(1, 4000).Draw(t, "bytes")) },
		"answer": func(t *rapid.T) {
			c := d.conn()
			ids := c.model.whole()
			if len(ids) == 0 {
				t.Skip("nothing to answer")
			}
			d.say(c, c.model.answer(rapid.SampledFrom(ids).Draw(t, "which")))
		},
		"answer and refuse": func(t *rapid.T) {
			c := d.conn()
			ids := slices.Clone(c.model.whole())
			if len(ids) < 2 {
				t.Skip("nothing to refuse")
			}
			if b := c.model.refuse(ids[1]); b != nil {
				d.say(c, append(b, c.model.answer(ids[0])...))
			}
		},
		"leave": func(*rapid.T) {
			c := d.conn()
			if b := c.model.leave(); b != nil {
				d.say(c, b)
			}
		},
		"half an answer": func(t *rapid.T) {
			c := d.conn()
			ids := c.model.whole()
			if len(ids) == 0 {
				t.Skip("nothing to answer")
			}
			b := c.model.answer(ids[0])
			c.end.traffic(b[:len(b)/2])
			if !c.closed {
				c.close()
			}
		},
		"twice the same answer": func(t *rapid.T) {
			c := d.conn()
			ids := c.model.whole()
			if len(ids) == 0 {
				t.Skip("nothing to answer")
			}
			b := c.model.answer(ids[0])
			if d.carrier == HTTP2 { // a closed stream's frames would not decode alike twice
				d.say(c, b)
				return
			}
			d.say(c, append(slices.Clone(b), b...))
		},
		"noise": func(t *rapid.T) {
			c := d.conn()
			c.spoilt = true
			d.say(c, rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "noise"))
		},
		"break": func(*rapid.T) { d.conn().close() },
		"pass": func(t *rapid.T) {
			d.pass(rapid.SampledFrom([]float64{1, 6, 250, 1100}).Draw(t, "ms"))
			d.fleet.Sweep()
		},
		"move": func(t *rapid.T) {
			d.fleet.Place(1, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to"), rapid.SampledFrom([]float64{0, 0, d.clock.Now() - 5}).Draw(t, "since"))
		},
		"release": func(*rapid.T) { d.fleet.Release(1) },
		"":        func(*rapid.T) { d.turn(); d.check() },
	}
}

// TestWhateverHappensEachExecutionEndsOnce plays random interleavings of bytes, breaks,
// cancels and time-outs on every carrier, and holds them against the rules: one end each;
// nobody is given another's answer; "never ran" only where no worker has it; what was
// given up is not out any more.
func TestWhateverHappensEachExecutionEndsOnce(t *testing.T) {
	for _, carrier := range []Carrier{OneAtATime, Pipeline, HTTP2, Batch} {
		t.Run(carrier.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tr := Transport{Carrier: carrier}
				if carrier == Batch {
					tr.Gather = rapid.SampledFrom([]float64{0, 2}).Draw(t, "gather")
				}
				d := &day{world: newWorld(tr), t: t, carrier: carrier, abandoned: map[*gatekeeper.Execution]bool{}}
				for range 10 { // short ones may share a line
					d.fleet.table.Learn(0, 1)
				}
				d.fleet.Place(1, "a", 0)
				t.Repeat(d.actions())
				for len(d.dials) > 0 || len(d.conns) > 0 {
					for len(d.dials) > 0 {
						c := d.dials[0]
						d.dials = d.dials[1:]
						c.failed(fmt.Errorf("refused"))
					}
					for len(d.conns) > 0 {
						d.conns[0].close()
					}
					d.turn()
				}
				d.fleet.Release(1)
				d.check()
				if len(d.live) > 0 {
					t.Fatalf("%d executions never ended", len(d.live))
				}
				if d.fleet.links != 0 || d.fleet.openings != 0 {
					t.Fatalf("%d links and %d openings are counted", d.fleet.links, d.fleet.openings)
				}
			})
		})
	}
}

// TestTwoLinksThatAreNotQuietAtOnce guards against a crash: to close the one link at rest
// on which something had come, with executions waiting, gave them the other links at rest
// from inside the look for one, and the look went on behind the end of the list.
func TestTwoLinksThatAreNotQuietAtOnce(t *testing.T) {
	w := newWorld(Transport{})
	w.fleet.Place(1, "a", 0)
	for n := range 3 {
		w.fleet.Execute(execution(n, 0, 0))
	}
	for _, c := range w.dials[:2] {
		c.model, c.room = newModel(OneAtATime), 1<<20
		w.conns = append(w.conns, c)
		c.end.opened(c)
	}
	for _, c := range w.conns { // both come to rest; that a link is quiet can't be seen here
		c.end.traffic(c.model.answer(""))
	}
	w.pass(settleFor + 1)
	if len(w.conns) != 0 {
		t.Errorf("%d links that are not quiet are kept", len(w.conns))
	}
}

// TestALinkToAnotherProcessIsNotUsed: where a worker's process is a new one, or listens
// elsewhere, links that are older lead to what is no more. Those that were opened since,
// before the list told of it, stay.
func TestALinkToAnotherProcessIsNotUsed(t *testing.T) {
	for _, carrier := range []Carrier{OneAtATime, Pipeline, HTTP2, Batch} {
		t.Run(carrier.String(), func(t *testing.T) {
			w := newWorld(Transport{Carrier: carrier})
			w.fleet.Place(1, "a", 0)
			open := func() {
				x := execution(len(w.dials), 0, 0)
				w.fleet.Execute(x)
				c := w.dials[len(w.dials)-1]
				c.model, c.room = newModel(carrier), 1<<20
				w.conns = append(w.conns, c)
				w.fleet.Abandon(x) // so that the link rests
				c.end.opened(c)
				w.turn()
			}
			open()
			w.clock.Set(w.clock.Now() + 100)
			w.fleet.Place(1, "a", w.clock.Now()-50)
			if len(w.conns) != 0 {
				t.Error("a link to the old process is kept")
			}
			open()
			w.fleet.Place(1, "a", w.clock.Now()-10)
			if len(w.conns) != 1 {
				t.Error("a link to the new process is closed")
			}
			w.fleet.Place(1, "b", w.clock.Now()-10)
			if len(w.conns) != 0 {
				t.Error("a link to the old address is kept")
			}
		})
	}
}

// TestAFailedDialToTheOldAddressIsNotTheNewOnes: what waits is not told that the worker
// can't be reached, but has a link opened to where it listens now.
func TestAFailedDialToTheOldAddressIsNotTheNewOnes(t *testing.T) {
	for _, carrier := range []Carrier{OneAtATime, Pipeline, HTTP2, Batch} {
		t.Run(carrier.String(), func(t *testing.T) {
			w := newWorld(Transport{Carrier: carrier})
			w.fleet.Place(1, "a", 0)
			x := execution(0, 0, 0)
			w.fleet.Execute(x)
			w.fleet.Place(1, "b", 0)
			w.dials[0].failed(fmt.Errorf("refused"))
			if len(w.ends[x]) != 0 || len(w.dials) != 2 {
				t.Errorf("ended with %v, %d dials", w.ends[x], len(w.dials))
			}
		})
	}
}
