// Package overloadtest is a live overload test of the whole cluster. It starts three core machines (a
// configuration store, program cairn, and a registry, program bothy, on each) and six proxies (program switchback;
// the reports call them gatekeepers) as processes on loopback addresses. Workers record in a ledger what they ran.
// Clients of five tiers send at a fixed rate, whether or not they are answered, while processes are
// killed and isolated. At the end it checks that no unsafe request ran twice, that accepted requests ran and
// refused ones did not, and that no tier was shed while a less important one passed.
package overloadtest

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

// stage is a part of a run with constant load. Its failure is injected after a quarter of its time.
type stage struct {
	name       string
	loadFactor float64 // as a multiple of the capacity
	seconds    float64
	failure    string // "kill", "cut" or "core", see injectFailure; empty for none
}

// fullStages holds the stages of the main run.
var fullStages = []stage{
	{"calm", 0.8, 8, ""},
	{"1.2 times", 1.2, 10, ""},
	{"twice", 2, 16, ""},
	{"three times, a gatekeeper killed", 3, 12, "kill"},
	{"twice, one cut off", 2, 14, "cut"},
	{"twice, a core machine lost", 2, 12, "core"},
	{"calm again", 0.8, 12, ""},
}

// shortStages holds the stages of the runs that are only compared with the main run.
var shortStages = []stage{{"calm", 0.8, 5, ""}, {"twice", 2, 12, ""}}

// runResult is the result of one run.
type runResult struct {
	mode        string
	stages      []stage
	stageStarts []time.Time // start of each stage
	end         time.Time
	requests    []*request
	attempts    []*attempt
	levelLog    []logLine
	isolations  []isolation
	verdict     verdict
	counts      map[[3]int]*requestCounts // see countRequests
}

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string) int {
	if len(args) == 3 && args[0] == "child" {
		return runChild(args[1], args[2])
	}
	if len(args) > 0 && args[0] == "copies" {
		return RunCopiesCommand(args[1:])
	}
	flags := flag.NewFlagSet("whiteout", flag.ContinueOnError)
	outDir := flags.String("out", "", "folder for overload.svg and overload-tables.md; empty: only print")
	scale := flags.Float64("scale", 1, "times the stages' lengths, 0.3 to 3")
	mainOnly := flags.Bool("alone", false, "leave the baselines out")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "whiteout [-out DIR] [-scale N] [-alone]\nwhiteout copies [-out DIR] [-rounds N]\n\tRehearse an overload of a whole cluster over loopback, about three minutes. Exits with 1 where an\n"+
			"\tunsafe request ran twice, one that was accepted did not run, one that was refused did, or a higher\n\ttier was shed while a lower one passed outside the settling time. copies measures what copies of journeys cost.")
		flags.PrintDefaults()
	}
	if flags.Parse(args) != nil {
		return 2
	}
	if flags.NArg() > 0 || !(*scale >= 0.3 && *scale <= 3) {
		flags.Usage()
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(360**scale)*time.Second)
	defer cancel()
	planned := []struct {
		mode   string
		stages []stage
	}{{"alike", fullStages}, {"whole", shortStages}, {"solitary", shortStages}, {"dice", shortStages}}
	if *mainOnly {
		planned = planned[:1]
	}
	var completed []*runResult
	failed := false
	for _, plan := range planned {
		result, err := runStages(ctx, plan.mode, plan.stages, *scale)
		if err != nil {
			fmt.Fprintf(os.Stderr, "whiteout: %s: %v\n", plan.mode, err)
			if failed = true; len(completed) == 0 {
				return 1
			}
			break // report the runs that were completed
		}
		completed = append(completed, result)
	}
	report := formatReport(completed)
	fmt.Print(report)
	if *outDir != "" {
		if err := os.MkdirAll(*outDir, 0o755); err != nil {
			fmt.Fprintln(os.Stderr, "whiteout:", err)
			return 1
		}
		for name, body := range map[string]string{"overload-tables.md": report, "overload.svg": drawChart(completed[0])} {
			if err := os.WriteFile(filepath.Join(*outDir, name), []byte(body), 0o644); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
		}
	}
	if violations := completed[0].violations(); len(violations) > 0 {
		for _, violation := range violations {
			fmt.Fprintln(os.Stderr, "whiteout: "+violation)
		}
		return 1
	}
	if failed {
		return 1
	}
	return 0
}

