// Package recordlog implements a durable, append-only log of records on disk, for a store that must
// not lose what it has synced. The log files are written by github.com/tidwall/wal; this package
// adds the guarantees that the library does not give.
//
// A journal is a directory with generations. A generation is a subdirectory with a log of its own.
// Each call of Append is one entry, one write and one sync, so at most the last entry of a log can
// be torn, and a torn call leaves nothing. Replace writes the next generation under a temporary
// name, has the library sync its files, syncs the directory, renames it, syncs the parent
// directory, and then removes the previous generation. A directory with a generation's name is
// therefore complete as far as its first entry states, and the generation with the highest number
// is the current one.
//
// The library has no checksums, and it takes a tail of zeros for empty entries. Each entry
// therefore holds a frame: length, index, and xxh3 hashes seeded with the hash of the first entry,
// which contains the generation and a random number. Bytes that a torn write or a truncation leaves
// behind, or that are part of a record, never pass for a frame. Before the library opens a log,
// scanSegment has checked every entry of it, cut a torn tail, and refused damage; the library would
// answer both with "log corrupt", read zeros as entries, and not detect a damaged body at all.
//
// Other properties of the library, and how they are handled here: it creates a segment without
// syncing the directory (Append does so when a segment was started); its truncations remove and
// rename without syncing (they are not used); it keeps the last segment in memory, and the previous
// one until its cache is cleared (segments are short, and the cache is cleared); it has no file
// system interface (tests put failing devices in place of segments and record the operations on
// directories).
package recordlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/wal"
	"github.com/zeebo/xxh3"
)

const (
	magic            = "cellar\x00\x02" // on disk; contains a former name of the package
	headSize         = 32               // bytes: magic, generation, number of entries synced before the rename, random number
	frameHeadSize    = 28               // bytes: body length, index, hash of the body, hash of these three
	generationPrefix = "generation-"    // prefix of a generation's directory
	earlierPrefix    = "journal-"       // prefix of a file in the earlier format, which did not use the library
	tempSuffix       = ".new"           // suffix of a generation that is not complete yet

	defaultSegmentSize = 256 << 10 // bytes after which a segment ends
	replaceWriteSize   = 256 << 10 // bytes per write in Replace; each write waits for the disk
	maxKeptBuffer      = 64 << 10  // bytes of buffer that are kept between calls of Append
)

// ErrStopped is returned by every call after one has failed: it is then unknown what is on disk,
// and a second sync can succeed without having written what the first one could not.
var ErrStopped = errors.New("recordlog: the journal is stopped and must be reopened")

// ErrReplaceFailed is returned if Replace failed before the new generation got its name: the previous
// generation is still the current one, and the journal can be used.
var ErrReplaceFailed = errors.New("recordlog: replacement failed; the previous records are kept")

// ErrDamaged reports that bytes which had been synced are not what was written. Nothing is
// truncated, because complete entries after the damage would be lost.
type ErrDamaged struct {
	File   string
	Offset int64 // offset in bytes at which the entry begins
}

// Error describes the damage and its location.
func (e *ErrDamaged) Error() string {
	return fmt.Sprintf("recordlog: %s is damaged: no valid entry at byte %d", e.File, e.Offset)
}

// ErrEarlierFormat reports that a directory holds a journal in the earlier format, which is not read.
type ErrEarlierFormat struct{ File string }

// Error names the file in the earlier format.
func (e *ErrEarlierFormat) Error() string {
	return fmt.Sprintf("recordlog: %s is a journal in an earlier format, which this version cannot read", e.File)
}

// Journal is an open journal. It must be used by one goroutine at a time, and a directory must have
// at most one open journal.
type Journal struct {
	fsys        fileSystem
	dir         string
	segmentSize int // bytes after which a segment ends

	log             *wal.Log
	generation      uint64
	seed            uint64
	nextIndex       uint64 // index of the next entry, as the library counts
	size            int64  // bytes of the current generation
	lastSegmentSize int64  // bytes of the last segment, as the library counts
	buf             []byte
	batch           *wal.Batch
	err             error // why the journal has stopped; nil while it works
}

