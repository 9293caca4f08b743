package capture

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Options holds the settings of a Writer.
type Options struct {
	Folder string
	Name   string // the gatekeeper's name
	Life   uint64 // id of the run, see the function Life
	Key    Key
	// SegmentMost is the size in bytes at which a segment is ended, 64 MiB if zero. KeptMost
	// is the total size in bytes of all segments of this name in the folder, above which the
	// oldest are removed, 1 GiB if zero.
	SegmentMost, KeptMost int64
	// AgeMost is how long a segment is kept; zero keeps it without a time limit.
	AgeMost time.Duration
	// CheckpointEvery is the interval of checkpoints, 30 s if zero. Each new segment gets
	// a checkpoint soon after its start as well.
	CheckpointEvery time.Duration
	// Patient makes the encoder wait for the disk instead of dropping blocks. It is meant for
	// simulated time, which stops while the encoder waits.
	Patient bool
}

const (
	defaultSegment = 64 << 20 // bytes
	defaultKept    = 1 << 30  // bytes
	defaultApart   = 30 * time.Second
	queued         = 16 // most blocks that wait for the disk, which hold one MiB
	retryEvery     = time.Second
	suffix         = ".fcap"
)

// Stats counts records, blocks and errors of a Writer. Lost counts the records that were
// not written, and Bytes those of the blocks that were.
type Stats struct {
	Records, Lost, Blocks, Bytes, Errors atomic.Uint64
}

// Writer writes a capture in its own goroutine. The event loop passes it blocks through a
// queue and does not wait for the disk.
type Writer struct {
	*Encoder
	Stats Stats

	options Options
	blocks  chan filled
	free    chan []byte // buffers for reuse
	done    chan struct{}
	dropped atomic.Uint32 // records dropped because the queue was full, not yet added to lost
	due     policy.Micros // time of the next checkpoint; used by the event loop only
	fresh   atomic.Bool   // the current segment has no checkpoint yet

	// Used by the writing goroutine only.
	file    *os.File
	n       uint32 // number of the segment
	size    int64  // bytes of the segment
	link    []byte // last MAC
	index   Index
	zstd    *zstd.Encoder
	out     []byte
	lost    uint32 // records lost since the last block that was written
	retryAt time.Time
}

// NewWriter starts a capture in an existing folder.
func NewWriter(o Options) (*Writer, error) {
	w, err := newWriter(o)
	if err != nil {
		return nil, err
	}
	w.Encoder = newEncoder(w, &w.options.Key)
	go w.run()
	return w, nil
}

// newWriter starts a capture without a goroutine and an Encoder: the caller writes blocks
// by calling write.
func newWriter(o Options) (*Writer, error) {
	if o.SegmentMost <= 0 {
		o.SegmentMost = defaultSegment
	}
	if o.KeptMost <= 0 {
		o.KeptMost = defaultKept
	}
	if o.CheckpointEvery <= 0 {
		o.CheckpointEvery = defaultApart
	}
	w := &Writer{options: o, blocks: make(chan filled, queued), free: make(chan []byte, queued+1),
		done: make(chan struct{}), link: make([]byte, linkSize)}
	var err error
	if w.zstd, err = newZstd(); err != nil {
		return nil, err
	}
	if err := w.rotate(); err != nil {
		return nil, err
	}
	return w, nil
}

// newZstd creates a compressor for speed, which runs in the calling goroutine.
func newZstd() (*zstd.Encoder, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return e, nil
}

// take implements taker. It drops a block if the queue is full, and counts its records as
// a gap before the next block that is queued.
func (w *Writer) take(b filled) []byte {
	w.Stats.Records.Add(uint64(b.records))
	if w.options.Patient {
		w.blocks <- b
		return make([]byte, 0, blockMost+blockMost/8)
	}
	select {
	case w.blocks <- b:
	default:
		w.dropped.Add(b.records)
		w.Stats.Lost.Add(uint64(b.records))
		return b.raw[:0]
	}
	select {
	case raw := <-w.free:
		return raw
	default:
		return make([]byte, 0, blockMost+blockMost/8)
	}
}

// wants implements taker.
func (w *Writer) wants(now policy.Micros) bool {
	switch {
	case w.due == 0: // the first segment starts with the run and needs no checkpoint
		w.fresh.Store(false)
	case now < w.due && !w.fresh.Swap(false):
		return false
	}
	first := w.due == 0
	w.due = now + w.options.CheckpointEvery.Microseconds()
	return !first
}

// offer implements taker. It drops the checkpoint if the queue is full. This is not a gap,
// since the records around it are complete.
func (w *Writer) offer(b filled) {
	if w.options.Patient {
		w.blocks <- b
		return
	}
	select {
	case w.blocks <- b:
	default:
	}
}

// Close writes all remaining records, ends the segment, and returns when both is done. The
// encoder must not be called after Close.
func (w *Writer) Close() {
	w.flush()
	close(w.blocks)
	<-w.done
}

