package registry

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/control/election"
	"foxwood/internal/rpc"
	"foxwood/internal/rpc/api"
)

// TestCallsKeepTheirNames: processes of two versions run side by side during a rolling upgrade.
// Messages between them must keep the names that the previous version knows, whatever their
// packages are called now.
func TestCallsKeepTheirNames(t *testing.T) {
	for name, is := range map[string]string{
		"warden.Message":    rpc.NameOf[election.Message](),
		"cairn.Message":     rpc.NameOf[chain.Message](),
		"waymark.Sign":      rpc.NameOf[api.SessionRequest](),
		"waymark.Gossip":    rpc.NameOf[api.Gossip](),
		"waymark.AskRoster": rpc.NameOf[api.EndpointListRequest](),
		"waymark.Draw":      rpc.NameOf[api.AllocationRequest](),
		"waymark.Enter":     rpc.NameOf[api.CommitRequest](),
		"waymark.Confirm":   rpc.NameOf[api.CommittedStateRequest](),
		"waymark.Subscribe": rpc.NameOf[api.SubscribeRequest](),
		"waymark.Tokens":    rpc.NameOf[api.TokenRequest](),
		"waymark.Lend":      rpc.NameOf[api.PeerSyncRequest](),
		"waymark.Strain":    rpc.NameOf[api.PressureReport](),
		"waymark.Seen":      rpc.NameOf[api.OutlierReport](),
		"waymark.Posted":    rpc.NameOf[api.OutlierAnnouncement](),
		"waymark.AskStatus": rpc.NameOf[api.StatusRequest](),
	} {
		assert.Equal(t, is, name)
	}
}
