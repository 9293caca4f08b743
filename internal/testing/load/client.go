package load

import (
	"fmt"
	"net"
	"sync"
	"time"

	"foxwood/internal/dataplane/http1"
)

// Outcome is the result of a request as its client sees it.
type Outcome int

// The results.
const (
	Served     Outcome = iota // status 200
	Refused                   // status 429 or 503
	Failed                    // any other status
	NoResponse                // no complete response before the deadline
	endCount
)

// endNames are the names that reports use.
var endNames = [endCount]string{"served", "refused", "failed", "unheard"}

// String returns the name of the result.
func (e Outcome) String() string { return endNames[e] }

// pool holds the connections to a target. The idle connection that was used last is reused
// first.
type pool struct {
	addr   string
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	parser *http1.Parser
	reused bool
	buffer [4096]byte
}

// acquire returns an idle connection or opens a new one.
func (p *pool) acquire(deadline time.Time) (*conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		connection := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		connection.reused = true
		return connection, nil
	}
	p.mu.Unlock()
	return p.dial(deadline)
}

// dial opens a connection.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	netConn, err := net.DialTimeout("tcp", p.addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: netConn, parser: http1.NewResponseParser()}, nil
}

// release returns a connection to the pool.
func (p *pool) release(connection *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = connection.Close()
		return
	}
	p.idle = append(p.idle, connection)
}

// close closes the idle connections, and makes release close all others.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, connection := range p.idle {
		_ = connection.Close()
	}
	p.idle = nil
}

// send sends a request in the platform's protocol and waits for the result. If a reused
// connection fails before any byte of the response, the request is sent again on a new
// connection, as real clients do when the gatekeeper has closed an idle connection.
func (p *pool) send(plan *Plan, arrival arrival, runID string, intended time.Time) Outcome {
	deadline := intended.Add(plan.Classes[arrival.class].Deadline)
	message := plan.encodeRequest(arrival, runID, time.Until(deadline))
	connection, err := p.acquire(deadline)
	for {
		if err != nil {
			return NoResponse
		}
		_ = connection.SetDeadline(deadline)
		end, responseStarted, err := connection.exchange(message)
		if err == nil {
			if connection.parser.Message().Close {
				_ = connection.Close()
			} else {
				p.release(connection)
			}
			return end
		}
		_ = connection.Close()
		if responseStarted || !connection.reused || !time.Now().Before(deadline) {
			return NoResponse
		}
		if connection, err = p.dial(deadline); err != nil {
			return NoResponse
		}
	}
}

// exchange writes a request and reads the response. responseStarted reports whether any byte of
// the response was received.
func (c *conn) exchange(message []byte) (end Outcome, responseStarted bool, err error) {
	c.parser.Reset()
	if _, err := c.Write(message); err != nil {
		return NoResponse, false, err
	}
	for {
		n, err := c.Read(c.buffer[:])
		if err != nil {
			return NoResponse, responseStarted, err
		}
		responseStarted = true
		_, done, err := c.parser.Feed(c.buffer[:n])
		if err != nil {
			return NoResponse, true, err
		}
		if done {
			break
		}
	}
	switch c.parser.Message().Status {
	case 200:
		return Served, true, nil
	case 429, 503:
		return Refused, true, nil
	}
	return Failed, true, nil
}

// encodeRequest returns a request in the platform's protocol (section "Clients to gatekeepers"
// of the protocol page).
func (p *Plan) encodeRequest(arrival arrival, runID string, timeLeft time.Duration) []byte {
	class := &p.Classes[arrival.class]
	message := fmt.Appendf(nil, "%s /api?class=%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s-%d\r\nX-Qos: %s\r\nX-Tier: %s\r\n"+
		"X-Api-Key: %016x\r\nX-Expires-In-Ms: %d\r\nX-Call-Terms: units=%g,spread=1,first=0\r\n",
		class.Method, class.Name, runID, arrival.sequence, class.Name, p.TariffPlan, arrival.customer+1, max(timeLeft.Milliseconds(), 1), class.Units)
	if class.Method == "GET" {
		return append(message, "\r\n"...)
	}
	message = fmt.Appendf(message, "Idempotency-Key: %s-%d\r\nContent-Length: %d\r\n\r\n", runID, arrival.sequence, p.BodyBytes)
	for range p.BodyBytes {
		message = append(message, 'x')
	}
	return message
}
