package settings

import (
	"testing"

	"foxwood/policy"
)

func TestSettingsIgnoreUnknownKeysAndMissingMeansAbsent(t *testing.T) {
	s, names, err := Parse([]byte(`{"classes":[{"repeat":"deduplicated","group":"cell","objective-us":5,"new":1}],
		"tiers-of-service":[{"refill":2.5,"concurrency":3}],"self-index":1,"siblings":2,"colour":{"a":[]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if c := s.Classes[0]; c.Repeat != policy.Keyed || c.Group != policy.GroupCell || c.Aim != 5 {
		t.Fatalf("class %+v", c)
	}
	if names.ConnIdle <= 0 || names.ConnectMost <= 0 {
		t.Fatalf("connections without limits: %+v", names)
	}
	if s.Plans[0].Rate != 2.5 || s.Plans[0].Open != 3 || s.Counter {
		t.Fatalf("settings %+v", s)
	}
	if _, _, err := Parse([]byte(`{"classes":`)); err == nil {
		t.Fatal("broken settings were taken")
	}
}
