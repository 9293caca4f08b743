package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/gatekeeper"
	"foxwood/internal/gateway/config"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// keyFlag adds the flag for the file with the key of a capture.
func keyFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "key", "", "file with the key of the capture")
}

// readKey reads a key file. Without one it returns the zero key.
func readKey(file string) (capture.Key, error) {
	if file == "" {
		return capture.Key{}, nil
	}
	return capture.ReadKey(file)
}

// openSet opens the capture segments at the given paths.
func openSet(paths []string, keyFile string) (*capture.MultiReader, []capture.Segment, *capture.Key, error) {
	key, err := readKey(keyFile)
	if err != nil {
		return nil, nil, nil, err
	}
	segments, err := capture.FindSegments(paths...)
	if err != nil {
		return nil, nil, nil, err
	}
	if len(segments) == 0 {
		return nil, nil, nil, fmt.Errorf("expected at least one capture segment at %s, found none", strings.Join(paths, ", "))
	}
	return capture.NewMultiReader(segments, &key), segments, &key, nil
}

func newCapture() *cobra.Command {
	group := &cobra.Command{Use: "capture", Short: "Work with captures of a gatekeeper's inputs and decisions"}
	var keyFile string
	verify := &cobra.Command{
		Use:   "verify PATH...",
		Short: "Read captures and report what is damaged, altered, truncated or missing",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, _, _, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			found := 0
			err = set.Each(func(*capturepb.Record) {}, func(err error) {
				var gap *capture.GapError
				if errors.As(err, &gap) {
					err = fmt.Errorf("%s: %w", set.Current().File, err)
				}
				found++
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			})
			if err != nil {
				return err
			}
			if fmt.Fprintf(cmd.OutOrStdout(), "%d records\n", set.Records()); found > 0 {
				return fmt.Errorf("%d faults", found)
			}
			return nil
		},
	}
	keyFlag(verify, &keyFile)
	inspect := &cobra.Command{
		Use:   "inspect PATH...",
		Short: "List the segments of captures and count their records",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, segments, _, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "file\tlife\tsegment\tbytes\tfirst record")
			for _, s := range segments {
				fmt.Fprintf(w, "%s\t%016x\t%d\t%d\t%s\n", s.File, s.RunID, s.Number, s.Size, formatTime(s.FirstRecord))
			}
			counts := map[capturepb.Kind]int{}
			err = set.Each(func(r *capturepb.Record) { counts[r.GetKind()]++ }, func(err error) { fmt.Fprintln(w, err) })
			if err != nil {
				_ = w.Flush()
				return err
			}
			fmt.Fprintln(w, "\nkind\trecords")
			for _, kind := range recordKinds() {
				if n := counts[kind]; n > 0 {
					fmt.Fprintf(w, "%s\t%d\n", kind, n)
				}
			}
			return w.Flush()
		},
	}
	keyFlag(inspect, &keyFile)
	group.AddCommand(verify, inspect, newCut(), newMerge(), newAudit())
	return group
}

// openMerged opens one capture per argument, NAME=PATH or just PATH, and merges them.
func openMerged(args []string, keyFile string) (*replay.MergedCaptures, *capture.Key, func(), error) {
	var captures []replay.NamedSource
	var sets []*capture.MultiReader
	closeAll := func() {
		for _, s := range sets {
			s.Close()
		}
	}
	var key *capture.Key
	for _, arg := range args {
		name, path, ok := strings.Cut(arg, "=")
		if !ok {
			path = arg
		}
		set, _, setKey, err := openSet([]string{path}, keyFile)
		if err != nil {
			closeAll()
			return nil, nil, nil, err
		}
		key = setKey
		sets = append(sets, set)
		captures = append(captures, replay.NamedSource{Name: name, From: set})
	}
	return replay.Merge(captures...), key, closeAll, nil
}

