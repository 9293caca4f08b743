package store

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"slices"

	"foxwood/internal/cairn"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// Messages with large bodies (entries, fills, what comes back from the tail) go as parcels, beside
// the beats. courier and desk are the two ends, as state machines: calls and answers with the time go
// in, and what is to be called or delivered comes out.

const (
	bulkLeast = 16 << 10 // bytes of a body that make a message bulky
	chunkLess = 16 << 10
	chunkMost = 256 << 10
	// A chunk that took chunkSoon at most, beyond what a call takes that carries nothing, is followed by
	// a longer one, and one that took over chunkLate by a shorter: beats share the line.
	chunkSoon   = 80.0
	chunkLate   = 160.0
	parcelMost  = 10000.0 // without any progress, until a message is lost
	parcelAgain = 200.0   // after a call that failed
	parcelsMost = 16      // that wait for a machine
	partsMost   = 32 << 20
	blobsMost   = 96 << 20
	blobLasts   = 10000.0 // that a body is held for parcels to come
)

// bodiesOf is where a message's bodies stand, in one order.
func bodiesOf(m *cairn.Message) (at []*[]byte) {
	state := func(s *cairn.State) {
		at = append(at, &s.Body)
		for _, name := range slices.Sorted(maps.Keys(s.Orders)) {
			o := s.Orders[name]
			at = append(at, &o.Body) // not changed in place: see bare and whole
		}
	}
	entries := func(es []cairn.Entry) {
		for i := range es {
			at = append(at, &es[i].Change.Body)
		}
	}
	switch {
	case m.Append != nil:
		entries(m.Append.Entries)
	case m.Fill != nil:
		state(&m.Fill.Whole.State)
		entries(m.Fill.Whole.Tail)
	case m.Enter != nil:
		at = append(at, &m.Enter.Change.Body)
	case m.ConfirmAnswer != nil && m.ConfirmAnswer.State != nil:
		state(m.ConfirmAnswer.State)
	}
	return at
}

// bulky says whether a message goes as a parcel.
func bulky(m *cairn.Message) bool {
	for _, b := range bodiesOf(m) {
		if len(*b) >= bulkLeast {
			return true
		}
	}
	return false
}

// with is a copy of a message with other bodies in place of those that have one; the message itself
// shares its parts with the machine.
func with(m cairn.Message, bodies map[int][]byte) cairn.Message {
	n := 0
	next := func(b []byte) []byte {
		if other, ok := bodies[n]; ok {
			b = other
		}
		n++
		return b
	}
	state := func(s cairn.State) cairn.State {
		s.Body = next(s.Body)
		if s.Orders = maps.Clone(s.Orders); s.Orders != nil {
			for _, name := range slices.Sorted(maps.Keys(s.Orders)) {
				o := s.Orders[name]
				o.Body = next(o.Body)
				s.Orders[name] = o
			}
		}
		return s
	}
	entries := func(es []cairn.Entry) []cairn.Entry {
		es = slices.Clone(es)
		for i := range es {
			es[i].Change.Body = next(es[i].Change.Body)
		}
		return es
	}
	switch {
	case m.Append != nil:
		a := *m.Append
		a.Entries = entries(a.Entries)
		m.Append = &a
	case m.Fill != nil:
		f := *m.Fill
		f.Whole.State = state(f.Whole.State)
		f.Whole.Tail = entries(f.Whole.Tail)
		m.Fill = &f
	case m.Enter != nil:
		e := *m.Enter
		e.Change.Body = next(e.Change.Body)
		m.Enter = &e
	case m.ConfirmAnswer != nil && m.ConfirmAnswer.State != nil:
		c := *m.ConfirmAnswer
		s := state(*c.State)
		c.State = &s
		m.ConfirmAnswer = &c
	}
	return m
}

// parcelKey tells messages apart of which a newer one takes an older one's place.
type parcelKey struct {
	kind     byte
	stamp    cairn.Stamp
	life, id uint64
}

