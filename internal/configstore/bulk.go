package configstore

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// Messages with large bodies (log entries, snapshots, answers of the tail) are transferred in
// chunks, on connections other than those of the heartbeats. sender and receiver are the sending
// and the receiving side, both state machines without a clock: calls and answers go in with the
// time in milliseconds, and the next call or the received message comes out.

const (
	minBulkBody = 16 << 10  // bytes of a body from which a message is transferred in chunks
	minChunk    = 16 << 10  // minimum chunk size in bytes
	maxChunk    = 256 << 10 // maximum chunk size in bytes
	// The time in milliseconds that a chunk takes, beyond that of a call without data, sets the
	// size of the next one: up to growChunkMillis it grows, over shrinkChunkMillis it shrinks,
	// because heartbeats share the network link.
	growChunkMillis    = 80.0
	shrinkChunkMillis  = 160.0
	transferTimeout    = 10000.0  // milliseconds without progress after which a message is dropped
	retryDelay         = 200.0    // milliseconds until the next call after a failed one
	maxQueuedTransfers = 16       // maximum number of messages queued for a machine
	maxPartialBytes    = 32 << 20 // maximum bytes of incomplete bodies held by a receiver
	maxBlobBytes       = 96 << 20 // maximum bytes of a message's bodies, and of complete bodies held by a receiver
	blobLifetime       = 10000.0  // milliseconds for which a complete body is held for later messages
)

// bodyPointers returns pointers to a message's bodies in a fixed order.
func bodyPointers(message *chain.Message) (pointers []*[]byte) {
	state := func(s *chain.State) {
		pointers = append(pointers, &s.Body)
		for _, name := range slices.Sorted(maps.Keys(s.Orders)) {
			order := s.Orders[name]
			pointers = append(pointers, &order.Body) // points to a copy of the order: the body must not be replaced through it (see withBodies)
		}
	}
	entries := func(entries []chain.Entry) {
		for i := range entries {
			pointers = append(pointers, &entries[i].Change.Body)
		}
	}
	switch {
	case message.Append != nil:
		entries(message.Append.Entries)
	case message.Snapshot != nil:
		state(&message.Snapshot.Snapshot.State)
		entries(message.Snapshot.Snapshot.Uncommitted)
	case message.ForwardedChange != nil:
		pointers = append(pointers, &message.ForwardedChange.Change.Body)
	case message.ReadAnswer != nil && message.ReadAnswer.State != nil:
		state(message.ReadAnswer.State)
	}
	return pointers
}

// isBulky reports whether a message is transferred in chunks.
func isBulky(message *chain.Message) bool {
	for _, body := range bodyPointers(message) {
		if len(*body) >= minBulkBody {
			return true
		}
	}
	return false
}

// withBodies returns a copy of a message with the given bodies, by index, in place of its own. The
// message itself is not modified, because it shares its parts with the state machine.
func withBodies(message chain.Message, bodies map[int][]byte) chain.Message {
	index := 0
	next := func(body []byte) []byte {
		if other, ok := bodies[index]; ok {
			body = other
		}
		index++
		return body
	}
	state := func(s chain.State) chain.State {
		s.Body = next(s.Body)
		if s.Orders = maps.Clone(s.Orders); s.Orders != nil {
			for _, name := range slices.Sorted(maps.Keys(s.Orders)) {
				order := s.Orders[name]
				order.Body = next(order.Body)
				s.Orders[name] = order
			}
		}
		return s
	}
	entries := func(list []chain.Entry) []chain.Entry {
		list = slices.Clone(list)
		for i := range list {
			list[i].Change.Body = next(list[i].Change.Body)
		}
		return list
	}
	switch {
	case message.Append != nil:
		appended := *message.Append
		appended.Entries = entries(appended.Entries)
		message.Append = &appended
	case message.Snapshot != nil:
		snapshot := *message.Snapshot
		snapshot.Snapshot.State = state(snapshot.Snapshot.State)
		snapshot.Snapshot.Uncommitted = entries(snapshot.Snapshot.Uncommitted)
		message.Snapshot = &snapshot
	case message.ForwardedChange != nil:
		forwarded := *message.ForwardedChange
		forwarded.Change.Body = next(forwarded.Change.Body)
		message.ForwardedChange = &forwarded
	case message.ReadAnswer != nil && message.ReadAnswer.State != nil:
		answer := *message.ReadAnswer
		s := state(*answer.State)
		answer.State = &s
		message.ReadAnswer = &answer
	}
	return message
}

// messageKey identifies messages of which a newer one replaces an older one in the queue.
type messageKey struct {
	kind            byte
	position        chain.LogPosition
	incarnation, id uint64
}

