package link

import (
	"errors"
	"slices"
	"strconv"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/http1"
	"foxwood/internal/dataplane/pipelining"
)

// pipelineProtocol speaks HTTP/1.1 with pipelining (RFC 9112, section 9.3.2). Only the order
// of responses tells which request they belong to, so each request carries a sequence number
// that the worker copies into its response. Until the first response on a connection shows
// that the worker does so, the connection carries one request at a time. If the worker does
// not, it stays that way and the connection rests between requests, as one of serialPool does.
type pipelineProtocol struct {
	conn            *muxConn
	parser          *http1.Parser
	output          []byte
	outputOffset    int64 // stream offset of the first byte of output
	sequence        uint64
	requests        []pipelinedRequest
	pending         []pipelining.PendingRequest // timing of requests, in the same order
	echoes          bool                        // the worker copies the sequence number
	noEcho          bool                        // the worker does not copy it
	closing         bool                        // the last response announced that the connection closes
	partialSequence uint64                      // sequence number of the request whose response is incomplete
	lastReadAt      float64                     // time of the last input, in milliseconds
}

type pipelinedRequest struct {
	execution              *gatekeeper.Execution
	sequence               uint64
	startOffset, endOffset int64 // stream offsets of the request's bytes
}

func newPipelineProtocol(conn *muxConn) muxProtocol {
	return &pipelineProtocol{conn: conn, parser: http1.NewResponseParser()}
}

func (l *pipelineProtocol) start() {}

func (l *pipelineProtocol) finalBytes() []byte { return nil }

func (l *pipelineProtocol) peerLeaving() bool { return l.closing }

func (l *pipelineProtocol) inFlight() int { return len(l.requests) }

// maxInFlight returns how many requests the connection may carry now.
func (l *pipelineProtocol) maxInFlight() int {
	if l.echoes {
		return l.conn.workerConns.transport.MaxInFlight
	}
	return 1
}

func (l *pipelineProtocol) room() int {
	if l.noEcho && (len(l.requests) > 0 || !l.settled()) {
		return 0
	}
	return max(l.maxInFlight()-len(l.requests), 0)
}

// settled reports whether a connection without echo has been idle for settleMS and has no
// unread input. See serialPool.takeIdle for the reason.
func (l *pipelineProtocol) settled() bool {
	return l.conn.workerConns.clock.Now()-l.lastReadAt >= settleMS && noUnreadInput(l.conn.conn)
}

func (l *pipelineProtocol) send(execution *gatekeeper.Execution) {
	workerConns := l.conn.workerConns
	l.sequence++
	request := pipelinedRequest{execution: execution, sequence: l.sequence, startOffset: l.outputOffset + int64(len(l.output))}
	l.output = workerConns.message(l.output, execution, workerConns.transport.EchoHeader, l.sequence)
	request.endOffset = l.outputOffset + int64(len(l.output))
	l.requests = append(l.requests, request)
	l.pending = append(l.pending, pipelining.PendingRequest{Class: execution.Request.Class, StartedAt: workerConns.clock.Now()})
}

func (l *pipelineProtocol) takeOutput() []byte {
	b := l.output
	l.outputOffset += int64(len(b))
	l.output = l.output[:0]
	return b
}

