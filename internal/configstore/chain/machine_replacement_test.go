package chain

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// returnGraceMillis is the time in milliseconds for which a machine that has returned counts as
// lost. It is shorter than the syncS of the documented tolerance.
const returnGraceMillis = 1500.0

// leaveTimeoutMillis is the time limit in milliseconds of a process that is asked to end.
const leaveTimeoutMillis = 2100.0

// toleratedLosses returns how many more losses a view's core tolerates, counting only members that
// can still return.
func (w *world) toleratedLosses(view View) int {
	usable := 0
	for _, member := range view.Core {
		if !w.lostForGood(member) {
			usable++
		}
	}
	return usable - (len(view.Core)/2 + 1)
}

// lostForGood reports whether a member of a core, or its disk, will never return.
func (w *world) lostForGood(id MachineID) bool {
	return w.removedAddrs[id.Addr] || slices.ContainsFunc(w.nodes, func(n *node) bool { return n.addr == id.Addr && slices.Contains(n.lostDisks, id.Disk) })
}

// waitsForSeat reports whether a machine waits for a seat while all seats are taken by running
// machines.
func (w *world) waitsForSeat(n *node) bool {
	view, ok := w.decided[w.maxView]
	if !ok || n.machine == nil || n.machine.View().Number != view.Number || slices.Contains(view.Core, n.machine.Self()) || len(view.Chain) != w.seats {
		return false
	}
	for _, member := range view.Chain {
		if !slices.ContainsFunc(w.nodes, func(other *node) bool {
			return other.up && other.frozenUntil <= w.now && other.machine.Self() == member && other.machine.isComplete()
		}) {
			return false
		}
	}
	return true
}

// isPartitioned reports whether any connection between a machine and another is cut.
func (w *world) isPartitioned(n *node) bool {
	for pair := range w.cut {
		if pair[0] != pair[1] && (pair[0] == n.addr || pair[1] == n.addr) {
			return true
		}
	}
	return false
}

// checkTolerance requires that no view tolerates fewer losses than the one before it. It does not
// apply if operators remove machines, which is their responsibility, or if a joining machine was
// lost meanwhile, which is not a fault of the view.
func (w *world) checkTolerance(view View) {
	before, ok := w.decided[view.Number-1]
	if !ok || w.removalRNG != nil {
		return
	}
	for _, member := range view.Core {
		if !slices.Contains(before.Core, member) && w.lostForGood(member) {
			return
		}
	}
	if toleratedBefore, toleratedNow := w.toleratedLosses(before), w.toleratedLosses(view); toleratedNow < toleratedBefore {
		w.fail("view %d tolerates %d losses, the one before it %d: %v after %v", view.Number, toleratedNow, toleratedBefore, view.Core, before.Core)
	}
	if 2*len(view.Chain) <= len(view.Core) {
		w.fail("view %d has copies on %d of %d", view.Number, len(view.Chain), len(view.Core))
	}
}

// replaceOrRestart replaces a machine, with or without notice, or restarts it, once all machines
// have joined.
func (w *world) replaceOrRestart(n *node) {
	if w.decided[w.maxView].Seats < w.seats {
		return
	}
	switch w.replacementRNG.IntN(4) {
	case 0, 1:
		if lost := w.lostMachines(); len(lost) < w.tolerance || n.wiped && len(lost) <= w.tolerance {
			w.replace(n, 50+w.replacementRNG.Float64()*1500)
		}
	case 2:
		w.replaceWithNotice(n, 500+w.replacementRNG.Float64()*4000)
	default:
		w.endGracefully(n, func() { w.schedule(50+w.replacementRNG.Float64()*1000, func() { w.boot(n, false) }) })
	}
}

// replace removes a machine for good and starts a successor at another address after a while.
func (w *world) replace(n *node, after float64) *node {
	successor := w.addNode()
	w.removeForGood(n, successor)
	w.schedule(after, func() { w.boot(successor, false) })
	return successor
}

// replaceWithNotice starts a machine's successor first and ends the machine for good after a while.
func (w *world) replaceWithNotice(n *node, after float64) {
	successor := w.addNode()
	w.boot(successor, false)
	w.pendingNotices++
	w.schedule(after, func() {
		w.endGracefully(n, func() {
			w.pendingNotices--
			w.removeForGood(n, successor)
		})
	})
}

// addNode adds a machine with an empty disk at an unused address. It counts as lost until it is
// complete.
func (w *world) addNode() *node {
	w.added++
	n := &node{addr: fmt.Sprintf("10.0.1.%d:1", w.added), wiped: true}
	for _, o := range w.nodes {
		n.seeds = append(n.seeds, o.addr)
	}
	n.seeds = n.seeds[max(0, len(n.seeds)-3):]
	w.nodes = append(w.nodes, n)
	return n
}

// removeForGood removes a machine if the tolerance permits it; otherwise the machine starts again.
func (w *world) removeForGood(n, successor *node) {
	index := slices.Index(w.nodes, n)
	if index < 0 {
		return
	}
	lost := w.lostMachines()
	lost[n] = true
	if successor.wiped && !slices.ContainsFunc(w.decided[w.maxView].Core, func(x MachineID) bool { return x.Addr == successor.addr }) {
		delete(lost, successor) // the machine and its successor count as one
	}
	if len(lost) > w.tolerance || w.replacementsOver {
		w.boot(n, false)
		return
	}
	w.kill(n)
	w.removedAddrs[n.addr] = true
	w.nodes = slices.Delete(w.nodes, index, index+1)
	w.replaced++
}

// endGracefully asks a process to end and waits until it has, up to its time limit.
func (w *world) endGracefully(n *node, whenEnded func()) {
	if !n.up || w.replacementsOver {
		return
	}
	incarnation, until := n.incarnation, w.now+leaveTimeoutMillis
	w.deliver(n, Event{Leave: true})
	var poll func()
	poll = func() {
		switch {
		case !n.up || n.incarnation != incarnation:
		case n.machine.MayEnd() && !n.syncing || w.now >= until:
			w.kill(n)
			whenEnded()
		default:
			w.schedule(20, poll)
		}
	}
	w.schedule(20, poll)
}

// TestReplacementsAndRestarts runs random failures like TestSimulatedFailures, with machine
// replacements in addition.
func TestReplacementsAndRestarts(t *testing.T) {
	for _, c := range [][3]int{{3, 3, 50}, {4, 3, 40}, {5, 3, 40}, {6, 3, 25}} {
		t.Run(fmt.Sprintf("%d of %d", c[1], c[0]), func(t *testing.T) {
			t.Parallel()
			replaced, views, changes := 0, uint64(0), 0
			for seed := range uint64(c[2]) {
				w, err := simulate(seed, c[0], c[1], faults{replaceMachines: true})
				assert.NilError(t, err, "seed %d", seed)
				replaced, views, changes = replaced+w.replaced, views+w.maxView, changes+w.acknowledgedChanges
			}
			assert.Assert(t, 8*replaced >= c[2], "too few machines were replaced: %d in %d runs", replaced, c[2])
			t.Logf("%d replaced, %d views, %d changes", replaced, views, changes)
		})
	}
}
