package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cairn"
	"foxwood/internal/recordlog"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// TestMain has the folders in memory: a sync there waits for no disk that others keep busy.
func TestMain(m *testing.M) {
	if dir, err := os.MkdirTemp("/dev/shm", "store"); err == nil {
		_ = os.Setenv("TMPDIR", dir)
		code := m.Run()
		_ = os.RemoveAll(dir)
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// faulty is a machine's own disk, whose calls fail as long as it is told so.
type faulty struct {
	*recordlog.Journal
	how  *fault
	dir  string
	dead error
}

// fault is what goes wrong: the error that a step gives, before it has done anything, with a part of
// it done, or with all of it.
type fault struct {
	open, add, whole atomic.Pointer[trouble]
	hang             chan chan struct{} // takes what an Append is to wait for, or nothing
}

type trouble struct {
	err         error
	torn, after bool
}

func (f *fault) opener(dir string) (journal, [][]byte, error) {
	if t := f.open.Load(); t != nil {
		return nil, nil, t.err
	}
	j, records, err := recordlog.Open(dir)
	return &faulty{Journal: j, how: f, dir: dir}, records, err
}

func (d *faulty) Append(records [][]byte) error {
	select {
	case wait := <-d.how.hang:
		<-wait
	default:
	}
	if d.dead != nil {
		return d.dead
	}
	t := d.how.add.Load()
	if t == nil {
		return d.Journal.Append(records)
	}
	d.dead = fmt.Errorf("%w: %w", recordlog.ErrStopped, t.err)
	if !t.torn && !t.after {
		return d.dead
	}
	err := d.Journal.Append(records)
	if err == nil && t.torn {
		var names []string
		names, err = filepath.Glob(filepath.Join(d.dir, "generation-*", "*"))
		if err != nil {
			return err
		}
		last := slices.Max(names)
		var info os.FileInfo
		if info, err = os.Stat(last); err == nil {
			err = os.Truncate(last, info.Size()-3)
		}
	}
	if err != nil {
		return err
	}
	return d.dead
}

func (d *faulty) Replace(records [][]byte) error {
	if d.dead != nil {
		return d.dead
	}
	t := d.how.whole.Load()
	switch {
	case t == nil:
		return d.Journal.Replace(records)
	case errors.Is(t.err, recordlog.ErrKept):
		return t.err
	case t.after:
		if err := d.Journal.Replace(records); err != nil {
			return err
		}
	}
	d.dead = fmt.Errorf("%w: %w", recordlog.ErrStopped, t.err)
	return d.dead
}

// logged is a log that can be read while it is written.
type logged struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logged) lines(with string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), with)
}

// with makes a store whose disk is faulty, and which looks again at once.
func (f *fault) with(t *testing.T, set *bootconfig.Settings) (*Store, *logged) {
	t.Helper()
	log := &logged{}
	s, err := newOn(f.opener, set, zerolog.New(log))
	assert.NilError(t, err)
	s.mendEvery = 0
	return s, log
}

func standing(t *testing.T, s *Store) string {
	t.Helper()
	st, err := s.status(t.Context(), waymark.AskStatus{})
	assert.NilError(t, err)
	return strings.Join(st.Lines, "\n")
}

// untilSaid waits until status says something.
func untilSaid(t *testing.T, s *Store, words string) {
	t.Helper()
	for until := time.Now().Add(patience); !strings.Contains(standing(t, s), words); {
		assert.Assert(t, time.Now().Before(until), "%s", standing(t, s))
	}
}

// refusedAtOnce says that all who want what is not there are told so, and that the rest is served.
func refusedAtOnce(t *testing.T, s *Store, edition uint64) {
	t.Helper()
	began := time.Now()
	_, err := s.enter(t.Context(), configuration(99))
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "%v", err)
	_, err = s.confirm(t.Context(), waymark.Confirm{})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "%v", err)
	_, err = s.forget(t.Context(), waymark.Forget{Addr: "127.0.0.1:9"})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "%v", err)
	known, err := s.confirm(t.Context(), waymark.Confirm{Recall: true})
	assert.NilError(t, err)
	assert.Assert(t, known.Recalled, "no word of a tail")
	if edition > 0 {
		assert.Equal(t, known.State.Edition, edition)
	}
	assert.Assert(t, time.Since(began) < answerMost, "nobody waits for what won't come")
}

