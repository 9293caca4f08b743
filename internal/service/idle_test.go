package service

import (
	"testing"
	"time"
)

// TestAnIdleProcessRests: where nobody asks anything no thread polls or spins. A fleet pays
// for what each of its gatekeepers does, and their clock is the processor time they use.
func TestAnIdleProcessRests(t *testing.T) {
	addr, _ := worker(t, say(served))
	p := newSite(t, settingsText, addr).run(true)
	before := p.used()
	const span = 2 * time.Second
	until := time.NewTimer(span) // of real time: it is what is measured
	<-until.C
	used := p.used() - before
	t.Logf("%v of processor time in %v", used, span)
	if used > span/10 {
		t.Errorf("an idle process used %v of processor time in %v", used, span)
	}
	p.stop()
}
