package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestResolvePassesOverTheOverloaded: who sheds alone is named only where nobody else can be.
func TestResolvePassesOverTheOverloaded(t *testing.T) {
	guest := func(name string, alone bool) Member {
		return Member{Station: name, Zone: "a", Region: "r", Counter: name + ":80", Ready: true, Alone: alone}
	}
	for _, c := range []struct {
		alone []bool
		want  []string
	}{
		{[]bool{false, true, false}, []string{"g0:80", "g2:80"}},
		{[]bool{true, true}, []string{"g0:80", "g1:80"}},
	} {
		roll := Roll{}
		for i, l := range c.alone {
			roll.Members = append(roll.Members, guest("g"+string(rune('0'+i)), l))
		}
		got := map[string]bool{}
		for _, a := range Resolve(0, roll, "r", "a", 9) {
			got[a] = true
		}
		assert.Equal(t, len(got), len(c.want), "%v: %v", c.alone, got)
		for _, w := range c.want {
			assert.Assert(t, got[w], "%v: %v", c.alone, got)
		}
	}
}
