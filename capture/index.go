package capture

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"foxwood/capture/capturepb"
)

// Index lists which blocks of a segment hold which requests and customers, and which are
// checkpoints. It is used only to find blocks: what is read from there is verified as usual.
type Index struct{ pb *capturepb.Index }

// indexHash returns the hash by which an index stores a name. Hashes of different names
// may collide.
func indexHash(b []byte) uint32 { return uint32(xxh3.Hash(b)) }

// indexHashOfID returns the hash by which an index stores a customer id.
func indexHashOfID(id uint64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (8 * i))
	}
	return indexHash(b[:])
}

// add adds a block to an index that is being built.
func (x *Index) add(offset int64, b *pendingBlock) {
	if x.pb == nil {
		x.pb = &capturepb.Index{}
	}
	block := uint32(len(x.pb.Blocks))
	x.pb.Blocks = append(x.pb.Blocks, &capturepb.IndexBlock{Offset: offset, First: b.firstTime, Records: b.records, Checkpoint: b.checkpoint != nil})
	for _, n := range b.names {
		x.pb.Names, x.pb.NameBlocks = append(x.pb.Names, n), append(x.pb.NameBlocks, block)
	}
	for _, c := range b.customers {
		x.pb.Customers, x.pb.CustomerBlocks = append(x.pb.Customers, c), append(x.pb.CustomerBlocks, block)
	}
}

// blocksOf returns the blocks that may hold the request with a name.
func (x *Index) blocksOf(name string) []int {
	var all []int
	want := indexHash([]byte(name))
	for i, n := range x.pb.GetNames() {
		if n == want {
			all = append(all, int(x.pb.GetNameBlocks()[i]))
		}
	}
	return all
}

// Offsets returns the byte offsets of the segment's blocks of records.
func (x *Index) Offsets() []int64 {
	var all []int64
	for _, b := range x.pb.GetBlocks() {
		all = append(all, b.GetOffset())
	}
	return all
}

// HasCustomer reports whether a segment may hold requests of a customer, given the id as
// it is stored in the capture, which is encrypted if the capture has a key.
func (x *Index) HasCustomer(id uint64) bool {
	return slices.Contains(x.pb.GetCustomers(), indexHashOfID(id))
}

// checkpointBefore returns the last checkpoint at or before a block, or -1 if there is none.
func (x *Index) checkpointBefore(block int) int {
	for i := min(block, len(x.pb.GetBlocks())-1); i >= 0; i-- {
		if x.pb.GetBlocks()[i].GetCheckpoint() {
			return i
		}
	}
	return -1
}

// ErrNoIndex reports that a segment has no readable index, because its gatekeeper crashed
// or is still writing it.
var ErrNoIndex = errors.New("the segment has no index")

// ReadIndex reads the index of a segment file.
func ReadIndex(file string) (*Index, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	encoded := make([]byte, blockHeaderSize)
	read := func(at int64) (header blockHeader, err error) {
		if at < int64(segmentHeaderSize+macSize) || at+int64(blockHeaderSize) > info.Size() {
			return header, ErrNoIndex
		}
		if _, err := f.ReadAt(encoded, at); err != nil {
			return header, fmt.Errorf("capture: %w", err)
		}
		header.parse(encoded)
		return header, nil
	}
	end, err := read(info.Size() - int64(blockHeaderSize))
	if err != nil || end.kind != kindEnd || checksum(end.authenticated, nil) != end.checksum {
		return nil, ErrNoIndex
	}
	at := end.first
	header, err := read(at)
	if err != nil || header.kind != kindIndex || header.payloadSize > maxPayload || header.rawSize > maxPayload {
		return nil, ErrNoIndex
	}
	payload := make([]byte, header.payloadSize)
	if _, err := io.ReadFull(io.NewSectionReader(f, at+int64(blockHeaderSize), int64(header.payloadSize)), payload); err != nil || checksum(header.authenticated, payload) != header.checksum {
		return nil, ErrNoIndex
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPayload))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	defer z.Close()
	raw, err := z.DecodeAll(payload, nil)
	if err != nil {
		return nil, ErrNoIndex
	}
	x := &Index{pb: &capturepb.Index{}}
	if proto.Unmarshal(raw, x.pb) != nil || len(x.pb.GetNames()) != len(x.pb.GetNameBlocks()) {
		return nil, ErrNoIndex
	}
	return x, nil
}

// Position is a block of a segment at which reading can start.
type Position struct {
	Segment        int   // index in the list of segments
	Offset         int64 // bytes from the start of the segment, 0 for the segment's start
	previousOffset int64 // offset of the previous block, 0 if it is the first
}

// LocateRequest finds where a replay has to start to reach the request with a name: at the last
// checkpoint, or start of a run, before it. ok is false if no index lists the name;
// segments without an index may still hold it.
func LocateRequest(segments []Segment, name string) (p Position, ok bool) {
	indexes := make([]*Index, len(segments))
	for i := len(segments) - 1; i >= 0; i-- {
		index, err := ReadIndex(segments[i].File)
		if err != nil {
			continue
		}
		indexes[i] = index
		blocks := index.blocksOf(name)
		if len(blocks) == 0 {
			continue
		}
		for at, block := i, blocks[0]; at >= 0 && segments[at].RunID == segments[i].RunID; at-- {
			if indexes[at] == nil {
				if indexes[at], err = ReadIndex(segments[at].File); err != nil {
					return Position{Segment: at}, true
				}
			}
			if c := indexes[at].checkpointBefore(block); c >= 0 {
				p := Position{Segment: at, Offset: indexes[at].pb.GetBlocks()[c].GetOffset()}
				if c > 0 {
					p.previousOffset = indexes[at].pb.GetBlocks()[c-1].GetOffset()
				}
				return p, true
			}
			if segments[at].Number == 1 {
				return Position{Segment: at}, true
			}
			block = 1 << 30
		}
	}
	return Position{}, false
}

// StartAt makes a MultiReader start at a place instead of at the start of its first segment.
func (s *MultiReader) StartAt(p Position) { s.current, s.start = p.Segment, p }

// seek moves a reader that has read its segment's header to a block. The block is
// verified against the MAC of the block before it, which is read for this purpose.
func (r *Reader) seek(f *os.File, p Position) error {
	if p.previousOffset > 0 {
		encoded := make([]byte, blockHeaderSize)
		if _, err := f.ReadAt(encoded, p.previousOffset); err != nil {
			return fmt.Errorf("capture: %w", err)
		}
		var header blockHeader
		header.parse(encoded)
		r.mac = header.mac
	}
	if _, err := f.Seek(p.Offset, io.SeekStart); err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	r.input.Reset(f)
	r.offset = p.Offset
	return nil
}
