// Command cairn runs one machine of the configuration store.
package main

import (
	"os"

	"github.com/rs/zerolog"

	"foxwood/internal/bootconfig"
	"foxwood/internal/cli"
	"foxwood/internal/configstore"
)

func main() {
	os.Exit(cli.Main(cli.Program{Name: "cairn", Summary: "Keep what operators have ordered, on disk",
		NewRunner: func(set *bootconfig.Settings, log zerolog.Logger) (cli.Runner, error) {
			return configstore.New(set, log)
		}}))
}
