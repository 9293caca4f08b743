package overloadtest

import (
	"fmt"
	"slices"
	"time"

	"foxwood/internal/testing/standin"
)

// settlingTime is the time after a change of the shedding level in which proxies may still apply different levels.
const settlingTime = time.Second

// stableSpan is a period in which the same level was in force everywhere.
type stableSpan struct{ from, to time.Time }

// levelChange is a moment at which the applied level changed, at all proxies or at one.
type levelChange struct {
	at    time.Time
	proxy int // index of the proxy, -1 for all
}

// verdict is the result of checking a run.
type verdict struct {
	attempts       int
	unsafeRanTwice int // unsafe attempts that ran more than once
	refusedRan     int // unsafe attempts that ran although they were refused
	acceptedNotRun int // attempts that were accepted and did not run
	unknown        int // attempts of unknown outcome
	unknownRan     int // those of them that ran

	// Pairs of answers by two proxies to one caller on one route within a second, and how many
	// of them agree on shedding: while the level was settled, and over the whole run.
	settledPairs, settledPairsAgreeing, allPairs, allPairsAgreeing int

	outOfOrder        int           // settled spans in which a higher tier was shed while a lower one passed
	outOfOrderExample string        // one example of them
	settledTime       time.Duration // total of the settled spans
}

// levelChanges returns the changes of level that the logs report, in order of time. A line of a registry
// counts for all proxies, a line of an isolated proxy only for that proxy.
func levelChanges(lines []logLine) (changes []levelChange) {
	for _, entry := range lines {
		switch entry.program {
		case "bothy":
			changes = append(changes, levelChange{entry.readAt, -1})
		case "switchback":
			cutOff, _ := entry.fields["cutOff"].(bool)
			alone, _ := entry.fields["alone"].(bool)
			var proxy int
			if _, err := fmt.Sscanf(entry.node, "switchback-%d", &proxy); err == nil && (cutOff || alone) {
				changes = append(changes, levelChange{entry.readAt, proxy})
			}
		}
	}
	slices.SortFunc(changes, func(a, b levelChange) int { return a.at.Compare(b.at) })
	return changes
}

// isolations returns the periods in which proxies chose their own level or were isolated, by their own logs.
func isolations(lines []logLine, end time.Time) (periods []isolation) {
	open := map[int]int{}
	for _, entry := range lines {
		var proxy int
		if _, err := fmt.Sscanf(entry.node, "switchback-%d", &proxy); err != nil {
			continue
		}
		alone, _ := entry.fields["alone"].(bool)
		cutOff, _ := entry.fields["cutOff"].(bool)
		alone = alone || cutOff
		index, isOpen := open[proxy]
		switch {
		case alone && !isOpen:
			open[proxy] = len(periods)
			periods = append(periods, isolation{proxy: proxy, from: entry.readAt.Add(-settlingTime / 10), to: end})
		case !alone && isOpen:
			periods[index].to = entry.readAt.Add(settlingTime)
			delete(open, proxy)
		}
	}
	return periods
}

// stableSpans returns the periods between from and to that are not within the settling time of a change,
// for one proxy or for all (-1).
func stableSpans(changes []levelChange, proxy int, from, to time.Time) (spans []stableSpan) {
	for _, change := range changes {
		if change.proxy >= 0 && change.proxy != proxy {
			continue
		}
		if change.at.After(from) && change.at.Before(to) {
			spans = append(spans, stableSpan{from, change.at})
		}
		if settledAt := change.at.Add(settlingTime); settledAt.After(from) { // a change during another's settling time extends it
			from = settledAt
		}
	}
	if from.Before(to) {
		spans = append(spans, stableSpan{from, to})
	}
	return spans
}

// spanIndex returns the index of the span in which an attempt was sent (and, if shed, also answered), or -1.
func spanIndex(spans []stableSpan, candidate *attempt) int {
	i, ok := slices.BinarySearchFunc(spans, candidate.sent, func(s stableSpan, t time.Time) int { return s.from.Compare(t) })
	if !ok {
		i--
	}
	if i < 0 || candidate.ended.After(spans[i].to) && candidate.outcome == outcomeShed || candidate.sent.After(spans[i].to) {
		return -1
	}
	return i
}

// isolation is a period in which a proxy chose its own level. Its attempts are judged separately then.
type isolation struct {
	proxy    int
	from, to time.Time
}

