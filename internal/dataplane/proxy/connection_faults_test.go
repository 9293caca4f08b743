package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
)

// The tests in this file cause faults at every byte of what goes over a connection, and record all exchanges in a log
// that tells whether the guarantees hold.

// exchangeLog records what workers have received and clients were answered, by the id of the attempt.
type exchangeLog struct {
	mu         sync.Mutex
	runs       map[string]int // complete requests that a worker has run
	answers    map[string]clientAnswer
	violations []string
	incomplete []string       // requests that did not arrive completely
	serving    sync.WaitGroup // the goroutines of the workers' connections
	conns      []net.Conn
}

// clientAnswer is what a client was answered.
type clientAnswer struct {
	unsafe   bool
	status   int
	complete bool
	postmark string
	body     string
}

// newExchangeLog returns an empty log.
func newExchangeLog() *exchangeLog {
	return &exchangeLog{runs: map[string]int{}, answers: map[string]clientAnswer{}}
}

// violation records a violated guarantee.
func (g *exchangeLog) violation(format string, a ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations = append(g.violations, fmt.Sprintf(format, a...))
}

// recordRun records that a worker runs a request.
func (g *exchangeLog) recordRun(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id]++
}

// recordAnswer records what a client was answered.
func (g *exchangeLog) recordAnswer(id string, a clientAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers[id] = a
}

// answerShape is the form of a worker's answer on the wire.
type answerShape struct {
	name, method string
	size         int // of the body, in bytes
	chunked      bool
	interim      bool
}

// answerShapes are the forms that are tested.
var answerShapes = []answerShape{
	{name: "by length", method: "POST", size: 8},
	{name: "in chunks", method: "POST", size: 8, chunked: true},
	{name: "to a HEAD", method: "HEAD", size: 8},
	{name: "behind a 103", method: "POST", size: 8, interim: true},
	{name: "long, by length", method: "POST", size: 70200},
	{name: "long, in chunks", method: "POST", size: 70200, chunked: true},
}

// bodyOf returns the body of the answer to an attempt. It differs from the body for any other attempt.
func (f answerShape) bodyOf(id string) string {
	return strings.Repeat(id+".", f.size/(len(id)+1)+1)[:f.size]
}

// answer returns the bytes of the answer to an attempt.
func (f answerShape) answer(id string) string {
	b, body := "", f.bodyOf(id)
	if f.interim {
		b = "HTTP/1.1 103 E\r\nLink: </x>\r\n\r\n"
	}
	b += "HTTP/1.1 200 OK\r\nX-Foxwood-Postmark: " + id + "\r\n" + tryIDPrefix + id + "\r\n"
	switch {
	case f.method == http.MethodHead:
		return b + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case f.chunked:
		one, two := body[:len(body)/3], body[len(body)/3:]
		return b + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(one), one, len(two), two)
	}
	return b + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// faultOffsets returns the offsets, from a given one on, at which a fault happens: every offset of a short answer; of
// a long one, whose headers are like those of a short one, some offsets in the headers, those around its chunks, and
// the last ones.
func faultOffsets(from int, text string) (offsets []int) {
	for i := range len(text) {
		if len(text) < 1000 || i < 160 && i%16 == 0 || i%30011 == 0 || i > 23390 && i < 23430 || i > len(text)-9 {
			offsets = append(offsets, from+i)
		}
	}
	return append(offsets, from+len(text))
}

// faultKind is what happens to a connection at an offset.
type faultKind string

// The kinds of faults.
const (
	faultCut    faultKind = "cut"     // closed in one direction, the other one stays open
	faultReset  faultKind = "reset"   // reset
	faultStall  faultKind = "stall"   // nothing more is sent
	faultNone   faultKind = "split"   // no fault: the bytes are sent in two pieces
	faultRepeat faultKind = "doubled" // that many bytes are sent once more at once
)

// connScript is the script of one case's workers. The first connection on which they get a request has the fault; all
// other connections have none.
type connScript struct {
	prefix          string // of the workers' names
	log             *exchangeLog
	shape           answerShape
	answers         []string // what is written for each request in turn
	fault           faultKind
	offset          int // offset in all answers together
	mu              sync.Mutex
	faultTaken      bool        // the connection with the fault is chosen
	reachedRequests [2]bool     // requests that arrived on the connection with the fault
	written         []chan bool // closed when the answer to a request has been written
}

