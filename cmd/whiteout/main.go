// Command whiteout runs a live overload test of a whole cluster over the loopback interface.
package main

import (
	"os"

	"foxwood/internal/testing/overloadtest"
)

func main() { os.Exit(overloadtest.Main(os.Args[1:])) }
