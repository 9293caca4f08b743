package overloadtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"foxwood/internal/dataplane/proxy"
)

const (
	callerHeader     = "X-Caller"
	requestDeadline  = 2 * time.Second // of a request, all attempts together
	tierCount        = 5
	callersPerTenant = 40
	maxAttempts      = 2
)

// service describes a service and its route. The work and share of each service are chosen so that
// the workers of all services are equally loaded.
type service struct {
	name          string
	safe          bool          // may be repeated after a failure with unknown outcome
	priority      int           // 0 is the most important
	serviceTime   time.Duration // service time of one request
	latencyTarget time.Duration // latency that counts as in time
	requestShare  float64       // fraction of all requests
}

var services = []service{
	{"quote", true, 0, 30 * time.Millisecond, 500 * time.Millisecond, 4.0 / 9},
	{"preapproval", false, 0, 40 * time.Millisecond, 500 * time.Millisecond, 3.0 / 9},
	{"schedule", true, 1, 60 * time.Millisecond, 800 * time.Millisecond, 2.0 / 9},
}

// capacity returns the number of requests per second that the workers can process at most.
func capacity() float64 {
	return workersPerService * workerSlots / (services[0].serviceTime.Seconds()) / services[0].requestShare
}

// tenant is one customer of the cluster.
type tenant struct {
	name, key    string
	tier         int     // 0 is the most important
	requestShare float64 // fraction of all requests
}

// tenants holds two tenants in each tier. Less important tiers send more requests.
var tenants = func() (all []tenant) {
	for tier, share := range []float64{0.10, 0.15, 0.20, 0.25, 0.30} {
		for i := range 2 {
			name := fmt.Sprintf("plan%d-%c", tier, 'a'+i)
			all = append(all, tenant{name, "key-" + name, tier, share / 2})
		}
	}
	return all
}()

// Outcomes of an attempt.
const (
	outcomeOK = iota
	outcomeShed
	outcomeRefused // refused for lack of capacity, not because of the shedding level
	outcomeUnknown // failed; the worker may or may not have run it
	outcomeNotSent // no connection was made
)

// attempt is one attempt to have a request served, sent to one proxy.
type attempt struct {
	id         string
	proxy      int
	caller     string
	tenantTier int // tier of the tenant
	route      int // index into services
	sent       time.Time
	ended      time.Time
	outcome    int
}

// shedOrder returns the number by which attempts are ordered for shedding: the tenant's tier first, then the
// priority of the service. A lower number is more important.
func (t *attempt) shedOrder() int { return t.tenantTier<<4 | services[t.route].priority }

// request is one request of a client, with the result of its last attempt.
type request struct {
	start     time.Time
	stage     int // index into the run's stages
	tier      int // tier of the tenant
	route     int // index into services
	latency   time.Duration
	outcome   int  // outcome of the last attempt
	metTarget bool // succeeded within the latency target of its service
}

// loadGenerator simulates the clients. It is an open-loop generator: it sends at the given rate, whether or not
// earlier requests were answered.
type loadGenerator struct {
	proxyAddrs  []string
	httpClients []*http.Client
	delisted    []bool
	mu          sync.Mutex
	attemptSeq  int
	attempts    []*attempt
	requests    []*request
	inFlight    sync.WaitGroup
	nextCaller  func() (tenant, string) // returns the tenant and the caller of the next request
}

// newLoadGenerator returns a load generator that sends to the given proxies.
func newLoadGenerator(proxies []*process) *loadGenerator {
	generator := &loadGenerator{delisted: make([]bool, len(proxies)), nextCaller: randomCaller}
	for _, proxy := range proxies {
		generator.proxyAddrs = append(generator.proxyAddrs, proxy.addr)
		generator.httpClients = append(generator.httpClients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400, IdleConnTimeout: 10 * time.Second,
			DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}})
	}
	return generator
}

// delist excludes a proxy from further requests, as service discovery does when it no longer lists it.
func (c *loadGenerator) delist(index int) {
	c.mu.Lock()
	c.delisted[index] = true
	c.mu.Unlock()
}

// chooseProxy returns the index of a random proxy other than the excluded one.
func (c *loadGenerator) chooseProxy(excluded int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if index := rand.IntN(len(c.proxyAddrs)); index != excluded && !c.delisted[index] {
			return index
		}
	}
}