// TestALostDisk: where the disk takes nothing the process stays, says so, refuses at once what it
// can't do, tells nothing of the step that was not synced, and begins a new life once the disk is
// back, from what that really holds.
func TestALostDisk(t *testing.T) {
	t.Parallel()
	full, broken := unix.ENOSPC, unix.EIO
	for _, c := range []struct {
		name string
		is   trouble
		kept bool // what was not acknowledged is on the disk nevertheless
	}{
		{name: "no room", is: trouble{err: full}},
		{name: "a short write", is: trouble{err: full, torn: true}},
		{name: "a sync that fails", is: trouble{err: broken, after: true}, kept: true},
		{name: "a sync that fails, torn", is: trouble{err: broken, torn: true}},
		{name: "no name for it", is: trouble{err: errors.New("no such thing")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, set := &fault{}, settings(t)
			s, log := f.with(t, set)
			end := run(t, s)
			enter(t, s, configuration(1))
			confirm(t, s, waymark.Confirm{})
			f.add.Store(&c.is)
			f.whole.Store(&trouble{err: fmt.Errorf("%w: %w", recordlog.ErrKept, c.is.err)})
			_, err := s.enter(t.Context(), configuration(2))
			assert.Equal(t, rpc.KindOf(err), rpc.Unknown, "it may be on the disk")
			untilSaid(t, s, "disk lost")
			assert.Assert(t, strings.Contains(standing(t, s), c.is.err.Error()))
			refusedAtOnce(t, s, 1) // not 2: a chain of one had committed it in the step that failed
			for range 20 {         // while it is tried again and again
				refusedAtOnce(t, s, 1)
			}
			f.add.Store(nil)
			f.whole.Store(nil)
			untilSaid(t, s, "sole")
			back := confirm(t, s, waymark.Confirm{})
			want := uint64(1)
			if c.kept {
				want = 2
			}
			assert.Equal(t, back.State.Edition, want)
			enter(t, s, configuration(3))
			assert.Equal(t, log.lines("disk lost"), 1)
			assert.Equal(t, log.lines("disk is back"), 1)
			assert.NilError(t, end())
			assert.Equal(t, s.counts.Lost, uint64(1))

			set.FirstRun = false
			s = open(t, set, fine)
			run(t, s)
			assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(3))
		})
	}
}

// TestALostDiskIsSilent: no message of the failed step, nor any later one, leaves the machine, and
// what others say is not taken.
func TestALostDiskIsSilent(t *testing.T) {
	f := &fault{}
	s, _ := f.with(t, settings(t, "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"))
	f.add.Store(&trouble{err: unix.ENOSPC})
	f.whole.Store(&trouble{err: unix.ENOSPC})
	var out cairn.Out
	s.step(event{}, &out)
	assert.Assert(t, len(out.Sync) > 0 && len(out.Send) > 0)
	err := s.carryOut(t.Context(), &out)
	assert.ErrorIs(t, err, unix.ENOSPC)
	s.lose(err)
	for range 9 {
		s.refuse(event{Event: cairn.Event{Message: &cairn.Message{}}})
		assert.NilError(t, s.mend(t.Context()))
	}
	assert.Assert(t, s.lost != nil && s.lost.tries == 9 && s.machine == nil)
	assert.Equal(t, s.counts.Sent, uint64(0))
	assert.Equal(t, len(s.peers), 0)
}

// TestANewLifeAfterALoss has a name of its own: what an earlier one asked for or was granted means
// nothing to it, and leases that the earlier one granted are waited out.
func TestANewLifeAfterALoss(t *testing.T) {
	f := &fault{}
	s, _ := f.with(t, settings(t))
	var out cairn.Out
	s.step(event{}, &out)
	assert.NilError(t, s.carryOut(t.Context(), &out))
	before := s.machine
	s.lose(unix.ENOSPC)
	assert.NilError(t, s.mend(t.Context()))
	assert.Assert(t, s.machine != nil && s.machine != before)
	assert.DeepEqual(t, s.machine.Self(), before.Self())
	assert.DeepEqual(t, s.machine.View(), before.View())
	s.lose(unix.ENOSPC)

	// A disk that was changed for an empty one meanwhile has forgotten: it is not at its first start,
	// whatever the settings of this process say.
	names, err := filepath.Glob(filepath.Join(s.set.ArchiveDir, "*"))
	assert.NilError(t, err)
	for _, name := range names {
		assert.NilError(t, os.RemoveAll(name))
	}
	assert.NilError(t, s.mend(t.Context()))
	assert.Assert(t, s.machine.Self().Disk != before.Self().Disk)
	assert.Equal(t, s.machine.View().No, uint64(0))
}

// TestAFullDiskAtTheStart: the process is there, and takes part once the disk is.
func TestAFullDiskAtTheStart(t *testing.T) {
	t.Parallel()
	for _, e := range []error{unix.ENOSPC, unix.EIO, unix.EROFS} {
		f := &fault{}
		f.open.Store(&trouble{err: e})
		s, log := f.with(t, settings(t))
		run(t, s)
		refusedAtOnce(t, s, 0)
		assert.Assert(t, strings.Contains(standing(t, s), "disk lost"))
		f.open.Store(nil)
		enter(t, s, configuration(1))
		assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(1))
		assert.Equal(t, log.lines("disk lost"), 1)
	}
}

