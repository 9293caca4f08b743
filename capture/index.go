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

// short returns the hash by which an index stores a name. Hashes of different names may collide.
func short(b []byte) uint32 { return uint32(xxh3.Hash(b)) }

// shortID returns the hash by which an index stores a customer id.
func shortID(id uint64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (8 * i))
	}
	return short(b[:])
}

// note adds a block to an index that is being built.
func (x *Index) note(offset int64, b *filled) {
	if x.pb == nil {
		x.pb = &capturepb.Index{}
	}
	at := uint32(len(x.pb.Blocks))
	x.pb.Blocks = append(x.pb.Blocks, &capturepb.IndexBlock{Offset: offset, First: b.first, Records: b.records, Checkpoint: b.state != nil})
	for _, n := range b.names {
		x.pb.Names, x.pb.NameBlocks = append(x.pb.Names, n), append(x.pb.NameBlocks, at)
	}
	for _, c := range b.customers {
		x.pb.Customers, x.pb.CustomerBlocks = append(x.pb.Customers, c), append(x.pb.CustomerBlocks, at)
	}
}

// blocksOf returns the blocks that may hold the request with a name.
func (x *Index) blocksOf(name string) []int {
	var all []int
	want := short([]byte(name))
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
func (x *Index) HasCustomer(id uint64) bool { return slices.Contains(x.pb.GetCustomers(), shortID(id)) }

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
	head := make([]byte, blockHead)
	read := func(at int64) (b block, err error) {
		if at < int64(segmentHead+linkSize) || at+int64(blockHead) > info.Size() {
			return b, ErrNoIndex
		}
		if _, err := f.ReadAt(head, at); err != nil {
			return b, fmt.Errorf("capture: %w", err)
		}
		b.parse(head)
		return b, nil
	}
	end, err := read(info.Size() - int64(blockHead))
	if err != nil || end.kind != kindEnd || sum(end.sealed, nil) != end.sum {
		return nil, ErrNoIndex
	}
	at := end.first
	b, err := read(at)
	if err != nil || b.kind != kindIndex || b.size > payloadMost || b.raw > payloadMost {
		return nil, ErrNoIndex
	}
	payload := make([]byte, b.size)
	if _, err := io.ReadFull(io.NewSectionReader(f, at+int64(blockHead), int64(b.size)), payload); err != nil || sum(b.sealed, payload) != b.sum {
		return nil, ErrNoIndex
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(payloadMost))
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

// Place is a block of a segment at which reading can start.
type Place struct {
	Segment int   // index in the list of segments
	Offset  int64 // bytes from the start of the segment, 0 for the segment's start
	before  int64 // offset of the previous block, 0 if it is the first
}

// Locate finds where a replay has to start to reach the request with a name: at the last
// checkpoint, or start of a run, before it. ok is false if no index lists the name;
// segments without an index may still hold it.
func Locate(segments []Segment, name string) (p Place, ok bool) {
	indexes := make([]*Index, len(segments))
	for i := len(segments) - 1; i >= 0; i-- {
		x, err := ReadIndex(segments[i].File)
		if err != nil {
			continue
		}
		indexes[i] = x
		blocks := x.blocksOf(name)
		if len(blocks) == 0 {
			continue
		}
		for at, block := i, blocks[0]; at >= 0 && segments[at].Life == segments[i].Life; at-- {
			if indexes[at] == nil {
				if indexes[at], err = ReadIndex(segments[at].File); err != nil {
					return Place{Segment: at}, true
				}
			}
			if c := indexes[at].checkpointBefore(block); c >= 0 {
				p := Place{Segment: at, Offset: indexes[at].pb.GetBlocks()[c].GetOffset()}
				if c > 0 {
					p.before = indexes[at].pb.GetBlocks()[c-1].GetOffset()
				}
				return p, true
			}
			if segments[at].N == 1 {
				return Place{Segment: at}, true
			}
			block = 1 << 30
		}
	}
	return Place{}, false
}

// Skip makes a Set start at a place instead of at the start of its first segment.
func (s *Set) Skip(p Place) { s.at, s.from = p.Segment, p }

// seek moves a reader that has read its segment's header to a block. The block is
// verified against the MAC of the block before it, which is read for this purpose.
func (r *Reader) seek(f *os.File, p Place) error {
	if p.before > 0 {
		head := make([]byte, blockHead)
		if _, err := f.ReadAt(head, p.before); err != nil {
			return fmt.Errorf("capture: %w", err)
		}
		var b block
		b.parse(head)
		r.link = b.link
	}
	if _, err := f.Seek(p.Offset, io.SeekStart); err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	r.in.Reset(f)
	r.at = p.Offset
	return nil
}
