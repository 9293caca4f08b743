package store

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// TestANumberIsTakenForGood: over a restart, a snapshot on a real disk and newer orders, the same order is
// acknowledged again and another under its number is a conflict. Who asks for the state is not told the identities.
func TestANumberIsTakenForGood(t *testing.T) {
	set := settings(t)
	s := open(t, set, fine)
	end := run(t, s)
	enter(t, s, configuration(7))
	enter(t, s, configuration(6))
	enter(t, s, configuration(9))
	other := func(edition uint64) waymark.Enter {
		q := configuration(edition)
		q.Change.Body = []byte("another")
		return q
	}
	judged := func(when string) {
		t.Helper()
		for _, e := range []uint64{6, 7, 9} {
			_, err := s.enter(t.Context(), other(e))
			for k := rpc.KindOf(err); err != nil && (k == rpc.Unavailable || k == rpc.Unknown); k = rpc.KindOf(err) {
				_, err = s.enter(t.Context(), other(e)) // the chain is coming up
			}
			assert.Equal(t, rpc.KindOf(err), rpc.Conflict, "%s: edition %d: %v", when, e, err)
			enter(t, s, configuration(e))
		}
		c := confirm(t, s, waymark.Confirm{})
		assert.Equal(t, string(c.State.Body), "edition 9")
		assert.Equal(t, len(c.State.Past), 0)
	}
	judged("at first")
	assert.NilError(t, end())
	set.FirstRun = false
	s = open(t, set, fine)
	end = run(t, s)
	judged("after a restart")
	assert.NilError(t, end())
	batch, err := encode(s.machine.Snapshot())
	assert.NilError(t, err)
	s = open(t, set, fine)
	assert.NilError(t, s.journal.Replace(batch))
	assert.NilError(t, s.journal.Close())
	s = open(t, set, fine)
	end = run(t, s)
	judged("from a snapshot")
	assert.NilError(t, end())
}

// TestWhoRecallsIsNotToldIdentities either.
func TestWhoRecallsIsNotToldIdentities(t *testing.T) {
	st := &cairn.State{Edition: 3, Past: make([]cairn.Identity, 4)}
	assert.Equal(t, len(told(st).Past), 0)
	assert.Equal(t, len(st.Past), 4)
}
