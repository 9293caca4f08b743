// Package faultgen generates fault scenarios for a simulated deployment, runs them, and shrinks those that break a
// rule to a few events. A scenario is one simulated day: planned work and faults, each with its time. The
// commands and the files call it a day. A scenario is drawn at random from two inputs: the site file, which
// describes the deployment, and the simulator's description of the kinds of faults. The package itself knows no
// site: names, zones, sizes and variants of faults all come from these two files.
package faultgen

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/subcommands"
)

// Main runs the sub-command that the arguments name and returns the exit code.
func Main(args []string) int {
	flags := flag.NewFlagSet("forecast", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "forecast")
	commander.Register(commander.HelpCommand(), "")
	for _, command := range []subcommands.Command{&generateCommand{}, &runCommand{}, &verdictCommand{}, &shrinkCommand{}} {
		commander.Register(command, "")
	}
	if flags.Parse(args) != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return int(commander.Execute(ctx))
}

// noVerdictStatus is the exit status for a scenario without a verdict. ExitFailure means that a rule is broken.
const noVerdictStatus subcommands.ExitStatus = 3

// reportError prints an error and returns the exit status for a run without a verdict.
func reportError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return noVerdictStatus
}

// generateCommand generates scenarios and writes them to files.
type generateCommand struct {
	siteFile, kindsFile, profile, outDir string
	leftOut                              string
	firstSeed                            uint64
	count                                int
	lengthS                              float64
}

// Name returns the name of the sub-command.
func (*generateCommand) Name() string { return "draw" }

// Synopsis returns the one-line description.
func (*generateCommand) Synopsis() string { return "write days of trouble for a site" }

// Usage returns the help text.
func (*generateCommand) Usage() string {
	return "draw -site FILE -kinds FILE|- [-profile P] [-without KIND,...] [-seed N] [-days K] [-length S] -out DIR\n" +
		"  Write the days of K seeds from N on as TOML. One seed always gives the same bytes.\n"
}

// SetFlags defines the flags.
func (c *generateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.siteFile, "site", "", "site file")
	f.StringVar(&c.kindsFile, "kinds", "-", "what the bench says of the kinds at this site; - for standard input")
	f.StringVar(&c.profile, "profile", "all", strings.Join(profiles, ", "))
	f.StringVar(&c.leftOut, "without", "", "kinds that are left out, with commas between them")
	f.Uint64Var(&c.firstSeed, "seed", 1, "the first day's")
	f.IntVar(&c.count, "days", 1, "how many")
	f.Float64Var(&c.lengthS, "length", minLengthS, "seconds of traffic, 60 or more")
	f.StringVar(&c.outDir, "out", "", "folder for the days; is made")
}

