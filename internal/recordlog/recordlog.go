// Package recordlog keeps records on disk for a store that must not lose what it has synced. The
// log is github.com/tidwall/wal; what that library leaves open is done here.
//
// A generation is a folder with a log of its own. A call of Append is one entry, one write and
// one sync, so at most the last entry of a log can be torn, and a torn call leaves nothing.
// Replace writes the next generation under a passing name, has the library sync its files,
// syncs the folder, renames it, syncs the folder around it, and then removes the one before. So
// a folder with a generation's name is whole as far as its first entry tells, and the one with
// the highest number holds.
//
// The library has no hashes, and takes a tail of zeros for empty entries. So each entry holds a
// frame: length, index, and xxh3 hashes seeded with the hash of the first entry, in which the
// generation and a number drawn by chance stand. Bytes that a tear or a cut leaves behind, or
// that stand in a record, never pass for a frame. Before the library opens a log, look has seen
// every entry of it, cut a torn tail, and refused damage; the library would answer both with
// "log corrupt", read zeros as entries, and not see a damaged body at all.
//
// Of the library's other ways: it creates a segment without syncing the folder (Append does, when
// one was begun); its truncations remove and rename without syncing (they are not used); it holds
// the last segment in memory, and the one before until its cache is cleared (segments are short, and
// it is cleared); it takes no file layer (tests put devices that refuse in place of segments, and note
// the steps on folders).
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
	magic    = "cellar\x00\x02" // on disk, by the former name of the package
	headBody = 32               // magic, generation, entries that were synced before the name was given, chance
	frameLen = 28               // body's length, index, body's hash, hash of these three
	named    = "generation-"
	former   = "journal-" // a file of the format before the library
	passing  = ".new"

	segmentLen = 256 << 10 // bytes at which a segment ends
	writeLen   = 256 << 10 // bytes in a write of Replace: each waits for the disk
	keepLen    = 64 << 10  // bytes of buffers that are kept between calls of Append
)

// ErrStopped answers every call after one has failed: what is on disk is not known then, and
// a second sync can succeed without having written what the first could not.
var ErrStopped = errors.New("recordlog: the journal has stopped")

// ErrKept says that Replace has failed before the new generation had its name: the one before it
// holds, and the journal goes on.
var ErrKept = errors.New("recordlog: the records before are kept")

// ErrDamaged says that bytes which had been synced are not what was written. Nothing is cut:
// whole entries behind them would be lost.
type ErrDamaged struct {
	File string
	At   int64 // where the entry begins
}

func (e *ErrDamaged) Error() string {
	return fmt.Sprintf("recordlog: %s is damaged at byte %d", e.File, e.At)
}

// ErrFormer says that a folder holds a journal of the format before this one, which is not read.
type ErrFormer struct{ File string }

func (e *ErrFormer) Error() string {
	return fmt.Sprintf("recordlog: %s is a journal of an earlier format, which this version does not read", e.File)
}

// Journal is an open journal. It belongs to one goroutine, and its folder to one journal.
type Journal struct {
	folders folders
	dir     string
	segment int // bytes at which a segment ends

	log   *wal.Log
	gen   uint64
	seed  uint64
	index uint64 // of the next entry; the library's own index
	size  int64  // of the generation
	tail  int64  // of the last segment, as the library counts it
	buf   []byte
	batch *wal.Batch
	err   error // why it has stopped
}

// Open opens the journal in a folder and returns all records in order. What it returns is
// synced, also where the writer was killed before it could do that. A torn tail is cut off.
// The folder must be there, and may hold other files.
func Open(dir string) (*Journal, [][]byte, error) { return openOn(osFolders{}, dir, segmentLen) }

func openOn(folders folders, dir string, segment int) (*Journal, [][]byte, error) {
	names, err := folders.List(dir)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{folders: folders, dir: dir, segment: segment, batch: &wal.Batch{}}
	var mine []string
	for _, name := range names {
		if _, _, ok := parse(name, former); ok {
			return nil, nil, &ErrFormer{filepath.Join(dir, name)}
		}
		gen, whole, ok := parse(name, named)
		if !ok {
			continue
		}
		mine = append(mine, name)
		if whole {
			j.gen = max(j.gen, gen)
		}
	}
	var records [][]byte
	if j.gen == 0 {
		if err = j.tidy(mine); err == nil {
			_, err = j.begin(nil)
		}
	} else if records, err = j.load(); err == nil {
		err = j.tidy(mine)
	}
	if err != nil {
		if j.log != nil {
			_ = j.log.Close()
		}
		return nil, nil, err
	}
	return j, records, nil
}

