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

	"foxwood/internal/load"
)

// errBehind makes a run fail whose figures are not the gatekeeper's alone.
var errBehind = errors.New("the generator fell behind its own plan")

func newLoad() *cobra.Command {
	p := load.Plan{}
	var classes []string
	var arrivals string
	var deadline time.Duration
	var units float64
	c := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to gatekeepers and tell latencies from the intended send times",
		Long: "load sends requests in the platform's form at times that do not depend on answers, and counts\n" +
			"latency from the time at which each was meant to be sent. It exits with 1 where it could not\n" +
			"keep to its own plan: the figures of such a run are the generator's too.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if p.Classes, err = mix(classes, deadline, units); err != nil {
				return usageError{err}
			}
			switch arrivals {
			case "poisson", "constant":
				p.Poisson = arrivals == "poisson"
			default:
				return usageError{fmt.Errorf("--arrivals %q is neither poisson nor constant", arrivals)}
			}
			if err := p.Check(); err != nil {
				return usageError{err}
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := load.Run(ctx, p)
			if err != nil {
				return err
			}
			if err := r.Write(c.OutOrStdout()); err != nil {
				return err
			}
			if r.Behind {
				return errBehind
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringSliceVar(&p.Targets, "target", []string{"127.0.0.1:8080"}, "addresses of gatekeepers, taken in turn")
	f.Float64Var(&p.Rate, "rate", 100, "requests a second, over all targets")
	f.StringVar(&arrivals, "arrivals", "poisson", "gaps between requests: poisson or constant")
	f.DurationVar(&p.For, "for", 10*time.Second, "how long")
	f.DurationVar(&p.Settle, "settle", 0, "of the beginning that is sent but not counted")
	f.StringArrayVar(&classes, "class", []string{"cuota=1"}, "a class and its part: cuota=4, or simulacion=1/keyed for POST with a key")
	f.DurationVar(&deadline, "deadline", 2*time.Second, "what clients wait")
	f.Float64Var(&units, "units", 1, "units of a request")
	f.StringVar(&p.PlanName, "plan", "mayor", "plan of the customers")
	f.IntVar(&p.Customers, "customers", 10, "customers that the requests are spread over")
	f.IntVar(&p.Body, "body", 64, "bytes of a POST's body")
	f.Uint64Var(&p.Seed, "seed", 1, "of the arrivals")
	return c
}

// mix reads classes: NAME=PART or NAME=PART/keyed.
func mix(texts []string, deadline time.Duration, units float64) ([]load.Class, error) {
	var all []load.Class
	for _, text := range texts {
		name, value, ok := strings.Cut(text, "=")
		part, kind, _ := strings.Cut(value, "/")
		c := load.Class{Name: name, Method: "GET", Deadline: deadline, Units: units}
		var err error
		if c.Part, err = strconv.ParseFloat(part, 64); err != nil || !ok {
			return nil, fmt.Errorf("--class %q is not NAME=PART or NAME=PART/keyed", text)
		}
		switch kind {
		case "":
		case "keyed":
			c.Method = "POST"
		default:
			return nil, fmt.Errorf("--class %q: %q is not keyed", text, kind)
		}
		all = append(all, c)
	}
	if len(all) == 0 {
		return nil, errors.New("no --class is given")
	}
	return all, nil
}
