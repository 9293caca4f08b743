// Package soak plays a deployment of the whole system as real processes over loopback addresses and
// judges what its clients saw. Everything around the system is a stand-in of this package: the platform
// with its list of workers, the workers, the clients and the operator. A scenario is drawn from a seed:
// signals, restarts and changes of configuration come in series and overlap, while clients go on using
// the connections they have until the other end closes them or the process is gone.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Size is how large a deployment is.
type Size struct {
	Zones       int     // of two regions by turns
	Gatekeepers int     // in all zones together
	Cores       int     // machines with a registry and a configuration store
	Workers     int     // of all services together
	Tenants     int     // each with a quota of its own
	RatePerS    float64 // requests of all clients, before any retry
}

// Action is one kind of trouble or planned work.
type Action string

// The actions. Restarts send SIGTERM and start the process again once it has ended; kills send SIGKILL.
const (
	RestartGatekeepers Action = "restart gatekeepers"
	KillGatekeepers    Action = "kill gatekeepers"
	FreezeGatekeepers  Action = "freeze gatekeepers"
	ReloadGatekeepers  Action = "reload gatekeepers"
	RestartCores       Action = "restart core machines"
	KillCores          Action = "kill core machines"
	FreezeCores        Action = "freeze core machines"
	KillAllCores       Action = "kill all core machines"
	KillAll            Action = "kill all processes"
	ChangeRoutes       Action = "change configuration"
	EvacuateZone       Action = "evacuate a zone"
	CloseWorkers       Action = "close workers"
	CrashWorkers       Action = "crash workers"
	SlowWorkers        Action = "slow workers"
)

// Step is one action of a scenario: so often, so far apart, each lasting so long where it has an end.
type Step struct {
	At     time.Duration
	Action Action
	Count  int
	Gap    time.Duration
	For    time.Duration
}

func (s Step) String() string {
	return fmt.Sprintf("%5.1f s  %s, %d, %.1f s apart, for %.1f s", s.At.Seconds(), s.Action, s.Count, s.Gap.Seconds(), s.For.Seconds())
}

// ends is when the last of a step's actions is over.
func (s Step) ends() time.Duration { return s.At + time.Duration(s.Count)*s.Gap + s.For }

// Scenario is a deployment with what happens to it.
type Scenario struct {
	Seed  uint64
	Size  Size
	Warm  time.Duration // traffic before the first step
	Calm  time.Duration // and behind the last one
	Steps []Step
}

// troubled is when the last step is over.
func (s *Scenario) troubled() time.Duration {
	last := s.Warm
	for _, step := range s.Steps {
		last = max(last, step.ends())
	}
	return last
}

// Length is how long clients send requests.
func (s *Scenario) Length() time.Duration { return s.troubled() + s.Calm }

func (s *Scenario) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d gatekeepers, %d core machines, %d zones, %d workers, %d tenants, %.0f requests a second, %.0f s\n", s.Seed,
		s.Size.Gatekeepers, s.Size.Cores, s.Size.Zones, s.Size.Workers, s.Size.Tenants, s.Size.RatePerS, s.Length().Seconds())
	for _, step := range s.Steps {
		fmt.Fprintf(&text, "  %s\n", step)
	}
	return text.String()
}

// Draw makes a scenario of so many steps from a seed.
func Draw(seed uint64, size Size, steps int) *Scenario {
	r := rand.New(rand.NewPCG(seed, 0x50a1))
	s := &Scenario{Seed: seed, Size: size, Warm: 6 * time.Second, Calm: 20 * time.Second}
	at := s.Warm
	for range steps {
		step := drawStep(r, size)
		step.At = at
		s.Steps = append(s.Steps, step)
		at += time.Duration(r.Float64() * float64(4*time.Second)) // most overlap with the one before
	}
	return s
}

// Rolling restarts all gatekeepers one after the other, so often and so far apart.
func Rolling(seed uint64, size Size, rounds int, gap time.Duration) *Scenario {
	s := &Scenario{Seed: seed, Size: size, Warm: 10 * time.Second, Calm: 20 * time.Second}
	at := s.Warm
	for range rounds {
		step := Step{At: at, Action: RestartGatekeepers, Count: size.Gatekeepers, Gap: gap}
		s.Steps = append(s.Steps, step)
		at = step.ends()
	}
	return s
}

// weights is how often an action is drawn.
var weights = []struct {
	action Action
	weight int
}{
	{RestartGatekeepers, 5}, {KillGatekeepers, 2}, {FreezeGatekeepers, 2}, {ReloadGatekeepers, 2}, {RestartCores, 4}, {KillCores, 2},
	{FreezeCores, 1}, {KillAllCores, 1}, {KillAll, 1}, {ChangeRoutes, 4}, {EvacuateZone, 1}, {CloseWorkers, 2}, {CrashWorkers, 1}, {SlowWorkers, 1},
}

func drawAction(r *rand.Rand) Action {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	at := r.IntN(sum)
	for _, w := range weights {
		if at -= w.weight; at < 0 {
			return w.action
		}
	}
	return RestartGatekeepers
}

// drawStep draws what a step does. Core machines come one after the other: a series of them never takes
// more than a minority at once.
func drawStep(r *rand.Rand, size Size) Step {
	seconds := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*r.Float64()) * float64(time.Second))
	}
	part := func(of int, low, high float64) int { return max(1, int(float64(of)*(low+(high-low)*r.Float64()))) }
	s := Step{Action: drawAction(r), Count: 1}
	switch s.Action {
	case RestartGatekeepers, ReloadGatekeepers:
		s.Count, s.Gap = part(size.Gatekeepers, 0.1, 0.5), seconds(0, 0.8)
	case KillGatekeepers:
		s.Count = part(size.Gatekeepers, 0.05, 0.4)
	case FreezeGatekeepers:
		s.Count, s.For = part(size.Gatekeepers, 0.05, 0.3), seconds(0.3, 4)
	case RestartCores:
		s.Count, s.Gap = part(size.Cores, 0.2, 1), seconds(2.5, 4)
	case KillCores:
		s.Count, s.Gap = 1+r.IntN(max(size.Cores/3, 1)), seconds(1, 3)
	case FreezeCores:
		s.For = seconds(0.3, 3)
	case ChangeRoutes:
		s.Count, s.Gap = 1+r.IntN(8), seconds(0.1, 1)
	case EvacuateZone:
		s.For = seconds(2, 6)
	case CloseWorkers:
		s.Count, s.Gap = part(size.Workers, 0.02, 0.15), seconds(0, 0.2)
	case CrashWorkers, SlowWorkers:
		s.Count, s.For = part(size.Workers, 0.02, 0.15), seconds(2, 6)
	}
	s.Gap = min(s.Gap, 12*time.Second/time.Duration(s.Count))
	return s
}
