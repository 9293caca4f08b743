// Command switchback is the proxy of the whole system.
package main

import (
	"flag"
	"os"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cli"
	"foxwood/internal/snowline"
	"foxwood/internal/switchback"
)

func main() {
	var shed snowline.Options
	var bulletin, shadow bool
	os.Exit(cli.Main(cli.Program{Name: "switchback", Summary: "Carry clients' requests to workers",
		Flags: func(f *flag.FlagSet) {
			shed.Gatekeepers(f)
			f.BoolVar(&bulletin, "bulletin", false, "judge workers by what all gatekeepers of the zone see of them")
			f.BoolVar(&shadow, "shadow", false, "copy journeys for shadow services where an order says so")
		}, Check: shed.Check,
		Make: func(set *bootconfig.Settings, log zerolog.Logger) (cli.Runner, error) {
			p, err := switchback.New(set, log)
			if err == nil && shed.On {
				p.Shed(switchback.ShedAlike)
			}
			if err == nil && bulletin {
				p.Bulletin()
			}
			if err == nil && shadow {
				p.Shadow()
			}
			return p, err
		}}))
}
