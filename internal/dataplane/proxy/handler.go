package proxy

import (
	"bytes"
	"math"
	"net/http"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/link"
	"foxwood/policy"
)

// Headers of the protocol between clients, gatekeepers and workers.
const (
	headerTryID         = "X-Foxwood-Try-Id"
	headerTimeLeft      = "X-Foxwood-Time-Left"
	headerPostmark      = "X-Foxwood-Postmark"
	headerSender        = "X-Foxwood-Sender"
	headerExpectWorker  = "X-Foxwood-Expect-Worker"
	headerNotDelivered  = "X-Foxwood-Not-Delivered"
	headerWorkerLoad    = "X-Foxwood-Worker-Load"
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer "
)

const (
	statusMisdirected = 421  // the address belongs to another process than the expected worker
	maxTryIDBytes     = 128  // length of the id of a client's attempt
	noRegionRetryMs   = 1000 // milliseconds after which a client may retry if no region may serve it
	notReadyRetryMs   = 300  // milliseconds after which a client may retry while the configuration or the lease on keys is missing
)

// perHopHeaders are the headers that are not forwarded: those that concern one connection only and those that the
// gatekeeper writes itself.
var perHopHeaders = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization", headerSender, headerTimeLeft, headerExpectWorker}

// clientAttempt is the state of one attempt of a client to have a request served.
type clientAttempt struct {
	id              string
	pool            *pool
	tenant          string // whose quota was charged, empty for none
	tokenTaken      bool   // a token was taken from this gatekeeper's own bucket
	ownerTokenTaken bool   // a token was taken from the bucket of the quota's owner
	retried         bool   // the client was refused before, or has lost as much time otherwise
	routeNumber     int    // index of the route plus 1, 0 if load shedding is off

	route     *routeconfig.Route
	sender    *routeconfig.Tenant
	forwarded bool      // it was forwarded to a worker
	mirrored  *mirrored // nil if it is not to be mirrored
}

// kind returns the kind that metrics count the attempt under.
func (k *clientAttempt) kind() requestKind {
	if k.pool == nil {
		return kindOf(k.route, "")
	}
	return kindOf(k.route, k.pool.name)
}

// caller returns the name of the tenant that the key belongs to, or "" without a key.
func (k *clientAttempt) caller() string {
	if k.sender == nil {
		return ""
	}
	return k.sender.Name
}

// handler speaks the protocol with clients and workers. Its methods run on the loop.
type handler struct {
	p   *Proxy
	buf []byte // reused for the headers of answers

	load [3]float32 // reused for the load that a worker reports
}

// Handle implements link.RequestHandler: it serves one request of a client.
func (f *handler) Handle(client *link.ClientConn, msg *http1.Message) {
	p := f.p
	p.counts.Requests++
	config := p.config
	if config == nil {
		p.refuse(client, http.StatusServiceUnavailable, notReadyRetryMs, "no configuration yet\n")
		return
	}
	host, ok := msg.Unique("Host")
	if !ok {
		client.RespondTextAndClose(http.StatusBadRequest, "not exactly one host\n")
		return
	}
	id, ok := msg.Unique(headerTryID)
	if !ok || len(id) == 0 || len(id) > maxTryIDBytes {
		p.counts.Malformed++
		client.RespondTextAndClose(http.StatusBadRequest, headerTryID+" is not there exactly once\n")
		return
	}
	path, _, _ := bytes.Cut(msg.Target, []byte{'?'})
	route := config.Route(host, path)
	if route == nil {
		p.counts.NoRoute++
		client.RespondText(http.StatusNotFound, "", "no such route\n")
		return
	}
	timeLeft := route.DeadlineS * 1000
	if text, ok := msg.Unique(headerTimeLeft); ok {
		value, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(value > 0) || math.IsInf(value, 0) {
			p.counts.Malformed++
			client.RespondTextAndClose(http.StatusBadRequest, headerTimeLeft+" is not a number of milliseconds\n")
			return
		}
		timeLeft = min(timeLeft, value)
	} else if msg.Count(headerTimeLeft) > 1 {
		p.counts.Malformed++
		client.RespondTextAndClose(http.StatusBadRequest, headerTimeLeft+" stands twice\n")
		return
	}
	var sender *routeconfig.Tenant
	if config.RequiresKeys {
		key, ok := msg.Unique(headerAuthorization)
		if ok && len(key) > len(bearerScheme) && bytes.EqualFold(key[:len(bearerScheme)], []byte(bearerScheme)) {
			sender = config.TenantByKey(bytes.TrimSpace(key[len(bearerScheme):]))
		}
		if sender == nil && !route.NoKeyRequired {
			p.counts.NoKey++
			client.RespondText(http.StatusUnauthorized, "WWW-Authenticate: Bearer\r\n", "no such key\n")
			return
		}
	}
	pool := p.destination(route)
	attempt := &clientAttempt{id: string(id), pool: pool, route: route, sender: sender}
	client.UserData = attempt
	p.requestStats.countRead(p.clock.Now(), attempt.kind(), attempt.caller())
	if sender != nil && !p.keysValid() {
		p.counts.NoKeyLease++
		p.refuse(client, http.StatusServiceUnavailable, notReadyRetryMs, "keys can't be judged now\n")
		return
	}
	if pool == nil {
		p.refuse(client, http.StatusServiceUnavailable, notReadyRetryMs, "no such service yet\n")
		return
	}
	regions := p.allowedRegions(route, sender)
	if regions == noRegion { // a retry would not help
		p.counts.NoCommonRegion++
		p.refuse(client, http.StatusServiceUnavailable, noRegionRetryMs, "the route's homes and the tenant's have no region in common\n")
		return
	}
	if p.shedder != nil && p.shedder.refuses(client, msg, route, attempt, sender, timeLeft) {
		return
	}
	request := &gatekeeper.Request{Name: attempt.id, Class: pool.class(route), TimeLeft: timeLeft, EstimatedUnits: 1, GatekeeperCount: 1, Regions: regions,
		Payload: f.payload(msg, sender)}
	if sender != nil {
		request.Plan, request.Customer = planOf(sender.Priority), uint64(sender.Index)+1
	}
	if sender != nil && sender.RatePerS > 0 {
		attempt.retried = p.clientPatience[route.Index].IsRetry(policy.Micros(timeLeft * 1000))
		p.takeToken(client, attempt, request, sender)
		return
	}
	p.submit(client, attempt, request)
}

