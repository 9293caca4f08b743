package configstore

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
	"foxwood/internal/configstore/chain"
	"foxwood/internal/configstore/recordlog"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// waitLimit is the time limit for anything the tests wait for. Only a failure takes that long.
const waitLimit = 60 * time.Second

// hookedJournal is a real journal with a hook before each write. That no call of a
// recordlog.Journal returns before its sync is covered by that package's tests.
type hookedJournal struct {
	*recordlog.Journal
	beforeWrite func() error
}

func (d *hookedJournal) Append(records [][]byte) error {
	if err := d.beforeWrite(); err != nil {
		return err
	}
	return d.Journal.Append(records)
}

func (d *hookedJournal) Replace(records [][]byte) error {
	if err := d.beforeWrite(); err != nil {
		return err
	}
	return d.Journal.Replace(records)
}

// settings returns the settings of a machine at its first start, with only itself as a seed by
// default.
func settings(t *testing.T, seeds ...string) *bootconfig.Settings {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free
	assert.NilError(t, err)
	port := listener.Addr().(*net.TCPAddr).Port
	assert.NilError(t, listener.Close())
	if seeds == nil {
		seeds = []string{"127.0.0.1:1"}
	}
	return &bootconfig.Settings{Node: "s", IP: "127.0.0.1", InnerPorts: []int{port - innerDockIndex, port}, SeedNodes: seeds, FirstRun: true,
		DataDir: t.TempDir()}
}

// open creates a store on a disk with a hook.
func open(t *testing.T, settings *bootconfig.Settings, sync func() error) *Store {
	t.Helper()
	s, err := newOn(func(dir string) (journal, [][]byte, error) {
		j, records, err := recordlog.Open(dir)
		return &hookedJournal{j, sync}, records, err
	}, settings, zerolog.Nop())
	assert.NilError(t, err)
	return s
}

// noFault is the hook of a disk without faults.
func noFault() error { return nil }

// run runs the loop until the end of the test or until end is called.
func run(t *testing.T, s *Store) (end func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- s.run(ctx) }()
	t.Cleanup(cancel)
	return func() error {
		cancel()
		return receive(t, over)
	}
}

// receive returns the next value from a channel.
func receive[T any](t *testing.T, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(waitLimit):
		t.Fatal("nothing received within 60 s")
	}
	return value
}

// configuration returns a call that submits a configuration.
func configuration(edition uint64) api.CommitRequest {
	return api.CommitRequest{Change: chain.Change{Kind: chain.PutConfiguration, Edition: edition, Body: []byte("edition " + strconv.FormatUint(edition, 10))}}
}

// enter submits a change. It retries while the chain is starting or the machine is busy.
func enter(t *testing.T, s *Store, q api.CommitRequest) {
	t.Helper()
	for until := time.Now().Add(waitLimit); ; {
		_, err := s.handleEnter(t.Context(), q)
		if err == nil {
			return
		}
		if k := rpc.KindOf(err); time.Now().After(until) || k != rpc.Unavailable && k != rpc.Unknown {
			t.Fatal(err)
		}
	}
}

