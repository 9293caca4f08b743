// Command forecast draws days of trouble for a deployment, plays them, and shrinks those that break.
package main

import (
	"os"

	"foxwood/internal/forecast"
)

func main() { os.Exit(forecast.Main(os.Args[1:])) }
