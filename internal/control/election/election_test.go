package election

import (
	"testing"

	"gotest.tools/v3/assert"
)

func ballot(from string, incarnation, term, round uint64) Event {
	return Event{Kind: Received, Message: Message{Kind: Ballot, From: from, To: "v", Duty: "roster", Term: term, Incarnation: incarnation, Round: round}}
}

func vote(output Output) Message {
	for _, message := range output.Send {
		if message.Kind == Vote {
			return message
		}
	}
	return Message{}
}

func TestVoter(t *testing.T) {
	type step struct {
		now   float64
		event Event
		want  bool
	}
	release := func(from string, incarnation, term uint64) Event {
		e := ballot(from, incarnation, term, 0)
		e.Message.Kind = Release
		return e
	}
	for _, testCase := range []struct {
		name  string
		first bool
		steps []step
	}{
		{"one candidate at a time", true, []step{{0, ballot("a", 1, 1, 1), true}, {1499, ballot("b", 1, 2, 1), false}, {1500, ballot("b", 1, 3, 1), true}}},
		{"no vote for a lease after a start", false, []step{{1499, ballot("a", 1, 1, 1), false}, {1500, ballot("a", 1, 1, 1), true}}},
		{"a renewal restarts the lease", true, []step{{0, ballot("a", 1, 1, 1), true}, {500, ballot("a", 1, 1, 2), true}, {1999, ballot("b", 1, 2, 1), false}}},
		{"terms must increase", true, []step{{0, ballot("a", 1, 5, 1), true}, {2000, ballot("b", 1, 5, 1), false}, {2000, ballot("b", 1, 4, 1), false}, {2000, ballot("b", 1, 6, 1), true}}},
		{"another incarnation of the holder waits", true, []step{{0, ballot("a", 1, 1, 1), true}, {100, ballot("a", 2, 2, 1), false}}},
		{"released", true, []step{{0, ballot("a", 1, 1, 1), true}, {100, release("a", 1, 1), false}, {110, ballot("b", 1, 2, 1), true}}},
		{"a ballot that arrives after its vote was released", true, []step{{0, ballot("a", 1, 1, 1), true}, {100, release("a", 1, 1), false}, {110, ballot("a", 1, 1, 1), false}}},
		{"only the candidate itself releases its vote", true, []step{{0, ballot("a", 1, 1, 1), true}, {100, release("b", 1, 1), false}, {100, release("a", 2, 1), false}, {110, ballot("b", 1, 2, 1), false}}},
		{"a holder is renewed although a higher term was requested", true, []step{{0, ballot("a", 1, 1, 1), true}, {100, ballot("b", 1, 9, 1), false}, {500, ballot("a", 1, 1, 2), true}}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			m := New("v", 1, 0, 0, testCase.first, "roster")
			for i, step := range testCase.steps {
				answer := vote(m.Step(step.now, step.event))
				assert.Equal(t, answer.Granted, step.want, "step %d", i)
				if step.event.Message.Kind == Ballot {
					assert.Equal(t, answer.Round, step.event.Message.Round)
					assert.Equal(t, answer.Incarnation, step.event.Message.Incarnation)
				}
			}
		})
	}
}

// candidate returns a machine that has just requested votes, its ballot and the time of the request.
func candidate(t *testing.T) (*Machine, Message, float64) {
	m := New("a", 7, 0, 0, true, "roster")
	m.SetElectorate(0, 0, []string{"a", "b", "c"}, 1, 0)
	for now := 0.0; now < 1000; now += 20 {
		for _, message := range m.Step(now, Event{Kind: Received, Message: Message{Kind: Announce, From: "b", To: "a"}}).Send {
			if message.Kind == Ballot {
				return m, message, now
			}
		}
	}
	t.Fatal("sent no ballot within 1 s")
	return nil, Message{}, 0
}

func acceptingVote(ballot Message, from string) Event {
	return Event{Kind: Received, Message: Message{Kind: Vote, From: from, To: "a", Duty: ballot.Duty, Term: ballot.Term, Incarnation: ballot.Incarnation, Round: ballot.Round, Granted: true}}
}

func TestLeaseCountsFromRequest(t *testing.T) {
	m, ballot, requestedAt := candidate(t)
	out := m.Step(requestedAt+200, acceptingVote(ballot, "b"))
	assert.Equal(t, len(out.Won), 1)
	assert.Equal(t, out.Won[0].Term, uint64(1))
	_, ok := m.Holds(requestedAt+0.95*1500-1, "roster")
	assert.Assert(t, ok)
	_, ok = m.Holds(requestedAt+0.95*1500, "roster")
	assert.Assert(t, !ok)
	out = m.Step(requestedAt+3000, acceptingVote(ballot, "c"))
	assert.DeepEqual(t, out.Lost, []Tenure{{Duty: "roster", Term: 1}})
	assert.Equal(t, len(out.Won), 0)
}

