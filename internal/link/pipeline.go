package link

import (
	"errors"
	"slices"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/http1"
	"foxwood/internal/lanes"
	"foxwood/policy"
)

// line speaks HTTP/1.1 with several requests in a line (RFC 9112, section 9.3.2). Answers
// have nothing but their order to tell whose they are, so each request states a number
// that the worker copies into its answer. Until a link's first answer has shown that the
// worker does, it carries one request at a time; where the worker does not, it stays so,
// and rests between them as a serial link does.
type pipelineProtocol struct {
	conn            *muxConn
	parser          *http1.Parser
	output          []byte
	outputOffset    int64 // place of text's first byte in all that was written
	sequence        uint64
	requests        []pipelinedRequest
	pending         []lanes.Entry // of items
	echoes          bool          // the worker copies the number
	noEcho          bool          // it does not
	closing         bool          // the last answer said that it closes the link
	partialSequence uint64        // the turn whose answer has begun
	lastReadAt      float64       // when something came
}

type pipelinedRequest struct {
	execution              *gatekeeper.Execution
	sequence               uint64
	startOffset, endOffset int64 // places of its bytes
}

func newPipelineProtocol(t *muxConn) muxProtocol {
	return &pipelineProtocol{conn: t, parser: http1.Answers()}
}

func (l *pipelineProtocol) start() {}

func (l *pipelineProtocol) finalBytes() []byte { return nil }

func (l *pipelineProtocol) peerLeaving() bool { return l.closing }

func (l *pipelineProtocol) inFlight() int { return len(l.requests) }

// depth is how many requests the line takes.
func (l *pipelineProtocol) maxInFlight() int {
	if l.echoes {
		return l.conn.fleet.transport.Depth
	}
	return 1
}

func (l *pipelineProtocol) room() int {
	if l.noEcho && (len(l.requests) > 0 || !l.settled()) {
		return 0
	}
	return max(l.maxInFlight()-len(l.requests), 0)
}

// settled tells whether a plain link has rested and nothing has come meanwhile: see
// serial.take.
func (l *pipelineProtocol) settled() bool {
	return l.conn.fleet.clock.Now()-l.lastReadAt >= settleMS && noUnreadInput(l.conn.conn)
}

func (l *pipelineProtocol) send(execution *gatekeeper.Execution) {
	fleet := l.conn.fleet
	l.sequence++
	request := pipelinedRequest{execution: execution, sequence: l.sequence, startOffset: l.outputOffset + int64(len(l.output))}
	l.output = fleet.message(l.output, execution, fleet.transport.Echo, l.sequence)
	request.endOffset = l.outputOffset + int64(len(l.output))
	l.requests = append(l.requests, request)
	l.pending = append(l.pending, lanes.Entry{Class: execution.Request.Class, Since: fleet.clock.Now()})
}

func (l *pipelineProtocol) takeOutput() []byte {
	b := l.output
	l.outputOffset += int64(len(b))
	l.output = l.output[:0]
	return b
}

var (
	errUnexpectedResponse = errors.New("an answer that nothing was asked for")
	errWrongResponse      = errors.New("an answer to another request")
	errPartialResponse    = errors.New("an answer has begun and does not end")
	errCannotCancel       = errors.New("the peer can't be told to give one request up")
	errPingTimeout        = errors.New("the peer gives no sign of life")
)

func (l *pipelineProtocol) receive(b []byte) error {
	for len(b) > 0 && !l.conn.isClosed {
		if len(l.requests) == 0 {
			return errUnexpectedResponse
		}
		n, done, err := l.parser.Feed(b)
		b = b[n:]
		if err != nil {
			return err
		}
		l.lastReadAt = l.conn.fleet.clock.Now()
		if !done {
			if l.parser.Started() && l.partialSequence != l.requests[0].sequence {
				l.partialSequence = l.requests[0].sequence
				l.checkPartial()
			}
			return nil
		}
		if err := l.responseRead(); err != nil {
			return err
		}
	}
	return nil
}

// hurry ends the link where an answer has begun and nothing more comes: see server.hurry.
func (l *pipelineProtocol) checkPartial() {
	if l.conn.isClosed || len(l.requests) == 0 || l.requests[0].sequence != l.partialSequence {
		return
	}
	left := l.lastReadAt + maxPartialMS - l.conn.fleet.clock.Now()
	if left <= 0 {
		l.conn.close()
		return
	}
	l.conn.fleet.loop.afterMS(left, l.checkPartial)
}

