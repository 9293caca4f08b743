package load

import (
	"fmt"
	"net"
	"sync"
	"time"

	"foxwood/internal/http1"
)

// End is how a request ended for its client.
type End int

// The ends.
const (
	Served  End = iota // 200 with a body
	Refused            // 429 or 503
	Failed             // any other answer
	Unheard            // no answer in time, or none whole
	ends
)

var endNames = [ends]string{"served", "refused", "failed", "unheard"}

// String is the name of an end.
func (e End) String() string { return endNames[e] }

// pool is the connections to one target, the one used last first.
type pool struct {
	addr string
	mu   sync.Mutex
	free []*conn
	gone bool
}

type conn struct {
	net.Conn
	parser *http1.Parser
	used   bool
	buf    [4096]byte
}

func (p *pool) take(deadline time.Time) (*conn, error) {
	p.mu.Lock()
	if n := len(p.free); n > 0 {
		c := p.free[n-1]
		p.free = p.free[:n-1]
		p.mu.Unlock()
		c.used = true
		return c, nil
	}
	p.mu.Unlock()
	return p.dial(deadline)
}

func (p *pool) dial(deadline time.Time) (*conn, error) {
	c, err := net.DialTimeout("tcp", p.addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, parser: http1.Answers()}, nil
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		_ = c.Close()
		return
	}
	p.free = append(p.free, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	for _, c := range p.free {
		_ = c.Close()
	}
	p.free = nil
}

// ask sends one request in the platform's form and waits for its end. A connection that
// the gatekeeper had closed between requests is replaced once, as its clients do.
func (p *pool) ask(plan *Plan, a arrival, run string, intended time.Time) End {
	deadline := intended.Add(plan.Classes[a.class].Deadline)
	text := plan.text(a, run, time.Until(deadline))
	c, err := p.take(deadline)
	for {
		if err != nil {
			return Unheard
		}
		_ = c.SetDeadline(deadline)
		end, began, err := c.exchange(text)
		if err == nil {
			if c.parser.Message().Close {
				_ = c.Close()
			} else {
				p.put(c)
			}
			return end
		}
		_ = c.Close()
		if began || !c.used || !time.Now().Before(deadline) {
			return Unheard
		}
		if c, err = p.dial(deadline); err != nil {
			return Unheard
		}
	}
}

// exchange writes a request and reads its answer. began tells whether any of it came.
func (c *conn) exchange(text []byte) (end End, began bool, err error) {
	c.parser.Reset()
	if _, err := c.Write(text); err != nil {
		return Unheard, false, err
	}
	for {
		n, err := c.Read(c.buf[:])
		if err != nil {
			return Unheard, began, err
		}
		began = true
		_, done, err := c.parser.Feed(c.buf[:n])
		if err != nil {
			return Unheard, true, err
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

// text is a request in the platform's form (its protocol page, "Clients to gatekeepers").
func (p *Plan) text(a arrival, run string, left time.Duration) []byte {
	c := &p.Classes[a.class]
	b := fmt.Appendf(nil, "%s /api?class=%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s-%d\r\nX-Qos: %s\r\nX-Tier: %s\r\n"+
		"X-Api-Key: %016x\r\nX-Expires-In-Ms: %d\r\nX-Call-Terms: units=%g,spread=1,first=0\r\n",
		c.Method, c.Name, run, a.n, c.Name, p.PlanName, a.customer+1, max(left.Milliseconds(), 1), c.Units)
	if c.Method == "GET" {
		return append(b, "\r\n"...)
	}
	b = fmt.Appendf(b, "Idempotency-Key: %s-%d\r\nContent-Length: %d\r\n\r\n", run, a.n, p.Body)
	for range p.Body {
		b = append(b, 'x')
	}
	return b
}
