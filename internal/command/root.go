// Package command is the command line of foxwood.
package command

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"foxwood/internal/gateway/service"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1 // the command could not do its work
	exitUsage  = 2 // the arguments are wrong
)

// usageError is an error in the arguments.
type usageError struct{ error }

// Main runs the command given by the arguments, and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRoot(stderr)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usageErr):
		fmt.Fprintf(stderr, "foxwood: %v\nTry 'foxwood --help'.\n", err)
		return exitUsage
	default:
		fmt.Fprintf(stderr, "foxwood: %v\n", err)
		return exitFailed
	}
}

func newRoot(stderr io.Writer) *cobra.Command {
	var logFormat, configFile string
	root := &cobra.Command{
		Use:   "foxwood",
		Short: "A load balancer for a fleet of workers",
		Long: "foxwood forwards requests to a fleet of workers, enforces each customer's quota, prefers\n" +
			"requests of higher worth, and gives each request exactly one final response. Without a\n" +
			"command it serves with the configuration file that EDGE_CONFIG names.",
		Args:          noArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			switch logFormat {
			case "text":
				slog.SetDefault(slog.New(slog.NewTextHandler(stderr, nil)))
			case "json":
				slog.SetDefault(slog.New(slog.NewJSONHandler(stderr, nil)))
			default:
				return usageError{fmt.Errorf("--log %q is neither text nor json", logFormat)}
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return service.Run(os.Getenv("EDGE_CONFIG")) },
	}
	root.PersistentFlags().StringVar(&logFormat, "log", "text", "format of the log on standard error: text or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	run := &cobra.Command{
		Use:   "run",
		Short: "Serve with a configuration file until SIGTERM, and then drain",
		Args:  noArgs,
		RunE:  func(*cobra.Command, []string) error { return service.Run(configPath(configFile)) },
	}
	run.Flags().StringVarP(&configFile, "config", "c", "", "configuration file, .hcl or JSON (default: the file that EDGE_CONFIG names)")
	root.AddCommand(run, newCapture(), newCheck(), newEmulate(), newExplain(), newImport(), newLoad(), newMeasure(), newReplay(), newVersion())
	return root
}

// configPath returns the given configuration file, or else the one that EDGE_CONFIG names.
func configPath(file string) string {
	if file == "" {
		return os.Getenv("EDGE_CONFIG")
	}
	return file
}

// noArgs rejects positional arguments.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command %q for %q", args[0], cmd.CommandPath())}
	}
	return nil
}

// exactArgs accepts exactly n positional arguments.
func exactArgs(n int, description string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("%s: expected %s, got %d arguments", cmd.CommandPath(), description, len(args))}
		}
		return nil
	}
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version: the commit that was built",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			info, found := debug.ReadBuildInfo()
			if !found {
				return errors.New("the program has no build information")
			}
			settings := map[string]string{"vcs.revision": "unknown", "vcs.modified": "false"}
			for _, s := range info.Settings {
				settings[s.Key] = s.Value
			}
			fmt.Fprintf(cmd.OutOrStdout(), "foxwood, commit %s (modified: %s), %s\n", settings["vcs.revision"], settings["vcs.modified"], info.GoVersion)
			return nil
		},
	}
}
