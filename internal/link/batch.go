package link

import (
	"errors"
	"fmt"
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/batch"
	"foxwood/internal/http1"
	"foxwood/policy"
)

// items speaks the batch protocol (docs/batch-protocol.md): one POST that lasts as long
// as the link, with messages of several requests in its body's chunks, and their answers,
// each as it is done, in the chunks of the answer's.
type batchProtocol struct {
	conn          *muxConn
	response      *http1.Parser // of the POST's own answer
	reader        batch.Reader
	itemParser    *http1.Parser // of an item's
	messageErr    error         // of a message, met inside the parser
	lastID        uint64
	items         []batchItem             // that are out, by number
	waiting       []*gatekeeper.Execution // that are gathered for the next message
	dueAt         float64                 // when that message goes out
	timerAt       float64                 // when the timer for it rings, 0 where none is set
	cancels       []uint64                // to be told with the next message
	output        []byte                  // that is to be written
	outputOffset  int64                   // place of text's first byte in all that was written
	messageBuf    []byte                  // scratch
	requestBuf    []byte                  // scratch
	lastReadAt    float64                 // when something came
	pingSentAt    float64                 // when a sign of life was asked for, 0 where none is awaited
	pings         uint64
	partialSince  float64 // when a message began that has not come whole, 0 where none has
	workerLeaving bool    // the worker takes nothing new
	refused       bool    // the worker does not speak this
}

type batchItem struct {
	id        uint64
	execution *gatekeeper.Execution
	endOffset int64 // place of its message's last byte
	sentAt    float64
}

func newBatchProtocol(t *muxConn) muxProtocol {
	s := &batchProtocol{conn: t, response: http1.Answers(), itemParser: http1.Answers()}
	s.response.Piece = s.bodyPiece
	return s
}

