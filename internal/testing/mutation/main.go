// Command mutation runs mutation tests: it compiles the code with one known fault at a time, and reports whether the
// tests detect it. The working tree is not changed, since the changed file is given to the compiler as an overlay.
// Run it from the root of the module:
//
//	go run ./internal/testing/mutation [-jobs 2] [-only REGEXP] [-table FILE]
//
// It exits with status 1 if a fault is not detected, or if the code that a fault replaces is no longer found exactly
// once in its file. In the second case the table in faults.go has to be updated.
package main

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// fault is a change that makes the code wrong, with the tests that must detect it.
type fault struct {
	corner, name string // the area of the system and the fault, as shown in the results
	file         string // path from the root of the module
	old, wrong   string // the code and its replacement; old occurs exactly once in the file
	tests        string // regular expression for the names of the tests
	in           string // package of the tests; empty means the package of the file
}

const (
	testTimeout = 4 * time.Minute // time limit for one run of tests
	moduleFile  = "go.mod"        // file that marks the root of the module
)

// verdict is the result of trying a fault.
type verdict struct {
	detectedBy string // the first test that failed; empty if none did
	err        error  // why the fault could not be tried
}

func main() {
	jobs := flag.Int("jobs", 2, "faults that are tried at a time")
	only := flag.String("only", "", "only faults whose corner or name matches")
	table := flag.String("table", "", "write the results as a table to this file")
	flag.Parse()
	if err := run(*jobs, *only, *table); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run tries the faults that match, up to jobs at a time, and returns an error if any is not detected.
func run(jobs int, only, tableFile string) error {
	if _, err := os.Stat(moduleFile); err != nil {
		return fmt.Errorf("expected to run at the root of the module: %w", err)
	}
	pattern, err := regexp.Compile(only)
	if err != nil {
		return fmt.Errorf("-only: expected a regular expression: %w", err)
	}
	var chosen []fault
	for _, f := range faults {
		if pattern.MatchString(f.corner) || pattern.MatchString(f.name) {
			chosen = append(chosen, f)
		}
	}
	verdicts := make([]verdict, len(chosen))
	indices := make(chan int)
	var workers sync.WaitGroup
	for range max(jobs, 1) {
		workers.Go(func() {
			for i := range indices {
				began := time.Now()
				verdicts[i] = tryFault(&chosen[i])
				fmt.Printf("%-9s %s: %s (%.0f s)\n", verdicts[i].status(), chosen[i].name, verdicts[i].detail(), time.Since(began).Seconds())
			}
		})
	}
	for i := range chosen {
		indices <- i
	}
	close(indices)
	workers.Wait()
	undetected := 0
	var results bytes.Buffer
	results.WriteString("| corner | fault that was put in | file | noticed by |\n| --- | --- | --- | --- |\n")
	for i, f := range chosen {
		v := verdicts[i]
		if v.detectedBy == "" {
			undetected++
		}
		fmt.Fprintf(&results, "| %s | %s | `%s` | %s |\n", f.corner, f.name, f.file, cmp.Or(v.detectedBy, v.status()))
	}
	if tableFile != "" {
		if err := os.WriteFile(tableFile, results.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if undetected > 0 {
		return fmt.Errorf("%d of %d faults were not noticed", undetected, len(chosen))
	}
	fmt.Printf("%d faults, each noticed\n", len(chosen))
	return nil
}

// status returns the verdict as it is shown in the results.
func (v verdict) status() string {
	switch {
	case v.err != nil:
		return "not tried"
	case v.detectedBy == "":
		return "unnoticed"
	}
	return "noticed"
}

// detail returns the reason for the verdict.
func (v verdict) detail() string {
	if v.err != nil {
		return v.err.Error()
	}
	return cmp.Or(v.detectedBy, "all tests passed")
}

// tryFault writes a file with the fault to a temporary folder, has the compiler read it in place of the original, and runs
// the tests: first those named by the fault and, if they pass, all tests of the package.
func tryFault(f *fault) (v verdict) {
	code, err := os.ReadFile(f.file)
	if err != nil {
		return verdict{err: err}
	}
	if n := bytes.Count(code, []byte(f.old)); n != 1 {
		return verdict{err: fmt.Errorf("expected the code to replace once in %s, found it %d times", f.file, n)}
	}
	overlayDir, err := os.MkdirTemp("", "mutation")
	if err != nil {
		return verdict{err: err}
	}
	defer os.RemoveAll(overlayDir)
	original, err := filepath.Abs(f.file)
	if err != nil {
		return verdict{err: err}
	}
	faulty, overlay := filepath.Join(overlayDir, filepath.Base(f.file)), filepath.Join(overlayDir, "overlay.json")
	if err := os.WriteFile(faulty, bytes.Replace(code, []byte(f.old), []byte(f.wrong), 1), 0o600); err != nil {
		return verdict{err: err}
	}
	if err := os.WriteFile(overlay, fmt.Appendf(nil, `{"Replace":{%q:%q}}`, original, faulty), 0o600); err != nil {
		return verdict{err: err}
	}
	pkg := "./" + cmp.Or(f.in, filepath.Dir(f.file))
	if v = runTests(overlay, pkg, "^("+f.tests+")$"); v.err != nil || v.detectedBy != "" {
		return v
	}
	if v = runTests(overlay, pkg, "."); v.detectedBy != "" {
		v.detectedBy += " (not by " + f.tests + ")"
	}
	return v
}

// failurePattern matches the name of a failed test in the output of go test.
var failurePattern = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// runTests runs tests of a package with the given overlay and returns the first that failed. Tests that panic or run into
// the time limit have detected the fault, too. Code that doesn't compile is an error.
func runTests(overlay, pkg, names string) verdict {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+time.Minute)
	defer cancel()
	out, err := exec.CommandContext(ctx, "go", "test", "-overlay", overlay, "-count=1", "-failfast", "-timeout", testTimeout.String(), "-run", names, pkg).CombinedOutput()
	text := string(out)
	switch {
	case strings.Contains(text, "[build failed]") || strings.Contains(text, "[setup failed]"):
		return verdict{err: fmt.Errorf("does not compile: %.300s", text)}
	case err == nil:
		return verdict{}
	}
	if match := failurePattern.FindStringSubmatch(text); match != nil {
		name, _, _ := strings.Cut(match[1], "/")
		return verdict{detectedBy: "`" + name + "`"}
	}
	if strings.Contains(text, "panic:") {
		return verdict{detectedBy: "a panic or the time limit in " + names}
	}
	return verdict{err: fmt.Errorf("%w: %.300s", err, text)}
}