// confirm reads the state. It retries while the chain is starting or the machine is busy.
func confirm(t *testing.T, s *Store, q api.CommittedStateRequest) api.CommittedStateResponse {
	t.Helper()
	for until := time.Now().Add(waitLimit); ; {
		c, err := s.handleConfirm(t.Context(), q)
		if err == nil {
			return c
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// TestAcknowledgedChangeSurvivesRestart restarts a store on a real disk.
func TestAcknowledgedChangeSurvivesRestart(t *testing.T) {
	set := settings(t)
	s := open(t, set, noFault)
	end := run(t, s)
	enter(t, s, configuration(7))
	enter(t, s, api.CommitRequest{Change: chain.Change{Kind: chain.Evacuate, Zone: "a1"}})
	enter(t, s, configuration(6)) // acknowledged, and changes nothing
	first := confirm(t, s, api.CommittedStateRequest{})
	assert.NilError(t, end())

	set.FirstRun = false
	s = open(t, set, noFault)
	end = run(t, s)
	again := confirm(t, s, api.CommittedStateRequest{})
	assert.Equal(t, string(again.State.Body), "edition 7")
	assert.Equal(t, again.State.Edition, uint64(7))
	_, evacuated := again.State.Evacuated["a1"]
	assert.Assert(t, evacuated)
	assert.Assert(t, again.Last.Seq >= first.Last.Seq, "%v after %v", again.Last, first.Last)
	enter(t, s, configuration(8))
	assert.Equal(t, confirm(t, s, api.CommittedStateRequest{}).State.Edition, uint64(8))
	assert.NilError(t, end())
}

// TestKnownStateIsNotSentAgain checks that the state is returned only to callers that lack it.
func TestKnownStateIsNotSentAgain(t *testing.T) {
	s := open(t, settings(t), noFault)
	run(t, s)
	enter(t, s, configuration(1))
	c := confirm(t, s, api.CommittedStateRequest{})
	assert.Equal(t, c.State.Edition, uint64(1))
	assert.Equal(t, c.Last, c.State.Last)
	assert.Equal(t, len(c.View.Core), 1)
	assert.Assert(t, !c.Stale)
	again := confirm(t, s, api.CommittedStateRequest{LastKnown: c.Last})
	assert.Assert(t, again.State == nil)
	assert.Equal(t, again.Last, c.Last)
	_, err := s.handleEnter(t.Context(), api.CommitRequest{Change: chain.Change{Body: make([]byte, maxChangeBytes+1)}})
	assert.Equal(t, rpc.KindOf(err), rpc.Invalid)
}

// TestNothingIsSentBeforeSync checks that at the time of a sync nothing of its step has been
// sent or answered, and that if the sync fails nothing ever is.
func TestNothingIsSentBeforeSync(t *testing.T) {
	heard := make(chan chain.Message, 9)
	ln, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	rpc.Handle(server, func(_ context.Context, m chain.Message) (api.StatusRequest, error) {
		heard <- m
		return api.StatusRequest{}, nil
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
		s.pending[1] = event{done: done}
		s.inspections = append(s.inspections, func() { looked++ })
		during = func() {
			syncs++
			assert.Check(t, len(done) == 0 && looked == 0 && s.counts.Sent == 0 && len(s.peers) == 0)
		}
		out := chain.Output{Persist: []chain.Record{{Committed: 1}}, Results: []chain.Result{{ID: 1}},
			Send: []chain.Message{{To: chain.MachineID{Addr: ln.Addr().String()}, Heartbeat: &chain.Heartbeat{View: 3}}}}
		err := s.releaseOutput(t.Context(), &out)
		assert.Assert(t, syncs > 0)
		if fails {
			assert.ErrorIs(t, err, broken)
			assert.ErrorContains(t, err, "disk: ")
			assert.Assert(t, len(done) == 0 && looked == 0 && s.counts.Sent == 0 && len(heard) == 0)
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, len(done) == 1 && looked == 1)
		assert.Equal(t, receive(t, heard).Heartbeat.View, uint64(3))
	}
}

// TestRecall checks that if the tail does not answer, a caller that holds nothing yet gets what
// this disk knows, but only if it asks for that.
func TestRecall(t *testing.T) {
	t.Parallel()
	set := settings(t)
	s := open(t, set, noFault)
	end := run(t, s)
	enter(t, s, configuration(7))
	confirmed := confirm(t, s, api.CommittedStateRequest{})
	enter(t, s, configuration(7)) // its record tells that the previous change is committed
	assert.NilError(t, end())
	self := confirmed.View.Core[0]
	three := []chain.MachineID{self, {Addr: "127.0.0.2:1", Disk: "two"}, {Addr: "127.0.0.3:1", Disk: "three"}}
	batch, err := encode([]chain.Record{{View: &chain.ViewRecord{View: chain.View{Number: confirmed.View.Number + 1, Chain: three, Core: three}, Complete: true}}})
	assert.NilError(t, err)
	journal, _, err := recordlog.Open(set.DataDir)
	assert.NilError(t, err)
	assert.NilError(t, journal.Append(batch))
	assert.NilError(t, journal.Close())

	set.FirstRun = false
	s = open(t, set, noFault)
	run(t, s)
	known := confirm(t, s, api.CommittedStateRequest{AllowStale: true})
	assert.Assert(t, known.Stale)
	assert.Equal(t, known.State.Edition, uint64(7))
	assert.Equal(t, string(known.State.Body), "edition 7")
	_, err = s.handleConfirm(t.Context(), api.CommittedStateRequest{})
	assert.Assert(t, err != nil, "local knowledge was returned as the tail's answer")

	// A first start at which the two other machines never start.
	set = settings(t, "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1")
	lone := open(t, set, noFault)
	run(t, lone)
	c := confirm(t, lone, api.CommittedStateRequest{AllowStale: true})
	assert.Assert(t, c.Stale)
	assert.Assert(t, c.State == nil || len(c.State.Body) == 0)
	_, err = lone.handleConfirm(t.Context(), api.CommittedStateRequest{})
	assert.Assert(t, err != nil, "a read succeeded without the other machines")
	_, err = lone.handleEnter(t.Context(), configuration(1))
	kind := rpc.KindOf(err)
	assert.Assert(t, err != nil && (kind == rpc.Unavailable || kind == rpc.Unknown), "%v", err)
}

// TestFullQueueIsBusy checks that a caller is refused at once if the queue is full, so that it can
// ask another machine.
func TestFullQueueIsBusy(t *testing.T) {
	s := open(t, settings(t), noFault) // its loop is not running
	for range maxQueue {
		_, err := s.handleMessage(t.Context(), chain.Message{})
		assert.NilError(t, err)
	}
	_, err := s.handleMessage(t.Context(), chain.Message{}) // dropped without blocking the sender
	assert.NilError(t, err)
	_, err = s.handleEnter(t.Context(), configuration(1))
	assert.Equal(t, rpc.KindOf(err), rpc.Busy)
	_, err = s.handleConfirm(t.Context(), api.CommittedStateRequest{})
	assert.Equal(t, rpc.KindOf(err), rpc.Busy)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.handleConfirm(ctx, api.CommittedStateRequest{AllowStale: true})
	assert.Equal(t, rpc.KindOf(err), rpc.Unknown)
}

// TestDiskIsRequired checks the errors for a missing directory and for one that cannot be read.
func TestDiskIsRequired(t *testing.T) {
	set := settings(t)
	set.DataDir = ""
	_, err := New(set, zerolog.Nop())
	assert.ErrorContains(t, err, "archiveDir: ")
	set.DataDir = "/dev/null/x"
	_, err = New(set, zerolog.Nop())
	assert.ErrorContains(t, err, "disk: ")
}

// TestForgetMachine checks orders to remove a machine that is not in the core and one that is
// running, and that requests are counted.
func TestForgetMachine(t *testing.T) {
	set := settings(t)
	s := open(t, set, noFault)
	end := run(t, s)
	enter(t, s, configuration(1))
	confirm(t, s, api.CommittedStateRequest{})
	f, err := s.handleForget(t.Context(), api.RemoveNodeRequest{Addr: "127.0.0.1:9"})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.Members, []string{set.InnerAddress(innerDockIndex)})
	_, err = s.handleForget(t.Context(), api.RemoveNodeRequest{Addr: set.InnerAddress(innerDockIndex)})
	assert.Equal(t, rpc.KindOf(err), rpc.Unavailable)
	assert.NilError(t, end())
	assert.Assert(t, s.counts.Submits >= 1 && s.counts.Asks >= 1)
}
