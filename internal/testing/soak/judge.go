package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Rule names what a finding breaks.
type Rule string

// The rules that a run is judged by.
const (
	Short    Rule = "SHORT"    // too little was served
	Starved  Rule = "STARVED"  // some callers were hardly served
	Lost     Rule = "LOST"     // a request was cut around planned work
	Twice    Rule = "TWICE"    // an unsafe request ran more than once
	Promise  Rule = "REFUSED"  // a request ran that was refused with a promise that it did not
	Mixed    Rule = "MIXED"    // an answer was not the request's own
	Config   Rule = "CONFIG"   // something acknowledged is not in force
	Acks     Rule = "ACKS"     // an order was refused or never acknowledged
	Ends     Rule = "ENDS"     // a process ended by itself, or did not end when it was asked to
	Recovers Rule = "RECOVERS" // too little is served once all trouble is over
)

const (
	starvedPart   = 0.25 // of what all are served
	starvedLeast  = 12   // requests, below which a caller is not judged
	shortPart     = 0.6  // of a whole run that must be served at least
	recoverS      = 15.0 // behind the last trouble
	recoverPart   = 0.95
	lostSlack     = 200 * time.Millisecond
	lostAllowed   = 3 // cuts on kept connections without planned work
	beforeTrouble = time.Duration(contactS * float64(time.Second))
)

// Finding is a rule that a run has broken.
type Finding struct {
	Rule Rule
	Text string
}

func (f Finding) String() string { return string(f.Rule) + ": " + f.Text }

// Findings judges the run.
func (r *Run) Findings() (found []Finding) {
	add := func(rule Rule, format string, a ...any) {
		found = append(found, Finding{rule, fmt.Sprintf(format, a...)})
	}
	all := r.crowd.requests
	overall := share(all)
	if overall < shortPart {
		add(Short, "%.1f%% of %d requests were served", 100*overall, len(all))
	}
	calm := r.began.Add(r.scenario.troubled() + time.Duration(recoverS*float64(time.Second)))
	late := slices.DeleteFunc(slices.Clone(all), func(q *request) bool { return q.at.Before(calm) })
	if s := share(late); s < recoverPart {
		add(Recovers, "%.1f%% of %d requests were served later than %.0f s behind the last trouble", 100*s, len(late), recoverS)
	}
	r.starved(overall, add)
	r.refusers(add)
	r.answers(add)
	r.ends(add)
	if edition := formatEdition(r.operator.acked); r.newest < edition || len(r.newest) != len(edition) {
		add(Config, "%s was acknowledged, %s is read back", edition, r.newest)
	}
	for _, text := range r.refusing {
		add(Config, "the newest route at %s", text)
	}
	for _, o := range r.operator.orders {
		if o.refused || o.acked.IsZero() {
			add(Acks, "%s: %s", o.what, o.last)
		}
	}
	return found
}

// share is the part of requests that were served, 1 of none.
func share(requests []*request) float64 {
	if len(requests) == 0 {
		return 1
	}
	n := 0
	for _, q := range requests {
		if q.served() {
			n++
		}
	}
	return float64(n) / float64(len(requests))
}

