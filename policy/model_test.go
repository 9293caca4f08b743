package policy

import (
	"fmt"
	"strings"
	"testing"
)

// A model of a leased ceiling, explored whole: two gateways, a counter, and one who picks what
// happens next. Time goes by in half windows; a ceiling's store holds 24 units and gets 4 a
// tick, so that with the module's own leaseOwn and leaseParts a window is two ticks and passes
// 4 units, and a gateway's own part holds 6 and gets 1 a tick (docs/design/ceilings.md).
const (
	modelBurst = 24
	modelRate  = 4
	modelGates = 2
	modelPool  = (1 - leaseOwn) * modelBurst / leaseParts
	modelHold  = modelBurst / modelRate / leaseParts // ticks of a window, and that a lease is held at most
	modelOwn   = leaseOwn * modelBurst / modelGates
	modelFill  = leaseOwn * modelRate / modelGates
)

// modelState is the whole of it between two happenings.
type modelState struct {
	store int8             // of the ceiling, as it truly is
	phase int8             // tick of the window
	total [modelGates]int8 // added in the window; on both sides alike but in a split
	own   [modelGates]int8
	held  [modelGates][modelHold + 1]int8 // leases not sent yet, by their age in ticks
}

// modelFault is what the model is told to get wrong.
type modelFault int

const (
	modelSound     modelFault = iota
	bornFull                  // a new life's own part is full
	heldOn                    // a lease is kept past its window
	poolTwice                 // a window passes twice as much
	splitApart                // the counter is two, one for each gateway
	replacedAtOnce            // a counter that holds nothing takes its place at any moment
	modelFaults
)

// happening is one thing that may come next.
type happening struct {
	what string
	to   modelState
}

// next gives all that may happen.
func (s modelState) next(f modelFault) (all []happening) {
	pool := int8(modelPool)
	if f == poolTwice {
		pool *= 2
	}
	tick := s
	tick.store = min(s.store+modelRate, modelBurst)
	if tick.phase = (s.phase + 1) % modelHold; tick.phase == 0 {
		tick.total = [modelGates]int8{}
	}
	for i := range modelGates {
		tick.own[i] = min(s.own[i]+modelFill, modelOwn)
		h := s.held[i]
		tick.held[i] = [modelHold + 1]int8{}
		copy(tick.held[i][1:], h[:])
		if f == heldOn {
			tick.held[i][modelHold] += h[modelHold]
		}
	}
	all = append(all, happening{"a tick", tick})
	for i := range modelGates {
		say := func(what string, to modelState) { all = append(all, happening{fmt.Sprintf("%d %s", i, what), to}) }
		own := s
		own.store, own.own[i] = s.store-s.own[i], 0
		say("sends its own part", own)
		lease, lost := s, s
		got := max(pool-s.total[i], 0)
		for side := range modelGates {
			if side == i || f != splitApart {
				lease.total[side] += got
			}
		}
		lost.total = lease.total
		lease.held[i][0] += got
		say("leases the rest of the window", lease)
		say("leases it and hears nothing", lost)
		send := s
		for _, n := range s.held[i] {
			send.store -= n
		}
		send.held[i] = [modelHold + 1]int8{}
		say("sends what it leased", send)
		died := s
		died.own[i], died.held[i] = 0, [modelHold + 1]int8{}
		if f == bornFull {
			died.own[i] = modelOwn
		}
		say("dies and comes back", died)
	}
	if f == replacedAtOnce {
		anew := s
		anew.total = [modelGates]int8{}
		all = append(all, happening{"the counter is replaced", anew})
	}
	return all
}

// explore goes through every state that can come about, and tells the first way, of the
// fewest happenings, to send more than the ceiling's store holds.
func explore(f modelFault) (states int, broken []string) {
	type way struct {
		state modelState
		last  int // the way before it
		by    string
	}
	first := modelState{store: modelBurst}
	ways, seen := []way{{first, -1, ""}}, map[modelState]bool{first: true}
	for at := 0; at < len(ways); at++ {
		for _, h := range ways[at].state.next(f) {
			by, to := h.what, h.to
			if to.store < 0 {
				for i := at; ways[i].last >= 0; i = ways[i].last {
					broken = append([]string{ways[i].by}, broken...)
				}
				return len(seen), append(broken, by)
			}
			if !seen[to] {
				seen[to] = true
				ways = append(ways, way{to, at, by})
			}
		}
	}
	return len(seen), nil
}

// TestNoWayLeadsBeyondALeasedCeiling explores the model whole, and then with each fault:
// each is found. The last two are what the proof does not cover, and says so.
func TestNoWayLeadsBeyondALeasedCeiling(t *testing.T) {
	if modelPool != 4 || modelHold != 2 || modelOwn != 6 || modelFill != 1 {
		t.Fatalf("the model's units do not fit the module's parts: %v %v %v %v", modelPool, modelHold, modelOwn, modelFill)
	}
	for f := modelSound; f < modelFaults; f++ {
		states, broken := explore(f)
		t.Logf("fault %d: %d states, %s", f, states, strings.Join(broken, "; "))
		if (broken != nil) != (f != modelSound) {
			t.Errorf("fault %d: after %d states the way beyond the ceiling is %q", f, states, broken)
		}
	}
}
