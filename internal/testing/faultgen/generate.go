package faultgen

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
	minLengthS  = 60.0 // least length of a scenario, in seconds
	firstEventS = 1.0  // earliest time of an event, in seconds from the start
	endMarginS  = 2.0  // latest time of an event, in seconds before the end

	maxReplacements = 3 // core machines replaced in one scenario
)

// profiles holds the names of the profiles. A profile selects the mix of faults: "all" draws from every kind,
// "core" hits the core machines, "changes" sends hundreds of configuration changes, "answers" disturbs the path
// between callers and answers, "cold" repeats cold starts of workers, and "halves" repeats partitions of the core.
var profiles = []string{"all", "core", "changes", "answers", "cold", "halves"}

// generator generates one scenario.
type generator struct {
	*site
	*faultCatalog
	random         *rand.Rand
	lengthS        float64      // in seconds
	faultPeriods   [][2]float64 // start and end of the periods with faults, in seconds
	previousEventS float64      // time of the event drawn before, in seconds
	events         []event
}

// generate returns the scenario of a seed. The same site, kinds, profile, seed and length always give the same
// scenario.
func generate(target *site, catalog *faultCatalog, profile string, seed uint64, lengthS float64) scenario {
	profileHash := fnv.New64a()
	profileHash.Write([]byte(target.Name + " " + profile))
	gen := &generator{site: target, faultCatalog: catalog, random: rand.New(rand.NewPCG(seed, profileHash.Sum64())), lengthS: lengthS}
	gen.drawFaultPeriods()
	switch profile {
	case "core":
		gen.addCoreFaults(seed)
	case "changes":
		gen.addConfigChanges(seed)
	case "cold":
		gen.addColdStarts()
	case "halves":
		gen.addPartitions()
	case "answers":
		gen.addEvents(seed, 5+gen.random.IntN(5), 14+gen.random.IntN(16), func(candidate faultKind) bool {
			return candidate.target == targetServers || candidate.target == targetTraffic || linkFaultKinds.MatchString(candidate.name)
		})
		gen.addOperatorActions(2 + gen.random.IntN(6))
	default:
		gen.addEvents(seed, 6+gen.random.IntN(6), 12+gen.random.IntN(20), func(faultKind) bool { return true })
		gen.addOperatorActions(2 + gen.random.IntN(10))
		if gen.random.IntN(3) == 0 {
			gen.addReplacements()
		}
	}
	gen.limitReplacements()
	slices.SortStableFunc(gen.events, func(a, b event) int { return cmp.Compare(a.at(), b.at()) })
	result := scenario{comment: fmt.Sprintf("Drawn for %s: profile %s, seed %d, %g s.", target.Name, profile, seed, lengthS),
		header: tomlTable{"name": fmt.Sprintf("%s-%d", profile, seed), "slot": "trouble", "seed": int64(1 + gen.random.IntN(1<<28)), "length_s": lengthS},
		events: gen.events}
	if len(catalog.closings) > 0 && gen.random.IntN(6) > 0 {
		closing := tomlTable{"down_s": gen.uniform(0.5, 2)}
		for key, value := range catalog.closings[gen.random.IntN(len(catalog.closings))] {
			if value != "" {
				closing[key] = value
			}
		}
		result.header["closing"] = closing
	}
	return result
}

// linkFaultKinds matches the kinds that disturb the path between callers and answers.
var linkFaultKinds = regexp.MustCompile(`^(reset_conns|roll_term|node_freeze|node_cut|node_kill|node_slow|hup|zone_cut)$`)

// uniform returns a uniformly distributed number, rounded to hundredths.
func (w *generator) uniform(from, to float64) float64 {
	return math.Round((from+w.random.Float64()*(to-from))*100) / 100
}

// drawFaultPeriods splits the scenario into periods with faults and quiet periods between them. Rules with a time limit
// are checked in quiet periods, where lasting damage from earlier faults shows. One scenario in five has no quiet
// period.
func (w *generator) drawFaultPeriods() {
	periods := 1 + w.random.IntN(max(2, int(w.lengthS/20)))
	if w.random.IntN(5) == 0 {
		w.faultPeriods = [][2]float64{{firstEventS, w.lengthS - endMarginS}}
		return
	}
	periodS := (w.lengthS - firstEventS - endMarginS) / float64(periods)
	for i := range periods {
		from := firstEventS + (float64(i)+0.4*w.random.Float64())*periodS
		w.faultPeriods = append(w.faultPeriods, [2]float64{from, from + (0.1+0.5*w.random.Float64())*periodS})
	}
}

// eventTime returns a time for an event within a period with faults. One time in three it is shortly after the event
// before.
func (w *generator) eventTime() float64 {
	period := w.faultPeriods[w.random.IntN(len(w.faultPeriods))]
	at := w.uniform(period[0], period[1])
	if w.previousEventS > 0 && w.random.IntN(3) == 0 {
		at = w.previousEventS + w.uniform(0, 0.8)
	}
	w.previousEventS = math.Round(min(max(at, firstEventS), w.lengthS-endMarginS)*100) / 100
	return w.previousEventS
}

