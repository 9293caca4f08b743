package gatekeeper

// timer is one thing to do at a time. A timer whose thing is over is skipped
// when it comes up.
type timer struct {
	at    float64
	order uint64 // timers of one time come in the order they were set
	exec  *Execution
	count *Count
	token uint64 // of the decision module, where exec and count are nil
}

// over tells whether what the timer is for has ended.
func (t *timer) over() bool {
	return t.exec != nil && t.exec.ended || t.count != nil && t.count.ended
}

// timers is a heap with the earliest on top.
type timers struct {
	heap []timer
	set  uint64
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

// pop takes the earliest timer where it is due.
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
