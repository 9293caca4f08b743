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

// TestWhatIsTooLateIsNotSent: neither what a stalled loop finds held past its aim, nor a
// repeat of what failed past it.
func TestWhatIsTooLateIsNotSent(t *testing.T) {
	b := newBench(settings(), 1)
	b.g.bound, b.g.doneRate = 1, 1000
	first, held := b.request(0, 0, 1), b.request(0, 0, 2)
	b.at += 600e3 // past the aim, and the timers have not rung yet
	b.g.Outcome(b.at, b.r, Outcome{ID: first, Status: Reset, Server: 1, Latency: 600e3})
	if _, no := b.r.refused[first]; len(b.r.sent) != 1 || !no {
		t.Errorf("a repeat past its aim: %d sends, refused %v", len(b.r.sent), no)
	}
	if _, no := b.r.refused[held]; !no {
		t.Error("what was held past its aim is not refused")
	}
}
