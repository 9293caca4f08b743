package registry

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/control/membership"
	"foxwood/internal/rpc/api"
)

// newRegistryOnDisk returns a registry with a folder and a clock that the test sets.
func newRegistryOnDisk(dir string, now *float64) *Registry {
	registry := New(&bootconfig.Settings{IP: "127.0.0.1", InnerPorts: []int{7001, 7002}, DataDir: dir, Bounds: bootconfig.Bounds{QuotaWindowS: 5}}, zerolog.Nop())
	registry.clock = func() float64 { return *now }
	return registry
}

// sendHeartbeat sends the heartbeat of one incarnation of a node, and returns whether the answer
// says that an earlier incarnation started recently.
func sendHeartbeat(t *testing.T, registry *Registry, node string, incarnation uint64) (restarted bool) {
	t.Helper()
	answer, err := registry.handleHeartbeat(t.Context(), api.SessionRequest{Member: membership.Member{Node: node, Incarnation: incarnation, Sequence: 1}})
	assert.NilError(t, err)
	return answer.RestartedRecently
}

// runChecks runs one election step, which checks the start log, and waits for a write that it
// starts.
func runChecks(t *testing.T, registry *Registry) {
	registry.stepElection(t.Context())
	registry.mu.Lock()
	ended := registry.startLog.writeEnded
	registry.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// TestStartBurstOnceAcrossRestarts: all gatekeepers and registries are restarted, twice within the
// window. The second incarnation of a gatekeeper must not take a start burst; after the window the
// next one may.
func TestStartBurstOnceAcrossRestarts(t *testing.T) {
	dir, now := filepath.Join(t.TempDir(), "disk"), 0.0
	registry := newRegistryOnDisk(dir, &now)
	assert.Assert(t, !sendHeartbeat(t, registry, "counter-1", 1), "the first incarnation")
	now += 1000
	registry = newRegistryOnDisk(dir, &now) // restarted with the same folder
	assert.Assert(t, sendHeartbeat(t, registry, "counter-1", 2), "the previous incarnation may have taken the start burst")
	assert.Assert(t, !sendHeartbeat(t, registry, "counter-2", 3), "another node")
	now += registry.startBurstWindowMs() + 1
	runChecks(t, registry)
	assert.Equal(t, len(readStartLog(dir)), 0, "starts before the window are dropped")
	registry = newRegistryOnDisk(dir, &now)
	assert.Assert(t, !sendHeartbeat(t, registry, "counter-1", 4))
}

// TestStartsFromGossipAreStored: the registry that received a gatekeeper's heartbeat may lose its
// disk, so the others store the start too.
func TestStartsFromGossipAreStored(t *testing.T) {
	dir, now := t.TempDir(), 0.0
	registry := newRegistryOnDisk(dir, &now)
	otherSessions := membership.New("127.0.0.2:7001", 9, now, sessionTimeoutMs)
	otherSessions.Heartbeat(now, membership.Member{Node: "counter-1", Incarnation: 1, Sequence: 1})
	registry.receiveReport("127.0.0.2:7001", "z", otherSessions.FullReport(now))
	now += startLogCheckIntervalMs
	runChecks(t, registry)
	assert.DeepEqual(t, readStartLog(dir), []string{"counter-1"})
	registry = newRegistryOnDisk(dir, &now)
	assert.Assert(t, sendHeartbeat(t, registry, "counter-1", 2))
}

// TestStartLogWriteFailure: the heartbeat is answered anyway, with the answer that prevents a start
// burst.
func TestStartLogWriteFailure(t *testing.T) {
	now := 0.0
	registry := newRegistryOnDisk(t.TempDir(), &now)
	writeResult := make(chan error)
	registry.startLog.write = func(string, []string) error { return <-writeResult }
	assert.Assert(t, sendHeartbeat(t, registry, "counter-1", 1))
	writeResult <- unix.ENOSPC
	runChecks(t, registry)
	assert.Assert(t, sendHeartbeat(t, registry, "counter-1", 1), "no write before the pause is over")
	registry.startLog.write = writeStartLog
	now += startLogRetryMs
	runChecks(t, registry)
	assert.Assert(t, !sendHeartbeat(t, registry, "counter-1", 1))
}

// TestMalformedStartLogIsIgnored: truncated files, files of another version and missing files count
// as empty.
func TestMalformedStartLogIsIgnored(t *testing.T) {
	dir := t.TempDir()
	for _, content := range []string{"", "lives 1\ncounter-1\n", "lives 2\ncounter-1\nend\n", "lives 1"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, startLogFile), []byte(content), 0o600))
		assert.Equal(t, len(readStartLog(dir)), 0, "%q", content)
	}
	assert.Equal(t, len(readStartLog(filepath.Join(dir, "none"))), 0)
}
