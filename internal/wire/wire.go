// Package wire reads and writes the simulator's binary frames. It decides
// nothing: it turns records into the policy package's events and actions into
// records.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"foxwood/policy"
)

// Codes of the event records.
const (
	CodeBorn      = 0
	CodeNote      = 1
	CodeAdded     = 2
	CodeOn        = 3
	CodeGone      = 4
	CodeHalt      = 5
	CodeStreaming = 6
	CodeElapsed   = 7
	CodeSync      = 8
	CodeProbeDone = 9
	CodeReq       = 10
	CodeDone      = 11
)

// Codes of the action records.
const (
	codeAssign   = 0
	codeTurnAway = 1
	codeLose     = 2
	codeCancel   = 3
	codeNotify   = 4
	codeDebug    = 8
	codeDie      = 9
	codeTally    = 12
	codeAt       = 13
)

const (
	batchHeader = 12         // record count and clock, behind the length
	maxFrame    = 1 << 30    // no frame is longer
	entryBytes  = 23         // one entry of a list
	maxText     = 0xffff     // the longest text of a record
	maxMicros   = 0xffffffff // the longest span a record can hold
)

// ErrShort says that a record ends before its fields do.
var ErrShort = errors.New("record ends before its fields do")

// ReadFrame reads one batch into buf, grown where needed. It returns io.EOF only
// where the input ends between frames.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("truncated frame length: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < batchHeader || n > maxFrame {
		return nil, fmt.Errorf("frame length %d is out of range", n)
	}
	if uint32(cap(buf)) >= n {
		buf = buf[:n]
		if _, err := io.ReadFull(r, buf); err != nil {
			return nil, fmt.Errorf("truncated frame: %w", err)
		}
		return buf, nil
	}
	// grown as the bytes come, so that a false length does not claim memory
	buf, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && uint32(len(buf)) < n {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("truncated frame: %w", err)
	}
	return buf, nil
}

// Batch walks the records of one frame.
type Batch struct {
	Clock   policy.Micros
	Records int
	b       []byte
	short   bool
}

// NewBatch reads the header of a frame that ReadFrame returned.
func NewBatch(frame []byte) (Batch, error) {
	if len(frame) < batchHeader {
		return Batch{}, ErrShort
	}
	return Batch{
		Records: int(binary.BigEndian.Uint32(frame)),
		Clock:   int64(binary.BigEndian.Uint64(frame[4:])),
		b:       frame[batchHeader:],
	}, nil
}

// Rest is the number of bytes not read yet.
func (d *Batch) Rest() int { return len(d.b) }

// Err tells whether a field was read past the end.
func (d *Batch) Err() error {
	if d.short {
		return ErrShort
	}
	return nil
}

func (d *Batch) take(n int) []byte {
	if n < 0 || n > len(d.b) {
		d.short = true
		d.b = nil
		return make([]byte, min(max(n, 0), 8))
	}
	v := d.b[:n]
	d.b = d.b[n:]
	return v
}

// U8 reads one byte.
func (d *Batch) U8() uint8 { return d.take(1)[0] }

// U16 reads two bytes.
func (d *Batch) U16() uint16 { return binary.BigEndian.Uint16(d.take(2)) }

// U32 reads four bytes.
func (d *Batch) U32() uint32 { return binary.BigEndian.Uint32(d.take(4)) }

// U64 reads eight bytes.
func (d *Batch) U64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

// F32 reads a float.
func (d *Batch) F32() float64 { return float64(math.Float32frombits(d.U32())) }

// Server reads an address and a port.
func (d *Batch) Server() policy.Server {
	a := d.U32()
	return policy.Server(uint64(a)<<16 | uint64(d.U16()))
}

func (d *Batch) load() []float32 {
	n := int(d.U8())
	if n == 0 {
		return nil
	}
	if n*4 > len(d.b) {
		d.short = true
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = float32(d.F32())
	}
	return v
}

// Born reads the seed and the settings text of a BORN record.
func (d *Batch) Born() (seed uint64, text []byte) {
	seed = d.U64()
	n := d.U32()
	if uint64(n) > uint64(len(d.b)) {
		d.short = true
		return seed, nil
	}
	return seed, d.take(int(n))
}

// Note reads a NOTE_FROM record.
func (d *Batch) Note() (from int, data []byte) {
	from = int(d.U16())
	return from, d.take(int(d.U16()))
}

// Added reads an ADDED record.
func (d *Batch) Added() (name uint64, delay policy.Micros, st policy.Status, total float64) {
	name, delay = d.U64(), int64(d.U32())
	st = policy.Status(d.U16())
	return name, delay, st, d.F32()
}

// Request reads a REQ record.
func (d *Batch) Request() policy.Request {
	var r policy.Request
	r.ID = d.U32()
	r.Class, r.Plan = int(d.U16()), int(d.U16())
	r.Customer = d.U64()
	r.Left = int64(d.U32())
	r.Units = d.F32()
	r.Spread = toInt(d.F32())
	d.F32() // the number of the first of them
	r.Again = d.U8()&bitAgain != 0
	return r
}

