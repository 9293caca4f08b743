package capture

import (
	"encoding/json"
	"math"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/encoding/protowire"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

const (
	blockMost  = 64 << 10 // bytes of records after which a block is complete
	blockAge   = 250000   // microseconds after which a block is complete
	cachedMost = 64 << 10 // most ids in each of the encoder's maps
)

// The field numbers of Record (f...) and Entry (e...) in capturepb/capture.proto.
const (
	fKind, fAfter, fID, fClass, fPlan, fCustomer, fLeft, fUnits, fSpread, _, fAgain = 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11
	fServer, fAttempt, fStatus, fLatency, fTerminal, fSettled, fUsed, fLoad         = 12, 13, 14, 15, 16, 17, 18, 19
	fToken, fSpan, fName, fAmount, fList, fEntries, fSettings, fSeed, fAt, fText    = 20, 21, 22, 23, 24, 25, 26, 27, 28, 29
	fFilling, fSettles                                                              = 30, 31
	eServer, eState, eWeight, eZone, eCell, _, eReadyAt                             = 1, 2, 3, 4, 5, 6, 7
)

// filled is a complete block of encoded records, or a checkpoint.
type filled struct {
	raw     []byte
	records uint32
	first   policy.Micros    // time of the first record
	state   *policy.Snapshot // of a checkpoint, whose record is encoded by the writer; otherwise nil
	// Hashes of the request names and customer ids in the block, for the index.
	names, customers []uint32
}

// taker receives the blocks of an Encoder. Its methods are called on the event loop and
// must not block.
type taker interface {
	// take receives a complete block and returns a buffer for the next one.
	take(b filled) []byte
	// wants reports whether a checkpoint is due.
	wants(now policy.Micros) bool
	// offer receives a checkpoint.
	offer(b filled)
}

// Encoder converts the calls into and out of the decision module to records. It
// implements gatekeeper.Recorder.
type Encoder struct {
	to      taker
	key     *Key
	block   filled
	last    policy.Micros // time of the last record
	now     policy.Micros // time of the current call of the module
	record  []byte        // the record that is being encoded
	part    []byte        // buffer for a nested message
	replace [2]map[uint64]uint64
	blocks  uint64            // number of complete blocks passed to the taker
	met     map[uint64]uint64 // encrypted customer ids, and the number of the block that last held each
}

// newEncoder creates an Encoder that passes its blocks to a taker.
func newEncoder(to taker, key *Key) *Encoder {
	return &Encoder{to: to, key: key, replace: [2]map[uint64]uint64{{}, {}}, met: map[uint64]uint64{}}
}

// hide encrypts an id. It caches the results, since encrypting takes microseconds.
func (e *Encoder) hide(id uint64, tweak byte) uint64 {
	if !e.key.Set() {
		return id
	}
	seen := e.replace[tweak]
	if v, ok := seen[id]; ok {
		return v
	}
	if len(seen) >= cachedMost {
		clear(seen)
	}
	v := e.key.hide(id, tweak)
	seen[id] = v
	return v
}

// begin starts a record of a kind at the time of the current call.
func (e *Encoder) begin(kind capturepb.Kind) {
	if e.block.records == 0 {
		e.block.first, e.last = e.now, e.now
	}
	e.record = e.record[:0]
	e.uint(fKind, uint64(kind))
	e.int(fAfter, e.now-e.last)
	e.last = e.now
}

// call starts the record of a call of the module at a time.
func (e *Encoder) call(now policy.Micros, kind capturepb.Kind) {
	e.now = now
	e.begin(kind)
}

// end adds the record to the block, and passes the block on if it is large or old enough.
func (e *Encoder) end() {
	e.block.raw = protowire.AppendBytes(e.block.raw, e.record)
	e.block.records++
	if len(e.block.raw) >= blockMost || e.now-e.block.first >= blockAge {
		e.flush()
	}
}

// flush passes the block on unless it is empty.
func (e *Encoder) flush() {
	if e.block.records > 0 {
		e.block = filled{raw: e.to.take(e.block)}
		e.blocks++
	}
}

func (e *Encoder) uint(field protowire.Number, v uint64) {
	if v != 0 {
		e.record = protowire.AppendVarint(protowire.AppendTag(e.record, field, protowire.VarintType), v)
	}
}

func (e *Encoder) int(field protowire.Number, v int64) { e.uint(field, protowire.EncodeZigZag(v)) }

func (e *Encoder) bool(field protowire.Number, v bool) {
	if v {
		e.uint(field, 1)
	}
}

func (e *Encoder) fixed(field protowire.Number, v uint64) {
	if v != 0 {
		e.record = protowire.AppendFixed64(protowire.AppendTag(e.record, field, protowire.Fixed64Type), v)
	}
}

// float encodes a number. Positive zero is omitted, as in proto3; negative zero is not.
func (e *Encoder) float(field protowire.Number, v float64) { e.fixed(field, math.Float64bits(v)) }

func (e *Encoder) bytes(field protowire.Number, b []byte) {
	e.record = protowire.AppendBytes(protowire.AppendTag(e.record, field, protowire.BytesType), b)
}

// json encodes the settings field. The values are plain data of this module, for which
// json.Marshal does not fail unless they hold a number that JSON can't express.
func (e *Encoder) json(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error()) // not valid JSON, so a Decoder reports the record as unreadable
	}
	e.bytes(fSettings, b)
}

