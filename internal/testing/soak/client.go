package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"foxwood/internal/testing/standin"
)

const (
	clientsPerRate    = 0.5 // clients per request per second, as in larger deployments
	maxTries          = 3
	http10Every       = 4
	dialTimeout       = time.Second
	defaultRetryDelay = 50 * time.Millisecond // after a failure without Retry-After
	minTimeLeft       = 20 * time.Millisecond // time left until the deadline below which no attempt is made
)

// outcome is the result of an attempt.
type outcome string

// The outcomes.
const (
	outcomeServed     outcome = "served"
	outcomeRefused    outcome = "refused"   // 429 or 503, which guarantee that the request did not run
	outcomeFailed     outcome = "failed"    // any other response; the request may have run
	outcomeClosed     outcome = "closed"    // the connection ended without a response
	outcomeTimedOut   outcome = "timed out" // no response within the deadline
	outcomeUnreached  outcome = "unreached" // no connection could be established
	outcomeMismatched outcome = "mixed"     // the response belongs to a different attempt
)

// attempt is one attempt at a request.
type attempt struct {
	id              string
	gatekeeper      string // address of the gatekeeper
	reused          bool   // sent on a connection that had carried a response before
	sentAt, endedAt time.Time
	outcome         outcome
	status          int
	reason          string // body of a refusal or failure, or the error
}

// request is a request of a client with all attempts that were made for it.
type request struct {
	startedAt time.Time
	duration  time.Duration
	tenant    int // index into the tenants
	kind      int // index into requestKinds
	client    int // index into the clients
	attempts  []attempt
	reason    string // last error if no attempt was made
}

// lastAttempt returns the last attempt; for a request without attempts, one with the outcome unreached.
func (r *request) lastAttempt() *attempt {
	if len(r.attempts) == 0 {
		return &attempt{outcome: outcomeUnreached, reason: r.reason}
	}
	return &r.attempts[len(r.attempts)-1]
}

// wasServed reports whether the last attempt was served.
func (r *request) wasServed() bool { return r.lastAttempt().outcome == outcomeServed }

// connection is a connection to a gatekeeper that is kept open between requests.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
}

// client is a simulated client: it uses the key of a tenant, looks up gatekeepers in the directory, and keeps its
// connections until the other end closes them.
type client struct {
	pool   *clientPool
	index  int
	tenant int
	zone   zone

	mu                  sync.Mutex
	idle                []*connection
	addresses           []string
	addressesValidUntil time.Time
	resolving           bool
}

