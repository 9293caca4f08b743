package overloadtest

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cli"
	"foxwood/internal/configstore"
	"foxwood/internal/control/registry"
	"foxwood/internal/control/shedding"
	"foxwood/internal/dataplane/proxy"
	"foxwood/internal/rpc"
)

// runChild runs one process of the cluster the way its own program would start it, and returns the
// exit code. SIGUSR1 isolates the process from the others, SIGUSR2 reconnects it.
func runChild(program, mode string) int {
	settings, err := bootconfig.Read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if mode == modeCopies {
		return serveProgram(program, settings, func(server *proxy.Proxy) { server.EnableMirroring() }, nil)
	}
	return serveProgram(program, settings, func(server *proxy.Proxy) {
		server.EnableShedding(map[string]proxy.ShedMode{"alike": proxy.ShedByCluster, "whole": proxy.ShedByCluster, "solitary": proxy.ShedByGatekeeper, "dice": proxy.ShedAtRandom}[mode])
	}, func(control *registry.Registry) {
		control.EnableShedding(shedding.Options{On: true, CallerHeader: callerHeader, SingleThreshold: mode == "whole"})
	}, registry.DutyShedding)
}

// serveProgram serves one program until it is told to stop. The two callbacks set options that
// only this test uses on a proxy (switchback) or on a registry (bothy); duties are the cluster duties
// that a registry competes for.
func serveProgram(program string, settings *bootconfig.Settings, configureProxy func(*proxy.Proxy), configureControl func(*registry.Registry), duties ...string) int {
	var err error
	log := zerolog.New(os.Stderr).With().Str("program", program).Str("station", settings.Node).Logger()
	var runner cli.Runner
	switch program {
	case "cairn":
		runner, err = configstore.New(settings, log)
	case "bothy":
		control := registry.New(settings, log, duties...)
		if configureControl != nil {
			configureControl(control)
		}
		runner = control
	case "switchback":
		var server *proxy.Proxy
		if server, err = proxy.New(settings, log); err == nil {
			configureProxy(server)
		}
		runner = server
	default:
		err = fmt.Errorf("unknown program %q: expected cairn, bothy or switchback", program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	isolationSignals := make(chan os.Signal, 1)
	signal.Notify(isolationSignals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range isolationSignals {
			rpc.Isolate(received == syscall.SIGUSR1)
		}
	}()
	go stopOnParentExit(stop)
	if err := runner.Serve(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// stopOnParentExit stops the process when its parent exits. Standard input is a pipe from the parent,
// so the read returns at that moment.
func stopOnParentExit(stop func()) {
	_, _ = os.Stdin.Read(make([]byte, 1))
	stop()
}