// groups are the requests by something, in its order.
func groups[K int | string](requests []*request, by func(*request) K) (keys []K, of map[K][]*request) {
	of = map[K][]*request{}
	for _, q := range requests {
		of[by(q)] = append(of[by(q)], q)
	}
	for k := range of {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys, of
}

// starved finds tenants, kinds of requests and clients that were hardly served.
func (r *Run) starved(overall float64, add func(Rule, string, ...any)) {
	for _, by := range []struct {
		what string
		name func(*request) string
	}{
		{"tenant", func(q *request) string { return r.tenants[q.tenant].name }},
		{"kind", func(q *request) string { return kinds[q.kind].name }},
		{"client", func(q *request) string { return fmt.Sprintf("%d of %s", q.client, r.tenants[q.tenant].name) }},
	} {
		keys, of := groups(r.crowd.requests, by.name)
		for _, k := range keys {
			if s := share(of[k]); len(of[k]) >= starvedLeast && s < starvedPart*overall {
				add(Starved, "%s %s: %.1f%% of %d requests were served, %.1f%% of all; %s", by.what, k, 100*s, len(of[k]), 100*overall, reasons(of[k]))
			}
		}
	}
}

const (
	refuserWindow  = 5 * time.Second
	refuserLeast   = 8 // tries in a window, below which a gatekeeper is not judged
	refuserTenants = 4 // of so many tenants at least: one alone may be over its quota
)

// refusers finds gatekeepers that answered, and served nothing for a window in which most others' requests
// were served: whoever holds connections to them gets nothing.
func (r *Run) refusers(add func(Rule, string, ...any)) {
	type at struct {
		gatekeeper string
		window     int
	}
	of, asked, done := map[at][]*attempt{}, map[int]int{}, map[int]int{}
	tenants := map[at]map[int]bool{}
	for _, q := range r.crowd.requests {
		for i := range q.attempts {
			a := &q.attempts[i]
			w := int(a.sent.Sub(r.began) / refuserWindow)
			k := at{a.gatekeeper, w}
			of[k] = append(of[k], a)
			if tenants[k] == nil {
				tenants[k] = map[int]bool{}
			}
			tenants[k][q.tenant] = true
			asked[w]++
			if a.outcome == served {
				done[w]++
			}
		}
	}
	for k, tries := range of {
		all := func(o outcome) bool {
			return !slices.ContainsFunc(tries, func(a *attempt) bool { return a.outcome != o })
		}
		if len(tries) >= refuserLeast && len(tenants[k]) >= refuserTenants && 2*done[k.window] > asked[k.window] && all(refused) {
			add(Starved, "%s refused all of %d tries from second %.0f on, others served most: %s", k.gatekeeper, len(tries),
				float64(k.window)*refuserWindow.Seconds(), tries[0].reason)
		}
	}
}

// reasons tells how requests that were not served ended.
func reasons(requests []*request) string {
	counts := map[string]int{}
	for _, q := range requests {
		if a := q.last(); a.outcome != served {
			counts[strings.TrimSpace(fmt.Sprintf("%s %s", a.outcome, a.reason))]++
		}
	}
	var texts []string
	for text, n := range counts {
		texts = append(texts, fmt.Sprintf("%5d %s", n, text))
	}
	slices.Sort(texts)
	slices.Reverse(texts)
	return strings.Join(texts[:min(len(texts), 5)], "; ")
}

// answers judges what each try got against what workers ran.
func (r *Run) answers(add func(Rule, string, ...any)) {
	byAddress := map[string]*machine{}
	for _, m := range r.fleet.gatekeepers {
		byAddress[m.at(portClients)] = m
	}
	kept := 0
	for _, q := range r.crowd.requests {
		for i := range q.attempts {
			a := &q.attempts[i]
			runs := r.ledger.Of(a.id)
			switch {
			case runs > 1 && !kinds[q.kind].safe:
				add(Twice, "%s ran %d times", a.id, runs)
			case a.outcome == refused && runs > 0 && !kinds[q.kind].safe:
				add(Promise, "%s got %d %q and ran", a.id, a.status, a.reason)
			case a.outcome == mixed:
				add(Mixed, "%s got another answer", a.id)
			case a.outcome == closed && (runs > 0 || a.ended.Sub(a.sent) > lostSlack):
				m := byAddress[a.gatekeeper]
				if m == nil || m.troubled(a.sent.Add(-beforeTrouble), a.ended) {
					continue
				}
				if m.leaving(a.sent, a.ended) || runs == 0 {
					add(Lost, "%s at %s: cut %.2f s behind its sending, %d runs: %s", a.id, m.name, a.ended.Sub(a.sent).Seconds(), runs, a.reason)
				} else if kept++; kept > lostAllowed {
					add(Lost, "%s at %s: cut %.2f s behind its sending in calm times, %d runs: %s", a.id, m.name, a.ended.Sub(a.sent).Seconds(), runs, a.reason)
				}
			}
		}
	}
}

// troubled tells whether something unplanned befell a machine's processes in a time.
func (m *machine) troubled(from, to time.Time) bool {
	in := func(s span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) }
	for _, p := range m.processes {
		for _, s := range p.frozen {
			if in(s) {
				return true
			}
		}
		for _, l := range p.lives {
			if l.signal == syscall.SIGKILL && l.signalAt.Before(to.Add(time.Second)) && l.signalAt.After(from) {
				return true
			}
		}
	}
	return false
}

// leaving tells whether a machine was asked to end in a time, or shortly before.
func (m *machine) leaving(from, to time.Time) bool {
	for _, p := range m.processes {
		for _, l := range p.lives {
			if l.signal == syscall.SIGTERM && l.signalAt.Before(to) && l.signalAt.Add(time.Duration((graceS+1)*float64(time.Second))).After(from) {
				return true
			}
		}
	}
	return false
}

// ends finds processes that ended by themselves, and those that did not end when they were asked to.
func (r *Run) ends(add func(Rule, string, ...any)) {
	for _, name := range r.forced {
		add(Ends, "%s did not end within its grace", name)
	}
	for _, p := range r.fleet.processes() {
		for _, l := range p.lives {
			if !l.to.IsZero() && l.to.Before(r.ended) && l.signalAt.IsZero() {
				add(Ends, "%s of %s ended by itself: %s", p.program, p.machine.name, l.exit)
			}
		}
	}
}