// takeFault tells whether the calling connection is the one with the fault.
func (o *connScript) takeFault() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.faultTaken
	o.faultTaken = true
	return !before
}

// noteReached records that a request arrived on the connection with the fault.
func (o *connScript) noteReached(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reachedRequests[n] = true
}

// hasReached tells whether a request arrived on the connection with the fault.
func (o *connScript) hasReached(n int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reachedRequests[n]
}

// serve serves a worker's connection.
func (o *connScript) serve(c net.Conn) {
	defer o.log.serving.Done()
	defer c.Close()
	o.log.mu.Lock()
	o.log.conns = append(o.log.conns, c)
	o.log.mu.Unlock()
	reader, faulty, afterFault := bufio.NewReader(c), false, false
	for number, writtenBytes := 0, 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(headerTryID)
		if !strings.HasPrefix(r.Header.Get(headerExpectWorker), o.prefix) {
			return // a request of another process for an earlier user of this address
		}
		if afterFault {
			o.log.violation("%s was sent on a connection after its fault", id)
		}
		if want := "body of " + id; r.Method == http.MethodPost && string(body) != want {
			o.log.violation("body of %s arrived as %q", id, body)
		}
		o.log.recordRun(id)
		if number == 0 {
			faulty = o.takeFault()
		}
		if !faulty || number >= len(o.answers) {
			if _, err := io.WriteString(c, o.shape.answer(id)); err != nil {
				return
			}
			continue
		}
		o.noteReached(number)
		answer := o.answers[number]
		faultHere := o.offset >= writtenBytes && o.offset <= writtenBytes+len(answer)
		split := min(max(o.offset-writtenBytes, 0), len(answer))
		writtenBytes += len(answer)
		switch {
		case o.fault == faultRepeat && number == 0:
			_, _ = io.WriteString(c, answer+answer[:o.offset])
			afterFault = true
		case o.fault == faultNone:
			_, _ = io.WriteString(c, answer[:split])
			_, _ = io.WriteString(c, answer[split:])
		case !faultHere:
			_, _ = io.WriteString(c, answer)
		default:
			_, _ = io.WriteString(c, answer[:split])
			switch o.fault {
			case faultCut:
				_ = c.(*net.TCPConn).CloseWrite()
				afterFault = true
			case faultReset:
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			case faultStall:
				afterFault = split < len(answer) // a stall after the last byte has no effect
			}
		}
		close(o.written[number])
	}
}

// listen opens the address of a worker.
func (o *connScript) listen(t *testing.T, id, destination string) api.Worker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	o.log.serving.Add(1)
	go func() {
		defer o.log.serving.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			o.log.serving.Add(1)
			go o.serve(c)
		}
	}()
	return api.Worker{ID: id, Destination: destination, Addr: ln.Addr().String(), Zone: "a1", Slots: 8}
}

// check checks the log after everything has ended. A loop that stops leaves connections open that were just being
// established: what was sent on them is read within a second.
func (g *exchangeLog) check(t *testing.T) (served int) {
	g.mu.Lock()
	for _, c := range g.conns {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
	}
	g.mu.Unlock()
	g.serving.Wait()
	for _, violation := range g.violations {
		t.Error(violation)
	}
	for _, id := range g.incomplete {
		if g.runs[id] > 0 {
			t.Errorf("%s ran, but did not arrive completely", id)
		}
	}
	for id, answer := range g.answers {
		switch {
		case answer.unsafe && g.runs[id] > 1:
			t.Errorf("%s is unsafe and ran %d times", id, g.runs[id])
		case answer.unsafe && promisesNotRun(answer.status) && g.runs[id] > 0:
			t.Errorf("%s ran and was answered with status %d, which promises that it did not", id, answer.status)
		case answer.postmark != "" && answer.postmark != id:
			t.Errorf("%s got the answer to %s", id, answer.postmark)
		case answer.status == 200 && answer.complete && (answer.postmark != id || answer.body != "whole"):
			t.Errorf("%s got an answer that its worker did not send: %.40q", id, answer.body)
		}
		if answer.status == 200 && answer.complete {
			served++
		}
	}
	for id := range g.runs {
		if _, asked := g.answers[id]; !asked {
			t.Errorf("%s ran, but no client sent it", id)
		}
	}
	return served
}

