package configstore

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
	"foxwood/internal/configstore/chain"
	"foxwood/internal/configstore/recordlog"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// TestMain keeps the directories in memory, where a sync does not wait for a busy disk.
func TestMain(m *testing.M) {
	if dir, err := os.MkdirTemp("/dev/shm", "store"); err == nil {
		_ = os.Setenv("TMPDIR", dir)
		code := m.Run()
		_ = os.RemoveAll(dir)
		os.Exit(code)
	}
	os.Exit(m.Run())
}

// faultyJournal is a journal whose calls fail as long as a fault is set.
type faultyJournal struct {
	*recordlog.Journal
	fault  *fault
	dir    string
	failed error
}

// fault selects the failing calls: the error is returned before the call has done anything, with a
// part of it done, or with all of it.
type fault struct {
	openFailure, appendFailure, replaceFailure atomic.Pointer[failure]
	hang                                       chan chan struct{} // each channel received makes an Append wait for it
}

// failure is a failure: torn leaves a part of the write on the disk, after all of it.
type failure struct {
	err         error
	torn, after bool
}

// opener opens a journal that fails as the fault says.
func (f *fault) opener(dir string) (journal, [][]byte, error) {
	if t := f.openFailure.Load(); t != nil {
		return nil, nil, t.err
	}
	j, records, err := recordlog.Open(dir)
	return &faultyJournal{Journal: j, fault: f, dir: dir}, records, err
}

func (d *faultyJournal) Append(records [][]byte) error {
	select {
	case wait := <-d.fault.hang:
		<-wait
	default:
	}
	if d.failed != nil {
		return d.failed
	}
	failure := d.fault.appendFailure.Load()
	if failure == nil {
		return d.Journal.Append(records)
	}
	d.failed = fmt.Errorf("%w: %w", recordlog.ErrStopped, failure.err)
	if !failure.torn && !failure.after {
		return d.failed
	}
	err := d.Journal.Append(records)
	if err == nil && failure.torn {
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
	return d.failed
}

func (d *faultyJournal) Replace(records [][]byte) error {
	if d.failed != nil {
		return d.failed
	}
	failure := d.fault.replaceFailure.Load()
	switch {
	case failure == nil:
		return d.Journal.Replace(records)
	case errors.Is(failure.err, recordlog.ErrReplaceFailed):
		return failure.err
	case failure.after:
		if err := d.Journal.Replace(records); err != nil {
			return err
		}
	}
	d.failed = fmt.Errorf("%w: %w", recordlog.ErrStopped, failure.err)
	return d.failed
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// count returns how often a text was logged.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// newStore creates a store on a faulty disk that tries a lost disk again at once.
func (f *fault) newStore(t *testing.T, settings *bootconfig.Settings) (*Store, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	s, err := newOn(f.opener, settings, zerolog.New(log))
	assert.NilError(t, err)
	s.recoverInterval = 0
	return s, log
}

// statusText returns the lines of a store's status.
func statusText(t *testing.T, s *Store) string {
	t.Helper()
	status, err := s.handleStatus(t.Context(), api.StatusRequest{})
	assert.NilError(t, err)
	return strings.Join(status.Lines, "\n")
}

// waitForStatus waits until the status contains some words.
func waitForStatus(t *testing.T, s *Store, words string) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !strings.Contains(statusText(t, s), words); {
		assert.Assert(t, time.Now().Before(until), "%s", statusText(t, s))
	}
}

// checkRefused checks that callers that need the disk are refused at once and others are served.
func checkRefused(t *testing.T, s *Store, edition uint64) {
	t.Helper()
	began := time.Now()
	_, err := s.handleEnter(t.Context(), configuration(99))
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "%v", err)
	_, err = s.handleConfirm(t.Context(), api.CommittedStateRequest{})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "%v", err)
	_, err = s.handleForget(t.Context(), api.RemoveNodeRequest{Addr: "127.0.0.1:9"})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable, "%v", err)
	known, err := s.handleConfirm(t.Context(), api.CommittedStateRequest{AllowStale: true})
	assert.NilError(t, err)
	assert.Assert(t, known.Stale, "expected local knowledge, got an answer of the tail")
	if edition > 0 {
		assert.Equal(t, known.State.Edition, edition)
	}
	assert.Assert(t, time.Since(began) < answerTimeout, "requests were not refused at once")
}

