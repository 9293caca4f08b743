package whiteout

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
	"foxwood/internal/testing/standin"
	"foxwood/internal/waymark"
)

// What copies cost: the same cluster with copying off, at a tenth and at all journeys, in turns.

const (
	copyMode   = "copies"
	copyRate   = 240.0 // requests a second
	offFor     = 20.0  // seconds
	onFor      = 48.0
	offSkip    = 3.0 // until the stop is in force and what was open is dropped
	onSkip     = 14.0
	visitsOpen = 24
	visitLong  = 5 // requests, about
	clockTick  = 100.0
)

// quick are services that answer at once, so that what is measured is the way there.
var quick = []service{
	{"quote", true, 0, 2 * time.Millisecond, 500 * time.Millisecond, 0.4},
	{"lookup", true, 0, 2 * time.Millisecond, 500 * time.Millisecond, 0.4},
	{"preapproval", false, 0, 3 * time.Millisecond, 500 * time.Millisecond, 0.2},
}

// visits are the journeys that clients are on.
type visits struct {
	mu   sync.Mutex
	open []visitor
	seq  int
}

type visitor struct {
	tenant tenant
	name   string
}

// next is who asks next. Some have asked for the last time then.
func (v *visits) next() (tenant, string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for len(v.open) < visitsOpen {
		v.seq++
		v.open = append(v.open, visitor{tenants[rand.IntN(len(tenants))], fmt.Sprintf("visit-%d", v.seq)})
	}
	i := rand.IntN(len(v.open))
	k := v.open[i]
	if rand.IntN(visitLong) == 0 {
		v.open = slices.Delete(v.open, i, i+1)
	}
	return k.tenant, k.name
}

// shadowBook is what the shadow service got.
type shadowBook struct {
	mu     sync.Mutex
	ids    map[string]int
	pieces map[string][]string // of each visitor: what each copy said
}

func (b *shadowBook) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids[r.Header.Get("X-Foxwood-Shadow-Id")]++
	name := r.Header.Get(headCaller)
	b.pieces[name] = append(b.pieces[name], r.Header.Get("X-Foxwood-Shadow"))
}

// spent is one phase's cost.
type spent struct {
	mode      string
	from, to  time.Time
	cpu       time.Duration // of all gatekeepers
	rss       float64       // MB of one
	requests  int
	quotes    []float64 // ms, of quotes and lookups
	delivered uint64
}

