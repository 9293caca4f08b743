package recordlog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/tidwall/wal"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestMain keeps the directories in memory: syncs are fast there, and power losses are simulated by
// copies.
func TestMain(m *testing.M) {
	const memory = "/dev/shm"
	if dir, err := os.MkdirTemp(memory, "recordlog"); err == nil {
		_ = os.Setenv("TMPDIR", dir)
		code := m.Run()
		_ = os.RemoveAll(dir)
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// operation is a step of a script: an Append or a Replace.
type operation struct {
	replace bool
	records [][]byte
}

// record returns a record of n times s.
func record(s string, n int) []byte { return []byte(strings.Repeat(s, n)) }

// shortSegment is the segment length in most tests, in bytes.
const shortSegment = 256

// script contains records that end a segment and a generation of two segments.
var script = []operation{
	{records: [][]byte{record("a", 9)}},
	{records: [][]byte{record("b", 40), {}, record("c", 3)}},
	{replace: true, records: [][]byte{record("d", 30), record("e", 5), {}}},
	{records: [][]byte{record("f", shortSegment)}},
	{records: [][]byte{record("g", 70)}},
	{replace: true, records: nil},
	{records: [][]byte{record("h", 20)}},
	{replace: true, records: [][]byte{record("i", shortSegment), record("j", 12)}},
	{records: [][]byte{record("k", 2), record("l", 2)}},
}

// resultOn returns what a journal that held old holds after the call.
func (c operation) resultOn(old [][]byte) [][]byte {
	if c.replace {
		return c.records
	}
	return append(append([][]byte(nil), old...), c.records...)
}

// run performs the operation.
func (c operation) run(j *Journal) error {
	if c.replace {
		return j.Replace(c.records)
	}
	return j.Append(c.records)
}

// equalRecords reports whether two lists of records are equal.
func equalRecords(a, b [][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// checkOpenWith checks that a directory opens with one of two contents and that the journal can then be
// used.
func checkOpenWith(dir string, segment int, required, allowed [][]byte) error {
	j, got, err := openOn(osFileSystem{}, dir, segment)
	if err != nil {
		return err
	}
	if !equalRecords(got, required) && !equalRecords(got, allowed) {
		return fmt.Errorf("expected %d or %d records, got %d", len(required), len(allowed), len(got))
	}
	extra := operation{records: [][]byte{record("more", 5)}}
	if err := errors.Join(extra.run(j), j.Close()); err != nil {
		return err
	}
	got = extra.resultOn(got)
	j, reopened, err := openOn(osFileSystem{}, dir, segment)
	if err != nil {
		return err
	}
	if !equalRecords(reopened, got) {
		return fmt.Errorf("after another append: expected %d records, got %d", len(got), len(reopened))
	}
	return j.Close()
}

// checkOpen is checkOpenWith with the default segment length.
func checkOpen(dir string, required, allowed [][]byte) error {
	return checkOpenWith(dir, defaultSegmentSize, required, allowed)
}

// runScript runs the script and opens each state that a power loss can leave at each directory
// operation and around each call. It returns the number of states and the first error.
func runScript(t *testing.T, p *crashFileSystem) (images int, failure error) {
	t.Helper()
	var durable, possible [][]byte
	seen := map[string]bool{}
	p.beforeStep = func() {
		p.eachImage(func(img image) {
			id := fmt.Sprintf("%x %x %s", durable, possible, img.key())
			if seen[id] || failure != nil {
				return
			}
			seen[id] = true
			images++
			if err := checkOpenWith(img.write(t), shortSegment, durable, possible); err != nil {
				failure = fmt.Errorf("after %s: %w", p.steps, err)
			}
		})
	}
	j, _, err := openOn(p, p.root, shortSegment)
	assert.NilError(t, err)
	for _, op := range script {
		possible = op.resultOn(durable)
		assert.NilError(t, op.run(j))
		if !op.replace {
			p.beforeStep() // as if during the write or the sync
		}
		p.persistFiles()
		durable = possible
		p.beforeStep()
	}
	assert.NilError(t, j.Close())
	return images, failure
}

func TestPowerLoss(t *testing.T) {
	images, failure := runScript(t, newCrashFileSystem(t.TempDir()))
	assert.NilError(t, failure)
	t.Log(images, "images")
}

// TestEveryDirectorySyncIsNeeded skips one sync of a directory after another: each must be missed.
func TestEveryDirectorySyncIsNeeded(t *testing.T) {
	p := newCrashFileSystem(t.TempDir())
	_, failure := runScript(t, p)
	assert.NilError(t, failure)
	assert.Equal(t, p.syncs, 4*2+1) // two for each generation, and one for a segment that was started
	for skipped := range p.syncs {
		p := newCrashFileSystem(t.TempDir())
		p.skippedSync = skipped
		_, failure := runScript(t, p)
		assert.Assert(t, failure != nil, "sync %d", skipped)
	}
}

// TestOpenedRecordsAreDurable kills the writer before each operation, opens the journal again, and then
// loses power.
func TestOpenedRecordsAreDurable(t *testing.T) {
	for crashStep := 0; ; crashStep++ {
		p := newCrashFileSystem(t.TempDir())
		p.stepsLeft = crashStep
		j, durable, err := openOn(p, p.root, shortSegment)
		var possible [][]byte
		for i := 0; i < len(script) && err == nil; i++ {
			possible = script[i].resultOn(durable)
			if err = script[i].run(j); err == nil {
				durable = possible
				continue
			}
			assert.ErrorIs(t, err, errCrash)
			if p.failedBeforeRename() {
				assert.ErrorIs(t, err, ErrReplaceFailed)
				continue
			}
			assert.ErrorIs(t, j.Append(script[0].records), ErrStopped)
			assert.ErrorIs(t, j.Replace(nil), ErrStopped)
		}
		if j != nil {
			assert.NilError(t, j.Close())
		}
		if err == nil {
			return
		}
		p.stepsLeft = -1
		j, got, err := openOn(p, p.root, shortSegment)
		assert.NilError(t, err)
		assert.Assert(t, equalRecords(got, durable) || equalRecords(got, possible), "step %d", crashStep)
		p.persistFiles()
		p.eachImage(func(img image) {
			assert.NilError(t, checkOpenWith(img.write(t), shortSegment, got, got), "step %d", crashStep)
		})
		assert.NilError(t, j.Close())
	}
}

// failedBeforeRename reports whether the operation that failed came before a new generation had its
// name.
func (p *crashFileSystem) failedBeforeRename() bool {
	return strings.HasPrefix(p.failedStep, "make ") || strings.HasPrefix(p.failedStep, "sync ") && strings.HasSuffix(p.failedStep, tempSuffix)
}

// TestContinuesAfterFailedOperation makes one operation after another fail, one per run. A Replace
// that fails before the new generation has its name leaves the journal as it was; after any other
// failure the next Open returns everything that was synced. Later records are durable at any power
// loss.
func TestContinuesAfterFailedOperation(t *testing.T) {
	kept, stopped := 0, 0
	for failingStep := 0; ; failingStep++ {
		p := newCrashFileSystem(t.TempDir())
		p.stepsLeft, p.failOnce = failingStep, true
		j, durable, err := openOn(p, p.root, shortSegment)
		for err != nil { // the first generation could not be written
			assert.ErrorIs(t, err, errCrash)
			j, durable, err = openOn(p, p.root, shortSegment)
		}
		assert.Equal(t, len(durable), 0)
		for _, op := range script {
			earlierFailure := p.failedStep
			possible := op.resultOn(durable)
			err := op.run(j)
			if err == nil {
				p.persistFiles()
				durable = possible
				continue
			}
			assert.ErrorIs(t, err, errCrash)
			assert.Assert(t, earlierFailure == "", "more than one call failed after one failed operation")
			if p.failedBeforeRename() {
				kept++
				assert.Assert(t, op.replace)
				assert.ErrorIs(t, err, ErrReplaceFailed)
				names, err := osFileSystem{}.List(p.root)
				assert.NilError(t, err)
				assert.DeepEqual(t, names, []string{generationName(j.generation)}) // its space is freed
				p.eachImage(func(img image) {
					assert.NilError(t, checkOpenWith(img.write(t), shortSegment, durable, durable), "step %d", failingStep)
				})
				continue
			}
			stopped++
			assert.ErrorIs(t, err, ErrStopped)
			assert.ErrorIs(t, j.Append(script[0].records), ErrStopped)
			assert.ErrorIs(t, j.Replace(nil), ErrStopped)
			_ = j.Close()
			var got [][]byte
			j, got, err = openOn(p, p.root, shortSegment)
			assert.NilError(t, err)
			assert.Assert(t, equalRecords(got, durable) || equalRecords(got, possible), "step %d", failingStep)
			durable = got
		}
		p.persistFiles()
		p.eachImage(func(img image) {
			assert.NilError(t, checkOpenWith(img.write(t), shortSegment, durable, durable), "step %d", failingStep)
		})
		assert.NilError(t, j.Close())
		if p.failedStep == "" {
			break
		}
	}
	assert.Equal(t, kept, 2*3) // creation and sync of a directory, for each Replace
	assert.Assert(t, stopped > kept)
}

// writeSample returns a directory with a generation of one segment: two records written by Replace, two
// appended.
func writeSample(t *testing.T) (dir, file string, records [][]byte) {
	t.Helper()
	dir = t.TempDir()
	j, _, err := Open(dir)
	assert.NilError(t, err)
	for _, op := range []operation{{true, [][]byte{record("a", 30), {}}}, {false, [][]byte{record("b", 5)}}, {false, [][]byte{record("c", 70)}}} {
		assert.NilError(t, op.run(j))
		records = op.resultOn(records)
	}
	assert.NilError(t, j.Close())
	return dir, filepath.Join(dir, generationName(2), segmentName(1)), records
}

// lastEntrySize is the length in bytes of the last entry that writeSample leaves.
const lastEntrySize = 1 + frameHeadSize + 71

// TestTornTail tears the last entry at every byte in several ways.
func TestTornTail(t *testing.T) {
	dir, file, records := writeSample(t)
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	lastOffset := len(data) - lastEntrySize
	check := func(tail []byte, required [][]byte, where string, n int) {
		assert.NilError(t, os.WriteFile(file, append(bytes.Clone(data[:lastOffset]), tail...), 0o600))
		assert.NilError(t, checkOpen(dir, required, required), "%s %d", where, n)
	}
	last := data[lastOffset:]
	withoutLast := records[:len(records)-1]
	for n := range lastEntrySize {
		check(last[:n], withoutLast, "cut at", n)
		check(append(bytes.Clone(last[:n]), make([]byte, lastEntrySize-n)...), withoutLast, "zeros from", n)
		check(append(make([]byte, n+1), last[n+1:]...), withoutLast, "zeros to", n)
		check(append(bytes.Clone(last[:n]), bytes.Repeat([]byte{0xa5}, lastEntrySize-n)...), withoutLast, "garbage from", n)
		check(append(bytes.Clone(last[:n]), bytes.Repeat([]byte{0xff}, lastEntrySize-n)...), withoutLast, "a length without end from", n)
		check(append(bytes.Clone(last), make([]byte, n)...), records, "zeros behind", n)
	}
}

// checkDamaged checks that opening a directory reports damage near a position and changes nothing.
func checkDamaged(t *testing.T, dir, file string, offset int, where string) {
	t.Helper()
	before, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, _, err = Open(dir)
	var fault *ErrDamaged
	assert.Assert(t, errors.As(err, &fault), "%s: %v", where, err)
	if offset >= 0 {
		assert.Equal(t, fault.File, file)
		assert.Assert(t, fault.Offset <= int64(offset) && int64(offset)-fault.Offset < 100, "%s: %d", where, fault.Offset)
	}
	after, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(before, after), "%s: the damaged file was changed", where)
}

// TestDamageIsDetected flips each bit of a log. A flip in the last entry is a torn tail, any other
// is damage, and neither yields a record that was not written.
func TestDamageIsDetected(t *testing.T) {
	dir, file, records := writeSample(t)
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for bit := range len(data) * 8 {
		corrupted := bytes.Clone(data)
		corrupted[bit/8] ^= 1 << (bit % 8)
		assert.NilError(t, os.WriteFile(file, corrupted, 0o600))
		if bit/8 < len(data)-lastEntrySize {
			checkDamaged(t, dir, file, bit/8, fmt.Sprint("bit ", bit))
			continue
		}
		assert.NilError(t, checkOpen(dir, records[:len(records)-1], nil), "bit %d", bit)
	}
	// Truncation is damage within what Replace wrote, and a torn tail after that.
	synced := len(data) - lastEntrySize - (1 + frameHeadSize + 6)
	for length := range data {
		assert.NilError(t, os.WriteFile(file, data[:length], 0o600))
		if length < synced {
			checkDamaged(t, dir, file, -1, fmt.Sprint("length ", length))
			continue
		}
		assert.NilError(t, checkOpen(dir, records[:2], records[:3]), "length %d", length)
	}
}

// TestDamagedSegments checks that only the last segment can be torn and none before it may be
// missing.
func TestDamagedSegments(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openOn(osFileSystem{}, dir, shortSegment)
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, j.Append([][]byte{record("x", shortSegment)}))
	}
	assert.NilError(t, j.Append([][]byte{{1}}))
	assert.NilError(t, j.Close())
	folder := filepath.Join(dir, generationName(1))
	names, err := osFileSystem{}.List(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 4)
	for _, name := range names[:3] {
		name = filepath.Join(folder, name)
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		for _, corrupted := range [][]byte{data[:len(data)-1], data[:len(data)/2], {}, append(bytes.Clone(data), 0)} {
			assert.NilError(t, os.WriteFile(name, corrupted, 0o600))
			checkDamaged(t, dir, name, -1, name)
		}
		assert.NilError(t, os.Remove(name))
		_, _, err = Open(dir)
		var fault *ErrDamaged
		assert.Assert(t, errors.As(err, &fault), "%s: %v", name, err)
		assert.NilError(t, os.WriteFile(name, data, 0o600))
	}
	// A file that the library would act on and that this package never creates.
	name := filepath.Join(folder, segmentName(3)+".START")
	assert.NilError(t, os.WriteFile(name, nil, 0o600))
	checkDamaged(t, dir, name, -1, name)
}

// TestFrameInsideRecordIsIgnored writes the journal's own entries as a record whose frame head is
// then torn.
func TestFrameInsideRecordIsIgnored(t *testing.T) {
	_, other, _ := writeSample(t)
	foreign, err := os.ReadFile(other)
	assert.NilError(t, err)
	dir := t.TempDir()
	j, _, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{record("a", 9)}))
	offset := j.Size()
	assert.NilError(t, j.Append([][]byte{foreign}))
	assert.NilError(t, j.Close())
	file := filepath.Join(dir, generationName(1), segmentName(1))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	clear(data[offset : offset+frameHeadSize+2])
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	assert.NilError(t, checkOpen(dir, [][]byte{record("a", 9)}, nil))
}