// faultDuration returns the duration of a fault that begins at the given time: some seconds, or in one case out of six
// longer than any lease.
func (w *generator) faultDuration(at float64) float64 {
	durationS := w.uniform(0.5, 7)
	if w.random.IntN(6) == 0 {
		durationS = w.uniform(12, 25)
	}
	return math.Round(min(durationS, w.lengthS-at)*100) / 100
}

// addEvent draws an event of a kind at the given time, adds it to the scenario, and returns it.
func (w *generator) addEvent(drawn faultKind, at float64) tomlTable {
	fields := tomlTable{"at": at, "kind": drawn.name}
	section := "faults"
	if drawn.planned {
		section = "plan"
	}
	if variant := w.drawVariant(drawn); variant != "" {
		fields["how"] = variant
	}
	hitsCore := drawn.target == targetMachines && w.random.IntN(2) == 0
	switch {
	case drawn.descriptionWords["share"] && hitsCore && drawn.name != "clock_step":
		fields["on"], fields["count"] = "core", int64(1+w.random.IntN(w.Tolerated.Machines+1))
	case drawn.descriptionWords["share"]:
		fields["share"] = w.uniform(0.05, 0.6)
	case strings.Contains(drawn.description, "count routes"):
		fields["count"] = int64(100 + w.random.IntN(1400))
	case drawn.descriptionWords["count"]:
		fields["count"] = int64(1 + w.random.IntN(3))
	}
	if drawn.hasX && (drawn.usualX != 0 || w.random.IntN(3) > 0) {
		usualX := cmp.Or(drawn.usualX, 3)
		fields["x"] = w.uniform(usualX/2, 2*usualX)
		if usualX < 1 {
			fields["x"] = min(1, max(0.01, w.uniform(usualX/2, 2*usualX)))
		}
	}
	if drawn.descriptionWords["gap_s"] {
		fields["gap_s"] = w.uniform(0.1, 1.5)
	}
	if !slices.Contains(instantKinds, drawn.name) {
		fields["for_s"] = w.faultDuration(at)
	}
	if strings.Contains(drawn.description, "a zone") && w.random.IntN(5) > 0 {
		fields["zone"] = w.Zones[w.random.IntN(len(w.Zones))].Name
	}
	if drawn.descriptionWords["to_zone"] {
		fields["to_zone"] = w.Zones[w.random.IntN(len(w.Zones))].Name
	}
	if drawn.target == targetServers && drawn.name != "cold_return" && w.random.IntN(2) == 0 {
		fields["service"] = w.Services[w.random.IntN(len(w.Services))].Name
	}
	w.events = append(w.events, event{section, fields})
	return fields
}

// instantKinds holds the kinds that have no duration, or whose duration follows from their other settings.
var instantKinds = []string{"config_change", "config_race", "bad_config", "big_config", "revoke", "release", "scale_in", "scale_out", "hup",
	"seed_turnover", "replace_core", "roll_term", "reset_conns", "replace_with_reuse"}

// drawVariant draws a variant of a kind, combined at random with the modifiers that apply to many kinds.
func (w *generator) drawVariant(drawn faultKind) string {
	words := strings.Fields(drawn.variants[w.random.IntN(len(drawn.variants))])
	if len(words) == 1 && words[0][0] == '+' {
		base := strings.Fields(drawn.variants[w.random.IntN(len(drawn.variants))])
		if words[0] = words[0][1:]; len(base) > 0 && base[0][0] != '+' {
			words = append(base, words...)
		}
	}
	maybeAdd := func(modifiers []string, oneIn int) {
		if len(modifiers) == 0 || w.random.IntN(oneIn) > 0 {
			return
		}
		if modifier := modifiers[w.random.IntN(len(modifiers))]; !slices.Contains(words, modifier) {
			words = append(words, modifier)
		}
	}
	switch drawn.target {
	case targetMachines:
		if !slices.ContainsFunc(words, func(s string) bool { return slices.Contains(w.machineModifiers, s) }) {
			maybeAdd(w.machineModifiers, 3)
		}
		if strings.Contains(drawn.description, "cut") {
			maybeAdd(w.cutModifiers, 3)
		}
		returnModifiers := slices.Clone(w.returnModifiers)
		if drawn.name != "roll_term" { // the modifier busy applies to roll_term only
			returnModifiers = slices.DeleteFunc(returnModifiers, func(s string) bool { return s == "busy" })
		}
		maybeAdd(returnModifiers, 4)
		maybeAdd(returnModifiers, 4)
	case targetServers:
		maybeAdd(w.faultCatalog.serverModifiers, 4)
		// A service that loses all its workers for good cannot be served, and rules that compare services would break.
		if drawn.name == "replace_with_reuse" || drawn.name == "scale_in" || slices.Contains(words, "gone") {
			words = slices.DeleteFunc(words, func(s string) bool { return s == "all" })
		}
	}
	return strings.Join(words, " ")
}

