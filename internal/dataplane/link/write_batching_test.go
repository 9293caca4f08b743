package link

import (
	"testing"
	"time"
)

// TestWritesAreBatchedOnlyWhereItSaves simulates iterations with a number of events, each of
// which writes to one of a number of connections.
func TestWritesAreBatchedOnlyWhereItSaves(t *testing.T) {
	for name, tc := range map[string]struct {
		events, links int
		want          bool
	}{
		"one by one":                          {1, 1, false},
		"several, each to another connection": {4, 4, false},
		"two to one connection":               {2, 1, false},
		"many to one connection":              {6, 1, true},
		"many to few connections":             {9, 2, true},
	} {
		var tracker iterationTracker
		marks := make([]writeMark, tc.links)
		now := time.Unix(0, 0)
		for range 500 {
			now = now.Add(time.Millisecond)
			for e := range tc.events {
				tracker.beginEvent(now)
				tracker.markDirty(&marks[e%tc.links])
				tracker.markDirty(&marks[e%tc.links]) // a second write in the same event does not count
				now = now.Add(time.Microsecond)
				tracker.endEvent(now)
			}
			for i := range marks {
				marks[i].dirty = false
			}
		}
		if got := tracker.worthBatching(); got != tc.want {
			t.Errorf("%s: batching %v, want %v; mean repeats %.2f", name, got, tc.want, tracker.meanRepeats)
		}
	}
}
