package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// rebuild is the command that starts a new core after the permanent loss of the majority.
type rebuild struct{ at, lastEntry string }

func (*rebuild) Name() string { return "rebuild" }
func (*rebuild) Synopsis() string {
	return "Start a new core from one copy after the permanent loss of the majority"
}
func (*rebuild) Usage() string {
	return "rebuild -at ADDRESS -copy VIEW.NUMBER\n\tMake the cairn at an inner address start a new core from its copy, which status prints after \"holds\". Use\n" +
		"\tit only if the other machines of the core are permanently lost: what only they hold is lost.\n"
}
func (c *rebuild) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.at, "at", "", "inner address of the cairn with the copy (ip:port, of innerDocks)")
	flags.StringVar(&c.lastEntry, "copy", "", "the copy, as printed by status")
}

func (c *rebuild) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var last chain.LogPosition
	if n, err := fmt.Sscanf(c.lastEntry, "%d.%d", &last.View, &last.Seq); c.at == "" || n != 2 || err != nil {
		fmt.Fprintf(os.Stderr, "rebuild: expected -at with an address and -copy with VIEW.NUMBER, got %q and %q\n", c.at, c.lastEntry)
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	peer := rpc.NewPeer(c.at)
	defer peer.Close()
	answer, err := rpc.Call[api.RebuildRequest, api.RebuildResponse](ctx, peer, api.RebuildRequest{LastEntry: last})
	if err != nil {
		return fail(fmt.Errorf("%s: %w (the cairn is or was just in contact with a majority of the core, or has a different copy, or another cairn has a newer one)", c.at, err))
	}
	fmt.Printf("view %d has begun; others join it as they start\n", answer.View)
	return subcommands.ExitSuccess
}
