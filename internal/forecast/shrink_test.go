package forecast

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "foxwood/internal/fixedseed"
)

// TestMinimize: where a day breaks by some entries together, whatever else is there, just these are left.
func TestMinimize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 120).Draw(t, "n")
		var need []int
		for range rapid.IntRange(0, 5).Draw(t, "needed") {
			if i := rapid.IntRange(0, 119).Draw(t, "need"); i < n && !slices.Contains(need, i) {
				need = append(need, i)
			}
		}
		slices.Sort(need)
		asked := 0
		got, err := minimize(n, func(keep []int) (bool, error) {
			asked++
			assert.Assert(t, slices.IsSorted(keep))
			for _, i := range need {
				if !slices.Contains(keep, i) {
					return false, nil
				}
			}
			return true, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(need))
		assert.Assert(t, asked <= n*n+3*n+1)
	})
}

// TestMinimizeOdd: where the predicate is not monotone, what is left breaks and loses that with any one less.
func TestMinimizeOdd(t *testing.T) {
	broken := func(keep []int) (bool, error) { return len(keep)%3 == 2 && slices.Contains(keep, 4), nil }
	got, err := minimize(20, broken)
	assert.NilError(t, err)
	is, _ := broken(got)
	assert.Assert(t, is)
	for i := range got {
		is, _ := broken(slices.Delete(slices.Clone(got), i, i+1))
		assert.Assert(t, !is)
	}
}

func entriesOf(d day) []string {
	var names []string
	for _, e := range d.entries {
		names = append(names, e.kind()+" "+e.how())
	}
	return names
}

// TestShrink: entries, closing and length go as far as the predicate lets them.
func TestShrink(t *testing.T) {
	s, k := given(t)
	for seed := range uint64(4) {
		d := draw(s, k, "changes", seed, 90)
		d.head["closing"] = table{"kind": "kill_all", "down_s": 1.0}
		one, other := d.entries[len(d.entries)/3], d.entries[len(d.entries)/2]
		one.table["needed"], other.table["needed"] = true, true
		for _, closing := range []bool{true, false} {
			sh := &shrinker{log: io.Discard, broken: func(d day) (bool, error) {
				needed := 0
				for _, e := range d.entries {
					if e.table["needed"] != nil {
						needed++
					}
				}
				return needed == 2 && number(d.head["length_s"]) >= 70 && (!closing || d.head["closing"] != nil), nil
			}}
			least, err := sh.shrink(d)
			assert.NilError(t, err)
			assert.Assert(t, len(least.entries) == 2, "%s", least.text())
			assert.Equal(t, least.head["closing"] != nil, closing)
			end := number(least.head["length_s"])
			assert.Assert(t, end >= 70 && end <= 72 || end-(other.at()+other.forS()) <= 2 || end-(one.at()+one.forS()) <= 2, "%g", end)
			assert.Equal(t, number(d.head["length_s"]), 90.0) // the day that was given is as it was
		}
	}
	sh := &shrinker{log: io.Discard, broken: func(day) (bool, error) { return false, nil }}
	_, err := sh.shrink(draw(s, k, "core", 1, 60))
	assert.ErrorIs(t, err, errNotBroken)
}

// TestReadDay: a day reads back as it was written, with what a person added.
func TestReadDay(t *testing.T) {
	s, k := given(t)
	file := filepath.Join(t.TempDir(), "day.toml")
	for _, profile := range profiles {
		text := draw(s, k, profile, 3, 60).text()
		assert.NilError(t, os.WriteFile(file, text, 0o644))
		d, err := readDay(file)
		assert.NilError(t, err)
		assert.Equal(t, string(d.text()), string(text))
	}
	assert.NilError(t, os.WriteFile(file, []byte("traffic = [{ zone = \"a\", mix = { ask = 1.5 }, names = [\"b\\n\", 3, true] }]\nfaults = [{ kind = \"fog\", at = 2 }]\n"), 0o644))
	d, err := readDay(file)
	assert.NilError(t, err)
	assert.Equal(t, string(d.text()), "traffic = [{ zone = \"a\", mix = { ask = 1.5 }, names = [\"b\\n\", 3, true] }]\nplan = [\n]\nfaults = [\n  { at = 2, kind = \"fog\" },\n]\n")
	assert.NilError(t, os.WriteFile(file, []byte("plan = [3]"), 0o644))
	_, err = readDay(file)
	assert.ErrorContains(t, err, "no table")
}

// script writes a command.
func script(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "command")
	assert.NilError(t, os.WriteFile(file, []byte("#!/bin/sh\n"+text), 0o755))
	return file
}

// TestShrinkCommand: the command's exit status is the predicate; the least day is in the file.
func TestShrinkCommand(t *testing.T) {
	s, k := given(t)
	d := draw(s, k, "core", 2, 60)
	if len(d.entries) < 12 || !strings.Contains(string(d.text()), "replace_core") {
		t.Fatalf("another seed is needed: %s", d.text())
	}
	dir := t.TempDir()
	file, out := filepath.Join(dir, "day.toml"), filepath.Join(dir, "least.toml")
	assert.NilError(t, os.WriteFile(file, d.text(), 0o644))
	assert.Equal(t, Main([]string{"shrink", "-out", out, file, script(t, "! grep -q 'kind = \"replace_core\"' \"$1\"\n")}), 0)
	least, err := readDay(out)
	assert.NilError(t, err)
	names := entriesOf(least)
	assert.Assert(t, len(names) == 1 && strings.HasPrefix(names[0], "replace_core"), "%v", names)
	assert.Equal(t, least.head["closing"], nil)

	assert.Equal(t, Main([]string{"shrink", "-out", out, file, script(t, "exit 0\n")}), 3)
	assert.Equal(t, Main([]string{"shrink", "-out", out, file, script(t, "exit 2\n")}), 3)
}