// Began implements gatekeeper.Recorder.
func (e *Encoder) Began(now policy.Micros, s policy.Settings, seed uint64) {
	e.call(now, capturepb.Kind_BEGAN)
	e.json(s)
	e.uint(fSeed, seed)
	e.uint(fAt, uint64(now))
	e.end()
}

// Requested implements gatekeeper.Recorder.
func (e *Encoder) Requested(now policy.Micros, r policy.Request) {
	e.call(now, capturepb.Kind_REQUESTED)
	e.uint(fID, uint64(r.ID))
	e.uint(fClass, uint64(int64(r.Class)))
	e.uint(fPlan, uint64(int64(r.Plan)))
	customer := e.hide(r.Customer, ofCustomers)
	e.fixed(fCustomer, customer)
	if at, ok := e.met[customer]; !ok || at != e.blocks { // the index lists a customer once per block
		if len(e.met) >= cachedMost {
			clear(e.met)
		}
		e.met[customer] = e.blocks
		e.block.customers = append(e.block.customers, shortID(customer))
	}
	e.int(fLeft, r.Left)
	e.float(fUnits, r.Units)
	e.uint(fSpread, uint64(int64(r.Spread)))
	e.bool(fAgain, r.Again)
	e.bool(fFilling, r.Filling)
	e.end()
}

// Named implements gatekeeper.Recorder.
func (e *Encoder) Named(id uint32, name string) {
	e.begin(capturepb.Kind_NAMED)
	e.uint(fID, uint64(id))
	e.record = protowire.AppendString(protowire.AppendTag(e.record, fText, protowire.BytesType), name)
	e.block.names = append(e.block.names, uint32(xxh3.HashString(name)))
	e.end()
}

// Gone implements gatekeeper.Recorder.
func (e *Encoder) Gone(now policy.Micros, id uint32) {
	e.call(now, capturepb.Kind_GONE)
	e.uint(fID, uint64(id))
	e.end()
}

// Ended implements gatekeeper.Recorder.
func (e *Encoder) Ended(now policy.Micros, o policy.Outcome) {
	e.call(now, capturepb.Kind_ENDED)
	e.uint(fID, uint64(o.ID))
	e.fixed(fServer, uint64(o.Server))
	e.uint(fAttempt, uint64(int64(o.Attempt)))
	e.uint(fStatus, uint64(o.Status))
	e.int(fLatency, o.Latency)
	e.bool(fTerminal, o.Terminal)
	e.float(fSettled, o.Settled)
	e.uint(fUsed, uint64(int64(o.Used)))
	if len(o.Load) > 0 {
		e.part = e.part[:0]
		for _, v := range o.Load {
			e.part = protowire.AppendFixed32(e.part, math.Float32bits(v))
		}
		e.bytes(fLoad, e.part)
	}
	e.end()
}

// Counted implements gatekeeper.Recorder.
func (e *Encoder) Counted(now policy.Micros, name uint64, delay policy.Micros, status policy.Status, total float64) {
	e.call(now, capturepb.Kind_COUNTED)
	e.uint(fStatus, uint64(status))
	e.int(fSpan, delay)
	e.fixed(fName, e.hide(name, ofNames))
	e.float(fAmount, total)
	e.end()
}

// Listed implements gatekeeper.Recorder.
func (e *Encoder) Listed(now policy.Micros, kind policy.ListKind, entries []policy.Entry) {
	e.call(now, capturepb.Kind_LISTED)
	e.uint(fList, uint64(kind))
	record := e.record
	for _, w := range entries {
		e.record = e.part[:0]
		e.fixed(eServer, uint64(w.Server))
		e.uint(eState, uint64(w.State))
		e.float(eWeight, w.Weight)
		e.uint(eZone, uint64(int64(w.Zone)))
		e.uint(eCell, uint64(int64(w.Cell)))
		e.uint(eReadyAt, uint64(w.ReadyAt))
		e.part = e.record
		record = protowire.AppendBytes(protowire.AppendTag(record, fEntries, protowire.BytesType), e.part)
	}
	e.record = record
	e.end()
}