// Open opens the journal in a directory and returns all records in order. What it returns is
// synced, even if the writer was killed before it could sync. A torn tail is cut off. The directory
// must exist and may hold other files.
func Open(dir string) (*Journal, [][]byte, error) {
	return openOn(osFileSystem{}, dir, defaultSegmentSize)
}

// openOn is Open with a given file system and segment length.
func openOn(fsys fileSystem, dir string, segmentSize int) (*Journal, [][]byte, error) {
	names, err := fsys.List(dir)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{fsys: fsys, dir: dir, segmentSize: segmentSize, batch: &wal.Batch{}}
	var generations []string
	for _, name := range names {
		if _, _, ok := parseGeneration(name, earlierPrefix); ok {
			return nil, nil, &ErrEarlierFormat{filepath.Join(dir, name)}
		}
		generation, complete, ok := parseGeneration(name, generationPrefix)
		if !ok {
			continue
		}
		generations = append(generations, name)
		if complete {
			j.generation = max(j.generation, generation)
		}
	}
	var records [][]byte
	if j.generation == 0 {
		if err = j.removeLeftovers(generations); err == nil {
			_, err = j.startGeneration(nil)
		}
	} else if records, err = j.load(); err == nil {
		err = j.removeLeftovers(generations)
	}
	if err != nil {
		if j.log != nil {
			_ = j.log.Close()
		}
		return nil, nil, err
	}
	return j, records, nil
}