// clientPool is all simulated clients with the requests they made.
type clientPool struct {
	fleet           *fleet
	tenants         []tenant
	clients         []*client
	clientsOfTenant [][]int
	body            func(id string) string // body of the answer to an attempt
	someHTTP10      bool                   // one in http10Every clients speaks HTTP/1.0
	sequence        atomic.Uint64
	inFlight        sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

// newClientPool creates the clients of all tenants, at least one for each.
func newClientPool(f *fleet, size Size, tenants []tenant) *clientPool {
	pool := &clientPool{fleet: f, tenants: tenants, clientsOfTenant: make([][]int, len(tenants)), body: standin.ResponseBody}
	for tenant := range tenants {
		for range max(1, int(tenants[tenant].share*size.RatePerS*clientsPerRate)) {
			clientZone := f.zones[len(pool.clients)%len(f.zones)]
			pool.clientsOfTenant[tenant] = append(pool.clientsOfTenant[tenant], len(pool.clients))
			pool.clients = append(pool.clients, &client{pool: pool, index: len(pool.clients), tenant: tenant, zone: clientZone})
		}
	}
	return pool
}

// pickByShare draws one of n indexes with the probabilities given by their shares.
func pickByShare(n int, share func(int) float64) int {
	remaining := rand.Float64()
	for i := range n - 1 {
		if remaining -= share(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// run sends requests with random gaps at a mean rate per second until the context ends, whether or not earlier ones
// were answered (an open loop), and waits for the responses.
func (c *clientPool) run(ctx context.Context, rate float64) {
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		tenant := pickByShare(len(c.tenants), func(i int) float64 { return c.tenants[i].share })
		tenantClients := c.clientsOfTenant[tenant]
		req := &request{startedAt: time.Now(), tenant: tenant, kind: pickByShare(len(requestKinds), func(i int) float64 { return requestKinds[i].requestShare }), client: tenantClients[rand.IntN(len(tenantClients))]}
		c.inFlight.Go(func() {
			c.clients[req.client].serve(req)
			req.duration = time.Since(req.startedAt)
			c.mu.Lock()
			c.requests = append(c.requests, req)
			c.mu.Unlock()
		})
	}
	c.inFlight.Wait()
}

// closeConnections closes all idle connections.
func (c *clientPool) closeConnections() {
	for _, client := range c.clients {
		client.mu.Lock()
		for _, conn := range client.idle {
			_ = conn.Close()
		}
		client.idle = nil
		client.mu.Unlock()
	}
}

// serve makes attempts until the request is served, its deadline is reached, no retry is allowed, or maxTries is reached.
func (l *client) serve(r *request) {
	kind := &requestKinds[r.kind]
	var failedAt []string
	for len(r.attempts) < maxTries {
		timeLeft := kind.deadline - time.Since(r.startedAt)
		if timeLeft < minTimeLeft {
			return
		}
		conn, err := l.connect(failedAt, timeLeft, len(r.attempts) > 0)
		if err != nil {
			r.reason = err.Error()
			if conn != nil {
				failedAt = append(failedAt, conn.address)
			}
			time.Sleep(min(defaultRetryDelay, timeLeft/3))
			continue
		}
		try := attempt{id: fmt.Sprintf("t%d", l.pool.sequence.Add(1)), gatekeeper: conn.address, reused: conn.reused}
		retry, delay := l.sendAttempt(conn, &try, kind, kind.deadline-time.Since(r.startedAt))
		r.attempts = append(r.attempts, try)
		if try.outcome != outcomeServed {
			failedAt = append(failedAt, conn.address)
		}
		if !retry {
			return
		}
		time.Sleep(min(delay, (kind.deadline-time.Since(r.startedAt))/3))
	}
}

// connect returns an idle connection, unless mustDial is set, or opens one to a random address that is not excluded
// because it failed this request before. On a dial error, the returned connection holds only the address.
func (l *client) connect(excluded []string, timeout time.Duration, mustDial bool) (*connection, error) {
	if !mustDial {
		l.mu.Lock()
		if n := len(l.idle); n > 0 {
			conn := l.idle[n-1]
			l.idle = l.idle[:n-1]
			l.mu.Unlock()
			return conn, nil
		}
		l.mu.Unlock()
	}
	addresses, err := l.resolve()
	if err != nil {
		return nil, err
	}
	timeout = min(timeout, dialTimeout)
	candidates := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(excluded, a) })
	if len(candidates) == 0 {
		candidates = addresses
	}
	address := candidates[rand.IntN(len(candidates))]
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return &connection{address: address}, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), address: address}, nil
}

// errNoAddresses is returned while the client has never received an address from the directory.
var errNoAddresses = errors.New("the directory names nobody")

// resolve returns the addresses of gatekeepers that the directory gives to clients. If the directory does not answer, it
// returns the expired ones.
func (l *client) resolve() ([]string, error) {
	l.mu.Lock()
	cached, fresh := l.addresses, time.Now().Before(l.addressesValidUntil)
	if fresh || l.resolving && len(cached) > 0 {
		l.mu.Unlock()
		return cached, nil
	}
	l.resolving = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.resolving = false
		l.mu.Unlock()
	}()
	for range 3 {
		addresses, valid, err := l.queryDirectory()
		if err != nil || len(addresses) == 0 {
			continue
		}
		l.mu.Lock()
		l.addresses, l.addressesValidUntil = addresses, time.Now().Add(valid)
		l.mu.Unlock()
		return addresses, nil
	}
	if len(cached) == 0 {
		return nil, errNoAddresses
	}
	return cached, nil
}

