// Package forecast draws days of trouble for a deployment from its site file and the bench's description of
// kinds, plays them, and shrinks those that break a rule to a few entries. It knows no site: names, zones, sizes
// and variants all come from the two files.
package forecast

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

// Main runs the command that the arguments name.
func Main(args []string) int {
	set := flag.NewFlagSet("forecast", flag.ContinueOnError)
	c := subcommands.NewCommander(set, "forecast")
	c.Register(c.HelpCommand(), "")
	for _, each := range []subcommands.Command{&drawCommand{}, &playCommand{}, &verdictCommand{}, &shrinkCommand{}} {
		c.Register(each, "")
	}
	if set.Parse(args) != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return int(c.Execute(ctx))
}

// unplayedStatus is no verdict; ExitFailure means that a rule is broken.
const unplayedStatus subcommands.ExitStatus = 3

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return unplayedStatus
}

type drawCommand struct {
	site, kinds, profile, out string
	without                   string
	seed                      uint64
	days                      int
	length                    float64
}

func (*drawCommand) Name() string     { return "draw" }
func (*drawCommand) Synopsis() string { return "write days of trouble for a site" }
func (*drawCommand) Usage() string {
	return "draw -site FILE -kinds FILE|- [-profile P] [-without KIND,...] [-seed N] [-days K] [-length S] -out DIR\n" +
		"  Write the days of K seeds from N on as TOML. One seed always gives the same bytes.\n"
}

func (c *drawCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "", "site file")
	f.StringVar(&c.kinds, "kinds", "-", "what the bench says of the kinds at this site; - for standard input")
	f.StringVar(&c.profile, "profile", "all", strings.Join(profiles, ", "))
	f.StringVar(&c.without, "without", "", "kinds that are left out, with commas between them")
	f.Uint64Var(&c.seed, "seed", 1, "the first day's")
	f.IntVar(&c.days, "days", 1, "how many")
	f.Float64Var(&c.length, "length", shortestS, "seconds of traffic, 60 or more")
	f.StringVar(&c.out, "out", "", "folder for the days; is made")
}

func (c *drawCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.site == "" || c.out == "" || c.days < 1 || !slices.Contains(profiles, c.profile) || !(c.length >= shortestS) {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.draw(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *drawCommand) draw() error {
	s, err := readSite(c.site)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(os.Stdin)
	if c.kinds != "-" {
		text, err = os.ReadFile(c.kinds)
	}
	if err != nil {
		return err
	}
	k, err := readKinds(string(text), s)
	if err != nil {
		return err
	}
	for name := range strings.SplitSeq(c.without, ",") {
		if k.leave(name); len(k.list) == 0 {
			return errors.New("no kind is left")
		}
	}
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return err
	}
	for i := range uint64(c.days) {
		d := draw(s, k, c.profile, c.seed+i, c.length)
		file := filepath.Join(c.out, fmt.Sprintf("%s-%s-%d.toml", s.Name, c.profile, c.seed+i))
		if err := os.WriteFile(file, d.text(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

type playCommand struct {
	jobs int
	days string
	logs string
}

func (*playCommand) Name() string     { return "play" }
func (*playCommand) Synopsis() string { return "play a folder of days and say a verdict for each" }
func (*playCommand) Usage() string {
	return "play [-jobs N] [-logs DIR] -days DIR COMMAND...\n" +
		"  Run COMMAND with each file's name behind it. Exits with 1 where a rule is broken, 3 where a day was not played.\n"
}

func (c *playCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.jobs, "jobs", 1, "plays at once")
	f.StringVar(&c.days, "days", "", "folder of days")
	f.StringVar(&c.logs, "logs", "", "folder for reports; is made")
}

func (c *playCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.days == "" || c.jobs < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	files, err := filepath.Glob(filepath.Join(c.days, "*.toml"))
	if err != nil {
		return fail(err)
	}
	if len(files) == 0 {
		return fail(fmt.Errorf("%s: no days", c.days))
	}
	if c.logs != "" {
		if err := os.MkdirAll(c.logs, 0o755); err != nil {
			return fail(err)
		}
	}
	return status(playAll(ctx, os.Stdout, c.logs, files, f.Args(), c.jobs))
}

func status(broken, unplayed int) subcommands.ExitStatus {
	switch {
	case broken > 0:
		return subcommands.ExitFailure
	case unplayed > 0:
		return unplayedStatus
	}
	return subcommands.ExitSuccess
}

type verdictCommand struct {
	rule  string
	tries int
}

func (*verdictCommand) Name() string { return "verdict" }
func (*verdictCommand) Synopsis() string {
	return "play one day and tell by the exit status whether it broke"
}
func (*verdictCommand) Usage() string {
	return "verdict [-rule NAME] [-tries N] COMMAND...\n" +
		"  Run a command that plays a day. Exits with 1 where a rule is broken, 0 where none is, 3 where there is no verdict.\n"
}

func (c *verdictCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.rule, "rule", "", "only this one counts")
	f.IntVar(&c.tries, "tries", 1, "plays until one breaks")
}

func (c *verdictCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.tries < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	for range c.tries {
		v, _, err := run(ctx, f.Args())
		if err != nil {
			return fail(err)
		}
		fmt.Println(v)
		if !v.played && !v.broken() {
			return unplayedStatus
		}
		if v.broken() && (c.rule == "" || v.rules[c.rule] > 0) {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

type shrinkCommand struct {
	out string
}

func (*shrinkCommand) Name() string     { return "shrink" }
func (*shrinkCommand) Synopsis() string { return "find the least of a broken day that still breaks" }
func (*shrinkCommand) Usage() string {
	return "shrink -out FILE DAY COMMAND...\n" +
		"  Leave out entries and shorten the day (delta debugging) as long as COMMAND, with the file's name behind it,\n" +
		"  exits with 1: broken. 0: not; anything else ends the search.\n"
}

func (c *shrinkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "file for the least day; the best so far is there all the while")
}

func (c *shrinkCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 || c.out == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.shrink(ctx, f.Arg(0), f.Args()[1:]); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *shrinkCommand) shrink(ctx context.Context, file string, command []string) error {
	d, err := readDay(file)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "forecast")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ask := asking(ctx, dir, command, os.Stderr)
	s := &shrinker{log: os.Stderr, broken: func(d day) (bool, error) {
		is, err := ask(d)
		if is && err == nil {
			err = os.WriteFile(c.out, d.text(), 0o644)
		}
		return is, err
	}}
	least, err := s.shrink(d)
	if err != nil {
		return err
	}
	return os.WriteFile(c.out, least.text(), 0o644)
}
