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
	RunID         uint64 // id of the run
	SegmentNumber uint32 // number of the segment in its run, from 1

	input        *bufio.Reader
	key          *Key
	mac          []byte // MAC of the last block read
	offset       int64  // offset of the next block in the file
	decompressor *zstd.Decoder
	raw          []byte // the current block, uncompressed
	undecoded    []byte // the part of raw that has not been decoded yet
	now          policy.Micros
	records      int // number of records returned
	record       capturepb.Record
	ended        bool
}

// GapError is an error that reports records lost before the next one.
type GapError struct{ Lost uint32 }

// Error implements error.
func (g *GapError) Error() string { return fmt.Sprintf("%d records were lost before this one", g.Lost) }

// NewReader starts to read a segment. previousMAC is the last MAC of the previous segment of the
// same run. It is nil if that segment is not available: the MAC in the segment's header is
// then not checked against it.
func NewReader(input io.Reader, key *Key, previousMAC []byte) (*Reader, error) {
	r := &Reader{input: bufio.NewReader(input), key: key}
	encoded := make([]byte, segmentHeaderSize+macSize)
	if n, err := io.ReadFull(r.input, encoded); err != nil {
		if n >= len(magic) && string(encoded[:len(magic)]) == magic {
			return nil, fmt.Errorf("segment header has %d bytes, want %d: %w", n, len(encoded), ErrDamaged)
		}
		return nil, ErrNotCapture
	}
	var header segmentHeader
	if err := header.parse(encoded); err != nil {
		return nil, err
	}
	if header.fingerprint != key.fingerprint {
		return nil, ErrKey
	}
	r.RunID, r.SegmentNumber = header.runID, header.number
	r.mac = encoded[segmentHeaderSize:]
	if string(key.mac(nil, encoded[:segmentHeaderSize])) != string(r.mac) {
		return nil, fmt.Errorf("MAC of the segment header: %w", ErrAltered)
	}
	if previousMAC == nil && header.number == 1 {
		previousMAC = make([]byte, macSize)
	}
	if previousMAC != nil && string(previousMAC) != string(header.previousMAC[:]) {
		return nil, fmt.Errorf("MAC of the previous segment differs from the one in the segment header: %w", ErrAltered)
	}
	r.offset = int64(len(encoded))
	var err error
	if r.decompressor, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPayload)); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return r, nil
}

// Close releases the reader's decompressor. It does not close the underlying io.Reader.
func (r *Reader) Close() { r.decompressor.Close() }

// LastMAC returns the MAC of the last block read, with which the next segment starts.
func (r *Reader) LastMAC() []byte { return r.mac }

// Records returns the number of records returned so far.
func (r *Reader) Records() int { return r.records }

// Next returns the next record, which is valid until the next call, and its time. The
// error is io.EOF after the segment's end block. A *GapError is returned once, and the records
// after it can be read by further calls. After any other error nothing more can be read.
func (r *Reader) Next() (*capturepb.Record, policy.Micros, error) {
	for len(r.undecoded) == 0 {
		if r.ended {
			return nil, 0, io.EOF
		}
		if err := r.readBlock(); err != nil {
			return nil, 0, err
		}
	}
	text, n := protowire.ConsumeBytes(r.undecoded)
	if n < 0 {
		return nil, 0, r.fail("malformed length of a record", ErrDamaged)
	}
	r.undecoded = r.undecoded[n:]
	if err := proto.Unmarshal(text, &r.record); err != nil {
		return nil, 0, r.fail("malformed record", ErrDamaged)
	}
	r.now += r.record.GetAfter()
	r.records++
	return &r.record, r.now, nil
}

// fail ends reading, and returns an error with the reader's position.
func (r *Reader) fail(problem string, cause error) error {
	r.ended, r.undecoded = true, nil
	return fmt.Errorf("byte %d, after %d records: %s: %w", r.offset, r.records, problem, cause)
}

// readBlock reads and verifies a block.
func (r *Reader) readBlock() error {
	encoded := make([]byte, blockHeaderSize)
	switch n, err := io.ReadFull(r.input, encoded); {
	case n == 0 && errors.Is(err, io.EOF):
		return r.fail("end of the file", ErrTruncated)
	case err != nil:
		return r.fail(fmt.Sprintf("block header has %d bytes, want %d", n, blockHeaderSize), ErrTruncated)
	}
	var header blockHeader
	header.parse(encoded)
	if header.payloadSize > maxPayload || header.rawSize > maxPayload {
		return r.fail(fmt.Sprintf("block of %d bytes, %d uncompressed, want at most %d", header.payloadSize, header.rawSize, maxPayload), ErrDamaged)
	}
	payload := make([]byte, header.payloadSize)
	if n, err := io.ReadFull(r.input, payload); err != nil {
		return r.fail(fmt.Sprintf("block has %d bytes, want %d", blockHeaderSize+n, blockHeaderSize+int(header.payloadSize)), ErrTruncated)
	}
	if checksum(header.authenticated, payload) != header.checksum {
		return r.fail("checksum of a block does not match", ErrDamaged)
	}
	if string(r.key.mac(r.mac, header.authenticated, payload)) != string(header.mac) {
		return r.fail("MAC of a block does not match", ErrAltered)
	}
	r.mac = header.mac
	switch header.kind {
	case kindEnd:
		r.ended = true
		if _, err := r.input.ReadByte(); err == nil {
			return r.fail("data after the end block", ErrAltered)
		}
	case kindIndex: // verified and skipped: it is needed only to find blocks
	case kindRecords:
		var err error
		if r.raw, err = r.decompressor.DecodeAll(payload, r.raw[:0]); err != nil || len(r.raw) != int(header.rawSize) {
			return r.fail("malformed compressed data of a block", ErrDamaged)
		}
		r.undecoded, r.now = r.raw, header.first
	default:
		return r.fail(fmt.Sprintf("unknown block kind %d", header.kind), ErrDamaged)
	}
	r.offset += int64(blockHeaderSize) + int64(header.payloadSize)
	if header.lost > 0 {
		return &GapError{header.lost}
	}
	return nil
}
