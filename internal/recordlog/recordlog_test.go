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

// TestMain has the folders in memory: syncs are then quick, and losses are played by copying.
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

// call is one of a script's: an Append, or a Replace.
type call struct {
	replace bool
	records [][]byte
}

func rec(s string, n int) []byte { return []byte(strings.Repeat(s, n)) }

// short is a segment's length in tests.
const short = 256

// script has records that end a segment, and a generation of two segments.
var script = []call{
	{records: [][]byte{rec("a", 9)}},
	{records: [][]byte{rec("b", 40), {}, rec("c", 3)}},
	{replace: true, records: [][]byte{rec("d", 30), rec("e", 5), {}}},
	{records: [][]byte{rec("f", short)}},
	{records: [][]byte{rec("g", 70)}},
	{replace: true, records: nil},
	{records: [][]byte{rec("h", 20)}},
	{replace: true, records: [][]byte{rec("i", short), rec("j", 12)}},
	{records: [][]byte{rec("k", 2), rec("l", 2)}},
}

// after is what a journal holds that held old.
func (c call) after(old [][]byte) [][]byte {
	if c.replace {
		return c.records
	}
	return append(append([][]byte(nil), old...), c.records...)
}

func (c call) do(j *Journal) error {
	if c.replace {
		return j.Replace(c.records)
	}
	return j.Append(c.records)
}

