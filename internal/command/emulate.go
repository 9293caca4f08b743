package command

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"foxwood/internal/testing/emulator"
)

func newEmulate() *cobra.Command {
	group := &cobra.Command{Use: "emulate", Short: "Emulate the services that a gatekeeper uses"}
	var workerConfig emulator.Config
	var listen string
	var classes []string
	var stallEvery, resetEvery, count int
	worker := &cobra.Command{
		Use:   "worker",
		Short: "A worker: cores, a queue, service times by class, injected faults, a ledger",
		Long: "An emulated worker. It serves HTTP/1.1 (also pipelined), HTTP/2 in cleartext and batch\n" +
			"connections at /batch. The class of a request is the query parameter class of its path. On\n" +
			"SIGTERM or SIGINT it prints its ledger as JSON and exits.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if workerConfig.Classes, err = parseServices(classes); err != nil {
				return usageError{err}
			}
			workerConfig.Default = emulator.ServiceTime{Mean: 5 * time.Millisecond}
			workerConfig.Fault = periodicFaults(stallEvery, resetEvery)
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			workerConfig.Log = emulator.NewRequestLog()
			connections := 0
			var workers []*emulator.Worker
			for range count {
				w, err := emulator.StartWorker(listen, workerConfig)
				if err != nil {
					return err
				}
				workerConfig.Seed++
				workers = append(workers, w)
				fmt.Fprintf(cmd.OutOrStdout(), "worker at %s\n", w.Addr())
			}
			<-stop
			for _, w := range workers {
				w.Stop()
				_, opened := w.Conns()
				connections += opened
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
				emulator.RequestTotals
				Connections int `json:"connections"`
			}{workerConfig.Log.Totals(), connections})
		},
	}
	flags := worker.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to serve at")
	flags.IntVar(&count, "workers", 1, "number of workers, with a common ledger and common idempotency keys; for more than one the port must be 0")
	flags.IntVar(&workerConfig.Cores, "cores", 2, "requests that are executed at once")
	flags.IntVar(&workerConfig.Queue, "queue", 64, "requests that may wait for a core; others get status 503")
	flags.StringArrayVar(&classes, "service", nil, "service time of a class, such as cuota=4ms, or cuota=60ms/0.7 with a coefficient of variation")
	flags.DurationVar(&workerConfig.RepeatWindow, "window", time.Second, "how long requests are deduplicated by their key")
	flags.DurationVar(&workerConfig.ColdDuration, "cold-for", 0, "how long the worker is slower after its start")
	flags.Float64Var(&workerConfig.ColdFactor, "cold-factor", 4, "how many times slower it is at the start")
	flags.StringVar(&workerConfig.EchoHeader, "echo", "X-Link-Turn", "header that is copied into responses; empty for none")
	flags.BoolVar(&workerConfig.LoadReports, "reports", false, "send load reports in responses")
	flags.IntVar(&workerConfig.MaxStreams, "streams", 0, "HTTP/2 streams at once; 0 for the default of the library")
	flags.Uint64Var(&workerConfig.Seed, "seed", 1, "seed of the service times")
	flags.IntVar(&stallEvery, "stall-every", 0, "never respond to every N-th request; 0 for none")
	flags.IntVar(&resetEvery, "reset-every", 0, "reset the connection of every N-th request after its execution; 0 for none")
	group.AddCommand(worker, newEmulateCounter())
	return group
}

func newEmulateCounter() *cobra.Command {
	var listen, troubles []string
	var perSecond float64
	var queue time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use:   "counter",
		Short: "A counter: numbers by name, served in order, with failures at given times",
		Long: "An emulated shared counter. A failure is AT+FOR:KIND=VALUE, with AT counted from the start:\n" +
			"slow=FACTOR, late=TIME, lose=N (every N-th addition is acknowledged but not made),\n" +
			"silent=FRACTION, spoilt=FRACTION (invalid responses), down, split=sum or split=keep (how the\n" +
			"values of the two sides, one for each of two addresses, are merged afterwards); and\n" +
			"AT:replace by an empty counter, AT:restore=AGE from a snapshot of that age. On SIGTERM or\n" +
			"SIGINT it prints its counts as JSON and exits.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(listen) == 0 || len(listen) > 2 || !(perSecond > 0) {
				return usageError{fmt.Errorf("expected one or two --listen and a --per-second above 0, got %d and %g", len(listen), perSecond)}
			}
			var events []emulator.CounterEvent
			for _, text := range troubles {
				event, err := emulator.ParseCounterEvent(text)
				if err != nil {
					return usageError{err}
				}
				events = append(events, event)
			}
			counter := emulator.NewCounter(emulator.CounterConfig{ServiceTimeMS: 1000 / perSecond, MaxQueueMS: float64(queue) / float64(time.Millisecond), Seed: seed})
			server, err := emulator.ServeCounter(counter, listen...)
			if err != nil {
				return err
			}
			for _, addr := range server.Addrs() {
				fmt.Fprintf(cmd.OutOrStdout(), "counter at %s\n", addr)
			}
			stop, end := make(chan os.Signal, 1), make(chan struct{})
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			go server.ApplyChanges(emulator.CounterChanges(events), end)
			<-stop
			close(end)
			server.Stop()
			return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
				Calls int `json:"calls"`
				Made  int `json:"made"`
			}{counter.Calls, counter.Additions})
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&listen, "listen", []string{"127.0.0.1:0"}, "address to serve at; a second one is for the other side of a split")
	flags.StringArrayVar(&troubles, "trouble", nil, "a failure, such as 10s+5s:slow=3")
	flags.Float64Var(&perSecond, "per-second", 2000, "calls served per second, one after the other")
	flags.DurationVar(&queue, "queue", 100*time.Millisecond, "longest time in the queue; calls beyond that get status 503")
	flags.Uint64Var(&seed, "seed", 1, "seed of the random failures")
	return cmd
}

// parseServices parses service times: CLASS=MEAN or CLASS=MEAN/CV.
func parseServices(texts []string) (map[string]emulator.ServiceTime, error) {
	services := map[string]emulator.ServiceTime{}
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		mean, cv, varies := strings.Cut(value, "/")
		service := emulator.ServiceTime{}
		var err error
		if service.Mean, err = time.ParseDuration(mean); err != nil || !ok || service.Mean <= 0 {
			return nil, fmt.Errorf("--service %q is not CLASS=MEAN or CLASS=MEAN/CV", text)
		}
		if varies {
			if service.CV, err = strconv.ParseFloat(cv, 64); err != nil || !(service.CV >= 0) {
				return nil, fmt.Errorf("--service %q: expected a coefficient of variation of at least 0, got %q", text, cv)
			}
		}
		services[name] = service
	}
	return services, nil
}

// periodicFaults injects faults into every N-th request: a stall or a reset. 0 means none.
func periodicFaults(stallEvery, resetEvery int) func(emulator.Arrival) emulator.Fault {
	if stallEvery <= 0 && resetEvery <= 0 {
		return nil
	}
	return func(a emulator.Arrival) emulator.Fault {
		switch n := a.Sequence + 1; {
		case stallEvery > 0 && n%stallEvery == 0:
			return emulator.Stall
		case resetEvery > 0 && n%resetEvery == 0:
			return emulator.ResetAfter
		}
		return emulator.None
	}
}
