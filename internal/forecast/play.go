package forecast

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// verdict is what a play of a day said.
type verdict struct {
	played bool
	rules  map[string]int // broken, with how often
	other  string         // why the day counts for nothing, where that is no rule
	worth  float64
	missed int // orders that were never acknowledged
	exits  float64
}

var (
	rulesLine  = regexp.MustCompile(`(?m)^rules broken: (.+)$`)
	brokenRule = regexp.MustCompile(`([A-Z]+) ([0-9]+)`)
	dayLine    = regexp.MustCompile(`(?m)^day +own/srv +score +worth.*\n(\S+) +\S+ +[-0-9.]+ +([-0-9.]+) .*$`)
	otherLine  = regexp.MustCompile(`(?m)^(?i:fault|gate|given up|not played)\b.*$`)
	exitsLine  = regexp.MustCompile(`(?m)^ +-+[0-9.]+ +([0-9.]+) exits of its own`)
)

// judge reads the bench's report.
func judge(text string) verdict {
	v := verdict{rules: map[string]int{}}
	if m := dayLine.FindStringSubmatch(text); m != nil {
		v.played = true
		v.worth, _ = strconv.ParseFloat(m[2], 64)
	}
	if m := rulesLine.FindStringSubmatch(text); m != nil {
		for _, rule := range brokenRule.FindAllStringSubmatch(m[1], -1) {
			v.rules[rule[1]], _ = strconv.Atoi(rule[2])
		}
		if len(v.rules) == 0 {
			v.other = m[1]
		}
	}
	if m := otherLine.FindString(text); m != "" && !strings.Contains(m, "GATE passed") {
		v.other = m
	}
	v.missed = strings.Count(text, "\n  missed: ")
	if m := exitsLine.FindStringSubmatch(text); m != nil {
		v.exits, _ = strconv.ParseFloat(m[1], 64)
	}
	return v
}

func (v verdict) broken() bool { return len(v.rules) > 0 || v.other != "" }

func (v verdict) String() string {
	if !v.played && !v.broken() {
		return "NOT PLAYED"
	}
	var parts []string
	for rule, n := range v.rules {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(parts)
	if v.other != "" {
		parts = append(parts, v.other)
	}
	if len(parts) == 0 {
		parts = append(parts, "holds")
	}
	text := fmt.Sprintf("%s; worth %.3f", strings.Join(parts, ", "), v.worth)
	if v.missed > 0 {
		text += fmt.Sprintf("; %d orders missed", v.missed)
	}
	if v.exits > 0 {
		text += fmt.Sprintf("; %g exits", v.exits)
	}
	return text
}

// run runs the bench's command on one day. The bench tells a broken rule only in its report.
func run(ctx context.Context, command []string) (verdict, []byte, error) {
	text, err := exec.CommandContext(ctx, command[0], command[1:]...).CombinedOutput()
	v := judge(string(text))
	if err != nil && !v.played {
		return v, text, fmt.Errorf("%s: %w", command[0], err)
	}
	return v, text, nil
}

// playAll plays files, some at once, and says a line for each in their order. It gives how many broke and how
// many could not be played.
func playAll(ctx context.Context, out io.Writer, logs string, files, command []string, jobs int) (broken, unplayed int) {
	type result struct {
		line string
		verdict
	}
	play := func(file string) result {
		from := time.Now()
		v, text, err := run(ctx, append(slices.Clone(command), file))
		line := v.String()
		if err != nil {
			line = "NOT PLAYED: " + err.Error()
		}
		if logs != "" {
			name := strings.TrimSuffix(filepath.Base(file), ".toml") + ".txt"
			if err := os.WriteFile(filepath.Join(logs, name), text, 0o644); err != nil {
				line += "; " + err.Error()
			}
		}
		return result{fmt.Sprintf("%s: %s (%.0f s)", filepath.Base(file), line, time.Since(from).Seconds()), v}
	}
	results := make([]chan result, len(files))
	turn := make(chan struct{}, jobs)
	var all sync.WaitGroup
	for i := range files {
		results[i] = make(chan result, 1)
	}
	all.Go(func() {
		for i, file := range files {
			turn <- struct{}{}
			all.Go(func() {
				defer func() { <-turn }()
				results[i] <- play(file)
			})
		}
	})
	for i := range files {
		r := <-results[i]
		fmt.Fprintln(out, r.line)
		switch {
		case r.broken():
			broken++
		case !r.played:
			unplayed++
		}
	}
	all.Wait()
	fmt.Fprintf(out, "%d days, %d broken, %d not played\n", len(files), broken, unplayed)
	return broken, unplayed
}
