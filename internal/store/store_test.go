package store

import (
	"context"
	"errors"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cairn"
	"foxwood/internal/recordlog"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// patience is how long anything is waited for: only what never comes takes that long.
const patience = 60 * time.Second

// disk is the machine's own, with a hook before each sync: no call of a recordlog's returns before
// its sync, which its own tests show.
type disk struct {
	*recordlog.Journal
	sync func() error
}

func (d *disk) Append(records [][]byte) error {
	if err := d.sync(); err != nil {
		return err
	}
	return d.Journal.Append(records)
}

func (d *disk) Replace(records [][]byte) error {
	if err := d.sync(); err != nil {
		return err
	}
	return d.Journal.Replace(records)
}

// settings are those of a machine whose first start has the seeds' machines; none but itself else.
func settings(t *testing.T, seeds ...string) *bootconfig.Settings {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free
	assert.NilError(t, err)
	port := ln.Addr().(*net.TCPAddr).Port
	assert.NilError(t, ln.Close())
	if seeds == nil {
		seeds = []string{"127.0.0.1:1"}
	}
	return &bootconfig.Settings{Station: "s", IP: "127.0.0.1", InnerDocks: []int{port - dock, port}, FirstStations: seeds, FirstRun: true,
		ArchiveDir: t.TempDir()}
}

// open makes a store on a disk with a hook.
func open(t *testing.T, set *bootconfig.Settings, sync func() error) *Store {
	t.Helper()
	s, err := newOn(func(dir string) (journal, [][]byte, error) {
		j, records, err := recordlog.Open(dir)
		return &disk{j, sync}, records, err
	}, set, zerolog.Nop())
	assert.NilError(t, err)
	return s
}

func fine() error { return nil }

// run has the loop run until the test's end, or until end is called.
func run(t *testing.T, s *Store) (end func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- s.run(ctx) }()
	t.Cleanup(cancel)
	return func() error {
		cancel()
		return next(t, over)
	}
}

func next[T any](t *testing.T, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		t.Fatal("what was waited for did not come")
	}
	return v
}

func configuration(edition uint64) waymark.Enter {
	return waymark.Enter{Change: cairn.Change{Kind: cairn.PutConfiguration, Edition: edition, Body: []byte("edition " + strconv.FormatUint(edition, 10))}}
}

// enter brings a change in; a chain that is coming up, or a busy machine, may take some askings.
func enter(t *testing.T, s *Store, q waymark.Enter) {
	t.Helper()
	for until := time.Now().Add(patience); ; {
		_, err := s.enter(t.Context(), q)
		if err == nil {
			return
		}
		if k := rpc.KindOf(err); time.Now().After(until) || k != rpc.Unavailable && k != rpc.Unknown {
			t.Fatal(err)
		}
	}
}

