// Package soak runs a deployment of the whole system as real processes on loopback addresses, injects
// faults and planned maintenance, and checks what the clients observed.
//
// The system under test consists of gatekeepers (the proxies that clients connect to) and core machines
// (each with a registry and a configuration store). This package simulates everything around it: the
// platform with its list of workers, the workers, the clients and the operator. A scenario is generated
// from a seed. Signals, restarts and configuration changes come in series that overlap, while clients keep
// using their open connections until the other end closes them or the process exits.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Size describes how large a deployment is.
type Size struct {
	Zones       int     // number of zones, assigned to two regions alternately
	Gatekeepers int     // in all zones together
	Cores       int     // machines that each run a registry and a configuration store
	Workers     int     // of all services together
	Tenants     int     // each with its own quota
	RatePerS    float64 // requests per second of all clients, not counting retries
}

// Action is a kind of fault or planned maintenance.
type Action string

// The actions. A restart sends SIGTERM and starts the process again after it has exited; a kill sends SIGKILL, and a
// freeze sends SIGSTOP and later SIGCONT.
const (
	RestartGatekeepers  Action = "restart gatekeepers"
	KillGatekeepers     Action = "kill gatekeepers"
	FreezeGatekeepers   Action = "freeze gatekeepers"
	ReloadGatekeepers   Action = "reload gatekeepers"
	RestartCores        Action = "restart core machines"
	KillCores           Action = "kill core machines"
	FreezeCores         Action = "freeze core machines"
	KillAllCores        Action = "kill all core machines"
	KillAll             Action = "kill all processes"
	ChangeConfiguration Action = "change configuration"
	EvacuateZone        Action = "evacuate a zone"
	CloseWorkers        Action = "close workers"
	CrashWorkers        Action = "crash workers"
	SlowWorkers         Action = "slow workers"
	BreakAnswers        Action = "break off answers"
)

// Step is an action of a scenario, applied to one or more targets in sequence.
type Step struct {
	Start    time.Duration // from the start of the traffic
	Action   Action
	Count    int           // how often the action is applied
	Interval time.Duration // between two applications
	Duration time.Duration // how long each one lasts; 0 for actions without a duration
}

// String returns the line that describes the step in reports.
func (s Step) String() string {
	return fmt.Sprintf("%5.1f s  %s, %d, %.1f s apart, for %.1f s", s.Start.Seconds(), s.Action, s.Count, s.Interval.Seconds(), s.Duration.Seconds())
}

// endsAt returns when the last application of the step is over, from the start of the traffic.
func (s Step) endsAt() time.Duration { return s.Start + time.Duration(s.Count)*s.Interval + s.Duration }

// Scenario is a deployment together with the steps that are applied to it.
type Scenario struct {
	Seed     uint64
	Size     Size
	WarmUp   time.Duration // time with traffic before the first step
	CoolDown time.Duration // time with traffic after the last step
	Steps    []Step
	// VariedAnswers makes some answers long, some without a length, and some clients speak HTTP/1.0.
	VariedAnswers bool
}

// troubleEnd returns when the last step is over, from the start of the traffic.
func (s *Scenario) troubleEnd() time.Duration {
	last := s.WarmUp
	for _, step := range s.Steps {
		last = max(last, step.endsAt())
	}
	return last
}

// Length returns how long clients send requests.
func (s *Scenario) Length() time.Duration { return s.troubleEnd() + s.CoolDown }

// String returns the deployment and all steps in the form used in reports.
func (s *Scenario) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d gatekeepers, %d core machines, %d zones, %d workers, %d tenants, %.0f requests a second, %.0f s\n", s.Seed,
		s.Size.Gatekeepers, s.Size.Cores, s.Size.Zones, s.Size.Workers, s.Size.Tenants, s.Size.RatePerS, s.Length().Seconds())
	for _, step := range s.Steps {
		fmt.Fprintf(&text, "  %s\n", step)
	}
	return text.String()
}

// RandomScenario generates a scenario with the given number of steps from a seed. The same arguments give the same scenario.
func RandomScenario(seed uint64, size Size, steps int) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x50a1))
	scenario := &Scenario{Seed: seed, Size: size, WarmUp: 6 * time.Second, CoolDown: 20 * time.Second}
	nextStart := scenario.WarmUp
	for range steps {
		step := drawStep(rng, size)
		step.Start = nextStart
		scenario.Steps = append(scenario.Steps, step)
		nextStart += time.Duration(rng.Float64() * float64(4*time.Second)) // most steps overlap with the one before
	}
	return scenario
}

