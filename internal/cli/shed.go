package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"foxwood/internal/control/shedding"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// shed is the command that fixes the load shedding level. An order is not committed to the configuration store: it must
// reach a cluster that is too overloaded to commit, and must expire by itself.
type shed struct {
	at            string
	tenant, route int
	open, auto    bool
	duration      time.Duration
}

func (*shed) Name() string     { return "shed" }
func (*shed) Synopsis() string { return "Fix the load shedding level for a time, or release it" }
func (*shed) Usage() string {
	return "shed -at ADDRESS (-tenant N [-route N] | -open | -auto) [-for DURATION]\n" +
		"\tMake the gatekeepers, through any bothy at its inner address, refuse for a time all requests of tenants from a\n" +
		"\tpriority on (with -route, of the first such priority only from a route priority on), or refuse nothing with -open.\n" +
		"\t-auto ends an order. After that the level is adjusted automatically again.\n"
}

func (c *shed) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.at, "at", "", "inner address of any bothy")
	flags.IntVar(&c.tenant, "tenant", -1, "refuse tenants from this priority on")
	flags.IntVar(&c.route, "route", 0, "of tenants with exactly that priority, refuse only routes from this priority on")
	flags.BoolVar(&c.open, "open", false, "refuse nothing")
	flags.BoolVar(&c.auto, "auto", false, "end the order in force")
	flags.DurationVar(&c.duration, "for", 5*time.Minute, "duration of the order, at most 24h")
}

func (c *shed) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	modes := 0
	for _, chosen := range []bool{c.open, c.auto, c.tenant >= 0} {
		if chosen {
			modes++
		}
	}
	if c.at == "" || modes != 1 || flags.NArg() > 0 || c.duration <= 0 || c.duration > 24*time.Hour || c.tenant > 15 || c.route < 0 || c.route > 15 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	order := api.FixSheddingLevel{Cut: policy.ShedNothing, DurationMS: float64(c.duration.Milliseconds())}
	switch {
	case c.auto:
		order.DurationMS = 0
	case c.tenant >= 0:
		order.Cut = policy.TierStart(policy.Tier(c.tenant, c.route, 0))
	}
	peer := rpc.NewPeer(c.at)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := rpc.Call[api.FixSheddingLevel, api.SheddingLevel](ctx, peer, order); err != nil {
		return fail(err)
	}
	if c.auto {
		fmt.Println("the level is agreed upon again")
		return subcommands.ExitSuccess
	}
	fmt.Printf("refused for %v: %s\n", c.duration, shedding.Describe(order.Cut))
	return subcommands.ExitSuccess
}
