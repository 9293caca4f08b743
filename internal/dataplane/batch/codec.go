// Package batch implements the batch protocol: several requests in one message, over a
// connection on which both sides write at any time (docs/batch-protocol.md). It contains the
// gatekeeper's side as a codec without I/O, and the worker's side as an HTTP handler.
package batch

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// ContentType is the media type in both directions.
const ContentType = "application/vnd.foxwood.batch"

// MaxMessageBytes is the size limit of a message. A longer message ends the connection.
const MaxMessageBytes = 2 << 20

// Field numbers from batchpb/batch.proto.
const (
	upItems, upGiveUp, upPing                 = 1, 2, 3
	itemID, itemRequest                       = 1, 2
	downDone, downPong, downLeaving, downLast = 1, 2, 3, 4
	doneID, doneAnswer, doneNeverRan          = 1, 2, 3
)

// AppendItem appends an item, as a field of an Up message.
func AppendItem(b []byte, id uint64, request []byte) []byte {
	n := protowire.SizeTag(itemID) + protowire.SizeVarint(id) + protowire.SizeTag(itemRequest) + protowire.SizeBytes(len(request))
	b = protowire.AppendTag(b, upItems, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(n))
	b = protowire.AppendTag(b, itemID, protowire.VarintType)
	b = protowire.AppendVarint(b, id)
	b = protowire.AppendTag(b, itemRequest, protowire.BytesType)
	return protowire.AppendBytes(b, request)
}

// AppendCancel appends the id of an item to cancel, as a field of an Up message.
func AppendCancel(b []byte, id uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, upGiveUp, protowire.VarintType), id)
}

// AppendPing appends a ping, as a field of an Up message.
func AppendPing(b []byte, n uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, upPing, protowire.VarintType), n)
}

// AppendMessage appends a message with its length before it.
func AppendMessage(b, message []byte) []byte { return protowire.AppendBytes(b, message) }

// ItemResult is the result of one item.
type ItemResult struct {
	ID       uint64
	Response []byte // a complete HTTP/1.1 response; valid until the next Feed
	NeverRan bool
}

// WorkerMessage is a message from a worker.
type WorkerMessage struct {
	Results      []ItemResult
	Pong         uint64
	GoingAway    bool
	LastAccepted uint64
}

// Reader parses the messages of a worker from input in arbitrary pieces.
type Reader struct {
	buffered []byte
	message  WorkerMessage
}

// Errors of a Reader. After one of them, the start of the next message is unknown.
var (
	ErrMessageTooLong = errors.New("batch: message too long")
	ErrMalformed      = errors.New("batch: malformed message")
)

// Started reports whether part of a message has arrived.
func (r *Reader) Started() bool { return len(r.buffered) > 0 }

// Feed parses input and calls handle for each message that is complete. The message is valid
// during the call. Feed returns the first error of handle.
func (r *Reader) Feed(b []byte, handle func(*WorkerMessage) error) error {
	if len(r.buffered) > 0 {
		r.buffered = append(r.buffered, b...)
		b = r.buffered
	}
	for len(b) > 0 {
		size, n := protowire.ConsumeVarint(b)
		if n < 0 {
			if len(b) >= 10 { // the longest encoding of a length has 10 bytes
				return ErrMalformed
			}
			break
		}
		if size > MaxMessageBytes {
			return fmt.Errorf("%w: %d bytes, limit %d", ErrMessageTooLong, size, MaxMessageBytes)
		}
		if uint64(len(b)-n) < size {
			break
		}
		if err := r.message.read(b[n : n+int(size)]); err != nil {
			return err
		}
		b = b[n+int(size):]
		if err := handle(&r.message); err != nil {
			return err
		}
	}
	r.buffered = append(r.buffered[:0], b...)
	if len(r.buffered) == 0 && cap(r.buffered) > maxKeptBufferBytes {
		r.buffered = nil
	}
	return nil
}

const maxKeptBufferBytes = 64 << 10 // capacity of the buffer that is kept between messages

// read parses a message and replaces the contents of d. Unknown fields are ignored.
func (d *WorkerMessage) read(b []byte) error {
	*d = WorkerMessage{Results: d.Results[:0]}
	return eachField(b, func(num protowire.Number, varint uint64, content []byte) error {
		switch num {
		case downDone:
			var result ItemResult
			err := eachField(content, func(num protowire.Number, varint uint64, content []byte) error {
				switch num {
				case doneID:
					result.ID = varint
				case doneAnswer:
					result.Response = content
				case doneNeverRan:
					result.NeverRan = varint != 0
				}
				return nil
			})
			if err != nil {
				return err
			}
			d.Results = append(d.Results, result)
		case downPong:
			d.Pong = varint
		case downLeaving:
			d.GoingAway = varint != 0
		case downLast:
			d.LastAccepted = varint
		}
		return nil
	})
}

// eachField calls fn for each field of a message, with its varint or its bytes.
func eachField(b []byte, fn func(num protowire.Number, varint uint64, content []byte) error) error {
	for len(b) > 0 {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		var varint uint64
		var content []byte
		switch kind {
		case protowire.VarintType:
			varint, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			content, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, kind, b)
		}
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if err := fn(num, varint, content); err != nil {
			return err
		}
	}
	return nil
}
