package election

import (
	"testing"

	"gotest.tools/v3/assert"
)

func ballot(from string, life, term, round uint64) Event {
	return Event{Kind: Heard, Message: Message{Kind: Ballot, From: from, To: "v", Duty: "roster", Term: term, Life: life, Round: round}}
}

func vote(o Out) Message {
	for _, g := range o.Send {
		if g.Kind == Vote {
			return g
		}
	}
	return Message{}
}

func TestVoter(t *testing.T) {
	type turn struct {
		now  float64
		e    Event
		want bool
	}
	free := func(from string, life, term uint64) Event {
		e := ballot(from, life, term, 0)
		e.Message.Kind = Free
		return e
	}
	for _, c := range []struct {
		name  string
		first bool
		turns []turn
	}{
		{"one at a time", true, []turn{{0, ballot("a", 1, 1, 1), true}, {1499, ballot("b", 1, 2, 1), false}, {1500, ballot("b", 1, 3, 1), true}}},
		{"no vote for a lease after a start", false, []turn{{1499, ballot("a", 1, 1, 1), false}, {1500, ballot("a", 1, 1, 1), true}}},
		{"a renewal counts anew", true, []turn{{0, ballot("a", 1, 1, 1), true}, {500, ballot("a", 1, 1, 2), true}, {1999, ballot("b", 1, 2, 1), false}}},
		{"terms rise", true, []turn{{0, ballot("a", 1, 5, 1), true}, {2000, ballot("b", 1, 5, 1), false}, {2000, ballot("b", 1, 4, 1), false}, {2000, ballot("b", 1, 6, 1), true}}},
		{"another life of the holder waits", true, []turn{{0, ballot("a", 1, 1, 1), true}, {100, ballot("a", 2, 2, 1), false}}},
		{"given back", true, []turn{{0, ballot("a", 1, 1, 1), true}, {100, free("a", 1, 1), false}, {110, ballot("b", 1, 2, 1), true}}},
		{"a ballot that comes after its vote was given back", true, []turn{{0, ballot("a", 1, 1, 1), true}, {100, free("a", 1, 1), false}, {110, ballot("a", 1, 1, 1), false}}},
		{"only its own is given back", true, []turn{{0, ballot("a", 1, 1, 1), true}, {100, free("b", 1, 1), false}, {100, free("a", 2, 1), false}, {110, ballot("b", 1, 2, 1), false}}},
		{"a holder goes on though a higher term was asked for", true, []turn{{0, ballot("a", 1, 1, 1), true}, {100, ballot("b", 1, 9, 1), false}, {500, ballot("a", 1, 1, 2), true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New("v", 1, 0, 0, c.first, "roster")
			for i, x := range c.turns {
				g := vote(m.Step(x.now, x.e))
				assert.Equal(t, g.Yes, x.want, "turn %d", i)
				if x.e.Message.Kind == Ballot {
					assert.Equal(t, g.Round, x.e.Message.Round)
					assert.Equal(t, g.Life, x.e.Message.Life)
				}
			}
		})
	}
}

// candidate is a machine that has just asked for the duty.
func candidate(t *testing.T) (*Machine, Message, float64) {
	m := New("a", 7, 0, 0, true, "roster")
	m.Electorate(0, 0, []string{"a", "b", "c"}, 1, 0)
	for now := 0.0; now < 1000; now += 20 {
		for _, g := range m.Step(now, Event{Kind: Heard, Message: Message{Kind: Announce, From: "b", To: "a"}}).Send {
			if g.Kind == Ballot {
				return m, g, now
			}
		}
	}
	t.Fatal("it never stood")
	return nil, Message{}, 0
}

func yes(g Message, from string) Event {
	return Event{Kind: Heard, Message: Message{Kind: Vote, From: from, To: "a", Duty: g.Duty, Term: g.Term, Life: g.Life, Round: g.Round, Yes: true}}
}

func TestARightCountsFromTheAsking(t *testing.T) {
	m, g, asked := candidate(t)
	out := m.Step(asked+200, yes(g, "b"))
	assert.Equal(t, len(out.Won), 1)
	assert.Equal(t, out.Won[0].Term, uint64(1))
	_, ok := m.Holds(asked+0.95*1500-1, "roster")
	assert.Assert(t, ok)
	_, ok = m.Holds(asked+0.95*1500, "roster")
	assert.Assert(t, !ok)
	out = m.Step(asked+3000, yes(g, "c"))
	assert.DeepEqual(t, out.Lost, []Tenure{{Duty: "roster", Term: 1}})
	assert.Equal(t, len(out.Won), 0)
}

func TestVoicesThatDontCount(t *testing.T) {
	for name, change := range map[string]func(*Message){
		"another life":  func(g *Message) { g.Life++ },
		"another term":  func(g *Message) { g.Term++ },
		"another round": func(g *Message) { g.Round++ },
		"no voter":      func(g *Message) { g.From = "z" },
		"a no":          func(g *Message) { g.Yes = false },
	} {
		m, g, asked := candidate(t)
		e := yes(g, "b")
		change(&e.Message)
		assert.Equal(t, len(m.Step(asked+50, e).Won), 0, name)
	}
	m, g, asked := candidate(t)
	m.Step(asked+400, Event{Kind: Tick}) // it has given up, and its votes are free
	assert.Equal(t, len(m.Step(asked+410, yes(g, "b")).Won), 0)
}

func TestWhoStands(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   bool
		ids     []string
		edition uint64
		hears   string
		from    float64 // no ballot before
		until   float64 // none after; 0 if none at all
	}{
		{"alone", true, []string{"a"}, 1, "", 0, 500},
		{"sees a majority", true, []string{"a", "b", "c"}, 1, "b", 0, 500},
		{"sees no majority", true, []string{"a", "b", "c", "d"}, 1, "b", 0, 0},
		{"not named", true, []string{"b", "c"}, 1, "b", 0, 0},
		{"after a start", false, []string{"a"}, 1, "", 1500, 2000},
		{"after a start under views it doesn't know", false, []string{"a"}, 4, "", 3000, 3500},
		{"after a start under one that has no number yet", false, []string{"a"}, 0, "", 3000, 3500},
	} {
		m := New("a", 3, 0, 0, c.first, "roster")
		stood := 0.0
		for now := 20.0; now < 6000 && stood == 0; now += 20 {
			m.Electorate(now, now-10, c.ids, c.edition, 0)
			if c.hears != "" {
				m.Step(now, Event{Kind: Heard, Message: Message{Kind: Announce, From: c.hears}})
			}
			m.Step(now, Event{Kind: Tick})
			if d := m.duties["roster"]; d.standing || d.held {
				stood = now
			}
		}
		assert.Assert(t, stood >= c.from && stood <= c.until, "%s: %v", c.name, stood)
	}
}

