package service

import (
	"testing"
	"time"
)

// TestIdleProcessUsesLittleCPU guards against threads that poll or spin while there are no
// requests: the CPU time of idle gatekeepers adds up over a fleet.
func TestIdleProcessUsesLittleCPU(t *testing.T) {
	addr, _ := startWorker(t, respondWith(okResponse))
	proc := newDeployment(t, settingsText, addr).startProcess(true)
	before := proc.cpuTime()
	const span = 2 * time.Second
	until := time.NewTimer(span) // real time, as CPU time is measured against it
	<-until.C
	used := proc.cpuTime() - before
	t.Logf("%v of processor time in %v", used, span)
	if used > span/10 {
		t.Errorf("an idle process used %v of processor time in %v", used, span)
	}
	proc.stop()
}