// TestLostDisk checks a disk that rejects writes: the process keeps running, reports the loss,
// refuses at once what it cannot do, releases nothing of the step that was not synced, and once the
// disk is back restarts its state machine from what the disk really holds.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	full, broken := unix.ENOSPC, unix.EIO
	for _, c := range []struct {
		name    string
		failure failure
		kept    bool // the change that was not acknowledged is on the disk nevertheless
	}{
		{name: "no room", failure: failure{err: full}},
		{name: "a short write", failure: failure{err: full, torn: true}},
		{name: "a sync that fails", failure: failure{err: broken, after: true}, kept: true},
		{name: "a sync that fails, torn", failure: failure{err: broken, torn: true}},
		{name: "an unknown error", failure: failure{err: errors.New("no such thing")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, set := &fault{}, settings(t)
			s, log := f.newStore(t, set)
			end := run(t, s)
			enter(t, s, configuration(1))
			confirm(t, s, api.CommittedStateRequest{})
			f.appendFailure.Store(&c.failure)
			f.replaceFailure.Store(&failure{err: fmt.Errorf("%w: %w", recordlog.ErrReplaceFailed, c.failure.err)})
			_, err := s.handleEnter(t.Context(), configuration(2))
			assert.Equal(t, rpc.KindOf(err), rpc.Unknown, "the change may be on the disk")
			waitForStatus(t, s, "disk lost")
			assert.Assert(t, strings.Contains(statusText(t, s), c.failure.err.Error()))
			checkRefused(t, s, 1) // not version 2, which a chain of one had committed in the step that failed
			for range 20 {        // during repeated attempts to use the disk
				checkRefused(t, s, 1)
			}
			f.appendFailure.Store(nil)
			f.replaceFailure.Store(nil)
			waitForStatus(t, s, "sole")
			back := confirm(t, s, api.CommittedStateRequest{})
			want := uint64(1)
			if c.kept {
				want = 2
			}
			assert.Equal(t, back.State.Edition, want)
			enter(t, s, configuration(3))
			assert.Equal(t, log.count("disk lost"), 1)
			assert.Equal(t, log.count("disk is back"), 1)
			assert.NilError(t, end())
			assert.Equal(t, s.counts.Lost, uint64(1))

			set.FirstRun = false
			s = open(t, set, noFault)
			run(t, s)
			assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(3))
		})
	}
}

// TestLostDiskSendsNothing checks that no message of the failed step or later leaves the machine and
// that messages of other machines are ignored.
func TestLostDiskSendsNothing(t *testing.T) {
	f := &fault{}
	s, _ := f.newStore(t, settings(t, "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"))
	f.appendFailure.Store(&failure{err: unix.ENOSPC})
	f.replaceFailure.Store(&failure{err: unix.ENOSPC})
	var out chain.Output
	s.step(event{}, &out)
	assert.Assert(t, len(out.Persist) > 0 && len(out.Send) > 0)
	err := s.releaseOutput(t.Context(), &out)
	assert.ErrorIs(t, err, unix.ENOSPC)
	s.loseDisk(err)
	for range 9 {
		s.refuse(event{Event: chain.Event{Message: &chain.Message{}}})
		assert.NilError(t, s.recoverDisk(t.Context()))
	}
	assert.Assert(t, s.lost != nil && s.lost.tries == 9 && s.machine == nil)
	assert.Equal(t, s.counts.Sent, uint64(0))
	assert.Equal(t, len(s.peers), 0)
}

// TestRestartAfterLostDisk checks that a disk loss starts a new incarnation: what an earlier one
// requested or was granted means nothing to it, and it waits for leases that the earlier one
// granted to run out.
func TestRestartAfterLostDisk(t *testing.T) {
	f := &fault{}
	s, _ := f.newStore(t, settings(t))
	var out chain.Output
	s.step(event{}, &out)
	assert.NilError(t, s.releaseOutput(t.Context(), &out))
	before := s.machine
	s.loseDisk(unix.ENOSPC)
	assert.NilError(t, s.recoverDisk(t.Context()))
	assert.Assert(t, s.machine != nil && s.machine != before)
	assert.DeepEqual(t, s.machine.Self(), before.Self())
	assert.DeepEqual(t, s.machine.View(), before.View())
	s.loseDisk(unix.ENOSPC)

	// A disk that was replaced by an empty one meanwhile has lost its records: it is not at its first
	// start, whatever the settings of this process say.
	names, err := filepath.Glob(filepath.Join(s.settings.DataDir, "*"))
	assert.NilError(t, err)
	for _, name := range names {
		assert.NilError(t, os.RemoveAll(name))
	}
	assert.NilError(t, s.recoverDisk(t.Context()))
	assert.Assert(t, s.machine.Self().Disk != before.Self().Disk)
	assert.Equal(t, s.machine.View().Number, uint64(0))
}

// TestFullDiskAtStart checks that the process starts and takes part once the disk works.
func TestFullDiskAtStart(t *testing.T) {
	t.Parallel()
	for _, e := range []error{unix.ENOSPC, unix.EIO, unix.EROFS} {
		f := &fault{}
		f.openFailure.Store(&failure{err: e})
		s, log := f.newStore(t, settings(t))
		run(t, s)
		checkRefused(t, s, 0)
		assert.Assert(t, strings.Contains(statusText(t, s), "disk lost"))
		f.openFailure.Store(nil)
		enter(t, s, configuration(1))
		assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(1))
		assert.Equal(t, log.count("disk lost"), 1)
	}
}