// answered gives the first in line its answer. It guards against a second copy, noise or
// a spoilt answer in the middle of a line, which would be read as the answer of the next:
// one that does not state its request's number ends the link.
func (l *pipelineProtocol) responseRead() error {
	message, request, fleet := l.parser.Message(), l.requests[0], l.conn.fleet
	sequence, once := message.Single(fleet.transport.Echo)
	switch {
	case once && string(sequence) == strconv.FormatUint(request.sequence, 10):
		l.echoes, l.noEcho = true, false
	case message.Count(fleet.transport.Echo) > 0 || l.echoes || len(l.requests) > 1:
		return errWrongResponse
	default:
		l.noEcho = true
		fleet.loop.afterMS(settleMS, l.conn.pool.assign)
	}
	now := l.lastReadAt
	fleet.estimator.Learn(request.execution.Request.Class, now-l.pending[0].Since)
	l.requests = slices.Delete(l.requests, 0, 1)
	l.pending = slices.Delete(l.pending, 0, 1)
	if len(l.pending) > 0 {
		l.pending[0].Since = now
	}
	l.closing = message.Close
	o := fleet.reader.Outcome(message)
	request.execution.Slot = nil
	fleet.core.Done(request.execution, o)
	if l.closing {
		return errUnexpectedResponse // nothing behind this answer will be given one
	}
	l.parser.Reset()
	return nil
}

// giveUp implements speech. HTTP/1.1 has no way to tell the peer, so the link must end,
// unless the request is the last in line and nothing of it has been written.
func (l *pipelineProtocol) cancel(execution *gatekeeper.Execution) (sent bool, err error) {
	i := slices.IndexFunc(l.requests, func(request pipelinedRequest) bool { return request.execution == execution })
	if i < 0 {
		return false, nil
	}
	request := l.requests[i]
	l.requests = slices.Delete(l.requests, i, i+1)
	l.pending = slices.Delete(l.pending, i, i+1)
	if i == len(l.requests) && request.startOffset >= l.outputOffset {
		l.output = l.output[:request.startOffset-l.outputOffset]
		return false, nil
	}
	return request.endOffset <= l.outputOffset-int64(l.conn.conn.OutboundBuffered()), errCannotCancel
}

func (l *pipelineProtocol) sweep(float64) error { return nil }

// lost implements speech.
//
//	what is known of the request when the link breaks       what it proves
//	its answer came whole                                   served, or what the answer says
//	its answer had begun                                    ran
//	its last byte had been written                          may have run
//	it was not written to its last byte                     never ran: a server does not act on
//	                                                        a part (RFC 9112, section 8)
//	it stood behind an answer with "Connection: close"      never ran: a server must not process
//	                                                        what comes after it (RFC 9112, section
//	                                                        9.6); one that works on several at once
//	                                                        does so only with safe requests (section
//	                                                        9.3.2), which may run again anyway
//	it stood behind a spoilt answer                         may have run
func (l *pipelineProtocol) connLost(sentOffset int64) {
	items := l.requests
	l.requests, l.pending = nil, nil
	for _, request := range items {
		status := policy.Reset
		if request.endOffset > sentOffset || l.closing {
			status = policy.ConnectFailed
		}
		l.conn.fleet.endUnanswered(request.execution, status)
	}
}

// lineChooser asks the lanes which line a request may stand in.
type pipelineChooser struct {
	pool      *muxPool
	pipelines []lanes.Line
	conns     []*muxConn
}

func (c *pipelineChooser) choose(execution *gatekeeper.Execution) (conn *muxConn, open bool) {
	pool := c.pool
	c.pipelines, c.conns = c.pipelines[:0], c.conns[:0]
	for _, t := range pool.conns {
		l := t.protocol.(*pipelineProtocol)
		if t.room() > 0 {
			c.pipelines = append(c.pipelines, lanes.Line{Entries: l.pending, Most: l.maxInFlight()})
			c.conns = append(c.conns, t)
		}
	}
	f := pool.fleet
	enoughDialing := pool.dialing >= len(pool.queue)
	choice := f.estimator.Choose(f.clock.Now(), execution.Request.Class, c.pipelines, pool.connCount < f.transport.Links && !enoughDialing, !enoughDialing)
	if choice >= 0 {
		return c.conns[choice], false
	}
	return nil, choice == lanes.Open
}