// TestADamagedRecordIsNamed, and ends the process also where the disk was only lost for a while.
func TestADamagedRecordIsNamed(t *testing.T) {
	f := &fault{}
	set := settings(t)
	s, _ := f.with(t, set)
	var out cairn.Out
	s.step(event{}, &out)
	assert.NilError(t, s.carryOut(t.Context(), &out))
	assert.NilError(t, s.journal.Append([][]byte{{0xff}}))
	s.lose(unix.EIO)
	var record *errRecord
	err := s.mend(t.Context())
	assert.Assert(t, errors.As(err, &record), "%v", err)
	assert.ErrorContains(t, err, "disk: record ")
	_, err = New(set, zerolog.Nop())
	assert.Assert(t, errors.As(err, &record), "%v", err)

	names, err := filepath.Glob(filepath.Join(set.ArchiveDir, "generation-*", "*"))
	assert.NilError(t, err)
	bad, err := os.ReadFile(names[0])
	assert.NilError(t, err)
	bad[5] ^= 1
	assert.NilError(t, os.WriteFile(names[0], bad, 0o600))
	var bytes *recordlog.ErrDamaged
	err = s.mend(t.Context())
	assert.Assert(t, errors.As(err, &bytes), "%v", err)
	_, err = New(set, zerolog.Nop())
	assert.Assert(t, errors.As(err, &bytes), "%v", err)
}

// TestNoRoomToCompact neither ends nor mutes a process whose appends still work; it is told once, and
// tried again.
func TestNoRoomToCompact(t *testing.T) {
	t.Parallel()
	f := &fault{}
	s, log := f.with(t, settings(t))
	end := run(t, s)
	f.whole.Store(&trouble{err: fmt.Errorf("%w: %w", recordlog.ErrKept, unix.ENOSPC)})
	big := func(edition uint64) waymark.Enter {
		q := configuration(edition)
		q.Change.Body = make([]byte, 5<<20)
		return q
	}
	for edition := range uint64(3) {
		enter(t, s, big(edition+1))
	}
	assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(3))
	f.whole.Store(nil)
	enter(t, s, big(4))
	assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(4))
	assert.NilError(t, end())
	assert.Equal(t, s.counts.Lost, uint64(0))
	assert.Assert(t, s.counts.Uncompacted >= 3 && s.counts.Compacted >= 1)
	assert.Equal(t, log.lines("no room to be compacted"), 1)

	// One that fails where the new generation may have its name is a lost disk.
	f = &fault{}
	s, _ = f.with(t, settings(t))
	run(t, s)
	f.whole.Store(&trouble{err: unix.EIO, after: true})
	_, _ = s.enter(t.Context(), big(1))
	untilSaid(t, s, "disk lost")
	f.whole.Store(nil)
	enter(t, s, configuration(2))
	assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(2))
}

// TestADiskThatHangs: who waits and who comes is told so, and nothing is sent; once it answers, the
// machine goes on.
func TestADiskThatHangs(t *testing.T) {
	t.Parallel()
	f := &fault{hang: make(chan chan struct{})}
	s, log := f.with(t, settings(t))
	s.stall = time.Millisecond
	end := run(t, s)
	enter(t, s, configuration(1))
	wait := make(chan struct{})
	waits := map[uint64]chan result{}
	for i, e := range []cairn.Event{{Submit: &cairn.Submit{Change: configuration(2).Change}}, {Ask: &cairn.Ask{}}} {
		id := uint64(1e9) + uint64(i)
		waits[id] = make(chan result, 1)
		if e.Submit != nil {
			e.Submit.ID = id
		} else {
			e.Ask.ID = id
		}
		s.events <- event{Event: e, id: id, done: waits[id]}
		if i == 0 {
			f.hang <- wait // it is on its way to the disk, or the step before it is
		}
	}
	for id, got := range waits { // without the time limit that a call has
		if o := next(t, got).Outcome; id == 1e9 {
			assert.Assert(t, o != cairn.OK, "it may get onto the disk, or was not taken")
		} else {
			assert.Equal(t, o, cairn.Unavailable)
		}
	}
	assert.Assert(t, strings.Contains(standing(t, s), "disk hangs"))
	sent := s.counts.Sent
	for range 3 {
		refusedAtOnce(t, s, 1)
		_, err := s.message(t.Context(), cairn.Message{})
		assert.NilError(t, err)
	}
	assert.Equal(t, s.counts.Sent, sent)
	close(wait)
	untilSaid(t, s, "sole")
	enter(t, s, configuration(3))
	assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(3))
	assert.Assert(t, log.lines("disk hangs") >= 1)
	assert.Assert(t, log.lines("disk answers again") >= 1)
	assert.NilError(t, end())
	assert.Equal(t, s.counts.Lost, uint64(0))
}

// TestAHangingDiskDoesNotKeepTheProcess from its end.
func TestAHangingDiskDoesNotKeepTheProcess(t *testing.T) {
	f := &fault{hang: make(chan chan struct{})}
	s, _ := f.with(t, settings(t))
	s.stall = time.Millisecond
	end := run(t, s)
	wait := make(chan struct{})
	defer close(wait)
	f.hang <- wait // the first record of all
	untilSaid(t, s, "disk hangs")
	assert.NilError(t, end())
}
