package policy

const (
	longestDecay = 0.001      // fraction of the difference by which the longest time left decays towards a newer one
	retryMargin  = 15 * milli // a client with this much less time left than the longest is on a retry
)

// RetryDetector tells first tries of a kind of request from retries by the time their clients have left: a first
// try has all of it, a retry has lost at least its wait.
type RetryDetector struct{ longest float64 }

// IsRetry reports whether a client with this time left is on a retry.
func (p *RetryDetector) IsRetry(timeLeft Micros) bool {
	current := float64(timeLeft)
	p.longest = max(current, p.longest-(p.longest-current)*longestDecay)
	return p.longest-current > float64(retryMargin)
}
