package forecast

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
)

const (
	shortestS = 60.0
	earliestS = 1.0 // the first entry
	lastS     = 2.0 // before the end

	replacementsMost = 3
)

// profiles are what days may be drawn for.
var profiles = []string{"all", "core", "changes", "answers", "cold", "halves"}

// sky draws one day.
type sky struct {
	*site
	*kinds
	rnd     *rand.Rand
	length  float64
	storms  [][2]float64
	last    float64 // when the entry before begins
	entries []entry
}

// draw gives the day of a seed. It draws from nothing else, so the same day comes again.
func draw(s *site, k *kinds, profile string, seed uint64, length float64) day {
	h := fnv.New64a()
	h.Write([]byte(s.Name + " " + profile))
	w := &sky{site: s, kinds: k, rnd: rand.New(rand.NewPCG(seed, h.Sum64())), length: length}
	w.spread()
	switch profile {
	case "core":
		w.core(seed)
	case "changes":
		w.changes(seed)
	case "cold":
		w.coldStarts()
	case "halves":
		w.halves()
	case "answers":
		w.themes(seed, 5+w.rnd.IntN(5), 14+w.rnd.IntN(16), func(one kind) bool {
			return one.group == servers || one.group == traffic || strikesLinks.MatchString(one.name)
		})
		w.orders(2 + w.rnd.IntN(6))
	default:
		w.themes(seed, 6+w.rnd.IntN(6), 12+w.rnd.IntN(20), func(kind) bool { return true })
		w.orders(2 + w.rnd.IntN(10))
		if w.rnd.IntN(3) == 0 {
			w.replacements()
		}
	}
	w.fewReplacements()
	slices.SortStableFunc(w.entries, func(a, b entry) int { return cmp.Compare(a.at(), b.at()) })
	d := day{comment: fmt.Sprintf("Drawn for %s: profile %s, seed %d, %g s.", s.Name, profile, seed, length),
		head:    table{"name": fmt.Sprintf("%s-%d", profile, seed), "slot": "trouble", "seed": int64(1 + w.rnd.IntN(1<<28)), "length_s": length},
		entries: w.entries}
	if len(k.closings) > 0 && w.rnd.IntN(6) > 0 {
		closing := table{"down_s": w.between(0.5, 2)}
		for key, v := range k.closings[w.rnd.IntN(len(k.closings))] {
			if v != "" {
				closing[key] = v
			}
		}
		d.head["closing"] = closing
	}
	return d
}

// strikesLinks are kinds that strike what lies between callers and answers.
var strikesLinks = regexp.MustCompile(`^(reset_conns|roll_term|node_freeze|node_cut|node_kill|node_slow|hup|zone_cut)$`)

// between draws evenly, to a hundredth.
func (w *sky) between(from, to float64) float64 {
	return math.Round((from+w.rnd.Float64()*(to-from))*100) / 100
}

// spread parts the day into storms and calms. Rules that are bounded in time hold in calms, and what
// a storm left behind shows there. One day in five has no calm.
func (w *sky) spread() {
	n := 1 + w.rnd.IntN(max(2, int(w.length/20)))
	if w.rnd.IntN(5) == 0 {
		w.storms = [][2]float64{{earliestS, w.length - lastS}}
		return
	}
	part := (w.length - earliestS - lastS) / float64(n)
	for i := range n {
		from := earliestS + (float64(i)+0.4*w.rnd.Float64())*part
		w.storms = append(w.storms, [2]float64{from, from + (0.1+0.5*w.rnd.Float64())*part})
	}
}

// when is a time in a storm, often right after the entry before.
func (w *sky) when() float64 {
	storm := w.storms[w.rnd.IntN(len(w.storms))]
	at := w.between(storm[0], storm[1])
	if w.last > 0 && w.rnd.IntN(3) == 0 {
		at = w.last + w.between(0, 0.8)
	}
	w.last = math.Round(min(max(at, earliestS), w.length-lastS)*100) / 100
	return w.last
}

