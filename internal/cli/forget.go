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
	"foxwood/internal/rpc/api"
)

// forget is the command that removes a permanently lost machine from the core.
type forget struct{ at string }

func (*forget) Name() string     { return "forget" }
func (*forget) Synopsis() string { return "Remove a permanently lost machine from the core" }
func (*forget) Usage() string {
	return "forget -at ADDRESS GONE\n\tMake the cairn at an inner address remove the cairn at the address GONE (as printed by status) from the core, so\n" +
		"\tthat it no longer counts for the majority. A running cairn is not removed; one that returns joins again.\n"
}

func (c *forget) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.at, "at", "", "inner address of any running cairn")
}

func (c *forget) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.at == "" || flags.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	peer := rpc.NewPeer(c.at)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	answer, err := rpc.Call[api.RemoveNodeRequest, api.RemoveNodeResponse](ctx, peer, api.RemoveNodeRequest{Addr: flags.Arg(0)})
	if err != nil {
		return fail(err)
	}
	fmt.Printf("the core is %s\n", strings.Join(answer.Members, " "))
	return subcommands.ExitSuccess
}
