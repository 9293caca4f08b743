package policy_test

import (
	"encoding/json"
	"testing"

	"foxwood/internal/testing/encoding"
	"foxwood/policy"
)

// Captures, and a process that takes over from another, read settings and states of earlier releases.
func TestSettingsAndSnapshotsKeepTheirEncoding(t *testing.T) {
	encoding.Check[policy.Settings](t, "Settings", json.Marshal, json.Unmarshal)
	encoding.Check[policy.Snapshot](t, "Snapshot", json.Marshal, json.Unmarshal)
	encoding.Check[policy.PeerDraw](t, "Draw", json.Marshal, json.Unmarshal)
}
