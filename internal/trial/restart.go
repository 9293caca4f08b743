package trial

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// Restarts measures what a gatekeeper that was killed and begins again does in its first
// 10 s, cold and warm, in simulated time: units sent beyond the ceiling and the quota over
// both lives, and units refused though the quota had them.
type Restarts struct {
	Lives int // simulated
	Seed  uint64
	Down  float64 // milliseconds between the kill and the next life
}

// figures are of one restart.
type figures struct {
	over   float64 // the most beyond the ceiling at one moment
	beyond float64 // sent that the quota did not hold
	wrong  float64 // refused that the quota held
	asked  float64
}

const (
	afterStart = 10000.0 // milliseconds that count
	simStep    = 1.0
	simStart   = 1.7e12
)

// simSettings is one gatekeeper before customers with a ceiling, one asking for 7.1 times
// its quota and four for less than theirs.
func simSettings() policy.Settings {
	return policy.Settings{Gateways: 1, Tick: 4000, MaxAttempts: 2, Cancel: true, RetryAfter: true, Largest: 3,
		Classes: []policy.Class{{Aim: 400e3, Deadline: 2e6, Worth: 1}},
		Plans:   []policy.Plan{{Rate: 19, Burst: 28, Price: 1, OverCost: 1, CeilingRate: 35, CeilingBurst: 53, CeilingSlack: 6}}}
}

// simWorkers are three that take work.
func simWorkers() []policy.Entry {
	return []policy.Entry{{Server: 1, State: policy.Ready}, {Server: 2, State: policy.Ready}, {Server: 3, State: policy.Ready}}
}

// quiet is a fleet, a counter and a caller to whom nothing said matters.
type quiet struct{}

func (quiet) Abandon(*gatekeeper.Execution) bool            { return true }
func (quiet) Release(policy.Server)                         {}
func (quiet) Add(*gatekeeper.Count)                         {}
func (quiet) Served(*gatekeeper.Request, gatekeeper.Answer) {}
func (quiet) Failed(*gatekeeper.Request)                    {}
func (quiet) Throttled(*gatekeeper.Request, float64)        {}

// asking is the units a second that each customer asks for, against a quota of 19.
var asking = [...]float64{7.1 * 19, 15, 15, 10, 5}

// level is a store as it truly is. A quota's has given what it could have given, whether
// the module sent that or refused it: its units can be refused wrongly only once.
type level struct{ rate, burst, now, at float64 }

func (l *level) flow(at float64) {
	l.now = min(l.now+l.rate*(at-l.at)/1000, l.burst)
	l.at = at
}

// take takes units where the store holds them.
func (l *level) take(at, units float64) bool {
	if l.flow(at); l.now < units {
		return false
	}
	l.now -= units
	return true
}

// world is the simulated surroundings of both lives.
type world struct {
	quiet
	core     *gatekeeper.Gatekeeper
	clock    *gatekeeper.Clock
	random   *rand.Rand
	quotas   [len(asking)]level
	ceilings [len(asking)]level
	out      []leg
	counts   bool
	f        figures
}

// leg is an execution on its way.
type leg struct {
	x  *gatekeeper.Execution
	at float64
}

func (w *world) Execute(x *gatekeeper.Execution) {
	i := x.Request.Customer
	c := &w.ceilings[i]
	if !w.quotas[i].take(w.clock.Now(), x.Request.Units) && w.counts {
		w.f.beyond += x.Request.Units
	}
	c.flow(w.clock.Now())
	if c.now -= x.Request.Units; c.now < 0 && w.counts {
		w.f.over = max(w.f.over, -c.now)
	}
	w.out = append(w.out, leg{x, w.clock.Now() + 20 + 20*w.random.ExpFloat64()})
}

func (w *world) Throttled(r *gatekeeper.Request, _ float64) {
	if w.quotas[r.Customer].take(w.clock.Now(), r.Units) && w.counts {
		w.f.wrong += r.Units
	}
}

// begin starts a life.
func (w *world) begin(rec gatekeeper.Recorder, before *gatekeeper.Earlier, seed uint64) {
	w.out = nil
	w.core = gatekeeper.New(gatekeeper.Config{Settings: simSettings(), Seed: seed, Clock: w.clock, Fleet: w, Counter: w,
		Wake: func(float64) {}, Recorder: rec, Earlier: before})
	w.core.Workers(policy.FullList, simWorkers())
}

