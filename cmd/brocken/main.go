// Command brocken simulates a week of traffic shadowing with a simulated clock.
package main

import (
	"os"

	"foxwood/internal/dataplane/mirror/simulation"
)

func main() { os.Exit(simulation.Main(os.Args[1:])) }
