package registry

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// electorateFile stores the registries entitled to vote, for the next start of this process. The
// journal of the configuration store in the same folder ignores files with other names.
const electorateFile = "electorate"

// electorateHeader is the first line of the file, followed by the epoch, and endMarker is the last
// one: a truncated or malformed file is ignored.
const (
	electorateHeader = "electorate 2 epoch "
	endMarker        = "end"
)

// electorateRetryMs is the delay in milliseconds before an electorate that could not be written is
// written again.
const electorateRetryMs = 1000.0

// electorateWrites controls the writes of the electorate: one at a time, with a pause after a
// failure.
type electorateWrites struct {
	write   func(dir string, ids []string, epoch uint64) error
	busy    bool
	failing bool // the last write failed, and this was logged
	retryAt float64
}

// tryBegin reports whether a write may begin now, and marks it as begun.
func (w *electorateWrites) tryBegin(now float64) bool {
	if w.busy || now < w.retryAt {
		return false
	}
	w.busy = true
	return true
}

// storeElectorate writes an electorate to the disk. If the write fails the registry goes on: only a
// restart that finds an older electorate has to wait longer before it votes.
func (b *Registry) storeElectorate(ids []string, epoch uint64) {
	err := b.electorateWrites.write(b.settings.DataDir, ids, epoch)
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := &b.electorateWrites
	writes.busy = false
	switch {
	case err == nil:
		b.storedElectorate, b.storedEpoch = ids, epoch
		if writes.failing {
			b.log.Info().Msg("electorate is stored again")
		}
	case !writes.failing:
		b.log.Error().Err(err).Msg("cannot store the electorate")
	}
	if writes.failing = err != nil; writes.failing {
		writes.retryAt = b.now() + electorateRetryMs
	}
}

// readElectorate returns the electorate that an earlier process stored, and its epoch; nothing if
// the file is malformed. missing reports that there is no file, so that no earlier process has used
// this disk.
func readElectorate(dir string) (ids []string, epoch uint64, missing bool) {
	if dir == "" {
		return nil, 0, true
	}
	content, err := os.ReadFile(filepath.Join(dir, electorateFile))
	if err != nil {
		return nil, 0, errors.Is(err, fs.ErrNotExist)
	}
	lines := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	n := len(lines)
	number, ok := strings.CutPrefix(lines[0], electorateHeader)
	epoch, err = strconv.ParseUint(number, 10, 64)
	if n < 3 || !ok || err != nil || lines[n-1] != endMarker {
		return nil, 0, false
	}
	return lines[1 : n-1], epoch, false
}

// writeElectorate writes the electorate durably to the disk.
func writeElectorate(dir string, ids []string, epoch uint64) error {
	return writeFileAtomically(dir, electorateFile, slices.Concat([]string{electorateHeader + strconv.FormatUint(epoch, 10)}, ids, []string{endMarker}))
}