// runStages starts a cluster, runs the stages on it, stops it, and judges the run.
func runStages(ctx context.Context, mode string, stages []stage, scale float64) (*runResult, error) {
	dir, err := os.MkdirTemp(os.Getenv("WHITEOUT_DISKS"), "whiteout") // the system's temporary folder if the variable is not set
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	system := &cluster{dir: dir, netPrefix: fmt.Sprintf("127.%d", 64+os.Getpid()%128), mode: mode, ledger: standin.NewExecutionLog()}
	defer system.stop()
	if err := system.start(ctx); err != nil {
		return nil, err
	}
	result := &runResult{mode: mode, stages: stages}
	generator := newLoadGenerator(system.proxies)
	began := time.Now()
	var allIsolated []isolation
	for i, current := range stages {
		duration := time.Duration(current.seconds * scale * float64(time.Second))
		result.stageStarts = append(result.stageStarts, time.Now())
		fmt.Fprintf(os.Stderr, "%s: %s, %.0f requests a second for %v\n", mode, current.name, current.loadFactor*capacity(), duration)
		isolated := make(chan isolation, 1)
		go func() { isolated <- system.injectFailure(current.failure, generator, duration) }()
		generator.run(ctx, i, current.loadFactor*capacity(), duration)
		if a := <-isolated; !a.from.IsZero() {
			allIsolated = append(allIsolated, a)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	generator.inFlight.Wait()
	result.end = time.Now()
	time.Sleep(100 * time.Millisecond)
	system.mu.Lock()
	result.levelLog = system.levelLog
	system.mu.Unlock()
	result.requests, result.attempts = generator.requests, generator.attempts
	changes := levelChanges(result.levelLog)
	for _, a := range allIsolated { // isolating and reconnecting a proxy need settling time too
		changes = append(changes, levelChange{a.from, a.proxy}, levelChange{a.to, -1})
	}
	sortChanges(changes)
	if mode == "alike" || mode == "whole" { // in the other modes every proxy always chooses its own level
		result.isolations = isolations(result.levelLog, result.end)
		allIsolated = append(allIsolated, result.isolations...)
	}
	result.verdict = judge(result.attempts, system.ledger, changes, allIsolated, began, result.end, mode == "whole")
	result.counts = countRequests(result.requests)
	return result, nil
}

// injectFailure injects a stage's failure after a quarter of the stage's time: "kill" kills the last proxy, "cut"
// isolates the one before it for half of the stage, "core" kills the core machine that holds the level duty.
// It returns the isolation, if any.
func (c *cluster) injectFailure(failure string, generator *loadGenerator, duration time.Duration) (isolated isolation) {
	if failure == "" {
		return isolated
	}
	time.Sleep(duration / 4)
	switch failure {
	case "kill":
		c.proxies[proxyCount-1].signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		generator.delist(proxyCount - 1)
	case "cut":
		isolated = isolation{proxy: proxyCount - 2, from: time.Now()}
		c.proxies[isolated.proxy].signal(syscall.SIGUSR1)
		time.Sleep(duration / 2)
		c.proxies[isolated.proxy].signal(syscall.SIGUSR2)
		isolated.to = time.Now().Add(settlingTime)
	case "core":
		if holder := c.levelHolder(); holder >= 0 {
			c.controlNodes[holder].signal(syscall.SIGKILL)
			c.storeNodes[holder].signal(syscall.SIGKILL)
		}
	}
	return isolated
}

// violations returns a line for each kind of violation that the run has.
func (p *runResult) violations() (lines []string) {
	found := p.verdict
	for _, kind := range []struct {
		n    int
		what string
	}{{found.unsafeRanTwice, "unsafe requests ran twice"}, {found.acceptedNotRun, "accepted requests did not run"}, {found.refusedRan, "refused requests ran"},
		{found.outOfOrder, "settled times in which a higher tier was shed while a lower one passed: " + found.outOfOrderExample}} {
		if kind.n > 0 {
			lines = append(lines, fmt.Sprintf("%d %s", kind.n, kind.what))
		}
	}
	return lines
}