// Classes implements gatekeeper.Recorder.
func (e *Encoder) Classes(now policy.Micros, classes []policy.Class) {
	e.call(now, capturepb.Kind_CLASSES)
	e.json(policy.Settings{Classes: classes})
	e.end()
}

// Filled implements gatekeeper.Recorder.
func (e *Encoder) Filled(now policy.Micros, id uint32) {
	e.call(now, capturepb.Kind_FILLED)
	e.uint(fID, uint64(id))
	e.end()
}

// Progressed implements gatekeeper.Recorder.
func (e *Encoder) Progressed(now policy.Micros, server policy.Server) {
	e.call(now, capturepb.Kind_PROGRESSED)
	e.fixed(fServer, uint64(server))
	e.end()
}

// Joined implements gatekeeper.Recorder.
func (e *Encoder) Joined(now, born policy.Micros) {
	e.call(now, capturepb.Kind_JOINED)
	e.uint(fAt, uint64(born))
	e.end()
}

// Beside implements gatekeeper.Recorder.
func (e *Encoder) Beside(now policy.Micros, d policy.Draw) {
	e.call(now, capturepb.Kind_BESIDE)
	e.uint(fPlan, uint64(int64(d.Plan)))
	e.fixed(fCustomer, e.hide(d.Customer, ofCustomers))
	e.float(fUnits, d.Units)
	e.uint(fSpread, uint64(int64(d.Spread)))
	e.fixed(fServer, uint64(d.Server))
	e.bool(fSettles, d.Settles)
	e.end()
}

// Rang implements gatekeeper.Recorder.
func (e *Encoder) Rang(now policy.Micros, token uint64) {
	e.call(now, capturepb.Kind_RANG)
	e.uint(fToken, token)
	e.end()
}

// Recovered implements gatekeeper.Recorder.
func (e *Encoder) Recovered(now policy.Micros, s policy.Snapshot, exact bool) {
	e.call(now, capturepb.Kind_RECOVERED)
	e.json(e.key.hideState(s))
	e.bool(fAgain, exact)
	e.end()
}

// Checkpoint implements gatekeeper.Recorder.
func (e *Encoder) Checkpoint(now policy.Micros, take func() policy.Snapshot) {
	if !e.to.wants(now) {
		return
	}
	e.flush()
	state := take()
	e.to.offer(filled{records: 1, first: now, state: &state})
}

// stateRecord encodes a checkpoint as the only record of its block.
func stateRecord(s *policy.Snapshot, key *Key) []byte {
	var e Encoder
	e.uint(fKind, uint64(capturepb.Kind_CHECKPOINT))
	e.json(key.hideState(*s))
	return protowire.AppendBytes(nil, e.record)
}

// Send implements policy.Host.
func (e *Encoder) Send(id uint32, server policy.Server, timeout policy.Micros) {
	e.begin(capturepb.Kind_SEND)
	e.uint(fID, uint64(id))
	e.fixed(fServer, uint64(server))
	e.int(fSpan, timeout)
	e.end()
}

// Refuse implements policy.Host.
func (e *Encoder) Refuse(id uint32, retryAfter policy.Micros) {
	e.begin(capturepb.Kind_REFUSE)
	e.uint(fID, uint64(id))
	e.int(fSpan, retryAfter)
	e.end()
}

// Fail implements policy.Host.
func (e *Encoder) Fail(id uint32) {
	e.begin(capturepb.Kind_FAIL)
	e.uint(fID, uint64(id))
	e.end()
}

// Cancel implements policy.Host.
func (e *Encoder) Cancel(id uint32, attempt int) {
	e.begin(capturepb.Kind_CANCEL)
	e.uint(fID, uint64(id))
	e.uint(fAttempt, uint64(int64(attempt)))
	e.end()
}

// Timer implements policy.Host.
func (e *Encoder) Timer(token uint64, delay policy.Micros) {
	e.begin(capturepb.Kind_TIMER)
	e.uint(fToken, token)
	e.int(fSpan, delay)
	e.end()
}

// Count implements policy.Host.
func (e *Encoder) Count(name uint64, amount float64, ttl policy.Micros) {
	e.begin(capturepb.Kind_COUNT)
	e.fixed(fName, e.hide(name, ofNames))
	e.float(fAmount, amount)
	e.int(fSpan, ttl)
	e.end()
}
