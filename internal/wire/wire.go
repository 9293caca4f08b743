// Package wire encodes and decodes the simulator's binary protocol. The simulator sends
// frames of event records, and gets a frame of action records for each. The package
// converts records to the types of package policy and back, and makes no decisions.
// All integers and floats are big-endian.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"foxwood/policy"
)

// Codes of the event records, with the names that the simulator's protocol gives them.
const (
	CodeBorn      = 0  // BORN: an instance starts
	CodeNote      = 1  // NOTE_FROM: a message of another instance
	CodeAdded     = 2  // ADDED: result of a call to the shared counter
	CodeOn        = 3  // ON: the instance that the following records are for
	CodeGone      = 4  // CLIENT_GONE: a client has disconnected
	CodeHalt      = 5  // HALT: an instance stops
	CodeStreaming = 6  // STREAMING: an answer has started to arrive
	CodeElapsed   = 7  // ELAPSED: a timer has expired
	CodeSync      = 8  // SYNC: the server list, or changes to it
	CodeProbeDone = 9  // PROBE_DONE: result of a probe
	CodeReq       = 10 // REQ: a request
	CodeDone      = 11 // DONE: outcome of an attempt
)

// Codes of the action records, with the names that the simulator's protocol gives them.
const (
	codeAssign   = 0  // ASSIGN: send a request to a server
	codeTurnAway = 1  // TURN_AWAY: refuse a request
	codeLose     = 2  // LOSE: fail a request
	codeCancel   = 3  // CANCEL: cancel an attempt
	codeNotify   = 4  // NOTIFY_ME: set a timer
	codeDebug    = 8  // DEBUG: log a text
	codeDie      = 9  // DIE: the instance has crashed
	codeTally    = 12 // TALLY: call the shared counter
	codeAt       = 13 // the instance that the following actions are of
)

const (
	frameHeaderBytes = 12         // bytes of the record count and the clock, which follow the frame length
	maxFrameBytes    = 1 << 30    // largest frame in bytes
	entryBytes       = 23         // bytes of one entry of a server list
	maxTextBytes     = 0xffff     // longest text of a record in bytes
	maxDuration      = 0xffffffff // longest duration of a record in microseconds
)

// ErrTruncatedRecord reports that a record ends before its last field.
var ErrTruncatedRecord = errors.New("record ends before its last field")

// ReadFrame reads one frame, without its length, into buf or into a larger buffer if
// needed. It returns io.EOF only if the input ends between two frames.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var encodedLength [4]byte
	if _, err := io.ReadFull(r, encodedLength[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("truncated frame length: %w", err)
	}
	length := binary.BigEndian.Uint32(encodedLength[:])
	if length < frameHeaderBytes || length > maxFrameBytes {
		return nil, fmt.Errorf("frame length is %d bytes, want %d to %d", length, frameHeaderBytes, maxFrameBytes)
	}
	if uint32(cap(buf)) >= length {
		buf = buf[:length]
		if _, err := io.ReadFull(r, buf); err != nil {
			return nil, fmt.Errorf("truncated frame: %w", err)
		}
		return buf, nil
	}
	// The buffer grows with the bytes that arrive, so that a wrong length does not allocate
	// up to maxFrameBytes.
	buf, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && uint32(len(buf)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("truncated frame: %w", err)
	}
	return buf, nil
}

// EventFrame decodes the records of one frame. Reading past the end gives zero values, and
// makes Err return ErrTruncatedRecord.
type EventFrame struct {
	Time      policy.Micros // time of the events
	Records   int           // number of records
	rest      []byte        // the bytes not read yet
	truncated bool
}

// NewEventFrame decodes the header of a frame that ReadFrame returned.
func NewEventFrame(frame []byte) (EventFrame, error) {
	if len(frame) < frameHeaderBytes {
		return EventFrame{}, ErrTruncatedRecord
	}
	return EventFrame{
		Records: int(binary.BigEndian.Uint32(frame)),
		Time:    int64(binary.BigEndian.Uint64(frame[4:])),
		rest:    frame[frameHeaderBytes:],
	}, nil
}

// Remaining returns the number of bytes not read yet.
func (d *EventFrame) Remaining() int { return len(d.rest) }

// Err returns ErrTruncatedRecord if a field was read past the end, and otherwise nil.
func (d *EventFrame) Err() error {
	if d.truncated {
		return ErrTruncatedRecord
	}
	return nil
}

