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
	blockMost  = 64 << 10 // bytes of records in a block
	blockAge   = 250000   // microseconds that one is kept open
	cachedMost = 64 << 10 // ids whose replacements are remembered
)

// The field numbers of Record and Entry in capturepb/capture.proto.
const (
	fKind, fAfter, fID, fClass, fPlan, fCustomer, fLeft, fUnits, fSpread, _, fAgain = 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11
	fServer, fAttempt, fStatus, fLatency, fTerminal, fSettled, fUsed, fLoad         = 12, 13, 14, 15, 16, 17, 18, 19
	fToken, fSpan, fName, fAmount, fList, fEntries, fSettings, fSeed, fAt, fText    = 20, 21, 22, 23, 24, 25, 26, 27, 28, 29
	fFilling, fSettles                                                              = 30, 31
	eServer, eState, eWeight, eZone, eCell, _, eReadyAt                             = 1, 2, 3, 4, 5, 6, 7
)

// filled is a block's worth of records on its way to a writer.
type filled struct {
	raw     []byte
	records uint32
	first   policy.Micros
	state   *policy.Snapshot // in the place of records: made one by who writes it
	// for the index
	names, customers []uint32
}

// taker takes blocks over. It must not wait, and returns a buffer for the next.
type taker interface {
	take(b filled) []byte
	// wants tells whether a checkpoint is due, and offer hands one over.
	wants(now policy.Micros) bool
	offer(b filled)
}

// Encoder turns the module's calls into records. It implements gatekeeper.Recorder.
type Encoder struct {
	to      taker
	key     *Key
	block   filled
	last    policy.Micros // time of the last record
	now     policy.Micros // of the call under way
	record  []byte
	part    []byte
	replace [2]map[uint64]uint64
	blocks  uint64            // handed on
	met     map[uint64]uint64 // customers, and the block that they were last in
}

// newEncoder makes an encoder whose blocks a taker takes.
func newEncoder(to taker, key *Key) *Encoder {
	return &Encoder{to: to, key: key, replace: [2]map[uint64]uint64{{}, {}}, met: map[uint64]uint64{}}
}

// hide replaces an id, and remembers by what: the permutation costs microseconds.
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

// begin starts a record of a kind.
func (e *Encoder) begin(kind capturepb.Kind) {
	if e.block.records == 0 {
		e.block.first, e.last = e.now, e.now
	}
	e.record = e.record[:0]
	e.uint(fKind, uint64(kind))
	e.int(fAfter, e.now-e.last)
	e.last = e.now
}

// call starts the record of a call of the module.
func (e *Encoder) call(now policy.Micros, kind capturepb.Kind) {
	e.now = now
	e.begin(kind)
}

// end puts the record into the block, and hands that on where it is full or old.
func (e *Encoder) end() {
	e.block.raw = protowire.AppendBytes(e.block.raw, e.record)
	e.block.records++
	if len(e.block.raw) >= blockMost || e.now-e.block.first >= blockAge {
		e.flush()
	}
}

// flush hands on what there is.
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

// float writes what is not nothing; a negative zero is not.
func (e *Encoder) float(field protowire.Number, v float64) { e.fixed(field, math.Float64bits(v)) }

func (e *Encoder) bytes(field protowire.Number, b []byte) {
	e.record = protowire.AppendBytes(protowire.AppendTag(e.record, field, protowire.BytesType), b)
}

// json writes what is plain data of our own, which always can be.
func (e *Encoder) json(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error()) // a reader will say that it can't be read
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
	if at, ok := e.met[customer]; !ok || at != e.blocks { // once a block
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
func (e *Encoder) Counted(now policy.Micros, name uint64, delay policy.Micros, st policy.Status, total float64) {
	e.call(now, capturepb.Kind_COUNTED)
	e.uint(fStatus, uint64(st))
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
func (e *Encoder) Progressed(now policy.Micros, at policy.Server) {
	e.call(now, capturepb.Kind_PROGRESSED)
	e.fixed(fServer, uint64(at))
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

// stateRecord is a checkpoint as the one record of its block.
func stateRecord(s *policy.Snapshot, key *Key) []byte {
	var e Encoder
	e.uint(fKind, uint64(capturepb.Kind_CHECKPOINT))
	e.json(key.hideState(*s))
	return protowire.AppendBytes(nil, e.record)
}

// Send implements policy.Host.
func (e *Encoder) Send(id uint32, to policy.Server, timeout policy.Micros) {
	e.begin(capturepb.Kind_SEND)
	e.uint(fID, uint64(id))
	e.fixed(fServer, uint64(to))
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
func (e *Encoder) Timer(token uint64, after policy.Micros) {
	e.begin(capturepb.Kind_TIMER)
	e.uint(fToken, token)
	e.int(fSpan, after)
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