// keyOf returns a message's key and the view it belongs to; 0 for messages of no view.
func keyOf(message *chain.Message) (key messageKey, view uint64) {
	switch {
	case message.Append != nil:
		key.kind, view = 'a', message.Append.View
		if n := len(message.Append.Entries); n > 0 {
			key.position = message.Append.Entries[n-1].LogPosition
		}
	case message.Snapshot != nil:
		key.kind, view = 'f', message.Snapshot.View
	case message.ForwardedChange != nil:
		key.kind, key.incarnation, key.id = 'e', message.ForwardedChange.Incarnation, message.ForwardedChange.ID
	case message.ReadAnswer != nil:
		key.kind, key.incarnation, key.id = 'c', message.ReadAnswer.Incarnation, message.ReadAnswer.ID
	}
	return key, view
}

// packedBlob is a compressed body with its hash.
type packedBlob struct {
	api.BodyRef
	packed []byte
}

// packCache caches the bodies that were compressed last. A body is identified by its address in memory.
type packCache struct{ bodies []cachedBody }

// cachedBody is an entry of the cache.
type cachedBody struct {
	raw []byte
	packedBlob
}

const maxCachedBodies = 2*8 + 2 // maximum number of cached bodies, enough for a full window of entries

// pack returns a compressed body, from the cache if it is there.
func (p *packCache) pack(raw []byte) packedBlob {
	for i, body := range p.bodies {
		if len(body.raw) == len(raw) && &body.raw[0] == &raw[0] {
			p.bodies = append(slices.Delete(p.bodies, i, i+1), body)
			return body.packedBlob
		}
	}
	digest := sha256.Sum256(raw)
	packed := api.Deflate(raw)
	body := packedBlob{api.BodyRef{SHA256: digest[:], Length: len(raw), DeflatedLength: len(packed)}, packed}
	if p.bodies = append(p.bodies, cachedBody{raw, body}); len(p.bodies) > maxCachedBodies {
		p.bodies = slices.Delete(p.bodies, 0, 1)
	}
	return body
}

// transfer is a message being transferred.
type transfer struct {
	key        messageKey
	view       uint64
	message    chain.Message
	number     uint64           // number of the message; a replacement gets another
	parcel     *api.BulkMessage // nil until its bodies are compressed
	blobs      []packedBlob
	progressAt float64 // when the receiver last accepted a part of it
}

// sender transfers messages to one machine, one after the other.
type sender struct {
	queue           []*transfer
	lastNumber      uint64
	chunkSize       int
	wanted          *api.MissingBody // the body that the receiver asked for and how much of it the receiver holds; nil if unknown
	calledAt        float64          // when the current call was made
	emptyCallMillis float64          // milliseconds that a call without data takes
	noCallBefore    float64          // no call before this time
}

// enqueue queues a message and reports whether there was room for it.
func (c *sender) enqueue(now float64, message chain.Message) bool {
	key, view := keyOf(&message)
	if view > 0 { // messages of older views would be refused by the receiver
		c.queue = slices.DeleteFunc(c.queue, func(queued *transfer) bool { return queued.view > 0 && queued.view < view })
	}
	for _, queued := range c.queue {
		if queued.key == key {
			c.lastNumber++
			queued.message, queued.number, queued.parcel, queued.blobs = message, c.lastNumber, nil, nil
			return true
		}
	}
	if len(c.queue) >= maxQueuedTransfers {
		return false
	}
	c.lastNumber++
	c.queue = append(c.queue, &transfer{key: key, view: view, message: message, number: c.lastNumber, progressAt: now})
	return true
}

// needsPacking returns the first message if its bodies must be compressed before the next call, and its
// number; otherwise the number is 0.
func (c *sender) needsPacking() (message chain.Message, number uint64) {
	if len(c.queue) == 0 || c.queue[0].parcel != nil {
		return message, 0
	}
	return c.queue[0].message, c.queue[0].number
}

// makeParcel compresses a message's bodies. It can take long, so it must be called without a lock.
func (p *packCache) makeParcel(message chain.Message) (*api.BulkMessage, []packedBlob) {
	emptied, parcel, blobs := map[int][]byte{}, &api.BulkMessage{}, []packedBlob(nil)
	for i, body := range bodyPointers(&message) {
		if len(*body) >= minBulkBody {
			emptied[i] = nil
			packed := p.pack(*body)
			packed.Index = i
			blobs = append(blobs, packed)
			parcel.Bodies = append(parcel.Bodies, packed.BodyRef)
		}
	}
	parcel.Message = withBodies(message, emptied)
	return parcel, blobs
}

// setPacked accepts the compressed form of the message with the given number.
func (c *sender) setPacked(number uint64, parcel *api.BulkMessage, blobs []packedBlob) {
	if len(c.queue) > 0 && c.queue[0].number == number {
		c.queue[0].parcel, c.queue[0].blobs = parcel, blobs
	}
}

