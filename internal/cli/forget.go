package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// forget is an operator's order about a core machine that is gone for good.
type forget struct{ at string }

func (*forget) Name() string     { return "forget" }
func (*forget) Synopsis() string { return "Have the core forget a machine that is gone for good" }
func (*forget) Usage() string {
	return "forget -at ADDRESS GONE\n\tHave any cairn, at its inner address, leave the cairn at the address GONE (as status names it) out of\n" +
		"\tthe core, for whose majority it counts. One that is there is not forgotten; one that comes back joins again.\n"
}

func (c *forget) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "a running cairn's inner address")
}

func (c *forget) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.at == "" || f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	p := rpc.NewPeer(c.at)
	defer p.Close()
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	a, err := rpc.Call[waymark.Forget, waymark.Forgotten](ctx, p, waymark.Forget{Addr: f.Arg(0)})
	if err != nil {
		return fail(err)
	}
	fmt.Printf("the core is %s\n", strings.Join(a.Core, " "))
	return subcommands.ExitSuccess
}
