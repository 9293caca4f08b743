package switchback

import (
	"bytes"
	"math"
	"net/http"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/link"
	"foxwood/internal/timetable"
	"foxwood/policy"
)

// The headers of the system's protocol.
const (
	headTry      = "X-Foxwood-Try-Id"
	headLeft     = "X-Foxwood-Time-Left"
	headPostmark = "X-Foxwood-Postmark"
	headSender   = "X-Foxwood-Sender"
	headExpect   = "X-Foxwood-Expect-Worker"
	headNever    = "X-Foxwood-Not-Delivered"
	headLoad     = "X-Foxwood-Worker-Load"
	headKey      = "Authorization"
	scheme       = "Bearer "
)

const (
	misdirected = 421
	tryMost     = 128  // bytes of a try's id
	noHomeWait  = 1000 // milliseconds that a client stays away which nobody may serve
	leaseWait   = 300  // milliseconds that a client stays away while keys can't be judged
)

// oneHop are the headers that concern one connection only, and those that this gatekeeper
// writes itself.
var oneHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization", headSender, headLeft, headExpect}

// try is what the front keeps of a client's try.
type try struct {
	id     string
	pool   *pool
	tenant string // whose quota it has drawn on, empty for none
	drawn  bool   // on our own bucket
	home   bool   // or on its home's
	again  bool   // its client has been refused before, or has lost as much time otherwise
	course int    // its number and one, where shedding counts

	route  *timetable.Course
	sender *timetable.Sender
	passed bool    // it was sent on
	copy   *copied // where it may be copied, nil else
}

// kind is what figures tell its requests by.
func (k *try) kind() requestKind {
	if k.pool == nil {
		return kindOf(k.route, "")
	}
	return kindOf(k.route, k.pool.name)
}

// caller is the tenant whose key it has, empty for none.
func (k *try) caller() string {
	if k.sender == nil {
		return ""
	}
	return k.sender.Name
}

// front speaks the system's protocol with clients and workers.
type front struct {
	p   *Proxy
	buf []byte

	load [3]float32
}

// Handle implements link.Front.
func (f *front) Handle(l *link.Client, m *http1.Message) {
	p := f.p
	p.counts.Requests++
	t := p.table
	if t == nil {
		p.refuse(l, http.StatusServiceUnavailable, leaseWait, "no configuration yet\n")
		return
	}
	host, ok := m.Single("Host")
	if !ok {
		l.Reject(http.StatusBadRequest, "not exactly one host\n")
		return
	}
	id, ok := m.Single(headTry)
	if !ok || len(id) == 0 || len(id) > tryMost {
		p.counts.Bad++
		l.Reject(http.StatusBadRequest, headTry+" is not there exactly once\n")
		return
	}
	path, _, _ := bytes.Cut(m.Target, []byte{'?'})
	course := t.Course(host, path)
	if course == nil {
		p.counts.NoRoute++
		l.Reply(http.StatusNotFound, "", "no such route\n")
		return
	}
	left := course.Deadline * 1000
	if text, ok := m.Single(headLeft); ok {
		v, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(v > 0) || math.IsInf(v, 0) {
			p.counts.Bad++
			l.Reject(http.StatusBadRequest, headLeft+" is not a number of milliseconds\n")
			return
		}
		left = min(left, v)
	} else if m.Count(headLeft) > 1 {
		p.counts.Bad++
		l.Reject(http.StatusBadRequest, headLeft+" stands twice\n")
		return
	}
	var sender *timetable.Sender
	if t.HasSenders {
		key, ok := m.Single(headKey)
		if ok && len(key) > len(scheme) && bytes.EqualFold(key[:len(scheme)], []byte(scheme)) {
			sender = t.Sender(bytes.TrimSpace(key[len(scheme):]))
		}
		if sender == nil && !course.Unsealed {
			p.counts.NoKey++
			l.Reply(http.StatusUnauthorized, "WWW-Authenticate: Bearer\r\n", "no such key\n")
			return
		}
	}
	pool := p.destination(course)
	k := &try{id: string(id), pool: pool, route: course, sender: sender}
	l.Value = k
	p.callers.read(p.clock.Now(), k.kind(), k.caller())
	if sender != nil && !p.keysHold() {
		p.counts.NoLease++
		p.refuse(l, http.StatusServiceUnavailable, leaseWait, "keys can't be judged now\n")
		return
	}
	if pool == nil {
		p.refuse(l, http.StatusServiceUnavailable, leaseWait, "no such service yet\n")
		return
	}
	homes := p.homes(course, sender)
	if homes == nowhere { // waiting would not help
		p.counts.NoHome++
		p.refuse(l, http.StatusServiceUnavailable, noHomeWait, "the route's homes and the tenant's have no region in common\n")
		return
	}
	if p.shed != nil && p.shed.refuses(l, m, course, k, sender, left) {
		return
	}
	r := &gatekeeper.Request{Name: k.id, Class: pool.class(course), Left: left, Units: 1, Spread: 1, Homes: homes,
		Payload: f.payload(m, sender)}
	if sender != nil {
		r.Plan, r.Customer = plan(sender.Priority), uint64(sender.Index)+1
	}
	if sender != nil && sender.RatePerS > 0 {
		k.again = p.stays[course.Index].Again(policy.Micros(left * 1000))
		p.drawOn(l, k, r, sender)
		return
	}
	p.submit(l, k, r)
}

