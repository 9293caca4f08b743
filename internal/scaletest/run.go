package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"foxwood/internal/traverse"
)

// Said is what a process of hollow gatekeepers says when it is asked.
type Said struct {
	Figures figures
	Rates   map[string]float64
	Taken   map[uint64][]time.Time
	Bytes   map[string]uint64 // sent, by call
	UserMs  float64           // processor time since the start
	RSSMB   float64           // resident at most
}

// part is one process, or a fleet or core machine in this one.
type part struct {
	name string
	ask  func() (Said, error)
	stop func()
}

// usage is this process's processor time and memory.
func usage() (ms, mb float64) {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6, float64(u.Maxrss) / 1024
}

func (f *fleet) said(members int) (s Said) {
	s.Figures, s.Rates = f.sum(members)
	f.mu.Lock()
	s.Taken = map[uint64][]time.Time{}
	for e, at := range f.taken {
		s.Taken[e] = slices.Clone(at)
	}
	f.mu.Unlock()
	return s
}

func (s *Said) measure() {
	s.Bytes = map[string]uint64{}
	for name, n := range traverse.Sent() {
		s.Bytes[name] = n[1]
	}
	s.UserMs, s.RSSMB = usage()
}

// child is a process of the run: "core N" or "fleet FROM TO". It answers each line on standard input with one,
// and ends with it.
func child(o *Options, kind string, from, to int) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := make(chan error, 1)
	f := &fleet{}
	go func() {
		if kind == "core" {
			ends <- o.serveCore(ctx, from, zerolog.New(io.Discard))
		} else {
			ends <- f.run(ctx, o, from, to)
		}
	}()
	lines := make(chan bool)
	go func() {
		in := bufio.NewScanner(os.Stdin)
		for in.Scan() {
			lines <- true
		}
		close(lines)
	}()
	for {
		select {
		case err := <-ends:
			fmt.Fprintln(os.Stderr, err)
			return 1
		case _, more := <-lines:
			if !more {
				cancel()
				<-ends
				return 0
			}
			s := f.said(o.Gatekeepers)
			s.measure()
			if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
				return 1
			}
		}
	}
}

// spawn starts a child of this program.
func spawn(o *Options, name string, args ...string) (*part, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	set, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"child", string(set)}, args...)...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	answers := json.NewDecoder(out)
	var one sync.Mutex
	return &part{name: name, stop: func() {
		_ = in.Close()
		_ = cmd.Wait()
	}, ask: func() (s Said, err error) {
		one.Lock()
		defer one.Unlock()
		if _, err = fmt.Fprintln(in); err == nil {
			err = answers.Decode(&s)
		}
		return s, err
	}}, nil
}

// inside starts a core machine or a fleet in this process, for tests.
func inside(ctx context.Context, o *Options, name string, from, to int) *part {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	f := &fleet{}
	go func() {
		defer close(done)
		if name == "core" {
			_ = o.serveCore(ctx, from, zerolog.Nop())
		} else {
			_ = f.run(ctx, o, from, to)
		}
	}()
	return &part{name: name, stop: func() { cancel(); <-done }, ask: func() (Said, error) { return f.said(o.Gatekeepers), nil }}
}

// Change is one configuration: milliseconds from its sending to the acknowledgement, and from that until
// so many gatekeepers held it.
type Change struct {
	Bytes                       int
	AckMs, P50Ms, P99Ms, SlowMs float64
	Held                        int
}

// Result is what a run has shown.
type Result struct {
	Options               Options
	Load                  string // average of the machine, at the start and the end
	ReadyS                float64
	CalmS                 float64
	Calm                  figures    `json:"-"`
	DrawMs                [3]float64 // p50, p99, the slowest
	CoreCores             []float64  // processor of each core machine's process while calm
	CoreMB                []float64
	CoreBytes             []float64 // a second, sent
	GatekeeperMs          float64   // processor a second of one hollow gatekeeper
	GatekeeperMB          float64
	GatekeeperBytes       float64 // a second, sent
	Bytes                 map[string]float64
	Signs, Draws          float64 // a second
	SignsFailed           int
	DrawsFailed           int
	Asks, AsksFailed      int // of homes, during the changes
	OverQuota             map[string]float64
	Changes               []Change
	Sessions, Members     int // at the end
	KnownP50              int // members that a gatekeeper knows
	SignsBegun, SignsLost int // until it was ready
}

func loadAverage() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}

// gather asks all parts.
func gather(parts []*part) ([]Said, error) {
	all := make([]Said, len(parts))
	for i, p := range parts {
		s, err := p.ask()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		all[i] = s
	}
	return all, nil
}