// faultCase is one case: three requests of one client, of which the first two meet the fault.
type faultCase struct {
	prefix       string // of names and ids; unique for each group of cases
	shape        answerShape
	fault        faultKind
	repeatFirst  bool // the first answer is sent again in place of the second
	secondWorker bool // there is another worker, which has no fault
	faultInBoth  bool // the second answer has a fault too
	safe         bool
	offset       int
}

// ids returns the ids of the three attempts of the n-th case.
func (k faultCase) ids(n int) []string {
	id := fmt.Sprintf("%s%d-", k.prefix, n)
	return []string{id + "a", id + "b", id + "c"}
}

// answers returns what the first connection writes for each of the first two requests.
func (k faultCase) answers(n int) []string {
	ids := k.ids(n)
	one, two := k.shape.answer(ids[0]), k.shape.answer(ids[1])
	if k.repeatFirst {
		two = one + two
	}
	return []string{one, two}
}

// clientSlots bounds the number of clients at the same time.
var clientSlots = make(chan bool, 300)

// newPrefix returns a unique prefix for a group of cases: an address that one group gives up may be used next by
// another group or another process.
func newPrefix() string {
	n := <-requestNumbers
	requestNumbers <- n + 1
	return fmt.Sprintf("m%d-", n)
}

// runCases runs clients and workers through cases, each with a destination of its own.
func runCases(t *testing.T, cases []faultCase) (served int) {
	t.Helper()
	log := newExchangeLog()
	t.Run("exchanges", func(t *testing.T) {
		proxy := newTestProxy(t)
		routes, scripts := make([]routeSpec, len(cases)), make([]*connScript, len(cases))
		var workers []api.Worker
		for number, oneCase := range cases {
			destination := fmt.Sprint("d", number)
			routes[number] = routeSpec{prefix: fmt.Sprintf("/%d/", number), destination: destination, unsafe: !oneCase.safe, target: 0.3}
			scripts[number] = &connScript{prefix: oneCase.prefix, log: log, shape: oneCase.shape, answers: oneCase.answers(number), fault: oneCase.fault, offset: oneCase.offset, written: []chan bool{make(chan bool), make(chan bool)}}
			workers = append(workers, scripts[number].listen(t, oneCase.prefix+fmt.Sprint("w-", number), destination))
			if oneCase.secondWorker {
				workers = append(workers, scripts[number].listen(t, oneCase.prefix+fmt.Sprint("v-", number), destination))
			}
		}
		proxy.receive(fullList(1, workers...), newConfig(t, 1, routes))
		proxy.reuseAtOnce()
		var clients sync.WaitGroup
		for number, oneCase := range cases {
			clientSlots <- true
			clients.Go(func() {
				defer func() { <-clientSlots }()
				proxy.runClient(log, scripts[number], oneCase, number)
			})
		}
		clients.Wait()
	})
	return log.check(t)
}

// runClient sends the three requests of a case, on one connection as long as it lasts.
func (s *testProxy) runClient(log *exchangeLog, script *connScript, oneCase faultCase, number int) {
	timeLeft := "30000"
	if oneCase.fault == faultStall {
		timeLeft = "300"
	}
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for i, id := range oneCase.ids(number) {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", s.addr); err != nil {
				log.violation("%v", err)
				return
			}
			reader = bufio.NewReader(conn)
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
		}
		text := fmt.Sprintf("%s /%d/ HTTP/1.1\r\nHost: x.example\r\n%s: %s\r\n%s%s\r\n", oneCase.shape.method, number, headerTimeLeft, timeLeft, tryIDPrefix, id)
		if oneCase.shape.method == http.MethodPost {
			body := "body of " + id
			text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		} else {
			text += "\r\n"
		}
		_, _ = io.WriteString(conn, text)
		answer := clientAnswer{unsafe: !oneCase.safe}
		res, err := http.ReadResponse(reader, &http.Request{Method: oneCase.shape.method})
		if err == nil {
			answer.status, answer.postmark = res.StatusCode, res.Header.Get(headerPostmark)
			var body []byte
			body, err = io.ReadAll(res.Body)
			if answer.body = string(body); answer.body == oneCase.shape.bodyOf(id) || oneCase.shape.method == http.MethodHead {
				answer.body = "whole"
			}
		}
		answer.complete = err == nil
		log.recordAnswer(id, answer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			log.violation("%s got no complete answer before the deadline", id)
			return
		}
		if err != nil || res.Close {
			_ = conn.Close()
			conn = nil
		}
		if i < 2 && script.hasReached(i) {
			<-script.written[i]
		}
	}
}

