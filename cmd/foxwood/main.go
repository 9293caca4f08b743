// Command foxwood is a gatekeeper and the tools around it. Without arguments it runs
// by the configuration that EDGE_CONFIG names.
package main

import (
	"os"

	"foxwood/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
