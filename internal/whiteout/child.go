package whiteout

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/bothy"
	"foxwood/internal/cli"
	"foxwood/internal/rpc"
	"foxwood/internal/snowline"
	"foxwood/internal/store"
	"foxwood/internal/switchback"
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
		return serveProgram(program, settings, func(server *switchback.Proxy) { server.EnableMirroring() }, nil)
	}
	return serveProgram(program, settings, func(server *switchback.Proxy) {
		server.EnableShedding(map[string]switchback.ShedMode{"alike": switchback.ShedByCluster, "whole": switchback.ShedByCluster, "solitary": switchback.ShedByGatekeeper, "dice": switchback.ShedAtRandom}[mode])
	}, func(control *bothy.Registry) {
		control.EnableShedding(snowline.Options{On: true, CallerHeader: callerHeader, SingleThreshold: mode == "whole"})
	}, bothy.DutyShedding)
}

// serveProgram serves one program until it is told to stop. The two callbacks set options that
// only this test uses on a proxy (switchback) or on a control node (bothy); duties are the cluster duties
// that a control node competes for.
func serveProgram(program string, settings *bootconfig.Settings, configureProxy func(*switchback.Proxy), configureControl func(*bothy.Registry), duties ...string) int {
	var err error
	log := zerolog.New(os.Stderr).With().Str("program", program).Str("station", settings.Node).Logger()
	var runner cli.Runner
	switch program {
	case "cairn":
		runner, err = store.New(settings, log)
	case "bothy":
		control := bothy.New(settings, log, duties...)
		if configureControl != nil {
			configureControl(control)
		}
		runner = control
	case "switchback":
		var server *switchback.Proxy
		if server, err = switchback.New(settings, log); err == nil {
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
