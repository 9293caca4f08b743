package forecast

import (
	"math"
	"slices"
)

const (
	returnApartS = 5.8 // seconds between two cold returns
	returnBurstX = 2.0 // times the traffic around each
	coldTrafficX = 1.2 // times the traffic over the whole day
	burstEarlyS  = 0.3 // before the return
	burstS       = 2.5
)

// aroundReturn are the troubles that may fall together with a cold return. One that the bench does not have at a site
// is left out.
var aroundReturn = []table{
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

// coldStarts has zones of workers return cold again and again, by a loss or an evacuation that is taken back, while
// clients press and gatekeepers and control machines come and go.
func (w *sky) coldStarts() {
	w.place("burst", table{"at": earliestS, "x": coldTrafficX, "for_s": w.length - earliestS})
	for from := earliestS; from < w.length-returnApartS; from += returnApartS {
		begin := from + w.between(0, 1)
		away := w.between(0.5, 3)
		back := begin + away
		zone := w.Zones[w.rnd.IntN(len(w.Zones))].Name
		if w.rnd.IntN(3) == 0 {
			w.place("evacuate", table{"at": begin, "for_s": away, "zone": zone})
		} else {
			how := []string{"", "dark"}[w.rnd.IntN(2)]
			w.place("cold_return", table{"at": begin, "for_s": away, "zone": zone, "how": how})
		}
		w.place("burst", table{"at": back - burstEarlyS, "x": returnBurstX, "for_s": burstS})
		w.someOf(aroundReturn, w.rnd.IntN(3), 5, func() float64 { return back + w.between(-1, 1) })
	}
}

// place adds an entry of a kind that the bench has.
func (w *sky) place(name string, t table) {
	i := slices.IndexFunc(w.list, func(one kind) bool { return one.name == name })
	if i < 0 {
		return
	}
	list := "faults"
	if w.list[i].plan {
		list = "plan"
	}
	t["kind"] = name
	t["at"] = math.Round(min(max(t["at"].(float64), earliestS), w.length-lastS)*100) / 100
	if t["how"] == "" {
		delete(t, "how")
	}
	if slices.Contains(instant, name) {
		delete(t, "for_s")
	} else if length, ok := t["for_s"].(float64); ok {
		t["for_s"] = math.Round(min(length, w.length-t["at"].(float64))*100) / 100
	}
	w.entries = append(w.entries, entry{list, t})
}
