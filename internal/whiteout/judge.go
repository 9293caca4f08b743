package whiteout

import (
	"fmt"
	"slices"
	"time"

	"foxwood/internal/testing/standin"
)

// settling is the time after a change of level in which gatekeepers may still differ.
const settling = time.Second

// span is a time in which one level held everywhere.
type span struct{ from, to time.Time }

// change is a moment at which what is applied changed: everywhere, or at one gatekeeper.
type change struct {
	at   time.Time
	gate int // -1 for all
}

// verdict is what was found.
type verdict struct {
	tries, unsafeTwice, refusedRan, lost, doubt, doubtRan int
	pairs, alike, pairsAll, alikeAll                      int
	outOfOrder                                            int
	order                                                 string // an example
	stable                                                time.Duration
}

// changes are the moments of the logs. The first line of a gatekeeper that was cut off counts for
// itself alone.
func changes(lines []line) (all []change) {
	for _, l := range lines {
		switch l.program {
		case "bothy":
			all = append(all, change{l.at, -1})
		case "switchback":
			off, _ := l.fields["cutOff"].(bool)
			alone, _ := l.fields["alone"].(bool)
			var gate int
			if _, err := fmt.Sscanf(l.station, "switchback-%d", &gate); err == nil && (off || alone) {
				all = append(all, change{l.at, gate})
			}
		}
	}
	slices.SortFunc(all, func(a, b change) int { return a.at.Compare(b.at) })
	return all
}

// alones are the times in which gatekeepers shed by themselves or were cut off, by their own logs.
func alones(lines []line, end time.Time) (out []away) {
	open := map[int]int{}
	for _, l := range lines {
		var gate int
		if _, err := fmt.Sscanf(l.station, "switchback-%d", &gate); err != nil {
			continue
		}
		alone, _ := l.fields["alone"].(bool)
		off, _ := l.fields["cutOff"].(bool)
		alone = alone || off
		at, ok := open[gate]
		switch {
		case alone && !ok:
			open[gate] = len(out)
			out = append(out, away{gate: gate, from: l.at.Add(-settling / 10), to: end})
		case !alone && ok:
			out[at].to = l.at.Add(settling)
			delete(open, gate)
		}
	}
	return out
}

// spans are the times without a change near, for a gatekeeper or all (-1).
func spans(all []change, gate int, from, to time.Time) (out []span) {
	for _, c := range all {
		if c.gate >= 0 && c.gate != gate {
			continue
		}
		if c.at.After(from) && c.at.Before(to) {
			out = append(out, span{from, c.at})
		}
		if next := c.at.Add(settling); next.After(from) { // also of one that comes while another settles
			from = next
		}
	}
	if from.Before(to) {
		out = append(out, span{from, to})
	}
	return out
}

func in(all []span, k *try) int {
	i, ok := slices.BinarySearchFunc(all, k.sent, func(s span, t time.Time) int { return s.from.Compare(t) })
	if !ok {
		i--
	}
	if i < 0 || k.ended.After(all[i].to) && k.end == endShed || k.sent.After(all[i].to) {
		return -1
	}
	return i
}

// away is when a gatekeeper was on its own: it is judged by itself then.
type away struct {
	gate     int
	from, to time.Time
}

// judge holds the order of tiers to be one for all services where whole is true, and else one for
// each: what is let in at a service with room takes nothing from another.
func judge(tries []*try, book *standin.Ledger, all []change, aways []away, from, to time.Time, whole bool) (v verdict) {
	slices.SortFunc(tries, func(a, b *try) int { return a.sent.Compare(b.sent) })
	v.tries = len(tries)
	for _, k := range tries {
		ran := book.Of(k.id)
		if !services[k.route].safe && ran > 1 {
			v.unsafeTwice++
		}
		switch k.end {
		case endOK:
			if ran == 0 {
				v.lost++
			}
		case endShed, endRefused:
			if ran > 0 && !services[k.route].safe { // a safe one may have run and be refused at its repeat
				v.refusedRan++
			}
		case endDoubt:
			v.doubt++
			if ran > 0 {
				v.doubtRan++
			}
		}
	}
	alone := func(k *try) bool {
		return slices.ContainsFunc(aways, func(a away) bool { return a.gate == k.gate && !k.sent.Before(a.from) && k.sent.Before(a.to) })
	}
	stable := spans(all, -1, from, to)
	for _, s := range stable {
		v.stable += s.to.Sub(s.from)
	}
	type edge struct{ shed, passed *try }
	edges := map[[3]int]*edge{}
	last := map[string]*try{}
	lastIn := map[string]int{}
	for _, k := range tries {
		if k.end == endUnsent || k.end == endDoubt {
			continue
		}
		at := in(stable, k)
		scope := -1
		if alone(k) {
			scope = k.gate
			if at = in(spans(all, k.gate, from, to), k); at < 0 {
				continue
			}
		} else {
			// Two answers to one caller for one kind of request, by two gatekeepers within a second.
			name := fmt.Sprint(k.caller, "/", k.route)
			if o := last[name]; o != nil && o.gate != k.gate && k.sent.Sub(o.sent) < time.Second {
				same := (o.end == endShed) == (k.end == endShed)
				v.pairsAll++
				if same {
					v.alikeAll++
				}
				if at >= 0 && lastIn[name] == at {
					v.pairs++
					if same {
						v.alike++
					}
				}
			}
			last[name], lastIn[name] = k, at
			if at < 0 {
				continue
			}
		}
		at3 := [3]int{scope, at, k.route}
		if whole {
			at3[2] = -1
		}
		e := edges[at3]
		if e == nil {
			e = &edge{}
			edges[at3] = e
		}
		if k.end == endShed {
			if e.shed == nil || k.tier() < e.shed.tier() {
				e.shed = k
			}
		} else if e.passed == nil || k.tier() > e.passed.tier() {
			e.passed = k
		}
	}
	for _, e := range edges {
		if e.shed != nil && e.passed != nil && e.shed.tier() < e.passed.tier() {
			v.outOfOrder++
			v.order = fmt.Sprintf("tier %d.%d shed at %v by %d, %d.%d passed at %v by %d", e.shed.rank, services[e.shed.route].rank,
				e.shed.sent.Sub(from), e.shed.gate, e.passed.rank, services[e.passed.route].rank, e.passed.sent.Sub(from), e.passed.gate)
		}
	}
	return v
}

// sum is the requests of a kind in a stage.
type sum struct{ offered, ok, inTime, shed, refused, other int }

func (s *sum) add(r *request) {
	s.offered++
	switch r.end {
	case endOK:
		s.ok++
	case endShed:
		s.shed++
	case endRefused:
		s.refused++
	default:
		s.other++
	}
	if r.inTime {
		s.inTime++
	}
}

// table sums by stage, rank and route; a key part of -1 is all.
func table(asked []*request) map[[3]int]*sum {
	out := map[[3]int]*sum{}
	for _, r := range asked {
		for _, rank := range []int{-1, r.rank} {
			for _, route := range []int{-1, r.route} {
				k := [3]int{r.stage, rank, route}
				if out[k] == nil {
					out[k] = &sum{}
				}
				out[k].add(r)
			}
		}
	}
	return out
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return 100 * float64(a) / float64(b)
}
