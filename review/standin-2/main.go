// Command standin2 plays the cases of the second review: it starts the project's programs as separate processes on
// loopback addresses, with stand-ins for the platform, workers, clients and the operator.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each tells whether the rule was broken.
var cases = map[string]func(recordPath string, trouble bool) (broken bool, err error){
	"long-pause":    longPause,
	"short-answers": shortAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil: // the case could not run
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
