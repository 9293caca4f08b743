// Command whiteout runs a live overload test of a whole cluster over the loopback interface.
package main

import (
	"os"

	"foxwood/internal/whiteout"
)

func main() { os.Exit(whiteout.Main(os.Args[1:])) }