func (s *spent) at(q float64) float64 { return quantile(s.quotes, q) }

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Copies runs the phases and tells what they cost.
func Copies(args []string) int {
	f := flag.NewFlagSet("whiteout copies", flag.ContinueOnError)
	out := f.String("out", "", "folder for copies-live.md; empty: only print")
	rounds := f.Int("rounds", 2, "of off, a tenth, off, all; 1 to 10, about two and a half minutes each")
	if f.Parse(args) != nil {
		return 2
	}
	if f.NArg() > 0 || *rounds < 1 || *rounds > 10 {
		f.Usage()
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	text, faults, err := copies(ctx, *rounds)
	if err != nil {
		fmt.Fprintln(os.Stderr, "whiteout copies:", err)
		return 1
	}
	fmt.Print(text)
	if *out != "" {
		if err := os.WriteFile(filepath.Join(*out, "copies-live.md"), []byte(text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	for _, x := range faults {
		fmt.Fprintln(os.Stderr, "whiteout copies: "+x)
	}
	return min(len(faults), 1)
}

func copies(ctx context.Context, rounds int) (text string, faults []string, err error) {
	services = quick
	dir, err := os.MkdirTemp(os.Getenv("WHITEOUT_DISKS"), "whiteout")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	c := &cluster{dir: dir, net: fmt.Sprintf("127.%d", 64+os.Getpid()%128), mode: copyMode, book: standin.NewLedger()}
	defer c.stop()
	if err := c.start(ctx); err != nil {
		return "", nil, err
	}
	book := &shadowBook{ids: map[string]int{}, pieces: map[string][]string{}}
	ln, err := net.Listen("tcp", net.JoinHostPort(c.ip(5, 0), fmt.Sprint(frontPort)))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: book}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()

	crowd := newCrowd(c.gates)
	crowd.next = (&visits{}).next
	var phases []*spent
	number := 0
	phase := func(mode string, share float64) error {
		number++
		method, body := http.MethodPut, fmt.Sprintf(`{"number":%d,"routes":["route-quote","route-lookup","route-preapproval"],"share":%g,"key":"0123456789abcdef",`+
			`"journey":{"from":"caller","name":%q},"endS":10,"shadows":[{"destination":"quote","address":%q},{"destination":"lookup","address":%q},`+
			`{"destination":"preapproval","address":%q}]}`, number, share, headCaller, ln.Addr(), ln.Addr(), ln.Addr())
		lasts, skip := onFor, onSkip
		if share == 0 {
			method, body, lasts, skip = http.MethodDelete, "", offFor, offSkip
		}
		if err := c.operate(ctx, method, "/shadow", []byte(body)); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s, %.0f s\n", mode, lasts)
		s := &spent{mode: mode}
		measured := make(chan bool)
		go func() {
			defer close(measured)
			time.Sleep(time.Duration(skip * float64(time.Second)))
			s.from, s.cpu, s.delivered = time.Now(), -c.cpu(), -c.delivered()
		}()
		crowd.run(ctx, len(phases), copyRate, time.Duration(lasts*float64(time.Second)))
		<-measured
		s.to, s.rss = time.Now(), c.rss()
		s.cpu += c.cpu()
		s.delivered += c.delivered()
		phases = append(phases, s)
		return ctx.Err()
	}
	for range rounds {
		for _, x := range []struct {
			mode  string
			share float64
		}{{"off", 0}, {"10 %", 0.1}, {"off", 0}, {"100 %", 1}} {
			if err := phase(x.mode, x.share); err != nil {
				return "", nil, err
			}
		}
	}
	if err := phase("off", 0); err != nil {
		return "", nil, err
	}
	crowd.wait.Wait()
	time.Sleep(2 * time.Second) // what was on its way to the shadow
	status := c.copyCounts()
	for _, r := range crowd.asked {
		s := phases[r.stage]
		if r.at.Before(s.from) || r.at.After(s.to) {
			continue
		}
		s.requests++
		if services[r.route].safe && r.end == endOK {
			s.quotes = append(s.quotes, float64(r.took)/1e6)
		}
	}
	for _, s := range phases {
		slices.Sort(s.quotes)
	}
	text, faults = copyReport(phases, crowd, c.book, book, status)
	return text, faults, nil
}

// copyCounts is the sum of what gatekeepers say.
func (c *cluster) copyCounts() (sum waymark.Copies) {
	for i, g := range c.gates {
		p := rpc.NewPeer(g.inner)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		a, err := rpc.Call[waymark.AskCopies, waymark.Copies](ctx, p, waymark.AskCopies{})
		cancel()
		p.Close()
		if err != nil { // on a busy machine: what it said last
			a = c.counted[i]
		}
		c.counted[i] = a
		k, of := &sum.Status.Counts, a.Status.Counts
		k.Whole, k.Broken, k.Delivered, k.Held, k.Copies = k.Whole+of.Whole, k.Broken+of.Broken, k.Delivered+of.Delivered, k.Held+of.Held, k.Copies+of.Copies
		for i, n := range of.By {
			k.By[i] += n
		}
		sum.Own.WorkMs, sum.Own.Pressed, sum.Own.Lost, sum.Own.NoRoom = sum.Own.WorkMs+a.Own.WorkMs, sum.Own.Pressed+a.Own.Pressed,
			sum.Own.Lost+a.Own.Lost, sum.Own.NoRoom+a.Own.NoRoom
	}
	return sum
}

func (c *cluster) delivered() uint64 { return c.copyCounts().Status.Counts.Copies }

// cpu is the processor time of all gatekeepers so far.
func (c *cluster) cpu() (sum time.Duration) {
	for _, g := range c.gates {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		for _, at := range []int{11, 12} {
			n, _ := strconv.ParseFloat(fields[at], 64)
			sum += time.Duration(n / clockTick * float64(time.Second))
		}
	}
	return sum
}

// rss is the memory of one gatekeeper, in MB.
func (c *cluster) rss() (mean float64) {
	for _, g := range c.gates {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.cmd.Process.Pid))
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseFloat(f[1], 64)
			mean += pages * float64(os.Getpagesize()) / (1 << 20) / float64(len(c.gates))
		}
	}
	return mean
}

