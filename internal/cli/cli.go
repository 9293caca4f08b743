// Package cli implements the command line of the system's programs: the command serve, and the operator's commands.
package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/control/routeconfig"
	"foxwood/internal/dataplane/mirror"
	"foxwood/internal/metrics"
	"foxwood/internal/processsignals"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// Runner is a process that serves.
type Runner interface {
	// Serve runs until the context ends and the graceful shutdown is complete.
	Serve(ctx context.Context) error
	// Reload applies changed settings.
	Reload(settings *bootconfig.Settings)
}

// Program describes one of the system's programs.
type Program struct {
	Name        string
	Summary     string
	DefineFlags func(*flag.FlagSet) // defines flags of the serve command; nil for none
	CheckFlags  func() error        // checks the values of these flags; nil for none
	// NewRunner creates the runner of the serve command.
	NewRunner func(settings *bootconfig.Settings, log zerolog.Logger) (Runner, error)
}

// Main runs the command in the arguments of the process and returns its exit status.
func Main(program Program) int {
	flags := flag.NewFlagSet(program.Name, flag.ExitOnError)
	commander := subcommands.NewCommander(flags, program.Name)
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&serve{program: program}, "")
	commander.Register(&check{}, "")
	commander.Register(&status{}, "")
	commander.Register(&shed{}, "")
	commander.Register(&shadow{}, "")
	commander.Register(&forget{}, "")
	commander.Register(&rebuild{}, "")
	commander.Register(&version{}, "")
	_ = flags.Parse(os.Args[1:])
	return int(commander.Execute(context.Background()))
}

// noFlags is embedded in commands without flags.
type noFlags struct{}

func (noFlags) SetFlags(*flag.FlagSet) {}

// fail prints an error and returns the exit status for it.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// serve is the command that runs the program.
type serve struct {
	program Program
	metrics string
}

func (*serve) Name() string       { return processsignals.ServeCommand }
func (c *serve) Synopsis() string { return c.program.Summary }
func (c *serve) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.metrics, "metrics", "", "PORT/PATH at which to serve metrics; the settings file takes precedence")
	if c.program.DefineFlags != nil {
		c.program.DefineFlags(flags)
	}
}
func (c *serve) Usage() string {
	return "serve\n\tServe with the settings file that " + bootconfig.EnvVariable + " names. SIGTERM starts a graceful shutdown, SIGHUP reloads\n" +
		"\tthe file.\n"
}

// settingsCheckInterval is how often the settings file is checked for changes, as it may change without a signal.
const settingsCheckInterval = 2 * time.Second

func (c *serve) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals, reload := processsignals.Receive()
	if c.program.CheckFlags != nil {
		if err := c.program.CheckFlags(); err != nil {
			return fail(err)
		}
	}
	settings, err := bootconfig.Read()
	if err != nil {
		return fail(err)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", c.program.Name).Str("station", settings.Node).Logger()
	runner, err := c.program.NewRunner(settings, log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return subcommands.ExitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		received := <-signals
		log.Info().Stringer("signal", received).Msg("shutting down")
		cancel()
	}()
	if err := c.serveMetrics(ctx, settings, runner); err != nil { // a failure must not prevent serving traffic
		log.Error().Err(err).Msg("serving without metrics")
	}
	go watchSettings(ctx, reload, runner, log)
	if err := runner.Serve(ctx); err != nil {
		log.Error().Err(err).Msg("terminated with an error")
		return subcommands.ExitFailure
	}
	log.Info().Msg("terminated")
	return subcommands.ExitSuccess
}

// serveMetrics serves a runner's metrics if the settings or the command line name an endpoint.
func (c *serve) serveMetrics(ctx context.Context, settings *bootconfig.Settings, runner Runner) error {
	address := cmp.Or(settings.Metrics, c.metrics)
	source, ok := runner.(metrics.Source)
	if address == "" || !ok {
		return nil
	}
	endpoint, err := metrics.ParseEndpoint(address)
	if err != nil {
		return err
	}
	return metrics.Serve(ctx, settings.IP, endpoint, source)
}

