package membership

import (
	"fmt"
	"testing"
)

func scaleMember(index int) Member {
	return Member{Station: fmt.Sprintf("counter-%06d", index), Zone: fmt.Sprint("z", index%81), Region: fmt.Sprint("r", index%23), Life: uint64(index) + 1<<60, Turn: 1,
		Counter: fmt.Sprintf("10.%d.%d.%d:8206", index>>16, index>>8&255, index&255), Inner: fmt.Sprintf("10.%d.%d.%d:7460", index>>16, index>>8&255, index&255), Ready: true}
}

// BenchmarkScale measures what members cost a control node, by their number: one heartbeat, the hash
// and the brief report of its own sessions (a fifth of all), the handling of such a report, and the
// computation of the member list.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 18_000} {
		registry, other := New("a", 1, 0, 0), New("b", 2, 0, 0)
		for i := range n {
			member := scaleMember(i)
			if i%5 == 0 {
				other.Sign(0, member)
			} else {
				registry.Sign(0, member)
			}
		}
		registry.Hear(0, other.Tell(0))
		other.Mark(0)
		b.Run(fmt.Sprintf("heartbeat/%d", n), func(b *testing.B) {
			member := scaleMember(1)
			for b.Loop() {
				member.Turn++
				registry.Sign(1, member)
				registry.Members(1)
			}
		})
		b.Run(fmt.Sprintf("brief-report/%d", n), func(b *testing.B) {
			for b.Loop() {
				other.Mark(1)
				other.Brief(1)
			}
		})
		b.Run(fmt.Sprintf("receive/%d", n), func(b *testing.B) {
			for b.Loop() {
				registry.Hear(1, other.Brief(1))
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
