package bothy

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"foxwood/internal/trailhead"
	"foxwood/internal/warden"
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
		assert.NilError(t, os.WriteFile(filepath.Join(dir, keepName), []byte(c.raw), 0o600))
		ids, epoch, none := recall(dir)
		assert.DeepEqual(t, ids, c.ids)
		assert.Equal(t, epoch, c.epoch, c.name)
		assert.Assert(t, !none, c.name)
	}
	dir := filepath.Join(t.TempDir(), "new")
	_, _, none := recall(dir)
	assert.Assert(t, none)
	assert.NilError(t, keep(dir, []string{"a:1", "b:1"}, 7))
	ids, epoch, none := recall(dir)
	assert.DeepEqual(t, ids, []string{"a:1", "b:1"})
	assert.Equal(t, epoch, uint64(7))
	assert.Assert(t, !none)
	_, _, none = recall("")
	assert.Assert(t, none)
}

// TestOnlyTheFirstLifeIsFirst: a machine whose settings still say firstRun waits at its next start.
func TestOnlyTheFirstLifeIsFirst(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	for life := range 2 {
		b := New(&trailhead.Settings{IP: "127.0.0.1", InnerDocks: []int{7001, 7002}, FirstRun: true, ArchiveDir: dir}, zerolog.Nop())
		voice := b.warden.Step(b.now(), warden.Event{Kind: warden.Heard, Message: warden.Message{Kind: warden.Ballot, From: "x", Duty: dutySlices, Term: 1, Life: 1}})
		assert.Equal(t, voice.Send[0].Yes, life == 0)
	}
}
