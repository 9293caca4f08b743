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

	"foxwood/internal/rpc"
	"foxwood/internal/spur"
	"foxwood/internal/waymark"
)

// shadow is an operator's order for copies of journeys. Unlike shed's it is part of the chain: it
// holds until another one does.
type shadow struct {
	at       string
	patience time.Duration
}

func (*shadow) Name() string     { return "shadow" }
func (*shadow) Synopsis() string { return "Order which journeys are copied for shadow services" }
func (*shadow) Usage() string {
	return "shadow -at ADDRESS put FILE | get | stop\nshadow status ADDRESS...\n" +
		"\tput has any bothy, at its control desk, bring the order in FILE (- for standard input) into the chain; get gives the\n" +
		"\torder that holds; stop ends all copying. status asks gatekeepers, at their inner addresses, what they have copied.\n"
}

func (c *shadow) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.at, "at", "", "a bothy's control desk")
	f.DurationVar(&c.patience, "patience", 3*time.Second, "how long to wait for each answer")
}

func (c *shadow) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, n := f.Arg(0), f.NArg()
	switch {
	case verb == "status" && n > 1 && c.at == "":
		return c.status(ctx, f.Args()[1:])
	case c.at == "":
	case verb == "put" && n == 2:
		body, err := readAll(f.Arg(1))
		if err != nil {
			return fail(err)
		}
		return c.call(ctx, http.MethodPut, body)
	case verb == "get" && n == 1:
		return c.call(ctx, http.MethodGet, nil)
	case verb == "stop" && n == 1:
		return c.call(ctx, http.MethodDelete, nil)
	}
	fmt.Fprint(os.Stderr, c.Usage())
	return subcommands.ExitUsageError
}

func (c *shadow) call(ctx context.Context, method string, body []byte) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.at+"/shadow", bytes.NewReader(body))
	if err != nil {
		return fail(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fail(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	}
	if err != nil {
		return fail(err)
	}
	fmt.Println(strings.TrimSpace(string(text)))
	return subcommands.ExitSuccess
}

// status tells of each gatekeeper, and of all together.
func (c *shadow) status(ctx context.Context, addrs []string) subcommands.ExitStatus {
	exit := subcommands.ExitSuccess
	var sum spur.Counts
	for _, addr := range addrs {
		p := rpc.NewPeer(addr)
		ctx, cancel := context.WithTimeout(ctx, c.patience)
		a, err := rpc.Call[waymark.AskCopies, waymark.Copies](ctx, p, waymark.AskCopies{})
		cancel()
		p.Close()
		switch {
		case err != nil:
			fmt.Printf("%s: %v\n", addr, err)
			exit = subcommands.ExitFailure
		case a.Off:
			fmt.Printf("%s: started without -shadow\n", addr)
			exit = subcommands.ExitFailure
		default:
			s, k := a.Status, a.Status.Counts
			fmt.Printf("%s: order %d on %t (%s), %d members, %d open, %d waiting, %d of %d bytes, chosen %d, whole %d, broken %d, delivered %d, held %d\n",
				addr, s.Order, s.On, s.Why, s.Members, s.Open, s.Waiting, s.Bytes, s.Room, k.Chosen, k.Whole, k.Broken, k.Delivered, k.Held)
			fmt.Printf("  own part: sent %d, hung %d, refused %d, no room %d, lost %d, pressed %d times, worked %d ms\n", a.Own.Sent, a.Own.Hung,
				a.Own.Refused, a.Own.NoRoom, a.Own.Lost, a.Own.Pressed, a.Own.WorkMs)
			if len(s.Silent) > 0 {
				fmt.Printf("  hears nothing of %s\n", strings.Join(s.Silent, ", "))
			}
			sum.Chosen, sum.Whole, sum.Broken = sum.Chosen+k.Chosen, sum.Whole+k.Whole, sum.Broken+k.Broken
			sum.Delivered, sum.Held = sum.Delivered+k.Delivered, sum.Held+k.Held
			for i, n := range k.By {
				sum.By[i] += n
			}
		}
	}
	fmt.Printf("all: chosen %d, whole %d, broken %d, delivered %d, held %d\n", sum.Chosen, sum.Whole, sum.Broken, sum.Delivered, sum.Held)
	for i, n := range sum.By {
		if n > 0 {
			fmt.Printf("  broken by %s: %d\n", spur.Cause(i), n)
		}
	}
	return exit
}
