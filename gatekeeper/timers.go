package gatekeeper

// timer is the timeout of an execution or of a counter call, or a timer of the
// decision module. A timer whose execution or call has ended is skipped.
type timer struct {
	at    float64 // clock time in milliseconds
	order uint64  // timers for the same time expire in the order in which they were set
	exec  *Execution
	count *Count
	token uint64 // the decision module's token, if exec and count are nil
}

// over reports whether the timer's execution or counter call has ended.
func (t *timer) over() bool {
	return t.exec != nil && t.exec.ended || t.count != nil && t.count.ended
}

// timers is a binary min-heap of timers, ordered by time.
type timers struct {
	heap []timer
	set  uint64 // number of timers set so far
}

func (t *timers) less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (t *timers) push(x timer) {
	t.set++
	x.order = t.set
	t.heap = append(t.heap, x)
	for i := len(t.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !t.less(i, up) {
			break
		}
		t.heap[i], t.heap[up] = t.heap[up], t.heap[i]
		i = up
	}
}

// pop removes and returns the earliest timer if it is due.
func (t *timers) pop(now float64) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	top, last := t.heap[0], len(t.heap)-1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && t.less(down, least) {
				least = down
			}
		}
		if least == i {
			return top, true
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}
