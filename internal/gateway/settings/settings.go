// Package settings reads the JSON settings object of a gatekeeper. The simulator's first
// message and the platform's configuration contain the same object.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"foxwood/policy"
)

// document mirrors the settings object. Other keys are ignored. Keys that end in -us are
// in microseconds.
type document struct {
	Areas   []string `json:"areas"`
	Classes []struct {
		Name      string  `json:"name"`
		Deadline  int64   `json:"deadline-us"`
		Objective int64   `json:"objective-us"`
		Window    int64   `json:"window-us"`
		Group     string  `json:"group"`
		Repeat    string  `json:"repeat"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late-worth"`
	} `json:"classes"`
	Info struct {
		CountLimit int64   `json:"count-limit-us"`
		Largest    float64 `json:"largest"`
		Settles    bool    `json:"settles"`
		Counter    bool    `json:"shared-counter"`
	} `json:"family-info"`
	Limits struct {
		Cancelling  bool  `json:"cancelling"`
		ConnIdle    int64 `json:"conn-idle-us"`
		ConnectMost int64 `json:"connect-timeout-us"`
		MaxAttempts int   `json:"max-attempts"`
		RetryAfter  bool  `json:"retry-after"`
	} `json:"limits"`
	Locality    int `json:"locality"`
	Obligations struct {
		FallMultiple  float64 `json:"fall-multiple"`
		Fall          int64   `json:"fall-us"`
		StartCapacity float64 `json:"start-capacity"`
		WarmAfter     int64   `json:"warm-after-us"`
	} `json:"obligations"`
	Report struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	SelfIndex int `json:"self-index"`
	Siblings  int `json:"siblings"`
	Tariffs   struct {
		CrossZone float64 `json:"cross-zone"`
	} `json:"tariffs"`
	Tick  int64 `json:"tick-us"`
	Plans []struct {
		Name        string  `json:"name"`
		Burst       float64 `json:"burst"`
		CapSlack    float64 `json:"cap-slack"`
		CeilingRate float64 `json:"ceiling-rate"`
		Concurrency int     `json:"concurrency"`
		HardBurst   float64 `json:"hard-burst"`
		OverrunCost float64 `json:"overrun-cost"`
		Pays        float64 `json:"pays"`
		Refill      float64 `json:"refill"`
	} `json:"tiers-of-service"`
	Weights string `json:"weights"`
}

// Names holds the settings that the decision module does not need: the names of classes,
// plans and zones, and the limits of connections to workers.
type Names struct {
	Classes, Plans, Zones []string      // in the order of the decision module's numbers
	IdleTimeout           policy.Micros // time after which workers close idle connections
	ConnectTimeout        policy.Micros // timeout of setting up a connection

	UnknownValues []string // unknown values in the terms of classes, which Check reports
}

// Defaults in microseconds for settings without limits of connections.
const (
	defaultConnIdle       = policy.Micros(10e6)
	defaultConnectTimeout = policy.Micros(250e3)
)

// Parse decodes a settings object. It does not check the values, see Check.
func Parse(text []byte) (policy.Settings, Names, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return policy.Settings{}, Names{}, fmt.Errorf("settings: malformed JSON: %w", err)
	}
	names := Names{Zones: doc.Areas, IdleTimeout: doc.Limits.ConnIdle, ConnectTimeout: doc.Limits.ConnectMost}
	if names.IdleTimeout <= 0 {
		names.IdleTimeout = defaultConnIdle
	}
	if names.ConnectTimeout <= 0 {
		names.ConnectTimeout = defaultConnectTimeout
	}
	s := policy.Settings{
		Index: doc.SelfIndex, GatewayCount: doc.Siblings, Zone: doc.Locality, ClockTick: doc.Tick,
		UseWeights:     doc.Weights != "" && doc.Weights != "off",
		MaxAttempts:    doc.Limits.MaxAttempts,
		CanCancel:      doc.Limits.Cancelling,
		SendRetryAfter: doc.Limits.RetryAfter,
		HasCounter:     doc.Info.Counter, CounterTimeout: doc.Info.CountLimit,
		SettlesUnits: doc.Info.Settles, MaxUnits: doc.Info.Largest,
		ColdCapacity: doc.Obligations.StartCapacity, OverloadMultiple: doc.Obligations.FallMultiple,
		ColdDuration: doc.Obligations.WarmAfter, OverloadWindow: doc.Obligations.Fall,
		CrossZonePrice: doc.Tariffs.CrossZone,
	}
	if doc.Report.Via == "inline" {
		s.LoadReportFields = doc.Report.Fields
	}
	for _, c := range doc.Classes {
		class := policy.Class{
			LatencyTarget: c.Objective, Deadline: c.Deadline, RepeatWindow: c.Window,
			Value: c.Worth, LateValue: c.LateWorth, Repeat: policy.RepeatUnsafe, Dedup: Groups[c.Group],
			MaxAttempts: doc.Limits.MaxAttempts,
		}
		if repeat, ok := repeats[c.Repeat]; ok { // an unknown value stays Unsafe, so that requests are never repeated
			class.Repeat = repeat
		} else {
			names.UnknownValues = append(names.UnknownValues, fmt.Sprintf(`class %q: repeat is %q, want "idempotent", "deduplicated" or "at_most_once"`, c.Name, c.Repeat))
		}
		if _, ok := Groups[c.Group]; !ok {
			names.UnknownValues = append(names.UnknownValues, fmt.Sprintf(`class %q: group is %q, want "all", "zone" or "cell"`, c.Name, c.Group))
		}
		s.Classes = append(s.Classes, class)
		names.Classes = append(names.Classes, c.Name)
	}
	for _, plan := range doc.Plans {
		names.Plans = append(names.Plans, plan.Name)
		s.Plans = append(s.Plans, policy.Plan{
			Rate: plan.Refill, Burst: plan.Burst, MaxInFlight: plan.Concurrency,
			CeilingRate: plan.CeilingRate, CeilingBurst: plan.HardBurst, CeilingTolerance: plan.CapSlack,
			Price: plan.Pays, OverrunCost: plan.OverrunCost,
		})
	}
	return s, names, nil
}

