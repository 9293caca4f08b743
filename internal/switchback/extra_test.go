package switchback

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestALateRefusalProvesNothing: a worker's second refusal comes in the place of the answer to a
// request that it runs. Taken for that one's, it would have it sent to another worker as well.
func TestALateRefusalProvesNothing(t *testing.T) {
	t.Parallel()
	refusal := func(id string) string {
		return "HTTP/1.1 503 T\r\n" + id + notRan + "Content-Length: 0\r\n\r\n"
	}
	t.Run("one that states no id", func(t *testing.T) {
		s := open(t)
		got := make(chan *seen, 99)
		script := func(n int, r *seen) bool { // the first has its link know its worker
			return (n == 0 || raw(refusal(""))(n, r)) && served(n, r)
		}
		rows := []course{{prefix: "/", to: "a", unsafe: true}}
		one := employ(t, "w-1", "a", script, got)
		s.hear(roll(1, one), table(t, 1, rows))
		s.eager()
		res, _ := s.ask("POST", "/", "", "uno")
		assert.Equal(t, res.StatusCode, 200)
		first := next(t, got)
		c := s.dial().send(request("POST", "/", "", "dos"))
		second := next(t, got)
		assert.Equal(t, second.c, first.c, "the link is not used again")
		s.hear(roll(2, one, employ(t, "w-2", "a", served, got)), nil)
		res, _ = c.get()
		assert.Equal(t, res.StatusCode, 502, "it may have run")
		assert.Equal(t, len(got), 0, "it was sent again")
	})
	t.Run("one that states the same try's", func(t *testing.T) {
		s := open(t)
		got := make(chan *seen, 99)
		script := func(n int, r *seen) bool { // what it gets is served, refused, run
			return (n != 1 && n != 2 || raw(refusal(tryID+r.id+"\r\n"))(n, r)) && (n == 1 || served(n, r))
		}
		rows := []course{{prefix: "/", to: "a", unsafe: true}}
		s.hear(roll(1, employ(t, "w-1", "a", script, got)), table(t, 1, rows))
		s.eager()
		res, _ := s.ask("POST", "/", "", "uno")
		assert.Equal(t, res.StatusCode, 200)
		s.ask("POST", "/", "", "dos")
		next(t, got)
		refused, ran := next(t, got), next(t, got)
		assert.Assert(t, refused.c != ran.c, "it was sent again on the link on which it was refused")
	})
}

// eager has links used again at once.
func (s *stand) eager() {
	s.on(func() {
		for _, k := range s.order {
			k.fleet.Settle = 0
		}
	})
}