// run sends requests as a Poisson process at the given rate per second for the given time.
func (c *loadGenerator) run(ctx context.Context, stage int, rate float64, duration time.Duration) {
	nextStart, end := time.Now(), time.Now().Add(duration)
	for nextStart.Before(end) && ctx.Err() == nil {
		time.Sleep(time.Until(nextStart))
		nextStart = nextStart.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		sender, caller := c.nextCaller()
		route := pickWeighted(len(services), func(i int) float64 { return services[i].requestShare })
		req := &request{start: time.Now(), stage: stage, tier: sender.tier, route: route}
		c.mu.Lock()
		c.requests = append(c.requests, req)
		c.mu.Unlock()
		c.inFlight.Go(func() { c.perform(req, sender, caller) })
	}
	time.Sleep(time.Until(end))
}

// randomCaller returns a random tenant, weighted by the tenants' shares, and one of its callers.
func randomCaller() (tenant, string) {
	return tenants[pickWeighted(len(tenants), func(i int) float64 { return tenants[i].requestShare })], strconv.Itoa(rand.IntN(callersPerTenant))
}

// pickWeighted returns a random index below n, weighted by share; the shares add up to 1.
func pickWeighted(n int, share func(int) float64) int {
	remaining := rand.Float64()
	for i := range n - 1 {
		if remaining -= share(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// perform sends attempts for a request until one succeeds, fails for good, or the attempts or the deadline
// are used up. A refused request is retried at another proxy after the time given in Retry-After.
func (c *loadGenerator) perform(req *request, sender tenant, caller string) {
	proxyIndex := -1
	for made := 0; ; made++ {
		proxyIndex = c.chooseProxy(proxyIndex)
		timeLeft := requestDeadline - time.Since(req.start)
		if timeLeft < 20*time.Millisecond {
			break
		}
		result, retryAfter := c.attemptOnce(req, sender, caller, proxyIndex, timeLeft)
		req.outcome, req.latency = result.outcome, time.Since(req.start)
		mayRetry := result.outcome == outcomeShed || result.outcome == outcomeRefused || result.outcome == outcomeNotSent || result.outcome == outcomeUnknown && services[req.route].safe
		if !mayRetry || made+1 >= maxAttempts {
			break
		}
		time.Sleep(min(retryAfter, (requestDeadline-time.Since(req.start))/3))
	}
	req.metTarget = req.outcome == outcomeOK && req.latency <= services[req.route].latencyTarget
}

// attemptOnce sends one attempt, records it, and returns it with the time to wait before the next.
func (c *loadGenerator) attemptOnce(req *request, sender tenant, caller string, proxyIndex int, timeLeft time.Duration) (*attempt, time.Duration) {
	target := services[req.route]
	c.mu.Lock()
	c.attemptSeq++
	result := &attempt{id: fmt.Sprintf("try-%d", c.attemptSeq), proxy: proxyIndex, caller: sender.name + "/" + caller, tenantTier: sender.tier, route: req.route, sent: time.Now()}
	c.attempts = append(c.attempts, result)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	outcome, retryAfter := c.send(ctx, target, sender, caller, proxyIndex, result.id, timeLeft)
	c.mu.Lock()
	result.outcome, result.ended = outcome, time.Now()
	c.mu.Unlock()
	return result, retryAfter
}

// send makes the HTTP call of one attempt and returns its outcome and the time in Retry-After.
func (c *loadGenerator) send(ctx context.Context, target service, sender tenant, caller string, proxyIndex int, id string, timeLeft time.Duration) (int, time.Duration) {
	method, body := http.MethodPost, io.Reader(bytes.NewReader([]byte(id)))
	if target.safe {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.proxyAddrs[proxyIndex]+"/"+target.name+"/x", body)
	if err != nil {
		return outcomeNotSent, 0
	}
	req.GetBody = nil // keeps the transport from resending an unsafe request by itself
	req.Host = "hut.example"
	for name, value := range map[string]string{"X-Foxwood-Try-Id": id, "X-Foxwood-Time-Left": strconv.FormatInt(timeLeft.Milliseconds(), 10),
		"Authorization": "Bearer " + sender.key, callerHeader: caller} {
		req.Header.Set(name, value)
	}
	res, err := c.httpClients[proxyIndex].Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return outcomeNotSent, 0
		}
		return outcomeUnknown, 0
	}
	answer, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	retrySeconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	retryAfter := time.Duration(retrySeconds * float64(time.Second))
	switch {
	case err != nil:
		return outcomeUnknown, 0
	case res.StatusCode == http.StatusOK && string(answer) == "done "+id:
		return outcomeOK, 0
	case res.StatusCode == http.StatusServiceUnavailable && string(answer) == proxy.ShedBody:
		return outcomeShed, retryAfter
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		return outcomeRefused, retryAfter
	}
	return outcomeUnknown, 0
}