// nextCall returns the call to make now, a *api.BulkMessage or a *api.BodyChunk; or nil and the
// milliseconds to wait, which are 0 if the first message must be compressed first and negative if
// the queue is empty.
func (c *sender) nextCall(now float64) (call any, wait float64) {
	if len(c.queue) > 0 && now-c.queue[0].progressAt > transferTimeout {
		c.queue, c.wanted = c.queue[1:], nil
		if len(c.queue) > 0 {
			c.queue[0].progressAt = now
		}
	}
	switch {
	case len(c.queue) == 0:
		return nil, -1
	case now < c.noCallBefore:
		return nil, c.noCallBefore - now
	}
	c.calledAt = now
	first := c.queue[0]
	if first.parcel == nil {
		return nil, 0
	}
	if c.wanted == nil {
		return first.parcel, 0
	}
	for _, body := range first.blobs {
		if !bytes.Equal(body.SHA256, c.wanted.SHA256) || c.wanted.HeldBytes >= len(body.packed) {
			continue
		}
		c.chunkSize = min(max(c.chunkSize, minChunk), maxChunk)
		end := min(c.wanted.HeldBytes+c.chunkSize, len(body.packed))
		return &api.BodyChunk{Body: body.BodyRef, Offset: c.wanted.HeldBytes, Bytes: body.packed[c.wanted.HeldBytes:end]}, 0
	}
	c.wanted = nil
	return first.parcel, 0
}

// handleWanted processes the answer to a parcel.
func (c *sender) handleWanted(now float64, parcel *api.BulkMessage, answer api.MissingBody) {
	c.emptyCallMillis = now - c.calledAt
	if len(c.queue) == 0 {
		return
	}
	c.queue[0].progressAt = now
	switch {
	case len(answer.SHA256) > 0: // the message may have been replaced meanwhile: nextCall checks whether it has that body
		c.wanted = &answer
	case c.queue[0].parcel == parcel:
		c.advance(now)
	}
}

// abandon gives up a parcel that the receiver will never accept.
func (c *sender) abandon(now float64, parcel *api.BulkMessage) {
	if len(c.queue) > 0 && c.queue[0].parcel == parcel {
		c.advance(now)
	}
}

// advance moves on to the next message.
func (c *sender) advance(now float64) {
	c.queue, c.wanted = c.queue[1:], nil
	if len(c.queue) > 0 {
		c.queue[0].progressAt = now
	}
}

// handleTaken processes the answer to a chunk.
func (c *sender) handleTaken(now float64, sent *api.BodyChunk, answer api.BodyChunkAck) {
	switch elapsed := now - c.calledAt - c.emptyCallMillis; {
	case elapsed <= growChunkMillis:
		c.chunkSize *= 2
	case elapsed > shrinkChunkMillis:
		c.chunkSize /= 2
	}
	if len(c.queue) == 0 {
		return
	}
	if answer.HeldBytes > sent.Offset {
		c.queue[0].progressAt = now
	}
	if c.wanted == nil || !bytes.Equal(c.wanted.SHA256, sent.Body.SHA256) {
		return
	}
	if c.wanted.HeldBytes = answer.HeldBytes; answer.HeldBytes >= sent.Body.DeflatedLength || answer.HeldBytes != sent.Offset+len(sent.Bytes) {
		c.wanted = nil // the body is complete, or the receiver holds another part than assumed: ask it
	}
}

// handleFailure processes a call without an answer: the receiver must be asked again what it holds.
func (c *sender) handleFailure(now float64) {
	c.wanted, c.chunkSize = nil, minChunk
	c.noCallBefore = now + retryDelay
}

// receiver receives messages that are transferred in chunks.
type receiver struct {
	partial  []*partialBody
	complete []*completeBody
	state    *chain.State // the committed state; its bodies need not be transferred
	hashes   packCache    // cache of the hashes of those bodies, without compressed data
}

// partialBody is a body of which not all chunks have arrived.
type partialBody struct {
	api.BodyRef
	data []byte
}

// completeBody is a complete body.
type completeBody struct {
	sum    []byte
	data   []byte
	usedAt float64 // when it arrived or was last used
}

// receiveParcel processes a message whose large bodies were left out: it returns the complete
// message, or the first body that is still needed.
func (d *receiver) receiveParcel(now float64, parcel api.BulkMessage) (message chain.Message, wanted api.MissingBody, err error) {
	bodies := map[int][]byte{}
	total := 0
	for _, body := range parcel.Bodies {
		if total += body.Length; body.Length <= 0 || body.DeflatedLength <= 0 || len(body.SHA256) != sha256.Size || total > maxBlobBytes {
			return message, wanted, rpc.Errorf(rpc.Invalid, "a body of %d bytes, %d together", body.Length, total)
		}
	}
	for _, body := range parcel.Bodies {
		raw := d.findBody(now, body)
		if raw == nil {
			received := 0
			if partial := d.findPartial(body); partial != nil {
				received = len(partial.data)
			}
			return message, api.MissingBody{SHA256: body.SHA256, HeldBytes: received}, nil
		}
		bodies[body.Index] = raw
	}
	return withBodies(parcel.Message, bodies), wanted, nil
}