// removeLeftovers removes what interrupted calls left behind. The current generation, if any, is
// durable by then.
func (j *Journal) removeLeftovers(names []string) error {
	for _, name := range names {
		if name == generationName(j.generation) {
			continue
		}
		if err := j.removeGeneration(filepath.Join(j.dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// removeGeneration deletes a generation. If the deletion is not durable, the next Open repeats it.
func (j *Journal) removeGeneration(dir string) error {
	names, err := j.fsys.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := j.fsys.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return j.fsys.Remove(dir)
}

// Append adds records. When it returns without an error, all of them are durable; if it is
// interrupted, either all or none of them are.
func (j *Journal) Append(records [][]byte) error {
	if j.err != nil {
		return j.err
	}
	if len(records) == 0 {
		return nil
	}
	frame, err := appendFrame(j.buf[:0], j.seed, j.nextIndex, records)
	if err != nil {
		return err
	}
	// The library's own Write would keep a copy as long as the longest entry.
	j.batch.Write(j.nextIndex, frame)
	if err := j.log.WriteBatch(j.batch); err != nil {
		return j.fail(err)
	}
	j.nextIndex++
	if j.countEntry(len(frame)) {
		// The next entry goes to a new file whose name must be durable, and the previous segment is no
		// longer needed in memory.
		if err := errors.Join(j.fsys.Sync(j.path()), j.log.ClearCache()); err != nil {
			return j.fail(err)
		}
	}
	if j.buf = frame; cap(frame) > maxKeptBuffer {
		j.buf, j.batch = nil, &wal.Batch{}
	}
	return nil
}

// countEntry counts an entry as the library does and reports whether the library has started a new
// segment: before an entry if the last segment is too long, and after an entry that fills it.
func (j *Journal) countEntry(frameSize int) (started bool) {
	size := entrySize(int64(frameSize))
	j.size += size
	if j.lastSegmentSize > int64(j.segmentSize) {
		j.lastSegmentSize, started = 0, true
	}
	if j.lastSegmentSize += size; j.lastSegmentSize >= int64(j.segmentSize) {
		j.lastSegmentSize, started = 0, true
	}
	return started
}

// Replace makes the journal hold exactly the given records. If it is interrupted, either these or
// the previous records are there. Until it returns, the disk holds both; if there is no room for
// that, the error says that the previous records are kept, and what was written of the new
// generation is removed.
func (j *Journal) Replace(records [][]byte) error {
	if j.err != nil {
		return j.err
	}
	for _, record := range records {
		if exceedsFrame(uint64(len(record))) {
			return errRecordsTooLong
		}
	}
	previous, previousDir := j.log, j.path()
	if renamed, err := j.startGeneration(records); err != nil && !renamed {
		return fmt.Errorf("%w: %w", ErrReplaceFailed, err)
	} else if err != nil {
		return j.fail(err)
	}
	if err := errors.Join(previous.Close(), j.removeGeneration(previousDir)); err != nil {
		return j.fail(err)
	}
	return nil
}

// Size returns the size of the current generation in bytes.
func (j *Journal) Size() int64 { return j.size }

// Close closes the log. Everything is synced already.
func (j *Journal) Close() error {
	if j.log == nil {
		return nil
	}
	err := j.log.Close()
	j.log = nil
	if j.err != nil {
		return nil // the error was returned before, and the library may return it again
	}
	j.err = fmt.Errorf("%w: closed", ErrStopped)
	return err
}

// fail makes all later calls fail.
func (j *Journal) fail(err error) error {
	j.err = fmt.Errorf("%w: %w", ErrStopped, err)
	return j.err
}

// path returns the directory of the current generation.
func (j *Journal) path() string { return filepath.Join(j.dir, generationName(j.generation)) }

// options returns the library's options. noSync leaves out the sync after each write.
func (j *Journal) options(noSync bool) *wal.Options {
	return &wal.Options{NoSync: noSync, SegmentSize: j.segmentSize, SegmentCacheSize: 1, NoCopy: true, AllowEmpty: true,
		DirPerms: 0o700, FilePerms: 0o600}
}

// startGeneration writes the next generation and makes it durable. If it fails before the new
// generation may have its name, nothing of it is left, and renamed is false.
func (j *Journal) startGeneration(records [][]byte) (renamed bool, err error) {
	generation := j.generation + 1
	path := filepath.Join(j.dir, generationName(generation))
	next := Journal{fsys: j.fsys, dir: j.dir, segmentSize: j.segmentSize, generation: generation, nextIndex: 1, batch: &wal.Batch{}}
	if err := next.writeGeneration(path+tempSuffix, records); err != nil {
		_ = j.removeGeneration(path + tempSuffix) // if this fails, the next call or the next Open removes it
		return false, err
	}
	if err := j.fsys.Rename(path+tempSuffix, path); err != nil {
		return true, err
	}
	if err := j.fsys.Sync(j.dir); err != nil {
		return true, err
	}
	if next.log, err = wal.Open(path, j.options(false)); err != nil {
		return true, err
	}
	next.buf, next.batch = nil, &wal.Batch{}
	*j = next
	return true, nil
}

// writeGeneration writes a generation under a temporary name and makes its files durable.
func (j *Journal) writeGeneration(path string, records [][]byte) error {
	if err := j.removeGeneration(path); err != nil && !errors.Is(err, fs.ErrNotExist) { // of an earlier call whose cleanup failed
		return err
	}
	if err := j.fsys.Make(path); err != nil {
		return err
	}
	// One sync at the end is enough, because nobody reads the directory before it has its name.
	log, err := wal.Open(path, j.options(true))
	if err != nil {
		return err
	}
	pending := 0
	add := func(seed uint64, records ...[]byte) error {
		frame, err := appendFrame(j.buf[:0], seed, j.nextIndex, records)
		if err != nil {
			return err
		}
		j.batch.Write(j.nextIndex, frame)
		j.nextIndex++
		j.countEntry(len(frame))
		j.buf = frame
		if pending += len(frame); pending < replaceWriteSize {
			return nil
		}
		pending = 0
		return errors.Join(log.WriteBatch(j.batch), log.ClearCache())
	}
	head, seed := makeHead(j.generation, uint64(len(records))+1)
	j.seed = seed
	err = add(0, head)
	for i := 0; i < len(records) && err == nil; i++ {
		err = add(seed, records[i])
	}
	if err == nil {
		err = log.WriteBatch(j.batch)
	}
	if err = errors.Join(err, log.Close()); err != nil {
		return err
	}
	return j.fsys.Sync(path)
}

// load reads the current generation, cuts its torn tail and makes the rest durable.
func (j *Journal) load() ([][]byte, error) {
	names, err := j.fsys.List(j.path())
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var records [][]byte
	var synced uint64
	j.nextIndex = 1
	for i, name := range names {
		path := filepath.Join(j.path(), name)
		if name != segmentName(j.nextIndex) {
			return nil, &ErrDamaged{path, 0}
		}
		if records, err = j.scanSegment(path, i == len(names)-1, &synced, records); err != nil {
			return nil, err
		}
	}
	if synced == 0 || j.nextIndex <= synced {
		return nil, &ErrDamaged{j.path(), j.size}
	}
	// A writer that was killed may have left new directory entries unsynced.
	if err := errors.Join(j.fsys.Sync(j.path()), j.fsys.Sync(j.dir)); err != nil {
		return nil, err
	}
	j.log, err = wal.Open(j.path(), j.options(false))
	return records, err
}

// scanSegment appends the records of a segment and checks that each of its entries is complete.
// Only the last entry of a log can be unsynced. A broken entry that was synced before the
// generation got its name, or that is followed by anything, is therefore not torn but damaged.
func (j *Journal) scanSegment(path string, isLast bool, synced *uint64, records [][]byte) (_ [][]byte, err error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	data := make([]byte, info.Size())
	if _, err := io.ReadFull(file, data); err != nil {
		return nil, err
	}
	j.lastSegmentSize = 0
	for offset := 0; offset < len(data); offset = int(j.lastSegmentSize) {
		body, size, ok := readEntry(data[offset:], j.seed, j.nextIndex)
		if ok {
			if j.nextIndex == 1 {
				*synced, j.seed, ok = readHead(body, j.generation)
			} else {
				records, ok = splitRecords(records, body)
			}
			if !ok {
				return nil, &ErrDamaged{path, j.lastSegmentSize}
			}
			j.nextIndex++
			j.size += size
			j.lastSegmentSize += size
			continue
		}
		if !isLast || j.nextIndex <= max(*synced, 1) || j.isFollowed(data[offset:]) {
			return nil, &ErrDamaged{path, j.lastSegmentSize}
		}
		if err := file.Truncate(j.lastSegmentSize); err != nil {
			return nil, err
		}
		break
	}
	if !isLast {
		return records, nil
	}
	return records, file.Sync()
}

// isFollowed reports whether anything was written after the broken entry at the start of data: the
// frame of another entry, or anything past the end of the broken entry's own frame. The head of a
// frame is enough evidence, because it is written only after the previous entry has been synced.
func (j *Journal) isFollowed(data []byte) bool {
	for ; len(data) >= frameHeadSize; data = data[1:] {
		bodySize, index, _, ok := readFrameHead(data, j.seed)
		if ok && (index != j.nextIndex || frameHeadSize+bodySize < int64(len(data))) {
			return true
		}
	}
	return false
}

// segmentName returns the library's name for the file that begins with an entry.
func segmentName(index uint64) string { return fmt.Sprintf("%020d", index) }

// generationName returns the name of a generation's directory.
func generationName(generation uint64) string {
	return fmt.Sprintf("%s%016x", generationPrefix, generation)
}

// parseGeneration extracts the generation from a name and reports whether the generation was written
// completely.
func parseGeneration(name, prefix string) (generation uint64, complete, ok bool) {
	stem, incomplete := strings.CutSuffix(name, tempSuffix)
	digits, found := strings.CutPrefix(stem, prefix)
	generation, err := strconv.ParseUint(digits, 16, 64)
	if !found || err != nil || generation == 0 || fmt.Sprintf("%s%016x", prefix, generation) != stem {
		return 0, false, false
	}
	return generation, !incomplete, true
}

// makeHead returns the only record of a generation's first entry and the hash seed for the other
// entries.
func makeHead(generation, synced uint64) (head []byte, seed uint64) {
	head = append(make([]byte, 0, headSize), magic...)
	head = binary.LittleEndian.AppendUint64(head, generation)
	head = binary.LittleEndian.AppendUint64(head, synced)
	var random [8]byte
	_, _ = rand.Read(random[:]) // it never returns an error
	head = append(head, random[:]...)
	return head, xxh3.Hash(head)
}

// readHead parses a generation's first entry.
func readHead(body []byte, generation uint64) (synced, seed uint64, ok bool) {
	records, ok := splitRecords(nil, body)
	if !ok || len(records) != 1 {
		return 0, 0, false
	}
	head := records[0]
	if len(head) != headSize || string(head[:8]) != magic || binary.LittleEndian.Uint64(head[8:]) != generation {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(head[16:]), xxh3.Hash(head), true
}

// entrySize returns the length of an entry in the file: the library puts the frame's length before
// it.
func entrySize(frameSize int64) int64 {
	var prefix [binary.MaxVarintLen64]byte
	return int64(binary.PutUvarint(prefix[:], uint64(frameSize))) + frameSize
}

var errRecordsTooLong = errors.New("recordlog: records exceed the frame limit of 4294967295 bytes")

// exceedsFrame reports whether a record of that size, with its own length prefix, exceeds a frame.
func exceedsFrame(size uint64) bool { return size > math.MaxUint32-binary.MaxVarintLen64 }

// recordSize returns the encoded length of a record of that size.
func recordSize(size int) int64 {
	var prefix [binary.MaxVarintLen64]byte
	return int64(binary.PutUvarint(prefix[:], uint64(size)) + size)
}

// appendFrame appends a frame with some records to b.
func appendFrame(b []byte, seed, index uint64, records [][]byte) ([]byte, error) {
	var bodySize int64
	for _, record := range records {
		bodySize += recordSize(len(record))
	}
	if bodySize > math.MaxUint32 {
		return nil, errRecordsTooLong
	}
	if required := len(b) + frameHeadSize + int(bodySize); cap(b) < required {
		b = append(make([]byte, 0, required), b...)
	}
	start := len(b)
	b = append(b, make([]byte, frameHeadSize)...)
	for _, record := range records {
		b = binary.AppendUvarint(b, uint64(len(record)))
		b = append(b, record...)
	}
	head := b[start:]
	binary.LittleEndian.PutUint32(head, uint32(bodySize))
	binary.LittleEndian.PutUint64(head[4:], index)
	binary.LittleEndian.PutUint64(head[12:], xxh3.HashSeed(head[frameHeadSize:], seed+index))
	binary.LittleEndian.PutUint64(head[20:], xxh3.HashSeed(head[:20], seed))
	return b, nil
}

// readFrameHead parses the head of a frame and checks its hash.
func readFrameHead(head []byte, seed uint64) (bodySize int64, index, sum uint64, ok bool) {
	if xxh3.HashSeed(head[:20], seed) != binary.LittleEndian.Uint64(head[20:]) {
		return 0, 0, 0, false
	}
	return int64(binary.LittleEndian.Uint32(head)), binary.LittleEndian.Uint64(head[4:]),
		binary.LittleEndian.Uint64(head[12:]), true
}

// readEntry parses the entry at the start of data, including the length prefix that the library
// writes.
func readEntry(data []byte, seed, index uint64) (body []byte, size int64, ok bool) {
	length, prefixLen := binary.Uvarint(data)
	if prefixLen <= 0 || length < frameHeadSize || length > uint64(len(data)-prefixLen) {
		return nil, 0, false
	}
	size = int64(prefixLen) + int64(length)
	frame := data[prefixLen:size]
	bodySize, entryIndex, sum, ok := readFrameHead(frame, seed)
	body = frame[frameHeadSize:]
	if !ok || entryIndex != index || bodySize != int64(len(body)) || size != entrySize(int64(length)) || xxh3.HashSeed(body, seed+index) != sum {
		return nil, 0, false
	}
	return body, size, true
}

// splitRecords appends the records of a frame's body. They share the body's memory.
func splitRecords(records [][]byte, body []byte) ([][]byte, bool) {
	for len(body) > 0 {
		size, prefixLen := binary.Uvarint(body)
		if prefixLen <= 0 || size > uint64(len(body)-prefixLen) {
			return nil, false
		}
		end := prefixLen + int(size)
		records = append(records, body[prefixLen:end:end])
		body = body[end:]
	}
	return records, true
}
