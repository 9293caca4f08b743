package switchback

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/waymark"
	"foxwood/policy"
)

// TestRingNeedsMemberIndex: a gatekeeper that does not know its index among the members has no rank on the ring.
func TestRingNeedsMemberIndex(t *testing.T) {
	for _, test := range []struct {
		name  string
		crowd waymark.Crowd
		want  policy.Ring
	}{
		{"no members are known", waymark.Crowd{}, policy.Ring{}},
		{"not among the members", waymark.Crowd{Place: -1, Count: 4, Near: []int{0, 2}}, policy.Ring{}},
		{"alone in its zone", waymark.Crowd{Place: 1, Count: 4}, policy.Ring{Zone: hash64("a1"), Of: 1}},
		{"between two zone peers", waymark.Crowd{Place: 2, Count: 4, Near: []int{0, 3}}, policy.Ring{Zone: hash64("a1"), Rank: 1, Of: 3}},
	} {
		proxy := newTestProxy(t)
		proxy.runOnLoop(func() {
			proxy.settings.Zone, proxy.membership = "a1", test.crowd
			assert.Check(t, proxy.ring() == test.want, "%s: %v", test.name, proxy.ring())
		})
	}
}
