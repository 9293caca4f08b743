package handover

import (
	"encoding/json"
	"testing"

	"foxwood/internal/testing/encoding"
)

// TestMessagesKeepTheirEncoding guards the encoding of handover messages: the two processes may
// be of different releases.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	encoding.Check[message](t, "message", json.Marshal, json.Unmarshal)
}
