// Command bothy runs a registry: the server that keeps the gatekeepers' sessions, reads the
// platform's worker list, allocates quotas and serves the HTTP control API and the directory.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cli"
	"foxwood/internal/control/registry"
	"foxwood/internal/control/shedding"
)

func main() {
	var shedding shedding.Options
	var probesPerSecond float64
	os.Exit(cli.Main(cli.Program{Name: "bothy", Summary: "Keep sessions, workers and duties, and answer outside callers",
		DefineFlags: func(flags *flag.FlagSet) {
			shedding.ControlFlags(flags)
			flags.Float64Var(&probesPerSecond, "probes", 0, "workers that are new or cold to probe each second, where this bothy polls the list; at most 20")
		},
		CheckFlags: func() error {
			if probesPerSecond < 0 || probesPerSecond > 20 {
				return errors.Join(shedding.Check(), fmt.Errorf("-probes: %g is not from 0 to 20", probesPerSecond))
			}
			return shedding.Check()
		},
		NewRunner: func(settings *bootconfig.Settings, log zerolog.Logger) (cli.Runner, error) {
			var duties []string
			if shedding.On {
				duties = append(duties, registry.DutyShedding)
			}
			registry := registry.New(settings, log, duties...)
			if shedding.On {
				registry.EnableShedding(shedding)
			}
			registry.SetProbeRate(probesPerSecond)
			return registry, nil
		}}))
}
