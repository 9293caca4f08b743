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

// Options is how captures are kept.
type Options struct {
	Folder string
	Name   string // of the gatekeeper
	Life   uint64 // of its life, drawn at its start
	Key    Key
	// SegmentMost is the bytes of a segment, KeptMost those of all segments of this name
	// in the folder: the oldest are removed past it. Zero stands for 64 MiB and 1 GiB.
	SegmentMost, KeptMost int64
	// AgeMost is how long a segment is kept; zero is for good.
	AgeMost time.Duration
	// CheckpointEvery is how far apart checkpoints are; zero stands for 30 s. Each new
	// segment gets one soon as well.
	CheckpointEvery time.Duration
	// Patient has the encoder wait for the disk in place of dropping: for simulated time,
	// which waits too.
	Patient bool
}

const (
	defaultSegment = 64 << 20
	defaultKept    = 1 << 30
	defaultApart   = 30 * time.Second
	queued         = 16 // blocks that wait for the disk: a megabyte
	retryEvery     = time.Second
	suffix         = ".fcap"
)

// Stats is what became of a capture's records.
type Stats struct {
	Records, Lost, Blocks, Bytes, Errors atomic.Uint64
}

// Writer writes a capture beside the loop, which hands it blocks and never waits for it.
type Writer struct {
	*Encoder
	Stats Stats

	options Options
	blocks  chan filled
	free    chan []byte
	done    chan struct{}
	dropped atomic.Uint32 // records that did not fit the queue since the last block that did
	due     policy.Micros // of the next checkpoint; the loop's
	fresh   atomic.Bool   // a segment has begun that has none

	file    *os.File
	n       uint32 // of the segment
	size    int64
	link    []byte
	index   Index
	zstd    *zstd.Encoder
	out     []byte
	lost    uint32 // records that could not be written since the last block that was
	retryAt time.Time
}

// NewWriter opens a capture in a folder, which must be there.
func NewWriter(o Options) (*Writer, error) {
	w, err := newWriter(o)
	if err != nil {
		return nil, err
	}
	w.Encoder = newEncoder(w, &w.options.Key)
	go w.run()
	return w, nil
}

// newWriter opens a capture whose blocks are written by who calls write.
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

func newZstd() (*zstd.Encoder, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return e, nil
}

// take implements taker. It runs on the loop: a block that finds no room is dropped, and
// counted as a gap before the next that does.
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
	case w.due == 0: // the first segment begins where the life does
		w.fresh.Store(false)
	case now < w.due && !w.fresh.Swap(false):
		return false
	}
	first := w.due == 0
	w.due = now + w.options.CheckpointEvery.Microseconds()
	return !first
}

// offer implements taker. A checkpoint that finds no room is dropped: it is no gap.
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

// Close writes what there is, ends the segment, and returns once that is done. The loop
// must not call the encoder any more.
func (w *Writer) Close() {
	w.flush()
	close(w.blocks)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.blocks {
		// what was dropped came before whatever is taken after it; to count it a block
		// early would be wrong by no record, as a replay stops at either
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

// write writes one block. Where it can't, its records count as lost, the segment is left
// as it is, and another is begun a second later.
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
	// Not behind a checkpoint: each new segment wants one, which may be larger than a segment.
	if b.state == nil && w.size >= w.options.SegmentMost {
		if w.end(); w.rotate() != nil {
			w.retryAt = time.Now().Add(retryEvery)
		}
	}
}

// miss counts records that were not written, and says so once for each try.
func (w *Writer) miss(records uint32, err error) {
	w.lost += records
	w.Stats.Lost.Add(uint64(records))
	if err == nil {
		return
	}
	w.Stats.Errors.Add(1)
	slog.Error("capture: records are lost, the gatekeeper serves on", "lost", w.lost, "error", err)
	if w.file != nil {
		_ = w.file.Close()
		w.file = nil
	}
	w.retryAt = time.Now().Add(retryEvery)
}

// end ends the segment with its end block.
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
		slog.Error("capture: a segment was not ended", "error", err)
	}
	w.link, w.file, w.lost = link, nil, 0
}

// sealIndex appends the segment's index as a block.
func (w *Writer) sealIndex(out []byte) (whole, link []byte, err error) {
	raw, err := proto.Marshal(w.index.pb)
	if err != nil {
		return nil, nil, fmt.Errorf("capture: index: %w", err)
	}
	head := block{kind: kindIndex, raw: uint32(len(raw))}
	whole, link = head.seal(out, &w.options.Key, w.link, w.zstd.EncodeAll(raw, nil))
	return whole, link, nil
}

// rotate begins a segment, and removes those past their size or age.
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

// prune removes the oldest segments past the bounds, never the one that is written.
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
			slog.Warn("capture: an old segment stays", "error", err)
			return
		}
		sum -= k.size
	}
}

// Life draws the number of a life from its start and the gatekeeper's seed.
func Life(now policy.Micros, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	return uint64(now)<<12 ^ uint64(sum(nil, b[:])>>52)
}