func keyOf(m *cairn.Message) (k parcelKey, view uint64) {
	switch {
	case m.Append != nil:
		k.kind, view = 'a', m.Append.View
		if n := len(m.Append.Entries); n > 0 {
			k.stamp = m.Append.Entries[n-1].Stamp
		}
	case m.Fill != nil:
		k.kind, view = 'f', m.Fill.View
	case m.Enter != nil:
		k.kind, k.life, k.id = 'e', m.Enter.Life, m.Enter.ID
	case m.ConfirmAnswer != nil:
		k.kind, k.life, k.id = 'c', m.ConfirmAnswer.Life, m.ConfirmAnswer.ID
	}
	return k, view
}

// blob is a body, named and packed.
type blob struct {
	waymark.Blob
	packed []byte
}

// packs keeps the bodies that were packed last; a body is known by where it stands in memory.
type packs struct{ of []packedBody }

type packedBody struct {
	raw []byte
	blob
}

const packsMost = 2*8 + 2 // bodies of a whole window

func (p *packs) pack(raw []byte) blob {
	for i, b := range p.of {
		if len(b.raw) == len(raw) && &b.raw[0] == &raw[0] {
			p.of = append(slices.Delete(p.of, i, i+1), b)
			return b.blob
		}
	}
	sum := sha256.Sum256(raw)
	packed := waymark.Deflate(raw)
	b := blob{waymark.Blob{Sum: sum[:], Len: len(raw), Packed: len(packed)}, packed}
	if p.of = append(p.of, packedBody{raw, b}); len(p.of) > packsMost {
		p.of = slices.Delete(p.of, 0, 1)
	}
	return b
}

// parcel is a message on its way.
type parcel struct {
	key   parcelKey
	view  uint64
	m     cairn.Message
	no    uint64          // of the message: a newer one has another
	made  *waymark.Parcel // nil until it is its turn
	blobs []blob
	moved float64 // when anything of it was last taken
}

// courier brings parcels to one machine, one after the other.
type courier struct {
	queue []*parcel
	no    uint64
	chunk int
	want  *waymark.Wanted // what is lacking of a body, as far as is known
	asked float64
	bare  float64 // what a call takes that carries nothing
	again float64 // no call before this
}

// put has a message sent, and says whether there is room for it.
func (c *courier) put(now float64, m cairn.Message) bool {
	key, view := keyOf(&m)
	if view > 0 { // what belongs to an older view is refused there
		c.queue = slices.DeleteFunc(c.queue, func(p *parcel) bool { return p.view > 0 && p.view < view })
	}
	for _, p := range c.queue {
		if p.key == key {
			c.no++
			p.m, p.no, p.made, p.blobs = m, c.no, nil, nil
			return true
		}
	}
	if len(c.queue) >= parcelsMost {
		return false
	}
	c.no++
	c.queue = append(c.queue, &parcel{key: key, view: view, m: m, no: c.no, moved: now})
	return true
}

// unmade is the message whose bodies are to be packed before anything can be called.
func (c *courier) unmade() (m cairn.Message, no uint64) {
	if len(c.queue) == 0 || c.queue[0].made != nil {
		return m, 0
	}
	return c.queue[0].m, c.queue[0].no
}

// parcel makes a message's parcel. It takes its time: no lock is held.
func (p *packs) parcel(m cairn.Message) (*waymark.Parcel, []blob) {
	bare, made, blobs := map[int][]byte{}, &waymark.Parcel{}, []blob(nil)
	for i, b := range bodiesOf(&m) {
		if len(*b) >= bulkLeast {
			bare[i] = nil
			x := p.pack(*b)
			x.At = i
			blobs = append(blobs, x)
			made.Blobs = append(made.Blobs, x.Blob)
		}
	}
	made.Message = with(m, bare)
	return made, blobs
}

// packed takes the parcel of a message that was unmade.
func (c *courier) packed(no uint64, made *waymark.Parcel, blobs []blob) {
	if len(c.queue) > 0 && c.queue[0].no == no {
		c.queue[0].made, c.queue[0].blobs = made, blobs
	}
}

