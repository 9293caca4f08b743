// Package service assembles a gatekeeper from its configuration file and runs it as a
// process: start, reload on SIGHUP, drain on SIGTERM, and handover to a replacement process.
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
	"foxwood/internal/dataplane/link"
	"foxwood/internal/gateway/admin"
	"foxwood/internal/gateway/config"
	"foxwood/internal/gateway/handover"
	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/platform"
	"foxwood/internal/gateway/settings"
	"foxwood/internal/gateway/xds"
	"foxwood/internal/stats"
	"foxwood/policy"
)

const (
	sweepInterval        = 250 * time.Millisecond
	xdsUpdateInterval    = 200 * time.Millisecond
	statsPublishInterval = 150 * time.Millisecond
	// minDrainDuration is how long after SIGTERM new requests are still accepted.
	minDrainDuration      = 800 * time.Millisecond
	idleCloseDelay        = 450 * time.Millisecond // from SIGTERM until idle client connections are closed
	drainPollInterval     = 20 * time.Millisecond
	counterPath           = "/v2/numbers"
	gcPercent             = 100
	inFlightMemoryDivisor = 8 // large messages in flight may use one part in 8 of the memory limit
	// droppedClassGracePeriod is how long requests of a class that a reload removed are
	// still accepted.
	droppedClassGracePeriod = 2 * time.Second
	// maxIdleFraction is the longest idle time of a worker connection, as a fraction of the
	// idle timeout of the workers.
	maxIdleFraction = 0.5
)

// applyEnvironment overrides fields of the configuration file with environment variables.
// It is used at the start only: the environment of a process does not change, whereas the
// file may name other addresses at a later reload.
func applyEnvironment(cfg *config.Config) {
	for name, field := range map[string]*string{
		"EDGE_NAME": &cfg.Name, "EDGE_LISTEN": &cfg.Listen, "EDGE_DISCOVERY": &cfg.Discovery,
		"EDGE_CONTROL": &cfg.AdminAddress,
	} {
		if value := os.Getenv(name); value != "" {
			*field = value
		}
	}
}

// frontend handles the requests of clients and parses the responses of workers.
type frontend interface {
	link.RequestHandler
	link.ResponseReader
}

// service is a gatekeeper and its components.
type service struct {
	clock          *gatekeeper.Clock
	loop           *link.Loop
	core           *gatekeeper.Gatekeeper
	clients        *link.ClientConns
	hosts          *platform.HostGroup
	watch          *link.Watch
	counter        *link.CounterConns
	counterEnabled bool              // whether the settings use the shared counter
	api            *openapi.Frontend // nil unless configured; platform is used then
	xds            *xds.Server       // nil unless configured
	capture        *capture.Writer   // nil unless configured
	adminServer    *admin.Server     // nil unless configured
	metrics        *stats.Counters   // nil without an admin server
	serving        atomic.Bool       // as reported by the admin server

	// The fields below are replaced at SIGHUP. Only the event loop may access them.
	activeConfig   config.Config
	policySettings policy.Settings
	names          settings.Names
	platform       *platform.Protocol
	classUpdates   int // number of class tables that reloads have applied

	reservedDescriptors int                // file descriptors that the event loop may not use
	accepting           bool               // clients are accepted; only the event loop may access this field and those below
	listener            *link.Listener     // nil until clients are accepted
	handoverSocket      *handover.Listener // for a successor to connect to; nil while none can
	handoverPath        string             // path of the handover socket; empty if handover is disabled
	predecessor         *handover.Peer     // the process that this one replaces, until it exits
	successor           *handover.Peer     // the process that replaces, or has replaced, this one
	handedOver          bool               // the successor has taken over
	stopping            bool               // SIGTERM was received
	closed              bool               // closeSockets has been called
}

// Run starts a gatekeeper from a configuration file and serves until SIGTERM or SIGINT. It
// returns once every accepted request has been answered.
func Run(file string) error {
	// Separate channels, so that a burst of one signal can't displace the other.
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cfg, err := config.Read(file)
	if err != nil {
		return err
	}
	applyEnvironment(&cfg)
	configureRuntime(cfg.Limits.MemoryMB)
	predecessor := connectPredecessor(cfg)
	s, err := start(cfg, predecessor)
	if err != nil {
		predecessor.close()
		return err
	}
	go func() { // also during the drain: requests in flight still need the counter's address
		for range reloadSignals {
			err := s.reload(file)
			if err != nil {
				slog.Error("configuration not replaced, the previous one stays in force", "error", err)
			}
			if s.metrics != nil {
				s.loop.Post(func() { s.metrics.CountReload(err == nil) })
			}
		}
	}()
	var received os.Signal
	select {
	case err = <-s.serve(cfg, predecessor):
		if err != nil {
			return err
		}
		received = <-stopSignals
	case received = <-stopSignals: // a predecessor continues to serve by itself
	}
	slog.Info("draining", "name", cfg.Name, "signal", received.String())
	s.drain()
	s.closeSockets()
	slog.Info("ended", "name", cfg.Name)
	return s.stop()
}

