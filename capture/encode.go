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
	maxBlockBytes = 64 << 10 // bytes of records after which a block is complete
	maxBlockAge   = 250000   // microseconds after which a block is complete
	maxCachedIDs  = 64 << 10 // most ids in each of the encoder's maps
)

// The field numbers of Record (f...) and Entry (e...) in capturepb/capture.proto.
const (
	fKind, fAfter, fID, fClass, fPlan, fCustomer, fLeft, fUnits, fSpread, _, fAgain = 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11
	fServer, fAttempt, fStatus, fLatency, fTerminal, fSettled, fUsed, fLoad         = 12, 13, 14, 15, 16, 17, 18, 19
	fToken, fSpan, fName, fAmount, fList, fEntries, fSettings, fSeed, fAt, fText    = 20, 21, 22, 23, 24, 25, 26, 27, 28, 29
	fFilling, fSettles                                                              = 30, 31
	eServer, eState, eWeight, eZone, eCell, _, eReadyAt                             = 1, 2, 3, 4, 5, 6, 7
)

// pendingBlock is a complete block of encoded records, or a checkpoint.
type pendingBlock struct {
	raw        []byte
	records    uint32
	firstTime  policy.Micros    // time of the first record
	checkpoint *policy.Snapshot // of a checkpoint, whose record is encoded by the writer; otherwise nil
	// Hashes of the request names and customer ids in the block, for the index.
	names, customers []uint32
}

// blockSink receives the blocks of an Encoder. Its methods are called on the event loop and
// must not block.
type blockSink interface {
	// submit receives a complete block and returns a buffer for the next one.
	submit(b pendingBlock) []byte
	// checkpointDue reports whether a checkpoint is due.
	checkpointDue(now policy.Micros) bool
	// submitCheckpoint receives a checkpoint.
	submitCheckpoint(b pendingBlock)
}

// Encoder converts the calls into and out of the decision module to records. It
// implements gatekeeper.Recorder.
type Encoder struct {
	sink           blockSink
	key            *Key
	block          pendingBlock
	lastTime       policy.Micros // time of the last record
	now            policy.Micros // time of the current call of the module
	record         []byte        // the record that is being encoded
	nested         []byte        // buffer for a nested message
	encryptedIDs   [2]map[uint64]uint64
	blockCount     uint64            // number of complete blocks passed to the sink
	customerBlocks map[uint64]uint64 // encrypted customer ids, and the number of the block that last held each
}

// newEncoder creates an Encoder that passes its blocks to a blockSink.
func newEncoder(sink blockSink, key *Key) *Encoder {
	return &Encoder{sink: sink, key: key, encryptedIDs: [2]map[uint64]uint64{{}, {}}, customerBlocks: map[uint64]uint64{}}
}

// encryptID encrypts an id. It caches the results, since encrypting takes microseconds.
func (e *Encoder) encryptID(id uint64, tweak byte) uint64 {
	if !e.key.IsSet() {
		return id
	}
	cache := e.encryptedIDs[tweak]
	if encrypted, ok := cache[id]; ok {
		return encrypted
	}
	if len(cache) >= maxCachedIDs {
		clear(cache)
	}
	encrypted := e.key.encryptID(id, tweak)
	cache[id] = encrypted
	return encrypted
}

// beginRecord starts a record of a kind at the time of the current call.
func (e *Encoder) beginRecord(kind capturepb.Kind) {
	if e.block.records == 0 {
		e.block.firstTime, e.lastTime = e.now, e.now
	}
	e.record = e.record[:0]
	e.putUint(fKind, uint64(kind))
	e.putInt(fAfter, e.now-e.lastTime)
	e.lastTime = e.now
}

// beginCall starts the record of a call of the module at a time.
func (e *Encoder) beginCall(now policy.Micros, kind capturepb.Kind) {
	e.now = now
	e.beginRecord(kind)
}

// endRecord adds the record to the block, and passes the block on if it is large or old enough.
func (e *Encoder) endRecord() {
	e.block.raw = protowire.AppendBytes(e.block.raw, e.record)
	e.block.records++
	if len(e.block.raw) >= maxBlockBytes || e.now-e.block.firstTime >= maxBlockAge {
		e.flush()
	}
}

// flush passes the block on unless it is empty.
func (e *Encoder) flush() {
	if e.block.records > 0 {
		e.block = pendingBlock{raw: e.sink.submit(e.block)}
		e.blockCount++
	}
}

func (e *Encoder) putUint(field protowire.Number, v uint64) {
	if v != 0 {
		e.record = protowire.AppendVarint(protowire.AppendTag(e.record, field, protowire.VarintType), v)
	}
}

func (e *Encoder) putInt(field protowire.Number, v int64) {
	e.putUint(field, protowire.EncodeZigZag(v))
}

func (e *Encoder) putBool(field protowire.Number, v bool) {
	if v {
		e.putUint(field, 1)
	}
}

func (e *Encoder) putFixed64(field protowire.Number, v uint64) {
	if v != 0 {
		e.record = protowire.AppendFixed64(protowire.AppendTag(e.record, field, protowire.Fixed64Type), v)
	}
}