// next is the call to make now: a *waymark.Parcel or a *waymark.Chunk; or nil and when to ask next,
// which is at once where the first message is not packed, and below nothing where nothing waits.
func (c *courier) next(now float64) (call any, wait float64) {
	if len(c.queue) > 0 && now-c.queue[0].moved > parcelMost {
		c.queue, c.want = c.queue[1:], nil
		if len(c.queue) > 0 {
			c.queue[0].moved = now
		}
	}
	switch {
	case len(c.queue) == 0:
		return nil, -1
	case now < c.again:
		return nil, c.again - now
	}
	c.asked = now
	p := c.queue[0]
	if p.made == nil {
		return nil, 0
	}
	if c.want == nil {
		return p.made, 0
	}
	for _, b := range p.blobs {
		if !bytes.Equal(b.Sum, c.want.Sum) || c.want.Have >= len(b.packed) {
			continue
		}
		c.chunk = min(max(c.chunk, chunkLess), chunkMost)
		to := min(c.want.Have+c.chunk, len(b.packed))
		return &waymark.Chunk{Blob: b.Blob, From: c.want.Have, Bytes: b.packed[c.want.Have:to]}, 0
	}
	c.want = nil
	return p.made, 0
}

// wanted takes the answer to a parcel.
func (c *courier) wanted(now float64, made *waymark.Parcel, w waymark.Wanted) {
	c.bare = now - c.asked
	if len(c.queue) == 0 {
		return
	}
	c.queue[0].moved = now
	switch {
	case len(w.Sum) > 0: // also by another that has taken its place: next looks whether it has that body
		c.want = &w
	case c.queue[0].made == made:
		c.done(now)
	}
}

// drop gives up a parcel that will never be taken.
func (c *courier) drop(now float64, made *waymark.Parcel) {
	if len(c.queue) > 0 && c.queue[0].made == made {
		c.done(now)
	}
}

// done goes on to the next parcel.
func (c *courier) done(now float64) {
	c.queue, c.want = c.queue[1:], nil
	if len(c.queue) > 0 {
		c.queue[0].moved = now
	}
}

// taken takes the answer to a chunk.
func (c *courier) taken(now float64, sent *waymark.Chunk, t waymark.Taken) {
	switch took := now - c.asked - c.bare; {
	case took <= chunkSoon:
		c.chunk *= 2
	case took > chunkLate:
		c.chunk /= 2
	}
	if len(c.queue) == 0 {
		return
	}
	if t.Have > sent.From {
		c.queue[0].moved = now
	}
	if c.want == nil || !bytes.Equal(c.want.Sum, sent.Blob.Sum) {
		return
	}
	if c.want.Have = t.Have; t.Have >= sent.Blob.Packed || t.Have != sent.From+len(sent.Bytes) {
		c.want = nil // it is whole, or what is there is not what was thought: ask
	}
}

// failed takes a call without an answer: what is there must be asked again.
func (c *courier) failed(now float64) {
	c.want, c.chunk = nil, chunkLess
	c.again = now + parcelAgain
}

// desk takes parcels.
type desk struct {
	parts []*part
	blobs []*held
	state *cairn.State // its bodies need not be sent
	sums  packs        // no bytes in it, only the names of those
}

// part is a body of which not all is there.
type part struct {
	waymark.Blob
	have []byte
}

// held is a body that is whole.
type held struct {
	sum []byte
	raw []byte
	at  float64
}

// parcel takes a message: it is whole, or a body is wanted.
func (d *desk) parcel(now float64, p waymark.Parcel) (m cairn.Message, w waymark.Wanted, err error) {
	bodies := map[int][]byte{}
	total := 0
	for _, b := range p.Blobs {
		if total += b.Len; b.Len <= 0 || b.Packed <= 0 || len(b.Sum) != sha256.Size || total > blobsMost {
			return m, w, rpc.Errorf(rpc.Invalid, "a body of %d bytes, %d together", b.Len, total)
		}
	}
	for _, b := range p.Blobs {
		raw := d.find(now, b)
		if raw == nil {
			have := 0
			if x := d.part(b); x != nil {
				have = len(x.have)
			}
			return m, waymark.Wanted{Sum: b.Sum, Have: have}, nil
		}
		bodies[b.At] = raw
	}
	return with(p.Message, bodies), w, nil
}

