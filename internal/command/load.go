package command

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"foxwood/internal/testing/load"
)

// errBehindSchedule fails a run in which the generator sent requests late: its results don't
// depend on the gatekeeper alone.
var errBehindSchedule = errors.New("the load generator fell behind its schedule")

func newLoad() *cobra.Command {
	plan := load.Plan{}
	var classes []string
	var arrivals string
	var deadline time.Duration
	var units float64
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to gatekeepers and measure latencies from the intended send times",
		Long: "load sends requests in the platform's form at times that do not depend on responses, and\n" +
			"measures latency from the time at which each was meant to be sent. It exits with 1 if it could\n" +
			"not keep to its schedule: the results then depend on the generator too.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if plan.Classes, err = parseClasses(classes, deadline, units); err != nil {
				return usageError{err}
			}
			switch arrivals {
			case "poisson", "constant":
				plan.Poisson = arrivals == "poisson"
			default:
				return usageError{fmt.Errorf("--arrivals %q is neither poisson nor constant", arrivals)}
			}
			if err := plan.Validate(); err != nil {
				return usageError{err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			report, err := load.Run(ctx, plan)
			if err != nil {
				return err
			}
			if err := report.Write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if report.FellBehind {
				return errBehindSchedule
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&plan.Targets, "target", []string{"127.0.0.1:8080"}, "addresses of gatekeepers, used in turn")
	flags.Float64Var(&plan.RatePerSecond, "rate", 100, "requests per second, over all targets")
	flags.StringVar(&arrivals, "arrivals", "poisson", "arrival process: poisson or constant")
	flags.DurationVar(&plan.Duration, "for", 10*time.Second, "duration of the load")
	flags.DurationVar(&plan.WarmUp, "settle", 0, "warm-up time, in which requests are sent but not counted")
	flags.StringArrayVar(&classes, "class", []string{"cuota=1"}, "a class and its share: cuota=4, or simulacion=1/keyed for POST with an idempotency key")
	flags.DurationVar(&deadline, "deadline", 2*time.Second, "how long clients wait")
	flags.Float64Var(&units, "units", 1, "units per request")
	flags.StringVar(&plan.TariffPlan, "plan", "mayor", "plan of the customers")
	flags.IntVar(&plan.Customers, "customers", 10, "number of customers")
	flags.IntVar(&plan.BodyBytes, "body", 64, "bytes in the body of a POST")
	flags.Uint64Var(&plan.Seed, "seed", 1, "seed of the arrivals")
	return cmd
}

// parseClasses parses classes: NAME=PART or NAME=PART/keyed.
func parseClasses(texts []string, deadline time.Duration, units float64) ([]load.Class, error) {
	var classes []load.Class
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		part, kind, _ := strings.Cut(value, "/")
		class := load.Class{Name: name, Method: "GET", Deadline: deadline, Units: units}
		var err error
		if class.Weight, err = strconv.ParseFloat(part, 64); err != nil || !ok {
			return nil, fmt.Errorf("--class %q is not NAME=PART or NAME=PART/keyed", text)
		}
		switch kind {
		case "":
		case "keyed":
			class.Method = "POST"
		default:
			return nil, fmt.Errorf("--class %q: expected \"keyed\" after the slash, got %q", text, kind)
		}
		classes = append(classes, class)
	}
	if len(classes) == 0 {
		return nil, errors.New("expected at least one --class, got none")
	}
	return classes, nil
}