// Check returns an error with all faults in the terms of classes, or nil if there are none.
// Settings that fail Check are not accepted as a replacement of a running gatekeeper's settings.
func Check(s policy.Settings, n Names) error {
	var faults []error
	fault := func(format string, a ...any) { faults = append(faults, fmt.Errorf("settings: "+format, a...)) }
	for _, word := range n.UnknownValues {
		fault("%s", word)
	}
	if len(s.Classes) == 0 {
		fault("got no classes, want at least one")
	}
	if s.MaxAttempts <= 0 {
		fault("max-attempts is %d, want more than 0", s.MaxAttempts)
	}
	defined := map[string]bool{}
	for i, c := range s.Classes {
		name := n.Classes[i]
		switch {
		case name == "":
			fault("class %d has no name", i+1)
			continue
		case defined[name]:
			fault("class %q is defined twice", name)
		}
		defined[name] = true
		if c.Deadline <= 0 {
			fault("class %q: deadline-us is %d, want more than 0", name, c.Deadline)
		}
		if c.LatencyTarget <= 0 {
			fault("class %q: objective-us is %d, want more than 0", name, c.LatencyTarget)
		}
		if c.Value < 0 || c.LateValue < 0 {
			fault("class %q: worth is %g and late-worth %g, want at least 0", name, c.Value, c.LateValue)
		}
		if c.Repeat == policy.RepeatKeyed && c.RepeatWindow <= 0 {
			fault("class %q: window-us is %d, want more than 0", name, c.RepeatWindow)
		}
	}
	return errors.Join(faults...)
}

var (
	// repeats maps the values of a class's repeat setting.
	repeats = map[string]policy.Repeatability{"idempotent": policy.RepeatSafe, "deduplicated": policy.RepeatKeyed, "at_most_once": policy.RepeatUnsafe}
	// Groups maps the values of a class's group setting, which says among which workers
	// repeated requests are dropped. Operators' configuration files use the same values.
	Groups = map[string]policy.DedupScope{"": policy.DedupFleet, "all": policy.DedupFleet, "zone": policy.DedupZone, "cell": policy.DedupCell}
)

// KeepClassIndexes reorders the classes of new settings so that each class keeps its index in the
// current table, which names gives the class names of: open requests, counts and learned
// latencies refer to classes by index. A class that is no longer defined keeps its entry and
// its terms under an empty name. A new class reuses such an entry only if the table has at
// least reuseThreshold entries; otherwise it is appended.
func KeepClassIndexes(s *policy.Settings, n *Names, inForce []policy.Class, names []string) {
	classes, placedNames := slices.Clone(inForce), make([]string, len(names))
	var added []int
	for i, name := range n.Classes {
		if index := slices.Index(names, name); index >= 0 {
			classes[index], placedNames[index] = s.Classes[i], name
		} else {
			added = append(added, i)
		}
	}
	for _, i := range added {
		index := -1
		if len(placedNames) >= reuseThreshold {
			index = slices.Index(placedNames, "")
		}
		if index < 0 {
			index = len(placedNames)
			classes, placedNames = append(classes, policy.Class{}), append(placedNames, "")
		}
		classes[index], placedNames[index] = s.Classes[i], n.Classes[i]
	}
	s.Classes, n.Classes = classes, placedNames
}

// reuseThreshold is the size of a class table from which on entries of removed classes are reused.
const reuseThreshold = 16
