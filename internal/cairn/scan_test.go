package cairn

import (
	"os"
	"strconv"
	"sync"
	"testing"
)

// TestScan plays many more runs when it is asked to: CAIRN_RUNS of each size, from the seed
// CAIRN_FROM on; of one size only with
// CAIRN_MACHINES, with operators who have machines forgotten with CAIRN_WHIMS, with machines
// that are replaced with CAIRN_TURNOVER.
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
				if _, err := sound(uint64(from+i), c[0], c[1], faults{whims: os.Getenv("CAIRN_WHIMS") != "", turnover: os.Getenv("CAIRN_TURNOVER") != ""}); err != nil {
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