// casesAtEachByte returns a case at each offset of its answers: of the first, of the second and what precedes it, or
// of both.
func casesAtEachByte(oneCase faultCase) (cases []faultCase) {
	parts := oneCase.answers(0)
	var offsets []int
	if !oneCase.repeatFirst {
		offsets = faultOffsets(0, parts[0])
	}
	if oneCase.repeatFirst || oneCase.faultInBoth {
		offsets = append(offsets, faultOffsets(len(parts[0]), parts[1])...)
	}
	for _, oneCase.offset = range offsets {
		if oneCase.offset > 0 || oneCase.fault != faultRepeat {
			cases = append(cases, oneCase)
		}
	}
	return cases
}

// TestFaultAtEachByteOfAnswer cuts, resets, stalls or repeats what a worker sends at every byte. No answer may reach
// another client or look complete when it is not, no unsafe request may run twice, a request that is said not to have
// run must not have run, and no connection may be used after its fault.
func TestFaultAtEachByteOfAnswer(t *testing.T) { // not parallel to other tests, since it uses all processors
	byLength, inChunks, toHead, interim, long, longChunks := answerShapes[0], answerShapes[1], answerShapes[2], answerShapes[3], answerShapes[4], answerShapes[5]
	for _, oneCase := range []faultCase{
		{shape: inChunks, fault: faultNone, faultInBoth: true},
		{shape: byLength, fault: faultNone, repeatFirst: true},
		{shape: longChunks, fault: faultNone, repeatFirst: true},
		{shape: byLength, fault: faultCut, faultInBoth: true},
		{shape: inChunks, fault: faultCut, faultInBoth: true},
		{shape: toHead, fault: faultCut},
		{shape: interim, fault: faultCut},
		{shape: long, fault: faultCut},
		{shape: longChunks, fault: faultCut},
		{shape: inChunks, fault: faultCut, repeatFirst: true},
		{shape: byLength, fault: faultCut, secondWorker: true},
		{shape: byLength, fault: faultCut, secondWorker: true, safe: true},
		{shape: inChunks, fault: faultReset, secondWorker: true},
		{shape: long, fault: faultReset, secondWorker: true},
		{shape: byLength, fault: faultReset},
		{shape: byLength, fault: faultStall},
		{shape: byLength, fault: faultRepeat},
		{shape: toHead, fault: faultRepeat},
		{shape: long, fault: faultRepeat},
	} {
		t.Run(fmt.Sprintf("%s, %s, extra %t, second %t, safe %t", oneCase.shape.name, oneCase.fault, oneCase.repeatFirst, oneCase.secondWorker, oneCase.safe), func(t *testing.T) {
			t.Parallel()
			oneCase.prefix = newPrefix()
			cases := casesAtEachByte(oneCase)
			served := runCases(t, cases)
			switch {
			case oneCase.fault == faultNone:
				assert.Equal(t, served, 3*len(cases))
			case oneCase.safe:
				assert.Assert(t, served >= 2*len(cases), "%d of %d requests were served", served, 3*len(cases))
			default:
				assert.Assert(t, served >= len(cases)/2, "%d of %d requests were served", served, 3*len(cases))
			}
		})
	}
}

