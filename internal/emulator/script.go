package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// CounterEvent is a trouble of a counter on a time line. Times are milliseconds from the
// beginning.
type CounterEvent struct {
	At, For float64
	Kind    string
	Value   float64
	Text    string // of its value, where that is a word
}

// CounterMoment is a change of a counter at a time.
type CounterMoment struct {
	At float64
	Do func(*Counter)
}

// counterKinds are the troubles: which value each wants, and how it sets in.
var counterKinds = map[string]struct {
	want string
	set  func(t *CounterTrouble, v float64)
}{
	"slow":    {"times", func(t *CounterTrouble, v float64) { t.Slow = v }},
	"late":    {"time", func(t *CounterTrouble, v float64) { t.Late = v }},
	"lose":    {"count", func(t *CounterTrouble, v float64) { t.LoseEvery = int(v) }},
	"silent":  {"part", func(t *CounterTrouble, v float64) { t.Silent = v }},
	"spoilt":  {"part", func(t *CounterTrouble, v float64) { t.Spoilt = v }},
	"down":    {"", func(t *CounterTrouble, v float64) { t.Down = v > 0 }},
	"split":   {"history", nil},
	"replace": {"", nil},
	"restore": {"time", nil},
}

// ParseCounterEvent reads AT+FOR:KIND=VALUE, as 10s+5s:slow=3. The kinds are slow=TIMES,
// late=TIME, lose=N (every so many-th addition), silent=PART, spoilt=PART, down, split=sum or
// split=keep (what counts when the sides rejoin), and, without a duration, replace and
// restore=AGE (of the snapshot that it restarts from).
func ParseCounterEvent(text string) (CounterEvent, error) {
	var e CounterEvent
	bad := func(why string, a ...any) (CounterEvent, error) {
		return e, fmt.Errorf("counter event %q: %s", text, fmt.Sprintf(why, a...))
	}
	when, what, ok := strings.Cut(text, ":")
	if !ok {
		return bad("not AT+FOR:KIND")
	}
	at, span, lasts := strings.Cut(when, "+")
	var err error
	if e.At, err = milliseconds(at); err != nil {
		return bad("%v", err)
	}
	if lasts {
		if e.For, err = milliseconds(span); err != nil {
			return bad("%v", err)
		}
	}
	kind, value, valued := strings.Cut(what, "=")
	k, known := counterKinds[kind]
	if !known {
		return bad("no such kind")
	}
	if instant := kind == "replace" || kind == "restore"; instant == lasts {
		return bad("%s has %s", kind, map[bool]string{true: "no duration", false: "a duration"}[instant])
	}
	if valued != (k.want != "") {
		return bad("%s wants %s", kind, cmp.Or(k.want, "no value"))
	}
	e.Kind = kind
	switch k.want {
	case "":
		e.Value = 1
	case "time":
		e.Value, err = milliseconds(value)
	case "history":
		if e.Text = value; value != "sum" && value != "keep" {
			err = fmt.Errorf("split=sum or split=keep")
		}
	default:
		if e.Value, err = strconv.ParseFloat(value, 64); err == nil && !(e.Value > 0) || k.want == "part" && e.Value > 1 {
			err = fmt.Errorf("%s is no %s", value, k.want)
		}
	}
	if err != nil {
		return bad("%v", err)
	}
	return e, nil
}

func milliseconds(text string) (float64, error) {
	d, err := time.ParseDuration(text)
	if err == nil && d < 0 {
		err = fmt.Errorf("%s is before the beginning", text)
	}
	return float64(d) / float64(time.Millisecond), err
}

// Moments are the changes that some events make, in their order.
func Moments(events []CounterEvent) []CounterMoment {
	var all []CounterMoment
	for _, e := range events {
		switch e.Kind {
		case "split":
			all = append(all, CounterMoment{e.At, (*Counter).Part},
				CounterMoment{e.At + e.For, func(c *Counter) { c.Rejoin(e.Text == "sum") }})
		case "replace":
			all = append(all, CounterMoment{e.At, func(c *Counter) { c.Replace(nil) }})
		case "restore":
			var kept *Numbers
			all = append(all, CounterMoment{max(e.At-e.Value, 0), func(c *Counter) { kept = c.Snapshot() }},
				CounterMoment{e.At, func(c *Counter) { c.Replace(kept) }})
		default:
			set := counterKinds[e.Kind].set
			all = append(all, CounterMoment{e.At, func(c *Counter) { set(&c.Trouble, e.Value) }},
				CounterMoment{e.At + e.For, func(c *Counter) { set(&c.Trouble, 0) }})
		}
	}
	slices.SortStableFunc(all, func(a, b CounterMoment) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Play lets a served counter's moments come in their time, until stop is closed.
func (s *CounterServer) Play(all []CounterMoment, stop <-chan struct{}) {
	for _, m := range all {
		t := time.NewTimer(time.Duration((m.At - s.now()) * float64(time.Millisecond)))
		select {
		case <-stop:
			t.Stop()
			return
		case <-t.C:
			s.Do(m.Do)
		}
	}
}
