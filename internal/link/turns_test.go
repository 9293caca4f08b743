package link

import (
	"testing"
	"time"
)

// TestTheEndOfATurnIsAskedForOnlyWhereItSaves plays turns of so many events, each of which
// writes to one of so many links.
func TestTheEndOfATurnIsAskedForOnlyWhereItSaves(t *testing.T) {
	for name, c := range map[string]struct {
		events, links int
		want          bool
	}{
		"one by one":                    {1, 1, false},
		"several, each to another link": {4, 4, false},
		"two to one link":               {2, 1, false},
		"many to one link":              {6, 1, true},
		"many to few links":             {9, 2, true},
	} {
		var ts turns
		links := make([]mark, c.links)
		now := time.Unix(0, 0)
		for range 500 {
			now = now.Add(time.Millisecond)
			for e := range c.events {
				ts.began(now)
				ts.touch(&links[e%c.links])
				ts.touch(&links[e%c.links]) // twice in an event is nothing new
				now = now.Add(time.Microsecond)
				ts.ended(now)
			}
			for i := range links {
				links[i].dirty = false
			}
		}
		if got := ts.crowded(); got != c.want {
			t.Errorf("%s: crowded %v, mean %.2f", name, got, ts.mean)
		}
	}
}