func TestVotesThatDontCount(t *testing.T) {
	for name, change := range map[string]func(*Message){
		"another incarnation": func(ballot *Message) { ballot.Incarnation++ },
		"another term":        func(ballot *Message) { ballot.Term++ },
		"another round":       func(ballot *Message) { ballot.Round++ },
		"not a voter":         func(ballot *Message) { ballot.From = "z" },
		"a refusal":           func(ballot *Message) { ballot.Granted = false },
	} {
		m, ballot, requestedAt := candidate(t)
		event := acceptingVote(ballot, "b")
		change(&event.Message)
		assert.Equal(t, len(m.Step(requestedAt+50, event).Won), 0, name)
	}
	m, ballot, requestedAt := candidate(t)
	m.Step(requestedAt+400, Event{Kind: Tick}) // the round has timed out, and its votes are released
	assert.Equal(t, len(m.Step(requestedAt+410, acceptingVote(ballot, "b")).Won), 0)
}

func TestWhenNodesBecomeCandidates(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		first     bool
		voters    []string
		edition   uint64
		heardFrom string
		earliest  float64 // no candidacy before
		latest    float64 // none after; 0 if none at all
	}{
		{"single voter", true, []string{"a"}, 1, "", 0, 500},
		{"sees a majority", true, []string{"a", "b", "c"}, 1, "b", 0, 500},
		{"sees no majority", true, []string{"a", "b", "c", "d"}, 1, "b", 0, 0},
		{"not a voter", true, []string{"b", "c"}, 1, "b", 0, 0},
		{"after a start", false, []string{"a"}, 1, "", 1500, 2000},
		{"after a start with unknown earlier views", false, []string{"a"}, 4, "", 3000, 3500},
		{"after a start with an electorate without a number", false, []string{"a"}, 0, "", 3000, 3500},
	} {
		m := New("a", 3, 0, 0, testCase.first, "roster")
		stoodAt := 0.0
		for now := 20.0; now < 6000 && stoodAt == 0; now += 20 {
			m.SetElectorate(now, now-10, testCase.voters, testCase.edition, 0)
			if testCase.heardFrom != "" {
				m.Step(now, Event{Kind: Received, Message: Message{Kind: Announce, From: testCase.heardFrom}})
			}
			m.Step(now, Event{Kind: Tick})
			if state := m.duties["roster"]; state.standing || state.held {
				stoodAt = now
			}
		}
		assert.Assert(t, stoodAt >= testCase.earliest && stoodAt <= testCase.latest, "%s: stood at %v, want %v to %v", testCase.name, stoodAt, testCase.earliest, testCase.latest)
	}
}

// TestRestoreElectorate checks that an unchanged electorate saves the wait for older ones and a different one
// doesn't, and that an electorate just learned is not returned for remembering.
func TestRestoreElectorate(t *testing.T) {
	for _, testCase := range []struct {
		earlier  []string
		earliest float64
	}{{[]string{"a"}, 1500}, {[]string{"a", "b"}, 3000}, {nil, 3000}} {
		m := New("a", 3, 0, 0, false, "roster")
		m.RestoreElectorate(testCase.earlier, 0)
		wonAt, settledAt := 0.0, -1.0
		for now := 20.0; now < 6000; now += 20 {
			m.SetElectorate(now, now-10, []string{"a"}, 7, 0)
			if out := m.Step(now, Event{Kind: Tick}); len(out.Won) > 0 {
				wonAt = now
			}
			if ids, _ := m.SoleElectorate(now); settledAt < 0 && ids != nil {
				settledAt = now
			}
		}
		assert.Assert(t, wonAt >= testCase.earliest && wonAt < testCase.earliest+500, "remembered %v: won at %v, want %v to %v", testCase.earlier, wonAt, testCase.earliest, testCase.earliest+500)
		assert.Assert(t, settledAt >= testCase.earliest-1500 && settledAt < testCase.earliest+50, "remembered %v: settled at %v, want %v to %v", testCase.earlier, settledAt, testCase.earliest-1500, testCase.earliest+50)
	}
	m := New("a", 3, 0, 0, true, "roster")
	m.SetElectorate(0, 0, []string{"a"}, 1, 0)
	settledAt := func(now float64) []string {
		ids, _ := m.SoleElectorate(now)
		return ids
	}
	assert.DeepEqual(t, settledAt(0), []string{"a"})
	m.SetElectorate(100, 100, []string{"a", "b"}, 2, 0)
	assert.Assert(t, settledAt(3000) == nil)
	assert.DeepEqual(t, settledAt(3101), []string{"a", "b"})
}