// findPartial returns the incomplete body with the given hash and lengths, or nil.
func (d *receiver) findPartial(body api.BodyRef) *partialBody {
	for _, candidate := range d.partial {
		if bytes.Equal(candidate.SHA256, body.SHA256) && candidate.DeflatedLength == body.DeflatedLength && candidate.Length == body.Length {
			return candidate
		}
	}
	return nil
}

// findBody returns a complete body that is held already, from an earlier message or from the state, or
// nil.
func (d *receiver) findBody(now float64, body api.BodyRef) []byte {
	d.complete = slices.DeleteFunc(d.complete, func(held *completeBody) bool { return now-held.usedAt > blobLifetime })
	for _, held := range d.complete {
		if bytes.Equal(held.sum, body.SHA256) {
			held.usedAt = now
			return held.data
		}
	}
	if d.state == nil {
		return nil
	}
	answer := chain.Message{ReadAnswer: &chain.ReadAnswer{State: d.state}}
	for _, raw := range bodyPointers(&answer) {
		if len(*raw) == body.Length && bytes.Equal(d.hashes.hash(*raw), body.SHA256) {
			return *raw
		}
	}
	return nil
}

// hash returns the hash of a body, from the cache if it is there.
func (p *packCache) hash(raw []byte) []byte {
	for _, cached := range p.bodies {
		if len(cached.raw) == len(raw) && &cached.raw[0] == &raw[0] {
			return cached.SHA256
		}
	}
	digest := sha256.Sum256(raw)
	if p.bodies = append(p.bodies, cachedBody{raw, packedBlob{BodyRef: api.BodyRef{SHA256: digest[:]}}}); len(p.bodies) > 2 {
		p.bodies = slices.Delete(p.bodies, 0, 1)
	}
	return digest[:]
}

// receiveChunk processes a part of a body. If too much is held, the bodies that were used least
// recently are dropped.
func (d *receiver) receiveChunk(now float64, chunk api.BodyChunk) (api.BodyChunkAck, error) {
	body := chunk.Body
	if body.DeflatedLength <= 0 || body.DeflatedLength > maxPartialBytes || body.Length <= 0 || body.Length > maxBlobBytes || len(body.SHA256) != sha256.Size || len(chunk.Bytes) > maxChunk {
		return api.BodyChunkAck{}, rpc.Errorf(rpc.Invalid, "a chunk of a body of %d bytes", body.DeflatedLength)
	}
	if d.findBody(now, body) != nil {
		return api.BodyChunkAck{HeldBytes: body.DeflatedLength}, nil
	}
	partial := d.findPartial(body)
	if partial == nil {
		partial = &partialBody{BodyRef: body}
	}
	d.partial = append(slices.DeleteFunc(d.partial, func(other *partialBody) bool { return other == partial }), partial) // the most recently used is last
	if chunk.Offset != len(partial.data) || chunk.Offset+len(chunk.Bytes) > body.DeflatedLength {
		return api.BodyChunkAck{HeldBytes: len(partial.data)}, nil
	}
	partial.data = append(partial.data, chunk.Bytes...)
	for total := 0; len(d.partial) > 1; total = 0 {
		for _, other := range d.partial {
			total += cap(other.data)
		}
		if total <= maxPartialBytes {
			break
		}
		d.partial = slices.Delete(d.partial, 0, 1)
	}
	if len(partial.data) < body.DeflatedLength {
		return api.BodyChunkAck{HeldBytes: len(partial.data)}, nil
	}
	d.partial = d.partial[:len(d.partial)-1]
	raw, err := api.Inflate(partial.data)
	if err != nil || len(raw) != body.Length {
		return api.BodyChunkAck{}, nil // the transfer of this body starts over
	}
	if sum := sha256.Sum256(raw); !bytes.Equal(sum[:], body.SHA256) {
		return api.BodyChunkAck{}, nil
	}
	d.complete = append(d.complete, &completeBody{body.SHA256, raw, now})
	for total := 0; len(d.complete) > 1; total = 0 {
		for _, held := range d.complete {
			total += len(held.data)
		}
		if total <= maxBlobBytes {
			break
		}
		d.complete = slices.Delete(d.complete, 0, 1)
	}
	return api.BodyChunkAck{HeldBytes: body.DeflatedLength}, nil
}