// copyReport is the tables, and what must never be.
func copyReport(phases []*spent, crowd *crowd, live *standin.Ledger, book *shadowBook, status waymark.Copies) (string, []string) {
	var b strings.Builder
	say := func(format string, a ...any) { fmt.Fprintf(&b, format+"\n", a...) }
	say("| phase | copies sent | requests | p50 ms | p99 ms | p99.9 ms | processor µs a request | MB of a gatekeeper |")
	say("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	all := map[string]*spent{}
	for i, s := range phases {
		cpu := float64(s.cpu) / 1e3 / float64(max(s.requests, 1))
		say("| %d %s | %d | %d | %.2f | %.2f | %.2f | %.0f | %.1f |", i+1, s.mode, s.delivered, s.requests, s.at(0.5), s.at(0.99), s.at(0.999), cpu, s.rss)
		a := all[s.mode]
		if a == nil {
			a = &spent{mode: s.mode}
			all[s.mode] = a
		}
		a.quotes, a.requests, a.cpu, a.delivered = append(a.quotes, s.quotes...), a.requests+s.requests, a.cpu+s.cpu, a.delivered+s.delivered
		a.rss += s.rss / float64(len(phases))
	}
	for _, mode := range []string{"off", "10 %", "100 %"} {
		a := all[mode]
		slices.Sort(a.quotes)
		say("| all %s | %d | %d | %.2f | %.2f | %.2f | %.0f | |", mode, a.delivered, a.requests, a.at(0.5), a.at(0.99), a.at(0.999),
			float64(a.cpu)/1e3/float64(max(a.requests, 1)))
	}
	say("\n| difference of p99 to the off phases beside it | ms |\n| --- | ---: |")
	last := -1
	for i, s := range phases {
		if s.mode == "off" {
			if last >= 0 {
				say("| off %d to off %d: noise | %+.2f |", last+1, i+1, s.at(0.99)-phases[last].at(0.99))
			}
			last = i
			continue
		}
		say("| %s, phase %d | %+.2f |", s.mode, i+1, s.at(0.99)-(phases[i-1].at(0.99)+phases[i+1].at(0.99))/2)
	}

	asked := map[string]int{} // of each visitor: what was answered, and what may have run
	doubt := map[string]bool{}
	twice := 0
	for _, k := range crowd.tries {
		name := k.caller[strings.IndexByte(k.caller, '/')+1:]
		if k.end == endOK {
			asked[name]++
		} else if k.end == endDoubt {
			doubt[name] = true
		}
		if n := live.Of(k.id); n > 1 && !services[k.route].safe {
			twice++
		}
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	doubled, wrong, whole, part := 0, 0, 0, 0
	for _, n := range book.ids {
		if n > 1 {
			doubled++
		}
	}
	for name, pieces := range book.pieces {
		seen, of := map[string]bool{}, 0
		for _, p := range pieces {
			_, rest, _ := strings.Cut(p, "; n=")
			n, rest, _ := strings.Cut(rest, "; of=")
			last, _, _ := strings.Cut(rest, ";")
			if of, _ = strconv.Atoi(last); !strings.HasPrefix(p, "whole") || seen[n] {
				wrong++
			}
			seen[n] = true
		}
		switch {
		case len(seen) < of:
			part++ // its last copies were still to come at the end, or the shadow failed
		case of != asked[name] && !doubt[name]:
			wrong++
		default:
			whole++
		}
	}
	k := status.Status.Counts
	say("\n| ledger | |\n| --- | ---: |")
	say("| requests | %d |", len(crowd.asked))
	say("| unsafe requests that ran twice | %d |", twice)
	say("| copies at live workers | %d |", live.CopyCount())
	say("| copies that came twice | %d |", doubled)
	say("| journeys delivered as whole, with all their requests | %d |", whole)
	say("| of which the run's end or a stop cut the delivery off | %d |", part)
	say("| journeys delivered as whole that lack or double a request | %d |", wrong)
	say("| gatekeepers pressed, times | %d |", status.Own.Pressed)
	say("| requests lost in a full queue | %d |", status.Own.Lost+status.Own.NoRoom)
	say("| journeys found whole, broken | %d, %d |", k.Whole, k.Broken)
	var faults []string
	for what, n := range map[string]int{"unsafe requests ran twice": twice, "copies at live workers": live.CopyCount(), "copies came twice": doubled,
		"journeys delivered as whole lack or double a request": wrong} {
		if n > 0 {
			faults = append(faults, fmt.Sprintf("%d %s", n, what))
		}
	}
	if whole == 0 {
		faults = append(faults, "no journey was delivered")
	}
	return b.String(), faults
}