// putFloat encodes a number. Positive zero is omitted, as in proto3; negative zero is not.
func (e *Encoder) putFloat(field protowire.Number, v float64) {
	e.putFixed64(field, math.Float64bits(v))
}

func (e *Encoder) putBytes(field protowire.Number, b []byte) {
	e.record = protowire.AppendBytes(protowire.AppendTag(e.record, field, protowire.BytesType), b)
}

// putJSON encodes the settings field. The values are plain data of this module, for which
// json.Marshal does not fail unless they hold a number that JSON can't express.
func (e *Encoder) putJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error()) // not valid JSON, so a Decoder reports the record as unreadable
	}
	e.putBytes(fSettings, b)
}

// Started implements gatekeeper.Recorder.
func (e *Encoder) Started(now policy.Micros, s policy.Settings, seed uint64) {
	e.beginCall(now, capturepb.Kind_BEGAN)
	e.putJSON(s)
	e.putUint(fSeed, seed)
	e.putUint(fAt, uint64(now))
	e.endRecord()
}

// RequestReceived implements gatekeeper.Recorder.
func (e *Encoder) RequestReceived(now policy.Micros, r policy.Request) {
	e.beginCall(now, capturepb.Kind_REQUESTED)
	e.putUint(fID, uint64(r.ID))
	e.putUint(fClass, uint64(int64(r.Class)))
	e.putUint(fPlan, uint64(int64(r.Plan)))
	customer := e.encryptID(r.Customer, customerTweak)
	e.putFixed64(fCustomer, customer)
	if at, ok := e.customerBlocks[customer]; !ok || at != e.blockCount { // the index lists a customer once per block
		if len(e.customerBlocks) >= maxCachedIDs {
			clear(e.customerBlocks)
		}
		e.customerBlocks[customer] = e.blockCount
		e.block.customers = append(e.block.customers, indexHashOfID(customer))
	}
	e.putInt(fLeft, r.TimeLeft)
	e.putFloat(fUnits, r.Units)
	e.putUint(fSpread, uint64(int64(r.GatewayCount)))
	e.putBool(fAgain, r.IsRetry)
	e.putBool(fFilling, r.BodyPending)
	e.endRecord()
}

// RequestNamed implements gatekeeper.Recorder.
func (e *Encoder) RequestNamed(id uint32, name string) {
	e.beginRecord(capturepb.Kind_NAMED)
	e.putUint(fID, uint64(id))
	e.record = protowire.AppendString(protowire.AppendTag(e.record, fText, protowire.BytesType), name)
	e.block.names = append(e.block.names, uint32(xxh3.HashString(name)))
	e.endRecord()
}

// ClientGone implements gatekeeper.Recorder.
func (e *Encoder) ClientGone(now policy.Micros, id uint32) {
	e.beginCall(now, capturepb.Kind_GONE)
	e.putUint(fID, uint64(id))
	e.endRecord()
}

// ExecutionEnded implements gatekeeper.Recorder.
func (e *Encoder) ExecutionEnded(now policy.Micros, o policy.Outcome) {
	e.beginCall(now, capturepb.Kind_ENDED)
	e.putUint(fID, uint64(o.ID))
	e.putFixed64(fServer, uint64(o.Server))
	e.putUint(fAttempt, uint64(int64(o.Attempt)))
	e.putUint(fStatus, uint64(o.Status))
	e.putInt(fLatency, o.Latency)
	e.putBool(fTerminal, o.Terminal)
	e.putFloat(fSettled, o.ActualUnits)
	e.putUint(fUsed, uint64(int64(o.QuotaUsed)))
	if len(o.LoadReport) > 0 {
		e.nested = e.nested[:0]
		for _, v := range o.LoadReport {
			e.nested = protowire.AppendFixed32(e.nested, math.Float32bits(v))
		}
		e.putBytes(fLoad, e.nested)
	}
	e.endRecord()
}

// CounterCallEnded implements gatekeeper.Recorder.
func (e *Encoder) CounterCallEnded(now policy.Micros, name uint64, delay policy.Micros, status policy.Status, total float64) {
	e.beginCall(now, capturepb.Kind_COUNTED)
	e.putUint(fStatus, uint64(status))
	e.putInt(fSpan, delay)
	e.putFixed64(fName, e.encryptID(name, counterTweak))
	e.putFloat(fAmount, total)
	e.endRecord()
}

// WorkersUpdated implements gatekeeper.Recorder.
func (e *Encoder) WorkersUpdated(now policy.Micros, kind policy.ListKind, entries []policy.Entry) {
	e.beginCall(now, capturepb.Kind_LISTED)
	e.putUint(fList, uint64(kind))
	record := e.record
	for _, w := range entries {
		e.record = e.nested[:0]
		e.putFixed64(eServer, uint64(w.Server))
		e.putUint(eState, uint64(w.State))
		e.putFloat(eWeight, w.Weight)
		e.putUint(eZone, uint64(int64(w.Zone)))
		e.putUint(eCell, uint64(int64(w.Cell)))
		e.putUint(eReadyAt, uint64(w.ReadyAt))
		e.nested = e.record
		record = protowire.AppendBytes(protowire.AppendTag(record, fEntries, protowire.BytesType), e.nested)
	}
	e.record = record
	e.endRecord()
}