// failingDevice accepts every write and fails every sync.
const failingDevice = "/dev/null"

// TestStopsWhenSyncFails puts a device in place of a segment. It checks that Append waits for the
// sync, also in a new segment, and Replace too before it names the new generation.
func TestStopsWhenSyncFails(t *testing.T) {
	checkStopped := func(j *Journal, err error) {
		t.Helper()
		assert.ErrorIs(t, err, ErrStopped)
		assert.ErrorIs(t, err, unix.EINVAL)
		assert.ErrorIs(t, j.Append([][]byte{record("z", 1)}), ErrStopped)
		assert.ErrorIs(t, j.Replace(nil), ErrStopped)
		_ = j.Close()
	}
	dir, other := t.TempDir(), t.TempDir()
	j, _, err := openOn(osFileSystem{}, dir, shortSegment)
	assert.NilError(t, err)
	assert.NilError(t, os.Symlink(failingDevice, filepath.Join(other, segmentName(1))))
	assert.NilError(t, j.log.Close())
	j.log, err = wal.Open(other, j.options(false))
	assert.NilError(t, err)
	j.nextIndex = 1
	checkStopped(j, j.Append([][]byte{record("a", 1)}))

	for _, dir := range []string{dir, t.TempDir()} { // of an existing and of a new journal
		j, _, err = openOn(osFileSystem{}, dir, shortSegment)
		assert.NilError(t, err)
		assert.NilError(t, os.Symlink(failingDevice, filepath.Join(dir, generationName(1), segmentName(3))))
		checkStopped(j, j.Append([][]byte{record("b", shortSegment)}))
	}

	p := newCrashFileSystem(t.TempDir())
	j, _, err = openOn(p, p.root, shortSegment)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{record("a", 1)}))
	p.afterMake = func(dir string) { assert.NilError(t, os.Symlink(failingDevice, filepath.Join(dir, segmentName(1)))) }
	p.steps = nil
	err = j.Replace([][]byte{record("b", 1)})
	assert.ErrorIs(t, err, ErrReplaceFailed)
	assert.ErrorIs(t, err, unix.EINVAL)
	assert.DeepEqual(t, p.steps, []string{"make " + generationName(2) + tempSuffix, "remove " + segmentName(1), "remove " + generationName(2) + tempSuffix})
	assert.NilError(t, j.Append([][]byte{record("c", 1)})) // its own segment can be synced
	assert.NilError(t, j.Close())
	assert.NilError(t, checkOpen(p.root, [][]byte{record("a", 1), record("c", 1)}, nil))
}

