package policy

import (
	"fmt"
	"strings"
	"testing"
)

// A model of a leased ceiling, explored exhaustively: two gateways, a counter, and an adversary that picks the next
// event. Time advances by half windows. The ceiling's bucket holds 24 units and refills by 4 per tick. With the
// package's own fractions a window lasts two ticks and leases 4 units, and a gateway's own part holds 6 and refills
// by 1 per tick (docs/design/ceilings.md).
const (
	modelBurst    = 24
	modelRate     = 4
	modelGateways = 2
	modelLease    = (1 - unleasedFraction) * modelBurst / leaseWindows
	modelWindow   = modelBurst / modelRate / leaseWindows // ticks of a window, and of the longest time that a lease is held
	modelOwnBurst = unleasedFraction * modelBurst / modelGateways
	modelOwnRate  = unleasedFraction * modelRate / modelGateways
)

// modelState is the state of the model between two events.
type modelState struct {
	bucket int8                // true content of the ceiling's bucket
	phase  int8                // tick within the window
	leased [modelGateways]int8 // added in the window; on both sides alike unless the counter is split
	own    [modelGateways]int8
	leases [modelGateways][modelWindow + 1]int8 // leases not sent yet, by their age in ticks
}

// modelFault is a fault built into the model.
type modelFault int

const (
	noFault          modelFault = iota
	fullAfterRestart            // a restarted gateway's own part is full
	leaseKept                   // a lease is kept past its window
	leaseTwice                  // a window leases twice as much
	splitCounter                // each gateway has a counter of its own
	replacedCounter             // an empty counter may replace the counter at any time
	modelFaultCount
)

// modelEvent is one possible next event and the state it leads to.
type modelEvent struct {
	name  string
	state modelState
}

// next returns all possible events.
func (s modelState) next(fault modelFault) (events []modelEvent) {
	lease := int8(modelLease)
	if fault == leaseTwice {
		lease *= 2
	}
	tick := s
	tick.bucket = min(s.bucket+modelRate, modelBurst)
	if tick.phase = (s.phase + 1) % modelWindow; tick.phase == 0 {
		tick.leased = [modelGateways]int8{}
	}
	for i := range modelGateways {
		tick.own[i] = min(s.own[i]+modelOwnRate, modelOwnBurst)
		leases := s.leases[i]
		tick.leases[i] = [modelWindow + 1]int8{}
		copy(tick.leases[i][1:], leases[:])
		if fault == leaseKept {
			tick.leases[i][modelWindow] += leases[modelWindow]
		}
	}
	events = append(events, modelEvent{"a tick", tick})
	for i := range modelGateways {
		add := func(name string, state modelState) {
			events = append(events, modelEvent{fmt.Sprintf("%d %s", i, name), state})
		}
		own := s
		own.bucket, own.own[i] = s.bucket-s.own[i], 0
		add("sends its own part", own)
		leased, lost := s, s
		units := max(lease-s.leased[i], 0)
		for side := range modelGateways {
			if side == i || fault != splitCounter {
				leased.leased[side] += units
			}
		}
		lost.leased = leased.leased
		leased.leases[i][0] += units
		add("leases the rest of the window", leased)
		add("leases it and hears nothing", lost)
		send := s
		for _, n := range s.leases[i] {
			send.bucket -= n
		}
		send.leases[i] = [modelWindow + 1]int8{}
		add("sends what it leased", send)
		died := s
		died.own[i], died.leases[i] = 0, [modelWindow + 1]int8{}
		if fault == fullAfterRestart {
			died.own[i] = modelOwnBurst
		}
		add("dies and comes back", died)
	}
	if fault == replacedCounter {
		replaced := s
		replaced.leased = [modelGateways]int8{}
		events = append(events, modelEvent{"the counter is replaced", replaced})
	}
	return events
}

// explore visits every reachable state. It returns the shortest sequence of events that sends more than the
// ceiling's bucket holds, or nil.
func explore(fault modelFault) (states int, broken []string) {
	type path struct {
		state modelState
		last  int // index of the previous path
		by    string
	}
	first := modelState{bucket: modelBurst}
	paths, seen := []path{{first, -1, ""}}, map[modelState]bool{first: true}
	for current := 0; current < len(paths); current++ {
		for _, event := range paths[current].state.next(fault) {
			name, state := event.name, event.state
			if state.bucket < 0 {
				for i := current; paths[i].last >= 0; i = paths[i].last {
					broken = append([]string{paths[i].by}, broken...)
				}
				return len(seen), append(broken, name)
			}
			if !seen[state] {
				seen[state] = true
				paths = append(paths, path{state, current, name})
			}
		}
	}
	return len(seen), nil
}

// Without a fault no sequence of events exceeds the ceiling; with each fault one is found. The last two faults are
// those that the proof in the design page does not cover.
func TestModelOfLeasedCeiling(t *testing.T) {
	if modelLease != 4 || modelWindow != 2 || modelOwnBurst != 6 || modelOwnRate != 1 {
		t.Fatalf("the model's units do not match the package's fractions: lease %v, window %v, own burst %v, own rate %v", modelLease, modelWindow, modelOwnBurst, modelOwnRate)
	}
	for f := noFault; f < modelFaultCount; f++ {
		states, broken := explore(f)
		t.Logf("fault %d: %d states, path %s", f, states, strings.Join(broken, "; "))
		if (broken != nil) != (f != noFault) {
			t.Errorf("fault %d: after %d states the path above the ceiling is %q", f, states, broken)
		}
	}
}
