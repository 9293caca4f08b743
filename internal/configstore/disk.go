package configstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/configstore/recordlog"
)

// A disk that cannot be written (no space, a fault) counts as lost. The state machine that has stepped
// ahead of it is discarded, with everything that was only in memory. Until the disk accepts a complete
// copy of its records again, the process sends nothing to the other machines, which leave it out of the
// chain, and refuses at once what it cannot do; it still reports what it knew to be committed and
// synced. Then a new state machine starts from what the disk really holds, as after a restart.
//
// A disk that hangs blocks the state machine. After a time limit callers are refused at once, and
// messages of other machines are dropped, as they could be on a network. If the sync succeeds after
// all, its step is carried out as if the machine had been slow.

const (
	defaultStallTimeout    = 400 * time.Millisecond // limit for a disk call, well below the silence after which a machine is left out of the chain
	defaultRecoverInterval = 500 * time.Millisecond // interval between attempts to use a lost disk again
)

// journal is the disk: a recordlog.Journal, or in tests one that fails.
type journal interface {
	Append(records [][]byte) error
	Replace(records [][]byte) error
	Size() int64
	Close() error
}

// opener opens the journal in a directory and returns its records.
type opener func(dir string) (journal, [][]byte, error)

// diskState is what the loop knows of its disk. While a disk call is in progress, the journal
// belongs to that call.
type diskState struct {
	open             opener
	journal          journal // nil after it was closed
	size             int64   // bytes of the journal after the last completed call
	hadRecords       bool    // records were ever read or written: a disk that has lost them is not at its first start
	known            committedSnapshot
	lost             *diskLoss // nil while the disk works
	stalledSince     time.Time // since when the current call has hung; zero if it has not
	compactionFailed bool      // the last compaction found no space
	stallTimeout     time.Duration
	recoverInterval  time.Duration
}

// committedSnapshot is what was committed and synced last.
type committedSnapshot struct {
	view  chain.View
	state *chain.State
}

// diskLoss describes a disk that cannot be written.
type diskLoss struct {
	err            error
	since, lastTry time.Time
	tries          int
}

