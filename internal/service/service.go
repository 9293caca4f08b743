// Package service puts a gatekeeper together from its configuration and runs it
// until it is told to stop.
package service

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/admin"
	"foxwood/internal/config"
	"foxwood/internal/handover"
	"foxwood/internal/link"
	"foxwood/internal/openapi"
	"foxwood/internal/platform"
	"foxwood/internal/settings"
	"foxwood/internal/stats"
	"foxwood/internal/xds"
	"foxwood/policy"
)

const (
	sweepEvery   = 250 * time.Millisecond
	handOffEvery = 200 * time.Millisecond
	publishEvery = 150 * time.Millisecond
	// lateArrivals is how long after SIGTERM requests may still come in.
	lateArrivals = 800 * time.Millisecond
	closeIdle    = 450 * time.Millisecond
	drainLook    = 20 * time.Millisecond
	counterPath  = "/v2/numbers"
	gcPercent    = 100
	flowPart     = 8 // of the memory is for large messages under way
	// stillTaken is how long requests of a class that SIGHUP has dropped are taken.
	stillTaken = 2 * time.Second
	// restMost is the part of the workers' idle time that a server link may rest.
	restMost = 0.5
)

// environ puts what the environment says in the place of what the file says. It
// holds for the start only: the environment of a process does not change, the file
// may name other addresses later.
func environ(c *config.Config) {
	for name, field := range map[string]*string{
		"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen, "EDGE_DISCOVERY": &c.Discovery,
		"EDGE_CONTROL": &c.Control,
	} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
}

// front is a front with what a link reads workers' answers by.
type front interface {
	link.Front
	link.Reader
}

// service is a gatekeeper and its parts.
type service struct {
	clock   *gatekeeper.Clock
	loop    *link.Loop
	core    *gatekeeper.Gatekeeper
	clients *link.Clients
	hosts   *platform.HostGroup
	watch   *link.Watch
	counter *link.Counter
	counts  bool            // the settings allow the counter
	api     *openapi.Front  // nil on the platform
	xds     *xds.Server     // nil unless configured
	capture *capture.Writer // nil unless configured
	door    *admin.Door     // nil unless configured
	figures *stats.Figures  // nil without a door
	serving atomic.Bool     // as the door tells it

	// What SIGHUP replaces. They belong to the loop.
	inForce  config.Config
	set      policy.Settings
	names    settings.Names
	platform *platform.Front
	retunes  int // tables of classes put in force at SIGHUP

	aside    int              // descriptors that are not the loop's
	accepts  bool             // clients; the loop's, and so are the following
	listener *link.Listener   // nil before
	socket   *handover.Socket // where a new process finds this one; nil where none can
	meeting  string           // where the two meet; empty where they do not
	before   *handover.Peer   // the process whose place this one took, while it has not ended
	heir     *handover.Peer   // the one that is to take, or has taken, the place of this one
	leaving  bool             // it has
	stopping bool             // SIGTERM has come
	ended    bool
}

// Run serves by a configuration file until SIGTERM, and then until what was taken is
// answered.
func Run(file string) error {
	// Each has a channel of its own, so that a burst of one can't crowd the other out.
	stop, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	c, err := config.Read(file)
	if err != nil {
		return err
	}
	environ(&c)
	tune(c.Limits.MemoryMB)
	before := meet(c)
	s, err := start(c, before)
	if err != nil {
		before.refuse()
		return err
	}
	go func() { // also while the gatekeeper drains: what it still serves needs the counter
		for range again {
			err := s.reload(file)
			if err != nil {
				slog.Error("configuration not replaced, the old one holds", "error", err)
			}
			if s.figures != nil {
				s.loop.Post(func() { s.figures.Reloaded(err == nil) })
			}
		}
	}()
	var signal os.Signal
	select {
	case err = <-s.serve(c, before):
		if err != nil {
			return err
		}
		signal = <-stop
	case signal = <-stop: // the process in service goes on alone
	}
	slog.Info("draining", "name", c.Name, "signal", signal.String())
	s.drain()
	s.leave()
	slog.Info("ended", "name", c.Name)
	return s.stop()
}

// stop ends the loop, and then what it has handed on.
func (s *service) stop() error {
	err := s.loop.Stop()
	if s.door != nil {
		_ = s.door.Close()
	}
	if s.capture != nil {
		s.capture.Close()
	}
	return err
}