// Execute runs the sub-command with the parsed flags.
func (c *generateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.siteFile == "" || c.outDir == "" || c.count < 1 || !slices.Contains(profiles, c.profile) || !(c.lengthS >= minLengthS) {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.writeScenarios(); err != nil {
		return reportError(err)
	}
	return subcommands.ExitSuccess
}

// writeScenarios generates the scenarios and writes each to a file.
func (c *generateCommand) writeScenarios() error {
	site, err := readSite(c.siteFile)
	if err != nil {
		return err
	}
	description, err := io.ReadAll(os.Stdin)
	if c.kindsFile != "-" {
		description, err = os.ReadFile(c.kindsFile)
	}
	if err != nil {
		return err
	}
	catalog, err := readKinds(string(description), site)
	if err != nil {
		return err
	}
	for name := range strings.SplitSeq(c.leftOut, ",") {
		if catalog.remove(name); len(catalog.kinds) == 0 {
			return errors.New("-without: expected at least one kind to remain, all are left out")
		}
	}
	if err := os.MkdirAll(c.outDir, 0o755); err != nil {
		return err
	}
	for i := range uint64(c.count) {
		generated := generate(site, catalog, c.profile, c.firstSeed+i, c.lengthS)
		file := filepath.Join(c.outDir, fmt.Sprintf("%s-%s-%d.toml", site.Name, c.profile, c.firstSeed+i))
		if err := os.WriteFile(file, generated.encode(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// runCommand runs the scenarios in a folder.
type runCommand struct {
	parallel    int
	scenarioDir string
	reportDir   string
}

// Name returns the name of the sub-command.
func (*runCommand) Name() string { return "play" }

// Synopsis returns the one-line description.
func (*runCommand) Synopsis() string { return "play a folder of days and say a verdict for each" }

// Usage returns the help text.
func (*runCommand) Usage() string {
	return "play [-jobs N] [-logs DIR] -days DIR COMMAND...\n" +
		"  Run COMMAND with each file's name behind it. Exits with 1 where a rule is broken, 3 where a day was not played.\n"
}

// SetFlags defines the flags.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.parallel, "jobs", 1, "plays at once")
	f.StringVar(&c.scenarioDir, "days", "", "folder of days")
	f.StringVar(&c.reportDir, "logs", "", "folder for reports; is made")
}

// Execute runs the sub-command with the parsed flags.
func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.scenarioDir == "" || c.parallel < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	files, err := filepath.Glob(filepath.Join(c.scenarioDir, "*.toml"))
	if err != nil {
		return reportError(err)
	}
	if len(files) == 0 {
		return reportError(fmt.Errorf("%s: expected at least one .toml file, found none", c.scenarioDir))
	}
	if c.reportDir != "" {
		if err := os.MkdirAll(c.reportDir, 0o755); err != nil {
			return reportError(err)
		}
	}
	return exitStatus(simulateAll(ctx, os.Stdout, c.reportDir, files, f.Args(), c.parallel))
}

// exitStatus returns the exit status for the given numbers of broken and unplayed scenarios.
func exitStatus(broken, unplayed int) subcommands.ExitStatus {
	switch {
	case broken > 0:
		return subcommands.ExitFailure
	case unplayed > 0:
		return noVerdictStatus
	}
	return subcommands.ExitSuccess
}

// verdictCommand runs one scenario and reports the verdict by its exit status.
type verdictCommand struct {
	rule    string
	maxRuns int
}

// Name returns the name of the sub-command.
func (*verdictCommand) Name() string { return "verdict" }

// Synopsis returns the one-line description.
func (*verdictCommand) Synopsis() string {
	return "play one day and tell by the exit status whether it broke"
}

// Usage returns the help text.
func (*verdictCommand) Usage() string {
	return "verdict [-rule NAME] [-tries N] COMMAND...\n" +
		"  Run a command that plays a day. Exits with 1 where a rule is broken, 0 where none is, 3 where there is no verdict.\n"
}

// SetFlags defines the flags.
func (c *verdictCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.rule, "rule", "", "only this one counts")
	f.IntVar(&c.maxRuns, "tries", 1, "plays until one breaks")
}

// Execute runs the sub-command with the parsed flags.
func (c *verdictCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.maxRuns < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	for range c.maxRuns {
		result, _, err := simulate(ctx, f.Args())
		if err != nil {
			return reportError(err)
		}
		fmt.Println(result)
		if !result.played && !result.broken() {
			return noVerdictStatus
		}
		if result.broken() && (c.rule == "" || result.brokenRules[c.rule] > 0) {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// shrinkCommand reduces a failing scenario to a minimal one that still fails.
type shrinkCommand struct {
	outFile string
}

// Name returns the name of the sub-command.
func (*shrinkCommand) Name() string { return "shrink" }

// Synopsis returns the one-line description.
func (*shrinkCommand) Synopsis() string { return "find the least of a broken day that still breaks" }

// Usage returns the help text.
func (*shrinkCommand) Usage() string {
	return "shrink -out FILE DAY COMMAND...\n" +
		"  Leave out entries and shorten the day (delta debugging) as long as COMMAND, with the file's name behind it,\n" +
		"  exits with 1: broken. 0: not; anything else ends the search.\n"
}

// SetFlags defines the flags.
func (c *shrinkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.outFile, "out", "", "file for the least day; the best so far is there all the while")
}

// Execute runs the sub-command with the parsed flags.
func (c *shrinkCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 || c.outFile == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.shrinkFile(ctx, f.Arg(0), f.Args()[1:]); err != nil {
		return reportError(err)
	}
	return subcommands.ExitSuccess
}

// shrinkFile reads a scenario, reduces it, and writes the best result so far to the output file after each success.
func (c *shrinkCommand) shrinkFile(ctx context.Context, file string, command []string) error {
	original, err := readScenario(file)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "forecast")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fails := commandPredicate(ctx, dir, command, os.Stderr)
	reducer := &shrinker{log: os.Stderr, fails: func(candidate scenario) (bool, error) {
		failing, err := fails(candidate)
		if failing && err == nil {
			err = os.WriteFile(c.outFile, candidate.encode(), 0o644)
		}
		return failing, err
	}}
	smallest, err := reducer.shrink(original)
	if err != nil {
		return err
	}
	return os.WriteFile(c.outFile, smallest.encode(), 0o644)
}
