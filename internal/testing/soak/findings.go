package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Rule is the name of a rule that every run must satisfy.
type Rule string

// The rules.
const (
	RuleTooFewServed             Rule = "SHORT"    // too few requests were served over the whole run
	RuleStarvation               Rule = "STARVED"  // a tenant, client or kind of request was hardly served, or a gatekeeper refused everything
	RuleRequestCut               Rule = "LOST"     // the connection was closed under a request without a fault that explains it
	RuleRanTwice                 Rule = "TWICE"    // a request that is not safe to repeat ran more than once
	RuleRanAfterRefusal          Rule = "REFUSED"  // a request ran although it was refused, and refusing guarantees that it did not run
	RuleWrongResponse            Rule = "MIXED"    // a response belonged to a different request
	RuleConfigurationNotInEffect Rule = "CONFIG"   // an acknowledged configuration is not in effect
	RuleNotAcknowledged          Rule = "ACKS"     // an operation was rejected or never acknowledged
	RuleUnexpectedExit           Rule = "ENDS"     // a process exited unasked, or did not exit within its grace period
	RuleOutage                   Rule = "OUTAGE"   // nothing of a tenant, of a kind or of all was served for the recovery time
	RuleNotRecovered             Rule = "RECOVERS" // too few requests are served after the last step and the recovery time
)

const (
	starvedShare       = 0.25 // minimum served share of a group, as a fraction of the overall served share
	starvedMinRequests = 12   // groups with fewer requests are not checked
	minServedShare     = 0.6  // minimum served share of the whole run
	recoveryTimeS      = 15.0 // seconds from the end of the last step until service must have recovered
	recoveredShare     = 0.95 // minimum served share after recovery
	// A connection that closes within this time of sending, without the request having run, may have been closed
	// by the other end before the request arrived.
	closeRaceTime = 200 * time.Millisecond
	allowedCuts   = 3 // cut requests per run that are tolerated when the gatekeeper was not terminating
	// A fault this long before the sending of a request still explains that it was cut.
	faultLeadTime = time.Duration(contactLossS * float64(time.Second))
)

// Finding is a violation of a rule.
type Finding struct {
	Rule Rule
	Text string
}

// String returns the rule and the text of the finding.
func (f Finding) String() string { return string(f.Rule) + ": " + f.Text }

// Findings checks the run against all rules and returns the violations.
func (r *Run) Findings() (findings []Finding) {
	addFinding := func(rule Rule, format string, a ...any) {
		findings = append(findings, Finding{rule, fmt.Sprintf(format, a...)})
	}
	requests := r.clientPool.requests
	overall := servedShare(requests)
	if overall < minServedShare {
		addFinding(RuleTooFewServed, "%.1f%% of %d requests were served", 100*overall, len(requests))
	}
	recoveredBy := r.startedAt.Add(r.scenario.troubleEnd() + time.Duration(recoveryTimeS*float64(time.Second)))
	lateRequests := slices.DeleteFunc(slices.Clone(requests), func(q *request) bool { return q.startedAt.Before(recoveredBy) })
	if lateShare := servedShare(lateRequests); lateShare < recoveredShare {
		addFinding(RuleNotRecovered, "%.1f%% of %d requests were served later than %.0f s behind the last trouble", 100*lateShare, len(lateRequests), recoveryTimeS)
	}
	r.checkStarvation(overall, addFinding)
	r.checkOutages(addFinding)
	r.checkRefusingGatekeepers(addFinding)
	r.checkAttempts(addFinding)
	r.checkExits(addFinding)
	if edition := formatEdition(r.operator.acknowledgedEdition); r.readBackEdition < edition || len(r.readBackEdition) != len(edition) {
		addFinding(RuleConfigurationNotInEffect, "%s was acknowledged, %s is read back", edition, r.readBackEdition)
	}
	for _, text := range r.routeFailures {
		addFinding(RuleConfigurationNotInEffect, "the newest route at %s", text)
	}
	for _, op := range r.operator.operations {
		if op.rejected || op.acknowledgedAt.IsZero() {
			addFinding(RuleNotAcknowledged, "%s: %s", op.description, op.lastResponse)
		}
	}
	return findings
}