func TestElectorateIsTrustedForLimitedTime(t *testing.T) {
	m := New("a", 3, 0, 0, true, "roster")
	m.SetElectorate(0, 0, []string{"a"}, 1, 0)
	heldUntil := 0.0
	for now := 0.0; now < 6000; now += 20 {
		m.Step(now, Event{Kind: Tick})
		if _, ok := m.Holds(now, "roster"); ok {
			heldUntil = now
		}
	}
	assert.Assert(t, heldUntil > 2500 && heldUntil < 3000, "held until %v, want 2500 to 3000", heldUntil)
}

// TestGapInEditionsIsWaitedOut guards against an electorate in between that shares no majority with
// the known one. If the addresses are the same there can't have been one.
func TestGapInEditionsIsWaitedOut(t *testing.T) {
	for _, testCase := range []struct {
		voters  []string
		edition uint64
		waits   bool
	}{
		{[]string{"a"}, 2, false},
		{[]string{"a"}, 3, false},
		{[]string{"a", "b"}, 3, true},
	} {
		m := New("a", 3, 0, 0, true, "roster")
		m.SetElectorate(0, 0, []string{"a"}, 1, 0)
		stoodAt := 0.0
		for now := 10.0; now < 6000 && stoodAt == 0; now += 20 {
			m.SetElectorate(now, now-10, testCase.voters, testCase.edition, 0)
			if m.Step(now, Event{Kind: Tick}); now >= m.candidateFrom && len(testCase.voters) > 1 || m.duties["roster"].held {
				stoodAt = now
			}
		}
		assert.Equal(t, stoodAt > 2900, testCase.waits, "electorate %v, edition %d: stood at %v", testCase.voters, testCase.edition, stoodAt)
	}
}

func TestMajoritiesIntersect(t *testing.T) {
	for _, testCase := range []struct {
		a, b []string
		want bool
	}{
		{[]string{"a"}, []string{"a"}, true},
		{[]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}, true},
		{[]string{"a", "b", "c"}, []string{"a", "b"}, true},
		{[]string{"a", "b", "c"}, []string{"a", "b", "d"}, false},
		{[]string{"a", "b", "c"}, []string{"a", "b", "c", "d", "e"}, false},
	} {
		assert.Equal(t, majoritiesIntersect(testCase.a, testCase.b), testCase.want, "electorates %v and %v", testCase.a, testCase.b)
	}
}

// TestVacancyIsExtendedAfterWinning checks that what a voter reports about itself only counts if it
// was sent after the duty was won. What was reported in the winning round may be older than another
// node's short tenure.
func TestVacancyIsExtendedAfterWinning(t *testing.T) {
	m, ballot, requestedAt := candidate(t)
	m.silentUntil, m.duties["roster"].lostAt = 0, -5000
	answer := func(ballot Message, from string) Event {
		e := acceptingVote(ballot, from)
		e.Message.NotHeldMs = 3000
		return e
	}
	out := m.Step(requestedAt+10, answer(ballot, "b"))
	assert.Equal(t, len(out.Won), 1)
	assert.Equal(t, out.Won[0].VacantMs, 0.0) // the voter vouches for no vacancy
	var nextBallot Message
	for _, message := range out.Send {
		if message.Kind == Ballot {
			nextBallot = message
		}
	}
	assert.Assert(t, nextBallot.Round > ballot.Round, "must start another round at once")
	assert.Equal(t, len(m.Step(requestedAt+20, answer(ballot, "c")).Vacant), 0, "an answer to the first round")
	assert.Equal(t, len(m.Step(requestedAt+20, answer(nextBallot, "b")).Vacant), 0, "not all have answered")
	out = m.Step(requestedAt+30, answer(nextBallot, "c"))
	assert.Equal(t, len(out.Vacant), 1)
	assert.Assert(t, out.Vacant[0].VacantMs > 0.9*2980 && out.Vacant[0].VacantMs < 2980, "%v", out.Vacant)
}

// TestElectorateThatReturned covers an operator removing two of five nodes, which then join again. A
// node that missed this finds the electorate it knew. A majority of the five may not include any voter
// of a holder that was elected by two of the three in between, so the node must not stand at once.
func TestElectorateThatReturned(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"}
	for _, shrunk := range []uint64{0, 2} {
		m := New("e", 3, 0, 0, true, "roster")
		m.SetElectorate(0, 0, five, 1, 0)
		m.SetElectorate(9000, 9000, five, 5, shrunk)
		assert.Equal(t, m.candidateFrom > 9000, shrunk > 0)
		ids, _ := m.SoleElectorate(9000)
		assert.Equal(t, ids == nil, shrunk > 0)
		for _, rememberedEdition := range []uint64{0, 4, 5} { // the number recorded by the earlier incarnation: an equal number means the same electorate
			m = New("e", 3, 0, 0, false, "roster")
			m.RestoreElectorate(five, rememberedEdition)
			m.SetElectorate(9000, 9000, five, 5, shrunk)
			assert.Equal(t, m.candidateFrom > 9000, shrunk > 0 && rememberedEdition != 5, "another incarnation")
		}
	}
}
