package overloadtest

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
	"foxwood/internal/testing/standin"
)

// This file measures the cost of traffic shadowing: on one cluster, phases in which nothing is copied alternate
// with phases in which 10 % or 100 % of the journeys (request sequences of one caller) are copied.

const (
	modeCopies            = "copies"
	copyRequestsPerSecond = 240.0
	offSeconds            = 20.0 // length of a phase without copies
	onSeconds             = 48.0 // length of a phase with copies
	offWarmupSeconds      = 3.0  // not measured: until the stop is in force and open journeys are dropped
	onWarmupSeconds       = 14.0 // not measured
	openJourneys          = 24
	meanJourneyRequests   = 5     // mean length of a journey
	clockTicksPerSecond   = 100.0 // unit of the processor times in /proc/PID/stat
)

// fastServices holds services with very short service times, so that the measured latency is mostly the proxies'.
var fastServices = []service{
	{"quote", true, 0, 2 * time.Millisecond, 500 * time.Millisecond, 0.4},
	{"lookup", true, 0, 2 * time.Millisecond, 500 * time.Millisecond, 0.4},
	{"preapproval", false, 0, 3 * time.Millisecond, 500 * time.Millisecond, 0.2},
}

// journeySet holds the journeys that are open.
type journeySet struct {
	mu      sync.Mutex
	open    []journey
	started int // number of journeys started so far
}

// journey is a sequence of requests of one caller.
type journey struct {
	tenant tenant
	caller string
}

// nextCaller returns the tenant and the caller of the next request. With a probability of 1 in meanJourneyRequests it
// is the last request of its journey.
func (v *journeySet) nextCaller() (tenant, string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for len(v.open) < openJourneys {
		v.started++
		v.open = append(v.open, journey{tenants[rand.IntN(len(tenants))], fmt.Sprintf("visit-%d", v.started)})
	}
	i := rand.IntN(len(v.open))
	chosen := v.open[i]
	if rand.IntN(meanJourneyRequests) == 0 {
		v.open = slices.Delete(v.open, i, i+1)
	}
	return chosen.tenant, chosen.caller
}

// shadowServer is the shadow service. It records the copies that it receives.
type shadowServer struct {
	mu              sync.Mutex
	copiesByID      map[string]int      // number of copies received under each shadow id
	headersByCaller map[string][]string // by caller: the X-Foxwood-Shadow header of each copy
}

// ServeHTTP records a copy and answers with status 200.
func (b *shadowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copiesByID[r.Header.Get("X-Foxwood-Shadow-Id")]++
	caller := r.Header.Get(callerHeader)
	b.headersByCaller[caller] = append(b.headersByCaller[caller], r.Header.Get("X-Foxwood-Shadow"))
}

// phaseCost is the measured cost of one phase.
type phaseCost struct {
	mode        string
	from, to    time.Time     // the measured part of the phase
	cpu         time.Duration // processor time of all proxies
	rssMB       float64       // mean memory of a proxy, in MB
	requests    int
	latenciesMs []float64 // of successful safe requests; sorted once the run is over
	copiesSent  uint64    // copies sent by all proxies
}

// latencyQuantile returns a quantile of the latencies, in milliseconds.
func (s *phaseCost) latencyQuantile(q float64) float64 { return quantile(s.latenciesMs, q) }

