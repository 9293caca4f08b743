// Command foxwood is a load balancer, called the gatekeeper, and its tools. Without arguments it
// serves with the configuration file that EDGE_CONFIG names.
package main

import (
	"os"

	"foxwood/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