func (s *batchProtocol) start() {
	s.lastReadAt = s.conn.fleet.clock.Now()
	s.output = fmt.Appendf(s.output, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nAccept: %[3]s\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", s.conn.fleet.transport.Path, s.conn.addr, batch.ContentType)
}

func (s *batchProtocol) finalBytes() []byte { return nil }

func (s *batchProtocol) peerLeaving() bool { return s.workerLeaving }

func (s *batchProtocol) inFlight() int { return len(s.items) + len(s.waiting) }

func (s *batchProtocol) room() int {
	if s.workerLeaving {
		return 0
	}
	return max(s.conn.fleet.transport.Depth-s.inFlight(), 0)
}

func (s *batchProtocol) send(execution *gatekeeper.Execution) {
	fleet := s.conn.fleet
	now := fleet.clock.Now()
	if s.inFlight() == 0 { // the silence before was nobody's
		s.lastReadAt = now
	}
	due := now + fleet.estimator.Gather(execution.Request.Class, fleet.transport.Gather, execution.Timeout)
	if len(s.waiting) == 0 || due < s.dueAt {
		s.dueAt = due
	}
	s.waiting = append(s.waiting, execution)
}

// written implements speech: it makes a message of what has been gathered, once that is
// due or something else has to be said.
func (s *batchProtocol) takeOutput() []byte {
	if now := s.conn.fleet.clock.Now(); len(s.waiting) > 0 && now < s.dueAt && len(s.cancels) == 0 {
		s.setTimer(now)
	} else if len(s.waiting)+len(s.cancels) > 0 {
		s.writeMessage()
	}
	b := s.output
	s.outputOffset += int64(len(b))
	s.output = s.output[:0]
	return b
}

// arm sets a timer for the next message, unless one rings before.
func (s *batchProtocol) setTimer(now float64) {
	if s.timerAt > 0 && s.timerAt <= s.dueAt {
		return
	}
	at := s.dueAt
	s.timerAt = at
	s.conn.fleet.loop.afterMS(at-now, func() {
		if s.timerAt == at {
			s.timerAt = 0
			s.conn.flush()
		}
	})
}

// gather writes a message of all that has been gathered.
func (s *batchProtocol) writeMessage() {
	fleet := s.conn.fleet
	message, now := s.messageBuf[:0], fleet.clock.Now()
	first := len(s.items)
	for _, x := range s.waiting {
		s.lastID++
		s.requestBuf = fleet.message(s.requestBuf[:0], x, "", 0)
		message = batch.AppendItem(message, s.lastID, s.requestBuf)
		s.items = append(s.items, batchItem{id: s.lastID, execution: x, sentAt: now})
	}
	clear(s.waiting)
	s.waiting = s.waiting[:0]
	for _, id := range s.cancels {
		message = batch.AppendGiveUp(message, id)
	}
	s.cancels = s.cancels[:0]
	s.messageBuf = message
	s.writeChunk(message)
	// A worker has the message whole before the end of the chunk's line has come.
	for i := first; i < len(s.items); i++ {
		s.items[i].endOffset = s.outputOffset + int64(len(s.output)-len(chunkEnd))
	}
}

// chunk appends a message as a chunk of the POST's body.
func (s *batchProtocol) writeChunk(m []byte) {
	s.requestBuf = batch.AppendMessage(s.requestBuf[:0], m)
	s.output = appendChunk(s.output, s.requestBuf)
}

var errBatchEnded = errors.New("the worker ended the batch")

func (s *batchProtocol) receive(b []byte) error {
	s.lastReadAt, s.pingSentAt = s.conn.fleet.clock.Now(), 0
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

// piece is given what comes of the answer's body.
func (s *batchProtocol) bodyPiece(b []byte) {
	if s.messageErr == nil && s.response.Message().Status == 200 {
		s.messageErr = s.reader.Feed(b, s.handleMessage)
	}
}

// down takes a message of the worker.
func (s *batchProtocol) handleMessage(message *batch.Down) error {
	for _, done := range message.Done {
		if done.ID > s.lastID {
			return errUnexpectedResponse
		}
		// one that was given up may still be answered
		if i := slices.IndexFunc(s.items, func(item batchItem) bool { return item.id == done.ID }); i >= 0 {
			s.itemDone(i, done)
		}
		if s.conn.isClosed {
			return errBatchEnded
		}
	}
	if message.Leaving {
		s.workerLeaving = true
		var never []*gatekeeper.Execution
		s.items = slices.DeleteFunc(s.items, func(item batchItem) bool {
			if item.id > message.Last {
				never = append(never, item.execution)
			}
			return item.id > message.Last
		})
		never = append(never, s.waiting...)
		s.waiting = nil
		for _, x := range never {
			s.conn.fleet.endUnanswered(x, policy.ConnectFailed)
		}
	}
	return nil
}

// ended gives an item its answer. A spoilt one is its own harm only: where the next
// begins is known from the message around it.
func (s *batchProtocol) itemDone(i int, done batch.Done) {
	fleet, execution, took := s.conn.fleet, s.items[i].execution, s.lastReadAt-s.items[i].sentAt
	s.items = slices.Delete(s.items, i, i+1)
	if done.NeverRan {
		fleet.endUnanswered(execution, policy.Full)
		return
	}
	s.itemParser.Reset()
	n, whole, err := s.itemParser.Feed(done.Answer)
	if err != nil || !whole || n < len(done.Answer) {
		fleet.endUnanswered(execution, policy.Reset)
		return
	}
	execution.Slot = nil
	fleet.estimator.Learn(execution.Request.Class, took)
	fleet.core.Done(execution, fleet.reader.Outcome(s.itemParser.Message()))
}

// giveUp implements speech: a message tells the worker, and the link goes on.
func (s *batchProtocol) cancel(execution *gatekeeper.Execution) (sent bool, err error) {
	if i := slices.Index(s.waiting, execution); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false, nil
	}
	if i := slices.IndexFunc(s.items, func(it batchItem) bool { return it.execution == execution }); i >= 0 {
		s.cancels = append(s.cancels, s.items[i].id)
		s.items = slices.Delete(s.items, i, i+1)
		return true, nil
	}
	return false, nil
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

// lost implements speech. An item never ran whose message did not leave whole, since a
// worker acts on whole messages only, and neither did any where the POST was refused.
func (s *batchProtocol) connLost(sentOffset int64) {
	sent, waiting := s.items, s.waiting
	s.items, s.waiting = nil, nil
	for _, item := range sent {
		status := policy.Reset
		if item.endOffset > sentOffset || s.refused {
			status = policy.ConnectFailed
		}
		s.conn.fleet.endUnanswered(item.execution, status)
	}
	for _, x := range waiting {
		s.conn.fleet.endUnanswered(x, policy.ConnectFailed)
	}
}