// submit hands a request that its quota has let pass to its destination's core.
func (p *Proxy) submit(l *link.Client, k *try, r *gatekeeper.Request) {
	p.tries.Request(p.micros(), k.pool.name)
	if !l.SubmitTo(k.pool.core, r) { // a try of this id is open
		p.giveBack(l)
	}
}

// refuse answers at once with a promise that nothing ran, and says when to come back.
func (p *Proxy) refuse(l *link.Client, status int, after float64, text string) {
	p.unserved(l)
	l.Reply(status, "Retry-After: "+strconv.FormatFloat(max(after, 1)/1000, 'f', 3, 64)+"\r\n", text)
}

// unserved notes that a try ends without a worker's answer.
func (p *Proxy) unserved(l *link.Client) {
	if k, ok := l.Value.(*try); ok {
		p.callers.unserved(p.clock.Now(), k.kind(), k.caller())
	}
}

// Throttled implements link.Verdict: nothing will run. A safe request may have: what it drew on
// its quota is gone then, and what a worker has answered is its answer.
func (f *front) Throttled(l *link.Client, r *gatekeeper.Request, after float64) {
	if f.passOn(l, r) {
		f.p.counts.Failed++
		return
	}
	f.p.counts.Refused++
	if !r.Ran {
		f.p.giveBack(l)
	}
	if f.p.shed != nil {
		f.p.shed.turned(l)
	}
	f.p.refuse(l, http.StatusServiceUnavailable, max(after, 20), "too much to do\n")
}

// Failed implements link.Verdict: it may have run. A worker's own answer goes back as it is,
// unless its status would promise that nothing ran.
func (f *front) Failed(l *link.Client, r *gatekeeper.Request) {
	f.p.counts.Failed++
	if !f.passOn(l, r) {
		f.p.unserved(l)
		l.Reply(http.StatusBadGateway, "", "no whole answer\n")
	}
}

// passOn answers with the last failure that a worker has answered, where there is one.
func (f *front) passOn(l *link.Client, r *gatekeeper.Request) bool {
	a := r.Last
	if a == nil || a.Status < 300 || promises(a.Status) {
		return false
	}
	l.Answer(a.Status, a.Head, a.Body)
	return true
}

// promises tells whether a status tells a client that its request has not run.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == misdirected
}

// payload is what workers get to see of a request.
func (f *front) payload(m *http1.Message, sender *timetable.Sender) *link.Payload {
	b := make([]byte, 0, 512+len(m.Target)+len(m.Body))
	b = append(append(b, m.Method...), ' ')
	b = append(append(b, m.Target...), " HTTP/1.1\r\n"...)
	named := m.Get("Connection")
	m.Each(func(name, value []byte) {
		if passes(name, named) && !http1.EqualFold(name, headKey) {
			b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
		}
	})
	if sender != nil {
		b = append(append(append(b, headSender+": "...), sender.Name...), "\r\n"...)
	}
	switch {
	case m.Large && m.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case m.Large:
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(m.Length), 10), "\r\n"...)
	case len(m.Body) > 0 || m.Count("Content-Length") > 0 || m.Count("Transfer-Encoding") > 0:
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(m.Body)), 10), "\r\n"...)
	}
	head := len(b)
	b = append(b, m.Body...)
	return &link.Payload{Head: b[:head], Body: b[head:]}
}

