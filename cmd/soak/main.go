// Command soak plays seeded scenarios of signals, restarts and changes on a fleet of real processes over
// loopback, and tells which rules they broke.
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

// rollingRounds is how often a rolling restart goes through all gatekeepers.
const rollingRounds = 2

func main() { os.Exit(run(os.Args[1:])) }

// run plays what the arguments name; its result is 1 where a rule was broken, 2 where nothing could be played.
func run(args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	programs := flags.String("programs", "target", "folder of the built programs")
	out := flags.String("out", "", "folder for reports, and for logs of runs with findings; empty: reports are only printed")
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "how many seeds to play, one after the other")
	steps := flags.Int("steps", 6, "steps of a scenario")
	memory := flags.Int64("memory", 10<<10, "megabytes that the processes may hold together")
	keep := flags.Bool("logs", false, "keep logs of runs without findings too")
	rolling := flags.Duration("rolling", 0, "in place of drawn steps, restart all gatekeepers twice, so far apart")
	var size soak.Size
	flags.IntVar(&size.Zones, "zones", 4, "zones")
	flags.IntVar(&size.Gatekeepers, "gatekeepers", 12, "gatekeepers")
	flags.IntVar(&size.Cores, "cores", 5, "core machines")
	flags.IntVar(&size.Workers, "workers", 40, "workers")
	flags.IntVar(&size.Tenants, "tenants", 30, "tenants")
	flags.Float64Var(&size.RatePerS, "rate", 150, "requests a second")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	path, err := filepath.Abs(*programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	worst := 0
	for n := range *seeds {
		scenario := soak.Draw(*seed+uint64(n), size, *steps)
		if *rolling > 0 {
			scenario = soak.Rolling(*seed+uint64(n), size, rollingRounds, *rolling)
		}
		code, err := play(ctx, scenario, path, *out, *memory<<20, *keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
		worst = max(worst, code)
		if ctx.Err() != nil {
			break
		}
	}
	return worst
}

// play plays one scenario in a folder of its own.
func play(ctx context.Context, scenario *soak.Scenario, programs, out string, memory int64, keep bool) (code int, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 2, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	played, err := soak.Play(ctx, scenario, soak.Options{Programs: programs, Dir: dir, Network: soak.Network(), Log: os.Stdout, Memory: memory})
	failed := err != nil
	text := fmt.Sprintf("%s%v\n", scenario, err)
	if !failed {
		text = played.Report()
		failed = len(played.Findings()) > 0
	}
	fmt.Print(text)
	if failed {
		code = 1
	}
	if out == "" {
		return code, err
	}
	name := filepath.Join(out, fmt.Sprintf("seed-%d", scenario.Seed))
	if err := os.MkdirAll(out, 0o755); err != nil {
		return 2, err
	}
	if failed || keep {
		err = errors.Join(err, played.KeepLogs(name+"-logs"))
	}
	return code, errors.Join(err, os.WriteFile(name+".txt", []byte(text), 0o644))
}