// ClassesReplaced implements gatekeeper.Recorder.
func (e *Encoder) ClassesReplaced(now policy.Micros, classes []policy.Class) {
	e.beginCall(now, capturepb.Kind_CLASSES)
	e.putJSON(policy.Settings{Classes: classes})
	e.endRecord()
}

// BodyReceived implements gatekeeper.Recorder.
func (e *Encoder) BodyReceived(now policy.Micros, id uint32) {
	e.beginCall(now, capturepb.Kind_FILLED)
	e.putUint(fID, uint64(id))
	e.endRecord()
}

// WorkerProgressed implements gatekeeper.Recorder.
func (e *Encoder) WorkerProgressed(now policy.Micros, server policy.Server) {
	e.beginCall(now, capturepb.Kind_PROGRESSED)
	e.putFixed64(fServer, uint64(server))
	e.endRecord()
}

// PeerJoined implements gatekeeper.Recorder.
func (e *Encoder) PeerJoined(now, born policy.Micros) {
	e.beginCall(now, capturepb.Kind_JOINED)
	e.putUint(fAt, uint64(born))
	e.endRecord()
}

// PeerDrew implements gatekeeper.Recorder.
func (e *Encoder) PeerDrew(now policy.Micros, d policy.PeerDraw) {
	e.beginCall(now, capturepb.Kind_BESIDE)
	e.putUint(fPlan, uint64(int64(d.Plan)))
	e.putFixed64(fCustomer, e.encryptID(d.Customer, customerTweak))
	e.putFloat(fUnits, d.Units)
	e.putUint(fSpread, uint64(int64(d.GatewayCount)))
	e.putFixed64(fServer, uint64(d.Server))
	e.putBool(fSettles, d.Settlement)
	e.endRecord()
}

// TimerExpired implements gatekeeper.Recorder.
func (e *Encoder) TimerExpired(now policy.Micros, token uint64) {
	e.beginCall(now, capturepb.Kind_RANG)
	e.putUint(fToken, token)
	e.endRecord()
}

// StateRecovered implements gatekeeper.Recorder.
func (e *Encoder) StateRecovered(now policy.Micros, s policy.Snapshot, exact bool) {
	e.beginCall(now, capturepb.Kind_RECOVERED)
	e.putJSON(e.key.encryptState(s))
	e.putBool(fAgain, exact)
	e.endRecord()
}

// OfferCheckpoint implements gatekeeper.Recorder.
func (e *Encoder) OfferCheckpoint(now policy.Micros, take func() policy.Snapshot) {
	if !e.sink.checkpointDue(now) {
		return
	}
	e.flush()
	state := take()
	e.sink.submitCheckpoint(pendingBlock{records: 1, firstTime: now, checkpoint: &state})
}

// encodeCheckpoint encodes a checkpoint as the only record of its block.
func encodeCheckpoint(s *policy.Snapshot, key *Key) []byte {
	var e Encoder
	e.putUint(fKind, uint64(capturepb.Kind_CHECKPOINT))
	e.putJSON(key.encryptState(*s))
	return protowire.AppendBytes(nil, e.record)
}

// Send implements policy.Host.
func (e *Encoder) Send(id uint32, server policy.Server, timeout policy.Micros) {
	e.beginRecord(capturepb.Kind_SEND)
	e.putUint(fID, uint64(id))
	e.putFixed64(fServer, uint64(server))
	e.putInt(fSpan, timeout)
	e.endRecord()
}

// Refuse implements policy.Host.
func (e *Encoder) Refuse(id uint32, retryAfter policy.Micros) {
	e.beginRecord(capturepb.Kind_REFUSE)
	e.putUint(fID, uint64(id))
	e.putInt(fSpan, retryAfter)
	e.endRecord()
}

// Fail implements policy.Host.
func (e *Encoder) Fail(id uint32) {
	e.beginRecord(capturepb.Kind_FAIL)
	e.putUint(fID, uint64(id))
	e.endRecord()
}

// Cancel implements policy.Host.
func (e *Encoder) Cancel(id uint32, attempt int) {
	e.beginRecord(capturepb.Kind_CANCEL)
	e.putUint(fID, uint64(id))
	e.putUint(fAttempt, uint64(int64(attempt)))
	e.endRecord()
}

// Timer implements policy.Host.
func (e *Encoder) Timer(token uint64, delay policy.Micros) {
	e.beginRecord(capturepb.Kind_TIMER)
	e.putUint(fToken, token)
	e.putInt(fSpan, delay)
	e.endRecord()
}

// Count implements policy.Host.
func (e *Encoder) Count(name uint64, amount float64, ttl policy.Micros) {
	e.beginRecord(capturepb.Kind_COUNT)
	e.putFixed64(fName, e.encryptID(name, counterTweak))
	e.putFloat(fAmount, amount)
	e.putInt(fSpan, ttl)
	e.endRecord()
}