// addEvents draws events of a few kinds, usually several of each. One kind follows from the seed, so that
// consecutive seeds, as many as there are kinds, cover every kind.
func (w *generator) addEvents(seed uint64, kindCount, eventCount int, accepts func(faultKind) bool) {
	var candidates []faultKind
	for _, candidate := range w.kinds {
		if accepts(candidate) {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return
	}
	picked := []faultKind{candidates[seed%uint64(len(candidates))]}
	for _, i := range w.random.Perm(len(candidates))[:min(kindCount, len(candidates))] {
		picked = append(picked, candidates[i])
	}
	for i := range eventCount {
		candidate := picked[0]
		if i > 0 {
			candidate = picked[w.random.IntN(len(picked))]
		}
		w.addEvent(candidate, w.eventTime())
	}
}

// addCoreFaults draws overlapping faults of the core machines, with configuration changes between them.
func (w *generator) addCoreFaults(seed uint64) {
	w.addEvents(seed, 3+w.random.IntN(4), 6+w.random.IntN(10), func(candidate faultKind) bool {
		return candidate.target == targetMachines || candidate.name == "ack_lost"
	})
	// Faults that hit a share of all machines are directed at the core machines instead.
	for _, ev := range w.events {
		if ev.tomlTable["share"] != nil && ev.kindName() != "clock_step" && !strings.HasPrefix(ev.kindName(), "node_cut") {
			delete(ev.tomlTable, "share")
			ev.tomlTable["on"], ev.tomlTable["count"] = "core", int64(1+w.random.IntN(w.Tolerated.Machines+1))
		}
	}
	w.addReplacements()
	w.addOperatorActions(3 + w.random.IntN(25))
}

// addReplacements draws up to three replacements of core machines, planned or not, early enough to be completed.
func (w *generator) addReplacements() {
	i := slices.IndexFunc(w.kinds, func(candidate faultKind) bool { return candidate.name == "replace_core" })
	if i < 0 {
		return
	}
	for range w.random.IntN(maxReplacements + 1) {
		fields := w.addEvent(w.kinds[i], w.uniform(firstEventS, w.lengthS*0.8))
		delete(fields, "how")
		if w.random.IntN(2) == 0 && slices.Contains(w.kinds[i].variants, "planned") {
			fields["how"] = "planned"
		}
	}
}

// limitReplacements drops all but the first three replacements, because only a few spare machines exist.
func (w *generator) limitReplacements() {
	seen := 0
	w.events = slices.DeleteFunc(w.events, func(ev event) bool {
		if ev.kindName() == "replace_core" {
			seen++
		}
		return ev.kindName() == "replace_core" && seen > maxReplacements
	})
}

// addOperatorActions draws actions of the operator, spread over the whole scenario.
func (w *generator) addOperatorActions(count int) {
	var candidates []faultKind
	for _, candidate := range w.kinds {
		if candidate.target == targetOperator && candidate.name != "ack_lost" && candidate.name != "big_config" {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return
	}
	for range count {
		candidate := candidates[w.random.IntN(len(candidates))]
		if i := slices.IndexFunc(candidates, func(candidate faultKind) bool { return candidate.name == "config_change" }); i >= 0 && w.random.IntN(2) == 0 {
			candidate = candidates[i]
		}
		w.addEvent(candidate, w.uniform(firstEventS, w.lengthS-endMarginS))
	}
}

// addConfigChanges draws hundreds of configuration changes in quick succession, with a few faults of machines.
func (w *generator) addConfigChanges(seed uint64) {
	w.addEvents(seed, 2, 3+w.random.IntN(4), func(candidate faultKind) bool { return candidate.target == targetOperator })
	changeIndex := slices.IndexFunc(w.kinds, func(candidate faultKind) bool { return candidate.name == "config_change" })
	eventCount := 40 + w.random.IntN(360)
	for len(w.events) < eventCount && changeIndex >= 0 {
		at, meanGapS := w.uniform(firstEventS, w.lengthS-endMarginS), w.uniform(0.02, 0.6)
		for range 10 + w.random.IntN(90) {
			if at = math.Round((at+w.random.ExpFloat64()*meanGapS)*100) / 100; at > w.lengthS-endMarginS {
				break
			}
			candidate := w.kinds[changeIndex]
			if w.random.IntN(6) == 0 {
				candidate = w.kinds[w.random.IntN(len(w.kinds))]
				if candidate.target != targetOperator || candidate.name == "big_config" || candidate.name == "ack_lost" {
					continue
				}
			}
			w.addEvent(candidate, at)
		}
	}
	w.addEvents(seed, 2+w.random.IntN(3), 2+w.random.IntN(5), func(candidate faultKind) bool { return candidate.target == targetMachines })
	if w.random.IntN(4) == 0 {
		w.addReplacements()
	}
}