func same(a, b [][]byte) bool {
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

// opensOn tells what is wrong with what a folder gives, and has it go on.
func opensOn(dir string, segment int, must, may [][]byte) error {
	j, got, err := openOn(osFolders{}, dir, segment)
	if err != nil {
		return err
	}
	if !same(got, must) && !same(got, may) {
		return fmt.Errorf("%d records, not %d or %d", len(got), len(must), len(may))
	}
	more := call{records: [][]byte{rec("more", 5)}}
	if err := errors.Join(more.do(j), j.Close()); err != nil {
		return err
	}
	got = more.after(got)
	j, again, err := openOn(osFolders{}, dir, segment)
	if err != nil {
		return err
	}
	if !same(again, got) {
		return fmt.Errorf("going on: %d records, not %d", len(again), len(got))
	}
	return j.Close()
}

func opens(dir string, must, may [][]byte) error { return opensOn(dir, segmentLen, must, may) }

// play plays the script, and opens each state that a loss of power can leave at each step on
// folders and around each call. It returns how many there were, and what was wrong.
func play(t *testing.T, p *power) (images int, wrong error) {
	t.Helper()
	var must, may [][]byte
	seen := map[string]bool{}
	p.at = func() {
		p.images(func(im image) {
			id := fmt.Sprintf("%x %x %s", must, may, im.id())
			if seen[id] || wrong != nil {
				return
			}
			seen[id] = true
			images++
			if err := opensOn(im.write(t), short, must, may); err != nil {
				wrong = fmt.Errorf("after %s: %w", p.did, err)
			}
		})
	}
	j, _, err := openOn(p, p.root, short)
	assert.NilError(t, err)
	for _, c := range script {
		may = c.after(must)
		assert.NilError(t, c.do(j))
		if !c.replace {
			p.at() // as if within the write or the sync
		}
		p.settle()
		must = may
		p.at()
	}
	assert.NilError(t, j.Close())
	return images, wrong
}

func TestPowerIsLost(t *testing.T) {
	images, wrong := play(t, newPower(t.TempDir()))
	assert.NilError(t, wrong)
	t.Log(images, "images")
}

// TestEachSyncIsNeeded leaves out one sync of a folder after another: each is missed.
func TestEachSyncIsNeeded(t *testing.T) {
	p := newPower(t.TempDir())
	_, wrong := play(t, p)
	assert.NilError(t, wrong)
	assert.Equal(t, p.syncs, 4*2+1) // of generations, and of a segment that was begun
	for k := range p.syncs {
		p := newPower(t.TempDir())
		p.forgets = k
		_, wrong := play(t, p)
		assert.Assert(t, wrong != nil, "sync %d", k)
	}
}

// TestWhatOpenGivesLasts: the writer is killed before each step, the next one opens what is there,
// and then power is lost.
func TestWhatOpenGivesLasts(t *testing.T) {
	for k := 0; ; k++ {
		p := newPower(t.TempDir())
		p.left = k
		j, must, err := openOn(p, p.root, short)
		var may [][]byte
		for i := 0; i < len(script) && err == nil; i++ {
			may = script[i].after(must)
			if err = script[i].do(j); err == nil {
				must = may
				continue
			}
			assert.ErrorIs(t, err, errCrash)
			if p.unnamed() {
				assert.ErrorIs(t, err, ErrKept)
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
		p.left = -1
		j, got, err := openOn(p, p.root, short)
		assert.NilError(t, err)
		assert.Assert(t, same(got, must) || same(got, may), "step %d", k)
		p.settle()
		p.images(func(im image) { assert.NilError(t, opensOn(im.write(t), short, got, got), "step %d", k) })
		assert.NilError(t, j.Close())
	}
}

// unnamed says that the step which was refused stands before the name of a new generation.
func (p *power) unnamed() bool {
	return strings.HasPrefix(p.refused, "make ") || strings.HasPrefix(p.refused, "sync ") && strings.HasSuffix(p.refused, passing)
}

// TestGoesOnAfterARefusal refuses one step after another, and no more than that one. A Replace that
// is refused before it has given a name leaves the journal as it was; after any other refusal the
// next Open has all that was synced. What then comes lasts, at any loss of power.
func TestGoesOnAfterARefusal(t *testing.T) {
	kept, stopped := 0, 0
	for k := 0; ; k++ {
		p := newPower(t.TempDir())
		p.left, p.once = k, true
		j, must, err := openOn(p, p.root, short)
		for err != nil { // the first generation was refused
			assert.ErrorIs(t, err, errCrash)
			j, must, err = openOn(p, p.root, short)
		}
		assert.Equal(t, len(must), 0)
		for _, c := range script {
			had := p.refused
			may := c.after(must)
			err := c.do(j)
			if err == nil {
				p.settle()
				must = may
				continue
			}
			assert.ErrorIs(t, err, errCrash)
			assert.Assert(t, had == "", "one refusal, one fault")
			if p.unnamed() {
				kept++
				assert.Assert(t, c.replace)
				assert.ErrorIs(t, err, ErrKept)
				names, err := osFolders{}.List(p.root)
				assert.NilError(t, err)
				assert.DeepEqual(t, names, []string{base(j.gen)}) // the room for it is given back
				p.images(func(im image) { assert.NilError(t, opensOn(im.write(t), short, must, must), "step %d", k) })
				continue
			}
			stopped++
			assert.ErrorIs(t, err, ErrStopped)
			assert.ErrorIs(t, j.Append(script[0].records), ErrStopped)
			assert.ErrorIs(t, j.Replace(nil), ErrStopped)
			_ = j.Close()
			var got [][]byte
			j, got, err = openOn(p, p.root, short)
			assert.NilError(t, err)
			assert.Assert(t, same(got, must) || same(got, may), "step %d", k)
			must = got
		}
		p.settle()
		p.images(func(im image) { assert.NilError(t, opensOn(im.write(t), short, must, must), "step %d", k) })
		assert.NilError(t, j.Close())
		if p.refused == "" {
			break
		}
	}
	assert.Equal(t, kept, 2*3) // a folder that is made and its sync, for each Replace
	assert.Assert(t, stopped > kept)
}

// written gives a folder with a generation of one segment: two records synced with it, two after.
func written(t *testing.T) (dir, file string, whole [][]byte) {
	t.Helper()
	dir = t.TempDir()
	j, _, err := Open(dir)
	assert.NilError(t, err)
	for _, c := range []call{{true, [][]byte{rec("a", 30), {}}}, {false, [][]byte{rec("b", 5)}}, {false, [][]byte{rec("c", 70)}}} {
		assert.NilError(t, c.do(j))
		whole = c.after(whole)
	}
	assert.NilError(t, j.Close())
	return dir, filepath.Join(dir, base(2), segmentName(1)), whole
}

// lastLen is the length of the last entry that written leaves.
const lastLen = 1 + frameLen + 71

// TestTornTail tears the last entry at every byte, in every way.
func TestTornTail(t *testing.T) {
	dir, file, whole := written(t)
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	at := len(data) - lastLen
	try := func(tail []byte, must [][]byte, where string, n int) {
		assert.NilError(t, os.WriteFile(file, append(bytes.Clone(data[:at]), tail...), 0o600))
		assert.NilError(t, opens(dir, must, must), "%s %d", where, n)
	}
	last := data[at:]
	less := whole[:len(whole)-1]
	for n := range lastLen {
		try(last[:n], less, "cut at", n)
		try(append(bytes.Clone(last[:n]), make([]byte, lastLen-n)...), less, "zeros from", n)
		try(append(make([]byte, n+1), last[n+1:]...), less, "zeros to", n)
		try(append(bytes.Clone(last[:n]), bytes.Repeat([]byte{0xa5}, lastLen-n)...), less, "garbage from", n)
		try(append(bytes.Clone(last[:n]), bytes.Repeat([]byte{0xff}, lastLen-n)...), less, "a length without end from", n)
		try(append(bytes.Clone(last), make([]byte, n)...), whole, "zeros behind", n)
	}
}

// damaged says that a folder is refused for its damage near a place, and left as it is.
func damaged(t *testing.T, dir, file string, at int, where string) {
	t.Helper()
	before, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, _, err = Open(dir)
	var fault *ErrDamaged
	assert.Assert(t, errors.As(err, &fault), "%s: %v", where, err)
	if at >= 0 {
		assert.Equal(t, fault.File, file)
		assert.Assert(t, fault.At <= int64(at) && int64(at)-fault.At < 100, "%s: %d", where, fault.At)
	}
	after, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(before, after), "%s: nothing is cut", where)
}

// TestDamage flips each bit of a log. A flip in the last entry is a torn tail, any other is
// damage, and neither gives a record that was not written.
func TestDamage(t *testing.T) {
	dir, file, whole := written(t)
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for bit := range len(data) * 8 {
		bad := bytes.Clone(data)
		bad[bit/8] ^= 1 << (bit % 8)
		assert.NilError(t, os.WriteFile(file, bad, 0o600))
		if bit/8 < len(data)-lastLen {
			damaged(t, dir, file, bit/8, fmt.Sprint("bit ", bit))
			continue
		}
		assert.NilError(t, opens(dir, whole[:len(whole)-1], nil), "bit %d", bit)
	}
	// Cut short: damage as far as Replace had written it, a torn tail behind that.
	synced := len(data) - lastLen - (1 + frameLen + 6)
	for n := range data {
		assert.NilError(t, os.WriteFile(file, data[:n], 0o600))
		if n < synced {
			damaged(t, dir, file, -1, fmt.Sprint("length ", n))
			continue
		}
		assert.NilError(t, opens(dir, whole[:2], whole[:3]), "length %d", n)
	}
}

// TestDamagedSegments: only the last one can be torn, and none may be missing before it.
func TestDamagedSegments(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openOn(osFolders{}, dir, short)
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, j.Append([][]byte{rec("x", short)}))
	}
	assert.NilError(t, j.Append([][]byte{{1}}))
	assert.NilError(t, j.Close())
	folder := filepath.Join(dir, base(1))
	names, err := osFolders{}.List(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 4)
	for _, name := range names[:3] {
		name = filepath.Join(folder, name)
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		for _, bad := range [][]byte{data[:len(data)-1], data[:len(data)/2], {}, append(bytes.Clone(data), 0)} {
			assert.NilError(t, os.WriteFile(name, bad, 0o600))
			damaged(t, dir, name, -1, name)
		}
		assert.NilError(t, os.Remove(name))
		_, _, err = Open(dir)
		var fault *ErrDamaged
		assert.Assert(t, errors.As(err, &fault), "%s: %v", name, err)
		assert.NilError(t, os.WriteFile(name, data, 0o600))
	}
	// A file that the library would act on, and we never make.
	name := filepath.Join(folder, segmentName(3)+".START")
	assert.NilError(t, os.WriteFile(name, nil, 0o600))
	damaged(t, dir, name, -1, name)
}

