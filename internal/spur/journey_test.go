package spur

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func (w *world) without(station string) {
	var left []Seat
	for _, k := range w.seats {
		if k.Station != station {
			left = append(left, k)
		}
	}
	w.seats = left
}

// TestWhole: pieces through three gatekeepers come out together, in order, once.
func TestWhole(t *testing.T) {
	w := newWorld(t, 3, order(t, 1, 1, ""))
	for i, g := range []string{"g0", "g2", "g1", "g1"} {
		w.piece(g, "v", fmt.Sprint(i))
		w.run(7)
	}
	assert.Equal(t, len(w.got), 0) // it is not over
	w.run(80)
	assert.DeepEqual(t, w.bodies(), []string{"0 1/4 fine", "1 2/4 fine", "2 3/4 fine", "3 4/4 fine"})
	assert.Equal(t, len(w.causes()), 0)
	w.piece("g0", "v", "again") // a visit later by that name is another one
	w.run(80)
	assert.Equal(t, len(w.got), 5)
	for _, s := range w.spurs {
		assert.Equal(t, s.bytes, 0)
	}
}

// TestBroken has every way in which a journey is broken, by its cause.
func TestBroken(t *testing.T) {
	for _, c := range []struct {
		name string
		more string
		do   func(w *world, v string)
		want Cause
	}{
		{"no room at a gatekeeper", "", func(w *world, v string) {
			s := w.spurs["g0"]
			k := s.Begin(w.now, sight(v))
			s.bytes += s.room
			s.End(w.now, k, request("b"), Real{})
			s.bytes -= s.room
		}, Queue},
		{"pressed", "", func(w *world, v string) {
			w.spurs["g0"].Press(w.now, true)
			w.piece("g0", v, "b")
			w.spurs["g0"].Press(w.now, false)
		}, Pressed},
		{"a body over the limit", `,"maxBody":3`, func(w *world, v string) { w.piece("g0", v, "long") }, TooLarge},
		{"given up", "", func(w *world, v string) {
			s := w.spurs["g0"]
			s.Drop(w.now, s.Begin(w.now, sight(v)), GivenUp)
		}, GivenUp},
		{"a real request that hangs", "", func(w *world, v string) { w.spurs["g0"].Begin(w.now, sight(v)); w.run(openMost/1000 + 1) }, GivenUp},
		{"not in its homes", "", func(w *world, v string) {
			k := sight(v)
			k.Homes = []string{"elsewhere"}
			assert.Equal(w.t, w.spurs["g0"].Begin(w.now, k), Ticket(0))
		}, Home},
		{"a gatekeeper died", "", func(w *world, v string) {
			w.piece("g0", v, "b")
			w.without("g0")
			delete(w.spurs, "g0")
			w.run(3)
			k, left := Seat{"g0", 77, "", ""}, w.seats
			for w.seats = append([]Seat{k}, left...); w.owner(v) != "g1"; w.seats[0] = k { // a life that does not take the journey over
				k.Life++
				w.seats[0] = k
			}
			w.born(k, w.spurs["g1"].order)
			w.run(1)
			w.members()
		}, Died},
		{"a gatekeeper lost count", "", func(w *world, v string) {
			s := w.spurs["g0"]
			s.bytes += s.room * 2
			s.lose(w.now, w.seatOf(v), Journey{1, 2}, s.order, w.now, Queue)
			s.bytes -= s.room * 2
		}, Gap},
		{"a gatekeeper is silent", "", func(w *world, v string) { w.dead["g0"] = true; w.run(200) }, Silent},
		{"the order changed", "", func(w *world, v string) { w.put(order(w.t, 2, 1, `,"region":"x"`)) }, Changed},
		{"the order was stopped", "", func(w *world, v string) {
			o, _ := ReadOrder([]byte(`{"number":2,"stopped":true}`))
			w.put(o)
		}, Stopped},
		{"a shadow became a worker", "", func(w *world, v string) {
			for _, s := range w.spurs {
				s.Live(w.now, map[string]bool{"[::ffff:10.0.0.9]:80": true})
			}
		}, Struck},
		{"the collector has no room", "", func(w *world, v string) {
			s := w.spurs["g1"]
			s.bytes += s.room - 200
			w.piece("g2", v, "b")
			w.run(2)
			s.bytes -= s.room - 200
		}, Room},
		{"too long", "", func(w *world, v string) {
			for range 21 {
				w.piece("g2", v, "b")
				w.run(30)
			}
		}, Long},
		{"no room for the shadow", "", func(w *world, v string) {
			w.spurs["g1"].door("10.0.0.9:80").held = 1 << 20
		}, Limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 3, order(t, 1, 1, c.more))
			v := w.named("g1", 0, 1)
			w.piece("g2", v, "a")
			w.run(1)
			c.do(w, v)
			w.run(70)
			assert.Equal(t, len(w.got), 0, "%v", w.bodies())
			assert.Assert(t, w.causes()[c.want] > 0, "%v", w.causes())
		})
	}
}

