// Package load sends requests to gatekeepers as open-loop arrivals: when a request is
// sent depends on the plan alone, never on answers that are late. Latencies count from
// the intended send time, so that a stall is seen by every request it delayed
// (coordinated omission: G. Tene, "How NOT to Measure Latency").
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Class is one kind of request.
type Class struct {
	Name     string
	Part     float64       // of all requests, against the other classes' parts
	Method   string        // GET without a body, or POST with a key and a body
	Deadline time.Duration // what the client waits
	Units    float64
}

// Plan is what to send.
type Plan struct {
	Targets   []string // addresses of gatekeepers, taken in turn
	Rate      float64  // requests a second, over all targets
	Poisson   bool     // exponential gaps; constant ones else
	For       time.Duration
	Settle    time.Duration // of the beginning that is sent but not counted
	Classes   []Class
	Customers int    // that the requests are spread over
	PlanName  string // of all customers
	Seed      uint64
	Body      int // bytes of a POST's body
}

// arrival is one request that is to be sent.
type arrival struct {
	at       time.Duration // from the start
	class    int
	customer int
	n        int
}

// Check tells what is wrong with a plan.
func (p *Plan) Check() error {
	switch {
	case len(p.Targets) == 0:
		return fmt.Errorf("load: no target")
	case p.Rate <= 0:
		return fmt.Errorf("load: a rate of %g requests a second", p.Rate)
	case p.For <= p.Settle:
		return fmt.Errorf("load: %v, of which %v are not counted", p.For, p.Settle)
	case len(p.Classes) == 0:
		return fmt.Errorf("load: no class")
	case p.Customers < 1:
		return fmt.Errorf("load: %d customers", p.Customers)
	}
	for _, c := range p.Classes {
		if c.Part <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("load: class %q: a part or deadline that is not above 0", c.Name)
		}
	}
	return nil
}

// arrivals draws the arrivals one after the other. One seed gives one sequence.
type arrivals struct {
	plan  *Plan
	rand  *rand.Rand
	sum   float64
	n     int
	clock float64 // seconds
}

func newArrivals(p *Plan) *arrivals {
	a := &arrivals{plan: p, rand: rand.New(rand.NewPCG(p.Seed, 2))}
	for _, c := range p.Classes {
		a.sum += c.Part
	}
	return a
}

// next is the next arrival; ok is false at the end of the plan.
func (a *arrivals) next() (arrival, bool) {
	gap := 1 / a.plan.Rate
	if a.plan.Poisson {
		gap *= a.rand.ExpFloat64()
	}
	a.clock += gap
	x := arrival{at: time.Duration(a.clock * float64(time.Second)), n: a.n}
	if x.at >= a.plan.For {
		return x, false
	}
	a.n++
	left := a.rand.Float64() * a.sum
	for i, c := range a.plan.Classes {
		x.class = i
		if left -= c.Part; left < 0 {
			break
		}
	}
	x.customer = a.rand.IntN(a.plan.Customers)
	return x, true
}

// Run sends a plan's requests and waits for their answers. A context that ends stops the
// sending; what was sent is still counted.
func Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	r := newResult(&p)
	pools := make([]*pool, len(p.Targets))
	for i, t := range p.Targets {
		pools[i] = &pool{addr: t}
		defer pools[i].close()
	}
	run := fmt.Sprintf("%08x", rand.Uint32()) // ids differ between runs
	next := newArrivals(&p)
	var out sync.WaitGroup
	runtime.LockOSThread() // whose sleeps are exact
	defer runtime.UnlockOSThread()
	before, err := syscall.Getpriority(syscall.PRIO_PROCESS, 0) // of this thread, 20 - nice
	if err == nil && syscall.Setpriority(syscall.PRIO_PROCESS, 0, urgent) == nil {
		defer func() { _ = syscall.Setpriority(syscall.PRIO_PROCESS, 0, 20-before) }()
	}
	start := time.Now()
	for {
		a, more := next.next()
		if !more || !sleep(ctx, time.Until(start.Add(a.at))) {
			r.Cut = more
			break
		}
		intended := start.Add(a.at)
		lag := time.Since(intended)
		out.Go(func() {
			end := pools[a.n%len(pools)].ask(&p, a, run, intended)
			r.add(a, lag, time.Since(intended), end)
		})
	}
	out.Wait()
	r.finish(time.Since(start))
	return r, nil
}

// urgent is the nice value that the sending thread has where it may: what it is late would
// pass for the gatekeeper's.
const urgent = -10

// sleep waits until a time: by the runtime's timers first and, as those come up to a
// millisecond late, by the thread's own sleep at the last. It tells whether the context
// still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	const coarse = 1500 * time.Microsecond
	until := time.Now().Add(d)
	if d > coarse {
		t := time.NewTimer(d - coarse)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	for left := time.Until(until); left > 0; left = time.Until(until) {
		nap := syscall.NsecToTimespec(int64(left))
		_ = syscall.Nanosleep(&nap, nil) // cut short by a signal, it is called again
	}
	return ctx.Err() == nil
}