// TestForeignFrames puts a journal's own entries into a record that is then torn at its head.
func TestForeignFrames(t *testing.T) {
	_, other, _ := written(t)
	foreign, err := os.ReadFile(other)
	assert.NilError(t, err)
	dir := t.TempDir()
	j, _, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{rec("a", 9)}))
	at := j.Size()
	assert.NilError(t, j.Append([][]byte{foreign}))
	assert.NilError(t, j.Close())
	file := filepath.Join(dir, base(1), segmentName(1))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	clear(data[at : at+frameLen+2])
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	assert.NilError(t, opens(dir, [][]byte{rec("a", 9)}, nil))
}

// device takes every write and can't be synced.
const device = "/dev/null"

// TestStopsWhereASyncFails has a device in place of a segment: it is the sync that an Append
// waits for, in a segment that was begun too, and a Replace before it gives a name.
func TestStopsWhereASyncFails(t *testing.T) {
	stopped := func(j *Journal, err error) {
		t.Helper()
		assert.ErrorIs(t, err, ErrStopped)
		assert.ErrorIs(t, err, unix.EINVAL)
		assert.ErrorIs(t, j.Append([][]byte{rec("z", 1)}), ErrStopped)
		assert.ErrorIs(t, j.Replace(nil), ErrStopped)
		_ = j.Close()
	}
	dir, other := t.TempDir(), t.TempDir()
	j, _, err := openOn(osFolders{}, dir, short)
	assert.NilError(t, err)
	assert.NilError(t, os.Symlink(device, filepath.Join(other, segmentName(1))))
	assert.NilError(t, j.log.Close())
	j.log, err = wal.Open(other, j.options(false))
	assert.NilError(t, err)
	j.index = 1
	stopped(j, j.Append([][]byte{rec("a", 1)}))

	for _, dir := range []string{dir, t.TempDir()} { // after a start, and as it was begun
		j, _, err = openOn(osFolders{}, dir, short)
		assert.NilError(t, err)
		assert.NilError(t, os.Symlink(device, filepath.Join(dir, base(1), segmentName(3))))
		stopped(j, j.Append([][]byte{rec("b", short)}))
	}

	p := newPower(t.TempDir())
	j, _, err = openOn(p, p.root, short)
	assert.NilError(t, err)
	assert.NilError(t, j.Append([][]byte{rec("a", 1)}))
	p.made = func(dir string) { assert.NilError(t, os.Symlink(device, filepath.Join(dir, segmentName(1)))) }
	p.did = nil
	err = j.Replace([][]byte{rec("b", 1)})
	assert.ErrorIs(t, err, ErrKept)
	assert.ErrorIs(t, err, unix.EINVAL)
	assert.DeepEqual(t, p.did, []string{"make " + base(2) + passing, "remove " + segmentName(1), "remove " + base(2) + passing})
	assert.NilError(t, j.Append([][]byte{rec("c", 1)})) // its own segment takes a sync
	assert.NilError(t, j.Close())
	assert.NilError(t, opens(p.root, [][]byte{rec("a", 1), rec("c", 1)}, nil))
}