// TestFullDisk makes a file refuse to grow in the middle of an entry: of a record and of a
// generation. A Replace leaves the journal as it was and removes what it wrote. An Append stops the
// journal, and the torn end is cut at the next Open.
//
// It runs in a process of its own, because the limit applies to everything the process writes.
func TestFullDisk(t *testing.T) {
	const childEnv = "CELLAR_ALONE"
	if os.Getenv(childEnv) == "" {
		c := exec.Command(os.Args[0], "-test.run=^TestFullDisk$")
		c.Env = append(os.Environ(), childEnv+"=1")
		out, err := c.CombinedOutput()
		assert.NilError(t, err, "%s", out)
		return
	}
	signal.Ignore(unix.SIGXFSZ)
	defer signal.Reset(unix.SIGXFSZ)
	var limit unix.Rlimit
	assert.NilError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &limit))
	first := t.TempDir()
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 10, Max: limit.Max}))
	_, _, err := Open(first)
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &limit))
	assert.ErrorIs(t, err, unix.EFBIG)
	names, err := osFileSystem{}.List(first)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 0, "a partly written generation was left behind")
	assert.NilError(t, checkOpen(first, nil, nil))
	for _, c := range []struct {
		name string
		full operation
		kept bool
	}{
		{"append", operation{false, [][]byte{record("b", 5000)}}, false},
		{"generation", operation{true, [][]byte{record("c", 100), record("d", 5000)}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			j, _, err := Open(dir)
			assert.NilError(t, err)
			assert.NilError(t, j.Append([][]byte{record("a", 9)}))
			size := j.Size()
			assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: limit.Max}))
			err = c.full.run(j)
			nextErr := j.Append([][]byte{record("e", 1)})
			assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &limit))
			assert.ErrorIs(t, err, unix.EFBIG)
			names, listErr := osFileSystem{}.List(dir)
			assert.NilError(t, listErr)
			assert.DeepEqual(t, names, []string{generationName(1)})
			want := [][]byte{record("a", 9)}
			if c.kept {
				assert.ErrorIs(t, err, ErrReplaceFailed)
				assert.NilError(t, nextErr)
				want = append(want, record("e", 1))
			} else {
				assert.ErrorIs(t, err, ErrStopped)
				assert.ErrorIs(t, nextErr, ErrStopped)
				info, err := os.Stat(filepath.Join(dir, generationName(1), segmentName(1)))
				assert.NilError(t, err)
				assert.Assert(t, info.Size() > size, "no part of the entry was written")
			}
			assert.NilError(t, j.Close())
			assert.NilError(t, checkOpen(dir, want, nil))
		})
	}
}

