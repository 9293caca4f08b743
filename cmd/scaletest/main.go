// Command scaletest puts many hollow gatekeepers before real control processes, on this machine's loopback.
package main

import (
	"os"

	"foxwood/internal/scaletest"
)

func main() { os.Exit(scaletest.Main(os.Args[1:])) }