// lasting is how long a trouble lasts: seconds, at times longer than any lease.
func (w *sky) lasting(at float64) float64 {
	s := w.between(0.5, 7)
	if w.rnd.IntN(6) == 0 {
		s = w.between(12, 25)
	}
	return math.Round(min(s, w.length-at)*100) / 100
}

// add draws an entry of a kind.
func (w *sky) add(one kind, at float64) table {
	t := table{"at": at, "kind": one.name}
	list := "faults"
	if one.plan {
		list = "plan"
	}
	if how := w.how(one); how != "" {
		t["how"] = how
	}
	core := one.group == machines && w.rnd.IntN(2) == 0
	switch {
	case one.words["share"] && core && one.name != "clock_step":
		t["on"], t["count"] = "core", int64(1+w.rnd.IntN(w.Tolerate.Machines+1))
	case one.words["share"]:
		t["share"] = w.between(0.05, 0.6)
	case strings.Contains(one.says, "count routes"):
		t["count"] = int64(100 + w.rnd.IntN(1400))
	case one.words["count"]:
		t["count"] = int64(1 + w.rnd.IntN(3))
	}
	if one.hasX && (one.x != 0 || w.rnd.IntN(3) > 0) {
		x := cmp.Or(one.x, 3)
		t["x"] = w.between(x/2, 2*x)
		if x < 1 {
			t["x"] = min(1, max(0.01, w.between(x/2, 2*x)))
		}
	}
	if one.words["gap_s"] {
		t["gap_s"] = w.between(0.1, 1.5)
	}
	if !slices.Contains(instant, one.name) {
		t["for_s"] = w.lasting(at)
	}
	if strings.Contains(one.says, "a zone") && w.rnd.IntN(5) > 0 {
		t["zone"] = w.Zones[w.rnd.IntN(len(w.Zones))].Name
	}
	if one.words["to_zone"] {
		t["to_zone"] = w.Zones[w.rnd.IntN(len(w.Zones))].Name
	}
	if one.group == servers && one.name != "cold_return" && w.rnd.IntN(2) == 0 {
		t["service"] = w.Services[w.rnd.IntN(len(w.Services))].Name
	}
	w.entries = append(w.entries, entry{list, t})
	return t
}

// instant are kinds that have no length, or one that follows from the rest.
var instant = []string{"config_change", "config_race", "bad_config", "big_config", "revoke", "release", "scale_in", "scale_out", "hup",
	"seed_turnover", "replace_core", "roll_term", "reset_conns", "replace_with_reuse"}

// how draws a variant, with the words that go with many kinds.
func (w *sky) how(one kind) string {
	words := strings.Fields(one.hows[w.rnd.IntN(len(one.hows))])
	if len(words) == 1 && words[0][0] == '+' {
		with := strings.Fields(one.hows[w.rnd.IntN(len(one.hows))])
		if words[0] = words[0][1:]; len(with) > 0 && with[0][0] != '+' {
			words = append(with, words...)
		}
	}
	some := func(from []string, in int) {
		if len(from) == 0 || w.rnd.IntN(in) > 0 {
			return
		}
		if pick := from[w.rnd.IntN(len(from))]; !slices.Contains(words, pick) {
			words = append(words, pick)
		}
	}
	switch one.group {
	case machines:
		if !slices.ContainsFunc(words, func(s string) bool { return slices.Contains(w.aims, s) }) {
			some(w.aims, 3)
		}
		if strings.Contains(one.says, "cut") {
			some(w.cuts, 3)
		}
		afters := slices.Clone(w.afters)
		if one.name != "roll_term" { // busy is for that alone
			afters = slices.DeleteFunc(afters, func(s string) bool { return s == "busy" })
		}
		some(afters, 4)
		some(afters, 4)
	case servers:
		some(w.kinds.spread, 4)
		// A service that loses all its workers for good can be served by nobody: rules that compare would break.
		if one.name == "replace_with_reuse" || one.name == "scale_in" || slices.Contains(words, "gone") {
			words = slices.DeleteFunc(words, func(s string) bool { return s == "all" })
		}
	}
	return strings.Join(words, " ")
}

