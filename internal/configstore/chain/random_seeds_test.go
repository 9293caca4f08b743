package chain

import (
	"os"
	"strconv"
	"sync"
	"testing"
)

// TestScan runs many more simulations on request: CAIRN_RUNS of each size, starting with seed
// CAIRN_FROM. CAIRN_MACHINES selects one size, CAIRN_WHIMS adds random removals by operators, and
// CAIRN_TURNOVER adds replacements and restarts.
func TestScan(t *testing.T) {
	runs, _ := strconv.Atoi(os.Getenv("CAIRN_RUNS"))
	if runs == 0 {
		t.Skip("CAIRN_RUNS is not set")
	}
	from, only := 1000, os.Getenv("CAIRN_MACHINES")
	if v, err := strconv.Atoi(os.Getenv("CAIRN_FROM")); err == nil {
		from = v
	}
	var wg sync.WaitGroup
	for _, c := range [][2]int{{3, 3}, {4, 3}, {4, 4}, {5, 3}, {5, 5}, {6, 3}} {
		if only != "" && only != strconv.Itoa(c[0]) {
			continue
		}
		wg.Go(func() {
			bad := 0
			for i := range runs {
				if _, err := simulate(uint64(from+i), c[0], c[1], faults{removeAtRandom: os.Getenv("CAIRN_WHIMS") != "", replaceMachines: os.Getenv("CAIRN_TURNOVER") != ""}); err != nil {
					t.Errorf("%v seed %d: %.220s", c, from+i, err)
					if bad++; bad > 6 {
						return
					}
				}
			}
		})
	}
	wg.Wait()
}
