package command

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// keyFlag adds the flag that names a capture's key.
func keyFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "key", "", "file with the key that the capture was made with")
}

func readKey(file string) (capture.Key, error) {
	if file == "" {
		return capture.Key{}, nil
	}
	return capture.ReadKey(file)
}

// openSet finds the segments at some paths.
func openSet(paths []string, keyFile string) (*capture.Set, []capture.Segment, *capture.Key, error) {
	key, err := readKey(keyFile)
	if err != nil {
		return nil, nil, nil, err
	}
	segments, err := capture.Find(paths...)
	if err != nil {
		return nil, nil, nil, err
	}
	if len(segments) == 0 {
		return nil, nil, nil, errors.New("no segment of a capture is there")
	}
	return capture.NewSet(segments, &key), segments, &key, nil
}

func newCapture() *cobra.Command {
	group := &cobra.Command{Use: "capture", Short: "Look at captures of what a gatekeeper was told and decided"}
	var keyFile string
	verify := &cobra.Command{
		Use:   "verify PATH...",
		Short: "Read captures through and say what is damaged, altered, cut or missing",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, _, _, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			found := 0
			for {
				_, _, err := set.Next()
				var gap *capture.Gap
				var cut *capture.Cut
				switch {
				case err == nil:
					continue
				case errors.Is(err, io.EOF):
					if fmt.Fprintf(c.OutOrStdout(), "%d records\n", set.Records()); found > 0 {
						return fmt.Errorf("%d faults", found)
					}
					return nil
				case errors.As(err, &gap):
					err = fmt.Errorf("%s: %w", set.Current().File, err)
				case !errors.As(err, &cut):
					return err
				}
				found++
				fmt.Fprintln(c.ErrOrStderr(), err)
			}
		},
	}
	keyFlag(verify, &keyFile)
	inspect := &cobra.Command{
		Use:   "inspect PATH...",
		Short: "List the segments of captures and what they hold",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, segments, _, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "file\tlife\tsegment\tbytes\tfirst record")
			for _, s := range segments {
				fmt.Fprintf(w, "%s\t%016x\t%d\t%d\t%s\n", s.File, s.Life, s.N, s.Size, clock(s.First))
			}
			counts := map[capturepb.Kind]int{}
			for {
				r, _, err := set.Next()
				var gap *capture.Gap
				var cut *capture.Cut
				switch {
				case errors.Is(err, io.EOF):
					fmt.Fprintln(w, "\nkind\trecords")
					for _, kind := range kinds() {
						if n := counts[kind]; n > 0 {
							fmt.Fprintf(w, "%s\t%d\n", kind, n)
						}
					}
					return w.Flush()
				case errors.As(err, &gap), errors.As(err, &cut):
					fmt.Fprintln(w, err)
				case err != nil:
					_ = w.Flush()
					return err
				default:
					counts[r.GetKind()]++
				}
			}
		},
	}
	keyFlag(inspect, &keyFile)
	group.AddCommand(verify, inspect)
	return group
}

// kinds are the kinds of record, in the order of their numbers.
func kinds() []capturepb.Kind {
	var all []capturepb.Kind
	values := capturepb.Kind(0).Descriptor().Values()
	for i := range values.Len() {
		all = append(all, capturepb.Kind(values.Get(i).Number()))
	}
	return all
}

// clock writes a time of the module as a person reads it.
func clock(at policy.Micros) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMicro(at).UTC().Format("2006-01-02T15:04:05.000000Z")
}

func newReplay() *cobra.Command {
	var keyFile, until string
	var request uint32
	var quiet bool
	c := &cobra.Command{
		Use:   "replay PATH...",
		Short: "Play captures to the decision module and compare what it decides",
		Long: "replay tells the decision module of this build what a capture says another was told, and\n" +
			"prints the decisions. It exits with 1 at the first that differs from the recorded one, and\n" +
			"says which call it was. What follows a gap is not played.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, _, key, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			o := replay.Options{Request: request}
			if !quiet {
				o.Log = c.OutOrStdout()
			}
			if until != "" {
				at, err := time.Parse(time.RFC3339Nano, until)
				if err != nil {
					return usageError{fmt.Errorf("--until: %w", err)}
				}
				o.Until = at.UnixMicro()
			}
			report, err := replay.Run(set, key, o)
			if err != nil {
				return err
			}
			e := c.ErrOrStderr()
			for _, n := range report.Notes {
				fmt.Fprintln(e, "note:", n)
			}
			fmt.Fprintf(e, "%d lives, %d calls, %d decisions, from %s to %s\n", report.Lives, report.Calls, report.Decisions,
				clock(report.First), clock(report.Last))
			for _, d := range report.Differences {
				fmt.Fprintf(e, "at %s, %s\n  recorded: %q\n  decided:  %q\n", clock(d.At), d.Call, d.Want, d.Got)
			}
			if len(report.Differences) > 0 {
				return errors.New("the replay differs from what was recorded")
			}
			return nil
		},
	}
	keyFlag(c, &keyFile)
	c.Flags().StringVar(&until, "until", "", "time to stop at, as 2026-12-01T13:00:00.5Z")
	c.Flags().Uint32Var(&request, "request", 0, "only decisions on the request with this number")
	c.Flags().BoolVarP(&quiet, "quiet", "q", false, "print no decisions")
	return c
}

func newExplain() *cobra.Command {
	var keyFile, request string
	c := &cobra.Command{
		Use:   "explain PATH... --request ID",
		Short: "Say why a request was refused, failed or sent where it was",
		Long: "explain plays a capture up to a request and says in words and figures what it met and what\n" +
			"became of it. ID is the name that the front has for the request (on the platform its\n" +
			"X-Trace-Id) or its number in the decision log of foxwood replay.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if request == "" {
				return usageError{errors.New("--request is missing")}
			}
			set, _, key, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			return replay.Explain(c.OutOrStdout(), set, key, request)
		},
	}
	keyFlag(c, &keyFile)
	c.Flags().StringVar(&request, "request", "", "name or number of the request")
	return c
}