func (w *world) seatOf(name string) seatKey {
	for _, k := range w.seats {
		if k.Station == w.owner(name) {
			return k.key()
		}
	}
	return seatKey{}
}

func (w *world) put(o *Order) {
	for _, s := range w.spurs {
		s.Put(w.now, o)
	}
}

// TestDelivered: broken ones go out as broken where the order says so.
func TestDelivered(t *testing.T) {
	w := newWorld(t, 3, order(t, 1, 1, `,"broken":"deliver","maxBody":3`))
	w.piece("g0", "v", "a")
	w.piece("g1", "v", "long")
	w.run(70)
	assert.DeepEqual(t, w.bodies(), []string{"a 1/1 too_large"})
}

// TestSilence: a gatekeeper that is cut off holds journeys back, and what it has copied still
// comes in its place.
func TestSilence(t *testing.T) {
	w := newWorld(t, 3, order(t, 1, 1, ""))
	v := w.named("g1", 0, 1)
	w.piece("g2", v, "a")
	w.run(1)
	w.dead["g0"] = true
	w.piece("g0", v, "b")
	w.run(1)
	w.piece("g2", v, "c")
	w.run(80)
	assert.Equal(t, len(w.got), 0)
	w.dead["g0"] = false
	w.run(3)
	assert.DeepEqual(t, w.bodies(), []string{"a 1/3 fine", "b 2/3 fine", "c 3/3 fine"})
}

// TestMark: what was given up for a gatekeeper's silence is remembered, so that the piece which it
// brings in the end is not taken for all of the journey.
func TestMark(t *testing.T) {
	w := newWorld(t, 3, order(t, 1, 1, ""))
	v := w.named("g1", 0, 1)
	w.dead["g0"] = true
	w.piece("g0", v, "a")
	w.run(10)
	w.piece("g2", v, "b")
	w.run(200)
	assert.Equal(t, w.causes()[Silent], 1)
	w.dead["g0"] = false
	w.run(100)
	assert.Equal(t, len(w.got), 0, "%v", w.bodies())
	assert.Equal(t, w.causes()[Silent], 1)
	for _, s := range w.spurs {
		assert.Equal(t, s.bytes, 0)
		assert.Equal(t, s.open, 0)
	}
}

// TestOrders: what happens to journeys that a change of the share finds on their way.
func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to float64 // the journey's place
		before   float64
		after    float64
		early    bool // a piece before the change
		late     int  // seconds after it that the next comes
		want     string
	}{
		{"in both", 0, 0.3, 0.3, 0.6, true, 5, "whole"},
		{"in both, less", 0, 0.3, 0.6, 0.3, true, 5, "whole"},
		{"new, begun before", 0.3, 0.6, 0.3, 0.6, true, 5, "left out"},
		{"new, perhaps begun before", 0.3, 0.6, 0.3, 0.6, false, 5, "left out"},
		{"new, surely begun after", 0.3, 0.6, 0.3, 0.6, false, 65, "whole"},
		{"old, begun before", 0.3, 0.6, 0.6, 0.3, true, 5, "whole"},
		{"old, begun after", 0.3, 0.6, 0.6, 0.3, false, 5, "not chosen"},
		{"in none", 0.6, 1, 0.6, 0.3, true, 5, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 3, order(t, 1, c.before, ""))
			v := w.named("g1", c.from, c.to)
			if c.early {
				w.piece("g0", v, "a")
				w.run(3)
			}
			next := order(t, 2, c.after, "")
			for _, s := range w.spurs { // at differing times
				s.Put(w.now, next)
				w.run(1)
			}
			w.run(c.late)
			w.piece("g2", v, "b")
			w.run(75)
			got := ""
			switch by := w.causes(); {
			case by[Changed] == 1:
				got = "left out"
			case len(w.got) > 0 && w.got[len(w.got)-1].N == w.got[0].Of:
				got = "whole"
			case w.spurs["g1"].counts.NotChosen == 1:
				got = "not chosen"
			}
			assert.Equal(t, got, c.want, "%v %v", w.bodies(), w.causes())
			if c.want == "whole" && c.early {
				assert.Equal(t, len(w.got), 2)
			}
		})
	}
}