// stop ends the event loop, and then the admin server and the capture.
func (s *service) stop() error {
	err := s.loop.Stop()
	if s.adminServer != nil {
		_ = s.adminServer.Close()
	}
	if s.capture != nil {
		s.capture.Close()
	}
	return err
}

// start creates and starts all components, but doesn't accept clients yet.
func start(cfg config.Config, predecessor *predecessor) (*service, error) {
	policySettings, names, err := cfg.PolicySettings()
	if err != nil {
		return nil, err
	}
	if err := predecessor.alignClasses(cfg, &policySettings, &names); err != nil {
		return nil, err
	}
	seed, seedSet, err := cfg.ParseSeed()
	if err != nil {
		return nil, err
	}
	if !seedSet { // the seed is optional
		seed = rand.Uint64()
	}
	clock := gatekeeper.NewClock()
	s := &service{clock: clock, counterEnabled: policySettings.HasCounter, activeConfig: cfg, handoverPath: handoverSocketPath(cfg)}
	if err := cfg.CheckAddresses(s.counterEnabled); err != nil {
		return nil, err
	}
	s.platform = platform.NewProtocol(policySettings, names, func() bool { return s.core.Ready() && !s.clients.Draining() })
	var activeFrontend frontend = s.platform
	if cfg.OpenAPI != nil {
		description, err := readDescription(cfg.OpenAPI.Description)
		if err != nil {
			return nil, err
		}
		if s.api, err = openapi.NewFrontend(*cfg.OpenAPI, description, policySettings, names, clock); err != nil {
			return nil, err
		}
		policySettings.Classes, names.Classes, activeFrontend = s.api.Classes(), s.api.ClassNames(), s.api
	}
	s.policySettings, s.names = policySettings, names
	if cfg.AdminAddress != "" {
		s.reservedDescriptors, s.metrics = admin.MaxDescriptors, stats.New(names.Classes)
	}
	if s.loop, err = link.NewLoop(link.NewBudget(descriptorLimit(cfg.Limits.Sockets), s.reservedDescriptors)); err != nil {
		return nil, err
	}
	s.loop.StreamBufferBytes = inFlightBytes(cfg.Limits.MemoryMB)
	if cfg.XDS != "" {
		if s.xds, err = xds.Listen(cfg.XDS); err != nil {
			return nil, err
		}
	}
	earlierState := predecessor.earlierState()
	if cfg.Capture != nil {
		if cfg.Capture.RecoverState && earlierState == nil { // a predecessor's state is more recent than any capture
			earlierState = recoverState(cfg, time.Now())
		}
		if s.capture, err = openCapture(cfg, clock, seed); err != nil {
			return nil, err
		}
	}
	connectTimeoutMS, maxIdleMS := float64(names.ConnectTimeout)/1000, float64(names.IdleTimeout)/1000*maxIdleFraction
	fleet := link.NewWorkerConns(s.loop, clock, activeFrontend, connectTimeoutMS, maxIdleMS, cfg.Transport)
	s.counter = link.NewCounterConns(s.loop, clock, cfg.Counter, counterPath, connectTimeoutMS)
	s.loop.OnAlarm(func() { s.core.RunDueTimers() })
	s.runOnLoop(func() {
		gatewayConfig := gatekeeper.Config{
			Settings: policySettings, Seed: seed, Clock: clock, Workers: fleet, Counter: s.counter,
			RequestWakeUp: func(at float64) { s.loop.SetAlarm(at - clock.Now()) }, Previous: earlierState,
		}
		if s.capture != nil {
			gatewayConfig.Recorder = s.capture
		}
		if s.metrics != nil {
			gatewayConfig.Metrics = s.metrics
		}
		s.core = gatekeeper.New(gatewayConfig)
		fleet.SetCore(s.core)
		s.counter.SetCore(s.core)
		s.clients = link.NewClientConns(s.loop, clock, s.core, activeFrontend)
		if s.api != nil {
			s.api.Attach(s.core, s.clients.Draining)
		}
		s.hosts = &platform.HostGroup{Core: s.core, Fleet: fleet, Names: names}
		s.hosts.Apply(policy.CachedList, predecessor.workerList(cfg.KnownWorkers))
		s.watch = link.NewWatch(s.loop, clock, cfg.Discovery, s.hosts.WatchPath, s.hosts.ApplyLine)
		if cfg.Discovery != "" {
			s.watch.Start()
		}
		s.loop.Every(sweepInterval, func() {
			s.clients.Sweep()
			fleet.Sweep()
			s.counter.Sweep()
			s.watch.Sweep()
		})
		if s.xds != nil {
			s.loop.Every(xdsUpdateInterval, s.publishXDS)
		}
		s.publishStats()
		if s.metrics != nil {
			s.loop.Every(statsPublishInterval, s.publishStats)
		}
	})
	if cfg.AdminAddress != "" {
		if s.adminServer, err = admin.Listen(cfg.AdminAddress, s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Serving implements admin.StatusSource.
func (s *service) Serving() bool { return s.serving.Load() }

// StatsLines implements admin.StatusSource.
func (s *service) StatsLines() []byte {
	if s.capture == nil {
		return s.metrics.Lines()
	}
	counters := &s.capture.Stats
	return fmt.Appendf(slices.Clone(s.metrics.Lines()), "edge.capture_records:%d|c\nedge.capture_lost:%d|c\nedge.capture_errors:%d|c\nedge.capture_bytes:%d|c\n",
		counters.Records.Load(), counters.Lost.Load(), counters.Errors.Load(), counters.Bytes.Load())
}

// publishStats updates the metrics that the admin server reports.
func (s *service) publishStats() {
	if s.metrics == nil {
		return
	}
	s.serving.Store(s.accepting && s.core.Ready() && !s.clients.Draining())
	standings, _ := s.core.Standings()
	unavailable := 0
	for _, standing := range standings {
		if standing.Unavailable || standing.State != policy.Ready {
			unavailable++
		}
	}
	s.metrics.Publish(stats.Gauges{Pending: s.core.OpenRequests(), Members: len(standings), Unavailable: unavailable})
}

// publishXDS sends the present health and limits of the workers to proxies over xDS.
func (s *service) publishXDS() {
	policySettings, names := s.policySettings, s.names
	standings, bound := s.core.Standings()
	state := xds.State{MaxRequests: bound, ConnectTimeout: time.Duration(names.ConnectTimeout) * time.Microsecond, MaxAttempts: policySettings.MaxAttempts}
	for _, standing := range standings {
		endpoint := xds.Endpoint{Address: s.hosts.Address(standing.Server), ServerStatus: standing}
		if standing.Zone < len(names.Zones) {
			endpoint.Zone = names.Zones[standing.Zone]
		}
		state.Endpoints = append(state.Endpoints, endpoint)
	}
	if s.api != nil {
		state.Routes = s.api.Routes()
	}
	if err := s.xds.Publish(state); err != nil {
		slog.Error("xds: update failed", "error", err)
	}
}

// readDescription reads an OpenAPI description, for Check and for the running service.
func readDescription(file string) (*openapi.Description, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the OpenAPI description: %w", err)
	}
	description, err := openapi.Parse(text)
	if err != nil {
		return nil, openapi.WithFilePositions(file, err)
	}
	return description, nil
}

// reload reads the configuration file and the OpenAPI description again, and applies what
// may change at run time: the addresses of discovery and the counter, the request classes
// with their parameters, and the description. Everything is read and checked first, and
// applied in one call on the event loop. If anything is invalid, nothing changes.
func (s *service) reload(file string) error {
	cfg, err := config.Read(file)
	if err != nil {
		return err
	}
	if err := cfg.CheckReplacement(&s.activeConfig); err != nil { // once the service runs, only reload writes activeConfig
		return err
	}
	policySettings, names, err := cfg.PolicySettings()
	if err != nil {
		return err
	}
	if s.api == nil {
		err = settings.Check(policySettings, names)
	}
	if err := errors.Join(err, cfg.CheckAddresses(s.counterEnabled)); err != nil {
		return err
	}
	var description *openapi.Description
	if s.api != nil {
		if cfg.OpenAPI == nil {
			return errors.New("configuration: the openapi block is missing, but the service was started with one")
		}
		if description, err = readDescription(cfg.OpenAPI.Description); err != nil {
			return err
		}
	}
	s.runOnLoop(func() {
		s.activeConfig = cfg
		if cfg.Discovery != "" {
			s.watch.SetAddress(cfg.Discovery)
		}
		if s.counterEnabled {
			s.counter.SetAddress(cfg.Counter)
		}
		slog.Info("configuration replaced", "discovery", cfg.Discovery, "counter", cfg.Counter)
		switch {
		case description != nil:
			s.api.Replace(description)
			slog.Info("description replaced", "operations", description.OperationCount())
			s.names.Classes = s.api.ClassNames()
			s.renameMetricClasses(s.names.Classes)
		default:
			s.replaceClasses(policySettings, names)
		}
	})
	return nil
}

// renameMetricClasses sets the class names that the metrics use, by class index.
func (s *service) renameMetricClasses(names []string) {
	if s.metrics != nil {
		s.metrics.SetClassNames(names)
	}
}

// replaceClasses applies a new table of classes. Requests in flight keep the parameters that
// they arrived with. Requests of a removed class are accepted for droppedClassGracePeriod,
// because its clients learn of the change later than the gatekeeper does.
func (s *service) replaceClasses(policySettings policy.Settings, names settings.Names) {
	settings.KeepClassIndexes(&policySettings, &names, s.policySettings.Classes, s.names.Classes)
	if slices.Equal(policySettings.Classes, s.policySettings.Classes) && slices.Equal(names.Classes, s.names.Classes) {
		return
	}
	acceptedNames := slices.Clone(names.Classes)
	for i, name := range s.names.Classes {
		if acceptedNames[i] == "" {
			acceptedNames[i] = name
		}
	}
	s.policySettings.Classes, s.names.Classes, s.policySettings.MaxAttempts = policySettings.Classes, names.Classes, policySettings.MaxAttempts
	s.core.SetClasses(policySettings.Classes)
	s.platform.ReplaceClasses(policySettings.Classes, acceptedNames)
	s.renameMetricClasses(acceptedNames) // a removed class is counted for as long as its requests are accepted
	s.classUpdates++
	update := s.classUpdates
	s.loop.After(droppedClassGracePeriod, func() {
		if update == s.classUpdates { // no later reload has replaced the table
			s.platform.ReplaceClasses(policySettings.Classes, names.Classes)
		}
	})
	slog.Info("classes replaced", "classes", slices.DeleteFunc(slices.Clone(names.Classes), func(name string) bool { return name == "" }),
		"attempts", policySettings.MaxAttempts)
}

// drain asks clients to close their connections, and answers the requests that still arrive.
// It returns once no request and no client connection is left and minDrainDuration has passed.
func (s *service) drain() {
	started := time.Now()
	s.runOnLoop(func() {
		s.stopping = true
		s.clients.Drain()
	})
	time.Sleep(idleCloseDelay)
	for {
		var remaining int
		s.runOnLoop(func() {
			s.clients.CloseIdle()
			remaining = s.core.OpenRequests() + s.clients.OpenConns()
		})
		if remaining == 0 && time.Since(started) > minDrainDuration {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// descriptorLimit returns how many file descriptors the process may use: the configured
// number, or the system's limit if that is lower or nothing is configured.
func descriptorLimit(configured int) int {
	var systemLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &systemLimit); err != nil {
		return configured
	}
	if allowed := int(min(systemLimit.Cur, 1<<20)); configured <= 0 || allowed < configured {
		return allowed
	}
	return configured
}

// configureRuntime sets the Go runtime for one core and little memory.
//
// GOMAXPROCS is 2 although there is one core: while the event loop waits in its system call,
// the timer and the dialing goroutines find the other P free. In a 50 s run with failing
// workers a gatekeeper used 1.8 and 1.9 s of CPU with one P, and 1.0 to 1.5 s with two.
//
// The live heap is 3 to 4 MB and 0.25 MB are allocated per second, so a collection every 15 s
// costs little. With a GC percentage of 400 the first collection came at 16 MB, a minute after
// the start, and memory only grew until then.
func configureRuntime(memoryMB int) {
	runtime.GOMAXPROCS(2)
	if memoryMB > 0 {
		debug.SetMemoryLimit(runtimeMemoryLimit(memoryMB))
	}
	debug.SetGCPercent(gcPercent)
}

// inFlightBytes returns how many bytes of large messages may be buffered at once.
func inFlightBytes(memoryMB int) int { return memoryMB << 20 / inFlightMemoryDivisor }

// runtimeMemoryLimit returns the part of the memory limit, in bytes, that the Go runtime may
// use: three quarters.
func runtimeMemoryLimit(memoryMB int) int64 { return int64(memoryMB) << 20 * 3 / 4 }