// directoryClient sends queries to the directory.
var directoryClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// queryDirectory queries the directory on a random core machine, preferably one in the client's region.
func (l *client) queryDirectory() (addresses []string, valid time.Duration, err error) {
	cores := l.pool.fleet.cores
	core := cores[rand.IntN(len(cores))]
	for range 3 {
		if core.region == l.zone.region {
			break
		}
		core = cores[rand.IntN(len(cores))]
	}
	response, err := directoryClient.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", core.at(portDirectory), domain, l.zone.region, l.zone.name))
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var resolved struct {
		Addresses []string `json:"addresses"`
		ValidS    float64  `json:"validS"`
	}
	if err := json.NewDecoder(response.Body).Decode(&resolved); err != nil {
		return nil, 0, err
	}
	return resolved.Addresses, time.Duration(resolved.ValidS * float64(time.Second)), nil
}

// sendAttempt sends an attempt and reads the response. It reports whether a retry is allowed, and after which delay.
func (l *client) sendAttempt(conn *connection, try *attempt, kind *requestKind, timeLeft time.Duration) (retry bool, delay time.Duration) {
	response, body, err := l.exchange(conn, try, kind, timeLeft)
	try.endedAt = time.Now()
	if err != nil {
		_ = conn.Close()
		try.outcome, try.reason = outcomeClosed, err.Error()
		if e, ok := errors.AsType[net.Error](err); ok && e.Timeout() {
			try.outcome = outcomeTimedOut
		}
		closedWhileIdle := try.reused && try.outcome == outcomeClosed // the request crossed with the other end closing the connection
		return kind.safe || closedWhileIdle, defaultRetryDelay
	}
	try.status = response.StatusCode
	switch {
	case response.Header.Get("X-Foxwood-Try-Id") != try.id && response.StatusCode < 300:
		try.outcome = outcomeMismatched
	case response.StatusCode < 300 && string(body) == l.pool.body(try.id) && response.Header.Get("X-Foxwood-Postmark") != "":
		try.outcome = outcomeServed
	case response.StatusCode < 300:
		try.outcome = outcomeMismatched
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		try.outcome, try.reason = outcomeRefused, string(bytes.TrimSpace(body))
	default:
		try.outcome, try.reason = outcomeFailed, string(bytes.TrimSpace(body))
	}
	if response.Close {
		_ = conn.Close()
	} else {
		conn.reused = true
		l.mu.Lock()
		l.idle = append(l.idle, conn)
		l.mu.Unlock()
	}
	retryAfterS, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	delay = time.Duration(retryAfterS * float64(time.Second))
	if err != nil {
		delay = defaultRetryDelay
	}
	return try.outcome == outcomeRefused || try.outcome == outcomeFailed && kind.safe && try.status >= 500, delay
}

// exchange writes a request and reads the whole response.
func (l *client) exchange(conn *connection, try *attempt, kind *requestKind, timeLeft time.Duration) (*http.Response, []byte, error) {
	var message bytes.Buffer
	version := "HTTP/1.1"
	if l.pool.someHTTP10 && l.index%http10Every == 0 {
		version = "HTTP/1.0"
	}
	fmt.Fprintf(&message, "%s %sx %s\r\nHost: %s\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Time-Left: %d\r\nAuthorization: Bearer %s\r\n", kind.method(), routePrefix(kind), version, domain,
		try.id, timeLeft.Milliseconds(), l.pool.tenants[l.tenant].key)
	if !kind.safe {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(try.id))
	}
	message.WriteString("\r\n")
	if !kind.safe {
		message.WriteString(try.id)
	}
	_ = conn.SetDeadline(time.Now().Add(timeLeft))
	try.sentAt = time.Now()
	if _, err := conn.Write(message.Bytes()); err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: kind.method()})
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
