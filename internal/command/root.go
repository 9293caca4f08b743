// Package command is foxwood's command line.
package command

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"foxwood/internal/service"
)

// The exit statuses.
const (
	ok     = 0
	failed = 1 // what was asked for could not be done
	usage  = 2 // it was not asked for properly
)

// usageError is an error in the words of the call.
type usageError struct{ error }

// Main runs the command that the arguments name, and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRoot(stderr)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	var wrong usageError
	switch {
	case err == nil:
		return ok
	case errors.As(err, &wrong):
		fmt.Fprintf(stderr, "foxwood: %v\nTry 'foxwood --help'.\n", err)
		return usage
	default:
		fmt.Fprintf(stderr, "foxwood: %v\n", err)
		return failed
	}
}

func newRoot(stderr io.Writer) *cobra.Command {
	var form, file string
	root := &cobra.Command{
		Use:   "foxwood",
		Short: "A gatekeeper before a fleet of workers",
		Long: "foxwood stands before a fleet of workers, holds every customer to its quota, lets requests\n" +
			"go by worth, and gives each request exactly one final answer. Without a command it runs by\n" +
			"the file that EDGE_CONFIG names.",
		Args:          noArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			switch form {
			case "text":
				slog.SetDefault(slog.New(slog.NewTextHandler(stderr, nil)))
			case "json":
				slog.SetDefault(slog.New(slog.NewJSONHandler(stderr, nil)))
			default:
				return usageError{fmt.Errorf("--log %q is neither text nor json", form)}
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return service.Run(os.Getenv("EDGE_CONFIG")) },
	}
	root.PersistentFlags().StringVar(&form, "log", "text", "form of the log on standard error: text or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	run := &cobra.Command{
		Use:   "run",
		Short: "Serve by a configuration file, until SIGTERM has been answered to the end",
		Args:  noArgs,
		RunE:  func(*cobra.Command, []string) error { return service.Run(named(file)) },
	}
	run.Flags().StringVarP(&file, "config", "c", "", "configuration, .hcl or JSON (default: what EDGE_CONFIG names)")
	root.AddCommand(run, newCapture(), newCheck(), newEmulate(), newExplain(), newImport(), newLoad(), newMeasure(), newReplay(), newVersion())
	return root
}

// named is the configuration file: the one given, or else the one EDGE_CONFIG names.
func named(file string) string {
	if file == "" {
		return os.Getenv("EDGE_CONFIG")
	}
	return file
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command %q for %q", args[0], c.CommandPath())}
	}
	return nil
}

// exactly takes n arguments.
func exactly(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("%s wants %s", c.CommandPath(), what)}
		}
		return nil
	}
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say what was built, and from which commit",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, found := debug.ReadBuildInfo()
			if !found {
				return errors.New("the program holds no build information")
			}
			said := map[string]string{"vcs.revision": "unknown", "vcs.modified": "false"}
			for _, s := range info.Settings {
				said[s.Key] = s.Value
			}
			fmt.Fprintf(c.OutOrStdout(), "foxwood, commit %s (modified: %s), %s\n", said["vcs.revision"], said["vcs.modified"], info.GoVersion)
			return nil
		},
	}
}