// measure waits for the fleet, lets it be calm, and changes the configuration again and again.
func measure(ctx context.Context, o *Options, cores, fleets []*part, settle, calm time.Duration, changes int, patience time.Duration) (r Result, err error) {
	r = Result{Options: *o, Load: loadAverage(), CalmS: calm.Seconds(), OverQuota: map[string]float64{}, Bytes: map[string]float64{}}
	began := time.Now()
	if _, _, err = o.put(ctx, 1); err != nil {
		return r, err
	}
	for {
		all, err := gather(fleets)
		if err != nil {
			return r, err
		}
		r.standing(all)
		if r.Sessions == o.Gatekeepers && r.Members == o.Gatekeepers {
			break
		}
		if time.Since(began) > patience || ctx.Err() != nil {
			return r, fmt.Errorf("after %.0f s %d of %d gatekeepers have the configuration and %d know all members", time.Since(began).Seconds(), r.Sessions, o.Gatekeepers, r.Members)
		}
		pause(ctx, 200*time.Millisecond)
	}
	r.ReadyS = time.Since(began).Seconds()
	pause(ctx, settle) // the first leases
	before, err := gather(append(slices.Clone(cores), fleets...))
	if err != nil {
		return r, err
	}
	pause(ctx, calm)
	after, err := gather(append(slices.Clone(cores), fleets...))
	if err != nil {
		return r, err
	}
	r.calm(before, after, len(cores), calm)
	for e := uint64(2); e < uint64(2+changes); e++ {
		sent, acked, err := o.put(ctx, e)
		if err != nil {
			return r, err
		}
		c := Change{Bytes: len(o.configuration(e)), AckMs: float64(acked.Sub(sent)) / 1e6}
		for end := time.Now().Add(10 * time.Second); c.Held < o.Gatekeepers && time.Now().Before(end) && ctx.Err() == nil; {
			pause(ctx, 100*time.Millisecond)
			all, err := gather(fleets)
			if err != nil {
				return r, err
			}
			var at []time.Time
			for _, s := range all {
				at = append(at, s.Taken[e]...)
				r.Asks, r.AsksFailed = r.Asks+s.Figures.Asks, r.AsksFailed+s.Figures.AsksFailed
			}
			c.among(at, acked)
		}
		r.Changes = append(r.Changes, c)
		if e < uint64(1+changes) {
			pause(ctx, time.Second)
		}
	}
	all, err := gather(fleets)
	r.standing(all)
	r.Load += " " + loadAverage()
	return r, err
}

// standing notes who has what now.
func (r *Result) standing(all []Said) {
	r.Sessions, r.Members = 0, 0
	var known []int
	for _, s := range all {
		r.Sessions, r.Members = r.Sessions+s.Figures.Signed, r.Members+s.Figures.Members
		known = append(known, s.Figures.Known...)
		if r.ReadyS == 0 {
			r.SignsBegun, r.SignsLost = r.SignsBegun+s.Figures.Signs, r.SignsLost+s.Figures.SignsFailed
		}
	}
	slices.Sort(known)
	r.KnownP50 = at(known, 0.5)
}

// among notes when gatekeepers took a change that was acknowledged then.
func (c *Change) among(taken []time.Time, acked time.Time) {
	slices.SortFunc(taken, time.Time.Compare)
	c.Held = len(taken)
	ms := func(part float64) float64 {
		if len(taken) == 0 {
			return 0
		}
		return max(float64(at(taken, part).Sub(acked))/1e6, 0)
	}
	c.P50Ms, c.P99Ms, c.SlowMs = ms(0.5), ms(0.99), ms(1)
}

