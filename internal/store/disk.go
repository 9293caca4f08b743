package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"foxwood/internal/cairn"
	"foxwood/internal/recordlog"
)

// A disk that can't be written (no room, a fault) is lost: the machine that stepped ahead of it is
// given up, with all that only memory held. Until the disk takes a whole copy of itself again the
// process says nothing to the others, which leave it out of the chain, and refuses at once what it
// can't do; what it knew to be committed and synced it still tells who asks for that. Then a new
// life begins from what the disk really holds, as after a kill and a start.
//
// One that hangs stalls the loop's machine: past a while callers are refused at once too, and what
// others say meanwhile is lost, as on a network. Should the sync come to an end well, its step is
// carried out as that of a machine that was slow.

const (
	stallMost = 400 * time.Millisecond // well under the silence after which a machine is left out
	mendEvery = 500 * time.Millisecond
)

// journal is the disk: a recordlog's, or in tests one that fails.
type journal interface {
	Append(records [][]byte) error
	Replace(records [][]byte) error
	Size() int64
	Close() error
}

// opener opens the journal in a folder.
type opener func(dir string) (journal, [][]byte, error)

// diskState is what the loop knows of its disk. While something is under way on it, the journal
// belongs to that.
type diskState struct {
	open      opener
	journal   journal // none once it is closed
	size      int64   // of the journal, as of the last call that was over
	held      bool    // records were ever read or written: what has forgotten is not at its first start
	known     known
	lost      *loss
	stalled   time.Time // since when the call under way has hung; zero for not
	unkept    bool      // the last compaction found no room
	stall     time.Duration
	mendEvery time.Duration
}

// known is what was committed and synced last.
type known struct {
	view  cairn.View
	state *cairn.State
}

// loss is a disk that takes nothing.
type loss struct {
	err          error
	since, tried time.Time
	tries        int
}

