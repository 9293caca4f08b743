package bothy

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/election"
)

// TestRecall: what is whole is read, what is odd tells nothing, and only a missing file is a first start.
func TestRecall(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		ids       []string
		epoch     uint64
	}{
		{"whole", "electorate 2 epoch 4\na:1\nb:1\nend\n", []string{"a:1", "b:1"}, 4},
		{"kept before the first voice", "electorate 2 epoch 0\nend\n", nil, 0},
		{"empty", "", nil, 0},
		{"of a format without a number", "electorate 1\na:1\nend\n", nil, 0},
		{"an odd number", "electorate 2 epoch -4\na:1\nend\n", nil, 0},
		{"torn", "electorate 2 epoch 4\na:1\n", nil, 0},
		{"another kind", "electorate 3 epoch 4\na:1\nend\n", nil, 0},
	} {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, electorateFile), []byte(c.raw), 0o600))
		ids, epoch, none := readElectorate(dir)
		assert.DeepEqual(t, ids, c.ids)
		assert.Equal(t, epoch, c.epoch, c.name)
		assert.Assert(t, !none, c.name)
	}
	dir := filepath.Join(t.TempDir(), "new")
	_, _, none := readElectorate(dir)
	assert.Assert(t, none)
	assert.NilError(t, writeElectorate(dir, []string{"a:1", "b:1"}, 7))
	ids, epoch, none := readElectorate(dir)
	assert.DeepEqual(t, ids, []string{"a:1", "b:1"})
	assert.Equal(t, epoch, uint64(7))
	assert.Assert(t, !none)
	_, _, none = readElectorate("")
	assert.Assert(t, none)
}

// TestOnlyTheFirstLifeIsFirst: a machine whose settings still say firstRun waits at its next start.
func TestOnlyTheFirstLifeIsFirst(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	for life := range 2 {
		b := New(&bootconfig.Settings{IP: "127.0.0.1", InnerDocks: []int{7001, 7002}, FirstRun: true, ArchiveDir: dir}, zerolog.Nop())
		voice := b.election.Step(b.now(), election.Event{Kind: election.Heard, Message: election.Message{Kind: election.Ballot, From: "x", Duty: dutyQuota, Term: 1, Life: 1}})
		assert.Equal(t, voice.Send[0].Yes, life == 0)
	}
}

// TestAFullDiskEndsNoBothy: the electorate is tried again after a pause, one at a time, the fault and
// its end are told once, and ballots go on also where the disk hangs.
func TestAFullDiskEndsNoBothy(t *testing.T) {
	var log bytes.Buffer
	self := "127.0.0.1:7001"
	b := New(&bootconfig.Settings{IP: "127.0.0.1", InnerDocks: []int{7000, 7002}, FirstRun: true, ArchiveDir: t.TempDir()}, zerolog.New(&log))
	now := 0.0
	b.clock = func() float64 { return now }
	b.election = election.New(self, 1, now, dutyLeaseMs, true, dutyQuota)
	type write struct {
		ids  []string
		ends chan error
	}
	writes := make(chan write)
	b.electorateWrites.write = func(_ string, ids []string, _ uint64) error {
		w := write{ids, make(chan error)}
		writes <- w
		return <-w.ends
	}
	at := func(ms float64) { // asked every 100 ms until then
		for ; now < ms; now += 100 {
			b.mu.Lock()
			b.election.Electorate(now, now, []string{self}, 1, 0)
			b.mu.Unlock()
			b.stepElection(t.Context())
		}
	}
	over := func(w write, err error) {
		w.ends <- err
		for busy := true; busy; {
			b.mu.Lock()
			busy = b.electorateWrites.busy
			b.mu.Unlock()
		}
	}
	settled := func() bool {
		ids, _ := b.election.Settled(now)
		return len(ids) > 0
	}
	for now = 0; !settled(); now += 100 {
		b.election.Electorate(now, now, []string{self}, 1, 0)
	}
	at(now + 5000) // one hangs, and no other is begun
	w := <-writes
	assert.DeepEqual(t, w.ids, []string{self})
	assert.Equal(t, b.election.Holder(now, dutyQuota), self)
	over(w, unix.ENOSPC)
	for range 3 {
		failed := now
		at(failed + electorateRetryMs)
		assert.Assert(t, !b.electorateWrites.busy, "a pause after a fault")
		at(failed + electorateRetryMs + 300)
		over(<-writes, unix.ENOSPC)
	}
	assert.Equal(t, len(b.storedElectorate), 0)
	at(now + 2*electorateRetryMs)
	over(<-writes, nil)
	assert.DeepEqual(t, b.storedElectorate, []string{self})
	assert.Equal(t, b.storedEpoch, uint64(1))
	at(now + 5000)
	assert.Assert(t, !b.electorateWrites.busy, "it is kept")
	assert.Equal(t, strings.Count(log.String(), "cannot store the electorate"), 1)
	assert.Equal(t, strings.Count(log.String(), "electorate is stored again"), 1)
}
