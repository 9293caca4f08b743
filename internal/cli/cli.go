// Package cli is the command line of the system's programs.
package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/metrics"
	"foxwood/internal/rpc"
	"foxwood/internal/spur"
	"foxwood/internal/timetable"
	"foxwood/internal/waymark"
)

// Runner is a program that serves.
type Runner interface {
	// Serve returns once the context has ended and all that was owed is done.
	Serve(ctx context.Context) error
	// Reload takes settings that have changed.
	Reload(set *bootconfig.Settings)
}

// Program is one of the system's programs.
type Program struct {
	Name    string
	Summary string
	Flags   func(*flag.FlagSet) // of its serve command, nil for none
	Check   func() error        // of what they say
	Make    func(set *bootconfig.Settings, log zerolog.Logger) (Runner, error)
}

// Main runs the command that the arguments name, and returns the exit status.
func Main(p Program) int {
	set := flag.NewFlagSet(p.Name, flag.ExitOnError)
	c := subcommands.NewCommander(set, p.Name)
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(&serve{p: p}, "")
	c.Register(&check{}, "")
	c.Register(&status{}, "")
	c.Register(&shed{}, "")
	c.Register(&shadow{}, "")
	c.Register(&forget{}, "")
	c.Register(&rebuild{}, "")
	c.Register(&version{}, "")
	_ = set.Parse(os.Args[1:])
	return int(c.Execute(context.Background()))
}

// plain holds what the commands have alike.
type plain struct{}

func (plain) SetFlags(*flag.FlagSet) {}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

type serve struct {
	p       Program
	metrics string
}

func (*serve) Name() string       { return "serve" }
func (c *serve) Synopsis() string { return c.p.Summary }
func (c *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.metrics, "metrics", "", "PORT/PATH at which to serve the process's figures; the settings' own goes before it")
	if c.p.Flags != nil {
		c.p.Flags(f)
	}
}
func (c *serve) Usage() string {
	return "serve\n\tServe by the settings file that " + bootconfig.Variable + " names, until SIGTERM has been answered to the\n" +
		"\tend. SIGHUP reads the file again.\n"
}

// lookEvery is how often the settings file is looked at, as it may change without a signal.
const lookEvery = 2 * time.Second

func (c *serve) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stop, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	if c.p.Check != nil {
		if err := c.p.Check(); err != nil {
			return fail(err)
		}
	}
	set, err := bootconfig.Read()
	if err != nil {
		return fail(err)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", c.p.Name).Str("station", set.Station).Logger()
	r, err := c.p.Make(set, log)
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return subcommands.ExitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		s := <-stop
		log.Info().Stringer("signal", s).Msg("ending")
		cancel()
	}()
	if err := c.serveMetrics(ctx, set, r); err != nil { // traffic goes before figures
		log.Error().Err(err).Msg("figures are not served")
	}
	go watch(ctx, again, r, log)
	if err := r.Serve(ctx); err != nil {
		log.Error().Err(err).Msg("ended with a fault")
		return subcommands.ExitFailure
	}
	log.Info().Msg("ended")
	return subcommands.ExitSuccess
}

// serveMetrics serves a runner's figures where the settings or the command line name a place for them.
func (c *serve) serveMetrics(ctx context.Context, set *bootconfig.Settings, r Runner) error {
	where := cmp.Or(set.Metrics, c.metrics)
	source, ok := r.(metrics.Source)
	if where == "" || !ok {
		return nil
	}
	at, err := metrics.ParseEndpoint(where)
	if err != nil {
		return err
	}
	return metrics.Serve(ctx, set.IP, at, source)
}

// watch reads the settings again when told, or when the file has changed. One with a fault
// changes nothing.
func watch(ctx context.Context, again <-chan os.Signal, r Runner, log zerolog.Logger) {
	path := os.Getenv(bootconfig.Variable)
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	changed := func() time.Time {
		at, err := os.Stat(path)
		if err != nil {
			return time.Time{}
		}
		return at.ModTime()
	}
	last := changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-look.C:
			if at := changed(); at.IsZero() || at.Equal(last) {
				continue
			}
		}
		last = changed()
		set, err := bootconfig.Read()
		if err != nil {
			log.Error().Err(err).Msg("settings not replaced, the old ones hold")
			continue
		}
		log.Info().Strs("firstStations", set.FirstStations).Msg("settings replaced")
		r.Reload(set)
	}
}

type check struct {
	settings, table, shadow string
}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "Say every fault of a settings file or of a configuration" }
func (*check) Usage() string {
	return "check [-settings FILE] [-timetable FILE] [-shadow FILE]\n\tName each field that has a fault, and why. Exits with 1 where there is one.\n"
}
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "a settings file, as "+bootconfig.Variable+" names one (TOML)")
	f.StringVar(&c.table, "timetable", "", "an operator's configuration, as PUT /timetable takes it (JSON); - for standard input")
	f.StringVar(&c.shadow, "shadow", "", "an operator's order for copies, as PUT /shadow takes it (JSON); - for standard input")
}

func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" && c.table == "" && c.shadow == "" {
		fmt.Fprintln(os.Stderr, "check: none of -settings, -timetable and -shadow names a file")
		return subcommands.ExitUsageError
	}
	bad := false
	if c.settings != "" {
		if _, err := bootconfig.File(c.settings); err != nil {
			fmt.Println(err)
			bad = true
		}
	}
	if c.table != "" {
		text, err := readAll(c.table)
		if err != nil {
			return fail(err)
		}
		for _, f := range timetable.Check(text) {
			fmt.Printf("%s: %s\n", c.table, f.Error())
			bad = true
		}
	}
	if c.shadow != "" {
		text, err := readAll(c.shadow)
		if err != nil {
			return fail(err)
		}
		_, faults := spur.ReadOrder(text)
		for i := range faults {
			fmt.Printf("%s: %s\n", c.shadow, faults[i].Error())
			bad = true
		}
	}
	if bad {
		return subcommands.ExitFailure
	}
	fmt.Println("no faults")
	return subcommands.ExitSuccess
}

func readAll(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type status struct{ patience time.Duration }

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "Ask running processes how they stand" }
func (*status) Usage() string {
	return "status [-patience DURATION] ADDRESS...\n\tAsk each process at its inner address (ip:port, of innerDocks) who is a member, which view and\n" +
		"\tversions hold, who has which duty, and what each tenant's slices are.\n"
}
func (c *status) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.patience, "patience", time.Second, "how long to wait for each")
}

func (c *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "status: no address")
		return subcommands.ExitUsageError
	}
	exit := subcommands.ExitSuccess
	for _, addr := range f.Args() {
		p := rpc.NewPeer(addr)
		ctx, cancel := context.WithTimeout(ctx, c.patience)
		s, err := rpc.Call[waymark.AskStatus, waymark.Status](ctx, p, waymark.AskStatus{})
		cancel()
		p.Close()
		if err != nil {
			fmt.Printf("%s: %v\n", addr, err)
			exit = subcommands.ExitFailure
			continue
		}
		fmt.Printf("%s\n  %s\n", addr, strings.Join(s.Lines, "\n  "))
	}
	return exit
}

type version struct{ plain }

func (*version) Name() string     { return "version" }
func (*version) Synopsis() string { return "Say what was built" }
func (*version) Usage() string    { return "version\n" }

func (*version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fail(fmt.Errorf("the program holds no build information"))
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("foxwood, commit %s, %s\n", revision, info.GoVersion)
	return subcommands.ExitSuccess
}
