// Package whiteout rehearses an overload of the whole cluster: three core machines and six
// gatekeepers as processes of their own over loopback addresses, workers that keep a ledger, and
// clients of five tiers that send on whether or not they are answered. It ends by itself.
package whiteout

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"foxwood/internal/testing/standin"
)

// stage is a time at one load. Its trouble comes a quarter into it.
type stage struct {
	name    string
	load    float64 // times what fits
	lasts   float64 // seconds
	trouble string
}

var whole = []stage{
	{"calm", 0.8, 8, ""},
	{"1.2 times", 1.2, 10, ""},
	{"twice", 2, 16, ""},
	{"three times, a gatekeeper killed", 3, 12, "kill"},
	{"twice, one cut off", 2, 14, "cut"},
	{"twice, a core machine lost", 2, 12, "core"},
	{"calm again", 0.8, 12, ""},
}

var short = []stage{{"calm", 0.8, 5, ""}, {"twice", 2, 12, ""}}

// played is one run of stages.
type played struct {
	mode    string
	stages  []stage
	from    []time.Time
	end     time.Time
	asked   []*request
	tries   []*try
	lines   []line
	alones  []away
	verdict verdict
	sums    map[[3]int]*sum
}

// Main runs the command that the arguments name.
func Main(args []string) int {
	if len(args) == 3 && args[0] == "child" {
		return child(args[1], args[2])
	}
	if len(args) > 0 && args[0] == "copies" {
		return Copies(args[1:])
	}
	f := flag.NewFlagSet("whiteout", flag.ContinueOnError)
	out := f.String("out", "", "folder for overload.svg and overload-tables.md; empty: only print")
	scale := f.Float64("scale", 1, "times the stages' lengths, 0.3 to 3")
	alone := f.Bool("alone", false, "leave the baselines out")
	f.Usage = func() {
		fmt.Fprintln(f.Output(), "whiteout [-out DIR] [-scale N] [-alone]\nwhiteout copies [-out DIR] [-rounds N]\n\tRehearse an overload of a whole cluster over loopback, about three minutes. Exits with 1 where an\n"+
			"\tunsafe request ran twice, one that was accepted did not run, one that was refused did, or a higher\n\ttier was shed while a lower one passed outside the settling time. copies measures what copies of journeys cost.")
		f.PrintDefaults()
	}
	if f.Parse(args) != nil {
		return 2
	}
	if f.NArg() > 0 || !(*scale >= 0.3 && *scale <= 3) {
		f.Usage()
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(360**scale)*time.Second)
	defer cancel()
	runs := []struct {
		mode   string
		stages []stage
	}{{"alike", whole}, {"whole", short}, {"solitary", short}, {"dice", short}}
	if *alone {
		runs = runs[:1]
	}
	var all []*played
	failed := false
	for _, r := range runs {
		p, err := play(ctx, r.mode, r.stages, *scale)
		if err != nil {
			fmt.Fprintf(os.Stderr, "whiteout: %s: %v\n", r.mode, err)
			if failed = true; len(all) == 0 {
				return 1
			}
			break // what was played is still told
		}
		all = append(all, p)
	}
	text := report(all)
	fmt.Print(text)
	if *out != "" {
		if err := os.MkdirAll(*out, 0o755); err != nil {
			fmt.Fprintln(os.Stderr, "whiteout:", err)
			return 1
		}
		for name, body := range map[string]string{"overload-tables.md": text, "overload.svg": chart(all[0])} {
			if err := os.WriteFile(filepath.Join(*out, name), []byte(body), 0o644); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
		}
	}
	if faults := all[0].faults(); len(faults) > 0 {
		for _, x := range faults {
			fmt.Fprintln(os.Stderr, "whiteout: "+x)
		}
		return 1
	}
	if failed {
		return 1
	}
	return 0
}

// play brings a cluster up, goes through the stages and takes it down.
func play(ctx context.Context, mode string, stages []stage, scale float64) (*played, error) {
	dir, err := os.MkdirTemp(os.Getenv("WHITEOUT_DISKS"), "whiteout") // the system's place for such files, if it names none
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &cluster{dir: dir, net: fmt.Sprintf("127.%d", 64+os.Getpid()%128), mode: mode, book: standin.NewLedger()}
	defer c.stop()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	p := &played{mode: mode, stages: stages}
	crowd := newCrowd(c.gates)
	began := time.Now()
	var aways []away
	for i, s := range stages {
		lasts := time.Duration(s.lasts * scale * float64(time.Second))
		p.from = append(p.from, time.Now())
		fmt.Fprintf(os.Stderr, "%s: %s, %.0f requests a second for %v\n", mode, s.name, s.load*fits(), lasts)
		trouble := make(chan away, 1)
		go func() { trouble <- c.harm(s.trouble, crowd, lasts) }()
		crowd.run(ctx, i, s.load*fits(), lasts)
		if a := <-trouble; !a.from.IsZero() {
			aways = append(aways, a)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	crowd.wait.Wait()
	p.end = time.Now()
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	p.lines = c.lines
	c.mu.Unlock()
	p.asked, p.tries = crowd.asked, crowd.tries
	moved := changes(p.lines)
	for _, a := range aways { // who is cut off or joins again settles too
		moved = append(moved, change{a.from, a.gate}, change{a.to, -1})
	}
	sortChanges(moved)
	if mode == "alike" || mode == "whole" { // of the baselines all are always alone
		p.alones = alones(p.lines, p.end)
		aways = append(aways, p.alones...)
	}
	p.verdict = judge(p.tries, c.book, moved, aways, began, p.end, mode == "whole")
	p.sums = table(p.asked)
	return p, nil
}

// harm does a stage's trouble, a quarter into it.
func (c *cluster) harm(what string, crowd *crowd, lasts time.Duration) (a away) {
	if what == "" {
		return a
	}
	time.Sleep(lasts / 4)
	switch what {
	case "kill":
		c.gates[gatekeepers-1].signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		crowd.lost(gatekeepers - 1)
	case "cut":
		a = away{gate: gatekeepers - 2, from: time.Now()}
		c.gates[a.gate].signal(syscall.SIGUSR1)
		time.Sleep(lasts / 2)
		c.gates[a.gate].signal(syscall.SIGUSR2)
		a.to = time.Now().Add(settling)
	case "core":
		if h := c.holder(); h >= 0 {
			c.bothies[h].signal(syscall.SIGKILL)
			c.cairns[h].signal(syscall.SIGKILL)
		}
	}
	return a
}

// faults are what must never be.
func (p *played) faults() (out []string) {
	v := p.verdict
	for _, x := range []struct {
		n    int
		what string
	}{{v.unsafeTwice, "unsafe requests ran twice"}, {v.lost, "accepted requests did not run"}, {v.refusedRan, "refused requests ran"},
		{v.outOfOrder, "settled times in which a higher tier was shed while a lower one passed: " + v.order}} {
		if x.n > 0 {
			out = append(out, fmt.Sprintf("%d %s", x.n, x.what))
		}
	}
	return out
}
