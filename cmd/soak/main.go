// Command soak runs seeded scenarios of signals, restarts and configuration changes on a deployment of real
// processes on loopback addresses, and reports which rules were violated.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"foxwood/internal/testing/soak"
)

// rollingRounds is how often each gatekeeper is restarted with the flag -rolling.
const rollingRounds = 2

func main() { os.Exit(run(os.Args[1:])) }

// run runs the scenarios that the arguments select and returns the exit code: 1 if a rule was violated or a run failed,
// 2 if nothing could be run.
func run(args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	programs := flags.String("programs", "target", "directory of the built programs")
	reportDir := flags.String("out", "", "directory for reports, and for logs of runs with findings; if empty, reports are only printed")
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of consecutive seeds to run")
	steps := flags.Int("steps", 6, "number of steps of a scenario")
	memoryMB := flags.Int64("memory", 10<<10, "memory limit in megabytes for all processes together")
	keepLogs := flags.Bool("logs", false, "also keep logs of runs without findings")
	rolling := flags.Duration("rolling", 0, "instead of generated steps, restart all gatekeepers twice, with this time between two restarts")
	broken := flags.Bool("broken", false, "also let workers break off answers, and vary the forms of answers and the clients")
	var size soak.Size
	flags.IntVar(&size.Zones, "zones", 4, "number of zones")
	flags.IntVar(&size.Gatekeepers, "gatekeepers", 12, "number of gatekeepers")
	flags.IntVar(&size.Cores, "cores", 5, "number of core machines")
	flags.IntVar(&size.Workers, "workers", 40, "number of workers")
	flags.IntVar(&size.Tenants, "tenants", 30, "number of tenants")
	flags.Float64Var(&size.RatePerS, "rate", 150, "requests per second")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	programDir, err := filepath.Abs(*programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	exitCode := 0
	for i := range *seeds {
		scenario := soak.RandomScenario(*seed+uint64(i), size, *steps)
		if *rolling > 0 {
			scenario = soak.RollingRestartScenario(*seed+uint64(i), size, rollingRounds, *rolling)
		}
		if *broken {
			scenario = scenario.WithBrokenAnswers()
		}
		code, err := runScenario(ctx, scenario, programDir, *reportDir, *memoryMB<<20, *keepLogs)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
		exitCode = max(exitCode, code)
		if ctx.Err() != nil {
			break
		}
	}
	return exitCode
}

// runScenario runs a scenario in its own temporary directory and writes its report.
func runScenario(ctx context.Context, scenario *soak.Scenario, programs, reportDir string, memoryLimit int64, keepLogs bool) (code int, err error) {
	workDir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 2, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(workDir)) }()
	run, err := soak.RunScenario(ctx, scenario, soak.Options{ProgramDir: programs, WorkDir: workDir, LoopbackPrefix: soak.LoopbackPrefix(), Timeline: os.Stdout, MaxMemoryBytes: memoryLimit})
	failed := err != nil
	report := fmt.Sprintf("%s%v\n", scenario, err)
	if !failed {
		report = run.Report()
		failed = len(run.Findings()) > 0
	}
	fmt.Print(report)
	if failed {
		code = 1
	}
	if reportDir == "" {
		return code, err
	}
	base := filepath.Join(reportDir, fmt.Sprintf("seed-%d", scenario.Seed))
	if err := os.MkdirAll(reportDir, 0o755); err != nil {
		return 2, err
	}
	if failed || keepLogs {
		err = errors.Join(err, run.KeepLogs(base+"-logs"))
	}
	return code, errors.Join(err, os.WriteFile(base+".txt", []byte(report), 0o644))
}