// judge checks the attempts of a run against the ledger of the workers and against the order of tiers.
// If oneOrder is true, one order of tiers holds across all services; otherwise each service has its own,
// because requests that a service with free capacity accepts take nothing from the others.
func judge(attempts []*attempt, ledger *standin.ExecutionLog, changes []levelChange, isolated []isolation, from, to time.Time, oneOrder bool) (v verdict) {
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.sent.Compare(b.sent) })
	v.attempts = len(attempts)
	for _, current := range attempts {
		ran := ledger.RunCount(current.id)
		if !services[current.route].safe && ran > 1 {
			v.unsafeRanTwice++
		}
		switch current.outcome {
		case outcomeOK:
			if ran == 0 {
				v.acceptedNotRun++
			}
		case outcomeShed, outcomeRefused:
			if ran > 0 && !services[current.route].safe { // a safe request may have run, and then been refused when the proxy repeated it
				v.refusedRan++
			}
		case outcomeUnknown:
			v.unknown++
			if ran > 0 {
				v.unknownRan++
			}
		}
	}
	isIsolated := func(current *attempt) bool {
		return slices.ContainsFunc(isolated, func(a isolation) bool {
			return a.proxy == current.proxy && !current.sent.Before(a.from) && current.sent.Before(a.to)
		})
	}
	stable := stableSpans(changes, -1, from, to)
	for _, s := range stable {
		v.settledTime += s.to.Sub(s.from)
	}
	type extremes struct{ shed, passed *attempt } // the most important shed and the least important passed
	extremesByKey := map[[3]int]*extremes{}       // by scope (a proxy or -1), span and service (or -1)
	lastAttempt := map[string]*attempt{}
	lastSpan := map[string]int{}
	for _, current := range attempts {
		if current.outcome == outcomeNotSent || current.outcome == outcomeUnknown {
			continue
		}
		index := spanIndex(stable, current)
		scope := -1
		if isIsolated(current) {
			scope = current.proxy
			if index = spanIndex(stableSpans(changes, current.proxy, from, to), current); index < 0 {
				continue
			}
		} else {
			// Compare two answers to one caller on one route, given by two proxies within a second.
			callerAndRoute := fmt.Sprint(current.caller, "/", current.route)
			if previous := lastAttempt[callerAndRoute]; previous != nil && previous.proxy != current.proxy && current.sent.Sub(previous.sent) < time.Second {
				agrees := (previous.outcome == outcomeShed) == (current.outcome == outcomeShed)
				v.allPairs++
				if agrees {
					v.allPairsAgreeing++
				}
				if index >= 0 && lastSpan[callerAndRoute] == index {
					v.settledPairs++
					if agrees {
						v.settledPairsAgreeing++
					}
				}
			}
			lastAttempt[callerAndRoute], lastSpan[callerAndRoute] = current, index
			if index < 0 {
				continue
			}
		}
		key := [3]int{scope, index, current.route}
		if oneOrder {
			key[2] = -1
		}
		found := extremesByKey[key]
		if found == nil {
			found = &extremes{}
			extremesByKey[key] = found
		}
		if current.outcome == outcomeShed {
			if found.shed == nil || current.shedOrder() < found.shed.shedOrder() {
				found.shed = current
			}
		} else if found.passed == nil || current.shedOrder() > found.passed.shedOrder() {
			found.passed = current
		}
	}
	for _, found := range extremesByKey {
		if found.shed != nil && found.passed != nil && found.shed.shedOrder() < found.passed.shedOrder() {
			v.outOfOrder++
			v.outOfOrderExample = fmt.Sprintf("tier %d.%d shed at %v by %d, %d.%d passed at %v by %d", found.shed.tenantTier, services[found.shed.route].priority,
				found.shed.sent.Sub(from), found.shed.proxy, found.passed.tenantTier, services[found.passed.route].priority, found.passed.sent.Sub(from), found.passed.proxy)
		}
	}
	return v
}

// requestCounts counts requests by their result.
type requestCounts struct{ offered, succeeded, metTarget, shed, refused, other int }

// add counts one request.
func (s *requestCounts) add(req *request) {
	s.offered++
	switch req.outcome {
	case outcomeOK:
		s.succeeded++
	case outcomeShed:
		s.shed++
	case outcomeRefused:
		s.refused++
	default:
		s.other++
	}
	if req.metTarget {
		s.metTarget++
	}
}

// countRequests counts requests by stage, tier and route. A tier or route of -1 in the key stands for all.
func countRequests(requests []*request) map[[3]int]*requestCounts {
	counts := map[[3]int]*requestCounts{}
	for _, req := range requests {
		for _, tier := range []int{-1, req.tier} {
			for _, route := range []int{-1, req.route} {
				key := [3]int{req.stage, tier, route}
				if counts[key] == nil {
					counts[key] = &requestCounts{}
				}
				counts[key].add(req)
			}
		}
	}
	return counts
}

// percent returns a as a percentage of b, or 0 if b is 0.
func percent(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return 100 * float64(a) / float64(b)
}