const (
	brokenAnswersShare = 0.6 // of the workers break off answers in a step, at most
	brokenAnswersSteps = 3
)

// WithBrokenAnswers adds steps in which workers break off answers while the other steps go on. An answer without a length
// ends by an orderly close in all others.
//
// The end of a connection must never be taken for the end of an answer that was broken off; neither by a gatekeeper nor,
// when that gatekeeper ends, by its clients.
func (s *Scenario) WithBrokenAnswers() *Scenario {
	rng := rand.New(rand.NewPCG(s.Seed, 0xb0ff))
	length := s.troubleEnd() - s.WarmUp
	for i := range brokenAnswersSteps {
		share := brokenAnswersShare * (0.5 + rng.Float64()/2)
		s.Steps = append(s.Steps, Step{Start: s.WarmUp + time.Duration(i)*length/brokenAnswersSteps, Action: BreakAnswers,
			Count: max(1, int(share*float64(s.Size.Workers))), Duration: max(length/brokenAnswersSteps, time.Second)})
	}
	s.VariedAnswers = true
	return s
}

// RollingRestartScenario returns a scenario that restarts all gatekeepers one after the other, rounds times, with a gap between
// two restarts.
func RollingRestartScenario(seed uint64, size Size, rounds int, gap time.Duration) *Scenario {
	scenario := &Scenario{Seed: seed, Size: size, WarmUp: 10 * time.Second, CoolDown: 20 * time.Second}
	nextStart := scenario.WarmUp
	for range rounds {
		step := Step{Start: nextStart, Action: RestartGatekeepers, Count: size.Gatekeepers, Interval: gap}
		scenario.Steps = append(scenario.Steps, step)
		nextStart = step.endsAt()
	}
	return scenario
}

// actionWeights are the relative frequencies with which actions are drawn.
var actionWeights = []struct {
	action Action
	weight int
}{
	{RestartGatekeepers, 5}, {KillGatekeepers, 2}, {FreezeGatekeepers, 2}, {ReloadGatekeepers, 2}, {RestartCores, 4}, {KillCores, 2},
	{FreezeCores, 1}, {KillAllCores, 1}, {KillAll, 1}, {ChangeConfiguration, 4}, {EvacuateZone, 1}, {CloseWorkers, 2}, {CrashWorkers, 1}, {SlowWorkers, 1},
}

// drawAction draws an action according to actionWeights.
func drawAction(rng *rand.Rand) Action {
	sum := 0
	for _, w := range actionWeights {
		sum += w.weight
	}
	remaining := rng.IntN(sum)
	for _, w := range actionWeights {
		if remaining -= w.weight; remaining < 0 {
			return w.action
		}
	}
	return RestartGatekeepers
}

// drawStep draws an action with its parameters. Core machines are restarted or killed one after the other, so that a
// single step never stops more than a minority of them at the same time; KillAllCores and KillAll are the exceptions.
func drawStep(rng *rand.Rand, size Size) Step {
	seconds := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*rng.Float64()) * float64(time.Second))
	}
	portion := func(total int, low, high float64) int {
		return max(1, int(float64(total)*(low+(high-low)*rng.Float64())))
	}
	step := Step{Action: drawAction(rng), Count: 1}
	switch step.Action {
	case RestartGatekeepers, ReloadGatekeepers:
		step.Count, step.Interval = portion(size.Gatekeepers, 0.1, 0.5), seconds(0, 0.8)
	case KillGatekeepers:
		step.Count = portion(size.Gatekeepers, 0.05, 0.4)
	case FreezeGatekeepers:
		step.Count, step.Duration = portion(size.Gatekeepers, 0.05, 0.3), seconds(0.3, 4)
	case RestartCores:
		step.Count, step.Interval = portion(size.Cores, 0.2, 1), seconds(2.5, 4)
	case KillCores:
		step.Count, step.Interval = 1+rng.IntN(max(size.Cores/3, 1)), seconds(1, 3)
	case FreezeCores:
		step.Duration = seconds(0.3, 3)
	case ChangeConfiguration:
		step.Count, step.Interval = 1+rng.IntN(8), seconds(0.1, 1)
	case EvacuateZone:
		step.Duration = seconds(2, 6)
	case CloseWorkers:
		step.Count, step.Interval = portion(size.Workers, 0.02, 0.15), seconds(0, 0.2)
	case CrashWorkers, SlowWorkers:
		step.Count, step.Duration = portion(size.Workers, 0.02, 0.15), seconds(2, 6)
	}
	step.Interval = min(step.Interval, 12*time.Second/time.Duration(step.Count))
	return step
}
