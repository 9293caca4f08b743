package capture

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Reader reads one segment. Every block is verified before a record of it is given out.
type Reader struct {
	Life    uint64
	Segment uint32

	in     *bufio.Reader
	key    *Key
	link   []byte
	at     int64 // of the next block in the file
	zstd   *zstd.Decoder
	raw    []byte
	left   []byte // of raw, not given out
	now    policy.Micros
	n      int // records given out
	record capturepb.Record
	ended  bool
}

// Gap tells that records were lost before the next one.
type Gap struct{ Lost uint32 }

func (g *Gap) Error() string { return fmt.Sprintf("%d records were lost before this one", g.Lost) }

// NewReader begins to read a segment. before is the last link of the segment before it
// in the same life, nil where it is not at hand: then the segment's own word is believed.
func NewReader(from io.Reader, key *Key, before []byte) (*Reader, error) {
	r := &Reader{in: bufio.NewReader(from), key: key}
	head := make([]byte, segmentHead+linkSize)
	if n, err := io.ReadFull(r.in, head); err != nil {
		if n >= len(magic) && string(head[:len(magic)]) == magic {
			return nil, fmt.Errorf("the head is cut after %d bytes: %w", n, ErrDamaged)
		}
		return nil, ErrNotOne
	}
	var h header
	if err := h.parse(head); err != nil {
		return nil, err
	}
	if h.print != key.print {
		return nil, ErrKey
	}
	r.Life, r.Segment = h.life, h.n
	r.link = head[segmentHead:]
	if string(key.link(nil, head[:segmentHead])) != string(r.link) {
		return nil, fmt.Errorf("the head: %w", ErrAltered)
	}
	if before == nil && h.n == 1 {
		before = make([]byte, linkSize)
	}
	if before != nil && string(before) != string(h.before[:]) {
		return nil, fmt.Errorf("the segment before it is another: %w", ErrAltered)
	}
	r.at = int64(len(head))
	var err error
	if r.zstd, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(payloadMost)); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return r, nil
}

// Close frees what the reader holds.
func (r *Reader) Close() { r.zstd.Close() }

// Link is the last link of the chain that was read: what the next segment begins with.
func (r *Reader) Link() []byte { return r.link }

// Records is how many records have been given out.
func (r *Reader) Records() int { return r.n }

// Next gives the next record and its time. It holds until the next call. io.EOF is the
// proper end; a *Gap is told once, and the records behind it may be read on; any other
// error is the end of what can be read.
func (r *Reader) Next() (*capturepb.Record, policy.Micros, error) {
	for len(r.left) == 0 {
		if r.ended {
			return nil, 0, io.EOF
		}
		if err := r.block(); err != nil {
			return nil, 0, err
		}
	}
	text, n := protowire.ConsumeBytes(r.left)
	if n < 0 {
		return nil, 0, r.bad("a record's length", ErrDamaged)
	}
	r.left = r.left[n:]
	if err := proto.Unmarshal(text, &r.record); err != nil {
		return nil, 0, r.bad("a record", ErrDamaged)
	}
	r.now += r.record.GetAfter()
	r.n++
	return &r.record, r.now, nil
}

func (r *Reader) bad(what string, why error) error {
	r.ended, r.left = true, nil
	return fmt.Errorf("byte %d: %s, after %d records: %w", r.at, what, r.n, why)
}

// block reads and verifies a block.
func (r *Reader) block() error {
	head := make([]byte, blockHead)
	switch n, err := io.ReadFull(r.in, head); {
	case n == 0 && errors.Is(err, io.EOF):
		return r.bad("the end", ErrUnended)
	case err != nil:
		return r.bad(fmt.Sprintf("a block cut after %d bytes", n), ErrUnended)
	}
	var b block
	b.parse(head)
	if b.size > payloadMost || b.raw > payloadMost {
		return r.bad("a block's length", ErrDamaged)
	}
	payload := make([]byte, b.size)
	if n, err := io.ReadFull(r.in, payload); err != nil {
		return r.bad(fmt.Sprintf("a block cut after %d bytes", blockHead+n), ErrUnended)
	}
	if sum(b.sealed, payload) != b.sum {
		return r.bad("a block's sum", ErrDamaged)
	}
	if string(r.key.link(r.link, b.sealed, payload)) != string(b.link) {
		return r.bad("a block's link", ErrAltered)
	}
	r.link = b.link
	switch b.kind {
	case kindEnd:
		r.ended = true
		if _, err := r.in.ReadByte(); err == nil {
			return r.bad("bytes behind the end block", ErrAltered)
		}
	case kindIndex: // only needed to find a place: verified, and passed over
	case kindRecords:
		var err error
		if r.raw, err = r.zstd.DecodeAll(payload, r.raw[:0]); err != nil || len(r.raw) != int(b.raw) {
			return r.bad("a block's compression", ErrDamaged)
		}
		r.left, r.now = r.raw, b.first
	default:
		return r.bad(fmt.Sprintf("a block of kind %d", b.kind), ErrDamaged)
	}
	r.at += int64(blockHead) + int64(b.size)
	if b.lost > 0 {
		return &Gap{b.lost}
	}
	return nil
}