// TestFullDisk has a file refuse to grow in the middle of an entry: of a record, of one that begins a
// segment, and of a generation. A Replace leaves the journal as it was, and what it wrote is taken
// away. An Append stops it, and its torn end is cut at the next Open.
//
// It plays in a process of its own, as the limit holds for all that the test's process writes.
func TestFullDisk(t *testing.T) {
	const alone = "CELLAR_ALONE"
	if os.Getenv(alone) == "" {
		c := exec.Command(os.Args[0], "-test.run=^TestFullDisk$")
		c.Env = append(os.Environ(), alone+"=1")
		out, err := c.CombinedOutput()
		assert.NilError(t, err, "%s", out)
		return
	}
	signal.Ignore(unix.SIGXFSZ)
	defer signal.Reset(unix.SIGXFSZ)
	var had unix.Rlimit
	assert.NilError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &had))
	first := t.TempDir()
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 10, Max: had.Max}))
	_, _, err := Open(first)
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &had))
	assert.ErrorIs(t, err, unix.EFBIG)
	names, err := osFolders{}.List(first)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 0, "what is begun takes room")
	assert.NilError(t, opens(first, nil, nil))
	for _, c := range []struct {
		name string
		full call
		kept bool
	}{
		{"append", call{false, [][]byte{rec("b", 5000)}}, false},
		{"generation", call{true, [][]byte{rec("c", 100), rec("d", 5000)}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			j, _, err := Open(dir)
			assert.NilError(t, err)
			assert.NilError(t, j.Append([][]byte{rec("a", 9)}))
			size := j.Size()
			assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: had.Max}))
			err = c.full.do(j)
			again := j.Append([][]byte{rec("e", 1)})
			assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &had))
			assert.ErrorIs(t, err, unix.EFBIG)
			names, lerr := osFolders{}.List(dir)
			assert.NilError(t, lerr)
			assert.DeepEqual(t, names, []string{base(1)})
			want := [][]byte{rec("a", 9)}
			if c.kept {
				assert.ErrorIs(t, err, ErrKept)
				assert.NilError(t, again)
				want = append(want, rec("e", 1))
			} else {
				assert.ErrorIs(t, err, ErrStopped)
				assert.ErrorIs(t, again, ErrStopped)
				info, err := os.Stat(filepath.Join(dir, base(1), segmentName(1)))
				assert.NilError(t, err)
				assert.Assert(t, info.Size() > size, "a part of it was written")
			}
			assert.NilError(t, j.Close())
			assert.NilError(t, opens(dir, want, nil))
		})
	}
}