func newMerge() *cobra.Command {
	var keyFile string
	cmd := &cobra.Command{
		Use:   "merge [NAME=]PATH...",
		Short: "Print the captures of several gatekeepers, ordered by their common clock",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			merged, key, closeAll, err := openMerged(args, keyFile)
			if err != nil {
				return err
			}
			defer closeAll()
			decoder := capture.NewDecoder(key)
			for {
				name, record, at, err := merged.Next()
				switch {
				case errors.Is(err, io.EOF):
					for _, n := range merged.Notes {
						fmt.Fprintln(cmd.ErrOrStderr(), "note:", n)
					}
					return nil
				case err != nil:
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s\n", formatTime(at), name, replay.Describe(record, decoder))
			}
		},
	}
	keyFlag(cmd, &keyFile)
	return cmd
}

func newAudit() *cobra.Command {
	var keyFile string
	cmd := &cobra.Command{
		Use:   "audit [NAME=]PATH...",
		Short: "Sum up the units of each customer over several gatekeepers, against quota and ceiling",
		Long: "audit merges the captures of all gatekeepers and reports, for each customer, the units that\n" +
			"were forwarded and by how much they exceeded the rate and burst of the quota and the ceiling\n" +
			"at the worst moment. It exits with 1 if a ceiling was exceeded by more than its slack.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			merged, key, closeAll, err := openMerged(args, keyFile)
			if err != nil {
				return err
			}
			defer closeAll()
			accounts, err := replay.Audit(merged, key)
			if err != nil {
				return err
			}
			for _, n := range merged.Notes {
				fmt.Fprintln(cmd.ErrOrStderr(), "note:", n)
			}
			if err := replay.WriteAccounts(cmd.OutOrStdout(), accounts); err != nil {
				return err
			}
			for _, account := range accounts {
				if account.HasCeiling && account.OverCeiling > account.CeilingSlack {
					return fmt.Errorf("customer %016x exceeded its ceiling by %.2f units", account.Customer, account.OverCeiling)
				}
			}
			return nil
		},
	}
	keyFlag(cmd, &keyFile)
	return cmd
}

// recordKinds returns the kinds of records, ordered by number.
func recordKinds() []capturepb.Kind {
	var all []capturepb.Kind
	values := capturepb.Kind(0).Descriptor().Values()
	for i := range values.Len() {
		all = append(all, capturepb.Kind(values.Get(i).Number()))
	}
	return all
}

// formatTime formats a time of the decision module as RFC 3339 in UTC, or "-" if it is 0.
func formatTime(at policy.Micros) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMicro(at).UTC().Format("2006-01-02T15:04:05.000000Z")
}

func newReplay() *cobra.Command {
	var keyFile, until, against, chart, request string
	var quiet bool
	cmd := &cobra.Command{
		Use:   "replay PATH...",
		Short: "Replay captures with the decision module of this build and compare its decisions",
		Long: "replay feeds the captured inputs to the decision module of this build and prints its\n" +
			"decisions. At the first one that differs from the capture it reports the call and exits\n" +
			"with 1. Records after a gap are not replayed.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, _, key, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			progressBar := newProgress(cmd.ErrOrStderr(), against == "" && !quiet, set.Progress)
			if against != "" {
				return compareSettings(cmd.OutOrStdout(), set, key, against, chart, progressBar)
			}
			if chart != "" {
				return usageError{errors.New("--chart needs --against")}
			}
			options := replay.Options{Stop: func() bool { progressBar.step(); return false }}
			if options.LogRequestID = replay.RequestNumber(request); options.LogRequestID == 0 {
				options.LogRequestName = request
			}
			if !quiet {
				options.Log = cmd.OutOrStdout()
			}
			if until != "" {
				stopTime, err := time.Parse(time.RFC3339Nano, until)
				if err != nil {
					return usageError{fmt.Errorf("--until: %w", err)}
				}
				options.Until = stopTime.UnixMicro()
			}
			report, err := replay.Run(set, key, options)
			progressBar.clear()
			if err != nil {
				return err
			}
			stderr := cmd.ErrOrStderr()
			for _, n := range report.Notes {
				fmt.Fprintln(stderr, "note:", n)
			}
			fmt.Fprintf(stderr, "%d lives, %d calls, %d decisions, from %s to %s\n", report.Runs, report.Calls, report.Decisions,
				formatTime(report.First), formatTime(report.Last))
			for _, d := range report.Differences {
				fmt.Fprintf(stderr, "at %s, %s\n  recorded: %q\n  decided:  %q\n", formatTime(d.At), d.Call, d.Want, d.Got)
			}
			if len(report.Differences) > 0 {
				return errors.New("the replay differs from the capture")
			}
			return nil
		},
	}
	keyFlag(cmd, &keyFile)
	cmd.Flags().StringVar(&against, "against", "", "configuration whose settings are compared with the recorded ones, on the same inputs; \"recorded\" uses the recorded settings, to compare this build with the recording one")
	cmd.Flags().StringVar(&chart, "chart", "", "SVG file for a chart of the --against comparison")
	cmd.Flags().StringVar(&until, "until", "", "time to stop at, such as 2026-12-01T13:00:00.5Z")
	cmd.Flags().StringVar(&request, "request", "", "print only decisions on the request with this name (X-Trace-Id) or number")
	cmd.Flags().BoolVarP(&quiet, "quiet", "q", false, "don't print decisions")
	return cmd
}

