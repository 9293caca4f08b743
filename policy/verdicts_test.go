package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Checks how a verdict on a server decides where sixty requests go, each answered in 50 ms.
func TestVerdictsDecideServerUse(t *testing.T) {
	const odd = Server(3)
	for _, c := range []struct {
		name   string
		belief Verdict
		fails  bool // the server fails and is ejected first
		kind   Repeatability
		safe   bool // safe requests were answered before
		most   int  // bounds on the requests of sixty that it gets
		least  int
	}{
		{name: "no verdict", least: 1, most: 60},
		{name: "suspect", belief: Suspect, least: 1, most: 60},
		{name: "unhealthy", belief: Unhealthy},
		{name: "on probe by us", belief: OnProbe, least: 1, most: 60},
		{name: "on probe, unsafe requests, others are safe", belief: OnProbe, kind: RepeatUnsafe, safe: true},
		{name: "on probe, unsafe requests only", belief: OnProbe, kind: RepeatUnsafe, least: 1, most: 60},
		{name: "ejected by us alone, long ago, unsafe requests", fails: true, kind: RepeatUnsafe, least: 1, most: 60},
		{name: "ejected by us, but recovered by verdict", belief: Recovered, fails: true, kind: RepeatUnsafe, least: 1,
			most: 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			class := Class{LatencyTarget: second, Deadline: 3 * second, Value: 1, LateValue: 1}
			unsafe := class
			unsafe.Repeat = RepeatUnsafe
			host := newRecorder()
			g := New(Settings{GatewayCount: 12, ChoiceExponent: 1, Classes: []Class{class, unsafe},
				Plans: []Plan{{Price: 1}}, MaxAttempts: 1, ZoneVerdicts: true}, 1)
			now, id := second, uint32(0)
			g.Start(now, host)
			var entries []Entry
			for s := range Server(9) {
				entries = append(entries, Entry{Server: s + 1, State: Ready})
			}
			g.Servers(now, host, FullList, entries)
			ask := func(class int) Server {
				id++
				at := len(host.sent)
				now += 20 * milli
				g.Request(now, host, Request{ID: id, Class: class, TimeLeft: 3 * second, Units: 1})
				assert.Equal(t, len(host.sent), at+1)
				return host.sent[at].to
			}
			end := func(s Server, status Status) {
				now += 50 * milli
				g.Outcome(now, host, Outcome{ID: id, Latency: 50 * milli, Status: status, Server: s})
			}
			for n := 0; n < 60 || c.fails && !g.byID[odd].ejected; n++ {
				if s := ask(int(RepeatSafe)); c.fails && s == odd {
					end(s, Failed)
				} else {
					end(s, OK)
				}
			}
			if !c.safe {
				g.classes[0].answers = 0
			}
			now += 20 * second
			g.SetVerdicts(now, host, map[Server]Verdict{odd: c.belief})
			n := 0
			class2 := 0
			if c.kind == RepeatUnsafe {
				class2 = 1
			}
			for range 60 {
				s := ask(class2)
				if s == odd {
					n++
				}
				end(s, OK)
			}
			assert.Assert(t, n >= c.least && n <= c.most, n)
		})
	}
}

// Failures are reported, good answers only of servers with a verdict, and silence once.
func TestObservationReports(t *testing.T) {
	class := Class{LatencyTarget: second, Deadline: 9 * second, Value: 1, LateValue: 1}
	host := newRecorder()
	g := New(Settings{GatewayCount: 1, Classes: []Class{class}, Plans: []Plan{{Price: 1}}, MaxAttempts: 1,
		ZoneVerdicts: true}, 1)
	now := second
	g.Start(now, host)
	entries := []Entry{{Server: 1, State: Ready}, {Server: 2, State: Ready}}
	g.Servers(now, host, FullList, entries)
	id := uint32(0)
	do := func(to Server, status Status) {
		now += 100 * milli
		g.SetVerdicts(now, host, map[Server]Verdict{3 - to: Unhealthy, to: Suspect})
		id++
		g.Request(now, host, Request{ID: id, TimeLeft: 9 * second, Units: 1})
		if status != NotSent { // NotSent: no answer
			now += 50 * milli
			g.Outcome(now, host, Outcome{ID: id, Latency: 50 * milli, Status: status, Server: to})
		}
	}
	for range 4 {
		do(1, OK)
	}
	g.SetVerdicts(now, host, nil)
	assert.Equal(t, len(g.TakeObservations(now)), 0, "good answers without a verdict are not reported")
	do(1, Failed)
	got := g.TakeObservations(now)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Server == 1 && got[0].Bad == 1 && got[0].Good > 3,
		"want one failure and more than 3 good answers of server 1, got %v", got)
	assert.Equal(t, len(g.TakeObservations(now)), 0, "observations are reported once")
	do(1, Reset)
	assert.Equal(t, g.TakeObservations(now)[0].Bad, resetWeight)
	do(1, Full)
	do(1, Cancelled)
	assert.Equal(t, len(g.TakeObservations(now)), 0)
	do(2, NotSent)
	mute := id
	now += 2 * second
	do(1, OK) // other servers answer
	g.SetVerdicts(now, host, nil)
	got = g.TakeObservations(now)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Server == 2 && got[0].Bad == 1, "want one failure of server 2, got %v", got)
	now += second
	g.Outcome(now, host, Outcome{ID: mute, Latency: 3 * second, Status: Timeout, Server: 2})
	assert.Equal(t, len(g.TakeObservations(now)), 0, "the outcome of a silent attempt is not a new observation")
}
