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
		"waymark.Sign":      rpc.NameOf[waymark.Sign](),
		"waymark.Gossip":    rpc.NameOf[waymark.Gossip](),
		"waymark.AskRoster": rpc.NameOf[waymark.AskRoster](),
		"waymark.Draw":      rpc.NameOf[waymark.Draw](),
		"waymark.Enter":     rpc.NameOf[waymark.Enter](),
		"waymark.Confirm":   rpc.NameOf[waymark.Confirm](),
		"waymark.Subscribe": rpc.NameOf[waymark.Subscribe](),
		"waymark.Tokens":    rpc.NameOf[waymark.Tokens](),
		"waymark.Lend":      rpc.NameOf[waymark.Lend](),
		"waymark.Strain":    rpc.NameOf[waymark.Strain](),
		"waymark.Seen":      rpc.NameOf[waymark.Seen](),
		"waymark.Posted":    rpc.NameOf[waymark.Posted](),
		"waymark.AskStatus": rpc.NameOf[waymark.AskStatus](),
	} {
		assert.Equal(t, is, name)
	}
}
