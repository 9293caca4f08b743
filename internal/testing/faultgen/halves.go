package faultgen

const (
	partitionIntervalS = 11.0 // time between two partitions
	minPartitionS      = 0.8  // least duration of a partition
	maxPartitionS      = 5.0  // greatest duration of a partition
	maxFaultS          = 4.0  // greatest duration of another event
	partitionMarginS   = 1.5  // time before and after a partition in which other events may begin
)

// partitionVariants holds the variants of a partition that cuts the core machines into two halves.
var partitionVariants = []string{"split", "split", "split oldest", "split reset", "split race", "split both", "split drain", "split relieve", "split hard", "split seeds"}

// faultsAroundPartition holds the faults that may coincide with a partition of the core.
var faultsAroundPartition = []tomlTable{
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

// actionsAroundPartition holds the actions of the operator that may coincide with a partition of the core.
var actionsAroundPartition = []tomlTable{
	{"kind": "config_change", "how": "route"},
	{"kind": "config_change", "how": "quota"},
	{"kind": "config_change", "how": "weights"},
	{"kind": "config_race", "count": int64(1), "gap_s": 0.5},
	{"kind": "revoke", "count": int64(1)},
	{"kind": "scale_in", "share": 0.12},
}

// addPartitions repeatedly cuts the core machines into two halves, with operator actions, evacuations and faults shortly
// before, during and after each partition.
func (w *generator) addPartitions() {
	for intervalStart := firstEventS + partitionMarginS; intervalStart < w.lengthS-partitionIntervalS; intervalStart += partitionIntervalS {
		begin := intervalStart + w.uniform(0, 2)
		partitionS := w.uniform(minPartitionS, maxPartitionS)
		w.addFixedEvent("core_cut", tomlTable{"at": begin, "for_s": partitionS, "how": partitionVariants[w.random.IntN(len(partitionVariants))]})
		timeAround := func() float64 { return begin + w.uniform(-partitionMarginS, partitionS+partitionMarginS) }
		if w.random.IntN(2) == 0 {
			w.addFixedEvent("evacuate", tomlTable{"at": timeAround(), "for_s": w.uniform(2, 5), "zone": w.Zones[w.random.IntN(len(w.Zones))].Name})
		}
		w.addSomeOf(actionsAroundPartition, 1+w.random.IntN(3), maxFaultS, timeAround)
		w.addSomeOf(faultsAroundPartition, w.random.IntN(3), maxFaultS, timeAround)
	}
}

// addSomeOf adds n events drawn from a list, each lasting from half a second to the given number of seconds.
func (w *generator) addSomeOf(templates []tomlTable, n int, maxDurationS float64, at func() float64) {
	for range n {
		fields := tomlTable{"at": at(), "for_s": w.uniform(0.5, maxDurationS)}
		for key, value := range templates[w.random.IntN(len(templates))] {
			fields[key] = value
		}
		w.addFixedEvent(fields["kind"].(string), fields)
	}
}
