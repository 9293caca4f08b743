package policy

import "testing"

// TestARefusalSaysWhenToComeBack: also the one that ends a request whose attempts are used
// up. Seen by the orderings: it bore no advice.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	b := newBench(settings(), 8)
	id := b.request(0, 0, 1)
	for n := range b.g.set.MaxAttempts {
		b.g.Outcome(b.at, b.r, Outcome{ID: id, Attempt: n, Status: Reset, Server: b.r.sent[n].to, Latency: 10e3})
	}
	if after, no := b.r.refused[id]; !no || after <= 0 {
		t.Errorf("refused %v, to come back after %d us", no, after)
	}
}
