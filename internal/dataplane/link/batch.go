package link

import (
	"errors"
	"fmt"
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/dataplane/batch"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

// batchProtocol speaks the batch protocol (docs/batch-protocol.md). One POST lasts as long as
// the connection. The chunks of its body carry messages with several requests each, and the
// chunks of its response carry the responses, each as soon as it is ready.
type batchProtocol struct {
	conn          *muxConn
	response      *http1.Parser // response to the POST
	reader        batch.Reader
	itemParser    *http1.Parser // responses to items
	messageErr    error         // error in a message, found inside the parser's callback
	lastID        uint64
	items         []batchItem             // in flight, ordered by id
	waiting       []*gatekeeper.Execution // to be sent in the next message
	dueAt         float64                 // when the next message is due
	timerAt       float64                 // when the timer for it expires, 0 if none is set
	cancels       []uint64                // ids to cancel in the next message
	output        []byte                  // to be written
	outputOffset  int64                   // stream offset of the first byte of output
	messageBuf    []byte                  // reused buffer
	requestBuf    []byte                  // reused buffer
	lastReadAt    float64                 // time of the last input, in milliseconds
	pingSentAt    float64                 // time of the unanswered ping, 0 if there is none
	pings         uint64
	partialSince  float64 // when an incomplete message began, 0 if there is none
	workerLeaving bool    // the worker accepts no new items
	refused       bool    // the worker does not support the protocol
}

type batchItem struct {
	id        uint64
	execution *gatekeeper.Execution
	endOffset int64 // stream offset of the end of its message
	sentAt    float64
}

func newBatchProtocol(conn *muxConn) muxProtocol {
	s := &batchProtocol{conn: conn, response: http1.NewResponseParser(), itemParser: http1.NewResponseParser()}
	s.response.OnBody = s.bodyPiece
	return s
}

func (s *batchProtocol) start() {
	s.lastReadAt = s.conn.workerConns.clock.Now()
	s.output = fmt.Appendf(s.output, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nAccept: %[3]s\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", s.conn.workerConns.transport.Path, s.conn.addr, batch.ContentType)
}

func (s *batchProtocol) finalBytes() []byte { return nil }

func (s *batchProtocol) peerLeaving() bool { return s.workerLeaving }

func (s *batchProtocol) inFlight() int { return len(s.items) + len(s.waiting) }

func (s *batchProtocol) room() int {
	if s.workerLeaving {
		return 0
	}
	return max(s.conn.workerConns.transport.MaxInFlight-s.inFlight(), 0)
}

func (s *batchProtocol) send(execution *gatekeeper.Execution) {
	workerConns := s.conn.workerConns
	now := workerConns.clock.Now()
	if s.inFlight() == 0 { // silence on an idle connection does not count
		s.lastReadAt = now
	}
	due := now + workerConns.estimator.BatchDelayMS(execution.Request.Class, workerConns.transport.BatchDelayMS, execution.Timeout)
	if len(s.waiting) == 0 || due < s.dueAt {
		s.dueAt = due
	}
	s.waiting = append(s.waiting, execution)
}

// takeOutput implements muxProtocol. It writes a message with the waiting items once that is
// due, or earlier if there are items to cancel.
func (s *batchProtocol) takeOutput() []byte {
	if now := s.conn.workerConns.clock.Now(); len(s.waiting) > 0 && now < s.dueAt && len(s.cancels) == 0 {
		s.setTimer(now)
	} else if len(s.waiting)+len(s.cancels) > 0 {
		s.writeMessage()
	}
	b := s.output
	s.outputOffset += int64(len(b))
	s.output = s.output[:0]
	return b
}

// setTimer sets a timer for the next message, unless one expires before.
func (s *batchProtocol) setTimer(now float64) {
	if s.timerAt > 0 && s.timerAt <= s.dueAt {
		return
	}
	at := s.dueAt
	s.timerAt = at
	s.conn.workerConns.loop.afterMS(at-now, func() {
		if s.timerAt == at {
			s.timerAt = 0
			s.conn.flush()
		}
	})
}

// writeMessage writes a message with all waiting items and cancellations.
func (s *batchProtocol) writeMessage() {
	workerConns := s.conn.workerConns
	message, now := s.messageBuf[:0], workerConns.clock.Now()
	first := len(s.items)
	for _, x := range s.waiting {
		s.lastID++
		s.requestBuf = workerConns.message(s.requestBuf[:0], x, "", 0)
		message = batch.AppendItem(message, s.lastID, s.requestBuf)
		s.items = append(s.items, batchItem{id: s.lastID, execution: x, sentAt: now})
	}
	clear(s.waiting)
	s.waiting = s.waiting[:0]
	for _, id := range s.cancels {
		message = batch.AppendCancel(message, id)
	}
	s.cancels = s.cancels[:0]
	s.messageBuf = message
	s.writeChunk(message)
	// The worker has the whole message before the line end that follows the chunk.
	for i := first; i < len(s.items); i++ {
		s.items[i].endOffset = s.outputOffset + int64(len(s.output)-len(chunkEnd))
	}
}

// writeChunk appends a message as a chunk of the POST's body.
func (s *batchProtocol) writeChunk(m []byte) {
	s.requestBuf = batch.AppendMessage(s.requestBuf[:0], m)
	s.output = appendChunk(s.output, s.requestBuf)
}

var errBatchEnded = errors.New("the worker ended the batch stream")

func (s *batchProtocol) receive(b []byte) error {
	s.lastReadAt, s.pingSentAt = s.conn.workerConns.clock.Now(), 0
	_, done, err := s.response.Feed(b)
	if s.response.HeadDone() && s.response.Message().Status != 200 {
		s.refused = true
		return errBatchEnded
	}
	switch {
	case s.messageErr != nil:
		return s.messageErr
	case err != nil:
		return err
	case done:
		return errBatchEnded
	}
	if !s.reader.Started() {
		s.partialSince = 0
	} else if s.partialSince == 0 {
		s.partialSince = s.lastReadAt
	}
	return nil
}

// bodyPiece is the parser's callback for pieces of the response body.
func (s *batchProtocol) bodyPiece(b []byte) {
	if s.messageErr == nil && s.response.Message().Status == 200 {
		s.messageErr = s.reader.Feed(b, s.handleMessage)
	}
}

// handleMessage handles a message from the worker.
func (s *batchProtocol) handleMessage(message *batch.WorkerMessage) error {
	for _, result := range message.Results {
		if result.ID > s.lastID {
			return errUnexpectedResponse
		}
		// A cancelled item may still be answered.
		if i := slices.IndexFunc(s.items, func(item batchItem) bool { return item.id == result.ID }); i >= 0 {
			s.itemDone(i, result)
		}
		if s.conn.isClosed {
			return errBatchEnded
		}
	}
	if message.GoingAway {
		s.workerLeaving = true
		var neverRan []*gatekeeper.Execution
		s.items = slices.DeleteFunc(s.items, func(item batchItem) bool {
			if item.id > message.LastAccepted {
				neverRan = append(neverRan, item.execution)
			}
			return item.id > message.LastAccepted
		})
		neverRan = append(neverRan, s.waiting...)
		s.waiting = nil
		for _, x := range neverRan {
			s.conn.workerConns.endUnanswered(x, policy.ConnectFailed)
		}
	}
	return nil
}

// itemDone completes an item. A malformed response affects only its own item, because the
// enclosing message tells where the next one begins.
func (s *batchProtocol) itemDone(i int, result batch.ItemResult) {
	workerConns, execution, elapsedMS := s.conn.workerConns, s.items[i].execution, s.lastReadAt-s.items[i].sentAt
	s.items = slices.Delete(s.items, i, i+1)
	if result.NeverRan {
		workerConns.endUnanswered(execution, policy.Full)
		return
	}
	s.itemParser.Reset()
	n, whole, err := s.itemParser.Feed(result.Response)
	if err != nil || !whole || n < len(result.Response) {
		workerConns.endUnanswered(execution, policy.Reset)
		return
	}
	execution.TransportData = nil
	workerConns.estimator.Observe(execution.Request.Class, elapsedMS)
	workerConns.core.ExecutionEnded(execution, workerConns.reader.Outcome(s.itemParser.Message()))
}

// cancel implements muxProtocol. A message tells the worker, and the connection stays open.
func (s *batchProtocol) cancel(execution *gatekeeper.Execution) (progress gatekeeper.SendProgress, err error) {
	if i := slices.Index(s.waiting, execution); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return gatekeeper.SentNothing, nil
	}
	if i := slices.IndexFunc(s.items, func(it batchItem) bool { return it.execution == execution }); i >= 0 {
		s.cancels = append(s.cancels, s.items[i].id)
		s.items = slices.Delete(s.items, i, i+1)
		return gatekeeper.SentAll, nil
	}
	return gatekeeper.SentNothing, nil
}

func (s *batchProtocol) sweep(now float64) error {
	switch {
	case s.partialSince > 0 && now-s.lastReadAt > maxPartialMS:
		return errPartialResponse
	case len(s.items) == 0:
		s.pingSentAt = 0
	case s.pingSentAt > 0 && now-s.pingSentAt > pingTimeoutMS:
		return errPingTimeout
	case s.pingSentAt == 0 && now-s.lastReadAt > pingAfterMS:
		s.pingSentAt = now
		s.pings++
		s.messageBuf = batch.AppendPing(s.messageBuf[:0], s.pings)
		s.writeChunk(s.messageBuf)
		s.conn.scheduleFlush()
	}
	return nil
}

// connLost implements muxProtocol. An item never ran if its message was not fully sent,
// because a worker acts on complete messages only, or if the POST was refused.
func (s *batchProtocol) connLost(sentOffset int64) {
	sent, waiting := s.items, s.waiting
	s.items, s.waiting = nil, nil
	for _, item := range sent {
		status := policy.Reset
		if item.endOffset > sentOffset || s.refused {
			status = policy.ConnectFailed
		}
		s.conn.workerConns.endUnanswered(item.execution, status)
	}
	for _, x := range waiting {
		s.conn.workerConns.endUnanswered(x, policy.ConnectFailed)
	}
}