// isTransient reports whether a disk fault may disappear by itself. Any other fault (a damaged
// record, a path that is not a directory) needs an operator, and the process ends with its error.
func isTransient(err error) bool {
	for _, transient := range []error{unix.ENOSPC, unix.EDQUOT, unix.EFBIG, unix.EIO, unix.EROFS} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// isDamaged reports whether an error means that the data read differs from the data written.
func isDamaged(err error) bool {
	var damage *recordlog.ErrDamaged
	var format *recordlog.ErrEarlierFormat
	var record *errUndecodable
	return errors.As(err, &damage) || errors.As(err, &format) || errors.As(err, &record)
}

// errUndecodable reports a record that is complete but cannot be decoded.
type errUndecodable struct {
	index int
	err   error
}

func (e *errUndecodable) Error() string {
	return fmt.Sprintf("record %d cannot be decoded: %v", e.index, e.err)
}

// readJournal opens the journal and reads all records. If rewrite is set, it also writes them once
// more in full. It does not modify the fields that belong to the loop.
func (s *Store) readJournal(rewrite bool) (journal, []chain.Record, error) {
	if err := os.MkdirAll(s.settings.DataDir, 0o755); err != nil {
		return nil, nil, err
	}
	log, stored, err := s.open(s.settings.DataDir)
	if err != nil {
		return nil, nil, err
	}
	records := make([]chain.Record, len(stored))
	for i, encoded := range stored {
		if err := cbor.Unmarshal(encoded, &records[i]); err != nil {
			return nil, nil, errors.Join(&errUndecodable{i, err}, log.Close())
		}
	}
	if rewrite {
		// After a failed sync, the data read may exist only in the kernel's page cache, and a
		// second sync would report success. Also, a disk with space for a full copy has space to go
		// on.
		if err := log.Replace(stored); err != nil {
			return nil, nil, errors.Join(err, log.Close())
		}
	}
	return log, records, nil
}

// encode encodes records for the journal.
func encode(records []chain.Record) ([][]byte, error) {
	batch := make([][]byte, len(records))
	for i := range records {
		encoded, err := cbor.Marshal(records[i])
		if err != nil {
			return nil, err
		}
		batch[i] = encoded
	}
	return batch, nil
}

// startMachine starts a new state machine from what the disk holds.
func (s *Store) startMachine(stored []chain.Record) {
	firstStart := s.settings.FirstRun && !s.hadRecords
	s.machine = chain.New(chain.Config{Self: chain.MachineID{Addr: s.settings.InnerAddress(innerDockIndex)}, Seeds: s.seedAddrs, FirstRun: firstStart, Seed: rand.Uint64()}, stored, s.now())
	s.hadRecords = s.hadRecords || len(stored) > 0
	s.lost, s.size = nil, s.journal.Size()
	s.known = committedSnapshot{s.machine.View(), s.machine.State()}
	s.committedState.Store(s.known.state)
	s.log.Info().Int("records", len(stored)).Uint64("view", s.machine.View().Number).Bool("first", firstStart).Msg("journal read from disk")
}

// noteSynced records the state that may be reported from now on.
func (s *Store) noteSynced() {
	s.size = s.journal.Size()
	s.known = committedSnapshot{s.machine.View(), s.machine.State()}
	s.committedState.Store(s.known.state)
}

// diskDown reports whether the disk is lost or hangs.
func (s *Store) diskDown() bool { return s.lost != nil || !s.stalledSince.IsZero() }

// describeDisk describes what is wrong with the disk, and for how long it has been.
func (s *Store) describeDisk() string {
	if lost := s.lost; lost != nil {
		return fmt.Sprintf("disk lost for %.1f s: %v; committed as far as known %d", time.Since(lost.since).Seconds(), lost.err, s.committedSeq())
	}
	return fmt.Sprintf("disk hangs for %.1f s; committed as far as known %d", time.Since(s.stalledSince).Seconds(), s.committedSeq())
}

// committedSeq returns the sequence number of the last change known to be committed.
func (s *Store) committedSeq() uint64 {
	if s.known.state == nil {
		return 0
	}
	return s.known.state.Last.Seq
}

// runOnDisk runs a disk call and waits for it. If it takes long, pending and new requests are answered
// meanwhile.
func (s *Store) runOnDisk(ctx context.Context, call func() error) error {
	finished := make(chan error, 1)
	go func() { finished <- call() }()
	timer := time.NewTimer(s.stallTimeout)
	defer timer.Stop()
	var events <-chan event
	var shutdown <-chan struct{}
	if s.lost != nil {
		events, shutdown = s.events, ctx.Done()
	}
	for {
		select {
		case err := <-finished:
			if !s.stalledSince.IsZero() {
				if s.lost == nil {
					s.log.Info().Float64("ms", float64(time.Since(s.stalledSince))/1e6).AnErr("fault", err).Msg("disk answers again")
				}
				s.stalledSince = time.Time{}
			}
			return err
		case <-timer.C:
			s.stalledSince = time.Now()
			s.counts.Stalls++
			if s.lost == nil {
				s.log.Error().Msg("disk hangs: requests are refused until it answers")
			}
			s.answerPending()
			events, shutdown = s.events, ctx.Done()
		case e := <-events:
			s.refuse(e)
		case <-shutdown:
			return ctx.Err() // a call that hangs cannot be cancelled, nor its file closed
		}
	}
}

// answerPending answers all pending requests. A pending change may be on the disk or on its way to the
// head, so its outcome is unknown.
func (s *Store) answerPending() {
	for id, waiter := range s.pending {
		delete(s.pending, id)
		outcome := chain.Unknown
		if waiter.Read != nil {
			outcome = chain.Unavailable
		}
		s.answer(waiter, outcome)
	}
	for _, inspect := range s.inspections {
		inspect()
	}
	s.inspections = s.inspections[:0]
}

// refuse answers an event that arrives while the disk is lost or hangs.
func (s *Store) refuse(e event) {
	switch {
	case e.inspect != nil:
		e.inspect()
	case e.done != nil:
		s.answer(e, chain.Unavailable)
	}
}

// answer answers a request and counts the outcome.
func (s *Store) answer(e event, outcome chain.Outcome) {
	if outcome == chain.Unknown {
		s.counts.Unknown++
	} else {
		s.counts.Unavailable++
	}
	e.done <- result{Result: chain.Result{ID: e.id, Outcome: outcome}}
}

// loseDisk discards a state machine that has stepped ahead of its disk.
func (s *Store) loseDisk(err error) {
	now := time.Now()
	s.lost = &diskLoss{err: err, since: now, lastTry: now}
	s.counts.Lost++
	s.machine = nil
	s.dropBulk()
	s.log.Error().Err(err).Msg("disk lost: requests are refused until it can be written")
	s.answerPending()
}

// recoverDisk starts a new state machine once the disk can be written. It returns only errors that
// need an operator.
func (s *Store) recoverDisk(ctx context.Context) error {
	lost := s.lost
	if time.Since(lost.lastTry) < s.recoverInterval {
		return nil
	}
	lost.tries++
	var log journal
	var stored []chain.Record
	err := s.runOnDisk(ctx, func() (err error) {
		if s.journal != nil {
			_ = s.journal.Close() // its error was reported before
			s.journal = nil
		}
		log, stored, err = s.readJournal(true)
		return err
	})
	lost.lastTry = time.Now()
	switch {
	case err == nil:
		s.journal = log
		s.startMachine(stored)
		s.log.Info().Int("tries", lost.tries).Float64("ms", float64(time.Since(lost.since))/1e6).Msg("disk is back: state machine restarted from its journal")
		return nil
	case isDamaged(err):
		return fmt.Errorf("disk: %w", err)
	}
	lost.err = fmt.Errorf("disk: %w", err)
	return nil
}

// compact shortens the journal. If there is no space for that, the journal is used as it is, and
// compaction is tried again after as many more records.
func (s *Store) compact(ctx context.Context) error {
	batch, err := encode(s.machine.Snapshot())
	if err == nil {
		err = s.runOnDisk(ctx, func() error { return s.journal.Replace(batch) })
	}
	switch {
	case err == nil:
		s.counts.Compacted++
		s.compactionFailed, s.size = false, s.journal.Size()
		return nil
	case !errors.Is(err, recordlog.ErrReplaceFailed):
		return fmt.Errorf("disk: %w", err)
	}
	s.counts.Uncompacted++
	if !s.compactionFailed {
		s.compactionFailed = true
		s.log.Warn().Err(err).Int64("diskBytes", s.size).Msg("disk has no room to be compacted: the journal keeps growing")
	}
	return nil
}

// close closes the journal if it is open.
func (s *Store) close() error {
	if s.lost != nil || s.journal == nil {
		return nil
	}
	return s.journal.Close()
}
