// Command bothy is the registry of the whole system.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/bothy"
	"foxwood/internal/cli"
	"foxwood/internal/snowline"
)

func main() {
	var shed snowline.Options
	var probes float64
	os.Exit(cli.Main(cli.Program{Name: "bothy", Summary: "Keep sessions, workers and duties, and answer outside callers",
		Flags: func(f *flag.FlagSet) {
			shed.Bothies(f)
			f.Float64Var(&probes, "probes", 0, "workers that are new or cold to probe each second, where this bothy polls the list; at most 20")
		},
		Check: func() error {
			if probes < 0 || probes > 20 {
				return errors.Join(shed.Check(), fmt.Errorf("-probes: %g is not from 0 to 20", probes))
			}
			return shed.Check()
		},
		Make: func(set *bootconfig.Settings, log zerolog.Logger) (cli.Runner, error) {
			var duties []string
			if shed.On {
				duties = append(duties, bothy.DutyLevel)
			}
			b := bothy.New(set, log, duties...)
			if shed.On {
				b.Shed(shed)
			}
			b.Probe(probes)
			return b, nil
		}}))
}
