// Command forecast generates fault scenarios ("days") for a simulated deployment, runs them in the simulator, and
// shrinks failing ones to a minimal scenario.
package main

import (
	"os"

	"foxwood/internal/testing/faultgen"
)

func main() { os.Exit(faultgen.Main(os.Args[1:])) }