// watchSettings reloads the settings on a signal or if the file has changed. An invalid file changes nothing.
func watchSettings(ctx context.Context, reload <-chan os.Signal, runner Runner, log zerolog.Logger) {
	path := os.Getenv(bootconfig.EnvVariable)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	modTime := func() time.Time {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}
		}
		return info.ModTime()
	}
	lastModTime := modTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			if current := modTime(); current.IsZero() || current.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime()
		settings, err := bootconfig.Read()
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded, the previous ones stay in force")
			continue
		}
		log.Info().Strs("firstStations", settings.SeedNodes).Msg("settings reloaded")
		runner.Reload(settings)
	}
}

// check is the command that checks files.
type check struct {
	settings, table, shadow string
}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "Check a settings file, a configuration or a mirroring order" }
func (*check) Usage() string {
	return "check [-settings FILE] [-timetable FILE] [-shadow FILE]\n\tPrint every invalid field and the reason. The exit status is 1 if there are any.\n"
}
func (c *check) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "a settings file (TOML), see "+bootconfig.EnvVariable)
	flags.StringVar(&c.table, "timetable", "", "a configuration as for PUT /timetable (JSON); - for standard input")
	flags.StringVar(&c.shadow, "shadow", "", "a traffic mirroring order as for PUT /shadow (JSON); - for standard input")
}

func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" && c.table == "" && c.shadow == "" {
		fmt.Fprintln(os.Stderr, "check: expected a file for at least one of -settings, -timetable and -shadow")
		return subcommands.ExitUsageError
	}
	faulty := false
	if c.settings != "" {
		if _, err := bootconfig.ReadFile(c.settings); err != nil {
			fmt.Println(err)
			faulty = true
		}
	}
	if c.table != "" {
		text, err := readAll(c.table)
		if err != nil {
			return fail(err)
		}
		for _, fault := range routeconfig.Check(text) {
			fmt.Printf("%s: %s\n", c.table, fault.Error())
			faulty = true
		}
	}
	if c.shadow != "" {
		text, err := readAll(c.shadow)
		if err != nil {
			return fail(err)
		}
		_, faults := mirror.ParseRule(text)
		for i := range faults {
			fmt.Printf("%s: %s\n", c.shadow, faults[i].Error())
			faulty = true
		}
	}
	if faulty {
		return subcommands.ExitFailure
	}
	fmt.Println("no faults")
	return subcommands.ExitSuccess
}

// readAll reads a file, or standard input if the path is "-".
func readAll(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// status is the command that prints the status of processes.
type status struct{ timeout time.Duration }

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "Print the status of running processes" }
func (*status) Usage() string {
	return "status [-patience DURATION] ADDRESS...\n\tPrint the status of each process at an inner address (ip:port, of innerDocks): members, the current view\n" +
		"\tand versions, the holders of duties, and the quota slices of tenants.\n"
}
func (c *status) SetFlags(flags *flag.FlagSet) {
	flags.DurationVar(&c.timeout, "patience", time.Second, "timeout for each process")
}

func (c *status) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "status: expected at least one address")
		return subcommands.ExitUsageError
	}
	exit := subcommands.ExitSuccess
	for _, addr := range flags.Args() {
		peer := rpc.NewPeer(addr)
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		answer, err := rpc.Call[api.StatusRequest, api.StatusResponse](ctx, peer, api.StatusRequest{})
		cancel()
		peer.Close()
		if err != nil {
			fmt.Printf("%s: %v\n", addr, err)
			exit = subcommands.ExitFailure
			continue
		}
		fmt.Printf("%s\n  %s\n", addr, strings.Join(answer.Lines, "\n  "))
	}
	return exit
}

// version is the command that prints the version of the program.
type version struct{ noFlags }

func (*version) Name() string     { return "version" }
func (*version) Synopsis() string { return "Print the commit and the Go version of this build" }
func (*version) Usage() string    { return "version\n" }

func (*version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fail(fmt.Errorf("version: the program has no build information"))
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	fmt.Printf("foxwood, commit %s, %s\n", revision, info.GoVersion)
	return subcommands.ExitSuccess
}
