package command

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"foxwood/internal/testing/benchmark"
)

func newMeasure() *cobra.Command {
	group := &cobra.Command{Use: "measure", Short: "Run benchmarks on this machine"}
	options := benchmark.Options{Progress: os.Stderr}
	var fleets []string
	var outFile string
	transports := &cobra.Command{
		Use:   "transports",
		Short: "Compare the transports to workers with each other and with Go's ReverseProxy",
		Long: "transports starts emulated workers, a gatekeeper for each transport and a ReverseProxy as\n" +
			"separate processes, sends the same open-loop arrivals to each in turn, and prints a table in\n" +
			"Markdown. Nothing else should run on the machine.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, f := range benchmark.DefaultFleets() {
				if slices.Contains(fleets, f.Name) {
					options.Fleets = append(options.Fleets, f)
				}
			}
			if len(options.Fleets) < len(fleets) || options.Runs < 1 {
				return usageError{fmt.Errorf("expected known values of --fleet and --runs of at least 1, got %s and %d", strings.Join(fleets, ","), options.Runs)}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			table, err := benchmark.CompareTransports(ctx, options)
			if err != nil {
				return err
			}
			var output io.Writer = cmd.OutOrStdout()
			if outFile != "" {
				file, err := os.Create(outFile)
				if err != nil {
					return err
				}
				defer file.Close()
				output = file
			}
			return table.Write(output)
		},
	}
	f := transports.Flags()
	f.StringSliceVar(&fleets, "fleet", []string{"short", "site"}, "service times: short, site")
	f.StringSliceVar(&options.Transports, "transport", []string{"one-at-a-time", "pipeline", "http2", "batch", "ReverseProxy"}, "transports to compare")
	f.Float64SliceVar(&options.LoadFractions, "load", []float64{0.5, 0.9, 1}, "load as fractions of the fleet's capacity")
	f.IntVar(&options.Runs, "runs", 10, "runs of each case")
	f.DurationVar(&options.RunDuration, "for", 4*time.Second, "duration of a run")
	f.DurationVar(&options.WarmUp, "settle", time.Second, "warm-up part of each run, which is not counted")
	f.Uint64Var(&options.Seed, "seed", 1, "seed of the arrivals, increased by 1 for each further run")
	f.StringVar(&outFile, "out", "", "file to write the table to (default: standard output)")

	var listen string
	var workers []string
	proxy := &cobra.Command{
		Use:    "proxy",
		Short:  "The baseline: Go's ReverseProxy in front of workers",
		Hidden: true,
		Args:   noArgs,
		RunE:   func(*cobra.Command, []string) error { return benchmark.ServeReverseProxy(listen, workers) },
	}
	proxy.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to serve at")
	proxy.Flags().StringSliceVar(&workers, "workers", nil, "addresses of workers")
	group.AddCommand(transports, newMeasureCapture(), newMeasureCounter(), proxy)
	return group
}

func newMeasureCounter() *cobra.Command {
	var options benchmark.CounterFaults
	cmd := &cobra.Command{
		Use:   "counter",
		Short: "Simulate how well several gatekeepers enforce quotas while their counter fails",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.Write(cmd.OutOrStdout()) },
	}
	cmd.Flags().IntVar(&options.Gateways, "gatekeepers", 4, "number of gatekeepers; a ceiling that is small for their number is leased from the counter")
	cmd.Flags().IntVar(&options.Runs, "runs", 200, "runs of each failure")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the first run, increased by 1 for each further run")
	return cmd
}

func newMeasureCapture() *cobra.Command {
	options := benchmark.Options{Progress: os.Stderr, LoadFractions: []float64{0.5}, Fleets: benchmark.DefaultFleets()[:1]}
	events := benchmark.CaptureOverhead{Runs: 15, Requests: 100000}
	var lives int
	cmd := &cobra.Command{
		Use:   "capture",
		Short: "Measure the cost of a capture for a gatekeeper, and the speed of its replay",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if err := benchmark.MeasureCapture(ctx, options, cmd.OutOrStdout()); err != nil {
				return err
			}
			events.Seed = options.Seed
			if err := events.Write(cmd.OutOrStdout()); err != nil {
				return err
			}
			restarts := benchmark.Restarts{Count: lives, Seed: options.Seed, DowntimeMs: 300}
			return restarts.Write(cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Runs, "runs", 10, "runs of each case")
	flags.IntVar(&events.LargeRequests, "large", 2500000, "requests in the capture from which requests are explained")
	flags.IntVar(&lives, "lives", 200, "simulated restarts, both cold and warm")
	flags.DurationVar(&options.RunDuration, "for", 4*time.Second, "duration of a run")
	flags.DurationVar(&options.WarmUp, "settle", time.Second, "warm-up part of each run, which is not counted")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the arrivals, increased by 1 for each further run")
	return cmd
}