// TestNoRoomForASegment refuses the next segment its name. What filled the one before had been
// synced by then, so the next Open may have it, though it was never said to last.
func TestNoRoomForASegment(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openOn(osFolders{}, dir, short)
	assert.NilError(t, err)
	a, b := [][]byte{rec("a", 9)}, [][]byte{rec("b", short)}
	assert.NilError(t, j.Append(a))
	next := filepath.Join(dir, base(1), segmentName(4)) // behind the head, a and b
	assert.NilError(t, os.Mkdir(next, 0o700))
	err = j.Append(b)
	assert.ErrorIs(t, err, ErrStopped)
	assert.ErrorIs(t, err, unix.EISDIR)
	assert.ErrorIs(t, j.Append(a), ErrStopped)
	assert.NilError(t, j.Close())
	assert.NilError(t, os.Remove(next))
	both := append(slices.Clone(a), b...)
	assert.NilError(t, opensOn(dir, short, both, both))
}

// TestStaysSmall: what a long record needed is not kept, and the sizes are what is on disk.
func TestStaysSmall(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "other"), nil, 0o600))
	assert.NilError(t, os.Mkdir(filepath.Join(dir, base(7)+passing), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, base(7)+passing, segmentName(1)), []byte("x"), 0o600))
	var want [][]byte
	for _, c := range append(script, call{records: [][]byte{rec("big", 1<<20)}}, call{records: [][]byte{rec("s", 1)}},
		call{replace: true, records: [][]byte{rec("big", 1<<20), rec("s", 1)}}) {
		j, got, err := Open(dir)
		assert.NilError(t, err)
		assert.Assert(t, same(got, want))
		assert.NilError(t, c.do(j))
		assert.Assert(t, cap(j.buf) <= keepLen)
		want = c.after(want)
		var size int64
		for _, data := range files(j.path()) {
			size += int64(len(data))
		}
		assert.Equal(t, size, j.Size())
		assert.NilError(t, j.Close())
		assert.NilError(t, j.Close())
		assert.ErrorIs(t, j.Append(want), ErrStopped)
	}
	_, got, err := Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, same(got, want))
	names, err := osFolders{}.List(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{base(5), "other"})
	_, _, err = Open(filepath.Join(dir, "none"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestFormerFormat is named, not passed over.
func TestFormerFormat(t *testing.T) {
	for _, name := range []string{"journal-0000000000000003", "journal-0000000000000003.new"} {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte("x"), 0o600))
		_, _, err := Open(dir)
		var fault *ErrFormer
		assert.Assert(t, errors.As(err, &fault))
		assert.Equal(t, fault.File, filepath.Join(dir, name))
		assert.ErrorContains(t, err, "earlier format")
		names, err := osFolders{}.List(dir)
		assert.NilError(t, err)
		assert.DeepEqual(t, names, []string{name})
	}
}