// passes tells whether a header goes on past this hop. named is what Connection names.
func passes(name, named []byte) bool {
	for _, h := range oneHop {
		if http1.EqualFold(name, h) {
			return false
		}
	}
	for v := range bytes.SplitSeq(named, []byte{','}) {
		if v = bytes.TrimSpace(v); len(v) > 0 && bytes.EqualFold(v, name) {
			return false
		}
	}
	return true
}

// Left implements link.Reader.
func (f *front) Left() string { return headLeft }

// Mine implements link.Matcher: a worker may send a second answer late, in the place of the one
// that is due; the try's id tells them apart. A refusal that states none is taken only where the
// link has carried nothing else: it may be another request's second one, while this one runs.
func (f *front) Mine(x *gatekeeper.Execution, m *http1.Message, only bool) (mine, other bool) {
	id, ok := m.Single(headTry)
	switch {
	case ok:
	case m.Count(headTry) == 0 && notRun(m) && only:
		id = []byte(x.Request.Name)
	default:
		return false, false
	}
	if string(id) != x.Request.Name {
		f.p.counts.Foreign++
		return false, true
	}
	if m.Status == misdirected {
		f.p.misdirected(x)
	}
	if f.p.shed != nil {
		f.p.shed.answered(x, m)
	}
	return true, false
}

// Outcome implements link.Reader. Only the header that says so proves that a request never ran.
func (f *front) Outcome(m *http1.Message) gatekeeper.Outcome {
	o := gatekeeper.Outcome{Status: policy.Failed, Load: f.loadOf(m)}
	switch {
	case notRun(m):
		o.Status = policy.Full
		f.p.counts.NotDelivered++
		return o
	case m.Status >= 200 && m.Status < 300:
		if m.Count(headPostmark) != 1 || m.Count("Content-Encoding") > 0 {
			return o
		}
		o.Status = policy.OK
	}
	o.Answer = gatekeeper.Answer{Status: m.Status, Head: f.lines(m), Body: m.Body}
	return o
}

// loadOf is what a worker tells of its load: running, waiting, slots. It holds until the next.
func (f *front) loadOf(m *http1.Message) []float32 {
	v, ok := m.Single(headLoad)
	if !ok {
		return nil
	}
	for i := range f.load {
		part := v
		if at := bytes.IndexByte(v, ','); at >= 0 {
			part, v = v[:at], v[at+1:]
		} else if i < len(f.load)-1 {
			return nil
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(part)), 10, 16)
		if err != nil {
			return nil
		}
		f.load[i] = float32(n)
	}
	return f.load[:]
}

// notRun tells whether a worker says that it did not run a request.
func notRun(m *http1.Message) bool { return m.Count(headNever) > 0 || m.Status == misdirected }

// lines is the worker's header as its client gets it. That of an answer to a HEAD keeps the length
// that a GET would have.
func (f *front) lines(m *http1.Message) []byte {
	b := f.buf[:0]
	named := m.Get("Connection")
	m.Each(func(name, value []byte) {
		if passes(name, named) || m.Bare && http1.EqualFold(name, "Content-Length") {
			b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
		}
	})
	f.buf = b
	return b
}

// door answers the platform's question whether clients may come.
type door struct{ p *Proxy }

// Handle implements link.Front.
func (d door) Handle(l *link.Client, m *http1.Message) {
	path, _, _ := bytes.Cut(m.Target, []byte{'?'})
	switch {
	case string(path) != "/ready":
		l.Reply(http.StatusNotFound, "", "no such path\n")
	case !d.p.ready():
		l.Reply(http.StatusServiceUnavailable, "Retry-After: 0.5\r\n", "not ready\n")
	default:
		l.Reply(http.StatusOK, "", "ok\n")
	}
}