var (
	errUnexpectedResponse = errors.New("response without a request")
	errWrongResponse      = errors.New("response belongs to another request")
	errPartialResponse    = errors.New("incomplete response or message timed out")
	errCannotCancel       = errors.New("the protocol cannot cancel a single request")
	errPingTimeout        = errors.New("peer did not respond to a ping")
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
		l.lastReadAt = l.conn.workerConns.clock.Now()
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

// checkPartial closes the connection if a response has begun and no more of it arrives. See
// workerConn.checkPartial for the reason.
func (l *pipelineProtocol) checkPartial() {
	if l.conn.isClosed || len(l.requests) == 0 || l.requests[0].sequence != l.partialSequence {
		return
	}
	remainingMS := l.lastReadAt + maxPartialMS - l.conn.workerConns.clock.Now()
	if remainingMS <= 0 {
		l.conn.close()
		return
	}
	l.conn.workerConns.loop.afterMS(remainingMS, l.checkPartial)
}

// responseRead completes the first request in the pipeline. A duplicate or malformed response
// in the middle of a pipeline would be taken for the response to the next request. So a
// response that does not carry its request's sequence number closes the connection.
func (l *pipelineProtocol) responseRead() error {
	message, request, workerConns := l.parser.Message(), l.requests[0], l.conn.workerConns
	sequence, once := message.Unique(workerConns.transport.EchoHeader)
	switch {
	case once && string(sequence) == strconv.FormatUint(request.sequence, 10):
		l.echoes, l.noEcho = true, false
	case message.Count(workerConns.transport.EchoHeader) > 0 || l.echoes || len(l.requests) > 1:
		return errWrongResponse
	default:
		l.noEcho = true
		workerConns.loop.afterMS(settleMS, l.conn.pool.assign)
	}
	now := l.lastReadAt
	workerConns.estimator.Observe(request.execution.Request.Class, now-l.pending[0].StartedAt)
	l.requests = slices.Delete(l.requests, 0, 1)
	l.pending = slices.Delete(l.pending, 0, 1)
	if len(l.pending) > 0 {
		l.pending[0].StartedAt = now
	}
	l.closing = message.Close
	o := workerConns.reader.Outcome(message)
	request.execution.TransportData = nil
	workerConns.core.ExecutionEnded(request.execution, o)
	if l.closing {
		return errUnexpectedResponse // ignore further responses after a closing one
	}
	l.parser.Reset()
	return nil
}

// cancel implements muxProtocol. HTTP/1.1 cannot cancel a request, so the connection must be
// closed, unless the request is the last in the pipeline and no byte of it has been written.
func (l *pipelineProtocol) cancel(execution *gatekeeper.Execution) (progress gatekeeper.SendProgress, err error) {
	i := slices.IndexFunc(l.requests, func(request pipelinedRequest) bool { return request.execution == execution })
	if i < 0 {
		return gatekeeper.SentNothing, nil
	}
	request := l.requests[i]
	l.requests = slices.Delete(l.requests, i, i+1)
	l.pending = slices.Delete(l.pending, i, i+1)
	if i == len(l.requests) && request.startOffset >= l.outputOffset {
		l.output = l.output[:request.startOffset-l.outputOffset]
		return gatekeeper.SentNothing, nil
	}
	return sendProgress(request.startOffset, request.endOffset, l.conn.sentOffset()), errCannotCancel
}

func (l *pipelineProtocol) sweep(float64) error { return nil }

// connLost implements muxProtocol. This is what is known of a request when the connection
// breaks, and the outcome that follows:
//
//	complete response received               served, or as the response says
//	response begun                           has run
//	first byte written                       may have run: a worker may begin, and even
//	                                         answer, before it has the whole body
//	first byte not written                   never ran
//	behind a response with                   never ran: a server must not process later
//	"Connection: close"                      requests (RFC 9112, section 9.6). A server that
//	                                         processes several at once may do so only with
//	                                         safe requests (section 9.3.2), which may be
//	                                         repeated anyway
//	behind a malformed response              may have run
func (l *pipelineProtocol) connLost(sentOffset int64) {
	items := l.requests
	l.requests, l.pending = nil, nil
	for _, request := range items {
		progress := sendProgress(request.startOffset, request.endOffset, sentOffset)
		if l.closing {
			progress = gatekeeper.SentNothing
		}
		l.conn.workerConns.endBroken(request.execution, progress)
	}
}

// pipelineChooser uses the lanes package to choose the connection for a request.
type pipelineChooser struct {
	pool      *muxPool
	pipelines []pipelining.Pipeline
	conns     []*muxConn
}

func (c *pipelineChooser) choose(execution *gatekeeper.Execution) (conn *muxConn, open bool) {
	pool := c.pool
	c.pipelines, c.conns = c.pipelines[:0], c.conns[:0]
	for _, t := range pool.conns {
		l := t.protocol.(*pipelineProtocol)
		if t.room() > 0 {
			c.pipelines = append(c.pipelines, pipelining.Pipeline{Pending: l.pending, MaxPending: l.maxInFlight()})
			c.conns = append(c.conns, t)
		}
	}
	workerConns := pool.workerConns
	enoughDialing := pool.dialing >= len(pool.queue)
	choice := workerConns.estimator.Choose(workerConns.clock.Now(), execution.Request.Class, c.pipelines, pool.connCount < workerConns.transport.MaxConns && !enoughDialing, !enoughDialing)
	if choice >= 0 {
		return c.conns[choice], false
	}
	return nil, choice == pipelining.OpenNew
}
