package faultgen

import (
	"math"
	"slices"
)

const (
	returnIntervalS   = 5.8 // time between two cold returns
	returnBurstFactor = 2.0 // factor of the traffic around each return
	coldTrafficFactor = 1.2 // factor of the traffic over the whole scenario
	burstLeadS        = 0.3 // start of the burst before the return
	burstDurationS    = 2.5 // duration of the burst
)

// faultsAroundReturn holds the faults that may coincide with a cold return. Kinds that the simulator doesn't offer at a
// site are left out.
var faultsAroundReturn = []tomlTable{
	{"kind": "core_cut", "count": int64(1), "how": "reader"},
	{"kind": "core_cut", "count": int64(1), "how": "reader"},
	{"kind": "core_cut", "count": int64(1), "how": "near"},
	{"kind": "core_cut", "count": int64(1), "how": "leader reset"},
	{"kind": "core_cut", "count": int64(1), "how": "one_way"},
	{"kind": "node_freeze", "share": 0.2},
	{"kind": "node_freeze", "on": "core", "count": int64(1), "how": "reader"},
	{"kind": "node_kill", "share": 0.2},
	{"kind": "node_kill", "on": "core", "count": int64(1), "how": "leader"},
	{"kind": "node_cut", "share": 0.3},
	{"kind": "node_cut", "share": 0.3, "how": "all"},
	{"kind": "herd_kill", "share": 0.4},
	{"kind": "roll_term", "share": 0.4, "x": 1.0, "gap_s": 0.4},
	{"kind": "node_slow", "share": 0.2, "x": 5.0},
	{"kind": "reset_conns", "share": 0.3, "x": 0.5},
	{"kind": "zone_loss"},
}

// addColdStarts repeatedly makes the workers of a zone return cold, after a crash or after an evacuation that is
// undone, while traffic is raised and proxies and core machines fail.
func (w *generator) addColdStarts() {
	w.addFixedEvent("burst", tomlTable{"at": firstEventS, "x": coldTrafficFactor, "for_s": w.lengthS - firstEventS})
	for intervalStart := firstEventS; intervalStart < w.lengthS-returnIntervalS; intervalStart += returnIntervalS {
		begin := intervalStart + w.uniform(0, 1)
		outageS := w.uniform(0.5, 3)
		returnAt := begin + outageS
		zone := w.Zones[w.random.IntN(len(w.Zones))].Name
		if w.random.IntN(3) == 0 {
			w.addFixedEvent("evacuate", tomlTable{"at": begin, "for_s": outageS, "zone": zone})
		} else {
			variant := []string{"", "dark"}[w.random.IntN(2)]
			w.addFixedEvent("cold_return", tomlTable{"at": begin, "for_s": outageS, "zone": zone, "how": variant})
		}
		w.addFixedEvent("burst", tomlTable{"at": returnAt - burstLeadS, "x": returnBurstFactor, "for_s": burstDurationS})
		w.addSomeOf(faultsAroundReturn, w.random.IntN(3), 5, func() float64 { return returnAt + w.uniform(-1, 1) })
	}
}

// addFixedEvent adds a given event if the simulator offers its kind. It moves the event into the allowed times and
// shortens it to the end of the scenario.
func (w *generator) addFixedEvent(name string, fields tomlTable) {
	i := slices.IndexFunc(w.kinds, func(candidate faultKind) bool { return candidate.name == name })
	if i < 0 {
		return
	}
	section := "faults"
	if w.kinds[i].planned {
		section = "plan"
	}
	fields["kind"] = name
	fields["at"] = math.Round(min(max(fields["at"].(float64), firstEventS), w.lengthS-endMarginS)*100) / 100
	if fields["how"] == "" {
		delete(fields, "how")
	}
	if slices.Contains(instantKinds, name) {
		delete(fields, "for_s")
	} else if durationS, ok := fields["for_s"].(float64); ok {
		fields["for_s"] = math.Round(min(durationS, w.lengthS-fields["at"].(float64))*100) / 100
	}
	w.events = append(w.events, event{section, fields})
}