// start makes the parts and sets them to work, short of taking clients.
func start(c config.Config, before *predecessor) (*service, error) {
	set, names, err := c.Terms()
	if err != nil {
		return nil, err
	}
	if err := before.agree(c, &set, &names); err != nil {
		return nil, err
	}
	seed, stated, err := c.SeedBits()
	if err != nil {
		return nil, err
	}
	if !stated { // an operator's file need not have one
		seed = rand.Uint64()
	}
	clock := gatekeeper.NewClock()
	s := &service{clock: clock, counts: set.Counter, inForce: c, meeting: meeting(c)}
	if err := c.Check(s.counts); err != nil {
		return nil, err
	}
	s.platform = platform.NewFront(set, names, func() bool { return s.core.Ready() && !s.clients.Draining() })
	var f front = s.platform
	if c.OpenAPI != nil {
		d, err := describe(c.OpenAPI.Description)
		if err != nil {
			return nil, err
		}
		if s.api, err = openapi.NewFront(*c.OpenAPI, d, set, names, clock); err != nil {
			return nil, err
		}
		set.Classes, names.Classes, f = s.api.Classes(), s.api.Names(), s.api
	}
	s.set, s.names = set, names
	if c.Control != "" {
		s.aside, s.figures = admin.Descriptors, stats.New(names.Classes)
	}
	if s.loop, err = link.NewLoop(link.NewBudget(descriptors(c.Limits.Sockets), s.aside)); err != nil {
		return nil, err
	}
	s.loop.Flowing = flowing(c.Limits.MemoryMB)
	if c.XDS != "" {
		if s.xds, err = xds.Listen(c.XDS); err != nil {
			return nil, err
		}
	}
	past := before.state()
	if c.Capture != nil {
		if c.Capture.Warm && past == nil { // who is in service knows better than a capture
			past = earlier(c, time.Now())
		}
		if s.capture, err = openCapture(c, clock, seed); err != nil {
			return nil, err
		}
	}
	connectMost, idleMost := float64(names.ConnectMost)/1000, float64(names.ConnIdle)/1000*restMost
	fleet := link.NewFleet(s.loop, clock, f, connectMost, idleMost, c.Transport)
	s.counter = link.NewCounter(s.loop, clock, c.Counter, counterPath, connectMost)
	s.loop.OnAlarm(func() { s.core.Advance() })
	s.on(func() {
		made := gatekeeper.Config{
			Settings: set, Seed: seed, Clock: clock, Fleet: fleet, Counter: s.counter,
			Wake: func(at float64) { s.loop.Wake(at - clock.Now()) }, Earlier: past,
		}
		if s.capture != nil {
			made.Recorder = s.capture
		}
		if s.figures != nil {
			made.Meter = s.figures
		}
		s.core = gatekeeper.New(made)
		fleet.Attach(s.core)
		s.counter.Attach(s.core)
		s.clients = link.NewClients(s.loop, clock, s.core, f)
		if s.api != nil {
			s.api.Attach(s.core, s.clients.Draining)
		}
		s.hosts = &platform.HostGroup{Core: s.core, Fleet: fleet, Names: names}
		s.hosts.Apply(policy.Cached, before.list(c.Known))
		s.watch = link.NewWatch(s.loop, clock, c.Discovery, s.hosts.Path, s.hosts.Line)
		if c.Discovery != "" {
			s.watch.Start()
		}
		s.loop.Every(sweepEvery, func() {
			s.clients.Sweep()
			fleet.Sweep()
			s.counter.Sweep()
			s.watch.Sweep()
		})
		if s.xds != nil {
			s.loop.Every(handOffEvery, s.handOff)
		}
		s.publish()
		if s.figures != nil {
			s.loop.Every(publishEvery, s.publish)
		}
	})
	if c.Control != "" {
		if s.door, err = admin.Listen(c.Control, s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Serving implements admin.Source.
func (s *service) Serving() bool { return s.serving.Load() }

// Lines implements admin.Source.
func (s *service) Lines() []byte {
	if s.capture == nil {
		return s.figures.Lines()
	}
	c := &s.capture.Stats
	return fmt.Appendf(slices.Clone(s.figures.Lines()), "edge.capture_records:%d|c\nedge.capture_lost:%d|c\nedge.capture_errors:%d|c\nedge.capture_bytes:%d|c\n",
		c.Records.Load(), c.Lost.Load(), c.Errors.Load(), c.Bytes.Load())
}

// publish gives the door a copy of the figures of this moment.
func (s *service) publish() {
	if s.figures == nil {
		return
	}
	s.serving.Store(s.accepts && s.core.Ready() && !s.clients.Draining())
	standings, _ := s.core.Standings()
	avoided := 0
	for _, x := range standings {
		if x.Shut || x.State != policy.Ready {
			avoided++
		}
	}
	s.figures.Publish(stats.Gauges{Pending: s.core.Open(), Members: len(standings), Unavailable: avoided})
}

// handOff tells other proxies what the module thinks at present.
func (s *service) handOff() {
	set, names := s.set, s.names
	standings, bound := s.core.Standings()
	st := xds.State{Bound: bound, Connect: time.Duration(names.ConnectMost) * time.Microsecond, Attempts: set.MaxAttempts}
	for _, x := range standings {
		e := xds.Endpoint{Address: s.hosts.Address(x.Server), Standing: x}
		if x.Zone < len(names.Zones) {
			e.Zone = names.Zones[x.Zone]
		}
		st.Endpoints = append(st.Endpoints, e)
	}
	if s.api != nil {
		st.Rules = s.api.Rules()
	}
	if err := s.xds.Set(st); err != nil {
		slog.Error("xds: not handed off", "error", err)
	}
}

// describe reads a description; Check and the service read it alike.
func describe(file string) (*openapi.Description, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	d, err := openapi.Parse(text)
	if err != nil {
		return nil, openapi.InFile(file, err)
	}
	return d, nil
}

// reload reads the configuration file and the description again, and puts in force
// what may change while the gatekeeper runs: the addresses of discovery and the
// counter, the classes with their terms, and the description. All of it is read and
// checked before, and takes effect in one call on the loop; with one fault all stays as
// it was.
func (s *service) reload(file string) error {
	c, err := config.Read(file)
	if err != nil {
		return err
	}
	if err := c.Replaces(&s.inForce); err != nil { // only reload changes inForce once it runs
		return err
	}
	set, names, err := c.Terms()
	if err != nil {
		return err
	}
	if s.api == nil {
		err = settings.Check(set, names)
	}
	if err := errors.Join(err, c.Check(s.counts)); err != nil {
		return err
	}
	var d *openapi.Description
	if s.api != nil {
		if c.OpenAPI == nil {
			return errors.New("configuration: it names no description any more")
		}
		if d, err = describe(c.OpenAPI.Description); err != nil {
			return err
		}
	}
	s.on(func() {
		s.inForce = c
		if c.Discovery != "" {
			s.watch.Move(c.Discovery)
		}
		if s.counts {
			s.counter.Move(c.Counter)
		}
		slog.Info("configuration replaced", "discovery", c.Discovery, "counter", c.Counter)
		switch {
		case d != nil:
			s.api.Replace(d)
			slog.Info("description replaced", "operations", d.Operations())
			s.names.Classes = s.api.Names()
			s.count(s.names.Classes)
		default:
			s.retune(set, names)
		}
	})
	return nil
}

// count has the figures go by other names of the classes, in their places.
func (s *service) count(names []string) {
	if s.figures != nil {
		s.figures.Name(names)
	}
}

// retune puts another table of classes in force. Requests under way keep the terms they
// came with. A class that was dropped is taken for a while longer: its clients learn of
// the change later than we do.
func (s *service) retune(set policy.Settings, names settings.Names) {
	settings.Place(&set, &names, s.set.Classes, s.names.Classes)
	if slices.Equal(set.Classes, s.set.Classes) && slices.Equal(names.Classes, s.names.Classes) {
		return
	}
	taken := slices.Clone(names.Classes)
	for i, name := range s.names.Classes {
		if taken[i] == "" {
			taken[i] = name
		}
	}
	s.set.Classes, s.names.Classes, s.set.MaxAttempts = set.Classes, names.Classes, set.MaxAttempts
	s.core.SetClasses(set.Classes)
	s.platform.Replace(set.Classes, taken)
	s.count(taken) // a class that was dropped counts for as long as it is taken
	s.retunes++
	n := s.retunes
	s.loop.After(stillTaken, func() {
		if n == s.retunes { // no later table
			s.platform.Replace(set.Classes, names.Classes)
		}
	})
	slog.Info("classes replaced", "classes", slices.DeleteFunc(slices.Clone(names.Classes), func(name string) bool { return name == "" }),
		"attempts", set.MaxAttempts)
}

// drain answers everything that still comes in while clients are told to go, and
// returns once nothing can be owed any more.
func (s *service) drain() {
	began := time.Now()
	s.on(func() {
		s.stopping = true
		s.clients.Drain()
	})
	time.Sleep(closeIdle)
	for {
		var left int
		s.on(func() {
			s.clients.CloseIdle()
			left = s.core.Open() + s.clients.Len()
		})
		if left == 0 && time.Since(began) > lateArrivals {
			return
		}
		time.Sleep(drainLook)
	}
}

// descriptors is the number the process may hold: what it is told, or what the
// system allows where that is less.
func descriptors(told int) int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return told
	}
	if allowed := int(min(lim.Cur, 1<<20)); told <= 0 || allowed < told {
		return allowed
	}
	return told
}

// tune sets the runtime for one core and little memory. Two Ps, though the core is
// one: while the loop waits in its system call, the alarm and the diallers find the
// other free. With one P a trouble day of 50 s took 1.8 and 1.9 s of CPU a
// gatekeeper, with two 1.0 to 1.5 s.
//
// What lives is 3 to 4 MB and what is allocated a quarter of a MB a second, so a
// collection every quarter of a minute costs nothing to speak of. With a percentage of
// 400 the first came at 16 MB, a minute after the start, and memory only grew till then.
func tune(memoryMB int) {
	runtime.GOMAXPROCS(2)
	if memoryMB > 0 {
		debug.SetMemoryLimit(memoryGoal(memoryMB))
	}
	debug.SetGCPercent(gcPercent)
}

// flowing is how many bytes of large messages may be under way at once.
func flowing(memoryMB int) int { return memoryMB << 20 / flowPart }

// memoryGoal is the part of the limit that the runtime may use.
func memoryGoal(memoryMB int) int64 { return int64(memoryMB) << 20 * 3 / 4 }