// TestRemember: the same electorate spares the wait for older ones, another one doesn't, and
// one that was just learned isn't told to be remembered.
func TestRemember(t *testing.T) {
	for _, c := range []struct {
		earlier []string
		from    float64
	}{{[]string{"a"}, 1500}, {[]string{"a", "b"}, 3000}, {nil, 3000}} {
		m := New("a", 3, 0, 0, false, "roster")
		m.Remember(c.earlier, 0)
		won, settled := 0.0, -1.0
		for now := 20.0; now < 6000; now += 20 {
			m.Electorate(now, now-10, []string{"a"}, 7, 0)
			if out := m.Step(now, Event{Kind: Tick}); len(out.Won) > 0 {
				won = now
			}
			if ids, _ := m.Settled(now); settled < 0 && ids != nil {
				settled = now
			}
		}
		assert.Assert(t, won >= c.from && won < c.from+500, "%v: %v", c.earlier, won)
		assert.Assert(t, settled >= c.from-1500 && settled < c.from+50, "%v: %v", c.earlier, settled)
	}
	m := New("a", 3, 0, 0, true, "roster")
	m.Electorate(0, 0, []string{"a"}, 1, 0)
	settledAt := func(now float64) []string {
		ids, _ := m.Settled(now)
		return ids
	}
	assert.DeepEqual(t, settledAt(0), []string{"a"})
	m.Electorate(100, 100, []string{"a", "b"}, 2, 0)
	assert.Assert(t, settledAt(3000) == nil)
	assert.DeepEqual(t, settledAt(3101), []string{"a", "b"})
}