// quantile returns the q-quantile of sorted values, or NaN without any.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// RunCopiesCommand runs the command "whiteout copies": it measures the cost of shadowing, prints the report and
// returns the exit code.
func RunCopiesCommand(args []string) int {
	flags := flag.NewFlagSet("whiteout copies", flag.ContinueOnError)
	outDir := flags.String("out", "", "folder for copies-live.md; empty: only print")
	rounds := flags.Int("rounds", 2, "of off, a tenth, off, all; 1 to 10, about two and a half minutes each")
	if flags.Parse(args) != nil {
		return 2
	}
	if flags.NArg() > 0 || *rounds < 1 || *rounds > 10 {
		flags.Usage()
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, violations, err := measureCopies(ctx, *rounds)
	if err != nil {
		fmt.Fprintln(os.Stderr, "whiteout copies:", err)
		return 1
	}
	fmt.Print(report)
	if *outDir != "" {
		if err := os.WriteFile(filepath.Join(*outDir, "copies-live.md"), []byte(report), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	for _, violation := range violations {
		fmt.Fprintln(os.Stderr, "whiteout copies: "+violation)
	}
	return min(len(violations), 1)
}

// measureCopies runs all phases on one cluster and returns the report and the violations found.
func measureCopies(ctx context.Context, rounds int) (report string, violations []string, err error) {
	services = fastServices
	dir, err := os.MkdirTemp(os.Getenv("WHITEOUT_DISKS"), "whiteout")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	system := &cluster{dir: dir, netPrefix: fmt.Sprintf("127.%d", 64+os.Getpid()%128), mode: modeCopies, ledger: standin.NewExecutionLog()}
	defer system.stop()
	if err := system.start(ctx); err != nil {
		return "", nil, err
	}
	shadow := &shadowServer{copiesByID: map[string]int{}, headersByCaller: map[string][]string{}}
	listener, err := net.Listen("tcp", net.JoinHostPort(system.ip(5, 0), fmt.Sprint(publicPort)))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: shadow}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	generator := newLoadGenerator(system.proxies)
	generator.nextCaller = (&journeySet{}).nextCaller
	var phases []*phaseCost
	number := 0
	runPhase := func(mode string, share float64) error {
		number++
		method, body := http.MethodPut, fmt.Sprintf(`{"number":%d,"routes":["route-quote","route-lookup","route-preapproval"],"share":%g,"key":"0123456789abcdef",`+
			`"journey":{"from":"caller","name":%q},"endS":10,"shadows":[{"destination":"quote","address":%q},{"destination":"lookup","address":%q},`+
			`{"destination":"preapproval","address":%q}]}`, number, share, callerHeader, listener.Addr(), listener.Addr(), listener.Addr())
		seconds, warmupSeconds := onSeconds, onWarmupSeconds
		if share == 0 {
			method, body, seconds, warmupSeconds = http.MethodDelete, "", offSeconds, offWarmupSeconds
		}
		if err := system.callControl(ctx, method, "/shadow", []byte(body)); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s, %.0f s\n", mode, seconds)
		cost := &phaseCost{mode: mode}
		measured := make(chan bool)
		go func() {
			defer close(measured)
			time.Sleep(time.Duration(warmupSeconds * float64(time.Second)))
			cost.from, cost.cpu, cost.copiesSent = time.Now(), -system.proxyCPUTime(), -system.copiesSent()
		}()
		generator.run(ctx, len(phases), copyRequestsPerSecond, time.Duration(seconds*float64(time.Second)))
		<-measured
		cost.to, cost.rssMB = time.Now(), system.meanProxyRSS()
		cost.cpu += system.proxyCPUTime()
		cost.copiesSent += system.copiesSent()
		phases = append(phases, cost)
		return ctx.Err()
	}
	for range rounds {
		for _, setting := range []struct {
			mode  string
			share float64
		}{{"off", 0}, {"10 %", 0.1}, {"off", 0}, {"100 %", 1}} {
			if err := runPhase(setting.mode, setting.share); err != nil {
				return "", nil, err
			}
		}
	}
	if err := runPhase("off", 0); err != nil {
		return "", nil, err
	}
	generator.inFlight.Wait()
	time.Sleep(2 * time.Second) // until copies in transit have reached the shadow service
	status := system.copyCounts()
	for _, req := range generator.requests {
		cost := phases[req.stage]
		if req.start.Before(cost.from) || req.start.After(cost.to) {
			continue
		}
		cost.requests++
		if services[req.route].safe && req.outcome == outcomeOK {
			cost.latenciesMs = append(cost.latenciesMs, float64(req.latency)/1e6)
		}
	}
	for _, cost := range phases {
		slices.Sort(cost.latenciesMs)
	}
	report, violations = copyReport(phases, generator, system.ledger, shadow, status)
	return report, violations, nil
}

// copyCounts returns the sum of all proxies' counts of copies.
func (c *cluster) copyCounts() (total api.MirrorStatusResponse) {
	for i, proxy := range c.proxies {
		peer := rpc.NewPeer(proxy.innerAddr)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		answer, err := rpc.Call[api.MirrorStatusRequest, api.MirrorStatusResponse](ctx, peer, api.MirrorStatusRequest{})
		cancel()
		peer.Close()
		if err != nil { // a call may time out on a busy machine: use the last answer
			answer = c.lastCopies[i]
		}
		c.lastCopies[i] = answer
		totals, counts := &total.Status.Counts, answer.Status.Counts
		totals.Complete, totals.Broken, totals.Delivered, totals.Withheld, totals.CopiesIssued = totals.Complete+counts.Complete, totals.Broken+counts.Broken, totals.Delivered+counts.Delivered, totals.Withheld+counts.Withheld, totals.CopiesIssued+counts.CopiesIssued
		for i, n := range counts.BrokenByCause {
			totals.BrokenByCause[i] += n
		}
		total.Counters.WorkMS, total.Counters.Suspended, total.Counters.DroppedUnrecorded, total.Counters.QueueFull = total.Counters.WorkMS+answer.Counters.WorkMS, total.Counters.Suspended+answer.Counters.Suspended,
			total.Counters.DroppedUnrecorded+answer.Counters.DroppedUnrecorded, total.Counters.QueueFull+answer.Counters.QueueFull
	}
	return total
}

// copiesSent returns the number of copies that all proxies have sent so far.
func (c *cluster) copiesSent() uint64 { return c.copyCounts().Status.Counts.CopiesIssued }

// proxyCPUTime returns the processor time that all proxies have used so far.
func (c *cluster) proxyCPUTime() (total time.Duration) {
	for _, proxy := range c.proxies {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", proxy.cmd.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		for _, index := range []int{11, 12} { // utime and stime
			ticks, _ := strconv.ParseFloat(fields[index], 64)
			total += time.Duration(ticks / clockTicksPerSecond * float64(time.Second))
		}
	}
	return total
}

// meanProxyRSS returns the mean resident memory of a proxy, in MB.
func (c *cluster) meanProxyRSS() (meanMB float64) {
	for _, proxy := range c.proxies {
		statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", proxy.cmd.Process.Pid))
		if fields := strings.Fields(string(statm)); len(fields) > 1 {
			pages, _ := strconv.ParseFloat(fields[1], 64)
			meanMB += pages * float64(os.Getpagesize()) / (1 << 20) / float64(len(c.proxies))
		}
	}
	return meanMB
}

// copyReport returns the report as Markdown and the violations: unsafe requests that ran twice, copies
// that reached live workers, and copies that are duplicated, missing or do not belong to a whole journey.
func copyReport(phases []*phaseCost, generator *loadGenerator, ledger *standin.ExecutionLog, shadow *shadowServer, status api.MirrorStatusResponse) (string, []string) {
	var b strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	writeLine("| phase | copies sent | requests | p50 ms | p99 ms | p99.9 ms | processor µs a request | MB of a gatekeeper |")
	writeLine("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	totals := map[string]*phaseCost{}
	for i, cost := range phases {
		cpu := float64(cost.cpu) / 1e3 / float64(max(cost.requests, 1))
		writeLine("| %d %s | %d | %d | %.2f | %.2f | %.2f | %.0f | %.1f |", i+1, cost.mode, cost.copiesSent, cost.requests, cost.latencyQuantile(0.5), cost.latencyQuantile(0.99), cost.latencyQuantile(0.999), cpu, cost.rssMB)
		total := totals[cost.mode]
		if total == nil {
			total = &phaseCost{mode: cost.mode}
			totals[cost.mode] = total
		}
		total.latenciesMs, total.requests, total.cpu, total.copiesSent = append(total.latenciesMs, cost.latenciesMs...), total.requests+cost.requests, total.cpu+cost.cpu, total.copiesSent+cost.copiesSent
		total.rssMB += cost.rssMB / float64(len(phases))
	}
	for _, mode := range []string{"off", "10 %", "100 %"} {
		total := totals[mode]
		slices.Sort(total.latenciesMs)
		writeLine("| all %s | %d | %d | %.2f | %.2f | %.2f | %.0f | |", mode, total.copiesSent, total.requests, total.latencyQuantile(0.5), total.latencyQuantile(0.99), total.latencyQuantile(0.999),
			float64(total.cpu)/1e3/float64(max(total.requests, 1)))
	}
	writeLine("\n| difference of p99 to the off phases beside it | ms |\n| --- | ---: |")
	previousOff := -1
	for i, cost := range phases {
		if cost.mode == "off" {
			if previousOff >= 0 {
				writeLine("| off %d to off %d: noise | %+.2f |", previousOff+1, i+1, cost.latencyQuantile(0.99)-phases[previousOff].latencyQuantile(0.99))
			}
			previousOff = i
			continue
		}
		writeLine("| %s, phase %d | %+.2f |", cost.mode, i+1, cost.latencyQuantile(0.99)-(phases[i-1].latencyQuantile(0.99)+phases[i+1].latencyQuantile(0.99))/2)
	}

	answered := map[string]int{} // requests answered with success, by caller
	unknown := map[string]bool{} // callers with an attempt of unknown outcome
	ranTwice := 0
	for _, sent := range generator.attempts {
		caller := sent.caller[strings.IndexByte(sent.caller, '/')+1:]
		if sent.outcome == outcomeOK {
			answered[caller]++
		} else if sent.outcome == outcomeUnknown {
			unknown[caller] = true
		}
		if n := ledger.RunCount(sent.id); n > 1 && !services[sent.route].safe {
			ranTwice++
		}
	}
	shadow.mu.Lock()
	defer shadow.mu.Unlock()
	receivedTwice, wrong, whole, incomplete := 0, 0, 0, 0
	for _, n := range shadow.copiesByID {
		if n > 1 {
			receivedTwice++
		}
	}
	for caller, headers := range shadow.headersByCaller {
		// A header reads "whole; journey=J; n=N; of=M; ...": request N of the M requests of journey J.
		seenNumbers, requestCount := map[string]bool{}, 0
		for _, header := range headers {
			_, rest, _ := strings.Cut(header, "; n=")
			n, rest, _ := strings.Cut(rest, "; of=")
			countText, _, _ := strings.Cut(rest, ";")
			if requestCount, _ = strconv.Atoi(countText); !strings.HasPrefix(header, "whole") || seenNumbers[n] {
				wrong++
			}
			seenNumbers[n] = true
		}
		switch {
		case len(seenNumbers) < requestCount:
			incomplete++ // the last copies were not sent before the run ended, or the shadow service failed
		case requestCount != answered[caller] && !unknown[caller]:
			wrong++
		default:
			whole++
		}
	}
	journeys := status.Status.Counts
	writeLine("\n| ledger | |\n| --- | ---: |")
	writeLine("| requests | %d |", len(generator.requests))
	writeLine("| unsafe requests that ran twice | %d |", ranTwice)
	writeLine("| copies at live workers | %d |", ledger.ShadowCopyCount())
	writeLine("| copies that came twice | %d |", receivedTwice)
	writeLine("| journeys delivered as whole, with all their requests | %d |", whole)
	writeLine("| of which the run's end or a stop cut the delivery off | %d |", incomplete)
	writeLine("| journeys delivered as whole that lack or double a request | %d |", wrong)
	writeLine("| gatekeepers pressed, times | %d |", status.Counters.Suspended)
	writeLine("| requests lost in a full queue | %d |", status.Counters.DroppedUnrecorded+status.Counters.QueueFull)
	writeLine("| journeys found whole, broken | %d, %d |", journeys.Complete, journeys.Broken)
	var violations []string
	for what, n := range map[string]int{"unsafe requests ran twice": ranTwice, "copies at live workers": ledger.ShadowCopyCount(), "copies came twice": receivedTwice,
		"journeys delivered as whole lack or double a request": wrong} {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	if whole == 0 {
		violations = append(violations, "no journey was delivered")
	}
	return b.String(), violations
}
