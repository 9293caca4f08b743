package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"foxwood/internal/dataplane/mirror"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// shadow is the command that controls traffic mirroring. Unlike an order of shed, a mirroring order is committed to the
// configuration store and stays in force until the next one.
type shadow struct {
	at      string
	timeout time.Duration
}

func (*shadow) Name() string     { return "shadow" }
func (*shadow) Synopsis() string { return "Control which requests are mirrored to shadow services" }
func (*shadow) Usage() string {
	return "shadow -at ADDRESS put FILE | get | stop\nshadow status ADDRESS...\n" +
		"\tput commits the mirroring order in FILE (- for standard input) through any bothy at its control desk. get prints\n" +
		"\tthe order in force. stop ends all mirroring. status prints what the gatekeepers at inner addresses have mirrored.\n"
}

func (c *shadow) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.at, "at", "", "control desk address of any bothy")
	flags.DurationVar(&c.timeout, "patience", 3*time.Second, "timeout for each answer")
}

func (c *shadow) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, argCount := flags.Arg(0), flags.NArg()
	switch {
	case verb == "status" && argCount > 1 && c.at == "":
		return c.status(ctx, flags.Args()[1:])
	case c.at == "":
	case verb == "put" && argCount == 2:
		body, err := readAll(flags.Arg(1))
		if err != nil {
			return fail(err)
		}
		return c.call(ctx, http.MethodPut, body)
	case verb == "get" && argCount == 1:
		return c.call(ctx, http.MethodGet, nil)
	case verb == "stop" && argCount == 1:
		return c.call(ctx, http.MethodDelete, nil)
	}
	fmt.Fprint(os.Stderr, c.Usage())
	return subcommands.ExitUsageError
}

// call sends a request to the control desk and prints the answer.
func (c *shadow) call(ctx context.Context, method string, body []byte) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.at+"/shadow", bytes.NewReader(body))
	if err != nil {
		return fail(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	if err != nil {
		return fail(err)
	}
	fmt.Println(strings.TrimSpace(string(text)))
	return subcommands.ExitSuccess
}

// status prints the mirroring status of each gatekeeper and the sums over all of them.
func (c *shadow) status(ctx context.Context, addrs []string) subcommands.ExitStatus {
	exit := subcommands.ExitSuccess
	var total mirror.Counts
	for _, addr := range addrs {
		peer := rpc.NewPeer(addr)
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		answer, err := rpc.Call[api.MirrorStatusRequest, api.MirrorStatusResponse](ctx, peer, api.MirrorStatusRequest{})
		cancel()
		peer.Close()
		switch {
		case err != nil:
			fmt.Printf("%s: %v\n", addr, err)
			exit = subcommands.ExitFailure
		case answer.Disabled:
			fmt.Printf("%s: started without -shadow\n", addr)
			exit = subcommands.ExitFailure
		default:
			state, counts := answer.Status, answer.Status.Counts
			fmt.Printf("%s: order %d on %t (%s), %d members, %d open, %d waiting, %d of %d bytes, chosen %d, whole %d, broken %d, delivered %d, held %d\n",
				addr, state.RuleNumber, state.Active, state.InactiveCause, state.Members, state.OpenFlows, state.WaitingFlows, state.UsedBytes, state.MaxBytes, counts.Selected, counts.Complete, counts.Broken, counts.Delivered, counts.Withheld)
			fmt.Printf("  own part: sent %d, hung %d, refused %d, no room %d, lost %d, pressed %d times, worked %d ms\n", answer.Counters.Sent, answer.Counters.TimedOut,
				answer.Counters.Refused, answer.Counters.QueueFull, answer.Counters.DroppedUnrecorded, answer.Counters.Suspended, answer.Counters.WorkMS)
			if len(state.UnresponsiveNodes) > 0 {
				fmt.Printf("  hears nothing of %s\n", strings.Join(state.UnresponsiveNodes, ", "))
			}
			total.Selected, total.Complete, total.Broken = total.Selected+counts.Selected, total.Complete+counts.Complete, total.Broken+counts.Broken
			total.Delivered, total.Withheld = total.Delivered+counts.Delivered, total.Withheld+counts.Withheld
			for i, n := range counts.BrokenByCause {
				total.BrokenByCause[i] += n
			}
		}
	}
	fmt.Printf("all: chosen %d, whole %d, broken %d, delivered %d, held %d\n", total.Selected, total.Complete, total.Broken, total.Delivered, total.Withheld)
	for i, n := range total.BrokenByCause {
		if n > 0 {
			fmt.Printf("  broken by %s: %d\n", mirror.Cause(i), n)
		}
	}
	return exit
}
