package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"foxwood/internal/rpc"
	"foxwood/internal/snowline"
	"foxwood/internal/waymark"
	"foxwood/policy"
)

// shed is an operator's order for the shedding level. It is no part of the chain: an order must
// reach a cluster that is too full to take a configuration, and must end by itself.
type shed struct {
	at            string
	tenant, route int
	open, auto    bool
	lasts         time.Duration
}

func (*shed) Name() string     { return "shed" }
func (*shed) Synopsis() string { return "Fix the shedding level for a time, or give it back" }
func (*shed) Usage() string {
	return "shed -at ADDRESS (-tenant N [-route N] | -open | -auto) [-for DURATION]\n" +
		"\tHave any bothy, at its inner address, refuse all from a tenants' priority on (and of it, from a routes'\n" +
		"\tpriority on), or nothing, for a time; -auto ends an order. After it the level is agreed upon again.\n"
}

func (c *shed) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "a bothy's inner address")
	f.IntVar(&c.tenant, "tenant", -1, "the priority of tenants from which on all is refused")
	f.IntVar(&c.route, "route", 0, "of these tenants, routes from this priority on")
	f.BoolVar(&c.open, "open", false, "refuse nothing")
	f.BoolVar(&c.auto, "auto", false, "end the order that holds")
	f.DurationVar(&c.lasts, "for", 5*time.Minute, "how long it holds, a day at most")
}

func (c *shed) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ways := 0
	for _, is := range []bool{c.open, c.auto, c.tenant >= 0} {
		if is {
			ways++
		}
	}
	if c.at == "" || ways != 1 || f.NArg() > 0 || c.lasts <= 0 || c.lasts > 24*time.Hour || c.tenant > 15 || c.route < 0 || c.route > 15 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	q := waymark.FixLevel{Cut: policy.MarkOpen, ForMs: float64(c.lasts.Milliseconds())}
	switch {
	case c.auto:
		q.ForMs = 0
	case c.tenant >= 0:
		q.Cut = policy.TierMark(policy.Tier(c.tenant, c.route, 0))
	}
	p := rpc.NewPeer(c.at)
	defer p.Close()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := rpc.Call[waymark.FixLevel, waymark.Eased](ctx, p, q); err != nil {
		return fail(err)
	}
	if c.auto {
		fmt.Println("the level is agreed upon again")
		return subcommands.ExitSuccess
	}
	fmt.Printf("refused for %v: %s\n", c.lasts, snowline.Describe(q.Cut))
	return subcommands.ExitSuccess
}