// take reads n bytes. Past the end it returns up to 8 zeros, enough for any number.
func (d *EventFrame) take(n int) []byte {
	if n < 0 || n > len(d.rest) {
		d.truncated = true
		d.rest = nil
		return make([]byte, min(max(n, 0), 8))
	}
	v := d.rest[:n]
	d.rest = d.rest[n:]
	return v
}

// U8 reads an unsigned 8-bit integer.
func (d *EventFrame) U8() uint8 { return d.take(1)[0] }

// U16 reads an unsigned 16-bit integer.
func (d *EventFrame) U16() uint16 { return binary.BigEndian.Uint16(d.take(2)) }

// U32 reads an unsigned 32-bit integer.
func (d *EventFrame) U32() uint32 { return binary.BigEndian.Uint32(d.take(4)) }

// U64 reads an unsigned 64-bit integer.
func (d *EventFrame) U64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

// F32 reads a 32-bit float.
func (d *EventFrame) F32() float64 { return float64(math.Float32frombits(d.U32())) }

// Server reads a server's IPv4 address and port.
func (d *EventFrame) Server() policy.Server {
	address := d.U32()
	return policy.Server(uint64(address)<<16 | uint64(d.U16()))
}

// load reads the values of a load report.
func (d *EventFrame) load() []float32 {
	n := int(d.U8())
	if n == 0 {
		return nil
	}
	if n*4 > len(d.rest) {
		d.truncated = true
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = float32(d.F32())
	}
	return v
}

// Born reads a BORN record: the seed of the instance's random numbers and its settings.
func (d *EventFrame) Born() (seed uint64, text []byte) {
	seed = d.U64()
	n := d.U32()
	if uint64(n) > uint64(len(d.rest)) {
		d.truncated = true
		return seed, nil
	}
	return seed, d.take(int(n))
}

// Note reads a NOTE_FROM record: the sending instance and its message.
func (d *EventFrame) Note() (from int, data []byte) {
	from = int(d.U16())
	return from, d.take(int(d.U16()))
}

// Added reads an ADDED record: the counter's name, how long the call took, its status and
// the counter's total.
func (d *EventFrame) Added() (name uint64, delay policy.Micros, status policy.Status, total float64) {
	name, delay = d.U64(), int64(d.U32())
	status = policy.Status(d.U16())
	return name, delay, status, d.F32()
}

// Request reads a REQ record.
func (d *EventFrame) Request() policy.Request {
	var r policy.Request
	r.ID = d.U32()
	r.Class, r.Plan = int(d.U16()), int(d.U16())
	r.Customer = d.U64()
	r.TimeLeft = int64(d.U32())
	r.Units = d.F32()
	r.GatewayCount = countFromFloat(d.F32())
	d.F32() // the index of the first gateway of the spread, which is not used
	r.IsRetry = d.U8()&flagRetry != 0
	return r
}

// flagRetry is the flag of a request that its client has sent before.
const flagRetry = 2

// countFromFloat converts a count that is encoded as a float, or returns 0 if it is out of range.
func countFromFloat(f float64) int {
	if f > 0 && f < 1<<20 {
		return int(f)
	}
	return 0
}

// Outcome reads a DONE record.
func (d *EventFrame) Outcome() policy.Outcome {
	var o policy.Outcome
	o.ID, o.Latency = d.U32(), int64(d.U32())
	o.Terminal = d.U8() != 0
	o.Status = policy.Status(d.U16())
	o.ActualUnits, o.QuotaUsed = float64(d.U16()), int(d.U16())
	o.Attempt = int(d.U8())
	o.Server = d.Server()
	o.LoadReport = d.load()
	return o
}

// ProbeDone skips a PROBE_DONE record.
func (d *EventFrame) ProbeDone() {
	d.Server()
	d.U32()
	d.U16()
	d.load()
}

// Streaming skips a STREAMING record.
func (d *EventFrame) Streaming() {
	d.U32()
	d.U32()
	d.U8()
	d.Server()
}

