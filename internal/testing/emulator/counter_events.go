package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// CounterEvent is a fault that is injected into a counter. Times are in milliseconds; AtMS
// counts from the start.
type CounterEvent struct {
	AtMS, DurationMS float64 // beginning and duration
	Kind             string
	Value            float64
	Option           string // value of the kinds whose value is a word
}

// CounterChange is a change of a counter at a time, in milliseconds from the start.
type CounterChange struct {
	AtMS  float64
	Apply func(*Counter)
}

// counterKinds are the kinds of faults: the kind of value each requires ("" for none), and the
// function that sets it; nil if the kind is not a field of CounterFaults.
var counterKinds = map[string]struct {
	valueKind string
	apply     func(t *CounterFaults, v float64)
}{
	"slow":    {"times", func(t *CounterFaults, v float64) { t.SlowFactor = v }},
	"late":    {"time", func(t *CounterFaults, v float64) { t.ResponseDelayMS = v }},
	"lose":    {"count", func(t *CounterFaults, v float64) { t.LoseEvery = int(v) }},
	"silent":  {"part", func(t *CounterFaults, v float64) { t.NoResponseFraction = v }},
	"spoilt":  {"part", func(t *CounterFaults, v float64) { t.InvalidFraction = v }},
	"down":    {"", func(t *CounterFaults, v float64) { t.Down = v > 0 }},
	"split":   {"history", nil},
	"replace": {"", nil},
	"restore": {"time", nil},
}

// ParseCounterEvent parses an event in the form AT+FOR:KIND=VALUE, for example 10s+5s:slow=3.
// The kinds are:
//
//   - slow=FACTOR: calls take longer
//   - late=DURATION: responses are delayed
//   - lose=N: every N-th addition is lost
//   - silent=FRACTION: calls get no response
//   - spoilt=FRACTION: responses contain no number
//   - down: the counter is unreachable
//   - split=sum, split=keep: the two sides are partitioned; when they rejoin, the additions of
//     both sides, or only those of the first, are kept
//   - replace, without +FOR: the counter is replaced by an empty one
//   - restore=AGE, without +FOR: the counter is restored from a snapshot of that age
func ParseCounterEvent(text string) (CounterEvent, error) {
	var event CounterEvent
	fail := func(reason string, a ...any) (CounterEvent, error) {
		return event, fmt.Errorf("counter event %q: %s", text, fmt.Sprintf(reason, a...))
	}
	timing, effect, ok := strings.Cut(text, ":")
	if !ok {
		return fail("not AT+FOR:KIND")
	}
	start, duration, hasDuration := strings.Cut(timing, "+")
	var err error
	if event.AtMS, err = parseMilliseconds(start); err != nil {
		return fail("%v", err)
	}
	if hasDuration {
		if event.DurationMS, err = parseMilliseconds(duration); err != nil {
			return fail("%v", err)
		}
	}
	kind, value, hasValue := strings.Cut(effect, "=")
	kindInfo, known := counterKinds[kind]
	if !known {
		return fail("no such kind")
	}
	if instant := kind == "replace" || kind == "restore"; instant == hasDuration {
		return fail("%s has %s", kind, map[bool]string{true: "no duration", false: "a duration"}[instant])
	}
	if hasValue != (kindInfo.valueKind != "") {
		return fail("%s wants %s", kind, cmp.Or(kindInfo.valueKind, "no value"))
	}
	event.Kind = kind
	switch kindInfo.valueKind {
	case "":
		event.Value = 1
	case "time":
		event.Value, err = parseMilliseconds(value)
	case "history":
		if event.Option = value; value != "sum" && value != "keep" {
			err = fmt.Errorf("split=sum or split=keep")
		}
	default:
		if event.Value, err = strconv.ParseFloat(value, 64); err == nil && !(event.Value > 0) || kindInfo.valueKind == "part" && event.Value > 1 {
			err = fmt.Errorf("%s is no %s", value, kindInfo.valueKind)
		}
	}
	if err != nil {
		return fail("%v", err)
	}
	return event, nil
}

// parseMilliseconds parses a duration that is not negative, and returns it in milliseconds.
func parseMilliseconds(text string) (float64, error) {
	duration, err := time.ParseDuration(text)
	if err == nil && duration < 0 {
		err = fmt.Errorf("%s is before the beginning", text)
	}
	return float64(duration) / float64(time.Millisecond), err
}

// CounterChanges returns the changes that the events cause, in order of time.
func CounterChanges(events []CounterEvent) []CounterChange {
	var moments []CounterChange
	for _, event := range events {
		switch event.Kind {
		case "split":
			moments = append(moments, CounterChange{event.AtMS, (*Counter).Partition},
				CounterChange{event.AtMS + event.DurationMS, func(c *Counter) { c.Rejoin(event.Option == "sum") }})
		case "replace":
			moments = append(moments, CounterChange{event.AtMS, func(c *Counter) { c.Replace(nil) }})
		case "restore":
			var snapshot *CounterTotals
			moments = append(moments, CounterChange{max(event.AtMS-event.Value, 0), func(c *Counter) { snapshot = c.Snapshot() }},
				CounterChange{event.AtMS, func(c *Counter) { c.Replace(snapshot) }})
		default:
			apply := counterKinds[event.Kind].apply
			moments = append(moments, CounterChange{event.AtMS, func(c *Counter) { apply(&c.Faults, event.Value) }},
				CounterChange{event.AtMS + event.DurationMS, func(c *Counter) { apply(&c.Faults, 0) }})
		}
	}
	slices.SortStableFunc(moments, func(a, b CounterChange) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return moments
}

// ApplyChanges applies the changes at their times. It returns after the last one, or when stop is
// closed.
func (s *CounterServer) ApplyChanges(moments []CounterChange, stop <-chan struct{}) {
	for _, moment := range moments {
		timer := time.NewTimer(time.Duration((moment.AtMS - s.nowMS()) * float64(time.Millisecond)))
		select {
		case <-stop:
			timer.Stop()
			return
		case <-timer.C:
			s.Update(moment.Apply)
		}
	}
}