func confirm(t *testing.T, s *Store, q waymark.Confirm) waymark.Confirmed {
	t.Helper()
	for until := time.Now().Add(patience); ; {
		c, err := s.confirm(t.Context(), q)
		if err == nil {
			return c
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// TestAnAcknowledgedChangeOutlastsTheProcess, on a real disk.
func TestAnAcknowledgedChangeOutlastsTheProcess(t *testing.T) {
	set := settings(t)
	s := open(t, set, fine)
	end := run(t, s)
	enter(t, s, configuration(7))
	enter(t, s, waymark.Enter{Change: cairn.Change{Kind: cairn.Evacuate, Zone: "a1"}})
	enter(t, s, configuration(6)) // acknowledged, and changes nothing
	first := confirm(t, s, waymark.Confirm{})
	assert.NilError(t, end())

	set.FirstRun = false
	s = open(t, set, fine)
	end = run(t, s)
	again := confirm(t, s, waymark.Confirm{})
	assert.Equal(t, string(again.State.Body), "edition 7")
	assert.Equal(t, again.State.Edition, uint64(7))
	_, evacuated := again.State.Evacuated["a1"]
	assert.Assert(t, evacuated)
	assert.Assert(t, again.Last.Seq >= first.Last.Seq, "%v after %v", again.Last, first.Last)
	enter(t, s, configuration(8))
	assert.Equal(t, confirm(t, s, waymark.Confirm{}).State.Edition, uint64(8))
	assert.NilError(t, end())
}

// TestWhatIsKnownIsNotToldAgain: the state comes only to who lacks it.
func TestWhatIsKnownIsNotToldAgain(t *testing.T) {
	s := open(t, settings(t), fine)
	run(t, s)
	enter(t, s, configuration(1))
	c := confirm(t, s, waymark.Confirm{})
	assert.Equal(t, c.State.Edition, uint64(1))
	assert.Equal(t, c.Last, c.State.Last)
	assert.Equal(t, len(c.View.Core), 1)
	assert.Assert(t, !c.Recalled)
	again := confirm(t, s, waymark.Confirm{Have: c.Last})
	assert.Assert(t, again.State == nil)
	assert.Equal(t, again.Last, c.Last)
	_, err := s.enter(t.Context(), waymark.Enter{Change: cairn.Change{Body: make([]byte, mostChange+1)}})
	assert.Equal(t, rpc.KindOf(err), rpc.Invalid)
}

// TestNothingIsSaidBeforeTheSync: at the moment of a sync nothing of its step has gone out or
// been answered, and where the sync fails nothing ever is.
func TestNothingIsSaidBeforeTheSync(t *testing.T) {
	heard := make(chan cairn.Message, 9)
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	rpc.Handle(server, func(_ context.Context, m cairn.Message) (waymark.AskStatus, error) {
		heard <- m
		return waymark.AskStatus{}, nil
	})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Close)
	broken := errors.New("the disk is broken")
	for _, fails := range []bool{false, true} {
		var during func()
		s := open(t, settings(t), func() error {
			if during != nil {
				during()
				if fails {
					return broken
				}
			}
			return nil
		})
		done, looked, syncs := make(chan result, 1), 0, 0
		s.waiting[1] = event{done: done}
		s.looks = append(s.looks, func() { looked++ })
		during = func() {
			syncs++
			assert.Check(t, len(done) == 0 && looked == 0 && s.counts.Sent == 0 && len(s.peers) == 0)
		}
		out := cairn.Out{Sync: []cairn.Record{{Committed: 1}}, Done: []cairn.Result{{ID: 1}},
			Send: []cairn.Message{{To: cairn.Ident{Addr: ln.Addr().String()}, Beat: &cairn.Beat{View: 3}}}}
		err := s.carryOut(t.Context(), &out)
		assert.Assert(t, syncs > 0)
		if fails {
			assert.ErrorIs(t, err, broken)
			assert.ErrorContains(t, err, "disk: ")
			assert.Assert(t, len(done) == 0 && looked == 0 && s.counts.Sent == 0 && len(heard) == 0)
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, len(done) == 1 && looked == 1)
		assert.Equal(t, next(t, heard).Beat.View, uint64(3))
	}
}

// TestRecall: where the tail is silent, who holds nothing yet is told what this disk knows; who
// does not ask for that is told nothing.
func TestRecall(t *testing.T) {
	t.Parallel()
	set := settings(t)
	s := open(t, set, fine)
	end := run(t, s)
	enter(t, s, configuration(7))
	asked := confirm(t, s, waymark.Confirm{})
	enter(t, s, configuration(7)) // the disk knows of the one before that it is committed
	assert.NilError(t, end())
	self := asked.View.Core[0]
	three := []cairn.Ident{self, {Addr: "127.0.0.2:1", Disk: "two"}, {Addr: "127.0.0.3:1", Disk: "three"}}
	batch, err := encode([]cairn.Record{{View: &cairn.ViewRecord{View: cairn.View{No: asked.View.No + 1, Chain: three, Core: three}, Whole: true}}})
	assert.NilError(t, err)
	journal, _, err := recordlog.Open(set.ArchiveDir)
	assert.NilError(t, err)
	assert.NilError(t, journal.Append(batch))
	assert.NilError(t, journal.Close())

	set.FirstRun = false
	s = open(t, set, fine)
	run(t, s)
	known := confirm(t, s, waymark.Confirm{Recall: true})
	assert.Assert(t, known.Recalled)
	assert.Equal(t, known.State.Edition, uint64(7))
	assert.Equal(t, string(known.State.Body), "edition 7")
	_, err = s.confirm(t.Context(), waymark.Confirm{})
	assert.Assert(t, err != nil, "what the disk knows is no word of a tail")

	// A first start whose two others never come up.
	set = settings(t, "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1")
	lone := open(t, set, fine)
	run(t, lone)
	c := confirm(t, lone, waymark.Confirm{Recall: true})
	assert.Assert(t, c.Recalled)
	assert.Assert(t, c.State == nil || len(c.State.Body) == 0)
	_, err = lone.confirm(t.Context(), waymark.Confirm{})
	assert.Assert(t, err != nil, "without the others there is no word of a tail")
	_, err = lone.enter(t.Context(), configuration(1))
	k := rpc.KindOf(err)
	assert.Assert(t, err != nil && (k == rpc.Unavailable || k == rpc.Unknown), "%v", err)
}

// TestAFullQueueIsBusy at once: a caller can go to another machine.
func TestAFullQueueIsBusy(t *testing.T) {
	s := open(t, settings(t), fine) // nobody runs its loop
	for range queueMost {
		_, err := s.message(t.Context(), cairn.Message{})
		assert.NilError(t, err)
	}
	_, err := s.message(t.Context(), cairn.Message{}) // is lost, and holds nobody up
	assert.NilError(t, err)
	_, err = s.enter(t.Context(), configuration(1))
	assert.Equal(t, rpc.KindOf(err), rpc.Busy)
	_, err = s.confirm(t.Context(), waymark.Confirm{})
	assert.Equal(t, rpc.KindOf(err), rpc.Busy)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.confirm(ctx, waymark.Confirm{Recall: true})
	assert.Equal(t, rpc.KindOf(err), rpc.Unknown)
}

// TestADiskIsNeeded, and one that can't be read is named.
func TestADiskIsNeeded(t *testing.T) {
	set := settings(t)
	set.ArchiveDir = ""
	_, err := New(set, zerolog.Nop())
	assert.ErrorContains(t, err, "archiveDir: ")
	set.ArchiveDir = "/dev/null/x"
	_, err = New(set, zerolog.Nop())
	assert.ErrorContains(t, err, "disk: ")
}

// TestForget: an order about an address that the core has not, or has and hears; and what was
// asked is counted.
func TestForget(t *testing.T) {
	set := settings(t)
	s := open(t, set, fine)
	end := run(t, s)
	enter(t, s, configuration(1))
	confirm(t, s, waymark.Confirm{})
	f, err := s.forget(t.Context(), waymark.Forget{Addr: "127.0.0.1:9"})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.Core, []string{set.Inner(dock)})
	_, err = s.forget(t.Context(), waymark.Forget{Addr: set.Inner(dock)})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable)
	assert.NilError(t, end())
	assert.Assert(t, s.counts.Submits >= 1 && s.counts.Asks >= 1)
}
