package bothy

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
	"foxwood/internal/election"
	"foxwood/internal/rpc"
	"foxwood/internal/waymark"
)

// TestCallsKeepTheirNames: processes of two versions run side by side during a rolling upgrade.
// Messages between them must keep the names that the previous version knows, whatever their
// packages are called now.
func TestCallsKeepTheirNames(t *testing.T) {
	for name, is := range map[string]string{
		"warden.Message":    rpc.NameOf[election.Message](),
		"cairn.Message":     rpc.NameOf[cairn.Message](),
		"waymark.Sign":      rpc.NameOf[waymark.SessionRequest](),
		"waymark.Gossip":    rpc.NameOf[waymark.Gossip](),
		"waymark.AskRoster": rpc.NameOf[waymark.EndpointListRequest](),
		"waymark.Draw":      rpc.NameOf[waymark.AllocationRequest](),
		"waymark.Enter":     rpc.NameOf[waymark.CommitRequest](),
		"waymark.Confirm":   rpc.NameOf[waymark.CommittedStateRequest](),
		"waymark.Subscribe": rpc.NameOf[waymark.SubscribeRequest](),
		"waymark.Tokens":    rpc.NameOf[waymark.TokenRequest](),
		"waymark.Lend":      rpc.NameOf[waymark.PeerSyncRequest](),
		"waymark.Strain":    rpc.NameOf[waymark.PressureReport](),
		"waymark.Seen":      rpc.NameOf[waymark.OutlierReport](),
		"waymark.Posted":    rpc.NameOf[waymark.OutlierAnnouncement](),
		"waymark.AskStatus": rpc.NameOf[waymark.StatusRequest](),
	} {
		assert.Equal(t, is, name)
	}
}