// TestSegmentCannotBeCreated makes the creation of the next segment fail. The record that filled the
// previous one was synced by then, so the next Open may return it although Append did not report
// success.
func TestSegmentCannotBeCreated(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openOn(osFileSystem{}, dir, shortSegment)
	assert.NilError(t, err)
	a, b := [][]byte{record("a", 9)}, [][]byte{record("b", shortSegment)}
	assert.NilError(t, j.Append(a))
	next := filepath.Join(dir, generationName(1), segmentName(4)) // after the head, a and b
	assert.NilError(t, os.Mkdir(next, 0o700))
	err = j.Append(b)
	assert.ErrorIs(t, err, ErrStopped)
	assert.ErrorIs(t, err, unix.EISDIR)
	assert.ErrorIs(t, j.Append(a), ErrStopped)
	assert.NilError(t, j.Close())
	assert.NilError(t, os.Remove(next))
	both := append(slices.Clone(a), b...)
	assert.NilError(t, checkOpenWith(dir, shortSegment, both, both))
}

// TestBuffersStaySmall checks that the buffer of a long record is released and that Size is the size on
// disk.
func TestBuffersStaySmall(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "other"), nil, 0o600))
	assert.NilError(t, os.Mkdir(filepath.Join(dir, generationName(7)+tempSuffix), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, generationName(7)+tempSuffix, segmentName(1)), []byte("x"), 0o600))
	var want [][]byte
	for _, op := range append(script, operation{records: [][]byte{record("big", 1<<20)}}, operation{records: [][]byte{record("s", 1)}},
		operation{replace: true, records: [][]byte{record("big", 1<<20), record("s", 1)}}) {
		j, got, err := Open(dir)
		assert.NilError(t, err)
		assert.Assert(t, equalRecords(got, want))
		assert.NilError(t, op.run(j))
		assert.Assert(t, cap(j.buf) <= maxKeptBuffer)
		want = op.resultOn(want)
		var size int64
		for _, data := range readFiles(j.path()) {
			size += int64(len(data))
		}
		assert.Equal(t, size, j.Size())
		assert.NilError(t, j.Close())
		assert.NilError(t, j.Close())
		assert.ErrorIs(t, j.Append(want), ErrStopped)
	}
	_, got, err := Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, equalRecords(got, want))
	names, err := osFileSystem{}.List(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{generationName(5), "other"})
	_, _, err = Open(filepath.Join(dir, "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestEarlierFormatIsRefused checks that a journal in the earlier format is reported and not ignored.
func TestEarlierFormatIsRefused(t *testing.T) {
	for _, name := range []string{"journal-0000000000000003", "journal-0000000000000003.new"} {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte("x"), 0o600))
		_, _, err := Open(dir)
		var fault *ErrEarlierFormat
		assert.Assert(t, errors.As(err, &fault))
		assert.Equal(t, fault.File, filepath.Join(dir, name))
		assert.ErrorContains(t, err, "earlier format")
		names, err := osFileSystem{}.List(dir)
		assert.NilError(t, err)
		assert.DeepEqual(t, names, []string{name})
	}
}