// servedShare returns the fraction of requests that were served, and 1 if there are none.
func servedShare(requests []*request) float64 {
	if len(requests) == 0 {
		return 1
	}
	n := 0
	for _, q := range requests {
		if q.wasServed() {
			n++
		}
	}
	return float64(n) / float64(len(requests))
}

// groupBy groups requests by a key and returns the sorted keys with the groups.
func groupBy[K int | string](requests []*request, keyOf func(*request) K) (keys []K, grouped map[K][]*request) {
	grouped = map[K][]*request{}
	for _, q := range requests {
		grouped[keyOf(q)] = append(grouped[keyOf(q)], q)
	}
	for key := range grouped {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys, grouped
}

// checkStarvation finds tenants, kinds of requests and clients that were hardly served.
func (r *Run) checkStarvation(overall float64, addFinding func(Rule, string, ...any)) {
	for _, grouping := range []struct {
		label string
		keyOf func(*request) string
	}{
		{"tenant", func(q *request) string { return r.tenants[q.tenant].name }},
		{"kind", func(q *request) string { return requestKinds[q.kind].name }},
		{"client", func(q *request) string { return fmt.Sprintf("%d of %s", q.client, r.tenants[q.tenant].name) }},
	} {
		keys, grouped := groupBy(r.clientPool.requests, grouping.keyOf)
		for _, key := range keys {
			if groupShare := servedShare(grouped[key]); len(grouped[key]) >= starvedMinRequests && groupShare < starvedShare*overall {
				addFinding(RuleStarvation, "%s %s: %.1f%% of %d requests were served, %.1f%% of all; %s", grouping.label, key, 100*groupShare, len(grouped[key]), 100*overall, unservedReasons(grouped[key]))
			}
		}
	}
}

const (
	refuserWindow     = 5 * time.Second // gatekeepers are checked in windows of this length
	refuserMinTries   = 8               // gatekeepers with fewer attempts in a window are not checked
	refuserMinTenants = 4               // minimum number of tenants in a window, as a single tenant may be over its quota
)

// checkRefusingGatekeepers finds gatekeepers that refused every attempt in a window in which most attempts of the
// deployment were served: clients with connections to them get no service.
func (r *Run) checkRefusingGatekeepers(addFinding func(Rule, string, ...any)) {
	type windowKey struct {
		gatekeeper string
		window     int
	}
	attemptsIn, sentIn, servedIn := map[windowKey][]*attempt{}, map[int]int{}, map[int]int{}
	tenants := map[windowKey]map[int]bool{}
	for _, request := range r.clientPool.requests {
		for i := range request.attempts {
			try := &request.attempts[i]
			window := int(try.sentAt.Sub(r.startedAt) / refuserWindow)
			key := windowKey{try.gatekeeper, window}
			attemptsIn[key] = append(attemptsIn[key], try)
			if tenants[key] == nil {
				tenants[key] = map[int]bool{}
			}
			tenants[key][request.tenant] = true
			sentIn[window]++
			if try.outcome == outcomeServed {
				servedIn[window]++
			}
		}
	}
	for key, tries := range attemptsIn {
		allEnded := func(o outcome) bool {
			return !slices.ContainsFunc(tries, func(try *attempt) bool { return try.outcome != o })
		}
		if len(tries) >= refuserMinTries && len(tenants[key]) >= refuserMinTenants && 2*servedIn[key.window] > sentIn[key.window] && allEnded(outcomeRefused) {
			addFinding(RuleStarvation, "%s refused all of %d tries from second %.0f on, others served most: %s", key.gatekeeper, len(tries),
				float64(key.window)*refuserWindow.Seconds(), tries[0].reason)
		}
	}
}

// unservedReasons summarizes how requests that were not served ended, the five most frequent ways first.
func unservedReasons(requests []*request) string {
	counts := map[string]int{}
	for _, q := range requests {
		if a := q.lastAttempt(); a.outcome != outcomeServed {
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

// checkAttempts compares the result of each attempt with what the workers ran.
func (r *Run) checkAttempts(addFinding func(Rule, string, ...any)) {
	byAddress := map[string]*machine{}
	for _, gatekeeper := range r.fleet.gatekeepers {
		byAddress[gatekeeper.at(portClients)] = gatekeeper
	}
	cuts := 0
	for _, request := range r.clientPool.requests {
		for i := range request.attempts {
			try := &request.attempts[i]
			runCount := r.ledger.RunCount(try.id)
			switch {
			case runCount > 1 && !requestKinds[request.kind].safe:
				addFinding(RuleRanTwice, "%s ran %d times", try.id, runCount)
			case try.outcome == outcomeRefused && runCount > 0 && !requestKinds[request.kind].safe:
				addFinding(RuleRanAfterRefusal, "%s got %d %q and ran", try.id, try.status, try.reason)
			case try.outcome == outcomeMismatched:
				addFinding(RuleWrongResponse, "%s got another answer", try.id)
			case try.outcome == outcomeClosed && (runCount > 0 || try.endedAt.Sub(try.sentAt) > closeRaceTime):
				gatekeeper := byAddress[try.gatekeeper]
				if gatekeeper == nil || r.ledger.WasBroken(try.id) || gatekeeper.hadUnplannedFault(try.sentAt.Add(-faultLeadTime), try.endedAt) {
					continue
				}
				if gatekeeper.wasTerminating(try.sentAt, try.endedAt) || runCount == 0 {
					addFinding(RuleRequestCut, "%s at %s: cut %.2f s behind its sending, %d runs: %s", try.id, gatekeeper.name, try.endedAt.Sub(try.sentAt).Seconds(), runCount, try.reason)
				} else if cuts++; cuts > allowedCuts {
					addFinding(RuleRequestCut, "%s at %s: cut %.2f s behind its sending in calm times, %d runs: %s", try.id, gatekeeper.name, try.endedAt.Sub(try.sentAt).Seconds(), runCount, try.reason)
				}
			}
		}
	}
}

// hadUnplannedFault reports whether a process of the machine was frozen in a period, or killed in it or within one
// second after it.
func (m *machine) hadUnplannedFault(from, to time.Time) bool {
	overlaps := func(s interval) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) }
	for _, p := range m.processes {
		for _, s := range p.frozenIntervals {
			if overlaps(s) {
				return true
			}
		}
		for _, run := range p.runs {
			if run.signal == syscall.SIGKILL && run.signalAt.Before(to.Add(time.Second)) && run.signalAt.After(from) {
				return true
			}
		}
	}
	return false
}

// wasTerminating reports whether a process of the machine was asked to exit in a period or shortly before.
func (m *machine) wasTerminating(from, to time.Time) bool {
	for _, p := range m.processes {
		for _, run := range p.runs {
			if run.signal == syscall.SIGTERM && run.signalAt.Before(to) && run.signalAt.Add(time.Duration((terminationGraceS+1)*float64(time.Second))).After(from) {
				return true
			}
		}
	}
	return false
}

// checkExits finds processes that exited unasked and those that did not exit within their grace period.
func (r *Run) checkExits(addFinding func(Rule, string, ...any)) {
	for _, name := range r.forcedExits {
		addFinding(RuleUnexpectedExit, "%s did not end within its grace", name)
	}
	for _, p := range r.fleet.processes() {
		for _, run := range p.runs {
			if !run.endedAt.IsZero() && run.endedAt.Before(r.endedAt) && run.signalAt.IsZero() {
				addFinding(RuleUnexpectedExit, "%s of %s ended by itself: %s", p.program, p.machine.name, run.exitStatus)
			}
		}
	}
}
