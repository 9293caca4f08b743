// Package fixedseed makes the rapid property tests of the test package that imports it use the same random seed in
// every run, so that the result for a commit is reproducible. The flag -rapid.seed selects another seed.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // defines the flag rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(fmt.Sprintf("fixedseed: setting the flag rapid.seed: %v", err))
	}
}
