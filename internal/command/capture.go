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
	"foxwood/internal/config"
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
			err = set.Each(func(*capturepb.Record) {}, func(err error) {
				var gap *capture.Gap
				if errors.As(err, &gap) {
					err = fmt.Errorf("%s: %w", set.Current().File, err)
				}
				found++
				fmt.Fprintln(c.ErrOrStderr(), err)
			})
			if err != nil {
				return err
			}
			if fmt.Fprintf(c.OutOrStdout(), "%d records\n", set.Records()); found > 0 {
				return fmt.Errorf("%d faults", found)
			}
			return nil
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
			err = set.Each(func(r *capturepb.Record) { counts[r.GetKind()]++ }, func(err error) { fmt.Fprintln(w, err) })
			if err != nil {
				_ = w.Flush()
				return err
			}
			fmt.Fprintln(w, "\nkind\trecords")
			for _, kind := range kinds() {
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

// openMerged opens one capture for each argument: NAME=PATH, or a path that is its own name.
func openMerged(args []string, keyFile string) (*replay.Merged, *capture.Key, func(), error) {
	var all []replay.Named
	var sets []*capture.Set
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
		set, _, k, err := openSet([]string{path}, keyFile)
		if err != nil {
			closeAll()
			return nil, nil, nil, err
		}
		key = k
		sets = append(sets, set)
		all = append(all, replay.Named{Name: name, From: set})
	}
	return replay.Merge(all...), key, closeAll, nil
}

func newMerge() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use:   "merge [NAME=]PATH...",
		Short: "Print several gatekeepers' captures in one order, by the clock that they share",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, key, done, err := openMerged(args, keyFile)
			if err != nil {
				return err
			}
			defer done()
			dec := capture.NewDecoder(key)
			for {
				name, r, at, err := m.Next()
				switch {
				case errors.Is(err, io.EOF):
					for _, n := range m.Notes {
						fmt.Fprintln(c.ErrOrStderr(), "note:", n)
					}
					return nil
				case err != nil:
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s %s %s\n", clock(at), name, replay.Describe(r, dec))
			}
		},
	}
	keyFlag(c, &keyFile)
	return c
}

func newAudit() *cobra.Command {
	var keyFile string
	c := &cobra.Command{
		Use:   "audit [NAME=]PATH...",
		Short: "Sum up units sent on per customer over several gatekeepers, against quota and ceiling",
		Long: "audit merges the captures of all gatekeepers and reports, for each customer, the units that\n" +
			"were sent on and how far, at the worst moment, they went beyond the quota's and the ceiling's\n" +
			"rate and burst. It exits with 1 where a ceiling was passed by more than its slack.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, key, done, err := openMerged(args, keyFile)
			if err != nil {
				return err
			}
			defer done()
			all, err := replay.Audit(m, key)
			if err != nil {
				return err
			}
			for _, n := range m.Notes {
				fmt.Fprintln(c.ErrOrStderr(), "note:", n)
			}
			if err := replay.WriteAccounts(c.OutOrStdout(), all); err != nil {
				return err
			}
			for _, a := range all {
				if a.HasCeiling && a.OverCeiling > a.CeilingSlack {
					return fmt.Errorf("customer %016x passed its ceiling by %.2f units", a.Customer, a.OverCeiling)
				}
			}
			return nil
		},
	}
	keyFlag(c, &keyFile)
	return c
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
	var keyFile, until, against, chart, request string
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
			bar := newProgress(c.ErrOrStderr(), against == "" && !quiet, set.Read)
			if against != "" {
				return compare(c.OutOrStdout(), set, key, against, chart, bar)
			}
			if chart != "" {
				return usageError{errors.New("--chart is of --against")}
			}
			o := replay.Options{Stop: func() bool { bar.step(); return false }}
			if o.Request = replay.Number(request); o.Request == 0 {
				o.Name = request
			}
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
			bar.end()
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
	c.Flags().StringVar(&against, "against", "", "configuration whose settings are compared with the recorded ones, on the same inputs; \"recorded\" compares this build by the recorded ones")
	c.Flags().StringVar(&chart, "chart", "", "SVG file to draw what --against finds into")
	c.Flags().StringVar(&until, "until", "", "time to stop at, as 2026-12-01T13:00:00.5Z")
	c.Flags().StringVar(&request, "request", "", "only decisions on the request with this name (X-Trace-Id) or number")
	c.Flags().BoolVarP(&quiet, "quiet", "q", false, "print no decisions")
	return c
}

// recorded, in the place of a configuration, stands for the settings in the capture: what is
// compared is then this build with the one that recorded.
const recorded = "recorded"

// compare plays a capture by the settings of a configuration.
func compare(to io.Writer, set *capture.Set, key *capture.Key, file, chart string, bar *progress) error {
	var other policy.Settings
	if file != recorded {
		c, err := config.Read(file)
		if err != nil {
			return err
		}
		if other, _, err = c.Terms(); err != nil {
			return err
		}
	}
	a, err := replay.Compare(set, key, func(s policy.Settings, seed uint64) gatekeeper.Module {
		if file == recorded {
			return policy.New(s, seed)
		}
		if len(other.Classes) == 0 { // a description's classes are not of the settings
			other.Classes = s.Classes
		}
		return policy.New(other, seed)
	}, bar.step)
	bar.end()
	if err != nil {
		return err
	}
	if chart != "" {
		f, err := os.Create(chart)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := a.Chart(f); err != nil {
			return err
		}
	}
	return a.Write(to)
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
			set, segments, key, err := openSet(args, keyFile)
			if err != nil {
				return err
			}
			defer set.Close()
			if p, ok := capture.Locate(segments, request); ok {
				set.Skip(p)
			}
			return replay.Explain(c.OutOrStdout(), set, key, request)
		},
	}
	keyFlag(c, &keyFile)
	c.Flags().StringVar(&request, "request", "", "name or number of the request")
	return c
}

func newCut() *cobra.Command {
	var keyFile, from, until, out string
	c := &cobra.Command{
		Use:   "cut PATH... --from TIME --until TIME --out FOLDER",
		Short: "Copy a part of a capture that can be played by itself",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
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
			n, err := capture.CutOut(segments, key, begin.UnixMicro(), end.UnixMicro(), out)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records\n", n)
			return nil
		},
	}
	keyFlag(c, &keyFile)
	c.Flags().StringVar(&from, "from", "", "time from which on decisions are wanted, as 2026-12-01T13:00:00Z")
	c.Flags().StringVar(&until, "until", "", "time up to which")
	c.Flags().StringVar(&out, "out", ".", "folder to write the part to")
	return c
}
