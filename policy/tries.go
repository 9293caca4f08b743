package policy

// The budget of further tries of one gatekeeper. The rule counts all machines together
// over any window: so many for each request, and a slack. Each gatekeeper takes its own
// requests' part and its even part of the slack, and asks nobody.

const (
	triesRatioUsed = 0.85 // of the ratio
	triesSlackUsed = 0.7  // of the slack
	triesSteps     = 100  // that a window is counted in
)

// TriesRule is the budget: in any window, Ratio x requests + Slack further tries.
type TriesRule struct {
	Window       Micros
	Ratio, Slack float64
}

// tryCount counts a service's requests and further tries by steps of a window.
type tryCount struct {
	step            int64 // of the newest
	requests, taken [triesSteps + 1]int32
	sumReq, sumTook int
}

// triesPart is a gatekeeper's place, from 0, among so many; none while it is not known.
type triesPart struct{ place, members int }

// Tries is the budget of one gatekeeper for each service.
type Tries struct {
	rule     TriesRule
	born     Micros
	part     triesPart
	next     triesPart // takes the place of part when a window has gone by since nextAt
	nextAt   Micros
	services map[string]*tryCount
}

// NewTries makes the budget at the start of a process. For a window it has half of its slack:
// the life before may have used its own.
func NewTries(now Micros, rule TriesRule) *Tries {
	return &Tries{rule: rule, born: now, services: map[string]*tryCount{}}
}

// Members brings how many gatekeepers there are and our place among them, from 0. Where they have become fewer our
// part grows only once a window has gone by: those that are missing have used theirs of it, and may have been cut off
// and go on. Until it is known how many there are, there is no part of the slack.
func (t *Tries) Members(now Micros, n, place int) {
	t.settle(now)
	if next := (triesPart{place, n}); next != t.next {
		t.next, t.nextAt = next, now
	}
	if n >= t.part.members {
		t.part = t.next
	}
}

// settle takes up a larger part that is due.
func (t *Tries) settle(now Micros) {
	if now-t.nextAt >= t.rule.Window {
		t.part = t.next
	}
}

func (t *Tries) at(now Micros, service string) *tryCount {
	c := t.services[service]
	step := now / max(t.rule.Window/triesSteps, 1)
	if c == nil {
		c = &tryCount{step: step}
		t.services[service] = c
	}
	// One step more than a window is kept, so that a whole window is always counted.
	for k := max(c.step+1, step-triesSteps); k <= step; k++ {
		i := k % (triesSteps + 1)
		c.sumReq -= int(c.requests[i])
		c.sumTook -= int(c.taken[i])
		c.requests[i], c.taken[i] = 0, 0
	}
	c.step = max(c.step, step)
	return c
}

// Request counts a client's request for a service.
func (t *Tries) Request(now Micros, service string) {
	c := t.at(now, service)
	c.requests[c.step%(triesSteps+1)]++
	c.sumReq++
}

// slack is our whole tries of the slack: the even part, and one more for the first places
// where it doesn't come out even.
func (t *Tries) slack(now Micros) int {
	t.settle(now)
	if t.part.members <= 0 {
		return 0
	}
	all := int(t.rule.Slack * triesSlackUsed)
	own := all / t.part.members
	if t.part.place >= 0 && t.part.place < all%t.part.members {
		own++
	}
	if now-t.born < t.rule.Window {
		own /= 2
	}
	return own
}

// Take takes a further try of a service from the budget, or says that there is none. Tries
// are counted a step longer than a window, requests a step shorter.
func (t *Tries) Take(now Micros, service string) bool {
	c := t.at(now, service)
	requests := c.sumReq - int(c.requests[(c.step+1)%(triesSteps+1)])
	if c.sumTook+1 > int(float64(requests)*t.rule.Ratio*triesRatioUsed)+t.slack(now) {
		return false
	}
	c.taken[c.step%(triesSteps+1)]++
	c.sumTook++
	return true
}

// Keep forgets the services that are not named.
func (t *Tries) Keep(named func(service string) bool) {
	for s := range t.services {
		if !named(s) {
			delete(t.services, s)
		}
	}
}
