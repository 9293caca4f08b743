// Package capture records all calls into and out of the decision module (package policy),
// so that they can be replayed. A capture is a sequence of segments, which are files of
// compressed blocks of records. Each block has a checksum, which detects damage, and a
// message authentication code (MAC) chained to that of the block before it, which detects
// altered, removed and reordered blocks. docs/capture-format.md specifies the format.
//
// Comments in this package call the lifetime of one gatekeeper process a run. Segments of
// different runs are not chained.
package capture

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/xxh3"
)

const (
	magic         = "FOXCAP"
	version       = "02"
	oldestVersion = "01" // oldest version that can be read: later ones interpret all that it has in the same way

	// Sizes in bytes. The header of a segment is followed by its own MAC.
	segmentHeaderSize = len(magic) + len(version) + fingerprintSize + 8 + 4 + macSize
	authenticatedSize = 1 + 4 + 4 + 4 + 4 + 8 // the part of a block's header that its checksum and MAC cover
	blockHeaderSize   = authenticatedSize + 8 + macSize

	// The kinds of blocks.
	kindRecords = 1
	kindEnd     = 2
	kindIndex   = 3

	maxPayload = 64 << 20 // largest payload of a block in bytes, compressed or not: a checkpoint may be large
)

// The errors that reading a capture may return, wrapped with details.
var (
	// ErrVersion reports a format version that this build can't read.
	ErrVersion = errors.New("unknown format version")
	// ErrKey reports a capture that was made with another key than the one given.
	ErrKey = errors.New("made with another key")
	// ErrDamaged reports a wrong checksum or malformed data.
	ErrDamaged = errors.New("damaged")
	// ErrAltered reports a wrong MAC: blocks were changed, removed or reordered.
	ErrAltered = errors.New("altered or cut")
	// ErrTruncated reports a segment without its end block, such as one whose gatekeeper crashed.
	ErrTruncated = errors.New("ends without its end block")
	// ErrNotCapture reports a file that is not a capture.
	ErrNotCapture = errors.New("not a capture")
	// ErrMissingSegment reports a segment that is missing between two others.
	ErrMissingSegment = errors.New("not the next segment of the capture")
)

// segmentHeader is the header of a segment.
type segmentHeader struct {
	fingerprint [fingerprintSize]byte
	runID       uint64
	number      uint32 // number of the segment in its run, from 1
	// previousMAC is the last MAC of the previous segment, zeros for the first segment.
	previousMAC [macSize]byte
}

// append encodes the header of a segment, without its MAC.
func (h *segmentHeader) append(b []byte) []byte {
	b = append(append(b, magic...), version...)
	b = append(b, h.fingerprint[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.runID)
	b = binary.LittleEndian.AppendUint32(b, h.number)
	return append(b, h.previousMAC[:]...)
}

// parse decodes the header of a segment, without its MAC.
func (h *segmentHeader) parse(b []byte) error {
	if len(b) < segmentHeaderSize || string(b[:len(magic)]) != magic {
		return ErrNotCapture
	}
	b = b[len(magic):]
	if v := string(b[:len(version)]); v < oldestVersion || v > version {
		return fmt.Errorf("format version %q, want %s to %s: %w", v, oldestVersion, version, ErrVersion)
	}
	b = b[len(version):]
	copy(h.fingerprint[:], b)
	h.runID = binary.LittleEndian.Uint64(b[fingerprintSize:])
	h.number = binary.LittleEndian.Uint32(b[fingerprintSize+8:])
	copy(h.previousMAC[:], b[fingerprintSize+8+4:])
	return nil
}

// blockHeader is the header of a block.
type blockHeader struct {
	kind                 byte
	payloadSize, rawSize uint32 // bytes of the payload, compressed and uncompressed
	records              uint32
	lost                 uint32 // number of records lost before the block
	first                int64  // time of the first record in microseconds; of an end block, the offset of the index block
	checksum             uint64
	mac, authenticated   []byte
}

// seal appends a block with its checksum and its MAC, and returns the result and the MAC.
func (b *blockHeader) seal(out []byte, key *Key, previousMAC, payload []byte) (result, mac []byte) {
	start := len(out)
	out = append(out, b.kind)
	for _, v := range [...]uint32{uint32(len(payload)), b.rawSize, b.records, b.lost} {
		out = binary.LittleEndian.AppendUint32(out, v)
	}
	out = binary.LittleEndian.AppendUint64(out, uint64(b.first))
	authenticated := out[start:]
	mac = key.mac(previousMAC, authenticated, payload)
	out = binary.LittleEndian.AppendUint64(out, checksum(authenticated, payload))
	out = append(append(out, mac...), payload...)
	return out, mac
}

// parse decodes the header of a block.
func (b *blockHeader) parse(h []byte) {
	b.kind, b.authenticated = h[0], h[:authenticatedSize]
	u32 := func(i int) uint32 { return binary.LittleEndian.Uint32(h[1+4*i:]) }
	b.payloadSize, b.rawSize, b.records, b.lost = u32(0), u32(1), u32(2), u32(3)
	b.first = int64(binary.LittleEndian.Uint64(h[17:]))
	b.checksum = binary.LittleEndian.Uint64(h[authenticatedSize:])
	b.mac = h[authenticatedSize+8 : blockHeaderSize]
}

// checksum returns the checksum of a block.
func checksum(authenticated, payload []byte) uint64 {
	h := xxh3.New()
	_, _ = h.Write(authenticated) // never fails
	_, _ = h.Write(payload)
	return h.Sum64()
}
