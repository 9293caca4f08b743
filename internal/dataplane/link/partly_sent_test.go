package link

import (
	"testing"

	"foxwood/gatekeeper"
	"foxwood/policy"
)

// TestPartlySentRequestMayHaveRun guards against taking a request for one that never ran because its last byte was not
// sent. A worker may begin, and answer, before it has the whole body; the request was sent to another worker, which ran it again.
func TestPartlySentRequestMayHaveRun(t *testing.T) {
	const (
		bodyBytes = 3000
		partBytes = 400 // the whole head and the beginning of the body
	)
	for _, protocol := range []Protocol{HTTP1, Pipeline, HTTP2} {
		for name, tc := range map[string]struct {
			acceptBytes int
			progress    gatekeeper.SendProgress
		}{
			"nothing": {0, gatekeeper.SentNothing},
			"a part":  {partBytes, gatekeeper.SentPart},
			"all":     {1 << 20, gatekeeper.SentAll},
		} {
			t.Run(protocol.String()+"/"+name, func(t *testing.T) {
				start := func() (*world, *gatekeeper.Execution, *fakeConn) {
					env := newWorld(Transport{Protocol: protocol})
					env.workerConns.Place(1, "a", 0)
					execution := newExecution(3, 1, bodyBytes)
					env.workerConns.Execute(execution)
					conn := env.dials[0]
					conn.model, conn.acceptBytes = newModel(protocol), tc.acceptBytes
					conn.endpoint.opened(conn)
					env.endIteration()
					return env, execution, conn
				}
				env, execution, conn := start()
				conn.close()
				want := policy.Reset
				if tc.progress == gatekeeper.SentNothing {
					want = policy.ConnectFailed
				}
				if ends := env.outcomes[execution]; len(ends) != 1 || ends[0].Status != want {
					t.Errorf("outcomes behind a lost connection %v, want one with status %v", ends, want)
				}
				env, execution, _ = start()
				wantProgress := tc.progress
				if protocol == HTTP2 { // what is queued is sent before the frame that cancels it
					wantProgress = gatekeeper.SentAll
				}
				if got := env.workerConns.Abandon(execution); got != wantProgress {
					t.Errorf("progress of an abandoned execution %v, want %v", got, wantProgress)
				}
			})
		}
	}
}
