package policy

// The retry budget of one gateway. The rule limits all gateways together over any window: a ratio of the
// requests and a fixed allowance. Each gateway uses its own requests' part and an even part of the allowance,
// without asking the others.

const (
	usedRatio     = 0.85 // fraction of the ratio that is used; the rest is a safety margin
	usedAllowance = 0.7  // fraction of the allowance that is used, likewise
	windowSteps   = 100  // steps that a window is counted in
)

// RetryBudgetRule is the budget: in any window of time, at most Ratio × requests + Allowance retries.
type RetryBudgetRule struct {
	Window           Micros
	Ratio, Allowance float64
}

// tryCount counts a service's requests and retries by steps of a window.
type tryCount struct {
	newestStep           int64 // number of the newest step
	requests, retries    [windowSteps + 1]int32
	requestSum, retrySum int
}

// budgetPart is a gateway's index among all gateways; members is 0 while their number is not known.
type budgetPart struct{ index, members int }

// RetryBudget is the retry budget of one gateway, for each service.
type RetryBudget struct {
	rule      RetryBudgetRule
	startedAt Micros
	part      budgetPart // our current part
	next      budgetPart // replaces part when a window has passed since nextAt
	nextAt    Micros
	services  map[string]*tryCount
}

// NewRetryBudget returns the budget at the start of a process. For the first window it holds half of its allowance,
// since the process may have used its part before a restart.
func NewRetryBudget(now Micros, rule RetryBudgetRule) *RetryBudget {
	return &RetryBudget{rule: rule, startedAt: now, services: map[string]*tryCount{}}
}

// SetMembers sets the number of gateways and our index among them, from 0. When there are fewer gateways than
// before, our part grows only after a whole window: the missing ones have used their part of it, and may be
// cut off and still running. Until the number is known there is no allowance.
func (t *RetryBudget) SetMembers(now Micros, members, index int) {
	t.adoptDuePart(now)
	if next := (budgetPart{index, members}); next != t.next {
		t.next, t.nextAt = next, now
	}
	if members >= t.part.members {
		t.part = t.next
	}
}

// adoptDuePart adopts a larger part once it is due.
func (t *RetryBudget) adoptDuePart(now Micros) {
	if now-t.nextAt >= t.rule.Window {
		t.part = t.next
	}
}

// countAt returns the counts of a service, advanced to the present.
func (t *RetryBudget) countAt(now Micros, service string) *tryCount {
	count := t.services[service]
	step := now / max(t.rule.Window/windowSteps, 1)
	if count == nil {
		count = &tryCount{newestStep: step}
		t.services[service] = count
	}
	// One step more than a window is kept, so that a whole window is always counted.
	for k := max(count.newestStep+1, step-windowSteps); k <= step; k++ {
		i := k % (windowSteps + 1)
		count.requestSum -= int(count.requests[i])
		count.retrySum -= int(count.retries[i])
		count.requests[i], count.retries[i] = 0, 0
	}
	count.newestStep = max(count.newestStep, step)
	return count
}

// CountRequest counts a client's request for a service.
func (t *RetryBudget) CountRequest(now Micros, service string) {
	count := t.countAt(now, service)
	count.requests[count.newestStep%(windowSteps+1)]++
	count.requestSum++
}

// allowance is our part of the allowance, in whole retries: the even part, and one more for the lowest
// indexes if it does not divide evenly.
func (t *RetryBudget) allowance(now Micros) int {
	t.adoptDuePart(now)
	if t.part.members <= 0 {
		return 0
	}
	total := int(t.rule.Allowance * usedAllowance)
	own := total / t.part.members
	if t.part.index >= 0 && t.part.index < total%t.part.members {
		own++
	}
	if now-t.startedAt < t.rule.Window {
		own /= 2
	}
	return own
}

// TryTake takes a retry of a service from the budget, or returns false if there is none left. Retries are
// counted over one step more than a window, requests over one step less.
func (t *RetryBudget) TryTake(now Micros, service string) bool {
	count := t.countAt(now, service)
	requests := count.requestSum - int(count.requests[(count.newestStep+1)%(windowSteps+1)])
	if count.retrySum+1 > int(float64(requests)*t.rule.Ratio*usedRatio)+t.allowance(now) {
		return false
	}
	count.retries[count.newestStep%(windowSteps+1)]++
	count.retrySum++
	return true
}

// KeepServices drops the counts of services for which named returns false.
func (t *RetryBudget) KeepServices(named func(service string) bool) {
	for service := range t.services {
		if !named(service) {
			delete(t.services, service)
		}
	}
}
