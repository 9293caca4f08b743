package settings

import (
	"testing"

	"foxwood/policy"
)

// TestParseIgnoresUnknownKeysAndUsesDefaults checks that unknown keys are no error, and that
// missing keys give the zero value or, for limits of connections, the default.
func TestParseIgnoresUnknownKeysAndUsesDefaults(t *testing.T) {
	s, names, err := Parse([]byte(`{"classes":[{"repeat":"deduplicated","group":"cell","objective-us":5,"new":1}],
		"tiers-of-service":[{"refill":2.5,"concurrency":3}],"self-index":1,"siblings":2,"colour":{"a":[]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if c := s.Classes[0]; c.Repeat != policy.RepeatKeyed || c.Dedup != policy.DedupCell || c.LatencyTarget != 5 {
		t.Fatalf("class %+v, want Keyed, GroupCell and an objective of 5 us", c)
	}
	if names.IdleTimeout <= 0 || names.ConnectTimeout <= 0 {
		t.Fatalf("no default limits of connections: %+v", names)
	}
	if s.Plans[0].Rate != 2.5 || s.Plans[0].MaxInFlight != 3 || s.HasCounter {
		t.Fatalf("settings %+v, want a rate of 2.5, 3 open requests and no counter", s)
	}
	if _, _, err := Parse([]byte(`{"classes":`)); err == nil {
		t.Fatal("malformed JSON was accepted")
	}
}
