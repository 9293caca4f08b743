package faultgen

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

// verdict is the result of simulating a scenario.
type verdict struct {
	played        bool
	brokenRules   map[string]int // number of violations by the name of the rule
	otherFailure  string         // failure other than a broken rule; empty for none
	worth         float64        // the report's column "worth"
	missedActions int            // operator actions that were never acknowledged
	exits         float64        // greatest number of "exits of its own" in the report
}

// Patterns for the lines of the simulator's report.
var (
	rulesPattern        = regexp.MustCompile(`(?m)^rules broken: (.+)$`)
	rulePattern         = regexp.MustCompile(`([A-Z]+) ([0-9]+)`)
	scorePattern        = regexp.MustCompile(`(?m)^day +own/srv +score +worth.*\n(\S+) +\S+ +[-0-9.]+ +([-0-9.]+) .*$`)
	otherFailurePattern = regexp.MustCompile(`(?m)^(?i:fault|gate|given up|not played)\b.*$`)
	exitsPattern        = regexp.MustCompile(`([0-9.]+) exits of its own`)
)

// parseReport parses the simulator's report.
func parseReport(report string) verdict {
	result := verdict{brokenRules: map[string]int{}}
	if match := scorePattern.FindStringSubmatch(report); match != nil {
		result.played = true
		result.worth, _ = strconv.ParseFloat(match[2], 64)
	}
	if match := rulesPattern.FindStringSubmatch(report); match != nil {
		for _, rule := range rulePattern.FindAllStringSubmatch(match[1], -1) {
			result.brokenRules[rule[1]], _ = strconv.Atoi(rule[2])
		}
		if len(result.brokenRules) == 0 {
			result.otherFailure = match[1]
		}
	}
	if match := otherFailurePattern.FindString(report); match != "" && !strings.Contains(match, "GATE passed") {
		result.otherFailure = match
	}
	result.missedActions = strings.Count(report, "\n  missed: ")
	// The table of prices leaves out exits on machines with a fault; the line of the day has all of them.
	for _, match := range exitsPattern.FindAllStringSubmatch(report, -1) {
		exits, _ := strconv.ParseFloat(match[1], 64)
		result.exits = max(result.exits, exits)
	}
	return result
}

// broken reports whether the scenario failed.
func (v verdict) broken() bool { return len(v.brokenRules) > 0 || v.otherFailure != "" }

// String returns the verdict as one line of the summary.
func (v verdict) String() string {
	if !v.played && !v.broken() {
		return "NOT PLAYED"
	}
	var parts []string
	for rule, n := range v.brokenRules {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(parts)
	if v.otherFailure != "" {
		parts = append(parts, v.otherFailure)
	}
	if len(parts) == 0 {
		parts = append(parts, "holds")
	}
	line := fmt.Sprintf("%s; worth %.3f", strings.Join(parts, ", "), v.worth)
	if v.missedActions > 0 {
		line += fmt.Sprintf("; %d orders missed", v.missedActions)
	}
	if v.exits > 0 {
		line += fmt.Sprintf("; %g exits", v.exits)
	}
	return line
}

// simulate runs the simulator's command on one scenario and returns the verdict and the report. The verdict comes from
// the report, because the simulator's exit status doesn't tell of broken rules.
func simulate(ctx context.Context, command []string) (verdict, []byte, error) {
	report, err := exec.CommandContext(ctx, command[0], command[1:]...).CombinedOutput()
	result := parseReport(string(report))
	if err != nil && !result.played {
		return result, report, fmt.Errorf("%s: %w", command[0], err)
	}
	return result, report, nil
}

// simulateAll runs the scenarios in the given files, up to jobs at a time, and prints a line for each in the order of
// the files. It returns the number of scenarios that failed and the number that could not be run.
func simulateAll(ctx context.Context, out io.Writer, reportDir string, files, command []string, jobs int) (broken, unplayed int) {
	type result struct {
		line string
		verdict
	}
	simulateFile := func(file string) result {
		started := time.Now()
		parsed, report, err := simulate(ctx, append(slices.Clone(command), file))
		line := parsed.String()
		if err != nil {
			line = "NOT PLAYED: " + err.Error()
		}
		if reportDir != "" {
			name := strings.TrimSuffix(filepath.Base(file), ".toml") + ".txt"
			if err := os.WriteFile(filepath.Join(reportDir, name), report, 0o644); err != nil {
				line += "; " + err.Error()
			}
		}
		return result{fmt.Sprintf("%s: %s (%.0f s)", filepath.Base(file), line, time.Since(started).Seconds()), parsed}
	}
	results := make([]chan result, len(files))
	slots := make(chan struct{}, jobs)
	var running sync.WaitGroup
	for i := range files {
		results[i] = make(chan result, 1)
	}
	running.Go(func() {
		for i, file := range files {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				results[i] <- simulateFile(file)
			})
		}
	})
	for i := range files {
		finished := <-results[i]
		fmt.Fprintln(out, finished.line)
		switch {
		case finished.broken():
			broken++
		case !finished.played:
			unplayed++
		}
	}
	running.Wait()
	fmt.Fprintf(out, "%d days, %d broken, %d not played\n", len(files), broken, unplayed)
	return broken, unplayed
}
