package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestResolveAvoidsOverloadedMembers checks that a member that is overloaded alone is only returned if
// there are no others.
func TestResolveAvoidsOverloadedMembers(t *testing.T) {
	newMember := func(name string, alone bool) Member {
		return Member{Node: name, Zone: "a", Region: "r", ClientAddr: name + ":80", Ready: true, Overloaded: alone}
	}
	for _, testCase := range []struct {
		alone []bool
		want  []string
	}{
		{[]bool{false, true, false}, []string{"g0:80", "g2:80"}},
		{[]bool{true, true}, []string{"g0:80", "g1:80"}},
	} {
		list := MemberList{}
		for i, isAlone := range testCase.alone {
			list.Members = append(list.Members, newMember("g"+string(rune('0'+i)), isAlone))
		}
		got := map[string]bool{}
		for _, a := range Resolve(0, list, "r", "a", 9) {
			got[a] = true
		}
		assert.Equal(t, len(got), len(testCase.want), "overloaded %v: got %v, want %v", testCase.alone, got, testCase.want)
		for _, want := range testCase.want {
			assert.Assert(t, got[want], "overloaded %v: got %v, want %v in it", testCase.alone, got, want)
		}
	}
}
