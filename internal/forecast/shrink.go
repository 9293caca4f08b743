package forecast

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

// minimize is delta debugging (ddmin): of the items 0 to n it gives a part that is still broken, and from
// which none can be left out. It takes for granted that the whole is broken.
func minimize(n int, broken func(keep []int) (bool, error)) ([]int, error) {
	keep := make([]int, n)
	for i := range keep {
		keep[i] = i
	}
	for parts := 2; len(keep) > 0; {
		parts = min(parts, len(keep))
		smaller := false
		try := func(some []int) (bool, error) {
			is, err := broken(some)
			if err == nil && is {
				keep, smaller = some, true
			}
			return is, err
		}
		cut := func(i int) (from, to int) { return i * len(keep) / parts, (i + 1) * len(keep) / parts }
		for i := range parts {
			from, to := cut(i)
			if to-from == len(keep) {
				break // the whole
			}
			if is, err := try(slices.Clone(keep[from:to])); err != nil {
				return nil, err
			} else if is {
				parts = 2
				break
			}
		}
		for i := 0; !smaller && i < parts; i++ {
			from, to := cut(i)
			if parts == 2 {
				break // each is what the other leaves
			}
			if is, err := try(slices.Delete(slices.Clone(keep), from, to)); err != nil {
				return nil, err
			} else if is {
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

// shrinker makes a broken day less.
type shrinker struct {
	broken func(day) (bool, error)
	log    io.Writer
	asked  int
	seen   map[string]bool
}

func (s *shrinker) ask(d day) (bool, error) {
	text := string(d.text())
	if was, is := s.seen[text]; is {
		return was, nil
	}
	is, err := s.broken(d)
	if err != nil {
		return false, err
	}
	s.asked++
	s.seen[text] = is
	verdict := "holds"
	if is {
		verdict = "broken"
	}
	fmt.Fprintf(s.log, "%d: %d entries, %g s: %s\n", s.asked, len(d.entries), number(d.head["length_s"]), verdict)
	return is, nil
}

// shrink gives the least day found that is still broken.
func (s *shrinker) shrink(d day) (day, error) {
	s.seen = map[string]bool{}
	if is, err := s.ask(d); err != nil || !is {
		return d, errors.Join(err, errNotBroken)
	}
	all := d.entries
	with := func(keep []int) day {
		less := d
		less.entries = nil
		for _, i := range keep {
			less.entries = append(less.entries, all[i])
		}
		return less
	}
	keep, err := minimize(len(all), func(keep []int) (bool, error) { return s.ask(with(keep)) })
	if err != nil {
		return d, err
	}
	d = with(keep)
	if d.head["closing"] != nil {
		less := d
		less.head = without(d.head, "closing")
		if is, err := s.ask(less); err != nil {
			return d, err
		} else if is {
			d = less
		}
	}
	// Shorter by halves of what follows the last entry.
	end := 0.0
	for _, e := range d.entries {
		end = max(end, e.at()+e.forS())
	}
	for low, high := end, number(d.head["length_s"]); high-low > 2; {
		mid := math.Ceil((low + high) / 2)
		less := d
		less.head = without(d.head, "")
		less.head["length_s"] = mid
		is, err := s.ask(less)
		if err != nil {
			return d, err
		}
		if is {
			d, high = less, mid
		} else {
			low = mid
		}
	}
	return d, nil
}

var errNotBroken = errors.New("the day is not broken as it is")

func without(t table, key string) table {
	less := table{}
	for k, v := range t {
		if k != key {
			less[k] = v
		}
	}
	return less
}

// asking is a predicate that writes the day to a file and runs a command with its name: 0 says that no rule
// is broken, 1 that one is, anything else that there is no verdict.
func asking(ctx context.Context, dir string, command []string, log io.Writer) func(day) (bool, error) {
	n := 0
	return func(d day) (bool, error) {
		n++
		file := filepath.Join(dir, fmt.Sprintf("try-%d.toml", n))
		if err := os.WriteFile(file, d.text(), 0o644); err != nil {
			return false, err
		}
		c := exec.CommandContext(ctx, command[0], append(slices.Clone(command[1:]), file)...)
		c.Stdout, c.Stderr = log, log
		err := c.Run()
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) && exit.ExitCode() == 1 {
			return true, nil
		}
		if err != nil {
			return false, fmt.Errorf("no verdict on %s: %w", file, err)
		}
		return false, nil
	}
}
