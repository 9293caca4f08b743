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

// Reader reads one segment. It verifies every block before it returns a record of it.
type Reader struct {
	Life    uint64 // id of the run
	Segment uint32 // number of the segment in its run, from 1

	in     *bufio.Reader
	key    *Key
	link   []byte // MAC of the last block read
	at     int64  // offset of the next block in the file
	zstd   *zstd.Decoder
	raw    []byte // the current block, uncompressed
	left   []byte // the part of raw that has not been decoded yet
	now    policy.Micros
	n      int // number of records returned
	record capturepb.Record
	ended  bool
}

// Gap is an error that reports records lost before the next one.
type Gap struct{ Lost uint32 }

// Error implements error.
func (g *Gap) Error() string { return fmt.Sprintf("%d records were lost before this one", g.Lost) }

// NewReader starts to read a segment. before is the last MAC of the previous segment of the
// same run. It is nil if that segment is not available: the MAC in the segment's header is
// then not checked against it.
func NewReader(from io.Reader, key *Key, before []byte) (*Reader, error) {
	r := &Reader{in: bufio.NewReader(from), key: key}
	head := make([]byte, segmentHead+linkSize)
	if n, err := io.ReadFull(r.in, head); err != nil {
		if n >= len(magic) && string(head[:len(magic)]) == magic {
			return nil, fmt.Errorf("segment header has %d bytes, want %d: %w", n, len(head), ErrDamaged)
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
		return nil, fmt.Errorf("MAC of the segment header: %w", ErrAltered)
	}
	if before == nil && h.n == 1 {
		before = make([]byte, linkSize)
	}
	if before != nil && string(before) != string(h.before[:]) {
		return nil, fmt.Errorf("MAC of the previous segment differs from the one in the segment header: %w", ErrAltered)
	}
	r.at = int64(len(head))
	var err error
	if r.zstd, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(payloadMost)); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return r, nil
}

// Close releases the reader's decompressor. It does not close the underlying io.Reader.
func (r *Reader) Close() { r.zstd.Close() }

// Link returns the MAC of the last block read, with which the next segment starts.
func (r *Reader) Link() []byte { return r.link }

// Records returns the number of records returned so far.
func (r *Reader) Records() int { return r.n }

// Next returns the next record, which is valid until the next call, and its time. The
// error is io.EOF after the segment's end block. A *Gap is returned once, and the records
// after it can be read by further calls. After any other error nothing more can be read.
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
		return nil, 0, r.bad("malformed length of a record", ErrDamaged)
	}
	r.left = r.left[n:]
	if err := proto.Unmarshal(text, &r.record); err != nil {
		return nil, 0, r.bad("malformed record", ErrDamaged)
	}
	r.now += r.record.GetAfter()
	r.n++
	return &r.record, r.now, nil
}

// bad ends reading, and returns an error with the reader's position.
func (r *Reader) bad(what string, why error) error {
	r.ended, r.left = true, nil
	return fmt.Errorf("byte %d, after %d records: %s: %w", r.at, r.n, what, why)
}

// block reads and verifies a block.
func (r *Reader) block() error {
	head := make([]byte, blockHead)
	switch n, err := io.ReadFull(r.in, head); {
	case n == 0 && errors.Is(err, io.EOF):
		return r.bad("end of the file", ErrUnended)
	case err != nil:
		return r.bad(fmt.Sprintf("block header has %d bytes, want %d", n, blockHead), ErrUnended)
	}
	var b block
	b.parse(head)
	if b.size > payloadMost || b.raw > payloadMost {
		return r.bad(fmt.Sprintf("block of %d bytes, %d uncompressed, want at most %d", b.size, b.raw, payloadMost), ErrDamaged)
	}
	payload := make([]byte, b.size)
	if n, err := io.ReadFull(r.in, payload); err != nil {
		return r.bad(fmt.Sprintf("block has %d bytes, want %d", blockHead+n, blockHead+int(b.size)), ErrUnended)
	}
	if sum(b.sealed, payload) != b.sum {
		return r.bad("checksum of a block does not match", ErrDamaged)
	}
	if string(r.key.link(r.link, b.sealed, payload)) != string(b.link) {
		return r.bad("MAC of a block does not match", ErrAltered)
	}
	r.link = b.link
	switch b.kind {
	case kindEnd:
		r.ended = true
		if _, err := r.in.ReadByte(); err == nil {
			return r.bad("data after the end block", ErrAltered)
		}
	case kindIndex: // verified and skipped: it is needed only to find blocks
	case kindRecords:
		var err error
		if r.raw, err = r.zstd.DecodeAll(payload, r.raw[:0]); err != nil || len(r.raw) != int(b.raw) {
			return r.bad("malformed compressed data of a block", ErrDamaged)
		}
		r.left, r.now = r.raw, b.first
	default:
		return r.bad(fmt.Sprintf("unknown block kind %d", b.kind), ErrDamaged)
	}
	r.at += int64(blockHead) + int64(b.size)
	if b.lost > 0 {
		return &Gap{b.lost}
	}
	return nil
}
