package simulation

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Main runs the simulation with the command-line arguments and returns the exit code.
func Main(args []string) int {
	flags := flag.NewFlagSet("brocken", flag.ContinueOnError)
	out := flags.String("out", "", "directory for shadow.svg and shadow-tables.md; empty: only print the tables")
	plan := Plan{}
	flags.Uint64Var(&plan.Seed, "seed", 1, "random seed; a run with the same seed gives the same result")
	flags.IntVar(&plan.Gatekeepers, "gatekeepers", 12, "number of gatekeepers, 4 to 64")
	flags.IntVar(&plan.Flows, "journeys", 300_000, "approximate number of flows in the week, at least 100")
	flags.Float64Var(&plan.PollIntervalS, "ask", 30, "seconds between two fetches from one gatekeeper, 0.5 to 60")
	flags.StringVar(&plan.Fault, "fault", "", "fault to plant, to test that the ledger detects it; one of: "+fmt.Sprint(slices.Sorted(maps.Keys(plantedFaults))))
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "brocken [-out DIR] [-seed N] [-gatekeepers N] [-journeys N] [-ask S] [-fault NAME]\n\tSimulate a busy week of traffic mirroring on a virtual clock. Exits with 1 if a copy went to a live\n"+
			"\tworker, an unsafe request ran twice, an incomplete flow was delivered as complete, a copy was sent twice,\n\ttwo gatekeepers selected differently under one rule, or over 1% of a calm day's flows were not complete.")
		flags.PrintDefaults()
	}
	if flags.Parse(args) != nil {
		return 2
	}
	if flags.NArg() > 0 || plan.Gatekeepers < 4 || plan.Gatekeepers > 64 || plan.Flows < 100 || !(plan.PollIntervalS >= 0.5 && plan.PollIntervalS <= 60) || plan.Fault != "" && plantedFaults[plan.Fault] == "" {
		flags.Usage()
		return 2
	}
	startedAt := time.Now()
	sim := simulate(plan)
	report := sim.markdown(time.Since(startedAt))
	fmt.Print(report)
	if *out != "" {
		for name, body := range map[string]string{"shadow-tables.md": report, "shadow.svg": sim.chart()} {
			if err := os.WriteFile(filepath.Join(*out, name), []byte(body), 0o644); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
		}
	}
	violations := sim.ledger.violations(sim.plan.Days)
	for _, check := range slices.Sorted(maps.Keys(violations)) {
		fmt.Fprintf(os.Stderr, "brocken: %s: %s\n", check, violations[check])
	}
	if len(violations) > 0 {
		return 1
	}
	return 0
}