// run lets so many milliseconds go by.
func (w *world) run(ms float64) {
	for end := w.clock.Now() + ms; w.clock.Now() < end; {
		w.clock.Set(w.clock.Now() + simStep)
		w.core.Advance()
		slices.SortStableFunc(w.out, func(a, b leg) int { return cmp.Compare(a.at, b.at) })
		for len(w.out) > 0 && w.out[0].at <= w.clock.Now() {
			x := w.out[0].x
			w.out = w.out[1:]
			w.core.Done(x, gatekeeper.Outcome{Status: policy.OK})
		}
		for i, rate := range asking {
			units := 1 + 2*w.random.Float64()
			if w.random.Float64() < rate/2*simStep/1000 {
				if w.counts {
					w.f.asked += units
				}
				w.core.Take(&gatekeeper.Request{Customer: uint64(i), Left: 2000, Units: units, Spread: 1, Caller: w})
			}
		}
	}
}

// birth is how the seconds that count begin.
type birth int

const (
	cold  birth = iota
	warm        // from the killed life's capture
	alive       // nobody is killed: what even a module that knows all refuses and sends on
)

func (b birth) String() string { return [...]string{"cold", "warm", "not killed"}[b] }

// play is one life, its death, and the first seconds of the next.
func (o *Restarts) play(seed uint64, how birth) (figures, error) {
	folder, err := os.MkdirTemp("", "foxwood-trial")
	if err != nil {
		return figures{}, fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(folder)
	w := &world{clock: gatekeeper.NewClock(), random: rand.New(rand.NewPCG(seed, o.Seed))}
	w.clock.Set(simStart)
	for i := range asking {
		w.quotas[i] = level{19, 28, 28, simStart}
		w.ceilings[i] = level{35, 53, 53, simStart}
	}
	rec, err := capture.NewWriter(capture.Options{Patient: true, Folder: folder, Name: "n", Life: seed + 1, CheckpointEvery: 2 * time.Second})
	if err != nil {
		return figures{}, err
	}
	w.begin(rec, nil, seed)
	w.run(4000 + 8000*w.random.Float64())
	if how == alive {
		w.counts = true
		w.run(afterStart)
		rec.Close()
		return w.f, nil
	}
	rec.Close()
	var before *gatekeeper.Earlier
	if how == warm {
		if before, err = killed(folder); err != nil {
			return figures{}, err
		}
	}
	w.clock.Set(w.clock.Now() + o.Down)
	w.counts = true
	w.begin(nil, before, seed+1)
	w.run(afterStart)
	return w.f, nil
}

// killed takes from a capture what a kill would, its last block, and gives the state that
// is left.
func killed(folder string) (*gatekeeper.Earlier, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.fcap"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("trial: no capture was written: %w", err)
	}
	last := files[len(files)-1]
	x, err := capture.ReadIndex(last)
	if err != nil {
		return nil, err
	}
	offsets := x.Offsets()
	if err := os.Truncate(last, offsets[len(offsets)-1]+1); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	segments, err := capture.Find(folder)
	if err != nil {
		return nil, err
	}
	key := capture.Key{}
	set := capture.NewSet(segments, &key)
	defer set.Close()
	report, err := replay.Run(set, &key, replay.Options{})
	if err != nil {
		return nil, err
	}
	g, ok := report.Module.(*policy.Gateway)
	if !ok || report.Ended {
		return nil, fmt.Errorf("trial: the cut was not seen: %v", report.Notes)
	}
	return &gatekeeper.Earlier{State: g.Snapshot()}, nil
}

// Write plays all restarts and prints the table.
func (o *Restarts) Write(to io.Writer) error {
	fmt.Fprintf(to, `
### The first 10 s after a kill

%d simulated restarts, %.0f ms after the kill, one customer asking for 7.1 times its quota of 19 units a second and four
within theirs; a ceiling of 35 a second over 53 units, with a slack of 6. The capture's last block is lost, as a kill has it.

| start | over the ceiling, units: median | worst | sent beyond the quota, %% of what was asked: median | p99 | refused though the quota had them, %%: median | p99 |
| --- | ---: | ---: | ---: | ---: | ---: | ---: |
`, o.Lives, o.Down)
	for _, how := range []birth{cold, warm, alive} {
		var over, beyond, wrong []float64
		for i := range o.Lives {
			f, err := o.play(uint64(i), how)
			if err != nil {
				return err
			}
			asked := max(f.asked, 1) / 100
			over, beyond, wrong = append(over, f.over), append(beyond, f.beyond/asked), append(wrong, f.wrong/asked)
		}
		if _, err := fmt.Fprintf(to, "| %v | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n", how, quantile(over, 0.5), quantile(over, 1),
			quantile(beyond, 0.5), quantile(beyond, 0.99), quantile(wrong, 0.5), quantile(wrong, 0.99)); err != nil {
			return err
		}
	}
	return nil
}

// quantile sorts and picks.
func quantile(all []float64, q float64) float64 {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}
