// Package settings reads the settings object that a gatekeeper is told at its
// start: the simulator's first message and the platform's configuration hold the
// same one.
package settings

import (
	"encoding/json"
	"fmt"

	"foxwood/policy"
)

// profile mirrors the settings text; keys it does not name are ignored.
type profile struct {
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
	Clients struct {
		MarksRetry bool `json:"marks-retry"`
	} `json:"clients"`
	Info struct {
		CountLimit  int64   `json:"count-limit-us"`
		Largest     float64 `json:"largest"`
		MeterPeriod int64   `json:"metering-us"`
		Settles     bool    `json:"settles"`
		Counter     bool    `json:"shared-counter"`
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

// Names is what the module does not need to know: how things are called on a wire,
// and how its connections are kept.
type Names struct {
	Classes, Plans, Zones []string
	ConnIdle, ConnectMost policy.Micros
}

// What holds where an operator's settings say nothing of connections.
const (
	defaultIdle    = policy.Micros(10e6)
	defaultConnect = policy.Micros(250e3)
)

// Parse reads the text of a settings object.
func Parse(text []byte) (policy.Settings, Names, error) {
	var p profile
	if err := json.Unmarshal(text, &p); err != nil {
		return policy.Settings{}, Names{}, fmt.Errorf("settings: %w", err)
	}
	names := Names{Zones: p.Areas, ConnIdle: p.Limits.ConnIdle, ConnectMost: p.Limits.ConnectMost}
	if names.ConnIdle <= 0 {
		names.ConnIdle = defaultIdle
	}
	if names.ConnectMost <= 0 {
		names.ConnectMost = defaultConnect
	}
	s := policy.Settings{
		Self: p.SelfIndex, Gateways: p.Siblings, Zone: p.Locality, Tick: p.Tick,
		Weights:      p.Weights != "" && p.Weights != "off",
		MaxAttempts:  p.Limits.MaxAttempts,
		Cancel:       p.Limits.Cancelling,
		MarksRepeats: p.Clients.MarksRetry,
		RetryAfter:   p.Limits.RetryAfter,
		Counter:      p.Info.Counter, CounterTimeout: p.Info.CountLimit,
		MeterPeriod: p.Info.MeterPeriod,
		Settles:     p.Info.Settles, Largest: p.Info.Largest,
		ColdShare: p.Obligations.StartCapacity, FallMultiple: p.Obligations.FallMultiple,
		ColdFor: p.Obligations.WarmAfter, FallWindow: p.Obligations.Fall,
		CrossZonePrice: p.Tariffs.CrossZone,
	}
	if p.Report.Via == "inline" {
		s.InlineLoad = p.Report.Fields
	}
	for _, c := range p.Classes {
		k := policy.Class{
			Aim: c.Objective, Deadline: c.Deadline, Window: c.Window,
			Worth: c.Worth, LateWorth: c.LateWorth, Repeat: policy.Unsafe,
		}
		switch c.Repeat {
		case "idempotent":
			k.Repeat = policy.Safe
		case "deduplicated":
			k.Repeat = policy.Keyed
		}
		switch c.Group {
		case "zone":
			k.Group = policy.GroupZone
		case "cell":
			k.Group = policy.GroupCell
		}
		s.Classes = append(s.Classes, k)
		names.Classes = append(names.Classes, c.Name)
	}
	for _, t := range p.Plans {
		names.Plans = append(names.Plans, t.Name)
		s.Plans = append(s.Plans, policy.Plan{
			Rate: t.Refill, Burst: t.Burst, Open: t.Concurrency,
			CeilingRate: t.CeilingRate, CeilingBurst: t.HardBurst, CeilingSlack: t.CapSlack,
			Price: t.Pays, OverCost: t.OverrunCost,
		})
	}
	return s, names, nil
}