// TestDamagedRecordIsReported checks that a damaged record ends the process with an error, even if
// the disk was only lost for a while.
func TestDamagedRecordIsReported(t *testing.T) {
	f := &fault{}
	set := settings(t)
	s, _ := f.newStore(t, set)
	var out chain.Output
	s.step(event{}, &out)
	assert.NilError(t, s.releaseOutput(t.Context(), &out))
	assert.NilError(t, s.journal.Append([][]byte{{0xff}}))
	s.loseDisk(unix.EIO)
	var record *errUndecodable
	err := s.recoverDisk(t.Context())
	assert.Assert(t, errors.As(err, &record), "%v", err)
	assert.ErrorContains(t, err, "disk: record ")
	_, err = New(set, zerolog.Nop())
	assert.Assert(t, errors.As(err, &record), "%v", err)

	names, err := filepath.Glob(filepath.Join(set.DataDir, "generation-*", "*"))
	assert.NilError(t, err)
	bad, err := os.ReadFile(names[0])
	assert.NilError(t, err)
	bad[5] ^= 1
	assert.NilError(t, os.WriteFile(names[0], bad, 0o600))
	var bytes *recordlog.ErrDamaged
	err = s.recoverDisk(t.Context())
	assert.Assert(t, errors.As(err, &bytes), "%v", err)
	_, err = New(set, zerolog.Nop())
	assert.Assert(t, errors.As(err, &bytes), "%v", err)
}

// TestNoRoomToCompact checks that failed compactions do not end or block a process whose appends
// work; the failure is logged once, and compaction is tried again.
func TestNoRoomToCompact(t *testing.T) {
	t.Parallel()
	f := &fault{}
	s, log := f.newStore(t, settings(t))
	end := run(t, s)
	f.replaceFailure.Store(&failure{err: fmt.Errorf("%w: %w", recordlog.ErrReplaceFailed, unix.ENOSPC)})
	big := func(edition uint64) api.CommitRequest {
		q := configuration(edition)
		q.Change.Body = make([]byte, 5<<20)
		return q
	}
	for edition := range uint64(3) {
		enter(t, s, big(edition+1))
	}
	assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(3))
	f.replaceFailure.Store(nil)
	enter(t, s, big(4))
	assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(4))
	assert.NilError(t, end())
	assert.Equal(t, s.counts.Lost, uint64(0))
	assert.Assert(t, s.counts.Uncompacted >= 3 && s.counts.Compacted >= 1)
	assert.Equal(t, log.count("no room to be compacted"), 1)

	// A compaction that fails when the new generation may have its name means a lost disk.
	f = &fault{}
	s, _ = f.newStore(t, settings(t))
	run(t, s)
	f.replaceFailure.Store(&failure{err: unix.EIO, after: true})
	_, _ = s.handleEnter(t.Context(), big(1))
	waitForStatus(t, s, "disk lost")
	f.replaceFailure.Store(nil)
	enter(t, s, configuration(2))
	assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(2))
}

// TestHangingDisk checks that pending and new requests are refused and nothing is sent; once the
// disk answers, the machine goes on.
func TestHangingDisk(t *testing.T) {
	t.Parallel()
	f := &fault{hang: make(chan chan struct{})}
	s, log := f.newStore(t, settings(t))
	s.stallTimeout = time.Millisecond
	end := run(t, s)
	enter(t, s, configuration(1))
	resume := make(chan struct{})
	answers := map[uint64]chan result{}
	for i, e := range []chain.Event{{Submit: &chain.Submit{Change: configuration(2).Change}}, {Read: &chain.Read{}}} {
		id := uint64(1e9) + uint64(i)
		answers[id] = make(chan result, 1)
		if e.Submit != nil {
			e.Submit.ID = id
		} else {
			e.Read.ID = id
		}
		s.events <- event{Event: e, id: id, done: answers[id]}
		if i == 0 {
			f.hang <- resume // this step or the one before it is being written
		}
	}
	for id, got := range answers { // not subject to the time limit of a call
		if o := receive(t, got).Outcome; id == 1e9 {
			assert.Assert(t, o != chain.OK, "the change was acknowledged although the disk hangs")
		} else {
			assert.Equal(t, o, chain.Unavailable)
		}
	}
	assert.Assert(t, strings.Contains(statusText(t, s), "disk hangs"))
	sent := s.counts.Sent
	for range 3 {
		checkRefused(t, s, 1)
		_, err := s.handleMessage(t.Context(), chain.Message{})
		assert.NilError(t, err)
	}
	assert.Equal(t, s.counts.Sent, sent)
	close(resume)
	waitForStatus(t, s, "sole")
	enter(t, s, configuration(3))
	assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(3))
	assert.Assert(t, log.count("disk hangs") >= 1)
	assert.Assert(t, log.count("disk answers again") >= 1)
	assert.NilError(t, end())
	assert.Equal(t, s.counts.Lost, uint64(0))
}

// TestShutdownWithHangingDisk checks that the process can end while its disk hangs.
func TestShutdownWithHangingDisk(t *testing.T) {
	f := &fault{hang: make(chan chan struct{})}
	s, _ := f.newStore(t, settings(t))
	s.stallTimeout = time.Millisecond
	end := run(t, s)
	resume := make(chan struct{})
	defer close(resume)
	f.hang <- resume // the very first record
	waitForStatus(t, s, "disk hangs")
	assert.NilError(t, end())
}
