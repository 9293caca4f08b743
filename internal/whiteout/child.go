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

// child is one process of the system, as its own program would start it. SIGUSR1 cuts it off
// from the others, SIGUSR2 joins it again.
func child(program, mode string) int {
	set, err := bootconfig.Read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if mode == copyMode {
		return childOf(program, set, func(p *switchback.Proxy) { p.Shadow() }, nil)
	}
	return childOf(program, set, func(p *switchback.Proxy) {
		p.Shed(map[string]switchback.ShedMode{"alike": switchback.ShedAlike, "whole": switchback.ShedAlike, "solitary": switchback.ShedSolitary, "dice": switchback.ShedDice}[mode])
	}, func(b *bothy.Bothy) { b.Shed(snowline.Options{On: true, Caller: headCaller, Whole: mode == "whole"}) }, bothy.DutyLevel)
}

// childOf serves, with what gatekeepers and bothies do besides.
func childOf(program string, set *bootconfig.Settings, gate func(*switchback.Proxy), core func(*bothy.Bothy), duties ...string) int {
	var err error
	log := zerolog.New(os.Stderr).With().Str("program", program).Str("station", set.Station).Logger()
	var r cli.Runner
	switch program {
	case "cairn":
		r, err = store.New(set, log)
	case "bothy":
		b := bothy.New(set, log, duties...)
		if core != nil {
			core(b)
		}
		r = b
	case "switchback":
		var p *switchback.Proxy
		if p, err = switchback.New(set, log); err == nil {
			gate(p)
		}
		r = p
	default:
		err = fmt.Errorf("no program %q", program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cuts := make(chan os.Signal, 1)
	signal.Notify(cuts, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range cuts {
			rpc.Isolate(s == syscall.SIGUSR1)
		}
	}()
	go orphaned(stop)
	if err := r.Serve(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// orphaned ends the process once its parent has: standard input is a pipe of the parent's.
func orphaned(stop func()) {
	_, _ = os.Stdin.Read(make([]byte, 1))
	stop()
}
