package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/rpc/api"
	"foxwood/policy"
)

// TestRingNeedsMemberIndex: a gatekeeper that does not know its index among the members has no rank on the ring.
func TestRingNeedsMemberIndex(t *testing.T) {
	for _, test := range []struct {
		name  string
		crowd api.MemberView
		want  policy.RingPlace
	}{
		{"no members are known", api.MemberView{}, policy.RingPlace{}},
		{"not among the members", api.MemberView{MemberIndex: -1, MemberCount: 4, ZonePeerIndexes: []int{0, 2}}, policy.RingPlace{}},
		{"alone in its zone", api.MemberView{MemberIndex: 1, MemberCount: 4}, policy.RingPlace{Zone: hash64("a1"), Count: 1}},
		{"between two zone peers", api.MemberView{MemberIndex: 2, MemberCount: 4, ZonePeerIndexes: []int{0, 3}}, policy.RingPlace{Zone: hash64("a1"), Index: 1, Count: 3}},
	} {
		proxy := newTestProxy(t)
		proxy.runOnLoop(func() {
			proxy.settings.Zone, proxy.membership = "a1", test.crowd
			assert.Check(t, proxy.ring() == test.want, "%s: %v", test.name, proxy.ring())
		})
	}
}
