package gatekeeper

// timer is the timeout of an execution or of a counter call, or a timer of the
// decision module. A timer whose execution or call has ended is skipped.
type timer struct {
	due         float64 // clock time in milliseconds
	sequence    uint64  // timers for the same time expire in the order in which they were set
	execution   *Execution
	counterCall *CounterCall
	token       uint64 // the decision module's token, if execution and counterCall are nil
}

// ended reports whether the timer's execution or counter call has ended.
func (t *timer) ended() bool {
	return t.execution != nil && t.execution.ended || t.counterCall != nil && t.counterCall.ended
}

// timers is a binary min-heap of timers, ordered by time.
type timers struct {
	heap         []timer
	lastSequence uint64 // number of timers set so far
}

// less orders timers by time, and then by the order in which they were set.
func (t *timers) less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.due < b.due || a.due == b.due && a.sequence < b.sequence
}

// push adds a timer.
func (t *timers) push(added timer) {
	t.lastSequence++
	added.sequence = t.lastSequence
	t.heap = append(t.heap, added)
	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.less(i, parent) {
			break
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// pop removes and returns the earliest timer if it is due.
func (t *timers) pop(now float64) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].due > now {
		return timer{}, false
	}
	top, last := t.heap[0], len(t.heap)-1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && t.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return top, true
		}
		t.heap[i], t.heap[smallest] = t.heap[smallest], t.heap[i]
		i = smallest
	}
}
