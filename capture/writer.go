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

// WriterOptions holds the settings of a Writer.
type WriterOptions struct {
	Folder string
	Name   string // the gatekeeper's name
	RunID  uint64 // id of the run, see NewRunID
	Key    Key
	// SegmentBytes is the size in bytes at which a segment is ended, 64 MiB if zero. MaxTotalBytes
	// is the total size in bytes of all segments of this name in the folder, above which the
	// oldest are removed, 1 GiB if zero.
	SegmentBytes, MaxTotalBytes int64
	// MaxAge is how long a segment is kept; zero keeps it without a time limit.
	MaxAge time.Duration
	// CheckpointEvery is the interval of checkpoints, 30 s if zero. Each new segment gets
	// a checkpoint soon after its start as well.
	CheckpointEvery time.Duration
	// WaitForDisk makes the encoder wait for the disk instead of dropping blocks. It is meant for
	// simulated time, which stops while the encoder waits.
	WaitForDisk bool
}

const (
	defaultSegmentBytes    = 64 << 20 // bytes
	defaultTotalBytes      = 1 << 30  // bytes
	defaultCheckpointEvery = 30 * time.Second
	queueLength            = 16 // most blocks that wait for the disk, which hold one MiB
	retryInterval          = time.Second
	segmentSuffix          = ".fcap"
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

	options         WriterOptions
	queue           chan pendingBlock
	freeBuffers     chan []byte // buffers for reuse
	done            chan struct{}
	dropped         atomic.Uint32 // records dropped because the queue was full, not yet added to lost
	nextCheckpoint  policy.Micros // time of the next checkpoint; used by the event loop only
	needsCheckpoint atomic.Bool   // the current segment has no checkpoint yet

	// Used by the writing goroutine only.
	file       *os.File
	segment    uint32 // number of the segment
	size       int64  // bytes of the segment
	mac        []byte // last MAC
	index      Index
	compressor *zstd.Encoder
	buffer     []byte
	lost       uint32 // records lost since the last block that was written
	retryAt    time.Time
}

// NewWriter starts a capture in an existing folder.
func NewWriter(o WriterOptions) (*Writer, error) {
	w, err := newBlockWriter(o)
	if err != nil {
		return nil, err
	}
	w.Encoder = newEncoder(w, &w.options.Key)
	go w.run()
	return w, nil
}

// newBlockWriter starts a capture without a goroutine and an Encoder: the caller writes
// blocks by calling write.
func newBlockWriter(o WriterOptions) (*Writer, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.MaxTotalBytes <= 0 {
		o.MaxTotalBytes = defaultTotalBytes
	}
	if o.CheckpointEvery <= 0 {
		o.CheckpointEvery = defaultCheckpointEvery
	}
	w := &Writer{options: o, queue: make(chan pendingBlock, queueLength), freeBuffers: make(chan []byte, queueLength+1),
		done: make(chan struct{}), mac: make([]byte, macSize)}
	var err error
	if w.compressor, err = newCompressor(); err != nil {
		return nil, err
	}
	if err := w.startSegment(); err != nil {
		return nil, err
	}
	return w, nil
}

// newCompressor creates a compressor for speed, which runs in the calling goroutine.
func newCompressor() (*zstd.Encoder, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return e, nil
}

// submit implements blockSink. It drops a block if the queue is full, and counts its
// records as a gap before the next block that is queued.
func (w *Writer) submit(b pendingBlock) []byte {
	w.Stats.Records.Add(uint64(b.records))
	if w.options.WaitForDisk {
		w.queue <- b
		return make([]byte, 0, maxBlockBytes+maxBlockBytes/8)
	}
	select {
	case w.queue <- b:
	default:
		w.dropped.Add(b.records)
		w.Stats.Lost.Add(uint64(b.records))
		return b.raw[:0]
	}
	select {
	case raw := <-w.freeBuffers:
		return raw
	default:
		return make([]byte, 0, maxBlockBytes+maxBlockBytes/8)
	}
}

// checkpointDue implements blockSink. A checkpoint is due at the interval of the options,
// and at the start of each segment other than the first.
func (w *Writer) checkpointDue(now policy.Micros) bool {
	switch {
	case w.nextCheckpoint == 0: // the first segment starts with the run and needs no checkpoint
		w.needsCheckpoint.Store(false)
	case now < w.nextCheckpoint && !w.needsCheckpoint.Swap(false):
		return false
	}
	first := w.nextCheckpoint == 0
	w.nextCheckpoint = now + w.options.CheckpointEvery.Microseconds()
	return !first
}

// submitCheckpoint implements blockSink. It drops the checkpoint if the queue is full. This
// is not a gap, since the records around it are complete.
func (w *Writer) submitCheckpoint(b pendingBlock) {
	if w.options.WaitForDisk {
		w.queue <- b
		return
	}
	select {
	case w.queue <- b:
	default:
	}
}

// Close writes all remaining records, ends the segment, and returns when both is done. The
// encoder must not be called after Close.
func (w *Writer) Close() {
	w.flush()
	close(w.queue)
	<-w.done
}