func (d *desk) part(b waymark.Blob) *part {
	for _, x := range d.parts {
		if bytes.Equal(x.Sum, b.Sum) && x.Packed == b.Packed && x.Len == b.Len {
			return x
		}
	}
	return nil
}

// find is a body that is here: in a parcel before this one, or in the state.
func (d *desk) find(now float64, b waymark.Blob) []byte {
	d.blobs = slices.DeleteFunc(d.blobs, func(h *held) bool { return now-h.at > blobLasts })
	for _, h := range d.blobs {
		if bytes.Equal(h.sum, b.Sum) {
			h.at = now
			return h.raw
		}
	}
	if d.state == nil {
		return nil
	}
	m := cairn.Message{ConfirmAnswer: &cairn.ConfirmAnswer{State: d.state}}
	for _, raw := range bodiesOf(&m) {
		if len(*raw) == b.Len && bytes.Equal(d.sums.sum(*raw), b.Sum) {
			return *raw
		}
	}
	return nil
}

// sum is a body's name alone.
func (p *packs) sum(raw []byte) []byte {
	for _, b := range p.of {
		if len(b.raw) == len(raw) && &b.raw[0] == &raw[0] {
			return b.Sum
		}
	}
	sum := sha256.Sum256(raw)
	if p.of = append(p.of, packedBody{raw, blob{Blob: waymark.Blob{Sum: sum[:]}}}); len(p.of) > 2 {
		p.of = slices.Delete(p.of, 0, 1)
	}
	return sum[:]
}

// chunk takes a part of a body. What was there of others gives way where there is too much.
func (d *desk) chunk(now float64, c waymark.Chunk) (waymark.Taken, error) {
	b := c.Blob
	if b.Packed <= 0 || b.Packed > partsMost || b.Len <= 0 || b.Len > blobsMost || len(b.Sum) != sha256.Size || len(c.Bytes) > chunkMost {
		return waymark.Taken{}, rpc.Errorf(rpc.Invalid, "a chunk of a body of %d bytes", b.Packed)
	}
	if d.find(now, b) != nil {
		return waymark.Taken{Have: b.Packed}, nil
	}
	x := d.part(b)
	if x == nil {
		x = &part{Blob: b}
	}
	d.parts = append(slices.DeleteFunc(d.parts, func(o *part) bool { return o == x }), x) // the newest is the last
	if c.From != len(x.have) || c.From+len(c.Bytes) > b.Packed {
		return waymark.Taken{Have: len(x.have)}, nil
	}
	x.have = append(x.have, c.Bytes...)
	for n := 0; len(d.parts) > 1; n = 0 {
		for _, o := range d.parts {
			n += cap(o.have)
		}
		if n <= partsMost {
			break
		}
		d.parts = slices.Delete(d.parts, 0, 1)
	}
	if len(x.have) < b.Packed {
		return waymark.Taken{Have: len(x.have)}, nil
	}
	d.parts = d.parts[:len(d.parts)-1]
	raw, err := waymark.Inflate(x.have)
	if err != nil || len(raw) != b.Len {
		return waymark.Taken{}, nil // it is begun anew
	}
	if sum := sha256.Sum256(raw); !bytes.Equal(sum[:], b.Sum) {
		return waymark.Taken{}, nil
	}
	d.blobs = append(d.blobs, &held{b.Sum, raw, now})
	for n := 0; len(d.blobs) > 1; n = 0 {
		for _, h := range d.blobs {
			n += len(h.raw)
		}
		if n <= blobsMost {
			break
		}
		d.blobs = slices.Delete(d.blobs, 0, 1)
	}
	return waymark.Taken{Have: b.Packed}, nil
}