func TestAnElectorateIsTrustedOnlyForATime(t *testing.T) {
	m := New("a", 3, 0, 0, true, "roster")
	m.Electorate(0, 0, []string{"a"}, 1, 0)
	ended := 0.0
	for now := 0.0; now < 6000; now += 20 {
		m.Step(now, Event{Kind: Tick})
		if _, ok := m.Holds(now, "roster"); ok {
			ended = now
		}
	}
	assert.Assert(t, ended > 2500 && ended < 3000, ended)
}

// TestAGapInEditionsIsWaitedOut guards against a core in between that shares no majority with
// the one known; one of the same addresses can have had none in between.
func TestAGapInEditionsIsWaitedOut(t *testing.T) {
	for _, c := range []struct {
		ids     []string
		edition uint64
		waits   bool
	}{
		{[]string{"a"}, 2, false},
		{[]string{"a"}, 3, false},
		{[]string{"a", "b"}, 3, true},
	} {
		m := New("a", 3, 0, 0, true, "roster")
		m.Electorate(0, 0, []string{"a"}, 1, 0)
		stood := 0.0
		for now := 10.0; now < 6000 && stood == 0; now += 20 {
			m.Electorate(now, now-10, c.ids, c.edition, 0)
			if m.Step(now, Event{Kind: Tick}); now >= m.open && len(c.ids) > 1 || m.duties["roster"].held {
				stood = now
			}
		}
		assert.Equal(t, stood > 2900, c.waits, "%v %d: %v", c.ids, c.edition, stood)
	}
}

func TestMeet(t *testing.T) {
	for _, c := range []struct {
		a, b []string
		want bool
	}{
		{[]string{"a"}, []string{"a"}, true},
		{[]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}, true},
		{[]string{"a", "b", "c"}, []string{"a", "b"}, true},
		{[]string{"a", "b", "c"}, []string{"a", "b", "d"}, false},
		{[]string{"a", "b", "c"}, []string{"a", "b", "c", "d", "e"}, false},
	} {
		assert.Equal(t, meet(c.a, c.b), c.want, "%v %v", c.a, c.b)
	}
}

// TestTheTimeBeforeIsLearnedOnceWon: each one's own word counts only where it was given after the
// duty was won; what was said in the round that won it may be older than another's short tenure.
func TestTheTimeBeforeIsLearnedOnceWon(t *testing.T) {
	m, g, asked := candidate(t)
	m.silent, m.duties["roster"].lost = 0, -5000
	word := func(g Message, from string) Event {
		e := yes(g, from)
		e.Message.IdleMs = 3000
		return e
	}
	out := m.Step(asked+10, word(g, "b"))
	assert.Equal(t, len(out.Won), 1)
	assert.Equal(t, out.Won[0].VacantMs, 0.0) // the voter vouches for nothing
	var again Message
	for _, x := range out.Send {
		if x.Kind == Ballot {
			again = x
		}
	}
	assert.Assert(t, again.Round > g.Round, "it must ask again at once")
	assert.Equal(t, len(m.Step(asked+20, word(g, "c")).Vacant), 0, "an answer to the first asking")
	assert.Equal(t, len(m.Step(asked+20, word(again, "b")).Vacant), 0, "not all have answered")
	out = m.Step(asked+30, word(again, "c"))
	assert.Equal(t, len(out.Vacant), 1)
	assert.Assert(t, out.Vacant[0].VacantMs > 0.9*2980 && out.Vacant[0].VacantMs < 2980, "%v", out.Vacant)
}

// TestAnElectorateThatCameBack: an operator had two of five forgotten, and they joined again. Who slept
// through that finds the electorate that it knew; three of it need not have been asked by who holds a
// duty by two of the three between. Before that was looked at, it stood at once.
func TestAnElectorateThatCameBack(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"}
	for _, shrunk := range []uint64{0, 2} {
		m := New("e", 3, 0, 0, true, "roster")
		m.Electorate(0, 0, five, 1, 0)
		m.Electorate(9000, 9000, five, 5, shrunk)
		assert.Equal(t, m.open > 9000, shrunk > 0)
		ids, _ := m.Settled(9000)
		assert.Equal(t, ids == nil, shrunk > 0)
		for _, known := range []uint64{0, 4, 5} { // the number that the other life kept: the same is the same
			m = New("e", 3, 0, 0, false, "roster")
			m.Remember(five, known)
			m.Electorate(9000, 9000, five, 5, shrunk)
			assert.Equal(t, m.open > 9000, shrunk > 0 && known != 5, "another life")
		}
	}
}
