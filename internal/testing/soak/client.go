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
	clientsPerRate = 0.5 // clients for each request a second, as the larger deployments have it
	triesMost      = 3
	dialMost       = time.Second
	retryPause     = 50 * time.Millisecond // behind a failure that says no time
	shortest       = 20 * time.Millisecond // of a deadline with which it is worth trying
)

// outcome is how a try ended.
type outcome string

const (
	served    outcome = "served"
	refused   outcome = "refused"   // with a promise that nothing ran
	failed    outcome = "failed"    // with an answer that promises nothing
	closed    outcome = "closed"    // the connection ended without an answer
	timedOut  outcome = "timed out" // no answer within the deadline
	unreached outcome = "unreached" // no connection came up
	mixed     outcome = "mixed"     // an answer that is not this try's
)

// attempt is one try of a request.
type attempt struct {
	id          string
	gatekeeper  string // its address
	kept        bool   // on a connection that had carried an answer before
	sent, ended time.Time
	outcome     outcome
	status      int
	reason      string // the text of a refusal or failure
}

// request is what a client wants: one or more tries.
type request struct {
	at       time.Time
	took     time.Duration
	tenant   int
	kind     int
	client   int
	attempts []attempt
	reason   string // why it was never tried
}

func (r *request) last() *attempt {
	if len(r.attempts) == 0 {
		return &attempt{outcome: unreached, reason: r.reason}
	}
	return &r.attempts[len(r.attempts)-1]
}

func (r *request) served() bool { return r.last().outcome == served }

// connection is one to a gatekeeper, kept between requests.
type connection struct {
	net.Conn
	in   *bufio.Reader
	at   string
	used bool
}

// client is one caller: it has a tenant's key, asks the directory where to go, and keeps its connections until
// the other end closes them.
type client struct {
	crowd  *crowd
	index  int
	tenant int
	zone   zone

	mu        sync.Mutex
	idle      []*connection
	addresses []string
	until     time.Time
	asking    bool
}

