package faultgen

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

// TestMinimizeFindsNeededItems checks that exactly the needed items remain if a set is broken whenever it contains all
// of them.
func TestMinimizeFindsNeededItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 120).Draw(t, "n")
		var needed []int
		for range rapid.IntRange(0, 5).Draw(t, "needed") {
			if i := rapid.IntRange(0, 119).Draw(t, "need"); i < n && !slices.Contains(needed, i) {
				needed = append(needed, i)
			}
		}
		slices.Sort(needed)
		runs := 0
		got, err := minimize(n, func(keep []int) (bool, error) {
			runs++
			assert.Assert(t, slices.IsSorted(keep))
			for _, i := range needed {
				if !slices.Contains(keep, i) {
					return false, nil
				}
			}
			return true, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(needed))
		assert.Assert(t, runs <= n*n+3*n+1)
	})
}

// TestMinimizeNonMonotonePredicate checks that the result is broken, and no longer is without any one item, even if
// the predicate is not monotone.
func TestMinimizeNonMonotonePredicate(t *testing.T) {
	broken := func(keep []int) (bool, error) { return len(keep)%3 == 2 && slices.Contains(keep, 4), nil }
	got, err := minimize(20, broken)
	assert.NilError(t, err)
	isBroken, _ := broken(got)
	assert.Assert(t, isBroken)
	for i := range got {
		isBroken, _ := broken(slices.Delete(slices.Clone(got), i, i+1))
		assert.Assert(t, !isBroken)
	}
}

// eventNames returns kind and variant of each event.
func eventNames(s scenario) []string {
	var names []string
	for _, ev := range s.events {
		names = append(names, ev.kindName()+" "+ev.variant())
	}
	return names
}

// TestShrinkRemovesAllThatIsNotNeeded checks that events, the closing fault and the length are reduced as far as the
// predicate allows.
func TestShrinkRemovesAllThatIsNotNeeded(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	for seed := range uint64(4) {
		original := generate(parsedSite, catalog, "changes", seed, 90)
		original.header["closing"] = tomlTable{"kind": "kill_all", "down_s": 1.0}
		firstNeeded, secondNeeded := original.events[len(original.events)/3], original.events[len(original.events)/2]
		firstNeeded.tomlTable["needed"], secondNeeded.tomlTable["needed"] = true, true
		for _, needsClosing := range []bool{true, false} {
			reducer := &shrinker{log: io.Discard, fails: func(candidate scenario) (bool, error) {
				needed := 0
				for _, ev := range candidate.events {
					if ev.tomlTable["needed"] != nil {
						needed++
					}
				}
				return needed == 2 && toFloat(candidate.header["length_s"]) >= 70 && (!needsClosing || candidate.header["closing"] != nil), nil
			}}
			smallest, err := reducer.shrink(original)
			assert.NilError(t, err)
			assert.Assert(t, len(smallest.events) == 2, "%s", smallest.encode())
			assert.Equal(t, smallest.header["closing"] != nil, needsClosing)
			end := toFloat(smallest.header["length_s"])
			assert.Assert(t, end >= 70 && end <= 72 || end-(secondNeeded.at()+secondNeeded.durationS()) <= 2 || end-(firstNeeded.at()+firstNeeded.durationS()) <= 2, "%g", end)
			assert.Equal(t, toFloat(original.header["length_s"]), 90.0) // the scenario passed in is unchanged
		}
	}
	reducer := &shrinker{log: io.Discard, fails: func(scenario) (bool, error) { return false, nil }}
	_, err := reducer.shrink(generate(parsedSite, catalog, "core", 1, 60))
	assert.ErrorIs(t, err, errNotBroken)
}

// TestScenarioFileRoundTrip checks that a scenario reads back as it was written, including keys added by hand.
func TestScenarioFileRoundTrip(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	file := filepath.Join(t.TempDir(), "day.toml")
	for _, profile := range profiles {
		encoded := generate(parsedSite, catalog, profile, 3, 60).encode()
		assert.NilError(t, os.WriteFile(file, encoded, 0o644))
		read, err := readScenario(file)
		assert.NilError(t, err)
		assert.Equal(t, string(read.encode()), string(encoded))
	}
	assert.NilError(t, os.WriteFile(file, []byte("traffic = [{ zone = \"a\", mix = { ask = 1.5 }, names = [\"b\\n\", 3, true] }]\nfaults = [{ kind = \"fog\", at = 2 }]\n"), 0o644))
	read, err := readScenario(file)
	assert.NilError(t, err)
	assert.Equal(t, string(read.encode()), "traffic = [{ zone = \"a\", mix = { ask = 1.5 }, names = [\"b\\n\", 3, true] }]\nplan = [\n]\nfaults = [\n  { at = 2, kind = \"fog\" },\n]\n")
	assert.NilError(t, os.WriteFile(file, []byte("plan = [3]"), 0o644))
	_, err = readScenario(file)
	assert.ErrorContains(t, err, "no table")
}

// script writes an executable shell script and returns its path.
func script(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "command")
	assert.NilError(t, os.WriteFile(file, []byte("#!/bin/sh\n"+text), 0o755))
	return file
}

// TestShrinkCommand checks that the command's exit status is the predicate and that the smallest scenario is written to
// the file.
func TestShrinkCommand(t *testing.T) {
	parsedSite, catalog := readTestdata(t)
	original := generate(parsedSite, catalog, "core", 2, 60)
	if len(original.events) < 12 || !strings.Contains(string(original.encode()), "replace_core") {
		t.Fatalf("another seed is needed: %s", original.encode())
	}
	dir := t.TempDir()
	file, out := filepath.Join(dir, "day.toml"), filepath.Join(dir, "least.toml")
	assert.NilError(t, os.WriteFile(file, original.encode(), 0o644))
	assert.Equal(t, Main([]string{"shrink", "-out", out, file, script(t, "! grep -q 'kind = \"replace_core\"' \"$1\"\n")}), 0)
	smallest, err := readScenario(out)
	assert.NilError(t, err)
	names := eventNames(smallest)
	assert.Assert(t, len(names) == 1 && strings.HasPrefix(names[0], "replace_core"), "%v", names)
	assert.Equal(t, smallest.header["closing"], nil)

	assert.Equal(t, Main([]string{"shrink", "-out", out, file, script(t, "exit 0\n")}), 3)
	assert.Equal(t, Main([]string{"shrink", "-out", out, file, script(t, "exit 2\n")}), 3)
}