// calm takes what went on between two gatherings of core machines and fleets.
func (r *Result) calm(before, after []Said, cores int, span time.Duration) {
	secs, n := span.Seconds(), float64(r.Options.Gatekeepers)
	var draws []float32
	rates := map[string]float64{}
	for i := range after {
		sent := 0.0
		for name, b := range after[i].Bytes {
			sent += float64(b - before[i].Bytes[name])
			if i >= cores {
				r.Bytes[name] += float64(b-before[i].Bytes[name]) / secs / n
			}
		}
		spent := (after[i].UserMs - before[i].UserMs) / secs
		if i < cores {
			r.CoreCores, r.CoreMB = append(r.CoreCores, spent/1e3), append(r.CoreMB, after[i].RSSMB)
			r.CoreBytes = append(r.CoreBytes, sent/secs)
			continue
		}
		r.GatekeeperMs, r.GatekeeperMB, r.GatekeeperBytes = r.GatekeeperMs+spent/n, r.GatekeeperMB+after[i].RSSMB/n, r.GatekeeperBytes+sent/secs/n
		x := &after[i].Figures
		draws = append(draws, x.DrawMs...)
		r.Signs, r.Draws = r.Signs+float64(x.Signs)/secs/n, r.Draws+float64(x.Draws)/secs/n
		r.SignsFailed, r.DrawsFailed = r.SignsFailed+x.SignsFailed, r.DrawsFailed+x.DrawsFailed
		for name, v := range after[i].Rates {
			rates[name] += v
		}
	}
	slices.Sort(draws)
	r.DrawMs = [3]float64{float64(at(draws, 0.5)), float64(at(draws, 0.99)), float64(at(draws, 1))}
	for name, terms := range r.Options.tenants() {
		if rates[name] > terms.RatePerS*1.0001 {
			r.OverQuota[name] = rates[name] / terms.RatePerS
		}
	}
}

// Main is the command.
func Main(args []string) int {
	if len(args) > 2 && args[0] == "child" {
		var o Options
		var from, to int
		if err := json.Unmarshal([]byte(args[1]), &o); err != nil {
			return 2
		}
		if _, err := fmt.Sscan(strings.Join(args[3:], " "), &from, &to); err != nil {
			return 2
		}
		return child(&o, args[2], from, to)
	}
	f := flag.NewFlagSet("scaletest", flag.ContinueOnError)
	o := Options{Net: fmt.Sprintf("127.%d", 40+rand.IntN(150))}
	f.IntVar(&o.Gatekeepers, "gatekeepers", 1000, "hollow gatekeepers, 5,000 at most")
	f.IntVar(&o.Cores, "cores", 5, "core machines, each a cairn and a bothy in one process")
	f.IntVar(&o.Zones, "zones", 6, "zones")
	f.IntVar(&o.Regions, "regions", 2, "regions")
	f.IntVar(&o.Routes, "routes", 1000, "routes of the configuration")
	f.IntVar(&o.Tenants, "tenants", 77, "tenants with a quota")
	each := f.Int("each", 1000, "hollow gatekeepers in a process, 3,000 at most")
	calm := f.Duration("calm", 10*time.Second, "of calm, which is measured")
	changes := f.Int("changes", 5, "configurations, one after the other")
	patience := f.Duration("patience", 2*time.Minute, "for the fleet to be ready")
	f.Usage = func() {
		fmt.Fprintln(f.Output(), "scaletest [flags]\n\tPut hollow gatekeepers before real control processes over loopback, and print what was measured as JSON. Exits with 1\n\twhere the fleet does not get ready, a change is not taken, or more of a quota is allotted than there is.")
		f.PrintDefaults()
	}
	if err := f.Parse(args); err != nil {
		return 2
	}
	if f.NArg() > 0 || o.Gatekeepers < 1 || o.Gatekeepers > 5000 || o.Cores < 1 || o.Cores > 9 || *each < 1 || *each > 3000 || o.Zones < 1 || o.Regions < 1 {
		f.Usage()
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := o.processes(ctx, *each, *calm, *changes, *patience)
	if r.Options.Net != "" {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", " ")
		_ = out.Encode(r)
	}
	if err == nil && len(r.OverQuota) > 0 {
		err = fmt.Errorf("more of a quota is allotted than there is: %v", r.OverQuota)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// processes is a run with a process for each core machine and for so many gatekeepers.
func (o *Options) processes(ctx context.Context, each int, calm time.Duration, changes int, patience time.Duration) (r Result, err error) {
	if o.Dir, err = os.MkdirTemp("", "scaletest"); err != nil {
		return r, err
	}
	defer os.RemoveAll(o.Dir)
	var cores, fleets []*part
	defer func() {
		for _, p := range append(fleets, cores...) {
			p.stop()
		}
	}()
	for i := range o.Cores {
		p, err := spawn(o, "core", "core", fmt.Sprint(i), "0")
		if err != nil {
			return r, err
		}
		cores = append(cores, p)
	}
	for from := 0; from < o.Gatekeepers; from += each {
		p, err := spawn(o, "fleet", "fleet", fmt.Sprint(from), fmt.Sprint(min(from+each, o.Gatekeepers)))
		if err != nil {
			return r, err
		}
		fleets = append(fleets, p)
	}
	return measure(ctx, o, cores, fleets, 3*time.Second, calm, changes, patience)
}
