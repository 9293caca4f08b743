package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"foxwood/internal/cairn"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// rebuild is an operator's last resort, where no majority of the core can come back.
type rebuild struct{ at, from string }

func (*rebuild) Name() string { return "rebuild" }
func (*rebuild) Synopsis() string {
	return "Begin a new core from one whole copy, where no majority can come back"
}
func (*rebuild) Usage() string {
	return "rebuild -at ADDRESS -copy VIEW.NUMBER\n\tHave the cairn at an inner address begin a core of its own from what it holds, which status names after\n" +
		"\t\"holds\". Only where the core's other machines are gone for good: what they alone hold is lost.\n"
}
func (c *rebuild) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "the cairn with the copy (ip:port, of innerDocks)")
	f.StringVar(&c.from, "copy", "", "what it holds, as its status says it")
}

func (c *rebuild) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var last cairn.Stamp
	if n, err := fmt.Sscanf(c.from, "%d.%d", &last.View, &last.Seq); c.at == "" || n != 2 || err != nil {
		fmt.Fprintln(os.Stderr, "rebuild: -at names a cairn, -copy what it holds, as VIEW.NUMBER")
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	p := rpc.NewPeer(c.at)
	defer p.Close()
	r, err := rpc.Call[waymark.Rebuild, waymark.Rebuilt](ctx, p, waymark.Rebuild{Last: last})
	if err != nil {
		return fail(fmt.Errorf("%s: %w (a majority of the core is heard, or was a moment ago; or it holds something else, or another holds more)", c.at, err))
	}
	fmt.Printf("view %d has begun; others join it as they start\n", r.View)
	return subcommands.ExitSuccess
}