// tidy removes what interrupted calls left behind. The generation in force, if any, lasts by then.
func (j *Journal) tidy(names []string) error {
	for _, name := range names {
		if name == base(j.gen) {
			continue
		}
		if err := j.remove(filepath.Join(j.dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// remove takes away a generation. The next Open does it again where that does not last.
func (j *Journal) remove(path string) error {
	names, err := j.folders.List(path)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := j.folders.Remove(filepath.Join(path, name)); err != nil {
			return err
		}
	}
	return j.folders.Remove(path)
}

// Append adds records: after it has returned they last, all of them; if it is interrupted,
// all or none are there.
func (j *Journal) Append(records [][]byte) error {
	if j.err != nil {
		return j.err
	}
	if len(records) == 0 {
		return nil
	}
	buf, err := appendFrame(j.buf[:0], j.seed, j.index, records)
	if err != nil {
		return err
	}
	// The library's own Write would keep a copy as long as the longest entry.
	j.batch.Write(j.index, buf)
	if err := j.log.WriteBatch(j.batch); err != nil {
		return j.stop(err)
	}
	j.index++
	if j.grow(len(buf)) {
		// What comes next is in a file whose name must last, and the one before needn't be in memory.
		if err := errors.Join(j.folders.Sync(j.path()), j.log.ClearCache()); err != nil {
			return j.stop(err)
		}
	}
	if j.buf = buf; cap(buf) > keepLen {
		j.buf, j.batch = nil, &wal.Batch{}
	}
	return nil
}

// grow counts an entry as the library does, and tells whether it has begun a segment: before
// an entry where the last one is too long, and behind one that fills it.
func (j *Journal) grow(frame int) (begun bool) {
	n := entryLen(int64(frame))
	j.size += n
	if j.tail > int64(j.segment) {
		j.tail, begun = 0, true
	}
	if j.tail += n; j.tail >= int64(j.segment) {
		j.tail, begun = 0, true
	}
	return begun
}

// Replace makes the journal hold exactly these records. If it is interrupted, either these
// or those before are there. Until it is over, the disk holds both; where there is no room for
// that, the error is ErrKept, and what was written for it is taken away again.
func (j *Journal) Replace(records [][]byte) error {
	if j.err != nil {
		return j.err
	}
	for _, r := range records {
		if tooLong(uint64(len(r))) {
			return errTooLong
		}
	}
	old, oldPath := j.log, j.path()
	if named, err := j.begin(records); err != nil && !named {
		return fmt.Errorf("%w: %w", ErrKept, err)
	} else if err != nil {
		return j.stop(err)
	}
	if err := errors.Join(old.Close(), j.remove(oldPath)); err != nil {
		return j.stop(err)
	}
	return nil
}

// Size is how many bytes the generation in force has.
func (j *Journal) Size() int64 { return j.size }

// Close closes the log. There is nothing to sync.
func (j *Journal) Close() error {
	if j.log == nil {
		return nil
	}
	err := j.log.Close()
	j.log = nil
	if j.err != nil {
		return nil // it has been told, and the library may tell it again
	}
	j.err = fmt.Errorf("%w: closed", ErrStopped)
	return err
}

func (j *Journal) stop(err error) error {
	j.err = fmt.Errorf("%w: %w", ErrStopped, err)
	return j.err
}

func (j *Journal) path() string { return filepath.Join(j.dir, base(j.gen)) }

func (j *Journal) options(noSync bool) *wal.Options {
	return &wal.Options{NoSync: noSync, SegmentSize: j.segment, SegmentCacheSize: 1, NoCopy: true, AllowEmpty: true,
		DirPerms: 0o700, FilePerms: 0o600}
}

// begin writes the generation after the present one and makes it last. Where it fails before the
// new one may have its name, nothing is left of that.
func (j *Journal) begin(records [][]byte) (named bool, err error) {
	gen := j.gen + 1
	path := filepath.Join(j.dir, base(gen))
	next := Journal{folders: j.folders, dir: j.dir, segment: j.segment, gen: gen, index: 1, batch: &wal.Batch{}}
	if err := next.write(path+passing, records); err != nil {
		_ = j.remove(path + passing) // otherwise the next one, or the next Open, takes it away
		return false, err
	}
	if err := j.folders.Rename(path+passing, path); err != nil {
		return true, err
	}
	if err := j.folders.Sync(j.dir); err != nil {
		return true, err
	}
	if next.log, err = wal.Open(path, j.options(false)); err != nil {
		return true, err
	}
	next.buf, next.batch = nil, &wal.Batch{}
	*j = next
	return true, nil
}

// write writes a generation that has no name yet, and makes its files last.
func (j *Journal) write(path string, records [][]byte) error {
	if err := j.remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) { // of one that could not be taken away
		return err
	}
	if err := j.folders.Make(path); err != nil {
		return err
	}
	// One sync at the end is enough: until the folder has its name nobody reads it.
	log, err := wal.Open(path, j.options(true))
	if err != nil {
		return err
	}
	pending := 0
	add := func(seed uint64, records ...[]byte) error {
		buf, err := appendFrame(j.buf[:0], seed, j.index, records)
		if err != nil {
			return err
		}
		j.batch.Write(j.index, buf)
		j.index++
		j.grow(len(buf))
		j.buf = buf
		if pending += len(buf); pending < writeLen {
			return nil
		}
		pending = 0
		return errors.Join(log.WriteBatch(j.batch), log.ClearCache())
	}
	head, seed := makeHead(j.gen, uint64(len(records))+1)
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
	return j.folders.Sync(path)
}

// load reads the generation in force, cuts its torn tail and makes the rest last.
func (j *Journal) load() ([][]byte, error) {
	names, err := j.folders.List(j.path())
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var records [][]byte
	var synced uint64
	j.index = 1
	for i, name := range names {
		path := filepath.Join(j.path(), name)
		if name != segmentName(j.index) {
			return nil, &ErrDamaged{path, 0}
		}
		if records, err = j.look(path, i == len(names)-1, &synced, records); err != nil {
			return nil, err
		}
	}
	if synced == 0 || j.index <= synced {
		return nil, &ErrDamaged{j.path(), j.size}
	}
	// A writer that was killed may have left new names unsynced.
	if err := errors.Join(j.folders.Sync(j.path()), j.folders.Sync(j.dir)); err != nil {
		return nil, err
	}
	j.log, err = wal.Open(j.path(), j.options(false))
	return records, err
}

// look adds the records of a segment, and sees that each of its entries is whole. Only the last
// entry of a log is ever unsynced. So one that was synced before the generation had its name, or
// with anything behind it, is not torn but damaged.
func (j *Journal) look(path string, last bool, synced *uint64, records [][]byte) (_ [][]byte, err error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	data := make([]byte, info.Size())
	if _, err := io.ReadFull(f, data); err != nil {
		return nil, err
	}
	j.tail = 0
	for at := 0; at < len(data); at = int(j.tail) {
		body, n, ok := readEntry(data[at:], j.seed, j.index)
		if ok {
			if j.index == 1 {
				*synced, j.seed, ok = readHead(body, j.gen)
			} else {
				records, ok = split(records, body)
			}
			if !ok {
				return nil, &ErrDamaged{path, j.tail}
			}
			j.index++
			j.size += n
			j.tail += n
			continue
		}
		if !last || j.index <= max(*synced, 1) || j.follows(data[at:]) {
			return nil, &ErrDamaged{path, j.tail}
		}
		if err := f.Truncate(j.tail); err != nil {
			return nil, err
		}
		break
	}
	if !last {
		return records, nil
	}
	return records, f.Sync()
}

// follows tells whether anything was written behind the broken entry at the start: another
// entry's frame, or anything past the end of the broken one's own. A frame's head is enough, as
// it was written only after the entry before it had been synced.
func (j *Journal) follows(b []byte) bool {
	for ; len(b) >= frameLen; b = b[1:] {
		n, index, _, ok := readFrameHead(b, j.seed)
		if ok && (index != j.index || frameLen+n < int64(len(b))) {
			return true
		}
	}
	return false
}

// segmentName is the library's name for the file that begins with an entry.
func segmentName(index uint64) string { return fmt.Sprintf("%020d", index) }

func base(gen uint64) string { return fmt.Sprintf("%s%016x", named, gen) }

// parse tells a generation by its name, and whether it was written whole.
func parse(name, kind string) (gen uint64, whole, ok bool) {
	stem, unfinished := strings.CutSuffix(name, passing)
	digits, found := strings.CutPrefix(stem, kind)
	gen, err := strconv.ParseUint(digits, 16, 64)
	if !found || err != nil || gen == 0 || fmt.Sprintf("%s%016x", kind, gen) != stem {
		return 0, false, false
	}
	return gen, !unfinished, true
}

// makeHead is the first entry's only record: what the generation is, and the seed of the others.
func makeHead(gen, synced uint64) (head []byte, seed uint64) {
	head = append(make([]byte, 0, headBody), magic...)
	head = binary.LittleEndian.AppendUint64(head, gen)
	head = binary.LittleEndian.AppendUint64(head, synced)
	var chance [8]byte
	_, _ = rand.Read(chance[:]) // it never fails
	head = append(head, chance[:]...)
	return head, xxh3.Hash(head)
}

func readHead(body []byte, gen uint64) (synced, seed uint64, ok bool) {
	records, ok := split(nil, body)
	if !ok || len(records) != 1 {
		return 0, 0, false
	}
	head := records[0]
	if len(head) != headBody || string(head[:8]) != magic || binary.LittleEndian.Uint64(head[8:]) != gen {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(head[16:]), xxh3.Hash(head), true
}

// entryLen is what the library makes of a frame: its length stands before it.
func entryLen(frame int64) int64 {
	var b [binary.MaxVarintLen64]byte
	return int64(binary.PutUvarint(b[:], uint64(frame))) + frame
}

var errTooLong = errors.New("recordlog: records are too long for a frame")

// tooLong leaves room for a record's own length.
func tooLong(n uint64) bool { return n > math.MaxUint32-binary.MaxVarintLen64 }

func bodyLen(n int) int64 {
	var b [binary.MaxVarintLen64]byte
	return int64(binary.PutUvarint(b[:], uint64(n)) + n)
}

// appendFrame adds one frame with some records.
func appendFrame(b []byte, seed, index uint64, records [][]byte) ([]byte, error) {
	var n int64
	for _, r := range records {
		n += bodyLen(len(r))
	}
	if n > math.MaxUint32 {
		return nil, errTooLong
	}
	if need := len(b) + frameLen + int(n); cap(b) < need {
		b = append(make([]byte, 0, need), b...)
	}
	start := len(b)
	b = append(b, make([]byte, frameLen)...)
	for _, r := range records {
		b = binary.AppendUvarint(b, uint64(len(r)))
		b = append(b, r...)
	}
	head := b[start:]
	binary.LittleEndian.PutUint32(head, uint32(n))
	binary.LittleEndian.PutUint64(head[4:], index)
	binary.LittleEndian.PutUint64(head[12:], xxh3.HashSeed(head[frameLen:], seed+index))
	binary.LittleEndian.PutUint64(head[20:], xxh3.HashSeed(head[:20], seed))
	return b, nil
}

func readFrameHead(b []byte, seed uint64) (n int64, index, sum uint64, ok bool) {
	if xxh3.HashSeed(b[:20], seed) != binary.LittleEndian.Uint64(b[20:]) {
		return 0, 0, 0, false
	}
	return int64(binary.LittleEndian.Uint32(b)), binary.LittleEndian.Uint64(b[4:]),
		binary.LittleEndian.Uint64(b[12:]), true
}

// readEntry reads the entry at the start of some bytes, with the length that the library put there.
func readEntry(b []byte, seed, index uint64) (body []byte, n int64, ok bool) {
	length, k := binary.Uvarint(b)
	if k <= 0 || length < frameLen || length > uint64(len(b)-k) {
		return nil, 0, false
	}
	n = int64(k) + int64(length)
	frame := b[k:n]
	bodyLen, at, sum, ok := readFrameHead(frame, seed)
	body = frame[frameLen:]
	if !ok || at != index || bodyLen != int64(len(body)) || n != entryLen(int64(length)) || xxh3.HashSeed(body, seed+index) != sum {
		return nil, 0, false
	}
	return body, n, true
}

// split adds the records of a body. They share its memory.
func split(records [][]byte, body []byte) ([][]byte, bool) {
	for len(body) > 0 {
		n, k := binary.Uvarint(body)
		if k <= 0 || n > uint64(len(body)-k) {
			return nil, false
		}
		end := k + int(n)
		records = append(records, body[k:end:end])
		body = body[end:]
	}
	return records, true
}