// TestHandOver: who leaves hands its journeys over, who comes is given its own, and nothing is
// whole twice or by half.
func TestHandOver(t *testing.T) {
	leave := func(w *world, station string) {
		w.without(station)
		w.members()
		s := w.spurs[station]
		s.Close(w.now)
		for range 20 {
			if w.run(1); s.Emptied(w.now) {
				delete(w.spurs, station)
				return
			}
		}
		t.Fatalf("%s is not empty: %+v", station, s.Status(w.now))
	}
	come := func(w *world, station string, life uint64) {
		k := Seat{station, life, "", ""}
		w.seats = append(w.seats, k)
		w.born(k, w.spurs["g0"].order)
		w.members()
		w.run(5)
	}
	t.Run("leaves", func(t *testing.T) {
		w := newWorld(t, 3, order(t, 1, 1, ""))
		v := w.named("g1", 0, 1)
		w.piece("g2", v, "a")
		w.run(3)
		leave(w, "g1")
		w.piece("g0", v, "b")
		w.run(20)
		w.piece("g0", w.named("g2", 0, 1), "new")
		w.run(90)
		assert.DeepEqual(t, w.bodies(), []string{"a 1/2 fine", "b 2/2 fine", "new 1/1 fine"})
	})
	t.Run("a whole release", func(t *testing.T) {
		w := newWorld(t, 3, order(t, 1, 1, ""))
		names, n := []string{}, 0
		for i := range 30 {
			names = append(names, fmt.Sprint("release-", i))
		}
		say := func(at string) {
			for _, v := range names {
				w.piece(at, v, fmt.Sprint(v, " ", n))
			}
			n++
		}
		say("g0")
		w.run(3)
		for i, g := range []string{"g1", "g2"} {
			leave(w, g)
			say("g0")
			come(w, g, uint64(100+i))
			say(g)
			w.run(10)
		}
		w.run(90)
		assert.Equal(t, len(w.causes()), 0, "%v", w.causes())
		assert.Equal(t, len(w.got), 30*n)
		for _, d := range w.got {
			assert.Equal(t, d.Of, n)
		}
	})
	t.Run("dies", func(t *testing.T) {
		w := newWorld(t, 3, order(t, 1, 1, ""))
		v := w.named("g1", 0, 1)
		w.piece("g2", v, "a")
		w.run(3)
		w.without("g1")
		delete(w.spurs, "g1")
		w.run(3)
		come(w, "g1", 99)
		w.piece("g0", v, "b")
		w.run(90)
		assert.Equal(t, len(w.got), 0, "%v", w.bodies())
	})
	t.Run("one goes by an older list", func(t *testing.T) {
		w := newWorld(t, 4, order(t, 1, 1, ""))
		v := w.named("g3", 0, 1)
		w.piece("g0", v, "a")
		w.run(3)
		old := w.seats
		w.dead["g2"] = true // still listed: it knows no news
		w.without("g3")
		w.members()
		w.spurs["g3"].Close(w.now)
		w.piece("g2", v, "b") // for g3
		w.piece("g1", v, "c") // for the next
		w.run(25)
		w.dead["g2"] = false
		w.run(90)
		assert.Equal(t, len(old), 4)
		for _, d := range w.got {
			assert.Assert(t, d.Cause != Fine, "%v", w.bodies())
		}
	})
}

// TestBounded: whatever comes, memory keeps to its share, and what was pressed out is broken.
func TestBounded(t *testing.T) {
	w := newWorld(t, 2, order(t, 1, 1, `,"maxBody":100000`))
	for i := range 3000 {
		w.piece([]string{"g0", "g1"}[i%2], fmt.Sprint("v", i/2), string(make([]byte, 2000)))
		for _, s := range w.spurs {
			assert.Assert(t, s.bytes <= s.room+s.room/8, "%d", s.bytes)
		}
		if i%100 == 0 {
			w.run(1)
		}
	}
	w.run(300)
	sum := 0
	for _, s := range w.spurs {
		assert.Equal(t, s.bytes, 0)
		sum += int(s.counts.Whole + s.counts.Broken)
	}
	assert.Assert(t, sum >= 1000, "%d %v", sum, w.causes())
	assert.Assert(t, w.causes()[Room]+w.causes()[Queue] > 100, "%v", w.causes())
	for i := 0; i+1 < len(w.got); i++ {
		assert.Equal(t, w.got[i].Of, 2)
	}
}
