package faultgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
)

// minimize is delta debugging (ddmin): of the items 0 to n-1 it returns a subset that is still broken and from which
// no single item can be left out. It assumes that the full set is broken.
func minimize(n int, broken func(keep []int) (bool, error)) ([]int, error) {
	keep := make([]int, n)
	for i := range keep {
		keep[i] = i
	}
	for parts := 2; len(keep) > 0; {
		parts = min(parts, len(keep))
		smaller := false
		keepIfBroken := func(subset []int) (bool, error) {
			stillBroken, err := broken(subset)
			if err == nil && stillBroken {
				keep, smaller = subset, true
			}
			return stillBroken, err
		}
		bounds := func(i int) (from, to int) { return i * len(keep) / parts, (i + 1) * len(keep) / parts }
		for i := range parts {
			from, to := bounds(i)
			if to-from == len(keep) {
				break // the full set, known to be broken
			}
			if stillBroken, err := keepIfBroken(slices.Clone(keep[from:to])); err != nil {
				return nil, err
			} else if stillBroken {
				parts = 2
				break
			}
		}
		for i := 0; !smaller && i < parts; i++ {
			from, to := bounds(i)
			if parts == 2 {
				break // each half is the other's complement, and was already tried
			}
			if stillBroken, err := keepIfBroken(slices.Delete(slices.Clone(keep), from, to)); err != nil {
				return nil, err
			} else if stillBroken {
				parts = max(parts-1, 2)
			}
		}
		if !smaller {
			if parts == len(keep) {
				break
			}
			parts *= 2
		}
	}
	return keep, nil
}

// shrinker reduces a failing scenario.
type shrinker struct {
	fails   func(scenario) (bool, error) // reports whether a scenario fails
	log     io.Writer
	runs    int             // number of scenarios tried
	results map[string]bool // results by encoded scenario
}

// check reports whether a scenario fails. It runs each distinct scenario only once.
func (s *shrinker) check(candidate scenario) (bool, error) {
	encoded := string(candidate.encode())
	if known, ok := s.results[encoded]; ok {
		return known, nil
	}
	fails, err := s.fails(candidate)
	if err != nil {
		return false, err
	}
	s.runs++
	s.results[encoded] = fails
	verdict := "holds"
	if fails {
		verdict = "broken"
	}
	fmt.Fprintf(s.log, "%d: %d entries, %g s: %s\n", s.runs, len(candidate.events), toFloat(candidate.header["length_s"]), verdict)
	return fails, nil
}

// shrink returns the smallest scenario found that still fails: it leaves out events and the closing fault, and then
// shortens the scenario.
func (s *shrinker) shrink(best scenario) (scenario, error) {
	s.results = map[string]bool{}
	if fails, err := s.check(best); err != nil || !fails {
		return best, errors.Join(err, errNotBroken)
	}
	events := best.events
	subset := func(keep []int) scenario {
		candidate := best
		candidate.events = nil
		for _, i := range keep {
			candidate.events = append(candidate.events, events[i])
		}
		return candidate
	}
	keep, err := minimize(len(events), func(keep []int) (bool, error) { return s.check(subset(keep)) })
	if err != nil {
		return best, err
	}
	best = subset(keep)
	if best.header["closing"] != nil {
		candidate := best
		candidate.header = withoutKey(best.header, "closing")
		if fails, err := s.check(candidate); err != nil {
			return best, err
		} else if fails {
			best = candidate
		}
	}
	// Shorten the time after the last event by binary search.
	end := 0.0
	for _, ev := range best.events {
		end = max(end, ev.at()+ev.durationS())
	}
	for low, high := end, toFloat(best.header["length_s"]); high-low > 2; {
		mid := math.Ceil((low + high) / 2)
		candidate := best
		candidate.header = withoutKey(best.header, "")
		candidate.header["length_s"] = mid
		fails, err := s.check(candidate)
		if err != nil {
			return best, err
		}
		if fails {
			best, high = candidate, mid
		} else {
			low = mid
		}
	}
	return best, nil
}

// errNotBroken is returned for a scenario that does not fail in the first place.
var errNotBroken = errors.New("expected a day that breaks a rule, but the command finds it holds")

// withoutKey returns a copy of a table without the given key.
func withoutKey(original tomlTable, key string) tomlTable {
	copied := tomlTable{}
	for k, v := range original {
		if k != key {
			copied[k] = v
		}
	}
	return copied
}

// commandPredicate returns a predicate that writes a scenario to a file and runs a command with the file's name. Exit
// status 0 means that no rule is broken, 1 that one is, anything else that there is no verdict, which is an error.
func commandPredicate(ctx context.Context, dir string, command []string, log io.Writer) func(scenario) (bool, error) {
	runs := 0
	return func(candidate scenario) (bool, error) {
		runs++
		file := filepath.Join(dir, fmt.Sprintf("try-%d.toml", runs))
		if err := os.WriteFile(file, candidate.encode(), 0o644); err != nil {
			return false, err
		}
		cmd := exec.CommandContext(ctx, command[0], append(slices.Clone(command[1:]), file)...)
		cmd.Stdout, cmd.Stderr = log, log
		err := cmd.Run()
		if exitErr := (*exec.ExitError)(nil); errors.As(err, &exitErr) && exitErr.ExitCode() == 1 {
			return true, nil
		}
		if err != nil {
			return false, fmt.Errorf("no verdict on %s: %w", file, err)
		}
		return false, nil
	}
}
