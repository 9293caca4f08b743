package membership

import (
	"fmt"
	"testing"
)

func scaleGuest(i int) Member {
	return Member{Station: fmt.Sprintf("counter-%06d", i), Zone: fmt.Sprint("z", i%81), Region: fmt.Sprint("r", i%23), Life: uint64(i) + 1<<60, Turn: 1,
		Counter: fmt.Sprintf("10.%d.%d.%d:8206", i>>16, i>>8&255, i&255), Inner: fmt.Sprintf("10.%d.%d.%d:7460", i>>16, i>>8&255, i&255), Ready: true}
}

// BenchmarkScale is what members cost a bothy, by how many there are: one sign, the mark and the
// brief page of its own sessions (a fifth of all), the hearing of such a page, and the roll made anew.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 18_000} {
		book, other := New("a", 1, 0, 0), New("b", 2, 0, 0)
		for i := range n {
			g := scaleGuest(i)
			if i%5 == 0 {
				other.Sign(0, g)
			} else {
				book.Sign(0, g)
			}
		}
		book.Hear(0, other.Tell(0))
		other.Mark(0)
		b.Run(fmt.Sprintf("sign/%d", n), func(b *testing.B) {
			g := scaleGuest(1)
			for b.Loop() {
				g.Turn++
				book.Sign(1, g)
				book.Members(1)
			}
		})
		b.Run(fmt.Sprintf("mark/%d", n), func(b *testing.B) {
			for b.Loop() {
				other.Mark(1)
				other.Brief(1)
			}
		})
		b.Run(fmt.Sprintf("hear/%d", n), func(b *testing.B) {
			for b.Loop() {
				book.Hear(1, other.Brief(1))
			}
		})
		b.Run(fmt.Sprintf("roll/%d", n), func(b *testing.B) {
			for b.Loop() {
				book.rollTo = 0
				book.Members(1)
			}
		})
	}
}
