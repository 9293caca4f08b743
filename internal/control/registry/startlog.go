package registry

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"foxwood/internal/control/quota"
)

// A gatekeeper that starts takes its start burst (extra tokens for its quotas) once, and two
// incarnations of one node must not both take it within one window of the quota rule. Registries
// remember which nodes have started recently. This must survive the registry's own restart:
// otherwise each gatekeeper could take a start burst twice if everything is restarted twice within
// a window. Each registry therefore stores the nodes whose current incarnation it first heard of
// within the window, from heartbeats and gossip alike. Until a start is stored, it answers the
// heartbeat as if the previous incarnation might have taken the burst.

// startLogFile lists the nodes that have started recently. The journal of the configuration store
// in the same folder ignores files with other names.
const startLogFile = "lives"

const (
	startLogHeader          = "lives 1"
	startLogRetryMs         = 1000.0                 // milliseconds before a failed write is tried again
	startLogCheckIntervalMs = 300.0                  // milliseconds between two checks for starts learned from other registries
	maxStartLogWait         = 150 * time.Millisecond // how long the first answer of a session waits for the disk
)

// startLog is the list of recent starts on the disk, and the state of its writes.
type startLog struct {
	write      func(dir string, nodes []string) error
	stored     []string      // node names, sorted
	writeEnded chan struct{} // closed when the current write has ended; nil if there is none
	retryAt    float64       // no write before this time
	nextCheck  float64       // time of the next check for starts that have become old
}

// startBurstWindowMs returns how long, in milliseconds, the start burst of one incarnation may
// count in a quota window.
func (b *Registry) startBurstWindowMs() float64 {
	return b.settings.Bounds.QuotaWindowS*1e3 + quota.StartBurstValidityMs
}

// storeStarts starts a write if the recent starts differ from the stored ones. The lock is held.
func (b *Registry) storeStarts() {
	starts := &b.startLog
	if b.settings.DataDir == "" || starts.writeEnded != nil || b.now() < starts.retryAt {
		return
	}
	recent := b.sessions.RecentlyStarted(b.now(), b.startBurstWindowMs())
	if slices.Equal(recent, starts.stored) {
		return
	}
	ended := make(chan struct{})
	starts.writeEnded = ended
	go func() { // in the background, so that a disk that hangs blocks nothing
		err := starts.write(b.settings.DataDir, recent)
		b.mu.Lock()
		defer b.mu.Unlock()
		starts.writeEnded = nil
		if err == nil {
			starts.stored = recent
		} else {
			starts.retryAt = b.now() + startLogRetryMs
		}
		close(ended)
	}()
}

// checkStarts stores the starts learned from other registries, and drops old ones. The lock is
// held.
func (b *Registry) checkStarts() {
	if now := b.now(); now >= b.startLog.nextCheck {
		b.startLog.nextCheck = now + startLogCheckIntervalMs
		b.storeStarts()
	}
}

// isStartStored reports whether a restart of this process would still remember the node's start.
// The lock is held.
func (b *Registry) isStartStored(node string) bool {
	if b.settings.DataDir == "" || !b.sessions.StartedWithin(b.now(), node, b.startBurstWindowMs()) {
		return true
	}
	_, stored := slices.BinarySearch(b.startLog.stored, node)
	return stored
}

// awaitStartStored waits a short time until a node's start is stored.
func (b *Registry) awaitStartStored(ctx context.Context, node string) {
	timer := time.NewTimer(maxStartLogWait)
	defer timer.Stop()
	for {
		b.mu.Lock()
		b.storeStarts()
		stored, ended := b.isStartStored(node), b.startLog.writeEnded
		b.mu.Unlock()
		if stored || ended == nil {
			return
		}
		select {
		case <-ended:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readStartLog returns the nodes that an earlier process stored; none if the file is missing or
// malformed.
func readStartLog(dir string) []string {
	if dir == "" {
		return nil
	}
	content, err := os.ReadFile(filepath.Join(dir, startLogFile))
	if err != nil {
		return nil
	}
	lines := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	if n := len(lines); n >= 2 && lines[0] == startLogHeader && lines[n-1] == endMarker {
		return lines[1 : n-1]
	}
	return nil
}

// writeStartLog writes the nodes durably to the disk.
func writeStartLog(dir string, nodes []string) error {
	return writeFileAtomically(dir, startLogFile, slices.Concat([]string{startLogHeader}, nodes, []string{endMarker}))
}

// writeFileAtomically replaces a file by the given lines, completely or not at all.
func writeFileAtomically(dir, name string, lines []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, name)
	file, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = file.WriteString(strings.Join(lines, "\n") + "\n")
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		_ = os.Remove(path + ".new") // frees its space on a disk that may be full
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
