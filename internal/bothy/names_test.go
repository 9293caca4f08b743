package bothy

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/cairn"
	"foxwood/internal/election"
	"foxwood/internal/traverse"
	"foxwood/internal/waymark"
)

// TestCallsKeepTheirNames: processes of two versions serve side by side while a release is rolled out. What goes between
// them has the names that the version before knows, whatever its packages are called by now.
func TestCallsKeepTheirNames(t *testing.T) {
	for name, is := range map[string]string{
		"warden.Message":    traverse.NameOf[election.Message](),
		"cairn.Message":     traverse.NameOf[cairn.Message](),
		"waymark.Sign":      traverse.NameOf[waymark.Sign](),
		"waymark.Gossip":    traverse.NameOf[waymark.Gossip](),
		"waymark.AskRoster": traverse.NameOf[waymark.AskRoster](),
		"waymark.Draw":      traverse.NameOf[waymark.Draw](),
		"waymark.Enter":     traverse.NameOf[waymark.Enter](),
		"waymark.Confirm":   traverse.NameOf[waymark.Confirm](),
		"waymark.Subscribe": traverse.NameOf[waymark.Subscribe](),
		"waymark.Tokens":    traverse.NameOf[waymark.Tokens](),
		"waymark.Lend":      traverse.NameOf[waymark.Lend](),
		"waymark.Strain":    traverse.NameOf[waymark.Strain](),
		"waymark.Seen":      traverse.NameOf[waymark.Seen](),
		"waymark.Posted":    traverse.NameOf[waymark.Posted](),
		"waymark.AskStatus": traverse.NameOf[waymark.AskStatus](),
	} {
		assert.Equal(t, is, name)
	}
}
