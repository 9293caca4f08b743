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

	"foxwood/internal/emulator"
)

func newEmulate() *cobra.Command {
	group := &cobra.Command{Use: "emulate", Short: "Stand in for what a gatekeeper works with"}
	var c emulator.Config
	var listen string
	var classes []string
	var stallEvery, resetEvery, count int
	worker := &cobra.Command{
		Use:   "worker",
		Short: "A worker: cores, a queue, service times by class, injected faults, a ledger",
		Long: "A stand-in for a worker. It serves HTTP/1.1 (pipelined too), HTTP/2 in cleartext and batch\n" +
			"links at /batch. The class of a request is the query parameter class of its path. On SIGTERM\n" +
			"or SIGINT it prints its ledger as JSON and ends.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if c.Classes, err = services(classes); err != nil {
				return usageError{err}
			}
			c.Default = emulator.Service{Mean: 5 * time.Millisecond}
			c.Fault = every(stallEvery, resetEvery)
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			c.Ledger = emulator.NewLedger()
			connections := 0
			var all []*emulator.Worker
			for range count {
				w, err := emulator.Start(listen, c)
				if err != nil {
					return err
				}
				c.Seed++
				all = append(all, w)
				fmt.Fprintf(cmd.OutOrStdout(), "worker at %s\n", w.Addr())
			}
			<-stop
			for _, w := range all {
				w.Stop()
				_, ever := w.Conns()
				connections += ever
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
				emulator.Totals
				Connections int `json:"connections"`
			}{c.Ledger.Totals(), connections})
		},
	}
	f := worker.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to serve at")
	f.IntVar(&count, "workers", 1, "how many, with one ledger and one memory of keys; more than one want a free port")
	f.IntVar(&c.Cores, "cores", 2, "requests that run at once")
	f.IntVar(&c.Queue, "queue", 64, "requests that wait for a core; beyond them it answers 503")
	f.StringArrayVar(&classes, "service", nil, "service time of a class, as cuota=4ms or cuota=60ms/0.7 with a coefficient of variation")
	f.DurationVar(&c.Window, "window", time.Second, "how long repeats of a key are dropped")
	f.DurationVar(&c.ColdFor, "cold-for", 0, "how long after its start it is slower")
	f.Float64Var(&c.ColdFactor, "cold-factor", 4, "how much slower at first")
	f.StringVar(&c.Echo, "echo", "X-Link-Turn", "header that is copied into answers; empty for none")
	f.BoolVar(&c.Reports, "reports", false, "answers hold load reports")
	f.IntVar(&c.MaxStreams, "streams", 0, "HTTP/2 streams at once; 0 for the library's own")
	f.Uint64Var(&c.Seed, "seed", 1, "of the service times")
	f.IntVar(&stallEvery, "stall-every", 0, "let every so many-th request wait for good")
	f.IntVar(&resetEvery, "reset-every", 0, "reset the connection of every so many-th request after it ran")
	group.AddCommand(worker, newEmulateCounter())
	return group
}

func newEmulateCounter() *cobra.Command {
	var listen, troubles []string
	var perSecond float64
	var queue time.Duration
	var seed uint64
	c := &cobra.Command{
		Use:   "counter",
		Short: "A counter: numbers by name, served in turn, with troubles on a time line",
		Long: "A stand-in for the shared counter. A trouble is AT+FOR:KIND=VALUE, counted from the start:\n" +
			"slow=TIMES, late=TIME, lose=N (every so many-th addition is acknowledged and not made),\n" +
			"silent=PART, spoilt=PART, down, split=sum or split=keep (what counts when the sides, one for\n" +
			"each of two addresses, rejoin); and AT:replace by one that holds nothing, AT:restore=AGE from\n" +
			"a snapshot of that age. On SIGTERM or SIGINT it prints its counts as JSON and ends.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(listen) == 0 || len(listen) > 2 || !(perSecond > 0) {
				return usageError{fmt.Errorf("one or two of --listen, and --per-second over 0")}
			}
			var events []emulator.CounterEvent
			for _, text := range troubles {
				e, err := emulator.ParseCounterEvent(text)
				if err != nil {
					return usageError{err}
				}
				events = append(events, e)
			}
			counter := emulator.NewCounter(emulator.CounterConfig{Each: 1000 / perSecond, Queue: float64(queue) / float64(time.Millisecond), Seed: seed})
			s, err := emulator.ServeCounter(counter, listen...)
			if err != nil {
				return err
			}
			for _, addr := range s.Addrs() {
				fmt.Fprintf(cmd.OutOrStdout(), "counter at %s\n", addr)
			}
			stop, end := make(chan os.Signal, 1), make(chan struct{})
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			go s.Play(emulator.Moments(events), end)
			<-stop
			close(end)
			s.Stop()
			return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
				Calls int `json:"calls"`
				Made  int `json:"made"`
			}{counter.Calls, counter.Made})
		},
	}
	f := c.Flags()
	f.StringArrayVar(&listen, "listen", []string{"127.0.0.1:0"}, "address to serve at; a second one is that of the other side in a split")
	f.StringArrayVar(&troubles, "trouble", nil, "a trouble, as 10s+5s:slow=3")
	f.Float64Var(&perSecond, "per-second", 2000, "calls that it serves a second, in turn")
	f.DurationVar(&queue, "queue", 100*time.Millisecond, "how long its line may be; beyond it answers 503")
	f.Uint64Var(&seed, "seed", 1, "of the troubles that come by chance")
	return c
}

// services reads service times: CLASS=MEAN or CLASS=MEAN/CV.
func services(texts []string) (map[string]emulator.Service, error) {
	all := map[string]emulator.Service{}
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		mean, cv, varies := strings.Cut(value, "/")
		s := emulator.Service{}
		var err error
		if s.Mean, err = time.ParseDuration(mean); err != nil || !ok || s.Mean <= 0 {
			return nil, fmt.Errorf("--service %q is not CLASS=MEAN or CLASS=MEAN/CV", text)
		}
		if varies {
			if s.CV, err = strconv.ParseFloat(cv, 64); err != nil || !(s.CV >= 0) {
				return nil, fmt.Errorf("--service %q: %q is no coefficient of variation", text, cv)
			}
		}
		all[name] = s
	}
	return all, nil
}

// every injects faults at fixed places among a worker's requests.
func every(stall, reset int) func(emulator.Arrival) emulator.Fault {
	if stall <= 0 && reset <= 0 {
		return nil
	}
	return func(a emulator.Arrival) emulator.Fault {
		switch n := a.N + 1; {
		case stall > 0 && n%stall == 0:
			return emulator.Stall
		case reset > 0 && n%reset == 0:
			return emulator.ResetAfter
		}
		return emulator.None
	}
}
