package chain_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"foxwood/internal/configstore/chain"
	"foxwood/internal/rpc"
	"foxwood/internal/testing/encoding"
)

// TestMessagesAndRecordsKeepTheirEncoding compares the encoding of messages and records with golden
// files, because the previous and the next release must be able to read them.
func TestMessagesAndRecordsKeepTheirEncoding(t *testing.T) {
	assert.Equal(t, rpc.NameOf[chain.Message](), "cairn.Message")
	encoding.Check[chain.Message](t, "cairn.Message", cbor.Marshal, cbor.Unmarshal)
	encoding.Check[chain.Record](t, "cairn.Record", cbor.Marshal, cbor.Unmarshal)
	encoding.Check[chain.State](t, "cairn.State", cbor.Marshal, cbor.Unmarshal)
}
