package configstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// TestOrderNumberStaysTaken checks that after a restart, a snapshot on a real disk and newer orders
// the same order is acknowledged again and a different one under its number is a conflict. Callers
// that read the state do not get the identities.
func TestOrderNumberStaysTaken(t *testing.T) {
	set := settings(t)
	s := open(t, set, noFault)
	end := run(t, s)
	enter(t, s, configuration(7))
	enter(t, s, configuration(6))
	enter(t, s, configuration(9))
	conflicting := func(edition uint64) api.CommitRequest {
		q := configuration(edition)
		q.Change.Body = []byte("another")
		return q
	}
	checkOrders := func(when string) {
		t.Helper()
		for _, e := range []uint64{6, 7, 9} {
			_, err := s.handleEnter(t.Context(), conflicting(e))
			for k := rpc.KindOf(err); err != nil && (k == rpc.Unavailable || k == rpc.Unknown); k = rpc.KindOf(err) {
				_, err = s.handleEnter(t.Context(), conflicting(e)) // the chain is starting
			}
			assert.Equal(t, rpc.KindOf(err), rpc.Conflict, "%s: edition %d: %v", when, e, err)
			enter(t, s, configuration(e))
		}
		c := confirm(t, s, api.CommittedStateRequest{})
		assert.Equal(t, string(c.State.Body), "edition 9")
		assert.Equal(t, len(c.State.Identities), 0)
	}
	checkOrders("at first")
	assert.NilError(t, end())
	set.FirstRun = false
	s = open(t, set, noFault)
	end = run(t, s)
	checkOrders("after a restart")
	assert.NilError(t, end())
	batch, err := encode(s.machine.Snapshot())
	assert.NilError(t, err)
	s = open(t, set, noFault)
	assert.NilError(t, s.journal.Replace(batch))
	assert.NilError(t, s.journal.Close())
	s = open(t, set, noFault)
	end = run(t, s)
	checkOrders("from a snapshot")
	assert.NilError(t, end())
}

// TestRecallOmitsIdentities checks that a state sent to callers has no identities.
func TestRecallOmitsIdentities(t *testing.T) {
	st := &chain.State{Edition: 3, Identities: make([]chain.Identity, 4)}
	assert.Equal(t, len(withoutIdentities(st).Identities), 0)
	assert.Equal(t, len(st.Identities), 4)
}
