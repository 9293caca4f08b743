package membership

import (
	"fmt"
	"testing"
)

func scaleMember(index int) Member {
	return Member{Node: fmt.Sprintf("counter-%06d", index), Zone: fmt.Sprint("z", index%81), Region: fmt.Sprint("r", index%23), Incarnation: uint64(index) + 1<<60, Sequence: 1,
		ClientAddr: fmt.Sprintf("10.%d.%d.%d:8206", index>>16, index>>8&255, index&255), PeerAddr: fmt.Sprintf("10.%d.%d.%d:7460", index>>16, index>>8&255, index&255), Ready: true}
}

// BenchmarkScale measures what members cost a registry, by their number: one heartbeat, the hash
// and the brief report of its own sessions (a fifth of all), the handling of such a report, and the
// computation of the member list.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 18_000} {
		registry, other := New("a", 1, 0, 0), New("b", 2, 0, 0)
		for i := range n {
			member := scaleMember(i)
			if i%5 == 0 {
				other.Heartbeat(0, member)
			} else {
				registry.Heartbeat(0, member)
			}
		}
		registry.Receive(0, other.FullReport(0))
		other.ContentHash(0)
		b.Run(fmt.Sprintf("heartbeat/%d", n), func(b *testing.B) {
			member := scaleMember(1)
			for b.Loop() {
				member.Sequence++
				registry.Heartbeat(1, member)
				registry.Members(1)
			}
		})
		b.Run(fmt.Sprintf("brief-report/%d", n), func(b *testing.B) {
			for b.Loop() {
				other.ContentHash(1)
				other.BriefReport(1)
			}
		})
		b.Run(fmt.Sprintf("receive/%d", n), func(b *testing.B) {
			for b.Loop() {
				registry.Receive(1, other.BriefReport(1))
			}
		})
		b.Run(fmt.Sprintf("member-list/%d", n), func(b *testing.B) {
			for b.Loop() {
				registry.membersValidUntil = 0
				registry.Members(1)
			}
		})
	}
}
