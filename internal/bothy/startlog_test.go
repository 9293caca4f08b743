package bothy

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"foxwood/internal/bootconfig"
	"foxwood/internal/membership"
	"foxwood/internal/waymark"
)

// onDisk is a registry with a disk and a clock that is set.
func onDisk(dir string, now *float64) *Bothy {
	b := New(&bootconfig.Settings{IP: "127.0.0.1", InnerDocks: []int{7001, 7002}, ArchiveDir: dir, Bounds: bootconfig.Bounds{QuotaWindowS: 5}}, zerolog.Nop())
	b.clock = func() float64 { return *now }
	return b
}

// signs has a life of a station sign, and gives what it is told of first tokens.
func signs(t *testing.T, b *Bothy, station string, life uint64) (again bool) {
	t.Helper()
	a, err := b.handleHeartbeat(t.Context(), waymark.Sign{Member: membership.Member{Station: station, Life: life, Turn: 1}})
	assert.NilError(t, err)
	return a.Again
}

// passes has the loop that keeps lives do its work, until nothing is being written.
func passes(t *testing.T, b *Bothy) {
	b.stepElection(t.Context())
	b.mu.Lock()
	over := b.startLog.writeEnded
	b.mu.Unlock()
	if over != nil {
		<-over
	}
}

// TestFirstTokensOnceOverRestartsOfAll: all gatekeepers and registries are restarted, and again within the window. The
// second life of a gatekeeper may not take first tokens; after the window the next one may.
func TestFirstTokensOnceOverRestartsOfAll(t *testing.T) {
	dir, now := filepath.Join(t.TempDir(), "disk"), 0.0
	b := onDisk(dir, &now)
	assert.Assert(t, !signs(t, b, "counter-1", 1), "a first life")
	now += 1000
	b = onDisk(dir, &now) // restarted, with its disk
	assert.Assert(t, signs(t, b, "counter-1", 2), "the life before may have taken them")
	assert.Assert(t, !signs(t, b, "counter-2", 3), "another station")
	now += b.startBurstWindowMs() + 1
	passes(t, b)
	assert.Equal(t, len(readStartLog(dir)), 0, "nothing that is that old counts")
	b = onDisk(dir, &now)
	assert.Assert(t, !signs(t, b, "counter-1", 4))
}

// TestLivesThatOthersToldOf are kept too: the registry that a gatekeeper signed with may lose its disk.
func TestLivesThatOthersToldOf(t *testing.T) {
	dir, now := t.TempDir(), 0.0
	b := onDisk(dir, &now)
	other := membership.New("127.0.0.2:7001", 9, now, sessionTimeoutMs)
	other.Sign(now, membership.Member{Station: "counter-1", Life: 1, Turn: 1})
	b.receiveReport("127.0.0.2:7001", "z", other.Tell(now))
	now += startLogCheckIntervalMs
	passes(t, b)
	assert.DeepEqual(t, readStartLog(dir), []string{"counter-1"})
	b = onDisk(dir, &now)
	assert.Assert(t, signs(t, b, "counter-1", 2))
}

// TestADiskThatTakesNoLives: the session is answered all the same, and no first tokens are taken on its word.
func TestADiskThatTakesNoLives(t *testing.T) {
	now := 0.0
	b := onDisk(t.TempDir(), &now)
	hangs := make(chan error)
	b.startLog.write = func(string, []string) error { return <-hangs }
	assert.Assert(t, signs(t, b, "counter-1", 1))
	hangs <- unix.ENOSPC
	passes(t, b)
	assert.Assert(t, signs(t, b, "counter-1", 1), "no write before the pause is over")
	b.startLog.write = writeStartLog
	now += startLogRetryMs
	passes(t, b)
	assert.Assert(t, !signs(t, b, "counter-1", 1))
}

func TestOddLivesTellNothing(t *testing.T) {
	dir := t.TempDir()
	for _, raw := range []string{"", "lives 1\ncounter-1\n", "lives 2\ncounter-1\nend\n", "lives 1"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, startLogFile), []byte(raw), 0o600))
		assert.Equal(t, len(readStartLog(dir)), 0, "%q", raw)
	}
	assert.Equal(t, len(readStartLog(filepath.Join(dir, "none"))), 0)
}
