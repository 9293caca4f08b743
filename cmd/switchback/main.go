// Command switchback runs a gatekeeper: the proxy that forwards clients' requests to workers.
package main

import (
	"flag"
	"os"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cli"
	"foxwood/internal/control/shedding"
	"foxwood/internal/dataplane/proxy"
)

func main() {
	var shed shedding.Options
	var outlierReports, mirroring bool
	os.Exit(cli.Main(cli.Program{Name: "switchback", Summary: "Forward clients' requests to workers",
		DefineFlags: func(f *flag.FlagSet) {
			shed.GatekeeperFlags(f)
			f.BoolVar(&outlierReports, "bulletin", false, "eject outlier workers by the reports of all gatekeepers of the zone")
			f.BoolVar(&mirroring, "shadow", false, "mirror traffic where a mirroring rule says so")
		}, CheckFlags: shed.Check,
		NewRunner: func(set *bootconfig.Settings, log zerolog.Logger) (cli.Runner, error) {
			p, err := proxy.New(set, log)
			if err == nil && shed.On {
				p.EnableShedding(proxy.ShedByCluster)
			}
			if err == nil && outlierReports {
				p.EnableOutlierReports()
			}
			if err == nil && mirroring {
				p.EnableMirroring()
			}
			return p, err
		}}))
}
