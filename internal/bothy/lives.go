package bothy

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"foxwood/internal/quota"
)

// A gatekeeper's life takes its first tokens once, and two lives in one window of the quota rule may not both take
// them. Registries remember which lives have begun of late. What they remember must outlast their own restart, or a loss
// of all that comes twice within a window would let each gatekeeper take first tokens twice. Each registry therefore
// keeps on its disk the stations whose life it first heard of within the window, from sessions and gossip alike, and
// answers a session that the last life may have taken them until its own is kept.

// livesName is the file of stations whose life has just begun; the store's journal, in the same folder, passes over it.
const livesName = "lives"

const (
	livesHead  = "lives 1"
	livesAgain = 1000.0                 // milliseconds until a file that could not be written is tried again
	livesEvery = 300.0                  // milliseconds between two looks at the lives that others have told of
	livesWait  = 150 * time.Millisecond // that a session's first answer waits for the disk
)

// recentLives is what is on the disk, and whether that is being changed.
type recentLives struct {
	write func(dir string, stations []string) error
	kept  []string      // sorted
	over  chan struct{} // closed when the write under way has ended; nil for none
	next  float64       // after a fault, no write before
	look  float64       // when it is next looked whether lives have grown old
}

// firstTokensWindow is how long a life's first tokens may count in a window, in milliseconds.
func (b *Bothy) firstTokensWindow() float64 { return b.set.Bounds.QuotaWindowS*1e3 + quota.KickKeepMs }

// keepLives starts a write where other lives have begun of late than are kept. The lock is held.
func (b *Bothy) keepLives() {
	l := &b.lives
	if b.set.ArchiveDir == "" || l.over != nil || b.now() < l.next {
		return
	}
	recent := b.book.Recent(b.now(), b.firstTokensWindow())
	if slices.Equal(recent, l.kept) {
		return
	}
	over := make(chan struct{})
	l.over = over
	go func() { // a disk that hangs must hold up nobody
		err := l.write(b.set.ArchiveDir, recent)
		b.mu.Lock()
		defer b.mu.Unlock()
		l.over = nil
		if err == nil {
			l.kept = recent
		} else {
			l.next = b.now() + livesAgain
		}
		close(over)
	}()
}

// watchLives keeps the lives that others have told of, and lets old ones go. The lock is held.
func (b *Bothy) watchLives() {
	if now := b.now(); now >= b.lives.look {
		b.lives.look = now + livesEvery
		b.keepLives()
	}
}

// lifeKept says whether a restart of this process would not forget that a station's life began. The lock is held.
func (b *Bothy) lifeKept(station string) bool {
	if b.set.ArchiveDir == "" || !b.book.Began(b.now(), station, b.firstTokensWindow()) {
		return true
	}
	_, kept := slices.BinarySearch(b.lives.kept, station)
	return kept
}

// awaitLife waits until a station's life is kept, for a short while.
func (b *Bothy) awaitLife(ctx context.Context, station string) {
	limit := time.NewTimer(livesWait)
	defer limit.Stop()
	for {
		b.mu.Lock()
		b.keepLives()
		kept, over := b.lifeKept(station), b.lives.over
		b.mu.Unlock()
		if kept || over == nil {
			return
		}
		select {
		case <-over:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readLives is the stations that an earlier process kept; none where the file is missing or odd.
func readLives(dir string) []string {
	if dir == "" {
		return nil
	}
	raw, err := os.ReadFile(filepath.Join(dir, livesName))
	if err != nil {
		return nil
	}
	lines := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	if n := len(lines); n >= 2 && lines[0] == livesHead && lines[n-1] == keepEnd {
		return lines[1 : n-1]
	}
	return nil
}

// writeLives puts the stations on the disk, so that they outlast a loss of power.
func writeLives(dir string, stations []string) error {
	return writeWhole(dir, livesName, slices.Concat([]string{livesHead}, stations, []string{keepEnd}))
}

// writeWhole puts lines into a file, whole or not at all.
func writeWhole(dir, name string, lines []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, name)
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.WriteString(strings.Join(lines, "\n") + "\n")
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(path + ".new") // what it takes of a full disk others need
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
