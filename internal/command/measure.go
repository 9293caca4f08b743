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

	"foxwood/internal/trial"
)

func newMeasure() *cobra.Command {
	group := &cobra.Command{Use: "measure", Short: "Measure the program on this machine"}
	o := trial.Options{Progress: os.Stderr}
	var fleets []string
	var out string
	transports := &cobra.Command{
		Use:   "transports",
		Short: "Compare the transports to workers with each other and with Go's ReverseProxy",
		Long: "transports starts emulated workers, a gatekeeper for each transport and a ReverseProxy as\n" +
			"processes of their own, plays the same open-loop arrivals to each in turn, and prints a table\n" +
			"in Markdown. It wants the machine to itself.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, f := range trial.Fleets() {
				if slices.Contains(fleets, f.Name) {
					o.Fleets = append(o.Fleets, f)
				}
			}
			if len(o.Fleets) < len(fleets) || o.Runs < 1 {
				return usageError{fmt.Errorf("--fleet %s or --runs %d can't be", strings.Join(fleets, ","), o.Runs)}
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			table, err := trial.Transports(ctx, o)
			if err != nil {
				return err
			}
			var to io.Writer = c.OutOrStdout()
			if out != "" {
				file, err := os.Create(out)
				if err != nil {
					return err
				}
				defer file.Close()
				to = file
			}
			return table.Write(to)
		},
	}
	f := transports.Flags()
	f.StringSliceVar(&fleets, "fleet", []string{"short", "site"}, "service times: short, site")
	f.StringSliceVar(&o.Transports, "transport", []string{"one-at-a-time", "pipeline", "http2", "batch", "ReverseProxy"}, "what is compared")
	f.Float64SliceVar(&o.Loads, "load", []float64{0.5, 0.9, 1}, "parts of the fleet's capacity")
	f.IntVar(&o.Runs, "runs", 10, "how often each is played")
	f.DurationVar(&o.For, "for", 4*time.Second, "how long a run is")
	f.DurationVar(&o.Settle, "settle", time.Second, "of it, not counted")
	f.Uint64Var(&o.Seed, "seed", 1, "of the arrivals, one more in each run")
	f.StringVar(&out, "out", "", "file to write the table to; standard output without")

	var listen string
	var workers []string
	proxy := &cobra.Command{
		Use:    "proxy",
		Short:  "The baseline: Go's ReverseProxy before some workers",
		Hidden: true,
		Args:   noArgs,
		RunE:   func(*cobra.Command, []string) error { return trial.Proxy(listen, workers) },
	}
	proxy.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to serve at")
	proxy.Flags().StringSliceVar(&workers, "workers", nil, "addresses of workers")
	group.AddCommand(transports, newMeasureCapture(), newMeasureCounter(), proxy)
	return group
}

func newMeasureCounter() *cobra.Command {
	var o trial.Counters
	c := &cobra.Command{
		Use:   "counter",
		Short: "What several gatekeepers hold banks to while their counter is in trouble, in simulated time",
		Args:  noArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return o.Write(c.OutOrStdout()) },
	}
	c.Flags().IntVar(&o.Gates, "gatekeepers", 4, "how many; a ceiling that is thin for so many is leased from the counter")
	c.Flags().IntVar(&o.Runs, "runs", 200, "how often each trouble is played")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of the first run, one more in each")
	return c
}

func newMeasureCapture() *cobra.Command {
	o := trial.Options{Progress: os.Stderr, Loads: []float64{0.5}, Fleets: trial.Fleets()[:1]}
	e := trial.Events{Runs: 15, Requests: 100000}
	var lives int
	c := &cobra.Command{
		Use:   "capture",
		Short: "What a capture costs a gatekeeper, and what a replay of it does",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if err := trial.Captures(ctx, o, c.OutOrStdout()); err != nil {
				return err
			}
			e.Seed = o.Seed
			if err := e.Write(c.OutOrStdout()); err != nil {
				return err
			}
			r := trial.Restarts{Lives: lives, Seed: o.Seed, Down: 300}
			return r.Write(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&o.Runs, "runs", 10, "how often each is played")
	f.IntVar(&e.Large, "large", 2500000, "requests of the capture that some are explained from")
	f.IntVar(&lives, "lives", 200, "restarts that are simulated, cold and warm each")
	f.DurationVar(&o.For, "for", 4*time.Second, "how long a run is")
	f.DurationVar(&o.Settle, "settle", time.Second, "of it, not counted")
	f.Uint64Var(&o.Seed, "seed", 1, "of the arrivals, one more in each run")
	return c
}