// Sync reads a SYNC record: the kind of the server list and its entries.
func (d *EventFrame) Sync() (policy.ListKind, []policy.Entry) {
	d.U64()
	kind := policy.ListKind(d.U8())
	n := int(d.U32())
	if n < 0 || n > len(d.rest)/entryBytes {
		d.truncated = true
		return kind, nil
	}
	entries := make([]policy.Entry, n)
	for i := range entries {
		entry := &entries[i]
		entry.Weight = d.F32()
		entry.Zone, entry.Cell = int(d.U8()), int(d.U16())
		entry.State = policy.State(d.U8())
		d.U8() // the machine type, which is not used
		entry.ReadyAt = int64(d.U64())
		entry.Server = d.Server()
	}
	return kind, entries
}

// ActionFrame collects the actions of one frame. It implements policy.Host for the instance
// that On selected last.
type ActionFrame struct {
	buffer            []byte
	selected, current int // the selected instance, and the one that the last action record belongs to
}

// Reset starts an empty frame.
func (w *ActionFrame) Reset() {
	w.buffer = append(w.buffer[:0], 0, 0, 0, 0)
	w.current = -1
}

// SelectInstance selects the instance of the actions that follow.
func (w *ActionFrame) SelectInstance(instance int) { w.selected = instance }

// Bytes returns the complete frame with its length.
func (w *ActionFrame) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buffer, uint32(len(w.buffer)-4))
	return w.buffer
}

// begin starts an action record, after a record of the instance if that has changed.
func (w *ActionFrame) begin(c byte) {
	if w.current != w.selected {
		w.current = w.selected
		w.buffer = binary.BigEndian.AppendUint16(append(w.buffer, codeAt), uint16(w.selected))
	}
	w.buffer = append(w.buffer, c)
}

func (w *ActionFrame) u32(v uint32) { w.buffer = binary.BigEndian.AppendUint32(w.buffer, v) }
func (w *ActionFrame) u64(v uint64) { w.buffer = binary.BigEndian.AppendUint64(w.buffer, v) }
func (w *ActionFrame) u16(v uint16) { w.buffer = binary.BigEndian.AppendUint16(w.buffer, v) }

// duration writes a duration, limited to the range of the field.
func (w *ActionFrame) duration(v policy.Micros) { w.u32(uint32(min(max(v, 0), maxDuration))) }
func (w *ActionFrame) server(s policy.Server) {
	w.u32(uint32(s >> 16))
	w.u16(uint16(s))
}

// text writes a record of a text, truncated to maxTextBytes.
func (w *ActionFrame) text(c byte, t []byte) {
	if len(t) > maxTextBytes {
		t = t[:maxTextBytes]
	}
	w.begin(c)
	w.u16(uint16(len(t)))
	w.buffer = append(w.buffer, t...)
}

// Send implements policy.Host. It writes an ASSIGN record.
func (w *ActionFrame) Send(id uint32, server policy.Server, timeout policy.Micros) {
	w.begin(codeAssign)
	w.u32(id)
	w.server(server)
	w.duration(timeout)
}

// Refuse implements policy.Host. It writes a TURN_AWAY record.
func (w *ActionFrame) Refuse(id uint32, retryAfter policy.Micros) {
	w.begin(codeTurnAway)
	w.u32(id)
	w.duration(retryAfter)
}

// Fail implements policy.Host. It writes a LOSE record.
func (w *ActionFrame) Fail(id uint32) {
	w.begin(codeLose)
	w.u32(id)
}

// Cancel implements policy.Host. It writes a CANCEL record.
func (w *ActionFrame) Cancel(id uint32, attempt int) {
	w.begin(codeCancel)
	w.u32(id)
	w.buffer = append(w.buffer, byte(attempt))
}

// Timer implements policy.Host. It writes a NOTIFY_ME record.
func (w *ActionFrame) Timer(token uint64, delay policy.Micros) {
	w.begin(codeNotify)
	w.u64(token)
	w.duration(delay)
}

// Count implements policy.Host. It writes a TALLY record.
func (w *ActionFrame) Count(name uint64, amount float64, ttl policy.Micros) {
	w.begin(codeTally)
	w.u64(name)
	w.u32(math.Float32bits(float32(amount)))
	w.duration(ttl)
}

// Log writes a DEBUG record, which the simulator logs.
func (w *ActionFrame) Log(t string) { w.text(codeDebug, []byte(t)) }

// Die writes a DIE record, which reports a crash of the instance.
func (w *ActionFrame) Die(t string) { w.text(codeDie, []byte(t)) }