// crowd is all clients.
type crowd struct {
	fleet    *fleet
	tenants  []tenant
	clients  []*client
	ofTenant [][]int
	sequence atomic.Uint64
	wait     sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

func newCrowd(f *fleet, size Size, tenants []tenant) *crowd {
	c := &crowd{fleet: f, tenants: tenants, ofTenant: make([][]int, len(tenants))}
	for t := range tenants {
		for range max(1, int(tenants[t].share*size.RatePerS*clientsPerRate)) {
			z := f.zones[len(c.clients)%len(f.zones)]
			c.ofTenant[t] = append(c.ofTenant[t], len(c.clients))
			c.clients = append(c.clients, &client{crowd: c, index: len(c.clients), tenant: t, zone: z})
		}
	}
	return c
}

// pick draws one of n by their shares.
func pick(n int, share func(int) float64) int {
	at := rand.Float64()
	for i := range n - 1 {
		if at -= share(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// run sends requests at a rate until the context ends, whether or not earlier ones were answered.
func (c *crowd) run(ctx context.Context, rate float64) {
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		tenant := pick(len(c.tenants), func(i int) float64 { return c.tenants[i].share })
		of := c.ofTenant[tenant]
		r := &request{at: time.Now(), tenant: tenant, kind: pick(len(kinds), func(i int) float64 { return kinds[i].share }), client: of[rand.IntN(len(of))]}
		c.wait.Go(func() {
			c.clients[r.client].serve(r)
			r.took = time.Since(r.at)
			c.mu.Lock()
			c.requests = append(c.requests, r)
			c.mu.Unlock()
		})
	}
	c.wait.Wait()
}

// hangUp closes all connections.
func (c *crowd) hangUp() {
	for _, l := range c.clients {
		l.mu.Lock()
		for _, k := range l.idle {
			_ = k.Close()
		}
		l.idle = nil
		l.mu.Unlock()
	}
}

// serve goes on with a request until it is served, out of time or out of tries.
func (l *client) serve(r *request) {
	k := &kinds[r.kind]
	var failedAt []string
	for len(r.attempts) < triesMost {
		left := k.deadline - time.Since(r.at)
		if left < shortest {
			return
		}
		conn, err := l.connect(failedAt, left, len(r.attempts) > 0)
		if err != nil {
			r.reason = err.Error()
			if conn != nil {
				failedAt = append(failedAt, conn.at)
			}
			time.Sleep(min(retryPause, left/3))
			continue
		}
		a := attempt{id: fmt.Sprintf("t%d", l.crowd.sequence.Add(1)), gatekeeper: conn.at, kept: conn.used}
		again, wait := l.try(conn, &a, k, k.deadline-time.Since(r.at))
		r.attempts = append(r.attempts, a)
		if a.outcome != served {
			failedAt = append(failedAt, conn.at)
		}
		if !again {
			return
		}
		time.Sleep(min(wait, (k.deadline-time.Since(r.at))/3))
	}
}

// connect takes a connection that is at rest, or opens one to an address by chance that has not failed this
// request. With an error, the connection names the address alone, where one was chosen.
func (l *client) connect(not []string, left time.Duration, fresh bool) (*connection, error) {
	if !fresh {
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
	left = min(left, dialMost)
	choice := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(not, a) })
	if len(choice) == 0 {
		choice = addresses
	}
	at := choice[rand.IntN(len(choice))]
	conn, err := net.DialTimeout("tcp", at, left)
	if err != nil {
		return &connection{at: at}, err
	}
	return &connection{Conn: conn, in: bufio.NewReader(conn), at: at}, nil
}

var errNowhere = errors.New("the directory names nobody")

// resolve is where the directory says that clients are to go. An old answer is kept where there is no new one.
func (l *client) resolve() ([]string, error) {
	l.mu.Lock()
	held, fresh := l.addresses, time.Now().Before(l.until)
	if fresh || l.asking && len(held) > 0 {
		l.mu.Unlock()
		return held, nil
	}
	l.asking = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.asking = false
		l.mu.Unlock()
	}()
	for range 3 {
		addresses, valid, err := l.ask()
		if err != nil || len(addresses) == 0 {
			continue
		}
		l.mu.Lock()
		l.addresses, l.until = addresses, time.Now().Add(valid)
		l.mu.Unlock()
		return addresses, nil
	}
	if len(held) == 0 {
		return nil, errNowhere
	}
	return held, nil
}

var directory = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ask asks one directory, those of the client's region first.
func (l *client) ask() (addresses []string, valid time.Duration, err error) {
	cores := l.crowd.fleet.cores
	at := cores[rand.IntN(len(cores))]
	for range 3 {
		if at.region == l.zone.region {
			break
		}
		at = cores[rand.IntN(len(cores))]
	}
	answer, err := directory.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", at.at(portDirectory), domain, l.zone.region, l.zone.name))
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	var told struct {
		Addresses []string `json:"addresses"`
		ValidS    float64  `json:"validS"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&told); err != nil {
		return nil, 0, err
	}
	return told.Addresses, time.Duration(told.ValidS * float64(time.Second)), nil
}

// try sends a try and reads its answer. It tells whether another try is allowed, and after which time.
func (l *client) try(conn *connection, a *attempt, k *kind, left time.Duration) (again bool, wait time.Duration) {
	answer, body, err := l.exchange(conn, a, k, left)
	a.ended = time.Now()
	if err != nil {
		_ = conn.Close()
		a.outcome, a.reason = closed, err.Error()
		if e, ok := errors.AsType[net.Error](err); ok && e.Timeout() {
			a.outcome = timedOut
		}
		idleEnded := a.kept && a.outcome == closed // it crossed the other end's close
		return k.safe || idleEnded, retryPause
	}
	a.status = answer.StatusCode
	switch {
	case answer.Header.Get("X-Foxwood-Try-Id") != a.id && answer.StatusCode < 300:
		a.outcome = mixed
	case answer.StatusCode < 300 && string(body) == standin.Body(a.id) && answer.Header.Get("X-Foxwood-Postmark") != "":
		a.outcome = served
	case answer.StatusCode < 300:
		a.outcome = mixed
	case answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable:
		a.outcome, a.reason = refused, string(bytes.TrimSpace(body))
	default:
		a.outcome, a.reason = failed, string(bytes.TrimSpace(body))
	}
	if answer.Close {
		_ = conn.Close()
	} else {
		conn.used = true
		l.mu.Lock()
		l.idle = append(l.idle, conn)
		l.mu.Unlock()
	}
	after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	wait = time.Duration(after * float64(time.Second))
	if err != nil {
		wait = retryPause
	}
	return a.outcome == refused || a.outcome == failed && k.safe && a.status >= 500, wait
}

// exchange writes a request and reads the answer whole.
func (l *client) exchange(conn *connection, a *attempt, k *kind, left time.Duration) (*http.Response, []byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: %s\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Time-Left: %d\r\nAuthorization: Bearer %s\r\n", k.method(), prefixOf(k), domain,
		a.id, left.Milliseconds(), l.crowd.tenants[l.tenant].key)
	if !k.safe {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.id))
	}
	b.WriteString("\r\n")
	if !k.safe {
		b.WriteString(a.id)
	}
	_ = conn.SetDeadline(time.Now().Add(left))
	a.sent = time.Now()
	if _, err := conn.Write(b.Bytes()); err != nil {
		return nil, nil, err
	}
	answer, err := http.ReadResponse(conn.in, &http.Request{Method: k.method()})
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, body, err
}
