package handover

import (
	"encoding/json"
	"testing"

	"foxwood/internal/testing/encoding"
)

// The process that takes over may be of another release than the one that hands over.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	encoding.Check[message](t, "message", json.Marshal, json.Unmarshal)
}
