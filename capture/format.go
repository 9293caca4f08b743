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
	magic   = "FOXCAP"
	version = "02"
	oldest  = "01" // oldest version that can be read: later ones only add fields

	// Sizes in bytes. The header of a segment is followed by its own MAC.
	segmentHead = len(magic) + len(version) + printSize + 8 + 4 + linkSize
	blockSealed = 1 + 4 + 4 + 4 + 4 + 8 // the part of a block's header that its checksum and MAC cover
	blockHead   = blockSealed + 8 + linkSize

	// The kinds of blocks.
	kindRecords = 1
	kindEnd     = 2
	kindIndex   = 3

	payloadMost = 64 << 20 // largest payload of a block in bytes, compressed or not: a checkpoint may be large
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
	// ErrUnended reports a segment without its end block, such as one whose gatekeeper crashed.
	ErrUnended = errors.New("ends without its end block")
	// ErrNotOne reports a file that is not a capture.
	ErrNotOne = errors.New("not a capture")
	// ErrSequence reports a segment that is missing between two others.
	ErrSequence = errors.New("not the next segment of the capture")
)

// header is the header of a segment.
type header struct {
	print [printSize]byte
	life  uint64
	n     uint32 // number of the segment in its run, from 1
	// before is the last MAC of the previous segment, zeros for the first segment.
	before [linkSize]byte
}

func (h *header) append(b []byte) []byte {
	b = append(append(b, magic...), version...)
	b = append(b, h.print[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.life)
	b = binary.LittleEndian.AppendUint32(b, h.n)
	return append(b, h.before[:]...)
}

// parse decodes the header of a segment, without its MAC.
func (h *header) parse(b []byte) error {
	if len(b) < segmentHead || string(b[:len(magic)]) != magic {
		return ErrNotOne
	}
	b = b[len(magic):]
	if v := string(b[:len(version)]); v < oldest || v > version {
		return fmt.Errorf("format version %q, want %s to %s: %w", v, oldest, version, ErrVersion)
	}
	b = b[len(version):]
	copy(h.print[:], b)
	h.life = binary.LittleEndian.Uint64(b[printSize:])
	h.n = binary.LittleEndian.Uint32(b[printSize+8:])
	copy(h.before[:], b[printSize+8+4:])
	return nil
}

// block is the header of a block.
type block struct {
	kind         byte
	size, raw    uint32 // bytes of the payload, compressed and uncompressed
	records      uint32
	lost         uint32 // number of records lost before the block
	first        int64  // time of the first record in microseconds; of an end block, the offset of the index block
	sum          uint64
	link, sealed []byte
}

// seal appends a block with its checksum and its MAC, and returns the result and the MAC.
func (b *block) seal(out []byte, key *Key, before, payload []byte) (whole, link []byte) {
	at := len(out)
	out = append(out, b.kind)
	for _, v := range [...]uint32{uint32(len(payload)), b.raw, b.records, b.lost} {
		out = binary.LittleEndian.AppendUint32(out, v)
	}
	out = binary.LittleEndian.AppendUint64(out, uint64(b.first))
	sealed := out[at:]
	link = key.link(before, sealed, payload)
	out = binary.LittleEndian.AppendUint64(out, sum(sealed, payload))
	out = append(append(out, link...), payload...)
	return out, link
}

// parse decodes the header of a block.
func (b *block) parse(h []byte) {
	b.kind, b.sealed = h[0], h[:blockSealed]
	u32 := func(i int) uint32 { return binary.LittleEndian.Uint32(h[1+4*i:]) }
	b.size, b.raw, b.records, b.lost = u32(0), u32(1), u32(2), u32(3)
	b.first = int64(binary.LittleEndian.Uint64(h[17:]))
	b.sum = binary.LittleEndian.Uint64(h[blockSealed:])
	b.link = h[blockSealed+8 : blockHead]
}

// sum returns the checksum of a block.
func sum(sealed, payload []byte) uint64 {
	h := xxh3.New()
	_, _ = h.Write(sealed) // never fails
	_, _ = h.Write(payload)
	return h.Sum64()
}