// TestFaultAtEachByteOfRequest sends two requests on one connection and ends them at every byte: half closed, reset,
// or with nothing more. A request that did not arrive completely must never run, and a complete one runs once, as it
// was sent, and is answered in its turn.
func TestFaultAtEachByteOfRequest(t *testing.T) {
	for _, fault := range []faultKind{faultCut, faultReset, faultStall} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in chunks %t", fault, chunked), func(t *testing.T) {
				t.Parallel()
				log := newExchangeLog()
				defer log.check(t)
				t.Run("exchanges", func(t *testing.T) {
					proxy := newTestProxy(t)
					prefix := newPrefix()
					script := &connScript{prefix: prefix, log: log, shape: answerShapes[0]}
					worker := script.listen(t, "", "")
					var workers []api.Worker
					var routes []routeSpec
					for n := range 400 { // each has a destination of its own
						w := worker
						w.ID, w.Destination = prefix+fmt.Sprint("w-", n), fmt.Sprint("d", n)
						workers = append(workers, w)
						routes = append(routes, routeSpec{prefix: fmt.Sprintf("/%d/", n), destination: w.Destination, unsafe: true})
					}
					proxy.receive(fullList(1, workers...), newConfig(t, 1, routes))
					proxy.runOnLoop(func() {
						limits := *proxy.clients.Limits
						limits.HeadTimeoutMS, limits.BodyStallTimeoutMS = 300, 300
						proxy.clients.Limits = &limits
					})
					var clients sync.WaitGroup
					for length, size := 0, 1; length <= size; length++ {
						var text string
						var ids []string
						var ends []int
						for i := range 2 {
							id := fmt.Sprintf("%s%d-%d", prefix, length, i)
							body, lines := "body of "+id, ""
							if chunked {
								body = fmt.Sprintf("3\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:3], len(body)-3, body[3:])
								lines = "Transfer-Encoding: chunked\r\n"
							} else {
								lines = fmt.Sprintf("Content-Length: %d\r\n", len(body))
							}
							text += fmt.Sprintf("POST /%d/ HTTP/1.1\r\n", length) + "Host: x.example\r\n" + tryIDPrefix + id + "\r\n" + lines + "\r\n" + body
							ids, ends = append(ids, id), append(ends, len(text))
						}
						size = len(text)
						clientSlots <- true
						clients.Go(func() {
							defer func() { <-clientSlots }()
							proxy.sendTruncated(log, text[:length], fault, ids, ends)
						})
					}
					clients.Wait()
				})
			})
		}
	}
}

// sendTruncated is a client that sends the start of its requests and reads the answers.
func (s *testProxy) sendTruncated(log *exchangeLog, text string, fault faultKind, ids []string, ends []int) {
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		log.violation("%v", err)
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	switch fault {
	case faultReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	case faultCut:
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	reader, answered := bufio.NewReader(conn), 0
	for i, id := range ids {
		whole := ends[i] <= len(text)
		answer := clientAnswer{unsafe: true}
		if fault == faultStall && len(text) <= answered { // no answer is due
			log.recordAnswer(id, answer)
			continue
		}
		res, err := http.ReadResponse(reader, nil)
		if err == nil {
			var body []byte
			answer.status, answer.postmark = res.StatusCode, res.Header.Get(headerPostmark)
			body, err = io.ReadAll(res.Body)
			if answer.body = string(body); answer.body == answerShapes[0].bodyOf(id) {
				answer.body = "whole"
			}
			answer.complete = err == nil
		}
		log.recordAnswer(id, answer)
		switch {
		case !whole && answer.status == http.StatusOK:
			log.violation("%s did not arrive completely and was answered", id)
		case !whole && fault == faultStall && answer.status != http.StatusRequestTimeout:
			log.violation("%s did not arrive completely and was answered %d, not 408", id, answer.status)
		case whole && fault == faultStall && answer.status != http.StatusOK:
			log.violation("%s was answered %d, not 200", id, answer.status)
		case !whole:
			log.recordIncomplete(id)
		}
		if answered = ends[i]; !whole {
			answered = len(text) // the connection has ended
		}
	}
}

// recordIncomplete records that a request did not arrive completely, so it can't run.
func (g *exchangeLog) recordIncomplete(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incomplete = append(g.incomplete, id)
}