// submit passes a request that its quota has admitted to the core of its destination.
func (p *Proxy) submit(client *link.ClientConn, attempt *clientAttempt, request *gatekeeper.Request) {
	p.retryBudget.CountRequest(p.micros(), attempt.pool.name)
	if !client.SubmitTo(attempt.pool.core, request) { // an attempt with this id is open already
		p.giveBack(client)
	}
}

// refuse answers that nothing ran, and states in milliseconds when the client may retry.
func (p *Proxy) refuse(client *link.ClientConn, status int, retryMs float64, text string) {
	p.unserved(client)
	client.RespondText(status, "Retry-After: "+strconv.FormatFloat(max(retryMs, 1)/1000, 'f', 3, 64)+"\r\n", text)
}

// unserved counts an attempt that ends without a worker's answer.
func (p *Proxy) unserved(client *link.ClientConn) {
	if attempt, ok := client.UserData.(*clientAttempt); ok {
		p.requestStats.countUnserved(p.clock.Now(), attempt.kind(), attempt.caller())
	}
}

// Throttled implements link.FinalResponder: no worker will run the request any more. A safe request may have run already;
// then its token stays spent, and if a worker has answered with a failure, that is the answer.
func (f *handler) Throttled(client *link.ClientConn, request *gatekeeper.Request, retryMs float64) {
	if f.passOn(client, request) {
		f.p.counts.Failed++
		return
	}
	f.p.counts.Refused++
	if !request.MayHaveRun {
		f.p.giveBack(client)
	}
	if f.p.shedder != nil {
		f.p.shedder.noRoom(client)
	}
	f.p.refuse(client, http.StatusServiceUnavailable, max(retryMs, 20), "too much to do\n")
}

// Failed implements link.FinalResponder: the request may have run. A worker's own answer is passed on, unless its status
// would tell the client that nothing ran.
func (f *handler) Failed(client *link.ClientConn, request *gatekeeper.Request) {
	f.p.counts.Failed++
	if !f.passOn(client, request) {
		f.p.unserved(client)
		client.RespondText(http.StatusBadGateway, "", "no whole answer\n")
	}
}

// passOn answers with the last failure that a worker has answered, if there is one that may be passed on.
func (f *handler) passOn(client *link.ClientConn, request *gatekeeper.Request) bool {
	answer := request.LastError
	if answer == nil || answer.Status < 300 || promisesNotRun(answer.Status) {
		return false
	}
	client.Respond(answer.Status, answer.HeaderLines, answer.Body)
	return true
}

// promisesNotRun tells whether a status tells the client that its request has not run.
func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == statusMisdirected
}

// payload builds the request as it is sent to workers.
func (f *handler) payload(msg *http1.Message, sender *routeconfig.Tenant) *link.Payload {
	text := make([]byte, 0, 512+len(msg.Target)+len(msg.Body))
	text = append(append(text, msg.Method...), ' ')
	text = append(append(text, msg.Target...), " HTTP/1.1\r\n"...)
	connection := msg.Get("Connection")
	msg.EachField(func(name, value []byte) {
		if isForwarded(name, connection) && !http1.EqualFold(name, headerAuthorization) {
			text = append(append(append(append(text, name...), ": "...), value...), "\r\n"...)
		}
	})
	if sender != nil {
		text = append(append(append(text, headerSender+": "...), sender.Name...), "\r\n"...)
	}
	switch {
	case msg.Streamed && msg.Length < 0:
		text = append(text, "Transfer-Encoding: chunked\r\n"...)
	case msg.Streamed:
		text = append(text, "Content-Length: "...)
		text = append(strconv.AppendInt(text, int64(msg.Length), 10), "\r\n"...)
	case len(msg.Body) > 0 || msg.Count("Content-Length") > 0 || msg.Count("Transfer-Encoding") > 0:
		text = append(text, "Content-Length: "...)
		text = append(strconv.AppendInt(text, int64(len(msg.Body)), 10), "\r\n"...)
	}
	headLen := len(text)
	text = append(text, msg.Body...)
	return &link.Payload{Head: text[:headLen], Body: text[headLen:]}
}