// recordedSettings is the value of --against for the settings in the capture. It compares the
// decisions of this build with those of the build that made the capture.
const recordedSettings = "recorded"

// compareSettings replays a capture with the settings of a configuration file, and writes how the
// results differ.
func compareSettings(out io.Writer, set *capture.MultiReader, key *capture.Key, file, chart string, progressBar *progress) error {
	var other policy.Settings
	if file != recordedSettings {
		c, err := config.Read(file)
		if err != nil {
			return err
		}
		if other, _, err = c.PolicySettings(); err != nil {
			return err
		}
	}
	comparison, err := replay.Compare(set, key, func(s policy.Settings, seed uint64) gatekeeper.Module {
		if file == recordedSettings {
			return policy.New(s, seed)
		}
		if len(other.Classes) == 0 { // with an OpenAPI description the settings have no classes
			other.Classes = s.Classes
		}
		return policy.New(other, seed)
	}, progressBar.step)
	progressBar.clear()
	if err != nil {
		return err
	}
	if chart != "" {
		chartFile, err := os.Create(chart)
		if err != nil {
			return err
		}
		defer chartFile.Close()
		if err := comparison.Chart(chartFile); err != nil {
			return err
		}
	}
	return comparison.Write(out)
}

func newExplain() *cobra.Command {
	var keyFile, request string
	cmd := &cobra.Command{
		Use:   "explain PATH... --request ID",
		Short: "Explain why a request was refused, failed or sent to a certain worker",
		Long: "explain replays a capture up to a request, and describes the state that the request met and\n" +
			"how it ended. ID is the name of the request (on the platform its X-Trace-Id) or its number in\n" +
			"the decision log of foxwood replay.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if request == "" {
				return usageError{errors.New("--request is missing")}
			}
			set, segments, key, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			if p, ok := capture.LocateRequest(segments, request); ok {
				set.StartAt(p)
			}
			return replay.Explain(cmd.OutOrStdout(), set, key, request)
		},
	}
	keyFlag(cmd, &keyFile)
	cmd.Flags().StringVar(&request, "request", "", "name or number of the request")
	return cmd
}

func newCut() *cobra.Command {
	var keyFile, from, until, out string
	cmd := &cobra.Command{
		Use:   "cut PATH... --from TIME --until TIME --out FOLDER",
		Short: "Copy a part of a capture that can be replayed by itself",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			begin, err := time.Parse(time.RFC3339Nano, from)
			if err != nil {
				return usageError{fmt.Errorf("--from: %w", err)}
			}
			end, err := time.Parse(time.RFC3339Nano, until)
			if err != nil {
				return usageError{fmt.Errorf("--until: %w", err)}
			}
			set, segments, key, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			set.Close()
			n, err := capture.Extract(segments, key, begin.UnixMicro(), end.UnixMicro(), out)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d records\n", n)
			return nil
		},
	}
	keyFlag(cmd, &keyFile)
	cmd.Flags().StringVar(&from, "from", "", "first time of the part, such as 2026-12-01T13:00:00Z")
	cmd.Flags().StringVar(&until, "until", "", "last time of the part")
	cmd.Flags().StringVar(&out, "out", ".", "folder to write the part to")
	return cmd
}
