// Command brocken simulates a week of traffic shadowing with a simulated clock.
package main

import (
	"os"

	"foxwood/internal/brocken"
)

func main() { os.Exit(brocken.Main(os.Args[1:])) }