// isForwarded tells whether a header is forwarded. The value of the Connection header is given as connection.
func isForwarded(name, connection []byte) bool {
	for _, header := range perHopHeaders {
		if http1.EqualFold(name, header) {
			return false
		}
	}
	for field := range bytes.SplitSeq(connection, []byte{','}) {
		if field = bytes.TrimSpace(field); len(field) > 0 && bytes.EqualFold(field, name) {
			return false
		}
	}
	return true
}

// TimeLeftHeader implements link.ResponseReader: it returns the header that tells a worker how much time is left.
func (f *handler) TimeLeftHeader() string { return headerTimeLeft }

// Mine implements link.ResponseMatcher. A worker may send a second answer late, in place of the one that is due, so the
// attempt's id has to match. A refusal without an id is accepted only if the connection has carried nothing else:
// otherwise it may be a late second answer to an earlier request, while this one runs.
func (f *handler) Mine(execution *gatekeeper.Execution, msg *http1.Message, only bool) (mine, other bool) {
	id, ok := msg.Unique(headerTryID)
	switch {
	case ok:
	case msg.Count(headerTryID) == 0 && notRun(msg) && only:
		id = []byte(execution.Request.Name)
	default:
		return false, false
	}
	if string(id) != execution.Request.Name {
		f.p.counts.ForeignAnswers++
		return false, true
	}
	if msg.Status == statusMisdirected {
		f.p.misdirected(execution)
	}
	if f.p.shedder != nil {
		f.p.shedder.answered(execution, msg)
	}
	return true, false
}

// Outcome implements link.ResponseReader. Only the header for undelivered requests, or a status 421, proves that a request
// never ran.
func (f *handler) Outcome(msg *http1.Message) gatekeeper.Outcome {
	outcome := gatekeeper.Outcome{Status: policy.Failed, Load: f.loadOf(msg)}
	switch {
	case notRun(msg):
		outcome.Status = policy.Full
		f.p.counts.NotDelivered++
		return outcome
	case msg.Status >= 200 && msg.Status < 300:
		if msg.Count(headerPostmark) != 1 || msg.Count("Content-Encoding") > 0 {
			return outcome
		}
		outcome.Status = policy.OK
	}
	outcome.Answer = gatekeeper.Answer{Status: msg.Status, HeaderLines: f.forwardedHeaders(msg), Body: msg.Body}
	return outcome
}

// loadOf returns the load that a worker reports: running requests, waiting requests, slots. The result is overwritten
// by the next call.
func (f *handler) loadOf(msg *http1.Message) []float32 {
	value, ok := msg.Unique(headerWorkerLoad)
	if !ok {
		return nil
	}
	for i := range f.load {
		part := value
		if at := bytes.IndexByte(value, ','); at >= 0 {
			part, value = value[:at], value[at+1:]
		} else if i < len(f.load)-1 {
			return nil
		}
		number, err := strconv.ParseUint(string(bytes.TrimSpace(part)), 10, 16)
		if err != nil {
			return nil
		}
		f.load[i] = float32(number)
	}
	return f.load[:]
}

// notRun tells whether a worker states that it did not run a request.
func notRun(msg *http1.Message) bool {
	return msg.Count(headerNotDelivered) > 0 || msg.Status == statusMisdirected
}

// forwardedHeaders returns the worker's headers that are passed on to the client. The answer to a HEAD request keeps
// its Content-Length, which is the length of the answer to a GET.
func (f *handler) forwardedHeaders(msg *http1.Message) []byte {
	lines := f.buf[:0]
	connection := msg.Get("Connection")
	msg.EachField(func(name, value []byte) {
		if isForwarded(name, connection) || msg.HeadResponse && http1.EqualFold(name, "Content-Length") {
			lines = append(append(append(append(lines, name...), ": "...), value...), "\r\n"...)
		}
	})
	f.buf = lines
	return lines
}

// readinessHandler answers the platform's readiness checks.
type readinessHandler struct{ p *Proxy }

// Handle implements link.RequestHandler: it answers /ready with 200 or 503.
func (d readinessHandler) Handle(client *link.ClientConn, msg *http1.Message) {
	path, _, _ := bytes.Cut(msg.Target, []byte{'?'})
	switch {
	case string(path) != "/ready":
		client.RespondText(http.StatusNotFound, "", "no such path\n")
	case !d.p.ready():
		client.RespondText(http.StatusServiceUnavailable, "Retry-After: 0.5\r\n", "not ready\n")
	default:
		client.RespondText(http.StatusOK, "", "ok\n")
	}
}
