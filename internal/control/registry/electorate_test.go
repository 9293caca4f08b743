package registry

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
	"foxwood/internal/control/election"
)

// TestReadElectorate: a complete file is read, a malformed one is ignored, and only a missing file
// means a first start.
func TestReadElectorate(t *testing.T) {
	for _, c := range []struct {
		name, content string
		ids           []string
		epoch         uint64
	}{
		{"whole", "electorate 2 epoch 4\na:1\nb:1\nend\n", []string{"a:1", "b:1"}, 4},
		{"written before the first vote", "electorate 2 epoch 0\nend\n", nil, 0},
		{"empty", "", nil, 0},
		{"a format without an epoch", "electorate 1\na:1\nend\n", nil, 0},
		{"a negative epoch", "electorate 2 epoch -4\na:1\nend\n", nil, 0},
		{"truncated", "electorate 2 epoch 4\na:1\n", nil, 0},
		{"another format version", "electorate 3 epoch 4\na:1\nend\n", nil, 0},
	} {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, electorateFile), []byte(c.content), 0o600))
		ids, epoch, missing := readElectorate(dir)
		assert.DeepEqual(t, ids, c.ids)
		assert.Equal(t, epoch, c.epoch, c.name)
		assert.Assert(t, !missing, c.name)
	}
	dir := filepath.Join(t.TempDir(), "new")
	_, _, missing := readElectorate(dir)
	assert.Assert(t, missing)
	assert.NilError(t, writeElectorate(dir, []string{"a:1", "b:1"}, 7))
	ids, epoch, missing := readElectorate(dir)
	assert.DeepEqual(t, ids, []string{"a:1", "b:1"})
	assert.Equal(t, epoch, uint64(7))
	assert.Assert(t, !missing)
	_, _, missing = readElectorate("")
	assert.Assert(t, missing)
}

// TestFirstStartCountsOnce: a machine whose settings still contain firstRun does not vote at once
// when it starts a second time.
func TestFirstStartCountsOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	for start := range 2 {
		registry := New(&bootconfig.Settings{IP: "127.0.0.1", InnerPorts: []int{7001, 7002}, FirstRun: true, DataDir: dir}, zerolog.Nop())
		output := registry.election.Step(registry.now(), election.Event{Kind: election.Received, Message: election.Message{Kind: election.Ballot, From: "x", Duty: dutyQuota, Term: 1, Incarnation: 1}})
		assert.Equal(t, output.Send[0].Granted, start == 0)
	}
}

// TestElectorateWriteIsRetried: a failed write is repeated after a pause, one write at a time; the
// failure and its end are logged once, and the election goes on even while the disk hangs.
func TestElectorateWriteIsRetried(t *testing.T) {
	var log bytes.Buffer
	self := "127.0.0.1:7001"
	registry := New(&bootconfig.Settings{IP: "127.0.0.1", InnerPorts: []int{7000, 7002}, FirstRun: true, DataDir: t.TempDir()}, zerolog.New(&log))
	now := 0.0
	registry.clock = func() float64 { return now }
	registry.election = election.New(self, 1, now, dutyLeaseMs, true, dutyQuota)
	type write struct {
		ids  []string
		ends chan error
	}
	writes := make(chan write)
	registry.electorateWrites.write = func(_ string, ids []string, _ uint64) error {
		pending := write{ids, make(chan error)}
		writes <- pending
		return <-pending.ends
	}
	runUntil := func(ms float64) { // with a step every 100 ms
		for ; now < ms; now += 100 {
			registry.mu.Lock()
			registry.election.SetElectorate(now, now, []string{self}, 1, 0)
			registry.mu.Unlock()
			registry.stepElection(t.Context())
		}
	}
	endWrite := func(pending write, err error) {
		pending.ends <- err
		for busy := true; busy; {
			registry.mu.Lock()
			busy = registry.electorateWrites.busy
			registry.mu.Unlock()
		}
	}
	hasElectorate := func() bool {
		ids, _ := registry.election.SoleElectorate(now)
		return len(ids) > 0
	}
	for now = 0; !hasElectorate(); now += 100 {
		registry.election.SetElectorate(now, now, []string{self}, 1, 0)
	}
	runUntil(now + 5000) // one write hangs, and no other is started
	pending := <-writes
	assert.DeepEqual(t, pending.ids, []string{self})
	assert.Equal(t, registry.election.Holder(now, dutyQuota), self)
	endWrite(pending, unix.ENOSPC)
	for range 3 {
		failedAt := now
		runUntil(failedAt + electorateRetryMs)
		assert.Assert(t, !registry.electorateWrites.busy, "no write during the pause after a failure")
		runUntil(failedAt + electorateRetryMs + 300)
		endWrite(<-writes, unix.ENOSPC)
	}
	assert.Equal(t, len(registry.storedElectorate), 0)
	runUntil(now + 2*electorateRetryMs)
	endWrite(<-writes, nil)
	assert.DeepEqual(t, registry.storedElectorate, []string{self})
	assert.Equal(t, registry.storedEpoch, uint64(1))
	runUntil(now + 5000)
	assert.Assert(t, !registry.electorateWrites.busy, "the electorate is stored already")
	assert.Equal(t, strings.Count(log.String(), "cannot store the electorate"), 1)
	assert.Equal(t, strings.Count(log.String(), "electorate is stored again"), 1)
}