// run writes the queued blocks until the queue is closed.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.blocks {
		// The dropped records may belong after some blocks that are still in the queue, so the
		// gap may be reported too early. This does no harm: a replay stops at the gap in
		// either case.
		w.lost += w.dropped.Swap(0)
		if b.state != nil {
			b.raw = stateRecord(b.state, &w.options.Key)
			w.write(b)
			continue
		}
		w.write(b)
		select {
		case w.free <- b.raw[:0]:
		default:
		}
	}
	w.end()
}

// write writes one block. If this fails, the block's records count as lost, the segment is
// left without an end block, and a new segment is started after retryEvery.
func (w *Writer) write(b filled) {
	if w.file == nil {
		if time.Now().Before(w.retryAt) {
			w.miss(b.records, nil)
			return
		}
		if err := w.rotate(); err != nil {
			w.miss(b.records, err)
			return
		}
	}
	payload := w.zstd.EncodeAll(b.raw, nil)
	head := block{kind: kindRecords, raw: uint32(len(b.raw)), records: b.records, lost: w.lost, first: int64(b.first)}
	out, link := head.seal(w.out[:0], &w.options.Key, w.link, payload)
	w.out = out
	if _, err := w.file.Write(out); err != nil {
		w.miss(b.records, err)
		return
	}
	w.index.note(w.size, &b)
	w.link, w.lost = link, 0
	w.size += int64(len(out))
	w.Stats.Blocks.Add(1)
	w.Stats.Bytes.Add(uint64(len(out)))
	// A checkpoint does not end a segment: each new segment gets one, so checkpoints larger
	// than SegmentMost would start one segment after the other.
	if b.state == nil && w.size >= w.options.SegmentMost {
		if w.end(); w.rotate() != nil {
			w.retryAt = time.Now().Add(retryEvery)
		}
	}
}

// miss counts records that were not written. It logs err, which is nil if no attempt to
// write was made.
func (w *Writer) miss(records uint32, err error) {
	w.lost += records
	w.Stats.Lost.Add(uint64(records))
	if err == nil {
		return
	}
	w.Stats.Errors.Add(1)
	slog.Error("capture: write failed, records are lost; requests are still served", "lost", w.lost, "error", err)
	if w.file != nil {
		_ = w.file.Close()
		w.file = nil
	}
	w.retryAt = time.Now().Add(retryEvery)
}

// end completes the segment with its index and its end block.
func (w *Writer) end() {
	if w.file == nil {
		return
	}
	at := w.size
	out, link, err := w.sealIndex(w.out[:0])
	head := block{kind: kindEnd, lost: w.lost, first: at}
	if err == nil {
		out, link = head.seal(out, &w.options.Key, link, nil)
		_, err = w.file.Write(out)
	}
	if closed := w.file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		w.Stats.Errors.Add(1)
		slog.Error("capture: index and end block of a segment were not written", "error", err)
	}
	w.link, w.file, w.lost = link, nil, 0
}

// sealIndex appends the segment's index as a block.
func (w *Writer) sealIndex(out []byte) (whole, link []byte, err error) {
	raw, err := proto.Marshal(w.index.pb)
	if err != nil {
		return nil, nil, fmt.Errorf("capture: encode the index: %w", err)
	}
	head := block{kind: kindIndex, raw: uint32(len(raw))}
	whole, link = head.seal(out, &w.options.Key, w.link, w.zstd.EncodeAll(raw, nil))
	return whole, link, nil
}

// rotate starts a new segment and removes old ones.
func (w *Writer) rotate() error {
	o := &w.options
	file := filepath.Join(o.Folder, fmt.Sprintf("%s-%016x-%06d%s", o.Name, o.Life, w.n+1, suffix))
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	w.n++
	h := header{print: o.Key.print, life: o.Life, n: w.n, before: [linkSize]byte(w.link)}
	head := h.append(nil)
	link := o.Key.link(nil, head)
	if _, err := f.Write(append(head, link...)); err != nil {
		_ = f.Close()
		return fmt.Errorf("capture: %w", err)
	}
	w.file, w.link, w.size = f, link, int64(segmentHead+linkSize)
	w.index = Index{pb: &capturepb.Index{}}
	w.fresh.Store(true)
	w.prune(file)
	return nil
}

// prune removes the oldest segments until all are within the limits of size and age. It
// never removes the current one.
func (w *Writer) prune(current string) {
	o := &w.options
	files, err := filepath.Glob(filepath.Join(o.Folder, o.Name+"-*"+suffix))
	if err != nil {
		return
	}
	type kept struct {
		file string
		size int64
		at   time.Time
	}
	var all []kept
	sum := int64(0)
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && f != current {
			all = append(all, kept{f, info.Size(), info.ModTime()})
			sum += info.Size()
		}
	}
	slices.SortFunc(all, func(a, b kept) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.file, b.file)
	})
	for _, k := range all {
		old := o.AgeMost > 0 && time.Since(k.at) > o.AgeMost
		if !old && sum+o.SegmentMost <= o.KeptMost {
			return
		}
		if err := os.Remove(k.file); err != nil {
			slog.Warn("capture: an old segment was not removed", "error", err)
			return
		}
		sum -= k.size
	}
}

// Life returns the id of a run, made from its start time and the gatekeeper's seed.
func Life(now policy.Micros, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	return uint64(now)<<12 ^ uint64(sum(nil, b[:])>>52)
}
