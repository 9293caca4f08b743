// Package platform is the front for the platform's protocol: its configuration,
// headers, outcomes and host group, and the program around them.
package platform

import (
	"encoding/json"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"foxwood/gatekeeper"
	"foxwood/internal/link"
	"foxwood/internal/settings"
)

// config is the file that EDGE_CONFIG names.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Counter  string          `json:"counter"`
	Known    groupList       `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

const (
	sweepEvery = 250 * time.Millisecond
	// lateArrivals is how long after SIGTERM requests may still come in.
	lateArrivals = 800 * time.Millisecond
	closeIdle    = 450 * time.Millisecond
	drainLook    = 20 * time.Millisecond
	counterPath  = "/v2/numbers"
)

func readConfig() (config, error) {
	var c config
	text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	for name, field := range map[string]*string{
		"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen, "EDGE_DISCOVERY": &c.Discovery,
	} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	return c, nil
}

// Run serves until SIGTERM and what was taken by then is answered.
func Run() error {
	c, err := readConfig()
	if err != nil {
		return err
	}
	set, names, err := settings.Parse(c.Settings)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("configuration: seed: %w", err)
	}
	tune(c.Limits.MemoryMB)

	clock := gatekeeper.NewClock()
	loop, err := link.NewLoop(link.NewBudget(descriptors(c.Limits.Sockets)))
	if err != nil {
		return err
	}
	var core *gatekeeper.Gatekeeper
	var clients *link.Clients
	front := NewFront(set, names, func() bool { return core.Ready() && !clients.Draining() })
	connectMost, idleMost := float64(names.ConnectMost)/1000, float64(names.ConnIdle)/2000
	fleet := link.NewFleet(loop, clock, front, connectMost, idleMost)
	counter := link.NewCounter(loop, clock, c.Counter, counterPath, connectMost)
	loop.OnAlarm(func() { core.Advance() })

	started := make(chan error, 1)
	loop.Post(func() {
		core = gatekeeper.New(gatekeeper.Config{
			Settings: set, Seed: seed, Clock: clock, Fleet: fleet, Counter: counter,
			Wake: func(at float64) { loop.Wake(at - clock.Now()) },
		})
		fleet.Attach(core)
		counter.Attach(core)
		clients = link.NewClients(loop, core, front)
		hosts := &group{core: core, fleet: fleet, names: names}
		hosts.apply(0, c.Known)
		watch := link.NewWatch(loop, clock, c.Discovery, hosts.path, hosts.line)
		watch.Start()
		loop.Every(sweepEvery, func() {
			fleet.Sweep()
			counter.Sweep()
			watch.Sweep()
		})
		started <- nil
	})
	<-started
	listener, err := link.Listen(c.Listen)
	if err != nil {
		return err
	}
	go listener.Accept(loop, clients.Make)
	log.Printf("%s serves at %s with %d workers known", c.Name, c.Listen, len(c.Known.Instances))

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	log.Printf("%s drains after %v", c.Name, <-stop)
	drain(loop, clients, core)
	_ = listener.Close()
	log.Printf("%s ends", c.Name)
	return nil
}

// drain answers everything that still comes in while clients are told to go, and
// returns once nothing can be owed any more.
func drain(loop *link.Loop, clients *link.Clients, core *gatekeeper.Gatekeeper) {
	began := time.Now()
	loop.Post(clients.Drain)
	time.Sleep(closeIdle)
	for {
		left := make(chan int)
		loop.Post(func() {
			clients.CloseIdle()
			left <- core.Open() + clients.Len()
		})
		if <-left == 0 && time.Since(began) > lateArrivals {
			return
		}
		time.Sleep(drainLook)
	}
}

// descriptors is the number the process may hold: what it is told, or what the
// system allows where that is less.
func descriptors(told int) int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(told) {
		return int(lim.Cur)
	}
	return told
}

// tune sets the runtime for one core and little memory.
func tune(memoryMB int) {
	runtime.GOMAXPROCS(2)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 3 / 4)
	}
	debug.SetGCPercent(400)
}
