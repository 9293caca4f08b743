package bothy

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// keepName is the file that tells a later life who voted. The store's journal, in the same folder,
// passes over names that aren't its own.
const keepName = "electorate"

// keepHead opens the file, and keepEnd ends it: one that is torn or odd tells nothing.
const (
	keepHead = "electorate 2 epoch "
	keepEnd  = "end"
)

// keepAgain is until an electorate that could not be kept is tried again.
const keepAgain = 1000.0

// keeping is how it goes with the disk: one thing at a time, and after a fault a pause.
type keeping struct {
	write  func(dir string, ids []string, epoch uint64) error
	busy   bool
	failed bool // and that was told
	next   float64
}

func (k *keeping) begin(now float64) bool {
	if k.busy || now < k.next {
		return false
	}
	k.busy = true
	return true
}

// keepNow keeps an electorate. Where the disk takes nothing the bothy goes on with what it has: only
// a next life that finds an older one has to wait longer.
func (b *Bothy) keepNow(ids []string, epoch uint64) {
	err := b.keeping.write(b.set.ArchiveDir, ids, epoch)
	b.mu.Lock()
	defer b.mu.Unlock()
	k := &b.keeping
	k.busy = false
	switch {
	case err == nil:
		b.kept, b.keptEpoch = ids, epoch
		if k.failed {
			b.log.Info().Msg("the electorate is kept again")
		}
	case !k.failed:
		b.log.Error().Err(err).Msg("the electorate can't be kept")
	}
	if k.failed = err != nil; k.failed {
		k.next = b.now() + keepAgain
	}
}

// recall reads the electorate that an earlier life kept; none where the file is odd. The flag tells
// that there was no file, so that no earlier life had this disk.
func recall(dir string) (ids []string, epoch uint64, none bool) {
	if dir == "" {
		return nil, 0, true
	}
	raw, err := os.ReadFile(filepath.Join(dir, keepName))
	if err != nil {
		return nil, 0, errors.Is(err, fs.ErrNotExist)
	}
	lines := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	n := len(lines)
	no, ok := strings.CutPrefix(lines[0], keepHead)
	epoch, err = strconv.ParseUint(no, 10, 64)
	if n < 3 || !ok || err != nil || lines[n-1] != keepEnd {
		return nil, 0, false
	}
	return lines[1 : n-1], epoch, false
}

// keep puts the electorate on the disk, so that it outlasts a loss of power.
func keep(dir string, ids []string, epoch uint64) error {
	return writeWhole(dir, keepName, slices.Concat([]string{keepHead + strconv.FormatUint(epoch, 10)}, ids, []string{keepEnd}))
}