// bitAgain marks a client's repeat among a request's bits.
const bitAgain = 2

// toInt turns a count that travels as a float into an int; nonsense is 0.
func toInt(f float64) int {
	if f > 0 && f < 1<<20 {
		return int(f)
	}
	return 0
}

// Outcome reads a DONE record.
func (d *Batch) Outcome() policy.Outcome {
	var o policy.Outcome
	o.ID, o.Latency = d.U32(), int64(d.U32())
	o.Terminal = d.U8() != 0
	o.Status = policy.Status(d.U16())
	o.Settled, o.Used = float64(d.U16()), int(d.U16())
	o.Attempt = int(d.U8())
	o.Server = d.Server()
	o.Load = d.load()
	return o
}

// ProbeDone reads past a PROBE_DONE record.
func (d *Batch) ProbeDone() {
	d.Server()
	d.U32()
	d.U16()
	d.load()
}

// Streaming reads past a STREAMING record.
func (d *Batch) Streaming() {
	d.U32()
	d.U32()
	d.U8()
	d.Server()
}

// Sync reads a SYNC record.
func (d *Batch) Sync() (policy.ListKind, []policy.Entry) {
	d.U64()
	kind := policy.ListKind(d.U8())
	n := int(d.U32())
	if n < 0 || n > len(d.b)/entryBytes {
		d.short = true
		return kind, nil
	}
	es := make([]policy.Entry, n)
	for i := range es {
		e := &es[i]
		e.Weight = d.F32()
		e.Zone, e.Cell = int(d.U8()), int(d.U16())
		e.State = policy.State(d.U8())
		d.U8() // its kind of machine
		e.ReadyAt = int64(d.U64())
		e.Server = d.Server()
	}
	return kind, es
}

// Reply gathers the actions of one frame. It is the policy.Host of the instance
// that On named last.
type Reply struct {
	b       []byte
	on, now int
}

// Reset empties the reply.
func (w *Reply) Reset() {
	w.b = append(w.b[:0], 0, 0, 0, 0)
	w.now = -1
}

// On names the instance of the actions that follow.
func (w *Reply) On(instance int) { w.on = instance }

// Bytes is the whole frame.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.b, uint32(len(w.b)-4))
	return w.b
}

func (w *Reply) code(c byte) {
	if w.now != w.on {
		w.now = w.on
		w.b = binary.BigEndian.AppendUint16(append(w.b, codeAt), uint16(w.on))
	}
	w.b = append(w.b, c)
}

func (w *Reply) u32(v uint32)         { w.b = binary.BigEndian.AppendUint32(w.b, v) }
func (w *Reply) u64(v uint64)         { w.b = binary.BigEndian.AppendUint64(w.b, v) }
func (w *Reply) u16(v uint16)         { w.b = binary.BigEndian.AppendUint16(w.b, v) }
func (w *Reply) span(v policy.Micros) { w.u32(uint32(min(max(v, 0), maxMicros))) }

func (w *Reply) server(s policy.Server) {
	w.u32(uint32(s >> 16))
	w.u16(uint16(s))
}

func (w *Reply) text(c byte, t []byte) {
	if len(t) > maxText {
		t = t[:maxText]
	}
	w.code(c)
	w.u16(uint16(len(t)))
	w.b = append(w.b, t...)
}

// Send writes ASSIGN.
func (w *Reply) Send(id uint32, to policy.Server, timeout policy.Micros) {
	w.code(codeAssign)
	w.u32(id)
	w.server(to)
	w.span(timeout)
}

// Refuse writes TURN_AWAY.
func (w *Reply) Refuse(id uint32, retryAfter policy.Micros) {
	w.code(codeTurnAway)
	w.u32(id)
	w.span(retryAfter)
}

// Fail writes LOSE.
func (w *Reply) Fail(id uint32) {
	w.code(codeLose)
	w.u32(id)
}

// Cancel writes CANCEL.
func (w *Reply) Cancel(id uint32, attempt int) {
	w.code(codeCancel)
	w.u32(id)
	w.b = append(w.b, byte(attempt))
}

// Timer writes NOTIFY_ME.
func (w *Reply) Timer(token uint64, after policy.Micros) {
	w.code(codeNotify)
	w.u64(token)
	w.span(after)
}

// Count writes TALLY.
func (w *Reply) Count(name uint64, amount float64, ttl policy.Micros) {
	w.code(codeTally)
	w.u64(name)
	w.u32(math.Float32bits(float32(amount)))
	w.span(ttl)
}

// Log writes DEBUG.
func (w *Reply) Log(t string) { w.text(codeDebug, []byte(t)) }

// Die writes DIE.
func (w *Reply) Die(t string) { w.text(codeDie, []byte(t)) }
