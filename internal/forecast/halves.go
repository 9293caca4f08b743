package forecast

const (
	halvesApartS  = 11.0 // seconds between two cuts
	cutShortestS  = 0.8
	cutLongestS   = 5.0
	lossLongestS  = 4.0
	aroundHalvesS = 1.5 // before a cut and after it, within which other troubles fall
)

// halvesHow are the variants of a core that is cut in two.
var halvesHow = []string{"split", "split", "split oldest", "split reset", "split race", "split both", "split drain", "split relieve", "split hard", "split seeds"}

// aroundHalves are the troubles that may fall together with a core that is cut in two.
var aroundHalves = []table{
	{"kind": "core_cut", "count": int64(1), "how": "all race"},
	{"kind": "core_cut", "count": int64(1), "how": "one_way"},
	{"kind": "node_kill", "on": "core", "count": int64(1), "how": "leader race"},
	{"kind": "node_freeze", "on": "core", "count": int64(1), "how": "leader"},
	{"kind": "after_ack_wipe"},
	{"kind": "after_ack_kill", "how": "timed"},
	{"kind": "herd_kill", "on": "core", "count": int64(3)},
	{"kind": "reset_conns", "on": "core", "count": int64(1), "x": 0.5},
	{"kind": "replace_core", "x": 1.0},
	{"kind": "herd_kill", "share": 0.5},
	{"kind": "roll_term", "share": 0.4, "x": 1.0, "gap_s": 0.4},
	{"kind": "node_cut", "share": 0.3},
	{"kind": "disk_slow", "count": int64(1), "x": 20.0},
	{"kind": "srv_crash"},
}

// ordersInHalves are what the operator wants of a core that is cut in two.
var ordersInHalves = []table{
	{"kind": "config_change", "how": "route"},
	{"kind": "config_change", "how": "quota"},
	{"kind": "config_change", "how": "weights"},
	{"kind": "config_race", "count": int64(1), "gap_s": 0.5},
	{"kind": "revoke", "count": int64(1)},
	{"kind": "scale_in", "share": 0.12},
}

// halves has the core cut in two again and again, with orders, evacuations and losses right before, within and after
// each cut.
func (w *sky) halves() {
	for from := earliestS + aroundHalvesS; from < w.length-halvesApartS; from += halvesApartS {
		begin := from + w.between(0, 2)
		length := w.between(cutShortestS, cutLongestS)
		w.place("core_cut", table{"at": begin, "for_s": length, "how": halvesHow[w.rnd.IntN(len(halvesHow))]})
		around := func() float64 { return begin + w.between(-aroundHalvesS, length+aroundHalvesS) }
		if w.rnd.IntN(2) == 0 {
			w.place("evacuate", table{"at": around(), "for_s": w.between(2, 5), "zone": w.Zones[w.rnd.IntN(len(w.Zones))].Name})
		}
		w.someOf(ordersInHalves, 1+w.rnd.IntN(3), lossLongestS, around)
		w.someOf(aroundHalves, w.rnd.IntN(3), lossLongestS, around)
	}
}

// someOf places so many of the troubles of a list, each lasting half a second to so many.
func (w *sky) someOf(list []table, n int, longest float64, at func() float64) {
	for range n {
		trouble := table{"at": at(), "for_s": w.between(0.5, longest)}
		for key, value := range list[w.rnd.IntN(len(list))] {
			trouble[key] = value
		}
		w.place(trouble["kind"].(string), trouble)
	}
}
