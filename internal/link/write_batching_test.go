package link

import (
	"testing"
	"time"
)

// TestWritesAreBatchedOnlyWhereItSaves plays turns of so many events, each of which
// writes to one of so many links.
func TestWritesAreBatchedOnlyWhereItSaves(t *testing.T) {
	for name, tc := range map[string]struct {
		events, links int
		want          bool
	}{
		"one by one":                    {1, 1, false},
		"several, each to another link": {4, 4, false},
		"two to one link":               {2, 1, false},
		"many to one link":              {6, 1, true},
		"many to few links":             {9, 2, true},
	} {
		var tracker iterationTracker
		links := make([]writeMark, tc.links)
		now := time.Unix(0, 0)
		for range 500 {
			now = now.Add(time.Millisecond)
			for e := range tc.events {
				tracker.beginEvent(now)
				tracker.markDirty(&links[e%tc.links])
				tracker.markDirty(&links[e%tc.links]) // twice in an event is nothing new
				now = now.Add(time.Microsecond)
				tracker.endEvent(now)
			}
			for i := range links {
				links[i].dirty = false
			}
		}
		if got := tracker.worthBatching(); got != tc.want {
			t.Errorf("%s: crowded %v, mean %.2f", name, got, tracker.meanRepeats)
		}
	}
}
