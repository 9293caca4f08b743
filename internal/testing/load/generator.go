// Package load is an open-loop load generator for gatekeepers: when a request is sent depends
// only on the plan, not on the responses to earlier requests. Latencies are measured from the
// intended send time, so that a stall counts for every request that it delayed. This avoids
// coordinated omission (G. Tene, "How NOT to Measure Latency").
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

// Class is a class of requests.
type Class struct {
	Name     string
	Weight   float64       // weight relative to the other classes
	Method   string        // GET without a body, or POST with an idempotency key and a body
	Deadline time.Duration // how long the client waits for the response
	Units    float64       // cost of a request in quota units
}

// Plan describes the requests to send.
type Plan struct {
	Targets       []string      // addresses of gatekeepers, used in rotation
	RatePerSecond float64       // requests per second, over all targets
	Poisson       bool          // exponentially distributed gaps instead of constant ones
	Duration      time.Duration // length of the run
	WarmUp        time.Duration // warm-up at the beginning, whose requests are not counted
	Classes       []Class
	Customers     int    // number of customers, to which requests are assigned at random
	TariffPlan    string // tariff plan of all customers, sent as X-Tier
	Seed          uint64
	BodyBytes     int // size of a POST body in bytes
}

// arrival is a request to be sent.
type arrival struct {
	offset   time.Duration // intended send time from the start
	class    int           // index into the plan's classes
	customer int           // number of the customer, from 0
	sequence int           // number of the request, from 0
}

// Validate returns an error if the plan is invalid.
func (p *Plan) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return fmt.Errorf("load: no target")
	case p.RatePerSecond <= 0:
		return fmt.Errorf("load: a rate of %g requests a second", p.RatePerSecond)
	case p.Duration <= p.WarmUp:
		return fmt.Errorf("load: %v, of which %v are not counted", p.Duration, p.WarmUp)
	case len(p.Classes) == 0:
		return fmt.Errorf("load: no class")
	case p.Customers < 1:
		return fmt.Errorf("load: %d customers", p.Customers)
	}
	for _, c := range p.Classes {
		if c.Weight <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("load: class %q: a part or deadline that is not above 0", c.Name)
		}
	}
	return nil
}

// arrivalGenerator generates the arrivals of a plan. The same plan and seed give the same
// sequence.
type arrivalGenerator struct {
	plan      *Plan
	rng       *rand.Rand
	totalPart float64 // sum of the weights of all classes
	generated int
	clockS    float64 // send time of the last arrival in seconds
}

// newArrivalGenerator returns a generator at the start of the plan.
func newArrivalGenerator(p *Plan) *arrivalGenerator {
	generator := &arrivalGenerator{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 2))}
	for _, c := range p.Classes {
		generator.totalPart += c.Weight
	}
	return generator
}

// next returns the next arrival, and false at the end of the plan.
func (a *arrivalGenerator) next() (arrival, bool) {
	gapS := 1 / a.plan.RatePerSecond
	if a.plan.Poisson {
		gapS *= a.rng.ExpFloat64()
	}
	a.clockS += gapS
	drawn := arrival{offset: time.Duration(a.clockS * float64(time.Second)), sequence: a.generated}
	if drawn.offset >= a.plan.Duration {
		return drawn, false
	}
	a.generated++
	remaining := a.rng.Float64() * a.totalPart
	for i, c := range a.plan.Classes {
		drawn.class = i
		if remaining -= c.Weight; remaining < 0 {
			break
		}
	}
	drawn.customer = a.rng.IntN(a.plan.Customers)
	return drawn, true
}

// Run sends the requests of a plan and waits for their responses. When the context ends, it
// stops sending; the requests already sent are still counted.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	result := newResult(&plan)
	pools := make([]*pool, len(plan.Targets))
	for i, target := range plan.Targets {
		pools[i] = &pool{addr: target}
		defer pools[i].close()
	}
	runID := fmt.Sprintf("%08x", rand.Uint32()) // makes request IDs differ between runs
	generator := newArrivalGenerator(&plan)
	var inFlight sync.WaitGroup
	runtime.LockOSThread() // sleep uses the thread's own sleep, and the priority belongs to the thread
	defer runtime.UnlockOSThread()
	priority, err := syscall.Getpriority(syscall.PRIO_PROCESS, 0) // of this thread; the system call returns 20 - nice
	if err == nil && syscall.Setpriority(syscall.PRIO_PROCESS, 0, senderNice) == nil {
		defer func() { _ = syscall.Setpriority(syscall.PRIO_PROCESS, 0, 20-priority) }()
	}
	start := time.Now()
	for {
		arrival, more := generator.next()
		if !more || !sleep(ctx, time.Until(start.Add(arrival.offset))) {
			result.Interrupted = more
			break
		}
		intended := start.Add(arrival.offset)
		sendLag := time.Since(intended)
		inFlight.Go(func() {
			end := pools[arrival.sequence%len(pools)].send(&plan, arrival, runID, intended)
			result.record(arrival, sendLag, time.Since(intended), end)
		})
	}
	inFlight.Wait()
	result.finish(time.Since(start))
	return result, nil
}

// senderNice is the nice value of the sending thread, if the process may set it. If the thread
// were late, its delay would be attributed to the gatekeeper.
const senderNice = -10

// sleep waits for the duration or until the context ends, and reports whether the context is
// still active. Runtime timers fire up to a millisecond late, so the last part of the wait uses
// the thread's own sleep.
func sleep(ctx context.Context, d time.Duration) bool {
	const timerError = 1500 * time.Microsecond
	deadline := time.Now().Add(d)
	if d > timerError {
		timer := time.NewTimer(d - timerError)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for timeLeft := time.Until(deadline); timeLeft > 0; timeLeft = time.Until(deadline) {
		remaining := syscall.NsecToTimespec(int64(timeLeft))
		_ = syscall.Nanosleep(&remaining, nil) // if a signal interrupts it, the loop calls it again
	}
	return ctx.Err() == nil
}