// themes draws entries of a few kinds, each of them several times as a rule. Of seeds in a row, as many
// as there are kinds, each has another one in any case.
func (w *sky) themes(seed uint64, few, entries int, fits func(kind) bool) {
	var all []kind
	for _, one := range w.list {
		if fits(one) {
			all = append(all, one)
		}
	}
	if len(all) == 0 {
		return
	}
	picked := []kind{all[seed%uint64(len(all))]}
	for _, i := range w.rnd.Perm(len(all))[:min(few, len(all))] {
		picked = append(picked, all[i])
	}
	for i := range entries {
		one := picked[0]
		if i > 0 {
			one = picked[w.rnd.IntN(len(picked))]
		}
		w.add(one, w.when())
	}
}

// core stacks losses on the machines that count, with changes between them.
func (w *sky) core(seed uint64) {
	w.themes(seed, 3+w.rnd.IntN(4), 6+w.rnd.IntN(10), func(one kind) bool {
		return one.group == machines || one.name == "ack_lost"
	})
	// Where a kind strikes a class of machines, it strikes these.
	for _, e := range w.entries {
		if e.table["share"] != nil && e.kind() != "clock_step" && !strings.HasPrefix(e.kind(), "node_cut") {
			delete(e.table, "share")
			e.table["on"], e.table["count"] = "core", int64(1+w.rnd.IntN(w.Tolerate.Machines+1))
		}
	}
	w.replacements()
	w.orders(3 + w.rnd.IntN(25))
}

// replacements are none to three, planned or not, early enough to be carried out.
func (w *sky) replacements() {
	i := slices.IndexFunc(w.list, func(one kind) bool { return one.name == "replace_core" })
	if i < 0 {
		return
	}
	for range w.rnd.IntN(replacementsMost + 1) {
		t := w.add(w.list[i], w.between(earliestS, w.length*0.8))
		delete(t, "how")
		if w.rnd.IntN(2) == 0 && slices.Contains(w.list[i].hows, "planned") {
			t["how"] = "planned"
		}
	}
}

// fewReplacements leaves three of them, as the machines at hand are few.
func (w *sky) fewReplacements() {
	n := 0
	w.entries = slices.DeleteFunc(w.entries, func(e entry) bool {
		if e.kind() == "replace_core" {
			n++
		}
		return e.kind() == "replace_core" && n > replacementsMost
	})
}

// orders are the operator's, over the whole day.
func (w *sky) orders(n int) {
	var all []kind
	for _, one := range w.list {
		if one.group == orders && one.name != "ack_lost" && one.name != "big_config" {
			all = append(all, one)
		}
	}
	if len(all) == 0 {
		return
	}
	for range n {
		one := all[w.rnd.IntN(len(all))]
		if i := slices.IndexFunc(all, func(one kind) bool { return one.name == "config_change" }); i >= 0 && w.rnd.IntN(2) == 0 {
			one = all[i]
		}
		w.add(one, w.between(earliestS, w.length-lastS))
	}
}

// changes come by the hundred, in quick succession, with a few losses.
func (w *sky) changes(seed uint64) {
	w.themes(seed, 2, 3+w.rnd.IntN(4), func(one kind) bool { return one.group == orders })
	i := slices.IndexFunc(w.list, func(one kind) bool { return one.name == "config_change" })
	n := 40 + w.rnd.IntN(360)
	for len(w.entries) < n && i >= 0 {
		at, gap := w.between(earliestS, w.length-lastS), w.between(0.02, 0.6)
		for range 10 + w.rnd.IntN(90) {
			if at = math.Round((at+w.rnd.ExpFloat64()*gap)*100) / 100; at > w.length-lastS {
				break
			}
			one := w.list[i]
			if w.rnd.IntN(6) == 0 {
				one = w.list[w.rnd.IntN(len(w.list))]
				if one.group != orders || one.name == "big_config" || one.name == "ack_lost" {
					continue
				}
			}
			w.add(one, at)
		}
	}
	w.themes(seed, 2+w.rnd.IntN(3), 2+w.rnd.IntN(5), func(one kind) bool { return one.group == machines })
	if w.rnd.IntN(4) == 0 {
		w.replacements()
	}
}