// passes says whether a fault of the disk may pass. Any other (a record that is damaged, a path that
// is none) needs a person, and is named as the process ends.
func passes(err error) bool {
	for _, e := range []error{unix.ENOSPC, unix.EDQUOT, unix.EFBIG, unix.EIO, unix.EROFS} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// damaged says whether what was read is not what was written.
func damaged(err error) bool {
	var bytes *recordlog.ErrDamaged
	var format *recordlog.ErrFormer
	var record *errRecord
	return errors.As(err, &bytes) || errors.As(err, &format) || errors.As(err, &record)
}

// errRecord is a record that is whole and can't be read.
type errRecord struct {
	at  int
	err error
}

func (e *errRecord) Error() string { return fmt.Sprintf("record %d: %v", e.at, e.err) }

// read opens the journal and reads all records; anew has it written once more, whole. It does not
// touch the loop's own.
func (s *Store) read(anew bool) (journal, []cairn.Record, error) {
	if err := os.MkdirAll(s.set.ArchiveDir, 0o755); err != nil {
		return nil, nil, err
	}
	j, stored, err := s.open(s.set.ArchiveDir)
	if err != nil {
		return nil, nil, err
	}
	records := make([]cairn.Record, len(stored))
	for i, b := range stored {
		if err := cbor.Unmarshal(b, &records[i]); err != nil {
			return nil, nil, errors.Join(&errRecord{i, err}, j.Close())
		}
	}
	if anew {
		// After a sync that has failed, what is read may stand in the kernel's memory only, and a second
		// sync would say that all is well. And a disk with room for this has room to go on.
		if err := j.Replace(stored); err != nil {
			return nil, nil, errors.Join(err, j.Close())
		}
	}
	return j, records, nil
}

func encode(records []cairn.Record) ([][]byte, error) {
	batch := make([][]byte, len(records))
	for i := range records {
		b, err := cbor.Marshal(records[i])
		if err != nil {
			return nil, err
		}
		batch[i] = b
	}
	return batch, nil
}

// live begins a life from what the disk holds.
func (s *Store) live(stored []cairn.Record) {
	first := s.set.FirstRun && !s.held
	s.machine = cairn.New(cairn.Config{Self: cairn.Ident{Addr: s.set.Inner(dock)}, Seeds: s.from, FirstRun: first, Seed: rand.Uint64()}, stored, s.now())
	s.held = s.held || len(stored) > 0
	s.lost, s.size = nil, s.journal.Size()
	s.known = known{s.machine.View(), s.machine.State()}
	s.holds.Store(s.known.state)
	s.log.Info().Int("records", len(stored)).Uint64("view", s.machine.View().No).Bool("first", first).Msg("disk read")
}

// synced notes what may be told from now on.
func (s *Store) synced() {
	s.size = s.journal.Size()
	s.known = known{s.machine.View(), s.machine.State()}
	s.holds.Store(s.known.state)
}

// down says whether nothing can be done now.
func (s *Store) down() bool { return s.lost != nil || !s.stalled.IsZero() }

// downFor says why, and for how long.
func (s *Store) downFor() string {
	if l := s.lost; l != nil {
		return fmt.Sprintf("disk lost for %.1f s: %v; committed as far as known %d", time.Since(l.since).Seconds(), l.err, s.knownSeq())
	}
	return fmt.Sprintf("disk hangs for %.1f s; committed as far as known %d", time.Since(s.stalled).Seconds(), s.knownSeq())
}

func (s *Store) knownSeq() uint64 {
	if s.known.state == nil {
		return 0
	}
	return s.known.state.Last.Seq
}

// onDisk has something done on the disk and waits for it. Where that takes long, who waits and who
// comes meanwhile is answered.
func (s *Store) onDisk(ctx context.Context, do func() error) error {
	over := make(chan error, 1)
	go func() { over <- do() }()
	late := time.NewTimer(s.stall)
	defer late.Stop()
	var events <-chan event
	var ended <-chan struct{}
	if s.lost != nil {
		events, ended = s.events, ctx.Done()
	}
	for {
		select {
		case err := <-over:
			if !s.stalled.IsZero() {
				if s.lost == nil {
					s.log.Info().Float64("ms", float64(time.Since(s.stalled))/1e6).AnErr("fault", err).Msg("disk answers again")
				}
				s.stalled = time.Time{}
			}
			return err
		case <-late.C:
			s.stalled = time.Now()
			s.counts.Stalls++
			if s.lost == nil {
				s.log.Error().Msg("disk hangs")
			}
			s.abandon()
			events, ended = s.events, ctx.Done()
		case e := <-events:
			s.refuse(e)
		case <-ended:
			return ctx.Err() // what hangs can't even be closed
		}
	}
}

// abandon answers all who wait. A change may be on the disk, or on its way to the head.
func (s *Store) abandon() {
	for id, e := range s.waiting {
		delete(s.waiting, id)
		o := cairn.Unknown
		if e.Ask != nil {
			o = cairn.Unavailable
		}
		s.answer(e, o)
	}
	for _, look := range s.looks {
		look()
	}
	s.looks = s.looks[:0]
}

// refuse answers one who comes while nothing can be done.
func (s *Store) refuse(e event) {
	switch {
	case e.look != nil:
		e.look()
	case e.done != nil:
		s.answer(e, cairn.Unavailable)
	}
}

func (s *Store) answer(e event, o cairn.Outcome) {
	if o == cairn.Unknown {
		s.counts.Unknown++
	} else {
		s.counts.Unavailable++
	}
	e.done <- result{Result: cairn.Result{ID: e.id, Outcome: o}}
}

// lose gives up a machine that has stepped ahead of its disk.
func (s *Store) lose(err error) {
	now := time.Now()
	s.lost = &loss{err: err, since: now, tried: now}
	s.counts.Lost++
	s.machine = nil
	s.hush()
	s.log.Error().Err(err).Msg("disk lost: nothing is taken until it can be written")
	s.abandon()
}

// mend begins a new life once the disk can be written. Only what needs a person is given back.
func (s *Store) mend(ctx context.Context) error {
	l := s.lost
	if time.Since(l.tried) < s.mendEvery {
		return nil
	}
	l.tries++
	var j journal
	var stored []cairn.Record
	err := s.onDisk(ctx, func() (err error) {
		if s.journal != nil {
			_ = s.journal.Close() // it has told its fault
			s.journal = nil
		}
		j, stored, err = s.read(true)
		return err
	})
	l.tried = time.Now()
	switch {
	case err == nil:
		s.journal = j
		s.live(stored)
		s.log.Info().Int("tries", l.tries).Float64("ms", float64(time.Since(l.since))/1e6).Msg("disk is back: a new life")
		return nil
	case damaged(err):
		return fmt.Errorf("disk: %w", err)
	}
	l.err = fmt.Errorf("disk: %w", err)
	return nil
}

// compact makes the journal short again. Where there is no room for that, it goes on as it is, and
// is tried after as many more records.
func (s *Store) compact(ctx context.Context) error {
	batch, err := encode(s.machine.Snapshot())
	if err == nil {
		err = s.onDisk(ctx, func() error { return s.journal.Replace(batch) })
	}
	switch {
	case err == nil:
		s.counts.Compacted++
		s.unkept, s.size = false, s.journal.Size()
		return nil
	case !errors.Is(err, recordlog.ErrKept):
		return fmt.Errorf("disk: %w", err)
	}
	s.counts.Uncompacted++
	if !s.unkept {
		s.unkept = true
		s.log.Warn().Err(err).Int64("diskBytes", s.size).Msg("disk has no room to be compacted: it goes on as it is")
	}
	return nil
}

// close ends the journal, if there is one.
func (s *Store) close() error {
	if s.lost != nil || s.journal == nil {
		return nil
	}
	return s.journal.Close()
}