// run writes the queued blocks until the queue is closed.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.queue {
		// The dropped records may belong after some blocks that are still in the queue, so the
		// gap may be reported too early. This does no harm: a replay stops at the gap in
		// either case.
		w.lost += w.dropped.Swap(0)
		if b.checkpoint != nil {
			b.raw = encodeCheckpoint(b.checkpoint, &w.options.Key)
			w.write(b)
			continue
		}
		w.write(b)
		select {
		case w.freeBuffers <- b.raw[:0]:
		default:
		}
	}
	w.endSegment()
}

// write writes one block. If this fails, the block's records count as lost, the segment is
// left without an end block, and a new segment is started after retryInterval.
func (w *Writer) write(b pendingBlock) {
	if w.file == nil {
		if time.Now().Before(w.retryAt) {
			w.recordLoss(b.records, nil)
			return
		}
		if err := w.startSegment(); err != nil {
			w.recordLoss(b.records, err)
			return
		}
	}
	payload := w.compressor.EncodeAll(b.raw, nil)
	header := blockHeader{kind: kindRecords, rawSize: uint32(len(b.raw)), records: b.records, lost: w.lost, first: int64(b.firstTime)}
	out, mac := header.seal(w.buffer[:0], &w.options.Key, w.mac, payload)
	w.buffer = out
	if _, err := w.file.Write(out); err != nil {
		w.recordLoss(b.records, err)
		return
	}
	w.index.add(w.size, &b)
	w.mac, w.lost = mac, 0
	w.size += int64(len(out))
	w.Stats.Blocks.Add(1)
	w.Stats.Bytes.Add(uint64(len(out)))
	// A checkpoint does not end a segment: each new segment gets one, so checkpoints larger
	// than SegmentBytes would start one segment after the other.
	if b.checkpoint == nil && w.size >= w.options.SegmentBytes {
		if w.endSegment(); w.startSegment() != nil {
			w.retryAt = time.Now().Add(retryInterval)
		}
	}
}

// recordLoss counts records that were not written. It logs err, which is nil if no attempt to
// write was made.
func (w *Writer) recordLoss(records uint32, err error) {
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
	w.retryAt = time.Now().Add(retryInterval)
}

// endSegment completes the segment with its index and its end block.
func (w *Writer) endSegment() {
	if w.file == nil {
		return
	}
	indexOffset := w.size
	out, mac, err := w.sealIndex(w.buffer[:0])
	header := blockHeader{kind: kindEnd, lost: w.lost, first: indexOffset}
	if err == nil {
		out, mac = header.seal(out, &w.options.Key, mac, nil)
		_, err = w.file.Write(out)
	}
	if closeErr := w.file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		w.Stats.Errors.Add(1)
		slog.Error("capture: index and end block of a segment were not written", "error", err)
	}
	w.mac, w.file, w.lost = mac, nil, 0
}

// sealIndex appends the segment's index as a block.
func (w *Writer) sealIndex(out []byte) (result, mac []byte, err error) {
	raw, err := proto.Marshal(w.index.pb)
	if err != nil {
		return nil, nil, fmt.Errorf("capture: encode the index: %w", err)
	}
	header := blockHeader{kind: kindIndex, rawSize: uint32(len(raw))}
	result, mac = header.seal(out, &w.options.Key, w.mac, w.compressor.EncodeAll(raw, nil))
	return result, mac, nil
}

// startSegment starts a new segment and removes old ones.
func (w *Writer) startSegment() error {
	o := &w.options
	file := filepath.Join(o.Folder, fmt.Sprintf("%s-%016x-%06d%s", o.Name, o.RunID, w.segment+1, segmentSuffix))
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	w.segment++
	header := segmentHeader{fingerprint: o.Key.fingerprint, runID: o.RunID, number: w.segment, previousMAC: [macSize]byte(w.mac)}
	encoded := header.append(nil)
	mac := o.Key.mac(nil, encoded)
	if _, err := f.Write(append(encoded, mac...)); err != nil {
		_ = f.Close()
		return fmt.Errorf("capture: %w", err)
	}
	w.file, w.mac, w.size = f, mac, int64(segmentHeaderSize+macSize)
	w.index = Index{pb: &capturepb.Index{}}
	w.needsCheckpoint.Store(true)
	w.removeOldSegments(file)
	return nil
}

// removeOldSegments removes the oldest segments until all are within the limits of size
// and age. It never removes the current one.
func (w *Writer) removeOldSegments(current string) {
	o := &w.options
	files, err := filepath.Glob(filepath.Join(o.Folder, o.Name+"-*"+segmentSuffix))
	if err != nil {
		return
	}
	type oldSegment struct {
		file string
		size int64
		at   time.Time
	}
	var oldSegments []oldSegment
	total := int64(0)
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && f != current {
			oldSegments = append(oldSegments, oldSegment{f, info.Size(), info.ModTime()})
			total += info.Size()
		}
	}
	slices.SortFunc(oldSegments, func(a, b oldSegment) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.file, b.file)
	})
	for _, segment := range oldSegments {
		expired := o.MaxAge > 0 && time.Since(segment.at) > o.MaxAge
		if !expired && total+o.SegmentBytes <= o.MaxTotalBytes {
			return
		}
		if err := os.Remove(segment.file); err != nil {
			slog.Warn("capture: an old segment was not removed", "error", err)
			return
		}
		total -= segment.size
	}
}

// NewRunID returns the id of a run, made from its start time and the gatekeeper's seed.
func NewRunID(now policy.Micros, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	return uint64(now)<<12 ^ uint64(checksum(nil, b[:])>>52)
}
